"""Heartbeats between nodes, with which the leader also grants relay leases and machine shares."""

from collections.abc import Iterator, Mapping
from typing import NamedTuple

from eldercart.cluster.heartbeat_relay import (
    HeartbeatRelay,
    MachineShare,
    leader_lease_start,
    machine_shares,
)
from eldercart.server.peers.connections import PeerConnection, PeerLink
from eldercart.server.peers.relay_host import RelayHost
from eldercart.units import DISTANT_PAST, MonotonicTime, NodeId
from eldercart.wire import peers

# Heartbeats to the leader list the workers' heartbeats that this node acknowledged. To other peers
# they only show that this node is alive.
LEADER_HEARTBEAT_INTERVAL_S, PEER_HEARTBEAT_INTERVAL_S = 0.5, 2.0
# During a store outage, the leader's own relay lease depends on every node's acknowledgements.
OUTAGE_HEARTBEAT_INTERVAL_S = 0.7
# Peers acknowledge every heartbeat. A connection is dead if it receives no frame for the larger of
# MIN_SILENCE_TIMEOUT_S and SILENCE_TIMEOUT_INTERVALS heartbeat intervals.
MIN_SILENCE_TIMEOUT_S, SILENCE_TIMEOUT_INTERVALS = 2.5, 2.5
MAX_PENDING_HEARTBEATS = 8  # per link; acknowledgements of older heartbeats extend no lease
MACHINE_COUNT_MAX_AGE_S = 2.5  # a peer's machine count is ignored once it is this old
WORKER_SOCKETS_SHARE = 0.55  # share of a node's sockets that is available to workers
MS_PER_S = 1000


class MachineCount(NamedTuple):
    """The number of machines that report to a node, from the node's latest heartbeat."""

    machine_count: int
    reported_at: MonotonicTime


