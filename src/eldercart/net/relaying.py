"""Workers' reports at this node, and the connections to the other nodes that share them out."""

import logging
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from eldercart.core.relay import (
    Answer,
    Forward,
    Redirect,
    Relay,
    Share,
    contact,
    shares,
    spare_s,
)
from eldercart.net.links import Channel, Exchange, Link
from eldercart.net.server import JsonRequest
from eldercart.net.soon import Soon
from eldercart.units import Epoch, JobId, MachineId, NodeId, ReportOrder, Session, Steady
from eldercart.wire import Malformed, peers, users, workers
from eldercart.wire.checks import count, load_enclosed, text

if TYPE_CHECKING:
    from eldercart.net.node import Node

log = logging.getLogger("eldercart.node")

FLUSH_S = 0.015  # in which reports and polls gather to a batch
REPORT_S = 3.0  # a worker drops answers after 4 s
POLL_S = 0.8
CANCEL_S = 2.0
# The leader is told whom this node answered; of the others it is enough to know that they live.
GREET_LEADER_S, GREET_S = 0.5, 2.0
# In an outage of the store a leader's grant hangs on every node's answer to its greeting.
GREET_OUTAGE_S = 0.7
# A peer answers greetings; without a word for this long, the connection is dead.
SILENT_LEAST_S, SILENT_GREETINGS = 2.5, 2.5


@dataclass(slots=True)
class Held:
    """A report handed to the leader, and its worker's connection."""

    request: JsonRequest
    machine: MachineId
    order: ReportOrder
    notice: bool
    tasks: Any
    until: Steady


@dataclass(slots=True)
class Question:
    answer: Callable[[peers.Told | None], None]
    link: NodeId
    until: Steady


