"""Records all output of the state machines, to compare the behaviour of two revisions.

Each scenario drives the leader, the relays, the election or the named leases through a simulation
with a fixed seed. Every command to a worker, transaction, cloud request, response to a user and
frame between nodes is an event. It is recorded as the bytes that the wire codecs produce, in the
order of sending, so the record does not depend on names in the sources.

`behaviour_record.json` holds, for each scenario, one entry per simulated second in which something
was sent: the second, the number of events so far and the start of a SHA-256 digest of all of them.
The first entry that differs is the second in which the behaviour of two revisions diverges.

    python3 tests/behaviour_record.py --write           # replace the stored record
    python3 tests/behaviour_record.py --digests NAME    # print the digests of one scenario
    python3 tests/behaviour_record.py --dump FILE       # all events in full, for `diff`

The script restarts itself with a fixed PYTHONHASHSEED, since the order of sets may affect the
events.
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
from named_lease_world import NamedLeaseWorld, SimulatedNode
from relay_world import HeartbeatInFlight, RelayWorld
from simulators import CATALOG, StoreSim, WorkerSim
from test_election import ElectionWorld
from world import PLATFORM

RECORD_FILE = Path(__file__).resolve().with_suffix(".json")
HASH_SEED = "0"
DIGEST_CHARS = 16  # hexadecimal digits of the digest that are kept per second
SETTLE_LIMIT_S = 400.0

# Kinds of events. The values are part of the stored record and do not follow names in the sources.
COMMANDS, DIRECT_KILLS, PROBE, WORKER_RESPONSE = "commands", "order", "probe", "worker-answer"
TRANSACTION, LEARNED_STATE, STORE_REQUEST, STORED_ITEM = "transaction", "memory", "store", "stored"
CLOUD_REQUEST, FRAME, USER_RESPONSE, LEASE_REQUEST, STORE_READ, LEASE_STATUS = (
    "cloud",
    "frame",
    "user",
    "lease",
    "read",
    "status",
)

Sink = list[bytes] | None  # receives all events in full; None: they are only digested
# The entries of one scenario: second, number of events so far, start of the digest.
Entries = list[list[Any]]


class Recording:
    """Collects the events of one scenario and their running digest."""

    def __init__(self, clock: Callable[[], float], sink: Sink) -> None:
        """Start with no events; `clock` returns the simulated time in seconds."""
        self._clock = clock
        self._sink = sink
        self._running_digest = hashlib.sha256()
        self._event_count = 0
        self._byte_count = 0
        self._entries: Entries = []
        self.kinds: Counter[str] = Counter()

    def add(self, kind: str, subject: str, data: bytes) -> None:
        """Record an event: its kind, the node, machine or job concerned, and the bytes sent."""
        second = int(self._clock() + 1e-6)
        line = f"{second} {kind} {subject} ".encode() + data + b"\n"
        self._running_digest.update(line)
        self._event_count += 1
        self._byte_count += len(line)
        self.kinds[kind] += 1
        if not self._entries or self._entries[-1][0] != second:
            self._entries.append([second, 0, ""])
        self._entries[-1][1:] = [self._event_count, self._running_digest.hexdigest()[:DIGEST_CHARS]]
        if self._sink is not None:
            self._sink.append(line)

    def add_json(self, kind: str, subject: str, value: Any) -> None:
        """Record an event that no wire codec encodes; `value` must be plain JSON."""
        self.add(kind, subject, orjson.dumps(value))

    def result(self) -> dict[str, Any]:
        """Return the scenario's part of the stored record."""
        return {
            "events": self._event_count,
            "bytes": self._byte_count,
            "kinds": dict(sorted(self.kinds.items())),
            "digest": self._running_digest.hexdigest(),
            "seconds": self._entries,
        }


# -- recording wrappers: the output of the state machines


def cloud_request_bytes(cloud_request: CloudRequest) -> bytes:
    """Return the body of the request, or the path if it has no body."""
    if isinstance(cloud_request, ScaleOut):
        offering = cloud_request.request.offering
        name, machine_count = cloud_request.request.name, cloud_request.request.machine_count
        return cloud.create_machines_body(
            name, offering.type, offering.zone, offering.is_spot, machine_count
        )
    if isinstance(cloud_request, DeleteMachines):
        return cloud.delete_machines_body(list(cloud_request.machines))
    if isinstance(cloud_request, ListMachines):
        return cloud.machines_path(cloud_request.after).encode()
    return b"/catalog"


