"""The intents of one lease: what it may ask of the cloud, recorded before it is asked.

The cloud compares no tokens. So an intent is recorded first, in a transaction conditional on the
holder's token and the leader's, and is irrevocable from then on: to send it once more does what
sending it once does, whoever sends it and whenever. All open intents stand in one record,
which is replaced as a whole under the version that was read, so a late copy of a transaction finds
another version and does nothing.
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

# How long finished intents stay in the record while nothing new is recorded. Shorter than machines
# usually stand idle: a successor asks anew for what is left, and must not count machines again that
# were returned since.
COMPACTION_DELAY_S = 20.0
BATCH_INTERVAL_S = 1.0  # between two writes of intents that are not urgent
WRITE_RETRY_S = 0.25  # after a write that was not committed


class IntentStage(Enum):
    """How far an intent has come."""

    CREATED = "created"  # not durable: nothing may be sent
    RECORDED = "recorded"  # durable: it may be sent, and may have been
    SENT = "sent"  # by this node, without an answer yet
    FINISHED = "finished"  # answered; it is dropped with the next write


class WriteOutcome(Enum):
    """What became of a write of the intent record."""

    COMMITTED = "committed"
    CONFLICT = "conflict"  # a condition did not hold
    REJECTED = "rejected"  # surely not applied
    INDETERMINATE = "indeterminate"  # may have been applied, or may be later


OpenIntents = Mapping[str, Intent]  # by name; persistent: it never changes


@dataclass(frozen=True, slots=True)
class IntentWrite:
    """A write of the intent record, and the open intents that it holds."""

    lease_name: LeaseName
    transaction: Transaction
    token: LeaseToken
    intents: OpenIntents


class IntentLog:
    """The open intents of a lease, as far as its holder knows. One write is in flight at a time."""

    def __init__(self, lease_name: LeaseName, max_bytes: int) -> None:
        """Nothing is known before `load`; the record grows to at most `most_bytes`."""
        self.lease_name = lease_name
        self.is_loaded = False
        self.needs_refresh = False
        self._max_bytes = max_bytes
        self._version = ABSENT_REVISION
        self._durable: Any = pmap()
        self._created: dict[str, Intent] = {}
        self._abandoned: set[str] = set()  # among these, to be dropped unless durable
        self._sent: set[str] = set()
        self._finished: set[str] = set()
        self._finished_since = DISTANT_PAST
        self._write_in_flight: IntentWrite | None = None
        self._retry_at = DISTANT_PAST
        self._last_write_at = DISTANT_PAST
        self._has_urgent = False  # a created intent must not wait to share a write

    # -- queries

    @property
    def open_intents(self) -> OpenIntents:
        """The durable intents, as a snapshot."""
        intents: OpenIntents = self._durable
        return intents

    def stage(self, name: str) -> IntentStage | None:
        """Return how far the intent of that name has come, or None if there is none."""
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
        """Whether a write is in flight, or its outcome is not known."""
        return self._write_in_flight is not None or self.needs_refresh

    def capacity_for(self, intents: list[Intent]) -> int:
        """Return how many of these, from the first, fit into the record beside the open ones."""
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
        """Take the record as it was read, and return the intents that are open."""
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
        """Add an intent to be recorded. One that is not urgent may wait to share a write."""
        self._finished.discard(intent.name)
        self._abandoned.discard(intent.name)
        dropped = (
            self._write_in_flight is not None and intent.name not in self._write_in_flight.intents
        )
        if intent.name not in self._durable or dropped or self.needs_refresh:
            self._created[intent.name] = intent
            self._has_urgent = self._has_urgent or urgent

    def abandon(self, name: str) -> None:
        """Drop an intent that need not be recorded any more; a durable one stays open."""
        self._abandoned.add(name)
        self._drop_abandoned()

    def _drop_abandoned(self) -> None:
        if not self.is_write_pending:
            for name in self._abandoned:
                self._created.pop(name, None)
            self._abandoned.clear()

    def mark_sent(self, name: str) -> None:
        """Note that the intent has been sent to the cloud."""
        self._sent.add(name)

    def mark_unanswered(self, name: str) -> None:
        """Note that the outcome of the intent is unknown: it stays open."""
        self._sent.discard(name)

    def mark_finished(self, name: str, now: MonotonicTime) -> None:
        """Note that the cloud has answered the intent."""
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
        """Return the durable intents without the finished and with the created ones."""
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
        """Take the outcome of a write; `revision` is the record's version if it was committed."""
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
        self._has_urgent = True  # what was in the write has waited already

    def refresh(self, item: Item | None) -> None:
        """Take the record as a fresh read has it: an earlier write may have been applied after
        all."""
        self.load(item)
        for name in self._durable:
            self._created.pop(name, None)
        self._drop_abandoned()
