"""The leader's watch on the job records that all nodes create.

A record may refer to a dependency list, which is stored under separate keys.
"""

import logging
from typing import Any, NamedTuple

from twisted.internet import reactor as _reactor

from eldercart.jobs.job_records import JobRecordSource
from eldercart.scheduling.scheduler import Scheduler
from eldercart.server.leadership.current_leadership import Leadership, is_current_leadership
from eldercart.server.leadership.job_outcomes import JobOutcomes
from eldercart.server.node_context import Clock
from eldercart.server.store.client import StoreClient
from eldercart.units import JobId, Revision
from eldercart.wire import MalformedMessageError
from eldercart.wire.state import Item, KeyChange
from eldercart.wire.stored_jobs import (
    DEPENDENCY_LIST_PREFIX,
    JOB_PREFIX,
    decode_dependency_list_reference,
    dependency_list_prefix,
    job_id_of,
    resolve_dependency_list,
)

reactor: Any = _reactor
log = logging.getLogger("eldercart.node")

WATCH_TIMEOUT_S = 10.0  # how long one watch request stays open
WATCH_RETRY_S = 0.5  # delay after a failed watch request or range read
LIST_RETRY_S, MAX_LIST_RETRY_S = 0.5, 10.0  # first and longest delay before a list is reread


class JobRecordWatch:
    """Adds the jobs that any node accepts to the scheduler, while this node leads.

    Each request in flight belongs to one scheduler. Its response is ignored if that scheduler has
    been replaced or dropped in the meantime.
    """

    def __init__(
        self, leadership: Leadership, store: StoreClient, outcomes: JobOutcomes, clock: Clock
    ) -> None:
        """`outcomes` gives the jobs that have ended, whose records are no longer added."""
        self._leadership = leadership
        self._store = store
        self._outcomes = outcomes
        self._clock = clock
        self._jobs_resolving: set[JobId] = set()  # jobs whose dependency list is being read

    def reset(self) -> None:
        """Discard the list reads of the previous leadership."""
        self._jobs_resolving.clear()

    # -- the watch

    def watch(self, scheduler: Scheduler, after: Revision) -> None:
        """Add each job record that is created after the revision.

        All records up to that revision must have been given to the scheduler.
        """
        if not is_current_leadership(self._leadership, scheduler):
            return
        scheduler.on_job_records_complete(after)

        def on_watch_response(
            status: int | None, revision: Revision, events: list[KeyChange]
        ) -> None:
            if not is_current_leadership(self._leadership, scheduler):
                return
            if status == 200:
                self._on_events(events)
                self.watch(scheduler, revision)
            elif status == 410:
                self._resync(scheduler)
            else:
                reactor.callLater(WATCH_RETRY_S, self.watch, scheduler, after)

        self._store.watch(JOB_PREFIX, after, WATCH_TIMEOUT_S, on_watch_response)

    def _on_events(self, events: list[KeyChange]) -> None:
        for event in events:
            if isinstance(event, Item):
                self.add_record(event, JobRecordSource.WATCH)
        if events:
            self._leadership.process_events_soon()

    def _resync(self, scheduler: Scheduler) -> None:
        """Read all records and resume the watch, as the state service has dropped older changes."""
        if not is_current_leadership(self._leadership, scheduler):
            return

        def on_range_read(items: list[Item] | None, revision: Revision) -> None:
            if not is_current_leadership(self._leadership, scheduler):
                return
            if items is None:
                reactor.callLater(WATCH_RETRY_S, self._resync, scheduler)
                return
            for item in items:
                self.add_record(item, JobRecordSource.RESYNC)
            self.watch(scheduler, revision)

        self._store.range(JOB_PREFIX, on_range_read)

    # -- single records

    def add_record(self, item: Item, source: JobRecordSource) -> None:
        """Add a job to the scheduler, with its dependency list if the record refers to one.

        Until the list has been read, the scheduler does not know the job: polls read its state
        from the state service, and none of its tasks may start.
        """
        scheduler = self._leadership.scheduler
        job = job_id_of(item)
        if scheduler is None or self._outcomes.outcome_of(job) is not None:
            return
        if not has_dependency_list(item):
            scheduler.load_job_record(item, source, self._clock())
        elif job not in self._jobs_resolving and scheduler.defer_job_record(item):
            self._jobs_resolving.add(job)
            self._read_dependency_list(scheduler, item, source, LIST_RETRY_S)

    def _read_dependency_list(
        self, scheduler: Scheduler, item: Item, source: JobRecordSource, retry_s: float
    ) -> None:
        """Read the list that the record refers to, and retry until it is complete."""
        if not is_current_leadership(self._leadership, scheduler):
            return
        job = job_id_of(item)
        reference = decode_dependency_list_reference(item.value)
        known = job in scheduler.jobs or self._outcomes.outcome_of(job) is not None
        if reference is None or known:
            self._jobs_resolving.discard(job)
            return

        def on_lists_read(lists: list[Item] | None, revision: Revision) -> None:
            if not is_current_leadership(self._leadership, scheduler):
                return
            record = None if lists is None else resolve_dependency_list(job, item, lists)
            if record is None:
                log.info("dependency list not read job=%s", job)
                next_retry_s = min(MAX_LIST_RETRY_S, 2 * retry_s)
                reactor.callLater(
                    retry_s, self._read_dependency_list, scheduler, item, source, next_retry_s
                )
            else:
                self._add_resolved_record(scheduler, job, record, source)

        self._store.range(dependency_list_prefix(job, reference), on_lists_read)

    def _add_resolved_record(
        self, scheduler: Scheduler, job: JobId, record: Item, source: JobRecordSource
    ) -> None:
        self._jobs_resolving.discard(job)
        if self._outcomes.outcome_of(job) is None:
            scheduler.load_job_record(record, source, self._clock())
            self._leadership.process_events_soon()


def has_dependency_list(item: Item) -> bool:
    """Return whether the job's dependencies are stored under separate keys."""
    try:
        return decode_dependency_list_reference(item.value) is not None
    except MalformedMessageError:
        return False  # the code that loads the record reports it as unreadable


class ResolvedRecords(NamedTuple):
    """Job records, divided by whether their dependency lists were found."""

    resolved: list[Item]  # records that contain their dependencies
    unresolved: list[Item]  # unchanged records whose lists are incomplete


def resolve_dependency_lists(records: list[Item], lists: list[Item]) -> ResolvedRecords:
    """Insert the dependency lists into the job records that refer to them."""
    lists_by_job: dict[str, list[Item]] = {}
    for item in lists:
        lists_by_job.setdefault(
            item.key[len(DEPENDENCY_LIST_PREFIX) :].partition("/")[0], []
        ).append(item)
    resolved: list[Item] = []
    unresolved: list[Item] = []
    for item in records:
        job = job_id_of(item)
        found = (
            resolve_dependency_list(job, item, lists_by_job.get(job, ()))
            if has_dependency_list(item)
            else item
        )
        if found is None:
            unresolved.append(item)
        else:
            resolved.append(found)
    return ResolvedRecords(resolved, unresolved)
