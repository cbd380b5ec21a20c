"""The state service reduces its limits without notice: rates, value size and transaction size."""

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
from test_user_requests import UserServiceFixture
from world import PLATFORM, World, submission

ANNOUNCED_LIMITS = {"write_rps": 18, "value_kb": 2.0, "txn_ops": 6}


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
        (ANNOUNCED_LIMITS, 70, 18, 2048, 6),
        ({"rps": 40}, 40, 25, 32768, 20),
        ({"value_kb": 0.5, "txn_ops": 2, "rps": None}, 70, 25, 512, 2),
        # Announced increases are ignored: the current limits hold until the settings change.
        ({"rps": 90, "write_rps": 30, "value_kb": 64, "txn_ops": 40}, 70, 25, 32768, 20),
        (ANNOUNCED_LIMITS | {"unheard_of": "x"}, 70, 18, 2048, 6),
    ],
)
def test_announced_limits_are_read_from_the_settings(
    next_: Any, rps: float, write_rps: float, value: int, ops: int
) -> None:
    settings = settings_of(next_)
    assert (settings.state_rps, settings.state_write_rps) == (70, 25), (
        "the current rates hold until a reduction is detected"
    )
    assert (settings.state_rps_next, settings.state_write_rps_next) == (rps, write_rps)
    assert (settings.value_bytes, settings.txn_ops) == (value, ops)


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
def test_malformed_announced_limits_are_rejected_with_the_field_name(
    next_: Any, field: str
) -> None:
    with pytest.raises(InvalidSettingsError) as err:
        settings_of(next_)
    assert f"settings: {field}: must be" in str(err.value)


def test_null_next_section_announces_no_limits() -> None:
    root = platform()
    root["settings"]["state"]["next"] = None
    assert parse_platform(root) == settings_of()


# -- rates


WITHIN_SHARE, OVERDRAWN, FROM_PEER = "429 within the share", "429 after overdraft", "peer backoff"


@pytest.mark.parametrize(
    ("reduction_announced", "events", "lowered"),
    [
        (True, [], {0: False}),
        (False, [(0, WITHIN_SHARE, 0)], {0: False, 1: False}),  # no lower rates are announced
        (False, [(0, FROM_PEER, 60)], {0: False}),
        (True, [(0, OVERDRAWN, 0)], {0: False, 5: False}),  # the node itself caused the 429
        (
            True,
            [(0, WITHIN_SHARE, 0)],
            {0: True, INITIAL_BACKOFF_S - 1: True, INITIAL_BACKOFF_S + 1: False},
        ),  # a stray 429
        (
            True,
            [(0, WITHIN_SHARE, 0), (10, OVERDRAWN, 0)],
            {INITIAL_BACKOFF_S - 1: True, INITIAL_BACKOFF_S + 1: False},
        ),
        # A further 429 during the backoff shows that the first was not a stray one.
        (
            True,
            [(0, WITHIN_SHARE, 0), (10, WITHIN_SHARE, 0)],
            {INITIAL_BACKOFF_S + 9: True, INITIAL_BACKOFF_S + 11: False},
        ),
        # Requests in flight at the same time are rejected together and count once.
        (
            True,
            [(0, WITHIN_SHARE, 0)] * 30,
            {INITIAL_BACKOFF_S - 1: True, INITIAL_BACKOFF_S + 1: False},
        ),
        # Each time the next try of the higher rates meets a 429, the backoff doubles.
        (
            True,
            [(0, WITHIN_SHARE, 0), (21, WITHIN_SHARE, 0)],
            {20.5: False, 22: True, 60: True, 62: False},
        ),
        (
            True,
            [(0, WITHIN_SHARE, 0), (21, WITHIN_SHARE, 0), (62, WITHIN_SHARE, 0)],
            {61.5: False, 63: True, 141: True, 143: False},
        ),
        # The backoff never exceeds the maximum.
        (
            True,
            [(t, WITHIN_SHARE, 0) for t in (0, 21, 62, 143, 304, 625, 1266)],
            {1264: True, 1265.5: False, 1265 + MAX_BACKOFF_S: True, 1267 + MAX_BACKOFF_S: False},
        ),
        # After a long time without a 429 the backoff starts at its initial value again.
        (
            True,
            [(0, WITHIN_SHARE, 0), (21, WITHIN_SHARE, 0), (200, WITHIN_SHARE, 0)],
            {199: False, 219: True, 221: False},
        ),
        (True, [(0, FROM_PEER, 30)], {0: True, 29: True, 31: False}),
        (True, [(0, FROM_PEER, 0)], {0: False}),
        # A peer's backoff also sets the length of this node's next backoff.
        (
            True,
            [(0, FROM_PEER, 80), (81, WITHIN_SHARE, 0)],
            {80.5: False, 82: True, 240: True, 242: False},
        ),
        (True, [(0, FROM_PEER, 1e9)], {MAX_BACKOFF_S - 1: True, MAX_BACKOFF_S + 1: False}),
    ],
)
def test_lower_rates_apply_while_the_backoff_lasts(
    reduction_announced: bool, events: list[Any], lowered: dict[float, bool]
) -> None:
    backoff = RateLimitBackoff(reduction_announced)
    timeline = sorted(
        [(float(t), 0, kind, argument) for t, kind, argument in events]
        + [(float(t), 1, "look", want) for t, want in lowered.items()]
    )
    for t, _, kind, argument in timeline:
        now = MonotonicTime(t)
        if kind == "look":
            assert backoff.is_active(now) is argument, t
        elif kind == FROM_PEER:
            backoff.record_peer_backoff(argument, now)
        else:
            backoff.record_rate_limited(now, kind == WITHIN_SHARE)


def test_nodes_do_not_repeat_backoffs_announced_by_peers() -> None:
    """A node announces only the backoff caused by its own 429s. Two nodes that repeated each
    other's announcements would keep the lower rates for ever."""
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


class FixedStatusHttp:
    """Responds to each request at once with the status that the test sets."""

    def __init__(self) -> None:
        self.status: int | None = 200

    def request(self, method: bytes, path: str, body: Any, timeout: float, answer: Any) -> None:
        answer(self.status, b"{}")


class Clock:
    def __init__(self) -> None:
        self.now = 1000.0

    def __call__(self) -> MonotonicTime:
        return MonotonicTime(self.now)


def store_clients(nodes: int, next_: Any) -> tuple[list[StoreClient], Clock, FixedStatusHttp]:
    """Return clients, their clock and their transport; the first client is the leader's."""
    clock, http = Clock(), FixedStatusHttp()
    out = [StoreClient(settings_of(next_, nodes), clock) for _ in range(nodes)]
    for store in out:
        store._http = http  # type: ignore[assignment]
    out[0].set_leader(True)
    clock.now += 60
    return out, clock, http


def receive_429(store: StoreClient, http: FixedStatusHttp) -> None:
    http.status = 429
    store.get("x", lambda ok, item: None)
    http.status = 200


