"""The named leases of one node in process: what goes out to the state service and the cloud, with
the feature on and off."""

import subprocess
import sys
from pathlib import Path
from typing import Any

import orjson
import pytest

from eldercart.autoscaling.cloud_requests import RequestAdmission
from eldercart.cluster.inventory import MachineState
from eldercart.jobs.job import Placement, PlacementPhase
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
from test_limits import Clock
from world import PLATFORM, submission

ROOT = Path(__file__).resolve().parents[1]
ALL_LEASES = ["rental", "return", "cleanup", "catalog"]


class StateServiceStub:
    """Stands for the HTTP client of the state service; answers at once."""

    def __init__(self, store: StoreSim) -> None:
        self.store = store
        self.status: int | None = 200  # what everything is answered with; 200: as it should be
        self.paths: list[str] = []
        self.operations: list[list[dict[str, Any]]] = []
        self.conditions: list[list[str]] = []

    def request(self, method: bytes, path: str, body: Any, timeout: float, answer: Any) -> None:
        if path.startswith("/follow"):
            return  # a watch that tells nothing
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
    """Stands for the HTTP client of the cloud; keeps what is asked, and answers when told to."""

    def __init__(self) -> None:
        self.requests: list[tuple[str, Any]] = []
        self.catalog: Any = CATALOG
        self.is_silent = False  # keeps what is asked, and never answers it

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
    """A node that leads by itself, whose clock is turned by hand."""

    def __init__(self, on: list[str] | None, **duties: Any) -> None:
        self.clock = Clock()
        settings = parse_platform(PLATFORM)
        features = None if on is None else parse_features({"duties": {"on": on} | duties})
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

    def holders(self) -> set[str]:
        return {key.rpartition("/")[2] for key in self.store.keys if key.startswith("duty/holder/")}

    def add_machine_to_delete(self, name: str) -> Any:
        """One that is up, and whose deletion is asked for."""
        kind = cloud.parse_catalog(CATALOG)["small"]
        now = self.clock()
        machine = self.scheduler.inventory.add(
            MachineId(name), kind, "a", False, MachineState.UP, now, MonotonicTime(now + 1000.0)
        )
        self.scheduler.cluster_state.request_deletion(machine, now)
        return machine

    def deleted_machines(self) -> list[str]:
        return [n for path, body in self.cloud.requests if "delete" in path for n in body["wagons"]]


def test_off_is_as_before() -> None:
    """Neither a read nor a write nor a call more, and nothing else is announced."""
    place = ServiceWorld(None)
    place.become_leader()
    place.add_machine_to_delete("n-000007")
    place.run(5.0)
    assert place.deleted_machines() == ["n-000007"]
    assert not [path for path in place.state_service.paths if "duty" in path or "intent" in path]
    assert not [key for key in place.store.keys if key.startswith(("duty/", "intent/"))]
    assert place.node.supported_features == ("recut",)


def test_off_imports_nothing_more() -> None:
    code = """
import sys
sys.argv = ["run.py"]
import run
from eldercart.cli import main, serve
print(*sorted(sys.modules))
"""
    found = subprocess.run(
        [sys.executable, "-c", code], check=True, cwd=ROOT, capture_output=True, text=True
    ).stdout.split()
    assert "eldercart.server.controller_node" in found
    more = (
        "eldercart.singleton",
        "eldercart.server.singleton",
        "eldercart.wire.named_leases",
        "pyrsistent",
        "dateutil",
        "zoneinfo",
        "fastjsonschema",
        "eldercart.settings.features",
    )
    assert [name for name in found if name.startswith(more)] == []


def test_a_return_is_recorded_before_it_is_asked_for() -> None:
    place = ServiceWorld(ALL_LEASES)
    place.become_leader()
    assert place.holders() == set(ALL_LEASES)
    place.add_machine_to_delete("n-000007")
    place.state_service.operations.clear()
    place.run(0.5)
    recorded = [
        w for ws in place.state_service.operations for w in ws if w.get("put") == "intent/return"
    ]
    assert [obj["n"] for obj in recorded[0]["v"]["i"]] == ["n-000007"]
    assert place.deleted_machines() == ["n-000007"]
    place.run(COMPACTION_DELAY_S + 2.0)
    assert place.store.keys["intent/return"][0] == {"i": []}, "finished intents are dropped"


