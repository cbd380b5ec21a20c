"""Jobs that await others: readiness, cancellation downstream and order, under every trouble."""

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
from test_acceptance import Place, names
from test_core import finish
from world import World, submission


class Graph:
    """A graph with a job registry, by short names."""

    def __init__(self) -> None:
        self.registry = JobRegistry()
        self.graph = DependencyGraph(
            self.registry,
            lambda job: job.spec.estimated_run_time_s,
            lambda job: MonotonicTime(job.submitted_at + (job.spec.deadline_s or DISTANT_FUTURE)),
        )
        self.now = 0.0
        self.ready: list[str] = []
        self.orphaned: list[str] = []

    def _took(self, effect: Any) -> None:
        self.ready += [j.id[3:] for j in effect.ready]
        self.orphaned += [j.id[3:] for j in effect.upstream_cancelled]

    def add(self, name: str, *awaits: str, **changes: Any) -> Job:
        body = submission(f"wk-{name}", awaits=[f"wk-{a}" for a in awaits], **changes)
        job = self.registry.add(users.parse_submission(body), 50, MonotonicTime(self.now))
        self._took(self.graph.add(job, MonotonicTime(self.now)))
        return job

    def end(self, name: str, how: str = users.DONE) -> None:
        job = self.registry.get(JobId(f"wk-{name}"))
        if job is not None:
            job.outcome = how
        self._took(self.graph.on_job_ended(JobId(f"wk-{name}"), how, MonotonicTime(self.now)))
        if job is not None:
            self.registry.remove(job)

    def unread(self) -> set[str]:
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
        "done before it was cancelled",
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
        "awaits one that is orphaned",
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
    ("told twice", [("add", "a"), ("add", "b", "a"), ("done", "a"), ("done", "a")], "a b", ""),
]


@pytest.mark.parametrize(("name", "steps", "ready", "orphaned"), STEPS, ids=[s[0] for s in STEPS])
def test_readiness(name: str, steps: list[tuple[str, ...]], ready: str, orphaned: str) -> None:
    g = Graph()
    for what, job, *awaits in steps:
        if what == "add":
            g.add(job, *awaits)
        else:
            g.end(job, what)
    assert g.ready == ready.split() and sorted(g.orphaned) == orphaned.split(), name


def test_ends_to_read() -> None:
    g = Graph()
    g.add("b", "a", "x")
    assert g.unread() == {"a", "x"}
    assert g.unread() == set(), "under way"
    g.graph.on_end_not_found(JobId("wk-a"), MonotonicTime(g.now))
    g.now = 0.6
    assert g.unread() == {"a"}, "read once more when none was found"
    g.add("a")
    g.now = 20.0
    assert g.unread() == {"x"}, "open after all: its end comes by itself"
    g.end("b", users.CANCELLED)
    g.now = 40.0
    assert g.unread() == set(), "nobody waits for it any more"


def test_long_chain_and_wide_ones() -> None:
    """No recursion over the depth, and no work for all jobs whenever one ends."""
    g = Graph()
    number = 5000
    g.add("0")
    for i in range(1, number):
        g.add(str(i), str(i - 1))
    g.end("0", users.CANCELLED)
    assert len(g.orphaned) == number - 1
    g = Graph()
    g.add("root")
    for i in range(number):
        g.add(f"m{i}", "root")
    g.add("last", *(f"m{i}" for i in range(number)))
    g.end("root")
    for i in range(number):
        g.end(f"m{i}")
    assert g.ready[-1] == "last" and len(g.ready) == number + 2


def test_priority_and_due_of_those_that_need_it() -> None:
    g = Graph()
    a = g.add("a", urgency="idle", haulS=10.0)
    b = g.add("b", "a", urgency="idle", haulS=20.0)
    other = g.add("other", urgency="idle")
    assert a.priority == b.priority == 0 and a.deadline_at == DISTANT_FUTURE
    g.add("c", "b", urgency="urgent", haulS=5.0, dueS=100.0)
    assert (a.priority, b.priority, other.priority) == (2, 2, 0)
    assert (b.deadline_at, a.deadline_at) == (95.0, 75.0), "less the longest path after it"
    g.add("d", "a", urgency="standard", haulS=40.0, dueS=100.0)
    assert (a.deadline_at, b.deadline_at) == (60.0, 95.0)
    g.end("c", users.CANCELLED)
    assert (a.priority, b.priority, a.deadline_at, b.deadline_at) == (1, 0, 60.0, DISTANT_FUTURE)
    g.end("d", users.CANCELLED)
    assert (a.priority, a.deadline_at) == (0, DISTANT_FUTURE)


def test_what_was_inherited_goes_with_a_job_that_is_cancelled_with_another() -> None:
    """`DependencyGraph._cancel_downstream`: c is cancelled with a, so b, and x before it, are
    needed by nobody any more; else they would go ahead of all others for good."""
    g = Graph()
    x = g.add("x", urgency="idle", haulS=5.0)
    g.add("a", urgency="idle")
    b = g.add("b", "x", urgency="idle", haulS=5.0)
    g.add("c", "a", "b", urgency="urgent", haulS=5.0, dueS=100.0)
    g.add("d", "c", urgency="urgent", haulS=5.0, dueS=100.0)
    assert (x.priority, b.priority) == (2, 2) and (x.deadline_at, b.deadline_at) == (85.0, 90.0)
    g.end("a", users.CANCELLED)
    assert g.orphaned == ["c", "d"]
    assert (x.priority, b.priority) == (0, 0) and (x.deadline_at, b.deadline_at) == (
        DISTANT_FUTURE,
        DISTANT_FUTURE,
    )


