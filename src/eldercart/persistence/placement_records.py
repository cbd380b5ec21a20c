"""Placement records, which several jobs share.

The state service limits changes, not bytes. With a record for each job, a burst of small jobs needs
more changes than there are, and machines stand idle for placements that wait to be written. So the
parts of several jobs, each cut as `jobs` says, share a record as large as a value may be, and one
change writes whatever is new in all of them. A job that has ended simply is not written again.

How much a part will come to take is an estimate; what counts is what a record is measured to take.
A placement record that would become larger than a value may be, or was written when values might be
larger, is closed: it is never written again. What changes on it moves to other placement records,
and it stays in the store until all jobs are over that it still tells of, since of tasks that have
not changed since, it may hold the only record.
"""

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import orjson

from eldercart.jobs.registry import PLACEMENT_PREFIX, Chunk, Job, JobRegistry, Placement
from eldercart.units import ABSENT_REVISION, Attempt, FencingToken, JobId, MonotonicTime, Revision
from eldercart.wire import MalformedMessage
from eldercart.wire.state import Item

log = logging.getLogger("eldercart.controller")

PART_OVERHEAD_BYTES = 48  # of a part, beside its entries
ESTIMATED_PLACEMENT_BYTES = (
    21  # of a placement with a machine's name of the usual length, beside the task's number
)
MIN_FREE_BYTES = (
    PART_OVERHEAD_BYTES + 2 * ESTIMATED_PLACEMENT_BYTES
)  # for a placement record to be looked at again
MAX_RECORD_BYTES = 26_000  # two of them fit into a transaction
# placement records looked at for room, the ones last used: what is placed together stays together
MAX_OPEN_CANDIDATES = 6


@dataclass(slots=True, eq=False)
class PlacementRecord:
    """One record of placements."""

    key: str
    free_bytes: int  # bytes that are left for parts not yet there
    version: Revision = ABSENT_REVISION
    parts: dict[tuple[JobId, int], tuple[Job, Chunk]] = field(default_factory=dict)
    unreadable_parts: list[Any] = field(
        default_factory=list
    )  # parts that nobody could read, kept as found
    is_exclusive: bool = False  # takes no other part
    is_closed: bool = False  # never written again: what changes moves to another placement record
    jobs_with_moved_parts: set[JobId] = field(
        default_factory=set
    )  # closed: jobs of which parts have moved

    @property
    def is_empty(self) -> bool:
        """Whether it tells of no open job."""
        return not self.parts and not self.unreadable_parts and not self.jobs_with_moved_parts


# a job's parts, by the tasks that they cover
PartCopies = dict[tuple[int, int], tuple[PlacementRecord, Any]]
PartCopiesByJob = dict[JobId, PartCopies]


def estimate_part_bytes(job: Job, chunk: Chunk) -> int:
    """What the part will come to take, about: if that was too little, it moves, and what it was
    measured to take counts."""
    about = PART_OVERHEAD_BYTES + chunk.task_count * (
        ESTIMATED_PLACEMENT_BYTES + len(str(job.spec.task_count))
    )
    return about if chunk.last_written is None else max(about, chunk.last_written[1])


def _attempt_of_part(value: Any) -> float:
    """Of a part; one that can't be read outranks all, so that it is found out."""
    attempt = value.get("a") if isinstance(value, dict) else None
    return attempt if type(attempt) is int else float("inf")


def _mark_all_unreadable(jobs: JobRegistry) -> None:
    for job in jobs.jobs.values():
        job.has_unreadable_record = True


