"""Carries out what the election asks of the state service."""

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet import reactor as _reactor

from eldercart.election import (
    LEAD_KEY,
    Action,
    Claim,
    DropHold,
    OpenHold,
    ReadLead,
    Role,
    TouchHold,
)
from eldercart.units import Revision, Steady
from eldercart.wire.state import Item

if TYPE_CHECKING:
    from eldercart.net.node import Node

reactor: Any = _reactor
log = logging.getLogger("eldercart.node")


class Electing:
    """Owns the watch on the leader key."""

    def __init__(self, node: "Node") -> None:
        self.node = node
        self.ready = False  # whether the leader key has been read once
        self._seen = Revision(0)
        self._watching = False

    def tick(self, now: Steady) -> None:
        self._act(now)
        if not self._watching and self.ready:
            self._watch()

    def _act(self, now: Steady) -> None:
        node = self.node
        e = node.election
        action = e.next_action(now)
        if action is None:
            return
        match action:
            case ReadLead():
                node.store.get(LEAD_KEY, lambda ok, item: self._read(action, ok, item))
            case OpenHold(life):

                def opened(hold: Any) -> None:
                    if hold is None:
                        e.failed(action, node.clock())
                    else:
                        e.opened(hold, node.clock())
                        self._act(node.clock())

                node.store.open_hold(int(life * 1000), opened)
            case TouchHold(hold):

                def touched(alive: bool | None) -> None:
                    if alive is None:
                        e.failed(action, node.clock())
                    elif e.touched(alive, node.clock()):
                        node.leading.end("hold ended")

                node.store.touch_hold(hold, touched)
            case DropHold(hold):

                def dropped(ok: bool) -> None:
                    if ok:
                        e.dropped(node.clock())
                        self._act(node.clock())
                    else:
                        e.failed(action, node.clock())

                node.store.drop_hold(hold, dropped)
            case Claim(txn):
                node.store.requests.force(now)
                node.store.writes.force(now)
                node.store.txn(txn, lambda s, rev, failed: self._claimed(action, s, rev))

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
            self.node.leading.begin()
        self._act(self.node.clock())

    def _claimed(self, action: Action, status: int | None, revision: Revision) -> None:
        e = self.node.election
        now = self.node.clock()
        if status == 200:
            e.claimed(revision, now)
            self.node.leading.begin()
        elif status in (400, 409):
            e.claimed(None, now, hold_lost=status == 400)
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
