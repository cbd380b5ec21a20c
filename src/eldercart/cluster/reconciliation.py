"""Reconciliation of the tasks in a heartbeat with the recorded placements.

It updates the placements and collects the commands for the heartbeat's response.
"""

import logging
from dataclasses import dataclass, field

from eldercart.cluster.inventory import Machine
from eldercart.cluster.launch_guard import LaunchDecision, LaunchGuard
from eldercart.jobs.job import Placement, PlacementPhase
from eldercart.scheduling import feasibility
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.scheduling.planner import Planner
from eldercart.units import MonotonicTime
from eldercart.wire import workers
from eldercart.wire.workers import ExitCause, TaskState

log = logging.getLogger("eldercart.controller")

# Module globals spare an attribute lookup for each task of each heartbeat.
RUNNING, SAVING, EXITED = TaskState.RUNNING, TaskState.SAVING, TaskState.EXITED
# Number of heartbeat intervals without new launches for a machine that rejected a start.
REJECTED_START_BACKOFF_HEARTBEATS = 2


@dataclass(slots=True)
class ReconciliationResult:
    """Findings from one heartbeat and the commands for its response."""

    commands: list[workers.Command] = field(default_factory=list)
    has_unknown_tasks: bool = False  # the heartbeat lists live attempts not placed here
    has_command_effect: bool = False  # an earlier command has taken effect
    has_ignored_command: bool = False  # an earlier command has had no effect


