"""A node that is asked to end (SIGTERM), as a real process on loopback: it hands over, answers what
it holds or refuses it, and takes nothing new.

Each wait ends when its condition holds; only what the node still answers must come within the time
for which it waits (`DRAIN_S`)."""

import http.client
import signal
import subprocess
import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import orjson
import pytest

from eldercart.election.actions import (
    Campaign,
    GrantLease,
    KeepLeaseAlive,
    ReadLeaderKey,
    RevokeLease,
)
from eldercart.election.state_machine import Election, Role
from eldercart.units import LeaseId, MonotonicTime, NodeId, Revision
from eldercart.wire.state import Item, Transaction
from region import LIMIT_S, Region, Service, call, until
from world import submission


class SlowRegion(Region):
    """The state service keeps the records of new jobs waiting until `go`."""

    def __init__(self) -> None:
        self.go = threading.Event()
        self.held = threading.Event()
        super().__init__()

    def state(self, method: str, path: str, body: bytes) -> tuple[int, Any]:
        if path == "/txn" and b'"put":"job/' in body:
            self.held.set()
            self.go.wait(LIMIT_S)
        return super().state(method, path, body)


@pytest.fixture
def region() -> Iterator[SlowRegion]:
    region = SlowRegion()
    yield region
    region.go.set()
    region.stop.set()
    for server in region.servers:
        server.shutdown()
        server.server_close()


@pytest.fixture
def node(region: SlowRegion, tmp_path: Path) -> Iterator[Service]:
    node = Service(region, tmp_path)
    until(lambda: b'"leader"' in call(node.front, "GET", "/status")[1])
    yield node
    node.process.kill()
    node.process.wait()


class Kept:
    """A connection that is kept open, as users and load balancers do."""

    def __init__(self, server: str) -> None:
        self.connection = http.client.HTTPConnection(server, timeout=LIMIT_S)
        self.connection.connect()

    def ask(self, method: str, path: str, body: bytes | None = None) -> http.client.HTTPResponse:
        self.connection.request(method, path, body)
        response = self.connection.getresponse()
        response.read()
        return response


def submit_in_background(
    region: SlowRegion, node: Service, job: str, answers: list[Any]
) -> threading.Thread:
    kept = Kept(node.front)

    def run() -> None:
        body = orjson.dumps(submission(job))
        answer = kept.ask("POST", "/work", body)
        while not region.held.is_set():  # refused before it was held, as a busy node may
            answer = kept.ask("POST", "/work", body)
        answers.append(answer)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    return thread


def exit_code(process: subprocess.Popen[bytes]) -> int:
    return process.wait(LIMIT_S)


def ask_to_end(node: Service) -> None:
    """Until it opens no new connection."""
    node.process.send_signal(signal.SIGTERM)
    until(lambda: call(node.front, "GET", "/healthz")[0] == 0)


def test_what_is_held_is_answered(region: SlowRegion, node: Service) -> None:
    answers: list[http.client.HTTPResponse] = []
    thread = submit_in_background(region, node, "wk-000001", answers)
    assert region.held.wait(LIMIT_S)
    ask_to_end(node)
    assert node.process.poll() is None
    region.go.set()
    thread.join(LIMIT_S)
    assert answers[0].status == 201, "the record was written, and its user is told so"
    assert answers[0].getheader("connection") == "close"
    assert exit_code(node.process) == 0
    assert region.store.item("job/wk-000001") is not None


def test_the_hold_is_dropped_before_what_is_held_is_answered(
    region: SlowRegion, node: Service
) -> None:
    """So that another node leads while this one still waits."""
    answers: list[http.client.HTTPResponse] = []
    thread = submit_in_background(region, node, "wk-000001", answers)
    assert region.held.wait(LIMIT_S)
    assert region.store.item("lead") is not None
    node.process.send_signal(signal.SIGTERM)
    until(lambda: region.store.item("lead") is None)
    assert not answers
    region.go.set()
    thread.join(LIMIT_S)
    assert exit_code(node.process) == 0


def test_what_comes_on_kept_connections_is_refused(region: SlowRegion, node: Service) -> None:
    """Another node can answer it, so each connection is closed with the refusal."""
    asking = [Kept(node.front) for _ in range(3)]
    assert [kept.ask("GET", "/healthz").status for kept in asking] == [200] * 3
    submit_in_background(region, node, "wk-000001", [])
    assert region.held.wait(LIMIT_S)
    ask_to_end(node)
    refused = [
        asking[0].ask("GET", "/healthz"),
        asking[1].ask("POST", "/work", orjson.dumps(submission("wk-000002"))),
        asking[2].ask("POST", "/v1/report", b"{}"),
    ]
    assert [r.status for r in refused] == [503, 503, 421]
    assert [r.getheader("retry-after") is not None for r in refused] == [True, True, False]
    assert all(r.getheader("connection") == "close" for r in refused)
    assert exit_code(node.process) == 0
    assert region.store.item("job/wk-000002") is None


