"""Reserving capacity that comes free, by itself or by preemption, for tasks that fit nowhere now.

Without a reservation, small tasks would take each freed bit, and a larger one would wait for ever.
The tasks are enqueued on the machine, which also reserves the capacity there.
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

MIN_PREEMPTION_OPTIONS = 12  # machines examined for a job that may preempt
PREEMPTION_OPTIONS_PER_TASK = 2  # examined beyond these for each task that needs a place


class _PreemptionOption(NamedTuple):
    """The preemption for one task on one machine; the cheapest sorts first, then by machine id."""

    cost_cpu_s: float
    machine_id: MachineId
    machine: Machine
    victims: list[Placement]


class CapacityReserver:
    """Reserves capacity that comes free, during one planning pass."""

    def __init__(
        self,
        cluster: ClusterState,
        machines: list[Machine],
        prelaunch_queues: PrelaunchQueues,
        first_examined: Callable[[int], int],
        now: MonotonicTime,
    ) -> None:
        """`first_examined`: the index where a search among so many machines begins."""
        self._cluster = cluster
        self._machines = machines
        self._prelaunch_queues = prelaunch_queues
        self._first_examined = first_examined
        self._now = now
        self._terminating: list[Machine] | None = None  # where tasks end; found when first needed
        self._unreservable_shapes: set[TaskShape] = set()

    def reserve_or_preempt(self, job: Job, task_count: int, shape: TaskShape) -> int:
        """Reserve capacity for tasks of the job: first where tasks are being killed anyway, then
        by killing tasks of lower priority, those that lose the least work first, on some of the
        machines. Return for how many tasks it was done."""
        if shape in self._unreservable_shapes:
            return 0
        if self._terminating is None:
            self._terminating = [
                machine for machine in self._machines if machine.terminating_cpus > RESOURCE_EPSILON
            ]
        reserved = self._reserve_terminating(job, task_count, self._terminating)
        cpus_by_priority = self._cluster.inventory.cpus_by_priority
        if reserved >= task_count or not _has_lower_priority(cpus_by_priority, job):
            return reserved
        left = task_count - reserved
        options = self._preemption_options(
            job, MIN_PREEMPTION_OPTIONS + PREEMPTION_OPTIONS_PER_TASK * left
        )
        reserved += self._preempt(job, left, options, self._terminating)
        if reserved == 0 and not job.avoided_machines:
            self._unreservable_shapes.add(shape)
        return reserved

    def _reserve_terminating(self, job: Job, task_count: int, terminating: list[Machine]) -> int:
        """Reserve capacity that tasks being killed will free; return for how many tasks."""
        reserved = 0
        for machine in terminating:
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
        """Return what making room for one task costs on at most `max_machines` machines, as a
        heap. Each search begins with another machine."""
        options: list[_PreemptionOption] = []
        examined = 0
        machine_count = len(self._machines)
        first = self._first_examined(machine_count)
        for offset in range(machine_count):
            machine = self._machines[(first + offset) % machine_count]
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
        terminating: list[Machine],
    ) -> int:
        """Take the cheapest options; return for how many tasks others are being killed."""
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
            if machine not in terminating:
                terminating.append(machine)
            self._push_option(options, job, machine)
        return reserved


def _has_lower_priority(cpus_by_priority: dict[int, float], job: Job) -> bool:
    """Return whether anything of lower priority than the job runs there."""
    return any(
        cpus > RESOURCE_EPSILON
        for priority, cpus in cpus_by_priority.items()
        if priority < job.priority
    )
