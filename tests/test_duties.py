"""The parts of the duties by themselves: board, membership, intents, gate, preference."""

from dataclasses import replace
from typing import Any

import orjson
import pytest

from eldercart.autoscaling.autoscaler import Offer, RentalRequest
from eldercart.autoscaling.cloud_requests import Delete, Rent
from eldercart.election.state_machine import OpenLease, RenewLease
from eldercart.singleton.holder_preference import is_overloaded, rank
from eldercart.singleton.intents import COMPACT_S, GATHER_S, IntentLog, IntentStage, WriteOutcome
from eldercart.singleton.lease_candidate import (
    Acquire,
    DutyMembership,
    DutyState,
    Obstacle,
    ReadBoard,
    Release,
    Situation,
)
from eldercart.singleton.lease_directory import NOTHING_KNOWN, DutyBoard
from eldercart.singleton.status_report import Surroundings, duty_report, why_unheld
from eldercart.singleton.write_ahead_gate import CloudGate, Path, Route
from eldercart.units import (
    ABSENT,
    Epoch,
    IncarnationId,
    LeaseId,
    MachineId,
    NodeId,
    Revision,
    Steady,
    Token,
    WallTime,
)
from eldercart.wire import Malformed
from eldercart.wire import named_leases as wire
from eldercart.wire.named_leases import (
    DutyName,
    HolderRecord,
    PauseRecord,
    RentalIntent,
    ReturnIntent,
)
from eldercart.wire.state import Drop, Item

ME, OTHER, THIRD = NodeId("drover-1"), NodeId("drover-0"), NodeId("drover-2")
LEASE_S = 6.0


def holder_item(duty: DutyName, node: NodeId, version: int, life: str = "x") -> Item:
    record = HolderRecord(node, IncarnationId(life), WallTime(5.0))
    return Item(wire.holder_key(duty), wire.holder_value(record), Revision(version))


def pause_item(duty: DutyName, version: int) -> Item:
    value = wire.pause_value(PauseRecord(WallTime(7.0), "audit"))
    return Item(wire.pause_key(duty), value, Revision(version))


def hand_over_item(duty: DutyName, to: NodeId, version: int) -> Item:
    value = wire.hand_over_value(wire.HandOverRecord(to, WallTime(7.0)))
    return Item(wire.hand_over_key(duty), value, Revision(version))


# -- board


def test_what_is_known_as_of_a_later_revision_stays() -> None:
    board = DutyBoard()
    mine = holder_item(DutyName.CATALOG, ME, 12)
    board.wrote([mine], Revision(12))
    board.read([holder_item(DutyName.CATALOG, OTHER, 8)], Revision(11))
    board.watched([Drop(mine.key)], Revision(10))
    assert board.entry(DutyName.CATALOG).token == 12
    assert board.revision == 11, "the watch goes on where the reads were"
    board.watched([Drop(mine.key)], Revision(13))
    board.read([mine], Revision(12))
    assert not board.entry(DutyName.CATALOG).held


def test_a_snapshot_never_changes() -> None:
    board = DutyBoard()
    before = board.snapshot
    board.read([pause_item(DutyName.RETURN, 3)], Revision(4))
    assert before[DutyName.RETURN] == NOTHING_KNOWN
    assert board.snapshot[DutyName.RETURN].paused
    with pytest.raises(TypeError):
        before[DutyName.RETURN] = NOTHING_KNOWN  # type: ignore[index]


def test_an_unreadable_record_counts_as_there() -> None:
    board = DutyBoard()
    key = wire.holder_key(DutyName.RENTAL)
    later = Item(wire.HOLDERS + "of-a-later-version", {}, Revision(3))
    board.read([Item(key, ["?"], Revision(3)), later], Revision(4))
    entry = board.entry(DutyName.RENTAL)
    assert entry.held and entry.holder is None and entry.token == 3


# -- membership


