"""Tests of scaling out and in: which machines count as supply, and what counts as demand."""

from eldercart.scheduling import feasibility
from eldercart.units import MonotonicTime
from world import World


def test_new_leader_counts_machines_known_only_by_their_tasks() -> None:
    """Guards against a second scale-out after a failover.

    The machine list had been read, but machines known only from placements did not count as supply
    until their first heartbeat. Within two seconds, the new leader requested as many again."""
    world = World(1, capacity=60)
    world.submit("wk-000001", run_s=60.0, cpus=4.0, parcels=40)
    world.run(20)
    machine_ids_before = set(world.cloud.machines)
    assert any(machine.running_tasks() for machine in world.cloud.machines.values())
    world.elect()
    scheduler = world.scheduler
    assert scheduler is not None
    for _ in range(30):  # no machine sends a heartbeat meanwhile
        world.now += 0.1
        scheduler.tick(MonotonicTime(world.now))
        world.serve_cloud(scheduler, MonotonicTime(world.now))
    assert scheduler.cloud_requests._has_full_list
    assert set(world.cloud.machines) == machine_ids_before
    known = [scheduler.inventory.machines[name] for name in machine_ids_before]
    assert all(
        machine.zone != feasibility.UNKNOWN_ZONE and machine.type.cpus > 0 for machine in known
    )
    assert (
        sum(machine.free_cpus for machine in known)
        == sum(machine.type.cpus for machine in known) - 40 * 4.0
    )


def test_no_successor_is_predicted_once_submissions_have_stopped() -> None:
    """Guards against reservations for predicted jobs that are never submitted: they held 3,000 CPUs
    for 90 s after the last submission."""
    world = World(2, capacity=40, tuning={"pause_s": 12})
    for number in range(8):  # a stream, from which a successor is predicted
        world.submit(f"wk-{number:06d}", run_s=1.0, haulS=1.0)
        world.run(3)
    # By its estimated run time, this job ends at any moment.
    world.submit("wk-000008", run_s=120.0, haulS=1.0)
    scheduler = world.scheduler
    assert scheduler is not None
    world.run(20)
    assert scheduler.cluster_state.predictor.soft_reservations, (
        "no successor is predicted while jobs are submitted"
    )
    # Longer than QUIET_AFTER_MEAN_GAPS (12) mean gaps of about 3 s. All earlier reservations have
    # expired by then.
    world.run(40)
    assert scheduler.cluster_state.autoscaler.is_quiet
    assert not scheduler.cluster_state.predictor.soft_reservations
    assert not world.all_ended(), "the job from which a successor could be predicted must still run"
