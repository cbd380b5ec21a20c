"""Reads and watches the stored keys of named leases."""

from collections.abc import Callable
from typing import Any

from twisted.internet import reactor as _reactor

from eldercart.server.store.client import StoreClient
from eldercart.singleton.lease_directory import LeaseDirectory
from eldercart.units import Revision
from eldercart.wire.named_leases import LEASE_PREFIX
from eldercart.wire.state import Item

reactor: Any = _reactor

WATCH_TIMEOUT_S = 20.0  # how long one watch waits for changes
WATCH_RETRY_S = 1.0  # before a watch that failed is opened again


class LeaseWatcher:
    """Keeps one watch open, from the revision that the directory knows."""

    def __init__(
        self, store: StoreClient, directory: LeaseDirectory, on_changed: Callable[[], None]
    ) -> None:
        """`on_changed` is called when a watch has reported changes to the directory."""
        self._store = store
        self._directory = directory
        self._on_changed = on_changed
        self._is_watching = False

    def read_all(self, done: Callable[[bool], None]) -> None:
        """Read all keys into the directory; `done(False)` if that failed."""

        def on_items(items: list[Item] | None, revision: Revision) -> None:
            if items is not None:
                self._directory.apply_read(items, revision)
            done(items is not None)

        self._store.range(LEASE_PREFIX, on_items)

    def ensure_watching(self) -> None:
        """Open the watch, unless it is open."""
        if self._is_watching:
            return
        self._is_watching = True

        def on_events(status: int | None, revision: Revision, events: list[Any]) -> None:
            if status == 200:
                self._is_watching = False
                self._directory.apply_watch_events(events, revision)
                if events:
                    self._on_changed()
            elif status == 410:
                # More has changed since that revision than the state service keeps.
                self.read_all(lambda ok: self._reopen_later(0.0 if ok else WATCH_RETRY_S))
            else:
                self._reopen_later(WATCH_RETRY_S)

        self._store.watch(LEASE_PREFIX, self._directory.revision, WATCH_TIMEOUT_S, on_events)

    def _reopen_later(self, pause_s: float) -> None:
        reactor.callLater(pause_s, self._mark_closed)

    def _mark_closed(self) -> None:
        self._is_watching = False
