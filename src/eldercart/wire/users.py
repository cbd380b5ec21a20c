"""The messages of users, and the stored form of the jobs that they submit.

This module maps the field names of submissions, and the order of the values in a job's stored
record, to the attributes of `JobSpec`. It also encodes the responses.
"""

import re
from dataclasses import dataclass
from typing import Any

import orjson

from eldercart.units import JobId
from eldercart.wire.checks import (
    MalformedMessageError,
    require_boolean,
    require_integer,
    require_number,
    require_text,
    require_texts,
)

MAX_TASKS = 100_000
MAX_LIST_PARTS = 100_000  # parts of a dependency list; a submission of 64 KiB needs far fewer
MAX_LISTED_DEPENDENCIES = 20  # unmet dependencies that a response lists
SHAPES = ("sweep",)
PRIORITIES = {"prod": 3, "urgent": 2, "standard": 1, "idle": 0}
JOB_ID_PATTERN = re.compile(r"wk-[A-Za-z0-9_.:-]{1,80}\Z")

# States of jobs.
PENDING, RUNNING, DONE, CANCELLED = "pending", "running", "done", "aborted"


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as submitted by its user: an array of equal tasks. Resources are those of one task."""

    id: JobId
    job_class: str
    team: str
    priority: int  # higher is more urgent
    task_count: int
    cpus: float
    gpus: float
    memory_gb: float
    image: str
    image_gb: float
    machine_types: tuple[str, ...] | None  # None: any
    zone: str | None  # None: any
    single_zone: bool  # all tasks must be in the same zone
    spread: bool  # at most half of the tasks, rounded up, may be in one zone
    allows_spot: bool
    estimated_run_time_s: float  # for one task, excluding the fetch of its image
    checkpoint_interval_s: float  # progress between two checkpoints; 0: the tasks save none
    checkpoint_save_s: float  # time that a task needs to save when it is stopped
    deadline_s: float | None  # time after the submission; None: no deadline
    dependencies: tuple[JobId, ...] = ()  # jobs that must be done before this one starts


@dataclass(frozen=True, slots=True)
class DependencyListReference:
    """Reference to a stored dependency list that is too long for its job's record."""

    nonce: str  # unique to the submission that wrote the list
    part_count: int  # values over which the list is split


def is_valid_job_id(value: str) -> bool:
    """Return whether a string has the format of a job id."""
    return JOB_ID_PATTERN.match(value) is not None


def parse_job_id(message: dict[str, Any]) -> JobId:
    """Return the job id of a submission. Its other fields are not checked."""
    value = message.get("nameId")
    if not isinstance(value, str) or not is_valid_job_id(value):
        raise MalformedMessageError("nameId")
    return JobId(value)


def _parse_dependencies(message: dict[str, Any]) -> tuple[JobId, ...]:
    """Return the dependencies of a submission without duplicates, in the order given."""
    value = message.get("awaits")
    if value is None:
        return ()
    if not isinstance(value, list) or not _are_job_ids(value):
        raise MalformedMessageError("awaits")
    return tuple(dict.fromkeys(JobId(job) for job in value))


def _are_job_ids(values: list[Any]) -> bool:
    return all(isinstance(job, str) and is_valid_job_id(job) for job in values)


def _parse_priority(message: dict[str, Any]) -> int:
    urgency = message.get("urgency")
    if not isinstance(urgency, str) or urgency not in PRIORITIES:
        raise MalformedMessageError("urgency")
    return PRIORITIES[urgency]


def parse_submission(message: dict[str, Any]) -> JobSpec:
    """Return the job that a submission describes; unknown fields are ignored.

    Raises `MalformedMessageError` with the name of the first malformed field.
    """
    job = parse_job_id(message)
    if message.get("shape") not in SHAPES:
        raise MalformedMessageError("shape")
    cpus = require_number(message, "cpus")
    gpus = require_number(message, "accelerators")
    if cpus <= 0 and gpus <= 0:
        raise MalformedMessageError("cpus")
    return JobSpec(
        id=job,
        job_class=require_text(message, "lot"),
        team=require_text(message, "crew"),
        priority=_parse_priority(message),
        task_count=require_integer(message, "parcels", 1, MAX_TASKS),
        cpus=cpus,
        gpus=gpus,
        memory_gb=require_number(message, "memGb"),
        image=require_text(message, "kit"),
        image_gb=require_number(message, "imageGb"),
        machine_types=None if message.get("breeds") is None else require_texts(message, "breeds"),
        zone=None if message.get("yard") is None else require_text(message, "yard"),
        single_zone=require_boolean(message, "together"),
        spread=require_boolean(message, "spread"),
        allows_spot=require_boolean(message, "loaners"),
        estimated_run_time_s=require_number(message, "haulS"),
        checkpoint_interval_s=require_number(message, "waypointS"),
        checkpoint_save_s=require_number(message, "stowS"),
        deadline_s=None if message.get("dueS") is None else require_number(message, "dueS"),
        dependencies=_parse_dependencies(message),
    )


