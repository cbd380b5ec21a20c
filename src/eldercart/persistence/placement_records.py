"""Placement records, which several jobs share.

The state store limits the number of operations, not bytes. With a record for each job, a burst of
small jobs would need more operations than there are, and machines would stand idle for placements
that wait to be written. So the parts of several jobs, each a chunk as `jobs.job` says, share a
record as large as a value may be, and one operation writes whatever is new in all of them. The part
of a job that has ended simply is not written again.

How much a part will come to take is an estimate; what counts is what a record is measured to take.
A placement record that would become larger than a value may be, or was written when values might be
larger, is closed: it is never written again. What changes on it moves to other placement records,
and it stays in the store until all jobs are over that it still tells of, since of tasks that have
not changed since, it may hold the only record.
"""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

import orjson

from eldercart.jobs.job import Chunk, EncodedPart, Job
from eldercart.jobs.registry import JobRegistry
from eldercart.units import ABSENT_REVISION, FencingToken, JobId, Revision
from eldercart.wire.stored_placements import PLACEMENT_PREFIX, encode_placement_record

PART_OVERHEAD_BYTES = 48  # of a part, beside its entries
# of a placement with a machine's name of the usual length, beside the task's number
ESTIMATED_PLACEMENT_BYTES = 21
# without which a placement record is not considered for further parts
MIN_FREE_BYTES = PART_OVERHEAD_BYTES + 2 * ESTIMATED_PLACEMENT_BYTES
MAX_RECORD_BYTES = 26_000  # two of them fit into a transaction
RECORD_OVERHEAD_BYTES = 12  # of a record without parts
SEPARATOR_BYTES = 1  # after each part
# Shares of a value's size: up to which records are filled, above which a record is closed.
TARGET_FILL_RATIO, MAX_FILL_RATIO = 0.8, 0.9
# records considered for a new part, the ones last used: what is placed together stays together
MAX_OPEN_CANDIDATES = 6


class RecordPart(NamedTuple):
    """A chunk of a job that a placement record holds."""

    job: Job
    chunk: Chunk


@dataclass(slots=True, eq=False)
class PlacementRecord:
    """One record of placements."""

    key: str
    free_bytes: int  # that are left for further parts
    version: Revision = ABSENT_REVISION
    parts: dict[tuple[JobId, int], RecordPart] = field(default_factory=dict)  # by first task
    unreadable_parts: list[Any] = field(default_factory=list)  # kept as they were found
    is_exclusive: bool = False  # takes no other part
    is_closed: bool = False  # never written again: what changes moves to another record
    jobs_with_moved_parts: set[JobId] = field(default_factory=set)  # if it is closed

    @property
    def is_empty(self) -> bool:
        """Whether it tells of no open job."""
        return not self.parts and not self.unreadable_parts and not self.jobs_with_moved_parts


def estimate_part_bytes(job: Job, chunk: Chunk) -> int:
    """Return about how many bytes the part will come to take.

    If that was too little, the part moves, and what it was measured to take counts.
    """
    bytes_per_task = ESTIMATED_PLACEMENT_BYTES + len(str(job.spec.task_count))
    estimate = PART_OVERHEAD_BYTES + chunk.task_count * bytes_per_task
    return estimate if chunk.last_written is None else max(estimate, chunk.last_written.size_bytes)