class Node:
    """A membership driven by hand, with its answers given at once."""

    def __init__(self, **changes: Any) -> None:
        self.m = DutyMembership(ME, IncarnationId("me"), tuple(DutyName), LEASE_S, 0.02, 10.0, 60.0)
        self.now = 100.0
        self.revision = 20
        self.situation = Situation(
            now=Steady(self.now),
            wall=WallTime(1e6),
            leader=OTHER,
            announced=tuple(DutyName),
            candidates=(OTHER, ME, THIRD),
        )
        self.change(**changes)

    def change(self, **changes: Any) -> None:
        self.situation = replace(self.situation, **changes)

    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.change(now=Steady(self.now))

    def act(self) -> Any:
        return self.m.next_action(self.situation)

    def know(self, *items: Item) -> None:
        self.revision += 1
        self.m.board.read(items, Revision(self.revision))
        self.m.read()

    def settle(self) -> list[Any]:
        """Answers everything with success until nothing is wanted any more."""
        done = []
        while (action := self.act()) is not None:
            done.append(action)
            self.revision += 1
            match action:
                case ReadBoard():
                    self.know()
                case OpenLease():
                    self.m.opened(LeaseId(7))
                case RenewLease():
                    self.m.renewed(True)
                case Acquire():
                    self.m.acquired(Revision(self.revision))
                case Release():
                    self.m.released(Revision(self.revision))
        return done

    def state(self, duty: DutyName) -> DutyState:
        self.m._look(self.situation)
        return self.m.state(duty)


def leading(**changes: Any) -> Node:
    node = Node(leader=ME, epoch=Epoch(9), **changes)
    node.settle()
    return node


def test_a_leader_takes_its_duties_under_one_lease() -> None:
    node = Node(leader=ME, epoch=Epoch(9))
    done = node.settle()
    assert sum(isinstance(action, OpenLease) for action in done) == 1
    acquired = [action for action in done if isinstance(action, Acquire)]
    assert {a.duty for a in acquired} == {DutyName.RENTAL, DutyName.RETURN, DutyName.CLEANUP}
    for action in acquired:
        assert action.txn.guards["lead"] == 9
        assert action.txn.guards[wire.pause_key(action.duty)] == ABSENT
        assert node.m.token(action.duty, node.situation.now) is not None
    node.wait(LEASE_S / 3)
    assert [type(a) for a in node.settle()] == [RenewLease], "one renewal for all of them"


def test_a_duty_that_was_just_taken_does_not_wander() -> None:
    node = leading()
    node.wait(LEASE_S)
    node.settle()
    assert node.state(DutyName.CATALOG) is DutyState.HOLDER, "nobody else took it"
    node.wait(59.0)
    node.settle()
    assert node.state(DutyName.CATALOG) is DutyState.HOLDER
    node.wait(2.0)
    released = [action.duty for action in node.settle() if isinstance(action, Release)]
    assert released == [DutyName.CATALOG], "two nodes without any stand by"


def test_a_new_leader_replaces_the_key_of_the_old_one_in_the_version_seen() -> None:
    """It need not wait for the lease: the old holder's token is refused from then on."""
    node = Node(leader=ME, epoch=Epoch(9))
    assert isinstance(node.act(), ReadBoard)
    node.know(holder_item(DutyName.RENTAL, OTHER, 17))
    acquired = {a.duty: a for a in node.settle() if isinstance(a, Acquire)}
    assert acquired[DutyName.RENTAL].txn.guards[wire.holder_key(DutyName.RENTAL)] == 17


@pytest.mark.parametrize(
    ("changes", "items", "obstacle"),
    [
        ({"announced": ()}, (), Obstacle.NOT_ANNOUNCED),
        ({"ending": True}, (), Obstacle.OFF),
        ({}, (pause_item(DutyName.RENTAL, 5),), Obstacle.PAUSED),
        ({"epoch": Epoch(0)}, (), Obstacle.NOT_LEADER),
        ({}, (hand_over_item(DutyName.RENTAL, OTHER, 5),), Obstacle.HANDED_OVER),
    ],
)
def test_what_speaks_against_a_duty(
    changes: dict[str, Any], items: tuple[Item, ...], obstacle: Obstacle
) -> None:
    node = leading()
    held = node.m.board.entry(DutyName.RENTAL).token
    node.change(busy=(DutyName.RENTAL,), **changes)
    mine = [
        Item(
            wire.holder_key(d),
            wire.holder_value(HolderRecord(ME, IncarnationId("me"), WallTime(5.0))),
            Revision(node.m.board.entry(d).token),
        )
        for d in DutyName
        if node.m.board.entry(d).held
    ]
    node.know(*mine, *items)
    node.settle()
    assert node.m.obstacle(DutyName.RENTAL) is obstacle
    assert node.state(DutyName.RENTAL) is DutyState.DRAINING, "something is under way"
    assert node.m.token(DutyName.RENTAL, node.situation.now) is None, "nothing new begins"
    assert node.m.held_token(DutyName.RENTAL) == held, "what began may be finished"
    node.change(busy=())
    released = [a for a in node.settle() if isinstance(a, Release) and a.duty is DutyName.RENTAL]
    assert [a.txn.guards for a in released] == [{wire.holder_key(DutyName.RENTAL): held}]
    assert node.state(DutyName.RENTAL) is DutyState.OBSERVER


