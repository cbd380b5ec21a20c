"""The acceptance of jobs that users submit."""

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from eldercart.jobs.registry import END, JOB, chunk_size, job_record
from eldercart.scheduling import feasibility
from eldercart.server.http.replies import RETRY_S, SOON_S, refuse, refuse_for_now
from eldercart.server.http.server import JsonRequest
from eldercart.server.store.client import FOR_ACCEPTING
from eldercart.server.users.acceptance_check import Accepted
from eldercart.server.users.dependencies import Dependencies
from eldercart.server.users.job_states import JobStates, StateHandlers
from eldercart.server.users.recent_cache import FinalStates
from eldercart.units import ABSENT, JobId, Revision, Steady, WallTime
from eldercart.wire import Malformed, users
from eldercart.wire.checks import load_object
from eldercart.wire.state import Put, Txn
from eldercart.wire.users import JobSpec, ListReference

if TYPE_CHECKING:
    from eldercart.server.controller_node import Node

log = logging.getLogger("eldercart.node")

# Users wait 5 s for an acceptance, and a request of the state service may take 2 s itself.
WRITE_S = 2.5


@dataclass(frozen=True, slots=True)
class Refusal:
    """What a submission gets if its job is not known already."""

    status: int
    message: str


class Submissions:
    """Judges submissions, checks what they await and stores their jobs."""

    def __init__(
        self, node: "Node", finals: FinalStates, dependencies: Dependencies, states: JobStates
    ) -> None:
        """The parts are those of the front, which answers polls by them as well."""
        self.node = node
        self.finals = finals
        self.dependencies = dependencies
        self.states = states

    def submit(self, request: JsonRequest) -> None:
        """Answers 201 once the job is durable. A job that is known gets 200 and its state,
        whatever is wrong with its repeat."""
        try:
            obj = load_object(request.body())
            job = users.job_id_of(obj)
        except Malformed as err:
            refuse(request, 400, f"malformed: {err}")
            return
        state = self.finals.get(job)
        if state is not None:
            request.reply(200, users.state_body(job, state))
            return
        judged = self._judge(obj)
        if isinstance(judged, Refusal):
            self.refuse_unless_known(request, job, judged)
        elif judged.dependencies:
            _DependentSubmission(self, request, judged).begin()
        else:
            self.store(request, judged)

    def _judge(self, obj: dict[str, Any]) -> JobSpec | Refusal:
        """What can be said of the submission by itself."""
        try:
            spec = users.parse_submission(obj)
        except Malformed as err:
            return Refusal(400, f"malformed: {err}")
        node = self.node
        if spec.team not in node.settings.teams:
            return Refusal(422, "unknown team")
        if not node.types:
            # A node that has just started; a job accepted by another one is known all the same.
            log.info("submission refused: machine types unknown")
            return Refusal(503, "machine types unknown")
        why = feasibility.never_runs(spec, node.types, node.settings.teams)
        if why is not None:
            return Refusal(422, why)
        if spec.id in spec.dependencies:
            return Refusal(422, "awaits itself")
        return spec

    def refuse_unless_known(self, request: JsonRequest, job: JobId, refusal: Refusal) -> None:
        """A known job is never refused; a 503 asks the others to come back."""
        pause = RETRY_S if refusal.status == 503 else None
        body = users.error_body(refusal.message)
        self.unless_known(request, job, lambda: request.reply(refusal.status, body, pause))

    def unless_known(self, request: JsonRequest, job: JobId, absent: Callable[[], Any]) -> None:
        """A repeat of an accepted job gets its state, whatever the body says now."""
        handlers = StateHandlers(
            found=lambda told: request.reply(200, users.state_body(job, told.verdict)),
            absent=absent,
            failed=lambda pause: refuse_for_now(request, "cannot tell", pause),
        )
        self.states.ask(job, handlers)

    def store(
        self, request: JsonRequest, spec: JobSpec, where: ListReference | None = None
    ) -> None:
        """Writes the job's record if this node can do so now."""
        node = self.node
        now = node.clock()
        store = node.store
        if node.lag > node.tuning.lag_s:
            # Answers that keep leases alive come first; what can't be taken is said at once.
            refuse_for_now(request, "overloaded")
            return
        if store.writes.available(now, FOR_ACCEPTING) < 1 or not store.requests.take(
            now, 1, FOR_ACCEPTING
        ):
            # Its next try may well find another node with tokens: users keep their connections,
            # and a crowd that came while one node alone was up would ask that one for ever.
            refuse_for_now(request, "too many submissions", close=True)
            return
        store.writes.force(now)
        _RecordWrite(self, request, spec, where).begin()


