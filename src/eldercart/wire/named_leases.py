"""Codecs of named leases: stored keys and records, and operators' requests.

The holder key of a named lease is attached to a lease of the state service; the key's version is
the holder's fencing token. The keys of pauses, hand-overs and intents are attached to no lease, so
they outlive every process.

Stored fields of an intent: `n` name, `t` created at, `k` machine type, `z` zone, `s` spot,
`c` machine count. Field of an intent record: `i` intents. In the other records, `t` is the time of
the record, `life` the incarnation of a node and `why` the reason of a pause.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

import orjson

from eldercart.units import IncarnationId, MachineId, NodeId, WallTime
from eldercart.wire.checks import (
    MalformedMessageError,
    load_object,
    require_boolean,
    require_integer,
    require_number,
    require_objects,
    require_text,
)
from eldercart.wire.state import Item

LEASE_PREFIX = "duty/"  # prefix of all keys except those of intent records
HOLDER_PREFIX = LEASE_PREFIX + "holder/"
PAUSE_PREFIX = LEASE_PREFIX + "pause/"
HAND_OVER_PREFIX = LEASE_PREFIX + "hand-over/"
INTENT_PREFIX = "intent/"

FEATURE_PREFIX = "duty."  # prefix of the features that nodes announce to their peers

MAX_REASON_LENGTH = 200  # characters


class LeaseName(StrEnum):
    """The kinds of work that only one node does at a time.

    The values are stored, and are used on the command line.
    """

    SCALE_OUT = "rental"  # requests machines from the cloud
    SCALE_IN = "return"  # deletes machines
    CLEANUP = "cleanup"  # deletes the remaining records of ended jobs
    CATALOG = "catalog"  # keeps the stored machine types up to date


def holder_key(lease_name: LeaseName) -> str:
    """Return the key that the holder of the lease creates."""
    return HOLDER_PREFIX + lease_name


def pause_key(lease_name: LeaseName) -> str:
    """Return the key that exists while the lease is paused."""
    return PAUSE_PREFIX + lease_name


def hand_over_key(lease_name: LeaseName) -> str:
    """Return the key that exists while the lease is being handed over."""
    return HAND_OVER_PREFIX + lease_name


def intents_key(lease_name: LeaseName) -> str:
    """Return the key of the record of the lease's open intents."""
    return INTENT_PREFIX + lease_name


def feature_name(lease_name: LeaseName) -> str:
    """Return the feature that a node announces to its peers when it takes part in the lease."""
    return FEATURE_PREFIX + lease_name


# -- stored records


@dataclass(frozen=True, slots=True)
class HolderRecord:
    """The holder of a lease."""

    node: NodeId
    incarnation: IncarnationId
    held_since: WallTime  # the holder's clock; only displayed, never compared


@dataclass(frozen=True, slots=True)
class PauseRecord:
    """A pause by an operator: no node holds the lease until it is resumed."""

    paused_at: WallTime
    reason: str


@dataclass(frozen=True, slots=True)
class HandOverRecord:
    """A hand-over by an operator: the lease is reserved for the receiver."""

    receiver: NodeId
    requested_at: WallTime


@dataclass(frozen=True, slots=True)
class ScaleOutIntent:
    """An intent to request machines from the cloud.

    The request may be sent any number of times, always under the same name.
    """

    name: str  # names the request to the cloud and makes it idempotent
    created_at: WallTime
    machine_type: str
    zone: str
    is_spot: bool
    machine_count: int


@dataclass(frozen=True, slots=True)
class ScaleInIntent:
    """An intent to delete a machine; the request may be sent any number of times."""

    name: MachineId
    created_at: WallTime


Intent = ScaleOutIntent | ScaleInIntent


def holder_value(record: HolderRecord) -> dict[str, Any]:
    """Return the value to store under a holder key."""
    return {"node": record.node, "life": record.incarnation, "t": record.held_since}


