"""Which task goes where: order of jobs, choice of machines, and the limits that never give way."""

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from eldercart.cluster.inventory import RESOURCE_EPSILON, Machine, MachineInventory
from eldercart.jobs.job import Job, Placement, PlacementPhase
from eldercart.settings.platform import Team
from eldercart.units import DISTANT_FUTURE, MachineId, MonotonicTime
from eldercart.wire.cloud import MachineType
from eldercart.wire.users import JobSpec

UNKNOWN_ZONE = "?"


def fits_machine_type(spec: JobSpec, kind: MachineType) -> bool:
    """Whether one task of the job fits an empty machine of that type, where it is offered."""
    return (
        (spec.machine_types is None or kind.name in spec.machine_types)
        and (spec.zone is None or spec.zone in kind.zones)
        and spec.cpus <= kind.cpus + RESOURCE_EPSILON
        and spec.gpus <= kind.gpus + RESOURCE_EPSILON
        and spec.memory_gb <= kind.memory_gb + RESOURCE_EPSILON
    )


def rejection_reason(
    spec: JobSpec, types: dict[str, MachineType], teams: dict[str, Team]
) -> str | None:
    """Why the job can never run (422), or None."""
    team = teams.get(spec.team)
    if team is None:
        return "unknown team"
    if team.cpus_max > 0 and spec.cpus > team.cpus_max + RESOURCE_EPSILON:
        return "over the team's limit"
    if team.gpus_max > 0 and spec.gpus > team.gpus_max + RESOURCE_EPSILON:
        return "over the team's limit"
    if not any(fits_machine_type(spec, kind) for kind in types.values()):
        return "fits no allowed machine type"
    return None


def is_feasible(spec: JobSpec, m: Machine) -> bool:
    """The machine's type, zone and kind; these rules hold whatever the need."""
    return (
        (spec.allows_spot or not m.is_spot)
        and (spec.machine_types is None or m.type.name in spec.machine_types)
        and (spec.zone is None or spec.zone == m.zone)
    )


def count_fitting(spec: JobSpec, cpus: float, gpus: float, memory_gb: float) -> int:
    """How many tasks of this size fit into so much room."""
    n = 100_000
    if spec.cpus > 0:
        n = int((cpus + RESOURCE_EPSILON) / spec.cpus)
        if n <= 0:
            return 0
    if spec.gpus > 0:
        n = min(n, int((gpus + RESOURCE_EPSILON) / spec.gpus))
    if spec.memory_gb > 0:
        n = min(n, int((memory_gb + RESOURCE_EPSILON) / spec.memory_gb))
    return max(0, n)


def capacity_for(spec: JobSpec, m: Machine) -> int:
    """Beside everything that may run there and what is reserved for jobs placed before."""
    return count_fitting(
        spec,
        m.free_cpus - m.reserved_cpus,
        m.free_gpus - m.reserved_gpus,
        m.free_memory_gb - m.reserved_memory_gb,
    )


def capacity_after_terminations(spec: JobSpec, m: Machine) -> int:
    """The same once everything that is being stopped has ended."""
    return count_fitting(
        spec,
        m.free_cpus - m.reserved_cpus + m.terminating_cpus,
        m.free_gpus - m.reserved_gpus + m.terminating_gpus,
        m.free_memory_gb - m.reserved_memory_gb + m.terminating_memory_gb,
    )


def quota_headroom(spec: JobSpec, fleet: MachineInventory, teams: dict[str, Team]) -> int:
    """How many more tasks of the job its team's limits allow."""
    team = teams.get(spec.team)
    if team is None:
        return 0
    n = 100_000
    if team.cpus_max > 0 and spec.cpus > 0:
        left = team.cpus_max - fleet.cpus_by_team.get(spec.team, 0.0)
        n = min(n, int((left + RESOURCE_EPSILON) / spec.cpus))
    if team.gpus_max > 0 and spec.gpus > 0:
        left = team.gpus_max - fleet.gpus_by_team.get(spec.team, 0.0)
        n = min(n, int((left + RESOURCE_EPSILON) / spec.gpus))
    return max(0, n)


