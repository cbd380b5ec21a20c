"""The seeded world with several nodes: reports go through relays, and every message on every hop
may be lost, be repeated, or come late. The rules are checked as in `world`, from the workers'
tasks and the store's keys."""

from dataclasses import dataclass
from typing import Any

import orjson

from eldercart.cluster.heartbeat_relay import (
    Acknowledge,
    Forward,
    HeartbeatRelay,
    MachineShare,
    Redirect,
    machine_shares,
)
from eldercart.scheduling.scheduler import Scheduler
from eldercart.units import (
    AgentEpoch,
    FencingToken,
    HeartbeatSequence,
    MachineId,
    MonotonicTime,
    NodeId,
)
from eldercart.wire import workers
from simulators import WorkerSim
from world import World

GIVE_UP_S = 4.0
LEADER_LEASE_S = 3.0
RPC_S = 0.2
REPLY_S = 3.0


@dataclass
class Flight:
    """A report under way from a worker: it has one, and drops answers after a while."""

    sent: float
    agent_epoch: int
    order: HeartbeatSequence
    notice: bool
    tasks: Any
    body: bytes
    token: int


@dataclass
class LeaderReply:
    """The leader's answer to a forwarded report, as the worker gets it."""

    body: bytes
    launches: list[workers.Launch]
    commands: int


