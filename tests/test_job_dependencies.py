"""Jobs with dependencies: readiness, cancellation downstream and order, also under faults."""

import random
from types import SimpleNamespace
from typing import Any, cast

import pytest

from eldercart.cluster.inventory import MachineInventory
from eldercart.jobs.dependency_graph import DependencyGraph
from eldercart.jobs.job import EndWrite, Job
from eldercart.jobs.registry import JobRegistry
from eldercart.scheduling.objectives import ServiceLevelObjectives
from eldercart.scheduling.planning_pass import PlanningPass
from eldercart.scheduling.preemption import select_victims
from eldercart.scheduling.queue_order import QueueOrderContext, order_jobs
from eldercart.scheduling.scheduler import JobStatus, LookupFailure, TransactionOutcome
from eldercart.server.leadership.user_answers import UserAnswers
from eldercart.units import DISTANT_FUTURE, JobId, MonotonicTime, Revision
from eldercart.wire import peers, users
from eldercart.wire.state import DeleteKey
from test_scheduler_faults import finish
from test_user_requests import UserServiceFixture, job_names
from world import World, submission


class GraphHarness:
    """A dependency graph with its job registry; jobs are named without the prefix `wk-`."""

    def __init__(self) -> None:
        self.registry = JobRegistry()
        self.graph = DependencyGraph(
            self.registry,
            lambda job: job.spec.estimated_run_time_s,
            lambda job: MonotonicTime(job.submitted_at + (job.spec.deadline_s or DISTANT_FUTURE)),
        )
        self.now = 0.0
        self.ready: list[str] = []
        self.upstream_cancelled: list[str] = []

    def record_effect(self, effect: Any) -> None:
        self.ready += [j.id[3:] for j in effect.ready]
        self.upstream_cancelled += [j.id[3:] for j in effect.upstream_cancelled]

    def add(self, name: str, *awaits: str, **changes: Any) -> Job:
        body = submission(f"wk-{name}", awaits=[f"wk-{a}" for a in awaits], **changes)
        job = self.registry.add(users.parse_submission(body), 50, MonotonicTime(self.now))
        self.record_effect(self.graph.add(job, MonotonicTime(self.now)))
        return job

    def end(self, name: str, outcome: str = users.DONE) -> None:
        job = self.registry.get(JobId(f"wk-{name}"))
        if job is not None:
            job.outcome = outcome
        self.record_effect(
            self.graph.on_job_ended(JobId(f"wk-{name}"), outcome, MonotonicTime(self.now))
        )
        if job is not None:
            self.registry.remove(job)

    def take_due_lookups(self) -> set[str]:
        return {j[3:] for j in self.graph.take_due_end_lookups(MonotonicTime(self.now), 10**6)}


STEPS: list[tuple[str, list[tuple[str, ...]], str, str]] = [
    ("no dependency", [("add", "a")], "a", ""),
    ("waits", [("add", "a"), ("add", "b", "a")], "a", ""),
    ("done in turn", [("add", "a"), ("add", "b", "a"), ("done", "a")], "a b", ""),
    (
        "all of several",
        [("add", "a"), ("add", "b"), ("add", "c", "a", "b"), ("done", "a")],
        "a b",
        "",
    ),
    (
        "the last of several",
        [("add", "a"), ("add", "b"), ("add", "c", "a", "b"), ("done", "b"), ("done", "a")],
        "a b c",
        "",
    ),
    ("cancelled", [("add", "a"), ("add", "b", "a"), ("aborted", "a")], "a", "b"),
    (
        "cancelled through others",
        [
            ("add", "a"),
            ("add", "b", "a"),
            ("add", "c", "b"),
            ("add", "d", "c", "a"),
            ("aborted", "a"),
        ],
        "a",
        "b c d",
    ),
    (
        "one of two, the other done",
        [("add", "a"), ("add", "b"), ("add", "c", "a", "b"), ("done", "a"), ("aborted", "b")],
        "a b",
        "c",
    ),
    (
        "both done",
        [("add", "a"), ("add", "b", "a"), ("done", "a"), ("done", "b")],
        "a b",
        "",
    ),
    (
        "submitted after the cancellation",
        [("aborted", "a"), ("add", "b", "a"), ("aborted", "a")],
        "",
        "b",
    ),
    (
        "awaits a job that is cancelled upstream",
        [("add", "a"), ("add", "b", "a"), ("aborted", "a"), ("add", "c", "b")],
        "a",
        "b c",
    ),
    ("an end read later", [("add", "b", "a"), ("done", "a")], "b", ""),
    (
        "a cancellation read later",
        [("add", "c", "b"), ("add", "b", "a"), ("aborted", "a")],
        "",
        "b c",
    ),
    (
        "end reported twice",
        [("add", "a"), ("add", "b", "a"), ("done", "a"), ("done", "a")],
        "a b",
        "",
    ),
]


@pytest.mark.parametrize(
    ("name", "steps", "ready", "upstream_cancelled"), STEPS, ids=[s[0] for s in STEPS]
)
def test_readiness(
    name: str, steps: list[tuple[str, ...]], ready: str, upstream_cancelled: str
) -> None:
    harness = GraphHarness()
    for action, job, *awaits in steps:
        if action == "add":
            harness.add(job, *awaits)
        else:
            harness.end(job, action)
    assert (
        harness.ready == ready.split()
        and sorted(harness.upstream_cancelled) == upstream_cancelled.split()
    ), name


def test_unknown_dependency_is_looked_up_until_its_end_is_found() -> None:
    harness = GraphHarness()
    harness.add("b", "a", "x")
    assert harness.take_due_lookups() == {"a", "x"}
    assert harness.take_due_lookups() == set(), "in flight"
    harness.graph.on_end_not_found(JobId("wk-a"), MonotonicTime(harness.now))
    harness.now = 0.6
    assert harness.take_due_lookups() == {"a"}, "looked up again after no end was found"
    harness.add("a")
    harness.now = 20.0
    assert harness.take_due_lookups() == {"x"}, "a has not ended: its end needs no lookup"
    harness.end("b", users.CANCELLED)
    harness.now = 40.0
    assert harness.take_due_lookups() == set(), "no job waits for x any more"


