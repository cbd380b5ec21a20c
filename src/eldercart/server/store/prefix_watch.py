"""A watch on the keys under a prefix, which is kept open and resumes after gaps."""

from collections.abc import Callable
from typing import Any

from twisted.internet import reactor as _reactor

from eldercart.server.store.client import StoreClient
from eldercart.units import Revision
from eldercart.wire.state import Item, KeyChange

reactor: Any = _reactor

WATCH_TIMEOUT_S = 20.0  # how long one watch request stays open without changes
WATCH_RETRY_S = 1.0  # delay after a failed watch request or range read


class PrefixWatch:
    """Keeps at most one watch request open.

    If the state service no longer keeps the changes since the revision that is watched, all keys
    are read instead.
    """

    def __init__(
        self,
        store: StoreClient,
        prefix: str,
        on_changes: Callable[[list[KeyChange], Revision], None],
        on_read: Callable[[list[Item], Revision], None],
    ) -> None:
        """Open no watch yet.

        `on_changes` gets the newest change of each key, and the revision up to which they are
        complete; `on_read` gets all keys as of a revision.
        """
        self._store = store
        self._prefix = prefix
        self._on_changes = on_changes
        self._on_read = on_read
        self._is_open = False  # also while it waits to be reopened

    def ensure_open(self, after: Revision) -> None:
        """Watch for changes after the revision, unless the watch is open or waits for a retry."""
        if self._is_open:
            return
        self._is_open = True
        self._store.watch(self._prefix, after, WATCH_TIMEOUT_S, self._on_response)

    def _on_response(self, status: int | None, revision: Revision, events: list[KeyChange]) -> None:
        if status == 200:
            self._is_open = False
            self._on_changes(events, revision)
        elif status == 410:
            self._store.range(self._prefix, self._on_range_read)
        else:
            self._reopen_later(WATCH_RETRY_S)

    def _on_range_read(self, items: list[Item] | None, revision: Revision) -> None:
        if items is not None:
            self._on_read(items, revision)
        self._reopen_later(WATCH_RETRY_S if items is None else 0.0)

    def _reopen_later(self, delay_s: float) -> None:
        reactor.callLater(delay_s, self._mark_closed)

    def _mark_closed(self) -> None:
        self._is_open = False
