"""Evidence against machines and against jobs, kept apart.

A job submitted with a mistake fails on every machine and must condemn none; a faulty machine fails
tasks of jobs that run well elsewhere. So a machine is judged by several jobs, or by a job that has
succeeded on other machines.
"""

from statistics import median

from eldercart.cluster.inventory import Machine, Pace
from eldercart.jobs.registry import Job, Placement
from eldercart.units import Steady

SLOW_FACTOR = 1.8  # mean run time against the jobs' own medians
SLOW_TASKS, SLOW_JOBS = 5, 2  # tasks of one job differ by a factor of three: one proves nothing
STRAGGLER_FACTOR = 3.0
MAX_BACKOFF_S = 30.0
GOOD_TASKS = 3  # in a row, after which earlier failures count no more
PACES_KEPT = 12  # of the last tasks on a machine
RUNS_KNOWN = 3  # run times of a job before one more is compared with them


class Responsiveness:
    """Evidence that a machine reports but doesn't carry out commands. Its silence is no sign, for
    reports keep coming; but launches and kills have no effect, its session rises although it was
    answered, or it goes on showing an old epoch. One lost answer, or a change of leader, condemns
    nobody: the signs must follow each other, over some time, with nothing obeyed in between."""

    def __init__(self, answers: int, least_s: float) -> None:
        """So many answers without effect condemn, if they span `least_s` seconds."""
        self._answers = answers
        self._least = least_s

    def ignored(self, m: Machine, now: Steady) -> bool:
        """An answer that may have arrived had no effect; returns whether that is enough."""
        if m.ignored_answers == 0:
            m.ignored_since = now
        m.ignored_answers += 1
        return m.ignored_answers >= self._answers and now - m.ignored_since >= self._least

    def obeyed(self, m: Machine) -> None:
        """Something that the machine was told has had its effect."""
        m.ignored_answers = 0


class Health:
    """Judges machines by how tasks fare on them. Its sums are kept with machines and jobs."""

    def __init__(self, quarantine_jobs: int, error_backoff_s: float) -> None:
        """Failed tasks of `quarantine_jobs` jobs condemn a machine; a failing job waits for
        `error_backoff_s` seconds, and longer with each failure."""
        self._jobs = quarantine_jobs
        self._backoff = error_backoff_s

    def task_failed(self, m: Machine, job: Job, now: Steady) -> bool:
        """Returns whether the machine is to be taken out."""
        m.failed_jobs.add(job.id)
        m.good_since_fault = 0
        job.avoid(m.id, now)
        job.errors += 1
        if job.done_count:
            # It runs well elsewhere: the fault is the machine's, so the job need not wait.
            return True
        pause = min(MAX_BACKOFF_S, self._backoff * 2 ** min(job.errors - 1, 8))
        if len(job.bad_machines) > 1:
            job.backoff_until = Steady(now + pause)
        return len(m.failed_jobs) >= self._jobs

    def task_done(self, m: Machine, job: Job, ran_s: float) -> bool:
        """Returns whether the machine has proven slow over several jobs."""
        m.good_since_fault += 1
        if m.good_since_fault >= GOOD_TASKS:
            m.failed_jobs.clear()
        if ran_s <= 0:
            return False
        slow = len(job.ran) >= RUNS_KNOWN and self._paced(m, job, ran_s / max(0.1, median(job.ran)))
        job.note_run(ran_s)
        return slow

    def straggles(self, p: Placement, now: Steady) -> bool:
        """Whether a running task has taken far longer than any other of its job did."""
        job = p.job
        return len(job.ran) >= RUNS_KNOWN and now - p.since > STRAGGLER_FACTOR * job.longest + 5.0

    def straggled(self, m: Machine, job: Job) -> bool:
        """A task was stopped as a straggler; returns whether the machine is to be taken out."""
        return self._paced(m, job, STRAGGLER_FACTOR)

    def _paced(self, m: Machine, job: Job, ratio: float) -> bool:
        m.paces.append(Pace(job.id, ratio))
        if len(m.paces) > PACES_KEPT:
            del m.paces[0]
        jobs = {pace.job for pace in m.paces}
        mean = sum(pace.ratio for pace in m.paces) / len(m.paces)
        return len(m.paces) >= SLOW_TASKS and len(jobs) >= SLOW_JOBS and mean > SLOW_FACTOR
