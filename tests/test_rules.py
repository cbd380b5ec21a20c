"""Rules of the scheduler under faults and overload, in the simulated world.

Every status query is answered, no job starves, an invalid or unreadable record of one job does not
block other jobs, and the resource sums stay exact.
"""

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
from test_scheduler_faults import finish, submit_all
from world import World

MAX_TIME_TO_STATUS_S = 75.0


# -- faults of the state store and of records


@pytest.mark.parametrize(
    ("name", "faults", "outage", "crashes"),
    [
        ("answers of the store lost", {"txn_lost": 0.3}, 0.0, 0),
        ("store down for longer than a lease", {}, 25.0, 0),
        ("leaders die while ends are written", {"txn_lost": 0.2}, 0.0, 5),
        ("both", {"txn_lost": 0.2}, 15.0, 3),
    ],
)
def test_every_job_has_a_status_soon_after_the_faults_end(
    name: str, faults: dict[str, Any], outage: float, crashes: int
) -> None:
    """Within 75 s after the faults end, each job has a status, or its end is in the store."""
    world = RelayWorld(3, **faults)
    submit_all(world)
    world.run(12)
    world.outage_until = world.now + outage
    world.run(outage)
    for _ in range(crashes):
        world.run(3)
        world.crash(world.leader)
    world.faults = {}
    world.run(20)
    end = world.now + MAX_TIME_TO_STATUS_S - 20
    unanswered = set(world.jobs)
    while unanswered and world.now < end:
        world.run(0.5)
        for job in list(unanswered):
            assert world.scheduler is not None
            status = world.scheduler.job_status(JobId(job))
            if isinstance(status, JobStatus):
                unanswered.discard(job)
            elif status is LookupFailure.STATE_UNKNOWN and f"end/{job}" in world.store.keys:
                unanswered.discard(job)  # a node reads the end from the store
    assert not unanswered, name


@pytest.mark.parametrize("in_shared_record", [False, True])
def test_invalid_transaction_is_split_until_the_invalid_job_is_isolated(
    in_shared_record: bool,
) -> None:
    """A write that the store rejects as malformed must not be retried with the writes of all other
    jobs for ever. The cause may be its size, its key or (`in_shared_record`) the job's part of a
    placement record that it shares with other jobs."""
    world = World(2)
    submit_all(world)
    world.submit("wk-000099")
    scheduler = world.scheduler
    assert scheduler is not None
    for _ in range(4000):
        world.now += 0.1
        now = MonotonicTime(world.now)
        world.run_leader_tick(scheduler, now)
        world.serve_cloud(scheduler, now)
        pending = scheduler.next_transaction(now, 20)
        if pending is not None:
            if any("wk-000099" in write.key for write in pending.transaction.operations) or (
                in_shared_record and b"wk-000099" in pending.transaction.body()
            ):
                scheduler.on_transaction_result(
                    pending, TransactionOutcome.INVALID, Revision(0), (), now
                )
            else:
                status, answer = world.store.txn(pending.transaction.body())
                assert status == 200
                scheduler.on_transaction_result(
                    pending, TransactionOutcome.COMMITTED, Revision(answer["ledgerRev"]), (), now
                )
        for machine in list(world.cloud.machines.values()):
            world.serve_worker(scheduler, machine, now, 0.1)
        world.check_placements_are_stored()
        if sum(f"end/{job}" in world.store.keys for job in world.jobs) == len(world.jobs) - 1:
            break
    assert {j for j in world.jobs if f"end/{j}" not in world.store.keys} == {"wk-000099"}
    assert isinstance(scheduler.job_status(JobId("wk-000099")), JobStatus), (
        "the job without a stored end has a status"
    )


