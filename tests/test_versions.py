"""This version and the one in production, side by side: what each writes the other reads, a leader
of either takes over from one of the other, and a service is replaced node by node.

`versions/production.json` holds what production's own code wrote, see `versions/record.py`. Its
code itself is run where the repository's history is at hand; where it is not, what it would read is
only compared with what it would have written, and a warning says so.

Not covered here: sockets and the processes' own start and end (a greeting crosses only as bytes),
grants and the spread of workers as a leader counts them, direct commands to workers, outages of the
state service, and a leader of production after a job with dependencies has started: it drops the
sheets that hold only such jobs, so a task on a machine that it does not hear would run twice. None
of those is asked for before all nodes have the new version; there is no way back while one is open.
"""

import importlib
import random
import sys
import warnings
from collections.abc import Iterator
from dataclasses import dataclass, fields, is_dataclass
from enum import Enum
from pathlib import Path
from types import ModuleType
from typing import Any

import orjson
import pytest

from eldercart.core.controller import Controller, Verdict
from eldercart.core.jobs import job_record, needs_prefix
from eldercart.core.relay import Relay
from eldercart.units import Epoch, JobId, NodeId, Revision, Steady
from eldercart.wire import peers, users
from eldercart.wire.state import Item
from eldercart.wire.users import ListReference
from relayworld import RelayWorld
from standins import CATALOG
from test_core import finish, submit_all
from versions import reading, record
from world import PLATFORM, submission

RECORDED = Path(record.__file__).parent / "production.json"
SAMPLES: dict[str, Any] = orjson.loads(RECORDED.read_bytes())
ALIAS = "eldercart_production"


NOT_RUN = "the code of the version in production was NOT run: no history is at hand"


@pytest.fixture(scope="module")
def tree(tmp_path_factory: pytest.TempPathFactory) -> Path | None:
    """The sources of the version in production."""
    folder = tmp_path_factory.mktemp("production")
    if record.unpack(folder):
        return folder
    warnings.warn(NOT_RUN, stacklevel=1)
    return None


# -- what production writes, this version reads


def of_today(value: Any) -> Any:
    """What production read, with the fields that came since."""
    if isinstance(value, list):
        return [of_today(v) for v in value]
    if not isinstance(value, dict):
        return value
    value = {k: of_today(v) for k, v in value.items()}
    if "verdict" in value:
        value["waiting"] = []
    if "lent" in value:
        value["ready"] = True
    if "store_ok" in value:
        value |= {"takes": [], "low_ms": 0}
    if "deadline_s" in value:
        value["dependencies"] = []
    return value


def test_the_samples_are_of_the_version_in_production(tree: Path | None) -> None:
    assert SAMPLES["production"] == record.production()
    if tree is not None:
        fresh = orjson.loads(record.run_as(tree, "record.py"))
        assert fresh == SAMPLES, "record them again: python3 tests/versions/record.py"


@pytest.mark.parametrize("name", SAMPLES["frames"])
def test_frames_of_production_are_read(name: str) -> None:
    sample = SAMPLES["frames"][name]
    assert reading.read_frame(sample["data"]) == of_today(sample["read"])


def test_the_samples_hold_every_kind() -> None:
    kinds = {orjson.loads(f["data"])["k"] for f in SAMPLES["frames"].values()}
    assert kinds == {
        peers.GREET, peers.GREETED, peers.REPORTS, peers.ANSWERS, peers.POLLS, peers.STATES,
        peers.CANCEL, peers.CANCELLED, peers.WANT, peers.DROPPED,
    }  # fmt: skip
    alone = {r["found"]["path"].partition("/")[0] for r in SAMPLES["records"]}
    assert alone == {"job", "end", "gone", "memo", "catalog", "lead"}
    books = [s["read"]["jobs"].values() for s in SAMPLES["stores"]]
    assert any(j["placed"] and j["done"] and len(j["attempts"]) > 1 for b in books for j in b)
    assert any(j["ended"] == users.CANCELLED for b in books for j in b)
    parts = [i["v"]["p"] for s in SAMPLES["stores"] for i in s["store"] if is_sheet(i)]
    assert any(len(p) > 1 for p in parts)
    remembered = [s["read"]["remembered"] for s in SAMPLES["stores"]]
    assert any(r[0] for r in remembered) and any(r[1] for r in remembered)
    assert any(record.changed_copies([*filter(is_sheet, s["store"])]) for s in SAMPLES["stores"])
    assert any(sum(map(is_sheet, s["store"])) > 1 for s in SAMPLES["stores"])