@pytest.mark.parametrize("leaves", [False, True], ids=["comes", "leaves"])
def test_inheritance_costs_little_where_paths_are_many(leaves: bool) -> None:
    """`_raise_upstream` and `_lower_upstream`: 3 to the power of 40 paths lead up through these
    layers, and of any two the later one looked at may be the longer. The guard is the order in
    which jobs are taken; from the last in on, this would not end."""
    g = Graph()
    layers, wide = 40, 3
    before: list[str] = []
    for layer in range(layers):
        names = [f"{layer}-{i}" for i in range(wide)]
        for name in names:
            g.add(name, *before, urgency="idle")
        before = names
    looks = 0

    def rest_s(job: Job) -> float:
        nonlocal looks
        looks += 1
        assert looks < 50 * layers * wide
        layer, _, number = job.id[3:].partition("-")
        return float(number) * 2.0 ** (int(layer) - 30) if number else 1.0

    g.graph._remaining_s = rest_s
    g.add("last", *before, urgency="urgent", dueS=10_000.0)
    first = g.registry.jobs[JobId("wk-0-0")]
    assert first.priority == 2 and first.deadline_at == 10_000 - 1 - 2 * (
        2.0 ** (layers - 30) - 2.0**-29
    )
    if leaves:
        g.end("last", users.CANCELLED)
        assert first.priority == 0 and first.deadline_at == DISTANT_FUTURE


def test_inherited_also_if_those_after_it_were_read_first() -> None:
    g = Graph()
    g.add("c", "b", urgency="urgent", dueS=50.0, haulS=5.0)
    g.add("b", "a", urgency="idle", haulS=5.0)
    assert g.add("a", urgency="idle").priority == 2


@pytest.mark.parametrize(
    ("name", "steps", "undecided"),
    [
        ("all in the registry", [("add", "a"), ("add", "b", "a")], False),
        ("an end is not read", [("add", "b", "a")], True),
        ("an end far up is not read", [("add", "b", "a"), ("add", "c", "b")], True),
        ("read", [("add", "b", "a"), ("add", "c", "b"), ("done", "a")], False),
    ],
)
def test_nothing_older_is_told_while_a_cancellation_may_be_durable(
    name: str, steps: list[tuple[str, ...]], undecided: bool
) -> None:
    g = Graph()
    for what, job, *awaits in steps:
        if what == "add":
            last = g.add(job, *awaits)
        else:
            g.end(job, what)
    assert g.graph.may_be_cancelled_upstream(last) is undecided, name


def test_an_end_that_was_sent_leaves_those_after_it_undecided() -> None:
    g = Graph()
    a = g.add("a")
    b = g.add("b", "a")
    a.is_cancelled = True
    assert not g.graph.may_be_cancelled_upstream(b), (
        "asked for, but not sent: nobody can have been told"
    )
    a.end_write = EndWrite.SENT
    assert g.graph.may_be_cancelled_upstream(b)


# ---------------------------------------------------------------- in the simulated world

ROUGH = {
    "txn_lost": 0.15,
    "txn_twice": 0.1,
    "report_lost": 0.05,
    "answer_lost": 0.05,
    "cloud_lost": 0.1,
}


def submit_pipelines(w: World, number: int) -> None:
    for i in range(number):
        first = f"wk-{i}-0"
        w.submit(first, parcels=3, urgency="idle", run_s=3.0)
        w.submit(f"wk-{i}-1", parcels=5, awaits=[first], urgency="idle", run_s=4.0)
        w.submit(f"wk-{i}-2", parcels=2, awaits=[first], run_s=3.0)
        w.submit(
            f"wk-{i}-3",
            parcels=2,
            awaits=[f"wk-{i}-1", f"wk-{i}-2"],
            urgency="urgent",
            run_s=2.0,
            dueS=60.0,
        )


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("faults", [{}, ROUGH], ids=["quiet", "rough"])
def test_chains_run_in_order_whatever_fails(faults: dict[str, Any], seed: int) -> None:
    """Leaders change, the store is out, answers are lost, jobs are cancelled at any moment."""
    w = World(seed, **faults)
    rng = random.Random(seed)
    submit_pipelines(w, 5)
    for turn in range(30):
        w.run(1.5)
        w.poll_all()
        if faults and turn % 6 == 3:
            w.elect()
        if faults and turn == 12:
            w.outage_until = w.now + 8.0
        if turn in (2, 9, 17):
            w.cancel(rng.choice(sorted(w.jobs)))
        if turn == 10:
            w.submit("wk-late", parcels=2, awaits=["wk-0-0", "wk-3-3"], run_s=2.0)
    end = w.now + 300.0
    while not w.all_ended() and w.now < end:
        w.run(1.0)
        w.poll_all()
    finish(w, 1.0)
    for job in w.jobs:
        cancelled = [n for n in (job, *w.before(job)) if w.end_in_store(n) == users.CANCELLED]
        assert (w.end_in_store(job) == users.CANCELLED) is bool(cancelled)


