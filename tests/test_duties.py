"""The parts of the duties by themselves: board, membership, intents, gate, preference."""

from dataclasses import replace
from typing import Any

import orjson
import pytest

from eldercart.autoscaling.request_types import (
    DeleteMachines,
    MachineOffering,
    ScaleOut,
    ScaleOutRequest,
)
from eldercart.election.state_machine import GrantLease, KeepLeaseAlive
from eldercart.singleton.candidate_actions import Acquire, ReadDirectory, Release
from eldercart.singleton.eligibility import ClusterView, IneligibilityReason
from eldercart.singleton.holder_preference import candidate_rank, is_overloaded
from eldercart.singleton.intents import (
    BATCH_INTERVAL_S,
    COMPACTION_DELAY_S,
    IntentLog,
    IntentStage,
    WriteOutcome,
)
from eldercart.singleton.lease_candidate import LeaseCandidate, LeaseState
from eldercart.singleton.lease_directory import EMPTY_ENTRY, LeaseDirectory
from eldercart.singleton.status_report import StatusContext, lease_status, unheld_reason
from eldercart.singleton.write_ahead_gate import DispatchMode, DispatchPolicy, WriteAheadGate
from eldercart.units import (
    ABSENT_REVISION,
    FencingToken,
    IncarnationId,
    LeaseId,
    LeaseToken,
    MachineId,
    MonotonicTime,
    NodeId,
    Revision,
    WallTime,
)
from eldercart.wire import MalformedMessage
from eldercart.wire import named_leases as wire
from eldercart.wire.named_leases import (
    HolderRecord,
    LeaseName,
    PauseRecord,
    ScaleInIntent,
    ScaleOutIntent,
)
from eldercart.wire.state import DeleteKey, Item

ME, OTHER, THIRD = NodeId("drover-1"), NodeId("drover-0"), NodeId("drover-2")
LEASE_S = 6.0


def holder_item(duty: LeaseName, node: NodeId, version: int, life: str = "x") -> Item:
    record = HolderRecord(node, IncarnationId(life), WallTime(5.0))
    return Item(wire.holder_key(duty), wire.holder_value(record), Revision(version))


def pause_item(duty: LeaseName, version: int) -> Item:
    value = wire.pause_value(PauseRecord(WallTime(7.0), "audit"))
    return Item(wire.pause_key(duty), value, Revision(version))


def hand_over_item(duty: LeaseName, to: NodeId, version: int) -> Item:
    value = wire.hand_over_value(wire.HandOverRecord(to, WallTime(7.0)))
    return Item(wire.hand_over_key(duty), value, Revision(version))


# -- board


def test_what_is_known_as_of_a_later_revision_stays() -> None:
    board = LeaseDirectory()
    mine = holder_item(LeaseName.CATALOG, ME, 12)
    board.apply_own_writes([mine], Revision(12))
    board.apply_read([holder_item(LeaseName.CATALOG, OTHER, 8)], Revision(11))
    board.apply_watch_events([DeleteKey(mine.key)], Revision(10))
    assert board.entry(LeaseName.CATALOG).token == 12
    assert board.revision == 11, "the watch goes on where the reads were"
    board.apply_watch_events([DeleteKey(mine.key)], Revision(13))
    board.apply_read([mine], Revision(12))
    assert not board.entry(LeaseName.CATALOG).is_held


def test_a_snapshot_never_changes() -> None:
    board = LeaseDirectory()
    before = board.snapshot
    board.apply_read([pause_item(LeaseName.SCALE_IN, 3)], Revision(4))
    assert before[LeaseName.SCALE_IN] == EMPTY_ENTRY
    assert board.snapshot[LeaseName.SCALE_IN].is_paused
    with pytest.raises(TypeError):
        before[LeaseName.SCALE_IN] = EMPTY_ENTRY  # type: ignore[index]