def test_deep_chain_and_wide_fan_out_are_resolved_without_recursion() -> None:
    """Guards against recursion over the depth, and against visiting all jobs when one ends."""
    harness = GraphHarness()
    job_count = 5000
    harness.add("0")
    for i in range(1, job_count):
        harness.add(str(i), str(i - 1))
    harness.end("0", users.CANCELLED)
    assert len(harness.upstream_cancelled) == job_count - 1
    harness = GraphHarness()
    harness.add("root")
    for i in range(job_count):
        harness.add(f"m{i}", "root")
    harness.add("last", *(f"m{i}" for i in range(job_count)))
    harness.end("root")
    for i in range(job_count):
        harness.end(f"m{i}")
    assert harness.ready[-1] == "last" and len(harness.ready) == job_count + 2


def test_job_inherits_priority_and_deadline_of_its_dependents() -> None:
    harness = GraphHarness()
    a = harness.add("a", urgency="idle", haulS=10.0)
    b = harness.add("b", "a", urgency="idle", haulS=20.0)
    other = harness.add("other", urgency="idle")
    assert a.priority == b.priority == 0 and a.inherited_deadline_at == DISTANT_FUTURE
    harness.add("c", "b", urgency="urgent", haulS=5.0, dueS=100.0)
    assert (a.priority, b.priority, other.priority) == (2, 2, 0)
    assert (b.inherited_deadline_at, a.inherited_deadline_at) == (95.0, 75.0), (
        "reduced by the longest path downstream"
    )
    harness.add("d", "a", urgency="standard", haulS=40.0, dueS=100.0)
    assert (a.inherited_deadline_at, b.inherited_deadline_at) == (60.0, 95.0)
    harness.end("c", users.CANCELLED)
    assert (a.priority, b.priority, a.inherited_deadline_at, b.inherited_deadline_at) == (
        1,
        0,
        60.0,
        DISTANT_FUTURE,
    )
    harness.end("d", users.CANCELLED)
    assert (a.priority, a.inherited_deadline_at) == (0, DISTANT_FUTURE)


def test_upstream_cancelled_job_no_longer_raises_its_other_dependencies() -> None:
    """`DependencyGraph._cancel_downstream`: the cancellation of a cancels c, so no job needs b and
    its dependency x any more. If they kept the inherited priority, they would be placed before all
    other jobs until they end."""
    harness = GraphHarness()
    x = harness.add("x", urgency="idle", haulS=5.0)
    harness.add("a", urgency="idle")
    b = harness.add("b", "x", urgency="idle", haulS=5.0)
    harness.add("c", "a", "b", urgency="urgent", haulS=5.0, dueS=100.0)
    harness.add("d", "c", urgency="urgent", haulS=5.0, dueS=100.0)
    assert (x.priority, b.priority) == (2, 2) and (
        x.inherited_deadline_at,
        b.inherited_deadline_at,
    ) == (85.0, 90.0)
    harness.end("a", users.CANCELLED)
    assert harness.upstream_cancelled == ["c", "d"]
    assert (x.priority, b.priority) == (0, 0) and (
        x.inherited_deadline_at,
        b.inherited_deadline_at,
    ) == (
        DISTANT_FUTURE,
        DISTANT_FUTURE,
    )


@pytest.mark.parametrize("is_cancelled", [False, True], ids=["comes", "leaves"])
def test_inheritance_costs_little_where_paths_are_many(is_cancelled: bool) -> None:
    """`_raise_upstream` and `_lower_upstream`: 3 to the power of 40 paths lead upstream through
    these layers, and a path that is visited later may be longer than all before it. A breadth-first
    traversal keeps the cost low; a depth-first one would practically never finish."""
    harness = GraphHarness()
    layers, width = 40, 3
    previous_layer: list[str] = []
    for layer in range(layers):
        names = [f"{layer}-{i}" for i in range(width)]
        for name in names:
            harness.add(name, *previous_layer, urgency="idle")
        previous_layer = names
    call_count = 0

    def remaining_s(job: Job) -> float:
        nonlocal call_count
        call_count += 1
        assert call_count < 50 * layers * width
        layer, _, number = job.id[3:].partition("-")
        return float(number) * 2.0 ** (int(layer) - 30) if number else 1.0

    harness.graph._remaining_s = remaining_s
    harness.add("last", *previous_layer, urgency="urgent", dueS=10_000.0)
    first = harness.registry.jobs[JobId("wk-0-0")]
    assert first.priority == 2 and first.inherited_deadline_at == 10_000 - 1 - 2 * (
        2.0 ** (layers - 30) - 2.0**-29
    )
    if is_cancelled:
        harness.end("last", users.CANCELLED)
        assert first.priority == 0 and first.inherited_deadline_at == DISTANT_FUTURE


def test_job_inherits_from_dependents_that_were_loaded_first() -> None:
    harness = GraphHarness()
    harness.add("c", "b", urgency="urgent", dueS=50.0, haulS=5.0)
    harness.add("b", "a", urgency="idle", haulS=5.0)
    assert harness.add("a", urgency="idle").priority == 2


@pytest.mark.parametrize(
    ("name", "steps", "expected"),
    [
        ("all in the registry", [("add", "a"), ("add", "b", "a")], False),
        ("an end is not read", [("add", "b", "a")], True),
        ("an end far up is not read", [("add", "b", "a"), ("add", "c", "b")], True),
        ("read", [("add", "b", "a"), ("add", "c", "b"), ("done", "a")], False),
    ],
)
def test_job_may_be_cancelled_upstream_while_an_end_is_unknown(
    name: str, steps: list[tuple[str, ...]], expected: bool
) -> None:
    harness = GraphHarness()
    for action, job, *awaits in steps:
        if action == "add":
            last_job = harness.add(job, *awaits)
        else:
            harness.end(job, action)
    assert harness.graph.may_be_cancelled_upstream(last_job) is expected, name


