"""Reads and watches the keys of named leases in the state service."""

from collections.abc import Callable

from eldercart.server.store.client import StoreClient
from eldercart.server.store.prefix_watch import PrefixWatch
from eldercart.singleton.lease_directory import LeaseDirectory
from eldercart.units import Revision
from eldercart.wire.named_leases import LEASE_PREFIX
from eldercart.wire.state import Item, KeyChange


class LeaseWatcher:
    """Keeps a lease directory up to date with one watch, which starts at its revision."""

    def __init__(
        self, store: StoreClient, directory: LeaseDirectory, on_changed: Callable[[], None]
    ) -> None:
        """`on_changed` is called after events of the watch have been applied to `directory`."""
        self._store = store
        self._directory = directory
        self._on_changed = on_changed
        self._watch = PrefixWatch(store, LEASE_PREFIX, self._on_changes, directory.apply_read)

    def read_all(self, done: Callable[[bool], None]) -> None:
        """Read all keys into the directory, then call `done` with whether the read succeeded."""

        def on_items(items: list[Item] | None, revision: Revision) -> None:
            if items is not None:
                self._directory.apply_read(items, revision)
            done(items is not None)

        self._store.range(LEASE_PREFIX, on_items)

    def ensure_watching(self) -> None:
        """Open the watch unless it is open already or waits to be reopened."""
        self._watch.ensure_open(self._directory.revision)

    def _on_changes(self, changes: list[KeyChange], revision: Revision) -> None:
        self._directory.apply_watch_events(changes, revision)
        if changes:
            self._on_changed()
