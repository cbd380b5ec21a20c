"""What operators are told of the duties: who holds each, under which token, and why nobody does."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from eldercart.singleton.holder_preference import AFFINITY, Affinity
from eldercart.singleton.lease_directory import DutyEntry
from eldercart.singleton.maintenance_window import Window
from eldercart.units import NodeId, WallTime
from eldercart.wire.named_leases import DutyName, Intent

WINDOWED = (DutyName.CLEANUP, DutyName.CATALOG)  # duties that wait for a maintenance window
MAX_MISSING = 8  # nodes that are named


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What the answering node knows beside the stored keys."""

    wall: WallTime
    on: frozenset[DutyName]  # the duties that this node takes part in
    missing: Mapping[DutyName, list[NodeId]]  # nodes that do not take part, or are not known to
    leader: NodeId | None
    window: Window | None  # the one that is open or comes next
    has_calendar: bool


def why_unheld(duty: DutyName, entry: DutyEntry, around: Surroundings) -> str | None:
    """Why nobody holds the duty; None: somebody does."""
    if entry.held:
        return None
    missing = around.missing.get(duty, [])
    if entry.pause is not None and entry.paused:
        return "paused: " + (entry.pause.reason or "no reason given")
    if entry.paused:
        return "paused"
    if duty not in around.on:
        return "this node does not take part in it; the leader does it without a token"
    if missing:
        names = " ".join(missing[:MAX_MISSING])
        return f"not every node takes part in it ({names}); the leader does it without a token"
    if entry.hand_over is not None:
        return f"being handed over to {entry.hand_over.to}"
    if AFFINITY[duty] is Affinity.LEADER and around.leader is None:
        return "no leader is known"
    return "its next holder has not taken it yet"


def duty_report(
    duty: DutyName, entry: DutyEntry, intents: list[Intent] | None, around: Surroundings
) -> dict[str, Any]:
    """All that is told of one duty; `intents` None: they could not be read."""
    report: dict[str, Any] = {"duty": duty.value, "affinity": AFFINITY[duty].value}
    if entry.holder is not None:
        report |= {
            "holder": entry.holder.node,
            "token": entry.token,
            "since": round(entry.holder.since, 1),
            "held_s": _age(around.wall, entry.holder.since),
        }
    elif entry.held:
        report |= {"holder": "unreadable", "token": entry.token}
    else:
        report |= {"holder": None, "why": why_unheld(duty, entry, around)}
    if entry.pause is not None:
        report["paused"] = {"since": round(entry.pause.at, 1), "reason": entry.pause.reason}
    if entry.hand_over is not None:
        report["hand_over"] = {"to": entry.hand_over.to, "since": round(entry.hand_over.at, 1)}
    if intents is not None:
        oldest = min((intent.at for intent in intents), default=None)
        report["intents"] = len(intents)
        report["oldest_s"] = None if oldest is None else _age(around.wall, oldest)
    if duty in WINDOWED:
        report["window"] = _window(around)
    return report


def _age(now: WallTime, at: WallTime) -> float:
    """Never negative: the clocks of two nodes differ."""
    return round(max(0.0, now - at), 1)


def _window(around: Surroundings) -> dict[str, Any] | None:
    if not around.has_calendar:
        return None
    if around.window is None:
        return {"open": False, "opens": None, "closes": None}
    return {
        "open": around.window.opens <= around.wall,
        "opens": around.window.opens,
        "closes": around.window.closes,
    }
