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

from eldercart.jobs.registry import Job, JobRegistry
from eldercart.units import FOREVER, JobId, Steady
from eldercart.wire.users import CANCELLED

AGAIN_S, AGAIN_MOST_S = 0.5, 5.0  # before an end that was not there is read once more


@dataclass(slots=True)
class Effect:
    """What an end, or a new job, brings about."""

    ready: list[Job] = field(default_factory=list)  # may start from now on
    orphaned: list[Job] = field(default_factory=list)  # a job before them is cancelled, durably


@dataclass(slots=True)
class _UnreadEnd:
    due: Steady
    pause: float = AGAIN_S


class DependencyGraph:
    """Owns who waits for whom, and each job's priority and due time as those after it need them."""

    def __init__(
        self, jobs: JobRegistry, rest_s: Callable[[Job], float], due: Callable[[Job], Steady]
    ) -> None:
        """`rest_s`: how long a job is estimated to take once it is ready; `due`: when by its own
        deadline it should be done."""
        self._jobs = jobs
        self._rest_s = rest_s
        self._due = due
        # Job -> those that wait for its end. Only ends that are outstanding have an entry.
        self._dependents: dict[JobId, dict[JobId, Job]] = {}
        # awaited, but not in the job registry: ended, most likely
        self._unread: dict[JobId, _UnreadEnd] = {}

    def dependents(self, job: JobId) -> Iterable[Job]:
        """The jobs that wait for the end of this one."""
        return self._dependents.get(job, {}).values()

    # -- inputs

    def add(self, job: Job, now: Steady) -> Effect:
        """A job that has come into the job registry."""
        self._unread.pop(job.id, None)
        effect = Effect()
        if job.ready:
            effect.ready.append(job)
        for name in job.spec.dependencies:
            before = self._jobs.get(name)
            if before is not None and (before.orphaned or before.ended == CANCELLED):
                self._orphan([job], effect)
                return effect
            if before is not None and before.ended is not None:
                continue
            job.awaited.add(name)
            self._dependents.setdefault(name, {})[job.id] = job
            if before is None:
                self._unread[name] = _UnreadEnd(now)
        self._settle(job, now, effect)
        for after in self.dependents(job.id):  # which came before it, as from a take-over
            job.priority = max(job.priority, after.priority)
            job.due = min(job.due, self._due_before(after))
        self._raise(job)
        return effect

    def begun(self, job: Job, now: Steady) -> Effect:
        """A placement of it is recorded, so it was ready when that was written, and remains so."""
        effect = Effect()
        for name in list(job.awaited):
            self._cut(name, job)
        self._settle(job, now, effect)
        return effect

    def ended(self, job: JobId, how: str, now: Steady) -> Effect:
        """The durable end of a job, in the job registry or not."""
        effect = Effect()
        self._unread.pop(job, None)
        waiting = self._dependents.pop(job, {})
        known = self._jobs.get(job)
        if how == CANCELLED:
            self._orphan(waiting.values(), effect)
        else:
            for after in waiting.values():
                after.awaited.discard(job)
                self._settle(after, now, effect)
        if known is not None and known.awaited:
            self._leave(known)
        return effect

    def absent(self, job: JobId, now: Steady) -> None:
        """A read found no end of it, or could not be made: it is open and comes with a watch, or
        its record can't be read. Whoever waits for it goes on waiting, and stays known."""
        unread = self._unread.get(job)
        if unread is not None:
            unread.due = Steady(now + unread.pause)
            unread.pause = min(AGAIN_MOST_S, 2 * unread.pause)

    def undecided(self, job: Job) -> bool:
        """Whether a job before it may have been cancelled durably without this leader knowing: its
        end is not read yet, or was sent and not answered. Another node, or the leader before, may
        have told the user so of this job, too, and `pending` would go back on that."""
        if not job.awaited:
            return False
        seen: set[JobId] = set()
        todo = list(job.awaited)
        while todo:
            name = todo.pop()
            if name in seen:
                continue
            seen.add(name)
            before = self._jobs.get(name)
            if before is None or (before.cancelled and before.end_sent and before.ended is None):
                return True
            todo += before.awaited
        return False

    @property
    def reading(self) -> bool:
        """Whether the end of an awaited job is not known yet."""
        return bool(self._unread)

    def take_unread(self, now: Steady, most: int) -> list[JobId]:
        """Jobs whose ends must be read now."""
        if not self._unread or most <= 0:
            return []
        out: list[JobId] = []
        for job, unread in self._unread.items():
            if unread.due <= now:
                out.append(job)
                unread.due = Steady(now + AGAIN_MOST_S)  # under way
                if len(out) >= most:
                    break
        return out

    # -- steps

    def _settle(self, job: Job, now: Steady, effect: Effect) -> None:
        if not job.awaited and not job.ready:
            job.ready = True
            job.ready_at = now
            effect.ready.append(job)

    def _cut(self, name: JobId, job: Job) -> None:
        job.awaited.discard(name)
        waiting = self._dependents.get(name)
        if waiting is not None:
            waiting.pop(job.id, None)
            if not waiting:
                del self._dependents[name]
                self._unread.pop(name, None)

    def _orphan(self, jobs: Iterable[Job], effect: Effect) -> None:
        """These are cancelled, and all that need them; whoever they waited for beside the cancelled
        job is needed by the others only."""
        todo = list(jobs)
        left: set[JobId] = set()
        while todo:
            job = todo.pop()
            if job.orphaned:
                continue
            job.orphaned = True
            effect.orphaned.append(job)
            todo += self._dependents.pop(job.id, {}).values()
            left |= job.awaited
            for name in list(job.awaited):
                self._cut(name, job)
        self._lower(left)

    # -- what those upstream inherit

    def _raise(self, job: Job) -> None:
        """A job has come: those before it have at least its priority, and are due early enough."""
        # In rounds, each job at most once in one: of two paths to the same job the longer one
        # counts, and depth first each meeting of paths could double the work before it.
        todo = [job]
        while todo:
            raised: dict[JobId, Job] = {}
            for after in todo:
                self._raise_before(after, raised)
            todo = list(raised.values())

    def _raise_before(self, after: Job, raised: dict[JobId, Job]) -> None:
        """Those that this job awaits; whoever changes is added to `raised`."""
        if not after.awaited:
            return
        due = self._due_before(after)
        for name in after.awaited:
            before = self._jobs.get(name)
            if before is None or (before.priority >= after.priority and before.due <= due):
                continue
            before.priority = max(before.priority, after.priority)
            before.due = min(before.due, due)
            raised[name] = before

    def _due_before(self, after: Job) -> Steady:
        return Steady(min(after.due, self._due(after)) - self._rest_s(after))

    def _leave(self, job: Job) -> None:
        """A job that waited has ended: those before it are needed by the others only."""
        names = list(job.awaited)
        for name in names:
            self._cut(name, job)
        self._lower(names)

    def _lower(self, names: Iterable[JobId]) -> None:
        """Jobs that fewer others need: what they inherit is found anew, and for those before them
        as long as it changes; in rounds as in `_raise`, for the same reason."""
        todo = set(names)
        while todo:
            lowered: set[JobId] = set()
            for name in todo:
                before = self._jobs.get(name)
                if before is None or before.ended is not None or before.orphaned:
                    continue
                if self._inherit(before):
                    lowered |= before.awaited
            todo = lowered

    def _inherit(self, before: Job) -> bool:
        """Finds anew what the job inherits; returns whether it has changed."""
        priority, due = before.spec.priority, FOREVER
        for after in self.dependents(before.id):
            priority = max(priority, after.priority)
            due = min(due, self._due_before(after))
        changed = priority != before.priority or due != before.due
        before.priority, before.due = priority, due
        return changed
