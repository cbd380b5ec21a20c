"""One controller node: wires election, relay, users' requests and the leader's work to each
other."""

import logging
import secrets
import time
from typing import TYPE_CHECKING, Any

import orjson
from twisted.internet import reactor as _reactor

from eldercart.election.state_machine import Election
from eldercart.server.graceful_shutdown import GracefulShutdown
from eldercart.server.http.server import JsonFactory, JsonRequest, listen
from eldercart.server.leadership.catalog_record import CATALOG_KEY
from eldercart.server.leadership.election_service import ElectionService
from eldercart.server.leadership.leader_service import LeaderService
from eldercart.server.metrics import Metrics
from eldercart.server.peers import connections
from eldercart.server.peers.relay_service import RelayService
from eldercart.server.store.client import StoreClient
from eldercart.server.users.user_service import UserService
from eldercart.settings import NodeSettings, Tuning
from eldercart.units import DISTANT_PAST, FencingToken, IncarnationId, MonotonicTime
from eldercart.wire import MalformedMessage, cloud, peers
from eldercart.wire.cloud import MachineType
from eldercart.wire.state import Item

if TYPE_CHECKING:
    from eldercart.server.singleton.lease_service import SingletonService
    from eldercart.settings.features import Features

reactor: Any = _reactor
log = logging.getLogger("eldercart.node")

TICK_INTERVAL_S = 0.1
STALL_THRESHOLD_S = 0.5  # by which a turn of the loop is late when the process did not run
ISOLATION_THRESHOLD_S = 3.0  # of refusals by the store before a node counts as refused alone
PEER_STORE_OK_FRESH_S = 3.0  # for which a peer's word counts that the store serves it
CATALOG_RETRY_S = 1.0  # before the stored machine types are asked for again
LOAD_LOG_INTERVAL_S = 10.0  # between two lines of the log about the node's load
LAG_SMOOTHING_FACTOR = 0.2  # of the last turn of the loop in the smoothed lag
HTTP_SOCKETS_SHARE, MIN_HTTP_SOCKETS = 0.75, 16  # of a node's sockets, for users and workers


def is_healthy(ready: bool, failing_s: float, peer_served_ago_s: float) -> bool:
    """Whether users should come here. In an outage of the store every node is as good as the
    next, and turning all away would only last longer afterwards; a node that the
    store refuses while its peers are served should be left out."""
    alone = failing_s >= ISOLATION_THRESHOLD_S and peer_served_ago_s < PEER_STORE_OK_FRESH_S
    return ready and not alone


def monotonic_now() -> MonotonicTime:
    """Seconds of this process's steady clock."""
    return MonotonicTime(time.monotonic())


def _singleton_service(
    node: "ControllerNode", features: "Features | None"
) -> "SingletonService | None":
    """Imported only where it is switched on: a node without duties starts as ever."""
    if features is None or features.duties is None:
        return None
    from eldercart.server.singleton.lease_service import SingletonService

    return SingletonService(node, features.duties)


