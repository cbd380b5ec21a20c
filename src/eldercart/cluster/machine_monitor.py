"""Periodic check of all machines: overdue boots, silence, preemption notices, overdue tasks."""

import logging

from eldercart.cluster.failure_detector import FailureDetector
from eldercart.cluster.inventory import RESOURCE_EPSILON, Machine, MachineState, is_being_cancelled
from eldercart.jobs.job import Placement, PlacementPhase
from eldercart.scheduling import feasibility
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.scheduling.pacing import AdaptiveInterval
from eldercart.units import MonotonicTime

log = logging.getLogger("eldercart.controller")

RECLAIM_SAFETY_FACTOR = 1.3  # factor on the time left, because run times are uncertain
CHECK_INTERVAL_S = 0.5  # minimum time between two checks of silence and boots
TASK_CHECK_INTERVAL_S = 1.5  # minimum time between two checks of tasks
# Heartbeat intervals that a kill in a response has to take effect before it is sent directly.
DIRECT_KILL_AFTER_HEARTBEATS = 2.5
DRAINABLE_PHASES = (PlacementPhase.COMMITTED, PlacementPhase.FETCHING, PlacementPhase.RUNNING)
# Time that tasks on a cordoned machine may keep running while a pending task needs their capacity.
CORDON_GRACE_S = 45.0


