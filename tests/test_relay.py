"""The relay by itself, and the service with relays under every kind of loss."""

from typing import Any

import orjson
import pytest

from eldercart.cluster.heartbeat_relay import (
    Acknowledge,
    Forward,
    HeartbeatRelay,
    MachineShare,
    Redirect,
    Stale,
    machine_shares,
)
from eldercart.scheduling.scheduler import GetCatalog, ScaleOut
from eldercart.units import (
    AgentEpoch,
    FencingToken,
    HeartbeatSequence,
    IncarnationId,
    JobId,
    MachineId,
    MonotonicTime,
    NodeId,
)
from eldercart.wire import workers
from relay_world import RelayWorld
from simulators import CATALOG
from test_core import finish, submit_all

MACHINE = MachineId("n-1")
LEADER = NodeId("n0")


def sequence(number: int, agent_epoch: int = 1) -> HeartbeatSequence:
    return HeartbeatSequence(AgentEpoch(agent_epoch), number)


def relay_with_lease(token: int = 5, at: float = 0.0, **changes: Any) -> HeartbeatRelay:
    relay = HeartbeatRelay(NodeId("n1"), 4.0, 0.0)
    relay.renew_lease(FencingToken(token), LEADER, MonotonicTime(at), MonotonicTime(at), **changes)
    return relay


def handle_heartbeat(
    relay: HeartbeatRelay,
    number: int,
    at: float = 0.0,
    token: int = 5,
    agent_epoch: int = 1,
    has_notice: bool = False,
    tasks: Any = (),
    leader_reachable: bool = True,
) -> Any:
    return relay.handle_heartbeat(
        MACHINE,
        sequence(number, agent_epoch),
        FencingToken(token),
        has_notice,
        list(tasks),
        MonotonicTime(at),
        leader_reachable,
    )


def handle_and_acknowledge(
    relay: HeartbeatRelay, number: int = 1, wants_next: bool = False, tasks: Any = ()
) -> None:
    """A report that the leader has taken."""
    assert handle_heartbeat(relay, number, tasks=tasks) == Forward()
    relay.on_leader_response(MACHINE, sequence(number), False, list(tasks), wants_next)


@pytest.mark.parametrize(
    ("name", "wants_next", "then", "expected"),
    [
        ("nothing new", False, {}, Acknowledge(FencingToken(5))),
        ("a task more", False, {"tasks": [1]}, Forward()),
        ("a notice", False, {"has_notice": True}, Forward()),
        ("another session", False, {"agent_epoch": 2}, Forward()),
        ("commands went out: whether they arrived shows only to the leader", True, {}, Forward()),
        ("an epoch that is not known here", False, {"token": 6}, Redirect(None)),
        ("the grant is over", False, {"at": 4.1}, Redirect(LEADER)),
        ("a copy of the same", False, {"number": 1}, Stale()),
        ("a late copy of an earlier one", False, {"number": 0, "tasks": [1]}, Stale()),
        ("a copy of an earlier session", False, {"number": 99, "agent_epoch": 0}, Stale()),
        (
            "no way to the leader, nothing new",
            False,
            {"leader_reachable": False},
            Acknowledge(FencingToken(5)),
        ),
        (
            "no way to the leader for a moment",
            False,
            {"leader_reachable": False, "tasks": [1], "at": 1.0},
            Acknowledge(FencingToken(5)),
        ),
        (
            "no way to the leader, and it must be told",
            False,
            {"leader_reachable": False, "tasks": [1], "at": 2.0},
            Redirect(LEADER),
        ),
    ],
)
def test_what_becomes_of_a_report(
    name: str, wants_next: bool, then: dict[str, Any], expected: Any
) -> None:
    relay = relay_with_lease()
    handle_and_acknowledge(relay, wants_next=wants_next)
    assert handle_heartbeat(relay, **({"number": 2} | then)) == expected, name


def test_an_unanswered_report_is_followed_by_another_to_the_leader() -> None:
    relay = relay_with_lease()
    handle_and_acknowledge(relay)
    assert handle_heartbeat(relay, 2, tasks=[1]) == Forward()
    assert handle_heartbeat(relay, 3, tasks=[1]) == Forward(), (
        "the answer to the last one never came"
    )
    relay.on_leader_response(
        MACHINE, sequence(2), False, [1], False
    )  # it comes now, for a report that is overtaken
    assert handle_heartbeat(relay, 4, tasks=[1]) == Forward()
    assert handle_heartbeat(relay, 5) == Forward(), (
        "as it was before: the leader may have taken the other"
    )