def test_an_unreadable_record_counts_as_there() -> None:
    board = LeaseDirectory()
    key = wire.holder_key(LeaseName.SCALE_OUT)
    later = Item(wire.HOLDER_PREFIX + "of-a-later-version", {}, Revision(3))
    board.apply_read([Item(key, ["?"], Revision(3)), later], Revision(4))
    entry = board.entry(LeaseName.SCALE_OUT)
    assert entry.is_held and entry.holder is None and entry.token == 3


# -- membership


class CandidateDriver:
    """A membership driven by hand, with its answers given at once."""

    def __init__(self, **changes: Any) -> None:
        self.candidate = LeaseCandidate(
            ME, IncarnationId("me"), tuple(LeaseName), LEASE_S, 0.02, 10.0, 60.0
        )
        self.now = 100.0
        self.revision = 20
        self.view = ClusterView(
            now=MonotonicTime(self.now),
            wall_time=WallTime(1e6),
            leader=OTHER,
            supported_leases=tuple(LeaseName),
            candidates=(OTHER, ME, THIRD),
        )
        self.change(**changes)

    def change(self, **changes: Any) -> None:
        self.view = replace(self.view, **changes)

    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.change(now=MonotonicTime(self.now))

    def next_action(self) -> Any:
        return self.candidate.next_action(self.view)

    def learn(self, *items: Item) -> None:
        self.revision += 1
        self.candidate.directory.apply_read(items, Revision(self.revision))
        self.candidate.on_directory_read()

    def settle(self) -> list[Any]:
        """Answers everything with success until nothing is wanted any more."""
        done = []
        while (action := self.next_action()) is not None:
            done.append(action)
            self.revision += 1
            match action:
                case ReadDirectory():
                    self.learn()
                case GrantLease():
                    self.candidate.on_lease_granted(LeaseId(7))
                case KeepLeaseAlive():
                    self.candidate.on_keep_alive(True)
                case Acquire():
                    self.candidate.on_acquired(Revision(self.revision))
                case Release():
                    self.candidate.on_released(Revision(self.revision))
        return done

    def state(self, duty: LeaseName) -> LeaseState:
        self.candidate._update_states(self.view)
        return self.candidate.state(duty)


def leading(**changes: Any) -> CandidateDriver:
    node = CandidateDriver(leader=ME, leader_token=FencingToken(9), **changes)
    node.settle()
    return node


def test_a_leader_takes_its_duties_under_one_lease() -> None:
    node = CandidateDriver(leader=ME, leader_token=FencingToken(9))
    done = node.settle()
    assert sum(isinstance(action, GrantLease) for action in done) == 1
    acquired = [action for action in done if isinstance(action, Acquire)]
    assert {a.lease_name for a in acquired} == {
        LeaseName.SCALE_OUT,
        LeaseName.SCALE_IN,
        LeaseName.CLEANUP,
    }
    for action in acquired:
        assert action.transaction.conditions["lead"] == 9
        assert action.transaction.conditions[wire.pause_key(action.lease_name)] == ABSENT_REVISION
        assert node.candidate.usable_token(action.lease_name, node.view.now) is not None
    node.wait(LEASE_S / 3)
    assert [type(a) for a in node.settle()] == [KeepLeaseAlive], "one renewal for all of them"


def test_a_duty_that_was_just_taken_does_not_wander() -> None:
    node = leading()
    node.wait(LEASE_S)
    node.settle()
    assert node.state(LeaseName.CATALOG) is LeaseState.HOLDER, "nobody else took it"
    node.wait(59.0)
    node.settle()
    assert node.state(LeaseName.CATALOG) is LeaseState.HOLDER
    node.wait(2.0)
    released = [action.lease_name for action in node.settle() if isinstance(action, Release)]
    assert released == [LeaseName.CATALOG], "two nodes without any stand by"


def test_a_new_leader_replaces_the_key_of_the_old_one_in_the_version_seen() -> None:
    """It need not wait for the lease: the old holder's token is refused from then on."""
    node = CandidateDriver(leader=ME, leader_token=FencingToken(9))
    assert isinstance(node.next_action(), ReadDirectory)
    node.learn(holder_item(LeaseName.SCALE_OUT, OTHER, 17))
    acquired = {a.lease_name: a for a in node.settle() if isinstance(a, Acquire)}
    assert (
        acquired[LeaseName.SCALE_OUT].transaction.conditions[wire.holder_key(LeaseName.SCALE_OUT)]
        == 17
    )


