"""Write-ahead gate between the leader and the cloud.

The gate sends a request that changes machines only after its intents are recorded. A request that
cannot be recorded now is rejected at once, and the leader retries it.
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
    """How requests under a lease are sent to the cloud."""

    DIRECT = "direct"  # no intents are recorded: not every node takes part in the lease
    WRITE_AHEAD = "write_ahead"  # requests wait until their intents are recorded
    BLOCKED = "blocked"  # no intent can be recorded now; requests without one are rejected


@dataclass(frozen=True, slots=True)
class DispatchPolicy:
    """How requests under a lease are dispatched, and the token under which intents are recorded."""

    mode: DispatchMode
    token: LeaseToken | None = None


@dataclass(slots=True)
class _PendingCall:
    """A request whose intents are not recorded yet."""

    call: ScaleOut | DeleteMachines
    intents: list[Intent]


@dataclass(slots=True)
class GateOutput:
    """Actions that the caller of `process` has to run."""

    calls_to_send: list[ScaleOut | DeleteMachines] = field(default_factory=list)
    rejected_calls: list[ScaleOut | DeleteMachines] = field(default_factory=list)
    writes: list[IntentWrite] = field(default_factory=list)
    leases_to_refresh: list[LeaseName] = field(default_factory=list)


def lease_of_call(call: CloudRequest) -> LeaseName | None:
    """Return the lease that the request needs, or None for a request that changes nothing."""
    if isinstance(call, ScaleOut):
        return LeaseName.SCALE_OUT
    return LeaseName.SCALE_IN if isinstance(call, DeleteMachines) else None


class WriteAheadGate:
    """The intent logs, and the requests that wait for their intents, for one term of leadership."""

    def __init__(self, leader_token: FencingToken, max_record_bytes: int) -> None:
        """Create a gate for the leader with that token. A record has at most `max_record_bytes`."""
        self._leader_token = leader_token
        self.intent_logs = {
            lease_name: IntentLog(lease_name, max_record_bytes) for lease_name in RECORDED_LEASES
        }
        self._pending_calls: dict[LeaseName, list[_PendingCall]] = {
            lease_name: [] for lease_name in RECORDED_LEASES
        }
        self._in_flight: dict[LeaseName, int] = dict.fromkeys(RECORDED_LEASES, 0)
        self._refreshing: set[LeaseName] = set()

    def load(self, lease_name: LeaseName, item: Item | None) -> list[Intent]:
        """Load the record that was read after the election. Return its open intents, which this
        leader has to complete."""
        return self.intent_logs[lease_name].load(item)

    def is_busy(self, lease_name: LeaseName) -> bool:
        """Return whether work under the lease is in flight, so it must not be released yet."""
        if lease_name not in self.intent_logs:
            return False
        return (
            bool(self._pending_calls[lease_name])
            or self._in_flight[lease_name] > 0
            or self.intent_logs[lease_name].is_write_pending
        )

    # -- events

    def admit(
        self, call: ScaleOut | DeleteMachines, wall_time: WallTime, *, urgent: bool = True
    ) -> ScaleOut | DeleteMachines:
        """Queue a request until its intents are recorded.

        Return the request, with its deletions limited to those that fit into the record. A request
        that is not urgent may be delayed so that its intents share a write with others.
        """
        intent_log = self._intent_log_for(call)
        intents = _intents_for(call, wall_time)
        if isinstance(call, DeleteMachines):
            max_machines = max(1, intent_log.capacity_for(intents))
            call, intents = DeleteMachines(call.machines[:max_machines]), intents[:max_machines]
        for intent in intents:
            intent_log.create(intent, urgent=urgent)
        self._pending_calls[intent_log.lease_name].append(_PendingCall(call, intents))
        return call

    def _intent_log_for(self, call: ScaleOut | DeleteMachines) -> IntentLog:
        return self.intent_logs[
            LeaseName.SCALE_OUT if isinstance(call, ScaleOut) else LeaseName.SCALE_IN
        ]

    def has_capacity(self, lease_name: LeaseName) -> bool:
        """Return whether one more intent of a typical size fits into the lease's record."""
        intent_log = self.intent_logs[lease_name]
        sample = _SAMPLE_INTENTS[lease_name]
        return intent_log.is_loaded and intent_log.capacity_for([sample]) == 1

    def on_answer(
        self, call: ScaleOut | DeleteMachines, now: MonotonicTime, *, is_final: bool
    ) -> None:
        """Handle the answer to a sent request. If not `is_final`, its outcome is unknown."""
        intent_log = self._intent_log_for(call)
        self._in_flight[intent_log.lease_name] -= 1
        for name in _intent_names(call):
            if is_final:
                intent_log.mark_finished(name, now)
            else:
                intent_log.mark_unanswered(name)

    def on_direct_answer(self, call: ScaleOut | DeleteMachines, now: MonotonicTime) -> None:
        """Handle the cloud's answer to a direct request. Intents that earlier leaders recorded for
        the same names are finished."""
        intent_log = self._intent_log_for(call)
        for name in _intent_names(call):
            intent_log.mark_finished(name, now)

    def on_write_result(
        self,
        write: IntentWrite,
        outcome: WriteOutcome,
        revision: Revision,
        now: MonotonicTime,
    ) -> None:
        """Process the outcome of a write. `revision` is the record's new version if committed."""
        self.intent_logs[write.lease_name].on_write_result(write, outcome, revision, now)

    def on_record_refreshed(self, lease_name: LeaseName, item: Item | None) -> None:
        """Handle a new read of the intent record. `item` is None if the record is absent."""
        self._refreshing.discard(lease_name)
        self.intent_logs[lease_name].refresh(item)

    def on_refresh_failed(self, lease_name: LeaseName) -> None:
        """Handle a failed read of the intent record. The next `process` requests another one."""
        self._refreshing.discard(lease_name)

    # -- dispatch

    def process(
        self, policies: dict[LeaseName, DispatchPolicy], now: MonotonicTime, *, may_write: bool
    ) -> GateOutput:
        """Return the actions that are due for all leases.

        These are requests to send, because their intents are recorded; requests rejected, because
        their lease is not in write-ahead mode; and writes and reads of intent records.
        """
        output = GateOutput()
        for lease_name, intent_log in self.intent_logs.items():
            policy = policies[lease_name]
            self._send_recorded(lease_name, intent_log, output)
            if policy.mode is not DispatchMode.WRITE_AHEAD:
                self._reject_pending(lease_name, intent_log, output)
            if intent_log.needs_refresh and lease_name not in self._refreshing:
                self._refreshing.add(lease_name)
                output.leases_to_refresh.append(lease_name)
            if policy.token is not None and may_write:
                write = intent_log.next_write(policy.token, self._leader_token, now)
                if write is not None:
                    output.writes.append(write)
        return output

    def _send_recorded(
        self, lease_name: LeaseName, intent_log: IntentLog, output: GateOutput
    ) -> None:
        pending, self._pending_calls[lease_name] = self._pending_calls[lease_name], []
        for item in pending:
            if all(intent_log.is_recorded(intent.name) for intent in item.intents):
                for intent in item.intents:
                    intent_log.mark_sent(intent.name)
                self._in_flight[lease_name] += 1
                output.calls_to_send.append(item.call)
            else:
                self._pending_calls[lease_name].append(item)

    def _reject_pending(
        self, lease_name: LeaseName, intent_log: IntentLog, output: GateOutput
    ) -> None:
        for item in self._pending_calls[lease_name]:
            for intent in item.intents:
                intent_log.abandon(intent.name)
            output.rejected_calls.append(item.call)
        self._pending_calls[lease_name] = []


def _intent_names(call: ScaleOut | DeleteMachines) -> list[str]:
    if isinstance(call, ScaleOut):
        return [call.request.name]
    return list(call.machines)


def _intents_for(call: ScaleOut | DeleteMachines, wall_time: WallTime) -> list[Intent]:
    created_at = WallTime(round(wall_time, 2))
    if isinstance(call, DeleteMachines):
        return [ScaleInIntent(machine, created_at) for machine in call.machines]
    request, offering = call.request, call.request.offering
    return [
        ScaleOutIntent(
            request.name,
            created_at,
            offering.type,
            offering.zone,
            offering.is_spot,
            request.machine_count,
        )
    ]


_SAMPLE_INTENTS: dict[LeaseName, Intent] = {
    LeaseName.SCALE_OUT: ScaleOutIntent("x" * 60, WallTime(1e9), "x" * 30, "x" * 30, False, 50),
    LeaseName.SCALE_IN: ScaleInIntent(MachineId("x" * 30), WallTime(1e9)),
}