class Relaying:
    """Owns the relay, the links and what is under way on them."""

    def __init__(self, node: "Node") -> None:
        self.node = node
        s, t = node.settings, node.tuning
        grant_s = t.grant_share * s.lease_s
        self.relay = Relay(s.label, grant_s, t.drift_margin)
        self.spare_s = spare_s(s.cancel_s, s.lease_s, grant_s, t.drift_margin)
        if self.spare_s <= 0:
            log.warning(
                "cancel_s=%g leaves nothing beyond lease_s=%g and two grants of %g s: "
                "in an outage leases end as soon as one node is not heard",
                s.cancel_s, s.lease_s, grant_s,
            )  # fmt: skip
        self.links = {
            m.label: Link(m.label, m.endpoint, self._told, self._down, node.clock)
            for m in s.members
        }
        self.exchange = Exchange(self._asked, self._lost, 4 * s.nodes + 8)
        self.peer_heard = Steady(-1e9)  # when any peer was heard last
        self.peer_served = Steady(-1e9)  # when a peer last said that the store serves it
        self.peer_counts: dict[NodeId, tuple[int, Steady]] = {}  # workers at each
        self._takes: dict[NodeId, tuple[str, ...]] = {}  # by what each peer said last
        self._falls_told = 0
        self._channels: dict[NodeId, Channel] = {}  # the newest that each peer greeted on
        self._number = 0
        self._held: dict[int, Held] = {}
        self._given_up: OrderedDict[int, MachineId] = OrderedDict()
        self._questions: dict[int, Question] = {}
        self._reports: list[tuple[int, bytes]] = []
        self._polls: list[tuple[int, str]] = []
        self._flush_soon = Soon(FLUSH_S, self._flush)
        self._timeouts_due = Steady(0)
        self._shares: dict[NodeId, Share] = {}

    # -- time

    def tick(self, now: Steady) -> None:
        node = self.node
        leader = node.election.leader
        node.store.follow(now)
        # That the store's rates have fallen the others should not have to find out, too.
        news = node.store.fallen.falls != self._falls_told
        self._falls_told = node.store.fallen.falls
        for link in self.links.values():
            every = GREET_LEADER_S if link.label == leader else GREET_S
            if node.leading.acts and node.store.failing_since is not None:
                every = GREET_OUTAGE_S
            link.check(max(SILENT_LEAST_S, SILENT_GREETINGS * every), now)
            if link.up and (news or now - link.greeted >= every):
                self._greet(link, link.label == leader, now)
        if node.leading.acts:
            # Counted from the asking: what a peer said may have waited here while this node slept.
            since = contact(
                node.election.hold_seen, node.election.hold_until,
                [link.answered for link in self.links.values()], self.spare_s, now,
            )  # fmt: skip
            self._share_out(now)
            mine = self._shares.get(node.settings.label, Share(node.settings.sockets, None))
            self.relay.granted(
                node.election.epoch, node.settings.label, since, now, mine.most, mine.spare
            )
            node.leading.heard(node.settings.label, self.relay.take_heard(now), now)
        elif node.election.epoch == self.relay.epoch and node.store.failing_since is None:
            # The watch on the leader key would have told of another epoch.
            self.relay.current(self.relay.epoch, node.store.last_ok)
        if now >= self._timeouts_due:
            self._timeouts_due = Steady(now + 0.2)
            self._time_out(now)

    def stood_still(self, seconds: float) -> None:
        for link in self.links.values():
            link.stood_still(seconds)

    def _share_out(self, now: Steady) -> None:
        counts = {n: c for n, (c, at) in self.peer_counts.items() if now - at < 2.5}
        counts[self.node.settings.label] = self.relay.machines
        most = int(self.node.settings.sockets * 0.55)
        self._shares = shares(counts, self.node.settings.label, most)

    def _greet(self, link: Link, leads: bool, now: Steady) -> None:
        link.greeted = now
        self._number += 1
        link.asked[self._number] = now
        while len(link.asked) > 8:
            del link.asked[next(iter(link.asked))]
        node = self.node
        heard = self.relay.take_heard(now) if leads and not node.leading.acts else ()
        link.send(
            peers.greet(
                peers.Greet(
                    node.settings.label, self._number, node.election.epoch,
                    node.store.failing_since is None, self.relay.machines,
                    node.store.short(now) if leads else 0, heard,
                    peers.TAKES, int(node.store.fallen.left_s(now) * 1000),
                )
            )
        )  # fmt: skip

    def _time_out(self, now: Steady) -> None:
        for number in [n for n, h in self._held.items() if h.until <= now]:
            held = self._held.pop(number)
            self._given_up[number] = held.machine
            while len(self._given_up) > 500:
                self._given_up.popitem(last=False)
            self._give_up(held, now)
        for number in [n for n, q in self._questions.items() if q.until <= now]:
            self._questions.pop(number).answer(None)

    def _give_up(self, held: Held, now: Steady) -> None:
        """No answer from the leader: under a grant the worker's lease lives on all the same."""
        self.relay.want(held.machine)
        if self.relay.holds_grant(now):
            held.request.reply(200, workers.calls_body(self.relay.epoch, []))
        else:
            held.request.reply(503, users.error_body("no leader now"), 1)

    # -- workers

    def report(self, request: JsonRequest) -> None:
        node = self.node
        now = node.clock()
        body = request.body()
        try:
            obj = load_enclosed(body)
            machine = MachineId(text(obj, "wagon"))
            order = ReportOrder(Session(count(obj, "stint")), count(obj, "tally"))
            epoch = Epoch(count(obj, "whip"))
            tasks = obj.get("parcels")
        except Malformed as err:
            self._refuse(request, err)
            return
        notice = obj.get("recallS") is not None
        link = self._link_to(self.relay.leader)
        reachable = node.leading.acts or link is not None
        decision = self.relay.report(machine, order, epoch, notice, tasks, now, reachable)
        match decision:
            case Answer(current):
                request.reply(200, workers.calls_body(current, []))
            case Redirect(to):
                if epoch > self.relay.epoch:
                    node.saw_epoch(epoch, "a worker has seen a higher epoch")
                if to is None and not self.relay.holds_grant(now):
                    to = node.election.leader
                to = None if to == node.settings.label else to
                request.reply(421, workers.redirect_body(to))
            case Forward():
                self._forward(request, body, obj, machine, order, notice, tasks, now)
            case _:
                request.reply(503, users.error_body("overtaken"), 1)

    def _refuse(self, request: JsonRequest, err: Malformed) -> None:
        log.error("report malformed: %s", err)
        request.reply(400, users.error_body(str(err)))

    def _forward(
        self, request: JsonRequest, body: bytes, obj: dict[str, Any], machine: MachineId,
        order: ReportOrder, notice: bool, tasks: Any, now: Steady,
    ) -> None:  # fmt: skip
        held = Held(request, machine, order, notice, tasks, Steady(now + REPORT_S))
        leading = self.node.leading
        if leading.acts:
            try:
                report = workers.parse_report(obj)
            except Malformed as err:
                self._refuse(request, err)
                return
            calls, again = leading.take_report(report, self.node.settings.label, now)
            self._reply(held, calls, again)
            leading.pump_soon()
            return
        # It goes on as it came: the leader reads it, and takes a malformed one for none.
        self._number += 1
        self._held[self._number] = held
        self._reports.append((self._number, body))
        self._flush_soon()

    def _reply(self, held: Held, calls: list[dict[str, Any]] | None, again: bool) -> None:
        if calls is None:
            self.relay.overtaken(held.machine, held.order)
            held.request.reply(503, users.error_body("overtaken"), 1)
            return
        again = again or bool(calls) or held.request.gone
        self.relay.answered(held.machine, held.order, held.notice, held.tasks, again)
        held.request.reply(200, workers.calls_body(self.relay.epoch, calls))

    # -- towards the leader

    def _link_to(self, label: NodeId | None) -> Link | None:
        """The connection to that node, if it stands. Reports go to the leader under whose grant
        this node acts, questions to the one that the election knows."""
        link = None if label is None else self.links.get(label)
        return link if link is not None and link.up else None

    def _flush(self) -> None:
        reports, self._reports = self._reports, []
        polls, self._polls = self._polls, []
        link = self._link_to(self.relay.leader)
        now = self.node.clock()
        for batch in peers.batches(reports):
            if link is not None and link.send(peers.reports(self.relay.epoch, batch)):
                continue
            for number, _ in batch:
                held = self._held.pop(number, None)
                if held is not None:
                    self._give_up(held, now)
        ask = self._link_to(self.node.election.leader)
        for start in range(0, len(polls), peers.POLLS_ITEMS):
            asked = polls[start : start + peers.POLLS_ITEMS]
            if ask is None or not ask.send(peers.polls(asked)):
                for number, _ in asked:
                    question = self._questions.pop(number, None)
                    if question is not None:
                        question.answer(None)

    def poll(self, job: JobId, answer: Callable[[peers.Told | None], None]) -> bool:
        """Asks the leader; False: there is none to ask."""
        if self._ask(answer, POLL_S) is None:
            return False
        self._polls.append((self._number, job))
        self._flush_soon()
        return True

    def cancel(self, job: JobId, answer: Callable[[peers.Told | None], None]) -> bool:
        link = self._ask(answer, CANCEL_S)
        return link is not None and link.send(peers.cancel(self._number, job))

    def _ask(self, answer: Callable[[peers.Told | None], None], wait_s: float) -> Link | None:
        link = self._link_to(self.node.election.leader)
        if link is None:
            return None
        self._number += 1
        until = Steady(self.node.clock() + wait_s)
        self._questions[self._number] = Question(answer, link.label, until)
        return link

    def _down(self, link: Link) -> None:
        log.info("peer lost peer=%s", link.label)
        for number in [n for n, q in self._questions.items() if q.link == link.label]:
            self._questions.pop(number).answer(None)
        if link.label == self.relay.leader:
            self.relay.unlinked()
            now = self.node.clock()
            for number in list(self._held):
                self._give_up(self._held.pop(number), now)

    def _told(self, link: Link, frame: dict[str, Any]) -> None:
        """A peer that this node connected to answers."""
        kind = peers.kind_of(frame)
        now = self.node.clock()
        if kind == peers.GREETED:
            self._greeted(link, peers.parse_greeted(frame), now)
        elif kind == peers.ANSWERS:
            dropped: list[MachineId] = []
            for answer in peers.parse_answers(frame):
                held = self._held.pop(answer.number, None)
                if held is not None:
                    late = held.request.gone and answer.calls
                    self._reply(held, answer.calls, answer.again)
                    if late:
                        dropped.append(held.machine)
                elif answer.number in self._given_up:
                    dropped.append(self._given_up.pop(answer.number))
            if dropped:
                link.send(peers.machines(peers.DROPPED, dropped))
        elif kind == peers.WANT:
            for machine in peers.parse_machines(frame):
                self.relay.want(machine)
        elif kind in (peers.STATES, peers.CANCELLED):
            for told in peers.parse_states(frame):
                question = self._questions.pop(told.number, None)
                if question is not None:
                    question.answer(told)
        else:
            raise Malformed("k")

    def _heard_peer(self, peer: NodeId, g: peers.Greet | peers.Greeted, now: Steady) -> None:
        """What a greeting and its answer tell alike."""
        self.peer_heard = now
        if g.store_ok:
            self.peer_served = now
        self._takes[peer] = g.takes
        self.node.store.fallen.told(g.low_ms / 1000, now)
        self.node.store.follow(now)
        self.node.saw_epoch(g.epoch, "a peer knows a higher epoch")
        if g.epoch > self.relay.epoch:
            self.relay.superseded(g.epoch, now)

    def all_take(self, what: str) -> bool:
        """Whether every node can read it: any may lead next. One never heard counts as old."""
        return all(what in self._takes.get(m.label, ()) for m in self.node.settings.members)

    def _greeted(self, link: Link, g: peers.Greeted, now: Steady) -> None:
        asked = link.asked.pop(g.number, None)
        self._heard_peer(link.label, g, now)
        if asked is not None and g.ready and g.epoch <= self.node.election.epoch:
            link.answered = max(link.answered, asked)
        if g.lent:
            self.node.store.lent(g.lent, now)
        if g.leads and asked is not None:
            self.relay.granted(g.epoch, link.label, asked, now, g.most, g.spare)
            self.node.election.heard_leader(link.label, g.epoch)

    # -- from the others

    def _asked(self, channel: Channel, frame: dict[str, Any]) -> None:
        """A peer that connected to this node asks."""
        kind = peers.kind_of(frame)
        leading = self.node.leading
        now = self.node.clock()
        if kind == peers.GREET:
            self._on_greet(channel, peers.parse_greet(frame), now)
        elif kind == peers.REPORTS:
            epoch, items = peers.parse_reports(frame)
            sender = channel.peer or NodeId("")
            for start in range(0, len(items), peers.BATCH_ITEMS):
                answers = [
                    peers.Answer(number, *leading.take_raw(obj, epoch, sender, now))
                    for number, obj in items[start : start + peers.BATCH_ITEMS]
                ]
                channel.send(peers.answers(answers))
            leading.pump_soon()
        elif kind == peers.POLLS:
            told = [leading.tell(number, JobId(job)) for number, job in peers.parse_asked(frame)]
            channel.send(peers.states(peers.STATES, told))
        elif kind == peers.CANCEL:
            for number, job in peers.parse_asked(frame):
                leading.cancel(JobId(job), _told_to(channel, number))
        elif kind == peers.DROPPED:
            for machine in peers.parse_machines(frame):
                leading.undelivered(machine)
        else:
            raise Malformed("k")

    def _on_greet(self, channel: Channel, g: peers.Greet, now: Steady) -> None:
        node = self.node
        channel.peer = g.sender
        self._channels[g.sender] = channel
        if g.epoch > self.relay.epoch and g.sender in self.links:
            self.links[g.sender].greeted = Steady(-1e9)  # it may lead: ask it for a grant at once
        self._heard_peer(g.sender, g, now)
        self.peer_counts[g.sender] = (g.machines, now)
        acts = node.leading.acts
        if acts:
            node.leading.heard(g.sender, g.heard, now)
        # A leader that may not answer workers itself lets nobody do it for it: what its relays are
        # granted would otherwise outlive its own contact for as long as they reach it.
        grants = acts and self.relay.holds_grant(now)
        share = self._shares.get(g.sender, Share(node.settings.sockets, None))
        channel.send(
            peers.greeted(
                peers.Greeted(
                    g.number, node.election.epoch, grants, node.store.failing_since is None,
                    share.most, share.spare, node.store.lend(g.short, now) if acts else 0,
                    peers.TAKES, int(node.store.fallen.left_s(now) * 1000),
                    node.electing.ready,
                )
            )
        )  # fmt: skip

    def _lost(self, channel: Channel) -> None:
        if channel.peer is not None and self._channels.get(channel.peer) is channel:
            del self._channels[channel.peer]
            self.node.leading.relay_lost(channel.peer)

    def send_wants(self, wants: dict[NodeId, list[MachineId]]) -> None:
        for node, machines in wants.items():
            if node == self.node.settings.label:
                for machine in machines:
                    self.relay.want(machine)
            elif node in self._channels:
                self._channels[node].send(peers.machines(peers.WANT, machines))


def _told_to(channel: Channel, number: int) -> Callable[[str], None]:
    def tell(verdict: str) -> None:
        channel.send(peers.states(peers.CANCELLED, [peers.Told(number, verdict, 0, 0)]))

    return tell
