"""What the parts of the leader's state machine work on together, and the few steps that all need.

The parts (jobs, fleet, rental, predictor) each own their data; the shared state names what is due
next.
"""

import logging
from typing import NamedTuple

from eldercart.autoscaling.autoscaler import Autoscaler
from eldercart.cluster.health import Health, Responsiveness
from eldercart.cluster.inventory import Machine, MachineInventory, MachineState
from eldercart.jobs.dependency_graph import DependencyEffect, DependencyGraph
from eldercart.jobs.registry import Job, JobRegistry, Placement, PlacementPhase
from eldercart.prediction.predictor import Predictor
from eldercart.scheduling.objectives import ServiceLevelObjectives
from eldercart.settings import NodeSettings, Tuning
from eldercart.units import DISTANT_FUTURE, FencingToken, JobId, MachineId, MonotonicTime, NodeId
from eldercart.wire.cloud import MachineType
from eldercart.wire.users import CANCELLED

log = logging.getLogger("eldercart.controller")

FAILOVER_GRACE_HEARTBEATS = 3  # report intervals for machines to show that tasks have ended
KILL_TIMEOUT_SHARE, MAX_KILL_TIMEOUT_SHARE = (
    0.6,
    0.8,
)  # of `cancel_s`: the rest is left for the deletion


class FinishedJob(NamedTuple):
    """A job whose end has become durable, or follows from a durable one."""

    job_id: JobId
    outcome: str  # `users.DONE` or `users.CANCELLED`