def test_job_may_be_cancelled_upstream_once_a_cancellation_is_sent() -> None:
    harness = GraphHarness()
    a = harness.add("a")
    b = harness.add("b", "a")
    a.is_cancellation_requested = True
    assert not harness.graph.may_be_cancelled_upstream(b), (
        "requested but not sent: no node can have reported it"
    )
    a.end_write = EndWrite.SENT
    assert harness.graph.may_be_cancelled_upstream(b)


# ---------------------------------------------------------------- tests in the simulated world

FAULT_RATES = {
    "txn_lost": 0.15,
    "txn_twice": 0.1,
    "report_lost": 0.05,
    "answer_lost": 0.05,
    "cloud_lost": 0.1,
}


def submit_pipelines(world: World, pipeline_count: int) -> None:
    for i in range(pipeline_count):
        first = f"wk-{i}-0"
        world.submit(first, parcels=3, urgency="idle", run_s=3.0)
        world.submit(f"wk-{i}-1", parcels=5, awaits=[first], urgency="idle", run_s=4.0)
        world.submit(f"wk-{i}-2", parcels=2, awaits=[first], run_s=3.0)
        world.submit(
            f"wk-{i}-3",
            parcels=2,
            awaits=[f"wk-{i}-1", f"wk-{i}-2"],
            urgency="urgent",
            run_s=2.0,
            dueS=60.0,
        )


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("faults", [{}, FAULT_RATES], ids=["quiet", "rough"])
def test_chains_run_in_order_whatever_fails(faults: dict[str, Any], seed: int) -> None:
    """Jobs are cancelled at any moment while answers are lost, leaders change and the store is
    down."""
    world = World(seed, **faults)
    rng = random.Random(seed)
    submit_pipelines(world, 5)
    for turn in range(30):
        world.run(1.5)
        world.poll_all()
        if faults and turn % 6 == 3:
            world.elect()
        if faults and turn == 12:
            world.outage_until = world.now + 8.0
        if turn in (2, 9, 17):
            world.cancel(rng.choice(sorted(world.jobs)))
        if turn == 10:
            world.submit("wk-late", parcels=2, awaits=["wk-0-0", "wk-3-3"], run_s=2.0)
    time_limit = world.now + 300.0
    while not world.all_ended() and world.now < time_limit:
        world.run(1.0)
        world.poll_all()
    finish(world, 1.0)
    for job in world.jobs:
        cancelled_jobs = [
            n for n in (job, *world.upstream_jobs(job)) if world.end_in_store(n) == users.CANCELLED
        ]
        assert (world.end_in_store(job) == users.CANCELLED) is bool(cancelled_jobs)


@pytest.mark.parametrize("read_first", [True, False])
def test_cancellation_downstream_survives_a_change_of_leader(read_first: bool) -> None:
    """Only the first end record is written before the leader changes; the next leader finds nothing
    else."""
    world = World(4)
    submit_pipelines(world, 1)
    world.run(1.0)
    world.cancel("wk-0-0")
    scheduler = world.scheduler
    assert scheduler is not None
    for _ in range(50):
        world.step(0.1)
        if world.end_in_store("wk-0-0"):
            break
    # The end records of the downstream jobs are lost with their leader.
    for i in (1, 2, 3):
        world.store.keys.pop(f"end/wk-0-{i}", None)
        record = world.jobs[f"wk-0-{i}"]
        assert record["awaits"]
    for i in (1, 2, 3):
        assert scheduler.job_status(JobId(f"wk-0-{i}")).state == users.CANCELLED  # type: ignore[union-attr]
    world.reported_outcomes = {f"wk-0-{i}": users.CANCELLED for i in range(4)}
    from eldercart.wire.stored_jobs import encode_job_record
    from eldercart.wire.stored_placements import max_tasks_per_chunk

    for i in (1, 2, 3):
        if f"job/wk-0-{i}" not in world.store.keys:
            spec = users.parse_submission(
                {k: v for k, v in world.jobs[f"wk-0-{i}"].items() if k != "runS"}
            )
            record = encode_job_record(
                spec, max_tasks_per_chunk(world.settings.value_bytes), world.now
            )
            world.store.keys[f"job/wk-0-{i}"] = (record, world.store.revision, None)
        world.store.keys.pop(f"gone/wk-0-{i}", None)
    if read_first:
        world.store.keys.pop("gone/wk-0-0", None)
        world.store.keys.pop("job/wk-0-0", None)
    world.elect()
    world.poll_all()  # fails if a job that was reported as cancelled is reported as pending
    world.run(5.0)
    world.poll_all()
    finish(world)


def test_waiting_job_takes_no_capacity_demand_or_quota() -> None:
    """A job that is not ready takes no capacity, creates no demand for machines and uses none of
    its team's quota: all of these are left to ready jobs."""
    world = World(5)
    world.submit("wk-a", parcels=1, crew="t1", run_s=60.0, haulS=60.0)
    world.submit("wk-b", parcels=200, crew="t1", awaits=["wk-a"], run_s=5.0)
    world.submit("wk-c", parcels=8, crew="t1", run_s=5.0)
    world.submit("wk-d", parcels=8, awaits=["wk-a"], breeds=["big"], run_s=5.0)
    world.run(40.0)
    scheduler = world.scheduler
    assert scheduler is not None
    assert world.end_in_store("wk-c") == users.DONE
    status = scheduler.job_status(JobId("wk-b"))
    assert status == JobStatus(users.PENDING, 0, 0, ("wk-a",))
    assert len(world.cloud.machines) <= 4, "no machine is created for a job that is not ready"
    assert all(m.type["sku"] == "small" for m in world.cloud.machines.values())
    assert not scheduler.jobs.jobs[JobId("wk-b")].chunks


