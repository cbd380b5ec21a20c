"""The leader alone loses the state service, another one confirms cancellations, and then nobody
has it for longer than the workers may take to be rid of the tasks."""

from types import SimpleNamespace
from typing import Any

import orjson
import pytest

from eldercart.cluster.heartbeat_relay import HeartbeatRelay, leader_lease_start, lease_extension_s
from eldercart.jobs.job import PlacementPhase
from eldercart.scheduling.scheduler import Scheduler, TransactionOutcome
from eldercart.server.peers.relay_service import RelayService
from eldercart.settings import load_tuning
from eldercart.settings.platform import parse_platform
from eldercart.units import FencingToken, JobId, MachineId, MonotonicTime, NodeId, Revision
from eldercart.wire import peers, workers
from relay_world import RelayWorld
from simulators import WorkerSim
from test_core import finish
from world import PLATFORM, World

LEADER_LEASE = (100.0, 102.0)  # when the last renewal was sent, and until when it holds


@pytest.mark.parametrize(
    ("name", "heard", "spare", "now", "expected"),
    [
        ("the store serves it", [101.0, 101.0], 8.0, 101.5, 101.0),
        ("an outage, and every node is heard", [150.0, 149.0], 8.0, 151.0, 149.0),
        ("one is not heard: it may lead, but the time allows it", [108.0, 90.0], 8.0, 109.0, 108.0),
        ("one is not heard for longer", [150.0, 90.0], 8.0, 151.0, 110.0),
        ("one was never heard", [150.0, -1e9], 8.0, 151.0, 110.0),
        ("none is heard", [90.0, 90.0], 8.0, 151.0, 100.0),
        ("settings that leave no time", [150.0, 90.0], -3.0, 151.0, 102.0),
        ("no other node", [], 8.0, 151.0, 151.0),
    ],
)
def test_what_a_leaders_grant_counts_from(
    name: str, heard: list[float], spare: float, now: float, expected: float
) -> None:
    seen, until = LEADER_LEASE
    got = leader_lease_start(
        MonotonicTime(seen),
        MonotonicTime(until),
        [MonotonicTime(h) for h in heard],
        spare,
        MonotonicTime(now),
    )
    assert got == expected, name


@pytest.mark.parametrize("lease_s", [5.0, 10.0, 14.0])
@pytest.mark.parametrize("share", [0.2, 0.4, 0.6])
def test_spare_leaves_time_for_two_grants_and_a_lease(lease_s: float, share: float) -> None:
    """The worst case step by step: cancelled as the lease ends, the last contact at the end of the
    spare time, a relay that asks as that grant ends, a worker answered as its grant ends."""
    cancel_s, drift, grant_s = 34.0, 0.02, share * lease_s
    spare = lease_extension_s(cancel_s, lease_s, grant_s, drift)
    last_answer = max(0.0, spare) + 2 * grant_s
    if spare > 0:
        assert last_answer + lease_s * (1 + drift) < cancel_s * (1 - drift)


def granted(epoch: int, at: float) -> HeartbeatRelay:
    r = HeartbeatRelay(NodeId("n1"), 4.0, 0.0)
    r.renew_lease(FencingToken(epoch), NodeId("n0"), MonotonicTime(at), MonotonicTime(at))
    return r


def test_a_grant_ends_soon_after_the_word_of_a_higher_epoch() -> None:
    r = granted(5, 0.0)
    r.observe_newer_token(FencingToken(4), MonotonicTime(1.0))
    assert r.holds_lease(MonotonicTime(3.9)), "an older epoch tells nothing"
    r.observe_newer_token(FencingToken(9), MonotonicTime(1.0))
    assert r.holds_lease(MonotonicTime(2.9)) and not r.holds_lease(MonotonicTime(3.1))
    # The old leader has not heard it yet and goes on granting; so does a late look at the key.
    r.renew_lease(FencingToken(5), NodeId("n0"), MonotonicTime(1.5), MonotonicTime(1.6))
    r.confirm_token(FencingToken(5), MonotonicTime(1.6))
    assert not r.holds_lease(MonotonicTime(3.1))
    r.renew_lease(FencingToken(9), NodeId("n2"), MonotonicTime(2.0), MonotonicTime(2.2))
    assert r.holds_lease(MonotonicTime(5.9)) and r.leader == "n2" and r.token == 9


def loaded_world(seed: int, **faults: object) -> RelayWorld:
    w = RelayWorld(seed, capacity=8, **faults)
    for i in range(6):
        w.submit(f"wk-{i}", parcels=8, runS=200.0, run_s=200.0, cpus=2.0)
    w.run(40.0)
    assert sum(len(m.on()) for m in w.cloud.machines.values()) > 20
    return w