@pytest.mark.parametrize("nodes", [1, 2, 3, 5, 9])
@pytest.mark.parametrize("next_", [ANNOUNCED_LIMITS, {"rps": 30}, {"rps": 9, "write_rps": 6}])
def test_shares_of_all_nodes_stay_within_the_reduced_rates(
    nodes: int, next_: dict[str, Any]
) -> None:
    """A 429 at one node, announced to its peers, reduces all rates; a leader change keeps that."""
    for limited_index in range(nodes):
        clients, clock, http = store_clients(nodes, next_)
        settings = settings_of(next_, nodes)
        before = sum(x.writes.rate for x in clients)
        assert before <= settings.state_write_rps
        receive_429(clients[limited_index], http)
        for store in clients:
            store.rate_limit_backoff.record_peer_backoff(
                clients[limited_index].rate_limit_backoff.remaining_s(clock()), clock()
            )
            store.update_rates(clock())
        for leader in (0, nodes - 1):
            for i, store in enumerate(clients):
                store.set_leader(i == leader)
            assert sum(x.requests.rate for x in clients) <= settings.state_rps_next
            assert sum(x.writes.rate for x in clients) <= settings.state_write_rps_next
        clock.now += INITIAL_BACKOFF_S + 1
        for store in clients:
            store.update_rates(clock())
        assert sum(x.writes.rate for x in clients) == pytest.approx(before), (
            "the 429 was a stray one"
        )


def test_429_after_overdraft_does_not_reduce_rates() -> None:
    (store,), clock, http = store_clients(1, ANNOUNCED_LIMITS)
    rate = store.writes.rate
    store.writes.force_take(clock(), 1000)
    receive_429(store, http)
    assert store.writes.rate == rate and store.writes.available(clock()) <= 0
    (store,), clock, http = store_clients(1, None)
    receive_429(store, http)
    assert store.writes.rate == rate, "no lower rates are announced"


def test_429_for_a_watch_reduces_rates() -> None:
    (store,), clock, http = store_clients(1, ANNOUNCED_LIMITS)
    http.status = 429
    store.watch("lead", Revision(1), 10.0, lambda status, revision, events: None)
    assert store.rate_limit_backoff.is_active(clock()) and store.writes.rate < 18


class WriteLimitedHttp:
    """Rejects writes above a rate that is reduced at a given time; allows bursts of one second."""

    def __init__(self, clock: Clock, rate: float, reduced_rate: float, reduced_at: float) -> None:
        self.clock, self.rate, self.reduced_rate, self.reduced_at = (
            clock,
            rate,
            reduced_rate,
            reduced_at,
        )
        self.tokens, self.tokens_refilled_at = rate, clock.now
        self.log: list[tuple[float, int, int]] = []  # time, status, writes

    def request(self, method: bytes, path: str, body: Any, timeout: float, answer: Any) -> None:
        now = self.clock.now
        rate = self.reduced_rate if now >= self.reduced_at else self.rate
        self.tokens = min(rate, self.tokens + (now - self.tokens_refilled_at) * rate)
        self.tokens_refilled_at = now
        writes = len(orjson.loads(body)["writes"])
        status = 200 if self.tokens >= writes else 429
        self.tokens -= writes if status == 200 else 0
        self.log.append((now, status, writes))
        answer(status, b'{"ledgerRev":1}')


@pytest.mark.parametrize("nodes", [1, 5])
@pytest.mark.parametrize("falls", [True, False])
def test_all_nodes_follow_a_rate_reduction_with_few_429s(nodes: int, falls: bool) -> None:
    """Every node writes as much as its tokens allow, which is the worst case. A few 429s are
    allowed at the reduction and at each try of the old rates, and those tries become rare. In any
    five seconds the nodes achieve most of the lower rate. Without a reduction they use the old
    rates nearly all of the time."""
    clients, clock, _ = store_clients(nodes, ANNOUNCED_LIMITS)
    began = clock.now
    service = WriteLimitedHttp(clock, 25, 18, began + 30 if falls else 1e12)
    for store in clients:
        store._http = service  # type: ignore[assignment]
        store.writes.empty(clock())  # so that not all nodes start with a burst
    rng = random.Random(nodes)
    reduced_s = 0.0
    while clock.now < began + 600:
        clock.now += 0.05
        for i, store in enumerate(clients):
            store.update_rates(clock())
            most = min(store.writes.available(clock()), 6 if i == 0 else 1)
            if most > 0 and rng.random() < 0.8 and store.requests.try_take(clock()):
                store.writes.force_take(clock(), most)
                txn = Transaction({}, [Put("k", 1)] * most)
                store.commit(txn, lambda status, revision, failed: None)
            reduced_s += 0.05 / nodes if store.rate_limit_backoff.is_active(clock()) else 0
        if rng.random() < 0.1:
            for store in clients:
                for peer in clients:
                    store.rate_limit_backoff.record_peer_backoff(
                        peer.rate_limit_backoff.remaining_s(clock()), clock()
                    )
    refused = [t - began for t, status, _ in service.log if status == 429]
    if not falls:
        assert len(refused) < 5 and reduced_s < 100, (refused, reduced_s)
        return
    assert 0 < len(refused) < 25 and reduced_s > 480, (refused, reduced_s)
    # In the last minutes the tries of the old rates have become rare.
    assert len([t for t in refused if t > 400]) < 6, refused
    for start in range(595):
        window = [
            n for t, status, n in service.log if status == 200 and start <= t - began < start + 5
        ]
        assert sum(window) > 5 * 18 * 0.92 * 0.6, (start, sum(window))


class RequestAndWriteLimitedHttp(WriteLimitedHttp):
    """Also limits requests; that limit is reduced at the same time as the limit on writes."""

    def __init__(self, clock: Clock, reduced_at: float, reduced_rate: float = 70.0) -> None:
        super().__init__(clock, 25, 18, reduced_at)
        self.reduced_request_rate = reduced_rate
        self.request_tokens, self.request_tokens_refilled_at = 70.0, clock.now

    def request(self, method: bytes, path: str, body: Any, timeout: float, answer: Any) -> None:
        now = self.clock.now
        rate = self.reduced_request_rate if now >= self.reduced_at else 70.0
        self.request_tokens = min(
            rate, self.request_tokens + (now - self.request_tokens_refilled_at) * rate
        )
        self.request_tokens_refilled_at = now
        if self.request_tokens < 1:
            self.log.append((now, 429, 0))
            answer(429, b"{}")
            return
        self.request_tokens -= 1
        if method == b"POST":
            super().request(method, path, body, timeout, answer)
        else:
            answer(404, b"{}")


def run_burst(
    nodes: list[StoreClient],
    clock: Clock,
    seconds: float,
    rng: random.Random,
    reducing_nodes: list[StoreClient],
) -> list[int]:
    """Let every node write and read as much as its tokens allow. The `reducing_nodes` apply
    reduced rates and announce their backoffs to each other. Return the writes of each node that
    succeeded."""
    written = [0] * len(nodes)
    until = clock.now + seconds
    while clock.now < until:
        clock.now += 0.05
        for i, store in enumerate(nodes):
            if store in reducing_nodes:
                store.update_rates(clock())
            most = min(store.writes.available(clock()), 6 if store._is_leader else 1)
            if most > 0 and store.requests.try_take(clock()):
                store.writes.force_take(clock(), most)

                def done(status: int | None, *_: Any, i: int = i, most: int = most) -> None:
                    written[i] += most if status == 200 else 0

                store.commit(Transaction({}, [Put("k", 1)] * most), done)
            if store.requests.available(clock(), 0.3) >= 1:
                store.get("x", lambda ok, item: None)
        if rng.random() < 0.1:
            for store in reducing_nodes:
                for peer in reducing_nodes:
                    store.rate_limit_backoff.record_peer_backoff(
                        peer.rate_limit_backoff.remaining_s(clock()), clock()
                    )
    return written