# Attributes of `JobSpec` in the order of a stored record. The record holds values without names, so
# the order must not change.
_STORED_FIELDS = (
    "job_class",
    "team",
    "priority",
    "task_count",
    "cpus",
    "gpus",
    "memory_gb",
    "image",
    "image_gb",
    "machine_types",
    "zone",
    "single_zone",
    "spread",
    "allows_spot",
    "estimated_run_time_s",
    "checkpoint_interval_s",
    "checkpoint_save_s",
    "deadline_s",
)


def spec_to_record(
    spec: JobSpec, list_reference: DependencyListReference | None = None
) -> list[Any]:
    """Return the stored form of a job.

    A job without dependencies is stored in the format that was used before dependencies were
    supported, so the earlier version can read it. For other jobs the record has one more element:
    the list of dependencies, or the reference to it. The earlier version can't decode such a
    record: it reports the job as pending and starts none of its tasks. That is intended, since it
    can't determine when they may start.
    """
    record = [getattr(spec, field) for field in _STORED_FIELDS]
    if list_reference is not None:
        record.append({"set": list_reference.nonce, "parts": list_reference.part_count})
    elif spec.dependencies:
        record.append(list(spec.dependencies))
    return record


def parse_list_reference(record: Any) -> DependencyListReference | None:
    """Return a record's reference to its dependency list; None if it has no such reference."""
    if not isinstance(record, list) or len(record) != len(_STORED_FIELDS) + 1:
        return None
    last = record[-1]
    if not isinstance(last, dict):
        return None
    nonce = require_text(last, "set")
    if "/" in nonce:
        raise MalformedMessageError("set")
    return DependencyListReference(nonce, require_integer(last, "parts", 1, MAX_LIST_PARTS))


def record_with_dependencies(record: list[Any], dependencies: tuple[JobId, ...]) -> list[Any]:
    """Return a record with these dependencies in place of the reference to their list."""
    return [*record[: len(_STORED_FIELDS)], list(dependencies)]


def dependencies_from_record(record: Any) -> tuple[JobId, ...]:
    """Return the dependencies in a record.

    Raises `MalformedMessageError` if the record holds a reference instead, so that a list that was
    not read is never mistaken for an empty one.
    """
    field_count = len(_STORED_FIELDS)
    if not isinstance(record, list) or not field_count <= len(record) <= field_count + 1:
        raise MalformedMessageError("job record")
    if len(record) == field_count:
        return ()
    last = record[-1]
    if not isinstance(last, list) or not last or not _are_job_ids(last):
        raise MalformedMessageError("dependencies")
    return tuple(JobId(job) for job in last)


def spec_from_record(job: JobId, record: Any) -> JobSpec:
    """Return the job of a stored record, which must hold its dependencies itself."""
    dependencies = dependencies_from_record(record)
    values = dict(zip(_STORED_FIELDS, record[: len(_STORED_FIELDS)], strict=True))
    if values["machine_types"] is not None:
        values["machine_types"] = tuple(values["machine_types"])
    return JobSpec(id=job, **values, dependencies=dependencies)


def job_state_body(
    job: JobId,
    state: str,
    done_count: int | None = None,
    running_count: int | None = None,
    unmet_dependencies: tuple[str, ...] = (),
) -> bytes:
    """Return the body of a response with a job's state.

    The counts are numbers of tasks. It lists at most `MAX_LISTED_DEPENDENCIES` unmet dependencies.
    """
    body: dict[str, Any] = {"nameId": job, "standing": state}
    if done_count is not None:
        body["done"] = done_count
        body["running"] = running_count or 0
    if unmet_dependencies:
        body["awaits"] = unmet_dependencies[:MAX_LISTED_DEPENDENCIES]
    return orjson.dumps(body)


def error_body(message: str) -> bytes:
    """Return the body of a rejection, with a message for the user."""
    return orjson.dumps({"error": message})
