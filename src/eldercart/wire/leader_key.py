"""Codec of the leader key, whose value names the node that leads.

The key is attached to a lease of the state service. Its version is the leader's fencing token.
"""

from dataclasses import dataclass
from typing import Any

from eldercart.units import IncarnationId, NodeId

LEADER_KEY = "lead"


@dataclass(frozen=True, slots=True)
class LeaderRecord:
    """The holder of the leader key. A field that could not be read is None."""

    node: NodeId | None
    incarnation: IncarnationId | None


def leader_value(record: LeaderRecord) -> dict[str, Any]:
    """Return the value to store under the leader key."""
    return {"node": record.node, "life": record.incarnation}


def parse_leader(value: Any) -> LeaderRecord:
    """Decode the value of the leader key.

    It never raises an error: the key is held even if its value can't be read.
    """
    fields = value if isinstance(value, dict) else {}
    node, incarnation = fields.get("node"), fields.get("life")
    return LeaderRecord(
        NodeId(node) if isinstance(node, str) else None,
        IncarnationId(incarnation) if isinstance(incarnation, str) else None,
    )
