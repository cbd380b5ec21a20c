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
    DISTANT_FUTURE,
    DISTANT_PAST,
    MONOTONIC_ZERO,
    NO_ATTEMPT,
    Attempt,
    JobId,
    MachineId,
    MonotonicTime,
    TaskKey,
    task_key,
)
from eldercart.wire import MalformedMessage
from eldercart.wire.state import Item
from eldercart.wire.users import (
    CANCELLED,
    DONE,
    DependencyListReference,
    JobSpec,
    parse_list_reference,
    record_with_dependencies,
    spec_from_record,
    spec_to_record,
)

JOB_PREFIX, END_PREFIX, PLACEMENT_PREFIX, CLEANUP_PREFIX = "job/", "end/", "place/", "gone/"
DEPENDENCY_LIST_PREFIX = "needs/"  # lists of dependencies that are too long for their job's record
_RESOLVED_LIST_FIELD = "l"  # in a resolved record, never in a stored one: where its list was read
MAX_PLACEMENT_ENTRY_BYTES = 48  # the most that one placement takes in a record
MACHINE_AVOIDANCE_S = (
    40.0  # for which a job keeps off a machine where its tasks failed or were slow
)


def max_tasks_per_chunk(value_bytes: int) -> int:
    """How many tasks a part covers so that it fits a value, with a placement for each."""
    return max(8, min(500, int(value_bytes * 0.8) // MAX_PLACEMENT_ENTRY_BYTES))


class PlacementPhase(IntEnum):
    """How far a placement is."""

    PLANNED = 0  # not yet durable: nothing may be sent
    COMMITTED = 1  # durable; launched or to be launched
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
    machine_id: MachineId
    phase: PlacementPhase = PlacementPhase.PLANNED
    may_have_launched: bool = False  # a launch was sent, or may have been by an earlier leader
    is_enqueued: bool = False  # waits on its machine for room; nothing was sent
    enqueued_at: MonotonicTime = MONOTONIC_ZERO
    is_terminating: bool = False
    started_at: MonotonicTime = MONOTONIC_ZERO  # start of running, as seen here
    is_start_known: bool = True  # False: it ran already when this leader first heard of it
    has_been_reported: bool = False
    priority_at_placement: int = 0  # the job's when it was placed
    is_exempt_from_preemption: bool = (
        False  # the first of a job that waited too long: not stopped for others
    )
    last_heartbeat_number: int = 0  # of the last report that listed it
    unacknowledged_commands: int = 0  # launches or kills of it that went out without effect so far

    def run_time_s(self, now: MonotonicTime) -> float:
        """Seconds of running, as seen here."""
        return now - self.started_at if self.phase is PlacementPhase.RUNNING else 0.0


@dataclass(slots=True, eq=False)
class Chunk:
    """A run of a job's tasks that share one part of a placement record."""

    first_index: int  # its first task
    end_index: int  # the task after its last
    is_subchunk: bool = False  # finer than the job's record says
    highest_attempt: Attempt = NO_ATTEMPT
    is_dirty: bool = False
    is_urgent: bool = False  # holds a placement that waits to be launched
    dirty_since: MonotonicTime = MONOTONIC_ZERO
    placements: dict[int, Placement] = field(default_factory=dict)
    # the key of the record that it is written in, see `placement_records`
    record_key: str | None = None
    reserved_bytes: int = 0  # bytes of that record
    last_written: tuple[Any, int] | None = None  # as it was written last, and its size in bytes

    @property
    def task_count(self) -> int:
        """How many tasks it covers."""
        return self.end_index - self.first_index


class Job:
    """One job. Only the job registry changes it."""

    def __init__(
        self,
        spec: JobSpec,
        tasks_per_chunk: int,
        submitted_at: MonotonicTime,
        dependency_list_reference: DependencyListReference | None = None,
    ) -> None:
        """`size`: tasks of a chunk, as the job's record tells."""
        self.spec = spec
        self.id = spec.id
        self.tasks_per_chunk = tasks_per_chunk
        self.submitted_at = submitted_at
        self.dependency_list_reference = (
            dependency_list_reference  # its list of dependencies, if its record does not hold it
        )
        # What the dependency graph says of it, see `graph`.
        self.unmet_dependencies: set[JobId] = set()  # jobs before it that are not known to be done
        self.is_ready = not spec.dependencies  # all of them are done, durably
        self.ready_at = submitted_at  # from when its waiting counts
        self.upstream_cancelled = (
            False  # the cancellation of a job before it is durable, and so is its own
        )
        self.priority = spec.priority  # the highest of any job that needs it
        self.deadline_at = (
            DISTANT_FUTURE  # when it should be done for the sake of those that need it
        )
        self.done_flags = bytearray(spec.task_count)
        self.done_count = 0
        self.running_count = 0
        self.chunks: dict[int, Chunk] = {}  # by first task
        self.subchunk_starts: dict[
            int, list[int]
        ] = {}  # by number of the chunk cut anew: where parts begin
        self.next_unplaced_index = 0  # the first task never placed
        self.retry_indexes: list[int] = []  # tasks to place once more
        self.is_deferred = False  # deferred: its promises can't be kept any more
        self.queue_position = 0  # its place in the last pass's order
        self.enqueued_count = 0  # tasks written ahead of free room
        self.is_cancelled = False  # asked for; durable once `ended` is set
        self.cancelled_at = MonotonicTime(0)  # when it was asked for, by whichever leader
        self.kill_deadline_at = MonotonicTime(
            0
        )  # from when on a machine that still has a task of it goes
        self.has_started = False  # a task of it has run, here or under an earlier leader
        self.is_starving = False  # has waited so long that it goes ahead, see `planner.Planner`
        self.is_end_write_sent = False  # its end may be in the store, and may be told elsewhere
        self.is_end_write_indeterminate = False  # a write of it may still be applied late
        # lost work to the cloud: what is started again prefers ordinary machines
        self.prefers_on_demand = False
        self.has_unreadable_record = False  # a record of it can't be read: nothing of it may start
        self.outcome: str | None = None
        self.error_count = 0
        self.backoff_until = DISTANT_PAST
        self.avoided_machines: dict[
            MachineId, MonotonicTime
        ] = {}  # where it fared badly: avoided until
        self.last_placed_at = DISTANT_PAST  # when it was last given room
        self.run_times_s: list[float] = []  # run times seen, for comparison
        self.longest_run_time_s = 0.0  # of these, kept

    @property
    def unplaced_count(self) -> int:
        """Tasks that are neither done nor placed."""
        return self.spec.task_count - self.next_unplaced_index + len(self.retry_indexes)

    @property
    def is_runnable(self) -> bool:
        """Neither ended nor asked to be cancelled, and nothing before it is outstanding: its tasks
        may start."""
        return (
            self.outcome is None
            and self.is_ready
            and not self.is_cancelled
            and not self.has_unreadable_record
        )

    @property
    def is_complete(self) -> bool:
        """Whether all tasks are done, as far as reports tell: not yet durable."""
        return self.done_count == self.spec.task_count

    def avoid_machine(self, machine: MachineId, now: MonotonicTime) -> None:
        """The job fared badly on this machine and keeps off it for a while."""
        self.avoided_machines[machine] = MonotonicTime(now + MACHINE_AVOIDANCE_S)

    def avoids_machine(self, machine: MachineId, now: MonotonicTime) -> bool:
        """Not for ever: the others may be full, or deleted."""
        return (
            bool(self.avoided_machines) and self.avoided_machines.get(machine, DISTANT_PAST) > now
        )

    def record_run_time(self, seconds: float) -> None:
        """A task took so long to run."""
        self.run_times_s.append(seconds)
        if len(self.run_times_s) > 60:
            del self.run_times_s[:30]
            self.longest_run_time_s = max(self.run_times_s)
        self.longest_run_time_s = max(self.longest_run_time_s, seconds)

    def placements(self) -> Iterator[Placement]:
        """Of all its chunks."""
        for chunk in self.chunks.values():
            yield from chunk.placements.values()

    def chunk_range(self, number: int) -> tuple[int, int]:
        """The tasks of a chunk of the size that the job's record tells."""
        return number * self.tasks_per_chunk, min(
            (number + 1) * self.tasks_per_chunk, self.spec.task_count
        )

    def chunk_for(self, index: int) -> Chunk:
        """The chunk that covers the task; made if there is none yet."""
        number = index // self.tasks_per_chunk
        lows = self.subchunk_starts.get(number)
        low, high = self.chunk_range(number)
        if lows is not None:
            low = lows[bisect_right(lows, index) - 1]
        chunk = self.chunks.get(low)
        if chunk is None:
            chunk = self.chunks[low] = Chunk(low, high)
        return chunk

    def refresh_subchunk_starts(self, number: int) -> None:
        """The chunk of this number was cut anew, or found so."""
        low, high = self.chunk_range(number)
        self.subchunk_starts[number] = sorted(c for c in self.chunks if low <= c < high)

    def encode_part(self, chunk: Chunk) -> list[Any]:
        """As a placement record holds it. With `n`, the second entry is where the part begins;
        without, the number of a chunk of the job's own size, as all versions know it."""
        if chunk.is_subchunk:
            return [self.id, chunk.first_index, self.encode_chunk(chunk) | {"n": chunk.task_count}]
        return [self.id, chunk.first_index // self.tasks_per_chunk, self.encode_chunk(chunk)]

    def encode_chunk(self, chunk: Chunk) -> dict[str, Any]:
        """The content of a part: highest attempt, done tasks as ranges, placements."""
        ranges: list[list[int]] = []
        for i in range(chunk.first_index, chunk.end_index):
            if self.done_flags[i]:
                if ranges and ranges[-1][1] == i - 1:
                    ranges[-1][1] = i
                else:
                    ranges.append([i, i])
        running = [
            [p.index, p.attempt, p.machine_id]
            for p in chunk.placements.values()
            if p.phase is not PlacementPhase.ENDED
        ]
        return {"a": chunk.highest_attempt, "d": ranges, "r": running}


class JobRegistry:
    """Owns the jobs."""

    def __init__(self, tasks_per_chunk: int) -> None:
        """`size`: tasks of a chunk."""
        self._tasks_per_chunk = tasks_per_chunk
        self.jobs: dict[JobId, Job] = {}

    def __contains__(self, job: JobId) -> bool:
        """Whether the job is in the job registry."""
        return job in self.jobs

    def get(self, job: JobId) -> Job | None:
        """The job, if it is in the job registry."""
        return self.jobs.get(job)

    def add(
        self,
        spec: JobSpec,
        tasks_per_chunk: int,
        submitted_at: MonotonicTime,
        dependency_list_reference: DependencyListReference | None = None,
    ) -> Job:
        """A job that was accepted, here or by another node."""
        job = Job(spec, tasks_per_chunk, submitted_at, dependency_list_reference)
        self.jobs[spec.id] = job
        return job

    def remove(self, job: Job) -> None:
        """Its record is deleted."""
        self.jobs.pop(job.id, None)

    def load_chunk(
        self, job: Job, chunk: Chunk, value: Any, now: MonotonicTime, covers_whole_part: bool = True
    ) -> list[Placement]:
        """Takes over a record of an earlier leader. Its placements may be on their machines. Unless
        `whole`, the record covers more tasks than the chunk, which others tell of."""
        try:
            attempt, done = Attempt(int(value["a"])), [(int(a), int(b)) for a, b in value["d"]]
            placed = [(int(i), Attempt(int(a)), MachineId(str(m))) for i, a, m in value["r"]]
            if any(b >= job.spec.task_count for _, b in done):
                raise ValueError(done)
        except (KeyError, TypeError, ValueError) as err:
            raise MalformedMessage(f"place record: {err}") from None
        chunk.highest_attempt = max(chunk.highest_attempt, attempt)
        job.chunks[chunk.first_index] = chunk
        for low, high in done:
            if not covers_whole_part:
                low, high = max(low, chunk.first_index), min(high, chunk.end_index - 1)
            for i in range(low, high + 1):
                if not job.done_flags[i]:
                    job.done_flags[i] = 1
                    job.done_count += 1
        job.has_started = job.has_started or bool(done)
        loaded = []
        for index, attempt, machine in placed:
            if not covers_whole_part and not chunk.first_index <= index < chunk.end_index:
                continue
            p = Placement(
                task_key(job.id, index),
                job,
                index,
                attempt,
                machine,
                PlacementPhase.COMMITTED,
                may_have_launched=True,  # whoever wrote it may have launched it
            )
            chunk.placements[index] = p
            loaded.append(p)
        return loaded

    def finish_load(self, job: Job) -> None:
        """Once all chunks are there: what is neither done nor placed waits."""
        job.next_unplaced_index = max((c.end_index for c in job.chunks.values()), default=0)
        for number in {
            c.first_index // job.tasks_per_chunk for c in job.chunks.values() if c.is_subchunk
        }:
            # Between the finer parts there may be tasks that no record tells of: never launched.
            low, end = job.chunk_range(number)
            inside = [c for c in job.chunks.values() if low <= c.first_index < end]
            for chunk in sorted(inside, key=lambda c: c.first_index):
                if low < chunk.first_index:
                    job.chunks[low] = Chunk(low, chunk.first_index, is_subchunk=True)
                low = chunk.end_index
            if low < end:
                job.chunks[low] = Chunk(low, end, is_subchunk=True)
            job.refresh_subchunk_starts(number)
        placed = {i for chunk in job.chunks.values() for i in chunk.placements}
        job.retry_indexes = [
            i for i in range(job.next_unplaced_index) if not job.done_flags[i] and i not in placed
        ]
        job.retry_indexes.reverse()

    def subdivide_chunk(self, job: Job, chunk: Chunk, max_tasks: int) -> list[Chunk]:
        """Cuts the chunk into finer ones of at most `most` tasks. All of them wait to be written,
        since together they take the place of the one that is not written any more."""
        finer = []
        for low in range(chunk.first_index, chunk.end_index, max_tasks):
            high = min(low + max_tasks, chunk.end_index)
            held = {i: p for i, p in chunk.placements.items() if low <= i < high}
            urgent = any(p.phase is PlacementPhase.PLANNED for p in held.values())
            fine = Chunk(
                low, high, True, chunk.highest_attempt, True, urgent, chunk.dirty_since, held
            )
            job.chunks[low] = fine
            finer.append(fine)
        job.refresh_subchunk_starts(chunk.first_index // job.tasks_per_chunk)
        return finer

    def take_unplaced_tasks(self, job: Job, max_tasks: int) -> list[int]:
        """Takes up to so many tasks that wait, those to be repeated first."""
        taken = []
        while max_tasks > 0 and job.retry_indexes:
            taken.append(job.retry_indexes.pop())
            max_tasks -= 1
        fresh = min(max_tasks, job.spec.task_count - job.next_unplaced_index)
        taken.extend(range(job.next_unplaced_index, job.next_unplaced_index + fresh))
        job.next_unplaced_index += fresh
        return taken

    def add_placement(
        self, job: Job, index: int, machine: MachineId, now: MonotonicTime
    ) -> Placement:
        """A new placement of the task, to be written before anything is sent."""
        chunk = job.chunk_for(index)
        chunk.highest_attempt = Attempt(chunk.highest_attempt + 1)
        p = Placement(task_key(job.id, index), job, index, chunk.highest_attempt, machine)
        chunk.placements[index] = p
        self.mark_dirty(job, chunk, now, is_urgent=True)
        return p

    def mark_enqueued(self, p: Placement, now: MonotonicTime) -> None:
        """It waits on its machine for room."""
        p.is_enqueued = True
        p.enqueued_at = now
        p.job.enqueued_count += 1

    def mark_dequeued(self, p: Placement) -> None:
        """It waits no longer."""
        p.is_enqueued = False
        p.job.enqueued_count -= 1

    def mark_dirty(
        self, job: Job, chunk: Chunk, now: MonotonicTime, is_urgent: bool = False
    ) -> None:
        """The chunk must be written."""
        if not chunk.is_dirty:
            chunk.is_dirty = True
            chunk.dirty_since = now
        chunk.is_urgent = chunk.is_urgent or is_urgent

    def set_phase(self, p: Placement, phase: PlacementPhase, now: MonotonicTime) -> None:
        """Keeps the number of running tasks with the phase."""
        if phase is p.phase:
            return
        if phase is PlacementPhase.RUNNING:
            p.started_at = now
            p.job.running_count += 1
            p.job.has_started = True
        elif p.phase is PlacementPhase.RUNNING:
            p.job.running_count -= 1
        p.phase = phase

    def mark_done(self, p: Placement, now: MonotonicTime) -> None:
        """The task is done. The placement stays, ended, until the record says so."""
        job = p.job
        self.set_phase(p, PlacementPhase.ENDED, now)
        if not job.done_flags[p.index]:
            job.done_flags[p.index] = 1
            job.done_count += 1
        self.mark_dirty(job, job.chunk_for(p.index), now)

    def remove_placement(self, p: Placement, now: MonotonicTime, retry: bool) -> None:
        """The task is proven not to be on the machine."""
        job = p.job
        self.set_phase(p, PlacementPhase.ENDED, now)
        chunk = job.chunk_for(p.index)
        if chunk.placements.get(p.index) is p:
            del chunk.placements[p.index]
        self.mark_dirty(job, chunk, now)
        if retry and not job.is_cancelled and not job.done_flags[p.index]:
            job.retry_indexes.append(p.index)


def encode_job_record(
    spec: JobSpec,
    tasks_per_chunk: int,
    accepted_at: float,
    dependency_list_reference: DependencyListReference | None = None,
) -> dict[str, Any]:
    """The stored record of a job accepted at the time of day `at`."""
    return {
        "s": spec_to_record(spec, dependency_list_reference),
        "n": tasks_per_chunk,
        "t": accepted_at,
    }


def decode_job_record(job: JobId, value: Any) -> tuple[JobSpec, int, float]:
    """The submission, the tasks of a chunk, and the time of acceptance."""
    if not isinstance(value, dict):
        raise MalformedMessage("job record")
    return spec_from_record(job, value.get("s")), int(value["n"]), float(value["t"])


def decode_dependency_list_reference(value: Any) -> DependencyListReference | None:
    """Where a job record's dependencies must be read before the record can be."""
    return parse_list_reference(value.get("s")) if isinstance(value, dict) else None


def resolved_list_reference(value: Any) -> DependencyListReference | None:
    """Where the list was that `resolve` put into this record; None: the record held its own."""
    found = value.get(_RESOLVED_LIST_FIELD) if isinstance(value, dict) else None
    return found if isinstance(found, DependencyListReference) else None


def dependency_list_prefix(job: JobId, reference: DependencyListReference) -> str:
    """What the keys of the job's list begin with."""
    return f"{DEPENDENCY_LIST_PREFIX}{job}/{reference.nonce}/"


def dependency_list_keys(job: JobId, reference: DependencyListReference) -> list[str]:
    """The keys of the job's list, as the node that accepted it wrote them."""
    prefix = dependency_list_prefix(job, reference)
    return [f"{prefix}{number}" for number in range(reference.part_count)]


def split_dependency_list(dependencies: tuple[JobId, ...], value_bytes: int) -> list[list[JobId]]:
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


def resolve_dependency_list(job: JobId, item: Item, lists: Iterable[Item]) -> Item | None:
    """The job's record as if its dependencies were in it, from a read of the lists; None as long
    as one of them is missing: it is not known then what the job awaits."""
    reference = decode_dependency_list_reference(item.value)
    if reference is None:
        return item
    values = {found.key: found.value for found in lists}
    dependencies: list[JobId] = []
    for key in dependency_list_keys(job, reference):
        part = values.get(key)
        if not isinstance(part, list):
            return None
        dependencies += part
    record = record_with_dependencies(item.value["s"], tuple(dependencies))
    return replace(item, value={**item.value, "s": record, _RESOLVED_LIST_FIELD: reference})


def decode_end_record(value: Any) -> str:
    """The final state that an end record tells."""
    cancelled = isinstance(value, dict) and value.get("e") == CANCELLED
    return CANCELLED if cancelled else DONE


def decode_cancellation_time(value: Any) -> float | None:
    """The time of day of the cancellation that a marker tells; earlier releases wrote none."""
    at = value.get("t") if isinstance(value, dict) else None
    return float(at) if isinstance(at, int | float) else None
