"""What stands between the leader's calls to the cloud and the cloud: rentals and returns go out
only once their intents are recorded.

A call that cannot be recorded now is given back at once; the leader asks for it again.
"""

from dataclasses import dataclass, field
from enum import Enum

from eldercart.autoscaling.request_types import CloudRequest, DeleteMachines, ScaleOut
from eldercart.singleton.intents import IntentLog, IntentWrite, WriteOutcome
from eldercart.units import FencingToken, LeaseToken, MachineId, MonotonicTime, Revision, WallTime
from eldercart.wire.named_leases import Intent, LeaseName, ScaleInIntent, ScaleOutIntent
from eldercart.wire.state import Item

RECORDED_LEASES = (LeaseName.SCALE_OUT, LeaseName.SCALE_IN)


class DispatchMode(Enum):
    """How the calls of a duty reach the cloud."""

    DIRECT = "direct"  # without intents, under the leader's lease: not every node knows duties
    WRITE_AHEAD = "recorded"
    BLOCKED = "held"  # not now: nothing can be recorded


@dataclass(frozen=True, slots=True)
class DispatchPolicy:
    """The path of a duty's calls, and the token of the holder where they are recorded."""

    mode: DispatchMode
    token: LeaseToken | None = None


@dataclass(slots=True)
class _PendingCall:
    """A call whose intents are not recorded yet."""

    call: ScaleOut | DeleteMachines
    intents: list[Intent]


@dataclass(slots=True)
class GateOutput:
    """What follows from the last inputs."""

    calls_to_send: list[ScaleOut | DeleteMachines] = field(default_factory=list)
    rejected_calls: list[ScaleOut | DeleteMachines] = field(default_factory=list)
    writes: list[tuple[LeaseName, IntentWrite]] = field(default_factory=list)
    leases_to_refresh: list[LeaseName] = field(default_factory=list)


def lease_of_call(call: CloudRequest) -> LeaseName | None:
    """The duty that the call belongs to; None: one that changes nothing."""
    if isinstance(call, ScaleOut):
        return LeaseName.SCALE_OUT
    return LeaseName.SCALE_IN if isinstance(call, DeleteMachines) else None


