"""A record of everything that leaves the state machines, for comparing one revision with another.

Each scenario drives the leader, the relays, the election or the membership of duties through one
of the simulated worlds, from a fixed seed. Every command to a worker, transaction, cloud call,
answer to a user and frame between nodes is written down as the bytes that the wire codecs encode,
in the order in which they go out, so the record does not depend on any name in the sources.

`behaviour_record.json` keeps, for each scenario, one entry per simulated second in which something
was sent: the second, the number of events so far and the head of a SHA-256 chain over them. The
first entry that differs names the second in which two revisions part.

    python3 tests/behaviour_record.py --write           # replace the stored record
    python3 tests/behaviour_record.py --digests NAME    # print the digests of one scenario
    python3 tests/behaviour_record.py --dump FILE       # all events in full, for `diff`

The script starts itself anew with a fixed PYTHONHASHSEED, as the order of sets may show.
"""

import argparse
import copy
import hashlib
import os
import subprocess
import sys
from collections import Counter
from collections.abc import Callable, Iterable
from functools import partial
from pathlib import Path
from typing import Any

sys.path.insert(1, str(Path(__file__).resolve().parents[1] / "target" / "deps"))
sys.path.insert(1, str(Path(__file__).resolve().parents[1] / "src"))

import orjson

from duty_world import SimulatedNode
from duty_world import World as DutyWorld
from eldercart.autoscaling.cloud_requests import RequestAdmission
from eldercart.autoscaling.request_types import MachineOffering, ScaleOutRequest
from eldercart.cluster.failure_detector import Probe
from eldercart.cluster.heartbeat_relay import (
    Acknowledge,
    Decision,
    Forward,
    HeartbeatRelay,
    Redirect,
)
from eldercart.election.actions import (
    Campaign,
    GrantLease,
    KeepLeaseAlive,
    ReadLeaderKey,
    RevokeLease,
)
from eldercart.election.state_machine import Election, Role
from eldercart.scheduling.cluster_state import FinishedJob
from eldercart.scheduling.scheduler import (
    CloudRequest,
    DeleteMachines,
    DirectKill,
    JobStatus,
    ListMachines,
    LookupFailure,
    PendingTransaction,
    ScaleOut,
    Scheduler,
)
from eldercart.settings.platform import parse_platform
from eldercart.units import (
    AcknowledgedHeartbeats,
    FencingToken,
    HeartbeatSequence,
    JobId,
    MachineId,
    MonotonicTime,
    NodeId,
    WallTime,
)
from eldercart.wire import cloud, peers, state, users, workers
from eldercart.wire.named_leases import LeaseName
from eldercart.wire.state import Transaction
from relay_world import Flight, RelayWorld
from simulators import CATALOG, StoreSim, WorkerSim
from test_election import ElectionWorld
from world import PLATFORM

RECORD_FILE = Path(__file__).resolve().with_suffix(".json")
HASH_SEED = "0"
DIGEST_CHARS = 16  # of the chain's head, kept per second
SETTLE_LIMIT_S = 400.0

# Kinds of events. These name what the bytes are for and never follow the names in the sources.
COMMANDS, ORDER, PROBE, WORKER_ANSWER = "commands", "order", "probe", "worker-answer"
TRANSACTION, MEMORY, STORE, STORED = "transaction", "memory", "store", "stored"
CLOUD, FRAME, USER, LEASE, READ, STATUS = "cloud", "frame", "user", "lease", "read", "status"

Sink = list[bytes] | None  # takes the events in full, if there is one
Digests = list[list[Any]]  # of one scenario: second, number of events so far, head of the chain


class Recording:
    """The events of one scenario, and a chain of digests over them."""

    def __init__(self, clock: Callable[[], float], sink: Sink) -> None:
        """`clock` tells the simulated time."""
        self._clock = clock
        self._sink = sink
        self._chain = hashlib.sha256()
        self._events = 0
        self._bytes = 0
        self._digests: Digests = []
        self.kinds: Counter[str] = Counter()

    def add(self, kind: str, about: str, data: bytes) -> None:
        """One event: its kind, whom it concerns, and the bytes that go out."""
        second = int(self._clock() + 1e-6)
        line = f"{second} {kind} {about} ".encode() + data + b"\n"
        self._chain.update(line)
        self._events += 1
        self._bytes += len(line)
        self.kinds[kind] += 1
        if not self._digests or self._digests[-1][0] != second:
            self._digests.append([second, 0, ""])
        self._digests[-1][1:] = [self._events, self._chain.hexdigest()[:DIGEST_CHARS]]
        if self._sink is not None:
            self._sink.append(line)

    def add_json(self, kind: str, about: str, value: Any) -> None:
        """An event that has no wire codec of its own: plain values only."""
        self.add(kind, about, orjson.dumps(value))

    def result(self) -> dict[str, Any]:
        """What is stored of the scenario."""
        return {
            "events": self._events,
            "bytes": self._bytes,
            "kinds": dict(sorted(self.kinds.items())),
            "digest": self._chain.hexdigest(),
            "seconds": self._digests,
        }


