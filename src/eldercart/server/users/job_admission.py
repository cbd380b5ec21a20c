"""The acceptance of jobs that users submit."""

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from eldercart.scheduling import feasibility
from eldercart.server.http.replies import (
    RETRY_AFTER_S,
    SHORT_RETRY_AFTER_S,
    reject,
    reject_temporarily,
)
from eldercart.server.http.server import JsonRequest
from eldercart.server.store.client import RESERVE_ADMISSION
from eldercart.server.users.acceptance_check import AcceptanceResult
from eldercart.server.users.dependencies import DependencyResolver
from eldercart.server.users.job_states import JobStateHandlers, JobStateReader
from eldercart.server.users.recent_cache import JobOutcomeCache
from eldercart.units import ABSENT_REVISION, JobId, MonotonicTime, Revision, WallTime
from eldercart.wire import MalformedMessage, users
from eldercart.wire.checks import load_object
from eldercart.wire.state import Put, Transaction
from eldercart.wire.stored_jobs import END_PREFIX, JOB_PREFIX, encode_job_record
from eldercart.wire.stored_placements import max_tasks_per_chunk
from eldercart.wire.users import DependencyListReference, JobSpec

if TYPE_CHECKING:
    from eldercart.server.controller_node import ControllerNode

log = logging.getLogger("eldercart.node")

# Users wait 5 s for an acceptance, and a request of the state service may take 2 s itself.
WRITE_TIMEOUT_S = 2.5


@dataclass(frozen=True, slots=True)
class Rejection:
    """What a submission gets if its job is not known already."""

    status: int
    message: str


class JobAdmission:
    """Judges submissions, checks what they await and stores their jobs."""

    def __init__(
        self,
        node: "ControllerNode",
        outcomes: JobOutcomeCache,
        dependency_resolver: DependencyResolver,
        job_states: JobStateReader,
    ) -> None:
        """The parts are those of the front, which answers polls by them as well."""
        self.node = node
        self.outcomes = outcomes
        self.dependency_resolver = dependency_resolver
        self.job_states = job_states

    def submit(self, request: JsonRequest) -> None:
        """Answers 201 once the job is durable. A job that is known gets 200 and its state,
        whatever is wrong with its repeat."""
        try:
            obj = load_object(request.body())
            job = users.parse_job_id(obj)
        except MalformedMessage as err:
            reject(request, 400, f"malformed: {err}")
            return
        state = self.outcomes.get(job)
        if state is not None:
            request.reply(200, users.job_state_body(job, state))
            return
        judged = self._validate(obj)
        if isinstance(judged, Rejection):
            self.reject_unless_known(request, job, judged)
        elif judged.dependencies:
            _DependentSubmission(self, request, judged).begin()
        else:
            self.store_job(request, judged)

    def _validate(self, message: dict[str, Any]) -> JobSpec | Rejection:
        """What can be said of the submission by itself."""
        try:
            spec = users.parse_submission(message)
        except MalformedMessage as err:
            return Rejection(400, f"malformed: {err}")
        node = self.node
        if spec.team not in node.settings.teams:
            return Rejection(422, "unknown team")
        if not node.machine_types:
            # A node that has just started; a job accepted by another one is known all the same.
            log.info("submission refused: machine types unknown")
            return Rejection(503, "machine types unknown")
        why = feasibility.rejection_reason(spec, node.machine_types, node.settings.teams)
        if why is not None:
            return Rejection(422, why)
        if spec.id in spec.dependencies:
            return Rejection(422, "awaits itself")
        return spec

    def reject_unless_known(self, request: JsonRequest, job: JobId, rejection: Rejection) -> None:
        """A known job is never refused; a 503 asks the others to come back."""
        pause = RETRY_AFTER_S if rejection.status == 503 else None
        body = users.error_body(rejection.message)
        self.reply_if_known(request, job, lambda: request.reply(rejection.status, body, pause))

    def reply_if_known(
        self, request: JsonRequest, job: JobId, otherwise: Callable[[], Any]
    ) -> None:
        """A repeat of an accepted job gets its state, whatever the body says now."""
        handlers = JobStateHandlers(
            on_found=lambda told: request.reply(200, users.job_state_body(job, told.state)),
            on_absent=otherwise,
            on_failed=lambda pause: reject_temporarily(request, "cannot tell", pause),
        )
        self.job_states.query(job, handlers)

    def store_job(
        self,
        request: JsonRequest,
        spec: JobSpec,
        list_reference: DependencyListReference | None = None,
    ) -> None:
        """Writes the job's record if this node can do so now."""
        node = self.node
        now = node.clock()
        store = node.store
        if node.loop_lag_s > node.tuning.lag_s:
            # Answers that keep leases alive come first; what can't be taken is said at once.
            reject_temporarily(request, "overloaded")
            return
        if store.writes.available(now, RESERVE_ADMISSION) < 1 or not store.requests.try_take(
            now, 1, RESERVE_ADMISSION
        ):
            # Its next try may well find another node with tokens: users keep their connections,
            # and a crowd that came while one node alone was up would ask that one for ever.
            reject_temporarily(request, "too many submissions", close=True)
            return
        store.writes.force_take(now)
        _RecordWrite(self, request, spec, list_reference).begin()