@pytest.mark.parametrize("lease_name", ["return", "rental"])
def test_nothing_is_asked_for_under_a_token_that_was_replaced(lease_name: str) -> None:
    """The node still believes that it holds the lease: no watch has told it otherwise."""
    place = ServiceWorld(ALL_LEASES)
    place.become_leader()
    key = holder_key(LeaseName(lease_name))
    taken = Transaction({}, [Put(key, {"node": "node-9", "life": "z", "t": 1.0})])
    assert place.store.txn(taken.body())[0] == 200
    place.add_machine_to_delete("n-000007")
    if lease_name == "rental":
        place.scheduler.cluster_state.autoscaler.total_forecast.expected_cpus = 100.0
        place.scheduler.cloud_requests.autoscale(place.clock())
    for _ in range(3):  # written, refused or sent
        place.node.leader_service.process_events()
    paths = [path for path, _ in place.cloud.requests]
    assert ("/machines/delete" in paths) is (lease_name == "rental")
    assert "/machines" not in paths


def test_intents_are_written_although_placements_take_what_they_can() -> None:
    """Placements leave nothing above their own reserve, at each turn of the loop."""
    place = ServiceWorld(ALL_LEASES)
    place.become_leader()
    writes = place.node.store.writes
    take_all = place.node.leader_service._store_requests.process_events

    def place_all(controller: Any, now: MonotonicTime) -> None:
        take_all(controller, now)
        writes.force_take(now, max(0, writes.available(now, RESERVE_PLACEMENTS)))

    place.node.leader_service._store_requests.process_events = place_all  # type: ignore[method-assign]
    place.add_machine_to_delete("n-000007")
    for _ in range(20):
        place.clock.now += 0.02
        place.node.leader_service.process_events()
    assert place.deleted_machines() == ["n-000007"]


def add_overdue_task(place: ServiceWorld, name: str) -> None:
    """A cancelled task that must be gone by now may be on that machine."""
    machine = place.add_machine_to_delete(name)
    spec = users.parse_submission(submission("wk-000001"))
    place.scheduler.add_job(spec, 50, WallTime(0.0), place.clock())
    job = place.scheduler.jobs.jobs[spec.id]
    placement = Placement(
        task_key(job.id, 0), job, 0, Attempt(1), machine.id, phase=PlacementPhase.RUNNING
    )
    machine.placements[placement.key] = placement
    job.is_cancelled, job.kill_deadline_at = True, MonotonicTime(place.clock() - 1.0)


@pytest.mark.parametrize("trouble", ["the state service is out", "the duty is paused"])
def test_a_machine_with_an_overdue_cancelled_task_is_deleted_all_the_same(trouble: str) -> None:
    """`cancel_s` holds whatever becomes of the lease; other returns wait."""
    place = ServiceWorld(ALL_LEASES)
    place.become_leader()
    if trouble == "the duty is paused":
        pause = Transaction({}, [Put("duty/pause/return", {"t": 1.0, "why": ""})])
        assert place.store.txn(pause.body())[0] == 200
        place.node.singleton_service.candidate.on_write_fenced()  # type: ignore[union-attr]
        place.run(1.0)
        assert "return" not in place.holders()
    else:
        place.state_service.status = 503
        place.run(2.0)
    place.cloud.is_silent = True
    place.add_machine_to_delete("n-000007")
    add_overdue_task(place, "n-000008")
    assert place.node.singleton_service is not None
    place.node.singleton_service.cloud_requests.process_events(
        place.scheduler, place.node.leader_service._cloud_requests, place.clock()
    )
    assert place.scheduler.cloud_requests.deletion_admission is RequestAdmission.OVERDUE_ONLY
    place.node.leader_service.process_events()
    assert place.deleted_machines() == ["n-000008"]
    assert place.scheduler.cloud_requests.scale_out_admission is (
        RequestAdmission.OPEN if trouble == "the duty is paused" else RequestAdmission.BLOCKED
    )


def add_ended_job(place: ServiceWorld) -> None:
    place.store.txn(Transaction({}, [Put("gone/wk-000009", {"e": "done"})]).body())
    place.scheduler.transaction_writer.orphaned_keys.append(
        ("gone/wk-000009", Revision(place.store.revision))
    )


