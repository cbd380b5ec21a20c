"""The settings file that the platform hands over. Unknown fields are ignored."""

import math
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from eldercart.units import NodeId


class InvalidSettings(Exception):
    """One clear line naming the field."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An address to listen at or to connect to."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Member:
    """Another controller node."""

    label: NodeId
    zone: str
    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class Team:
    """What a team is guaranteed, and its limits; 0 as a limit: none."""

    name: str
    cpus: float
    cpus_max: float
    gpus: float
    gpus_max: float


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """All that a node is told about itself, the other nodes and the region."""

    label: NodeId
    zone: str
    front: Endpoint
    mesh: Endpoint
    members: tuple[Member, ...]
    cloud: Endpoint
    state: Endpoint
    nodes: int
    teams: dict[str, Team]
    waits: dict[str, tuple[float, ...]]  # class -> the waits its users were promised, in seconds
    finishes: dict[str, tuple[float, ...]]  # class -> within what its jobs should be done
    deadlines: dict[str, tuple[float, ...]]  # class -> times its deadline by which they should
    report_s: float
    lease_s: float
    cancel_s: float
    state_rps: float
    state_write_rps: float
    state_rps_next: float  # after the fall that comes without notice; never above the present one
    state_write_rps_next: float
    value_bytes: int  # the smaller of present and next: what is written has to outlast the fall
    txn_ops: int
    cloud_rps: float
    list_lag_s: float
    core_share: float
    mem_mb: float
    sockets: int
    clock_off_s: float


class _Reader:
    """Fetches a field by its path, so that every complaint names it."""

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
                raise InvalidSettings(f"settings: {path}: missing")
        return value

    def text(self, path: str) -> str:
        value = self.get(path)
        if not isinstance(value, str) or not value:
            raise InvalidSettings(f"settings: {path}: must be a text")
        return value

    def number(self, path: str, least: float = 0.0) -> float:
        value = self.get(path)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise InvalidSettings(f"settings: {path}: must be a number")
        if not math.isfinite(value) or value < least:
            raise InvalidSettings(f"settings: {path}: must be at least {least:g}")
        return float(value)

    def optional_factor(self, path: str) -> float:
        """A factor that may be left out."""
        parent, _, name = path.rpartition(".")
        return self.number(path, 0.01) if self.get(parent).get(name) is not None else 1.0

    def current_and_next(self, name: str, least: float, next_least: float) -> tuple[float, float]:
        """A limit of the state service, and what it falls to: the same unless `next` says less."""
        now = self.number(f"settings.state.{name}", least)
        later = self.get("settings.state").get("next")
        if later is None:
            return now, now
        if not isinstance(later, dict):
            raise InvalidSettings("settings: settings.state.next: must be an object")
        if later.get(name) is None:
            return now, now
        return now, min(now, self.number(f"settings.state.next.{name}", next_least))

    def item_indexes(self, path: str) -> range:
        value = self.get(path)
        if not isinstance(value, list) or not all(isinstance(v, dict) for v in value):
            raise InvalidSettings(f"settings: {path}: must be a list of objects")
        return range(len(value))

    def endpoint(self, path: str) -> Endpoint:
        host, _, port = self.text(path).rpartition(":")
        if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port) < 65536:
            raise InvalidSettings(f"settings: {path}: must be host:port")
        return Endpoint(host, int(port))


def _teams(read: _Reader) -> dict[str, Team]:
    teams = {}
    for i in read.item_indexes("settings.teams"):
        at = f"settings.teams.{i}."
        team = Team(
            read.text(at + "name"),
            read.number(at + "cpus"),
            read.number(at + "cpus_max"),
            read.number(at + "gpus"),
            read.number(at + "gpus_max"),
        )
        teams[team.name] = team
    return teams


def _objectives(read: _Reader) -> dict[str, dict[str, tuple[float, ...]]]:
    """By kind and class, what users were promised; other kinds of objectives are skipped."""
    promised: dict[str, dict[str, tuple[float, ...]]] = {"wait": {}, "finished": {}, "deadline": {}}
    for i in read.item_indexes("settings.objectives"):
        at = f"settings.objectives.{i}."
        kind = read.text(at + "kind")
        of_kind = promised.get(kind)
        if of_kind is None:
            continue
        klass = read.text(at + "class")
        within = (
            read.optional_factor(at + "times")
            if kind == "deadline"
            else read.number(at + "within_s")
        )
        of_kind[klass] = tuple(sorted({*of_kind.get(klass, ()), within}))
    return promised


def _members(read: _Reader) -> tuple[Member, ...]:
    return tuple(
        Member(
            NodeId(read.text(f"members.{i}.label")),
            read.text(f"members.{i}.location"),
            read.endpoint(f"members.{i}.endpoint"),
        )
        for i in read.item_indexes("members")
    )


def parse_platform(root: Any) -> NodeSettings:
    """Checks the fields that the service uses; the first bad one is named."""
    if not isinstance(root, dict):
        raise InvalidSettings("settings: must be an object")
    read = _Reader(root)
    teams = _teams(read)
    promised = _objectives(read)
    rps, rps_next = read.current_and_next("rps", 1, 1)
    write_rps, write_rps_next = read.current_and_next("write_rps", 1, 1)
    _, value_kb = read.current_and_next("value_kb", 1, 0.5)
    _, txn_ops = read.current_and_next("txn_ops", 4, 2)  # an end takes two changes
    return NodeSettings(
        label=NodeId(read.text("label")),
        zone=read.text("location"),
        front=read.endpoint("front"),
        mesh=read.endpoint("mesh_addr"),
        members=_members(read),
        cloud=read.endpoint("endpoints.cloud"),
        state=read.endpoint("endpoints.state"),
        nodes=int(read.number("settings.count", 1)),
        teams=teams,
        waits=promised["wait"],
        finishes=promised["finished"],
        deadlines=promised["deadline"],
        report_s=read.number("settings.workers.report_s", 0.001),
        lease_s=read.number("settings.workers.lease_s", 0.001),
        cancel_s=read.number("settings.workers.cancel_s", 0.001),
        state_rps=rps,
        state_write_rps=write_rps,
        state_rps_next=rps_next,
        state_write_rps_next=write_rps_next,
        value_bytes=int(value_kb * 1024),
        txn_ops=int(txn_ops),
        cloud_rps=read.number("settings.cloud.rps", 0.01),
        list_lag_s=read.number("settings.cloud.list_lag_s"),
        core_share=read.number("settings.machine_limits.core_share"),
        mem_mb=read.number("settings.machine_limits.mem_mb"),
        sockets=int(read.number("settings.machine_limits.sockets", 32)),
        clock_off_s=read.number("settings.clock_off_ms") / 1000.0,
    )


def read_json(path: str, what: str) -> Any:
    """The content of a file; `what` begins the complaint about one that can't be read."""
    try:
        return orjson.loads(Path(path).read_bytes())
    except OSError as err:
        raise InvalidSettings(f"{what}: {path}: {err.strerror}") from None
    except orjson.JSONDecodeError as err:
        raise InvalidSettings(f"{what}: {path}: not JSON: {err}") from None


def load_platform(path: str) -> NodeSettings:
    """The settings in the file that the platform hands over."""
    return parse_platform(read_json(path, "settings"))
