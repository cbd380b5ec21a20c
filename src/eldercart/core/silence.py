"""How long a machine may be silent, as its own fault, its relay's or the network's."""

from collections.abc import Iterable
from typing import NamedTuple

from eldercart.core.fleet import Life, Machine
from eldercart.core.floor import Floor
from eldercart.units import NO_REPORT, MachineId, NodeId, ReportOrder, Steady

PROBE_FROM = 0.7  # of the patience, after which a silent machine is asked directly
PROBE_S = 2.0  # between two such questions
PROBES = 4  # handed out at once
CUT_LEASES = 5.0  # for which a machine is left alone that shows itself, but not through its relay
MUTE_SHARE, MUTE_LEAST = 0.5, 4  # of a node's machines, whose silence together is the node's
LATE_REPORTS = 1.5  # report intervals after which a report is late
UNHEARD_S = 2.0  # without a word from a relay, after which its machines' silence may be its own
BOOT_LEAST_S = 10.0  # granted to any type of machine


class Probe(NamedTuple):
    """A machine to be asked directly whether it lives."""

    machine: MachineId
    address: str


class Silence:
    """Owns when each relay was heard, and the machines that are to be asked directly."""

    def __init__(self, floor: Floor) -> None:
        """No relay was heard yet: each counts as heard now until it is."""
        self._floor = floor
        self._relays: dict[NodeId, Steady] = {}  # when each was heard last
        self._probes: dict[MachineId, None] = {}
        self._mute: set[NodeId] = set()  # nodes of whose machines most fell silent together

    # -- who was heard

    def heard(
        self, relay: NodeId, orders: Iterable[tuple[MachineId, ReportOrder]], now: Steady
    ) -> None:
        """The relay has answered these reports by itself: nothing has changed there."""
        self._relays[relay] = now
        get = self._floor.fleet.machines.get
        for machine, order in orders:
            m = get(machine)
            # An older one is a copy that came late, or has been overtaken by a forwarded report.
            if m is not None and order > m.order:
                m.order = order
                # It may have been answered for the leader before: that shortens no grace.
                m.last_heard = max(m.last_heard, now)
                m.relay = relay

    def shown(self, machine: MachineId, now: Steady) -> None:
        """Asked directly, the machine answered: it lives, wherever its reports go."""
        m = self._floor.fleet.get(machine)
        if m is not None:
            m.shown = now

    def take_probes(self) -> list[Probe]:
        """Machines to be asked directly before their silence is taken for death."""
        probes: list[Probe] = []
        while self._probes and len(probes) < PROBES:
            machine = next(iter(self._probes))
            del self._probes[machine]
            m = self._floor.fleet.get(machine)
            if m is not None and m.address:
                probes.append(Probe(machine, m.address))
        return probes

    def stood_still(self, seconds: float) -> None:
        """Whatever was due in that time is judged as late as if it had not been: what has waited
        is read first, and everyone has time to report anew."""
        for m in self._floor.fleet.machines.values():
            m.last_heard = Steady(m.last_heard + seconds)
            m.hired = Steady(m.hired + seconds)
            m.undelivered = True  # the last answer may not have left in time
        for relay, heard in self._relays.items():
            self._relays[relay] = Steady(heard + seconds)

    # -- judging silence

    @property
    def patience(self) -> float:
        """Seconds of silence after which a machine that nothing speaks for is given up."""
        tuning = self._floor.tuning
        reports = float(tuning.silence_reports) * self._floor.settings.report_s
        return max(float(tuning.silence_least_s), reports)

    def find_mute(self, now: Steady) -> None:
        """A node may lose its workers, and nothing else: they wait 4 s for an answer and report to
        another a second later, which can take longer than a machine's patience. A machine dies
        alone, or with others that report elsewhere."""
        late = LATE_REPORTS * self._floor.settings.report_s
        machines: dict[NodeId, int] = {}
        silent: dict[NodeId, int] = {}
        for m in self._floor.fleet.machines.values():
            if m.life is Life.UP and m.relay is not None:
                machines[m.relay] = machines.get(m.relay, 0) + 1
                if now - m.last_heard > late:
                    silent[m.relay] = silent.get(m.relay, 0) + 1
        self._mute = {
            node
            for node, number in silent.items()
            if number >= max(MUTE_LEAST, MUTE_SHARE * machines[node])
        }

    def is_boot_late(self, m: Machine, now: Steady) -> bool:
        """Whether a machine should have reported long ago, had it booted."""
        floor = self._floor
        boot: float = max(floor.tuning.boot_patience * m.type.boot_s, BOOT_LEAST_S)
        return now - m.hired > boot + floor.settings.list_lag_s

    def is_dead(self, m: Machine, patience: float, now: Steady) -> bool:
        """Whether a machine's silence is taken for its death; asks it directly before that."""
        if now - m.last_heard <= PROBE_FROM * patience:
            return False
        if m.order == NO_REPORT and not m.live and not self.is_boot_late(m, now):
            # Listed as up and never heard, as a machine that booted in a zone that is cut off:
            # nothing waits for it there, and it is worth more than another one that boots anew.
            return False
        if m.address and now - m.probed >= PROBE_S:
            m.probed = now
            self._probes[m.id] = None
        return now - m.last_heard > self._limit(m, patience, now)

    def _limit(self, m: Machine, patience: float, now: Steady) -> float:
        settings = self._floor.settings
        if m.taken_at is not None and now > m.taken_at:
            return LATE_REPORTS * settings.report_s  # it was told to us that it would go
        unheard = m.relay is not None and now - self._relays.get(m.relay, now) > UNHEARD_S
        if m.shown > m.last_heard:
            # It lives, and reports where this leader hears nothing. A node that is cut off
            # lets go of it within its grant; one that can't reach this node, but the store,
            # goes on answering what is unchanged.
            return patience + settings.lease_s * (CUT_LEASES if unheard else 1.0)
        if unheard or m.relay in self._mute:
            # Its node is silent, or hears no worker: it needs time to find another.
            return patience + settings.lease_s / 2
        return patience
