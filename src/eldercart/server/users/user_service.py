"""What users and the load balancer ask of this node."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from eldercart.server.http.replies import RETRY_S, SOON_S, refuse, refuse_for_now
from eldercart.server.http.server import JsonRequest
from eldercart.server.users.dependencies import Dependencies
from eldercart.server.users.job_admission import Submissions
from eldercart.server.users.job_states import JobStates, StateHandlers
from eldercart.server.users.recent_cache import FinalStates
from eldercart.units import JobId
from eldercart.wire import peers, users

if TYPE_CHECKING:
    from eldercart.server.controller_node import Node

Handler = Callable[[JsonRequest], None]

JOB_PATH, CANCEL_SUFFIX = b"/work/", b"/cancel"


class UserService:
    """Routes requests and bounds those under way; answers polls and cancellations."""

    def __init__(self, node: "Node") -> None:
        """Owns the parts that know the states of jobs."""
        self.node = node
        self._finals = FinalStates(node.tuning.final_cache)
        self.dependencies = Dependencies(node, self._finals)
        self.states = JobStates(node, self._finals, self.dependencies)
        self._submissions = Submissions(node, self._finals, self.dependencies, self.states)
        self._busy = 0
        self._further: dict[bytes, Handler] = {}  # by the first part of the path
        self._routes: dict[bytes, tuple[bytes, Handler]] = {
            b"/v1/report": (b"POST", lambda request: node.relay_service.forwarding.report(request)),
            b"/healthz": (b"GET", self._health),
            b"/status": (b"GET", lambda request: request.reply(200, node.status_page())),
            b"/work": (b"POST", lambda request: self._guarded(request, self._submit)),
        }

    # -- routing

    def route(self, request: JsonRequest) -> None:
        """Hands the request to what serves its path and method."""
        route = self._routes.get(request.path)
        if self.node.ending.begun:
            self.node.ending.refuse(request)
        elif route is not None:
            method, serve = route
            if request.method == method:
                serve(request)
            else:
                refuse(request, 405, "method")
        elif request.path.startswith(JOB_PATH):
            self._route_job(request, request.path[len(JOB_PATH) :])
        else:
            self._guarded(request, self._further.get(_first_part(request.path), _no_such_path))

    def serve_under(self, first_part: bytes, serve: Handler) -> None:
        """Hands all requests to `serve` whose path begins with that part."""
        self._further[first_part] = serve

    def _route_job(self, request: JsonRequest, rest: bytes) -> None:
        name, method, serve = rest, b"GET", self._poll
        if rest.endswith(CANCEL_SUFFIX):
            name, method, serve = rest[: -len(CANCEL_SUFFIX)], b"POST", self._cancel
        job = name.decode("latin-1")
        if request.method != method:
            refuse(request, 405, "method")
        elif not users.valid_job_id(job):
            refuse(request, 404, "no such job")
        else:
            self._guarded(request, lambda r: serve(r, JobId(job)))

    def _guarded(self, request: JsonRequest, serve: Handler) -> None:
        """Bounds the requests under way; beyond that they are refused at once."""
        if self._busy >= self.node.tuning.pending_requests:
            refuse_for_now(request, "overloaded")
            return
        self._busy += 1

        def over(_: Any) -> None:
            self._busy -= 1

        request.notifyFinish().addBoth(over)
        serve(request)

    def _health(self, request: JsonRequest) -> None:
        healthy = self.node.healthy()
        request.reply(200 if healthy else 503, b"{}", None if healthy else RETRY_S)

    # -- what the leader's side asks of the known states

    def final_of(self, job: JobId) -> str | None:
        """How the job ended, if this node knows."""
        return self._finals.get(job)

    def final(self, job: JobId, how: str) -> None:
        """Remembers a durable end; it never changes."""
        self._finals.keep(job, how)

    def look_up(
        self,
        job: JobId,
        found: Callable[[str], Any],
        absent: Callable[[], Any],
        failed: Callable[[], Any],
    ) -> None:
        """A fresh read of the job's state from the state service; one of the three is called."""
        self.states.read(
            job, StateHandlers(lambda told: found(told.verdict), absent, lambda _: failed())
        )

    # -- users

    def _submit(self, request: JsonRequest) -> None:
        self._submissions.submit(request)

    def _poll(self, request: JsonRequest, job: JobId) -> None:
        def found(told: peers.JobReply) -> None:
            body = users.state_body(job, told.verdict, told.done, told.running, told.waiting)
            request.reply(200, body)

        handlers = StateHandlers(
            found,
            absent=lambda: refuse(request, 404, "no such job"),
            failed=lambda pause: refuse_for_now(request, "cannot tell now", pause),
        )
        self.states.ask(job, handlers)

    def _cancel(self, request: JsonRequest, job: JobId) -> None:
        def answered(verdict: str) -> None:
            self._cancel_answered(request, job, verdict)

        def told(answer: peers.JobReply | None) -> None:
            answered(peers.NOT_LEADER if answer is None else answer.verdict)

        state = self._finals.get(job)
        if state is not None:
            answered(state)
        elif self.node.leader_service.controller is not None:
            self.node.leader_service.user_answers.cancel(job, answered)
        elif not self.node.relay_service.questions.cancel(job, told):
            answered(peers.NOT_LEADER)

    def _cancel_answered(self, request: JsonRequest, job: JobId, verdict: str) -> None:
        if verdict in (users.DONE, users.CANCELLED):
            self.final(job, verdict)
            request.reply(200, users.state_body(job, verdict))
        elif verdict == peers.UNKNOWN:
            refuse(request, 404, "no such job")
        else:
            refuse_for_now(request, "no leader now", SOON_S)


def _first_part(path: bytes) -> bytes:
    return path[1:].partition(b"/")[0]


def _no_such_path(request: JsonRequest) -> None:
    refuse(request, 404, "no such path")
