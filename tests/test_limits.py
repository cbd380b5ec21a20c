"""The state service's limits fall without notice: rates, sizes of values and of transactions."""

import copy
import random
from dataclasses import replace
from itertools import pairwise
from typing import Any

import orjson
import pytest

from eldercart.cluster.inventory import MachineState
from eldercart.election.actions import Campaign, GrantLease, KeepLeaseAlive, ReadLeaderKey
from eldercart.election.state_machine import Election
from eldercart.jobs.job import PlacementPhase
from eldercart.jobs.registry import JobRegistry
from eldercart.persistence import learned_state
from eldercart.persistence.placement_record_loader import load_placement_records
from eldercart.persistence.placement_records import PlacementRecords
from eldercart.scheduling.scheduler import Scheduler, TransactionOutcome
from eldercart.server.controller_node import ControllerNode
from eldercart.server.http.replies import RETRY_AFTER_S
from eldercart.server.store.client import StoreClient
from eldercart.server.store.rate_limit_backoff import (
    INITIAL_BACKOFF_S,
    MAX_BACKOFF_S,
    RateLimitBackoff,
)
from eldercart.server.store.token_bucket import TokenBucket
from eldercart.settings import InvalidSettingsError, load_tuning
from eldercart.settings.platform import NodeSettings, parse_platform
from eldercart.units import (
    FencingToken,
    IncarnationId,
    JobId,
    LeaseId,
    MachineId,
    MonotonicTime,
    NodeId,
    Revision,
    WallTime,
)
from eldercart.wire import cloud, peers, users
from eldercart.wire.state import Item, Put, Transaction
from eldercart.wire.stored_jobs import decode_job_record, encode_job_record
from eldercart.wire.stored_learned_state import LEARNED_STATE_PREFIX
from eldercart.wire.stored_placements import max_tasks_per_chunk
from simulators import CATALOG
from test_acceptance import Place
from world import PLATFORM, World, submission

NEXT = {"write_rps": 18, "value_kb": 2.0, "txn_ops": 6}


def platform(next_: Any = None, **state: Any) -> dict[str, Any]:
    out = copy.deepcopy(PLATFORM)
    out["settings"]["state"] = {"rps": 70, "write_rps": 25, "value_kb": 32, "txn_ops": 20} | state
    if next_ is not None:
        out["settings"]["state"]["next"] = next_
    return out


def settings_of(next_: Any = None, nodes: int = 1) -> NodeSettings:
    root = platform(next_)
    root["settings"]["count"] = nodes
    root["members"] = [
        {"label": f"drover-{i}", "location": "a", "endpoint": f"127.0.0.1:{4000 + i}"}
        for i in range(1, nodes)
    ]
    return parse_platform(root)


# -- settings


@pytest.mark.parametrize(
    ("next_", "rps", "write_rps", "value", "ops"),
    [
        (None, 70, 25, 32768, 20),
        ({}, 70, 25, 32768, 20),
        (NEXT, 70, 18, 2048, 6),
        ({"rps": 40}, 40, 25, 32768, 20),
        ({"value_kb": 0.5, "txn_ops": 2, "rps": None}, 70, 25, 512, 2),
        # What grows is no concern: until it has, the present limits hold.
        ({"rps": 90, "write_rps": 30, "value_kb": 64, "txn_ops": 40}, 70, 25, 32768, 20),
        (NEXT | {"unheard_of": "x"}, 70, 18, 2048, 6),
    ],
)
def test_next_limits(next_: Any, rps: float, write_rps: float, value: int, ops: int) -> None:
    s = settings_of(next_)
    assert (s.state_rps, s.state_write_rps) == (70, 25), "the rates hold until they fall"
    assert (s.state_rps_next, s.state_write_rps_next) == (rps, write_rps)
    assert (s.value_bytes, s.txn_ops) == (value, ops)


@pytest.mark.parametrize(
    ("next_", "field"),
    [
        ([], "settings.state.next"),
        ("none", "settings.state.next"),
        (7, "settings.state.next"),
        (False, "settings.state.next"),
        ({"rps": "40"}, "settings.state.next.rps"),
        ({"write_rps": 0}, "settings.state.next.write_rps"),
        ({"write_rps": True}, "settings.state.next.write_rps"),
        ({"value_kb": -2}, "settings.state.next.value_kb"),
        ({"value_kb": float("nan")}, "settings.state.next.value_kb"),
        ({"txn_ops": 1}, "settings.state.next.txn_ops"),
        ({"txn_ops": [6]}, "settings.state.next.txn_ops"),
    ],
)
def test_malformed_next_limits_are_named(next_: Any, field: str) -> None:
    with pytest.raises(InvalidSettingsError) as err:
        settings_of(next_)
    assert f"settings: {field}: must be" in str(err.value)


def test_limits_of_no_next_are_none() -> None:
    root = platform()
    root["settings"]["state"]["next"] = None
    assert parse_platform(root) == settings_of()


# -- rates


IN, OVER, TOLD = "refused within its share", "refused after overdrawing it", "told by a peer"


@pytest.mark.parametrize(
    ("foretold", "events", "lowered"),
    [
        (True, [], {0: False}),
        (False, [(0, IN, 0)], {0: False, 1: False}),  # nothing is known to which they might fall
        (False, [(0, TOLD, 60)], {0: False}),
        (True, [(0, OVER, 0)], {0: False, 5: False}),  # its own doing
        (
            True,
            [(0, IN, 0)],
            {0: True, INITIAL_BACKOFF_S - 1: True, INITIAL_BACKOFF_S + 1: False},
        ),  # a stray one
        (
            True,
            [(0, IN, 0), (10, OVER, 0)],
            {INITIAL_BACKOFF_S - 1: True, INITIAL_BACKOFF_S + 1: False},
        ),
        # Meanwhile a further one shows that it was none.
        (
            True,
            [(0, IN, 0), (10, IN, 0)],
            {INITIAL_BACKOFF_S + 9: True, INITIAL_BACKOFF_S + 11: False},
        ),
        # Requests under way together are refused together, and count once.
        (True, [(0, IN, 0)] * 30, {INITIAL_BACKOFF_S - 1: True, INITIAL_BACKOFF_S + 1: False}),
        # Tried again, and refused again: twice as long, and once more.
        (True, [(0, IN, 0), (21, IN, 0)], {20.5: False, 22: True, 60: True, 62: False}),
        (
            True,
            [(0, IN, 0), (21, IN, 0), (62, IN, 0)],
            {61.5: False, 63: True, 141: True, 143: False},
        ),
        # But never longer than this.
        (
            True,
            [(t, IN, 0) for t in (0, 21, 62, 143, 304, 625, 1266)],
            {1264: True, 1265.5: False, 1265 + MAX_BACKOFF_S: True, 1267 + MAX_BACKOFF_S: False},
        ),
        # A long time without any, and the next is a stray one again.
        (True, [(0, IN, 0), (21, IN, 0), (200, IN, 0)], {199: False, 219: True, 221: False}),
        (True, [(0, TOLD, 30)], {0: True, 29: True, 31: False}),
        (True, [(0, TOLD, 0)], {0: False}),
        # What a peer has learned about waiting holds here, too.
        (True, [(0, TOLD, 80), (81, IN, 0)], {80.5: False, 82: True, 240: True, 242: False}),
        (True, [(0, TOLD, 1e9)], {MAX_BACKOFF_S - 1: True, MAX_BACKOFF_S + 1: False}),
    ],
)
def test_reduced_rates(foretold: bool, events: list[Any], lowered: dict[float, bool]) -> None:
    reduced_rates = RateLimitBackoff(foretold)
    todo = sorted(
        [(float(t), 0, kind, arg) for t, kind, arg in events]
        + [(float(t), 1, "look", want) for t, want in lowered.items()]
    )
    for t, _, kind, arg in todo:
        now = MonotonicTime(t)
        if kind == "look":
            assert reduced_rates.is_active(now) is arg, t
        elif kind == TOLD:
            reduced_rates.record_peer_backoff(arg, now)
        else:
            reduced_rates.record_rate_limited(now, kind == IN)


