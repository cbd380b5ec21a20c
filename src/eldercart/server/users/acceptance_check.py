"""Checks whether all dependencies of a submitted job were accepted."""

from collections.abc import Callable, Iterable
from enum import Enum, auto
from functools import partial
from typing import Protocol

from eldercart.server.store.client import RESERVE_ADMISSION
from eldercart.server.users.condition_limits import (
    CONDITIONS_PER_OPERATION,
    MAX_CONDITION_BYTES,
    MAX_CONDITION_REQUESTS,
)
from eldercart.server.users.lookup_context import LookupContext
from eldercart.units import ABSENT_REVISION, JobId, Revision
from eldercart.wire import peers
from eldercart.wire.state import Transaction
from eldercart.wire.stored_jobs import END_PREFIX, JOB_PREFIX

MAX_REQUESTS_IN_FLIGHT = 4  # concurrent requests of one check
CONDITION_OVERHEAD_BYTES = 30  # size of a condition without its key
KEYS_PER_JOB = 2  # the keys of the record and of the outcome
# Users wait 5 s for an acceptance, and the last request of a check may itself take 2 s.
CHECK_TIMEOUT_S = 1.5


class AcceptanceResult(Enum):
    """The result of a check."""

    ALL_ACCEPTED = auto()
    NOT_ALL_ACCEPTED = auto()  # a fresh read proves that a job was never accepted
    INDETERMINATE = auto()  # out of rate-limit tokens or time, or a request failed


class AcceptanceCache(Protocol):
    """Cache of accepted jobs, which a check reads and adds its findings to."""

    def is_accepted(self, job: JobId, /) -> bool:
        """Return whether the job is known to have been accepted."""

    def record_accepted(self, job: JobId, /) -> None:
        """Add the job to the accepted ones."""

    def read_outcomes(
        self, jobs: Iterable[JobId], on_result: Callable[[dict[JobId, str] | None], None], /
    ) -> None:
        """Read the outcomes of those jobs that have ended; None if the read failed."""


