"""Two troubles at once: each meeting that has broken a rule somewhere, brought about here. The
rules themselves are looked at in every step, see `World.check`; the table in `docs/design.md`
says for each meeting what could break and which guard holds."""

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
from test_core import finish, submit_all
from world import PLATFORM, World, submission

ONE, TWO = JobId("wk-000001"), JobId("wk-000002")
WAIT_S = 90.0  # for which no job waits beside room that fits


def leader(w: World) -> Any:
    assert w.scheduler is not None
    return w.scheduler


def busy(w: World) -> list[WorkerSim]:
    return [m for m in w.cloud.machines.values() if m.on()]


def gone_within_cancel_s(w: World, job: str = ONE) -> None:
    """`World.check` fails if a task outlives the cancellation; at the end none is left at all."""
    w.run(w.settings.cancel_s + 3.0)
    assert w.told[job] == "aborted"
    assert not [k for m in w.cloud.machines.values() for k in m.on() if k.startswith(job)]


# -- workers reach no controller, direct commands reach them


@pytest.mark.parametrize(("for_s", "deleted"), [(8.0, False), (60.0, True)])
def test_workers_that_reach_no_node(for_s: float, deleted: bool) -> None:
    """They show themselves when asked, so a short while costs no machine; a long one lets their
    leases run out, and the work goes elsewhere, but not before they are deleted."""
    w = RelayWorld(41, capacity=6)
    w.submit(ONE, run_s=40.0, parcels=12)
    w.run(16)
    silenced = busy(w)[:2]
    w.silent = {m.id for m in silenced}
    w.run(for_s)
    w.silent.clear()
    assert [m.deleted for m in silenced] == [deleted, deleted]
    w.run(5)
    w.left_waiting_s = WAIT_S
    finish(w)
    assert w.told[ONE] == "done"


@pytest.mark.parametrize("at", [-2.0, 0.0, 5.0])
def test_cancelled_on_workers_that_reach_no_node(at: float) -> None:
    w = RelayWorld(42, capacity=6)
    w.submit(ONE, run_s=200.0, parcels=12)
    w.run(16)
    silenced = {m.id for m in busy(w)}
    if at < 0:
        w.cancel(ONE)
        w.run(-at)
    w.silent = silenced
    w.run(max(0.0, at))
    w.cancel(ONE)
    gone_within_cancel_s(w)


# -- leaders change again and again


@pytest.mark.parametrize("every", [2.0, 4.0, 9.0, 12.0, 17.0])
@pytest.mark.parametrize("recorded", [True, False])
def test_cancelled_on_a_hanging_machine_while_leaders_change(every: float, recorded: bool) -> None:
    """Each leader counted the time for the kill from its own take-over, so while they changed
    every dozen seconds the machine was never deleted. Without the time in the record, as earlier
    releases left it, a leader that stays has to be as quick as ever."""
    w = RelayWorld(43, capacity=4)
    w.submit(ONE, run_s=300.0, parcels=8)
    w.run(14)
    for m in busy(w):
        m.hangs_until = w.now + 1000.0
    w.cancel(ONE)
    if not recorded:
        w.run(1)
        for item in w.store.range("gone/"):
            w.store.keys[item["path"]][0].pop("t")
        w.elect()
        w.cancelled_at[ONE] = w.now
        gone_within_cancel_s(w)
        return
    for _ in range(int(60.0 / every)):
        w.run(every)
        w.elect()
    gone_within_cancel_s(w)


@pytest.mark.parametrize("outage", [0.0, 40.0])
@pytest.mark.parametrize("seed", [1, 2])
def test_ten_leaders_in_two_minutes(seed: int, outage: float) -> None:
    w = RelayWorld(seed, txn_lost=0.1, mesh_lost=0.05, mesh_delay=0.5)
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
    assert w.told.pop("wk-000090") == "aborted" and set(w.told.values()) == {"done"}


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
def test_jobs_bound_to_a_zone_lose_machines(zone: str, changes: dict[str, Any]) -> None:
    w = RelayWorld(44, capacity=14)
    w.submit(ONE, run_s=12.0, cpus=4.0, **changes)
    w.submit(TWO, run_s=12.0, cpus=2.0, parcels=30)
    w.run(14)
    assert busy(w)
    held = {m.zone for m in busy(w) if any(k.startswith(ONE) for k in m.on())}
    for m in list(w.cloud.machines.values()):
        if m.zone in (zone or held):
            m.hangs_until = 1e9
    w.crash(w.leader)
    w.run(20)
    w.left_waiting_s = WAIT_S
    finish(w)
    assert set(w.told.values()) == {"done"}


