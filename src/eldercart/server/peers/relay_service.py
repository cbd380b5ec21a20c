"""The connections between the nodes: owns them and hands what comes over them to its part."""

import logging
from collections.abc import Callable
from itertools import count
from typing import TYPE_CHECKING, Any

from eldercart.cluster.heartbeat_relay import Relay, spare_s
from eldercart.server.peers.connections import Channel, Exchange, Link
from eldercart.server.peers.heartbeat_forwarding import ReportForwarding
from eldercart.server.peers.leader_client import Questions
from eldercart.server.peers.peer_heartbeats import Greetings
from eldercart.settings import NodeSettings, Tuning
from eldercart.units import JobId, MachineId, NodeId, Steady
from eldercart.wire import Malformed, peers

if TYPE_CHECKING:
    from eldercart.server.controller_node import Node

log = logging.getLogger("eldercart.node")

TIMEOUTS_S = 0.2  # between two looks for what has waited too long
CHANNELS_PER_NODE, CHANNELS_MORE = 4, 8  # connections from peers that are accepted


class RelayService:
    """Owns the relay, the connections to and from the peers, and the parts that use them."""

    def __init__(self, node: "Node") -> None:
        """The links connect, and the exchange is listened on, once the node starts."""
        self.node = node
        settings, tuning = node.settings, node.tuning
        grant_s = tuning.grant_share * settings.lease_s
        numbers = count(1)  # of frames and their items, shared by all parts
        self.relay = Relay(settings.label, grant_s, tuning.drift_margin)
        self.links = {
            m.label: Link(m.label, m.endpoint, self._on_answer, self._down, node.clock)
            for m in settings.members
        }
        self.exchange = Exchange(
            self._asked, self._lost, CHANNELS_PER_NODE * settings.nodes + CHANNELS_MORE
        )
        self.greetings = Greetings(
            node, self.relay, self.links, numbers, _spare_s(settings, tuning, grant_s)
        )
        self.forwarding = ReportForwarding(node, self.relay, self.links, numbers)
        self.questions = Questions(node, self.links, numbers)
        self._channels: dict[NodeId, Channel] = {}  # the newest that each peer greeted on
        self._timeouts_due = Steady(0)

    # -- time

    def tick(self, now: Steady) -> None:
        """Greets the peers and gives up what has waited too long."""
        self.greetings.tick(now)
        if now >= self._timeouts_due:
            self._timeouts_due = Steady(now + TIMEOUTS_S)
            self.forwarding.time_out(now)
            self.questions.time_out(now)

    def stalled(self, seconds: float) -> None:
        """This process did not run for so long: its peers were not silent meanwhile."""
        for link in self.links.values():
            link.stalled(seconds)

    # -- on connections that this node made

    def _down(self, link: Link) -> None:
        log.info("peer lost peer=%s", link.label)
        self.questions.link_lost(link)
        self.forwarding.link_lost(link, self.node.clock())

    def _on_answer(self, link: Link, frame: dict[str, Any]) -> None:
        """A peer that this node connected to answers."""
        kind = peers.kind_of(frame)
        if kind == peers.GREETED:
            self.greetings.answered(link, peers.parse_greeted(frame), self.node.clock())
        elif kind == peers.ANSWERS:
            self.forwarding.answered(link, peers.parse_answers(frame))
        elif kind == peers.WANT:
            self._want(peers.parse_machines(frame))
        elif kind in (peers.STATES, peers.CANCELLED):
            self.questions.answered(peers.parse_states(frame))
        else:
            raise Malformed("k")

    def _want(self, machines: list[MachineId]) -> None:
        for machine in machines:
            self.relay.want(machine)

    # -- on connections that peers made

    def _asked(self, channel: Channel, frame: dict[str, Any]) -> None:
        """A peer that connected to this node asks."""
        kind = peers.kind_of(frame)
        if kind == peers.GREET:
            self._greeted_by(channel, peers.parse_greet(frame))
        elif kind == peers.REPORTS:
            self._answer_reports(channel, frame)
        elif kind == peers.POLLS:
            self._answer_polls(channel, frame)
        elif kind == peers.CANCEL:
            self._cancel(channel, frame)
        elif kind == peers.DROPPED:
            for machine in peers.parse_machines(frame):
                self.node.leader_service.undelivered(machine)
        else:
            raise Malformed("k")

    def _greeted_by(self, channel: Channel, greet: peers.Greet) -> None:
        channel.peer = greet.sender
        self._channels[greet.sender] = channel
        self.greetings.answer(channel, greet, self.node.clock())

    def _answer_reports(self, channel: Channel, frame: dict[str, Any]) -> None:
        leader_service = self.node.leader_service
        now = self.node.clock()
        epoch, items = peers.parse_reports(frame)
        sender = channel.peer or NodeId("")
        for start in range(0, len(items), peers.BATCH_ITEMS):
            began = self.node.clock()
            answers = [
                peers.Answer(number, *leader_service.take_raw(obj, epoch, sender, now))
                for number, obj in items[start : start + peers.BATCH_ITEMS]
            ]
            channel.send(peers.answers(answers))
            spent = self.node.clock() - began
            self.node.meters.add("report", spent / len(answers), len(answers))
        leader_service.process_events_soon()

    def _answer_polls(self, channel: Channel, frame: dict[str, Any]) -> None:
        tell = self.node.leader_service.user_answers.tell
        told = [tell(number, JobId(job)) for number, job in peers.parse_asked(frame)]
        channel.send(peers.states(peers.STATES, told))

    def _cancel(self, channel: Channel, frame: dict[str, Any]) -> None:
        for number, job in peers.parse_asked(frame):
            self.node.leader_service.user_answers.cancel(JobId(job), _teller(channel, number))

    def _lost(self, channel: Channel) -> None:
        if channel.peer is not None and self._channels.get(channel.peer) is channel:
            del self._channels[channel.peer]
            self.node.leader_service.relay_lost(channel.peer)

    def send_wants(self, wants: dict[NodeId, list[MachineId]]) -> None:
        """Asks each node for the next reports of these of its machines."""
        for label, machines in wants.items():
            if label == self.node.settings.label:
                self._want(machines)
            elif label in self._channels:
                self._channels[label].send(peers.machines(peers.WANT, machines))


def _teller(channel: Channel, number: int) -> Callable[[str], None]:
    def tell(verdict: str) -> None:
        channel.send(peers.states(peers.CANCELLED, [peers.JobReply(number, verdict, 0, 0)]))

    return tell


def _spare_s(settings: NodeSettings, tuning: Tuning, grant_s: float) -> float:
    """See `core.relay.spare_s`; says so if the settings leave nothing."""
    spare = spare_s(settings.cancel_s, settings.lease_s, grant_s, tuning.drift_margin)
    if spare <= 0:
        log.warning(
            "cancel_s=%g leaves nothing beyond lease_s=%g and two grants of %g s: "
            "in an outage leases end as soon as one node is not heard",
            settings.cancel_s,
            settings.lease_s,
            grant_s,
        )
    return spare