@pytest.mark.parametrize(
    ("changes", "items", "obstacle"),
    [
        ({"supported_leases": ()}, (), IneligibilityReason.NOT_SUPPORTED_BY_ALL),
        ({"is_shutting_down": True}, (), IneligibilityReason.DISABLED),
        ({}, (pause_item(LeaseName.SCALE_OUT, 5),), IneligibilityReason.PAUSED),
        ({"leader_token": FencingToken(0)}, (), IneligibilityReason.NOT_LEADER),
        (
            {},
            (hand_over_item(LeaseName.SCALE_OUT, OTHER, 5),),
            IneligibilityReason.BEING_HANDED_OVER,
        ),
    ],
)
def test_what_speaks_against_a_duty(
    changes: dict[str, Any], items: tuple[Item, ...], obstacle: IneligibilityReason
) -> None:
    node = leading()
    held = node.candidate.directory.entry(LeaseName.SCALE_OUT).token
    node.change(busy_leases=(LeaseName.SCALE_OUT,), **changes)
    mine = [
        Item(
            wire.holder_key(d),
            wire.holder_value(HolderRecord(ME, IncarnationId("me"), WallTime(5.0))),
            Revision(node.candidate.directory.entry(d).token),
        )
        for d in LeaseName
        if node.candidate.directory.entry(d).is_held
    ]
    node.learn(*mine, *items)
    node.settle()
    assert node.candidate.ineligibility(LeaseName.SCALE_OUT) is obstacle
    assert node.state(LeaseName.SCALE_OUT) is LeaseState.DRAINING, "something is under way"
    assert node.candidate.usable_token(LeaseName.SCALE_OUT, node.view.now) is None, (
        "nothing new begins"
    )
    assert node.candidate.held_token(LeaseName.SCALE_OUT) == held, "what began may be finished"
    node.change(busy_leases=())
    released = [
        a for a in node.settle() if isinstance(a, Release) and a.lease_name is LeaseName.SCALE_OUT
    ]
    assert [a.transaction.conditions for a in released] == [
        {wire.holder_key(LeaseName.SCALE_OUT): held}
    ]
    assert node.state(LeaseName.SCALE_OUT) is LeaseState.OBSERVER


def test_a_lost_answer_to_an_acquisition_is_settled_by_a_read() -> None:
    node = CandidateDriver(leader_token=FencingToken(9), leader=ME)
    action = None
    while not isinstance(action, Acquire):
        action = node.next_action()
        match action:
            case ReadDirectory():
                node.learn()
            case GrantLease():
                node.candidate.on_lease_granted(LeaseId(7))
    node.candidate.on_action_failed(node.view.now)
    node.wait(1.0)
    assert isinstance(node.next_action(), ReadDirectory), "nothing else can tell"
    node.learn(holder_item(action.lease_name, ME, 30, "me"))
    assert node.state(action.lease_name) is LeaseState.HOLDER
    assert node.candidate.usable_token(action.lease_name, node.view.now) == 30


def test_a_late_copy_of_an_acquisition_is_given_up_again() -> None:
    """It came into force after this node had stopped wanting the duty."""
    node = CandidateDriver()
    node.settle()
    node.revision = 40
    node.candidate.directory.apply_watch_events(
        [holder_item(LeaseName.SCALE_OUT, ME, 40, "me")], Revision(40)
    )
    released = [a for a in node.settle() if isinstance(a, Release)]
    assert [(a.lease_name, a.transaction.conditions) for a in released] == [
        (LeaseName.SCALE_OUT, {wire.holder_key(LeaseName.SCALE_OUT): 40})
    ]


