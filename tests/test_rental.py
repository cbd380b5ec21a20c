"""Renting and returning: what counts as supply, and what as demand."""

from typing import Any

import pytest

from eldercart.core import placement as rules
from eldercart.core.jobs import Job, JobBook
from eldercart.core.rental import Rental
from eldercart.settings import load_tuning
from eldercart.units import Steady
from eldercart.wire import users
from world import World, submission

TUNING = {
    "demand_memory_s": 60, "demand_spread": 1.5, "ordinary_spread": 0, "headroom_share": 0,
    "waiting_share": 1, "pause_s": 12,
}  # fmt: skip


def job(**changes: Any) -> Job:
    spec = users.parse_submission(submission("wk-000001", **changes))
    return JobBook(100).add(spec, 100, Steady(0.0))


def test_new_leader_counts_machines_it_knows_by_their_tasks() -> None:
    """Seen on a rollout day: the list was read, yet the machines known from placements alone
    counted for nothing until they reported, and as many were rented again within two seconds."""
    w = World(1, capacity=60)
    w.submit("wk-000001", run_s=60.0, cpus=4.0, parcels=40)
    w.run(20)
    before = set(w.cloud.machines)
    assert any(m.on() for m in w.cloud.machines.values())
    w.elect()
    c = w.controller
    assert c is not None
    for _ in range(30):  # no machine reports meanwhile
        w.now += 0.1
        c.tick(Steady(w.now))
        w.serve_cloud(c, Steady(w.now))
    assert c.cloud._list_seen
    assert set(w.cloud.machines) == before
    known = [c.fleet.machines[name] for name in before]
    assert all(m.zone != rules.UNKNOWN_ZONE and m.type.cpus > 0 for m in known)
    assert sum(m.free_cpus for m in known) == sum(m.type.cpus for m in known) - 40 * 4.0


@pytest.mark.parametrize("ordinary", [False, True])
def test_booked_room_stands_beside_the_demand_not_in_its_window(ordinary: bool) -> None:
    """A job that is booked for comes into the window when it arrives. Seen on a rollout day: with
    the bookings in it, too, what was rented stood a third above what was ever asked for."""
    rental = Rental(load_tuning(values=TUNING), {})
    work = job(parcels=100, cpus=1.0, loaners=not ordinary)
    booked = (80.0 if ordinary else 0.0, 80.0)
    for second in range(30):
        now = Steady(float(second))
        rental.arrived(now)
        rental.measure([work], booked if second % 2 else (0.0, 0.0), now)
    levels = rental.targets()
    assert levels[1] == pytest.approx(180.0), "what is booked now is rented for"
    assert levels[0] == pytest.approx(180.0 if ordinary else 0.0)
    rental.arrived(Steady(30.0))
    rental.measure([work], (0.0, 0.0), Steady(30.0))
    assert rental.targets()[1] == pytest.approx(100.0), "past bookings leave no trace"


def test_no_successor_is_guessed_once_submissions_have_stopped() -> None:
    """Seen on a rollout day: bookings for jobs that never came held 3,000 CPUs for a minute and a
    half after the last submission."""
    w = World(2, capacity=40, tuning=TUNING)
    for number in range(8):  # a stream, from which a successor can be told
        w.submit(f"wk-{number:06d}", run_s=1.0, haulS=1.0)
        w.run(3)
    w.submit("wk-000008", run_s=120.0, haulS=1.0)  # at its end any moment, by the estimate
    c = w.controller
    assert c is not None
    w.run(20)
    assert c.floor.predictor.bookings, "a successor is guessed while submissions come"
    w.run(40)  # twelve usual gaps, and past the end of every booking made before
    assert c.floor.rental.quiet
    assert not c.floor.predictor.bookings
    assert not w.all_ended(), "the job it could be guessed from must still run"
