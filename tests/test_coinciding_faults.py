"""Tests of two faults or events that coincide, each of which has violated an invariant before.

`World.check` checks the invariants in every step. The table in `docs/design.md` lists for each case
what could break and which guard prevents it.
"""

from types import SimpleNamespace
from typing import Any

import orjson
import pytest

from eldercart.cluster.inventory import MachineState
from eldercart.election.actions import Campaign, GrantLease, ReadLeaderKey, RevokeLease
from eldercart.election.state_machine import Election, Role
from eldercart.jobs.job import PlacementPhase
from eldercart.scheduling.scheduler import (
    DeleteMachines,
    JobStatus,
    LookupFailure,
    PendingTransaction,
    TransactionOutcome,
)
from eldercart.server.users.user_service import UserService
from eldercart.units import (
    IncarnationId,
    JobId,
    LeaseId,
    MachineId,
    MonotonicTime,
    NodeId,
    Revision,
)
from eldercart.wire import cloud, state, workers
from relay_world import RelayWorld
from simulators import CATALOG, StoreSim, WorkerSim
from test_scheduler_faults import finish, submit_all
from world import PLATFORM, World, submission

ONE, TWO = JobId("wk-000001"), JobId("wk-000002")
WAIT_S = 90.0  # longest wait of a job beside free capacity that fits it


def leader(world: World) -> Any:
    assert world.scheduler is not None
    return world.scheduler


def busy(world: World) -> list[WorkerSim]:
    return [m for m in world.cloud.machines.values() if m.running_tasks()]


def assert_gone_within_cancel_s(world: World, job: str = ONE) -> None:
    """Check that the job is cancelled in time and that none of its tasks still runs.

    `World.check` fails meanwhile if a task outlives the limit."""
    world.run(world.settings.cancel_s + 3.0)
    assert world.reported_outcomes[job] == "aborted"
    assert not [
        k for m in world.cloud.machines.values() for k in m.running_tasks() if k.startswith(job)
    ]


# -- workers reach no node, but direct commands reach the workers


@pytest.mark.parametrize(("silence_s", "deleted"), [(8.0, False), (60.0, True)])
def test_silent_workers_are_deleted_only_after_a_long_silence(
    silence_s: float, deleted: bool
) -> None:
    """Workers that reach no node still answer probes, so a short silence deletes no machine. During
    a long one, their leases expire, and the tasks move, but only after the machines are deleted."""
    world = RelayWorld(41, capacity=6)
    world.submit(ONE, run_s=40.0, parcels=12)
    world.run(16)
    silent_machines = busy(world)[:2]
    world.disconnected_machines = {m.id for m in silent_machines}
    world.run(silence_s)
    world.disconnected_machines.clear()
    assert [m.deleted for m in silent_machines] == [deleted, deleted]
    world.run(5)
    world.max_wait_with_free_capacity_s = WAIT_S
    finish(world)
    assert world.reported_outcomes[ONE] == "done"


@pytest.mark.parametrize("cancel_after_s", [-2.0, 0.0, 5.0])
def test_cancelled_tasks_end_on_workers_that_reach_no_node(cancel_after_s: float) -> None:
    """A cancellation is requested before, at or after the start of the silence."""
    world = RelayWorld(42, capacity=6)
    world.submit(ONE, run_s=200.0, parcels=12)
    world.run(16)
    silent_machine_ids = {m.id for m in busy(world)}
    if cancel_after_s < 0:
        world.cancel(ONE)
        world.run(-cancel_after_s)
    world.disconnected_machines = silent_machine_ids
    world.run(max(0.0, cancel_after_s))
    world.cancel(ONE)
    assert_gone_within_cancel_s(world)


# -- the leader changes repeatedly


@pytest.mark.parametrize("leader_interval_s", [2.0, 4.0, 9.0, 12.0, 17.0])
@pytest.mark.parametrize("time_is_recorded", [True, False])
def test_leader_changes_do_not_delay_cancellation_on_hanging_machines(
    leader_interval_s: float, time_is_recorded: bool
) -> None:
    """Guards against a kill timeout that each leader counted from its own failover: with a new
    leader every dozen seconds, the machine was never deleted. Records of earlier releases lack the
    time of the cancellation: then a leader that stays must meet the limit, counted from its
    election."""
    world = RelayWorld(43, capacity=4)
    world.submit(ONE, run_s=300.0, parcels=8)
    world.run(14)
    for m in busy(world):
        m.hangs_until = world.now + 1000.0
    world.cancel(ONE)
    if not time_is_recorded:
        world.run(1)
        for item in world.store.range("gone/"):
            world.store.keys[item["path"]][0].pop("t")
        world.elect()
        world.cancelled_at[ONE] = world.now
        assert_gone_within_cancel_s(world)
        return
    for _ in range(int(60.0 / leader_interval_s)):
        world.run(leader_interval_s)
        world.elect()
    assert_gone_within_cancel_s(world)


