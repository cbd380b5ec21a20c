"""The messages exchanged with the cloud, which provides the machines."""

from dataclasses import dataclass
from typing import Any, NamedTuple

import orjson

from eldercart.units import MachineId
from eldercart.wire.checks import (
    MalformedMessageError,
    load_unbounded_object,
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
# States of a listed machine.
STARTING, RUNNING, FAILED = "starting", "running", "failed"


@dataclass(frozen=True, slots=True)
class MachineType:
    """A machine type that the cloud offers; prices are per hour."""

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
    """A machine in the cloud's list of machines."""

    id: MachineId
    address: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float


def parse_catalog(obj: dict[str, Any]) -> dict[str, MachineType]:
    """Return the machine types by name, from the cloud's catalogue or the stored one."""
    types = {}
    for item in require_objects(obj, "breeds"):
        machine_type = MachineType(
            name=require_text(item, "sku"),
            cpus=require_number(item, "cpus"),
            gpus=optional_number(item, "accelerators", 0.0),
            memory_gb=require_number(item, "memGb"),
            cache_gb=optional_number(item, "localGb", 0.0),
            fetch_gb_per_s=optional_number(item, "pullGbPerS", 1.0),
            price=require_number(item, "rate"),
            spot_price=optional_number(item, "lowPrice", 0.0),
            boot_s=optional_number(item, "readyS", 60.0),
            zones=require_texts(item, "yards"),
        )
        types[machine_type.name] = machine_type
    if not types:
        raise MalformedMessageError("breeds: empty, expected at least one machine type")
    return types


def catalog_record(types: dict[str, MachineType], max_bytes: int | None = None) -> dict[str, Any]:
    """Return the catalogue as the state service stores it.

    If the catalogue would exceed `max_bytes`, the fields that only a leader uses are left out.
    Every reader uses defaults for them, and a leader soon reads them from the cloud itself. The
    fields that submissions are checked against are always included.
    """
    type_objects = [_machine_type_object(machine_type) for machine_type in types.values()]
    if max_bytes is not None and len(orjson.dumps({"breeds": type_objects})) > max_bytes:
        for type_object in type_objects:
            for field in _LEADER_ONLY_FIELDS:
                del type_object[field]
            if not type_object["accelerators"]:
                del type_object["accelerators"]
    return {"breeds": type_objects}


_LEADER_ONLY_FIELDS = ("localGb", "pullGbPerS", "readyS")


def _machine_type_object(machine_type: MachineType) -> dict[str, Any]:
    return {
        "sku": machine_type.name,
        "cpus": machine_type.cpus,
        "accelerators": machine_type.gpus,
        "memGb": machine_type.memory_gb,
        "localGb": machine_type.cache_gb,
        "pullGbPerS": machine_type.fetch_gb_per_s,
        "rate": machine_type.price,
        "lowPrice": machine_type.spot_price,
        "readyS": machine_type.boot_s,
        "yards": list(machine_type.zones),
    }


def create_machines_body(
    request_name: str, machine_type: str, zone: str, spot: bool, count: int
) -> bytes:
    """Return the body of a request to create machines.

    `request_name` makes the request idempotent: a repetition under the same name creates no more
    machines.
    """
    return orjson.dumps(
        {
            "hire": request_name,
            "breed": machine_type,
            "yard": zone,
            "loaners": spot,
            "number": count,
        }
    )


def parse_created_machines(body: bytes) -> list[MachineId]:
    """Parse the ids of the created machines."""
    return [MachineId(name) for name in require_texts(load_unbounded_object(body), "wagons")]


def delete_machines_body(machines: list[MachineId]) -> bytes:
    """Return the body of a request to delete machines."""
    return orjson.dumps({"wagons": machines})


def machines_path(after: str | None) -> str:
    """Return the path of the page that follows the machine `after`; None: of the first page."""
    return f"/machines?most={LIST_PAGE_MACHINES}" + (f"&from={after}" if after else "")


class MachinePage(NamedTuple):
    """One page of the cloud's list of machines."""

    machines: list[ListedMachine]
    has_more: bool  # whether another page follows


def parse_machine_page(body: bytes) -> MachinePage:
    """Parse a page of the machine list."""
    obj = load_unbounded_object(body)
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
