"""What a node must find out about the jobs that another job awaits.

Two questions are put to the state service, each of them in few requests, since a job may name
thousands and pipelines may be long: were all these jobs accepted, and was one of those before this
job cancelled? Each answer that can't change is kept, so that a repeat starts where the last try
ran out of tokens or of time.
"""

import secrets
from collections import OrderedDict
from collections.abc import Callable, Iterable
from enum import Enum
from functools import partial
from itertools import takewhile
from typing import TYPE_CHECKING, Generic, TypeVar

from eldercart.core.jobs import (
    END,
    JOB,
    end_of,
    list_reference,
    needs_parts,
    needs_prefix,
    resolve,
)
from eldercart.net.store import FOR_ACCEPTING, FOR_POLLS
from eldercart.units import ABSENT, JobId, Revision, Steady
from eldercart.wire import Malformed, peers, users
from eldercart.wire.state import Item, Put, Txn
from eldercart.wire.users import JobSpec, ListReference

if TYPE_CHECKING:
    from eldercart.net.node import Node

V = TypeVar("V")

AT_ONCE = 4  # requests of one check under way
MANY = 2  # requests of guards, beyond which ends are read by their prefix
ONE_BY_ONE = 8  # records read by themselves; more are read by their prefix
DEEP = 4  # jobs in a row, after which all open ones are read: a request for each takes too long
GUARD_BYTES = 48 * 1024  # of a transaction's 64 KiB
GUARD_ROOM = 30  # what a guard takes beside its key
TXN_BYTES = 56 * 1024
# Users wait 5 s for an acceptance and 2 s for a poll. A request may take 2 s itself.
READ_S, WRITE_S, WALK_S = 1.5, 2.5, 1.2
UNDER_WAY = 64  # lists partly written that are kept for their users' next tries


class Known(Enum):
    ALL = "all"  # every job was accepted
    NOT_ALL = "not all"  # one was not, as of a fresh read
    UNTOLD = "untold"  # no tokens, no answer, no time


class Recent(Generic[V]):
    """The newest facts, up to a weight."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._weight = 0
        self._facts: OrderedDict[JobId, tuple[V, int]] = OrderedDict()

    def get(self, job: JobId) -> V | None:
        fact = self._facts.get(job)
        if fact is None:
            return None
        self._facts.move_to_end(job)
        return fact[0]

    def keep(self, job: JobId, value: V, weight: int = 1) -> None:
        old = self._facts.pop(job, None)
        self._weight += weight - (0 if old is None else old[1])
        self._facts[job] = (value, weight)
        while self._weight > self._most and len(self._facts) > 1:
            _, (_, gone) = self._facts.popitem(last=False)
            self._weight -= gone


class Dependencies:
    """Owns what this node knows of jobs that others await."""

    def __init__(self, node: "Node") -> None:
        self.node = node
        most = node.tuning.final_cache
        self._accepted: Recent[bool] = Recent(most)
        self.needs: Recent[tuple[JobId, ...]] = Recent(most)  # never change once accepted
        self._lists: OrderedDict[JobId, _List] = OrderedDict()

    # -- acceptance

    def accepted(self, job: JobId) -> None:
        self._accepted.keep(job, True)

    def was_accepted(self, job: JobId) -> bool:
        """Whether it is known here; an acceptance is never taken back."""
        if self.node.front.final_of(job) is not None or self._accepted.get(job):
            return True
        c = self.node.leading.controller
        return c is not None and job in c.jobs

    def check(self, jobs: Iterable[JobId], done: Callable[[Known], None]) -> None:
        _Check(self.node, self, jobs, done).begin()

    # -- lists too long for their job's record

    def fits(self, spec: JobSpec) -> bool:
        """Whether the job's record takes its list."""
        return not needs_parts(spec.dependencies, self.node.settings.value_bytes)

    def write_list(
        self, spec: JobSpec, until: Steady, done: Callable[[ListReference | None], None]
    ) -> None:
        """`done(where)` once the list is durable; None if it can't be written now."""
        started = self._lists.pop(spec.id, None)
        if started is None or started.dependencies != spec.dependencies or started.under_way:
            parts = needs_parts(spec.dependencies, self.node.settings.value_bytes)
            started = _List(self.node, spec, parts)
        self._lists[spec.id] = started
        while len(self._lists) > UNDER_WAY:
            self._lists.popitem(last=False)
        started.write(until, done)

    def forget_list(self, job: JobId) -> None:
        """The job's record is there. As long as that is not sure the next try may use the same
        list: whichever of their records comes first, its guards keep the others out, and so does
        the job's end."""
        self._lists.pop(job, None)

    # -- ends of many jobs

    def read_ends(
        self, jobs: Iterable[JobId], done: Callable[[dict[JobId, str] | None], None]
    ) -> None:
        """How those jobs ended that did, and more of them: what is read is kept as known. It is
        one request for each thousand ends that begin alike, where guards would take one for each
        few jobs."""
        front = self.node.front

        def got(items: list[Item] | None, _: Revision) -> None:
            if items is None:
                done(None)
                return
            ends = {JobId(item.key[len(END) :]): end_of(item.value) for item in items}
            for job, how in ends.items():
                front.final(job, how)
            done(ends)

        self.node.store.range(END + _common(jobs), got)

    # -- cancelled ancestors

    def read(self, item: Item, done: Callable[[tuple[JobId, ...] | None], None]) -> None:
        """The dependencies of the job with this record; None if they can't be told now."""
        job = JobId(item.key[len(JOB) :])
        known = self.needs.get(job)
        if known is not None:
            done(known)
            return

        def got(lists: list[Item] | None, _: Revision) -> None:
            whole = None if lists is None else resolve(job, item, lists)
            done(None if whole is None else self.learn(job, whole))

        try:
            reference = list_reference(item.value)
        except Malformed:
            done(None)
            return
        if reference is None:
            done(self.learn(job, item))
        else:
            self.node.store.range(needs_prefix(job, reference), got)

    def learn(self, job: JobId, item: Item) -> tuple[JobId, ...] | None:
        """From a record that holds its list. One that can't be read awaits nobody knows whom."""
        try:
            record = item.value.get("s") if isinstance(item.value, dict) else None
            names = users.dependencies_from_record(record)
        except Malformed:
            return None
        self.learn_names(job, names)
        return names

    def learn_names(self, job: JobId, names: tuple[JobId, ...]) -> None:
        """What an accepted job awaits; it never changes."""
        self.needs.keep(job, names, 1 + len(names))

    def cancelled_before(
        self, jobs: tuple[JobId, ...], done: Callable[[bool | None], None]
    ) -> None:
        """Whether one of the jobs, or one before them, has a durable cancellation; None: nobody
        can tell now."""
        _Walk(self.node, self, jobs, done).step()