@pytest.mark.parametrize("outage", [0.0, 40.0])
@pytest.mark.parametrize("seed", [1, 2])
def test_jobs_finish_despite_ten_leader_changes(seed: int, outage: float) -> None:
    world = RelayWorld(seed, txn_lost=0.1, mesh_lost=0.05, mesh_delay_s=0.5)
    submit_all(world)
    world.submit("wk-000090", run_s=200.0)
    world.run(10)
    for i in range(10):
        if i == 3:
            world.outage_until = world.now + outage
        if i == 5:
            world.cancel("wk-000090")
        world.run(world.rng.uniform(1.0, 20.0))
        if world.now >= world.outage_until:
            world.crash(world.leader)
    world.faults = {}
    world.cancel("wk-000090")
    finish(world)
    world.run(35)
    assert world.reported_outcomes.pop("wk-000090") == "aborted" and set(
        world.reported_outcomes.values()
    ) == {"done"}


# -- jobs bound to one zone lose machines


@pytest.mark.parametrize(
    ("zone", "changes"),
    [
        ("a", {"yard": "a", "parcels": 40}),
        ("b", {"breeds": ["big"], "parcels": 24}),
        ("", {"together": True, "parcels": 24}),
        ("", {"spread": True, "parcels": 23}),
    ],
)
def test_zone_bound_jobs_finish_after_losing_machines(zone: str, changes: dict[str, Any]) -> None:
    world = RelayWorld(44, capacity=14)
    world.submit(ONE, run_s=12.0, cpus=4.0, **changes)
    world.submit(TWO, run_s=12.0, cpus=2.0, parcels=30)
    world.run(14)
    assert busy(world)
    used_zones = {m.zone for m in busy(world) if any(k.startswith(ONE) for k in m.running_tasks())}
    for m in list(world.cloud.machines.values()):
        if m.zone in (zone or used_zones):
            m.hangs_until = 1e9
    world.crash(world.leader)
    world.run(20)
    world.max_wait_with_free_capacity_s = WAIT_S
    finish(world)
    assert set(world.reported_outcomes.values()) == {"done"}


def test_scale_out_uses_the_only_zone_that_the_other_tasks_allow() -> None:
    """All idle machines are in the other zone, so the total supply alone looks sufficient."""
    world = World(45, capacity=12)
    world.submit(ONE, run_s=200.0, cpus=8.0, parcels=1, together=True, breeds=["small"])
    world.run(12)
    (first_machine,) = busy(world)
    world.submit(TWO, run_s=200.0, cpus=8.0, parcels=2, together=True, breeds=["small"])
    world.run(12)
    scheduler = leader(world)
    job = scheduler.jobs.jobs[TWO]
    remaining_machine = next(
        m for m in busy(world) if any(k.startswith(TWO) for k in m.running_tasks())
    )
    other_zone = "b" if remaining_machine.zone == "a" else "a"
    deleted_machine = next(
        m
        for m in busy(world)
        if m is not remaining_machine and any(k.startswith(TWO) for k in m.running_tasks())
    )
    for m in list(world.cloud.machines.values()):
        if (
            m.zone == remaining_machine.zone
            and m is not remaining_machine
            and m is not first_machine
        ):
            world.cloud.delete(b'{"wagons":["%s"]}' % m.id.encode())
    # The other zone has as many CPUs as are requested.
    create_request = (
        b'{"hire":"x","breed":"small","yard":"%s","loaners":false,"number":3}' % other_zone.encode()
    )
    assert (
        deleted_machine.deleted
        and world.cloud.create_machines(create_request, world.now - 60.0)[0] == 200
    )
    world.run(40)
    zones = {world.cloud.machines[p.machine_id].zone for p in job.placements()}
    assert zones == {remaining_machine.zone} and job.unplaced_count == 0, (
        "no machine was created in the zone where the job may run"
    )


# -- a leader fails while machines are unreachable, or do not receive the new leader's answers


@pytest.mark.parametrize("how", ["hang", "unresponsive", "unresponsive for good", "silent"])
def test_failover_keeps_tasks_on_briefly_unreachable_machines(how: str) -> None:
    """Long tasks stay on their machines until they are proven to have ended. Machines that stay
    unresponsive are replaced."""
    world = RelayWorld(46, capacity=5)
    world.submit(ONE, run_s=60.0, parcels=12)
    world.run(18)
    unreachable = busy(world)[:2]
    unreachable_ids = {m.id for m in unreachable}
    world.machines_without_inbound_messages = (
        unreachable_ids if how.startswith("unresponsive") else set()
    )
    world.disconnected_machines = unreachable_ids if how == "silent" else set()
    for m in unreachable:
        m.hangs_until = world.now + 7.0 if how == "hang" else -1.0
    world.crash(world.leader)
    world.run(7)
    if how == "unresponsive for good":
        world.run(60)
        assert all(m.deleted for m in unreachable)
    else:
        world.machines_without_inbound_messages, world.disconnected_machines = set(), set()
        assert not any(m.deleted for m in unreachable)
    finish(world)
    if how == "hang":
        assert all(world.start_counts[key] == 1 for key in world.start_counts), (
            "a task was started again without need"
        )


