"""Relay leases and direct kills after the leader alone has lost the state service.

Meanwhile another leader is elected and confirms cancellations. Then the store is unavailable to all
nodes for longer than the time within which cancelled tasks must end, while workers may still report
to the old leader.
"""

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
from test_scheduler_faults import finish
from world import PLATFORM, World

LEADER_LEASE = (100.0, 102.0)  # the send time of the last renewal, and the time of expiry


@pytest.mark.parametrize(
    ("name", "acknowledged_at", "extension_s", "now", "expected"),
    [
        ("the store answers the leader", [101.0, 101.0], 8.0, 101.5, 101.0),
        ("store outage, all nodes acknowledge", [150.0, 149.0], 8.0, 151.0, 149.0),
        ("one node is silent, within the extension", [108.0, 90.0], 8.0, 109.0, 108.0),
        ("one node is silent beyond the extension", [150.0, 90.0], 8.0, 151.0, 110.0),
        ("one node has never acknowledged", [150.0, -1e9], 8.0, 151.0, 110.0),
        ("no node acknowledges", [90.0, 90.0], 8.0, 151.0, 100.0),
        ("settings leave no extension", [150.0, 90.0], -3.0, 151.0, 102.0),
        ("no other node", [], 8.0, 151.0, 151.0),
    ],
)
def test_leader_lease_start_depends_on_the_store_and_acknowledgements(
    name: str, acknowledged_at: list[float], extension_s: float, now: float, expected: float
) -> None:
    confirmed_at, expires_at = LEADER_LEASE
    got = leader_lease_start(
        MonotonicTime(confirmed_at),
        MonotonicTime(expires_at),
        [MonotonicTime(sent_at) for sent_at in acknowledged_at],
        extension_s,
        MonotonicTime(now),
    )
    assert got == expected, name


@pytest.mark.parametrize("lease_s", [5.0, 10.0, 14.0])
@pytest.mark.parametrize("share", [0.2, 0.4, 0.6])
def test_lease_extension_leaves_time_for_two_relay_leases_and_a_worker_lease(
    lease_s: float, share: float
) -> None:
    """Checks the worst case step by step.

    The cancellation is confirmed as the leader lease ends. The old leader's last contact is at the
    end of the extension, another relay renews its lease as the old leader's own relay lease ends,
    and a worker is answered as the lease of that other relay ends.
    """
    cancel_s, drift, relay_lease_s = 34.0, 0.02, share * lease_s
    extension_s = lease_extension_s(cancel_s, lease_s, relay_lease_s, drift)
    last_answer = max(0.0, extension_s) + 2 * relay_lease_s
    if extension_s > 0:
        assert last_answer + lease_s * (1 + drift) < cancel_s * (1 - drift)


def relay_with_lease(token: int, at: float) -> HeartbeatRelay:
    relay = HeartbeatRelay(NodeId("n1"), 4.0, 0.0)
    relay.renew_lease(FencingToken(token), NodeId("n0"), MonotonicTime(at), MonotonicTime(at))
    return relay


def test_relay_lease_is_shortened_once_a_higher_token_is_observed() -> None:
    relay = relay_with_lease(5, 0.0)
    relay.observe_newer_token(FencingToken(4), MonotonicTime(1.0))
    assert relay.holds_lease(MonotonicTime(3.9)), "a lower token must not shorten the lease"
    relay.observe_newer_token(FencingToken(9), MonotonicTime(1.0))
    assert relay.holds_lease(MonotonicTime(2.9)) and not relay.holds_lease(MonotonicTime(3.1))
    # The old leader does not know the higher token yet and still renews the lease, and a late read
    # of the leader key still confirms the old token. Neither may extend the lease.
    relay.renew_lease(FencingToken(5), NodeId("n0"), MonotonicTime(1.5), MonotonicTime(1.6))
    relay.confirm_token(FencingToken(5), MonotonicTime(1.6))
    assert not relay.holds_lease(MonotonicTime(3.1))
    relay.renew_lease(FencingToken(9), NodeId("n2"), MonotonicTime(2.0), MonotonicTime(2.2))
    assert relay.holds_lease(MonotonicTime(5.9)) and relay.leader == "n2" and relay.token == 9