def test_word_of_the_fall_does_not_go_round() -> None:
    """Each node passes on what it met itself: two that told each other what they were told would
    keep the lower rates for ever."""
    a, b = RateLimitBackoff(True), RateLimitBackoff(True)
    a.record_rate_limited(MonotonicTime(0), True)
    for t in range(1, 60):
        b.record_peer_backoff(a.remaining_s(MonotonicTime(t)), MonotonicTime(t + 0.4))
        a.record_peer_backoff(b.remaining_s(MonotonicTime(t)), MonotonicTime(t + 0.4))
    assert (
        b.remaining_s(MonotonicTime(1)) == 0 and b.reduction_count == 0 and a.reduction_count == 1
    )
    assert not a.is_active(MonotonicTime(INITIAL_BACKOFF_S + 2)) and not b.is_active(
        MonotonicTime(INITIAL_BACKOFF_S + 2)
    )


class Http:
    """Answers what it is told to."""

    def __init__(self) -> None:
        self.status: int | None = 200

    def request(self, method: bytes, path: str, body: Any, timeout: float, answer: Any) -> None:
        answer(self.status, b"{}")


class Clock:
    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> MonotonicTime:
        return MonotonicTime(self.now)


def stores(nodes: int, next_: Any) -> tuple[list[StoreClient], Clock, Http]:
    """The first leads."""
    clock, http = Clock(), Http()
    out = [StoreClient(settings_of(next_, nodes), clock) for _ in range(nodes)]
    for store in out:
        store._http = http  # type: ignore[assignment]
    out[0].set_leader(True)
    clock.now += 60
    return out, clock, http


def refusal(store: StoreClient, http: Http) -> None:
    http.status = 429
    store.get("x", lambda ok, item: None)
    http.status = 200


@pytest.mark.parametrize("nodes", [1, 2, 3, 5, 9])
@pytest.mark.parametrize("next_", [NEXT, {"rps": 30}, {"rps": 9, "write_rps": 6}])
def test_shares_of_all_nodes_stay_below_the_lower_rates(nodes: int, next_: dict[str, Any]) -> None:
    """A refusal at any node, told to the others, lowers all; a change of leader keeps that."""
    for at in range(nodes):
        all_, clock, http = stores(nodes, next_)
        s = settings_of(next_, nodes)
        before = sum(x.writes.rate for x in all_)
        assert before <= s.state_write_rps
        refusal(all_[at], http)
        for store in all_:
            store.rate_limit_backoff.record_peer_backoff(
                all_[at].rate_limit_backoff.remaining_s(clock()), clock()
            )
            store.update_rates(clock())
        for leader in (0, nodes - 1):
            for i, store in enumerate(all_):
                store.set_leader(i == leader)
            assert sum(x.requests.rate for x in all_) <= s.state_rps_next
            assert sum(x.writes.rate for x in all_) <= s.state_write_rps_next
        clock.now += INITIAL_BACKOFF_S + 1
        for store in all_:
            store.update_rates(clock())
        assert sum(x.writes.rate for x in all_) == pytest.approx(before), "a stray one"


def test_refusal_of_what_was_overdrawn_lowers_nothing() -> None:
    (store,), clock, http = stores(1, NEXT)
    rate = store.writes.rate
    store.writes.force_take(clock(), 1000)
    refusal(store, http)
    assert store.writes.rate == rate and store.writes.available(clock()) <= 0
    (store,), clock, http = stores(1, None)
    refusal(store, http)
    assert store.writes.rate == rate, "no lower rates are known"


def test_refused_watch_tells_of_the_fall_too() -> None:
    (store,), clock, http = stores(1, NEXT)
    http.status = 429
    store.watch("lead", Revision(1), 10.0, lambda status, revision, events: None)
    assert store.rate_limit_backoff.is_active(clock()) and store.writes.rate < 18


class LimitedHttp:
    """Refuses changes beyond a rate that falls at a given time; bursts of one second's worth."""

    def __init__(self, clock: Clock, rate: float, later: float, at: float) -> None:
        self.clock, self.rate, self.later, self.at = clock, rate, later, at
        self.tokens, self.filled = rate, clock.now
        self.log: list[tuple[float, int, int]] = []  # time, status, changes

    def request(self, method: bytes, path: str, body: Any, timeout: float, answer: Any) -> None:
        now = self.clock.now
        rate = self.later if now >= self.at else self.rate
        self.tokens = min(rate, self.tokens + (now - self.filled) * rate)
        self.filled = now
        changes = len(orjson.loads(body)["writes"])
        status = 200 if self.tokens >= changes else 429
        self.tokens -= changes if status == 200 else 0
        self.log.append((now, status, changes))
        answer(status, b'{"ledgerRev":1}')


@pytest.mark.parametrize("nodes", [1, 5])
@pytest.mark.parametrize("falls", [True, False])
def test_all_nodes_follow_the_fall_without_a_spell_of_refusals(nodes: int, falls: bool) -> None:
    """Every node writes all that it may, the worst there is: a refusal or a few at the fall, and
    at each try of the old rates, which become rare; and in no five seconds much less is done than
    the lower rates allow. Without a fall the old rates hold nearly all of the time."""
    all_, clock, _ = stores(nodes, NEXT)
    began = clock.now
    service = LimitedHttp(clock, 25, 18, began + 30 if falls else 1e12)
    for store in all_:
        store._http = service  # type: ignore[assignment]
        store.writes.empty(clock())  # no burst of all at the start
    rng = random.Random(nodes)
    low = 0.0
    while clock.now < began + 600:
        clock.now += 0.05
        for i, store in enumerate(all_):
            store.update_rates(clock())
            most = min(store.writes.available(clock()), 6 if i == 0 else 1)
            if most > 0 and rng.random() < 0.8 and store.requests.try_take(clock()):
                store.writes.force_take(clock(), most)
                txn = Transaction({}, [Put("k", 1)] * most)
                store.commit(txn, lambda status, revision, failed: None)
            low += 0.05 / nodes if store.rate_limit_backoff.is_active(clock()) else 0
        if rng.random() < 0.1:
            for store in all_:
                for peer in all_:
                    store.rate_limit_backoff.record_peer_backoff(
                        peer.rate_limit_backoff.remaining_s(clock()), clock()
                    )
    refused = [t - began for t, status, _ in service.log if status == 429]
    if not falls:
        assert len(refused) < 5 and low < 100, (refused, low)
        return
    assert 0 < len(refused) < 25 and low > 480, (refused, low)
    # In the last minutes the tries have become rare.
    assert len([t for t in refused if t > 400]) < 6, refused
    for start in range(595):
        window = [
            n for t, status, n in service.log if status == 200 and start <= t - began < start + 5
        ]
        assert sum(window) > 5 * 18 * 0.92 * 0.6, (start, sum(window))


