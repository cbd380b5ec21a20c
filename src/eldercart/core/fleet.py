"""The machines, what may run on each, and what their reports prove."""

from dataclasses import dataclass, field
from enum import IntEnum

from eldercart.core.jobs import Phase, Placement
from eldercart.units import NO_REPORT, MachineId, ReportOrder, Steady, TaskKey
from eldercart.wire.cloud import MachineType
from eldercart.wire.users import JobSpec


class Life(IntEnum):
    BOOTING = 0
    UP = 1
    LEAVING = 2  # a deletion has been asked for, or must be
    GONE = 3


@dataclass(slots=True, eq=False)
class Machine:
    id: MachineId
    type: MachineType
    zone: str
    spot: bool
    life: Life
    hired: Steady
    last_heard: Steady
    address: str = ""
    order: ReportOrder = NO_REPORT
    confirmed: bool = False  # has reported under this leader's epoch
    placed: dict[TaskKey, Placement] = field(default_factory=dict)
    queue: dict[TaskKey, Placement] = field(default_factory=dict)  # written ahead, never sent
    foreign: bool = False  # reports live tasks that no record knows
    free_cpus: float = 0.0
    free_gpus: float = 0.0
    free_memory: float = 0.0
    held_cpus: float = 0.0  # of the free room, what this pass keeps for jobs placed before
    held_gpus: float = 0.0
    held_memory: float = 0.0
    idle_since: Steady = Steady(0)
    draining: bool = False  # notice or quarantine: nothing new starts here
    quarantined: bool = False
    taken_at: Steady | None = None  # when the cloud takes it back, by its notice
    images: dict[str, float] = field(default_factory=dict)  # name -> GB, least recent first
    failed_jobs: set[str] = field(default_factory=set)
    paces: list[tuple[str, float]] = field(default_factory=list)  # run time / the job's median
    good_since_fault: int = 0
    refuse_until: Steady = Steady(-1e9)

    @property
    def usable(self) -> bool:
        return self.life is Life.UP and self.confirmed and not self.draining and not self.foreign

    @property
    def live(self) -> int:
        return sum(1 for p in self.placed.values() if p.phase is not Phase.ENDED)


class Fleet:
    """Owns the machines. Room counts everything that may still run."""

    def __init__(self) -> None:
        self.machines: dict[MachineId, Machine] = {}
        self._gone: dict[MachineId, None] = {}  # a late list may still name them
        self.team_cpus: dict[str, float] = {}
        self.team_gpus: dict[str, float] = {}

    def get(self, machine: MachineId) -> Machine | None:
        return self.machines.get(machine)

    def is_gone(self, machine: MachineId) -> bool:
        return machine in self._gone

    def add(
        self, id_: MachineId, type_: MachineType, zone: str, spot: bool, life: Life,
        hired: Steady, now: Steady,
    ) -> Machine:  # fmt: skip
        m = Machine(id_, type_, zone, spot, life, hired, now, idle_since=now)
        m.free_cpus, m.free_gpus, m.free_memory = type_.cpus, type_.gpus, type_.memory_gb
        self.machines[id_] = m
        return m

    def occupy(self, m: Machine, p: Placement) -> None:
        spec = p.job.spec
        m.placed[p.key] = p
        m.free_cpus -= spec.cpus
        m.free_gpus -= spec.gpus
        m.free_memory -= spec.memory_gb
        self.team_cpus[spec.team] = self.team_cpus.get(spec.team, 0.0) + spec.cpus
        self.team_gpus[spec.team] = self.team_gpus.get(spec.team, 0.0) + spec.gpus

    def release(self, m: Machine, p: Placement, now: Steady) -> None:
        """The task no longer takes room; it may still be listed as ended."""
        spec = p.job.spec
        m.free_cpus += spec.cpus
        m.free_gpus += spec.gpus
        m.free_memory += spec.memory_gb
        self.team_cpus[spec.team] -= spec.cpus
        self.team_gpus[spec.team] -= spec.gpus
        m.idle_since = now

    def enqueue(self, m: Machine, p: Placement) -> None:
        """Written ahead for room to come: launched by the report that shows the room."""
        m.queue[p.key] = p

    def dequeue(self, m: Machine, p: Placement) -> None:
        m.queue.pop(p.key, None)

    def clear_holds(self) -> None:
        for m in self.machines.values():
            m.held_cpus = m.held_gpus = m.held_memory = 0.0

    def hold(self, m: Machine, spec: JobSpec, number: int) -> None:
        m.held_cpus += spec.cpus * number
        m.held_gpus += spec.gpus * number
        m.held_memory += spec.memory_gb * number

    def forget(self, m: Machine, p: Placement) -> None:
        if m.placed.get(p.key) is p:
            del m.placed[p.key]

    def remove(self, m: Machine) -> None:
        """The cloud said 200 to its deletion: whatever was there is gone."""
        m.life = Life.GONE
        self.machines.pop(m.id, None)
        self._gone[m.id] = None
        while len(self._gone) > 5000:
            del self._gone[next(iter(self._gone))]

    def note_image(self, m: Machine, image: str, size_gb: float) -> None:
        m.images.pop(image, None)
        m.images[image] = size_gb
        total = sum(m.images.values())
        while total > m.type.cache_gb and len(m.images) > 1:
            oldest = next(iter(m.images))
            total -= m.images.pop(oldest)