def loaded_world(seed: int, **faults: object) -> RelayWorld:
    world = RelayWorld(seed, capacity=8, **faults)
    for i in range(6):
        world.submit(f"wk-{i}", parcels=8, runS=200.0, run_s=200.0, cpus=2.0)
    world.run(40.0)
    assert sum(len(m.running_tasks()) for m in world.cloud.machines.values()) > 20
    return world


def cancel_all(world: World) -> None:
    for job in list(world.jobs):
        world.cancel(job)
    end = world.now + 2.0
    while len(world.cancelled_at) < len(world.jobs) and world.now < end:
        world.step(0.1)
    assert len(world.cancelled_at) == len(world.jobs), "not every cancellation was confirmed"


@pytest.mark.parametrize("direct_kill_lost", [0.0, 0.5])
@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_cancelled_tasks_end_although_their_workers_report_to_the_old_leader(
    seed: int, direct_kill_lost: float
) -> None:
    """Without direct kills, the new leader would have to delete all these machines: they answer its
    `/show` probes, but it receives no heartbeats from them."""
    world = loaded_world(seed, direct_kill_lost=direct_kill_lost)
    world.machines_with_stale_leader = set(world.cloud.machines)
    assert world.scheduler is not None
    world.stale_leader_token = world.scheduler.token
    world.elect()
    cancel_all(world)
    world.outage_until = world.now + 46.0
    machines = len(world.cloud.machines)
    world.run(12.0 if direct_kill_lost == 0.0 else 20.0)
    assert not any(m.running_tasks() for m in world.cloud.machines.values())
    assert world.direct_kill_count > 0
    assert len(world.cloud.machines) >= machines - 1, (
        "a machine was deleted although direct kills reach it"
    )
    world.run(40.0)  # the world checks its invariants in each step
    finish(world)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_machine_whose_kills_are_not_confirmed_is_deleted_in_time(seed: int) -> None:
    """No command reaches these machines, and the old leader renews their leases indefinitely. The
    cancelled tasks keep running unless the machines are deleted."""
    world = loaded_world(seed)
    victims = sorted(m.id for m in world.cloud.machines.values() if m.running_tasks())[:3]
    world.machines_with_stale_leader = set(victims)
    assert world.scheduler is not None
    world.stale_leader_token = world.scheduler.token
    world.elect()

    def only_shows(scheduler: Scheduler, now: MonotonicTime) -> None:
        for name in victims:
            # A machine that answers probes is not deleted for its silence alone.
            scheduler.record_probe_success(MachineId(name), now)

    world.deliver_direct_kills = only_shows  # type: ignore[method-assign]
    cancel_all(world)
    world.outage_until = world.now + 46.0
    world.run(46.0)
    assert not set(victims) & set(world.cloud.machines)
    finish(world)


def test_machine_pending_deletion_receives_direct_kills() -> None:
    """The cloud is unavailable as well, and the machines' heartbeats are answered under an earlier
    leader's token. Without a direct kill, a cancelled task would run until the cloud recovers."""
    world = loaded_world(2, direct_kill_lost=0.5)
    assert world.scheduler is not None
    world.machines_with_stale_leader, world.stale_leader_token = (
        set(world.cloud.machines),
        world.scheduler.token,
    )
    world.elect()
    world.run(9.0)  # by then, the list of the cloud contains the machines
    world.cloud_down_until = world.now + 60.0
    world.outage_until = world.now + 0.1
    for m in list(world.scheduler.inventory.machines.values()):
        world.scheduler.cluster_state.request_deletion(m, MonotonicTime(world.now))
    world.run(0.5)
    cancel_all(world)
    world.outage_until = world.now + 50.0
    world.run(25.0)
    assert not any(m.running_tasks() for m in world.cloud.machines.values())
    world.run(30.0)