# -- a zone is partitioned together with a node


@pytest.mark.parametrize("cut_node_leads", [True, False])
@pytest.mark.parametrize("cloud_down", [False, True])
def test_jobs_end_after_a_zone_is_partitioned_with_one_node(
    cut_node_leads: bool, cloud_down: bool
) -> None:
    """The partition lasts longer than a lease, and a job is cancelled meanwhile. If the cloud is
    down too, no machine can be deleted: cancelled tasks end only because the node inside the
    partition stops acknowledging their workers."""
    world = RelayWorld(47, capacity=8)
    world.submit(ONE, run_s=200.0, parcels=20)
    world.submit(TWO, run_s=30.0, parcels=20)
    world.run(18)
    node = (
        world.leader if cut_node_leads else next(i for i in range(world.nodes) if i != world.leader)
    )
    world.enforces_machine_shares = False
    world.cut_off_nodes, world.cut_zone = {node}, "a"
    for m in world.cloud.machines.values():
        if m.zone == "a":
            world.node_by_worker[m.id] = node
    if cloud_down:
        world.cloud_down_until = world.now + 60.0
    world.run(3)
    if cut_node_leads:
        world.elect()
    world.cancel(ONE)
    world.run(45)
    world.cut_off_nodes, world.cut_zone, world.enforces_machine_shares = set(), None, True
    finish(world)
    assert world.reported_outcomes == {ONE: "aborted", TWO: "done"}


# -- nodes stop and return


@pytest.mark.parametrize("gap", [0.0, 0.4, 1.0, 14.0])
@pytest.mark.parametrize("seed", [1, 2])
def test_jobs_end_after_all_nodes_stop_and_one_returns(gap: float, seed: int) -> None:
    """One node returns at once, or after 14 s, when all leases have expired. In that case the tasks
    have ended, and only newer heartbeats of their machines show it."""
    world = RelayWorld(seed, capacity=8, txn_twice=0.3, txn_lost=0.1, report_twice=0.3)
    submit_all(world)
    world.submit("wk-000090", run_s=300.0)
    world.run(14)
    world.cancel("wk-000090")
    world.run(1)
    machine_ids_before = set(world.cloud.machines)
    world.stalled_node, world.unreachable_nodes = world.leader, set(range(world.nodes))
    world.run(gap)
    world.stalled_node, world.unreachable_nodes = None, set()
    for i in range(world.nodes):
        world.crash(i)
    world.unreachable_nodes = {
        i for i in range(world.nodes) if i != world.leader
    }  # the others return later
    world.run(4)
    world.unreachable_nodes = set()
    world.run(4)
    scheduler = leader(world)
    assert not [
        n
        for n in machine_ids_before & set(world.cloud.machines)
        if scheduler.inventory.is_deleted(MachineId(n))
    ]
    world.run(10)
    world.max_wait_with_free_capacity_s = WAIT_S
    finish(world)
    world.run(35)
    assert world.reported_outcomes.pop("wk-000090", "aborted") == "aborted" and set(
        world.reported_outcomes.values()
    ) == {"done"}


@pytest.mark.parametrize("late_s", [0.0, 0.5, 3.0])
def test_late_campaign_of_an_earlier_incarnation_elects_nobody(late_s: float) -> None:
    """The campaign transaction of a node's earlier incarnation commits after the node restarted. No
    incarnation may lead under it."""
    store = StoreSim()
    old_campaign: bytes | None = None
    node, now = Election(NodeId("n0"), 2.0, 0.02, IncarnationId("old")), 0.0
    for incarnation in ("old", "new"):
        node = Election(NodeId("n0"), 2.0, 0.02, IncarnationId(incarnation))
        started_at = now
        while now < started_at + 8.0:
            now = round(now + 0.1, 3)
            at = MonotonicTime(now)
            if incarnation == "new" and old_campaign is not None and now >= started_at + late_s:
                store.txn(old_campaign)
                old_campaign = None
            action = node.next_action(at)
            if isinstance(action, ReadLeaderKey):
                found = store.item("lead")
                node.on_leader_key_read(
                    None if found is None else state.parse_item(orjson.dumps(found)), at
                )
            elif isinstance(action, GrantLease):
                store.next_lease += 1
                store.leases[store.next_lease] = now
                node.on_lease_granted(LeaseId(store.next_lease), at)
            elif isinstance(action, RevokeLease):
                store.end_lease(action.lease_id)
                node.on_lease_revoked(at)
            elif isinstance(action, Campaign):
                if incarnation == "old":
                    old_campaign = action.transaction.body()
                    break  # the node is killed while the transaction is in flight
                status, answer = store.txn(action.transaction.body())
                node.on_campaign_result(
                    Revision(answer["ledgerRev"]) if status == 200 else None, at
                )
            if node.role is Role.LEADER:
                value, version, _ = store.keys["lead"]
                assert value["life"] == incarnation == "new" and node.token == version
                break
    assert node.role is Role.LEADER