def _common(jobs: Iterable[JobId]) -> str:
    """What all names begin with. The first and the last share what all between them share."""
    names = list(jobs)
    pairs = zip(min(names), max(names), strict=False)
    return "".join(a for a, _ in takewhile(lambda pair: pair[0] == pair[1], pairs))


class _Check:
    """One look at whether all of some jobs were accepted."""

    def __init__(
        self,
        node: "Node",
        book: Dependencies,
        jobs: Iterable[JobId],
        done: Callable[[Known], None],
    ) -> None:
        self._node = node
        self._book = book
        self._left = [job for job in jobs if not book.was_accepted(job)]
        self._done: Callable[[Known], None] | None = done
        self._until = node.clock() + READ_S
        self._open = 0
        self._failed = False

    def begin(self) -> None:
        if not self._left or self._node.leading.controller is not None:
            self._read_ends()
            return
        # The leader knows nearly all that still runs, and is asked without a token.
        asked, self._open = self._left, 1
        for job in asked:
            self._open += 1
            if not self._node.relaying.poll(job, partial(self._told, job)):
                self._open -= 1
                break
        self._answered()

    def _told(self, job: JobId, told: peers.Told | None) -> None:
        if told is not None and told.verdict not in (peers.UNKNOWN, peers.NOT_LEADER):
            self._book.accepted(job)
        self._answered()

    def _answered(self) -> None:
        self._open -= 1
        if self._open == 0:
            self._left = [job for job in self._left if not self._book.was_accepted(job)]
            self._read_ends()

    def _read_ends(self) -> None:
        """Of many that neither this node nor the leader knows most are over."""
        store = self._node.store
        if len(self._left) <= MANY * 2 * self._node.settings.txn_ops:
            self._read()
        elif store.requests.available(self._node.clock(), FOR_ACCEPTING) < 1:
            self._finish(Known.UNTOLD)
        else:
            self._book.read_ends(self._left, self._got_range)

    def _got_range(self, ends: dict[JobId, str] | None) -> None:
        if ends is None:
            self._finish(Known.UNTOLD)
        else:
            self._left = [job for job in self._left if job not in ends]
            self._read()

    def _read(self) -> None:
        """Sends what tokens and time allow; the rest follows as answers come."""
        store = self._node.store
        while self._done is not None and self._left and not self._failed and self._open < AT_ONCE:
            now = self._node.clock()
            if now > self._until or not store.requests.take(now, 1, FOR_ACCEPTING):
                self._failed = not self._open
                break
            batch = self._next_batch()
            self._open += 1
            # One atomic read of both keys of each: at a job's end the one goes as the other comes.
            guards = {prefix + job: ABSENT for job in batch for prefix in (JOB, END)}
            store.txn(Txn(guards), partial(self._got, batch))
        if self._open == 0 and (self._failed or not self._left):
            self._finish(Known.UNTOLD if self._failed else Known.ALL)

    def _next_batch(self) -> list[JobId]:
        batch: list[JobId] = []
        size = 0
        while self._left and len(batch) < 2 * self._node.settings.txn_ops:
            size += 2 * (len(self._left[-1]) + GUARD_ROOM)
            if size > GUARD_BYTES:
                break
            batch.append(self._left.pop())
        return batch

    def _got(
        self, batch: list[JobId], status: int | None, _: Revision, failed: tuple[str, ...]
    ) -> None:
        self._open -= 1
        if status == 200:
            # All guards held: none of them was ever accepted.
            self._finish(Known.NOT_ALL)
            return
        there = set(failed) if status == 409 else set()
        rest = [job for job in batch if JOB + job not in there and END + job not in there]
        for job in set(batch).difference(rest):
            self._book.accepted(job)
        # That these are missing only a transaction tells whose guards all hold.
        self._left += rest
        self._failed = self._failed or len(rest) == len(batch)
        self._read()

    def _finish(self, known: Known) -> None:
        done, self._done = self._done, None
        if done is not None:
            done(known)


