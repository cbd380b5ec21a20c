"""What a leader has learned and the next one would have to learn again: which machines hold which
images, and how run times compare with estimates. Kept in the state service now and then, in few
records; nothing rests on it, so it may be old, or lost."""

from collections.abc import Iterator
from functools import lru_cache
from typing import Any

import orjson

from eldercart.scheduling.cluster_state import SchedulerState
from eldercart.units import MachineId
from eldercart.wire.state import TXN_BYTES, Put

MEMORY = "memo/"
PACES = MEMORY + "paces"
FILL = 0.8  # of a value's size: how the service counts bytes is its own affair
SIZES_KEPT = 8192  # names whose written sizes are remembered


def memory_records(scheduler: SchedulerState) -> dict[str, Any]:
    """Records by key, each within the value limit."""
    most = int(scheduler.settings.value_bytes * FILL)
    out: dict[str, Any] = {PACES: {}}
    for i, paces in enumerate(_paces(scheduler.predictor.paces(), most)):
        out[f"{PACES}/{i}" if i else PACES] = paces
    for i, images in enumerate(_images(scheduler, most)):
        out[f"{MEMORY}images/{i}"] = images
    return out


def next_puts(records: dict[str, Any], start: int, most_changes: int) -> list[Put]:
    """The records to write next, the one numbered `start` first: as many as there are changes for,
    and as fit into one transaction. The others have their turn later."""
    keys = list(records)
    start %= len(keys)
    puts: list[Put] = []
    size = 0
    for key in (keys[start:] + keys[:start])[:most_changes]:
        size += len(key) + _bytes(records[key])
        if puts and size > TXN_BYTES:
            break
        puts.append(Put(key, records[key]))
    return puts


def _bytes(value: Any) -> int:
    return len(orjson.dumps(value)) + 1


@lru_cache(maxsize=SIZES_KEPT)
def _name_bytes(name: str) -> int:
    """The same of a machine's name."""
    return _bytes(name)


@lru_cache(maxsize=SIZES_KEPT)
def _image_bytes(name: str, size_gb: float) -> int:
    """The same of an image and its size: all machines hold the same few."""
    return _bytes(name) + _bytes(size_gb)


def _paces(paces: dict[str, tuple[float, float]], most: int) -> Iterator[dict[str, Any]]:
    record: dict[str, Any] = {}
    size = 2
    for klass, pace in paces.items():
        takes = _bytes(klass) + _bytes(pace)
        if record and size + takes > most:
            yield record
            record, size = {}, 2
        if size + takes <= most:
            record[klass] = pace
            size += takes
    if record:
        yield record


def _images(scheduler: SchedulerState, most: int) -> Iterator[dict[str, Any]]:
    """What of a single machine's images does not fit into a record is left out."""
    empty = 30  # the record without any
    numbers: dict[str, int] = {}
    sizes: list[float] = []
    held: dict[str, list[int]] = {}
    used = empty
    for m in scheduler.fleet.machines.values():
        if not m.images:
            continue
        known = {image: _image_bytes(image, size) for image, size in m.images.items()}
        takes = _name_bytes(m.id) + 3 + 5 * len(known)
        takes += sum(b for image, b in known.items() if image not in numbers)
        if held and used + takes > most:
            yield {"n": list(numbers), "g": sizes, "m": held}
            numbers, sizes, held, used = {}, [], {}, empty
        used += _name_bytes(m.id) + 3
        held[m.id] = []
        for image, size in m.images.items():
            takes = 5 + (0 if image in numbers else known[image])
            if used + takes > most:
                continue
            used += takes
            if image not in numbers:
                numbers[image] = len(numbers)
                sizes.append(size)
            held[m.id].append(numbers[image])
    if held:
        yield {"n": list(numbers), "g": sizes, "m": held}


def recall(scheduler: SchedulerState, key: str, value: Any) -> None:
    """Takes over one record; one that makes no sense is passed over."""
    try:
        if key == PACES or key.startswith(PACES + "/"):
            scheduler.predictor.recall_paces(
                {str(k): (float(ran), float(est)) for k, (ran, est) in value.items()}
            )
            return
        names = [(str(n), float(g)) for n, g in zip(value["n"], value["g"], strict=True)]
        for machine, held in value["m"].items():
            scheduler.fleet.recall_images(MachineId(machine), dict(names[int(i)] for i in held))
    except (AttributeError, IndexError, KeyError, TypeError, ValueError):
        return
