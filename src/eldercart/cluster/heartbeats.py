"""Workers' reports: which count, what they tell of their machine, and whether it obeys."""

import logging

from eldercart.autoscaling.inventory_updates import placeholder_type
from eldercart.cluster.inventory import RESOURCE_EPSILON, Machine, MachineState
from eldercart.cluster.reconciliation import Reconciler
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.scheduling.planner import Planner
from eldercart.units import MachineId, MonotonicTime, NodeId
from eldercart.wire import workers

log = logging.getLogger("eldercart.controller")


class HeartbeatHandler:
    """Takes reports in their order and answers them with commands."""

    def __init__(self, scheduler: ClusterState, planner: Planner) -> None:
        """Reads and changes the recorded state of `scheduler`."""
        self._cluster_state = scheduler
        self._reconciler = Reconciler(scheduler, planner)

    def on_heartbeat(
        self, report: workers.Heartbeat, now: MonotonicTime, relay: NodeId | None
    ) -> list[workers.Command] | None:
        """The commands to answer with; None: the report is overtaken and proves nothing."""
        scheduler = self._cluster_state
        machine = scheduler.inventory.get(report.machine)
        if machine is None:
            if scheduler.inventory.is_deleted(report.machine):
                # Its deletion was answered: this is a late copy and proves nothing.
                return None
            if report.token != scheduler.token:
                # The first that is heard of it, and it may be a late copy from a machine deleted
                # under an earlier leader. A live worker learns the epoch from this answer and
                # shows it in its next report; a copy never can.
                return []
            machine = self._register_machine(report, now)
        if report.sequence <= machine.heartbeat_sequence:
            # Held back by the network: what it says has been overtaken.
            return None
        session_rose = (
            machine.heartbeat_sequence.agent_epoch > 0
            and report.sequence.agent_epoch > machine.heartbeat_sequence.agent_epoch
        )
        machine.heartbeat_sequence = report.sequence
        machine.relay = relay
        machine.address = report.address
        if machine.state is MachineState.BOOTING:
            self._mark_up(machine, now)
        if report.token != scheduler.token:
            self._record_stale_token(machine, now)
            return []
        if machine.stale_token_heartbeats:
            machine.stale_token_heartbeats = 0
            scheduler.responsiveness.record_executed_command(machine)
        machine.last_heartbeat_at = now
        self._update_description(machine, report, now)
        if not machine.is_confirmed:
            machine.is_confirmed = True
            scheduler.is_planning_requested = True
        elif session_rose:
            self._record_ignored_response(machine, "lets its lease run out", now)
        return self._respond(machine, report, now)

    def _register_machine(self, report: workers.Heartbeat, now: MonotonicTime) -> Machine:
        """A machine that no list or record has named yet."""
        kind = self._cluster_state.types.get(report.type) or placeholder_type(report.type)
        machine = self._cluster_state.inventory.add(
            report.machine, kind, report.zone, report.spot, MachineState.UP, now, now
        )
        log.info("machine adopted machine=%s type=%s zone=%s", machine.id, report.type, report.zone)
        return machine

    def _mark_up(self, machine: Machine, now: MonotonicTime) -> None:
        machine.state = MachineState.UP
        machine.idle_since = machine.last_heartbeat_at = now
        self._cluster_state.is_planning_requested = True
        log.debug("machine up machine=%s after=%.1f", machine.id, now - machine.provisioned_at)

    def _record_stale_token(self, machine: Machine, now: MonotonicTime) -> None:
        """The worker has not seen this epoch: an older leader's response may still be obeyed, so
        what this report lacks is no proof. Nor does it show that the machine lives now."""
        machine.stale_token_heartbeats += 1
        if machine.stale_token_heartbeats > 1:
            self._record_ignored_response(machine, "shows an old epoch", now)

    def _update_description(
        self, machine: Machine, report: workers.Heartbeat, now: MonotonicTime
    ) -> None:
        """Takes type, place and notice over from the report, which knows best."""
        scheduler = self._cluster_state
        if (
            machine.type.name != report.type
            or machine.zone != report.zone
            or machine.is_spot != report.spot
        ):
            kind = scheduler.types.get(report.type) or placeholder_type(report.type)
            scheduler.inventory.update_description(machine, kind, report.zone, report.spot)
        if report.preemption_notice_s is not None and machine.reclaim_at is None:
            machine.reclaim_at = MonotonicTime(now + report.preemption_notice_s)
            machine.is_unschedulable = True
            log.info("spot notice machine=%s seconds=%.0f", machine.id, report.preemption_notice_s)
            scheduler.autoscaling_due_at = now

    def _respond(
        self, machine: Machine, report: workers.Heartbeat, now: MonotonicTime
    ) -> list[workers.Command]:
        found = self._reconciler.reconcile(machine, report, now)
        if found.has_command_effect:
            self._cluster_state.responsiveness.record_executed_command(machine)
        elif found.has_ignored_command:
            self._record_ignored_response(machine, "does not do what it is told", now)
        machine.is_response_undelivered = False
        return found.commands

    # -- whether it obeys

    def _record_ignored_response(self, machine: Machine, why: str, now: MonotonicTime) -> None:
        """An answer had no effect: one more sign that the machine does not hear."""
        if machine.is_response_undelivered:
            machine.is_response_undelivered = False
        elif (
            self._cluster_state.responsiveness.record_ignored_response(machine, now)
            and machine.state is MachineState.UP
        ):
            log.info("machine unresponsive machine=%s why=%s", machine.id, why)
            self._cluster_state.request_deletion(machine, now)

    def on_response_undelivered(self, machine_id: MachineId) -> None:
        """The last answer surely came too late; that it had no effect is no sign."""
        machine = self._cluster_state.inventory.get(machine_id)
        if machine is not None:
            machine.is_response_undelivered = True

    def on_relay_lost(self, relay: NodeId) -> None:
        """The connection broke: answers on their way are lost, and that is no machine's doing."""
        for machine in self._cluster_state.inventory.machines.values():
            if machine.relay == relay:
                machine.is_response_undelivered = True

    def needs_next_heartbeat(self, machine_id: MachineId) -> bool:
        """Whether the machine's next report is wanted even if it tells nothing new."""
        machine = self._cluster_state.inventory.get(machine_id)
        if machine is None or not machine.is_confirmed or machine.has_unknown_tasks:
            return True
        return bool(machine.prelaunch_queue) and machine.free_cpus + RESOURCE_EPSILON >= min(
            placement.job.spec.cpus for placement in machine.prelaunch_queue.values()
        )