def is_sheet(found: dict[str, Any]) -> bool:
    return str(found["path"]).startswith("place/")


@pytest.mark.parametrize("sample", SAMPLES["records"], ids=lambda s: s["found"]["path"])
def test_records_of_production_are_read(sample: dict[str, Any]) -> None:
    assert reading.read_record(sample["found"]) == of_today(sample["read"])


@pytest.mark.parametrize("number", range(len(SAMPLES["stores"])))
def test_states_of_production_are_taken_over(number: int) -> None:
    """The same placements, tasks done, ends and memories as production would go on with."""
    sample = SAMPLES["stores"][number]
    assert reading.take_over(sample["store"]) == sample["read"]


# -- what this version writes, production reads


def test_the_same_is_written_as_by_production() -> None:
    """With nothing of what came since: the bytes are the same but for `ready`, `takes` and `low`,
    which production does not look for."""
    for name, write in reading.FRAMES.items():
        written = orjson.loads(write())
        if written["k"] == peers.GREETED:
            assert written.pop("ready") is True
        if written["k"] in (peers.GREET, peers.GREETED):
            assert (written.pop("takes"), written.pop("low")) == ([], 0)
        assert written == orjson.loads(SAMPLES["frames"][name]["data"]), name
    alone = [*reading.job_records(), reading.lead_record(), reading.catalog_record(CATALOG)]
    assert alone == [s["found"] for s in SAMPLES["records"][: len(alone)]]


def test_sheets_are_written_again_as_they_were() -> None:
    """A part that was moved stays only where the higher attempt is, or of equals the newer."""
    for sample in SAMPLES["stores"]:
        sheets = [found for found in sample["store"] if is_sheet(found)]
        expected: dict[str, list[Any]] = {found["path"]: [] for found in sheets}
        best: dict[tuple[str, int], tuple[int, int, str, Any]] = {}
        for found in sheets:
            for part in found["v"]["p"]:
                name, number, value = part
                if name in sample["read"]["jobs"]:
                    copy = (value["a"], found["stamp"], found["path"], part)
                    best[name, number] = max(
                        best.get((name, number), copy), copy, key=lambda c: c[:2]
                    )
        for _, _, path, part in best.values():
            expected[path].append(part)
        again = reading.write_again(sample["store"])
        assert {k: sorted(v["p"]) for k, v in again.items()} == {
            k: sorted(v) for k, v in expected.items()
        }


def shape(value: Any) -> Any:
    """Which fields there are, and of which kind; the lengths of lists that hold one kind do not
    count, nor do the names in a mapping."""
    if isinstance(value, dict):
        return {k: shape(v) for k, v in value.items()}
    if isinstance(value, list):
        kinds = [shape(v) for v in value]
        return kinds[:1] if all(k == kinds[0] for k in kinds) and len(kinds) > 3 else kinds
    return "number" if type(value) in (int, float) else type(value).__name__


@pytest.fixture(scope="module")
def written() -> list[list[dict[str, Any]]]:
    """As `record.stores` made them with production: by this version's leader, without
    dependencies."""
    return record.stores()


def test_records_have_the_shapes_of_production(written: list[list[dict[str, Any]]]) -> None:
    """Job records, ends and markers, of which each job has one."""
    known: dict[str, list[Any]] = {}
    for sample in SAMPLES["stores"]:
        for found in sample["store"]:
            known.setdefault(found["path"].partition("/")[0], []).append(shape(found["v"]))
    seen = set()
    for found in (i for store in written for i in store):
        kind = found["path"].partition("/")[0]
        if kind in ("job", "end", "gone", "lead"):
            seen.add(kind)
            fields = dict(found["v"])
            if kind == "gone":
                # When it was cancelled: production reads no more of it than how the job ended.
                assert type(fields.pop("t")) is float
            assert shape(fields) in known[kind] or kind == "lead", found
        elif kind == "memo" and "images" in found["path"]:
            assert list(found["v"]) == ["n", "g", "m"]
        elif kind == "place":
            assert list(found["v"]) == ["p"]
            for job, number, part in found["v"]["p"]:
                assert (type(job), type(number), list(part)) == (str, int, ["a", "d", "r"])
                assert type(part["a"]) is int
                assert all([type(x) for x in d] == [int, int] for d in part["d"])
                assert all([type(x) for x in r] == [int, int, str] for r in part["r"])
    assert {"job", "end", "gone"} <= seen


