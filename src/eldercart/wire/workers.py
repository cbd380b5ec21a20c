"""The messages between controller nodes and workers: heartbeats and commands."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

import orjson

from eldercart.units import (
    AgentEpoch,
    Attempt,
    FencingToken,
    HeartbeatSequence,
    MachineId,
    NodeId,
    TaskKey,
)
from eldercart.wire.checks import (
    INTEGER_LIMIT,
    MalformedMessageError,
    require_boolean,
    require_integer,
    require_number,
    require_text,
)


class TaskState(StrEnum):
    """The states of a task that a worker reports.

    A heartbeat may hold others, which are kept as they are.
    """

    FETCHING = "pulling"
    RUNNING = "running"
    SAVING = "saving"
    EXITED = "ended"


class ExitCause(StrEnum):
    """Why a task has exited, or was not started."""

    DONE = "done"
    KILLED = "stopped"
    ERROR = "error"
    NO_CAPACITY = "full"
    BUSY = "busy"
    UNKNOWN_TASK = "no_such"


_EXITED = TaskState.EXITED  # avoids an attribute lookup for each task


class TaskStatus(NamedTuple):
    """One task in a worker's heartbeat."""

    key: TaskKey
    attempt: Attempt
    state: str  # one of `TaskState`, or a state unknown to this version
    exit_cause: str | None  # one of `ExitCause`, or an unknown cause; None: it has none


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A worker's periodic report about its machine and all tasks on it."""

    machine: MachineId
    address: str
    type: str
    zone: str
    spot: bool
    sequence: HeartbeatSequence
    token: FencingToken  # the highest the worker has seen
    # Time until the cloud takes the machine back; None: the cloud has not announced it.
    preemption_notice_s: float | None
    tasks: tuple[TaskStatus, ...]


@dataclass(frozen=True, slots=True)
class Launch:
    """Command to start a task."""

    key: TaskKey
    attempt: Attempt


@dataclass(frozen=True, slots=True)
class Kill:
    """Command to stop a task, which has `grace_s` seconds to save its work."""

    key: TaskKey
    attempt: Attempt
    grace_s: float


@dataclass(frozen=True, slots=True)
class Clear:
    """Command to drop an exited task from the worker's list of tasks."""

    key: TaskKey
    attempt: Attempt


Command = Launch | Kill | Clear


class HeartbeatHeader(NamedTuple):
    """The fields of a heartbeat that a relay needs to answer or forward it."""

    machine: MachineId
    sequence: HeartbeatSequence
    token: FencingToken  # the highest the worker has seen
    has_preemption_notice: bool  # whether the cloud has announced that it takes the machine back
    tasks: Any  # the list as received; it is only compared


def parse_heartbeat_header(obj: dict[str, Any]) -> HeartbeatHeader:
    """Parse the header of a heartbeat; its tasks are not validated.

    This is called for each heartbeat, hundreds of times a second.
    """
    return HeartbeatHeader(
        MachineId(require_text(obj, "wagon")),
        HeartbeatSequence(AgentEpoch(require_integer(obj, "stint")), require_integer(obj, "tally")),
        FencingToken(require_integer(obj, "whip")),
        obj.get("recallS") is not None,
        obj.get("parcels"),
    )


def parse_heartbeat(obj: dict[str, Any]) -> Heartbeat:
    """Parse a whole heartbeat.

    This is called hundreds of times a second, so the tasks are validated inline.
    """
    tasks: list[TaskStatus] = []
    task_objects = obj.get("parcels")
    if task_objects is not None and not isinstance(task_objects, list):
        raise MalformedMessageError("parcels")
    for item in task_objects or ():
        if not isinstance(item, dict):
            raise MalformedMessageError("parcels")
        key, attempt, state = item.get("parcel"), item.get("try"), item.get("standing")
        if not isinstance(key, str) or not key:
            raise MalformedMessageError("parcel")
        if type(attempt) is not int or not 0 <= attempt < INTEGER_LIMIT:
            raise MalformedMessageError("try")
        if not isinstance(state, str):
            raise MalformedMessageError("standing")
        cause = item.get("cause") if state == _EXITED else None
        tasks.append(
            TaskStatus(
                TaskKey(key), Attempt(attempt), state, cause if isinstance(cause, str) else None
            )
        )
    return Heartbeat(
        machine=MachineId(require_text(obj, "wagon")),
        address=require_text(obj, "address"),
        type=require_text(obj, "breed"),
        zone=require_text(obj, "yard"),
        spot=require_boolean(obj, "loaners"),
        sequence=HeartbeatSequence(
            AgentEpoch(require_integer(obj, "stint")), require_integer(obj, "tally")
        ),
        token=FencingToken(require_integer(obj, "whip")),
        preemption_notice_s=None if obj.get("recallS") is None else require_number(obj, "recallS"),
        tasks=tuple(tasks),
    )


def command_object(command: Command) -> dict[str, Any]:
    """Return the JSON object of a command."""
    match command:
        case Launch(key, attempt):
            return {"call": "launch", "parcel": key, "try": attempt}
        case Kill(key, attempt, grace_s):
            return {"call": "kill", "parcel": key, "try": attempt, "slackS": grace_s}
        case Clear(key, attempt):
            return {"call": "clear", "parcel": key, "try": attempt}


# A line of a response is limited to 64 KiB; a command takes less than 100 bytes.
MAX_COMMANDS = 500


def command_objects(commands: list[Command]) -> list[dict[str, Any]]:
    """Return the JSON objects of the first commands, as many as fit into one response."""
    return [command_object(command) for command in commands[:MAX_COMMANDS]]


def heartbeat_response_body(token: FencingToken, commands: list[dict[str, Any]]) -> bytes:
    """Return the response to a heartbeat, with the result of `command_objects` as `commands`."""
    return orjson.dumps({"whip": token, "calls": commands})


def commands_response_body(token: FencingToken, commands: list[Command]) -> bytes:
    """Return the response to a heartbeat with these commands."""
    return heartbeat_response_body(token, command_objects(commands))


def direct_commands_body(
    token: FencingToken, agent_epoch: AgentEpoch, commands: Iterable[Command]
) -> bytes:
    """Return the body of a request that sends commands directly to a worker."""
    calls = [command_object(command) for command in commands]
    return orjson.dumps({"whip": token, "stint": agent_epoch, "calls": calls})


def redirect_body(target: NodeId | None) -> bytes:
    """Return the body that redirects a worker to the target; None: no target is named."""
    return orjson.dumps({"droverBoss": target} if target else {})