def election_request(action: Any) -> bytes:
    """Return the election's request to the state service: its body, path or a short form."""
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
    raise AssertionError(f"no request is known for the action {type(action).__name__}")


def heartbeat_frame(heartbeat: peers.PeerHeartbeat) -> bytes:
    """Return the heartbeat of a peer after it was encoded, parsed and encoded once more."""
    return peers.encode_peer_heartbeat(
        peers.parse_peer_heartbeat(peers.parse_frame(peers.encode_peer_heartbeat(heartbeat)))
    )


def heartbeat_ack_frame(ack: peers.PeerHeartbeatAck) -> bytes:
    """Return the acknowledgement of a peer's heartbeat, parsed and encoded once more."""
    return peers.encode_peer_heartbeat_ack(
        peers.parse_peer_heartbeat_ack(peers.parse_frame(peers.encode_peer_heartbeat_ack(ack)))
    )


def heartbeat_reply_frame(reply: peers.HeartbeatReply) -> bytes:
    """Return the leader's reply to a forwarded heartbeat, parsed and encoded once more."""
    return peers.encode_heartbeat_replies(
        peers.parse_heartbeat_replies(peers.parse_frame(peers.encode_heartbeat_replies([reply])))
    )


def job_reply_frame(kind: str, reply: peers.JobReply) -> bytes:
    """Return the leader's reply about a job, parsed and encoded once more."""
    return peers.encode_job_replies(
        kind, peers.parse_job_replies(peers.parse_frame(peers.encode_job_replies(kind, [reply])))
    )


class RecordingStore(StoreSim):
    """Records the transactions that reach the state service, and its responses."""

    def __init__(self, recording: Recording) -> None:
        super().__init__()
        self._recording = recording

    def txn(self, body: bytes) -> tuple[int, dict[str, Any]]:
        status, response = super().txn(body)
        self._recording.add(STORE_REQUEST, str(status), body + b" " + orjson.dumps(response))
        return status, response

    def record_all_items(self) -> None:
        """Record all keys with their values."""
        for item in self.range(""):
            self._recording.add_json(STORED_ITEM, "", item)


class RecordingScheduler(Scheduler):
    """The leader's state machine, which records all that it returns for sending."""

    recording: Recording

    def on_heartbeat(
        self, heartbeat: workers.Heartbeat, now: MonotonicTime, relay: NodeId | None = None
    ) -> list[workers.Command] | None:
        commands = super().on_heartbeat(heartbeat, now, relay)
        body = (
            b"overtaken"
            if commands is None
            else workers.commands_response_body(self.token, commands)
        )
        self.recording.add(COMMANDS, heartbeat.machine, body)
        return commands

    def on_response_undelivered(self, machine_id: MachineId) -> None:
        self.recording.add(FRAME, "", peers.encode_machines(peers.UNDELIVERED, [machine_id]))
        super().on_response_undelivered(machine_id)

    def take_direct_kills(self, now: MonotonicTime) -> list[DirectKill]:
        kills = super().take_direct_kills(now)
        for kill in kills:
            body = workers.direct_commands_body(self.token, kill.agent_epoch, kill.commands)
            self.recording.add(DIRECT_KILLS, f"{kill.machine_id} {kill.address}", body)
        return kills

    def take_probes(self) -> list[Probe]:
        probes = super().take_probes()
        for probe in probes:
            self.recording.add_json(PROBE, probe.machine_id, probe.address)
        return probes

    def take_machines_needing_command(self) -> dict[NodeId, list[MachineId]]:
        machines_by_relay = super().take_machines_needing_command()
        for relay, machines in machines_by_relay.items():
            self.recording.add(
                FRAME, relay, peers.encode_machines(peers.NEXT_HEARTBEAT_REQUESTS, machines)
            )
        return machines_by_relay

    def next_transaction(
        self, now: MonotonicTime, max_operations: int
    ) -> PendingTransaction | None:
        pending = super().next_transaction(now, max_operations)
        if pending is not None:
            self.recording.add(TRANSACTION, "", pending.transaction.body())
        return pending

    def next_learned_state_transaction(
        self, now: MonotonicTime, max_operations: int | None = None
    ) -> Transaction | None:
        txn = super().next_learned_state_transaction(now, max_operations)
        if txn is not None:
            self.recording.add(LEARNED_STATE, "", txn.body())
        return txn

    def next_cloud_request(self, now: MonotonicTime) -> CloudRequest | None:
        request = super().next_cloud_request(now)
        if request is not None:
            self.recording.add(CLOUD_REQUEST, "", cloud_request_bytes(request))
        return request

    def take_due_end_lookups(self, now: MonotonicTime, max_lookups: int) -> list[JobId]:
        jobs = super().take_due_end_lookups(now, max_lookups)
        for job in jobs:
            self.recording.add(STORE_READ, "", state.key_path(f"end/{job}").encode())
        return jobs

    def take_finished_jobs(self) -> list[FinishedJob]:
        finished = super().take_finished_jobs()
        for finished_job in finished:
            self.recording.add(
                USER_RESPONSE,
                "end",
                users.job_state_body(finished_job.job_id, finished_job.outcome),
            )
        return finished

    def cancel_job(self, job_id: JobId, now: MonotonicTime) -> str | LookupFailure:
        state_or_failure = super().cancel_job(job_id, now)
        reply = peers.JobReply(0, state_text(state_or_failure), 0, 0)
        self.recording.add(USER_RESPONSE, job_id, job_reply_frame(peers.CANCEL_REPLIES, reply))
        return state_or_failure

    def record_status(self, job_id: JobId) -> None:
        """Record the response to a poll of the job."""
        status = self.job_status(job_id)
        if isinstance(status, JobStatus):
            unmet = status.unmet_dependencies
            body = users.job_state_body(
                job_id, status.state, status.done_count, status.running_count, unmet
            )
            reply = peers.JobReply(0, status.state, status.done_count, status.running_count, unmet)
            self.recording.add(USER_RESPONSE, "poll", body)
        else:
            reply = peers.JobReply(0, state_text(status), 0, 0)
        self.recording.add(FRAME, job_id, job_reply_frame(peers.JOB_STATES, reply))


