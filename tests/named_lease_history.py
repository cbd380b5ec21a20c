"""History of what the state service and the cloud accepted from holders of named leases.

`check_history` verifies the history alone, without inspecting any node.
"""

from dataclasses import dataclass, field
from typing import Any

from eldercart.wire import named_leases as wire
from eldercart.wire.named_leases import LeaseName


@dataclass(frozen=True)
class AppliedChange:
    """A transaction that the state service applied, or the end of one of its leases."""

    at: float
    sender: str  # incarnation or node that sent it; empty for the end of a lease
    revision: int
    operations: list[dict[str, Any]]


@dataclass(frozen=True)
class CloudEffect:
    """A change in the cloud: machines were rented, or one machine was deleted."""

    at: float
    sender: str
    name: str  # name of the rental request, or of the deleted machine
    kind: str  # "rent" or "delete"


@dataclass(frozen=True)
class NodeEvent:
    """A point in time at which a node's process reached a state."""

    at: float
    node: str


@dataclass
class History:
    """Accepted changes, and the number of changes rejected for their token."""

    applied: list[AppliedChange] = field(default_factory=list)
    effects: list[CloudEffect] = field(default_factory=list)
    rejected: int = 0  # writes of intents and of the catalogue, rejected for a replaced token
    cloud_calls: int = 0
    # A process that starts does not know yet whether all nodes take part in the named leases. A
    # confirmation is a time at which a process was known to have received this from all nodes. If
    # there are no starts, every node knows it from the beginning.
    starts: list[NodeEvent] = field(default_factory=list)
    support_confirmations: list[NodeEvent] = field(default_factory=list)


def check_history(history: History, sender_field: str = "life") -> None:
    """Check that only current holders changed something, and only with recorded intents.

    The holders at the time of each change are derived from the accepted changes before it.
    `sender_field` is the field of holder keys that identifies the sender: "life" for its
    incarnation, or "node".
    """
    holders: dict[str, Any] = {}  # senders that hold the leader key and the leases, by key
    recorded: dict[str, float] = {}  # time of the first accepted record, by name of the intent
    deletion_recorded_by: dict[str, str] = {}  # first sender that recorded a deletion, by machine
    is_any_lease_acquired = False  # the leader writes without a lease token until then
    for change in history.applied:
        for write in change.operations:
            key = write.get("put") or write["delete"]
            lease_name = _lease_of(key)
            is_any_lease_acquired = is_any_lease_acquired or key.startswith(wire.HOLDER_PREFIX)
            if lease_name is not None and is_any_lease_acquired:
                holder = holders.get(wire.holder_key(lease_name))
                assert holder == change.sender, f"{key} written by {change.sender}, not {holder}"
            if key.startswith((wire.INTENT_PREFIX, "use/")):
                leader = holders.get("lead")
                assert leader == change.sender, f"{key} written by {change.sender}, not {leader}"
            if key.startswith(wire.INTENT_PREFIX):
                names = [obj["n"] for obj in write["v"]["i"]]
                for name in names:
                    recorded.setdefault(name, change.at)
                if lease_name is LeaseName.SCALE_IN:
                    deletion_recorded_by |= {
                        name: deletion_recorded_by.get(name, change.sender) for name in names
                    }
            if key.startswith("use/"):
                # A sender's own writes are allowed: they may be applied out of order, and it
                # knows which deletions it has recorded.
                marked_by = deletion_recorded_by.get(key[len("use/") :], change.sender)
                assert marked_by == change.sender, (
                    f"{key} after {marked_by} had recorded its deletion"
                )
            if key == "lead" or key.startswith(wire.HOLDER_PREFIX):
                holders[key] = write["v"][sender_field] if "put" in write else None
    effects: set[str] = set()
    for effect in history.effects:
        assert effect.name not in effects, f"{effect.name} took effect twice"
        effects.add(effect.name)
        if _may_lack_intent(history, effect):
            continue
        assert effect.name in recorded, f"{effect.kind} {effect.name} without an intent"
        assert recorded[effect.name] <= effect.at, f"{effect.name} before its intent"


def _may_lack_intent(history: History, effect: CloudEffect) -> bool:
    """Return whether the sender is the leader and may not know yet that all nodes take part.

    Until it knows, it sends requests to the cloud directly, without intents ("Fallback without
    tokens" in docs/design-duties.md).
    """
    starts = [
        start.at
        for start in history.starts
        if start.node == effect.sender and start.at <= effect.at
    ]
    if not starts:
        return False
    started_at = max(starts)
    if any(
        event.node == effect.sender and started_at < event.at <= effect.at
        for event in history.support_confirmations
    ):
        return False
    leader = None
    for change in history.applied:
        if not started_at < change.at <= effect.at:
            continue
        for write in change.operations:
            key = write.get("put") or write["delete"]
            if key == "lead":
                leader = change.sender if "put" in write else None
            if key.startswith(wire.HOLDER_PREFIX) and change.sender == effect.sender:
                return False  # a node acquires a lease only after it knows that all nodes take part
    return leader == effect.sender


def _lease_of(key: str) -> LeaseName | None:
    if key.startswith(wire.INTENT_PREFIX):
        return LeaseName(key[len(wire.INTENT_PREFIX) :])
    return LeaseName.CATALOG if key == "catalog" else None
