"""Handling of workers' heartbeats, which this node answers, redirects or forwards to the leader."""

import logging
from collections import OrderedDict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from eldercart.cluster.heartbeat_relay import (
    Acknowledge,
    Forward,
    HeartbeatRelay,
    Redirect,
    Stale,
)
from eldercart.server.coalescing import CoalescedCall
from eldercart.server.http.replies import SHORT_RETRY_AFTER_S
from eldercart.server.http.server import JsonRequest
from eldercart.server.peers.connections import PeerLink, connected_link
from eldercart.server.peers.relay_host import RelayHost
from eldercart.units import NO_FENCING_TOKEN, FencingToken, MachineId, MonotonicTime, NodeId
from eldercart.wire import MalformedMessageError, peers, users, workers
from eldercart.wire.checks import load_nested_object

log = logging.getLogger("eldercart.node")

BATCH_DELAY_S = 0.015  # how long heartbeats are collected before a batch is sent
REPLY_TIMEOUT_S = 3.0  # below the 4 s after which a worker drops a response
# Expired heartbeats whose late replies are still recognized. During a stall of the leader, two
# heartbeats of each worker of this node may expire.
MAX_EXPIRED_HEARTBEATS = 16_384


@dataclass(slots=True)
class PendingHeartbeat:
    """A heartbeat that waits for the leader's reply, with the worker's HTTP request."""

    request: JsonRequest
    header: workers.HeartbeatHeader
    deadline_at: MonotonicTime
    # Of the leader to which it was sent, and thus of the one that made the commands in the reply.
    token: FencingToken = NO_FENCING_TOKEN