class ControllerNode:
    """One process of the service: owns its parts and the clock that drives them."""

    def __init__(
        self, settings: NodeSettings, tuning: Tuning, features: "Features | None" = None
    ) -> None:
        """Makes the parts; nothing is listened on or sent before `start`."""
        self.settings = settings
        self.tuning = tuning
        self.clock = monotonic_now
        self.incarnation = IncarnationId(secrets.token_hex(4))
        self.metrics = Metrics()
        self.store = StoreClient(settings, monotonic_now)
        self.election = Election(
            settings.label, tuning.hold_s, tuning.drift_margin, self.incarnation
        )
        self.machine_types: dict[str, MachineType] = {}
        self.user_service: UserService = UserService(self)
        self.leader_service = LeaderService(self)
        self.relay_service: RelayService = RelayService(self)
        self.election_service = ElectionService(self)
        self.graceful_shutdown = GracefulShutdown(self)
        self.singleton_service = _singleton_service(self, features)
        # What this node's greetings say that it reads and takes part in.
        self.supported_features = peers.SUPPORTED_FEATURES + (
            () if self.singleton_service is None else self.singleton_service.supported_features
        )
        sockets = max(MIN_HTTP_SOCKETS, int(settings.sockets * HTTP_SOCKETS_SHARE))
        self._http_factory = JsonFactory(self.user_service.route, sockets)
        self._http_port: Any = None  # that users and workers connect to, while it is open
        self.loop_lag_s = (
            0.0  # seconds by which the event loop is behind, recent ones weighing more
        )
        self._catalog_read_at = DISTANT_PAST
        self._last_tick_at = monotonic_now()
        self._load_log_due_at = MonotonicTime(0)
        self._logged_cpu_s = time.process_time()

    def start(self) -> None:
        """Listens for users, workers and peers, and begins to tick."""
        self._http_port = listen(self.settings.front, self._http_factory)
        connections.listen(self.settings.mesh, self.relay_service.peer_server)
        log.info(
            "started label=%s zone=%s incarnation=%s",
            self.settings.label,
            self.settings.zone,
            self.incarnation,
        )
        self._tick()

    def stop_accepting(self) -> None:
        """Those that come find no open port here, and go to another node."""
        self._http_factory.is_closing = True
        if self._http_port is not None:
            self._http_port.stopListening()

    def pending_requests(self) -> list[JsonRequest]:
        """Requests of users and workers that are not answered yet."""
        return list(self._http_factory.pending_requests)

    def _tick(self) -> None:
        reactor.callLater(TICK_INTERVAL_S, self._tick)
        now = monotonic_now()
        behind = max(0.0, now - self._last_tick_at - TICK_INTERVAL_S)
        self.loop_lag_s = (
            1.0 - LAG_SMOOTHING_FACTOR
        ) * self.loop_lag_s + LAG_SMOOTHING_FACTOR * behind
        self.metrics.record("loop_lag", behind)
        self._last_tick_at = now
        if behind > STALL_THRESHOLD_S:
            self._on_stall(behind)
        self.election_service.tick(now)
        self.relay_service.tick(now)
        self.leader_service.tick(now)
        if self.singleton_service is not None:
            self.singleton_service.tick(now)
        if (
            not self.machine_types
            and self.election_service.has_read_leader_key
            and now - self._catalog_read_at > CATALOG_RETRY_S
        ):
            self._read_machine_types()
        if now >= self._load_log_due_at:
            self._log_load(now)

    def _on_stall(self, seconds: float) -> None:
        """Nothing was read meanwhile, so nobody's silence in that time is theirs. (What this node
        may say by its lease or its grant is judged by the clock, which ran on.)"""
        log.info("stalled seconds=%.2f", seconds)
        self.relay_service.exclude_stall(seconds)
        self.leader_service.exclude_stall(seconds)

    def _log_load(self, now: MonotonicTime) -> None:
        cpu = time.process_time()
        self._load_log_due_at = MonotonicTime(now + LOAD_LOG_INTERVAL_S)
        log.info(
            "load role=%s cpu=%.2f lag_ms=%.0f workers=%d %s",
            self.election.role.value,
            cpu - self._logged_cpu_s,
            self.loop_lag_s * 1000,
            self.relay_service.relay.machine_count,
            self.metrics.take_summary(),
        )
        self._logged_cpu_s = cpu

    # -- what a part learns and the others must know

    def observe_token(self, epoch: FencingToken, how: str) -> None:
        """A higher epoch than known, if it is one: a leader steps down."""
        if self.election.observe_token(epoch, monotonic_now()):
            self.leader_service.end_leadership(how)

    def step_down(self, why: str) -> None:
        """A guarded write has shown that another node leads."""
        self.election.on_write_fenced(monotonic_now())
        self.leader_service.end_leadership(why)

    def is_healthy(self) -> bool:
        """Whether users and workers should come here, see `could_serve`."""
        now = monotonic_now()
        failing = self.store.failing_since
        return is_healthy(
            self.election_service.has_read_leader_key,
            0.0 if failing is None else now - failing,
            now - self.relay_service.peer_heartbeats.last_peer_store_ok_at,
        )

    # -- machine types

    def load_machine_types(self, item: Item) -> None:
        """Takes the machine types over from the stored catalogue, if it can be read."""
        try:
            self.machine_types = cloud.parse_catalog(item.value)
        except (MalformedMessage, AttributeError) as err:
            log.error("stored catalogue unreadable: %s", err)

    def _read_machine_types(self) -> None:
        self._catalog_read_at = monotonic_now()

        def got(ok: bool, item: Item | None) -> None:
            if ok and item is not None:
                self.load_machine_types(item)

        self.store.get(CATALOG_KEY, got)

    def status_page(self) -> bytes:
        """The page for operators, as JSON."""
        page: dict[str, Any] = {
            "label": self.settings.label,
            "role": self.election.role.value,
            "leader": self.election.leader,
            "epoch": self.election.token,
            "workers": self.relay_service.relay.machine_count,
            "milliseconds": self.metrics.snapshot(),
        }
        c = self.leader_service.scheduler
        if c is not None:
            page["jobs"] = len(c.jobs.jobs)
            page["machines"] = len(c.inventory.machines)
        return orjson.dumps(page)


__all__ = ["ControllerNode", "is_healthy"]
