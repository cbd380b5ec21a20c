"""One controller node: wires election, relay, users' requests and the leader's work to each
other."""

import logging
import secrets
import time
from typing import TYPE_CHECKING, Any

import orjson
from twisted.internet import reactor as _reactor

from eldercart.election.state_machine import Election
from eldercart.server.graceful_shutdown import Ending
from eldercart.server.http.server import JsonFactory, JsonRequest, listen
from eldercart.server.leadership.catalog_record import CATALOG_KEY
from eldercart.server.leadership.election_service import ElectionService
from eldercart.server.leadership.leader_service import LeaderService
from eldercart.server.metrics import Meters
from eldercart.server.peers import connections
from eldercart.server.peers.relay_service import RelayService
from eldercart.server.store.client import Store
from eldercart.server.users.user_service import UserService
from eldercart.settings import NodeSettings, Tuning
from eldercart.units import NEVER, Epoch, IncarnationId, Steady
from eldercart.wire import Malformed, cloud, peers
from eldercart.wire.cloud import MachineType
from eldercart.wire.state import Item

if TYPE_CHECKING:
    from eldercart.server.singleton.lease_service import DutyService
    from eldercart.settings.features import Features

reactor: Any = _reactor
log = logging.getLogger("eldercart.node")

TICK_S = 0.1
STALL_S = 0.5  # by which a turn of the loop is late when the process did not run
ALONE_S = 3.0  # of refusals by the store before a node counts as refused alone
SERVED_S = 3.0  # for which a peer's word counts that the store serves it
TYPES_AGAIN_S = 1.0  # before the stored machine types are asked for again
LOAD_LOG_S = 10.0  # between two lines of the log about the node's load
LAG_WEIGHT = 0.2  # of the last turn of the loop in the smoothed lag
FRONT_SOCKETS, FRONT_SOCKETS_LEAST = 0.75, 16  # of a node's sockets, for users and workers


def could_serve(ready: bool, failing_s: float, peer_served_ago_s: float) -> bool:
    """Whether users should come here. In an outage of the store every node is as good as the
    next, and turning all away would only last longer afterwards; a node that the
    store refuses while its peers are served should be left out."""
    alone = failing_s >= ALONE_S and peer_served_ago_s < SERVED_S
    return ready and not alone


def steady() -> Steady:
    """Seconds of this process's steady clock."""
    return Steady(time.monotonic())


def _duty_service(node: "Node", features: "Features | None") -> "DutyService | None":
    """Imported only where it is switched on: a node without duties starts as ever."""
    if features is None or features.duties is None:
        return None
    from eldercart.server.singleton.lease_service import DutyService

    return DutyService(node, features.duties)


