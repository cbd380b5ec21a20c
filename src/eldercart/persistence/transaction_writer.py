"""What the leader writes to the state service: ends, placements, clean-ups; one transaction at a
time, because a record's version is needed for its next write."""

import logging
from dataclasses import dataclass, field
from enum import Enum

from eldercart.election.state_machine import LEAD_KEY
from eldercart.jobs.registry import (
    CLEANUP,
    END,
    JOB,
    Chunk,
    Job,
    Phase,
    Placement,
    chunk_size,
    dependency_list_keys,
    end_of,
)
from eldercart.persistence.placement_records import PlacementRecord, PlacementRecords
from eldercart.scheduling.cluster_state import FinishedJob, SchedulerState
from eldercart.units import ABSENT, NEVER, JobId, Revision, Steady
from eldercart.wire import users
from eldercart.wire.state import TXN_BYTES, Drop, Item, Put, Txn

log = logging.getLogger("eldercart.controller")

WRITE_PAUSE_S = 0.25  # after a write that was not carried out
ANY_UNITS = 1000  # ends and placement records, more than a transaction holds
# for which a job is left alone whose record the store refuses for what it is
REFUSED_PAUSE_S = 20.0


@dataclass(frozen=True, slots=True)
class CleanupPermit:
    """Whether what is left of ended jobs may be deleted, and what those writes are guarded on
    beside the leader key."""

    allowed: bool = True
    guards: tuple[tuple[str, Revision], ...] = ()


class Outcome(Enum):
    """What became of a transaction."""

    OK = "ok"
    CONFLICT = "conflict"
    REFUSED = "refused"  # surely not carried out
    MALFORMED = "malformed"  # not carried out, and never will be as it is
    UNKNOWN = "unknown"  # may have been, or may be later


@dataclass(slots=True)
class PendingTxn:
    """A transaction on its way, and what is true once it is carried out."""

    txn: Txn
    ends: list[tuple[Job, str]] = field(default_factory=list)
    chunks: list[tuple[Job, Chunk, list[Placement], list[Placement]]] = field(default_factory=list)
    placement_records: list[PlacementRecord] = field(default_factory=list)
    dropped: list[PlacementRecord] = field(default_factory=list)
    cleanups: list[Job] = field(default_factory=list)
    orphans: list[tuple[str, Revision]] = field(default_factory=list)
    lists: list[str] = field(default_factory=list)  # lists of dependencies that go
    permit: CleanupPermit = CleanupPermit()
    size: int = 0
    # jobs that end, and placement records: see `Records._split`
    units: set[str] = field(default_factory=set)


