"""What users send and get."""

import re
from dataclasses import dataclass
from typing import Any

import orjson

from eldercart.units import JobId
from eldercart.wire.checks import Malformed, amount, count, flag, text, texts

MAX_TASKS = 100_000
MAX_PARTS = 100_000  # of a list of dependencies; a submission's 64 KiB fill far fewer
MAX_TOLD = 20  # jobs that an answer names as not done yet
SHAPES = ("sweep",)
PRIORITIES = {"prod": 3, "urgent": 2, "standard": 1, "idle": 0}
JOB_ID = re.compile(r"wk-[A-Za-z0-9_.:-]{1,80}\Z")

PENDING, RUNNING, DONE, CANCELLED = "pending", "running", "done", "aborted"


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as its user submitted it."""

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
    dependencies: tuple[JobId, ...] = ()  # jobs that must be done before a task of it starts


@dataclass(frozen=True, slots=True)
class ListReference:
    """Where the dependencies are that are too many for their job's record."""

    nonce: str  # of the one acceptance that wrote them
    parts: int


def valid_job_id(value: str) -> bool:
    """Whether a text has the form of a job's id."""
    return JOB_ID.match(value) is not None


def job_id_of(obj: dict[str, Any]) -> JobId:
    """The id in a submission of which nothing else need be right."""
    value = obj.get("nameId")
    if not isinstance(value, str) or not valid_job_id(value):
        raise Malformed("nameId")
    return JobId(value)


def _dependencies_of(obj: dict[str, Any]) -> tuple[JobId, ...]:
    """Each once, in the order in which they are named."""
    value = obj.get("awaits")
    if value is None:
        return ()
    if not isinstance(value, list) or not _job_ids(value):
        raise Malformed("awaits")
    return tuple(dict.fromkeys(JobId(job) for job in value))


def _job_ids(value: list[Any]) -> bool:
    return all(isinstance(job, str) and valid_job_id(job) for job in value)


def _priority_of(obj: dict[str, Any]) -> int:
    urgency = obj.get("urgency")
    if not isinstance(urgency, str) or urgency not in PRIORITIES:
        raise Malformed("urgency")
    return PRIORITIES[urgency]


def parse_submission(obj: dict[str, Any]) -> JobSpec:
    """Checks every field; the first bad one is named. Unknown fields are skipped."""
    job = job_id_of(obj)
    if obj.get("shape") not in SHAPES:
        raise Malformed("shape")
    cpus = amount(obj, "cpus")
    gpus = amount(obj, "accelerators")
    if cpus <= 0 and gpus <= 0:
        raise Malformed("cpus")
    return JobSpec(
        id=job,
        klass=text(obj, "lot"),
        team=text(obj, "crew"),
        priority=_priority_of(obj),
        tasks=count(obj, "parcels", 1, MAX_TASKS),
        cpus=cpus,
        gpus=gpus,
        memory_gb=amount(obj, "memGb"),
        image=text(obj, "kit"),
        image_gb=amount(obj, "imageGb"),
        types=None if obj.get("breeds") is None else texts(obj, "breeds"),
        zone=None if obj.get("yard") is None else text(obj, "yard"),
        together=flag(obj, "together"),
        spread=flag(obj, "spread"),
        spot=flag(obj, "loaners"),
        estimate_s=amount(obj, "haulS"),
        checkpoint_s=amount(obj, "waypointS"),
        save_s=amount(obj, "stowS"),
        deadline_s=None if obj.get("dueS") is None else amount(obj, "dueS"),
        dependencies=_dependencies_of(obj),
    )


_STORED = (
    "klass",
    "team",
    "priority",
    "tasks",
    "cpus",
    "gpus",
    "memory_gb",
    "image",
    "image_gb",
    "types",
    "zone",
    "together",
    "spread",
    "spot",
    "estimate_s",
    "checkpoint_s",
    "save_s",
    "deadline_s",
)


def spec_to_record(spec: JobSpec, elsewhere: ListReference | None = None) -> list[Any]:
    """A job without dependencies is written as ever: the version before this field reads it.

    With them, one more element follows: their list, or where it is. That version calls such a
    record unreadable: it knows the job, calls it pending and starts nothing of it, which is what
    it should do, since it could not tell when the job may start.
    """
    record = [getattr(spec, field) for field in _STORED]
    if elsewhere is not None:
        record.append({"set": elsewhere.nonce, "parts": elsewhere.parts})
    elif spec.dependencies:
        record.append(list(spec.dependencies))
    return record


def reference_in(record: Any) -> ListReference | None:
    """Where the dependencies must be read before the record can be; None: they are in it."""
    if not isinstance(record, list) or len(record) != len(_STORED) + 1:
        return None
    last = record[-1]
    if not isinstance(last, dict):
        return None
    nonce = text(last, "set")
    if "/" in nonce:
        raise Malformed("set")
    return ListReference(nonce, count(last, "parts", 1, MAX_PARTS))


def with_dependencies(record: list[Any], dependencies: tuple[JobId, ...]) -> list[Any]:
    """The record as if its list had been in it."""
    return [*record[: len(_STORED)], list(dependencies)]


def dependencies_from_record(record: Any) -> tuple[JobId, ...]:
    """Malformed if they are elsewhere: a list that was not read is never taken for none."""
    if not isinstance(record, list) or not len(_STORED) <= len(record) <= len(_STORED) + 1:
        raise Malformed("job record")
    if len(record) == len(_STORED):
        return ()
    last = record[-1]
    if not isinstance(last, list) or not last or not _job_ids(last):
        raise Malformed("dependencies")
    return tuple(JobId(job) for job in last)


def spec_from_record(job: JobId, record: Any) -> JobSpec:
    """The job of a stored record that holds its whole list of dependencies."""
    dependencies = dependencies_from_record(record)
    values = dict(zip(_STORED, record[: len(_STORED)], strict=True))
    if values["types"] is not None:
        values["types"] = tuple(values["types"])
    return JobSpec(id=job, **values, dependencies=dependencies)


def state_body(
    job: JobId,
    state: str,
    done: int | None = None,
    running: int | None = None,
    waiting: tuple[str, ...] = (),
) -> bytes:
    """A job's state. `waiting`: some of the jobs that it awaits and that are not done."""
    body: dict[str, Any] = {"nameId": job, "standing": state}
    if done is not None:
        body["done"] = done
        body["running"] = running or 0
    if waiting:
        body["awaits"] = waiting[:MAX_TOLD]
    return orjson.dumps(body)


def error_body(message: str) -> bytes:
    """What a refusal says, in words for its user."""
    return orjson.dumps({"error": message})