def cancel_all(w: World) -> None:
    for job in list(w.jobs):
        w.cancel(job)
    end = w.now + 2.0
    while len(w.cancelled_at) < len(w.jobs) and w.now < end:
        w.step(0.1)
    assert len(w.cancelled_at) == len(w.jobs), "not confirmed"


@pytest.mark.parametrize("order_lost", [0.0, 0.5])
@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_cancelled_tasks_go_although_their_workers_report_to_the_old_leader(
    seed: int, order_lost: float
) -> None:
    """Without direct commands the new leader would hear nothing of these machines, see them answer
    `/show`, and have to delete them all."""
    w = loaded_world(seed, order_lost=order_lost)
    w.stale = set(w.cloud.machines)
    assert w.scheduler is not None
    w.stale_epoch = w.scheduler.token
    w.elect()
    cancel_all(w)
    w.outage_until = w.now + 46.0
    machines = len(w.cloud.machines)
    w.run(12.0 if order_lost == 0.0 else 20.0)
    assert not any(m.on() for m in w.cloud.machines.values())
    assert w.orders > 0
    assert len(w.cloud.machines) >= machines - 1, "deleted although it could be told"
    w.run(40.0)  # the rules are looked at all the time
    finish(w)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_machine_that_can_not_be_proven_clean_is_deleted_in_time(seed: int) -> None:
    """No command reaches them, and the old leader keeps their leases alive for ever: without the
    deletion the cancelled tasks would run on."""
    w = loaded_world(seed)
    victims = sorted(m.id for m in w.cloud.machines.values() if m.on())[:3]
    w.stale = set(victims)
    assert w.scheduler is not None
    w.stale_epoch = w.scheduler.token
    w.elect()

    def only_shows(c: Scheduler, now: MonotonicTime) -> None:
        for name in victims:
            c.record_probe_success(MachineId(name), now)  # so that silence alone does not delete it

    w.serve_orders = only_shows  # type: ignore[method-assign]
    cancel_all(w)
    w.outage_until = w.now + 46.0
    w.run(46.0)
    assert not set(victims) & set(w.cloud.machines)
    finish(w)


def test_machine_that_waits_for_its_deletion_is_told_directly() -> None:
    """The cloud is out as well, and its reports are answered for an earlier leader: without the
    order the cancelled task would run until the cloud is back."""
    w = loaded_world(2, order_lost=0.5)
    assert w.scheduler is not None
    w.stale, w.stale_epoch = set(w.cloud.machines), w.scheduler.token
    w.elect()
    w.run(9.0)  # the list names them by then
    w.cloud_down_until = w.now + 60.0
    w.outage_until = w.now + 0.1
    for m in list(w.scheduler.inventory.machines.values()):
        w.scheduler.cluster_state.request_deletion(m, MonotonicTime(w.now))
    w.run(0.5)
    cancel_all(w)
    w.outage_until = w.now + 50.0
    w.run(25.0)
    assert not any(m.on() for m in w.cloud.machines.values())
    w.run(30.0)


class CancelledTaskFixture:
    """A leader with one machine on which a cancelled task runs."""

    def __init__(self) -> None:
        self.w = World(3, capacity=1)
        self.w.submit("wk-1", parcels=1, run_s=500.0, cpus=2.0)
        self.w.run(20.0)
        (self.machine,) = self.w.cloud.machines.values()
        assert self.machine.on()

    @property
    def c(self) -> Scheduler:
        assert self.w.scheduler is not None
        return self.w.scheduler

    def stopping(self) -> bool:
        return any(
            p.is_terminating and p.phase is not PlacementPhase.ENDED
            for j in self.c.jobs.jobs.values()
            for p in j.placements()
        )


def report_of(m: WorkerSim, **changes: object) -> object:
    return workers.parse_heartbeat(m.report() | changes)


@pytest.mark.parametrize(
    ("name", "executed", "after", "changes", "clean"),
    [
        ("obeyed", True, 5.0, {"parcels": []}, True),
        ("obeyed, but a launch may still be under way", True, 1.0, {"parcels": []}, False),
        ("another session: nothing was executed", False, 5.0, {"parcels": [], "stint": 2}, False),
        ("under an older epoch", True, 5.0, {"parcels": [], "whip": 0}, False),
        ("older than what is known", True, 5.0, {"parcels": [], "tally": 1}, False),
        ("still there", True, 5.0, {}, False),
    ],
)
def test_what_the_answer_to_a_direct_command_proves(
    name: str, executed: bool, after: float, changes: dict[str, object], clean: bool
) -> None:
    a = CancelledTaskFixture()
    a.w.cancel("wk-1")
    assert a.stopping()
    now = MonotonicTime(a.w.now + after)
    report = report_of(a.machine, **changes)
    a.c.on_direct_kill_response(report, now, now, executed=executed)  # type: ignore[arg-type]
    assert a.stopping() is not clean, name