class _DependentSubmission:
    """A submission of a job that awaits others, until its record can be written.

    All that it awaits must have been accepted. What is found out is kept, so that the next try is
    short if this one can't be finished in the time that its user waits.
    """

    def __init__(self, submissions: Submissions, request: JsonRequest, spec: JobSpec) -> None:
        self._submissions = submissions
        self._node = submissions.node
        self._dependencies = submissions.dependencies
        self._request = request
        self._spec = spec
        self._until = Steady(self._node.clock() + WRITE_S)

    def begin(self) -> None:
        """A job that is known is not checked again."""
        if self._dependencies.was_accepted(self._spec.id):
            # Its record is there, or its end: if not found, the read was older than the record.
            again = Refusal(503, "try again")
            self._submissions.refuse_unless_known(self._request, self._spec.id, again)
        else:
            self._dependencies.check(self._spec.dependencies, self._checked)

    def _checked(self, accepted: Accepted) -> None:
        if accepted is Accepted.NOT_ALL:
            refusal = Refusal(422, "awaits a job that was never accepted")
            self._submissions.refuse_unless_known(self._request, self._spec.id, refusal)
        elif accepted is Accepted.UNDETERMINED or self._late():
            self._refuse_untold()
        elif self._dependencies.fits(self._spec):
            self._submissions.store(self._request, self._spec)
        else:
            # A repeat must not write the list once more.
            self._submissions.unless_known(self._request, self._spec.id, self._write_list)

    def _refuse_untold(self) -> None:
        """Without tokens here, its next try may find another node that has some."""
        requests = self._node.store.requests
        close = requests.available(self._node.clock(), FOR_ACCEPTING) < 1
        refuse_for_now(self._request, "cannot tell about the jobs that it awaits", close=close)

    def _write_list(self) -> None:
        self._dependencies.write_list(self._spec, self._until, self._list_written)

    def _list_written(self, where: ListReference | None) -> None:
        if where is None or self._late():
            # The next try goes on with what is written if it comes here.
            refuse_for_now(self._request, "cannot store it now")
        else:
            self._submissions.store(self._request, self._spec, where)

    def _late(self) -> bool:
        return self._node.clock() > self._until


class _RecordWrite:
    """The transaction that makes a job accepted, and what its answer means."""

    def __init__(
        self,
        submissions: Submissions,
        request: JsonRequest,
        spec: JobSpec,
        where: ListReference | None,
    ) -> None:
        self._submissions = submissions
        self._node = submissions.node
        self._dependencies = submissions.dependencies
        self._request = request
        self._spec = spec
        self._job = spec.id
        self._chunk = chunk_size(self._node.settings.value_bytes)
        self._at = WallTime(time.time())
        self._where = where
        self._record = job_record(spec, self._chunk, self._at, where)

    def begin(self) -> None:
        """Writes the record, unless the job is there or has ended."""
        guards = {JOB + self._job: ABSENT, END + self._job: ABSENT}
        txn = Txn(guards, [Put(JOB + self._job, self._record)])
        self._node.store.txn(txn, self._answered)

    def _answered(self, status: int | None, _: Revision, failed: tuple[str, ...]) -> None:
        if status in (200, 409):
            self._dependencies.forget_list(self._job)
        if status == 200:
            self._accepted()
        elif status == 409:
            self._known_already(ended=END + self._job in failed)
        elif status is None:
            self._look_up(status_if_found=201)  # it may have been executed
        else:
            log.info("submission not stored status=%s", status)
            refuse_for_now(self._request, "cannot store it now")

    def _accepted(self) -> None:
        self._dependencies.accepted(self._job)
        self._dependencies.learn_names(self._job, self._spec.dependencies)
        self._request.reply(201, users.state_body(self._job, users.PENDING))
        controller = self._node.leader_service.controller
        if controller is not None:
            now = self._node.clock()
            controller.add_job(self._spec, self._chunk, self._at, now, self._where)
            self._node.leader_service.process_events_soon()

    def _known_already(self, ended: bool) -> None:
        if ended:
            self._look_up(status_if_found=200)
        elif self._dependencies.names_of(self._job) == ():
            # The job is there and had not ended, as of this very transaction. It may have since,
            # and this node have told so. It awaits none, so it can't have been told as cancelled
            # with another job before its own end.
            self._dependencies.accepted(self._job)
            state = self._submissions.finals.get(self._job) or users.PENDING
            self._request.reply(200, users.state_body(self._job, state))
        else:
            # What is stored counts: a repeat need not name what the submission named.
            again = Refusal(503, "try again")
            self._submissions.refuse_unless_known(self._request, self._job, again)

    def _look_up(self, status_if_found: int) -> None:
        request, job = self._request, self._job
        handlers = StateHandlers(
            found=lambda told: request.reply(status_if_found, users.state_body(job, told.verdict)),
            absent=lambda: refuse_for_now(request, "try again", SOON_S),
            failed=lambda pause: refuse_for_now(request, "cannot tell", pause),
        )
        self._submissions.states.read(job, handlers)
