"""Tests of the predictions along dependency chains, and of the soft reservations made for them.

The tests cover chains whose last job is submitted late. The predictor of independent streams is
tested in `test_components`.
"""

from typing import Any

import pytest

from eldercart.jobs.job import Job
from eldercart.prediction.predictor import Predictor, ReservationContext
from eldercart.prediction.soft_reservations import ReservationOrigin, ReservationOutcomes
from eldercart.settings import load_tuning
from eldercart.units import JobId, MachineId, MonotonicTime
from eldercart.wire import users
from world import World, submission

BOOT_S = 10.0
AFTER_SUCCESSOR_TIMEOUT_S = 61.0  # just over the time in which a successor is expected
TEAM = "t2"


class Chains:
    """Drives a predictor with jobs that have short names, `<class>-<number>`."""

    def __init__(self, **tuning: Any) -> None:
        self.predictor = Predictor(load_tuning(values=tuning))
        self.now = 100.0
        self.ending: dict[JobId, float] = {}

    def submit(self, name: str, *dependencies: str, **changes: Any) -> Job:
        fields = {
            "lot": name.split("-")[0],
            "awaits": [f"wk-{dependency}" for dependency in dependencies],
        } | changes
        spec = users.parse_submission(submission(f"wk-{name}", **fields))
        job = Job(spec, 100, MonotonicTime(self.now))
        self.predictor.on_job_submitted(job)
        return job

    def end(self, *names: str, outcome: str = users.DONE) -> None:
        for name in names:
            self.ending.pop(JobId(f"wk-{name}"), None)
            self.predictor.on_chain_job_ended(JobId(f"wk-{name}"), outcome, MonotonicTime(self.now))

    def set_remaining(self, load: float = 0.0, **remaining_s: float) -> None:
        """Set in how many seconds each job ends (names with `_` for the dash), and reserve."""
        self.ending |= {
            JobId("wk-" + name.replace("_", "-")): seconds for name, seconds in remaining_s.items()
        }
        for prediction in self.predictor.chains.predict_successors(self.ending):
            self.predictor.reserve_for_chain(
                prediction,
                prediction.cpus,
                ReservationContext(BOOT_S, load, MonotonicTime(self.now)),
            )

    def advance(self, seconds: float) -> None:
        self.now += seconds
        self.predictor.expire(MonotonicTime(self.now))

    def run_chains(
        self, *stages: str, chain_count: int = 1, start: int = 1000, outcome: str = users.DONE
    ) -> None:
        """Run `chain_count` whole chains with one job of each class in `stages`.

        All jobs of a chain are submitted before the first one ends. The last job is done, and the
        others end with `outcome`.
        """
        for number in range(start, start + chain_count):
            names = [f"{stage}-{number}" for stage in stages]
            for i, name in enumerate(names):
                self.submit(name, *names[max(0, i - 1) : i])
            self.end(*names[:-1], outcome=outcome)
            self.end(names[-1])
            self.advance(AFTER_SUCCESSOR_TIMEOUT_S)

    def reserved(self) -> list[tuple[str, float]]:
        return [
            (reservation.pipeline[1], reservation.cpus)
            for reservation in self.predictor.soft_reservations
        ]

    @property
    def outcomes(self) -> tuple[int, int, int]:
        outcomes = self.predictor.reservation_outcomes[ReservationOrigin.CHAIN]
        return outcomes.hits, outcomes.misses, outcomes.expired


def submit_pair_and_end_first(chains: Chains, number: str = "1") -> None:
    """Submit the jobs a and b of a chain; a is done, b runs."""
    chains.submit(f"a-{number}")
    chains.submit(f"b-{number}", f"a-{number}")
    chains.end(f"a-{number}")


def test_late_last_job_claims_its_reservation() -> None:
    chains = Chains()
    chains.run_chains("a", "b", "c")
    submit_pair_and_end_first(chains)
    chains.set_remaining(b_1=3.0)
    assert chains.reserved() == [("c", 12.0)], "the average size of its successors"
    chains.end("b-1")
    chains.submit("c-1", "b-1")
    assert (chains.reserved(), chains.outcomes) == ([], (1, 0, 0))