class PlacementRecords:
    """Owns the placement records and which part is on which."""

    def __init__(self, value_bytes: int, token: FencingToken) -> None:
        """Create an empty collection for the leader with this token.

        `value_bytes` is the limit of a value in the store.
        """
        self.max_bytes = int(value_bytes * MAX_FILL_RATIO)  # measured, above it a record is closed
        self.found_subchunks = False  # an earlier leader knew that all nodes read subchunks
        self.subchunks_supported = False  # every node reads parts of subchunks
        self.by_key: dict[str, PlacementRecord] = {}
        self._target_bytes = min(int(value_bytes * TARGET_FILL_RATIO), MAX_RECORD_BYTES)
        self._key_prefix = f"{PLACEMENT_PREFIX}{token}-"  # no other leader's records begin so
        self._record_count = 0
        # Records with room, the one last used at the end.
        self._open_records: dict[str, PlacementRecord] = {}
        self._closed_records: dict[str, PlacementRecord] = {}

    def get(self, key: str) -> PlacementRecord | None:
        """Return the placement record with this key, if it is still there."""
        return self.by_key.get(key)

    @property
    def may_subdivide(self) -> bool:
        """Whether parts of subchunks may be written.

        Every node must be able to read them. That an earlier leader wrote one shows it, too.
        """
        return self.subchunks_supported or self.found_subchunks

    def empty_records(self) -> list[PlacementRecord]:
        """Return the placement records in the store that nobody needs any more."""
        return [record for record in self.by_key.values() if record.is_empty and record.version]

    # -- which part is on which record

    def record_for(self, job: Job, chunk: Chunk) -> PlacementRecord:
        """Return the placement record that the part is on; it gets one if it has none."""
        if chunk.record_key is not None:
            old_record = self.by_key[chunk.record_key]
            if not old_record.is_closed:
                return old_record
            self._detach_part(old_record, job, chunk)
        needed_bytes = estimate_part_bytes(job, chunk)
        record = self._open_record_with(needed_bytes) or self._create_record()
        self.attach_part(record, job, chunk, needed_bytes)
        if record.free_bytes >= MIN_FREE_BYTES:
            self._open_records[record.key] = record
        else:
            self._open_records.pop(record.key, None)
        return record

    def _open_record_with(self, needed_bytes: int) -> PlacementRecord | None:
        """Return the newest open record with so much room, if there is one."""
        candidates = list(self._open_records.values())[-MAX_OPEN_CANDIDATES:]
        for record in reversed(candidates):
            if record.free_bytes >= needed_bytes:
                return record
        return None

    def _create_record(self, *, is_exclusive: bool = False) -> PlacementRecord:
        self._record_count += 1
        key = f"{self._key_prefix}{self._record_count}"
        record = PlacementRecord(key, self._target_bytes, is_exclusive=is_exclusive)
        self.by_key[key] = record
        return record

    def attach_part(
        self, record: PlacementRecord, job: Job, chunk: Chunk, needed_bytes: int
    ) -> None:
        """Put the part on the record, where it takes `needed_bytes`."""
        record.parts[job.id, chunk.first_index] = RecordPart(job, chunk)
        record.free_bytes -= needed_bytes
        chunk.record_key, chunk.reserved_bytes = record.key, needed_bytes

    def _detach_part(self, record: PlacementRecord, job: Job, chunk: Chunk) -> None:
        """Take the part off the closed record, while the store still has it there."""
        record.parts.pop((job.id, chunk.first_index), None)
        record.jobs_with_moved_parts.add(job.id)
        chunk.record_key = None

    def close(self, record: PlacementRecord) -> None:
        """Write the record no more; its parts move as they change.

        The order of the two records does not matter to a later leader: the moved part has the same
        attempts, or more, and is the newer.
        """
        record.is_closed = True
        self._closed_records[record.key] = record
        self._open_records.pop(record.key, None)

    def subdivide_chunk(
        self, jobs: JobRegistry, job: Job, chunk: Chunk, max_tasks: int, *, is_exclusive: bool
    ) -> list[Chunk]:
        """Divide a chunk whose part is too large by itself; return the subchunks.

        The old part stays where it is, since until the subchunks are written it is all that the
        store has. With `is_exclusive`, each subchunk gets a record of its own.
        """
        record = self.by_key.get(chunk.record_key or "")
        if record is not None:
            self.close(record)
            self._detach_part(record, job, chunk)
        subchunks = jobs.subdivide_chunk(job, chunk, max_tasks)
        if is_exclusive:
            for subchunk in subchunks:
                self._attach_alone(job, subchunk)
        return subchunks

    def _attach_alone(self, job: Job, chunk: Chunk) -> None:
        """Put the part on a new record that takes no other part."""
        record = self._create_record(is_exclusive=True)
        self.attach_part(record, job, chunk, estimate_part_bytes(job, chunk))

    def split_record(self, record: PlacementRecord) -> list[RecordPart]:
        """Give each part a placement record of its own, since the store calls this one invalid.

        So one job's trouble holds back no other. All of them must be written before the old record
        may go; until then it holds what is known of them, and later what is older, which
        `placement_record_loader` takes into account. Returns the parts.
        """
        parts = list(record.parts.values())
        for part in parts:
            self._attach_alone(part.job, part.chunk)
        record.parts.clear()
        self.isolate(record)
        return parts

    def isolate(self, record: PlacementRecord) -> None:
        """Let no other part join a record that the store calls invalid.

        It can wait then without holding back anybody.
        """
        record.is_exclusive = True
        self._open_records.pop(record.key, None)

    def remove_job(self, job: Job) -> None:
        """Remove the parts of a job whose own record is deleted: they count no more."""
        for chunk in job.chunks.values():
            record = self.by_key.get(chunk.record_key or "")
            chunk.record_key = None
            if record is None or record.parts.pop((job.id, chunk.first_index), None) is None:
                continue
            record.free_bytes += chunk.reserved_bytes
            if not record.is_exclusive and not record.is_closed:
                self._open_records.pop(record.key, None)
                self._open_records[record.key] = record
        for record in list(self._closed_records.values()):
            record.jobs_with_moved_parts.discard(job.id)
            if record.is_empty and not record.version:
                self.remove_record(record)  # it was never written

    def remove_record(self, record: PlacementRecord) -> None:
        """Forget a record that is not in the store any more."""
        self.by_key.pop(record.key, None)
        self._open_records.pop(record.key, None)
        self._closed_records.pop(record.key, None)

    # -- reading and writing

    def encode_record(self, record: PlacementRecord) -> tuple[dict[str, Any], int]:
        """Return the stored record and its size in bytes."""
        encoded: list[Any] = []
        size = RECORD_OVERHEAD_BYTES
        for job, chunk in record.parts.values():
            part = chunk.last_written
            if chunk.is_dirty or part is None:
                part = chunk.last_written = _measure(job.encode_part(chunk))
            encoded.append(part.value)
            size += part.size_bytes
        for value in record.unreadable_parts:
            encoded.append(value)
            size += _measure(value).size_bytes
        return encode_placement_record(encoded), size

    def add_stored_record(
        self, key: str, version: Revision, *, is_exclusive: bool
    ) -> PlacementRecord:
        """Add a record as the store has it, without its parts."""
        record = PlacementRecord(key, self._target_bytes, version, is_exclusive=is_exclusive)
        self.by_key[key] = record
        return record

    def reopen_stored_records(self) -> None:
        """Let loaded records with enough room take further parts."""
        for record in self.by_key.values():
            if record.unreadable_parts or record.is_exclusive or record.is_closed:
                continue
            if record.free_bytes >= MIN_FREE_BYTES:
                self._open_records[record.key] = record


def _measure(value: Any) -> EncodedPart:
    return EncodedPart(value, len(orjson.dumps(value)) + SEPARATOR_BYTES)
