"""Unit tests of the intent log and the write-ahead gate."""

from typing import Any

import orjson
import pytest

from eldercart.autoscaling.request_types import (
    DeleteMachines,
    MachineOffering,
    ScaleOut,
    ScaleOutRequest,
)
from eldercart.singleton.intents import (
    BATCH_INTERVAL_S,
    COMPACTION_DELAY_S,
    IntentLog,
    IntentStage,
    WriteOutcome,
)
from eldercart.singleton.write_ahead_gate import DispatchMode, DispatchPolicy, WriteAheadGate
from eldercart.units import (
    ABSENT_REVISION,
    FencingToken,
    LeaseToken,
    MachineId,
    MonotonicTime,
    Revision,
    WallTime,
)
from eldercart.wire import named_leases as wire
from eldercart.wire.named_leases import (
    LeaseName,
    ScaleInIntent,
    ScaleOutIntent,
)
from eldercart.wire.state import Item

# -- intents


def scale_out_intent(name: str = "r-1") -> ScaleOutIntent:
    return ScaleOutIntent(name, WallTime(1e6), "small", "a", False, 3)


def scale_in_intent(name: str) -> ScaleInIntent:
    return ScaleInIntent(MachineId(name), WallTime(1e6))


def loaded_log(lease_name: LeaseName = LeaseName.SCALE_OUT, max_bytes: int = 4000) -> IntentLog:
    log = IntentLog(lease_name, max_bytes)
    log.load(None)
    return log


def next_write(log: IntentLog, now: float = 1.0) -> Any:
    return log.next_write(LeaseToken(5), FencingToken(9), MonotonicTime(now))


def test_an_intent_may_be_sent_once_it_is_durable() -> None:
    log = loaded_log()
    log.create(scale_out_intent())
    intent_write = next_write(log)
    assert intent_write.transaction.conditions == {
        wire.holder_key(LeaseName.SCALE_OUT): 5,
        "lead": 9,
        "intent/rental": 0,
    }
    assert not log.is_recorded("r-1") and log.stage("r-1") is IntentStage.CREATED
    assert next_write(log) is None, "only one write may be in flight"
    log.on_write_result(intent_write, WriteOutcome.COMMITTED, Revision(30), MonotonicTime(1.1))
    assert log.is_recorded("r-1") and log.stage("r-1") is IntentStage.RECORDED
    log.mark_sent("r-1")
    assert log.stage("r-1") is IntentStage.SENT
    log.mark_finished("r-1", MonotonicTime(2.0))
    assert next_write(log, 2.0) is None and log.stage("r-1") is IntentStage.FINISHED
    compaction = next_write(log, 2.0 + COMPACTION_DELAY_S)
    assert compaction.transaction.operations[0].value == {"i": []}
    assert compaction.transaction.conditions["intent/rental"] == 30


@pytest.mark.parametrize("applied", [True, False])
@pytest.mark.parametrize("outcome", [WriteOutcome.INDETERMINATE, WriteOutcome.CONFLICT])
def test_record_is_read_again_after_an_indeterminate_or_conflicting_write(
    outcome: WriteOutcome, applied: bool
) -> None:
    log = loaded_log()
    log.create(scale_out_intent())
    intent_write = next_write(log)
    log.on_write_result(intent_write, outcome, ABSENT_REVISION, MonotonicTime(1.1))
    assert log.needs_refresh and not log.is_recorded("r-1") and next_write(log, 9.0) is None
    value = intent_write.transaction.operations[0].value
    log.refresh(Item("intent/rental", value, Revision(30)) if applied else None)
    assert log.is_recorded("r-1") is applied
    assert (next_write(log, 9.0) is None) is applied, (
        "the record must be written again only if the first write was not applied"
    )


def test_intents_that_are_not_urgent_are_batched() -> None:
    log = loaded_log(LeaseName.SCALE_IN)
    log.create(scale_in_intent("n-1"), urgent=False)
    log.on_write_result(
        next_write(log, 1.0), WriteOutcome.COMMITTED, Revision(30), MonotonicTime(1.0)
    )
    log.create(scale_in_intent("n-2"), urgent=False)
    assert next_write(log, 1.0 + BATCH_INTERVAL_S / 2) is None
    log.create(scale_in_intent("n-3"))
    assert set(next_write(log, 1.0 + BATCH_INTERVAL_S / 2).intents) == {"n-1", "n-2", "n-3"}


