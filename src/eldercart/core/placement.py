"""Which task goes where: order of jobs, choice of machines, and the limits that never give way."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from eldercart.core.fleet import Fleet, Machine
from eldercart.core.jobs import Job, Phase
from eldercart.settings.platform import Team
from eldercart.units import Steady
from eldercart.wire.cloud import MachineType
from eldercart.wire.users import JobSpec

EPS = 1e-6


def fits_type(spec: JobSpec, kind: MachineType) -> bool:
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


def room(spec: JobSpec, m: Machine) -> int:
    """How many tasks of this size fit beside everything that may run there."""
    n = 100_000
    if spec.cpus > 0:
        n = min(n, int((m.free_cpus + EPS) / spec.cpus))
    if spec.gpus > 0:
        n = min(n, int((m.free_gpus + EPS) / spec.gpus))
    if spec.memory_gb > 0:
        n = min(n, int((m.free_memory + EPS) / spec.memory_gb))
    return max(0, n)


def team_room(spec: JobSpec, fleet: Fleet, teams: dict[str, Team]) -> int:
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


@dataclass(frozen=True, slots=True)
class Choice:
    machine: Machine
    number: int


def in_zones(job: Job, fleet: Fleet) -> dict[str, int]:
    counts: dict[str, int] = {}
    for p in job.placements():
        if p.phase is not Phase.ENDED:
            m = fleet.get(p.machine)
            if m is not None:
                counts[m.zone] = counts.get(m.zone, 0) + 1
    return counts


def preference(spec: JobSpec, m: Machine) -> tuple[bool, float, float]:
    """Lower is better. Ordinary machines are left for jobs that may use nothing else; then a
    cached image (as reports and starts have shown); then the fullest machine, so that whole
    machines come free."""
    fetch = 0.0 if spec.image in m.images else spec.image_gb / max(m.type.fetch_gb_per_s, 1e-3)
    return (spec.spot and not m.spot, fetch, m.free_cpus)


def choose(
    job: Job,
    wanted: int,
    machines: Iterable[Machine],
    fleet: Fleet,
    teams: dict[str, Team],
    now: Steady,
    usable: Callable[[Machine], bool] | None = None,
) -> list[Choice]:
    spec = job.spec
    wanted = min(wanted, team_room(spec, fleet, teams))
    if wanted <= 0:
        return []
    candidates = [
        (preference(spec, m), m.id, m, n)
        for m in machines
        if m.refuse_until <= now
        and allowed(spec, m)
        and m.id not in job.bad_machines
        and (n := room(spec, m)) > 0
        and (usable is None or usable(m))
    ]
    if not candidates:
        return []
    candidates.sort(key=lambda c: c[:2])
    zone_limit: int | None = None
    zones: dict[str, int] = {}
    if spec.together or spec.spread:
        zones = in_zones(job, fleet)
    if spec.together:
        if zones:
            only = next(iter(zones))
        else:
            capacity: dict[str, int] = {}
            for _, _, m, n in candidates:
                capacity[m.zone] = capacity.get(m.zone, 0) + n
            only = max(capacity, key=lambda z: (min(capacity[z], wanted), z))
        candidates = [c for c in candidates if c[2].zone == only]
    if spec.spread:
        zone_limit = (spec.tasks + 1) // 2
    chosen = []
    for _, _, m, n in candidates:
        take = min(n, wanted)
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


def order_key(job: Job, fleet: Fleet, teams: dict[str, Team], now: Steady) -> tuple[float, ...]:
    """Priority, then the team's guarantee, then slack to the deadline, then age."""
    spec = job.spec
    team = teams.get(spec.team)
    guaranteed = team is not None and (
        fleet.team_cpus.get(spec.team, 0.0) + spec.cpus <= team.cpus + EPS
    )
    due = job.deadline()
    # Past one and a half times its deadline a job gains nothing from haste.
    late = spec.deadline_s is not None and now > job.arrived + 1.5 * spec.deadline_s
    slack = due - spec.estimate_s
    return (-spec.priority, late, not guaranteed, slack, job.arrived)
