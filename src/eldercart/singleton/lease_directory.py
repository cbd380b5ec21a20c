"""This node's copy of the keys of all named leases at the state service.

The entries are kept in a persistent map, so readers get an immutable snapshot without copying.
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
from eldercart.wire.state import DeletedKey, Item, KeyChange

log = logging.getLogger("eldercart.singleton")


@dataclass(frozen=True, slots=True)
class LeaseEntry:
    """The keys of one lease, each with its version.

    Version 0 means that the key is absent. A version without a record means that the stored value
    is unreadable.
    """

    holder: HolderRecord | None = None
    token: LeaseToken = NO_LEASE_TOKEN
    pause: PauseRecord | None = None
    pause_version: Revision = ABSENT_REVISION
    hand_over: HandOverRecord | None = None
    hand_over_version: Revision = ABSENT_REVISION

    @property
    def is_held(self) -> bool:
        """Whether a node holds the lease. This is also true if the holder record is unreadable."""
        return self.token != NO_LEASE_TOKEN

    @property
    def is_paused(self) -> bool:
        """Whether the lease is paused."""
        return self.pause_version != ABSENT_REVISION


EMPTY_ENTRY = LeaseEntry()
RecordT = TypeVar("RecordT")
DirectorySnapshot = Mapping[LeaseName, LeaseEntry]  # an immutable persistent map


class LeaseDirectory:
    """Merges reads, watch events and this node's own writes, in any order of arrival."""

    def __init__(self) -> None:
        """Create a directory in which all keys are absent."""
        self.revision = ABSENT_REVISION  # a watch resumes from here
        self._entries: Any = pmap(dict.fromkeys(LeaseName, EMPTY_ENTRY))
        self._revision_by_key: dict[
            str, Revision
        ] = {}  # latest revision at which each key is known

    @property
    def snapshot(self) -> DirectorySnapshot:
        """An immutable snapshot of all entries."""
        snapshot: DirectorySnapshot = self._entries
        return snapshot

    def entry(self, lease_name: LeaseName) -> LeaseEntry:
        """Return the entry of one lease."""
        return self.snapshot[lease_name]

    def apply_read(self, items: Iterable[Item], revision: Revision) -> None:
        """Apply a read of all keys at `revision`. Keys that are not in `items` are absent.

        A read of several pages may contain items that are newer than `revision`.
        """
        found = {item.key: item for item in items}
        for lease_name in LeaseName:
            for prefix in (HOLDER_PREFIX, PAUSE_PREFIX, HAND_OVER_PREFIX):
                key = prefix + lease_name
                self._apply(found.get(key, DeletedKey(key, revision)), read_at=revision)
        self.revision = max(self.revision, revision)

    def apply_watch_events(self, events: Iterable[KeyChange], revision: Revision) -> None:
        """Apply the response to a watch: all changes up to `revision`, in any order."""
        for event in events:
            self._apply(event)
        self.revision = max(self.revision, revision)

    def apply_own_writes(self, changes: Iterable[KeyChange]) -> None:
        """Apply this node's own committed changes.

        `self.revision` does not advance: the watch may still have to deliver earlier changes by
        other nodes.
        """
        for change in changes:
            self._apply(change)

    def _apply(self, change: KeyChange, read_at: Revision = ABSENT_REVISION) -> None:
        """Apply the state of one key, unless a newer one is known.

        Everything that the directory learns passes here. Answers may arrive out of order, and so
        may the changes within one answer, so only the revisions are compared. `read_at` is the
        revision at which a read found the key in this state, 0 for a change.
        """
        key = change.key
        lease_name = lease_of_key(key)
        known_at = max(change.version, read_at)
        if lease_name is None or known_at < self._revision_by_key.get(key, ABSENT_REVISION):
            return
        self._revision_by_key[key] = known_at
        item = change if isinstance(change, Item) else None
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
