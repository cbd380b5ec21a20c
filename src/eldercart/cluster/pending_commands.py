"""Machines that wait for a command, in their next heartbeat response or sent directly."""

from eldercart.cluster.inventory import Machine, MachineState
from eldercart.units import MachineId, NodeId


class PendingCommands:
    """Owns which machines need a command, and which need kills sent straight to their workers."""

    def __init__(self) -> None:
        """Start with no machine waiting."""
        self._machines_needing_command: dict[MachineId, Machine] = {}
        self._direct_kills: dict[MachineId, None] = {}

    def mark_needs_command(self, machine: Machine) -> None:
        """Record that the machine's next heartbeat should come here, to be given a command."""
        # Also if it waits for its deletion: the cloud may be down, and a cancelled task be there.
        if not machine.needs_command and machine.state in (MachineState.UP, MachineState.DELETING):
            machine.needs_command = True
            self._machines_needing_command[machine.id] = machine

    def take_machines_needing_command(self) -> dict[NodeId, list[MachineId]]:
        """Return the machines marked since the last call, by the relay of their heartbeats."""
        machine_ids_by_relay: dict[NodeId, list[MachineId]] = {}
        for machine in self._machines_needing_command.values():
            machine.needs_command = False
            if machine.relay is not None:
                machine_ids_by_relay.setdefault(machine.relay, []).append(machine.id)
        self._machines_needing_command.clear()
        return machine_ids_by_relay

    def request_direct_kill(self, machine_id: MachineId) -> None:
        """Request that kills of cancelled tasks are sent straight to the machine's worker."""
        self._direct_kills[machine_id] = None

    def remove_direct_kill(self, machine_id: MachineId) -> None:
        """Drop the request made by `request_direct_kill`."""
        del self._direct_kills[machine_id]

    def direct_kills(self) -> list[MachineId]:
        """Return the machines with a request for direct kills, the oldest request first."""
        return list(self._direct_kills)
