"""The leader's writes to the state store, one transaction at a time.

Only one transaction is in flight at any time, because the next write of a record needs the version
that the previous write gave it.
"""

import logging

from eldercart.jobs.job import EndWrite, Job
from eldercart.persistence.commit_effects import CommitEffects
from eldercart.persistence.invalid_transactions import InvalidTransactionSplitter
from eldercart.persistence.placement_records import PlacementRecords
from eldercart.persistence.transaction_builder import TransactionBuilder
from eldercart.persistence.transactions import (
    CleanupPermit,
    PendingTransaction,
    TransactionOutcome,
)
from eldercart.persistence.write_backlog import CleanupBacklog, WriteLimits, requeue_chunk
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.units import ABSENT_REVISION, DISTANT_PAST, JobId, MonotonicTime, Revision
from eldercart.wire.leader_key import LEADER_KEY
from eldercart.wire.state import Item
from eldercart.wire.stored_jobs import END_PREFIX, decode_end_record

log = logging.getLogger("eldercart.controller")

WRITE_RETRY_DELAY_S = 0.25  # applies if a write was rejected or its result is unknown


class TransactionWriter:
    """Owns the transaction in flight and the keys that must be read again."""

    def __init__(self, cluster_state: ClusterState) -> None:
        """Create a writer for the jobs and machines of `cluster_state`."""
        settings = cluster_state.settings
        self.cluster_state = cluster_state
        self.placement_records = PlacementRecords(settings.value_bytes, cluster_state.token)
        self.cleanup_permit = CleanupPermit()
        self.keys_to_refresh: set[str] = set()
        self.refreshes_in_flight: set[str] = set()
        self._cleanup = CleanupBacklog()
        self._limits = WriteLimits(settings)
        shared = (cluster_state, self.placement_records, self._cleanup)
        self._builder = TransactionBuilder(*shared, self._limits)
        self._splitter = InvalidTransactionSplitter(*shared, self._limits)
        self._commit_effects = CommitEffects(*shared)
        self._in_flight: PendingTransaction | None = None
        self._paused_until = DISTANT_PAST

    # -- pending writes

    @property
    def jobs_to_clean_up(self) -> dict[JobId, Job]:
        """Ended jobs whose records wait to be deleted."""
        return self._cleanup.jobs

    @property
    def orphaned_keys(self) -> list[tuple[str, Revision]]:
        """Keys to be deleted that belong to no known job, with their versions."""
        return self._cleanup.orphaned_keys

    @property
    def dependency_list_keys(self) -> dict[str, None]:
        """Keys of dependency lists to be deleted; the records of their jobs are already deleted."""
        return self._cleanup.dependency_list_keys

    @property
    def pending_cleanup_count(self) -> int:
        """The approximate number of records that wait to be deleted."""
        return self._cleanup.size + len(self.placement_records.empty_records())

    @property
    def is_cleanup_in_flight(self) -> bool:
        """Whether the transaction in flight deletes records and depends on the cleanup lease."""
        return self._in_flight is not None and bool(self._in_flight.cleanup_permit.conditions)

    @property
    def subchunks_supported(self) -> bool:
        """Whether every node can read the parts of divided chunks, so that they may be written."""
        return self.placement_records.subchunks_supported

    @subchunks_supported.setter
    def subchunks_supported(self, supported: bool) -> None:
        self.placement_records.subchunks_supported = supported

    def unwritten_record_count(self) -> int:
        """Return the number of placement records with urgent changes that wait to be written."""
        return len(
            {
                chunk.record_key
                for job in self.cluster_state.dirty_jobs.values()
                for chunk in job.chunks.values()
                if chunk.is_dirty and chunk.is_urgent
            }
        )

    # -- transactions

    def next_transaction(
        self, now: MonotonicTime, max_operations: int
    ) -> PendingTransaction | None:
        """Return the next transaction of at most `max_operations` operations, if there is one.

        Its result must be passed to `on_transaction_result`; until then there is no other
        transaction.
        """
        if self._in_flight is not None or max_operations < 1 or now < self._paused_until:
            return None
        if not self._has_work():
            # Planning is suspended while the store is unavailable. Only another write can show that
            # the store is available again, and only a planning pass can produce one now.
            self.cluster_state.is_store_unavailable = False
            return None
        pending = self._builder.build(now, max_operations, self.cleanup_permit)
        if not pending.transaction.operations:
            return None
        self._in_flight = pending
        for end in pending.ends:
            if end.job.end_write is EndWrite.NOT_SENT:
                end.job.end_write = EndWrite.SENT
        return pending

    def _has_work(self) -> bool:
        cluster_state = self.cluster_state
        return bool(
            cluster_state.finalizing_jobs
            or cluster_state.upstream_cancelled_jobs
            or cluster_state.dirty_jobs
            or (self.cleanup_permit.is_allowed and self.pending_cleanup_count)
        )

    def on_transaction_result(
        self,
        pending: PendingTransaction,
        outcome: TransactionOutcome,
        revision: Revision,
        failed_keys: tuple[str, ...],
        now: MonotonicTime,
    ) -> bool:
        """Handle the result of the transaction in flight; return whether the leader must step down.

        `revision` is valid only if the transaction was committed. `failed_keys` are the keys whose
        conditions failed.
        """
        self._in_flight = None
        self._update_store_availability(outcome, now)
        if outcome is TransactionOutcome.COMMITTED:
            self._limits.raise_limits()
            self._commit_effects.apply(pending, revision, now)
            return False
        _log_not_committed(pending, outcome, failed_keys)
        for update in pending.chunk_updates:
            requeue_chunk(self.cluster_state, update.job, update.chunk, now)
        if outcome is TransactionOutcome.CONFLICT and LEADER_KEY in failed_keys:
            return True
        if outcome in (TransactionOutcome.REJECTED, TransactionOutcome.INVALID):
            self._requeue_uncommitted(pending)
            if outcome is TransactionOutcome.INVALID:
                self._splitter.split(pending, now)
            return False
        if outcome is TransactionOutcome.CONFLICT and _has_lost_permit(pending, failed_keys):
            # The conflict does not show whether the orphaned keys are deleted.
            self._cleanup.orphaned_keys += pending.orphaned_keys
        self._refresh_keys_of(pending)
        return False

    def _update_store_availability(self, outcome: TransactionOutcome, now: MonotonicTime) -> None:
        """Record whether the store is unavailable, and if so pause writes."""
        is_store_unavailable = outcome in (
            TransactionOutcome.REJECTED,
            TransactionOutcome.INDETERMINATE,
        )
        self.cluster_state.is_store_unavailable = is_store_unavailable
        if is_store_unavailable:
            self._paused_until = MonotonicTime(now + WRITE_RETRY_DELAY_S)

    def _requeue_uncommitted(self, pending: PendingTransaction) -> None:
        """Queue again the ends and deletions of a transaction that was certainly not applied."""
        for end in pending.ends:
            if end.job.end_write is EndWrite.SENT:
                end.job.end_write = EndWrite.NOT_SENT
        self._cleanup.orphaned_keys += pending.orphaned_keys

    def _refresh_keys_of(self, pending: PendingTransaction) -> None:
        """Request a fresh read of the keys of a transaction that may have been applied.

        An earlier attempt of one of these writes was applied, or this one may be, so only a read
        shows the versions of the keys. A conflict on an orphaned key means that it was deleted.
        """
        uncertain_keys = self._limits.uncertain_keys
        uncertain_keys.update(
            record.key for record in (*pending.placement_records, *pending.deleted_records)
        )
        for end in pending.ends:
            # The write may still be applied after the fresh read, and other nodes may then report
            # the job's outcome.
            end.job.end_write = EndWrite.INDETERMINATE
            uncertain_keys.add(END_PREFIX + end.job.id)
        self.keys_to_refresh |= uncertain_keys - self.refreshes_in_flight

    def on_key_refreshed(self, key: str, item: Item | None, now: MonotonicTime) -> None:
        """Handle a fresh read of a key; None means that it is absent."""
        self.keys_to_refresh.discard(key)
        self._limits.uncertain_keys.discard(key)
        if key.startswith(END_PREFIX):
            job = self.cluster_state.jobs.get(JobId(key[len(END_PREFIX) :]))
            if item is not None and job is not None and job.outcome is None:
                self._commit_effects.end_job(job, decode_end_record(item.value), now)
            return
        record = self.placement_records.get(key)
        if record is not None:
            record.version = ABSENT_REVISION if item is None else item.version


def _has_lost_permit(pending: PendingTransaction, failed_keys: tuple[str, ...]) -> bool:
    return any(key in failed_keys for key, _ in pending.cleanup_permit.conditions)


def _log_not_committed(
    pending: PendingTransaction, outcome: TransactionOutcome, failed_keys: tuple[str, ...]
) -> None:
    log.info(
        "transaction not committed outcome=%s failed_keys=%s keys=%s",
        outcome.value,
        failed_keys,
        [operation.key for operation in pending.transaction.operations],
    )