# -- access points: what goes out of the state machines


def cloud_call_bytes(call: CloudRequest) -> bytes:
    """The request of a call to the cloud."""
    if isinstance(call, ScaleOut):
        offer = call.request.offering
        name, number = call.request.name, call.request.machine_count
        return cloud.create_machines_body(name, offer.type, offer.zone, offer.is_spot, number)
    if isinstance(call, DeleteMachines):
        return cloud.delete_machines_body(list(call.machines))
    if isinstance(call, ListMachines):
        return cloud.machines_path(call.after).encode()
    return b"/catalog"


def election_request(action: Any) -> bytes:
    """The request to the state service that an election asks for."""
    if isinstance(action, ReadLeaderKey):
        return state.key_path("lead").encode()
    if isinstance(action, GrantLease):
        return orjson.dumps({"lifeMs": round(action.ttl_s * 1000)})
    if isinstance(action, KeepLeaseAlive):
        return b"touch %d" % action.lease_id
    if isinstance(action, RevokeLease):
        return b"revoke %d" % action.lease_id
    if isinstance(action, Campaign):
        return action.transaction.body()
    raise AssertionError("an action that no request is known for")


def greet_frame(greeting: peers.PeerHeartbeat) -> bytes:
    """A greeting, read and encoded once more as its receiver has it."""
    return peers.encode_peer_heartbeat(
        peers.parse_peer_heartbeat(peers.parse_frame(peers.encode_peer_heartbeat(greeting)))
    )


def greeted_frame(answer: peers.PeerHeartbeatAck) -> bytes:
    """The answer to a greeting, read and encoded once more."""
    return peers.encode_peer_heartbeat_ack(
        peers.parse_peer_heartbeat_ack(peers.parse_frame(peers.encode_peer_heartbeat_ack(answer)))
    )


def answer_frame(answer: peers.HeartbeatReply) -> bytes:
    """The leader's answer to a forwarded report, read and encoded once more."""
    return peers.encode_heartbeat_replies(
        peers.parse_heartbeat_replies(peers.parse_frame(peers.encode_heartbeat_replies([answer])))
    )


def states_frame(kind: str, reply: peers.JobReply) -> bytes:
    """What is told of a job, read and encoded once more."""
    return peers.encode_job_replies(
        kind, peers.parse_job_replies(peers.parse_frame(peers.encode_job_replies(kind, [reply])))
    )


class RecordingStore(StoreSim):
    """Records what reaches the state service and what it answers."""

    def __init__(self, recording: Recording) -> None:
        super().__init__()
        self._recording = recording

    def txn(self, body: bytes) -> tuple[int, dict[str, Any]]:
        status, answer = super().txn(body)
        self._recording.add(STORE, str(status), body + b" " + orjson.dumps(answer))
        return status, answer

    def record_all(self) -> None:
        """Every key as it stands."""
        for item in self.range(""):
            self._recording.add_json(STORED, "", item)