def test_room_is_rented_in_the_zone_that_the_other_tasks_leave() -> None:
    """All idle machines stand in the other zone: by the sums there is enough."""
    w = World(45, capacity=12)
    w.submit(ONE, run_s=200.0, cpus=8.0, parcels=1, together=True, breeds=["small"])
    w.run(12)
    (held,) = busy(w)
    w.submit(TWO, run_s=200.0, cpus=8.0, parcels=2, together=True, breeds=["small"])
    w.run(12)
    c = leader(w)
    job = c.jobs.jobs[TWO]
    at = next(m for m in busy(w) if any(k.startswith(TWO) for k in m.on()))
    other = "b" if at.zone == "a" else "a"
    lost = next(m for m in busy(w) if m is not at and any(k.startswith(TWO) for k in m.on()))
    for m in list(w.cloud.machines.values()):
        if m.zone == at.zone and m is not at and m is not held:
            w.cloud.delete(b'{"wagons":["%s"]}' % m.id.encode())
    # What stands in the other zone is as much as is asked for.
    name = b'{"hire":"x","breed":"small","yard":"%s","loaners":false,"number":3}' % other.encode()
    assert lost.deleted and w.cloud.rent(name, w.now - 60.0)[0] == 200
    w.run(40)
    where = {w.cloud.machines[p.machine_id].zone for p in job.placements()}
    assert where == {at.zone} and job.unplaced_count == 0, "no room was rented where it may run"


# -- a leader ends while machines can't be reached, or don't hear the new one


@pytest.mark.parametrize("how", ["hang", "unresponsive", "unresponsive for good", "silent"])
def test_take_over_while_machines_are_out_of_reach(how: str) -> None:
    """Long tasks stay where they are as long as nothing disproves them; the unresponsive are
    replaced."""
    w = RelayWorld(46, capacity=5)
    w.submit(ONE, run_s=60.0, parcels=12)
    w.run(18)
    out = busy(w)[:2]
    names = {m.id for m in out}
    w.unresponsive = names if how.startswith("unresponsive") else set()
    w.silent = names if how == "silent" else set()
    for m in out:
        m.hangs_until = w.now + 7.0 if how == "hang" else -1.0
    w.crash(w.leader)
    w.run(7)
    if how == "unresponsive for good":
        w.run(60)
        assert all(m.deleted for m in out)
    else:
        w.unresponsive, w.silent = set(), set()
        assert not any(m.deleted for m in out)
    finish(w)
    if how == "hang":
        assert all(w.starts[key] == 1 for key in w.starts), "a task was moved for nothing"


# -- a zone is cut off with a controller


@pytest.mark.parametrize("leads", [True, False])
@pytest.mark.parametrize("cloud_down", [False, True])
def test_zone_cut_off_with_a_controller(leads: bool, cloud_down: bool) -> None:
    """For longer than a lease, and jobs are called off meanwhile. If the cloud is out, too, no
    machine can be deleted: only that the node inside lets go ends what was cancelled."""
    w = RelayWorld(47, capacity=8)
    w.submit(ONE, run_s=200.0, parcels=20)
    w.submit(TWO, run_s=30.0, parcels=20)
    w.run(18)
    node = w.leader if leads else next(i for i in range(w.nodes) if i != w.leader)
    w.shared_out = False
    w.cut, w.cut_zone = {node}, "a"
    for m in w.cloud.machines.values():
        if m.zone == "a":
            w.at[m.id] = node
    if cloud_down:
        w.cloud_down_until = w.now + 60.0
    w.run(3)
    if leads:
        w.elect()
    w.cancel(ONE)
    w.run(45)
    w.cut, w.cut_zone, w.shared_out = set(), None, True
    finish(w)
    assert w.told == {ONE: "aborted", TWO: "done"}


# -- controllers hand over and back, end, and return at once


