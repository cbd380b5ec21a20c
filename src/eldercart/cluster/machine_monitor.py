"""The leader's periodic look at all machines: late boots, silence, notices, overdue tasks."""

import logging

from eldercart.cluster.failure_detector import Silence
from eldercart.cluster.inventory import EPS, Machine, MachineState, is_being_cancelled
from eldercart.jobs.registry import Phase, Placement
from eldercart.scheduling import feasibility
from eldercart.scheduling.cluster_state import SchedulerState
from eldercart.scheduling.pacing import PacedWork
from eldercart.units import Steady

log = logging.getLogger("eldercart.controller")

DRAIN_FACTOR = 1.3  # of the time left, for run times are uncertain
WATCH_S = 0.5  # between two looks at silence and late boots
TASKS_S = 1.5  # between two looks at the tasks of all machines
ORDER_AFTER = 2.5  # report intervals, in which a kill that went into an answer shows
DRAINED_PHASES = (Phase.WANTED, Phase.FETCHING, Phase.RUNNING)
QUARANTINE_S = 45.0  # for which tasks run on beside room that waiting ones lack


class MachineWatch:
    """Finds what no report tells, and gives up machines that can't be used any more."""

    def __init__(self, scheduler: SchedulerState, silence: Silence) -> None:
        """The first look is due at once."""
        self._scheduler = scheduler
        self._silence = silence
        self._watching = PacedWork(WATCH_S)
        self._watching_tasks = PacedWork(TASKS_S)

    def took(self, seconds: float) -> None:
        """The last look took so long; thousands of machines are looked at less often."""
        self._watching.took(seconds)
        self._watching_tasks.took(seconds)

    def watch(self, now: Steady) -> None:
        """Looks at each machine, if it is time for that."""
        if not self._watching.due(now):
            return
        self._watching.begin(now)
        tasks_due = self._watching_tasks.due(now)
        if tasks_due:
            self._watching_tasks.begin(now)
        patience = self._silence.patience
        self._silence.find_unreachable_nodes(now)
        for machine in self._scheduler.fleet.machines.values():
            if machine.state is not MachineState.LEAVING:
                self._watch_machine(machine, patience, tasks_due, now)
            elif tasks_due:
                self._watch_leaving(machine)

    def _watch_leaving(self, machine: Machine) -> None:
        """Until the cloud has answered its deletion the machine may well hear."""
        if any(placement.stopping for placement in machine.placed.values()):
            self._scheduler.want(machine)
            self._scheduler.orders[machine.id] = None

    def _watch_machine(
        self, machine: Machine, patience: float, tasks_due: bool, now: Steady
    ) -> None:
        if machine.taken_at is not None:
            self._drain(machine, machine.taken_at, now)
        if machine.state is MachineState.BOOTING:
            if self._silence.is_boot_late(machine, now):
                log.info(
                    "machine late machine=%s seconds=%.1f", machine.id, now - machine.rented_at
                )
                self._scheduler.request_deletion(machine, now)
        elif self._silence.is_dead(machine, patience, now):
            log.info("machine silent machine=%s seconds=%.1f", machine.id, now - machine.last_heard)
            self._scheduler.request_deletion(machine, now)
        elif machine.quarantined and not machine.live:
            self._scheduler.request_deletion(machine, now)
        elif tasks_due and (machine.live or machine.queue):
            self._watch_tasks(machine, now)

    # -- tasks

    def _watch_tasks(self, machine: Machine, now: Steady) -> None:
        scheduler = self._scheduler
        if machine.queue and machine.free_cpus > EPS:
            scheduler.want(machine)
        quarantine_over = now - machine.quarantined_at > QUARANTINE_S
        if machine.quarantined and quarantine_over and self._is_missed(machine):
            self._stop_all(machine, now)
        for placement in list(machine.placed.values()):
            if placement.phase is Phase.WANTED and not placement.reported:
                scheduler.want(machine)  # a word to its relay may have been lost
            if placement.stopping:
                self._press_stop(machine, placement, now)
                if placement.job.cancelled and now > placement.job.kill_due:
                    log.info("kill overdue machine=%s task=%s", machine.id, placement.key)
                    scheduler.request_deletion(machine, now)
                    return
            elif placement.phase is Phase.RUNNING and scheduler.health.straggles(placement, now):
                self._stop_straggler(machine, placement, now)

    def _stop_all(self, machine: Machine, now: Steady) -> None:
        for placement in list(machine.placed.values()):
            if placement.phase is not Phase.ENDED:
                self._scheduler.stop(placement, now)

    def _press_stop(self, machine: Machine, placement: Placement, now: Steady) -> None:
        """Asks for the next report, which is answered with the kill; a kill of a cancelled task
        that has had no effect for long also goes to the worker directly."""
        if placement.phase is not Phase.ENDED:
            self._scheduler.want(machine)
        late_s = ORDER_AFTER * self._scheduler.settings.report_s
        if is_being_cancelled(placement) and now - placement.job.cancelled_at > late_s:
            self._scheduler.orders[machine.id] = None

    def _stop_straggler(self, machine: Machine, placement: Placement, now: Steady) -> None:
        scheduler = self._scheduler
        log.info("straggler task=%s machine=%s", placement.key, machine.id)
        placement.job.avoid(machine.id, now)
        scheduler.stop(placement, now)
        if scheduler.health.straggled(machine, placement.job):
            scheduler.quarantine(machine, "slow", now)

    def _is_missed(self, machine: Machine) -> bool:
        """Whether a task that waits would have room there. Where nothing can be rented, a long
        task on a machine in quarantine would keep that from it for as long as it runs."""
        return any(
            feasibility.allowed(job.spec, machine)
            and feasibility.fits(
                job.spec, machine.free_cpus, machine.free_gpus, machine.free_memory
            )
            and feasibility.team_room(
                job.spec, self._scheduler.fleet, self._scheduler.settings.teams
            )
            for job in self._scheduler.jobs.jobs.values()
            if (job.pending or job.queued) and job.open
        )

    def _drain(self, machine: Machine, taken_at: Steady, now: Steady) -> None:
        """A task that can't end before the machine is taken starts again elsewhere now rather
        than after the loss, and so does one that can save when it is stopped; one that may end
        in time runs on."""
        scheduler = self._scheduler
        left = taken_at - now
        for placement in list(machine.placed.values()):
            if placement.stopping or placement.phase not in DRAINED_PHASES:
                continue
            if not placement.since_known:
                continue
            spec = placement.job.spec
            saves = spec.checkpoint_s > 0.0 and spec.save_s < left
            rest = scheduler.predictor.run_s(placement.job) - placement.ran(now)
            if saves or rest > DRAIN_FACTOR * left:
                scheduler.stop(placement, now)