def test_a_holder_whose_lease_has_run_out_begins_nothing_until_it_is_confirmed() -> None:
    """A renewal that was delayed may still come in time: the key tells."""
    node = leading()
    node.wait(LEASE_S)
    action = node.next_action()
    assert isinstance(action, KeepLeaseAlive)
    assert node.state(LeaseName.SCALE_OUT) is LeaseState.LOST
    assert node.candidate.usable_token(LeaseName.SCALE_OUT, node.view.now) is None
    node.candidate.on_keep_alive(True)
    assert node.state(LeaseName.SCALE_OUT) is LeaseState.HOLDER
    node.wait(LEASE_S)
    assert isinstance(node.next_action(), KeepLeaseAlive)
    node.candidate.on_keep_alive(False)
    assert isinstance(node.next_action(), ReadDirectory), "its keys went with the lease"


def test_a_refused_write_is_looked_into() -> None:
    node = leading()
    node.candidate.on_write_fenced()
    assert isinstance(node.next_action(), ReadDirectory)
    node.learn(holder_item(LeaseName.SCALE_OUT, OTHER, 50))
    node.change(leader_token=FencingToken(0), leader=OTHER)
    assert node.state(LeaseName.SCALE_OUT) is LeaseState.OBSERVER
    assert node.candidate.held_token(LeaseName.SCALE_OUT) is None


@pytest.mark.parametrize("receiver", [ME, THIRD])
def test_a_hand_over_is_kept_for_its_receiver_for_a_while(receiver: NodeId) -> None:
    node = CandidateDriver()
    assert isinstance(node.next_action(), ReadDirectory)
    node.learn(hand_over_item(LeaseName.CATALOG, receiver, 5))
    node.settle()
    if receiver == THIRD:
        assert node.state(LeaseName.CATALOG) is LeaseState.OBSERVER
        node.wait(10.1)
        node.settle()
        node.wait(LEASE_S)  # longer than any candidate's turn
    done = [a for a in node.settle() if isinstance(a, Acquire)]
    held = node.candidate.directory.entry(LeaseName.CATALOG)
    assert held.holder is not None and held.holder.node == ME, "its receiver may be dead"
    assert held.hand_over is None, "done with the acquisition"
    assert all(a.transaction.conditions[wire.hand_over_key(LeaseName.CATALOG)] == 5 for a in done)


def test_a_slow_node_gives_up_what_others_can_hold() -> None:
    node = CandidateDriver(leader=ME, leader_token=FencingToken(9), candidates=(ME,))
    node.settle()
    assert node.state(LeaseName.CATALOG) is LeaseState.HOLDER
    node.change(is_lagging=True)
    released = [a.lease_name for a in node.settle() if isinstance(a, Release)]
    assert released == [LeaseName.CATALOG]
    assert node.candidate.ineligibility(LeaseName.CATALOG) is IneligibilityReason.LAGGING
    assert node.state(LeaseName.SCALE_OUT) is LeaseState.HOLDER, "the leader's stay with it"


def test_candidates_take_turns_by_load_and_name() -> None:
    board = LeaseDirectory()
    nodes = (OTHER, ME, THIRD)
    assert [candidate_rank(n, nodes, ME, board.snapshot) for n in nodes] == [0, 2, 1], (
        "the leader last"
    )
    board.apply_read([holder_item(LeaseName.CATALOG, OTHER, 3)], Revision(3))
    assert [candidate_rank(n, nodes, ME, board.snapshot) for n in nodes] == [1, 2, 0]
    assert not is_overloaded(OTHER, nodes, ME, board.snapshot), "it would only change sides"
    assert is_overloaded(OTHER, nodes, OTHER, board.snapshot)


# -- intents


def scale_out_intent(name: str = "r-1") -> ScaleOutIntent:
    return ScaleOutIntent(name, WallTime(1e6), "small", "a", False, 3)


def scale_in_intent(name: str) -> ScaleInIntent:
    return ScaleInIntent(MachineId(name), WallTime(1e6))


def loaded_log(duty: LeaseName = LeaseName.SCALE_OUT, most_bytes: int = 4000) -> IntentLog:
    log = IntentLog(duty, most_bytes)
    log.load(None)
    return log


