"""Loads the settings file that the platform provides; unknown fields are ignored."""

import math
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

import orjson

from eldercart.units import NodeId


class InvalidSettingsError(Exception):
    """A setting is missing or invalid; the message is one line that names the field."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An address to listen on or to connect to."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Member:
    """Another controller node of this service."""

    label: NodeId
    zone: str
    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class Team:
    """The resources that a team is guaranteed, and its limits; a limit of 0 means unlimited."""

    name: str
    cpus: float
    cpus_max: float
    gpus: float
    gpus_max: float


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """The settings of a node: its own, those of the other nodes and those of the region."""

    label: NodeId
    zone: str
    http_endpoint: Endpoint  # users and workers connect to it
    peer_endpoint: Endpoint  # the other nodes connect to it
    members: tuple[Member, ...]
    cloud: Endpoint
    state: Endpoint
    node_count: int
    teams: dict[str, Team]
    # Service level objectives by job class: the seconds within which a job should start and finish.
    start_within_s: dict[str, tuple[float, ...]]
    finish_within_s: dict[str, tuple[float, ...]]
    # Multiples of a job's own deadline within which it should finish.
    deadline_factors: dict[str, tuple[float, ...]]
    report_s: float
    lease_s: float
    cancel_s: float
    state_rps: float  # requests per second
    state_write_rps: float  # operations in transactions per second
    # The rates after the state service reduces its limits, which it does without notice. They are
    # never above the current ones.
    state_rps_next: float
    state_write_rps_next: float
    # The lower of the current and the next limit, so that records that are written before the
    # reduction still fit after it.
    value_bytes: int
    txn_ops: int  # the lower of the current and the next limit
    cloud_rps: float  # requests per second
    list_lag_s: float
    core_share: float
    mem_mb: float
    sockets: int
    clock_off_s: float


class ChangingLimit(NamedTuple):
    """A limit of the state service that is reduced without notice while the node runs."""

    current: float
    next: float  # never above the current one


class _Reader:
    """Reads fields by their dotted paths, so that every InvalidSettingsError names the field."""

    def __init__(self, root: Any) -> None:
        self._root = root

    def get(self, path: str) -> Any:
        value = self._root
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            elif isinstance(value, dict) and part in value:
                value = value[part]
            else:
                raise InvalidSettingsError(f"settings: {path}: missing")
        return value

    def text(self, path: str) -> str:
        value = self.get(path)
        if not isinstance(value, str) or not value:
            raise InvalidSettingsError(f"settings: {path}: must be a text")
        return value

    def number(self, path: str, minimum: float = 0.0) -> float:
        value = self.get(path)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise InvalidSettingsError(f"settings: {path}: must be a number")
        if not math.isfinite(value) or value < minimum:
            raise InvalidSettingsError(f"settings: {path}: must be at least {minimum:g}")
        return float(value)

    def optional_factor(self, path: str) -> float:
        """Read an optional factor; the default is 1."""
        parent, _, name = path.rpartition(".")
        return self.number(path, 0.01) if self.get(parent).get(name) is not None else 1.0

    def current_and_next(self, name: str, minimum: float, next_minimum: float) -> ChangingLimit:
        """Read a limit of the state service and the reduced limit that `next` announces, if any.

        A next limit that is missing or higher counts as equal to the current one.
        """
        current = self.number(f"settings.state.{name}", minimum)
        next_limits = self.get("settings.state").get("next")
        if next_limits is None:
            return ChangingLimit(current, current)
        if not isinstance(next_limits, dict):
            raise InvalidSettingsError("settings: settings.state.next: must be an object")
        if next_limits.get(name) is None:
            return ChangingLimit(current, current)
        reduced = self.number(f"settings.state.next.{name}", next_minimum)
        return ChangingLimit(current, min(current, reduced))

    def item_indexes(self, path: str) -> range:
        value = self.get(path)
        if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
            raise InvalidSettingsError(f"settings: {path}: must be a list of objects")
        return range(len(value))

    def endpoint(self, path: str) -> Endpoint:
        host, _, port = self.text(path).rpartition(":")
        if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65536:
            raise InvalidSettingsError(f"settings: {path}: must be host:port")
        return Endpoint(host, int(port))


def _teams(reader: _Reader) -> dict[str, Team]:
    teams = {}
    for i in reader.item_indexes("settings.teams"):
        prefix = f"settings.teams.{i}."
        team = Team(
            reader.text(prefix + "name"),
            reader.number(prefix + "cpus"),
            reader.number(prefix + "cpus_max"),
            reader.number(prefix + "gpus"),
            reader.number(prefix + "gpus_max"),
        )
        teams[team.name] = team
    return teams


def _objectives(reader: _Reader) -> dict[str, dict[str, tuple[float, ...]]]:
    """Read the service level objectives by kind and class; unknown kinds are skipped."""
    objectives: dict[str, dict[str, tuple[float, ...]]] = {
        "wait": {},
        "finished": {},
        "deadline": {},
    }
    for i in reader.item_indexes("settings.objectives"):
        prefix = f"settings.objectives.{i}."
        kind = reader.text(prefix + "kind")
        objectives_by_class = objectives.get(kind)
        if objectives_by_class is None:
            continue
        job_class = reader.text(prefix + "class")
        objective = (
            reader.optional_factor(prefix + "times")
            if kind == "deadline"
            else reader.number(prefix + "within_s")
        )
        previous = objectives_by_class.get(job_class, ())
        objectives_by_class[job_class] = tuple(sorted({*previous, objective}))
    return objectives


def _members(reader: _Reader) -> tuple[Member, ...]:
    return tuple(
        Member(
            NodeId(reader.text(f"members.{i}.label")),
            reader.text(f"members.{i}.location"),
            reader.endpoint(f"members.{i}.endpoint"),
        )
        for i in reader.item_indexes("members")
    )


def parse_platform(root: Any) -> NodeSettings:
    """Check the fields that the service uses and return them.

    Raises InvalidSettingsError, which names the first invalid field.
    """
    if not isinstance(root, dict):
        raise InvalidSettingsError("settings: must be an object")
    reader = _Reader(root)
    teams = _teams(reader)
    objectives = _objectives(reader)
    rps, rps_next = reader.current_and_next("rps", 1, 1)
    write_rps, write_rps_next = reader.current_and_next("write_rps", 1, 1)
    value_kb = reader.current_and_next("value_kb", 1, 0.5).next
    # The end of a job takes two operations.
    txn_ops = reader.current_and_next("txn_ops", 4, 2).next
    return NodeSettings(
        label=NodeId(reader.text("label")),
        zone=reader.text("location"),
        http_endpoint=reader.endpoint("front"),
        peer_endpoint=reader.endpoint("mesh_addr"),
        members=_members(reader),
        cloud=reader.endpoint("endpoints.cloud"),
        state=reader.endpoint("endpoints.state"),
        node_count=int(reader.number("settings.count", 1)),
        teams=teams,
        start_within_s=objectives["wait"],
        finish_within_s=objectives["finished"],
        deadline_factors=objectives["deadline"],
        report_s=reader.number("settings.workers.report_s", 0.001),
        lease_s=reader.number("settings.workers.lease_s", 0.001),
        cancel_s=reader.number("settings.workers.cancel_s", 0.001),
        state_rps=rps,
        state_write_rps=write_rps,
        state_rps_next=rps_next,
        state_write_rps_next=write_rps_next,
        value_bytes=int(value_kb * 1024),
        txn_ops=int(txn_ops),
        cloud_rps=reader.number("settings.cloud.rps", 0.01),
        list_lag_s=reader.number("settings.cloud.list_lag_s"),
        core_share=reader.number("settings.machine_limits.core_share"),
        mem_mb=reader.number("settings.machine_limits.mem_mb"),
        sockets=int(reader.number("settings.machine_limits.sockets", 32)),
        clock_off_s=reader.number("settings.clock_off_ms") / 1000.0,
    )


def read_json(path: str, file_kind: str) -> Any:
    """Return the content of a JSON file.

    Raises InvalidSettingsError, whose message begins with `file_kind`, if the file cannot be read.
    """
    try:
        return orjson.loads(Path(path).read_bytes())
    except OSError as err:
        raise InvalidSettingsError(f"{file_kind}: {path}: {err.strerror}") from None
    except orjson.JSONDecodeError as err:
        raise InvalidSettingsError(f"{file_kind}: {path}: not JSON: {err}") from None


def load_platform(path: str) -> NodeSettings:
    """Load the settings from the file that the platform provides."""
    return parse_platform(read_json(path, "settings"))
