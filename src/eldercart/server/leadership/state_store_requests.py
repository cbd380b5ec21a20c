"""The leader's reads and writes of the state service for its scheduler."""

import logging
from typing import Protocol

from eldercart.persistence.transactions import CleanupPermit
from eldercart.scheduling.scheduler import PendingTransaction, Scheduler, TransactionOutcome
from eldercart.server.leadership.current_leadership import Leadership, is_current_leadership
from eldercart.server.leadership.job_outcomes import JobOutcomes
from eldercart.server.metrics import Metrics
from eldercart.server.node_context import Clock
from eldercart.server.store.client import (
    RESERVE_JOB_OUTCOMES,
    RESERVE_LEARNED_STATE,
    RESERVE_PLACEMENTS,
    RESERVE_POLLS,
    StoreClient,
)
from eldercart.units import JobId, MonotonicTime, Revision
from eldercart.wire.state import Item
from eldercart.wire.stored_jobs import END_PREFIX, decode_end_record

log = logging.getLogger("eldercart.node")

OUTCOME_BY_STATUS = {
    200: TransactionOutcome.COMMITTED,
    400: TransactionOutcome.INVALID,
    409: TransactionOutcome.CONFLICT,
    413: TransactionOutcome.INVALID,
    429: TransactionOutcome.REJECTED,
    503: TransactionOutcome.REJECTED,
}  # any other status, or no response: INDETERMINATE
MAX_OUTCOME_READS = 20  # end records of dependencies that one pass reads
MAX_LOGGED_BYTES = 300  # logged part of a transaction that failed unexpectedly


class CleanupPolicy(Protocol):
    """Decides whether the leader may delete the remaining records of ended jobs."""

    def cleanup_permit(self, scheduler: Scheduler, now: MonotonicTime, /) -> CleanupPermit:
        """Return the current permit, with the conditions under which a cleanup is committed."""

    def on_write_fenced(self) -> None:
        """Handle a failed conditional write: the lease that permitted it may be lost."""


class StateStoreRequests:
    """Carries out the scheduler's reads and commits within the rate limits."""

    def __init__(
        self,
        leadership: Leadership,
        store: StoreClient,
        outcomes: JobOutcomes,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        """`metrics` receives the duration of each committed transaction."""
        self._leadership = leadership
        self._store = store
        self._outcomes = outcomes
        self._metrics = metrics
        self._clock = clock
        self.cleanup_policy: CleanupPolicy | None = None  # None: cleanup is always permitted

    def process_events(self, scheduler: Scheduler, now: MonotonicTime) -> None:
        """Send the requests that are due, most urgent first."""
        if self.cleanup_policy is not None:
            scheduler.transaction_writer.cleanup_permit = self.cleanup_policy.cleanup_permit(
                scheduler, now
            )
        self._refresh_records(scheduler, now)
        self._read_outcomes(scheduler, now)
        self._commit_next(scheduler, now)
        self._commit_learned_state(scheduler, now)

    # -- reads

    def _refresh_records(self, scheduler: Scheduler, now: MonotonicTime) -> None:
        for key in list(scheduler.keys_to_refresh):
            if self._store.requests.try_take(now):
                self._refresh(scheduler, key)

    def _refresh(self, scheduler: Scheduler, key: str) -> None:
        scheduler.refreshes_in_flight.add(key)
        scheduler.keys_to_refresh.discard(key)

        def done(ok: bool, item: Item | None) -> None:
            if not is_current_leadership(self._leadership, scheduler):
                return
            scheduler.refreshes_in_flight.discard(key)
            if ok:
                scheduler.on_key_refreshed(key, item, self._clock())
            else:
                scheduler.keys_to_refresh.add(key)

        self._store.get(key, done)

    def _read_outcomes(self, scheduler: Scheduler, now: MonotonicTime) -> None:
        tokens = self._store.requests.available(now, RESERVE_POLLS)
        for job in scheduler.take_due_end_lookups(now, min(MAX_OUTCOME_READS, tokens)):
            self._read_outcome(scheduler, job)

    def _read_outcome(self, scheduler: Scheduler, job: JobId) -> None:
        """Look up the outcome of a dependency that is no longer in the job registry."""
        outcome = self._outcomes.outcome_of(job)
        if outcome is not None:
            scheduler.on_end_lookup_result(job, outcome, self._clock())
            return

        def done(ok: bool, item: Item | None) -> None:
            if not is_current_leadership(self._leadership, scheduler):
                return
            scheduler.on_end_lookup_result(
                job, None if item is None else decode_end_record(item.value), self._clock()
            )
            self._leadership.process_events_soon()

        self._store.get(END_PREFIX + job, done)

    # -- writes

    def _commit_next(self, scheduler: Scheduler, now: MonotonicTime) -> None:
        store = self._store
        if store.requests.available(now, RESERVE_JOB_OUTCOMES) < 1:
            return
        reserve = RESERVE_JOB_OUTCOMES if scheduler.has_unpersisted_outcomes else RESERVE_PLACEMENTS
        pending = scheduler.next_transaction(now, store.writes.available(now, reserve))
        if pending is not None:
            self._commit(scheduler, pending, now)

    def _commit(
        self, scheduler: Scheduler, pending: PendingTransaction, now: MonotonicTime
    ) -> None:
        self._store.requests.force_take(now)
        self._store.writes.force_take(now, len(pending.transaction.operations))

        def done(status: int | None, revision: Revision, failed: tuple[str, ...]) -> None:
            if not is_current_leadership(self._leadership, scheduler):
                return
            outcome = _outcome_of(status, pending)
            answered_at = self._clock()
            self._metrics.record("write", answered_at - now)
            if self.cleanup_policy is not None and failed and pending.cleanup_permit.conditions:
                self.cleanup_policy.on_write_fenced()
            if scheduler.on_transaction_result(pending, outcome, revision, failed, answered_at):
                self._leadership.step_down("write refused by the leader key")
            else:
                self._leadership.process_events()

        self._store.commit(pending.transaction, done)

    def _commit_learned_state(self, scheduler: Scheduler, now: MonotonicTime) -> None:
        store = self._store
        spare = store.writes.available(now, RESERVE_LEARNED_STATE)
        if spare < 1:
            return
        transaction = scheduler.next_learned_state_transaction(now, spare)
        if transaction is not None:
            store.requests.force_take(now)
            store.writes.force_take(now, len(transaction.operations))
            store.commit(transaction, lambda status, revision, failed: None)


def _outcome_of(status: int | None, pending: PendingTransaction) -> TransactionOutcome:
    if status is None:
        return TransactionOutcome.INDETERMINATE
    outcome = OUTCOME_BY_STATUS.get(status, TransactionOutcome.INDETERMINATE)
    if outcome in (TransactionOutcome.INVALID, TransactionOutcome.INDETERMINATE):
        log.error(
            "transaction answered status=%d body=%s",
            status,
            pending.transaction.body()[:MAX_LOGGED_BYTES],
        )
    return outcome