class Requests(LimitedHttp):
    """The same, with a limit on requests too, which falls at the same time."""

    def __init__(self, clock: Clock, at: float, later: float = 70.0) -> None:
        super().__init__(clock, 25, 18, at)
        self.all_later = later
        self.all, self.counted = 70.0, clock.now

    def request(self, method: bytes, path: str, body: Any, timeout: float, answer: Any) -> None:
        now = self.clock.now
        rate = self.all_later if now >= self.at else 70.0
        self.all = min(rate, self.all + (now - self.counted) * rate)
        self.counted = now
        if self.all < 1:
            self.log.append((now, 429, 0))
            answer(429, b"{}")
            return
        self.all -= 1
        if method == b"POST":
            super().request(method, path, body, timeout, answer)
        else:
            answer(404, b"{}")


def burst(
    nodes: list[StoreClient],
    clock: Clock,
    seconds: float,
    rng: random.Random,
    followers: list[StoreClient],
) -> list[int]:
    """Every node writes as its tokens allow and looks up as much as it may; the `followers` of the
    limits tell each other what they met. Returns the changes that each got through."""
    through = [0] * len(nodes)
    until = clock.now + seconds
    while clock.now < until:
        clock.now += 0.05
        for i, store in enumerate(nodes):
            if store in followers:
                store.update_rates(clock())
            most = min(store.writes.available(clock()), 6 if store._is_leader else 1)
            if most > 0 and store.requests.try_take(clock()):
                store.writes.force_take(clock(), most)

                def done(status: int | None, *_: Any, i: int = i, most: int = most) -> None:
                    through[i] += most if status == 200 else 0

                store.commit(Transaction({}, [Put("k", 1)] * most), done)
            if store.requests.available(clock(), 0.3) >= 1:
                store.get("x", lambda ok, item: None)
        if rng.random() < 0.1:
            for store in followers:
                for peer in followers:
                    store.rate_limit_backoff.record_peer_backoff(
                        peer.rate_limit_backoff.remaining_s(clock()), clock()
                    )
    return through


@pytest.mark.parametrize("nodes", [1, 3, 5])
def test_a_quiet_time_saves_up_no_long_burst(nodes: int) -> None:
    """Of a limit's burst, one second's worth, a node uses less than its share, or so much that it
    can take a few submissions."""
    all_, clock, _ = stores(nodes, NEXT)
    s = settings_of(NEXT, nodes)
    clock.now += 1000.0
    for i, store in enumerate(all_):
        for bucket, limit in ((store.requests, s.state_rps), (store.writes, s.state_write_rps)):
            share = bucket.rate / (0.92 * limit)
            assert 5 <= bucket.available(clock()) <= max(6, 0.8 * limit * share), i


@pytest.mark.parametrize("lowered", [False, True])
@pytest.mark.parametrize("wanted", [1, 5, 50])
def test_lent_tokens_are_the_leaders_own(lowered: bool, wanted: int) -> None:
    """A node that lacks tokens for submissions gets some of the leader's, never more than that one
    has to spare: all of them together stay as many as before."""
    nodes, clock, http = stores(5, NEXT)
    if lowered:
        refusal(nodes[0], http)
        clock.now += 5.0
    leader, follower = nodes[0], nodes[1]
    follower.writes.empty(clock())
    follower.requests.empty(clock())
    buckets = [(leader.requests, follower.requests), (leader.writes, follower.writes)]
    before = [a.available(clock()) + b.available(clock()) for a, b in buckets]
    assert follower.missing_tokens(clock()) == 5 and leader.missing_tokens(clock()) == 0
    number = leader.lend_tokens(wanted, clock())
    follower.receive_tokens(number, clock())
    assert 0 < number <= wanted
    after = [a.available(clock()) + b.available(clock()) for a, b in buckets]
    # What the other one has no room for is lost.
    assert after == before or (wanted == 50 and after < before)
    assert all(a.available(clock(), 0.3) >= 0 for a, _ in buckets), "its own placements go on"
    assert sum(leader.lend_tokens(wanted, clock()) for _ in range(100)) <= 50
    assert leader.lend_tokens(wanted, clock()) == 0 and leader.lend_tokens(0, clock()) == 0
    assert all(a.available(clock(), 0.3) >= 0 for a, _ in buckets)


@pytest.mark.parametrize("at_s", [0.0, 0.3, 5.0])
def test_fall_in_a_burst_while_leaders_take_over(at_s: float) -> None:
    """A leader that takes over reads without asking for tokens, and so overdraws. Neither that
    nor the fall near it makes a lasting spell of refusals, or leaves a node without its share."""
    nodes, clock, _ = stores(5, NEXT | {"rps": 40})
    service = Requests(clock, clock.now + 30 + at_s, 40.0)
    for store in nodes:
        store._http = service  # type: ignore[assignment]
    rng = random.Random(4)
    burst(nodes, clock, 30, rng, nodes)
    for turn in range(6):
        for i, store in enumerate(nodes):
            store.set_leader(i == turn % 5)
        for _ in range(40):
            clock.now += 0.01
            nodes[turn % 5].get("x", lambda ok, item: None)
        began = clock.now
        through = burst(nodes, clock, 40, rng, nodes)
        assert sum(through) > 40 * 18 * 0.92 * 0.7, (turn, through)
        assert min(through) > 40 * 18 * 0.92 * 0.075 * 0.6, (turn, through)
        late = [t for t, status, _ in service.log if status == 429 and t > began + 5]
        assert len(late) < 40, (turn, len(late))
    clock.now += 3 * MAX_BACKOFF_S
    for store in nodes:
        store.update_rates(clock())
    assert sum(store.writes.rate for store in nodes) > 18, "nothing lowers the rates for good"


@pytest.mark.parametrize("old_leads", [True, False])
@pytest.mark.parametrize("old", [1, 3])
def test_nodes_that_keep_the_higher_rates_starve_no_others(old: int, old_leads: bool) -> None:
    """Nodes of an earlier version may not know the lower rates. Until they are replaced some
    requests are refused; all nodes get changes through, and the new ones keep to their shares of
    the lower rates."""
    nodes, clock, _ = stores(5, NEXT)
    plain = stores(5, None)[0]
    for store in plain:
        store._clock = clock
    nodes = plain[:old] + nodes[old:] if old_leads else nodes[: 5 - old] + plain[5 - old :]
    new = [store for store in nodes if store not in plain]
    service = Requests(clock, clock.now)
    for i, store in enumerate(nodes):
        store._http = service  # type: ignore[assignment]
        store.set_leader(i == 0)
    rng = random.Random(old)
    burst(nodes, clock, 30, rng, new)
    for _ in range(5):
        through = burst(nodes, clock, 20, rng, new)
        assert sum(through) > 20 * 18 * 0.7, through
        assert min(through) > 20 * 18 * 0.92 * 0.075 * 0.4, through
        assert all(store.rate_limit_backoff.is_active(clock()) for store in new)
        for store in new:
            share = 0.7 if store._is_leader else 0.3 / 4
            assert store.writes.rate <= 18 * share


@pytest.mark.parametrize(("writes", "requests"), [(0, 9), (9, 0), (0, 0)])
def test_submission_without_tokens_is_refused_at_once(writes: int, requests: int) -> None:
    """With a time after which to come again, without a call to the service that has no tokens
    left for it, and taken as soon as there are some."""
    place = Place()
    place.store.writes = TokenBucket(1.0, 9.0, MonotonicTime(0))
    place.store.requests = TokenBucket(1.0, 9.0, MonotonicTime(0))
    place.store.writes.force_take(MonotonicTime(0), 9 - writes)
    place.store.requests.force_take(MonotonicTime(0), 9 - requests)
    asking = place.submit(submission("wk-000001"))
    assert (asking.status, asking.retry) == (503, RETRY_AFTER_S)
    assert place.store.writes.available(MonotonicTime(0)) == writes, "what it lacks costs nothing"
    assert place.store.requests.available(MonotonicTime(0)) == requests
    assert "job/wk-000001" not in place.store.sim.keys
    place.now = 1.1
    assert place.submit(submission("wk-000001")).status == 201