def exceeds_quota(spec: JobSpec, fleet: MachineInventory, teams: dict[str, Team]) -> bool:
    """Whether all that may run of the team, this task among it, is more than its limit."""
    team = teams.get(spec.team)
    if team is None:
        return True
    cpus, gpus = fleet.cpus_by_team.get(spec.team, 0.0), fleet.gpus_by_team.get(spec.team, 0.0)
    return (
        0 < team.cpus_max < cpus - RESOURCE_EPSILON or 0 < team.gpus_max < gpus - RESOURCE_EPSILON
    )


@dataclass(frozen=True, slots=True)
class Assignment:
    """So many tasks of a job for one machine."""

    machine: Machine
    task_count: int


# Its preference, its name to make the order total, the machine, and how many tasks it has room for.
_Candidate = tuple[tuple[bool, float, float, float], MachineId, Machine, int]


def tasks_by_zone(job: Job, fleet: MachineInventory) -> dict[str, int]:
    """The job's tasks that may be running, by zone."""
    counts: dict[str, int] = {}
    for p in job.placements():
        if p.phase is not PlacementPhase.ENDED:
            m = fleet.get(p.machine_id)
            if m is not None:
                counts[m.zone] = counts.get(m.zone, 0) + 1
    return counts


def required_zone(job: Job, fleet: MachineInventory) -> str | None:
    """The zone that the job's other tasks leave it, as long as they are there."""
    if job.spec.zone is None and job.spec.single_zone:
        zones = tasks_by_zone(job, fleet)
        return next(iter(zones)) if len(zones) == 1 and UNKNOWN_ZONE not in zones else None
    return job.spec.zone


def pending_fetch_gb(m: Machine, image: str) -> float:
    """GB of other images that tasks there wait for: fetched at once, they share the rate."""
    if not m.live_task_count:
        return 0.0
    found = {
        p.job.spec.image: p.job.spec.image_gb
        for p in m.placements.values()
        if p.phase < PlacementPhase.RUNNING
        and (not p.has_been_reported or p.phase is PlacementPhase.FETCHING)
    }
    return sum(gb for name, gb in found.items() if name != image)


def score(
    spec: JobSpec, m: Machine, prefers_ordinary: bool = False
) -> tuple[bool, float, float, float]:
    """Lower is better. Ordinary machines are left for jobs that may use nothing else; then a
    cached image (as reports and starts have shown) or the shortest fetch; then the cheaper type,
    so that the dearer ones come free and are returned; then the fullest machine, so that whole
    machines come free. What a spot machine has taken with it is long, or it would have ended:
    it would be lost again, so it goes the other way round."""
    kind = m.type
    fetch = 0.0
    if spec.image not in m.cached_images:
        fetch = (spec.image_gb + pending_fetch_gb(m, spec.image)) / max(kind.fetch_gb_per_s, 1e-3)
    price = kind.spot_price if m.is_spot else kind.price
    return (
        m.is_spot if prefers_ordinary else spec.allows_spot and not m.is_spot,
        fetch,
        price / max(kind.cpus, 1.0),
        m.free_cpus,
    )


def select_machines(
    job: Job,
    wanted: int,
    machines: Iterable[Machine],
    fleet: MachineInventory,
    teams: dict[str, Team],
    now: MonotonicTime,
) -> list[Assignment]:
    """Machines for at most `wanted` tasks of the job, the preferred ones first, within its team's
    limits and its rules on zones."""
    spec = job.spec
    wanted = min(wanted, quota_headroom(spec, fleet, teams))
    if wanted <= 0:
        return []
    candidates = [
        (score(spec, m, job.prefers_on_demand), m.id, m, n)
        for m in machines
        if m.launch_backoff_until <= now
        and is_feasible(spec, m)
        and not job.avoids_machine(m.id, now)
        and (n := capacity_for(spec, m)) > 0
    ]
    if not candidates:
        return []
    candidates.sort(key=lambda c: c[:2])
    zones: dict[str, int] = {}
    if spec.single_zone or spec.spread:
        zones = tasks_by_zone(job, fleet)
        if UNKNOWN_ZONE in zones:
            # After a change of leader: where some of its tasks are comes with the next reports.
            return []
    if spec.single_zone:
        # Whatever may still run counts, also where its machine is given up: it may go on.
        zone = next(iter(zones)) if zones else _zone_with_most_capacity(candidates, wanted)
        candidates = [c for c in candidates if c[2].zone == zone]
    zone_limit = (spec.task_count + 1) // 2 if spec.spread else None
    return _assign_in_order(candidates, wanted, zones, zone_limit)


