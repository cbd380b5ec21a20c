"""The look at whether all jobs that a submission names were accepted."""

from collections.abc import Callable, Iterable
from enum import Enum
from functools import partial
from typing import TYPE_CHECKING

from eldercart.jobs.registry import END, JOB
from eldercart.server.store.client import FOR_ACCEPTING
from eldercart.units import ABSENT, JobId, Revision
from eldercart.wire import peers
from eldercart.wire.state import Txn

if TYPE_CHECKING:
    from eldercart.server.controller_node import Node
    from eldercart.server.users.dependencies import Dependencies

REQUESTS_AT_ONCE = 4  # of one check
# Requests of guards, beyond which ends are read by their prefix.
MANY_REQUESTS = 2
GUARD_BYTES = 48 * 1024  # of a transaction's 64 KiB
GUARD_ROOM = 30  # bytes that a guard takes beside its key
# Users wait 5 s for an acceptance, and the last request of a check may take 2 s itself.
READ_S = 1.5


class Accepted(Enum):
    """What a check found."""

    ALL = "all"  # every job was accepted
    NOT_ALL = "not all"  # one was not, as of a fresh read
    UNDETERMINED = "untold"  # no tokens, no answer, no time


class AcceptanceCheck:
    """One look at whether all of some jobs were accepted.

    What is known here comes first, then what the leader knows, then the state service. That a
    job was never accepted is told only by a transaction whose guards on its keys all held.
    """

    def __init__(
        self,
        node: "Node",
        dependencies: "Dependencies",
        jobs: Iterable[JobId],
        done: Callable[[Accepted], None],
    ) -> None:
        """`done` is called once, perhaps before `begin` returns."""
        self._node = node
        self._dependencies = dependencies
        self._left = self._unknown(jobs)
        self._done: Callable[[Accepted], None] | None = done
        self._until = node.clock() + READ_S
        self._open = 0  # requests under way
        self._failed = False

    def begin(self) -> None:
        """Asks the leader, who knows nearly all that still runs and takes no token."""
        if not self._left or self._node.leader_service.controller is not None:
            self._read_ends()
            return
        asked, self._open = self._left, 1
        for job in asked:
            self._open += 1
            if not self._node.relay_service.questions.poll(job, partial(self._got_told, job)):
                self._open -= 1
                break
        self._leader_answered()

    def _unknown(self, jobs: Iterable[JobId]) -> list[JobId]:
        return [job for job in jobs if not self._dependencies.was_accepted(job)]

    def _got_told(self, job: JobId, told: peers.JobReply | None) -> None:
        if told is not None and told.verdict not in (peers.UNKNOWN, peers.NOT_LEADER):
            self._dependencies.accepted(job)
        self._leader_answered()

    def _leader_answered(self) -> None:
        self._open -= 1
        if self._open == 0:
            self._left = self._unknown(self._left)
            self._read_ends()

    def _read_ends(self) -> None:
        """Of many that neither this node nor the leader knows most are over."""
        store = self._node.store
        if len(self._left) <= MANY_REQUESTS * self._jobs_per_request():
            self._send_guards()
        elif store.requests.available(self._node.clock(), FOR_ACCEPTING) < 1:
            self._finish(Accepted.UNDETERMINED)
        else:
            self._dependencies.read_ends(self._left, self._got_ends)

    def _got_ends(self, ends: dict[JobId, str] | None) -> None:
        if ends is None:
            self._finish(Accepted.UNDETERMINED)
        else:
            self._left = [job for job in self._left if job not in ends]
            self._send_guards()

    def _send_guards(self) -> None:
        """Sends what tokens and time allow; the rest follows as answers come."""
        while self._may_send():
            if not self._take_token():
                self._failed = not self._open
                break
            batch = self._next_batch()
            self._open += 1
            # One atomic read of both keys of each: at a job's end the one goes as the other comes.
            guards = {prefix + job: ABSENT for job in batch for prefix in (JOB, END)}
            self._node.store.txn(Txn(guards), partial(self._got_guards, batch))
        if self._open == 0 and (self._failed or not self._left):
            self._finish(Accepted.UNDETERMINED if self._failed else Accepted.ALL)

    def _may_send(self) -> bool:
        return (
            self._done is not None
            and bool(self._left)
            and not self._failed
            and self._open < REQUESTS_AT_ONCE
        )

    def _take_token(self) -> bool:
        now = self._node.clock()
        return now <= self._until and self._node.store.requests.take(now, 1, FOR_ACCEPTING)

    def _jobs_per_request(self) -> int:
        """Four guards are allowed for each change, and a job takes two."""
        return 2 * self._node.settings.txn_ops

    def _next_batch(self) -> list[JobId]:
        batch: list[JobId] = []
        size = 0
        while self._left and len(batch) < self._jobs_per_request():
            size += 2 * (len(self._left[-1]) + GUARD_ROOM)
            if size > GUARD_BYTES:
                break
            batch.append(self._left.pop())
        return batch

    def _got_guards(
        self, batch: list[JobId], status: int | None, _: Revision, failed: tuple[str, ...]
    ) -> None:
        self._open -= 1
        if status == 200:
            # All guards held: none of them was ever accepted.
            self._finish(Accepted.NOT_ALL)
            return
        there = set(failed) if status == 409 else set()
        rest = [job for job in batch if JOB + job not in there and END + job not in there]
        for job in set(batch).difference(rest):
            self._dependencies.accepted(job)
        # That these are missing only a transaction tells whose guards all hold.
        self._left += rest
        self._failed = self._failed or len(rest) == len(batch)
        self._send_guards()

    def _finish(self, accepted: Accepted) -> None:
        done, self._done = self._done, None
        if done is not None:
            done(accepted)
