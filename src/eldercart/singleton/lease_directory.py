"""What the state service holds of all duties, as far as this node knows.

The board is kept in a persistent map: whoever asks for it gets a snapshot that never changes,
without a copy.
"""

import logging
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from typing import Any, TypeVar

from pyrsistent import pmap

from eldercart.units import ABSENT, NO_TOKEN, Revision, Token
from eldercart.wire import Malformed
from eldercart.wire.named_leases import (
    HAND_OVERS,
    HOLDERS,
    PAUSES,
    DutyName,
    HandOverRecord,
    HolderRecord,
    PauseRecord,
    duty_of_key,
    parse_hand_over,
    parse_holder,
    parse_pause,
)
from eldercart.wire.state import Drop, Item

log = logging.getLogger("eldercart.duties")


@dataclass(frozen=True, slots=True)
class DutyEntry:
    """The keys of one duty. A version of 0 means that the key is absent; a version without a
    record, that the key can't be read."""

    holder: HolderRecord | None = None
    token: Token = NO_TOKEN
    pause: PauseRecord | None = None
    pause_version: Revision = ABSENT
    hand_over: HandOverRecord | None = None
    hand_over_version: Revision = ABSENT

    @property
    def held(self) -> bool:
        """Whether somebody holds the duty, be it under a record that can't be read."""
        return self.token != NO_TOKEN

    @property
    def paused(self) -> bool:
        """Whether the duty is paused."""
        return self.pause_version != ABSENT


NOTHING_KNOWN = DutyEntry()
Record = TypeVar("Record")
Snapshot = Mapping[DutyName, DutyEntry]  # persistent: it never changes


class DutyBoard:
    """Takes what reads and watches tell, in whatever order their answers come."""

    def __init__(self) -> None:
        """Nothing has been read yet."""
        self.revision = ABSENT  # up to which a watch may go on
        self._entries: Any = pmap({duty: NOTHING_KNOWN for duty in DutyName})
        self._as_of: dict[str, Revision] = {}  # by key

    @property
    def snapshot(self) -> Snapshot:
        """The duties as they are known now."""
        snapshot: Snapshot = self._entries
        return snapshot

    def entry(self, duty: DutyName) -> DutyEntry:
        """What is known of one duty."""
        return self.snapshot[duty]

    def read(self, items: Iterable[Item], revision: Revision) -> None:
        """All keys as a read found them at `revision`; those not among `items` were absent."""
        found = {item.key: item for item in items}
        for duty in DutyName:
            for prefix in (HOLDERS, PAUSES, HAND_OVERS):
                self._take(prefix + duty, found.get(prefix + duty), revision)
        self.revision = max(self.revision, revision)

    def watched(self, events: Iterable[Item | Drop], revision: Revision) -> None:
        """Changes in their order, as of `revision`."""
        for event in events:
            self._take(event.key, event if isinstance(event, Item) else None, revision)
        self.revision = max(self.revision, revision)

    def wrote(self, events: Iterable[Item | Drop], revision: Revision) -> None:
        """Changes of this node's own, applied at `revision`; the watch has yet to tell the rest."""
        for event in events:
            self._take(event.key, event if isinstance(event, Item) else None, revision)

    def _take(self, key: str, item: Item | None, revision: Revision) -> None:
        duty = duty_of_key(key)
        # An answer may overtake another: what is known as of a later revision stays.
        if duty is None or revision < self._as_of.get(key, ABSENT):
            return
        self._as_of[key] = revision
        version = ABSENT if item is None else item.version
        entry = self.snapshot[duty]
        if key.startswith(HOLDERS):
            entry = replace(entry, holder=_record(item, parse_holder), token=Token(version))
        elif key.startswith(PAUSES):
            entry = replace(entry, pause=_record(item, parse_pause), pause_version=version)
        elif key.startswith(HAND_OVERS):
            hand_over = _record(item, parse_hand_over)
            entry = replace(entry, hand_over=hand_over, hand_over_version=version)
        self._entries = self._entries.set(duty, entry)


def _record(item: Item | None, parse: Callable[[Any], Record]) -> Record | None:
    if item is None:
        return None
    try:
        return parse(item.value)
    except Malformed as err:
        log.error("record of a duty unreadable key=%s: %s", item.key, err)
        return None
