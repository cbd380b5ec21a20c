"""One planning pass over the job queue.

For each job, in queue order, a pass places the tasks that fit now (filter, score, assign). For the
remaining tasks, it reserves capacity that is about to be freed and preempts tasks of lower
priority. It enqueues the rest on machines that have no free capacity yet.
"""

import logging
from collections.abc import Callable
from typing import NamedTuple

from eldercart.cluster.inventory import RESOURCE_EPSILON, Machine, MachineInventory
from eldercart.jobs.job import Job
from eldercart.scheduling.capacity_reservation import CapacityReserver
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.scheduling.feasibility import TaskShape, quota_headroom, shape_of
from eldercart.scheduling.machine_selection import Assignment, select_machines
from eldercart.scheduling.prelaunch_queue import PrelaunchQueues, enqueued_by_priority
from eldercart.scheduling.zone_constraints import is_zone_bound, tasks_by_zone
from eldercart.units import MonotonicTime
from eldercart.wire.users import JobSpec

log = logging.getLogger("eldercart.controller")

# A machine where no task has ended for this long takes any job that has waited as long, even if
# its free capacity is reserved or kept for other jobs.
UNUSED_CAPACITY_TIMEOUT_S = 45.0
# A job may preempt this long before its start objective, in heartbeat intervals plus seconds: the
# time for the kill, its report and the launch.
PREEMPTION_LEAD_HEARTBEATS, PREEMPTION_LEAD_S = 2.5, 1.0


class QueueEntry(NamedTuple):
    """A job's turn in a pass. A starving job has an extra turn for its first tasks."""

    job: Job
    starvation_limit: int | None = None  # most tasks of an extra turn; None in an ordinary turn