def test_a_lost_answer_to_an_acquisition_is_settled_by_a_read() -> None:
    node = Node(epoch=Epoch(9), leader=ME)
    action = None
    while not isinstance(action, Acquire):
        action = node.act()
        match action:
            case ReadBoard():
                node.know()
            case OpenLease():
                node.m.opened(LeaseId(7))
    node.m.failed(node.situation.now)
    node.wait(1.0)
    assert isinstance(node.act(), ReadBoard), "nothing else can tell"
    node.know(holder_item(action.duty, ME, 30, "me"))
    assert node.state(action.duty) is DutyState.HOLDER
    assert node.m.token(action.duty, node.situation.now) == 30


def test_a_late_copy_of_an_acquisition_is_given_up_again() -> None:
    """It came into force after this node had stopped wanting the duty."""
    node = Node()
    node.settle()
    node.revision = 40
    node.m.board.watched([holder_item(DutyName.RENTAL, ME, 40, "me")], Revision(40))
    released = [a for a in node.settle() if isinstance(a, Release)]
    assert [(a.duty, a.txn.guards) for a in released] == [
        (DutyName.RENTAL, {wire.holder_key(DutyName.RENTAL): 40})
    ]


def test_a_holder_whose_lease_has_run_out_begins_nothing_until_it_is_confirmed() -> None:
    """A renewal that was delayed may still come in time: the key tells."""
    node = leading()
    node.wait(LEASE_S)
    action = node.act()
    assert isinstance(action, RenewLease)
    assert node.state(DutyName.RENTAL) is DutyState.LOST
    assert node.m.token(DutyName.RENTAL, node.situation.now) is None
    node.m.renewed(True)
    assert node.state(DutyName.RENTAL) is DutyState.HOLDER
    node.wait(LEASE_S)
    assert isinstance(node.act(), RenewLease)
    node.m.renewed(False)
    assert isinstance(node.act(), ReadBoard), "its keys went with the lease"


def test_a_refused_write_is_looked_into() -> None:
    node = leading()
    node.m.disproved()
    assert isinstance(node.act(), ReadBoard)
    node.know(holder_item(DutyName.RENTAL, OTHER, 50))
    node.change(epoch=Epoch(0), leader=OTHER)
    assert node.state(DutyName.RENTAL) is DutyState.OBSERVER
    assert node.m.held_token(DutyName.RENTAL) is None


@pytest.mark.parametrize("receiver", [ME, THIRD])
def test_a_hand_over_is_kept_for_its_receiver_for_a_while(receiver: NodeId) -> None:
    node = Node()
    assert isinstance(node.act(), ReadBoard)
    node.know(hand_over_item(DutyName.CATALOG, receiver, 5))
    node.settle()
    if receiver == THIRD:
        assert node.state(DutyName.CATALOG) is DutyState.OBSERVER
        node.wait(10.1)
        node.settle()
        node.wait(LEASE_S)  # longer than any candidate's turn
    done = [a for a in node.settle() if isinstance(a, Acquire)]
    held = node.m.board.entry(DutyName.CATALOG)
    assert held.holder is not None and held.holder.node == ME, "its receiver may be dead"
    assert held.hand_over is None, "done with the acquisition"
    assert all(a.txn.guards[wire.hand_over_key(DutyName.CATALOG)] == 5 for a in done)


def test_a_slow_node_gives_up_what_others_can_hold() -> None:
    node = Node(leader=ME, epoch=Epoch(9), candidates=(ME,))
    node.settle()
    assert node.state(DutyName.CATALOG) is DutyState.HOLDER
    node.change(slow=True)
    released = [a.duty for a in node.settle() if isinstance(a, Release)]
    assert released == [DutyName.CATALOG]
    assert node.m.obstacle(DutyName.CATALOG) is Obstacle.SLOW
    assert node.state(DutyName.RENTAL) is DutyState.HOLDER, "the leader's stay with it"


