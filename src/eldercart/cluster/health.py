"""Evidence of faulty machines and of faulty jobs, kept separate.

A job submitted with a mistake fails on every machine and must not get any of them cordoned; a
faulty machine fails tasks of jobs that succeed elsewhere. So it takes failures of several jobs, or
of one job that has succeeded on other machines, to cordon a machine.
"""

from statistics import median

from eldercart.cluster.inventory import Machine, RunTimeRatio
from eldercart.jobs.job import Job, Placement
from eldercart.units import MonotonicTime

SLOW_RUN_TIME_RATIO = 1.8  # mean of run time / median run time of the job
# A machine counts as slow only after this many tasks, from this many jobs: the run times of a job's
# tasks vary by a factor of three, so a single task proves nothing.
SLOW_MIN_TASKS = 5
SLOW_MIN_JOBS = 2
STRAGGLER_RUN_TIME_RATIO = 3.0  # run time / longest run time of the job
STRAGGLER_GRACE_S = 5.0  # added to that limit, for jobs of very short tasks
MIN_MEDIAN_RUN_TIME_S = 0.1  # avoids ratios against a median near zero
MAX_BACKOFF_S = 30.0
MAX_BACKOFF_DOUBLINGS = 8
SUCCESSES_TO_CLEAR_FAILURES = 3  # successes in a row after which earlier failures are cleared
MAX_RUN_TIME_RATIOS = 12  # ratios kept per machine, for its last tasks
MIN_KNOWN_RUN_TIMES = 3  # run times of a job before another is compared with them


class Responsiveness:
    """Evidence that a machine sends heartbeats but doesn't carry out commands.

    The machine is not silent, because heartbeats keep arriving. But launches and kills have no
    effect, or its agent epoch rises although its heartbeats were answered, or its heartbeats keep
    showing an old fencing token. One lost response or a change of leader is not enough: several
    ignored responses must follow each other, over some time, with no executed command in between.
    """

    def __init__(self, min_ignored_responses: int, min_duration_s: float) -> None:
        """Set the thresholds: ignored responses in a row, and the time that they must span."""
        self._min_ignored_responses = min_ignored_responses
        self._min_duration_s = min_duration_s

    def record_ignored_response(self, machine: Machine, now: MonotonicTime) -> bool:
        """Count a response without effect; return whether the machine is now unresponsive."""
        if machine.ignored_responses == 0:
            machine.ignored_since = now
        machine.ignored_responses += 1
        return (
            machine.ignored_responses >= self._min_ignored_responses
            and now - machine.ignored_since >= self._min_duration_s
        )

    def record_executed_command(self, machine: Machine) -> None:
        """Clear the evidence, because a command took effect."""
        machine.ignored_responses = 0


class Health:
    """Detects faulty machines by task failures and run times; machines and jobs hold the data."""

    def __init__(self, cordon_failed_jobs: int, error_backoff_s: float) -> None:
        """Set the thresholds.

        A machine should be cordoned once tasks of `cordon_failed_jobs` jobs have failed on it. A
        failing job backs off for `error_backoff_s` seconds, doubled with each failure.
        """
        self._cordon_failed_jobs = cordon_failed_jobs
        self._error_backoff_s = error_backoff_s

    def record_task_failure(self, machine: Machine, job: Job, now: MonotonicTime) -> bool:
        """Record that a task failed; return whether the machine should be cordoned."""
        machine.failed_job_ids.add(job.id)
        machine.successes_since_failure = 0
        job.avoid_machine(machine.id, now)
        job.error_count += 1
        if job.done_count:
            # Other tasks of the job succeeded: the machine is faulty, so the job need not back off.
            return True
        if len(job.avoided_machines) > 1:
            job.backoff_until = MonotonicTime(now + self._backoff_s(job))
        return len(machine.failed_job_ids) >= self._cordon_failed_jobs

    def _backoff_s(self, job: Job) -> float:
        doublings = min(job.error_count - 1, MAX_BACKOFF_DOUBLINGS)
        backoff_s: float = self._error_backoff_s * 2**doublings
        return min(MAX_BACKOFF_S, backoff_s)

    def record_task_success(self, machine: Machine, job: Job, run_time_s: float) -> bool:
        """Record that a task succeeded; return whether the machine is slow for several jobs."""
        machine.successes_since_failure += 1
        if machine.successes_since_failure >= SUCCESSES_TO_CLEAR_FAILURES:
            machine.failed_job_ids.clear()
        if run_time_s <= 0:
            return False
        is_slow = False
        if len(job.run_times_s) >= MIN_KNOWN_RUN_TIMES:
            median_s = max(MIN_MEDIAN_RUN_TIME_S, median(job.run_times_s))
            is_slow = self._record_run_time_ratio(machine, job, run_time_s / median_s)
        job.record_run_time(run_time_s)
        return is_slow

    def is_straggler(self, placement: Placement, now: MonotonicTime) -> bool:
        """Return whether a running task has taken far longer than any other of its job."""
        job = placement.job
        if len(job.run_times_s) < MIN_KNOWN_RUN_TIMES:
            return False
        limit_s = STRAGGLER_RUN_TIME_RATIO * job.longest_run_time_s + STRAGGLER_GRACE_S
        return now - placement.started_at > limit_s

    def record_straggler(self, machine: Machine, job: Job) -> bool:
        """Record a killed straggler; return whether the machine should be cordoned."""
        return self._record_run_time_ratio(machine, job, STRAGGLER_RUN_TIME_RATIO)

    def _record_run_time_ratio(self, machine: Machine, job: Job, ratio: float) -> bool:
        """Add a run time ratio; return whether the machine is slow for several jobs."""
        ratios = machine.run_time_ratios
        ratios.append(RunTimeRatio(job.id, ratio))
        if len(ratios) > MAX_RUN_TIME_RATIOS:
            del ratios[0]
        job_ids = {entry.job_id for entry in ratios}
        mean = sum(entry.ratio for entry in ratios) / len(ratios)
        return (
            len(ratios) >= SLOW_MIN_TASKS
            and len(job_ids) >= SLOW_MIN_JOBS
            and mean > SLOW_RUN_TIME_RATIO
        )
