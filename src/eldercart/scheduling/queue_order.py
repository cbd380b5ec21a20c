"""Determines the order in which a planning pass serves the waiting jobs."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple

from eldercart.cluster.inventory import RESOURCE_EPSILON, MachineInventory
from eldercart.jobs.job import Job
from eldercart.scheduling.objectives import ServiceLevelObjectives
from eldercart.settings.platform import Team
from eldercart.units import DISTANT_PAST, MonotonicTime


@dataclass(frozen=True, slots=True)
class QueueOrderContext:
    """Inputs to the order of the jobs, other than the jobs themselves."""

    inventory: MachineInventory
    teams: dict[str, Team]
    objectives: ServiceLevelObjectives
    # Maps a priority, and whether a job may use spot machines, to the CPUs that it can use.
    usable_cpus: Callable[[int, bool], float]
    expected_run_s: Callable[[Job], float]
    expected_longest_run_s: Callable[[Job], float]


class _Level(NamedTuple):
    """Key of a group of jobs that is served as a whole; lower keys are served first."""

    negated_priority: int
    exceeds_fair_share: bool
    allows_spot: bool


@dataclass(slots=True)
class _WaitingWork:
    """Waiting tasks of one job, within its level."""

    job: Job
    duration_s: float  # expected, if all CPUs that the level can use worked on it
    latest_start_at: float = DISTANT_PAST  # latest start for the nearest objective still reachable


def order_jobs(jobs: list[Job], context: QueueOrderContext, now: MonotonicTime) -> list[Job]:
    """Return the jobs in the order in which a planning pass serves them, and set `is_deferred` of
    each.

    Jobs are ordered by priority. Within a priority, jobs of teams within their fair share come
    first, then jobs that can't use spot machines and so have fewer machines to choose from, then
    the job with the nearest objective, then the oldest job.

    Under overload, an order by objective alone would make all jobs late together. Therefore each
    level is ordered by objective, and when an objective can't be met any more, the job with the
    most work so far is deferred behind those that can still meet theirs. This is the Moore-Hodgson
    rule, which minimizes the number of late jobs. It counts only the machines that a job may use:
    compared with the whole cluster, many jobs that need on-demand machines would seem to be on
    time until all of them were late.
    """
    jobs_by_level = _group_by_level(jobs, context)
    ordered: list[Job] = []
    # CPU seconds requested by earlier levels, by whether their jobs may use spot machines.
    requested_cpu_s = {False: 0.0, True: 0.0}
    for level in sorted(jobs_by_level):
        earlier_cpu_s = requested_cpu_s[False]
        if level.allows_spot:
            earlier_cpu_s += requested_cpu_s[True]
        cpus = max(1.0, context.usable_cpus(-level.negated_priority, level.allows_spot))
        on_time, late = _split_by_objective(jobs_by_level[level], cpus, context, now)
        deferred, end_s = _defer_largest(on_time, earlier_cpu_s / cpus, now)
        late += deferred
        late.sort(key=lambda work: (work.duration_s, work.job.ready_at, work.job.id))
        ordered += _mark_deferred(on_time, late)
        late_s = sum(work.duration_s for work in late)
        requested_cpu_s[level.allows_spot] += end_s * cpus - earlier_cpu_s + late_s * cpus
    return ordered


def _group_by_level(jobs: list[Job], context: QueueOrderContext) -> dict[_Level, list[Job]]:
    jobs_by_level: dict[_Level, list[Job]] = {}
    for job in jobs:
        spec = job.spec
        team = context.teams.get(spec.team)
        cpus_in_use = context.inventory.cpus_by_team.get(spec.team, 0.0)
        is_in_fair_share = team is not None and (
            cpus_in_use + spec.cpus <= team.cpus + RESOURCE_EPSILON
        )
        level = _Level(-job.priority, not is_in_fair_share, spec.allows_spot)
        jobs_by_level.setdefault(level, []).append(job)
    return jobs_by_level


def _split_by_objective(
    jobs: list[Job], cpus: float, context: QueueOrderContext, now: MonotonicTime
) -> tuple[list[_WaitingWork], list[_WaitingWork]]:
    """Return the jobs with an objective still ahead, the nearest first, and the other jobs."""
    on_time: list[_WaitingWork] = []
    late: list[_WaitingWork] = []
    for job in jobs:
        waiting_cpus = (job.unplaced_count + job.enqueued_count) * job.spec.cpus
        work = _WaitingWork(job, waiting_cpus * context.expected_run_s(job) / cpus)
        starts = context.objectives.latest_start_times(job, context.expected_longest_run_s(job))
        latest_start_at = next((start for start in starts if start > now), None)
        if latest_start_at is None:
            late.append(work)
        else:
            work.latest_start_at = latest_start_at
            on_time.append(work)
    on_time.sort(key=lambda work: (work.latest_start_at, work.job.ready_at, work.job.id))
    return on_time, late


def _defer_largest(
    on_time: list[_WaitingWork], start_s: float, now: MonotonicTime
) -> tuple[list[_WaitingWork], float]:
    """Return the jobs to defer so that all others meet their objectives, and when these end.

    The first of the others begins `start_s` seconds from now. Their end is in seconds from now."""
    accepted: list[tuple[float, float, str, _WaitingWork]] = []  # heap with the most work first
    deferred: list[_WaitingWork] = []
    end_s = start_s
    for work in on_time:
        heapq.heappush(accepted, (-work.duration_s, work.job.ready_at, work.job.id, work))
        end_s += work.duration_s
        if now + end_s > work.latest_start_at:
            largest = heapq.heappop(accepted)[3]
            end_s -= largest.duration_s
            deferred.append(largest)
    return deferred, end_s


def _mark_deferred(on_time: list[_WaitingWork], late: list[_WaitingWork]) -> list[Job]:
    """Mark the late jobs as deferred and the others as not; return all in queue order."""
    for work in on_time:
        work.job.is_deferred = False
    for work in late:
        work.job.is_deferred = True
    ordered = [work.job for work in on_time if not work.job.is_deferred]
    ordered += [work.job for work in late]
    return ordered
