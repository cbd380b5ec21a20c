"""Connections that write to their socket immediately.

By default the reactor sends written data only after it has polled all sockets again. That costs two
more system calls and one more iteration of the event loop for each response, hundreds of times a
second.
"""

from typing import Any

from twisted.internet import tcp


class ImmediateWriteServer(tcp.Server):
    """The server side of a connection; falls back to the reactor when the socket buffer is full."""

    def startWriting(self) -> None:
        """Write new data now; let the reactor write what the socket does not accept."""
        # A call without data to send means that the connection is to be closed. The reactor handles
        # that case, and also a socket that is full or fails.
        has_only_new_data = self._tempDataLen and not self.disconnecting and not self.dataBuffer
        if not has_only_new_data or self.doWrite() is not None or self.dataBuffer:
            super().startWriting()


def flush(transport: Any) -> None:
    """Write the pending data of a connection that this node opened; the reactor handles errors."""
    if not transport.disconnecting:
        transport.doWrite()
