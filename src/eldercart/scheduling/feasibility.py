"""Which task goes where: order of jobs, choice of machines, and the limits that never give way."""

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from eldercart.cluster.inventory import EPS, Fleet, Machine
from eldercart.jobs.registry import Job, Phase, Placement
from eldercart.settings.platform import Team
from eldercart.units import FOREVER, MachineId, Steady
from eldercart.wire.cloud import MachineType
from eldercart.wire.users import JobSpec

UNKNOWN_ZONE = "?"


def fits_type(spec: JobSpec, kind: MachineType) -> bool:
    """Whether one task of the job fits an empty machine of that type, where it is offered."""
    return (
        (spec.types is None or kind.name in spec.types)
        and (spec.zone is None or spec.zone in kind.zones)
        and spec.cpus <= kind.cpus + EPS
        and spec.gpus <= kind.gpus + EPS
        and spec.memory_gb <= kind.memory_gb + EPS
    )


def never_runs(spec: JobSpec, types: dict[str, MachineType], teams: dict[str, Team]) -> str | None:
    """Why the job can never run (422), or None."""
    team = teams.get(spec.team)
    if team is None:
        return "unknown team"
    if team.cpus_max > 0 and spec.cpus > team.cpus_max + EPS:
        return "over the team's limit"
    if team.gpus_max > 0 and spec.gpus > team.gpus_max + EPS:
        return "over the team's limit"
    if not any(fits_type(spec, kind) for kind in types.values()):
        return "fits no allowed machine type"
    return None


def allowed(spec: JobSpec, m: Machine) -> bool:
    """The machine's type, zone and kind; these rules hold whatever the need."""
    return (
        (spec.spot or not m.spot)
        and (spec.types is None or m.type.name in spec.types)
        and (spec.zone is None or spec.zone == m.zone)
    )


def fits(spec: JobSpec, cpus: float, gpus: float, memory_gb: float) -> int:
    """How many tasks of this size fit into so much room."""
    n = 100_000
    if spec.cpus > 0:
        n = int((cpus + EPS) / spec.cpus)
        if n <= 0:
            return 0
    if spec.gpus > 0:
        n = min(n, int((gpus + EPS) / spec.gpus))
    if spec.memory_gb > 0:
        n = min(n, int((memory_gb + EPS) / spec.memory_gb))
    return max(0, n)


def room(spec: JobSpec, m: Machine) -> int:
    """Beside everything that may run there and what is reserved for jobs placed before."""
    return fits(
        spec,
        m.free_cpus - m.reserved_cpus,
        m.free_gpus - m.reserved_gpus,
        m.free_memory - m.reserved_memory,
    )


def room_soon(spec: JobSpec, m: Machine) -> int:
    """The same once everything that is being stopped has ended."""
    return fits(
        spec,
        m.free_cpus - m.reserved_cpus + m.leaving_cpus,
        m.free_gpus - m.reserved_gpus + m.leaving_gpus,
        m.free_memory - m.reserved_memory + m.leaving_memory,
    )


def team_room(spec: JobSpec, fleet: Fleet, teams: dict[str, Team]) -> int:
    """How many more tasks of the job its team's limits allow."""
    team = teams.get(spec.team)
    if team is None:
        return 0
    n = 100_000
    if team.cpus_max > 0 and spec.cpus > 0:
        left = team.cpus_max - fleet.team_cpus.get(spec.team, 0.0)
        n = min(n, int((left + EPS) / spec.cpus))
    if team.gpus_max > 0 and spec.gpus > 0:
        left = team.gpus_max - fleet.team_gpus.get(spec.team, 0.0)
        n = min(n, int((left + EPS) / spec.gpus))
    return max(0, n)


def over_limit(spec: JobSpec, fleet: Fleet, teams: dict[str, Team]) -> bool:
    """Whether all that may run of the team, this task among it, is more than its limit."""
    team = teams.get(spec.team)
    if team is None:
        return True
    cpus, gpus = fleet.team_cpus.get(spec.team, 0.0), fleet.team_gpus.get(spec.team, 0.0)
    return 0 < team.cpus_max < cpus - EPS or 0 < team.gpus_max < gpus - EPS


@dataclass(frozen=True, slots=True)
class Choice:
    """So many tasks of a job for one machine."""

    machine: Machine
    number: int


