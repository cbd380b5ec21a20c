"""Logs the state of the cluster and of the leader's work periodically."""

import logging
from collections.abc import Iterable
from dataclasses import dataclass

from eldercart.cluster.inventory import Machine, MachineState
from eldercart.jobs.job import Job, PlacementPhase
from eldercart.scheduling.cluster_state import ClusterState

log = logging.getLogger("eldercart.controller")


def log_summary(cluster_state: ClusterState, jobs_awaiting_cleanup: int) -> None:
    """Log one line about the predictions and one about the cluster.

    `jobs_awaiting_cleanup` is the number of ended jobs whose records are not deleted yet.
    """
    _log_prediction(cluster_state)
    _log_cluster(cluster_state, jobs_awaiting_cleanup)


def _log_prediction(cluster_state: ClusterState) -> None:
    predictor = cluster_state.predictor
    outcomes = " ".join(
        f"{origin.value}={outcome}" for origin, outcome in predictor.reservation_outcomes.items()
    )
    log.info(
        "prediction hits=%d misses=%d expired=%d reserved=%d %s",
        predictor.hits,
        predictor.misses,
        predictor.expired,
        len(predictor.soft_reservations),
        outcomes,
    )


def _log_cluster(cluster_state: ClusterState, jobs_awaiting_cleanup: int) -> None:
    machines = cluster_state.inventory.machines.values()
    jobs = cluster_state.jobs.jobs.values()
    up = [machine for machine in machines if machine.state is MachineState.UP]
    booting_count = sum(1 for machine in machines if machine.state is MachineState.BOOTING)
    capacity = _capacity_of(up)
    on_demand_target, total_target = cluster_state.autoscaler.target_cpus()
    log.info(
        "summary jobs=%d up=%d booting=%d cpus=%g schedulable_cpus=%g running_cpus=%g "
        "free_cpus=%g enqueued_cpus=%g starting_cpus=%s pending_cpus=%s "
        "target_on_demand_cpus=%.0f target_cpus=%.0f completed_cpu_s=%.0f lost_cpu_s=%.0f "
        "finalizing_jobs=%d dirty_jobs=%d jobs_awaiting_cleanup=%d",
        len(jobs),
        len(up),
        booting_count,
        capacity.cpus,
        capacity.schedulable_cpus,
        sum(job.running_count * job.spec.cpus for job in jobs),
        capacity.free_cpus,
        sum(job.enqueued_count * job.spec.cpus for job in jobs),
        _starting_cpus(up),
        _pending_cpus(jobs),
        on_demand_target,
        total_target,
        cluster_state.completed_cpu_s,
        cluster_state.lost_cpu_s,
        len(cluster_state.finalizing_jobs),
        len(cluster_state.dirty_jobs),
        jobs_awaiting_cleanup,
    )


@dataclass(frozen=True, slots=True)
class _Capacity:
    """Total CPUs of the machines that are up."""

    cpus: float
    schedulable_cpus: float
    free_cpus: float  # unallocated CPUs of the schedulable machines


def _capacity_of(up: list[Machine]) -> _Capacity:
    schedulable = [machine for machine in up if machine.is_schedulable]
    return _Capacity(
        cpus=sum(machine.type.cpus for machine in up),
        schedulable_cpus=sum(machine.type.cpus for machine in schedulable),
        free_cpus=sum(machine.free_cpus for machine in schedulable),
    )


def _starting_cpus(up: list[Machine]) -> dict[str, float]:
    """Return the CPUs of placed tasks that are not running yet, by phase or `terminating`."""
    cpus_by_phase: dict[str, float] = {}
    for machine in up:
        for placement in machine.placements.values():
            if placement.phase in (PlacementPhase.RUNNING, PlacementPhase.ENDED):
                continue
            phase = "terminating" if placement.is_terminating else placement.phase.name.lower()
            cpus_by_phase[phase] = cpus_by_phase.get(phase, 0.0) + placement.job.spec.cpus
    return cpus_by_phase


def _pending_cpus(jobs: Iterable[Job]) -> dict[str, float]:
    """Return the CPUs of tasks that wait to be placed, by job class."""
    cpus_by_class: dict[str, float] = {}
    for job in jobs:
        if job.is_runnable:
            job_class = job.spec.job_class
            unplaced_cpus = job.unplaced_count * job.spec.cpus
            cpus_by_class[job_class] = cpus_by_class.get(job_class, 0.0) + unplaced_cpus
    return cpus_by_class