class PlanningPass:
    """The state of one pass over the queue."""

    def __init__(
        self,
        cluster: ClusterState,
        machines: list[Machine],
        queue: list[QueueEntry],
        next_start_index: Callable[[int], int],
        now: MonotonicTime,
    ) -> None:
        """Prepare a pass over `queue`.

        `machines` are those that accept new tasks. `next_start_index` maps a number of machines to
        the index at which a search for preemptions among them begins."""
        self.unplaced_jobs: list[Job] = []  # jobs with tasks still unplaced after the ordinary turn
        self._cluster = cluster
        self._now = now
        self._machines = machines
        self._queue = queue
        task_cpus = [entry.job.spec.cpus for entry in queue if entry.job.spec.cpus > 0]
        self._min_task_cpus = min(task_cpus, default=0.0)
        self._open_machines = [
            machine
            for machine in machines
            if machine.free_cpus + RESOURCE_EPSILON >= self._min_task_cpus
            and machine.free_memory_gb > RESOURCE_EPSILON
            and machine.launch_backoff_until <= now
        ]
        self._prelaunch_queues = PrelaunchQueues(cluster, machines, self._min_task_cpus, now)
        self._reserver = CapacityReserver(
            cluster, machines, self._prelaunch_queues, next_start_index, now
        )
        # Task shapes that fitted nowhere in this pass: on any machine, and on spot machines.
        self._infeasible_shapes: set[TaskShape] = set()
        self._infeasible_on_spot: set[TaskShape] = set()
        # Enqueued tasks whose capacity is not reserved in this pass yet, by priority.
        self._unreserved_enqueued = enqueued_by_priority(cluster.inventory)
        self._lowest_reserved_priority: int | None = None
        self._max_spot_only_priority = self._priority_barred_from_on_demand()
        self._preemption_lead_s = (
            PREEMPTION_LEAD_HEARTBEATS * cluster.settings.report_s + PREEMPTION_LEAD_S
        )

    def run(self) -> None:
        """Place, reserve, preempt and enqueue for each job, in queue order."""
        for entry in self._queue:
            if entry.starvation_limit is None:
                self._reserve_enqueued(entry.job.priority)
            shape = shape_of(entry.job.spec)
            self._place_on_open_machines(entry, shape)
            if entry.starvation_limit is None and _has_waiting_tasks(entry.job):
                self.unplaced_jobs.append(entry.job)
            self._reserve_or_enqueue_remaining(entry, shape)
        self._place_on_unused_capacity()

    def _reserve_enqueued(self, priority: int) -> None:
        """Reserve capacity for tasks of at least this priority that earlier passes enqueued.

        Thus jobs of the same or a lower priority don't take it."""
        if priority == self._lowest_reserved_priority:
            return
        self._lowest_reserved_priority = priority
        for level in [level for level in self._unreserved_enqueued if level >= priority]:
            for enqueued in self._unreserved_enqueued.pop(level).values():
                self._cluster.inventory.reserve(
                    enqueued.machine, enqueued.spec, enqueued.task_count
                )

    def _place_on_open_machines(self, entry: QueueEntry, shape: TaskShape) -> None:
        """Place tasks of the job on open machines, unless tasks of this shape already failed to
        fit in this pass."""
        if not self._open_machines or shape in self._infeasible_shapes:
            return
        spot_only = self._must_use_spot(entry)
        if spot_only and shape in self._infeasible_on_spot:
            return
        job = entry.job
        is_placed = self._place(entry, spot_only=spot_only)
        if not is_placed and _is_decided_by_shape(job) and self._quota_headroom(job.spec) > 0:
            # A search of spot machines only does not show whether the shape fits on-demand ones.
            infeasible = self._infeasible_on_spot if spot_only else self._infeasible_shapes
            infeasible.add(shape)

    def _reserve_or_enqueue_remaining(self, entry: QueueEntry, shape: TaskShape) -> None:
        """Reserve capacity, preempt and enqueue for tasks that fit nowhere now."""
        job, task_limit = entry
        remaining = min(job.unplaced_count, self._quota_headroom(job.spec))
        if task_limit is not None:
            remaining = min(remaining, task_limit - job.enqueued_count)
        if remaining <= 0 or is_zone_bound(job.spec):
            return
        if task_limit is not None or self._may_preempt(job):
            remaining -= self._reserver.reserve_or_preempt(job, remaining, shape)
        if remaining > 0:
            self._prelaunch_queues.enqueue_ahead(job, remaining, is_starving=task_limit is not None)

    def _place_on_unused_capacity(self) -> None:
        """Place jobs that have waited long on machines where no task has ended for as long.

        Free capacity there may be reserved for a larger task, kept for jobs that need on-demand
        machines, or unused because other machines scored better. After this time without change,
        the jobs that it was kept for have not used it."""
        unused_since = self._now - UNUSED_CAPACITY_TIMEOUT_S
        overdue = [
            entry
            for entry in self._queue
            if entry.starvation_limit is None
            and _has_waiting_tasks(entry.job)
            and max(entry.job.ready_at, entry.job.last_placed_at) <= unused_since
            and self._quota_headroom(entry.job.spec) > 0
        ]
        if not overdue:
            return
        self._cluster.inventory.clear_reservations()
        self._open_machines = [
            machine
            for machine in self._machines
            if machine.last_release_at <= unused_since
            and machine.free_cpus + RESOURCE_EPSILON >= self._min_task_cpus
            and machine.launch_backoff_until <= self._now
        ]
        for entry in overdue:
            if not self._open_machines:
                return
            self._place(entry, spot_only=False)

    # -- steps

    def _place(self, entry: QueueEntry, *, spot_only: bool) -> bool:
        """Place unplaced and enqueued tasks of the job; return whether any machine was found."""
        job, task_limit = entry
        wanted = job.unplaced_count + job.enqueued_count
        if task_limit is not None:
            wanted = min(task_limit, wanted)
        machines = self._open_machines
        if spot_only:
            machines = [machine for machine in machines if machine.is_spot]
        cluster = self._cluster
        assignments = select_machines(
            job, wanted, machines, cluster.inventory, cluster.settings.teams, self._now
        )
        if not assignments:
            return False
        assigned = sum(assignment.task_count for assignment in assignments)
        self._prelaunch_queues.cancel(job, assigned - job.unplaced_count)
        self._assign(job, assignments, exempt_from_preemption=task_limit is not None)
        return True

    def _assign(
        self, job: Job, assignments: list[Assignment], *, exempt_from_preemption: bool
    ) -> None:
        """Add the placements, which are launched once their records are durable."""
        cluster, now = self._cluster, self._now
        job.last_placed_at = now
        if is_zone_bound(job.spec) and log.isEnabledFor(logging.INFO):
            _log_zone_choice(job, assignments, cluster.inventory)
        for assignment in assignments:
            for index in cluster.jobs.take_unplaced_tasks(job, assignment.task_count):
                placement = cluster.jobs.add_placement(job, index, assignment.machine.id, now)
                placement.is_exempt_from_preemption = exempt_from_preemption
                cluster.inventory.allocate(assignment.machine, placement)
        cluster.mark_dirty(job)
        min_task_cpus = self._min_task_cpus
        self._open_machines = [
            machine
            for machine in self._open_machines
            if machine.free_cpus - machine.reserved_cpus + RESOURCE_EPSILON >= min_task_cpus
        ]

    # -- conditions

    def _must_use_spot(self, entry: QueueEntry) -> bool:
        """Return whether the job may use only spot machines in this turn."""
        job, task_limit = entry
        return (
            job.spec.allows_spot
            and self._max_spot_only_priority is not None
            and job.priority <= self._max_spot_only_priority
            and task_limit is None
            and not job.prefers_on_demand
        )

    def _priority_barred_from_on_demand(self) -> int | None:
        """Return the highest priority of spot-capable jobs that may not use on-demand machines
        now, or None if all of them may.

        It is the highest priority of the ready jobs that need on-demand machines, if these are
        expected to need all free on-demand CPUs. Spot-capable jobs up to that priority then wait
        for spot machines: on on-demand machines they would block the other jobs, or be preempted
        by them."""
        free_cpus = sum(machine.free_cpus for machine in self._machines if not machine.is_spot)
        highest = -1
        for job in self._cluster.jobs.jobs.values():
            if not job.spec.allows_spot and job.outcome is None and job.is_ready:
                highest = max(highest, job.priority)
        target_cpus = self._cluster.autoscaler.target_cpus()[0]
        expected_cpus = target_cpus - self._cluster.inventory.on_demand_only_cpus
        return highest if highest >= 0 and expected_cpus >= free_cpus else None

    def _may_preempt(self, job: Job) -> bool:
        allowed_at = self._cluster.objectives.preemption_allowed_at(
            job, self._preemption_lead_s, self._cluster.tuning.preempt_wait_s
        )
        return self._now >= allowed_at

    def _quota_headroom(self, spec: JobSpec) -> int:
        return quota_headroom(spec, self._cluster.inventory, self._cluster.settings.teams)


def _log_zone_choice(job: Job, assignments: list[Assignment], inventory: MachineInventory) -> None:
    """Log the zones in which tasks of a zone-bound job are placed, and those of its other tasks."""
    assigned: dict[str, int] = {}
    for assignment in assignments:
        zone = assignment.machine.zone
        assigned[zone] = assigned.get(zone, 0) + assignment.task_count
    log.info(
        "zone chosen job=%s tasks_by_zone=%s other_tasks_by_zone=%s",
        job.id,
        assigned,
        tasks_by_zone(job, inventory),
    )


def _has_waiting_tasks(job: Job) -> bool:
    """Return whether the job has tasks that are unplaced or enqueued."""
    return bool(job.unplaced_count or job.enqueued_count)


def _is_decided_by_shape(job: Job) -> bool:
    """Return whether the shape of its tasks alone determines where the job may run."""
    return not (is_zone_bound(job.spec) or job.avoided_machines)
