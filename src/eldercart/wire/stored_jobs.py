"""Codec of the stored records of jobs: submission, end, cleanup marker and dependency lists.

No other module uses the keys and the one-letter fields of these records. `wire.users` encodes and
decodes the submission inside a job's record.
"""

from collections.abc import Iterable
from dataclasses import replace
from typing import Any, NamedTuple

from eldercart.units import JobId
from eldercart.wire.checks import MalformedMessageError
from eldercart.wire.state import Item
from eldercart.wire.users import (
    CANCELLED,
    DONE,
    DependencyListReference,
    JobSpec,
    parse_list_reference,
    record_with_dependencies,
    spec_from_record,
    spec_to_record,
)

JOB_PREFIX, END_PREFIX, CLEANUP_PREFIX = "job/", "end/", "gone/"
DEPENDENCY_LIST_PREFIX = "needs/"  # dependency lists that are too long for their job's record

# Field of a resolved record, never of a stored one: the reference that was resolved.
_RESOLVED_LIST_FIELD = "l"
_VALUE_FILL_RATIO = 0.8  # used share of the value limit; how the store counts bytes is unknown
_INLINE_LIST_DIVISOR = 4  # a job record holds a dependency list of up to 1/4 of the value limit
_LIST_ENTRY_OVERHEAD_BYTES = 3  # two quotes and a comma for each job id
_LIST_OVERHEAD_BYTES = 2  # two brackets around the list


def job_id_of(item: Item) -> JobId:
    """Return the job whose record, end record or cleanup marker the item is."""
    return JobId(item.key.partition("/")[2])


class StoredJob(NamedTuple):
    """The decoded content of a job record."""

    spec: JobSpec
    tasks_per_chunk: int
    accepted_at: float  # time of day, in seconds


def encode_job_record(
    spec: JobSpec,
    tasks_per_chunk: int,
    accepted_at: float,
    dependency_list_reference: DependencyListReference | None = None,
) -> dict[str, Any]:
    """Return the stored record of a job accepted at the time of day `accepted_at`.

    With a reference, the record refers to the job's dependency list instead of holding it.
    """
    return {
        "s": spec_to_record(spec, dependency_list_reference),
        "n": tasks_per_chunk,
        "t": accepted_at,
    }


def decode_job_record(job_id: JobId, value: Any) -> StoredJob:
    """Return the decoded content of a job record.

    Raises `MalformedMessageError`, `KeyError`, `TypeError` or `ValueError` for a malformed record,
    and also for one that refers to a dependency list: call `resolve_dependency_list` first.
    """
    if not isinstance(value, dict):
        raise MalformedMessageError("job record")
    spec = spec_from_record(job_id, value.get("s"))
    return StoredJob(spec, int(value["n"]), float(value["t"]))


def encode_end_record(outcome: str, task_count: int) -> dict[str, Any]:
    """Return the record that makes the end of a job durable."""
    return {"e": outcome, "n": task_count}


def decode_end_record(value: Any) -> str:
    """Return the outcome that an end record or a cleanup marker holds."""
    cancelled = isinstance(value, dict) and value.get("e") == CANCELLED
    return CANCELLED if cancelled else DONE


def encode_cleanup_marker(outcome: str, cancellation_requested_at: float) -> dict[str, Any]:
    """Return the cleanup marker of an ended job, whose other records still have to be deleted.

    `cancellation_requested_at` is a time of day in seconds.
    """
    return {"e": outcome, "t": cancellation_requested_at}


def decode_cancellation_time(value: Any) -> float | None:
    """Return the time of day of the cancellation that a cleanup marker holds.

    Returns None for the markers of earlier releases, which hold no time.
    """
    at = value.get("t") if isinstance(value, dict) else None
    return float(at) if isinstance(at, int | float) else None


def decode_dependency_list_reference(value: Any) -> DependencyListReference | None:
    """Return the reference to the dependency list that must be read to decode a job record.

    None means that the record holds its dependencies itself.
    """
    return parse_list_reference(value.get("s")) if isinstance(value, dict) else None


def resolved_list_reference(value: Any) -> DependencyListReference | None:
    """Return the reference that `resolve_dependency_list` replaced in this record.

    None means that the stored record held its dependencies itself.
    """
    found = value.get(_RESOLVED_LIST_FIELD) if isinstance(value, dict) else None
    return found if isinstance(found, DependencyListReference) else None


def dependency_list_prefix(job_id: JobId, reference: DependencyListReference) -> str:
    """Return the prefix of the keys of the job's dependency list."""
    return f"{DEPENDENCY_LIST_PREFIX}{job_id}/{reference.nonce}/"


def dependency_list_keys(job_id: JobId, reference: DependencyListReference) -> list[str]:
    """Return the keys under which the accepting node stored the parts of the dependency list."""
    prefix = dependency_list_prefix(job_id, reference)
    return [f"{prefix}{number}" for number in range(reference.part_count)]


def split_dependency_list(dependencies: tuple[JobId, ...], value_bytes: int) -> list[list[JobId]]:
    """Split a dependency list into parts that each fit into a value of `value_bytes`.

    The result is empty if the list fits into the job's own record.
    """
    sizes = [len(job_id) + _LIST_ENTRY_OVERHEAD_BYTES for job_id in dependencies]
    if sum(sizes) + _LIST_OVERHEAD_BYTES <= value_bytes // _INLINE_LIST_DIVISOR:
        return []
    max_part_bytes = int(value_bytes * _VALUE_FILL_RATIO)
    parts: list[list[JobId]] = []
    free_bytes = 0
    for job_id, size in zip(dependencies, sizes, strict=True):
        if not parts or size > free_bytes:
            parts.append([])
            free_bytes = max_part_bytes
        parts[-1].append(job_id)
        free_bytes -= size
    return parts


def resolve_dependency_list(job_id: JobId, item: Item, lists: Iterable[Item]) -> Item | None:
    """Return the job's record with its dependencies in place of the reference to their list.

    `lists` holds the parts of the list as read. None means that a part is missing, so the job's
    dependencies are unknown.
    """
    reference = decode_dependency_list_reference(item.value)
    if reference is None:
        return item
    values = {found.key: found.value for found in lists}
    dependencies: list[JobId] = []
    for key in dependency_list_keys(job_id, reference):
        part = values.get(key)
        if not isinstance(part, list):
            return None
        dependencies += part
    record = record_with_dependencies(item.value["s"], tuple(dependencies))
    return replace(item, value={**item.value, "s": record, _RESOLVED_LIST_FIELD: reference})