class RecordingController(Scheduler):
    """The leader, with a record of all that it hands out."""

    recording: Recording

    def on_heartbeat(
        self, r: workers.Heartbeat, now: MonotonicTime, relay: NodeId | None = None
    ) -> list[workers.Command] | None:
        commands = super().on_heartbeat(r, now, relay)
        body = (
            b"overtaken"
            if commands is None
            else workers.commands_response_body(self.token, commands)
        )
        self.recording.add(COMMANDS, r.machine, body)
        return commands

    def on_response_undelivered(self, machine: MachineId) -> None:
        self.recording.add(FRAME, "", peers.encode_machines(peers.UNDELIVERED, [machine]))
        super().on_response_undelivered(machine)

    def take_direct_kills(self, now: MonotonicTime) -> list[DirectKill]:
        orders = super().take_direct_kills(now)
        for order in orders:
            body = workers.direct_commands_body(self.token, order.agent_epoch, order.commands)
            self.recording.add(ORDER, f"{order.machine_id} {order.address}", body)
        return orders

    def take_probes(self) -> list[Probe]:
        probes = super().take_probes()
        for probe in probes:
            self.recording.add_json(PROBE, probe.machine_id, probe.address)
        return probes

    def take_machines_needing_command(self) -> dict[NodeId, list[MachineId]]:
        wants = super().take_machines_needing_command()
        for node, machines in wants.items():
            self.recording.add(
                FRAME, node, peers.encode_machines(peers.NEXT_HEARTBEAT_REQUESTS, machines)
            )
        return wants

    def next_transaction(self, now: MonotonicTime, ops: int) -> PendingTransaction | None:
        pending = super().next_transaction(now, ops)
        if pending is not None:
            self.recording.add(TRANSACTION, "", pending.transaction.body())
        return pending

    def next_learned_state_transaction(
        self, now: MonotonicTime, most_changes: int | None = None
    ) -> Transaction | None:
        txn = super().next_learned_state_transaction(now, most_changes)
        if txn is not None:
            self.recording.add(MEMORY, "", txn.body())
        return txn

    def next_cloud_request(self, now: MonotonicTime) -> CloudRequest | None:
        call = super().next_cloud_request(now)
        if call is not None:
            self.recording.add(CLOUD, "", cloud_call_bytes(call))
        return call

    def take_due_end_lookups(self, now: MonotonicTime, most: int) -> list[JobId]:
        jobs = super().take_due_end_lookups(now, most)
        for job in jobs:
            self.recording.add(READ, "", state.key_path(f"end/{job}").encode())
        return jobs

    def take_finished_jobs(self) -> list[FinishedJob]:
        finished = super().take_finished_jobs()
        for end in finished:
            self.recording.add(USER, "end", users.job_state_body(end.job_id, end.outcome))
        return finished

    def cancel_job(self, job_id: JobId, now: MonotonicTime) -> str | LookupFailure:
        verdict = super().cancel_job(job_id, now)
        reply = peers.JobReply(0, verdict_text(verdict), 0, 0)
        self.recording.add(USER, job_id, states_frame(peers.CANCEL_REPLIES, reply))
        return verdict

    def record_status(self, job: JobId) -> None:
        """What a poll of the job is told."""
        status = self.job_status(job)
        if isinstance(status, JobStatus):
            waiting = status.unmet_dependencies
            body = users.job_state_body(
                job, status.state, status.done_count, status.running_count, waiting
            )
            reply = peers.JobReply(
                0, status.state, status.done_count, status.running_count, waiting
            )
            self.recording.add(USER, "poll", body)
        else:
            reply = peers.JobReply(0, verdict_text(status), 0, 0)
        self.recording.add(FRAME, job, states_frame(peers.JOB_STATES, reply))


def verdict_text(verdict: str | LookupFailure) -> str:
    """A verdict as the frames between nodes tell it."""
    if isinstance(verdict, LookupFailure):
        return peers.UNDECIDED if verdict is LookupFailure.UNDECIDED else peers.UNKNOWN
    return verdict


class RecordingRelay(HeartbeatRelay):
    """A relay, with a record of what it answers to workers and tells the leader."""

    recording: Recording

    def handle_heartbeat(
        self,
        machine: MachineId,
        order: HeartbeatSequence,
        epoch: FencingToken,
        notice: bool,
        tasks: Any,
        now: MonotonicTime,
        reachable: bool,
    ) -> Decision:
        decision = super().handle_heartbeat(machine, order, epoch, notice, tasks, now, reachable)
        if isinstance(decision, Acknowledge):
            body = workers.heartbeat_response_body(decision.token, [])
        elif isinstance(decision, Redirect):
            body = workers.redirect_body(decision.target)
        elif isinstance(decision, Forward):
            body = peers.encode_forwarded_heartbeats(
                self.token, [(order.number, orjson.dumps(tasks))]
            )
        else:
            body = b"overtaken"
        self.recording.add(FRAME, f"{self.label} {machine}", body)
        return decision

    def renew_lease(
        self,
        epoch: FencingToken,
        leader: NodeId,
        asked: MonotonicTime,
        now: MonotonicTime,
        most: int | None = None,
        spare: NodeId | None = None,
    ) -> None:
        super().renew_lease(epoch, leader, asked, now, most, spare)
        holds = self.holds_lease(now)
        answer = peers.PeerHeartbeatAck(0, self.token, holds, True, most or 0, spare, 0)
        self.recording.add(FRAME, f"{self.label} {self.leader}", greeted_frame(answer))

    def take_acknowledged(self, now: MonotonicTime) -> AcknowledgedHeartbeats:
        heard = super().take_acknowledged(now)
        greeting = peers.PeerHeartbeat(
            self.label, 0, self.token, True, self.machine_count, 0, heard
        )
        self.recording.add(FRAME, self.label, greet_frame(greeting))
        return heard

    def on_leader_response(
        self, machine: MachineId, order: HeartbeatSequence, notice: bool, tasks: Any, again: bool
    ) -> None:
        answer = peers.HeartbeatReply(order.number, [], again)
        self.recording.add(FRAME, f"{self.label} {machine}", answer_frame(answer))
        super().on_leader_response(machine, order, notice, tasks, again)

    def on_stale_heartbeat(self, machine: MachineId, order: HeartbeatSequence) -> None:
        answer = peers.HeartbeatReply(order.number, None, False)
        self.recording.add(FRAME, f"{self.label} {machine}", answer_frame(answer))
        super().on_stale_heartbeat(machine, order)


