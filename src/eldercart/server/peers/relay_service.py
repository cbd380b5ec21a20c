"""The service that owns the connections between nodes and dispatches the frames they receive."""

import logging
import secrets
from collections.abc import Callable
from itertools import count
from typing import Any

from eldercart.cluster.heartbeat_relay import HeartbeatRelay, lease_extension_s
from eldercart.server.peers.connections import PeerConnection, PeerLink, PeerServer
from eldercart.server.peers.heartbeat_forwarding import HeartbeatForwarding
from eldercart.server.peers.leader_client import LeaderClient
from eldercart.server.peers.peer_heartbeats import PeerHeartbeats
from eldercart.server.peers.relay_host import RelayHost
from eldercart.settings import NodeSettings, Tuning
from eldercart.units import JobId, MachineId, MonotonicTime, NodeId
from eldercart.wire import peers

log = logging.getLogger("eldercart.node")

EXPIRY_CHECK_INTERVAL_S = 0.2  # between checks for requests whose deadline has passed
REQUEST_ID_BITS = 40  # range of the first request id; ids are integers below 2^64
# A node accepts CONNECTIONS_PER_NODE * nodes + EXTRA_CONNECTIONS connections.
CONNECTIONS_PER_NODE, EXTRA_CONNECTIONS = 4, 8


