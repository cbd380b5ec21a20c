"""The duties of one node in process: what goes out to the state service and the cloud, with the
feature on and off."""

import subprocess
import sys
from pathlib import Path
from typing import Any

import orjson
import pytest

from eldercart.autoscaling.cloud_requests import Admission
from eldercart.cluster.inventory import MachineState
from eldercart.jobs.registry import Phase, Placement
from eldercart.server.controller_node import Node
from eldercart.server.store.client import FOR_PLACING
from eldercart.settings import load_tuning
from eldercart.settings.features import parse_features
from eldercart.settings.platform import parse_platform
from eldercart.singleton.intents import COMPACT_S
from eldercart.units import Attempt, LeaseId, MachineId, Revision, Steady, WallTime, task_key
from eldercart.wire import cloud, users
from eldercart.wire.named_leases import DutyName, holder_key
from eldercart.wire.state import Put, Txn
from simulators import CATALOG, StoreSim
from test_limits import Clock
from world import PLATFORM, submission

ROOT = Path(__file__).resolve().parents[1]
ALL = ["rental", "return", "cleanup", "catalog"]


class StateService:
    """Stands for the HTTP client of the state service; answers at once."""

    def __init__(self, store: StoreSim) -> None:
        self.store = store
        self.status: int | None = 200  # what everything is answered with; 200: as it should be
        self.paths: list[str] = []
        self.writes: list[list[dict[str, Any]]] = []
        self.guards: list[list[str]] = []

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
                self.writes.append(orjson.loads(body)["writes"])
                self.guards.append([guard["path"] for guard in orjson.loads(body)["guards"]])
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


class Cloud:
    """Stands for the HTTP client of the cloud; keeps what is asked, and answers when told to."""

    def __init__(self) -> None:
        self.asked: list[tuple[str, Any]] = []
        self.catalog: Any = CATALOG
        self.silent = False  # keeps what is asked, and never answers it

    def request(self, method: bytes, path: str, body: Any, timeout: float, answer: Any) -> None:
        if path == "/catalog":
            answer(200, orjson.dumps(self.catalog))
        elif method == b"POST":
            self.asked.append((path, orjson.loads(body)))
            if self.silent:
                return
            value = {"wagons": ["n-000001"]} if path == "/machines" else {}
            answer(200, orjson.dumps(value))
        else:
            answer(200, b'{"wagons": [], "more": false}')


class Place:
    """A node that leads by itself, whose clock is turned by hand."""

    def __init__(self, on: list[str] | None, **duties: Any) -> None:
        self.clock = Clock()
        settings = parse_platform(PLATFORM)
        features = None if on is None else parse_features({"duties": {"on": on} | duties})
        self.node = Node(settings, load_tuning(), features)
        self.node.clock = self.clock
        for part in (self.node.store, self.node.store.requests, self.node.store.writes):
            if hasattr(part, "_clock"):
                part._clock = self.clock
        self.sim = StoreSim()
        self.service = StateService(self.sim)
        self.cloud = Cloud()
        self.node.store._http = self.service  # type: ignore[assignment]
        self.node.leader_service._cloud_calls._client = self.cloud  # type: ignore[assignment]
        self.node.leader_service._cloud_calls._tokens._at = self.clock()
        if self.node.duties is not None:
            self.node.duties.catalog._client = self.cloud  # type: ignore[assignment]
        for bucket in (self.node.store.requests, self.node.store.writes):
            bucket._at = self.clock()
        self.node.leader_service.heard_at = self.clock()

    def lead(self) -> None:
        self.run(1.0)
        assert self.node.leader_service.acts

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.1)):
            self.clock.now += 0.1
            now = self.clock()
            self.node.election_service.tick(now)
            self.node.leader_service.tick(now)
            if self.node.duties is not None:
                self.node.duties.tick(now)

    @property
    def controller(self) -> Any:
        return self.node.leader_service.controller

    def holders(self) -> set[str]:
        return {key.rpartition("/")[2] for key in self.sim.keys if key.startswith("duty/holder/")}

    def machine(self, name: str) -> Any:
        """One that is up, and whose deletion is asked for."""
        kind = cloud.parse_catalog(CATALOG)["small"]
        now = self.clock()
        m = self.controller.fleet.add(
            MachineId(name), kind, "a", False, MachineState.UP, now, Steady(now + 1000.0)
        )
        self.controller.scheduler.request_deletion(m, now)
        return m

    def deleted(self) -> list[str]:
        return [n for path, body in self.cloud.asked if "delete" in path for n in body["wagons"]]


