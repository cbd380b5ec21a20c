"""Builds the leader's transactions: ends of jobs, placement records, and clean-ups."""

from eldercart.jobs.job import Chunk, Job, PlacementPhase
from eldercart.persistence.placement_records import PlacementRecord, PlacementRecords, RecordPart
from eldercart.persistence.transactions import (
    ChunkUpdate,
    CleanupPermit,
    JobEnd,
    PendingTransaction,
)
from eldercart.persistence.write_backlog import CleanupBacklog, WriteLimits
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.units import ABSENT_REVISION, JobId, MonotonicTime, Revision
from eldercart.wire import users
from eldercart.wire.leader_key import LEADER_KEY
from eldercart.wire.state import MAX_TRANSACTION_BYTES, DeleteKey, Put, Transaction
from eldercart.wire.stored_jobs import (
    CLEANUP_PREFIX,
    END_PREFIX,
    JOB_PREFIX,
    dependency_list_keys,
    encode_cleanup_marker,
    encode_end_record,
)
from eldercart.wire.stored_placements import max_tasks_per_chunk

# The end of a job with its clean-up or marker needs two operations, and so does a later clean-up.
OPERATIONS_PER_JOB = 2
END_BYTES = 250  # the end of a job needs no more in a transaction
WRITE_OVERHEAD_BYTES = 60  # a condition and a put need this in addition to the key in each


