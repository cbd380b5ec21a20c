"""A node's leadership: failover after its election, then the scheduler and its work.

The other modules of this package carry out that work.
"""

import gc
import logging
import time
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple, Protocol

from eldercart.election.state_machine import Election, Role
from eldercart.jobs.job_records import JobRecordSource
from eldercart.scheduling.scheduler import Scheduler
from eldercart.server.coalescing import CoalescedCall
from eldercart.server.leadership.catalog_record import CatalogOwner, CatalogRecord
from eldercart.server.leadership.cloud_requests import CloudRequestGate, CloudRequests
from eldercart.server.leadership.failover import Failover, StoredRecords
from eldercart.server.leadership.job_outcomes import JobStates
from eldercart.server.leadership.job_record_watch import JobRecordWatch, resolve_dependency_lists
from eldercart.server.leadership.state_store_requests import CleanupPolicy, StateStoreRequests
from eldercart.server.leadership.user_answers import UserAnswers
from eldercart.server.leadership.worker_requests import WorkerRequests
from eldercart.server.machine_types import KnownMachineTypes
from eldercart.server.node_context import NodeContext
from eldercart.server.store.client import StoreClient
from eldercart.units import (
    AcknowledgedHeartbeats,
    FencingToken,
    MachineId,
    MonotonicTime,
    NodeId,
    WallTime,
)
from eldercart.wire import MalformedMessageError, peers, workers
from eldercart.wire.state import Item

log = logging.getLogger("eldercart.node")

ISOLATION_TIMEOUT_S = 5.0  # a leader without messages from peers or workers then resigns
EVENT_BATCH_DELAY_S = 0.02  # events of this period are processed together


class HeartbeatResponse(NamedTuple):
    """The leader's response to one heartbeat of a worker."""

    commands: list[dict[str, Any]] | None  # None: the heartbeat is outdated or malformed
    wants_next: bool  # whether the next heartbeat must be forwarded even if it is unchanged


class SingletonTasks(CleanupPolicy, CatalogOwner, Protocol):
    """The part of this node's named leases that its leadership uses."""

    @property
    def stored_prefixes(self) -> tuple[str, ...]:
        """The key prefixes that a new leader reads for `on_leadership_gained`."""

    @property
    def cloud_requests(self) -> CloudRequestGate:
        """The gate for requests that change the cloud's machines."""

    def on_leadership_gained(
        self, scheduler: Scheduler, records: list[Item], now: MonotonicTime, /
    ) -> None:
        """Start a leadership with the records of earlier leaders under `stored_prefixes`."""

    def on_leadership_lost(self) -> None:
        """Stop recording and sending cloud requests for this leadership."""


class RelayLease(Protocol):
    """This node's permission to answer workers."""

    def revoke_lease(self) -> None:
        """End the permission at once."""


class PeerStatus(Protocol):
    """State of the peers, as of their last heartbeats."""

    @property
    def last_peer_contact_at(self) -> MonotonicTime:
        """Time of the last message from any peer."""

    def all_support(self, feature: str, /) -> bool:
        """Return whether every node supports the feature."""


class Peers(Protocol):
    """The part of the peer connections that the leadership uses."""

    @property
    def links(self) -> Mapping[NodeId, object]:
        """The connections to the peers; empty for a node without peers."""

    @property
    def relay(self) -> RelayLease:
        """This node's relay."""

    @property
    def peer_heartbeats(self) -> PeerStatus:
        """The heartbeats between the nodes, and the peer state in them."""

    def request_next_heartbeats(self, machines_by_node: dict[NodeId, list[MachineId]], /) -> None:
        """Ask each node to forward the next heartbeats of its listed machines."""


