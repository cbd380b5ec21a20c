"""What the leader writes to the state service: ends, placements, clean-ups; one transaction at a
time, because a record's version is needed for its next write."""

import logging
from dataclasses import dataclass, field
from enum import Enum

from eldercart.election.state_machine import LEADER_KEY
from eldercart.jobs.job import Chunk, Job, Placement, PlacementPhase
from eldercart.persistence.placement_records import PlacementRecord, PlacementRecords, RecordPart
from eldercart.scheduling.cluster_state import ClusterState, FinishedJob
from eldercart.units import ABSENT_REVISION, DISTANT_PAST, JobId, MonotonicTime, Revision
from eldercart.wire import users
from eldercart.wire.state import MAX_TRANSACTION_BYTES, DeleteKey, Item, Put, Transaction
from eldercart.wire.stored_jobs import (
    CLEANUP_PREFIX,
    END_PREFIX,
    JOB_PREFIX,
    decode_end_record,
    dependency_list_keys,
    encode_cleanup_marker,
    encode_end_record,
)
from eldercart.wire.stored_placements import max_tasks_per_chunk

log = logging.getLogger("eldercart.controller")

WRITE_RETRY_DELAY_S = 0.25  # after a write that was not carried out
UNLIMITED_UNITS = 1000  # ends and placement records, more than a transaction holds
# for which a job is left alone whose record the store refuses for what it is
REJECTED_RETRY_DELAY_S = 20.0


@dataclass(frozen=True, slots=True)
class CleanupPermit:
    """Whether what is left of ended jobs may be deleted, and what those writes are guarded on
    beside the leader key."""

    is_allowed: bool = True
    conditions: tuple[tuple[str, Revision], ...] = ()


class TransactionOutcome(Enum):
    """What became of a transaction."""

    COMMITTED = "ok"
    CONFLICT = "conflict"
    REJECTED = "refused"  # surely not carried out
    INVALID = "malformed"  # not carried out, and never will be as it is
    INDETERMINATE = "unknown"  # may have been, or may be later


@dataclass(slots=True)
class PendingTransaction:
    """A transaction on its way, and what is true once it is carried out."""

    transaction: Transaction
    ends: list[tuple[Job, str]] = field(default_factory=list)
    chunk_updates: list[tuple[Job, Chunk, list[Placement], list[Placement]]] = field(
        default_factory=list
    )
    placement_records: list[PlacementRecord] = field(default_factory=list)
    deleted_records: list[PlacementRecord] = field(default_factory=list)
    cleaned_up_jobs: list[Job] = field(default_factory=list)
    orphaned_keys: list[tuple[str, Revision]] = field(default_factory=list)
    dependency_list_keys: list[str] = field(default_factory=list)  # lists of dependencies that go
    cleanup_permit: CleanupPermit = CleanupPermit()
    size_bytes: int = 0
    # jobs that end, and placement records: see `Records._split`
    split_units: set[str] = field(default_factory=set)


