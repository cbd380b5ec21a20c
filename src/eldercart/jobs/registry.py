"""The leader's registry of jobs, which makes all changes to their tasks and placements."""

from typing import Any

from eldercart.jobs.job import Chunk, Job, Placement, PlacementPhase
from eldercart.units import Attempt, JobId, MachineId, MonotonicTime, task_key
from eldercart.wire import MalformedMessageError
from eldercart.wire.stored_placements import StoredPart, decode_part_content
from eldercart.wire.users import DependencyListReference, JobSpec


class JobRegistry:
    """Owns the leader's jobs, and all changes to their tasks, chunks and placements."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self.jobs: dict[JobId, Job] = {}

    def __contains__(self, job_id: JobId) -> bool:
        """Return whether the job is in the registry."""
        return job_id in self.jobs

    def get(self, job_id: JobId) -> Job | None:
        """Return the job, if it is in the registry."""
        return self.jobs.get(job_id)

    def add(
        self,
        spec: JobSpec,
        tasks_per_chunk: int,
        submitted_at: MonotonicTime,
        dependency_list_reference: DependencyListReference | None = None,
    ) -> Job:
        """Add a job that this or another node accepted; see `Job` for the arguments."""
        job = Job(spec, tasks_per_chunk, submitted_at, dependency_list_reference)
        self.jobs[spec.id] = job
        return job

    def remove(self, job: Job) -> None:
        """Remove a job whose record is deleted."""
        self.jobs.pop(job.id, None)

    # -- loading the records of an earlier leader

    def load_chunk(
        self, job: Job, chunk: Chunk, value: Any, *, covers_whole_part: bool = True
    ) -> list[Placement]:
        """Load a chunk from the stored content of a part and return its placements.

        Each of the placements may be on its machine. If `covers_whole_part` is false, the part
        covers more tasks than the chunk, and other parts are authoritative for the other tasks.
        Raises `MalformedMessageError` and leaves the job unchanged if the part can't be read.
        """
        part = decode_part_content(value)
        if any(last >= job.spec.task_count for _, last in part.done_ranges):
            raise MalformedMessageError(
                f"placement record: done ranges {part.done_ranges} exceed the job's"
                f" {job.spec.task_count} tasks"
            )
        chunk.highest_attempt = max(chunk.highest_attempt, part.highest_attempt)
        job.chunks[chunk.first_index] = chunk
        self._load_done_tasks(job, chunk, part, covers_whole_part=covers_whole_part)
        loaded = []
        for index, attempt, machine_id in part.placements:
            if not covers_whole_part and not chunk.first_index <= index < chunk.end_index:
                continue
            placement = Placement(
                task_key(job.id, index),
                job,
                index,
                attempt,
                machine_id,
                PlacementPhase.COMMITTED,
                may_have_launched=True,  # the leader that wrote the record may have launched it
            )
            chunk.placements[index] = placement
            loaded.append(placement)
        return loaded

    def _load_done_tasks(
        self, job: Job, chunk: Chunk, part: StoredPart, *, covers_whole_part: bool
    ) -> None:
        for first, last in part.done_ranges:
            if not covers_whole_part:
                first, last = max(first, chunk.first_index), min(last, chunk.end_index - 1)
            for index in range(first, last + 1):
                if not job.done_flags[index]:
                    job.done_flags[index] = 1
                    job.done_count += 1
        job.has_started = job.has_started or bool(part.done_ranges)

    def finish_load(self, job: Job) -> None:
        """Derive the tasks that must still be placed, once all chunks of the job are loaded."""
        job.next_unplaced_index = max((chunk.end_index for chunk in job.chunks.values()), default=0)
        divided = {
            chunk.first_index // job.tasks_per_chunk
            for chunk in job.chunks.values()
            if chunk.is_subchunk
        }
        for number in divided:
            self._fill_gaps(job, number)
        placed = {index for chunk in job.chunks.values() for index in chunk.placements}
        job.retry_indexes = [
            index
            for index in range(job.next_unplaced_index)
            if not job.done_flags[index] and index not in placed
        ]
        job.retry_indexes.reverse()

    def _fill_gaps(self, job: Job, number: int) -> None:
        """Add subchunks for the tasks of a chunk that no loaded subchunk covers.

        No record mentions these tasks, so they were never launched.
        """
        first_index, end_index = job.chunk_range(number)
        loaded = [
            chunk for chunk in job.chunks.values() if first_index <= chunk.first_index < end_index
        ]
        for chunk in sorted(loaded, key=lambda chunk: chunk.first_index):
            if first_index < chunk.first_index:
                job.chunks[first_index] = Chunk(first_index, chunk.first_index, is_subchunk=True)
            first_index = chunk.end_index
        if first_index < end_index:
            job.chunks[first_index] = Chunk(first_index, end_index, is_subchunk=True)
        job.refresh_subchunk_starts(number)

    # -- chunks

    def subdivide_chunk(self, job: Job, chunk: Chunk, max_tasks: int) -> list[Chunk]:
        """Divide the chunk into subchunks of at most `max_tasks` tasks.

        All subchunks are marked dirty, since together they replace the chunk, which is not written
        any more.
        """
        subchunks = []
        for first_index in range(chunk.first_index, chunk.end_index, max_tasks):
            end_index = min(first_index + max_tasks, chunk.end_index)
            placements = {
                index: placement
                for index, placement in chunk.placements.items()
                if first_index <= index < end_index
            }
            subchunk = Chunk(
                first_index,
                end_index,
                is_subchunk=True,
                highest_attempt=chunk.highest_attempt,
                is_dirty=True,
                is_urgent=any(
                    placement.phase is PlacementPhase.PLANNED for placement in placements.values()
                ),
                dirty_since=chunk.dirty_since,
                placements=placements,
            )
            job.chunks[first_index] = subchunk
            subchunks.append(subchunk)
        job.refresh_subchunk_starts(chunk.first_index // job.tasks_per_chunk)
        return subchunks

    def mark_dirty(
        self, job: Job, chunk: Chunk, now: MonotonicTime, *, is_urgent: bool = False
    ) -> None:
        """Mark the chunk to be written; it is urgent if a placement in it waits to be launched."""
        if not chunk.is_dirty:
            chunk.is_dirty = True
            chunk.dirty_since = now
        chunk.is_urgent = chunk.is_urgent or is_urgent

    # -- tasks and placements

    def take_unplaced_tasks(self, job: Job, max_tasks: int) -> list[int]:
        """Remove and return up to `max_tasks` unplaced tasks, those to be retried first."""
        taken = []
        while max_tasks > 0 and job.retry_indexes:
            taken.append(job.retry_indexes.pop())
            max_tasks -= 1
        first_index = job.next_unplaced_index
        job.next_unplaced_index += min(max_tasks, job.spec.task_count - first_index)
        taken.extend(range(first_index, job.next_unplaced_index))
        return taken

    def add_placement(
        self, job: Job, index: int, machine_id: MachineId, now: MonotonicTime
    ) -> Placement:
        """Add a placement of the task; it must be durable before a launch is sent."""
        chunk = job.chunk_for(index)
        chunk.highest_attempt = Attempt(chunk.highest_attempt + 1)
        placement = Placement(
            task_key(job.id, index), job, index, chunk.highest_attempt, machine_id
        )
        chunk.placements[index] = placement
        self.mark_dirty(job, chunk, now, is_urgent=True)
        return placement

    def mark_enqueued(self, placement: Placement, now: MonotonicTime) -> None:
        """Mark the placement as waiting for capacity on its machine."""
        placement.is_enqueued = True
        placement.enqueued_at = now
        placement.job.enqueued_count += 1

    def mark_dequeued(self, placement: Placement) -> None:
        """Mark the placement as no longer waiting for capacity."""
        placement.is_enqueued = False
        placement.job.enqueued_count -= 1

    def set_phase(self, placement: Placement, phase: PlacementPhase, now: MonotonicTime) -> None:
        """Change the phase of the placement and update the job's number of running tasks."""
        if phase is placement.phase:
            return
        if phase is PlacementPhase.RUNNING:
            placement.started_at = now
            placement.job.running_count += 1
            placement.job.has_started = True
        elif placement.phase is PlacementPhase.RUNNING:
            placement.job.running_count -= 1
        placement.phase = phase

    def mark_done(self, placement: Placement, now: MonotonicTime) -> None:
        """Mark the task as done; its ended placement is kept until that is durable."""
        job = placement.job
        self.set_phase(placement, PlacementPhase.ENDED, now)
        if not job.done_flags[placement.index]:
            job.done_flags[placement.index] = 1
            job.done_count += 1
        self.mark_dirty(job, job.chunk_for(placement.index), now)

    def remove_placement(self, placement: Placement, now: MonotonicTime, *, retry: bool) -> None:
        """Remove a placement whose task is proven not to be on its machine.

        With `retry`, the task is placed again, unless it is done or its job is cancelled.
        """
        job = placement.job
        self.set_phase(placement, PlacementPhase.ENDED, now)
        chunk = job.chunk_for(placement.index)
        if chunk.placements.get(placement.index) is placement:
            del chunk.placements[placement.index]
        self.mark_dirty(job, chunk, now)
        if retry and not job.is_cancellation_requested and not job.done_flags[placement.index]:
            job.retry_indexes.append(placement.index)