def run_with_successor(
    awaits: tuple[str, ...], ending: tuple[str, ...], load: float = 0.0
) -> tuple[World, list[tuple[str, str, float]]]:
    """Run 15 s with wk-c depending on the jobs `awaits`; return the world and all reservations made
    for a successor. Only the tasks of the jobs `ending` end soon."""
    world = World(6, tuning={"flush_done_s": 1.0})
    for name in ("a", "b"):
        world.submit(f"wk-{name}", parcels=2, run_s=6.0 if name in ending else 200.0, haulS=6.0)
    world.submit("wk-c", parcels=3, awaits=[f"wk-{n}" for n in awaits], kit="other", lot="next")
    scheduler = world.scheduler
    assert scheduler is not None
    found: list[tuple[str, str, float]] = []
    for _ in range(150):
        world.step(0.1)
        found += [
            (str(b.successor), b.image, b.cpus)
            for b in scheduler.cluster_state.predictor.soft_reservations
            if b.successor is not None
        ]
    return world, sorted(set(found))


def test_capacity_is_reserved_for_a_submitted_successor() -> None:
    world, found = run_with_successor(("a",), ("a",))
    assert found == [("wk-c", "other", 6.0)]
    world.run(10.0)
    scheduler = world.scheduler
    assert (
        scheduler is not None
        and scheduler.cluster_state.predictor.hits >= 1
        and not scheduler.cluster_state.predictor.soft_reservations
    )


def test_reservation_is_dropped_when_the_successor_is_cancelled_upstream() -> None:
    world = World(6)
    world.submit("wk-a", parcels=2, run_s=6.0, haulS=6.0)
    world.submit("wk-c", parcels=3, awaits=["wk-a"], kit="other", lot="next")
    scheduler = world.scheduler
    assert scheduler is not None
    for _ in range(200):
        world.step(0.1)
        if any(b.successor for b in scheduler.cluster_state.predictor.soft_reservations):
            break
    assert any(b.successor == "wk-c" for b in scheduler.cluster_state.predictor.soft_reservations)
    world.cancel("wk-a")
    world.run(1.0)
    assert not any(b.successor for b in scheduler.cluster_state.predictor.soft_reservations)
    assert scheduler.cluster_state.predictor.misses == 1


def run_until_last_task(world: World, job: str) -> None:
    """Step until all tasks of the job but one are done according to heartbeats."""
    scheduler = world.scheduler
    assert scheduler is not None
    for _ in range(600):
        world.step(0.1)
        found = scheduler.jobs.get(JobId(job))
        if found is None or found.done_count >= found.spec.task_count - 1:
            return
    raise AssertionError("the job never reached its last task")


@pytest.mark.parametrize("delay_steps", [0, 1, 2, 4, 8, 12, 20, 30])
@pytest.mark.parametrize("faults", [{}, {"txn_lost": 0.4, "txn_twice": 0.3}], ids=["", "lossy"])
def test_cancellation_races_with_the_end_of_the_last_task(
    faults: dict[str, Any], delay_steps: int
) -> None:
    """Whichever end is written first holds, for the job and for all jobs downstream."""
    world = World(9, **faults)
    world.submit("wk-a", parcels=3, run_s=4.0)
    world.submit("wk-b", parcels=2, awaits=["wk-a"], run_s=2.0)
    world.submit("wk-c", parcels=2, awaits=["wk-b"], run_s=2.0)
    run_until_last_task(world, "wk-a")
    for _ in range(delay_steps):
        world.step(0.1)
        world.poll_all()
    world.cancel("wk-a")
    for _ in range(100):
        world.step(0.1)
        world.poll_all()
    finish(world)
    world.poll_all()
    outcome = world.end_in_store("wk-a")
    assert outcome == world.end_in_store("wk-b") == world.end_in_store("wk-c")


@pytest.mark.parametrize("outage", [False, True], ids=["", "store away afterwards"])
@pytest.mark.parametrize("steps", range(6))
def test_cancellation_races_with_the_submission_of_a_dependent(steps: int, outage: bool) -> None:
    """A job submitted around the cancellation of its dependency is accepted and then cancelled too,
    whichever of the two is written first."""
    world = World(10)
    world.submit("wk-a", parcels=3, run_s=30.0)
    world.submit("wk-b", parcels=2, awaits=["wk-a"], run_s=2.0)
    world.run(15.0)
    world.cancel("wk-a")
    for _ in range(steps):
        world.step(0.1)
        world.poll_all()
    world.submit("wk-late", parcels=2, awaits=["wk-b"], run_s=2.0)
    if outage:
        world.run(0.2)
        world.outage_until = world.now + 45.0
    for _ in range(20):
        world.step(0.1)
        world.poll_all()
    scheduler = world.scheduler
    assert scheduler is not None and world.end_in_store("wk-a") == users.CANCELLED
    for job in ("wk-b", "wk-late"):
        status = scheduler.job_status(JobId(job))
        ended = world.end_in_store(job) == users.CANCELLED
        assert ended or status.state == users.CANCELLED  # type: ignore[union-attr]
    world.run(30.0)
    world.poll_all()
    finish(world)


@pytest.mark.parametrize("delay_steps", [0, 1, 2, 3, 5])
def test_leader_change_while_downstream_end_records_are_written(delay_steps: int) -> None:
    """The end records of a wide fan-out take many transactions; what one leader reported must hold
    under the next."""
    world = World(11)
    world.submit("wk-a", parcels=1, run_s=60.0)
    for i in range(40):
        world.submit(f"wk-m{i}", parcels=1, awaits=["wk-a"], run_s=1.0)
    world.submit("wk-z", parcels=1, awaits=[f"wk-m{i}" for i in range(40)], run_s=1.0)
    world.run(10.0)
    world.cancel("wk-a")
    while world.end_in_store("wk-a") is None:
        world.step(0.1)
    world.poll_all()
    for _ in range(delay_steps):
        world.step(0.1)
        world.poll_all()
    world.elect()
    world.poll_all()
    for _ in range(40):
        world.step(0.1)
        world.poll_all()
    finish(world)
    assert {world.end_in_store(job) for job in world.jobs} == {users.CANCELLED}


