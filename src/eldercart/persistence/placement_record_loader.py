"""Loads the placement records of earlier leaders.

A part that is in two placement records was moved. The copy with the higher attempt prevails; if the
attempts are equal, the newer copy does. (The record's version alone may mislead: a delayed
duplicate of the first write of a placement record that was deleted since may create that record
again.) Among parts of different sizes, the smallest that covers a task prevails, see `jobs.job`,
whatever the versions are: a delayed duplicate of a write of the chunk may be applied after the
subchunks were written, although its content is older.
"""

import logging
from collections.abc import Iterable
from typing import Any, NamedTuple

import orjson

from eldercart.jobs.job import Chunk, Job, Placement
from eldercart.jobs.registry import JobRegistry
from eldercart.persistence.placement_records import (
    PlacementRecord,
    PlacementRecords,
    estimate_part_bytes,
)
from eldercart.units import JobId
from eldercart.wire import MalformedMessageError
from eldercart.wire.state import Item
from eldercart.wire.stored_placements import (
    attempt_precedence,
    decode_highest_attempt,
    decode_placement_record,
    decode_single_job_record,
    subchunk_task_count,
)

log = logging.getLogger("eldercart.controller")


class TaskRange(NamedTuple):
    """A contiguous range of a job's tasks."""

    first_index: int
    end_index: int  # the task after the last

    @property
    def task_count(self) -> int:
        """The number of tasks."""
        return self.end_index - self.first_index


class PartCopy(NamedTuple):
    """The stored content of a part, and the record that holds it."""

    record: PlacementRecord
    value: Any


def load_placement_records(
    placement_records: PlacementRecords, items: Iterable[Item], jobs: JobRegistry
) -> list[Placement]:
    """Load the records of earlier leaders into `placement_records` and the jobs.

    Returns the placements; the task of each of them may be on its machine. Sets
    `Job.has_unreadable_record` for jobs with an unreadable record, so that none of their tasks
    starts.
    """
    return _PlacementRecordLoader(placement_records, jobs).load(items)


