"""Predictions along chains: what follows a job whose user submits the last one late, and the room
booked for it. The predictor of independent streams is tested in `test_parts`."""

from typing import Any

import pytest

from eldercart.jobs.job import Job
from eldercart.prediction.predictor import Predictor, ReservationWindow
from eldercart.prediction.soft_reservations import ReservationOrigin, ReservationOutcomes
from eldercart.settings import load_tuning
from eldercart.units import JobId, MachineId, MonotonicTime
from eldercart.wire import users
from world import World, submission

BOOT_S = 10.0
SETTLED_S = 61.0  # after which no successor is expected any more
TEAM = "t2"


class Chains:
    """A predictor that is told of jobs by short names, as `class-number`."""

    def __init__(self, **tuning: Any) -> None:
        self.predictor = Predictor(load_tuning(values=tuning))
        self.now = 100.0
        self.ending: dict[JobId, float] = {}

    def submit(self, name: str, *awaits: str, **changes: Any) -> Job:
        fields = {"lot": name.split("-")[0], "awaits": [f"wk-{a}" for a in awaits]} | changes
        spec = users.parse_submission(submission(f"wk-{name}", **fields))
        job = Job(spec, 100, MonotonicTime(self.now))
        self.predictor.on_job_submitted(job)
        return job

    def end(self, *names: str, how: str = users.DONE) -> None:
        for name in names:
            self.ending.pop(JobId(f"wk-{name}"), None)
            self.predictor.on_chain_job_ended(JobId(f"wk-{name}"), how, MonotonicTime(self.now))

    def near_end(self, load: float = 0.0, **left: float) -> None:
        """Tells for each job (with `_` for the dash) in how many seconds it ends."""
        self.ending |= {JobId("wk-" + n.replace("_", "-")): s for n, s in left.items()}
        for expected in self.predictor.chains.predict_successors(self.ending):
            self.predictor.reserve_for_chain(
                expected, expected.cpus, ReservationWindow(BOOT_S, load, MonotonicTime(self.now))
            )

    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.predictor.expire(MonotonicTime(self.now))

    def learn(self, *stages: str, times: int = 1, start: int = 1000, how: str = users.DONE) -> None:
        """Whole chains of these classes, each job submitted as soon as those before it; all but
        the last end as `how` says."""
        for number in range(start, start + times):
            names = [f"{stage}-{number}" for stage in stages]
            for i, name in enumerate(names):
                self.submit(name, *names[max(0, i - 1) : i])
            self.end(*names[:-1], how=how)
            self.end(names[-1])
            self.wait(SETTLED_S)

    def reserved(self) -> list[tuple[str, float]]:
        return [(b.pipeline[1], b.cpus) for b in self.predictor.soft_reservations]

    @property
    def outcomes(self) -> tuple[int, int, int]:
        outcomes = self.predictor.reservation_outcomes[ReservationOrigin.CHAIN]
        return outcomes.hits, outcomes.misses, outcomes.expired


def running_pair(chains: Chains, number: str = "1") -> None:
    """The jobs a and b of a chain; a is done."""
    chains.submit(f"a-{number}")
    chains.submit(f"b-{number}", f"a-{number}")
    chains.end(f"a-{number}")


def test_late_last_job_finds_its_booking() -> None:
    c = Chains()
    c.learn("a", "b", "c")
    running_pair(c)
    c.near_end(b_1=3.0)
    assert c.reserved() == [("c", 12.0)], "its usual size"
    c.end("b-1")
    c.submit("c-1", "b-1")
    assert (c.reserved(), c.outcomes) == ([], (1, 0, 0))


def test_usual_size_is_learned() -> None:
    c = Chains()
    for number, tasks in ((1, 10), (2, 20)):
        running_pair(c, str(number))
        c.submit(f"c-{number}", f"b-{number}", parcels=tasks)
        c.end(f"b-{number}", f"c-{number}")
    running_pair(c, "3")
    c.near_end(b_3=3.0)
    assert c.reserved() == [("c", pytest.approx(0.7 * 20 + 0.3 * 40))]


def test_path_tells_branches_apart() -> None:
    """b goes on with c after a, and with d after x."""
    c = Chains(path_length=2)
    c.learn("a", "b", "c", times=3)
    c.learn("x", "b", "d", times=3, start=2000)
    running_pair(c)
    c.submit("x-2")
    c.submit("b-2", "x-2")
    c.end("x-2")
    c.near_end(b_1=3.0, b_2=3.0)
    assert sorted(c.reserved()) == [("c", 12.0), ("d", 12.0)]


