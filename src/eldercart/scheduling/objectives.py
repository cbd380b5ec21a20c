"""Service level objectives: when the jobs of a class should start and finish at the latest."""

from dataclasses import dataclass, field

from eldercart.jobs.job import Job
from eldercart.units import DISTANT_FUTURE

# A waiting job may preempt others after at most this share of its first start objective.
PREEMPTION_SHARE = 0.55


@dataclass(frozen=True, slots=True)
class ServiceLevelObjectives:
    """The objectives by job class, in seconds after a job becomes ready."""

    start_within_s: dict[str, tuple[float, ...]]
    finish_within_s: dict[str, tuple[float, ...]]
    # Multiples of the deadline that a job requests itself, which counts from its submission.
    deadline_factors: dict[str, tuple[float, ...]] = field(default_factory=dict)

    def latest_start_times(self, job: Job, longest_run_s: float) -> list[float]:
        """Return the latest start time for each of the job's objectives, in ascending order.

        `longest_run_s` is the expected run time of its longest task.
        """
        spec = job.spec
        # The job's deadline counts from its submission, the objectives count from readiness.
        start_by = [job.ready_at + wait for wait in self.start_within_s.get(spec.job_class, ())]
        finish_by = [job.ready_at + wait for wait in self.finish_within_s.get(spec.job_class, ())]
        if spec.deadline_s is not None:
            factors = self.deadline_factors.get(spec.job_class, (1.0,))
            finish_by += [job.submitted_at + factor * spec.deadline_s for factor in factors]
        if job.inherited_deadline_at < DISTANT_FUTURE:
            finish_by.append(job.inherited_deadline_at)  # needed by the jobs that depend on it
        start_by += [finish - longest_run_s for finish in finish_by]
        return sorted(start_by)

    def preemption_allowed_at(self, job: Job, lead_s: float, patience_s: float) -> float:
        """Return the time from which a waiting job may preempt others.

        This is `lead_s` before its first start objective, but not more than `PREEMPTION_SHARE` of
        that objective after readiness. If its class has no start objective, it is `patience_s`
        after readiness. Until then, the job only uses capacity that ending tasks free: preempted
        work is lost, and most of it would have ended soon.
        """
        waits = self.start_within_s.get(job.spec.job_class)
        if not waits:
            return job.ready_at + patience_s
        return job.ready_at + min(waits[0] - lead_s, PREEMPTION_SHARE * waits[0])
