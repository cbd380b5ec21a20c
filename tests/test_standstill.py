"""A process that stalls while its clocks run on: it judges nobody by that time, and claims
nothing by it."""

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
from test_core import finish
from world import World


@pytest.mark.parametrize(
    ("noticed", "then_silent", "deleted"),
    [(True, 0.0, False), (False, 0.0, True), (True, 20.0, True)],
)
def test_own_stall_is_nobodys_silence(noticed: bool, then_silent: float, deleted: bool) -> None:
    """The first look after a standstill finds every machine long unheard, and one that boots long
    overdue. They have their full time from now on, and no more than that."""
    w = World(4, capacity=4)
    w.submit("wk-000001", run_s=200.0, parcels=20)
    c = w.scheduler
    assert c is not None
    while not (
        c.inventory.machines
        and any(m.state is MachineState.UP for m in c.inventory.machines.values())
    ):
        w.step(0.1)
    booting = next(iter(w.cloud.machines.values()))
    booting.boots_at = w.now + 500.0
    late = c.inventory.machines[MachineId(booting.id)]
    late.state = MachineState.BOOTING
    w.run(3)
    assert not c.cluster_state.pending_deletions
    w.now += 60.0
    if noticed:
        c.exclude_stall(60.0)
    c.tick(MonotonicTime(w.now))
    for _ in range(int(then_silent / 0.5)):
        w.now += 0.5
        c.tick(MonotonicTime(w.now))
    assert bool(c.cluster_state.pending_deletions) is deleted
    assert (late.id in c.cluster_state.pending_deletions) is deleted


def test_overdue_kill_is_not_excused() -> None:
    """The user's time runs on: a cancelled task that outlives its kill for so long goes with its
    machine, whoever slept."""
    w = World(5, capacity=2)
    w.submit("wk-000001", run_s=300.0, parcels=2)
    w.run(16)
    c = w.scheduler
    assert c is not None
    m = next(m for m in c.inventory.machines.values() if m.live_task_count)
    w.cancel("wk-000001")
    pause = w.settings.cancel_s * 0.7
    w.now += pause
    c.exclude_stall(pause)
    for _ in range(4):
        w.now += 0.5
        c.tick(MonotonicTime(w.now))
    assert m.id in c.cluster_state.pending_deletions


@pytest.mark.parametrize(
    ("heard", "age_s", "placed", "deleted"),
    [
        (False, 2.0, False, False),
        (False, 300.0, False, True),
        (False, 2.0, True, True),
        (True, 2.0, False, True),
    ],
)
def test_machine_that_was_never_heard(
    heard: bool, age_s: float, placed: bool, deleted: bool
) -> None:
    """A new leader finds it listed as up. In a zone that is cut off, all that booted meanwhile
    look so; 136 of them were deleted just as such a cut ended. One with tasks, or one that has
    fallen silent, is replaced as ever; so is one that should long have come up."""
    w = World(6, capacity=1)
    w.submit("wk-000001", run_s=300.0, parcels=1)
    w.run(14)
    name = next(iter(w.cloud.machines))
    if not placed:
        w.cancel("wk-000001")
        w.run(4)
    w.elect()
    c = w.scheduler
    assert c is not None
    sim = w.cloud.machines[name]
    w.cloud.machines[name].hangs_until = w.now + 1e6
    if heard:
        c.on_heartbeat(
            workers.parse_heartbeat(sim.report() | {"whip": c.token}), MonotonicTime(w.now)
        )
    listed = w.cloud.list(w.now)
    listed["wagons"][0]["ageS"] = age_s
    w.cloud.list = lambda now: listed  # type: ignore[method-assign]
    end = w.now + w.tuning.silence_least_s + w.tuning.takeover_grace_s + 1.0
    while w.now < end:
        w.now += 0.25
        c.tick(MonotonicTime(w.now))
        call = c.next_cloud_request(MonotonicTime(w.now))
        if isinstance(call, ListMachines):
            c.on_cloud_response(call, 200, orjson.dumps(listed), MonotonicTime(w.now))
    assert (MachineId(name) in c.cluster_state.pending_deletions) is deleted