class CancelledTaskFixture:
    """A leader with one machine, on which one task is running."""

    def __init__(self) -> None:
        self.world = World(3, capacity=1)
        self.world.submit("wk-1", parcels=1, run_s=500.0, cpus=2.0)
        self.world.run(20.0)
        (self.machine,) = self.world.cloud.machines.values()
        assert self.machine.running_tasks()

    @property
    def scheduler(self) -> Scheduler:
        assert self.world.scheduler is not None
        return self.world.scheduler

    def has_terminating_task(self) -> bool:
        return any(
            p.is_terminating and p.phase is not PlacementPhase.ENDED
            for job in self.scheduler.jobs.jobs.values()
            for p in job.placements()
        )


def heartbeat_of(worker: WorkerSim, **changes: object) -> object:
    return workers.parse_heartbeat(worker.report() | changes)


@pytest.mark.parametrize(
    ("name", "executed", "delay_s", "changes", "task_ended"),
    [
        ("killed", True, 5.0, {"parcels": []}, True),
        ("killed, but a launch may still be in flight", True, 1.0, {"parcels": []}, False),
        (
            "another agent epoch: nothing was executed",
            False,
            5.0,
            {"parcels": [], "stint": 2},
            False,
        ),
        ("under a lower token", True, 5.0, {"parcels": [], "whip": 0}, False),
        ("older than the known heartbeat", True, 5.0, {"parcels": [], "tally": 1}, False),
        ("task still runs", True, 5.0, {}, False),
    ],
)
def test_direct_kill_response_ends_a_task_only_if_it_proves_the_kill(
    name: str, executed: bool, delay_s: float, changes: dict[str, object], task_ended: bool
) -> None:
    fixture = CancelledTaskFixture()
    fixture.world.cancel("wk-1")
    assert fixture.has_terminating_task()
    now = MonotonicTime(fixture.world.now + delay_s)
    report = heartbeat_of(fixture.machine, **changes)
    fixture.scheduler.on_direct_kill_response(report, now, now, executed=executed)  # type: ignore[arg-type]
    assert fixture.has_terminating_task() is not task_ended, name


def test_direct_kill_is_resent_at_once_to_a_new_agent_epoch() -> None:
    fixture = CancelledTaskFixture()
    fixture.world.cancel("wk-1")
    fixture.scheduler.cluster_state.pending_commands.request_direct_kill(
        MachineId(fixture.machine.id)
    )
    now = MonotonicTime(fixture.world.now + 3.0)
    (kill,) = fixture.scheduler.take_direct_kills(now)
    assert kill.agent_epoch == 1 and len(kill.commands) == 1
    assert fixture.scheduler.take_direct_kills(MonotonicTime(now + 0.5)) == [], (
        "resent while a response may still arrive"
    )
    fixture.scheduler.on_direct_kill_response(
        heartbeat_of(fixture.machine, stint=4),  # type: ignore[arg-type]
        now,
        now,
        executed=False,
    )
    (resent,) = fixture.scheduler.take_direct_kills(MonotonicTime(now + 0.6))
    assert resent.agent_epoch == 4
    # A second response with the same agent epoch triggers no resend: otherwise kills and responses
    # could alternate for ever.
    fixture.scheduler.on_direct_kill_response(
        heartbeat_of(fixture.machine, stint=4),  # type: ignore[arg-type]
        now,
        now,
        executed=False,
    )
    assert fixture.scheduler.take_direct_kills(MonotonicTime(now + 0.7)) == []


