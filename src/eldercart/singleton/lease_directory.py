"""What the state service holds of all named leases, as far as this node knows.

The board is kept in a persistent map: whoever asks for it gets a snapshot that never changes,
without a copy.
"""

import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any, TypeVar

from pyrsistent import pmap

from eldercart.units import ABSENT_REVISION, NO_LEASE_TOKEN, LeaseToken, Revision
from eldercart.wire import MalformedMessageError
from eldercart.wire.named_leases import (
    HAND_OVER_PREFIX,
    HOLDER_PREFIX,
    PAUSE_PREFIX,
    HandOverRecord,
    HolderRecord,
    LeaseName,
    PauseRecord,
    lease_of_key,
    parse_hand_over,
    parse_holder,
    parse_pause,
)
from eldercart.wire.state import DeleteKey, Item

log = logging.getLogger("eldercart.singleton")


@dataclass(frozen=True, slots=True)
class LeaseEntry:
    """The keys of one lease. A version of 0 means that the key is absent; a version without a
    record, that the key can't be read."""

    holder: HolderRecord | None = None
    token: LeaseToken = NO_LEASE_TOKEN
    pause: PauseRecord | None = None
    pause_version: Revision = ABSENT_REVISION
    hand_over: HandOverRecord | None = None
    hand_over_version: Revision = ABSENT_REVISION

    @property
    def is_held(self) -> bool:
        """Whether a node holds the lease, also if its record can't be read."""
        return self.token != NO_LEASE_TOKEN

    @property
    def is_paused(self) -> bool:
        """Whether the lease is paused."""
        return self.pause_version != ABSENT_REVISION


EMPTY_ENTRY = LeaseEntry()
RecordT = TypeVar("RecordT")
DirectorySnapshot = Mapping[LeaseName, LeaseEntry]  # persistent: it never changes


class LeaseDirectory:
    """Merges reads, watch events and own writes, in whatever order their answers come."""

    def __init__(self) -> None:
        """Nothing has been read yet."""
        self.revision = ABSENT_REVISION  # from which a watch may go on
        self._entries: Any = pmap(dict.fromkeys(LeaseName, EMPTY_ENTRY))
        self._revision_by_key: dict[str, Revision] = {}  # as of which a key is known

    @property
    def snapshot(self) -> DirectorySnapshot:
        """All leases as they are known now."""
        snapshot: DirectorySnapshot = self._entries
        return snapshot

    def entry(self, lease_name: LeaseName) -> LeaseEntry:
        """Return what is known of one lease."""
        return self.snapshot[lease_name]

    def apply_read(self, items: Iterable[Item], revision: Revision) -> None:
        """Take all keys as a read found them at `revision`; those not among `items` were absent."""
        found = {item.key: item for item in items}
        for lease_name in LeaseName:
            for prefix in (HOLDER_PREFIX, PAUSE_PREFIX, HAND_OVER_PREFIX):
                self._apply(prefix + lease_name, found.get(prefix + lease_name), revision)
        self.revision = max(self.revision, revision)

    def apply_watch_events(self, events: Iterable[Item | DeleteKey], revision: Revision) -> None:
        """Take changes in their order, as of `revision`."""
        for event in events:
            self._apply(event.key, event if isinstance(event, Item) else None, revision)
        self.revision = max(self.revision, revision)

    def apply_own_writes(self, events: Iterable[Item | DeleteKey], revision: Revision) -> None:
        """Take this node's own changes, applied at `revision`. Others may have happened before that
        the watch has yet to report, so `self.revision` stays."""
        for event in events:
            self._apply(event.key, event if isinstance(event, Item) else None, revision)

    def _apply(self, key: str, item: Item | None, revision: Revision) -> None:
        lease_name = lease_of_key(key)
        # An answer may overtake another: what is known as of a later revision stays.
        if lease_name is None or revision < self._revision_by_key.get(key, ABSENT_REVISION):
            return
        self._revision_by_key[key] = revision
        version = ABSENT_REVISION if item is None else item.version
        entry = self.snapshot[lease_name]
        if key.startswith(HOLDER_PREFIX):
            entry = replace(
                entry, holder=_parse_record(item, parse_holder), token=LeaseToken(version)
            )
        elif key.startswith(PAUSE_PREFIX):
            entry = replace(entry, pause=_parse_record(item, parse_pause), pause_version=version)
        elif key.startswith(HAND_OVER_PREFIX):
            hand_over = _parse_record(item, parse_hand_over)
            entry = replace(entry, hand_over=hand_over, hand_over_version=version)
        self._entries = self._entries.set(lease_name, entry)


def _parse_record(item: Item | None, parse: Callable[[Any], RecordT]) -> RecordT | None:
    if item is None:
        return None
    try:
        return parse(item.value)
    except MalformedMessageError as err:
        log.error("lease record unreadable key=%s error=%s", item.key, err)
        return None
