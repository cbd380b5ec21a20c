"""The leader's requests that change something in the cloud, on their way through the write-ahead
gate: their intents are recorded, then they are sent."""

import logging
import time
from collections.abc import Callable

from eldercart.autoscaling.cloud_requests import RequestAdmission, is_capacity_refusal
from eldercart.autoscaling.request_types import DeleteMachines, ScaleOut
from eldercart.scheduling.scheduler import CloudRequest, Scheduler
from eldercart.server.leadership.cloud_requests import CloudRequests, CloudResponseCallback
from eldercart.server.singleton.dispatch_policies import DispatchPolicies
from eldercart.server.store.client import RESERVE_JOB_OUTCOMES, StoreClient
from eldercart.singleton.intents import IntentWrite, WriteOutcome
from eldercart.singleton.write_ahead_gate import (
    DispatchMode,
    DispatchPolicy,
    WriteAheadGate,
    lease_of_call,
)
from eldercart.units import MonotonicTime, Revision, WallTime
from eldercart.wire.named_leases import LeaseName, holder_key, intents_key
from eldercart.wire.state import Item

log = logging.getLogger("eldercart.singleton")

# Any other status, or none: indeterminate.
OUTCOME_BY_STATUS = {
    200: WriteOutcome.COMMITTED,
    400: WriteOutcome.REJECTED,
    409: WriteOutcome.CONFLICT,
    413: WriteOutcome.REJECTED,
    429: WriteOutcome.REJECTED,
    503: WriteOutcome.REJECTED,
}

LeasePolicies = dict[LeaseName, DispatchPolicy]


class GatedCloudRequests:
    """Carries out what the gate asks for, during one leadership at a time."""

    def __init__(
        self,
        store: StoreClient,
        clock: Callable[[], MonotonicTime],
        policies: DispatchPolicies,
        on_write_fenced: Callable[[], None],
        process_events_soon: Callable[[], None],
    ) -> None:
        """`on_write_fenced` is called when a token of this node has been replaced,
        `process_events_soon` when a write's outcome may let requests go out."""
        self.gate: WriteAheadGate | None = None  # during a leadership
        self._store = store
        self._clock = clock
        self._policies = policies
        self._on_write_fenced = on_write_fenced
        self._process_events_soon = process_events_soon

    def begin_leadership(self, gate: WriteAheadGate) -> None:
        """Start to use the gate of a new leadership."""
        self.gate = gate

    def end_leadership(self) -> None:
        """Drop the gate: what is in flight is ignored, what is recorded stays open."""
        self.gate = None

    def is_busy(self, lease_name: LeaseName) -> bool:
        """Return whether work under the lease is in flight."""
        return self.gate is not None and self.gate.is_busy(lease_name)

    def try_admit(self, scheduler: Scheduler, call: CloudRequest, now: MonotonicTime) -> bool:
        """Return whether the gate takes the request; if not, it is to be sent directly."""
        lease_name = lease_of_call(call)
        if (
            self.gate is None
            or lease_name is None
            or not isinstance(call, ScaleOut | DeleteMachines)
        ):
            return False
        if self._policies.policy(lease_name, now).mode is not DispatchMode.WRITE_AHEAD:
            return False  # direct, or a deletion that is overdue
        self.gate.admit(call, WallTime(time.time()), urgent=_is_urgent(scheduler, call))
        return True

    def process_events(
        self, scheduler: Scheduler, cloud_requests: CloudRequests, now: MonotonicTime
    ) -> None:
        """Send, write and read what is due, and tell the scheduler what it may ask for."""
        gate = self.gate
        if gate is None:
            return
        policies = {
            lease_name: self._policies.policy(lease_name, now) for lease_name in gate.intent_logs
        }
        _update_admissions(scheduler, gate, policies)
        self._process_gate(scheduler, gate, cloud_requests, policies, now)

    def _process_gate(
        self,
        scheduler: Scheduler,
        gate: WriteAheadGate,
        cloud_requests: CloudRequests,
        policies: LeasePolicies,
        now: MonotonicTime,
    ) -> None:
        output = gate.process(policies, now, may_write=self._may_write(now))
        for call in output.calls_to_send:
            self._send(scheduler, gate, cloud_requests, call)
        for call in output.rejected_calls:
            scheduler.cloud_requests.requeue_unsent(call)
        for write in output.writes:
            self._write(gate, write, now)
        for lease_name in output.leases_to_refresh:
            self._refresh(gate, lease_name)

    def _may_write(self, now: MonotonicTime) -> bool:
        # From the same reserve as placements nothing would be left on a busy day: those take all
        # that is above it at each turn of the loop, and nothing would be rented or returned.
        return (
            self._store.requests.available(now, RESERVE_JOB_OUTCOMES) >= 1
            and self._store.writes.available(now, RESERVE_JOB_OUTCOMES) >= 1
        )

    def direct_answer_callback(self, call: CloudRequest) -> CloudResponseCallback | None:
        """Return what to call with the answer to a request that the gate did not take, if the gate
        has to know of it."""
        gate = self.gate
        if gate is None or not isinstance(call, ScaleOut | DeleteMachines):
            return None

        def on_answer(status: int | None, body: bytes) -> None:
            if _is_final(status, body):
                gate.on_direct_answer(call, self._clock())

        return on_answer

    def _send(
        self,
        scheduler: Scheduler,
        gate: WriteAheadGate,
        cloud_requests: CloudRequests,
        call: ScaleOut | DeleteMachines,
    ) -> None:
        def on_answer(status: int | None, body: bytes) -> None:
            gate.on_answer(call, self._clock(), is_final=_is_final(status, body))

        cloud_requests.send(scheduler, call, on_answer)

    def _write(self, gate: WriteAheadGate, write: IntentWrite, now: MonotonicTime) -> None:
        self._store.requests.force_take(now)
        self._store.writes.force_take(now)

        def done(status: int | None, revision: Revision, failed: tuple[str, ...]) -> None:
            outcome = _outcome(status)
            if outcome is not WriteOutcome.COMMITTED:
                log.info(
                    "intents not written lease=%s outcome=%s failed_conditions=%s",
                    write.lease_name,
                    outcome.value,
                    failed,
                )
            if holder_key(write.lease_name) in failed:
                self._on_write_fenced()
            gate.on_write_result(write, outcome, revision, self._clock())
            self._process_events_soon()

        self._store.commit(write.transaction, done)

    def _refresh(self, gate: WriteAheadGate, lease_name: LeaseName) -> None:
        def done(ok: bool, item: Item | None) -> None:
            if ok:
                gate.on_record_refreshed(lease_name, item)
            else:
                gate.on_refresh_failed(lease_name)

        self._store.get(intents_key(lease_name), done)