class LeaderService:
    """Owns the scheduler, which exists while this node leads and has completed its failover."""

    def __init__(
        self,
        context: NodeContext,
        store: StoreClient,
        election: Election,
        job_states: JobStates,
        machine_types: KnownMachineTypes,
    ) -> None:
        """Start as a follower; `connect` must be called before any other method."""
        clock, settings = context.clock, context.settings
        self._context = context
        self._clock = clock
        self._store = store
        self._election = election
        self._job_states = job_states
        self._machine_types = machine_types
        self._peers: Peers
        self._singleton_tasks: SingletonTasks | None = None
        self.scheduler: Scheduler | None = None
        self.process_events_soon: Callable[[], None] = CoalescedCall(
            EVENT_BATCH_DELAY_S, self.process_events
        )
        self.job_record_watch = JobRecordWatch(self, store, job_states, clock)
        self.user_answers = UserAnswers(self, election, job_states, clock)
        self.catalog_record = CatalogRecord(self, store, machine_types, clock, settings.value_bytes)
        self._failover: Failover | None = None
        self._store_requests = StateStoreRequests(self, store, job_states, context.metrics, clock)
        self._cloud_requests = CloudRequests(self, election, store, settings, clock)
        self._worker_requests = WorkerRequests(self, settings.sockets, clock)
        self._started_at = clock()
        self.last_heartbeat_at = clock()  # latest of any worker, received here or by a relay

    def connect(self, peer_nodes: Peers, singleton_tasks: SingletonTasks | None) -> None:
        """Set the components that are built later; `singleton_tasks` is None if disabled."""
        self._peers = peer_nodes
        self._singleton_tasks = singleton_tasks
        self._store_requests.cleanup_policy = singleton_tasks
        self.catalog_record.catalog_owner = singleton_tasks
        if singleton_tasks is not None:
            self._cloud_requests.gate = singleton_tasks.cloud_requests

    @property
    def is_active(self) -> bool:
        """Whether this node leads and has completed its failover."""
        return self.scheduler is not None and self._election.role is Role.LEADER

    # -- start and end of a leadership

    def start_failover(self) -> None:
        """Read all records after this node's election, then start the scheduler."""
        self._discard_scheduler()
        self.job_record_watch.reset()
        self._store.set_leader(True)
        token = self._election.token
        log.info("leadership acquired token=%d", token)
        self._failover = Failover(
            self._store,
            lambda records: self._complete_failover(token, records),
            () if self._singleton_tasks is None else self._singleton_tasks.stored_prefixes,
        )
        self._failover.read_next()

    def _discard_scheduler(self) -> None:
        """Drop the scheduler, and a failover that has not finished."""
        self.scheduler = None
        if self._failover is not None:
            self._failover.cancel()
            self._failover = None

    def _complete_failover(self, token: FencingToken, records: StoredRecords) -> None:
        now = self._clock()
        self._failover = None
        for item in records.catalog:
            self._machine_types.load(item)
        self.catalog_record.is_stored = self.catalog_record.has_any_stored = bool(records.catalog)
        scheduler = self._build_scheduler(token, now)
        resolved = resolve_dependency_lists(records.jobs, records.dependency_lists)
        scheduler.load(
            resolved.resolved,
            records.placements,
            records.cleanup_markers,
            now,
            records.learned_state,
            resolved.unresolved,
        )
        # The loaded state is long-lived, so the garbage collector need not scan it.
        gc.collect()
        gc.freeze()
        if self._singleton_tasks is not None:
            self._singleton_tasks.on_leadership_gained(scheduler, records.additional_records, now)
        self.scheduler = scheduler
        self._started_at = now
        self.job_record_watch.watch(scheduler, records.jobs_revision)
        for item in resolved.unresolved:
            self.job_record_watch.add_record(item, JobRecordSource.FAILOVER)
        self.process_events()

    def _build_scheduler(self, token: FencingToken, now: MonotonicTime) -> Scheduler:
        context = self._context
        return Scheduler(
            context.settings,
            context.tuning,
            token,
            dict(self._machine_types.by_name),
            now,
            WallTime(time.time()),
            context.incarnation,
        )

    def observe_token(self, token: FencingToken, reason: str) -> None:
        """Step down if this node leads and the token is higher than its own."""
        if self._election.observe_token(token, self._clock()):
            self.end_leadership(reason)

    def step_down(self, reason: str) -> None:
        """End the leadership, as a failed conditional write proves that another node leads."""
        self._election.on_write_fenced(self._clock())
        self.end_leadership(reason)

    def end_leadership(self, reason: str) -> None:
        """Stop all work of the leader, as the leadership has ended or may have ended."""
        if self._singleton_tasks is not None:
            self._singleton_tasks.on_leadership_lost()
        if self.scheduler is not None:
            log.info("leadership lost token=%d reason=%s", self._election.token, reason)
        self._discard_scheduler()
        gc.unfreeze()
        self._store.set_leader(False)
        self.user_answers.reset()
        self._peers.relay.revoke_lease()

    def tick(self, now: MonotonicTime) -> None:
        """Run the periodic work that is due; resign if no peer or worker reaches this node."""
        scheduler = self.scheduler
        if scheduler is None:
            return
        if self._is_isolated(scheduler, now):
            log.info("leadership resigned reason=isolated")
            self._election.resign(now)
            self.end_leadership("isolated")
            return
        scheduler.transaction_writer.subchunks_supported = self._peers.peer_heartbeats.all_support(
            peers.SUBCHUNKS_FEATURE
        )
        started_at = self._clock()
        scheduler.tick(now)
        scheduler.record_tick_duration(self._clock() - started_at)
        if scheduler.is_planning_due(now):
            self._plan(scheduler, now)
        self.process_events()

    def _plan(self, scheduler: Scheduler, now: MonotonicTime) -> None:
        started_at = self._clock()
        scheduler.plan(now)
        duration_s = self._clock() - started_at
        scheduler.planner.record_pass_duration(duration_s)
        self._context.metrics.record("plan", duration_s)

    def exclude_stall(self, seconds: float) -> None:
        """Exclude a stall of this process from the time since the machines' last heartbeats.

        This does not check the leadership: another node may have been elected during the stall,
        and only the state service knows that.
        """
        self.last_heartbeat_at = MonotonicTime(self.last_heartbeat_at + seconds)
        if self.scheduler is not None:
            self.scheduler.exclude_stall(seconds)

    def _is_isolated(self, scheduler: Scheduler, now: MonotonicTime) -> bool:
        """Return whether no peer or worker has reached this leader for `ISOLATION_TIMEOUT_S`.

        Such a leader reaches only the state service, so another node can lead better. A leader
        without peers or without machines never counts as isolated.
        """
        if not self._peers.links or not scheduler.inventory.machines:
            return False
        since = max(
            self.last_heartbeat_at,
            self._started_at,
            self._peers.peer_heartbeats.last_peer_contact_at,
        )
        return now - since > ISOLATION_TIMEOUT_S

    # -- the scheduler's work

    def process_events(self) -> None:
        """Carry out the work that the scheduler has now, as far as the rate limits allow."""
        scheduler = self.scheduler
        if scheduler is None:
            return
        now = self._clock()
        self._publish_finished_jobs(scheduler)
        self._store_requests.process_events(scheduler, now)
        self._worker_requests.process_events(scheduler, now)
        if scheduler.cloud_requests.catalog_changed:
            self.catalog_record.sync(scheduler)
        self._cloud_requests.process_events(scheduler, now)
        machines_by_node = scheduler.take_machines_needing_command()
        if machines_by_node:
            self._peers.request_next_heartbeats(machines_by_node)
        for latency_s in scheduler.take_start_latencies_s():
            self._context.metrics.record("start_wait", latency_s)

    def _publish_finished_jobs(self, scheduler: Scheduler) -> None:
        for job, outcome in scheduler.take_finished_jobs():
            self._job_states.record_outcome(job, outcome)
            self.user_answers.on_job_finished(job, outcome)

    # -- heartbeats

    def handle_forwarded_heartbeat(
        self, message: dict[str, Any], token: FencingToken, relay: NodeId, now: MonotonicTime
    ) -> HeartbeatResponse:
        """Handle a heartbeat that a relay forwarded under the fencing token."""
        scheduler = self.scheduler
        if scheduler is None or not self.is_active or token != scheduler.token:
            # This node has no state for the machine, so the machine's next heartbeat is needed.
            return HeartbeatResponse([], True)
        try:
            heartbeat = workers.parse_heartbeat(message)
        except MalformedMessageError as err:
            log.error("heartbeat malformed error=%s", err)
            return HeartbeatResponse(None, True)
        return self.handle_heartbeat(heartbeat, relay, now)

    def handle_heartbeat(
        self, heartbeat: workers.Heartbeat, relay: NodeId, now: MonotonicTime
    ) -> HeartbeatResponse:
        """Handle a heartbeat that was received by `relay`, which may be this node."""
        scheduler = self.scheduler
        if scheduler is None or heartbeat.token > scheduler.token:
            return HeartbeatResponse([], True)
        self.last_heartbeat_at = now
        commands = scheduler.on_heartbeat(heartbeat, now, relay)
        if commands is None:
            return HeartbeatResponse(None, False)
        return HeartbeatResponse(
            workers.command_objects(commands), scheduler.needs_next_heartbeat(heartbeat.machine)
        )

    def record_relayed_heartbeats(
        self, relay: NodeId, heartbeats: AcknowledgedHeartbeats, now: MonotonicTime
    ) -> None:
        """Record the heartbeats that a relay acknowledged itself, the last one of each machine."""
        if self.scheduler is not None:
            self.scheduler.record_relayed_heartbeats(relay, heartbeats, now)

    def on_relay_lost(self, relay: NodeId) -> None:
        """Record that the connection to the relay was lost."""
        if self.scheduler is not None:
            self.scheduler.on_relay_lost(relay)

    def on_response_undelivered(self, machine: MachineId) -> None:
        """Record that the machine did not receive its last response in time."""
        if self.scheduler is not None:
            self.scheduler.on_response_undelivered(machine)