def test_unreadable_record_does_not_block_other_jobs_after_failover() -> None:
    """It is unknown where tasks of the job with the unreadable record may run, so none of its tasks
    may start. Other jobs continue."""
    world = World(4)
    world.submit("wk-000001", run_s=30.0)
    world.submit("wk-000002", run_s=5.0)
    world.run(12)
    (chunk,) = world.stored_chunks("wk-000001")
    chunk |= {"a": "x", "d": [[0]], "r": None}
    world.elect()
    scheduler = world.scheduler
    assert scheduler is not None
    for _ in range(300):
        world.run(0.2)
        if "end/wk-000002" in world.store.keys:
            break
    assert "end/wk-000002" in world.store.keys
    status = scheduler.job_status(JobId("wk-000001"))
    assert isinstance(status, JobStatus) and status.state == "pending"
    assert not list(scheduler.jobs.jobs[JobId("wk-000001")].placements())


# -- placement records


def test_burst_of_small_jobs_takes_few_store_writes() -> None:
    """With one placement record for each job, the store's write limit left half of a large fleet
    idle while its placed tasks waited to be written."""
    world = World(31, capacity=30)
    world.run(10)
    writes = len(world.store.log)
    for i in range(60):
        world.submit(f"wk-{i:06d}", parcels=4, run_s=4.0, cpus=2.0)
        world.run(0.3)
    finish(world, 200.0)
    placement_records = {
        e["put"] for _, e in world.store.log if "put" in e and e["put"].startswith("place/")
    }
    assert len(placement_records) < 15
    # Each job takes three writes: its acceptance, its end and its cleanup. With one placement
    # record for each job, there were 372 writes in all.
    assert len(world.store.log) - writes < 60 * 5


@pytest.mark.parametrize("late_copy", [False, True])
def test_part_in_two_placement_records_is_read_from_the_one_with_the_higher_attempt(
    late_copy: bool,
) -> None:
    """The leader split a placement record and failed before it rewrote the old one. With
    `late_copy`, a late copy of a transaction wrote the old record again, so that it has the higher
    version."""
    world = World(32)
    for i in (1, 2):
        world.submit(f"wk-00000{i}", parcels=3, run_s=100.0)
    world.run(14)
    (old,) = world.store.range("place/")
    assert len(old["v"]["p"]) == 2
    moved = orjson.loads(orjson.dumps(old["v"]["p"][0]))
    moved[2]["a"] += 7
    moved[2]["r"][0][1] = moved[2]["a"]
    world.store.revision += 1
    world.store.keys["place/moved"] = ({"p": [moved]}, world.store.revision, None)
    if late_copy:
        world.store.revision += 1
        world.store.keys[old["path"]] = (old["v"], world.store.revision, None)
    world.elect()
    scheduler = world.scheduler
    assert scheduler is not None
    job = scheduler.jobs.jobs[JobId(moved[0])]
    assert job.chunks[0].highest_attempt == moved[2]["a"]
    assert sorted(placement.attempt for placement in job.placements()) == sorted(
        r[1] for r in moved[2]["r"]
    )
    assert len(list(job.placements())) == 3 and len(scheduler.inventory.machines) > 0


def test_split_placement_record_stays_until_all_its_parts_are_written() -> None:
    """Parts of the record that have not changed must be rewritten too. Otherwise they would be lost
    when the old placement record is deleted."""
    world = World(34)
    for i in (1, 2, 3):
        world.submit(f"wk-00000{i}", parcels=2, run_s=300.0)
    world.run(16)
    scheduler = world.scheduler
    assert scheduler is not None and len(world.store.range("place/")) == 1
    job = scheduler.jobs.jobs[JobId("wk-000001")]
    scheduler.jobs.mark_dirty(job, job.chunks[0], MonotonicTime(world.now), is_urgent=True)
    scheduler.cluster_state.dirty_jobs[job.id] = job
    refused = scheduler.next_transaction(MonotonicTime(world.now), 20)
    assert refused is not None and len(refused.split_units) == 1
    scheduler.on_transaction_result(
        refused, TransactionOutcome.INVALID, Revision(0), (), MonotonicTime(world.now)
    )
    for _ in range(50):
        world.run(0.1)
        world.check_placements_are_stored()
    assert len(world.store.range("place/")) == 3
    world.elect()
    world.check_placements_are_stored()


