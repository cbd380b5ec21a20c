"""Sends the leader's requests that create or delete machines through the write-ahead gate: a
request is sent to the cloud only after its intents have been recorded."""

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

# Any other status, or no answer, leaves the outcome indeterminate.
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
    """Executes the sends, writes and reads that the gate requests.

    The leader's `CloudRequests` offers each request to it with `try_admit`. Each leadership has
    a gate of its own.
    """

    def __init__(
        self,
        store: StoreClient,
        clock: Callable[[], MonotonicTime],
        policies: DispatchPolicies,
        on_write_fenced: Callable[[], None],
        process_events_soon: Callable[[], None],
    ) -> None:
        """`on_write_fenced` is called when a write is rejected because a token of this node has
        been replaced; `process_events_soon` is called after each write, as its outcome may allow
        requests to be sent."""
        self.gate: WriteAheadGate | None = None  # None unless this node leads
        self._store = store
        self._clock = clock
        self._policies = policies
        self._on_write_fenced = on_write_fenced
        self._process_events_soon = process_events_soon

    def begin_leadership(self, gate: WriteAheadGate) -> None:
        """Use this gate for a new leadership."""
        self.gate = gate

    def end_leadership(self) -> None:
        """Drop the gate: answers to requests in flight are ignored; recorded intents stay open."""
        self.gate = None

    def is_busy(self, lease_name: LeaseName) -> bool:
        """Return whether work under the lease is in flight."""
        return self.gate is not None and self.gate.is_busy(lease_name)

    def try_admit(self, scheduler: Scheduler, call: CloudRequest, now: MonotonicTime) -> bool:
        """Pass the request to the gate. Return False if the caller is to send it directly."""
        lease_name = lease_of_call(call)
        if (
            self.gate is None
            or lease_name is None
            or not isinstance(call, ScaleOut | DeleteMachines)
        ):
            return False
        if self._policies.policy(lease_name, now).mode is not DispatchMode.WRITE_AHEAD:
            return False  # the mode is DIRECT, or it is a deletion that is overdue
        self.gate.admit(call, WallTime(time.time()), urgent=_is_urgent(scheduler, call))
        return True

    def process_events(
        self, scheduler: Scheduler, cloud_requests: CloudRequests, now: MonotonicTime
    ) -> None:
        """Update which requests the scheduler may issue, then execute what the gate has due."""
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
        # Placements take all tokens above their reserve at each turn of the loop. With the same
        # reserve, no intent would be written on a busy day, and no machine created or deleted.
        return (
            self._store.requests.available(now, RESERVE_JOB_OUTCOMES) >= 1
            and self._store.writes.available(now, RESERVE_JOB_OUTCOMES) >= 1
        )

    def direct_answer_callback(self, call: CloudRequest) -> CloudResponseCallback | None:
        """Return a callback for the answer to a request that is sent directly, or None if the
        answer does not concern the gate. The callback closes intents that an earlier leader
        recorded for the same request."""
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
    """Set which requests the scheduler may issue."""
    queue = scheduler.cloud_requests
    may_scale_out = _is_admissible(gate, LeaseName.SCALE_OUT, policies)
    queue.scale_out_admission = RequestAdmission.OPEN if may_scale_out else RequestAdmission.BLOCKED
    may_scale_in = _is_admissible(gate, LeaseName.SCALE_IN, policies)
    # A cancelled task must end in time even if the scale-in lease is not usable: once it is
    # overdue, its machine is deleted without an intent, under the leader's own lease.
    queue.deletion_admission = (
        RequestAdmission.OPEN if may_scale_in else RequestAdmission.OVERDUE_ONLY
    )


def _is_admissible(gate: WriteAheadGate, lease_name: LeaseName, policies: LeasePolicies) -> bool:
    mode = policies[lease_name].mode
    if mode is DispatchMode.WRITE_AHEAD:
        return gate.has_capacity(lease_name)
    return mode is DispatchMode.DIRECT


def _is_urgent(scheduler: Scheduler, call: ScaleOut | DeleteMachines) -> bool:
    """Return whether jobs wait for the outcome: for new machines, or for proof that tasks ended."""
    if isinstance(call, ScaleOut):
        return True
    machines = (scheduler.inventory.get(name) for name in call.machines)
    return any(machine is not None and machine.placements for machine in machines)


def _is_final(status: int | None, body: bytes) -> bool:
    """Return whether the answer shows that the request was either executed or rejected."""
    return status in (200, 400) or (status == 503 and is_capacity_refusal(body))


def _outcome(status: int | None) -> WriteOutcome:
    if status is None:
        return WriteOutcome.INDETERMINATE
    return OUTCOME_BY_STATUS.get(status, WriteOutcome.INDETERMINATE)
