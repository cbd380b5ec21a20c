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

from eldercart.autoscaling.autoscaler import Offer, RentalRequest
from eldercart.autoscaling.cloud_requests import Delete, Rent
from eldercart.election.state_machine import (
    Claim,
    Election,
    OpenLease,
    ReadLead,
    RenewLease,
    RevokeLease,
    Role,
)
from eldercart.singleton.intents import WriteOutcome
from eldercart.singleton.lease_candidate import (
    Acquire,
    DutyMembership,
    DutyState,
    ReadBoard,
    Release,
)
from eldercart.singleton.lease_candidate import Situation as DutySituation
from eldercart.singleton.write_ahead_gate import CloudGate, Path, Route
from eldercart.units import (
    NO_EPOCH,
    Epoch,
    IncarnationId,
    LeaseId,
    MachineId,
    NodeId,
    Revision,
    Steady,
    WallTime,
)
from eldercart.wire import named_leases as wire
from eldercart.wire import state
from eldercart.wire.named_leases import DutyName
from eldercart.wire.state import Drop, Item, Put, Txn
from simulators import StoreSim

STEP_S = 0.1
OUTCOMES = {200: WriteOutcome.DONE, 409: WriteOutcome.CONFLICT, 503: WriteOutcome.REFUSED}
Answered = Callable[[int | None, Any], None]


@dataclass(frozen=True)
class Applied:
    """A transaction that the state service carried out, or the end of a lease."""

    at: float
    sender: str  # the incarnation that sent it
    revision: int
    writes: list[dict[str, Any]]


@dataclass(frozen=True)
class CloudEffect:
    """Something that changed in the cloud: machines that came, or one that went."""

    at: float
    sender: str
    name: str  # of the rental, or of the machine
    kind: str  # "rent" or "delete"


