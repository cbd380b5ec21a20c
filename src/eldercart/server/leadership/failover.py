"""Failover: a newly elected leader reads the stored records."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any

from twisted.internet import reactor as _reactor

from eldercart.server.leadership.catalog_record import CATALOG_KEY
from eldercart.server.leadership.job_record_watch import has_dependency_list
from eldercart.server.store.client import StoreClient
from eldercart.units import ABSENT_REVISION, Revision
from eldercart.wire.state import Item
from eldercart.wire.stored_jobs import CLEANUP_PREFIX, DEPENDENCY_LIST_PREFIX, JOB_PREFIX
from eldercart.wire.stored_learned_state import LEARNED_STATE_PREFIX
from eldercart.wire.stored_placements import PLACEMENT_PREFIX

reactor: Any = _reactor

READ_RETRY_S = 0.5  # delay after a failed read of a prefix


@dataclass(frozen=True, slots=True)
class StoredRecords:
    """All records that a new leader reads from the state service."""

    catalog: list[Item]
    jobs: list[Item]
    placements: list[Item]
    cleanup_markers: list[Item]
    learned_state: list[Item]
    dependency_lists: list[Item]  # read only if a job record refers to one
    jobs_revision: Revision  # the revision at which the job records were read
    additional_records: list[Item] = field(default_factory=list)  # under `additional_prefixes`


class Failover:
    """Reads the records prefix by prefix, retries failed reads, and reports all records once."""

    def __init__(
        self,
        store: StoreClient,
        on_complete: Callable[[StoredRecords], None],
        additional_prefixes: Sequence[str] = (),
    ) -> None:
        """Prepare the reads; `read_next` starts them.

        `on_complete` is called when everything has been read, unless `cancel` is called earlier.
        `additional_prefixes` are read in addition to those that every leader reads.
        """
        self._store = store
        self._on_complete = on_complete
        self._is_cancelled = False
        self._additional_prefixes = additional_prefixes
        self._prefixes = [
            CATALOG_KEY,
            JOB_PREFIX,
            PLACEMENT_PREFIX,
            CLEANUP_PREFIX,
            LEARNED_STATE_PREFIX,
            *additional_prefixes,
        ]
        self._items_by_prefix: dict[str, list[Item]] = {}
        self._jobs_revision = ABSENT_REVISION

    def cancel(self) -> None:
        """Stop reading and ignore outstanding responses, as the leadership has ended."""
        self._is_cancelled = True

    def read_next(self) -> None:
        """Read the next prefix, or finish when none is left."""
        if self._is_cancelled:
            return
        if len(self._items_by_prefix) == len(self._prefixes):
            self._finish()
            return
        prefix = self._prefixes[len(self._items_by_prefix)]
        self._store.range(prefix, lambda items, revision: self._on_range(prefix, items, revision))

    def _on_range(self, prefix: str, items: list[Item] | None, revision: Revision) -> None:
        if self._is_cancelled:
            return
        if items is None:
            reactor.callLater(READ_RETRY_S, self.read_next)
            return
        self._items_by_prefix[prefix] = items
        if prefix == JOB_PREFIX:
            self._jobs_revision = revision
            if any(has_dependency_list(item) for item in items):
                # Read after the records: a list is written before the record that refers to it.
                self._prefixes.append(DEPENDENCY_LIST_PREFIX)
        self.read_next()

    def _finish(self) -> None:
        read = self._items_by_prefix
        self._on_complete(
            StoredRecords(
                catalog=read[CATALOG_KEY],
                jobs=read[JOB_PREFIX],
                placements=read[PLACEMENT_PREFIX],
                cleanup_markers=read[CLEANUP_PREFIX],
                learned_state=read[LEARNED_STATE_PREFIX],
                dependency_lists=read.get(DEPENDENCY_LIST_PREFIX, []),
                additional_records=[
                    item for prefix in self._additional_prefixes for item in read[prefix]
                ],
                jobs_revision=self._jobs_revision,
            )
        )
