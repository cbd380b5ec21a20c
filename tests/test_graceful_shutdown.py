"""Graceful shutdown (SIGTERM) of a node that runs as a real process on loopback.

The node hands over the leadership, answers or refuses its pending requests, and accepts no new
ones. Each wait ends when its condition holds; only the answers that the node still sends must
arrive within the time for which it drains (`DRAIN_TIMEOUT_S`).
"""

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
from loopback_region import LIMIT_S, NodeProcess, Region, call, wait_until
from world import submission


class SlowRegion(Region):
    """A region whose state service delays the records of new jobs until `may_answer` is set."""

    def __init__(self) -> None:
        self.may_answer = threading.Event()
        self.has_delayed_request = threading.Event()
        super().__init__()

    def handle_store_request(self, method: str, path: str, body: bytes) -> tuple[int, Any]:
        if path == "/txn" and b'"put":"job/' in body:
            self.has_delayed_request.set()
            self.may_answer.wait(LIMIT_S)
        return super().handle_store_request(method, path, body)


@pytest.fixture
def region() -> Iterator[SlowRegion]:
    region = SlowRegion()
    yield region
    region.may_answer.set()
    region.stop.set()
    for server in region.servers:
        server.shutdown()
        server.server_close()


@pytest.fixture
def node(region: SlowRegion, tmp_path: Path) -> Iterator[NodeProcess]:
    node = NodeProcess(region, tmp_path)
    wait_until(lambda: b'"leader"' in call(node.front, "GET", "/status")[1])
    yield node
    node.process.kill()
    node.process.wait()


class PersistentConnection:
    """A keep-alive HTTP connection, as users and load balancers hold it."""

    def __init__(self, server: str) -> None:
        self.connection = http.client.HTTPConnection(server, timeout=LIMIT_S)
        self.connection.connect()

    def ask(self, method: str, path: str, body: bytes | None = None) -> http.client.HTTPResponse:
        self.connection.request(method, path, body)
        response = self.connection.getresponse()
        response.read()
        return response


def submit_in_background(
    region: SlowRegion, node: NodeProcess, job: str, answers: list[Any]
) -> threading.Thread:
    connection = PersistentConnection(node.front)

    def run() -> None:
        body = orjson.dumps(submission(job))
        answer = connection.ask("POST", "/work", body)
        # A busy node may refuse the submission before it reaches the state service.
        while not region.has_delayed_request.is_set():
            answer = connection.ask("POST", "/work", body)
        answers.append(answer)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    return thread


def exit_code(process: subprocess.Popen[bytes]) -> int:
    return process.wait(LIMIT_S)


def terminate(node: NodeProcess) -> None:
    """Send SIGTERM and wait until the node accepts no new connection."""
    node.process.send_signal(signal.SIGTERM)
    wait_until(lambda: call(node.front, "GET", "/healthz")[0] == 0)


def test_pending_submission_is_answered_before_the_node_exits(
    region: SlowRegion, node: NodeProcess
) -> None:
    answers: list[http.client.HTTPResponse] = []
    thread = submit_in_background(region, node, "wk-000001", answers)
    assert region.has_delayed_request.wait(LIMIT_S)
    terminate(node)
    assert node.process.poll() is None
    region.may_answer.set()
    thread.join(LIMIT_S)
    assert answers[0].status == 201, "the record was written, so the user must get 201"
    assert answers[0].getheader("connection") == "close"
    assert exit_code(node.process) == 0
    assert region.store.item("job/wk-000001") is not None


def test_leader_key_is_released_before_pending_requests_are_answered(
    region: SlowRegion, node: NodeProcess
) -> None:
    """Another node must be able to lead while this one still waits for the state service."""
    answers: list[http.client.HTTPResponse] = []
    thread = submit_in_background(region, node, "wk-000001", answers)
    assert region.has_delayed_request.wait(LIMIT_S)
    assert region.store.item("lead") is not None
    node.process.send_signal(signal.SIGTERM)
    wait_until(lambda: region.store.item("lead") is None)
    assert not answers
    region.may_answer.set()
    thread.join(LIMIT_S)
    assert exit_code(node.process) == 0


def test_requests_on_open_connections_are_refused_during_shutdown(
    region: SlowRegion, node: NodeProcess
) -> None:
    """Another node can serve the client, so the refusal also closes the connection."""
    connections = [PersistentConnection(node.front) for _ in range(3)]
    assert [connection.ask("GET", "/healthz").status for connection in connections] == [200] * 3
    submit_in_background(region, node, "wk-000001", [])
    assert region.has_delayed_request.wait(LIMIT_S)
    terminate(node)
    refused = [
        connections[0].ask("GET", "/healthz"),
        connections[1].ask("POST", "/work", orjson.dumps(submission("wk-000002"))),
        connections[2].ask("POST", "/v1/report", b"{}"),
    ]
    assert [r.status for r in refused] == [503, 503, 421]
    assert [r.getheader("retry-after") is not None for r in refused] == [True, True, False]
    assert all(r.getheader("connection") == "close" for r in refused)
    assert exit_code(node.process) == 0
    assert region.store.item("job/wk-000002") is None


