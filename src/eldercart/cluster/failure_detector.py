"""How long a machine may be silent, as its own fault, its relay's or the network's."""

from collections.abc import Iterable
from typing import NamedTuple

from eldercart.cluster.inventory import Machine, MachineState
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.units import NO_HEARTBEAT, HeartbeatSequence, MachineId, MonotonicTime, NodeId

PROBE_AFTER_SHARE = 0.7  # of the patience, after which a silent machine is asked directly
PROBE_INTERVAL_S = 2.0  # between two such questions
MAX_PROBES_PER_BATCH = 4  # handed out at once
PARTITION_GRACE_LEASES = (
    5.0  # for which a machine is left alone that shows itself, but not through its relay
)
# of a node's machines, whose silence together is the node's
UNREACHABLE_SHARE, UNREACHABLE_MIN_MACHINES = 0.5, 4
LATE_HEARTBEAT_INTERVALS = 1.5  # report intervals after which a report is late
RELAY_TIMEOUT_S = (
    2.0  # without a word from a relay, after which its machines' silence may be its own
)
MIN_BOOT_TIMEOUT_S = 10.0  # granted to any type of machine


class Probe(NamedTuple):
    """A machine to be asked directly whether it lives."""

    machine_id: MachineId
    address: str


class FailureDetector:
    """Owns when each relay was heard, and the machines that are to be asked directly."""

    def __init__(self, scheduler: ClusterState) -> None:
        """No relay was heard yet: each counts as heard now until it is."""
        self._cluster_state = scheduler
        self._relay_last_heartbeat_at: dict[NodeId, MonotonicTime] = {}  # when each was heard last
        self._pending_probes: dict[MachineId, None] = {}
        # nodes of whose machines most fell silent together
        self._unreachable_nodes: set[NodeId] = set()

    # -- who was heard

    def record_relayed_heartbeats(
        self,
        relay: NodeId,
        orders: Iterable[tuple[MachineId, HeartbeatSequence]],
        now: MonotonicTime,
    ) -> None:
        """The relay has answered these reports by itself: nothing has changed there."""
        self._relay_last_heartbeat_at[relay] = now
        get = self._cluster_state.inventory.machines.get
        for machine_id, order in orders:
            machine = get(machine_id)
            # An older one is a copy that came late, or has been overtaken by a forwarded report.
            if machine is not None and order > machine.heartbeat_sequence:
                machine.heartbeat_sequence = order
                # It may have been answered for the leader before: that shortens no grace.
                machine.last_heartbeat_at = max(machine.last_heartbeat_at, now)
                machine.relay = relay

    def record_probe_success(self, machine_id: MachineId, now: MonotonicTime) -> None:
        """Asked directly, the machine answered: it lives, wherever its reports go."""
        machine = self._cluster_state.inventory.get(machine_id)
        if machine is not None:
            machine.last_probe_success_at = now

    def take_probes(self) -> list[Probe]:
        """Machines to be asked directly before their silence is taken for death."""
        probes: list[Probe] = []
        while self._pending_probes and len(probes) < MAX_PROBES_PER_BATCH:
            machine_id = next(iter(self._pending_probes))
            del self._pending_probes[machine_id]
            machine = self._cluster_state.inventory.get(machine_id)
            if machine is not None and machine.address:
                probes.append(Probe(machine_id, machine.address))
        return probes

    def exclude_stall(self, seconds: float) -> None:
        """Whatever was due in that time is judged as late as if it had not been: what has waited
        is read first, and everyone has time to report anew."""
        for machine in self._cluster_state.inventory.machines.values():
            machine.last_heartbeat_at = MonotonicTime(machine.last_heartbeat_at + seconds)
            machine.provisioned_at = MonotonicTime(machine.provisioned_at + seconds)
            machine.is_response_undelivered = True  # the last answer may not have left in time
        for relay, heard in self._relay_last_heartbeat_at.items():
            self._relay_last_heartbeat_at[relay] = MonotonicTime(heard + seconds)

    # -- judging silence

    @property
    def timeout_s(self) -> float:
        """Seconds of silence after which a machine that nothing speaks for is given up."""
        tuning = self._cluster_state.tuning
        reports = float(tuning.silence_reports) * self._cluster_state.settings.report_s
        return max(float(tuning.silence_least_s), reports)

    def update_unreachable_nodes(self, now: MonotonicTime) -> None:
        """A node may lose its workers, and nothing else: they wait 4 s for an answer and report to
        another a second later, which can take longer than a machine's patience. A machine dies
        alone, or with others that report elsewhere."""
        late = LATE_HEARTBEAT_INTERVALS * self._cluster_state.settings.report_s
        machines: dict[NodeId, int] = {}
        silent: dict[NodeId, int] = {}
        for machine in self._cluster_state.inventory.machines.values():
            if machine.state is MachineState.UP and machine.relay is not None:
                machines[machine.relay] = machines.get(machine.relay, 0) + 1
                if now - machine.last_heartbeat_at > late:
                    silent[machine.relay] = silent.get(machine.relay, 0) + 1
        self._unreachable_nodes = {
            node
            for node, number in silent.items()
            if number >= max(UNREACHABLE_MIN_MACHINES, UNREACHABLE_SHARE * machines[node])
        }

    def is_boot_overdue(self, machine: Machine, now: MonotonicTime) -> bool:
        """Whether a machine should have reported long ago, had it booted."""
        scheduler = self._cluster_state
        boot: float = max(scheduler.tuning.boot_patience * machine.type.boot_s, MIN_BOOT_TIMEOUT_S)
        return now - machine.provisioned_at > boot + scheduler.settings.list_lag_s

    def is_dead(self, machine: Machine, patience: float, now: MonotonicTime) -> bool:
        """Whether a machine's silence is taken for its death; asks it directly before that."""
        if now - machine.last_heartbeat_at <= PROBE_AFTER_SHARE * patience:
            return False
        if (
            machine.heartbeat_sequence == NO_HEARTBEAT
            and not machine.live_task_count
            and not self.is_boot_overdue(machine, now)
        ):
            # Listed as up and never heard, as a machine that booted in a zone that is cut off:
            # nothing waits for it there, and it is worth more than another one that boots anew.
            return False
        if machine.address and now - machine.last_probe_at >= PROBE_INTERVAL_S:
            machine.last_probe_at = now
            self._pending_probes[machine.id] = None
        return now - machine.last_heartbeat_at > self._effective_timeout_s(machine, patience, now)

    def _effective_timeout_s(self, machine: Machine, patience: float, now: MonotonicTime) -> float:
        settings = self._cluster_state.settings
        if machine.reclaim_at is not None and now > machine.reclaim_at:
            return (
                LATE_HEARTBEAT_INTERVALS * settings.report_s
            )  # it was told to us that it would go
        unheard = (
            machine.relay is not None
            and now - self._relay_last_heartbeat_at.get(machine.relay, now) > RELAY_TIMEOUT_S
        )
        if machine.last_probe_success_at > machine.last_heartbeat_at:
            # It lives, and reports where this leader hears nothing. A node that is cut off
            # lets go of it within its grant; one that can't reach this node, but the store,
            # goes on answering what is unchanged.
            return patience + settings.lease_s * (PARTITION_GRACE_LEASES if unheard else 1.0)
        if unheard or machine.relay in self._unreachable_nodes:
            # Its node is silent, or hears no worker: it needs time to find another.
            return patience + settings.lease_s / 2
        return patience
