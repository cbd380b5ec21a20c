"""Makes soft reservations for the successors of jobs that end soon.

A machine that is requested about one boot time before the successor becomes ready is up in time.
"""

from eldercart.cluster.inventory import MachineState
from eldercart.jobs.job import Job, PlacementPhase
from eldercart.prediction.predictor import ReservationContext
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.units import JobId, MonotonicTime


def reserve_for_successors(cluster: ClusterState, now: MonotonicTime) -> None:
    """Reserve capacity for the predicted and submitted successors of jobs that end within one boot
    time, and remove the reservations that no job used in time."""
    predictor = cluster.predictor
    predictor.expire(now)
    boot_s = min(machine_type.boot_s for machine_type in cluster.types.values())
    context = ReservationContext(boot_s=boot_s, load=_load(cluster), now=now)
    ending = _jobs_ending_within(cluster, boot_s, now)
    if not cluster.autoscaler.is_quiet:  # submissions go on, so a stream may bring a successor
        for job_id, ends_in_s in ending.items():
            predictor.reserve_for_stream(cluster.jobs.jobs[job_id], ends_in_s, context)
    for job_id in ending:
        for successor in cluster.graph.dependents(job_id):
            _reserve_for_submitted(cluster, successor, ending, context)
    for prediction in predictor.chains.predict_successors(ending):
        cpus = _cap_at_team_quota(cluster, prediction.pipeline[0], prediction.cpus)
        predictor.reserve_for_chain(prediction, cpus, context)


def held_cpus(cluster: ClusterState, job_id: JobId) -> float:
    """Return the CPUs that a job uses until it ends and then leaves to its successor."""
    job = cluster.jobs.get(job_id)
    if job is None or not job.is_runnable:
        return 0.0
    return job.spec.cpus * (job.spec.task_count - job.done_count)


def _reserve_for_submitted(
    cluster: ClusterState, successor: Job, ending: dict[JobId, float], context: ReservationContext
) -> None:
    """Reserve for a submitted successor if all its unmet dependencies are in `ending`."""
    upstream = successor.unmet_dependencies
    if successor.outcome is not None or not all(job_id in ending for job_id in upstream):
        return
    last = max(upstream, key=lambda job_id: ending[job_id])
    spec = successor.spec
    cpus = _cap_at_team_quota(cluster, spec.team, spec.cpus * spec.task_count)
    cluster.predictor.reserve_for_submitted(successor, cpus, last, ending[last], context)


def _load(cluster: ClusterState) -> float:
    """Return the share of the CPUs of up machines that is used by placements or reserved."""
    all_cpus = sum(
        machine.type.cpus
        for machine in cluster.inventory.machines.values()
        if machine.state is MachineState.UP
    )
    reserved = cluster.predictor.reserved_cpus(lambda job_id: held_cpus(cluster, job_id))
    used_cpus = sum(cluster.inventory.cpus_by_team.values()) + reserved.total
    return used_cpus / all_cpus if all_cpus else 0.0


def _jobs_ending_within(
    cluster: ClusterState, boot_s: float, now: MonotonicTime
) -> dict[JobId, float]:
    """Return the jobs expected to end within `boot_s` seconds, each with the seconds remaining."""
    ending: dict[JobId, float] = {}
    for job in cluster.jobs.jobs.values():
        if not job.is_runnable or job.unplaced_count or job.enqueued_count:
            continue
        expected_run_s = cluster.predictor.expected_run_s(job)
        ends_in_s = 0.0
        for placement in job.placements():
            if placement.phase is not PlacementPhase.ENDED:
                ends_in_s = max(ends_in_s, expected_run_s - placement.run_time_s(now))
                if ends_in_s > boot_s:
                    break
        if ends_in_s <= boot_s:
            ending[job.id] = ends_in_s
    return ending


def _cap_at_team_quota(cluster: ClusterState, team_name: str, cpus: float) -> float:
    """Return `cpus`, limited to the quota of the team."""
    team = cluster.settings.teams.get(team_name)
    return min(cpus, team.cpus_max) if team is not None and team.cpus_max > 0 else cpus
