"""What a worker's report costs at the node that answers it.

The real HTTP channel is driven through a transport in memory, so nothing is sent and no clock is
waited for: the number of Python calls repeats exactly on the same versions of the libraries, and
the time is that of the processor alone. Run from the root of the repository:

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
from test_limits import node_with_clock

TASKS_PER_MACHINE = 4  # that each worker holds
WARM_UP_HEARTBEATS = 50  # reports before anything is counted


@dataclass(frozen=True, slots=True)
class RequestCost:
    """What one request costs on average."""

    python_calls: float
    microseconds: float


class WorkerConnection:
    """A kept connection of a worker to the node."""

    def __init__(self, node: ControllerNode) -> None:
        """Connects; the node's factory counts the connection as any other."""
        self.transport = InMemoryTransport()
        self.http_channel: Any = node._http_factory.buildProtocol(None)
        self.http_channel.makeConnection(self.transport)

    def send(self, request: bytes) -> bytes:
        """What the node writes in answer to the request, at once."""
        self.transport.clear()
        self.http_channel.dataReceived(request)
        return bytes(self.transport.value())

    def close(self) -> None:
        """The worker leaves; its timers end with the connection."""
        self.http_channel.connectionLost(None)


class InMemoryTransport(StringTransport):
    """Takes what a TCP transport takes."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Without effect in memory."""


def relay_node() -> ControllerNode:
    """A node that answers for another one's leadership."""
    node, clock = node_with_clock(None)
    now = MonotonicTime(clock())
    node.relay_service.relay.renew_lease(FencingToken(7), NodeId("drover-1"), now, now)
    return node


def heartbeat_request(machine: str, sequence: int) -> bytes:
    """A report as workers send it: nothing has changed but its sequence number."""
    tasks = [
        {"parcel": f"wk-{n:06d}/{n}", "try": 1, "standing": "running"}
        for n in range(TASKS_PER_MACHINE)
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
    """Of reports that tell nothing new, one after the other on a kept connection."""
    relay = node.relay_service.relay
    connection = WorkerConnection(node)
    first = heartbeat_request("n-1", 1)
    connection.send(first)  # is handed on, and nobody answers
    machine = MachineId("n-1")
    tasks = orjson.loads(first.partition(b"\r\n\r\n")[2])["parcels"]
    relay.on_leader_response(machine, HeartbeatSequence(AgentEpoch(1), 1), False, tasks, False)
    node.relay_service.heartbeat_forwarding.expire_pending(MonotonicTime(node.clock() + 60))
    sent = [heartbeat_request("n-1", n) for n in range(2, 2 + WARM_UP_HEARTBEATS + heartbeats)]
    for one in sent[:WARM_UP_HEARTBEATS]:
        assert b'"whip":7' in connection.send(one), "answered here"
    profile = cProfile.Profile()
    half = sent[WARM_UP_HEARTBEATS : WARM_UP_HEARTBEATS + heartbeats // 2]
    profile.enable()
    for one in half:
        connection.send(one)
    profile.disable()
    calls = pstats.Stats(profile).total_calls / len(half)  # type: ignore[attr-defined]
    rest = sent[WARM_UP_HEARTBEATS + heartbeats // 2 :]
    began = time.process_time()
    for one in rest:
        connection.send(one)
    spent = time.process_time() - began
    connection.close()
    return RequestCost(calls, spent / len(rest) * 1e6)


def main() -> None:
    """Prints the costs."""
    cost = measure_unchanged_heartbeat(relay_node(), 8000)
    print(f"unchanged report: {cost.python_calls:.1f} calls, {cost.microseconds:.0f} us")


__all__ = ["RequestCost", "WorkerConnection", "measure_unchanged_heartbeat", "relay_node"]

if __name__ == "__main__":
    main()