def state_text(state_or_failure: str | LookupFailure) -> str:
    """Return a job's state, or why it is not known, as frames between nodes encode it."""
    if isinstance(state_or_failure, LookupFailure):
        return peers.UNDECIDED if state_or_failure is LookupFailure.UNDECIDED else peers.UNKNOWN
    return state_or_failure


class RecordingRelay(HeartbeatRelay):
    """A relay, which records its responses to workers and its frames to the leader."""

    recording: Recording

    def handle_heartbeat(
        self,
        machine: MachineId,
        sequence: HeartbeatSequence,
        token: FencingToken,
        has_preemption_notice: bool,
        tasks: Any,
        now: MonotonicTime,
        leader_reachable: bool,
    ) -> Decision:
        decision = super().handle_heartbeat(
            machine, sequence, token, has_preemption_notice, tasks, now, leader_reachable
        )
        if isinstance(decision, Acknowledge):
            body = workers.heartbeat_response_body(decision.token, [])
        elif isinstance(decision, Redirect):
            body = workers.redirect_body(decision.target)
        elif isinstance(decision, Forward):
            body = peers.encode_forwarded_heartbeats(
                self.token, [(sequence.number, orjson.dumps(tasks))]
            )
        else:
            body = b"overtaken"
        self.recording.add(FRAME, f"{self.label} {machine}", body)
        return decision

    def renew_lease(
        self,
        token: FencingToken,
        leader: NodeId,
        requested_at: MonotonicTime,
        now: MonotonicTime,
        max_machines: int | None = None,
        redirect_target: NodeId | None = None,
    ) -> None:
        super().renew_lease(token, leader, requested_at, now, max_machines, redirect_target)
        is_holder = self.holds_lease(now)
        ack = peers.PeerHeartbeatAck(
            0, self.token, is_holder, True, max_machines or 0, redirect_target, 0
        )
        self.recording.add(FRAME, f"{self.label} {self.leader}", heartbeat_ack_frame(ack))

    def take_acknowledged(self, now: MonotonicTime) -> AcknowledgedHeartbeats:
        acknowledged = super().take_acknowledged(now)
        heartbeat = peers.PeerHeartbeat(
            self.label, 0, self.token, True, self.machine_count, 0, acknowledged
        )
        self.recording.add(FRAME, self.label, heartbeat_frame(heartbeat))
        return acknowledged

    def on_leader_response(
        self,
        machine: MachineId,
        sequence: HeartbeatSequence,
        has_preemption_notice: bool,
        tasks: Any,
        wants_next: bool,
    ) -> None:
        reply = peers.HeartbeatReply(sequence.number, [], wants_next)
        self.recording.add(FRAME, f"{self.label} {machine}", heartbeat_reply_frame(reply))
        super().on_leader_response(machine, sequence, has_preemption_notice, tasks, wants_next)

    def on_stale_heartbeat(self, machine: MachineId, sequence: HeartbeatSequence) -> None:
        reply = peers.HeartbeatReply(sequence.number, None, False)
        self.recording.add(FRAME, f"{self.label} {machine}", heartbeat_reply_frame(reply))
        super().on_stale_heartbeat(machine, sequence)


