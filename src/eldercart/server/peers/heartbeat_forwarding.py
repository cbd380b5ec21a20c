"""Workers' reports at this node: answered here, sent elsewhere, or forwarded to the leader."""

import logging
from collections import OrderedDict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from eldercart.cluster.heartbeat_relay import Acknowledge, Forward, HeartbeatRelay, Redirect
from eldercart.server.coalescing import CoalescedCall
from eldercart.server.http.server import JsonRequest
from eldercart.server.peers.connections import PeerLink, connected_link
from eldercart.units import FencingToken, MachineId, MonotonicTime, NodeId
from eldercart.wire import MalformedMessage, peers, users, workers
from eldercart.wire.checks import load_nested_object

if TYPE_CHECKING:
    from eldercart.server.controller_node import ControllerNode

log = logging.getLogger("eldercart.node")

BATCH_DELAY_S = 0.015  # in which reports gather to a batch
REPLY_TIMEOUT_S = 3.0  # a worker drops answers after 4 s
# Reports given up whose late answers are still recognized: a stalled leader may leave those of all
# workers of this node, twice over.
MAX_ABANDONED_HEARTBEATS = 16_384


@dataclass(slots=True)
class PendingHeartbeat:
    """A report handed to the leader, and its worker's connection."""

    request: JsonRequest
    header: workers.HeartbeatHeader
    deadline_at: MonotonicTime


