"""The connections between the nodes: owns them and hands what comes over them to its part."""

import logging
from collections.abc import Callable
from itertools import count
from typing import TYPE_CHECKING, Any

from eldercart.cluster.heartbeat_relay import HeartbeatRelay, lease_extension_s
from eldercart.server.peers.connections import PeerConnection, PeerLink, PeerServer
from eldercart.server.peers.heartbeat_forwarding import HeartbeatForwarding
from eldercart.server.peers.leader_client import LeaderClient
from eldercart.server.peers.peer_heartbeats import PeerHeartbeats
from eldercart.settings import NodeSettings, Tuning
from eldercart.units import JobId, MachineId, MonotonicTime, NodeId
from eldercart.wire import MalformedMessage, peers

if TYPE_CHECKING:
    from eldercart.server.controller_node import ControllerNode

log = logging.getLogger("eldercart.node")

EXPIRY_CHECK_INTERVAL_S = 0.2  # between two looks for what has waited too long
CONNECTIONS_PER_NODE, EXTRA_CONNECTIONS = 4, 8  # connections from peers that are accepted


class RelayService:
    """Owns the relay, the connections to and from the peers, and the parts that use them."""

    def __init__(self, node: "ControllerNode") -> None:
        """The links connect, and the exchange is listened on, once the node starts."""
        self.node = node
        settings, tuning = node.settings, node.tuning
        grant_s = tuning.grant_share * settings.lease_s
        numbers = count(1)  # of frames and their items, shared by all parts
        self.relay = HeartbeatRelay(settings.label, grant_s, tuning.drift_margin)
        self.links = {
            m.label: PeerLink(
                m.label, m.endpoint, self._on_reply_frame, self._on_link_lost, node.clock
            )
            for m in settings.members
        }
        self.peer_server = PeerServer(
            self._on_request_frame,
            self._on_connection_lost,
            CONNECTIONS_PER_NODE * settings.nodes + EXTRA_CONNECTIONS,
        )
        self.peer_heartbeats = PeerHeartbeats(
            node, self.relay, self.links, numbers, _lease_extension_s(settings, tuning, grant_s)
        )
        self.heartbeat_forwarding = HeartbeatForwarding(node, self.relay, self.links, numbers)
        self.leader_client = LeaderClient(node, self.links, numbers)
        self._connections: dict[NodeId, PeerConnection] = {}  # the newest that each peer greeted on
        self._expiry_check_due_at = MonotonicTime(0)

    # -- time

    def tick(self, now: MonotonicTime) -> None:
        """Greets the peers and gives up what has waited too long."""
        self.peer_heartbeats.tick(now)
        if now >= self._expiry_check_due_at:
            self._expiry_check_due_at = MonotonicTime(now + EXPIRY_CHECK_INTERVAL_S)
            self.heartbeat_forwarding.expire_pending(now)
            self.leader_client.expire_pending(now)

    def exclude_stall(self, seconds: float) -> None:
        """This process did not run for so long: its peers were not silent meanwhile."""
        for link in self.links.values():
            link.exclude_stall(seconds)

    # -- on connections that this node made

    def _on_link_lost(self, link: PeerLink) -> None:
        log.info("peer lost peer=%s", link.label)
        self.leader_client.on_link_lost(link)
        self.heartbeat_forwarding.on_link_lost(link, self.node.clock())

    def _on_reply_frame(self, link: PeerLink, frame: dict[str, Any]) -> None:
        """A peer that this node connected to answers."""
        kind = peers.frame_kind(frame)
        if kind == peers.PEER_HEARTBEAT_ACK:
            self.peer_heartbeats.on_acknowledgement(
                link, peers.parse_peer_heartbeat_ack(frame), self.node.clock()
            )
        elif kind == peers.HEARTBEAT_REPLIES:
            self.heartbeat_forwarding.on_replies(link, peers.parse_heartbeat_replies(frame))
        elif kind == peers.NEXT_HEARTBEAT_REQUESTS:
            self._request_next_heartbeats(peers.parse_machines(frame))
        elif kind in (peers.JOB_STATES, peers.CANCEL_REPLIES):
            self.leader_client.on_replies(peers.parse_job_replies(frame))
        else:
            raise MalformedMessage("k")

    def _request_next_heartbeats(self, machines: list[MachineId]) -> None:
        for machine in machines:
            self.relay.request_next_heartbeat(machine)

    # -- on connections that peers made

    def _on_request_frame(self, connection: PeerConnection, frame: dict[str, Any]) -> None:
        """A peer that connected to this node asks."""
        kind = peers.frame_kind(frame)
        if kind == peers.PEER_HEARTBEAT:
            self._on_heartbeat(connection, peers.parse_peer_heartbeat(frame))
        elif kind == peers.FORWARDED_HEARTBEATS:
            self._answer_heartbeats(connection, frame)
        elif kind == peers.POLLS:
            self._answer_polls(connection, frame)
        elif kind == peers.CANCEL:
            self._cancel(connection, frame)
        elif kind == peers.UNDELIVERED:
            for machine in peers.parse_machines(frame):
                self.node.leader_service.on_response_undelivered(machine)
        else:
            raise MalformedMessage("k")

    def _on_heartbeat(self, connection: PeerConnection, heartbeat: peers.PeerHeartbeat) -> None:
        connection.peer = heartbeat.sender
        self._connections[heartbeat.sender] = connection
        self.peer_heartbeats.on_heartbeat(connection, heartbeat, self.node.clock())

    def _answer_heartbeats(self, connection: PeerConnection, frame: dict[str, Any]) -> None:
        leader_service = self.node.leader_service
        now = self.node.clock()
        epoch, items = peers.parse_forwarded_heartbeats(frame)
        sender = connection.peer or NodeId("")
        for start in range(0, len(items), peers.MAX_BATCH_ITEMS):
            began = self.node.clock()
            answers = [
                peers.HeartbeatReply(
                    number, *leader_service.handle_forwarded_heartbeat(obj, epoch, sender, now)
                )
                for number, obj in items[start : start + peers.MAX_BATCH_ITEMS]
            ]
            connection.send(peers.encode_heartbeat_replies(answers))
            spent = self.node.clock() - began
            self.node.metrics.record("report", spent / len(answers), len(answers))
        leader_service.process_events_soon()

    def _answer_polls(self, connection: PeerConnection, frame: dict[str, Any]) -> None:
        tell = self.node.leader_service.user_answers.job_reply
        told = [tell(number, JobId(job)) for number, job in peers.parse_job_requests(frame)]
        connection.send(peers.encode_job_replies(peers.JOB_STATES, told))

    def _cancel(self, connection: PeerConnection, frame: dict[str, Any]) -> None:
        for number, job in peers.parse_job_requests(frame):
            self.node.leader_service.user_answers.cancel(
                JobId(job), _cancel_reply_sender(connection, number)
            )

    def _on_connection_lost(self, connection: PeerConnection) -> None:
        if connection.peer is not None and self._connections.get(connection.peer) is connection:
            del self._connections[connection.peer]
            self.node.leader_service.on_relay_lost(connection.peer)

    def request_next_heartbeats(self, machines_by_node: dict[NodeId, list[MachineId]]) -> None:
        """Asks each node for the next reports of these of its machines."""
        for label, machines in machines_by_node.items():
            if label == self.node.settings.label:
                self._request_next_heartbeats(machines)
            elif label in self._connections:
                self._connections[label].send(
                    peers.encode_machines(peers.NEXT_HEARTBEAT_REQUESTS, machines)
                )


def _cancel_reply_sender(connection: PeerConnection, request_id: int) -> Callable[[str], None]:
    def tell(verdict: str) -> None:
        connection.send(
            peers.encode_job_replies(
                peers.CANCEL_REPLIES, [peers.JobReply(request_id, verdict, 0, 0)]
            )
        )

    return tell


def _lease_extension_s(settings: NodeSettings, tuning: Tuning, relay_lease_s: float) -> float:
    """See `core.relay.spare_s`; says so if the settings leave nothing."""
    spare = lease_extension_s(
        settings.cancel_s, settings.lease_s, relay_lease_s, tuning.drift_margin
    )
    if spare <= 0:
        log.warning(
            "cancel_s=%g leaves nothing beyond lease_s=%g and two grants of %g s: "
            "in an outage leases end as soon as one node is not heard",
            settings.cancel_s,
            settings.lease_s,
            relay_lease_s,
        )
    return spare
