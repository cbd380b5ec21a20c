"""Placement records, which several jobs share.

The state store limits the number of operations, not bytes. With one record per job, a burst of
small jobs would need more operations than the store allows, and machines would be idle while
placements wait to be written. So several jobs share a record, which may be as large as a value. It
holds one part for each of their chunks (see `jobs.job`), and one operation writes all changes in
these parts. The part of a job that has ended is left out of the next write.

The final size of a part is estimated in advance, but the limit applies to the measured size of the
record. A placement record that would exceed the value limit, or was written under a larger limit,
is closed, which means that it is never written again. Parts of it that change move to other
placement records. It stays in the store until all jobs that it still lists have ended, because it
may hold the only copy of parts that have not changed since.
"""

from dataclasses import dataclass, field
from typing import Any, NamedTuple

import orjson

from eldercart.jobs.job import Chunk, EncodedPart, Job
from eldercart.jobs.registry import JobRegistry
from eldercart.units import ABSENT_REVISION, FencingToken, JobId, Revision
from eldercart.wire.stored_placements import PLACEMENT_PREFIX, encode_placement_record

PART_OVERHEAD_BYTES = 48  # a part needs this in addition to its entries
# A placement needs this with a machine id of the usual length, in addition to the task's number.
ESTIMATED_PLACEMENT_BYTES = 21
# A placement record with less free space takes no further parts.
MIN_FREE_BYTES = PART_OVERHEAD_BYTES + 2 * ESTIMATED_PLACEMENT_BYTES
MAX_RECORD_BYTES = 26_000  # two of them fit into a transaction
RECORD_OVERHEAD_BYTES = 12  # a record needs this in addition to its parts
SEPARATOR_BYTES = 1  # a comma follows each part
# Shares of the value limit: records are filled up to the first and closed above the second.
TARGET_FILL_RATIO, MAX_FILL_RATIO = 0.8, 0.9
# Only the records opened last are considered for a new part, so that parts that are placed together
# share a record.
MAX_OPEN_CANDIDATES = 6


class RecordPart(NamedTuple):
    """A chunk of a job, stored as a part of a placement record."""

    job: Job
    chunk: Chunk


@dataclass(slots=True, eq=False)
class PlacementRecord:
    """A record with the placements of one or more chunks."""

    key: str
    free_bytes: int  # space for further parts
    version: Revision = ABSENT_REVISION
    # By job and first task of the chunk.
    parts: dict[tuple[JobId, int], RecordPart] = field(default_factory=dict)
    unreadable_parts: list[Any] = field(default_factory=list)  # written back unchanged
    is_exclusive: bool = False  # no other part may be added
    is_closed: bool = False  # never written again; changed parts move elsewhere
    # Jobs whose moved parts the stored value of a closed record still holds.
    jobs_with_moved_parts: set[JobId] = field(default_factory=set)

    @property
    def is_empty(self) -> bool:
        """Whether it lists no open job."""
        return not self.parts and not self.unreadable_parts and not self.jobs_with_moved_parts


def estimate_part_bytes(job: Job, chunk: Chunk) -> int:
    """Return the estimated final size of the part in bytes.

    If the estimate was too low, the part moves, and its measured size is used from then on.
    """
    bytes_per_task = ESTIMATED_PLACEMENT_BYTES + len(str(job.spec.task_count))
    estimate = PART_OVERHEAD_BYTES + chunk.task_count * bytes_per_task
    return estimate if chunk.last_written is None else max(estimate, chunk.last_written.size_bytes)


