"""Applies the cloud's answers to the inventory of machines."""

import logging

from eldercart.autoscaling.request_types import ScaleOutRequest
from eldercart.cluster.inventory import Machine, MachineState
from eldercart.jobs.job import Placement
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.scheduling.feasibility import UNKNOWN_ZONE
from eldercart.units import MachineId, MonotonicTime
from eldercart.wire import cloud
from eldercart.wire.cloud import ListedMachine, MachineType

log = logging.getLogger("eldercart.controller")

UNKNOWN_TYPE = "?"  # type of a machine of which only the id is known


def placeholder_type(name: str) -> MachineType:
    """Return a stand-in for a type that is not in the catalog.

    It has no capacity, so that no task is placed on machines of this type."""
    return MachineType(
        name=name,
        cpus=0.0,
        gpus=0.0,
        memory_gb=0.0,
        cache_gb=0.0,
        fetch_gb_per_s=1.0,
        price=0.0,
        spot_price=0.0,
        boot_s=60.0,
        zones=(),
    )


def apply_catalog(cluster: ClusterState, types: dict[str, MachineType], now: MonotonicTime) -> None:
    """Replace the machine types, and update the inventory's machines of these types."""
    is_first = not cluster.types
    cluster.types = types
    inventory = cluster.inventory
    for machine in inventory.machines.values():
        machine_type = types.get(machine.type.name)
        if machine_type is not None and machine_type is not machine.type:
            inventory.update_description(machine, machine_type, machine.zone, machine.is_spot)
    if is_first:
        cluster.request_planning()
        cluster.request_autoscaling(now)


def apply_deletion(cluster: ClusterState, machine_id: MachineId, now: MonotonicTime) -> None:
    """Remove a machine that the cloud has deleted, which proves that its tasks have ended."""
    cluster.pending_deletions.pop(machine_id, None)
    machine = cluster.inventory.get(machine_id)
    if machine is None:
        return
    placements = [*machine.placements.values(), *machine.prelaunch_queue.values()]
    log.info("machine deleted machine=%s tasks=%d", machine_id, len(placements))
    for placement in placements:
        if machine.is_spot and _was_long_task_running(cluster, placement, now):
            job = placement.job
            job.prefers_on_demand = job.next_unplaced_index >= job.spec.task_count
        cluster.cancel_placement(placement, now)
    cluster.inventory.mark_deleted(machine)


def _was_long_task_running(cluster: ClusterState, placement: Placement, now: MonotonicTime) -> bool:
    """Return whether the task was running and its job's expected run time is `shy_s` or longer."""
    return bool(
        placement.run_time_s(now) > 0
        and cluster.predictor.expected_run_s(placement.job) >= cluster.tuning.shy_s
    )


def add_created_machines(
    cluster: ClusterState,
    request: ScaleOutRequest,
    machine_ids: list[MachineId],
    now: MonotonicTime,
) -> None:
    """Add the machines that the cloud created for the request, unless they are known already."""
    inventory, offering = cluster.inventory, request.offering
    for machine_id in machine_ids:
        if inventory.get(machine_id) is None and not inventory.is_deleted(machine_id):
            machine_type = cluster.types.get(offering.type) or placeholder_type(offering.type)
            inventory.add(
                machine_id,
                machine_type,
                offering.zone,
                offering.is_spot,
                MachineState.BOOTING,
                request.sent_at,
                now,
            )


def add_unknown_machine(
    cluster: ClusterState,
    machine_id: MachineId,
    now: MonotonicTime,
    last_heartbeat_at: MonotonicTime,
) -> Machine:
    """Add a machine of which only the id is known, and return it.

    A `last_heartbeat_at` later than `now` gives the machine more time to send a heartbeat.
    """
    return cluster.inventory.add(
        machine_id,
        placeholder_type(UNKNOWN_TYPE),
        UNKNOWN_ZONE,
        is_spot=True,
        state=MachineState.UP,
        provisioned_at=now,
        last_heartbeat_at=last_heartbeat_at,
    )


def apply_listed_machines(
    cluster: ClusterState, listed: list[ListedMachine], now: MonotonicTime
) -> None:
    """Add the machines on one page of the cloud's list, or complete the data of known machines.

    Machines that the cloud lists as failed are deleted."""
    identified_count = 0
    for item in listed:
        if cluster.inventory.is_deleted(item.id):
            continue
        machine = cluster.inventory.get(item.id)
        if machine is None:
            machine = _add_listed_machine(cluster, item, now)
        elif machine.zone == UNKNOWN_ZONE:
            # The machine is known only from its tasks. The list gives its type and zone before the
            # first heartbeat does.
            machine_type = cluster.types.get(item.type) or placeholder_type(item.type)
            cluster.inventory.update_description(machine, machine_type, item.zone, item.spot)
            identified_count += 1
        if item.address and not machine.address:
            machine.address = item.address
        if item.state == cloud.FAILED and machine.state is not MachineState.DELETING:
            log.info("machine failed machine=%s", machine.id)
            cluster.request_deletion(machine, now)
    if identified_count:
        log.info("machines of recorded tasks listed count=%d", identified_count)


def _add_listed_machine(cluster: ClusterState, item: ListedMachine, now: MonotonicTime) -> Machine:
    machine_type = cluster.types.get(item.type) or placeholder_type(item.type)
    state = MachineState.UP if item.state == cloud.RUNNING else MachineState.BOOTING
    provisioned_at = MonotonicTime(now - item.age_s)
    # It may be new, or send heartbeats to another node, so it gets the full grace period.
    last_heartbeat_at = MonotonicTime(now + cluster.tuning.takeover_grace_s)
    machine = cluster.inventory.add(
        item.id, machine_type, item.zone, item.spot, state, provisioned_at, last_heartbeat_at
    )
    log.debug("machine listed machine=%s state=%s", machine.id, item.state)
    return machine
