"""Failure detector: decides from heartbeats and probes when a silent machine counts as dead.

The machine, its relay or the network may cause the silence; each case has its own timeout.
"""

from collections.abc import Iterable
from typing import NamedTuple

from eldercart.cluster.inventory import Machine, MachineState
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.units import NO_HEARTBEAT, HeartbeatSequence, MachineId, MonotonicTime, NodeId

PROBE_AFTER_SHARE = 0.7  # fraction of the timeout after which a silent machine is probed
PROBE_INTERVAL_S = 2.0  # minimum time between two probes of a machine
MAX_PROBES_PER_BATCH = 4
# Worker leases added to the timeout of a machine that answers probes while its relay is silent.
PARTITION_GRACE_LEASES = 5.0
# A node counts as unreachable if at least this share and number of its machines are silent at once.
UNREACHABLE_SHARE = 0.5
UNREACHABLE_MIN_MACHINES = 4
LATE_HEARTBEAT_INTERVALS = 1.5  # heartbeat intervals after which a heartbeat is overdue
RELAY_TIMEOUT_S = 2.0  # relay silence that may explain the silence of its machines
MIN_BOOT_TIMEOUT_S = 10.0  # lower bound for all machine types


class Probe(NamedTuple):
    """A request to a machine, sent directly to its worker, that shows whether it is alive."""

    machine_id: MachineId
    address: str