def next_write(log: IntentLog, now: float = 1.0) -> Any:
    return log.next_write(LeaseToken(5), FencingToken(9), MonotonicTime(now))


def test_an_intent_may_be_sent_once_it_is_durable() -> None:
    log = loaded_log()
    log.create(scale_out_intent())
    w = next_write(log)
    assert w.transaction.conditions == {
        wire.holder_key(LeaseName.SCALE_OUT): 5,
        "lead": 9,
        "intent/rental": 0,
    }
    assert not log.is_recorded("r-1") and log.stage("r-1") is IntentStage.CREATED
    assert next_write(log) is None, "one write at a time"
    log.on_write_result(w, WriteOutcome.COMMITTED, Revision(30), MonotonicTime(1.1))
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
def test_a_write_without_an_outcome_is_read_again(outcome: WriteOutcome, applied: bool) -> None:
    log = loaded_log()
    log.create(scale_out_intent())
    w = next_write(log)
    log.on_write_result(w, outcome, ABSENT_REVISION, MonotonicTime(1.1))
    assert log.needs_refresh and not log.is_recorded("r-1") and next_write(log, 9.0) is None
    value = w.transaction.operations[0].value
    log.refresh(Item("intent/rental", value, Revision(30)) if applied else None)
    assert log.is_recorded("r-1") is applied
    assert (next_write(log, 9.0) is None) is applied, "written again only if it was not"


def test_intents_that_nobody_waits_for_are_gathered() -> None:
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
def test_what_is_given_up_while_it_is_written_stays_only_if_it_was(applied: bool) -> None:
    log = loaded_log()
    log.create(scale_out_intent())
    w = next_write(log)
    log.abandon("r-1")
    log.on_write_result(w, WriteOutcome.INDETERMINATE, ABSENT_REVISION, MonotonicTime(1.1))
    value = w.transaction.operations[0].value
    log.refresh(Item("intent/rental", value, Revision(30)) if applied else None)
    assert log.is_recorded("r-1") is applied
    assert next_write(log, 9.0) is None, "nothing is left to be written"


def test_a_refused_write_is_tried_again() -> None:
    log = loaded_log()
    log.create(scale_out_intent())
    w = next_write(log)
    log.on_write_result(w, WriteOutcome.REJECTED, ABSENT_REVISION, MonotonicTime(1.0))
    assert not log.needs_refresh and next_write(log, 1.1) is None
    assert next_write(log, 2.0).transaction.operations == w.transaction.operations


def test_the_record_keeps_to_the_limit_on_a_value() -> None:
    log = loaded_log(LeaseName.SCALE_IN, 600)
    names = [scale_in_intent(f"n-{i:06d}") for i in range(100)]
    room = log.capacity_for(list(names))
    assert 0 < room < 100
    for intent in names[:room]:
        log.create(intent)
    assert log.capacity_for([scale_in_intent("n-000100")]) == 0
    assert log.capacity_for(list(names[:room])) == room, "what is in it already needs no room"
    w = next_write(log)
    assert len(orjson.dumps(w.transaction.operations[0].value)) <= 600
    log.on_write_result(w, WriteOutcome.COMMITTED, Revision(30), MonotonicTime(1.1))
    log.mark_finished("n-000000", MonotonicTime(1.2))
    assert log.capacity_for([scale_in_intent("n-000100")]) == 1


def test_an_intent_that_is_wanted_anew_while_it_is_dropped_is_recorded_again() -> None:
    log = loaded_log()
    log.create(scale_out_intent())
    log.on_write_result(next_write(log), WriteOutcome.COMMITTED, Revision(30), MonotonicTime(1.0))
    log.mark_finished("r-1", MonotonicTime(2.0))
    dropping = next_write(log, 2.0 + COMPACTION_DELAY_S)
    log.create(scale_out_intent())
    log.on_write_result(dropping, WriteOutcome.COMMITTED, Revision(31), MonotonicTime(6.0))
    assert not log.is_recorded("r-1")
    log.on_write_result(
        next_write(log, 7.0), WriteOutcome.COMMITTED, Revision(32), MonotonicTime(7.0)
    )
    assert log.is_recorded("r-1")