def test_submission_at_a_node_that_is_behind_is_refused_at_once() -> None:
    place = Place()
    place.node.loop_lag_s = place.node.tuning.lag_s + 0.01
    asking = place.submit(submission("wk-000001"))
    assert (asking.status, asking.retry) == (503, RETRY_AFTER_S)
    place.node.loop_lag_s = 0.0
    assert place.submit(submission("wk-000001")).status == 201


@pytest.mark.parametrize("status", [400, 413, 429, 503])
def test_acceptance_that_the_service_refuses(status: int) -> None:
    """Nothing is stored and nothing remembered of it: the next try is judged anew."""
    place = Place()
    carry_out = place.store.commit
    place.store.commit = lambda txn, done: done(status, Revision(0), ())  # type: ignore[method-assign]
    asking = place.submit(submission("wk-000001"))
    assert (asking.status, asking.retry) == (503, RETRY_AFTER_S)
    place.store.commit = carry_out  # type: ignore[method-assign]
    assert place.submit(submission("wk-000001")).status == 201


def claiming() -> tuple[Election, MonotonicTime]:
    """A node that is about to claim the leader key, on a lease of three seconds."""
    e = Election(NodeId("n0"), 3.0, 0.02, IncarnationId("x"))
    now = MonotonicTime(10.0)
    assert isinstance(e.next_action(now), ReadLeaderKey)
    e.on_leader_key_read(None, now)
    assert isinstance(e.next_action(now), GrantLease)
    e.on_lease_granted(LeaseId(1), now)
    return e, now


def test_refused_claim_waits_and_asks_first() -> None:
    """The claims of all nodes at once, repeated without a pause, would keep the rate used up."""
    e, now = claiming()
    claim = e.next_action(now)
    assert isinstance(claim, Campaign)
    e.on_action_failed(claim, now)
    assert e.next_action(now) is None and e.next_action(MonotonicTime(now + 0.1)) is None
    assert isinstance(e.next_action(MonotonicTime(now + 0.2)), ReadLeaderKey)
    e.on_leader_key_read(None, MonotonicTime(now + 0.2))
    assert isinstance(e.next_action(MonotonicTime(now + 0.2)), Campaign)


def test_claim_on_a_lease_that_has_ended_takes_a_new_one() -> None:
    """The 400 that says so would come back for each claim on that lease."""
    e, now = claiming()
    assert isinstance(e.next_action(now), Campaign)
    e.on_campaign_result(None, now, lease_lost=True)
    assert isinstance(e.next_action(now), ReadLeaderKey)
    e.on_leader_key_read(None, now)
    assert isinstance(e.next_action(now), GrantLease)


def test_refused_renewal_is_repeated_while_the_hold_lasts() -> None:
    e, now = claiming()
    assert isinstance(e.next_action(now), Campaign)
    e.on_campaign_result(Revision(7), now)
    tries = []
    while e.is_within_lease(now):
        action = e.next_action(now)
        if isinstance(action, KeepLeaseAlive):
            tries.append(now)
            e.on_action_failed(action, now)
        now = MonotonicTime(now + 0.01)
    assert 10 <= len(tries) <= 20, "not one after the other, and not too late"


# -- greetings


GREET = peers.PeerHeartbeat(
    NodeId("b"), 3, FencingToken(7), True, 5, 2, (), peers.SUPPORTED_FEATURES, 1500
)
GREETED = peers.PeerHeartbeatAck(
    3, FencingToken(7), True, True, 9, None, 1, peers.SUPPORTED_FEATURES, 1500
)


def test_greetings_with_and_without_what_is_new() -> None:
    frame = peers.parse_frame(peers.encode_peer_heartbeat(GREET))
    assert peers.parse_peer_heartbeat(frame) == GREET
    told = peers.parse_frame(peers.encode_peer_heartbeat_ack(GREETED))
    assert peers.parse_peer_heartbeat_ack(told) == GREETED
    for f in (frame, told):
        del f["takes"], f["low"]
    old, old_told = peers.parse_peer_heartbeat(frame), peers.parse_peer_heartbeat_ack(told)
    assert (
        (old.supported_features, old.backoff_remaining_ms)
        == (old_told.supported_features, old_told.backoff_remaining_ms)
        == ((), 0)
    )


@pytest.mark.parametrize(
    ("takes", "low", "want", "want_low"),
    [
        (None, None, (), 0),
        ("recut", "5", (), 0),
        ({"recut": 1}, -5, (), 0),
        (["recut", 7, None, "more"], True, ("recut", "more"), 0),
        ([], 1.5, (), 0),
    ],
)
def test_odd_fields_of_greetings(takes: Any, low: Any, want: Any, want_low: int) -> None:
    frame = peers.parse_frame(peers.encode_peer_heartbeat(GREET)) | {"takes": takes, "low": low}
    g = peers.parse_peer_heartbeat(frame)
    assert (g.supported_features, g.backoff_remaining_ms) == (want, want_low)


def test_parts_are_cut_anew_only_once_every_node_reads_them() -> None:
    """A node of the version before, or one never heard, might lead next."""
    relay_service = ControllerNode(settings_of(NEXT, 3), load_tuning()).relay_service
    now = MonotonicTime(50)

    def says(node: str, takes: tuple[str, ...]) -> bool:
        relay_service.peer_heartbeats.record_peer_status(
            NodeId(node),
            peers.PeerHeartbeat(NodeId(node), 1, FencingToken(0), True, 0, 0, (), takes),
            now,
        )
        return relay_service.peer_heartbeats.all_support(peers.RECHUNKING)

    assert not relay_service.peer_heartbeats.all_support(peers.RECHUNKING)
    assert not says("drover-1", peers.SUPPORTED_FEATURES)
    assert not says("drover-2", ())
    assert not says("drover-9", peers.SUPPORTED_FEATURES), "not a member"
    assert says("drover-2", peers.SUPPORTED_FEATURES)
    assert not says("drover-1", ()), "it came back as the version before"
    assert ControllerNode(
        settings_of(NEXT), load_tuning()
    ).relay_service.peer_heartbeats.all_support(peers.RECHUNKING), "it is alone"


def test_peer_that_met_the_fall_is_believed() -> None:
    node = ControllerNode(settings_of(NEXT, 3), load_tuning())
    rate = node.store.writes.rate
    node.relay_service.peer_heartbeats.record_peer_status(NodeId("drover-1"), GREETED, node.clock())
    assert (
        node.store.writes.rate < rate
        and node.store.rate_limit_backoff.remaining_s(node.clock()) == 0
    )


# -- parts cut anew


JOB = JobId("wk-000001")


def registry(tasks: int, size: int) -> tuple[JobRegistry, Any]:
    jobs = JobRegistry()
    spec = users.parse_submission(submission(JOB, parcels=tasks))
    return jobs, jobs.add(spec, size, MonotonicTime(0))


def part(number: int, attempt: int, done: Any, run: Any, tasks: int | None = None) -> list[Any]:
    value = {"a": attempt, "d": done, "r": [[i, a, f"n-{i}"] for i, a in run]}
    return [JOB, number, value | ({"n": tasks} if tasks else {})]