@dataclass
class History:
    """What was accepted, and what was refused for a token."""

    applied: list[Applied] = field(default_factory=list)
    effects: list[CloudEffect] = field(default_factory=list)
    refused: int = 0  # writes of intents, and of the catalogue, under a token that was replaced
    cloud_calls: int = 0


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
        self.count = 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = 0
        self.refused_until: dict[str, float] = {}  # by node; "" for all
        self.cloud_out_until = 0.0
        self.paused: set[DutyName] = set()
        labels = [NodeId(f"drover-{i}") for i in range(nodes)]
        self.nodes = [DutyNode(self, label, labels) for label in labels]

    # -- messages

    def at(self, delay: float, what: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.events, (self.now + delay, self.order, what))

    def send(self, node: "DutyNode", serve: Callable[[], Any], answered: Answered) -> None:
        """One request, and perhaps a late copy of it; the answer may be lost."""
        rng = self.rng
        life = node.life

        def answer(value: Any) -> None:
            if node.life == life:
                node.receive(lambda: answered(*value))

        def deliver() -> None:
            value = serve()
            if self.faults and rng.random() < 0.04:
                self.at(2.0, lambda: answer((None, None)))
            else:
                self.at(rng.uniform(0.001, 0.05), lambda: answer(value))

        if self.faults and rng.random() < 0.03:
            # Held back: the sender has given up long before it arrives.
            self.at(rng.uniform(2.0, 60.0), lambda: (serve(), None)[1])
            self.at(2.0, lambda: answer((None, None)))
            return
        self.at(rng.uniform(0.001, 0.05), deliver)
        if self.faults and rng.random() < 0.05:
            self.at(rng.uniform(0.5, 60.0), lambda: (serve(), None)[1])

    def _refuses(self, node: "DutyNode") -> bool:
        return self.now < max(
            self.refused_until.get("", 0.0), self.refused_until.get(node.label, 0.0)
        )

    def txn(self, node: "DutyNode", txn: Txn, answered: Answered) -> None:
        body = txn.body()
        sender = node.incarnation

        def serve() -> tuple[int, Any]:
            if self._refuses(node):
                return 503, {}
            status, value = self.store.txn(body)
            if status == 200:
                writes = orjson.loads(body)["writes"]
                self.history.applied.append(Applied(self.now, sender, value["ledgerRev"], writes))
            elif status == 409 and any(k.startswith(wire.HOLDERS) for k in value["failed"]):
                self.history.refused += any(not w.key.startswith(wire.DUTIES) for w in txn.writes)
            return status, value

        self.send(node, serve, answered)

    def items(self, prefix: str) -> list[Item]:
        return [state.parse_item(orjson.dumps(item)) for item in self.store.range(prefix)]

    def read(self, node: "DutyNode", prefix: str, answered: Answered) -> None:
        def serve() -> tuple[int, Any]:
            if self._refuses(node):
                return 503, None
            return 200, (self.items(prefix), Revision(self.store.revision))

        self.send(node, serve, answered)

    def lease(self, node: "DutyNode", action: str, value: Any, answered: Answered) -> None:
        def serve() -> tuple[int, Any]:
            if self._refuses(node):
                return 503, None
            if action == "open":
                self.store.next_lease += 1
                self.store.leases[self.store.next_lease] = self.now + value
                node.lives[self.store.next_lease] = value
                return 200, LeaseId(self.store.next_lease)
            if action == "end":
                return (200, None) if self._end_lease(value) else (404, None)
            if value not in self.store.leases:
                return 404, None
            self.store.leases[value] = self.now + node.lives[value]
            return 200, None

        self.send(node, serve, answered)

    def _end_lease(self, lease: int) -> bool:
        keys = [key for key, (_, _, tether) in self.store.keys.items() if tether == lease]
        ended = self.store.end_lease(lease)
        gone = [{"delete": key} for key in keys]
        self.history.applied.append(Applied(self.now, "", self.store.revision, gone))
        return ended

    # -- the cloud

    def cloud(self, node: "DutyNode", call: Rent | Delete, answered: Answered) -> None:
        self.history.cloud_calls += 1

        def serve() -> tuple[int, Any]:
            if self.now < self.cloud_out_until:
                return 503, b"trouble"
            if isinstance(call, Delete):
                for name in call.machines:
                    if name in self.machines:
                        self.machines.discard(name)
                        self.history.effects.append(
                            CloudEffect(self.now, node.label, name, "delete")
                        )
                return 200, []
            return self._rent(node, call.rental_request)

        self.send(node, serve, answered)

    def _rent(self, node: "DutyNode", request: RentalRequest) -> tuple[int, Any]:
        if request.name not in self.rented:
            if len(self.machines) >= 30:
                return 503, b"no capacity"
            names = [f"n-{self.count + i:06d}" for i in range(request.number)]
            self.count += request.number
            self.machines |= set(names)
            self.rented[request.name] = names
            self.history.effects.append(CloudEffect(self.now, node.label, request.name, "rent"))
        return 200, self.rented[request.name]

    # -- time

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            while self.events and self.events[0][0] <= self.now:
                heapq.heappop(self.events)[2]()
            outage = self.now < self.refused_until.get("", 0.0)
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
        leaders = [n for n in self.nodes if n.leads]
        if leaders and rng.random() < 0.6:
            node = leaders[0]
        match rng.randrange(8):
            case 0 | 1:
                node.frozen_until = self.now + rng.choice([0.3, 2.0, 5.0, 20.0])
                node.clock_stops = rng.random() < 0.5
            case 2:
                node.restart(rng.choice([0.1, 3.0]))
            case 3:
                self.refused_until[node.label] = self.now + rng.uniform(1.0, 12.0)
            case 4:
                self.refused_until[""] = self.now + rng.uniform(0.5, 8.0)
            case 5:
                node.skew += rng.choice([-3.0, 3.0, -30.0, 30.0])
                node.pace = rng.choice([0.5, 0.9995, 1.0, 1.0005, 2.0])
            case 6:
                self.cloud_out_until = self.now + rng.uniform(0.5, 10.0)
            case 7:
                self._command(rng.choice(list(DutyName)))

    def _command(self, duty: DutyName) -> None:
        """An operator pauses or resumes a duty, or hands it over."""
        key = wire.pause_key(duty)
        if key in self.store.keys:
            self.store.txn(Txn({}, [Drop(key)]).body())
        elif self.rng.random() < 0.3:
            value = wire.pause_value(wire.PauseRecord(WallTime(self.now), "test"))
            self.store.txn(Txn({}, [Put(key, value)]).body())
        else:
            to = self.rng.choice(self.nodes).label
            value = wire.hand_over_value(wire.HandOverRecord(to, WallTime(self.now)))
            self.store.txn(Txn({}, [Put(wire.hand_over_key(duty), value)]).body())

    def settle(self, seconds: float = 150.0) -> None:
        """All troubles end, and everything that is open is brought to its end."""
        self.faults = False
        self.refused_until.clear()
        self.cloud_out_until = 0.0
        for node in self.nodes:
            node.frozen_until, node.pace, node.asks = 0.0, 1.0, False
        for duty in DutyName:
            self.store.txn(Txn({}, [Drop(wire.pause_key(duty))]).body())
        self.run(seconds)
        # Whatever was rented, under names that were learned or not, is in the list.
        for node in self.nodes:
            if node.leads:
                listed = sorted(self.machines - node.condemned)
                node.condemned.update(listed)
                node.waiting += [Delete((MachineId(name),)) for name in listed]
        self.run(60.0)


