"""Greetings between the nodes: who is there, who leads, and who may answer workers for how long."""

from collections.abc import Mapping
from typing import TYPE_CHECKING, NamedTuple

from eldercart.cluster.heartbeat_relay import (
    HeartbeatRelay,
    MachineShare,
    leader_lease_start,
    machine_shares,
)
from eldercart.server.peers.connections import PeerConnection, PeerLink
from eldercart.units import DISTANT_PAST, MonotonicTime, NodeId
from eldercart.wire import peers

if TYPE_CHECKING:
    from collections.abc import Iterator

    from eldercart.server.controller_node import ControllerNode

# The leader is told whom this node answered; of the others it is enough to know that they live.
LEADER_HEARTBEAT_INTERVAL_S, PEER_HEARTBEAT_INTERVAL_S = 0.5, 2.0
# In an outage of the store a leader's grant hangs on every node's answer to its greeting.
OUTAGE_HEARTBEAT_INTERVAL_S = 0.7
# A peer answers greetings; without a word for this long, the connection is dead.
MIN_SILENCE_TIMEOUT_S, SILENCE_TIMEOUT_INTERVALS = 2.5, 2.5
MAX_PENDING_HEARTBEATS = 8  # greetings of one link that may still be answered
MACHINE_COUNT_FRESH_S = 2.5  # for which a peer's number of workers counts
WORKER_SOCKETS_SHARE = 0.55  # of a node's sockets, for workers


class MachineCount(NamedTuple):
    """How many workers report to a node, by its own word."""

    machine_count: int
    reported_at: MonotonicTime


