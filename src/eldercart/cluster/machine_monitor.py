"""The leader's periodic look at all machines: late boots, silence, notices, overdue tasks."""

import logging

from eldercart.cluster.failure_detector import FailureDetector
from eldercart.cluster.inventory import RESOURCE_EPSILON, Machine, MachineState, is_being_cancelled
from eldercart.jobs.job import Placement, PlacementPhase
from eldercart.scheduling import feasibility
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.scheduling.pacing import AdaptiveInterval
from eldercart.units import MonotonicTime

log = logging.getLogger("eldercart.controller")

RECLAIM_SAFETY_FACTOR = 1.3  # of the time left, for run times are uncertain
CHECK_INTERVAL_S = 0.5  # between two looks at silence and late boots
TASK_CHECK_INTERVAL_S = 1.5  # between two looks at the tasks of all machines
DIRECT_KILL_AFTER_HEARTBEATS = (
    2.5  # report intervals, in which a kill that went into an answer shows
)
DRAINABLE_PHASES = (PlacementPhase.COMMITTED, PlacementPhase.FETCHING, PlacementPhase.RUNNING)
CORDON_GRACE_S = 45.0  # for which tasks run on beside room that waiting ones lack


class MachineMonitor:
    """Finds what no report tells, and gives up machines that can't be used any more."""

    def __init__(self, scheduler: ClusterState, silence: FailureDetector) -> None:
        """The first look is due at once."""
        self._cluster_state = scheduler
        self._failure_detector = silence
        self._check_interval = AdaptiveInterval(CHECK_INTERVAL_S)
        self._task_check_interval = AdaptiveInterval(TASK_CHECK_INTERVAL_S)

    def record_duration(self, seconds: float) -> None:
        """The last look took so long; thousands of machines are looked at less often."""
        self._check_interval.record_duration(seconds)
        self._task_check_interval.record_duration(seconds)

    def check(self, now: MonotonicTime) -> None:
        """Looks at each machine, if it is time for that."""
        if not self._check_interval.is_due(now):
            return
        self._check_interval.start(now)
        tasks_due = self._task_check_interval.is_due(now)
        if tasks_due:
            self._task_check_interval.start(now)
        patience = self._failure_detector.timeout_s
        self._failure_detector.update_unreachable_nodes(now)
        for machine in self._cluster_state.inventory.machines.values():
            if machine.state is not MachineState.DELETING:
                self._check_machine(machine, patience, tasks_due, now)
            elif tasks_due:
                self._check_deleting_machine(machine)

    def _check_deleting_machine(self, machine: Machine) -> None:
        """Until the cloud has answered its deletion the machine may well hear."""
        if any(placement.is_terminating for placement in machine.placements.values()):
            self._cluster_state.mark_needs_command(machine)
            self._cluster_state.pending_direct_kills[machine.id] = None

    def _check_machine(
        self, machine: Machine, patience: float, tasks_due: bool, now: MonotonicTime
    ) -> None:
        if machine.reclaim_at is not None:
            self._drain_before_reclaim(machine, machine.reclaim_at, now)
        if machine.state is MachineState.BOOTING:
            if self._failure_detector.is_boot_overdue(machine, now):
                log.info(
                    "machine late machine=%s seconds=%.1f", machine.id, now - machine.provisioned_at
                )
                self._cluster_state.request_deletion(machine, now)
        elif self._failure_detector.is_dead(machine, patience, now):
            log.info(
                "machine silent machine=%s seconds=%.1f",
                machine.id,
                now - machine.last_heartbeat_at,
            )
            self._cluster_state.request_deletion(machine, now)
        elif machine.is_cordoned and not machine.live_task_count:
            self._cluster_state.request_deletion(machine, now)
        elif tasks_due and (machine.live_task_count or machine.prelaunch_queue):
            self._check_tasks(machine, now)

    # -- tasks

    def _check_tasks(self, machine: Machine, now: MonotonicTime) -> None:
        scheduler = self._cluster_state
        if machine.prelaunch_queue and machine.free_cpus > RESOURCE_EPSILON:
            scheduler.mark_needs_command(machine)
        quarantine_over = now - machine.cordoned_at > CORDON_GRACE_S
        if machine.is_cordoned and quarantine_over and self._blocks_pending_task(machine):
            self._kill_all_placements(machine, now)
        for placement in list(machine.placements.values()):
            if placement.phase is PlacementPhase.COMMITTED and not placement.has_been_reported:
                scheduler.mark_needs_command(machine)  # a word to its relay may have been lost
            if placement.is_terminating:
                self._escalate_kill(machine, placement, now)
                if placement.job.is_cancelled and now > placement.job.kill_deadline_at:
                    log.info("kill overdue machine=%s task=%s", machine.id, placement.key)
                    scheduler.request_deletion(machine, now)
                    return
            elif placement.phase is PlacementPhase.RUNNING and scheduler.health.is_straggler(
                placement, now
            ):
                self._kill_straggler(machine, placement, now)

    def _kill_all_placements(self, machine: Machine, now: MonotonicTime) -> None:
        for placement in list(machine.placements.values()):
            if placement.phase is not PlacementPhase.ENDED:
                self._cluster_state.kill_placement(placement, now)

    def _escalate_kill(self, machine: Machine, placement: Placement, now: MonotonicTime) -> None:
        """Asks for the next report, which is answered with the kill; a kill of a cancelled task
        that has had no effect for long also goes to the worker directly."""
        if placement.phase is not PlacementPhase.ENDED:
            self._cluster_state.mark_needs_command(machine)
        late_s = DIRECT_KILL_AFTER_HEARTBEATS * self._cluster_state.settings.report_s
        if is_being_cancelled(placement) and now - placement.job.cancelled_at > late_s:
            self._cluster_state.pending_direct_kills[machine.id] = None

    def _kill_straggler(self, machine: Machine, placement: Placement, now: MonotonicTime) -> None:
        scheduler = self._cluster_state
        log.info("straggler task=%s machine=%s", placement.key, machine.id)
        placement.job.avoid_machine(machine.id, now)
        scheduler.kill_placement(placement, now)
        if scheduler.health.record_straggler(machine, placement.job):
            scheduler.cordon(machine, "slow", now)

    def _blocks_pending_task(self, machine: Machine) -> bool:
        """Whether a task that waits would have room there. Where nothing can be rented, a long
        task on a machine in quarantine would keep that from it for as long as it runs."""
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
        self, machine: Machine, taken_at: MonotonicTime, now: MonotonicTime
    ) -> None:
        """A task that can't end before the machine is taken starts again elsewhere now rather
        than after the loss, and so does one that can save when it is stopped; one that may end
        in time runs on."""
        scheduler = self._cluster_state
        left = taken_at - now
        for placement in list(machine.placements.values()):
            if placement.is_terminating or placement.phase not in DRAINABLE_PHASES:
                continue
            if not placement.is_start_known:
                continue
            spec = placement.job.spec
            saves = spec.checkpoint_interval_s > 0.0 and spec.checkpoint_save_s < left
            rest = scheduler.predictor.expected_run_s(placement.job) - placement.run_time_s(now)
            if saves or rest > RECLAIM_SAFETY_FACTOR * left:
                scheduler.kill_placement(placement, now)