# -- the simulations with recording wrappers


class RecordedWorld(RelayWorld):
    """A simulation of leader, relays, state service, cloud and workers, which is recorded."""

    def __init__(self, sink: Sink, seed: int, **faults: Any) -> None:
        self.recording = Recording(lambda: self.now, sink)
        self._last_poll_s = 0
        super().__init__(seed, **faults)

    def elect(self) -> None:
        if not isinstance(self.store, RecordingStore):
            self.store = RecordingStore(self.recording)
        super().elect()

    def new_scheduler(self, epoch: FencingToken) -> RecordingScheduler:
        scheduler = RecordingScheduler(
            self.settings,
            self.tuning,
            epoch,
            cloud.parse_catalog(CATALOG),
            MonotonicTime(self.now),
            WallTime(self.now),
            self.incarnation,
        )
        scheduler.recording = self.recording
        return scheduler

    def new_relay(self, i: int) -> RecordingRelay:
        relay = RecordingRelay(NodeId(f"n{i}"), 0.4 * self.settings.lease_s, 0.02)
        relay.recording = self.recording
        return relay

    def answer(self, worker: WorkerSim, flight: HeartbeatInFlight, body: bytes) -> None:
        self.recording.add(WORKER_RESPONSE, worker.id, body)
        super().answer(worker, flight, body)

    def step(self, dt: float) -> None:
        super().step(dt)
        if int(self.now) > self._last_poll_s:
            self._last_poll_s = int(self.now)
            self.record_statuses()

    def serve_cloud(self, scheduler: Scheduler, now: MonotonicTime) -> None:
        if self.faults.get("cloud_request_requeued") and self.chance("cloud_request_requeued"):
            request = scheduler.next_cloud_request(now)
            if isinstance(request, ScaleOut | DeleteMachines):
                scheduler.cloud_requests.requeue_unsent(request)
            elif request is not None:
                scheduler.on_cloud_response(request, 503, b"", now)
            return
        super().serve_cloud(scheduler, now)

    def record_statuses(self) -> None:
        """Record the response to a poll of every job."""
        assert isinstance(self.scheduler, RecordingScheduler)
        for job in self.jobs:
            self.scheduler.record_status(JobId(job))

    def finish(self) -> dict[str, Any]:
        """Run until 10 s after all jobs have ended; record the store and return the result."""
        end = self.now + SETTLE_LIMIT_S
        while not self.all_ended() and self.now < end:
            self.run(1.0)
        assert self.all_ended(), f"not all jobs have ended after {SETTLE_LIMIT_S} s"
        self.run(10.0)
        assert isinstance(self.store, RecordingStore)
        self.store.record_all_items()
        return self.recording.result()


class RecordedElection(ElectionWorld):
    """A simulation of elections alone, which is recorded."""

    def __init__(self, sink: Sink, seed: int, nodes: int) -> None:
        self.recording = Recording(lambda: self.now, sink)
        super().__init__(seed, nodes)

    def send(self, election: Election, action: Any) -> None:
        self.recording.add(STORE_REQUEST, f"{election.node_id}", election_request(action))
        super().send(election, action)

    def run(self, seconds: float) -> None:
        super().run(seconds)
        for election in self.nodes:
            is_leader = election.role is Role.LEADER
            ack = peers.PeerHeartbeatAck(
                0, FencingToken(election.token), is_leader, True, 0, election.leader, 0
            )
            self.recording.add(FRAME, election.node_id, heartbeat_ack_frame(ack))