def test_wanted_machine_is_heard_by_the_leader() -> None:
    relay = relay_with_lease()
    handle_and_acknowledge(relay)
    relay.request_next_heartbeat(MACHINE)
    assert handle_heartbeat(relay, 2) == Forward()


def test_new_epoch_empties_what_is_held() -> None:
    relay = relay_with_lease()
    handle_and_acknowledge(relay)
    relay.renew_lease(FencingToken(9), NodeId("n2"), MonotonicTime(1.0), MonotonicTime(1.0))
    assert handle_heartbeat(relay, 2, 1.0, token=5) == Acknowledge(FencingToken(9)), (
        "it learns the epoch first"
    )
    assert handle_heartbeat(relay, 3, 1.5, token=5) == Forward(), "and is reported if it does not"
    assert handle_heartbeat(relay, 4, 2.0, token=9) == Forward()
    relay.renew_lease(
        FencingToken(5), LEADER, MonotonicTime(3.0), MonotonicTime(3.0)
    )  # a late word of the old leader
    assert relay.token == 9


def test_grant_counts_from_before_it_was_asked_for() -> None:
    relay = relay_with_lease()
    relay.renew_lease(FencingToken(5), LEADER, MonotonicTime(1.0), MonotonicTime(3.0))
    assert relay.holds_lease(MonotonicTime(4.9)) and not relay.holds_lease(MonotonicTime(5.0))
    relay.confirm_token(FencingToken(4), MonotonicTime(9.0))  # of an epoch that is over
    assert not relay.holds_lease(MonotonicTime(9.0))
    relay.confirm_token(FencingToken(5), MonotonicTime(9.0))  # the store shows that it still leads
    assert relay.holds_lease(MonotonicTime(12.9))


def test_only_self_answered_reports_are_told_as_heard() -> None:
    relay = relay_with_lease()
    handle_and_acknowledge(relay)
    assert relay.take_acknowledged(MonotonicTime(0.0)) == ()
    handle_heartbeat(relay, 2)
    handle_heartbeat(relay, 3)
    assert relay.take_acknowledged(MonotonicTime(0.0)) == ((MACHINE, sequence(3)),)
    assert relay.take_acknowledged(MonotonicTime(0.0)) == ()


def test_leader_calls_a_copy_what_a_new_relay_took_for_news() -> None:
    relay = relay_with_lease()
    assert handle_heartbeat(relay, 7) == Forward()
    relay.on_stale_heartbeat(MACHINE, sequence(7))
    assert relay.machine_count == 0 and relay.take_acknowledged(MonotonicTime(0.0)) == ()


def test_crowded_relay_sends_new_workers_on_once() -> None:
    relay = relay_with_lease(max_machines=0, redirect_target=NodeId("n2"))
    assert handle_heartbeat(relay, 1) == Redirect(NodeId("n2"))
    assert handle_heartbeat(relay, 2) == Forward(), "it is back: nobody else takes it"


@pytest.mark.parametrize(
    ("counts", "expected"),
    [
        ({"n0": 9}, {"n0": MachineShare(100, None)}),
        ({"n0": 8, "n1": 8}, {"n0": MachineShare(0, NodeId("n1")), "n1": MachineShare(24, None)}),
        (
            {"n0": 0, "n1": 30, "n2": 10},
            {
                "n0": MachineShare(0, NodeId("n2")),
                "n1": MachineShare(29, NodeId("n2")),
                "n2": MachineShare(29, None),
            },
        ),
        (
            {"n0": 400, "n1": 0, "n2": 1},
            {
                "n0": MachineShare(0, NodeId("n1")),
                "n1": MachineShare(100, None),
                "n2": MachineShare(100, NodeId("n1")),
            },
        ),
    ],
)
def test_shares(counts: dict[str, int], expected: dict[str, MachineShare]) -> None:
    assert machine_shares({NodeId(n): c for n, c in counts.items()}, LEADER, 100) == expected


# -- the service with relays

ROUGH = {
    "txn_lost": 0.05,
    "txn_twice": 0.2,
    "report_lost": 0.05,
    "answer_lost": 0.05,
    "report_twice": 0.2,
    "mesh_lost": 0.1,
    "mesh_delay": 0.8,
    "cloud_lost": 0.1,
}


@pytest.mark.parametrize("faults", [{}, {"mesh_lost": 0.3}, {"report_twice": 0.5}, ROUGH])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_rules_hold_with_relays(faults: dict[str, Any], seed: int) -> None:
    w = RelayWorld(seed, **faults)
    submit_all(w)
    finish(w)
    assert set(w.told.values()) == {"done"}
    answered = sum(r.machine_count for r in w.relays)
    assert answered > 0 and w.relays[w.leader].machine_count < answered