def test_end_records_of_a_wide_fan_out_delay_no_placement() -> None:
    """The cancelled jobs are already reported as such, so a ready job must not wait until thousands
    of end records are written."""
    world = World(12)
    world.submit("wk-a", parcels=1, run_s=60.0)
    for i in range(1500):
        world.submit(f"wk-m{i}", parcels=1, awaits=["wk-a"], run_s=1.0)
    world.run(6.0)
    world.cancel("wk-a")
    world.run(0.3)
    world.submit("wk-next", parcels=4, run_s=1.0)
    world.run(6.0)
    assert world.end_in_store("wk-next") == users.DONE
    scheduler = world.scheduler
    assert scheduler is not None and scheduler.cluster_state.upstream_cancelled_jobs, (
        "not all end records are written yet"
    )
    world.poll_all()
    finish(world)


# ---------------------------------------------------------------- dependency lists outside records


def stored_list_keys(world: World, job: str = "") -> list[str]:
    return [key for key in world.store.keys if key.startswith(f"needs/{job}")]


@pytest.mark.parametrize("outcome", [users.DONE, users.CANCELLED])
@pytest.mark.parametrize("faults", [{}, FAULT_RATES], ids=["quiet", "rough"])
@pytest.mark.parametrize("seed", range(3))
def test_dependency_lists_are_deleted_with_their_job_record(
    faults: dict[str, Any], seed: int, outcome: str
) -> None:
    """`TransactionBuilder._add_dependency_lists`: at every change of leader each record still has
    its list (asserted by `World.elect`). A list that no record refers to is not deleted."""
    world = World(seed, **faults)
    world.submit("wk-a", parcels=2, run_s=3.0)
    world.submit("wk-b", parcels=2, run_s=3.0)
    world.submit("wk-c", parcels=3, awaits=["wk-a", "wk-b"], run_s=3.0, dependency_list_parts=2)
    world.submit("wk-d", parcels=3, awaits=["wk-c"], run_s=3.0, dependency_list_parts=1)
    world.store.keys["needs/wk-e/other/0"] = (["wk-a"], 1, None)  # its acceptance may be in flight
    for turn in range(12):
        world.run(1.5)
        world.poll_all()
        if faults and turn % 3 == 1:
            world.elect()
        if turn == 5 and outcome == users.CANCELLED:
            world.cancel("wk-c")
    finish(world)
    for _ in range(40):
        if not [key for key in world.store.keys if key.startswith("job/")]:
            break
        world.run(1.0)
    world.run(2.0)
    assert world.end_in_store("wk-d") == world.end_in_store("wk-c")
    assert stored_list_keys(world) == ["needs/wk-e/other/0"]


def test_long_dependency_list_is_deleted_in_several_transactions() -> None:
    """`TransactionWriter.dependency_list_keys` holds the keys of a list that did not fit into the
    transaction that deleted the record."""
    world = World(0)
    world.store.txn_ops = 20
    names = [f"wk-{i}" for i in range(50)]
    for name in names:
        world.store.keys[f"end/{name}"] = ({"e": users.DONE, "n": 1}, 1, None)
        world.jobs[name] = submission(name)
    world.submit("wk-last", parcels=1, awaits=names, run_s=1.0, dependency_list_parts=50)
    scheduler = world.scheduler
    assert scheduler is not None
    for _ in range(400):
        world.step(0.1)
        if not stored_list_keys(world):
            break
        if "job/wk-last" in world.store.keys:
            assert len(stored_list_keys(world)) == 50, "deleted before the record that refers to it"
    assert (
        not stored_list_keys(world)
        and not scheduler.transaction_writer.dependency_list_keys
        and not world.too_large_count
    )


@pytest.mark.parametrize(
    ("outcome", "failed"),
    [
        (TransactionOutcome.REJECTED, ()),
        (TransactionOutcome.INDETERMINATE, ()),
        (TransactionOutcome.CONFLICT, ("end/wk-c",)),
    ],
)
def test_dependency_list_deletion_is_retried_after_a_failed_transaction(
    outcome: TransactionOutcome, failed: tuple[str, ...]
) -> None:
    """Only a committed transaction removes a list from the keys that must be deleted."""
    world = World(0)
    world.store.keys["end/wk-a"] = ({"e": users.CANCELLED, "n": 1}, 1, None)
    world.jobs["wk-a"] = submission("wk-a")
    world.submit("wk-c", parcels=1, awaits=["wk-a"], dependency_list_parts=1)
    scheduler = world.scheduler
    assert scheduler is not None
    now = MonotonicTime(world.now)
    for job in scheduler.take_due_end_lookups(now, 20):
        scheduler.on_end_lookup_result(job, users.CANCELLED, now)
    pending = scheduler.next_transaction(now, 20)
    assert (
        pending is not None
        and DeleteKey(stored_list_keys(world)[0]) in pending.transaction.operations
    )
    assert not scheduler.on_transaction_result(pending, outcome, Revision(0), failed, now)
    world.run(3.0)
    assert not stored_list_keys(world) and "job/wk-c" not in world.store.keys
    assert world.end_in_store("wk-c") == users.CANCELLED


def test_cleanup_marker_of_an_unreadable_record_is_kept() -> None:
    """`StateLoader._load_cleanup_markers`: without the marker, the next leader that can read the
    record would take the job for unfinished, report it as pending after its end was reported, and
    start its tasks again."""
    world = World(1)
    world.submit("wk-a", parcels=2, run_s=60.0)
    world.run(12.0)
    world.cancel("wk-a")
    while world.end_in_store("wk-a") is None:
        world.step(0.1)
    record = world.store.keys["job/wk-a"]
    assert "gone/wk-a" in world.store.keys
    world.store.keys["job/wk-a"] = ({"s": "of a later version"}, *record[1:])
    world.store.keys["gone/wk-z"] = ({"e": users.DONE}, 1, None)
    world.elect()
    world.run(2.0)
    assert "gone/wk-a" in world.store.keys and "gone/wk-z" not in world.store.keys
    world.store.keys["job/wk-a"] = record
    world.elect()
    world.poll_all()
    finish(world)
    world.run(30.0)
    assert "job/wk-a" not in world.store.keys and "gone/wk-a" not in world.store.keys


