"""Evidence against machines and against jobs, kept apart.

A job submitted with a mistake fails on every machine and must condemn none; a faulty machine fails
tasks of jobs that run well elsewhere. So a machine is judged by several jobs, or by a job that has
succeeded on other machines.
"""

from statistics import median

from eldercart.core.fleet import Machine
from eldercart.core.jobs import Job
from eldercart.units import Steady

SLOW_FACTOR = 1.9
MAX_BACKOFF_S = 30.0


class Health:
    def __init__(self, quarantine_jobs: int, error_backoff_s: float) -> None:
        self._jobs = quarantine_jobs
        self._backoff = error_backoff_s

    def task_failed(self, m: Machine, job: Job, now: Steady) -> bool:
        """Returns whether the machine is to be taken out."""
        m.failed_jobs.add(job.id)
        m.good_since_fault = 0
        job.bad_machines.add(m.id)
        job.errors += 1
        if job.done_count:
            # It runs well elsewhere: the fault is the machine's, so the job need not wait.
            return True
        pause = min(MAX_BACKOFF_S, self._backoff * 2 ** min(job.errors - 1, 8))
        if len(job.bad_machines) > 1:
            job.hold_until = Steady(now + pause)
        return len(m.failed_jobs) >= self._jobs

    def task_done(self, m: Machine, job: Job, ran_s: float) -> bool:
        """Returns whether the machine has proven slow over several jobs."""
        m.good_since_fault += 1
        if m.good_since_fault >= 3:
            m.failed_jobs.clear()
        if ran_s <= 0:
            return False
        others = job.ran
        slow = len(others) >= 3 and ran_s > SLOW_FACTOR * median(others)
        if slow:
            m.slow_jobs.add(job.id)
        elif len(others) >= 3:
            m.slow_jobs.discard(job.id)
            job.ran.append(ran_s)
        else:
            job.ran.append(ran_s)
        if len(job.ran) > 50:
            del job.ran[:25]
        return len(m.slow_jobs) >= self._jobs
