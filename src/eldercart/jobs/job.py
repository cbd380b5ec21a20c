"""A job, its chunks of tasks and the placements of its tasks.

A job's tasks are divided into chunks that fit the state store's value limit. The stored part of a
chunk holds the done tasks as ranges, the placements, and the highest attempt number used; new
attempts are numbered from there.

A job keeps the chunk size of its record. If the value limit is lowered, a chunk may exceed it. The
chunk is then divided into subchunks, and the part of each subchunk states its first task and its
number of tasks. If several parts cover a task, the smallest of them is authoritative. Subchunks are
divided further but never merged, and a subchunk continues from the highest attempt of its chunk, so
that no attempt number is used twice. A delayed duplicate of a transaction may write the part of the
undivided chunk again and give it the newest version in the store. Its content is older
nevertheless, so the parts of the subchunks take precedence whatever the versions are.
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

# How long a job avoids a machine on which its tasks failed or were slow.
MACHINE_AVOIDANCE_S = 40.0
MAX_RUN_TIMES = 60  # run times kept for each job
DROPPED_RUN_TIMES = 30  # the oldest run times, dropped together when the maximum is exceeded


class PlacementPhase(IntEnum):
    """The phases of a placement, in the order in which they occur."""

    PLANNED = 0  # not durable yet, so no launch may be sent
    COMMITTED = 1  # durable; a launch was or will be sent
    FETCHING = 2
    RUNNING = 3
    SAVING = 4
    ENDED = 5  # kept in memory until the end of the placement is durable


class EndWrite(Enum):
    """The state of the write of a job's end record, until the record is known to be durable."""

    NOT_SENT = "not sent"  # no write was sent that can still be applied
    SENT = "sent"
    INDETERMINATE = "indeterminate"  # a write that was sent may still be applied later


@dataclass(slots=True, eq=False)
class Placement:
    """One attempt of a task on one machine."""

    key: TaskKey
    job: "Job"
    index: int
    attempt: Attempt
    machine_id: MachineId
    phase: PlacementPhase = PlacementPhase.PLANNED
    may_have_launched: bool = False  # this or an earlier leader may have sent a launch
    is_enqueued: bool = False  # waits for capacity on its machine; no launch was sent
    enqueued_at: MonotonicTime = MONOTONIC_ZERO
    is_terminating: bool = False
    started_at: MonotonicTime = MONOTONIC_ZERO  # the time at which this leader first saw it running
    is_start_known: bool = True  # False if loaded from a record: its run time is seen only in part
    has_been_reported: bool = False
    priority_at_placement: int = 0
    is_exempt_from_preemption: bool = False  # one of the first tasks of a starving job
    last_heartbeat_number: int = 0  # the reconciler's number of the last heartbeat that listed it
    unacknowledged_commands: int = 0  # launches or kills that were sent and had no effect so far

    def run_time_s(self, now: MonotonicTime) -> float:
        """Return for how many seconds this leader has seen the task running; 0 if it is not."""
        return now - self.started_at if self.phase is PlacementPhase.RUNNING else 0.0


class EncodedPart(NamedTuple):
    """A chunk as it is stored in a placement record."""

    value: list[Any]
    size_bytes: int