@pytest.mark.parametrize(
    ("placement_records", "run", "done", "attempts"),
    [
        # One coarse part, as the version before writes it.
        ([[part(0, 4, [[0, 1]], [(2, 3), (7, 4)])]], {2: 3, 7: 4}, {0, 1}, {0: 4, 9: 4}),
        # A finer one prevails where it covers; elsewhere the coarse one is all there is.
        (
            [[part(0, 4, [], [(1, 1), (2, 2), (7, 4)])], [part(0, 5, [[1, 1]], [(2, 5)], 3)]],
            {2: 5, 7: 4},
            {1},
            {0: 5, 3: 4, 9: 4},
        ),
        # The same, and a late copy made the coarse one the newest: equal attempts mislead nobody.
        (
            [[part(0, 4, [[1, 1]], [], 3)], [part(0, 4, [], [(1, 1), (2, 2), (7, 4)])]],
            {7: 4},
            {1},
            {0: 4, 9: 4},
        ),
        # The finest of three, and what lies between.
        (
            [
                [part(0, 3, [], [(0, 1), (5, 2), (9, 3)])],
                [part(5, 4, [], [(5, 4), (8, 3)], 5)],
                [part(7, 5, [[8, 8]], [(7, 5)], 2)],
            ],
            {0: 1, 5: 4, 7: 5},
            {8},
            {0: 3, 5: 4, 7: 5, 9: 4},
        ),
        # A coarse copy with more attempts than a finer part: none of them is used again.
        (
            [[part(0, 9, [], [(7, 9)])], [part(0, 4, [], [(1, 4)], 3)]],
            {1: 4, 7: 9},
            set(),
            {0: 9, 9: 9},
        ),
        # A finer part on two placement records: the higher attempt, of equals the newer.
        (
            [[part(0, 6, [], [(1, 6)], 3)], [part(0, 5, [], [(1, 5)], 3)]],
            {1: 6},
            set(),
            {0: 6},
        ),
        (
            [[part(0, 6, [], [(1, 6)], 3)], [part(0, 6, [[1, 1]], [], 3)]],
            {},
            {1},
            {0: 6},
        ),
        # Finer parts without a coarse one: it was never durable, so what lies between never ran.
        ([[part(4, 2, [], [(5, 2)], 3)]], {5: 2}, set(), {0: 0, 4: 2, 7: 0}),
        # In the second chunk, the first being coarse.
        (
            [
                [part(0, 4, [[0, 9]], []), part(1, 2, [], [(10, 1), (14, 2)])],
                [part(12, 3, [], [(14, 3)], 3)],
            ],
            {10: 1, 14: 3},
            set(range(10)),
            {0: 4, 10: 2, 12: 3, 15: 2},
        ),
    ],
)
def test_finest_part_counts(
    placement_records: list[Any], run: dict[int, int], done: set[int], attempts: dict[int, int]
) -> None:
    jobs, job = registry(25, 10)
    store = PlacementRecords(32768, FencingToken(50))
    items = [
        Item(f"place/1-{i}", {"p": p}, Revision(10 + i)) for i, p in enumerate(placement_records)
    ]
    random.Random(len(placement_records)).shuffle(items)
    loaded = load_placement_records(store, items, jobs)
    jobs.finish_load(job)
    assert not job.has_unreadable_record
    assert {p.index: p.attempt for p in loaded} == run and len(loaded) == len(run)
    assert {p.index: p.attempt for p in job.placements()} == run
    assert {i for i in range(25) if job.done_flags[i]} == done and job.done_count == len(done)
    for low, attempt in attempts.items():
        assert job.chunk_for(low).highest_attempt == attempt, low
    check_whole(job)
    # Whatever only a coarse part tells of stays where it is; finer parts are written again freely.
    for placement_record in store.by_key.values():
        told = {
            (job.id, c.first_index)
            for c in job.chunks.values()
            if c.record_key == placement_record.key
        }
        assert set(placement_record.parts) == told


@pytest.mark.parametrize(
    "value",
    [{"n": "3"}, {"n": 0}, {"n": -1}, {"n": 1.5}, {"n": True}, {"n": 99}, {"n": 3, "a": None}],
)
def test_unreadable_finer_part_starts_nothing(value: dict[str, Any]) -> None:
    jobs, job = registry(25, 10)
    record = {"a": 1, "d": [], "r": []} | value
    items = [Item("place/1-1", {"p": [part(0, 1, [], []), [JOB, 0, record]]}, Revision(5))]
    placement_records = PlacementRecords(32768, FencingToken(50))
    load_placement_records(placement_records, items, jobs)
    jobs.finish_load(job)
    assert job.has_unreadable_record and not job.is_runnable
    assert [JOB, 0, record] in placement_records.by_key["place/1-1"].unreadable_parts


def check_whole(job: Any) -> None:
    """Every task is done, placed or waiting, once; every chunk covers what no other does."""
    places = [p.index for p in job.placements()]
    waiting = [*job.retry_indexes, *range(job.next_unplaced_index, job.spec.task_count)]
    assert len(set(places)) == len(places) and len(set(waiting)) == len(waiting)
    assert not set(places) & set(waiting)
    over = {i for i in range(job.spec.task_count) if job.done_flags[i]}
    assert not over & set(waiting)
    assert set(places) | set(waiting) | over == set(range(job.spec.task_count))
    spans = sorted((c.first_index, c.end_index) for c in job.chunks.values())
    assert all(a < b for a, b in spans)
    assert all(a[1] <= b[0] for a, b in pairwise(spans))
    for chunk in job.chunks.values():
        assert all(chunk.first_index <= i < chunk.end_index for i in chunk.placements)
    for index in range(job.spec.task_count):
        number = index // job.tasks_per_chunk
        if index < job.next_unplaced_index or number in job.subchunk_starts:
            chunk = job.chunk_for(index)
            assert chunk.first_index <= index < chunk.end_index


def test_all_finer_chunks_wait_to_be_written() -> None:
    """Together they take the place of the coarse one: what it had not told yet must not be lost."""
    jobs, job = registry(25, 10)
    for index in jobs.take_unplaced_tasks(job, 8):
        jobs.add_placement(job, index, MachineId("n-1"), MonotonicTime(1))
    for p in job.placements():
        p.phase = PlacementPhase.RUNNING if p.index < 5 else PlacementPhase.PLANNED
    finer = jobs.subdivide_chunk(job, job.chunks[0], 3)
    assert [
        (
            c.first_index,
            c.end_index,
            c.highest_attempt,
            c.is_dirty,
            c.is_urgent,
            sorted(c.placements),
        )
        for c in finer
    ] == [
        (0, 3, 8, True, False, [0, 1, 2]),
        (3, 6, 8, True, True, [3, 4, 5]),
        (6, 9, 8, True, True, [6, 7]),
        (9, 10, 8, True, False, []),
    ]
    assert [job.chunk_for(i).first_index for i in (0, 2, 3, 8, 9)] == [0, 0, 3, 6, 9]
    check_whole(job)
    assert job.encode_part(finer[3]) == [JOB, 9, {"a": 8, "d": [], "r": [], "n": 1}]


