"""The lines of the log that tell now and then how the leader's work stands."""

import logging
from collections.abc import Iterable
from dataclasses import dataclass

from eldercart.cluster.inventory import Machine, MachineState
from eldercart.jobs.registry import Job, Phase
from eldercart.scheduling.cluster_state import SchedulerState

log = logging.getLogger("eldercart.controller")


def log_summary(scheduler: SchedulerState, cleaning: int) -> None:
    """Writes both lines; `cleaning`: ended jobs whose records wait to be deleted."""
    _log_prediction(scheduler)
    _log_fleet(scheduler, cleaning)


def _log_prediction(scheduler: SchedulerState) -> None:
    predictor = scheduler.predictor
    tallies = " ".join(f"{origin.value}={tally}" for origin, tally in predictor.tallies.items())
    log.info(
        "prediction hits=%d misses=%d unused=%d booked=%d %s",
        predictor.hits,
        predictor.misses,
        predictor.unused,
        len(predictor.bookings),
        tallies,
    )


def _log_fleet(scheduler: SchedulerState, cleaning: int) -> None:
    machines = scheduler.fleet.machines.values()
    jobs = scheduler.jobs.jobs.values()
    up = [machine for machine in machines if machine.state is MachineState.UP]
    booting = sum(1 for machine in machines if machine.state is MachineState.BOOTING)
    room = _room_of(up)
    want_ordinary, want_any = scheduler.rental.targets()
    log.info(
        "summary jobs=%d up=%d booting=%d cpus=%g usable=%g running=%g free=%g queued=%g "
        "starting=%s waiting=%s want=%.0f/%.0f work=%.0f lost=%.0f ending=%d dirty=%d "
        "cleaning=%d",
        len(jobs),
        len(up),
        booting,
        room.cpus,
        room.usable,
        sum(job.running * job.spec.cpus for job in jobs),
        room.free,
        sum(job.queued * job.spec.cpus for job in jobs),
        _starting(up),
        _waiting(jobs),
        want_ordinary,
        want_any,
        scheduler.work_done,
        scheduler.work_lost,
        len(scheduler.ending),
        len(scheduler.dirty),
        cleaning,
    )


@dataclass(frozen=True, slots=True)
class _Room:
    """CPUs of machines that are up."""

    cpus: float
    usable: float
    free: float  # of the usable ones


def _room_of(up: list[Machine]) -> _Room:
    usable = [machine for machine in up if machine.usable]
    return _Room(
        sum(machine.type.cpus for machine in up),
        sum(machine.type.cpus for machine in usable),
        sum(machine.free_cpus for machine in usable),
    )


def _starting(up: list[Machine]) -> dict[str, float]:
    """CPUs that are placed and do not run yet, by what they wait for."""
    starting: dict[str, float] = {}
    for machine in up:
        for placement in machine.placed.values():
            if placement.phase in (Phase.RUNNING, Phase.ENDED):
                continue
            name = "stopping" if placement.stopping else placement.phase.name.lower()
            starting[name] = starting.get(name, 0.0) + placement.job.spec.cpus
    return starting


def _waiting(jobs: Iterable[Job]) -> dict[str, float]:
    """CPUs that wait to be placed, by class."""
    waiting: dict[str, float] = {}
    for job in jobs:
        if job.open:
            spec = job.spec
            waiting[spec.klass] = waiting.get(spec.klass, 0.0) + job.pending * spec.cpus
    return waiting