class RelayServiceFixture:
    """The relay service of a node with two peers, without sockets."""

    def __init__(self) -> None:
        platform = PLATFORM | {
            "members": [
                {"label": f"drover-{i}", "location": "a", "endpoint": f"127.0.0.1:{i}"}
                for i in (1, 2)
            ]
        }
        self.now = 100.0
        self.sent_frames: list[dict[str, Any]] = []
        self.observed_tokens: list[int] = []
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
            observe_token=lambda token, reason: self.observed_tokens.append(token),
            supported_features=peers.SUPPORTED_FEATURES,
        )
        self.node = node
        self.relay_service = RelayService(node)  # type: ignore[arg-type]

    def tick(self, at: float) -> None:
        self.now = at
        self.relay_service.tick(MonotonicTime(at))

    def receive_acknowledgement(self, peer: str, sent_at: float, at: float, **changes: Any) -> None:
        """Receive the peer's acknowledgement of the heartbeat that was sent at `sent_at`."""
        link = self.relay_service.links[NodeId(peer)]
        link.pending_heartbeats[7] = MonotonicTime(sent_at)
        self.now = at
        values = {"epoch": FencingToken(5), "leads": False, "ready": True} | changes
        acknowledgement = peers.PeerHeartbeatAck(
            7, values["epoch"], values["leads"], False, 0, None, 0, is_ready=values["ready"]
        )
        self.relay_service._on_reply_frame(
            link, peers.parse_frame(peers.encode_peer_heartbeat_ack(acknowledgement))
        )

    def grants_lease(self, at: float) -> bool:
        """Return whether a peer that sends a heartbeat at this time is granted a relay lease."""
        self.now = at
        channel = SimpleNamespace(
            peer=None, send=lambda data: self.sent_frames.append(peers.parse_frame(data))
        )
        heartbeat = peers.PeerHeartbeat(NodeId("drover-2"), 1, FencingToken(5), False, 0, 0, ())
        self.relay_service._on_request_frame(
            channel,  # type: ignore[arg-type]
            peers.parse_frame(peers.encode_peer_heartbeat(heartbeat)),
        )
        return bool(self.sent_frames[-1]["leads"])


@pytest.mark.parametrize(
    ("name", "acknowledging_peers", "until"),
    [
        # A relay lease lasts 4 s (0.4 of the worker lease of 10 s), less the clock drift. The
        # extension is `cancel_s` (30 s) less a worker lease, two relay leases, 1 s and the drift:
        # 10.2 s, which begin when the leader lease ends at 101.
        ("no peer acknowledges", [], 103.0),
        ("every peer acknowledges", ["drover-1", "drover-2"], 150.0),
        ("one of two peers acknowledges", ["drover-1"], 115.12),
    ],
)
def test_leader_without_the_store_grants_relay_leases_for_a_limited_time(
    name: str, acknowledging_peers: list[str], until: float
) -> None:
    fixture = RelayServiceFixture()
    fixture.node.store.failing_since = MonotonicTime(100.0)
    last = 0.0
    for tenths in range(1000, 1500):
        at = tenths / 10
        for peer in acknowledging_peers:
            fixture.receive_acknowledgement(peer, at - 0.1, at)
        fixture.tick(at)
        if fixture.grants_lease(at):
            last = at
    assert until - 1.0 <= last <= until, name


@pytest.mark.parametrize(
    ("name", "changes", "holds"),
    [
        ("has read the leader key", {}, True),
        ("has not read the leader key since its start", {"ready": False}, False),
    ],
)
def test_acknowledgement_counts_only_from_a_node_that_has_read_the_leader_key(
    name: str, changes: dict[str, Any], holds: bool
) -> None:
    fixture = RelayServiceFixture()
    fixture.node.store.failing_since = MonotonicTime(100.0)
    for tenths in range(1000, 1400):
        at = tenths / 10
        fixture.receive_acknowledgement("drover-1", at - 0.1, at)
        fixture.receive_acknowledgement("drover-2", at - 0.1, at, **changes)
        fixture.tick(at)
    assert fixture.grants_lease(140.0) is holds, name


def test_acknowledgement_that_is_read_after_a_stall_extends_no_lease() -> None:
    fixture = RelayServiceFixture()
    fixture.node.store.failing_since = MonotonicTime(100.0)
    fixture.receive_acknowledgement("drover-1", 100.0, 130.0)
    fixture.receive_acknowledgement("drover-2", 100.0, 130.0)
    fixture.tick(130.0)
    assert not fixture.grants_lease(130.0)


