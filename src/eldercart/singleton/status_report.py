"""What operators are told of the duties: who holds each, under which token, and why nobody does."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from eldercart.singleton.holder_preference import AFFINITY, Affinity
from eldercart.singleton.lease_directory import LeaseEntry
from eldercart.singleton.maintenance_window import MaintenanceWindow
from eldercart.units import NodeId, WallTime
from eldercart.wire.named_leases import Intent, LeaseName

WINDOWED_LEASES = (
    LeaseName.CLEANUP,
    LeaseName.CATALOG,
)  # duties that wait for a maintenance window
MAX_NAMED_NODES = 8  # nodes that are named


@dataclass(frozen=True, slots=True)
class StatusContext:
    """What the answering node knows beside the stored keys."""

    wall_time: WallTime
    enabled_leases: frozenset[LeaseName]  # the duties that this node takes part in
    nodes_without_support: Mapping[
        LeaseName, list[NodeId]
    ]  # nodes that do not take part, or are not known to
    leader: NodeId | None
    window: MaintenanceWindow | None  # the one that is open or comes next
    has_calendar: bool


def unheld_reason(duty: LeaseName, entry: LeaseEntry, around: StatusContext) -> str | None:
    """Why nobody holds the duty; None: somebody does."""
    if entry.is_held:
        return None
    missing = around.nodes_without_support.get(duty, [])
    if entry.pause is not None and entry.is_paused:
        return "paused: " + (entry.pause.reason or "no reason given")
    if entry.is_paused:
        return "paused"
    if duty not in around.enabled_leases:
        return "this node does not take part in it; the leader does it without a token"
    if missing:
        names = " ".join(missing[:MAX_NAMED_NODES])
        return f"not every node takes part in it ({names}); the leader does it without a token"
    if entry.hand_over is not None:
        return f"being handed over to {entry.hand_over.receiver}"
    if AFFINITY[duty] is Affinity.LEADER and around.leader is None:
        return "no leader is known"
    return "its next holder has not taken it yet"


def lease_status(
    duty: LeaseName, entry: LeaseEntry, intents: list[Intent] | None, around: StatusContext
) -> dict[str, Any]:
    """All that is told of one duty; `intents` None: they could not be read."""
    report: dict[str, Any] = {"duty": duty.value, "affinity": AFFINITY[duty].value}
    if entry.holder is not None:
        report |= {
            "holder": entry.holder.node,
            "token": entry.token,
            "since": round(entry.holder.held_since, 1),
            "held_s": _age_s(around.wall_time, entry.holder.held_since),
        }
    elif entry.is_held:
        report |= {"holder": "unreadable", "token": entry.token}
    else:
        report |= {"holder": None, "why": unheld_reason(duty, entry, around)}
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
        report["oldest_s"] = None if oldest is None else _age_s(around.wall_time, oldest)
    if duty in WINDOWED_LEASES:
        report["window"] = _window_status(around)
    return report


def _age_s(now: WallTime, at: WallTime) -> float:
    """Never negative: the clocks of two nodes differ."""
    return round(max(0.0, now - at), 1)


def _window_status(around: StatusContext) -> dict[str, Any] | None:
    if not around.has_calendar:
        return None
    if around.window is None:
        return {"open": False, "opens": None, "closes": None}
    return {
        "open": around.window.opens_at <= around.wall_time,
        "opens": around.window.opens_at,
        "closes": around.window.closes_at,
    }
