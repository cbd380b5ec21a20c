"""Serves the HTTP requests of users, workers, operators and the load balancer."""

from collections.abc import Callable
from typing import Any, Protocol

from eldercart.server.http.replies import (
    RETRY_AFTER_S,
    SHORT_RETRY_AFTER_S,
    reject,
    reject_temporarily,
)
from eldercart.server.http.server import JsonRequest
from eldercart.server.node_services import NodeServices
from eldercart.server.users.dependencies import DependencyResolver
from eldercart.server.users.job_admission import AdmissionLimits, JobAdmission
from eldercart.server.users.job_states import (
    JobNotFound,
    JobStateFound,
    JobStateReader,
    JobStateResult,
    JobStateUnavailable,
)
from eldercart.server.users.lookup_context import LeaderAccess, LookupContext
from eldercart.server.users.recent_cache import JobOutcomeCache
from eldercart.units import JobId
from eldercart.wire import peers, users

RequestHandler = Callable[[JsonRequest], None]

JOB_PATH, CANCEL_SUFFIX = b"/work/", b"/cancel"


class Shutdown(Protocol):
    """The graceful shutdown of the node."""

    @property
    def has_begun(self) -> bool:
        """Whether the shutdown has begun, so that requests are refused."""

    def refuse(self, request: JsonRequest, /) -> None:
        """Answer a request that arrived after the shutdown began."""


class UserServiceHost(NodeServices, AdmissionLimits, LeaderAccess, Protocol):
    """The parts of the node that the user service depends on."""

    @property
    def graceful_shutdown(self) -> Shutdown:
        """The graceful shutdown of the node."""

    def is_healthy(self) -> bool:
        """Return whether this node should receive requests of users and workers."""

    def status_page(self) -> bytes:
        """Return the status page for operators, as JSON."""


