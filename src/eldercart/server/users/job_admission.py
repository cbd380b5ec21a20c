"""Admits the jobs that users submit.

A submission is answered with 201 once its job is durable. Submissions are idempotent: for a job
that was already accepted, the answer is 200 and the job's state, whatever the repeated submission
contains.
"""

import logging
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from eldercart.jobs.job_records import JobRecord
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
from eldercart.server.users.job_states import (
    JobNotFound,
    JobStateFound,
    JobStateReader,
    JobStateResult,
    JobStateUnavailable,
)
from eldercart.server.users.lookup_context import LookupContext
from eldercart.server.users.recent_cache import JobOutcomeCache
from eldercart.units import ABSENT_REVISION, JobId, MonotonicTime, Revision, WallTime
from eldercart.wire import MalformedMessageError, users
from eldercart.wire.checks import load_object
from eldercart.wire.cloud import MachineType
from eldercart.wire.state import Put, Transaction
from eldercart.wire.stored_jobs import END_PREFIX, JOB_PREFIX, encode_job_record
from eldercart.wire.stored_placements import max_tasks_per_chunk
from eldercart.wire.users import DependencyListReference, JobSpec

log = logging.getLogger("eldercart.node")

# Users wait 5 s for an acceptance, and a request to the state service may itself take 2 s.
WRITE_TIMEOUT_S = 2.5


class AdmissionLimits(Protocol):
    """The state of the node that decides whether it can admit a job."""

    @property
    def machine_types(self) -> dict[str, MachineType]:
        """The known machine types; empty until the node has read them."""

    @property
    def loop_lag_s(self) -> float:
        """How late the event loop is, in seconds."""


@dataclass(frozen=True, slots=True)
class Rejection:
    """The error response to a submission, unless its job was already accepted."""

    status: int
    message: str


RETRY_SUBMISSION = Rejection(503, "try again")


class JobAdmission:
    """Validates submissions, checks their dependencies and stores their jobs."""

    def __init__(
        self,
        context: LookupContext,
        limits: AdmissionLimits,
        max_loop_lag_s: float,
        job_states: JobStateReader,
    ) -> None:
        """Use the caches of `job_states`, which answers polls from them as well."""
        self.context = context
        self.job_states = job_states
        self._limits = limits
        self._max_loop_lag_s = max_loop_lag_s

    @property
    def outcomes(self) -> JobOutcomeCache:
        """The known outcomes of jobs."""
        return self.job_states.outcomes

    @property
    def dependency_resolver(self) -> DependencyResolver:
        """The cache and look-ups of accepted jobs and their dependencies."""
        return self.job_states.dependency_resolver

    def submit(self, request: JsonRequest) -> None:
        """Answer 201 once the job is durable, or 200 and its state if it was accepted before."""
        try:
            message = load_object(request.body())
            job = users.parse_job_id(message)
        except MalformedMessageError as error:
            reject(request, 400, f"malformed: {error}")
            return
        outcome = self.outcomes.get(job)
        if outcome is not None:
            request.reply(200, users.job_state_body(job, outcome))
            return
        validated = self._validate(message)
        if isinstance(validated, Rejection):
            self.reject_unless_known(request, job, validated)
        elif validated.dependencies:
            _DependentSubmission(self, request, validated).begin()
        else:
            self.store_job(request, validated)

    def _validate(self, message: dict[str, Any]) -> JobSpec | Rejection:
        """Return the job's specification, or why it is rejected regardless of other jobs."""
        try:
            spec = users.parse_submission(message)
        except MalformedMessageError as error:
            return Rejection(400, f"malformed: {error}")
        teams = self.context.settings.teams
        machine_types = self._limits.machine_types
        if spec.team not in teams:
            return Rejection(422, "unknown team")
        if not machine_types:
            # The node has just started. If another node has accepted this job already, the answer
            # is the job's state: see `reject_unless_known`.
            log.info("submission rejected reason=machine_types_unknown")
            return Rejection(503, "machine types unknown")
        reason = feasibility.rejection_reason(spec, machine_types, teams)
        if reason is not None:
            return Rejection(422, reason)
        if spec.id in spec.dependencies:
            return Rejection(422, "awaits itself")
        return spec

    def reject_unless_known(self, request: JsonRequest, job: JobId, rejection: Rejection) -> None:
        """Answer with the job's state if it was accepted, else with the rejection."""
        retry_after_s = RETRY_AFTER_S if rejection.status == 503 else None
        body = users.error_body(rejection.message)
        self.reply_if_known(
            request, job, lambda: request.reply(rejection.status, body, retry_after_s)
        )

    def reply_if_known(
        self, request: JsonRequest, job: JobId, otherwise: Callable[[], None]
    ) -> None:
        """Answer with the job's state if it was accepted, else call `otherwise`.

        The content of the repeated submission is ignored.
        """

        def on_result(result: JobStateResult) -> None:
            match result:
                case JobStateFound(reply):
                    request.reply(200, users.job_state_body(job, reply.state))
                case JobNotFound():
                    otherwise()
                case JobStateUnavailable(retry_after_s):
                    reject_temporarily(request, "cannot tell", retry_after_s)

        self.job_states.query(job, on_result)

    def store_job(
        self,
        request: JsonRequest,
        spec: JobSpec,
        list_reference: DependencyListReference | None = None,
    ) -> None:
        """Write the job's record if lag and rate-limit tokens allow it now, else reject."""
        now = self.context.clock()
        store = self.context.store
        if self._limits.loop_lag_s > self._max_loop_lag_s:
            # Heartbeats that keep leases alive take precedence, so the submission is rejected at
            # once.
            reject_temporarily(request, "overloaded")
            return
        if store.writes.available(now, RESERVE_ADMISSION) < 1 or not store.requests.try_take(
            now, 1, RESERVE_ADMISSION
        ):
            # Closing the connection lets the retry reach another node, which may have tokens.
            # Users keep their connections open: many who connected while only one node was up
            # would otherwise send all their requests to that node.
            reject_temporarily(request, "too many submissions", close=True)
            return
        store.writes.force_take(now)
        _RecordWrite(self, request, spec, list_reference).begin()


