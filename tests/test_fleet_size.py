"""Fleets of 4,000 machines and of half as many again: start, burst, take-over, mass silence."""

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
from test_core import finish
from test_limits import node_with_clock
from world import World

SIZES = [4000, 6000]


def name(number: int) -> str:
    return f"n-{number:06d}"


def listed(number: int) -> dict[str, object]:
    return {
        "nameId": name(number),
        "address": f"10.1.{number // 250}.{number % 250}:9000",
        "breed": "small",
        "yard": "ab"[number % 2],
        "loaners": True,
        "standing": "running",
        "ageS": 60.0,
    }


def read_list(controller: Scheduler, size: int, now: MonotonicTime) -> int:
    """Answers the calls of the leader until it has read the whole list; returns how many pages."""
    pages = 0
    for _ in range(100):
        call = controller.next_cloud_request(now)
        if isinstance(call, ListMachines):
            begin = 0 if call.after is None else int(call.after[2:]) + 1
            page = [listed(number) for number in range(begin, min(size, begin + 500))]
            body = {"wagons": page, "more": begin + 500 < size}
            controller.on_cloud_response(call, 200, orjson.dumps(body), now)
            pages += 1
        elif isinstance(call, GetCatalog):
            controller.on_cloud_response(call, 200, orjson.dumps(CATALOG), now)
    return pages


def report(number: int, epoch: int, sequence: int) -> workers.Heartbeat:
    return workers.parse_heartbeat(
        {
            "wagon": name(number),
            "address": "a:1",
            "breed": "small",
            "yard": "ab"[number % 2],
            "loaners": True,
            "stint": 1,
            "tally": sequence,
            "whip": epoch,
            "recallS": None,
            "parcels": [],
        }
    )


def leader(size: int) -> tuple[Scheduler, MonotonicTime]:
    """A leader that has read the list of its machines and has heard each of them."""
    controller = World(1).scheduler
    assert controller is not None
    now = MonotonicTime(100.0)
    assert read_list(controller, size, now) == size // 500
    for number in range(size):
        assert controller.on_heartbeat(report(number, controller.token, 1), now) == []
    return controller, now


@pytest.mark.parametrize("size", SIZES)
def test_the_list_is_read_to_its_end(size: int) -> None:
    controller, _ = leader(size)
    up = [m for m in controller.inventory.machines.values() if m.state is MachineState.UP]
    assert len(up) == size and all(m.is_schedulable and m.type.name == "small" for m in up)


@pytest.mark.parametrize("size", SIZES)
def test_late_copies_of_a_whole_deleted_fleet_adopt_nothing(size: int) -> None:
    controller, now = leader(size)
    for machine in list(controller.inventory.machines.values()):
        controller.inventory.mark_deleted(machine)
    for number in range(size):
        assert controller.on_heartbeat(report(number, controller.token, 2), now) is None
    assert not controller.inventory.machines


@pytest.mark.parametrize("size", SIZES)
def test_a_silent_fleet_is_deleted_in_whole_requests(size: int) -> None:
    """Each look names each machine once, and each request as many as the cloud takes."""
    controller, now = leader(size)
    later = MonotonicTime(now + 300.0)
    controller.tick(later)
    requests = []
    while isinstance(call := controller.next_cloud_request(later), DeleteMachines):
        requests.append(call.machines)
        controller.on_cloud_response(call, 200, b"{}", later)
    assert sum(map(len, requests)) == size and len(requests) == size // 100
    assert not controller.inventory.machines