def test_off_is_as_before() -> None:
    """Neither a read nor a write nor a call more, and nothing else is announced."""
    place = Place(None)
    place.lead()
    place.machine("n-000007")
    place.run(5.0)
    assert place.deleted() == ["n-000007"]
    assert not [path for path in place.service.paths if "duty" in path or "intent" in path]
    assert not [key for key in place.sim.keys if key.startswith(("duty/", "intent/"))]
    assert place.node.takes == ("recut",)


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
    place = Place(ALL)
    place.lead()
    assert place.holders() == set(ALL)
    place.machine("n-000007")
    place.service.writes.clear()
    place.run(0.5)
    recorded = [w for ws in place.service.writes for w in ws if w.get("put") == "intent/return"]
    assert [obj["n"] for obj in recorded[0]["v"]["i"]] == ["n-000007"]
    assert place.deleted() == ["n-000007"]
    place.run(COMPACT_S + 2.0)
    assert place.sim.keys["intent/return"][0] == {"i": []}, "finished intents are dropped"


@pytest.mark.parametrize("duty", ["return", "rental"])
def test_nothing_is_asked_for_under_a_token_that_was_replaced(duty: str) -> None:
    """The node still believes that it holds the duty: no watch has told it otherwise."""
    place = Place(ALL)
    place.lead()
    key = holder_key(DutyName(duty))
    taken = Txn({}, [Put(key, {"node": "drover-9", "life": "z", "t": 1.0})])
    assert place.sim.txn(taken.body())[0] == 200
    place.machine("n-000007")
    if duty == "rental":
        place.controller.scheduler.rental.any.level = 100.0
        place.controller.cloud.rent(place.clock())
    for _ in range(3):  # written, refused or sent
        place.node.leader_service.process_events()
    paths = [path for path, _ in place.cloud.asked]
    assert ("/machines/delete" in paths) is (duty == "rental")
    assert "/machines" not in paths


def test_intents_are_written_although_placements_take_what_they_can() -> None:
    """Placements leave nothing above their own reserve, at each turn of the loop."""
    place = Place(ALL)
    place.lead()
    writes = place.node.store.writes
    take_all = place.node.leader_service._store_work.process_events

    def place_all(controller: Any, now: Steady) -> None:
        take_all(controller, now)
        writes.force(now, max(0, writes.available(now, FOR_PLACING)))

    place.node.leader_service._store_work.process_events = place_all  # type: ignore[method-assign]
    place.machine("n-000007")
    for _ in range(20):
        place.clock.now += 0.02
        place.node.leader_service.process_events()
    assert place.deleted() == ["n-000007"]


def overdue(place: Place, name: str) -> None:
    """A cancelled task that must be gone by now may be on that machine."""
    m = place.machine(name)
    spec = users.parse_submission(submission("wk-000001"))
    place.controller.add_job(spec, 50, WallTime(0.0), place.clock())
    job = place.controller.jobs.jobs[spec.id]
    p = Placement(task_key(job.id, 0), job, 0, Attempt(1), m.id, phase=Phase.RUNNING)
    m.placed[p.key] = p
    job.cancelled, job.kill_due = True, Steady(place.clock() - 1.0)


@pytest.mark.parametrize("trouble", ["the state service is out", "the duty is paused"])
def test_a_machine_with_an_overdue_cancelled_task_is_deleted_all_the_same(trouble: str) -> None:
    """`cancel_s` holds whatever becomes of the duty; other returns wait."""
    place = Place(ALL)
    place.lead()
    if trouble == "the duty is paused":
        pause = Txn({}, [Put("duty/pause/return", {"t": 1.0, "why": ""})])
        assert place.sim.txn(pause.body())[0] == 200
        place.node.duties.membership.disproved()  # type: ignore[union-attr]
        place.run(1.0)
        assert "return" not in place.holders()
    else:
        place.service.status = 503
        place.run(2.0)
    place.cloud.silent = True
    place.machine("n-000007")
    overdue(place, "n-000008")
    assert place.node.duties is not None
    place.node.duties.calls.process_events(
        place.controller, place.node.leader_service._cloud_calls, place.clock()
    )
    assert place.controller.cloud.returns is Admission.OVERDUE
    place.node.leader_service.process_events()
    assert place.deleted() == ["n-000008"]
    assert place.controller.cloud.rentals is (
        Admission.OPEN if trouble == "the duty is paused" else Admission.HELD
    )


