"""Status of named leases for operators: the holder and its token, or why there is no holder."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from eldercart.singleton.holder_preference import AFFINITY, Affinity
from eldercart.singleton.lease_directory import LeaseEntry
from eldercart.singleton.maintenance_window import MaintenanceWindow
from eldercart.units import NodeId, WallTime
from eldercart.wire.named_leases import Intent, LeaseName

# Work under these leases is deferred to a maintenance window.
WINDOWED_LEASES = (LeaseName.CLEANUP, LeaseName.CATALOG)
MAX_NAMED_NODES = 8  # nodes listed by name in the reason why a lease has no holder


@dataclass(frozen=True, slots=True)
class StatusContext:
    """Inputs of a report that are not stored keys, as the answering node sees them."""

    wall_time: WallTime
    enabled_leases: frozenset[LeaseName]  # this node takes part in these
    # Nodes that do not take part in the lease, or are not known to.
    nodes_without_support: Mapping[LeaseName, list[NodeId]]
    leader: NodeId | None
    window: MaintenanceWindow | None  # the window that is open, or else the next one
    has_calendar: bool


def unheld_reason(lease_name: LeaseName, entry: LeaseEntry, context: StatusContext) -> str | None:
    """Return why no node holds the lease, or None if a node holds it."""
    if entry.is_held:
        return None
    nodes = context.nodes_without_support.get(lease_name, [])
    if entry.pause is not None and entry.is_paused:
        return "paused: " + (entry.pause.reason or "no reason given")
    if entry.is_paused:
        return "paused"
    if lease_name not in context.enabled_leases:
        return "this node does not take part in it; the leader does it without a token"
    if nodes:
        names = " ".join(nodes[:MAX_NAMED_NODES])
        return f"not every node takes part in it ({names}); the leader does it without a token"
    if entry.hand_over is not None:
        return f"being handed over to {entry.hand_over.receiver}"
    if AFFINITY[lease_name] is Affinity.LEADER and context.leader is None:
        return "no leader is known"
    return "its next holder has not taken it yet"


def lease_status(
    lease_name: LeaseName, entry: LeaseEntry, intents: list[Intent] | None, context: StatusContext
) -> dict[str, Any]:
    """Return a lease's status as JSON fields. `intents` is None if they could not be read."""
    report: dict[str, Any] = {"duty": lease_name.value, "affinity": AFFINITY[lease_name].value}
    if entry.holder is not None:
        report |= {
            "holder": entry.holder.node,
            "token": entry.token,
            "since": round(entry.holder.held_since, 1),
            "held_s": _age_s(context.wall_time, entry.holder.held_since),
        }
    elif entry.is_held:
        report |= {"holder": "unreadable", "token": entry.token}
    else:
        report |= {"holder": None, "why": unheld_reason(lease_name, entry, context)}
    if entry.pause is not None:
        report["paused"] = {"since": round(entry.pause.paused_at, 1), "reason": entry.pause.reason}
    if entry.hand_over is not None:
        report["hand_over"] = {
            "to": entry.hand_over.receiver,
            "since": round(entry.hand_over.requested_at, 1),
        }
    if intents is not None:
        oldest = min((intent.created_at for intent in intents), default=None)
        report["intents"] = len(intents)
        report["oldest_s"] = None if oldest is None else _age_s(context.wall_time, oldest)
    if lease_name in WINDOWED_LEASES:
        report["window"] = _window_status(context)
    return report


def _age_s(now: WallTime, at: WallTime) -> float:
    """Return the seconds since `at`, but at least 0: the two times are from different clocks."""
    return round(max(0.0, now - at), 1)


def _window_status(context: StatusContext) -> dict[str, Any] | None:
    if not context.has_calendar:
        return None
    if context.window is None:
        return {"open": False, "opens": None, "closes": None}
    return {
        "open": context.window.opens_at <= context.wall_time,
        "opens": context.window.opens_at,
        "closes": context.window.closes_at,
    }