def test_candidates_take_turns_by_load_and_name() -> None:
    board = DutyBoard()
    nodes = (OTHER, ME, THIRD)
    assert [rank(n, nodes, ME, board.snapshot) for n in nodes] == [0, 2, 1], "the leader last"
    board.read([holder_item(DutyName.CATALOG, OTHER, 3)], Revision(3))
    assert [rank(n, nodes, ME, board.snapshot) for n in nodes] == [1, 2, 0]
    assert not is_overloaded(OTHER, nodes, ME, board.snapshot), "it would only change sides"
    assert is_overloaded(OTHER, nodes, OTHER, board.snapshot)


# -- intents


def rental(name: str = "r-1") -> RentalIntent:
    return RentalIntent(name, WallTime(1e6), "small", "a", False, 3)


def condemned(name: str) -> ReturnIntent:
    return ReturnIntent(MachineId(name), WallTime(1e6))


def loaded(duty: DutyName = DutyName.RENTAL, most_bytes: int = 4000) -> IntentLog:
    log = IntentLog(duty, most_bytes)
    log.load(None)
    return log


def write(log: IntentLog, now: float = 1.0) -> Any:
    return log.next_write(Token(5), Epoch(9), Steady(now))


def test_an_intent_may_be_sent_once_it_is_durable() -> None:
    log = loaded()
    log.create(rental())
    w = write(log)
    assert w.txn.guards == {wire.holder_key(DutyName.RENTAL): 5, "lead": 9, "intent/rental": 0}
    assert not log.is_recorded("r-1") and log.stage("r-1") is IntentStage.CREATED
    assert write(log) is None, "one write at a time"
    log.written(w, WriteOutcome.DONE, Revision(30), Steady(1.1))
    assert log.is_recorded("r-1") and log.stage("r-1") is IntentStage.RECORDED
    log.sent("r-1")
    assert log.stage("r-1") is IntentStage.SENT
    log.finished("r-1", Steady(2.0))
    assert write(log, 2.0) is None and log.stage("r-1") is IntentStage.FINISHED
    compaction = write(log, 2.0 + COMPACT_S)
    assert compaction.txn.writes[0].value == {"i": []}
    assert compaction.txn.guards["intent/rental"] == 30


@pytest.mark.parametrize("applied", [True, False])
@pytest.mark.parametrize("outcome", [WriteOutcome.UNKNOWN, WriteOutcome.CONFLICT])
def test_a_write_without_an_outcome_is_read_again(outcome: WriteOutcome, applied: bool) -> None:
    log = loaded()
    log.create(rental())
    w = write(log)
    log.written(w, outcome, ABSENT, Steady(1.1))
    assert log.reread_wanted and not log.is_recorded("r-1") and write(log, 9.0) is None
    value = w.txn.writes[0].value
    log.reread(Item("intent/rental", value, Revision(30)) if applied else None)
    assert log.is_recorded("r-1") is applied
    assert (write(log, 9.0) is None) is applied, "written again only if it was not"


def test_intents_that_nobody_waits_for_are_gathered() -> None:
    log = loaded(DutyName.RETURN)
    log.create(condemned("n-1"), urgent=False)
    log.written(write(log, 1.0), WriteOutcome.DONE, Revision(30), Steady(1.0))
    log.create(condemned("n-2"), urgent=False)
    assert write(log, 1.0 + GATHER_S / 2) is None
    log.create(condemned("n-3"))
    assert set(write(log, 1.0 + GATHER_S / 2).content) == {"n-1", "n-2", "n-3"}


@pytest.mark.parametrize("applied", [True, False])
def test_what_is_given_up_while_it_is_written_stays_only_if_it_was(applied: bool) -> None:
    log = loaded()
    log.create(rental())
    w = write(log)
    log.forget("r-1")
    log.written(w, WriteOutcome.UNKNOWN, ABSENT, Steady(1.1))
    value = w.txn.writes[0].value
    log.reread(Item("intent/rental", value, Revision(30)) if applied else None)
    assert log.is_recorded("r-1") is applied
    assert write(log, 9.0) is None, "nothing is left to be written"


