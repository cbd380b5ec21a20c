"""The cloud's interface."""

from dataclasses import dataclass
from typing import Any, NamedTuple

import orjson

from eldercart.units import MachineId
from eldercart.wire.checks import (
    MalformedMessage,
    load_response,
    optional_number,
    require_boolean,
    require_number,
    require_objects,
    require_text,
    require_texts,
)

MAX_CREATED_MACHINES = 50
MAX_DELETED_MACHINES = 100
LIST_PAGE_MACHINES = 500
STARTING, RUNNING, FAILED = "starting", "running", "failed"


@dataclass(frozen=True, slots=True)
class MachineType:
    """A type of machine as the cloud offers it: prices an hour, sizes in GB, times in seconds."""

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float
    boot_s: float
    zones: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ListedMachine:
    """A machine as the cloud lists it."""

    id: MachineId
    address: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float


def parse_catalog(obj: dict[str, Any]) -> dict[str, MachineType]:
    """The machine types by name, of the cloud's catalogue or of the stored one."""
    types = {}
    for item in require_objects(obj, "breeds"):
        kind = MachineType(
            name=require_text(item, "sku"),
            cpus=require_number(item, "cpus"),
            gpus=optional_number(item, "accelerators", 0.0),
            memory_gb=require_number(item, "memGb"),
            cache_gb=optional_number(item, "localGb", 0.0),
            fetch_gb_per_s=require_number(item, "pullGbPerS")
            if item.get("pullGbPerS") is not None
            else 1.0,
            price=require_number(item, "rate"),
            spot_price=optional_number(item, "lowPrice", 0.0),
            boot_s=optional_number(item, "readyS", 60.0),
            zones=require_texts(item, "yards"),
        )
        types[kind.name] = kind
    if not types:
        raise MalformedMessage("breeds")
    return types


def catalog_record(types: dict[str, MachineType], most_bytes: int | None = None) -> dict[str, Any]:
    """What the state service keeps of the catalogue. If that were larger than `most_bytes`, it is
    without the fields that only a leader uses, who soon has them from the cloud itself: every
    reader takes defaults for them, and what a submission is judged by stays."""
    breeds = [_machine_type_object(t) for t in types.values()]
    if most_bytes is not None and len(orjson.dumps({"breeds": breeds})) > most_bytes:
        for breed in breeds:
            for field in _LEADER_ONLY_FIELDS:
                del breed[field]
            if not breed["accelerators"]:
                del breed["accelerators"]
    return {"breeds": breeds}


_LEADER_ONLY_FIELDS = ("localGb", "pullGbPerS", "readyS")


def _machine_type_object(t: MachineType) -> dict[str, Any]:
    return {
        "sku": t.name,
        "cpus": t.cpus,
        "accelerators": t.gpus,
        "memGb": t.memory_gb,
        "localGb": t.cache_gb,
        "pullGbPerS": t.fetch_gb_per_s,
        "rate": t.price,
        "lowPrice": t.spot_price,
        "readyS": t.boot_s,
        "yards": list(t.zones),
    }


def create_machines_body(request: str, type_: str, zone: str, spot: bool, number: int) -> bytes:
    """Asks for machines. `request` names the rental: repeated under it, the call rents no more."""
    body = {"hire": request, "breed": type_, "yard": zone, "loaners": spot, "number": number}
    return orjson.dumps(body)


def parse_created_machines(body: bytes) -> list[MachineId]:
    """The machines of a rental."""
    return [MachineId(m) for m in require_texts(load_response(body), "wagons")]


def delete_machines_body(machines: list[MachineId]) -> bytes:
    """Asks for the deletion of machines."""
    return orjson.dumps({"wagons": machines})


def machines_path(after: str | None) -> str:
    """One page of the list of machines, after that one or from the beginning."""
    return f"/machines?most={LIST_PAGE_MACHINES}" + (f"&from={after}" if after else "")


class MachinePage(NamedTuple):
    """One page of the cloud's list."""

    machines: list[ListedMachine]
    has_more: bool  # whether another page follows


def parse_machine_page(body: bytes) -> MachinePage:
    """One page of the list of machines."""
    obj = load_response(body)
    machines = []
    for item in require_objects(obj, "wagons"):
        machines.append(
            ListedMachine(
                id=MachineId(require_text(item, "nameId")),
                address=item["address"] if isinstance(item.get("address"), str) else "",
                type=require_text(item, "breed"),
                zone=require_text(item, "yard"),
                spot=require_boolean(item, "loaners"),
                state=require_text(item, "standing"),
                age_s=require_number(item, "ageS"),
            )
        )
    return MachinePage(machines, obj.get("more") is True)