class PlacementRecords:
    """Owns the placement records and the assignment of parts to them."""

    def __init__(self, value_bytes: int, token: FencingToken) -> None:
        """Create an empty collection for the leader with this token.

        `value_bytes` is the limit of a value in the store.
        """
        self.max_bytes = int(value_bytes * MAX_FILL_RATIO)  # a larger record is closed
        self.found_subchunks = False  # an earlier leader wrote parts of subchunks
        self.subchunks_supported = False  # every node can read parts of subchunks
        self.by_key: dict[str, PlacementRecord] = {}
        self._target_bytes = min(int(value_bytes * TARGET_FILL_RATIO), MAX_RECORD_BYTES)
        self._key_prefix = f"{PLACEMENT_PREFIX}{token}-"  # unique to this leader
        self._record_count = 0
        # Records with free space, the one opened last at the end.
        self._open_records: dict[str, PlacementRecord] = {}
        self._closed_records: dict[str, PlacementRecord] = {}

    def get(self, key: str) -> PlacementRecord | None:
        """Return the placement record with this key, or None if there is none."""
        return self.by_key.get(key)

    @property
    def may_subdivide(self) -> bool:
        """Whether parts of subchunks may be written.

        Every node must be able to read them. If an earlier leader wrote one, every node can.
        """
        return self.subchunks_supported or self.found_subchunks

    def empty_records(self) -> list[PlacementRecord]:
        """Return the placement records in the store that no job needs any more."""
        return [record for record in self.by_key.values() if record.is_empty and record.version]

    # -- assignment of parts to records

    def record_for(self, job: Job, chunk: Chunk) -> PlacementRecord:
        """Return the placement record of the part.

        A part that has none, or a closed one, is assigned to another first.
        """
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
        """Return the last opened record with enough free space, if there is one."""
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
        """Assign the part to the record and reserve `needed_bytes` for it."""
        record.parts[job.id, chunk.first_index] = RecordPart(job, chunk)
        record.free_bytes -= needed_bytes
        chunk.record_key, chunk.reserved_bytes = record.key, needed_bytes

    def _detach_part(self, record: PlacementRecord, job: Job, chunk: Chunk) -> None:
        """Remove the part from the closed record, whose stored value still holds it."""
        record.parts.pop((job.id, chunk.first_index), None)
        record.jobs_with_moved_parts.add(job.id)
        chunk.record_key = None

    def close(self, record: PlacementRecord) -> None:
        """Never write the record again; its parts move to other records as they change.

        A later leader may load the two records in either order: the copy in the other record has
        the same or a higher attempt, and is newer.
        """
        record.is_closed = True
        self._closed_records[record.key] = record
        self._open_records.pop(record.key, None)

    def subdivide_chunk(
        self, jobs: JobRegistry, job: Job, chunk: Chunk, max_tasks: int, *, is_exclusive: bool
    ) -> list[Chunk]:
        """Divide a chunk whose part alone is too large; return the subchunks.

        The old part stays in its record, because until the subchunks are written the store has no
        other copy. With `is_exclusive`, each subchunk gets a record of its own.
        """
        record = self.by_key.get(chunk.record_key or "")
        if record is not None:
            self.close(record)
            self._detach_part(record, job, chunk)
        subchunks = jobs.subdivide_chunk(job, chunk, max_tasks)
        if is_exclusive:
            for subchunk in subchunks:
                self._attach_to_new_record(job, subchunk)
        return subchunks

    def _attach_to_new_record(self, job: Job, chunk: Chunk) -> None:
        """Assign the part to a new record that takes no other part."""
        record = self._create_record(is_exclusive=True)
        self.attach_part(record, job, chunk, estimate_part_bytes(job, chunk))

    def split_record(self, record: PlacementRecord) -> list[RecordPart]:
        """Give each part its own placement record, because the store rejected this one as invalid.

        An invalid part then delays no other job. All parts must be written to their new records
        before the old record may be deleted. Until then it holds the only copy of a part, later an
        outdated one, which `placement_record_loader` takes into account. Returns the parts.
        """
        parts = list(record.parts.values())
        for part in parts:
            self._attach_to_new_record(part.job, part.chunk)
        record.parts.clear()
        self.isolate(record)
        return parts

    def isolate(self, record: PlacementRecord) -> None:
        """Add no other part to a record that the store rejected as invalid.

        The record can then wait without delaying other jobs.
        """
        record.is_exclusive = True
        self._open_records.pop(record.key, None)

    def remove_job(self, job: Job) -> None:
        """Remove the parts of a job whose own record is deleted, since readers ignore them."""
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
        """Remove a record from this collection; this does not change the store."""
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
        """Add a record that is in the store, without its parts."""
        record = PlacementRecord(key, self._target_bytes, version, is_exclusive=is_exclusive)
        self.by_key[key] = record
        return record

    def reopen_stored_records(self) -> None:
        """Allow further parts in loaded records with enough free space."""
        for record in self.by_key.values():
            if record.unreadable_parts or record.is_exclusive or record.is_closed:
                continue
            if record.free_bytes >= MIN_FREE_BYTES:
                self._open_records[record.key] = record


def _measure(value: Any) -> EncodedPart:
    return EncodedPart(value, len(orjson.dumps(value)) + SEPARATOR_BYTES)