class DutyNode:
    """One node: the real state machines of election, membership and gate, and a clock of its own.
    What it decides to send leaves at its next step, unless it stalls in between."""

    def __init__(self, world: World, label: NodeId, labels: list[NodeId]) -> None:
        self.world = world
        self.label = label
        self.labels = labels
        self.life = 0
        self.skew = world.rng.uniform(0.0, 1000.0)
        self.pace = 1.0
        self.frozen_until = 0.0
        self.clock_stops = False  # while it is frozen
        self.asks = True  # for new rentals and returns
        self.lives: dict[int, float] = {}
        self._clock = self.skew
        self._seen = world.now
        self.begin()

    def begin(self) -> None:
        self.life += 1
        self.incarnation = IncarnationId(f"{self.label}.{self.life}")
        self.election = Election(self.label, 2.0, 0.02, self.incarnation)
        self.membership = DutyMembership(
            self.label, self.incarnation, tuple(DutyName), 6.0, 0.02, 10.0, 20.0
        )
        self.gate: CloudGate | None
        self.waiting: list[Rent | Delete]
        self.condemned: set[str]
        self.known: set[str]
        self._forget()
        self.outbox: list[Callable[[], None]] = []
        self.inbox: list[Callable[[], None]] = []
        self.asked = 0
        self.catalog_busy = False
        self.read_due = 0.0

    def restart(self, pause_s: float) -> None:
        self.frozen_until = self.world.now + pause_s
        self.clock_stops = False
        self.begin()

    @property
    def leads(self) -> bool:
        return self.gate is not None and self.election.role is Role.LEADER

    @property
    def frozen(self) -> bool:
        return self.world.now < self.frozen_until

    def clock(self) -> Steady:
        passed = self.world.now - self._seen
        self._seen = self.world.now
        if not (self.clock_stops and passed > 5 * STEP_S):
            self._clock += passed * self.pace
        return Steady(self._clock + self.skew)

    def receive(self, answer: Callable[[], None]) -> None:
        if self.frozen:
            self.inbox.append(answer)
        else:
            answer()

    def step(self) -> None:
        if self.frozen:
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
        self._elect(now)
        self._take_part(now)
        self._work(now)

    def _later(self, send: Callable[[], None]) -> None:
        self.outbox.append(send)

    # -- election

    def _elect(self, now: Steady) -> None:
        e, world = self.election, self.world
        action = e.next_action(now)
        match action:
            case ReadLead():
                self._later(lambda: world.read(self, "lead", self._lead_read))
            case OpenLease(life_s):
                self._later(lambda: world.lease(self, "open", life_s, self._lead_opened))
            case RenewLease(lease):
                self._later(lambda: world.lease(self, "renew", lease, self._lead_renewed))
            case RevokeLease(lease):
                self._later(lambda: world.lease(self, "end", lease, self._lead_revoked))
            case Claim(txn):
                self._later(lambda: world.txn(self, txn, self._claimed))
        if e.role is not Role.LEADER and self.gate is not None:
            self._forget()

    def _failed(self) -> None:
        action = self.election._under_way
        assert action is not None
        self.election.failed(action, self.clock())

    def _forget(self) -> None:
        """The leadership is over, and with it what was known in its name."""
        self.gate, self.epoch, self.waiting = None, NO_EPOCH, []
        self.condemned, self.known = set(), set()

    def _lead_read(self, status: int | None, value: Any) -> None:
        if status != 200:
            self._failed()
            return
        items = value[0]
        self.election.read(items[0] if items else None, self.clock())
        if self.election.role is Role.LEADER:
            self._take_over()

    def _lead_opened(self, status: int | None, lease: Any) -> None:
        if status == 200:
            self.election.opened(lease, self.clock())
        else:
            self._failed()

    def _lead_renewed(self, status: int | None, _: Any) -> None:
        if status in (200, 404):
            self.election.renewed(status == 200, self.clock())
        else:
            self._failed()

    def _lead_revoked(self, status: int | None, _: Any) -> None:
        if status in (200, 404):
            self.election.dropped(self.clock())
        else:
            self._failed()

    def _claimed(self, status: int | None, value: Any) -> None:
        if status == 200:
            self.election.claimed(Revision(value["ledgerRev"]), self.clock())
            self._take_over()
        elif status in (400, 409):
            self.election.claimed(None, self.clock(), lease_lost=status == 400)
        else:
            self._failed()

    def _take_over(self) -> None:
        epoch = self.election.epoch

        def got(status: int | None, value: Any) -> None:
            if self.election.role is not Role.LEADER or self.election.epoch != epoch:
                return
            if status != 200:
                self._later(lambda: self.world.read(self, wire.INTENTS, got))
                return
            gate = CloudGate(epoch, 4000)
            for duty in gate.logs:
                for intent in gate.load(duty, wire.intents_of(value[0], duty)):
                    if isinstance(intent, wire.RentalIntent):
                        offer = Offer(intent.type, intent.zone, intent.spot)
                        request = RentalRequest(intent.name, offer, intent.number)
                        self.waiting.append(Rent(request))
                    else:
                        self.condemned.add(intent.name)
                        self.waiting.append(Delete((MachineId(intent.name),)))
            self.gate, self.epoch = gate, epoch

        self._later(lambda: self.world.read(self, wire.INTENTS, got))

    # -- duties

    def _situation(self, now: Steady) -> DutySituation:
        busy = [duty for duty in DutyName if self.gate is not None and self.gate.busy(duty)]
        return DutySituation(
            now=now,
            wall=WallTime(max(0.0, now)),
            leader=self.election.leader,
            epoch=Epoch(self.epoch) if self.leads else NO_EPOCH,
            announced=tuple(DutyName),
            candidates=self.labels,
            busy=[*busy, *([DutyName.CATALOG] * self.catalog_busy)],
        )

    def _take_part(self, now: Steady) -> None:
        m, world = self.membership, self.world
        if world.now >= self.read_due:  # stands for the watch
            self.read_due = world.now + 0.5
            self._later(lambda: world.read(self, wire.DUTIES, self._watched))
        action = m.next_action(self._situation(now))
        match action:
            case ReadBoard():
                self._later(lambda: world.read(self, wire.DUTIES, self._board_read))
            case OpenLease(life_s):
                self._later(lambda: world.lease(self, "open", life_s, self._opened))
            case RenewLease(lease):
                self._later(lambda: world.lease(self, "renew", lease, self._renewed))
            case Acquire(_, txn):
                self._later(lambda: world.txn(self, txn, self._acquired))
            case Release(_, txn):
                self._later(lambda: world.txn(self, txn, self._released))
        self._hand_leadership_over(now)

    def _hand_leadership_over(self, now: Steady) -> None:
        """As the adapter does."""
        e, m = self.election, self.membership
        for duty in (DutyName.RENTAL, DutyName.RETURN, DutyName.CLEANUP):
            if not m.awaits_receiver(duty, now):
                continue
            if e.role is Role.FOLLOWER and e.leader is not None:
                e.stand_back(Steady(now + 1.0))
            elif self.leads and m.state(duty) is DutyState.OBSERVER:
                e.resign(now)
                self._forget()
                return

    def _watched(self, status: int | None, value: Any) -> None:
        if status == 200:
            self.membership.board.read(*value)

    def _board_read(self, status: int | None, value: Any) -> None:
        if status == 200:
            self.membership.board.read(*value)
            self.membership.read()
        else:
            self.membership.failed(self.clock())

    def _opened(self, status: int | None, lease: Any) -> None:
        if status == 200:
            self.membership.opened(lease)
        else:
            self.membership.failed(self.clock())

    def _renewed(self, status: int | None, _: Any) -> None:
        if status in (200, 404):
            self.membership.renewed(status == 200)
        else:
            self.membership.failed(self.clock())

    def _written(self, status: int | None, value: Any, done: Callable[[Revision], None]) -> None:
        if status == 200:
            done(Revision(value["ledgerRev"]))
        elif status in (400, 409):
            self.membership.refused(lease_lost=status == 400)
        else:
            self.membership.failed(self.clock())

    def _acquired(self, status: int | None, value: Any) -> None:
        self._written(status, value, self.membership.acquired)

    def _released(self, status: int | None, value: Any) -> None:
        self._written(status, value, self.membership.released)

    # -- the work of the duties

    def _work(self, now: Steady) -> None:
        self._refresh_catalog(now)
        if not self.leads or self.gate is None:
            return
        world, gate = self.world, self.gate
        if self.asks and world.rng.random() < 0.15:
            self._ask_for_something()
        routes = {}
        for duty in gate.logs:
            token = self.membership.token(duty, now)
            held = self.membership.held_token(duty)
            routes[duty] = Route(Path.RECORDED, token) if token else Route(Path.HELD, held)
        waiting, self.waiting = self.waiting, []
        for call in waiting:
            duty = DutyName.RENTAL if isinstance(call, Rent) else DutyName.RETURN
            if routes[duty].path is Path.RECORDED and gate.has_room(duty):
                gate.admit(call, WallTime(max(0.0, now)))
            else:
                self.waiting.append(call)
        out = gate.process(routes, True, now)
        for call in out.send:
            self._send(gate, call)
        self.waiting += out.give_back
        for duty, write in out.write:
            self._write(gate, duty, write)
        for duty in out.reread:
            self._reread(gate, duty)

    def _ask_for_something(self) -> None:
        rng, epoch = self.world.rng, self.epoch
        reporting = self.known & self.world.machines  # nothing is placed where nobody reports
        free = sorted(reporting - self.condemned)
        if free and rng.random() < 0.5:
            name = rng.choice(free)
            if rng.random() < 0.5:
                txn = Txn({"lead": Revision(epoch)}, [Put(f"use/{name}", self.label)])
                self._later(lambda: self.world.txn(self, txn, lambda *_: None))
                return
            self.condemned.add(name)
            self.waiting.append(Delete((MachineId(name),)))
        elif len(self.waiting) < 5:
            self.asked += 1
            name = f"{self.label}-{self.life}-{epoch}-{self.asked}"
            offer = Offer("small", "a", False)
            self.waiting.append(Rent(RentalRequest(name, offer, rng.randint(1, 3))))

    def _send(self, gate: CloudGate, call: Rent | Delete) -> None:
        def answered(status: int | None, value: Any) -> None:
            final = status == 200 or value == b"no capacity"
            gate.answered(call, final, self.clock())
            if gate is not self.gate:
                return
            if not final:
                self.waiting.append(call)
            elif isinstance(call, Rent) and status == 200:
                self.known |= set(value)

        self._later(lambda: self.world.cloud(self, call, answered))

    def _write(self, gate: CloudGate, duty: DutyName, write: Any) -> None:
        def answered(status: int | None, value: Any) -> None:
            outcome = OUTCOMES.get(status or 0, WriteOutcome.UNKNOWN)
            revision = Revision(value["ledgerRev"] if status == 200 else 0)
            if status == 409 and wire.holder_key(duty) in value["failed"]:
                self.membership.disproved()
            gate.written(duty, write, outcome, revision, self.clock())

        self._later(lambda: self.world.txn(self, write.txn, answered))

    def _reread(self, gate: CloudGate, duty: DutyName) -> None:
        def answered(status: int | None, value: Any) -> None:
            items = value[0] if status == 200 else []
            gate.reread(duty, status == 200, wire.intents_of(items, duty))

        self._later(lambda: self.world.read(self, wire.intents_key(duty), answered))

    def _refresh_catalog(self, now: Steady) -> None:
        token = self.membership.token(DutyName.CATALOG, now)
        if token is None or self.catalog_busy or self.world.rng.random() > 0.1:
            return
        self.catalog_busy = True
        txn = Txn(
            {wire.holder_key(DutyName.CATALOG): Revision(token)}, [Put("catalog", self.label)]
        )

        def answered(status: int | None, value: Any) -> None:
            self.catalog_busy = False
            if status == 409:
                self.membership.disproved()

        self._later(lambda: self.world.txn(self, txn, answered))


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
        for write in change.writes:
            key = write.get("put") or write["delete"]
            duty = _duty_of(key)
            begun = begun or key.startswith(wire.HOLDERS)
            if duty is not None and begun:
                holder = holders.get(wire.holder_key(duty))
                assert holder == change.sender, f"{key} written by {change.sender}, not {holder}"
            if key.startswith((wire.INTENTS, "use/")):
                leader = holders.get("lead")
                assert leader == change.sender, f"{key} written by {change.sender}, not {leader}"
            if key.startswith(wire.INTENTS):
                names = [obj["n"] for obj in write["v"]["i"]]
                for name in names:
                    recorded.setdefault(name, change.at)
                if duty is DutyName.RETURN:
                    condemned |= {name: condemned.get(name, change.sender) for name in names}
            if key.startswith("use/"):
                # Its own writes may overtake each other; it knows what it has condemned.
                by = condemned.get(key[len("use/") :], change.sender)
                assert by == change.sender, f"{key} after {by} had condemned it"
            if key == "lead" or key.startswith(wire.HOLDERS):
                holders[key] = write["v"][identity] if "put" in write else None
    effects: set[str] = set()
    for effect in history.effects:
        assert effect.name in recorded, f"{effect.kind} {effect.name} without an intent"
        assert recorded[effect.name] <= effect.at, f"{effect.name} before its intent"
        assert effect.name not in effects, f"{effect.name} took effect twice"
        effects.add(effect.name)


def _duty_of(key: str) -> DutyName | None:
    if key.startswith(wire.INTENTS):
        return DutyName(key[len(wire.INTENTS) :])
    return DutyName.CATALOG if key == "catalog" else None


def check_end(world: World) -> None:
    """After everything has settled: nothing is open, and each machine is returned."""
    if not all(wire.holder_key(duty) in world.store.keys for duty in DutyName):
        world.run(15.0)  # one is just changing hands
    leaders = [node for node in world.nodes if node.leads]
    assert len(leaders) == 1, "one leader"
    for duty in DutyName:
        assert wire.holder_key(duty) in world.store.keys, f"nobody holds {duty}"
    assert not world.machines, "machines that nobody can return"
    for item in world.items(wire.INTENTS):
        assert item.value["i"] == [], f"left open: {item.key} {item.value}"
