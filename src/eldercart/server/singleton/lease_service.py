"""One node's duties: carries out what its membership asks of the state service, and tells the
other parts what they may do. There only where duties are switched on."""

import logging
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from eldercart.autoscaling.autoscaler import Offer, RentalRequest
from eldercart.election.state_machine import OpenLease, RenewLease, Role
from eldercart.persistence.learned_state import FILL
from eldercart.persistence.transaction_writer import CleanupPermit
from eldercart.scheduling.scheduler import Controller
from eldercart.server.singleton.catalog_refresh import CatalogRefresh
from eldercart.server.singleton.gated_cloud_requests import DutyCalls
from eldercart.server.singleton.lease_watch import BoardReader
from eldercart.server.singleton.operator_requests import FIRST_PART, DutyRequests
from eldercart.settings.features import DutyFeatures, Maintenance
from eldercart.singleton.holder_preference import AFFINITY, Affinity
from eldercart.singleton.lease_candidate import (
    Acquire,
    DutyMembership,
    DutyState,
    ReadBoard,
    Release,
    Situation,
)
from eldercart.singleton.write_ahead_gate import CloudGate, Path, Route
from eldercart.units import NO_EPOCH, LeaseId, NodeId, Revision, Steady, WallTime
from eldercart.wire.named_leases import (
    INTENTS,
    DutyName,
    RentalIntent,
    ReturnIntent,
    announcement,
    holder_key,
    intents_of,
)
from eldercart.wire.state import Item, Txn

if TYPE_CHECKING:
    from eldercart.server.controller_node import Node
    from eldercart.singleton.maintenance_calendar import MaintenanceCalendar

log = logging.getLogger("eldercart.duties")

Done = Callable[[Revision], None]

FAILING_S = 1.0  # without an answer of the state service, after which nothing is to be recorded
STAND_BACK_S = 1.0  # for which others leave the leadership to the node that it is handed over to


def _calendar(maintenance: Maintenance | None) -> "MaintenanceCalendar | None":
    """Imported only where there are windows: a small part of a core starts faster without."""
    if maintenance is None:
        return None
    from eldercart.singleton.maintenance_calendar import MaintenanceCalendar

    return MaintenanceCalendar(maintenance)


