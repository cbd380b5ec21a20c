"""The reads and writes that the leader's controller asks of the state service."""

import logging
from typing import TYPE_CHECKING

from eldercart.scheduling.scheduler import PendingTransaction, Scheduler, TransactionOutcome
from eldercart.server.leadership.current_leadership import is_current_leadership
from eldercart.server.store.client import (
    RESERVE_JOB_OUTCOMES,
    RESERVE_LEARNED_STATE,
    RESERVE_PLACEMENTS,
    RESERVE_POLLS,
)
from eldercart.units import JobId, MonotonicTime, Revision
from eldercart.wire.state import Item
from eldercart.wire.stored_jobs import END_PREFIX, decode_end_record

if TYPE_CHECKING:
    from eldercart.server.controller_node import ControllerNode

log = logging.getLogger("eldercart.node")

OUTCOME_BY_STATUS = {
    200: TransactionOutcome.COMMITTED,
    400: TransactionOutcome.INVALID,
    409: TransactionOutcome.CONFLICT,
    413: TransactionOutcome.INVALID,
    429: TransactionOutcome.REJECTED,
    503: TransactionOutcome.REJECTED,
}  # any other status, or none: unknown
MAX_OUTCOME_READS = 20  # ends of awaited jobs that are read at once
MAX_LOGGED_BYTES = 300  # of a transaction that was answered unexpectedly


class StateStoreRequests:
    """Carries out the controller's work on the state service as far as tokens allow."""

    def __init__(self, node: "ControllerNode") -> None:
        """Uses the node's client of the state service and its tokens."""
        self._node = node

    def process_events(self, controller: Scheduler, now: MonotonicTime) -> None:
        """Starts what is due, in the order of its urgency."""
        if self._node.singleton_service is not None:
            controller.transaction_writer.cleanup_permit = (
                self._node.singleton_service.cleanup_permit(controller, now)
            )
        self._refresh_records(controller, now)
        self._read_outcomes(controller, now)
        self._commit_next(controller, now)
        self._commit_learned_state(controller, now)

    # -- reads

    def _refresh_records(self, controller: Scheduler, now: MonotonicTime) -> None:
        for key in list(controller.keys_to_refresh):
            if self._node.store.requests.try_take(now):
                self._refresh(controller, key)

    def _refresh(self, controller: Scheduler, key: str) -> None:
        controller.refreshes_in_flight.add(key)
        controller.keys_to_refresh.discard(key)

        def done(ok: bool, item: Item | None) -> None:
            if not is_current_leadership(self._node, controller):
                return
            controller.refreshes_in_flight.discard(key)
            if ok:
                controller.on_key_refreshed(key, item, self._node.clock())
            else:
                controller.keys_to_refresh.add(key)

        self._node.store.get(key, done)

    def _read_outcomes(self, controller: Scheduler, now: MonotonicTime) -> None:
        tokens = self._node.store.requests.available(now, RESERVE_POLLS)
        for job in controller.take_due_end_lookups(now, min(MAX_OUTCOME_READS, tokens)):
            self._read_outcome(controller, job)

    def _read_outcome(self, controller: Scheduler, job: JobId) -> None:
        """How a job ended that others await and that is not in the job registry any more."""
        node = self._node
        how = node.user_service.outcome_of(job)
        if how is not None:
            controller.on_end_lookup_result(job, how, node.clock())
            return

        def done(ok: bool, item: Item | None) -> None:
            if not is_current_leadership(self._node, controller):
                return
            controller.on_end_lookup_result(
                job, None if item is None else decode_end_record(item.value), node.clock()
            )
            node.leader_service.process_events_soon()

        node.store.get(END_PREFIX + job, done)

    # -- writes

    def _commit_next(self, controller: Scheduler, now: MonotonicTime) -> None:
        store = self._node.store
        if store.requests.available(now, RESERVE_JOB_OUTCOMES) < 1:
            return
        reserve = (
            RESERVE_JOB_OUTCOMES if controller.has_unpersisted_outcomes else RESERVE_PLACEMENTS
        )
        pending = controller.next_transaction(now, store.writes.available(now, reserve))
        if pending is not None:
            self._commit(controller, pending, now)

    def _commit(
        self, controller: Scheduler, pending: PendingTransaction, now: MonotonicTime
    ) -> None:
        node = self._node
        node.store.requests.force_take(now)
        node.store.writes.force_take(now, len(pending.transaction.operations))

        def done(status: int | None, revision: Revision, failed: tuple[str, ...]) -> None:
            if not is_current_leadership(self._node, controller):
                return
            outcome = _outcome_of(status, pending)
            answered_at = node.clock()
            node.metrics.record("write", answered_at - now)
            if node.singleton_service is not None and failed and pending.cleanup_permit.conditions:
                node.singleton_service.on_write_fenced()
            if controller.on_transaction_result(pending, outcome, revision, failed, answered_at):
                node.step_down("write refused by the leader key")
            else:
                node.leader_service.process_events()

        node.store.commit(pending.transaction, done)

    def _commit_learned_state(self, controller: Scheduler, now: MonotonicTime) -> None:
        store = self._node.store
        spare = store.writes.available(now, RESERVE_LEARNED_STATE)
        if spare < 1:
            return
        memory_txn = controller.next_learned_state_transaction(now, spare)
        if memory_txn is not None:
            store.requests.force_take(now)
            store.writes.force_take(now, len(memory_txn.operations))
            store.commit(memory_txn, lambda status, revision, failed: None)


def _outcome_of(status: int | None, pending: PendingTransaction) -> TransactionOutcome:
    if status is None:
        return TransactionOutcome.INDETERMINATE
    outcome = OUTCOME_BY_STATUS.get(status, TransactionOutcome.INDETERMINATE)
    if outcome in (TransactionOutcome.INVALID, TransactionOutcome.INDETERMINATE):
        log.error(
            "transaction answered %d: %s", status, pending.transaction.body()[:MAX_LOGGED_BYTES]
        )
    return outcome