# -- a transaction without an answer commits late


@pytest.mark.parametrize("seed", range(4))
def test_jobs_finish_when_transactions_commit_late(seed: int) -> None:
    """Three in ten transactions commit 2 to 12 s late, after newer ones of the same leader."""
    world = World(seed, capacity=5, txn_late=0.3)
    submit_all(world)
    world.submit("wk-000090", run_s=100.0)
    for i in range(40):
        world.run(1.0)
        world.check_placements_are_stored()
        if i % 8 == 0:
            world.submit(f"wk-0001{i:02d}", run_s=3.0, parcels=5)
    world.cancel("wk-000090")
    finish(world)
    world.run(20)
    assert world.reported_outcomes.pop("wk-000090") == "aborted" and set(
        world.reported_outcomes.values()
    ) == {"done"}
    assert not world.store.range("job/")


@pytest.mark.parametrize(
    "last_write", ["an empty placement record", "a cleanup marker without a job record"]
)
@pytest.mark.parametrize("is_committed", [True, False])
def test_unanswered_last_write_does_not_stop_placement(last_write: str, is_committed: bool) -> None:
    """Guards against a stop of all placement after a write without an answer. With nothing left to
    write, no answer showed that the store was available again, and the next job waited although
    all machines were idle."""
    world = World(48)
    world.submit(ONE, run_s=3.0)
    if last_write != "an empty placement record":
        finish(world)
        world.run(5)
        world.store.txn(state.Transaction({}, [state.Put("gone/wk-000077", {"e": "done"})]).body())
        world.elect()
    scheduler = leader(world)
    pending: PendingTransaction | None = None
    for _ in range(400):
        world.now += 0.1
        now = MonotonicTime(world.now)
        world.run_leader_tick(scheduler, now)
        world.serve_cloud(scheduler, now)
        for m in list(world.cloud.machines.values()):
            world.serve_worker(scheduler, m, now, 0.1)
        pending = scheduler.next_transaction(now, 20)
        if pending is not None and (pending.deleted_records or pending.orphaned_keys):
            break
        if pending is not None:
            answer = world.store.txn(pending.transaction.body())[1]
            scheduler.on_transaction_result(
                pending,
                TransactionOutcome.COMMITTED,
                Revision(answer["ledgerRev"]),
                (),
                MonotonicTime(world.now),
            )
    assert pending is not None and (pending.deleted_records or pending.orphaned_keys)
    world.reported_outcomes.update(scheduler.take_finished_jobs())
    if is_committed:
        world.store.txn(pending.transaction.body())
    else:
        world.delayed_transactions.append((world.now + 5.0, pending.transaction.body()))
    scheduler.on_transaction_result(
        pending, TransactionOutcome.INDETERMINATE, Revision(0), (), MonotonicTime(world.now)
    )
    world.run(8)
    world.submit(TWO, run_s=3.0)
    world.run(40)
    assert world.reported_outcomes[TWO] == "done"


# -- requests race with the end of the last task


def run_until_last_task_is_done(world: World, job: str) -> Any:
    """Run until the leader has received the heartbeat that reports the job's last task as done, and
    has written nothing since. Return the leader's scheduler."""
    scheduler = leader(world)
    while not scheduler.jobs.jobs[JobId(job)].is_complete:
        for body in [m for m in world.cloud.machines.values() if m.boots_at <= world.now]:
            world.serve_worker(scheduler, body, MonotonicTime(world.now), 0.0)
            if scheduler.jobs.jobs[JobId(job)].is_complete:
                return scheduler
        world.step(0.1)
    return scheduler


