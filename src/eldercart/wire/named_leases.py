"""What the state service keeps of the duties, and what operators ask about them.

A duty's holder key hangs on a lease; its version is the duty's token. Pauses, hand-overs and
intents hang on none: they outlive every process.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import orjson

from eldercart.units import IncarnationId, MachineId, NodeId, WallTime
from eldercart.wire.checks import Malformed, amount, count, flag, load_object, objects, text
from eldercart.wire.state import Item

DUTIES = "duty/"  # the prefix of all keys but the intents
HOLDERS = DUTIES + "holder/"
PAUSES = DUTIES + "pause/"
HAND_OVERS = DUTIES + "hand-over/"
INTENTS = "intent/"

ANNOUNCEMENT = "duty."  # with a duty's name: the sender takes part in that duty

MAX_REASON = 200  # characters of the reason of a pause


class DutyName(StrEnum):
    """The duties there are."""

    RENTAL = "rental"  # rents machines
    RETURN = "return"  # returns machines
    CLEANUP = "cleanup"  # deletes what is left of ended jobs
    CATALOG = "catalog"  # keeps the stored machine types up to date


def holder_key(duty: DutyName) -> str:
    """The key that its holder has created on its lease."""
    return HOLDERS + duty


def pause_key(duty: DutyName) -> str:
    """The key that is there while the duty is paused."""
    return PAUSES + duty


def hand_over_key(duty: DutyName) -> str:
    """The key that is there while the duty is to be handed over."""
    return HAND_OVERS + duty


def intents_key(duty: DutyName) -> str:
    """The record of the duty's open intents."""
    return INTENTS + duty


def announcement(duty: DutyName) -> str:
    """What a node's greetings say when it takes part in the duty."""
    return ANNOUNCEMENT + duty


# -- stored records


@dataclass(frozen=True, slots=True)
class HolderRecord:
    """Who holds a duty."""

    node: NodeId
    incarnation: IncarnationId
    since: WallTime  # by the holder's clock; shown, never compared


@dataclass(frozen=True, slots=True)
class PauseRecord:
    """A duty that an operator has paused."""

    at: WallTime
    reason: str


@dataclass(frozen=True, slots=True)
class HandOverRecord:
    """A duty that an operator hands over."""

    to: NodeId
    at: WallTime


@dataclass(frozen=True, slots=True)
class RentalIntent:
    """A rental that may be asked for, any number of times, under its name."""

    name: str  # of the request to the cloud
    at: WallTime
    type: str
    zone: str
    spot: bool
    number: int


@dataclass(frozen=True, slots=True)
class ReturnIntent:
    """A machine that may be deleted, any number of times."""

    name: MachineId
    at: WallTime


Intent = RentalIntent | ReturnIntent


def holder_value(record: HolderRecord) -> dict[str, Any]:
    """The value of a holder key."""
    return {"node": record.node, "life": record.incarnation, "t": record.since}


def parse_holder(value: Any) -> HolderRecord:
    """A holder key as it was read."""
    obj = _object(value)
    return HolderRecord(
        NodeId(text(obj, "node")), IncarnationId(text(obj, "life")), WallTime(amount(obj, "t"))
    )


def pause_value(record: PauseRecord) -> dict[str, Any]:
    """The value of a pause key."""
    return {"t": record.at, "why": record.reason}


def parse_pause(value: Any) -> PauseRecord:
    """A pause key as it was read."""
    obj = _object(value)
    reason = obj.get("why")
    return PauseRecord(WallTime(amount(obj, "t")), reason if isinstance(reason, str) else "")


def hand_over_value(record: HandOverRecord) -> dict[str, Any]:
    """The value of a hand-over key."""
    return {"to": record.to, "t": record.at}


def parse_hand_over(value: Any) -> HandOverRecord:
    """A hand-over key as it was read."""
    obj = _object(value)
    return HandOverRecord(NodeId(text(obj, "to")), WallTime(amount(obj, "t")))


def intent_value(intent: Intent) -> dict[str, Any]:
    """One intent as it stands in its duty's record."""
    if isinstance(intent, ReturnIntent):
        return {"n": intent.name, "t": intent.at}
    return {
        "n": intent.name,
        "t": intent.at,
        "k": intent.type,
        "z": intent.zone,
        "s": intent.spot,
        "c": intent.number,
    }


def intent_bytes(intent: Intent) -> int:
    """What one intent adds to the size of its record."""
    return len(orjson.dumps(intent_value(intent))) + 1


RECORD_BYTES = 16  # of a record without intents, and more than it takes


def intents_value(intents: list[Intent]) -> dict[str, Any]:
    """The value of a record of intents."""
    return {"i": [intent_value(intent) for intent in intents]}


def parse_intents(duty: DutyName, value: Any) -> list[Intent]:
    """The open intents of a duty as they were read."""
    parse = _parse_rental if duty is DutyName.RENTAL else _parse_return
    return [parse(obj) for obj in objects(_object(value), "i")]


def _parse_rental(obj: dict[str, Any]) -> Intent:
    return RentalIntent(
        text(obj, "n"),
        WallTime(amount(obj, "t")),
        text(obj, "k"),
        text(obj, "z"),
        flag(obj, "s"),
        count(obj, "c", 1),
    )


def _parse_return(obj: dict[str, Any]) -> Intent:
    return ReturnIntent(MachineId(text(obj, "n")), WallTime(amount(obj, "t")))


def _object(value: Any) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise Malformed("not an object")
    return value


def duty_of_key(key: str) -> DutyName | None:
    """The duty that a stored key is about; None for keys of a later version."""
    name = key.rpartition("/")[2]
    return DutyName(name) if name in _NAMES else None


_NAMES = frozenset(duty.value for duty in DutyName)


def parse_duty(name: str) -> DutyName | None:
    """A duty by the name that an operator gives."""
    return DutyName(name) if name in _NAMES else None


def intents_of(items: list[Item], duty: DutyName) -> Item | None:
    """The duty's record among those that were read."""
    return next((item for item in items if item.key == intents_key(duty)), None)


# -- operators' requests


def parse_hand_over_request(body: bytes) -> NodeId:
    """The node that is to hold the duty."""
    return NodeId(text(load_object(body), "to"))


def parse_pause_request(body: bytes) -> str:
    """The reason for a pause; it may be left out."""
    reason = load_object(body).get("reason")
    if reason is None:
        return ""
    if not isinstance(reason, str) or len(reason) > MAX_REASON:
        raise Malformed("reason")
    return reason


def hand_over_request(to: str) -> bytes:
    """Asks for a hand-over."""
    return orjson.dumps({"to": to})


def pause_request(reason: str) -> bytes:
    """Asks for a pause."""
    return orjson.dumps({"reason": reason})