@pytest.mark.parametrize("nodes", [1, 3, 5])
def test_burst_after_idle_time_stays_within_the_share(nodes: int) -> None:
    """The state service allows a burst of one second's worth. After a long idle time a node has
    less than its share of that, or just enough tokens to admit a few submissions."""
    clients, clock, _ = store_clients(nodes, ANNOUNCED_LIMITS)
    settings = settings_of(ANNOUNCED_LIMITS, nodes)
    clock.now += 1000.0
    for i, store in enumerate(clients):
        for bucket, limit in (
            (store.requests, settings.state_rps),
            (store.writes, settings.state_write_rps),
        ):
            share = bucket.rate / (0.92 * limit)
            assert 5 <= bucket.available(clock()) <= max(6, 0.8 * limit * share), i


@pytest.mark.parametrize("lowered", [False, True])
@pytest.mark.parametrize("wanted", [1, 5, 50])
def test_lent_tokens_are_taken_from_the_leaders_share(lowered: bool, wanted: int) -> None:
    """A node without tokens for submissions gets some of the leader's, but never more than the
    leader has above its reserve. Lending does not increase the total."""
    nodes, clock, http = store_clients(5, ANNOUNCED_LIMITS)
    if lowered:
        receive_429(nodes[0], http)
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
    # Tokens above the burst of the borrowing node are lost.
    assert after == before or (wanted == 50 and after < before)
    assert all(a.available(clock(), 0.3) >= 0 for a, _ in buckets), (
        "the leader keeps its reserve for placements"
    )
    assert sum(leader.lend_tokens(wanted, clock()) for _ in range(100)) <= 50
    assert leader.lend_tokens(wanted, clock()) == 0 and leader.lend_tokens(0, clock()) == 0
    assert all(a.available(clock(), 0.3) >= 0 for a, _ in buckets)


@pytest.mark.parametrize("at_s", [0.0, 0.3, 5.0])
def test_rate_reduction_during_a_burst_and_leader_changes(at_s: float) -> None:
    """A new leader reads without waiting for tokens and so overdraws its share. Neither that nor a
    rate reduction near it causes lasting 429s or leaves a node without its share."""
    nodes, clock, _ = store_clients(5, ANNOUNCED_LIMITS | {"rps": 40})
    service = RequestAndWriteLimitedHttp(clock, clock.now + 30 + at_s, 40.0)
    for store in nodes:
        store._http = service  # type: ignore[assignment]
    rng = random.Random(4)
    run_burst(nodes, clock, 30, rng, nodes)
    for turn in range(6):
        for i, store in enumerate(nodes):
            store.set_leader(i == turn % 5)
        for _ in range(40):
            clock.now += 0.01
            nodes[turn % 5].get("x", lambda ok, item: None)
        began = clock.now
        written = run_burst(nodes, clock, 40, rng, nodes)
        assert sum(written) > 40 * 18 * 0.92 * 0.7, (turn, written)
        assert min(written) > 40 * 18 * 0.92 * 0.075 * 0.6, (turn, written)
        late_429s = [t for t, status, _ in service.log if status == 429 and t > began + 5]
        assert len(late_429s) < 40, (turn, len(late_429s))
    clock.now += 3 * MAX_BACKOFF_S
    for store in nodes:
        store.update_rates(clock())
    assert sum(store.writes.rate for store in nodes) > 18, "no rate stays reduced for ever"


@pytest.mark.parametrize("old_leads", [True, False])
@pytest.mark.parametrize("old", [1, 3])
def test_old_nodes_at_the_higher_rates_do_not_starve_the_others(old: int, old_leads: bool) -> None:
    """Nodes of an earlier version may not know the lower rates. Until they are replaced, some
    requests are rejected. Still all nodes can write, and the new nodes keep to their shares of the
    lower rates."""
    nodes, clock, _ = store_clients(5, ANNOUNCED_LIMITS)
    old_clients = store_clients(5, None)[0]
    for store in old_clients:
        store._clock = clock
    nodes = (
        old_clients[:old] + nodes[old:] if old_leads else nodes[: 5 - old] + old_clients[5 - old :]
    )
    new_clients = [store for store in nodes if store not in old_clients]
    service = RequestAndWriteLimitedHttp(clock, clock.now)
    for i, store in enumerate(nodes):
        store._http = service  # type: ignore[assignment]
        store.set_leader(i == 0)
    rng = random.Random(old)
    run_burst(nodes, clock, 30, rng, new_clients)
    for _ in range(5):
        written = run_burst(nodes, clock, 20, rng, new_clients)
        assert sum(written) > 20 * 18 * 0.7, written
        assert min(written) > 20 * 18 * 0.92 * 0.075 * 0.4, written
        assert all(store.rate_limit_backoff.is_active(clock()) for store in new_clients)
        for store in new_clients:
            share = 0.7 if store._is_leader else 0.3 / 4
            assert store.writes.rate <= 18 * share


@pytest.mark.parametrize(("writes", "requests"), [(0, 9), (9, 0), (0, 0)])
def test_submission_without_tokens_is_rejected_with_retry_after(writes: int, requests: int) -> None:
    """Without tokens the node rejects a submission with a retry time and sends no request to the
    state service. It accepts the submission as soon as there are tokens."""
    fixture = UserServiceFixture()
    fixture.store.writes = TokenBucket(1.0, 9.0, MonotonicTime(0))
    fixture.store.requests = TokenBucket(1.0, 9.0, MonotonicTime(0))
    fixture.store.writes.force_take(MonotonicTime(0), 9 - writes)
    fixture.store.requests.force_take(MonotonicTime(0), 9 - requests)
    request = fixture.submit(submission("wk-000001"))
    assert (request.status, request.retry_after_s) == (503, RETRY_AFTER_S)
    assert fixture.store.writes.available(MonotonicTime(0)) == writes, (
        "a rejected submission takes no tokens"
    )
    assert fixture.store.requests.available(MonotonicTime(0)) == requests
    assert "job/wk-000001" not in fixture.store.sim.keys
    fixture.now = 1.1
    assert fixture.submit(submission("wk-000001")).status == 201


def test_submission_at_a_lagging_node_is_rejected_with_retry_after() -> None:
    fixture = UserServiceFixture()
    fixture.node.loop_lag_s = fixture.node.tuning.lag_s + 0.01
    request = fixture.submit(submission("wk-000001"))
    assert (request.status, request.retry_after_s) == (503, RETRY_AFTER_S)
    fixture.node.loop_lag_s = 0.0
    assert fixture.submit(submission("wk-000001")).status == 201


