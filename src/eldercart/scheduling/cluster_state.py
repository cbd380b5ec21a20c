"""What the parts of the leader's state machine work on together, and the few steps that all need.

The parts (jobs, fleet, rental, predictor) each own their data; the shared state names what is due
next.
"""

import logging
from typing import NamedTuple

from eldercart.autoscaling.autoscaler import Rental
from eldercart.cluster.health import Health, Responsiveness
from eldercart.cluster.inventory import Fleet, Machine, MachineState
from eldercart.jobs.dependency_graph import DependencyGraph, Effect
from eldercart.jobs.registry import Job, JobRegistry, Phase, Placement
from eldercart.prediction.predictor import Predictor
from eldercart.scheduling.feasibility import Promises
from eldercart.settings import NodeSettings, Tuning
from eldercart.units import FOREVER, Epoch, JobId, MachineId, NodeId, Steady
from eldercart.wire.cloud import MachineType
from eldercart.wire.users import CANCELLED

log = logging.getLogger("eldercart.controller")

TAKEOVER_REPORTS = 3  # report intervals for machines to show that tasks have ended
KILL_SHARE, KILL_LAST = 0.6, 0.8  # of `cancel_s`: the rest is left for the deletion


class FinishedJob(NamedTuple):
    """A job whose end has become durable, or follows from a durable one."""

    job: JobId
    how: str  # `users.DONE` or `users.CANCELLED`


