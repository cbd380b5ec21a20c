"""One controller node: wires the front, the mesh, the state service and the cloud to the core."""

import logging
import time
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import orjson

from eldercart.core import placement as rules
from eldercart.core.controller import (
    Controller,
    JobStatus,
    ListPage,
    Outcome,
    PendingTxn,
    Rent,
    Verdict,
)
from eldercart.core.controller import Delete as DeleteCall
from eldercart.core.jobs import END, GONE, JOB, PLACE, chunk_size, end_of, job_record
from eldercart.election import (
    LEAD_KEY,
    Action,
    Claim,
    DropHold,
    Election,
    OpenHold,
    ReadLead,
    Role,
    TouchHold,
)
from eldercart.net.buckets import Bucket
from eldercart.net.client import HttpClient, WorkerClient, reactor
from eldercart.net.meters import Meters
from eldercart.net.server import JsonFactory, JsonRequest, listen
from eldercart.net.store import FOR_ACCEPTING, FOR_ENDS, FOR_PLACING, FOR_POLLS, Store
from eldercart.settings import NodeSettings, Tuning
from eldercart.units import ABSENT, JobId, Revision, Steady, WallTime
from eldercart.wire import Malformed, cloud, peers, users, workers
from eldercart.wire.checks import load_object
from eldercart.wire.cloud import MachineType
from eldercart.wire.state import Item, Put, Txn
from eldercart.wire.users import JobSpec

log = logging.getLogger("eldercart.node")

CATALOG_KEY = "catalog"
TICK_S = 0.05
MESH_TIMEOUT_S = 0.8
CANCEL_WAIT_S = 1.5
RETRY_S = 2  # a change of leader or a short outage is over by then, often


ALONE_S = 3.0  # of refusals by the store before the peers are asked


def could_serve(ready: bool, failing_s: float, peer_served_ago_s: float) -> bool:
    """Whether users should come here. In an outage of the store every node is as good as the
    next, and turning all away would only shut the door for longer afterwards; a node that the
    store refuses while its peers are served should be left out."""
    alone = failing_s >= ALONE_S and peer_served_ago_s < 3.0
    return ready and not alone


def steady() -> Steady:
    return Steady(time.monotonic())