# ---------------------------------------------------------------- deep chains, readiness and order


@pytest.mark.parametrize("trouble", ["", "leader", "store", "leader and late answers"])
@pytest.mark.parametrize("shape", ["deep", "wide"])
def test_all_downstream_jobs_are_reported_cancelled_in_time(shape: str, trouble: str) -> None:
    """Once the cancellation is confirmed, `DependencyGraph._cancel_downstream` cancels hundreds of
    jobs at once, whether or not their own end records are written. The next leader finds these jobs
    through `_EndLookup` and the end records."""
    world = World(13, **({"txn_lost": 0.3} if "late" in trouble else {}))
    job_count = 250
    world.submit("wk-root", parcels=2, run_s=60.0)
    for i in range(job_count):
        dependency = "wk-root" if shape == "wide" or i == 0 else f"wk-{i - 1}"
        world.submit(f"wk-{i}", parcels=1, awaits=[dependency], run_s=1.0)
    world.run(8.0)
    world.cancel("wk-root")
    while "wk-root" not in world.reported_outcomes:
        world.step(0.1)
    if "leader" in trouble:
        world.elect()
    if "store" in trouble:
        world.outage_until = world.now + world.settings.cancel_s
    for _ in range(3):
        world.poll_all()
        world.step(0.1)
    time_limit = world.now + world.settings.cancel_s
    scheduler = world.scheduler
    assert scheduler is not None
    while world.now < time_limit:
        world.run(3.0)
        world.poll_all()
    statuses = [world.scheduler.job_status(JobId(f"wk-{i}")) for i in range(job_count)]  # type: ignore[union-attr]
    for i, status in enumerate(statuses):
        gone = world.end_in_store(f"wk-{i}") == users.CANCELLED
        assert gone or status.state == users.CANCELLED, i  # type: ignore[union-attr]
    finish(world)


@pytest.mark.parametrize("outcome", [users.DONE, users.CANCELLED])
def test_new_leader_derives_readiness_from_the_store_alone(outcome: str) -> None:
    """`DependencyGraph.add` and `take_due_end_lookups`: the dependency ended under an earlier
    leader, and only its end record is left."""
    world = World(14)
    world.submit("wk-a", parcels=1, run_s=2.0)
    world.submit("wk-b", parcels=2, awaits=["wk-a"], run_s=40.0)
    world.submit("wk-c", parcels=2, awaits=["wk-b"], run_s=1.0)
    if outcome == users.CANCELLED:
        world.cancel("wk-a")
    while world.end_in_store("wk-a") is None or "job/wk-a" in world.store.keys:
        world.step(0.1)
    world.elect()
    world.poll_all()
    world.run(12.0)
    scheduler = world.scheduler
    assert scheduler is not None
    job = scheduler.jobs.get(JobId("wk-b"))
    if outcome == users.DONE:
        assert job is not None and job.running_count == 2
        world.elect()  # a job with running tasks is ready without any lookup
        scheduler = world.scheduler
        assert scheduler.jobs.jobs[JobId("wk-b")].is_ready
    else:
        assert world.end_in_store("wk-c") == users.CANCELLED
    finish(world)


def test_deadline_counts_from_submission_and_other_objectives_from_readiness() -> None:
    """Covers `ServiceLevelObjectives.latest_start_times` and `preemption_allowed_at`, and
    `ClusterState._deadline_at`."""
    harness = GraphHarness()
    harness.add("a")
    b = harness.add("b", "a", lot="slow", dueS=100.0)
    harness.now = 40.0
    harness.end("a")
    assert b.is_ready and (b.submitted_at, b.ready_at) == (0.0, 40.0)
    objectives = ServiceLevelObjectives({"slow": (8.0,)}, {"slow": (60.0,)}, {"slow": (1.0, 1.5)})
    assert objectives.latest_start_times(b, 5.0) == [40 + 8.0, 40 + 60.0 - 5, 100.0 - 5, 150.0 - 5]
    assert objectives.preemption_allowed_at(b, 3.0, 5.0) == 40 + 0.55 * 8.0
    world = World(0)
    world.submit("wk-a", parcels=1, run_s=5.0)
    world.submit("wk-b", parcels=1, awaits=["wk-a"], dueS=100.0)
    submitted_at = world.now
    scheduler = world.scheduler
    assert scheduler is not None
    b = scheduler.jobs.jobs[JobId("wk-b")]
    while not b.is_ready:
        world.step(0.1)
    assert (
        b.ready_at > submitted_at + 5
        and scheduler.cluster_state._deadline_at(b) == submitted_at + 100
    )


@pytest.mark.parametrize("needed", [True, False])
def test_idle_job_that_an_urgent_job_depends_on_runs_first(needed: bool) -> None:
    """`DependencyGraph._raise_upstream`, and `order_jobs`, which uses the inherited priority rather
    than the submitted one."""
    world = World(15, capacity=1)
    world.submit("wk-fill", parcels=8, run_s=8.0)
    world.run(10.0)
    for i in range(4):
        world.submit(f"wk-other{i}", parcels=8, run_s=8.0)
    world.submit("wk-a", parcels=4, urgency="idle", run_s=2.0)
    world.submit("wk-b", parcels=1, urgency="urgent", awaits=["wk-a"] if needed else [], run_s=1.0)
    others = [f"wk-other{i}" for i in range(4)]
    while world.end_in_store("wk-a") is None:
        world.step(0.1)
    unfinished = [job for job in others if world.end_in_store(job) is None]
    assert (len(unfinished) >= 3) is needed
    finish(world)


