"""The added rules in the simulated world: every question is answered, nobody starves, and one job's
trouble holds back no other."""

import random
from typing import Any

import orjson
import pytest

from eldercart.cluster.inventory import MachineInventory, MachineState
from eldercart.jobs.job import PlacementPhase
from eldercart.scheduling.scheduler import JobStatus, LookupFailure, TransactionOutcome
from eldercart.units import JobId, MonotonicTime, Revision
from eldercart.wire import cloud
from relay_world import RelayWorld
from simulators import CATALOG
from test_core import finish, submit_all
from world import World

ANSWER_S = 75.0


# -- every question is answered


@pytest.mark.parametrize(
    ("name", "faults", "outage", "crashes"),
    [
        ("answers of the store lost", {"txn_lost": 0.3}, 0.0, 0),
        ("store down for longer than a lease", {}, 25.0, 0),
        ("leaders die while ends are written", {"txn_lost": 0.2}, 0.0, 5),
        ("both", {"txn_lost": 0.2}, 15.0, 3),
    ],
)
def test_every_job_is_answered_after_the_trouble(
    name: str, faults: dict[str, Any], outage: float, crashes: int
) -> None:
    """Within 75 s after it, at the latest, each job is told a state; ends as the store has them."""
    w = RelayWorld(3, **faults)
    submit_all(w)
    w.run(12)
    w.outage_until = w.now + outage
    w.run(outage)
    for _ in range(crashes):
        w.run(3)
        w.crash(w.leader)
    w.faults = {}
    w.run(20)
    end = w.now + ANSWER_S - 20
    unanswered = set(w.jobs)
    while unanswered and w.now < end:
        w.run(0.5)
        for job in list(unanswered):
            assert w.scheduler is not None
            status = w.scheduler.job_status(JobId(job))
            if isinstance(status, JobStatus):
                unanswered.discard(job)
            elif status is LookupFailure.UNKNOWN_JOB and f"end/{job}" in w.store.keys:
                unanswered.discard(job)  # a fresh read tells it
    assert not unanswered, name


@pytest.mark.parametrize("sections", [False, True])
def test_refused_transaction_is_cut_until_the_job_at_fault_stands_alone(sections: bool) -> None:
    """A record that the store calls malformed, for its size, its key or (`sections`) what it
    says of that job on a placement record with others, must not be repeated with all others for
    ever."""
    w = World(2)
    submit_all(w)
    w.submit("wk-000099")
    c = w.scheduler
    assert c is not None
    for _ in range(4000):
        w.now += 0.1
        now = MonotonicTime(w.now)
        w.lead(c, now)
        w.serve_cloud(c, now)
        pending = c.next_transaction(now, 20)
        if pending is not None:
            if any("wk-000099" in write.key for write in pending.transaction.operations) or (
                sections and b"wk-000099" in pending.transaction.body()
            ):
                c.on_transaction_result(pending, TransactionOutcome.INVALID, Revision(0), (), now)
            else:
                status, answer = w.store.txn(pending.transaction.body())
                assert status == 200
                c.on_transaction_result(
                    pending, TransactionOutcome.COMMITTED, Revision(answer["ledgerRev"]), (), now
                )
        for m in list(w.cloud.machines.values()):
            w.serve_worker(c, m, now, 0.1)
        w.check_kept()
        if sum(f"end/{job}" in w.store.keys for job in w.jobs) == len(w.jobs) - 1:
            break
    assert {j for j in w.jobs if f"end/{j}" not in w.store.keys} == {"wk-000099"}
    assert isinstance(c.job_status(JobId("wk-000099")), JobStatus), "it stays known"


def test_unreadable_record_does_not_stop_a_takeover() -> None:
    """Where that job's tasks may be is not known: none may start. The others go on."""
    w = World(4)
    w.submit("wk-000001", run_s=30.0)
    w.submit("wk-000002", run_s=5.0)
    w.run(12)
    (part,) = w.parts("wk-000001")
    part |= {"a": "x", "d": [[0]], "r": None}
    w.elect()
    c = w.scheduler
    assert c is not None
    for _ in range(300):
        w.run(0.2)
        if "end/wk-000002" in w.store.keys:
            break
    assert "end/wk-000002" in w.store.keys
    status = c.job_status(JobId("wk-000001"))
    assert isinstance(status, JobStatus) and status.state == "pending"
    assert not list(c.jobs.jobs[JobId("wk-000001")].placements())


# -- placement records


def test_burst_of_small_jobs_takes_few_changes() -> None:
    """With a record for each job the store's limit left half of a large fleet idle, its tasks
    placed and waiting to be written."""
    w = World(31, capacity=30)
    w.run(10)
    writes = len(w.store.log)
    for i in range(60):
        w.submit(f"wk-{i:06d}", parcels=4, run_s=4.0, cpus=2.0)
        w.run(0.3)
    finish(w, 200.0)
    placement_records = {
        e["put"] for _, e in w.store.log if "put" in e and e["put"].startswith("place/")
    }
    assert len(placement_records) < 15
    # Accepted, ended and cleaned up takes three each; a record for each job took 372 in all.
    assert len(w.store.log) - writes < 60 * 5


