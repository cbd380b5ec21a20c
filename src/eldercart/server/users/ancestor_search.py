"""The search for a cancelled job among all that a job needs, directly or through others."""

from collections.abc import Callable
from enum import Enum
from functools import partial
from typing import TYPE_CHECKING

from eldercart.jobs.registry import END, JOB, end_of
from eldercart.server.store.client import FOR_POLLS
from eldercart.server.store.key_ranges import common_key
from eldercart.units import ABSENT, JobId, Revision
from eldercart.wire import users
from eldercart.wire.state import Item, Txn

if TYPE_CHECKING:
    from eldercart.server.controller_node import Node
    from eldercart.server.users.dependencies import Dependencies

# Requests of guards, beyond which ends are read by their prefix.
MANY_REQUESTS = 2
ONE_BY_ONE = 8  # records read by themselves; more are read by their prefix
DEEP = 4  # jobs in a row, after which all open ones are read: a request for each takes too long
GUARD_BYTES, GUARD_SIZE = 48 * 1024, 120  # of a transaction, and of one guard
# Users wait 2 s for a poll.
SEARCH_S = 1.2


class Ancestors(Enum):
    """What a search found."""

    CANCELLED = "cancelled"  # one of them has a durable cancellation
    NOT_CANCELLED = "not cancelled"
    UNDETERMINED = "untold"  # no tokens, no answer, no time