def test_jobs_are_ordered_by_inherited_priority() -> None:
    """`order_jobs` uses the priority that dependents raise, not the submitted one."""
    harness = GraphHarness()
    other = harness.add("other", urgency="standard")
    a = harness.add("a", urgency="idle")
    harness.add("b", "a", urgency="urgent")
    ordered = order_jobs(
        [other, a],
        QueueOrderContext(
            MachineInventory(),
            {},
            ServiceLevelObjectives({}, {}),
            lambda priority, spot: 100.0,
            lambda job: 6.0,
            lambda job: 6.0,
        ),
        MonotonicTime(0.0),
    )
    assert ordered == [a, other]


def test_start_latencies_count_from_readiness() -> None:
    """`Scheduler.take_start_latencies_s`: like the service level objectives, the start latencies in
    the metrics count from readiness."""
    world = World(16)
    world.submit("wk-a", parcels=1, run_s=60.0)
    world.submit("wk-b", parcels=1, awaits=["wk-a"], run_s=5.0)
    finish(world)
    scheduler = world.scheduler
    assert scheduler is not None
    waits = scheduler.take_start_latencies_s()
    assert len(waits) == 2 and max(waits) < 30.0, waits


def run_until_done_in_memory(world: World, job: str) -> None:
    """Run until all tasks of the job are done in memory, with the store down so that its end record
    is not written."""
    run_until_last_task(world, job)
    world.outage_until = world.now + 40.0
    scheduler = world.scheduler
    assert scheduler is not None
    while not scheduler.jobs.jobs[JobId(job)].is_complete:
        world.step(0.1)
    assert world.end_in_store(job) is None


def test_late_dependent_of_a_complete_job_waits_for_its_durable_end() -> None:
    """`DependencyGraph.add` requires a durable end, not a count of done tasks."""
    world = World(17)
    world.submit("wk-a", parcels=3, run_s=4.0)
    run_until_done_in_memory(world, "wk-a")
    world.submit("wk-b", parcels=1, awaits=["wk-a"], run_s=1.0)
    scheduler = world.scheduler
    assert scheduler is not None
    world.run(5.0)
    assert world.end_in_store("wk-a") is None and not scheduler.jobs.jobs[JobId("wk-b")].is_ready
    finish(world)


def test_cancellation_after_the_last_task_does_not_cancel_the_chain() -> None:
    """`Scheduler.cancel_job`: the job's end is not durable yet, but it will be `done`."""
    world = World(18)
    world.submit("wk-a", parcels=3, run_s=4.0)
    world.submit("wk-b", parcels=1, awaits=["wk-a"], run_s=1.0)
    run_until_done_in_memory(world, "wk-a")
    scheduler = world.scheduler
    assert scheduler is not None
    assert scheduler.cancel_job(JobId("wk-a"), MonotonicTime(world.now)) is LookupFailure.UNDECIDED
    finish(world)
    assert world.end_in_store("wk-a") == world.end_in_store("wk-b") == users.DONE


def test_requested_cancellation_is_not_reported_downstream_until_durable() -> None:
    """`DependencyGraph.add`: the store is down, and the requested cancellation may never become
    durable."""
    world = World(19)
    world.submit("wk-a", parcels=3, run_s=60.0)
    world.submit("wk-b", parcels=1, awaits=["wk-a"], run_s=1.0)
    world.run(8.0)
    world.outage_until = world.now + 20.0
    world.cancel("wk-a")
    world.submit("wk-late", parcels=1, awaits=["wk-a"], run_s=1.0)
    world.submit("wk-later", parcels=1, awaits=["wk-b"], run_s=1.0)
    for _ in range(50):
        world.step(0.1)
        world.poll_all()
    assert not world.reported_outcomes
    finish(world)
    assert {world.end_in_store(job) for job in world.jobs} == {users.CANCELLED}


@pytest.mark.parametrize("outcome", [users.DONE, users.CANCELLED])
def test_job_status_is_undecided_once_its_end_write_is_sent(outcome: str) -> None:
    """`Scheduler.job_status`: the end may already be durable, and another node may report it."""
    world = World(20)
    world.submit("wk-a", parcels=3, run_s=4.0)
    world.submit("wk-b", parcels=1, awaits=["wk-a"], run_s=1.0)
    if outcome == users.DONE:
        run_until_done_in_memory(world, "wk-a")
    else:
        world.cancel("wk-a")
    scheduler = world.scheduler
    assert scheduler is not None
    assert isinstance(scheduler.job_status(JobId("wk-a")), JobStatus), (
        "not sent: no node can have reported it"
    )
    pending = scheduler.next_transaction(MonotonicTime(world.now + 1.0), 20)
    assert pending is not None
    assert scheduler.job_status(JobId("wk-a")) is LookupFailure.UNDECIDED
    dependent_status = scheduler.job_status(JobId("wk-b"))
    if outcome == users.CANCELLED:
        assert dependent_status is LookupFailure.STATE_UNKNOWN, "only a read of the store can tell"
    else:
        assert isinstance(dependent_status, JobStatus) and dependent_status.state == users.PENDING


@pytest.mark.parametrize("outcome", [users.DONE, users.CANCELLED])
def test_job_that_awaits_cleanup_has_ended_for_its_dependents(outcome: str) -> None:
    """`DependencyGraph.add`: the dependency is still in the job registry, but its end counts.
    `StateLoader._load_finished_job`: a new leader loads the jobs before it reads the marker."""
    harness = GraphHarness()
    a = harness.add("a")
    harness.add("b", "a")
    a.outcome = outcome
    harness.record_effect(harness.graph.on_job_ended(a.id, outcome, MonotonicTime(1.0)))
    harness.add("late", "a")
    assert (harness.ready, harness.upstream_cancelled) == (
        (["a", "b", "late"], []) if outcome == users.DONE else (["a"], ["b", "late"])
    )
    world = World(21)
    world.submit("wk-a", parcels=1, run_s=60.0)
    world.submit("wk-b", parcels=1, awaits=["wk-a"], run_s=1.0)
    world.store.keys["end/wk-a"] = ({"e": outcome, "n": 1}, 9, None)
    world.store.keys["gone/wk-a"] = ({"e": outcome, "t": world.now}, 9, None)
    world.elect()
    scheduler = world.scheduler
    assert scheduler is not None
    b = scheduler.jobs.jobs[JobId("wk-b")]
    assert (b.is_ready, b.upstream_cancelled) == (outcome == users.DONE, outcome == users.CANCELLED)
    world.poll_all()
    finish(world)


