"""The check before every launch: may this task start on its machine now?

A planning pass checks the constraints of the placements that it makes. A leader also launches
placements of earlier leaders, which it has loaded from records. An earlier leader may have given
the capacity, the quota or the zone of a task to others as soon as it learned that the task had
ended, before that was written. The records then name both, and launching both would break a
constraint. So each launch is checked against all tasks that may be running.
"""

import logging
from enum import Enum

from eldercart.cluster.inventory import RESOURCE_EPSILON, Machine, MachineState
from eldercart.jobs.job import Job, Placement
from eldercart.scheduling import feasibility, zone_constraints
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.scheduling.planner import Planner
from eldercart.scheduling.zone_constraints import ZoneFit
from eldercart.units import JobId

log = logging.getLogger("eldercart.controller")


class LaunchDecision(Enum):
    """What to do with a committed placement whose task is not on its machine."""

    LAUNCH = "launch"
    WAIT = "wait"  # decide again at the machine's next heartbeat
    CANCEL = "cancel"  # remove the placement, so that the task is placed again


class LaunchGuard:
    """Decides on the launches in the response to one heartbeat after the other."""

    def __init__(self, cluster_state: ClusterState, planner: Planner) -> None:
        """Read the planner's unplaced jobs to decide which capacity must be kept free."""
        self._cluster_state = cluster_state
        self._planner = planner
        # Tasks by zone, for the zone-bound jobs that the current heartbeat was checked for.
        self._tasks_by_zone: dict[JobId, dict[str, int]] = {}

    def reset_counts(self) -> None:
        """Forget what was counted for an earlier heartbeat."""
        self._tasks_by_zone.clear()

    def on_cancelled(self, machine: Machine, job: Job) -> None:
        """Count one task of the job less on the machine, because its placement was cancelled."""
        zones = self._tasks_by_zone.get(job.id)
        if zones is None:
            return
        zones[machine.zone] -= 1
        if not zones[machine.zone]:
            del zones[machine.zone]

    def decide_absent(self, machine: Machine, placement: Placement) -> LaunchDecision:
        """Decide on a task that counts as using the machine, but is proven not to be there.

        It was never launched, or its launch was dropped."""
        job = placement.job
        if placement.is_terminating or not job.is_runnable:
            return LaunchDecision.CANCEL
        if machine.state is not MachineState.UP or machine.is_unschedulable:
            return LaunchDecision.CANCEL
        if min(machine.free_cpus, machine.free_gpus, machine.free_memory_gb) < -RESOURCE_EPSILON:
            # An earlier leader used the machine for other tasks, or enqueued this one for capacity
            # that the machine doesn't have.
            return LaunchDecision.CANCEL
        # An earlier leader may have enqueued the task, and would have counted it against the team's
        # quota only at its launch. This leader has counted all such tasks, and together they may
        # exceed the quota.
        if feasibility.exceeds_quota(
            job.spec, self._cluster_state.inventory, self._cluster_state.settings.teams
        ):
            return LaunchDecision.CANCEL
        return self._decide_zone(machine, placement)

    def decide_enqueued(self, machine: Machine, placement: Placement) -> LaunchDecision:
        """Decide on a task that waits in the machine's prelaunch queue, if there is room for it."""
        job = placement.job
        if not self._fits_beside_waiting_jobs(machine, job):
            return LaunchDecision.WAIT
        inventory, teams = self._cluster_state.inventory, self._cluster_state.settings.teams
        if feasibility.quota_headroom(job.spec, inventory, teams) < 1:
            return LaunchDecision.WAIT
        return self._decide_zone(machine, placement)

    def _decide_zone(self, machine: Machine, placement: Placement) -> LaunchDecision:
        """Decide by the zones of the job's other tasks."""
        job = placement.job
        if not zone_constraints.is_zone_bound(job.spec):
            return LaunchDecision.LAUNCH
        zones = self._tasks_by_zone.get(job.id)
        if zones is None:
            zones = zone_constraints.tasks_by_zone(job, self._cluster_state.inventory)
            self._tasks_by_zone[job.id] = zones
        fit = zone_constraints.zone_fit(job.spec, zones, machine.zone)
        if fit is ZoneFit.FITS:
            return LaunchDecision.LAUNCH
        if fit is ZoneFit.UNDECIDED:
            return LaunchDecision.WAIT
        log.info(
            "recorded task not launched machine=%s task=%s reason=zone tasks_by_zone=%s",
            machine.id,
            placement.key,
            zones,
        )
        return LaunchDecision.CANCEL

    def _fits_beside_waiting_jobs(self, machine: Machine, job: Job) -> bool:
        """Return whether a task of the job fits into the capacity that is not kept for other jobs.

        Capacity is kept for the tasks of unplaced jobs of higher priority. A starving job may use
        that capacity, so the result is then True.
        """
        if job.is_starving:
            return True
        cpus, gpus, memory_gb = machine.free_cpus, machine.free_gpus, machine.free_memory_gb
        for waiting_job in self._planner.unplaced_jobs:
            spec = waiting_job.spec
            if waiting_job.priority > job.priority and feasibility.is_feasible(spec, machine):
                task_count = feasibility.count_fitting(spec, cpus, gpus, memory_gb)
                cpus -= task_count * spec.cpus
                gpus -= task_count * spec.gpus
                memory_gb -= task_count * spec.memory_gb
        return feasibility.count_fitting(job.spec, cpus, gpus, memory_gb) >= 1