@pytest.mark.parametrize(
    ("moment", "expected_status", "cancel_result", "outcome"),
    [
        ("running", JobStatus, LookupFailure.UNDECIDED, "aborted"),
        ("complete", JobStatus, LookupFailure.UNDECIDED, "done"),
        ("end sent", LookupFailure.UNDECIDED, LookupFailure.UNDECIDED, "done"),
        ("end unsure", LookupFailure.UNDECIDED, LookupFailure.UNDECIDED, "done"),
        ("end refused", JobStatus, LookupFailure.UNDECIDED, "done"),
        ("end durable", "done", "done", "done"),
    ],
)
def test_status_and_cancellation_requests_around_the_end_of_a_job(
    moment: str, expected_status: Any, cancel_result: Any, outcome: str
) -> None:
    """Checks, at each moment around a job's end, the answers to a status request and to a
    cancellation, and that the user gets a single outcome."""
    world = World(49, capacity=3)
    world.submit(ONE, run_s=3.0, parcels=2)
    if moment == "running":
        scheduler = leader(world)
        while not busy(world):
            world.step(0.1)
    else:
        scheduler = run_until_last_task_is_done(world, ONE)
    now = MonotonicTime(world.now)
    pending = None
    if moment.startswith("end"):
        pending = scheduler.next_transaction(now, 20)
        assert pending is not None and pending.ends
    if pending is not None and moment == "end unsure":
        world.delayed_transactions.append((world.now + 3.0, pending.transaction.body()))
        scheduler.on_transaction_result(
            pending, TransactionOutcome.INDETERMINATE, Revision(0), (), now
        )
    elif pending is not None and moment == "end refused":
        scheduler.on_transaction_result(pending, TransactionOutcome.REJECTED, Revision(0), (), now)
    elif pending is not None and moment == "end durable":
        version = Revision(world.store.txn(pending.transaction.body())[1]["ledgerRev"])
        scheduler.on_transaction_result(pending, TransactionOutcome.COMMITTED, version, (), now)
    status = scheduler.job_status(ONE)
    if isinstance(expected_status, str):
        assert status is LookupFailure.STATE_UNKNOWN or status.state == expected_status
        # The scheduler drops a finished job at once. The node answers from the outcomes that it has
        # just taken.
        assert scheduler.take_finished_jobs() == [(ONE, expected_status)]
        world.record_reported_outcome(ONE, expected_status)
        assert scheduler.cancel_job(ONE, now) in (cancel_result, LookupFailure.STATE_UNKNOWN)
    elif expected_status is JobStatus:
        assert isinstance(status, JobStatus) and status.state in ("pending", "running")
        assert scheduler.cancel_job(ONE, now) is cancel_result
    else:
        assert status is expected_status
        assert scheduler.cancel_job(ONE, now) is cancel_result
    if pending is not None and moment == "end sent":
        version = Revision(world.store.txn(pending.transaction.body())[1]["ledgerRev"])
        scheduler.on_transaction_result(pending, TransactionOutcome.COMMITTED, version, (), now)
    world.run(30)
    assert world.reported_outcomes == {ONE: outcome}
    assert world.store.keys[f"end/{ONE}"][0]["e"] == outcome


@pytest.mark.parametrize(
    ("meanwhile", "expected"), [("nothing", "pending"), ("told here", "done"), ("ended", "done")]
)
def test_repeated_submission_returns_an_end_that_came_meanwhile(
    meanwhile: str, expected: str
) -> None:
    """The job ends while the store's answer to the repeated submission is in flight. The reply must
    give the outcome, whether this node has recorded it or only the store has."""
    store = StoreSim()
    body = orjson.dumps(submission(ONE))
    delayed_answers: list[Any] = []
    types = cloud.parse_catalog(CATALOG)

    def txn(sent: Any, done: Any) -> None:
        status, answer = store.txn(sent.body())
        failed = tuple(answer.get("failed", ()))
        delayed_answers.append(lambda: done(status, Revision(answer["ledgerRev"]), failed))

    def get(key: str, done: Any) -> None:
        found = store.item(key)
        done(True, None if found is None else state.parse_item(orjson.dumps(found)))

    bucket = SimpleNamespace(
        available=lambda *_: 9, try_take=lambda *_: True, force_take=lambda *_: None
    )
    node: Any = SimpleNamespace(
        clock=lambda: MonotonicTime(0.0),
        loop_lag_s=0.0,
        machine_types=types,
        settings=World(0).settings,
        tuning=World(0).tuning,
        store=SimpleNamespace(commit=txn, get=get, writes=bucket, requests=bucket),
        leader_service=SimpleNamespace(
            scheduler=None, job_record_watch=SimpleNamespace(add_record=lambda *_: None)
        ),
    )
    user_service = UserService(node)
    replies: list[tuple[int, Any]] = []

    def submit() -> None:
        request: Any = SimpleNamespace(
            body=lambda: body, reply=lambda status, data, *_: replies.append((status, data))
        )
        user_service._submit(request)

    submit()
    delayed_answers.pop()()
    if meanwhile == "ended":
        store.txn(
            state.Transaction(
                {}, [state.Put(f"end/{ONE}", {"e": "done"}), state.DeleteKey(f"job/{ONE}")]
            ).body()
        )
    submit()
    if meanwhile == "told here":
        user_service.record_outcome(ONE, "done")
    delayed_answers.pop()()
    assert [status for status, _ in replies] == [201, 200]
    assert orjson.loads(replies[1][1])["standing"] == expected


