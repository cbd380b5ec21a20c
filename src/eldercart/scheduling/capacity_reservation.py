"""Reserves capacity that is about to be freed, for tasks that fit on no machine now.

The capacity is freed by tasks that are being killed already, or by preemption. Without a
reservation, small tasks would take all freed capacity, and a larger task would never start. The
tasks are enqueued on the machine, which also reserves the capacity there.
"""

import heapq
import logging
from collections.abc import Callable
from typing import NamedTuple

from eldercart.cluster.inventory import RESOURCE_EPSILON, Machine
from eldercart.jobs.job import Job, Placement
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.scheduling.feasibility import TaskShape, capacity_after_terminations, is_feasible
from eldercart.scheduling.preemption import select_victims
from eldercart.scheduling.prelaunch_queue import PrelaunchQueues
from eldercart.units import MachineId, MonotonicTime

log = logging.getLogger("eldercart.controller")

MIN_PREEMPTION_OPTIONS = 12  # machines examined for each job that may preempt
PREEMPTION_OPTIONS_PER_TASK = 2  # further machines examined for each task that needs capacity


class _PreemptionOption(NamedTuple):
    """Preemption on one machine in favour of one task.

    Options sort by cost, then by machine id."""

    cost_cpu_s: float
    machine_id: MachineId
    machine: Machine
    victims: list[Placement]


class CapacityReserver:
    """Reserves capacity that is about to be freed, during one planning pass."""

    def __init__(
        self,
        cluster: ClusterState,
        machines: list[Machine],
        prelaunch_queues: PrelaunchQueues,
        next_start_index: Callable[[int], int],
        now: MonotonicTime,
    ) -> None:
        """Create a reserver for a pass over `machines`.

        `next_start_index` maps a number of machines to the index at which the next search among
        them begins."""
        self._cluster = cluster
        self._machines = machines
        self._prelaunch_queues = prelaunch_queues
        self._next_start_index = next_start_index
        self._now = now
        # Machines on which tasks are being killed; computed on first use.
        self._terminating_machines: list[Machine] | None = None
        self._unreservable_shapes: set[TaskShape] = set()

    def reserve_or_preempt(self, job: Job, task_count: int, shape: TaskShape) -> int:
        """Reserve capacity for at most `task_count` tasks of the job; return for how many.

        Capacity of tasks that are being killed already comes first. Then tasks of lower priority
        are killed on some of the machines, those that lose the least work first."""
        if shape in self._unreservable_shapes:
            return 0
        if self._terminating_machines is None:
            self._terminating_machines = [
                machine for machine in self._machines if machine.terminating_cpus > RESOURCE_EPSILON
            ]
        reserved = self._reserve_terminating(job, task_count, self._terminating_machines)
        cpus_by_priority = self._cluster.inventory.cpus_by_priority
        if reserved >= task_count or not _has_lower_priority(cpus_by_priority, job):
            return reserved
        remaining = task_count - reserved
        options = self._preemption_options(
            job, MIN_PREEMPTION_OPTIONS + PREEMPTION_OPTIONS_PER_TASK * remaining
        )
        reserved += self._preempt(job, remaining, options, self._terminating_machines)
        if reserved == 0 and not job.avoided_machines:
            self._unreservable_shapes.add(shape)
        return reserved

    def _reserve_terminating(
        self, job: Job, task_count: int, terminating_machines: list[Machine]
    ) -> int:
        """Reserve capacity that killed tasks are about to free; return for how many tasks."""
        reserved = 0
        for machine in terminating_machines:
            if reserved >= task_count:
                break
            if is_feasible(job.spec, machine) and not job.avoids_machine(machine.id, self._now):
                capacity = capacity_after_terminations(job.spec, machine)
                fitting = min(capacity, task_count - reserved)
                if fitting > 0:
                    self._prelaunch_queues.enqueue(job, machine, fitting)
                    reserved += fitting
        return reserved

    def _preemption_options(self, job: Job, max_machines: int) -> list[_PreemptionOption]:
        """Return a heap of the preemptions that would free capacity for one task.

        At most `max_machines` machines are examined. Each search begins at another machine."""
        options: list[_PreemptionOption] = []
        examined = 0
        machine_count = len(self._machines)
        start = self._next_start_index(machine_count)
        for offset in range(machine_count):
            machine = self._machines[(start + offset) % machine_count]
            if not _has_lower_priority(machine.cpus_by_priority, job):
                continue
            if not is_feasible(job.spec, machine) or job.avoids_machine(machine.id, self._now):
                continue
            self._push_option(options, job, machine)
            examined += 1
            if examined >= max_machines:
                break
        return options

    def _push_option(self, options: list[_PreemptionOption], job: Job, machine: Machine) -> None:
        preemption = select_victims(job, machine, self._now)
        if preemption is not None:
            option = _PreemptionOption(
                preemption.cost_cpu_s, machine.id, machine, preemption.victims
            )
            heapq.heappush(options, option)

    def _preempt(
        self,
        job: Job,
        task_count: int,
        options: list[_PreemptionOption],
        terminating_machines: list[Machine],
    ) -> int:
        """Carry out the cheapest options; return for how many tasks capacity was reserved."""
        reserved = 0
        while reserved < task_count and options:
            machine, victims = heapq.heappop(options)[2:]
            self._prelaunch_queues.enqueue(job, machine, 1)
            reserved += 1
            for victim in victims:
                log.debug(
                    "preempted task=%s machine=%s for=%s", victim.key, victim.machine_id, job.id
                )
                self._cluster.kill_placement(victim, self._now)
            if machine not in terminating_machines:
                terminating_machines.append(machine)
            self._push_option(options, job, machine)
        return reserved


def _has_lower_priority(cpus_by_priority: dict[int, float], job: Job) -> bool:
    """Return whether tasks of lower priority than the job hold any of these CPUs."""
    return any(
        cpus > RESOURCE_EPSILON
        for priority, cpus in cpus_by_priority.items()
        if priority < job.priority
    )
