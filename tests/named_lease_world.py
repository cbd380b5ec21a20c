"""Seeded simulation of several nodes that hold named leases.

Its faults are lost, delayed and duplicated messages, nodes that stall and restart, clocks that jump
or run at a wrong rate, and a state service that rejects the requests of one node or of all nodes.

The simulation records what the state service and the cloud accepted.
`named_lease_history.check_history` verifies this history without inspecting any node.
"""

import heapq
import random
from collections.abc import Callable
from typing import Any

import orjson

from eldercart.autoscaling.request_types import DeleteMachines, ScaleOut, ScaleOutRequest
from eldercart.units import (
    LeaseId,
    MachineId,
    NodeId,
    Revision,
    WallTime,
)
from eldercart.wire import named_leases as wire
from eldercart.wire import state
from eldercart.wire.named_leases import LeaseName
from eldercart.wire.state import DeleteKey, Item, Put, Transaction
from named_lease_history import AppliedChange, CloudEffect, History
from named_lease_node import STEP_S, AnswerCallback, SimulatedNode
from simulators import StoreSim


class NamedLeaseWorld:
    """Simulates the nodes, the state service, the cloud and the messages between them."""

    def __init__(self, seed: int, nodes: int = 3, faults: bool = True) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.faults = faults
        self.store = StoreSim()
        self.history = History()
        self.machines: set[str] = set()
        self.machines_by_request: dict[str, list[str]] = {}
        self.machine_count = 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_number = 0
        # Ends of the state service's outages, by node; "" means all nodes.
        self.outage_until: dict[str, float] = {}
        self.cloud_outage_until = 0.0
        self.paused_leases: set[LeaseName] = set()
        node_ids = [NodeId(f"drover-{i}") for i in range(nodes)]
        self.nodes = [SimulatedNode(self, label, node_ids) for label in node_ids]

    # -- messages

    def schedule(self, delay: float, callback: Callable[[], None]) -> None:
        self.event_number += 1
        heapq.heappush(self.events, (self.now + delay, self.event_number, callback))

    def send(
        self, node: "SimulatedNode", serve: Callable[[], Any], on_answer: AnswerCallback
    ) -> None:
        """Send one request, and perhaps a delayed copy of it. The answer may be lost."""
        rng = self.rng
        sent_by_incarnation = node.incarnation_number

        def deliver_answer(value: Any) -> None:
            if node.incarnation_number == sent_by_incarnation:
                node.receive(lambda: on_answer(*value))

        def deliver_request() -> None:
            value = serve()
            if self.faults and rng.random() < 0.04:
                self.schedule(2.0, lambda: deliver_answer((None, None)))
            else:
                self.schedule(rng.uniform(0.001, 0.05), lambda: deliver_answer(value))

        if self.faults and rng.random() < 0.03:
            # The request is delayed: the sender times out before the request arrives.
            self.schedule(rng.uniform(2.0, 60.0), lambda: (serve(), None)[1])
            self.schedule(2.0, lambda: deliver_answer((None, None)))
            return
        self.schedule(rng.uniform(0.001, 0.05), deliver_request)
        if self.faults and rng.random() < 0.05:
            self.schedule(rng.uniform(0.5, 60.0), lambda: (serve(), None)[1])

    def _is_refusing(self, node: "SimulatedNode") -> bool:
        return self.now < max(
            self.outage_until.get("", 0.0), self.outage_until.get(node.node_id, 0.0)
        )

    def commit(
        self, node: "SimulatedNode", transaction: Transaction, on_answer: AnswerCallback
    ) -> None:
        body = transaction.body()
        sender = node.incarnation

        def serve() -> tuple[int, Any]:
            if self._is_refusing(node):
                return 503, {}
            status, value = self.store.txn(body)
            if status == 200:
                writes = orjson.loads(body)["writes"]
                self.history.applied.append(
                    AppliedChange(self.now, sender, value["ledgerRev"], writes)
                )
            elif status == 409 and any(k.startswith(wire.HOLDER_PREFIX) for k in value["failed"]):
                self.history.rejected += any(
                    not w.key.startswith(wire.LEASE_PREFIX) for w in transaction.operations
                )
            return status, value

        self.send(node, serve, on_answer)

    def read_items(self, prefix: str) -> list[Item]:
        return [state.parse_item(orjson.dumps(item)) for item in self.store.range(prefix)]

    def read(self, node: "SimulatedNode", prefix: str, on_answer: AnswerCallback) -> None:
        def serve() -> tuple[int, Any]:
            if self._is_refusing(node):
                return 503, None
            return 200, (self.read_items(prefix), Revision(self.store.revision))

        self.send(node, serve, on_answer)

    def serve_lease(
        self, node: "SimulatedNode", action: str, value: Any, on_answer: AnswerCallback
    ) -> None:
        def serve() -> tuple[int, Any]:
            if self._is_refusing(node):
                return 503, None
            if action == "open":
                self.store.next_lease += 1
                self.store.leases[self.store.next_lease] = self.now + value
                node.lease_ttl_s[self.store.next_lease] = value
                return 200, LeaseId(self.store.next_lease)
            if action == "end":
                return (200, None) if self._end_lease(value) else (404, None)
            if value not in self.store.leases:
                return 404, None
            self.store.leases[value] = self.now + node.lease_ttl_s[value]
            return 200, None

        self.send(node, serve, on_answer)

    def _end_lease(self, lease: int) -> bool:
        keys = [key for key, (_, _, tether) in self.store.keys.items() if tether == lease]
        ended = self.store.end_lease(lease)
        operations = [{"delete": key} for key in keys]
        self.history.applied.append(AppliedChange(self.now, "", self.store.revision, operations))
        return ended

    # -- the cloud

    def call_cloud(
        self, node: "SimulatedNode", call: ScaleOut | DeleteMachines, on_answer: AnswerCallback
    ) -> None:
        self.history.cloud_calls += 1

        def serve() -> tuple[int, Any]:
            if self.now < self.cloud_outage_until:
                return 503, b"trouble"
            if isinstance(call, DeleteMachines):
                for name in call.machines:
                    if name in self.machines:
                        self.machines.discard(name)
                        self.history.effects.append(
                            CloudEffect(self.now, node.node_id, name, "delete")
                        )
                return 200, []
            return self._rent(node, call.request)

        self.send(node, serve, on_answer)

    def _rent(self, node: "SimulatedNode", request: ScaleOutRequest) -> tuple[int, Any]:
        if request.name not in self.machines_by_request:
            if len(self.machines) >= 30:
                return 503, b"no capacity"
            names = [f"n-{self.machine_count + i:06d}" for i in range(request.machine_count)]
            self.machine_count += request.machine_count
            self.machines |= set(names)
            self.machines_by_request[request.name] = names
            self.history.effects.append(CloudEffect(self.now, node.node_id, request.name, "rent"))
        return 200, self.machines_by_request[request.name]

    # -- time

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            while self.events and self.events[0][0] <= self.now:
                heapq.heappop(self.events)[2]()
            outage = self.now < self.outage_until.get("", 0.0)
            for lease, until in list(self.store.leases.items()):
                if outage:
                    self.store.leases[lease] = max(until, self.now + 2.0)
                elif until < self.now:
                    self._end_lease(lease)
            if self.faults:
                self._cause_fault()
            for node in self.nodes:
                node.step()

    def _cause_fault(self) -> None:
        rng = self.rng
        if rng.random() > 0.04:
            return
        node = rng.choice(self.nodes)
        leaders = [node for node in self.nodes if node.is_leader]
        if leaders and rng.random() < 0.6:
            node = leaders[0]
        match rng.randrange(8):
            case 0 | 1:
                node.frozen_until = self.now + rng.choice([0.3, 2.0, 5.0, 20.0])
                node.is_clock_stopped_while_frozen = rng.random() < 0.5
            case 2:
                node.restart(rng.choice([0.1, 3.0]))
            case 3:
                self.outage_until[node.node_id] = self.now + rng.uniform(1.0, 12.0)
            case 4:
                self.outage_until[""] = self.now + rng.uniform(0.5, 8.0)
            case 5:
                node.clock_offset_s += rng.choice([-3.0, 3.0, -30.0, 30.0])
                node.clock_rate = rng.choice([0.5, 0.9995, 1.0, 1.0005, 2.0])
            case 6:
                self.cloud_outage_until = self.now + rng.uniform(0.5, 10.0)
            case 7:
                self._issue_operator_command(rng.choice(list(LeaseName)))

    def _issue_operator_command(self, lease_name: LeaseName) -> None:
        """An operator pauses or resumes a lease, or hands it over."""
        key = wire.pause_key(lease_name)
        if key in self.store.keys:
            self.store.txn(Transaction({}, [DeleteKey(key)]).body())
        elif self.rng.random() < 0.3:
            value = wire.pause_value(wire.PauseRecord(WallTime(self.now), "test"))
            self.store.txn(Transaction({}, [Put(key, value)]).body())
        else:
            receiver = self.rng.choice(self.nodes).node_id
            value = wire.hand_over_value(wire.HandOverRecord(receiver, WallTime(self.now)))
            self.store.txn(Transaction({}, [Put(wire.hand_over_key(lease_name), value)]).body())

    def settle(self, seconds: float = 150.0) -> None:
        """End all faults, let all open work complete, and delete all machines that remain."""
        self.faults = False
        self.outage_until.clear()
        self.cloud_outage_until = 0.0
        for node in self.nodes:
            node.frozen_until, node.clock_rate, node.issues_requests = 0.0, 1.0, False
        for lease_name in LeaseName:
            self.store.txn(Transaction({}, [DeleteKey(wire.pause_key(lease_name))]).body())
        self.run(seconds)
        # The list has every machine, even one whose name no node received from the cloud.
        for node in self.nodes:
            if node.is_leader:
                listed = sorted(self.machines - node.marked_for_deletion)
                node.marked_for_deletion.update(listed)
                node.pending_calls += [DeleteMachines((MachineId(name),)) for name in listed]
        self.run(60.0)


def check_final_state(world: NamedLeaseWorld) -> None:
    """Check the state after `settle`.

    One node is the leader, every named lease is held, every machine is deleted and no intent is
    open.
    """
    if not all(wire.holder_key(lease_name) in world.store.keys for lease_name in LeaseName):
        world.run(15.0)  # a lease is just being acquired by its next holder
    leaders = [node for node in world.nodes if node.is_leader]
    assert len(leaders) == 1, "there must be exactly one leader"
    for lease_name in LeaseName:
        assert wire.holder_key(lease_name) in world.store.keys, f"no node holds {lease_name}"
    assert not world.machines, "some machines were not deleted"
    for item in world.read_items(wire.INTENT_PREFIX):
        assert item.value["i"] == [], f"intents are still open: {item.key} {item.value}"
