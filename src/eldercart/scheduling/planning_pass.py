"""One planning pass: what is done with each job of the queue, step by step.

For each job, in order: place its tasks where they fit now (filter, score, assign); for what is
left, reserve capacity that comes free and preempt tasks of lower priority; enqueue the rest on
machines ahead of free capacity.
"""

from collections.abc import Callable
from typing import NamedTuple

from eldercart.cluster.inventory import RESOURCE_EPSILON, Machine
from eldercart.jobs.job import Job
from eldercart.scheduling.capacity_reservation import CapacityReserver
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.scheduling.feasibility import TaskShape, quota_headroom, shape_of
from eldercart.scheduling.machine_selection import Assignment, select_machines
from eldercart.scheduling.prelaunch_queue import PrelaunchQueues, enqueued_by_priority
from eldercart.units import MonotonicTime
from eldercart.wire.users import JobSpec

# Capacity that nobody has used for so long is used, whatever it was reserved or left for.
UNUSED_CAPACITY_TIMEOUT_S = 45.0
# How long before its start objective a job may preempt: the kill, its report and the launch.
PREEMPTION_LEAD_HEARTBEATS, PREEMPTION_LEAD_S = 2.5, 1.0


class QueueEntry(NamedTuple):
    """A job's turn in a pass. A job that starves has an extra turn for its first tasks."""

    job: Job
    starvation_limit: int | None = None  # at most so many tasks; None: its ordinary turn


class PlanningPass:
    """The state of one pass over the queue."""

    def __init__(
        self,
        cluster: ClusterState,
        machines: list[Machine],
        queue: list[QueueEntry],
        first_examined: Callable[[int], int],
        now: MonotonicTime,
    ) -> None:
        """`machines`: those that take new tasks; `first_examined`: the index where a search for
        preemptions among so many machines begins."""
        self.unplaced_jobs: list[Job] = []  # with tasks that have no place after their own turn
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
            cluster, machines, self._prelaunch_queues, first_examined, now
        )
        # Shapes that found no place in this pass: anywhere, and on spot machines.
        self._infeasible_shapes: set[TaskShape] = set()
        self._infeasible_on_spot: set[TaskShape] = set()
        # What is enqueued by priority, as far as its capacity is not reserved in this pass yet.
        self._unreserved = enqueued_by_priority(cluster.inventory)
        self._reserved_down_to: int | None = None
        self._spot_only_up_to = self._priority_barred_from_on_demand()
        self._preemption_lead_s = (
            PREEMPTION_LEAD_HEARTBEATS * cluster.settings.report_s + PREEMPTION_LEAD_S
        )

    def run(self) -> None:
        """Take all steps for each job, in the order of the queue."""
        for entry in self._queue:
            if entry.starvation_limit is None:
                self._reserve_enqueued(entry.job.priority)
            shape = shape_of(entry.job.spec)
            self._place_where_it_fits(entry, shape)
            if entry.starvation_limit is None and _has_waiting_tasks(entry.job):
                self.unplaced_jobs.append(entry.job)
            self._provide_for_the_rest(entry, shape)
        self._place_on_unused_capacity()

    def _reserve_enqueued(self, priority: int) -> None:
        """Reserve capacity for what was enqueued in earlier passes: jobs of the same or of lower
        priority don't take it."""
        if priority == self._reserved_down_to:
            return
        self._reserved_down_to = priority
        for level in [level for level in self._unreserved if level >= priority]:
            for enqueued in self._unreserved.pop(level).values():
                self._cluster.inventory.reserve(
                    enqueued.machine, enqueued.spec, enqueued.task_count
                )

    def _place_where_it_fits(self, entry: QueueEntry, shape: TaskShape) -> None:
        """Place tasks of the job on open machines, unless its like found no place before."""
        if not self._open_machines or shape in self._infeasible_shapes:
            return
        spot_only = self._must_use_spot(entry)
        if spot_only and shape in self._infeasible_on_spot:
            return
        job = entry.job
        is_placed = self._place(entry, spot_only=spot_only)
        if not is_placed and _has_no_own_rules(job) and self._quota_headroom(job.spec) > 0:
            # Of those that are barred from on-demand machines it tells nothing about the others.
            infeasible = self._infeasible_on_spot if spot_only else self._infeasible_shapes
            infeasible.add(shape)

    def _provide_for_the_rest(self, entry: QueueEntry, shape: TaskShape) -> None:
        """Reserve capacity, preempt and enqueue for tasks that found no place."""
        job, limit = entry
        left = min(job.unplaced_count, self._quota_headroom(job.spec))
        if limit is not None:
            left = min(left, limit - job.enqueued_count)
        if left <= 0 or job.spec.single_zone or job.spec.spread:
            return
        if limit is not None or self._may_preempt(job):
            left -= self._reserver.reserve_or_preempt(job, left, shape)
        if left > 0:
            self._prelaunch_queues.enqueue_ahead(job, left, is_starving=limit is not None)

    def _place_on_unused_capacity(self) -> None:
        """Place jobs that have waited long on machines that have been idle as long.

        Capacity may be reserved for a larger task, kept for those that need on-demand machines, or
        left because something else scored better. Where nothing has ended for so long, nobody has
        come for it."""
        idle_since = self._now - UNUSED_CAPACITY_TIMEOUT_S
        overdue = [
            entry
            for entry in self._queue
            if entry.starvation_limit is None
            and _has_waiting_tasks(entry.job)
            and max(entry.job.ready_at, entry.job.last_placed_at) <= idle_since
            and self._quota_headroom(entry.job.spec) > 0
        ]
        if not overdue:
            return
        self._cluster.inventory.clear_reservations()
        self._open_machines = [
            machine
            for machine in self._machines
            if machine.idle_since <= idle_since
            and machine.free_cpus + RESOURCE_EPSILON >= self._min_task_cpus
            and machine.launch_backoff_until <= self._now
        ]
        for entry in overdue:
            if not self._open_machines:
                return
            self._place(entry, spot_only=False)

    # -- steps

    def _place(self, entry: QueueEntry, *, spot_only: bool) -> bool:
        """Place waiting and enqueued tasks of the job; return whether any machine was found."""
        job, limit = entry
        wanted = job.unplaced_count + job.enqueued_count
        if limit is not None:
            wanted = min(limit, wanted)
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
        self._assign(job, assignments, exempt_from_preemption=limit is not None)
        return True

    def _assign(
        self, job: Job, assignments: list[Assignment], *, exempt_from_preemption: bool
    ) -> None:
        """Add the placements, to be written and then launched."""
        cluster, now = self._cluster, self._now
        job.last_placed_at = now
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
        """Return whether on-demand machines are kept from the job in this turn."""
        job, limit = entry
        return (
            job.spec.allows_spot
            and self._spot_only_up_to is not None
            and job.priority <= self._spot_only_up_to
            and limit is None
            and not job.prefers_on_demand
        )

    def _priority_barred_from_on_demand(self) -> int | None:
        """Return up to which priority jobs that may use spot machines are barred from on-demand
        ones; None if none is.

        They are when the jobs that may use nothing else are expected to need all that is left of
        them: then the others wait for a spot machine rather than be preempted or stand in the
        way."""
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


def _has_waiting_tasks(job: Job) -> bool:
    """Return whether tasks of the job are not launched, enqueued ones among them."""
    return bool(job.unplaced_count or job.enqueued_count)


def _has_no_own_rules(job: Job) -> bool:
    """Return whether only the shape of its tasks decides where the job may run."""
    return not (job.spec.single_zone or job.spec.spread or job.avoided_machines)
