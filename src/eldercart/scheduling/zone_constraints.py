"""Zone constraints among the tasks of one job: all in one zone, or at most half of them in one.

A task counts in the zone of its machine until it is proven to have ended: by a heartbeat of the
machine that shows this leader's fencing token, or by the machine's deletion. A new leader loads the
tasks from records, and the earlier leader may have known more than it had written: tasks that had
ended are recorded until the next write of their chunk, also while others of the job already run in
another zone. So records may name several zones for a job that must stay in one. Which of these
tasks still run is known only when enough machines have sent a heartbeat or are deleted.
"""

import logging
from enum import Enum

from eldercart.cluster.inventory import MachineInventory
from eldercart.jobs.job import Job, PlacementPhase
from eldercart.scheduling.feasibility import UNKNOWN_ZONE
from eldercart.wire.users import JobSpec

log = logging.getLogger("eldercart.controller")


class ZoneFit(Enum):
    """Whether a placed task may start in its zone, given the job's other tasks."""

    FITS = "fits"
    VIOLATES = "violates"
    UNDECIDED = "undecided"  # depends on tasks whose zone is unknown


def is_zone_bound(spec: JobSpec) -> bool:
    """Return whether the zones of the job's other tasks limit where its next task may start."""
    return spec.single_zone or spec.spread


def tasks_by_zone(job: Job, inventory: MachineInventory) -> dict[str, int]:
    """Return how many tasks of the job may be running in each zone.

    Tasks on a machine whose zone is not known yet count under `UNKNOWN_ZONE`."""
    counts: dict[str, int] = {}
    for placement in job.placements():
        if placement.phase is not PlacementPhase.ENDED:
            machine = inventory.get(placement.machine_id)
            if machine is not None:
                counts[machine.zone] = counts.get(machine.zone, 0) + 1
    return counts


def max_tasks_in_zone(spec: JobSpec) -> int:
    """Return how many tasks of a job with `spread` may be in the same zone."""
    return (spec.task_count + 1) // 2


def is_undecided(spec: JobSpec, zones: dict[str, int]) -> bool:
    """Return whether it is not known yet where the next task of a zone-bound job may start.

    `zones` is the result of `tasks_by_zone`. No new task may be placed until that is decided."""
    return UNKNOWN_ZONE in zones or (spec.single_zone and len(zones) > 1)


def must_wait(job: Job, zones: dict[str, int]) -> bool:
    """Return whether `is_undecided` applies to the job; log when that changes."""
    is_waiting = is_undecided(job.spec, zones)
    if is_waiting is not job.waits_for_zones:
        job.waits_for_zones = is_waiting
        event = "job waits for zones" if is_waiting else "zones decided"
        log.info("%s job=%s tasks_by_zone=%s", event, job.id, zones)
    return is_waiting


def required_zone(job: Job, inventory: MachineInventory) -> str | None:
    """Return the only zone where the job's next task may run, or None if none can be named.

    It is the zone that the job requests, or the zone of its other tasks if the job must stay in a
    single zone. None means that there is no such limit, or that the zone is undecided."""
    if job.spec.zone is None and job.spec.single_zone:
        zones = tasks_by_zone(job, inventory)
        return None if is_undecided(job.spec, zones) else next(iter(zones), None)
    return job.spec.zone


def zone_fit(spec: JobSpec, zones: dict[str, int], zone: str) -> ZoneFit:
    """Return whether a task that is placed in `zone` fits beside the job's other tasks.

    `zones` is the result of `tasks_by_zone`, which counts the task itself."""
    known, unknown = zones.get(zone, 0), zones.get(UNKNOWN_ZONE, 0)
    if spec.single_zone and any(other not in (zone, UNKNOWN_ZONE) for other in zones):
        return ZoneFit.VIOLATES
    if spec.spread and known > max_tasks_in_zone(spec):
        return ZoneFit.VIOLATES
    if spec.single_zone and unknown:
        return ZoneFit.UNDECIDED
    if spec.spread and known + unknown > max_tasks_in_zone(spec):
        return ZoneFit.UNDECIDED
    return ZoneFit.FITS
