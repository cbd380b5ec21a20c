"""Seeded simulation of several nodes, in which workers' heartbeats pass through relays.

Every message on every hop may be lost, repeated or delayed. The rules are checked as in `world`,
from the workers' tasks and the keys in the store.
"""

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

RESPONSE_TIMEOUT_S = 4.0  # how long a worker waits for a response
LEADER_LEASE_S = 3.0
ROUND_TRIP_S = 0.2
REPLY_TIMEOUT_S = 3.0  # how long a relay waits for the leader's reply


@dataclass
class HeartbeatInFlight:
    """A heartbeat that awaits its response; each worker has at most one, and it times out."""

    sent_at: float
    agent_epoch: int
    sequence: HeartbeatSequence
    has_notice: bool
    tasks: Any
    body: bytes
    token: int


@dataclass
class LeaderReply:
    """The leader's reply to a forwarded heartbeat; `body` is the response to the worker."""

    body: bytes
    launches: list[workers.Launch]
    commands: int


class RelayWorld(World):
    """A world in which each of several nodes has a relay, and one of the nodes leads."""

    def __init__(self, seed: int, nodes: int = 3, **faults: Any) -> None:
        self.nodes = nodes
        self.leader = 0
        self.relays: list[HeartbeatRelay] = []
        self.heartbeats_in_flight: dict[str, HeartbeatInFlight] = {}
        self.node_by_worker: dict[str, int] = {}  # worker -> node that it sends heartbeats to
        self.scheduled_actions: list[tuple[float, int, Any]] = []  # (due time, number, action)
        self.action_number = 0
        self.cut_off_nodes: set[int] = set()  # nodes that reach neither store nor peers
        self.enforces_machine_shares = True  # nodes redirect workers beyond their machine share
        self.unreachable_nodes: set[int] = set()  # nodes that no worker reaches
        self.stalled_node: int | None = None  # a node whose process is stalled
        # Machines that reach no node but can be probed.
        self.disconnected_machines: set[str] = set()
        self.cut_zone: str | None = None  # its machines reach only the nodes in `cut_off_nodes`
        self.delayed_copies = 0
        # Machines whose heartbeats are answered by a node that still acts for an earlier leader.
        self.machines_with_stale_leader: set[str] = set()
        self.stale_leader_token = 0
        super().__init__(seed, **faults)
        self.relays = [self.new_relay(i) for i in range(nodes)]

    def new_relay(self, i: int) -> HeartbeatRelay:
        return HeartbeatRelay(NodeId(f"n{i}"), 0.4 * self.settings.lease_s, 0.02)

    def elect(self) -> None:
        if self.relays:
            candidates = [
                i for i in range(self.nodes) if i not in {*self.isolated_nodes(), self.leader}
            ]
            self.leader = self.choose(candidates)
        super().elect()

    def choose(self, candidates: list[int]) -> int:
        """Return the node that is elected, one of `candidates`."""
        return self.rng.choice(candidates)

    def crash(self, i: int) -> None:
        """Restart the node at once, with an empty relay."""
        self.relays[i] = self.new_relay(i)
        for name in [worker for worker, node in self.node_by_worker.items() if node == i]:
            self.heartbeats_in_flight.pop(name, None)
        if i == self.leader:
            self.elect()

    def stall_node(self, i: int, seconds: float) -> None:
        """Stall node `i`. If it leads, another node is elected once its lease has ended; its relay
        is kept as `stale_relay`, for checks of how it behaves after the stall."""
        self.stalled_node = i
        end = self.now + seconds
        if i == self.leader:
            self.run(min(seconds, LEADER_LEASE_S))
            if self.now < end - 1e-6:
                self.stale_relay = self.relays[i]
                self.stale_sequence = HeartbeatSequence(AgentEpoch(1), 10**6)
                self.elect()
        if end > self.now:
            self.run(end - self.now)
        self.stalled_node = None

    def after(self, seconds: float, action: Any) -> None:
        self.action_number += 1
        self.scheduled_actions.append((self.now + seconds, self.action_number, action))

    def step(self, dt: float) -> None:
        due = sorted(entry for entry in self.scheduled_actions if entry[0] <= self.now + dt)
        self.scheduled_actions = [
            entry for entry in self.scheduled_actions if entry[0] > self.now + dt
        ]
        for _, _, action in due:
            action()
        if self.stalled_node != self.leader:
            self.exchange_peer_heartbeats(MonotonicTime(self.now))
        super().step(dt)
        assert self.scheduler is not None
        for machine, _ in self.scheduler.take_probes() if self.leader_runs() else ():
            worker = self.cloud.machines.get(machine)
            cut = worker is not None and worker.zone == self.cut_zone
            if worker is not None and worker.hangs_until <= self.now >= worker.boots_at and not cut:
                self.scheduler.record_probe_success(machine, MonotonicTime(self.now))
        for node, machines in self.scheduler.take_machines_needing_command().items():
            i = int(node[1:])
            if not self.chance("mesh_lost") and i not in self.cut_off_nodes:
                for machine in machines:
                    self.relays[i].request_next_heartbeat(machine)

    def isolated_nodes(self) -> set[int | None]:
        """Return the nodes that can't communicate with peers.

        Workers may reach those in `cut_off_nodes`.
        """
        return self.cut_off_nodes | {self.stalled_node}

    def leader_runs(self) -> bool:
        return self.stalled_node != self.leader

    def exchange_peer_heartbeats(self, now: MonotonicTime) -> None:
        """Exchange heartbeats between the leader and its peers, which renews relay leases."""
        leader_scheduler = self.scheduler
        assert leader_scheduler is not None
        isolated_nodes = self.isolated_nodes()
        counts = {
            r.label: r.machine_count for i, r in enumerate(self.relays) if i not in isolated_nodes
        }
        shares = machine_shares(counts, self.relays[self.leader].label, 500)
        for i, relay in enumerate(self.relays):
            if i in isolated_nodes or self.chance("mesh_lost"):
                continue
            unlimited = MachineShare(500, None)
            share = (
                shares.get(relay.label, unlimited) if self.enforces_machine_shares else unlimited
            )
            leader_scheduler.record_relayed_heartbeats(
                relay.label, relay.take_acknowledged(now), now
            )
            requested_at = MonotonicTime(now - ROUND_TRIP_S)
            relay.renew_lease(
                leader_scheduler.token,
                self.relays[self.leader].label,
                requested_at,
                now,
                share.max_machines,
                share.redirect_target,
            )

    def serve_worker(
        self, scheduler: Scheduler, worker: WorkerSim, now: MonotonicTime, dt: float
    ) -> None:
        if self.now < worker.boots_at or self.now < worker.hangs_until:
            return
        worker.step(self.now, dt, self.settings.lease_s)
        heartbeat = self.heartbeats_in_flight.get(worker.id)
        if heartbeat is not None:
            if self.now - heartbeat.sent_at > RESPONSE_TIMEOUT_S:
                del self.heartbeats_in_flight[worker.id]
                self.move_worker(worker, None)
            return
        if self.now < self.next_heartbeat_at.get(worker.id, 0.0):
            return
        self.next_heartbeat_at[worker.id] = self.now + self.settings.report_s * self.rng.uniform(
            0.75, 1.25
        )
        body = orjson.dumps(worker.report())
        obj = orjson.loads(body)
        sequence = HeartbeatSequence(AgentEpoch(obj["stint"]), obj["tally"])
        heartbeat = HeartbeatInFlight(
            self.now,
            worker.agent_epoch,
            sequence,
            obj["recallS"] is not None,
            obj["parcels"],
            body,
            worker.token,
        )
        self.heartbeats_in_flight[worker.id] = heartbeat
        if self.chance("report_lost") or worker.id in self.disconnected_machines:
            return
        node = self.node_by_worker.setdefault(worker.id, self.rng.randrange(self.nodes))
        if self.chance("report_twice"):
            copy_node = self.rng.randrange(self.nodes)
            self.delayed_copies += 1
            delay = self.rng.uniform(0.5, 2.5 * self.settings.lease_s)
            self.after(delay, lambda: self.receive_heartbeat(worker, heartbeat, copy_node))
        self.receive_heartbeat(worker, heartbeat, node)

    def move_worker(self, worker: WorkerSim, target: int | None) -> None:
        node = self.node_by_worker.get(worker.id, 0)
        self.node_by_worker[worker.id] = (node + 1) % self.nodes if target is None else target
        self.next_heartbeat_at[worker.id] = self.now + (1.0 if target is None else 0.3)

    def receive_heartbeat(self, worker: WorkerSim, heartbeat: HeartbeatInFlight, node: int) -> None:
        """Handle a heartbeat, or a delayed copy of it, at this node."""
        if node == self.stalled_node or node in self.unreachable_nodes:
            return
        if worker.zone == self.cut_zone and node not in self.cut_off_nodes:
            return
        relay, now = self.relays[node], MonotonicTime(self.now)
        if worker.id in self.machines_with_stale_leader:
            if heartbeat.token > self.stale_leader_token:
                # The heartbeat shows the node a newer token.
                self.machines_with_stale_leader.discard(worker.id)
            else:
                self.answer(
                    worker,
                    heartbeat,
                    workers.heartbeat_response_body(FencingToken(self.stale_leader_token), []),
                )
                return
        leader_reachable = node == self.leader or (
            node not in self.cut_off_nodes and self.leader not in self.cut_off_nodes
        )
        decision = relay.handle_heartbeat(
            MachineId(worker.id),
            heartbeat.sequence,
            FencingToken(heartbeat.token),
            heartbeat.has_notice,
            heartbeat.tasks,
            now,
            leader_reachable,
        )
        match decision:
            case Acknowledge(relay_token):
                self.answer(worker, heartbeat, workers.heartbeat_response_body(relay_token, []))
            case Redirect(target):
                if self.heartbeats_in_flight.get(worker.id) is heartbeat:
                    del self.heartbeats_in_flight[worker.id]
                    self.move_worker(worker, None if target is None else int(target[1:]))
            case Forward():
                delay = self.rng.uniform(0.0, self.faults.get("mesh_delay_s", 0.05))
                relay_token = relay.token
                self.after(REPLY_TIMEOUT_S, lambda: self.on_reply_timeout(worker, heartbeat, relay))
                if not self.chance("mesh_lost"):
                    self.after(
                        delay,
                        lambda: self.handle_forwarded(worker, heartbeat, node, relay, relay_token),
                    )
            case _:
                if self.heartbeats_in_flight.get(worker.id) is heartbeat:
                    del self.heartbeats_in_flight[worker.id]
                    self.move_worker(worker, None)

    def on_reply_timeout(
        self, worker: WorkerSim, heartbeat: HeartbeatInFlight, relay: HeartbeatRelay
    ) -> None:
        is_stalled = self.stalled_node is not None and relay is self.relays[self.stalled_node]
        if (
            not is_stalled
            and self.heartbeats_in_flight.get(worker.id) is heartbeat
            and relay.holds_lease(MonotonicTime(self.now))
        ):
            relay.request_next_heartbeat(MachineId(worker.id))
            self.answer(worker, heartbeat, workers.heartbeat_response_body(relay.token, []))

    def handle_forwarded(
        self,
        worker: WorkerSim,
        heartbeat: HeartbeatInFlight,
        node: int,
        relay: HeartbeatRelay,
        relay_token: FencingToken,
    ) -> None:
        leader_scheduler, now = self.scheduler, MonotonicTime(self.now)
        assert leader_scheduler is not None
        if self.stalled_node in (node, self.leader):
            return
        if relay_token != leader_scheduler.token:
            return  # the leader has changed
        machine = MachineId(worker.id)
        reply = self.ask_leader(heartbeat.body, now, relay.label)
        if self.chance("mesh_lost"):
            # The leader sees that the connection broke.
            leader_scheduler.on_response_undelivered(machine)
            return
        if reply is None:
            relay.on_stale_heartbeat(machine, heartbeat.sequence)
            return
        for launch in reply.launches:
            self.check_durable(launch, worker)
        wants_next = reply.commands > 0 or leader_scheduler.needs_next_heartbeat(machine)
        delay = self.rng.uniform(0.0, self.faults.get("mesh_delay_s", 0.05))

        def deliver_reply() -> None:
            if self.relays[node] is relay and node != self.stalled_node:
                relay.on_leader_response(
                    machine, heartbeat.sequence, heartbeat.has_notice, heartbeat.tasks, wants_next
                )
                self.answer(worker, heartbeat, reply.body)

        self.after(delay, deliver_reply)

    def ask_leader(self, body: bytes, now: MonotonicTime, relay: NodeId) -> LeaderReply | None:
        """Return the leader's reply to a heartbeat, or None if it has seen a newer one."""
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

    def answer(self, worker: WorkerSim, heartbeat: HeartbeatInFlight, body: bytes) -> None:
        if self.heartbeats_in_flight.get(worker.id) is not heartbeat:
            return  # The worker waits for no answer to this one: it is a copy, or it has timed out.
        if self.chance("answer_lost") or worker.id in self.machines_without_inbound_messages:
            return
        if "answer_slow" in self.faults and self.chance("answer_slow"):
            # The link delays the response, possibly beyond the timeout, and the machine hangs too.
            delay = self.rng.uniform(0.5, 1.5 * RESPONSE_TIMEOUT_S)
            worker.hangs_until = max(worker.hangs_until, self.now + self.rng.uniform(0.0, delay))
            self.after(delay, lambda: self.deliver_response(worker, heartbeat, body))
            return
        self.deliver_response(worker, heartbeat, body)

    def deliver_response(
        self, worker: WorkerSim, heartbeat: HeartbeatInFlight, body: bytes
    ) -> None:
        if (
            self.heartbeats_in_flight.get(worker.id) is not heartbeat
            or self.now - heartbeat.sent_at > RESPONSE_TIMEOUT_S
        ):
            return
        del self.heartbeats_in_flight[worker.id]
        worker.execute_commands(body, heartbeat.sent_at, heartbeat.agent_epoch, self.jobs)