class Cutting:
    """A job, its placement records, and what the store holds of them, by single random steps."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.tasks, self.size = self.rng.choice([(40, 50), (120, 50), (130, 40)])
        self.jobs, self.job = registry(self.tasks, self.size)
        self.placement_records = PlacementRecords(2048, FencingToken(1))
        self.stored: dict[str, Any] = {}
        # Writes under way, with the version they are guarded on.
        self.late: list[tuple[str, Any, int]] = []
        self.used: dict[int, int] = {}  # attempts that may have been launched
        self.durable: dict[int, tuple[int, str]] = {}  # placements that may have been launched
        self.token = 1

    def step(self, number: int) -> None:
        now = MonotonicTime(number)
        what = self.rng.random()
        placed = [p for p in self.job.placements() if p.phase < 5]
        if what < 0.35:
            self.place(now)
        elif what < 0.55 and placed:
            self.end(self.rng.choice(placed), now)
        elif what < 0.62 and self.job.chunks:
            self.cut(now)
        elif what < 0.95:
            self.write(number)
        elif what < 0.97 and self.late:
            self.write_late(number)
        else:
            self.take_over(now)
        check_whole(self.job)

    def place(self, now: MonotonicTime) -> None:
        for index in self.jobs.take_unplaced_tasks(self.job, self.rng.randrange(1, 6)):
            machine = MachineId(f"n-{self.rng.randrange(99):06d}")
            p = self.jobs.add_placement(self.job, index, machine, now)
            assert p.attempt > self.used.get(index, 0), "an attempt is used once"

    def end(self, p: Any, now: MonotonicTime) -> None:
        self.durable.pop(p.index, None)
        if self.rng.random() < 0.6:
            self.jobs.mark_done(p, now)
            del self.job.chunk_for(p.index).placements[p.index]
        else:
            self.jobs.remove_placement(p, now, retry=True)

    def cut(self, now: MonotonicTime) -> None:
        chunk = self.rng.choice([*self.job.chunks.values()])
        if chunk.task_count > 1:
            self.jobs.mark_dirty(self.job, chunk, now)
            self.placement_records.record_for(self.job, chunk)
            most = self.rng.randrange(1, chunk.task_count)
            self.placement_records.subdivide_chunk(
                self.jobs, self.job, chunk, most, is_exclusive=self.rng.random() < 0.3
            )

    def write(self, number: int) -> None:
        dirty = [c for c in self.job.chunks.values() if c.is_dirty]
        for chunk in self.rng.sample(dirty, min(len(dirty), 3)):
            placement_record = self.placement_records.record_for(self.job, chunk)
            if placement_record.is_closed:
                continue
            record, size = self.placement_records.encode_record(placement_record)
            if size > self.placement_records.max_bytes and len(placement_record.parts) > 1:
                self.placement_records.close(placement_record)
                continue
            value = orjson.loads(orjson.dumps(record))
            if self.rng.random() < 0.2:
                guard = self.stored.get(placement_record.key, (None, 0))[1]
                self.late.append((placement_record.key, value, guard))
                continue  # no answer: what is new stays to be written
            placement_record.version = Revision(number + 1)
            self.stored[placement_record.key] = (value, number + 1)
            for _, c in placement_record.parts.values():
                c.is_dirty = False
                self.durable |= {p.index: (p.attempt, p.machine_id) for p in c.placements.values()}
                self.used |= {p.index: p.attempt for p in c.placements.values()}

    def write_late(self, number: int) -> None:
        key, value, guard = self.late.pop(self.rng.randrange(len(self.late)))
        if self.stored.get(key, (None, 0))[1] == guard:
            self.stored[key] = (value, number + 1)

    def take_over(self, now: MonotonicTime) -> None:
        self.token += 1
        self.late.clear()  # they were guarded on the leader's key, too
        self.jobs, self.job = registry(self.tasks, self.size)
        self.placement_records = PlacementRecords(2048, FencingToken(self.token))
        items = [Item(k, v, Revision(r)) for k, (v, r) in self.stored.items()]
        load_placement_records(self.placement_records, items, self.jobs)
        self.jobs.finish_load(self.job)
        assert not self.job.has_unreadable_record
        known = {p.index: (p.attempt, p.machine_id) for p in self.job.placements()}
        for index, place in self.durable.items():
            assert known.get(index) == place, "launched, and forgotten"


@pytest.mark.parametrize("seed", range(30))
def test_cutting_loses_no_task_and_places_none_twice(seed: int) -> None:
    """Any order of placing, finishing, dropping, cutting, writing some of the placement records,
    and taking over from what was written, late copies of older placement records included."""
    cutting = Cutting(seed)
    for number in range(300):
        cutting.step(number)


# -- sizes


def test_placement_records_stay_within_the_limit_whatever_their_parts_come_to() -> None:
    """Names of machines that are longer than usual make the estimate wrong."""
    w = World(41, platform=platform(NEXT))
    w.store.value_bytes, w.store.txn_ops = 2048, 6
    assert w.scheduler is not None
    w.subchunks_supported = True
    placement_records = w.scheduler.transaction_writer.placement_records
    jobs = w.scheduler.jobs
    rng = random.Random(3)
    for n in range(40):
        spec = users.parse_submission(submission(f"wk-{n:06d}", parcels=rng.randrange(1, 90)))
        record = encode_job_record(spec, 34, 0.0)
        job = jobs.add(*decode_job_record(spec.id, record)[:2], MonotonicTime(w.now))
        for index in jobs.take_unplaced_tasks(job, 90):
            jobs.add_placement(
                job, index, MachineId(f"n-{'long' * rng.randrange(9)}{index}"), MonotonicTime(w.now)
            )
        w.scheduler.cluster_state.dirty_jobs[job.id] = job
    for _ in range(400):
        pending = w.scheduler.next_transaction(MonotonicTime(w.now), 20)
        if pending is None:
            break
        assert w.store.txn(pending.transaction.body())[0] == 200
        w.scheduler.on_transaction_result(
            pending,
            TransactionOutcome.COMMITTED,
            Revision(w.store.revision),
            (),
            MonotonicTime(w.now),
        )
    assert not w.scheduler.cluster_state.dirty_jobs and not w.store.too_large
    w.check_kept()
    assert {s.key for s in placement_records.by_key.values() if s.version} >= {
        i["path"] for i in w.store.range("place/")
    }


def test_memory_takes_turns_and_fits() -> None:
    w = World(42, platform=platform(NEXT), tuning={"memo_s": 1.0})
    c = w.scheduler
    assert c is not None
    rng = random.Random(5)
    type_ = cloud.parse_catalog(CATALOG)["small"]
    for n in range(700):
        m = c.inventory.add(
            MachineId(f"n-{n:06d}"),
            type_,
            "a",
            False,
            MachineState.UP,
            MonotonicTime(0),
            MonotonicTime(0),
        )
        m.cached_images = {f"img-{rng.randrange(40):02d}": 1.5 for _ in range(rng.randrange(1, 7))}
    m.cached_images = {f"an-image-with-a-long-name-{i}": 2.5 for i in range(300)}  # more than fit
    for n in range(200):
        c.cluster_state.predictor.restore_run_time_sums({f"a-class-of-jobs-{n}": (10.0, 12.0)})
    records = learned_state.learned_state_records(c.cluster_state)
    assert max(len(orjson.dumps(v)) for v in records.values()) <= 0.8 * 2048
    assert len(records) > 6
    seen: dict[str, Any] = {}
    for turn in range(len(records) // 6 + 1):
        txn = c.next_learned_state_transaction(MonotonicTime(w.now + 2 + 2 * turn))
        assert txn is not None and len(txn.operations) <= 6
        seen |= {put.key: put.value for put in txn.operations if isinstance(put, Put)}
    assert seen == records, "each has had its turn"
    after = World(43, platform=platform(NEXT)).scheduler
    assert after is not None
    for key, value in records.items():
        learned_state.restore_learned_state(after.cluster_state, key, value)
    for id_ in c.inventory.machines:
        after.inventory.add(
            id_, type_, "a", False, MachineState.UP, MonotonicTime(0), MonotonicTime(0)
        )
    assert (
        after.cluster_state.predictor.run_time_sums() == c.cluster_state.predictor.run_time_sums()
    )
    known = [len(m.cached_images) for m in after.inventory.machines.values()]
    assert sum(k > 0 for k in known) == 700
    for m in list(c.inventory.machines.values())[:-1]:
        assert after.inventory.machines[m.id].cached_images == m.cached_images


@pytest.mark.parametrize(
    ("value_kb", "ops", "spare"), [(32, 20, None), (32, 20, 3), (8, 20, None), (2, 6, 2), (2, 6, 9)]
)
def test_memory_stays_within_a_transaction_and_its_tokens(
    value_kb: int, ops: int, spare: int | None
) -> None:
    """As many records as changes are allowed may be more than a transaction's bytes: it would be
    refused each time, and nothing be kept. More changes than tokens would go beyond the share."""
    root = platform(None, value_kb=value_kb, txn_ops=ops)
    w = World(44, platform=root, tuning={"memo_s": 1.0})
    c = w.scheduler
    assert c is not None
    type_ = cloud.parse_catalog(CATALOG)["small"]
    for n in range(900):
        m = c.inventory.add(
            MachineId(f"n-{n:06d}"),
            type_,
            "a",
            False,
            MachineState.UP,
            MonotonicTime(0),
            MonotonicTime(0),
        )
        m.cached_images = {f"registry/{'long-' * 20}{n}-{i}": 1.5 for i in range(3)}
    records = learned_state.learned_state_records(c.cluster_state)
    assert sum(len(orjson.dumps(v)) for v in records.values()) > 64 * 1024
    seen: dict[str, Any] = {}
    for turn in range(len(records)):
        txn = c.next_learned_state_transaction(MonotonicTime(w.now + 2 + 2 * turn), spare)
        assert txn is not None and 1 <= len(txn.operations) <= min(ops, spare or ops)
        assert len(txn.body()) <= 64 * 1024
        seen |= {put.key: put.value for put in txn.operations if isinstance(put, Put)}
    assert seen == records, "each has had its turn"


@pytest.mark.parametrize(("status", "writes"), [(400, 1), (413, 1), (503, 5), (None, 5), (200, 1)])
def test_refused_catalogue_is_not_sent_for_ever(status: int | None, writes: int) -> None:
    """Too large after the fall, it would use up the changes. What was not done is repeated."""
    node = ControllerNode(settings_of(NEXT), load_tuning())
    sent: list[Any] = []

    class Refusing:
        def request(self, method: bytes, path: str, body: Any, timeout: float, answer: Any) -> None:
            sent.append(orjson.loads(body))
            answer(status, b'{"ledgerRev":1}')

    node.store._http = Refusing()  # type: ignore[assignment]
    now = node.clock()
    c = Scheduler(
        node.settings,
        node.tuning,
        FencingToken(5),
        cloud.parse_catalog(CATALOG),
        now,
        WallTime(0.0),
    )
    node.leader_service.scheduler = c
    c.cloud_requests.catalog_changed = True
    for _ in range(5):
        if c.cloud_requests.catalog_changed:
            node.leader_service.catalog_record._next_write_at = MonotonicTime(0)
            node.leader_service.catalog_record.sync(c)
    assert len(sent) == writes and node.machine_types == c.cluster_state.types


def node_with_clock(next_: Any) -> tuple[ControllerNode, Clock]:
    """A node with the leader's share of the limits, and the clock that it goes by."""
    clock = Clock()
    node = ControllerNode(settings_of(next_, 5), load_tuning(), clock=clock)
    node.store.set_leader(True)
    return node, clock


