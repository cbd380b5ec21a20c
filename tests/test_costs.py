"""Costs of frequent events, as counts that repeat exactly and don't depend on a clock.

Each bound is slightly above the count at the time when it was set. A test fails if work that was
optimized away returns."""

from typing import Any

import pytest
from twisted.internet.task import Clock
from twisted.web.client import URI

from benchmarks.relay_reports import (
    WorkerConnection,
    heartbeat_request,
    measure_unchanged_heartbeat,
    relay_node,
)
from eldercart.cluster.inventory import MachineState
from eldercart.persistence import learned_state
from eldercart.server.http.client import _InMemoryBody, _NumericHostEndpoints
from eldercart.server.http.server import IDLE_TIMEOUT_S
from eldercart.units import MachineId, MonotonicTime
from eldercart.wire import cloud
from simulators import CATALOG
from test_store_limits import leading_node

# Of 222 calls before an optimization, 58 served unused addresses, unused headers, timers that were
# restarted, and a proxy in front of a table.
MAX_CALLS_PER_HEARTBEAT = 167


def test_unchanged_heartbeat_takes_few_python_calls() -> None:
    assert measure_unchanged_heartbeat(relay_node(), 200).python_calls <= MAX_CALLS_PER_HEARTBEAT


def test_unchanged_heartbeat_is_answered_by_the_relay_alone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The relay answers it without a store write, a request to another node or a planning pass."""
    node = relay_node()
    forwarded: list[Any] = []

    def forward(pending: Any, *_: Any) -> None:
        forwarded.append(pending)
        pending.request.reply(200, b"{}")

    monkeypatch.setattr(node.relay_service.heartbeat_forwarding, "_forward", forward)
    monkeypatch.setattr(
        "eldercart.server.peers.heartbeat_forwarding.connected_link", lambda links, label: object()
    )
    monkeypatch.setattr(node.store, "_http", None)
    measure_unchanged_heartbeat(node, 10)
    assert len(forwarded) == 1, "the relay must forward only the first heartbeat"


def idle_connection() -> tuple[Clock, WorkerConnection]:
    """Return a connection and the clock that runs its timers."""
    clock = Clock()
    node = relay_node()
    build_protocol = node._http_factory.buildProtocol

    def build_with_clock(address: Any) -> Any:
        channel = build_protocol(address)
        channel.callLater = clock.callLater
        return channel

    node._http_factory.buildProtocol = build_with_clock  # type: ignore[method-assign]
    return clock, WorkerConnection(node)


def test_idle_connection_is_closed_by_a_single_timer() -> None:
    clock, connection = idle_connection()
    for sequence in range(1, 4):
        clock.advance(IDLE_TIMEOUT_S - 1.0)
        connection.send(b"GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n")
        assert len(clock.getDelayedCalls()) == 1, sequence
        assert not connection.transport.disconnecting
    clock.advance(IDLE_TIMEOUT_S + 1.0)
    assert connection.transport.disconnecting


def test_a_closed_connection_leaves_no_timer() -> None:
    clock, connection = idle_connection()
    connection.close()
    assert not clock.getDelayedCalls()


@pytest.mark.parametrize(
    ("header", "stays_open"),
    [(b"Connection: close", False), (b"CONNECTION: Close", False), (b"X: y", True)],
)
def test_connection_close_header_closes_the_connection(header: bytes, stays_open: bool) -> None:
    connection = WorkerConnection(relay_node())
    response = connection.send(b"GET /nowhere HTTP/1.1\r\nhost: a\r\n" + header + b"\r\n\r\n")
    assert response.startswith(b"HTTP/1.1 404 ")
    assert (b"connection: close" not in response) is stays_open
    assert connection.transport.disconnecting is not stays_open


def test_request_body_received_in_pieces_is_reassembled() -> None:
    connection = WorkerConnection(relay_node())
    whole = heartbeat_request("n-1", 1).replace(b'"whip":7', b'"whip":6')
    for byte in range(len(whole) - 1):
        assert connection.send(whole[byte : byte + 1]) == b""
    assert b'"whip":7' in connection.send(whole[-1:]), "the response must carry the relay's token"


def test_outgoing_request_is_written_without_delay() -> None:
    """Neither a name lookup nor a reactor iteration delays it."""
    written: list[bytes] = []

    class Consumer:
        def write(self, data: bytes) -> None:
            written.append(data)

    body = _InMemoryBody(b'{"lifeMs":2000}')
    produced = body.startProducing(Consumer())
    assert written == [b'{"lifeMs":2000}'] and body.length == 15 and produced.called
    endpoint = _NumericHostEndpoints(1.0).endpointForURI(URI.fromBytes(b"http://10.2.0.1:2379/txn"))
    assert (endpoint._host, endpoint._port, endpoint._timeout) == ("10.2.0.1", 2379, 1.0)


def test_encoded_sizes_of_machines_and_images_are_cached(monkeypatch: pytest.MonkeyPatch) -> None:
    node, _, _ = leading_node(None, cloud.parse_catalog(CATALOG))
    scheduler = node.leader_service.scheduler
    assert scheduler is not None
    machine_type = cloud.parse_catalog(CATALOG)["small"]
    for number in range(300):
        machine_id = MachineId(f"n-costs-{number}")
        machine = scheduler.inventory.add(
            machine_id,
            machine_type,
            "a",
            True,
            MachineState.UP,
            MonotonicTime(0.0),
            MonotonicTime(0.0),
        )
        machine.cached_images = {f"image-{number % 7}": 1.25}
    first = learned_state.learned_state_records(scheduler.cluster_state)
    encoded: list[Any] = []
    dumps = learned_state.orjson.dumps
    monkeypatch.setattr(
        learned_state.orjson, "dumps", lambda value: (encoded.append(value), dumps(value))[1]
    )
    assert learned_state.learned_state_records(scheduler.cluster_state) == first
    assert len(encoded) <= len(scheduler.cluster_state.predictor.run_time_sums()) * 2
