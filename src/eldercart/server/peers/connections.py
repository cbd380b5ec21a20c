"""Connections between controller nodes, over which frames of one message each are sent.

They stay open. The side that connects is a `PeerLink`, the side that accepts a `PeerServer`.
"""

import logging
from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet import protocol
from twisted.internet import reactor as _reactor
from twisted.protocols.basic import Int32StringReceiver

from eldercart.server.http.immediate_write import ImmediateWriteServer, flush
from eldercart.settings.platform import Endpoint
from eldercart.units import DISTANT_PAST, MonotonicTime, NodeId
from eldercart.wire import MalformedMessageError, peers

reactor: Any = _reactor
log = logging.getLogger("eldercart.net")

CONNECT_TIMEOUT_S = 1.0
RECONNECT_DELAY_S = 0.4  # before a lost connection is tried again


class PeerConnection(Int32StringReceiver):
    """One connection between two nodes, at either side."""

    MAX_LENGTH = peers.MAX_FRAME_BYTES
    peer: NodeId | None = None  # as the peer names itself; None until it has

    def __init__(
        self,
        on_frame: Callable[["PeerConnection", dict[str, Any]], None],
        on_connected: Callable[["PeerConnection"], None] | None = None,
        on_disconnected: Callable[["PeerConnection"], None] | None = None,
    ) -> None:
        """`on_frame` gets each well-formed frame; the others learn of the begin and the end."""
        self._on_frame = on_frame
        self._on_connected = on_connected
        self._on_disconnected = on_disconnected
        self.is_open = False

    def connectionMade(self) -> None:
        """Twisted: the connection is open."""
        self.transport.setTcpNoDelay(True)
        self.is_open = True
        if self._on_connected is not None:
            self._on_connected(self)

    def connectionLost(self, reason: Any = None) -> None:
        """Twisted: the connection has ended."""
        self.is_open = False
        if self._on_disconnected is not None:
            self._on_disconnected(self)

    def stringReceived(self, data: bytes) -> None:
        """Twisted: one whole frame has arrived."""
        try:
            self._on_frame(self, peers.parse_frame(data))
        except MalformedMessageError as error:
            # The frame is dropped; the sender's other frames may well be fine.
            log.error("peer frame malformed peer=%s: %s", self.peer, error)
        except Exception:
            log.exception("peer frame failed peer=%s", self.peer)

    def lengthLimitExceeded(self, length: int) -> None:
        """Twisted: a frame is too long. Ends the connection."""
        log.error("peer frame too long peer=%s bytes=%d", self.peer, length)
        self.transport.abortConnection()

    def send(self, data: bytes) -> None:
        """Send one frame, or drop it if the connection has ended."""
        if self.is_open:
            self.sendString(data)


class PeerLink:
    """Keeps a connection to one peer open; frames sent while there is none are lost."""

    def __init__(
        self,
        label: NodeId,
        endpoint: Endpoint,
        on_frame: Callable[["PeerLink", dict[str, Any]], None],
        on_disconnected: Callable[["PeerLink"], None],
        clock: Callable[[], MonotonicTime],
    ) -> None:
        """Start disconnected; `check_connection` connects.

        `on_frame` gets each frame of the peer, `on_disconnected` each loss of the connection.
        """
        self.label = label
        self._endpoint = endpoint
        self._on_frame = on_frame
        self._on_disconnected = on_disconnected
        self._clock = clock
        self._connection: PeerConnection | None = None
        self._is_connecting = False
        self._reconnect_at = DISTANT_PAST
        self._last_received_at = DISTANT_PAST
        self.last_heartbeat_at = DISTANT_PAST  # when the last heartbeat was sent to the peer
        self.pending_heartbeats: dict[int, MonotonicTime] = {}  # when each was sent, by request id
        self.acknowledged_at = DISTANT_PAST  # when the last acknowledged heartbeat was sent

    @property
    def is_connected(self) -> bool:
        """Whether there is a connection."""
        return self._connection is not None

    def check_connection(self, silence_timeout_s: float, now: MonotonicTime) -> None:
        """Connect if there is no connection; abort one that was silent for too long."""
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
            attempt = creator.connectTCP(
                self._endpoint.host, self._endpoint.port, timeout=CONNECT_TIMEOUT_S
            )
            attempt.addErrback(self._on_connect_failed)

    def exclude_stall(self, seconds: float) -> None:
        """Don't count a stall of this process as silence: frames of the peer wait to be read."""
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
        """Send one frame at once. Returns False if there is no connection."""
        if self._connection is None:
            return False
        self._connection.send(data)
        flush(self._connection.transport)
        return True


def connected_link(links: Mapping[NodeId, PeerLink], label: NodeId | None) -> PeerLink | None:
    """Return the link to that node if there is one and it is connected."""
    link = None if label is None else links.get(label)
    return link if link is not None and link.is_connected else None


class PeerServer(protocol.Factory):
    """Accepts the connections of peers."""

    noisy = False

    def __init__(
        self,
        on_frame: Callable[[PeerConnection, dict[str, Any]], None],
        on_disconnected: Callable[[PeerConnection], None],
        max_connections: int,
    ) -> None:
        """Accept up to `max_connections` at once. The callbacks are those of `PeerConnection`."""
        self._on_frame = on_frame
        self._on_disconnected = on_disconnected
        self._max_connections = max_connections
        self.connections: set[PeerConnection] = set()

    def buildProtocol(self, addr: Any) -> Any:
        """Twisted: a peer connects. Returning None closes the connection."""
        if len(self.connections) >= self._max_connections:
            return None
        return PeerConnection(self._on_frame, self.connections.add, self._on_connection_lost)

    def _on_connection_lost(self, connection: PeerConnection) -> None:
        self.connections.discard(connection)
        self._on_disconnected(connection)


def listen(endpoint: Endpoint, peer_server: PeerServer) -> None:
    """Accept connections of peers at the endpoint."""
    port = reactor.listenTCP(endpoint.port, peer_server, backlog=32, interface=endpoint.host)
    port.transport = ImmediateWriteServer