@pytest.mark.parametrize("status", [429, 503, None])
def test_catalogue_that_is_not_stored_uses_up_no_tokens(status: int | None) -> None:
    """It is looked at in each turn of the loop. Sent again in each while the service refuses, it
    would leave the leader without changes long after, and keep the service at its limit."""
    node, clock = node_with_clock(NEXT)
    sent: list[float] = []
    answers: list[int | None] = [status]

    class Service:
        def request(self, method: bytes, path: str, body: Any, timeout: float, answer: Any) -> None:
            if body is not None and b'"put":"catalog"' in body:
                sent.append(clock.now)
            answer(answers[0], b'{"ledgerRev":1}')

    node.store._http = Service()  # type: ignore[assignment]
    c = Scheduler(
        node.settings,
        node.tuning,
        FencingToken(5),
        cloud.parse_catalog(CATALOG),
        clock(),
        WallTime(0.0),
    )
    node.leader_service.scheduler = c
    c.cloud_requests.catalog_changed = True
    began = clock.now = clock.now + 60.0
    while clock.now < began + 10.0:
        clock.now += 0.02
        node.leader_service.process_events()
        assert node.store.writes.available(clock()) >= 0
        assert node.machine_types == c.cluster_state.types, "submissions here go on being judged"
    assert 5 <= len(sent) <= 11
    answers[0] = 200
    for _ in range(200):
        clock.now += 0.02
        node.leader_service.process_events()
    assert sent[-1] < began + 11.5 and not c.cloud_requests.catalog_changed, (
        "stored once, and left alone"
    )


def leading_node(
    next_: Any, types: dict[str, cloud.MachineType]
) -> tuple[ControllerNode, Clock, list[Any]]:
    """A node that leads, its clock, and the transactions that a willing service gets from it."""
    node, clock = node_with_clock(next_)
    sent: list[Any] = []

    class Service:
        def request(self, method: bytes, path: str, body: Any, timeout: float, answer: Any) -> None:
            if path == "/txn":
                sent.append(orjson.loads(body)["writes"])
            answer(200, b'{"ledgerRev":1}')

    node.store._http = Service()  # type: ignore[assignment]
    node.leader_service.scheduler = Scheduler(
        node.settings, node.tuning, FencingToken(5), types, clock(), WallTime(0.0)
    )
    clock.now += 60.0
    return node, clock, sent


def test_leader_keeps_its_memory_within_its_tokens() -> None:
    """A transaction of more changes than one second's worth is refused whenever it is sent, and
    one of more than there are tokens holds up ends and placements."""
    types = cloud.parse_catalog(CATALOG)
    node, clock, sent = leading_node({"value_kb": 2, "write_rps": 18}, types)
    c = node.leader_service.scheduler
    assert c is not None
    for n in range(900):
        m = c.inventory.add(
            MachineId(f"n-{n:06d}"),
            types["small"],
            "a",
            False,
            MachineState.UP,
            MonotonicTime(0),
            MonotonicTime(0),
        )
        m.cached_images = {f"registry/{'long-' * 5}{n}-{i}": 1.5 for i in range(3)}
    for _ in range(1000):
        clock.now += 0.02
        node.leader_service.process_events()
        assert node.store.writes.available(clock()) >= 0
    memories = [
        w for writes in sent for w in writes if w.get("put", "").startswith(LEARNED_STATE_PREFIX)
    ]
    assert len(memories) > 3 and max(len(writes) for writes in sent) < 18


def test_leader_stores_a_catalogue_that_fits() -> None:
    type_ = cloud.parse_catalog(CATALOG)["small"]
    types = {f"t{i}": replace(type_, name=f"t{i}") for i in range(15)}
    node, _, sent = leading_node(NEXT, types)
    c = node.leader_service.scheduler
    assert c is not None
    c.cloud_requests.catalog_changed = True
    node.leader_service.process_events()
    puts = [w for writes in sent for w in writes if w.get("put") == "catalog"]
    assert len(orjson.dumps(cloud.catalog_record(types))) > 2048
    assert len(puts) == 1 and len(orjson.dumps(puts[0]["v"])) <= 2048


