"""A simulated node with the real state machines of election, lease candidate and gate."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from eldercart.autoscaling.request_types import (
    DeleteMachines,
    MachineOffering,
    ScaleOut,
    ScaleOutRequest,
)
from eldercart.election.actions import (
    Campaign,
    GrantLease,
    KeepLeaseAlive,
    ReadLeaderKey,
    RevokeLease,
)
from eldercart.election.state_machine import Election, Role
from eldercart.singleton.candidate_actions import Acquire, ReadDirectory, Release
from eldercart.singleton.eligibility import ClusterView
from eldercart.singleton.intents import IntentWrite, WriteOutcome
from eldercart.singleton.lease_candidate import LeaseCandidate, LeaseState, LeaseTimings
from eldercart.singleton.write_ahead_gate import DispatchMode, DispatchPolicy, WriteAheadGate
from eldercart.units import (
    NO_FENCING_TOKEN,
    FencingToken,
    IncarnationId,
    MachineId,
    MonotonicTime,
    NodeId,
    Revision,
    WallTime,
)
from eldercart.wire import named_leases as wire
from eldercart.wire.named_leases import LeaseName
from eldercart.wire.state import Put, Transaction

if TYPE_CHECKING:
    from named_lease_world import NamedLeaseWorld

STEP_S = 0.1
OUTCOMES = {200: WriteOutcome.COMMITTED, 409: WriteOutcome.CONFLICT, 503: WriteOutcome.REJECTED}
AnswerCallback = Callable[[int | None, Any], None]


class SimulatedNode:
    """A node of the simulated cluster, with a clock of its own.

    Requests are sent one step after the state machines decide on them, so that a node can freeze
    between decision and sending."""

    def __init__(self, world: NamedLeaseWorld, node_id: NodeId, node_ids: list[NodeId]) -> None:
        self.world = world
        self.node_id = node_id
        self.node_ids = node_ids
        self.incarnation_number = 0
        self.clock_offset_s = world.rng.uniform(0.0, 1000.0)
        self.clock_rate = 1.0
        self.frozen_until = 0.0  # simulated time in seconds
        self.is_clock_stopped_while_frozen = False
        self.issues_requests = True  # new requests to create or delete machines
        self.lease_ttl_s: dict[int, float] = {}
        self._clock = self.clock_offset_s
        self._last_clock_read_at = world.now
        self.start()

    def start(self) -> None:
        self.incarnation_number += 1
        self.incarnation = IncarnationId(f"{self.node_id}.{self.incarnation_number}")
        self.election = Election(self.node_id, 2.0, 0.02, self.incarnation)
        self.candidate = LeaseCandidate(
            self.node_id, self.incarnation, tuple(LeaseName), LeaseTimings(6.0, 0.02, 10.0, 20.0)
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
        # Requests decided on before a freeze are sent first, although the state of the cluster may
        # have changed since the decision.
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
        election, world = self.election, self.world
        action = election.next_action(now)
        match action:
            case ReadLeaderKey():
                self._send_later(lambda: world.read(self, "lead", self._on_leader_key_read))
            case GrantLease(ttl_s):
                self._send_later(
                    lambda: world.serve_lease(self, "open", ttl_s, self._on_leader_lease_granted)
                )
            case KeepLeaseAlive(lease):
                self._send_later(
                    lambda: world.serve_lease(self, "renew", lease, self._on_leader_keep_alive)
                )
            case RevokeLease(lease):
                self._send_later(
                    lambda: world.serve_lease(self, "end", lease, self._on_leader_lease_revoked)
                )
            case Campaign(transaction):
                self._send_later(lambda: world.commit(self, transaction, self._on_campaign_result))
        if election.role is not Role.LEADER and self.gate is not None:
            self._drop_leadership()

    def _on_election_action_failed(self) -> None:
        action = self.election._action_in_flight
        assert action is not None
        self.election.on_action_failed(action, self.clock())

    def _drop_leadership(self) -> None:
        """Discard the state of the leadership that has ended."""
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

        def on_intents_read(status: int | None, value: Any) -> None:
            if self.election.role is not Role.LEADER or self.election.token != epoch:
                return
            if status != 200:
                self._send_later(lambda: self.world.read(self, wire.INTENT_PREFIX, on_intents_read))
                return
            gate = WriteAheadGate(epoch, 4000)
            for lease_name in gate.intent_logs:
                for intent in gate.load(lease_name, wire.find_intents_item(value[0], lease_name)):
                    if isinstance(intent, wire.ScaleOutIntent):
                        offer = MachineOffering(intent.machine_type, intent.zone, intent.is_spot)
                        request = ScaleOutRequest(intent.name, offer, intent.machine_count)
                        self.pending_calls.append(ScaleOut(request))
                    else:
                        self.marked_for_deletion.add(intent.name)
                        self.pending_calls.append(DeleteMachines((MachineId(intent.name),)))
            self.gate, self.leader_token = gate, epoch

        self._send_later(lambda: self.world.read(self, wire.INTENT_PREFIX, on_intents_read))

    # -- named leases

    def _cluster_view(self, now: MonotonicTime) -> ClusterView:
        busy = [
            lease_name
            for lease_name in LeaseName
            if self.gate is not None and self.gate.is_busy(lease_name)
        ]
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
        candidate, world = self.candidate, self.world
        if world.now >= self.next_read_at:  # periodic reads replace the watch
            self.next_read_at = world.now + 0.5
            self._send_later(lambda: world.read(self, wire.LEASE_PREFIX, self._on_watch_read))
        action = candidate.next_action(self._cluster_view(now))
        match action:
            case ReadDirectory():
                self._send_later(
                    lambda: world.read(self, wire.LEASE_PREFIX, self._on_directory_read)
                )
            case GrantLease(ttl_s):
                self._send_later(
                    lambda: world.serve_lease(self, "open", ttl_s, self._on_lease_granted)
                )
            case KeepLeaseAlive(lease):
                self._send_later(
                    lambda: world.serve_lease(self, "renew", lease, self._on_keep_alive)
                )
            case Acquire(_, transaction):
                self._send_later(lambda: world.commit(self, transaction, self._on_acquired))
            case Release(_, transaction):
                self._send_later(lambda: world.commit(self, transaction, self._on_released))
        self._hand_over_leadership(now)

    def _hand_over_leadership(self, now: MonotonicTime) -> None:
        """Resign or defer candidacy, as `LeadershipHandOver` does in the server."""
        election, candidate = self.election, self.candidate
        for lease_name in (LeaseName.SCALE_OUT, LeaseName.SCALE_IN, LeaseName.CLEANUP):
            if not candidate.is_reserved_for_other_node(lease_name, now):
                continue
            if election.role is Role.FOLLOWER and election.leader is not None:
                election.defer_candidacy(MonotonicTime(now + 1.0))
            elif self.is_leader and candidate.state(lease_name) is LeaseState.OBSERVER:
                election.resign(now)
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

    # -- the work of the named leases

    def _step_work(self, now: MonotonicTime) -> None:
        self._refresh_catalog(now)
        if not self.is_leader or self.gate is None:
            return
        world, gate = self.world, self.gate
        if self.issues_requests and world.rng.random() < 0.15:
            self._issue_random_request()
        policies = {}
        for lease_name in gate.intent_logs:
            token = self.candidate.usable_token(lease_name, now)
            held = self.candidate.held_token(lease_name)
            policies[lease_name] = (
                DispatchPolicy(DispatchMode.WRITE_AHEAD, token)
                if token
                else DispatchPolicy(DispatchMode.BLOCKED, held)
            )
        calls, self.pending_calls = self.pending_calls, []
        for call in calls:
            lease_name = LeaseName.SCALE_OUT if isinstance(call, ScaleOut) else LeaseName.SCALE_IN
            if policies[lease_name].mode is DispatchMode.WRITE_AHEAD and gate.has_capacity(
                lease_name
            ):
                gate.admit(call, WallTime(max(0.0, now)))
            else:
                self.pending_calls.append(call)
        output = gate.process(policies, now, may_write=True)
        for call in output.calls_to_send:
            self._send(gate, call)
        self.pending_calls += output.rejected_calls
        for write in output.writes:
            self._write(gate, write)
        for lease_name in output.leases_to_refresh:
            self._refresh(gate, lease_name)

    def _issue_random_request(self) -> None:
        rng, epoch = self.world.rng, self.leader_token
        # Nothing is placed on machines that send no heartbeats.
        reporting = self.known_machines & self.world.machines
        free = sorted(reporting - self.marked_for_deletion)
        if free and rng.random() < 0.5:
            name = rng.choice(free)
            if rng.random() < 0.5:
                transaction = Transaction(
                    {"lead": Revision(epoch)}, [Put(f"use/{name}", self.node_id)]
                )
                self._send_later(lambda: self.world.commit(self, transaction, lambda *_: None))
                return
            self.marked_for_deletion.add(name)
            self.pending_calls.append(DeleteMachines((MachineId(name),)))
        elif len(self.pending_calls) < 5:
            self.request_count += 1
            name = f"{self.node_id}-{self.incarnation_number}-{epoch}-{self.request_count}"
            offer = MachineOffering("small", "a", False)
            self.pending_calls.append(ScaleOut(ScaleOutRequest(name, offer, rng.randint(1, 3))))

    def _send(self, gate: WriteAheadGate, call: ScaleOut | DeleteMachines) -> None:
        def handle_answer(status: int | None, value: Any) -> None:
            final = status == 200 or value == b"no capacity"
            gate.on_answer(call, self.clock(), is_final=final)
            if gate is not self.gate:
                return
            if not final:
                self.pending_calls.append(call)
            elif isinstance(call, ScaleOut) and status == 200:
                self.known_machines |= set(value)

        self._send_later(lambda: self.world.call_cloud(self, call, handle_answer))

    def _write(self, gate: WriteAheadGate, write: IntentWrite) -> None:
        def handle_answer(status: int | None, value: Any) -> None:
            outcome = OUTCOMES.get(status or 0, WriteOutcome.INDETERMINATE)
            revision = Revision(value["ledgerRev"] if status == 200 else 0)
            if status == 409 and wire.holder_key(write.lease_name) in value["failed"]:
                self.candidate.on_write_fenced()
            gate.on_write_result(write, outcome, revision, self.clock())

        self._send_later(lambda: self.world.commit(self, write.transaction, handle_answer))

    def _refresh(self, gate: WriteAheadGate, lease_name: LeaseName) -> None:
        def handle_answer(status: int | None, value: Any) -> None:
            if status == 200:
                gate.on_record_refreshed(lease_name, wire.find_intents_item(value[0], lease_name))
            else:
                gate.on_refresh_failed(lease_name)

        self._send_later(lambda: self.world.read(self, wire.intents_key(lease_name), handle_answer))

    def _refresh_catalog(self, now: MonotonicTime) -> None:
        token = self.candidate.usable_token(LeaseName.CATALOG, now)
        if token is None or self.is_catalog_busy or self.world.rng.random() > 0.1:
            return
        self.is_catalog_busy = True
        transaction = Transaction(
            {wire.holder_key(LeaseName.CATALOG): Revision(token)}, [Put("catalog", self.node_id)]
        )

        def handle_answer(status: int | None, value: Any) -> None:
            self.is_catalog_busy = False
            if status == 409:
                self.candidate.on_write_fenced()

        self._send_later(lambda: self.world.commit(self, transaction, handle_answer))
