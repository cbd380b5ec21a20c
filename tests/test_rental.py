"""Renting and returning: what counts as supply, and what as demand."""

from eldercart.scheduling import feasibility
from eldercart.units import Steady
from world import World


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
    assert all(m.zone != feasibility.UNKNOWN_ZONE and m.type.cpus > 0 for m in known)
    assert sum(m.free_cpus for m in known) == sum(m.type.cpus for m in known) - 40 * 4.0


def test_no_successor_is_guessed_once_submissions_have_stopped() -> None:
    """Seen on a rollout day: bookings for jobs that never came held 3,000 CPUs for a minute and a
    half after the last submission."""
    w = World(2, capacity=40, tuning={"pause_s": 12})
    for number in range(8):  # a stream, from which a successor can be told
        w.submit(f"wk-{number:06d}", run_s=1.0, haulS=1.0)
        w.run(3)
    w.submit("wk-000008", run_s=120.0, haulS=1.0)  # at its end any moment, by the estimate
    c = w.controller
    assert c is not None
    w.run(20)
    assert c.scheduler.predictor.bookings, "a successor is guessed while submissions come"
    w.run(40)  # twelve usual gaps, and past the end of every booking made before
    assert c.scheduler.rental.quiet
    assert not c.scheduler.predictor.bookings
    assert not w.all_ended(), "the job it could be guessed from must still run"
