"""The leader's calls to the cloud, within its limit of calls a second."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from eldercart.scheduling.scheduler import CloudCall, Controller, Delete, GetCatalog, ListPage, Rent
from eldercart.server.http.client import HttpClient
from eldercart.server.leadership.current_leadership import serves
from eldercart.server.store.token_bucket import Bucket
from eldercart.units import Steady
from eldercart.wire import cloud

if TYPE_CHECKING:
    from eldercart.server.controller_node import Node

Answered = Callable[[int | None, bytes], None]

RATE_SHARE = 0.9  # of the cloud's limit that is used
CONNECT_S = 2.0
CONNECTIONS = 6
ANSWER_S = 5.0  # for which an answer is waited for


class CloudCalls:
    """Sends rentals, deletions, lists and catalogue reads, and hands in their answers."""

    def __init__(self, node: "Node") -> None:
        """Connects to the cloud of the node's settings when it is first called."""
        settings = node.settings
        rate = RATE_SHARE * settings.cloud_rps
        self._node = node
        self._client = HttpClient(settings.cloud, CONNECT_S, CONNECTIONS)
        self._tokens = Bucket(rate, max(1.0, rate), node.clock())

    def process_events(self, controller: Controller, now: Steady) -> None:
        """Sends what the controller asks for while this node may order anything at all."""
        node = self._node
        duties = node.duties
        if duties is not None:
            duties.calls.process_events(controller, self, now)
        if not node.election.may_order(now, node.store.refused_at):
            return
        while self._tokens.available(now) >= 1:
            call = controller.next_cloud(now)
            if call is None:
                break
            self._tokens.take(now)
            if duties is None:
                self.send(controller, call)
            elif not duties.calls.take(controller, call, now):
                self.send(controller, call, duties.calls.answer_to_direct(call))
        if duties is not None:
            duties.calls.process_events(controller, self, now)

    def send(
        self, controller: Controller, call: CloudCall, answered: Answered | None = None
    ) -> None:
        """Sends the call; `answered` is told of the answer before the controller is."""
        leader_service = self._node.leader_service

        def done(status: int | None, data: bytes) -> None:
            if answered is not None:
                answered(status, data)
            if serves(self._node, controller):
                controller.cloud_done(call, status, data, self._node.clock())
                leader_service.process_events_soon()

        match call:
            case Rent(rental_request):
                offer = rental_request.offer
                body = cloud.rent_body(
                    rental_request.name, offer.type, offer.zone, offer.spot, rental_request.number
                )
                self._client.request(b"POST", "/machines", body, ANSWER_S, done)
            case Delete(machines):
                body = cloud.delete_body(list(machines))
                self._client.request(b"POST", "/machines/delete", body, ANSWER_S, done)
            case ListPage(after):
                self._client.request(b"GET", cloud.list_path(after), None, ANSWER_S, done)
            case GetCatalog():
                self._client.request(b"GET", "/catalog", None, ANSWER_S, done)
