"""How long a machine may be silent, as its own fault, its relay's or the network's."""

from collections.abc import Iterable
from typing import NamedTuple

from eldercart.cluster.inventory import Machine, MachineState
from eldercart.scheduling.cluster_state import SchedulerState
from eldercart.units import NO_REPORT, MachineId, NodeId, ReportOrder, Steady

PROBE_FROM = 0.7  # of the patience, after which a silent machine is asked directly
PROBE_S = 2.0  # between two such questions
PROBES = 4  # handed out at once
CUT_LEASES = 5.0  # for which a machine is left alone that shows itself, but not through its relay
# of a node's machines, whose silence together is the node's
UNREACHABLE_SHARE, UNREACHABLE_LEAST = 0.5, 4
LATE_REPORTS = 1.5  # report intervals after which a report is late
UNHEARD_S = 2.0  # without a word from a relay, after which its machines' silence may be its own
BOOT_LEAST_S = 10.0  # granted to any type of machine


class Probe(NamedTuple):
    """A machine to be asked directly whether it lives."""

    machine: MachineId
    address: str


class Silence:
    """Owns when each relay was heard, and the machines that are to be asked directly."""

    def __init__(self, scheduler: SchedulerState) -> None:
        """No relay was heard yet: each counts as heard now until it is."""
        self._scheduler = scheduler
        self._relays: dict[NodeId, Steady] = {}  # when each was heard last
        self._probes: dict[MachineId, None] = {}
        # nodes of whose machines most fell silent together
        self._unreachable_nodes: set[NodeId] = set()

    # -- who was heard

    def heard(
        self, relay: NodeId, orders: Iterable[tuple[MachineId, ReportOrder]], now: Steady
    ) -> None:
        """The relay has answered these reports by itself: nothing has changed there."""
        self._relays[relay] = now
        get = self._scheduler.fleet.machines.get
        for machine_id, order in orders:
            machine = get(machine_id)
            # An older one is a copy that came late, or has been overtaken by a forwarded report.
            if machine is not None and order > machine.order:
                machine.order = order
                # It may have been answered for the leader before: that shortens no grace.
                machine.last_heard = max(machine.last_heard, now)
                machine.relay = relay

    def shown(self, machine_id: MachineId, now: Steady) -> None:
        """Asked directly, the machine answered: it lives, wherever its reports go."""
        machine = self._scheduler.fleet.get(machine_id)
        if machine is not None:
            machine.shown = now

    def take_probes(self) -> list[Probe]:
        """Machines to be asked directly before their silence is taken for death."""
        probes: list[Probe] = []
        while self._probes and len(probes) < PROBES:
            machine_id = next(iter(self._probes))
            del self._probes[machine_id]
            machine = self._scheduler.fleet.get(machine_id)
            if machine is not None and machine.address:
                probes.append(Probe(machine_id, machine.address))
        return probes

    def stalled(self, seconds: float) -> None:
        """Whatever was due in that time is judged as late as if it had not been: what has waited
        is read first, and everyone has time to report anew."""
        for machine in self._scheduler.fleet.machines.values():
            machine.last_heard = Steady(machine.last_heard + seconds)
            machine.rented_at = Steady(machine.rented_at + seconds)
            machine.undelivered = True  # the last answer may not have left in time
        for relay, heard in self._relays.items():
            self._relays[relay] = Steady(heard + seconds)

    # -- judging silence

    @property
    def patience(self) -> float:
        """Seconds of silence after which a machine that nothing speaks for is given up."""
        tuning = self._scheduler.tuning
        reports = float(tuning.silence_reports) * self._scheduler.settings.report_s
        return max(float(tuning.silence_least_s), reports)

    def find_unreachable_nodes(self, now: Steady) -> None:
        """A node may lose its workers, and nothing else: they wait 4 s for an answer and report to
        another a second later, which can take longer than a machine's patience. A machine dies
        alone, or with others that report elsewhere."""
        late = LATE_REPORTS * self._scheduler.settings.report_s
        machines: dict[NodeId, int] = {}
        silent: dict[NodeId, int] = {}
        for machine in self._scheduler.fleet.machines.values():
            if machine.state is MachineState.UP and machine.relay is not None:
                machines[machine.relay] = machines.get(machine.relay, 0) + 1
                if now - machine.last_heard > late:
                    silent[machine.relay] = silent.get(machine.relay, 0) + 1
        self._unreachable_nodes = {
            node
            for node, number in silent.items()
            if number >= max(UNREACHABLE_LEAST, UNREACHABLE_SHARE * machines[node])
        }

    def is_boot_late(self, machine: Machine, now: Steady) -> bool:
        """Whether a machine should have reported long ago, had it booted."""
        scheduler = self._scheduler
        boot: float = max(scheduler.tuning.boot_patience * machine.type.boot_s, BOOT_LEAST_S)
        return now - machine.rented_at > boot + scheduler.settings.list_lag_s

    def is_dead(self, machine: Machine, patience: float, now: Steady) -> bool:
        """Whether a machine's silence is taken for its death; asks it directly before that."""
        if now - machine.last_heard <= PROBE_FROM * patience:
            return False
        if machine.order == NO_REPORT and not machine.live and not self.is_boot_late(machine, now):
            # Listed as up and never heard, as a machine that booted in a zone that is cut off:
            # nothing waits for it there, and it is worth more than another one that boots anew.
            return False
        if machine.address and now - machine.probed >= PROBE_S:
            machine.probed = now
            self._probes[machine.id] = None
        return now - machine.last_heard > self._limit(machine, patience, now)

    def _limit(self, machine: Machine, patience: float, now: Steady) -> float:
        settings = self._scheduler.settings
        if machine.taken_at is not None and now > machine.taken_at:
            return LATE_REPORTS * settings.report_s  # it was told to us that it would go
        unheard = (
            machine.relay is not None and now - self._relays.get(machine.relay, now) > UNHEARD_S
        )
        if machine.shown > machine.last_heard:
            # It lives, and reports where this leader hears nothing. A node that is cut off
            # lets go of it within its grant; one that can't reach this node, but the store,
            # goes on answering what is unchanged.
            return patience + settings.lease_s * (CUT_LEASES if unheard else 1.0)
        if unheard or machine.relay in self._unreachable_nodes:
            # Its node is silent, or hears no worker: it needs time to find another.
            return patience + settings.lease_s / 2
        return patience
