"""Loads the stored records into the state of a new leader."""

import logging
from collections.abc import Iterable

from eldercart.autoscaling.inventory_updates import add_unknown_machine
from eldercart.jobs.job import Job, Placement
from eldercart.jobs.job_records import JobRecord, JobRecordHistory, JobRecordSource
from eldercart.persistence import learned_state
from eldercart.persistence.placement_record_loader import load_placement_records
from eldercart.persistence.transaction_writer import TransactionWriter
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.units import JobId, MonotonicTime, WallTime
from eldercart.wire import MalformedMessageError, users
from eldercart.wire.state import Item
from eldercart.wire.stored_jobs import (
    decode_cancellation_time,
    decode_end_record,
    decode_job_record,
    job_id_of,
    resolved_list_reference,
)

log = logging.getLogger("eldercart.controller")


class StateLoader:
    """Adds jobs, placements and cleanup markers from the store to the cluster state."""

    def __init__(self, cluster_state: ClusterState, transaction_writer: TransactionWriter) -> None:
        """Create a loader that fills `cluster_state` and the records in `transaction_writer`."""
        self._cluster_state = cluster_state
        self._transaction_writer = transaction_writer
        self._jobs = cluster_state.jobs
        self.job_record_history = JobRecordHistory()
        # Cleanup markers of ended jobs whose job records have not been read yet.
        self._unresolved_cleanup_markers: dict[JobId, Item] = {}

    def load(
        self,
        job_items: Iterable[Item],
        placement_items: Iterable[Item],
        cleanup_items: Iterable[Item],
        now: MonotonicTime,
        learned_state_items: Iterable[Item] = (),
        incomplete_jobs: Iterable[Item] = (),
    ) -> None:
        """Load all records. The task of any recorded placement may be on its machine.

        `incomplete_jobs` are job records whose dependency lists have not been read yet; the caller
        passes them to `load_job_record` later.
        """
        # Of a machine or a class in several records, the first one counts. A record remains when a
        # later checkpoint needs fewer of them, so the newest must come first.
        for item in sorted(learned_state_items, key=lambda item: item.version, reverse=True):
            learned_state.restore_learned_state(self._cluster_state, item.key, item.value)
        job_items, incomplete_jobs = list(job_items), list(incomplete_jobs)
        for item in incomplete_jobs:
            self.defer_job_record(item)
        for item in job_items:
            self.load_job_record(item, JobRecordSource.FAILOVER, now)
        placements = load_placement_records(
            self._transaction_writer.placement_records, placement_items, self._jobs
        )
        recorded_job_ids = {job_id_of(item) for item in (*job_items, *incomplete_jobs)}
        self._load_cleanup_markers(cleanup_items, recorded_job_ids, now)
        for job in self._jobs.jobs.values():
            self._finish_load(job, now)
        self._load_placements(placements, now)
        log.info(
            "failover complete token=%d jobs=%d placements=%d orphaned_keys=%d",
            self._cluster_state.token,
            len(self._jobs.jobs),
            len(placements),
            len(self._transaction_writer.orphaned_keys),
        )

    def defer_job_record(self, item: Item) -> bool:
        """Note that the record waits for its dependency list; return whether it is still wanted.

        It is not if its job is in the registry or has ended.
        """
        return self.job_record_history.defer(job_id_of(item), item.version)

    def load_job_record(self, item: Item, source: JobRecordSource, now: MonotonicTime) -> None:
        """Add the job of a record that a read or a watch returned; log an unreadable record."""
        job_id = job_id_of(item)
        if job_id in self._jobs:
            return
        try:
            stored = decode_job_record(job_id, item.value)
        except (MalformedMessageError, KeyError, TypeError, ValueError) as err:
            log.error("job record unreadable job=%s error=%s", job_id, err)
            return
        record = JobRecord(
            stored.spec,
            stored.tasks_per_chunk,
            WallTime(stored.accepted_at),
            item.version,
            resolved_list_reference(item.value),
        )
        self.add_job(record, source, now)

    def add_job(self, record: JobRecord, source: JobRecordSource, now: MonotonicTime) -> None:
        """Add an accepted job, unless it is in the registry or has ended.

        Every job enters the registry here, by whichever way its record reached the leader.
        """
        spec = record.spec
        if spec.id in self._jobs:
            return
        if not self.job_record_history.take(spec.id, record.revision):
            log.info(
                "job record ignored job=%s reason=ended source=%s revision=%d",
                spec.id,
                source.value,
                record.revision,
            )
            return
        offset_s = self._cluster_state.wall_clock_offset_s
        submitted_at = MonotonicTime(min(now, record.accepted_at - offset_s))
        job = self._jobs.add(
            spec, record.tasks_per_chunk, submitted_at, record.dependency_list_reference
        )
        self._cluster_state.on_job_submitted(job, now)
        log.info(
            "job accepted job=%s class=%s team=%s tasks=%d cpus=%g image=%s source=%s revision=%d",
            spec.id,
            spec.job_class,
            spec.team,
            spec.task_count,
            spec.cpus,
            spec.image,
            source.value,
            record.revision,
        )
        marker = self._unresolved_cleanup_markers.pop(spec.id, None)
        if marker is not None:
            self._load_finished_job(job, marker, now)

    def _load_cleanup_markers(
        self, markers: Iterable[Item], recorded_job_ids: set[JobId], now: MonotonicTime
    ) -> None:
        """Load the cleanup markers of jobs that have ended and whose records are to be deleted.

        A marker without a job record is orphaned. A marker whose job record cannot be read yet is
        retained; without it, a node that can read the record would consider the job unfinished.
        """
        for item in markers:
            job_id = job_id_of(item)
            job = self._jobs.get(job_id)
            if job is not None:
                self._load_finished_job(job, item, now)
            elif job_id in recorded_job_ids:
                self._unresolved_cleanup_markers[job_id] = item
            else:
                self._transaction_writer.orphaned_keys.append((item.key, item.version))

    def _load_finished_job(self, job: Job, marker: Item, now: MonotonicTime) -> None:
        job.outcome = decode_end_record(marker.value)
        if job.outcome == users.CANCELLED:
            requested_at = self._decode_request_time(marker, now)
            self._cluster_state.mark_cancelled(job, requested_at, now)
        self._transaction_writer.jobs_to_clean_up[job.id] = job
        self._cluster_state.on_job_finished(job.id, job.outcome, now)

    def _decode_request_time(self, marker: Item, now: MonotonicTime) -> MonotonicTime:
        """Return when the cancellation was requested, or `now` if the marker lacks the time."""
        wall_time = decode_cancellation_time(marker.value)
        if wall_time is None:
            return now
        return MonotonicTime(min(now, wall_time - self._cluster_state.wall_clock_offset_s))

    def _finish_load(self, job: Job, now: MonotonicTime) -> None:
        """Derive the job's progress after all of its records are loaded."""
        self._jobs.finish_load(job)
        if job.chunks:
            effect = self._cluster_state.graph.on_job_started(job, now)
            self._cluster_state.apply_graph_change(effect, now)
        if job.is_complete and job.outcome is None:
            self._cluster_state.mark_finalizing(job)

    def _load_placements(self, placements: list[Placement], now: MonotonicTime) -> None:
        """Allocate the resources of each recorded placement: its task may be on the machine."""
        inventory = self._cluster_state.inventory
        # Until this time, a machine that has not sent a heartbeat is not considered dead.
        grace_until = MonotonicTime(now + self._cluster_state.tuning.takeover_grace_s)
        for placement in placements:
            machine = inventory.get(placement.machine_id)
            if machine is None:
                # Its heartbeat contains its type and zone; until then no new task starts on it.
                machine = add_unknown_machine(
                    self._cluster_state, placement.machine_id, now, grace_until
                )
            placement.is_terminating = placement.job.outcome is not None
            inventory.allocate(machine, placement)
            # This leader observes only part of the run time. Counted as a full run time, it would
            # make all later tasks of the job, and the healthy machines they run on, look slow.
            placement.is_start_known = False
