"""One controller node: creates its components and connects them to each other."""

import logging
import secrets
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import orjson
from twisted.internet import reactor as _reactor

from eldercart.election.state_machine import Election
from eldercart.server.event_loop_monitor import EventLoopMonitor
from eldercart.server.graceful_shutdown import GracefulShutdown
from eldercart.server.http.server import JsonFactory, JsonServer
from eldercart.server.leadership.catalog_record import CATALOG_KEY
from eldercart.server.leadership.election_service import ElectionService
from eldercart.server.leadership.leader_service import LeaderService
from eldercart.server.machine_types import KnownMachineTypes
from eldercart.server.metrics import Metrics
from eldercart.server.node_context import Clock, NodeContext
from eldercart.server.peers import connections
from eldercart.server.peers.relay_service import RelayService
from eldercart.server.startup import PortOpener
from eldercart.server.store.client import StoreClient
from eldercart.server.users.user_service import UserService
from eldercart.settings import NodeSettings, Tuning
from eldercart.units import DISTANT_PAST, FencingToken, IncarnationId, MonotonicTime
from eldercart.wire import peers
from eldercart.wire.cloud import MachineType
from eldercart.wire.state import Item

if TYPE_CHECKING:
    from eldercart.server.singleton.lease_service import SingletonService
    from eldercart.settings.features import Features

reactor: Any = _reactor
log = logging.getLogger("eldercart.node")

TICK_INTERVAL_S = 0.1
STALL_THRESHOLD_S = 0.5  # a tick that is later than this means that the process did not run
ISOLATION_THRESHOLD_S = 3.0  # store failures for this long may mean that a node is isolated
PEER_STORE_OK_MAX_AGE_S = 3.0  # a peer's report that the store serves it is valid for this long
CATALOG_RETRY_S = 1.0  # between two reads of the stored machine types
LOAD_LOG_INTERVAL_S = 10.0  # between two log lines about the node's load
# Share and minimum number of a node's sockets that serve users and workers.
HTTP_SOCKETS_SHARE, MIN_HTTP_SOCKETS = 0.75, 16


def is_healthy(is_ready: bool, store_failing_s: float, peer_store_ok_ago_s: float) -> bool:
    """Return whether the load balancer should send users to this node.

    An outage of the store affects all nodes alike. If all of them became unhealthy, users would be
    rejected for longer than the outage lasts. Only a node that the store does not serve while it
    serves the node's peers is left out. `store_failing_s` is how long this node's requests to the
    store have been failing, and `peer_store_ok_ago_s` how long ago a peer reported that the store
    serves it.
    """
    is_isolated = (
        store_failing_s >= ISOLATION_THRESHOLD_S and peer_store_ok_ago_s < PEER_STORE_OK_MAX_AGE_S
    )
    return is_ready and not is_isolated


def monotonic_now() -> MonotonicTime:
    """Return the time of this process's monotonic clock, in seconds."""
    return MonotonicTime(time.monotonic())


def _build_singleton_service(
    node: "ControllerNode", features: "Features | None"
) -> "SingletonService | None":
    """Return the node's service for named leases, or None if they are switched off.

    The module is imported only if the feature is on, so that other nodes don't start more slowly.
    """
    if features is None or features.duties is None:
        return None
    from eldercart.server.singleton.lease_service import SingletonService

    return SingletonService(node, features.duties)


