"""The lines of the log that tell now and then how the leader's work stands."""

import logging
from collections.abc import Iterable
from dataclasses import dataclass

from eldercart.cluster.inventory import Machine, MachineState
from eldercart.jobs.job import Job, PlacementPhase
from eldercart.scheduling.cluster_state import ClusterState

log = logging.getLogger("eldercart.controller")


def log_summary(scheduler: ClusterState, jobs_awaiting_cleanup: int) -> None:
    """Writes both lines; `cleaning`: ended jobs whose records wait to be deleted."""
    _log_prediction(scheduler)
    _log_cluster(scheduler, jobs_awaiting_cleanup)


def _log_prediction(scheduler: ClusterState) -> None:
    predictor = scheduler.predictor
    tallies = " ".join(
        f"{origin.value}={tally}" for origin, tally in predictor.reservation_outcomes.items()
    )
    log.info(
        "prediction hits=%d misses=%d unused=%d booked=%d %s",
        predictor.hits,
        predictor.misses,
        predictor.expired,
        len(predictor.soft_reservations),
        tallies,
    )


def _log_cluster(scheduler: ClusterState, cleaning: int) -> None:
    machines = scheduler.inventory.machines.values()
    jobs = scheduler.jobs.jobs.values()
    up = [machine for machine in machines if machine.state is MachineState.UP]
    booting = sum(1 for machine in machines if machine.state is MachineState.BOOTING)
    room = _capacity_of(up)
    want_ordinary, want_any = scheduler.autoscaler.target_cpus()
    log.info(
        "summary jobs=%d up=%d booting=%d cpus=%g usable=%g running=%g free=%g queued=%g "
        "starting=%s waiting=%s want=%.0f/%.0f work=%.0f lost=%.0f ending=%d dirty=%d "
        "cleaning=%d",
        len(jobs),
        len(up),
        booting,
        room.cpus,
        room.schedulable_cpus,
        sum(job.running_count * job.spec.cpus for job in jobs),
        room.free_cpus,
        sum(job.enqueued_count * job.spec.cpus for job in jobs),
        _starting_cpus(up),
        _pending_cpus(jobs),
        want_ordinary,
        want_any,
        scheduler.completed_cpu_s,
        scheduler.lost_cpu_s,
        len(scheduler.finalizing_jobs),
        len(scheduler.dirty_jobs),
        cleaning,
    )


@dataclass(frozen=True, slots=True)
class _Capacity:
    """CPUs of machines that are up."""

    cpus: float
    schedulable_cpus: float
    free_cpus: float  # of the usable ones


def _capacity_of(up: list[Machine]) -> _Capacity:
    usable = [machine for machine in up if machine.is_schedulable]
    return _Capacity(
        sum(machine.type.cpus for machine in up),
        sum(machine.type.cpus for machine in usable),
        sum(machine.free_cpus for machine in usable),
    )


def _starting_cpus(up: list[Machine]) -> dict[str, float]:
    """CPUs that are placed and do not run yet, by what they wait for."""
    starting: dict[str, float] = {}
    for machine in up:
        for placement in machine.placements.values():
            if placement.phase in (PlacementPhase.RUNNING, PlacementPhase.ENDED):
                continue
            name = "stopping" if placement.is_terminating else placement.phase.name.lower()
            starting[name] = starting.get(name, 0.0) + placement.job.spec.cpus
    return starting


def _pending_cpus(jobs: Iterable[Job]) -> dict[str, float]:
    """CPUs that wait to be placed, by class."""
    waiting: dict[str, float] = {}
    for job in jobs:
        if job.is_runnable:
            spec = job.spec
            waiting[spec.job_class] = (
                waiting.get(spec.job_class, 0.0) + job.unplaced_count * spec.cpus
            )
    return waiting
