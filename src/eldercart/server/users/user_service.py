"""What users and the load balancer ask of this node."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from eldercart.server.http.replies import (
    RETRY_AFTER_S,
    SHORT_RETRY_AFTER_S,
    reject,
    reject_temporarily,
)
from eldercart.server.http.server import JsonRequest
from eldercart.server.users.dependencies import DependencyResolver
from eldercart.server.users.job_admission import JobAdmission
from eldercart.server.users.job_states import JobStateHandlers, JobStateReader
from eldercart.server.users.recent_cache import JobOutcomeCache
from eldercart.units import JobId
from eldercart.wire import peers, users

if TYPE_CHECKING:
    from eldercart.server.controller_node import ControllerNode

RequestHandler = Callable[[JsonRequest], None]

JOB_PATH, CANCEL_SUFFIX = b"/work/", b"/cancel"


class UserService:
    """Routes requests and bounds those under way; answers polls and cancellations."""

    def __init__(self, node: "ControllerNode") -> None:
        """Owns the parts that know the states of jobs."""
        self.node = node
        self._outcomes = JobOutcomeCache(node.tuning.final_cache)
        self.dependency_resolver = DependencyResolver(node, self._outcomes)
        self.job_states = JobStateReader(node, self._outcomes, self.dependency_resolver)
        self._job_admission = JobAdmission(
            node, self._outcomes, self.dependency_resolver, self.job_states
        )
        self._requests_in_flight = 0
        self._prefix_routes: dict[bytes, RequestHandler] = {}  # by the first part of the path
        self._routes: dict[bytes, tuple[bytes, RequestHandler]] = {
            b"/v1/report": (
                b"POST",
                lambda request: node.relay_service.heartbeat_forwarding.handle_heartbeat(request),
            ),
            b"/healthz": (b"GET", self._serve_health),
            b"/status": (b"GET", lambda request: request.reply(200, node.status_page())),
            b"/work": (b"POST", lambda request: self._serve_bounded(request, self._submit)),
        }

    # -- routing

    def route(self, request: JsonRequest) -> None:
        """Hands the request to what serves its path and method."""
        route = self._routes.get(request.path)
        if self.node.graceful_shutdown.has_begun:
            self.node.graceful_shutdown.refuse(request)
        elif route is not None:
            method, serve = route
            if request.method == method:
                serve(request)
            else:
                reject(request, 405, "method")
        elif request.path.startswith(JOB_PATH):
            self._route_job(request, request.path[len(JOB_PATH) :])
        else:
            self._serve_bounded(
                request, self._prefix_routes.get(_first_segment(request.path), _no_such_path)
            )

    def add_prefix_route(self, first_segment: bytes, handler: RequestHandler) -> None:
        """Hands all requests to `serve` whose path begins with that part."""
        self._prefix_routes[first_segment] = handler

    def _route_job(self, request: JsonRequest, job_path: bytes) -> None:
        name, method, serve = job_path, b"GET", self._poll
        if job_path.endswith(CANCEL_SUFFIX):
            name, method, serve = job_path[: -len(CANCEL_SUFFIX)], b"POST", self._cancel
        job = name.decode("latin-1")
        if request.method != method:
            reject(request, 405, "method")
        elif not users.is_valid_job_id(job):
            reject(request, 404, "no such job")
        else:
            self._serve_bounded(request, lambda r: serve(r, JobId(job)))

    def _serve_bounded(self, request: JsonRequest, handler: RequestHandler) -> None:
        """Bounds the requests under way; beyond that they are refused at once."""
        if self._requests_in_flight >= self.node.tuning.pending_requests:
            reject_temporarily(request, "overloaded")
            return
        self._requests_in_flight += 1

        def over(_: Any) -> None:
            self._requests_in_flight -= 1

        request.notifyFinish().addBoth(over)
        handler(request)

    def _serve_health(self, request: JsonRequest) -> None:
        healthy = self.node.is_healthy()
        request.reply(200 if healthy else 503, b"{}", None if healthy else RETRY_AFTER_S)

    # -- what the leader's side asks of the known states

    def outcome_of(self, job: JobId) -> str | None:
        """How the job ended, if this node knows."""
        return self._outcomes.get(job)

    def record_outcome(self, job: JobId, outcome: str) -> None:
        """Remembers a durable end; it never changes."""
        self._outcomes.put(job, outcome)

    def read_job_state(
        self,
        job: JobId,
        on_found: Callable[[str], Any],
        on_absent: Callable[[], Any],
        on_failed: Callable[[], Any],
    ) -> None:
        """A fresh read of the job's state from the state service; one of the three is called."""
        self.job_states.read(
            job,
            JobStateHandlers(lambda told: on_found(told.state), on_absent, lambda _: on_failed()),
        )

    # -- users

    def _submit(self, request: JsonRequest) -> None:
        self._job_admission.submit(request)

    def _poll(self, request: JsonRequest, job: JobId) -> None:
        def found(told: peers.JobReply) -> None:
            body = users.job_state_body(
                job, told.state, told.done_count, told.running_count, told.unmet_dependencies
            )
            request.reply(200, body)

        handlers = JobStateHandlers(
            found,
            on_absent=lambda: reject(request, 404, "no such job"),
            on_failed=lambda pause: reject_temporarily(request, "cannot tell now", pause),
        )
        self.job_states.query(job, handlers)

    def _cancel(self, request: JsonRequest, job: JobId) -> None:
        def answered(verdict: str) -> None:
            self._reply_to_cancel(request, job, verdict)

        def told(answer: peers.JobReply | None) -> None:
            answered(peers.NOT_LEADER if answer is None else answer.state)

        state = self._outcomes.get(job)
        if state is not None:
            answered(state)
        elif self.node.leader_service.scheduler is not None:
            self.node.leader_service.user_answers.cancel(job, answered)
        elif not self.node.relay_service.leader_client.cancel(job, told):
            answered(peers.NOT_LEADER)

    def _reply_to_cancel(self, request: JsonRequest, job: JobId, state: str) -> None:
        if state in (users.DONE, users.CANCELLED):
            self.record_outcome(job, state)
            request.reply(200, users.job_state_body(job, state))
        elif state == peers.UNKNOWN:
            reject(request, 404, "no such job")
        else:
            reject_temporarily(request, "no leader now", SHORT_RETRY_AFTER_S)


def _first_segment(path: bytes) -> bytes:
    return path[1:].partition(b"/")[0]


def _no_such_path(request: JsonRequest) -> None:
    reject(request, 404, "no such path")