@pytest.mark.parametrize("applied", [True, False])
def test_intent_abandoned_during_its_write_stays_only_if_the_write_was_applied(
    applied: bool,
) -> None:
    log = loaded_log()
    log.create(scale_out_intent())
    intent_write = next_write(log)
    log.abandon("r-1")
    log.on_write_result(
        intent_write, WriteOutcome.INDETERMINATE, ABSENT_REVISION, MonotonicTime(1.1)
    )
    value = intent_write.transaction.operations[0].value
    log.refresh(Item("intent/rental", value, Revision(30)) if applied else None)
    assert log.is_recorded("r-1") is applied
    assert next_write(log, 9.0) is None, "no write must remain"


def test_rejected_write_is_retried() -> None:
    log = loaded_log()
    log.create(scale_out_intent())
    intent_write = next_write(log)
    log.on_write_result(intent_write, WriteOutcome.REJECTED, ABSENT_REVISION, MonotonicTime(1.0))
    assert not log.needs_refresh and next_write(log, 1.1) is None
    assert next_write(log, 2.0).transaction.operations == intent_write.transaction.operations


def test_intent_record_stays_within_the_value_size_limit() -> None:
    log = loaded_log(LeaseName.SCALE_IN, 600)
    intents = [scale_in_intent(f"n-{i:06d}") for i in range(100)]
    capacity = log.capacity_for(list(intents))
    assert 0 < capacity < 100
    for intent in intents[:capacity]:
        log.create(intent)
    assert log.capacity_for([scale_in_intent("n-000100")]) == 0
    assert log.capacity_for(list(intents[:capacity])) == capacity, (
        "intents that the record already holds must need no capacity"
    )
    intent_write = next_write(log)
    assert len(orjson.dumps(intent_write.transaction.operations[0].value)) <= 600
    log.on_write_result(intent_write, WriteOutcome.COMMITTED, Revision(30), MonotonicTime(1.1))
    log.mark_finished("n-000000", MonotonicTime(1.2))
    assert log.capacity_for([scale_in_intent("n-000100")]) == 1


def test_intent_created_during_its_removal_is_recorded_again() -> None:
    log = loaded_log()
    log.create(scale_out_intent())
    log.on_write_result(next_write(log), WriteOutcome.COMMITTED, Revision(30), MonotonicTime(1.0))
    log.mark_finished("r-1", MonotonicTime(2.0))
    compaction = next_write(log, 2.0 + COMPACTION_DELAY_S)
    log.create(scale_out_intent())
    log.on_write_result(compaction, WriteOutcome.COMMITTED, Revision(31), MonotonicTime(6.0))
    assert not log.is_recorded("r-1")
    log.on_write_result(
        next_write(log, 7.0), WriteOutcome.COMMITTED, Revision(32), MonotonicTime(7.0)
    )
    assert log.is_recorded("r-1")


@pytest.mark.parametrize("value", [None, [], {"i": [{}]}, {"i": 3}, {"i": [{"n": "", "t": 1}]}])
def test_unreadable_intent_record_is_replaced(value: Any) -> None:
    log = IntentLog(LeaseName.SCALE_IN, 4000)
    assert log.load(Item("intent/return", value, Revision(8))) == []
    log.create(scale_in_intent("n-1"))
    assert next_write(log).transaction.conditions["intent/return"] == 8


@pytest.mark.parametrize("intent", [scale_out_intent(), scale_in_intent("n-000017")])
def test_intents_are_read_as_they_were_written(intent: wire.Intent) -> None:
    lease_name = LeaseName.SCALE_OUT if isinstance(intent, ScaleOutIntent) else LeaseName.SCALE_IN
    assert wire.parse_intents(lease_name, wire.intents_value([intent])) == [intent]


# -- gate

WRITE_AHEAD = DispatchPolicy(DispatchMode.WRITE_AHEAD, LeaseToken(5))
BLOCKED = DispatchPolicy(DispatchMode.BLOCKED)
RECORDED_LEASES = (LeaseName.SCALE_OUT, LeaseName.SCALE_IN)