def test_pending_submission_is_refused_if_the_store_does_not_respond(
    region: SlowRegion, node: NodeProcess
) -> None:
    answers: list[http.client.HTTPResponse] = []
    thread = submit_in_background(region, node, "wk-000001", answers)
    assert region.has_delayed_request.wait(LIMIT_S)
    node.process.send_signal(signal.SIGTERM)
    thread.join(LIMIT_S)  # the state service does not respond meanwhile
    assert answers[0].status == 503 and answers[0].getheader("retry-after") is not None
    assert exit_code(node.process) == 0


def test_idle_node_exits_and_releases_the_leader_key(region: SlowRegion, node: NodeProcess) -> None:
    node.process.send_signal(signal.SIGTERM)
    assert exit_code(node.process) == 0
    assert region.store.item("lead") is None


# -- the election state machine


NOW = MonotonicTime(100.0)


def election_with_campaign_in_flight() -> Election:
    election = Election(NodeId("n"), 3.0, 0.02)
    election.on_leader_key_read(None, NOW)
    assert isinstance(election.next_action(NOW), GrantLease)
    election.on_lease_granted(LeaseId(4), NOW)
    assert isinstance(election.next_action(NOW), Campaign)
    return election


def test_leader_revokes_its_lease_and_never_campaigns_after_permanent_resignation() -> None:
    election = election_with_campaign_in_flight()
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
def test_campaign_won_after_resignation_is_revoked(answered: bool) -> None:
    """The campaign's response arrives after the resignation, or is lost and the key is read."""
    election = election_with_campaign_in_flight()
    election.resign_permanently(NOW)
    if answered:
        election.on_campaign_result(Revision(9), NOW)
    else:
        record = {"node": "n", "life": election.incarnation}
        election.on_leader_key_read(Item("lead", record, Revision(9), LeaseId(4)), NOW)
    assert election.role is Role.LEADER
    election.resign_permanently(NOW)
    assert election.next_action(NOW) == RevokeLease(LeaseId(4))


def test_lease_is_revoked_after_the_keep_alive_in_flight() -> None:
    """Only one action is in flight at a time, so the revocation follows the keep-alive."""
    election = election_with_campaign_in_flight()
    election.on_campaign_result(Revision(9), NOW)
    assert isinstance(election.next_action(NOW), KeepLeaseAlive)
    election.resign_permanently(NOW)
    assert election.next_action(NOW) is None
    election.on_keep_alive(True, NOW)
    assert election.next_action(NOW) == RevokeLease(LeaseId(4))


@pytest.mark.parametrize("in_flight", ["a claim", "a revocation that was refused"])
def test_hand_over_lasts_as_long_as_the_leader_key_may_exist(in_flight: str) -> None:
    """No node could lead until the lease expires if the process exited while its key may exist."""
    election = election_with_campaign_in_flight()
    if in_flight == "a claim":
        election.resign_permanently(NOW)
    else:
        election.on_campaign_result(Revision(9), NOW)
        election.resign_permanently(NOW)
        revocation = election.next_action(NOW)
        assert isinstance(revocation, RevokeLease)
        election.on_action_failed(revocation, NOW)
    assert election.is_handing_over


def test_resigned_node_revokes_the_lease_of_an_unanswered_campaign() -> None:
    """The campaign may be applied after the process has exited, unless its lease is revoked."""
    election = election_with_campaign_in_flight()
    election.resign_permanently(NOW)
    election.on_action_failed(Campaign(Transaction({})), NOW)
    assert election.is_handing_over
    assert election.next_action(NOW) == RevokeLease(LeaseId(4))
    election.on_lease_revoked(NOW)
    assert not election.is_handing_over


def test_refused_revocation_is_retried_with_key_reads_in_between() -> None:
    """Another node may become the holder of the leader key between the retries."""
    election = election_with_campaign_in_flight()
    election.on_campaign_result(Revision(9), NOW)
    election.resign_permanently(NOW)
    revocation = election.next_action(NOW)
    assert isinstance(revocation, RevokeLease)
    election.on_action_failed(revocation, NOW)
    assert election.next_action(NOW) is None, "the retry must wait for the delay"
    later = MonotonicTime(NOW + 0.3)
    assert isinstance(election.next_action(later), ReadLeaderKey)
    election.on_leader_key_read(None, later)
    assert election.next_action(MonotonicTime(NOW + 1.0)) == revocation