class RecordedNamedLeases(NamedLeaseWorld):
    """A simulation of nodes that hold named leases, which is recorded."""

    def __init__(self, sink: Sink, seed: int, nodes: int) -> None:
        self.recording = Recording(lambda: self.now, sink)
        super().__init__(seed, nodes)

    def commit(
        self,
        node: SimulatedNode,
        transaction: Transaction,
        on_answer: Callable[[int | None, Any], None],
    ) -> None:
        self.recording.add(TRANSACTION, node.node_id, transaction.body())
        super().commit(node, transaction, on_answer)

    def read(
        self, node: SimulatedNode, prefix: str, on_answer: Callable[[int | None, Any], None]
    ) -> None:
        self.recording.add(STORE_READ, node.node_id, state.range_path(prefix, None).encode())
        super().read(node, prefix, on_answer)

    def serve_lease(
        self,
        node: SimulatedNode,
        action: str,
        value: Any,
        on_answer: Callable[[int | None, Any], None],
    ) -> None:
        self.recording.add_json(LEASE_REQUEST, node.node_id, [action, value])
        super().serve_lease(node, action, value, on_answer)

    def call_cloud(
        self,
        node: SimulatedNode,
        request: ScaleOut | DeleteMachines,
        on_answer: Callable[[int | None, Any], None],
    ) -> None:
        self.recording.add(CLOUD_REQUEST, node.node_id, cloud_request_bytes(request))
        super().call_cloud(node, request, on_answer)

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            super().run(min(1.0, end - self.now))
            self.record_holders()

    def record_holders(self) -> None:
        """Record for each node the leader that it knows and the named leases that it holds."""
        for node in self.nodes:
            tokens = [[lease.value, node.candidate.held_token(lease)] for lease in LeaseName]
            value = [node.election.leader, node.election.token, tokens]
            self.recording.add_json(LEASE_STATUS, node.node_id, value)

    def finish(self) -> dict[str, Any]:
        """End all faults, wait until all is settled, record the store and return the result."""
        self.settle()
        for item in self.store.range(""):
            self.recording.add_json(STORED_ITEM, "", item)
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
    "mesh_delay_s": 0.5,
    "direct_kill_lost": 0.3,
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


def submit_mix(world: RecordedWorld) -> None:
    """Submit one job of each kind."""
    for i, changes in enumerate(JOBS):
        world.submit(f"wk-{i:06d}", **changes)


def leader(world: RecordedWorld) -> Scheduler:
    """Return the leader's state machine."""
    assert world.scheduler is not None
    return world.scheduler


def busy(world: RecordedWorld) -> list[WorkerSim]:
    """Return the machines on which a task runs, in the order of their creation."""
    return [machine for machine in world.cloud.machines.values() if machine.running_tasks()]


def quiet(sink: Sink, seed: int) -> dict[str, Any]:
    """No faults: machines are created for the jobs and deleted after them."""
    world = RecordedWorld(sink, seed, capacity=8)
    submit_mix(world)
    world.run(30)
    world.submit("wk-late", parcels=12, run_s=15.0, haulS=15.0, crew="t1")
    world.finish()
    world.run(60)
    return world.recording.result()


def lost_messages(sink: Sink, seed: int) -> dict[str, Any]:
    """Any message may be lost, repeated or delayed; the store and the cloud fail for a while."""
    world = RecordedWorld(sink, seed, capacity=8, **MESSAGE_FAULTS)
    submit_mix(world)
    world.submit("wk-cancelled", run_s=200.0, haulS=200.0, parcels=10)
    world.run(15)
    world.outage_until = world.now + 10.0
    world.run(5)
    world.cancel("wk-cancelled")
    world.run(10)
    world.cloud_down_until = world.now + 8.0
    world.cancel("wk-000006")
    world.run(15)
    world.crash((world.leader + 1) % world.nodes)
    world.run(5)
    world.cancel("wk-cancelled")
    return world.finish()


def preemption(sink: Sink, seed: int) -> dict[str, Any]:
    """Low-priority jobs fill few machines; then prod and urgent jobs of a limited team arrive."""
    world = RecordedWorld(sink, seed, capacity=3, report_lost=0.05)
    for i, urgency in enumerate(["idle", "idle", "standard"]):
        world.submit(
            f"wk-low-{i}", run_s=60.0, haulS=60.0, parcels=12, urgency=urgency, waypointS=10.0
        )
    world.run(25)
    world.submit("wk-prod", parcels=8, cpus=4.0, run_s=10.0, urgency="prod", crew="t1", lot="quick")
    world.run(8)
    world.submit("wk-urgent", parcels=6, run_s=10.0, urgency="urgent", crew="t1", stowS=2.0)
    world.run(12)
    world.elect()
    world.submit("wk-together", parcels=5, run_s=10.0, urgency="urgent", together=True)
    world.cancel("wk-low-1")
    return world.finish()


