"""Checks whether tasks of a job may run on a machine or a machine type.

The checks cover machine types, zones, free capacity and team quotas. They are hard constraints;
the choice among feasible machines is made in `machine_selection`.
"""

from typing import NamedTuple

from eldercart.cluster.inventory import RESOURCE_EPSILON, Machine, MachineInventory
from eldercart.settings.platform import Team
from eldercart.wire.cloud import MachineType
from eldercart.wire.users import JobSpec

UNKNOWN_ZONE = "?"  # zone of a machine that is known only from the placements on it
UNLIMITED_TASKS = 100_000  # more tasks than any job has


class TaskShape(NamedTuple):
    """Requirements of a task on a machine. If one task fits nowhere, no task of the same shape
    does."""

    cpus: float
    gpus: float
    memory_gb: float
    machine_types: tuple[str, ...] | None
    zone: str | None
    allows_spot: bool


def shape_of(spec: JobSpec) -> TaskShape:
    """Return the shape of the job's tasks."""
    return TaskShape(
        spec.cpus, spec.gpus, spec.memory_gb, spec.machine_types, spec.zone, spec.allows_spot
    )


def fits_machine_type(spec: JobSpec, machine_type: MachineType) -> bool:
    """Return whether one task of the job fits an empty machine of that type.

    If the job requires a zone, the type must be offered there."""
    return (
        (spec.machine_types is None or machine_type.name in spec.machine_types)
        and (spec.zone is None or spec.zone in machine_type.zones)
        and spec.cpus <= machine_type.cpus + RESOURCE_EPSILON
        and spec.gpus <= machine_type.gpus + RESOURCE_EPSILON
        and spec.memory_gb <= machine_type.memory_gb + RESOURCE_EPSILON
    )


def rejection_reason(
    spec: JobSpec, types: dict[str, MachineType], teams: dict[str, Team]
) -> str | None:
    """Return why the job can never run, as text for the user, or None if it can run."""
    team = teams.get(spec.team)
    if team is None:
        return "unknown team"
    if team.cpus_max > 0 and spec.cpus > team.cpus_max + RESOURCE_EPSILON:
        return "over the team's limit"
    if team.gpus_max > 0 and spec.gpus > team.gpus_max + RESOURCE_EPSILON:
        return "over the team's limit"
    if not any(fits_machine_type(spec, machine_type) for machine_type in types.values()):
        return "fits no allowed machine type"
    return None


def is_feasible(spec: JobSpec, machine: Machine) -> bool:
    """Return whether the job allows the machine: its type, its zone, and spot if it is one."""
    return (
        (spec.allows_spot or not machine.is_spot)
        and (spec.machine_types is None or machine.type.name in spec.machine_types)
        and (spec.zone is None or spec.zone == machine.zone)
    )


def count_fitting(spec: JobSpec, cpus: float, gpus: float, memory_gb: float) -> int:
    """Return how many tasks of the job fit into the given capacity."""
    task_count = UNLIMITED_TASKS
    if spec.cpus > 0:
        task_count = tasks_within(cpus, spec.cpus)
        if task_count <= 0:
            return 0
    if spec.gpus > 0:
        task_count = min(task_count, tasks_within(gpus, spec.gpus))
    if spec.memory_gb > 0:
        task_count = min(task_count, tasks_within(memory_gb, spec.memory_gb))
    return task_count


def tasks_within(capacity: float, task_size: float) -> int:
    """Return how many tasks of a size above 0 fit into a capacity, which may be negative.

    The result is at most `UNLIMITED_TASKS`, also for a size whose reciprocal is infinite.
    """
    return int(min(UNLIMITED_TASKS, max(0.0, capacity + RESOURCE_EPSILON) / task_size))


def capacity_for(spec: JobSpec, machine: Machine) -> int:
    """Return how many more tasks of the job fit on the machine now.

    Capacity is not available if it belongs to tasks that may still run there, or is reserved for
    other jobs in this planning pass."""
    return count_fitting(
        spec,
        machine.free_cpus - machine.reserved_cpus,
        machine.free_gpus - machine.reserved_gpus,
        machine.free_memory_gb - machine.reserved_memory_gb,
    )


def capacity_after_terminations(spec: JobSpec, machine: Machine) -> int:
    """Return what `capacity_for` will return once all tasks being killed there have ended."""
    return count_fitting(
        spec,
        machine.free_cpus - machine.reserved_cpus + machine.terminating_cpus,
        machine.free_gpus - machine.reserved_gpus + machine.terminating_gpus,
        machine.free_memory_gb - machine.reserved_memory_gb + machine.terminating_memory_gb,
    )


def quota_headroom(spec: JobSpec, inventory: MachineInventory, teams: dict[str, Team]) -> int:
    """Return how many more tasks of the job its team's quota allows."""
    team = teams.get(spec.team)
    if team is None:
        return 0
    task_count = UNLIMITED_TASKS
    if team.cpus_max > 0 and spec.cpus > 0:
        remaining = team.cpus_max - inventory.cpus_by_team.get(spec.team, 0.0)
        task_count = min(task_count, tasks_within(remaining, spec.cpus))
    if team.gpus_max > 0 and spec.gpus > 0:
        remaining = team.gpus_max - inventory.gpus_by_team.get(spec.team, 0.0)
        task_count = min(task_count, tasks_within(remaining, spec.gpus))
    return task_count


def exceeds_quota(spec: JobSpec, inventory: MachineInventory, teams: dict[str, Team]) -> bool:
    """Return whether the tasks of the job's team that may be running exceed the team's quota.

    The task of this job to be judged is already counted among them."""
    team = teams.get(spec.team)
    if team is None:
        return True
    cpus = inventory.cpus_by_team.get(spec.team, 0.0)
    gpus = inventory.gpus_by_team.get(spec.team, 0.0)
    return (
        0 < team.cpus_max < cpus - RESOURCE_EPSILON or 0 < team.gpus_max < gpus - RESOURCE_EPSILON
    )