def test_reservation_has_the_average_size_of_earlier_successors() -> None:
    chains = Chains()
    for number, tasks in ((1, 10), (2, 20)):
        submit_pair_and_end_first(chains, str(number))
        chains.submit(f"c-{number}", f"b-{number}", parcels=tasks)
        chains.end(f"b-{number}", f"c-{number}")
    submit_pair_and_end_first(chains, "3")
    chains.set_remaining(b_3=3.0)
    assert chains.reserved() == [("c", pytest.approx(0.7 * 20 + 0.3 * 40))]


def test_predicted_successor_depends_on_earlier_stages() -> None:
    """The successor of b is c after a, and d after x."""
    chains = Chains(path_length=2)
    chains.run_chains("a", "b", "c", chain_count=3)
    chains.run_chains("x", "b", "d", chain_count=3, start=2000)
    submit_pair_and_end_first(chains)
    chains.submit("x-2")
    chains.submit("b-2", "x-2")
    chains.end("x-2")
    chains.set_remaining(b_1=3.0, b_2=3.0)
    assert sorted(chains.reserved()) == [("c", 12.0), ("d", 12.0)]


def test_predicted_successor_depends_on_image() -> None:
    chains = Chains(path_length=1)
    for number, image, after in ((1, "one", "c"), (2, "two", "d")):
        chains.submit(f"a-{number}")
        chains.submit(f"b-{number}", f"a-{number}", kit=image)
        chains.submit(f"{after}-{number}", f"b-{number}")
        chains.end(f"a-{number}", f"b-{number}", f"{after}-{number}")
    for number, image, after in ((3, "one", "c"), (4, "two", "d")):
        chains.submit(f"a-{number}")
        chains.submit(f"b-{number}", f"a-{number}", kit=image)
        chains.end(f"a-{number}")
        chains.set_remaining(**{f"b_{number}": 3.0})
        assert chains.reserved()[-1] == (after, 12.0)


def test_unknown_path_falls_back_to_its_longest_known_suffix() -> None:
    chains = Chains(path_length=2)
    chains.run_chains("a", "b", "c")
    chains.submit("new-1")
    chains.submit("b-1", "new-1")
    chains.end("new-1")
    chains.set_remaining(b_1=3.0)
    assert chains.reserved() == [("c", 12.0)]


def test_nothing_is_reserved_where_chains_usually_end() -> None:
    """The end of a chain is counted like a successor. With equal counts nothing is reserved."""
    chains = Chains()
    chains.run_chains("a", "b", chain_count=2)
    chains.run_chains("a", "b", "c", chain_count=2, start=2000)
    submit_pair_and_end_first(chains)
    chains.set_remaining(b_1=3.0)
    assert chains.reserved() == []
    chains.end("b-1")
    chains.submit("c-1", "b-1")
    submit_pair_and_end_first(chains, "2")
    chains.set_remaining(b_2=3.0)
    assert chains.reserved() == [("c", 12.0)], "three chains that continued, two that ended"


def test_a_successor_that_is_submitted_is_not_predicted() -> None:
    chains = Chains()
    chains.run_chains("a", "b", "c")
    submit_pair_and_end_first(chains)
    chains.submit("c-1", "b-1")
    chains.set_remaining(b_1=3.0)
    assert chains.reserved() == []


@pytest.mark.parametrize(
    ("jobs", "done", "expected_classes"),
    [
        (3, 3, ["c"]),
        (5, 3, ["c"]),  # 60% done: the usual successor of jobs that are done
        (9, 5, []),
        (2, 1, []),  # between the thresholds
        (5, 2, ["other"]),  # 40% done: the usual successor of aborted jobs
        (3, 0, ["other"]),
    ],
)
def test_success_ratio_thresholds_select_the_expected_outcome(
    jobs: int, done: int, expected_classes: list[str]
) -> None:
    chains = Chains(path_length=2)
    if done:
        chains.run_chains("a", "b", "c", chain_count=done)
    for number in range(jobs - done):
        submit_pair_and_end_first(chains, f"x{number}")
        chains.submit(f"other-x{number}", f"b-x{number}")
        chains.end(f"b-x{number}", outcome=users.CANCELLED)
    submit_pair_and_end_first(chains)
    chains.set_remaining(b_1=3.0)
    assert [job_class for job_class, _ in chains.reserved()] == expected_classes


