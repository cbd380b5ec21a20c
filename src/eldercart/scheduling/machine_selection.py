"""Selects the machines for the tasks of a job, by score and under the job's zone constraints."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from eldercart.cluster.inventory import Machine, MachineInventory
from eldercart.jobs.job import Job, PlacementPhase
from eldercart.scheduling import zone_constraints
from eldercart.scheduling.feasibility import (
    capacity_for,
    is_feasible,
    quota_headroom,
)
from eldercart.settings.platform import Team
from eldercart.units import MonotonicTime
from eldercart.wire.users import JobSpec

MIN_FETCH_GB_PER_S = 1e-3  # lower bound of the rate that a machine type states, which may be 0


class MachineScore(NamedTuple):
    """How well a machine suits a job, compared field by field; lower is better."""

    is_other_kind: bool  # spot where the job should use on-demand, or the other way round
    fetch_s: float
    price_per_cpu: float
    free_cpus: float


@dataclass(frozen=True, slots=True)
class Assignment:
    """A number of tasks of a job for one machine."""

    machine: Machine
    task_count: int


class _Candidate(NamedTuple):
    """A feasible machine, and the number of tasks of the job that fit on it now."""

    machine: Machine
    capacity: int


def pending_fetch_gb(machine: Machine, image: str) -> float:
    """Return the GB of other images that tasks on the machine wait for.

    Images that a machine fetches at the same time share its fetch rate."""
    if not machine.live_task_count:
        return 0.0
    sizes_gb = {
        placement.job.spec.image: placement.job.spec.image_gb
        for placement in machine.placements.values()
        if placement.phase < PlacementPhase.RUNNING
        and (not placement.has_been_reported or placement.phase is PlacementPhase.FETCHING)
    }
    return sum(size_gb for name, size_gb in sizes_gb.items() if name != image)


def score(spec: JobSpec, machine: Machine, *, prefers_on_demand: bool = False) -> MachineScore:
    """Return how well the machine suits tasks of the job.

    The criteria, in order:
    - On-demand machines are left for jobs that can't use spot machines.
    - A cached image, as known from heartbeats and starts, or the shortest fetch.
    - The cheaper machine type, so that more expensive machines become empty and are returned.
    - The fullest machine, so that whole machines become empty.

    `prefers_on_demand` is for jobs that the reclaim of a spot machine has interrupted. A task that
    was still running then is probably long, and its work could be lost again on a spot machine.
    """
    machine_type = machine.type
    fetch_s = 0.0
    if spec.image not in machine.cached_images:
        fetch_gb = spec.image_gb + pending_fetch_gb(machine, spec.image)
        fetch_s = fetch_gb / max(machine_type.fetch_gb_per_s, MIN_FETCH_GB_PER_S)
    price = machine_type.spot_price if machine.is_spot else machine_type.price
    return MachineScore(
        machine.is_spot if prefers_on_demand else spec.allows_spot and not machine.is_spot,
        fetch_s,
        price / max(machine_type.cpus, 1.0),
        machine.free_cpus,
    )


def select_machines(
    job: Job,
    wanted: int,
    machines: Iterable[Machine],
    inventory: MachineInventory,
    teams: dict[str, Team],
    now: MonotonicTime,
) -> list[Assignment]:
    """Return machines for at most `wanted` tasks of the job, the best scores first.

    The assignments respect the quota of the job's team and the job's zone constraints."""
    wanted = min(wanted, quota_headroom(job.spec, inventory, teams))
    if wanted <= 0:
        return []
    candidates = _feasible_machines(job, machines, now)
    if not candidates:
        return []
    spec = job.spec
    zones: dict[str, int] = {}
    if zone_constraints.is_zone_bound(spec):
        zones = zone_constraints.tasks_by_zone(job, inventory)
        if zone_constraints.must_wait(job, zones):
            # After a failover, until the machines of recorded tasks have sent heartbeats.
            return []
    if spec.single_zone:
        # Tasks that may still run count, even on a machine that is being deleted.
        zone = next(iter(zones)) if zones else _zone_with_most_capacity(candidates, wanted)
        candidates = [candidate for candidate in candidates if candidate.machine.zone == zone]
    zone_limit = zone_constraints.max_tasks_in_zone(spec) if spec.spread else None
    return _assign_in_order(candidates, wanted, zones, zone_limit)


def _feasible_machines(
    job: Job, machines: Iterable[Machine], now: MonotonicTime
) -> list[_Candidate]:
    """Return the machines where at least one task of the job fits now, the best score first."""
    spec = job.spec
    candidates = [
        _Candidate(machine, capacity)
        for machine in machines
        if machine.launch_backoff_until <= now
        and is_feasible(spec, machine)
        and not job.avoids_machine(machine.id, now)
        and (capacity := capacity_for(spec, machine)) > 0
    ]
    prefers_on_demand = job.prefers_on_demand
    candidates.sort(
        key=lambda candidate: (
            score(spec, candidate.machine, prefers_on_demand=prefers_on_demand),
            candidate.machine.id,  # tie-breaker
        )
    )
    return candidates


def _zone_with_most_capacity(candidates: list[_Candidate], wanted: int) -> str:
    """Return the zone with capacity for the most of the wanted tasks."""
    capacity: dict[str, int] = {}
    for machine, task_count in candidates:
        capacity[machine.zone] = capacity.get(machine.zone, 0) + task_count
    return max(capacity, key=lambda zone: (min(capacity[zone], wanted), zone))


def _assign_in_order(
    candidates: list[_Candidate], wanted: int, zones: dict[str, int], zone_limit: int | None
) -> list[Assignment]:
    """Assign the wanted tasks to the candidates, in their order.

    A zone gets at most `zone_limit` tasks, including those that `zones` counts there already."""
    assignments = []
    for machine, capacity in candidates:
        task_count = min(capacity, wanted)
        if zone_limit is not None:
            task_count = min(task_count, zone_limit - zones.get(machine.zone, 0))
            if task_count <= 0:
                continue
            zones[machine.zone] = zones.get(machine.zone, 0) + task_count
        assignments.append(Assignment(machine, task_count))
        wanted -= task_count
        if wanted <= 0:
            break
    return assignments
