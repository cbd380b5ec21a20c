"""One node's duties: carries out what its membership asks of the state service, and tells the
other parts what they may do. There only where duties are switched on."""

import logging
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from eldercart.autoscaling.request_types import MachineOffering, ScaleOutRequest
from eldercart.election.state_machine import GrantLease, KeepLeaseAlive, Role
from eldercart.persistence.learned_state import VALUE_FILL_RATIO
from eldercart.persistence.transaction_writer import CleanupPermit
from eldercart.scheduling.scheduler import Scheduler
from eldercart.server.singleton.catalog_refresh import CatalogRefresh
from eldercart.server.singleton.gated_cloud_requests import GatedCloudRequests
from eldercart.server.singleton.lease_watch import LeaseWatcher
from eldercart.server.singleton.operator_requests import PATH_PREFIX, OperatorRequests
from eldercart.settings.features import Maintenance, SingletonFeatures
from eldercart.singleton.candidate_actions import Acquire, ReadDirectory, Release
from eldercart.singleton.eligibility import ClusterView
from eldercart.singleton.holder_preference import AFFINITY, Affinity
from eldercart.singleton.lease_candidate import LeaseCandidate, LeaseState
from eldercart.singleton.write_ahead_gate import DispatchMode, DispatchPolicy, WriteAheadGate
from eldercart.units import NO_FENCING_TOKEN, LeaseId, MonotonicTime, NodeId, Revision, WallTime
from eldercart.wire.named_leases import (
    INTENT_PREFIX,
    LeaseName,
    ScaleInIntent,
    ScaleOutIntent,
    feature_name,
    find_intents_item,
    holder_key,
)
from eldercart.wire.state import Item, Transaction

if TYPE_CHECKING:
    from eldercart.server.controller_node import ControllerNode
    from eldercart.singleton.maintenance_calendar import MaintenanceCalendar

log = logging.getLogger("eldercart.duties")

RevisionCallback = Callable[[Revision], None]

STORE_FAILURE_GRACE_S = (
    1.0  # without an answer of the state service, after which nothing is to be recorded
)
CANDIDACY_DEFERRAL_S = (
    1.0  # for which others leave the leadership to the node that it is handed over to
)


def _load_calendar(maintenance: Maintenance | None) -> "MaintenanceCalendar | None":
    """Imported only where there are windows: a small part of a core starts faster without."""
    if maintenance is None:
        return None
    from eldercart.singleton.maintenance_calendar import MaintenanceCalendar

    return MaintenanceCalendar(maintenance)


