"""Carries out what the election asks of the state service."""

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet import reactor as _reactor

from eldercart.election.state_machine import (
    LEAD_KEY,
    Action,
    Claim,
    OpenLease,
    ReadLead,
    RenewLease,
    RevokeLease,
    Role,
)
from eldercart.units import LeaseId, Revision, Steady
from eldercart.wire.state import Item

if TYPE_CHECKING:
    from eldercart.server.controller_node import Node

reactor: Any = _reactor
log = logging.getLogger("eldercart.node")


class ElectionService:
    """Owns the watch on the leader key."""

    def __init__(self, node: "Node") -> None:
        """Nothing has been read yet."""
        self.node = node
        self.ready = False  # whether the leader key has been read once
        self._seen = Revision(0)
        self._watching = False

    def tick(self, now: Steady) -> None:
        """Carries out what the election wants now, and keeps the watch on the leader key."""
        self._act(now)
        if not self._watching and self.ready:
            self._watch()

    def _act(self, now: Steady) -> None:
        action = self.node.election.next_action(now)
        store = self.node.store
        match action:
            case None:
                return
            case ReadLead():
                store.get(LEAD_KEY, lambda ok, item: self._read(action, ok, item))
            case OpenLease(life_s):
                store.open_lease(int(life_s * 1000), lambda lease: self._opened(action, lease))
            case RenewLease(lease):
                store.renew_lease(lease, lambda alive: self._touched(action, alive))
            case RevokeLease(lease):
                store.revoke_lease(lease, lambda ok: self._dropped(action, ok))
            case Claim(txn):
                store.requests.force(now)
                store.writes.force(now)
                store.txn(txn, lambda status, rev, failed: self._claimed(action, status, rev))

    def _opened(self, action: Action, lease: LeaseId | None) -> None:
        election, clock = self.node.election, self.node.clock
        if lease is None:
            election.failed(action, clock())
        else:
            election.opened(lease, clock())
            self._act(clock())

    def _touched(self, action: Action, alive: bool | None) -> None:
        election, clock = self.node.election, self.node.clock
        if alive is None:
            election.failed(action, clock())
        elif election.renewed(alive, clock()):
            self.node.leader_service.end("lease ended")

    def _dropped(self, action: Action, ok: bool) -> None:
        election, clock = self.node.election, self.node.clock
        if ok:
            election.dropped(clock())
            self._act(clock())
        else:
            election.failed(action, clock())

    def _read(self, action: Action, ok: bool, item: Item | None) -> None:
        e = self.node.election
        now = self.node.clock()
        if not ok:
            e.failed(action, now)
            return
        self.ready = True
        if item is not None:
            self._seen = max(self._seen, item.version)
        e.read(item, now)
        if e.role is Role.LEADER:
            self.node.leader_service.begin()
        self._act(self.node.clock())

    def _claimed(self, action: Action, status: int | None, revision: Revision) -> None:
        e = self.node.election
        now = self.node.clock()
        if status == 200:
            e.claimed(revision, now)
            self.node.leader_service.begin()
        elif status in (400, 409):
            e.claimed(None, now, lease_lost=status == 400)
            self._act(now)
        else:
            e.failed(action, now)

    def _watch(self) -> None:
        self._watching = True
        e = self.node.election

        def changed(status: int | None, revision: Revision, events: list[Any]) -> None:
            if status == 200:
                self._seen = max(self._seen, revision)
                if events:
                    e.lead_changed(self.node.clock())
                    self._act(self.node.clock())
                self._watching = False
                return
            if status == 410:
                self._seen_anew()
                return
            reactor.callLater(1.0, self._again)

        self.node.store.watch(LEAD_KEY, self._seen, 20.0, changed)

    def _seen_anew(self) -> None:
        """More has changed since than the store keeps, as after a cut of less than a minute. The
        key's own version may be older still: only a list tells from where to watch on."""

        def listed(items: list[Item] | None, revision: Revision) -> None:
            if items is not None:
                self._seen = max(self._seen, revision)
                self.node.election.lead_changed(self.node.clock())
            reactor.callLater(0.0 if items is not None else 1.0, self._again)

        self.node.store.range(LEAD_KEY, listed)

    def _again(self) -> None:
        self._watching = False
