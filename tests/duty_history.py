"""What the state service and the cloud accepted from the holders of named leases, and the checker
that judges it: `check_history` looks at the history alone, never at a node."""

from dataclasses import dataclass, field
from typing import Any

from eldercart.wire import named_leases as wire
from eldercart.wire.named_leases import LeaseName


@dataclass(frozen=True)
class AppliedChange:
    """A transaction that the state service carried out, or the end of a lease."""

    at: float
    sender: str  # the incarnation that sent it
    revision: int
    operations: list[dict[str, Any]]


@dataclass(frozen=True)
class CloudEffect:
    """Something that changed in the cloud: machines that came, or one that went."""

    at: float
    sender: str
    name: str  # of the rental, or of the machine
    kind: str  # "rent" or "delete"


@dataclass(frozen=True)
class NodeEvent:
    """Something that a node's process is known to have come to."""

    at: float
    node: str


@dataclass
class History:
    """What was accepted, and what was refused for a token."""

    applied: list[AppliedChange] = field(default_factory=list)
    effects: list[CloudEffect] = field(default_factory=list)
    rejected: int = 0  # writes of intents, and of the catalogue, under a token that was replaced
    cloud_calls: int = 0
    # Starts of processes that first have to hear which nodes take part, and when one was known to
    # have heard that all do. No starts: each node knows it from the first.
    starts: list[NodeEvent] = field(default_factory=list)
    support_confirmations: list[NodeEvent] = field(default_factory=list)


def check_history(history: History, identity: str = "life") -> None:
    """Judges what was accepted, from the accepted changes alone: who held what when each of them
    was made is told by the changes before it. `identity`: the field of holder keys that names who
    sends, the incarnation or the node."""
    holders: dict[str, Any] = {}  # who holds the leader key and each lease
    recorded: dict[str, float] = {}  # names in any accepted record of intents, and since when
    condemned: dict[str, str] = {}  # machines, and who has condemned them
    begun = False  # before the first lease is taken, the leader writes without a token
    for change in history.applied:
        for write in change.operations:
            key = write.get("put") or write["delete"]
            lease_name = _lease_of(key)
            begun = begun or key.startswith(wire.HOLDER_PREFIX)
            if lease_name is not None and begun:
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
                    condemned |= {name: condemned.get(name, change.sender) for name in names}
            if key.startswith("use/"):
                # Its own writes may overtake each other; it knows what it has condemned.
                marked_by = condemned.get(key[len("use/") :], change.sender)
                assert marked_by == change.sender, f"{key} after {marked_by} had condemned it"
            if key == "lead" or key.startswith(wire.HOLDER_PREFIX):
                holders[key] = write["v"][identity] if "put" in write else None
    effects: set[str] = set()
    for effect in history.effects:
        assert effect.name not in effects, f"{effect.name} took effect twice"
        effects.add(effect.name)
        if _may_lack_intent(history, effect):
            continue
        assert effect.name in recorded, f"{effect.kind} {effect.name} without an intent"
        assert recorded[effect.name] <= effect.at, f"{effect.name} before its intent"


def _may_lack_intent(history: History, effect: CloudEffect) -> bool:
    """Whether the sender leads and, as far as its process has shown, has not yet heard all nodes:
    until then it calls the cloud directly ("Fallback without tokens" in docs/design-duties.md)."""
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
                return False  # nobody asks for a duty before it has heard all nodes
    return leader == effect.sender


def _lease_of(key: str) -> LeaseName | None:
    if key.startswith(wire.INTENT_PREFIX):
        return LeaseName(key[len(wire.INTENT_PREFIX) :])
    return LeaseName.CATALOG if key == "catalog" else None
