"""The intents of one named lease: requests to the cloud that are recorded before they are sent.

The cloud does not check fencing tokens. An intent is therefore recorded first, in a transaction
conditional on the tokens of the holder and of the leader. From then on it is irrevocable, and
idempotent: sending it again has no further effect, whichever node sends it and whenever. One record
holds all open intents of the lease. Each write replaces the whole record, conditional on its known
version, so a delayed copy of a transaction fails because the version has changed.
"""

import logging
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from pyrsistent import pmap

from eldercart.units import (
    ABSENT_REVISION,
    DISTANT_PAST,
    FencingToken,
    LeaseToken,
    MonotonicTime,
    Revision,
)
from eldercart.wire import MalformedMessageError
from eldercart.wire.leader_key import LEADER_KEY
from eldercart.wire.named_leases import (
    EMPTY_RECORD_BYTES,
    Intent,
    LeaseName,
    holder_key,
    intent_bytes,
    intents_key,
    intents_value,
    parse_intents,
)
from eldercart.wire.state import Item, Put, Transaction

log = logging.getLogger("eldercart.singleton")

# How long finished intents stay in the record while no new intent is written. This is shorter than
# the usual idle time of a machine: a new leader sends all intents in the record again, and must not
# count machines that have been deleted since.
COMPACTION_DELAY_S = 20.0
BATCH_INTERVAL_S = 1.0  # minimum time between two writes of intents that are not urgent
WRITE_RETRY_S = 0.25  # delay after a write that was not committed


class IntentStage(Enum):
    """The stage of an intent in its life cycle."""

    CREATED = "created"  # not durable; must not be sent yet
    RECORDED = "recorded"  # durable; may be sent, and may have been sent already
    SENT = "sent"  # sent by this node; the answer is pending
    FINISHED = "finished"  # answered; the next write removes it from the record


class WriteOutcome(Enum):
    """The outcome of a write of the intent record."""

    COMMITTED = "committed"
    CONFLICT = "conflict"  # a condition did not hold
    REJECTED = "rejected"  # certainly not applied
    INDETERMINATE = "indeterminate"  # may have been applied, or may still be applied later


OpenIntents = Mapping[str, Intent]  # immutable persistent map, by intent name


@dataclass(frozen=True, slots=True)
class IntentWrite:
    """A write of the intent record, and the open intents in that record."""

    lease_name: LeaseName
    transaction: Transaction
    token: LeaseToken
    intents: OpenIntents


