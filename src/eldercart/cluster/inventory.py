"""The machines, what may run on each, and what their reports prove.

The sums over machines are kept as tasks come and go, not added up again: a pass over everything at
each report or plan is what a leader of hundreds of machines has no time for.
"""

from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from eldercart.jobs.registry import Phase, Placement
from eldercart.units import (
    CLOCK_ZERO,
    NEVER,
    NO_REPORT,
    NO_SESSION,
    JobId,
    MachineId,
    NodeId,
    ReportOrder,
    Session,
    Steady,
    TaskKey,
)
from eldercart.wire.cloud import MachineType
from eldercart.wire.users import JobSpec

EPS = 1e-6
# Deleted machines that are remembered: so many, and more where the fleet is larger.
DELETED_KEPT_LEAST, DELETED_KEPT_FLEETS = 5000, 4


class MachineState(IntEnum):
    """Where a machine is between its rental and its deletion."""

    BOOTING = 0
    UP = 1
    LEAVING = 2  # a deletion has been asked for, or must be
    DELETED = 3


class Pace(NamedTuple):
    """How long a task ran on a machine, compared with the others of its job."""

    job: JobId
    ratio: float  # run time / the median of the job's run times


@dataclass(slots=True, eq=False)
class Machine:
    """One machine. Only `Fleet` changes its sums of room; CPUs and GPUs in units, memory in GB."""

    id: MachineId
    type: MachineType
    zone: str
    spot: bool
    state: MachineState
    rented_at: Steady
    last_heard: Steady
    address: str = ""
    relay: NodeId | None = None  # the node that heard it last
    order: ReportOrder = NO_REPORT
    confirmed: bool = False  # has reported under this leader's epoch
    placed: dict[TaskKey, Placement] = field(default_factory=dict)
    queue: dict[TaskKey, Placement] = field(default_factory=dict)  # written ahead, never sent
    queued_cpus: float = 0.0
    live: int = 0  # placed and not ended
    foreign: bool = False  # reports live tasks that no record knows
    free_cpus: float = 0.0
    free_gpus: float = 0.0
    free_memory: float = 0.0
    reserved_cpus: float = 0.0  # of the free room, reserved in this pass for jobs placed before
    reserved_gpus: float = 0.0
    reserved_memory: float = 0.0
    leaving_cpus: float = 0.0  # taken by tasks that are being stopped
    leaving_gpus: float = 0.0
    leaving_memory: float = 0.0
    by_priority: dict[int, float] = field(default_factory=dict)  # CPUs placed, not being stopped
    idle_since: Steady = CLOCK_ZERO
    draining: bool = False  # notice or quarantine: nothing new starts here
    quarantined: bool = False
    quarantined_at: Steady = CLOCK_ZERO
    taken_at: Steady | None = None  # when the cloud takes it back, by its notice
    images: dict[str, float] = field(default_factory=dict)  # name -> GB, least recent first
    failed_jobs: set[JobId] = field(default_factory=set)
    paces: list[Pace] = field(default_factory=list)  # of the last tasks done here
    good_since_fault: int = 0
    refuse_until: Steady = NEVER
    # Whether it carries out commands; see `health.Responsiveness`.
    ignored_answers: int = 0
    ignored_since: Steady = CLOCK_ZERO
    old_epoch: int = 0  # reports that showed an older epoch although one was answered
    undelivered: bool = False  # the last answer surely came too late
    # Whether it was asked directly, because nothing was heard of it, and answered.
    probed: Steady = NEVER
    shown: Steady = NEVER
    # Direct commands: when the last one went out, and the session that the worker showed then.
    ordered: Steady = NEVER
    session: Session = NO_SESSION
    wanted: bool = False

    @property
    def usable(self) -> bool:
        """Whether new tasks may start here."""
        return (
            self.state is MachineState.UP
            and self.confirmed
            and not self.draining
            and not self.foreign
        )

    def being_cancelled(self) -> list[Placement]:
        """What may still run here of cancelled jobs."""
        return [p for p in self.placed.values() if is_being_cancelled(p)]


def is_being_cancelled(p: Placement) -> bool:
    """Whether the task was told to stop because of a cancellation and is not over yet."""
    return p.stopping and p.job.cancelled and p.phase is not Phase.ENDED