NEWER: dict[str, bytes] = {
    "greeted, not ready": peers.greeted(
        peers.Greeted(1, Epoch(9), False, True, 0, None, 0, ready=False)
    ),
    "greeted, of what it reads": peers.greeted(
        peers.Greeted(1, Epoch(9), True, True, 0, None, 0, peers.TAKES, 3000)
    ),
    "states with what is awaited": peers.states(
        peers.STATES, [peers.Told(1, users.PENDING, 0, 0, ("wk-a", "wk-b")),
                       peers.Told(2, users.RUNNING, 1, 1)],
    ),
    "cancelled": peers.states(peers.CANCELLED, [peers.Told(1, users.CANCELLED, 0, 0)]),
}  # fmt: skip


def awaiting(job: str, elsewhere: ListReference | None = None) -> dict[str, Any]:
    spec = users.parse_submission(submission(job, awaits=["wk-long", "wk-000004"]))
    return {"path": f"job/{job}", "v": job_record(spec, 136, 1234.5, elsewhere), "stamp": 7}


def without(value: Any) -> Any:
    """What production can know of it."""
    if isinstance(value, list):
        return [without(v) for v in value]
    if not isinstance(value, dict):
        return value
    new = ("waiting", "ready", "dependencies", "takes", "low_ms")
    return {k: without(v) for k, v in value.items() if k not in new}


def test_what_is_written_is_read_by_production(
    tree: Path | None, written: list[list[dict[str, Any]]]
) -> None:
    """Every frame and record, and whole states: a leader of production goes on with the same
    placements and the same tasks done, and finds nothing that it can't read."""
    if tree is None:
        pytest.skip(f"{NOT_RUN}; what is written was compared with what it wrote, above")
    stores = written
    reference = ListReference("nonce", 1)
    chained = [awaiting("wk-chain"), awaiting("wk-chain2", reference)]
    lists = {"path": needs_prefix(JobId("wk-chain2"), reference) + "0", "v": ["wk-long"]}
    mixed = [*stores[0], *chained, {**lists, "stamp": 7}]
    frames = {name: write() for name, write in reading.FRAMES.items()} | NEWER
    alone = [
        i for s in stores for i in s
        if i["path"].partition("/")[0] in ("end", "gone", "memo", "lead", "job")
    ]  # fmt: skip
    alone += [*reading.job_records(), reading.lead_record(), reading.catalog_record(CATALOG)]
    asked = {
        "frames": {name: data.decode() for name, data in frames.items()},
        "records": [*alone, *chained],
        "stores": [*stores, mixed],
    }
    theirs = orjson.loads(record.run_as(tree, "reading.py", orjson.dumps(asked)))
    ours = reading.answer(asked)
    for name in asked["frames"]:
        assert theirs["frames"][name] == without(ours["frames"][name]), name
    for found, they, we in zip(alone, theirs["records"], ours["records"], strict=False):
        assert they == without(we), found
    # A job that awaits others: production calls its record unreadable and starts nothing of it.
    assert [str(r).split(":")[0] for r in theirs["records"][len(alone) :]] == ["unreadable"] * 2
    assert [str(r).split(":")[0] for r in ours["records"][len(alone) :]][1] == "unreadable"
    assert ours["records"][len(alone)]["spec"]["dependencies"] == ["wk-long", "wk-000004"]
    *plain, with_chains = theirs["stores"]
    assert plain == ours["stores"][:-1]
    for state in plain:
        assert state["unread"] == 0
        assert not any(job["unreadable"] for job in state["jobs"].values())
    for at in (0, 1):  # images, run times
        assert any(state["remembered"][at] for state in plain)
    assert sum(len(job["placed"]) for state in plain for job in state["jobs"].values()) > 100
    assert sum(job["count"] for state in plain for job in state["jobs"].values()) > 50
    assert with_chains == plain[0], "it keeps the jobs that await others out of its book"


# -- nodes of both versions


@dataclass
class Version:
    """Production's code in this process, under another package name."""

    package: str

    def module(self, name: str) -> ModuleType:
        return importlib.import_module(f"{self.package}.{name}")

    def __call__(self, value: Any) -> Any:
        """The same in this version's types: fields that it does not have are left out."""
        kind = type(value)
        if isinstance(value, tuple) and hasattr(value, "_fields"):
            return self.type(kind)(*map(self, value))
        if isinstance(value, list | tuple):
            return kind(map(self, value))
        if isinstance(value, Enum):
            return self.type(kind)[value.name]
        if is_dataclass(value):
            own = self.type(kind)
            names = {f.name for f in fields(own)}
            given = {f.name: getattr(value, f.name) for f in fields(value) if f.name in names}
            return own(**{name: self(part) for name, part in given.items()})
        return value

    def type(self, kind: type) -> Any:
        _, _, module = kind.__module__.partition(".")
        return getattr(self.module(module), kind.__name__) if module else kind


