"""Handling of heartbeats by the leader: sequence checks, machine updates and responsiveness."""

import logging
from enum import Enum

from eldercart.autoscaling.inventory_updates import placeholder_type
from eldercart.cluster.inventory import RESOURCE_EPSILON, Machine, MachineState
from eldercart.cluster.reconciliation import Reconciler
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.scheduling.planner import Planner
from eldercart.units import MachineId, MonotonicTime, NodeId
from eldercart.wire import workers
from eldercart.wire.cloud import MachineType
from eldercart.wire.workers import TaskState

log = logging.getLogger("eldercart.controller")


class UnresponsiveReason(Enum):
    """Why a response to a heartbeat counts as ignored."""

    STALE_TOKEN = "stale_token"
    LEASE_EXPIRED = "lease_expired"
    COMMAND_IGNORED = "command_ignored"


class HeartbeatHandler:
    """Handles the heartbeats that reach the leader and returns the commands that answer them."""

    def __init__(self, cluster_state: ClusterState, planner: Planner) -> None:
        """Read and change `cluster_state`; keep capacity free for unplaced jobs of `planner`."""
        self._cluster_state = cluster_state
        self._reconciler = Reconciler(cluster_state, planner)

    def on_heartbeat(
        self, heartbeat: workers.Heartbeat, now: MonotonicTime, relay: NodeId | None
    ) -> list[workers.Command] | None:
        """Return the commands of the response, or None if the heartbeat is a copy or out of date.

        `relay` is the node that forwarded the heartbeat; None if the leader received it itself.
        """
        cluster_state = self._cluster_state
        shows_current_token = heartbeat.token == cluster_state.token
        machine = cluster_state.inventory.get(heartbeat.machine)
        if machine is None:
            if cluster_state.inventory.is_deleted(heartbeat.machine):
                # The machine has been deleted: this is a delayed copy and proves nothing.
                return None
            if not shows_current_token:
                # This is the first heartbeat of the machine here, and it may be a delayed copy from
                # a machine that was deleted under an earlier leader. A live worker receives the
                # token in this response and shows it in its next heartbeat; a copy never does.
                return []
            machine = self._register_machine(heartbeat, now)
        if heartbeat.sequence <= machine.heartbeat_sequence:
            # The network delayed or repeated this heartbeat: its content is out of date.
            return None
        agent_epoch_before = machine.heartbeat_sequence.agent_epoch
        lease_has_expired = 0 < agent_epoch_before < heartbeat.sequence.agent_epoch
        machine.heartbeat_sequence = heartbeat.sequence
        machine.relay = relay
        machine.address = heartbeat.address
        if machine.state is MachineState.BOOTING:
            self._mark_up(machine, now)
        if not shows_current_token:
            self._record_stale_token(machine, now)
            return []
        if machine.stale_token_heartbeats:
            machine.stale_token_heartbeats = 0
            cluster_state.responsiveness.record_executed_command(machine)
        machine.last_heartbeat_at = now
        self._update_description(machine, heartbeat)
        if heartbeat.preemption_notice_s is not None and machine.reclaim_at is None:
            self._schedule_reclaim(machine, heartbeat.preemption_notice_s, now)
        if not machine.has_shown_current_token:
            machine.has_shown_current_token = True
            cluster_state.request_planning()
            _log_first_comparison(machine, heartbeat)
        elif lease_has_expired:
            self._record_ignored_response(machine, UnresponsiveReason.LEASE_EXPIRED, now)
        return self._respond(machine, heartbeat, now)

    def _machine_type(self, name: str) -> MachineType:
        return self._cluster_state.types.get(name) or placeholder_type(name)

    def _register_machine(self, heartbeat: workers.Heartbeat, now: MonotonicTime) -> Machine:
        """Add a machine that neither the cloud's list nor a stored record has named yet."""
        machine = self._cluster_state.inventory.add(
            heartbeat.machine,
            self._machine_type(heartbeat.type),
            heartbeat.zone,
            heartbeat.spot,
            MachineState.UP,
            now,
            now,
        )
        log.info(
            "machine registered machine=%s type=%s zone=%s",
            machine.id,
            heartbeat.type,
            heartbeat.zone,
        )
        return machine

    def _mark_up(self, machine: Machine, now: MonotonicTime) -> None:
        machine.state = MachineState.UP
        machine.last_release_at = machine.last_heartbeat_at = now
        self._cluster_state.request_planning()
        log.debug("machine up machine=%s boot_s=%.1f", machine.id, now - machine.provisioned_at)

    def _record_stale_token(self, machine: Machine, now: MonotonicTime) -> None:
        """Count a heartbeat from a worker that has not seen this leader's fencing token.

        The worker may still obey a response of an earlier leader, so the absence of a task from
        this heartbeat proves nothing. Nor does the heartbeat prove that the machine is alive now.
        """
        machine.stale_token_heartbeats += 1
        if machine.stale_token_heartbeats > 1:
            self._record_ignored_response(machine, UnresponsiveReason.STALE_TOKEN, now)

    def _update_description(self, machine: Machine, heartbeat: workers.Heartbeat) -> None:
        """Update type, zone and spot status from the heartbeat, the most reliable source."""
        if (
            machine.type.name != heartbeat.type
            or machine.zone != heartbeat.zone
            or machine.is_spot != heartbeat.spot
        ):
            self._cluster_state.inventory.update_description(
                machine, self._machine_type(heartbeat.type), heartbeat.zone, heartbeat.spot
            )

    def _schedule_reclaim(self, machine: Machine, notice_s: float, now: MonotonicTime) -> None:
        """Start no more tasks on a spot machine that the cloud reclaims in `notice_s` seconds."""
        machine.reclaim_at = MonotonicTime(now + notice_s)
        machine.is_unschedulable = True
        log.info("spot preemption notice machine=%s notice_s=%.0f", machine.id, notice_s)
        self._cluster_state.request_autoscaling(now)

    def _respond(
        self, machine: Machine, heartbeat: workers.Heartbeat, now: MonotonicTime
    ) -> list[workers.Command]:
        """Reconcile the tasks, record whether commands took effect, and return new commands."""
        result = self._reconciler.reconcile(machine, heartbeat, now)
        if result.has_command_effect:
            self._cluster_state.responsiveness.record_executed_command(machine)
        elif result.has_ignored_command:
            self._record_ignored_response(machine, UnresponsiveReason.COMMAND_IGNORED, now)
        machine.is_response_undelivered = False
        return result.commands

    # -- responsiveness

    def _record_ignored_response(
        self, machine: Machine, reason: UnresponsiveReason, now: MonotonicTime
    ) -> None:
        """Count a response that had no effect; delete the machine once it is unresponsive."""
        if machine.is_response_undelivered:
            machine.is_response_undelivered = False
        elif (
            self._cluster_state.responsiveness.record_ignored_response(machine, now)
            and machine.state is MachineState.UP
        ):
            log.info("machine unresponsive machine=%s reason=%s", machine.id, reason.value)
            self._cluster_state.request_deletion(machine, now)

    def on_response_undelivered(self, machine_id: MachineId) -> None:
        """Record that the last response was late, so its lack of effect is no evidence."""
        machine = self._cluster_state.inventory.get(machine_id)
        if machine is not None:
            machine.is_response_undelivered = True

    def on_relay_lost(self, relay: NodeId) -> None:
        """Record that responses sent through the relay may be lost, by no fault of a machine."""
        for machine in self._cluster_state.inventory.machines.values():
            if machine.relay == relay:
                machine.is_response_undelivered = True

    def needs_next_heartbeat(self, machine_id: MachineId) -> bool:
        """Return whether a relay must forward the machine's next heartbeat even if unchanged."""
        machine = self._cluster_state.inventory.get(machine_id)
        if machine is None or not machine.has_shown_current_token or machine.has_unknown_tasks:
            return True
        return bool(machine.prelaunch_queue) and machine.free_cpus + RESOURCE_EPSILON >= min(
            placement.job.spec.cpus for placement in machine.prelaunch_queue.values()
        )


def _log_first_comparison(machine: Machine, heartbeat: workers.Heartbeat) -> None:
    """Log how far the records of earlier leaders agree with the machine's first heartbeat."""
    if not machine.placements:
        return
    ended = sum(1 for task in heartbeat.tasks if task.state == TaskState.EXITED)
    log.info(
        "recorded tasks compared machine=%s zone=%s recorded=%d listed=%d ended=%d",
        machine.id,
        machine.zone,
        len(machine.placements),
        len(heartbeat.tasks),
        ended,
    )