class TransactionWriter:
    """Owns what waits to be written and the transaction under way."""

    def __init__(self, cluster_state: ClusterState) -> None:
        """The parts that all others work on are in `scheduler`."""
        self.cluster_state = cluster_state
        self.keys_to_refresh: set[str] = set()
        self.refreshes_in_flight: set[str] = set()
        self.jobs_to_clean_up: dict[JobId, Job] = {}
        self.orphaned_keys: list[tuple[str, Revision]] = []
        # Lists of dependencies of which the job's record is deleted already. They are lost with the
        # leader; what then stays in the store is read by nobody.
        self.dependency_list_keys: dict[str, None] = {}
        self.cleanup_permit = CleanupPermit()
        self.placement_records = PlacementRecords(
            cluster_state.settings.value_bytes, cluster_state.token
        )
        self._in_flight: PendingTransaction | None = None
        self._paused_until = DISTANT_PAST
        self._max_operations: int = cluster_state.settings.txn_ops
        self._max_units = UNLIMITED_UNITS  # in one transaction
        self._rejected_until: dict[JobId, MonotonicTime] = {}
        self._uncertain_keys: set[str] = set()  # keys whose version only a reread can tell
        self._max_part_tasks = max_tasks_per_chunk(cluster_state.settings.value_bytes)

    @property
    def subchunks_supported(self) -> bool:
        """Whether every node reads parts of subchunks, so that they may be written."""
        return self.placement_records.subchunks_supported

    @subchunks_supported.setter
    def subchunks_supported(self, supported: bool) -> None:
        self.placement_records.subchunks_supported = supported

    def unwritten_record_count(self) -> int:
        """Records with placements that wait to be written."""
        return len(
            {
                c.record_key
                for job in self.cluster_state.dirty_jobs.values()
                for c in job.chunks.values()
                if c.is_dirty and c.is_urgent
            }
        )

    # -- building

    def next_transaction(
        self, now: MonotonicTime, max_operations: int
    ) -> PendingTransaction | None:
        """The next transaction of at most `ops` changes."""
        if self._in_flight is not None or max_operations < 1 or now < self._paused_until:
            return None
        scheduler = self.cluster_state
        if not (
            scheduler.finalizing_jobs
            or scheduler.upstream_cancelled_jobs
            or scheduler.dirty_jobs
            or (self.cleanup_permit.is_allowed and self.pending_cleanup_count)
        ):
            # The last write had no answer and yet nothing is left of it: only a new one can tell
            # whether the store is back, and only a pass of placing makes one.
            scheduler.is_store_unavailable = False
            return None
        if self._rejected_until:
            self._rejected_until = {
                job: until for job, until in self._rejected_until.items() if until > now
            }
        max_operations = min(max_operations, self._max_operations)
        pending = PendingTransaction(Transaction({LEADER_KEY: Revision(scheduler.token)}))
        if self._add_ends(pending, scheduler.finalizing_jobs, max_operations):
            self._add_chunk_updates(pending, max_operations, now)
            # Nobody waits for these: they are told by the end of the job before them, and a wide
            # fan-out would hold back all placements for as long as its ends take to write.
            self._add_ends(pending, scheduler.upstream_cancelled_jobs, max_operations)
            self._add_permitted_cleanups(pending, max_operations)
        if not pending.transaction.operations:
            return None
        self._in_flight = pending
        for job, _ in pending.ends:
            job.is_end_write_sent = True
        return pending

    @property
    def pending_cleanup_count(self) -> int:
        """How many records wait to be deleted, about."""
        records = (
            len(self.jobs_to_clean_up) + len(self.orphaned_keys) + len(self.dependency_list_keys)
        )
        return records + len(self.placement_records.empty_records())

    @property
    def is_cleanup_in_flight(self) -> bool:
        """Whether a transaction is under way that deletes records under a permit with guards."""
        return self._in_flight is not None and bool(self._in_flight.cleanup_permit.conditions)

    def _add_permitted_cleanups(self, pending: PendingTransaction, max_operations: int) -> None:
        """They share the transaction with what is urgent: in one of their own they would wait for
        as long as there is something to place, and ended jobs would fill the placement records."""
        permit, before = self.cleanup_permit, len(pending.transaction.operations)
        if not permit.is_allowed:
            return
        self._add_cleanups(pending, max_operations)
        self._add_dependency_lists(pending, max_operations)
        if len(pending.transaction.operations) > before:
            pending.cleanup_permit = permit
            pending.transaction.conditions.update(permit.conditions)

    def _is_held_back(self, pending: PendingTransaction, unit: str, key: str) -> bool:
        """One job's trouble must not hold back the others': it alone waits for its reread."""
        if key in self._uncertain_keys:
            return True
        return len(pending.split_units) >= self._max_units and unit not in pending.split_units

    def _add_ends(
        self, pending: PendingTransaction, jobs: dict[JobId, Job], max_operations: int
    ) -> bool:
        """Returns whether anything of less urgency may follow: not while an end waits for more
        tokens, or each token would go to a placement as it came."""
        txn = pending.transaction
        for job in jobs.values():
            if job.id in self._rejected_until or self._is_held_back(
                pending, job.id, END_PREFIX + job.id
            ):
                continue
            how = users.CANCELLED if job.is_cancelled else users.DONE
            if len(txn.operations) + 2 > max_operations:
                return False
            txn.conditions[END_PREFIX + job.id] = ABSENT_REVISION
            txn.operations.append(
                Put(END_PREFIX + job.id, encode_end_record(how, job.spec.task_count))
            )
            pending.ends.append((job, how))
            pending.split_units.add(job.id)
            pending.size_bytes += 250
            if not any(p.phase is not PlacementPhase.ENDED for p in job.placements()):
                # Nothing of it is anywhere: its record goes at once, and with it what placement
                # records say.
                txn.operations.append(DeleteKey(JOB_PREFIX + job.id))
                pending.cleaned_up_jobs.append(job)
            else:
                # The marker tells a later leader that this job only waits to be cleaned up.
                at = round(job.cancelled_at + self.cluster_state.wall_clock_offset_s, 2)
                txn.operations.append(Put(CLEANUP_PREFIX + job.id, encode_cleanup_marker(how, at)))
        return True

    def _add_chunk_updates(
        self, pending: PendingTransaction, max_operations: int, now: MonotonicTime
    ) -> None:
        """Placements first, in the order of the last pass; completed tasks in batches, later."""
        changed = self._changed_chunks(now)
        if len(pending.transaction.operations) >= max_operations:
            return
        # All of them find their placement records first, so that what is new is on few.
        keys = list(
            dict.fromkeys(self.placement_records.record_for(job, c).key for job, c in changed)
        )
        for key in keys:  # it grows
            placement_record = self.placement_records.by_key[key]
            if not placement_record.is_closed and not self._add_placement_record(
                pending, placement_record, max_operations, keys
            ):
                return

    def _changed_chunks(self, now: MonotonicTime) -> list[tuple[Job, Chunk]]:
        """Those to be written, the most urgent first."""
        urgent: list[tuple[bool, int, int, int, Job, Chunk]] = []
        idle: list[tuple[MonotonicTime, Job, Chunk]] = []
        for job in list(self.cluster_state.dirty_jobs.values()):
            if (
                job.outcome is not None
                or job.is_cancelled
                or job.id in self.cluster_state.finalizing_jobs
            ):
                # The end covers the record; what it still lists is checked against reports.
                for c in job.chunks.values():
                    c.is_dirty = c.is_urgent = False
            left = False
            for c in job.chunks.values():
                if not c.is_dirty:
                    continue
                left = True
                if c.is_urgent:
                    rank = (not job.is_starving, -job.priority, job.queue_position, c.first_index)
                    urgent.append((*rank, job, c))
                elif now - c.dirty_since >= self.cluster_state.tuning.flush_done_s:
                    idle.append((c.dirty_since, job, c))
            if not left:
                del self.cluster_state.dirty_jobs[job.id]
        urgent.sort(key=lambda u: u[:4])
        idle.sort(key=lambda i: i[0])
        return [u[4:] for u in urgent] + [i[1:] for i in idle]

    def _add_placement_record(
        self,
        pending: PendingTransaction,
        placement_record: PlacementRecord,
        max_operations: int,
        keys: list[str],
    ) -> bool:
        """Returns whether the transaction may take more. What has outgrown the placement record
        goes to others; of them, those not yet among `keys` are added there."""
        txn = pending.transaction
        key = placement_record.key
        if len(txn.operations) >= max_operations:
            return False
        refused = placement_record.is_exclusive and any(
            job.id in self._rejected_until for job, _ in placement_record.parts.values()
        )
        if refused or self._is_held_back(pending, key, key):
            return True
        record, size = self.placement_records.encode_record(placement_record)
        if size > self.placement_records.max_bytes and self._shrink_record(placement_record, keys):
            return True
        size += 2 * len(key) + 60
        if pending.size_bytes + size > MAX_TRANSACTION_BYTES:
            return not pending.size_bytes
        pending.size_bytes += size
        txn.conditions[key] = placement_record.version  # a copy that comes late finds another one
        txn.operations.append(Put(key, record))
        pending.placement_records.append(placement_record)
        pending.split_units.add(key)
        for job, c in placement_record.parts.values():
            if not c.is_dirty:
                continue
            planned = [p for p in c.placements.values() if p.phase is PlacementPhase.PLANNED]
            ended = [p for p in c.placements.values() if p.phase is PlacementPhase.ENDED]
            c.is_dirty = c.is_urgent = False
            pending.chunk_updates.append((job, c, planned, ended))
        return True

    def _shrink_record(self, placement_record: PlacementRecord, keys: list[str]) -> bool:
        """The record has become too large: what is new on it moves to other placement records, and
        a part that is too large by itself is cut anew. False: that can't be done yet."""
        parts = [part for part in placement_record.parts.values() if part[1].is_dirty]
        if len(placement_record.parts) == 1:
            ((job, c),) = placement_record.parts.values()
            if not self.placement_records.may_subdivide or c.task_count == 1:
                return False  # as large as it was written before
            self.cluster_state.dirty_jobs[job.id] = job
            most = min(self._max_part_tasks, (c.task_count + 1) // 2)
            parts = [
                RecordPart(job, fine)
                for fine in self.placement_records.subdivide_chunk(
                    self.cluster_state.jobs, job, c, most, is_exclusive=False
                )
            ]
        else:
            self.placement_records.close(placement_record)
        moved = [self.placement_records.record_for(job, c).key for job, c in parts]
        keys.extend(dict.fromkeys(k for k in moved if k not in keys))
        return True

    def _add_cleanups(self, pending: PendingTransaction, max_operations: int) -> None:
        txn = pending.transaction
        for job in self.jobs_to_clean_up.values():
            if len(txn.operations) + 2 > max_operations:
                return
            there = any(p.phase is not PlacementPhase.ENDED for p in job.placements())
            if (
                there
                or job.id in self._rejected_until
                or self._is_held_back(pending, job.id, JOB_PREFIX + job.id)
            ):
                continue
            txn.operations += [DeleteKey(JOB_PREFIX + job.id), DeleteKey(CLEANUP_PREFIX + job.id)]
            pending.cleaned_up_jobs.append(job)
            pending.split_units.add(job.id)
        while self.orphaned_keys and len(txn.operations) < max_operations:
            key, version = self.orphaned_keys.pop()
            txn.conditions[key] = version
            txn.operations.append(DeleteKey(key))
            pending.orphaned_keys.append((key, version))
        if txn.operations or self.cluster_state.dirty_jobs:
            return  # an empty placement record may be of use yet
        for placement_record in self.placement_records.empty_records():
            if len(txn.operations) >= max_operations or self._is_held_back(
                pending, placement_record.key, placement_record.key
            ):
                return
            txn.conditions[placement_record.key] = placement_record.version
            txn.operations.append(DeleteKey(placement_record.key))
            pending.deleted_records.append(placement_record)
            pending.split_units.add(placement_record.key)

    def _add_dependency_lists(self, pending: PendingTransaction, max_operations: int) -> None:
        """Lists of dependencies go with their job's record, or after it, never before: a record
        whose list is missing could not be read by the next leader. With the record's end there, no
        late copy of the acceptance can be carried out any more, so nothing refers to them again.

        Lists that no record refers to are left alone: they were written for an acceptance that may
        still be under way, and neither its node nor its nonce is known here. So are those of
        which an earlier leader deleted the record only.
        """
        txn = pending.transaction
        keys = [
            *self.dependency_list_keys,
            *(key for job in pending.cleaned_up_jobs for key in _dependency_list_keys_of(job)),
        ]
        pending.dependency_list_keys = keys[: max(0, max_operations - len(txn.operations))]
        txn.operations += [DeleteKey(key) for key in pending.dependency_list_keys]

    # -- outcomes

    def on_transaction_result(
        self,
        pending: PendingTransaction,
        outcome: TransactionOutcome,
        revision: Revision,
        failed_keys: tuple[str, ...],
        now: MonotonicTime,
    ) -> bool:
        """Returns whether this leader is deposed."""
        self._in_flight = None
        self.cluster_state.is_store_unavailable = outcome in (
            TransactionOutcome.REJECTED,
            TransactionOutcome.INDETERMINATE,
        )
        if self.cluster_state.is_store_unavailable:
            self._paused_until = MonotonicTime(now + WRITE_RETRY_DELAY_S)
        if outcome is TransactionOutcome.COMMITTED:
            self._max_operations = min(
                self.cluster_state.settings.txn_ops, self._max_operations * 2
            )
            self._max_units = min(UNLIMITED_UNITS, self._max_units * 2)
            self._apply_committed(pending, revision, now)
            return False
        log.info(
            "write not done outcome=%s failed=%s keys=%s",
            outcome.value,
            failed_keys,
            [w.key for w in pending.transaction.operations],
        )
        for job, c, _, _ in pending.chunk_updates:
            self.cluster_state.jobs.mark_dirty(job, c, now, is_urgent=True)
            self.cluster_state.dirty_jobs[job.id] = job
        if outcome is TransactionOutcome.CONFLICT and LEADER_KEY in failed_keys:
            return True
        if outcome is TransactionOutcome.CONFLICT and any(
            key in failed_keys for key, _ in pending.cleanup_permit.conditions
        ):
            self.orphaned_keys += pending.orphaned_keys  # nothing tells that they are deleted
        if outcome in (TransactionOutcome.REJECTED, TransactionOutcome.INVALID):
            for job, _ in pending.ends:
                job.is_end_write_sent = job.is_end_write_indeterminate
            self.orphaned_keys += pending.orphaned_keys
            if outcome is TransactionOutcome.INVALID:
                self._split_rejected(pending, now)
            return False
        # An earlier try of one of these writes was applied, or this one may be: only the keys
        # themselves can tell their versions. An orphan's conflict means that it is deleted.
        self._uncertain_keys.update(
            placement_record.key
            for placement_record in (*pending.placement_records, *pending.deleted_records)
        )
        for job, _ in pending.ends:
            # It may yet be applied, whatever a reread finds, and then be told elsewhere.
            job.is_end_write_indeterminate = True
            self._uncertain_keys.add(END_PREFIX + job.id)
        self.keys_to_refresh |= self._uncertain_keys - self.refreshes_in_flight
        return False

    def _split_rejected(self, pending: PendingTransaction, now: MonotonicTime) -> None:
        """Refused for what it is, by its size or by one bad key: repeated as it is, it would hold
        everything back for ever. So it is cut in two until the job at fault stands alone."""
        units = pending.split_units
        if len(units) > 1:
            self._max_units = len(units) // 2
            return
        if pending.placement_records and len(pending.placement_records[0].parts) > 1:
            for job, c in self.placement_records.split_record(pending.placement_records[0]):
                self.cluster_state.jobs.mark_dirty(job, c, now, is_urgent=True)
                self.cluster_state.dirty_jobs[job.id] = job
            return
        if len(pending.transaction.operations) > 2:
            self._max_operations = max(2, len(pending.transaction.operations) // 2)
            return
        if pending.placement_records and self.placement_records.may_subdivide:
            for job, c in list(pending.placement_records[0].parts.values())[:1]:
                if c.task_count == 1:
                    break
                # Its size may be the reason: halved until it fits, each half on its own.
                self.placement_records.subdivide_chunk(
                    self.cluster_state.jobs, job, c, (c.task_count + 1) // 2, is_exclusive=True
                )
                self.cluster_state.dirty_jobs[job.id] = job
                return
        if not units:
            self.orphaned_keys.clear()  # nobody misses them; a later leader may try again
            self.dependency_list_keys.clear()
        for placement_record in pending.deleted_records:
            self.placement_records.remove_record(placement_record)
        at_fault = [*(j for j, *_ in pending.chunk_updates), *(j for j, _ in pending.ends)]
        for placement_record in pending.placement_records:
            self.placement_records.isolate(placement_record)
        for job in [*at_fault, *pending.cleaned_up_jobs]:
            log.error("record refused job=%s", job.id)
            self._rejected_until[job.id] = MonotonicTime(now + REJECTED_RETRY_DELAY_S)

    def on_key_refreshed(self, key: str, item: Item | None, now: MonotonicTime) -> None:
        """The key as a fresh read has it; None: it is absent."""
        self.keys_to_refresh.discard(key)
        self._uncertain_keys.discard(key)
        if key.startswith(END_PREFIX):
            job = self.cluster_state.jobs.get(JobId(key[len(END_PREFIX) :]))
            if job is None or job.outcome is not None:
                return
            if item is not None:
                self._on_job_ended(job, decode_end_record(item.value), now)
                self.jobs_to_clean_up[job.id] = job
            return
        placement_record = self.placement_records.get(key)
        if placement_record is not None:
            placement_record.version = ABSENT_REVISION if item is None else item.version

    def _apply_committed(
        self, pending: PendingTransaction, revision: Revision, now: MonotonicTime
    ) -> None:
        for job, how in pending.ends:
            self._on_job_ended(job, how, now)
            self.jobs_to_clean_up[job.id] = job
        for placement_record in pending.placement_records:
            placement_record.version = revision
        for placement_record in pending.deleted_records:
            if placement_record.is_empty:
                self.placement_records.remove_record(placement_record)
            placement_record.version = ABSENT_REVISION
        for _, chunk, planned, ended in pending.chunk_updates:
            self._apply_chunk_update(chunk, planned, ended)
        for job in pending.cleaned_up_jobs:
            self._on_job_cleaned_up(job)
        for key in pending.dependency_list_keys:
            self.dependency_list_keys.pop(key, None)

    def _apply_chunk_update(
        self, chunk: Chunk, planned: list[Placement], ended: list[Placement]
    ) -> None:
        """What was planned may be launched, and what has ended is done with."""
        for p in planned:
            if p.phase is PlacementPhase.PLANNED:
                p.phase = PlacementPhase.COMMITTED
                self._mark_needs_command(p)
        for p in ended:
            if chunk.placements.get(p.index) is p:
                del chunk.placements[p.index]
            self._forget_placement(p)

    def _on_job_cleaned_up(self, job: Job) -> None:
        """The job's record is deleted, and so is what other records say of it."""
        self.dependency_list_keys |= dict.fromkeys(_dependency_list_keys_of(job))
        self.jobs_to_clean_up.pop(job.id, None)
        self.placement_records.remove_job(job)
        self.cluster_state.jobs.remove(job)
        for p in job.placements():
            self._forget_placement(p)

    def _mark_needs_command(self, p: Placement) -> None:
        machine = self.cluster_state.inventory.get(p.machine_id)
        if machine is not None:
            self.cluster_state.mark_needs_command(machine)

    def _forget_placement(self, p: Placement) -> None:
        """What is recorded as done, or over, may be cleared on its machine."""
        machine = self.cluster_state.inventory.get(p.machine_id)
        if machine is not None:
            self.cluster_state.inventory.remove_placement(machine, p)
            self.cluster_state.mark_needs_command(machine)

    def _on_job_ended(self, job: Job, outcome: str, now: MonotonicTime) -> None:
        scheduler = self.cluster_state
        job.outcome = outcome
        scheduler.predictor.on_stream_job_ended(job, outcome)
        scheduler.finalizing_jobs.pop(job.id, None)
        scheduler.upstream_cancelled_jobs.pop(job.id, None)
        if outcome == users.CANCELLED and not job.is_cancelled:
            scheduler.mark_cancelled(job, now, now)
        scheduler.kill_all_placements(job, now)
        scheduler.finished_jobs.append(FinishedJob(job.id, outcome))
        scheduler.on_job_finished(job.id, outcome, now)
        scheduler.is_planning_requested = True
        log.info("job ended job=%s how=%s seconds=%.1f", job.id, outcome, now - job.submitted_at)
        if job.run_times_s:
            log.debug(
                "run times job=%s class=%s estimate=%.1f n=%d %s",
                job.id,
                job.spec.job_class,
                job.spec.estimated_run_time_s,
                len(job.run_times_s),
                " ".join(
                    f"{r:.1f}"
                    for r in sorted(job.run_times_s)[:: max(1, len(job.run_times_s) // 8)]
                ),
            )


def _dependency_list_keys_of(job: Job) -> list[str]:
    return (
        []
        if job.dependency_list_reference is None
        else dependency_list_keys(job.id, job.dependency_list_reference)
    )
