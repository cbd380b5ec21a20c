"""A job, its chunks of tasks and the placements of its tasks.

A job's tasks are divided into chunks that fit the state store's value limit. The stored part of a
chunk holds the done tasks as ranges, the placements, and the highest attempt used, from which new
attempts are counted on.

A job keeps the chunk size of its record. If the value limit falls, a chunk may be too large for it.
It is then divided into subchunks, and each of these says in its part where it begins and how many
tasks it covers. For any task the smallest part that covers it counts. Division only goes finer, and
a subchunk goes on from the highest attempt of its chunk, so that no attempt is used twice. A late
copy of a transaction with the chunk's part may make that part the newest of all in the store. It is
older all the same, whatever its version says, and the parts of the subchunks prevail.
"""

from bisect import bisect_right
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import Any, NamedTuple

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
)
from eldercart.wire.stored_placements import (
    encode_part,
    encode_part_content,
    encode_subchunk_part,
)
from eldercart.wire.users import DependencyListReference, JobSpec

MACHINE_AVOIDANCE_S = (
    40.0  # for which a job keeps off a machine where its tasks failed or were slow
)
MAX_RUN_TIMES = 60  # of a job that are remembered
DROPPED_RUN_TIMES = 30  # the oldest, when there are more


class PlacementPhase(IntEnum):
    """The phases of a placement, in their order."""

    PLANNED = 0  # not yet durable: nothing may be sent
    COMMITTED = 1  # durable; launched or to be launched
    FETCHING = 2
    RUNNING = 3
    SAVING = 4
    ENDED = 5  # over; stays until the record says so


class EndWrite(Enum):
    """How far the write of a job's end is, until its outcome is known to be durable."""

    NOT_SENT = "not sent"  # nor can one that was sent be carried out any more
    SENT = "sent"
    INDETERMINATE = "indeterminate"  # one that was sent may still be carried out late


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
    is_start_known: bool = True  # False: it ran already when this leader first saw it
    has_been_reported: bool = False
    priority_at_placement: int = 0
    is_exempt_from_preemption: bool = False  # one of the first of a job that waited too long
    last_heartbeat_number: int = 0  # of the last heartbeat that listed it, as the reconciler counts
    unacknowledged_commands: int = 0  # launches or kills that were sent without effect so far

    def run_time_s(self, now: MonotonicTime) -> float:
        """Return the seconds that the task has been running, as seen here; 0 if it is not."""
        return now - self.started_at if self.phase is PlacementPhase.RUNNING else 0.0


class EncodedPart(NamedTuple):
    """A chunk as a placement record holds it."""

    value: list[Any]
    size_bytes: int


@dataclass(slots=True, eq=False)
class Chunk:
    """A run of a job's tasks that share one part of a placement record."""

    first_index: int
    end_index: int  # the task after its last
    is_subchunk: bool = False  # smaller than the chunk size in the job's record
    highest_attempt: Attempt = NO_ATTEMPT
    is_dirty: bool = False
    is_urgent: bool = False  # holds a placement that waits to be launched
    dirty_since: MonotonicTime = MONOTONIC_ZERO
    placements: dict[int, Placement] = field(default_factory=dict)  # by task
    record_key: str | None = None  # of the placement record that holds it
    reserved_bytes: int = 0  # of that record
    last_written: EncodedPart | None = None

    @property
    def task_count(self) -> int:
        """The number of tasks that the chunk covers."""
        return self.end_index - self.first_index


