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


def leader(w: World) -> Any:
    assert w.scheduler is not None
    return w.scheduler


def busy(w: World) -> list[WorkerSim]:
    return [m for m in w.cloud.machines.values() if m.running_tasks()]


def assert_gone_within_cancel_s(w: World, job: str = ONE) -> None:
    """Check that the job is cancelled in time and that none of its tasks still runs.

    `World.check` fails meanwhile if a task outlives the limit."""
    w.run(w.settings.cancel_s + 3.0)
    assert w.reported_outcomes[job] == "aborted"
    assert not [
        k for m in w.cloud.machines.values() for k in m.running_tasks() if k.startswith(job)
    ]


# -- workers reach no node, but direct commands reach the workers


@pytest.mark.parametrize(("silence_s", "deleted"), [(8.0, False), (60.0, True)])
def test_silent_workers_are_deleted_only_after_a_long_silence(
    silence_s: float, deleted: bool
) -> None:
    """Workers that reach no node still answer probes, so a short silence deletes no machine. During
    a long one, their leases expire, and the tasks move, but only after the machines are deleted."""
    w = RelayWorld(41, capacity=6)
    w.submit(ONE, run_s=40.0, parcels=12)
    w.run(16)
    silent_machines = busy(w)[:2]
    w.disconnected_machines = {m.id for m in silent_machines}
    w.run(silence_s)
    w.disconnected_machines.clear()
    assert [m.deleted for m in silent_machines] == [deleted, deleted]
    w.run(5)
    w.max_wait_with_free_capacity_s = WAIT_S
    finish(w)
    assert w.reported_outcomes[ONE] == "done"


@pytest.mark.parametrize("cancel_after_s", [-2.0, 0.0, 5.0])
def test_cancelled_tasks_end_on_workers_that_reach_no_node(cancel_after_s: float) -> None:
    """A cancellation is requested before, at or after the start of the silence."""
    w = RelayWorld(42, capacity=6)
    w.submit(ONE, run_s=200.0, parcels=12)
    w.run(16)
    silent_machine_ids = {m.id for m in busy(w)}
    if cancel_after_s < 0:
        w.cancel(ONE)
        w.run(-cancel_after_s)
    w.disconnected_machines = silent_machine_ids
    w.run(max(0.0, cancel_after_s))
    w.cancel(ONE)
    assert_gone_within_cancel_s(w)


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
    w = RelayWorld(43, capacity=4)
    w.submit(ONE, run_s=300.0, parcels=8)
    w.run(14)
    for m in busy(w):
        m.hangs_until = w.now + 1000.0
    w.cancel(ONE)
    if not time_is_recorded:
        w.run(1)
        for item in w.store.range("gone/"):
            w.store.keys[item["path"]][0].pop("t")
        w.elect()
        w.cancelled_at[ONE] = w.now
        assert_gone_within_cancel_s(w)
        return
    for _ in range(int(60.0 / leader_interval_s)):
        w.run(leader_interval_s)
        w.elect()
    assert_gone_within_cancel_s(w)