def test_images_tell_branches_apart() -> None:
    c = Chains(path_length=1)
    for number, image, after in ((1, "one", "c"), (2, "two", "d")):
        c.submit(f"a-{number}")
        c.submit(f"b-{number}", f"a-{number}", kit=image)
        c.submit(f"{after}-{number}", f"b-{number}")
        c.end(f"a-{number}", f"b-{number}", f"{after}-{number}")
    for number, image, after in ((3, "one", "c"), (4, "two", "d")):
        c.submit(f"a-{number}")
        c.submit(f"b-{number}", f"a-{number}", kit=image)
        c.end(f"a-{number}")
        c.near_end(**{f"b_{number}": 3.0})
        assert c.reserved()[-1] == (after, 12.0)


def test_unknown_path_falls_back_on_its_known_end() -> None:
    c = Chains(path_length=2)
    c.learn("a", "b", "c")
    c.submit("new-1")
    c.submit("b-1", "new-1")
    c.end("new-1")
    c.near_end(b_1=3.0)
    assert c.reserved() == [("c", 12.0)]


def test_nothing_is_booked_where_chains_normally_end() -> None:
    """That a chain ended is counted like a successor; with as many of both nothing is booked."""
    c = Chains()
    c.learn("a", "b", times=2)
    c.learn("a", "b", "c", times=2, start=2000)
    running_pair(c)
    c.near_end(b_1=3.0)
    assert c.reserved() == []
    c.end("b-1")
    c.submit("c-1", "b-1")
    running_pair(c, "2")
    c.near_end(b_2=3.0)
    assert c.reserved() == [("c", 12.0)], "three that went on against two"


def test_a_successor_that_is_submitted_is_not_predicted() -> None:
    c = Chains()
    c.learn("a", "b", "c")
    running_pair(c)
    c.submit("c-1", "b-1")
    c.near_end(b_1=3.0)
    assert c.reserved() == []


@pytest.mark.parametrize(
    ("jobs", "done", "booked"),
    [
        (3, 3, ["c"]),
        (5, 3, ["c"]),  # 60% done: the successor of those that are done
        (9, 5, []),
        (2, 1, []),  # between
        (5, 2, ["other"]),
        (3, 0, ["other"]),  # 40% done: that of the aborted ones
    ],
)
def test_two_thresholds(jobs: int, done: int, booked: list[str]) -> None:
    c = Chains(path_length=2)
    if done:
        c.learn("a", "b", "c", times=done)
    for number in range(jobs - done):
        running_pair(c, f"x{number}")
        c.submit(f"other-x{number}", f"b-x{number}")
        c.end(f"b-x{number}", how=users.CANCELLED)
    running_pair(c)
    c.near_end(b_1=3.0)
    assert [klass for klass, _ in c.reserved()] == booked


def test_fan_in_of_one_chain_is_booked_once_and_for_the_last() -> None:
    """Four siblings whose late successor awaits all of them."""
    c = Chains()

    def siblings(number: int) -> list[str]:
        c.submit(f"a-{number}")
        names = [f"b-{number}{i}" for i in range(4)]
        for name in names:
            c.submit(name, f"a-{number}")
        c.end(f"a-{number}")
        return names

    c.end(*siblings(1))
    c.submit("c-1", "b-10", "b-11", "b-12", "b-13")
    names = siblings(2)
    c.near_end(b_20=1.0, b_21=2.0, b_22=3.0)
    assert c.reserved() == [], "one of them does not end yet"
    c.near_end(b_23=9.0)
    assert (
        c.reserved() == [("c", 12.0)]
        and c.predictor.soft_reservations[0].expires_at == c.now + 9.0 + BOOT_S
    )
    c.near_end(b_22=9.5)
    c.end(*names[:2])
    c.near_end()
    assert c.reserved() == [("c", 12.0)], "another ends last now"
    c.end(*names[2:])
    c.submit("c-2", *names)
    assert (c.reserved(), c.outcomes) == ([], (1, 0, 0))


def test_fan_in_of_several_chains_is_booked_once() -> None:
    """The late job awaits the ends of two chains that have nothing else in common; the next pair
    of them is booked by itself."""
    c = Chains()

    def two_chains(number: int) -> None:
        for first, second in (("a", "b"), ("x", "y")):
            c.submit(f"{first}-{number}")
            c.submit(f"{second}-{number}", f"{first}-{number}")
            c.end(f"{first}-{number}")

    two_chains(1)
    c.end("b-1", "y-1")
    c.submit("c-1", "b-1", "y-1")
    two_chains(2)
    two_chains(3)
    c.near_end(b_2=3.0, y_2=6.0)
    assert (
        c.reserved() == [("c", 12.0)]
        and c.predictor.soft_reservations[0].expires_at == c.now + 6.0 + BOOT_S
    )
    c.near_end(b_3=3.0, y_3=6.0)
    assert len(c.reserved()) == 2
    c.end("b-2", "y-2")
    c.submit("c-2", "b-2", "y-2")
    assert (len(c.reserved()), c.outcomes) == (1, (1, 0, 0))