class PeerHeartbeats:
    """Sends heartbeats to the peers and acknowledges theirs.

    It renews this node's relay lease and keeps the status that each peer has sent.
    """

    def __init__(
        self,
        host: RelayHost,
        relay: HeartbeatRelay,
        links: Mapping[NodeId, PeerLink],
        request_ids: Iterator[int],
        lease_extension_s: float,
    ) -> None:
        """Create the service without any peer status.

        `links` holds the links to all peers. `request_ids` yields ids that are unique among all
        requests to peers. `lease_extension_s` is the result of the function of that name in
        `cluster.heartbeat_relay`.
        """
        self._host = host
        self._relay = relay
        self._links = links
        self._request_ids = request_ids
        self._lease_extension_s = lease_extension_s
        self.last_peer_contact_at = DISTANT_PAST  # last heartbeat or acknowledgement of any peer
        # When a peer last reported that the state service answers it.
        self.last_peer_store_ok_at = DISTANT_PAST
        self._machine_counts: dict[NodeId, MachineCount] = {}
        self._supported_features: dict[NodeId, tuple[str, ...]] = {}  # latest, by peer
        self._announced_reduction_count = 0
        self._machine_shares: dict[NodeId, MachineShare] = {}

    # -- time

    def tick(self, now: MonotonicTime) -> None:
        """Send the heartbeats that are due, and renew this node's own relay lease if possible."""
        self._host.store.update_rates(now)
        self._send_heartbeats(now)
        self._renew_own_lease(now)

    def _send_heartbeats(self, now: MonotonicTime) -> None:
        leader = self._host.election.leader
        # A reduction of the store's rate limits is announced immediately, so that the peers slow
        # down before the store rejects their requests as well.
        rates_reduced = self._detect_rate_reduction()
        for link in self._links.values():
            to_leader = link.label == leader
            interval_s = self._interval_s(to_leader=to_leader)
            silence_timeout_s = max(MIN_SILENCE_TIMEOUT_S, SILENCE_TIMEOUT_INTERVALS * interval_s)
            link.check_connection(silence_timeout_s, now)
            if link.is_connected and (rates_reduced or now - link.last_heartbeat_at >= interval_s):
                self._send_heartbeat(link, now, to_leader=to_leader)

    def _detect_rate_reduction(self) -> bool:
        """Return whether the store's rates were reduced since the previous call."""
        reductions = self._host.store.rate_limit_backoff.reduction_count
        rates_reduced = reductions != self._announced_reduction_count
        self._announced_reduction_count = reductions
        return rates_reduced

    def _interval_s(self, *, to_leader: bool) -> float:
        """Return the time between two heartbeats to one peer."""
        host = self._host
        if host.leader_service.is_active and host.store.failing_since is not None:
            return OUTAGE_HEARTBEAT_INTERVAL_S
        return LEADER_HEARTBEAT_INTERVAL_S if to_leader else PEER_HEARTBEAT_INTERVAL_S

    def _send_heartbeat(self, link: PeerLink, now: MonotonicTime, *, to_leader: bool) -> None:
        """Send a heartbeat. `to_leader` means that this node considers the peer the leader."""
        host = self._host
        request_id = next(self._request_ids)
        link.last_heartbeat_at = now
        link.pending_heartbeats[request_id] = now
        while len(link.pending_heartbeats) > MAX_PENDING_HEARTBEATS:
            del link.pending_heartbeats[next(iter(link.pending_heartbeats))]
        reports_to_leader = to_leader and not host.leader_service.is_active
        acknowledged = self._relay.take_acknowledged(now) if reports_to_leader else ()
        heartbeat = peers.PeerHeartbeat(
            sender=host.settings.label,
            request_id=request_id,
            token=host.election.token,
            store_ok=host.store.failing_since is None,
            machine_count=self._relay.machine_count,
            acknowledged=acknowledged,
            missing_rate_tokens=host.store.missing_tokens(now) if to_leader else 0,
            supported_features=host.supported_features,
            backoff_remaining_ms=self._backoff_remaining_ms(now),
        )
        link.send(peers.encode_peer_heartbeat(heartbeat))

    def _backoff_remaining_ms(self, now: MonotonicTime) -> int:
        return int(self._host.store.rate_limit_backoff.remaining_s(now) * MS_PER_S)

    def _renew_own_lease(self, now: MonotonicTime) -> None:
        host = self._host
        if host.leader_service.is_active:
            self._renew_lease_as_leader(now)
        elif host.election.token == self._relay.token and host.store.failing_since is None:
            # The watch on the leader key would have reported a higher token.
            self._relay.confirm_token(self._relay.token, host.store.last_success_at)

    def _renew_lease_as_leader(self, now: MonotonicTime) -> None:
        host = self._host
        label = host.settings.label
        # The lease counts from when the heartbeats were sent, since an acknowledgement may have
        # stayed unread while this process was stalled.
        lease_start = leader_lease_start(
            host.election.lease_confirmed_at,
            host.election.lease_expires_at,
            [link.last_acknowledged_sent_at for link in self._links.values()],
            self._lease_extension_s,
            now,
        )
        self._assign_shares(now)
        share = self._share_for(label)
        self._relay.renew_lease(
            host.election.token, label, lease_start, now, share.max_machines, share.redirect_target
        )
        host.leader_service.record_relayed_heartbeats(
            label, self._relay.take_acknowledged(now), now
        )

    def _assign_shares(self, now: MonotonicTime) -> None:
        """Divide the machines among this node and the peers with a recent machine count."""
        settings = self._host.settings
        counts = {
            node: count.machine_count
            for node, count in self._machine_counts.items()
            if now - count.reported_at < MACHINE_COUNT_MAX_AGE_S
        }
        counts[settings.label] = self._relay.machine_count
        self._machine_shares = machine_shares(
            counts, settings.label, int(settings.sockets * WORKER_SOCKETS_SHARE)
        )

    def _share_for(self, label: NodeId) -> MachineShare:
        return self._machine_shares.get(label, MachineShare(self._host.settings.sockets, None))

    # -- from peers

    def record_peer_status(
        self, peer: NodeId, status: peers.PeerHeartbeat | peers.PeerHeartbeatAck, now: MonotonicTime
    ) -> None:
        """Record the status fields that heartbeats and acknowledgements have in common."""
        host = self._host
        self.last_peer_contact_at = now
        if status.store_ok:
            self.last_peer_store_ok_at = now
        self._supported_features[peer] = status.supported_features
        host.store.rate_limit_backoff.record_peer_backoff(
            status.backoff_remaining_ms / MS_PER_S, now
        )
        host.store.update_rates(now)
        host.observe_token(status.token, "a peer knows a higher epoch")
        if status.token > self._relay.token:
            self._relay.observe_newer_token(status.token, now)

    def all_support(self, feature: str) -> bool:
        """Return whether every node supports the feature, since any of them may become leader.

        A node that has not sent any heartbeat yet counts as one without the feature.
        """
        return all(self.supports(member.label, feature) for member in self._host.settings.members)

    def supports(self, peer: NodeId, feature: str) -> bool:
        """Return whether the peer announced the feature in its latest status."""
        return feature in self._supported_features.get(peer, ())

    def on_acknowledgement(
        self, link: PeerLink, acknowledgement: peers.PeerHeartbeatAck, now: MonotonicTime
    ) -> None:
        """Handle the acknowledgement of a heartbeat. The leader may grant a relay lease in it."""
        host = self._host
        sent_at = link.pending_heartbeats.pop(acknowledgement.request_id, None)
        self.record_peer_status(link.label, acknowledgement, now)
        if (
            sent_at is not None
            and acknowledgement.is_ready
            and acknowledgement.token <= host.election.token
        ):
            link.last_acknowledged_sent_at = max(link.last_acknowledged_sent_at, sent_at)
        if acknowledgement.lent_rate_tokens:
            host.store.receive_tokens(acknowledgement.lent_rate_tokens, now)
        if acknowledgement.grants_lease and sent_at is not None:
            self._relay.renew_lease(
                acknowledgement.token,
                link.label,
                sent_at,
                now,
                acknowledgement.max_machines,
                acknowledgement.redirect_target,
            )
            host.election.observe_leader(link.label, acknowledgement.token)

    def on_heartbeat(
        self, connection: PeerConnection, heartbeat: peers.PeerHeartbeat, now: MonotonicTime
    ) -> None:
        """Acknowledge a peer's heartbeat.

        If this node is the leader, the acknowledgement grants a relay lease, a machine share and
        store rate tokens.
        """
        host = self._host
        if heartbeat.token > self._relay.token and heartbeat.sender in self._links:
            # The peer may be the new leader: request a lease from it in the next tick.
            self._links[heartbeat.sender].last_heartbeat_at = DISTANT_PAST
        self.record_peer_status(heartbeat.sender, heartbeat, now)
        self._machine_counts[heartbeat.sender] = MachineCount(heartbeat.machine_count, now)
        is_leader = host.leader_service.is_active
        if is_leader:
            host.leader_service.record_relayed_heartbeats(
                heartbeat.sender, heartbeat.acknowledged, now
            )
        share = self._share_for(heartbeat.sender)
        lent_rate_tokens = (
            host.store.lend_tokens(heartbeat.missing_rate_tokens, now) if is_leader else 0
        )
        acknowledgement = peers.PeerHeartbeatAck(
            request_id=heartbeat.request_id,
            token=host.election.token,
            # A leader without a valid relay lease of its own grants none. Otherwise its relays
            # could renew their leases beyond its own for as long as they reach it.
            grants_lease=is_leader and self._relay.holds_lease(now),
            store_ok=host.store.failing_since is None,
            max_machines=share.max_machines,
            redirect_target=share.redirect_target,
            lent_rate_tokens=lent_rate_tokens,
            supported_features=host.supported_features,
            backoff_remaining_ms=self._backoff_remaining_ms(now),
            is_ready=host.election_service.has_read_leader_key,
        )
        connection.send(peers.encode_peer_heartbeat_ack(acknowledgement))