@pytest.mark.parametrize("value", [None, [], {"i": [{}]}, {"i": 3}, {"i": [{"n": "", "t": 1}]}])
def test_an_unreadable_record_is_replaced(value: Any) -> None:
    log = IntentLog(LeaseName.SCALE_IN, 4000)
    assert log.load(Item("intent/return", value, Revision(8))) == []
    log.create(scale_in_intent("n-1"))
    assert next_write(log).transaction.conditions["intent/return"] == 8


@pytest.mark.parametrize("intent", [scale_out_intent(), scale_in_intent("n-000017")])
def test_intents_are_read_as_they_were_written(intent: wire.Intent) -> None:
    duty = LeaseName.SCALE_OUT if isinstance(intent, ScaleOutIntent) else LeaseName.SCALE_IN
    assert wire.parse_intents(duty, wire.intents_value([intent])) == [intent]


# -- gate

WRITE_AHEAD = DispatchPolicy(DispatchMode.WRITE_AHEAD, LeaseToken(5))
BLOCKED = DispatchPolicy(DispatchMode.BLOCKED)
RECORDED_LEASES = (LeaseName.SCALE_OUT, LeaseName.SCALE_IN)


def gate_with_open_machines(*open_machines: str) -> WriteAheadGate:
    gate = WriteAheadGate(FencingToken(9), 4000)
    for duty in RECORDED_LEASES:
        names = open_machines if duty is LeaseName.SCALE_IN else ()
        value = wire.intents_value([scale_in_intent(name) for name in names])
        gate.load(duty, Item(wire.intents_key(duty), value, Revision(8)))
    return gate


def rent_call(name: str = "r-1") -> ScaleOut:
    return ScaleOut(ScaleOutRequest(name, MachineOffering("small", "a", False), 2))


def delete_call(*names: str) -> DeleteMachines:
    return DeleteMachines(tuple(MachineId(name) for name in names))


def test_a_call_waits_for_its_intents() -> None:
    gate = gate_with_open_machines()
    call = rent_call()
    gate.admit(call, WallTime(1e6))
    routes = dict.fromkeys(RECORDED_LEASES, WRITE_AHEAD)
    out = gate.process(routes, True, MonotonicTime(1.0))
    assert out.calls_to_send == [] and len(out.writes) == 1 and gate.is_busy(LeaseName.SCALE_OUT)
    duty, w = out.writes[0]
    gate.on_write_result(duty, w, WriteOutcome.COMMITTED, Revision(9), MonotonicTime(1.1))
    assert gate.process(routes, True, MonotonicTime(1.2)).calls_to_send == [call]
    assert gate.is_busy(LeaseName.SCALE_OUT), "until it is answered"
    gate.on_answer(call, True, MonotonicTime(1.3))
    assert not gate.is_busy(LeaseName.SCALE_OUT)


def test_what_earlier_leaders_recorded_is_sent_at_once() -> None:
    gate = gate_with_open_machines("n-1", "n-2")
    call = gate.admit(delete_call("n-1", "n-2"), WallTime(1e6))
    out = gate.process(dict.fromkeys(RECORDED_LEASES, BLOCKED), True, MonotonicTime(1.0))
    assert out.calls_to_send == [call] and out.rejected_calls == [] and out.writes == []


def test_what_can_not_be_recorded_is_given_back_at_once() -> None:
    gate = gate_with_open_machines()
    calls = [rent_call(), delete_call("n-3")]
    for call in calls:
        gate.admit(call, WallTime(1e6))
    out = gate.process(dict.fromkeys(RECORDED_LEASES, BLOCKED), True, MonotonicTime(1.0))
    assert out.rejected_calls == calls and out.writes == []
    assert not gate.is_busy(LeaseName.SCALE_OUT) and not gate.is_busy(LeaseName.SCALE_IN)


