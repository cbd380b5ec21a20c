"""Workers' reports at this node: answered here, sent elsewhere, or forwarded to the leader."""

import logging
from collections import OrderedDict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from eldercart.cluster.heartbeat_relay import Answer, Forward, Redirect, Relay
from eldercart.server.coalescing import CoalescedCall
from eldercart.server.http.server import JsonRequest
from eldercart.server.peers.connections import Link, link_up
from eldercart.units import Epoch, MachineId, NodeId, Steady
from eldercart.wire import Malformed, peers, users, workers
from eldercart.wire.checks import load_enclosed

if TYPE_CHECKING:
    from eldercart.server.controller_node import Node

log = logging.getLogger("eldercart.node")

FLUSH_S = 0.015  # in which reports gather to a batch
REPORT_S = 3.0  # a worker drops answers after 4 s
# Reports given up whose late answers are still recognized: a stalled leader may leave those of all
# workers of this node, twice over.
GIVEN_UP_KEPT = 16_384


@dataclass(slots=True)
class PendingReport:
    """A report handed to the leader, and its worker's connection."""

    request: JsonRequest
    head: workers.ReportHead
    until: Steady


class ReportForwarding:
    """Owns the reports that wait for the leader's answer."""

    def __init__(
        self, node: "Node", relay: Relay, links: Mapping[NodeId, Link], numbers: Iterator[int]
    ) -> None:
        """`numbers`: of frames' items, never the same twice."""
        self._node = node
        self._relay = relay
        self._links = links
        self._numbers = numbers
        self._pending_reports: dict[int, PendingReport] = {}
        self._given_up: OrderedDict[int, MachineId] = OrderedDict()
        self._batch: list[tuple[int, bytes]] = []
        self._flush_soon = CoalescedCall(FLUSH_S, self._flush)

    # -- from workers

    def report(self, request: JsonRequest) -> None:
        """Answers a worker's report, at once or when the leader has answered."""
        now = self._node.clock()
        body = request.body()
        try:
            obj = load_enclosed(body)
            head = workers.parse_head(obj)
        except Malformed as err:
            _refuse(request, err)
            return
        link = link_up(self._links, self._relay.leader)
        reachable = self._node.leader_service.acts or link is not None
        machine, order, epoch, notice, tasks = head
        match self._relay.report(machine, order, epoch, notice, tasks, now, reachable):
            case Answer(current):
                request.reply(200, workers.calls_body(current, []))
            case Redirect(to):
                self._redirect(request, epoch, to, now)
            case Forward():
                self._forward(PendingReport(request, head, Steady(now + REPORT_S)), body, obj, now)
            case _:
                request.reply(503, users.error_body("overtaken"), 1)

    def _redirect(self, request: JsonRequest, epoch: Epoch, to: NodeId | None, now: Steady) -> None:
        node = self._node
        if epoch > self._relay.epoch:
            node.saw_epoch(epoch, "a worker has seen a higher epoch")
        if to is None and not self._relay.holds_grant(now):
            to = node.election.leader
        to = None if to == node.settings.label else to
        request.reply(421, workers.redirect_body(to))

    def _forward(
        self, pending: PendingReport, body: bytes, obj: dict[str, Any], now: Steady
    ) -> None:
        if self._node.leader_service.acts:
            self._hand_in(pending, obj, now)
            return
        # It goes on as it came: the leader reads it, and takes a malformed one for none.
        number = next(self._numbers)
        self._pending_reports[number] = pending
        self._batch.append((number, body))
        self._flush_soon()

    def _hand_in(self, pending: PendingReport, obj: dict[str, Any], now: Steady) -> None:
        """This node leads: the report needs no connection."""
        leader_service = self._node.leader_service
        try:
            report = workers.parse_report(obj)
        except Malformed as err:
            _refuse(pending.request, err)
            return
        calls, again = leader_service.take_report(report, self._node.settings.label, now)
        self._node.meters.add("report", self._node.clock() - now)
        self._reply(pending, calls, again)
        leader_service.process_events_soon()

    def _reply(
        self, pending: PendingReport, calls: list[dict[str, Any]] | None, again: bool
    ) -> None:
        head = pending.head
        if calls is None:
            self._relay.overtaken(head.machine, head.order)
            pending.request.reply(503, users.error_body("overtaken"), 1)
            return
        again = again or bool(calls) or pending.request.disconnected
        self._relay.answered(head.machine, head.order, head.notice, head.tasks, again)
        pending.request.reply(200, workers.calls_body(self._relay.epoch, calls))

    # -- towards the leader

    def _flush(self) -> None:
        """Sends what has gathered to the leader under whose grant this node acts."""
        gathered, self._batch = self._batch, []
        link = link_up(self._links, self._relay.leader)
        now = self._node.clock()
        for batch in peers.batches(gathered):
            if link is None or not link.send(peers.reports(self._relay.epoch, batch)):
                self._give_up_batch(batch, now)

    def _give_up_batch(self, batch: list[tuple[int, bytes]], now: Steady) -> None:
        for number, _ in batch:
            pending = self._pending_reports.pop(number, None)
            if pending is not None:
                self._give_up(pending, now)

    def answered(self, link: Link, answers: list[peers.Answer]) -> None:
        """The leader's answers; it is told which of them came too late to be passed on."""
        dropped: list[MachineId] = []
        for answer in answers:
            pending = self._pending_reports.pop(answer.number, None)
            if pending is not None:
                late = pending.request.disconnected and answer.calls
                self._reply(pending, answer.calls, answer.again)
                if late:
                    dropped.append(pending.head.machine)
            elif answer.number in self._given_up:
                dropped.append(self._given_up.pop(answer.number))
        if dropped:
            link.send(peers.machines(peers.DROPPED, dropped))

    def link_lost(self, link: Link, now: Steady) -> None:
        """No answer comes any more to what was forwarded on this connection."""
        if link.label != self._relay.leader:
            return
        self._relay.unlinked()
        for number in list(self._pending_reports):
            self._give_up(self._pending_reports.pop(number), now)

    def time_out(self, now: Steady) -> None:
        """Gives up the reports whose workers won't wait any longer."""
        for number in [n for n, pending in self._pending_reports.items() if pending.until <= now]:
            pending = self._pending_reports.pop(number)
            self._given_up[number] = pending.head.machine
            while len(self._given_up) > GIVEN_UP_KEPT:
                self._given_up.popitem(last=False)
            self._give_up(pending, now)

    def _give_up(self, pending: PendingReport, now: Steady) -> None:
        """No answer from the leader: under a grant the worker's lease lives on all the same."""
        self._relay.want(pending.head.machine)
        if self._relay.holds_grant(now):
            pending.request.reply(200, workers.calls_body(self._relay.epoch, []))
        else:
            pending.request.reply(503, users.error_body("no leader now"), 1)


def _refuse(request: JsonRequest, err: Malformed) -> None:
    log.error("report malformed: %s", err)
    request.reply(400, users.error_body(str(err)))
