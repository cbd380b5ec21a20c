"""Connections between the controller nodes: frames of one message each, kept open."""

import logging
from collections.abc import Callable, Mapping
from typing import Any

from twisted.internet import protocol
from twisted.internet import reactor as _reactor
from twisted.protocols.basic import Int32StringReceiver

from eldercart.server.http.immediate_write import ImmediateWriteServer, flush
from eldercart.settings.platform import Endpoint
from eldercart.units import NEVER, NodeId, Steady
from eldercart.wire import Malformed, peers

reactor: Any = _reactor
log = logging.getLogger("eldercart.net")

CONNECT_S = 1.0
AGAIN_S = 0.4  # before a lost connection is tried again


class Channel(Int32StringReceiver):
    """One connection, seen from either side."""

    MAX_LENGTH = peers.MAX_FRAME
    peer: NodeId | None = None  # by its own word

    def __init__(
        self,
        frame: Callable[["Channel", dict[str, Any]], None],
        made: Callable[["Channel"], None] | None = None,
        lost: Callable[["Channel"], None] | None = None,
    ) -> None:
        """`frame` gets each message; `made` and `lost` are told of the connection's state."""
        self._frame = frame
        self._made = made
        self._lost = lost
        self.open = False

    def connectionMade(self) -> None:
        """Called by twisted when the connection stands."""
        self.transport.setTcpNoDelay(True)
        self.open = True
        if self._made is not None:
            self._made(self)

    def connectionLost(self, reason: Any = None) -> None:
        """Called by twisted when the connection has ended."""
        self.open = False
        if self._lost is not None:
            self._lost(self)

    def stringReceived(self, data: bytes) -> None:
        """Called by twisted with each whole frame."""
        try:
            self._frame(self, peers.parse(data))
        except Malformed as err:
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
        if self.open:
            self.sendString(data)


class Link:
    """Keeps a connection to one peer; what is sent while there is none is lost."""

    def __init__(
        self,
        label: NodeId,
        endpoint: Endpoint,
        frame: Callable[["Link", dict[str, Any]], None],
        down: Callable[["Link"], None],
        clock: Callable[[], Steady],
    ) -> None:
        """Not connected; `frame` gets each message, `down` is called when a connection is lost."""
        self.label = label
        self._endpoint = endpoint
        self._frame = frame
        self._down = down
        self._clock = clock
        self._channel: Channel | None = None
        self._trying = False
        self._again = NEVER
        self._heard = NEVER
        self.greeted = NEVER  # when the peer was greeted last
        self.asked: dict[int, Steady] = {}  # greetings under way
        self.answered = NEVER  # when the greeting was sent that was answered last

    @property
    def up(self) -> bool:
        """Whether the connection stands."""
        return self._channel is not None

    def check(self, silent_s: float, now: Steady) -> None:
        """Connects anew where needed; gives up a connection that went silent."""
        if self._channel is not None:
            if now - self._heard > silent_s:
                self._channel.transport.abortConnection()
                self._closed(self._channel)
        elif not self._trying and now >= self._again:
            self._trying = True
            creator = protocol.ClientCreator(
                reactor, Channel, self._got, self._opened, self._closed
            )
            d = creator.connectTCP(self._endpoint.host, self._endpoint.port, timeout=CONNECT_S)
            d.addErrback(self._failed)

    def stalled(self, seconds: float) -> None:
        """What the peer said meanwhile waits to be read: it was not silent."""
        self._heard = Steady(self._heard + seconds)

    def _opened(self, channel: Channel) -> None:
        channel.peer = self.label
        self._channel = channel
        self._trying = False
        self._heard = self._clock()
        self.greeted = NEVER
        self.asked.clear()

    def _failed(self, _: Any) -> None:
        self._trying = False
        self._again = Steady(self._clock() + AGAIN_S)

    def _closed(self, channel: Channel) -> None:
        self._trying = False
        if self._channel is channel:
            self._channel = None
            self._again = Steady(self._clock() + AGAIN_S)
            self._down(self)

    def _got(self, channel: Channel, frame: dict[str, Any]) -> None:
        if channel is self._channel:
            self._heard = self._clock()
            self._frame(self, frame)

    def send(self, data: bytes) -> bool:
        """Sends one frame at once; False: there is no connection."""
        if self._channel is None:
            return False
        self._channel.send(data)
        flush(self._channel.transport)
        return True


def link_up(links: Mapping[NodeId, Link], label: NodeId | None) -> Link | None:
    """The connection to that node, if there is such a node and the connection stands."""
    link = None if label is None else links.get(label)
    return link if link is not None and link.up else None


class Exchange(protocol.Factory):
    """The side that is connected to."""

    noisy = False

    def __init__(
        self,
        frame: Callable[[Channel, dict[str, Any]], None],
        lost: Callable[[Channel], None],
        most: int,
    ) -> None:
        """Accepts `most` connections at once; `frame` and `lost` as of `Channel`."""
        self._frame = frame
        self._lost = lost
        self._most = most
        self.channels: set[Channel] = set()

    def buildProtocol(self, addr: Any) -> Any:
        """Called by twisted for a new connection; None closes it."""
        if len(self.channels) >= self._most:
            return None
        return Channel(self._frame, self.channels.add, self._closed)

    def _closed(self, channel: Channel) -> None:
        self.channels.discard(channel)
        self._lost(channel)


def listen(endpoint: Endpoint, exchange: Exchange) -> None:
    """Accepts connections of peers at the endpoint."""
    port = reactor.listenTCP(endpoint.port, exchange, backlog=32, interface=endpoint.host)
    port.transport = ImmediateWriteServer