class PlacementRecords:
    """Owns the placement records and which part is on which."""

    def __init__(self, value_bytes: int, token: FencingToken) -> None:
        """`value_bytes`: the most that a value may take."""
        self._target_bytes = min(int(value_bytes * 0.8), MAX_RECORD_BYTES)
        self.max_bytes = int(
            value_bytes * 0.9
        )  # measured, above which a placement record is closed
        self.found_subchunks = False  # an earlier leader knew that all nodes read parts cut anew
        self._key_prefix = (
            f"{PLACEMENT_PREFIX}{token}-"  # no other leader's placement records are called so
        )
        self._record_count = 0
        self.by_key: dict[str, PlacementRecord] = {}
        self._open_records: dict[
            str, PlacementRecord
        ] = {}  # with room, the one last used at the end
        self._closed_records: dict[str, PlacementRecord] = {}

    def get(self, key: str) -> PlacementRecord | None:
        """The placement record with this key, if it is still there."""
        return self.by_key.get(key)

    def record_for(self, job: Job, chunk: Chunk) -> PlacementRecord:
        """The placement record that the part is on; it gets one if it has none."""
        if chunk.record_key is not None:
            old = self.by_key[chunk.record_key]
            if not old.is_closed:
                return old
            self._detach_part(old, job, chunk)
        need = estimate_part_bytes(job, chunk)
        newest = list(self._open_records.values())[-MAX_OPEN_CANDIDATES:]
        placement_record = (
            next((s for s in reversed(newest) if s.free_bytes >= need), None)
            or self._create_record()
        )
        self._attach_part(placement_record, job, chunk, need)
        if placement_record.free_bytes >= MIN_FREE_BYTES:
            self._open_records[placement_record.key] = placement_record
        else:
            self._open_records.pop(placement_record.key, None)
        return placement_record

    def _detach_part(self, placement_record: PlacementRecord, job: Job, chunk: Chunk) -> None:
        """The part is no longer this placement record's concern, but the store still has it
        there."""
        placement_record.parts.pop((job.id, chunk.first_index), None)
        placement_record.jobs_with_moved_parts.add(job.id)
        chunk.record_key = None

    def close(self, placement_record: PlacementRecord) -> None:
        """It is not written any more, and its parts move as they change. The order of the two
        records does not matter to a later leader: the moved part has the same attempts, or more,
        and is the newer."""
        placement_record.is_closed = True
        self._closed_records[placement_record.key] = placement_record
        self._open_records.pop(placement_record.key, None)

    def subdivide_chunk(
        self, jobs: JobRegistry, job: Job, chunk: Chunk, max_tasks: int, is_exclusive: bool
    ) -> list[Chunk]:
        """A part that is too large by itself is cut anew; the old one stays where it is, since
        until the finer ones are written it is all that the store has."""
        placement_record = self.by_key.get(chunk.record_key or "")
        if placement_record is not None:
            self.close(placement_record)
            self._detach_part(placement_record, job, chunk)
        finer = jobs.subdivide_chunk(job, chunk, max_tasks)
        if is_exclusive:
            for fine in finer:
                self._attach_part(
                    self._create_record(is_exclusive=True),
                    job,
                    fine,
                    estimate_part_bytes(job, fine),
                )
        return finer

    def _create_record(self, is_exclusive: bool = False) -> PlacementRecord:
        self._record_count += 1
        placement_record = PlacementRecord(
            f"{self._key_prefix}{self._record_count}", self._target_bytes, is_exclusive=is_exclusive
        )
        self.by_key[placement_record.key] = placement_record
        return placement_record

    def _attach_part(
        self, placement_record: PlacementRecord, job: Job, chunk: Chunk, needed_bytes: int
    ) -> None:
        placement_record.parts[job.id, chunk.first_index] = (job, chunk)
        placement_record.free_bytes -= needed_bytes
        chunk.record_key, chunk.reserved_bytes = placement_record.key, needed_bytes

    def remove_job(self, job: Job) -> None:
        """The job's own record is deleted: what a placement record still says of it counts no
        more."""
        for chunk in job.chunks.values():
            placement_record = self.by_key.get(chunk.record_key or "")
            chunk.record_key = None
            if (
                placement_record is None
                or placement_record.parts.pop((job.id, chunk.first_index), None) is None
            ):
                continue
            placement_record.free_bytes += chunk.reserved_bytes
            if not placement_record.is_exclusive and not placement_record.is_closed:
                self._open_records.pop(placement_record.key, None)
                self._open_records[placement_record.key] = placement_record
        for placement_record in list(self._closed_records.values()):
            placement_record.jobs_with_moved_parts.discard(job.id)
            if placement_record.is_empty and not placement_record.version:
                self.remove_record(placement_record)  # it was never written

    def split_record(self, placement_record: PlacementRecord) -> list[tuple[Job, Chunk]]:
        """The store refuses it for what it is: each part gets a placement record of its own, so
        that one job's trouble holds back no other. All of them must be written before the old one
        may go; until then it holds what is known of them, and later what is older, see `load`."""
        parts = list(placement_record.parts.values())
        for job, chunk in parts:
            own = self._create_record(is_exclusive=True)
            self._attach_part(own, job, chunk, estimate_part_bytes(job, chunk))
        placement_record.parts.clear()
        placement_record.is_exclusive = True
        self._open_records.pop(placement_record.key, None)
        return parts

    def isolate(self, placement_record: PlacementRecord) -> None:
        """It has a single part, which the store refuses: no other part may join it, so that it can
        wait without holding back anybody."""
        placement_record.is_exclusive = True
        self._open_records.pop(placement_record.key, None)

    def empty_records(self) -> list[PlacementRecord]:
        """Placement records in the store that nobody needs any more."""
        return [s for s in self.by_key.values() if s.is_empty and s.version]

    def remove_record(self, placement_record: PlacementRecord) -> None:
        """It is not in the store any more."""
        self.by_key.pop(placement_record.key, None)
        self._open_records.pop(placement_record.key, None)
        self._closed_records.pop(placement_record.key, None)

    def encode_record(self, placement_record: PlacementRecord) -> tuple[dict[str, Any], int]:
        """The record, and its size in bytes."""
        parts: list[Any] = []
        size = 12
        for job, chunk in placement_record.parts.values():
            if chunk.is_dirty or chunk.last_written is None:
                part = job.encode_part(chunk)
                chunk.last_written = (part, len(orjson.dumps(part)) + 1)
            parts.append(chunk.last_written[0])
            size += chunk.last_written[1]
        for unread in placement_record.unreadable_parts:
            parts.append(unread)
            size += len(orjson.dumps(unread)) + 1
        return {"p": parts}, size

    def load_records(
        self, items: Iterable[Item], jobs: JobRegistry, now: MonotonicTime
    ) -> list[Placement]:
        """Takes over the records of earlier leaders. A part that is on two placement records was
        moved: it counts as the one with the higher attempt has it, and of equals the newer. (The
        placement record's version alone may mislead: a copy of the first write of a placement
        record since dropped may come late, and makes it again.) Of parts cut differently the finest
        that covers a task counts, see `jobs`, whatever the versions are: a late copy of a write of
        the coarse one may come after the finer ones were written, and knows less than they."""
        found: PartCopiesByJob = {}
        for item in sorted(items, key=lambda i: i.version):
            self._load_record(item, jobs, found)
        loaded: list[Placement] = []
        for job_id, copies in found.items():
            loaded += self._load_job(jobs, jobs.jobs[job_id], copies, now)
        for placement_record in self.by_key.values():
            if placement_record.free_bytes >= MIN_FREE_BYTES and not (
                placement_record.unreadable_parts
                or placement_record.is_exclusive
                or placement_record.is_closed
            ):
                self._open_records[placement_record.key] = placement_record
        return loaded

    def _load_record(self, item: Item, jobs: JobRegistry, found: PartCopiesByJob) -> None:
        placement_record = PlacementRecord(item.key, self._target_bytes, item.version)
        parts = item.value.get("p") if isinstance(item.value, dict) else None
        of_job = item.key[len(PLACEMENT_PREFIX) :].rpartition("/")
        if of_job[0]:
            # Until 0.2 each job had records of its own.
            parts, placement_record.is_exclusive = [[of_job[0], of_job[2], item.value]], True
        if not isinstance(parts, list):
            # Whose parts were here nobody knows; none may start anything until it is mended.
            log.error("place record unreadable key=%s: no parts", item.key)
            _mark_all_unreadable(jobs)
            return
        self.by_key[item.key] = placement_record
        if len(orjson.dumps(item.value)) > self.max_bytes:
            self.close(placement_record)  # of the time when values might be larger
        for part in parts:
            try:
                self._collect_part(placement_record, part, jobs, found)
            except (TypeError, ValueError) as err:
                log.error("place record unreadable key=%s: %s", item.key, err)
                placement_record.unreadable_parts.append(part)
                _mark_all_unreadable(jobs)

    def _collect_part(
        self,
        placement_record: PlacementRecord,
        part: Any,
        jobs: JobRegistry,
        found: PartCopiesByJob,
    ) -> None:
        """Keeps the part if it counts more than the copy of it that was found before."""
        name, number, value = part
        known = jobs.get(JobId(str(name)))
        if known is None:
            return
        span = self._part_range(known, int(number), value)
        copies = found.setdefault(known.id, {})
        if span not in copies or _attempt_of_part(value) >= _attempt_of_part(copies[span][1]):
            copies[span] = (placement_record, value)

    def _part_range(self, job: Job, number: int, value: Any) -> tuple[int, int]:
        """The tasks that a part covers."""
        tasks = value.get("n") if isinstance(value, dict) else None
        if tasks is None:
            return job.chunk_range(number)
        if type(tasks) is not int or not 0 < tasks <= job.spec.task_count - number:
            raise ValueError(tasks)
        self.found_subchunks = True
        return number, number + tasks

    def _load_job(
        self, jobs: JobRegistry, job: Job, copies: PartCopies, now: MonotonicTime
    ) -> list[Placement]:
        loaded: list[Placement] = []
        told: dict[int, tuple[int, int]] = {}  # of finer parts, by first task
        for span in sorted(copies, key=lambda s: (s[1] - s[0], s)):
            placement_record, value = copies[span]
            inside = sorted(t for t in told.values() if span[0] <= t[0] < span[1])
            edges = [span[0], *(edge for t in inside for edge in t), span[1]]
            gaps = [(a, b) for a, b in zip(edges[::2], edges[1::2], strict=True) if a < b]
            coarse = span == job.chunk_range(span[0] // job.tasks_per_chunk)
            try:
                if not 0 <= span[0] < span[1]:
                    raise ValueError(span)
                for low, high in gaps if inside else [span]:
                    chunk = Chunk(low, high, bool(inside) or not coarse)
                    loaded += jobs.load_chunk(job, chunk, value, now, not inside)
                    told[low] = (low, high)
                    if not inside:
                        self._attach_part(
                            placement_record, job, chunk, estimate_part_bytes(job, chunk)
                        )
                        continue
                    # Partly told of by finer parts: what is left is written when it changes, as
                    # finer parts, and until then this placement record has the only record of it.
                    self.close(placement_record)
                    placement_record.jobs_with_moved_parts.add(job.id)
                for t in inside:
                    fine = job.chunks[t[0]]
                    fine.highest_attempt = max(fine.highest_attempt, Attempt(int(value["a"])))
            except (MalformedMessage, KeyError, TypeError, ValueError) as err:
                # Where its tasks may be is not known, so none may start; it stays known, and the
                # others are taken over all the same.
                log.error(
                    "place record unreadable key=%s job=%s: %s", placement_record.key, job.id, err
                )
                job.has_unreadable_record = True
                number = span[0] // job.tasks_per_chunk if coarse else span[0]
                placement_record.unreadable_parts.append([job.id, number, value])
        return loaded
