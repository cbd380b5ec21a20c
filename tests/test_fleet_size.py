"""Fleets of 4,000 and 6,000 machines: start, burst, failover, and silence of many machines."""

from collections.abc import Iterator

import orjson
import pytest

from eldercart.cluster.heartbeat_relay import machine_shares
from eldercart.cluster.inventory import MachineState
from eldercart.scheduling.scheduler import (
    DeleteMachines,
    GetCatalog,
    ListMachines,
    ScaleOut,
    Scheduler,
)
from eldercart.server.peers.connections import PeerLink
from eldercart.server.peers.heartbeat_forwarding import PendingHeartbeat
from eldercart.units import (
    AgentEpoch,
    FencingToken,
    HeartbeatSequence,
    MachineId,
    MonotonicTime,
    NodeId,
)
from eldercart.wire import peers, workers
from relay_world import RelayWorld
from simulators import CATALOG
from test_scheduler_faults import finish
from test_store_limits import node_with_clock
from world import World

SIZES = [4000, 6000]


def machine_id(number: int) -> str:
    return f"n-{number:06d}"


def list_entry(number: int) -> dict[str, object]:
    return {
        "nameId": machine_id(number),
        "address": f"10.1.{number // 250}.{number % 250}:9000",
        "breed": "small",
        "yard": "ab"[number % 2],
        "loaners": True,
        "standing": "running",
        "ageS": 60.0,
    }


def read_list(scheduler: Scheduler, size: int, now: MonotonicTime) -> int:
    """Answer the leader's cloud requests until it has read the list; return the page count."""
    pages = 0
    for _ in range(100):
        call = scheduler.next_cloud_request(now)
        if isinstance(call, ListMachines):
            begin = 0 if call.after is None else int(call.after[2:]) + 1
            page = [list_entry(number) for number in range(begin, min(size, begin + 500))]
            body = {"wagons": page, "more": begin + 500 < size}
            scheduler.on_cloud_response(call, 200, orjson.dumps(body), now)
            pages += 1
        elif isinstance(call, GetCatalog):
            scheduler.on_cloud_response(call, 200, orjson.dumps(CATALOG), now)
    return pages


def heartbeat_of(number: int, token: int, sequence: int) -> workers.Heartbeat:
    return workers.parse_heartbeat(
        {
            "wagon": machine_id(number),
            "address": "a:1",
            "breed": "small",
            "yard": "ab"[number % 2],
            "loaners": True,
            "stint": 1,
            "tally": sequence,
            "whip": token,
            "recallS": None,
            "parcels": [],
        }
    )


def leader(size: int) -> tuple[Scheduler, MonotonicTime]:
    """Return a leader that has read the machine list and received a heartbeat of each machine."""
    scheduler = World(1).scheduler
    assert scheduler is not None
    now = MonotonicTime(100.0)
    assert read_list(scheduler, size, now) == size // 500
    for number in range(size):
        assert scheduler.on_heartbeat(heartbeat_of(number, scheduler.token, 1), now) == []
    return scheduler, now


@pytest.mark.parametrize("size", SIZES)
def test_machine_list_is_read_to_its_last_page(size: int) -> None:
    scheduler, _ = leader(size)
    up = [m for m in scheduler.inventory.machines.values() if m.state is MachineState.UP]
    assert len(up) == size and all(m.is_schedulable and m.type.name == "small" for m in up)


@pytest.mark.parametrize("size", SIZES)
def test_late_heartbeats_of_a_deleted_fleet_add_no_machines(size: int) -> None:
    scheduler, now = leader(size)
    for machine in list(scheduler.inventory.machines.values()):
        scheduler.inventory.mark_deleted(machine)
    for number in range(size):
        assert scheduler.on_heartbeat(heartbeat_of(number, scheduler.token, 2), now) is None
    assert not scheduler.inventory.machines


@pytest.mark.parametrize("size", SIZES)
def test_silent_fleet_is_deleted_in_full_requests(size: int) -> None:
    """Each machine is deleted once, and each request names as many as the cloud accepts."""
    scheduler, now = leader(size)
    later = MonotonicTime(now + 300.0)
    scheduler.tick(later)
    requests = []
    while isinstance(call := scheduler.next_cloud_request(later), DeleteMachines):
        requests.append(call.machines)
        scheduler.on_cloud_response(call, 200, b"{}", later)
    assert sum(map(len, requests)) == size and len(requests) == size // 100
    assert not scheduler.inventory.machines


