"""The order in which a planning pass serves the jobs that wait."""

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
    """What the order of the jobs depends on besides the jobs themselves."""

    inventory: MachineInventory
    teams: dict[str, Team]
    objectives: ServiceLevelObjectives
    # CPUs that jobs of a priority can use, by whether they may use spot machines.
    usable_cpus: Callable[[int, bool], float]
    expected_run_s: Callable[[Job], float]
    expected_longest_run_s: Callable[[Job], float]


class _Level(NamedTuple):
    """A group of jobs that is served before the next one; lower sorts first."""

    negated_priority: int
    exceeds_fair_share: bool
    allows_spot: bool


@dataclass(slots=True)
class _WaitingWork:
    """The waiting tasks of one job, within its level."""

    job: Job
    duration_s: float  # on all CPUs that the level can use
    latest_start_at: float = DISTANT_PAST  # of the nearest objective that can still be met


def order_jobs(jobs: list[Job], context: QueueOrderContext, now: MonotonicTime) -> list[Job]:
    """Return the jobs in the order in which a planning pass serves them, and set for each whether
    it is deferred.

    The order is by priority, then jobs of teams within their fair share, then jobs that can't use
    spot machines and so have fewer to choose from, then the next objective, then age.

    When more is asked than can be done, order of objectives alone would make everything late
    together. So each level is ordered by objective, and when one can't be met any more the job
    with the most work so far is deferred behind those that can be (the rule of Moore and Hodgson,
    which leaves the fewest late). What can be done is judged by the machines that a job may use:
    against the whole cluster, a crowd of jobs that need on-demand machines would seem to be in
    time until all of them are late.
    """
    levels = _group_by_level(jobs, context)
    ordered: list[Job] = []
    # CPU seconds asked for by earlier levels, by whether these may use spot machines.
    requested_cpu_s = {False: 0.0, True: 0.0}
    for level in sorted(levels):
        earlier_cpu_s = requested_cpu_s[False]
        if level.allows_spot:
            earlier_cpu_s += requested_cpu_s[True]
        cpus = max(1.0, context.usable_cpus(-level.negated_priority, level.allows_spot))
        on_time, late = _split_by_objective(levels[level], cpus, context, now)
        deferred, end_s = _defer_largest(on_time, earlier_cpu_s / cpus, now)
        late += deferred
        late.sort(key=lambda work: (work.duration_s, work.job.ready_at, work.job.id))
        ordered += _mark_deferred(on_time, late)
        late_s = sum(work.duration_s for work in late)
        requested_cpu_s[level.allows_spot] += end_s * cpus - earlier_cpu_s + late_s * cpus
    return ordered


def _group_by_level(jobs: list[Job], context: QueueOrderContext) -> dict[_Level, list[Job]]:
    levels: dict[_Level, list[Job]] = {}
    for job in jobs:
        spec = job.spec
        team = context.teams.get(spec.team)
        in_use = context.inventory.cpus_by_team.get(spec.team, 0.0)
        is_in_fair_share = team is not None and (in_use + spec.cpus <= team.cpus + RESOURCE_EPSILON)
        level = _Level(-job.priority, not is_in_fair_share, spec.allows_spot)
        levels.setdefault(level, []).append(job)
    return levels


def _split_by_objective(
    jobs: list[Job], cpus: float, context: QueueOrderContext, now: MonotonicTime
) -> tuple[list[_WaitingWork], list[_WaitingWork]]:
    """Return the jobs that have an objective ahead, the nearest first, and those that have none."""
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
    """Return the jobs to defer so that all others meet their objectives, and how many seconds from
    now those others end if the first begins in `start_s` seconds."""
    accepted: list[tuple[float, float, str, _WaitingWork]] = []  # a heap, the most work first
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
    """Mark the late jobs as deferred and the others as not; return all of them in their order."""
    for work in on_time:
        work.job.is_deferred = False
    for work in late:
        work.job.is_deferred = True
    ordered = [work.job for work in on_time if not work.job.is_deferred]
    ordered += [work.job for work in late]
    return ordered
