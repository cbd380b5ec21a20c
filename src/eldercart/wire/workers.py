"""What workers report and what they are told."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, NamedTuple

import orjson

from eldercart.units import Attempt, Epoch, MachineId, NodeId, ReportOrder, Session, TaskKey
from eldercart.wire.checks import MAX_COUNT, Malformed, amount, count, flag, text

FETCHING, TASK_RUNNING, SAVING, EXITED = "pulling", "running", "saving", "ended"
WHY_DONE, WHY_STOPPED, WHY_ERROR = "done", "stopped", "error"
WHY_NO_ROOM, WHY_BUSY, WHY_UNKNOWN = "full", "busy", "no_such"


class TaskReport(NamedTuple):
    key: TaskKey
    attempt: Attempt
    state: str
    why: str | None


@dataclass(frozen=True, slots=True)
class Report:
    machine: MachineId
    address: str
    type: str
    zone: str
    spot: bool
    order: ReportOrder
    epoch: Epoch  # the highest the worker has seen
    notice_s: float | None
    tasks: tuple[TaskReport, ...]


@dataclass(frozen=True, slots=True)
class Launch:
    key: TaskKey
    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Kill:
    key: TaskKey
    attempt: Attempt
    grace_s: float


@dataclass(frozen=True, slots=True)
class Clear:
    key: TaskKey
    attempt: Attempt


Command = Launch | Kill | Clear


class ReportHead(NamedTuple):
    """What a relay must know of a report to answer it or pass it on."""

    machine: MachineId
    order: ReportOrder
    epoch: Epoch  # the highest the worker has seen
    notice: bool  # whether the cloud has told that it takes the machine back
    tasks: Any  # the list as it came, only compared


def parse_head(obj: dict[str, Any]) -> ReportHead:
    """Called for each report; the tasks are not checked."""
    return ReportHead(
        MachineId(text(obj, "wagon")),
        ReportOrder(Session(count(obj, "stint")), count(obj, "tally")),
        Epoch(count(obj, "whip")),
        obj.get("recallS") is not None,
        obj.get("parcels"),
    )


def parse_report(obj: dict[str, Any]) -> Report:
    """Called hundreds of times a second, so the tasks are checked in place."""
    tasks: list[TaskReport] = []
    parcels = obj.get("parcels")
    if parcels is not None and not isinstance(parcels, list):
        raise Malformed("parcels")
    for item in parcels or ():
        if not isinstance(item, dict):
            raise Malformed("parcels")
        key, attempt, state = item.get("parcel"), item.get("try"), item.get("standing")
        if not isinstance(key, str) or not key:
            raise Malformed("parcel")
        if type(attempt) is not int or not 0 <= attempt < MAX_COUNT:
            raise Malformed("try")
        if not isinstance(state, str):
            raise Malformed("standing")
        why = item.get("cause") if state == EXITED else None
        tasks.append(
            TaskReport(TaskKey(key), Attempt(attempt), state, why if isinstance(why, str) else None)
        )
    return Report(
        machine=MachineId(text(obj, "wagon")),
        address=text(obj, "address"),
        type=text(obj, "breed"),
        zone=text(obj, "yard"),
        spot=flag(obj, "loaners"),
        order=ReportOrder(Session(count(obj, "stint")), count(obj, "tally")),
        epoch=Epoch(count(obj, "whip")),
        notice_s=None if obj.get("recallS") is None else amount(obj, "recallS"),
        tasks=tuple(tasks),
    )


def command_object(command: Command) -> dict[str, Any]:
    match command:
        case Launch(key, attempt):
            return {"call": "launch", "parcel": key, "try": attempt}
        case Kill(key, attempt, grace):
            return {"call": "kill", "parcel": key, "try": attempt, "slackS": grace}
        case Clear(key, attempt):
            return {"call": "clear", "parcel": key, "try": attempt}


# A line of a response holds at most 64 KiB; a command takes under 100 bytes.
MAX_COMMANDS = 500


def command_objects(commands: list[Command]) -> list[dict[str, Any]]:
    return [command_object(c) for c in commands[:MAX_COMMANDS]]


def calls_body(epoch: Epoch, calls: list[dict[str, Any]]) -> bytes:
    return orjson.dumps({"whip": epoch, "calls": calls})


def commands_body(epoch: Epoch, commands: list[Command]) -> bytes:
    return calls_body(epoch, command_objects(commands))


def order_body(epoch: Epoch, session: Session, commands: Iterable[Command]) -> bytes:
    """A direct command."""
    calls = [command_object(c) for c in commands]
    return orjson.dumps({"whip": epoch, "stint": session, "calls": calls})


def redirect_body(leader: NodeId | None) -> bytes:
    return orjson.dumps({"droverBoss": leader} if leader else {})
