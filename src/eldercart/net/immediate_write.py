"""Connections that send at once.

By itself the reactor sends what was written only after its next look at all sockets: two more
system calls and a longer way through the loop for each answer, hundreds of times a second.
"""

from typing import Any

from twisted.internet import tcp


class ImmediateWriteServer(tcp.Server):
    """The server side of a connection; falls back on the reactor when the socket is full."""

    def startWriting(self) -> None:
        # Asked for without anything to send, it means to close: that is the reactor's turn, as is
        # whatever the matter may be with a socket that takes nothing.
        fresh = self._tempDataLen and not self.disconnecting and not self.dataBuffer
        if not fresh or self.doWrite() is not None or self.dataBuffer:
            super().startWriting()


def flush(transport: Any) -> None:
    """The same for a connection that this side has opened; troubles are left to the reactor."""
    if not transport.disconnecting:
        transport.doWrite()
