"""Tests the requests that one node with named leases sends to the state service and the cloud, with
the feature enabled and disabled. The node runs in process, against stubs of both services."""

import subprocess
import sys
from pathlib import Path
from typing import Any

import orjson
import pytest

from eldercart.autoscaling.cloud_requests import RequestAdmission
from eldercart.cluster.inventory import MachineState
from eldercart.jobs.job import Placement, PlacementPhase
from eldercart.jobs.job_records import JobRecord
from eldercart.server.controller_node import ControllerNode
from eldercart.server.store.client import RESERVE_PLACEMENTS
from eldercart.settings import load_tuning
from eldercart.settings.features import parse_features
from eldercart.settings.platform import parse_platform
from eldercart.singleton.intents import COMPACTION_DELAY_S
from eldercart.units import Attempt, LeaseId, MachineId, MonotonicTime, Revision, WallTime, task_key
from eldercart.wire import cloud, users
from eldercart.wire.named_leases import LeaseName, holder_key
from eldercart.wire.state import Put, Transaction
from simulators import CATALOG, StoreSim
from test_store_limits import Clock
from world import PLATFORM, submission

ROOT = Path(__file__).resolve().parents[1]
ALL_LEASES = ["rental", "return", "cleanup", "catalog"]


class StateServiceStub:
    """Replaces the HTTP client of the state service; answers immediately."""

    def __init__(self, store: StoreSim) -> None:
        self.store = store
        self.status: int | None = 200  # status of every answer; 200: requests are served
        self.paths: list[str] = []
        self.operations: list[list[dict[str, Any]]] = []
        self.conditions: list[list[str]] = []

    def request(self, method: bytes, path: str, body: Any, timeout: float, answer: Any) -> None:
        if path.startswith("/follow"):
            return  # a watch without events
        self.paths.append(f"{method.decode()} {path}")
        if self.status != 200:
            answer(self.status, b"{}")
            return
        answer(*self._serve(method, path, body))

    def _serve(self, method: bytes, path: str, body: Any) -> tuple[int, bytes]:
        store = self.store
        if path == "/txn":
            status, value = store.txn(body)
            if status == 200:
                self.operations.append(orjson.loads(body)["writes"])
                self.conditions.append([guard["path"] for guard in orjson.loads(body)["guards"]])
            return status, orjson.dumps(value)
        if path == "/holds":
            store.next_lease += 1
            store.leases[store.next_lease] = 0.0
            return 200, orjson.dumps({"tether": store.next_lease})
        if path.startswith("/holds/"):
            return 200, b"{}"
        if path.startswith("/keys?"):
            prefix = path.split("prefix=")[1].split("&")[0].replace("%2F", "/")
            pairs = store.range(prefix)
            return 200, orjson.dumps({"pairs": pairs, "ledgerRev": store.revision})
        item = store.item(path[len("/keys/") :])
        return (200, orjson.dumps(item)) if item else (404, b"{}")


class CloudStub:
    """Replaces the HTTP client of the cloud; records requests, and answers unless `is_silent`."""

    def __init__(self) -> None:
        self.requests: list[tuple[str, Any]] = []
        self.catalog: Any = CATALOG
        self.is_silent = False  # records requests without answering them

    def request(self, method: bytes, path: str, body: Any, timeout: float, answer: Any) -> None:
        if path == "/catalog":
            answer(200, orjson.dumps(self.catalog))
        elif method == b"POST":
            self.requests.append((path, orjson.loads(body)))
            if self.is_silent:
                return
            value = {"wagons": ["n-000001"]} if path == "/machines" else {}
            answer(200, orjson.dumps(value))
        else:
            answer(200, b'{"wagons": [], "more": false}')


