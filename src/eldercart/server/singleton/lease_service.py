"""Connects a node's candidate for named leases to the state service, and decides what the leader
may do under these leases. The module is imported only if the feature is enabled."""

import logging
import time
from typing import TYPE_CHECKING

from eldercart.autoscaling.request_types import MachineOffering, ScaleOutRequest
from eldercart.persistence.learned_state import VALUE_FILL_RATIO
from eldercart.persistence.transactions import CleanupPermit
from eldercart.scheduling.scheduler import Scheduler
from eldercart.server.singleton.candidate_runner import CandidateRunner
from eldercart.server.singleton.catalog_refresh import CatalogRefresh
from eldercart.server.singleton.dispatch_policies import DispatchPolicies
from eldercart.server.singleton.gated_cloud_requests import GatedCloudRequests
from eldercart.server.singleton.leadership_hand_over import LeadershipHandOver
from eldercart.server.singleton.operator_requests import PATH_PREFIX, OperatorRequests
from eldercart.settings.features import Maintenance, SingletonFeatures
from eldercart.singleton.eligibility import ClusterView
from eldercart.singleton.lease_candidate import LeaseCandidate, LeaseTimings
from eldercart.singleton.status_report import StatusContext
from eldercart.singleton.write_ahead_gate import DispatchMode, WriteAheadGate
from eldercart.units import NO_FENCING_TOKEN, MonotonicTime, NodeId, Revision, WallTime
from eldercart.wire.cloud import MachineType
from eldercart.wire.named_leases import (
    INTENT_PREFIX,
    LeaseName,
    ScaleInIntent,
    ScaleOutIntent,
    feature_name,
    find_intents_item,
    holder_key,
)
from eldercart.wire.state import Item

if TYPE_CHECKING:
    from eldercart.server.controller_node import ControllerNode
    from eldercart.singleton.maintenance_calendar import MaintenanceCalendar

log = logging.getLogger("eldercart.singleton")


def _load_calendar(maintenance: Maintenance | None) -> "MaintenanceCalendar | None":
    """Return the calendar of maintenance windows, or None if none are configured.

    The calendar module is imported only when it is needed, because a node with a small share of a
    CPU core starts faster without it.
    """
    if maintenance is None:
        return None
    from eldercart.singleton.maintenance_calendar import MaintenanceCalendar

    return MaintenanceCalendar(maintenance)


