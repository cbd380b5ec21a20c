"""The leader's direct requests to workers: liveness probes and kill commands."""

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from eldercart.scheduling.scheduler import Controller, Order
from eldercart.server.http.client import WorkerClient
from eldercart.server.leadership.current_leadership import serves
from eldercart.units import MachineId, Steady
from eldercart.wire import Malformed, workers
from eldercart.wire.checks import load_object

if TYPE_CHECKING:
    from eldercart.server.controller_node import Node

log = logging.getLogger("eldercart.node")

SOCKETS_SHARE, CONNECTIONS_LEAST = 20, 4  # one connection for so many sockets, but so many at least
EXECUTED, OTHER_SESSION = 200, 409  # the statuses that come with the worker's report


class WorkerCalls:
    """Asks workers directly; an answer is handed to the controller that asked for it."""

    def __init__(self, node: "Node") -> None:
        """So many connections at most as the node's sockets allow."""
        self._node = node
        connections = max(CONNECTIONS_LEAST, node.settings.sockets // SOCKETS_SHARE)
        self._client = WorkerClient(connections)

    def process_events(self, controller: Controller, now: Steady) -> None:
        """Sends the probes and the direct commands that are due."""
        for machine, address in controller.take_probes():
            self._probe(controller, machine, address)
        for order in controller.take_orders(now):
            self._order(controller, order)

    def _probe(self, controller: Controller, machine: MachineId, address: str) -> None:
        """`/show` tells whether a machine lives that nothing is heard of. What it lists is not
        read: it may cross the response to a report and lack what that response launches."""

        def shown(status: int, report: workers.Report) -> None:
            if status == EXECUTED:
                controller.shown(machine, self._node.clock())

        self._ask(controller, machine, address, "/show", None, shown)

    def _order(self, controller: Controller, order: Order) -> None:
        node = self._node
        sent = node.clock()

        def told(status: int, report: workers.Report) -> None:
            if report.epoch > controller.epoch:
                node.saw_epoch(report.epoch, "a worker has seen a higher epoch")
            else:
                controller.ordered(report, status == EXECUTED, sent, node.clock())
                node.leader_service.process_events_soon()

        body = workers.order_body(controller.epoch, order.session, order.commands)
        self._ask(controller, order.machine, order.address, "/orders", body, told)

    def _ask(
        self,
        controller: Controller,
        machine: MachineId,
        address: str,
        path: str,
        body: bytes | None,
        told: Callable[[int, workers.Report], None],
    ) -> None:
        """`told(status, report)` if that machine answers with its report."""

        def got(status: int | None, data: bytes) -> None:
            if not serves(self._node, controller):
                return
            if status not in (EXECUTED, OTHER_SESSION):
                return
            try:
                report = workers.parse_report(load_object(data))
            except Malformed as err:
                log.error("report malformed address=%s: %s", address, err)
                return
            if report.machine == machine:
                told(status, report)

        self._client.request(address, path, body, got)