# -- the worlds, with the recording parts put in


class RecordedWorld(RelayWorld):
    """Leader, relays, state service, cloud and workers."""

    def __init__(self, sink: Sink, seed: int, **faults: Any) -> None:
        self.recording = Recording(lambda: self.now, sink)
        self._polled = 0
        super().__init__(seed, **faults)

    def elect(self) -> None:
        if not isinstance(self.store, RecordingStore):
            self.store = RecordingStore(self.recording)
        super().elect()

    def new_controller(self, epoch: FencingToken) -> RecordingController:
        controller = RecordingController(
            self.settings,
            self.tuning,
            epoch,
            cloud.parse_catalog(CATALOG),
            MonotonicTime(self.now),
            WallTime(self.now),
            self.incarnation,
        )
        controller.recording = self.recording
        return controller

    def new_relay(self, i: int) -> RecordingRelay:
        relay = RecordingRelay(NodeId(f"n{i}"), 0.4 * self.settings.lease_s, 0.02)
        relay.recording = self.recording
        return relay

    def answer(self, w: WorkerSim, f: Flight, body: bytes) -> None:
        self.recording.add(WORKER_ANSWER, w.id, body)
        super().answer(w, f, body)

    def step(self, dt: float) -> None:
        super().step(dt)
        if int(self.now) > self._polled:
            self._polled = int(self.now)
            self.record_statuses()

    def serve_cloud(self, c: Scheduler, now: MonotonicTime) -> None:
        if self.faults.get("cloud_given_back") and self.chance("cloud_given_back"):
            call = c.next_cloud_request(now)
            if isinstance(call, ScaleOut | DeleteMachines):
                c.cloud_requests.requeue_unsent(call)
            elif call is not None:
                c.on_cloud_response(call, 503, b"", now)
            return
        super().serve_cloud(c, now)

    def record_statuses(self) -> None:
        """What every job's user is told now."""
        assert isinstance(self.scheduler, RecordingController)
        for job in self.jobs:
            self.scheduler.record_status(JobId(job))

    def finish(self) -> dict[str, Any]:
        """Runs until all jobs have ended, and a little longer; then the store is recorded."""
        end = self.now + SETTLE_LIMIT_S
        while not self.all_ended() and self.now < end:
            self.run(1.0)
        assert self.all_ended(), "not all jobs came to an end"
        self.run(10.0)
        assert isinstance(self.store, RecordingStore)
        self.store.record_all()
        return self.recording.result()


class RecordedElection(ElectionWorld):
    """Elections alone."""

    def __init__(self, sink: Sink, seed: int, nodes: int) -> None:
        self.recording = Recording(lambda: self.now, sink)
        super().__init__(seed, nodes)

    def send(self, e: Election, action: Any) -> None:
        self.recording.add(STORE, f"{e.node_id}", election_request(action))
        super().send(e, action)

    def run(self, seconds: float) -> None:
        super().run(seconds)
        for e in self.nodes:
            leads = e.role is Role.LEADER
            answer = peers.PeerHeartbeatAck(0, FencingToken(e.token), leads, True, 0, e.leader, 0)
            self.recording.add(FRAME, e.node_id, greeted_frame(answer))


class RecordedDuties(DutyWorld):
    """Nodes that hold duties."""

    def __init__(self, sink: Sink, seed: int, nodes: int) -> None:
        self.recording = Recording(lambda: self.now, sink)
        super().__init__(seed, nodes)

    def commit(
        self, node: SimulatedNode, txn: Transaction, answered: Callable[[int | None, Any], None]
    ) -> None:
        self.recording.add(TRANSACTION, node.node_id, txn.body())
        super().commit(node, txn, answered)

    def read(
        self, node: SimulatedNode, prefix: str, answered: Callable[[int | None, Any], None]
    ) -> None:
        self.recording.add(READ, node.node_id, state.range_path(prefix, None).encode())
        super().read(node, prefix, answered)

    def serve_lease(
        self,
        node: SimulatedNode,
        action: str,
        value: Any,
        answered: Callable[[int | None, Any], None],
    ) -> None:
        self.recording.add_json(LEASE, node.node_id, [action, value])
        super().serve_lease(node, action, value, answered)

    def call_cloud(
        self,
        node: SimulatedNode,
        call: ScaleOut | DeleteMachines,
        answered: Callable[[int | None, Any], None],
    ) -> None:
        self.recording.add(CLOUD, node.node_id, cloud_call_bytes(call))
        super().call_cloud(node, call, answered)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            super().run(min(1.0, end - self.now))
            self.record_holders()

    def record_holders(self) -> None:
        """Who leads and who holds which duty, by each node's own word."""
        for node in self.nodes:
            tokens = [[duty.value, node.candidate.held_token(duty)] for duty in LeaseName]
            value = [node.election.leader, node.election.token, tokens]
            self.recording.add_json(STATUS, node.node_id, value)

    def finish(self) -> dict[str, Any]:
        """Ends all faults, lets everything come to its end and records the store."""
        self.settle()
        for item in self.store.range(""):
            self.recording.add_json(STORED, "", item)
        return self.recording.result()


