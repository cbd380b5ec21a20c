"""The leader's rentals and returns on their way through the gate: their intents are written, then
they are sent."""

import logging
import time
from typing import TYPE_CHECKING

from eldercart.autoscaling.cloud_requests import Admission, Delete, Rent, no_capacity
from eldercart.scheduling.scheduler import CloudCall, Controller
from eldercart.server.leadership.cloud_requests import Answered, CloudCalls
from eldercart.server.store.client import FOR_ENDS
from eldercart.singleton.intents import IntentWrite, WriteOutcome
from eldercart.singleton.write_ahead_gate import CloudGate, Path, Route, duty_of_call
from eldercart.units import Revision, Steady, WallTime
from eldercart.wire.named_leases import DutyName, holder_key, intents_key
from eldercart.wire.state import Item

if TYPE_CHECKING:
    from eldercart.server.singleton.lease_service import DutyService

log = logging.getLogger("eldercart.duties")

OUTCOMES = {
    200: WriteOutcome.DONE,
    400: WriteOutcome.REFUSED,
    409: WriteOutcome.CONFLICT,
    413: WriteOutcome.REFUSED,
    429: WriteOutcome.REFUSED,
    503: WriteOutcome.REFUSED,
}  # any other status, or none: unknown


class DutyCalls:
    """Carries out what the gate asks for, during one leadership at a time."""

    def __init__(self, duties: "DutyService") -> None:
        """No leadership yet."""
        self._duties = duties
        self._node = duties.node
        self.gate: CloudGate | None = None

    def begin(self, gate: CloudGate) -> None:
        """A leadership begins."""
        self.gate = gate

    def end(self) -> None:
        """The leadership is over: what is under way is dropped, what is recorded stays open."""
        self.gate = None

    def busy(self, duty: DutyName) -> bool:
        """Whether something of the duty is under way."""
        return self.gate is not None and self.gate.busy(duty)

    def take(self, controller: Controller, call: CloudCall, now: Steady) -> bool:
        """Whether the gate takes the call; otherwise it is sent as it is."""
        duty = duty_of_call(call)
        if self.gate is None or duty is None or not isinstance(call, Rent | Delete):
            return False
        if self._duties.route(duty, now).path is not Path.RECORDED:
            return False  # direct, or overdue
        self.gate.admit(call, WallTime(time.time()), _is_urgent(controller, call))
        return True

    def process_events(self, controller: Controller, cloud_calls: CloudCalls, now: Steady) -> None:
        """Sends, writes and reads what is due, and tells the controller what it may hand out."""
        gate = self.gate
        if gate is None:
            return
        routes = {duty: self._duties.route(duty, now) for duty in gate.logs}
        self._set_admissions(controller, gate, routes)
        self._process(controller, gate, cloud_calls, routes, now)

    def _set_admissions(
        self, controller: Controller, gate: CloudGate, routes: dict[DutyName, Route]
    ) -> None:
        rentals = self._admission(gate, DutyName.RENTAL, routes)
        controller.cloud.rentals = Admission.OPEN if rentals else Admission.HELD
        returns = self._admission(gate, DutyName.RETURN, routes)
        # A cancelled task must be gone in time, whatever becomes of the duty: its machine is
        # deleted without an intent, under the leader's lease.
        controller.cloud.returns = Admission.OPEN if returns else Admission.OVERDUE

    def _admission(self, gate: CloudGate, duty: DutyName, routes: dict[DutyName, Route]) -> bool:
        path = routes[duty].path
        return path is Path.DIRECT or (path is Path.RECORDED and gate.has_room(duty))

    def _process(
        self,
        controller: Controller,
        gate: CloudGate,
        cloud_calls: CloudCalls,
        routes: dict[DutyName, Route],
        now: Steady,
    ) -> None:
        store = self._node.store
        # From the same reserve as placements nothing would be left on a busy day: those take all
        # that is above it at each turn of the loop, and nothing would be rented or returned.
        may_write = (
            store.requests.available(now, FOR_ENDS) >= 1
            and store.writes.available(now, FOR_ENDS) >= 1
        )
        out = gate.process(routes, may_write, now)
        for call in out.send:
            self._send(controller, gate, cloud_calls, call)
        for call in out.give_back:
            controller.cloud.give_back(call)
        for duty, write in out.write:
            self._write(gate, duty, write, now)
        for duty in out.reread:
            self._reread(gate, duty)

    def answer_to_direct(self, call: CloudCall) -> Answered | None:
        """What is to be told of the answer to a call that the gate did not take."""
        gate = self.gate
        if gate is None or not isinstance(call, Rent | Delete):
            return None

        def answered(status: int | None, body: bytes) -> None:
            if _is_final(status, body):
                gate.answered_directly(call, self._node.clock())

        return answered

    def _send(
        self, controller: Controller, gate: CloudGate, cloud_calls: CloudCalls, call: Rent | Delete
    ) -> None:
        def answered(status: int | None, body: bytes) -> None:
            gate.answered(call, _is_final(status, body), self._node.clock())

        cloud_calls.send(controller, call, answered)

    def _write(self, gate: CloudGate, duty: DutyName, write: IntentWrite, now: Steady) -> None:
        store = self._node.store
        store.requests.force(now)
        store.writes.force(now)

        def done(status: int | None, revision: Revision, failed: tuple[str, ...]) -> None:
            outcome = (
                WriteOutcome.UNKNOWN
                if status is None
                else OUTCOMES.get(status, WriteOutcome.UNKNOWN)
            )
            if outcome is not WriteOutcome.DONE:
                log.info(
                    "intents not written duty=%s outcome=%s failed=%s",
                    duty,
                    outcome.value,
                    failed,
                )
            if holder_key(duty) in failed:
                self._duties.disproved()
            gate.written(duty, write, outcome, revision, self._node.clock())
            self._node.leader_service.process_events_soon()

        store.txn(write.txn, done)

    def _reread(self, gate: CloudGate, duty: DutyName) -> None:
        def done(ok: bool, item: Item | None) -> None:
            gate.reread(duty, ok, item)

        self._node.store.get(intents_key(duty), done)


def _is_urgent(controller: Controller, call: Rent | Delete) -> bool:
    """Whether somebody waits for the call: for machines, or for the proof that tasks are gone."""
    if isinstance(call, Rent):
        return True
    machines = (controller.fleet.get(name) for name in call.machines)
    return any(machine is not None and machine.placed for machine in machines)


def _is_final(status: int | None, body: bytes) -> bool:
    """Whether the answer tells what became of the call."""
    return status in (200, 400) or (status == 503 and no_capacity(body))