# -- heartbeats are delayed, or belong to earlier sessions and attempts


@pytest.mark.parametrize("is_first", [True, False])
def test_new_leader_rejects_a_heartbeat_delayed_since_before_its_election(is_first: bool) -> None:
    """The delayed heartbeat lacks the tasks that the old leader launched since. If it is the first
    heartbeat of the machine that the new leader receives, its old fencing token shows that it is
    outdated; otherwise, the machine's newer heartbeats do."""
    world = World(50, capacity=2)
    world.submit(ONE, run_s=60.0, parcels=4, cpus=4.0)
    world.run(8)
    worker = next(
        worker
        for worker in world.cloud.machines.values()
        if worker.boots_at <= world.now and not worker.tasks
    )
    delayed = workers.parse_heartbeat(worker.report())
    while not worker.running_tasks():
        world.step(0.1)
    world.elect()
    if not is_first:
        world.run(4)
    scheduler = leader(world)
    machine = scheduler.inventory.get(MachineId(worker.id))
    placements_before, heartbeat_at = dict(machine.placements), machine.last_heartbeat_at
    assert placements_before
    assert not scheduler.on_heartbeat(delayed, MonotonicTime(world.now))
    assert machine.placements == placements_before and machine.last_heartbeat_at == heartbeat_at
    assert not any(p.phase is PlacementPhase.ENDED for p in placements_before.values())
    finish(world)
    assert all(n == 1 for n in world.start_counts.values())


@pytest.mark.parametrize(
    ("name", "older", "attempt", "standing", "answer"),
    [
        ("earlier session, the task is not there", {"stint": 1, "tally": 900}, None, None, None),
        ("earlier session, the task is done", {"stint": 1, "tally": 900}, 0, "ended", None),
        ("an older one, the task is not there", {"tally": -1}, None, None, None),
        ("the same again", {"tally": 0}, None, None, None),
        ("earlier attempt, done", {}, -1, "ended", "clear"),
        ("earlier attempt, still running", {}, -1, "running", "kill"),
    ],
)
def test_outdated_heartbeat_changes_no_placement(
    name: str, older: dict[str, int], attempt: int | None, standing: str | None, answer: str | None
) -> None:
    """A heartbeat that is repeated or from an earlier session, or that reports an earlier attempt,
    neither moves a task nor marks one as done."""
    world = World(51, capacity=1)
    world.submit(ONE, run_s=200.0, parcels=2, cpus=4.0)
    world.run(12)
    sim = busy(world)[0]
    sim.lease_renewed_at = -1e9  # its lease expires: the next session begins, and the tasks restart
    world.run(6)
    assert sim.agent_epoch == 2 and len(sim.running_tasks()) == 2
    scheduler = leader(world)
    p = next(p for m in scheduler.inventory.machines.values() for p in m.placements.values())
    body = sim.report()
    sent = body | {"parcels": [t for t in body["parcels"] if t["parcel"] != p.key]}
    if attempt is not None:
        p.attempt = p.attempt + 1 if attempt else p.attempt
        cause = {"cause": "done"} if standing == "ended" else {}
        task = {"parcel": p.key, "try": p.attempt + attempt, "standing": standing} | cause
        sent["parcels"].append(task)
    if "stint" in older:
        sent |= older
    else:
        sent["tally"] = sent["tally"] + older.get("tally", 1) - 1
        sim.seq += 1
    before = (
        dict(scheduler.inventory.machines[p.machine_id].placements),
        p.phase,
        p.job.done_count,
    )
    commands = scheduler.on_heartbeat(workers.parse_heartbeat(sent), MonotonicTime(world.now))
    if answer is None:
        assert not commands, name
    else:
        assert [type(x).__name__.lower() for x in commands if x.key == p.key] == [answer], name
    assert (
        dict(scheduler.inventory.machines[p.machine_id].placements),
        p.phase,
        p.job.done_count,
    ) == before, name


# -- more work than capacity


@pytest.mark.parametrize("seed", [1, 2])
def test_jobs_finish_under_overload_with_slow_peer_links(seed: int) -> None:
    world = RelayWorld(seed, capacity=3, mesh_delay_s=2.5, mesh_lost=0.05, answer_slow=0.1)
    world.max_wait_with_free_capacity_s = WAIT_S
    for i in range(30):
        urgency = ("urgent", "standard", "idle")[i % 3]
        world.submit(
            f"wk-{i:06d}",
            run_s=5.0,
            parcels=6,
            urgency=urgency,
            loaners=i % 5 != 0,
            lot="quick" if i % 2 else "slow",
            cpus=(1.0, 2.0, 4.0)[i % 3],
        )
        world.run(1.0)
    world.faults = {}
    finish(world, 900.0)
    assert set(world.reported_outcomes.values()) == {"done"}