@pytest.mark.parametrize(("number", "value_kb"), [(2, 1.0), (8, 1.5), (11, 2.0), (40, 32.0)])
def test_catalogue_fits_into_a_smaller_value(number: int, value_kb: float) -> None:
    """A node that does not lead knows the types from there alone: refused for its size, it would
    leave them refusing all submissions."""
    zones = ("oconee-room", "piedmont-hall", "clarke-annex")
    types = {
        f"bench{i}": cloud.MachineType(
            f"bench{i}", 16.0, 2.0 * (i % 2), 128.0, 200.0, 0.5, 1.16, 0.44, 15.0, zones
        )
        for i in range(number)
    }
    most = int(value_kb * 1024 * learned_state.VALUE_FILL_RATIO)
    record = orjson.loads(orjson.dumps(cloud.catalog_record(types, most)))
    assert len(orjson.dumps(record)) <= most
    found = cloud.parse_catalog(record)

    def judged(kinds: dict[str, cloud.MachineType]) -> list[Any]:
        return [
            (t.name, t.cpus, t.gpus, t.memory_gb, t.price, t.spot_price, t.zones)
            for t in kinds.values()
        ]

    assert judged(found) == judged(types)
    if len(orjson.dumps(cloud.catalog_record(types))) <= most:
        assert found == types, "nothing is left out without need"


# -- runs


def tiny(w: World, job: str, tasks: int, run_s: float) -> None:
    w.submit(job, parcels=tasks, cpus=0.2, memGb=0.1, run_s=run_s, haulS=run_s)


def production(seed: int, **faults: Any) -> World:
    """A run at the old limits, with chunks and placement records as large as they allow."""
    w = World(seed, platform=platform(), **faults)
    w.store.value_bytes, w.store.txn_ops = 32 * 1024, 20
    for n, tasks in enumerate([640, 90, 30, 6, 3]):
        tiny(w, f"wk-00000{n}", tasks, 25.0 + 5 * n)
    w.run(18)
    assert max(len(orjson.dumps(i["v"])) for i in w.store.range("place/")) > 6000
    assert w.store.item("job/wk-000000")["v"]["n"] == 500  # type: ignore[index]
    return w


def upgrade(w: World) -> None:
    w.settings = parse_platform(platform(NEXT))
    w.elect()


def fall(w: World) -> None:
    w.store.value_bytes, w.store.txn_ops = 2048, 6


def finish(w: World, seconds: float = 500.0) -> None:
    for _ in range(int(seconds)):
        w.run(1)
        w.check_kept()
        if w.all_ended():
            return
    raise AssertionError([j for j in w.jobs if f"end/{j}" not in w.store.keys])


FAULTS: list[dict[str, float]] = [
    {},
    {"txn_lost": 0.1, "txn_twice": 0.2, "report_lost": 0.1, "answer_lost": 0.1},
]


@pytest.mark.parametrize("faults", FAULTS)
@pytest.mark.parametrize("seed", range(3))
def test_limits_fall_in_mid_run(seed: int, faults: dict[str, float]) -> None:
    """All nodes are new before the fall, as foretold, so nothing is ever refused for its size.
    Leaders change before, at and after the fall."""
    w = production(seed, **faults)
    upgrade(w)
    w.run(3)
    before = sum("n" in p[2] for i in w.store.range("place/") for p in i["v"]["p"])
    assert not before, "a node of the version before may lead yet"
    w.subchunks_supported = True
    tiny(w, "wk-000100", 60, 12.0)
    w.run(w.rng.uniform(0, 6))
    fall(w)
    for n in range(4):
        tiny(w, f"wk-00020{n}", w.rng.randrange(1, 120), w.rng.uniform(5, 20))
        w.run(w.rng.uniform(0, 8))
        w.elect()
        w.check_kept()
    if w.rng.random() < 0.5:
        w.cancel("wk-000200")
    finish(w)
    assert not w.too_large
    puts = [e for _, e in w.store.log if e.get("put", "").startswith("place/")]
    assert any("n" in p[2] for e in puts for p in e["v"]["p"]), "chunks were cut anew"


@pytest.mark.parametrize("faults", FAULTS)
@pytest.mark.parametrize("seed", range(1))
def test_fall_while_a_node_is_not_heard(seed: int, faults: dict[str, float]) -> None:
    """Large chunks can't be cut anew, and their records are refused: the others go on, and once
    the node is heard these do, too."""
    w = production(seed, **faults)
    upgrade(w)
    fall(w)
    tiny(w, "wk-000100", 20, 5.0)
    w.run(60)
    assert "end/wk-000100" in w.store.keys and w.too_large
    assert "end/wk-000000" not in w.store.keys
    w.subchunks_supported = True
    finish(w)


def test_record_that_stays_refused_takes_few_changes() -> None:
    """As long as its chunk can't be cut anew it is refused whenever it is sent. It waits between
    two tries, or it would take all changes that the leader has."""
    w = production(0)
    upgrade(w)
    fall(w)
    w.run(20)
    before = w.too_large
    assert before
    w.run(60)
    assert 1 <= w.too_large - before <= 4, "of one chunk, once in twenty seconds"


def test_chunk_of_a_refused_record_is_cut_until_it_fits() -> None:
    """Whatever the settings said, and whatever the service counts: no record waits for ever."""
    w = World(51, platform=platform(NEXT))
    w.subchunks_supported = True
    tiny(w, "wk-000001", 60, 30.0)
    tiny(w, "wk-000002", 3, 5.0)
    w.run(1)
    w.store.value_bytes = 400
    w.run(40)
    assert w.store.too_large
    finish(w, 200)
    puts = [e for _, e in w.store.log if e.get("put", "").startswith("place/")]
    finer = {p[2]["n"] for e in puts for p in e["v"]["p"] if "n" in p[2]}
    assert finer and max(finer) < 34


def test_closed_placement_record_stays_until_its_jobs_are_over() -> None:
    """It may hold the only record of tasks that have not changed since."""
    w = production(52)
    large = {
        i["path"]: {p[0] for p in i["v"]["p"]}
        for i in w.store.range("place/")
        if len(orjson.dumps(i["v"])) > 2048
    }
    assert large
    upgrade(w)
    w.subchunks_supported = True
    for _ in range(800):
        w.run(0.5)
        for key, names in large.items():
            if w.store.item(key) is None:
                assert not [j for j in names if w.store.item(f"job/{j}")], key
        w.check_kept()
        if w.all_ended():
            break
    w.run(5)
    assert not [k for k in large if w.store.item(k)], "nobody needs them any more"


def test_large_placement_records_are_closed_at_take_over() -> None:
    """Whatever changes on them moves to others from the start, not when they turn out too large."""
    w = production(52)
    large = {i["path"] for i in w.store.range("place/") if len(orjson.dumps(i["v"])) > 2048}
    upgrade(w)
    c = w.scheduler
    assert c is not None
    records, moved = c.transaction_writer.placement_records, 0
    for job in c.jobs.jobs.values():
        for chunk in job.chunks.values():
            if chunk.record_key in large:
                moved += 1
                assert records.record_for(job, chunk).key not in large
    assert moved


def test_chunks_of_new_jobs_fit_from_the_start() -> None:
    s = settings_of(NEXT)
    assert max_tasks_per_chunk(s.value_bytes) * 48 <= s.value_bytes
