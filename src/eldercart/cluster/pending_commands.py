"""Machines for which commands are pending: in a heartbeat response or sent directly."""

from eldercart.cluster.inventory import Machine, MachineState
from eldercart.units import MachineId, NodeId


class PendingCommands:
    """Owns the set of machines that need a command and the set that needs direct kills."""

    def __init__(self) -> None:
        """Start with both sets empty."""
        self._machines_needing_command: dict[MachineId, Machine] = {}
        self._direct_kills: dict[MachineId, None] = {}

    def mark_needs_command(self, machine: Machine) -> None:
        """Request that relays forward the machine's next heartbeat, to answer it with a command."""
        # This includes machines that are being deleted: while the cloud is unavailable, a cancelled
        # task may still run on one of them.
        if not machine.needs_command and machine.state in (MachineState.UP, MachineState.DELETING):
            machine.needs_command = True
            self._machines_needing_command[machine.id] = machine

    def take_machines_needing_command(self) -> dict[NodeId, list[MachineId]]:
        """Return the machines marked since the last call, by the node that relays for them.

        Machines without a relay are left out.
        """
        machine_ids_by_relay: dict[NodeId, list[MachineId]] = {}
        for machine in self._machines_needing_command.values():
            machine.needs_command = False
            if machine.relay is not None:
                machine_ids_by_relay.setdefault(machine.relay, []).append(machine.id)
        self._machines_needing_command.clear()
        return machine_ids_by_relay

    def request_direct_kill(self, machine_id: MachineId) -> None:
        """Request direct kills of the cancelled tasks on the machine; idempotent."""
        self._direct_kills[machine_id] = None

    def remove_direct_kill(self, machine_id: MachineId) -> None:
        """Remove the request that `request_direct_kill` made.

        Raises `KeyError` if there is none.
        """
        del self._direct_kills[machine_id]

    def machines_for_direct_kill(self) -> list[MachineId]:
        """Return the machines for which direct kills are requested, the oldest request first."""
        return list(self._direct_kills)