class Job:
    """One job. Only the job registry changes its tasks, chunks and placements."""

    def __init__(
        self,
        spec: JobSpec,
        tasks_per_chunk: int,
        submitted_at: MonotonicTime,
        dependency_list_reference: DependencyListReference | None = None,
    ) -> None:
        """Create an open job without placements.

        `tasks_per_chunk` is what the job's record says; `dependency_list_reference` is where its
        list of dependencies is stored, if its record does not hold it.
        """
        # Specification.
        self.spec = spec
        self.id = spec.id
        self.tasks_per_chunk = tasks_per_chunk
        self.submitted_at = submitted_at
        self.dependency_list_reference = dependency_list_reference
        # Dependencies; owned by the dependency graph.
        self.unmet_dependencies: set[JobId] = set()  # that are not known to be done
        self.is_ready = not spec.dependencies  # all dependencies are done, durably
        self.ready_at = submitted_at  # from when its waiting counts
        self.upstream_cancelled = False  # a dependency's cancellation is durable, so is its own
        self.priority = spec.priority  # the highest of any job that needs it
        self.deadline_at = DISTANT_FUTURE  # when it should be done for the jobs that need it
        # Progress of its tasks.
        self.done_flags = bytearray(spec.task_count)
        self.done_count = 0
        self.running_count = 0
        self.enqueued_count = 0  # tasks that wait in the queue of a machine
        self.next_unplaced_index = 0  # the first task that was never placed
        self.retry_indexes: list[int] = []  # tasks to be placed once more
        self.has_started = False  # a task has run, here or under an earlier leader
        self.chunks: dict[int, Chunk] = {}  # by first task
        self.subchunk_starts: dict[int, list[int]] = {}  # first tasks, by number of the chunk
        # Lifecycle.
        self.is_cancelled = False  # requested; durable once `outcome` is set
        self.cancelled_at = MonotonicTime(0)  # when it was requested, of whichever leader
        self.kill_deadline_at = MonotonicTime(0)  # after it, machines with its tasks are deleted
        self.end_write = EndWrite.NOT_SENT
        self.outcome: str | None = None  # `DONE` or `CANCELLED` once that is durable
        self.has_unreadable_record = False  # none of its tasks may start
        # Scheduling.
        self.is_starving = False  # has waited so long that it goes ahead, see `planner.Planner`
        self.is_deferred = False  # its objectives can't be met any more
        self.queue_position = 0  # in the order of the last planning pass
        self.last_placed_at = DISTANT_PAST
        self.prefers_on_demand = False  # it lost work to the cloud: retries avoid spot machines
        # Failures and run times.
        self.error_count = 0
        self.backoff_until = DISTANT_PAST
        self.avoided_machines: dict[MachineId, MonotonicTime] = {}  # until when
        self.run_times_s: list[float] = []  # the last ones seen, for comparison
        self.longest_run_time_s = 0.0  # of these

    @property
    def unplaced_count(self) -> int:
        """The number of tasks that are neither done nor placed."""
        return self.spec.task_count - self.next_unplaced_index + len(self.retry_indexes)

    @property
    def is_runnable(self) -> bool:
        """Whether its tasks may start.

        It must be ready, neither ended nor cancelled, and all its records must be readable.
        """
        return (
            self.outcome is None
            and self.is_ready
            and not self.is_cancelled
            and not self.has_unreadable_record
        )

    @property
    def is_end_write_sent(self) -> bool:
        """Whether its end may be in the store, so that other nodes may tell it."""
        return self.end_write is not EndWrite.NOT_SENT

    @property
    def is_complete(self) -> bool:
        """Whether all tasks are done according to heartbeats, which need not be durable yet."""
        return self.done_count == self.spec.task_count

    @property
    def has_live_placements(self) -> bool:
        """Whether any of its placements is not over."""
        return any(placement.phase is not PlacementPhase.ENDED for placement in self.placements())

    def avoid_machine(self, machine_id: MachineId, now: MonotonicTime) -> None:
        """Keep the job off a machine for a while, because its tasks fared badly there."""
        self.avoided_machines[machine_id] = MonotonicTime(now + MACHINE_AVOIDANCE_S)

    def avoids_machine(self, machine_id: MachineId, now: MonotonicTime) -> bool:
        """Return whether the job keeps off the machine for now.

        That ends after a while, since all other machines may be full, or deleted.
        """
        return (
            bool(self.avoided_machines)
            and self.avoided_machines.get(machine_id, DISTANT_PAST) > now
        )

    def record_run_time(self, seconds: float) -> None:
        """Record how long a task has run."""
        self.run_times_s.append(seconds)
        if len(self.run_times_s) > MAX_RUN_TIMES:
            del self.run_times_s[:DROPPED_RUN_TIMES]
            self.longest_run_time_s = max(self.run_times_s)
        self.longest_run_time_s = max(self.longest_run_time_s, seconds)

    def placements(self) -> Iterator[Placement]:
        """Yield the placements of all chunks."""
        for chunk in self.chunks.values():
            yield from chunk.placements.values()

    def chunk_range(self, number: int) -> tuple[int, int]:
        """Return the first task of a chunk of the job's own size and the task after its last."""
        first_index = number * self.tasks_per_chunk
        return first_index, min(first_index + self.tasks_per_chunk, self.spec.task_count)

    def chunk_for(self, index: int) -> Chunk:
        """Return the chunk that covers the task; it is created if there is none yet."""
        number = index // self.tasks_per_chunk
        starts = self.subchunk_starts.get(number)
        first_index, end_index = self.chunk_range(number)
        if starts is not None:
            first_index = starts[bisect_right(starts, index) - 1]
        chunk = self.chunks.get(first_index)
        if chunk is None:
            chunk = self.chunks[first_index] = Chunk(first_index, end_index)
        return chunk

    def refresh_subchunk_starts(self, number: int) -> None:
        """Recompute where the subchunks of a chunk begin, after it was divided or loaded so."""
        first_index, end_index = self.chunk_range(number)
        self.subchunk_starts[number] = sorted(
            start for start in self.chunks if first_index <= start < end_index
        )

    def encode_part(self, chunk: Chunk) -> list[Any]:
        """Return the chunk as a placement record holds it."""
        placements = [
            placement
            for placement in chunk.placements.values()
            if placement.phase is not PlacementPhase.ENDED
        ]
        content = encode_part_content(chunk.highest_attempt, self._done_ranges(chunk), placements)
        if chunk.is_subchunk:
            return encode_subchunk_part(self.id, chunk.first_index, chunk.task_count, content)
        return encode_part(self.id, chunk.first_index // self.tasks_per_chunk, content)

    def _done_ranges(self, chunk: Chunk) -> list[tuple[int, int]]:
        """Return the first and last task of each run of done tasks in the chunk."""
        ranges: list[tuple[int, int]] = []
        first = self.done_flags.find(1, chunk.first_index, chunk.end_index)
        while first >= 0:
            end = self.done_flags.find(0, first, chunk.end_index)
            if end < 0:
                end = chunk.end_index
            ranges.append((first, end - 1))
            first = self.done_flags.find(1, end, chunk.end_index)
        return ranges