def test_fan_in_of_one_chain_has_one_reservation_after_its_last_job() -> None:
    """Four siblings have one late successor, which depends on all of them."""
    chains = Chains()

    def siblings(number: int) -> list[str]:
        chains.submit(f"a-{number}")
        names = [f"b-{number}{i}" for i in range(4)]
        for name in names:
            chains.submit(name, f"a-{number}")
        chains.end(f"a-{number}")
        return names

    chains.end(*siblings(1))
    chains.submit("c-1", "b-10", "b-11", "b-12", "b-13")
    names = siblings(2)
    chains.set_remaining(b_20=1.0, b_21=2.0, b_22=3.0)
    assert chains.reserved() == [], "one of the siblings does not end soon"
    chains.set_remaining(b_23=9.0)
    assert (
        chains.reserved() == [("c", 12.0)]
        and chains.predictor.soft_reservations[0].expires_at == chains.now + 9.0 + BOOT_S
    )
    chains.set_remaining(b_22=9.5)
    chains.end(*names[:2])
    chains.set_remaining()
    assert chains.reserved() == [("c", 12.0)], "another sibling ends last now"
    chains.end(*names[2:])
    chains.submit("c-2", *names)
    assert (chains.reserved(), chains.outcomes) == ([], (1, 0, 0))


def test_fan_in_of_several_chains_has_one_reservation() -> None:
    """The late job depends on the last jobs of two otherwise separate chains.

    Another pair of the same chains gets its own reservation.
    """
    chains = Chains()

    def two_chains(number: int) -> None:
        for first, second in (("a", "b"), ("x", "y")):
            chains.submit(f"{first}-{number}")
            chains.submit(f"{second}-{number}", f"{first}-{number}")
            chains.end(f"{first}-{number}")

    two_chains(1)
    chains.end("b-1", "y-1")
    chains.submit("c-1", "b-1", "y-1")
    two_chains(2)
    two_chains(3)
    chains.set_remaining(b_2=3.0, y_2=6.0)
    assert (
        chains.reserved() == [("c", 12.0)]
        and chains.predictor.soft_reservations[0].expires_at == chains.now + 6.0 + BOOT_S
    )
    chains.set_remaining(b_3=3.0, y_3=6.0)
    assert len(chains.reserved()) == 2
    chains.end("b-2", "y-2")
    chains.submit("c-2", "b-2", "y-2")
    assert (len(chains.reserved()), chains.outcomes) == (1, (1, 0, 0))


def test_new_fan_in_claims_one_reservation_and_releases_the_other() -> None:
    chains = Chains()
    chains.run_chains("a", "b", "c")
    chains.run_chains("x", "y", "c", start=2000)
    submit_pair_and_end_first(chains)
    chains.submit("x-1")
    chains.submit("y-1", "x-1")
    chains.end("x-1")
    chains.set_remaining(b_1=3.0, y_1=3.0)
    assert len(chains.reserved()) == 2
    chains.submit("c-1", "b-1", "y-1")
    assert (chains.reserved(), chains.outcomes) == ([], (1, 1, 0))


def test_wide_fan_in_is_not_kept_in_the_statistics() -> None:
    """One job depends on thousands of jobs with different paths. The statistics have one entry for
    each path and no fan-in, so their size stays bounded."""
    chains = Chains()
    names = [f"b-{i}" for i in range(3000)]
    for i, name in enumerate(names):
        chains.submit(name, kit=f"image-{i}")
    chains.submit("c-1", *names)
    chains.end(*names)
    table = chains.predictor.chains._table.by_path
    assert len(table) == 3000
    assert not any(
        successor.fan_in
        for statistics in table.values()
        for successor in statistics.successors["done"].by_pipeline.values()
    )


def test_successor_recorded_before_its_dependency_is_not_predicted_but_counted() -> None:
    """A new leader may load the record of a successor before that of its dependency."""
    chains = Chains()
    chains.run_chains("a", "b", "c")
    after = chains.submit("c-1", "b-1")
    upstream = submission("wk-b-1", lot="b", awaits=["wk-a-1"])
    job = Job(users.parse_submission(upstream), 100, MonotonicTime(chains.now))
    chains.predictor.on_job_submitted(job, [after])
    chains.set_remaining(b_1=3.0)
    assert chains.reserved() == []
    chains.end("b-1")
    chains.advance(AFTER_SUCCESSOR_TIMEOUT_S)
    submit_pair_and_end_first(chains, "2")
    chains.set_remaining(b_2=3.0)
    assert chains.reserved() == [("c", 12.0)], "the chain counts as continued"


