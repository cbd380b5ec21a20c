"""HTTP to one fixed host over kept connections."""

import logging
from collections.abc import Callable
from io import BytesIO
from typing import Any

from twisted.internet import reactor as _reactor
from twisted.internet.defer import Deferred
from twisted.web.client import Agent, FileBodyProducer, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers

from eldercart.settings.platform import Endpoint

reactor: Any = _reactor
Answer = Callable[[int | None, bytes], None]
_HEADERS = {b"Content-Type": [b"application/json"]}
MAX_ANSWER = 16 * 1024 * 1024


class HttpClient:
    """Calls `answer(status, body)` exactly once; status None means that there was no answer."""

    def __init__(self, endpoint: Endpoint, connect_timeout: float, connections: int) -> None:
        """Keeps up to `connections` idle connections to the host."""
        self._base = f"http://{endpoint.host}:{endpoint.port}".encode()
        pool = HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = connections
        pool.retryAutomatically = False  # a repeat is the core's decision
        self._agent = Agent(reactor, connectTimeout=connect_timeout, pool=pool)

    def request(
        self, method: bytes, path: str, body: bytes | None, timeout: float, answer: Answer
    ) -> None:
        """Sends once; `timeout` counts from now until the whole answer is there."""
        _send(self._agent, method, self._base + path.encode(), body, timeout, answer)


class WorkerClient:
    """Asks any worker, over a connection of its own each time; silence has no consequence."""

    def __init__(self, most: int) -> None:
        """At most `most` requests are under way at a time; more are dropped."""
        self._agent = Agent(reactor, connectTimeout=1.0)
        self._most = most
        self._open = 0

    def request(self, address: str, path: str, body: bytes | None, answer: Answer) -> None:
        """`answer(status, body)` if there is one."""
        if self._open >= self._most:
            return  # hung machines must not eat the sockets; they will report by themselves
        self._open += 1

        def over(status: int | None, data: bytes) -> None:
            self._open -= 1
            if status is not None:
                answer(status, data)

        uri = f"http://{address}{path}".encode()
        method = b"GET" if body is None else b"POST"
        _send(self._agent, method, uri, body, 2.0, over, {b"Connection": [b"close"]})


def _send(
    agent: Agent, method: bytes, uri: bytes, body: bytes | None, timeout: float, answer: Answer,
    extra: dict[bytes, list[bytes]] | None = None,
) -> None:  # fmt: skip
    producer = None if body is None else FileBodyProducer(BytesIO(body))
    headers = Headers((_HEADERS if body is not None else {}) | (extra or {}))
    d: Deferred[Any] = agent.request(method, uri, headers, producer)
    status: list[int] = []

    def got(response: Any) -> Deferred[bytes]:
        status.append(response.code)
        return readBody(response)

    d.addCallback(got)
    d.addTimeout(timeout, reactor)
    d.addCallbacks(lambda data: answer(status[0], data), lambda _: answer(None, b""))
    d.addErrback(_report)


def _report(failure: Any) -> None:
    logging.getLogger("eldercart.net").error("handler failed: %s", failure.getTraceback())
