"""Stalls of a node's process, during which its clocks keep running.

The node must not count a stall as silence of machines or peers, nor act under a lease that expired
meanwhile.
"""

from typing import Any

import orjson
import pytest

from eldercart.cluster.heartbeat_relay import Redirect
from eldercart.cluster.inventory import MachineState
from eldercart.election.state_machine import Election
from eldercart.scheduling.scheduler import ListMachines, TransactionOutcome
from eldercart.server.peers.connections import PeerLink
from eldercart.settings.platform import Endpoint
from eldercart.units import (
    FencingToken,
    IncarnationId,
    LeaseId,
    MachineId,
    MonotonicTime,
    NodeId,
    Revision,
)
from eldercart.wire import workers
from eldercart.wire.leader_key import LEADER_KEY
from relay_world import RelayWorld
from test_scheduler_faults import finish
from world import World


@pytest.mark.parametrize(
    ("stall_detected", "then_silent_s", "deleted"),
    [(True, 0.0, False), (False, 0.0, True), (True, 20.0, True)],
)
def test_own_stall_does_not_count_as_silence_of_machines(
    stall_detected: bool, then_silent_s: float, deleted: bool
) -> None:
    """At the first check after a stall, every machine seems to have been silent for long, and a
    booting one seems overdue. Their timeouts restart then, and are not extended further."""
    world = World(4, capacity=4)
    world.submit("wk-000001", run_s=200.0, parcels=20)
    scheduler = world.scheduler
    assert scheduler is not None
    while not (
        scheduler.inventory.machines
        and any(m.state is MachineState.UP for m in scheduler.inventory.machines.values())
    ):
        world.step(0.1)
    booting = next(iter(world.cloud.machines.values()))
    booting.boots_at = world.now + 500.0
    booting_machine = scheduler.inventory.machines[MachineId(booting.id)]
    booting_machine.state = MachineState.BOOTING
    world.run(3)
    assert not scheduler.cluster_state.pending_deletions
    world.now += 60.0
    if stall_detected:
        scheduler.exclude_stall(60.0)
    scheduler.tick(MonotonicTime(world.now))
    for _ in range(int(then_silent_s / 0.5)):
        world.now += 0.5
        scheduler.tick(MonotonicTime(world.now))
    assert bool(scheduler.cluster_state.pending_deletions) is deleted
    assert (booting_machine.id in scheduler.cluster_state.pending_deletions) is deleted


def test_own_stall_does_not_extend_the_deadline_of_a_kill() -> None:
    """The deadline of a user's cancellation includes stalls: a cancelled task that runs past it is
    removed with its machine, even if the leader itself stalled."""
    world = World(5, capacity=2)
    world.submit("wk-000001", run_s=300.0, parcels=2)
    world.run(16)
    scheduler = world.scheduler
    assert scheduler is not None
    m = next(m for m in scheduler.inventory.machines.values() if m.live_task_count)
    world.cancel("wk-000001")
    stall_s = world.settings.cancel_s * 0.7
    world.now += stall_s
    scheduler.exclude_stall(stall_s)
    for _ in range(4):
        world.now += 0.5
        scheduler.tick(MonotonicTime(world.now))
    assert m.id in scheduler.cluster_state.pending_deletions


@pytest.mark.parametrize(
    ("has_reported", "age_s", "has_tasks", "deleted"),
    [
        (False, 2.0, False, False),
        (False, 300.0, False, True),
        (False, 2.0, True, True),
        (True, 2.0, False, True),
    ],
)
def test_listed_machine_without_heartbeats_is_not_deleted_while_it_may_boot(
    has_reported: bool, age_s: float, has_tasks: bool, deleted: bool
) -> None:
    """A new leader finds a machine listed as up that has sent it no heartbeat. All machines that
    booted in a partitioned zone look like that; 136 of them were deleted just as a partition ended.
    A machine is still replaced if it has tasks, if it became silent after a heartbeat, or if it
    should have come up long ago."""
    world = World(6, capacity=1)
    world.submit("wk-000001", run_s=300.0, parcels=1)
    world.run(14)
    name = next(iter(world.cloud.machines))
    if not has_tasks:
        world.cancel("wk-000001")
        world.run(4)
    world.elect()
    scheduler = world.scheduler
    assert scheduler is not None
    worker = world.cloud.machines[name]
    world.cloud.machines[name].hangs_until = world.now + 1e6
    if has_reported:
        scheduler.on_heartbeat(
            workers.parse_heartbeat(worker.report() | {"whip": scheduler.token}),
            MonotonicTime(world.now),
        )
    listed = world.cloud.list(world.now)
    listed["wagons"][0]["ageS"] = age_s
    world.cloud.list = lambda now: listed  # type: ignore[method-assign]
    end = world.now + world.tuning.silence_least_s + world.tuning.takeover_grace_s + 1.0
    while world.now < end:
        world.now += 0.25
        scheduler.tick(MonotonicTime(world.now))
        call = scheduler.next_cloud_request(MonotonicTime(world.now))
        if isinstance(call, ListMachines):
            scheduler.on_cloud_response(call, 200, orjson.dumps(listed), MonotonicTime(world.now))
    assert (MachineId(name) in scheduler.cluster_state.pending_deletions) is deleted


