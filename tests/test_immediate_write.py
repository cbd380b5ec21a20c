"""Connections that send at once, with sockets that are real and a reactor that is not."""

import socket
from collections.abc import Iterator
from typing import Any

import pytest
from twisted.internet.protocol import Protocol

from eldercart.server.http.immediate_write import ImmediateWriteServer, flush


class Reactor:
    """Only tells what it was asked to watch."""

    def __init__(self) -> None:
        self.writers: list[Any] = []

    def addReader(self, _: Any) -> None:
        pass

    removeReader = addReader

    def addWriter(self, who: Any) -> None:
        self.writers.append(who)

    def removeWriter(self, who: Any) -> None:
        if who in self.writers:
            self.writers.remove(who)


@pytest.fixture
def pair() -> Iterator[tuple[ImmediateWriteServer, Reactor, socket.socket]]:
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    theirs.settimeout(5.0)
    reactor = Reactor()
    transport = ImmediateWriteServer(ours, Protocol(), ("a", 1), None, 1, reactor)
    yield transport, reactor, theirs
    ours.close()
    theirs.close()


def test_answer_leaves_without_another_turn(pair: Any) -> None:
    transport, reactor, theirs = pair
    transport.write(b"answer")
    assert theirs.recv(100) == b"answer"
    assert not reactor.writers


def test_connection_that_is_to_close_is_left_to_the_reactor(pair: Any) -> None:
    """Nothing is left to send, and yet it must be asked for: or it would never be closed, and a
    crowd that was sent away would hold all sockets."""
    transport, reactor, theirs = pair
    transport.write(b"go away")
    transport.loseConnection()
    assert reactor.writers == [transport]
    assert theirs.recv(100) == b"go away"


def test_full_socket_is_left_to_the_reactor(pair: Any) -> None:
    transport, reactor, theirs = pair
    transport.write(b"x" * 4_000_000)
    assert reactor.writers == [transport]
    got = 0
    while got < 4_000_000:
        transport.doWrite()
        got += len(theirs.recv(1_000_000))
    flush(transport)
    assert not reactor.writers