class Node:
    """One process of the service: owns its parts and the clock that drives them."""

    def __init__(
        self, settings: NodeSettings, tuning: Tuning, features: "Features | None" = None
    ) -> None:
        """Makes the parts; nothing is listened on or sent before `start`."""
        self.settings = settings
        self.tuning = tuning
        self.clock = steady
        self.incarnation = IncarnationId(secrets.token_hex(4))
        self.meters = Meters()
        self.store = Store(settings, steady)
        self.election = Election(
            settings.label, tuning.hold_s, tuning.drift_margin, self.incarnation
        )
        self.types: dict[str, MachineType] = {}
        self.user_service = UserService(self)
        self.leader_service = LeaderService(self)
        self.relay_service = RelayService(self)
        self.election_service = ElectionService(self)
        self.ending = Ending(self)
        self.duties = _duty_service(self, features)
        # What this node's greetings say that it reads and takes part in.
        self.takes = peers.TAKES + (() if self.duties is None else self.duties.announcements)
        sockets = max(FRONT_SOCKETS_LEAST, int(settings.sockets * FRONT_SOCKETS))
        self._requests = JsonFactory(self.user_service.route, sockets)
        self._port: Any = None  # that users and workers connect to, while it is open
        self.lag = 0.0  # seconds by which the event loop is behind, recent ones weighing more
        self._types_asked = NEVER
        self._last_tick = steady()
        self._load_due = Steady(0)
        self._cpu = time.process_time()

    def start(self) -> None:
        """Listens for users, workers and peers, and begins to tick."""
        self._port = listen(self.settings.front, self._requests)
        connections.listen(self.settings.mesh, self.relay_service.exchange)
        log.info(
            "started label=%s zone=%s incarnation=%s",
            self.settings.label,
            self.settings.zone,
            self.incarnation,
        )
        self._tick()

    def stop_accepting(self) -> None:
        """Those that come find no open port here, and go to another node."""
        self._requests.ending = True
        if self._port is not None:
            self._port.stopListening()

    def requests_under_way(self) -> list[JsonRequest]:
        """Requests of users and workers that are not answered yet."""
        return list(self._requests.unanswered)

    def _tick(self) -> None:
        reactor.callLater(TICK_S, self._tick)
        now = steady()
        behind = max(0.0, now - self._last_tick - TICK_S)
        self.lag = (1.0 - LAG_WEIGHT) * self.lag + LAG_WEIGHT * behind
        self.meters.add("loop_lag", behind)
        self._last_tick = now
        if behind > STALL_S:
            self._stalled(behind)
        self.election_service.tick(now)
        self.relay_service.tick(now)
        self.leader_service.tick(now)
        if self.duties is not None:
            self.duties.tick(now)
        if (
            not self.types
            and self.election_service.ready
            and now - self._types_asked > TYPES_AGAIN_S
        ):
            self._read_types()
        if now >= self._load_due:
            self._log_load(now)

    def _stalled(self, seconds: float) -> None:
        """Nothing was read meanwhile, so nobody's silence in that time is theirs. (What this node
        may say by its lease or its grant is judged by the clock, which ran on.)"""
        log.info("stalled seconds=%.2f", seconds)
        self.relay_service.stalled(seconds)
        self.leader_service.stalled(seconds)

    def _log_load(self, now: Steady) -> None:
        cpu = time.process_time()
        self._load_due = Steady(now + LOAD_LOG_S)
        log.info(
            "load role=%s cpu=%.2f lag_ms=%.0f workers=%d %s",
            self.election.role.value,
            cpu - self._cpu,
            self.lag * 1000,
            self.relay_service.relay.machines,
            self.meters.line(),
        )
        self._cpu = cpu

    # -- what a part learns and the others must know

    def saw_epoch(self, epoch: Epoch, how: str) -> None:
        """A higher epoch than known, if it is one: a leader steps down."""
        if self.election.saw_epoch(epoch, steady()):
            self.leader_service.end(how)

    def deposed(self, why: str) -> None:
        """A guarded write has shown that another node leads."""
        self.election.deposed(steady())
        self.leader_service.end(why)

    def healthy(self) -> bool:
        """Whether users and workers should come here, see `could_serve`."""
        now = steady()
        failing = self.store.failing_since
        return could_serve(
            self.election_service.ready,
            0.0 if failing is None else now - failing,
            now - self.relay_service.greetings.peer_served,
        )

    # -- machine types

    def take_types(self, item: Item) -> None:
        """Takes the machine types over from the stored catalogue, if it can be read."""
        try:
            self.types = cloud.parse_catalog(item.value)
        except (Malformed, AttributeError) as err:
            log.error("stored catalogue unreadable: %s", err)

    def _read_types(self) -> None:
        self._types_asked = steady()

        def got(ok: bool, item: Item | None) -> None:
            if ok and item is not None:
                self.take_types(item)

        self.store.get(CATALOG_KEY, got)

    def status_page(self) -> bytes:
        """The page for operators, as JSON."""
        page: dict[str, Any] = {
            "label": self.settings.label,
            "role": self.election.role.value,
            "leader": self.election.leader,
            "epoch": self.election.epoch,
            "workers": self.relay_service.relay.machines,
            "milliseconds": self.meters.page(),
        }
        c = self.leader_service.controller
        if c is not None:
            page["jobs"] = len(c.jobs.jobs)
            page["machines"] = len(c.fleet.machines)
        return orjson.dumps(page)


__all__ = ["Node", "could_serve"]
