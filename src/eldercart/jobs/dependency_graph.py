"""The dependency graph: readiness of jobs, cancellation downstream, and inherited priorities.

The graph is derived from the state store alone. A job's record names its dependencies, and only a
dependency's durable end record determines its outcome, never a count of tasks in memory. A new
leader therefore derives the same graph. A durable cancellation cancels every job downstream at
once, including jobs that are submitted later; their own end records are written later, as
transactions have room.

Nothing here recurses over the depth of a chain or visits all jobs when one ends. The cost of an end
is proportional to the direct neighbors of the job, and that of a cancellation to the jobs
downstream.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from eldercart.jobs.job import Job
from eldercart.jobs.registry import JobRegistry
from eldercart.units import DISTANT_FUTURE, JobId, MonotonicTime
from eldercart.wire.users import CANCELLED

# Delays before an end record that was not found is looked up again.
RETRY_INITIAL_S, RETRY_MAX_S = 0.5, 5.0


@dataclass(slots=True)
class DependencyEffect:
    """The jobs whose readiness or state changes when a job is added, starts or ends."""

    ready: list[Job] = field(default_factory=list)  # jobs that may start now
    # Jobs that are cancelled because an upstream job is durably cancelled.
    upstream_cancelled: list[Job] = field(default_factory=list)


@dataclass(slots=True)
class _EndLookup:
    """The schedule for reading an end record from the state store."""

    due_at: MonotonicTime
    retry_s: float = RETRY_INITIAL_S


class DependencyGraph:
    """Owns the edges between jobs, and the priorities and deadlines that jobs inherit from those
    downstream."""

    def __init__(
        self,
        jobs: JobRegistry,
        remaining_s: Callable[[Job], float],
        own_deadline: Callable[[Job], MonotonicTime],
    ) -> None:
        """Create an empty graph over the jobs of the registry.

        `remaining_s` returns how long a job is estimated to take once it is ready. `own_deadline`
        returns when the job should be done according to its own submission.
        """
        self._jobs = jobs
        self._remaining_s = remaining_s
        self._own_deadline = own_deadline
        # The jobs that wait for the end of a job, by its id. Jobs that have ended have no entry.
        self._dependents: dict[JobId, dict[JobId, Job]] = {}
        # Dependencies that are not in the job registry; most of them have ended.
        self._end_lookups: dict[JobId, _EndLookup] = {}

    def dependents(self, job_id: JobId) -> Iterable[Job]:
        """Return the jobs that wait for the end of this one."""
        return self._dependents.get(job_id, {}).values()

    # -- events

    def add(self, job: Job, now: MonotonicTime) -> DependencyEffect:
        """Add a job that was just added to the job registry."""
        self._end_lookups.pop(job.id, None)
        effect = DependencyEffect()
        if job.is_ready:
            effect.ready.append(job)
        for upstream_id in job.spec.dependencies:
            upstream = self._jobs.get(upstream_id)
            if upstream is not None and _is_durably_cancelled(upstream):
                self._cancel_downstream([job], effect)
                return effect
            if upstream is not None and upstream.outcome is not None:
                continue
            job.unmet_dependencies.add(upstream_id)
            self._dependents.setdefault(upstream_id, {})[job.id] = job
            if upstream is None:
                self._end_lookups[upstream_id] = _EndLookup(now)
        self._mark_ready_if_unblocked(job, now, effect)
        # A new leader may load dependents before their dependency.
        for dependent in self.dependents(job.id):
            job.priority = max(job.priority, dependent.priority)
            job.inherited_deadline_at = min(
                job.inherited_deadline_at, self._deadline_for_dependency(dependent)
            )
        self._raise_upstream(job)
        return effect

    def on_job_started(self, job: Job, now: MonotonicTime) -> DependencyEffect:
        """Mark a job as ready because it has a stored placement.

        Only a ready job is placed, and a ready job remains ready.
        """
        effect = DependencyEffect()
        for upstream_id in list(job.unmet_dependencies):
            self._remove_edge(upstream_id, job)
        self._mark_ready_if_unblocked(job, now, effect)
        return effect

    def on_job_ended(self, job_id: JobId, outcome: str, now: MonotonicTime) -> DependencyEffect:
        """Apply the durable end of a job, which need not be in the job registry."""
        effect = DependencyEffect()
        self._end_lookups.pop(job_id, None)
        dependents = self._dependents.pop(job_id, {})
        job = self._jobs.get(job_id)
        if outcome == CANCELLED:
            self._cancel_downstream(dependents.values(), effect)
        else:
            for dependent in dependents.values():
                dependent.unmet_dependencies.discard(job_id)
                self._mark_ready_if_unblocked(dependent, now, effect)
        if job is not None and job.unmet_dependencies:
            self._release_dependencies(job)
        return effect

    def may_be_cancelled_upstream(self, job: Job) -> bool:
        """Return whether an upstream job may be durably cancelled without this leader knowing.

        That is possible while the upstream job's end record has not been read, or while a write of
        its cancellation is unanswered. Another node or the previous leader may already have
        reported this job as cancelled, and reporting it as `pending` would contradict that.
        """
        if not job.unmet_dependencies:
            return False
        seen: set[JobId] = set()
        to_visit = list(job.unmet_dependencies)
        while to_visit:
            upstream_id = to_visit.pop()
            if upstream_id in seen:
                continue
            seen.add(upstream_id)
            upstream = self._jobs.get(upstream_id)
            if upstream is None or _may_be_cancelled(upstream):
                return True
            to_visit += upstream.unmet_dependencies
        return False

    # -- lookups of ends

    @property
    def has_end_lookups(self) -> bool:
        """Whether any dependency has an end record that must still be looked up."""
        return bool(self._end_lookups)

    def take_due_end_lookups(self, now: MonotonicTime, limit: int) -> list[JobId]:
        """Return at most `limit` jobs whose end records must be read now."""
        if not self._end_lookups or limit <= 0:
            return []
        due: list[JobId] = []
        for job_id, lookup in self._end_lookups.items():
            if lookup.due_at <= now:
                due.append(job_id)
                # The lookup is in flight; without a result it is repeated then.
                lookup.due_at = MonotonicTime(now + RETRY_MAX_S)
                if len(due) >= limit:
                    break
        return due

    def on_end_not_found(self, job_id: JobId, now: MonotonicTime) -> None:
        """Schedule another lookup after a read that failed or found no end record.

        Either the job has not ended, and a watch event will add it, or its record can't be read.
        Its dependents continue to wait.
        """
        lookup = self._end_lookups.get(job_id)
        if lookup is not None:
            lookup.due_at = MonotonicTime(now + lookup.retry_s)
            lookup.retry_s = min(RETRY_MAX_S, 2 * lookup.retry_s)

    # -- edges

    def _mark_ready_if_unblocked(
        self, job: Job, now: MonotonicTime, effect: DependencyEffect
    ) -> None:
        if not job.unmet_dependencies and not job.is_ready:
            job.is_ready = True
            job.ready_at = now
            effect.ready.append(job)

    def _remove_edge(self, upstream_id: JobId, job: Job) -> None:
        job.unmet_dependencies.discard(upstream_id)
        dependents = self._dependents.get(upstream_id)
        if dependents is not None:
            dependents.pop(job.id, None)
            if not dependents:
                del self._dependents[upstream_id]
                self._end_lookups.pop(upstream_id, None)

    def _cancel_downstream(self, jobs: Iterable[Job], effect: DependencyEffect) -> None:
        """Mark these jobs and all jobs downstream as cancelled.

        Their other dependencies no longer inherit a priority or deadline from them.
        """
        to_cancel = list(jobs)
        released: set[JobId] = set()
        while to_cancel:
            job = to_cancel.pop()
            if job.upstream_cancelled:
                continue
            job.upstream_cancelled = True
            effect.upstream_cancelled.append(job)
            to_cancel += self._dependents.pop(job.id, {}).values()
            released |= job.unmet_dependencies
            for upstream_id in list(job.unmet_dependencies):
                self._remove_edge(upstream_id, job)
        self._lower_upstream(released)

    # -- inherited priorities and deadlines

    def _raise_upstream(self, job: Job) -> None:
        """Raise the priorities and bring forward the deadlines of all jobs upstream of this one."""
        # This is breadth-first, and each level holds a job at most once. Of two paths to a job the
        # longer one determines its deadline. A depth-first search could therefore visit everything
        # upstream of each junction once per path, which doubles the work at every junction.
        to_visit = [job]
        while to_visit:
            raised: dict[JobId, Job] = {}
            for dependent in to_visit:
                self._raise_direct_dependencies(dependent, raised)
            to_visit = list(raised.values())

    def _raise_direct_dependencies(self, dependent: Job, raised: dict[JobId, Job]) -> None:
        """Raise the direct dependencies of a job; those that change are added to `raised`."""
        if not dependent.unmet_dependencies:
            return
        priority = dependent.priority
        deadline_at = self._deadline_for_dependency(dependent)
        for upstream_id in dependent.unmet_dependencies:
            upstream = self._jobs.get(upstream_id)
            if upstream is None:
                continue
            if upstream.priority >= priority and upstream.inherited_deadline_at <= deadline_at:
                continue
            upstream.priority = max(upstream.priority, priority)
            upstream.inherited_deadline_at = min(upstream.inherited_deadline_at, deadline_at)
            raised[upstream_id] = upstream

    def _deadline_for_dependency(self, dependent: Job) -> MonotonicTime:
        """Return when the dependencies of this job should be done."""
        deadline_at = min(dependent.inherited_deadline_at, self._own_deadline(dependent))
        return MonotonicTime(deadline_at - self._remaining_s(dependent))

    def _release_dependencies(self, job: Job) -> None:
        """Remove the edges to the dependencies of a job that ended while waiting for them.

        The dependencies no longer inherit a priority or deadline from it.
        """
        upstream_ids = list(job.unmet_dependencies)
        for upstream_id in upstream_ids:
            self._remove_edge(upstream_id, job)
        self._lower_upstream(upstream_ids)

    def _lower_upstream(self, job_ids: Iterable[JobId]) -> None:
        """Recompute what jobs that lost a dependent inherit, and propagate changes upstream.

        This is breadth-first for the same reason as in `_raise_upstream`.
        """
        to_visit = set(job_ids)
        while to_visit:
            lowered: set[JobId] = set()
            for job_id in to_visit:
                job = self._jobs.get(job_id)
                if job is None or job.outcome is not None or job.upstream_cancelled:
                    continue
                if self._recompute_inherited(job):
                    lowered |= job.unmet_dependencies
            to_visit = lowered

    def _recompute_inherited(self, job: Job) -> bool:
        """Recompute the inherited priority and deadline; return whether either has changed."""
        priority, deadline_at = job.spec.priority, DISTANT_FUTURE
        for dependent in self.dependents(job.id):
            priority = max(priority, dependent.priority)
            deadline_at = min(deadline_at, self._deadline_for_dependency(dependent))
        is_changed = priority != job.priority or deadline_at != job.inherited_deadline_at
        job.priority, job.inherited_deadline_at = priority, deadline_at
        return is_changed


def _is_durably_cancelled(job: Job) -> bool:
    return job.upstream_cancelled or job.outcome == CANCELLED


def _may_be_cancelled(job: Job) -> bool:
    """Return whether the write of the job's cancellation was sent and is not confirmed yet."""
    return job.is_cancellation_requested and job.is_end_write_sent and job.outcome is None