@pytest.mark.parametrize("pause_s", [1.0, 2.9, 6.0, 12.0, 40.0])
@pytest.mark.parametrize("twice", [False, True])
def test_leader_that_stood_still(pause_s: float, twice: bool) -> None:
    """Others elect when its lease has ended; what it decided before can't be carried out any more,
    and no machine is lost to its sleep."""
    w = RelayWorld(7, capacity=8)
    w.submit("wk-000001", run_s=150.0, parcels=24)
    w.run(14)
    for _ in range(2 if twice else 1):
        before = {name for name, m in w.cloud.machines.items() if m.tasks}
        old, at = w.scheduler, w.leader
        assert old is not None
        w.sleep(at, pause_s)
        if pause_s > 3.0:
            assert w.scheduler is not old
            now = MonotonicTime(w.now)
            old.exclude_stall(pause_s)
            old.tick(now)
            judged = [
                m
                for m in old.cluster_state.pending_deletions
                if old.inventory.machines[m].live_task_count
            ]
            assert not judged, "it judged by its own sleep"
            pending = old.next_transaction(now, 20)
            if pending is not None:
                status, answer = w.store.txn(pending.transaction.body())
                assert status == 409 and LEADER_KEY in answer["failed"]
                assert old.on_transaction_result(
                    pending, TransactionOutcome.CONFLICT, Revision(0), (LEADER_KEY,), now
                )
            assert isinstance(
                w.stale_relay.handle_heartbeat(
                    MachineId("n-000001"),
                    w.stale_order,
                    FencingToken(old.token),
                    False,
                    [],
                    now,
                    True,
                ),
                Redirect,
            ), "its grant ran on"
        kept = {n for n in before if n in w.cloud.machines and w.cloud.machines[n].agent_epoch == 1}
        assert kept == before, "a lease ran out, or a healthy machine was deleted"
        w.run(5)
    finish(w)


def test_relay_that_stood_still() -> None:
    """Its workers find another node well within their lease, and nobody judges them meanwhile."""
    w = RelayWorld(8, capacity=8)
    w.submit("wk-000001", run_s=60.0, parcels=24)
    w.run(16)
    relay = next(i for i in range(w.nodes) if i != w.leader)
    before = {name for name, m in w.cloud.machines.items() if m.tasks}
    w.sleep(relay, 20.0)
    assert all(w.cloud.machines[n].agent_epoch == 1 for n in before if n in w.cloud.machines)
    assert before <= set(w.cloud.machines)
    finish(w)


@pytest.mark.parametrize(
    ("at", "refused_at", "allowed"),
    [
        (1.0, -1e9, True),  # within its lease
        (20.0, -1e9, False),  # it slept: another may lead by now
        (20.0, 19.0, True),  # the store is down, and refuses everybody
        (20.0, 10.0, False),
    ],
)
def test_orders_to_the_cloud_need_the_lease(at: float, refused_at: float, allowed: bool) -> None:
    e = Election(NodeId("n0"), 3.0, 0.02, IncarnationId("x"))
    e.next_action(MonotonicTime(0.0))
    e.on_leader_key_read(None, MonotonicTime(0.0))
    e.next_action(MonotonicTime(0.0))
    e.on_lease_granted(LeaseId(1), MonotonicTime(0.0))
    e.next_action(MonotonicTime(0.0))
    e.on_campaign_result(Revision(5), MonotonicTime(0.0))
    assert e.may_call_cloud(MonotonicTime(at), MonotonicTime(refused_at)) is allowed


@pytest.mark.parametrize(
    ("silent_s", "stalled_s", "lost"), [(2.0, 0.0, False), (4.0, 0.0, True), (4.0, 3.9, False)]
)
def test_link_after_a_stall(silent_s: float, stalled_s: float, lost: bool) -> None:
    """What the peer said meanwhile waits to be read."""
    closed: list[Any] = []

    class Transport:
        def abortConnection(self) -> None:
            closed.append(self)

    class Opened:
        transport = Transport()

    now = [MonotonicTime(10.0)]
    link = PeerLink(NodeId("n1"), Endpoint("", 0), lambda *_: None, closed.append, lambda: now[0])
    link._on_connection_made(Opened())  # type: ignore[arg-type]
    link.exclude_stall(stalled_s)
    link.check_connection(2.5, MonotonicTime(10.0 + silent_s))
    assert bool(closed) is lost
