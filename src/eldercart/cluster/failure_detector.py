"""Failure detector: how long a machine may be silent before it is taken for dead.

The silence may be the machine's own fault, its relay's or the network's; each has its own timeout.
"""

from collections.abc import Iterable
from typing import NamedTuple

from eldercart.cluster.inventory import Machine, MachineState
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.units import NO_HEARTBEAT, HeartbeatSequence, MachineId, MonotonicTime, NodeId

PROBE_AFTER_SHARE = 0.7  # of the timeout, after which a silent machine is probed
PROBE_INTERVAL_S = 2.0  # between two probes of a machine
MAX_PROBES_PER_BATCH = 4
# Leases for which a machine is left alone that answers probes, but does not report by its relay.
PARTITION_GRACE_LEASES = 5.0
# A node is unreachable if this share of its machines, and this many, are silent at once.
UNREACHABLE_SHARE = 0.5
UNREACHABLE_MIN_MACHINES = 4
LATE_HEARTBEAT_INTERVALS = 1.5  # heartbeat intervals after which a heartbeat is late
RELAY_TIMEOUT_S = 2.0  # silence of a relay after which its machines' silence may be the relay's
MIN_BOOT_TIMEOUT_S = 10.0  # granted to any type of machine


class Probe(NamedTuple):
    """A machine to be asked directly whether it lives."""

    machine_id: MachineId
    address: str


class FailureDetector:
    """Judges machines by their silence; owns when each relay last reported and the due probes."""

    def __init__(self, cluster_state: ClusterState) -> None:
        """Start with no relay known: each counts as having reported just now until it does."""
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
        """Record heartbeats that the relay has acknowledged by itself, as nothing had changed."""
        self._relay_last_heartbeat_at[relay] = now
        get = self._cluster_state.inventory.machines.get
        for machine_id, sequence in acknowledged:
            machine = get(machine_id)
            # An older one is a late copy, or has been overtaken by a forwarded heartbeat.
            if machine is not None and sequence > machine.heartbeat_sequence:
                machine.heartbeat_sequence = sequence
                # It may have been answered for the previous leader: that shortens no grace period.
                machine.last_heartbeat_at = max(machine.last_heartbeat_at, now)
                machine.relay = relay

    def record_probe_success(self, machine_id: MachineId, now: MonotonicTime) -> None:
        """Record that the machine answered a probe: it lives, wherever its heartbeats go."""
        machine = self._cluster_state.inventory.get(machine_id)
        if machine is not None:
            machine.last_probe_success_at = now

    def take_probes(self) -> list[Probe]:
        """Return the next machines to probe before their silence is taken for death."""
        probes: list[Probe] = []
        while self._pending_probes and len(probes) < MAX_PROBES_PER_BATCH:
            machine_id = next(iter(self._pending_probes))
            del self._pending_probes[machine_id]
            machine = self._cluster_state.inventory.get(machine_id)
            if machine is not None and machine.address:
                probes.append(Probe(machine_id, machine.address))
        return probes

    def exclude_stall(self, seconds: float) -> None:
        """Take `seconds` in which this process did not run out of everyone's silence.

        What has waited meanwhile is read first, and every machine has time for a new heartbeat.
        """
        for machine in self._cluster_state.inventory.machines.values():
            machine.last_heartbeat_at = MonotonicTime(machine.last_heartbeat_at + seconds)
            machine.provisioned_at = MonotonicTime(machine.provisioned_at + seconds)
            machine.is_response_undelivered = True  # the last response may not have left in time
        for relay, last_heartbeat_at in self._relay_last_heartbeat_at.items():
            self._relay_last_heartbeat_at[relay] = MonotonicTime(last_heartbeat_at + seconds)

    # -- judging silence

    @property
    def timeout_s(self) -> float:
        """Seconds of silence after which a machine is dead, unless other evidence extends them."""
        tuning = self._cluster_state.tuning
        by_interval_s = float(tuning.silence_reports) * self._cluster_state.settings.report_s
        return max(float(tuning.silence_least_s), by_interval_s)

    def update_unreachable_nodes(self, now: MonotonicTime) -> None:
        """Find the nodes of whose machines most fell silent together.

        A node may lose its workers, and nothing else: they wait 4 s for a response and turn to
        another node a second later, which can take longer than a machine's timeout. A machine dies
        alone, or with others that report elsewhere.
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
        """Return whether the machine should have sent a heartbeat by now, had it booted."""
        tuning = self._cluster_state.tuning
        boot_timeout_s: float = max(tuning.boot_patience * machine.type.boot_s, MIN_BOOT_TIMEOUT_S)
        list_lag_s = self._cluster_state.settings.list_lag_s
        return now - machine.provisioned_at > boot_timeout_s + list_lag_s

    def is_dead(self, machine: Machine, timeout_s: float, now: MonotonicTime) -> bool:
        """Return whether the machine's silence is taken for death; queue a probe before that.

        `timeout_s` is the property of the same name, read once per pass over all machines.
        """
        silence_s = now - machine.last_heartbeat_at
        if silence_s <= PROBE_AFTER_SHARE * timeout_s:
            return False
        if (
            machine.heartbeat_sequence == NO_HEARTBEAT
            and not machine.live_task_count
            and not self.is_boot_overdue(machine, now)
        ):
            # Listed as up without a heartbeat, as a machine that booted in a zone that is cut off:
            # nothing waits for it there, and it is worth more than another one that boots anew.
            return False
        if machine.address and now - machine.last_probe_at >= PROBE_INTERVAL_S:
            machine.last_probe_at = now
            self._pending_probes[machine.id] = None
        return silence_s > self._effective_timeout_s(machine, timeout_s, now)

    def _effective_timeout_s(self, machine: Machine, timeout_s: float, now: MonotonicTime) -> float:
        """Return the timeout of this machine, by what speaks for or against it."""
        settings = self._cluster_state.settings
        if machine.reclaim_at is not None and now > machine.reclaim_at:
            # The cloud announced that it would take the machine back.
            return LATE_HEARTBEAT_INTERVALS * settings.report_s
        is_relay_silent = (
            machine.relay is not None
            and now - self._relay_last_heartbeat_at.get(machine.relay, now) > RELAY_TIMEOUT_S
        )
        if machine.last_probe_success_at > machine.last_heartbeat_at:
            # It lives, and sends heartbeats to a node that does not reach this leader. A node that
            # is cut off lets go of it within its relay lease; one that can't reach this node, but
            # the store, goes on acknowledging what is unchanged.
            grace_leases = PARTITION_GRACE_LEASES if is_relay_silent else 1.0
            return timeout_s + settings.lease_s * grace_leases
        if is_relay_silent or machine.relay in self._unreachable_nodes:
            # Its node is silent, or receives no heartbeats: it needs time to find another.
            return timeout_s + settings.lease_s / 2
        return timeout_s