def test_higher_token_of_a_peer_shortens_the_lease_and_makes_a_heartbeat_due() -> None:
    fixture = RelayServiceFixture()
    fixture.leader_service.is_active = False
    fixture.relay_service.relay.renew_lease(
        FencingToken(5), NodeId("drover-1"), MonotonicTime(100.0), MonotonicTime(100.0)
    )
    link = fixture.relay_service.links[NodeId("drover-2")]
    link.last_heartbeat_at = MonotonicTime(100.0)
    fixture.now = 100.5
    channel = SimpleNamespace(peer=None, send=lambda data: None)
    heartbeat = peers.PeerHeartbeat(NodeId("drover-2"), 1, FencingToken(9), False, 0, 0, ())
    fixture.relay_service._on_request_frame(
        channel,  # type: ignore[arg-type]
        peers.parse_frame(peers.encode_peer_heartbeat(heartbeat)),
    )
    assert fixture.observed_tokens == [9] and link.last_heartbeat_at < 0, (
        "a heartbeat to the peer must be due immediately"
    )
    assert fixture.relay_service.relay.holds_lease(
        MonotonicTime(102.4)
    ) and not fixture.relay_service.relay.holds_lease(MonotonicTime(102.6))


class RelayingFixture(RelayServiceFixture):
    """A node that is not the leader, and the answers that its users and workers get."""

    LEADER = NodeId("drover-1")

    def __init__(self) -> None:
        super().__init__()
        self.leader_service.is_active = False
        self.node.election.leader = self.LEADER
        self.answers: list[Any] = []
        self.link = self.relay_service.links[self.LEADER]
        transport = SimpleNamespace(disconnecting=False, doWrite=lambda: None)
        self.channel: Any = SimpleNamespace(transport=transport, send=lambda data: None)
        self.link._on_connection_made(self.channel)
        self.link._last_received_at = MonotonicTime(200.0)  # keeps the link from timing out
        self.renew_relay_lease(100.0)

    def renew_relay_lease(self, requested_at: float) -> None:
        """Renew the relay lease of this node for 3.92 s from `requested_at` on."""
        self.relay_service.relay.renew_lease(
            FencingToken(5),
            self.LEADER,
            MonotonicTime(requested_at),
            MonotonicTime(requested_at),
        )

    def forward(self, kind: str, at: float, flushed: bool) -> None:
        """Accept a poll, a cancellation or a worker's heartbeat and forward it to the leader."""
        self.now = at
        if kind == "report":
            body = b'{"wagon":"n-1","stint":1,"tally":2,"whip":5,"recallS":null,"parcels":[]}'
            request: Any = SimpleNamespace(
                body=lambda: body,
                disconnected=False,
                reply=lambda status, body, retry=None: self.answers.append((status, retry)),
            )
            self.relay_service.heartbeat_forwarding.handle_heartbeat(request)
        else:
            send = (
                self.relay_service.leader_client.poll
                if kind == "poll"
                else self.relay_service.leader_client.cancel
            )
            assert send(JobId("wk-1"), self.answers.append)
        if flushed:
            self.flush()

    def flush(self) -> None:
        self.relay_service.leader_client._flush()
        self.relay_service.heartbeat_forwarding._flush()


# The answers to a worker while the node holds a relay lease, and while it holds none.
LEASE_RENEWED, RETRY_LATER = (200, None), (503, 1)


