"""A node's leadership: takes the records over when it is elected, runs the controller and hands
its work to the parts that carry it out."""

import gc
import logging
import time
from typing import TYPE_CHECKING, Any, NamedTuple

from eldercart.election.state_machine import Role
from eldercart.scheduling.scheduler import Controller
from eldercart.server.coalescing import CoalescedCall
from eldercart.server.leadership.catalog_record import CatalogRecord
from eldercart.server.leadership.cloud_requests import CloudCalls
from eldercart.server.leadership.failover import StoredRecords, TakeOver
from eldercart.server.leadership.job_record_watch import JobRecords, resolve_all
from eldercart.server.leadership.state_store_requests import StoreWork
from eldercart.server.leadership.user_answers import UserAnswers
from eldercart.server.leadership.worker_requests import WorkerCalls
from eldercart.units import Epoch, HeardReports, MachineId, NodeId, Steady, WallTime
from eldercart.wire import Malformed, peers, workers

if TYPE_CHECKING:
    from eldercart.server.controller_node import Node

log = logging.getLogger("eldercart.node")

UNHEARD_S = 5.0  # without a word from any peer or worker, after which a leader hands over
EVENTS_PAUSE_S = 0.02  # in which events gather before what follows from them is looked for


class ReportAnswer(NamedTuple):
    """The leader's answer to one report of a worker."""

    calls: list[dict[str, Any]] | None  # commands for the worker; None: the report is overtaken
    again: bool  # whether the machine's next report is wanted whatever it tells


