"""The leader's rentals and returns on their way through the gate: their intents are written, then
they are sent."""

import logging
import time
from typing import TYPE_CHECKING

from eldercart.autoscaling.cloud_requests import RequestAdmission, is_capacity_refusal
from eldercart.autoscaling.request_types import DeleteMachines, ScaleOut
from eldercart.scheduling.scheduler import CloudRequest, Scheduler
from eldercart.server.leadership.cloud_requests import CloudRequests, CloudResponseCallback
from eldercart.server.store.client import RESERVE_JOB_OUTCOMES
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

if TYPE_CHECKING:
    from eldercart.server.singleton.lease_service import SingletonService

log = logging.getLogger("eldercart.duties")

OUTCOME_BY_STATUS = {
    200: WriteOutcome.COMMITTED,
    400: WriteOutcome.REJECTED,
    409: WriteOutcome.CONFLICT,
    413: WriteOutcome.REJECTED,
    429: WriteOutcome.REJECTED,
    503: WriteOutcome.REJECTED,
}  # any other status, or none: unknown


class GatedCloudRequests:
    """Carries out what the gate asks for, during one leadership at a time."""

    def __init__(self, duties: "SingletonService") -> None:
        """No leadership yet."""
        self._singleton_service = duties
        self._node = duties.node
        self.gate: WriteAheadGate | None = None

    def begin_leadership(self, gate: WriteAheadGate) -> None:
        """A leadership begins."""
        self.gate = gate

    def end_leadership(self) -> None:
        """The leadership is over: what is under way is dropped, what is recorded stays open."""
        self.gate = None

    def is_busy(self, duty: LeaseName) -> bool:
        """Whether something of the duty is under way."""
        return self.gate is not None and self.gate.is_busy(duty)

    def try_admit(self, controller: Scheduler, call: CloudRequest, now: MonotonicTime) -> bool:
        """Whether the gate takes the call; otherwise it is sent as it is."""
        duty = lease_of_call(call)
        if self.gate is None or duty is None or not isinstance(call, ScaleOut | DeleteMachines):
            return False
        if self._singleton_service.dispatch_policy(duty, now).mode is not DispatchMode.WRITE_AHEAD:
            return False  # direct, or overdue
        self.gate.admit(call, WallTime(time.time()), _is_urgent(controller, call))
        return True

    def process_events(
        self, controller: Scheduler, cloud_calls: CloudRequests, now: MonotonicTime
    ) -> None:
        """Sends, writes and reads what is due, and tells the controller what it may hand out."""
        gate = self.gate
        if gate is None:
            return
        routes = {
            duty: self._singleton_service.dispatch_policy(duty, now) for duty in gate.intent_logs
        }
        self._update_admissions(controller, gate, routes)
        self._process_gate(controller, gate, cloud_calls, routes, now)

    def _update_admissions(
        self, controller: Scheduler, gate: WriteAheadGate, routes: dict[LeaseName, DispatchPolicy]
    ) -> None:
        rentals = self._is_admissible(gate, LeaseName.SCALE_OUT, routes)
        controller.cloud_requests.scale_out_admission = (
            RequestAdmission.OPEN if rentals else RequestAdmission.BLOCKED
        )
        returns = self._is_admissible(gate, LeaseName.SCALE_IN, routes)
        # A cancelled task must be gone in time, whatever becomes of the duty: its machine is
        # deleted without an intent, under the leader's lease.
        controller.cloud_requests.deletion_admission = (
            RequestAdmission.OPEN if returns else RequestAdmission.OVERDUE_ONLY
        )

    def _is_admissible(
        self, gate: WriteAheadGate, duty: LeaseName, routes: dict[LeaseName, DispatchPolicy]
    ) -> bool:
        path = routes[duty].mode
        return path is DispatchMode.DIRECT or (
            path is DispatchMode.WRITE_AHEAD and gate.has_capacity(duty)
        )

    def _process_gate(
        self,
        controller: Scheduler,
        gate: WriteAheadGate,
        cloud_calls: CloudRequests,
        routes: dict[LeaseName, DispatchPolicy],
        now: MonotonicTime,
    ) -> None:
        store = self._node.store
        # From the same reserve as placements nothing would be left on a busy day: those take all
        # that is above it at each turn of the loop, and nothing would be rented or returned.
        may_write = (
            store.requests.available(now, RESERVE_JOB_OUTCOMES) >= 1
            and store.writes.available(now, RESERVE_JOB_OUTCOMES) >= 1
        )
        out = gate.process(routes, may_write, now)
        for call in out.calls_to_send:
            self._send(controller, gate, cloud_calls, call)
        for call in out.rejected_calls:
            controller.cloud_requests.requeue_unsent(call)
        for duty, write in out.writes:
            self._write(gate, duty, write, now)
        for duty in out.leases_to_refresh:
            self._refresh(gate, duty)

    def direct_answer_callback(self, call: CloudRequest) -> CloudResponseCallback | None:
        """What is to be told of the answer to a call that the gate did not take."""
        gate = self.gate
        if gate is None or not isinstance(call, ScaleOut | DeleteMachines):
            return None

        def answered(status: int | None, body: bytes) -> None:
            if _is_final(status, body):
                gate.on_direct_answer(call, self._node.clock())

        return answered

    def _send(
        self,
        controller: Scheduler,
        gate: WriteAheadGate,
        cloud_calls: CloudRequests,
        call: ScaleOut | DeleteMachines,
    ) -> None:
        def answered(status: int | None, body: bytes) -> None:
            gate.on_answer(call, _is_final(status, body), self._node.clock())

        cloud_calls.send(controller, call, answered)

    def _write(
        self, gate: WriteAheadGate, duty: LeaseName, write: IntentWrite, now: MonotonicTime
    ) -> None:
        store = self._node.store
        store.requests.force_take(now)
        store.writes.force_take(now)

        def done(status: int | None, revision: Revision, failed: tuple[str, ...]) -> None:
            outcome = (
                WriteOutcome.INDETERMINATE
                if status is None
                else OUTCOME_BY_STATUS.get(status, WriteOutcome.INDETERMINATE)
            )
            if outcome is not WriteOutcome.COMMITTED:
                log.info(
                    "intents not written duty=%s outcome=%s failed=%s",
                    duty,
                    outcome.value,
                    failed,
                )
            if holder_key(duty) in failed:
                self._singleton_service.on_write_fenced()
            gate.on_write_result(duty, write, outcome, revision, self._node.clock())
            self._node.leader_service.process_events_soon()

        store.commit(write.transaction, done)

    def _refresh(self, gate: WriteAheadGate, duty: LeaseName) -> None:
        def done(ok: bool, item: Item | None) -> None:
            gate.on_record_refreshed(duty, ok, item)

        self._node.store.get(intents_key(duty), done)


def _is_urgent(controller: Scheduler, call: ScaleOut | DeleteMachines) -> bool:
    """Whether somebody waits for the call: for machines, or for the proof that tasks are gone."""
    if isinstance(call, ScaleOut):
        return True
    machines = (controller.inventory.get(name) for name in call.machines)
    return any(machine is not None and machine.placements for machine in machines)


def _is_final(status: int | None, body: bytes) -> bool:
    """Whether the answer tells what became of the call."""
    return status in (200, 400) or (status == 503 and is_capacity_refusal(body))
