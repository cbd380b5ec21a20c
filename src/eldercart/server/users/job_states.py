"""The state of a job: from this node's caches, from the leader, or by a fresh read."""

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

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

STATE_READ_REQUESTS = 2  # that a fresh read takes: the job's record and its outcome


class JobStateFound(NamedTuple):
    """The job was accepted; its state is in the reply."""

    reply: peers.JobReply


class JobNotFound:
    """The job was never accepted, as of a fresh read."""


class JobStateUnavailable(NamedTuple):
    """The state can't be told now."""

    retry_after_s: int


JobStateResult = JobStateFound | JobNotFound | JobStateUnavailable
JobStateCallback = Callable[[JobStateResult], None]


class JobStateReader:
    """Answers what state a job is in."""

    def __init__(
        self,
        context: LookupContext,
        outcomes: JobOutcomeCache,
        dependency_resolver: DependencyResolver,
    ) -> None:
        """Outcomes and acceptances that are found are added to the two caches."""
        self.context = context
        self.outcomes = outcomes
        self.dependency_resolver = dependency_resolver

    def query(self, job: JobId, on_result: JobStateCallback) -> None:
        """Ask the leader, which takes no token; what it does not know is read afresh.

        `on_result` is called once, perhaps before this returns.
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
            # Its outcome is being written.
            on_result(JobStateUnavailable(SHORT_RETRY_AFTER_S))
        else:
            self.dependency_resolver.record_accepted(job)
            if reply.state in (users.DONE, users.CANCELLED):
                self.outcomes.put(job, reply.state)
            on_result(JobStateFound(reply))

    def read(self, job: JobId, on_result: JobStateCallback) -> None:
        """Read the state afresh from the state service."""
        _JobStateRead(self, job, on_result).begin()


class _JobStateRead:
    """One fresh read: first the job's record, then its outcome.

    This order misses neither: when a job ends, one transaction deletes the record and writes the
    outcome.

    A job without an outcome may have been reported as cancelled all the same: the leader reports
    that of all jobs downstream of a cancelled one as soon as the cancelled job's own outcome is
    durable. So the ancestors are searched. Their outcomes may be read after this job's: each of
    these reads begins after the question came, so an outcome that was durable when anybody was
    told is seen. And when a cancelled ancestor is found, this job can't be done, now or later: a
    job is done only after all of its ancestors are, and an outcome never changes.
    """

    def __init__(self, job_states: JobStateReader, job: JobId, on_result: JobStateCallback) -> None:
        self._outcomes = job_states.outcomes
        self._dependency_resolver = job_states.dependency_resolver
        self._context = job_states.context
        self._job = job
        self._on_result = on_result
        self._record: Item | None = None

    def begin(self) -> None:
        """Start the read; without tokens it fails at once."""
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
            self._context.leader.job_record_watch.add_record(record)
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
