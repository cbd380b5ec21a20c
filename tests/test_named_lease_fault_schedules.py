"""Seeded schedules of faults on several nodes in simulated time.

An independent checker, `check_history`, verifies what the state service and the cloud accepted.
"""

from collections.abc import Callable
from typing import Any

import pytest

from eldercart.autoscaling.request_types import MachineOffering, ScaleOut, ScaleOutRequest
from eldercart.singleton.intents import IntentLog
from eldercart.singleton.write_ahead_gate import WriteAheadGate
from eldercart.units import ABSENT_REVISION, WallTime
from eldercart.wire.leader_key import LEADER_KEY
from eldercart.wire.named_leases import (
    LeaseName,
    PauseRecord,
    holder_key,
    intents_key,
    pause_key,
    pause_value,
)
from eldercart.wire.state import Put, Transaction
from named_lease_history import check_history
from named_lease_world import NamedLeaseWorld, check_final_state

BLOCKS, SEEDS_PER_BLOCK = 6, 8
MUTANT_SEEDS = range(41, 66)  # each removed guard must make at least one of these fail
SCHEDULE_LENGTH_S = 60.0


def run_schedule(seed: int) -> NamedLeaseWorld:
    world = NamedLeaseWorld(seed, 3 + seed % 3)
    world.run(SCHEDULE_LENGTH_S)
    world.settle()
    return world


@pytest.mark.parametrize("block", range(BLOCKS))
def test_replaced_holder_has_no_effect_under_seeded_faults(block: int) -> None:
    rejected_writes = rented = deleted = 0
    for seed in range(block * SEEDS_PER_BLOCK, (block + 1) * SEEDS_PER_BLOCK):
        world = run_schedule(seed)
        check_history(world.history)
        check_final_state(world)
        rejected_writes += world.history.rejected
        rented += sum(effect.kind == "rent" for effect in world.history.effects)
        deleted += sum(effect.kind == "delete" for effect in world.history.effects)
    assert rejected_writes and rented and deleted, (
        "the schedules must cause rejected writes, created machines and deleted machines"
    )


def without_guards(*names: str) -> Callable[[pytest.MonkeyPatch], None]:
    """Return a patch that removes these conditions from the writes of intents."""

    def change(patch: pytest.MonkeyPatch) -> None:
        next_write = IntentLog.next_write

        def mutant(log: IntentLog, *args: Any) -> Any:
            write = next_write(log, *args)
            if write is not None:
                for name in names:
                    key = {"lead": LEADER_KEY, "duty": holder_key(log.lease_name)}.get(name)
                    write.transaction.conditions.pop(key or intents_key(log.lease_name))
            return write

        patch.setattr(IntentLog, "next_write", mutant)

    return change


def sent_before_recorded(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(IntentLog, "is_recorded", lambda log, name: True)


def record_not_taken_over(patch: pytest.MonkeyPatch) -> None:
    """A new leader loads the record and its version, but ignores its open intents."""
    load = WriteAheadGate.load

    def mutant(gate: WriteAheadGate, lease_name: LeaseName, item: Any) -> Any:
        load(gate, lease_name, item)
        return []

    patch.setattr(WriteAheadGate, "load", mutant)


def catalogue_without_token(patch: pytest.MonkeyPatch) -> None:
    original_commit = NamedLeaseWorld.commit

    def mutant(world: NamedLeaseWorld, node: Any, transaction: Any, on_answer: Any) -> None:
        transaction.conditions.pop(
            holder_key(LeaseName.CATALOG), None
        ) if transaction.conditions.get(holder_key(LeaseName.CATALOG), ABSENT_REVISION) and not any(
            operation.key.startswith("duty/") for operation in transaction.operations
        ) else None
        original_commit(world, node, transaction, on_answer)

    patch.setattr(NamedLeaseWorld, "commit", mutant)


@pytest.mark.parametrize(
    "mutant",
    [
        pytest.param(without_guards("duty", "lead"), id="intents without either token"),
        pytest.param(without_guards("lead"), id="intents without the leader's epoch"),
        pytest.param(without_guards("record"), id="intents without the record's version"),
        pytest.param(sent_before_recorded, id="sent before it is recorded"),
        pytest.param(record_not_taken_over, id="open intents are not taken over"),
        pytest.param(catalogue_without_token, id="catalogue without a token"),
    ],
)
def test_history_checker_detects_every_removed_guard(
    mutant: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """If a guard is removed, at least one schedule violates a rule of the checker."""
    mutant(monkeypatch)
    for seed in MUTANT_SEEDS:
        try:
            world = run_schedule(seed)
            check_history(world.history)
            check_final_state(world)
        except AssertionError:
            return
    pytest.fail("no schedule violates a rule although the guard is removed")


@pytest.mark.parametrize("guarded", [True, False])
def test_delayed_intent_write_is_rejected_after_its_lease_was_paused(
    guarded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Only a pause makes the leader lose one of the leader's named leases while it still leads.

    The write has timed out, the leader has read that it was not applied, and has released the
    lease. Only the condition on the lease's token then prevents the delayed write from being
    applied.
    """
    if not guarded:
        without_guards("duty")(monkeypatch)
    world = NamedLeaseWorld(1, faults=False)
    for node in world.nodes:
        node.issues_requests = False
    world.run(10.0)
    leader = next(node for node in world.nodes if node.is_leader)
    send = world.send
    delayed_writes: list[Callable[[], Any]] = []

    def delay_first_record_write(node: Any, serve: Callable[[], Any], on_answer: Any) -> None:
        if getattr(serve, "records", False) and not delayed_writes:
            delayed_writes.append(serve)
            world.schedule(2.0, lambda: node.receive(lambda: on_answer(None, None)))
        else:
            send(node, serve, on_answer)

    original_commit = world.commit

    def commit_marked(node: Any, transaction: Any, on_answer: Any) -> None:
        records = any(
            write.key == intents_key(LeaseName.SCALE_OUT) for write in transaction.operations
        )
        unmarked_send = world.send
        if records:

            def send_marked(sender: Any, serve: Any, on_sent_answer: Any) -> None:
                serve.records = True
                delay_first_record_write(sender, serve, on_sent_answer)

            world.send = send_marked  # type: ignore[method-assign]
        original_commit(node, transaction, on_answer)
        world.send = unmarked_send  # type: ignore[method-assign]

    world.commit = commit_marked  # type: ignore[method-assign]
    offer = MachineOffering("small", "a", False)
    leader.pending_calls.append(ScaleOut(ScaleOutRequest("r-late", offer, 2)))
    world.run(0.5)
    assert delayed_writes, "no write of intents was delayed"
    pause = Put(pause_key(LeaseName.SCALE_OUT), pause_value(PauseRecord(WallTime(1.0), "")))
    world.store.txn(Transaction({}, [pause]).body())
    world.run(6.0)
    assert holder_key(LeaseName.SCALE_OUT) not in world.store.keys and leader.is_leader
    status, _ = delayed_writes[0]()
    assert status == (409 if guarded else 200)
    if guarded:
        check_history(world.history)
    else:
        with pytest.raises(AssertionError):
            check_history(world.history)