def test_miss_releases_the_reserved_capacity() -> None:
    chains = Chains()
    chains.run_chains("a", "b", "c")
    submit_pair_and_end_first(chains)
    chains.set_remaining(b_1=3.0)
    chains.submit("other-1", "b-1")
    assert (chains.reserved(), chains.outcomes) == ([], (0, 1, 0))
    assert chains.predictor.reserved_cpus() == (0.0, 0.0)


def test_unclaimed_reservation_expires_one_boot_time_after_the_upstream_end() -> None:
    """While the upstream job still runs, the reservation is kept and no outcome is counted."""
    chains = Chains()
    chains.run_chains("a", "b", "c")
    submit_pair_and_end_first(chains)
    chains.set_remaining(b_1=3.0)
    chains.advance(8.0)
    chains.set_remaining(b_1=0.0)
    chains.advance(8.0)
    assert chains.reserved() == [("c", 12.0)]
    chains.end("b-1")
    chains.set_remaining()
    chains.advance(2.5)
    assert (chains.reserved(), chains.outcomes) == ([], (0, 0, 1))


def test_aborted_upstream_job_releases_the_reservation() -> None:
    """The jobs that depend on a cancelled job are cancelled too, so its successor never runs."""
    chains = Chains()
    chains.run_chains("a", "b", "c")
    submit_pair_and_end_first(chains)
    chains.set_remaining(b_1=3.0)
    chains.end("b-1", outcome=users.CANCELLED)
    assert (chains.reserved(), chains.outcomes) == ([], (0, 1, 0))


@pytest.mark.parametrize(("load", "depth"), [(0.5, 6), (0.7, 6), (0.75, 5), (0.8, 5), (0.9, 4)])
def test_load_limits_reservations_per_pipeline(load: float, depth: int) -> None:
    chains = Chains()
    chains.run_chains("a", "b", "c")
    for number in range(10):
        submit_pair_and_end_first(chains, str(number))
    chains.set_remaining(load, **{f"b_{number}": 3.0 for number in range(10)})
    assert len(chains.reserved()) == depth


def test_job_without_dependencies_is_predicted_only_after_three_chains() -> None:
    """A job without dependencies may be independent, even if a similar job began a chain."""
    chains = Chains()
    for number in range(3):
        chains.submit(f"a-{number}")
        chains.set_remaining(**{f"a_{number}": 3.0})
        assert chains.reserved() == []
        chains.end(f"a-{number}")
        chains.submit(f"b-{number}", f"a-{number}")
    chains.submit("a-9")
    chains.set_remaining(a_9=3.0)
    assert chains.reserved() == [("b", 12.0)]


def test_independent_jobs_are_not_predicted_along_chains() -> None:
    chains = Chains()
    for number in range(5):
        chains.submit(f"a-{number}")
        chains.end(f"a-{number}")
    chains.advance(AFTER_SUCCESSOR_TIMEOUT_S)
    chains.submit("a-8")
    chains.end("a-8")
    chains.submit("b-8", "a-8")
    chains.submit("a-9")
    chains.set_remaining(a_9=3.0)
    assert chains.reserved() == [] and len(chains.predictor.chains._jobs) == 3


def test_independent_job_claims_no_chain_reservation() -> None:
    chains = Chains()
    chains.run_chains("a", "b", "c")
    submit_pair_and_end_first(chains)
    chains.set_remaining(b_1=3.0)
    chains.predictor.on_job_ready(chains.submit("c-7"))
    assert chains.reserved() == [("c", 12.0)] and chains.outcomes == (0, 0, 0)
    assert chains.predictor.reservation_outcomes[ReservationOrigin.STREAM] == ReservationOutcomes()


