"""Sheets: records of placements that several jobs share.

The state service limits changes, not bytes. With a record for each job, a burst of small jobs needs
more changes than there are, and machines stand idle for placements that wait to be written. So the
parts of several jobs, each cut as `jobs` says, share a record as large as a value may be, and one
change writes whatever is new in all of them. A job that has ended simply is not written again.
"""

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import orjson

from eldercart.core.jobs import ENTRY_BYTES, PLACE, Chunk, Job, JobBook, Placement
from eldercart.units import ABSENT, Epoch, JobId, Revision, Steady
from eldercart.wire import Malformed
from eldercart.wire.state import Item

log = logging.getLogger("eldercart.controller")

PART_BYTES = 48  # of a part, beside its entries
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

    @property
    def empty(self) -> bool:
        return not self.parts and not self.unread


def part_bytes(job: Job, chunk: Chunk) -> int:
    """The most that the part can come to take."""
    tasks = min(job.size, job.spec.tasks - chunk.number * job.size)
    return PART_BYTES + tasks * ENTRY_BYTES


def _attempt(value: Any) -> float:
    """Of a part; one that can't be read outranks all, so that it is found out."""
    attempt = value.get("a") if isinstance(value, dict) else None
    return attempt if type(attempt) is int else float("inf")


class Sheets:
    """Owns the sheets and which part is on which."""

    def __init__(self, value_bytes: int, epoch: Epoch) -> None:
        self._bytes = min(int(value_bytes * 0.8), MOST_BYTES)
        self._prefix = f"{PLACE}{epoch}-"  # no other leader's sheets are called so
        self._count = 0
        self.sheets: dict[str, Sheet] = {}
        self._open: dict[str, Sheet] = {}  # with room, the one last used at the end

    def get(self, key: str) -> Sheet | None:
        return self.sheets.get(key)

    def of(self, job: Job, chunk: Chunk) -> Sheet:
        """The sheet that the part is on; it gets one if it has none."""
        if chunk.sheet is not None:
            return self.sheets[chunk.sheet]
        need = part_bytes(job, chunk)
        newest = list(self._open.values())[-NEWEST:]
        sheet = next((s for s in reversed(newest) if s.room >= need), None) or self._new()
        self._put(sheet, job, chunk, need)
        if sheet.room >= PART_BYTES + ENTRY_BYTES:
            self._open[sheet.key] = sheet
        else:
            self._open.pop(sheet.key, None)
        return sheet

    def _new(self) -> Sheet:
        self._count += 1
        sheet = Sheet(f"{self._prefix}{self._count}", self._bytes)
        self.sheets[sheet.key] = sheet
        return sheet

    def _put(self, sheet: Sheet, job: Job, chunk: Chunk, need: int) -> None:
        sheet.parts[job.id, chunk.number] = (job, chunk)
        sheet.room -= need
        chunk.sheet = sheet.key

    def drop(self, job: Job) -> None:
        """The job's own record is gone: what a sheet still says of it counts no more."""
        for chunk in job.chunks.values():
            sheet = self.sheets.get(chunk.sheet or "")
            chunk.sheet = None
            if sheet is None or sheet.parts.pop((job.id, chunk.number), None) is None:
                continue
            sheet.room += part_bytes(job, chunk)
            if not sheet.alone:
                self._open.pop(sheet.key, None)
                self._open[sheet.key] = sheet

    def split(self, sheet: Sheet) -> list[tuple[Job, Chunk]]:
        """The store refuses it for what it is: each part gets a sheet of its own, so that one job's
        trouble holds back no other. All of them must be written before the old one may go; until
        then it holds what is known of them, and later what is older, see `load`."""
        parts = list(sheet.parts.values())
        for job, chunk in parts:
            own = self._new()
            own.alone = True
            self._put(own, job, chunk, part_bytes(job, chunk))
        sheet.parts.clear()
        sheet.alone = True
        self._open.pop(sheet.key, None)
        return parts

    def empties(self) -> list[Sheet]:
        return [s for s in self.sheets.values() if s.empty and s.version]

    def forget(self, sheet: Sheet) -> None:
        self.sheets.pop(sheet.key, None)
        self._open.pop(sheet.key, None)

    def record(self, sheet: Sheet) -> tuple[dict[str, Any], int]:
        """The record, and its size in bytes."""
        parts: list[Any] = []
        size = 12
        for job, chunk in sheet.parts.values():
            if chunk.dirty or chunk.written is None:
                part = [job.id, chunk.number, job.record(chunk)]
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
        late, and makes it again.)"""
        found: dict[tuple[JobId, int], tuple[Sheet, Any]] = {}
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
            for part in parts:
                try:
                    name, number, value = part
                    key = (JobId(str(name)), int(number))
                    if key not in found or _attempt(value) >= _attempt(found[key][1]):
                        found[key] = (sheet, value)
                except (TypeError, ValueError) as err:
                    log.error("place record unreadable key=%s: %s", item.key, err)
                    sheet.unread.append(part)
                    for job in jobs.jobs.values():
                        job.unreadable = True
        loaded: list[Placement] = []
        for (job_id, number), (sheet, value) in found.items():
            known = jobs.get(job_id)
            if known is None:
                continue
            try:
                placed = jobs.load_chunk(known, number, value, now)
            except (Malformed, ValueError) as err:
                # Where its tasks may be is not known, so none may start; it stays known, and the
                # others are taken over all the same.
                log.error("place record unreadable key=%s job=%s: %s", sheet.key, job_id, err)
                known.unreadable = True
                sheet.unread.append([job_id, number, value])
                continue
            chunk = known.chunks[number]
            self._put(sheet, known, chunk, part_bytes(known, chunk))
            loaded += placed
        for sheet in self.sheets.values():
            if sheet.room >= PART_BYTES + ENTRY_BYTES and not (sheet.unread or sheet.alone):
                self._open[sheet.key] = sheet
        return loaded
