"""Searches the direct and transitive dependencies of a job for a cancelled one."""

from collections.abc import Callable, Iterable
from enum import Enum, auto
from functools import partial
from typing import Protocol

from eldercart.server.store.client import RESERVE_POLLS
from eldercart.server.store.key_ranges import common_key_prefix
from eldercart.server.users.condition_limits import (
    CONDITIONS_PER_OPERATION,
    MAX_CONDITION_BYTES,
    MAX_CONDITION_REQUESTS,
)
from eldercart.server.users.lookup_context import LookupContext
from eldercart.server.users.recent_cache import JobOutcomeCache
from eldercart.units import ABSENT_REVISION, JobId, Revision
from eldercart.wire import users
from eldercart.wire.state import Item, Transaction
from eldercart.wire.stored_jobs import END_PREFIX, JOB_PREFIX, decode_end_record, job_id_of

MAX_POINT_READS = 8  # more records than this are read by their common key prefix
# After this many rounds of reading job records, the records of all unfinished jobs are read at
# once: a long chain would otherwise take a request for each of its jobs.
FULL_SCAN_DEPTH = 4
MAX_BYTES_PER_CONDITION = 120  # upper bound of the size of one condition
# Users wait 2 s for the response to a poll.
SEARCH_TIMEOUT_S = 1.2


class AncestorSearchResult(Enum):
    """The result of a search."""

    CANCELLED = auto()  # at least one ancestor has a durable cancellation
    NOT_CANCELLED = auto()
    INDETERMINATE = auto()  # out of rate-limit tokens or time, or a request failed


class DependencyCache(Protocol):
    """Cache of outcomes and dependencies, which a search reads and adds its findings to."""

    @property
    def outcomes(self) -> JobOutcomeCache:
        """The known outcomes of jobs."""

    def dependencies_of(self, job: JobId, /) -> tuple[JobId, ...] | None:
        """Return the jobs that the job depends on; None if they are not known."""

    def record_dependencies_from(self, job: JobId, record: Item, /) -> tuple[JobId, ...] | None:
        """Cache and return the dependencies in a job's record; None if it does not hold them."""

    def read_dependencies(
        self, record: Item, on_result: Callable[[tuple[JobId, ...] | None], None], /
    ) -> None:
        """Read the dependencies of the job with this record; None if that failed."""

    def read_outcomes(
        self, jobs: Iterable[JobId], on_result: Callable[[dict[JobId, str] | None], None], /
    ) -> None:
        """Read the outcomes of those jobs that have ended; None if the read failed."""