def gate_with_open_deletions(*machines: str) -> WriteAheadGate:
    gate = WriteAheadGate(FencingToken(9), 4000)
    for lease_name in RECORDED_LEASES:
        names = machines if lease_name is LeaseName.SCALE_IN else ()
        value = wire.intents_value([scale_in_intent(name) for name in names])
        gate.load(lease_name, Item(wire.intents_key(lease_name), value, Revision(8)))
    return gate


def scale_out_call(name: str = "r-1") -> ScaleOut:
    return ScaleOut(ScaleOutRequest(name, MachineOffering("small", "a", False), 2))


def delete_call(*names: str) -> DeleteMachines:
    return DeleteMachines(tuple(MachineId(name) for name in names))


def test_request_is_sent_only_after_its_intents_are_recorded() -> None:
    gate = gate_with_open_deletions()
    call = scale_out_call()
    gate.admit(call, WallTime(1e6))
    policies = dict.fromkeys(RECORDED_LEASES, WRITE_AHEAD)
    output = gate.process(policies, MonotonicTime(1.0), may_write=True)
    assert (
        output.calls_to_send == [] and len(output.writes) == 1 and gate.is_busy(LeaseName.SCALE_OUT)
    )
    (intent_write,) = output.writes
    gate.on_write_result(intent_write, WriteOutcome.COMMITTED, Revision(9), MonotonicTime(1.1))
    assert gate.process(policies, MonotonicTime(1.2), may_write=True).calls_to_send == [call]
    assert gate.is_busy(LeaseName.SCALE_OUT), (
        "the lease must stay busy until the request is answered"
    )
    gate.on_answer(call, MonotonicTime(1.3), is_final=True)
    assert not gate.is_busy(LeaseName.SCALE_OUT)


def test_request_recorded_by_an_earlier_leader_is_sent_at_once() -> None:
    gate = gate_with_open_deletions("n-1", "n-2")
    call = gate.admit(delete_call("n-1", "n-2"), WallTime(1e6))
    output = gate.process(
        dict.fromkeys(RECORDED_LEASES, BLOCKED), MonotonicTime(1.0), may_write=True
    )
    assert output.calls_to_send == [call] and output.rejected_calls == [] and output.writes == []


def test_request_that_cannot_be_recorded_is_rejected_at_once() -> None:
    gate = gate_with_open_deletions()
    calls = [scale_out_call(), delete_call("n-3")]
    for call in calls:
        gate.admit(call, WallTime(1e6))
    output = gate.process(
        dict.fromkeys(RECORDED_LEASES, BLOCKED), MonotonicTime(1.0), may_write=True
    )
    assert output.rejected_calls == calls and output.writes == []
    assert not gate.is_busy(LeaseName.SCALE_OUT) and not gate.is_busy(LeaseName.SCALE_IN)


def test_deletion_request_is_limited_to_what_fits_into_the_record() -> None:
    gate = WriteAheadGate(FencingToken(9), 200)
    gate.load(LeaseName.SCALE_IN, None)
    call = gate.admit(delete_call(*(f"n-{i:06d}" for i in range(100))), WallTime(1e6))
    assert isinstance(call, DeleteMachines) and 1 <= len(call.machines) < 100
    assert not gate.has_capacity(LeaseName.SCALE_IN)


def test_unanswered_request_stays_open_and_is_sent_again_under_its_name() -> None:
    gate = gate_with_open_deletions("n-1")
    policies = dict.fromkeys(RECORDED_LEASES, WRITE_AHEAD)
    for _ in range(2):
        gate.admit(delete_call("n-1"), WallTime(1e6))
        output = gate.process(policies, MonotonicTime(1.0), may_write=True)
        assert output.calls_to_send == [delete_call("n-1")] and output.writes == []
        gate.on_answer(delete_call("n-1"), MonotonicTime(1.5), is_final=False)
    assert list(gate.intent_logs[LeaseName.SCALE_IN].open_intents) == ["n-1"]


def test_answer_to_a_direct_request_finishes_its_recorded_intents() -> None:
    gate = gate_with_open_deletions("n-1")
    gate.on_direct_answer(delete_call("n-1"), MonotonicTime(1.0))
    policies = dict.fromkeys(RECORDED_LEASES, WRITE_AHEAD)
    output = gate.process(policies, MonotonicTime(1.0 + COMPACTION_DELAY_S), may_write=True)
    assert [intent_write.transaction.operations[0].value for intent_write in output.writes] == [
        {"i": []}
    ]