class ClusterState:
    """The leader's shared state: the recorded state, what is due next, and steps that several parts
    take."""

    def __init__(
        self,
        settings: NodeSettings,
        tuning: Tuning,
        epoch: FencingToken,
        types: dict[str, MachineType],
        now: MonotonicTime,
    ) -> None:
        """Empty state of a leadership that begins at `now`, with the machine types known so far."""
        self.settings = settings
        self.tuning = tuning
        self.token = epoch
        self.types = types
        self.jobs = JobRegistry(0)
        self.inventory = MachineInventory()
        self.objectives = ServiceLevelObjectives(
            settings.waits, settings.finishes, settings.deadlines
        )
        self.autoscaler = Autoscaler(tuning, settings.teams)
        self.predictor = Predictor(tuning)
        self.health = Health(tuning.quarantine_jobs, tuning.error_backoff_s)
        self.responsiveness = Responsiveness(tuning.unheeded_answers, settings.lease_s / 2)
        self.started_at = now
        self.wall_clock_offset_s = 0.0  # time of day at steady zero, good to the settings' bound
        self.is_planning_requested = True
        self.is_store_unavailable = False  # the last write was not carried out
        self.autoscaling_due_at = now
        self.dirty_jobs: dict[JobId, Job] = {}
        self.finalizing_jobs: dict[JobId, Job] = {}  # complete or cancelled, end not yet durable
        self.upstream_cancelled_jobs: dict[
            JobId, Job
        ] = {}  # cancelled with a job before them, end not written
        self.pending_deletions: dict[MachineId, None] = {}
        self.pending_direct_kills: dict[
            MachineId, None
        ] = {}  # machines to be told directly what to kill
        self.finished_jobs: list[FinishedJob] = []  # newly durable ends, for waiting answers
        self.graph = DependencyGraph(self.jobs, self._estimated_remaining_s, self._deadline_at)
        self.completed_cpu_s = self.lost_cpu_s = 0.0  # CPU seconds, as seen here
        self.start_latencies_s: list[float] = []  # seconds from submission, of tasks that began
        self._machines_needing_command: dict[MachineId, Machine] = {}

    # -- dependencies

    def _estimated_remaining_s(self, job: Job) -> float:
        """How long the job takes once it is ready, as far as can be told."""
        return self.predictor.expected_longest_run_s(job)

    def _deadline_at(self, job: Job) -> MonotonicTime:
        """By its own deadline, which counts from the submission however long it waits."""
        deadline = job.spec.deadline_s
        return DISTANT_FUTURE if deadline is None else MonotonicTime(job.submitted_at + deadline)

    def on_job_submitted(self, job: Job, now: MonotonicTime) -> None:
        """A job has come into the job registry."""
        effect = self.graph.add(job, now)
        if not job.upstream_cancelled:
            self.predictor.on_job_submitted(job, self.graph.dependents(job.id))
        self.apply_graph_change(effect, now)

    def on_job_finished(self, job: JobId, how: str, now: MonotonicTime) -> None:
        """A durable end: of a job in the job registry, or of one that others await."""
        self.predictor.on_chain_job_ended(job, how, now)
        self.apply_graph_change(self.graph.on_job_ended(job, how, now), now)

    def apply_graph_change(self, effect: DependencyEffect, now: MonotonicTime) -> None:
        """Carries out what an end or a new job brings about in the graph."""
        for job in effect.ready:
            self.predictor.on_job_ready(job)
            self.autoscaler.record_arrival(now)
            self.is_planning_requested = True
            self.autoscaling_due_at = now
            if job.spec.dependencies:
                log.info("job ready job=%s waited=%.1f", job.id, now - job.submitted_at)
        for job in effect.upstream_cancelled:
            # Told from now on, whatever becomes of its own end: who asks after a change of leader
            # is told the same, since it follows from the end of the job before it.
            if job.outcome is None:
                log.info("job orphaned job=%s", job.id)
                self.mark_cancelled(job, now, now)
                self.predictor.cancel_reservation(job.id)
                if job.id not in self.finalizing_jobs:
                    self.upstream_cancelled_jobs[job.id] = job
                self.kill_all_placements(job, now)
                self.finished_jobs.append(FinishedJob(job.id, CANCELLED))

    # -- tasks

    def cancel_placement(self, p: Placement, now: MonotonicTime) -> None:
        """The task is proven not to be on its machine."""
        m = self.inventory.get(p.machine_id)
        if m is not None:
            if p.is_enqueued:
                self.jobs.mark_dequeued(p)
                self.inventory.dequeue(m, p)
            elif p.phase is not PlacementPhase.ENDED:
                self.inventory.release(m, p, now)
            self.inventory.remove_placement(m, p)
        if p.phase is PlacementPhase.ENDED:
            return  # done; only the record is outstanding
        self.lost_cpu_s += p.run_time_s(now) * p.job.spec.cpus
        self.jobs.remove_placement(p, now, retry=True)
        self.dirty_jobs[p.job.id] = p.job
        self.is_planning_requested = True

    def kill_placement(self, p: Placement, now: MonotonicTime) -> None:
        """The task is to end where it is; one that was never launched is void at once."""
        m = self.inventory.get(p.machine_id)
        self.inventory.mark_terminating(m, p)
        if not p.may_have_launched:
            # No launch was ever sent: it is nowhere.
            self.cancel_placement(p, now)
        elif m is not None:
            self.mark_needs_command(m)
            if p.job.is_cancelled and p.phase in (
                PlacementPhase.COMMITTED,
                PlacementPhase.FETCHING,
            ):
                self.pending_direct_kills[m.id] = None  # it would start before its machine reports

    def kill_all_placements(self, job: Job, now: MonotonicTime) -> None:
        """All tasks of the job are to end where they are."""
        for p in list(job.placements()):
            if p.phase is not PlacementPhase.ENDED:
                self.kill_placement(p, now)

    def mark_cancelled(self, job: Job, at: MonotonicTime, now: MonotonicTime) -> None:
        """Its user asked at `at`, and the time for its tasks to go runs from then on, through any
        number of leaders. One that takes over late lets the machines show first that the tasks
        have ended, as far as there is time."""
        s = self.settings
        job.is_cancelled = True
        job.cancelled_at = at
        patience = now + FAILOVER_GRACE_HEARTBEATS * s.report_s
        if now < at + s.cancel_s:
            patience = min(patience, at + MAX_KILL_TIMEOUT_SHARE * s.cancel_s)
        job.kill_deadline_at = MonotonicTime(max(at + KILL_TIMEOUT_SHARE * s.cancel_s, patience))

    def mark_needs_command(self, m: Machine) -> None:
        """There is something to tell the machine: its next report should come here."""
        # One that waits for its deletion, too: the cloud may be out, and a cancelled task be there.
        if not m.needs_command and m.state in (MachineState.UP, MachineState.DELETING):
            m.needs_command = True
            self._machines_needing_command[m.id] = m

    def take_machines_needing_command(self) -> dict[NodeId, list[MachineId]]:
        """By the node that heard the machine last."""
        out: dict[NodeId, list[MachineId]] = {}
        for m in self._machines_needing_command.values():
            m.needs_command = False
            if m.relay is not None:
                out.setdefault(m.relay, []).append(m.id)
        self._machines_needing_command.clear()
        return out

    def request_deletion(self, m: Machine, now: MonotonicTime) -> None:
        """The machine is to be deleted, and nothing new starts there."""
        m.state = MachineState.DELETING
        m.is_unschedulable = True
        self.pending_deletions[m.id] = None
        self.autoscaling_due_at = now

    def cordon(self, m: Machine, why: str, now: MonotonicTime) -> None:
        """Nothing new starts on the machine, unless too many others are deferred as well."""
        if m.is_cordoned:
            return
        out = sum(1 for other in self.inventory.machines.values() if other.is_cordoned)
        if out >= max(1, self.tuning.quarantine_share * len(self.inventory.machines)):
            # When many machines look bad at once, the evidence is more likely at fault.
            return
        m.is_cordoned = True
        m.cordoned_at = now
        m.is_unschedulable = True
        self.autoscaling_due_at = now
        log.info(
            "machine quarantined machine=%s why=%s jobs=%s", m.id, why, sorted(m.failed_job_ids)
        )
