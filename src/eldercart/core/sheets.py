"""Sheets: records of placements that several jobs share.

The state service limits changes, not bytes. With a record for each job, a burst of small jobs needs
more changes than there are, and machines stand idle for placements that wait to be written. So the
parts of several jobs, each cut as `jobs` says, share a record as large as a value may be, and one
change writes whatever is new in all of them. A job that has ended simply is not written again.

How much a part will come to take is an estimate; what counts is what a record is measured to take.
A sheet that would become larger than a value may be, or was written when values might be larger, is
closed: it is never written again. What changes on it moves to other sheets, and it stays in the
store until all jobs are over that it still tells of, since of tasks that have not changed since, it
may hold the only record.
"""

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import orjson

from eldercart.core.jobs import PLACE, Chunk, Job, JobBook, Placement
from eldercart.units import ABSENT, Attempt, Epoch, JobId, Revision, Steady
from eldercart.wire import Malformed
from eldercart.wire.state import Item

log = logging.getLogger("eldercart.controller")

PART_BYTES = 48  # of a part, beside its entries
TASK_BYTES = (
    21  # of a placement with a machine's name of the usual length, beside the task's number
)
LEAST_ROOM = PART_BYTES + 2 * TASK_BYTES  # for a sheet to be looked at again
MOST_BYTES = 26_000  # two of them fit into a transaction
NEWEST = 6  # sheets looked at for room, the ones last used: what is placed together stays together


@dataclass(slots=True, eq=False)
class Sheet:
    key: str
    room: int  # bytes that are left for parts not yet there
    version: Revision = ABSENT
    parts: dict[tuple[JobId, int], tuple[Job, Chunk]] = field(default_factory=dict)
    unread: list[Any] = field(default_factory=list)  # parts that nobody could read, kept as found
    alone: bool = False  # takes no other part
    closed: bool = False  # never written again: what changes moves to another sheet
    tells_of: set[JobId] = field(default_factory=set)  # closed: jobs of which parts have moved

    @property
    def empty(self) -> bool:
        return not self.parts and not self.unread and not self.tells_of


def part_bytes(job: Job, chunk: Chunk) -> int:
    """What the part will come to take, about: if that was too little, it moves, and what it was
    measured to take counts."""
    about = PART_BYTES + chunk.tasks * (TASK_BYTES + len(str(job.spec.tasks)))
    return about if chunk.written is None else max(about, chunk.written[1])


def _attempt(value: Any) -> float:
    """Of a part; one that can't be read outranks all, so that it is found out."""
    attempt = value.get("a") if isinstance(value, dict) else None
    return attempt if type(attempt) is int else float("inf")


