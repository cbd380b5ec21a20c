"""The leader's direct requests to workers: liveness probes and kill commands."""

import logging
from collections.abc import Callable

from eldercart.scheduling.scheduler import DirectKill, Scheduler
from eldercart.server.http.client import WorkerClient
from eldercart.server.leadership.current_leadership import Leadership, is_current_leadership
from eldercart.server.node_context import Clock
from eldercart.units import MachineId, MonotonicTime
from eldercart.wire import MalformedMessageError, workers
from eldercart.wire.checks import load_object

log = logging.getLogger("eldercart.node")

SOCKETS_PER_CONNECTION = 20  # one connection to workers per this many of the node's sockets
MIN_CONNECTIONS = 4
STATUS_EXECUTED, STATUS_OTHER_AGENT_EPOCH = 200, 409  # statuses whose response contains a heartbeat


class WorkerRequests:
    """Sends requests to workers and passes each response to the scheduler that requested it."""

    def __init__(self, leadership: Leadership, max_sockets: int, clock: Clock) -> None:
        """`max_sockets` limits the node's open sockets; requests to workers use a share of them."""
        self._leadership = leadership
        self._clock = clock
        self._client = WorkerClient(max(MIN_CONNECTIONS, max_sockets // SOCKETS_PER_CONNECTION))

    def process_events(self, scheduler: Scheduler, now: MonotonicTime) -> None:
        """Send the probes and the direct kills that are due."""
        for machine, address in scheduler.take_probes():
            self._probe(scheduler, machine, address)
        for kill in scheduler.take_direct_kills(now):
            self._send_kill(scheduler, kill)

    def _probe(self, scheduler: Scheduler, machine: MachineId, address: str) -> None:
        """Send a liveness probe (`/show`) to a machine that has been silent.

        The tasks in the response are ignored: it may overlap with the response to a heartbeat and
        lack the tasks that the latter launches.
        """

        def on_heartbeat(status: int, heartbeat: workers.Heartbeat) -> None:
            if status == STATUS_EXECUTED:
                scheduler.record_probe_success(machine, self._clock())

        self._request(scheduler, machine, address, "/show", None, on_heartbeat)

    def _send_kill(self, scheduler: Scheduler, kill: DirectKill) -> None:
        sent_at = self._clock()

        def on_heartbeat(status: int, heartbeat: workers.Heartbeat) -> None:
            if heartbeat.token > scheduler.token:
                self._leadership.observe_token(heartbeat.token, "a worker has seen a higher epoch")
            else:
                scheduler.on_direct_kill_response(
                    heartbeat, sent_at, self._clock(), executed=status == STATUS_EXECUTED
                )
                self._leadership.process_events_soon()

        body = workers.direct_commands_body(scheduler.token, kill.agent_epoch, kill.commands)
        self._request(scheduler, kill.machine_id, kill.address, "/orders", body, on_heartbeat)

    def _request(
        self,
        scheduler: Scheduler,
        machine: MachineId,
        address: str,
        path: str,
        body: bytes | None,
        on_heartbeat: Callable[[int, workers.Heartbeat], None],
    ) -> None:
        """Send a request; call `on_heartbeat` if this machine responds with its heartbeat."""

        def on_response(status: int | None, data: bytes) -> None:
            if not is_current_leadership(self._leadership, scheduler):
                return
            if status not in (STATUS_EXECUTED, STATUS_OTHER_AGENT_EPOCH):
                return
            try:
                heartbeat = workers.parse_heartbeat(load_object(data))
            except MalformedMessageError as err:
                log.error("heartbeat malformed address=%s error=%s", address, err)
                return
            if heartbeat.machine == machine:
                on_heartbeat(status, heartbeat)

        self._client.request(address, path, body, on_response)
