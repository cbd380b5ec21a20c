"""Evidence against machines and against jobs, kept apart.

A job submitted with a mistake fails on every machine and must condemn none; a faulty machine fails
tasks of jobs that run well elsewhere. So a machine is judged by several jobs, or by a job that has
succeeded on other machines.
"""

from statistics import median

from eldercart.cluster.inventory import Machine, RunTimeRatio
from eldercart.jobs.job import Job, Placement
from eldercart.units import MonotonicTime

SLOW_RUN_TIME_RATIO = 1.8  # mean run time against the jobs' own medians
SLOW_MIN_TASKS, SLOW_MIN_JOBS = (
    5,
    2,
)  # tasks of one job differ by a factor of three: one proves nothing
STRAGGLER_RUN_TIME_RATIO = 3.0
MAX_BACKOFF_S = 30.0
SUCCESSES_TO_CLEAR_FAILURES = 3  # in a row, after which earlier failures count no more
MAX_RUN_TIME_RATIOS = 12  # of the last tasks on a machine
MIN_KNOWN_RUN_TIMES = 3  # run times of a job before one more is compared with them


class Responsiveness:
    """Evidence that a machine reports but doesn't carry out commands. Its silence is no sign, for
    reports keep coming; but launches and kills have no effect, its session rises although it was
    answered, or it goes on showing an old epoch. One lost answer, or a change of leader, condemns
    nobody: the signs must follow each other, over some time, with nothing obeyed in between."""

    def __init__(self, answers: int, least_s: float) -> None:
        """So many answers without effect condemn, if they span `least_s` seconds."""
        self._min_ignored_responses = answers
        self._min_duration_s = least_s

    def record_ignored_response(self, m: Machine, now: MonotonicTime) -> bool:
        """An answer that may have arrived had no effect; returns whether that is enough."""
        if m.ignored_responses == 0:
            m.ignored_since = now
        m.ignored_responses += 1
        return (
            m.ignored_responses >= self._min_ignored_responses
            and now - m.ignored_since >= self._min_duration_s
        )

    def record_executed_command(self, m: Machine) -> None:
        """Something that the machine was told has had its effect."""
        m.ignored_responses = 0


class Health:
    """Judges machines by how tasks fare on them. Its sums are kept with machines and jobs."""

    def __init__(self, quarantine_jobs: int, error_backoff_s: float) -> None:
        """Failed tasks of `quarantine_jobs` jobs condemn a machine; a failing job waits for
        `error_backoff_s` seconds, and longer with each failure."""
        self._cordon_failed_jobs = quarantine_jobs
        self._error_backoff_s = error_backoff_s

    def record_task_failure(self, m: Machine, job: Job, now: MonotonicTime) -> bool:
        """Returns whether the machine is to be taken out."""
        m.failed_job_ids.add(job.id)
        m.successes_since_failure = 0
        job.avoid_machine(m.id, now)
        job.error_count += 1
        if job.done_count:
            # It runs well elsewhere: the fault is the machine's, so the job need not wait.
            return True
        pause = min(MAX_BACKOFF_S, self._error_backoff_s * 2 ** min(job.error_count - 1, 8))
        if len(job.avoided_machines) > 1:
            job.backoff_until = MonotonicTime(now + pause)
        return len(m.failed_job_ids) >= self._cordon_failed_jobs

    def record_task_success(self, m: Machine, job: Job, ran_s: float) -> bool:
        """Returns whether the machine has proven slow over several jobs."""
        m.successes_since_failure += 1
        if m.successes_since_failure >= SUCCESSES_TO_CLEAR_FAILURES:
            m.failed_job_ids.clear()
        if ran_s <= 0:
            return False
        slow = len(job.run_times_s) >= MIN_KNOWN_RUN_TIMES and self._record_run_time_ratio(
            m, job, ran_s / max(0.1, median(job.run_times_s))
        )
        job.record_run_time(ran_s)
        return slow

    def is_straggler(self, p: Placement, now: MonotonicTime) -> bool:
        """Whether a running task has taken far longer than any other of its job did."""
        job = p.job
        return (
            len(job.run_times_s) >= MIN_KNOWN_RUN_TIMES
            and now - p.started_at > STRAGGLER_RUN_TIME_RATIO * job.longest_run_time_s + 5.0
        )

    def record_straggler(self, m: Machine, job: Job) -> bool:
        """A task was stopped as a straggler; returns whether the machine is to be taken out."""
        return self._record_run_time_ratio(m, job, STRAGGLER_RUN_TIME_RATIO)

    def _record_run_time_ratio(self, m: Machine, job: Job, ratio: float) -> bool:
        m.run_time_ratios.append(RunTimeRatio(job.id, ratio))
        if len(m.run_time_ratios) > MAX_RUN_TIME_RATIOS:
            del m.run_time_ratios[0]
        jobs = {pace.job_id for pace in m.run_time_ratios}
        mean = sum(pace.ratio for pace in m.run_time_ratios) / len(m.run_time_ratios)
        return (
            len(m.run_time_ratios) >= SLOW_MIN_TASKS
            and len(jobs) >= SLOW_MIN_JOBS
            and mean > SLOW_RUN_TIME_RATIO
        )