def test_direct_command_to_a_new_session_goes_out_again_at_once() -> None:
    a = CancelledTaskFixture()
    a.w.cancel("wk-1")
    a.c.cluster_state.pending_commands.request_direct_kill(MachineId(a.machine.id))
    now = MonotonicTime(a.w.now + 3.0)
    (order,) = a.c.take_direct_kills(now)
    assert order.agent_epoch == 1 and len(order.commands) == 1
    assert a.c.take_direct_kills(MonotonicTime(now + 0.5)) == [], "not while an answer may come"
    a.c.on_direct_kill_response(report_of(a.machine, stint=4), now, now, executed=False)  # type: ignore[arg-type]
    (again,) = a.c.take_direct_kills(MonotonicTime(now + 0.6))
    assert again.agent_epoch == 4
    # The same once more is not a new session: no loop of questions and answers.
    a.c.on_direct_kill_response(report_of(a.machine, stint=4), now, now, executed=False)  # type: ignore[arg-type]
    assert a.c.take_direct_kills(MonotonicTime(now + 0.7)) == []


class RelayServiceFixture:
    """The relaying part of a node with two peers, without sockets."""

    def __init__(self) -> None:
        platform = PLATFORM | {
            "members": [
                {"label": f"drover-{i}", "location": "a", "endpoint": f"127.0.0.1:{i}"}
                for i in (1, 2)
            ]
        }
        self.now = 100.0
        self.sent: list[dict[str, Any]] = []
        self.seen: list[int] = []
        settings = parse_platform(platform)
        tuning = load_tuning()
        election = SimpleNamespace(
            token=5, leader="drover-0", lease_confirmed_at=99.0, lease_expires_at=101.0
        )
        store = SimpleNamespace(
            failing_since=None,
            lend_tokens=lambda n, now: 0,
            receive_tokens=lambda n, now: None,
            rate_limit_backoff=SimpleNamespace(
                record_peer_backoff=lambda s, now: None,
                remaining_s=lambda now: 0.0,
                reduction_count=0,
            ),
            update_rates=lambda now: None,
            last_success_at=99.0,
            missing_tokens=lambda now: 0,
        )
        self.leader_service = SimpleNamespace(
            is_active=True, record_relayed_heartbeats=lambda *a: None
        )
        self.election_service = SimpleNamespace(has_read_leader_key=True)
        node = SimpleNamespace(
            settings=settings,
            tuning=tuning,
            clock=lambda: self.now,
            election=election,
            store=store,
            leader_service=self.leader_service,
            election_service=self.election_service,
            observe_token=lambda epoch, how: self.seen.append(epoch),
            supported_features=peers.SUPPORTED_FEATURES,
        )
        self.node = node
        self.r = RelayService(node)  # type: ignore[arg-type]

    def tick(self, at: float) -> None:
        self.now = at
        self.r.tick(MonotonicTime(at))

    def greeted(self, peer: str, asked: float, at: float, **changes: Any) -> None:
        """The peer's answer to the greeting sent at `asked`."""
        link = self.r.links[NodeId(peer)]
        link.pending_heartbeats[7] = MonotonicTime(asked)
        self.now = at
        values = {"epoch": FencingToken(5), "leads": False, "ready": True} | changes
        g = peers.PeerHeartbeatAck(
            7, values["epoch"], values["leads"], False, 0, None, 0, is_ready=values["ready"]
        )
        self.r._on_reply_frame(link, peers.parse_frame(peers.encode_peer_heartbeat_ack(g)))

    def grants(self, at: float) -> bool:
        """Whether a relay that asks now is granted anything."""
        self.now = at
        channel = SimpleNamespace(
            peer=None, send=lambda data: self.sent.append(peers.parse_frame(data))
        )
        g = peers.PeerHeartbeat(NodeId("drover-2"), 1, FencingToken(5), False, 0, 0, ())
        self.r._on_request_frame(channel, peers.parse_frame(peers.encode_peer_heartbeat(g)))  # type: ignore[arg-type]
        return bool(self.sent[-1]["leads"])


