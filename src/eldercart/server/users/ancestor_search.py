"""The search for a cancelled job among all that a job needs, directly or through others."""

from collections.abc import Callable
from enum import Enum
from functools import partial
from typing import TYPE_CHECKING

from eldercart.server.store.client import RESERVE_POLLS
from eldercart.server.store.key_ranges import common_key_prefix
from eldercart.units import ABSENT_REVISION, JobId, Revision
from eldercart.wire import users
from eldercart.wire.state import Item, Transaction
from eldercart.wire.stored_jobs import END_PREFIX, JOB_PREFIX, decode_end_record

if TYPE_CHECKING:
    from eldercart.server.controller_node import ControllerNode
    from eldercart.server.users.dependencies import DependencyResolver

# Requests of guards, beyond which ends are read by their prefix.
MAX_CONDITION_REQUESTS = 2
MAX_POINT_READS = 8  # records read by themselves; more are read by their prefix
FULL_SCAN_DEPTH = (
    4  # jobs in a row, after which all open ones are read: a request for each takes too long
)
MAX_CONDITION_BYTES, CONDITION_BYTES = 48 * 1024, 120  # of a transaction, and of one guard
# Users wait 2 s for a poll.
SEARCH_TIMEOUT_S = 1.2


class AncestorSearchResult(Enum):
    """What a search found."""

    CANCELLED = "cancelled"  # one of them has a durable cancellation
    NOT_CANCELLED = "not cancelled"
    INDETERMINATE = "untold"  # no tokens, no answer, no time