def test_job_with_dependencies_is_not_part_of_a_stream() -> None:
    """It doesn't claim the stream's reservation, and no stream reservation follows it."""
    chains = Chains()
    independent = [chains.submit(f"c-{number}") for number in range(6)]
    for job in independent:
        chains.predictor.on_job_ready(job)
        chains.predictor.on_stream_job_ended(job, users.DONE)
    chains.predictor.reserve_for_stream(
        independent[-1], 1.0, ReservationContext(BOOT_S, 0.0, MonotonicTime(chains.now))
    )
    assert chains.reserved() == [("c", pytest.approx(12.0))]
    chains.submit("b-1")
    late = chains.submit("c-9", "b-1")
    chains.predictor.on_job_ready(late)
    chains.predictor.reserve_for_stream(
        late, 1.0, ReservationContext(BOOT_S, 0.0, MonotonicTime(chains.now))
    )
    assert chains.reserved() == [("c", pytest.approx(12.0))]
    assert chains.predictor.reservation_outcomes[ReservationOrigin.STREAM] == ReservationOutcomes()


def test_job_is_not_counted_before_its_end() -> None:
    """Only persisted ends are counted, since a running job may still be cancelled."""
    chains = Chains()
    submit_pair_and_end_first(chains)
    chains.submit("c-1", "b-1")
    submit_pair_and_end_first(chains, "2")
    chains.set_remaining(b_2=3.0)
    assert chains.reserved() == []
    assert set(chains.predictor.chains._table.by_path) == {("t2/a/img",)}, (
        "the path of the two jobs that are done"
    )


def test_reserved_cpus_exclude_those_held_by_the_upstream_job() -> None:
    chains = Chains()
    chains.run_chains("a", "b", "c")
    submit_pair_and_end_first(chains)
    chains.set_remaining(b_1=3.0)
    assert chains.predictor.reserved_cpus() == (0.0, 12.0)
    assert chains.predictor.reserved_cpus(lambda job: 4.0 if job == "wk-b-1" else 0.0) == (0.0, 8.0)


# ---------------------------------------------------------------- tests in the simulated world


