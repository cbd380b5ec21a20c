"""What users send and get."""

import re
from dataclasses import dataclass
from typing import Any

import orjson

from eldercart.units import JobId
from eldercart.wire.checks import Malformed, amount, count, flag, text

MAX_TASKS = 100_000
SHAPES = ("sweep",)
PRIORITIES = {"prod": 3, "urgent": 2, "standard": 1, "idle": 0}
JOB_ID = re.compile(r"wk-[A-Za-z0-9_.:-]{1,80}\Z")

PENDING, RUNNING, DONE, CANCELLED = "pending", "running", "done", "aborted"


@dataclass(frozen=True, slots=True)
class JobSpec:
    id: JobId
    klass: str
    team: str
    priority: int
    tasks: int
    cpus: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    types: tuple[str, ...] | None
    zone: str | None
    together: bool
    spread: bool
    spot: bool
    estimate_s: float
    checkpoint_s: float
    save_s: float
    deadline_s: float | None


def valid_job_id(value: str) -> bool:
    return JOB_ID.match(value) is not None


def job_id_of(obj: dict[str, Any]) -> JobId:
    value = obj.get("nameId")
    if not isinstance(value, str) or not valid_job_id(value):
        raise Malformed("nameId")
    return JobId(value)


def parse_submission(obj: dict[str, Any]) -> JobSpec:
    """Checks every field; the first bad one is named. Unknown fields are skipped."""
    job = job_id_of(obj)
    if obj.get("shape") not in SHAPES:
        raise Malformed("shape")
    urgency = obj.get("urgency")
    if not isinstance(urgency, str) or urgency not in PRIORITIES:
        raise Malformed("urgency")
    types: tuple[str, ...] | None = None
    if obj.get("breeds") is not None:
        breeds = obj["breeds"]
        if not isinstance(breeds, list) or not all(isinstance(b, str) and b for b in breeds):
            raise Malformed("breeds")
        types = tuple(breeds)
    cpus = amount(obj, "cpus")
    gpus = amount(obj, "accelerators")
    if cpus <= 0 and gpus <= 0:
        raise Malformed("cpus")
    haul = amount(obj, "haulS")
    return JobSpec(
        id=job,
        klass=text(obj, "lot"),
        team=text(obj, "crew"),
        priority=PRIORITIES[urgency],
        tasks=count(obj, "parcels", 1, MAX_TASKS),
        cpus=cpus,
        gpus=gpus,
        memory_gb=amount(obj, "memGb"),
        image=text(obj, "kit"),
        image_gb=amount(obj, "imageGb"),
        types=types,
        zone=None if obj.get("yard") is None else text(obj, "yard"),
        together=flag(obj, "together"),
        spread=flag(obj, "spread"),
        spot=flag(obj, "loaners"),
        estimate_s=haul,
        checkpoint_s=amount(obj, "waypointS"),
        save_s=amount(obj, "stowS"),
        deadline_s=None if obj.get("dueS") is None else amount(obj, "dueS"),
    )


_STORED = (
    "klass", "team", "priority", "tasks", "cpus", "gpus", "memory_gb", "image", "image_gb",
    "types", "zone", "together", "spread", "spot", "estimate_s", "checkpoint_s", "save_s",
    "deadline_s",
)  # fmt: skip


def spec_to_record(spec: JobSpec) -> list[Any]:
    return [getattr(spec, field) for field in _STORED]


def spec_from_record(job: JobId, record: Any) -> JobSpec:
    if not isinstance(record, list) or len(record) != len(_STORED):
        raise Malformed("job record")
    values = dict(zip(_STORED, record, strict=True))
    if values["types"] is not None:
        values["types"] = tuple(values["types"])
    return JobSpec(id=job, **values)


def state_body(
    job: JobId, state: str, done: int | None = None, running: int | None = None
) -> bytes:
    body: dict[str, Any] = {"nameId": job, "standing": state}
    if done is not None:
        body["done"] = done
        body["running"] = running or 0
    return orjson.dumps(body)


def error_body(message: str) -> bytes:
    return orjson.dumps({"error": message})
