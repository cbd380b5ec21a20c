"""Queues of tasks on machines that have no free capacity for them yet.

An enqueued placement is recorded but not launched. When a heartbeat shows free capacity, its
response carries the launch, without a write in between. During an outage of the state store,
enqueued tasks can still be launched.
"""

from dataclasses import dataclass

from eldercart.cluster.inventory import RESOURCE_EPSILON, Machine, MachineInventory
from eldercart.jobs.job import Job
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.scheduling.feasibility import is_feasible, tasks_within
from eldercart.units import JobId, MachineId, MonotonicTime
from eldercart.wire.users import JobSpec


@dataclass(slots=True)
class EnqueuedTasks:
    """Tasks of one job that are enqueued on one machine."""

    machine: Machine
    spec: JobSpec
    task_count: int = 1


EnqueuedByPriority = dict[int, dict[tuple[MachineId, JobId], EnqueuedTasks]]


def enqueued_by_priority(inventory: MachineInventory) -> EnqueuedByPriority:
    """Return all enqueued tasks by the priority of their jobs."""
    by_priority: EnqueuedByPriority = {}
    for machine in inventory.machines_with_prelaunch_queue.values():
        for placement in machine.prelaunch_queue.values():
            job = placement.job
            same_priority = by_priority.setdefault(job.priority, {})
            enqueued = same_priority.get((machine.id, job.id))
            if enqueued is None:
                same_priority[machine.id, job.id] = EnqueuedTasks(machine, job.spec)
            else:
                enqueued.task_count += 1
    return by_priority


def cancel_stale(cluster: ClusterState, now: MonotonicTime) -> None:
    """Cancel placements on machines that no longer accept tasks, or whose capacity has not become
    free in time.

    They were never launched, so their tasks may be placed elsewhere at once."""
    enqueued_before = now - cluster.tuning.ahead_patience_s
    stale = [
        placement
        for machine in cluster.inventory.machines_with_prelaunch_queue.values()
        for placement in machine.prelaunch_queue.values()
        if placement.enqueued_at < enqueued_before or not machine.is_schedulable
    ]
    for placement in stale:
        cluster.cancel_placement(placement, now)


class PrelaunchQueues:
    """The prelaunch queues of all schedulable machines, during one planning pass."""

    def __init__(
        self,
        cluster: ClusterState,
        machines: list[Machine],
        min_task_cpus: float,
        now: MonotonicTime,
    ) -> None:
        """Prepare the queues of `machines` for a pass.

        `min_task_cpus` is the smallest number of CPUs that a task of this pass needs."""
        self._cluster = cluster
        self._machines = machines
        self._min_task_cpus = min_task_cpus
        self._now = now
        self._machines_with_space: list[Machine] | None = None  # computed on first use

    def enqueue(
        self, job: Job, machine: Machine, task_count: int, *, exempt_from_preemption: bool = False
    ) -> None:
        """Enqueue tasks of the job on the machine, and reserve capacity there for them."""
        cluster = self._cluster
        for index in cluster.jobs.take_unplaced_tasks(job, task_count):
            placement = cluster.jobs.add_placement(job, index, machine.id, self._now)
            placement.is_exempt_from_preemption = exempt_from_preemption
            cluster.jobs.mark_enqueued(placement, self._now)
            cluster.inventory.enqueue(machine, placement)
            cluster.inventory.reserve(machine, job.spec, 1)
        cluster.mark_dirty(job)

    def enqueue_ahead(self, job: Job, task_count: int, *, is_starving: bool) -> None:
        """Enqueue at most `task_count` tasks of the job on machines whose queues have space.

        Machines that have the job's image cached come first, then those with the shortest queues.
        Any queue has space for one task of a starving job, whose tasks are not preempted."""
        if job.spec.cpus <= 0:
            return
        if self._machines_with_space is None:
            self._machines_with_space = self._filter_by_queue_space(
                self._machines, self._min_task_cpus
            )
        if is_starving:
            candidates = self._machines
        else:
            candidates = self._filter_by_queue_space(self._machines_with_space, job.spec.cpus)
        candidates = self._best_queues_first(job, candidates)
        if not candidates:
            return
        for machine in candidates:
            capacity = self._queue_capacity(job.spec, machine, is_starving=is_starving)
            enqueued = min(task_count, capacity)
            if enqueued <= 0:
                break
            task_count -= enqueued
            self.enqueue(job, machine, enqueued, exempt_from_preemption=is_starving)
        self._machines_with_space = self._filter_by_queue_space(
            self._machines_with_space, self._min_task_cpus
        )

    def cancel(self, job: Job, task_count: int) -> None:
        """Cancel enqueued tasks of the job, the most recent first.

        There is free capacity elsewhere, and the tasks may move since they were never launched."""
        if task_count <= 0:
            return
        enqueued = [placement for placement in job.placements() if placement.is_enqueued]
        enqueued.sort(key=lambda placement: (-placement.enqueued_at, placement.key))
        for placement in enqueued[:task_count]:
            self._cluster.cancel_placement(placement, self._now)

    def _filter_by_queue_space(self, machines: list[Machine], cpus: float) -> list[Machine]:
        """Return the machines whose queues have space for tasks with this many CPUs."""
        share = self._cluster.tuning.ahead_share
        return [
            machine
            for machine in machines
            if machine.type.cpus * share - machine.prelaunch_cpus + RESOURCE_EPSILON >= cpus
        ]

    def _best_queues_first(self, job: Job, machines: list[Machine]) -> list[Machine]:
        """Return the machines where the job may run: those with its image cached first, then those
        with the shortest queues."""
        spec, now = job.spec, self._now
        feasible = [
            machine
            for machine in machines
            if not job.avoids_machine(machine.id, now) and is_feasible(spec, machine)
        ]
        feasible.sort(
            key=lambda machine: (
                spec.image not in machine.cached_images,
                len(machine.prelaunch_queue),
                machine.id,
            )
        )
        return feasible

    def _queue_capacity(self, spec: JobSpec, machine: Machine, *, is_starving: bool) -> int:
        """Return the number of tasks of the job for which the machine's queue has space."""
        available_cpus = (
            machine.type.cpus * self._cluster.tuning.ahead_share - machine.prelaunch_cpus
        )
        if is_starving:
            available_cpus = max(available_cpus, spec.cpus)
        return tasks_within(available_cpus, spec.cpus)