@pytest.mark.parametrize("seed", range(6))
def test_rules_hold_while_nodes_come_and_go(seed: int) -> None:
    """Leaders and relays die in turn and are back at once; copies of reports come up to two and a
    half leases late, to whichever node."""
    w = RelayWorld(seed, **ROUGH)
    submit_all(w)
    for i in range(8):
        w.run(4)
        w.crash(w.rng.randrange(w.nodes))
        if i % 3 == 0:
            w.crash(w.leader)
    finish(w)
    assert w.copies > 20


def test_nodes_that_lose_store_and_peers_let_their_workers_go() -> None:
    """A leader cut off with its workers, a third of the fleet: the grant ends soon enough for
    them to find the new leader within their lease, so nothing is lost and nothing deleted."""
    w = RelayWorld(5, capacity=6)
    w.submit("wk-000001", run_s=60.0, parcels=12)
    w.run(16)
    old = w.leader
    c = w.scheduler
    assert c is not None
    now = MonotonicTime(w.now)
    # The other nodes have no room, so the leader keeps what comes to it.
    w.relays[old].renew_lease(c.token, w.relays[old].label, now, now, 500, None)
    for name in [name for name, m in w.cloud.machines.items() if m.tasks][:2]:
        w.at[name] = old
    before = {name: m for name, m in w.cloud.machines.items() if m.tasks}
    assert any(w.at[name] == old for name in before)
    w.cut.add(old)
    w.run(leader_lease_s := 3.0)
    w.elect()
    w.run(20 - leader_lease_s)
    assert not any(w.at[name] == old for name in w.cloud.machines)
    assert all(m.agent_epoch == 1 for m in before.values()), "a lease ran out"
    assert all(name in w.cloud.machines for name in before), "a healthy machine was deleted"


@pytest.mark.parametrize("leads", [True, False])
@pytest.mark.parametrize("seed", range(3))
def test_node_that_loses_its_workers_only(leads: bool, seed: int) -> None:
    """It reaches store and peers, and its workers wait in vain. Of 400 machines that reported to
    a leader, 33 were deleted before they had found another node."""
    w = RelayWorld(seed, capacity=12)
    w.submit("wk-000001", run_s=60.0, parcels=60)
    w.run(16)
    c = w.scheduler
    assert c is not None
    at = w.leader if leads else next(i for i in range(w.nodes) if i != w.leader)
    w.shared_out = False
    for name in w.cloud.machines:
        w.at[name] = at
    w.run(3)
    before = {name for name, m in w.cloud.machines.items() if m.tasks}
    assert sum(w.at[name] == at for name in before) >= 4
    for name in before:
        w.reports_due[name] = w.now + 1.25 * w.settings.report_s
    w.unreachable_nodes.add(at)
    w.run(15)
    assert before <= set(w.cloud.machines), "a healthy machine was deleted"
    finish(w)


@pytest.mark.parametrize("seed", range(3))
def test_machine_that_talks_but_does_not_hear(seed: int) -> None:
    """Its reports come, so it is never silent; what it does not do gives it away."""
    w = RelayWorld(seed, capacity=4)
    w.submit("wk-000001", run_s=30.0, parcels=16)
    w.run(14)
    victim = next(m for m in w.cloud.machines.values() if m.on())
    w.unresponsive.add(victim.id)
    w.submit("wk-000002", run_s=30.0, parcels=16)
    w.run(60)
    assert victim.deleted
    finish(w)
    assert w.told == {"wk-000001": "done", "wk-000002": "done"}


@pytest.mark.parametrize("seed", range(3))
def test_lost_answers_and_new_leaders_condemn_no_machine(seed: int) -> None:
    w = RelayWorld(seed, capacity=4, answer_lost=0.25)
    w.submit("wk-000001", run_s=6.0, parcels=60)
    before: set[str] = set()
    for _ in range(4):
        w.run(8)
        before |= set(w.cloud.machines)
        w.elect()
    assert before <= set(w.cloud.machines)


