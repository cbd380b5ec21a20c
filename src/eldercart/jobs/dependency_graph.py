"""Which jobs wait for which, whether one is ready, and what a cancellation means downstream.

The graph is derived from the store alone: the jobs' records name what they await, and only the
durable `end` of each tells how it ended, never a count of tasks in memory. So a new leader comes to
the same result, and a durable cancellation *is* that of every job downstream, also of one that is
submitted later; the ends that are written for those follow whenever there is room.

Nothing here recurses over the depth of a chain or looks at all jobs when one ends: an end costs
what the jobs next to it cost, and a cancellation what lies below it.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from eldercart.jobs.job import Job
from eldercart.jobs.registry import JobRegistry
from eldercart.units import DISTANT_FUTURE, JobId, MonotonicTime
from eldercart.wire.users import CANCELLED

RETRY_INITIAL_S, RETRY_MAX_S = 0.5, 5.0  # before an end that was not there is read once more


@dataclass(slots=True)
class DependencyEffect:
    """What an end, or a new job, brings about."""

    ready: list[Job] = field(default_factory=list)  # may start from now on
    upstream_cancelled: list[Job] = field(
        default_factory=list
    )  # a job before them is cancelled, durably


@dataclass(slots=True)
class _EndLookup:
    due_at: MonotonicTime
    retry_s: float = RETRY_INITIAL_S


class DependencyGraph:
    """Owns who waits for whom, and each job's priority and due time as those after it need them."""

    def __init__(
        self, jobs: JobRegistry, rest_s: Callable[[Job], float], due: Callable[[Job], MonotonicTime]
    ) -> None:
        """`rest_s`: how long a job is estimated to take once it is ready; `due`: when by its own
        deadline it should be done."""
        self._jobs = jobs
        self._remaining_s = rest_s
        self._own_deadline = due
        # Job -> those that wait for its end. Only ends that are outstanding have an entry.
        self._dependents: dict[JobId, dict[JobId, Job]] = {}
        # awaited, but not in the job registry: ended, most likely
        self._end_lookups: dict[JobId, _EndLookup] = {}

    def dependents(self, job: JobId) -> Iterable[Job]:
        """The jobs that wait for the end of this one."""
        return self._dependents.get(job, {}).values()

    # -- inputs

    def add(self, job: Job, now: MonotonicTime) -> DependencyEffect:
        """A job that has come into the job registry."""
        self._end_lookups.pop(job.id, None)
        effect = DependencyEffect()
        if job.is_ready:
            effect.ready.append(job)
        for name in job.spec.dependencies:
            before = self._jobs.get(name)
            if before is not None and (before.upstream_cancelled or before.outcome == CANCELLED):
                self._cancel_downstream([job], effect)
                return effect
            if before is not None and before.outcome is not None:
                continue
            job.unmet_dependencies.add(name)
            self._dependents.setdefault(name, {})[job.id] = job
            if before is None:
                self._end_lookups[name] = _EndLookup(now)
        self._mark_ready_if_unblocked(job, now, effect)
        for after in self.dependents(job.id):  # which came before it, as from a take-over
            job.priority = max(job.priority, after.priority)
            job.deadline_at = min(job.deadline_at, self._deadline_for_dependency(after))
        self._raise_upstream(job)
        return effect

    def on_job_started(self, job: Job, now: MonotonicTime) -> DependencyEffect:
        """A placement of it is recorded, so it was ready when that was written, and remains so."""
        effect = DependencyEffect()
        for name in list(job.unmet_dependencies):
            self._remove_edge(name, job)
        self._mark_ready_if_unblocked(job, now, effect)
        return effect

    def on_job_ended(self, job: JobId, how: str, now: MonotonicTime) -> DependencyEffect:
        """The durable end of a job, in the job registry or not."""
        effect = DependencyEffect()
        self._end_lookups.pop(job, None)
        waiting = self._dependents.pop(job, {})
        known = self._jobs.get(job)
        if how == CANCELLED:
            self._cancel_downstream(waiting.values(), effect)
        else:
            for after in waiting.values():
                after.unmet_dependencies.discard(job)
                self._mark_ready_if_unblocked(after, now, effect)
        if known is not None and known.unmet_dependencies:
            self._release_dependencies(known)
        return effect

    def on_end_not_found(self, job: JobId, now: MonotonicTime) -> None:
        """A read found no end of it, or could not be made: it is open and comes with a watch, or
        its record can't be read. Whoever waits for it goes on waiting, and stays known."""
        unread = self._end_lookups.get(job)
        if unread is not None:
            unread.due_at = MonotonicTime(now + unread.retry_s)
            unread.retry_s = min(RETRY_MAX_S, 2 * unread.retry_s)

    def may_be_cancelled_upstream(self, job: Job) -> bool:
        """Whether a job before it may have been cancelled durably without this leader knowing: its
        end is not read yet, or was sent and not answered. Another node, or the leader before, may
        have told the user so of this job, too, and `pending` would go back on that."""
        if not job.unmet_dependencies:
            return False
        seen: set[JobId] = set()
        todo = list(job.unmet_dependencies)
        while todo:
            name = todo.pop()
            if name in seen:
                continue
            seen.add(name)
            before = self._jobs.get(name)
            if before is None or (
                before.is_cancelled and before.is_end_write_sent and before.outcome is None
            ):
                return True
            todo += before.unmet_dependencies
        return False

    @property
    def has_end_lookups(self) -> bool:
        """Whether the end of an awaited job is not known yet."""
        return bool(self._end_lookups)

    def take_due_end_lookups(self, now: MonotonicTime, most: int) -> list[JobId]:
        """Jobs whose ends must be read now."""
        if not self._end_lookups or most <= 0:
            return []
        out: list[JobId] = []
        for job, unread in self._end_lookups.items():
            if unread.due_at <= now:
                out.append(job)
                unread.due_at = MonotonicTime(now + RETRY_MAX_S)  # under way
                if len(out) >= most:
                    break
        return out

    # -- steps

    def _mark_ready_if_unblocked(
        self, job: Job, now: MonotonicTime, effect: DependencyEffect
    ) -> None:
        if not job.unmet_dependencies and not job.is_ready:
            job.is_ready = True
            job.ready_at = now
            effect.ready.append(job)

    def _remove_edge(self, name: JobId, job: Job) -> None:
        job.unmet_dependencies.discard(name)
        waiting = self._dependents.get(name)
        if waiting is not None:
            waiting.pop(job.id, None)
            if not waiting:
                del self._dependents[name]
                self._end_lookups.pop(name, None)

    def _cancel_downstream(self, jobs: Iterable[Job], effect: DependencyEffect) -> None:
        """These are cancelled, and all that need them; whoever they waited for beside the cancelled
        job is needed by the others only."""
        todo = list(jobs)
        left: set[JobId] = set()
        while todo:
            job = todo.pop()
            if job.upstream_cancelled:
                continue
            job.upstream_cancelled = True
            effect.upstream_cancelled.append(job)
            todo += self._dependents.pop(job.id, {}).values()
            left |= job.unmet_dependencies
            for name in list(job.unmet_dependencies):
                self._remove_edge(name, job)
        self._lower_upstream(left)

    # -- what those upstream inherit

    def _raise_upstream(self, job: Job) -> None:
        """A job has come: those before it have at least its priority, and are due early enough."""
        # In rounds, each job at most once in one: of two paths to the same job the longer one
        # counts, and depth first each meeting of paths could double the work before it.
        todo = [job]
        while todo:
            raised: dict[JobId, Job] = {}
            for after in todo:
                self._raise_direct_dependencies(after, raised)
            todo = list(raised.values())

    def _raise_direct_dependencies(self, after: Job, raised: dict[JobId, Job]) -> None:
        """Those that this job awaits; whoever changes is added to `raised`."""
        if not after.unmet_dependencies:
            return
        due = self._deadline_for_dependency(after)
        for name in after.unmet_dependencies:
            before = self._jobs.get(name)
            if before is None or (before.priority >= after.priority and before.deadline_at <= due):
                continue
            before.priority = max(before.priority, after.priority)
            before.deadline_at = min(before.deadline_at, due)
            raised[name] = before

    def _deadline_for_dependency(self, after: Job) -> MonotonicTime:
        return MonotonicTime(
            min(after.deadline_at, self._own_deadline(after)) - self._remaining_s(after)
        )

    def _release_dependencies(self, job: Job) -> None:
        """A job that waited has ended: those before it are needed by the others only."""
        names = list(job.unmet_dependencies)
        for name in names:
            self._remove_edge(name, job)
        self._lower_upstream(names)

    def _lower_upstream(self, names: Iterable[JobId]) -> None:
        """Jobs that fewer others need: what they inherit is found anew, and for those before them
        as long as it changes; in rounds as in `_raise`, for the same reason."""
        todo = set(names)
        while todo:
            lowered: set[JobId] = set()
            for name in todo:
                before = self._jobs.get(name)
                if before is None or before.outcome is not None or before.upstream_cancelled:
                    continue
                if self._recompute_inherited(before):
                    lowered |= before.unmet_dependencies
            todo = lowered

    def _recompute_inherited(self, before: Job) -> bool:
        """Finds anew what the job inherits; returns whether it has changed."""
        priority, due = before.spec.priority, DISTANT_FUTURE
        for after in self.dependents(before.id):
            priority = max(priority, after.priority)
            due = min(due, self._deadline_for_dependency(after))
        changed = priority != before.priority or due != before.deadline_at
        before.priority, before.deadline_at = priority, due
        return changed