def test_a_refused_write_is_tried_again() -> None:
    log = loaded()
    log.create(rental())
    w = write(log)
    log.written(w, WriteOutcome.REFUSED, ABSENT, Steady(1.0))
    assert not log.reread_wanted and write(log, 1.1) is None
    assert write(log, 2.0).txn.writes == w.txn.writes


def test_the_record_keeps_to_the_limit_on_a_value() -> None:
    log = loaded(DutyName.RETURN, 600)
    names = [condemned(f"n-{i:06d}") for i in range(100)]
    room = log.room_for(list(names))
    assert 0 < room < 100
    for intent in names[:room]:
        log.create(intent)
    assert log.room_for([condemned("n-000100")]) == 0
    assert log.room_for(list(names[:room])) == room, "what is in it already needs no room"
    w = write(log)
    assert len(orjson.dumps(w.txn.writes[0].value)) <= 600
    log.written(w, WriteOutcome.DONE, Revision(30), Steady(1.1))
    log.finished("n-000000", Steady(1.2))
    assert log.room_for([condemned("n-000100")]) == 1


def test_an_intent_that_is_wanted_anew_while_it_is_dropped_is_recorded_again() -> None:
    log = loaded()
    log.create(rental())
    log.written(write(log), WriteOutcome.DONE, Revision(30), Steady(1.0))
    log.finished("r-1", Steady(2.0))
    dropping = write(log, 2.0 + COMPACT_S)
    log.create(rental())
    log.written(dropping, WriteOutcome.DONE, Revision(31), Steady(6.0))
    assert not log.is_recorded("r-1")
    log.written(write(log, 7.0), WriteOutcome.DONE, Revision(32), Steady(7.0))
    assert log.is_recorded("r-1")


@pytest.mark.parametrize("value", [None, [], {"i": [{}]}, {"i": 3}, {"i": [{"n": "", "t": 1}]}])
def test_an_unreadable_record_is_replaced(value: Any) -> None:
    log = IntentLog(DutyName.RETURN, 4000)
    assert log.load(Item("intent/return", value, Revision(8))) == []
    log.create(condemned("n-1"))
    assert write(log).txn.guards["intent/return"] == 8


@pytest.mark.parametrize("intent", [rental(), condemned("n-000017")])
def test_intents_are_read_as_they_were_written(intent: wire.Intent) -> None:
    duty = DutyName.RENTAL if isinstance(intent, RentalIntent) else DutyName.RETURN
    assert wire.parse_intents(duty, wire.intents_value([intent])) == [intent]


# -- gate

RECORDED = Route(Path.RECORDED, Token(5))
HELD = Route(Path.HELD)
BOTH = (DutyName.RENTAL, DutyName.RETURN)


def gate_with(*open_machines: str) -> CloudGate:
    gate = CloudGate(Epoch(9), 4000)
    for duty in BOTH:
        names = open_machines if duty is DutyName.RETURN else ()
        value = wire.intents_value([condemned(name) for name in names])
        gate.load(duty, Item(wire.intents_key(duty), value, Revision(8)))
    return gate


def rent_call(name: str = "r-1") -> Rent:
    return Rent(RentalRequest(name, Offer("small", "a", False), 2))


def delete_call(*names: str) -> Delete:
    return Delete(tuple(MachineId(name) for name in names))


def test_a_call_waits_for_its_intents() -> None:
    gate = gate_with()
    call = rent_call()
    gate.admit(call, WallTime(1e6))
    routes = dict.fromkeys(BOTH, RECORDED)
    out = gate.process(routes, True, Steady(1.0))
    assert out.send == [] and len(out.write) == 1 and gate.busy(DutyName.RENTAL)
    duty, w = out.write[0]
    gate.written(duty, w, WriteOutcome.DONE, Revision(9), Steady(1.1))
    assert gate.process(routes, True, Steady(1.2)).send == [call]
    assert gate.busy(DutyName.RENTAL), "until it is answered"
    gate.answered(call, True, Steady(1.3))
    assert not gate.busy(DutyName.RENTAL)


