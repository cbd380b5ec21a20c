"""Reconciliation of the tasks in a heartbeat with the recorded placements.

It updates the placements and collects the commands that answer the heartbeat.
"""

import logging
from dataclasses import dataclass, field

from eldercart.cluster.inventory import RESOURCE_EPSILON, Machine, MachineState
from eldercart.jobs.job import Job, Placement, PlacementPhase
from eldercart.scheduling import feasibility
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.scheduling.planner import Planner
from eldercart.units import MonotonicTime
from eldercart.wire import workers
from eldercart.wire.workers import ExitCause, TaskState

log = logging.getLogger("eldercart.controller")

# Looked up once, as they are compared with each task of each heartbeat.
RUNNING, SAVING, EXITED = TaskState.RUNNING, TaskState.SAVING, TaskState.EXITED
# heartbeat intervals for which a machine that rejected a start gets no other
REJECTED_START_BACKOFF_HEARTBEATS = 2


@dataclass(slots=True)
class ReconciliationResult:
    """What one heartbeat showed, and the commands that answer it."""

    commands: list[workers.Command] = field(default_factory=list)
    has_unknown_tasks: bool = False  # the machine has live tasks that no record knows
    has_command_effect: bool = False  # an earlier command has had its effect
    has_ignored_command: bool = False  # an earlier command has had none