@pytest.mark.parametrize(
    ("kind", "event", "at", "answer"),
    [
        ("poll", "link breaks", 100.3, None),
        ("cancel", "link breaks", 100.3, None),
        ("report", "link breaks", 101.0, LEASE_RENEWED),
        ("report", "link breaks after the lease expired", 104.0, RETRY_LATER),
        ("poll", "timeout", 102.31, None),
        ("cancel", "timeout", 103.51, None),
        ("report", "timeout", 104.51, RETRY_LATER),
        ("report", "timeout under a renewed lease", 104.51, LEASE_RENEWED),
        ("poll", "no link to the leader", 101.6, None),
        ("report", "no link to the leader", 101.6, LEASE_RENEWED),
        ("report", "no link to the leader, nor a lease", 104.0, RETRY_LATER),
    ],
)
def test_forwarded_request_is_answered_once_on_link_loss_or_timeout(
    kind: str, event: str, at: float, answer: Any
) -> None:
    """Each forwarded request is answered exactly once, whatever the leader does: when the link
    breaks, or when the timeout passes (0.8 s for a poll, 2 s for a cancellation, 3 s for a
    heartbeat; checked every 0.2 s)."""
    fixture = RelayingFixture()
    fixture.forward(kind, 101.5 if at > 101.5 else at - 0.2, flushed="no link" not in event)
    if "renewed lease" in event:
        fixture.renew_relay_lease(104.0)
    fixture.tick(at - 0.21 if at > 101.7 else fixture.now)
    assert not fixture.answers, "answered while the leader may still reply"
    fixture.now = at
    if "breaks" in event:
        fixture.link._on_connection_lost(fixture.channel)
    elif "no link" in event:
        # Another node leads now, to which this node has no connection. The old link is still
        # connected.
        fixture.node.election.leader = fixture.relay_service.relay.leader = NodeId("drover-2")
        fixture.flush()
    else:
        fixture.tick(at)
    assert fixture.answers == [answer]
    fixture.link._on_connection_lost(fixture.channel)
    fixture.flush()
    fixture.tick(at + 10.0)
    assert fixture.answers == [answer], "answered twice"


def test_settings_without_lease_extension_are_logged_at_startup(
    caplog: pytest.LogCaptureFixture,
) -> None:
    extension_s = lease_extension_s(18.0, 10.0, 4.0, 0.02)
    assert extension_s < 0
    with caplog.at_level("WARNING"):
        RelayServiceFixture()
    assert not caplog.records
    platform = orjson.loads(orjson.dumps(PLATFORM))
    platform["settings"]["workers"]["cancel_s"] = 18.0
    settings, fixture = parse_platform(platform), RelayServiceFixture()
    fixture.node.settings = settings
    with caplog.at_level("WARNING"):
        RelayService(fixture.node)  # type: ignore[arg-type]
    assert "lease extension not positive cancel_s=18 " in caplog.text


@pytest.mark.parametrize("write", ["answered", "lost", "carried out late"])
@pytest.mark.parametrize("elects_again", [False, True], ids=["", "another leader in the outage"])
@pytest.mark.parametrize("seed", [1, 2])
def test_confirmed_cancellation_holds_after_a_takeover_and_a_store_outage(
    seed: int, elects_again: bool, write: str
) -> None:
    """The old leader's write of the job's end may be in the store although it has no answer. The
    user repeats the cancellation until a leader confirms it. Then the store becomes unavailable,
    and the workers still report to the old leader."""
    world = loaded_world(seed)
    scheduler = world.scheduler
    assert scheduler is not None
    world.machines_with_stale_leader, world.stale_leader_token = (
        set(world.cloud.machines),
        scheduler.token,
    )
    now = MonotonicTime(world.now)
    world.cancel("wk-0")
    pending = scheduler.next_transaction(now, 2)
    assert pending is not None and [j.id for j, _ in pending.ends] == ["wk-0"]
    if write != "lost":
        status, answer = world.store.txn(pending.transaction.body())
        assert status == 200
    if write == "answered":
        scheduler.on_transaction_result(
            pending, TransactionOutcome.COMMITTED, Revision(answer["ledgerRev"]), (), now
        )
        for job, outcome in scheduler.take_finished_jobs():
            world.record_reported_outcome(job, outcome)
    world.elect()
    if write == "carried out late":
        assert world.scheduler is not None
        assert world.scheduler.cancel_job(JobId("wk-0"), MonotonicTime(world.now)) == "aborted"
        world.record_reported_outcome("wk-0", "aborted")
    cancel_all(world)
    world.outage_until = world.now + 46.0
    world.run(4.0)
    if elects_again:
        world.elect()  # its leader key was written just before the outage
    world.run(26.0)
    assert not any(m.running_tasks() for m in world.cloud.machines.values())
    world.run(20.0)
    finish(world)