def _zone_with_most_capacity(candidates: list[_Candidate], wanted: int) -> str:
    """The zone with room for the most of the wanted tasks."""
    capacity: dict[str, int] = {}
    for _, _, m, number in candidates:
        capacity[m.zone] = capacity.get(m.zone, 0) + number
    return max(capacity, key=lambda zone: (min(capacity[zone], wanted), zone))


def _assign_in_order(
    candidates: list[_Candidate], wanted: int, zones: dict[str, int], zone_limit: int | None
) -> list[Assignment]:
    """The first candidates that hold the wanted tasks, with at most `zone_limit` tasks in a zone,
    those that are there already (`zones`) among them."""
    chosen = []
    for _, _, m, number in candidates:
        take = min(number, wanted)
        if zone_limit is not None:
            take = min(take, zone_limit - zones.get(m.zone, 0))
            if take <= 0:
                continue
            zones[m.zone] = zones.get(m.zone, 0) + take
        chosen.append(Assignment(m, take))
        wanted -= take
        if wanted <= 0:
            break
    return chosen


@dataclass(frozen=True, slots=True)
class ServiceLevelObjectives:
    """What the users of a class were promised, in seconds from submission."""

    start_within_s: dict[str, tuple[float, ...]]
    finish_within_s: dict[str, tuple[float, ...]]
    deadline_factors: dict[str, tuple[float, ...]] = field(
        default_factory=dict
    )  # times the job's own

    def latest_start_times(self, job: Job, longest_s: float) -> list[float]:
        """Until when the job should have been started, the nearest first."""
        spec = job.spec
        # A deadline counts from the submission, all else from when the job could start.
        dues = [job.ready_at + wait for wait in self.start_within_s.get(spec.job_class, ())]
        done_by = [job.ready_at + within for within in self.finish_within_s.get(spec.job_class, ())]
        if spec.deadline_s is not None:
            times = self.deadline_factors.get(spec.job_class, (1.0,))
            done_by += [job.submitted_at + t * spec.deadline_s for t in times]
        if job.deadline_at < DISTANT_FUTURE:
            done_by.append(job.deadline_at)  # for those that wait for it
        dues += [by - longest_s for by in done_by]
        return sorted(dues)

    def preemption_allowed_at(self, job: Job, lead_s: float, patience_s: float) -> float:
        """From when on a waiting job may have others stopped. Until its promise comes near it
        takes what ends by itself: stopped work is lost, and most would have ended soon."""
        waits = self.start_within_s.get(job.spec.job_class)
        if not waits:
            return job.ready_at + patience_s
        return job.ready_at + min(waits[0] - lead_s, 0.55 * waits[0])