class TransactionBuilder:
    """Builds the next transaction from what waits to be written."""

    def __init__(
        self,
        cluster_state: ClusterState,
        placement_records: PlacementRecords,
        cleanup: CleanupBacklog,
        limits: WriteLimits,
    ) -> None:
        """Create a builder; `cleanup` and `limits` are shared with the handlers of results."""
        self._cluster_state = cluster_state
        self._placement_records = placement_records
        self._cleanup = cleanup
        self._limits = limits
        self._max_part_tasks = max_tasks_per_chunk(cluster_state.settings.value_bytes)

    def build(
        self, now: MonotonicTime, max_operations: int, cleanup_permit: CleanupPermit
    ) -> PendingTransaction:
        """Return a transaction of at most `max_operations` operations, which may be empty."""
        cluster_state = self._cluster_state
        self._limits.expire_rejections(now)
        max_operations = min(max_operations, self._limits.max_operations)
        pending = PendingTransaction(Transaction({LEADER_KEY: Revision(cluster_state.token)}))
        if self._add_ends(pending, cluster_state.finalizing_jobs, max_operations):
            self._add_chunk_updates(pending, max_operations, now)
            # These are not urgent: status requests are answered from the end of the upstream job,
            # and a wide fan-out would delay all placements until all its ends are written.
            self._add_ends(pending, cluster_state.upstream_cancelled_jobs, max_operations)
            self._add_permitted_cleanups(pending, max_operations, cleanup_permit)
        return pending

    # -- ends of jobs

    def _add_ends(
        self, pending: PendingTransaction, jobs: dict[JobId, Job], max_operations: int
    ) -> bool:
        """Add the ends of these jobs; return whether less urgent writes may follow.

        They may not while an end waits for more operations. Otherwise placements would use up each
        operation as soon as it is available.
        """
        for job in jobs.values():
            key = END_PREFIX + job.id
            if self._limits.is_rejected(job.id):
                continue
            if self._limits.is_held_back(pending, job.id, key):
                continue
            if pending.operation_count + OPERATIONS_PER_JOB > max_operations:
                return False
            self._add_end(pending, job, key)
        return True

    def _add_end(self, pending: PendingTransaction, job: Job, key: str) -> None:
        transaction = pending.transaction
        outcome = users.CANCELLED if job.is_cancellation_requested else users.DONE
        transaction.conditions[key] = ABSENT_REVISION
        transaction.operations.append(Put(key, encode_end_record(outcome, job.spec.task_count)))
        pending.ends.append(JobEnd(job, outcome))
        pending.split_units.add(job.id)
        pending.size_bytes += END_BYTES
        if job.has_live_placements:
            # The marker shows a later leader that this job only waits to be cleaned up.
            requested_at = round(
                job.cancellation_requested_at + self._cluster_state.wall_clock_offset_s, 2
            )
            marker = encode_cleanup_marker(outcome, requested_at)
            transaction.operations.append(Put(CLEANUP_PREFIX + job.id, marker))
        else:
            # The job has no live placements, so its record is deleted at once. That makes its
            # parts in placement records obsolete.
            transaction.operations.append(DeleteKey(JOB_PREFIX + job.id))
            pending.cleaned_up_jobs.append(job)

    # -- placement records

    def _add_chunk_updates(
        self, pending: PendingTransaction, max_operations: int, now: MonotonicTime
    ) -> None:
        """Add placements in the order of the last planning pass, then batched task completions."""
        changed = self._changed_chunks(now)
        if pending.operation_count >= max_operations:
            return
        # All chunks are assigned to records first, so that the changes are in few records.
        keys = list(
            dict.fromkeys(
                self._placement_records.record_for(part.job, part.chunk).key for part in changed
            )
        )
        for key in keys:  # the loop may append to it
            record = self._placement_records.by_key[key]
            if record.is_closed:
                continue
            if not self._add_placement_record(pending, record, max_operations, keys):
                return

    def _changed_chunks(self, now: MonotonicTime) -> list[RecordPart]:
        """Return the chunks to be written, the most urgent first."""
        cluster_state = self._cluster_state
        urgent: list[tuple[tuple[bool, int, int, int], RecordPart]] = []
        waiting: list[tuple[MonotonicTime, RecordPart]] = []
        for job in list(cluster_state.dirty_jobs.values()):
            self._discard_changes_of_ending_job(job)
            is_dirty = False
            for chunk in job.chunks.values():
                if not chunk.is_dirty:
                    continue
                is_dirty = True
                if chunk.is_urgent:
                    urgent.append((_urgency_order(job, chunk), RecordPart(job, chunk)))
                elif now - chunk.dirty_since >= cluster_state.tuning.flush_done_s:
                    waiting.append((chunk.dirty_since, RecordPart(job, chunk)))
            if not is_dirty:
                del cluster_state.dirty_jobs[job.id]
        urgent.sort(key=lambda entry: entry[0])
        waiting.sort(key=lambda entry: entry[0])
        return [part for _, part in urgent] + [part for _, part in waiting]

    def _discard_changes_of_ending_job(self, job: Job) -> None:
        """Let no chunk be written of a job whose end is durable or is about to be.

        The end makes the placement records obsolete. Placements that they still list are checked
        against heartbeats.
        """
        if (
            job.outcome is not None
            or job.is_cancellation_requested
            or job.id in self._cluster_state.finalizing_jobs
        ):
            for chunk in job.chunks.values():
                chunk.is_dirty = chunk.is_urgent = False

    def _add_placement_record(
        self,
        pending: PendingTransaction,
        record: PlacementRecord,
        max_operations: int,
        keys: list[str],
    ) -> bool:
        """Add a placement record; return whether the transaction may take more.

        If the record has become too large, parts of it move to other records. The keys of those
        that are not yet in `keys` are appended there.
        """
        key = record.key
        if pending.operation_count >= max_operations:
            return False
        if self._is_rejected(record) or self._limits.is_held_back(pending, key, key):
            return True
        value, size = self._placement_records.encode_record(record)
        if size > self._placement_records.max_bytes and self._shrink_record(record, keys):
            return True
        size += 2 * len(key) + WRITE_OVERHEAD_BYTES
        if pending.size_bytes + size > MAX_TRANSACTION_BYTES:
            return not pending.size_bytes
        pending.size_bytes += size
        # A delayed duplicate of this write fails, because the version has changed by then.
        pending.transaction.conditions[key] = record.version
        pending.transaction.operations.append(Put(key, value))
        pending.placement_records.append(record)
        pending.split_units.add(key)
        for part in record.parts.values():
            if part.chunk.is_dirty:
                pending.chunk_updates.append(_start_chunk_update(part))
        return True

    def _is_rejected(self, record: PlacementRecord) -> bool:
        return record.is_exclusive and any(
            self._limits.is_rejected(part.job.id) for part in record.parts.values()
        )

    def _shrink_record(self, record: PlacementRecord, keys: list[str]) -> bool:
        """Shrink a record that has become too large; return whether that was possible.

        Changed parts move to other records, and a part that alone is too large is subdivided.
        The keys of the other records are appended to `keys`.
        """
        parts = [part for part in record.parts.values() if part.chunk.is_dirty]
        if len(record.parts) == 1:
            ((job, chunk),) = record.parts.values()
            if not self._placement_records.may_subdivide or chunk.task_count == 1:
                return False  # it is written at the same size as before
            self._cluster_state.mark_dirty(job)
            max_tasks = min(self._max_part_tasks, (chunk.task_count + 1) // 2)
            subchunks = self._placement_records.subdivide_chunk(
                self._cluster_state.jobs, job, chunk, max_tasks, is_exclusive=False
            )
            parts = [RecordPart(job, subchunk) for subchunk in subchunks]
        else:
            self._placement_records.close(record)
        moved = [self._placement_records.record_for(part.job, part.chunk).key for part in parts]
        keys.extend(dict.fromkeys(key for key in moved if key not in keys))
        return True

    # -- clean-ups

    def _add_permitted_cleanups(
        self, pending: PendingTransaction, max_operations: int, permit: CleanupPermit
    ) -> None:
        """Add clean-ups to a transaction with urgent writes.

        In separate transactions they would wait as long as there is anything to place, and ended
        jobs would fill the placement records.
        """
        if not permit.is_allowed:
            return
        operations_before = pending.operation_count
        self._add_cleanups(pending, max_operations)
        self._add_dependency_lists(pending, max_operations)
        if pending.operation_count > operations_before:
            pending.cleanup_permit = permit
            pending.transaction.conditions.update(permit.conditions)

    def _add_cleanups(self, pending: PendingTransaction, max_operations: int) -> None:
        if not self._add_job_cleanups(pending, max_operations):
            return
        self._add_orphaned_keys(pending, max_operations)
        if pending.operation_count or self._cluster_state.dirty_jobs:
            return  # an empty placement record may still be used for new parts
        self._add_empty_records(pending, max_operations)

    def _add_job_cleanups(self, pending: PendingTransaction, max_operations: int) -> bool:
        """Delete the records of ended jobs; return whether there may be room for more."""
        operations = pending.transaction.operations
        for job in self._cleanup.jobs.values():
            if pending.operation_count + OPERATIONS_PER_JOB > max_operations:
                return False
            if job.has_live_placements or self._limits.is_rejected(job.id):
                continue
            if self._limits.is_held_back(pending, job.id, JOB_PREFIX + job.id):
                continue
            operations += [DeleteKey(JOB_PREFIX + job.id), DeleteKey(CLEANUP_PREFIX + job.id)]
            pending.cleaned_up_jobs.append(job)
            pending.split_units.add(job.id)
        return True

    def _add_orphaned_keys(self, pending: PendingTransaction, max_operations: int) -> None:
        orphaned_keys = self._cleanup.orphaned_keys
        while orphaned_keys and pending.operation_count < max_operations:
            key, version = orphaned_keys.pop()
            pending.transaction.conditions[key] = version
            pending.transaction.operations.append(DeleteKey(key))
            pending.orphaned_keys.append((key, version))

    def _add_empty_records(self, pending: PendingTransaction, max_operations: int) -> None:
        for record in self._placement_records.empty_records():
            key = record.key
            if pending.operation_count >= max_operations:
                return
            if self._limits.is_held_back(pending, key, key):
                return
            pending.transaction.conditions[key] = record.version
            pending.transaction.operations.append(DeleteKey(key))
            pending.deleted_records.append(record)
            pending.split_units.add(key)

    def _add_dependency_lists(self, pending: PendingTransaction, max_operations: int) -> None:
        """Delete dependency lists together with their job's record or after it.

        They are never deleted earlier, because the next leader could not read a record whose list
        is missing. Once the job's end is stored, no delayed duplicate of the acceptance can be
        applied, so nothing refers to the lists again.

        Lists that no record refers to are kept: they were written for an acceptance that may still
        be in progress, and neither its node nor its nonce is known here. Lists whose record was
        deleted by an earlier leader, which left the list, are kept too.
        """
        keys = [
            *self._cleanup.dependency_list_keys,
            *(key for job in pending.cleaned_up_jobs for key in dependency_list_keys_of(job)),
        ]
        pending.dependency_list_keys = keys[: max(0, max_operations - pending.operation_count)]
        pending.transaction.operations += [DeleteKey(key) for key in pending.dependency_list_keys]


def dependency_list_keys_of(job: Job) -> list[str]:
    """Return the keys of the job's dependency list; none if its own record holds it."""
    if job.dependency_list_reference is None:
        return []
    return dependency_list_keys(job.id, job.dependency_list_reference)


def _urgency_order(job: Job, chunk: Chunk) -> tuple[bool, int, int, int]:
    return not job.is_starving, -job.priority, job.queue_position, chunk.first_index


def _start_chunk_update(part: RecordPart) -> ChunkUpdate:
    """Mark a dirty chunk as clean and return its update for the transaction."""
    chunk = part.chunk
    placements = chunk.placements.values()
    chunk.is_dirty = chunk.is_urgent = False
    return ChunkUpdate(
        part.job,
        chunk,
        planned=[
            placement for placement in placements if placement.phase is PlacementPhase.PLANNED
        ],
        ended=[placement for placement in placements if placement.phase is PlacementPhase.ENDED],
    )
