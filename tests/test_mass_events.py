"""Tests with hundreds of machines, many of which are affected by one event in the same second."""

from collections.abc import Callable

import pytest

from relay_world import RelayWorld
from test_scheduler_faults import finish

MACHINES = 240


def all_worker_leases_expire(world: RelayWorld) -> None:
    for worker in world.cloud.machines.values():
        worker.lease_renewed_at = -1e9


def a_third_of_machines_fails(world: RelayWorld) -> None:
    for i, worker in enumerate(list(world.cloud.machines.values())):
        if i % 3 == 0:
            worker.hangs_until = 1e9


def a_zone_hangs_and_recovers(world: RelayWorld) -> None:
    for worker in world.cloud.machines.values():
        if worker.zone == "b":
            worker.hangs_until = world.now + 1.5 * world.settings.lease_s


def all_nodes_restart(world: RelayWorld) -> None:
    for i in range(world.nodes):
        world.crash(i)


def nodes_restart_in_turn(world: RelayWorld) -> None:
    for i in range(world.nodes):
        world.crash(i)
        world.run(3)


def one_node_remains(world: RelayWorld) -> None:
    world.crash(world.leader)
    remaining = world.leader
    for i in range(world.nodes):
        if i != remaining:
            world.relays[i] = world.new_relay(i)
            world.cut_off_nodes.add(i)


def spot_machines_get_preemption_notice(world: RelayWorld) -> None:
    for worker in list(world.cloud.machines.values()):
        if worker.spot:
            worker.preemption_notice_s = 5.0


def three_leaders_and_a_third_of_machines_fail(world: RelayWorld) -> None:
    a_third_of_machines_fails(world)
    for _ in range(3):
        world.crash(world.leader)
        world.run(1)


@pytest.mark.parametrize(
    "event",
    [
        all_worker_leases_expire,
        a_third_of_machines_fails,
        a_zone_hangs_and_recovers,
        all_nodes_restart,
        nodes_restart_in_turn,
        one_node_remains,
        spot_machines_get_preemption_notice,
        three_leaders_and_a_third_of_machines_fail,
    ],
)
def test_jobs_finish_and_healthy_machines_survive_mass_event(
    event: Callable[[RelayWorld], None],
) -> None:
    """All jobs finish after the event, and no machine that kept reporting is deleted.

    `World.check` verifies the invariants in every step.
    """
    world = RelayWorld(11, capacity=MACHINES)
    for i in range(12):
        world.submit(f"wk-{i:06d}", run_s=25.0, parcels=100, cpus=2.0, loaners=i % 2 == 0)
    world.run(16)
    assert len(world.cloud.machines) > MACHINES * 0.8
    initial_machines = set(world.cloud.machines)
    event(world)
    affected = {
        name
        for name, worker in world.cloud.machines.items()
        if worker.hangs_until > world.now or worker.preemption_notice_s
    }
    world.run(12)
    if event is one_node_remains:
        reporting_nodes = {
            world.node_by_worker[name]
            for name in world.cloud.machines
            if name in world.node_by_worker
        }
        assert reporting_nodes == {world.leader}, (
            "some machines did not switch to the remaining node"
        )
    assert initial_machines - affected <= set(world.cloud.machines), "a healthy machine was deleted"
    finish(world, 200.0)
    assert set(world.reported_outcomes.values()) == {"done"} and len(world.reported_outcomes) == 12