@pytest.mark.parametrize("gap", [0.0, 0.4, 1.0, 14.0])
@pytest.mark.parametrize("seed", [1, 2])
def test_all_controllers_end_and_one_returns(gap: float, seed: int) -> None:
    """At once, and (14 s) after all leases have run out: what was on the machines has ended then,
    and only their own newer reports say so."""
    w = RelayWorld(seed, capacity=8, txn_twice=0.3, txn_lost=0.1, report_twice=0.3)
    submit_all(w)
    w.submit("wk-000090", run_s=300.0)
    w.run(14)
    w.cancel("wk-000090")
    w.run(1)
    ever = set(w.cloud.machines)
    w.asleep, w.unreachable_nodes = w.leader, set(range(w.nodes))
    w.run(gap)
    w.asleep, w.unreachable_nodes = None, set()
    for i in range(w.nodes):
        w.crash(i)
    w.unreachable_nodes = {i for i in range(w.nodes) if i != w.leader}  # the others come later
    w.run(4)
    w.unreachable_nodes = set()
    w.run(4)
    c = leader(w)
    assert not [n for n in ever & set(w.cloud.machines) if c.inventory.is_deleted(MachineId(n))]
    w.run(10)
    w.left_waiting_s = WAIT_S
    finish(w)
    w.run(35)
    assert w.told.pop("wk-000090", "aborted") == "aborted" and set(w.told.values()) == {"done"}


@pytest.mark.parametrize("late_s", [0.0, 0.5, 3.0])
def test_node_back_within_a_second_and_its_old_claim(late_s: float) -> None:
    """The claim of the earlier start is carried out after the return: under it nobody leads."""
    store = StoreSim()
    claim: bytes | None = None
    node, now = Election(NodeId("n0"), 2.0, 0.02, IncarnationId("old")), 0.0
    for incarnation in ("old", "new"):
        node = Election(NodeId("n0"), 2.0, 0.02, IncarnationId(incarnation))
        began = now
        while now < began + 8.0:
            now = round(now + 0.1, 3)
            at = MonotonicTime(now)
            if incarnation == "new" and claim is not None and now >= began + late_s:
                store.txn(claim)
                claim = None
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
                    claim = action.transaction.body()
                    break  # killed while it is under way
                status, answer = store.txn(action.transaction.body())
                node.on_campaign_result(
                    Revision(answer["ledgerRev"]) if status == 200 else None, at
                )
            if node.role is Role.LEADER:
                value, version, _ = store.keys["lead"]
                assert value["life"] == incarnation == "new" and node.token == version
                break
    assert node.role is Role.LEADER


# -- a transaction without an answer, carried out late


@pytest.mark.parametrize("seed", range(4))
def test_transactions_carried_out_late(seed: int) -> None:
    """A third of them, 2 to 12 s later, after newer ones of the same leader."""
    w = World(seed, capacity=5, txn_late=0.3)
    submit_all(w)
    w.submit("wk-000090", run_s=100.0)
    for i in range(40):
        w.run(1.0)
        w.check_kept()
        if i % 8 == 0:
            w.submit(f"wk-0001{i:02d}", run_s=3.0, parcels=5)
    w.cancel("wk-000090")
    finish(w)
    w.run(20)
    assert w.told.pop("wk-000090") == "aborted" and set(w.told.values()) == {"done"}
    assert not w.store.range("job/")


@pytest.mark.parametrize("what", ["an empty placement record", "a marker that nobody misses"])
@pytest.mark.parametrize("carried_out", [True, False])
def test_last_write_without_an_answer_stops_nothing(what: str, carried_out: bool) -> None:
    """There was nothing left to write, so nothing ever told that the store is back, and nothing
    was placed any more: the next job waited beside an idle fleet."""
    w = World(48)
    w.submit(ONE, run_s=3.0)
    if what != "an empty placement record":
        finish(w)
        w.run(5)
        w.store.txn(state.Transaction({}, [state.Put("gone/wk-000077", {"e": "done"})]).body())
        w.elect()
    c = leader(w)
    pending: PendingTransaction | None = None
    for _ in range(400):
        w.now += 0.1
        now = MonotonicTime(w.now)
        w.lead(c, now)
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
    w.told.update(c.take_finished_jobs())
    if carried_out:
        w.store.txn(pending.transaction.body())
    else:
        w.late.append((w.now + 5.0, pending.transaction.body()))
    c.on_transaction_result(
        pending, TransactionOutcome.INDETERMINATE, Revision(0), (), MonotonicTime(w.now)
    )
    w.run(8)
    w.submit(TWO, run_s=3.0)
    w.run(40)
    assert w.told[TWO] == "done"


# -- requests that meet the end of the last task


def last_task_done(w: World, job: str) -> Any:
    """The leader has just heard of it, and nothing is written yet."""
    c = leader(w)
    while not c.jobs.jobs[JobId(job)].is_complete:
        for body in [m for m in w.cloud.machines.values() if m.boots_at <= w.now]:
            w.serve_worker(c, body, MonotonicTime(w.now), 0.0)
            if c.jobs.jobs[JobId(job)].is_complete:
                return c
        w.step(0.1)
    return c


