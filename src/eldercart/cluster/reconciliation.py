"""A report's tasks against the recorded state: what has changed, and what the machine is told to
do."""

import logging
from dataclasses import dataclass, field

from eldercart.cluster.inventory import EPS, Machine, MachineState
from eldercart.jobs.registry import Job, Phase, Placement
from eldercart.scheduling import feasibility
from eldercart.scheduling.cluster_state import SchedulerState
from eldercart.scheduling.planner import Planner
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
    """Brings the recorded state into line with reports of the current epoch, each newer than the
    last."""

    def __init__(self, scheduler: SchedulerState, planner: Planner) -> None:
        """Shares the recorded state with the planner, whose waiting jobs keep their room."""
        self._scheduler = scheduler
        self._planner = planner
        self._mark = 0  # of the report being read: what it lists carries the same

    def reconcile(self, machine: Machine, report: workers.Report, now: Steady) -> Findings:
        """Reads what the report lists, then what it lacks, then launches what has room."""
        found = Findings()
        self._mark += 1
        self._read_listed(machine, report, found, now)
        if machine.foreign and not found.foreign:
            self._scheduler.plan_wanted = True
        machine.foreign = found.foreign
        if machine.live:
            self._read_absent(machine, found, now)
        if machine.queue:
            self._launch_queued(machine, found, now)
        return found

    # -- what the report lists

    def _read_listed(
        self, machine: Machine, report: workers.Report, found: Findings, now: Steady
    ) -> None:
        mark = self._mark
        placed = machine.placed
        for task in report.tasks:
            key, attempt, state, why = task
            placement = placed.get(key)
            if placement is None or placement.attempt != attempt:
                self._not_placed(machine, placement, task, found)
                continue
            placement.mark = mark
            placement.maybe_there = True
            if placement.phase is Phase.ENDED:
                continue  # done, not yet durable: no clear yet
            if state == EXITED:
                found.obeyed = True
                self._exited(machine, placement, why, now)
                if key not in placed:
                    # Not of a done one: until it is durable, this is the record.
                    found.commands.append(workers.Clear(key, attempt))
                continue
            if not placement.reported:
                self._first_listed(machine, placement, found)
            # Of most tasks there is nothing new to note.
            if placement.phase is not Phase.RUNNING or state != RUNNING:
                self._note_state(placement, state, now)
            if placement.stopping:
                self._repeat_kill(placement, state, found)

    def _not_placed(
        self,
        machine: Machine,
        placement: Placement | None,
        task: workers.TaskReport,
        found: Findings,
    ) -> None:
        """Not ours any more, or another attempt (`placement`: ours): out with it."""
        if task.state == EXITED:
            found.commands.append(workers.Clear(task.key, task.attempt))
        else:
            found.commands.append(workers.Kill(task.key, task.attempt, 0.0))
            found.foreign = True
            if placement is None:
                log.debug("unknown task machine=%s task=%s", machine.id, task.key)
        if placement is not None:
            # A launch beside it would be refused: wait until it is cleared.
            placement.mark = self._mark

    def _first_listed(self, machine: Machine, placement: Placement, found: Findings) -> None:
        """The launch has had its effect, and the image is there or on its way."""
        placement.reported = True
        self._scheduler.fleet.note_image(
            machine, placement.job.spec.image, placement.job.spec.image_gb
        )
        if placement.unacknowledged:
            found.obeyed = True
            placement.unacknowledged = 0

    def _note_state(self, placement: Placement, state: str, now: Steady) -> None:
        """The task is listed in another state than running on."""
        scheduler = self._scheduler
        if state == RUNNING:
            scheduler.start_waits.append(now - placement.job.ready_at)
            scheduler.jobs.set_phase(placement, Phase.RUNNING, now)
        elif state == SAVING:
            scheduler.jobs.set_phase(placement, Phase.SAVING, now)
        elif placement.phase is not Phase.FETCHING:
            scheduler.jobs.set_phase(placement, Phase.FETCHING, now)

    def _repeat_kill(self, placement: Placement, state: str, found: Findings) -> None:
        """Told in every answer until a newer report lacks the task."""
        if state == SAVING:
            found.obeyed = True
        elif placement.unacknowledged:
            found.ignored = True
        placement.unacknowledged += 1
        # A cancelled job's work is of no use; otherwise let the task save.
        grace_s = 0.0 if placement.job.cancelled else placement.job.spec.save_s
        found.commands.append(workers.Kill(placement.key, placement.attempt, grace_s))

    # -- tasks that have ended

    def _exited(self, machine: Machine, placement: Placement, why: str | None, now: Steady) -> None:
        job = placement.job
        if job.open and why == ExitCause.DONE:
            self._done(machine, placement, now)
            return
        # If its job isn't open, its end is decided or even durable (a new leader may load such a
        # job before its records are deleted); to end it once more would be refused for ever.
        if job.open:
            self._failed(machine, placement, why, now)
        self._scheduler.void(placement, now)

    def _done(self, machine: Machine, placement: Placement, now: Steady) -> None:
        scheduler = self._scheduler
        job = placement.job
        ran = placement.ran(now) if placement.since_known else 0.0
        scheduler.fleet.release(machine, placement, now)
        scheduler.jobs.finish(placement, now)
        scheduler.dirty[job.id] = job
        if job.pending or job.queued or self._planner.waiting:
            scheduler.plan_wanted = True
        job.begun = True
        scheduler.work_done += ran * job.spec.cpus
        scheduler.predictor.ran(job, ran)
        if scheduler.health.task_done(machine, job, ran):
            scheduler.quarantine(machine, "slow", now)
        if job.complete:
            scheduler.ending[job.id] = job

    def _failed(self, machine: Machine, placement: Placement, why: str | None, now: Steady) -> None:
        """Stopped, failed or refused: evidence against the machine or the job, if any."""
        scheduler = self._scheduler
        if why == ExitCause.ERROR and not placement.stopping:
            log.info(
                "task failed machine=%s task=%s attempt=%d",
                machine.id,
                placement.key,
                placement.attempt,
            )
            if scheduler.health.task_failed(machine, placement.job, now):
                scheduler.quarantine(machine, "failing", now)
        elif why in (ExitCause.NO_ROOM, ExitCause.BUSY, ExitCause.UNKNOWN_TASK):
            self._start_refused(machine, placement.job, placement, why, now)

    def _start_refused(
        self, machine: Machine, job: Job, placement: Placement, why: str | None, now: Steady
    ) -> None:
        scheduler = self._scheduler
        log.info("start refused machine=%s task=%s why=%s", machine.id, placement.key, why)
        machine.refuse_until = Steady(now + REFUSED_REPORTS * scheduler.settings.report_s)
        if why == ExitCause.UNKNOWN_TASK:
            job.backoff_until = Steady(now + scheduler.tuning.error_backoff_s)

    # -- what the report lacks

    def _read_absent(self, machine: Machine, found: Findings, now: Steady) -> None:
        absent = [p for p in machine.placed.values() if p.mark != self._mark]
        for placement in absent:
            if placement.phase is Phase.ENDED or placement.phase is Phase.PLANNED:
                continue
            if self._is_off(machine, placement):
                self._scheduler.void(placement, now)
            else:
                self._launch_again(placement, found)

    def _is_off(self, machine: Machine, placement: Placement) -> bool:
        """Whether a task that a newer report lacks is given up there instead of launched."""
        if placement.stopping or not placement.job.open:
            return True
        if placement.reported:
            # It was there and a newer report lacks it: its session ended.
            log.info(
                "task lost machine=%s task=%s attempt=%d",
                machine.id,
                placement.key,
                placement.attempt,
            )
            return True
        if machine.state is not MachineState.UP or machine.draining:
            return True
        if min(machine.free_cpus, machine.free_gpus, machine.free_memory) < -EPS:
            # Written ahead by an earlier leader for room that is not there: not launched.
            return True
        # Written ahead by an earlier leader, which would have counted it when it was launched:
        # this one has counted all of them, and together they may be more than the team may use.
        return feasibility.over_limit(
            placement.job.spec, self._scheduler.fleet, self._scheduler.settings.teams
        )

    def _launch_again(self, placement: Placement, found: Findings) -> None:
        """Again if need be: absence from a newer report shows that a launch was dropped."""
        if placement.unacknowledged > 0:
            found.ignored = True
        placement.since_known = True
        placement.maybe_there = True
        placement.unacknowledged += 1
        found.commands.append(workers.Launch(placement.key, placement.attempt))

    # -- what was written ahead

    def _launch_queued(self, machine: Machine, found: Findings, now: Steady) -> None:
        """The report has shown what room there is; what was written ahead may start at once."""
        if not machine.usable:
            return
        teams = self._scheduler.settings.teams
        for placement in sorted(machine.queue.values(), key=_launch_order):
            if placement.phase is not Phase.WANTED or placement.key in machine.placed:
                continue
            spec = placement.job.spec
            if (
                feasibility.fits(spec, machine.free_cpus, machine.free_gpus, machine.free_memory)
                < 1
            ):
                return
            if not self._fits_beside_waiting(machine, placement.job):
                continue
            if feasibility.team_room(spec, self._scheduler.fleet, teams) < 1:
                continue
            self._launch(machine, placement, found, now)

    def _fits_beside_waiting(self, machine: Machine, job: Job) -> bool:
        """Room for a waiting task of higher priority is not broken up; the rest is used."""
        if job.aged:
            return True
        cpus, gpus, memory = machine.free_cpus, machine.free_gpus, machine.free_memory
        for above in self._planner.waiting:
            spec = above.spec
            if above.priority > job.priority and feasibility.allowed(spec, machine):
                number = feasibility.fits(spec, cpus, gpus, memory)
                cpus -= number * spec.cpus
                gpus -= number * spec.gpus
                memory -= number * spec.memory_gb
        return feasibility.fits(job.spec, cpus, gpus, memory) >= 1

    def _launch(self, machine: Machine, placement: Placement, found: Findings, now: Steady) -> None:
        scheduler = self._scheduler
        scheduler.jobs.unmark_queued(placement)
        scheduler.fleet.dequeue(machine, placement)
        scheduler.fleet.occupy(machine, placement)
        placement.maybe_there = True
        placement.unacknowledged = 1
        placement.job.served = now
        found.commands.append(workers.Launch(placement.key, placement.attempt))


def _launch_order(placement: Placement) -> tuple[bool, int, int, Steady]:
    return not placement.job.aged, -placement.job.priority, placement.job.rank, placement.queued_at