@pytest.mark.parametrize("stall_s", [1.0, 2.9, 6.0, 12.0, 40.0])
@pytest.mark.parametrize("twice", [False, True])
def test_stalled_leader_cannot_act_and_loses_no_machine(stall_s: float, twice: bool) -> None:
    """The other nodes elect a leader once the stalled one's lease has expired. What the stalled
    leader decided before can no longer take effect, and its stall loses no machine."""
    world = RelayWorld(7, capacity=8)
    world.submit("wk-000001", run_s=150.0, parcels=24)
    world.run(14)
    for _ in range(2 if twice else 1):
        before = {name for name, m in world.cloud.machines.items() if m.tasks}
        old, stalled_node = world.scheduler, world.leader
        assert old is not None
        world.stall_node(stalled_node, stall_s)
        if stall_s > 3.0:
            assert world.scheduler is not old
            now = MonotonicTime(world.now)
            old.exclude_stall(stall_s)
            old.tick(now)
            deletions_with_tasks = [
                m
                for m in old.cluster_state.pending_deletions
                if old.inventory.machines[m].live_task_count
            ]
            assert not deletions_with_tasks, "its own stall was counted as silence of machines"
            pending = old.next_transaction(now, 20)
            if pending is not None:
                status, answer = world.store.txn(pending.transaction.body())
                assert status == 409 and LEADER_KEY in answer["failed"]
                assert old.on_transaction_result(
                    pending, TransactionOutcome.CONFLICT, Revision(0), (LEADER_KEY,), now
                )
            assert isinstance(
                world.stale_relay.handle_heartbeat(
                    MachineId("n-000001"),
                    world.stale_sequence,
                    FencingToken(old.token),
                    False,
                    [],
                    now,
                    True,
                ),
                Redirect,
            ), "the relay lease of the stalled node must have expired"
        kept = {
            n
            for n in before
            if n in world.cloud.machines and world.cloud.machines[n].agent_epoch == 1
        }
        assert kept == before, "a worker lease expired, or a healthy machine was deleted"
        world.run(5)
    finish(world)


def test_stalled_relay_loses_no_machine() -> None:
    """Workers of a stalled relay find another node well within their leases, and no machine is
    deleted meanwhile."""
    world = RelayWorld(8, capacity=8)
    world.submit("wk-000001", run_s=60.0, parcels=24)
    world.run(16)
    relay = next(i for i in range(world.nodes) if i != world.leader)
    before = {name for name, m in world.cloud.machines.items() if m.tasks}
    world.stall_node(relay, 20.0)
    assert all(
        world.cloud.machines[n].agent_epoch == 1 for n in before if n in world.cloud.machines
    )
    assert before <= set(world.cloud.machines)
    finish(world)


@pytest.mark.parametrize(
    ("at", "rejected_at", "allowed"),
    [
        (1.0, -1e9, True),  # within the lease
        (20.0, -1e9, False),  # the node stalled, and another one may lead by now
        (20.0, 19.0, True),  # the store is out and rejects every node
        (20.0, 10.0, False),
    ],
)
def test_cloud_requests_require_the_leader_lease(
    at: float, rejected_at: float, allowed: bool
) -> None:
    election = Election(NodeId("n0"), 3.0, 0.02, IncarnationId("x"))
    election.next_action(MonotonicTime(0.0))
    election.on_leader_key_read(None, MonotonicTime(0.0))
    election.next_action(MonotonicTime(0.0))
    election.on_lease_granted(LeaseId(1), MonotonicTime(0.0))
    election.next_action(MonotonicTime(0.0))
    election.on_campaign_result(Revision(5), MonotonicTime(0.0))
    assert election.may_call_cloud(MonotonicTime(at), MonotonicTime(rejected_at)) is allowed


@pytest.mark.parametrize(
    ("silent_s", "stalled_s", "lost"), [(2.0, 0.0, False), (4.0, 0.0, True), (4.0, 3.9, False)]
)
def test_own_stall_does_not_count_as_silence_of_a_peer(
    silent_s: float, stalled_s: float, lost: bool
) -> None:
    """Frames that the peer sent during a stall of this node are still unread at its end."""
    closed: list[Any] = []

    class Transport:
        def abortConnection(self) -> None:
            closed.append(self)

    class OpenConnection:
        transport = Transport()

    now = [MonotonicTime(10.0)]
    link = PeerLink(NodeId("n1"), Endpoint("", 0), lambda *_: None, closed.append, lambda: now[0])
    link._on_connection_made(OpenConnection())  # type: ignore[arg-type]
    link.exclude_stall(stalled_s)
    link.check_connection(2.5, MonotonicTime(10.0 + silent_s))
    assert bool(closed) is lost
