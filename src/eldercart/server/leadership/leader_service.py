"""A node's leadership: takes the records over when it is elected, runs the controller and hands
its work to the parts that carry it out."""

import gc
import logging
import time
from typing import TYPE_CHECKING, Any, NamedTuple

from eldercart.election.state_machine import Role
from eldercart.scheduling.scheduler import Scheduler
from eldercart.server.coalescing import CoalescedCall
from eldercart.server.leadership.catalog_record import CatalogRecord
from eldercart.server.leadership.cloud_requests import CloudRequests
from eldercart.server.leadership.failover import Failover, StoredRecords
from eldercart.server.leadership.job_record_watch import JobRecordWatch, resolve_dependency_lists
from eldercart.server.leadership.state_store_requests import StateStoreRequests
from eldercart.server.leadership.user_answers import UserAnswers
from eldercart.server.leadership.worker_requests import WorkerRequests
from eldercart.units import (
    AcknowledgedHeartbeats,
    FencingToken,
    MachineId,
    MonotonicTime,
    NodeId,
    WallTime,
)
from eldercart.wire import MalformedMessage, peers, workers

if TYPE_CHECKING:
    from eldercart.server.controller_node import ControllerNode

log = logging.getLogger("eldercart.node")

ISOLATION_TIMEOUT_S = 5.0  # without a word from any peer or worker, after which a leader hands over
EVENT_BATCH_DELAY_S = 0.02  # in which events gather before what follows from them is looked for


class HeartbeatResponse(NamedTuple):
    """The leader's answer to one report of a worker."""

    commands: list[dict[str, Any]] | None  # commands for the worker; None: the report is overtaken
    wants_next: bool  # whether the machine's next report is wanted whatever it tells