def test_a_deletion_is_cut_to_what_the_record_takes() -> None:
    gate = WriteAheadGate(FencingToken(9), 200)
    gate.load(LeaseName.SCALE_IN, None)
    call = gate.admit(delete_call(*(f"n-{i:06d}" for i in range(100))), WallTime(1e6))
    assert isinstance(call, DeleteMachines) and 1 <= len(call.machines) < 100
    assert not gate.has_capacity(LeaseName.SCALE_IN)


def test_an_unanswered_call_stays_open_and_goes_out_again_under_its_name() -> None:
    gate = gate_with_open_machines("n-1")
    routes = dict.fromkeys(RECORDED_LEASES, WRITE_AHEAD)
    for _ in range(2):
        gate.admit(delete_call("n-1"), WallTime(1e6))
        out = gate.process(routes, True, MonotonicTime(1.0))
        assert out.calls_to_send == [delete_call("n-1")] and out.writes == []
        gate.on_answer(delete_call("n-1"), False, MonotonicTime(1.5))
    assert list(gate.intent_logs[LeaseName.SCALE_IN].open_intents) == ["n-1"]


def test_a_call_past_the_gate_closes_what_was_recorded_of_it() -> None:
    gate = gate_with_open_machines("n-1")
    gate.on_direct_answer(delete_call("n-1"), MonotonicTime(1.0))
    out = gate.process(
        dict.fromkeys(RECORDED_LEASES, WRITE_AHEAD), True, MonotonicTime(1.0 + COMPACTION_DELAY_S)
    )
    assert [w.transaction.operations[0].value for _, w in out.writes] == [{"i": []}]


# -- what operators are told


def status_context(**changes: Any) -> StatusContext:
    base = StatusContext(WallTime(100.0), frozenset(LeaseName), {}, OTHER, None, False)
    return replace(base, **changes)


@pytest.mark.parametrize(
    ("duty", "items", "changes", "why"),
    [
        (LeaseName.SCALE_OUT, (pause_item(LeaseName.SCALE_OUT, 3),), {}, "paused: audit"),
        (LeaseName.SCALE_OUT, (), {"enabled_leases": frozenset()}, "this node does not take part"),
        (
            LeaseName.SCALE_OUT,
            (),
            {"nodes_without_support": {LeaseName.SCALE_OUT: [THIRD]}},
            "(drover-2)",
        ),
        (LeaseName.CATALOG, (hand_over_item(LeaseName.CATALOG, ME, 3),), {}, "over to drover-1"),
        (LeaseName.SCALE_OUT, (), {"leader": None}, "no leader is known"),
        (LeaseName.CATALOG, (), {}, "has not taken it yet"),
    ],
)
def test_why_nobody_holds_a_duty(
    duty: LeaseName, items: tuple[Item, ...], changes: dict[str, Any], why: str
) -> None:
    board = LeaseDirectory()
    board.apply_read(items, Revision(9))
    told = unheld_reason(duty, board.entry(duty), status_context(**changes))
    assert told is not None and why in told


def test_a_report_names_holder_token_and_open_intents() -> None:
    board = LeaseDirectory()
    board.apply_read([holder_item(LeaseName.SCALE_IN, ME, 6)], Revision(9))
    intents: list[wire.Intent] = [
        replace(scale_in_intent("n-1"), created_at=WallTime(40.0)),
        scale_in_intent("n-2"),
    ]
    report = lease_status(
        LeaseName.SCALE_IN, board.entry(LeaseName.SCALE_IN), intents, status_context()
    )
    assert report["holder"] == ME and report["token"] == 6
    assert (report["intents"], report["oldest_s"]) == (2, 60.0)


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"to":7}', b'{"to":""}', b"x" * 70000])
def test_malformed_hand_overs(body: bytes) -> None:
    with pytest.raises(MalformedMessage):
        wire.parse_hand_over_request(body)


@pytest.mark.parametrize("body", [b"", b'{"reason":7}', b'{"reason":"' + b"x" * 300 + b'"}'])
def test_malformed_pauses(body: bytes) -> None:
    with pytest.raises(MalformedMessage):
        wire.parse_pause_request(body)
