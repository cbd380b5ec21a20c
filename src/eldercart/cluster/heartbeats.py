"""Workers' reports: which count, what they tell of their machine, and whether it obeys."""

import logging

from eldercart.autoscaling.cloud_requests import unknown_type
from eldercart.cluster.inventory import EPS, Machine, MachineState
from eldercart.cluster.reconciliation import Reconciler
from eldercart.scheduling.cluster_state import SchedulerState
from eldercart.scheduling.planner import Planner
from eldercart.units import MachineId, NodeId, Steady
from eldercart.wire import workers

log = logging.getLogger("eldercart.controller")


class Reports:
    """Takes reports in their order and answers them with commands."""

    def __init__(self, scheduler: SchedulerState, planner: Planner) -> None:
        """Reads and changes the recorded state of `scheduler`."""
        self._scheduler = scheduler
        self._reconciler = Reconciler(scheduler, planner)

    def on_report(
        self, report: workers.Report, now: Steady, relay: NodeId | None
    ) -> list[workers.Command] | None:
        """The commands to answer with; None: the report is overtaken and proves nothing."""
        scheduler = self._scheduler
        machine = scheduler.fleet.get(report.machine)
        if machine is None:
            if scheduler.fleet.is_deleted(report.machine):
                # Its deletion was answered: this is a late copy and proves nothing.
                return None
            if report.epoch != scheduler.epoch:
                # The first that is heard of it, and it may be a late copy from a machine deleted
                # under an earlier leader. A live worker learns the epoch from this answer and
                # shows it in its next report; a copy never can.
                return []
            machine = self._adopt(report, now)
        if report.order <= machine.order:
            # Held back by the network: what it says has been overtaken.
            return None
        session_rose = machine.order.session > 0 and report.order.session > machine.order.session
        machine.order = report.order
        machine.relay = relay
        machine.address = report.address
        if machine.state is MachineState.BOOTING:
            self._came_up(machine, now)
        if report.epoch != scheduler.epoch:
            self._showed_old_epoch(machine, now)
            return []
        if machine.old_epoch:
            machine.old_epoch = 0
            scheduler.responsiveness.obeyed(machine)
        machine.last_heard = now
        self._describe(machine, report, now)
        if not machine.confirmed:
            machine.confirmed = True
            scheduler.plan_wanted = True
        elif session_rose:
            self._ignored(machine, "lets its lease run out", now)
        return self._answer(machine, report, now)

    def _adopt(self, report: workers.Report, now: Steady) -> Machine:
        """A machine that no list or record has named yet."""
        kind = self._scheduler.types.get(report.type) or unknown_type(report.type)
        machine = self._scheduler.fleet.add(
            report.machine, kind, report.zone, report.spot, MachineState.UP, now, now
        )
        log.info("machine adopted machine=%s type=%s zone=%s", machine.id, report.type, report.zone)
        return machine

    def _came_up(self, machine: Machine, now: Steady) -> None:
        machine.state = MachineState.UP
        machine.idle_since = machine.last_heard = now
        self._scheduler.plan_wanted = True
        log.debug("machine up machine=%s after=%.1f", machine.id, now - machine.rented_at)

    def _showed_old_epoch(self, machine: Machine, now: Steady) -> None:
        """The worker has not seen this epoch: an older leader's response may still be obeyed, so
        what this report lacks is no proof. Nor does it show that the machine lives now."""
        machine.old_epoch += 1
        if machine.old_epoch > 1:
            self._ignored(machine, "shows an old epoch", now)

    def _describe(self, machine: Machine, report: workers.Report, now: Steady) -> None:
        """Takes type, place and notice over from the report, which knows best."""
        scheduler = self._scheduler
        if (
            machine.type.name != report.type
            or machine.zone != report.zone
            or machine.spot != report.spot
        ):
            kind = scheduler.types.get(report.type) or unknown_type(report.type)
            scheduler.fleet.describe(machine, kind, report.zone, report.spot)
        if report.notice_s is not None and machine.taken_at is None:
            machine.taken_at = Steady(now + report.notice_s)
            machine.draining = True
            log.info("spot notice machine=%s seconds=%.0f", machine.id, report.notice_s)
            scheduler.rental_due = now

    def _answer(
        self, machine: Machine, report: workers.Report, now: Steady
    ) -> list[workers.Command]:
        found = self._reconciler.reconcile(machine, report, now)
        if found.obeyed:
            self._scheduler.responsiveness.obeyed(machine)
        elif found.ignored:
            self._ignored(machine, "does not do what it is told", now)
        machine.undelivered = False
        return found.commands

    # -- whether it obeys

    def _ignored(self, machine: Machine, why: str, now: Steady) -> None:
        """An answer had no effect: one more sign that the machine does not hear."""
        if machine.undelivered:
            machine.undelivered = False
        elif (
            self._scheduler.responsiveness.ignored(machine, now)
            and machine.state is MachineState.UP
        ):
            log.info("machine unresponsive machine=%s why=%s", machine.id, why)
            self._scheduler.request_deletion(machine, now)

    def undelivered(self, machine_id: MachineId) -> None:
        """The last answer surely came too late; that it had no effect is no sign."""
        machine = self._scheduler.fleet.get(machine_id)
        if machine is not None:
            machine.undelivered = True

    def relay_lost(self, relay: NodeId) -> None:
        """The connection broke: answers on their way are lost, and that is no machine's doing."""
        for machine in self._scheduler.fleet.machines.values():
            if machine.relay == relay:
                machine.undelivered = True

    def wants_next(self, machine_id: MachineId) -> bool:
        """Whether the machine's next report is wanted even if it tells nothing new."""
        machine = self._scheduler.fleet.get(machine_id)
        if machine is None or not machine.confirmed or machine.foreign:
            return True
        return bool(machine.queue) and machine.free_cpus + EPS >= min(
            placement.job.spec.cpus for placement in machine.queue.values()
        )
