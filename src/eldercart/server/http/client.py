"""HTTP clients: one for a fixed host with persistent connections, one for any worker."""

import logging
from collections.abc import Callable
from typing import Any, NamedTuple

from twisted.internet import reactor as _reactor
from twisted.internet.defer import Deferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.web.client import URI, Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from eldercart.settings.platform import Endpoint

reactor: Any = _reactor
ResponseCallback = Callable[[int | None, bytes], None]
_CLOSE_HEADERS = {b"Connection": [b"close"]}
_JSON_HEADERS = {b"Content-Type": [b"application/json"]}
WORKER_TIMEOUT_S = 2.0  # limit for the whole response of a worker
CONNECT_TIMEOUT_S = 1.0  # limit for connecting to a worker's host


@implementer(IAgentEndpointFactory)
class _NumericHostEndpoints:
    """Creates an endpoint for each request of an agent, without name resolution.

    All hosts are given by IP address; the agent's default endpoints resolve host names.
    """

    def __init__(self, connect_timeout_s: float) -> None:
        self._connect_timeout_s = connect_timeout_s

    def endpointForURI(self, uri: URI) -> TCP4ClientEndpoint:
        """Return the endpoint at which the URI's host listens."""
        return TCP4ClientEndpoint(reactor, uri.host.decode(), uri.port, self._connect_timeout_s)


@implementer(IBodyProducer)
class _InMemoryBody:
    """A request body that is already in memory and is written in one piece."""

    def __init__(self, body: bytes) -> None:
        self.length = len(body)
        self._body = body

    def startProducing(self, consumer: Any) -> Deferred[None]:
        """Write the whole body."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:
        """Nothing is left to produce."""

    def resumeProducing(self) -> None:
        """Nothing is left to produce."""

    def stopProducing(self) -> None:
        """Nothing is left to produce."""


class HttpClient:
    """A client of one host; each request calls `on_response(status, body)` exactly once.

    Status None means that the request failed or that no whole response arrived in time.
    """

    def __init__(
        self, endpoint: Endpoint, connect_timeout_s: float, max_idle_connections: int
    ) -> None:
        """Keep up to `max_idle_connections` idle connections to the host."""
        self._base_url = f"http://{endpoint.host}:{endpoint.port}".encode()
        pool = HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = max_idle_connections
        pool.retryAutomatically = False  # the callers decide on retries
        endpoints = _NumericHostEndpoints(connect_timeout_s)
        self._agent = Agent.usingEndpointFactory(reactor, endpoints, pool)

    def request(
        self,
        method: bytes,
        path: str,
        body: bytes | None,
        timeout_s: float,
        on_response: ResponseCallback,
    ) -> None:
        """Send once; `timeout_s` limits the time until the whole response has been received."""
        request = _Request(method, self._base_url + path.encode(), body)
        _send(self._agent, request, timeout_s, on_response)


class WorkerClient:
    """A client of all workers; each request opens its own connection."""

    def __init__(self, max_requests: int) -> None:
        """Allow `max_requests` requests in flight; any further request is dropped."""
        self._agent = Agent.usingEndpointFactory(reactor, _NumericHostEndpoints(CONNECT_TIMEOUT_S))
        self._max_requests = max_requests
        self._requests_in_flight = 0

    def request(
        self, address: str, path: str, body: bytes | None, on_response: ResponseCallback
    ) -> None:
        """Send once; `on_response(status, body)` is called only if a response arrives in time."""
        if self._requests_in_flight >= self._max_requests:
            # Hung machines must not use up the sockets; working machines send heartbeats anyway.
            return
        self._requests_in_flight += 1

        def finish(status: int | None, data: bytes) -> None:
            self._requests_in_flight -= 1
            if status is not None:
                on_response(status, data)

        method = b"GET" if body is None else b"POST"
        uri = f"http://{address}{path}".encode()
        request = _Request(method, uri, body, _CLOSE_HEADERS)
        _send(self._agent, request, WORKER_TIMEOUT_S, finish)


class _Request(NamedTuple):
    method: bytes
    uri: bytes
    body: bytes | None
    extra_headers: dict[bytes, list[bytes]] | None = None


def _send(agent: Agent, request: _Request, timeout_s: float, on_response: ResponseCallback) -> None:
    producer = None if request.body is None else _InMemoryBody(request.body)
    json_headers = _JSON_HEADERS if request.body is not None else {}
    headers = Headers(json_headers | (request.extra_headers or {}))
    response: Deferred[Any] = agent.request(request.method, request.uri, headers, producer)
    status: list[int] = []

    def read_body(head: Any) -> Deferred[bytes]:
        status.append(head.code)
        return readBody(head)

    response.addCallback(read_body)
    response.addTimeout(timeout_s, reactor)
    response.addCallbacks(
        lambda data: on_response(status[0], data), lambda _: on_response(None, b"")
    )
    response.addErrback(_log_failure)


def _log_failure(failure: Any) -> None:
    logging.getLogger("eldercart.net").error("handler failed traceback=%s", failure.getTraceback())