def parse_holder(value: Any) -> HolderRecord:
    """Decode the value of a holder key; raises MalformedMessageError."""
    obj = _require_object(value)
    return HolderRecord(
        NodeId(require_text(obj, "node")),
        IncarnationId(require_text(obj, "life")),
        WallTime(require_number(obj, "t")),
    )


def pause_value(record: PauseRecord) -> dict[str, Any]:
    """Return the value to store under a pause key."""
    return {"t": record.paused_at, "why": record.reason}


def parse_pause(value: Any) -> PauseRecord:
    """Decode the value of a pause key; raises MalformedMessageError."""
    obj = _require_object(value)
    reason = obj.get("why")
    return PauseRecord(
        WallTime(require_number(obj, "t")), reason if isinstance(reason, str) else ""
    )


def hand_over_value(record: HandOverRecord) -> dict[str, Any]:
    """Return the value to store under a hand-over key."""
    return {"to": record.receiver, "t": record.requested_at}


def parse_hand_over(value: Any) -> HandOverRecord:
    """Decode the value of a hand-over key; raises MalformedMessageError."""
    obj = _require_object(value)
    return HandOverRecord(NodeId(require_text(obj, "to")), WallTime(require_number(obj, "t")))


def intent_value(intent: Intent) -> dict[str, Any]:
    """Return one intent as it is stored in the lease's record."""
    if isinstance(intent, ScaleInIntent):
        return {"n": intent.name, "t": intent.created_at}
    return {
        "n": intent.name,
        "t": intent.created_at,
        "k": intent.machine_type,
        "z": intent.zone,
        "s": intent.is_spot,
        "c": intent.machine_count,
    }


def intent_bytes(intent: Intent) -> int:
    """Return how many bytes one intent adds to its record."""
    return len(orjson.dumps(intent_value(intent))) + 1


EMPTY_RECORD_BYTES = 16  # upper bound for a record without intents


def intents_value(intents: list[Intent]) -> dict[str, Any]:
    """Return the value to store for the open intents of a lease."""
    return {"i": [intent_value(intent) for intent in intents]}


def parse_intents(lease_name: LeaseName, value: Any) -> list[Intent]:
    """Decode the record of a lease's open intents; raises MalformedMessageError."""
    parse = _parse_scale_out if lease_name is LeaseName.SCALE_OUT else _parse_scale_in
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
        raise MalformedMessageError("stored value is not a JSON object")
    return value


def lease_of_key(key: str) -> LeaseName | None:
    """Return the lease that a stored key belongs to.

    None means that only a later version has a lease of that name.
    """
    name = key.rpartition("/")[2]
    return LeaseName(name) if name in _LEASE_NAMES else None


_LEASE_NAMES = frozenset(lease_name.value for lease_name in LeaseName)


def parse_lease_name(name: str) -> LeaseName | None:
    """Return the lease of that name, or None if there is none."""
    return LeaseName(name) if name in _LEASE_NAMES else None


def find_intents_item(items: list[Item], lease_name: LeaseName) -> Item | None:
    """Return the lease's intent record among the items, or None if it is absent."""
    return next((item for item in items if item.key == intents_key(lease_name)), None)


# -- operators' requests


def parse_hand_over_request(body: bytes) -> NodeId:
    """Decode a hand-over request into its receiver; raises MalformedMessageError."""
    return NodeId(require_text(load_object(body), "to"))


def parse_pause_request(body: bytes) -> str:
    """Decode a pause request into its reason, "" if it has none; raises MalformedMessageError."""
    reason = load_object(body).get("reason")
    if reason is None:
        return ""
    if not isinstance(reason, str) or len(reason) > MAX_REASON_LENGTH:
        raise MalformedMessageError("reason")
    return reason


def encode_hand_over_request(receiver: str) -> bytes:
    """Encode a request to hand a lease over to the node `receiver`."""
    return orjson.dumps({"to": receiver})


def encode_pause_request(reason: str) -> bytes:
    """Encode a request to pause a lease."""
    return orjson.dumps({"reason": reason})
