"""What the leader's node does for the core: carries out its writes and cloud calls, hands in
reports and questions, and watches the job records that other nodes create."""

import gc
import logging
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from twisted.internet import reactor as _reactor

from eldercart.core.controller import (
    Controller,
    GetCatalog,
    JobStatus,
    ListPage,
    Order,
    Outcome,
    PendingTxn,
    Rent,
    Verdict,
)
from eldercart.core.controller import Delete as DeleteCall
from eldercart.core.jobs import (
    END,
    GONE,
    JOB,
    NEEDS,
    PLACE,
    end_of,
    list_reference,
    needs_prefix,
    resolve,
)
from eldercart.core.memory import FILL, MEMO
from eldercart.election import LEAD_KEY, Role
from eldercart.net.buckets import Bucket
from eldercart.net.client import HttpClient, WorkerClient
from eldercart.net.coalescing import CoalescedCall
from eldercart.net.store import FOR_ENDS, FOR_MEMORY, FOR_PLACING, FOR_POLLS
from eldercart.units import Epoch, JobId, MachineId, NodeId, ReportOrder, Revision, Steady, WallTime
from eldercart.wire import Malformed, cloud, peers, users, workers
from eldercart.wire.checks import load_object
from eldercart.wire.cloud import MachineType
from eldercart.wire.state import Item, Put, Txn

if TYPE_CHECKING:
    from eldercart.net.node import Node

reactor: Any = _reactor
log = logging.getLogger("eldercart.node")

CATALOG_KEY = "catalog"
CANCEL_WAIT_S = 1.5
UNHEARD_S = 5.0  # without a word from any peer or worker, after which a leader hands over
OUTCOMES = {
    200: Outcome.OK,
    400: Outcome.MALFORMED,
    409: Outcome.CONFLICT,
    413: Outcome.MALFORMED,
    429: Outcome.REFUSED,
    503: Outcome.REFUSED,
}  # any other status, or none: unknown
TYPES_AGAIN_S = 1.0  # after a write of the machine types that was not done
LIST_AGAIN_S, LIST_LONGEST_S = 0.5, 10.0  # pauses before a list is read again
READS = 20  # ends of awaited jobs that are read at once
PUMP_S = 0.02  # in which events gather before what follows from them is looked for


