"""What stands between the leader's calls to the cloud and the cloud: rentals and returns go out
only once their intents are recorded.

A call that cannot be recorded now is given back at once; the leader asks for it again.
"""

from dataclasses import dataclass, field
from enum import Enum

from eldercart.autoscaling.cloud_requests import CloudCall, Delete, Rent
from eldercart.singleton.intents import IntentLog, IntentWrite, WriteOutcome
from eldercart.units import Epoch, MachineId, Revision, Steady, Token, WallTime
from eldercart.wire.named_leases import DutyName, Intent, RentalIntent, ReturnIntent
from eldercart.wire.state import Item

RECORDED_DUTIES = (DutyName.RENTAL, DutyName.RETURN)


class Path(Enum):
    """How the calls of a duty reach the cloud."""

    DIRECT = "direct"  # without intents, under the leader's lease: not every node knows duties
    RECORDED = "recorded"
    HELD = "held"  # not now: nothing can be recorded


@dataclass(frozen=True, slots=True)
class Route:
    """The path of a duty's calls, and the token of the holder where they are recorded."""

    path: Path
    token: Token | None = None


@dataclass(slots=True)
class _Waiting:
    """A call whose intents are not recorded yet."""

    call: Rent | Delete
    intents: list[Intent]


@dataclass(slots=True)
class GateOutput:
    """What follows from the last inputs."""

    send: list[Rent | Delete] = field(default_factory=list)
    give_back: list[Rent | Delete] = field(default_factory=list)
    write: list[tuple[DutyName, IntentWrite]] = field(default_factory=list)
    reread: list[DutyName] = field(default_factory=list)


def duty_of_call(call: CloudCall) -> DutyName | None:
    """The duty that the call belongs to; None: one that changes nothing."""
    if isinstance(call, Rent):
        return DutyName.RENTAL
    return DutyName.RETURN if isinstance(call, Delete) else None


class CloudGate:
    """Owns the logs of intents during one leadership."""

    def __init__(self, epoch: Epoch, most_bytes: int) -> None:
        """For the leader of `epoch`; a record of intents takes at most `most_bytes`."""
        self._epoch = epoch
        self.logs = {duty: IntentLog(duty, most_bytes) for duty in RECORDED_DUTIES}
        self._waiting: dict[DutyName, list[_Waiting]] = {duty: [] for duty in RECORDED_DUTIES}
        self._in_flight: dict[DutyName, int] = dict.fromkeys(RECORDED_DUTIES, 0)
        self._rereading: set[DutyName] = set()

    def load(self, duty: DutyName, item: Item | None) -> list[Intent]:
        """Takes the record that was read after the election; returns the open intents, which this
        leader has to finish."""
        return self.logs[duty].load(item)

    def busy(self, duty: DutyName) -> bool:
        """Whether something of the duty is under way, so that it can't be given up yet."""
        if duty not in self.logs:
            return False
        return bool(self._waiting[duty]) or self._in_flight[duty] > 0 or self.logs[duty].writing

    # -- inputs

    def admit(self, call: Rent | Delete, wall: WallTime, urgent: bool = True) -> Rent | Delete:
        """Takes a call whose intents are to be recorded; returns it, cut to what the record can
        take. One that is not urgent may wait a little for others."""
        log = self._log_of(call)
        intents = _intents_of(call, wall)
        if isinstance(call, Delete):
            most = max(1, log.room_for(intents))
            call, intents = Delete(call.machines[:most]), intents[:most]
        for intent in intents:
            log.create(intent, urgent)
        self._waiting[log.duty].append(_Waiting(call, intents))
        return call

    def _log_of(self, call: Rent | Delete) -> IntentLog:
        return self.logs[DutyName.RENTAL if isinstance(call, Rent) else DutyName.RETURN]

    def has_room(self, duty: DutyName) -> bool:
        """Whether the duty's record can take one more intent of the usual size."""
        log = self.logs[duty]
        sample = _SAMPLES[duty]
        return log.loaded and log.room_for([sample]) == 1

    def answered(self, call: Rent | Delete, final: bool, now: Steady) -> None:
        """The cloud's answer to a call that was sent; not `final`: there was none, or trouble."""
        log = self._log_of(call)
        self._in_flight[log.duty] -= 1
        for name in _names_of(call):
            if final:
                log.finished(name, now)
            else:
                log.unanswered(name)

    def answered_directly(self, call: Rent | Delete, now: Steady) -> None:
        """The cloud has answered a call that was sent past the gate: what earlier leaders recorded
        of it is not open any more."""
        log = self._log_of(call)
        for name in _names_of(call):
            log.finished(name, now)

    def written(
        self,
        duty: DutyName,
        write: IntentWrite,
        outcome: WriteOutcome,
        revision: Revision,
        now: Steady,
    ) -> None:
        """The outcome of a write of the duty's record."""
        self.logs[duty].written(write, outcome, revision, now)

    def reread(self, duty: DutyName, ok: bool, item: Item | None) -> None:
        """The record that was to be read again; not `ok`: it could not be read."""
        self._rereading.discard(duty)
        if ok:
            self.logs[duty].reread(item)

    # -- what follows

    def process(self, routes: dict[DutyName, Route], may_write: bool, now: Steady) -> GateOutput:
        """Sends what is recorded, gives back what can't be recorded now, and writes the rest."""
        out = GateOutput()
        for duty, log in self.logs.items():
            route = routes[duty]
            self._send_recorded(duty, log, out)
            if route.path is not Path.RECORDED:
                self._give_back(duty, log, out)
            if log.reread_wanted and duty not in self._rereading:
                self._rereading.add(duty)
                out.reread.append(duty)
            if route.token is not None and may_write:
                write = log.next_write(route.token, self._epoch, now)
                if write is not None:
                    out.write.append((duty, write))
        return out

    def _send_recorded(self, duty: DutyName, log: IntentLog, out: GateOutput) -> None:
        waiting, self._waiting[duty] = self._waiting[duty], []
        for item in waiting:
            if all(log.is_recorded(intent.name) for intent in item.intents):
                for intent in item.intents:
                    log.sent(intent.name)
                self._in_flight[duty] += 1
                out.send.append(item.call)
            else:
                self._waiting[duty].append(item)

    def _give_back(self, duty: DutyName, log: IntentLog, out: GateOutput) -> None:
        for item in self._waiting[duty]:
            for intent in item.intents:
                log.forget(intent.name)
            out.give_back.append(item.call)
        self._waiting[duty] = []


def _names_of(call: Rent | Delete) -> list[str]:
    if isinstance(call, Rent):
        return [call.rental_request.name]
    return list(call.machines)


def _intents_of(call: Rent | Delete, wall: WallTime) -> list[Intent]:
    at = WallTime(round(wall, 2))
    if isinstance(call, Delete):
        return [ReturnIntent(machine, at) for machine in call.machines]
    request, offer = call.rental_request, call.rental_request.offer
    return [RentalIntent(request.name, at, offer.type, offer.zone, offer.spot, request.number)]


_SAMPLES: dict[DutyName, Intent] = {
    DutyName.RENTAL: RentalIntent("x" * 60, WallTime(1e9), "x" * 30, "x" * 30, False, 50),
    DutyName.RETURN: ReturnIntent(MachineId("x" * 30), WallTime(1e9)),
}