@pytest.mark.parametrize("outage", [0.0, 40.0])
@pytest.mark.parametrize("seed", [1, 2])
def test_jobs_finish_despite_ten_leader_changes(seed: int, outage: float) -> None:
    w = RelayWorld(seed, txn_lost=0.1, mesh_lost=0.05, mesh_delay_s=0.5)
    submit_all(w)
    w.submit("wk-000090", run_s=200.0)
    w.run(10)
    for i in range(10):
        if i == 3:
            w.outage_until = w.now + outage
        if i == 5:
            w.cancel("wk-000090")
        w.run(w.rng.uniform(1.0, 20.0))
        if w.now >= w.outage_until:
            w.crash(w.leader)
    w.faults = {}
    w.cancel("wk-000090")
    finish(w)
    w.run(35)
    assert w.reported_outcomes.pop("wk-000090") == "aborted" and set(
        w.reported_outcomes.values()
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
    w = RelayWorld(44, capacity=14)
    w.submit(ONE, run_s=12.0, cpus=4.0, **changes)
    w.submit(TWO, run_s=12.0, cpus=2.0, parcels=30)
    w.run(14)
    assert busy(w)
    used_zones = {m.zone for m in busy(w) if any(k.startswith(ONE) for k in m.running_tasks())}
    for m in list(w.cloud.machines.values()):
        if m.zone in (zone or used_zones):
            m.hangs_until = 1e9
    w.crash(w.leader)
    w.run(20)
    w.max_wait_with_free_capacity_s = WAIT_S
    finish(w)
    assert set(w.reported_outcomes.values()) == {"done"}


def test_scale_out_uses_the_only_zone_that_the_other_tasks_allow() -> None:
    """All idle machines are in the other zone, so the total supply alone looks sufficient."""
    w = World(45, capacity=12)
    w.submit(ONE, run_s=200.0, cpus=8.0, parcels=1, together=True, breeds=["small"])
    w.run(12)
    (first_machine,) = busy(w)
    w.submit(TWO, run_s=200.0, cpus=8.0, parcels=2, together=True, breeds=["small"])
    w.run(12)
    c = leader(w)
    job = c.jobs.jobs[TWO]
    remaining_machine = next(
        m for m in busy(w) if any(k.startswith(TWO) for k in m.running_tasks())
    )
    other_zone = "b" if remaining_machine.zone == "a" else "a"
    deleted_machine = next(
        m
        for m in busy(w)
        if m is not remaining_machine and any(k.startswith(TWO) for k in m.running_tasks())
    )
    for m in list(w.cloud.machines.values()):
        if (
            m.zone == remaining_machine.zone
            and m is not remaining_machine
            and m is not first_machine
        ):
            w.cloud.delete(b'{"wagons":["%s"]}' % m.id.encode())
    # The other zone has as many CPUs as are requested.
    create_request = (
        b'{"hire":"x","breed":"small","yard":"%s","loaners":false,"number":3}' % other_zone.encode()
    )
    assert (
        deleted_machine.deleted and w.cloud.create_machines(create_request, w.now - 60.0)[0] == 200
    )
    w.run(40)
    zones = {w.cloud.machines[p.machine_id].zone for p in job.placements()}
    assert zones == {remaining_machine.zone} and job.unplaced_count == 0, (
        "no machine was created in the zone where the job may run"
    )


# -- a leader fails while machines are unreachable, or do not receive the new leader's answers


@pytest.mark.parametrize("how", ["hang", "unresponsive", "unresponsive for good", "silent"])
def test_failover_keeps_tasks_on_briefly_unreachable_machines(how: str) -> None:
    """Long tasks stay on their machines until they are proven to have ended. Machines that stay
    unresponsive are replaced."""
    w = RelayWorld(46, capacity=5)
    w.submit(ONE, run_s=60.0, parcels=12)
    w.run(18)
    unreachable = busy(w)[:2]
    unreachable_ids = {m.id for m in unreachable}
    w.machines_without_inbound_messages = (
        unreachable_ids if how.startswith("unresponsive") else set()
    )
    w.disconnected_machines = unreachable_ids if how == "silent" else set()
    for m in unreachable:
        m.hangs_until = w.now + 7.0 if how == "hang" else -1.0
    w.crash(w.leader)
    w.run(7)
    if how == "unresponsive for good":
        w.run(60)
        assert all(m.deleted for m in unreachable)
    else:
        w.machines_without_inbound_messages, w.disconnected_machines = set(), set()
        assert not any(m.deleted for m in unreachable)
    finish(w)
    if how == "hang":
        assert all(w.start_counts[key] == 1 for key in w.start_counts), (
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
    w = RelayWorld(47, capacity=8)
    w.submit(ONE, run_s=200.0, parcels=20)
    w.submit(TWO, run_s=30.0, parcels=20)
    w.run(18)
    node = w.leader if cut_node_leads else next(i for i in range(w.nodes) if i != w.leader)
    w.enforces_machine_shares = False
    w.cut_off_nodes, w.cut_zone = {node}, "a"
    for m in w.cloud.machines.values():
        if m.zone == "a":
            w.node_by_worker[m.id] = node
    if cloud_down:
        w.cloud_down_until = w.now + 60.0
    w.run(3)
    if cut_node_leads:
        w.elect()
    w.cancel(ONE)
    w.run(45)
    w.cut_off_nodes, w.cut_zone, w.enforces_machine_shares = set(), None, True
    finish(w)
    assert w.reported_outcomes == {ONE: "aborted", TWO: "done"}


# -- nodes stop and return


@pytest.mark.parametrize("gap", [0.0, 0.4, 1.0, 14.0])
@pytest.mark.parametrize("seed", [1, 2])
def test_jobs_end_after_all_nodes_stop_and_one_returns(gap: float, seed: int) -> None:
    """One node returns at once, or after 14 s, when all leases have expired. In that case the tasks
    have ended, and only newer heartbeats of their machines show it."""
    w = RelayWorld(seed, capacity=8, txn_twice=0.3, txn_lost=0.1, report_twice=0.3)
    submit_all(w)
    w.submit("wk-000090", run_s=300.0)
    w.run(14)
    w.cancel("wk-000090")
    w.run(1)
    machine_ids_before = set(w.cloud.machines)
    w.stalled_node, w.unreachable_nodes = w.leader, set(range(w.nodes))
    w.run(gap)
    w.stalled_node, w.unreachable_nodes = None, set()
    for i in range(w.nodes):
        w.crash(i)
    w.unreachable_nodes = {i for i in range(w.nodes) if i != w.leader}  # the others return later
    w.run(4)
    w.unreachable_nodes = set()
    w.run(4)
    c = leader(w)
    assert not [
        n
        for n in machine_ids_before & set(w.cloud.machines)
        if c.inventory.is_deleted(MachineId(n))
    ]
    w.run(10)
    w.max_wait_with_free_capacity_s = WAIT_S
    finish(w)
    w.run(35)
    assert w.reported_outcomes.pop("wk-000090", "aborted") == "aborted" and set(
        w.reported_outcomes.values()
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
    w = World(seed, capacity=5, txn_late=0.3)
    submit_all(w)
    w.submit("wk-000090", run_s=100.0)
    for i in range(40):
        w.run(1.0)
        w.check_placements_are_stored()
        if i % 8 == 0:
            w.submit(f"wk-0001{i:02d}", run_s=3.0, parcels=5)
    w.cancel("wk-000090")
    finish(w)
    w.run(20)
    assert w.reported_outcomes.pop("wk-000090") == "aborted" and set(
        w.reported_outcomes.values()
    ) == {"done"}
    assert not w.store.range("job/")


@pytest.mark.parametrize(
    "last_write", ["an empty placement record", "a cleanup marker without a job record"]
)
@pytest.mark.parametrize("is_committed", [True, False])
def test_unanswered_last_write_does_not_stop_placement(last_write: str, is_committed: bool) -> None:
    """Guards against a stop of all placement after a write without an answer. With nothing left to
    write, no answer showed that the store was available again, and the next job waited although
    all machines were idle."""
    w = World(48)
    w.submit(ONE, run_s=3.0)
    if last_write != "an empty placement record":
        finish(w)
        w.run(5)
        w.store.txn(state.Transaction({}, [state.Put("gone/wk-000077", {"e": "done"})]).body())
        w.elect()
    c = leader(w)
    pending: PendingTransaction | None = None
    for _ in range(400):
        w.now += 0.1
        now = MonotonicTime(w.now)
        w.run_leader_tick(c, now)
        w.serve_cloud(c, now)
        for m in list(w.cloud.machines.values()):
            w.serve_worker(c, m, now, 0.1)
        pending = c.next_transaction(now, 20)
        if pending is not None and (pending.deleted_records or pending.orphaned_keys):
            break
        if pending is not None:
            answer = w.store.txn(pending.transaction.body())[1]
            c.on_transaction_result(
                pending,
                TransactionOutcome.COMMITTED,
                Revision(answer["ledgerRev"]),
                (),
                MonotonicTime(w.now),
            )
    assert pending is not None and (pending.deleted_records or pending.orphaned_keys)
    w.reported_outcomes.update(c.take_finished_jobs())
    if is_committed:
        w.store.txn(pending.transaction.body())
    else:
        w.delayed_transactions.append((w.now + 5.0, pending.transaction.body()))
    c.on_transaction_result(
        pending, TransactionOutcome.INDETERMINATE, Revision(0), (), MonotonicTime(w.now)
    )
    w.run(8)
    w.submit(TWO, run_s=3.0)
    w.run(40)
    assert w.reported_outcomes[TWO] == "done"


# -- requests race with the end of the last task


def run_until_last_task_is_done(w: World, job: str) -> Any:
    """Run until the leader has received the heartbeat that reports the job's last task as done, and
    has written nothing since. Return the leader's scheduler."""
    c = leader(w)
    while not c.jobs.jobs[JobId(job)].is_complete:
        for body in [m for m in w.cloud.machines.values() if m.boots_at <= w.now]:
            w.serve_worker(c, body, MonotonicTime(w.now), 0.0)
            if c.jobs.jobs[JobId(job)].is_complete:
                return c
        w.step(0.1)
    return c


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
    w = World(49, capacity=3)
    w.submit(ONE, run_s=3.0, parcels=2)
    if moment == "running":
        c = leader(w)
        while not busy(w):
            w.step(0.1)
    else:
        c = run_until_last_task_is_done(w, ONE)
    now = MonotonicTime(w.now)
    pending = None
    if moment.startswith("end"):
        pending = c.next_transaction(now, 20)
        assert pending is not None and pending.ends
    if pending is not None and moment == "end unsure":
        w.delayed_transactions.append((w.now + 3.0, pending.transaction.body()))
        c.on_transaction_result(pending, TransactionOutcome.INDETERMINATE, Revision(0), (), now)
    elif pending is not None and moment == "end refused":
        c.on_transaction_result(pending, TransactionOutcome.REJECTED, Revision(0), (), now)
    elif pending is not None and moment == "end durable":
        version = Revision(w.store.txn(pending.transaction.body())[1]["ledgerRev"])
        c.on_transaction_result(pending, TransactionOutcome.COMMITTED, version, (), now)
    status = c.job_status(ONE)
    if isinstance(expected_status, str):
        assert status is LookupFailure.STATE_UNKNOWN or status.state == expected_status
        # The scheduler drops a finished job at once. The node answers from the outcomes that it has
        # just taken.
        assert c.take_finished_jobs() == [(ONE, expected_status)]
        w.record_reported_outcome(ONE, expected_status)
        assert c.cancel_job(ONE, now) in (cancel_result, LookupFailure.STATE_UNKNOWN)
    elif expected_status is JobStatus:
        assert isinstance(status, JobStatus) and status.state in ("pending", "running")
        assert c.cancel_job(ONE, now) is cancel_result
    else:
        assert status is expected_status
        assert c.cancel_job(ONE, now) is cancel_result
    if pending is not None and moment == "end sent":
        version = Revision(w.store.txn(pending.transaction.body())[1]["ledgerRev"])
        c.on_transaction_result(pending, TransactionOutcome.COMMITTED, version, (), now)
    w.run(30)
    assert w.reported_outcomes == {ONE: outcome}
    assert w.store.keys[f"end/{ONE}"][0]["e"] == outcome


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
            scheduler=None, job_record_watch=SimpleNamespace(add_record=lambda _: None)
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
    w = World(50, capacity=2)
    w.submit(ONE, run_s=60.0, parcels=4, cpus=4.0)
    w.run(8)
    m = next(m for m in w.cloud.machines.values() if m.boots_at <= w.now and not m.tasks)
    delayed = workers.parse_heartbeat(m.report())
    while not m.running_tasks():
        w.step(0.1)
    w.elect()
    if not is_first:
        w.run(4)
    c = leader(w)
    machine = c.inventory.get(MachineId(m.id))
    placements_before, heartbeat_at = dict(machine.placements), machine.last_heartbeat_at
    assert placements_before
    assert not c.on_heartbeat(delayed, MonotonicTime(w.now))
    assert machine.placements == placements_before and machine.last_heartbeat_at == heartbeat_at
    assert not any(p.phase is PlacementPhase.ENDED for p in placements_before.values())
    finish(w)
    assert all(n == 1 for n in w.start_counts.values())


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
    w = World(51, capacity=1)
    w.submit(ONE, run_s=200.0, parcels=2, cpus=4.0)
    w.run(12)
    sim = busy(w)[0]
    sim.lease_renewed_at = -1e9  # its lease expires: the next session begins, and the tasks restart
    w.run(6)
    assert sim.agent_epoch == 2 and len(sim.running_tasks()) == 2
    c = leader(w)
    p = next(p for m in c.inventory.machines.values() for p in m.placements.values())
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
    before = (dict(c.inventory.machines[p.machine_id].placements), p.phase, p.job.done_count)
    commands = c.on_heartbeat(workers.parse_heartbeat(sent), MonotonicTime(w.now))
    if answer is None:
        assert not commands, name
    else:
        assert [type(x).__name__.lower() for x in commands if x.key == p.key] == [answer], name
    assert (
        dict(c.inventory.machines[p.machine_id].placements),
        p.phase,
        p.job.done_count,
    ) == before, name


# -- more work than capacity


@pytest.mark.parametrize("seed", [1, 2])
def test_jobs_finish_under_overload_with_slow_peer_links(seed: int) -> None:
    w = RelayWorld(seed, capacity=3, mesh_delay_s=2.5, mesh_lost=0.05, answer_slow=0.1)
    w.max_wait_with_free_capacity_s = WAIT_S
    for i in range(30):
        urgency = ("urgent", "standard", "idle")[i % 3]
        w.submit(
            f"wk-{i:06d}",
            run_s=5.0,
            parcels=6,
            urgency=urgency,
            loaners=i % 5 != 0,
            lot="quick" if i % 2 else "slow",
            cpus=(1.0, 2.0, 4.0)[i % 3],
        )
        w.run(1.0)
    w.faults = {}
    finish(w, 900.0)
    assert set(w.reported_outcomes.values()) == {"done"}


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
    Capacity is not kept from a job that prefers on-demand machines because it lost work to the
    cloud."""
    w = World(52, capacity=1)
    w.submit(ONE, run_s=500.0, parcels=1, cpus=5.0, loaners=how[:4] != "kept", breeds=["small"])
    w.run(16)
    c = leader(w)
    (m,) = [m for m in c.inventory.machines.values() if m.state is MachineState.UP]
    assert m.live_task_count == 1 and (how[:4] != "kept" or not m.is_spot)
    if how == "a larger one waits":
        w.submit("wk-000009", run_s=5.0, parcels=4, cpus=4.0, urgency="urgent", loaners=False)
        w.submit("wk-000008", run_s=5.0, parcels=4, cpus=5.0, breeds=["small"])
    elif how[:4] == "kept":
        w.submit("wk-000009", run_s=5.0, parcels=1, cpus=6.0, loaners=False, breeds=["small"])
        w.run(2)  # until capacity for it is requested
    elif how == "quarantine":
        c.cluster_state.cordon(m, "slow", MonotonicTime(w.now))
    # 3 CPUs exceed the limit of a prelaunch queue: an enqueued task would bypass what is kept.
    changes = {"run_s": 5.0, "parcels": 1, "cpus": 3.0, "urgency": "idle", "breeds": ["small"]}
    if how == "kept, job prefers on-demand":
        w.submit("wk-000000", **changes)
    w.submit(TWO, **changes)
    c.jobs.jobs[TWO].prefers_on_demand = how == "kept, job prefers on-demand"
    if how == "avoided":
        c.jobs.jobs[TWO].avoid_machine(m.id, MonotonicTime(w.now))
    w.max_wait_with_free_capacity_s = WAIT_S
    w.run(within_s)
    assert w.start_counts[f"{TWO}/0"] == 1


# -- tasks that end far apart


@pytest.mark.parametrize("loss_rate", [0.0, 0.3])
@pytest.mark.parametrize("task_count", [2, 3])
def test_finished_tasks_do_not_rerun_across_leader_changes(
    task_count: int, loss_rate: float
) -> None:
    """A machine keeps reporting a finished task until the store has recorded it: no task runs
    again, and the job is done only when its last task is."""
    w = RelayWorld(53, capacity=4, txn_lost=loss_rate)
    w.submit(ONE, run_s=99.0, parcels=task_count, cpus=8.0, breeds=["small"])
    w.run(30)
    assert len(busy(w)) == task_count
    for i, m in enumerate(busy(w)):
        for task in m.tasks.values():
            task.remaining_run_s = 4.0 + 9.0 * i
    ends = [w.now + 4.0 + 9.0 * i for i in range(task_count)]
    for end_at in ends[:-1]:
        w.run(end_at + 1.5 - w.now)
        assert f"end/{ONE}" not in w.store.keys
        w.crash(w.leader)
    finish(w)
    assert w.reported_outcomes == {ONE: "done"} and w.now > ends[-1]
    assert dict(w.start_counts) == {f"{ONE}/{i}": 1 for i in range(task_count)}


# -- commands or answers are delayed, or a machine recovers before its deletion


@pytest.mark.parametrize("seed", range(3))
def test_jobs_end_correctly_when_commands_are_delayed_for_seconds(seed: int) -> None:
    """Some delays are longer than the worker waits for a response, some are not. The machine hangs
    during the delay, and jobs end, are cancelled and move to other machines."""
    w = RelayWorld(seed, capacity=5, answer_slow=0.25, mesh_delay_s=1.0, report_twice=0.1)
    submit_all(w)
    w.submit("wk-000090", run_s=100.0, parcels=10)
    w.submit("wk-000091", run_s=100.0, parcels=10)
    w.run(15)
    w.cancel("wk-000090")
    w.run(10)
    w.crash(w.leader)
    w.cancel("wk-000091")
    w.run(15)
    w.cancel("wk-000091")
    w.faults = {}
    finish(w)
    w.run(31)
    assert {j for j, how in w.reported_outcomes.items() if how == "aborted"} == {
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
    w = RelayWorld(54, capacity=3)
    w.submit(ONE, run_s=300.0, parcels=6)
    w.run(16)
    c = leader(w)
    hung = busy(w)
    w.cloud_down_until = w.now + 120.0
    for m in hung:
        m.hangs_until = w.now + 8.0
    w.run(cancel_at)
    if cancel_at > 8.0:
        assert all(
            c.inventory.machines[MachineId(m.id)].state is MachineState.DELETING for m in hung
        )
        w.run(4)
    w.cancel(ONE)
    if peer_message_lost:
        w.faults["mesh_lost"] = 1.0
        w.run(3)
        w.faults["mesh_lost"] = 0.0
    assert_gone_within_cancel_s(w)


@pytest.mark.parametrize("seed", range(3))
def test_tasks_stay_on_a_recovered_machine_until_its_deletion(seed: int) -> None:
    """The machine hangs and recovers before the cloud has answered the request to delete it. Other
    machines have free capacity."""
    w = RelayWorld(seed, capacity=6)
    w.submit(ONE, run_s=60.0, parcels=8)
    w.submit(TWO, run_s=2.0, parcels=12)
    while TWO not in w.reported_outcomes:
        w.step(0.1)
    (hung, *_) = [m for m in busy(w) if any(k.startswith(ONE) for k in m.running_tasks())]
    w.cloud_down_until = w.now + 25.0
    hung.hangs_until = w.now + 8.5
    w.run(8)
    assert (
        leader(w).inventory.machines[MachineId(hung.id)].state is MachineState.DELETING
        and hung.running_tasks()
    )
    finish(w)
    assert w.reported_outcomes == {ONE: "done", TWO: "done"}


def test_machines_with_cancelled_tasks_are_deleted_first() -> None:
    """More machines are to be deleted at once than one request holds, as when a zone fails."""
    w = World(55, capacity=1)
    w.submit(ONE, run_s=300.0, parcels=1)
    w.run(14)
    c = leader(w)
    (m,) = [m for m in c.inventory.machines.values() if m.live_task_count]
    now = MonotonicTime(w.now)
    for i in range(cloud.MAX_DELETED_MACHINES + 20):
        other = c.inventory.add(
            MachineId(f"n-9{i:05d}"), m.type, "a", True, MachineState.UP, now, now
        )
        c.cluster_state.request_deletion(other, now)
    w.cancel(ONE)
    c.cluster_state.request_deletion(m, now)
    request = c.next_cloud_request(now)
    assert isinstance(request, DeleteMachines) and request.machines[0] == m.id


# -- a team uses its whole quota


@pytest.mark.parametrize("how", ["hang", "unresponsive", "silent"])
@pytest.mark.parametrize("seed", [1, 2])
def test_team_quota_holds_across_leader_changes(how: str, seed: int) -> None:
    """Some machines of the team are unreachable, and its job is cancelled. All tasks that may still
    run there count against the quota until they are proven to have ended, so the next job gets only
    the capacity that the others free."""
    quota_cpus = next(t for t in PLATFORM["settings"]["teams"] if t["name"] == "t1")["cpus_max"]
    w = RelayWorld(seed, capacity=10)
    w.submit(ONE, run_s=100.0, parcels=30, crew="t1")
    w.run(20)
    running_count = sum(len(m.running_tasks()) for m in w.cloud.machines.values())
    assert running_count * 2.0 == quota_cpus
    unreachable = busy(w)[:2]
    unreachable_ids = {m.id for m in unreachable}
    w.machines_without_inbound_messages = unreachable_ids if how == "unresponsive" else set()
    w.disconnected_machines = unreachable_ids if how == "silent" else set()
    for m in unreachable:
        m.hangs_until = w.now + 30.0 if how == "hang" else -1.0
    w.submit(TWO, run_s=5.0, parcels=30, crew="t1")
    w.crash(w.leader)
    w.run(1)
    w.cancel(ONE)
    w.run(8)
    w.crash(w.leader)
    w.run(25)
    w.machines_without_inbound_messages, w.disconnected_machines = set(), set()
    w.max_wait_with_free_capacity_s = WAIT_S
    finish(w)
    assert w.reported_outcomes == {ONE: "aborted", TWO: "done"}
