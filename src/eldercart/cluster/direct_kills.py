"""Kills of cancelled tasks that go straight to the worker, besides going into its next answer."""

from dataclasses import dataclass

from eldercart.cluster.inventory import Machine, MachineState
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.units import DISTANT_PAST, AgentEpoch, MachineId, MonotonicTime
from eldercart.wire import workers

MIN_KILL_INTERVAL_S = 2.0  # between two direct commands to a machine
KILLS_PER_CORE_SECOND = (
    120.0  # a second on a whole core: a connection each, which costs a millisecond
)
MIN_CORE_SHARE = 0.1  # of a core that is counted on
# A worker drops an answer 4 s after it sent the report: by then a launch sent before the stop has
# been carried out, or never will be.
LAUNCH_EXPIRY_S = 4.5


@dataclass(frozen=True, slots=True)
class DirectKill:
    """Kills that go straight to the worker."""

    machine_id: MachineId
    address: str
    agent_epoch: AgentEpoch
    commands: tuple[workers.Kill, ...]


class DirectKills:
    """Hands direct commands out at a bounded rate and reads what the workers answer.

    A worker may report to a node that still acts for the leader before, and that can't be told so
    while the store is down: the order ends the task, and shows the worker the new epoch, after
    which it obeys nobody else. It also comes before a task that is fetching its image starts. Only
    kills go this way: a launch that the network holds back would run late."""

    def __init__(self, scheduler: ClusterState) -> None:
        """Nothing was handed out yet."""
        self._cluster_state = scheduler
        self._last_sent_at = scheduler.started_at  # when direct commands were handed out last

    def take(self, now: MonotonicTime) -> list[DirectKill]:
        """The orders that may be sent now."""
        orders: list[DirectKill] = []
        waiting = self._cluster_state.pending_direct_kills
        if not waiting:
            return orders
        allowed = self._send_budget(now)
        for machine_id in list(waiting):
            if len(orders) >= allowed:
                break
            machine = self._cluster_state.inventory.get(machine_id)
            if machine is None or machine.state not in (MachineState.UP, MachineState.DELETING):
                del waiting[machine_id]
                continue
            if not machine.address or now - machine.last_direct_kill_at < MIN_KILL_INTERVAL_S:
                continue
            del waiting[machine_id]
            order = self._build_direct_kill(machine)
            if order is not None:
                machine.last_direct_kill_at = now
                orders.append(order)
        if orders:
            self._last_sent_at = now
        return orders

    def _send_budget(self, now: MonotonicTime) -> int:
        rate = KILLS_PER_CORE_SECOND * max(MIN_CORE_SHARE, self._cluster_state.settings.core_share)
        return int(min(1.0, now - self._last_sent_at) * rate)

    def _build_direct_kill(self, machine: Machine) -> DirectKill | None:
        kills = tuple(
            workers.Kill(placement.key, placement.attempt, 0.0)
            for placement in machine.placements_being_cancelled()
        )
        if not kills:
            return None
        session = max(machine.agent_epoch, machine.heartbeat_sequence.agent_epoch, AgentEpoch(1))
        return DirectKill(machine.id, machine.address, session, kills[: workers.MAX_COMMANDS])

    def on_response(
        self, report: workers.Heartbeat, executed: bool, sent: MonotonicTime, now: MonotonicTime
    ) -> None:
        """The worker's report after a direct command, or instead of it (another session)."""
        scheduler = self._cluster_state
        machine = scheduler.inventory.get(report.machine)
        if machine is None:
            return
        machine.last_probe_success_at = now
        session_rose = report.sequence.agent_epoch > max(
            machine.agent_epoch, machine.heartbeat_sequence.agent_epoch, AgentEpoch(1)
        )
        machine.agent_epoch = max(machine.agent_epoch, report.sequence.agent_epoch)
        if executed:
            self._cancel_absent_placements(machine, report, sent, now)
        elif session_rose:
            # It was meant for an earlier session; once more for this one, at once.
            machine.last_direct_kill_at = DISTANT_PAST
            scheduler.pending_direct_kills[machine.id] = None

    def _cancel_absent_placements(
        self, machine: Machine, report: workers.Heartbeat, sent: MonotonicTime, now: MonotonicTime
    ) -> None:
        """It has obeyed under this epoch, so nothing that an earlier leader sent can start a task
        any more, and what this one sent has run or was dropped."""
        if (
            report.token != self._cluster_state.token
            or report.sequence <= machine.heartbeat_sequence
        ):
            return
        there = {(t.key, t.attempt) for t in report.tasks if t.state != workers.TaskState.EXITED}
        for placement in machine.placements_being_cancelled():
            launches_over = sent - placement.job.cancelled_at >= LAUNCH_EXPIRY_S
            if launches_over and (placement.key, placement.attempt) not in there:
                self._cluster_state.cancel_placement(placement, now)
