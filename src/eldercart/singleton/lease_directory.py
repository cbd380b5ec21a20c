"""What the state service holds of all duties, as far as this node knows.

The board is kept in a persistent map: whoever asks for it gets a snapshot that never changes,
without a copy.
"""

import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any, TypeVar

from pyrsistent import pmap

from eldercart.units import ABSENT_REVISION, NO_LEASE_TOKEN, LeaseToken, Revision
from eldercart.wire import MalformedMessage
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

log = logging.getLogger("eldercart.duties")


@dataclass(frozen=True, slots=True)
class LeaseEntry:
    """The keys of one duty. A version of 0 means that the key is absent; a version without a
    record, that the key can't be read."""

    holder: HolderRecord | None = None
    token: LeaseToken = NO_LEASE_TOKEN
    pause: PauseRecord | None = None
    pause_version: Revision = ABSENT_REVISION
    hand_over: HandOverRecord | None = None
    hand_over_version: Revision = ABSENT_REVISION

    @property
    def is_held(self) -> bool:
        """Whether somebody holds the duty, be it under a record that can't be read."""
        return self.token != NO_LEASE_TOKEN

    @property
    def is_paused(self) -> bool:
        """Whether the duty is paused."""
        return self.pause_version != ABSENT_REVISION


EMPTY_ENTRY = LeaseEntry()
RecordT = TypeVar("RecordT")
DirectorySnapshot = Mapping[LeaseName, LeaseEntry]  # persistent: it never changes


class LeaseDirectory:
    """Takes what reads and watches tell, in whatever order their answers come."""

    def __init__(self) -> None:
        """Nothing has been read yet."""
        self.revision = ABSENT_REVISION  # up to which a watch may go on
        self._entries: Any = pmap({duty: EMPTY_ENTRY for duty in LeaseName})
        self._revision_by_key: dict[str, Revision] = {}  # by key

    @property
    def snapshot(self) -> DirectorySnapshot:
        """The duties as they are known now."""
        snapshot: DirectorySnapshot = self._entries
        return snapshot

    def entry(self, duty: LeaseName) -> LeaseEntry:
        """What is known of one duty."""
        return self.snapshot[duty]

    def apply_read(self, items: Iterable[Item], revision: Revision) -> None:
        """All keys as a read found them at `revision`; those not among `items` were absent."""
        found = {item.key: item for item in items}
        for duty in LeaseName:
            for prefix in (HOLDER_PREFIX, PAUSE_PREFIX, HAND_OVER_PREFIX):
                self._apply(prefix + duty, found.get(prefix + duty), revision)
        self.revision = max(self.revision, revision)

    def apply_watch_events(self, events: Iterable[Item | DeleteKey], revision: Revision) -> None:
        """Changes in their order, as of `revision`."""
        for event in events:
            self._apply(event.key, event if isinstance(event, Item) else None, revision)
        self.revision = max(self.revision, revision)

    def apply_own_writes(self, events: Iterable[Item | DeleteKey], revision: Revision) -> None:
        """Changes of this node's own, applied at `revision`; the watch has yet to tell the rest."""
        for event in events:
            self._apply(event.key, event if isinstance(event, Item) else None, revision)

    def _apply(self, key: str, item: Item | None, revision: Revision) -> None:
        duty = lease_of_key(key)
        # An answer may overtake another: what is known as of a later revision stays.
        if duty is None or revision < self._revision_by_key.get(key, ABSENT_REVISION):
            return
        self._revision_by_key[key] = revision
        version = ABSENT_REVISION if item is None else item.version
        entry = self.snapshot[duty]
        if key.startswith(HOLDER_PREFIX):
            entry = replace(
                entry, holder=_parse_record(item, parse_holder), token=LeaseToken(version)
            )
        elif key.startswith(PAUSE_PREFIX):
            entry = replace(entry, pause=_parse_record(item, parse_pause), pause_version=version)
        elif key.startswith(HAND_OVER_PREFIX):
            hand_over = _parse_record(item, parse_hand_over)
            entry = replace(entry, hand_over=hand_over, hand_over_version=version)
        self._entries = self._entries.set(duty, entry)


def _parse_record(item: Item | None, parse: Callable[[Any], RecordT]) -> RecordT | None:
    if item is None:
        return None
    try:
        return parse(item.value)
    except MalformedMessage as err:
        log.error("record of a duty unreadable key=%s: %s", item.key, err)
        return None