class SingletonService:
    """Owns the membership and the parts that work under its tokens."""

    def __init__(self, node: "ControllerNode", features: SingletonFeatures) -> None:
        """Takes part in the duties that are switched on."""
        self.node = node
        self.features = features
        self.stored_prefixes = (INTENT_PREFIX,)  # that a new leader reads
        self.supported_features = tuple(feature_name(duty) for duty in features.on)
        self.candidate = LeaseCandidate(
            node.settings.label,
            node.incarnation,
            features.on,
            features.lease_s,
            node.tuning.drift_margin,
            features.hand_over_s,
            features.stay_s,
        )
        self.calendar = _load_calendar(features.maintenance)
        self.cloud_requests = GatedCloudRequests(self)
        self.operator_requests = OperatorRequests(self)
        node.user_service.add_prefix_route(PATH_PREFIX, self.operator_requests.route)
        self.catalog_refresh = CatalogRefresh(self)
        self._lease_watcher = LeaseWatcher(node.store, self.candidate.directory, self._run_actions)
        self._is_lagging = False
        self._logged_states: dict[LeaseName, LeaseState] = {}

    # -- time

    def tick(self, now: MonotonicTime) -> None:
        """Looks at the duties, at each turn of the node's loop."""
        limit = self.features.slow_lag_s
        self._is_lagging = self.node.loop_lag_s > (limit / 2 if self._is_lagging else limit)
        self._run_actions()
        if not self.candidate.is_read_pending():
            self._lease_watcher.ensure_watching()
        self._hand_over_leadership(now)
        self.catalog_refresh.tick(now)

    def _cluster_view(self, now: MonotonicTime) -> ClusterView:
        node = self.node
        leads = node.leader_service.is_active
        links = node.relay_service.links
        return ClusterView(
            now=now,
            wall_time=WallTime(time.time()),
            leader=node.election.leader,
            leader_token=node.election.token if leads else NO_FENCING_TOKEN,
            supported_leases=[duty for duty in self.features.on if self.is_supported_by_all(duty)],
            candidates=[
                node.settings.label,
                *(name for name, link in links.items() if link.is_connected),
            ],
            busy_leases=self._busy_leases(),
            is_lagging=self._is_lagging,
            is_shutting_down=node.graceful_shutdown.has_begun,
        )

    def is_supported_by_all(self, duty: LeaseName) -> bool:
        """Whether every node takes part in the duty. One never heard counts as one that does not,
        for it may be of an earlier version."""
        return self.node.relay_service.peer_heartbeats.all_support(feature_name(duty))

    def nodes_without_support(self, duty: LeaseName) -> list[NodeId]:
        """The nodes that have not said that they take part in the duty."""
        greetings = self.node.relay_service.peer_heartbeats
        members = [member.label for member in self.node.settings.members]
        return [name for name in members if not greetings.supports(name, feature_name(duty))]

    def _busy_leases(self) -> list[LeaseName]:
        busy = [
            duty
            for duty in (LeaseName.SCALE_OUT, LeaseName.SCALE_IN)
            if self.cloud_requests.is_busy(duty)
        ]
        controller = self.node.leader_service.scheduler
        if controller is not None and controller.transaction_writer.is_cleanup_in_flight:
            busy.append(LeaseName.CLEANUP)
        if self.catalog_refresh.is_busy:
            busy.append(LeaseName.CATALOG)
        return busy

    # -- membership

    def _run_actions(self) -> None:
        """Carries out the membership's next action, and the next, while answers are at hand."""
        now = self.node.clock()
        membership, store = self.candidate, self.node.store
        action = membership.next_action(self._cluster_view(now))
        self._log_state_changes()
        match action:
            case GrantLease(life_s):
                store.grant_lease(int(life_s * 1000), self._on_lease_granted)
            case KeepLeaseAlive(lease):
                store.keep_lease_alive(lease, self._on_keep_alive)
            case ReadDirectory():
                self._lease_watcher.read_all(self._on_directory_read)
            case Acquire(duty, txn):
                log.info("duty asked for duty=%s", duty)
                self._write(txn, membership.on_acquired)
            case Release(duty, txn):
                log.info("duty released duty=%s why=%s", duty, membership.ineligibility(duty))
                self._write(txn, membership.on_released)

    def _write(self, txn: Transaction, done: RevisionCallback) -> None:
        store, membership = self.node.store, self.candidate
        now = self.node.clock()
        store.requests.force_take(now)
        store.writes.force_take(now, len(txn.operations))

        def answered(status: int | None, revision: Revision, failed: tuple[str, ...]) -> None:
            if status == 200:
                done(revision)
            elif status in (400, 409):
                membership.on_transaction_rejected(lease_lost=status == 400)
            else:
                membership.on_action_failed(self.node.clock())
            self._run_actions()

        store.commit(txn, answered)

    def _on_lease_granted(self, lease: LeaseId | None) -> None:
        if lease is None:
            self.candidate.on_action_failed(self.node.clock())
        else:
            self.candidate.on_lease_granted(lease)
            self._run_actions()

    def _on_keep_alive(self, alive: bool | None) -> None:
        if alive is None:
            self.candidate.on_action_failed(self.node.clock())
        else:
            self.candidate.on_keep_alive(alive)
            self._run_actions()

    def _on_directory_read(self, ok: bool) -> None:
        if ok:
            self.candidate.on_directory_read()
            self._run_actions()
        else:
            self.candidate.on_action_failed(self.node.clock())

    def on_write_fenced(self) -> None:
        """A write was refused for a token of this node."""
        self.candidate.on_write_fenced()

    def _log_state_changes(self) -> None:
        for duty in self.features.on:
            state = self.candidate.state(duty)
            if self._logged_states.get(duty) is not state:
                self._logged_states[duty] = state
                token = self.candidate.directory.entry(duty).token
                log.info("duty duty=%s state=%s token=%d", duty, state.value, token)

    # -- leadership

    def _hand_over_leadership(self, now: MonotonicTime) -> None:
        """A duty of the leader is handed over with the leadership, once it has been drained."""
        election, membership = self.node.election, self.candidate
        for duty in self.features.on:
            if AFFINITY[duty] is not Affinity.LEADER or not membership.is_reserved_for_other_node(
                duty, now
            ):
                continue
            if not self.is_supported_by_all(duty):
                continue  # nobody could take it
            if election.role is Role.FOLLOWER:
                if election.leader is not None:
                    election.defer_candidacy(MonotonicTime(now + CANDIDACY_DEFERRAL_S))
            elif (
                self.node.leader_service.is_active and membership.state(duty) is LeaseState.OBSERVER
            ):
                log.info("leadership handed over with duty=%s", duty)
                election.resign(now)
                self.node.leader_service.end_leadership("a duty is handed over")
                return

    def on_leadership_gained(
        self, controller: Scheduler, items: list[Item], now: MonotonicTime
    ) -> None:
        """This node has been elected: what earlier leaders meant to ask of the cloud is open, and
        this one finishes it."""
        gate = WriteAheadGate(controller.token, self.max_record_bytes)
        for intent in gate.load(LeaseName.SCALE_OUT, find_intents_item(items, LeaseName.SCALE_OUT)):
            if isinstance(intent, ScaleOutIntent):
                offer = MachineOffering(intent.machine_type, intent.zone, intent.spot)
                controller.cloud_requests.resume_scale_out(
                    ScaleOutRequest(intent.name, offer, intent.machine_count)
                )
        for intent in gate.load(LeaseName.SCALE_IN, find_intents_item(items, LeaseName.SCALE_IN)):
            if isinstance(intent, ScaleInIntent):
                controller.cloud_requests.resume_deletion(intent.name, now)
        for duty, intents in gate.intent_logs.items():
            if intents.open_intents:
                log.info("intents taken over duty=%s number=%d", duty, len(intents.open_intents))
        self.cloud_requests.begin_leadership(gate)

    @property
    def max_record_bytes(self) -> int:
        """The largest record of intents."""
        return int(VALUE_FILL_RATIO * self.node.settings.value_bytes)

    def on_leadership_lost(self) -> None:
        """Nothing more is recorded or sent in this leadership's name."""
        self.cloud_requests.end_leadership()

    # -- what others may do

    def dispatch_policy(self, duty: LeaseName, now: MonotonicTime) -> DispatchPolicy:
        """How the leader's calls of that duty reach the cloud now."""
        membership = self.candidate
        if duty not in self.features.on:
            return DispatchPolicy(DispatchMode.DIRECT)
        token = membership.usable_token(duty, now)
        if token is not None:
            return DispatchPolicy(
                DispatchMode.WRITE_AHEAD if self._is_store_available(now) else DispatchMode.BLOCKED,
                token,
            )
        held = membership.state(duty) in (LeaseState.DRAINING, LeaseState.LOST)
        if held or self.is_supported_by_all(duty):
            # While it drains, what waits may still be recorded.
            return DispatchPolicy(DispatchMode.BLOCKED, membership.held_token(duty))
        return DispatchPolicy(DispatchMode.DIRECT)

    def _is_store_available(self, now: MonotonicTime) -> bool:
        since = self.node.store.failing_since
        return since is None or now - since < STORE_FAILURE_GRACE_S

    def cleanup_permit(self, controller: Scheduler, now: MonotonicTime) -> CleanupPermit:
        """Whether the leader may delete what is left of ended jobs now."""
        route = self.dispatch_policy(LeaseName.CLEANUP, now)
        if route.mode is DispatchMode.DIRECT:
            return CleanupPermit()
        if route.mode is DispatchMode.BLOCKED or route.token is None:
            return CleanupPermit(is_allowed=False)
        # Asked at each turn of the loop: records are counted only outside the windows.
        most = self.features.cleanup_backlog
        if (
            not self.may_run_maintenance()
            and controller.transaction_writer.pending_cleanup_count <= most
        ):
            return CleanupPermit(is_allowed=False)
        return CleanupPermit(conditions=((holder_key(LeaseName.CLEANUP), Revision(route.token)),))

    def may_run_maintenance(self) -> bool:
        """Whether work that may wait for a maintenance window need not wait now."""
        return self.calendar is None or self.calendar.is_open(WallTime(time.time()))

    def owns_catalog(self) -> bool:
        """Whether the holder of that duty, and not the leader, writes the stored catalogue."""
        return (
            self.dispatch_policy(LeaseName.CATALOG, self.node.clock()).mode
            is not DispatchMode.DIRECT
        )
