"""State that the parts of the leader's state machine share, and the operations common to them.

Each part (jobs, machines, autoscaler, predictor) owns its data; the shared state holds the work
that one part requests and another carries out.
"""

import logging
from typing import NamedTuple

from eldercart.autoscaling.autoscaler import Autoscaler
from eldercart.cluster.health import Health, Responsiveness
from eldercart.cluster.inventory import Machine, MachineInventory, MachineState
from eldercart.cluster.pending_commands import PendingCommands
from eldercart.jobs.dependency_graph import DependencyEffect, DependencyGraph
from eldercart.jobs.job import Job, Placement, PlacementPhase
from eldercart.jobs.registry import JobRegistry
from eldercart.prediction.predictor import Predictor
from eldercart.scheduling.objectives import ServiceLevelObjectives
from eldercart.settings import NodeSettings, Tuning
from eldercart.units import DISTANT_FUTURE, FencingToken, JobId, MachineId, MonotonicTime
from eldercart.wire.cloud import MachineType
from eldercart.wire.users import CANCELLED

log = logging.getLogger("eldercart.controller")

FAILOVER_GRACE_HEARTBEATS = 3  # heartbeat intervals for machines to report ended tasks
# Shares of `cancel_s` after which the machine of a cancelled task that still runs is deleted. The
# rest of the time is for the deletion.
KILL_TIMEOUT_SHARE = 0.6
# Unless `cancel_s` has passed, a new leader's grace period ends at this share at the latest.
MAX_KILL_TIMEOUT_SHARE = 0.8


class FinishedJob(NamedTuple):
    """A job whose end is durable, or follows from the durable end of an upstream job."""

    job_id: JobId
    outcome: str  # `users.DONE` or `users.CANCELLED`