class _List:
    """One list of dependencies on its way to the store, under keys of its own."""

    def __init__(self, node: "Node", spec: JobSpec, parts: list[list[JobId]]) -> None:
        self.dependencies = spec.dependencies
        self.under_way = False
        self._node = node
        self._where = ListReference(secrets.token_hex(6), len(parts))
        prefix = needs_prefix(spec.id, self._where)
        self._todo = {f"{prefix}{i}": part for i, part in enumerate(parts)}

    def write(self, until: Steady, done: Callable[[ListReference | None], None]) -> None:
        store = self._node.store
        now = self._node.clock()
        if not self._todo:
            done(self._where)
            return
        # One change is left to the job's record.
        ops = min(self._node.settings.txn_ops, store.writes.available(now, FOR_ACCEPTING) - 1)
        if now > until or ops < 1 or not store.requests.take(now, 1, FOR_ACCEPTING):
            done(None)
            return
        txn = Txn()
        size = 0
        for key, part in self._todo.items():
            size += 3 * len(key) + sum(len(job) + 3 for job in part) + 60
            if len(txn.writes) >= ops or (txn.writes and size > TXN_BYTES):
                break
            txn.guards[key] = ABSENT
            txn.writes.append(Put(key, part))
        store.writes.force(now, len(txn.writes))
        self.under_way = True

        def got(status: int | None, revision: Revision, failed: tuple[str, ...]) -> None:
            self.under_way = False
            # Nobody else writes these keys: what is there is from an earlier try, and the same.
            written = tuple(txn.guards) if status == 200 else failed if status == 409 else ()
            for key in written:
                self._todo.pop(key, None)
            if written:
                self.write(until, done)
            else:
                done(None)

        store.txn(txn, got)


