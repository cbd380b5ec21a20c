"""Workers' reports: which count, what they tell of their machine, and whether it obeys."""

import logging

from eldercart.core.cloudwork import unknown_type
from eldercart.core.fleet import EPS, Life, Machine
from eldercart.core.floor import Floor
from eldercart.core.planner import Planner
from eldercart.core.reconciliation import Reconciler
from eldercart.units import MachineId, NodeId, Steady
from eldercart.wire import workers

log = logging.getLogger("eldercart.controller")


class Reports:
    """Takes reports in their order and answers them with commands."""

    def __init__(self, floor: Floor, planner: Planner) -> None:
        """Reads and changes the books of `floor`."""
        self._floor = floor
        self._reconciler = Reconciler(floor, planner)

    def on_report(
        self, report: workers.Report, now: Steady, relay: NodeId | None
    ) -> list[workers.Command] | None:
        """The commands to answer with; None: the report is overtaken and proves nothing."""
        floor = self._floor
        m = floor.fleet.get(report.machine)
        if m is None:
            if floor.fleet.is_gone(report.machine):
                # Its deletion was answered: this is a late copy and proves nothing.
                return None
            if report.epoch != floor.epoch:
                # The first that is heard of it, and it may be a late copy from a machine deleted
                # under an earlier leader. A live worker learns the epoch from this answer and
                # shows it in its next report; a copy never can.
                return []
            m = self._adopt(report, now)
        if report.order <= m.order:
            # Held back by the network: what it says has been overtaken.
            return None
        session_rose = m.order.session > 0 and report.order.session > m.order.session
        m.order = report.order
        m.relay = relay
        m.address = report.address
        if m.life is Life.BOOTING:
            self._came_up(m, now)
        if report.epoch != floor.epoch:
            self._showed_old_epoch(m, now)
            return []
        if m.old_epoch:
            m.old_epoch = 0
            floor.obedience.obeyed(m)
        m.last_heard = now
        self._describe(m, report, now)
        if not m.confirmed:
            m.confirmed = True
            floor.plan_wanted = True
        elif session_rose:
            self._ignored(m, "lets its lease run out", now)
        return self._answer(m, report, now)

    def _adopt(self, report: workers.Report, now: Steady) -> Machine:
        """A machine that no list or record has named yet."""
        kind = self._floor.types.get(report.type) or unknown_type(report.type)
        m = self._floor.fleet.add(report.machine, kind, report.zone, report.spot, Life.UP, now, now)
        log.info("machine adopted machine=%s type=%s zone=%s", m.id, report.type, report.zone)
        return m

    def _came_up(self, m: Machine, now: Steady) -> None:
        m.life = Life.UP
        m.idle_since = m.last_heard = now
        self._floor.plan_wanted = True
        log.debug("machine up machine=%s after=%.1f", m.id, now - m.hired)

    def _showed_old_epoch(self, m: Machine, now: Steady) -> None:
        """The worker has not seen this epoch: an older leader's response may still be obeyed, so
        what this report lacks is no proof. Nor does it show that the machine lives now."""
        m.old_epoch += 1
        if m.old_epoch > 1:
            self._ignored(m, "shows an old epoch", now)

    def _describe(self, m: Machine, report: workers.Report, now: Steady) -> None:
        """Takes type, place and notice over from the report, which knows best."""
        floor = self._floor
        if m.type.name != report.type or m.zone != report.zone or m.spot != report.spot:
            kind = floor.types.get(report.type) or unknown_type(report.type)
            floor.fleet.describe(m, kind, report.zone, report.spot)
        if report.notice_s is not None and m.taken_at is None:
            m.taken_at = Steady(now + report.notice_s)
            m.draining = True
            log.info("spot notice machine=%s seconds=%.0f", m.id, report.notice_s)
            floor.rental_due = now

    def _answer(self, m: Machine, report: workers.Report, now: Steady) -> list[workers.Command]:
        found = self._reconciler.reconcile(m, report, now)
        if found.obeyed:
            self._floor.obedience.obeyed(m)
        elif found.ignored:
            self._ignored(m, "does not do what it is told", now)
        m.undelivered = False
        return found.commands

    # -- whether it obeys

    def _ignored(self, m: Machine, why: str, now: Steady) -> None:
        """An answer had no effect: one more sign that the machine does not hear."""
        if m.undelivered:
            m.undelivered = False
        elif self._floor.obedience.ignored(m, now) and m.life is Life.UP:
            log.info("machine deaf machine=%s why=%s", m.id, why)
            self._floor.doom(m, now)

    def undelivered(self, machine: MachineId) -> None:
        """The last answer surely came too late; that it had no effect is no sign."""
        m = self._floor.fleet.get(machine)
        if m is not None:
            m.undelivered = True

    def relay_lost(self, relay: NodeId) -> None:
        """The connection broke: answers on their way are lost, and that is no machine's doing."""
        for m in self._floor.fleet.machines.values():
            if m.relay == relay:
                m.undelivered = True

    def wants_next(self, machine: MachineId) -> bool:
        """Whether the machine's next report is wanted even if it tells nothing new."""
        m = self._floor.fleet.get(machine)
        if m is None or not m.confirmed or m.foreign:
            return True
        return bool(m.queue) and m.free_cpus + EPS >= min(p.job.spec.cpus for p in m.queue.values())