class SingletonService:
    """Owns the node's candidate and the components that work under its lease tokens.

    The node calls `tick` at each turn of its loop. The components of its leadership report
    leadership changes and rejected writes to it, and query its permissions.
    """

    def __init__(self, node: "ControllerNode", features: SingletonFeatures) -> None:
        """`features` lists the leases in which the node takes part, with their settings."""
        self.node = node
        self.features = features
        self.stored_prefixes = (INTENT_PREFIX,)  # key prefixes that a new leader reads
        self.supported_features = tuple(
            feature_name(lease_name) for lease_name in features.enabled_leases
        )
        self.candidate = LeaseCandidate(
            node.settings.label,
            node.incarnation,
            features.enabled_leases,
            LeaseTimings(
                features.lease_s,
                node.tuning.drift_margin,
                features.hand_over_s,
                features.stay_s,
            ),
        )
        self.calendar = _load_calendar(features.maintenance)
        self._policies = DispatchPolicies(
            features.enabled_leases, self.candidate, self.is_supported_by_all, node.store
        )
        self.cloud_requests = GatedCloudRequests(
            node.store,
            self._now,
            self._policies,
            self.candidate.on_write_fenced,
            lambda: node.leader_service.process_events_soon(),
        )
        operator_requests = OperatorRequests(
            node.store, self._now, node.settings, self._status_context, self.nodes_without_support
        )
        node.user_service.add_prefix_route(PATH_PREFIX, operator_requests.route)
        self.catalog_refresh = CatalogRefresh(
            node.settings,
            node.store,
            self._now,
            self.candidate,
            features.refresh_s,
            lambda: self.may_run_maintenance(),
            self._on_machine_types,
        )
        self._candidate_runner = CandidateRunner(
            self.candidate, features.enabled_leases, node.store, self._now, self._cluster_view
        )
        self._leadership_hand_over = LeadershipHandOver(
            node.election,
            node.leader_service,
            self.candidate,
            features.enabled_leases,
            self.is_supported_by_all,
        )
        self._is_lagging = False

    def _now(self) -> MonotonicTime:
        return self.node.clock()

    def tick(self, now: MonotonicTime) -> None:
        """Do the work that is due at this turn of the node's loop."""
        self._update_lag()
        self._candidate_runner.tick()
        self._leadership_hand_over.tick(now)
        self.catalog_refresh.tick(now)

    def _update_lag(self) -> None:
        limit_s = self.features.slow_lag_s
        # Hysteresis: a lagging node recovers only when its lag drops to half the limit.
        self._is_lagging = self.node.loop_lag_s > (limit_s / 2 if self._is_lagging else limit_s)

    # -- state of the node, for the components

    def _cluster_view(self, now: MonotonicTime) -> ClusterView:
        node = self.node
        links = node.relay_service.links
        connected = (node_id for node_id, link in links.items() if link.is_connected)
        is_leading = node.leader_service.is_active
        return ClusterView(
            now=now,
            wall_time=WallTime(time.time()),
            leader=node.election.leader,
            leader_token=node.election.token if is_leading else NO_FENCING_TOKEN,
            supported_leases=[
                name for name in self.features.enabled_leases if self.is_supported_by_all(name)
            ],
            candidates=[node.settings.label, *connected],
            busy_leases=self._busy_leases(),
            is_lagging=self._is_lagging,
            is_shutting_down=node.graceful_shutdown.has_begun,
        )

    def _busy_leases(self) -> list[LeaseName]:
        gated = (LeaseName.SCALE_OUT, LeaseName.SCALE_IN)
        busy = [lease_name for lease_name in gated if self.cloud_requests.is_busy(lease_name)]
        scheduler = self.node.leader_service.scheduler
        if scheduler is not None and scheduler.transaction_writer.is_cleanup_in_flight:
            busy.append(LeaseName.CLEANUP)
        if self.catalog_refresh.is_busy:
            busy.append(LeaseName.CATALOG)
        return busy

    def is_supported_by_all(self, lease_name: LeaseName) -> bool:
        """Return whether every node takes part in the lease. A node that has announced no
        features yet counts as one that does not, because it may run an earlier version."""
        return self.node.relay_service.peer_heartbeats.all_support(feature_name(lease_name))

    def nodes_without_support(self, lease_name: LeaseName) -> list[NodeId]:
        """Return the nodes that have not announced that they take part in the lease."""
        peer_heartbeats = self.node.relay_service.peer_heartbeats
        feature = feature_name(lease_name)
        members = [member.label for member in self.node.settings.members]
        return [node_id for node_id in members if not peer_heartbeats.supports(node_id, feature)]

    def _status_context(self) -> StatusContext:
        wall_time = WallTime(time.time())
        calendar = self.calendar
        return StatusContext(
            wall_time=wall_time,
            enabled_leases=frozenset(self.features.enabled_leases),
            nodes_without_support={
                lease_name: self.nodes_without_support(lease_name)
                for lease_name in self.features.enabled_leases
            },
            leader=self.node.election.leader,
            window=None if calendar is None else calendar.current_or_next_window(wall_time),
            has_calendar=calendar is not None,
        )

    def _on_machine_types(self, types: dict[str, MachineType]) -> None:
        self.node.machine_types = types

    # -- leadership

    def on_leadership_gained(
        self, scheduler: Scheduler, items: list[Item], now: MonotonicTime
    ) -> None:
        """Open the gate after this node was elected. `items` contains the intent records of
        earlier leaders; this leader resumes the requests whose intents are still open."""
        gate = WriteAheadGate(scheduler.token, self.max_record_bytes)
        _resume_intents(gate, scheduler, items, now)
        for lease_name, intent_log in gate.intent_logs.items():
            count = len(intent_log.open_intents)
            if count:
                log.info("intents recovered lease=%s count=%d", lease_name, count)
        self.cloud_requests.begin_leadership(gate)

    @property
    def max_record_bytes(self) -> int:
        """The size limit of an intent record, in bytes."""
        return int(VALUE_FILL_RATIO * self.node.settings.value_bytes)

    def on_leadership_lost(self) -> None:
        """Stop recording and sending requests for the leadership that has ended."""
        self.cloud_requests.end_leadership()

    def on_write_fenced(self) -> None:
        """Handle a write that was rejected because a token of this node had been replaced."""
        self.candidate.on_write_fenced()

    # -- permissions

    def cleanup_permit(self, scheduler: Scheduler, now: MonotonicTime) -> CleanupPermit:
        """Return whether the leader may delete the records of ended jobs now, and the conditions
        that the transaction must include."""
        policy = self._policies.policy(LeaseName.CLEANUP, now)
        if policy.mode is DispatchMode.DIRECT:
            return CleanupPermit()
        if policy.mode is DispatchMode.BLOCKED or policy.token is None:
            return CleanupPermit(is_allowed=False)
        # This runs at each turn of the loop, so the backlog is counted only outside windows.
        max_backlog = self.features.cleanup_backlog
        if (
            not self.may_run_maintenance()
            and scheduler.transaction_writer.pending_cleanup_count <= max_backlog
        ):
            return CleanupPermit(is_allowed=False)
        return CleanupPermit(conditions=((holder_key(LeaseName.CLEANUP), Revision(policy.token)),))

    def may_run_maintenance(self) -> bool:
        """Return whether a maintenance window is open now, or none are configured."""
        return self.calendar is None or self.calendar.is_open(WallTime(time.time()))

    def owns_catalog(self) -> bool:
        """Return whether the holder of the catalog lease, and not the leader, writes the stored
        catalog."""
        policy = self._policies.policy(LeaseName.CATALOG, self._now())
        return policy.mode is not DispatchMode.DIRECT


def _resume_intents(
    gate: WriteAheadGate, scheduler: Scheduler, items: list[Item], now: MonotonicTime
) -> None:
    """Load the stored intents into the gate, and queue their requests in the scheduler again."""
    scale_outs = gate.load(LeaseName.SCALE_OUT, find_intents_item(items, LeaseName.SCALE_OUT))
    for intent in scale_outs:
        if isinstance(intent, ScaleOutIntent):
            offering = MachineOffering(intent.machine_type, intent.zone, intent.is_spot)
            request = ScaleOutRequest(intent.name, offering, intent.machine_count)
            scheduler.cloud_requests.resume_scale_out(request)
    scale_ins = gate.load(LeaseName.SCALE_IN, find_intents_item(items, LeaseName.SCALE_IN))
    for intent in scale_ins:
        if isinstance(intent, ScaleInIntent):
            scheduler.cloud_requests.resume_deletion(intent.name, now)
