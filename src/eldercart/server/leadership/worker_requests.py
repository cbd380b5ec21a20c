"""The leader's direct requests to workers: liveness probes and kill commands."""

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from eldercart.scheduling.scheduler import DirectKill, Scheduler
from eldercart.server.http.client import WorkerClient
from eldercart.server.leadership.current_leadership import is_current_leadership
from eldercart.units import MachineId, MonotonicTime
from eldercart.wire import MalformedMessage, workers
from eldercart.wire.checks import load_object

if TYPE_CHECKING:
    from eldercart.server.controller_node import ControllerNode

log = logging.getLogger("eldercart.node")

SOCKETS_PER_CONNECTION, MIN_CONNECTIONS = (
    20,
    4,
)  # one connection for so many sockets, but so many at least
EXECUTED, OTHER_AGENT_EPOCH = 200, 409  # the statuses that come with the worker's report


class WorkerRequests:
    """Asks workers directly; an answer is handed to the controller that asked for it."""

    def __init__(self, node: "ControllerNode") -> None:
        """So many connections at most as the node's sockets allow."""
        self._node = node
        connections = max(MIN_CONNECTIONS, node.settings.sockets // SOCKETS_PER_CONNECTION)
        self._client = WorkerClient(connections)

    def process_events(self, controller: Scheduler, now: MonotonicTime) -> None:
        """Sends the probes and the direct commands that are due."""
        for machine, address in controller.take_probes():
            self._probe(controller, machine, address)
        for order in controller.take_direct_kills(now):
            self._send_kill(controller, order)

    def _probe(self, controller: Scheduler, machine: MachineId, address: str) -> None:
        """`/show` tells whether a machine lives that nothing is heard of. What it lists is not
        read: it may cross the response to a report and lack what that response launches."""

        def shown(status: int, report: workers.Heartbeat) -> None:
            if status == EXECUTED:
                controller.record_probe_success(machine, self._node.clock())

        self._request(controller, machine, address, "/show", None, shown)

    def _send_kill(self, controller: Scheduler, order: DirectKill) -> None:
        node = self._node
        sent = node.clock()

        def told(status: int, report: workers.Heartbeat) -> None:
            if report.token > controller.token:
                node.observe_token(report.token, "a worker has seen a higher epoch")
            else:
                controller.on_direct_kill_response(
                    report, sent, node.clock(), executed=status == EXECUTED
                )
                node.leader_service.process_events_soon()

        body = workers.direct_commands_body(controller.token, order.agent_epoch, order.commands)
        self._request(controller, order.machine_id, order.address, "/orders", body, told)

    def _request(
        self,
        controller: Scheduler,
        machine: MachineId,
        address: str,
        path: str,
        body: bytes | None,
        told: Callable[[int, workers.Heartbeat], None],
    ) -> None:
        """`told(status, report)` if that machine answers with its report."""

        def got(status: int | None, data: bytes) -> None:
            if not is_current_leadership(self._node, controller):
                return
            if status not in (EXECUTED, OTHER_AGENT_EPOCH):
                return
            try:
                report = workers.parse_heartbeat(load_object(data))
            except MalformedMessage as err:
                log.error("report malformed address=%s: %s", address, err)
                return
            if report.machine == machine:
                told(status, report)

        self._client.request(address, path, body, got)
