"""Connections that write immediately, tested with real sockets and a simulated reactor."""

import socket
from collections.abc import Iterator
from typing import Any

import pytest
from twisted.internet.protocol import Protocol

from eldercart.server.http.immediate_write import ImmediateWriteServer, flush


class RecordingReactor:
    """Records the transports that are to be watched for writing."""

    def __init__(self) -> None:
        self.writers: list[Any] = []

    def addReader(self, _: Any) -> None:
        pass

    removeReader = addReader

    def addWriter(self, transport: Any) -> None:
        self.writers.append(transport)

    def removeWriter(self, transport: Any) -> None:
        if transport in self.writers:
            self.writers.remove(transport)


@pytest.fixture
def connection() -> Iterator[tuple[ImmediateWriteServer, RecordingReactor, socket.socket]]:
    server_socket, client_socket = socket.socketpair()
    server_socket.setblocking(False)
    client_socket.settimeout(5.0)
    reactor = RecordingReactor()
    transport = ImmediateWriteServer(server_socket, Protocol(), ("a", 1), None, 1, reactor)
    yield transport, reactor, client_socket
    server_socket.close()
    client_socket.close()


def test_response_is_sent_without_another_reactor_iteration(connection: Any) -> None:
    transport, reactor, client_socket = connection
    transport.write(b"answer")
    assert client_socket.recv(100) == b"answer"
    assert not reactor.writers


def test_closing_connection_is_left_to_the_reactor(connection: Any) -> None:
    """A closing connection needs a write event even if no data is left to send. Otherwise it would
    never be closed, and many rejected clients would use up all sockets."""
    transport, reactor, client_socket = connection
    transport.write(b"go away")
    transport.loseConnection()
    assert reactor.writers == [transport]
    assert client_socket.recv(100) == b"go away"


def test_full_socket_is_left_to_the_reactor(connection: Any) -> None:
    transport, reactor, client_socket = connection
    transport.write(b"x" * 4_000_000)
    assert reactor.writers == [transport]
    received_bytes = 0
    while received_bytes < 4_000_000:
        transport.doWrite()
        received_bytes += len(client_socket.recv(1_000_000))
    flush(transport)
    assert not reactor.writers