@pytest.mark.parametrize("read_first", [True, False])
def test_cancellation_downstream_survives_a_change_of_leader(read_first: bool) -> None:
    """The store takes the first end and then nothing more; the next leader finds only that."""
    w = World(4)
    submit_pipelines(w, 1)
    w.run(1.0)
    w.cancel("wk-0-0")
    c = w.scheduler
    assert c is not None
    for _ in range(50):
        w.step(0.1)
        if w.end_in_store("wk-0-0"):
            break
    # The ends of those after it are lost with their leader.
    for i in (1, 2, 3):
        w.store.keys.pop(f"end/wk-0-{i}", None)
        record = w.jobs[f"wk-0-{i}"]
        assert record["awaits"]
    for i in (1, 2, 3):
        assert c.job_status(JobId(f"wk-0-{i}")).state == users.CANCELLED  # type: ignore[union-attr]
    w.told = {f"wk-0-{i}": users.CANCELLED for i in range(4)}
    from eldercart.wire.stored_jobs import encode_job_record
    from eldercart.wire.stored_placements import max_tasks_per_chunk

    for i in (1, 2, 3):
        if f"job/wk-0-{i}" not in w.store.keys:
            spec = users.parse_submission(
                {k: v for k, v in w.jobs[f"wk-0-{i}"].items() if k != "runS"}
            )
            record = encode_job_record(spec, max_tasks_per_chunk(w.settings.value_bytes), w.now)
            w.store.keys[f"job/wk-0-{i}"] = (record, w.store.revision, None)
        w.store.keys.pop(f"gone/wk-0-{i}", None)
    if read_first:
        w.store.keys.pop("gone/wk-0-0", None)
        w.store.keys.pop("job/wk-0-0", None)
    w.elect()
    w.poll_all()  # `pending` would go back on what was told
    w.run(5.0)
    w.poll_all()
    finish(w)


def test_a_waiting_job_holds_nothing() -> None:
    """Neither room nor demand nor its team's limit: what is ready gets all of it."""
    w = World(5)
    w.submit("wk-a", parcels=1, crew="t1", run_s=60.0, haulS=60.0)
    w.submit("wk-b", parcels=200, crew="t1", awaits=["wk-a"], run_s=5.0)
    w.submit("wk-c", parcels=8, crew="t1", run_s=5.0)
    w.submit("wk-d", parcels=8, awaits=["wk-a"], breeds=["big"], run_s=5.0)
    w.run(40.0)
    c = w.scheduler
    assert c is not None
    assert w.end_in_store("wk-c") == users.DONE
    status = c.job_status(JobId("wk-b"))
    assert status == JobStatus(users.PENDING, 0, 0, ("wk-a",))
    assert len(w.cloud.machines) <= 4, "nothing is rented for what waits"
    assert all(m.type["sku"] == "small" for m in w.cloud.machines.values())
    assert not c.jobs.jobs[JobId("wk-b")].chunks


def predictor_with(
    awaits: tuple[str, ...], ending: tuple[str, ...], load: float = 0.0
) -> tuple[World, list[tuple[str, str, float]]]:
    """The bookings once the jobs of `ending` have all of their tasks running and near their end."""
    w = World(6, tuning={"flush_done_s": 1.0})
    for name in ("a", "b"):
        w.submit(f"wk-{name}", parcels=2, run_s=6.0 if name in ending else 200.0, haulS=6.0)
    w.submit("wk-c", parcels=3, awaits=[f"wk-{n}" for n in awaits], kit="other", lot="next")
    c = w.scheduler
    assert c is not None
    found: list[tuple[str, str, float]] = []
    for _ in range(150):
        w.step(0.1)
        found += [
            (str(b.successor), b.image, b.cpus)
            for b in c.cluster_state.predictor.soft_reservations
            if b.successor is not None
        ]
    return w, sorted(set(found))


def test_room_is_booked_for_a_successor_that_is_submitted() -> None:
    w, found = predictor_with(("a",), ("a",))
    assert found == [("wk-c", "other", 6.0)]
    w.run(10.0)
    c = w.scheduler
    assert (
        c is not None
        and c.cluster_state.predictor.hits >= 1
        and not c.cluster_state.predictor.soft_reservations
    )


def test_room_is_returned_when_the_successor_is_cancelled_with_the_job_before_it() -> None:
    w = World(6)
    w.submit("wk-a", parcels=2, run_s=6.0, haulS=6.0)
    w.submit("wk-c", parcels=3, awaits=["wk-a"], kit="other", lot="next")
    c = w.scheduler
    assert c is not None
    for _ in range(200):
        w.step(0.1)
        if any(b.successor for b in c.cluster_state.predictor.soft_reservations):
            break
    assert any(b.successor == "wk-c" for b in c.cluster_state.predictor.soft_reservations)
    w.cancel("wk-a")
    w.run(1.0)
    assert not any(b.successor for b in c.cluster_state.predictor.soft_reservations)
    assert c.cluster_state.predictor.misses == 1