class MachineMonitor:
    """Detects failures that no heartbeat reports, and deletes machines that are unusable."""

    def __init__(self, cluster_state: ClusterState, failure_detector: FailureDetector) -> None:
        """Start with the first check due at once."""
        self._cluster_state = cluster_state
        self._failure_detector = failure_detector
        self._check_interval = AdaptiveInterval(CHECK_INTERVAL_S)
        self._task_check_interval = AdaptiveInterval(TASK_CHECK_INTERVAL_S)

    def record_duration(self, seconds: float) -> None:
        """Record the duration of the last check; thousands of machines are checked less often."""
        self._check_interval.record_duration(seconds)
        self._task_check_interval.record_duration(seconds)

    def check(self, now: MonotonicTime) -> None:
        """Check each machine, if the check is due."""
        if not self._check_interval.is_due(now):
            return
        self._check_interval.start(now)
        tasks_due = self._task_check_interval.is_due(now)
        if tasks_due:
            self._task_check_interval.start(now)
        timeout_s = self._failure_detector.timeout_s
        self._failure_detector.update_unreachable_nodes(now)
        for machine in self._cluster_state.inventory.machines.values():
            if machine.state is not MachineState.DELETING:
                self._check_machine(machine, timeout_s, now, tasks_due=tasks_due)
            elif tasks_due:
                self._check_deleting_machine(machine)

    def _check_deleting_machine(self, machine: Machine) -> None:
        """Repeat pending kills: until the cloud confirms the deletion, the machine may be alive."""
        if any(placement.is_terminating for placement in machine.placements.values()):
            self._cluster_state.mark_needs_command(machine)
            self._cluster_state.pending_commands.request_direct_kill(machine.id)

    def _check_machine(
        self, machine: Machine, timeout_s: float, now: MonotonicTime, *, tasks_due: bool
    ) -> None:
        cluster_state = self._cluster_state
        if machine.reclaim_at is not None:
            self._drain_before_reclaim(machine, machine.reclaim_at, now)
        if machine.state is MachineState.BOOTING:
            if self._failure_detector.is_boot_overdue(machine, now):
                boot_s = now - machine.provisioned_at
                log.info("machine boot overdue machine=%s boot_s=%.1f", machine.id, boot_s)
                cluster_state.request_deletion(machine, now)
        elif self._failure_detector.is_dead(machine, timeout_s, now):
            silence_s = now - machine.last_heartbeat_at
            log.info("machine heartbeat timeout machine=%s silence_s=%.1f", machine.id, silence_s)
            cluster_state.request_deletion(machine, now)
        elif machine.is_cordoned and not machine.live_task_count:
            cluster_state.request_deletion(machine, now)
        elif tasks_due and (machine.live_task_count or machine.prelaunch_queue):
            self._check_tasks(machine, now)

    # -- tasks

    def _check_tasks(self, machine: Machine, now: MonotonicTime) -> None:
        cluster_state = self._cluster_state
        health = cluster_state.health
        if machine.prelaunch_queue and machine.free_cpus > RESOURCE_EPSILON:
            cluster_state.mark_needs_command(machine)
        cordon_grace_over = now - machine.cordoned_at > CORDON_GRACE_S
        if machine.is_cordoned and cordon_grace_over and self._blocks_pending_task(machine):
            self._kill_all_placements(machine, now)
        for placement in list(machine.placements.values()):
            if placement.phase is PlacementPhase.COMMITTED and not placement.has_been_reported:
                # The request for the next heartbeat may have been lost on its way to the relay.
                cluster_state.mark_needs_command(machine)
            if placement.is_terminating:
                self._escalate_kill(machine, placement, now)
                if placement.job.is_cancellation_requested and now > placement.job.kill_deadline_at:
                    log.info("kill overdue machine=%s task=%s", machine.id, placement.key)
                    cluster_state.request_deletion(machine, now)
                    return
            elif placement.phase is PlacementPhase.RUNNING and health.is_straggler(placement, now):
                self._kill_straggler(machine, placement, now)

    def _kill_all_placements(self, machine: Machine, now: MonotonicTime) -> None:
        for placement in list(machine.placements.values()):
            if placement.phase is not PlacementPhase.ENDED:
                self._cluster_state.kill_placement(placement, now)

    def _escalate_kill(self, machine: Machine, placement: Placement, now: MonotonicTime) -> None:
        """Send the kill in the next heartbeat response, and directly if that has no effect.

        Only kills of cancelled tasks go to the worker directly.
        """
        if placement.phase is not PlacementPhase.ENDED:
            self._cluster_state.mark_needs_command(machine)
        direct_after_s = DIRECT_KILL_AFTER_HEARTBEATS * self._cluster_state.settings.report_s
        if (
            is_being_cancelled(placement)
            and now - placement.job.cancellation_requested_at > direct_after_s
        ):
            self._cluster_state.pending_commands.request_direct_kill(machine.id)

    def _kill_straggler(self, machine: Machine, placement: Placement, now: MonotonicTime) -> None:
        cluster_state = self._cluster_state
        log.info("straggler killed task=%s machine=%s", placement.key, machine.id)
        placement.job.avoid_machine(machine.id, now)
        cluster_state.kill_placement(placement, now)
        if cluster_state.health.record_straggler(machine, placement.job):
            cluster_state.cordon(machine, "slow", now)

    def _blocks_pending_task(self, machine: Machine) -> bool:
        """Return whether a pending task would fit on this machine if it were not cordoned.

        Where no machine can be added, a long task on a cordoned machine would block the pending
        task for as long as it runs.
        """
        return any(
            feasibility.is_feasible(job.spec, machine)
            and feasibility.count_fitting(
                job.spec, machine.free_cpus, machine.free_gpus, machine.free_memory_gb
            )
            and feasibility.quota_headroom(
                job.spec, self._cluster_state.inventory, self._cluster_state.settings.teams
            )
            for job in self._cluster_state.jobs.jobs.values()
            if (job.unplaced_count or job.enqueued_count) and job.is_runnable
        )

    def _drain_before_reclaim(
        self, machine: Machine, reclaim_at: MonotonicTime, now: MonotonicTime
    ) -> None:
        """Kill the tasks that should restart elsewhere before the cloud reclaims the machine.

        These are the tasks that can't end in time, which lose less work if they are killed now, and
        the tasks that can save a checkpoint when they are killed. A task that may end in time keeps
        running.
        """
        time_left_s = reclaim_at - now
        for placement in list(machine.placements.values()):
            if placement.is_terminating or placement.phase not in DRAINABLE_PHASES:
                continue
            if not placement.is_start_known:
                continue
            if self._should_drain(placement, time_left_s, now):
                self._cluster_state.kill_placement(placement, now)

    def _should_drain(self, placement: Placement, time_left_s: float, now: MonotonicTime) -> bool:
        spec = placement.job.spec
        if spec.checkpoint_interval_s > 0.0 and spec.checkpoint_save_s < time_left_s:
            return True
        expected_s = self._cluster_state.predictor.expected_run_s(placement.job)
        remaining_s = expected_s - placement.run_time_s(now)
        return remaining_s > RECLAIM_SAFETY_FACTOR * time_left_s