class Reconciler:
    """Reconciles the recorded placements with heartbeats.

    Each heartbeat must carry the current fencing token and be newer than the machine's last one.
    """

    def __init__(self, cluster_state: ClusterState, planner: Planner) -> None:
        """Read the planner's unplaced jobs to decide when to plan and which capacity to keep."""
        self._cluster_state = cluster_state
        self._planner = planner
        self._launch_guard = LaunchGuard(cluster_state, planner)
        # Number of the current heartbeat; it is stored in each placement that the heartbeat lists.
        self._heartbeat_number = 0

    def reconcile(
        self, machine: Machine, heartbeat: workers.Heartbeat, now: MonotonicTime
    ) -> ReconciliationResult:
        """Handle the listed tasks, then the absent ones, then launch enqueued tasks that fit."""
        result = ReconciliationResult()
        self._heartbeat_number += 1
        self._reconcile_listed(machine, heartbeat, result, now)
        if machine.has_unknown_tasks and not result.has_unknown_tasks:
            self._cluster_state.request_planning()
        machine.has_unknown_tasks = result.has_unknown_tasks
        if machine.live_task_count:
            self._reconcile_absent(machine, result, now)
        if machine.prelaunch_queue:
            self._launch_enqueued(machine, result, now)
        return result

    # -- tasks that the heartbeat lists

    def _reconcile_listed(
        self,
        machine: Machine,
        heartbeat: workers.Heartbeat,
        result: ReconciliationResult,
        now: MonotonicTime,
    ) -> None:
        heartbeat_number = self._heartbeat_number
        placements = machine.placements
        for task in heartbeat.tasks:
            key, attempt, state, cause = task
            placement = placements.get(key)
            if placement is None or placement.attempt != attempt:
                self._reject_unplaced_task(machine, placement, task, result)
                continue
            placement.last_heartbeat_number = heartbeat_number
            placement.may_have_launched = True
            if placement.phase is PlacementPhase.ENDED:
                continue  # The task is cleared once its end is durable.
            if state == EXITED:
                result.has_command_effect = True
                self._on_exited(machine, placement, cause, now)
                if key not in placements:
                    # A done task is not cleared yet: until its end is durable, the worker's list is
                    # the only record of it.
                    result.commands.append(workers.Clear(key, attempt))
                continue
            if not placement.has_been_reported:
                self._on_first_listed(machine, placement, result)
            # Skip the call for the usual case of a task that keeps running.
            if placement.phase is not PlacementPhase.RUNNING or state != RUNNING:
                self._update_phase(placement, state, now)
            if placement.is_terminating:
                self._repeat_kill(placement, state, result)

    def _reject_unplaced_task(
        self,
        machine: Machine,
        placement: Placement | None,
        task: workers.TaskStatus,
        result: ReconciliationResult,
    ) -> None:
        """Clear or kill a task attempt that is not placed on this machine.

        `placement` is another attempt of the task that is placed here, or None.
        """
        if task.state == EXITED:
            result.commands.append(workers.Clear(task.key, task.attempt))
        else:
            result.commands.append(workers.Kill(task.key, task.attempt, 0.0))
            result.has_unknown_tasks = True
            if placement is None:
                log.debug("unknown task machine=%s task=%s", machine.id, task.key)
        if placement is not None:
            # The worker would reject a launch while the old attempt exists. Count the placement as
            # listed, so that it is not launched before the old attempt is cleared.
            placement.last_heartbeat_number = self._heartbeat_number

    def _on_first_listed(
        self, machine: Machine, placement: Placement, result: ReconciliationResult
    ) -> None:
        """Record that the launch took effect and that the machine has or fetches the image."""
        placement.has_been_reported = True
        self._cluster_state.inventory.record_image_use(
            machine, placement.job.spec.image, placement.job.spec.image_gb
        )
        if placement.unacknowledged_commands:
            result.has_command_effect = True
            placement.unacknowledged_commands = 0

    def _update_phase(self, placement: Placement, state: str, now: MonotonicTime) -> None:
        """Set the placement's phase from the listed state; not for a task that keeps running."""
        jobs = self._cluster_state.jobs
        if state == RUNNING:
            self._cluster_state.add_start_latency(now - placement.job.ready_at)
            jobs.set_phase(placement, PlacementPhase.RUNNING, now)
        elif state == SAVING:
            jobs.set_phase(placement, PlacementPhase.SAVING, now)
        elif placement.phase is not PlacementPhase.FETCHING:
            jobs.set_phase(placement, PlacementPhase.FETCHING, now)

    def _repeat_kill(self, placement: Placement, state: str, result: ReconciliationResult) -> None:
        """Send the kill again, as in every response until a newer heartbeat lacks the task."""
        if state == SAVING:
            result.has_command_effect = True
        elif placement.unacknowledged_commands:
            result.has_ignored_command = True
        placement.unacknowledged_commands += 1
        # A task of a cancelled job needs no checkpoint; any other gets the time to save one.
        grace_s = (
            0.0 if placement.job.is_cancellation_requested else placement.job.spec.checkpoint_save_s
        )
        result.commands.append(workers.Kill(placement.key, placement.attempt, grace_s))

    # -- tasks that have exited

    def _on_exited(
        self, machine: Machine, placement: Placement, cause: str | None, now: MonotonicTime
    ) -> None:
        job = placement.job
        if job.is_runnable and cause == ExitCause.DONE:
            self._on_done(machine, placement, now)
            return
        # The end of a job that isn't runnable is decided or even durable: a new leader may load
        # such a job before its records are deleted. A second end of the job would be
        # rejected on every retry.
        if job.is_runnable:
            self._on_failed(machine, placement, cause, now)
        self._cluster_state.cancel_placement(placement, now)

    def _on_done(self, machine: Machine, placement: Placement, now: MonotonicTime) -> None:
        cluster_state = self._cluster_state
        job = placement.job
        run_time_s = placement.run_time_s(now) if placement.is_start_known else 0.0
        cluster_state.inventory.release(machine, placement, now)
        cluster_state.jobs.mark_done(placement, now)
        cluster_state.mark_dirty(job)
        if job.unplaced_count or job.enqueued_count or self._planner.unplaced_jobs:
            cluster_state.request_planning()
        job.has_started = True
        cluster_state.completed_cpu_s += run_time_s * job.spec.cpus
        cluster_state.predictor.record_run_time(job, run_time_s)
        if cluster_state.health.record_task_success(machine, job, run_time_s):
            cluster_state.cordon(machine, "slow", now)
        if job.is_complete:
            cluster_state.mark_finalizing(job)

    def _on_failed(
        self, machine: Machine, placement: Placement, cause: str | None, now: MonotonicTime
    ) -> None:
        """Handle a task that was killed or failed, or whose start was rejected.

        A failure may be evidence against the machine or the job. A rejected start delays further
        launches on the machine.
        """
        cluster_state = self._cluster_state
        if cause == ExitCause.ERROR and not placement.is_terminating:
            _log_task_event("task failed", machine, placement)
            if cluster_state.health.record_task_failure(machine, placement.job, now):
                cluster_state.cordon(machine, "failing", now)
        elif cause in (ExitCause.NO_CAPACITY, ExitCause.BUSY, ExitCause.UNKNOWN_TASK):
            self._on_start_rejected(machine, placement, cause, now)

    def _on_start_rejected(
        self, machine: Machine, placement: Placement, cause: str | None, now: MonotonicTime
    ) -> None:
        cluster_state = self._cluster_state
        log.info("start rejected machine=%s task=%s cause=%s", machine.id, placement.key, cause)
        backoff_s = REJECTED_START_BACKOFF_HEARTBEATS * cluster_state.settings.report_s
        machine.launch_backoff_until = MonotonicTime(now + backoff_s)
        if cause == ExitCause.UNKNOWN_TASK:
            error_backoff_s = cluster_state.tuning.error_backoff_s
            placement.job.backoff_until = MonotonicTime(now + error_backoff_s)

    # -- tasks that the heartbeat lacks

    def _reconcile_absent(
        self, machine: Machine, result: ReconciliationResult, now: MonotonicTime
    ) -> None:
        absent = [
            placement
            for placement in machine.placements.values()
            if placement.last_heartbeat_number != self._heartbeat_number
        ]
        self._launch_guard.reset_counts()
        for placement in absent:
            if placement.phase is PlacementPhase.ENDED or placement.phase is PlacementPhase.PLANNED:
                continue
            decision = self._decide_absent(machine, placement)
            if decision is LaunchDecision.LAUNCH:
                self._relaunch(placement, result)
            elif decision is LaunchDecision.CANCEL:
                self._cluster_state.cancel_placement(placement, now)
                self._launch_guard.on_cancelled(machine, placement.job)

    def _decide_absent(self, machine: Machine, placement: Placement) -> LaunchDecision:
        if placement.has_been_reported and not placement.is_terminating:
            # An earlier heartbeat listed the task and this one lacks it: its agent epoch has ended.
            if placement.job.is_runnable:
                _log_task_event("task lost", machine, placement)
            return LaunchDecision.CANCEL
        return self._launch_guard.decide_absent(machine, placement)

    def _relaunch(self, placement: Placement, result: ReconciliationResult) -> None:
        """Launch a task that was never launched or whose launch was dropped.

        The task's absence from a newer heartbeat shows that an earlier launch was dropped.
        """
        if placement.unacknowledged_commands > 0:
            result.has_ignored_command = True
        placement.is_start_known = True
        placement.may_have_launched = True
        placement.unacknowledged_commands += 1
        result.commands.append(workers.Launch(placement.key, placement.attempt))

    # -- the prelaunch queue

    def _launch_enqueued(
        self, machine: Machine, result: ReconciliationResult, now: MonotonicTime
    ) -> None:
        """Launch the enqueued tasks for which the machine has room after this heartbeat."""
        if not machine.is_schedulable:
            return
        self._launch_guard.reset_counts()
        for placement in sorted(machine.prelaunch_queue.values(), key=_launch_order):
            if placement.phase is not PlacementPhase.COMMITTED:
                continue
            if placement.key in machine.placements:
                continue
            spec = placement.job.spec
            fitting = feasibility.count_fitting(
                spec, machine.free_cpus, machine.free_gpus, machine.free_memory_gb
            )
            if fitting < 1:
                return
            if self._launch_guard.decide_enqueued(machine, placement) is LaunchDecision.LAUNCH:
                self._launch(machine, placement, result, now)

    def _launch(
        self,
        machine: Machine,
        placement: Placement,
        result: ReconciliationResult,
        now: MonotonicTime,
    ) -> None:
        cluster_state = self._cluster_state
        cluster_state.jobs.mark_dequeued(placement)
        cluster_state.inventory.dequeue(machine, placement)
        cluster_state.inventory.allocate(machine, placement)
        placement.may_have_launched = True
        placement.unacknowledged_commands = 1
        placement.job.last_placed_at = now
        result.commands.append(workers.Launch(placement.key, placement.attempt))


def _launch_order(placement: Placement) -> tuple[bool, int, int, MonotonicTime]:
    return (
        not placement.job.is_starving,
        -placement.job.priority,
        placement.job.queue_position,
        placement.enqueued_at,
    )


def _log_task_event(event: str, machine: Machine, placement: Placement) -> None:
    log.info(
        "%s machine=%s task=%s attempt=%d", event, machine.id, placement.key, placement.attempt
    )