class _DependentSubmission:
    """Checks a submission with dependencies before the job's record is written.

    All jobs that it depends on must have been accepted. The results are cached, so that a retry is
    short if this attempt can't finish while the user waits.
    """

    def __init__(self, job_admission: JobAdmission, request: JsonRequest, spec: JobSpec) -> None:
        self._job_admission = job_admission
        self._context = job_admission.context
        self._dependency_resolver = job_admission.dependency_resolver
        self._request = request
        self._spec = spec
        self._deadline_at = MonotonicTime(self._context.clock() + WRITE_TIMEOUT_S)

    def begin(self) -> None:
        """Check the dependencies, unless the job itself is known to be accepted."""
        if self._dependency_resolver.is_accepted(self._spec.id):
            # An accepted job has a record or an outcome. A read that finds neither returned an
            # older revision, so the user has to retry.
            self._job_admission.reject_unless_known(self._request, self._spec.id, RETRY_SUBMISSION)
        else:
            self._dependency_resolver.check_accepted(
                self._spec.dependencies, self._on_acceptance_checked
            )

    def _on_acceptance_checked(self, result: AcceptanceResult) -> None:
        if result is AcceptanceResult.NOT_ALL_ACCEPTED:
            rejection = Rejection(422, "awaits a job that was never accepted")
            self._job_admission.reject_unless_known(self._request, self._spec.id, rejection)
        elif result is AcceptanceResult.INDETERMINATE or self._is_past_deadline():
            self._reject_indeterminate()
        elif self._dependency_resolver.fits_in_record(self._spec):
            self._job_admission.store_job(self._request, self._spec)
        else:
            # A repeated submission must not write a second list.
            self._job_admission.reply_if_known(self._request, self._spec.id, self._write_list)

    def _reject_indeterminate(self) -> None:
        """Ask for a retry, on a new connection to reach another node if this one has no tokens."""
        requests = self._context.store.requests
        close = requests.available(self._context.clock(), RESERVE_ADMISSION) < 1
        reject_temporarily(self._request, "cannot tell about the jobs that it awaits", close=close)

    def _write_list(self) -> None:
        self._dependency_resolver.write_list(self._spec, self._deadline_at, self._on_list_written)

    def _on_list_written(self, list_reference: DependencyListReference | None) -> None:
        if list_reference is None or self._is_past_deadline():
            # A retry at this node writes only the remaining parts.
            reject_temporarily(self._request, "cannot store it now")
        else:
            self._job_admission.store_job(self._request, self._spec, list_reference)

    def _is_past_deadline(self) -> bool:
        return self._context.clock() > self._deadline_at