class ServiceWorld:
    """A node whose clock the test advances. It has no peers, so it becomes leader alone."""

    def __init__(self, enabled_leases: list[str] | None, **duties: Any) -> None:
        """`duties` are further settings of the feature; `enabled_leases` None: it is disabled."""
        self.clock = Clock()
        settings = parse_platform(PLATFORM)
        features = (
            None
            if enabled_leases is None
            else parse_features({"duties": {"on": enabled_leases} | duties})
        )
        self.node = ControllerNode(settings, load_tuning(), features, self.clock)
        self.store = StoreSim()
        self.state_service = StateServiceStub(self.store)
        self.cloud = CloudStub()
        self.node.store._http = self.state_service  # type: ignore[assignment]
        self.node.leader_service._cloud_requests._client = self.cloud  # type: ignore[assignment]
        if self.node.singleton_service is not None:
            self.node.singleton_service.catalog_refresh._client = self.cloud  # type: ignore[assignment]

    def become_leader(self) -> None:
        self.run(1.0)
        assert self.node.leader_service.is_active

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.1)):
            self.clock.now += 0.1
            now = self.clock()
            self.node.election_service.tick(now)
            self.node.leader_service.tick(now)
            if self.node.singleton_service is not None:
                self.node.singleton_service.tick(now)

    @property
    def scheduler(self) -> Any:
        return self.node.leader_service.scheduler

    def held_leases(self) -> set[str]:
        return {key.rpartition("/")[2] for key in self.store.keys if key.startswith("duty/holder/")}

    def add_machine_to_delete(self, name: str) -> Any:
        """Add a machine that is up and whose deletion has been requested."""
        kind = cloud.parse_catalog(CATALOG)["small"]
        now = self.clock()
        machine = self.scheduler.inventory.add(
            MachineId(name), kind, "a", False, MachineState.UP, now, MonotonicTime(now + 1000.0)
        )
        self.scheduler.cluster_state.request_deletion(machine, now)
        return machine

    def deleted_machines(self) -> list[str]:
        return [n for path, body in self.cloud.requests if "delete" in path for n in body["wagons"]]


def test_disabled_feature_adds_no_requests_and_announces_no_leases() -> None:
    world = ServiceWorld(None)
    world.become_leader()
    world.add_machine_to_delete("n-000007")
    world.run(5.0)
    assert world.deleted_machines() == ["n-000007"]
    assert not [path for path in world.state_service.paths if "duty" in path or "intent" in path]
    assert not [key for key in world.store.keys if key.startswith(("duty/", "intent/"))]
    assert world.node.supported_features == ("recut",)


def test_disabled_feature_imports_no_named_lease_modules() -> None:
    code = """
import sys
sys.argv = ["run.py"]
import run
from eldercart.cli import main, serve
print(*sorted(sys.modules))
"""
    imported = subprocess.run(
        [sys.executable, "-c", code], check=True, cwd=ROOT, capture_output=True, text=True
    ).stdout.split()
    assert "eldercart.server.controller_node" in imported
    feature_modules = (
        "eldercart.singleton",
        "eldercart.server.singleton",
        "eldercart.wire.named_leases",
        "pyrsistent",
        "dateutil",
        "zoneinfo",
        "fastjsonschema",
        "eldercart.settings.features",
    )
    assert [name for name in imported if name.startswith(feature_modules)] == []


def test_deletion_is_recorded_before_it_is_requested() -> None:
    world = ServiceWorld(ALL_LEASES)
    world.become_leader()
    assert world.held_leases() == set(ALL_LEASES)
    world.add_machine_to_delete("n-000007")
    world.state_service.operations.clear()
    world.run(0.5)
    recorded = [
        write
        for writes in world.state_service.operations
        for write in writes
        if write.get("put") == "intent/return"
    ]
    assert [obj["n"] for obj in recorded[0]["v"]["i"]] == ["n-000007"]
    assert world.deleted_machines() == ["n-000007"]
    world.run(COMPACTION_DELAY_S + 2.0)
    assert world.store.keys["intent/return"][0] == {"i": []}, "finished intents are dropped"


@pytest.mark.parametrize("lease_name", ["return", "rental"])
def test_request_is_not_sent_under_a_replaced_token(lease_name: str) -> None:
    """No watch event has reported the replacement, so the node still acts as the lease holder."""
    world = ServiceWorld(ALL_LEASES)
    world.become_leader()
    key = holder_key(LeaseName(lease_name))
    taken = Transaction({}, [Put(key, {"node": "node-9", "life": "z", "t": 1.0})])
    assert world.store.txn(taken.body())[0] == 200
    world.add_machine_to_delete("n-000007")
    if lease_name == "rental":
        world.scheduler.cluster_state.autoscaler.total_forecast.expected_cpus = 100.0
        world.scheduler.cloud_requests.autoscale(world.clock())
    for _ in range(3):  # the intents are written, the write is answered, the request is sent
        world.node.leader_service.process_events()
    paths = [path for path, _ in world.cloud.requests]
    assert ("/machines/delete" in paths) is (lease_name == "rental")
    assert "/machines" not in paths


