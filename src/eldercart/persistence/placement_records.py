"""Placement records, which several jobs share.

The state service limits changes, not bytes. With a record for each job, a burst of small jobs needs
more changes than there are, and machines stand idle for placements that wait to be written. So the
parts of several jobs, each cut as `jobs` says, share a record as large as a value may be, and one
change writes whatever is new in all of them. A job that has ended simply is not written again.

How much a part will come to take is an estimate; what counts is what a record is measured to take.
A placement record that would become larger than a value may be, or was written when values might be
larger, is closed: it is never written again. What changes on it moves to other placement records,
and it stays in the store until all jobs are over that it still tells of, since of tasks that have
not changed since, it may hold the only record.
"""

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import orjson

from eldercart.jobs.registry import PLACE, Chunk, Job, JobRegistry, Placement
from eldercart.units import ABSENT, Attempt, Epoch, JobId, Revision, Steady
from eldercart.wire import Malformed
from eldercart.wire.state import Item

log = logging.getLogger("eldercart.controller")

PART_BYTES = 48  # of a part, beside its entries
TASK_BYTES = (
    21  # of a placement with a machine's name of the usual length, beside the task's number
)
LEAST_ROOM = PART_BYTES + 2 * TASK_BYTES  # for a placement record to be looked at again
MOST_BYTES = 26_000  # two of them fit into a transaction
# placement records looked at for room, the ones last used: what is placed together stays together
NEWEST = 6


@dataclass(slots=True, eq=False)
class PlacementRecord:
    """One record of placements."""

    key: str
    room: int  # bytes that are left for parts not yet there
    version: Revision = ABSENT
    parts: dict[tuple[JobId, int], tuple[Job, Chunk]] = field(default_factory=dict)
    unread: list[Any] = field(default_factory=list)  # parts that nobody could read, kept as found
    alone: bool = False  # takes no other part
    closed: bool = False  # never written again: what changes moves to another placement record
    tells_of: set[JobId] = field(default_factory=set)  # closed: jobs of which parts have moved

    @property
    def empty(self) -> bool:
        """Whether it tells of no open job."""
        return not self.parts and not self.unread and not self.tells_of


# a job's parts, by the tasks that they cover
Copies = dict[tuple[int, int], tuple[PlacementRecord, Any]]
PartsFound = dict[JobId, Copies]


def part_bytes(job: Job, chunk: Chunk) -> int:
    """What the part will come to take, about: if that was too little, it moves, and what it was
    measured to take counts."""
    about = PART_BYTES + chunk.tasks * (TASK_BYTES + len(str(job.spec.tasks)))
    return about if chunk.written is None else max(about, chunk.written[1])


def _attempt(value: Any) -> float:
    """Of a part; one that can't be read outranks all, so that it is found out."""
    attempt = value.get("a") if isinstance(value, dict) else None
    return attempt if type(attempt) is int else float("inf")


def _mark_unreadable(jobs: JobRegistry) -> None:
    for job in jobs.jobs.values():
        job.unreadable = True