class HeartbeatForwarding:
    """Carries out the relay's decision on each worker's heartbeat.

    It owns the heartbeats that were forwarded and wait for the leader's reply.
    """

    def __init__(
        self,
        host: RelayHost,
        relay: HeartbeatRelay,
        links: Mapping[NodeId, PeerLink],
        request_ids: Iterator[int],
    ) -> None:
        """Create the service without pending heartbeats.

        `links` holds the links to all peers. `request_ids` yields ids that are unique among all
        requests to peers.
        """
        self._host = host
        self._relay = relay
        self._links = links
        self._request_ids = request_ids
        self._pending_heartbeats: dict[int, PendingHeartbeat] = {}
        self._expired_heartbeats: OrderedDict[int, MachineId] = OrderedDict()
        self._batch: list[peers.EncodedHeartbeat] = []
        self._schedule_flush = CoalescedCall(BATCH_DELAY_S, self._flush)

    # -- from workers

    def handle_heartbeat(self, request: JsonRequest) -> None:
        """Answer a worker's heartbeat immediately, or forward it and answer after the reply."""
        now = self._host.clock()
        body = request.body()
        try:
            message = load_nested_object(body)
            header = workers.parse_heartbeat_header(message)
        except MalformedMessageError as error:
            _reject_malformed(request, error)
            return
        link = connected_link(self._links, self._relay.leader)
        leader_reachable = self._host.leader_service.is_active or link is not None
        match self._relay.handle_heartbeat(*header, now, leader_reachable):
            case Acknowledge(token):
                request.reply(200, workers.heartbeat_response_body(token, []))
            case Redirect(target):
                self._redirect(request, header.token, target, now)
            case Forward():
                deadline_at = MonotonicTime(now + REPLY_TIMEOUT_S)
                pending = PendingHeartbeat(request, header, deadline_at)
                self._forward(pending, body, message, now)
            case Stale():
                _reject_stale(request)

    def _redirect(
        self, request: JsonRequest, token: FencingToken, target: NodeId | None, now: MonotonicTime
    ) -> None:
        """Redirect the worker to `target`, or to any other node if it is None.

        `token` is the highest that the worker has seen.
        """
        if token > self._relay.token:
            self._host.observe_token(token, "a worker has seen a higher epoch")
        if target is None and not self._relay.holds_lease(now):
            target = self._host.election.leader
        target = None if target == self._host.settings.label else target
        request.reply(421, workers.redirect_body(target))

    def _forward(
        self, pending: PendingHeartbeat, body: bytes, message: dict[str, Any], now: MonotonicTime
    ) -> None:
        if self._host.leader_service.is_active:
            self._handle_as_leader(pending, message, now)
            return
        # The body is forwarded unchanged. The leader parses it and ignores a malformed one.
        request_id = next(self._request_ids)
        self._pending_heartbeats[request_id] = pending
        self._batch.append(peers.EncodedHeartbeat(request_id, body))
        self._schedule_flush()

    def _handle_as_leader(
        self, pending: PendingHeartbeat, message: dict[str, Any], now: MonotonicTime
    ) -> None:
        """Pass the heartbeat to the scheduler of this node, which is the leader."""
        leader_service = self._host.leader_service
        pending.token = self._host.election.token
        try:
            heartbeat = workers.parse_heartbeat(message)
        except MalformedMessageError as error:
            _reject_malformed(pending.request, error)
            return
        response = leader_service.handle_heartbeat(heartbeat, self._host.settings.label, now)
        self._host.metrics.record("report", self._host.clock() - now)
        self._reply(pending, response.commands, response.wants_next)
        leader_service.process_events_soon()

    def _reply(
        self, pending: PendingHeartbeat, commands: list[dict[str, Any]] | None, wants_next: bool
    ) -> None:
        """Answer the worker with the leader's reply, under the token of that leader.

        `commands` is None if the heartbeat is stale. `wants_next` means that the machine's next
        heartbeat must be forwarded, too.
        """
        header = pending.header
        if commands is None:
            self._relay.on_stale_heartbeat(header.machine, header.sequence)
            _reject_stale(pending.request)
            return
        wants_next = (
            wants_next
            or bool(commands)
            or pending.request.is_disconnected
            # This node has just been elected, and its own relay does not know the new token yet.
            or pending.token != self._relay.token
        )
        self._relay.on_leader_response(
            header.machine,
            header.sequence,
            header.has_preemption_notice,
            header.tasks,
            wants_next,
        )
        pending.request.reply(200, workers.heartbeat_response_body(pending.token, commands))

    # -- to and from the leader

    def _flush(self) -> None:
        """Send the collected heartbeats to the leader that granted this node's lease."""
        collected, self._batch = self._batch, []
        link = connected_link(self._links, self._relay.leader)
        now = self._host.clock()
        for batch in peers.split_batches(collected):
            self._record_token(batch)
            if link is None or not link.send(
                peers.encode_forwarded_heartbeats(self._relay.token, batch)
            ):
                self._abandon_batch(batch, now)

    def _record_token(self, batch: list[peers.EncodedHeartbeat]) -> None:
        for heartbeat in batch:
            pending = self._pending_heartbeats.get(heartbeat.request_id)
            if pending is not None:
                pending.token = self._relay.token

    def _abandon_batch(self, batch: list[peers.EncodedHeartbeat], now: MonotonicTime) -> None:
        for heartbeat in batch:
            pending = self._pending_heartbeats.pop(heartbeat.request_id, None)
            if pending is not None:
                self._abandon(pending, now)

    def on_replies(self, link: PeerLink, replies: list[peers.HeartbeatReply]) -> None:
        """Answer workers with the leader's replies.

        Report to the leader each machine to which its commands were not delivered.
        """
        undelivered: list[MachineId] = []
        for reply in replies:
            pending = self._pending_heartbeats.pop(reply.request_id, None)
            if pending is not None:
                if not self._deliver(pending, reply):
                    undelivered.append(pending.header.machine)
            elif reply.request_id in self._expired_heartbeats:
                undelivered.append(self._expired_heartbeats.pop(reply.request_id))
        if undelivered:
            link.send(peers.encode_machines(peers.UNDELIVERED, undelivered))

    def _deliver(self, pending: PendingHeartbeat, reply: peers.HeartbeatReply) -> bool:
        """Answer a worker with the leader's reply; return whether its commands reach the worker.

        If the leader was replaced since, its commands are void, and its successor does not know
        what the machine has reported. The next heartbeat is therefore forwarded to the successor.
        """
        if pending.token != self._relay.token:
            log.info(
                "reply of replaced leader dropped machine=%s token=%d current_token=%d",
                pending.header.machine,
                pending.token,
                self._relay.token,
            )
            self._abandon(pending, self._host.clock())
            return not reply.commands
        is_delivered = not (pending.request.is_disconnected and reply.commands)
        self._reply(pending, reply.commands, reply.wants_next)
        return is_delivered

    def on_link_lost(self, link: PeerLink, now: MonotonicTime) -> None:
        """Abandon all forwarded heartbeats if the lost link is the leader's.

        Their replies cannot arrive any more.
        """
        if link.label != self._relay.leader:
            return
        self._relay.on_leader_disconnected()
        for request_id in list(self._pending_heartbeats):
            self._abandon(self._pending_heartbeats.pop(request_id), now)

    def expire_pending(self, now: MonotonicTime) -> None:
        """Abandon the heartbeats whose deadline has passed, and record them as expired."""
        for request_id in [
            request_id
            for request_id, pending in self._pending_heartbeats.items()
            if pending.deadline_at <= now
        ]:
            pending = self._pending_heartbeats.pop(request_id)
            self._expired_heartbeats[request_id] = pending.header.machine
            while len(self._expired_heartbeats) > MAX_EXPIRED_HEARTBEATS:
                self._expired_heartbeats.popitem(last=False)
            self._abandon(pending, now)

    def _abandon(self, pending: PendingHeartbeat, now: MonotonicTime) -> None:
        """Answer the worker without the leader's reply.

        While this node holds a relay lease, its answer still renews the worker's lease.
        """
        self._relay.request_next_heartbeat(pending.header.machine)
        if self._relay.holds_lease(now):
            pending.request.reply(200, workers.heartbeat_response_body(self._relay.token, []))
        else:
            pending.request.reply(503, users.error_body("no leader now"), SHORT_RETRY_AFTER_S)


def _reject_malformed(request: JsonRequest, error: MalformedMessageError) -> None:
    log.error("heartbeat malformed error=%s", error)
    request.reply(400, users.error_body(str(error)))


def _reject_stale(request: JsonRequest) -> None:
    request.reply(503, users.error_body("overtaken"), SHORT_RETRY_AFTER_S)