class LeaderService:
    """Owns the controller, which is there while this node leads and has read the records."""

    def __init__(self, node: "ControllerNode") -> None:
        """Not leading yet; `begin` and `end` follow the election."""
        self.node = node
        self.scheduler: Scheduler | None = None
        self.job_record_watch = JobRecordWatch(node)
        self.user_answers = UserAnswers(node)
        self.catalog_record = CatalogRecord(node)
        self._failover: Failover | None = None
        self._store_requests = StateStoreRequests(node)
        self._cloud_requests = CloudRequests(node)
        self._worker_requests = WorkerRequests(node)
        self.process_events_soon = CoalescedCall(EVENT_BATCH_DELAY_S, self.process_events)
        self._started_at = node.clock()
        self.last_heartbeat_at = node.clock()  # when a worker reported last, here or to a relay

    @property
    def is_active(self) -> bool:
        """Whether this node leads and has read the records."""
        return self.scheduler is not None and self.node.election.role is Role.LEADER

    # -- terms

    def start_failover(self) -> None:
        """Elected: read all records, then act."""
        node = self.node
        self._discard_scheduler()
        self.job_record_watch.reset()
        node.store.set_leader(True)
        log.info("elected epoch=%d", node.election.token)
        epoch = node.election.token
        self._failover = Failover(
            node.store,
            lambda records: self._complete_failover(epoch, records),
            () if node.singleton_service is None else node.singleton_service.stored_prefixes,
        )
        self._failover.read_next()

    def _discard_scheduler(self) -> None:
        """Drops the controller, and a take-over that has not finished."""
        self.scheduler = None
        if self._failover is not None:
            self._failover.cancel()
            self._failover = None

    def _complete_failover(self, epoch: FencingToken, records: StoredRecords) -> None:
        node = self.node
        now = node.clock()
        self._failover = None
        for item in records.catalog:
            node.load_machine_types(item)
        self.catalog_record.is_stored = self.catalog_record.has_any_stored = bool(records.catalog)
        controller = Scheduler(
            node.settings,
            node.tuning,
            epoch,
            dict(node.machine_types),
            now,
            WallTime(time.time()),
            node.incarnation,
        )
        resolved = resolve_dependency_lists(records.jobs, records.dependency_lists)
        controller.load(
            resolved.resolved,
            records.placements,
            records.cleanup_markers,
            now,
            records.learned_state,
            resolved.unresolved,
        )
        gc.collect()
        gc.freeze()
        if node.singleton_service is not None:
            node.singleton_service.on_leadership_gained(controller, records.additional_records, now)
        self.scheduler = controller
        self._started_at = now
        self.job_record_watch.watch(controller, records.jobs_revision)
        for item in resolved.unresolved:
            self.job_record_watch.add_record(item)
        self.process_events()

    def end_leadership(self, why: str) -> None:
        """Leadership is over, or may be: nothing more is done in its name."""
        if self.node.singleton_service is not None:
            self.node.singleton_service.on_leadership_lost()
        if self.scheduler is not None:
            log.info("deposed epoch=%d why=%s", self.node.election.token, why)
        self._discard_scheduler()
        gc.unfreeze()
        self.node.store.set_leader(False)
        self.user_answers.reset()
        self.node.relay_service.relay.revoke_lease()

    def tick(self, now: MonotonicTime) -> None:
        """Lets the controller look at the time; hands over if this node hears nobody."""
        controller = self.scheduler
        if controller is None:
            return
        if self._is_isolated(controller, now):
            log.info("nobody is heard, peer or worker: hands over")
            self.node.election.resign(now)
            self.end_leadership("hears nobody")
            return
        node = self.node
        controller.transaction_writer.subchunks_supported = (
            node.relay_service.peer_heartbeats.all_support(peers.RECHUNKING)
        )
        began = node.clock()
        controller.tick(now)
        controller.record_tick_duration(node.clock() - began)
        if controller.is_planning_due(now):
            self._plan(controller, now)
        self.process_events()

    def _plan(self, controller: Scheduler, now: MonotonicTime) -> None:
        began = self.node.clock()
        controller.plan(now)
        took = self.node.clock() - began
        controller.planner.record_pass_duration(took)
        self.node.metrics.record("plan", took)

    def exclude_stall(self, seconds: float) -> None:
        """Nobody's silence meanwhile was their own. Whether this node still leads only the state
        service can tell: another may have been elected."""
        self.last_heartbeat_at = MonotonicTime(self.last_heartbeat_at + seconds)
        if self.scheduler is not None:
            self.scheduler.exclude_stall(seconds)

    def _is_isolated(self, controller: Scheduler, now: MonotonicTime) -> bool:
        """Whether the store alone can be reached: another node would then lead better."""
        if not self.node.relay_service.links or not controller.inventory.machines:
            return False
        since = max(
            self.last_heartbeat_at,
            self._started_at,
            self.node.relay_service.peer_heartbeats.last_peer_contact_at,
        )
        return now - since > ISOLATION_TIMEOUT_S

    # -- what follows from events

    def process_events(self) -> None:
        """Carries out what the controller has to do now, as far as limits allow."""
        controller = self.scheduler
        if controller is None:
            return
        node = self.node
        now = node.clock()
        self._publish_finished_jobs(controller)
        self._store_requests.process_events(controller, now)
        self._worker_requests.process_events(controller, now)
        if controller.cloud_requests.catalog_changed:
            self.catalog_record.sync(controller)
        self._cloud_requests.process_events(controller, now)
        wants = controller.take_machines_needing_command()
        if wants:
            node.relay_service.request_next_heartbeats(wants)
        for wait in controller.take_start_latencies_s():
            node.metrics.record("start_wait", wait)

    def _publish_finished_jobs(self, controller: Scheduler) -> None:
        for job, how in controller.take_finished_jobs():
            self.node.user_service.record_outcome(job, how)
            self.user_answers.on_job_finished(job, how)

    # -- reports

    def handle_forwarded_heartbeat(
        self, obj: dict[str, Any], epoch: FencingToken, relay: NodeId, now: MonotonicTime
    ) -> HeartbeatResponse:
        """A report as a relay forwarded it under `epoch`."""
        controller = self.scheduler
        if controller is None or not self.is_active or epoch != controller.token:
            return HeartbeatResponse(
                [], True
            )  # nothing is known of it here: the next one is wanted
        try:
            report = workers.parse_heartbeat(obj)
        except MalformedMessage as err:
            log.error("report malformed: %s", err)
            return HeartbeatResponse(None, True)
        return self.handle_heartbeat(report, relay, now)

    def handle_heartbeat(
        self, report: workers.Heartbeat, relay: NodeId, now: MonotonicTime
    ) -> HeartbeatResponse:
        """A report that came in at `relay`, which may be this node."""
        controller = self.scheduler
        if controller is None or report.token > controller.token:
            return HeartbeatResponse([], True)
        self.last_heartbeat_at = now
        commands = controller.on_heartbeat(report, now, relay)
        if commands is None:
            return HeartbeatResponse(None, False)
        calls = workers.command_objects(commands)
        return HeartbeatResponse(calls, controller.needs_next_heartbeat(report.machine))

    def record_relayed_heartbeats(
        self, relay: NodeId, orders: AcknowledgedHeartbeats, now: MonotonicTime
    ) -> None:
        """The machines that a relay answered by itself, and the reports it answered."""
        if self.scheduler is not None:
            self.scheduler.record_relayed_heartbeats(relay, orders, now)

    def on_relay_lost(self, relay: NodeId) -> None:
        """The connection from that relay broke."""
        if self.scheduler is not None:
            self.scheduler.on_relay_lost(relay)

    def on_response_undelivered(self, machine: MachineId) -> None:
        """The last answer to that machine surely came too late."""
        if self.scheduler is not None:
            self.scheduler.on_response_undelivered(machine)