class PeerHeartbeats:
    """Greets the peers, answers their greetings, and keeps what both tell."""

    def __init__(
        self,
        node: "ControllerNode",
        relay: HeartbeatRelay,
        links: Mapping[NodeId, PeerLink],
        request_ids: "Iterator[int]",
        lease_extension_s: float,
    ) -> None:
        """`numbers`: of frames, never the same twice; `spare_s`: see `core.relay.spare_s`."""
        self._node = node
        self._relay = relay
        self._links = links
        self._request_ids = request_ids
        self._lease_extension_s = lease_extension_s
        self.last_peer_contact_at = DISTANT_PAST  # when any peer was heard last
        self.last_peer_store_ok_at = DISTANT_PAST  # when a peer last said that the store serves it
        self._machine_counts: dict[NodeId, MachineCount] = {}
        self._supported_features: dict[NodeId, tuple[str, ...]] = {}  # by what each peer said last
        self._announced_reductions = 0
        self._machine_shares: dict[NodeId, MachineShare] = {}

    # -- time

    def tick(self, now: MonotonicTime) -> None:
        """Greets whom it is time to greet, and renews this node's own grant if it leads."""
        self._node.store.update_rates(now)
        self._send_heartbeats(now)
        self._renew_own_lease(now)

    def _send_heartbeats(self, now: MonotonicTime) -> None:
        node = self._node
        leader = node.election.leader
        # That the store's rates have fallen the others should not have to find out, too.
        news = node.store.rate_limit_backoff.reduction_count != self._announced_reductions
        self._announced_reductions = node.store.rate_limit_backoff.reduction_count
        for link in self._links.values():
            every = (
                LEADER_HEARTBEAT_INTERVAL_S if link.label == leader else PEER_HEARTBEAT_INTERVAL_S
            )
            if node.leader_service.is_active and node.store.failing_since is not None:
                every = OUTAGE_HEARTBEAT_INTERVAL_S
            link.check_connection(
                max(MIN_SILENCE_TIMEOUT_S, SILENCE_TIMEOUT_INTERVALS * every), now
            )
            if link.is_connected and (news or now - link.last_heartbeat_at >= every):
                self._send_heartbeat(link, link.label == leader, now)

    def _send_heartbeat(self, link: PeerLink, to_leader: bool, now: MonotonicTime) -> None:
        """`leads`: the peer is the leader as far as this node knows."""
        node = self._node
        number = next(self._request_ids)
        link.last_heartbeat_at = now
        link.pending_heartbeats[number] = now
        while len(link.pending_heartbeats) > MAX_PENDING_HEARTBEATS:
            del link.pending_heartbeats[next(iter(link.pending_heartbeats))]
        heard = (
            self._relay.take_acknowledged(now)
            if to_leader and not node.leader_service.is_active
            else ()
        )
        greet = peers.PeerHeartbeat(
            sender=node.settings.label,
            request_id=number,
            token=node.election.token,
            store_ok=node.store.failing_since is None,
            machine_count=self._relay.machine_count,
            missing_rate_tokens=node.store.missing_tokens(now) if to_leader else 0,
            acknowledged=heard,
            supported_features=node.supported_features,
            backoff_remaining_ms=int(node.store.rate_limit_backoff.remaining_s(now) * 1000),
        )
        link.send(peers.encode_peer_heartbeat(greet))

    def _renew_own_lease(self, now: MonotonicTime) -> None:
        node = self._node
        if node.leader_service.is_active:
            self._renew_lease_as_leader(now)
        elif node.election.token == self._relay.token and node.store.failing_since is None:
            # The watch on the leader key would have told of another epoch.
            self._relay.confirm_token(self._relay.token, node.store.last_success_at)

    def _renew_lease_as_leader(self, now: MonotonicTime) -> None:
        node = self._node
        label = node.settings.label
        # Counted from the asking: what a peer said may have waited here while this node slept.
        since = leader_lease_start(
            node.election.lease_confirmed_at,
            node.election.lease_expires_at,
            [link.acknowledged_at for link in self._links.values()],
            self._lease_extension_s,
            now,
        )
        self._assign_shares(now)
        mine = self._share_for(label)
        self._relay.renew_lease(
            node.election.token, label, since, now, mine.max_machines, mine.redirect_target
        )
        node.leader_service.record_relayed_heartbeats(
            label, self._relay.take_acknowledged(now), now
        )

    def _assign_shares(self, now: MonotonicTime) -> None:
        """Shares the workers out among the nodes that have said lately how many they have."""
        settings = self._node.settings
        counts = {
            n: c.machine_count
            for n, c in self._machine_counts.items()
            if now - c.reported_at < MACHINE_COUNT_FRESH_S
        }
        counts[settings.label] = self._relay.machine_count
        self._machine_shares = machine_shares(
            counts, settings.label, int(settings.sockets * WORKER_SOCKETS_SHARE)
        )

    def _share_for(self, label: NodeId) -> MachineShare:
        return self._machine_shares.get(label, MachineShare(self._node.settings.sockets, None))

    # -- what peers tell

    def record_peer_status(
        self, peer: NodeId, status: peers.PeerHeartbeat | peers.PeerHeartbeatAck, now: MonotonicTime
    ) -> None:
        """What a greeting and its answer tell alike."""
        node = self._node
        self.last_peer_contact_at = now
        if status.store_ok:
            self.last_peer_store_ok_at = now
        self._supported_features[peer] = status.supported_features
        node.store.rate_limit_backoff.record_peer_backoff(status.backoff_remaining_ms / 1000, now)
        node.store.update_rates(now)
        node.observe_token(status.token, "a peer knows a higher epoch")
        if status.token > self._relay.token:
            self._relay.observe_newer_token(status.token, now)

    def all_support(self, feature: str) -> bool:
        """Whether every node can read it: any may lead next. One never heard counts as old."""
        return all(self.supports(member.label, feature) for member in self._node.settings.members)

    def supports(self, peer: NodeId, feature: str) -> bool:
        """Whether the peer has said that it can read it, or takes part in it."""
        return feature in self._supported_features.get(peer, ())

    def on_acknowledgement(
        self, link: PeerLink, acknowledgement: peers.PeerHeartbeatAck, now: MonotonicTime
    ) -> None:
        """A peer answers this node's greeting; the leader may grant that workers are answered."""
        node = self._node
        asked = link.pending_heartbeats.pop(acknowledgement.request_id, None)
        self.record_peer_status(link.label, acknowledgement, now)
        if (
            asked is not None
            and acknowledgement.is_ready
            and acknowledgement.token <= node.election.token
        ):
            link.acknowledged_at = max(link.acknowledged_at, asked)
        if acknowledgement.lent_rate_tokens:
            node.store.receive_tokens(acknowledgement.lent_rate_tokens, now)
        if acknowledgement.grants_lease and asked is not None:
            self._relay.renew_lease(
                acknowledgement.token,
                link.label,
                asked,
                now,
                acknowledgement.max_machines,
                acknowledgement.redirect_target,
            )
            node.election.observe_leader(link.label, acknowledgement.token)

    def on_heartbeat(
        self, connection: PeerConnection, heartbeat: peers.PeerHeartbeat, now: MonotonicTime
    ) -> None:
        """Answers a peer's greeting, as the leader with a grant, its share and tokens."""
        node = self._node
        if heartbeat.token > self._relay.token and heartbeat.sender in self._links:
            # It may lead: ask it for a grant at once.
            self._links[heartbeat.sender].last_heartbeat_at = DISTANT_PAST
        self.record_peer_status(heartbeat.sender, heartbeat, now)
        self._machine_counts[heartbeat.sender] = MachineCount(heartbeat.machine_count, now)
        acts = node.leader_service.is_active
        if acts:
            node.leader_service.record_relayed_heartbeats(
                heartbeat.sender, heartbeat.acknowledged, now
            )
        share = self._share_for(heartbeat.sender)
        answer = peers.PeerHeartbeatAck(
            request_id=heartbeat.request_id,
            token=node.election.token,
            # A leader that may not answer workers itself lets nobody do it for it: what its relays
            # are granted would otherwise outlive its own contact for as long as they reach it.
            grants_lease=acts and self._relay.holds_lease(now),
            store_ok=node.store.failing_since is None,
            max_machines=share.max_machines,
            redirect_target=share.redirect_target,
            lent_rate_tokens=node.store.lend_tokens(heartbeat.missing_rate_tokens, now)
            if acts
            else 0,
            supported_features=node.supported_features,
            backoff_remaining_ms=int(node.store.rate_limit_backoff.remaining_s(now) * 1000),
            is_ready=node.election_service.has_read_leader_key,
        )
        connection.send(peers.encode_peer_heartbeat_ack(answer))
