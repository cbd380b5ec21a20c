"""The leader's requests to the cloud, within the cloud's rate limit."""

from collections.abc import Callable
from typing import Protocol

from eldercart.election.state_machine import Election
from eldercart.scheduling.scheduler import (
    CloudRequest,
    DeleteMachines,
    GetCatalog,
    ListMachines,
    ScaleOut,
    Scheduler,
)
from eldercart.server.http.client import HttpClient
from eldercart.server.leadership.current_leadership import Leadership, is_current_leadership
from eldercart.server.node_context import Clock
from eldercart.server.store.client import StoreClient
from eldercart.server.store.token_bucket import TokenBucket
from eldercart.settings import NodeSettings
from eldercart.units import MonotonicTime
from eldercart.wire import cloud

CloudResponseCallback = Callable[[int | None, bytes], None]

RATE_SHARE = 0.9  # share of the cloud's rate limit that the leader uses
CONNECT_TIMEOUT_S = 2.0
MAX_IDLE_CONNECTIONS = 6
RESPONSE_TIMEOUT_S = 5.0


class CloudRequestGate(Protocol):
    """Records the requests that change the cloud's machines before they are sent."""

    def process_events(
        self, scheduler: Scheduler, cloud_requests: "CloudRequests", now: MonotonicTime, /
    ) -> None:
        """Record, send and check the requests that are due."""

    def try_admit(self, scheduler: Scheduler, request: CloudRequest, now: MonotonicTime, /) -> bool:
        """Return whether the gate accepts the request; otherwise the caller sends it directly."""

    def direct_answer_callback(self, request: CloudRequest, /) -> CloudResponseCallback | None:
        """Return the response callback for a request that the gate did not accept."""


class CloudRequests:
    """Sends the scheduler's requests to the cloud and passes the responses to the scheduler."""

    def __init__(
        self,
        leadership: Leadership,
        election: Election,
        store: StoreClient,
        settings: NodeSettings,
        clock: Clock,
    ) -> None:
        """Connect only when the first request is sent.

        `election` and `store` determine whether this node's lease allows a request now.
        """
        rate = RATE_SHARE * settings.cloud_rps
        self._leadership = leadership
        self._election = election
        self._store = store
        self._clock = clock
        self.gate: CloudRequestGate | None = None  # None: every request is sent directly
        self._client = HttpClient(settings.cloud, CONNECT_TIMEOUT_S, MAX_IDLE_CONNECTIONS)
        self._tokens = TokenBucket(rate, max(1.0, rate), clock())

    def process_events(self, scheduler: Scheduler, now: MonotonicTime) -> None:
        """Send the scheduler's requests, if this node's leader lease allows any now."""
        gate = self.gate
        if gate is not None:
            gate.process_events(scheduler, self, now)
        if not self._election.may_call_cloud(now, self._store.unavailable_at):
            return
        while self._tokens.available(now) >= 1:
            request = scheduler.next_cloud_request(now)
            if request is None:
                break
            self._tokens.try_take(now)
            if gate is None:
                self.send(scheduler, request)
            elif not gate.try_admit(scheduler, request, now):
                self.send(scheduler, request, gate.direct_answer_callback(request))
        if gate is not None:
            gate.process_events(scheduler, self, now)

    def send(
        self,
        scheduler: Scheduler,
        request: CloudRequest,
        on_response: CloudResponseCallback | None = None,
    ) -> None:
        """Send the request; `on_response` is called before the scheduler gets the response."""

        def done(status: int | None, body: bytes) -> None:
            if on_response is not None:
                on_response(status, body)
            if is_current_leadership(self._leadership, scheduler):
                scheduler.on_cloud_response(request, status, body, self._clock())
                self._leadership.process_events_soon()

        match request:
            case ScaleOut(scale_out):
                offer = scale_out.offering
                body = cloud.create_machines_body(
                    scale_out.name,
                    offer.type,
                    offer.zone,
                    offer.is_spot,
                    scale_out.machine_count,
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