def test_fan_in_that_was_not_known_takes_one_booking_and_returns_the_other() -> None:
    c = Chains()
    c.learn("a", "b", "c")
    c.learn("x", "y", "c", start=2000)
    running_pair(c)
    c.submit("x-1")
    c.submit("y-1", "x-1")
    c.end("x-1")
    c.near_end(b_1=3.0, y_1=3.0)
    assert len(c.reserved()) == 2
    c.submit("c-1", "b-1", "y-1")
    assert (c.reserved(), c.outcomes) == ([], (1, 1, 0))


def test_wide_fan_in_costs_no_more_than_its_jobs() -> None:
    """Thousands of different paths into one job: what is kept of them stays bounded."""
    c = Chains()
    names = [f"b-{i}" for i in range(3000)]
    for i, name in enumerate(names):
        c.submit(name, kit=f"image-{i}")
    c.submit("c-1", *names)
    c.end(*names)
    table = c.predictor.chains._table.by_path
    assert len(table) == 3000
    assert not any(
        s.fan_in for e in table.values() for s in e.successors["done"].by_pipeline.values()
    )


def test_successor_that_was_learned_of_first_is_not_predicted_nor_taken_for_an_end() -> None:
    """A take-over reads the records in no order of the chain."""
    c = Chains()
    c.learn("a", "b", "c")
    after = c.submit("c-1", "b-1")
    upstream = submission("wk-b-1", lot="b", awaits=["wk-a-1"])
    job = Job(users.parse_submission(upstream), 100, MonotonicTime(c.now))
    c.predictor.on_job_submitted(job, [after])
    c.near_end(b_1=3.0)
    assert c.reserved() == []
    c.end("b-1")
    c.wait(SETTLED_S)
    running_pair(c, "2")
    c.near_end(b_2=3.0)
    assert c.reserved() == [("c", 12.0)], "one more that went on"


def test_miss_returns_the_room() -> None:
    c = Chains()
    c.learn("a", "b", "c")
    running_pair(c)
    c.near_end(b_1=3.0)
    c.submit("other-1", "b-1")
    assert (c.reserved(), c.outcomes) == ([], (0, 1, 0))
    assert c.predictor.reserved_cpus() == (0.0, 0.0)


def test_unused_room_expires_one_boot_after_the_end() -> None:
    """As long as the upstream job goes on, its booking is kept and nothing is counted."""
    c = Chains()
    c.learn("a", "b", "c")
    running_pair(c)
    c.near_end(b_1=3.0)
    c.wait(8.0)
    c.near_end(b_1=0.0)
    c.wait(8.0)
    assert c.reserved() == [("c", 12.0)]
    c.end("b-1")
    c.near_end()
    c.wait(2.5)
    assert (c.reserved(), c.outcomes) == ([], (0, 0, 1))


def test_aborted_upstream_returns_the_room() -> None:
    """All that awaits a cancelled job is cancelled: no successor of use will come."""
    c = Chains()
    c.learn("a", "b", "c")
    running_pair(c)
    c.near_end(b_1=3.0)
    c.end("b-1", how=users.CANCELLED)
    assert (c.reserved(), c.outcomes) == ([], (0, 1, 0))


@pytest.mark.parametrize(("load", "depth"), [(0.5, 6), (0.7, 6), (0.75, 5), (0.8, 5), (0.9, 4)])
def test_depth_is_capped_by_load(load: float, depth: int) -> None:
    c = Chains()
    c.learn("a", "b", "c")
    for number in range(10):
        running_pair(c, str(number))
    c.near_end(load, **{f"b_{number}": 3.0 for number in range(10)})
    assert len(c.reserved()) == depth


def test_one_that_awaits_nothing_needs_more_evidence() -> None:
    """It may well be independent, even if another of its kind began a chain."""
    c = Chains()
    for number in range(3):
        c.submit(f"a-{number}")
        c.near_end(**{f"a_{number}": 3.0})
        assert c.reserved() == []
        c.end(f"a-{number}")
        c.submit(f"b-{number}", f"a-{number}")
    c.submit("a-9")
    c.near_end(a_9=3.0)
    assert c.reserved() == [("b", 12.0)]