def test_what_earlier_leaders_recorded_is_sent_at_once() -> None:
    gate = gate_with("n-1", "n-2")
    call = gate.admit(delete_call("n-1", "n-2"), WallTime(1e6))
    out = gate.process(dict.fromkeys(BOTH, HELD), True, Steady(1.0))
    assert out.send == [call] and out.give_back == [] and out.write == []


def test_what_can_not_be_recorded_is_given_back_at_once() -> None:
    gate = gate_with()
    calls = [rent_call(), delete_call("n-3")]
    for call in calls:
        gate.admit(call, WallTime(1e6))
    out = gate.process(dict.fromkeys(BOTH, HELD), True, Steady(1.0))
    assert out.give_back == calls and out.write == []
    assert not gate.busy(DutyName.RENTAL) and not gate.busy(DutyName.RETURN)


def test_a_deletion_is_cut_to_what_the_record_takes() -> None:
    gate = CloudGate(Epoch(9), 200)
    gate.load(DutyName.RETURN, None)
    call = gate.admit(delete_call(*(f"n-{i:06d}" for i in range(100))), WallTime(1e6))
    assert isinstance(call, Delete) and 1 <= len(call.machines) < 100
    assert not gate.has_room(DutyName.RETURN)


def test_an_unanswered_call_stays_open_and_goes_out_again_under_its_name() -> None:
    gate = gate_with("n-1")
    routes = dict.fromkeys(BOTH, RECORDED)
    for _ in range(2):
        gate.admit(delete_call("n-1"), WallTime(1e6))
        out = gate.process(routes, True, Steady(1.0))
        assert out.send == [delete_call("n-1")] and out.write == []
        gate.answered(delete_call("n-1"), False, Steady(1.5))
    assert list(gate.logs[DutyName.RETURN].open) == ["n-1"]


def test_a_call_past_the_gate_closes_what_was_recorded_of_it() -> None:
    gate = gate_with("n-1")
    gate.answered_directly(delete_call("n-1"), Steady(1.0))
    out = gate.process(dict.fromkeys(BOTH, RECORDED), True, Steady(1.0 + COMPACT_S))
    assert [w.txn.writes[0].value for _, w in out.write] == [{"i": []}]


# -- what operators are told


def around(**changes: Any) -> Surroundings:
    base = Surroundings(WallTime(100.0), frozenset(DutyName), {}, OTHER, None, False)
    return replace(base, **changes)


@pytest.mark.parametrize(
    ("duty", "items", "changes", "why"),
    [
        (DutyName.RENTAL, (pause_item(DutyName.RENTAL, 3),), {}, "paused: audit"),
        (DutyName.RENTAL, (), {"on": frozenset()}, "this node does not take part"),
        (DutyName.RENTAL, (), {"missing": {DutyName.RENTAL: [THIRD]}}, "(drover-2)"),
        (DutyName.CATALOG, (hand_over_item(DutyName.CATALOG, ME, 3),), {}, "over to drover-1"),
        (DutyName.RENTAL, (), {"leader": None}, "no leader is known"),
        (DutyName.CATALOG, (), {}, "has not taken it yet"),
    ],
)
def test_why_nobody_holds_a_duty(
    duty: DutyName, items: tuple[Item, ...], changes: dict[str, Any], why: str
) -> None:
    board = DutyBoard()
    board.read(items, Revision(9))
    told = why_unheld(duty, board.entry(duty), around(**changes))
    assert told is not None and why in told


def test_a_report_names_holder_token_and_open_intents() -> None:
    board = DutyBoard()
    board.read([holder_item(DutyName.RETURN, ME, 6)], Revision(9))
    intents: list[wire.Intent] = [replace(condemned("n-1"), at=WallTime(40.0)), condemned("n-2")]
    report = duty_report(DutyName.RETURN, board.entry(DutyName.RETURN), intents, around())
    assert report["holder"] == ME and report["token"] == 6
    assert (report["intents"], report["oldest_s"]) == (2, 60.0)


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"to":7}', b'{"to":""}', b"x" * 70000])
def test_malformed_hand_overs(body: bytes) -> None:
    with pytest.raises(Malformed):
        wire.parse_hand_over_request(body)


@pytest.mark.parametrize("body", [b"", b'{"reason":7}', b'{"reason":"' + b"x" * 300 + b'"}'])
def test_malformed_pauses(body: bytes) -> None:
    with pytest.raises(Malformed):
        wire.parse_pause_request(body)