class ControllerNode:
    """One process of the service: owns its components and the timer that drives them."""

    def __init__(
        self,
        settings: NodeSettings,
        tuning: Tuning,
        features: "Features | None" = None,
        clock: Clock | None = None,
    ) -> None:
        """Create the components; the node neither listens nor sends before `start`.

        `clock` is the monotonic clock of the process unless a test passes its own.
        """
        clock = monotonic_now if clock is None else clock
        self.settings = settings
        self.tuning = tuning
        self.clock = clock
        self.incarnation = IncarnationId(secrets.token_hex(4))
        self.metrics = Metrics()
        self.store = StoreClient(settings, clock)
        self.election = Election(
            settings.label, tuning.hold_s, tuning.drift_margin, self.incarnation
        )
        self._known_machine_types = KnownMachineTypes()
        self.user_service: UserService = UserService(self)
        self.leader_service: LeaderService = self._build_leader_service()
        self.relay_service: RelayService = RelayService(self)
        self.election_service = ElectionService(
            self.election, self.store, self.leader_service, clock
        )
        max_connections = max(MIN_HTTP_SOCKETS, int(settings.sockets * HTTP_SOCKETS_SHARE))
        self._http_factory = JsonFactory(self.user_service.route, max_connections)
        self._http_server = JsonServer(settings.http_endpoint, self._http_factory)
        self.graceful_shutdown = GracefulShutdown(
            self._http_server, self.election_service, self.leader_service, clock
        )
        self.singleton_service = _build_singleton_service(self, features)
        self.leader_service.connect(self.relay_service, self.singleton_service)
        # This node's heartbeats to its peers announce these features.
        self.supported_features = peers.SUPPORTED_FEATURES + (
            () if self.singleton_service is None else self.singleton_service.supported_features
        )
        self._event_loop = EventLoopMonitor(TICK_INTERVAL_S, self.metrics, clock())
        self._catalog_read_at = DISTANT_PAST
        self._load_log_due_at = MonotonicTime(0)

    def _build_leader_service(self) -> LeaderService:
        return LeaderService(
            NodeContext(self.settings, self.tuning, self.incarnation, self.clock, self.metrics),
            self.store,
            self.election,
            self.user_service,
            self._known_machine_types,
        )

    @property
    def loop_lag_s(self) -> float:
        """The lag of the event loop in seconds, as an average that weighs recent ticks more."""
        return self._event_loop.lag_s

    @property
    def machine_types(self) -> dict[str, MachineType]:
        """The machine types that this node knows, by name."""
        return self._known_machine_types.by_name

    @machine_types.setter
    def machine_types(self, types: dict[str, MachineType]) -> None:
        self._known_machine_types.by_name = types

    def start(self, on_failed: Callable[[], None]) -> None:
        """Listen for users, workers and peers, and then start the tick timer.

        `on_failed` is called if a port can't be opened; see `PortOpener`.
        """
        listen_calls = (self._http_server.listen, self._listen_for_peers)
        PortOpener(listen_calls, self._on_listening, on_failed).open()

    def _listen_for_peers(self) -> None:
        connections.listen(self.settings.peer_endpoint, self.relay_service.peer_server)

    def _on_listening(self) -> None:
        log.info(
            "started label=%s zone=%s incarnation=%s",
            self.settings.label,
            self.settings.zone,
            self.incarnation,
        )
        self._tick()

    def _tick(self) -> None:
        reactor.callLater(TICK_INTERVAL_S, self._tick)
        now = self.clock()
        late_s = self._event_loop.record_tick(now)
        if late_s > STALL_THRESHOLD_S:
            self._on_stall(late_s)
        self.election_service.tick(now)
        self.relay_service.tick(now)
        self.leader_service.tick(now)
        if self.singleton_service is not None:
            self.singleton_service.tick(now)
        if self._should_read_machine_types(now):
            self._read_machine_types()
        if now >= self._load_log_due_at:
            self._log_load(now)

    def _on_stall(self, seconds: float) -> None:
        """Don't count the time in which this process did not run as silence of others.

        Nothing was read from the sockets during the stall. The stall does not extend this node's
        leases: those are checked against the clock, which kept running.
        """
        log.info("event loop stalled stall_s=%.2f", seconds)
        self.relay_service.exclude_stall(seconds)
        self.leader_service.exclude_stall(seconds)

    def _log_load(self, now: MonotonicTime) -> None:
        self._load_log_due_at = MonotonicTime(now + LOAD_LOG_INTERVAL_S)
        log.info(
            "load role=%s cpu=%.2f lag_ms=%.0f workers=%d %s",
            self.election.role.value,
            self._event_loop.take_cpu_s(),
            self.loop_lag_s * 1000,
            self.relay_service.relay.machine_count,
            self.metrics.take_summary(),
        )

    def observe_token(self, token: FencingToken, reason: str) -> None:
        """Step down if the fencing token is higher than any that this node has seen."""
        self.leader_service.observe_token(token, reason)

    def is_healthy(self) -> bool:
        """Return whether to direct users and workers to this node; see `is_healthy` above."""
        now = self.clock()
        failing_since = self.store.failing_since
        return is_healthy(
            self.election_service.has_read_leader_key,
            0.0 if failing_since is None else now - failing_since,
            now - self.relay_service.peer_heartbeats.last_peer_store_ok_at,
        )

    # -- machine types

    def _should_read_machine_types(self, now: MonotonicTime) -> bool:
        return (
            not self.machine_types
            and self.election_service.has_read_leader_key
            and now - self._catalog_read_at > CATALOG_RETRY_S
        )

    def _read_machine_types(self) -> None:
        self._catalog_read_at = self.clock()

        def on_result(ok: bool, item: Item | None) -> None:
            # The types may have been read from the cloud in the meantime; those are newer.
            if ok and item is not None and not self.machine_types:
                self._known_machine_types.load(item)

        self.store.get(CATALOG_KEY, on_result)

    def status_page(self) -> bytes:
        """Return the status page for operators, as JSON."""
        page: dict[str, Any] = {
            "label": self.settings.label,
            "role": self.election.role.value,
            "leader": self.election.leader,
            "epoch": self.election.token,
            "workers": self.relay_service.relay.machine_count,
            "milliseconds": self.metrics.snapshot(),
        }
        scheduler = self.leader_service.scheduler
        if scheduler is not None:
            page["jobs"] = len(scheduler.jobs.jobs)
            page["machines"] = len(scheduler.inventory.machines)
        return orjson.dumps(page)


__all__ = ["ControllerNode", "is_healthy"]