def test_placement_records_of_releases_before_0_2_are_read() -> None:
    """These releases stored each chunk of a job in a placement record of its own."""
    world = World(33)
    world.submit("wk-000001", parcels=3, run_s=20.0)
    world.run(12)
    (placement_record,) = world.store.range("place/")
    part = placement_record["v"]["p"][0]
    del world.store.keys[placement_record["path"]]
    world.store.revision += 1
    world.store.keys["place/wk-000001/00000"] = (part[2], world.store.revision, None)
    world.elect()
    scheduler = world.scheduler
    assert scheduler is not None
    assert len(list(scheduler.jobs.jobs[JobId("wk-000001")].placements())) == len(part[2]["r"]) > 0
    finish(world)
    world.run(5)
    assert not world.store.range("place/")


# -- starvation


@pytest.mark.parametrize("largest", [{"crew": "t1"}, {"urgency": "idle"}, {"lot": "quick"}])
def test_largest_job_starts_under_sustained_overload(largest: dict[str, Any]) -> None:
    """The load is four times the capacity of the fleet, for minutes. The queue order alone would
    defer the largest job, and a job of the lowest priority, for as long as the overload lasts."""
    world = World(21, capacity=2, tuning={"starve_s": 30.0, "starve_below_s": 40.0})
    # The first jobs fill the machines; later jobs find no free capacity.
    number = 0

    def submit_small_job() -> None:
        nonlocal number
        number += 1
        urgency = "urgent" if number % 2 else "standard"
        world.submit(f"wk-{number:06d}", parcels=4, run_s=5.0, dueS=60.0, urgency=urgency)

    for _ in range(10):
        submit_small_job()
    world.run(10)
    world.submit("wk-900000", **({"parcels": 40, "run_s": 5.0, "dueS": 90.0} | largest))
    submitted_at = world.now
    while not any(key.startswith("wk-900000/") for key, _, _ in world.started_attempts):
        assert world.now - submitted_at < 75.0, "the largest job starves"
        submit_small_job()
        world.run(1.0)
    for _ in range(5):
        submit_small_job()
        world.run(1.0)
    finish(world, 900.0)
    assert set(world.reported_outcomes.values()) == {"done"}


def test_ageing_delays_short_jobs_little() -> None:
    """Runs the same overload with and without ageing. With ageing, short jobs take on average less
    than 2 s longer."""
    mean_durations_s: list[float] = []
    for starve_s in (50.0, 10_000.0):
        world = World(22, capacity=2, tuning={"starve_s": starve_s, "starve_below_s": starve_s})
        world.submit("wk-900000", parcels=60, run_s=5.0, urgency="idle")
        submission_times: dict[str, float] = {}
        durations_s: list[float] = []
        for i in range(60):
            if i % 3 == 0:
                job = f"wk-{i:06d}"
                world.submit(job, parcels=6, run_s=5.0, urgency="urgent")
                submission_times[job] = world.now
            world.run(1.0)
        finish(world, 600.0)
        scheduler = world.scheduler
        assert scheduler is not None
        durations_s = [world.ended_at[job] - at for job, at in submission_times.items()]
        mean_durations_s.append(sum(durations_s) / len(durations_s))
    assert mean_durations_s[0] < mean_durations_s[1] + 2.0


# -- resource sums of the inventory


def recomputed_sums(inventory: MachineInventory) -> dict[str, Any]:
    sums: dict[str, Any] = {"used": {}, "teams": {}, "on_demand_only": 0.0, "machines": {}}
    for machine in inventory.machines.values():
        live_placements = [
            placement
            for placement in machine.placements.values()
            if placement.phase is not PlacementPhase.ENDED
        ]
        for placement in live_placements:
            spec = placement.job.spec
            sums["used"][spec.priority] = sums["used"].get(spec.priority, 0.0) + spec.cpus
            sums["teams"][spec.team] = sums["teams"].get(spec.team, 0.0) + spec.cpus
            if not spec.allows_spot and not machine.is_spot:
                sums["on_demand_only"] += spec.cpus
        by_priority: dict[int, float] = {}
        for placement in live_placements:
            if not placement.is_terminating:
                by_priority[placement.job.spec.priority] = (
                    by_priority.get(placement.job.spec.priority, 0.0) + placement.job.spec.cpus
                )
        sums["machines"][machine.id] = (
            len(live_placements),
            machine.type.cpus - sum(placement.job.spec.cpus for placement in live_placements),
            machine.type.memory_gb
            - sum(placement.job.spec.memory_gb for placement in live_placements),
            sum(
                placement.job.spec.cpus for placement in live_placements if placement.is_terminating
            ),
            sum(placement.job.spec.cpus for placement in machine.prelaunch_queue.values()),
            by_priority,
        )
    return sums


