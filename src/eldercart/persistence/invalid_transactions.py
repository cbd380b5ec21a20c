"""Isolates the job or record that makes a transaction invalid."""

import logging

from eldercart.persistence.placement_records import PlacementRecords
from eldercart.persistence.transactions import PendingTransaction
from eldercart.persistence.write_backlog import CleanupBacklog, WriteLimits, requeue_chunk
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.units import MonotonicTime

log = logging.getLogger("eldercart.controller")

MIN_OPERATIONS = 2  # the end of a job and its clean-up can't be separated


class InvalidTransactionSplitter:
    """Makes the next transactions smaller until the invalid job is isolated.

    A transaction that is invalid because of its size or one bad key would block all other writes
    forever if it were retried unchanged.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        placement_records: PlacementRecords,
        cleanup: CleanupBacklog,
        limits: WriteLimits,
    ) -> None:
        """Create a splitter; `cleanup` and `limits` are shared with the transaction builder."""
        self._cluster_state = cluster_state
        self._placement_records = placement_records
        self._cleanup = cleanup
        self._limits = limits

    def split(self, pending: PendingTransaction, now: MonotonicTime) -> None:
        """Take the next step: fewer units, then smaller units, finally set the job aside."""
        if len(pending.split_units) > 1:
            self._limits.max_units = len(pending.split_units) // 2
            return
        if self._split_shared_record(pending, now):
            return
        if pending.operation_count > MIN_OPERATIONS:
            self._limits.max_operations = max(MIN_OPERATIONS, pending.operation_count // 2)
            return
        if self._halve_chunk(pending):
            return
        self._set_aside(pending, now)

    def _split_shared_record(self, pending: PendingTransaction, now: MonotonicTime) -> bool:
        """Give each part of a placement record its own record; return whether it had several."""
        if not pending.placement_records or len(pending.placement_records[0].parts) <= 1:
            return False
        for job, chunk in self._placement_records.split_record(pending.placement_records[0]):
            requeue_chunk(self._cluster_state, job, chunk, now)
        return True

    def _halve_chunk(self, pending: PendingTransaction) -> bool:
        """Divide the only chunk, whose size may be the cause; return whether that was possible.

        Each half gets its own record.
        """
        if not pending.placement_records or not self._placement_records.may_subdivide:
            return False
        part = next(iter(pending.placement_records[0].parts.values()), None)
        if part is None or part.chunk.task_count == 1:
            return False
        job, chunk = part
        max_tasks = (chunk.task_count + 1) // 2
        self._placement_records.subdivide_chunk(
            self._cluster_state.jobs, job, chunk, max_tasks, is_exclusive=True
        )
        self._cluster_state.mark_dirty(job)
        return True

    def _set_aside(self, pending: PendingTransaction, now: MonotonicTime) -> None:
        """Set aside jobs and records that can't be made smaller, so that other writes continue."""
        if not pending.split_units:
            # Nothing depends on these deletions; a later leader may retry them.
            self._cleanup.orphaned_keys.clear()
            self._cleanup.dependency_list_keys.clear()
        for record in pending.deleted_records:
            self._placement_records.remove_record(record)
        for record in pending.placement_records:
            self._placement_records.isolate(record)
        jobs = [
            *(update.job for update in pending.chunk_updates),
            *(end.job for end in pending.ends),
            *pending.cleaned_up_jobs,
        ]
        for job in jobs:
            log.error("record rejected job=%s", job.id)
            self._limits.reject_job(job, now)