@pytest.mark.parametrize(
    ("how", "within_s"),
    [
        ("a larger one waits", 70.0),
        ("kept", 70.0),
        ("kept, job prefers on-demand", 20.0),
        ("avoided", 70.0),
        ("quarantine", 110.0),
    ],
)
def test_wait_beside_free_capacity_is_bounded(how: str, within_s: float) -> None:
    """A job fits into free capacity that is kept for other jobs in vain, that is on a machine that
    the job avoids, or that is on a cordoned machine that long tasks keep from being replaced.
    Capacity is not kept from a job that prefers on-demand machines because the preemption of a spot
    machine has interrupted it."""
    world = World(52, capacity=1)
    world.submit(ONE, run_s=500.0, parcels=1, cpus=5.0, loaners=how[:4] != "kept", breeds=["small"])
    world.run(16)
    scheduler = leader(world)
    (machine,) = [
        machine
        for machine in scheduler.inventory.machines.values()
        if machine.state is MachineState.UP
    ]
    assert machine.live_task_count == 1 and (how[:4] != "kept" or not machine.is_spot)
    if how == "a larger one waits":
        world.submit("wk-000009", run_s=5.0, parcels=4, cpus=4.0, urgency="urgent", loaners=False)
        world.submit("wk-000008", run_s=5.0, parcels=4, cpus=5.0, breeds=["small"])
    elif how[:4] == "kept":
        world.submit("wk-000009", run_s=5.0, parcels=1, cpus=6.0, loaners=False, breeds=["small"])
        world.run(2)  # until capacity for it is requested
    elif how == "quarantine":
        scheduler.cluster_state.cordon(machine, "slow", MonotonicTime(world.now))
    # 3 CPUs exceed the limit of a prelaunch queue: an enqueued task would bypass what is kept.
    changes = {"run_s": 5.0, "parcels": 1, "cpus": 3.0, "urgency": "idle", "breeds": ["small"]}
    if how == "kept, job prefers on-demand":
        world.submit("wk-000000", **changes)
    world.submit(TWO, **changes)
    scheduler.jobs.jobs[TWO].prefers_on_demand = how == "kept, job prefers on-demand"
    if how == "avoided":
        scheduler.jobs.jobs[TWO].avoid_machine(machine.id, MonotonicTime(world.now))
    world.max_wait_with_free_capacity_s = WAIT_S
    world.run(within_s)
    assert world.start_counts[f"{TWO}/0"] == 1


# -- tasks that end far apart


@pytest.mark.parametrize("loss_rate", [0.0, 0.3])
@pytest.mark.parametrize("task_count", [2, 3])
def test_finished_tasks_do_not_rerun_across_leader_changes(
    task_count: int, loss_rate: float
) -> None:
    """A machine keeps reporting a finished task until the store has recorded it: no task runs
    again, and the job is done only when its last task is."""
    world = RelayWorld(53, capacity=4, txn_lost=loss_rate)
    world.submit(ONE, run_s=99.0, parcels=task_count, cpus=8.0, breeds=["small"])
    world.run(30)
    assert len(busy(world)) == task_count
    for i, m in enumerate(busy(world)):
        for task in m.tasks.values():
            task.remaining_run_s = 4.0 + 9.0 * i
    ends = [world.now + 4.0 + 9.0 * i for i in range(task_count)]
    for end_at in ends[:-1]:
        world.run(end_at + 1.5 - world.now)
        assert f"end/{ONE}" not in world.store.keys
        world.crash(world.leader)
    finish(world)
    assert world.reported_outcomes == {ONE: "done"} and world.now > ends[-1]
    assert dict(world.start_counts) == {f"{ONE}/{i}": 1 for i in range(task_count)}


# -- commands or answers are delayed, or a machine recovers before its deletion


@pytest.mark.parametrize("seed", range(3))
def test_jobs_end_correctly_when_commands_are_delayed_for_seconds(seed: int) -> None:
    """Some delays are longer than the worker waits for a response, some are not. The machine hangs
    during the delay, and jobs end, are cancelled and move to other machines."""
    world = RelayWorld(seed, capacity=5, answer_slow=0.25, mesh_delay_s=1.0, report_twice=0.1)
    submit_all(world)
    world.submit("wk-000090", run_s=100.0, parcels=10)
    world.submit("wk-000091", run_s=100.0, parcels=10)
    world.run(15)
    world.cancel("wk-000090")
    world.run(10)
    world.crash(world.leader)
    world.cancel("wk-000091")
    world.run(15)
    world.cancel("wk-000091")
    world.faults = {}
    finish(world)
    world.run(31)
    assert {j for j, how in world.reported_outcomes.items() if how == "aborted"} == {
        "wk-000090",
        "wk-000091",
    }


