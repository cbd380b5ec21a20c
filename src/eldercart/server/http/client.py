"""HTTP to one fixed host over kept connections."""

import logging
from collections.abc import Callable
from typing import Any

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
_JSON_HEADERS = {b"Content-Type": [b"application/json"]}
CONNECT_TIMEOUT_S = 1.0  # for which a worker's host may take to accept a connection


@implementer(IAgentEndpointFactory)
class _NumericHostEndpoints:
    """Connects to hosts that are named by their IP number, as all here are: the agent asks for an
    endpoint with each request, and its own kind is made for names that must be looked up."""

    def __init__(self, connect_timeout: float) -> None:
        self._connect_timeout_s = connect_timeout

    def endpointForURI(self, uri: URI) -> TCP4ClientEndpoint:
        """Where the URI's host listens."""
        return TCP4ClientEndpoint(reactor, uri.host.decode(), uri.port, self._connect_timeout_s)


@implementer(IBodyProducer)
class _InMemoryBody:
    """A body that is in memory, and is written in one piece and at once."""

    def __init__(self, body: bytes) -> None:
        self.length = len(body)
        self._body = body

    def startProducing(self, consumer: Any) -> Deferred[None]:
        """Writes all of it."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:
        """Nothing is left to produce."""

    def resumeProducing(self) -> None:
        """Nothing is left to produce."""

    def stopProducing(self) -> None:
        """Nothing is left to produce."""


class HttpClient:
    """Calls `answer(status, body)` exactly once; status None means that there was no answer."""

    def __init__(self, endpoint: Endpoint, connect_timeout: float, connections: int) -> None:
        """Keeps up to `connections` idle connections to the host."""
        self._base_url = f"http://{endpoint.host}:{endpoint.port}".encode()
        pool = HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = connections
        pool.retryAutomatically = False  # a repeat is the core's decision
        endpoints = _NumericHostEndpoints(connect_timeout)
        self._agent = Agent.usingEndpointFactory(reactor, endpoints, pool)

    def request(
        self, method: bytes, path: str, body: bytes | None, timeout: float, answer: ResponseCallback
    ) -> None:
        """Sends once; `timeout` counts from now until the whole answer is there."""
        _send(self._agent, method, self._base_url + path.encode(), body, timeout, answer)


class WorkerClient:
    """Asks any worker, over a connection of its own each time; silence has no consequence."""

    def __init__(self, most: int) -> None:
        """At most `most` requests are under way at a time; more are dropped."""
        self._agent = Agent.usingEndpointFactory(reactor, _NumericHostEndpoints(CONNECT_TIMEOUT_S))
        self._max_requests = most
        self._requests_in_flight = 0

    def request(
        self, address: str, path: str, body: bytes | None, answer: ResponseCallback
    ) -> None:
        """`answer(status, body)` if there is one."""
        if self._requests_in_flight >= self._max_requests:
            return  # hung machines must not eat the sockets; they will report by themselves
        self._requests_in_flight += 1

        def over(status: int | None, data: bytes) -> None:
            self._requests_in_flight -= 1
            if status is not None:
                answer(status, data)

        uri = f"http://{address}{path}".encode()
        method = b"GET" if body is None else b"POST"
        _send(self._agent, method, uri, body, 2.0, over, {b"Connection": [b"close"]})


def _send(
    agent: Agent,
    method: bytes,
    uri: bytes,
    body: bytes | None,
    timeout: float,
    answer: ResponseCallback,
    extra: dict[bytes, list[bytes]] | None = None,
) -> None:
    producer = None if body is None else _InMemoryBody(body)
    headers = Headers((_JSON_HEADERS if body is not None else {}) | (extra or {}))
    d: Deferred[Any] = agent.request(method, uri, headers, producer)
    status: list[int] = []

    def got(response: Any) -> Deferred[bytes]:
        status.append(response.code)
        return readBody(response)

    d.addCallback(got)
    d.addTimeout(timeout, reactor)
    d.addCallbacks(lambda data: answer(status[0], data), lambda _: answer(None, b""))
    d.addErrback(_log_failure)


def _log_failure(failure: Any) -> None:
    logging.getLogger("eldercart.net").error("handler failed: %s", failure.getTraceback())
