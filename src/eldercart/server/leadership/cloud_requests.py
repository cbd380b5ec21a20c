"""The leader's calls to the cloud, within its limit of calls a second."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from eldercart.scheduling.scheduler import (
    CloudRequest,
    DeleteMachines,
    GetCatalog,
    ListMachines,
    ScaleOut,
    Scheduler,
)
from eldercart.server.http.client import HttpClient
from eldercart.server.leadership.current_leadership import is_current_leadership
from eldercart.server.store.token_bucket import TokenBucket
from eldercart.units import MonotonicTime
from eldercart.wire import cloud

if TYPE_CHECKING:
    from eldercart.server.controller_node import ControllerNode

CloudResponseCallback = Callable[[int | None, bytes], None]

RATE_SHARE = 0.9  # of the cloud's limit that is used
CONNECT_TIMEOUT_S = 2.0
MAX_IDLE_CONNECTIONS = 6
RESPONSE_TIMEOUT_S = 5.0  # for which an answer is waited for


class CloudRequests:
    """Sends rentals, deletions, lists and catalogue reads, and hands in their answers."""

    def __init__(self, node: "ControllerNode") -> None:
        """Connects to the cloud of the node's settings when it is first called."""
        settings = node.settings
        rate = RATE_SHARE * settings.cloud_rps
        self._node = node
        self._client = HttpClient(settings.cloud, CONNECT_TIMEOUT_S, MAX_IDLE_CONNECTIONS)
        self._tokens = TokenBucket(rate, max(1.0, rate), node.clock())

    def process_events(self, controller: Scheduler, now: MonotonicTime) -> None:
        """Sends what the controller asks for while this node may order anything at all."""
        node = self._node
        duties = node.singleton_service
        if duties is not None:
            duties.cloud_requests.process_events(controller, self, now)
        if not node.election.may_call_cloud(now, node.store.unavailable_at):
            return
        while self._tokens.available(now) >= 1:
            call = controller.next_cloud_request(now)
            if call is None:
                break
            self._tokens.try_take(now)
            if duties is None:
                self.send(controller, call)
            elif not duties.cloud_requests.try_admit(controller, call, now):
                self.send(controller, call, duties.cloud_requests.direct_answer_callback(call))
        if duties is not None:
            duties.cloud_requests.process_events(controller, self, now)

    def send(
        self,
        controller: Scheduler,
        call: CloudRequest,
        answered: CloudResponseCallback | None = None,
    ) -> None:
        """Sends the call; `answered` is told of the answer before the controller is."""
        leader_service = self._node.leader_service

        def done(status: int | None, data: bytes) -> None:
            if answered is not None:
                answered(status, data)
            if is_current_leadership(self._node, controller):
                controller.on_cloud_response(call, status, data, self._node.clock())
                leader_service.process_events_soon()

        match call:
            case ScaleOut(rental_request):
                offer = rental_request.offering
                body = cloud.create_machines_body(
                    rental_request.name,
                    offer.type,
                    offer.zone,
                    offer.is_spot,
                    rental_request.machine_count,
                )
                self._client.request(b"POST", "/machines", body, RESPONSE_TIMEOUT_S, done)
            case DeleteMachines(machines):
                body = cloud.delete_machines_body(list(machines))
                self._client.request(b"POST", "/machines/delete", body, RESPONSE_TIMEOUT_S, done)
            case ListMachines(after):
                self._client.request(
                    b"GET", cloud.machines_path(after), None, RESPONSE_TIMEOUT_S, done
                )
            case GetCatalog():
                self._client.request(b"GET", "/catalog", None, RESPONSE_TIMEOUT_S, done)
