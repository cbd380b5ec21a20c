"""Reads and watches what the state service holds of the duties."""

import logging
from collections.abc import Callable
from typing import Any

from twisted.internet import reactor as _reactor

from eldercart.server.store.client import Store
from eldercart.singleton.lease_directory import DutyBoard
from eldercart.units import Revision
from eldercart.wire.named_leases import DUTIES
from eldercart.wire.state import Item

reactor: Any = _reactor
log = logging.getLogger("eldercart.duties")

WATCH_S = 20.0  # for which one watch waits
WATCH_AGAIN_S = 1.0  # before a watch that failed is opened again


class BoardReader:
    """Keeps one watch open, from the revision that the board knows."""

    def __init__(self, store: Store, board: DutyBoard, changed: Callable[[], None]) -> None:
        """`changed` is called when the board has taken something new."""
        self._store = store
        self._board = board
        self._changed = changed
        self._watching = False

    def read(self, done: Callable[[bool], None]) -> None:
        """Reads all keys; `done(False)` if that did not succeed."""

        def got(items: list[Item] | None, revision: Revision) -> None:
            if items is not None:
                self._board.read(items, revision)
            done(items is not None)

        self._store.range(DUTIES, got)

    def watch(self) -> None:
        """Opens the watch, unless it is open."""
        if self._watching:
            return
        self._watching = True

        def got(status: int | None, revision: Revision, events: list[Any]) -> None:
            if status == 200:
                self._watching = False
                self._board.watched(events, revision)
                if events:
                    self._changed()
            elif status == 410:
                # More has changed since than the store keeps.
                self.read(lambda ok: self._again(0.0 if ok else WATCH_AGAIN_S))
            else:
                self._again(WATCH_AGAIN_S)

        self._store.watch(DUTIES, self._board.revision, WATCH_S, got)

    def _again(self, pause_s: float) -> None:
        reactor.callLater(pause_s, self._closed)

    def _closed(self) -> None:
        self._watching = False