def machines_fail(sink: Sink, seed: int) -> dict[str, Any]:
    """Machines disappear, hang, fail all tasks, are preempted or reach no node."""
    world = RecordedWorld(sink, seed, capacity=10, report_lost=0.03)
    for i in range(5):
        world.submit(f"wk-{i}", parcels=10, run_s=30.0, haulS=30.0, cpus=2.0, spread=i == 3)
    world.run(20)
    lost, hanging, faulty, preempted, disconnected = (
        busy(world) + list(world.cloud.machines.values())
    )[:5]
    del world.cloud.machines[lost.id]
    hanging.hangs_until = world.now + 45.0
    faulty.faulty = True
    preempted.preemption_notice_s = 10.0
    world.disconnected_machines = {disconnected.id}
    world.run(8)
    world.cancel("wk-1")
    world.run(12)
    world.disconnected_machines.clear()
    faulty.faulty = False
    world.machines_without_inbound_messages = {machine.id for machine in busy(world)[:1]}
    world.cancel("wk-2")
    world.run(35)
    world.machines_without_inbound_messages.clear()
    for machine in list(world.cloud.machines.values())[:2]:
        machine.run_time_factor = 8.0
    for i in range(5, 8):
        world.submit(f"wk-{i}", parcels=16, run_s=10.0, haulS=10.0, cpus=2.0, crew="t1")
    world.run(15)
    for machine in busy(world)[:1]:
        machine.faulty = True
    return world.finish()


def chains(sink: Sink, seed: int) -> dict[str, Any]:
    """Jobs that depend on others, by lists in their records and outside; one is cancelled."""
    world = RecordedWorld(sink, seed, capacity=8, txn_lost=0.05, answer_lost=0.05)
    world.submit("wk-a", parcels=8, run_s=8.0, haulS=8.0)
    world.submit("wk-b", parcels=8, run_s=8.0, haulS=8.0, awaits=["wk-a"], dueS=60.0)
    world.submit("wk-c", parcels=4, run_s=40.0, haulS=40.0, crew="t1")
    world.submit("wk-d", parcels=4, awaits=["wk-b", "wk-c"])
    world.submit("wk-e", parcels=4, dependency_list_parts=2, awaits=["wk-a", "wk-b", "wk-c"])
    world.submit("wk-f", parcels=4, awaits=["wk-e"], urgency="urgent")
    world.submit("wk-g", parcels=6, awaits=["wk-a"], together=True)
    world.run(22)
    world.elect()
    world.submit("wk-h", parcels=4, awaits=["wk-g", "wk-a"])
    world.run(10)
    world.cancel("wk-c")
    world.run(3)
    world.crash(world.leader)
    world.submit("wk-i", parcels=2, awaits=["wk-h"])
    world.submit("wk-early", parcels=2, awaits=["wk-unknown"])
    world.run(4)
    world.submit("wk-unknown", parcels=2)
    return world.finish()


def limited_platform(next_limits: dict[str, float] | None) -> dict[str, Any]:
    """Return settings with limits of the state service, and with the announced next ones if any."""
    platform = copy.deepcopy(PLATFORM)
    limits = {"rps": 70, "write_rps": 25, "value_kb": 32, "txn_ops": 20}
    platform["settings"]["state"] = limits | ({"next": next_limits} if next_limits else {})
    return platform


def limits_fall(sink: Sink, seed: int) -> dict[str, Any]:
    """The state service's size limits are lowered; leaders change before, during and after that."""
    world = RecordedWorld(
        sink, seed, platform=limited_platform(None), txn_lost=0.05, txn_twice=0.1, report_lost=0.05
    )
    world.store.value_bytes, world.store.txn_ops = 32 * 1024, 20
    small: dict[str, Any] = {"cpus": 0.2, "memGb": 0.1}
    for i, tasks in enumerate([600, 90, 30, 6]):
        world.submit(f"wk-{i}", parcels=tasks, run_s=20.0 + 5 * i, haulS=20.0, **small)
    world.run(15)
    next_limits = {"write_rps": 18, "value_kb": 2.0, "txn_ops": 6}
    world.settings = parse_platform(limited_platform(next_limits))
    world.elect()
    world.run(3)
    world.submit("wk-between", parcels=60, run_s=12.0, **small)
    world.run(3)
    world.store.value_bytes, world.store.txn_ops = 2048, 6
    world.run(6)
    world.subchunks_supported = True
    world.elect()
    world.submit("wk-after", parcels=70, run_s=10.0, **small)
    world.run(6)
    world.cancel("wk-3")
    world.crash(world.leader)
    return world.finish()