# -- scenarios

MESSAGE_FAULTS: dict[str, float] = {
    "txn_lost": 0.1,
    "txn_twice": 0.1,
    "report_lost": 0.05,
    "answer_lost": 0.05,
    "report_twice": 0.1,
    "cloud_lost": 0.1,
    "mesh_lost": 0.05,
    "mesh_delay": 0.5,
    "order_lost": 0.3,
}
JOBS: list[dict[str, Any]] = [
    {},
    {"crew": "t1", "parcels": 30, "urgency": "urgent", "lot": "quick", "dueS": 40.0},
    {"loaners": False, "parcels": 3},
    {"breeds": ["big"], "yard": "b"},
    {"together": True, "parcels": 4},
    {"spread": True, "parcels": 5, "kit": "other", "imageGb": 4.0},
    {"cpus": 1.0, "parcels": 40, "urgency": "idle"},
    {"breeds": ["big"], "accelerators": 1.0, "parcels": 3, "waypointS": 2.0, "stowS": 1.0},
]


def submit_mix(w: RecordedWorld) -> None:
    """Jobs of all sorts."""
    for i, changes in enumerate(JOBS):
        w.submit(f"wk-{i:06d}", **changes)


def leader(w: RecordedWorld) -> Scheduler:
    """The leader's state machine."""
    assert w.scheduler is not None
    return w.scheduler


def busy(w: RecordedWorld) -> list[WorkerSim]:
    """The machines on which a task runs, in the order of their rental."""
    return [machine for machine in w.cloud.machines.values() if machine.on()]


def quiet(sink: Sink, seed: int) -> dict[str, Any]:
    """No fault; machines are rented for the jobs and returned after them."""
    w = RecordedWorld(sink, seed, capacity=8)
    submit_mix(w)
    w.run(30)
    w.submit("wk-late", parcels=12, run_s=15.0, haulS=15.0, crew="t1")
    w.finish()
    w.run(60)
    return w.recording.result()


def lost_messages(sink: Sink, seed: int) -> dict[str, Any]:
    """Every message may be lost, repeated or late; the store and the cloud fail for a while."""
    w = RecordedWorld(sink, seed, capacity=8, **MESSAGE_FAULTS)
    submit_mix(w)
    w.submit("wk-cancelled", run_s=200.0, haulS=200.0, parcels=10)
    w.run(15)
    w.outage_until = w.now + 10.0
    w.run(5)
    w.cancel("wk-cancelled")
    w.run(10)
    w.cloud_down_until = w.now + 8.0
    w.cancel("wk-000006")
    w.run(15)
    w.crash((w.leader + 1) % w.nodes)
    w.run(5)
    w.cancel("wk-cancelled")
    return w.finish()


def preemption(sink: Sink, seed: int) -> dict[str, Any]:
    """Work of low priority fills few machines, then urgent work and that of a quota comes."""
    w = RecordedWorld(sink, seed, capacity=3, report_lost=0.05)
    for i, urgency in enumerate(["idle", "idle", "standard"]):
        w.submit(f"wk-low-{i}", run_s=60.0, haulS=60.0, parcels=12, urgency=urgency, waypointS=10.0)
    w.run(25)
    w.submit("wk-prod", parcels=8, cpus=4.0, run_s=10.0, urgency="prod", crew="t1", lot="quick")
    w.run(8)
    w.submit("wk-urgent", parcels=6, run_s=10.0, urgency="urgent", crew="t1", stowS=2.0)
    w.run(12)
    w.elect()
    w.submit("wk-together", parcels=5, run_s=10.0, urgency="urgent", together=True)
    w.cancel("wk-low-1")
    return w.finish()