class UserService:
    """Routes HTTP requests and bounds those in flight; answers polls and cancellations."""

    def __init__(self, host: UserServiceHost) -> None:
        """Create the components that admit jobs and look them up."""
        self._host = host
        self._context = LookupContext(host.settings, host.clock, host.store, host)
        max_cached_jobs = host.tuning.final_cache
        self._outcomes = JobOutcomeCache(max_cached_jobs)
        self.dependency_resolver = DependencyResolver(
            self._context, self._outcomes, max_cached_jobs
        )
        self.job_states = JobStateReader(self._context, self._outcomes, self.dependency_resolver)
        self._job_admission = JobAdmission(self._context, host, host.tuning.lag_s, self.job_states)
        self._requests_in_flight = 0
        self._prefix_routes: dict[bytes, RequestHandler] = {}  # keyed by the first path segment
        self._routes: dict[bytes, tuple[bytes, RequestHandler]] = {
            b"/v1/report": (b"POST", self._serve_worker_heartbeat),
            b"/healthz": (b"GET", self._serve_health),
            b"/status": (b"GET", self._serve_status),
            b"/work": (b"POST", self._serve_submission),
        }

    # -- routing

    def route(self, request: JsonRequest) -> None:
        """Pass the request to the handler for its path and method."""
        route = self._routes.get(request.path)
        if self._host.graceful_shutdown.has_begun:
            self._host.graceful_shutdown.refuse(request)
        elif route is not None:
            method, handler = route
            if request.method == method:
                handler(request)
            else:
                reject(request, 405, "method")
        elif request.path.startswith(JOB_PATH):
            self._route_job(request, request.path[len(JOB_PATH) :])
        else:
            self._serve_bounded(
                request, self._prefix_routes.get(_first_segment(request.path), _reject_unknown_path)
            )

    def add_prefix_route(self, first_segment: bytes, handler: RequestHandler) -> None:
        """Pass all requests whose path begins with that segment to `handler`."""
        self._prefix_routes[first_segment] = handler

    def _route_job(self, request: JsonRequest, job_path: bytes) -> None:
        """Route a request whose path names a job. `job_path` is the path after `JOB_PATH`."""
        name, method, handler = job_path, b"GET", self._poll
        if job_path.endswith(CANCEL_SUFFIX):
            name, method, handler = job_path[: -len(CANCEL_SUFFIX)], b"POST", self._cancel
        job = name.decode("latin-1")
        if request.method != method:
            reject(request, 405, "method")
        elif not users.is_valid_job_id(job):
            reject(request, 404, "no such job")
        else:
            self._serve_bounded(request, lambda request: handler(request, JobId(job)))

    def _serve_bounded(self, request: JsonRequest, handler: RequestHandler) -> None:
        """Serve the request, or reject it at once if too many are in flight."""
        if self._requests_in_flight >= self._host.tuning.pending_requests:
            reject_temporarily(request, "overloaded")
            return
        self._requests_in_flight += 1

        def on_finished(_: Any) -> None:
            self._requests_in_flight -= 1

        request.notifyFinish().addBoth(on_finished)
        handler(request)

    def _serve_worker_heartbeat(self, request: JsonRequest) -> None:
        self._host.relay_service.heartbeat_forwarding.handle_heartbeat(request)

    def _serve_health(self, request: JsonRequest) -> None:
        if self._host.is_healthy():
            request.reply(200, b"{}", None)
        else:
            request.reply(503, b"{}", RETRY_AFTER_S)

    def _serve_status(self, request: JsonRequest) -> None:
        request.reply(200, self._host.status_page())

    def _serve_submission(self, request: JsonRequest) -> None:
        self._serve_bounded(request, self._submit)

    # -- job states, for the leader service

    def outcome_of(self, job: JobId) -> str | None:
        """Return the job's durable outcome; None if this node does not know it."""
        return self._outcomes.get(job)

    def record_outcome(self, job: JobId, outcome: str) -> None:
        """Cache a durable outcome, which never changes."""
        self._outcomes.put(job, outcome)

    def read_job_state(
        self,
        job: JobId,
        on_found: Callable[[str], None],
        on_absent: Callable[[], None],
        on_failed: Callable[[], None],
    ) -> None:
        """Read the job's state from the state service, then call one of the three callbacks."""

        def on_result(result: JobStateResult) -> None:
            match result:
                case JobStateFound(reply):
                    on_found(reply.state)
                case JobNotFound():
                    on_absent()
                case JobStateUnavailable():
                    on_failed()

        self.job_states.read(job, on_result)

    # -- requests about jobs

    def _submit(self, request: JsonRequest) -> None:
        self._job_admission.submit(request)

    def _poll(self, request: JsonRequest, job: JobId) -> None:
        def on_result(result: JobStateResult) -> None:
            match result:
                case JobStateFound(reply):
                    request.reply(200, _job_reply_body(job, reply))
                case JobNotFound():
                    reject(request, 404, "no such job")
                case JobStateUnavailable(retry_after_s):
                    reject_temporarily(request, "cannot tell now", retry_after_s)

        self.job_states.query(job, on_result)

    def _cancel(self, request: JsonRequest, job: JobId) -> None:
        def on_state(state: str) -> None:
            self._reply_to_cancel(request, job, state)

        def on_leader_reply(reply: peers.JobReply | None) -> None:
            on_state(peers.NOT_LEADER if reply is None else reply.state)

        outcome = self._outcomes.get(job)
        leader = self._context.leader
        if outcome is not None:
            on_state(outcome)
        elif leader.scheduler is not None:
            leader.user_answers.cancel(job, on_state)
        elif not self._context.leader_client.cancel(job, on_leader_reply):
            on_state(peers.NOT_LEADER)

    def _reply_to_cancel(self, request: JsonRequest, job: JobId, state: str) -> None:
        """Answer a cancellation. `state` is the outcome, or a reply state if there is none yet."""
        if state in (users.DONE, users.CANCELLED):
            self.record_outcome(job, state)
            request.reply(200, users.job_state_body(job, state))
        elif state == peers.UNKNOWN:
            reject(request, 404, "no such job")
        else:
            reject_temporarily(request, "no leader now", SHORT_RETRY_AFTER_S)


def _job_reply_body(job: JobId, reply: peers.JobReply) -> bytes:
    return users.job_state_body(
        job, reply.state, reply.done_count, reply.running_count, reply.unmet_dependencies
    )


def _first_segment(path: bytes) -> bytes:
    return path[1:].partition(b"/")[0]


def _reject_unknown_path(request: JsonRequest) -> None:
    reject(request, 404, "no such path")