class HeartbeatForwarding:
    """Owns the reports that wait for the leader's answer."""

    def __init__(
        self,
        node: "ControllerNode",
        relay: HeartbeatRelay,
        links: Mapping[NodeId, PeerLink],
        request_ids: Iterator[int],
    ) -> None:
        """`numbers`: of frames' items, never the same twice."""
        self._node = node
        self._relay = relay
        self._links = links
        self._request_ids = request_ids
        self._pending_heartbeats: dict[int, PendingHeartbeat] = {}
        self._abandoned: OrderedDict[int, MachineId] = OrderedDict()
        self._batch: list[tuple[int, bytes]] = []
        self._schedule_flush = CoalescedCall(BATCH_DELAY_S, self._flush)

    # -- from workers

    def handle_heartbeat(self, request: JsonRequest) -> None:
        """Answers a worker's report, at once or when the leader has answered."""
        now = self._node.clock()
        body = request.body()
        try:
            obj = load_nested_object(body)
            head = workers.parse_heartbeat_header(obj)
        except MalformedMessage as err:
            _reject_malformed(request, err)
            return
        link = connected_link(self._links, self._relay.leader)
        reachable = self._node.leader_service.is_active or link is not None
        machine, order, epoch, notice, tasks = head
        match self._relay.handle_heartbeat(machine, order, epoch, notice, tasks, now, reachable):
            case Acknowledge(current):
                request.reply(200, workers.heartbeat_response_body(current, []))
            case Redirect(to):
                self._redirect(request, epoch, to, now)
            case Forward():
                self._forward(
                    PendingHeartbeat(request, head, MonotonicTime(now + REPLY_TIMEOUT_S)),
                    body,
                    obj,
                    now,
                )
            case _:
                request.reply(503, users.error_body("overtaken"), 1)

    def _redirect(
        self, request: JsonRequest, token: FencingToken, target: NodeId | None, now: MonotonicTime
    ) -> None:
        node = self._node
        if token > self._relay.token:
            node.observe_token(token, "a worker has seen a higher epoch")
        if target is None and not self._relay.holds_lease(now):
            target = node.election.leader
        target = None if target == node.settings.label else target
        request.reply(421, workers.redirect_body(target))

    def _forward(
        self, pending: PendingHeartbeat, body: bytes, message: dict[str, Any], now: MonotonicTime
    ) -> None:
        if self._node.leader_service.is_active:
            self._handle_as_leader(pending, message, now)
            return
        # It goes on as it came: the leader reads it, and takes a malformed one for none.
        number = next(self._request_ids)
        self._pending_heartbeats[number] = pending
        self._batch.append((number, body))
        self._schedule_flush()

    def _handle_as_leader(
        self, pending: PendingHeartbeat, message: dict[str, Any], now: MonotonicTime
    ) -> None:
        """This node leads: the report needs no connection."""
        leader_service = self._node.leader_service
        try:
            report = workers.parse_heartbeat(message)
        except MalformedMessage as err:
            _reject_malformed(pending.request, err)
            return
        calls, again = leader_service.handle_heartbeat(report, self._node.settings.label, now)
        self._node.metrics.record("report", self._node.clock() - now)
        self._reply(pending, calls, again)
        leader_service.process_events_soon()

    def _reply(
        self, pending: PendingHeartbeat, commands: list[dict[str, Any]] | None, wants_next: bool
    ) -> None:
        head = pending.header
        if commands is None:
            self._relay.on_stale_heartbeat(head.machine, head.sequence)
            pending.request.reply(503, users.error_body("overtaken"), 1)
            return
        wants_next = wants_next or bool(commands) or pending.request.is_disconnected
        self._relay.on_leader_response(
            head.machine, head.sequence, head.has_preemption_notice, head.tasks, wants_next
        )
        pending.request.reply(200, workers.heartbeat_response_body(self._relay.token, commands))

    # -- towards the leader

    def _flush(self) -> None:
        """Sends what has gathered to the leader under whose grant this node acts."""
        gathered, self._batch = self._batch, []
        link = connected_link(self._links, self._relay.leader)
        now = self._node.clock()
        for batch in peers.split_batches(gathered):
            if link is None or not link.send(
                peers.encode_forwarded_heartbeats(self._relay.token, batch)
            ):
                self._abandon_batch(batch, now)

    def _abandon_batch(self, batch: list[tuple[int, bytes]], now: MonotonicTime) -> None:
        for number, _ in batch:
            pending = self._pending_heartbeats.pop(number, None)
            if pending is not None:
                self._abandon(pending, now)

    def on_replies(self, link: PeerLink, replies: list[peers.HeartbeatReply]) -> None:
        """The leader's answers; it is told which of them came too late to be passed on."""
        dropped: list[MachineId] = []
        for answer in replies:
            pending = self._pending_heartbeats.pop(answer.request_id, None)
            if pending is not None:
                late = pending.request.is_disconnected and answer.commands
                self._reply(pending, answer.commands, answer.wants_next)
                if late:
                    dropped.append(pending.header.machine)
            elif answer.request_id in self._abandoned:
                dropped.append(self._abandoned.pop(answer.request_id))
        if dropped:
            link.send(peers.encode_machines(peers.UNDELIVERED, dropped))

    def on_link_lost(self, link: PeerLink, now: MonotonicTime) -> None:
        """No answer comes any more to what was forwarded on this connection."""
        if link.label != self._relay.leader:
            return
        self._relay.on_leader_disconnected()
        for number in list(self._pending_heartbeats):
            self._abandon(self._pending_heartbeats.pop(number), now)

    def expire_pending(self, now: MonotonicTime) -> None:
        """Gives up the reports whose workers won't wait any longer."""
        for number in [
            n for n, pending in self._pending_heartbeats.items() if pending.deadline_at <= now
        ]:
            pending = self._pending_heartbeats.pop(number)
            self._abandoned[number] = pending.header.machine
            while len(self._abandoned) > MAX_ABANDONED_HEARTBEATS:
                self._abandoned.popitem(last=False)
            self._abandon(pending, now)

    def _abandon(self, pending: PendingHeartbeat, now: MonotonicTime) -> None:
        """No answer from the leader: under a grant the worker's lease lives on all the same."""
        self._relay.request_next_heartbeat(pending.header.machine)
        if self._relay.holds_lease(now):
            pending.request.reply(200, workers.heartbeat_response_body(self._relay.token, []))
        else:
            pending.request.reply(503, users.error_body("no leader now"), 1)


def _reject_malformed(request: JsonRequest, error: MalformedMessage) -> None:
    log.error("report malformed: %s", error)
    request.reply(400, users.error_body(str(error)))