def until_last_task(w: World, job: str) -> None:
    """Steps until all tasks of the job but one have ended on their machines."""
    c = w.scheduler
    assert c is not None
    for _ in range(600):
        w.step(0.1)
        registry = c.jobs.get(JobId(job))
        if registry is None or registry.done_count >= registry.spec.task_count - 1:
            return
    raise AssertionError("never came to its last task")


@pytest.mark.parametrize("later", [0, 1, 2, 4, 8, 12, 20, 30])
@pytest.mark.parametrize("faults", [{}, {"txn_lost": 0.4, "txn_twice": 0.3}], ids=["", "lossy"])
def test_cancellation_meets_the_end_of_the_upstreams_last_task(
    faults: dict[str, Any], later: int
) -> None:
    """Whichever comes first in the store holds, for the job and for all after it."""
    w = World(9, **faults)
    w.submit("wk-a", parcels=3, run_s=4.0)
    w.submit("wk-b", parcels=2, awaits=["wk-a"], run_s=2.0)
    w.submit("wk-c", parcels=2, awaits=["wk-b"], run_s=2.0)
    until_last_task(w, "wk-a")
    for _ in range(later):
        w.step(0.1)
        w.poll_all()
    w.cancel("wk-a")
    for _ in range(100):
        w.step(0.1)
        w.poll_all()
    finish(w)
    w.poll_all()
    how = w.end_in_store("wk-a")
    assert how == w.end_in_store("wk-b") == w.end_in_store("wk-c")


@pytest.mark.parametrize("outage", [False, True], ids=["", "store away afterwards"])
@pytest.mark.parametrize("steps", range(6))
def test_cancellation_meets_the_submission_of_a_descendant(steps: int, outage: bool) -> None:
    """Accepted all the same, cancelled with the job that it names, whichever is written first."""
    w = World(10)
    w.submit("wk-a", parcels=3, run_s=30.0)
    w.submit("wk-b", parcels=2, awaits=["wk-a"], run_s=2.0)
    w.run(15.0)
    w.cancel("wk-a")
    for _ in range(steps):
        w.step(0.1)
        w.poll_all()
    w.submit("wk-late", parcels=2, awaits=["wk-b"], run_s=2.0)
    if outage:
        w.run(0.2)
        w.outage_until = w.now + 45.0
    for _ in range(20):
        w.step(0.1)
        w.poll_all()
    c = w.scheduler
    assert c is not None and w.end_in_store("wk-a") == users.CANCELLED
    for job in ("wk-b", "wk-late"):
        status = c.job_status(JobId(job))
        ended = w.end_in_store(job) == users.CANCELLED
        assert ended or status.state == users.CANCELLED  # type: ignore[union-attr]
    w.run(30.0)
    w.poll_all()
    finish(w)


@pytest.mark.parametrize("after", [0, 1, 2, 3, 5])
def test_leader_changes_between_the_first_end_and_the_last(after: int) -> None:
    """A wide fan-out takes many transactions; what was told holds under every leader."""
    w = World(11)
    w.submit("wk-a", parcels=1, run_s=60.0)
    for i in range(40):
        w.submit(f"wk-m{i}", parcels=1, awaits=["wk-a"], run_s=1.0)
    w.submit("wk-z", parcels=1, awaits=[f"wk-m{i}" for i in range(40)], run_s=1.0)
    w.run(10.0)
    w.cancel("wk-a")
    while w.end_in_store("wk-a") is None:
        w.step(0.1)
    w.poll_all()
    for _ in range(after):
        w.step(0.1)
        w.poll_all()
    w.elect()
    w.poll_all()
    for _ in range(40):
        w.step(0.1)
        w.poll_all()
    finish(w)
    assert {w.end_in_store(job) for job in w.jobs} == {users.CANCELLED}


def test_ends_of_a_wide_fan_out_hold_back_no_placement() -> None:
    """They are told already; what is ready must not wait until thousands of them are written."""
    w = World(12)
    w.submit("wk-a", parcels=1, run_s=60.0)
    for i in range(1500):
        w.submit(f"wk-m{i}", parcels=1, awaits=["wk-a"], run_s=1.0)
    w.run(6.0)
    w.cancel("wk-a")
    w.run(0.3)
    w.submit("wk-next", parcels=4, run_s=1.0)
    w.run(6.0)
    assert w.end_in_store("wk-next") == users.DONE
    c = w.scheduler
    assert c is not None and c.cluster_state.upstream_cancelled_jobs, (
        "not all of their ends are written yet"
    )
    w.poll_all()
    finish(w)


# ---------------------------------------------------------------- lists beside their job's record


def needs(w: World, job: str = "") -> list[str]:
    return [key for key in w.store.keys if key.startswith(f"needs/{job}")]


