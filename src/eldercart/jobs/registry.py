"""Jobs, their tasks and placements, and the records that make them durable.

A job's tasks are cut into chunks that fit the state service's value limit; a chunk's part holds
the done tasks as ranges, the placements, and the highest attempt used, from which attempts grow.

A job keeps the chunk size that its record tells. If the value limit falls, a chunk may be too large
for it: then it is cut anew, finer, and each of these finer chunks says in its part where it begins
and how many tasks it covers. For any task the finest part that covers it counts. Cutting only goes
finer, and a finer chunk goes on from the coarse one's highest attempt, so that no attempt is used
twice. A late copy of a transaction with the coarse part may make that part the newest of all in the
store; it is older all the same, whatever its version says, and the finer parts prevail.
"""

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from enum import IntEnum
from typing import Any

from eldercart.units import (
    CLOCK_ZERO,
    FOREVER,
    NEVER,
    NO_ATTEMPT,
    Attempt,
    JobId,
    MachineId,
    Steady,
    TaskKey,
    task_key,
)
from eldercart.wire import Malformed
from eldercart.wire.state import Item
from eldercart.wire.users import (
    CANCELLED,
    DONE,
    JobSpec,
    ListReference,
    reference_in,
    spec_from_record,
    spec_to_record,
    with_dependencies,
)

JOB, END, PLACE, CLEANUP = "job/", "end/", "place/", "gone/"
DEPENDENCY_LISTS = "needs/"  # lists of dependencies that are too long for their job's record
_LIST = "l"  # in a resolved record, never in a stored one: where its list was read
ENTRY_BYTES = 48  # the most that one placement takes in a record
AVOID_S = 40.0  # for which a job keeps off a machine where its tasks failed or were slow