def ended_job(place: Place) -> None:
    place.sim.txn(Txn({}, [Put("gone/wk-000009", {"e": "done"})]).body())
    place.controller.records.orphans.append(("gone/wk-000009", Revision(place.sim.revision)))


def test_clean_up_waits_for_its_window_up_to_a_backlog() -> None:
    closed = {"time_zone": "UTC", "weekly": [{"days": ["mo"], "start": "00:00", "end": "00:01"}]}
    exceptions: list[dict[str, Any]] = []
    place = Place(ALL, cleanup_backlog=2, maintenance=closed | {"exceptions": exceptions})
    place.node.duties.may_maintain = lambda: False  # type: ignore[union-attr,method-assign]
    place.lead()
    ended_job(place)
    place.run(2.0)
    assert "gone/wk-000009" in place.sim.keys
    for n in range(3):
        place.controller.records.orphans.append((f"gone/wk-{n:06d}", Revision(0)))
    place.run(2.0)
    assert "gone/wk-000009" not in place.sim.keys


def test_clean_up_is_guarded_on_its_token_and_holds_back_nothing_else() -> None:
    place = Place(ALL)
    place.lead()
    key = holder_key(DutyName.CLEANUP)
    place.sim.txn(Txn({}, [Put(key, {"node": "drover-9", "life": "z", "t": 1.0})]).body())
    ended_job(place)
    place.node.leader_service.process_events()
    records = place.controller.records
    assert "gone/wk-000009" in place.sim.keys, "its token was replaced"
    duties = place.node.duties
    assert duties is not None
    permit = duties.cleanup_permit(place.controller, place.clock())
    assert not permit.allowed, "until it has been read who holds the duty"
    assert records.orphans, "it is still to be deleted"
    place.run(1.0)  # this node leads, so it takes the duty anew, under a higher token
    assert "gone/wk-000009" not in place.sim.keys


def test_clean_up_does_not_wait_for_an_idle_moment() -> None:
    """There is always something to write on a busy day: in transactions of its own, clean-up
    would never come to its turn, and ended jobs would fill the placement records."""
    place = Place(ALL)
    place.lead()
    records = place.controller.records
    busy: list[int] = []

    def add_ends(pending: Any, jobs: Any, ops: int) -> bool:
        busy.append(len(busy))
        pending.txn.writes.append(Put(f"end/wk-{len(busy):06d}", {"e": "done", "n": 1}))
        return True

    records._add_ends = add_ends
    ended_job(place)
    place.node.leader_service.process_events()
    assert "gone/wk-000009" not in place.sim.keys
    assert holder_key(DutyName.CLEANUP) in place.service.guards[-1]


def test_the_holder_stores_a_changed_catalogue() -> None:
    place = Place(ALL, refresh_s=5.0)
    place.lead()
    before = place.sim.keys["catalog"][1]
    place.run(12.0)
    assert place.sim.keys["catalog"][1] == before, "nothing has changed"
    breeds = [dict(CATALOG["breeds"][0], sku="larger", cpus=64), *CATALOG["breeds"]]
    place.cloud.catalog = {"breeds": breeds}
    place.run(6.0)
    assert {b["sku"] for b in place.sim.keys["catalog"][0]["breeds"]} >= {"larger"}
    taken = Txn({}, [Put(holder_key(DutyName.CATALOG), {"node": "d", "life": "z", "t": 1.0})])
    place.sim.txn(taken.body())
    place.cloud.catalog = CATALOG
    version = place.sim.keys["catalog"][1]
    place.node.duties.catalog._due = Steady(0.0)  # type: ignore[union-attr]
    place.node.duties.catalog.tick(place.clock())  # type: ignore[union-attr]
    assert place.sim.keys["catalog"][1] == version, "its token was replaced"


def test_a_lease_that_ends_costs_the_duties_until_they_are_taken_anew() -> None:
    place = Place(ALL)
    place.lead()
    tokens = {key: value[1] for key, value in place.sim.keys.items() if "holder" in key}
    lease = place.sim.keys[holder_key(DutyName.RETURN)][2]
    assert lease is not None
    place.sim.end_lease(LeaseId(lease))
    place.node.duties.membership.renewed(False)  # type: ignore[union-attr]
    place.run(1.0)
    assert all(place.sim.keys[key][1] > token for key, token in tokens.items())
