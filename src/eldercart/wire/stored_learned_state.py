"""Codec of the stored records of learned state: run time ratios and the images on machines.

No other module uses the keys and the one-letter fields of these records.
"""

from collections.abc import Iterator
from typing import Any

from eldercart.units import MachineId

LEARNED_STATE_PREFIX = "memo/"
RUN_TIME_RATIOS_KEY = LEARNED_STATE_PREFIX + "paces"

# For each job class, the seconds that its tasks ran and the seconds that were estimated for them.
RunTimeSums = dict[str, tuple[float, float]]


def run_time_ratios_key(number: int) -> str:
    """Return the key of the run time ratio record with this number, counted from 0."""
    return f"{RUN_TIME_RATIOS_KEY}/{number}" if number else RUN_TIME_RATIOS_KEY


def is_run_time_ratios_key(key: str) -> bool:
    """Return whether a key of learned state belongs to a run time ratio record."""
    return key == RUN_TIME_RATIOS_KEY or key.startswith(RUN_TIME_RATIOS_KEY + "/")


def images_key(number: int) -> str:
    """Return the key of the image record with this number."""
    return f"{LEARNED_STATE_PREFIX}images/{number}"


def decode_run_time_sums(value: Any) -> RunTimeSums:
    """Return the sums in a run time ratio record.

    Raises `AttributeError`, `TypeError` or `ValueError` for a malformed record.
    """
    return {
        str(job_class): (float(ran_s), float(estimated_s))
        for job_class, (ran_s, estimated_s) in value.items()
    }


def encode_images(
    sizes_gb: dict[str, float], image_indexes: dict[str, list[int]]
) -> dict[str, Any]:
    """Return an image record.

    `sizes_gb` holds the size of each image by its name. `image_indexes` holds, for each machine,
    the positions in `sizes_gb` of the images on that machine.
    """
    return {"n": list(sizes_gb), "g": list(sizes_gb.values()), "m": image_indexes}


def decode_images(value: Any) -> Iterator[tuple[MachineId, dict[str, float]]]:
    """Yield each machine of an image record with the sizes in GB of its images by name.

    Raises `AttributeError`, `IndexError`, `KeyError`, `TypeError` or `ValueError` at the first
    malformed entry; the machines yielded before it may be used.
    """
    images = [
        (str(name), float(size_gb)) for name, size_gb in zip(value["n"], value["g"], strict=True)
    ]
    for machine_id, indexes in value["m"].items():
        yield MachineId(machine_id), dict(images[int(index)] for index in indexes)