def test_capacity_is_reserved_for_last_jobs_that_are_submitted_late(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The same chain repeats, and its last job is submitted only after the others have ended.

    From the second chain on, its capacity is reserved one boot time ahead.
    """
    world = World(6, tuning={"flush_done_s": 1.0})
    scheduler = world.scheduler
    assert scheduler is not None
    outcomes = scheduler.cluster_state.predictor.reservation_outcomes[ReservationOrigin.CHAIN]
    reserved_before_end = 0
    for number in range(4):
        first, second, last = (f"wk-{name}{number}" for name in "abc")
        world.submit(first, parcels=2, lot="first", run_s=4.0, haulS=4.0)
        world.submit(second, parcels=2, lot="second", awaits=[first], run_s=4.0, haulS=4.0)
        reserved = False
        while world.end_in_store(second) is None:
            world.step(0.1)
            reserved |= any(
                reservation.pipeline == (TEAM, "third")
                for reservation in scheduler.cluster_state.predictor.soft_reservations
            )
        reserved_before_end += reserved
        world.run(1.0)
        world.submit(last, parcels=3, lot="third", awaits=[second], run_s=4.0, dueS=60.0)
        while world.end_in_store(last) is None:
            world.step(0.1)
    assert reserved_before_end == 3
    assert (outcomes.hits, outcomes.misses, outcomes.expired) == (3, 0, 0)
    with caplog.at_level("INFO", "eldercart.controller"):
        world.run(11.0)
    assert any("chain=3/0/0" in message for message in caplog.messages), (
        "the summary logs outcomes by origin"
    )


@pytest.mark.parametrize(
    ("crew", "parcels", "cpus"),
    [("t2", 20, 40.0), ("t1", 30, 40.0)],
    ids=["usual size", "at most what its team may use"],
)
def test_reserved_capacity_is_rented_one_boot_time_before_the_end(
    crew: str, parcels: int, cpus: float
) -> None:
    """The reservation counts as demand after the cluster has scaled in to what the chain uses.

    It is made no earlier than the shortest boot time (5 s) before the estimated end. The quota of
    team t1 is 40 CPUs.
    """
    world = World(7, tuning={"flush_done_s": 1.0})
    scheduler = world.scheduler
    assert scheduler is not None
    last = {"parcels": parcels, "lot": "third", "crew": crew, "run_s": 4.0}
    reserved: list[tuple[float, float]] = []
    for number in range(2):
        world.submit(f"wk-a{number}", parcels=1, lot="first", run_s=4.0, haulS=4.0)
        second = f"wk-b{number}"
        world.submit(
            second, parcels=1, lot="second", awaits=[f"wk-a{number}"], run_s=15.0, haulS=15.0
        )
        while world.end_in_store(second) is None:
            world.step(0.1)
            reserved += [
                (world.now, reservation.cpus)
                for reservation in scheduler.cluster_state.predictor.soft_reservations
                if reservation.origin is ReservationOrigin.CHAIN
            ]
        ended = world.now
        rented = sum(machine.type["cpus"] for machine in world.cloud.machines.values())
        world.submit(f"wk-c{number}", awaits=[second], **last)
        world.run(10.0)
        assert (rented < cpus) is (number == 0)
        while world.end_in_store(f"wk-c{number}") is None or (
            number == 0 and len(scheduler.inventory.machines)
        ):
            world.step(0.1)
    assert {size for _, size in reserved} == {cpus}
    assert 3.0 <= ended - reserved[0][0] <= 8.0, "boot time, heartbeat and write"


def test_reserved_capacity_is_used_by_waiting_tasks() -> None:
    """A reservation isn't bound to a machine and excludes no job.

    Capacity that was rented for it is used by a job submitted meanwhile, even one of the lowest
    priority, and nothing more is rented for that job.
    """
    world = World(7, tuning={"flush_done_s": 1.0})
    scheduler = world.scheduler
    assert scheduler is not None
    last = {"parcels": 20, "lot": "third", "crew": "t2", "run_s": 4.0}
    expected_cpus = 40.0
    for number in range(2):
        world.submit(f"wk-a{number}", parcels=1, lot="first", run_s=4.0, haulS=4.0)
        second = f"wk-b{number}"
        world.submit(
            second, parcels=1, lot="second", awaits=[f"wk-a{number}"], run_s=20.0, haulS=15.0
        )
        for _ in range(600):
            if number == 1 or world.end_in_store(second) is not None:
                break
            world.step(0.1)
        if number == 0:
            world.submit("wk-c0", awaits=[second], **last)
            for _ in range(2000):
                world.step(0.1)
                if world.end_in_store("wk-c0") is not None and not scheduler.inventory.machines:
                    break
    end = world.now + 40.0
    while world.now < end:
        world.step(0.1)
        booted_cpus = {
            machine.id: machine.type["cpus"]
            for machine in world.cloud.machines.values()
            if machine.boots_at <= world.now
        }
        if sum(booted_cpus.values()) >= expected_cpus:
            break
    reserved = [
        reservation.cpus
        for reservation in scheduler.cluster_state.predictor.soft_reservations
        if reservation.origin is ReservationOrigin.CHAIN
    ]
    assert reserved == [expected_cpus] and sum(booted_cpus.values()) >= expected_cpus, (
        "capacity is rented and the reservation is not claimed"
    )
    world.submit("wk-other", parcels=19, lot="other", urgency="idle", run_s=20.0)
    used: set[str] = set()
    for _ in range(80):
        world.step(0.1)
        used = {
            task_key
            for machine in world.cloud.machines.values()
            if machine.id in booted_cpus
            for task_key in machine.running_tasks()
        }
    assert len([key for key in used if key.startswith("wk-other/")]) == 19, (
        "all tasks run within 8 s"
    )


@pytest.mark.parametrize("image", ["x", "y"])
def test_tasks_are_placed_on_machines_that_cache_their_image(image: str) -> None:
    """Reservations aren't bound to machines: cached images decide where a task is placed."""
    world = World(7)
    scheduler = world.scheduler
    assert scheduler is not None
    for name in ("x", "y"):
        world.submit(f"wk-{name}", parcels=1, cpus=5.0, kit=name, run_s=6.0)
    for _ in range(600):
        world.step(0.1)
        if world.all_ended():
            break
    cached_images_by_machine = {
        machine.id: set(machine.cached_images) for machine in scheduler.inventory.machines.values()
    }
    assert sorted(map(sorted, cached_images_by_machine.values())) == [["x"], ["y"]], (
        "each of the two machines caches one image"
    )
    world.submit("wk-next", parcels=1, cpus=5.0, kit=image, run_s=2.0)
    used_machines: set[str] = set()
    for _ in range(300):
        world.step(0.1)
        used_machines |= {
            machine.id
            for machine in world.cloud.machines.values()
            if any("next" in key for key in machine.running_tasks())
        }
    assert (
        len(used_machines) == 1
        and image in cached_images_by_machine[MachineId(used_machines.pop())]
    )
