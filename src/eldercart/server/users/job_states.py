"""The state of a job: from what is known at this node, from the leader, or by a fresh read."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from eldercart.jobs.registry import END, JOB, end_of
from eldercart.server.http.replies import RETRY_S, SOON_S
from eldercart.server.store.client import FOR_POLLS
from eldercart.server.users.ancestor_search import Ancestors
from eldercart.server.users.dependencies import Dependencies
from eldercart.server.users.recent_cache import FinalStates
from eldercart.units import JobId
from eldercart.wire import peers, users
from eldercart.wire.state import Item

if TYPE_CHECKING:
    from eldercart.server.controller_node import Node

READ_TOKENS = 2  # a fresh read takes two requests


@dataclass(frozen=True, slots=True)
class StateHandlers:
    """What follows from the answer; one of them is called, once."""

    found: Callable[[peers.JobReply], Any]
    absent: Callable[[], Any]  # never accepted, as of a fresh read
    failed: Callable[[int], Any]  # nobody can tell now; seconds after which to ask again


class JobStates:
    """Answers what state a job is in."""

    def __init__(self, node: "Node", finals: FinalStates, dependencies: Dependencies) -> None:
        """Ends and acceptances that are found are added to `finals` and `dependencies`."""
        self.node = node
        self.finals = finals
        self.dependencies = dependencies

    def ask(self, job: JobId, handlers: StateHandlers) -> None:
        """As the leader tells, which takes no token; what it does not know is read."""
        state = self.finals.get(job)
        if state is not None:
            handlers.found(_told(state))
        elif self.node.leader_service.controller is not None:
            self._leader_answered(job, handlers, self.node.leader_service.user_answers.tell(0, job))
        elif not self.node.relay_service.questions.poll(
            job, lambda told: self._leader_answered(job, handlers, told)
        ):
            self.read(job, handlers)

    def _leader_answered(
        self, job: JobId, handlers: StateHandlers, told: peers.JobReply | None
    ) -> None:
        if told is None or told.verdict in (peers.NOT_LEADER, peers.UNKNOWN):
            self.read(job, handlers)
        elif told.verdict == peers.UNDECIDED:
            handlers.failed(SOON_S)  # its end is being written
        else:
            self.dependencies.accepted(job)
            if told.verdict in (users.DONE, users.CANCELLED):
                self.finals.keep(job, told.verdict)
            handlers.found(told)

    def read(self, job: JobId, handlers: StateHandlers) -> None:
        """A fresh read of the state service."""
        _StateRead(self, job, handlers).begin()


class _StateRead:
    """One fresh read: first the job's record, then its end, since at the end the record goes and
    the end appears in one transaction.

    A job without an end may have been told as cancelled all the same: the leader tells it of all
    that await a job as soon as that job's own end is durable. So those before it are looked at.
    Their ends may be read after its own: each of these reads begins after the question came, so
    an end that was durable when anybody was told is seen. And when a cancelled one is found, this
    job can't be done, now or later: a job is done only after all before it are, and an end never
    changes.
    """

    def __init__(self, states: JobStates, job: JobId, handlers: StateHandlers) -> None:
        self._states = states
        self._node = states.node
        self._job = job
        self._handlers = handlers
        self._record: Item | None = None

    def begin(self) -> None:
        """Without tokens it fails at once."""
        store = self._node.store
        if store.requests.available(self._node.clock(), FOR_POLLS) < READ_TOKENS:
            self._fail()
        else:
            store.get(JOB + self._job, self._got_record)

    def _got_record(self, ok: bool, record: Item | None) -> None:
        if not ok:
            self._fail()
            return
        self._record = record
        if record is not None:
            self._states.dependencies.accepted(self._job)
            self._node.leader_service.job_records.learn(record)
        self._node.store.get(END + self._job, self._got_end)

    def _got_end(self, ok: bool, end: Item | None) -> None:
        if not ok:
            self._fail()
        elif end is not None:
            state = end_of(end.value)
            self._states.finals.keep(self._job, state)
            self._find(state)
        elif self._record is not None:
            self._states.dependencies.read_names(self._record, self._got_names)
        else:
            self._handlers.absent()

    def _got_names(self, names: tuple[JobId, ...] | None) -> None:
        if names is None:
            self._fail()
        elif names:
            self._states.dependencies.search_ancestors(names, self._got_ancestors)
        else:
            self._find(users.PENDING)

    def _got_ancestors(self, ancestors: Ancestors) -> None:
        match ancestors:
            case Ancestors.UNDETERMINED:
                self._fail()
            case Ancestors.CANCELLED:
                self._find(users.CANCELLED)
            case Ancestors.NOT_CANCELLED:
                self._find(users.PENDING)

    def _find(self, state: str) -> None:
        self._handlers.found(_told(state))

    def _fail(self) -> None:
        self._handlers.failed(RETRY_S)


def _told(state: str) -> peers.JobReply:
    return peers.JobReply(0, state, 0, 0)
