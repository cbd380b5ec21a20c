"""Connections between the controller nodes: frames of one message each, kept open."""

import logging
from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet import protocol
from twisted.internet import reactor as _reactor
from twisted.protocols.basic import Int32StringReceiver

from eldercart.server.http.immediate_write import ImmediateWriteServer, flush
from eldercart.settings.platform import Endpoint
from eldercart.units import DISTANT_PAST, MonotonicTime, NodeId
from eldercart.wire import MalformedMessage, peers

reactor: Any = _reactor
log = logging.getLogger("eldercart.net")

CONNECT_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.4  # before a lost connection is tried again


class PeerConnection(Int32StringReceiver):
    """One connection, seen from either side."""

    MAX_LENGTH = peers.MAX_FRAME_BYTES
    peer: NodeId | None = None  # by its own word

    def __init__(
        self,
        on_frame: Callable[["PeerConnection", dict[str, Any]], None],
        on_connected: Callable[["PeerConnection"], None] | None = None,
        on_disconnected: Callable[["PeerConnection"], None] | None = None,
    ) -> None:
        """`frame` gets each message; `made` and `lost` are told of the connection's state."""
        self._on_frame = on_frame
        self._on_connected = on_connected
        self._on_disconnected = on_disconnected
        self.is_open = False

    def connectionMade(self) -> None:
        """Called by twisted when the connection stands."""
        self.transport.setTcpNoDelay(True)
        self.is_open = True
        if self._on_connected is not None:
            self._on_connected(self)

    def connectionLost(self, reason: Any = None) -> None:
        """Called by twisted when the connection has ended."""
        self.is_open = False
        if self._on_disconnected is not None:
            self._on_disconnected(self)

    def stringReceived(self, data: bytes) -> None:
        """Called by twisted with each whole frame."""
        try:
            self._on_frame(self, peers.parse_frame(data))
        except MalformedMessage as err:
            # Treated as no message; the sender's other frames may well be fine.
            log.error("peer frame malformed peer=%s: %s", self.peer, err)
        except Exception:
            log.exception("peer frame failed peer=%s", self.peer)

    def lengthLimitExceeded(self, length: int) -> None:
        """Called by twisted for a frame that is too long: ends the connection."""
        log.error("peer frame too long peer=%s bytes=%d", self.peer, length)
        self.transport.abortConnection()

    def send(self, data: bytes) -> None:
        """Sends one frame, or drops it if the connection has ended."""
        if self.is_open:
            self.sendString(data)


class PeerLink:
    """Keeps a connection to one peer; what is sent while there is none is lost."""

    def __init__(
        self,
        label: NodeId,
        endpoint: Endpoint,
        on_frame: Callable[["PeerLink", dict[str, Any]], None],
        on_disconnected: Callable[["PeerLink"], None],
        clock: Callable[[], MonotonicTime],
    ) -> None:
        """Not connected; `frame` gets each message, `down` is called when a connection is lost."""
        self.label = label
        self._endpoint = endpoint
        self._on_frame = on_frame
        self._on_disconnected = on_disconnected
        self._clock = clock
        self._connection: PeerConnection | None = None
        self._is_connecting = False
        self._reconnect_at = DISTANT_PAST
        self._last_received_at = DISTANT_PAST
        self.last_heartbeat_at = DISTANT_PAST  # when the peer was greeted last
        self.pending_heartbeats: dict[int, MonotonicTime] = {}  # greetings under way
        self.acknowledged_at = DISTANT_PAST  # when the greeting was sent that was answered last

    @property
    def is_connected(self) -> bool:
        """Whether the connection stands."""
        return self._connection is not None

    def check_connection(self, silence_timeout_s: float, now: MonotonicTime) -> None:
        """Connects anew where needed; gives up a connection that went silent."""
        if self._connection is not None:
            if now - self._last_received_at > silence_timeout_s:
                self._connection.transport.abortConnection()
                self._on_connection_lost(self._connection)
        elif not self._is_connecting and now >= self._reconnect_at:
            self._is_connecting = True
            creator = protocol.ClientCreator(
                reactor,
                PeerConnection,
                self._on_frame_received,
                self._on_connection_made,
                self._on_connection_lost,
            )
            d = creator.connectTCP(
                self._endpoint.host, self._endpoint.port, timeout=CONNECT_TIMEOUT_S
            )
            d.addErrback(self._on_connect_failed)

    def exclude_stall(self, seconds: float) -> None:
        """What the peer said meanwhile waits to be read: it was not silent."""
        self._last_received_at = MonotonicTime(self._last_received_at + seconds)

    def _on_connection_made(self, connection: PeerConnection) -> None:
        connection.peer = self.label
        self._connection = connection
        self._is_connecting = False
        self._last_received_at = self._clock()
        self.last_heartbeat_at = DISTANT_PAST
        self.pending_heartbeats.clear()

    def _on_connect_failed(self, _: Any) -> None:
        self._is_connecting = False
        self._reconnect_at = MonotonicTime(self._clock() + RECONNECT_DELAY_S)

    def _on_connection_lost(self, connection: PeerConnection) -> None:
        self._is_connecting = False
        if self._connection is connection:
            self._connection = None
            self._reconnect_at = MonotonicTime(self._clock() + RECONNECT_DELAY_S)
            self._on_disconnected(self)

    def _on_frame_received(self, connection: PeerConnection, frame: dict[str, Any]) -> None:
        if connection is self._connection:
            self._last_received_at = self._clock()
            self._on_frame(self, frame)

    def send(self, data: bytes) -> bool:
        """Sends one frame at once; False: there is no connection."""
        if self._connection is None:
            return False
        self._connection.send(data)
        flush(self._connection.transport)
        return True


def connected_link(links: Mapping[NodeId, PeerLink], label: NodeId | None) -> PeerLink | None:
    """The connection to that node, if there is such a node and the connection stands."""
    link = None if label is None else links.get(label)
    return link if link is not None and link.is_connected else None


class PeerServer(protocol.Factory):
    """The side that is connected to."""

    noisy = False

    def __init__(
        self,
        on_frame: Callable[[PeerConnection, dict[str, Any]], None],
        on_disconnected: Callable[[PeerConnection], None],
        max_connections: int,
    ) -> None:
        """Accepts `most` connections at once; `frame` and `lost` as of `Channel`."""
        self._on_frame = on_frame
        self._on_disconnected = on_disconnected
        self._max_connections = max_connections
        self.connections: set[PeerConnection] = set()

    def buildProtocol(self, addr: Any) -> Any:
        """Called by twisted for a new connection; None closes it."""
        if len(self.connections) >= self._max_connections:
            return None
        return PeerConnection(self._on_frame, self.connections.add, self._on_connection_lost)

    def _on_connection_lost(self, connection: PeerConnection) -> None:
        self.connections.discard(connection)
        self._on_disconnected(connection)


def listen(endpoint: Endpoint, peer_server: PeerServer) -> None:
    """Accepts connections of peers at the endpoint."""
    port = reactor.listenTCP(endpoint.port, peer_server, backlog=32, interface=endpoint.host)
    port.transport = ImmediateWriteServer