class PlacementRecords:
    """Owns the placement records and which part is on which."""

    def __init__(self, value_bytes: int, epoch: Epoch) -> None:
        """`value_bytes`: the most that a value may take."""
        self._bytes = min(int(value_bytes * 0.8), MOST_BYTES)
        self.most = int(value_bytes * 0.9)  # measured, above which a placement record is closed
        self.cuts_found = False  # an earlier leader knew that all nodes read parts cut anew
        self._prefix = f"{PLACE}{epoch}-"  # no other leader's placement records are called so
        self._count = 0
        self.by_key: dict[str, PlacementRecord] = {}
        self._open: dict[str, PlacementRecord] = {}  # with room, the one last used at the end
        self._closed: dict[str, PlacementRecord] = {}

    def get(self, key: str) -> PlacementRecord | None:
        """The placement record with this key, if it is still there."""
        return self.by_key.get(key)

    def of(self, job: Job, chunk: Chunk) -> PlacementRecord:
        """The placement record that the part is on; it gets one if it has none."""
        if chunk.record_key is not None:
            old = self.by_key[chunk.record_key]
            if not old.closed:
                return old
            self._leave(old, job, chunk)
        need = part_bytes(job, chunk)
        newest = list(self._open.values())[-NEWEST:]
        placement_record = (
            next((s for s in reversed(newest) if s.room >= need), None) or self._new()
        )
        self._put(placement_record, job, chunk, need)
        if placement_record.room >= LEAST_ROOM:
            self._open[placement_record.key] = placement_record
        else:
            self._open.pop(placement_record.key, None)
        return placement_record

    def _leave(self, placement_record: PlacementRecord, job: Job, chunk: Chunk) -> None:
        """The part is no longer this placement record's concern, but the store still has it
        there."""
        placement_record.parts.pop((job.id, chunk.low), None)
        placement_record.tells_of.add(job.id)
        chunk.record_key = None

    def close(self, placement_record: PlacementRecord) -> None:
        """It is not written any more, and its parts move as they change. The order of the two
        records does not matter to a later leader: the moved part has the same attempts, or more,
        and is the newer."""
        placement_record.closed = True
        self._closed[placement_record.key] = placement_record
        self._open.pop(placement_record.key, None)

    def recut(
        self, jobs: JobRegistry, job: Job, chunk: Chunk, most: int, alone: bool
    ) -> list[Chunk]:
        """A part that is too large by itself is cut anew; the old one stays where it is, since
        until the finer ones are written it is all that the store has."""
        placement_record = self.by_key.get(chunk.record_key or "")
        if placement_record is not None:
            self.close(placement_record)
            self._leave(placement_record, job, chunk)
        finer = jobs.recut(job, chunk, most)
        if alone:
            for fine in finer:
                self._put(self._new(alone=True), job, fine, part_bytes(job, fine))
        return finer

    def _new(self, alone: bool = False) -> PlacementRecord:
        self._count += 1
        placement_record = PlacementRecord(f"{self._prefix}{self._count}", self._bytes, alone=alone)
        self.by_key[placement_record.key] = placement_record
        return placement_record

    def _put(self, placement_record: PlacementRecord, job: Job, chunk: Chunk, need: int) -> None:
        placement_record.parts[job.id, chunk.low] = (job, chunk)
        placement_record.room -= need
        chunk.record_key, chunk.reserved = placement_record.key, need

    def drop(self, job: Job) -> None:
        """The job's own record is deleted: what a placement record still says of it counts no
        more."""
        for chunk in job.chunks.values():
            placement_record = self.by_key.get(chunk.record_key or "")
            chunk.record_key = None
            if (
                placement_record is None
                or placement_record.parts.pop((job.id, chunk.low), None) is None
            ):
                continue
            placement_record.room += chunk.reserved
            if not placement_record.alone and not placement_record.closed:
                self._open.pop(placement_record.key, None)
                self._open[placement_record.key] = placement_record
        for placement_record in list(self._closed.values()):
            placement_record.tells_of.discard(job.id)
            if placement_record.empty and not placement_record.version:
                self.forget(placement_record)  # it was never written

    def split(self, placement_record: PlacementRecord) -> list[tuple[Job, Chunk]]:
        """The store refuses it for what it is: each part gets a placement record of its own, so
        that one job's trouble holds back no other. All of them must be written before the old one
        may go; until then it holds what is known of them, and later what is older, see `load`."""
        parts = list(placement_record.parts.values())
        for job, chunk in parts:
            own = self._new(alone=True)
            self._put(own, job, chunk, part_bytes(job, chunk))
        placement_record.parts.clear()
        placement_record.alone = True
        self._open.pop(placement_record.key, None)
        return parts

    def isolate(self, placement_record: PlacementRecord) -> None:
        """It has a single part, which the store refuses: no other part may join it, so that it can
        wait without holding back anybody."""
        placement_record.alone = True
        self._open.pop(placement_record.key, None)

    def empties(self) -> list[PlacementRecord]:
        """Placement records in the store that nobody needs any more."""
        return [s for s in self.by_key.values() if s.empty and s.version]

    def forget(self, placement_record: PlacementRecord) -> None:
        """It is not in the store any more."""
        self.by_key.pop(placement_record.key, None)
        self._open.pop(placement_record.key, None)
        self._closed.pop(placement_record.key, None)

    def record(self, placement_record: PlacementRecord) -> tuple[dict[str, Any], int]:
        """The record, and its size in bytes."""
        parts: list[Any] = []
        size = 12
        for job, chunk in placement_record.parts.values():
            if chunk.dirty or chunk.written is None:
                part = job.part(chunk)
                chunk.written = (part, len(orjson.dumps(part)) + 1)
            parts.append(chunk.written[0])
            size += chunk.written[1]
        for unread in placement_record.unread:
            parts.append(unread)
            size += len(orjson.dumps(unread)) + 1
        return {"p": parts}, size

    def load(self, items: Iterable[Item], jobs: JobRegistry, now: Steady) -> list[Placement]:
        """Takes over the records of earlier leaders. A part that is on two placement records was
        moved: it counts as the one with the higher attempt has it, and of equals the newer. (The
        placement record's version alone may mislead: a copy of the first write of a placement
        record since dropped may come late, and makes it again.) Of parts cut differently the finest
        that covers a task counts, see `jobs`, whatever the versions are: a late copy of a write of
        the coarse one may come after the finer ones were written, and knows less than they."""
        found: PartsFound = {}
        for item in sorted(items, key=lambda i: i.version):
            self._load_record(item, jobs, found)
        loaded: list[Placement] = []
        for job_id, copies in found.items():
            loaded += self._load_job(jobs, jobs.jobs[job_id], copies, now)
        for placement_record in self.by_key.values():
            if placement_record.room >= LEAST_ROOM and not (
                placement_record.unread or placement_record.alone or placement_record.closed
            ):
                self._open[placement_record.key] = placement_record
        return loaded

    def _load_record(self, item: Item, jobs: JobRegistry, found: PartsFound) -> None:
        placement_record = PlacementRecord(item.key, self._bytes, item.version)
        parts = item.value.get("p") if isinstance(item.value, dict) else None
        of_job = item.key[len(PLACE) :].rpartition("/")
        if of_job[0]:
            # Until 0.2 each job had records of its own.
            parts, placement_record.alone = [[of_job[0], of_job[2], item.value]], True
        if not isinstance(parts, list):
            # Whose parts were here nobody knows; none may start anything until it is mended.
            log.error("place record unreadable key=%s: no parts", item.key)
            _mark_unreadable(jobs)
            return
        self.by_key[item.key] = placement_record
        if len(orjson.dumps(item.value)) > self.most:
            self.close(placement_record)  # of the time when values might be larger
        for part in parts:
            try:
                self._find_part(placement_record, part, jobs, found)
            except (TypeError, ValueError) as err:
                log.error("place record unreadable key=%s: %s", item.key, err)
                placement_record.unread.append(part)
                _mark_unreadable(jobs)

    def _find_part(
        self, placement_record: PlacementRecord, part: Any, jobs: JobRegistry, found: PartsFound
    ) -> None:
        """Keeps the part if it counts more than the copy of it that was found before."""
        name, number, value = part
        known = jobs.get(JobId(str(name)))
        if known is None:
            return
        span = self._span(known, int(number), value)
        copies = found.setdefault(known.id, {})
        if span not in copies or _attempt(value) >= _attempt(copies[span][1]):
            copies[span] = (placement_record, value)

    def _span(self, job: Job, number: int, value: Any) -> tuple[int, int]:
        """The tasks that a part covers."""
        tasks = value.get("n") if isinstance(value, dict) else None
        if tasks is None:
            return job.span(number)
        if type(tasks) is not int or not 0 < tasks <= job.spec.tasks - number:
            raise ValueError(tasks)
        self.cuts_found = True
        return number, number + tasks

    def _load_job(
        self, jobs: JobRegistry, job: Job, copies: Copies, now: Steady
    ) -> list[Placement]:
        loaded: list[Placement] = []
        told: dict[int, tuple[int, int]] = {}  # of finer parts, by first task
        for span in sorted(copies, key=lambda s: (s[1] - s[0], s)):
            placement_record, value = copies[span]
            inside = sorted(t for t in told.values() if span[0] <= t[0] < span[1])
            edges = [span[0], *(edge for t in inside for edge in t), span[1]]
            gaps = [(a, b) for a, b in zip(edges[::2], edges[1::2], strict=True) if a < b]
            coarse = span == job.span(span[0] // job.size)
            try:
                if not 0 <= span[0] < span[1]:
                    raise ValueError(span)
                for low, high in gaps if inside else [span]:
                    chunk = Chunk(low, high, bool(inside) or not coarse)
                    loaded += jobs.load_chunk(job, chunk, value, now, not inside)
                    told[low] = (low, high)
                    if not inside:
                        self._put(placement_record, job, chunk, part_bytes(job, chunk))
                        continue
                    # Partly told of by finer parts: what is left is written when it changes, as
                    # finer parts, and until then this placement record has the only record of it.
                    self.close(placement_record)
                    placement_record.tells_of.add(job.id)
                for t in inside:
                    fine = job.chunks[t[0]]
                    fine.attempt = max(fine.attempt, Attempt(int(value["a"])))
            except (Malformed, KeyError, TypeError, ValueError) as err:
                # Where its tasks may be is not known, so none may start; it stays known, and the
                # others are taken over all the same.
                log.error(
                    "place record unreadable key=%s job=%s: %s", placement_record.key, job.id, err
                )
                job.unreadable = True
                number = span[0] // job.size if coarse else span[0]
                placement_record.unread.append([job.id, number, value])
        return loaded