def _update_admissions(scheduler: Scheduler, gate: WriteAheadGate, policies: LeasePolicies) -> None:
    """Tell the scheduler which requests it may hand out."""
    queue = scheduler.cloud_requests
    may_scale_out = _is_admissible(gate, LeaseName.SCALE_OUT, policies)
    queue.scale_out_admission = RequestAdmission.OPEN if may_scale_out else RequestAdmission.BLOCKED
    may_scale_in = _is_admissible(gate, LeaseName.SCALE_IN, policies)
    # A cancelled task must be gone in time, whatever becomes of the lease: its machine is deleted
    # without an intent, under the leader's lease.
    queue.deletion_admission = (
        RequestAdmission.OPEN if may_scale_in else RequestAdmission.OVERDUE_ONLY
    )


def _is_admissible(gate: WriteAheadGate, lease_name: LeaseName, policies: LeasePolicies) -> bool:
    mode = policies[lease_name].mode
    if mode is DispatchMode.WRITE_AHEAD:
        return gate.has_capacity(lease_name)
    return mode is DispatchMode.DIRECT


def _is_urgent(scheduler: Scheduler, call: ScaleOut | DeleteMachines) -> bool:
    """Return whether jobs wait for the outcome: for machines, or for the proof that tasks ended."""
    if isinstance(call, ScaleOut):
        return True
    machines = (scheduler.inventory.get(name) for name in call.machines)
    return any(machine is not None and machine.placements for machine in machines)


def _is_final(status: int | None, body: bytes) -> bool:
    """Return whether the answer tells what became of the request."""
    return status in (200, 400) or (status == 503 and is_capacity_refusal(body))


def _outcome(status: int | None) -> WriteOutcome:
    if status is None:
        return WriteOutcome.INDETERMINATE
    return OUTCOME_BY_STATUS.get(status, WriteOutcome.INDETERMINATE)