class ClusterState:
    """The leader's shared state: its parts, the pending work and the common operations."""

    def __init__(
        self,
        settings: NodeSettings,
        tuning: Tuning,
        token: FencingToken,
        types: dict[str, MachineType],
        now: MonotonicTime,
        wall_clock_offset_s: float,
    ) -> None:
        """Create the empty state of a leadership that begins at `now`.

        `types` are the machine types known so far. `wall_clock_offset_s` is the wall-clock time
        minus the monotonic time, accurate to the bound in the settings.
        """
        self.settings = settings
        self.tuning = tuning
        self.token = token
        self.types = types
        self.jobs = JobRegistry()
        self.inventory = MachineInventory()
        self.objectives = ServiceLevelObjectives(
            settings.start_within_s, settings.finish_within_s, settings.deadline_factors
        )
        self.autoscaler = Autoscaler(tuning, settings.teams)
        self.predictor = Predictor(tuning)
        self.health = Health(tuning.quarantine_jobs, tuning.error_backoff_s)
        self.responsiveness = Responsiveness(tuning.unheeded_answers, settings.lease_s / 2)
        self.graph = DependencyGraph(self.jobs, self._estimated_remaining_s, self._deadline_at)
        self.started_at = now
        self.wall_clock_offset_s = wall_clock_offset_s
        # Pending work of the planner, the autoscaler and the cloud requests.
        self.is_planning_requested = True
        self.autoscaling_due_at = now
        self.pending_deletions: dict[MachineId, None] = {}
        # Pending writes.
        self.is_store_unavailable = False  # the last write failed or its outcome is unknown
        self.dirty_jobs: dict[JobId, Job] = {}
        self.finalizing_jobs: dict[JobId, Job] = {}  # complete or cancelled, end not durable yet
        # Jobs cancelled with an upstream job whose own ends have not been written yet.
        self.upstream_cancelled_jobs: dict[JobId, Job] = {}
        self.pending_commands = PendingCommands()
        # Events for the adapters.
        self.finished_jobs: list[FinishedJob] = []
        # Times from readiness to start, one for each task that started.
        self.start_latencies_s: list[float] = []
        # CPU seconds that this leader has observed.
        self.completed_cpu_s = 0.0
        self.lost_cpu_s = 0.0

    # -- pending work

    def mark_dirty(self, job: Job) -> None:
        """Request a write of the job's changed placements."""
        self.dirty_jobs[job.id] = job

    def mark_finalizing(self, job: Job) -> None:
        """Request a write of the job's end."""
        self.finalizing_jobs[job.id] = job

    def on_end_persisted(self, job: Job) -> None:
        """Drop the request to write the job's end, which is durable now."""
        self.finalizing_jobs.pop(job.id, None)
        self.upstream_cancelled_jobs.pop(job.id, None)

    def request_planning(self) -> None:
        """Make a planning pass due as soon as its minimum interval has passed."""
        self.is_planning_requested = True

    def request_autoscaling(self, due_at: MonotonicTime) -> None:
        """Make the next autoscaling run due at `due_at`."""
        self.autoscaling_due_at = due_at

    # -- events

    def add_finished_job(self, job_id: JobId, outcome: str) -> None:
        """Announce a durable end to the requests that wait for it."""
        self.finished_jobs.append(FinishedJob(job_id, outcome))

    def take_finished_jobs(self) -> list[FinishedJob]:
        """Return the jobs whose ends became durable since the last call."""
        finished, self.finished_jobs = self.finished_jobs, []
        return finished

    def add_start_latency(self, seconds: float) -> None:
        """Record the seconds that a started task has waited since its job became ready."""
        self.start_latencies_s.append(seconds)

    def take_start_latencies_s(self) -> list[float]:
        """Return the seconds from readiness to start of tasks started since the last call."""
        latencies, self.start_latencies_s = self.start_latencies_s, []
        return latencies

    # -- dependencies

    def _estimated_remaining_s(self, job: Job) -> float:
        """Return how many seconds the job is expected to take after it becomes ready."""
        return self.predictor.expected_longest_run_s(job)

    def _deadline_at(self, job: Job) -> MonotonicTime:
        """Return the job's own deadline, which counts from the submission."""
        deadline_s = job.spec.deadline_s
        if deadline_s is None:
            return DISTANT_FUTURE
        return MonotonicTime(job.submitted_at + deadline_s)

    def on_job_submitted(self, job: Job, now: MonotonicTime) -> None:
        """Process a job that was added to the job registry."""
        effect = self.graph.add(job, now)
        if not job.upstream_cancelled:
            self.predictor.on_job_submitted(job, self.graph.dependents(job.id))
        self.apply_graph_change(effect, now)

    def on_job_finished(self, job: JobId, outcome: str, now: MonotonicTime) -> None:
        """Process the durable end of a job in the registry, or of a job that others depend on."""
        self.predictor.on_chain_job_ended(job, outcome, now)
        self.apply_graph_change(self.graph.on_job_ended(job, outcome, now), now)

    def apply_graph_change(self, effect: DependencyEffect, now: MonotonicTime) -> None:
        """Process the jobs that became ready or were cancelled with an upstream job."""
        for job in effect.ready:
            self._on_job_ready(job, now)
        for job in effect.upstream_cancelled:
            if job.outcome is None:
                self._on_upstream_cancelled(job, now)

    def _on_job_ready(self, job: Job, now: MonotonicTime) -> None:
        self.predictor.on_job_ready(job)
        self.autoscaler.record_arrival(now)
        self.request_planning()
        self.request_autoscaling(now)
        if job.spec.dependencies:
            log.info("job ready job=%s waited_s=%.1f", job.id, now - job.submitted_at)

    def _on_upstream_cancelled(self, job: Job, now: MonotonicTime) -> None:
        """Cancel the job and announce that at once, whether or not its own end is written.

        Polls after a failover get the same answer, because it follows from the durable end of the
        upstream job.
        """
        log.info("job cancelled with its dependency job=%s", job.id)
        self.mark_cancelled(job, now, now)
        self.predictor.cancel_reservation(job.id)
        if job.id not in self.finalizing_jobs:
            self.upstream_cancelled_jobs[job.id] = job
        self.kill_all_placements(job, now)
        self.add_finished_job(job.id, CANCELLED)

    # -- tasks

    def cancel_placement(self, placement: Placement, now: MonotonicTime) -> None:
        """Remove a placement that is proven absent from its machine; requeue its task."""
        machine = self.inventory.get(placement.machine_id)
        if machine is not None:
            if placement.is_enqueued:
                self.jobs.mark_dequeued(placement)
                self.inventory.dequeue(machine, placement)
            elif placement.phase is not PlacementPhase.ENDED:
                self.inventory.release(machine, placement, now)
            self.inventory.remove_placement(machine, placement)
        if placement.phase is PlacementPhase.ENDED:
            return  # the task has ended; only its record is not written yet
        job = placement.job
        self.lost_cpu_s += placement.run_time_s(now) * job.spec.cpus
        self.jobs.remove_placement(placement, now, retry=True)
        self.mark_dirty(job)
        self.request_planning()

    def kill_placement(self, placement: Placement, now: MonotonicTime) -> None:
        """Kill the task on its machine; cancel the placement at once if it was never launched."""
        machine = self.inventory.get(placement.machine_id)
        self.inventory.mark_terminating(machine, placement)
        if not placement.may_have_launched:
            # No launch command was sent, so the task is on no machine.
            self.cancel_placement(placement, now)
        elif machine is not None:
            self.mark_needs_command(machine)
            if placement.job.is_cancellation_requested and placement.phase in (
                PlacementPhase.COMMITTED,
                PlacementPhase.FETCHING,
            ):
                # Without a direct kill, it would start before its machine's next heartbeat.
                self.pending_commands.request_direct_kill(machine.id)

    def kill_all_placements(self, job: Job, now: MonotonicTime) -> None:
        """Kill all tasks of the job that have not ended."""
        for placement in list(job.placements()):
            if placement.phase is not PlacementPhase.ENDED:
                self.kill_placement(placement, now)

    def mark_cancelled(self, job: Job, requested_at: MonotonicTime, now: MonotonicTime) -> None:
        """Record that the job is cancelled, at its user's request or with an upstream job.

        The time limit for its tasks to end counts from `requested_at`, across any number of
        leaders. A leader that is elected late first gives the machines time to report that the
        tasks have ended, as far as the limit allows.
        """
        cancel_s = self.settings.cancel_s
        grace_until = now + FAILOVER_GRACE_HEARTBEATS * self.settings.report_s
        if now < requested_at + cancel_s:
            grace_until = min(grace_until, requested_at + MAX_KILL_TIMEOUT_SHARE * cancel_s)
        kill_deadline_at = max(requested_at + KILL_TIMEOUT_SHARE * cancel_s, grace_until)
        job.is_cancellation_requested = True
        job.cancellation_requested_at = requested_at
        job.kill_deadline_at = MonotonicTime(kill_deadline_at)

    # -- machines

    def mark_needs_command(self, machine: Machine) -> None:
        """Request that the machine's next heartbeat is forwarded here, to answer with a command."""
        self.pending_commands.mark_needs_command(machine)

    def request_deletion(self, machine: Machine, now: MonotonicTime) -> None:
        """Request the deletion of the machine and start no new task on it."""
        machine.state = MachineState.DELETING
        machine.is_unschedulable = True
        self.pending_deletions[machine.id] = None
        self.request_autoscaling(now)

    def cordon(self, machine: Machine, reason: str, now: MonotonicTime) -> None:
        """Cordon the machine against new tasks, unless too many others are cordoned already."""
        if machine.is_cordoned:
            return
        machines = self.inventory.machines
        cordoned_count = sum(1 for other in machines.values() if other.is_cordoned)
        if cordoned_count >= max(1, self.tuning.quarantine_share * len(machines)):
            # If many machines look faulty at once, the evidence is more likely to be wrong.
            return
        machine.is_cordoned = True
        machine.cordoned_at = now
        machine.is_unschedulable = True
        self.request_autoscaling(now)
        log.info(
            "machine cordoned machine=%s reason=%s jobs=%s",
            machine.id,
            reason,
            sorted(machine.failed_job_ids),
        )
