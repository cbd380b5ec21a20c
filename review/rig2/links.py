"""Proxies between the nodes, on which a test can refuse connections as a packet filter does."""

import asyncio
import contextlib

from region import HOST, Region, free_port


class Link:
    """Carries the connections that one node opens to another."""

    def __init__(self, target: str) -> None:
        """Carry connections to the target's address."""
        self.address = f"{HOST}:{free_port()}"
        self._target = target
        self._is_refused = False
        self._open: set[asyncio.StreamWriter] = set()

    async def serve(self) -> None:
        """Accept connections."""
        host, _, port = self.address.rpartition(":")
        await asyncio.start_server(self._carry, host, int(port))

    def refuse(self) -> None:
        """Reset all connections, and each new one at once."""
        self._is_refused = True
        for writer in self._open:
            writer.transport.abort()

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._is_refused:
            writer.transport.abort()
            return
        host, _, port = self._target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._open |= {writer, far_writer}
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(_pump(reader, far_writer), _pump(far_reader, writer))
        self._open -= {writer, far_writer}


async def _pump(source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
    with contextlib.suppress(OSError):
        while data := await source.read(65536):
            sink.write(data)
            await sink.drain()
    sink.close()


class Links:
    """The links between all nodes of a region."""

    def __init__(self, region: Region) -> None:
        """Let the region's nodes reach each other through links; call before it starts."""
        self._by_ends: dict[tuple[int, int], Link] = {}
        region.mesh_endpoint = self._endpoint

    def _endpoint(self, sender: int, other: int, address: str) -> str:
        link = self._by_ends[sender, other] = Link(address)
        return link.address

    async def serve(self) -> None:
        """Start all links."""
        for link in self._by_ends.values():
            await link.serve()

    def refuse_between(self, one: int, other: int) -> None:
        """Refuse all connections between two nodes from now on."""
        self._by_ends[one, other].refuse()
        self._by_ends[other, one].refuse()
