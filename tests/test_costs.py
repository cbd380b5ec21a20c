"""What frequent events cost, in counts that repeat exactly: no clock is looked at.

Each bound is a little above what was counted when it was set, and fails when the work that was
saved comes back."""

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
from test_limits import leading_node

# Of 222 calls, 58 went to addresses that nobody read, to headers that nobody read, to timers that
# were stopped and started again, and to a proxy in front of a table.
MOST_CALLS_PER_REPORT = 167


def test_an_unchanged_report_takes_few_calls() -> None:
    assert measure_unchanged_heartbeat(relay_node(), 200).python_calls <= MOST_CALLS_PER_REPORT


def test_an_unchanged_report_goes_nowhere(monkeypatch: pytest.MonkeyPatch) -> None:
    """It writes nothing, asks nobody and plans nothing: the relay answers it by itself."""
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
    assert len(forwarded) == 1, "the first one of all"


def idle_connection() -> tuple[Clock, WorkerConnection]:
    """A connection whose timers run by the clock that is returned."""
    clock = Clock()
    node = relay_node()
    made = node._http_factory.buildProtocol

    def build(address: Any) -> Any:
        channel = made(address)
        channel.callLater = clock.callLater
        return channel

    node._http_factory.buildProtocol = build  # type: ignore[method-assign]
    return clock, WorkerConnection(node)


def test_one_timer_ends_an_idle_connection() -> None:
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
    ("header", "stays"),
    [(b"Connection: close", False), (b"CONNECTION: Close", False), (b"X: y", True)],
)
def test_headers_that_matter_are_read(header: bytes, stays: bool) -> None:
    connection = WorkerConnection(relay_node())
    answer = connection.send(b"GET /nowhere HTTP/1.1\r\nhost: a\r\n" + header + b"\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 404 ")
    assert (b"connection: close" not in answer) is stays
    assert connection.transport.disconnecting is not stays


def test_a_body_in_pieces_is_read_whole() -> None:
    connection = WorkerConnection(relay_node())
    whole = heartbeat_request("n-1", 1).replace(b'"whip":7', b'"whip":6')
    for byte in range(len(whole) - 1):
        assert connection.send(whole[byte : byte + 1]) == b""
    assert b'"whip":7' in connection.send(whole[-1:]), "it learns the epoch"


def test_a_request_of_this_node_is_written_at_once() -> None:
    """Neither a name is looked up nor a turn of the loop waited for."""
    written: list[bytes] = []

    class Consumer:
        def write(self, data: bytes) -> None:
            written.append(data)

    body = _InMemoryBody(b'{"lifeMs":2000}')
    produced = body.startProducing(Consumer())
    assert written == [b'{"lifeMs":2000}'] and body.length == 15 and produced.called
    endpoint = _NumericHostEndpoints(1.0).endpointForURI(URI.fromBytes(b"http://10.2.0.1:2379/txn"))
    assert (endpoint._host, endpoint._port, endpoint._timeout) == ("10.2.0.1", 2379, 1.0)


def test_sizes_of_what_machines_hold_are_worked_out_once(monkeypatch: pytest.MonkeyPatch) -> None:
    node, _, _ = leading_node(None, cloud.parse_catalog(CATALOG))
    controller = node.leader_service.scheduler
    assert controller is not None
    kind = cloud.parse_catalog(CATALOG)["small"]
    for number in range(300):
        name = MachineId(f"n-costs-{number}")
        machine = controller.inventory.add(
            name, kind, "a", True, MachineState.UP, MonotonicTime(0.0), MonotonicTime(0.0)
        )
        machine.cached_images = {f"image-{number % 7}": 1.25}
    first = learned_state.learned_state_records(controller.cluster_state)
    encoded: list[Any] = []
    dumps = learned_state.orjson.dumps
    monkeypatch.setattr(learned_state.orjson, "dumps", lambda v: (encoded.append(v), dumps(v))[1])
    assert learned_state.learned_state_records(controller.cluster_state) == first
    assert len(encoded) <= len(controller.cluster_state.predictor.run_time_sums()) * 2
