"""Greetings between the nodes: who is there, who leads, and who may answer workers for how long."""

from collections.abc import Mapping
from typing import TYPE_CHECKING, NamedTuple

from eldercart.cluster.heartbeat_relay import Relay, Share, contact, shares
from eldercart.server.peers.connections import Channel, Link
from eldercart.units import NEVER, NodeId, Steady
from eldercart.wire import peers

if TYPE_CHECKING:
    from collections.abc import Iterator

    from eldercart.server.controller_node import Node

# The leader is told whom this node answered; of the others it is enough to know that they live.
GREET_LEADER_S, GREET_S = 0.5, 2.0
# In an outage of the store a leader's grant hangs on every node's answer to its greeting.
GREET_OUTAGE_S = 0.7
# A peer answers greetings; without a word for this long, the connection is dead.
SILENT_LEAST_S, SILENT_GREETINGS = 2.5, 2.5
GREETINGS_OPEN = 8  # greetings of one link that may still be answered
COUNT_FRESH_S = 2.5  # for which a peer's number of workers counts
WORKER_SOCKETS = 0.55  # of a node's sockets, for workers


class WorkerCount(NamedTuple):
    """How many workers report to a node, by its own word."""

    machines: int
    at: Steady


class Greetings:
    """Greets the peers, answers their greetings, and keeps what both tell."""

    def __init__(
        self,
        node: "Node",
        relay: Relay,
        links: Mapping[NodeId, Link],
        numbers: "Iterator[int]",
        spare_s: float,
    ) -> None:
        """`numbers`: of frames, never the same twice; `spare_s`: see `core.relay.spare_s`."""
        self._node = node
        self._relay = relay
        self._links = links
        self._numbers = numbers
        self._spare_s = spare_s
        self.peer_heard = NEVER  # when any peer was heard last
        self.peer_served = NEVER  # when a peer last said that the store serves it
        self._counts: dict[NodeId, WorkerCount] = {}
        self._takes: dict[NodeId, tuple[str, ...]] = {}  # by what each peer said last
        self._reductions_told = 0
        self._shares: dict[NodeId, Share] = {}

    # -- time

    def tick(self, now: Steady) -> None:
        """Greets whom it is time to greet, and renews this node's own grant if it leads."""
        self._node.store.follow(now)
        self._greet_peers(now)
        self._renew_grant(now)

    def _greet_peers(self, now: Steady) -> None:
        node = self._node
        leader = node.election.leader
        # That the store's rates have fallen the others should not have to find out, too.
        news = node.store.reduced_rates.reductions != self._reductions_told
        self._reductions_told = node.store.reduced_rates.reductions
        for link in self._links.values():
            every = GREET_LEADER_S if link.label == leader else GREET_S
            if node.leader_service.acts and node.store.failing_since is not None:
                every = GREET_OUTAGE_S
            link.check(max(SILENT_LEAST_S, SILENT_GREETINGS * every), now)
            if link.up and (news or now - link.greeted >= every):
                self._greet(link, link.label == leader, now)

    def _greet(self, link: Link, leads: bool, now: Steady) -> None:
        """`leads`: the peer is the leader as far as this node knows."""
        node = self._node
        number = next(self._numbers)
        link.greeted = now
        link.asked[number] = now
        while len(link.asked) > GREETINGS_OPEN:
            del link.asked[next(iter(link.asked))]
        heard = self._relay.take_heard(now) if leads and not node.leader_service.acts else ()
        greet = peers.Greet(
            sender=node.settings.label,
            number=number,
            epoch=node.election.epoch,
            store_ok=node.store.failing_since is None,
            machines=self._relay.machines,
            short=node.store.short(now) if leads else 0,
            heard=heard,
            takes=node.takes,
            low_ms=int(node.store.reduced_rates.left_s(now) * 1000),
        )
        link.send(peers.greet(greet))

    def _renew_grant(self, now: Steady) -> None:
        node = self._node
        if node.leader_service.acts:
            self._grant_oneself(now)
        elif node.election.epoch == self._relay.epoch and node.store.failing_since is None:
            # The watch on the leader key would have told of another epoch.
            self._relay.current(self._relay.epoch, node.store.last_ok)

    def _grant_oneself(self, now: Steady) -> None:
        node = self._node
        label = node.settings.label
        # Counted from the asking: what a peer said may have waited here while this node slept.
        since = contact(
            node.election.lease_confirmed_at,
            node.election.lease_until,
            [link.answered for link in self._links.values()],
            self._spare_s,
            now,
        )
        self._share_out(now)
        mine = self._share_of(label)
        self._relay.granted(node.election.epoch, label, since, now, mine.most, mine.spare)
        node.leader_service.heard(label, self._relay.take_heard(now), now)

    def _share_out(self, now: Steady) -> None:
        """Shares the workers out among the nodes that have said lately how many they have."""
        settings = self._node.settings
        counts = {n: c.machines for n, c in self._counts.items() if now - c.at < COUNT_FRESH_S}
        counts[settings.label] = self._relay.machines
        self._shares = shares(counts, settings.label, int(settings.sockets * WORKER_SOCKETS))

    def _share_of(self, label: NodeId) -> Share:
        return self._shares.get(label, Share(self._node.settings.sockets, None))

    # -- what peers tell

    def heard_peer(self, peer: NodeId, told: peers.Greet | peers.Greeted, now: Steady) -> None:
        """What a greeting and its answer tell alike."""
        node = self._node
        self.peer_heard = now
        if told.store_ok:
            self.peer_served = now
        self._takes[peer] = told.takes
        node.store.reduced_rates.told(told.low_ms / 1000, now)
        node.store.follow(now)
        node.saw_epoch(told.epoch, "a peer knows a higher epoch")
        if told.epoch > self._relay.epoch:
            self._relay.superseded(told.epoch, now)

    def all_take(self, what: str) -> bool:
        """Whether every node can read it: any may lead next. One never heard counts as old."""
        return all(self.takes(member.label, what) for member in self._node.settings.members)

    def takes(self, peer: NodeId, what: str) -> bool:
        """Whether the peer has said that it can read it, or takes part in it."""
        return what in self._takes.get(peer, ())

    def answered(self, link: Link, told: peers.Greeted, now: Steady) -> None:
        """A peer answers this node's greeting; the leader may grant that workers are answered."""
        node = self._node
        asked = link.asked.pop(told.number, None)
        self.heard_peer(link.label, told, now)
        if asked is not None and told.ready and told.epoch <= node.election.epoch:
            link.answered = max(link.answered, asked)
        if told.lent:
            node.store.lent(told.lent, now)
        if told.leads and asked is not None:
            self._relay.granted(told.epoch, link.label, asked, now, told.most, told.spare)
            node.election.heard_leader(link.label, told.epoch)

    def answer(self, channel: Channel, greet: peers.Greet, now: Steady) -> None:
        """Answers a peer's greeting, as the leader with a grant, its share and tokens."""
        node = self._node
        if greet.epoch > self._relay.epoch and greet.sender in self._links:
            # It may lead: ask it for a grant at once.
            self._links[greet.sender].greeted = NEVER
        self.heard_peer(greet.sender, greet, now)
        self._counts[greet.sender] = WorkerCount(greet.machines, now)
        acts = node.leader_service.acts
        if acts:
            node.leader_service.heard(greet.sender, greet.heard, now)
        share = self._share_of(greet.sender)
        answer = peers.Greeted(
            number=greet.number,
            epoch=node.election.epoch,
            # A leader that may not answer workers itself lets nobody do it for it: what its relays
            # are granted would otherwise outlive its own contact for as long as they reach it.
            leads=acts and self._relay.holds_grant(now),
            store_ok=node.store.failing_since is None,
            most=share.most,
            spare=share.spare,
            lent=node.store.lend(greet.short, now) if acts else 0,
            takes=node.takes,
            low_ms=int(node.store.reduced_rates.left_s(now) * 1000),
            ready=node.election_service.ready,
        )
        channel.send(peers.greeted(answer))