def test_independent_jobs_are_not_predicted_along_chains() -> None:
    c = Chains()
    for number in range(5):
        c.submit(f"a-{number}")
        c.end(f"a-{number}")
    c.wait(SETTLED_S)
    c.submit("a-8")
    c.end("a-8")
    c.submit("b-8", "a-8")
    c.submit("a-9")
    c.near_end(a_9=3.0)
    assert c.reserved() == [] and len(c.predictor.chains._jobs) == 3


def test_independent_job_takes_no_room_of_a_chain() -> None:
    c = Chains()
    c.learn("a", "b", "c")
    running_pair(c)
    c.near_end(b_1=3.0)
    c.predictor.on_job_ready(c.submit("c-7"))
    assert c.reserved() == [("c", 12.0)] and c.outcomes == (0, 0, 0)
    assert c.predictor.reservation_outcomes[ReservationOrigin.STREAM] == ReservationOutcomes()


def test_job_of_a_chain_is_not_the_next_of_the_stream() -> None:
    """Neither does it take the stream's booking, nor is one made after it."""
    c = Chains()
    independent = [c.submit(f"c-{number}") for number in range(6)]
    for job in independent:
        c.predictor.on_job_ready(job)
        c.predictor.on_stream_job_ended(job, users.DONE)
    c.predictor.reserve_for_stream(
        independent[-1], 1.0, ReservationWindow(BOOT_S, 0.0, MonotonicTime(c.now))
    )
    assert c.reserved() == [("c", pytest.approx(12.0))]
    c.submit("b-1")
    late = c.submit("c-9", "b-1")
    c.predictor.on_job_ready(late)
    c.predictor.reserve_for_stream(late, 1.0, ReservationWindow(BOOT_S, 0.0, MonotonicTime(c.now)))
    assert c.reserved() == [("c", pytest.approx(12.0))]
    assert c.predictor.reservation_outcomes[ReservationOrigin.STREAM] == ReservationOutcomes()


def test_nothing_is_learned_before_the_end() -> None:
    """What is counted has really happened: a job may be cancelled yet."""
    c = Chains()
    running_pair(c)
    c.submit("c-1", "b-1")
    running_pair(c, "2")
    c.near_end(b_2=3.0)
    assert c.reserved() == []
    assert set(c.predictor.chains._table.by_path) == {("t2/a/img",)}, "of the two that are done"


def test_room_that_the_upstream_holds_is_not_asked_for_twice() -> None:
    c = Chains()
    c.learn("a", "b", "c")
    running_pair(c)
    c.near_end(b_1=3.0)
    assert c.predictor.reserved_cpus() == (0.0, 12.0)
    assert c.predictor.reserved_cpus(lambda job: 4.0 if job == "wk-b-1" else 0.0) == (0.0, 8.0)


# ---------------------------------------------------------------- in the simulated world