class _PlacementRecordLoader:
    def __init__(self, placement_records: PlacementRecords, jobs: JobRegistry) -> None:
        self._placement_records = placement_records
        self._jobs = jobs
        self._copies: dict[JobId, dict[TaskRange, PartCopy]] = {}

    def load(self, items: Iterable[Item]) -> list[Placement]:
        for item in sorted(items, key=lambda item: item.version):
            self._read_record(item)
        loaded: list[Placement] = []
        for job_id, copies in self._copies.items():
            loaded += self._load_job(self._jobs.jobs[job_id], copies)
        self._placement_records.reopen_stored_records()
        return loaded

    # -- selecting the copy of each part that prevails

    def _read_record(self, item: Item) -> None:
        single_part = decode_single_job_record(item.key, item.value)
        parts = decode_placement_record(item.value) if single_part is None else [single_part]
        if parts is None:
            # It is unknown which jobs have parts here, so no job may start tasks until the record
            # is repaired.
            log.error("placement record unreadable key=%s error=no parts", item.key)
            self._mark_all_jobs_unreadable()
            return
        record = self._placement_records.add_stored_record(
            item.key, item.version, is_exclusive=single_part is not None
        )
        if len(orjson.dumps(item.value)) > self._placement_records.max_bytes:
            self._placement_records.close(record)  # written under a larger value limit
        for part in parts:
            try:
                self._collect_part(record, part)
            except (TypeError, ValueError) as error:
                log.error("placement record unreadable key=%s error=%s", item.key, error)
                record.unreadable_parts.append(part)
                self._mark_all_jobs_unreadable()

    def _mark_all_jobs_unreadable(self) -> None:
        for job in self._jobs.jobs.values():
            job.has_unreadable_record = True

    def _collect_part(self, record: PlacementRecord, part: Any) -> None:
        """Keep the part if it prevails over the copy of it that was found before."""
        job_id, number, value = part
        job = self._jobs.get(JobId(str(job_id)))
        if job is None:
            return
        task_range = self._range_of(job, int(number), value)
        copies = self._copies.setdefault(job.id, {})
        known = copies.get(task_range)
        if known is None or attempt_precedence(value) >= attempt_precedence(known.value):
            copies[task_range] = PartCopy(record, value)

    def _range_of(self, job: Job, number: int, value: Any) -> TaskRange:
        """Return the tasks that a part covers.

        `number` is the number of the chunk, or of a subchunk's first task.
        """
        task_count = subchunk_task_count(value)
        if task_count is None:
            return TaskRange(*job.chunk_range(number))
        if type(task_count) is not int or not 0 < task_count <= job.spec.task_count - number:
            max_count = job.spec.task_count - number
            raise ValueError(f"task count {task_count!r} of a subchunk, expected 1 to {max_count}")
        self._placement_records.found_subchunks = True
        return TaskRange(number, number + task_count)

    # -- loading the selected copies into the jobs

    def _load_job(self, job: Job, copies: dict[TaskRange, PartCopy]) -> list[Placement]:
        """Load the parts of a job, the smallest first."""
        loaded: list[Placement] = []
        covered: dict[int, TaskRange] = {}  # ranges loaded so far, by first task
        for task_range in sorted(
            copies, key=lambda task_range: (task_range.task_count, task_range)
        ):
            copy = copies[task_range]
            try:
                self._load_part(job, task_range, copy, covered, loaded)
            except (MalformedMessageError, KeyError, TypeError, ValueError) as error:
                # The machines of the job's tasks are unknown, so none may start. The job itself
                # stays registered, and its other parts and the other jobs are loaded.
                log.error(
                    "placement record unreadable key=%s job=%s error=%s",
                    copy.record.key,
                    job.id,
                    error,
                )
                job.has_unreadable_record = True
                number = task_range.first_index
                if _is_whole_chunk(job, task_range):
                    number //= job.tasks_per_chunk
                copy.record.unreadable_parts.append([job.id, number, copy.value])
        return loaded

    def _load_part(
        self,
        job: Job,
        task_range: TaskRange,
        copy: PartCopy,
        covered: dict[int, TaskRange],
        loaded: list[Placement],
    ) -> None:
        """Load the tasks of a part that no smaller part covers."""
        if not 0 <= task_range.first_index < task_range.end_index:
            raise ValueError(f"task range {tuple(task_range)} is empty or starts below 0")
        smaller = sorted(
            other
            for other in covered.values()
            if task_range.first_index <= other.first_index < task_range.end_index
        )
        if smaller:
            self._load_uncovered(job, task_range, copy, smaller, covered, loaded)
            return
        chunk = Chunk(*task_range, is_subchunk=not _is_whole_chunk(job, task_range))
        loaded += self._jobs.load_chunk(job, chunk, copy.value)
        covered[task_range.first_index] = task_range
        needed_bytes = estimate_part_bytes(job, chunk)
        self._placement_records.attach_part(copy.record, job, chunk, needed_bytes)

    def _load_uncovered(
        self,
        job: Job,
        task_range: TaskRange,
        copy: PartCopy,
        smaller: list[TaskRange],
        covered: dict[int, TaskRange],
        loaded: list[Placement],
    ) -> None:
        """Load the gaps between smaller parts as subchunks.

        Each is written to another record when it changes. Until then its tasks are stored only in
        the record of this part.
        """
        for gap in _gaps_between(task_range, smaller):
            chunk = Chunk(*gap, is_subchunk=True)
            loaded += self._jobs.load_chunk(job, chunk, copy.value, covers_whole_part=False)
            covered[gap.first_index] = gap
            self._placement_records.close(copy.record)
            copy.record.jobs_with_moved_parts.add(job.id)
        for other in smaller:
            chunk = job.chunks[other.first_index]
            chunk.highest_attempt = max(chunk.highest_attempt, decode_highest_attempt(copy.value))


def _is_whole_chunk(job: Job, task_range: TaskRange) -> bool:
    """Return whether the range is one of the job's chunks, undivided."""
    return task_range == job.chunk_range(task_range.first_index // job.tasks_per_chunk)


def _gaps_between(task_range: TaskRange, smaller: list[TaskRange]) -> list[TaskRange]:
    """Return the ranges within `task_range` that none of the sorted smaller ranges covers."""
    starts = [task_range.first_index, *(other.end_index for other in smaller)]
    ends = [*(other.first_index for other in smaller), task_range.end_index]
    return [TaskRange(first, end) for first, end in zip(starts, ends, strict=True) if first < end]
