"""The machines, what may run on each, and what their reports prove.

The sums over machines are kept as tasks come and go, not added up again: a pass over everything at
each report or plan is what a leader of hundreds of machines has no time for.
"""

from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from eldercart.jobs.job import Placement, PlacementPhase
from eldercart.units import (
    DISTANT_PAST,
    MONOTONIC_ZERO,
    NO_AGENT_EPOCH,
    NO_HEARTBEAT,
    AgentEpoch,
    HeartbeatSequence,
    JobId,
    MachineId,
    MonotonicTime,
    NodeId,
    TaskKey,
)
from eldercart.wire.cloud import MachineType
from eldercart.wire.users import JobSpec

RESOURCE_EPSILON = 1e-6
# Deleted machines that are remembered: so many, and more where the fleet is larger.
MIN_DELETED_MACHINES_REMEMBERED, DELETED_MACHINES_PER_PEAK_SIZE = 5000, 4


class MachineState(IntEnum):
    """Where a machine is between its rental and its deletion."""

    BOOTING = 0
    UP = 1
    DELETING = 2  # a deletion has been asked for, or must be
    DELETED = 3


class RunTimeRatio(NamedTuple):
    """How long a task ran on a machine, compared with the others of its job."""

    job_id: JobId
    ratio: float  # run time / the median of the job's run times


@dataclass(slots=True, eq=False)
class Machine:
    """One machine. Only `Fleet` changes its sums of room; CPUs and GPUs in units, memory in GB."""

    id: MachineId
    type: MachineType
    zone: str
    is_spot: bool
    state: MachineState
    provisioned_at: MonotonicTime
    last_heartbeat_at: MonotonicTime
    address: str = ""
    relay: NodeId | None = None  # the node that heard it last
    heartbeat_sequence: HeartbeatSequence = NO_HEARTBEAT
    is_confirmed: bool = False  # has reported under this leader's epoch
    placements: dict[TaskKey, Placement] = field(default_factory=dict)
    prelaunch_queue: dict[TaskKey, Placement] = field(
        default_factory=dict
    )  # written ahead, never sent
    prelaunch_cpus: float = 0.0
    live_task_count: int = 0  # placed and not ended
    has_unknown_tasks: bool = False  # reports live tasks that no record knows
    free_cpus: float = 0.0
    free_gpus: float = 0.0
    free_memory_gb: float = 0.0
    reserved_cpus: float = 0.0  # of the free room, reserved in this pass for jobs placed before
    reserved_gpus: float = 0.0
    reserved_memory_gb: float = 0.0
    terminating_cpus: float = 0.0  # taken by tasks that are being stopped
    terminating_gpus: float = 0.0
    terminating_memory_gb: float = 0.0
    cpus_by_priority: dict[int, float] = field(
        default_factory=dict
    )  # CPUs placed, not being stopped
    idle_since: MonotonicTime = MONOTONIC_ZERO
    is_unschedulable: bool = False  # notice or quarantine: nothing new starts here
    is_cordoned: bool = False
    cordoned_at: MonotonicTime = MONOTONIC_ZERO
    reclaim_at: MonotonicTime | None = None  # when the cloud takes it back, by its notice
    cached_images: dict[str, float] = field(default_factory=dict)  # name -> GB, least recent first
    failed_job_ids: set[JobId] = field(default_factory=set)
    run_time_ratios: list[RunTimeRatio] = field(default_factory=list)  # of the last tasks done here
    successes_since_failure: int = 0
    launch_backoff_until: MonotonicTime = DISTANT_PAST
    # Whether it carries out commands; see `health.Responsiveness`.
    ignored_responses: int = 0
    ignored_since: MonotonicTime = MONOTONIC_ZERO
    stale_token_heartbeats: int = 0  # reports that showed an older epoch although one was answered
    is_response_undelivered: bool = False  # the last answer surely came too late
    # Whether it was asked directly, because nothing was heard of it, and answered.
    last_probe_at: MonotonicTime = DISTANT_PAST
    last_probe_success_at: MonotonicTime = DISTANT_PAST
    # Direct commands: when the last one went out, and the session that the worker showed then.
    last_direct_kill_at: MonotonicTime = DISTANT_PAST
    agent_epoch: AgentEpoch = NO_AGENT_EPOCH
    needs_command: bool = False

    @property
    def is_schedulable(self) -> bool:
        """Whether new tasks may start here."""
        return (
            self.state is MachineState.UP
            and self.is_confirmed
            and not self.is_unschedulable
            and not self.has_unknown_tasks
        )

    def placements_being_cancelled(self) -> list[Placement]:
        """What may still run here of cancelled jobs."""
        return [p for p in self.placements.values() if is_being_cancelled(p)]