class _RecordWrite:
    """Writes the record by which a job is accepted, and answers the submission."""

    def __init__(
        self,
        job_admission: JobAdmission,
        request: JsonRequest,
        spec: JobSpec,
        list_reference: DependencyListReference | None,
    ) -> None:
        self._job_admission = job_admission
        self._context = job_admission.context
        self._dependency_resolver = job_admission.dependency_resolver
        self._request = request
        self._spec = spec
        self._job = spec.id
        self._tasks_per_chunk = max_tasks_per_chunk(self._context.settings.value_bytes)
        self._accepted_at = WallTime(time.time())
        self._list_reference = list_reference
        self._record = encode_job_record(
            spec, self._tasks_per_chunk, self._accepted_at, list_reference
        )

    def begin(self) -> None:
        """Write the record, on condition that the job has neither a record nor an outcome."""
        conditions = {
            JOB_PREFIX + self._job: ABSENT_REVISION,
            END_PREFIX + self._job: ABSENT_REVISION,
        }
        transaction = Transaction(conditions, [Put(JOB_PREFIX + self._job, self._record)])
        self._context.store.commit(transaction, self._on_transaction_result)

    def _on_transaction_result(
        self, status: int | None, revision: Revision, failed_conditions: tuple[str, ...]
    ) -> None:
        if status in (200, 409):
            self._dependency_resolver.discard_partial_list(self._job)
        if status == 200:
            self._on_accepted(revision)
        elif status == 409:
            self._on_already_known(has_ended=END_PREFIX + self._job in failed_conditions)
        elif status is None:
            # The transaction may have been committed.
            self._reply_with_stored_state(status_if_found=201)
        else:
            log.info("submission not stored status=%s", status)
            reject_temporarily(self._request, "cannot store it now")

    def _on_accepted(self, revision: Revision) -> None:
        self._dependency_resolver.record_accepted(self._job)
        self._dependency_resolver.record_dependencies(self._job, self._spec.dependencies)
        self._request.reply(201, users.job_state_body(self._job, users.PENDING))
        leader = self._context.leader
        if leader.scheduler is not None:
            record = JobRecord(
                self._spec,
                self._tasks_per_chunk,
                self._accepted_at,
                revision,
                self._list_reference,
            )
            leader.scheduler.add_job(record, self._context.clock())
            leader.process_events_soon()

    def _on_already_known(self, *, has_ended: bool) -> None:
        if has_ended:
            self._reply_with_stored_state(status_if_found=200)
        elif self._dependency_resolver.dependencies_of(self._job) == ():
            # The transaction found the job's record and no outcome. If the job has ended since
            # and this node has reported that, the outcome is cached. The job has no dependencies,
            # so before its own outcome it can't have been reported as cancelled with another job.
            self._dependency_resolver.record_accepted(self._job)
            state = self._job_admission.outcomes.get(self._job) or users.PENDING
            self._request.reply(200, users.job_state_body(self._job, state))
        else:
            # The state depends on the stored dependencies, which the repeated submission may omit.
            self._job_admission.reject_unless_known(self._request, self._job, RETRY_SUBMISSION)

    def _reply_with_stored_state(self, status_if_found: int) -> None:
        self._job_admission.job_states.read(
            self._job, lambda result: self._on_stored_state(status_if_found, result)
        )

    def _on_stored_state(self, status_if_found: int, result: JobStateResult) -> None:
        match result:
            case JobStateFound(reply):
                body = users.job_state_body(self._job, reply.state)
                self._request.reply(status_if_found, body)
            case JobNotFound():
                reject_temporarily(self._request, "try again", SHORT_RETRY_AFTER_S)
            case JobStateUnavailable(retry_after_s):
                reject_temporarily(self._request, "cannot tell", retry_after_s)
