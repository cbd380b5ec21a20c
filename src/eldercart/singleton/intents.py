"""The intents of one duty: what it may ask of the cloud, recorded before it is asked.

The cloud compares no tokens. So an intent is recorded first, in a transaction guarded on the
holder's token and the leader's epoch, and is irrevocable from then on: to send it once more does
what sending it once does, whoever sends it and whenever. All open intents stand in one record,
which is replaced as a whole under the version that was read, so a late copy of a transaction finds
another version and does nothing.
"""

import logging
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from pyrsistent import pmap

from eldercart.election.state_machine import LEAD_KEY
from eldercart.units import ABSENT, NEVER, Epoch, Revision, Steady, Token
from eldercart.wire import Malformed
from eldercart.wire.named_leases import (
    RECORD_BYTES,
    DutyName,
    Intent,
    holder_key,
    intent_bytes,
    intents_key,
    intents_value,
    parse_intents,
)
from eldercart.wire.state import Item, Put, Txn

log = logging.getLogger("eldercart.duties")

# After which finished intents are dropped although nothing new is recorded. Shorter than machines
# usually stand idle: a successor asks anew for what is left, and must not count machines again that
# were returned since.
COMPACT_S = 20.0
GATHER_S = 1.0  # between two writes for intents that are not urgent
WRITE_PAUSE_S = 0.25  # after a write that was not carried out


class IntentStage(Enum):
    """How far an intent has come."""

    CREATED = "created"  # not durable: nothing may be sent
    RECORDED = "recorded"  # durable: it may be sent, and may have been
    SENT = "sent"  # by this node, without an answer yet
    FINISHED = "finished"  # answered; it is dropped with the next write


class WriteOutcome(Enum):
    """What became of a write of the record."""

    DONE = "done"
    CONFLICT = "conflict"  # a guard did not hold
    REFUSED = "refused"  # surely not carried out
    UNKNOWN = "unknown"  # may have been, or may be later


OpenIntents = Mapping[str, Intent]  # by name; persistent: it never changes


@dataclass(frozen=True, slots=True)
class IntentWrite:
    """A write of the record, and the open intents that it holds."""

    txn: Txn
    token: Token
    content: OpenIntents