@pytest.mark.parametrize("size", SIZES)
def test_late_answers_to_given_up_reports_of_all_workers_are_told(size: int) -> None:
    """The leader stood still, and its answers come when no worker waits any more: it learns of
    each machine that its commands were dropped."""
    node, clock = node_with_clock(None)
    forwarding = node.relay_service.heartbeat_forwarding

    class Request:
        disconnected = False

        def reply(self, status: int, body: bytes, retry_after: int | None = None) -> None:
            pass

    for number in range(size):
        head = workers.HeartbeatHeader(
            MachineId(name(number)), HeartbeatSequence(AgentEpoch(1), 1), FencingToken(7), False, []
        )
        forwarding._pending_heartbeats[number] = PendingHeartbeat(Request(), head, clock())  # type: ignore
    forwarding.expire_pending(MonotonicTime(clock() + 1.0))
    told: list[str] = []

    class Leader:
        label = NodeId("drover-1")

        def send(self, frame: bytes) -> None:
            assert len(frame) < peers.MAX_FRAME_BYTES
            told.extend(peers.parse_machines(peers.parse_frame(frame)))

    link: PeerLink = Leader()  # type: ignore[assignment]
    forwarding.on_replies(link, [peers.HeartbeatReply(number, [], False) for number in range(size)])
    assert sorted(told) == [name(number) for number in range(size)]


@pytest.mark.parametrize("size", SIZES)
def test_a_greeting_that_tells_of_all_workers_fits_a_frame(size: int) -> None:
    heard = tuple(
        (MachineId(name(n)), HeartbeatSequence(AgentEpoch(1), 10**6)) for n in range(size)
    )
    greet = peers.PeerHeartbeat(NodeId("drover-1"), 1, FencingToken(7), True, size, 0, heard)
    frame = peers.encode_peer_heartbeat(greet)
    assert len(frame) < peers.MAX_FRAME_BYTES / 4
    assert len(peers.parse_peer_heartbeat(peers.parse_frame(frame)).acknowledged) == size


@pytest.mark.parametrize("size", SIZES)
def test_workers_are_shared_out_among_all_nodes(size: int) -> None:
    counts = {NodeId(f"drover-{n}"): size // 5 for n in range(5)}
    shared = machine_shares(counts, NodeId("drover-0"), 1800)
    most = [share.max_machines for node, share in shared.items() if node != "drover-0"]
    assert sum(most) >= size


@pytest.fixture(scope="module")
def burst() -> Iterator[RelayWorld]:
    """A fleet of 4,000 rented for a burst, with tasks on most of its machines."""
    world = RelayWorld(11, capacity=4000)
    for i in range(10):
        world.submit(f"wk-{i:06d}", run_s=8.0, parcels=520, cpus=8.0, loaners=i % 2 == 0)
    world.run(13)
    assert len(world.cloud.machines) > 3900
    return world


def test_a_burst_on_4000_machines_outlives_all_nodes_and_a_silent_zone(burst: RelayWorld) -> None:
    """The rules are looked at in every step; all work ends."""
    for machine in burst.cloud.machines.values():
        if machine.zone == "b":
            machine.hangs_until = burst.now + 1.5 * burst.settings.lease_s
    for node in range(burst.nodes):
        burst.crash(node)
    finish(burst, 200.0)
    assert set(burst.told.values()) == {"done"} and len(burst.told) == 10


def test_rentals_ask_for_as_many_as_the_cloud_gives_at_once() -> None:
    world = World(1, capacity=4000)
    for i in range(10):
        world.submit(f"wk-{i:06d}", parcels=4000, cpus=8.0)
    controller = world.scheduler
    assert controller is not None
    numbers = []
    for tick in range(200):
        now = MonotonicTime(world.now + tick / 10)
        controller.tick(now)
        call = controller.next_cloud_request(now)
        if isinstance(call, ScaleOut):
            numbers.append(call.request.machine_count)
            rented = [f"m-{len(numbers)}-{i}" for i in range(call.request.machine_count)]
            controller.on_cloud_response(call, 200, orjson.dumps({"wagons": rented}), now)
        elif isinstance(call, ListMachines):
            controller.on_cloud_response(call, 200, b'{"wagons":[],"more":false}', now)
        elif isinstance(call, GetCatalog):
            controller.on_cloud_response(call, 200, orjson.dumps(CATALOG), now)
    assert sum(numbers) >= 4000 and sum(numbers) / len(numbers) > 40