class AncestorSearch:
    """One search upward for a cancelled job, by turns of reads side by side."""

    def __init__(
        self,
        node: "Node",
        dependencies: "Dependencies",
        jobs: tuple[JobId, ...],
        done: Callable[[Ancestors], None],
    ) -> None:
        """Begins at `jobs`, which count as ancestors themselves."""
        self._node = node
        self._dependencies = dependencies
        self._done = done
        self._until = node.clock() + SEARCH_S
        self._seen: set[JobId] = set()
        self._new = list(jobs)
        self._unchecked: list[JobId] = []  # whether they have ended is not known
        self._ended: list[JobId] = []  # how is not known
        self._unread: list[JobId] = []  # open, and whom they await is not known
        self._open = 0  # requests under way
        self._record_turns = 0  # in which job records were read
        self._failed = False
        self._cancelled = False

    def step(self) -> None:
        """The next turn. Each ends before the next begins, however deep the jobs lie."""
        self._expand()
        if self._cancelled:
            self._done(Ancestors.CANCELLED)
        elif self._failed:
            self._done(Ancestors.UNDETERMINED)
        elif self._unchecked:
            self._check_ends()
        elif self._ended:
            self._read_end_records()
        elif self._unread:
            self._read_job_records()
        else:
            self._done(Ancestors.NOT_CANCELLED)

    def _expand(self) -> None:
        """What is known here. A job that is done ends the way: all before it are done."""
        while self._new:
            job = self._new.pop()
            if job in self._seen:
                continue
            self._seen.add(job)
            state = self._dependencies.finals.get(job)
            if state is None:
                self._unchecked.append(job)
                self._new += self._dependencies.names_of(job) or ()
            elif state == users.CANCELLED:
                self._cancelled = True

    # -- requests under way

    def _reserve(self, wanted: int) -> int:
        """How many requests may go out now; without any the search is over."""
        now = self._node.clock()
        allowed = self._node.store.requests.available(now, FOR_POLLS)
        number = 0 if now > self._until else max(0, min(wanted, allowed))
        self._open = number
        if number == 0:
            self._done(Ancestors.UNDETERMINED)
        return number

    def _request_over(self) -> None:
        self._open -= 1
        if self._open == 0:
            self.step()

    def _request_failed(self) -> None:
        self._failed = True
        self._request_over()

    # -- which of them have ended

    def _check_ends(self) -> None:
        most = max(1, min(4 * self._node.settings.txn_ops, GUARD_BYTES // GUARD_SIZE))
        wanted = -(-len(self._unchecked) // most)
        if wanted > MANY_REQUESTS:
            self._check_ends_by_prefix()
            return
        for _ in range(self._reserve(wanted)):
            batch, self._unchecked = self._unchecked[:most], self._unchecked[most:]
            guards = {END + job: ABSENT for job in batch}
            self._node.store.requests.force(self._node.clock())
            self._node.store.txn(Txn(guards), partial(self._got_guards, batch))

    def _check_ends_by_prefix(self) -> None:
        if self._reserve(1) > 0:
            batch, self._unchecked = self._unchecked, []
            self._dependencies.read_ends(batch, partial(self._got_ends, batch))

    def _got_ends(self, batch: list[JobId], ends: dict[JobId, str] | None) -> None:
        if ends is None:
            self._request_failed()
            return
        for job in batch:
            if job not in ends:
                self._is_open(job)
            elif ends[job] == users.CANCELLED:
                self._cancelled = True
        self._request_over()

    def _got_guards(
        self, batch: list[JobId], status: int | None, _: Revision, failed: tuple[str, ...]
    ) -> None:
        if status not in (200, 409):
            self._request_failed()
            return
        there = set(failed)
        for job in batch:
            if END + job in there:
                self._ended.append(job)
            else:
                self._is_open(job)
        self._request_over()

    def _is_open(self, job: JobId) -> None:
        names = self._dependencies.names_of(job)
        if names is None:
            self._unread.append(job)
        else:
            self._new += names  # known by now, if it was not when the search came here

    # -- how they ended

    def _read_end_records(self) -> None:
        jobs = self._ended
        if len(jobs) > ONE_BY_ONE:
            self._read_range(jobs, END, common_key(END, jobs), self._got_end)
        else:
            self._read_each(jobs, END, self._got_end)

    def _got_end(self, job: JobId, item: Item | None) -> None:
        if item is None:
            self._request_failed()  # ends never go: this read is older than the one before
            return
        state = end_of(item.value)
        self._dependencies.finals.keep(job, state)
        self._cancelled = self._cancelled or state == users.CANCELLED
        self._request_over()

    # -- whom they await

    def _read_job_records(self) -> None:
        jobs = self._unread
        deep = self._record_turns >= DEEP
        self._record_turns += 1
        if deep:
            self._read_range(jobs, JOB, JOB, self._got_job)
        elif len(jobs) > ONE_BY_ONE:
            self._read_range(jobs, JOB, common_key(JOB, jobs), self._got_job)
        else:
            self._read_each(jobs, JOB, self._got_job)

    def _got_job(self, job: JobId, item: Item | None) -> None:
        if item is None:
            self._ended.append(job)  # its record went with its end, or after it
            self._request_over()
        else:
            self._dependencies.read_names(item, self._got_names)

    def _got_names(self, names: tuple[JobId, ...] | None) -> None:
        if names is None:
            self._request_failed()
        else:
            self._new += names
            self._request_over()

    # -- records, one by one or by their prefix

    def _read_each(
        self, jobs: list[JobId], prefix: str, got: Callable[[JobId, Item | None], None]
    ) -> None:
        for _ in range(self._reserve(len(jobs))):
            job = jobs.pop()
            self._node.store.get(prefix + job, partial(self._got_one, job, got))

    def _got_one(
        self, job: JobId, got: Callable[[JobId, Item | None], None], ok: bool, item: Item | None
    ) -> None:
        if ok:
            got(job, item)
        else:
            self._request_failed()

    def _read_range(
        self,
        jobs: list[JobId],
        prefix: str,
        common_key: str,
        got: Callable[[JobId, Item | None], None],
    ) -> None:
        if self._reserve(1) > 0:
            wanted = set(jobs)
            jobs.clear()
            self._node.store.range(common_key, partial(self._got_range, wanted, prefix, got))

    def _got_range(
        self,
        wanted: set[JobId],
        prefix: str,
        got: Callable[[JobId, Item | None], None],
        items: list[Item] | None,
        _: Revision,
    ) -> None:
        if items is None:
            self._request_failed()
            return
        found = {JobId(item.key[len(prefix) :]): item for item in items}
        if prefix == JOB:
            # The others are read as well: they may come next, as those before these.
            for job, item in found.items():
                self._dependencies.learn_record(job, item)
        self._open += len(wanted)
        for job in wanted:
            got(job, found.get(job))
        self._request_over()