def test_room_is_booked_for_last_jobs_that_are_submitted_late(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Chains that repeat; the last job is submitted only when the others are over, and from the
    second chain on it finds its room booked one boot ahead."""
    w = World(6, tuning={"flush_done_s": 1.0})
    c = w.scheduler
    assert c is not None
    tally = c.cluster_state.predictor.reservation_outcomes[ReservationOrigin.CHAIN]
    booked_before_the_end = 0
    for number in range(4):
        first, second, last = (f"wk-{name}{number}" for name in "abc")
        w.submit(first, parcels=2, lot="first", run_s=4.0, haulS=4.0)
        w.submit(second, parcels=2, lot="second", awaits=[first], run_s=4.0, haulS=4.0)
        booked = False
        while w.end_in_store(second) is None:
            w.step(0.1)
            booked |= any(
                b.pipeline == (TEAM, "third") for b in c.cluster_state.predictor.soft_reservations
            )
        booked_before_the_end += booked
        w.run(1.0)
        w.submit(last, parcels=3, lot="third", awaits=[second], run_s=4.0, dueS=60.0)
        while w.end_in_store(last) is None:
            w.step(0.1)
    assert booked_before_the_end == 3
    assert (tally.hits, tally.misses, tally.expired) == (3, 0, 0)
    with caplog.at_level("INFO", "eldercart.controller"):
        w.run(11.0)
    assert any("chain=3/0/0" in message for message in caplog.messages), "logged by origin"


@pytest.mark.parametrize(
    ("crew", "parcels", "cpus"),
    [("t2", 20, 40.0), ("t1", 30, 40.0)],
    ids=["usual size", "at most what its team may use"],
)
def test_booked_room_is_rented_one_boot_before_the_end(
    crew: str, parcels: int, cpus: float
) -> None:
    """The booking counts as demand when the fleet has shrunk to what the chain uses, and not
    earlier than the shortest boot (5 s) ahead of the end. Team t1 may use 40 CPUs."""
    w = World(7, tuning={"flush_done_s": 1.0})
    c = w.scheduler
    assert c is not None
    last = {"parcels": parcels, "lot": "third", "crew": crew, "run_s": 4.0}
    booked: list[tuple[float, float]] = []
    for number in range(2):
        w.submit(f"wk-a{number}", parcels=1, lot="first", run_s=4.0, haulS=4.0)
        second = f"wk-b{number}"
        w.submit(second, parcels=1, lot="second", awaits=[f"wk-a{number}"], run_s=15.0, haulS=15.0)
        while w.end_in_store(second) is None:
            w.step(0.1)
            booked += [
                (w.now, b.cpus)
                for b in c.cluster_state.predictor.soft_reservations
                if b.origin is ReservationOrigin.CHAIN
            ]
        ended = w.now
        rented = sum(m.type["cpus"] for m in w.cloud.machines.values())
        w.submit(f"wk-c{number}", awaits=[second], **last)
        w.run(10.0)
        assert (rented < cpus) is (number == 0)
        while w.end_in_store(f"wk-c{number}") is None or (
            number == 0 and len(c.inventory.machines)
        ):
            w.step(0.1)
    assert {size for _, size in booked} == {cpus}
    assert 3.0 <= ended - booked[0][0] <= 8.0, "a boot, a report and a write"


def test_booked_room_is_used_by_tasks_that_wait() -> None:
    """A booking names no machine and keeps nobody out: what was rented for it goes to a job that
    came meanwhile, even of the lowest priority, and nothing more is rented for that."""
    w = World(7, tuning={"flush_done_s": 1.0})
    c = w.scheduler
    assert c is not None
    last = {"parcels": 20, "lot": "third", "crew": "t2", "run_s": 4.0}
    room = 40.0
    for number in range(2):
        w.submit(f"wk-a{number}", parcels=1, lot="first", run_s=4.0, haulS=4.0)
        second = f"wk-b{number}"
        w.submit(second, parcels=1, lot="second", awaits=[f"wk-a{number}"], run_s=20.0, haulS=15.0)
        for _ in range(600):
            if number == 1 or w.end_in_store(second) is not None:
                break
            w.step(0.1)
        if number == 0:
            w.submit("wk-c0", awaits=[second], **last)
            for _ in range(2000):
                w.step(0.1)
                if w.end_in_store("wk-c0") is not None and not c.inventory.machines:
                    break
    end = w.now + 40.0
    while w.now < end:
        w.step(0.1)
        up = {m.id: m.type["cpus"] for m in w.cloud.machines.values() if m.boots_at <= w.now}
        if sum(up.values()) >= room:
            break
    booked = [
        b.cpus
        for b in c.cluster_state.predictor.soft_reservations
        if b.origin is ReservationOrigin.CHAIN
    ]
    assert booked == [room] and sum(up.values()) >= room, "rented, and nobody has taken it"
    w.submit("wk-other", parcels=19, lot="other", urgency="idle", run_s=20.0)
    used: set[str] = set()
    for _ in range(80):
        w.step(0.1)
        used = {k for m in w.cloud.machines.values() if m.id in up for k in m.on()}
    assert len([key for key in used if key.startswith("wk-other/")]) == 19, "all, within 8 s"


@pytest.mark.parametrize("image", ["x", "y"])
def test_tasks_go_where_their_image_is(image: str) -> None:
    """Bookings name no machine; where a task goes is decided by what the machines hold."""
    w = World(7)
    c = w.scheduler
    assert c is not None
    for name in ("x", "y"):
        w.submit(f"wk-{name}", parcels=1, cpus=5.0, kit=name, run_s=6.0)
    for _ in range(600):
        w.step(0.1)
        if w.all_ended():
            break
    holds = {m.id: set(m.cached_images) for m in c.inventory.machines.values()}
    assert sorted(map(sorted, holds.values())) == [["x"], ["y"]], "one each, and both are empty"
    w.submit("wk-next", parcels=1, cpus=5.0, kit=image, run_s=2.0)
    on: set[str] = set()
    for _ in range(300):
        w.step(0.1)
        on |= {m.id for m in w.cloud.machines.values() if any("next" in key for key in m.on())}
    assert len(on) == 1 and image in holds[MachineId(on.pop())]