class Node:
    def __init__(self, settings: NodeSettings, tuning: Tuning) -> None:
        self.settings = settings
        self.tuning = tuning
        self.store = Store(settings, steady)
        self.election = Election(settings.label, tuning.hold_s, tuning.drift_margin)
        self.controller: Controller | None = None  # set while leading, once loaded
        self.types: dict[str, MachineType] = {}
        self._finals: OrderedDict[JobId, str] = OrderedDict()
        self._waiting: dict[JobId, list[Callable[[str], None]]] = {}
        self._busy = 0
        self._ready = False
        self._peers = {m.label: HttpClient(m.endpoint, 0.5, 8) for m in settings.members}
        self._cloud = HttpClient(settings.cloud, 2.0, 4)
        self._workers = WorkerClient(max(4, settings.sockets // 20))
        rate = 0.9 * settings.cloud_rps
        self._cloud_tokens = Bucket(rate, max(1.0, rate), steady())
        self._peer_served = Steady(-1e9)  # when a peer last said that the store serves it
        self._compared = Steady(-1e9)
        self._life = 0  # counts leaderships: answers to an earlier one's calls are dropped
        self._types_asked = Steady(-1e9)
        self._lead_watch = Revision(0)
        self._watching_lead = False
        self._last_tick = steady()
        self._meters = Meters()

    # ------------------------------------------------------------------ life

    def start(self) -> None:
        front = JsonFactory(self._front, max(16, int(self.settings.sockets * 0.6)))
        mesh = JsonFactory(self._mesh, max(16, int(self.settings.sockets * 0.15)))
        listen(self.settings.front, front)
        listen(self.settings.mesh, mesh)
        log.info("started label=%s zone=%s", self.settings.label, self.settings.zone)
        self._tick()

    def _tick(self) -> None:
        reactor.callLater(TICK_S, self._tick)
        now = steady()
        self._meters.add("loop_lag", now - self._last_tick - TICK_S)
        self._last_tick = now
        self._elect(now)
        self._compare_with_peers(now)
        if not self._watching_lead and self._ready:
            self._watch_lead()
        c = self.controller
        if c is not None:
            c.tick(now)
            self._pump()
        if not self.types and self._ready and now - self._types_asked > 1.0:
            self._read_types()

    # ------------------------------------------------------------------ election

    def _elect(self, now: Steady) -> None:
        action = self.election.next_action(now)
        if action is None:
            return
        e = self.election
        match action:
            case ReadLead():
                self.store.get(LEAD_KEY, lambda ok, item: self._read_lead(action, ok, item))
            case OpenHold(life):

                def opened(hold: Any) -> None:
                    if hold is None:
                        e.failed(action, steady())
                    else:
                        e.opened(hold, steady())
                        self._elect(steady())

                self.store.open_hold(int(life * 1000), opened)
            case TouchHold(hold):

                def touched(alive: bool | None) -> None:
                    if alive is None:
                        e.failed(action, steady())
                    elif e.touched(alive, steady()):
                        self._deposed("hold ended")

                self.store.touch_hold(hold, touched)
            case DropHold(hold):

                def dropped(ok: bool) -> None:
                    if ok:
                        e.dropped(steady())
                        self._elect(steady())
                    else:
                        e.failed(action, steady())

                self.store.drop_hold(hold, dropped)
            case Claim(txn):
                self.store.requests.force(now)
                self.store.writes.force(now)
                self.store.txn(txn, lambda s, rev, failed: self._claimed(action, s, rev))

    def _read_lead(self, action: Action, ok: bool, item: Item | None) -> None:
        now = steady()
        if not ok:
            self.election.failed(action, now)
            return
        self._ready = True
        if item is not None:
            self._lead_watch = max(self._lead_watch, item.version)
        self.election.read(item, now)
        if self.election.role is Role.LEADER:
            self._begin()
        self._elect(steady())

    def _claimed(self, action: Action, status: int | None, revision: Revision) -> None:
        now = steady()
        if status == 200:
            self.election.claimed(revision, now)
            self._begin()
        elif status in (400, 409):
            self.election.claimed(None, now, hold_lost=status == 400)
            self._elect(steady())
        else:
            self.election.failed(action, now)

    def _watch_lead(self) -> None:
        self._watching_lead = True

        def changed(status: int | None, revision: Revision, events: list[Any]) -> None:
            if status == 200:
                self._lead_watch = max(self._lead_watch, revision)
                if events:
                    self.election.lead_changed(steady())
                    self._elect(steady())
                self._watching_lead = False
                return
            if status == 410:
                self.election.lead_changed(steady())
                self._lead_watch = Revision(self.election.epoch)
            reactor.callLater(1.0, self._rewatch_lead)

        self.store.watch(LEAD_KEY, self._lead_watch, 20.0, changed)

    def _rewatch_lead(self) -> None:
        self._watching_lead = False

    def _deposed(self, why: str) -> None:
        if self.controller is not None or self.election.role is Role.FOLLOWER:
            log.info("deposed epoch=%d why=%s", self.election.epoch, why)
        self._life += 1
        self.controller = None
        self.store.set_leader(False)
        self._waiting.clear()

    def _begin(self) -> None:
        """Elected: read all records, then act."""
        self._life += 1
        life = self._life
        self.controller = None
        self.store.set_leader(True)
        epoch = self.election.epoch
        log.info("elected epoch=%d", epoch)
        for label in self._peers:
            self._ask(label, peers.HELLO, "", lambda _: None)
        parts: dict[str, list[Item]] = {}
        since: list[Revision] = []
        prefixes: list[str] = [CATALOG_KEY, JOB, PLACE, GONE]

        def read() -> None:
            if life != self._life:
                return
            prefix = prefixes[len(parts)]
            self.store.range(prefix, lambda items, rev: got(prefix, items, rev))

        def got(prefix: str, items: list[Item] | None, revision: Revision) -> None:
            if life != self._life:
                return
            if items is None:
                reactor.callLater(0.5, read)
                return
            parts[prefix] = items
            if prefix == JOB:
                since.append(revision)
            if len(parts) < len(prefixes):
                read()
            else:
                finish()

        def finish() -> None:
            now = steady()
            for item in parts[CATALOG_KEY]:
                self._take_types(item)
            c = Controller(
                self.settings, self.tuning, epoch, dict(self.types), now, WallTime(time.time())
            )
            c.load(parts[JOB], parts[PLACE], parts[GONE], now)
            self.controller = c
            self._watch_jobs(life, since[0])
            self._pump()

        read()

    def _watch_jobs(self, life: int, after: Revision) -> None:
        if life != self._life:
            return

        def got(status: int | None, revision: Revision, events: list[Any]) -> None:
            c = self.controller
            if life != self._life or c is None:
                return
            if status == 200:
                for event in events:
                    if isinstance(event, Item):
                        self._learn(event)
                if events:
                    self._pump()
                self._watch_jobs(life, revision)
            elif status == 410:
                self._reread_jobs(life)
            else:
                reactor.callLater(0.5, self._watch_jobs, life, after)

        self.store.watch(JOB, after, 10.0, got)

    def _learn(self, item: Item) -> None:
        c = self.controller
        job = JobId(item.key[len(JOB) :])
        if c is not None and job not in self._finals:
            c.learn_job(item, steady())

    def _reread_jobs(self, life: int) -> None:
        def got(items: list[Item] | None, revision: Revision) -> None:
            if life != self._life:
                return
            if items is None:
                reactor.callLater(0.5, self._reread_jobs, life)
                return
            for item in items:
                self._learn(item)
            self._watch_jobs(life, revision)

        self.store.range(JOB, got)

    # ------------------------------------------------------------------ the controller's work

    def _pump(self) -> None:
        c = self.controller
        if c is None:
            return
        now = steady()
        for job, how in c.take_finished():
            self._final(job, how)
            for waiter in self._waiting.pop(job, ()):
                waiter(how)
        for key in list(c.reread):
            if self.store.requests.take(now):
                self._reread(c, key)
        if self.store.requests.available(now, FOR_ENDS) >= 1:
            reserve = FOR_ENDS if c.ends_waiting else FOR_PLACING
            ops = self.store.writes.available(now, reserve)
            pending = c.next_txn(now, ops)
            if pending is not None:
                self._write(c, pending, now)
        for _, address in c.take_greetings():
            self._greet(c, address)
        if c.catalog_changed:
            self._store_types(c)
        while self._cloud_tokens.available(now) >= 1:
            call = c.next_cloud(now)
            if call is None:
                break
            self._cloud_tokens.take(now)
            self._call_cloud(c, call)

    def _greet(self, c: Controller, address: str) -> None:
        """`/show` tells the session, an empty `/orders` shows the worker this epoch; what both
        answer is a report like any other, except that no command can go back on it."""
        life = self._life

        def heard(data: bytes) -> workers.Report | None:
            if life != self._life:
                return None
            try:
                report = workers.parse_report(load_object(data))
            except Malformed as err:
                log.error("report malformed address=%s: %s", address, err)
                return None
            if report.epoch <= c.epoch:
                c.on_greeting(report, steady())
            return report

        def shown(data: bytes) -> None:
            report = heard(data)
            if report is not None and report.epoch < c.epoch:
                body = workers.orders_body(c.epoch, report.order.session, [])
                self._workers.request(b"POST", address, "/orders", body, ordered)

        def ordered(data: bytes) -> None:
            if heard(data) is not None:
                self._pump()

        self._workers.request(b"GET", address, "/show", None, shown)

    def _write(self, c: Controller, pending: PendingTxn, now: Steady) -> None:
        self.store.requests.force(now)
        self.store.writes.force(now, len(pending.txn.writes))
        life = self._life

        def done(status: int | None, revision: Revision, failed: tuple[str, ...]) -> None:
            if life != self._life:
                return
            if status == 200:
                outcome = Outcome.OK
            elif status == 409:
                outcome = Outcome.CONFLICT
            elif status in (429, 503):
                outcome = Outcome.REFUSED
            else:
                if status is not None:
                    log.error("transaction answered %d: %s", status, pending.txn.body()[:300])
                outcome = Outcome.UNKNOWN
            deposed = c.txn_done(pending, outcome, revision, failed, steady())
            if deposed:
                self.election.deposed(steady())
                self._deposed("write refused by the leader key")
            elif outcome is Outcome.OK:
                self._pump()

        self.store.txn(pending.txn, done)

    def _reread(self, c: Controller, key: str) -> None:
        c.reread_under_way.add(key)
        c.reread.discard(key)
        life = self._life

        def done(ok: bool, item: Item | None) -> None:
            if life != self._life:
                return
            c.reread_under_way.discard(key)
            if ok:
                c.reread_done(key, item, steady())
            else:
                c.reread.add(key)

        self.store.get(key, done)

    def _call_cloud(self, c: Controller, call: Any) -> None:
        life = self._life

        def done(status: int | None, data: bytes) -> None:
            if life == self._life:
                c.cloud_done(call, status, data, steady())
                self._pump()

        match call:
            case Rent(hire):
                o = hire.offer
                body = cloud.rent_body(hire.request, o.type, o.zone, o.spot, hire.number)
                self._cloud.request(b"POST", "/machines", body, 5.0, done)
            case DeleteCall(machines):
                body = cloud.delete_body(list(machines))
                self._cloud.request(b"POST", "/machines/delete", body, 5.0, done)
            case ListPage(after):
                self._cloud.request(b"GET", cloud.list_path(after), None, 5.0, done)
            case _:
                self._cloud.request(b"GET", "/catalog", None, 5.0, done)

    # ------------------------------------------------------------------ catalogue

    def _take_types(self, item: Item) -> None:
        try:
            self.types = cloud.parse_catalog(item.value)
        except (Malformed, AttributeError) as err:
            log.error("stored catalogue unreadable: %s", err)

    def _read_types(self) -> None:
        self._types_asked = steady()

        def got(ok: bool, item: Item | None) -> None:
            if ok and item is not None:
                self._take_types(item)

        self.store.get(CATALOG_KEY, got)

    def _store_types(self, c: Controller) -> None:
        """Kept for the nodes that must decide while the cloud is down. Prices move all the time
        and are not worth a write."""

        def shape(types: dict[str, MachineType]) -> Any:
            return [(t.name, t.cpus, t.gpus, t.memory_gb, t.zones) for t in types.values()]

        c.catalog_changed = False
        stored = shape(self.types)
        self.types = dict(c.types)
        if shape(c.types) == stored:
            return
        now = steady()
        self.store.requests.force(now)
        self.store.writes.force(now)
        value = cloud.catalog_record(c.types)
        txn = Txn({LEAD_KEY: Revision(c.epoch)}, [Put(CATALOG_KEY, value)])

        def done(status: int | None, revision: Revision, failed: tuple[str, ...]) -> None:
            if status != 200 and self.controller is c:
                self.types = {}
                c.catalog_changed = True

        self.store.txn(txn, done)

    # ------------------------------------------------------------------ front

    def _front(self, request: JsonRequest) -> None:
        path, method = request.path, request.method
        if path == b"/v1/report":
            if method != b"POST":
                request.reply(405, users.error_body("method"))
                return
            self._report(request)
        elif path == b"/healthz":
            healthy = self._healthy()
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
        else:
            request.reply(404, users.error_body("no such path"))

    def _guarded(self, request: JsonRequest, serve: Callable[[JsonRequest], None]) -> None:
        """Bounds the requests under way; beyond that they are refused at once."""
        if self._busy >= self.tuning.pending_requests:
            request.reply(503, users.error_body("overloaded"), RETRY_S)
            return
        self._busy += 1

        def over(_: Any) -> None:
            self._busy -= 1

        request.notifyFinish().addBoth(over)
        serve(request)

    def _healthy(self) -> bool:
        now = steady()
        failing = self.store.failing_since
        return could_serve(
            self._ready,
            0.0 if failing is None else now - failing,
            now - self._peer_served,
        )

    def _compare_with_peers(self, now: Steady) -> None:
        """While the store refuses this node, asks whether the others are served."""
        failing = self.store.failing_since
        if failing is None or now - failing < ALONE_S or now - self._compared < 1.0:
            return
        self._compared = now

        def heard(told: peers.Told | None) -> None:
            if told is not None and told.store_ok:
                self._peer_served = steady()

        for label in self._peers:
            self._ask(label, peers.HELLO, "", heard)

    def _report(self, request: JsonRequest) -> None:
        c = self.controller
        e = self.election
        now = steady()
        if c is None or e.role is not Role.LEADER:
            leader = e.leader if e.leader != self.settings.label else None
            request.reply(421, workers.redirect_body(leader))
            return
        try:
            report = workers.parse_report(load_object(request.body()))
        except Malformed as err:
            log.error("report malformed: %s", err)
            request.reply(400, users.error_body(str(err)))
            return
        if report.epoch > c.epoch:
            if e.saw_epoch(report.epoch, now):
                self._deposed("a worker has seen a higher epoch")
            request.reply(421, workers.redirect_body(None))
            return
        commands = c.on_report(report, now)
        if commands is None:
            request.reply(503, users.error_body("overtaken"), 1)
            return
        request.reply(200, workers.commands_body(c.epoch, commands))
        self._meters.add("report", steady() - now)
        for wait in c.take_start_waits():
            self._meters.add("start_wait", wait)
        self._pump()

    # -- submissions

    def _submit(self, request: JsonRequest) -> None:
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
            if spec.team not in self.settings.teams:
                refusal = (422, "unknown team")
            elif not self.types:
                request.reply(503, users.error_body("machine types unknown"), RETRY_S)
                return
            else:
                why = rules.never_runs(spec, self.types, self.settings.teams)
                refusal = None if why is None else (422, why)
        if refusal is not None or spec is None:
            # A repeat of an accepted job gets its state, whatever the body says now.
            status, message = refusal or (400, "malformed")
            self._look_up(
                job,
                found=lambda state: request.reply(200, users.state_body(job, state)),
                absent=lambda: request.reply(status, users.error_body(message)),
                failed=lambda: request.reply(503, users.error_body("cannot tell"), RETRY_S),
            )
            return
        self._accept(request, spec)

    def _accept(self, request: JsonRequest, spec: JobSpec) -> None:
        now = steady()
        store = self.store
        if store.writes.available(now, FOR_ACCEPTING) < 1 or not store.requests.take(
            now, 1, FOR_ACCEPTING
        ):
            request.reply(503, users.error_body("too many submissions"), RETRY_S)
            return
        store.writes.force(now)
        job = spec.id
        size = chunk_size(self.settings.value_bytes)
        at = WallTime(time.time())
        record = job_record(spec, size, at)
        txn = Txn({JOB + job: ABSENT, END + job: ABSENT}, [Put(JOB + job, record)])

        def done(status: int | None, revision: Revision, failed: tuple[str, ...]) -> None:
            if status == 200:
                request.reply(201, users.state_body(job, users.PENDING))
                if self.controller is not None:
                    self.controller.add_job(spec, size, at, steady())
                    self._pump()
            elif status == 409 and END + job not in failed:
                # The job is there and has not ended, as of this very transaction.
                request.reply(200, users.state_body(job, users.PENDING))
            elif status == 409 or status is None:
                self._look_up(
                    job,
                    found=lambda s: request.reply(200 if status else 201, users.state_body(job, s)),
                    absent=lambda: request.reply(503, users.error_body("try again"), 1),
                    failed=lambda: request.reply(503, users.error_body("cannot tell"), RETRY_S),
                )
            else:
                request.reply(503, users.error_body("cannot store it now"), RETRY_S)

        store.txn(txn, done)

    def _look_up(
        self,
        job: JobId,
        found: Callable[[str], Any],
        absent: Callable[[], Any],
        failed: Callable[[], Any],
    ) -> None:
        """A fresh read of the state service: first the job's record, then its end, since at the
        end the record goes and the end appears in one transaction."""

        def got_job(ok: bool, item: Item | None) -> None:
            if not ok:
                failed()
                return
            open_ = item is not None
            if open_ and self.controller is not None and item is not None:
                self._learn(item)
            self.store.get(END + job, lambda ok, end: got_end(ok, end, open_))

        def got_end(ok: bool, end: Item | None, open_: bool) -> None:
            if not ok:
                failed()
            elif end is not None:
                how = end_of(end.value)
                self._final(job, how)
                found(how)
            elif open_:
                found(users.PENDING)
            else:
                absent()

        if self.store.requests.available(steady(), FOR_POLLS) < 2:
            failed()
            return
        self.store.get(JOB + job, got_job)

    def _final(self, job: JobId, how: str) -> None:
        """An end never changes, so it may be cached."""
        self._finals[job] = how
        while len(self._finals) > self.tuning.final_cache:
            self._finals.popitem(last=False)

    # -- polls and cancellations

    def _poll(self, request: JsonRequest, job: JobId) -> None:
        def fresh() -> None:
            self._look_up(
                job,
                found=lambda state: request.reply(200, users.state_body(job, state, 0, 0)),
                absent=lambda: request.reply(404, users.error_body("no such job")),
                failed=lambda: request.reply(503, users.error_body("cannot tell now"), RETRY_S),
            )

        def answered(told: peers.Told | None) -> None:
            if told is None or told.verdict in ("not_leader", "unknown"):
                fresh()
            elif told.verdict == "undecided":
                request.reply(503, users.error_body("ending"), 1)
            else:
                if told.verdict in (users.DONE, users.CANCELLED):
                    self._final(job, told.verdict)
                body = users.state_body(job, told.verdict, told.done, told.running)
                request.reply(200, body)

        how = self._finals.get(job)
        if how is not None:
            request.reply(200, users.state_body(job, how, 0, 0))
        elif self.controller is not None:
            answered(self._tell_poll(job))
        elif self.election.leader in self._peers:
            self._ask(self.election.leader, peers.POLL, job, answered)
        else:
            fresh()

    def _tell_poll(self, job: JobId) -> peers.Told:
        """The leader's answer; only within its lease is a state that may change told."""
        epoch = self.election.epoch
        how = self._finals.get(job)
        if how is not None:
            return peers.Told(how, epoch, 0, 0, True)
        c = self.controller
        if c is None or not self.election.within_lease(steady()):
            return peers.Told("not_leader", epoch, 0, 0, True)
        status = c.status(job)
        if isinstance(status, JobStatus):
            return peers.Told(status.state, epoch, status.done, status.running, True)
        return peers.Told(
            "undecided" if status is Verdict.UNDECIDED else "unknown", epoch, 0, 0, True
        )

    def _cancel(self, request: JsonRequest, job: JobId) -> None:
        def answered(verdict: str) -> None:
            if verdict in (users.DONE, users.CANCELLED):
                self._final(job, verdict)
                request.reply(200, users.state_body(job, verdict))
            elif verdict == "unknown":
                request.reply(404, users.error_body("no such job"))
            else:
                request.reply(503, users.error_body("no leader now"), 1)

        how = self._finals.get(job)
        if how is not None:
            answered(how)
        elif self.controller is not None:
            self._tell_cancel(job, answered)
        elif self.election.leader in self._peers:
            self._ask(
                self.election.leader,
                peers.CANCEL,
                job,
                lambda told: answered("none" if told is None else told.verdict),
                CANCEL_WAIT_S + 0.5,
            )
        else:
            answered("none")

    def _tell_cancel(self, job: JobId, answer: Callable[[str], None]) -> None:
        c = self.controller
        how = self._finals.get(job)
        if how is not None or c is None:
            answer(how or "not_leader")
            return
        verdict = c.cancel(job, steady())
        if verdict is Verdict.UNKNOWN_JOB:
            # The watch may lag behind another node's acceptance: the look-up teaches the job.
            def found(state: str) -> None:
                if state in (users.DONE, users.CANCELLED):
                    answer(state)
                elif self.controller is not None and self.controller.jobs.get(job) is not None:
                    self._tell_cancel(job, answer)
                else:
                    answer("undecided")

            self._look_up(job, found, lambda: answer("unknown"), lambda: answer("undecided"))
            return
        if isinstance(verdict, str):
            answer(verdict)
            return
        # The end must be durable before it is told; that takes one write.
        waiter = _Once(answer)
        self._waiting.setdefault(job, []).append(waiter)
        reactor.callLater(CANCEL_WAIT_S, waiter, "undecided")
        self._pump()

    # ------------------------------------------------------------------ mesh

    def _ask(
        self,
        label: Any,
        op: str,
        job: str,
        done: Callable[[peers.Told | None], None],
        timeout: float = MESH_TIMEOUT_S,
    ) -> None:
        body = peers.ask_body(op, job, self.election.epoch, self.settings.label)

        def got(status: int | None, data: bytes) -> None:
            told: peers.Told | None = None
            if status == 200:
                try:
                    told = peers.parse_told(data)
                except Malformed as err:
                    log.error("peer answer malformed peer=%s: %s", label, err)
            if told is not None and self.election.saw_epoch(told.epoch, steady()):
                self._deposed("a peer knows a higher epoch")
            done(told)

        self._peers[label].request(b"POST", "/mesh", body, timeout, got)

    def _mesh(self, request: JsonRequest) -> None:
        if request.path == b"/status" and request.method == b"GET":
            request.reply(200, self._status_page())
            return
        if request.path != b"/mesh" or request.method != b"POST":
            request.reply(404, users.error_body("no such path"))
            return
        try:
            ask = peers.parse_ask(request.body())
        except Malformed as err:
            request.reply(400, users.error_body(str(err)))
            return
        if self.election.saw_epoch(ask.epoch, steady()):
            self._deposed("a peer knows a higher epoch")

        def tell(verdict: str, done: int = 0, running: int = 0) -> None:
            ok = self.store.failing_since is None
            request.reply(200, peers.told_body(verdict, self.election.epoch, ok, done, running))

        if ask.op == peers.POLL:
            told = self._tell_poll(JobId(ask.job))
            tell(told.verdict, told.done, told.running)
        elif ask.op == peers.CANCEL:
            self._tell_cancel(JobId(ask.job), tell)
        else:
            tell("hello")

    def _status_page(self) -> bytes:
        c = self.controller
        page: dict[str, Any] = {
            "label": self.settings.label,
            "role": self.election.role.value,
            "leader": self.election.leader,
            "epoch": self.election.epoch,
            "milliseconds": self._meters.page(),
        }
        if c is not None:
            page["jobs"] = len(c.jobs.jobs)
            page["machines"] = len(c.fleet.machines)
        return orjson.dumps(page)


class _Once:
    """A waiter that answers once, by the end or by its time-out."""

    def __init__(self, answer: Callable[[str], None]) -> None:
        self._answer: Callable[[str], None] | None = answer

    def __call__(self, verdict: str) -> None:
        answer, self._answer = self._answer, None
        if answer is not None:
            answer(verdict)


__all__ = ["Node"]
