"""Renting and returning: what counts as supply, and what as demand."""

from eldercart.scheduling import feasibility
from eldercart.units import MonotonicTime
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
    c = w.scheduler
    assert c is not None
    for _ in range(30):  # no machine reports meanwhile
        w.now += 0.1
        c.tick(MonotonicTime(w.now))
        w.serve_cloud(c, MonotonicTime(w.now))
    assert c.cloud_requests._has_full_list
    assert set(w.cloud.machines) == before
    known = [c.inventory.machines[name] for name in before]
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
    c = w.scheduler
    assert c is not None
    w.run(20)
    assert c.cluster_state.predictor.soft_reservations, (
        "a successor is guessed while submissions come"
    )
    w.run(40)  # twelve usual gaps, and past the end of every booking made before
    assert c.cluster_state.autoscaler.is_quiet
    assert not c.cluster_state.predictor.soft_reservations
    assert not w.all_ended(), "the job it could be guessed from must still run"