HERE = Version("eldercart")


class Translated:
    """An object of the other version: what goes in and out is put in its types, or in ours."""

    def __init__(self, version: Version, inner: Any) -> None:
        self._version, self._inner = version, inner

    def __getattr__(self, name: str) -> Any:
        found = getattr(self._inner, name)
        if not callable(found):
            return found

        def call(*args: Any, **kwargs: Any) -> Any:
            given = {key: self._version(value) for key, value in kwargs.items()}
            return HERE(found(*map(self._version, args), **given))

        return call


class ProductionLeader(Translated):
    """Production's controller: it knows no direct commands and reads no ends of others."""

    _call: Any = None

    def next_txn(self, now: Steady, ops: int) -> Any:
        return self._inner.next_txn(now, ops)

    def add_job(self, spec: users.JobSpec, size: int, at: float, now: Steady) -> None:
        """It reads the record."""
        record = job_record(spec, size, at)
        self._inner.learn_job(Item(f"job/{spec.id}", record, Revision(1)), now)

    def next_memo(self, now: Steady) -> Any:
        return self._inner.next_memo(now)

    def txn_done(self, pending: Any, outcome: Any, *rest: Any) -> Any:
        return self._inner.txn_done(pending, self._version(outcome), *rest)

    def next_cloud(self, now: Steady) -> Any:
        self._call = self._inner.next_cloud(now)
        return HERE(self._call)

    def cloud_done(self, call: Any, *rest: Any) -> Any:
        return self._inner.cloud_done(self._call, *rest)

    def take_orders(self, now: Steady) -> list[Any]:
        return []

    def take_unread(self, now: Steady, most: int) -> list[Any]:
        return []


@pytest.fixture(scope="module")
def production(tree: Path | None) -> Iterator[Version | None]:
    if tree is None:
        yield None
        return
    (tree / ALIAS).mkdir()
    for source in (tree / "src" / "eldercart").rglob("*"):
        into = tree / ALIAS / source.relative_to(tree / "src" / "eldercart")
        if source.is_dir():
            into.mkdir(exist_ok=True)
        elif source.suffix == ".py":
            into.parent.mkdir(exist_ok=True)
            into.write_text(source.read_text().replace("eldercart", ALIAS))
        else:
            into.write_bytes(source.read_bytes())
    sys.path.insert(0, str(tree))
    yield Version(ALIAS)
    sys.path.remove(str(tree))
    for name in [m for m in sys.modules if m.partition(".")[0] == ALIAS]:
        del sys.modules[name]