class Leading:
    """Owns the controller, which is there while this node leads and has read the records."""

    def __init__(self, node: "Node") -> None:
        self.node = node
        self.controller: Controller | None = None
        self._life = 0  # counts leaderships: answers to an earlier one's calls are dropped
        self._waiting: dict[JobId, list[Callable[[str], None]]] = {}
        self._resolving: set[JobId] = set()  # jobs whose list of dependencies is being read
        s = node.settings
        self._cloud = HttpClient(s.cloud, 2.0, 6)
        self._workers = WorkerClient(max(4, s.sockets // 20))
        rate = 0.9 * s.cloud_rps
        self._cloud_tokens = Bucket(rate, max(1.0, rate), node.clock())
        self.pump_soon = CoalescedCall(PUMP_S, self.pump)
        self._began = node.clock()
        self._types_stored = True  # the machine types that this node knows, as far as it knows
        self._types_due = Steady(0)  # they are not written before
        self.heard_at = node.clock()  # when a worker reported last, here or to a relay

    @property
    def acts(self) -> bool:
        return self.controller is not None and self.node.election.role is Role.LEADER

    # -- life

    def begin(self) -> None:
        """Elected: read all records, then act."""
        node = self.node
        self._life += 1
        life = self._life
        self.controller = None
        self._resolving.clear()
        node.store.set_leader(True)
        epoch = node.election.epoch
        log.info("elected epoch=%d", epoch)
        parts: dict[str, list[Item]] = {}
        since: list[Revision] = []
        prefixes: list[str] = [CATALOG_KEY, JOB, PLACE, GONE, MEMO]

        def read() -> None:
            if life != self._life:
                return
            if len(parts) == len(prefixes):
                finish()
                return
            prefix = prefixes[len(parts)]
            node.store.range(prefix, lambda items, rev: got(prefix, items, rev))

        def got(prefix: str, items: list[Item] | None, revision: Revision) -> None:
            if life != self._life:
                return
            if items is None:
                reactor.callLater(0.5, read)
                return
            parts[prefix] = items
            if prefix == JOB:
                since.append(revision)
                if any(_refers(item) for item in items):
                    # After the records: a list is there before the record that refers to it.
                    prefixes.append(NEEDS)
            read()

        def finish() -> None:
            now = node.clock()
            for item in parts[CATALOG_KEY]:
                node.take_types(item)
            self._types_stored = bool(parts[CATALOG_KEY])
            c = Controller(
                node.settings, node.tuning, epoch, dict(node.types), now, WallTime(time.time()),
                node.life,
            )  # fmt: skip
            jobs, unresolved = _resolved(parts[JOB], parts.get(NEEDS, []))
            c.load(jobs, parts[PLACE], parts[GONE], now, parts[MEMO])
            gc.collect()
            gc.freeze()
            self.controller = c
            self._began = now
            self._watch_jobs(life, since[0])
            for item in unresolved:
                self.learn(item)
            self.pump()

        read()

    def end(self, why: str) -> None:
        if self.controller is not None:
            log.info("deposed epoch=%d why=%s", self.node.election.epoch, why)
        self._life += 1
        self.controller = None
        gc.unfreeze()
        self.node.store.set_leader(False)
        self._waiting.clear()
        self.node.relaying.relay.revoke()

    def tick(self, now: Steady) -> None:
        c = self.controller
        if c is None:
            return
        if self._unheard(c, now):
            log.info("nobody is heard, peer or worker: hands over")
            self.node.election.resign(now)
            self.end("hears nobody")
            return
        c.records.may_recut = self.node.relaying.all_take(peers.RECUT)
        c.tick(now)
        if c.plan_due(now):
            c.plan(now)
            took = self.node.clock() - now
            c.planner.cost(took)
            self.node.meters.add("plan", took)
        self.pump()

    def stood_still(self, seconds: float) -> None:
        """Nobody's silence meanwhile was their own. Whether this node still leads only the state
        service can tell: another may have been elected."""
        self.heard_at = Steady(self.heard_at + seconds)
        if self.controller is not None:
            self.controller.stood_still(seconds)

    def _unheard(self, c: Controller, now: Steady) -> bool:
        """Whether the store alone can be reached: another node would then lead better."""
        if not self.node.relaying.links or not c.fleet.machines:
            return False
        since = max(self.heard_at, self._began, self.node.relaying.peer_heard)
        return now - since > UNHEARD_S

    # -- job records

    def _watch_jobs(self, life: int, after: Revision) -> None:
        if life != self._life:
            return

        def got(status: int | None, revision: Revision, events: list[Any]) -> None:
            if life != self._life or self.controller is None:
                return
            if status == 200:
                for event in events:
                    if isinstance(event, Item):
                        self.learn(event)
                if events:
                    self.pump_soon()
                self._watch_jobs(life, revision)
            elif status == 410:
                self._reread_jobs(life)
            else:
                reactor.callLater(0.5, self._watch_jobs, life, after)

        self.node.store.watch(JOB, after, 10.0, got)

    def learn(self, item: Item) -> None:
        """A record that refers to a list is learned with it. As long as the list can't be read the
        job stays unknown here: polls look it up, and nothing of it may start."""
        c = self.controller
        job = JobId(item.key[len(JOB) :])
        if c is None or self.node.front.final_of(job) is not None:
            return
        if not _refers(item):
            c.learn_job(item, self.node.clock())
        elif job not in c.jobs and job not in self._resolving:
            self._resolving.add(job)
            self._resolve(self._life, job, item, LIST_AGAIN_S)

    def _resolve(self, life: int, job: JobId, item: Item, pause: float) -> None:
        """Reads the list that the record refers to, until it is there."""
        if life != self._life:
            return
        c = self.controller
        reference = list_reference(item.value)
        if reference is None or c is None or job in c.jobs:
            self._resolving.discard(job)
            return
        if self.node.front.final_of(job) is not None:
            self._resolving.discard(job)
            return

        def got(lists: list[Item] | None, revision: Revision) -> None:
            if life != self._life or self.controller is None:
                return
            whole = None if lists is None else resolve(job, item, lists)
            if whole is None:
                log.info("list of dependencies not read job=%s", job)
                longer = min(LIST_LONGEST_S, 2 * pause)
                reactor.callLater(pause, self._resolve, life, job, item, longer)
                return
            self._resolving.discard(job)
            if self.node.front.final_of(job) is None:
                self.controller.learn_job(whole, self.node.clock())
                self.pump_soon()

        self.node.store.range(needs_prefix(job, reference), got)

    def _reread_jobs(self, life: int) -> None:
        def got(items: list[Item] | None, revision: Revision) -> None:
            if life != self._life:
                return
            if items is None:
                reactor.callLater(0.5, self._reread_jobs, life)
                return
            for item in items:
                self.learn(item)
            self._watch_jobs(life, revision)

        self.node.store.range(JOB, got)

    # -- what follows from events

    def pump(self) -> None:
        c = self.controller
        if c is None:
            return
        node = self.node
        now = node.clock()
        for job, how in c.take_finished():
            node.front.final(job, how)
            for waiter in self._waiting.pop(job, ()):
                waiter(how)
        for key in list(c.reread):
            if node.store.requests.take(now):
                self._reread(c, key)
        for job in c.take_unread(now, min(READS, node.store.requests.available(now, FOR_POLLS))):
            self._read_end(c, job)
        if node.store.requests.available(now, FOR_ENDS) >= 1:
            reserve = FOR_ENDS if c.ends_waiting else FOR_PLACING
            ops = node.store.writes.available(now, reserve)
            pending = c.next_txn(now, ops)
            if pending is not None:
                self._write(c, pending, now)
        spare = node.store.writes.available(now, FOR_MEMORY)
        if spare >= 1:
            memo = c.next_memo(now, spare)
            if memo is not None:
                node.store.requests.force(now)
                node.store.writes.force(now, len(memo.writes))
                node.store.txn(memo, lambda status, revision, failed: None)
        for machine, address in c.take_probes():
            self._probe(c, machine, address)
        for order in c.take_orders(now):
            self._order(c, order)
        if c.cloud.catalog_changed:
            self._store_types(c)
        orders = node.election.may_order(now, node.store.refused_at)
        while orders and self._cloud_tokens.available(now) >= 1:
            call = c.next_cloud(now)
            if call is None:
                break
            self._cloud_tokens.take(now)
            self._call_cloud(c, call)
        wants = c.take_wants()
        if wants:
            node.relaying.send_wants(wants)
        for wait in c.take_start_waits():
            node.meters.add("start_wait", wait)

    def _probe(self, c: Controller, machine: MachineId, address: str) -> None:
        """`/show` tells whether a machine lives that nothing is heard of. What it lists is not
        read: it may cross the response to a report and lack what that response launches."""

        def shown(status: int, report: workers.Report) -> None:
            if status == 200:
                c.shown(machine, self.node.clock())

        self._ask_worker(machine, address, "/show", None, shown)

    def _order(self, c: Controller, order: Order) -> None:
        sent = self.node.clock()

        def told(status: int, report: workers.Report) -> None:
            if report.epoch > c.epoch:
                self.node.saw_epoch(report.epoch, "a worker has seen a higher epoch")
            elif status in (200, 409):
                c.ordered(report, status == 200, sent, self.node.clock())
                self.pump_soon()

        body = workers.order_body(c.epoch, order.session, order.commands)
        self._ask_worker(order.machine, order.address, "/orders", body, told)

    def _ask_worker(
        self, machine: MachineId, address: str, path: str, body: bytes | None,
        told: Callable[[int, workers.Report], None],
    ) -> None:  # fmt: skip
        """`told(status, report)` if that machine answers with its report."""
        life = self._life

        def got(status: int | None, data: bytes) -> None:
            if life != self._life or status not in (200, 409):
                return
            try:
                report = workers.parse_report(load_object(data))
            except Malformed as err:
                log.error("report malformed address=%s: %s", address, err)
                return
            if report.machine == machine:
                told(status, report)

        self._workers.request(address, path, body, got)

    def _write(self, c: Controller, pending: PendingTxn, now: Steady) -> None:
        store = self.node.store
        store.requests.force(now)
        store.writes.force(now, len(pending.txn.writes))
        life = self._life

        def done(status: int | None, revision: Revision, failed: tuple[str, ...]) -> None:
            if life != self._life:
                return
            outcome = Outcome.UNKNOWN if status is None else OUTCOMES.get(status, Outcome.UNKNOWN)
            if status is not None and outcome in (Outcome.MALFORMED, Outcome.UNKNOWN):
                log.error("transaction answered %d: %s", status, pending.txn.body()[:300])
            at = self.node.clock()
            self.node.meters.add("write", at - now)
            if c.txn_done(pending, outcome, revision, failed, at):
                self.node.deposed("write refused by the leader key")
            else:
                self.pump()

        store.txn(pending.txn, done)

    def _reread(self, c: Controller, key: str) -> None:
        c.reread_under_way.add(key)
        c.reread.discard(key)
        life = self._life

        def done(ok: bool, item: Item | None) -> None:
            if life != self._life:
                return
            c.reread_under_way.discard(key)
            if ok:
                c.reread_done(key, item, self.node.clock())
            else:
                c.reread.add(key)

        self.node.store.get(key, done)

    def _read_end(self, c: Controller, job: JobId) -> None:
        """How a job ended that others await and that is not in the book any more."""
        how = self.node.front.final_of(job)
        if how is not None:
            c.end_read(job, how, self.node.clock())
            return
        life = self._life

        def done(ok: bool, item: Item | None) -> None:
            if life != self._life:
                return
            c.end_read(job, None if item is None else end_of(item.value), self.node.clock())
            self.pump_soon()

        self.node.store.get(END + job, done)

    def _call_cloud(self, c: Controller, call: Any) -> None:
        life = self._life

        def done(status: int | None, data: bytes) -> None:
            if life == self._life:
                c.cloud_done(call, status, data, self.node.clock())
                self.pump_soon()

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
            case GetCatalog():
                self._cloud.request(b"GET", "/catalog", None, 5.0, done)

    def _store_types(self, c: Controller) -> None:
        """Kept for the nodes that must decide while the cloud is down. Prices move all the time
        and are not worth a write."""

        def shape(types: dict[str, MachineType]) -> Any:
            return [(t.name, t.cpus, t.gpus, t.memory_gb, t.zones) for t in types.values()]

        node = self.node
        known = shape(node.types)
        node.types = dict(c.floor.types)
        self._types_stored = self._types_stored and shape(c.floor.types) == known
        if self._types_stored:
            c.cloud.catalog_changed = False
            return
        now = node.clock()
        if now < self._types_due or node.store.writes.available(now, FOR_PLACING) < 1:
            return
        c.cloud.catalog_changed = False
        self._types_stored = True
        node.store.requests.force(now)
        node.store.writes.force(now)
        value = cloud.catalog_record(c.floor.types, int(FILL * node.settings.value_bytes))
        txn = Txn({LEAD_KEY: Revision(c.epoch)}, [Put(CATALOG_KEY, value)])

        def done(status: int | None, revision: Revision, failed: tuple[str, ...]) -> None:
            if status in (400, 413):
                # Too large, say: to repeat it would use up the changes. This node knows the types,
                # and the others answer with 503 as long as they don't.
                log.error("catalogue refused by the state service status=%s", status)
            elif status != 200 and self.controller is c:
                # Its own submissions go on being judged; a repeat at every turn of the loop would
                # use up the changes just when there are too few.
                self._types_stored = False
                self._types_due = Steady(node.clock() + TYPES_AGAIN_S)
                c.cloud.catalog_changed = True

        node.store.txn(txn, done)

    # -- reports

    def take_raw(
        self, obj: dict[str, Any], epoch: Epoch, relay: NodeId, now: Steady
    ) -> tuple[list[dict[str, Any]] | None, bool]:
        c = self.controller
        if c is None or not self.acts or epoch != c.epoch:
            return [], True  # nothing is known of it here: the next one is wanted, too
        try:
            report = workers.parse_report(obj)
        except Malformed as err:
            log.error("report malformed: %s", err)
            return None, True
        return self.take_report(report, relay, now)

    def take_report(
        self, report: workers.Report, relay: NodeId, now: Steady
    ) -> tuple[list[dict[str, Any]] | None, bool]:
        """The commands for the worker, and whether its next report is wanted whatever it tells."""
        c = self.controller
        if c is None or report.epoch > c.epoch:
            return [], True
        self.heard_at = now
        commands = c.on_report(report, now, relay)
        if commands is None:
            return None, False
        self.node.meters.add("report", self.node.clock() - now)
        return workers.command_objects(commands), c.wants_next(report.machine)

    def heard(
        self, relay: NodeId, orders: tuple[tuple[MachineId, ReportOrder], ...], now: Steady
    ) -> None:
        if self.controller is not None:
            self.controller.heard(relay, orders, now)

    def relay_lost(self, relay: NodeId) -> None:
        if self.controller is not None:
            self.controller.relay_lost(relay)

    def undelivered(self, machine: MachineId) -> None:
        if self.controller is not None:
            self.controller.undelivered(machine)

    # -- users

    def tell(self, number: int, job: JobId) -> peers.Told:
        """The leader's answer; only within its hold is a state that may change told."""
        how = self.node.front.final_of(job)
        if how is not None:
            return peers.Told(number, how, 0, 0)
        c = self.controller
        if c is None or not self.node.election.within_lease(self.node.clock()):
            return peers.Told(number, peers.NOT_LEADER, 0, 0)
        status = c.status(job)
        if isinstance(status, JobStatus):
            waiting = status.waiting[: users.MAX_TOLD]
            return peers.Told(number, status.state, status.done, status.running, waiting)
        undecided = status is Verdict.UNDECIDED
        return peers.Told(number, peers.UNDECIDED if undecided else peers.UNKNOWN, 0, 0)

    def cancel(self, job: JobId, answer: Callable[[str], None]) -> None:
        c = self.controller
        how = self.node.front.final_of(job)
        if how is not None or c is None:
            answer(how or peers.NOT_LEADER)
            return
        verdict = c.cancel(job, self.node.clock())
        if verdict is Verdict.UNKNOWN_JOB:
            # The watch may lag behind another node's acceptance: the look-up teaches the job.
            def found(state: str) -> None:
                if state in (users.DONE, users.CANCELLED):
                    answer(state)
                elif self.controller is not None and self.controller.jobs.get(job) is not None:
                    self.cancel(job, answer)
                else:
                    answer(peers.UNDECIDED)

            self.node.front.look_up(
                job, found, lambda: answer(peers.UNKNOWN), lambda: answer(peers.UNDECIDED)
            )
            return
        if isinstance(verdict, str):
            answer(verdict)
            return
        # The end must be durable before it is told; that takes one write.
        waiter = _Once(answer)
        self._waiting.setdefault(job, []).append(waiter)
        reactor.callLater(CANCEL_WAIT_S, waiter, peers.UNDECIDED)
        self.pump()


def _refers(item: Item) -> bool:
    try:
        return list_reference(item.value) is not None
    except Malformed:
        return False  # unreadable in any case; whoever reads it says so


def _resolved(records: list[Item], lists: list[Item]) -> tuple[list[Item], list[Item]]:
    """The job records with their lists in them, and those whose lists are not all there."""
    of_job: dict[str, list[Item]] = {}
    for item in lists:
        of_job.setdefault(item.key[len(NEEDS) :].partition("/")[0], []).append(item)
    whole: list[Item] = []
    missing: list[Item] = []
    for item in records:
        job = JobId(item.key[len(JOB) :])
        found = resolve(job, item, of_job.get(job, ())) if _refers(item) else item
        if found is None:
            missing.append(item)
        else:
            whole.append(found)
    return whole, missing


class _Once:
    """A waiter that answers once, by the end or by its time-out."""

    def __init__(self, answer: Callable[[str], None]) -> None:
        self._answer: Callable[[str], None] | None = answer

    def __call__(self, verdict: str) -> None:
        answer, self._answer = self._answer, None
        if answer is not None:
            answer(verdict)
