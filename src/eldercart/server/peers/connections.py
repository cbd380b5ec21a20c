"""Persistent TCP connections between controller nodes. Each frame carries one message.

`PeerLink` is the connecting side, `PeerServer` the accepting side.
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
RECONNECT_DELAY_S = 0.4  # delay after a lost connection or a failed attempt


class PeerConnection(Int32StringReceiver):
    """One connection between two nodes. Both sides use this class."""

    MAX_LENGTH = peers.MAX_FRAME_BYTES
    # The label of the other node. It is None on the accepting side until the first heartbeat.
    peer: NodeId | None = None

    def __init__(
        self,
        on_frame: Callable[["PeerConnection", dict[str, Any]], None],
        on_connected: Callable[["PeerConnection"], None] | None = None,
        on_disconnected: Callable[["PeerConnection"], None] | None = None,
    ) -> None:
        """Store the callbacks.

        `on_frame` is called with each well-formed frame, `on_connected` when the connection opens
        and `on_disconnected` when it closes.
        """
        self._on_frame = on_frame
        self._on_connected = on_connected
        self._on_disconnected = on_disconnected
        self.is_open = False

    def connectionMade(self) -> None:
        """Handle the opened connection (called by Twisted)."""
        self.transport.setTcpNoDelay(True)
        self.is_open = True
        if self._on_connected is not None:
            self._on_connected(self)

    def connectionLost(self, reason: Any = None) -> None:
        """Handle the closed connection (called by Twisted)."""
        self.is_open = False
        if self._on_disconnected is not None:
            self._on_disconnected(self)

    def stringReceived(self, data: bytes) -> None:
        """Parse and handle one complete frame (called by Twisted)."""
        try:
            self._on_frame(self, peers.parse_frame(data))
        except MalformedMessageError as error:
            # Only this frame is dropped: the sender's other frames may be valid.
            log.error("peer frame malformed peer=%s error=%s", self.peer, error)
        except Exception:
            log.exception("peer frame failed peer=%s", self.peer)

    def lengthLimitExceeded(self, length: int) -> None:
        """Abort the connection because a frame is too long (called by Twisted)."""
        log.error("peer frame too long peer=%s bytes=%d", self.peer, length)
        self.transport.abortConnection()

    def send(self, data: bytes) -> None:
        """Send one frame, or drop it if the connection is closed."""
        if self.is_open:
            self.sendString(data)


class PeerLink:
    """Maintains the connection to one peer. Frames are not queued while it is disconnected."""

    def __init__(
        self,
        label: NodeId,
        endpoint: Endpoint,
        on_frame: Callable[["PeerLink", dict[str, Any]], None],
        on_disconnected: Callable[["PeerLink"], None],
        clock: Callable[[], MonotonicTime],
    ) -> None:
        """Create a disconnected link; `check_connection` connects it.

        `on_frame` is called with each frame from the peer, `on_disconnected` each time the
        connection is lost.
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
        self.last_heartbeat_at = DISTANT_PAST  # the send time of the last heartbeat to the peer
        self.pending_heartbeats: dict[int, MonotonicTime] = {}  # request id to send time
        # The send time of the newest heartbeat that the peer acknowledged after reading the leader
        # key, and without knowing a higher token than this node.
        self.last_acknowledged_sent_at = DISTANT_PAST

    @property
    def is_connected(self) -> bool:
        """Whether the connection to the peer is open."""
        return self._connection is not None

    def check_connection(self, silence_timeout_s: float, now: MonotonicTime) -> None:
        """Connect if disconnected. Abort a connection that received no frame before the timeout."""
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
        """Exclude a stall of this process from the peer's silence.

        Frames that the peer sent meanwhile are still unread.
        """
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
        """Send one frame immediately. Return False if the link is disconnected."""
        if self._connection is None:
            return False
        self._connection.send(data)
        flush(self._connection.transport)
        return True


def connected_link(links: Mapping[NodeId, PeerLink], label: NodeId | None) -> PeerLink | None:
    """Return the link to the node if it exists and is connected, else None."""
    link = None if label is None else links.get(label)
    return link if link is not None and link.is_connected else None


class PeerServer(protocol.Factory):
    """Accepts connections from peers."""

    noisy = False

    def __init__(
        self,
        on_frame: Callable[[PeerConnection, dict[str, Any]], None],
        on_disconnected: Callable[[PeerConnection], None],
        max_connections: int,
    ) -> None:
        """Accept up to `max_connections` open connections.

        The callbacks are those of `PeerConnection`.
        """
        self._on_frame = on_frame
        self._on_disconnected = on_disconnected
        self._max_connections = max_connections
        self.connections: set[PeerConnection] = set()

    def buildProtocol(self, addr: Any) -> Any:
        """Return the protocol for a new connection, or None to close it (called by Twisted)."""
        if len(self.connections) >= self._max_connections:
            return None
        return PeerConnection(self._on_frame, self.connections.add, self._on_connection_lost)

    def _on_connection_lost(self, connection: PeerConnection) -> None:
        self.connections.discard(connection)
        self._on_disconnected(connection)


def listen(endpoint: Endpoint, peer_server: PeerServer) -> None:
    """Listen for connections from peers on the endpoint."""
    port = reactor.listenTCP(endpoint.port, peer_server, backlog=32, interface=endpoint.host)
    port.transport = ImmediateWriteServer