def machines_fail(sink: Sink, seed: int) -> dict[str, Any]:
    """Machines die, hang, fail all tasks, are taken back or reach no node."""
    w = RecordedWorld(sink, seed, capacity=10, report_lost=0.03)
    for i in range(5):
        w.submit(f"wk-{i}", parcels=10, run_s=30.0, haulS=30.0, cpus=2.0, spread=i == 3)
    w.run(20)
    dead, hanging, faulty, recalled, silent = (busy(w) + list(w.cloud.machines.values()))[:5]
    del w.cloud.machines[dead.id]
    hanging.hangs_until = w.now + 45.0
    faulty.faulty = True
    recalled.notice = 10.0
    w.silent = {silent.id}
    w.run(8)
    w.cancel("wk-1")
    w.run(12)
    w.silent.clear()
    faulty.faulty = False
    w.unresponsive = {machine.id for machine in busy(w)[:1]}
    w.cancel("wk-2")
    w.run(35)
    w.unresponsive.clear()
    for machine in list(w.cloud.machines.values())[:2]:
        machine.run_time_factor = 8.0
    for i in range(5, 8):
        w.submit(f"wk-{i}", parcels=16, run_s=10.0, haulS=10.0, cpus=2.0, crew="t1")
    w.run(15)
    for machine in busy(w)[:1]:
        machine.faulty = True
    return w.finish()


def chains(sink: Sink, seed: int) -> dict[str, Any]:
    """Jobs that await others, with lists in their records and beside them; one is cancelled."""
    w = RecordedWorld(sink, seed, capacity=8, txn_lost=0.05, answer_lost=0.05)
    w.submit("wk-a", parcels=8, run_s=8.0, haulS=8.0)
    w.submit("wk-b", parcels=8, run_s=8.0, haulS=8.0, awaits=["wk-a"], dueS=60.0)
    w.submit("wk-c", parcels=4, run_s=40.0, haulS=40.0, crew="t1")
    w.submit("wk-d", parcels=4, awaits=["wk-b", "wk-c"])
    w.submit("wk-e", parcels=4, parts=2, awaits=["wk-a", "wk-b", "wk-c"])
    w.submit("wk-f", parcels=4, awaits=["wk-e"], urgency="urgent")
    w.submit("wk-g", parcels=6, awaits=["wk-a"], together=True)
    w.run(22)
    w.elect()
    w.submit("wk-h", parcels=4, awaits=["wk-g", "wk-a"])
    w.run(10)
    w.cancel("wk-c")
    w.run(3)
    w.crash(w.leader)
    w.submit("wk-i", parcels=2, awaits=["wk-h"])
    w.submit("wk-early", parcels=2, awaits=["wk-unknown"])
    w.run(4)
    w.submit("wk-unknown", parcels=2)
    return w.finish()


def limited_platform(next_: dict[str, float] | None) -> dict[str, Any]:
    """Settings with the state service's limits of now, and those to come if they are known."""
    platform = copy.deepcopy(PLATFORM)
    limits = {"rps": 70, "write_rps": 25, "value_kb": 32, "txn_ops": 20}
    platform["settings"]["state"] = limits | ({"next": next_} if next_ else {})
    return platform


def limits_fall(sink: Sink, seed: int) -> dict[str, Any]:
    """The sizes of values and of transactions fall; leaders change before, at and after that."""
    w = RecordedWorld(
        sink, seed, platform=limited_platform(None), txn_lost=0.05, txn_twice=0.1, report_lost=0.05
    )
    w.store.value_bytes, w.store.txn_ops = 32 * 1024, 20
    small: dict[str, Any] = {"cpus": 0.2, "memGb": 0.1}
    for i, tasks in enumerate([600, 90, 30, 6]):
        w.submit(f"wk-{i}", parcels=tasks, run_s=20.0 + 5 * i, haulS=20.0, **small)
    w.run(15)
    next_ = {"write_rps": 18, "value_kb": 2.0, "txn_ops": 6}
    w.settings = parse_platform(limited_platform(next_))
    w.elect()
    w.run(3)
    w.submit("wk-between", parcels=60, run_s=12.0, **small)
    w.run(3)
    w.store.value_bytes, w.store.txn_ops = 2048, 6
    w.run(6)
    w.subchunks_supported = True
    w.elect()
    w.submit("wk-after", parcels=70, run_s=10.0, **small)
    w.run(6)
    w.cancel("wk-3")
    w.crash(w.leader)
    return w.finish()


