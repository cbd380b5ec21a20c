"""The look at whether all jobs that a submission names were accepted."""

from collections.abc import Callable, Iterable
from enum import Enum
from functools import partial
from typing import TYPE_CHECKING

from eldercart.server.store.client import RESERVE_ADMISSION
from eldercart.units import ABSENT_REVISION, JobId, Revision
from eldercart.wire import peers
from eldercart.wire.state import Transaction
from eldercart.wire.stored_jobs import END_PREFIX, JOB_PREFIX

if TYPE_CHECKING:
    from eldercart.server.controller_node import ControllerNode
    from eldercart.server.users.dependencies import DependencyResolver

MAX_REQUESTS_IN_FLIGHT = 4  # of one check
# Requests of guards, beyond which ends are read by their prefix.
MAX_CONDITION_REQUESTS = 2
MAX_CONDITION_BYTES = 48 * 1024  # of a transaction's 64 KiB
CONDITION_OVERHEAD_BYTES = 30  # bytes that a guard takes beside its key
# Users wait 5 s for an acceptance, and the last request of a check may take 2 s itself.
READ_TIMEOUT_S = 1.5


class AcceptanceResult(Enum):
    """What a check found."""

    ALL_ACCEPTED = "all"  # every job was accepted
    NOT_ALL_ACCEPTED = "not all"  # one was not, as of a fresh read
    INDETERMINATE = "untold"  # no tokens, no answer, no time


class AcceptanceCheck:
    """One look at whether all of some jobs were accepted.

    What is known here comes first, then what the leader knows, then the state service. That a
    job was never accepted is told only by a transaction whose guards on its keys all held.
    """

    def __init__(
        self,
        node: "ControllerNode",
        dependency_resolver: "DependencyResolver",
        jobs: Iterable[JobId],
        on_result: Callable[[AcceptanceResult], None],
    ) -> None:
        """`done` is called once, perhaps before `begin` returns."""
        self._node = node
        self._dependency_resolver = dependency_resolver
        self._remaining = self._not_known_accepted(jobs)
        self._on_result: Callable[[AcceptanceResult], None] | None = on_result
        self._deadline_at = node.clock() + READ_TIMEOUT_S
        self._requests_in_flight = 0  # requests under way
        self._has_failed = False

    def begin(self) -> None:
        """Asks the leader, who knows nearly all that still runs and takes no token."""
        if not self._remaining or self._node.leader_service.scheduler is not None:
            self._read_outcomes()
            return
        asked, self._requests_in_flight = self._remaining, 1
        for job in asked:
            self._requests_in_flight += 1
            if not self._node.relay_service.leader_client.poll(
                job, partial(self._on_leader_reply, job)
            ):
                self._requests_in_flight -= 1
                break
        self._on_poll_finished()

    def _not_known_accepted(self, jobs: Iterable[JobId]) -> list[JobId]:
        return [job for job in jobs if not self._dependency_resolver.is_accepted(job)]

    def _on_leader_reply(self, job: JobId, reply: peers.JobReply | None) -> None:
        if reply is not None and reply.state not in (peers.UNKNOWN, peers.NOT_LEADER):
            self._dependency_resolver.record_accepted(job)
        self._on_poll_finished()

    def _on_poll_finished(self) -> None:
        self._requests_in_flight -= 1
        if self._requests_in_flight == 0:
            self._remaining = self._not_known_accepted(self._remaining)
            self._read_outcomes()

    def _read_outcomes(self) -> None:
        """Of many that neither this node nor the leader knows most are over."""
        store = self._node.store
        if len(self._remaining) <= MAX_CONDITION_REQUESTS * self._jobs_per_request():
            self._send_condition_checks()
        elif store.requests.available(self._node.clock(), RESERVE_ADMISSION) < 1:
            self._finish(AcceptanceResult.INDETERMINATE)
        else:
            self._dependency_resolver.read_outcomes(self._remaining, self._on_outcomes)

    def _on_outcomes(self, outcomes: dict[JobId, str] | None) -> None:
        if outcomes is None:
            self._finish(AcceptanceResult.INDETERMINATE)
        else:
            self._remaining = [job for job in self._remaining if job not in outcomes]
            self._send_condition_checks()

    def _send_condition_checks(self) -> None:
        """Sends what tokens and time allow; the rest follows as answers come."""
        while self._may_send():
            if not self._take_token():
                self._has_failed = not self._requests_in_flight
                break
            batch = self._next_batch()
            self._requests_in_flight += 1
            # One atomic read of both keys of each: at a job's end the one goes as the other comes.
            guards = {
                prefix + job: ABSENT_REVISION
                for job in batch
                for prefix in (JOB_PREFIX, END_PREFIX)
            }
            self._node.store.commit(
                Transaction(guards), partial(self._on_conditions_checked, batch)
            )
        if self._requests_in_flight == 0 and (self._has_failed or not self._remaining):
            self._finish(
                AcceptanceResult.INDETERMINATE
                if self._has_failed
                else AcceptanceResult.ALL_ACCEPTED
            )

    def _may_send(self) -> bool:
        return (
            self._on_result is not None
            and bool(self._remaining)
            and not self._has_failed
            and self._requests_in_flight < MAX_REQUESTS_IN_FLIGHT
        )

    def _take_token(self) -> bool:
        now = self._node.clock()
        return now <= self._deadline_at and self._node.store.requests.try_take(
            now, 1, RESERVE_ADMISSION
        )

    def _jobs_per_request(self) -> int:
        """Four guards are allowed for each change, and a job takes two."""
        return 2 * self._node.settings.txn_ops

    def _next_batch(self) -> list[JobId]:
        batch: list[JobId] = []
        size = 0
        while self._remaining and len(batch) < self._jobs_per_request():
            size += 2 * (len(self._remaining[-1]) + CONDITION_OVERHEAD_BYTES)
            if size > MAX_CONDITION_BYTES:
                break
            batch.append(self._remaining.pop())
        return batch

    def _on_conditions_checked(
        self, batch: list[JobId], status: int | None, _: Revision, failed: tuple[str, ...]
    ) -> None:
        self._requests_in_flight -= 1
        if status == 200:
            # All guards held: none of them was ever accepted.
            self._finish(AcceptanceResult.NOT_ALL_ACCEPTED)
            return
        there = set(failed) if status == 409 else set()
        rest = [
            job for job in batch if JOB_PREFIX + job not in there and END_PREFIX + job not in there
        ]
        for job in set(batch).difference(rest):
            self._dependency_resolver.record_accepted(job)
        # That these are missing only a transaction tells whose guards all hold.
        self._remaining += rest
        self._has_failed = self._has_failed or len(rest) == len(batch)
        self._send_condition_checks()

    def _finish(self, result: AcceptanceResult) -> None:
        done, self._on_result = self._on_result, None
        if done is not None:
            done(result)