@pytest.mark.parametrize("how", [users.DONE, users.CANCELLED])
@pytest.mark.parametrize("faults", [{}, ROUGH], ids=["quiet", "rough"])
@pytest.mark.parametrize("seed", range(3))
def test_lists_of_dependencies_go_with_their_jobs_record(
    faults: dict[str, Any], seed: int, how: str
) -> None:
    """`Records._add_lists`. Under every change of leader a record is there only with its list (the
    simulated world asserts it when it elects), and what no record referred to stays."""
    w = World(seed, **faults)
    w.submit("wk-a", parcels=2, run_s=3.0)
    w.submit("wk-b", parcels=2, run_s=3.0)
    w.submit("wk-c", parcels=3, awaits=["wk-a", "wk-b"], run_s=3.0, parts=2)
    w.submit("wk-d", parcels=3, awaits=["wk-c"], run_s=3.0, parts=1)
    w.store.keys["needs/wk-e/other/0"] = (["wk-a"], 1, None)  # its acceptance may be under way
    for turn in range(12):
        w.run(1.5)
        w.poll_all()
        if faults and turn % 3 == 1:
            w.elect()
        if turn == 5 and how == users.CANCELLED:
            w.cancel("wk-c")
    finish(w)
    for _ in range(40):
        if not [key for key in w.store.keys if key.startswith("job/")]:
            break
        w.run(1.0)
    w.run(2.0)
    assert w.end_in_store("wk-d") == w.end_in_store("wk-c")
    assert needs(w) == ["needs/wk-e/other/0"]


def test_a_list_longer_than_a_transaction_goes_in_several() -> None:
    """`Records.lists` keeps what did not fit into the transaction that dropped the record."""
    w = World(0)
    w.store.txn_ops = 20
    names = [f"wk-{i}" for i in range(50)]
    for name in names:
        w.store.keys[f"end/{name}"] = ({"e": users.DONE, "n": 1}, 1, None)
        w.jobs[name] = submission(name)
    w.submit("wk-last", parcels=1, awaits=names, run_s=1.0, parts=50)
    c = w.scheduler
    assert c is not None
    for _ in range(400):
        w.step(0.1)
        if not needs(w):
            break
        if "job/wk-last" in w.store.keys:
            assert len(needs(w)) == 50, "never before the record that refers to it"
    assert not needs(w) and not c.transaction_writer.dependency_list_keys and not w.too_large


@pytest.mark.parametrize(
    ("outcome", "failed"),
    [
        (TransactionOutcome.REJECTED, ()),
        (TransactionOutcome.INDETERMINATE, ()),
        (TransactionOutcome.CONFLICT, ("end/wk-c",)),
    ],
)
def test_lists_are_dropped_again_after_a_write_that_failed(
    outcome: TransactionOutcome, failed: tuple[str, ...]
) -> None:
    """Only a transaction that was carried out takes a list off the records."""
    w = World(0)
    w.store.keys["end/wk-a"] = ({"e": users.CANCELLED, "n": 1}, 1, None)
    w.jobs["wk-a"] = submission("wk-a")
    w.submit("wk-c", parcels=1, awaits=["wk-a"], parts=1)
    c = w.scheduler
    assert c is not None
    now = MonotonicTime(w.now)
    for job in c.take_due_end_lookups(now, 20):
        c.on_end_lookup_result(job, users.CANCELLED, now)
    pending = c.next_transaction(now, 20)
    assert pending is not None and DeleteKey(needs(w)[0]) in pending.transaction.operations
    assert not c.on_transaction_result(pending, outcome, Revision(0), failed, now)
    w.run(3.0)
    assert not needs(w) and "job/wk-c" not in w.store.keys
    assert w.end_in_store("wk-c") == users.CANCELLED


def test_a_marker_whose_record_can_not_be_read_stays() -> None:
    """`Controller._load_markers`: without it the next leader that can read the record takes the
    job for open, calls it pending after its end was told, and starts its tasks again."""
    w = World(1)
    w.submit("wk-a", parcels=2, run_s=60.0)
    w.run(12.0)
    w.cancel("wk-a")
    while w.end_in_store("wk-a") is None:
        w.step(0.1)
    record = w.store.keys["job/wk-a"]
    assert "gone/wk-a" in w.store.keys
    w.store.keys["job/wk-a"] = ({"s": "of a later version"}, *record[1:])
    w.store.keys["gone/wk-z"] = ({"e": users.DONE}, 1, None)
    w.elect()
    w.run(2.0)
    assert "gone/wk-a" in w.store.keys and "gone/wk-z" not in w.store.keys
    w.store.keys["job/wk-a"] = record
    w.elect()
    w.poll_all()
    finish(w)
    w.run(30.0)
    assert "job/wk-a" not in w.store.keys and "gone/wk-a" not in w.store.keys


# ---------------------------------------------------------------- far downstream, and order


