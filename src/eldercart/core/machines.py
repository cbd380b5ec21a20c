"""The leader's periodic look at all machines: late boots, silence, notices, overdue tasks."""

import logging

from eldercart.core import placement as rules
from eldercart.core.fleet import EPS, Life, Machine, is_being_cancelled
from eldercart.core.floor import Floor
from eldercart.core.jobs import Phase, Placement
from eldercart.core.silence import Silence
from eldercart.units import Steady

log = logging.getLogger("eldercart.controller")

DRAIN_FACTOR = 1.3  # of the time left, for run times are uncertain
WATCH_S = 0.5  # between two looks at silence and late boots
TASKS_S = 1.5  # between two looks at the tasks of all machines
ORDER_AFTER = 2.5  # report intervals, in which a kill that went into an answer shows
QUARANTINE_S = 45.0  # for which tasks run on beside room that waiting ones lack


class MachineWatch:
    """Finds what no report tells, and gives up machines that can't be used any more."""

    def __init__(self, floor: Floor, silence: Silence) -> None:
        """The first look is due at once."""
        self._floor = floor
        self._silence = silence
        self._watch_due = floor.began
        self._tasks_due = floor.began

    def watch(self, now: Steady) -> None:
        """Looks at each machine, if it is time for that."""
        if now < self._watch_due:
            return
        self._watch_due = Steady(now + WATCH_S)
        tasks_due = now >= self._tasks_due
        if tasks_due:
            self._tasks_due = Steady(now + TASKS_S)
        patience = self._silence.patience
        self._silence.find_mute(now)
        for m in self._floor.fleet.machines.values():
            if m.life is not Life.LEAVING:
                self._watch_machine(m, patience, tasks_due, now)
            elif tasks_due:
                self._watch_leaving(m)

    def _watch_leaving(self, m: Machine) -> None:
        """Until the cloud has answered its deletion the machine may well hear."""
        if any(p.stopping for p in m.placed.values()):
            self._floor.want(m)
            self._floor.orders[m.id] = None

    def _watch_machine(self, m: Machine, patience: float, tasks_due: bool, now: Steady) -> None:
        if m.taken_at is not None:
            self._drain(m, m.taken_at, now)
        if m.life is Life.BOOTING:
            if self._silence.is_boot_late(m, now):
                log.info("machine late machine=%s seconds=%.1f", m.id, now - m.hired)
                self._floor.doom(m, now)
        elif self._silence.is_dead(m, patience, now):
            log.info("machine silent machine=%s seconds=%.1f", m.id, now - m.last_heard)
            self._floor.doom(m, now)
        elif m.quarantined and not m.live:
            self._floor.doom(m, now)
        elif tasks_due and (m.live or m.queue):
            self._watch_tasks(m, now)

    # -- tasks

    def _watch_tasks(self, m: Machine, now: Steady) -> None:
        floor = self._floor
        if m.queue and m.free_cpus > EPS:
            floor.want(m)
        if m.quarantined and now - m.quarantined_at > QUARANTINE_S and self._is_missed(m):
            self._stop_all(m, now)
        for p in list(m.placed.values()):
            if p.phase is Phase.WANTED and not p.reported:
                floor.want(m)  # a word to its relay may have been lost
            if p.stopping:
                self._press_stop(m, p, now)
                if p.job.cancelled and now > p.job.kill_due:
                    log.info("kill overdue machine=%s task=%s", m.id, p.key)
                    floor.doom(m, now)
                    return
            elif p.phase is Phase.RUNNING and floor.health.straggles(p, now):
                self._stop_straggler(m, p, now)

    def _stop_all(self, m: Machine, now: Steady) -> None:
        for p in list(m.placed.values()):
            if p.phase is not Phase.ENDED:
                self._floor.stop(p, now)

    def _press_stop(self, m: Machine, p: Placement, now: Steady) -> None:
        """Asks for the next report, which is answered with the kill; a kill of a cancelled task
        that has had no effect for long also goes to the worker directly."""
        if p.phase is not Phase.ENDED:
            self._floor.want(m)
        late_s = ORDER_AFTER * self._floor.settings.report_s
        if is_being_cancelled(p) and now - p.job.cancelled_at > late_s:
            self._floor.orders[m.id] = None

    def _stop_straggler(self, m: Machine, p: Placement, now: Steady) -> None:
        floor = self._floor
        log.info("straggler task=%s machine=%s", p.key, m.id)
        p.job.avoid(m.id, now)
        floor.stop(p, now)
        if floor.health.straggled(m, p.job):
            floor.quarantine(m, "slow", now)

    def _is_missed(self, m: Machine) -> bool:
        """Whether a task that waits would have room there. Where nothing can be rented, a long
        task on a machine in quarantine would keep that from it for as long as it runs."""
        return any(
            rules.allowed(job.spec, m)
            and rules.fits(job.spec, m.free_cpus, m.free_gpus, m.free_memory)
            and rules.team_room(job.spec, self._floor.fleet, self._floor.settings.teams)
            for job in self._floor.jobs.jobs.values()
            if (job.pending or job.queued) and job.open
        )

    def _drain(self, m: Machine, taken_at: Steady, now: Steady) -> None:
        """A task that can't end before the machine is taken starts again elsewhere now rather
        than after the loss, and so does one that can save when it is stopped; one that may end
        in time runs on."""
        floor = self._floor
        left = taken_at - now
        for p in list(m.placed.values()):
            if p.stopping or p.phase not in (Phase.WANTED, Phase.FETCHING, Phase.RUNNING):
                continue
            if not p.since_known:
                continue
            saves = p.job.spec.checkpoint_s > 0.0 and p.job.spec.save_s < left
            if saves or floor.predictor.run_s(p.job) - p.ran(now) > DRAIN_FACTOR * left:
                floor.stop(p, now)