class SchedulerState:
    """The leader's shared state: the recorded state, what is due next, and steps that several parts
    take."""

    def __init__(
        self,
        settings: NodeSettings,
        tuning: Tuning,
        epoch: Epoch,
        types: dict[str, MachineType],
        now: Steady,
    ) -> None:
        """Empty state of a leadership that begins at `now`, with the machine types known so far."""
        self.settings = settings
        self.tuning = tuning
        self.epoch = epoch
        self.types = types
        self.jobs = JobRegistry(0)
        self.fleet = Fleet()
        self.promises = Promises(settings.waits, settings.finishes, settings.deadlines)
        self.rental = Rental(tuning, settings.teams)
        self.predictor = Predictor(tuning)
        self.health = Health(tuning.quarantine_jobs, tuning.error_backoff_s)
        self.responsiveness = Responsiveness(tuning.unheeded_answers, settings.lease_s / 2)
        self.began = now
        self.zero_wall = 0.0  # time of day at steady zero, good to the settings' bound
        self.plan_wanted = True
        self.outage = False  # the last write was not carried out
        self.rental_due = now
        self.dirty: dict[JobId, Job] = {}
        self.ending: dict[JobId, Job] = {}  # complete or cancelled, end not yet durable
        self.orphaned: dict[JobId, Job] = {}  # cancelled with a job before them, end not written
        self.deletions_due: dict[MachineId, None] = {}
        self.orders: dict[MachineId, None] = {}  # machines to be told directly what to kill
        self.finished: list[FinishedJob] = []  # newly durable ends, for waiting answers
        self.graph = DependencyGraph(self.jobs, self._rest_s, self._due)
        self.work_done = self.work_lost = 0.0  # CPU seconds, as seen here
        self.start_waits: list[float] = []  # seconds from submission, of tasks that began
        self._wants: dict[MachineId, Machine] = {}

    # -- dependencies

    def _rest_s(self, job: Job) -> float:
        """How long the job takes once it is ready, as far as can be told."""
        return self.predictor.longest_s(job)

    def _due(self, job: Job) -> Steady:
        """By its own deadline, which counts from the submission however long it waits."""
        deadline = job.spec.deadline_s
        return FOREVER if deadline is None else Steady(job.arrived + deadline)

    def submitted(self, job: Job, now: Steady) -> None:
        """A job has come into the job registry."""
        effect = self.graph.add(job, now)
        if not job.orphaned:
            self.predictor.submitted(job, self.graph.dependents(job.id))
        self.take(effect, now)

    def ended(self, job: JobId, how: str, now: Steady) -> None:
        """A durable end: of a job in the job registry, or of one that others await."""
        self.predictor.chain_ended(job, how, now)
        self.take(self.graph.ended(job, how, now), now)

    def take(self, effect: Effect, now: Steady) -> None:
        """Carries out what an end or a new job brings about in the graph."""
        for job in effect.ready:
            self.predictor.arrived(job, now)
            self.rental.arrived(now)
            self.plan_wanted = True
            self.rental_due = now
            if job.spec.dependencies:
                log.info("job ready job=%s waited=%.1f", job.id, now - job.arrived)
        for job in effect.orphaned:
            # Told from now on, whatever becomes of its own end: who asks after a change of leader
            # is told the same, since it follows from the end of the job before it.
            if job.ended is None:
                log.info("job orphaned job=%s", job.id)
                self.cancelled(job, now, now)
                self.predictor.returned(job.id)
                if job.id not in self.ending:
                    self.orphaned[job.id] = job
                self.stop_all(job, now)
                self.finished.append(FinishedJob(job.id, CANCELLED))

    # -- tasks

    def void(self, p: Placement, now: Steady) -> None:
        """The task is proven not to be on its machine."""
        m = self.fleet.get(p.machine)
        if m is not None:
            if p.queued:
                self.jobs.unmark_queued(p)
                self.fleet.dequeue(m, p)
            elif p.phase is not Phase.ENDED:
                self.fleet.release(m, p, now)
            self.fleet.forget(m, p)
        if p.phase is Phase.ENDED:
            return  # done; only the record is outstanding
        self.work_lost += p.ran(now) * p.job.spec.cpus
        self.jobs.drop(p, now, again=True)
        self.dirty[p.job.id] = p.job
        self.plan_wanted = True

    def stop(self, p: Placement, now: Steady) -> None:
        """The task is to end where it is; one that was never launched is void at once."""
        m = self.fleet.get(p.machine)
        self.fleet.stopping(m, p)
        if not p.maybe_there:
            # No launch was ever sent: it is nowhere.
            self.void(p, now)
        elif m is not None:
            self.want(m)
            if p.job.cancelled and p.phase in (Phase.WANTED, Phase.FETCHING):
                self.orders[m.id] = None  # it would start before its machine reports

    def stop_all(self, job: Job, now: Steady) -> None:
        """All tasks of the job are to end where they are."""
        for p in list(job.placements()):
            if p.phase is not Phase.ENDED:
                self.stop(p, now)

    def cancelled(self, job: Job, at: Steady, now: Steady) -> None:
        """Its user asked at `at`, and the time for its tasks to go runs from then on, through any
        number of leaders. One that takes over late lets the machines show first that the tasks
        have ended, as far as there is time."""
        s = self.settings
        job.cancelled = True
        job.cancelled_at = at
        patience = now + TAKEOVER_REPORTS * s.report_s
        if now < at + s.cancel_s:
            patience = min(patience, at + KILL_LAST * s.cancel_s)
        job.kill_due = Steady(max(at + KILL_SHARE * s.cancel_s, patience))

    def want(self, m: Machine) -> None:
        """There is something to tell the machine: its next report should come here."""
        # One that waits for its deletion, too: the cloud may be out, and a cancelled task be there.
        if not m.wanted and m.state in (MachineState.UP, MachineState.LEAVING):
            m.wanted = True
            self._wants[m.id] = m

    def take_wants(self) -> dict[NodeId, list[MachineId]]:
        """By the node that heard the machine last."""
        out: dict[NodeId, list[MachineId]] = {}
        for m in self._wants.values():
            m.wanted = False
            if m.relay is not None:
                out.setdefault(m.relay, []).append(m.id)
        self._wants.clear()
        return out

    def request_deletion(self, m: Machine, now: Steady) -> None:
        """The machine is to be deleted, and nothing new starts there."""
        m.state = MachineState.LEAVING
        m.draining = True
        self.deletions_due[m.id] = None
        self.rental_due = now

    def quarantine(self, m: Machine, why: str, now: Steady) -> None:
        """Nothing new starts on the machine, unless too many others are deferred as well."""
        if m.quarantined:
            return
        out = sum(1 for other in self.fleet.machines.values() if other.quarantined)
        if out >= max(1, self.tuning.quarantine_share * len(self.fleet.machines)):
            # When many machines look bad at once, the evidence is more likely at fault.
            return
        m.quarantined = True
        m.quarantined_at = now
        m.draining = True
        self.rental_due = now
        log.info("machine quarantined machine=%s why=%s jobs=%s", m.id, why, sorted(m.failed_jobs))
