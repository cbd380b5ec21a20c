"""Several elections against the simulated store: late requests, nodes that are back at once."""

import random
from typing import Any

import pytest

from eldercart.election.state_machine import (
    LEAD_KEY,
    Claim,
    Election,
    OpenLease,
    ReadLead,
    RenewLease,
    RevokeLease,
    Role,
)
from eldercart.units import IncarnationId, LeaseId, NodeId, Revision, Steady
from eldercart.wire.state import parse_item
from simulators import StoreSim, orjson

LEADER_LEASE_S = 3.0


class ElectionWorld:
    """Nodes, their requests under way, and leases that end when nobody renews them."""

    def __init__(self, seed: int, nodes: int) -> None:
        self.rng = random.Random(seed)
        self.store = StoreSim()
        self.expires: dict[int, float] = {}
        self.now = 100.0
        self.starts = 0
        self.later: list[tuple[float, int, Any]] = []
        self.number = 0
        self.nodes = [self.start(i) for i in range(nodes)]

    def start(self, i: int) -> Election:
        self.starts += 1
        return Election(NodeId(f"n{i}"), LEADER_LEASE_S, 0.02, IncarnationId(f"start{self.starts}"))

    def restart(self, i: int) -> None:
        """Back within a fraction of a second; what the old process asked for is still under way."""
        self.nodes[i] = self.start(i)

    def after(self, seconds: float, what: Any) -> None:
        self.number += 1
        self.later.append((self.now + seconds, self.number, what))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += 0.05
            for lease in [h for h, t in self.expires.items() if t < self.now]:
                del self.expires[lease]
                self.store.end_lease(lease)
            due = sorted(x for x in self.later if x[0] <= self.now)
            self.later = [x for x in self.later if x[0] > self.now]
            for _, _, what in due:
                what()
            for e in self.nodes:
                action = e.next_action(Steady(self.now))
                if action is not None:
                    self.ask(e, action)
            leaders = [e for e in self.nodes if e.within_lease(Steady(self.now))]
            assert len(leaders) <= 1, "two leaders within their leases"

    def ask(self, e: Election, action: Any) -> None:
        lost = self.rng.random() < 0.15
        there = self.rng.choice([0.01, 0.05, 0.3, 1.5 if lost else 0.1])
        answered = [False]

        def arrive() -> None:
            done = self.carry_out(action)
            if not lost:
                self.after(self.rng.uniform(0.005, 0.2), lambda: answer(done))

        def answer(done: Any) -> None:
            if not answered[0]:
                answered[0] = True
                self.tell(e, action, done)

        def give_up() -> None:
            if not answered[0]:
                answered[0] = True
                e.failed(action, Steady(self.now))

        self.after(there, arrive)
        self.after(1.0, give_up)

    def carry_out(self, action: Any) -> Any:
        match action:
            case ReadLead():
                return self.store.item(LEAD_KEY)
            case OpenLease(ttl_s):
                self.store.next_lease += 1
                self.store.leases[self.store.next_lease] = ttl_s
                self.expires[self.store.next_lease] = self.now + ttl_s
                return self.store.next_lease
            case RenewLease(lease):
                if lease in self.expires:
                    self.expires[lease] = self.now + LEADER_LEASE_S
                return lease in self.expires
            case RevokeLease(lease):
                self.expires.pop(lease, None)
                self.store.end_lease(lease)
                return True
            case Claim(txn):
                return self.store.txn(txn.body())
        raise AssertionError(action)

    def tell(self, e: Election, action: Any, done: Any) -> None:
        now = Steady(self.now)
        match action:
            case ReadLead():
                e.read(None if done is None else parse_item(orjson.dumps(done)), now)
            case OpenLease():
                e.opened(LeaseId(done), now)
            case RenewLease():
                e.renewed(done, now)
            case RevokeLease():
                e.dropped(now)
            case Claim():
                status, answer = done
                if status == 200:
                    e.claimed(Revision(answer["ledgerRev"]), now)
                else:
                    e.claimed(None, now, lease_lost=status == 400)


@pytest.mark.parametrize("seed", range(8))
def test_nodes_that_restart_in_turn_end_with_one_leader(seed: int) -> None:
    b = ElectionWorld(seed, 2 + seed % 2 * 3)
    for _ in range(12):
        b.run(b.rng.uniform(0.1, 1.5))
        b.restart(b.rng.randrange(len(b.nodes)))
    b.run(4 * LEADER_LEASE_S)
    leaders = [e for e in b.nodes if e.role is Role.LEADER]
    assert len(leaders) == 1
    item = b.store.item(LEAD_KEY)
    assert item is not None and item["stamp"] == leaders[0].epoch
    assert item["v"]["life"] == leaders[0].incarnation


def test_claim_of_an_earlier_start_is_not_taken_for_ones_own() -> None:
    """Its response was lost with the process; the record carries its label, not its start."""
    e = Election(NodeId("n0"), LEADER_LEASE_S, 0.02, IncarnationId("new"))
    now = Steady(0.0)
    e.next_action(now)
    value = {"path": "lead", "v": {"node": "n0", "life": "old"}, "stamp": 9, "tether": 4}
    e.read(parse_item(orjson.dumps(value)), now)
    assert e.role is Role.FOLLOWER and e.next_action(now) == RevokeLease(LeaseId(4))


@pytest.mark.parametrize(("incarnation", "role"), [("new", Role.LEADER), ("old", Role.FOLLOWER)])
def test_own_lease_under_another_start_does_not_make_a_leader(incarnation: str, role: Role) -> None:
    e = Election(NodeId("n0"), LEADER_LEASE_S, 0.02, IncarnationId("new"))
    now = Steady(0.0)
    e.next_action(now)
    e.read(None, now)
    e.next_action(now)
    e.opened(LeaseId(4), now)
    claim = e.next_action(now)
    assert isinstance(claim, Claim)
    e.failed(claim, now)
    later = Steady(0.5)
    e.next_action(later)
    value = {"path": "lead", "v": {"node": "n0", "life": incarnation}, "stamp": 9, "tether": 4}
    e.read(parse_item(orjson.dumps(value)), later)
    assert e.role is role
