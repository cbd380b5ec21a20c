"""Connections that write to their socket immediately.

The reactor alone sends what was written only after it has polled all sockets again: two more
system calls and one more turn of the loop for each answer, hundreds of times a second.
"""

from typing import Any

from twisted.internet import tcp


class ImmediateWriteServer(tcp.Server):
    """The server side of a connection; falls back on the reactor when the socket is full."""

    def startWriting(self) -> None:
        """Writes now if there is new data and the socket takes all of it."""
        # Called without anything to send, it means to close: that is left to the reactor, and so
        # is a socket that takes nothing or fails.
        fresh = self._tempDataLen and not self.disconnecting and not self.dataBuffer
        if not fresh or self.doWrite() is not None or self.dataBuffer:
            super().startWriting()


def flush(transport: Any) -> None:
    """The same for a connection that this side has opened; errors are left to the reactor."""
    if not transport.disconnecting:
        transport.doWrite()
