"""What users and the load balancer ask of this node."""

import logging
import time
from collections import OrderedDict
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from eldercart.core import placement as rules
from eldercart.core.jobs import END, JOB, chunk_size, end_of, job_record
from eldercart.net.dependencies import WRITE_S, Dependencies, Known
from eldercart.net.server import JsonRequest
from eldercart.net.store import FOR_ACCEPTING, FOR_POLLS
from eldercart.units import ABSENT, JobId, Revision, Steady, WallTime
from eldercart.wire import Malformed, peers, users
from eldercart.wire.checks import load_object
from eldercart.wire.state import Item, Put, Txn
from eldercart.wire.users import JobSpec, ListReference

if TYPE_CHECKING:
    from eldercart.net.node import Node

log = logging.getLogger("eldercart.node")

RETRY_S = 2  # a change of leader or a short outage is over by then, often


class Front:
    """Owns the known final states and the count of requests under way."""

    def __init__(self, node: "Node") -> None:
        self.node = node
        self._finals: OrderedDict[JobId, str] = OrderedDict()
        self.dependencies = Dependencies(node)
        self._busy = 0

    def route(self, request: JsonRequest) -> None:
        path, method = request.path, request.method
        if self.node.ending.begun:
            self.node.ending.refuse(request)
        elif path == b"/v1/report":
            if method != b"POST":
                request.reply(405, users.error_body("method"))
                return
            self.node.relaying.report(request)
        elif path == b"/healthz":
            healthy = self.node.healthy()
            request.reply(200 if healthy else 503, b"{}", None if healthy else RETRY_S)
        elif path == b"/work":
            if method != b"POST":
                request.reply(405, users.error_body("method"))
                return
            self._guarded(request, self._submit)
        elif path.startswith(b"/work/"):
            rest = path[6:]
            if rest.endswith(b"/cancel"):
                name, expected, serve = rest[:-7], b"POST", self._cancel
            else:
                name, expected, serve = rest, b"GET", self._poll
            job = name.decode("latin-1")
            if method != expected:
                request.reply(405, users.error_body("method"))
            elif not users.valid_job_id(job):
                request.reply(404, users.error_body("no such job"))
            else:
                self._guarded(request, lambda r: serve(r, JobId(job)))
        elif path == b"/status" and method == b"GET":
            request.reply(200, self.node.status_page())
        else:
            request.reply(404, users.error_body("no such path"))

    def _guarded(self, request: JsonRequest, serve: Callable[[JsonRequest], None]) -> None:
        """Bounds the requests under way; beyond that they are refused at once."""
        if self._busy >= self.node.tuning.pending_requests:
            request.reply(503, users.error_body("overloaded"), RETRY_S)
            return
        self._busy += 1

        def over(_: Any) -> None:
            self._busy -= 1

        request.notifyFinish().addBoth(over)
        serve(request)

    # -- final states

    def final_of(self, job: JobId) -> str | None:
        return self._finals.get(job)

    def final(self, job: JobId, how: str) -> None:
        """An end never changes, so it may be cached."""
        self._finals[job] = how
        while len(self._finals) > self.node.tuning.final_cache:
            self._finals.popitem(last=False)

    # -- submissions

    def _submit(self, request: JsonRequest) -> None:
        node = self.node
        try:
            obj = load_object(request.body())
            job = users.job_id_of(obj)
        except Malformed as err:
            request.reply(400, users.error_body(f"malformed: {err}"))
            return
        how = self._finals.get(job)
        if how is not None:
            request.reply(200, users.state_body(job, how))
            return
        refusal: tuple[int, str] | None = None
        spec: JobSpec | None = None
        try:
            spec = users.parse_submission(obj)
        except Malformed as err:
            refusal = (400, f"malformed: {err}")
        if spec is not None:
            if spec.team not in node.settings.teams:
                refusal = (422, "unknown team")
            elif not node.types:
                log.info("submission refused: machine types unknown")
                request.reply(503, users.error_body("machine types unknown"), RETRY_S)
                return
            else:
                why = rules.never_runs(spec, node.types, node.settings.teams)
                refusal = None if why is None else (422, why)
                if refusal is None and job in spec.dependencies:
                    refusal = (422, "awaits itself")
        if refusal is not None or spec is None:
            self._refuse(request, job, *(refusal or (400, "malformed")))
        elif spec.dependencies:
            self._check_dependencies(request, spec)
        else:
            self._accept(request, spec)

    def _refuse(self, request: JsonRequest, job: JobId, status: int, message: str) -> None:
        self._unless_known(request, job, lambda: request.reply(status, users.error_body(message)))

    def _unless_known(self, request: JsonRequest, job: JobId, absent: Callable[[], Any]) -> None:
        """A repeat of an accepted job gets its state, whatever the body says now."""
        self._state_of(
            job,
            found=lambda told: request.reply(200, users.state_body(job, told.verdict)),
            absent=absent,
            failed=lambda pause: request.reply(503, users.error_body("cannot tell"), pause),
        )

    def _check_dependencies(self, request: JsonRequest, spec: JobSpec) -> None:
        """All that it awaits must have been accepted. What is found out is kept, so that the next
        try is short if this one can't be finished in the time that its user waits."""
        node = self.node
        until = Steady(node.clock() + WRITE_S)

        def known(what: Known) -> None:
            if what is Known.NOT_ALL:
                self._refuse(request, spec.id, 422, "awaits a job that was never accepted")
            elif what is Known.UNTOLD or node.clock() > until:
                # Without tokens here, its next try may find another node that has some.
                close = node.store.requests.available(node.clock(), FOR_ACCEPTING) < 1
                body = users.error_body("cannot tell about the jobs that it awaits")
                request.reply(503, body, RETRY_S, close=close)
            elif self.dependencies.fits(spec):
                self._accept(request, spec)
            else:
                # A repeat must not write the list once more.
                self._unless_known(request, spec.id, write)

        def write() -> None:
            self.dependencies.write_list(spec, until, listed)

        def listed(where: ListReference | None) -> None:
            if where is not None and node.clock() <= until:
                self._accept(request, spec, where)
            else:
                # The next try goes on with what is written if it comes here.
                request.reply(503, users.error_body("cannot store it now"), RETRY_S)

        if self.dependencies.was_accepted(spec.id):
            self._refuse(request, spec.id, 503, "try again")  # its record is there, or its end
        else:
            self.dependencies.check(spec.dependencies, known)

    def _accept(
        self, request: JsonRequest, spec: JobSpec, where: ListReference | None = None
    ) -> None:
        node = self.node
        now = node.clock()
        store = node.store
        if node.lag > node.tuning.lag_s:
            # Answers that keep leases alive come first; what can't be taken is said at once.
            request.reply(503, users.error_body("overloaded"), RETRY_S)
            return
        if store.writes.available(now, FOR_ACCEPTING) < 1 or not store.requests.take(
            now, 1, FOR_ACCEPTING
        ):
            # Its next try may well find another node with tokens: users keep their connections,
            # and a crowd that came while one node alone was up would ask that one for ever.
            request.reply(503, users.error_body("too many submissions"), RETRY_S, close=True)
            return
        store.writes.force(now)
        job = spec.id
        size = chunk_size(node.settings.value_bytes)
        at = WallTime(time.time())
        record = job_record(spec, size, at, where)
        txn = Txn({JOB + job: ABSENT, END + job: ABSENT}, [Put(JOB + job, record)])

        def done(status: int | None, revision: Revision, failed: tuple[str, ...]) -> None:
            if status in (200, 409):
                self.dependencies.forget_list(job)
            if status == 200:
                self.dependencies.accepted(job)
                request.reply(201, users.state_body(job, users.PENDING))
                c = node.leading.controller
                if c is not None:
                    c.add_job(spec, size, at, node.clock())
                    node.leading.pump_soon()
            elif status == 409 and END + job not in failed and not awaits():
                # The job is there and had not ended, as of this very transaction. It may have
                # since, and this node have told so.
                self.dependencies.accepted(job)
                state = self._finals.get(job, users.PENDING)
                request.reply(200, users.state_body(job, state))
            elif status == 409 or status is None:
                self.look_up(
                    job,
                    found=lambda s: request.reply(200 if status else 201, users.state_body(job, s)),
                    absent=lambda: request.reply(503, users.error_body("try again"), 1),
                    failed=lambda: request.reply(503, users.error_body("cannot tell"), RETRY_S),
                )
            else:
                log.info("submission not stored status=%s", status)
                request.reply(503, users.error_body("cannot store it now"), RETRY_S)

        def awaits() -> bool:
            """Whether it may have been told as cancelled with another job, before its own end."""
            return bool(spec.dependencies or self.dependencies.needs.get(job))

        store.txn(txn, done)

    def look_up(
        self,
        job: JobId,
        found: Callable[[str], Any],
        absent: Callable[[], Any],
        failed: Callable[[], Any],
    ) -> None:
        """A fresh read of the state service: first the job's record, then its end, since at the
        end the record goes and the end appears in one transaction.

        A job without an end may have been told as cancelled all the same: the leader tells it of
        all that await a job as soon as that job's own end is durable. So those before it are
        looked at. Their ends may be read after its own: each of these reads begins after the
        question came, so an end that was durable when anybody was told is seen. And when a
        cancelled one is found, this job can't be done, now or later: a job is done only after
        all before it are, and an end never changes.
        """
        store = self.node.store

        def got_job(ok: bool, item: Item | None) -> None:
            if not ok:
                failed()
                return
            if item is not None:
                self.dependencies.accepted(job)
                self.node.leading.learn(item)
            store.get(END + job, lambda ok, end: got_end(ok, end, item))

        def got_end(ok: bool, end: Item | None, item: Item | None) -> None:
            if not ok:
                failed()
            elif end is not None:
                how = end_of(end.value)
                self.final(job, how)
                found(how)
            elif item is not None:
                self.dependencies.read(item, got_dependencies)
            else:
                absent()

        def got_dependencies(names: tuple[JobId, ...] | None) -> None:
            if names is None:
                failed()
            elif names:
                self.dependencies.cancelled_before(names, got_ancestors)
            else:
                found(users.PENDING)

        def got_ancestors(cancelled: bool | None) -> None:
            if cancelled is None:
                failed()
            else:
                found(users.CANCELLED if cancelled else users.PENDING)

        if store.requests.available(self.node.clock(), FOR_POLLS) < 2:
            failed()
            return
        store.get(JOB + job, got_job)

    # -- polls and cancellations

    def _state_of(
        self,
        job: JobId,
        found: Callable[[peers.Told], Any],
        absent: Callable[[], Any],
        failed: Callable[[int], Any],
    ) -> None:
        """As the leader tells, which takes no token; what it does not know is read."""

        def fresh() -> None:
            self.look_up(
                job,
                lambda state: found(peers.Told(0, state, 0, 0)),
                absent,
                lambda: failed(RETRY_S),
            )

        def answered(told: peers.Told | None) -> None:
            if told is None or told.verdict in (peers.NOT_LEADER, peers.UNKNOWN):
                fresh()
            elif told.verdict == peers.UNDECIDED:
                failed(1)  # its end is being written
            else:
                self.dependencies.accepted(job)
                if told.verdict in (users.DONE, users.CANCELLED):
                    self.final(job, told.verdict)
                found(told)

        how = self._finals.get(job)
        if how is not None:
            found(peers.Told(0, how, 0, 0))
        elif self.node.leading.controller is not None:
            answered(self.node.leading.tell(0, job))
        elif not self.node.relaying.poll(job, answered):
            fresh()

    def _poll(self, request: JsonRequest, job: JobId) -> None:
        def found(told: peers.Told) -> None:
            body = users.state_body(job, told.verdict, told.done, told.running, told.waiting)
            request.reply(200, body)

        self._state_of(
            job,
            found,
            absent=lambda: request.reply(404, users.error_body("no such job")),
            failed=lambda pause: request.reply(503, users.error_body("cannot tell now"), pause),
        )

    def _cancel(self, request: JsonRequest, job: JobId) -> None:
        def answered(verdict: str) -> None:
            if verdict in (users.DONE, users.CANCELLED):
                self.final(job, verdict)
                request.reply(200, users.state_body(job, verdict))
            elif verdict == peers.UNKNOWN:
                request.reply(404, users.error_body("no such job"))
            else:
                request.reply(503, users.error_body("no leader now"), 1)

        def told(answer: peers.Told | None) -> None:
            answered("none" if answer is None else answer.verdict)

        how = self._finals.get(job)
        if how is not None:
            answered(how)
        elif self.node.leading.controller is not None:
            self.node.leading.cancel(job, answered)
        elif not self.node.relaying.cancel(job, told):
            answered("none")