@pytest.mark.parametrize("copy", [False, True])
def test_part_that_is_in_two_placement_records_counts_as_the_newer_has_it(copy: bool) -> None:
    """A placement record was split, and the leader died before the old one was written again; or a
    late copy made the old one again, and now it has the higher version."""
    w = World(32)
    for i in (1, 2):
        w.submit(f"wk-00000{i}", parcels=3, run_s=100.0)
    w.run(14)
    (old,) = w.store.range("place/")
    assert len(old["v"]["p"]) == 2
    moved = orjson.loads(orjson.dumps(old["v"]["p"][0]))
    moved[2]["a"] += 7
    moved[2]["r"][0][1] = moved[2]["a"]
    w.store.revision += 1
    w.store.keys["place/moved"] = ({"p": [moved]}, w.store.revision, None)
    if copy:
        w.store.revision += 1
        w.store.keys[old["path"]] = (old["v"], w.store.revision, None)
    w.elect()
    c = w.scheduler
    assert c is not None
    job = c.jobs.jobs[JobId(moved[0])]
    assert job.chunks[0].highest_attempt == moved[2]["a"]
    assert sorted(p.attempt for p in job.placements()) == sorted(r[1] for r in moved[2]["r"])
    assert len(list(job.placements())) == 3 and len(c.inventory.machines) > 0


def test_split_placement_record_stays_until_all_its_parts_are_written() -> None:
    """What had not changed on it must be written anew too, or it would go with the old placement
    record."""
    w = World(34)
    for i in (1, 2, 3):
        w.submit(f"wk-00000{i}", parcels=2, run_s=300.0)
    w.run(16)
    c = w.scheduler
    assert c is not None and len(w.store.range("place/")) == 1
    job = c.jobs.jobs[JobId("wk-000001")]
    c.jobs.mark_dirty(job, job.chunks[0], MonotonicTime(w.now), is_urgent=True)
    c.cluster_state.dirty_jobs[job.id] = job
    refused = c.next_transaction(MonotonicTime(w.now), 20)
    assert refused is not None and len(refused.split_units) == 1
    c.on_transaction_result(
        refused, TransactionOutcome.INVALID, Revision(0), (), MonotonicTime(w.now)
    )
    for _ in range(50):
        w.run(0.1)
        w.check_kept()
    assert len(w.store.range("place/")) == 3
    w.elect()
    w.check_kept()


def test_records_of_the_release_before_are_read() -> None:
    w = World(33)
    w.submit("wk-000001", parcels=3, run_s=20.0)
    w.run(12)
    (placement_record,) = w.store.range("place/")
    part = placement_record["v"]["p"][0]
    del w.store.keys[placement_record["path"]]
    w.store.revision += 1
    w.store.keys["place/wk-000001/00000"] = (part[2], w.store.revision, None)
    w.elect()
    c = w.scheduler
    assert c is not None
    assert len(list(c.jobs.jobs[JobId("wk-000001")].placements())) == len(part[2]["r"]) > 0
    finish(w)
    w.run(5)
    assert not w.store.range("place/")


# -- nobody starves


@pytest.mark.parametrize("largest", [{"crew": "t1"}, {"urgency": "idle"}, {"lot": "quick"}])
def test_largest_jobs_begin_under_a_lasting_overload(largest: dict[str, Any]) -> None:
    """Four times what the fleet can do, for minutes. Order alone would defer the largest, and
    the lowest priority behind all else, for as long as that lasts."""
    w = World(21, capacity=2, tuning={"starve_s": 30.0, "starve_below_s": 40.0})
    # The first jobs fill the machines; what arrives later finds no room.
    number = 0

    def small() -> None:
        nonlocal number
        number += 1
        urgency = "urgent" if number % 2 else "standard"
        w.submit(f"wk-{number:06d}", parcels=4, run_s=5.0, dueS=60.0, urgency=urgency)

    for _ in range(10):
        small()
    w.run(10)
    w.submit("wk-900000", **({"parcels": 40, "run_s": 5.0, "dueS": 90.0} | largest))
    began = w.now
    while not any(key.startswith("wk-900000/") for key, _, _ in w.started):
        assert w.now - began < 75.0, "the largest job starves"
        small()
        w.run(1.0)
    for _ in range(5):
        small()
        w.run(1.0)
    finish(w, 900.0)
    assert set(w.told.values()) == {"done"}