def test_what_can_not_be_answered_is_refused(region: SlowRegion, node: Service) -> None:
    answers: list[http.client.HTTPResponse] = []
    thread = submit_in_background(region, node, "wk-000001", answers)
    assert region.held.wait(LIMIT_S)
    node.process.send_signal(signal.SIGTERM)
    thread.join(LIMIT_S)  # the state service says nothing all the while
    assert answers[0].status == 503 and answers[0].getheader("retry-after") is not None
    assert exit_code(node.process) == 0


def test_a_node_without_requests_ends_at_once(region: SlowRegion, node: Service) -> None:
    node.process.send_signal(signal.SIGTERM)
    assert exit_code(node.process) == 0
    assert region.store.item("lead") is None


# -- the election's part


NOW = MonotonicTime(100.0)


def elected() -> Election:
    election = Election(NodeId("n"), 3.0, 0.02)
    election.on_leader_key_read(None, NOW)
    assert isinstance(election.next_action(NOW), GrantLease)
    election.on_lease_granted(LeaseId(4), NOW)
    assert isinstance(election.next_action(NOW), Campaign)
    return election


def test_a_retired_leader_drops_its_hold_and_claims_no_more() -> None:
    election = elected()
    election.on_campaign_result(Revision(9), NOW)
    election.resign_permanently(NOW)
    assert election.role is Role.FOLLOWER and election.is_handing_over
    assert election.next_action(NOW) == RevokeLease(LeaseId(4))
    election.on_lease_revoked(NOW)
    assert not election.is_handing_over
    assert isinstance(election.next_action(NOW), ReadLeaderKey)
    election.on_leader_key_read(None, NOW)
    for seconds in range(1, 100):
        assert election.next_action(MonotonicTime(NOW + seconds)) in (None, ReadLeaderKey())
        election.on_leader_key_read(None, MonotonicTime(NOW + seconds))


@pytest.mark.parametrize("answered", [True, False])
def test_a_claim_under_way_makes_no_leader_that_stays(answered: bool) -> None:
    """Its answer may come after the node was asked to end, or be lost and the key be read."""
    election = elected()
    election.resign_permanently(NOW)
    if answered:
        election.on_campaign_result(Revision(9), NOW)
    else:
        claim = {"node": "n", "life": election.incarnation}
        election.on_leader_key_read(Item("lead", claim, Revision(9), LeaseId(4)), NOW)
    assert election.role is Role.LEADER
    election.resign_permanently(NOW)
    assert election.next_action(NOW) == RevokeLease(LeaseId(4))


def test_a_retired_leader_waits_for_its_renewal() -> None:
    """One action is under way at a time; then the lease goes."""
    election = elected()
    election.on_campaign_result(Revision(9), NOW)
    assert isinstance(election.next_action(NOW), KeepLeaseAlive)
    election.resign_permanently(NOW)
    assert election.next_action(NOW) is None
    election.on_keep_alive(True, NOW)
    assert election.next_action(NOW) == RevokeLease(LeaseId(4))


@pytest.mark.parametrize("under_way", ["a claim", "a revocation that was refused"])
def test_hands_over_until_the_key_is_surely_gone(under_way: str) -> None:
    """A process that ends while its key may be there leaves the nodes without a leader until the
    lease has run out."""
    election = elected()
    if under_way == "a claim":
        election.resign_permanently(NOW)
    else:
        election.on_campaign_result(Revision(9), NOW)
        election.resign_permanently(NOW)
        revocation = election.next_action(NOW)
        assert isinstance(revocation, RevokeLease)
        election.on_action_failed(revocation, NOW)
    assert election.is_handing_over


def test_a_retired_node_revokes_the_lease_of_a_claim_without_an_answer() -> None:
    """The claim may be carried out after the process has ended, unless its lease is gone first."""
    election = elected()
    election.resign_permanently(NOW)
    election.on_action_failed(Campaign(Transaction({})), NOW)
    assert election.is_handing_over
    assert election.next_action(NOW) == RevokeLease(LeaseId(4))
    election.on_lease_revoked(NOW)
    assert not election.is_handing_over


def test_a_refused_revocation_is_repeated_with_reads_between() -> None:
    """What the key holds meanwhile may be another node's."""
    election = elected()
    election.on_campaign_result(Revision(9), NOW)
    election.resign_permanently(NOW)
    revocation = election.next_action(NOW)
    assert isinstance(revocation, RevokeLease)
    election.on_action_failed(revocation, NOW)
    assert election.next_action(NOW) is None, "after a pause"
    later = MonotonicTime(NOW + 0.3)
    assert isinstance(election.next_action(later), ReadLeaderKey)
    election.on_leader_key_read(None, later)
    assert election.next_action(MonotonicTime(NOW + 1.0)) == revocation