def failover(sink: Sink, seed: int) -> dict[str, Any]:
    """Leaders stall, crash and are cut off; workers go on reporting to a node of an earlier one."""
    w = RecordedWorld(sink, seed, capacity=8, mesh_lost=0.03, mesh_delay=0.3, order_lost=0.2)
    for i in range(5):
        w.submit(f"wk-{i}", parcels=8, run_s=60.0, haulS=60.0, crew="t1" if i % 2 else "t2")
    w.run(25)
    w.sleep(w.leader, 12.0)
    w.run(5)
    w.cancel("wk-0")
    w.crash(w.leader)
    w.run(5)
    w.stale = {machine.id for machine in busy(w)[:3]}
    w.stale_epoch = leader(w).token
    w.elect()
    w.cancel("wk-1")
    w.outage_until = w.now + 15.0
    w.run(20)
    w.cut = {(w.leader + 1) % w.nodes}
    w.run(10)
    w.cut.clear()
    for _ in range(4):
        w.run(w.rng.uniform(1.0, 10.0))
        w.crash(w.leader)
    return w.finish()


def values_shrink(sink: Sink, seed: int) -> dict[str, Any]:
    """Values become smaller than any setting foretold; records are cut and leaders change."""
    limits = {"write_rps": 18, "value_kb": 2.0, "txn_ops": 6}
    w = RecordedWorld(sink, seed, platform=limited_platform(limits), txn_lost=0.1)
    small: dict[str, Any] = {"cpus": 0.2, "memGb": 0.1}
    w.subchunks_supported = True
    for i, tasks in enumerate([60, 3, 20, 45]):
        w.submit(f"wk-{i}", parcels=tasks, run_s=30.0, haulS=30.0, **small)
    w.run(4)
    w.store.value_bytes = 400
    w.run(16)
    w.crash(w.leader)
    w.run(6)
    w.submit("wk-later", parcels=25, run_s=10.0, **small)
    w.run(10)
    w.elect()
    w.cancel("wk-2")
    return w.finish()


def held_cloud_calls(sink: Sink, seed: int) -> dict[str, Any]:
    """Rentals and returns are held back, handed back, and taken over from an earlier leader."""
    w = RecordedWorld(sink, seed, capacity=6, cloud_given_back=0.2)
    leader(w).cloud_requests.scale_out_admission = RequestAdmission.BLOCKED
    for i in range(4):
        w.submit(f"wk-{i}", parcels=10, run_s=15.0 + 20 * i, haulS=15.0)
    w.run(4)
    leader(w).cloud_requests.scale_out_admission = RequestAdmission.OPEN
    w.run(18)
    hanging = busy(w)[0]
    hanging.hangs_until = w.now + 100.0
    w.cancel("wk-3")
    leader(w).cloud_requests.deletion_admission = RequestAdmission.OVERDUE_ONLY
    w.run(28)
    leader(w).cloud_requests.deletion_admission = RequestAdmission.OPEN
    w.elect()
    now = MonotonicTime(w.now)
    leader(w).cloud_requests.resume_deletion(MachineId(next(iter(w.cloud.machines))), now)
    leader(w).cloud_requests.resume_scale_out(
        ScaleOutRequest("earlier", MachineOffering("small", "a", False), 2)
    )
    leader(w).cloud_requests.deletion_admission = RequestAdmission.BLOCKED
    w.run(8)
    leader(w).cloud_requests.deletion_admission = RequestAdmission.OPEN
    w.submit("wk-last", parcels=12, run_s=8.0)
    return w.finish()


def lost_links(sink: Sink, seed: int) -> dict[str, Any]:
    """Connections between nodes break, the leader stalls, and peers tell of higher epochs."""
    w = RecordedWorld(sink, seed, capacity=8, mesh_lost=0.1, mesh_delay=1.0, answer_slow=0.05)
    for i in range(4):
        w.submit(f"wk-{i}", parcels=10, run_s=30.0, haulS=30.0)
    w.run(18)
    for i in range(w.nodes):
        leader(w).on_relay_lost(NodeId(f"n{i}"))
        w.relays[i].on_leader_disconnected()
        w.run(2)
    leader(w).exclude_stall(3.0)
    relay = w.relays[(w.leader + 1) % w.nodes]
    relay.observe_newer_token(FencingToken(relay.token + 1), MonotonicTime(w.now))
    w.run(4)
    relay.confirm_token(relay.token, MonotonicTime(w.now))
    w.relays[w.leader].revoke_lease()
    w.elect()
    leader(w).record_tick_duration(0.2)
    w.unreachable_nodes = {w.leader}
    w.run(8)
    w.unreachable_nodes = set()
    w.cancel("wk-3")
    return w.finish()


