"""The reads and writes that the leader's controller asks of the state service."""

import logging
from typing import TYPE_CHECKING

from eldercart.jobs.registry import END, end_of
from eldercart.scheduling.scheduler import Controller, Outcome, PendingTxn
from eldercart.server.leadership.current_leadership import serves
from eldercart.server.store.client import FOR_ENDS, FOR_MEMORY, FOR_PLACING, FOR_POLLS
from eldercart.units import JobId, Revision, Steady
from eldercart.wire.state import Item

if TYPE_CHECKING:
    from eldercart.server.controller_node import Node

log = logging.getLogger("eldercart.node")

OUTCOMES = {
    200: Outcome.OK,
    400: Outcome.MALFORMED,
    409: Outcome.CONFLICT,
    413: Outcome.MALFORMED,
    429: Outcome.REFUSED,
    503: Outcome.REFUSED,
}  # any other status, or none: unknown
MAX_END_READS = 20  # ends of awaited jobs that are read at once
LOGGED_CHARACTERS = 300  # of a transaction that was answered unexpectedly


class StoreWork:
    """Carries out the controller's work on the state service as far as tokens allow."""

    def __init__(self, node: "Node") -> None:
        """Uses the node's client of the state service and its tokens."""
        self._node = node

    def process_events(self, controller: Controller, now: Steady) -> None:
        """Starts what is due, in the order of its urgency."""
        if self._node.duties is not None:
            controller.records.cleanup_permit = self._node.duties.cleanup_permit(controller, now)
        self._reread_records(controller, now)
        self._read_ends(controller, now)
        self._write_next(controller, now)
        self._write_memory(controller, now)

    # -- reads

    def _reread_records(self, controller: Controller, now: Steady) -> None:
        for key in list(controller.reread):
            if self._node.store.requests.take(now):
                self._reread(controller, key)

    def _reread(self, controller: Controller, key: str) -> None:
        controller.reread_under_way.add(key)
        controller.reread.discard(key)

        def done(ok: bool, item: Item | None) -> None:
            if not serves(self._node, controller):
                return
            controller.reread_under_way.discard(key)
            if ok:
                controller.reread_done(key, item, self._node.clock())
            else:
                controller.reread.add(key)

        self._node.store.get(key, done)

    def _read_ends(self, controller: Controller, now: Steady) -> None:
        tokens = self._node.store.requests.available(now, FOR_POLLS)
        for job in controller.take_unread(now, min(MAX_END_READS, tokens)):
            self._read_end(controller, job)

    def _read_end(self, controller: Controller, job: JobId) -> None:
        """How a job ended that others await and that is not in the job registry any more."""
        node = self._node
        how = node.user_service.final_of(job)
        if how is not None:
            controller.end_read(job, how, node.clock())
            return

        def done(ok: bool, item: Item | None) -> None:
            if not serves(self._node, controller):
                return
            controller.end_read(job, None if item is None else end_of(item.value), node.clock())
            node.leader_service.process_events_soon()

        node.store.get(END + job, done)

    # -- writes

    def _write_next(self, controller: Controller, now: Steady) -> None:
        store = self._node.store
        if store.requests.available(now, FOR_ENDS) < 1:
            return
        reserve = FOR_ENDS if controller.ends_waiting else FOR_PLACING
        pending = controller.next_txn(now, store.writes.available(now, reserve))
        if pending is not None:
            self._write(controller, pending, now)

    def _write(self, controller: Controller, pending: PendingTxn, now: Steady) -> None:
        node = self._node
        node.store.requests.force(now)
        node.store.writes.force(now, len(pending.txn.writes))

        def done(status: int | None, revision: Revision, failed: tuple[str, ...]) -> None:
            if not serves(self._node, controller):
                return
            outcome = _outcome_of(status, pending)
            answered_at = node.clock()
            node.meters.add("write", answered_at - now)
            if node.duties is not None and failed and pending.permit.guards:
                node.duties.disproved()
            if controller.txn_done(pending, outcome, revision, failed, answered_at):
                node.deposed("write refused by the leader key")
            else:
                node.leader_service.process_events()

        node.store.txn(pending.txn, done)

    def _write_memory(self, controller: Controller, now: Steady) -> None:
        store = self._node.store
        spare = store.writes.available(now, FOR_MEMORY)
        if spare < 1:
            return
        memory_txn = controller.next_memory_txn(now, spare)
        if memory_txn is not None:
            store.requests.force(now)
            store.writes.force(now, len(memory_txn.writes))
            store.txn(memory_txn, lambda status, revision, failed: None)


def _outcome_of(status: int | None, pending: PendingTxn) -> Outcome:
    if status is None:
        return Outcome.UNKNOWN
    outcome = OUTCOMES.get(status, Outcome.UNKNOWN)
    if outcome in (Outcome.MALFORMED, Outcome.UNKNOWN):
        log.error("transaction answered %d: %s", status, pending.txn.body()[:LOGGED_CHARACTERS])
    return outcome