@pytest.mark.parametrize("trouble", ["", "leader", "store", "leader and late answers"])
@pytest.mark.parametrize("shape", ["deep", "wide"])
def test_all_downstream_is_told_in_time_however_far(shape: str, trouble: str) -> None:
    """From the confirmation on `DependencyGraph._cancel_downstream` makes hundreds of jobs
    `aborted` at once, whatever becomes of their own ends; the next leader finds them by
    `_EndLookup` and by the ends."""
    w = World(13, **({"txn_lost": 0.3} if "late" in trouble else {}))
    number = 250
    w.submit("wk-root", parcels=2, run_s=60.0)
    for i in range(number):
        before = "wk-root" if shape == "wide" or i == 0 else f"wk-{i - 1}"
        w.submit(f"wk-{i}", parcels=1, awaits=[before], run_s=1.0)
    w.run(8.0)
    w.cancel("wk-root")
    while "wk-root" not in w.told:
        w.step(0.1)
    if "leader" in trouble:
        w.elect()
    if "store" in trouble:
        w.outage_until = w.now + w.settings.cancel_s
    for _ in range(3):
        w.poll_all()
        w.step(0.1)
    until = w.now + w.settings.cancel_s
    c = w.scheduler
    assert c is not None
    while w.now < until:
        w.run(3.0)
        w.poll_all()
    told = [w.scheduler.job_status(JobId(f"wk-{i}")) for i in range(number)]  # type: ignore[union-attr]
    for i, status in enumerate(told):
        gone = w.end_in_store(f"wk-{i}") == users.CANCELLED
        assert gone or status.state == users.CANCELLED, i  # type: ignore[union-attr]
    finish(w)


@pytest.mark.parametrize("how", [users.DONE, users.CANCELLED])
def test_a_new_leader_finds_out_from_the_store_alone_what_may_start(how: str) -> None:
    """`DependencyGraph.add` and `take_due_end_lookups`: the job before it has ended under an
    earlier leader, and all that is left of it is its end."""
    w = World(14)
    w.submit("wk-a", parcels=1, run_s=2.0)
    w.submit("wk-b", parcels=2, awaits=["wk-a"], run_s=40.0)
    w.submit("wk-c", parcels=2, awaits=["wk-b"], run_s=1.0)
    if how == users.CANCELLED:
        w.cancel("wk-a")
    while w.end_in_store("wk-a") is None or "job/wk-a" in w.store.keys:
        w.step(0.1)
    w.elect()
    w.poll_all()
    w.run(12.0)
    c = w.scheduler
    assert c is not None
    job = c.jobs.get(JobId("wk-b"))
    if how == users.DONE:
        assert job is not None and job.running_count == 2
        w.elect()  # its tasks run: it was ready, and remains so without any read
        c = w.scheduler
        assert c.jobs.jobs[JobId("wk-b")].is_ready
    else:
        assert w.end_in_store("wk-c") == users.CANCELLED
    finish(w)


def test_the_deadline_counts_from_the_submission_all_else_from_readiness() -> None:
    """`ServiceLevelObjectives.latest_start_times` and `preemption_allowed_at`,
    `ClusterState._deadline_at`."""
    g = Graph()
    g.add("a")
    b = g.add("b", "a", lot="slow", dueS=100.0)
    g.now = 40.0
    g.end("a")
    assert b.is_ready and (b.submitted_at, b.ready_at) == (0.0, 40.0)
    promises = ServiceLevelObjectives({"slow": (8.0,)}, {"slow": (60.0,)}, {"slow": (1.0, 1.5)})
    assert promises.latest_start_times(b, 5.0) == [40 + 8.0, 40 + 60.0 - 5, 100.0 - 5, 150.0 - 5]
    assert promises.preemption_allowed_at(b, 3.0, 5.0) == 40 + 0.55 * 8.0
    w = World(0)
    w.submit("wk-a", parcels=1, run_s=5.0)
    w.submit("wk-b", parcels=1, awaits=["wk-a"], dueS=100.0)
    submitted = w.now
    c = w.scheduler
    assert c is not None
    b = c.jobs.jobs[JobId("wk-b")]
    while not b.is_ready:
        w.step(0.1)
    assert b.ready_at > submitted + 5 and c.cluster_state._deadline_at(b) == submitted + 100


@pytest.mark.parametrize("needed", [True, False])
def test_an_idle_job_that_an_urgent_one_needs_goes_first(needed: bool) -> None:
    """`DependencyGraph._raise_upstream`, and `order_jobs` by the job's priority, not its
    submission's."""
    w = World(15, capacity=1)
    w.submit("wk-fill", parcels=8, run_s=8.0)
    w.run(10.0)
    for i in range(4):
        w.submit(f"wk-other{i}", parcels=8, run_s=8.0)
    w.submit("wk-a", parcels=4, urgency="idle", run_s=2.0)
    w.submit("wk-b", parcels=1, urgency="urgent", awaits=["wk-a"] if needed else [], run_s=1.0)
    others = [f"wk-other{i}" for i in range(4)]
    while w.end_in_store("wk-a") is None:
        w.step(0.1)
    still = [job for job in others if w.end_in_store(job) is None]
    assert (len(still) >= 3) is needed
    finish(w)


def test_order_is_by_the_priority_that_is_needed() -> None:
    """`order_jobs`: the job's priority, which its dependents raise, not its submission's."""
    g = Graph()
    other = g.add("other", urgency="standard")
    a = g.add("a", urgency="idle")
    g.add("b", "a", urgency="urgent")
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


def test_waits_for_a_start_count_from_readiness() -> None:
    """`Machines` tells them to the operator, as the aims count them."""
    w = World(16)
    w.submit("wk-a", parcels=1, run_s=60.0)
    w.submit("wk-b", parcels=1, awaits=["wk-a"], run_s=5.0)
    finish(w)
    c = w.scheduler
    assert c is not None
    waits = c.take_start_latencies_s()
    assert len(waits) == 2 and max(waits) < 30.0, waits