def election(sink: Sink, seed: int) -> dict[str, Any]:
    """Nodes that restart in turn, with requests that are late or lost."""
    w = RecordedElection(sink, seed, 5)
    for _ in range(30):
        w.run(w.rng.uniform(0.1, 2.5))
        w.restart(w.rng.randrange(len(w.nodes)))
    for _ in range(20):
        w.run(1.0)
    for step in range(8):
        now = MonotonicTime(w.now)
        for e in w.nodes:
            e.on_leader_key_changed(now)
            if e.role is not Role.LEADER:
                continue
            if step % 3 == 0:
                e.resign(now)
            elif step % 3 == 1:
                e.on_write_fenced(now)
            else:
                e.observe_token(FencingToken(e.token + 1), now)
        w.run(5.0)
    w.nodes[0].defer_candidacy(MonotonicTime(w.now + 3.0))
    w.nodes[1].resign_permanently(MonotonicTime(w.now))
    for _ in range(10):
        w.run(1.0)
    return w.recording.result()


def duties(sink: Sink, seed: int) -> dict[str, Any]:
    """Holders of duties under the faults of their world."""
    w = RecordedDuties(sink, seed, 3 + seed % 2)
    w.run(90.0)
    return w.finish()


Scenario = Callable[[Sink, int], dict[str, Any]]


def _play(scenario: Scenario, seed: int, sink: Sink) -> dict[str, Any]:
    return scenario(sink, seed)


FUNCTIONS: dict[str, Scenario] = {
    "quiet": quiet,
    "lost-messages": lost_messages,
    "preemption": preemption,
    "machines-fail": machines_fail,
    "chains": chains,
    "limits-fall": limits_fall,
    "values-shrink": values_shrink,
    "held-cloud-calls": held_cloud_calls,
    "lost-links": lost_links,
    "failover": failover,
    "election": election,
    "duties": duties,
}
SEEDS = (1, 2)
SCENARIOS: dict[str, Callable[[Sink], dict[str, Any]]] = {
    f"{name}-{seed}": partial(_play, function, seed)
    for name, function in FUNCTIONS.items()
    for seed in SEEDS
}


# -- reading, replaying and writing


def stored() -> dict[str, dict[str, Any]]:
    """The record in its file, by scenario."""
    found: dict[str, dict[str, Any]] = orjson.loads(RECORD_FILE.read_bytes())
    return found


def replay(name: str) -> dict[str, Any]:
    """Plays one scenario in a process of its own, with the fixed hash seed."""
    command = [sys.executable, __file__, "--digests", name]
    environment = os.environ | {"PYTHONHASHSEED": HASH_SEED}
    done = subprocess.run(command, env=environment, capture_output=True, check=False)
    assert done.returncode == 0, done.stderr.decode()
    found: dict[str, Any] = orjson.loads(done.stdout)
    return found


def first_difference(old: dict[str, Any], new: dict[str, Any]) -> str | None:
    """Where two records of one scenario part; None: nowhere."""
    if old == new:
        return None
    for before, after in zip(old["seconds"], new["seconds"], strict=False):
        if before != after:
            return f"at second {min(before[0], after[0])}: {before} before, {after} now"
    return f"after second {old['seconds'][-1][0]}: {old['events']} events, now {new['events']}"


def record_text(scenarios: dict[str, dict[str, Any]]) -> str:
    """The record as it is stored: one line per simulated second, for small diffs."""
    lines = []
    for name, found in scenarios.items():
        head = {key: value for key, value in found.items() if key != "seconds"}
        seconds = ",\n".join(orjson.dumps(second).decode() for second in found["seconds"])
        lines.append(f'"{name}": {orjson.dumps(head).decode()[:-1]},"seconds":[\n{seconds}]}}')
    return "{\n" + ",\n".join(lines) + "\n}\n"


def dump(names: Iterable[str], path: Path) -> None:
    """Writes all events of the scenarios in full."""
    with path.open("wb") as out:
        for name in names:
            events: list[bytes] = []
            SCENARIOS[name](events)
            out.writelines(name.encode() + b" " + event for event in events)


def main() -> int:
    """The command line."""
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        environment = os.environ | {"PYTHONHASHSEED": HASH_SEED}
        return subprocess.run([sys.executable, *sys.argv], env=environment, check=False).returncode
    parser = argparse.ArgumentParser(description="Record of behaviour, scenario by scenario.")
    action = parser.add_mutually_exclusive_group(required=True)
    action.add_argument("--write", action="store_true", help="replace the stored record")
    action.add_argument("--digests", choices=SCENARIOS, help="print the digests of a scenario")
    action.add_argument("--dump", type=Path, help="write the events of all scenarios to a file")
    arguments = parser.parse_args()
    if arguments.write:
        found = {name: scenario(None) for name, scenario in SCENARIOS.items()}
        RECORD_FILE.write_text(record_text(found))
    elif arguments.dump is not None:
        dump(SCENARIOS, arguments.dump)
    else:
        sys.stdout.buffer.write(orjson.dumps(SCENARIOS[arguments.digests](None)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
