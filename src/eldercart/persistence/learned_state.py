"""What a leader has learned and the next one would have to learn again: which machines hold which
images, and how run times compare with estimates. Kept in the state service now and then, in few
records; nothing rests on it, so it may be old, or lost."""

from collections.abc import Iterator
from functools import lru_cache
from typing import Any

import orjson

from eldercart.scheduling.cluster_state import ClusterState
from eldercart.units import MachineId
from eldercart.wire.state import MAX_TRANSACTION_BYTES, Put

LEARNED_STATE_PREFIX = "memo/"
RUN_TIME_RATIOS_KEY = LEARNED_STATE_PREFIX + "paces"
VALUE_FILL_RATIO = 0.8  # of a value's size: how the service counts bytes is its own affair
SIZE_CACHE_ENTRIES = 8192  # names whose written sizes are remembered


def learned_state_records(cluster_state: ClusterState) -> dict[str, Any]:
    """Records by key, each within the value limit."""
    most = int(cluster_state.settings.value_bytes * VALUE_FILL_RATIO)
    out: dict[str, Any] = {RUN_TIME_RATIOS_KEY: {}}
    for i, paces in enumerate(
        _run_time_ratio_records(cluster_state.predictor.run_time_sums(), most)
    ):
        out[f"{RUN_TIME_RATIOS_KEY}/{i}" if i else RUN_TIME_RATIOS_KEY] = paces
    for i, images in enumerate(_image_records(cluster_state, most)):
        out[f"{LEARNED_STATE_PREFIX}images/{i}"] = images
    return out


def next_learned_state_writes(
    records: dict[str, Any], start: int, max_operations: int
) -> list[Put]:
    """The records to write next, the one numbered `start` first: as many as there are changes for,
    and as fit into one transaction. The others have their turn later."""
    keys = list(records)
    start %= len(keys)
    puts: list[Put] = []
    size = 0
    for key in (keys[start:] + keys[:start])[:max_operations]:
        size += len(key) + _encoded_bytes(records[key])
        if puts and size > MAX_TRANSACTION_BYTES:
            break
        puts.append(Put(key, records[key]))
    return puts


def _encoded_bytes(value: Any) -> int:
    return len(orjson.dumps(value)) + 1


@lru_cache(maxsize=SIZE_CACHE_ENTRIES)
def _machine_id_bytes(name: str) -> int:
    """The same of a machine's name."""
    return _encoded_bytes(name)


@lru_cache(maxsize=SIZE_CACHE_ENTRIES)
def _image_bytes(name: str, size_gb: float) -> int:
    """The same of an image and its size: all machines hold the same few."""
    return _encoded_bytes(name) + _encoded_bytes(size_gb)


def _run_time_ratio_records(
    ratios: dict[str, tuple[float, float]], max_bytes: int
) -> Iterator[dict[str, Any]]:
    record: dict[str, Any] = {}
    size = 2
    for klass, pace in ratios.items():
        takes = _encoded_bytes(klass) + _encoded_bytes(pace)
        if record and size + takes > max_bytes:
            yield record
            record, size = {}, 2
        if size + takes <= max_bytes:
            record[klass] = pace
            size += takes
    if record:
        yield record


def _image_records(cluster_state: ClusterState, max_bytes: int) -> Iterator[dict[str, Any]]:
    """What of a single machine's images does not fit into a record is left out."""
    empty = 30  # the record without any
    numbers: dict[str, int] = {}
    sizes: list[float] = []
    held: dict[str, list[int]] = {}
    used = empty
    for m in cluster_state.inventory.machines.values():
        if not m.cached_images:
            continue
        known = {image: _image_bytes(image, size) for image, size in m.cached_images.items()}
        takes = _machine_id_bytes(m.id) + 3 + 5 * len(known)
        takes += sum(b for image, b in known.items() if image not in numbers)
        if held and used + takes > max_bytes:
            yield {"n": list(numbers), "g": sizes, "m": held}
            numbers, sizes, held, used = {}, [], {}, empty
        used += _machine_id_bytes(m.id) + 3
        held[m.id] = []
        for image, size in m.cached_images.items():
            takes = 5 + (0 if image in numbers else known[image])
            if used + takes > max_bytes:
                continue
            used += takes
            if image not in numbers:
                numbers[image] = len(numbers)
                sizes.append(size)
            held[m.id].append(numbers[image])
    if held:
        yield {"n": list(numbers), "g": sizes, "m": held}


def restore_learned_state(cluster_state: ClusterState, key: str, value: Any) -> None:
    """Takes over one record; one that makes no sense is passed over."""
    try:
        if key == RUN_TIME_RATIOS_KEY or key.startswith(RUN_TIME_RATIOS_KEY + "/"):
            cluster_state.predictor.restore_run_time_sums(
                {str(k): (float(ran), float(est)) for k, (ran, est) in value.items()}
            )
            return
        names = [(str(n), float(g)) for n, g in zip(value["n"], value["g"], strict=True)]
        for machine, held in value["m"].items():
            cluster_state.inventory.restore_images(
                MachineId(machine), dict(names[int(i)] for i in held)
            )
    except (AttributeError, IndexError, KeyError, TypeError, ValueError):
        return
