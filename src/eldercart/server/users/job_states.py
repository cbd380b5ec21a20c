"""Looks up the state of a job: in this node's caches, at the leader, or in the state service."""

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from eldercart.jobs.job_records import JobRecordSource
from eldercart.server.http.replies import RETRY_AFTER_S, SHORT_RETRY_AFTER_S
from eldercart.server.store.client import RESERVE_POLLS
from eldercart.server.users.ancestor_search import AncestorSearchResult
from eldercart.server.users.dependencies import DependencyResolver
from eldercart.server.users.lookup_context import LookupContext
from eldercart.server.users.recent_cache import JobOutcomeCache
from eldercart.units import JobId
from eldercart.wire import peers, users
from eldercart.wire.state import Item
from eldercart.wire.stored_jobs import END_PREFIX, JOB_PREFIX, decode_end_record

STATE_READ_REQUESTS = 2  # one fresh read takes two: the job's record and its outcome


class JobStateFound(NamedTuple):
    """The job was accepted. `reply` contains its state."""

    reply: peers.JobReply


class JobNotFound:
    """The job was never accepted, as of a fresh read."""


class JobStateUnavailable(NamedTuple):
    """The state can't be determined now; a retry is possible after `retry_after_s`."""

    retry_after_s: int


JobStateResult = JobStateFound | JobNotFound | JobStateUnavailable
JobStateCallback = Callable[[JobStateResult], None]


class JobStateReader:
    """Looks up the states of jobs, for polls, submissions and the leader."""

    def __init__(
        self,
        context: LookupContext,
        outcomes: JobOutcomeCache,
        dependency_resolver: DependencyResolver,
    ) -> None:
        """Add the outcomes and acceptances that are found to the two caches."""
        self.context = context
        self.outcomes = outcomes
        self.dependency_resolver = dependency_resolver

    def query(self, job: JobId, on_result: JobStateCallback) -> None:
        """Look the state up in the cache, at the leader, and last in the state service.

        Only a read from the state service takes rate-limit tokens.

        `on_result` is called once, possibly before this returns.
        """
        leader = self.context.leader
        outcome = self.outcomes.get(job)
        if outcome is not None:
            on_result(JobStateFound(_reply_without_counts(outcome)))
        elif leader.scheduler is not None:
            self._on_leader_reply(job, on_result, leader.user_answers.job_reply(0, job))
        elif not self.context.leader_client.poll(
            job, partial(self._on_leader_reply, job, on_result)
        ):
            self.read(job, on_result)

    def _on_leader_reply(
        self, job: JobId, on_result: JobStateCallback, reply: peers.JobReply | None
    ) -> None:
        if reply is None or reply.state in (peers.NOT_LEADER, peers.UNKNOWN):
            self.read(job, on_result)
        elif reply.state == peers.UNDECIDED:
            # The job's outcome is being written.
            on_result(JobStateUnavailable(SHORT_RETRY_AFTER_S))
        else:
            self.dependency_resolver.record_accepted(job)
            if reply.state in (users.DONE, users.CANCELLED):
                self.outcomes.put(job, reply.state)
            on_result(JobStateFound(reply))

    def read(self, job: JobId, on_result: JobStateCallback) -> None:
        """Read the state from the state service."""
        _JobStateRead(self, job, on_result).begin()


class _JobStateRead:
    """One fresh read of a job's state: first its record, then its outcome.

    When a job ends, one transaction deletes the record and writes the outcome. In this order, the
    reads can't miss both.

    A job without an outcome may already have been reported as cancelled: as soon as the outcome of
    a cancelled job is durable, the leader reports all of its descendants as cancelled. So the
    ancestors are searched as well.

    The ancestors' outcomes may be read after the job's own. All reads begin after the request
    arrived, so they see every outcome that was durable when an earlier answer was given. A job
    with a cancelled ancestor can never be done, since a job is done only after all of its ancestors
    are, and outcomes never change.
    """

    def __init__(self, job_states: JobStateReader, job: JobId, on_result: JobStateCallback) -> None:
        self._outcomes = job_states.outcomes
        self._dependency_resolver = job_states.dependency_resolver
        self._context = job_states.context
        self._job = job
        self._on_result = on_result
        self._record: Item | None = None

    def begin(self) -> None:
        """Start the read; it fails at once if there are too few rate-limit tokens."""
        store = self._context.store
        if store.requests.available(self._context.clock(), RESERVE_POLLS) < STATE_READ_REQUESTS:
            self._fail()
        else:
            store.get(JOB_PREFIX + self._job, self._on_record)

    def _on_record(self, succeeded: bool, record: Item | None) -> None:
        if not succeeded:
            self._fail()
            return
        self._record = record
        if record is not None:
            self._dependency_resolver.record_accepted(self._job)
            self._context.leader.job_record_watch.add_record(record, JobRecordSource.READ)
        self._context.store.get(END_PREFIX + self._job, self._on_outcome)

    def _on_outcome(self, succeeded: bool, outcome_record: Item | None) -> None:
        if not succeeded:
            self._fail()
        elif outcome_record is not None:
            outcome = decode_end_record(outcome_record.value)
            self._outcomes.put(self._job, outcome)
            self._finish(outcome)
        elif self._record is not None:
            self._dependency_resolver.read_dependencies(self._record, self._on_dependencies)
        else:
            self._on_result(JobNotFound())

    def _on_dependencies(self, dependencies: tuple[JobId, ...] | None) -> None:
        if dependencies is None:
            self._fail()
        elif dependencies:
            self._dependency_resolver.search_ancestors(dependencies, self._on_ancestors)
        else:
            self._finish(users.PENDING)

    def _on_ancestors(self, result: AncestorSearchResult) -> None:
        match result:
            case AncestorSearchResult.INDETERMINATE:
                self._fail()
            case AncestorSearchResult.CANCELLED:
                self._finish(users.CANCELLED)
            case AncestorSearchResult.NOT_CANCELLED:
                self._finish(users.PENDING)

    def _finish(self, state: str) -> None:
        self._on_result(JobStateFound(_reply_without_counts(state)))

    def _fail(self) -> None:
        self._on_result(JobStateUnavailable(RETRY_AFTER_S))


def _reply_without_counts(state: str) -> peers.JobReply:
    return peers.JobReply(request_id=0, state=state, done_count=0, running_count=0)