@pytest.mark.parametrize("status", [400, 413, 429, 503])
def test_submission_can_be_retried_after_a_failed_write(status: int) -> None:
    """A submission whose write failed leaves no state behind, so a retry is accepted."""
    fixture = UserServiceFixture()
    original_commit = fixture.store.commit
    fixture.store.commit = lambda txn, done: done(status, Revision(0), ())  # type: ignore[method-assign]
    request = fixture.submit(submission("wk-000001"))
    assert (request.status, request.retry_after_s) == (503, RETRY_AFTER_S)
    fixture.store.commit = original_commit  # type: ignore[method-assign]
    assert fixture.submit(submission("wk-000001")).status == 201


def campaigning_election() -> tuple[Election, MonotonicTime]:
    """Return the election of a node that has a lease of three seconds and is about to campaign."""
    election = Election(NodeId("n0"), 3.0, 0.02, IncarnationId("x"))
    now = MonotonicTime(10.0)
    assert isinstance(election.next_action(now), ReadLeaderKey)
    election.on_leader_key_read(None, now)
    assert isinstance(election.next_action(now), GrantLease)
    election.on_lease_granted(LeaseId(1), now)
    return election, now


def test_failed_campaign_is_retried_after_a_delay_and_a_read() -> None:
    """Campaigns of all nodes, retried without a delay, would use up the rate limit for ever."""
    election, now = campaigning_election()
    campaign = election.next_action(now)
    assert isinstance(campaign, Campaign)
    election.on_action_failed(campaign, now)
    assert (
        election.next_action(now) is None and election.next_action(MonotonicTime(now + 0.1)) is None
    )
    assert isinstance(election.next_action(MonotonicTime(now + 0.2)), ReadLeaderKey)
    election.on_leader_key_read(None, MonotonicTime(now + 0.2))
    assert isinstance(election.next_action(MonotonicTime(now + 0.2)), Campaign)


def test_campaign_on_an_expired_lease_requests_a_new_lease() -> None:
    """Every further campaign on the expired lease would get the same 400 response."""
    election, now = campaigning_election()
    assert isinstance(election.next_action(now), Campaign)
    election.on_campaign_result(None, now, lease_lost=True)
    assert isinstance(election.next_action(now), ReadLeaderKey)
    election.on_leader_key_read(None, now)
    assert isinstance(election.next_action(now), GrantLease)


def test_failed_lease_renewal_is_retried_until_the_lease_expires() -> None:
    election, now = campaigning_election()
    assert isinstance(election.next_action(now), Campaign)
    election.on_campaign_result(Revision(7), now)
    retried_at = []
    while election.is_within_lease(now):
        action = election.next_action(now)
        if isinstance(action, KeepLeaseAlive):
            retried_at.append(now)
            election.on_action_failed(action, now)
        now = MonotonicTime(now + 0.01)
    assert 10 <= len(retried_at) <= 20, "retries are neither immediate nor too late"


# -- peer heartbeats


HEARTBEAT = peers.PeerHeartbeat(
    NodeId("b"), 3, FencingToken(7), True, 5, 2, (), peers.SUPPORTED_FEATURES, 1500
)
HEARTBEAT_ACK = peers.PeerHeartbeatAck(
    3, FencingToken(7), True, True, 9, None, 1, peers.SUPPORTED_FEATURES, 1500
)


