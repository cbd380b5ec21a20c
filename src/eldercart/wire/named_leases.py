"""What the state service keeps of the duties, and what operators ask about them.

A duty's holder key hangs on a lease; its version is the duty's token. Pauses, hand-overs and
intents hang on none: they outlive every process.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import orjson

from eldercart.units import IncarnationId, MachineId, NodeId, WallTime
from eldercart.wire.checks import (
    MalformedMessage,
    load_object,
    require_boolean,
    require_integer,
    require_number,
    require_objects,
    require_text,
)
from eldercart.wire.state import Item

LEASE_PREFIX = "duty/"  # the prefix of all keys but the intents
HOLDER_PREFIX = LEASE_PREFIX + "holder/"
PAUSE_PREFIX = LEASE_PREFIX + "pause/"
HAND_OVER_PREFIX = LEASE_PREFIX + "hand-over/"
INTENT_PREFIX = "intent/"

FEATURE_PREFIX = "duty."  # with a duty's name: the sender takes part in that duty

MAX_REASON_LENGTH = 200  # characters of the reason of a pause


class LeaseName(StrEnum):
    """The duties there are."""

    SCALE_OUT = "rental"  # rents machines
    SCALE_IN = "return"  # returns machines
    CLEANUP = "cleanup"  # deletes what is left of ended jobs
    CATALOG = "catalog"  # keeps the stored machine types up to date


def holder_key(duty: LeaseName) -> str:
    """The key that its holder has created on its lease."""
    return HOLDER_PREFIX + duty


def pause_key(duty: LeaseName) -> str:
    """The key that is there while the duty is paused."""
    return PAUSE_PREFIX + duty


def hand_over_key(duty: LeaseName) -> str:
    """The key that is there while the duty is to be handed over."""
    return HAND_OVER_PREFIX + duty


def intents_key(duty: LeaseName) -> str:
    """The record of the duty's open intents."""
    return INTENT_PREFIX + duty


def feature_name(duty: LeaseName) -> str:
    """What a node's greetings say when it takes part in the duty."""
    return FEATURE_PREFIX + duty


# -- stored records


@dataclass(frozen=True, slots=True)
class HolderRecord:
    """Who holds a duty."""

    node: NodeId
    incarnation: IncarnationId
    held_since: WallTime  # by the holder's clock; shown, never compared


@dataclass(frozen=True, slots=True)
class PauseRecord:
    """A duty that an operator has paused."""

    paused_at: WallTime
    reason: str


@dataclass(frozen=True, slots=True)
class HandOverRecord:
    """A duty that an operator hands over."""

    receiver: NodeId
    requested_at: WallTime


@dataclass(frozen=True, slots=True)
class ScaleOutIntent:
    """A rental that may be asked for, any number of times, under its name."""

    name: str  # of the request to the cloud
    created_at: WallTime
    machine_type: str
    zone: str
    spot: bool
    machine_count: int


@dataclass(frozen=True, slots=True)
class ScaleInIntent:
    """A machine that may be deleted, any number of times."""

    name: MachineId
    created_at: WallTime


Intent = ScaleOutIntent | ScaleInIntent


def holder_value(record: HolderRecord) -> dict[str, Any]:
    """The value of a holder key."""
    return {"node": record.node, "life": record.incarnation, "t": record.held_since}


def parse_holder(value: Any) -> HolderRecord:
    """A holder key as it was read."""
    obj = _require_object(value)
    return HolderRecord(
        NodeId(require_text(obj, "node")),
        IncarnationId(require_text(obj, "life")),
        WallTime(require_number(obj, "t")),
    )


def pause_value(record: PauseRecord) -> dict[str, Any]:
    """The value of a pause key."""
    return {"t": record.paused_at, "why": record.reason}


def parse_pause(value: Any) -> PauseRecord:
    """A pause key as it was read."""
    obj = _require_object(value)
    reason = obj.get("why")
    return PauseRecord(
        WallTime(require_number(obj, "t")), reason if isinstance(reason, str) else ""
    )


def hand_over_value(record: HandOverRecord) -> dict[str, Any]:
    """The value of a hand-over key."""
    return {"to": record.receiver, "t": record.requested_at}


def parse_hand_over(value: Any) -> HandOverRecord:
    """A hand-over key as it was read."""
    obj = _require_object(value)
    return HandOverRecord(NodeId(require_text(obj, "to")), WallTime(require_number(obj, "t")))


def intent_value(intent: Intent) -> dict[str, Any]:
    """One intent as it stands in its duty's record."""
    if isinstance(intent, ScaleInIntent):
        return {"n": intent.name, "t": intent.created_at}
    return {
        "n": intent.name,
        "t": intent.created_at,
        "k": intent.machine_type,
        "z": intent.zone,
        "s": intent.spot,
        "c": intent.machine_count,
    }


def intent_bytes(intent: Intent) -> int:
    """What one intent adds to the size of its record."""
    return len(orjson.dumps(intent_value(intent))) + 1


EMPTY_RECORD_BYTES = 16  # of a record without intents, and more than it takes


def intents_value(intents: list[Intent]) -> dict[str, Any]:
    """The value of a record of intents."""
    return {"i": [intent_value(intent) for intent in intents]}


def parse_intents(duty: LeaseName, value: Any) -> list[Intent]:
    """The open intents of a duty as they were read."""
    parse = _parse_scale_out if duty is LeaseName.SCALE_OUT else _parse_scale_in
    return [parse(obj) for obj in require_objects(_require_object(value), "i")]


def _parse_scale_out(obj: dict[str, Any]) -> Intent:
    return ScaleOutIntent(
        require_text(obj, "n"),
        WallTime(require_number(obj, "t")),
        require_text(obj, "k"),
        require_text(obj, "z"),
        require_boolean(obj, "s"),
        require_integer(obj, "c", 1),
    )


def _parse_scale_in(obj: dict[str, Any]) -> Intent:
    return ScaleInIntent(MachineId(require_text(obj, "n")), WallTime(require_number(obj, "t")))


def _require_object(value: Any) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise MalformedMessage("not an object")
    return value


def lease_of_key(key: str) -> LeaseName | None:
    """The duty that a stored key is about; None for keys of a later version."""
    name = key.rpartition("/")[2]
    return LeaseName(name) if name in _LEASE_NAMES else None


_LEASE_NAMES = frozenset(duty.value for duty in LeaseName)


def parse_lease_name(name: str) -> LeaseName | None:
    """A duty by the name that an operator gives."""
    return LeaseName(name) if name in _LEASE_NAMES else None


def find_intents_item(items: list[Item], duty: LeaseName) -> Item | None:
    """The duty's record among those that were read."""
    return next((item for item in items if item.key == intents_key(duty)), None)


# -- operators' requests


def parse_hand_over_request(body: bytes) -> NodeId:
    """The node that is to hold the duty."""
    return NodeId(require_text(load_object(body), "to"))


def parse_pause_request(body: bytes) -> str:
    """The reason for a pause; it may be left out."""
    reason = load_object(body).get("reason")
    if reason is None:
        return ""
    if not isinstance(reason, str) or len(reason) > MAX_REASON_LENGTH:
        raise MalformedMessage("reason")
    return reason


def encode_hand_over_request(to: str) -> bytes:
    """Asks for a hand-over."""
    return orjson.dumps({"to": to})


def encode_pause_request(reason: str) -> bytes:
    """Asks for a pause."""
    return orjson.dumps({"reason": reason})