class RelayService:
    """Owns the heartbeat relay, the connections to and from peers, and the services over them."""

    def __init__(self, host: RelayHost) -> None:
        """Create the services. The node connects and listens only once it is started."""
        self._host = host
        settings, tuning = host.settings, host.tuning
        relay_lease_s = tuning.grant_share * settings.lease_s
        # Shared, so that an id is unique among all requests to peers. The first one is random, so
        # that no late reply to a request of an earlier run of this process matches one of this run.
        request_ids = count(1 + secrets.randbits(REQUEST_ID_BITS))
        self.relay = HeartbeatRelay(settings.label, relay_lease_s, tuning.drift_margin)
        self.links = {
            member.label: PeerLink(
                member.label, member.endpoint, self._on_reply_frame, self._on_link_lost, host.clock
            )
            for member in settings.members
        }
        self.peer_server = PeerServer(
            self._on_request_frame,
            self._on_connection_lost,
            CONNECTIONS_PER_NODE * settings.node_count + EXTRA_CONNECTIONS,
        )
        self.peer_heartbeats = PeerHeartbeats(
            host,
            self.relay,
            self.links,
            request_ids,
            _lease_extension_s(settings, tuning, relay_lease_s),
        )
        self.heartbeat_forwarding = HeartbeatForwarding(host, self.relay, self.links, request_ids)
        self.leader_client = LeaderClient(host.election, host.clock, self.links, request_ids)
        # For each peer, the connection over which its latest heartbeat was received.
        self._connections: dict[NodeId, PeerConnection] = {}
        self._expiry_check_due_at = MonotonicTime(0)

    # -- time

    def tick(self, now: MonotonicTime) -> None:
        """Send the heartbeats that are due, and expire the requests whose deadline has passed."""
        self.peer_heartbeats.tick(now)
        if now >= self._expiry_check_due_at:
            self._expiry_check_due_at = MonotonicTime(now + EXPIRY_CHECK_INTERVAL_S)
            self.heartbeat_forwarding.expire_pending(now)
            self.leader_client.expire_pending(now)

    def exclude_stall(self, seconds: float) -> None:
        """Exclude a stall of this process from the time since the peers' last frames."""
        for link in self.links.values():
            link.exclude_stall(seconds)

    # -- frames received on connections that this node opened

    def _on_link_lost(self, link: PeerLink) -> None:
        log.info("peer lost peer=%s", link.label)
        self.leader_client.on_link_lost(link)
        self.heartbeat_forwarding.on_link_lost(link, self._host.clock())

    def _on_reply_frame(self, link: PeerLink, frame: dict[str, Any]) -> None:
        """Handle a frame that a peer sent over a connection that this node opened."""
        match peers.parse_reply(frame):
            case peers.PeerHeartbeatAck() as acknowledgement:
                self.peer_heartbeats.on_acknowledgement(link, acknowledgement, self._host.clock())
            case peers.HeartbeatReplies(replies):
                self.heartbeat_forwarding.on_replies(link, replies)
            case peers.NextHeartbeatRequests(machines):
                self._request_own_next_heartbeats(machines)
            case peers.JobReplies(replies):
                self.leader_client.on_replies(replies)

    def _request_own_next_heartbeats(self, machines: list[MachineId]) -> None:
        """Forward the next heartbeats of machines that report to this node."""
        for machine in machines:
            self.relay.request_next_heartbeat(machine)

    # -- frames received on connections that peers opened

    def _on_request_frame(self, connection: PeerConnection, frame: dict[str, Any]) -> None:
        """Handle a frame that a peer sent over a connection that the peer opened."""
        received_at = self._host.clock()
        match peers.parse_request(frame):
            case peers.PeerHeartbeat() as heartbeat:
                self._on_heartbeat(connection, heartbeat)
            case peers.ForwardedHeartbeats() as forwarded:
                self._answer_heartbeats(connection, forwarded, received_at)
            case peers.Polls(requests):
                self._answer_polls(connection, requests)
            case peers.Cancellations(requests):
                self._cancel(connection, requests)
            case peers.UndeliveredResponses(machines):
                for machine in machines:
                    self._host.leader_service.on_response_undelivered(machine)

    def _on_heartbeat(self, connection: PeerConnection, heartbeat: peers.PeerHeartbeat) -> None:
        connection.peer = heartbeat.sender
        self._connections[heartbeat.sender] = connection
        self.peer_heartbeats.on_heartbeat(connection, heartbeat, self._host.clock())

    def _answer_heartbeats(
        self,
        connection: PeerConnection,
        forwarded: peers.ForwardedHeartbeats,
        received_at: MonotonicTime,
    ) -> None:
        """Pass the heartbeats to the leader service and send its replies in batches."""
        leader_service = self._host.leader_service
        sender = connection.peer or NodeId("")
        for start in range(0, len(forwarded.heartbeats), peers.MAX_BATCH_ITEMS):
            started_at = self._host.clock()
            replies = [
                peers.HeartbeatReply(
                    heartbeat.request_id,
                    *leader_service.handle_forwarded_heartbeat(
                        heartbeat.body, forwarded.token, sender, received_at
                    ),
                )
                for heartbeat in forwarded.heartbeats[start : start + peers.MAX_BATCH_ITEMS]
            ]
            connection.send(peers.encode_heartbeat_replies(replies))
            spent_s = self._host.clock() - started_at
            self._host.metrics.record("report", spent_s / len(replies), len(replies))
        leader_service.process_events_soon()

    def _answer_polls(self, connection: PeerConnection, requests: list[peers.JobRequest]) -> None:
        job_reply = self._host.leader_service.user_answers.job_reply
        replies = [job_reply(request.request_id, JobId(request.job)) for request in requests]
        connection.send(peers.encode_job_replies(peers.JOB_STATES, replies))

    def _cancel(self, connection: PeerConnection, requests: list[peers.JobRequest]) -> None:
        for request in requests:
            self._host.leader_service.user_answers.cancel(
                JobId(request.job), _cancel_reply_sender(connection, request.request_id)
            )

    def _on_connection_lost(self, connection: PeerConnection) -> None:
        if connection.peer is not None and self._connections.get(connection.peer) is connection:
            del self._connections[connection.peer]
            self._host.leader_service.on_relay_lost(connection.peer)

    def request_next_heartbeats(self, machines_by_node: dict[NodeId, list[MachineId]]) -> None:
        """Request that each node forwards the next heartbeat of its listed machines."""
        for label, machines in machines_by_node.items():
            if label == self._host.settings.label:
                self._request_own_next_heartbeats(machines)
            elif label in self._connections:
                self._connections[label].send(
                    peers.encode_machines(peers.NEXT_HEARTBEAT_REQUESTS, machines)
                )


def _cancel_reply_sender(connection: PeerConnection, request_id: int) -> Callable[[str], None]:
    """Return a function that sends a job's state as the reply to the cancellation."""

    def send_reply(state: str) -> None:
        reply = peers.JobReply(request_id, state, done_count=0, running_count=0)
        connection.send(peers.encode_job_replies(peers.CANCEL_REPLIES, [reply]))

    return send_reply


def _lease_extension_s(settings: NodeSettings, tuning: Tuning, relay_lease_s: float) -> float:
    """Return `lease_extension_s` for these settings. Log a warning if it is not positive."""
    extension_s = lease_extension_s(
        settings.cancel_s, settings.lease_s, relay_lease_s, tuning.drift_margin
    )
    if extension_s <= 0:
        # In a store outage, relay leases then expire as soon as one node doesn't acknowledge
        # heartbeats.
        log.warning(
            "lease extension not positive cancel_s=%g lease_s=%g relay_lease_s=%g",
            settings.cancel_s,
            settings.lease_s,
            relay_lease_s,
        )
    return extension_s