@pytest.mark.parametrize("size", SIZES)
def test_relay_reports_replies_that_arrive_after_heartbeats_timed_out(size: int) -> None:
    """A stalled leader replies after the workers' requests have timed out.

    The relay reports to the leader, for each machine, that its commands were dropped.
    """
    node, clock = node_with_clock(None)
    forwarding = node.relay_service.heartbeat_forwarding

    class Request:
        disconnected = False

        def reply(self, status: int, body: bytes, retry_after: int | None = None) -> None:
            pass

    for number in range(size):
        header = workers.HeartbeatHeader(
            MachineId(machine_id(number)),
            HeartbeatSequence(AgentEpoch(1), 1),
            FencingToken(7),
            False,
            [],
        )
        forwarding._pending_heartbeats[number] = PendingHeartbeat(Request(), header, clock())  # type: ignore
    forwarding.expire_pending(MonotonicTime(clock() + 1.0))
    undelivered: list[str] = []

    class Leader:
        label = NodeId("drover-1")

        def send(self, frame: bytes) -> None:
            assert len(frame) < peers.MAX_FRAME_BYTES
            undelivered.extend(peers.parse_machines(peers.parse_frame(frame)))

    link: PeerLink = Leader()  # type: ignore[assignment]
    forwarding.on_replies(link, [peers.HeartbeatReply(number, [], False) for number in range(size)])
    assert sorted(undelivered) == [machine_id(number) for number in range(size)]


@pytest.mark.parametrize("size", SIZES)
def test_peer_heartbeat_that_lists_all_workers_fits_in_a_frame(size: int) -> None:
    acknowledged_heartbeats = tuple(
        (MachineId(machine_id(n)), HeartbeatSequence(AgentEpoch(1), 10**6)) for n in range(size)
    )
    heartbeat = peers.PeerHeartbeat(
        NodeId("drover-1"), 1, FencingToken(7), True, size, 0, acknowledged_heartbeats
    )
    frame = peers.encode_peer_heartbeat(heartbeat)
    assert len(frame) < peers.MAX_FRAME_BYTES / 4
    assert len(peers.parse_peer_heartbeat(peers.parse_frame(frame)).acknowledged) == size


@pytest.mark.parametrize("size", SIZES)
def test_machine_shares_cover_the_whole_fleet(size: int) -> None:
    counts = {NodeId(f"drover-{n}"): size // 5 for n in range(5)}
    shares = machine_shares(counts, NodeId("drover-0"), 1800)
    limits = [share.max_machines for node, share in shares.items() if node != "drover-0"]
    assert sum(limits) >= size


@pytest.fixture(scope="module")
def burst() -> Iterator[RelayWorld]:
    """A fleet of 4,000 machines created for a burst of jobs, with tasks on most of them."""
    world = RelayWorld(11, capacity=4000)
    for i in range(10):
        world.submit(f"wk-{i:06d}", run_s=8.0, parcels=520, cpus=8.0, loaners=i % 2 == 0)
    world.run(13)
    assert len(world.cloud.machines) > 3900
    return world


def test_burst_on_4000_machines_survives_node_crashes_and_a_silent_zone(burst: RelayWorld) -> None:
    """The simulation checks its invariants after every step; all jobs must complete."""
    for machine in burst.cloud.machines.values():
        if machine.zone == "b":
            machine.hangs_until = burst.now + 1.5 * burst.settings.lease_s
    for node in range(burst.nodes):
        burst.crash(node)
    finish(burst, 200.0)
    assert set(burst.reported_outcomes.values()) == {"done"} and len(burst.reported_outcomes) == 10


def test_scale_out_requests_ask_for_many_machines_at_once() -> None:
    world = World(1, capacity=4000)
    for i in range(10):
        world.submit(f"wk-{i:06d}", parcels=4000, cpus=8.0)
    scheduler = world.scheduler
    assert scheduler is not None
    machine_counts = []
    for tick in range(200):
        now = MonotonicTime(world.now + tick / 10)
        scheduler.tick(now)
        call = scheduler.next_cloud_request(now)
        if isinstance(call, ScaleOut):
            machine_counts.append(call.request.machine_count)
            created = [f"m-{len(machine_counts)}-{i}" for i in range(call.request.machine_count)]
            scheduler.on_cloud_response(call, 200, orjson.dumps({"wagons": created}), now)
        elif isinstance(call, ListMachines):
            scheduler.on_cloud_response(call, 200, b'{"wagons":[],"more":false}', now)
        elif isinstance(call, GetCatalog):
            scheduler.on_cloud_response(call, 200, orjson.dumps(CATALOG), now)
    assert sum(machine_counts) >= 4000 and sum(machine_counts) / len(machine_counts) > 40
