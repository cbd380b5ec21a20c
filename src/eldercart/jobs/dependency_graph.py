"""Which jobs wait for which, whether one is ready, and what a cancellation means downstream.

The graph is derived from the store alone: the jobs' records name what they await, and only the
durable `end` of each tells its outcome, never a count of tasks in memory. So a new leader comes to
the same result, and a durable cancellation *is* that of every job downstream, also of one that is
submitted later; the ends that are written for those follow whenever there is room.

Nothing here recurses over the depth of a chain or visits all jobs when one ends: an end costs
what the jobs next to it cost, and a cancellation what lies below it.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from eldercart.jobs.job import Job
from eldercart.jobs.registry import JobRegistry
from eldercart.units import DISTANT_FUTURE, JobId, MonotonicTime
from eldercart.wire.users import CANCELLED

RETRY_INITIAL_S, RETRY_MAX_S = 0.5, 5.0  # before an end that was not found is looked up again


@dataclass(slots=True)
class DependencyEffect:
    """What an end, or a new job, brings about."""

    ready: list[Job] = field(default_factory=list)  # may start from now on
    # An upstream job is durably cancelled, and these with it.
    upstream_cancelled: list[Job] = field(default_factory=list)


@dataclass(slots=True)
class _EndLookup:
    """An end that must be read from the store."""

    due_at: MonotonicTime
    retry_s: float = RETRY_INITIAL_S


class DependencyGraph:
    """The edges between jobs; and each job's priority and deadline as those downstream need
    them."""

    def __init__(
        self,
        jobs: JobRegistry,
        remaining_s: Callable[[Job], float],
        own_deadline: Callable[[Job], MonotonicTime],
    ) -> None:
        """`remaining_s`: how long a job is estimated to take once it is ready; `own_deadline`: by
        when it should be done for its own user."""
        self._jobs = jobs
        self._remaining_s = remaining_s
        self._own_deadline = own_deadline
        # Job -> those that wait for its end. Only ends that are outstanding have an entry.
        self._dependents: dict[JobId, dict[JobId, Job]] = {}
        # Awaited, but not in the job registry: ended, most likely.
        self._end_lookups: dict[JobId, _EndLookup] = {}

    def dependents(self, job_id: JobId) -> Iterable[Job]:
        """Return the jobs that wait for the end of this one."""
        return self._dependents.get(job_id, {}).values()

    # -- events

    def add(self, job: Job, now: MonotonicTime) -> DependencyEffect:
        """Add a job that has come into the job registry."""
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
        for dependent in self.dependents(job.id):  # which came before it, as in a failover
            job.priority = max(job.priority, dependent.priority)
            job.deadline_at = min(job.deadline_at, self._deadline_for_dependency(dependent))
        self._raise_upstream(job)
        return effect

    def on_job_started(self, job: Job, now: MonotonicTime) -> DependencyEffect:
        """Apply that a placement of the job is recorded: it was ready when that was written, and
        remains so."""
        effect = DependencyEffect()
        for upstream_id in list(job.unmet_dependencies):
            self._remove_edge(upstream_id, job)
        self._mark_ready_if_unblocked(job, now, effect)
        return effect

    def on_job_ended(self, job_id: JobId, outcome: str, now: MonotonicTime) -> DependencyEffect:
        """Apply the durable end of a job, in the job registry or not."""
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
        """Return whether an upstream job may have been cancelled durably without this leader
        knowing: its end is not read yet, or was sent and not answered.

        Another node, or the leader before, may have told the user so of this job, too, and
        `pending` would go back on that."""
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
        """Whether the end of an awaited job is not known yet."""
        return bool(self._end_lookups)

    def take_due_end_lookups(self, now: MonotonicTime, limit: int) -> list[JobId]:
        """Return at most `limit` jobs whose ends must be read now."""
        if not self._end_lookups or limit <= 0:
            return []
        due: list[JobId] = []
        for job_id, lookup in self._end_lookups.items():
            if lookup.due_at <= now:
                due.append(job_id)
                lookup.due_at = MonotonicTime(now + RETRY_MAX_S)  # in flight
                if len(due) >= limit:
                    break
        return due

    def on_end_not_found(self, job_id: JobId, now: MonotonicTime) -> None:
        """Apply that a read found no end of the job, or could not be made: it is open and comes
        with a watch, or its record can't be read. Whoever waits for it goes on waiting."""
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
        """Cancel these jobs and all that need them; what they waited for beside the cancelled job
        is needed by the others only."""
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

    # -- what upstream jobs inherit

    def _raise_upstream(self, job: Job) -> None:
        """Apply that a job has come: those upstream of it have at least its priority, and an early
        enough deadline."""
        # In rounds, each job at most once in one: of two paths to the same job the longer one
        # counts, and depth first each meeting of paths could double the work before it.
        to_visit = [job]
        while to_visit:
            raised: dict[JobId, Job] = {}
            for dependent in to_visit:
                self._raise_direct_dependencies(dependent, raised)
            to_visit = list(raised.values())

    def _raise_direct_dependencies(self, dependent: Job, raised: dict[JobId, Job]) -> None:
        """Raise the jobs that this one awaits; those that change are added to `raised`."""
        if not dependent.unmet_dependencies:
            return
        priority = dependent.priority
        deadline_at = self._deadline_for_dependency(dependent)
        for upstream_id in dependent.unmet_dependencies:
            upstream = self._jobs.get(upstream_id)
            if upstream is None:
                continue
            if upstream.priority >= priority and upstream.deadline_at <= deadline_at:
                continue
            upstream.priority = max(upstream.priority, priority)
            upstream.deadline_at = min(upstream.deadline_at, deadline_at)
            raised[upstream_id] = upstream

    def _deadline_for_dependency(self, dependent: Job) -> MonotonicTime:
        """Return by when the jobs that this one awaits should be done."""
        deadline_at = min(dependent.deadline_at, self._own_deadline(dependent))
        return MonotonicTime(deadline_at - self._remaining_s(dependent))

    def _release_dependencies(self, job: Job) -> None:
        """Apply that a job that waited has ended: those upstream are needed by the others only."""
        upstream_ids = list(job.unmet_dependencies)
        for upstream_id in upstream_ids:
            self._remove_edge(upstream_id, job)
        self._lower_upstream(upstream_ids)

    def _lower_upstream(self, job_ids: Iterable[JobId]) -> None:
        """Find anew what these jobs inherit, which fewer others need, and for those upstream of
        them as long as it changes; in rounds as in `_raise_upstream`, for the same reason."""
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
        """Find anew what the job inherits from its dependents; return whether it has changed."""
        priority, deadline_at = job.spec.priority, DISTANT_FUTURE
        for dependent in self.dependents(job.id):
            priority = max(priority, dependent.priority)
            deadline_at = min(deadline_at, self._deadline_for_dependency(dependent))
        is_changed = priority != job.priority or deadline_at != job.deadline_at
        job.priority, job.deadline_at = priority, deadline_at
        return is_changed


def _is_durably_cancelled(job: Job) -> bool:
    return job.upstream_cancelled or job.outcome == CANCELLED


def _may_be_cancelled(job: Job) -> bool:
    """Return whether a cancellation of the job was sent to the store and not answered."""
    return job.is_cancelled and job.is_end_write_sent and job.outcome is None