def failover(sink: Sink, seed: int) -> dict[str, Any]:
    """Leaders stall, crash and are cut off; workers still report to a node of an earlier leader."""
    world = RecordedWorld(
        sink, seed, capacity=8, mesh_lost=0.03, mesh_delay_s=0.3, direct_kill_lost=0.2
    )
    for i in range(5):
        world.submit(f"wk-{i}", parcels=8, run_s=60.0, haulS=60.0, crew="t1" if i % 2 else "t2")
    world.run(25)
    world.stall_node(world.leader, 12.0)
    world.run(5)
    world.cancel("wk-0")
    world.crash(world.leader)
    world.run(5)
    world.machines_with_stale_leader = {machine.id for machine in busy(world)[:3]}
    world.stale_leader_token = leader(world).token
    world.elect()
    world.cancel("wk-1")
    world.outage_until = world.now + 15.0
    world.run(20)
    world.cut_off_nodes = {(world.leader + 1) % world.nodes}
    world.run(10)
    world.cut_off_nodes.clear()
    for _ in range(4):
        world.run(world.rng.uniform(1.0, 10.0))
        world.crash(world.leader)
    return world.finish()


def values_shrink(sink: Sink, seed: int) -> dict[str, Any]:
    """The limit on values drops below the announced one; records are split and leaders change."""
    limits = {"write_rps": 18, "value_kb": 2.0, "txn_ops": 6}
    world = RecordedWorld(sink, seed, platform=limited_platform(limits), txn_lost=0.1)
    small: dict[str, Any] = {"cpus": 0.2, "memGb": 0.1}
    world.subchunks_supported = True
    for i, tasks in enumerate([60, 3, 20, 45]):
        world.submit(f"wk-{i}", parcels=tasks, run_s=30.0, haulS=30.0, **small)
    world.run(4)
    world.store.value_bytes = 400
    world.run(16)
    world.crash(world.leader)
    world.run(6)
    world.submit("wk-later", parcels=25, run_s=10.0, **small)
    world.run(10)
    world.elect()
    world.cancel("wk-2")
    return world.finish()


def held_cloud_calls(sink: Sink, seed: int) -> dict[str, Any]:
    """Cloud requests are blocked, requeued unsent, and resumed from an earlier leader."""
    world = RecordedWorld(sink, seed, capacity=6, cloud_request_requeued=0.2)
    leader(world).cloud_requests.scale_out_admission = RequestAdmission.BLOCKED
    for i in range(4):
        world.submit(f"wk-{i}", parcels=10, run_s=15.0 + 20 * i, haulS=15.0)
    world.run(4)
    leader(world).cloud_requests.scale_out_admission = RequestAdmission.OPEN
    world.run(18)
    hanging = busy(world)[0]
    hanging.hangs_until = world.now + 100.0
    world.cancel("wk-3")
    leader(world).cloud_requests.deletion_admission = RequestAdmission.OVERDUE_ONLY
    world.run(28)
    leader(world).cloud_requests.deletion_admission = RequestAdmission.OPEN
    world.elect()
    now = MonotonicTime(world.now)
    leader(world).cloud_requests.resume_deletion(MachineId(next(iter(world.cloud.machines))), now)
    leader(world).cloud_requests.resume_scale_out(
        ScaleOutRequest("earlier", MachineOffering("small", "a", False), 2)
    )
    leader(world).cloud_requests.deletion_admission = RequestAdmission.BLOCKED
    world.run(8)
    leader(world).cloud_requests.deletion_admission = RequestAdmission.OPEN
    world.submit("wk-last", parcels=12, run_s=8.0)
    return world.finish()


def lost_links(sink: Sink, seed: int) -> dict[str, Any]:
    """Connections between nodes break, the leader stalls, and peers report higher tokens."""
    world = RecordedWorld(sink, seed, capacity=8, mesh_lost=0.1, mesh_delay_s=1.0, answer_slow=0.05)
    for i in range(4):
        world.submit(f"wk-{i}", parcels=10, run_s=30.0, haulS=30.0)
    world.run(18)
    for i in range(world.nodes):
        leader(world).on_relay_lost(NodeId(f"n{i}"))
        world.relays[i].on_leader_disconnected()
        world.run(2)
    leader(world).exclude_stall(3.0)
    relay = world.relays[(world.leader + 1) % world.nodes]
    relay.observe_newer_token(FencingToken(relay.token + 1), MonotonicTime(world.now))
    world.run(4)
    relay.confirm_token(relay.token, MonotonicTime(world.now))
    world.relays[world.leader].revoke_lease()
    world.elect()
    leader(world).record_tick_duration(0.2)
    world.unreachable_nodes = {world.leader}
    world.run(8)
    world.unreachable_nodes = set()
    world.cancel("wk-3")
    return world.finish()


