"""A seeded world of several nodes that hold duties: lost, late and repeated messages, nodes that
stall and die, clocks that lie, a state service that refuses one node or all.

It keeps a history of what the state service and the cloud accepted; `check_history` judges that
history by itself, without a look at any node."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import orjson

from eldercart.autoscaling.request_types import (
    DeleteMachines,
    MachineOffering,
    ScaleOut,
    ScaleOutRequest,
)
from eldercart.election.state_machine import (
    Campaign,
    Election,
    GrantLease,
    KeepLeaseAlive,
    ReadLeaderKey,
    RevokeLease,
    Role,
)
from eldercart.singleton.candidate_actions import Acquire, ReadDirectory, Release
from eldercart.singleton.eligibility import ClusterView
from eldercart.singleton.intents import WriteOutcome
from eldercart.singleton.lease_candidate import LeaseCandidate, LeaseState
from eldercart.singleton.write_ahead_gate import DispatchMode, DispatchPolicy, WriteAheadGate
from eldercart.units import (
    NO_FENCING_TOKEN,
    FencingToken,
    IncarnationId,
    LeaseId,
    MachineId,
    MonotonicTime,
    NodeId,
    Revision,
    WallTime,
)
from eldercart.wire import named_leases as wire
from eldercart.wire import state
from eldercart.wire.named_leases import LeaseName
from eldercart.wire.state import DeleteKey, Item, Put, Transaction
from simulators import StoreSim

STEP_S = 0.1
OUTCOMES = {200: WriteOutcome.COMMITTED, 409: WriteOutcome.CONFLICT, 503: WriteOutcome.REJECTED}
AnswerCallback = Callable[[int | None, Any], None]


@dataclass(frozen=True)
class AppliedChange:
    """A transaction that the state service carried out, or the end of a lease."""

    at: float
    sender: str  # the incarnation that sent it
    revision: int
    operations: list[dict[str, Any]]


@dataclass(frozen=True)
class CloudEffect:
    """Something that changed in the cloud: machines that came, or one that went."""

    at: float
    sender: str
    name: str  # of the rental, or of the machine
    kind: str  # "rent" or "delete"


@dataclass(frozen=True)
class NodeEvent:
    """Something that a node's process is known to have come to."""

    at: float
    node: str


@dataclass
class History:
    """What was accepted, and what was refused for a token."""

    applied: list[AppliedChange] = field(default_factory=list)
    effects: list[CloudEffect] = field(default_factory=list)
    rejected: int = 0  # writes of intents, and of the catalogue, under a token that was replaced
    cloud_calls: int = 0
    # Starts of processes that first have to hear which nodes take part, and when one was known to
    # have heard that all do. No starts: each node knows it from the first.
    starts: list[NodeEvent] = field(default_factory=list)
    support_confirmations: list[NodeEvent] = field(default_factory=list)


