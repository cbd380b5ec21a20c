"""Selects the tasks to kill so that a task of higher priority gets their capacity."""

from typing import NamedTuple

from eldercart.cluster.inventory import Machine
from eldercart.jobs.job import Job, Placement, PlacementPhase
from eldercart.scheduling.feasibility import count_fitting
from eldercart.units import MonotonicTime

RESTART_COST_S = 1.5  # time lost by a restart in addition to the lost run time of the task
DEFERRED_COST_FACTOR = 0.7  # preempting a job that misses its objective anyway costs less


class Preemption(NamedTuple):
    """The tasks to kill on one machine so that one more task fits there."""

    cost_cpu_s: float  # CPU seconds of work lost by the kills
    victims: list[Placement]


def select_victims(job: Job, machine: Machine, now: MonotonicTime) -> Preemption | None:
    """Return the tasks of lower priority to kill on the machine to free capacity for one task of
    the job, those that lose the least work first; None if killing all of them is not enough."""
    spec = job.spec
    candidates = [
        (preemption_cost(placement, now), placement.key, placement)
        for placement in machine.placements.values()
        # The other job's priority may have risen since its task was placed, because a job of
        # higher priority depends on it.
        if max(placement.priority_at_placement, placement.job.priority) < job.priority
        and not placement.is_terminating
        and not placement.is_exempt_from_preemption
        and placement.phase is not PlacementPhase.ENDED
    ]
    candidates.sort(key=lambda candidate: candidate[:2])
    cpus = machine.free_cpus - machine.reserved_cpus + machine.terminating_cpus
    gpus = machine.free_gpus - machine.reserved_gpus + machine.terminating_gpus
    memory_gb = machine.free_memory_gb - machine.reserved_memory_gb + machine.terminating_memory_gb
    victims: list[Placement] = []
    cost_cpu_s = 0.0
    for cost, _, placement in candidates:
        if count_fitting(spec, cpus, gpus, memory_gb):
            break
        cpus += placement.job.spec.cpus
        gpus += placement.job.spec.gpus
        memory_gb += placement.job.spec.memory_gb
        victims.append(placement)
        cost_cpu_s += cost
    return Preemption(cost_cpu_s, victims) if count_fitting(spec, cpus, gpus, memory_gb) else None


def preemption_cost(placement: Placement, now: MonotonicTime) -> float:
    """Return the CPU seconds of work that a kill of the task now would lose."""
    spec = placement.job.spec
    lost_s = placement.run_time_s(now)
    if spec.checkpoint_interval_s > 0:
        lost_s = min(lost_s, spec.checkpoint_interval_s)
    factor = DEFERRED_COST_FACTOR if placement.job.is_deferred else 1.0
    return (lost_s + RESTART_COST_S) * spec.cpus * factor
