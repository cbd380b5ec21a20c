"""A report's tasks against the recorded state: what has changed, and what the machine is told to
do."""

import logging
from dataclasses import dataclass, field

from eldercart.cluster.inventory import RESOURCE_EPSILON, Machine, MachineState
from eldercart.jobs.registry import Job, Placement, PlacementPhase
from eldercart.scheduling import feasibility
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.scheduling.planner import Planner
from eldercart.units import MonotonicTime
from eldercart.wire import workers
from eldercart.wire.workers import ExitCause, TaskState

log = logging.getLogger("eldercart.controller")

# Looked up once, as they are compared with each task of each report.
RUNNING, SAVING, EXITED = TaskState.RUNNING, TaskState.SAVING, TaskState.EXITED
REJECTED_START_BACKOFF_HEARTBEATS = (
    2  # report intervals for which a machine that refused a start gets no other
)


@dataclass(slots=True)
class ReconciliationResult:
    """What one report showed, and the commands that answer it."""

    commands: list[workers.Command] = field(default_factory=list)
    has_unknown_tasks: bool = False  # it has live tasks that no record knows
    has_command_effect: bool = False  # something that it was told has had its effect
    has_ignored_command: bool = False  # something that it was told has had none


class Reconciler:
    """Brings the recorded state into line with reports of the current epoch, each newer than the
    last."""

    def __init__(self, cluster_state: ClusterState, planner: Planner) -> None:
        """Shares the recorded state with the planner, whose waiting jobs keep their room."""
        self._cluster_state = cluster_state
        self._planner = planner
        self._heartbeat_number = 0  # of the report being read: what it lists carries the same

    def reconcile(
        self, machine: Machine, heartbeat: workers.Heartbeat, now: MonotonicTime
    ) -> ReconciliationResult:
        """Reads what the report lists, then what it lacks, then launches what has room."""
        found = ReconciliationResult()
        self._heartbeat_number += 1
        self._reconcile_listed(machine, heartbeat, found, now)
        if machine.has_unknown_tasks and not found.has_unknown_tasks:
            self._cluster_state.is_planning_requested = True
        machine.has_unknown_tasks = found.has_unknown_tasks
        if machine.live_task_count:
            self._reconcile_absent(machine, found, now)
        if machine.prelaunch_queue:
            self._launch_enqueued(machine, found, now)
        return found

    # -- what the report lists

    def _reconcile_listed(
        self,
        machine: Machine,
        heartbeat: workers.Heartbeat,
        found: ReconciliationResult,
        now: MonotonicTime,
    ) -> None:
        mark = self._heartbeat_number
        placed = machine.placements
        for task in heartbeat.tasks:
            key, attempt, state, why = task
            placement = placed.get(key)
            if placement is None or placement.attempt != attempt:
                self._reject_unplaced_task(machine, placement, task, found)
                continue
            placement.last_heartbeat_number = mark
            placement.may_have_launched = True
            if placement.phase is PlacementPhase.ENDED:
                continue  # done, not yet durable: no clear yet
            if state == EXITED:
                found.has_command_effect = True
                self._on_exited(machine, placement, why, now)
                if key not in placed:
                    # Not of a done one: until it is durable, this is the record.
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
        """Not ours any more, or another attempt (`placement`: ours): out with it."""
        if task.state == EXITED:
            found.commands.append(workers.Clear(task.key, task.attempt))
        else:
            found.commands.append(workers.Kill(task.key, task.attempt, 0.0))
            found.has_unknown_tasks = True
            if placement is None:
                log.debug("unknown task machine=%s task=%s", machine.id, task.key)
        if placement is not None:
            # A launch beside it would be refused: wait until it is cleared.
            placement.last_heartbeat_number = self._heartbeat_number

    def _on_first_listed(
        self, machine: Machine, placement: Placement, found: ReconciliationResult
    ) -> None:
        """The launch has had its effect, and the image is there or on its way."""
        placement.has_been_reported = True
        self._cluster_state.inventory.record_image_use(
            machine, placement.job.spec.image, placement.job.spec.image_gb
        )
        if placement.unacknowledged_commands:
            found.has_command_effect = True
            placement.unacknowledged_commands = 0

    def _update_phase(self, placement: Placement, state: str, now: MonotonicTime) -> None:
        """The task is listed in another state than running on."""
        scheduler = self._cluster_state
        if state == RUNNING:
            scheduler.start_latencies_s.append(now - placement.job.ready_at)
            scheduler.jobs.set_phase(placement, PlacementPhase.RUNNING, now)
        elif state == SAVING:
            scheduler.jobs.set_phase(placement, PlacementPhase.SAVING, now)
        elif placement.phase is not PlacementPhase.FETCHING:
            scheduler.jobs.set_phase(placement, PlacementPhase.FETCHING, now)

    def _repeat_kill(self, placement: Placement, state: str, found: ReconciliationResult) -> None:
        """Told in every answer until a newer report lacks the task."""
        if state == SAVING:
            found.has_command_effect = True
        elif placement.unacknowledged_commands:
            found.has_ignored_command = True
        placement.unacknowledged_commands += 1
        # A cancelled job's work is of no use; otherwise let the task save.
        grace_s = 0.0 if placement.job.is_cancelled else placement.job.spec.checkpoint_save_s
        found.commands.append(workers.Kill(placement.key, placement.attempt, grace_s))

    # -- tasks that have ended

    def _on_exited(
        self, machine: Machine, placement: Placement, cause: str | None, now: MonotonicTime
    ) -> None:
        job = placement.job
        if job.is_runnable and cause == ExitCause.DONE:
            self._on_done(machine, placement, now)
            return
        # If its job isn't open, its end is decided or even durable (a new leader may load such a
        # job before its records are deleted); to end it once more would be refused for ever.
        if job.is_runnable:
            self._on_failed(machine, placement, cause, now)
        self._cluster_state.cancel_placement(placement, now)

    def _on_done(self, machine: Machine, placement: Placement, now: MonotonicTime) -> None:
        scheduler = self._cluster_state
        job = placement.job
        ran = placement.run_time_s(now) if placement.is_start_known else 0.0
        scheduler.inventory.release(machine, placement, now)
        scheduler.jobs.mark_done(placement, now)
        scheduler.dirty_jobs[job.id] = job
        if job.unplaced_count or job.enqueued_count or self._planner.unplaced_jobs:
            scheduler.is_planning_requested = True
        job.has_started = True
        scheduler.completed_cpu_s += ran * job.spec.cpus
        scheduler.predictor.record_run_time(job, ran)
        if scheduler.health.record_task_success(machine, job, ran):
            scheduler.cordon(machine, "slow", now)
        if job.is_complete:
            scheduler.finalizing_jobs[job.id] = job

    def _on_failed(
        self, machine: Machine, placement: Placement, cause: str | None, now: MonotonicTime
    ) -> None:
        """Stopped, failed or refused: evidence against the machine or the job, if any."""
        scheduler = self._cluster_state
        if cause == ExitCause.ERROR and not placement.is_terminating:
            log.info(
                "task failed machine=%s task=%s attempt=%d",
                machine.id,
                placement.key,
                placement.attempt,
            )
            if scheduler.health.record_task_failure(machine, placement.job, now):
                scheduler.cordon(machine, "failing", now)
        elif cause in (ExitCause.NO_CAPACITY, ExitCause.BUSY, ExitCause.UNKNOWN_TASK):
            self._on_start_rejected(machine, placement.job, placement, cause, now)

    def _on_start_rejected(
        self,
        machine: Machine,
        job: Job,
        placement: Placement,
        cause: str | None,
        now: MonotonicTime,
    ) -> None:
        scheduler = self._cluster_state
        log.info("start refused machine=%s task=%s why=%s", machine.id, placement.key, cause)
        machine.launch_backoff_until = MonotonicTime(
            now + REJECTED_START_BACKOFF_HEARTBEATS * scheduler.settings.report_s
        )
        if cause == ExitCause.UNKNOWN_TASK:
            job.backoff_until = MonotonicTime(now + scheduler.tuning.error_backoff_s)

    # -- what the report lacks

    def _reconcile_absent(
        self, machine: Machine, found: ReconciliationResult, now: MonotonicTime
    ) -> None:
        absent = [
            p
            for p in machine.placements.values()
            if p.last_heartbeat_number != self._heartbeat_number
        ]
        for placement in absent:
            if placement.phase is PlacementPhase.ENDED or placement.phase is PlacementPhase.PLANNED:
                continue
            if self._is_given_up(machine, placement):
                self._cluster_state.cancel_placement(placement, now)
            else:
                self._relaunch(placement, found)

    def _is_given_up(self, machine: Machine, placement: Placement) -> bool:
        """Whether a task that a newer report lacks is given up there instead of launched."""
        if placement.is_terminating or not placement.job.is_runnable:
            return True
        if placement.has_been_reported:
            # It was there and a newer report lacks it: its session ended.
            log.info(
                "task lost machine=%s task=%s attempt=%d",
                machine.id,
                placement.key,
                placement.attempt,
            )
            return True
        if machine.state is not MachineState.UP or machine.is_unschedulable:
            return True
        if min(machine.free_cpus, machine.free_gpus, machine.free_memory_gb) < -RESOURCE_EPSILON:
            # Written ahead by an earlier leader for room that is not there: not launched.
            return True
        # Written ahead by an earlier leader, which would have counted it when it was launched:
        # this one has counted all of them, and together they may be more than the team may use.
        return feasibility.exceeds_quota(
            placement.job.spec, self._cluster_state.inventory, self._cluster_state.settings.teams
        )

    def _relaunch(self, placement: Placement, found: ReconciliationResult) -> None:
        """Again if need be: absence from a newer report shows that a launch was dropped."""
        if placement.unacknowledged_commands > 0:
            found.has_ignored_command = True
        placement.is_start_known = True
        placement.may_have_launched = True
        placement.unacknowledged_commands += 1
        found.commands.append(workers.Launch(placement.key, placement.attempt))

    # -- what was written ahead

    def _launch_enqueued(
        self, machine: Machine, found: ReconciliationResult, now: MonotonicTime
    ) -> None:
        """The report has shown what room there is; what was written ahead may start at once."""
        if not machine.is_schedulable:
            return
        teams = self._cluster_state.settings.teams
        for placement in sorted(machine.prelaunch_queue.values(), key=_launch_order):
            if (
                placement.phase is not PlacementPhase.COMMITTED
                or placement.key in machine.placements
            ):
                continue
            spec = placement.job.spec
            if (
                feasibility.count_fitting(
                    spec, machine.free_cpus, machine.free_gpus, machine.free_memory_gb
                )
                < 1
            ):
                return
            if not self._fits_beside_waiting_jobs(machine, placement.job):
                continue
            if feasibility.quota_headroom(spec, self._cluster_state.inventory, teams) < 1:
                continue
            self._launch(machine, placement, found, now)

    def _fits_beside_waiting_jobs(self, machine: Machine, job: Job) -> bool:
        """Room for a waiting task of higher priority is not broken up; the rest is used."""
        if job.is_starving:
            return True
        cpus, gpus, memory = machine.free_cpus, machine.free_gpus, machine.free_memory_gb
        for above in self._planner.unplaced_jobs:
            spec = above.spec
            if above.priority > job.priority and feasibility.is_feasible(spec, machine):
                number = feasibility.count_fitting(spec, cpus, gpus, memory)
                cpus -= number * spec.cpus
                gpus -= number * spec.gpus
                memory -= number * spec.memory_gb
        return feasibility.count_fitting(job.spec, cpus, gpus, memory) >= 1

    def _launch(
        self,
        machine: Machine,
        placement: Placement,
        found: ReconciliationResult,
        now: MonotonicTime,
    ) -> None:
        scheduler = self._cluster_state
        scheduler.jobs.mark_dequeued(placement)
        scheduler.inventory.dequeue(machine, placement)
        scheduler.inventory.allocate(machine, placement)
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
