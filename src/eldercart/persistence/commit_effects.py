"""Applies committed transactions to the leader's state in memory."""

import logging

from eldercart.jobs.job import Job, Placement, PlacementPhase
from eldercart.persistence.placement_records import PlacementRecords
from eldercart.persistence.transaction_builder import dependency_list_keys_of
from eldercart.persistence.transactions import ChunkUpdate, PendingTransaction
from eldercart.persistence.write_backlog import CleanupBacklog
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.units import ABSENT_REVISION, MonotonicTime, Revision
from eldercart.wire import users

log = logging.getLogger("eldercart.controller")

LOGGED_RUN_TIMES = 8  # approximate number per job, evenly spaced in ascending order


class CommitEffects:
    """Updates the leader's state when writes have become durable."""

    def __init__(
        self,
        cluster_state: ClusterState,
        placement_records: PlacementRecords,
        cleanup: CleanupBacklog,
    ) -> None:
        """Create the effects; `cleanup` is shared with the transaction builder."""
        self._cluster_state = cluster_state
        self._placement_records = placement_records
        self._cleanup = cleanup

    def apply(self, pending: PendingTransaction, revision: Revision, now: MonotonicTime) -> None:
        """Apply a transaction that was committed at this revision."""
        for job, outcome in pending.ends:
            self.end_job(job, outcome, now)
        for record in pending.placement_records:
            record.version = revision
        for record in pending.deleted_records:
            if record.is_empty:
                self._placement_records.remove_record(record)
            record.version = ABSENT_REVISION
        for update in pending.chunk_updates:
            self._apply_chunk_update(update)
        for job in pending.cleaned_up_jobs:
            self._remove_job(job)
        for key in pending.dependency_list_keys:
            self._cleanup.dependency_list_keys.pop(key, None)

    def end_job(self, job: Job, outcome: str, now: MonotonicTime) -> None:
        """Record that the end of the job is durable, and queue its records for deletion."""
        cluster_state = self._cluster_state
        job.outcome = outcome
        cluster_state.predictor.on_stream_job_ended(job, outcome)
        cluster_state.on_end_persisted(job)
        if outcome == users.CANCELLED and not job.is_cancellation_requested:
            cluster_state.mark_cancelled(job, now, now)
        cluster_state.kill_all_placements(job, now)
        cluster_state.add_finished_job(job.id, outcome)
        cluster_state.on_job_finished(job.id, outcome, now)
        cluster_state.request_planning()
        _log_end(job, outcome, now)
        self._cleanup.jobs[job.id] = job

    def _apply_chunk_update(self, update: ChunkUpdate) -> None:
        """Allow planned placements to be launched, and remove those that have ended."""
        for placement in update.planned:
            if placement.phase is PlacementPhase.PLANNED:
                placement.phase = PlacementPhase.COMMITTED
                self._mark_needs_command(placement)
        for placement in update.ended:
            if update.chunk.placements.get(placement.index) is placement:
                del update.chunk.placements[placement.index]
            self._remove_from_machine(placement)

    def _remove_job(self, job: Job) -> None:
        """Remove a job whose record is deleted, with its parts in placement records.

        Its dependency list is queued for deletion.
        """
        self._cleanup.dependency_list_keys |= dict.fromkeys(dependency_list_keys_of(job))
        self._cleanup.jobs.pop(job.id, None)
        self._placement_records.remove_job(job)
        self._cluster_state.jobs.remove(job)
        for placement in job.placements():
            self._remove_from_machine(placement)

    def _mark_needs_command(self, placement: Placement) -> None:
        machine = self._cluster_state.inventory.get(placement.machine_id)
        if machine is not None:
            self._cluster_state.mark_needs_command(machine)

    def _remove_from_machine(self, placement: Placement) -> None:
        """Remove a placement whose end is recorded from its machine, which needs a command then."""
        machine = self._cluster_state.inventory.get(placement.machine_id)
        if machine is not None:
            self._cluster_state.inventory.remove_placement(machine, placement)
            self._cluster_state.mark_needs_command(machine)


def _log_end(job: Job, outcome: str, now: MonotonicTime) -> None:
    log.info("job ended job=%s outcome=%s duration_s=%.1f", job.id, outcome, now - job.submitted_at)
    if not job.run_times_s:
        return
    step = max(1, len(job.run_times_s) // LOGGED_RUN_TIMES)
    log.debug(
        "run times job=%s class=%s estimate_s=%.1f count=%d run_times_s=%s",
        job.id,
        job.spec.job_class,
        job.spec.estimated_run_time_s,
        len(job.run_times_s),
        ",".join(f"{seconds:.1f}" for seconds in sorted(job.run_times_s)[::step]),
    )