def is_being_cancelled(p: Placement) -> bool:
    """Whether the task was told to stop because of a cancellation and is not over yet."""
    return p.is_terminating and p.job.is_cancelled and p.phase is not PlacementPhase.ENDED


class MachineInventory:
    """Owns the machines. Room counts everything that may still run."""

    def __init__(self) -> None:
        """No machines yet."""
        self.machines: dict[MachineId, Machine] = {}
        self._deleted_machines: dict[
            MachineId, None
        ] = {}  # a late list or report may still name them
        self._peak_size = 0  # number of machines there have been at once
        self.cpus_by_team: dict[str, float] = {}
        self.gpus_by_team: dict[str, float] = {}
        self.cpus_by_priority: dict[int, float] = {}  # CPUs placed, by priority
        self.on_demand_only_cpus = (
            0.0  # CPUs of jobs that may use nothing else, on ordinary machines
        )
        self.machines_with_prelaunch_queue: dict[
            MachineId, Machine
        ] = {}  # machines with tasks written ahead
        self._machines_with_reservations: list[Machine] = []
        self._restored_images: dict[
            MachineId, dict[str, float]
        ] = {}  # images, by an earlier leader

    def get(self, machine: MachineId) -> Machine | None:
        """The machine, unless it is gone or was never heard of."""
        return self.machines.get(machine)

    def is_deleted(self, machine: MachineId) -> bool:
        """Whether the machine was deleted, as far back as is remembered."""
        return machine in self._deleted_machines

    def add(
        self,
        id_: MachineId,
        type_: MachineType,
        zone: str,
        spot: bool,
        state: MachineState,
        rented_at: MonotonicTime,
        now: MonotonicTime,
    ) -> Machine:
        """A machine that was rented, listed or reported; its room is that of its type."""
        m = Machine(id_, type_, zone, spot, state, rented_at, now, idle_since=now)
        m.free_cpus, m.free_gpus, m.free_memory_gb = type_.cpus, type_.gpus, type_.memory_gb
        m.cached_images = self._restored_images.pop(id_, {})
        self.machines[id_] = m
        return m

    def restore_images(self, machine: MachineId, images: dict[str, float]) -> None:
        """What an earlier leader knew of the machine's cache."""
        self._restored_images[machine] = images

    def update_description(self, m: Machine, type_: MachineType, zone: str, spot: bool) -> None:
        """The report, or a new catalogue, knows better what the machine is."""
        m.free_cpus += type_.cpus - m.type.cpus
        m.free_gpus += type_.gpus - m.type.gpus
        m.free_memory_gb += type_.memory_gb - m.type.memory_gb
        if spot is not m.is_spot:
            bound = sum(
                p.job.spec.cpus
                for p in m.placements.values()
                if p.phase is not PlacementPhase.ENDED and not p.job.spec.allows_spot
            )
            self.on_demand_only_cpus += -bound if spot else bound
        m.type, m.zone, m.is_spot = type_, zone, spot

    def allocate(self, m: Machine, p: Placement) -> None:
        """The task takes room on the machine from now on."""
        spec = p.job.spec
        p.priority_at_placement = p.job.priority  # which may change meanwhile; the sums must not
        m.placements[p.key] = p
        m.live_task_count += 1
        m.free_cpus -= spec.cpus
        m.free_gpus -= spec.gpus
        m.free_memory_gb -= spec.memory_gb
        if p.is_terminating:
            self._adjust_terminating(m, spec, 1)
        else:
            m.cpus_by_priority[p.priority_at_placement] = (
                m.cpus_by_priority.get(p.priority_at_placement, 0.0) + spec.cpus
            )
        self.cpus_by_priority[p.priority_at_placement] = (
            self.cpus_by_priority.get(p.priority_at_placement, 0.0) + spec.cpus
        )
        self.cpus_by_team[spec.team] = self.cpus_by_team.get(spec.team, 0.0) + spec.cpus
        self.gpus_by_team[spec.team] = self.gpus_by_team.get(spec.team, 0.0) + spec.gpus
        if not spec.allows_spot and not m.is_spot:
            self.on_demand_only_cpus += spec.cpus

    def release(self, m: Machine, p: Placement, now: MonotonicTime) -> None:
        """The task no longer takes room; it may still be listed as ended."""
        spec = p.job.spec
        m.live_task_count -= 1
        m.free_cpus += spec.cpus
        m.free_gpus += spec.gpus
        m.free_memory_gb += spec.memory_gb
        if p.is_terminating:
            self._adjust_terminating(m, spec, -1)
        else:
            m.cpus_by_priority[p.priority_at_placement] -= spec.cpus
        self.cpus_by_priority[p.priority_at_placement] -= spec.cpus
        self.cpus_by_team[spec.team] -= spec.cpus
        self.gpus_by_team[spec.team] -= spec.gpus
        if not spec.allows_spot and not m.is_spot:
            self.on_demand_only_cpus -= spec.cpus
        m.idle_since = now

    def mark_terminating(self, m: Machine | None, p: Placement) -> None:
        """The task was told to stop, or is about to be."""
        if p.is_terminating:
            return
        p.is_terminating = True
        if m is not None and m.placements.get(p.key) is p and p.phase is not PlacementPhase.ENDED:
            spec = p.job.spec
            self._adjust_terminating(m, spec, 1)
            m.cpus_by_priority[p.priority_at_placement] -= spec.cpus

    def _adjust_terminating(self, m: Machine, spec: JobSpec, sign: int) -> None:
        m.terminating_cpus += sign * spec.cpus
        m.terminating_gpus += sign * spec.gpus
        m.terminating_memory_gb += sign * spec.memory_gb

    def enqueue(self, m: Machine, p: Placement) -> None:
        """Written ahead for room to come: launched by the report that shows the room."""
        m.prelaunch_queue[p.key] = p
        m.prelaunch_cpus += p.job.spec.cpus
        self.machines_with_prelaunch_queue[m.id] = m

    def dequeue(self, m: Machine, p: Placement) -> None:
        """The task does not wait on the machine any more; nothing happens if it did not."""
        if m.prelaunch_queue.pop(p.key, None) is None:
            return
        m.prelaunch_cpus -= p.job.spec.cpus
        if not m.prelaunch_queue:
            m.prelaunch_cpus = 0.0
            self.machines_with_prelaunch_queue.pop(m.id, None)

    def clear_reservations(self) -> None:
        """Gives all held room back; see `hold`."""
        for m in self._machines_with_reservations:
            m.reserved_cpus = m.reserved_gpus = m.reserved_memory_gb = 0.0
        self._machines_with_reservations.clear()

    def reserve(self, m: Machine, spec: JobSpec, number: int) -> None:
        """Keeps room for so many tasks of the job until `clear_reservations`."""
        if not m.reserved_cpus and not m.reserved_memory_gb and not m.reserved_gpus:
            self._machines_with_reservations.append(m)
        m.reserved_cpus += spec.cpus * number
        m.reserved_gpus += spec.gpus * number
        m.reserved_memory_gb += spec.memory_gb * number

    def remove_placement(self, m: Machine, p: Placement) -> None:
        """The machine lists the task no more."""
        if m.placements.get(p.key) is p:
            del m.placements[p.key]

    def mark_deleted(self, m: Machine) -> None:
        """The cloud said 200 to its deletion: whatever was there has ended."""
        m.state = MachineState.DELETED
        self.machines.pop(m.id, None)
        self.machines_with_prelaunch_queue.pop(m.id, None)
        self._deleted_machines[m.id] = None
        self._peak_size = max(self._peak_size, len(self.machines))
        most = max(
            MIN_DELETED_MACHINES_REMEMBERED, DELETED_MACHINES_PER_PEAK_SIZE * self._peak_size
        )
        while len(self._deleted_machines) > most:
            del self._deleted_machines[next(iter(self._deleted_machines))]

    def record_image_use(self, m: Machine, image: str, size_gb: float) -> None:
        """The machine uses the image; those that its cache can't hold any more are forgotten."""
        m.cached_images.pop(image, None)
        m.cached_images[image] = size_gb
        total = sum(m.cached_images.values())
        while total > m.type.cache_gb and len(m.cached_images) > 1:
            oldest = next(iter(m.cached_images))
            total -= m.cached_images.pop(oldest)