class DutyService:
    """Owns the membership and the parts that work under its tokens."""

    def __init__(self, node: "Node", features: DutyFeatures) -> None:
        """Takes part in the duties that are switched on."""
        self.node = node
        self.features = features
        self.prefixes = (INTENTS,)  # that a new leader reads
        self.announcements = tuple(announcement(duty) for duty in features.on)
        self.membership = DutyMembership(
            node.settings.label,
            node.incarnation,
            features.on,
            features.lease_s,
            node.tuning.drift_margin,
            features.hand_over_s,
            features.stay_s,
        )
        self.calendar = _calendar(features.maintenance)
        self.calls = DutyCalls(self)
        self.requests = DutyRequests(self)
        node.user_service.serve_under(FIRST_PART, self.requests.route)
        self.catalog = CatalogRefresh(self)
        self._board = BoardReader(node.store, self.membership.board, self._act)
        self._slow = False
        self._told: dict[DutyName, DutyState] = {}

    # -- time

    def tick(self, now: Steady) -> None:
        """Looks at the duties, at each turn of the node's loop."""
        limit = self.features.slow_lag_s
        self._slow = self.node.lag > (limit / 2 if self._slow else limit)
        self._act()
        if not self.membership.reading():
            self._board.watch()
        self._hand_leadership_over(now)
        self.catalog.tick(now)

    def _situation(self, now: Steady) -> Situation:
        node = self.node
        leads = node.leader_service.acts
        links = node.relay_service.links
        return Situation(
            now=now,
            wall=WallTime(time.time()),
            leader=node.election.leader,
            epoch=node.election.epoch if leads else NO_EPOCH,
            announced=[duty for duty in self.features.on if self.is_announced(duty)],
            candidates=[node.settings.label, *(name for name, link in links.items() if link.up)],
            busy=self._busy(),
            slow=self._slow,
            ending=node.ending.begun,
        )

    def is_announced(self, duty: DutyName) -> bool:
        """Whether every node takes part in the duty. One never heard counts as one that does not,
        for it may be of an earlier version."""
        return self.node.relay_service.greetings.all_take(announcement(duty))

    def missing(self, duty: DutyName) -> list[NodeId]:
        """The nodes that have not said that they take part in the duty."""
        greetings = self.node.relay_service.greetings
        members = [member.label for member in self.node.settings.members]
        return [name for name in members if not greetings.takes(name, announcement(duty))]

    def _busy(self) -> list[DutyName]:
        busy = [duty for duty in (DutyName.RENTAL, DutyName.RETURN) if self.calls.busy(duty)]
        controller = self.node.leader_service.controller
        if controller is not None and controller.records.cleanup_under_way:
            busy.append(DutyName.CLEANUP)
        if self.catalog.busy:
            busy.append(DutyName.CATALOG)
        return busy

    # -- membership

    def _act(self) -> None:
        """Carries out the membership's next action, and the next, while answers are at hand."""
        now = self.node.clock()
        membership, store = self.membership, self.node.store
        action = membership.next_action(self._situation(now))
        self._tell()
        match action:
            case OpenLease(life_s):
                store.open_lease(int(life_s * 1000), self._opened)
            case RenewLease(lease):
                store.renew_lease(lease, self._renewed)
            case ReadBoard():
                self._board.read(self._read)
            case Acquire(duty, txn):
                log.info("duty asked for duty=%s", duty)
                self._write(txn, membership.acquired)
            case Release(duty, txn):
                log.info("duty released duty=%s why=%s", duty, membership.obstacle(duty))
                self._write(txn, membership.released)

    def _write(self, txn: Txn, done: Done) -> None:
        store, membership = self.node.store, self.membership
        now = self.node.clock()
        store.requests.force(now)
        store.writes.force(now, len(txn.writes))

        def answered(status: int | None, revision: Revision, failed: tuple[str, ...]) -> None:
            if status == 200:
                done(revision)
            elif status in (400, 409):
                membership.refused(lease_lost=status == 400)
            else:
                membership.failed(self.node.clock())
            self._act()

        store.txn(txn, answered)

    def _opened(self, lease: LeaseId | None) -> None:
        if lease is None:
            self.membership.failed(self.node.clock())
        else:
            self.membership.opened(lease)
            self._act()

    def _renewed(self, alive: bool | None) -> None:
        if alive is None:
            self.membership.failed(self.node.clock())
        else:
            self.membership.renewed(alive)
            self._act()

    def _read(self, ok: bool) -> None:
        if ok:
            self.membership.read()
            self._act()
        else:
            self.membership.failed(self.node.clock())

    def disproved(self) -> None:
        """A write was refused for a token of this node."""
        self.membership.disproved()

    def _tell(self) -> None:
        for duty in self.features.on:
            state = self.membership.state(duty)
            if self._told.get(duty) is not state:
                self._told[duty] = state
                token = self.membership.board.entry(duty).token
                log.info("duty duty=%s state=%s token=%d", duty, state.value, token)

    # -- leadership

    def _hand_leadership_over(self, now: Steady) -> None:
        """A duty of the leader is handed over with the leadership, once it has been drained."""
        election, membership = self.node.election, self.membership
        for duty in self.features.on:
            if AFFINITY[duty] is not Affinity.LEADER or not membership.awaits_receiver(duty, now):
                continue
            if not self.is_announced(duty):
                continue  # nobody could take it
            if election.role is Role.FOLLOWER:
                if election.leader is not None:
                    election.stand_back(Steady(now + STAND_BACK_S))
            elif self.node.leader_service.acts and membership.state(duty) is DutyState.OBSERVER:
                log.info("leadership handed over with duty=%s", duty)
                election.resign(now)
                self.node.leader_service.end("a duty is handed over")
                return

    def take_over(self, controller: Controller, items: list[Item], now: Steady) -> None:
        """This node has been elected: what earlier leaders meant to ask of the cloud is open, and
        this one finishes it."""
        gate = CloudGate(controller.epoch, self.most_record_bytes)
        for intent in gate.load(DutyName.RENTAL, intents_of(items, DutyName.RENTAL)):
            if isinstance(intent, RentalIntent):
                offer = Offer(intent.type, intent.zone, intent.spot)
                controller.cloud.resume(RentalRequest(intent.name, offer, intent.number))
        for intent in gate.load(DutyName.RETURN, intents_of(items, DutyName.RETURN)):
            if isinstance(intent, ReturnIntent):
                controller.cloud.condemn(intent.name, now)
        for duty, intents in gate.logs.items():
            if intents.open:
                log.info("intents taken over duty=%s number=%d", duty, len(intents.open))
        self.calls.begin(gate)

    @property
    def most_record_bytes(self) -> int:
        """The largest record of intents."""
        return int(FILL * self.node.settings.value_bytes)

    def leadership_over(self) -> None:
        """Nothing more is recorded or sent in this leadership's name."""
        self.calls.end()

    # -- what others may do

    def route(self, duty: DutyName, now: Steady) -> Route:
        """How the leader's calls of that duty reach the cloud now."""
        membership = self.membership
        if duty not in self.features.on:
            return Route(Path.DIRECT)
        token = membership.token(duty, now)
        if token is not None:
            return Route(Path.RECORDED if self._store_serves(now) else Path.HELD, token)
        held = membership.state(duty) in (DutyState.DRAINING, DutyState.LOST)
        if held or self.is_announced(duty):
            # While it drains, what waits may still be recorded.
            return Route(Path.HELD, membership.held_token(duty))
        return Route(Path.DIRECT)

    def _store_serves(self, now: Steady) -> bool:
        since = self.node.store.failing_since
        return since is None or now - since < FAILING_S

    def cleanup_permit(self, controller: Controller, now: Steady) -> CleanupPermit:
        """Whether the leader may delete what is left of ended jobs now."""
        route = self.route(DutyName.CLEANUP, now)
        if route.path is Path.DIRECT:
            return CleanupPermit()
        if route.path is Path.HELD or route.token is None:
            return CleanupPermit(allowed=False)
        # Asked at each turn of the loop: records are counted only outside the windows.
        most = self.features.cleanup_backlog
        if not self.may_maintain() and controller.records.cleanups_waiting <= most:
            return CleanupPermit(allowed=False)
        return CleanupPermit(guards=((holder_key(DutyName.CLEANUP), Revision(route.token)),))

    def may_maintain(self) -> bool:
        """Whether work that may wait for a maintenance window need not wait now."""
        return self.calendar is None or self.calendar.is_open(WallTime(time.time()))

    def keeps_catalog(self) -> bool:
        """Whether the holder of that duty, and not the leader, writes the stored catalogue."""
        return self.route(DutyName.CATALOG, self.node.clock()).path is not Path.DIRECT