class IntentLog:
    """The holder's view of a lease's open intents. At most one write is in flight at a time."""

    def __init__(self, lease_name: LeaseName, max_bytes: int) -> None:
        """Create a log that is empty until `load`; its record has at most `max_bytes`."""
        self.lease_name = lease_name
        self.is_loaded = False
        self.needs_refresh = False
        self._max_bytes = max_bytes
        self._version = ABSENT_REVISION
        self._durable: Any = pmap()
        self._created: dict[str, Intent] = {}
        self._abandoned: set[str] = set()  # created intents to drop unless they become durable
        self._sent: set[str] = set()
        self._finished: set[str] = set()
        self._finished_since = DISTANT_PAST
        self._write_in_flight: IntentWrite | None = None
        self._retry_at = DISTANT_PAST
        self._last_write_at = DISTANT_PAST
        self._has_urgent = False  # a created intent must be written without batching

    # -- queries

    @property
    def open_intents(self) -> OpenIntents:
        """An immutable snapshot of the durable intents."""
        intents: OpenIntents = self._durable
        return intents

    def stage(self, name: str) -> IntentStage | None:
        """Return the stage of the intent with that name, or None if there is no such intent."""
        if name in self._finished:
            return IntentStage.FINISHED
        if name in self._sent:
            return IntentStage.SENT
        if name in self._durable:
            return IntentStage.RECORDED
        return IntentStage.CREATED if name in self._created else None

    def is_recorded(self, name: str) -> bool:
        """Return whether the intent is durable and may be sent."""
        return name in self._durable and name not in self._finished

    @property
    def is_write_pending(self) -> bool:
        """Whether a write is in flight, or the outcome of the last one is unknown."""
        return self._write_in_flight is not None or self.needs_refresh

    def capacity_for(self, intents: list[Intent]) -> int:
        """Return how many of these intents, in order, the record can take besides the open ones."""
        size = EMPTY_RECORD_BYTES + sum(
            intent_bytes(intent)
            for name, intent in [*self._durable.items(), *self._created.items()]
            if name not in self._finished
        )
        for number, intent in enumerate(intents):
            if self.stage(intent.name) in (IntentStage.CREATED, IntentStage.RECORDED):
                continue
            size += intent_bytes(intent)
            if size > self._max_bytes:
                return number
        return len(intents)

    # -- events

    def load(self, item: Item | None) -> list[Intent]:
        """Replace the durable intents by those of the record that was read, and return them."""
        self.is_loaded = True
        self.needs_refresh = False
        self._version = ABSENT_REVISION if item is None else item.version
        try:
            intents = [] if item is None else parse_intents(self.lease_name, item.value)
        except MalformedMessageError as err:
            log.error("intent record unreadable, replaced lease=%s error=%s", self.lease_name, err)
            intents = []
        self._durable = pmap({intent.name: intent for intent in intents})
        self._sent &= set(self._durable)
        self._finished &= set(self._durable)
        return intents

    def create(self, intent: Intent, *, urgent: bool = True) -> None:
        """Add an intent to record. An intent that is not urgent may be batched with later ones."""
        self._finished.discard(intent.name)
        self._abandoned.discard(intent.name)
        is_being_dropped = (
            self._write_in_flight is not None and intent.name not in self._write_in_flight.intents
        )
        if intent.name not in self._durable or is_being_dropped or self.needs_refresh:
            self._created[intent.name] = intent
            self._has_urgent = self._has_urgent or urgent

    def abandon(self, name: str) -> None:
        """Drop an intent that no longer has to be recorded. A durable intent stays open."""
        self._abandoned.add(name)
        self._drop_abandoned()

    def _drop_abandoned(self) -> None:
        if not self.is_write_pending:
            for name in self._abandoned:
                self._created.pop(name, None)
            self._abandoned.clear()

    def mark_sent(self, name: str) -> None:
        """Mark the intent as sent to the cloud."""
        self._sent.add(name)

    def mark_unanswered(self, name: str) -> None:
        """Mark the outcome of the sent intent as unknown. The intent stays open."""
        self._sent.discard(name)

    def mark_finished(self, name: str, now: MonotonicTime) -> None:
        """Mark the intent as answered by the cloud."""
        self._sent.discard(name)
        if name in self._durable:
            if not self._finished:
                self._finished_since = now
            self._finished.add(name)

    # -- writing

    def next_write(
        self, token: LeaseToken, leader_token: FencingToken, now: MonotonicTime
    ) -> IntentWrite | None:
        """Return the next write of the record, or None if none is due or one is in flight."""
        if not self._is_write_due(now):
            return None
        self._has_urgent = False
        self._last_write_at = now
        intents = self._intents_to_record()
        key = intents_key(self.lease_name)
        transaction = Transaction(
            {
                holder_key(self.lease_name): Revision(token),
                LEADER_KEY: Revision(leader_token),
                key: self._version,
            },
            [Put(key, intents_value(list(intents.values())))],
        )
        self._write_in_flight = IntentWrite(self.lease_name, transaction, token, intents)
        return self._write_in_flight

    def _is_write_due(self, now: MonotonicTime) -> bool:
        if not self.is_loaded or self.is_write_pending or now < self._retry_at:
            return False
        if self._finished and now - self._finished_since >= COMPACTION_DELAY_S:
            return True
        is_batching = not self._has_urgent and now - self._last_write_at < BATCH_INTERVAL_S
        return bool(self._created) and not is_batching

    def _intents_to_record(self) -> OpenIntents:
        """Return the durable intents, minus the finished ones, plus the created ones."""
        evolver = self._durable.evolver()
        for name in self._finished:
            evolver.remove(name)
        for name, intent in self._created.items():
            evolver.set(name, intent)
        intents: OpenIntents = evolver.persistent()
        return intents

    def on_write_result(
        self, write: IntentWrite, outcome: WriteOutcome, revision: Revision, now: MonotonicTime
    ) -> None:
        """Process the outcome of a write. `revision` is the record's new version if committed."""
        if write is not self._write_in_flight:
            return
        self._write_in_flight = None
        match outcome:
            case WriteOutcome.COMMITTED:
                self._version = revision
                self._finished -= set(self._durable) - set(write.intents)
                self._durable = write.intents
                for name in write.intents:
                    self._created.pop(name, None)
            case WriteOutcome.REJECTED:
                self._schedule_retry(now)
            case WriteOutcome.CONFLICT | WriteOutcome.INDETERMINATE:
                self._schedule_retry(now)
                self.needs_refresh = True
        self._drop_abandoned()

    def _schedule_retry(self, now: MonotonicTime) -> None:
        self._retry_at = MonotonicTime(now + WRITE_RETRY_S)
        self._has_urgent = True  # the intents of the failed write have already been delayed

    def refresh(self, item: Item | None) -> None:
        """Load the record from a fresh read after a write with an unknown outcome.

        Created intents that the record contains are durable: the write was applied.
        """
        self.load(item)
        for name in self._durable:
            self._created.pop(name, None)
        self._drop_abandoned()
