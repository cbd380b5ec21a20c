"""Direct kills: kills of cancelled tasks that are sent without waiting for a heartbeat.

The response to the worker's next heartbeat carries the same kills.
"""

from dataclasses import dataclass

from eldercart.cluster.inventory import Machine, MachineState
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.units import DISTANT_PAST, AgentEpoch, MachineId, MonotonicTime
from eldercart.wire import workers

MIN_KILL_INTERVAL_S = 2.0  # between two direct kills to the same machine
# Direct kills per second on one whole core. Each opens a connection, which costs a millisecond.
KILLS_PER_CORE_SECOND = 120.0
MIN_CORE_SHARE = 0.1  # lower bound on the core share from which the rate is computed
MAX_BUDGET_WINDOW_S = 1.0  # the send budget stops growing after this time without a kill
# A worker drops a response that arrives more than 4 s after it sent the heartbeat. After this time,
# a launch that was sent before the kill has been carried out or never will be.
LAUNCH_EXPIRY_S = 4.5
FIRST_AGENT_EPOCH = AgentEpoch(1)


@dataclass(frozen=True, slots=True)
class DirectKill:
    """Kill commands to be sent directly to one worker."""

    machine_id: MachineId
    address: str
    agent_epoch: AgentEpoch
    commands: tuple[workers.Kill, ...]


class DirectKills:
    """Builds direct kills at a bounded rate and handles the workers' responses to them.

    A worker may send its heartbeats to a node that still relays for the previous leader and can't
    find out about the new one while the state store is down. A direct kill ends the task all the
    same and shows the worker the new fencing token; from then on the worker rejects commands of
    earlier leaders. A direct kill also reaches a task that is fetching its image before it starts.
    Only kills are sent directly: a launch that the network delays would start its task late.
    """

    def __init__(self, cluster_state: ClusterState) -> None:
        """Start without any direct kill sent; the send budget grows from the leader's start."""
        self._cluster_state = cluster_state
        self._last_sent_at = cluster_state.started_at

    def take(self, now: MonotonicTime) -> list[DirectKill]:
        """Return the direct kills to be sent now and remove the requests for them."""
        cluster_state = self._cluster_state
        pending = cluster_state.pending_commands
        kills: list[DirectKill] = []
        machine_ids = pending.machines_for_direct_kill()
        if not machine_ids:
            return kills
        budget = self._send_budget(now)
        for machine_id in machine_ids:
            if len(kills) >= budget:
                break
            machine = cluster_state.inventory.get(machine_id)
            if machine is None or machine.state not in (MachineState.UP, MachineState.DELETING):
                pending.remove_direct_kill(machine_id)
                continue
            if not machine.address or now - machine.last_direct_kill_at < MIN_KILL_INTERVAL_S:
                continue
            pending.remove_direct_kill(machine_id)
            kill = self._build_direct_kill(machine)
            if kill is not None:
                machine.last_direct_kill_at = now
                kills.append(kill)
        if kills:
            self._last_sent_at = now
        return kills

    def _send_budget(self, now: MonotonicTime) -> int:
        """Return the maximum number of direct kills that may be sent now."""
        rate = KILLS_PER_CORE_SECOND * max(MIN_CORE_SHARE, self._cluster_state.settings.core_share)
        return int(min(MAX_BUDGET_WINDOW_S, now - self._last_sent_at) * rate)

    def _build_direct_kill(self, machine: Machine) -> DirectKill | None:
        commands = tuple(
            workers.Kill(placement.key, placement.attempt, 0.0)
            for placement in machine.placements_being_cancelled()
        )
        if not commands:
            return None
        return DirectKill(
            machine.id,
            machine.address,
            self._known_agent_epoch(machine),
            commands[: workers.MAX_COMMANDS],
        )

    @staticmethod
    def _known_agent_epoch(machine: Machine) -> AgentEpoch:
        """Return the highest agent epoch in a heartbeat or direct response of the machine."""
        return max(machine.agent_epoch, machine.heartbeat_sequence.agent_epoch, FIRST_AGENT_EPOCH)

    def on_response(
        self,
        heartbeat: workers.Heartbeat,
        sent_at: MonotonicTime,
        now: MonotonicTime,
        *,
        executed: bool,
    ) -> None:
        """Handle the heartbeat with which the worker answers a direct kill sent at `sent_at`.

        `executed` is false if the worker rejected the kill because of its agent epoch.
        """
        cluster_state = self._cluster_state
        machine = cluster_state.inventory.get(heartbeat.machine)
        if machine is None:
            return
        machine.last_probe_success_at = now
        agent_epoch = heartbeat.sequence.agent_epoch
        has_newer_epoch = agent_epoch > self._known_agent_epoch(machine)
        machine.agent_epoch = max(machine.agent_epoch, agent_epoch)
        if executed:
            self._cancel_absent_placements(machine, heartbeat, sent_at, now)
        elif has_newer_epoch:
            # The kill was addressed to an earlier agent epoch: resend it for this one at once.
            machine.last_direct_kill_at = DISTANT_PAST
            cluster_state.pending_commands.request_direct_kill(machine.id)

    def _cancel_absent_placements(
        self,
        machine: Machine,
        heartbeat: workers.Heartbeat,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) -> None:
        """Cancel the placements of cancelled jobs whose tasks the heartbeat no longer lists.

        The worker has executed a command with this leader's fencing token, so a launch from an
        earlier leader can no longer start a task. A launch from this leader has been executed or
        dropped once `LAUNCH_EXPIRY_S` has passed.
        """
        if heartbeat.token != self._cluster_state.token:
            return
        if heartbeat.sequence <= machine.heartbeat_sequence:
            return
        live_tasks = {
            (task.key, task.attempt)
            for task in heartbeat.tasks
            if task.state != workers.TaskState.EXITED
        }
        for placement in machine.placements_being_cancelled():
            launches_expired = sent_at - placement.job.cancellation_requested_at >= LAUNCH_EXPIRY_S
            if launches_expired and (placement.key, placement.attempt) not in live_tasks:
                self._cluster_state.cancel_placement(placement, now)