# Its preference, its name to make the order total, the machine, and how many tasks it has room for.
_Candidate = tuple[tuple[bool, float, float, float], MachineId, Machine, int]


def in_zones(job: Job, fleet: Fleet) -> dict[str, int]:
    """The job's tasks that may be running, by zone."""
    counts: dict[str, int] = {}
    for p in job.placements():
        if p.phase is not Phase.ENDED:
            m = fleet.get(p.machine)
            if m is not None:
                counts[m.zone] = counts.get(m.zone, 0) + 1
    return counts


def bound_to(job: Job, fleet: Fleet) -> str | None:
    """The zone that the job's other tasks leave it, as long as they are there."""
    if job.spec.zone is None and job.spec.together:
        zones = in_zones(job, fleet)
        return next(iter(zones)) if len(zones) == 1 and UNKNOWN_ZONE not in zones else None
    return job.spec.zone


def being_fetched(m: Machine, image: str) -> float:
    """GB of other images that tasks there wait for: fetched at once, they share the rate."""
    if not m.live:
        return 0.0
    found = {
        p.job.spec.image: p.job.spec.image_gb
        for p in m.placed.values()
        if p.phase < Phase.RUNNING and (not p.reported or p.phase is Phase.FETCHING)
    }
    return sum(gb for name, gb in found.items() if name != image)


def preference(
    spec: JobSpec, m: Machine, prefers_ordinary: bool = False
) -> tuple[bool, float, float, float]:
    """Lower is better. Ordinary machines are left for jobs that may use nothing else; then a
    cached image (as reports and starts have shown) or the shortest fetch; then the cheaper type,
    so that the dearer ones come free and are returned; then the fullest machine, so that whole
    machines come free. What a spot machine has taken with it is long, or it would have ended:
    it would be lost again, so it goes the other way round."""
    kind = m.type
    fetch = 0.0
    if spec.image not in m.images:
        fetch = (spec.image_gb + being_fetched(m, spec.image)) / max(kind.fetch_gb_per_s, 1e-3)
    price = kind.spot_price if m.spot else kind.price
    return (
        m.spot if prefers_ordinary else spec.spot and not m.spot,
        fetch,
        price / max(kind.cpus, 1.0),
        m.free_cpus,
    )


def choose(
    job: Job,
    wanted: int,
    machines: Iterable[Machine],
    fleet: Fleet,
    teams: dict[str, Team],
    now: Steady,
) -> list[Choice]:
    """Machines for at most `wanted` tasks of the job, the preferred ones first, within its team's
    limits and its rules on zones."""
    spec = job.spec
    wanted = min(wanted, team_room(spec, fleet, teams))
    if wanted <= 0:
        return []
    candidates = [
        (preference(spec, m, job.prefers_ordinary), m.id, m, n)
        for m in machines
        if m.refuse_until <= now
        and allowed(spec, m)
        and not job.avoids(m.id, now)
        and (n := room(spec, m)) > 0
    ]
    if not candidates:
        return []
    candidates.sort(key=lambda c: c[:2])
    zones: dict[str, int] = {}
    if spec.together or spec.spread:
        zones = in_zones(job, fleet)
        if UNKNOWN_ZONE in zones:
            # After a change of leader: where some of its tasks are comes with the next reports.
            return []
    if spec.together:
        # Whatever may still run counts, also where its machine is given up: it may go on.
        zone = next(iter(zones)) if zones else _roomiest_zone(candidates, wanted)
        candidates = [c for c in candidates if c[2].zone == zone]
    zone_limit = (spec.tasks + 1) // 2 if spec.spread else None
    return _first_choices(candidates, wanted, zones, zone_limit)


def _roomiest_zone(candidates: list[_Candidate], wanted: int) -> str:
    """The zone with room for the most of the wanted tasks."""
    capacity: dict[str, int] = {}
    for _, _, m, number in candidates:
        capacity[m.zone] = capacity.get(m.zone, 0) + number
    return max(capacity, key=lambda zone: (min(capacity[zone], wanted), zone))


def _first_choices(
    candidates: list[_Candidate], wanted: int, zones: dict[str, int], zone_limit: int | None
) -> list[Choice]:
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
        chosen.append(Choice(m, take))
        wanted -= take
        if wanted <= 0:
            break
    return chosen