@pytest.mark.parametrize(
    ("moment", "asked", "cancelled", "end"),
    [
        ("running", JobStatus, LookupFailure.UNDECIDED, "aborted"),
        ("complete", JobStatus, LookupFailure.UNDECIDED, "done"),
        ("end sent", LookupFailure.UNDECIDED, LookupFailure.UNDECIDED, "done"),
        ("end unsure", LookupFailure.UNDECIDED, LookupFailure.UNDECIDED, "done"),
        ("end refused", JobStatus, LookupFailure.UNDECIDED, "done"),
        ("end durable", "done", "done", "done"),
    ],
)
def test_requests_meet_the_end(moment: str, asked: Any, cancelled: Any, end: str) -> None:
    """At each moment around a job's end: what a question and a cancellation get, and which end
    the user is told, once."""
    w = World(49, capacity=3)
    w.submit(ONE, run_s=3.0, parcels=2)
    if moment == "running":
        c = leader(w)
        while not busy(w):
            w.step(0.1)
    else:
        c = last_task_done(w, ONE)
    now = MonotonicTime(w.now)
    pending = None
    if moment.startswith("end"):
        pending = c.next_transaction(now, 20)
        assert pending is not None and pending.ends
    if pending is not None and moment == "end unsure":
        w.late.append((w.now + 3.0, pending.transaction.body()))
        c.on_transaction_result(pending, TransactionOutcome.INDETERMINATE, Revision(0), (), now)
    elif pending is not None and moment == "end refused":
        c.on_transaction_result(pending, TransactionOutcome.REJECTED, Revision(0), (), now)
    elif pending is not None and moment == "end durable":
        version = Revision(w.store.txn(pending.transaction.body())[1]["ledgerRev"])
        c.on_transaction_result(pending, TransactionOutcome.COMMITTED, version, (), now)
    state_now = c.job_status(ONE)
    if isinstance(asked, str):
        assert state_now is LookupFailure.UNKNOWN_JOB or state_now.state == asked
        # What ended is dropped at once; the node tells it from the ends it has just taken.
        assert c.take_finished_jobs() == [(ONE, asked)]
        w.tell(ONE, asked)
        assert c.cancel_job(ONE, now) in (cancelled, LookupFailure.UNKNOWN_JOB)
    elif asked is JobStatus:
        assert isinstance(state_now, JobStatus) and state_now.state in ("pending", "running")
        assert c.cancel_job(ONE, now) is cancelled
    else:
        assert state_now is asked
        assert c.cancel_job(ONE, now) is cancelled
    if pending is not None and moment == "end sent":
        version = Revision(w.store.txn(pending.transaction.body())[1]["ledgerRev"])
        c.on_transaction_result(pending, TransactionOutcome.COMMITTED, version, (), now)
    w.run(30)
    assert w.told == {ONE: end}
    assert w.store.keys[f"end/{ONE}"][0]["e"] == end


@pytest.mark.parametrize(
    ("meanwhile", "expected"), [("nothing", "pending"), ("told here", "done"), ("ended", "done")]
)
def test_repeated_submission_meets_the_end(meanwhile: str, expected: str) -> None:
    """The store's answer to it is on its way when the job ends, and this node tells so."""
    store = StoreSim()
    body = orjson.dumps(submission(ONE))
    held: list[Any] = []
    kinds = cloud.parse_catalog(CATALOG)

    def txn(sent: Any, done: Any) -> None:
        status, answer = store.txn(sent.body())
        failed = tuple(answer.get("failed", ()))
        held.append(lambda: done(status, Revision(answer["ledgerRev"]), failed))

    def get(key: str, done: Any) -> None:
        found = store.item(key)
        done(True, None if found is None else state.parse_item(orjson.dumps(found)))

    bucket = SimpleNamespace(
        available=lambda *_: 9, try_take=lambda *_: True, force_take=lambda *_: None
    )
    node: Any = SimpleNamespace(
        clock=lambda: MonotonicTime(0.0),
        loop_lag_s=0.0,
        machine_types=kinds,
        settings=World(0).settings,
        tuning=World(0).tuning,
        store=SimpleNamespace(commit=txn, get=get, writes=bucket, requests=bucket),
        leader_service=SimpleNamespace(
            scheduler=None, job_record_watch=SimpleNamespace(add_record=lambda _: None)
        ),
    )
    front = UserService(node)
    replies: list[tuple[int, Any]] = []

    def submit() -> None:
        request: Any = SimpleNamespace(
            body=lambda: body, reply=lambda status, data, *_: replies.append((status, data))
        )
        front._submit(request)

    submit()
    held.pop()()
    if meanwhile == "ended":
        store.txn(
            state.Transaction(
                {}, [state.Put(f"end/{ONE}", {"e": "done"}), state.DeleteKey(f"job/{ONE}")]
            ).body()
        )
    submit()
    if meanwhile == "told here":
        front.record_outcome(ONE, "done")
    held.pop()()
    assert [status for status, _ in replies] == [201, 200]
    assert orjson.loads(replies[1][1])["standing"] == expected