@pytest.mark.parametrize(
    ("name", "answers", "until"),
    [
        # A grant is 4 s here (0.4 of a lease of 10 s, less the drift), spare 30 s of `cancel_s`
        # less a lease, two grants and a second, less the drift: 10.2 s after the lease ends at 101.
        ("nobody is heard", [], 103.0),
        ("every node is heard all the time", ["drover-1", "drover-2"], 150.0),
        ("one of two is heard all the time", ["drover-1"], 115.12),
    ],
)
def test_a_leader_that_the_store_refuses_grants_for_so_long(
    name: str, answers: list[str], until: float
) -> None:
    here = RelayServiceFixture()
    here.node.store.failing_since = MonotonicTime(100.0)
    last = 0.0
    for tenths in range(1000, 1500):
        at = tenths / 10
        for peer in answers:
            here.greeted(peer, at - 0.1, at)
        here.tick(at)
        if here.grants(at):
            last = at
    assert until - 1.0 <= last <= until, name


@pytest.mark.parametrize(
    ("name", "changes", "holds"),
    [
        ("vouches", {}, True),
        ("has not read the leader key since its start", {"ready": False}, False),
    ],
)
def test_who_vouches_that_nobody_else_leads(
    name: str, changes: dict[str, Any], holds: bool
) -> None:
    here = RelayServiceFixture()
    here.node.store.failing_since = MonotonicTime(100.0)
    for tenths in range(1000, 1400):
        at = tenths / 10
        here.greeted("drover-1", at - 0.1, at)
        here.greeted("drover-2", at - 0.1, at, **changes)
        here.tick(at)
    assert here.grants(140.0) is holds, name


def test_an_answer_that_waited_while_this_node_slept_proves_nothing() -> None:
    here = RelayServiceFixture()
    here.node.store.failing_since = MonotonicTime(100.0)
    here.greeted("drover-1", 100.0, 130.0)
    here.greeted("drover-2", 100.0, 130.0)
    here.tick(130.0)
    assert not here.grants(130.0)


def test_the_word_of_a_higher_epoch_ends_the_grant_and_asks_for_another() -> None:
    here = RelayServiceFixture()
    here.leader_service.is_active = False
    here.r.relay.renew_lease(
        FencingToken(5), NodeId("drover-1"), MonotonicTime(100.0), MonotonicTime(100.0)
    )
    link = here.r.links[NodeId("drover-2")]
    link.last_heartbeat_at = MonotonicTime(100.0)
    here.now = 100.5
    channel = SimpleNamespace(peer=None, send=lambda data: None)
    g = peers.PeerHeartbeat(NodeId("drover-2"), 1, FencingToken(9), False, 0, 0, ())
    here.r._on_request_frame(channel, peers.parse_frame(peers.encode_peer_heartbeat(g)))  # type: ignore[arg-type]
    assert here.seen == [9] and link.last_heartbeat_at < 0, "asked at once"
    assert here.r.relay.holds_lease(MonotonicTime(102.4)) and not here.r.relay.holds_lease(
        MonotonicTime(102.6)
    )


class RelayingFixture(RelayServiceFixture):
    """A node that does not lead; what it holds for users and workers, and what they get."""

    LEADER = NodeId("drover-1")

    def __init__(self) -> None:
        super().__init__()
        self.leader_service.is_active = False
        self.node.election.leader = self.LEADER
        self.answers: list[Any] = []
        self.link = self.r.links[self.LEADER]
        transport = SimpleNamespace(disconnecting=False, doWrite=lambda: None)
        self.channel: Any = SimpleNamespace(transport=transport, send=lambda data: None)
        self.link._on_connection_made(self.channel)
        self.link._last_received_at = MonotonicTime(200.0)  # its silence is another matter
        self.grant(100.0)

    def grant(self, asked: float) -> None:
        """For 3.92 s from when it was asked for."""
        self.r.relay.renew_lease(
            FencingToken(5), self.LEADER, MonotonicTime(asked), MonotonicTime(asked)
        )

    def hold(self, what: str, at: float, flushed: bool) -> None:
        """A poll, a cancellation or a worker's report, on its way to the leader."""
        self.now = at
        if what == "report":
            body = b'{"wagon":"n-1","stint":1,"tally":2,"whip":5,"recallS":null,"parcels":[]}'
            request: Any = SimpleNamespace(
                body=lambda: body,
                disconnected=False,
                reply=lambda status, body, retry=None: self.answers.append((status, retry)),
            )
            self.r.heartbeat_forwarding.handle_heartbeat(request)
        else:
            ask = self.r.leader_client.poll if what == "poll" else self.r.leader_client.cancel
            assert ask(JobId("wk-1"), self.answers.append)
        if flushed:
            self.flush()

    def flush(self) -> None:
        self.r.leader_client._flush()
        self.r.heartbeat_forwarding._flush()