class AcceptanceCheck:
    """One check of whether all of some jobs were accepted.

    The check asks this node's cache first, then the leader, then the state service. There it sends
    transactions whose conditions require the keys of the jobs to be absent. Only if all conditions
    of a transaction hold is it certain that its jobs were never accepted.
    """

    def __init__(
        self,
        context: LookupContext,
        cache: AcceptanceCache,
        jobs: Iterable[JobId],
        on_result: Callable[[AcceptanceResult], None],
    ) -> None:
        """Set up the check. `on_result` is called once, possibly before `begin` returns."""
        self._context = context
        self._cache = cache
        self._remaining = self._not_known_accepted(jobs)
        self._on_result: Callable[[AcceptanceResult], None] | None = on_result
        self._deadline_at = context.clock() + CHECK_TIMEOUT_S
        self._requests_in_flight = 0
        self._has_failed = False

    def begin(self) -> None:
        """Poll the leader, unless this node leads, before sending requests to the state service.

        The leader knows nearly all unfinished jobs, and polls take no rate-limit tokens.
        """
        if not self._remaining or self._context.leader.scheduler is not None:
            self._read_outcomes()
            return
        # Counts one more than the polls, so that early replies cannot complete this step before all
        # polls are sent.
        self._requests_in_flight = 1
        for job in self._remaining:
            self._requests_in_flight += 1
            if not self._context.leader_client.poll(job, partial(self._on_leader_reply, job)):
                self._requests_in_flight -= 1
                break
        self._on_poll_finished()

    def _not_known_accepted(self, jobs: Iterable[JobId]) -> list[JobId]:
        return [job for job in jobs if not self._cache.is_accepted(job)]

    def _on_leader_reply(self, job: JobId, reply: peers.JobReply | None) -> None:
        if reply is not None and reply.state not in (peers.UNKNOWN, peers.NOT_LEADER):
            self._cache.record_accepted(job)
        self._on_poll_finished()

    def _on_poll_finished(self) -> None:
        self._requests_in_flight -= 1
        if self._requests_in_flight == 0:
            self._remaining = self._not_known_accepted(self._remaining)
            self._read_outcomes()

    def _read_outcomes(self) -> None:
        """If many jobs remain, read outcomes by their common key prefix first.

        Most jobs that are unknown to both this node and the leader have ended.
        """
        requests = self._context.store.requests
        if len(self._remaining) <= MAX_CONDITION_REQUESTS * self._jobs_per_request():
            self._send_condition_checks()
        elif requests.available(self._context.clock(), RESERVE_ADMISSION) < 1:
            self._finish(AcceptanceResult.INDETERMINATE)
        else:
            self._cache.read_outcomes(self._remaining, self._on_outcomes)

    def _on_outcomes(self, outcomes: dict[JobId, str] | None) -> None:
        if outcomes is None:
            self._finish(AcceptanceResult.INDETERMINATE)
        else:
            self._remaining = [job for job in self._remaining if job not in outcomes]
            self._send_condition_checks()

    def _send_condition_checks(self) -> None:
        """Send as many transactions as tokens and time allow; responses trigger the next ones."""
        while self._may_send():
            if not self._take_token():
                # The response to a request in flight triggers another attempt.
                self._has_failed = not self._requests_in_flight
                break
            self._send_condition_check(self._next_batch())
        if self._requests_in_flight > 0:
            return
        if self._has_failed:
            self._finish(AcceptanceResult.INDETERMINATE)
        elif not self._remaining:
            self._finish(AcceptanceResult.ALL_ACCEPTED)

    def _send_condition_check(self, batch: list[JobId]) -> None:
        """Check atomically whether each job has a record or an outcome.

        When a job ends, one transaction deletes its record and writes its outcome. Two separate
        reads of these keys could therefore miss both.
        """
        self._requests_in_flight += 1
        conditions = {
            prefix + job: ABSENT_REVISION for job in batch for prefix in (JOB_PREFIX, END_PREFIX)
        }
        self._context.store.commit(
            Transaction(conditions), partial(self._on_conditions_checked, batch)
        )

    def _may_send(self) -> bool:
        return (
            self._on_result is not None
            and bool(self._remaining)
            and not self._has_failed
            and self._requests_in_flight < MAX_REQUESTS_IN_FLIGHT
        )

    def _take_token(self) -> bool:
        now = self._context.clock()
        return now <= self._deadline_at and self._context.store.requests.try_take(
            now, 1, RESERVE_ADMISSION
        )

    def _jobs_per_request(self) -> int:
        return CONDITIONS_PER_OPERATION // KEYS_PER_JOB * self._context.settings.txn_ops

    def _next_batch(self) -> list[JobId]:
        """Take as many remaining jobs as the conditions of one transaction can hold."""
        batch: list[JobId] = []
        size = 0
        while self._remaining and len(batch) < self._jobs_per_request():
            size += KEYS_PER_JOB * (len(self._remaining[-1]) + CONDITION_OVERHEAD_BYTES)
            if size > MAX_CONDITION_BYTES:
                break
            batch.append(self._remaining.pop())
        return batch

    def _on_conditions_checked(
        self,
        batch: list[JobId],
        status: int | None,
        _: Revision,
        failed_conditions: tuple[str, ...],
    ) -> None:
        self._requests_in_flight -= 1
        if status == 200:
            # All conditions held: none of these jobs was ever accepted.
            self._finish(AcceptanceResult.NOT_ALL_ACCEPTED)
            return
        present = set(failed_conditions) if status == 409 else set()
        missing = [
            job
            for job in batch
            if JOB_PREFIX + job not in present and END_PREFIX + job not in present
        ]
        for job in set(batch).difference(missing):
            self._cache.record_accepted(job)
        # Only a transaction whose conditions all hold proves that these jobs were never accepted,
        # so they are checked again.
        self._remaining += missing
        self._has_failed = self._has_failed or len(missing) == len(batch)
        self._send_condition_checks()

    def _finish(self, result: AcceptanceResult) -> None:
        on_result, self._on_result = self._on_result, None
        if on_result is not None:
            on_result(result)