# -- reports held back, of earlier sessions and attempts


@pytest.mark.parametrize("first", [True, False])
def test_report_held_back_until_a_new_leader_acted(first: bool) -> None:
    """It lacks what the old leader launched since. As the `first` that the new one hears of the
    machine its epoch gives it away, later the machine's newer reports."""
    w = World(50, capacity=2)
    w.submit(ONE, run_s=60.0, parcels=4, cpus=4.0)
    w.run(8)
    m = next(m for m in w.cloud.machines.values() if m.boots_at <= w.now and not m.tasks)
    old = workers.parse_heartbeat(m.report())
    while not m.on():
        w.step(0.1)
    w.elect()
    if not first:
        w.run(4)
    c = leader(w)
    machine = c.inventory.get(MachineId(m.id))
    placed, heard = dict(machine.placements), machine.last_heartbeat_at
    assert placed
    assert not c.on_heartbeat(old, MonotonicTime(w.now))
    assert machine.placements == placed and machine.last_heartbeat_at == heard
    assert not any(p.phase is PlacementPhase.ENDED for p in placed.values())
    finish(w)
    assert all(n == 1 for n in w.starts.values())


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
def test_old_report_after_newer_ones(
    name: str, older: dict[str, int], attempt: int | None, standing: str | None, answer: str | None
) -> None:
    """Nothing moves, and nothing counts as done, by what an earlier session or attempt was."""
    w = World(51, capacity=1)
    w.submit(ONE, run_s=200.0, parcels=2, cpus=4.0)
    w.run(12)
    sim = busy(w)[0]
    sim.answered = -1e9  # its lease runs out: the next session begins, the tasks are started anew
    w.run(6)
    assert sim.agent_epoch == 2 and len(sim.on()) == 2
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


# -- more work than room


@pytest.mark.parametrize("seed", [1, 2])
def test_overload_over_slow_links(seed: int) -> None:
    w = RelayWorld(seed, capacity=3, mesh_delay=2.5, mesh_lost=0.05, answer_slow=0.1)
    w.left_waiting_s = WAIT_S
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
    assert set(w.told.values()) == {"done"}


@pytest.mark.parametrize(
    ("how", "within"),
    [
        ("a larger one waits", 70.0),
        ("kept", 70.0),
        ("kept from its like", 20.0),
        ("avoided", 70.0),
        ("quarantine", 110.0),
    ],
)
def test_nobody_waits_beside_room(how: str, within: float) -> None:
    """Room that is kept for others in vain (but not from one that lost work to the cloud, `kept
    from its like`), that the job itself avoids, or that a machine in quarantine has while long
    tasks keep it from being replaced."""
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
        w.run(2)  # until it is asked for
    elif how == "quarantine":
        c.cluster_state.cordon(m, "slow", MonotonicTime(w.now))
    # More than is written ahead of room, which would pass by what is kept.
    mine = {"run_s": 5.0, "parcels": 1, "cpus": 3.0, "urgency": "idle", "breeds": ["small"]}
    if how == "kept from its like":
        w.submit("wk-000000", **mine)
    w.submit(TWO, **mine)
    c.jobs.jobs[TWO].prefers_on_demand = how == "kept from its like"
    if how == "avoided":
        c.jobs.jobs[TWO].avoid_machine(m.id, MonotonicTime(w.now))
    w.left_waiting_s = WAIT_S
    w.run(within)
    assert w.starts[f"{TWO}/0"] == 1


# -- tasks that end far apart