@pytest.mark.parametrize(
    ("confirmed", "name"),
    [
        ("before the election", "wk-a"),
        ("before the election", "wk-b"),
        ("by this leader", "wk-b"),  # it retains only the end of wk-a
    ],
)
def test_leader_answers_a_repeated_submission_of_an_upstream_cancelled_job(
    confirmed: str, name: str
) -> None:
    """The job was submitted after the cancellation was durable, and its own end record is not
    written yet. The leader reports it as cancelled from its memory, without reading the store."""
    world = World(27)
    world.submit("wk-a", parcels=1, run_s=60.0)
    world.submit("wk-b", parcels=1, awaits=["wk-a"], run_s=1.0)
    if confirmed == "by this leader":
        world.cancel("wk-a")
        while world.end_in_store("wk-a") is None and world.now < 200.0:
            world.step(0.1)
        assert world.end_in_store("wk-a") == users.CANCELLED
    else:
        world.store.keys["end/wk-a"] = ({"e": users.CANCELLED, "n": 1}, 9, None)
        world.store.keys["gone/wk-a"] = ({"e": users.CANCELLED, "t": world.now}, 9, None)
        world.elect()
    world.submit("wk-late", parcels=1, awaits=[name], run_s=1.0)
    scheduler = world.scheduler
    assert scheduler is not None
    late = scheduler.jobs.get(JobId("wk-late"))
    assert JobId(name) in scheduler.jobs and late is not None and late.outcome is None
    fixture = UserServiceFixture()
    fixture.node.leader_service.scheduler = scheduler
    fixture.node.leader_service.user_answers = UserAnswers(
        fixture.node.leader_service,
        cast(Any, SimpleNamespace(is_within_lease=lambda now: True)),
        fixture.user_service,
        fixture.node.clock,
    )
    body = submission("wk-late", awaits=[name])
    for request in (fixture.submit(body), fixture.poll("wk-late")):
        assert (request.status, request.answer["standing"]) == (200, users.CANCELLED)
    assert not fixture.store.request_kinds
    world.poll_all()
    finish(world)


def test_leader_deletes_dependency_lists_of_jobs_that_it_accepted() -> None:
    """On acceptance, `_RecordWrite._on_accepted` passes the location of the list to the scheduler,
    as loading a record does. After the list is deleted, a repeated submission and a query are
    answered from the end record."""
    fixture = UserServiceFixture()
    dependencies = job_names(1000)
    for name in dependencies:
        fixture.add_outcome(name, users.CANCELLED)
    world = World(22)
    scheduler = world.scheduler
    assert scheduler is not None
    fixture.node.leader_service.scheduler = scheduler
    fixture.node.leader_service.process_events_soon = lambda: None
    fixture.node.leader_service.user_answers = SimpleNamespace(
        job_reply=lambda number, job: peers.JobReply(number, peers.UNKNOWN, 0, 0)
    )
    body = submission("wk-last", awaits=dependencies)
    assert fixture.submit(body).status == 201
    assert fixture.store.sim.range("needs/wk-last/")
    now = MonotonicTime(world.now)
    for name in scheduler.take_due_end_lookups(now, 2000):
        scheduler.on_end_lookup_result(name, users.CANCELLED, now)
    while fixture.store.sim.range("needs/wk-last/"):
        pending = scheduler.next_transaction(now, 20)
        assert pending is not None
        pending.transaction.conditions.pop("lead")  # the leader's key is in another simulated store
        assert fixture.store.sim.txn(pending.transaction.body())[0] == 200
        scheduler.on_transaction_result(
            pending, TransactionOutcome.COMMITTED, Revision(fixture.store.sim.revision), (), now
        )
    assert not fixture.store.sim.range("job/wk-last")
    fixture.node.leader_service.scheduler = None
    for request in (fixture.submit(body), fixture.poll("wk-last")):
        assert (request.status, request.answer["standing"]) == (200, users.CANCELLED)
    assert not fixture.store.sim.range("needs/"), "the repeated submission wrote no new list"


def test_waiting_job_bars_no_others_from_on_demand_machines() -> None:
    """`PlanningPass._priority_barred_from_on_demand`: only the priorities of ready jobs bar others
    from on-demand machines, not those of jobs that wait for dependencies."""
    world = World(23)
    world.submit("wk-a", parcels=50, urgency="idle", loaners=False, run_s=60.0)
    world.submit("wk-b", parcels=50, urgency="urgent", loaners=False, awaits=["wk-c"], run_s=5.0)
    world.jobs["wk-c"] = submission("wk-c")
    scheduler = world.scheduler
    assert scheduler is not None
    planning_pass = PlanningPass(
        scheduler.planner.cluster, [], [], lambda machine_count: 0, MonotonicTime(world.now)
    )
    assert planning_pass._priority_barred_from_on_demand() == 0


@pytest.mark.parametrize("needed", [True, False])
def test_running_tasks_that_an_urgent_job_depends_on_are_not_preempted(needed: bool) -> None:
    """`select_victims`: the tasks were placed with priority idle, before an urgent job that depends
    on theirs was submitted."""
    world = World(24, capacity=1)
    world.submit("wk-a", parcels=8, urgency="idle", run_s=60.0, haulS=60.0)
    world.run(12.0)
    scheduler = world.scheduler
    assert scheduler is not None
    a = scheduler.jobs.jobs[JobId("wk-a")]
    assert a.running_count
    world.submit("wk-b", urgency="urgent", awaits=["wk-a"] if needed else [], cpus=0.5)
    standard = GraphHarness().add("standard", urgency="standard")
    offers = [
        select_victims(standard, m, MonotonicTime(world.now))
        for m in scheduler.inventory.machines.values()
        if m.placements and not m.free_cpus
    ]
    assert offers and all((offer is None) is needed for offer in offers)