def order_jobs(
    jobs: list[Job],
    fleet: MachineInventory,
    teams: dict[str, Team],
    promises: ServiceLevelObjectives,
    capacity: Callable[[int, bool], float],
    run_s: Callable[[Job], float],
    longest_s: Callable[[Job], float],
    now: MonotonicTime,
) -> list[Job]:
    """Priority, then the team's guarantee, then those with fewer machines to choose from, then the
    next promise, then age.

    When more is asked than can be done, order of promises alone would make everything late
    together. So each level is ordered by promise, and when one cannot be kept any more the
    job with the most work so far is deferred behind those that can be (the rule of Moore and
    Hodgson, which leaves the fewest late). What can be done is judged by the machines that a job
    may use: against the whole fleet, a crowd of jobs that need ordinary machines would seem to
    be in time until all of them are late. `capacity(priority, spot)` tells the CPUs."""
    levels: dict[tuple[int, bool, bool], list[Job]] = {}
    for job in jobs:
        spec = job.spec
        team = teams.get(spec.team)
        guaranteed = team is not None and (
            fleet.cpus_by_team.get(spec.team, 0.0) + spec.cpus <= team.cpus + RESOURCE_EPSILON
        )
        levels.setdefault((-job.priority, not guaranteed, spec.allows_spot), []).append(job)
    ordered: list[Job] = []
    begun = {False: 0.0, True: 0.0}  # CPU seconds asked for by the levels above, per kind
    for level in sorted(levels):
        spot = level[2]
        cpus = max(1.0, capacity(-level[0], spot))
        dated: list[tuple[float, float, str, float, Job]] = []
        late: list[tuple[float, float, str, Job]] = []
        for job in levels[level]:
            seconds = (job.unplaced_count + job.enqueued_count) * job.spec.cpus * run_s(job) / cpus
            dues = promises.latest_start_times(job, longest_s(job))
            due = next((d for d in dues if d > now), None)
            if due is None:
                late.append((seconds, job.ready_at, job.id, job))
            else:
                dated.append((due, job.ready_at, job.id, seconds, job))
        dated.sort(key=lambda entry: entry[:3])
        kept: list[tuple[float, float, str, Job]] = []  # a heap, the most work first
        deferred: set[str] = set()
        above = begun[False] + (begun[True] if spot else 0.0)
        total = above / cpus
        for when, began, name, work, candidate in dated:
            heapq.heappush(kept, (-work, began, name, candidate))
            total += work
            if now + total > when:
                dropped = heapq.heappop(kept)
                total += dropped[0]
                late.append((-dropped[0], dropped[1], dropped[2], dropped[3]))
                deferred.add(dropped[2])
        ordered += [e[4] for e in dated if e[2] not in deferred]
        late.sort(key=lambda e: e[:3])
        ordered += [e[3] for e in late]
        for dated_entry in dated:
            dated_entry[4].is_deferred = False
        for late_entry in late:
            late_entry[3].is_deferred = True
        work_here = total * cpus - above + sum(late_entry[0] for late_entry in late) * cpus
        begun[spot] += work_here
    return ordered


def select_victims(
    job: Job, m: Machine, now: MonotonicTime
) -> tuple[float, list[Placement]] | None:
    """The work lost by making room for one task there, and the tasks to stop for it: those of
    lower priority that lose the least."""
    spec = job.spec
    candidates = [
        (preemption_cost(p, now), p.key, p)
        for p in m.placements.values()
        if max(p.priority_at_placement, p.job.priority)
        < job.priority  # it may be needed more since
        if not (p.is_terminating or p.is_exempt_from_preemption)
        and p.phase is not PlacementPhase.ENDED
    ]
    candidates.sort(key=lambda c: c[:2])
    cpus = m.free_cpus - m.reserved_cpus + m.terminating_cpus
    gpus = m.free_gpus - m.reserved_gpus + m.terminating_gpus
    memory = m.free_memory_gb - m.reserved_memory_gb + m.terminating_memory_gb
    victims: list[Placement] = []
    lost = 0.0
    for work, _, p in candidates:
        if count_fitting(spec, cpus, gpus, memory):
            break
        cpus += p.job.spec.cpus
        gpus += p.job.spec.gpus
        memory += p.job.spec.memory_gb
        victims.append(p)
        lost += work
    return (lost, victims) if count_fitting(spec, cpus, gpus, memory) else None


def preemption_cost(p: Placement, now: MonotonicTime) -> float:
    """CPU seconds of work that stopping the task now would lose."""
    ran = p.run_time_s(now)
    if p.job.spec.checkpoint_interval_s > 0:
        ran = min(ran, p.job.spec.checkpoint_interval_s)
    # Jobs that will be late anyway lose less by it; the constant stands for starting again.
    return (ran + 1.5) * p.job.spec.cpus * (0.7 if p.job.is_deferred else 1.0)