def test_peer_heartbeats_are_read_with_and_without_the_new_fields() -> None:
    frame = peers.parse_frame(peers.encode_peer_heartbeat(HEARTBEAT))
    assert peers.parse_peer_heartbeat(frame) == HEARTBEAT
    ack_frame = peers.parse_frame(peers.encode_peer_heartbeat_ack(HEARTBEAT_ACK))
    assert peers.parse_peer_heartbeat_ack(ack_frame) == HEARTBEAT_ACK
    for fields in (frame, ack_frame):
        del fields["takes"], fields["low"]
    old_heartbeat, old_ack = (
        peers.parse_peer_heartbeat(frame),
        peers.parse_peer_heartbeat_ack(ack_frame),
    )
    assert (
        (old_heartbeat.supported_features, old_heartbeat.backoff_remaining_ms)
        == (old_ack.supported_features, old_ack.backoff_remaining_ms)
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
def test_malformed_optional_heartbeat_fields_are_ignored(
    takes: Any, low: Any, want: Any, want_low: int
) -> None:
    frame = peers.parse_frame(peers.encode_peer_heartbeat(HEARTBEAT)) | {"takes": takes, "low": low}
    heartbeat = peers.parse_peer_heartbeat(frame)
    assert (heartbeat.supported_features, heartbeat.backoff_remaining_ms) == (want, want_low)


def test_rechunking_starts_only_when_all_nodes_support_it() -> None:
    """The next leader might be a node of the previous version or one that sent no heartbeat yet."""
    relay_service = ControllerNode(settings_of(ANNOUNCED_LIMITS, 3), load_tuning()).relay_service
    now = MonotonicTime(50)

    def record_heartbeat(node: str, takes: tuple[str, ...]) -> bool:
        relay_service.peer_heartbeats.record_peer_status(
            NodeId(node),
            peers.PeerHeartbeat(NodeId(node), 1, FencingToken(0), True, 0, 0, (), takes),
            now,
        )
        return relay_service.peer_heartbeats.all_support(peers.SUBCHUNKS_FEATURE)

    assert not relay_service.peer_heartbeats.all_support(peers.SUBCHUNKS_FEATURE)
    assert not record_heartbeat("drover-1", peers.SUPPORTED_FEATURES)
    assert not record_heartbeat("drover-2", ())
    assert not record_heartbeat("drover-9", peers.SUPPORTED_FEATURES), "not a member"
    assert record_heartbeat("drover-2", peers.SUPPORTED_FEATURES)
    assert not record_heartbeat("drover-1", ()), "it restarted with the previous version"
    assert ControllerNode(
        settings_of(ANNOUNCED_LIMITS), load_tuning()
    ).relay_service.peer_heartbeats.all_support(peers.SUBCHUNKS_FEATURE), (
        "a single node needs no support of others"
    )


def test_backoff_announced_by_a_peer_reduces_rates() -> None:
    node = ControllerNode(settings_of(ANNOUNCED_LIMITS, 3), load_tuning())
    rate = node.store.writes.rate
    node.relay_service.peer_heartbeats.record_peer_status(
        NodeId("drover-1"), HEARTBEAT_ACK, node.clock()
    )
    assert (
        node.store.writes.rate < rate
        and node.store.rate_limit_backoff.remaining_s(node.clock()) == 0
    )


# -- subdivided chunks


JOB = JobId("wk-000001")


def registry_with_job(tasks: int, size: int) -> tuple[JobRegistry, Any]:
    jobs = JobRegistry()
    spec = users.parse_submission(submission(JOB, parcels=tasks))
    return jobs, jobs.add(spec, size, MonotonicTime(0))


def encoded_part(
    number: int, attempt: int, done: Any, run: Any, tasks: int | None = None
) -> list[Any]:
    value = {"a": attempt, "d": done, "r": [[i, a, f"n-{i}"] for i, a in run]}
    return [JOB, number, value | ({"n": tasks} if tasks else {})]


@pytest.mark.parametrize(
    ("placement_records", "run", "done", "attempts"),
    [
        # One part for the whole chunk, as the previous version writes it.
        ([[encoded_part(0, 4, [[0, 1]], [(2, 3), (7, 4)])]], {2: 3, 7: 4}, {0, 1}, {0: 4, 9: 4}),
        # A subchunk part takes precedence for its tasks; the chunk part counts for all others.
        (
            [
                [encoded_part(0, 4, [], [(1, 1), (2, 2), (7, 4)])],
                [encoded_part(0, 5, [[1, 1]], [(2, 5)], 3)],
            ],
            {2: 5, 7: 4},
            {1},
            {0: 5, 3: 4, 9: 4},
        ),
        # The same, but a delayed write made the chunk part the newest; both have the same attempt.
        (
            [
                [encoded_part(0, 4, [[1, 1]], [], 3)],
                [encoded_part(0, 4, [], [(1, 1), (2, 2), (7, 4)])],
            ],
            {7: 4},
            {1},
            {0: 4, 9: 4},
        ),
        # Three sizes of parts: the smallest counts; tasks in between use the larger parts.
        (
            [
                [encoded_part(0, 3, [], [(0, 1), (5, 2), (9, 3)])],
                [encoded_part(5, 4, [], [(5, 4), (8, 3)], 5)],
                [encoded_part(7, 5, [[8, 8]], [(7, 5)], 2)],
            ],
            {0: 1, 5: 4, 7: 5},
            {8},
            {0: 3, 5: 4, 7: 5, 9: 4},
        ),
        # The chunk part has a higher attempt than a subchunk part: no attempt number is reused.
        (
            [[encoded_part(0, 9, [], [(7, 9)])], [encoded_part(0, 4, [], [(1, 4)], 3)]],
            {1: 4, 7: 9},
            set(),
            {0: 9, 9: 9},
        ),
        # A subchunk part in two records: the higher attempt counts, or the newer of equal ones.
        (
            [[encoded_part(0, 6, [], [(1, 6)], 3)], [encoded_part(0, 5, [], [(1, 5)], 3)]],
            {1: 6},
            set(),
            {0: 6},
        ),
        (
            [[encoded_part(0, 6, [], [(1, 6)], 3)], [encoded_part(0, 6, [[1, 1]], [], 3)]],
            {},
            {1},
            {0: 6},
        ),
        # Subchunk parts only: the chunk part was never durable, so the other tasks never ran.
        ([[encoded_part(4, 2, [], [(5, 2)], 3)]], {5: 2}, set(), {0: 0, 4: 2, 7: 0}),
        # A subchunk of the second chunk; the first chunk is not subdivided.
        (
            [
                [encoded_part(0, 4, [[0, 9]], []), encoded_part(1, 2, [], [(10, 1), (14, 2)])],
                [encoded_part(12, 3, [], [(14, 3)], 3)],
            ],
            {10: 1, 14: 3},
            set(range(10)),
            {0: 4, 10: 2, 12: 3, 15: 2},
        ),
    ],
)
def test_smallest_part_that_covers_a_task_is_authoritative(
    placement_records: list[Any], run: dict[int, int], done: set[int], attempts: dict[int, int]
) -> None:
    jobs, job = registry_with_job(25, 10)
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
    check_tasks_and_chunks(job)
    # Each record lists exactly the chunks that are assigned to it. A chunk part that is the only
    # source for some tasks stays in its record; subchunk parts may be written again.
    for placement_record in store.by_key.values():
        expected_parts = {
            (job.id, c.first_index)
            for c in job.chunks.values()
            if c.record_key == placement_record.key
        }
        assert set(placement_record.parts) == expected_parts


@pytest.mark.parametrize(
    "value",
    [{"n": "3"}, {"n": 0}, {"n": -1}, {"n": 1.5}, {"n": True}, {"n": 99}, {"n": 3, "a": None}],
)
def test_job_with_an_unreadable_subchunk_is_not_runnable(value: dict[str, Any]) -> None:
    jobs, job = registry_with_job(25, 10)
    record = {"a": 1, "d": [], "r": []} | value
    items = [Item("place/1-1", {"p": [encoded_part(0, 1, [], []), [JOB, 0, record]]}, Revision(5))]
    placement_records = PlacementRecords(32768, FencingToken(50))
    load_placement_records(placement_records, items, jobs)
    jobs.finish_load(job)
    assert job.has_unreadable_record and not job.is_runnable
    assert [JOB, 0, record] in placement_records.by_key["place/1-1"].unreadable_parts


def check_tasks_and_chunks(job: Any) -> None:
    """Check that each task is done, placed or waiting exactly once and that no chunks overlap."""
    placed = [p.index for p in job.placements()]
    waiting = [*job.retry_indexes, *range(job.next_unplaced_index, job.spec.task_count)]
    assert len(set(placed)) == len(placed) and len(set(waiting)) == len(waiting)
    assert not set(placed) & set(waiting)
    done = {i for i in range(job.spec.task_count) if job.done_flags[i]}
    assert not done & set(waiting)
    assert set(placed) | set(waiting) | done == set(range(job.spec.task_count))
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


def test_all_subchunks_are_dirty_after_a_subdivision() -> None:
    """The subchunks replace the chunk, so changes that it had not written yet must not be lost."""
    jobs, job = registry_with_job(25, 10)
    for index in jobs.take_unplaced_tasks(job, 8):
        jobs.add_placement(job, index, MachineId("n-1"), MonotonicTime(1))
    for p in job.placements():
        p.phase = PlacementPhase.RUNNING if p.index < 5 else PlacementPhase.PLANNED
    subchunks = jobs.subdivide_chunk(job, job.chunks[0], 3)
    assert [
        (
            c.first_index,
            c.end_index,
            c.highest_attempt,
            c.is_dirty,
            c.is_urgent,
            sorted(c.placements),
        )
        for c in subchunks
    ] == [
        (0, 3, 8, True, False, [0, 1, 2]),
        (3, 6, 8, True, True, [3, 4, 5]),
        (6, 9, 8, True, True, [6, 7]),
        (9, 10, 8, True, False, []),
    ]
    assert [job.chunk_for(i).first_index for i in (0, 2, 3, 8, 9)] == [0, 0, 3, 6, 9]
    check_tasks_and_chunks(job)
    assert job.encode_part(subchunks[3]) == [JOB, 9, {"a": 8, "d": [], "r": [], "n": 1}]


class SubdivisionModel:
    """A job, its placement records and their stored copies, changed by single random steps."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.tasks, self.chunk_size = self.rng.choice([(40, 50), (120, 50), (130, 40)])
        self.jobs, self.job = registry_with_job(self.tasks, self.chunk_size)
        self.placement_records = PlacementRecords(2048, FencingToken(1))
        self.stored: dict[str, Any] = {}
        # Writes in flight, with the record version that each requires.
        self.late_writes: list[tuple[str, Any, int]] = []
        # Attempts and placements that may have been launched.
        self.launched_attempts: dict[int, int] = {}
        self.durable_placements: dict[int, tuple[int, str]] = {}
        self.token = 1

    def step(self, number: int) -> None:
        now = MonotonicTime(number)
        draw = self.rng.random()
        placed = [p for p in self.job.placements() if p.phase < 5]
        if draw < 0.35:
            self.place(now)
        elif draw < 0.55 and placed:
            self.end(self.rng.choice(placed), now)
        elif draw < 0.62 and self.job.chunks:
            self.subdivide(now)
        elif draw < 0.95:
            self.write(number)
        elif draw < 0.97 and self.late_writes:
            self.apply_late_write(number)
        else:
            self.fail_over(now)
        check_tasks_and_chunks(self.job)

    def place(self, now: MonotonicTime) -> None:
        for index in self.jobs.take_unplaced_tasks(self.job, self.rng.randrange(1, 6)):
            machine = MachineId(f"n-{self.rng.randrange(99):06d}")
            p = self.jobs.add_placement(self.job, index, machine, now)
            assert p.attempt > self.launched_attempts.get(index, 0), "attempt reused"

    def end(self, p: Any, now: MonotonicTime) -> None:
        self.durable_placements.pop(p.index, None)
        if self.rng.random() < 0.6:
            self.jobs.mark_done(p, now)
            del self.job.chunk_for(p.index).placements[p.index]
        else:
            self.jobs.remove_placement(p, now, retry=True)

    def subdivide(self, now: MonotonicTime) -> None:
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
                self.late_writes.append((placement_record.key, value, guard))
                continue  # no response, so the changes stay dirty
            placement_record.version = Revision(number + 1)
            self.stored[placement_record.key] = (value, number + 1)
            for _, c in placement_record.parts.values():
                c.is_dirty = False
                self.durable_placements |= {
                    p.index: (p.attempt, p.machine_id) for p in c.placements.values()
                }
                self.launched_attempts |= {p.index: p.attempt for p in c.placements.values()}

    def apply_late_write(self, number: int) -> None:
        key, value, guard = self.late_writes.pop(self.rng.randrange(len(self.late_writes)))
        if self.stored.get(key, (None, 0))[1] == guard:
            self.stored[key] = (value, number + 1)

    def fail_over(self, now: MonotonicTime) -> None:
        self.token += 1
        self.late_writes.clear()  # they also required the old leader's key
        self.jobs, self.job = registry_with_job(self.tasks, self.chunk_size)
        self.placement_records = PlacementRecords(2048, FencingToken(self.token))
        items = [Item(k, v, Revision(r)) for k, (v, r) in self.stored.items()]
        load_placement_records(self.placement_records, items, self.jobs)
        self.jobs.finish_load(self.job)
        assert not self.job.has_unreadable_record
        known = {p.index: (p.attempt, p.machine_id) for p in self.job.placements()}
        for index, place in self.durable_placements.items():
            assert known.get(index) == place, "a placement that may have been launched was lost"


@pytest.mark.parametrize("seed", range(30))
def test_subdivision_loses_no_task_and_places_none_twice(seed: int) -> None:
    """The steps come in any order: placing, finishing and removing tasks, subdividing chunks,
    writing some placement records, late writes of older copies, and failover from the store."""
    model = SubdivisionModel(seed)
    for number in range(300):
        model.step(number)


# -- sizes


def test_placement_records_fit_the_value_limit_despite_long_machine_names() -> None:
    """The size estimate of a part is wrong if machine names are longer than usual."""
    world = World(41, platform=platform(ANNOUNCED_LIMITS))
    world.store.value_bytes, world.store.txn_ops = 2048, 6
    assert world.scheduler is not None
    world.subchunks_supported = True
    placement_records = world.scheduler.transaction_writer.placement_records
    jobs = world.scheduler.jobs
    rng = random.Random(3)
    for n in range(40):
        spec = users.parse_submission(submission(f"wk-{n:06d}", parcels=rng.randrange(1, 90)))
        record = encode_job_record(spec, 34, 0.0)
        job = jobs.add(*decode_job_record(spec.id, record)[:2], MonotonicTime(world.now))
        for index in jobs.take_unplaced_tasks(job, 90):
            jobs.add_placement(
                job,
                index,
                MachineId(f"n-{'long' * rng.randrange(9)}{index}"),
                MonotonicTime(world.now),
            )
        world.scheduler.cluster_state.dirty_jobs[job.id] = job
    for _ in range(400):
        pending = world.scheduler.next_transaction(MonotonicTime(world.now), 20)
        if pending is None:
            break
        assert world.store.txn(pending.transaction.body())[0] == 200
        world.scheduler.on_transaction_result(
            pending,
            TransactionOutcome.COMMITTED,
            Revision(world.store.revision),
            (),
            MonotonicTime(world.now),
        )
    assert not world.scheduler.cluster_state.dirty_jobs and not world.store.too_large_count
    world.check_placements_are_stored()
    assert {s.key for s in placement_records.by_key.values() if s.version} >= {
        i["path"] for i in world.store.range("place/")
    }


def test_learned_state_records_fit_and_are_written_in_turn() -> None:
    world = World(42, platform=platform(ANNOUNCED_LIMITS), tuning={"memo_s": 1.0})
    scheduler = world.scheduler
    assert scheduler is not None
    rng = random.Random(5)
    type_ = cloud.parse_catalog(CATALOG)["small"]
    for n in range(700):
        machine = scheduler.inventory.add(
            MachineId(f"n-{n:06d}"),
            type_,
            "a",
            False,
            MachineState.UP,
            MonotonicTime(0),
            MonotonicTime(0),
        )
        machine.cached_images = {
            f"img-{rng.randrange(40):02d}": 1.5 for _ in range(rng.randrange(1, 7))
        }
    machine.cached_images = {
        f"an-image-with-a-long-name-{i}": 2.5 for i in range(300)
    }  # more than fit into one value
    for n in range(200):
        scheduler.cluster_state.predictor.restore_run_time_sums(
            {f"a-class-of-jobs-{n}": (10.0, 12.0)}
        )
    records = learned_state.learned_state_records(scheduler.cluster_state)
    assert max(len(orjson.dumps(v)) for v in records.values()) <= 0.8 * 2048
    assert len(records) > 6
    seen: dict[str, Any] = {}
    for turn in range(len(records) // 6 + 1):
        txn = scheduler.next_learned_state_transaction(MonotonicTime(world.now + 2 + 2 * turn))
        assert txn is not None and len(txn.operations) <= 6
        seen |= {put.key: put.value for put in txn.operations if isinstance(put, Put)}
    assert seen == records, "every record has been written"
    restored = World(43, platform=platform(ANNOUNCED_LIMITS)).scheduler
    assert restored is not None
    for key, value in records.items():
        learned_state.restore_learned_state(restored.cluster_state, key, value)
    for id_ in scheduler.inventory.machines:
        restored.inventory.add(
            id_, type_, "a", False, MachineState.UP, MonotonicTime(0), MonotonicTime(0)
        )
    assert (
        restored.cluster_state.predictor.run_time_sums()
        == scheduler.cluster_state.predictor.run_time_sums()
    )
    known = [len(machine.cached_images) for machine in restored.inventory.machines.values()]
    assert sum(k > 0 for k in known) == 700
    for machine in list(scheduler.inventory.machines.values())[:-1]:
        assert restored.inventory.machines[machine.id].cached_images == machine.cached_images


@pytest.mark.parametrize(
    ("value_kb", "ops", "spare"), [(32, 20, None), (32, 20, 3), (8, 20, None), (2, 6, 2), (2, 6, 9)]
)
def test_learned_state_transactions_respect_size_and_token_limits(
    value_kb: int, ops: int, spare: int | None
) -> None:
    """A transaction with the maximum number of records may have too many bytes. It would be
    rejected each time, so nothing would be stored. More writes than tokens would exceed this
    node's share."""
    root = platform(None, value_kb=value_kb, txn_ops=ops)
    world = World(44, platform=root, tuning={"memo_s": 1.0})
    scheduler = world.scheduler
    assert scheduler is not None
    type_ = cloud.parse_catalog(CATALOG)["small"]
    for n in range(900):
        machine = scheduler.inventory.add(
            MachineId(f"n-{n:06d}"),
            type_,
            "a",
            False,
            MachineState.UP,
            MonotonicTime(0),
            MonotonicTime(0),
        )
        machine.cached_images = {f"registry/{'long-' * 20}{n}-{i}": 1.5 for i in range(3)}
    records = learned_state.learned_state_records(scheduler.cluster_state)
    assert sum(len(orjson.dumps(v)) for v in records.values()) > 64 * 1024
    seen: dict[str, Any] = {}
    for turn in range(len(records)):
        txn = scheduler.next_learned_state_transaction(
            MonotonicTime(world.now + 2 + 2 * turn), spare
        )
        assert txn is not None and 1 <= len(txn.operations) <= min(ops, spare or ops)
        assert len(txn.body()) <= 64 * 1024
        seen |= {put.key: put.value for put in txn.operations if isinstance(put, Put)}
    assert seen == records, "every record has been written"


@pytest.mark.parametrize(("status", "writes"), [(400, 1), (413, 1), (503, 5), (None, 5), (200, 1)])
def test_rejected_catalog_write_is_not_repeated(status: int | None, writes: int) -> None:
    """Repeating a rejected write (400, 413) of a catalog that is too large would use up the writes.
    A write that was not carried out (503, no response) is retried."""
    node = ControllerNode(settings_of(ANNOUNCED_LIMITS), load_tuning())
    sent: list[Any] = []

    class RejectingHttp:
        def request(self, method: bytes, path: str, body: Any, timeout: float, answer: Any) -> None:
            sent.append(orjson.loads(body))
            answer(status, b'{"ledgerRev":1}')

    node.store._http = RejectingHttp()  # type: ignore[assignment]
    now = node.clock()
    scheduler = Scheduler(
        node.settings,
        node.tuning,
        FencingToken(5),
        cloud.parse_catalog(CATALOG),
        now,
        WallTime(0.0),
    )
    node.leader_service.scheduler = scheduler
    scheduler.cloud_requests.catalog_changed = True
    for _ in range(5):
        if scheduler.cloud_requests.catalog_changed:
            node.leader_service.catalog_record._next_write_at = MonotonicTime(0)
            node.leader_service.catalog_record.sync(scheduler)
    assert len(sent) == writes and node.machine_types == scheduler.cluster_state.types


def node_with_clock(next_: Any) -> tuple[ControllerNode, Clock]:
    """Return a node with the leader's share of the limits, and its clock."""
    clock = Clock()
    node = ControllerNode(settings_of(next_, 5), load_tuning(), clock=clock)
    node.store.set_leader(True)
    return node, clock


@pytest.mark.parametrize("status", [429, 503, None])
def test_failing_catalog_writes_do_not_exhaust_the_tokens(status: int | None) -> None:
    """The leader checks the catalog in each iteration of the event loop. If it retried a failed
    write each time, it would have no write tokens left for long, and the service would stay at its
    limit."""
    node, clock = node_with_clock(ANNOUNCED_LIMITS)
    sent: list[float] = []
    answers: list[int | None] = [status]

    class Service:
        def request(self, method: bytes, path: str, body: Any, timeout: float, answer: Any) -> None:
            if body is not None and b'"put":"catalog"' in body:
                sent.append(clock.now)
            answer(answers[0], b'{"ledgerRev":1}')

    node.store._http = Service()  # type: ignore[assignment]
    scheduler = Scheduler(
        node.settings,
        node.tuning,
        FencingToken(5),
        cloud.parse_catalog(CATALOG),
        clock(),
        WallTime(0.0),
    )
    node.leader_service.scheduler = scheduler
    scheduler.cloud_requests.catalog_changed = True
    began = clock.now = clock.now + 60.0
    while clock.now < began + 10.0:
        clock.now += 0.02
        node.leader_service.process_events()
        assert node.store.writes.available(clock()) >= 0
        assert node.machine_types == scheduler.cluster_state.types, (
            "this node still validates submissions"
        )
    assert 5 <= len(sent) <= 11
    answers[0] = 200
    for _ in range(200):
        clock.now += 0.02
        node.leader_service.process_events()
    assert sent[-1] < began + 11.5 and not scheduler.cloud_requests.catalog_changed, (
        "stored once and not written again"
    )


def leading_node(
    next_: Any, types: dict[str, cloud.MachineType]
) -> tuple[ControllerNode, Clock, list[Any]]:
    """Return a leading node, its clock, and the transactions that it sends (all succeed)."""
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


def test_leader_writes_learned_state_within_its_tokens() -> None:
    """A transaction with more writes than one second's worth is rejected whenever it is sent. One
    with more writes than there are tokens delays job outcomes and placements."""
    types = cloud.parse_catalog(CATALOG)
    node, clock, sent = leading_node({"value_kb": 2, "write_rps": 18}, types)
    scheduler = node.leader_service.scheduler
    assert scheduler is not None
    for n in range(900):
        machine = scheduler.inventory.add(
            MachineId(f"n-{n:06d}"),
            types["small"],
            "a",
            False,
            MachineState.UP,
            MonotonicTime(0),
            MonotonicTime(0),
        )
        machine.cached_images = {f"registry/{'long-' * 5}{n}-{i}": 1.5 for i in range(3)}
    for _ in range(1000):
        clock.now += 0.02
        node.leader_service.process_events()
        assert node.store.writes.available(clock()) >= 0
    learned_state_puts = [
        write
        for writes in sent
        for write in writes
        if write.get("put", "").startswith(LEARNED_STATE_PREFIX)
    ]
    assert len(learned_state_puts) > 3 and max(len(writes) for writes in sent) < 18


def test_leader_stores_a_catalog_within_the_value_limit() -> None:
    type_ = cloud.parse_catalog(CATALOG)["small"]
    types = {f"t{i}": replace(type_, name=f"t{i}") for i in range(15)}
    node, _, sent = leading_node(ANNOUNCED_LIMITS, types)
    scheduler = node.leader_service.scheduler
    assert scheduler is not None
    scheduler.cloud_requests.catalog_changed = True
    node.leader_service.process_events()
    puts = [world for writes in sent for world in writes if world.get("put") == "catalog"]
    assert len(orjson.dumps(cloud.catalog_record(types))) > 2048
    assert len(puts) == 1 and len(orjson.dumps(puts[0]["v"])) <= 2048


@pytest.mark.parametrize(("number", "value_kb"), [(2, 1.0), (8, 1.5), (11, 2.0), (40, 32.0)])
def test_catalog_is_shortened_to_fit_the_value_limit(number: int, value_kb: float) -> None:
    """Followers know the machine types only from the stored catalog. If it were rejected for its
    size, followers would reject all submissions."""
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
    shortened = cloud.parse_catalog(record)

    def admission_fields(kinds: dict[str, cloud.MachineType]) -> list[Any]:
        return [
            (t.name, t.cpus, t.gpus, t.memory_gb, t.price, t.spot_price, t.zones)
            for t in kinds.values()
        ]

    assert admission_fields(shortened) == admission_fields(types)
    if len(orjson.dumps(cloud.catalog_record(types))) <= most:
        assert shortened == types, "nothing is omitted without need"


# -- runs


def submit_small_job(world: World, job: str, tasks: int, run_s: float) -> None:
    world.submit(job, parcels=tasks, cpus=0.2, memGb=0.1, run_s=run_s, haulS=run_s)


def run_at_old_limits(seed: int, **faults: Any) -> World:
    """Run a world at the old limits, with chunks and placement records as large as those allow."""
    world = World(seed, platform=platform(), **faults)
    world.store.value_bytes, world.store.txn_ops = 32 * 1024, 20
    for n, tasks in enumerate([640, 90, 30, 6, 3]):
        submit_small_job(world, f"wk-00000{n}", tasks, 25.0 + 5 * n)
    world.run(18)
    assert max(len(orjson.dumps(i["v"])) for i in world.store.range("place/")) > 6000
    assert world.store.item("job/wk-000000")["v"]["n"] == 500  # type: ignore[index]
    return world


def upgrade(world: World) -> None:
    world.settings = parse_platform(platform(ANNOUNCED_LIMITS))
    world.elect()


def reduce_store_limits(world: World) -> None:
    world.store.value_bytes, world.store.txn_ops = 2048, 6


def run_until_all_ended(world: World, seconds: float = 500.0) -> None:
    for _ in range(int(seconds)):
        world.run(1)
        world.check_placements_are_stored()
        if world.all_ended():
            return
    raise AssertionError([j for j in world.jobs if f"end/{j}" not in world.store.keys])


FAULTS: list[dict[str, float]] = [
    {},
    {"txn_lost": 0.1, "txn_twice": 0.2, "report_lost": 0.1, "answer_lost": 0.1},
]


@pytest.mark.parametrize("faults", FAULTS)
@pytest.mark.parametrize("seed", range(3))
def test_jobs_finish_when_announced_limits_are_reduced_mid_run(
    seed: int, faults: dict[str, float]
) -> None:
    """All nodes are upgraded before the announced reduction, so no write is ever rejected for its
    size. Leaders change before, at and after the reduction."""
    world = run_at_old_limits(seed, **faults)
    upgrade(world)
    world.run(3)
    before = sum("n" in p[2] for i in world.store.range("place/") for p in i["v"]["p"])
    assert not before, "a node of the previous version may still become leader"
    world.subchunks_supported = True
    submit_small_job(world, "wk-000100", 60, 12.0)
    world.run(world.rng.uniform(0, 6))
    reduce_store_limits(world)
    for n in range(4):
        submit_small_job(
            world, f"wk-00020{n}", world.rng.randrange(1, 120), world.rng.uniform(5, 20)
        )
        world.run(world.rng.uniform(0, 8))
        world.elect()
        world.check_placements_are_stored()
    if world.rng.random() < 0.5:
        world.cancel("wk-000200")
    run_until_all_ended(world)
    assert not world.too_large_count
    puts = [e for _, e in world.store.log if e.get("put", "").startswith("place/")]
    assert any("n" in p[2] for e in puts for p in e["v"]["p"]), "chunks were subdivided"


@pytest.mark.parametrize("faults", FAULTS)
@pytest.mark.parametrize("seed", range(1))
def test_large_chunks_wait_until_all_nodes_support_subchunks(
    seed: int, faults: dict[str, float]
) -> None:
    """While one node does not announce support, large chunks can't be subdivided and their records
    are rejected. Other jobs continue, and the large ones finish once all nodes support it."""
    world = run_at_old_limits(seed, **faults)
    upgrade(world)
    reduce_store_limits(world)
    submit_small_job(world, "wk-000100", 20, 5.0)
    world.run(60)
    assert "end/wk-000100" in world.store.keys and world.too_large_count
    assert "end/wk-000000" not in world.store.keys
    world.subchunks_supported = True
    run_until_all_ended(world)


def test_rejected_placement_record_is_retried_rarely() -> None:
    """A record is rejected whenever it is sent as long as its chunk can't be subdivided. Without a
    delay between retries it would use up all writes of the leader."""
    world = run_at_old_limits(0)
    upgrade(world)
    reduce_store_limits(world)
    world.run(20)
    before = world.too_large_count
    assert before
    world.run(60)
    assert 1 <= world.too_large_count - before <= 4, "one chunk is retried once in twenty seconds"


def test_chunk_is_subdivided_until_its_record_is_accepted() -> None:
    """The service may accept less than the settings say; even then every record is written."""
    world = World(51, platform=platform(ANNOUNCED_LIMITS))
    world.subchunks_supported = True
    submit_small_job(world, "wk-000001", 60, 30.0)
    submit_small_job(world, "wk-000002", 3, 5.0)
    world.run(1)
    world.store.value_bytes = 400
    world.run(40)
    assert world.store.too_large_count
    run_until_all_ended(world, 200)
    puts = [e for _, e in world.store.log if e.get("put", "").startswith("place/")]
    subchunk_sizes = {p[2]["n"] for e in puts for p in e["v"]["p"] if "n" in p[2]}
    assert subchunk_sizes and max(subchunk_sizes) < 34


def test_closed_placement_record_is_kept_until_its_jobs_end() -> None:
    """A closed record may be the only stored copy of tasks that have not changed since."""
    world = run_at_old_limits(52)
    large = {
        i["path"]: {p[0] for p in i["v"]["p"]}
        for i in world.store.range("place/")
        if len(orjson.dumps(i["v"])) > 2048
    }
    assert large
    upgrade(world)
    world.subchunks_supported = True
    for _ in range(800):
        world.run(0.5)
        for key, names in large.items():
            if world.store.item(key) is None:
                assert not [j for j in names if world.store.item(f"job/{j}")], key
        world.check_placements_are_stored()
        if world.all_ended():
            break
    world.run(5)
    assert not [k for k in large if world.store.item(k)], "records of finished jobs are deleted"


def test_large_placement_records_are_closed_at_failover() -> None:
    """Changed chunks move to other records at once, not only when their record is too large."""
    world = run_at_old_limits(52)
    large = {i["path"] for i in world.store.range("place/") if len(orjson.dumps(i["v"])) > 2048}
    upgrade(world)
    scheduler = world.scheduler
    assert scheduler is not None
    records, moved = scheduler.transaction_writer.placement_records, 0
    for job in scheduler.jobs.jobs.values():
        for chunk in job.chunks.values():
            if chunk.record_key in large:
                moved += 1
                assert records.record_for(job, chunk).key not in large
    assert moved


def test_chunks_of_new_jobs_fit_the_value_limit() -> None:
    settings = settings_of(ANNOUNCED_LIMITS)
    assert max_tasks_per_chunk(settings.value_bytes) * 48 <= settings.value_bytes