class _DependentSubmission:
    """A submission of a job that awaits others, until its record can be written.

    All that it awaits must have been accepted. What is found out is kept, so that the next try is
    short if this one can't be finished in the time that its user waits.
    """

    def __init__(self, job_admission: JobAdmission, request: JsonRequest, spec: JobSpec) -> None:
        self._job_admission = job_admission
        self._node = job_admission.node
        self._dependency_resolver = job_admission.dependency_resolver
        self._request = request
        self._spec = spec
        self._deadline_at = MonotonicTime(self._node.clock() + WRITE_TIMEOUT_S)

    def begin(self) -> None:
        """A job that is known is not checked again."""
        if self._dependency_resolver.is_accepted(self._spec.id):
            # Its record is there, or its end: if not found, the read was older than the record.
            again = Rejection(503, "try again")
            self._job_admission.reject_unless_known(self._request, self._spec.id, again)
        else:
            self._dependency_resolver.check_accepted(
                self._spec.dependencies, self._on_acceptance_checked
            )

    def _on_acceptance_checked(self, result: AcceptanceResult) -> None:
        if result is AcceptanceResult.NOT_ALL_ACCEPTED:
            refusal = Rejection(422, "awaits a job that was never accepted")
            self._job_admission.reject_unless_known(self._request, self._spec.id, refusal)
        elif result is AcceptanceResult.INDETERMINATE or self._is_past_deadline():
            self._reject_indeterminate()
        elif self._dependency_resolver.fits_in_record(self._spec):
            self._job_admission.store_job(self._request, self._spec)
        else:
            # A repeat must not write the list once more.
            self._job_admission.reply_if_known(self._request, self._spec.id, self._write_list)

    def _reject_indeterminate(self) -> None:
        """Without tokens here, its next try may find another node that has some."""
        requests = self._node.store.requests
        close = requests.available(self._node.clock(), RESERVE_ADMISSION) < 1
        reject_temporarily(self._request, "cannot tell about the jobs that it awaits", close=close)

    def _write_list(self) -> None:
        self._dependency_resolver.write_list(self._spec, self._deadline_at, self._on_list_written)

    def _on_list_written(self, list_reference: DependencyListReference | None) -> None:
        if list_reference is None or self._is_past_deadline():
            # The next try goes on with what is written if it comes here.
            reject_temporarily(self._request, "cannot store it now")
        else:
            self._job_admission.store_job(self._request, self._spec, list_reference)

    def _is_past_deadline(self) -> bool:
        return self._node.clock() > self._deadline_at


class _RecordWrite:
    """The transaction that makes a job accepted, and what its answer means."""

    def __init__(
        self,
        job_admission: JobAdmission,
        request: JsonRequest,
        spec: JobSpec,
        list_reference: DependencyListReference | None,
    ) -> None:
        self._job_admission = job_admission
        self._node = job_admission.node
        self._dependency_resolver = job_admission.dependency_resolver
        self._request = request
        self._spec = spec
        self._job = spec.id
        self._chunk_size = max_tasks_per_chunk(self._node.settings.value_bytes)
        self._accepted_at = WallTime(time.time())
        self._list_reference = list_reference
        self._record = encode_job_record(spec, self._chunk_size, self._accepted_at, list_reference)

    def begin(self) -> None:
        """Writes the record, unless the job is there or has ended."""
        guards = {JOB_PREFIX + self._job: ABSENT_REVISION, END_PREFIX + self._job: ABSENT_REVISION}
        txn = Transaction(guards, [Put(JOB_PREFIX + self._job, self._record)])
        self._node.store.commit(txn, self._on_transaction_result)

    def _on_transaction_result(
        self, status: int | None, _: Revision, failed: tuple[str, ...]
    ) -> None:
        if status in (200, 409):
            self._dependency_resolver.forget_list(self._job)
        if status == 200:
            self._on_accepted()
        elif status == 409:
            self._on_already_known(has_ended=END_PREFIX + self._job in failed)
        elif status is None:
            self._reply_with_stored_state(status_if_found=201)  # it may have been executed
        else:
            log.info("submission not stored status=%s", status)
            reject_temporarily(self._request, "cannot store it now")

    def _on_accepted(self) -> None:
        self._dependency_resolver.record_accepted(self._job)
        self._dependency_resolver.record_dependencies(self._job, self._spec.dependencies)
        self._request.reply(201, users.job_state_body(self._job, users.PENDING))
        controller = self._node.leader_service.scheduler
        if controller is not None:
            now = self._node.clock()
            controller.add_job(
                self._spec, self._chunk_size, self._accepted_at, now, self._list_reference
            )
            self._node.leader_service.process_events_soon()

    def _on_already_known(self, has_ended: bool) -> None:
        if has_ended:
            self._reply_with_stored_state(status_if_found=200)
        elif self._dependency_resolver.dependencies_of(self._job) == ():
            # The job is there and had not ended, as of this very transaction. It may have since,
            # and this node have told so. It awaits none, so it can't have been told as cancelled
            # with another job before its own end.
            self._dependency_resolver.record_accepted(self._job)
            state = self._job_admission.outcomes.get(self._job) or users.PENDING
            self._request.reply(200, users.job_state_body(self._job, state))
        else:
            # What is stored counts: a repeat need not name what the submission named.
            again = Rejection(503, "try again")
            self._job_admission.reject_unless_known(self._request, self._job, again)

    def _reply_with_stored_state(self, status_if_found: int) -> None:
        request, job = self._request, self._job
        handlers = JobStateHandlers(
            on_found=lambda told: request.reply(
                status_if_found, users.job_state_body(job, told.state)
            ),
            on_absent=lambda: reject_temporarily(request, "try again", SHORT_RETRY_AFTER_S),
            on_failed=lambda pause: reject_temporarily(request, "cannot tell", pause),
        )
        self._job_admission.job_states.read(job, handlers)