def test_intents_are_written_while_placements_use_up_their_rate_limit() -> None:
    """Placements take all write tokens above their own reserve, at each turn of the loop."""
    world = ServiceWorld(ALL_LEASES)
    world.become_leader()
    writes = world.node.store.writes
    original_process_events = world.node.leader_service._store_requests.process_events

    def process_events_and_use_up_writes(scheduler: Any, now: MonotonicTime) -> None:
        original_process_events(scheduler, now)
        writes.force_take(now, max(0, writes.available(now, RESERVE_PLACEMENTS)))

    world.node.leader_service._store_requests.process_events = process_events_and_use_up_writes  # type: ignore[method-assign]
    world.add_machine_to_delete("n-000007")
    for _ in range(20):
        world.clock.now += 0.02
        world.node.leader_service.process_events()
    assert world.deleted_machines() == ["n-000007"]


def add_overdue_task(world: ServiceWorld, name: str) -> None:
    """Add a machine with a cancelled task that should have ended by now."""
    machine = world.add_machine_to_delete(name)
    spec = users.parse_submission(submission("wk-000001"))
    revision = Revision(world.store.revision + 1)
    record = JobRecord(spec, 50, WallTime(0.0), revision)
    world.scheduler.add_job(record, world.clock())
    job = world.scheduler.jobs.jobs[spec.id]
    placement = Placement(
        task_key(job.id, 0), job, 0, Attempt(1), machine.id, phase=PlacementPhase.RUNNING
    )
    machine.placements[placement.key] = placement
    job.is_cancellation_requested, job.kill_deadline_at = True, MonotonicTime(world.clock() - 1.0)


@pytest.mark.parametrize("trouble", ["the state service is out", "the duty is paused"])
def test_machine_with_overdue_cancelled_task_is_deleted_while_scale_in_is_blocked(
    trouble: str,
) -> None:
    """The limit `cancel_s` holds even if the lease is not usable; other deletions wait."""
    world = ServiceWorld(ALL_LEASES)
    world.become_leader()
    if trouble == "the duty is paused":
        pause = Transaction({}, [Put("duty/pause/return", {"t": 1.0, "why": ""})])
        assert world.store.txn(pause.body())[0] == 200
        world.node.singleton_service.candidate.on_write_fenced()  # type: ignore[union-attr]
        world.run(1.0)
        assert "return" not in world.held_leases()
    else:
        world.state_service.status = 503
        world.run(2.0)
    world.cloud.is_silent = True
    world.add_machine_to_delete("n-000007")
    add_overdue_task(world, "n-000008")
    assert world.node.singleton_service is not None
    world.node.singleton_service.cloud_requests.process_events(
        world.scheduler, world.node.leader_service._cloud_requests, world.clock()
    )
    assert world.scheduler.cloud_requests.deletion_admission is RequestAdmission.OVERDUE_ONLY
    world.node.leader_service.process_events()
    assert world.deleted_machines() == ["n-000008"]
    assert world.scheduler.cloud_requests.scale_out_admission is (
        RequestAdmission.OPEN if trouble == "the duty is paused" else RequestAdmission.BLOCKED
    )


def add_ended_job(world: ServiceWorld) -> None:
    world.store.txn(Transaction({}, [Put("gone/wk-000009", {"e": "done"})]).body())
    world.scheduler.transaction_writer.orphaned_keys.append(
        ("gone/wk-000009", Revision(world.store.revision))
    )


