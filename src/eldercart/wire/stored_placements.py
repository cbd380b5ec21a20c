"""Codec of the stored placement records and their parts.

No other module uses the keys and the one-letter fields of these records. A placement record holds
parts of several jobs. A part holds the state of consecutive tasks of one job: the highest attempt
used, the done tasks as ranges, and the placements.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple, Protocol

from eldercart.units import Attempt, JobId, MachineId
from eldercart.wire.checks import MalformedMessageError

PLACEMENT_PREFIX = "place/"
MAX_PLACEMENT_ENTRY_BYTES = 48  # upper bound for one placement in a record
MIN_TASKS_PER_CHUNK, MAX_TASKS_PER_CHUNK = 8, 500
_VALUE_FILL_RATIO = 0.8  # used share of the value limit; how the store counts bytes is unknown


class EncodablePlacement(Protocol):
    """The attributes of a placement that the codec stores."""

    @property
    def index(self) -> int:
        """The index of the task in its job."""

    @property
    def attempt(self) -> Attempt:
        """The attempt of the task."""

    @property
    def machine_id(self) -> MachineId:
        """The machine on which the task is placed."""


class StoredPlacement(NamedTuple):
    """One attempt of a task on a machine."""

    task_index: int
    attempt: Attempt
    machine_id: MachineId


class StoredPart(NamedTuple):
    """The decoded content of a part."""

    highest_attempt: Attempt
    done_ranges: list[tuple[int, int]]  # indexes of the first and last task of each range
    placements: list[StoredPlacement]


def max_tasks_per_chunk(value_bytes: int) -> int:
    """Return how many tasks a part may cover so that it fits into a value if all are placed."""
    fitting = int(value_bytes * _VALUE_FILL_RATIO) // MAX_PLACEMENT_ENTRY_BYTES
    return max(MIN_TASKS_PER_CHUNK, min(MAX_TASKS_PER_CHUNK, fitting))


def encode_part(job_id: JobId, chunk_number: int, content: dict[str, Any]) -> list[Any]:
    """Return the part of a chunk of the job's regular size, in a format that all versions read."""
    return [job_id, chunk_number, content]


def encode_subchunk_part(
    job_id: JobId, first_index: int, task_count: int, content: dict[str, Any]
) -> list[Any]:
    """Return the part of a subchunk, with the index of its first task and its number of tasks."""
    return [job_id, first_index, content | {"n": task_count}]


def encode_part_content(
    highest_attempt: Attempt,
    done_ranges: list[tuple[int, int]],
    placements: Iterable[EncodablePlacement],
) -> dict[str, Any]:
    """Return the encoded content of a part; `StoredPart` describes the arguments."""
    return {
        "a": highest_attempt,
        "d": [list(done_range) for done_range in done_ranges],
        "r": [
            [placement.index, placement.attempt, placement.machine_id] for placement in placements
        ],
    }


def decode_part_content(value: Any) -> StoredPart:
    """Return the decoded content of a part; raises `MalformedMessageError` if it is malformed."""
    try:
        return StoredPart(
            decode_highest_attempt(value),
            [(int(first), int(last)) for first, last in value["d"]],
            [
                StoredPlacement(int(index), Attempt(int(attempt)), MachineId(str(machine_id)))
                for index, attempt, machine_id in value["r"]
            ],
        )
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedMessageError(
            f"part of a placement record: missing or malformed field: {error}"
        ) from None


def decode_highest_attempt(value: Any) -> Attempt:
    """Return the highest attempt of a part; raises `KeyError`, `TypeError` or `ValueError`."""
    return Attempt(int(value["a"]))


def attempt_precedence(value: Any) -> float:
    """Return the highest attempt of a part: of several copies, the one with the highest is used.

    A malformed part takes precedence over all others, so that it is detected.
    """
    attempt = value.get("a") if isinstance(value, dict) else None
    return attempt if type(attempt) is int else float("inf")


def subchunk_task_count(value: Any) -> Any:
    """Return the number of tasks that a part claims to cover, unchecked.

    None means that the part belongs to a chunk of the job's regular size.
    """
    return value.get("n") if isinstance(value, dict) else None


def encode_placement_record(parts: list[Any]) -> dict[str, Any]:
    """Return the record that holds these encoded parts."""
    return {"p": parts}


def decode_placement_record(value: Any) -> list[Any] | None:
    """Return the encoded parts of a record; None if the record is malformed."""
    parts = value.get("p") if isinstance(value, dict) else None
    return parts if isinstance(parts, list) else None


def decode_single_job_record(key: str, value: Any) -> list[Any] | None:
    """Return the only part of a record that belongs to a single job.

    Releases before 0.2 wrote such records, under `place/<job>/<chunk number>`. None means that the
    key belongs to a record with parts of several jobs.
    """
    job_id, _, chunk_number = key[len(PLACEMENT_PREFIX) :].rpartition("/")
    return [job_id, chunk_number, value] if job_id else None
