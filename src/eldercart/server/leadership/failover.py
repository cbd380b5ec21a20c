"""Reads what the state service holds when this node has been elected."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from twisted.internet import reactor as _reactor

from eldercart.jobs.registry import CLEANUP, DEPENDENCY_LISTS, JOB, PLACE
from eldercart.persistence.learned_state import MEMORY
from eldercart.server.leadership.catalog_record import CATALOG_KEY
from eldercart.server.leadership.job_record_watch import refers_to_list
from eldercart.server.store.client import Store
from eldercart.units import ABSENT, Revision
from eldercart.wire.state import Item

reactor: Any = _reactor

READ_AGAIN_S = 0.5  # before a prefix is read again that could not be read


@dataclass(frozen=True, slots=True)
class StoredRecords:
    """All records that a new leader takes over."""

    catalog: list[Item]
    jobs: list[Item]
    placements: list[Item]
    cleanup_markers: list[Item]
    memory_records: list[Item]
    dependency_lists: list[Item]  # read only if a job record refers to one
    jobs_revision: Revision  # as of which the job records were read
    others: list[Item] = field(default_factory=list)  # of the further prefixes asked for


class TakeOver:
    """Reads the records prefix by prefix, each until it succeeds, and hands them over once."""

    def __init__(
        self, store: Store, done: Callable[[StoredRecords], None], more: Sequence[str] = ()
    ) -> None:
        """`done` is called when everything has been read, unless `abandon` came before; `more`:
        prefixes to be read beside those that every leader reads."""
        self._store = store
        self._done = done
        self._abandoned = False
        self._more = more
        self._prefixes = [CATALOG_KEY, JOB, PLACE, CLEANUP, MEMORY, *more]
        self._read: dict[str, list[Item]] = {}
        self._jobs_revision = ABSENT

    def abandon(self) -> None:
        """Leadership ended before the records were read: answers under way are dropped."""
        self._abandoned = True

    def read_next(self) -> None:
        """Reads the next prefix, or finishes when none is left."""
        if self._abandoned:
            return
        if len(self._read) == len(self._prefixes):
            self._finish()
            return
        prefix = self._prefixes[len(self._read)]
        self._store.range(prefix, lambda items, revision: self._got(prefix, items, revision))

    def _got(self, prefix: str, items: list[Item] | None, revision: Revision) -> None:
        if self._abandoned:
            return
        if items is None:
            reactor.callLater(READ_AGAIN_S, self.read_next)
            return
        self._read[prefix] = items
        if prefix == JOB:
            self._jobs_revision = revision
            if any(refers_to_list(item) for item in items):
                # After the records: a list is there before the record that refers to it.
                self._prefixes.append(DEPENDENCY_LISTS)
        self.read_next()

    def _finish(self) -> None:
        read = self._read
        self._done(
            StoredRecords(
                catalog=read[CATALOG_KEY],
                jobs=read[JOB],
                placements=read[PLACE],
                cleanup_markers=read[CLEANUP],
                memory_records=read[MEMORY],
                dependency_lists=read.get(DEPENDENCY_LISTS, []),
                others=[item for prefix in self._more for item in read[prefix]],
                jobs_revision=self._jobs_revision,
            )
        )