def maintained_sums(inventory: MachineInventory) -> dict[str, Any]:
    return {
        "used": inventory.cpus_by_priority,
        "teams": inventory.cpus_by_team,
        "on_demand_only": inventory.on_demand_only_cpus,
        "machines": {
            machine.id: (
                machine.live_task_count,
                machine.free_cpus,
                machine.free_memory_gb,
                machine.terminating_cpus,
                machine.prelaunch_cpus,
                machine.cpus_by_priority,
            )
            for machine in inventory.machines.values()
        },
    }


def are_close(a: Any, b: Any) -> bool:
    if isinstance(a, dict):
        return all(are_close(a.get(k, 0.0), b.get(k, 0.0)) for k in a.keys() | b.keys())
    if isinstance(a, tuple):
        return len(a) == len(b) and all(are_close(x, y) for x, y in zip(a, b, strict=True))
    return abs(a - b) < 1e-6


@pytest.mark.parametrize("seed", range(5))
def test_maintained_resource_sums_equal_recomputed_sums(seed: int) -> None:
    """The history has lost and repeated messages, cancellations, spot notices and changes of
    leader."""
    world = RelayWorld(seed, capacity=4, txn_lost=0.1, answer_lost=0.1, report_twice=0.2)
    rng = random.Random(seed)
    submit_all(world)
    for i in range(60):
        if rng.random() < 0.3:
            world.submit(
                f"wk-9{i:05d}",
                parcels=rng.randrange(1, 20),
                cpus=rng.choice([1.0, 2.0, 4.0]),
                urgency=rng.choice(["urgent", "standard", "idle"]),
                crew=rng.choice(["t1", "t2"]),
                loaners=rng.random() < 0.7,
            )
        if rng.random() < 0.1:
            world.cancel(rng.choice(list(world.jobs)))
        if rng.random() < 0.05:
            world.crash(world.leader)
        if rng.random() < 0.1 and world.cloud.machines:
            rng.choice(list(world.cloud.machines.values())).preemption_notice_s = 8.0
        world.run(1.0)
        scheduler = world.scheduler
        assert scheduler is not None
        assert are_close(maintained_sums(scheduler.inventory), recomputed_sums(scheduler.inventory))
        assert set(scheduler.inventory.machines_with_prelaunch_queue) == {
            machine.id
            for machine in scheduler.inventory.machines.values()
            if machine.prelaunch_queue
        }


def test_changed_machine_description_updates_the_resource_sums() -> None:
    """A machine that is known by its id alone becomes an on-demand machine with its first
    heartbeat."""
    world = World(6)
    world.submit("wk-000001", run_s=60.0, loaners=False)
    world.run(14)
    world.elect()
    scheduler = world.scheduler
    assert scheduler is not None and scheduler.inventory.on_demand_only_cpus == 0.0
    world.run(3)
    assert scheduler.inventory.on_demand_only_cpus == 12.0
    machine_type = next(iter(cloud.parse_catalog(orjson.loads(orjson.dumps(CATALOG))).values()))
    machine = next(
        machine
        for machine in scheduler.inventory.machines.values()
        if machine.live_task_count and machine.state is MachineState.UP
    )
    scheduler.inventory.update_description(machine, machine_type, machine.zone, True)
    assert are_close(maintained_sums(scheduler.inventory), recomputed_sums(scheduler.inventory))