def test_cleanup_waits_for_its_window_until_the_backlog_exceeds_its_limit() -> None:
    closed = {"time_zone": "UTC", "weekly": [{"days": ["mo"], "start": "00:00", "end": "00:01"}]}
    exceptions: list[dict[str, Any]] = []
    world = ServiceWorld(
        ALL_LEASES, cleanup_backlog=2, maintenance=closed | {"exceptions": exceptions}
    )
    world.node.singleton_service.may_run_maintenance = lambda: False  # type: ignore[union-attr,method-assign]
    world.become_leader()
    add_ended_job(world)
    world.run(2.0)
    assert "gone/wk-000009" in world.store.keys
    for n in range(3):
        world.scheduler.transaction_writer.orphaned_keys.append((f"gone/wk-{n:06d}", Revision(0)))
    world.run(2.0)
    assert "gone/wk-000009" not in world.store.keys


def test_cleanup_under_a_replaced_token_is_rejected_and_retried() -> None:
    world = ServiceWorld(ALL_LEASES)
    world.become_leader()
    key = holder_key(LeaseName.CLEANUP)
    world.store.txn(Transaction({}, [Put(key, {"node": "node-9", "life": "z", "t": 1.0})]).body())
    add_ended_job(world)
    world.node.leader_service.process_events()
    records = world.scheduler.transaction_writer
    assert "gone/wk-000009" in world.store.keys, "its token was replaced"
    service = world.node.singleton_service
    assert service is not None
    permit = service.cleanup_permit(world.scheduler, world.clock())
    assert not permit.is_allowed, "not before the lease holder has been read again"
    assert records.orphaned_keys, "the record must still be deleted"
    world.run(1.0)  # this node leads, so it acquires the lease again, with a higher token
    assert "gone/wk-000009" not in world.store.keys


def test_cleanup_shares_transactions_with_other_writes() -> None:
    """On a busy day there are always other writes. If cleanup needed transactions of its own, it
    would never run, and ended jobs would fill the placement records."""
    world = ServiceWorld(ALL_LEASES)
    world.become_leader()
    records = world.scheduler.transaction_writer
    busy: list[int] = []

    def add_ends(pending: Any, jobs: Any, ops: int) -> bool:
        busy.append(len(busy))
        pending.transaction.operations.append(Put(f"end/wk-{len(busy):06d}", {"e": "done", "n": 1}))
        return True

    records._builder._add_ends = add_ends
    add_ended_job(world)
    world.node.leader_service.process_events()
    assert "gone/wk-000009" not in world.store.keys
    assert holder_key(LeaseName.CLEANUP) in world.state_service.conditions[-1]


def test_catalog_lease_holder_stores_a_changed_catalog() -> None:
    world = ServiceWorld(ALL_LEASES, refresh_s=5.0)
    world.become_leader()
    before = world.store.keys["catalog"][1]
    world.run(12.0)
    assert world.store.keys["catalog"][1] == before, "nothing has changed"
    machine_types = [dict(CATALOG["breeds"][0], sku="larger", cpus=64), *CATALOG["breeds"]]
    world.cloud.catalog = {"breeds": machine_types}
    world.run(6.0)
    assert {b["sku"] for b in world.store.keys["catalog"][0]["breeds"]} >= {"larger"}
    taken = Transaction(
        {}, [Put(holder_key(LeaseName.CATALOG), {"node": "d", "life": "z", "t": 1.0})]
    )
    world.store.txn(taken.body())
    world.cloud.catalog = CATALOG
    version = world.store.keys["catalog"][1]
    world.node.singleton_service.catalog_refresh._next_refresh_at = MonotonicTime(0.0)  # type: ignore[union-attr]
    world.node.singleton_service.catalog_refresh.tick(world.clock())  # type: ignore[union-attr]
    assert world.store.keys["catalog"][1] == version, "its token was replaced"


def test_named_leases_are_reacquired_after_their_store_lease_ends() -> None:
    world = ServiceWorld(ALL_LEASES)
    world.become_leader()
    tokens = {key: value[1] for key, value in world.store.keys.items() if "holder" in key}
    lease = world.store.keys[holder_key(LeaseName.SCALE_IN)][2]
    assert lease is not None
    world.store.end_lease(LeaseId(lease))
    world.node.singleton_service.candidate.on_keep_alive(False)  # type: ignore[union-attr]
    world.run(1.0)
    assert all(world.store.keys[key][1] > token for key, token in tokens.items())
