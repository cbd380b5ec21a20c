"""The cost of a worker's heartbeat at the node that answers it.

The real HTTP channel is driven through an in-memory transport: nothing is sent over a socket, and
nothing waits for a timer. The number of Python calls is therefore reproducible with the same
library versions, and the measured time is CPU time only. Run from the root of the repository:

    PYTHONPATH=src:target/deps:tests python3 -m benchmarks.relay_reports
"""

import cProfile
import pstats
import time
from dataclasses import dataclass
from typing import Any

import orjson
from twisted.internet.testing import StringTransport

from eldercart.server.controller_node import ControllerNode
from eldercart.units import (
    AgentEpoch,
    FencingToken,
    HeartbeatSequence,
    MachineId,
    MonotonicTime,
    NodeId,
)
from test_store_limits import node_with_clock

TASKS_PER_MACHINE = 4
WARM_UP_HEARTBEATS = 50  # before the measurement starts
MICROSECONDS_PER_S = 1e6


@dataclass(frozen=True, slots=True)
class RequestCost:
    """The average cost of one request."""

    python_calls: float
    microseconds: float


class WorkerConnection:
    """A persistent connection of a worker to the node."""

    def __init__(self, node: ControllerNode) -> None:
        """Connect; the node counts the connection like one from the network."""
        self.transport = InMemoryTransport()
        self.http_channel: Any = node._http_factory.buildProtocol(None)
        self.http_channel.makeConnection(self.transport)

    def send(self, request: bytes) -> bytes:
        """Send a request and return what the node writes before the call returns."""
        self.transport.clear()
        self.http_channel.dataReceived(request)
        return bytes(self.transport.value())

    def close(self) -> None:
        """Close the connection and stop its timers."""
        self.http_channel.connectionLost(None)


class InMemoryTransport(StringTransport):
    """A transport with the interface of a TCP transport, without a socket."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Do nothing: there is no socket."""


def relay_node() -> ControllerNode:
    """Return a node that answers workers under a relay lease granted by another node."""
    node, clock = node_with_clock(None)
    now = MonotonicTime(clock())
    node.relay_service.relay.renew_lease(FencingToken(7), NodeId("drover-1"), now, now)
    return node


def heartbeat_request(machine: str, sequence: int) -> bytes:
    """Return the HTTP request of a heartbeat; those of a machine differ only in the sequence."""
    tasks = [
        {"parcel": f"wk-{index:06d}/{index}", "try": 1, "standing": "running"}
        for index in range(TASKS_PER_MACHINE)
    ]
    body = orjson.dumps(
        {
            "wagon": machine,
            "address": "10.1.0.2:9000",
            "breed": "small",
            "yard": "a",
            "loaners": True,
            "stint": 1,
            "tally": sequence,
            "whip": 7,
            "recallS": None,
            "parcels": tasks,
        }
    )
    head = (
        "POST /v1/report HTTP/1.1\r\nHost: 10.0.0.1:8080\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def measure_unchanged_heartbeat(node: ControllerNode, heartbeats: int) -> RequestCost:
    """Measure unchanged heartbeats sent one after another on one connection."""
    relay = node.relay_service.relay
    connection = WorkerConnection(node)
    first = heartbeat_request("n-1", 1)
    connection.send(first)  # it is forwarded; no leader replies
    machine = MachineId("n-1")
    tasks = orjson.loads(first.partition(b"\r\n\r\n")[2])["parcels"]
    relay.on_leader_response(machine, HeartbeatSequence(AgentEpoch(1), 1), False, tasks, False)
    node.relay_service.heartbeat_forwarding.expire_pending(MonotonicTime(node.clock() + 60))
    count = WARM_UP_HEARTBEATS + heartbeats
    requests = [heartbeat_request("n-1", sequence) for sequence in range(2, 2 + count)]
    for request in requests[:WARM_UP_HEARTBEATS]:
        assert b'"whip":7' in connection.send(request), "the node must answer by itself"
    profiled_until = WARM_UP_HEARTBEATS + heartbeats // 2
    python_calls = _count_calls(connection, requests[WARM_UP_HEARTBEATS:profiled_until])
    spent_s = _time_requests(connection, requests[profiled_until:])
    connection.close()
    return RequestCost(python_calls, spent_s * MICROSECONDS_PER_S)


def _count_calls(connection: WorkerConnection, requests: list[bytes]) -> float:
    """Return the average number of Python calls per request."""
    profile = cProfile.Profile()
    profile.enable()
    for request in requests:
        connection.send(request)
    profile.disable()
    total_calls: int = pstats.Stats(profile).total_calls  # type: ignore[attr-defined]
    return total_calls / len(requests)


def _time_requests(connection: WorkerConnection, requests: list[bytes]) -> float:
    """Return the average CPU seconds per request."""
    started_s = time.process_time()
    for request in requests:
        connection.send(request)
    return (time.process_time() - started_s) / len(requests)


def main() -> None:
    """Print the average cost of an unchanged heartbeat."""
    cost = measure_unchanged_heartbeat(relay_node(), 8000)
    print(f"unchanged report: {cost.python_calls:.1f} calls, {cost.microseconds:.0f} us")


__all__ = ["RequestCost", "WorkerConnection", "measure_unchanged_heartbeat", "relay_node"]

if __name__ == "__main__":
    main()