class FailureDetector:
    """Detects dead machines; owns the last contact time of each relay and the pending probes."""

    def __init__(self, cluster_state: ClusterState) -> None:
        """Start without relays: a relay counts as responsive until its first report."""
        self._cluster_state = cluster_state
        self._relay_last_heartbeat_at: dict[NodeId, MonotonicTime] = {}
        self._pending_probes: dict[MachineId, None] = {}
        self._unreachable_nodes: set[NodeId] = set()

    # -- signs of life

    def record_relayed_heartbeats(
        self,
        relay: NodeId,
        acknowledged: Iterable[tuple[MachineId, HeartbeatSequence]],
        now: MonotonicTime,
    ) -> None:
        """Record unchanged heartbeats that the relay has acknowledged without the leader."""
        self._relay_last_heartbeat_at[relay] = now
        get = self._cluster_state.inventory.machines.get
        for machine_id, sequence in acknowledged:
            machine = get(machine_id)
            # An older one is a delayed copy, or a newer heartbeat has been forwarded since.
            if machine is not None and sequence > machine.heartbeat_sequence:
                machine.heartbeat_sequence = sequence
                # The relay may have answered it for the previous leader. It must not shorten the
                # grace period after a takeover, which sets `last_heartbeat_at` in the future.
                machine.last_heartbeat_at = max(machine.last_heartbeat_at, now)
                machine.relay = relay

    def record_probe_success(self, machine_id: MachineId, now: MonotonicTime) -> None:
        """Record that the machine answered a probe, so it is alive even without heartbeats."""
        machine = self._cluster_state.inventory.get(machine_id)
        if machine is not None:
            machine.last_probe_success_at = now

    def take_probes(self) -> list[Probe]:
        """Return and dequeue the next machines to probe, before any of them counts as dead."""
        probes: list[Probe] = []
        while self._pending_probes and len(probes) < MAX_PROBES_PER_BATCH:
            machine_id = next(iter(self._pending_probes))
            del self._pending_probes[machine_id]
            machine = self._cluster_state.inventory.get(machine_id)
            if machine is not None and machine.address:
                probes.append(Probe(machine_id, machine.address))
        return probes

    def exclude_stall(self, seconds: float) -> None:
        """Subtract `seconds`, in which this process was stalled, from the silence of all machines.

        The process first reads the messages that arrived meanwhile, and every machine has time to
        send a new heartbeat.
        """
        for machine in self._cluster_state.inventory.machines.values():
            machine.last_heartbeat_at = MonotonicTime(machine.last_heartbeat_at + seconds)
            machine.provisioned_at = MonotonicTime(machine.provisioned_at + seconds)
            machine.is_response_undelivered = True  # the last response may not have left in time
        for relay, last_heartbeat_at in self._relay_last_heartbeat_at.items():
            self._relay_last_heartbeat_at[relay] = MonotonicTime(last_heartbeat_at + seconds)

    # -- silence

    @property
    def timeout_s(self) -> float:
        """Seconds of silence after which a machine counts as dead, unless evidence extends them."""
        tuning = self._cluster_state.tuning
        by_interval_s = float(tuning.silence_reports) * self._cluster_state.settings.report_s
        return max(float(tuning.silence_least_s), by_interval_s)

    def update_unreachable_nodes(self, now: MonotonicTime) -> None:
        """Find the nodes that most of their workers seem unable to reach.

        A node may lose the connections to its workers and nothing else. Workers wait 4 s for a
        response and switch to another node a second later, which can take longer than a machine's
        timeout. A machine that dies does so alone, or with machines that report to other nodes.
        """
        late_after_s = LATE_HEARTBEAT_INTERVALS * self._cluster_state.settings.report_s
        machine_counts: dict[NodeId, int] = {}
        silent_counts: dict[NodeId, int] = {}
        for machine in self._cluster_state.inventory.machines.values():
            if machine.state is MachineState.UP and machine.relay is not None:
                node = machine.relay
                machine_counts[node] = machine_counts.get(node, 0) + 1
                if now - machine.last_heartbeat_at > late_after_s:
                    silent_counts[node] = silent_counts.get(node, 0) + 1
        self._unreachable_nodes = {
            node
            for node, count in silent_counts.items()
            if count >= max(UNREACHABLE_MIN_MACHINES, UNREACHABLE_SHARE * machine_counts[node])
        }

    def is_boot_overdue(self, machine: Machine, now: MonotonicTime) -> bool:
        """Return whether the machine should have booted and sent a heartbeat by now."""
        tuning = self._cluster_state.tuning
        boot_timeout_s: float = max(tuning.boot_patience * machine.type.boot_s, MIN_BOOT_TIMEOUT_S)
        list_lag_s = self._cluster_state.settings.list_lag_s
        return now - machine.provisioned_at > boot_timeout_s + list_lag_s

    def is_dead(self, machine: Machine, timeout_s: float, now: MonotonicTime) -> bool:
        """Return whether the machine counts as dead; before that, queue probes of it.

        The caller reads the property `timeout_s` once per pass over all machines and passes it in.
        """
        silence_s = now - machine.last_heartbeat_at
        if silence_s <= PROBE_AFTER_SHARE * timeout_s:
            return False
        if (
            machine.heartbeat_sequence == NO_HEARTBEAT
            and not machine.live_task_count
            and not self.is_boot_overdue(machine, now)
        ):
            # The cloud lists the machine as up, but it has sent no heartbeat, for example because
            # its zone is cut off. No task is placed on it, and keeping it is better than booting a
            # replacement.
            return False
        if machine.address and now - machine.last_probe_at >= PROBE_INTERVAL_S:
            machine.last_probe_at = now
            self._pending_probes[machine.id] = None
        return silence_s > self._effective_timeout_s(machine, timeout_s, now)

    def _effective_timeout_s(self, machine: Machine, timeout_s: float, now: MonotonicTime) -> float:
        """Return the timeout of this machine, adjusted by evidence other than its heartbeats."""
        settings = self._cluster_state.settings
        if machine.reclaim_at is not None and now > machine.reclaim_at:
            # The cloud has announced that it would reclaim the machine by now.
            return LATE_HEARTBEAT_INTERVALS * settings.report_s
        is_relay_silent = (
            machine.relay is not None
            and now - self._relay_last_heartbeat_at.get(machine.relay, now) > RELAY_TIMEOUT_S
        )
        if machine.last_probe_success_at > machine.last_heartbeat_at:
            # The machine is alive and sends heartbeats to a node that can't reach this leader. A
            # node that is cut off redirects its workers once its relay lease ends; a node that can
            # reach the store but not this leader keeps acknowledging unchanged heartbeats.
            grace_leases = PARTITION_GRACE_LEASES if is_relay_silent else 1.0
            return timeout_s + settings.lease_s * grace_leases
        if is_relay_silent or machine.relay in self._unreachable_nodes:
            # The relay is silent or receives no heartbeats: the worker needs time to switch nodes.
            return timeout_s + settings.lease_s / 2
        return timeout_s