def all_done_in_memory(w: World, job: str) -> None:
    """The store goes away before the job's last task ends, and stays away."""
    until_last_task(w, job)
    w.outage_until = w.now + 40.0
    c = w.scheduler
    assert c is not None
    while not c.jobs.jobs[JobId(job)].is_complete:
        w.step(0.1)
    assert w.end_in_store(job) is None


def test_a_job_submitted_when_the_last_task_before_it_is_over_waits_for_the_end() -> None:
    """`DependencyGraph.add` asks for a durable end, never for a count of tasks."""
    w = World(17)
    w.submit("wk-a", parcels=3, run_s=4.0)
    all_done_in_memory(w, "wk-a")
    w.submit("wk-b", parcels=1, awaits=["wk-a"], run_s=1.0)
    c = w.scheduler
    assert c is not None
    w.run(5.0)
    assert w.end_in_store("wk-a") is None and not c.jobs.jobs[JobId("wk-b")].is_ready
    finish(w)


def test_a_cancellation_after_the_last_task_leaves_the_chain_alone() -> None:
    """`Controller.cancel`: nobody knows yet, but the end that is on its way is `done`."""
    w = World(18)
    w.submit("wk-a", parcels=3, run_s=4.0)
    w.submit("wk-b", parcels=1, awaits=["wk-a"], run_s=1.0)
    all_done_in_memory(w, "wk-a")
    c = w.scheduler
    assert c is not None
    assert c.cancel_job(JobId("wk-a"), MonotonicTime(w.now)) is LookupFailure.UNDECIDED
    finish(w)
    assert w.end_in_store("wk-a") == w.end_in_store("wk-b") == users.DONE


def test_a_cancellation_that_is_only_asked_for_is_told_of_nobody_downstream() -> None:
    """`DependencyGraph.add`: the store is away, so it may yet come to nothing."""
    w = World(19)
    w.submit("wk-a", parcels=3, run_s=60.0)
    w.submit("wk-b", parcels=1, awaits=["wk-a"], run_s=1.0)
    w.run(8.0)
    w.outage_until = w.now + 20.0
    w.cancel("wk-a")
    w.submit("wk-late", parcels=1, awaits=["wk-a"], run_s=1.0)
    w.submit("wk-later", parcels=1, awaits=["wk-b"], run_s=1.0)
    for _ in range(50):
        w.step(0.1)
        w.poll_all()
    assert not w.told
    finish(w)
    assert {w.end_in_store(job) for job in w.jobs} == {users.CANCELLED}


@pytest.mark.parametrize("how", [users.DONE, users.CANCELLED])
def test_a_job_is_told_undecided_once_its_end_was_sent(how: str) -> None:
    """`Controller.status`: the end may be durable already and be told by whoever reads it."""
    w = World(20)
    w.submit("wk-a", parcels=3, run_s=4.0)
    w.submit("wk-b", parcels=1, awaits=["wk-a"], run_s=1.0)
    if how == users.DONE:
        all_done_in_memory(w, "wk-a")
    else:
        w.cancel("wk-a")
    c = w.scheduler
    assert c is not None
    assert isinstance(c.job_status(JobId("wk-a")), JobStatus), "not sent: nobody can have been told"
    pending = c.next_transaction(MonotonicTime(w.now + 1.0), 20)
    assert pending is not None
    assert c.job_status(JobId("wk-a")) is LookupFailure.UNDECIDED
    after = c.job_status(JobId("wk-b"))
    if how == users.CANCELLED:
        assert after is LookupFailure.UNKNOWN_JOB, "a fresh read can tell"
    else:
        assert isinstance(after, JobStatus) and after.state == users.PENDING


@pytest.mark.parametrize("how", [users.DONE, users.CANCELLED])
def test_a_job_that_waits_to_be_cleaned_up_has_ended_for_those_after_it(how: str) -> None:
    """`DependencyGraph.add`: it is in the job registry, but the end is what counts; `_load_ended`
    for those that a new leader loads before it finds the marker."""
    g = Graph()
    a = g.add("a")
    g.add("b", "a")
    a.outcome = how
    g._took(g.graph.on_job_ended(a.id, how, MonotonicTime(1.0)))
    g.add("late", "a")
    assert (g.ready, g.orphaned) == (
        (["a", "b", "late"], []) if how == users.DONE else (["a"], ["b", "late"])
    )
    w = World(21)
    w.submit("wk-a", parcels=1, run_s=60.0)
    w.submit("wk-b", parcels=1, awaits=["wk-a"], run_s=1.0)
    w.store.keys["end/wk-a"] = ({"e": how, "n": 1}, 9, None)
    w.store.keys["gone/wk-a"] = ({"e": how, "t": w.now}, 9, None)
    w.elect()
    c = w.scheduler
    assert c is not None
    b = c.jobs.jobs[JobId("wk-b")]
    assert (b.is_ready, b.upstream_cancelled) == (how == users.DONE, how == users.CANCELLED)
    w.poll_all()
    finish(w)