@dataclass(slots=True, eq=False)
class Chunk:
    """A range of a job's tasks that are stored together as one part of a placement record."""

    first_index: int
    end_index: int  # exclusive
    is_subchunk: bool = False  # smaller than the chunk size in the job's record
    highest_attempt: Attempt = NO_ATTEMPT
    is_dirty: bool = False
    is_urgent: bool = False  # holds a placement that waits to be launched
    dirty_since: MonotonicTime = MONOTONIC_ZERO
    placements: dict[int, Placement] = field(default_factory=dict)  # by task index
    record_key: str | None = None  # the placement record that contains it
    reserved_bytes: int = 0  # the space reserved for it in that record
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

        `tasks_per_chunk` is the value in the job's record. `dependency_list_reference` locates the
        list of dependencies if it is stored outside the record.
        """
        # Specification.
        self.spec = spec
        self.id = spec.id
        self.tasks_per_chunk = tasks_per_chunk
        self.submitted_at = submitted_at
        self.dependency_list_reference = dependency_list_reference
        # Dependencies; owned by the dependency graph.
        self.unmet_dependencies: set[JobId] = set()  # dependencies not known to be done
        self.is_ready = not spec.dependencies  # all dependencies are durably done
        self.ready_at = submitted_at  # the start of its waiting time
        # True if an upstream job is durably cancelled, which cancels this job durably as well.
        self.upstream_cancelled = False
        self.priority = spec.priority  # the highest of its own and those of its dependents
        self.inherited_deadline_at = DISTANT_FUTURE  # the earliest of its dependents, not its own
        # Progress of its tasks.
        self.done_flags = bytearray(spec.task_count)
        self.done_count = 0
        self.running_count = 0
        self.enqueued_count = 0  # tasks that wait in the prelaunch queue of a machine
        self.next_unplaced_index = 0  # all tasks from here on were never placed
        self.retry_indexes: list[int] = []  # tasks to be placed again, the next one last
        self.has_started = False  # a task has run under this or an earlier leader
        self.chunks: dict[int, Chunk] = {}  # by first task index
        self.subchunk_starts: dict[int, list[int]] = {}  # first task indexes, by chunk number
        # Lifecycle.
        self.is_cancellation_requested = False  # the cancellation is durable once `outcome` is set
        # The request may have been made to an earlier leader.
        self.cancellation_requested_at = MonotonicTime(0)
        # Once cancelled, machines that still have its tasks after this time are deleted.
        self.kill_deadline_at = MonotonicTime(0)
        self.end_write = EndWrite.NOT_SENT
        self.outcome: str | None = None  # `DONE` or `CANCELLED` once that is durable
        self.has_unreadable_record = False  # none of its tasks may start
        # Scheduling.
        self.is_starving = False  # has waited too long to start and gets extra turns, see `Planner`
        self.is_deferred = False  # ordered after jobs that can still meet their objectives
        # It may not start tasks until it is known in which zones its other tasks run.
        self.waits_for_zones = False
        self.queue_position = 0  # its position in the last planning pass
        self.last_placed_at = DISTANT_PAST
        # It lost work on a deleted spot machine, so its retries prefer on-demand machines.
        self.prefers_on_demand = False
        # Failures and run times.
        self.error_count = 0
        self.backoff_until = DISTANT_PAST
        self.avoided_machines: dict[MachineId, MonotonicTime] = {}  # end of avoidance
        self.run_times_s: list[float] = []  # the most recent run times of its tasks
        self.longest_run_time_s = 0.0  # the maximum of `run_times_s`

    @property
    def unplaced_count(self) -> int:
        """The number of tasks that are neither done nor placed."""
        return self.spec.task_count - self.next_unplaced_index + len(self.retry_indexes)

    @property
    def is_runnable(self) -> bool:
        """Whether the job's tasks may start.

        The job must be ready, neither ended nor cancelled, and all its records must be readable.
        """
        return (
            self.outcome is None
            and self.is_ready
            and not self.is_cancellation_requested
            and not self.has_unreadable_record
        )

    @property
    def is_end_write_sent(self) -> bool:
        """Whether its end record may be in the store, so that other nodes may report it."""
        return self.end_write is not EndWrite.NOT_SENT

    @property
    def is_complete(self) -> bool:
        """Whether all tasks are done according to heartbeats; this need not be durable yet."""
        return self.done_count == self.spec.task_count

    @property
    def has_live_placements(self) -> bool:
        """Whether any of its placements has not ended."""
        return any(placement.phase is not PlacementPhase.ENDED for placement in self.placements())

    def avoid_machine(self, machine_id: MachineId, now: MonotonicTime) -> None:
        """Avoid a machine for `MACHINE_AVOIDANCE_S`, because tasks failed or were slow there."""
        self.avoided_machines[machine_id] = MonotonicTime(now + MACHINE_AVOIDANCE_S)

    def avoids_machine(self, machine_id: MachineId, now: MonotonicTime) -> bool:
        """Return whether the job currently avoids the machine.

        Avoidance expires, since all other machines may become full or be deleted.
        """
        return (
            bool(self.avoided_machines)
            and self.avoided_machines.get(machine_id, DISTANT_PAST) > now
        )

    def record_run_time(self, seconds: float) -> None:
        """Record the run time of a task, and drop the oldest run times if there are too many."""
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
        """Return the first task index and the exclusive end index of an undivided chunk."""
        first_index = number * self.tasks_per_chunk
        return first_index, min(first_index + self.tasks_per_chunk, self.spec.task_count)

    def chunk_for(self, index: int) -> Chunk:
        """Return the chunk that covers the task; create it if it does not exist yet."""
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
        """Recompute the first tasks of a chunk's subchunks after it was divided or loaded."""
        first_index, end_index = self.chunk_range(number)
        self.subchunk_starts[number] = sorted(
            start for start in self.chunks if first_index <= start < end_index
        )

    def encode_part(self, chunk: Chunk) -> list[Any]:
        """Return the chunk encoded as a part of a placement record."""
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
        """Return the first and last index of each range of consecutive done tasks in the chunk."""
        ranges: list[tuple[int, int]] = []
        first = self.done_flags.find(1, chunk.first_index, chunk.end_index)
        while first >= 0:
            end = self.done_flags.find(0, first, chunk.end_index)
            if end < 0:
                end = chunk.end_index
            ranges.append((first, end - 1))
            first = self.done_flags.find(1, end, chunk.end_index)
        return ranges
