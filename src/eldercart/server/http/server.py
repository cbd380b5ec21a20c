"""The HTTP server for JSON requests; it limits the body size and the number of connections."""

import logging
from collections.abc import Callable
from functools import cache
from io import BytesIO
from typing import Any

from twisted.internet import reactor as _reactor
from twisted.web import http
from twisted.web.http import RESPONSES

from eldercart.server.http.immediate_write import ImmediateWriteServer
from eldercart.settings.platform import Endpoint
from eldercart.wire.checks import MAX_BODY_BYTES
from eldercart.wire.users import error_body

reactor: Any = _reactor
log = logging.getLogger("eldercart.net")

IDLE_TIMEOUT_S = 120.0  # a connection without received data for this long is closed
# Headers that no handler reads, although workers send them with each heartbeat.
IGNORED_HEADERS = frozenset((b"host", b"content-type", b"user-agent", b"accept"))


@cache
def status_line(status: int) -> bytes:
    """Return the status line of a response."""
    return b"HTTP/1.1 %d %b\r\n" % (status, RESPONSES.get(status, b"Unknown"))


class JsonRequest(http.Request):
    """One request; `reply` may be called later, and has no effect after a disconnection."""

    is_disconnected = False
    is_too_long = False

    def gotLength(self, length: int | None) -> None:
        """Prepare for a body of this length in bytes; None means that the length is unknown."""
        # The base class uses a temporary file for a long body, but /tmp counts as memory.
        self.content = BytesIO()
        self.is_too_long = length is not None and length > MAX_BODY_BYTES

    def parseCookies(self) -> None:
        """Skip the cookies, since no handler reads them."""

    def handleContentChunk(self, data: bytes) -> None:
        """Append a chunk to the body, unless the body becomes too long."""
        if self.is_too_long or self.content.tell() + len(data) > MAX_BODY_BYTES:
            self.is_too_long = True
            return
        self.content.write(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Process the complete request; unlike the base class, parse no form fields.

        Parsing the content type alone took as long as the rest of the work on a request, of which
        there are hundreds a second.
        """
        self.content.seek(0)
        self.method, self.uri, self.clientproto = command, path, version
        self.path = path.partition(b"?")[0]
        self.args: dict[bytes, list[bytes]] = {}
        self.process()

    def process(self) -> None:
        """Pass the complete request to the factory's route."""
        self.channel.factory.pending_requests.add(self)
        if self.is_too_long:
            self.reply(400, error_body("body over 64 KiB"))
            return
        try:
            self.channel.factory.route(self)
        except Exception:
            # An error in one request must not stop the event loop or close other connections.
            log.exception("request failed path=%s", self.path[:100])
            if not self.finished:
                self.reply(503, error_body("internal"), retry_after_s=1)

    def connectionLost(self, reason: Any) -> None:
        """Record that the client has disconnected, so that no response is sent."""
        self.is_disconnected = True
        self.channel.factory.pending_requests.discard(self)
        super().connectionLost(reason)

    def body(self) -> bytes:
        """Return the body as received."""
        value: bytes = self.content.getvalue()
        return value

    def reply(
        self, status: int, body: bytes, retry_after_s: int | None = None, close: bool = False
    ) -> None:
        """Send the response unless one was sent already; `close` then closes the connection."""
        if self.is_disconnected or self.finished:
            return
        self.channel.factory.pending_requests.discard(self)
        if close or self.channel.factory.is_closing:
            self.channel.persistent = False
        # Head and body are written together: one packet and one system call for each response.
        head = status_line(status) + b"content-type: application/json\r\n"
        head += b"content-length: %d\r\n" % len(body)
        if retry_after_s is not None:
            head += b"retry-after: %d\r\n" % retry_after_s
        if not self.channel.persistent:
            head += b"connection: close\r\n"
        self.startedWriting = 1
        self.channel.write(head + b"\r\n" + body)
        self.finish()


class JsonChannel(http.HTTPChannel):
    """One accepted connection; the factory counts the open ones."""

    requestFactory = JsonRequest
    # This disables the idle timer of the base class, which stops and restarts it around each
    # request. All requests are answered within seconds, so one timer per connection is enough.
    timeOut = None
    _idle_timer: Any = None

    def connectionMade(self) -> None:
        """Count the connection and start its idle timer."""
        self.factory.open_connections += 1
        # Responses on persistent connections are small and must not wait for a full packet.
        self.transport.setTcpNoDelay(True)
        # Cached, since Twisted asks for both with each request, although nothing reads them.
        self._addresses = (self.transport.getPeer(), self.transport.getHost())
        super().connectionMade()
        self._idle_timer = self.callLater(IDLE_TIMEOUT_S, self.timeoutConnection)

    def dataReceived(self, data: bytes) -> None:
        """Reset the idle timer and parse the data."""
        if self._idle_timer is not None and self._idle_timer.active():
            self._idle_timer.reset(IDLE_TIMEOUT_S)
        super().dataReceived(data)

    def getPeer(self) -> Any:
        """Return the client's address."""
        return self._addresses[0]

    def getHost(self) -> Any:
        """Return this node's address."""
        return self._addresses[1]

    def headerReceived(self, line: bytes) -> bool:
        """Parse a header, unless it is one that no handler reads."""
        if line.partition(b":")[0].lower() in IGNORED_HEADERS:
            return True
        is_accepted: bool = super().headerReceived(line)
        return is_accepted

    def connectionLost(self, reason: Any) -> None:
        """Decrease the count of open connections and cancel the idle timer."""
        self.factory.open_connections -= 1
        if self._idle_timer is not None and self._idle_timer.active():
            self._idle_timer.cancel()
        super().connectionLost(reason)


class JsonFactory(http.HTTPFactory):
    """Creates a channel for each connection and limits the number of connections.

    A connection above the limit is closed at once, so that many idle or hung clients can't use up
    the sockets that the node needs for its own requests.
    """

    def __init__(self, route: Callable[[JsonRequest], None], max_connections: int) -> None:
        """Call `route` with each complete request."""
        super().__init__(reactor=reactor)
        self.route = route
        self.max_connections = max_connections
        self.open_connections = 0
        self.pending_requests: set[JsonRequest] = set()
        self.is_closing = False  # if set, each connection is closed after its next response

    def log(self, request: Any) -> None:
        """Write no access log."""

    def startFactory(self) -> None:
        """Start nothing: the base class would start a timer for the access log."""

    def stopFactory(self) -> None:
        """Stop nothing, as nothing was started."""

    def buildProtocol(self, addr: Any) -> Any:
        """Return the channel for a new connection, or None to close it at once."""
        if self.open_connections >= self.max_connections:
            return None
        channel = JsonChannel()
        channel.factory = self
        channel.callLater = reactor.callLater
        return channel


class JsonServer:
    """The listening port of one endpoint."""

    def __init__(self, endpoint: Endpoint, factory: JsonFactory) -> None:
        """Prepare the server; it accepts no connections before `listen`."""
        self._endpoint = endpoint
        self._factory = factory
        self._port: Any = None  # None until `listen`

    def listen(self) -> None:
        """Accept connections at the endpoint."""
        # All workers may connect at once when this is the only node left. With a full backlog each
        # of them would run into a timeout, and after several timeouts its lease would expire.
        self._port = reactor.listenTCP(
            self._endpoint.port,
            self._factory,
            backlog=self._factory.max_connections,
            interface=self._endpoint.host,
        )
        self._port.transport = ImmediateWriteServer

    def stop_accepting(self) -> None:
        """Close the port at once, and each connection after its next response."""
        self._factory.is_closing = True
        if self._port is not None:
            self._port.stopListening()

    def pending_requests(self) -> list[JsonRequest]:
        """Return the requests that have no response yet."""
        return list(self._factory.pending_requests)