class AncestorSearch:
    """One breadth-first search up the dependency graph for a cancelled job.

    The search runs in rounds of concurrent reads. A round starts only when all reads of the
    previous one are complete.
    """

    def __init__(
        self,
        context: LookupContext,
        cache: DependencyCache,
        jobs: tuple[JobId, ...],
        on_result: Callable[[AncestorSearchResult], None],
    ) -> None:
        """Set up a search that starts at `jobs`, which count as ancestors themselves."""
        self._context = context
        self._cache = cache
        self._on_result = on_result
        self._deadline_at = context.clock() + SEARCH_TIMEOUT_S
        self._visited: set[JobId] = set()
        self._frontier = list(jobs)
        self._unchecked: list[JobId] = []  # jobs to check for an outcome
        self._ended: list[JobId] = []  # ended jobs whose outcome is unknown
        self._unread_unfinished: list[JobId] = []  # unfinished jobs whose dependencies are unknown
        self._requests_in_flight = 0
        self._record_read_rounds = 0  # rounds that read job records
        self._has_failed = False
        self._found_cancelled = False

    def run_round(self) -> None:
        """Report the result if it is final, else start the reads of the next round."""
        self._expand()
        if self._found_cancelled:
            self._on_result(AncestorSearchResult.CANCELLED)
        elif self._has_failed:
            self._on_result(AncestorSearchResult.INDETERMINATE)
        elif self._unchecked:
            self._find_ended_jobs()
        elif self._ended:
            self._read_outcome_records()
        elif self._unread_unfinished:
            self._read_job_records()
        else:
            self._on_result(AncestorSearchResult.NOT_CANCELLED)

    def _expand(self) -> None:
        """Visit the frontier and, transitively, the cached dependencies of its unfinished jobs.

        The dependencies of a job that is done are not visited: all of its ancestors are done.
        """
        while self._frontier:
            job = self._frontier.pop()
            if job in self._visited:
                continue
            self._visited.add(job)
            outcome = self._cache.outcomes.get(job)
            if outcome is None:
                self._unchecked.append(job)
                self._frontier += self._cache.dependencies_of(job) or ()
            elif outcome == users.CANCELLED:
                self._found_cancelled = True

    # -- requests in flight

    def _reserve(self, max_requests: int) -> int:
        """Return how many requests may be sent now; if none, report an indeterminate result."""
        now = self._context.clock()
        available = self._context.store.requests.available(now, RESERVE_POLLS)
        reserved = 0 if now > self._deadline_at else max(0, min(max_requests, available))
        self._requests_in_flight = reserved
        if reserved == 0:
            self._on_result(AncestorSearchResult.INDETERMINATE)
        return reserved

    def _on_request_finished(self) -> None:
        self._requests_in_flight -= 1
        if self._requests_in_flight == 0:
            self.run_round()

    def _on_request_failed(self) -> None:
        self._has_failed = True
        self._on_request_finished()

    # -- check which jobs have ended

    def _find_ended_jobs(self) -> None:
        jobs_per_request = self._jobs_per_request()
        request_count = -(-len(self._unchecked) // jobs_per_request)
        if request_count > MAX_CONDITION_REQUESTS:
            self._find_ended_jobs_by_prefix()
            return
        for _ in range(self._reserve(request_count)):
            batch = self._unchecked[:jobs_per_request]
            self._unchecked = self._unchecked[jobs_per_request:]
            conditions = {END_PREFIX + job: ABSENT_REVISION for job in batch}
            self._context.store.requests.force_take(self._context.clock())
            self._context.store.commit(
                Transaction(conditions), partial(self._on_conditions_checked, batch)
            )

    def _jobs_per_request(self) -> int:
        max_conditions = CONDITIONS_PER_OPERATION * self._context.settings.txn_ops
        return max(1, min(max_conditions, MAX_CONDITION_BYTES // MAX_BYTES_PER_CONDITION))

    def _find_ended_jobs_by_prefix(self) -> None:
        if self._reserve(1) > 0:
            batch, self._unchecked = self._unchecked, []
            self._cache.read_outcomes(batch, partial(self._on_outcomes, batch))

    def _on_outcomes(self, batch: list[JobId], outcomes: dict[JobId, str] | None) -> None:
        if outcomes is None:
            self._on_request_failed()
            return
        for job in batch:
            if job not in outcomes:
                self._add_unfinished(job)
            elif outcomes[job] == users.CANCELLED:
                self._found_cancelled = True
        self._on_request_finished()

    def _on_conditions_checked(
        self,
        batch: list[JobId],
        status: int | None,
        _: Revision,
        failed_conditions: tuple[str, ...],
    ) -> None:
        if status not in (200, 409):
            self._on_request_failed()
            return
        present = set(failed_conditions)
        for job in batch:
            if END_PREFIX + job in present:
                self._ended.append(job)
            else:
                self._add_unfinished(job)
        self._on_request_finished()

    def _add_unfinished(self, job: JobId) -> None:
        dependencies = self._cache.dependencies_of(job)
        if dependencies is None:
            self._unread_unfinished.append(job)
        else:
            # The dependencies may have been cached after `_expand` visited the job.
            self._frontier += dependencies

    # -- outcomes of ended jobs

    def _read_outcome_records(self) -> None:
        jobs = self._ended
        if len(jobs) > MAX_POINT_READS:
            self._read_range(
                jobs, END_PREFIX, common_key_prefix(END_PREFIX, jobs), self._on_outcome_record
            )
        else:
            self._read_each(jobs, END_PREFIX, self._on_outcome_record)

    def _on_outcome_record(self, job: JobId, item: Item | None) -> None:
        if item is None:
            # Outcomes are never deleted, so this read returned an older revision than the read that
            # found the job ended.
            self._on_request_failed()
            return
        outcome = decode_end_record(item.value)
        self._cache.outcomes.put(job, outcome)
        self._found_cancelled = self._found_cancelled or outcome == users.CANCELLED
        self._on_request_finished()

    # -- dependencies of unfinished jobs

    def _read_job_records(self) -> None:
        jobs = self._unread_unfinished
        is_deep = self._record_read_rounds >= FULL_SCAN_DEPTH
        self._record_read_rounds += 1
        if is_deep:
            self._read_range(jobs, JOB_PREFIX, JOB_PREFIX, self._on_job_record)
        elif len(jobs) > MAX_POINT_READS:
            self._read_range(
                jobs, JOB_PREFIX, common_key_prefix(JOB_PREFIX, jobs), self._on_job_record
            )
        else:
            self._read_each(jobs, JOB_PREFIX, self._on_job_record)

    def _on_job_record(self, job: JobId, item: Item | None) -> None:
        if item is None:
            # The record was deleted when the outcome was written, or later.
            self._ended.append(job)
            self._on_request_finished()
        else:
            self._cache.read_dependencies(item, self._on_dependencies)

    def _on_dependencies(self, dependencies: tuple[JobId, ...] | None) -> None:
        if dependencies is None:
            self._on_request_failed()
        else:
            self._frontier += dependencies
            self._on_request_finished()

    # -- reads of records, one by one or by their key prefix

    def _read_each(
        self, jobs: list[JobId], prefix: str, on_record: Callable[[JobId, Item | None], None]
    ) -> None:
        for _ in range(self._reserve(len(jobs))):
            job = jobs.pop()
            self._context.store.get(prefix + job, partial(self._on_record_read, job, on_record))

    def _on_record_read(
        self,
        job: JobId,
        on_record: Callable[[JobId, Item | None], None],
        succeeded: bool,
        item: Item | None,
    ) -> None:
        if succeeded:
            on_record(job, item)
        else:
            self._on_request_failed()

    def _read_range(
        self,
        jobs: list[JobId],
        prefix: str,
        key_prefix: str,
        on_record: Callable[[JobId, Item | None], None],
    ) -> None:
        if self._reserve(1) > 0:
            wanted = set(jobs)
            jobs.clear()
            self._context.store.range(
                key_prefix, partial(self._on_range_read, wanted, prefix, on_record)
            )

    def _on_range_read(
        self,
        wanted: set[JobId],
        prefix: str,
        on_record: Callable[[JobId, Item | None], None],
        items: list[Item] | None,
        _: Revision,
    ) -> None:
        if items is None:
            self._on_request_failed()
            return
        found = {job_id_of(item): item for item in items}
        if prefix == JOB_PREFIX:
            # Cache all records that were read: their jobs may be ancestors of the wanted ones.
            for job, item in found.items():
                self._cache.record_dependencies_from(job, item)
        self._requests_in_flight += len(wanted)
        for job in wanted:
            on_record(job, found.get(job))
        self._on_request_finished()