@pytest.mark.parametrize(
    ("cancel_at", "peer_message_lost"), [(4.0, False), (9.0, False), (9.0, True)]
)
def test_cancelled_tasks_end_on_a_recovered_machine_with_a_pending_deletion(
    cancel_at: float, peer_message_lost: bool
) -> None:
    """The machines hung and are to be deleted, but the cloud is down, so they stay and recover.
    Their relays see no change in their heartbeats: unless the leader requests the next ones, no
    kill command is ever sent."""
    world = RelayWorld(54, capacity=3)
    world.submit(ONE, run_s=300.0, parcels=6)
    world.run(16)
    scheduler = leader(world)
    hung = busy(world)
    world.cloud_down_until = world.now + 120.0
    for m in hung:
        m.hangs_until = world.now + 8.0
    world.run(cancel_at)
    if cancel_at > 8.0:
        assert all(
            scheduler.inventory.machines[MachineId(m.id)].state is MachineState.DELETING
            for m in hung
        )
        world.run(4)
    world.cancel(ONE)
    if peer_message_lost:
        world.faults["mesh_lost"] = 1.0
        world.run(3)
        world.faults["mesh_lost"] = 0.0
    assert_gone_within_cancel_s(world)


@pytest.mark.parametrize("seed", range(3))
def test_tasks_stay_on_a_recovered_machine_until_its_deletion(seed: int) -> None:
    """The machine hangs and recovers before the cloud has answered the request to delete it. Other
    machines have free capacity."""
    world = RelayWorld(seed, capacity=6)
    world.submit(ONE, run_s=60.0, parcels=8)
    world.submit(TWO, run_s=2.0, parcels=12)
    while TWO not in world.reported_outcomes:
        world.step(0.1)
    (hung, *_) = [m for m in busy(world) if any(k.startswith(ONE) for k in m.running_tasks())]
    world.cloud_down_until = world.now + 25.0
    hung.hangs_until = world.now + 8.5
    world.run(8)
    assert (
        leader(world).inventory.machines[MachineId(hung.id)].state is MachineState.DELETING
        and hung.running_tasks()
    )
    finish(world)
    assert world.reported_outcomes == {ONE: "done", TWO: "done"}


def test_machines_with_cancelled_tasks_are_deleted_first() -> None:
    """More machines are to be deleted at once than one request holds, as when a zone fails."""
    world = World(55, capacity=1)
    world.submit(ONE, run_s=300.0, parcels=1)
    world.run(14)
    scheduler = leader(world)
    (machine,) = [
        machine for machine in scheduler.inventory.machines.values() if machine.live_task_count
    ]
    now = MonotonicTime(world.now)
    for i in range(cloud.MAX_DELETED_MACHINES + 20):
        other = scheduler.inventory.add(
            MachineId(f"n-9{i:05d}"), machine.type, "a", True, MachineState.UP, now, now
        )
        scheduler.cluster_state.request_deletion(other, now)
    world.cancel(ONE)
    scheduler.cluster_state.request_deletion(machine, now)
    request = scheduler.next_cloud_request(now)
    assert isinstance(request, DeleteMachines) and request.machines[0] == machine.id


# -- a team uses its whole quota


@pytest.mark.parametrize("how", ["hang", "unresponsive", "silent"])
@pytest.mark.parametrize("seed", [1, 2])
def test_team_quota_holds_across_leader_changes(how: str, seed: int) -> None:
    """Some machines of the team are unreachable, and its job is cancelled. All tasks that may still
    run there count against the quota until they are proven to have ended, so the next job gets only
    the capacity that the others free."""
    quota_cpus = next(t for t in PLATFORM["settings"]["teams"] if t["name"] == "t1")["cpus_max"]
    world = RelayWorld(seed, capacity=10)
    world.submit(ONE, run_s=100.0, parcels=30, crew="t1")
    world.run(20)
    running_count = sum(len(m.running_tasks()) for m in world.cloud.machines.values())
    assert running_count * 2.0 == quota_cpus
    unreachable = busy(world)[:2]
    unreachable_ids = {m.id for m in unreachable}
    world.machines_without_inbound_messages = unreachable_ids if how == "unresponsive" else set()
    world.disconnected_machines = unreachable_ids if how == "silent" else set()
    for m in unreachable:
        m.hangs_until = world.now + 30.0 if how == "hang" else -1.0
    world.submit(TWO, run_s=5.0, parcels=30, crew="t1")
    world.crash(world.leader)
    world.run(1)
    world.cancel(ONE)
    world.run(8)
    world.crash(world.leader)
    world.run(25)
    world.machines_without_inbound_messages, world.disconnected_machines = set(), set()
    world.max_wait_with_free_capacity_s = WAIT_S
    finish(world)
    assert world.reported_outcomes == {ONE: "aborted", TWO: "done"}