class AncestorSearch:
    """One search upward for a cancelled job, by turns of reads side by side."""

    def __init__(
        self,
        node: "ControllerNode",
        dependency_resolver: "DependencyResolver",
        jobs: tuple[JobId, ...],
        on_result: Callable[[AncestorSearchResult], None],
    ) -> None:
        """Begins at `jobs`, which count as ancestors themselves."""
        self._node = node
        self._dependency_resolver = dependency_resolver
        self._on_result = on_result
        self._deadline_at = node.clock() + SEARCH_TIMEOUT_S
        self._visited: set[JobId] = set()
        self._frontier = list(jobs)
        self._unchecked: list[JobId] = []  # whether they have ended is not known
        self._ended: list[JobId] = []  # how is not known
        self._unread_unfinished: list[JobId] = []  # open, and whom they await is not known
        self._requests_in_flight = 0  # requests under way
        self._record_read_rounds = 0  # in which job records were read
        self._has_failed = False
        self._found_cancelled = False

    def run_round(self) -> None:
        """The next turn. Each ends before the next begins, however deep the jobs lie."""
        self._expand()
        if self._found_cancelled:
            self._on_result(AncestorSearchResult.CANCELLED)
        elif self._has_failed:
            self._on_result(AncestorSearchResult.INDETERMINATE)
        elif self._unchecked:
            self._check_finished()
        elif self._ended:
            self._read_outcome_records()
        elif self._unread_unfinished:
            self._read_job_records()
        else:
            self._on_result(AncestorSearchResult.NOT_CANCELLED)

    def _expand(self) -> None:
        """What is known here. A job that is done ends the way: all before it are done."""
        while self._frontier:
            job = self._frontier.pop()
            if job in self._visited:
                continue
            self._visited.add(job)
            state = self._dependency_resolver.outcomes.get(job)
            if state is None:
                self._unchecked.append(job)
                self._frontier += self._dependency_resolver.dependencies_of(job) or ()
            elif state == users.CANCELLED:
                self._found_cancelled = True

    # -- requests under way

    def _reserve(self, max_requests: int) -> int:
        """How many requests may go out now; without any the search is over."""
        now = self._node.clock()
        allowed = self._node.store.requests.available(now, RESERVE_POLLS)
        number = 0 if now > self._deadline_at else max(0, min(max_requests, allowed))
        self._requests_in_flight = number
        if number == 0:
            self._on_result(AncestorSearchResult.INDETERMINATE)
        return number

    def _on_request_finished(self) -> None:
        self._requests_in_flight -= 1
        if self._requests_in_flight == 0:
            self.run_round()

    def _on_request_failed(self) -> None:
        self._has_failed = True
        self._on_request_finished()

    # -- which of them have ended

    def _check_finished(self) -> None:
        most = max(1, min(4 * self._node.settings.txn_ops, MAX_CONDITION_BYTES // CONDITION_BYTES))
        wanted = -(-len(self._unchecked) // most)
        if wanted > MAX_CONDITION_REQUESTS:
            self._check_finished_by_prefix()
            return
        for _ in range(self._reserve(wanted)):
            batch, self._unchecked = self._unchecked[:most], self._unchecked[most:]
            guards = {END_PREFIX + job: ABSENT_REVISION for job in batch}
            self._node.store.requests.force_take(self._node.clock())
            self._node.store.commit(
                Transaction(guards), partial(self._on_conditions_checked, batch)
            )

    def _check_finished_by_prefix(self) -> None:
        if self._reserve(1) > 0:
            batch, self._unchecked = self._unchecked, []
            self._dependency_resolver.read_outcomes(batch, partial(self._on_outcomes, batch))

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
        self, batch: list[JobId], status: int | None, _: Revision, failed: tuple[str, ...]
    ) -> None:
        if status not in (200, 409):
            self._on_request_failed()
            return
        there = set(failed)
        for job in batch:
            if END_PREFIX + job in there:
                self._ended.append(job)
            else:
                self._add_unfinished(job)
        self._on_request_finished()

    def _add_unfinished(self, job: JobId) -> None:
        names = self._dependency_resolver.dependencies_of(job)
        if names is None:
            self._unread_unfinished.append(job)
        else:
            self._frontier += names  # known by now, if it was not when the search came here

    # -- how they ended

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
            self._on_request_failed()  # ends never go: this read is older than the one before
            return
        state = decode_end_record(item.value)
        self._dependency_resolver.outcomes.put(job, state)
        self._found_cancelled = self._found_cancelled or state == users.CANCELLED
        self._on_request_finished()

    # -- whom they await

    def _read_job_records(self) -> None:
        jobs = self._unread_unfinished
        deep = self._record_read_rounds >= FULL_SCAN_DEPTH
        self._record_read_rounds += 1
        if deep:
            self._read_range(jobs, JOB_PREFIX, JOB_PREFIX, self._on_job_record)
        elif len(jobs) > MAX_POINT_READS:
            self._read_range(
                jobs, JOB_PREFIX, common_key_prefix(JOB_PREFIX, jobs), self._on_job_record
            )
        else:
            self._read_each(jobs, JOB_PREFIX, self._on_job_record)

    def _on_job_record(self, job: JobId, item: Item | None) -> None:
        if item is None:
            self._ended.append(job)  # its record went with its end, or after it
            self._on_request_finished()
        else:
            self._dependency_resolver.read_dependencies(item, self._on_dependencies)

    def _on_dependencies(self, dependencies: tuple[JobId, ...] | None) -> None:
        if dependencies is None:
            self._on_request_failed()
        else:
            self._frontier += dependencies
            self._on_request_finished()

    # -- records, one by one or by their prefix

    def _read_each(
        self, jobs: list[JobId], prefix: str, on_record: Callable[[JobId, Item | None], None]
    ) -> None:
        for _ in range(self._reserve(len(jobs))):
            job = jobs.pop()
            self._node.store.get(prefix + job, partial(self._on_record_read, job, on_record))

    def _on_record_read(
        self,
        job: JobId,
        on_record: Callable[[JobId, Item | None], None],
        ok: bool,
        item: Item | None,
    ) -> None:
        if ok:
            on_record(job, item)
        else:
            self._on_request_failed()

    def _read_range(
        self,
        jobs: list[JobId],
        prefix: str,
        common_key: str,
        on_record: Callable[[JobId, Item | None], None],
    ) -> None:
        if self._reserve(1) > 0:
            wanted = set(jobs)
            jobs.clear()
            self._node.store.range(
                common_key, partial(self._on_range_read, wanted, prefix, on_record)
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
        found = {JobId(item.key[len(prefix) :]): item for item in items}
        if prefix == JOB_PREFIX:
            # The others are read as well: they may come next, as those before these.
            for job, item in found.items():
                self._dependency_resolver.record_dependencies_from(job, item)
        self._requests_in_flight += len(wanted)
        for job in wanted:
            on_record(job, found.get(job))
        self._on_request_finished()
