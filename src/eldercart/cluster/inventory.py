"""Inventory of the machines, with the resources in use on each and totals over all of them.

The totals are updated whenever a placement is added or removed rather than computed on demand: a
leader of hundreds of machines has no time to add everything up at each heartbeat or planning pass.
"""

from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple, TypeVar

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

_Key = TypeVar("_Key", int, str)

RESOURCE_EPSILON = 1e-6  # tolerance when sums of CPUs, GPUs or GB are compared
# The number of deleted machines that are remembered is the larger of this minimum and a multiple of
# the cluster's peak size.
MIN_DELETED_MACHINES_REMEMBERED = 5000
DELETED_MACHINES_PER_PEAK_SIZE = 4


class MachineState(IntEnum):
    """Lifecycle of a machine: BOOTING -> UP -> DELETING -> DELETED."""

    BOOTING = 0
    UP = 1
    DELETING = 2  # its deletion has been requested, or is to be requested
    DELETED = 3


class RunTimeRatio(NamedTuple):
    """Run time of a task on a machine, relative to the other tasks of its job."""

    job_id: JobId
    ratio: float  # the task's run time divided by the median of the job's run times


@dataclass(slots=True, eq=False)
class Machine:
    """One machine. Only `MachineInventory` changes its resource sums.

    CPUs and GPUs are counted in units, memory in GB.
    """

    id: MachineId
    type: MachineType
    zone: str
    is_spot: bool
    state: MachineState
    provisioned_at: MonotonicTime
    last_heartbeat_at: MonotonicTime
    address: str = ""
    relay: NodeId | None = None  # the node that received its last heartbeat
    heartbeat_sequence: HeartbeatSequence = NO_HEARTBEAT
    has_shown_current_token: bool = False  # a heartbeat has carried this leader's fencing token
    placements: dict[TaskKey, Placement] = field(default_factory=dict)
    # Placements that are recorded before the machine has room for them; not launched yet.
    prelaunch_queue: dict[TaskKey, Placement] = field(default_factory=dict)
    prelaunch_cpus: float = 0.0
    live_task_count: int = 0  # tasks that are placed here and have not ended
    has_unknown_tasks: bool = False  # its heartbeat lists live attempts not placed here
    free_cpus: float = 0.0
    free_gpus: float = 0.0
    free_memory_gb: float = 0.0
    # The part of the free resources that the current planning pass reserves for earlier jobs.
    reserved_cpus: float = 0.0
    reserved_gpus: float = 0.0
    reserved_memory_gb: float = 0.0
    # Resources in use by tasks that are being killed.
    terminating_cpus: float = 0.0
    terminating_gpus: float = 0.0
    terminating_memory_gb: float = 0.0
    # CPUs in use by tasks that are not being killed.
    cpus_by_priority: dict[int, float] = field(default_factory=dict)
    # When a task's resources were last released. It begins as `last_heartbeat_at` and is set again
    # when the machine becomes up; an allocation does not change it.
    last_release_at: MonotonicTime = MONOTONIC_ZERO
    # No new task may start: cordoned, being deleted, or under a preemption notice.
    is_unschedulable: bool = False
    is_cordoned: bool = False
    cordoned_at: MonotonicTime = MONOTONIC_ZERO
    reclaim_at: MonotonicTime | None = None  # time of the spot machine's reclaim by the cloud
    cached_images: dict[str, float] = field(default_factory=dict)  # GB by name, least recent first
    failed_job_ids: set[JobId] = field(default_factory=set)
    # One entry for each of the last tasks that completed on the machine.
    run_time_ratios: list[RunTimeRatio] = field(default_factory=list)
    successes_since_failure: int = 0
    launch_backoff_until: MonotonicTime = DISTANT_PAST
    # Evidence that the machine does not carry out commands; see `health.Responsiveness`.
    ignored_responses: int = 0
    ignored_since: MonotonicTime = MONOTONIC_ZERO
    # Number of consecutive heartbeats with an older fencing token.
    stale_token_heartbeats: int = 0
    # The last response may not have reached the worker in time.
    is_response_undelivered: bool = False
    # Direct probes are sent while heartbeats of the machine are overdue.
    last_probe_at: MonotonicTime = DISTANT_PAST
    last_probe_success_at: MonotonicTime = DISTANT_PAST
    last_direct_kill_at: MonotonicTime = DISTANT_PAST
    # The highest agent epoch in the worker's responses to direct kills.
    agent_epoch: AgentEpoch = NO_AGENT_EPOCH
    needs_command: bool = False  # its next heartbeat should be forwarded to the leader

    @property
    def is_schedulable(self) -> bool:
        """Whether new tasks may start on the machine."""
        return (
            self.state is MachineState.UP
            and self.has_shown_current_token
            and not self.is_unschedulable
            and not self.has_unknown_tasks
        )

    def placements_being_cancelled(self) -> list[Placement]:
        """Return the placements of cancelled jobs that may still run on the machine."""
        return [
            placement for placement in self.placements.values() if is_being_cancelled(placement)
        ]


