"""A report's tasks against the books: what has changed, and what the machine is told to do."""

import logging
from dataclasses import dataclass, field

from eldercart.core import placement as rules
from eldercart.core.fleet import EPS, Life, Machine
from eldercart.core.floor import Floor
from eldercart.core.jobs import Job, Phase, Placement
from eldercart.core.planner import Planner
from eldercart.units import Steady
from eldercart.wire import workers
from eldercart.wire.workers import ExitCause, TaskState

log = logging.getLogger("eldercart.controller")

# Looked up once, as they are compared with each task of each report.
RUNNING, SAVING, EXITED = TaskState.RUNNING, TaskState.SAVING, TaskState.EXITED
REFUSED_REPORTS = 2  # report intervals for which a machine that refused a start gets no other


@dataclass(slots=True)
class Findings:
    """What one report showed, and the commands that answer it."""

    commands: list[workers.Command] = field(default_factory=list)
    foreign: bool = False  # it has live tasks that no record knows
    obeyed: bool = False  # something that it was told has had its effect
    ignored: bool = False  # something that it was told has had none


class Reconciler:
    """Brings the books into line with reports of the current epoch, each newer than the last."""

    def __init__(self, floor: Floor, planner: Planner) -> None:
        """Shares the books with the planner, whose waiting jobs keep their room."""
        self._floor = floor
        self._planner = planner
        self._mark = 0  # of the report being read: what it lists carries the same

    def reconcile(self, m: Machine, report: workers.Report, now: Steady) -> Findings:
        """Reads what the report lists, then what it lacks, then launches what has room."""
        found = Findings()
        self._mark += 1
        self._read_listed(m, report, found, now)
        if m.foreign and not found.foreign:
            self._floor.plan_wanted = True
        m.foreign = found.foreign
        if m.live:
            self._read_absent(m, found, now)
        if m.queue:
            self._launch_queued(m, found, now)
        return found

    # -- what the report lists

    def _read_listed(
        self, m: Machine, report: workers.Report, found: Findings, now: Steady
    ) -> None:
        mark = self._mark
        placed = m.placed
        for task in report.tasks:
            key, attempt, state, why = task
            p = placed.get(key)
            if p is None or p.attempt != attempt:
                self._not_placed(m, p, task, found)
                continue
            p.mark = mark
            p.maybe_there = True
            if p.phase is Phase.ENDED:
                continue  # done, not yet durable: no clear yet
            if state == EXITED:
                found.obeyed = True
                self._exited(m, p, why, now)
                if key not in placed:
                    # Not of a done one: until it is durable, this is the record.
                    found.commands.append(workers.Clear(key, attempt))
                continue
            if not p.reported:
                self._first_listed(m, p, found)
            if p.phase is not Phase.RUNNING or state != RUNNING:
                self._note_state(p, state, now)  # of most tasks there is nothing new to note
            if p.stopping:
                self._repeat_kill(p, state, found)

    def _not_placed(
        self, m: Machine, p: Placement | None, task: workers.TaskReport, found: Findings
    ) -> None:
        """Not ours any more, or another attempt (`p`: the one that is ours): out with it."""
        if task.state == EXITED:
            found.commands.append(workers.Clear(task.key, task.attempt))
        else:
            found.commands.append(workers.Kill(task.key, task.attempt, 0.0))
            found.foreign = True
            if p is None:
                log.debug("unknown task machine=%s task=%s", m.id, task.key)
        if p is not None:
            p.mark = self._mark  # a launch beside it would be refused; wait until it is cleared

    def _first_listed(self, m: Machine, p: Placement, found: Findings) -> None:
        """The launch has had its effect, and the image is there or on its way."""
        p.reported = True
        self._floor.fleet.note_image(m, p.job.spec.image, p.job.spec.image_gb)
        if p.told:
            found.obeyed = True
            p.told = 0

    def _note_state(self, p: Placement, state: str, now: Steady) -> None:
        """The task is listed in another state than running on."""
        floor = self._floor
        if state == RUNNING:
            floor.start_waits.append(now - p.job.ready_at)
            floor.jobs.set_phase(p, Phase.RUNNING, now)
        elif state == SAVING:
            floor.jobs.set_phase(p, Phase.SAVING, now)
        elif p.phase is not Phase.FETCHING:
            floor.jobs.set_phase(p, Phase.FETCHING, now)

    def _repeat_kill(self, p: Placement, state: str, found: Findings) -> None:
        """Told in every answer until a newer report lacks the task."""
        if state == SAVING:
            found.obeyed = True
        elif p.told:
            found.ignored = True
        p.told += 1
        # A cancelled job's work is of no use; otherwise let the task save.
        grace_s = 0.0 if p.job.cancelled else p.job.spec.save_s
        found.commands.append(workers.Kill(p.key, p.attempt, grace_s))

    # -- tasks that have ended

    def _exited(self, m: Machine, p: Placement, why: str | None, now: Steady) -> None:
        job = p.job
        if job.open and why == ExitCause.DONE:
            self._done(m, p, now)
            return
        # If its job isn't open, its end is decided or even durable (a new leader may load such a
        # job before its records are gone); to end it once more would be refused for ever.
        if job.open:
            self._failed(m, p, why, now)
        self._floor.void(p, now)

    def _done(self, m: Machine, p: Placement, now: Steady) -> None:
        floor = self._floor
        job = p.job
        ran = p.ran(now) if p.since_known else 0.0
        floor.fleet.release(m, p, now)
        floor.jobs.finish(p, now)
        floor.dirty[job.id] = job
        if job.pending or job.queued or self._planner.waiting:
            floor.plan_wanted = True
        job.begun = True
        floor.work_done += ran * job.spec.cpus
        floor.predictor.ran(job, ran)
        if floor.health.task_done(m, job, ran):
            floor.quarantine(m, "slow", now)
        if job.complete:
            floor.ending[job.id] = job

    def _failed(self, m: Machine, p: Placement, why: str | None, now: Steady) -> None:
        """Stopped, failed or refused: evidence against the machine or the job, if any."""
        floor = self._floor
        if why == ExitCause.ERROR and not p.stopping:
            log.info("task failed machine=%s task=%s attempt=%d", m.id, p.key, p.attempt)
            if floor.health.task_failed(m, p.job, now):
                floor.quarantine(m, "failing", now)
        elif why in (ExitCause.NO_ROOM, ExitCause.BUSY, ExitCause.UNKNOWN_TASK):
            self._start_refused(m, p.job, p, why, now)

    def _start_refused(
        self, m: Machine, job: Job, p: Placement, why: str | None, now: Steady
    ) -> None:
        floor = self._floor
        log.info("start refused machine=%s task=%s why=%s", m.id, p.key, why)
        m.refuse_until = Steady(now + REFUSED_REPORTS * floor.settings.report_s)
        if why == ExitCause.UNKNOWN_TASK:
            job.hold_until = Steady(now + floor.tuning.error_backoff_s)

    # -- what the report lacks

    def _read_absent(self, m: Machine, found: Findings, now: Steady) -> None:
        for p in [p for p in m.placed.values() if p.mark != self._mark]:
            if p.phase is Phase.ENDED or p.phase is Phase.PLANNED:
                continue
            if self._is_off(m, p):
                self._floor.void(p, now)
            else:
                self._launch_again(p, found)

    def _is_off(self, m: Machine, p: Placement) -> bool:
        """Whether a task that a newer report lacks is given up there instead of launched."""
        if p.stopping or not p.job.open:
            return True
        if p.reported:
            # It was there and a newer report lacks it: its session ended.
            log.info("task lost machine=%s task=%s attempt=%d", m.id, p.key, p.attempt)
            return True
        if m.life is not Life.UP or m.draining:
            return True
        if min(m.free_cpus, m.free_gpus, m.free_memory) < -EPS:
            # Written ahead by an earlier leader for room that is not there: not launched.
            return True
        # Written ahead by an earlier leader, which would have counted it when it was launched:
        # this one has counted all of them, and together they may be more than the team may use.
        return rules.over_limit(p.job.spec, self._floor.fleet, self._floor.settings.teams)

    def _launch_again(self, p: Placement, found: Findings) -> None:
        """Again if need be: absence from a newer report shows that a launch was dropped."""
        if p.told > 0:
            found.ignored = True
        p.since_known = True
        p.maybe_there = True
        p.told += 1
        found.commands.append(workers.Launch(p.key, p.attempt))

    # -- what was written ahead

    def _launch_queued(self, m: Machine, found: Findings, now: Steady) -> None:
        """The report has shown what room there is; what was written ahead may start at once."""
        if not m.usable:
            return
        teams = self._floor.settings.teams
        for p in sorted(m.queue.values(), key=_launch_order):
            if p.phase is not Phase.WANTED or p.key in m.placed:
                continue
            spec = p.job.spec
            if rules.fits(spec, m.free_cpus, m.free_gpus, m.free_memory) < 1:
                return
            if not self._fits_beside_waiting(m, p.job):
                continue
            if rules.team_room(spec, self._floor.fleet, teams) < 1:
                continue
            self._launch(m, p, found, now)

    def _fits_beside_waiting(self, m: Machine, job: Job) -> bool:
        """Room for a waiting task of higher priority is not broken up; the rest is used."""
        if job.aged:
            return True
        cpus, gpus, memory = m.free_cpus, m.free_gpus, m.free_memory
        for above in self._planner.waiting:
            spec = above.spec
            if above.priority > job.priority and rules.allowed(spec, m):
                number = rules.fits(spec, cpus, gpus, memory)
                cpus -= number * spec.cpus
                gpus -= number * spec.gpus
                memory -= number * spec.memory_gb
        return rules.fits(job.spec, cpus, gpus, memory) >= 1

    def _launch(self, m: Machine, p: Placement, found: Findings, now: Steady) -> None:
        floor = self._floor
        floor.jobs.unmark_queued(p)
        floor.fleet.dequeue(m, p)
        floor.fleet.occupy(m, p)
        p.maybe_there = True
        p.told = 1
        p.job.served = now
        found.commands.append(workers.Launch(p.key, p.attempt))


def _launch_order(p: Placement) -> tuple[bool, int, int, Steady]:
    return not p.job.aged, -p.job.priority, p.job.rank, p.queued_at