class LeaderService:
    """Owns the controller, which is there while this node leads and has read the records."""

    def __init__(self, node: "Node") -> None:
        """Not leading yet; `begin` and `end` follow the election."""
        self.node = node
        self.controller: Controller | None = None
        self.job_records = JobRecords(node)
        self.user_answers = UserAnswers(node)
        self.catalog = CatalogRecord(node)
        self._takeover: TakeOver | None = None
        self._store_work = StoreWork(node)
        self._cloud_calls = CloudCalls(node)
        self._worker_calls = WorkerCalls(node)
        self.process_events_soon = CoalescedCall(EVENTS_PAUSE_S, self.process_events)
        self._began = node.clock()
        self.heard_at = node.clock()  # when a worker reported last, here or to a relay

    @property
    def acts(self) -> bool:
        """Whether this node leads and has read the records."""
        return self.controller is not None and self.node.election.role is Role.LEADER

    # -- terms

    def begin(self) -> None:
        """Elected: read all records, then act."""
        node = self.node
        self._abandon()
        self.job_records.reset()
        node.store.set_leader(True)
        log.info("elected epoch=%d", node.election.epoch)
        epoch = node.election.epoch
        self._takeover = TakeOver(
            node.store,
            lambda records: self._take_over(epoch, records),
            () if node.duties is None else node.duties.prefixes,
        )
        self._takeover.read_next()

    def _abandon(self) -> None:
        """Drops the controller, and a take-over that has not finished."""
        self.controller = None
        if self._takeover is not None:
            self._takeover.abandon()
            self._takeover = None

    def _take_over(self, epoch: Epoch, records: StoredRecords) -> None:
        node = self.node
        now = node.clock()
        self._takeover = None
        for item in records.catalog:
            node.take_types(item)
        self.catalog.stored = self.catalog.exists = bool(records.catalog)
        controller = Controller(
            node.settings,
            node.tuning,
            epoch,
            dict(node.types),
            now,
            WallTime(time.time()),
            node.incarnation,
        )
        resolved = resolve_all(records.jobs, records.dependency_lists)
        controller.load(
            resolved.whole,
            records.placements,
            records.cleanup_markers,
            now,
            records.memory_records,
            resolved.missing,
        )
        gc.collect()
        gc.freeze()
        if node.duties is not None:
            node.duties.take_over(controller, records.others, now)
        self.controller = controller
        self._began = now
        self.job_records.watch(controller, records.jobs_revision)
        for item in resolved.missing:
            self.job_records.learn(item)
        self.process_events()

    def end(self, why: str) -> None:
        """Leadership is over, or may be: nothing more is done in its name."""
        if self.node.duties is not None:
            self.node.duties.leadership_over()
        if self.controller is not None:
            log.info("deposed epoch=%d why=%s", self.node.election.epoch, why)
        self._abandon()
        gc.unfreeze()
        self.node.store.set_leader(False)
        self.user_answers.reset()
        self.node.relay_service.relay.revoke()

    def tick(self, now: Steady) -> None:
        """Lets the controller look at the time; hands over if this node hears nobody."""
        controller = self.controller
        if controller is None:
            return
        if self._unheard(controller, now):
            log.info("nobody is heard, peer or worker: hands over")
            self.node.election.resign(now)
            self.end("hears nobody")
            return
        node = self.node
        controller.records.may_recut = node.relay_service.greetings.all_take(peers.RECUT)
        began = node.clock()
        controller.tick(now)
        controller.tick_took(node.clock() - began)
        if controller.plan_due(now):
            self._plan(controller, now)
        self.process_events()

    def _plan(self, controller: Controller, now: Steady) -> None:
        began = self.node.clock()
        controller.plan(now)
        took = self.node.clock() - began
        controller.planner.cost(took)
        self.node.meters.add("plan", took)

    def stalled(self, seconds: float) -> None:
        """Nobody's silence meanwhile was their own. Whether this node still leads only the state
        service can tell: another may have been elected."""
        self.heard_at = Steady(self.heard_at + seconds)
        if self.controller is not None:
            self.controller.stalled(seconds)

    def _unheard(self, controller: Controller, now: Steady) -> bool:
        """Whether the store alone can be reached: another node would then lead better."""
        if not self.node.relay_service.links or not controller.fleet.machines:
            return False
        since = max(self.heard_at, self._began, self.node.relay_service.greetings.peer_heard)
        return now - since > UNHEARD_S

    # -- what follows from events

    def process_events(self) -> None:
        """Carries out what the controller has to do now, as far as limits allow."""
        controller = self.controller
        if controller is None:
            return
        node = self.node
        now = node.clock()
        self._tell_finished(controller)
        self._store_work.process_events(controller, now)
        self._worker_calls.process_events(controller, now)
        if controller.cloud.catalog_changed:
            self.catalog.store(controller)
        self._cloud_calls.process_events(controller, now)
        wants = controller.take_wants()
        if wants:
            node.relay_service.send_wants(wants)
        for wait in controller.take_start_waits():
            node.meters.add("start_wait", wait)

    def _tell_finished(self, controller: Controller) -> None:
        for job, how in controller.take_finished():
            self.node.user_service.final(job, how)
            self.user_answers.finished(job, how)

    # -- reports

    def take_raw(
        self, obj: dict[str, Any], epoch: Epoch, relay: NodeId, now: Steady
    ) -> ReportAnswer:
        """A report as a relay forwarded it under `epoch`."""
        controller = self.controller
        if controller is None or not self.acts or epoch != controller.epoch:
            return ReportAnswer([], True)  # nothing is known of it here: the next one is wanted
        try:
            report = workers.parse_report(obj)
        except Malformed as err:
            log.error("report malformed: %s", err)
            return ReportAnswer(None, True)
        return self.take_report(report, relay, now)

    def take_report(self, report: workers.Report, relay: NodeId, now: Steady) -> ReportAnswer:
        """A report that came in at `relay`, which may be this node."""
        controller = self.controller
        if controller is None or report.epoch > controller.epoch:
            return ReportAnswer([], True)
        self.heard_at = now
        commands = controller.on_report(report, now, relay)
        if commands is None:
            return ReportAnswer(None, False)
        calls = workers.command_objects(commands)
        return ReportAnswer(calls, controller.wants_next(report.machine))

    def heard(self, relay: NodeId, orders: HeardReports, now: Steady) -> None:
        """The machines that a relay answered by itself, and the reports it answered."""
        if self.controller is not None:
            self.controller.heard(relay, orders, now)

    def relay_lost(self, relay: NodeId) -> None:
        """The connection from that relay broke."""
        if self.controller is not None:
            self.controller.relay_lost(relay)

    def undelivered(self, machine: MachineId) -> None:
        """The last answer to that machine surely came too late."""
        if self.controller is not None:
            self.controller.undelivered(machine)