def is_being_cancelled(placement: Placement) -> bool:
    """Return whether the task is being killed because its job was cancelled."""
    return (
        placement.is_terminating
        and placement.job.is_cancellation_requested
        and placement.phase is not PlacementPhase.ENDED
    )


class MachineInventory:
    """Owns the machines and the totals over them.

    A task's resources count as in use as long as the task may still run.
    """

    def __init__(self) -> None:
        """Start without machines."""
        self.machines: dict[MachineId, Machine] = {}
        # Oldest first. A delayed machine list or heartbeat may still name a deleted machine.
        self._deleted_machines: dict[MachineId, None] = {}
        self._peak_size = 0  # the largest number of machines so far, sampled at each deletion
        self.cpus_by_team: dict[str, float] = {}
        self.gpus_by_team: dict[str, float] = {}
        self.cpus_by_priority: dict[int, float] = {}  # CPUs of all placements
        # CPUs in use on on-demand machines by jobs that may not use spot machines.
        self.on_demand_only_cpus = 0.0
        self.machines_with_prelaunch_queue: dict[MachineId, Machine] = {}
        self._machines_with_reservations: list[Machine] = []
        # Cached images that an earlier leader recorded, for machines that are not added yet.
        self._restored_images: dict[MachineId, dict[str, float]] = {}

    def get(self, machine_id: MachineId) -> Machine | None:
        """Return the machine, or None if it is unknown or deleted."""
        return self.machines.get(machine_id)

    def is_deleted(self, machine_id: MachineId) -> bool:
        """Return whether the machine is among the deleted machines that are remembered."""
        return machine_id in self._deleted_machines

    def add(
        self,
        machine_id: MachineId,
        machine_type: MachineType,
        zone: str,
        is_spot: bool,
        state: MachineState,
        provisioned_at: MonotonicTime,
        last_heartbeat_at: MonotonicTime,
    ) -> Machine:
        """Add an idle, empty machine that was created, listed, or reported by a heartbeat.

        `last_heartbeat_at` is the time from which the heartbeat timeout counts.
        """
        machine = Machine(
            machine_id,
            machine_type,
            zone,
            is_spot,
            state,
            provisioned_at,
            last_heartbeat_at,
            free_cpus=machine_type.cpus,
            free_gpus=machine_type.gpus,
            free_memory_gb=machine_type.memory_gb,
            last_release_at=last_heartbeat_at,
            cached_images=self._restored_images.pop(machine_id, {}),
        )
        self.machines[machine_id] = machine
        return machine

    def restore_images(self, machine_id: MachineId, images: dict[str, float]) -> None:
        """Keep the cached images that an earlier leader recorded, for when the machine is added.

        `images` maps image names to sizes in GB, least recently used first. Images that were
        restored for the machine before are kept.
        """
        self._restored_images.setdefault(machine_id, images)

    def update_description(
        self, machine: Machine, machine_type: MachineType, zone: str, is_spot: bool
    ) -> None:
        """Update type, zone and spot flag from a heartbeat, a machine list or a new catalog."""
        machine.free_cpus += machine_type.cpus - machine.type.cpus
        machine.free_gpus += machine_type.gpus - machine.type.gpus
        machine.free_memory_gb += machine_type.memory_gb - machine.type.memory_gb
        if is_spot is not machine.is_spot:
            on_demand_only_cpus = sum(
                placement.job.spec.cpus
                for placement in machine.placements.values()
                if placement.phase is not PlacementPhase.ENDED
                and not placement.job.spec.allows_spot
            )
            self.on_demand_only_cpus += -on_demand_only_cpus if is_spot else on_demand_only_cpus
        machine.type = machine_type
        machine.zone = zone
        machine.is_spot = is_spot

    def allocate(self, machine: Machine, placement: Placement) -> None:
        """Add the placement to the machine and count its resources as in use."""
        spec = placement.job.spec
        # The job's priority may change before `release`; both must use the same one in the totals.
        priority = placement.priority_at_placement = placement.job.priority
        machine.placements[placement.key] = placement
        machine.live_task_count += 1
        machine.free_cpus -= spec.cpus
        machine.free_gpus -= spec.gpus
        machine.free_memory_gb -= spec.memory_gb
        if placement.is_terminating:
            self._adjust_terminating(machine, spec, 1)
        else:
            _increase(machine.cpus_by_priority, priority, spec.cpus)
        _increase(self.cpus_by_priority, priority, spec.cpus)
        _increase(self.cpus_by_team, spec.team, spec.cpus)
        _increase(self.gpus_by_team, spec.team, spec.gpus)
        if not spec.allows_spot and not machine.is_spot:
            self.on_demand_only_cpus += spec.cpus

    def release(self, machine: Machine, placement: Placement, now: MonotonicTime) -> None:
        """Count the placement's resources as free again, without removing the placement."""
        spec = placement.job.spec
        priority = placement.priority_at_placement
        machine.live_task_count -= 1
        machine.free_cpus += spec.cpus
        machine.free_gpus += spec.gpus
        machine.free_memory_gb += spec.memory_gb
        if placement.is_terminating:
            self._adjust_terminating(machine, spec, -1)
        else:
            machine.cpus_by_priority[priority] -= spec.cpus
        self.cpus_by_priority[priority] -= spec.cpus
        self.cpus_by_team[spec.team] -= spec.cpus
        self.gpus_by_team[spec.team] -= spec.gpus
        if not spec.allows_spot and not machine.is_spot:
            self.on_demand_only_cpus -= spec.cpus
        machine.last_release_at = now

    def mark_terminating(self, machine: Machine | None, placement: Placement) -> None:
        """Record that the task is being killed or is about to be; idempotent."""
        if placement.is_terminating:
            return
        placement.is_terminating = True
        if machine is None or machine.placements.get(placement.key) is not placement:
            return
        if placement.phase is not PlacementPhase.ENDED:
            spec = placement.job.spec
            self._adjust_terminating(machine, spec, 1)
            machine.cpus_by_priority[placement.priority_at_placement] -= spec.cpus

    @staticmethod
    def _adjust_terminating(machine: Machine, spec: JobSpec, sign: int) -> None:
        machine.terminating_cpus += sign * spec.cpus
        machine.terminating_gpus += sign * spec.gpus
        machine.terminating_memory_gb += sign * spec.memory_gb

    def enqueue(self, machine: Machine, placement: Placement) -> None:
        """Add a recorded placement to the machine's prelaunch queue.

        It waits there until a heartbeat shows that the machine has room for it.
        """
        machine.prelaunch_queue[placement.key] = placement
        machine.prelaunch_cpus += placement.job.spec.cpus
        self.machines_with_prelaunch_queue[machine.id] = machine

    def dequeue(self, machine: Machine, placement: Placement) -> None:
        """Remove the placement from the prelaunch queue, if it is in it."""
        if machine.prelaunch_queue.pop(placement.key, None) is None:
            return
        machine.prelaunch_cpus -= placement.job.spec.cpus
        if not machine.prelaunch_queue:
            machine.prelaunch_cpus = 0.0
            self.machines_with_prelaunch_queue.pop(machine.id, None)

    def clear_reservations(self) -> None:
        """Drop all reservations; see `reserve`."""
        for machine in self._machines_with_reservations:
            machine.reserved_cpus = machine.reserved_gpus = machine.reserved_memory_gb = 0.0
        self._machines_with_reservations.clear()

    def reserve(self, machine: Machine, spec: JobSpec, task_count: int) -> None:
        """Reserve resources for `task_count` tasks until `clear_reservations` is called."""
        if (
            not machine.reserved_cpus
            and not machine.reserved_memory_gb
            and not machine.reserved_gpus
        ):
            self._machines_with_reservations.append(machine)
        machine.reserved_cpus += spec.cpus * task_count
        machine.reserved_gpus += spec.gpus * task_count
        machine.reserved_memory_gb += spec.memory_gb * task_count

    def remove_placement(self, machine: Machine, placement: Placement) -> None:
        """Remove the placement from its machine, unless a later attempt has replaced it."""
        if machine.placements.get(placement.key) is placement:
            del machine.placements[placement.key]

    def mark_deleted(self, machine: Machine) -> None:
        """Remove a machine whose deletion the cloud has confirmed; all its tasks have ended."""
        machine.state = MachineState.DELETED
        self.machines.pop(machine.id, None)
        self.machines_with_prelaunch_queue.pop(machine.id, None)
        self._deleted_machines[machine.id] = None
        self._peak_size = max(self._peak_size, len(self.machines))
        max_remembered = max(
            MIN_DELETED_MACHINES_REMEMBERED, DELETED_MACHINES_PER_PEAK_SIZE * self._peak_size
        )
        while len(self._deleted_machines) > max_remembered:
            del self._deleted_machines[next(iter(self._deleted_machines))]

    def record_image_use(self, machine: Machine, image: str, size_gb: float) -> None:
        """Mark the image as most recently used; evict the oldest ones that the cache can't hold."""
        machine.cached_images.pop(image, None)
        machine.cached_images[image] = size_gb
        total = sum(machine.cached_images.values())
        while total > machine.type.cache_gb and len(machine.cached_images) > 1:
            oldest = next(iter(machine.cached_images))
            total -= machine.cached_images.pop(oldest)


def _increase(sums: dict[_Key, float], key: _Key, amount: float) -> None:
    sums[key] = sums.get(key, 0.0) + amount
