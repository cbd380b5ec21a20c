"""Service level objectives: by when the jobs of a class should start and finish."""

from dataclasses import dataclass, field

from eldercart.jobs.job import Job
from eldercart.units import DISTANT_FUTURE

PREEMPTION_SHARE = 0.55  # of the first start objective that a job waits at most before it preempts


@dataclass(frozen=True, slots=True)
class ServiceLevelObjectives:
    """The objectives by job class, in seconds from when a job is ready."""

    start_within_s: dict[str, tuple[float, ...]]
    finish_within_s: dict[str, tuple[float, ...]]
    # Multiples of the deadline that a job itself asks for, which counts from its submission.
    deadline_factors: dict[str, tuple[float, ...]] = field(default_factory=dict)

    def latest_start_times(self, job: Job, longest_run_s: float) -> list[float]:
        """Return by when the job should have started for each of its objectives, in order;
        `longest_run_s` is what its longest task is expected to take."""
        spec = job.spec
        # A deadline counts from the submission, all else from when the job could start.
        start_by = [job.ready_at + wait for wait in self.start_within_s.get(spec.job_class, ())]
        finish_by = [job.ready_at + wait for wait in self.finish_within_s.get(spec.job_class, ())]
        if spec.deadline_s is not None:
            factors = self.deadline_factors.get(spec.job_class, (1.0,))
            finish_by += [job.submitted_at + factor * spec.deadline_s for factor in factors]
        if job.deadline_at < DISTANT_FUTURE:
            finish_by.append(job.deadline_at)  # for those that wait for it
        start_by += [finish - longest_run_s for finish in finish_by]
        return sorted(start_by)

    def preemption_allowed_at(self, job: Job, lead_s: float, patience_s: float) -> float:
        """Return from when on a waiting job may preempt others: `lead_s` before its first start
        objective, or `patience_s` after it became ready if its class has none.

        Until its objective comes near, a job takes what ends by itself: preempted work is lost,
        and most of it would have ended soon."""
        waits = self.start_within_s.get(job.spec.job_class)
        if not waits:
            return job.ready_at + patience_s
        return job.ready_at + min(waits[0] - lead_s, PREEMPTION_SHARE * waits[0])