def election(sink: Sink, seed: int) -> dict[str, Any]:
    """Nodes restart one after another while requests are delayed or lost."""
    world = RecordedElection(sink, seed, 5)
    for _ in range(30):
        world.run(world.rng.uniform(0.1, 2.5))
        world.restart(world.rng.randrange(len(world.nodes)))
    for _ in range(20):
        world.run(1.0)
    for step in range(8):
        now = MonotonicTime(world.now)
        for candidate in world.nodes:
            candidate.on_leader_key_changed(now)
            if candidate.role is not Role.LEADER:
                continue
            if step % 3 == 0:
                candidate.resign(now)
            elif step % 3 == 1:
                candidate.on_write_fenced(now)
            else:
                candidate.observe_token(FencingToken(candidate.token + 1), now)
        world.run(5.0)
    world.nodes[0].defer_candidacy(MonotonicTime(world.now + 3.0))
    world.nodes[1].resign_permanently(MonotonicTime(world.now))
    for _ in range(10):
        world.run(1.0)
    return world.recording.result()


def duties(sink: Sink, seed: int) -> dict[str, Any]:
    """Nodes acquire and lose named leases under the faults of their simulation."""
    world = RecordedNamedLeases(sink, seed, 3 + seed % 2)
    world.run(90.0)
    return world.finish()


Scenario = Callable[[Sink, int], dict[str, Any]]


def _run_with_seed(scenario: Scenario, seed: int, sink: Sink) -> dict[str, Any]:
    return scenario(sink, seed)


SCENARIO_FUNCTIONS: dict[str, Scenario] = {
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
    f"{name}-{seed}": partial(_run_with_seed, function, seed)
    for name, function in SCENARIO_FUNCTIONS.items()
    for seed in SEEDS
}


# -- reading, replaying and writing


def load_stored_record() -> dict[str, dict[str, Any]]:
    """Return the stored record, by scenario."""
    scenarios: dict[str, dict[str, Any]] = orjson.loads(RECORD_FILE.read_bytes())
    return scenarios


def replay(name: str) -> dict[str, Any]:
    """Run one scenario in its own process, with the fixed hash seed, and return its record."""
    command = [sys.executable, __file__, "--digests", name]
    environment = os.environ | {"PYTHONHASHSEED": HASH_SEED}
    completed = subprocess.run(command, env=environment, capture_output=True, check=False)
    assert completed.returncode == 0, completed.stderr.decode()
    scenario: dict[str, Any] = orjson.loads(completed.stdout)
    return scenario


def first_difference(old: dict[str, Any], new: dict[str, Any]) -> str | None:
    """Return where two records of one scenario diverge; None if they are equal."""
    if old == new:
        return None
    for before, after in zip(old["seconds"], new["seconds"], strict=False):
        if before != after:
            return f"at second {min(before[0], after[0])}: {before} before, {after} now"
    return f"after second {old['seconds'][-1][0]}: {old['events']} events, now {new['events']}"


def record_text(scenarios: dict[str, dict[str, Any]]) -> str:
    """Return the record as it is stored: one line per simulated second, for small diffs."""
    lines = []
    for name, scenario in scenarios.items():
        head = {key: value for key, value in scenario.items() if key != "seconds"}
        seconds = ",\n".join(orjson.dumps(second).decode() for second in scenario["seconds"])
        lines.append(f'"{name}": {orjson.dumps(head).decode()[:-1]},"seconds":[\n{seconds}]}}')
    return "{\n" + ",\n".join(lines) + "\n}\n"


def dump(names: Iterable[str], path: Path) -> None:
    """Write all events of the scenarios in full to `path`."""
    with path.open("wb") as out:
        for name in names:
            events: list[bytes] = []
            SCENARIOS[name](events)
            out.writelines(name.encode() + b" " + event for event in events)


def main() -> int:
    """Run the command line and return its exit status."""
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
        scenarios = {name: scenario(None) for name, scenario in SCENARIOS.items()}
        RECORD_FILE.write_text(record_text(scenarios))
    elif arguments.dump is not None:
        dump(SCENARIOS, arguments.dump)
    else:
        sys.stdout.buffer.write(orjson.dumps(SCENARIOS[arguments.digests](None)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