class Records:
    """Owns what waits to be written and the transaction under way."""

    def __init__(self, scheduler: SchedulerState) -> None:
        """The parts that all others work on are in `scheduler`."""
        self.scheduler = scheduler
        self.reread: set[str] = set()
        self.reread_under_way: set[str] = set()
        self.cleaning: dict[JobId, Job] = {}
        self.orphans: list[tuple[str, Revision]] = []
        # Lists of dependencies of which the job's record is deleted already. They are lost with the
        # leader; what then stays in the store is read by nobody.
        self.lists: dict[str, None] = {}
        self.cleanup_permit = CleanupPermit()
        self.placement_records = PlacementRecords(scheduler.settings.value_bytes, scheduler.epoch)
        self._txn: PendingTxn | None = None
        self._pause = NEVER
        self._most_ops: int = scheduler.settings.txn_ops
        self._most_units = ANY_UNITS  # in one transaction
        self._refused_until: dict[JobId, Steady] = {}
        self._unsure: set[str] = set()  # keys whose version only a reread can tell
        self.may_recut = False  # every node reads parts that were cut anew
        self._part_tasks = chunk_size(scheduler.settings.value_bytes)

    def unwritten(self) -> int:
        """Records with placements that wait to be written."""
        return len(
            {
                c.record_key
                for job in self.scheduler.dirty.values()
                for c in job.chunks.values()
                if c.dirty and c.urgent
            }
        )

    # -- building

    def next_txn(self, now: Steady, ops: int) -> PendingTxn | None:
        """The next transaction of at most `ops` changes."""
        if self._txn is not None or ops < 1 or now < self._pause:
            return None
        scheduler = self.scheduler
        if not (
            scheduler.ending
            or scheduler.orphaned
            or scheduler.dirty
            or (self.cleanup_permit.allowed and self.cleanups_waiting)
        ):
            # The last write had no answer and yet nothing is left of it: only a new one can tell
            # whether the store is back, and only a pass of placing makes one.
            scheduler.outage = False
            return None
        if self._refused_until:
            self._refused_until = {
                job: until for job, until in self._refused_until.items() if until > now
            }
        ops = min(ops, self._most_ops)
        pending = PendingTxn(Txn({LEAD_KEY: Revision(scheduler.epoch)}))
        if self._add_ends(pending, scheduler.ending, ops):
            self._add_chunks(pending, ops, now)
            # Nobody waits for these: they are told by the end of the job before them, and a wide
            # fan-out would hold back all placements for as long as its ends take to write.
            self._add_ends(pending, scheduler.orphaned, ops)
            self._add_permitted_cleanups(pending, ops)
        if not pending.txn.writes:
            return None
        self._txn = pending
        for job, _ in pending.ends:
            job.end_sent = True
        return pending

    @property
    def cleanups_waiting(self) -> int:
        """How many records wait to be deleted, about."""
        records = len(self.cleaning) + len(self.orphans) + len(self.lists)
        return records + len(self.placement_records.empties())

    @property
    def cleanup_under_way(self) -> bool:
        """Whether a transaction is under way that deletes records under a permit with guards."""
        return self._txn is not None and bool(self._txn.permit.guards)

    def _add_permitted_cleanups(self, pending: PendingTxn, ops: int) -> None:
        """They share the transaction with what is urgent: in one of their own they would wait for
        as long as there is something to place, and ended jobs would fill the placement records."""
        permit, before = self.cleanup_permit, len(pending.txn.writes)
        if not permit.allowed:
            return
        self._add_cleanups(pending, ops)
        self._add_lists(pending, ops)
        if len(pending.txn.writes) > before:
            pending.permit = permit
            pending.txn.guards.update(permit.guards)

    def _held(self, pending: PendingTxn, unit: str, key: str) -> bool:
        """One job's trouble must not hold back the others': it alone waits for its reread."""
        if key in self._unsure:
            return True
        return len(pending.units) >= self._most_units and unit not in pending.units

    def _add_ends(self, pending: PendingTxn, jobs: dict[JobId, Job], ops: int) -> bool:
        """Returns whether anything of less urgency may follow: not while an end waits for more
        tokens, or each token would go to a placement as it came."""
        txn = pending.txn
        for job in jobs.values():
            if job.id in self._refused_until or self._held(pending, job.id, END + job.id):
                continue
            how = users.CANCELLED if job.cancelled else users.DONE
            if len(txn.writes) + 2 > ops:
                return False
            txn.guards[END + job.id] = ABSENT
            txn.writes.append(Put(END + job.id, {"e": how, "n": job.spec.tasks}))
            pending.ends.append((job, how))
            pending.units.add(job.id)
            pending.size += 250
            if not any(p.phase is not Phase.ENDED for p in job.placements()):
                # Nothing of it is anywhere: its record goes at once, and with it what placement
                # records say.
                txn.writes.append(Drop(JOB + job.id))
                pending.cleanups.append(job)
            else:
                # The marker tells a later leader that this job only waits to be cleaned up.
                at = round(job.cancelled_at + self.scheduler.zero_wall, 2)
                txn.writes.append(Put(CLEANUP + job.id, {"e": how, "t": at}))
        return True

    def _add_chunks(self, pending: PendingTxn, ops: int, now: Steady) -> None:
        """Placements first, in the order of the last pass; completed tasks in batches, later."""
        changed = self._changed_chunks(now)
        if len(pending.txn.writes) >= ops:
            return
        # All of them find their placement records first, so that what is new is on few.
        keys = list(dict.fromkeys(self.placement_records.of(job, c).key for job, c in changed))
        for key in keys:  # it grows
            placement_record = self.placement_records.by_key[key]
            if not placement_record.closed and not self._add_placement_record(
                pending, placement_record, ops, keys
            ):
                return

    def _changed_chunks(self, now: Steady) -> list[tuple[Job, Chunk]]:
        """Those to be written, the most urgent first."""
        urgent: list[tuple[bool, int, int, int, Job, Chunk]] = []
        idle: list[tuple[Steady, Job, Chunk]] = []
        for job in list(self.scheduler.dirty.values()):
            if job.ended is not None or job.cancelled or job.id in self.scheduler.ending:
                # The end covers the record; what it still lists is checked against reports.
                for c in job.chunks.values():
                    c.dirty = c.urgent = False
            left = False
            for c in job.chunks.values():
                if not c.dirty:
                    continue
                left = True
                if c.urgent:
                    rank = (not job.aged, -job.priority, job.rank, c.low)
                    urgent.append((*rank, job, c))
                elif now - c.dirty_since >= self.scheduler.tuning.flush_done_s:
                    idle.append((c.dirty_since, job, c))
            if not left:
                del self.scheduler.dirty[job.id]
        urgent.sort(key=lambda u: u[:4])
        idle.sort(key=lambda i: i[0])
        return [u[4:] for u in urgent] + [i[1:] for i in idle]

    def _add_placement_record(
        self, pending: PendingTxn, placement_record: PlacementRecord, ops: int, keys: list[str]
    ) -> bool:
        """Returns whether the transaction may take more. What has outgrown the placement record
        goes to others; of them, those not yet among `keys` are added there."""
        txn = pending.txn
        key = placement_record.key
        if len(txn.writes) >= ops:
            return False
        refused = placement_record.alone and any(
            job.id in self._refused_until for job, _ in placement_record.parts.values()
        )
        if refused or self._held(pending, key, key):
            return True
        record, size = self.placement_records.record(placement_record)
        if size > self.placement_records.most and self._relieve(placement_record, keys):
            return True
        size += 2 * len(key) + 60
        if pending.size + size > TXN_BYTES:
            return not pending.size
        pending.size += size
        txn.guards[key] = placement_record.version  # a copy that comes late finds another one
        txn.writes.append(Put(key, record))
        pending.placement_records.append(placement_record)
        pending.units.add(key)
        for job, c in placement_record.parts.values():
            if not c.dirty:
                continue
            planned = [p for p in c.placements.values() if p.phase is Phase.PLANNED]
            ended = [p for p in c.placements.values() if p.phase is Phase.ENDED]
            c.dirty = c.urgent = False
            pending.chunks.append((job, c, planned, ended))
        return True

    def _relieve(self, placement_record: PlacementRecord, keys: list[str]) -> bool:
        """The record has become too large: what is new on it moves to other placement records, and
        a part that is too large by itself is cut anew. False: that can't be done yet."""
        parts = [part for part in placement_record.parts.values() if part[1].dirty]
        if len(placement_record.parts) == 1:
            ((job, c),) = placement_record.parts.values()
            if not self.recuts or c.tasks == 1:
                return False  # as large as it was written before
            self.scheduler.dirty[job.id] = job
            most = min(self._part_tasks, (c.tasks + 1) // 2)
            parts = [
                (job, fine)
                for fine in self.placement_records.recut(self.scheduler.jobs, job, c, most, False)
            ]
        else:
            self.placement_records.close(placement_record)
        moved = [self.placement_records.of(job, c).key for job, c in parts]
        keys.extend(dict.fromkeys(k for k in moved if k not in keys))
        return True

    @property
    def recuts(self) -> bool:
        """Parts cut anew may be written. One that an earlier leader wrote shows it, too."""
        return self.may_recut or self.placement_records.cuts_found

    def _add_cleanups(self, pending: PendingTxn, ops: int) -> None:
        txn = pending.txn
        for job in self.cleaning.values():
            if len(txn.writes) + 2 > ops:
                return
            there = any(p.phase is not Phase.ENDED for p in job.placements())
            if there or job.id in self._refused_until or self._held(pending, job.id, JOB + job.id):
                continue
            txn.writes += [Drop(JOB + job.id), Drop(CLEANUP + job.id)]
            pending.cleanups.append(job)
            pending.units.add(job.id)
        while self.orphans and len(txn.writes) < ops:
            key, version = self.orphans.pop()
            txn.guards[key] = version
            txn.writes.append(Drop(key))
            pending.orphans.append((key, version))
        if txn.writes or self.scheduler.dirty:
            return  # an empty placement record may be of use yet
        for placement_record in self.placement_records.empties():
            if len(txn.writes) >= ops or self._held(
                pending, placement_record.key, placement_record.key
            ):
                return
            txn.guards[placement_record.key] = placement_record.version
            txn.writes.append(Drop(placement_record.key))
            pending.dropped.append(placement_record)
            pending.units.add(placement_record.key)

    def _add_lists(self, pending: PendingTxn, ops: int) -> None:
        """Lists of dependencies go with their job's record, or after it, never before: a record
        whose list is missing could not be read by the next leader. With the record's end there, no
        late copy of the acceptance can be carried out any more, so nothing refers to them again.

        Lists that no record refers to are left alone: they were written for an acceptance that may
        still be under way, and neither its node nor its nonce is known here. So are those of
        which an earlier leader deleted the record only.
        """
        txn = pending.txn
        keys = [*self.lists, *(key for job in pending.cleanups for key in _list_keys(job))]
        pending.lists = keys[: max(0, ops - len(txn.writes))]
        txn.writes += [Drop(key) for key in pending.lists]

    # -- outcomes

    def txn_done(
        self,
        pending: PendingTxn,
        outcome: Outcome,
        revision: Revision,
        failed: tuple[str, ...],
        now: Steady,
    ) -> bool:
        """Returns whether this leader is deposed."""
        self._txn = None
        self.scheduler.outage = outcome in (Outcome.REFUSED, Outcome.UNKNOWN)
        if self.scheduler.outage:
            self._pause = Steady(now + WRITE_PAUSE_S)
        if outcome is Outcome.OK:
            self._most_ops = min(self.scheduler.settings.txn_ops, self._most_ops * 2)
            self._most_units = min(ANY_UNITS, self._most_units * 2)
            self._committed(pending, revision, now)
            return False
        log.info(
            "write not done outcome=%s failed=%s keys=%s",
            outcome.value,
            failed,
            [w.key for w in pending.txn.writes],
        )
        for job, c, _, _ in pending.chunks:
            self.scheduler.jobs.touch(job, c, now, urgent=True)
            self.scheduler.dirty[job.id] = job
        if outcome is Outcome.CONFLICT and LEAD_KEY in failed:
            return True
        if outcome is Outcome.CONFLICT and any(key in failed for key, _ in pending.permit.guards):
            self.orphans += pending.orphans  # nothing tells that they are deleted
        if outcome in (Outcome.REFUSED, Outcome.MALFORMED):
            for job, _ in pending.ends:
                job.end_sent = job.end_unsure
            self.orphans += pending.orphans
            if outcome is Outcome.MALFORMED:
                self._split(pending, now)
            return False
        # An earlier try of one of these writes was applied, or this one may be: only the keys
        # themselves can tell their versions. An orphan's conflict means that it is deleted.
        self._unsure.update(
            placement_record.key
            for placement_record in (*pending.placement_records, *pending.dropped)
        )
        for job, _ in pending.ends:
            # It may yet be applied, whatever a reread finds, and then be told elsewhere.
            job.end_unsure = True
            self._unsure.add(END + job.id)
        self.reread |= self._unsure - self.reread_under_way
        return False

    def _split(self, pending: PendingTxn, now: Steady) -> None:
        """Refused for what it is, by its size or by one bad key: repeated as it is, it would hold
        everything back for ever. So it is cut in two until the job at fault stands alone."""
        units = pending.units
        if len(units) > 1:
            self._most_units = len(units) // 2
            return
        if pending.placement_records and len(pending.placement_records[0].parts) > 1:
            for job, c in self.placement_records.split(pending.placement_records[0]):
                self.scheduler.jobs.touch(job, c, now, urgent=True)
                self.scheduler.dirty[job.id] = job
            return
        if len(pending.txn.writes) > 2:
            self._most_ops = max(2, len(pending.txn.writes) // 2)
            return
        if pending.placement_records and self.recuts:
            for job, c in list(pending.placement_records[0].parts.values())[:1]:
                if c.tasks == 1:
                    break
                # Its size may be the reason: halved until it fits, each half on its own.
                self.placement_records.recut(self.scheduler.jobs, job, c, (c.tasks + 1) // 2, True)
                self.scheduler.dirty[job.id] = job
                return
        if not units:
            self.orphans.clear()  # nobody misses them; a later leader may try again
            self.lists.clear()
        for placement_record in pending.dropped:
            self.placement_records.forget(placement_record)
        at_fault = [*(j for j, *_ in pending.chunks), *(j for j, _ in pending.ends)]
        for placement_record in pending.placement_records:
            self.placement_records.isolate(placement_record)
        for job in [*at_fault, *pending.cleanups]:
            log.error("record refused job=%s", job.id)
            self._refused_until[job.id] = Steady(now + REFUSED_PAUSE_S)

    def reread_done(self, key: str, item: Item | None, now: Steady) -> None:
        """The key as a fresh read has it; None: it is absent."""
        self.reread.discard(key)
        self._unsure.discard(key)
        if key.startswith(END):
            job = self.scheduler.jobs.get(JobId(key[len(END) :]))
            if job is None or job.ended is not None:
                return
            if item is not None:
                self._ended(job, end_of(item.value), now)
                self.cleaning[job.id] = job
            return
        placement_record = self.placement_records.get(key)
        if placement_record is not None:
            placement_record.version = ABSENT if item is None else item.version

    def _committed(self, pending: PendingTxn, revision: Revision, now: Steady) -> None:
        for job, how in pending.ends:
            self._ended(job, how, now)
            self.cleaning[job.id] = job
        for placement_record in pending.placement_records:
            placement_record.version = revision
        for placement_record in pending.dropped:
            if placement_record.empty:
                self.placement_records.forget(placement_record)
            placement_record.version = ABSENT
        for _, chunk, planned, ended in pending.chunks:
            self._chunk_durable(chunk, planned, ended)
        for job in pending.cleanups:
            self._cleaned_up(job)
        for key in pending.lists:
            self.lists.pop(key, None)

    def _chunk_durable(
        self, chunk: Chunk, planned: list[Placement], ended: list[Placement]
    ) -> None:
        """What was planned may be launched, and what has ended is done with."""
        for p in planned:
            if p.phase is Phase.PLANNED:
                p.phase = Phase.WANTED
                self._want(p)
        for p in ended:
            if chunk.placements.get(p.index) is p:
                del chunk.placements[p.index]
            self._forget(p)

    def _cleaned_up(self, job: Job) -> None:
        """The job's record is deleted, and so is what other records say of it."""
        self.lists |= dict.fromkeys(_list_keys(job))
        self.cleaning.pop(job.id, None)
        self.placement_records.drop(job)
        self.scheduler.jobs.remove(job)
        for p in job.placements():
            self._forget(p)

    def _want(self, p: Placement) -> None:
        machine = self.scheduler.fleet.get(p.machine)
        if machine is not None:
            self.scheduler.want(machine)

    def _forget(self, p: Placement) -> None:
        """What is recorded as done, or over, may be cleared on its machine."""
        machine = self.scheduler.fleet.get(p.machine)
        if machine is not None:
            self.scheduler.fleet.forget(machine, p)
            self.scheduler.want(machine)

    def _ended(self, job: Job, how: str, now: Steady) -> None:
        scheduler = self.scheduler
        job.ended = how
        scheduler.predictor.ended(job, how)
        scheduler.ending.pop(job.id, None)
        scheduler.orphaned.pop(job.id, None)
        if how == users.CANCELLED and not job.cancelled:
            scheduler.cancelled(job, now, now)
        scheduler.stop_all(job, now)
        scheduler.finished.append(FinishedJob(job.id, how))
        scheduler.ended(job.id, how, now)
        scheduler.plan_wanted = True
        log.info("job ended job=%s how=%s seconds=%.1f", job.id, how, now - job.arrived)
        if job.ran:
            log.debug(
                "run times job=%s class=%s estimate=%.1f n=%d %s",
                job.id,
                job.spec.klass,
                job.spec.estimate_s,
                len(job.ran),
                " ".join(f"{r:.1f}" for r in sorted(job.ran)[:: max(1, len(job.ran) // 8)]),
            )


def _list_keys(job: Job) -> list[str]:
    return [] if job.elsewhere is None else dependency_list_keys(job.id, job.elsewhere)