def test_late_copy_adopts_no_machine_under_a_new_leader() -> None:
    """The machine was deleted under an earlier leader, of whom the new one knows nothing."""
    w = RelayWorld(9, capacity=4)
    w.submit("wk-000001", run_s=40.0)
    w.run(12)
    ghost = next(iter(w.cloud.machines.values()))
    copy = ghost.report()
    w.cloud.delete(b'{"wagons":["%s"]}' % ghost.id.encode())
    w.elect()
    c = w.scheduler
    assert c is not None
    known = c.inventory.get(MachineId(ghost.id))
    heard = None if known is None else known.last_heartbeat_at
    assert c.on_heartbeat(workers.parse_heartbeat(copy), MonotonicTime(w.now)) == []
    now_known = c.inventory.get(MachineId(ghost.id))
    assert (now_known is None) == (known is None)
    assert now_known is None or now_known.last_heartbeat_at == heard, "a copy renews no liveness"
    # One that no record names: it had nothing to do when it was deleted.
    stranger = workers.parse_heartbeat(copy | {"wagon": "n-999999", "parcels": []})
    assert c.on_heartbeat(stranger, MonotonicTime(w.now)) == []
    assert c.inventory.get(MachineId("n-999999")) is None
    alive = workers.parse_heartbeat(copy | {"wagon": "n-999998", "parcels": [], "whip": c.token})
    assert c.on_heartbeat(alive, MonotonicTime(w.now)) == []
    assert c.inventory.get(MachineId("n-999998")) is not None, "it has seen this epoch, so it lives"
    c.inventory.mark_deleted(c.inventory.machines[MachineId("n-999998")])
    finish(w)
    assert w.told[JobId("wk-000001")] == "done"


@pytest.mark.parametrize(("shows", "deleted"), [(True, False), (False, True)])
def test_machine_behind_a_relay_that_is_not_heard(shows: bool, deleted: bool) -> None:
    """Connections between nodes are refused, and the relay goes on answering what is unchanged as
    long as the store shows the epoch. The machine is asked directly before its silence counts."""
    w = RelayWorld(6, capacity=1)
    w.submit("wk-000001", run_s=90.0, parcels=2, cpus=4.0)
    w.run(14)
    c = w.scheduler
    assert c is not None
    m = next(m for m in c.inventory.machines.values() if m.live_task_count)
    other = next(i for i in range(w.nodes) if i != w.leader)
    m.relay = w.relays[other].label
    now = w.now
    c.record_relayed_heartbeats(w.relays[other].label, (), MonotonicTime(now))
    asked = 0
    while w.now < now + 30.0:
        w.now += 0.1
        c.tick(MonotonicTime(w.now))
        for machine, _ in c.take_probes():
            asked += 1
            if shows:
                c.record_probe_success(machine, MonotonicTime(w.now))
    assert asked > 2
    assert (m.id in c.cluster_state.pending_deletions) is deleted


def test_copy_with_the_present_epoch_is_overtaken_by_what_a_relay_answered() -> None:
    """The relay answered newer reports by itself and said so; the copy reaches another node, which
    takes it for news, and the leader."""
    w = RelayWorld(7, capacity=2)
    w.submit("wk-000001", run_s=60.0, parcels=4)
    w.run(16)
    c = w.scheduler
    assert c is not None
    sim = next(m for m in w.cloud.machines.values() if m.on())
    m = c.inventory.get(MachineId(sim.id))
    assert m is not None and sim.token == c.token
    copy = workers.parse_heartbeat(sim.report())
    newer = HeartbeatSequence(copy.sequence.agent_epoch, copy.sequence.number + 3)
    now = MonotonicTime(w.now)
    c.record_relayed_heartbeats(NodeId("n1"), ((m.id, newer),), now)
    assert m.heartbeat_sequence == newer
    placed, heard = dict(m.placements), m.last_heartbeat_at
    assert c.on_heartbeat(copy, MonotonicTime(w.now + 30.0), NodeId("n2")) is None
    assert (m.placements, m.last_heartbeat_at, m.relay) == (placed, heard, NodeId("n1"))
    c.record_relayed_heartbeats(NodeId("n2"), ((m.id, copy.sequence),), MonotonicTime(w.now + 30.0))
    assert (m.last_heartbeat_at, m.relay) == (heard, NodeId("n1")), "an old word renews nothing"


def test_request_names_carry_the_start() -> None:
    """A node that is back at once may lead under its label again; a name is never used twice, or
    the cloud would answer with the machines of the old request."""
    names = []
    for incarnation in ("aaaa", "bbbb"):
        w = RelayWorld(8)
        w.incarnation = IncarnationId(incarnation)
        w.elect()
        w.submit("wk-000001")
        c = w.scheduler
        assert c is not None
        for _ in range(100):
            w.now += 0.1
            c.tick(MonotonicTime(w.now))
            call = c.next_cloud_request(MonotonicTime(w.now))
            if isinstance(call, ScaleOut):
                names.append(call.request.name)
                break
            if call is not None:
                body = CATALOG if isinstance(call, GetCatalog) else w.cloud.list(w.now)
                c.on_cloud_response(call, 200, orjson.dumps(body), MonotonicTime(w.now))
    assert len(names) == 2 and "aaaa" in names[0] and "bbbb" in names[1]
