"""What a leader has learned and the next one would have to learn again: which machines hold which
images, and how run times compare with estimates. Kept in the state service now and then, in few
records; nothing rests on it, so it may be old, or lost."""

from typing import Any

from eldercart.core.floor import Floor
from eldercart.units import MachineId

MEMO = "memo/"
PACES = MEMO + "paces"
MACHINE_BYTES = 60  # a machine's name and the numbers of its images, about


def memos(floor: Floor) -> dict[str, Any]:
    """Records by key."""
    out: dict[str, Any] = {PACES: floor.predictor.paces()}
    most = max(10, int(floor.settings.value_bytes * 0.7) // MACHINE_BYTES)
    machines = [m for m in floor.fleet.machines.values() if m.images]
    for start in range(0, len(machines), most):
        names: dict[str, int] = {}
        sizes: list[float] = []
        held: dict[str, list[int]] = {}
        for m in machines[start : start + most]:
            for image, size in m.images.items():
                if image not in names:
                    names[image] = len(names)
                    sizes.append(size)
            held[m.id] = [names[image] for image in m.images]
        out[f"{MEMO}images/{start // most}"] = {"n": list(names), "g": sizes, "m": held}
    return out


def recall(floor: Floor, key: str, value: Any) -> None:
    """Takes over one record; one that makes no sense is passed over."""
    try:
        if key == PACES:
            floor.predictor.recall_paces(
                {str(k): (float(ran), float(est)) for k, (ran, est) in value.items()}
            )
            return
        names = [(str(n), float(g)) for n, g in zip(value["n"], value["g"], strict=True)]
        for machine, held in value["m"].items():
            floor.fleet.recall_images(MachineId(machine), dict(names[int(i)] for i in held))
    except (AttributeError, IndexError, KeyError, TypeError, ValueError):
        return