def chunk_size(value_bytes: int) -> int:
    """How many tasks a part covers so that it fits a value, with a placement for each."""
    return max(8, min(500, int(value_bytes * 0.8) // ENTRY_BYTES))


class Phase(IntEnum):
    """How far a placement is."""

    PLANNED = 0  # not yet durable: nothing may be sent
    WANTED = 1  # durable; launched or to be launched
    FETCHING = 2
    RUNNING = 3
    SAVING = 4
    ENDED = 5  # over; stays until the record says so


@dataclass(slots=True, eq=False)
class Placement:
    """One attempt of a task on one machine."""

    key: TaskKey
    job: "Job"
    index: int
    attempt: Attempt
    machine: MachineId
    phase: Phase = Phase.PLANNED
    maybe_there: bool = False  # a launch was sent, or may have been by an earlier leader
    queued: bool = False  # waits on its machine for room; nothing was sent
    queued_at: Steady = CLOCK_ZERO
    stopping: bool = False
    since: Steady = CLOCK_ZERO  # start of running, as seen here
    since_known: bool = True  # False: it ran already when this leader first heard of it
    reported: bool = False
    priority: int = 0  # the job's when it was placed
    kept: bool = False  # the first of a job that waited too long: not stopped for others
    mark: int = 0  # of the last report that listed it
    unacknowledged: int = 0  # launches or kills of it that went out without effect so far

    def ran(self, now: Steady) -> float:
        """Seconds of running, as seen here."""
        return now - self.since if self.phase is Phase.RUNNING else 0.0


@dataclass(slots=True, eq=False)
class Chunk:
    """A run of a job's tasks that share one part of a placement record."""

    low: int  # its first task
    high: int  # the task after its last
    cut: bool = False  # finer than the job's record says
    attempt: Attempt = NO_ATTEMPT
    dirty: bool = False
    urgent: bool = False  # holds a placement that waits to be launched
    dirty_since: Steady = CLOCK_ZERO
    placements: dict[int, Placement] = field(default_factory=dict)
    # the key of the record that it is written in, see `placement_records`
    record_key: str | None = None
    reserved: int = 0  # bytes of that record
    written: tuple[Any, int] | None = None  # as it was written last, and its size in bytes

    @property
    def tasks(self) -> int:
        """How many tasks it covers."""
        return self.high - self.low


class Job:
    """One job. Only the job registry changes it."""

    def __init__(
        self, spec: JobSpec, size: int, arrived: Steady, elsewhere: ListReference | None = None
    ) -> None:
        """`size`: tasks of a chunk, as the job's record tells."""
        self.spec = spec
        self.id = spec.id
        self.size = size
        self.arrived = arrived
        self.elsewhere = elsewhere  # its list of dependencies, if its record does not hold it
        # What the dependency graph says of it, see `graph`.
        self.awaited: set[JobId] = set()  # jobs before it that are not known to be done
        self.ready = not spec.dependencies  # all of them are done, durably
        self.ready_at = arrived  # from when its waiting counts
        self.orphaned = False  # the cancellation of a job before it is durable, and so is its own
        self.priority = spec.priority  # the highest of any job that needs it
        self.due = FOREVER  # when it should be done for the sake of those that need it
        self.done = bytearray(spec.tasks)
        self.done_count = 0
        self.running = 0
        self.chunks: dict[int, Chunk] = {}  # by first task
        self.cuts: dict[int, list[int]] = {}  # by number of the chunk cut anew: where parts begin
        self.fresh = 0  # the first task never placed
        self.again: list[int] = []  # tasks to place once more
        self.late = False  # deferred: its promises can't be kept any more
        self.rank = 0  # its place in the last pass's order
        self.queued = 0  # tasks written ahead of free room
        self.cancelled = False  # asked for; durable once `ended` is set
        self.cancelled_at = Steady(0)  # when it was asked for, by whichever leader
        self.kill_due = Steady(0)  # from when on a machine that still has a task of it goes
        self.begun = False  # a task of it has run, here or under an earlier leader
        self.aged = False  # has waited so long that it goes ahead, see `planner.Planner`
        self.end_sent = False  # its end may be in the store, and may be told elsewhere
        self.end_unsure = False  # a write of it may still be applied late
        # lost work to the cloud: what is started again prefers ordinary machines
        self.prefers_ordinary = False
        self.unreadable = False  # a record of it can't be read: nothing of it may start
        self.ended: str | None = None
        self.errors = 0
        self.backoff_until = NEVER
        self.bad_machines: dict[MachineId, Steady] = {}  # where it fared badly: avoided until
        self.served = NEVER  # when it was last given room
        self.ran: list[float] = []  # run times seen, for comparison
        self.longest = 0.0  # of these, kept

    @property
    def pending(self) -> int:
        """Tasks that are neither done nor placed."""
        return self.spec.tasks - self.fresh + len(self.again)

    @property
    def open(self) -> bool:
        """Neither ended nor asked to be cancelled, and nothing before it is outstanding: its tasks
        may start."""
        return self.ended is None and self.ready and not self.cancelled and not self.unreadable

    @property
    def complete(self) -> bool:
        """Whether all tasks are done, as far as reports tell: not yet durable."""
        return self.done_count == self.spec.tasks

    def avoid(self, machine: MachineId, now: Steady) -> None:
        """The job fared badly on this machine and keeps off it for a while."""
        self.bad_machines[machine] = Steady(now + AVOID_S)

    def avoids(self, machine: MachineId, now: Steady) -> bool:
        """Not for ever: the others may be full, or deleted."""
        return bool(self.bad_machines) and self.bad_machines.get(machine, NEVER) > now

    def note_run(self, seconds: float) -> None:
        """A task took so long to run."""
        self.ran.append(seconds)
        if len(self.ran) > 60:
            del self.ran[:30]
            self.longest = max(self.ran)
        self.longest = max(self.longest, seconds)

    def placements(self) -> Iterator[Placement]:
        """Of all its chunks."""
        for chunk in self.chunks.values():
            yield from chunk.placements.values()

    def span(self, number: int) -> tuple[int, int]:
        """The tasks of a chunk of the size that the job's record tells."""
        return number * self.size, min((number + 1) * self.size, self.spec.tasks)

    def chunk_of(self, index: int) -> Chunk:
        """The chunk that covers the task; made if there is none yet."""
        number = index // self.size
        lows = self.cuts.get(number)
        low, high = self.span(number)
        if lows is not None:
            low = lows[bisect_right(lows, index) - 1]
        chunk = self.chunks.get(low)
        if chunk is None:
            chunk = self.chunks[low] = Chunk(low, high)
        return chunk

    def note_cuts(self, number: int) -> None:
        """The chunk of this number was cut anew, or found so."""
        low, high = self.span(number)
        self.cuts[number] = sorted(c for c in self.chunks if low <= c < high)

    def part(self, chunk: Chunk) -> list[Any]:
        """As a placement record holds it. With `n`, the second entry is where the part begins;
        without, the number of a chunk of the job's own size, as all versions know it."""
        if chunk.cut:
            return [self.id, chunk.low, self.record(chunk) | {"n": chunk.tasks}]
        return [self.id, chunk.low // self.size, self.record(chunk)]

    def record(self, chunk: Chunk) -> dict[str, Any]:
        """The content of a part: highest attempt, done tasks as ranges, placements."""
        ranges: list[list[int]] = []
        for i in range(chunk.low, chunk.high):
            if self.done[i]:
                if ranges and ranges[-1][1] == i - 1:
                    ranges[-1][1] = i
                else:
                    ranges.append([i, i])
        running = [
            [p.index, p.attempt, p.machine]
            for p in chunk.placements.values()
            if p.phase is not Phase.ENDED
        ]
        return {"a": chunk.attempt, "d": ranges, "r": running}


class JobRegistry:
    """Owns the jobs."""

    def __init__(self, size: int) -> None:
        """`size`: tasks of a chunk."""
        self._size = size
        self.jobs: dict[JobId, Job] = {}

    def __contains__(self, job: JobId) -> bool:
        """Whether the job is in the job registry."""
        return job in self.jobs

    def get(self, job: JobId) -> Job | None:
        """The job, if it is in the job registry."""
        return self.jobs.get(job)

    def add(
        self, spec: JobSpec, size: int, arrived: Steady, elsewhere: ListReference | None = None
    ) -> Job:
        """A job that was accepted, here or by another node."""
        job = Job(spec, size, arrived, elsewhere)
        self.jobs[spec.id] = job
        return job

    def remove(self, job: Job) -> None:
        """Its record is deleted."""
        self.jobs.pop(job.id, None)

    def load_chunk(
        self, job: Job, chunk: Chunk, value: Any, now: Steady, whole: bool = True
    ) -> list[Placement]:
        """Takes over a record of an earlier leader. Its placements may be on their machines. Unless
        `whole`, the record covers more tasks than the chunk, which others tell of."""
        try:
            attempt, done = Attempt(int(value["a"])), [(int(a), int(b)) for a, b in value["d"]]
            placed = [(int(i), Attempt(int(a)), MachineId(str(m))) for i, a, m in value["r"]]
            if any(b >= job.spec.tasks for _, b in done):
                raise ValueError(done)
        except (KeyError, TypeError, ValueError) as err:
            raise Malformed(f"place record: {err}") from None
        chunk.attempt = max(chunk.attempt, attempt)
        job.chunks[chunk.low] = chunk
        for low, high in done:
            if not whole:
                low, high = max(low, chunk.low), min(high, chunk.high - 1)
            for i in range(low, high + 1):
                if not job.done[i]:
                    job.done[i] = 1
                    job.done_count += 1
        job.begun = job.begun or bool(done)
        loaded = []
        for index, attempt, machine in placed:
            if not whole and not chunk.low <= index < chunk.high:
                continue
            p = Placement(
                task_key(job.id, index),
                job,
                index,
                attempt,
                machine,
                Phase.WANTED,
                maybe_there=True,  # whoever wrote it may have launched it
            )
            chunk.placements[index] = p
            loaded.append(p)
        return loaded

    def finish_load(self, job: Job) -> None:
        """Once all chunks are there: what is neither done nor placed waits."""
        job.fresh = max((c.high for c in job.chunks.values()), default=0)
        for number in {c.low // job.size for c in job.chunks.values() if c.cut}:
            # Between the finer parts there may be tasks that no record tells of: never launched.
            low, end = job.span(number)
            inside = [c for c in job.chunks.values() if low <= c.low < end]
            for chunk in sorted(inside, key=lambda c: c.low):
                if low < chunk.low:
                    job.chunks[low] = Chunk(low, chunk.low, cut=True)
                low = chunk.high
            if low < end:
                job.chunks[low] = Chunk(low, end, cut=True)
            job.note_cuts(number)
        placed = {i for chunk in job.chunks.values() for i in chunk.placements}
        job.again = [i for i in range(job.fresh) if not job.done[i] and i not in placed]
        job.again.reverse()

    def recut(self, job: Job, chunk: Chunk, most: int) -> list[Chunk]:
        """Cuts the chunk into finer ones of at most `most` tasks. All of them wait to be written,
        since together they take the place of the one that is not written any more."""
        finer = []
        for low in range(chunk.low, chunk.high, most):
            high = min(low + most, chunk.high)
            held = {i: p for i, p in chunk.placements.items() if low <= i < high}
            urgent = any(p.phase is Phase.PLANNED for p in held.values())
            fine = Chunk(low, high, True, chunk.attempt, True, urgent, chunk.dirty_since, held)
            job.chunks[low] = fine
            finer.append(fine)
        job.note_cuts(chunk.low // job.size)
        return finer

    def next_tasks(self, job: Job, number: int) -> list[int]:
        """Takes up to so many tasks that wait, those to be repeated first."""
        taken = []
        while number > 0 and job.again:
            taken.append(job.again.pop())
            number -= 1
        fresh = min(number, job.spec.tasks - job.fresh)
        taken.extend(range(job.fresh, job.fresh + fresh))
        job.fresh += fresh
        return taken

    def place(self, job: Job, index: int, machine: MachineId, now: Steady) -> Placement:
        """A new placement of the task, to be written before anything is sent."""
        chunk = job.chunk_of(index)
        chunk.attempt = Attempt(chunk.attempt + 1)
        p = Placement(task_key(job.id, index), job, index, chunk.attempt, machine)
        chunk.placements[index] = p
        self.touch(job, chunk, now, urgent=True)
        return p

    def mark_queued(self, p: Placement, now: Steady) -> None:
        """It waits on its machine for room."""
        p.queued = True
        p.queued_at = now
        p.job.queued += 1

    def unmark_queued(self, p: Placement) -> None:
        """It waits no longer."""
        p.queued = False
        p.job.queued -= 1

    def touch(self, job: Job, chunk: Chunk, now: Steady, urgent: bool = False) -> None:
        """The chunk must be written."""
        if not chunk.dirty:
            chunk.dirty = True
            chunk.dirty_since = now
        chunk.urgent = chunk.urgent or urgent

    def set_phase(self, p: Placement, phase: Phase, now: Steady) -> None:
        """Keeps the number of running tasks with the phase."""
        if phase is p.phase:
            return
        if phase is Phase.RUNNING:
            p.since = now
            p.job.running += 1
            p.job.begun = True
        elif p.phase is Phase.RUNNING:
            p.job.running -= 1
        p.phase = phase

    def finish(self, p: Placement, now: Steady) -> None:
        """The task is done. The placement stays, ended, until the record says so."""
        job = p.job
        self.set_phase(p, Phase.ENDED, now)
        if not job.done[p.index]:
            job.done[p.index] = 1
            job.done_count += 1
        self.touch(job, job.chunk_of(p.index), now)

    def drop(self, p: Placement, now: Steady, again: bool) -> None:
        """The task is proven not to be on the machine."""
        job = p.job
        self.set_phase(p, Phase.ENDED, now)
        chunk = job.chunk_of(p.index)
        if chunk.placements.get(p.index) is p:
            del chunk.placements[p.index]
        self.touch(job, chunk, now)
        if again and not job.cancelled and not job.done[p.index]:
            job.again.append(p.index)


def job_record(
    spec: JobSpec, size: int, at: float, elsewhere: ListReference | None = None
) -> dict[str, Any]:
    """The stored record of a job accepted at the time of day `at`."""
    return {"s": spec_to_record(spec, elsewhere), "n": size, "t": at}


def parse_job_record(job: JobId, value: Any) -> tuple[JobSpec, int, float]:
    """The submission, the tasks of a chunk, and the time of acceptance."""
    if not isinstance(value, dict):
        raise Malformed("job record")
    return spec_from_record(job, value.get("s")), int(value["n"]), float(value["t"])


def list_reference(value: Any) -> ListReference | None:
    """Where a job record's dependencies must be read before the record can be."""
    return reference_in(value.get("s")) if isinstance(value, dict) else None


def list_read_at(value: Any) -> ListReference | None:
    """Where the list was that `resolve` put into this record; None: the record held its own."""
    found = value.get(_LIST) if isinstance(value, dict) else None
    return found if isinstance(found, ListReference) else None


def dependency_list_prefix(job: JobId, reference: ListReference) -> str:
    """What the keys of the job's list begin with."""
    return f"{DEPENDENCY_LISTS}{job}/{reference.nonce}/"


def dependency_list_keys(job: JobId, reference: ListReference) -> list[str]:
    """The keys of the job's list, as the node that accepted it wrote them."""
    prefix = dependency_list_prefix(job, reference)
    return [f"{prefix}{number}" for number in range(reference.parts)]


def dependency_list_parts(dependencies: tuple[JobId, ...], value_bytes: int) -> list[list[JobId]]:
    """The lists to write before the record of a job that has these; none if its record takes
    them: a quarter of the value limit is left to them there."""
    sizes = [len(job) + 3 for job in dependencies]  # quotes and a comma
    if sum(sizes) + 2 <= value_bytes // 4:
        return []
    most = int(value_bytes * 0.8)
    parts: list[list[JobId]] = []
    room = 0
    for job, size in zip(dependencies, sizes, strict=True):
        if not parts or size > room:
            parts.append([])
            room = most
        parts[-1].append(job)
        room -= size
    return parts


def resolve(job: JobId, item: Item, lists: Iterable[Item]) -> Item | None:
    """The job's record as if its dependencies were in it, from a read of the lists; None as long
    as one of them is missing: it is not known then what the job awaits."""
    reference = list_reference(item.value)
    if reference is None:
        return item
    values = {found.key: found.value for found in lists}
    dependencies: list[JobId] = []
    for key in dependency_list_keys(job, reference):
        part = values.get(key)
        if not isinstance(part, list):
            return None
        dependencies += part
    record = with_dependencies(item.value["s"], tuple(dependencies))
    return replace(item, value={**item.value, "s": record, _LIST: reference})


def end_of(value: Any) -> str:
    """The final state that an end record tells."""
    cancelled = isinstance(value, dict) and value.get("e") == CANCELLED
    return CANCELLED if cancelled else DONE


def asked_at(value: Any) -> float | None:
    """The time of day of the cancellation that a marker tells; earlier releases wrote none."""
    at = value.get("t") if isinstance(value, dict) else None
    return float(at) if isinstance(at, int | float) else None