def test_ageing_costs_short_jobs_little() -> None:
    """Twice the same overload: with ageing the short ones end hardly later."""
    ended: list[float] = []
    for starve in (50.0, 10_000.0):
        w = World(22, capacity=2, tuning={"starve_s": starve, "starve_below_s": starve})
        w.submit("wk-900000", parcels=60, run_s=5.0, urgency="idle")
        arrived: dict[str, float] = {}
        took: list[float] = []
        for i in range(60):
            if i % 3 == 0:
                job = f"wk-{i:06d}"
                w.submit(job, parcels=6, run_s=5.0, urgency="urgent")
                arrived[job] = w.now
            w.run(1.0)
        finish(w, 600.0)
        c = w.scheduler
        assert c is not None
        took = [w.ended_at[job] - at for job, at in arrived.items()]
        ended.append(sum(took) / len(took))
    assert ended[0] < ended[1] + 2.0


# -- the sums that are kept


def recompute(fleet: MachineInventory) -> dict[str, Any]:
    sums: dict[str, Any] = {"used": {}, "teams": {}, "ordinary": 0.0, "machines": {}}
    for m in fleet.machines.values():
        live = [p for p in m.placements.values() if p.phase is not PlacementPhase.ENDED]
        for p in live:
            spec = p.job.spec
            sums["used"][spec.priority] = sums["used"].get(spec.priority, 0.0) + spec.cpus
            sums["teams"][spec.team] = sums["teams"].get(spec.team, 0.0) + spec.cpus
            if not spec.allows_spot and not m.is_spot:
                sums["ordinary"] += spec.cpus
        by: dict[int, float] = {}
        for p in live:
            if not p.is_terminating:
                by[p.job.spec.priority] = by.get(p.job.spec.priority, 0.0) + p.job.spec.cpus
        sums["machines"][m.id] = (
            len(live),
            m.type.cpus - sum(p.job.spec.cpus for p in live),
            m.type.memory_gb - sum(p.job.spec.memory_gb for p in live),
            sum(p.job.spec.cpus for p in live if p.is_terminating),
            sum(p.job.spec.cpus for p in m.prelaunch_queue.values()),
            by,
        )
    return sums


def kept(fleet: MachineInventory) -> dict[str, Any]:
    return {
        "used": fleet.cpus_by_priority,
        "teams": fleet.cpus_by_team,
        "ordinary": fleet.on_demand_only_cpus,
        "machines": {
            m.id: (
                m.live_task_count,
                m.free_cpus,
                m.free_memory_gb,
                m.terminating_cpus,
                m.prelaunch_cpus,
                m.cpus_by_priority,
            )
            for m in fleet.machines.values()
        },
    }


def same(a: Any, b: Any) -> bool:
    if isinstance(a, dict):
        return all(same(a.get(k, 0.0), b.get(k, 0.0)) for k in a.keys() | b.keys())
    if isinstance(a, tuple):
        return len(a) == len(b) and all(same(x, y) for x, y in zip(a, b, strict=True))
    return abs(a - b) < 1e-6


@pytest.mark.parametrize("seed", range(5))
def test_kept_sums_equal_recomputed_ones(seed: int) -> None:
    """Over a history with every kind of trouble, and changes of leader in between."""
    w = RelayWorld(seed, capacity=4, txn_lost=0.1, answer_lost=0.1, report_twice=0.2)
    rng = random.Random(seed)
    submit_all(w)
    for i in range(60):
        if rng.random() < 0.3:
            w.submit(
                f"wk-9{i:05d}",
                parcels=rng.randrange(1, 20),
                cpus=rng.choice([1.0, 2.0, 4.0]),
                urgency=rng.choice(["urgent", "standard", "idle"]),
                crew=rng.choice(["t1", "t2"]),
                loaners=rng.random() < 0.7,
            )
        if rng.random() < 0.1:
            w.cancel(rng.choice(list(w.jobs)))
        if rng.random() < 0.05:
            w.crash(w.leader)
        if rng.random() < 0.1 and w.cloud.machines:
            rng.choice(list(w.cloud.machines.values())).notice = 8.0
        w.run(1.0)
        c = w.scheduler
        assert c is not None
        assert same(kept(c.inventory), recompute(c.inventory))
        assert set(c.inventory.machines_with_prelaunch_queue) == {
            m.id for m in c.inventory.machines.values() if m.prelaunch_queue
        }


def test_description_that_changes_keeps_the_sums() -> None:
    """A machine known by name alone becomes an ordinary one with its first report."""
    w = World(6)
    w.submit("wk-000001", run_s=60.0, loaners=False)
    w.run(14)
    w.elect()
    c = w.scheduler
    assert c is not None and c.inventory.on_demand_only_cpus == 0.0
    w.run(3)
    assert c.inventory.on_demand_only_cpus == 12.0
    kind = next(iter(cloud.parse_catalog(orjson.loads(orjson.dumps(CATALOG))).values()))
    m = next(
        m for m in c.inventory.machines.values() if m.live_task_count and m.state is MachineState.UP
    )
    c.inventory.update_description(m, kind, m.zone, True)
    assert same(kept(c.inventory), recompute(c.inventory))