class Sheets:
    """Owns the sheets and which part is on which."""

    def __init__(self, value_bytes: int, epoch: Epoch) -> None:
        self._bytes = min(int(value_bytes * 0.8), MOST_BYTES)
        self.most = int(value_bytes * 0.9)  # measured, above which a sheet is closed
        self.cuts_found = False  # an earlier leader knew that all nodes read parts cut anew
        self._prefix = f"{PLACE}{epoch}-"  # no other leader's sheets are called so
        self._count = 0
        self.sheets: dict[str, Sheet] = {}
        self._open: dict[str, Sheet] = {}  # with room, the one last used at the end
        self._closed: dict[str, Sheet] = {}

    def get(self, key: str) -> Sheet | None:
        return self.sheets.get(key)

    def of(self, job: Job, chunk: Chunk) -> Sheet:
        """The sheet that the part is on; it gets one if it has none."""
        if chunk.sheet is not None:
            old = self.sheets[chunk.sheet]
            if not old.closed:
                return old
            self._leave(old, job, chunk)
        need = part_bytes(job, chunk)
        newest = list(self._open.values())[-NEWEST:]
        sheet = next((s for s in reversed(newest) if s.room >= need), None) or self._new()
        self._put(sheet, job, chunk, need)
        if sheet.room >= LEAST_ROOM:
            self._open[sheet.key] = sheet
        else:
            self._open.pop(sheet.key, None)
        return sheet

    def _leave(self, sheet: Sheet, job: Job, chunk: Chunk) -> None:
        """The part is no longer this sheet's concern, but the store still has it there."""
        sheet.parts.pop((job.id, chunk.low), None)
        sheet.tells_of.add(job.id)
        chunk.sheet = None

    def close(self, sheet: Sheet) -> None:
        """It is not written any more, and its parts move as they change. The order of the two
        records does not matter to a later leader: the moved part has the same attempts, or more,
        and is the newer."""
        sheet.closed = True
        self._closed[sheet.key] = sheet
        self._open.pop(sheet.key, None)

    def recut(self, jobs: JobBook, job: Job, chunk: Chunk, most: int, alone: bool) -> list[Chunk]:
        """A part that is too large by itself is cut anew; the old one stays where it is, since
        until the finer ones are written it is all that the store has."""
        sheet = self.sheets.get(chunk.sheet or "")
        if sheet is not None:
            self.close(sheet)
            self._leave(sheet, job, chunk)
        finer = jobs.recut(job, chunk, most)
        if alone:
            for fine in finer:
                self._put(self._new(alone=True), job, fine, part_bytes(job, fine))
        return finer

    def _new(self, alone: bool = False) -> Sheet:
        self._count += 1
        sheet = Sheet(f"{self._prefix}{self._count}", self._bytes, alone=alone)
        self.sheets[sheet.key] = sheet
        return sheet

    def _put(self, sheet: Sheet, job: Job, chunk: Chunk, need: int) -> None:
        sheet.parts[job.id, chunk.low] = (job, chunk)
        sheet.room -= need
        chunk.sheet, chunk.reserved = sheet.key, need

    def drop(self, job: Job) -> None:
        """The job's own record is gone: what a sheet still says of it counts no more."""
        for chunk in job.chunks.values():
            sheet = self.sheets.get(chunk.sheet or "")
            chunk.sheet = None
            if sheet is None or sheet.parts.pop((job.id, chunk.low), None) is None:
                continue
            sheet.room += chunk.reserved
            if not sheet.alone and not sheet.closed:
                self._open.pop(sheet.key, None)
                self._open[sheet.key] = sheet
        for sheet in list(self._closed.values()):
            sheet.tells_of.discard(job.id)
            if sheet.empty and not sheet.version:
                self.forget(sheet)  # it was never written

    def split(self, sheet: Sheet) -> list[tuple[Job, Chunk]]:
        """The store refuses it for what it is: each part gets a sheet of its own, so that one job's
        trouble holds back no other. All of them must be written before the old one may go; until
        then it holds what is known of them, and later what is older, see `load`."""
        parts = list(sheet.parts.values())
        for job, chunk in parts:
            own = self._new(alone=True)
            self._put(own, job, chunk, part_bytes(job, chunk))
        sheet.parts.clear()
        sheet.alone = True
        self._open.pop(sheet.key, None)
        return parts

    def isolate(self, sheet: Sheet) -> None:
        """It has a single part, which the store refuses: no other part may join it, so that it can
        wait without holding back anybody."""
        sheet.alone = True
        self._open.pop(sheet.key, None)

    def empties(self) -> list[Sheet]:
        return [s for s in self.sheets.values() if s.empty and s.version]

    def forget(self, sheet: Sheet) -> None:
        self.sheets.pop(sheet.key, None)
        self._open.pop(sheet.key, None)
        self._closed.pop(sheet.key, None)

    def record(self, sheet: Sheet) -> tuple[dict[str, Any], int]:
        """The record, and its size in bytes."""
        parts: list[Any] = []
        size = 12
        for job, chunk in sheet.parts.values():
            if chunk.dirty or chunk.written is None:
                part = job.part(chunk)
                chunk.written = (part, len(orjson.dumps(part)) + 1)
            parts.append(chunk.written[0])
            size += chunk.written[1]
        for unread in sheet.unread:
            parts.append(unread)
            size += len(orjson.dumps(unread)) + 1
        return {"p": parts}, size

    def load(self, items: Iterable[Item], jobs: JobBook, now: Steady) -> list[Placement]:
        """Takes over the records of earlier leaders. A part that is on two sheets was moved: it
        counts as the one with the higher attempt has it, and of equals the newer. (The sheet's
        version alone may mislead: a copy of the first write of a sheet since dropped may come
        late, and makes it again.) Of parts cut differently the finest that covers a task counts,
        see `jobs`, whatever the versions are: a late copy of a write of the coarse one may come
        after the finer ones were written, and knows less than they."""
        found: dict[JobId, dict[tuple[int, int], tuple[Sheet, Any]]] = {}
        for item in sorted(items, key=lambda i: i.version):
            sheet = Sheet(item.key, self._bytes, item.version)
            parts = item.value.get("p") if isinstance(item.value, dict) else None
            of_job = item.key[len(PLACE) :].rpartition("/")
            if of_job[0]:
                # Until 0.2 each job had records of its own.
                parts, sheet.alone = [[of_job[0], of_job[2], item.value]], True
            if not isinstance(parts, list):
                # Whose parts were here nobody knows; none may start anything until it is mended.
                log.error("place record unreadable key=%s: no parts", item.key)
                for job in jobs.jobs.values():
                    job.unreadable = True
                continue
            self.sheets[item.key] = sheet
            if len(orjson.dumps(item.value)) > self.most:
                self.close(sheet)  # of the time when values might be larger
            for part in parts:
                try:
                    name, number, value = part
                    known = jobs.get(JobId(str(name)))
                    if known is None:
                        continue
                    span = self._span(known, int(number), value)
                    copies = found.setdefault(known.id, {})
                    if span not in copies or _attempt(value) >= _attempt(copies[span][1]):
                        copies[span] = (sheet, value)
                except (TypeError, ValueError) as err:
                    log.error("place record unreadable key=%s: %s", item.key, err)
                    sheet.unread.append(part)
                    for job in jobs.jobs.values():
                        job.unreadable = True
        loaded: list[Placement] = []
        for job_id, copies in found.items():
            loaded += self._load_job(jobs, jobs.jobs[job_id], copies, now)
        for sheet in self.sheets.values():
            if sheet.room >= LEAST_ROOM and not (sheet.unread or sheet.alone or sheet.closed):
                self._open[sheet.key] = sheet
        return loaded

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
        self, jobs: JobBook, job: Job, copies: dict[tuple[int, int], tuple[Sheet, Any]], now: Steady
    ) -> list[Placement]:
        loaded: list[Placement] = []
        told: dict[int, tuple[int, int]] = {}  # of finer parts, by first task
        for span in sorted(copies, key=lambda s: (s[1] - s[0], s)):
            sheet, value = copies[span]
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
                        self._put(sheet, job, chunk, part_bytes(job, chunk))
                        continue
                    # Partly told of by finer parts: what is left is written when it changes, as
                    # finer parts, and until then this sheet has the only record of it.
                    self.close(sheet)
                    sheet.tells_of.add(job.id)
                for t in inside:
                    fine = job.chunks[t[0]]
                    fine.attempt = max(fine.attempt, Attempt(int(value["a"])))
            except (Malformed, KeyError, TypeError, ValueError) as err:
                # Where its tasks may be is not known, so none may start; it stays known, and the
                # others are taken over all the same.
                log.error("place record unreadable key=%s job=%s: %s", sheet.key, job.id, err)
                job.unreadable = True
                number = span[0] // job.size if coarse else span[0]
                sheet.unread.append([job.id, number, value])
        return loaded