@pytest.mark.parametrize("loss", [0.0, 0.3])
@pytest.mark.parametrize("tasks", [2, 3])
def test_tasks_end_far_apart_across_changes_of_leader(tasks: int, loss: float) -> None:
    """What is done stays known to its machine until the store knows it: no task runs again, and
    the job is done only when the last is."""
    w = RelayWorld(53, capacity=4, txn_lost=loss)
    w.submit(ONE, run_s=99.0, parcels=tasks, cpus=8.0, breeds=["small"])
    w.run(30)
    assert len(busy(w)) == tasks
    for i, m in enumerate(busy(w)):
        for task in m.tasks.values():
            task.left = 4.0 + 9.0 * i
    ends = [w.now + 4.0 + 9.0 * i for i in range(tasks)]
    for at in ends[:-1]:
        w.run(at + 1.5 - w.now)
        assert f"end/{ONE}" not in w.store.keys
        w.crash(w.leader)
    finish(w)
    assert w.told == {ONE: "done"} and w.now > ends[-1]
    assert dict(w.starts) == {f"{ONE}/{i}": 1 for i in range(tasks)}


# -- a command or its answer is held up, and the machine goes on


@pytest.mark.parametrize("seed", range(3))
def test_commands_held_up_for_seconds(seed: int) -> None:
    """For longer than the worker waits, or not; the machine hangs meanwhile, and jobs end, are
    called off and move."""
    w = RelayWorld(seed, capacity=5, answer_slow=0.25, mesh_delay=1.0, report_twice=0.1)
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
    assert {j for j, how in w.told.items() if how == "aborted"} == {"wk-000090", "wk-000091"}


@pytest.mark.parametrize(("cancel_at", "word_lost"), [(4.0, False), (9.0, False), (9.0, True)])
def test_machine_that_goes_on_while_its_deletion_waits(cancel_at: float, word_lost: bool) -> None:
    """It hung for a while and was given up; the cloud is out, so it stays. Its relay sees nothing
    new in its reports: unless it is told that the leader wants them, no kill ever goes out."""
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
    if word_lost:
        w.faults["mesh_lost"] = 1.0
        w.run(3)
        w.faults["mesh_lost"] = 0.0
    gone_within_cancel_s(w)


@pytest.mark.parametrize("seed", range(3))
def test_tasks_stay_where_a_deletion_was_asked_for(seed: int) -> None:
    """The machine hung and goes on before the cloud has answered; there is room elsewhere."""
    w = RelayWorld(seed, capacity=6)
    w.submit(ONE, run_s=60.0, parcels=8)
    w.submit(TWO, run_s=2.0, parcels=12)
    while TWO not in w.told:
        w.step(0.1)
    (hung, *_) = [m for m in busy(w) if any(k.startswith(ONE) for k in m.on())]
    w.cloud_down_until = w.now + 25.0
    hung.hangs_until = w.now + 8.5
    w.run(8)
    assert (
        leader(w).inventory.machines[MachineId(hung.id)].state is MachineState.DELETING
        and hung.on()
    )
    finish(w)
    assert w.told == {ONE: "done", TWO: "done"}


def test_cancelled_tasks_are_deleted_first() -> None:
    """A zone's machines are given up at once, more than a request takes."""
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
    call = c.next_cloud_request(now)
    assert isinstance(call, DeleteMachines) and call.machines[0] == m.id


# -- a team at its limit


@pytest.mark.parametrize("how", ["hang", "unresponsive", "silent"])
@pytest.mark.parametrize("seed", [1, 2])
def test_team_at_its_limit_when_the_leader_changes(how: str, seed: int) -> None:
    """Some of its machines can't be asked and its job is called off: all that may run there
    counts until it is disproved, so the next job gets only what the others set free."""
    limit = next(t for t in PLATFORM["settings"]["teams"] if t["name"] == "t1")["cpus_max"]
    w = RelayWorld(seed, capacity=10)
    w.submit(ONE, run_s=100.0, parcels=30, crew="t1")
    w.run(20)
    on = sum(len(m.on()) for m in w.cloud.machines.values())
    assert on * 2.0 == limit
    out = busy(w)[:2]
    names = {m.id for m in out}
    w.unresponsive = names if how == "unresponsive" else set()
    w.silent = names if how == "silent" else set()
    for m in out:
        m.hangs_until = w.now + 30.0 if how == "hang" else -1.0
    w.submit(TWO, run_s=5.0, parcels=30, crew="t1")
    w.crash(w.leader)
    w.run(1)
    w.cancel(ONE)
    w.run(8)
    w.crash(w.leader)
    w.run(25)
    w.unresponsive, w.silent = set(), set()
    w.left_waiting_s = WAIT_S
    finish(w)
    assert w.told == {ONE: "aborted", TWO: "done"}