class Reconciler:
    """Reconciles the recorded placements with heartbeats.

    The heartbeats must carry the current token, and each of a machine must be newer than its last.
    """

    def __init__(self, cluster_state: ClusterState, planner: Planner) -> None:
        """Share the recorded state with the planner, whose unplaced jobs keep their room."""
        self._cluster_state = cluster_state
        self._planner = planner
        self._heartbeat_number = 0  # of this heartbeat; the placements that it lists carry it

    def reconcile(
        self, machine: Machine, heartbeat: workers.Heartbeat, now: MonotonicTime
    ) -> ReconciliationResult:
        """Handle the listed tasks, then the missing ones, then launch what has room."""
        found = ReconciliationResult()
        self._heartbeat_number += 1
        self._reconcile_listed(machine, heartbeat, found, now)
        if machine.has_unknown_tasks and not found.has_unknown_tasks:
            self._cluster_state.request_planning()
        machine.has_unknown_tasks = found.has_unknown_tasks
        if machine.live_task_count:
            self._reconcile_absent(machine, found, now)
        if machine.prelaunch_queue:
            self._launch_enqueued(machine, found, now)
        return found

    # -- tasks that the heartbeat lists

    def _reconcile_listed(
        self,
        machine: Machine,
        heartbeat: workers.Heartbeat,
        found: ReconciliationResult,
        now: MonotonicTime,
    ) -> None:
        heartbeat_number = self._heartbeat_number
        placements = machine.placements
        for task in heartbeat.tasks:
            key, attempt, state, cause = task
            placement = placements.get(key)
            if placement is None or placement.attempt != attempt:
                self._reject_unplaced_task(machine, placement, task, found)
                continue
            placement.last_heartbeat_number = heartbeat_number
            placement.may_have_launched = True
            if placement.phase is PlacementPhase.ENDED:
                continue  # done, not yet durable: not cleared yet
            if state == EXITED:
                found.has_command_effect = True
                self._on_exited(machine, placement, cause, now)
                if key not in placements:
                    # A done task is not cleared: until that is durable, this is the record.
                    found.commands.append(workers.Clear(key, attempt))
                continue
            if not placement.has_been_reported:
                self._on_first_listed(machine, placement, found)
            # Of most tasks there is nothing new to note.
            if placement.phase is not PlacementPhase.RUNNING or state != RUNNING:
                self._update_phase(placement, state, now)
            if placement.is_terminating:
                self._repeat_kill(placement, state, found)

    def _reject_unplaced_task(
        self,
        machine: Machine,
        placement: Placement | None,
        task: workers.TaskStatus,
        found: ReconciliationResult,
    ) -> None:
        """Clear or kill a task that is not placed here, or of which another attempt is.

        `placement` is that other attempt.
        """
        if task.state == EXITED:
            found.commands.append(workers.Clear(task.key, task.attempt))
        else:
            found.commands.append(workers.Kill(task.key, task.attempt, 0.0))
            found.has_unknown_tasks = True
            if placement is None:
                log.debug("unknown task machine=%s task=%s", machine.id, task.key)
        if placement is not None:
            # A launch beside it would be rejected: wait until it is cleared.
            placement.last_heartbeat_number = self._heartbeat_number

    def _on_first_listed(
        self, machine: Machine, placement: Placement, found: ReconciliationResult
    ) -> None:
        """Note that the launch has had its effect, and that the image is there or on its way."""
        placement.has_been_reported = True
        self._cluster_state.inventory.record_image_use(
            machine, placement.job.spec.image, placement.job.spec.image_gb
        )
        if placement.unacknowledged_commands:
            found.has_command_effect = True
            placement.unacknowledged_commands = 0

    def _update_phase(self, placement: Placement, state: str, now: MonotonicTime) -> None:
        """Follow the state of a listed task, unless it was running and still is."""
        jobs = self._cluster_state.jobs
        if state == RUNNING:
            self._cluster_state.add_start_latency(now - placement.job.ready_at)
            jobs.set_phase(placement, PlacementPhase.RUNNING, now)
        elif state == SAVING:
            jobs.set_phase(placement, PlacementPhase.SAVING, now)
        elif placement.phase is not PlacementPhase.FETCHING:
            jobs.set_phase(placement, PlacementPhase.FETCHING, now)

    def _repeat_kill(self, placement: Placement, state: str, found: ReconciliationResult) -> None:
        """Repeat the kill in every answer until a newer heartbeat lacks the task."""
        if state == SAVING:
            found.has_command_effect = True
        elif placement.unacknowledged_commands:
            found.has_ignored_command = True
        placement.unacknowledged_commands += 1
        # A cancelled job's work is of no use; otherwise let the task save.
        grace_s = 0.0 if placement.job.is_cancelled else placement.job.spec.checkpoint_save_s
        found.commands.append(workers.Kill(placement.key, placement.attempt, grace_s))

    # -- tasks that have exited

    def _on_exited(
        self, machine: Machine, placement: Placement, cause: str | None, now: MonotonicTime
    ) -> None:
        job = placement.job
        if job.is_runnable and cause == ExitCause.DONE:
            self._on_done(machine, placement, now)
            return
        # If its job isn't runnable, its end is decided or even durable (a new leader may load such
        # a job before its records are deleted); to end it once more would be rejected for ever.
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
        """Handle a task that was killed, failed or was rejected.

        That may be evidence against the machine or the job.
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
        self, machine: Machine, found: ReconciliationResult, now: MonotonicTime
    ) -> None:
        absent = [
            placement
            for placement in machine.placements.values()
            if placement.last_heartbeat_number != self._heartbeat_number
        ]
        for placement in absent:
            if placement.phase is PlacementPhase.ENDED or placement.phase is PlacementPhase.PLANNED:
                continue
            if self._is_given_up(machine, placement):
                self._cluster_state.cancel_placement(placement, now)
            else:
                self._relaunch(placement, found)

    def _is_given_up(self, machine: Machine, placement: Placement) -> bool:
        """Return whether a task that a newer heartbeat lacks is given up instead of launched."""
        if placement.is_terminating or not placement.job.is_runnable:
            return True
        if placement.has_been_reported:
            # It was there and a newer heartbeat lacks it: its agent epoch has ended.
            _log_task_event("task lost", machine, placement)
            return True
        if machine.state is not MachineState.UP or machine.is_unschedulable:
            return True
        if min(machine.free_cpus, machine.free_gpus, machine.free_memory_gb) < -RESOURCE_EPSILON:
            # Enqueued by an earlier leader for room that is not there: not launched.
            return True
        # Enqueued by an earlier leader, which would have counted it when it was launched: this one
        # has counted all of them, and together they may be more than the team's quota.
        return feasibility.exceeds_quota(
            placement.job.spec, self._cluster_state.inventory, self._cluster_state.settings.teams
        )

    def _relaunch(self, placement: Placement, found: ReconciliationResult) -> None:
        """Launch a task, once more if need be.

        Its absence from a newer heartbeat shows that an earlier launch was dropped.
        """
        if placement.unacknowledged_commands > 0:
            found.has_ignored_command = True
        placement.is_start_known = True
        placement.may_have_launched = True
        placement.unacknowledged_commands += 1
        found.commands.append(workers.Launch(placement.key, placement.attempt))

    # -- the prelaunch queue

    def _launch_enqueued(
        self, machine: Machine, found: ReconciliationResult, now: MonotonicTime
    ) -> None:
        """Launch enqueued tasks for which the heartbeat has shown that there is room."""
        if not machine.is_schedulable:
            return
        inventory, teams = self._cluster_state.inventory, self._cluster_state.settings.teams
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
            if not self._fits_beside_waiting_jobs(machine, placement.job):
                continue
            if feasibility.quota_headroom(spec, inventory, teams) < 1:
                continue
            self._launch(machine, placement, found, now)

    def _fits_beside_waiting_jobs(self, machine: Machine, job: Job) -> bool:
        """Return whether a task fits without breaking up room for waiting jobs.

        Room for a waiting task of higher priority is kept; the rest may be used.
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

    def _launch(
        self,
        machine: Machine,
        placement: Placement,
        found: ReconciliationResult,
        now: MonotonicTime,
    ) -> None:
        cluster_state = self._cluster_state
        cluster_state.jobs.mark_dequeued(placement)
        cluster_state.inventory.dequeue(machine, placement)
        cluster_state.inventory.allocate(machine, placement)
        placement.may_have_launched = True
        placement.unacknowledged_commands = 1
        placement.job.last_placed_at = now
        found.commands.append(workers.Launch(placement.key, placement.attempt))


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
