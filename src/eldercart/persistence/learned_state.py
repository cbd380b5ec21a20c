"""Checkpoints of state that a leader collects over time, so that the next leader can restore it.

This learned state is which machines hold which images, and how run times compare with estimates. It
is written to the state store now and then, in few records. Nothing depends on it, so it may be
outdated or lost.
"""

from collections.abc import Iterator
from functools import lru_cache
from typing import Any

import orjson

from eldercart.scheduling.cluster_state import ClusterState
from eldercart.wire.state import MAX_TRANSACTION_BYTES, Put
from eldercart.wire.stored_learned_state import (
    RUN_TIME_RATIOS_KEY,
    RunTimeSums,
    decode_images,
    decode_run_time_sums,
    encode_images,
    images_key,
    is_run_time_ratios_key,
    run_time_ratios_key,
)

# Records use this share of the value limit, because how the store counts bytes is not specified.
VALUE_FILL_RATIO = 0.8
SIZE_CACHE_ENTRIES = 8192  # names whose encoded sizes are cached
SEPARATOR_BYTES = 1  # a comma or colon follows each encoded value
EMPTY_RECORD_BYTES = 2
EMPTY_IMAGES_RECORD_BYTES = 30
MACHINE_OVERHEAD_BYTES = 3  # a record of images needs this per machine, plus the name
IMAGE_INDEX_BYTES = 5  # the index of an image needs no more


def learned_state_records(cluster_state: ClusterState) -> dict[str, Any]:
    """Return the records of a checkpoint by key, each within the value limit."""
    max_bytes = int(cluster_state.settings.value_bytes * VALUE_FILL_RATIO)
    records: dict[str, Any] = {RUN_TIME_RATIOS_KEY: {}}
    sums = cluster_state.predictor.run_time_sums()
    for number, ratios in enumerate(_run_time_ratio_records(sums, max_bytes)):
        records[run_time_ratios_key(number)] = ratios
    for number, images in enumerate(_image_records(cluster_state, max_bytes)):
        records[images_key(number)] = images
    return records


def next_learned_state_writes(
    records: dict[str, Any], start: int, max_operations: int
) -> list[Put]:
    """Return the next writes of a checkpoint, beginning with the record numbered `start`.

    There are at most `max_operations` of them, and they fit into one transaction. The other records
    follow in later transactions.
    """
    keys = list(records)
    start %= len(keys)
    writes: list[Put] = []
    size = 0
    for key in (keys[start:] + keys[:start])[:max_operations]:
        size += len(key) + _encoded_bytes(records[key])
        if writes and size > MAX_TRANSACTION_BYTES:
            break
        writes.append(Put(key, records[key]))
    return writes


def restore_learned_state(cluster_state: ClusterState, key: str, value: Any) -> None:
    """Restore one record of a checkpoint; a malformed record is skipped."""
    try:
        if is_run_time_ratios_key(key):
            cluster_state.predictor.restore_run_time_sums(decode_run_time_sums(value))
            return
        for machine_id, images in decode_images(value):
            cluster_state.inventory.restore_images(machine_id, images)
    except (AttributeError, IndexError, KeyError, TypeError, ValueError):
        return


def _encoded_bytes(value: Any) -> int:
    """Return the size of a value in a record, with the separator after it."""
    return len(orjson.dumps(value)) + SEPARATOR_BYTES


@lru_cache(maxsize=SIZE_CACHE_ENTRIES)
def _machine_id_bytes(name: str) -> int:
    """Return the size of a machine's name in a record."""
    return _encoded_bytes(name)


@lru_cache(maxsize=SIZE_CACHE_ENTRIES)
def _image_bytes(name: str, size_gb: float) -> int:
    """Return the size of an image in a record.

    The sizes are cached because all machines hold the same few images.
    """
    return _encoded_bytes(name) + _encoded_bytes(size_gb)


def _run_time_ratio_records(sums: RunTimeSums, max_bytes: int) -> Iterator[RunTimeSums]:
    record: RunTimeSums = {}
    size = EMPTY_RECORD_BYTES
    for job_class, class_sums in sums.items():
        entry_bytes = _encoded_bytes(job_class) + _encoded_bytes(class_sums)
        if record and size + entry_bytes > max_bytes:
            yield record
            record, size = {}, EMPTY_RECORD_BYTES
        if size + entry_bytes <= max_bytes:
            record[job_class] = class_sums
            size += entry_bytes
    if record:
        yield record


class _ImagesRecord:
    """A record of images that is being filled."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._size = EMPTY_IMAGES_RECORD_BYTES
        self._indexes: dict[str, int] = {}  # by image
        self._sizes_gb: dict[str, float] = {}  # by image, in the order of their indexes
        self._image_indexes: dict[str, list[int]] = {}  # by machine

    @property
    def is_empty(self) -> bool:
        return not self._image_indexes

    def has_room_for(self, machine_id: str, image_bytes: dict[str, int]) -> bool:
        """Return whether the machine fits with all its images; `image_bytes` has their sizes."""
        needed = _machine_id_bytes(machine_id) + MACHINE_OVERHEAD_BYTES
        needed += IMAGE_INDEX_BYTES * len(image_bytes)
        needed += sum(size for image, size in image_bytes.items() if image not in self._indexes)
        return self._size + needed <= self._max_bytes

    def add(self, machine_id: str, images: dict[str, float], image_bytes: dict[str, int]) -> None:
        """Add a machine with as many of its images as fit."""
        self._size += _machine_id_bytes(machine_id) + MACHINE_OVERHEAD_BYTES
        indexes = self._image_indexes[machine_id] = []
        for image, size_gb in images.items():
            is_new = image not in self._indexes
            needed = IMAGE_INDEX_BYTES + (image_bytes[image] if is_new else 0)
            if self._size + needed > self._max_bytes:
                continue
            self._size += needed
            if is_new:
                self._indexes[image] = len(self._indexes)
                self._sizes_gb[image] = size_gb
            indexes.append(self._indexes[image])

    def encode(self) -> dict[str, Any]:
        return encode_images(self._sizes_gb, self._image_indexes)


def _image_records(cluster_state: ClusterState, max_bytes: int) -> Iterator[dict[str, Any]]:
    """Yield records of images, each with whole machines.

    If the images of a single machine do not fit into a record, those that don't are left out.
    """
    record = _ImagesRecord(max_bytes)
    for machine in cluster_state.inventory.machines.values():
        images = machine.cached_images
        if not images:
            continue
        image_bytes = {image: _image_bytes(image, size_gb) for image, size_gb in images.items()}
        if not record.is_empty and not record.has_room_for(machine.id, image_bytes):
            yield record.encode()
            record = _ImagesRecord(max_bytes)
        record.add(machine.id, images, image_bytes)
    if not record.is_empty:
        yield record.encode()