class _Walk:
    """One search upward for a cancelled job, by turns of reads side by side."""

    def __init__(
        self,
        node: "Node",
        book: Dependencies,
        jobs: tuple[JobId, ...],
        done: Callable[[bool | None], None],
    ) -> None:
        self._node = node
        self._book = book
        self._done = done
        self._until = node.clock() + WALK_S
        self._seen: set[JobId] = set()
        self._new = list(jobs)
        self._unchecked: list[JobId] = []  # whether they have ended is not known
        self._ended: list[JobId] = []  # how is not known
        self._unread: list[JobId] = []  # open, and whom they await is not known
        self._open = 0
        self._turns = 0  # in which job records were read
        self._failed = False
        self._cancelled = False

    def step(self) -> None:
        """The next turn. Each ends before the next begins, however deep the jobs lie."""
        self._expand()
        if self._cancelled:
            self._done(True)
        elif self._failed:
            self._done(None)
        elif self._unchecked:
            self._check_ends()
        elif self._ended:
            self._read(self._ended, END, self._got_end)
        elif self._unread:
            self._read(self._unread, JOB, self._got_job)
        else:
            self._done(False)

    def _expand(self) -> None:
        """What is known here. A job that is done ends the way: all before it are done."""
        while self._new:
            job = self._new.pop()
            if job in self._seen:
                continue
            self._seen.add(job)
            how = self._node.front.final_of(job)
            if how is None:
                self._unchecked.append(job)
                self._new += self._book.needs.get(job) or ()
            elif how == users.CANCELLED:
                self._cancelled = True

    def _may(self, wanted: int) -> int:
        """How many requests may go out now; without any the walk is over."""
        now = self._node.clock()
        allowed = self._node.store.requests.available(now, FOR_POLLS)
        number = 0 if now > self._until else min(wanted, allowed)
        self._open = max(0, number)
        if number < 1:
            self._done(None)
        return number

    def _over(self) -> None:
        self._open -= 1
        if self._open == 0:
            self.step()

    def _check_ends(self) -> None:
        most = max(1, min(4 * self._node.settings.txn_ops, GUARD_BYTES // 120))
        wanted = -(-len(self._unchecked) // most)
        if wanted > MANY:
            if self._may(1) > 0:
                batch, self._unchecked = self._unchecked, []
                self._book.read_ends(batch, partial(self._got_all_ends, batch))
            return
        for _ in range(self._may(wanted)):
            batch, self._unchecked = self._unchecked[:most], self._unchecked[most:]
            guards = {END + job: ABSENT for job in batch}
            self._node.store.requests.force(self._node.clock())
            self._node.store.txn(Txn(guards), partial(self._got_ends, batch))

    def _got_all_ends(self, batch: list[JobId], ends: dict[JobId, str] | None) -> None:
        if ends is None:
            self._failed = True
        else:
            for job in batch:
                if job not in ends:
                    self._is_open(job)
                elif ends[job] == users.CANCELLED:
                    self._cancelled = True
        self._over()

    def _is_open(self, job: JobId) -> None:
        needs = self._book.needs.get(job)
        if needs is None:
            self._unread.append(job)
        else:
            self._new += needs  # known by now, if it was not when the way came here

    def _got_ends(
        self, batch: list[JobId], status: int | None, _: Revision, failed: tuple[str, ...]
    ) -> None:
        if status in (200, 409):
            there = set(failed)
            for job in batch:
                if END + job in there:
                    self._ended.append(job)
                else:
                    self._is_open(job)
        else:
            self._failed = True
        self._over()

    def _read(
        self, jobs: list[JobId], prefix: str, got: Callable[[JobId, Item | None], None]
    ) -> None:
        store = self._node.store
        deep = prefix == JOB and self._turns >= DEEP
        self._turns += prefix == JOB
        if len(jobs) > ONE_BY_ONE or deep:
            if self._may(1) > 0:
                wanted = set(jobs)
                jobs.clear()
                store.range(
                    prefix + ("" if deep else _common(wanted)),
                    lambda items, _: self._got_range(wanted, prefix, items, got),
                )
            return
        for _ in range(self._may(len(jobs))):
            job = jobs.pop()
            store.get(prefix + job, partial(self._got_one, job, got))

    def _got_one(
        self, job: JobId, got: Callable[[JobId, Item | None], None], ok: bool, item: Item | None
    ) -> None:
        if ok:
            got(job, item)
        else:
            self._failed = True
            self._over()

    def _got_range(
        self,
        wanted: set[JobId],
        prefix: str,
        items: list[Item] | None,
        got: Callable[[JobId, Item | None], None],
    ) -> None:
        if items is None:
            self._failed = True
            self._over()
            return
        found = {item.key[len(prefix) :]: item for item in items}
        if prefix == JOB:
            # The others are read as well: they may come next, as those before these.
            for name, item in found.items():
                self._book.learn(JobId(name), item)
        self._open += len(wanted)
        for job in wanted:
            got(job, found.get(job))
        self._over()

    def _got_end(self, job: JobId, item: Item | None) -> None:
        if item is None:
            self._failed = True  # ends never go: this read is older than the one before
        else:
            how = end_of(item.value)
            self._node.front.final(job, how)
            self._cancelled = self._cancelled or how == users.CANCELLED
        self._over()

    def _got_job(self, job: JobId, item: Item | None) -> None:
        if item is None:
            self._ended.append(job)  # its record went with its end, or after it
            self._over()
            return

        def read(needs: tuple[JobId, ...] | None) -> None:
            if needs is None:
                self._failed = True
            else:
                self._new += needs
            self._over()

        self._book.read(item, read)


__all__ = ["Dependencies", "Known"]
