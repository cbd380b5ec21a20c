"""Tests of scaling out and in: which machines count as supply, and what counts as demand."""

from eldercart.scheduling import feasibility
from eldercart.units import MonotonicTime
from world import World


def test_new_leader_counts_machines_known_only_by_their_tasks() -> None:
    """Guards against a second scale-out after a failover.

    The machine list had been read, but machines known only from placements did not count as supply
    until their first heartbeat. Within two seconds, the new leader requested as many again."""
    w = World(1, capacity=60)
    w.submit("wk-000001", run_s=60.0, cpus=4.0, parcels=40)
    w.run(20)
    machine_ids_before = set(w.cloud.machines)
    assert any(m.running_tasks() for m in w.cloud.machines.values())
    w.elect()
    c = w.scheduler
    assert c is not None
    for _ in range(30):  # no machine sends a heartbeat meanwhile
        w.now += 0.1
        c.tick(MonotonicTime(w.now))
        w.serve_cloud(c, MonotonicTime(w.now))
    assert c.cloud_requests._has_full_list
    assert set(w.cloud.machines) == machine_ids_before
    known = [c.inventory.machines[name] for name in machine_ids_before]
    assert all(m.zone != feasibility.UNKNOWN_ZONE and m.type.cpus > 0 for m in known)
    assert sum(m.free_cpus for m in known) == sum(m.type.cpus for m in known) - 40 * 4.0


def test_no_successor_is_predicted_once_submissions_have_stopped() -> None:
    """Guards against reservations for predicted jobs that are never submitted: they held 3,000 CPUs
    for 90 s after the last submission."""
    w = World(2, capacity=40, tuning={"pause_s": 12})
    for number in range(8):  # a stream, from which a successor is predicted
        w.submit(f"wk-{number:06d}", run_s=1.0, haulS=1.0)
        w.run(3)
    # By its estimated run time, this job ends at any moment.
    w.submit("wk-000008", run_s=120.0, haulS=1.0)
    c = w.scheduler
    assert c is not None
    w.run(20)
    assert c.cluster_state.predictor.soft_reservations, (
        "no successor is predicted while jobs are submitted"
    )
    w.run(40)  # longer than twelve mean gaps, and all earlier reservations expire
    assert c.cluster_state.autoscaler.is_quiet
    assert not c.cluster_state.predictor.soft_reservations
    assert not w.all_ended(), "the job from which a successor could be predicted must still run"