@pytest.mark.parametrize(
    ("confirmed", "name"),
    [
        ("before the election", "wk-a"),
        ("before the election", "wk-b"),
        ("by this leader", "wk-b"),  # which knows no more of wk-a than its end
    ],
)
def test_the_leader_tells_a_repeat_of_what_a_cancellation_reaches(
    confirmed: str, name: str
) -> None:
    """The job came after the cancellation was durable and its own end is not written yet: the
    leader tells `aborted` from what it knows, without a read."""
    w = World(27)
    w.submit("wk-a", parcels=1, run_s=60.0)
    w.submit("wk-b", parcels=1, awaits=["wk-a"], run_s=1.0)
    if confirmed == "by this leader":
        w.cancel("wk-a")
        while w.end_in_store("wk-a") is None and w.now < 200.0:
            w.step(0.1)
        assert w.end_in_store("wk-a") == users.CANCELLED
    else:
        w.store.keys["end/wk-a"] = ({"e": users.CANCELLED, "n": 1}, 9, None)
        w.store.keys["gone/wk-a"] = ({"e": users.CANCELLED, "t": w.now}, 9, None)
        w.elect()
    w.submit("wk-late", parcels=1, awaits=[name], run_s=1.0)
    c = w.scheduler
    assert c is not None
    late = c.jobs.get(JobId("wk-late"))
    assert JobId(name) in c.jobs and late is not None and late.outcome is None
    place = Place()
    place.node.leader_service.scheduler = c
    place.node.leader_service.user_answers = UserAnswers(
        place.node.leader_service,
        cast(Any, SimpleNamespace(is_within_lease=lambda now: True)),
        place.front,
        place.node.clock,
    )
    body = submission("wk-late", awaits=[name])
    for asking in (place.submit(body), place.poll("wk-late")):
        assert (asking.status, asking.answer["standing"]) == (200, users.CANCELLED)
    assert not place.store.asked
    w.poll_all()
    finish(w)


def test_the_leader_deletes_the_lists_that_it_accepted_itself() -> None:
    """`UserService._accept` tells the controller where the list is, as a record that is read does.
    After the deletion a repeated submission and a look-up are answered by the end that is left."""
    place = Place()
    before = names(1000)
    for name in before:
        place.ended(name, users.CANCELLED)
    w = World(22)
    c = w.scheduler
    assert c is not None
    place.node.leader_service.scheduler = c
    place.node.leader_service.process_events_soon = lambda: None
    place.node.leader_service.user_answers = SimpleNamespace(
        job_reply=lambda number, job: peers.JobReply(number, peers.UNKNOWN, 0, 0)
    )
    body = submission("wk-last", awaits=before)
    assert place.submit(body).status == 201
    assert place.store.sim.range("needs/wk-last/")
    now = MonotonicTime(w.now)
    for name in c.take_due_end_lookups(now, 2000):
        c.on_end_lookup_result(name, users.CANCELLED, now)
    while place.store.sim.range("needs/wk-last/"):
        pending = c.next_transaction(now, 20)
        assert pending is not None
        pending.transaction.conditions.pop("lead")  # the leader's key is in another store here
        assert place.store.sim.txn(pending.transaction.body())[0] == 200
        c.on_transaction_result(
            pending, TransactionOutcome.COMMITTED, Revision(place.store.sim.revision), (), now
        )
    assert not place.store.sim.range("job/wk-last")
    place.node.leader_service.scheduler = None
    for asking in (place.submit(body), place.poll("wk-last")):
        assert (asking.status, asking.answer["standing"]) == (200, users.CANCELLED)
    assert not place.store.sim.range("needs/"), "the repeat wrote no other list"


def test_no_ordinary_machines_are_kept_for_a_job_that_waits() -> None:
    """`PlanningPass._priority_barred_from_on_demand`: up to the priority of jobs that may start,
    not of those that wait."""
    w = World(23)
    w.submit("wk-a", parcels=50, urgency="idle", loaners=False, run_s=60.0)
    w.submit("wk-b", parcels=50, urgency="urgent", loaners=False, awaits=["wk-c"], run_s=5.0)
    w.jobs["wk-c"] = submission("wk-c")
    c = w.scheduler
    assert c is not None
    planning_pass = PlanningPass(
        c.planner.cluster, [], [], lambda machine_count: 0, MonotonicTime(w.now)
    )
    assert planning_pass._priority_barred_from_on_demand() == 0


@pytest.mark.parametrize("needed", [True, False])
def test_running_tasks_that_an_urgent_job_has_come_to_need_are_not_stopped(needed: bool) -> None:
    """`select_victims`: the descendant came after they were placed, as idle ones."""
    w = World(24, capacity=1)
    w.submit("wk-a", parcels=8, urgency="idle", run_s=60.0, haulS=60.0)
    w.run(12.0)
    c = w.scheduler
    assert c is not None
    a = c.jobs.jobs[JobId("wk-a")]
    assert a.running_count
    w.submit("wk-b", urgency="urgent", awaits=["wk-a"] if needed else [], cpus=0.5)
    standard = Graph().add("standard", urgency="standard")
    offers = [
        select_victims(standard, m, MonotonicTime(w.now))
        for m in c.inventory.machines.values()
        if m.placements and not m.free_cpus
    ]
    assert offers and all((offer is None) is needed for offer in offers)