class IntentLog:
    """The open intents of a duty, as far as its holder knows. One write is under way at a time."""

    def __init__(self, duty: DutyName, most_bytes: int) -> None:
        """Nothing is known before `load`; the record grows to at most `most_bytes`."""
        self.duty = duty
        self.loaded = False
        self.reread_wanted = False
        self._most_bytes = most_bytes
        self._version = ABSENT
        self._durable: Any = pmap()
        self._created: dict[str, Intent] = {}
        self._unwanted: set[str] = set()  # of these, what is forgotten unless it is durable
        self._sent: set[str] = set()
        self._finished: set[str] = set()
        self._finished_since = NEVER
        self._write: IntentWrite | None = None
        self._pause = NEVER
        self._wrote_at = NEVER
        self._urgent = False  # something waits to be recorded that must not be gathered

    # -- what others may ask

    @property
    def open(self) -> OpenIntents:
        """The durable intents, as a snapshot."""
        intents: OpenIntents = self._durable
        return intents

    def stage(self, name: str) -> IntentStage | None:
        """How far the intent of that name has come; None: there is none."""
        if name in self._finished:
            return IntentStage.FINISHED
        if name in self._sent:
            return IntentStage.SENT
        if name in self._durable:
            return IntentStage.RECORDED
        return IntentStage.CREATED if name in self._created else None

    def is_recorded(self, name: str) -> bool:
        """Whether the intent is durable and may be sent."""
        return name in self._durable and name not in self._finished

    @property
    def writing(self) -> bool:
        """Whether a write is under way, or its outcome is not known."""
        return self._write is not None or self.reread_wanted

    def room_for(self, intents: list[Intent]) -> int:
        """How many of these, from the first, the record can take beside the open ones."""
        size = RECORD_BYTES + sum(
            intent_bytes(intent)
            for name, intent in [*self._durable.items(), *self._created.items()]
            if name not in self._finished
        )
        for number, intent in enumerate(intents):
            if self.stage(intent.name) in (IntentStage.CREATED, IntentStage.RECORDED):
                continue
            size += intent_bytes(intent)
            if size > self._most_bytes:
                return number
        return len(intents)

    # -- inputs

    def load(self, item: Item | None) -> list[Intent]:
        """Takes the record as it was read; returns the intents that are open."""
        self.loaded = True
        self.reread_wanted = False
        self._version = ABSENT if item is None else item.version
        try:
            intents = [] if item is None else parse_intents(self.duty, item.value)
        except Malformed as err:
            log.error("record of intents unreadable duty=%s, replaced: %s", self.duty, err)
            intents = []
        self._durable = pmap({intent.name: intent for intent in intents})
        self._sent &= set(self._durable)
        self._finished &= set(self._durable)
        return intents

    def create(self, intent: Intent, urgent: bool = True) -> None:
        """An intent that is to be recorded; one that is not urgent may wait a little for others."""
        self._finished.discard(intent.name)
        self._unwanted.discard(intent.name)
        dropped = self._write is not None and intent.name not in self._write.content
        if intent.name not in self._durable or dropped or self.reread_wanted:
            self._created[intent.name] = intent
            self._urgent = self._urgent or urgent

    def forget(self, name: str) -> None:
        """The intent is not wanted any more. One that turns out to be durable stays open."""
        self._unwanted.add(name)
        self._drop_unwanted()

    def _drop_unwanted(self) -> None:
        if not self.writing:
            for name in self._unwanted:
                self._created.pop(name, None)
            self._unwanted.clear()

    def sent(self, name: str) -> None:
        """The intent is on its way to the cloud."""
        self._sent.add(name)

    def unanswered(self, name: str) -> None:
        """Nobody knows whether the intent was carried out: it stays open."""
        self._sent.discard(name)

    def finished(self, name: str, now: Steady) -> None:
        """The cloud has answered the intent."""
        self._sent.discard(name)
        if name in self._durable:
            if not self._finished:
                self._finished_since = now
            self._finished.add(name)

    # -- writing

    def next_write(self, token: Token, epoch: Epoch, now: Steady) -> IntentWrite | None:
        """The next write of the record, if one is due and none is under way."""
        if not self.loaded or self.writing or now < self._pause:
            return None
        compacts = bool(self._finished) and now - self._finished_since >= COMPACT_S
        gathers = not self._urgent and now - self._wrote_at < GATHER_S
        if not compacts and (not self._created or gathers):
            return None
        self._urgent = False
        self._wrote_at = now
        content = self._durable.evolver()
        for name in self._finished:
            content.remove(name)
        for name, intent in self._created.items():
            content.set(name, intent)
        intents = content.persistent()
        key = intents_key(self.duty)
        txn = Txn(
            {
                holder_key(self.duty): Revision(token),
                LEAD_KEY: Revision(epoch),
                key: self._version,
            },
            [Put(key, intents_value(list(intents.values())))],
        )
        self._write = IntentWrite(txn, token, intents)
        return self._write

    def written(
        self, write: IntentWrite, outcome: WriteOutcome, revision: Revision, now: Steady
    ) -> None:
        """The outcome of a write."""
        if write is not self._write:
            return
        self._write = None
        match outcome:
            case WriteOutcome.DONE:
                self._version = revision
                self._finished -= set(self._durable) - set(write.content)
                self._durable = write.content
                for name in write.content:
                    self._created.pop(name, None)
            case WriteOutcome.REFUSED:
                self._again(now)
            case WriteOutcome.CONFLICT | WriteOutcome.UNKNOWN:
                self._again(now)
                self.reread_wanted = True
        self._drop_unwanted()

    def _again(self, now: Steady) -> None:
        self._pause = Steady(now + WRITE_PAUSE_S)
        self._urgent = True  # what was in the write has waited already

    def reread(self, item: Item | None) -> None:
        """The record as a fresh read has it: an earlier write may have been applied after all."""
        self.load(item)
        for name in self._durable:
            self._created.pop(name, None)
        self._drop_unwanted()