class RelayWorld(World):
    def __init__(self, seed: int, nodes: int = 3, **faults: Any) -> None:
        self.nodes = nodes
        self.leader = 0
        self.relays: list[HeartbeatRelay] = []
        self.flights: dict[str, Flight] = {}
        self.at: dict[str, int] = {}  # worker -> the node it reports to
        self.later: list[tuple[float, int, Any]] = []  # (when, number, what to do then)
        self.number = 0
        self.cut: set[int] = set()  # nodes that reach neither store nor peers
        self.shared_out = True  # workers are sent on to other nodes by their numbers
        self.unreachable_nodes: set[int] = set()  # nodes that no worker reaches
        self.asleep: int | None = None  # a node that does not run at all
        self.silent: set[str] = set()  # machines that reach no node; they can be asked directly
        self.cut_zone: str | None = None  # its machines reach the nodes in `cut` alone
        self.copies = 0
        # Machines answered all the time by a node that still acts for an earlier leader.
        self.stale: set[str] = set()
        self.stale_epoch = 0
        super().__init__(seed, **faults)
        self.relays = [self.new_relay(i) for i in range(nodes)]

    def new_relay(self, i: int) -> HeartbeatRelay:
        return HeartbeatRelay(NodeId(f"n{i}"), 0.4 * self.settings.lease_s, 0.02)

    def elect(self) -> None:
        if self.relays:
            free = [i for i in range(self.nodes) if i not in {*self.away(), self.leader}]
            self.leader = self.choose(free)
        super().elect()

    def choose(self, free: list[int]) -> int:
        """Which of these nodes is elected."""
        return self.rng.choice(free)

    def crash(self, i: int) -> None:
        """The node is back at once, and remembers nothing."""
        self.relays[i] = self.new_relay(i)
        for name in [w for w, at in self.at.items() if at == i]:
            self.flights.pop(name, None)
        if i == self.leader:
            self.elect()

    def sleep(self, i: int, seconds: float) -> None:
        """Node `i` stalls. If it leads, another does once its lease has ended; what it knew
        and what it was granted are kept for a look at what it does when it wakes."""
        self.asleep = i
        end = self.now + seconds
        if i == self.leader:
            self.run(min(seconds, LEADER_LEASE_S))
            if self.now < end - 1e-6:
                self.stale_relay = self.relays[i]
                self.stale_order = HeartbeatSequence(AgentEpoch(1), 10**6)
                self.elect()
        if end > self.now:
            self.run(end - self.now)
        self.asleep = None

    def after(self, seconds: float, what: Any) -> None:
        self.number += 1
        self.later.append((self.now + seconds, self.number, what))

    def step(self, dt: float) -> None:
        due = sorted(x for x in self.later if x[0] <= self.now + dt)
        self.later = [x for x in self.later if x[0] > self.now + dt]
        for _, _, what in due:
            what()
        if self.asleep != self.leader:
            self.greet(MonotonicTime(self.now))
        super().step(dt)
        assert self.scheduler is not None
        for machine, _ in self.scheduler.take_probes() if self.leader_runs() else ():
            asked = self.cloud.machines.get(machine)
            cut = asked is not None and asked.zone == self.cut_zone
            if asked is not None and asked.hangs_until <= self.now >= asked.boots_at and not cut:
                self.scheduler.record_probe_success(machine, MonotonicTime(self.now))
        for node, machines in self.scheduler.take_machines_needing_command().items():
            i = int(node[1:])
            if not self.chance("mesh_lost") and i not in self.cut:
                for machine in machines:
                    self.relays[i].request_next_heartbeat(machine)

    def away(self) -> set[int | None]:
        """Nodes that nobody but their workers reaches, if they do."""
        return self.cut | {self.asleep}

    def leader_runs(self) -> bool:
        return self.asleep != self.leader

    def greet(self, now: MonotonicTime) -> None:
        c = self.scheduler
        assert c is not None
        away = self.away()
        counts = {r.label: r.machine_count for i, r in enumerate(self.relays) if i not in away}
        told = machine_shares(counts, self.relays[self.leader].label, 500)
        for i, relay in enumerate(self.relays):
            if i in away or self.chance("mesh_lost"):
                continue
            anywhere = MachineShare(500, None)
            share = told.get(relay.label, anywhere) if self.shared_out else anywhere
            c.record_relayed_heartbeats(relay.label, relay.take_acknowledged(now), now)
            asked = MonotonicTime(now - RPC_S)
            relay.renew_lease(
                c.token,
                self.relays[self.leader].label,
                asked,
                now,
                share.max_machines,
                share.redirect_target,
            )

    def serve_worker(self, c: Scheduler, w: WorkerSim, now: MonotonicTime, dt: float) -> None:
        if self.now < w.boots_at or self.now < w.hangs_until:
            return
        w.step(self.now, dt, self.settings.lease_s)
        flight = self.flights.get(w.id)
        if flight is not None:
            if self.now - flight.sent > GIVE_UP_S:
                del self.flights[w.id]
                self.move(w, None)
            return
        if self.now < self.reports_due.get(w.id, 0.0):
            return
        self.reports_due[w.id] = self.now + self.settings.report_s * self.rng.uniform(0.75, 1.25)
        body = orjson.dumps(w.report())
        obj = orjson.loads(body)
        order = HeartbeatSequence(AgentEpoch(obj["stint"]), obj["tally"])
        flight = Flight(
            self.now,
            w.agent_epoch,
            order,
            obj["recallS"] is not None,
            obj["parcels"],
            body,
            w.token,
        )
        self.flights[w.id] = flight
        if self.chance("report_lost") or w.id in self.silent:
            return
        at = self.at.setdefault(w.id, self.rng.randrange(self.nodes))
        if self.chance("report_twice"):
            node = self.rng.randrange(self.nodes)
            self.copies += 1
            late = self.rng.uniform(0.5, 2.5 * self.settings.lease_s)
            self.after(late, lambda: self.arrive(w, flight, node))
        self.arrive(w, flight, at)

    def move(self, w: WorkerSim, to: int | None) -> None:
        at = self.at.get(w.id, 0)
        self.at[w.id] = (at + 1) % self.nodes if to is None else to
        self.reports_due[w.id] = self.now + (1.0 if to is None else 0.3)

    def arrive(self, w: WorkerSim, f: Flight, at: int) -> None:
        """At a node: the report itself, or a copy of it that nobody waits for any more."""
        if at == self.asleep or at in self.unreachable_nodes:
            return
        if w.zone == self.cut_zone and at not in self.cut:
            return
        relay, now = self.relays[at], MonotonicTime(self.now)
        if w.id in self.stale:
            if f.token > self.stale_epoch:
                self.stale.discard(w.id)  # the worker's own word deposes that leader
            else:
                self.answer(
                    w, f, workers.heartbeat_response_body(FencingToken(self.stale_epoch), [])
                )
                return
        reachable = at == self.leader or (at not in self.cut and self.leader not in self.cut)
        decision = relay.handle_heartbeat(
            MachineId(w.id), f.order, FencingToken(f.token), f.notice, f.tasks, now, reachable
        )
        match decision:
            case Acknowledge(epoch):
                self.answer(w, f, workers.heartbeat_response_body(epoch, []))
            case Redirect(to):
                if self.flights.get(w.id) is f:
                    del self.flights[w.id]
                    self.move(w, None if to is None else int(to[1:]))
            case Forward():
                delay = self.rng.uniform(0.0, self.faults.get("mesh_delay", 0.05))
                epoch = relay.token
                self.after(REPLY_S, lambda: self.timed_out(w, f, relay))
                if not self.chance("mesh_lost"):
                    self.after(delay, lambda: self.forwarded(w, f, at, relay, epoch))
            case _:
                if self.flights.get(w.id) is f:
                    del self.flights[w.id]
                    self.move(w, None)

    def timed_out(self, w: WorkerSim, f: Flight, relay: HeartbeatRelay) -> None:
        asleep = self.asleep is not None and relay is self.relays[self.asleep]
        if (
            not asleep
            and self.flights.get(w.id) is f
            and relay.holds_lease(MonotonicTime(self.now))
        ):
            relay.request_next_heartbeat(MachineId(w.id))
            self.answer(w, f, workers.heartbeat_response_body(relay.token, []))

    def forwarded(
        self, w: WorkerSim, f: Flight, at: int, relay: HeartbeatRelay, epoch: FencingToken
    ) -> None:
        c, now = self.scheduler, MonotonicTime(self.now)
        assert c is not None
        if self.asleep in (at, self.leader):
            return
        if epoch != c.token:
            return  # another leader by now
        machine = MachineId(w.id)
        reply = self.ask_leader(f.body, now, relay.label)
        if self.chance("mesh_lost"):
            c.on_response_undelivered(machine)  # the connection broke, and that the leader sees
            return
        if reply is None:
            relay.on_stale_heartbeat(machine, f.order)
            return
        for launch in reply.launches:
            self.check_durable(launch, w)
        again = reply.commands > 0 or c.needs_next_heartbeat(machine)
        delay = self.rng.uniform(0.0, self.faults.get("mesh_delay", 0.05))

        def back() -> None:
            if self.relays[at] is relay and at != self.asleep:
                relay.on_leader_response(machine, f.order, f.notice, f.tasks, again)
                self.answer(w, f, reply.body)

        self.after(delay, back)

    def ask_leader(self, body: bytes, now: MonotonicTime, relay: NodeId) -> LeaderReply | None:
        """What the leader answers to a report; None: it has seen a newer one."""
        assert self.scheduler is not None
        commands = self.scheduler.on_heartbeat(
            workers.parse_heartbeat(orjson.loads(body)), now, relay
        )
        if commands is None:
            return None
        launches = [command for command in commands if isinstance(command, workers.Launch)]
        return LeaderReply(
            workers.commands_response_body(self.scheduler.token, commands), launches, len(commands)
        )

    def answer(self, w: WorkerSim, f: Flight, body: bytes) -> None:
        if self.flights.get(w.id) is not f:
            return  # a copy's, or too late: the worker does not wait for it any more
        if self.chance("answer_lost") or w.id in self.unresponsive:
            return
        if "answer_slow" in self.faults and self.chance("answer_slow"):
            # The link holds it up, longer than the worker waits or not, and the machine with it.
            late = self.rng.uniform(0.5, 1.5 * GIVE_UP_S)
            w.hangs_until = max(w.hangs_until, self.now + self.rng.uniform(0.0, late))
            self.after(late, lambda: self.arrived(w, f, body))
            return
        self.arrived(w, f, body)

    def arrived(self, w: WorkerSim, f: Flight, body: bytes) -> None:
        if self.flights.get(w.id) is not f or self.now - f.sent > GIVE_UP_S:
            return
        del self.flights[w.id]
        w.obey(body, f.sent, f.agent_epoch, self.jobs)