class Fleet:
    """Owns the machines. Room counts everything that may still run."""

    def __init__(self) -> None:
        """No machines yet."""
        self.machines: dict[MachineId, Machine] = {}
        self._deleted: dict[MachineId, None] = {}  # a late list or report may still name them
        self._largest = 0  # number of machines there have been at once
        self.team_cpus: dict[str, float] = {}
        self.team_gpus: dict[str, float] = {}
        self.used: dict[int, float] = {}  # CPUs placed, by priority
        self.ordinary_used = 0.0  # CPUs of jobs that may use nothing else, on ordinary machines
        self.queues: dict[MachineId, Machine] = {}  # machines with tasks written ahead
        self._with_reservations: list[Machine] = []
        self._recalled: dict[MachineId, dict[str, float]] = {}  # images, by an earlier leader

    def get(self, machine: MachineId) -> Machine | None:
        """The machine, unless it is gone or was never heard of."""
        return self.machines.get(machine)

    def is_deleted(self, machine: MachineId) -> bool:
        """Whether the machine was deleted, as far back as is remembered."""
        return machine in self._deleted

    def add(
        self,
        id_: MachineId,
        type_: MachineType,
        zone: str,
        spot: bool,
        state: MachineState,
        rented_at: Steady,
        now: Steady,
    ) -> Machine:
        """A machine that was rented, listed or reported; its room is that of its type."""
        m = Machine(id_, type_, zone, spot, state, rented_at, now, idle_since=now)
        m.free_cpus, m.free_gpus, m.free_memory = type_.cpus, type_.gpus, type_.memory_gb
        m.images = self._recalled.pop(id_, {})
        self.machines[id_] = m
        return m

    def recall_images(self, machine: MachineId, images: dict[str, float]) -> None:
        """What an earlier leader knew of the machine's cache."""
        self._recalled[machine] = images

    def describe(self, m: Machine, type_: MachineType, zone: str, spot: bool) -> None:
        """The report, or a new catalogue, knows better what the machine is."""
        m.free_cpus += type_.cpus - m.type.cpus
        m.free_gpus += type_.gpus - m.type.gpus
        m.free_memory += type_.memory_gb - m.type.memory_gb
        if spot is not m.spot:
            bound = sum(
                p.job.spec.cpus
                for p in m.placed.values()
                if p.phase is not Phase.ENDED and not p.job.spec.spot
            )
            self.ordinary_used += -bound if spot else bound
        m.type, m.zone, m.spot = type_, zone, spot

    def occupy(self, m: Machine, p: Placement) -> None:
        """The task takes room on the machine from now on."""
        spec = p.job.spec
        p.priority = p.job.priority  # which may change meanwhile; the sums must not
        m.placed[p.key] = p
        m.live += 1
        m.free_cpus -= spec.cpus
        m.free_gpus -= spec.gpus
        m.free_memory -= spec.memory_gb
        if p.stopping:
            self._leave(m, spec, 1)
        else:
            m.by_priority[p.priority] = m.by_priority.get(p.priority, 0.0) + spec.cpus
        self.used[p.priority] = self.used.get(p.priority, 0.0) + spec.cpus
        self.team_cpus[spec.team] = self.team_cpus.get(spec.team, 0.0) + spec.cpus
        self.team_gpus[spec.team] = self.team_gpus.get(spec.team, 0.0) + spec.gpus
        if not spec.spot and not m.spot:
            self.ordinary_used += spec.cpus

    def release(self, m: Machine, p: Placement, now: Steady) -> None:
        """The task no longer takes room; it may still be listed as ended."""
        spec = p.job.spec
        m.live -= 1
        m.free_cpus += spec.cpus
        m.free_gpus += spec.gpus
        m.free_memory += spec.memory_gb
        if p.stopping:
            self._leave(m, spec, -1)
        else:
            m.by_priority[p.priority] -= spec.cpus
        self.used[p.priority] -= spec.cpus
        self.team_cpus[spec.team] -= spec.cpus
        self.team_gpus[spec.team] -= spec.gpus
        if not spec.spot and not m.spot:
            self.ordinary_used -= spec.cpus
        m.idle_since = now

    def stopping(self, m: Machine | None, p: Placement) -> None:
        """The task was told to stop, or is about to be."""
        if p.stopping:
            return
        p.stopping = True
        if m is not None and m.placed.get(p.key) is p and p.phase is not Phase.ENDED:
            spec = p.job.spec
            self._leave(m, spec, 1)
            m.by_priority[p.priority] -= spec.cpus

    def _leave(self, m: Machine, spec: JobSpec, sign: int) -> None:
        m.leaving_cpus += sign * spec.cpus
        m.leaving_gpus += sign * spec.gpus
        m.leaving_memory += sign * spec.memory_gb

    def enqueue(self, m: Machine, p: Placement) -> None:
        """Written ahead for room to come: launched by the report that shows the room."""
        m.queue[p.key] = p
        m.queued_cpus += p.job.spec.cpus
        self.queues[m.id] = m

    def dequeue(self, m: Machine, p: Placement) -> None:
        """The task does not wait on the machine any more; nothing happens if it did not."""
        if m.queue.pop(p.key, None) is None:
            return
        m.queued_cpus -= p.job.spec.cpus
        if not m.queue:
            m.queued_cpus = 0.0
            self.queues.pop(m.id, None)

    def clear_reservations(self) -> None:
        """Gives all held room back; see `hold`."""
        for m in self._with_reservations:
            m.reserved_cpus = m.reserved_gpus = m.reserved_memory = 0.0
        self._with_reservations.clear()

    def reserve(self, m: Machine, spec: JobSpec, number: int) -> None:
        """Keeps room for so many tasks of the job until `clear_reservations`."""
        if not m.reserved_cpus and not m.reserved_memory and not m.reserved_gpus:
            self._with_reservations.append(m)
        m.reserved_cpus += spec.cpus * number
        m.reserved_gpus += spec.gpus * number
        m.reserved_memory += spec.memory_gb * number

    def forget(self, m: Machine, p: Placement) -> None:
        """The machine lists the task no more."""
        if m.placed.get(p.key) is p:
            del m.placed[p.key]

    def remove(self, m: Machine) -> None:
        """The cloud said 200 to its deletion: whatever was there has ended."""
        m.state = MachineState.DELETED
        self.machines.pop(m.id, None)
        self.queues.pop(m.id, None)
        self._deleted[m.id] = None
        self._largest = max(self._largest, len(self.machines))
        most = max(DELETED_KEPT_LEAST, DELETED_KEPT_FLEETS * self._largest)
        while len(self._deleted) > most:
            del self._deleted[next(iter(self._deleted))]

    def note_image(self, m: Machine, image: str, size_gb: float) -> None:
        """The machine uses the image; those that its cache can't hold any more are forgotten."""
        m.images.pop(image, None)
        m.images[image] = size_gb
        total = sum(m.images.values())
        while total > m.type.cache_gb and len(m.images) > 1:
            oldest = next(iter(m.images))
            total -= m.images.pop(oldest)