LEASE_LIVES, COME_BACK = (200, None), (503, 1)  # what a worker gets, with a grant and without


@pytest.mark.parametrize(
    ("what", "how", "at", "answer"),
    [
        ("poll", "link breaks", 100.3, None),
        ("cancel", "link breaks", 100.3, None),
        ("report", "link breaks", 101.0, LEASE_LIVES),
        ("report", "link breaks after the grant", 104.0, COME_BACK),
        ("poll", "time is over", 102.31, None),
        ("cancel", "time is over", 103.51, None),
        ("report", "time is over", 104.51, COME_BACK),
        ("report", "time is over under a new grant", 104.51, LEASE_LIVES),
        ("poll", "no link to send it on", 101.6, None),
        ("report", "no link to send it on", 101.6, LEASE_LIVES),
        ("report", "no link to send it on, nor a grant", 104.0, COME_BACK),
    ],
)
def test_what_is_held_for_the_leader_is_answered_at_once(
    what: str, how: str, at: float, answer: Any
) -> None:
    """When the link breaks, and when its time is over (0.8 s for a poll, 2 s for a cancellation,
    3 s for a report; looked for each 0.2 s), whatever the leader does, and once."""
    here = RelayingFixture()
    here.hold(what, 101.5 if at > 101.5 else at - 0.2, flushed="no link" not in how)
    if "new grant" in how:
        here.grant(104.0)
    here.tick(at - 0.21 if at > 101.7 else here.now)
    assert not here.answers, "the leader may answer yet"
    here.now = at
    if "breaks" in how:
        here.link._on_connection_lost(here.channel)
    elif "no link" in how:
        # Another one leads by now, whom this node does not reach; the old link stands.
        here.node.election.leader = here.r.relay.leader = NodeId("drover-2")
        here.flush()
    else:
        here.tick(at)
    assert here.answers == [answer]
    here.link._on_connection_lost(here.channel)
    here.flush()
    here.tick(at + 10.0)
    assert here.answers == [answer], "answered twice"


def test_settings_that_leave_no_time_are_said_at_the_start(
    caplog: pytest.LogCaptureFixture,
) -> None:
    short = lease_extension_s(18.0, 10.0, 4.0, 0.02)
    assert short < 0
    with caplog.at_level("WARNING"):
        RelayServiceFixture()
    assert not caplog.records
    platform = orjson.loads(orjson.dumps(PLATFORM))
    platform["settings"]["workers"]["cancel_s"] = 18.0
    settings, here = parse_platform(platform), RelayServiceFixture()
    here.node.settings = settings
    with caplog.at_level("WARNING"):
        RelayService(here.node)  # type: ignore[arg-type]
    assert "cancel_s=18 leaves nothing" in caplog.text


@pytest.mark.parametrize("write", ["answered", "lost", "carried out late"])
@pytest.mark.parametrize("again", [False, True], ids=["", "another leader in the outage"])
@pytest.mark.parametrize("seed", [1, 2])
def test_cancelled_in_the_moment_of_the_refusal(seed: int, again: bool, write: str) -> None:
    """The old leader's write of the end may be in the store without its knowing; the user asks
    again until one confirms. Then the store goes, and the workers still report to the old one."""
    w = loaded_world(seed)
    c = w.scheduler
    assert c is not None
    w.stale, w.stale_epoch = set(w.cloud.machines), c.token
    now = MonotonicTime(w.now)
    w.cancel("wk-0")
    pending = c.next_transaction(now, 2)
    assert pending is not None and [j.id for j, _ in pending.ends] == ["wk-0"]
    if write != "lost":
        status, answer = w.store.txn(pending.transaction.body())
        assert status == 200
    if write == "answered":
        c.on_transaction_result(
            pending, TransactionOutcome.COMMITTED, Revision(answer["ledgerRev"]), (), now
        )
        for job, how in c.take_finished_jobs():
            w.tell(job, how)
    w.elect()
    if write == "carried out late":
        assert w.scheduler is not None
        assert w.scheduler.cancel_job(JobId("wk-0"), MonotonicTime(w.now)) == "aborted"
        w.tell("wk-0", "aborted")
    cancel_all(w)
    w.outage_until = w.now + 46.0
    w.run(4.0)
    if again:
        w.elect()  # as one that was written into the store just before it went
    w.run(26.0)
    assert not any(m.on() for m in w.cloud.machines.values())
    w.run(20.0)
    finish(w)