class MixedWorld(RelayWorld):
    """Each node has the old version until it is replaced; one that crashes comes back with the
    version that it had. The rules are checked at every step, as ever."""

    def __init__(self, seed: int, production: Version, nodes: int = 3, **faults: Any) -> None:
        self.production = production
        self.replaced: set[int] = set()
        self.wanted: bool | None = None  # whether the next leader should be a new one
        self.led: list[bool] = []  # for each leader, whether it was a new one
        super().__init__(seed, nodes, **faults)

    def choose(self, free: list[int]) -> int:
        like = [i for i in free if self.wanted is None or (i in self.replaced) is self.wanted]
        return self.rng.choice(like or free)

    def new_controller(self, epoch: Epoch) -> Any:
        new = self.leader in self.replaced
        self.led.append(new)
        if new:
            return super().new_controller(epoch)
        p = self.production
        settings = p.module("settings.platform").parse_platform(PLATFORM)
        types = p.module("wire.cloud").parse_catalog(CATALOG)
        inner = p.module("core.controller").Controller(
            settings, p.module("settings").load_tuning(), epoch, types, self.now, self.now,
            self.life,
        )  # fmt: skip
        return ProductionLeader(p, inner)

    def new_relay(self, i: int) -> Any:
        if i in self.replaced:
            return super().new_relay(i)
        inner = self.production.module("core.relay").Relay(
            NodeId(f"n{i}"), 0.4 * self.settings.lease_s, 0.02
        )
        return Translated(self.production, inner)

    def replace(self, i: int) -> None:
        self.replaced.add(i)
        self.crash(i)

    def hand_over(self, new: bool) -> None:
        """The leader crashes while tasks run, and one of that version leads."""
        assert any(m.on() for m in self.cloud.machines.values())
        self.wanted = new
        self.crash(self.leader)
        self.wanted = None
        assert self.led[-1] is new

    def watch(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.run(0.5)
            self.poll_all()


TROUBLES: list[dict[str, Any]] = [
    {},
    {"txn_lost": 0.15, "txn_twice": 0.1, "cloud_lost": 0.1},
    {"report_lost": 0.05, "report_twice": 0.1, "answer_lost": 0.05, "mesh_lost": 0.05},
]


@pytest.mark.parametrize("faults", TROUBLES, ids=lambda f: " ".join(f) or "quiet")
def test_leaders_of_both_versions_in_turn(
    production: Version | None, faults: dict[str, Any]
) -> None:
    """Old, new, old, new, with jobs running and some cancelled; then the last node is replaced, and
    jobs that await others follow."""
    if production is None:
        pytest.skip(NOT_RUN)
    w = MixedWorld(5, production, 4, **faults)
    submit_all(w)
    w.submit("wk-long", parcels=500, cpus=1.0, run_s=9.0)  # runs all the time, in several parts
    w.watch(15)
    w.cancel("wk-000006")
    w.replace(1)
    w.watch(6)
    w.replace(2)
    for round_, new in enumerate((True, False, True)):
        w.hand_over(new)
        for i in range(3):
            w.submit(f"wk-{round_}{i}", parcels=8 + 10 * i, run_s=3.0 + 2 * i, urgency="urgent")
        w.watch(9)
        w.cancel(f"wk-{round_}2")
        w.watch(2)
        if not new:
            # Nothing like it is asked for yet; all the same, it waits for a leader that reads it.
            w.submit("wk-early", parcels=3, awaits=["wk-11", "wk-000000"])
            assert w.controller.status(JobId("wk-early")) is Verdict.UNKNOWN_JOB
    for i in sorted(set(range(w.nodes)) - w.replaced):
        w.replace(i)
        w.watch(3)
    w.submit("wk-first", parcels=3)
    w.submit("wk-second", parcels=3, awaits=["wk-first"])
    finish(w)
    w.watch(3)
    changes = [b for a, b in zip([None, *w.led], w.led, strict=False) if a is not b]
    assert changes[:4] == [False, True, False, True], w.led
    assert {w.end_in_store(job) for job in w.jobs} == {users.DONE, users.CANCELLED}
    assert {w.end_in_store(job) for job in ("wk-early", "wk-second")} == {users.DONE}


@pytest.mark.parametrize("seed", range(4))
def test_nodes_are_replaced_at_random(production: Version | None, seed: int) -> None:
    """Two at a time, in any order, while others crash and come back with what they had or stand
    still for a while, and machines hang."""
    if production is None:
        pytest.skip(NOT_RUN)
    rng = random.Random(seed)
    w = MixedWorld(seed, production, 5, txn_lost=0.1, report_twice=0.1, answer_lost=0.05,
                   mesh_lost=0.05)  # fmt: skip
    submit_all(w)
    todo = list(range(w.nodes))
    rng.shuffle(todo)
    while todo:
        w.watch(rng.uniform(2, 8))
        for i in todo[:2]:
            w.replace(i)
        todo = todo[2:]
        w.watch(rng.uniform(1, 5))
        machine = rng.choice([*w.cloud.machines.values(), None])
        if machine is not None:
            machine.hangs_until = w.now + rng.uniform(2, 2.0 * w.settings.lease_s)
        if rng.random() < 0.5:
            w.crash(rng.randrange(w.nodes))
        else:
            w.sleep(rng.choice([w.leader, rng.randrange(w.nodes)]), rng.uniform(2, 8))
        w.submit(f"wk-{len(todo)}", parcels=20, urgency="urgent")
    finish(w)
    w.watch(3)
    assert {w.end_in_store(job) for job in w.jobs} == {users.DONE}
    assert (w.led[0], w.led[-1]) == (False, True)


def test_the_alias_is_production(production: Version | None) -> None:
    if production is None:
        pytest.skip(NOT_RUN)
    assert production.module("core.controller").Controller is not Controller
    assert production.module("core.relay").Relay is not Relay
    assert not hasattr(production.module("wire.peers").Told(1, "done", 0, 0), "waiting")
    with pytest.raises(ModuleNotFoundError):
        production.module("core.graph")