class World:
    """Nodes, the state service, the cloud and the messages between them."""

    def __init__(self, seed: int, nodes: int = 3, faults: bool = True) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.faults = faults
        self.store = StoreSim()
        self.history = History()
        self.machines: set[str] = set()
        self.rented: dict[str, list[str]] = {}
        self.machine_count = 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_number = 0
        self.outage_until: dict[str, float] = {}  # by node; "" for all
        self.cloud_outage_until = 0.0
        self.paused_leases: set[LeaseName] = set()
        labels = [NodeId(f"drover-{i}") for i in range(nodes)]
        self.nodes = [SimulatedNode(self, label, labels) for label in labels]

    # -- messages

    def schedule(self, delay: float, what: Callable[[], None]) -> None:
        self.event_number += 1
        heapq.heappush(self.events, (self.now + delay, self.event_number, what))

    def send(
        self, node: "SimulatedNode", serve: Callable[[], Any], answered: AnswerCallback
    ) -> None:
        """One request, and perhaps a late copy of it; the answer may be lost."""
        rng = self.rng
        life = node.incarnation_number

        def answer(value: Any) -> None:
            if node.incarnation_number == life:
                node.receive(lambda: answered(*value))

        def deliver() -> None:
            value = serve()
            if self.faults and rng.random() < 0.04:
                self.schedule(2.0, lambda: answer((None, None)))
            else:
                self.schedule(rng.uniform(0.001, 0.05), lambda: answer(value))

        if self.faults and rng.random() < 0.03:
            # Held back: the sender has given up long before it arrives.
            self.schedule(rng.uniform(2.0, 60.0), lambda: (serve(), None)[1])
            self.schedule(2.0, lambda: answer((None, None)))
            return
        self.schedule(rng.uniform(0.001, 0.05), deliver)
        if self.faults and rng.random() < 0.05:
            self.schedule(rng.uniform(0.5, 60.0), lambda: (serve(), None)[1])

    def _is_refusing(self, node: "SimulatedNode") -> bool:
        return self.now < max(
            self.outage_until.get("", 0.0), self.outage_until.get(node.node_id, 0.0)
        )

    def commit(self, node: "SimulatedNode", txn: Transaction, answered: AnswerCallback) -> None:
        body = txn.body()
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
                    not w.key.startswith(wire.LEASE_PREFIX) for w in txn.operations
                )
            return status, value

        self.send(node, serve, answered)

    def read_items(self, prefix: str) -> list[Item]:
        return [state.parse_item(orjson.dumps(item)) for item in self.store.range(prefix)]

    def read(self, node: "SimulatedNode", prefix: str, answered: AnswerCallback) -> None:
        def serve() -> tuple[int, Any]:
            if self._is_refusing(node):
                return 503, None
            return 200, (self.read_items(prefix), Revision(self.store.revision))

        self.send(node, serve, answered)

    def serve_lease(
        self, node: "SimulatedNode", action: str, value: Any, answered: AnswerCallback
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

        self.send(node, serve, answered)

    def _end_lease(self, lease: int) -> bool:
        keys = [key for key, (_, _, tether) in self.store.keys.items() if tether == lease]
        ended = self.store.end_lease(lease)
        gone = [{"delete": key} for key in keys]
        self.history.applied.append(AppliedChange(self.now, "", self.store.revision, gone))
        return ended

    # -- the cloud

    def call_cloud(
        self, node: "SimulatedNode", call: ScaleOut | DeleteMachines, answered: AnswerCallback
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

        self.send(node, serve, answered)

    def _rent(self, node: "SimulatedNode", request: ScaleOutRequest) -> tuple[int, Any]:
        if request.name not in self.rented:
            if len(self.machines) >= 30:
                return 503, b"no capacity"
            names = [f"n-{self.machine_count + i:06d}" for i in range(request.machine_count)]
            self.machine_count += request.machine_count
            self.machines |= set(names)
            self.rented[request.name] = names
            self.history.effects.append(CloudEffect(self.now, node.node_id, request.name, "rent"))
        return 200, self.rented[request.name]

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
        leaders = [n for n in self.nodes if n.is_leader]
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

    def _issue_operator_command(self, duty: LeaseName) -> None:
        """An operator pauses or resumes a duty, or hands it over."""
        key = wire.pause_key(duty)
        if key in self.store.keys:
            self.store.txn(Transaction({}, [DeleteKey(key)]).body())
        elif self.rng.random() < 0.3:
            value = wire.pause_value(wire.PauseRecord(WallTime(self.now), "test"))
            self.store.txn(Transaction({}, [Put(key, value)]).body())
        else:
            to = self.rng.choice(self.nodes).node_id
            value = wire.hand_over_value(wire.HandOverRecord(to, WallTime(self.now)))
            self.store.txn(Transaction({}, [Put(wire.hand_over_key(duty), value)]).body())

    def settle(self, seconds: float = 150.0) -> None:
        """All troubles end, and everything that is open is brought to its end."""
        self.faults = False
        self.outage_until.clear()
        self.cloud_outage_until = 0.0
        for node in self.nodes:
            node.frozen_until, node.clock_rate, node.issues_requests = 0.0, 1.0, False
        for duty in LeaseName:
            self.store.txn(Transaction({}, [DeleteKey(wire.pause_key(duty))]).body())
        self.run(seconds)
        # Whatever was rented, under names that were learned or not, is in the list.
        for node in self.nodes:
            if node.is_leader:
                listed = sorted(self.machines - node.marked_for_deletion)
                node.marked_for_deletion.update(listed)
                node.pending_calls += [DeleteMachines((MachineId(name),)) for name in listed]
        self.run(60.0)


class SimulatedNode:
    """One node: the real state machines of election, membership and gate, and a clock of its own.
    What it decides to send leaves at its next step, unless it stalls in between."""

    def __init__(self, world: World, label: NodeId, labels: list[NodeId]) -> None:
        self.world = world
        self.node_id = label
        self.node_ids = labels
        self.incarnation_number = 0
        self.clock_offset_s = world.rng.uniform(0.0, 1000.0)
        self.clock_rate = 1.0
        self.frozen_until = 0.0
        self.is_clock_stopped_while_frozen = False  # while it is frozen
        self.issues_requests = True  # for new rentals and returns
        self.lease_ttl_s: dict[int, float] = {}
        self._clock = self.clock_offset_s
        self._last_clock_read_at = world.now
        self.start()

    def start(self) -> None:
        self.incarnation_number += 1
        self.incarnation = IncarnationId(f"{self.node_id}.{self.incarnation_number}")
        self.election = Election(self.node_id, 2.0, 0.02, self.incarnation)
        self.candidate = LeaseCandidate(
            self.node_id, self.incarnation, tuple(LeaseName), 6.0, 0.02, 10.0, 20.0
        )
        self.gate: WriteAheadGate | None
        self.pending_calls: list[ScaleOut | DeleteMachines]
        self.marked_for_deletion: set[str]
        self.known_machines: set[str]
        self._drop_leadership()
        self.outbox: list[Callable[[], None]] = []
        self.inbox: list[Callable[[], None]] = []
        self.request_count = 0
        self.is_catalog_busy = False
        self.next_read_at = 0.0

    def restart(self, pause_s: float) -> None:
        self.frozen_until = self.world.now + pause_s
        self.is_clock_stopped_while_frozen = False
        self.start()

    @property
    def is_leader(self) -> bool:
        return self.gate is not None and self.election.role is Role.LEADER

    @property
    def is_frozen(self) -> bool:
        return self.world.now < self.frozen_until

    def clock(self) -> MonotonicTime:
        passed = self.world.now - self._last_clock_read_at
        self._last_clock_read_at = self.world.now
        if not (self.is_clock_stopped_while_frozen and passed > 5 * STEP_S):
            self._clock += passed * self.clock_rate
        return MonotonicTime(self._clock + self.clock_offset_s)

    def receive(self, answer: Callable[[], None]) -> None:
        if self.is_frozen:
            self.inbox.append(answer)
        else:
            answer()

    def step(self) -> None:
        if self.is_frozen:
            return
        # What was decided before a stall leaves first: between the check and this, anything may
        # have happened.
        outbox, self.outbox = self.outbox, []
        for send in outbox:
            send()
        inbox, self.inbox = self.inbox, []
        for answer in inbox:
            answer()
        now = self.clock()
        self._step_election(now)
        self._step_candidate(now)
        self._step_work(now)

    def _send_later(self, send: Callable[[], None]) -> None:
        self.outbox.append(send)

    # -- election

    def _step_election(self, now: MonotonicTime) -> None:
        e, world = self.election, self.world
        action = e.next_action(now)
        match action:
            case ReadLeaderKey():
                self._send_later(lambda: world.read(self, "lead", self._on_leader_key_read))
            case GrantLease(life_s):
                self._send_later(
                    lambda: world.serve_lease(self, "open", life_s, self._on_leader_lease_granted)
                )
            case KeepLeaseAlive(lease):
                self._send_later(
                    lambda: world.serve_lease(self, "renew", lease, self._on_leader_keep_alive)
                )
            case RevokeLease(lease):
                self._send_later(
                    lambda: world.serve_lease(self, "end", lease, self._on_leader_lease_revoked)
                )
            case Campaign(txn):
                self._send_later(lambda: world.commit(self, txn, self._on_campaign_result))
        if e.role is not Role.LEADER and self.gate is not None:
            self._drop_leadership()

    def _on_election_action_failed(self) -> None:
        action = self.election._action_in_flight
        assert action is not None
        self.election.on_action_failed(action, self.clock())

    def _drop_leadership(self) -> None:
        """The leadership is over, and with it what was known in its name."""
        self.gate, self.leader_token, self.pending_calls = None, NO_FENCING_TOKEN, []
        self.marked_for_deletion, self.known_machines = set(), set()

    def _on_leader_key_read(self, status: int | None, value: Any) -> None:
        if status != 200:
            self._on_election_action_failed()
            return
        items = value[0]
        self.election.on_leader_key_read(items[0] if items else None, self.clock())
        if self.election.role is Role.LEADER:
            self._on_elected()

    def _on_leader_lease_granted(self, status: int | None, lease: Any) -> None:
        if status == 200:
            self.election.on_lease_granted(lease, self.clock())
        else:
            self._on_election_action_failed()

    def _on_leader_keep_alive(self, status: int | None, _: Any) -> None:
        if status in (200, 404):
            self.election.on_keep_alive(status == 200, self.clock())
        else:
            self._on_election_action_failed()

    def _on_leader_lease_revoked(self, status: int | None, _: Any) -> None:
        if status in (200, 404):
            self.election.on_lease_revoked(self.clock())
        else:
            self._on_election_action_failed()

    def _on_campaign_result(self, status: int | None, value: Any) -> None:
        if status == 200:
            self.election.on_campaign_result(Revision(value["ledgerRev"]), self.clock())
            self._on_elected()
        elif status in (400, 409):
            self.election.on_campaign_result(None, self.clock(), lease_lost=status == 400)
        else:
            self._on_election_action_failed()

    def _on_elected(self) -> None:
        epoch = self.election.token

        def got(status: int | None, value: Any) -> None:
            if self.election.role is not Role.LEADER or self.election.token != epoch:
                return
            if status != 200:
                self._send_later(lambda: self.world.read(self, wire.INTENT_PREFIX, got))
                return
            gate = WriteAheadGate(epoch, 4000)
            for duty in gate.intent_logs:
                for intent in gate.load(duty, wire.find_intents_item(value[0], duty)):
                    if isinstance(intent, wire.ScaleOutIntent):
                        offer = MachineOffering(intent.machine_type, intent.zone, intent.spot)
                        request = ScaleOutRequest(intent.name, offer, intent.machine_count)
                        self.pending_calls.append(ScaleOut(request))
                    else:
                        self.marked_for_deletion.add(intent.name)
                        self.pending_calls.append(DeleteMachines((MachineId(intent.name),)))
            self.gate, self.leader_token = gate, epoch

        self._send_later(lambda: self.world.read(self, wire.INTENT_PREFIX, got))

    # -- duties

    def _cluster_view(self, now: MonotonicTime) -> ClusterView:
        busy = [duty for duty in LeaseName if self.gate is not None and self.gate.is_busy(duty)]
        return ClusterView(
            now=now,
            wall_time=WallTime(max(0.0, now)),
            leader=self.election.leader,
            leader_token=FencingToken(self.leader_token) if self.is_leader else NO_FENCING_TOKEN,
            supported_leases=tuple(LeaseName),
            candidates=self.node_ids,
            busy_leases=[*busy, *([LeaseName.CATALOG] * self.is_catalog_busy)],
        )

    def _step_candidate(self, now: MonotonicTime) -> None:
        m, world = self.candidate, self.world
        if world.now >= self.next_read_at:  # stands for the watch
            self.next_read_at = world.now + 0.5
            self._send_later(lambda: world.read(self, wire.LEASE_PREFIX, self._on_watch_read))
        action = m.next_action(self._cluster_view(now))
        match action:
            case ReadDirectory():
                self._send_later(
                    lambda: world.read(self, wire.LEASE_PREFIX, self._on_directory_read)
                )
            case GrantLease(life_s):
                self._send_later(
                    lambda: world.serve_lease(self, "open", life_s, self._on_lease_granted)
                )
            case KeepLeaseAlive(lease):
                self._send_later(
                    lambda: world.serve_lease(self, "renew", lease, self._on_keep_alive)
                )
            case Acquire(_, txn):
                self._send_later(lambda: world.commit(self, txn, self._on_acquired))
            case Release(_, txn):
                self._send_later(lambda: world.commit(self, txn, self._on_released))
        self._hand_over_leadership(now)

    def _hand_over_leadership(self, now: MonotonicTime) -> None:
        """As the adapter does."""
        e, m = self.election, self.candidate
        for duty in (LeaseName.SCALE_OUT, LeaseName.SCALE_IN, LeaseName.CLEANUP):
            if not m.is_reserved_for_other_node(duty, now):
                continue
            if e.role is Role.FOLLOWER and e.leader is not None:
                e.defer_candidacy(MonotonicTime(now + 1.0))
            elif self.is_leader and m.state(duty) is LeaseState.OBSERVER:
                e.resign(now)
                self._drop_leadership()
                return

    def _on_watch_read(self, status: int | None, value: Any) -> None:
        if status == 200:
            self.candidate.directory.apply_read(*value)

    def _on_directory_read(self, status: int | None, value: Any) -> None:
        if status == 200:
            self.candidate.directory.apply_read(*value)
            self.candidate.on_directory_read()
        else:
            self.candidate.on_action_failed(self.clock())

    def _on_lease_granted(self, status: int | None, lease: Any) -> None:
        if status == 200:
            self.candidate.on_lease_granted(lease)
        else:
            self.candidate.on_action_failed(self.clock())

    def _on_keep_alive(self, status: int | None, _: Any) -> None:
        if status in (200, 404):
            self.candidate.on_keep_alive(status == 200)
        else:
            self.candidate.on_action_failed(self.clock())

    def _on_transaction_result(
        self, status: int | None, value: Any, done: Callable[[Revision], None]
    ) -> None:
        if status == 200:
            done(Revision(value["ledgerRev"]))
        elif status in (400, 409):
            self.candidate.on_transaction_rejected(lease_lost=status == 400)
        else:
            self.candidate.on_action_failed(self.clock())

    def _on_acquired(self, status: int | None, value: Any) -> None:
        self._on_transaction_result(status, value, self.candidate.on_acquired)

    def _on_released(self, status: int | None, value: Any) -> None:
        self._on_transaction_result(status, value, self.candidate.on_released)

    # -- the work of the duties

    def _step_work(self, now: MonotonicTime) -> None:
        self._refresh_catalog(now)
        if not self.is_leader or self.gate is None:
            return
        world, gate = self.world, self.gate
        if self.issues_requests and world.rng.random() < 0.15:
            self._issue_random_request()
        routes = {}
        for duty in gate.intent_logs:
            token = self.candidate.usable_token(duty, now)
            held = self.candidate.held_token(duty)
            routes[duty] = (
                DispatchPolicy(DispatchMode.WRITE_AHEAD, token)
                if token
                else DispatchPolicy(DispatchMode.BLOCKED, held)
            )
        waiting, self.pending_calls = self.pending_calls, []
        for call in waiting:
            duty = LeaseName.SCALE_OUT if isinstance(call, ScaleOut) else LeaseName.SCALE_IN
            if routes[duty].mode is DispatchMode.WRITE_AHEAD and gate.has_capacity(duty):
                gate.admit(call, WallTime(max(0.0, now)))
            else:
                self.pending_calls.append(call)
        out = gate.process(routes, True, now)
        for call in out.calls_to_send:
            self._send(gate, call)
        self.pending_calls += out.rejected_calls
        for duty, write in out.writes:
            self._write(gate, duty, write)
        for duty in out.leases_to_refresh:
            self._refresh(gate, duty)

    def _issue_random_request(self) -> None:
        rng, epoch = self.world.rng, self.leader_token
        reporting = (
            self.known_machines & self.world.machines
        )  # nothing is placed where nobody reports
        free = sorted(reporting - self.marked_for_deletion)
        if free and rng.random() < 0.5:
            name = rng.choice(free)
            if rng.random() < 0.5:
                txn = Transaction({"lead": Revision(epoch)}, [Put(f"use/{name}", self.node_id)])
                self._send_later(lambda: self.world.commit(self, txn, lambda *_: None))
                return
            self.marked_for_deletion.add(name)
            self.pending_calls.append(DeleteMachines((MachineId(name),)))
        elif len(self.pending_calls) < 5:
            self.request_count += 1
            name = f"{self.node_id}-{self.incarnation_number}-{epoch}-{self.request_count}"
            offer = MachineOffering("small", "a", False)
            self.pending_calls.append(ScaleOut(ScaleOutRequest(name, offer, rng.randint(1, 3))))

    def _send(self, gate: WriteAheadGate, call: ScaleOut | DeleteMachines) -> None:
        def answered(status: int | None, value: Any) -> None:
            final = status == 200 or value == b"no capacity"
            gate.on_answer(call, final, self.clock())
            if gate is not self.gate:
                return
            if not final:
                self.pending_calls.append(call)
            elif isinstance(call, ScaleOut) and status == 200:
                self.known_machines |= set(value)

        self._send_later(lambda: self.world.call_cloud(self, call, answered))

    def _write(self, gate: WriteAheadGate, duty: LeaseName, write: Any) -> None:
        def answered(status: int | None, value: Any) -> None:
            outcome = OUTCOMES.get(status or 0, WriteOutcome.INDETERMINATE)
            revision = Revision(value["ledgerRev"] if status == 200 else 0)
            if status == 409 and wire.holder_key(duty) in value["failed"]:
                self.candidate.on_write_fenced()
            gate.on_write_result(duty, write, outcome, revision, self.clock())

        self._send_later(lambda: self.world.commit(self, write.transaction, answered))

    def _refresh(self, gate: WriteAheadGate, duty: LeaseName) -> None:
        def answered(status: int | None, value: Any) -> None:
            items = value[0] if status == 200 else []
            gate.on_record_refreshed(duty, status == 200, wire.find_intents_item(items, duty))

        self._send_later(lambda: self.world.read(self, wire.intents_key(duty), answered))

    def _refresh_catalog(self, now: MonotonicTime) -> None:
        token = self.candidate.usable_token(LeaseName.CATALOG, now)
        if token is None or self.is_catalog_busy or self.world.rng.random() > 0.1:
            return
        self.is_catalog_busy = True
        txn = Transaction(
            {wire.holder_key(LeaseName.CATALOG): Revision(token)}, [Put("catalog", self.node_id)]
        )

        def answered(status: int | None, value: Any) -> None:
            self.is_catalog_busy = False
            if status == 409:
                self.candidate.on_write_fenced()

        self._send_later(lambda: self.world.commit(self, txn, answered))


# -- the checker


def check_history(history: History, identity: str = "life") -> None:
    """Judges what was accepted, from the accepted changes alone: who held what when each of them
    was made is told by the changes before it. `identity`: the field of holder keys that names who
    sends, the incarnation or the node."""
    holders: dict[str, Any] = {}  # who holds the leader key and each duty
    recorded: dict[str, float] = {}  # names in any accepted record of intents, and since when
    condemned: dict[str, str] = {}  # machines, and who has condemned them
    begun = False  # before the first duty is taken, the leader writes without a token
    for change in history.applied:
        for write in change.operations:
            key = write.get("put") or write["delete"]
            duty = _lease_of(key)
            begun = begun or key.startswith(wire.HOLDER_PREFIX)
            if duty is not None and begun:
                holder = holders.get(wire.holder_key(duty))
                assert holder == change.sender, f"{key} written by {change.sender}, not {holder}"
            if key.startswith((wire.INTENT_PREFIX, "use/")):
                leader = holders.get("lead")
                assert leader == change.sender, f"{key} written by {change.sender}, not {leader}"
            if key.startswith(wire.INTENT_PREFIX):
                names = [obj["n"] for obj in write["v"]["i"]]
                for name in names:
                    recorded.setdefault(name, change.at)
                if duty is LeaseName.SCALE_IN:
                    condemned |= {name: condemned.get(name, change.sender) for name in names}
            if key.startswith("use/"):
                # Its own writes may overtake each other; it knows what it has condemned.
                by = condemned.get(key[len("use/") :], change.sender)
                assert by == change.sender, f"{key} after {by} had condemned it"
            if key == "lead" or key.startswith(wire.HOLDER_PREFIX):
                holders[key] = write["v"][identity] if "put" in write else None
    effects: set[str] = set()
    for effect in history.effects:
        assert effect.name not in effects, f"{effect.name} took effect twice"
        effects.add(effect.name)
        if _may_lack_intent(history, effect):
            continue
        assert effect.name in recorded, f"{effect.kind} {effect.name} without an intent"
        assert recorded[effect.name] <= effect.at, f"{effect.name} before its intent"


def _may_lack_intent(history: History, effect: CloudEffect) -> bool:
    """Whether the sender leads and, as far as its process has shown, has not yet heard all nodes:
    until then it calls the cloud directly ("Without tokens" in docs/design-duties.md)."""
    starts = [
        start.at
        for start in history.starts
        if start.node == effect.sender and start.at <= effect.at
    ]
    if not starts:
        return False
    started_at = max(starts)
    if any(
        event.node == effect.sender and started_at < event.at <= effect.at
        for event in history.support_confirmations
    ):
        return False
    leader = None
    for change in history.applied:
        if not started_at < change.at <= effect.at:
            continue
        for write in change.operations:
            key = write.get("put") or write["delete"]
            if key == "lead":
                leader = change.sender if "put" in write else None
            if key.startswith(wire.HOLDER_PREFIX) and change.sender == effect.sender:
                return False  # nobody asks for a duty before it has heard all nodes
    return leader == effect.sender


def _lease_of(key: str) -> LeaseName | None:
    if key.startswith(wire.INTENT_PREFIX):
        return LeaseName(key[len(wire.INTENT_PREFIX) :])
    return LeaseName.CATALOG if key == "catalog" else None


def check_end(world: World) -> None:
    """After everything has settled: nothing is open, and each machine is returned."""
    if not all(wire.holder_key(duty) in world.store.keys for duty in LeaseName):
        world.run(15.0)  # one is just changing hands
    leaders = [node for node in world.nodes if node.is_leader]
    assert len(leaders) == 1, "one leader"
    for duty in LeaseName:
        assert wire.holder_key(duty) in world.store.keys, f"nobody holds {duty}"
    assert not world.machines, "machines that nobody can return"
    for item in world.read_items(wire.INTENT_PREFIX):
        assert item.value["i"] == [], f"left open: {item.key} {item.value}"