def test_clean_up_waits_for_its_window_up_to_a_backlog() -> None:
    closed = {"time_zone": "UTC", "weekly": [{"days": ["mo"], "start": "00:00", "end": "00:01"}]}
    exceptions: list[dict[str, Any]] = []
    place = ServiceWorld(
        ALL_LEASES, cleanup_backlog=2, maintenance=closed | {"exceptions": exceptions}
    )
    place.node.singleton_service.may_run_maintenance = lambda: False  # type: ignore[union-attr,method-assign]
    place.become_leader()
    add_ended_job(place)
    place.run(2.0)
    assert "gone/wk-000009" in place.store.keys
    for n in range(3):
        place.scheduler.transaction_writer.orphaned_keys.append((f"gone/wk-{n:06d}", Revision(0)))
    place.run(2.0)
    assert "gone/wk-000009" not in place.store.keys


def test_clean_up_is_guarded_on_its_token_and_holds_back_nothing_else() -> None:
    place = ServiceWorld(ALL_LEASES)
    place.become_leader()
    key = holder_key(LeaseName.CLEANUP)
    place.store.txn(Transaction({}, [Put(key, {"node": "node-9", "life": "z", "t": 1.0})]).body())
    add_ended_job(place)
    place.node.leader_service.process_events()
    records = place.scheduler.transaction_writer
    assert "gone/wk-000009" in place.store.keys, "its token was replaced"
    duties = place.node.singleton_service
    assert duties is not None
    permit = duties.cleanup_permit(place.scheduler, place.clock())
    assert not permit.is_allowed, "until it has been read who holds the duty"
    assert records.orphaned_keys, "it is still to be deleted"
    place.run(1.0)  # this node leads, so it takes the lease anew, under a higher token
    assert "gone/wk-000009" not in place.store.keys


def test_clean_up_does_not_wait_for_an_idle_moment() -> None:
    """There is always something to write on a busy day: in transactions of its own, clean-up
    would never come to its turn, and ended jobs would fill the placement records."""
    place = ServiceWorld(ALL_LEASES)
    place.become_leader()
    records = place.scheduler.transaction_writer
    busy: list[int] = []

    def add_ends(pending: Any, jobs: Any, ops: int) -> bool:
        busy.append(len(busy))
        pending.transaction.operations.append(Put(f"end/wk-{len(busy):06d}", {"e": "done", "n": 1}))
        return True

    records._builder._add_ends = add_ends
    add_ended_job(place)
    place.node.leader_service.process_events()
    assert "gone/wk-000009" not in place.store.keys
    assert holder_key(LeaseName.CLEANUP) in place.state_service.conditions[-1]


def test_the_holder_stores_a_changed_catalogue() -> None:
    place = ServiceWorld(ALL_LEASES, refresh_s=5.0)
    place.become_leader()
    before = place.store.keys["catalog"][1]
    place.run(12.0)
    assert place.store.keys["catalog"][1] == before, "nothing has changed"
    breeds = [dict(CATALOG["breeds"][0], sku="larger", cpus=64), *CATALOG["breeds"]]
    place.cloud.catalog = {"breeds": breeds}
    place.run(6.0)
    assert {b["sku"] for b in place.store.keys["catalog"][0]["breeds"]} >= {"larger"}
    taken = Transaction(
        {}, [Put(holder_key(LeaseName.CATALOG), {"node": "d", "life": "z", "t": 1.0})]
    )
    place.store.txn(taken.body())
    place.cloud.catalog = CATALOG
    version = place.store.keys["catalog"][1]
    place.node.singleton_service.catalog_refresh._next_refresh_at = MonotonicTime(0.0)  # type: ignore[union-attr]
    place.node.singleton_service.catalog_refresh.tick(place.clock())  # type: ignore[union-attr]
    assert place.store.keys["catalog"][1] == version, "its token was replaced"


def test_a_lease_that_ends_costs_the_duties_until_they_are_taken_anew() -> None:
    place = ServiceWorld(ALL_LEASES)
    place.become_leader()
    tokens = {key: value[1] for key, value in place.store.keys.items() if "holder" in key}
    lease = place.store.keys[holder_key(LeaseName.SCALE_IN)][2]
    assert lease is not None
    place.store.end_lease(LeaseId(lease))
    place.node.singleton_service.candidate.on_keep_alive(False)  # type: ignore[union-attr]
    place.run(1.0)
    assert all(place.store.keys[key][1] > token for key, token in tokens.items())
