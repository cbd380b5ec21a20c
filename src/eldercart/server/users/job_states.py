"""The state of a job: from what is known at this node, from the leader, or by a fresh read."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from eldercart.server.http.replies import RETRY_AFTER_S, SHORT_RETRY_AFTER_S
from eldercart.server.store.client import RESERVE_POLLS
from eldercart.server.users.ancestor_search import AncestorSearchResult
from eldercart.server.users.dependencies import DependencyResolver
from eldercart.server.users.recent_cache import JobOutcomeCache
from eldercart.units import JobId
from eldercart.wire import peers, users
from eldercart.wire.state import Item
from eldercart.wire.stored_jobs import END_PREFIX, JOB_PREFIX, decode_end_record

if TYPE_CHECKING:
    from eldercart.server.controller_node import ControllerNode

STATE_READ_REQUESTS = 2  # a fresh read takes two requests


@dataclass(frozen=True, slots=True)
class JobStateHandlers:
    """What follows from the answer; one of them is called, once."""

    on_found: Callable[[peers.JobReply], Any]
    on_absent: Callable[[], Any]  # never accepted, as of a fresh read
    on_failed: Callable[[int], Any]  # nobody can tell now; seconds after which to ask again


class JobStateReader:
    """Answers what state a job is in."""

    def __init__(
        self,
        node: "ControllerNode",
        outcomes: JobOutcomeCache,
        dependency_resolver: DependencyResolver,
    ) -> None:
        """Ends and acceptances that are found are added to `finals` and `dependencies`."""
        self.node = node
        self.outcomes = outcomes
        self.dependency_resolver = dependency_resolver

    def query(self, job: JobId, handlers: JobStateHandlers) -> None:
        """As the leader tells, which takes no token; what it does not know is read."""
        state = self.outcomes.get(job)
        if state is not None:
            handlers.on_found(_state_reply(state))
        elif self.node.leader_service.scheduler is not None:
            self._on_leader_reply(
                job, handlers, self.node.leader_service.user_answers.job_reply(0, job)
            )
        elif not self.node.relay_service.leader_client.poll(
            job, lambda told: self._on_leader_reply(job, handlers, told)
        ):
            self.read(job, handlers)

    def _on_leader_reply(
        self, job: JobId, handlers: JobStateHandlers, reply: peers.JobReply | None
    ) -> None:
        if reply is None or reply.state in (peers.NOT_LEADER, peers.UNKNOWN):
            self.read(job, handlers)
        elif reply.state == peers.UNDECIDED:
            handlers.on_failed(SHORT_RETRY_AFTER_S)  # its end is being written
        else:
            self.dependency_resolver.record_accepted(job)
            if reply.state in (users.DONE, users.CANCELLED):
                self.outcomes.put(job, reply.state)
            handlers.on_found(reply)

    def read(self, job: JobId, handlers: JobStateHandlers) -> None:
        """A fresh read of the state service."""
        _JobStateRead(self, job, handlers).begin()


class _JobStateRead:
    """One fresh read: first the job's record, then its end, since at the end the record goes and
    the end appears in one transaction.

    A job without an end may have been told as cancelled all the same: the leader tells it of all
    that await a job as soon as that job's own end is durable. So those before it are looked at.
    Their ends may be read after its own: each of these reads begins after the question came, so
    an end that was durable when anybody was told is seen. And when a cancelled one is found, this
    job can't be done, now or later: a job is done only after all before it are, and an end never
    changes.
    """

    def __init__(self, job_states: JobStateReader, job: JobId, handlers: JobStateHandlers) -> None:
        self._job_states = job_states
        self._node = job_states.node
        self._job = job
        self._handlers = handlers
        self._record: Item | None = None

    def begin(self) -> None:
        """Without tokens it fails at once."""
        store = self._node.store
        if store.requests.available(self._node.clock(), RESERVE_POLLS) < STATE_READ_REQUESTS:
            self._fail()
        else:
            store.get(JOB_PREFIX + self._job, self._on_record)

    def _on_record(self, ok: bool, record: Item | None) -> None:
        if not ok:
            self._fail()
            return
        self._record = record
        if record is not None:
            self._job_states.dependency_resolver.record_accepted(self._job)
            self._node.leader_service.job_record_watch.add_record(record)
        self._node.store.get(END_PREFIX + self._job, self._on_outcome)

    def _on_outcome(self, ok: bool, outcome_record: Item | None) -> None:
        if not ok:
            self._fail()
        elif outcome_record is not None:
            state = decode_end_record(outcome_record.value)
            self._job_states.outcomes.put(self._job, state)
            self._finish(state)
        elif self._record is not None:
            self._job_states.dependency_resolver.read_dependencies(
                self._record, self._on_dependencies
            )
        else:
            self._handlers.on_absent()

    def _on_dependencies(self, dependencies: tuple[JobId, ...] | None) -> None:
        if dependencies is None:
            self._fail()
        elif dependencies:
            self._job_states.dependency_resolver.search_ancestors(dependencies, self._on_ancestors)
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
        self._handlers.on_found(_state_reply(state))

    def _fail(self) -> None:
        self._handlers.on_failed(RETRY_AFTER_S)


def _state_reply(state: str) -> peers.JobReply:
    return peers.JobReply(0, state, 0, 0)