class WriteAheadGate:
    """Owns the logs of intents during one leadership."""

    def __init__(self, epoch: FencingToken, most_bytes: int) -> None:
        """For the leader of `epoch`; a record of intents takes at most `most_bytes`."""
        self._leader_token = epoch
        self.intent_logs = {duty: IntentLog(duty, most_bytes) for duty in RECORDED_LEASES}
        self._pending_calls: dict[LeaseName, list[_PendingCall]] = {
            duty: [] for duty in RECORDED_LEASES
        }
        self._in_flight: dict[LeaseName, int] = dict.fromkeys(RECORDED_LEASES, 0)
        self._refreshing: set[LeaseName] = set()

    def load(self, duty: LeaseName, item: Item | None) -> list[Intent]:
        """Takes the record that was read after the election; returns the open intents, which this
        leader has to finish."""
        return self.intent_logs[duty].load(item)

    def is_busy(self, duty: LeaseName) -> bool:
        """Whether something of the duty is under way, so that it can't be given up yet."""
        if duty not in self.intent_logs:
            return False
        return (
            bool(self._pending_calls[duty])
            or self._in_flight[duty] > 0
            or self.intent_logs[duty].is_write_pending
        )

    # -- inputs

    def admit(
        self, call: ScaleOut | DeleteMachines, wall: WallTime, urgent: bool = True
    ) -> ScaleOut | DeleteMachines:
        """Takes a call whose intents are to be recorded; returns it, cut to what the record can
        take. One that is not urgent may wait a little for others."""
        log = self._intent_log_for(call)
        intents = _intents_for(call, wall)
        if isinstance(call, DeleteMachines):
            most = max(1, log.capacity_for(intents))
            call, intents = DeleteMachines(call.machines[:most]), intents[:most]
        for intent in intents:
            log.create(intent, urgent)
        self._pending_calls[log.lease_name].append(_PendingCall(call, intents))
        return call

    def _intent_log_for(self, call: ScaleOut | DeleteMachines) -> IntentLog:
        return self.intent_logs[
            LeaseName.SCALE_OUT if isinstance(call, ScaleOut) else LeaseName.SCALE_IN
        ]

    def has_capacity(self, duty: LeaseName) -> bool:
        """Whether the duty's record can take one more intent of the usual size."""
        log = self.intent_logs[duty]
        sample = _SAMPLE_INTENTS[duty]
        return log.is_loaded and log.capacity_for([sample]) == 1

    def on_answer(self, call: ScaleOut | DeleteMachines, final: bool, now: MonotonicTime) -> None:
        """The cloud's answer to a call that was sent; not `final`: there was none, or trouble."""
        log = self._intent_log_for(call)
        self._in_flight[log.lease_name] -= 1
        for name in _intent_names(call):
            if final:
                log.mark_finished(name, now)
            else:
                log.mark_unanswered(name)

    def on_direct_answer(self, call: ScaleOut | DeleteMachines, now: MonotonicTime) -> None:
        """The cloud has answered a call that was sent past the gate: what earlier leaders recorded
        of it is not open any more."""
        log = self._intent_log_for(call)
        for name in _intent_names(call):
            log.mark_finished(name, now)

    def on_write_result(
        self,
        duty: LeaseName,
        write: IntentWrite,
        outcome: WriteOutcome,
        revision: Revision,
        now: MonotonicTime,
    ) -> None:
        """The outcome of a write of the duty's record."""
        self.intent_logs[duty].on_write_result(write, outcome, revision, now)

    def on_record_refreshed(self, duty: LeaseName, ok: bool, item: Item | None) -> None:
        """The record that was to be read again; not `ok`: it could not be read."""
        self._refreshing.discard(duty)
        if ok:
            self.intent_logs[duty].refresh(item)

    # -- what follows

    def process(
        self, routes: dict[LeaseName, DispatchPolicy], may_write: bool, now: MonotonicTime
    ) -> GateOutput:
        """Sends what is recorded, gives back what can't be recorded now, and writes the rest."""
        out = GateOutput()
        for duty, log in self.intent_logs.items():
            route = routes[duty]
            self._send_recorded(duty, log, out)
            if route.mode is not DispatchMode.WRITE_AHEAD:
                self._reject_pending(duty, log, out)
            if log.needs_refresh and duty not in self._refreshing:
                self._refreshing.add(duty)
                out.leases_to_refresh.append(duty)
            if route.token is not None and may_write:
                write = log.next_write(route.token, self._leader_token, now)
                if write is not None:
                    out.writes.append((duty, write))
        return out

    def _send_recorded(self, duty: LeaseName, log: IntentLog, out: GateOutput) -> None:
        waiting, self._pending_calls[duty] = self._pending_calls[duty], []
        for item in waiting:
            if all(log.is_recorded(intent.name) for intent in item.intents):
                for intent in item.intents:
                    log.mark_sent(intent.name)
                self._in_flight[duty] += 1
                out.calls_to_send.append(item.call)
            else:
                self._pending_calls[duty].append(item)

    def _reject_pending(self, duty: LeaseName, log: IntentLog, out: GateOutput) -> None:
        for item in self._pending_calls[duty]:
            for intent in item.intents:
                log.abandon(intent.name)
            out.rejected_calls.append(item.call)
        self._pending_calls[duty] = []


def _intent_names(call: ScaleOut | DeleteMachines) -> list[str]:
    if isinstance(call, ScaleOut):
        return [call.request.name]
    return list(call.machines)


def _intents_for(call: ScaleOut | DeleteMachines, wall: WallTime) -> list[Intent]:
    at = WallTime(round(wall, 2))
    if isinstance(call, DeleteMachines):
        return [ScaleInIntent(machine, at) for machine in call.machines]
    request, offer = call.request, call.request.offering
    return [
        ScaleOutIntent(
            request.name, at, offer.type, offer.zone, offer.is_spot, request.machine_count
        )
    ]


_SAMPLE_INTENTS: dict[LeaseName, Intent] = {
    LeaseName.SCALE_OUT: ScaleOutIntent("x" * 60, WallTime(1e9), "x" * 30, "x" * 30, False, 50),
    LeaseName.SCALE_IN: ScaleInIntent(MachineId("x" * 30), WallTime(1e9)),
}
