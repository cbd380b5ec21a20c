"""Elections of several nodes on a simulated store, with late requests and quick restarts."""

import random
from typing import Any

import pytest

from eldercart.election.actions import (
    Campaign,
    GrantLease,
    KeepLeaseAlive,
    ReadLeaderKey,
    RevokeLease,
)
from eldercart.election.state_machine import Election, Role
from eldercart.units import IncarnationId, LeaseId, MonotonicTime, NodeId, Revision
from eldercart.wire.leader_key import LEADER_KEY
from eldercart.wire.state import parse_item
from simulators import StoreSim, orjson

LEADER_LEASE_S = 3.0


class ElectionWorld:
    """Several nodes, their requests in flight, and leases that expire without a keep-alive."""

    def __init__(self, seed: int, nodes: int) -> None:
        self.rng = random.Random(seed)
        self.store = StoreSim()
        self.lease_expires_at: dict[int, float] = {}
        self.now = 100.0
        self.start_count = 0
        self.scheduled: list[tuple[float, int, Any]] = []
        self.event_number = 0
        self.nodes = [self.start(i) for i in range(nodes)]

    def start(self, i: int) -> Election:
        self.start_count += 1
        return Election(
            NodeId(f"n{i}"), LEADER_LEASE_S, 0.02, IncarnationId(f"start{self.start_count}")
        )

    def restart(self, i: int) -> None:
        """Replace the node's process at once; requests of the old process remain in flight."""
        self.nodes[i] = self.start(i)

    def schedule(self, seconds: float, callback: Any) -> None:
        self.event_number += 1
        self.scheduled.append((self.now + seconds, self.event_number, callback))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.now += 0.05
            for lease in [
                lease_id
                for lease_id, expires_at in self.lease_expires_at.items()
                if expires_at < self.now
            ]:
                del self.lease_expires_at[lease]
                self.store.end_lease(lease)
            due = sorted(event for event in self.scheduled if event[0] <= self.now)
            self.scheduled = [event for event in self.scheduled if event[0] > self.now]
            for _, _, callback in due:
                callback()
            for election in self.nodes:
                action = election.next_action(MonotonicTime(self.now))
                if action is not None:
                    self.send(election, action)
            leaders = [
                election
                for election in self.nodes
                if election.is_within_lease(MonotonicTime(self.now))
            ]
            assert len(leaders) <= 1, "two leaders within their leases"

    def send(self, election: Election, action: Any) -> None:
        is_response_lost = self.rng.random() < 0.15
        request_delay_s = self.rng.choice([0.01, 0.05, 0.3, 1.5 if is_response_lost else 0.1])
        is_finished = [False]

        def arrive() -> None:
            result = self.carry_out(action)
            if not is_response_lost:
                self.schedule(self.rng.uniform(0.005, 0.2), lambda: respond(result))

        def respond(result: Any) -> None:
            if not is_finished[0]:
                is_finished[0] = True
                self.deliver_result(election, action, result)

        def time_out() -> None:
            if not is_finished[0]:
                is_finished[0] = True
                election.on_action_failed(action, MonotonicTime(self.now))

        self.schedule(request_delay_s, arrive)
        self.schedule(1.0, time_out)

    def carry_out(self, action: Any) -> Any:
        match action:
            case ReadLeaderKey():
                return self.store.item(LEADER_KEY)
            case GrantLease(ttl_s):
                self.store.next_lease += 1
                self.store.leases[self.store.next_lease] = ttl_s
                self.lease_expires_at[self.store.next_lease] = self.now + ttl_s
                return self.store.next_lease
            case KeepLeaseAlive(lease):
                if lease in self.lease_expires_at:
                    self.lease_expires_at[lease] = self.now + LEADER_LEASE_S
                return lease in self.lease_expires_at
            case RevokeLease(lease):
                self.lease_expires_at.pop(lease, None)
                self.store.end_lease(lease)
                return True
            case Campaign(txn):
                return self.store.txn(txn.body())
        raise AssertionError(action)

    def deliver_result(self, election: Election, action: Any, result: Any) -> None:
        now = MonotonicTime(self.now)
        match action:
            case ReadLeaderKey():
                election.on_leader_key_read(
                    None if result is None else parse_item(orjson.dumps(result)), now
                )
            case GrantLease():
                election.on_lease_granted(LeaseId(result), now)
            case KeepLeaseAlive():
                election.on_keep_alive(result, now)
            case RevokeLease():
                election.on_lease_revoked(now)
            case Campaign():
                status, response = result
                if status == 200:
                    election.on_campaign_result(Revision(response["ledgerRev"]), now)
                else:
                    election.on_campaign_result(None, now, lease_lost=status == 400)


@pytest.mark.parametrize("seed", range(8))
def test_restarting_nodes_converge_to_one_leader(seed: int) -> None:
    world = ElectionWorld(seed, 2 + seed % 2 * 3)
    for _ in range(12):
        world.run(world.rng.uniform(0.1, 1.5))
        world.restart(world.rng.randrange(len(world.nodes)))
    world.run(4 * LEADER_LEASE_S)
    leaders = [election for election in world.nodes if election.role is Role.LEADER]
    assert len(leaders) == 1
    item = world.store.item(LEADER_KEY)
    assert item is not None and item["stamp"] == leaders[0].token
    assert item["v"]["life"] == leaders[0].incarnation


def test_leader_key_of_an_earlier_incarnation_is_revoked() -> None:
    """The earlier process died before it got the response to its campaign.

    The leader key names this node, but another incarnation of it: its lease is revoked.
    """
    election = Election(NodeId("n0"), LEADER_LEASE_S, 0.02, IncarnationId("new"))
    now = MonotonicTime(0.0)
    election.next_action(now)
    value = {"path": "lead", "v": {"node": "n0", "life": "old"}, "stamp": 9, "tether": 4}
    election.on_leader_key_read(parse_item(orjson.dumps(value)), now)
    assert election.role is Role.FOLLOWER and election.next_action(now) == RevokeLease(LeaseId(4))


@pytest.mark.parametrize(("incarnation", "role"), [("new", Role.LEADER), ("old", Role.FOLLOWER)])
def test_key_on_own_lease_makes_a_leader_only_of_the_same_incarnation(
    incarnation: str, role: Role
) -> None:
    """The response to the campaign is lost; then a read finds the key on this node's lease."""
    election = Election(NodeId("n0"), LEADER_LEASE_S, 0.02, IncarnationId("new"))
    now = MonotonicTime(0.0)
    election.next_action(now)
    election.on_leader_key_read(None, now)
    election.next_action(now)
    election.on_lease_granted(LeaseId(4), now)
    campaign = election.next_action(now)
    assert isinstance(campaign, Campaign)
    election.on_action_failed(campaign, now)
    later = MonotonicTime(0.5)
    election.next_action(later)
    value = {"path": "lead", "v": {"node": "n0", "life": incarnation}, "stamp": 9, "tether": 4}
    election.on_leader_key_read(parse_item(orjson.dumps(value)), later)
    assert election.role is role