@dataclass(frozen=True, slots=True)
class Promises:
    """What the users of a class were promised, in seconds from submission."""

    waits: dict[str, tuple[float, ...]]
    finishes: dict[str, tuple[float, ...]]
    deadlines: dict[str, tuple[float, ...]] = field(default_factory=dict)  # times the job's own

    def start_dues(self, job: Job, longest_s: float) -> list[float]:
        """Until when the job should have been started, the nearest first."""
        spec = job.spec
        # A deadline counts from the submission, all else from when the job could start.
        dues = [job.ready_at + wait for wait in self.waits.get(spec.klass, ())]
        done_by = [job.ready_at + within for within in self.finishes.get(spec.klass, ())]
        if spec.deadline_s is not None:
            times = self.deadlines.get(spec.klass, (1.0,))
            done_by += [job.arrived + t * spec.deadline_s for t in times]
        if job.due < FOREVER:
            done_by.append(job.due)  # for those that wait for it
        dues += [by - longest_s for by in done_by]
        return sorted(dues)

    def preempts_from(self, job: Job, lead_s: float, patience_s: float) -> float:
        """From when on a waiting job may have others stopped. Until its promise comes near it
        takes what ends by itself: stopped work is lost, and most would have ended soon."""
        waits = self.waits.get(job.spec.klass)
        if not waits:
            return job.ready_at + patience_s
        return job.ready_at + min(waits[0] - lead_s, 0.55 * waits[0])


def order_jobs(
    jobs: list[Job],
    fleet: Fleet,
    teams: dict[str, Team],
    promises: Promises,
    capacity: Callable[[int, bool], float],
    run_s: Callable[[Job], float],
    longest_s: Callable[[Job], float],
    now: Steady,
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
            fleet.team_cpus.get(spec.team, 0.0) + spec.cpus <= team.cpus + EPS
        )
        levels.setdefault((-job.priority, not guaranteed, spec.spot), []).append(job)
    ordered: list[Job] = []
    begun = {False: 0.0, True: 0.0}  # CPU seconds asked for by the levels above, per kind
    for level in sorted(levels):
        spot = level[2]
        cpus = max(1.0, capacity(-level[0], spot))
        dated: list[tuple[float, float, str, float, Job]] = []
        late: list[tuple[float, float, str, Job]] = []
        for job in levels[level]:
            seconds = (job.pending + job.queued) * job.spec.cpus * run_s(job) / cpus
            dues = promises.start_dues(job, longest_s(job))
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
            dated_entry[4].late = False
        for late_entry in late:
            late_entry[3].late = True
        work_here = total * cpus - above + sum(late_entry[0] for late_entry in late) * cpus
        begun[spot] += work_here
    return ordered


def cheapest_victims(job: Job, m: Machine, now: Steady) -> tuple[float, list[Placement]] | None:
    """The work lost by making room for one task there, and the tasks to stop for it: those of
    lower priority that lose the least."""
    spec = job.spec
    candidates = [
        (lost_work(p, now), p.key, p)
        for p in m.placed.values()
        if max(p.priority, p.job.priority) < job.priority  # it may be needed more since
        if not (p.stopping or p.kept) and p.phase is not Phase.ENDED
    ]
    candidates.sort(key=lambda c: c[:2])
    cpus = m.free_cpus - m.reserved_cpus + m.leaving_cpus
    gpus = m.free_gpus - m.reserved_gpus + m.leaving_gpus
    memory = m.free_memory - m.reserved_memory + m.leaving_memory
    victims: list[Placement] = []
    lost = 0.0
    for work, _, p in candidates:
        if fits(spec, cpus, gpus, memory):
            break
        cpus += p.job.spec.cpus
        gpus += p.job.spec.gpus
        memory += p.job.spec.memory_gb
        victims.append(p)
        lost += work
    return (lost, victims) if fits(spec, cpus, gpus, memory) else None


def lost_work(p: Placement, now: Steady) -> float:
    """CPU seconds of work that stopping the task now would lose."""
    ran = p.ran(now)
    if p.job.spec.checkpoint_s > 0:
        ran = min(ran, p.job.spec.checkpoint_s)
    # Jobs that will be late anyway lose less by it; the constant stands for starting again.
    return (ran + 1.5) * p.job.spec.cpus * (0.7 if p.job.late else 1.0)
