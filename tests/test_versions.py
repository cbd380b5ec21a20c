"""This version and each one that it may meet, side by side: what each writes the other reads, a
leader of either takes over from one of the other, and a service is replaced node by node.

`versions/<commit>.json` holds what that version's own code wrote, see `versions/record.py`. Its
code itself is run where the repository's history is at hand; where it is not, what it would read is
only compared with what it would have written, and a warning says so.

Not covered here: sockets and the processes' own start and end (a greeting crosses only as bytes),
grants and the spread of workers as a leader counts them, and a leader of 0782287 after a job with
dependencies has started: it drops the placement records that hold only such jobs, so a task on a
machine that it does not hear would run twice. None of those is asked for before all nodes have the
new version; there is no way back to it while one is open. `test_upgrade` has whole replacements.
"""

import dataclasses
import random
from typing import Any

import orjson
import pytest

from eldercart.cluster.heartbeat_relay import (
    Acknowledge,
    Decision,
    Forward,
    HeartbeatRelay,
    Redirect,
)
from eldercart.scheduling.scheduler import LookupFailure, Scheduler
from eldercart.settings.platform import parse_platform
from eldercart.units import (
    AgentEpoch,
    FencingToken,
    HeartbeatSequence,
    JobId,
    MachineId,
    MonotonicTime,
    NodeId,
)
from eldercart.wire import peers, users
from eldercart.wire.stored_jobs import dependency_list_prefix, encode_job_record
from eldercart.wire.users import DependencyListReference
from simulators import CATALOG
from test_core import finish, submit_all
from test_gap import RelayServiceFixture
from test_limits import NEXT, platform
from versions import history, reading, record, writing
from versions.adapters import EarlierRelay
from versions.legacy.old_nodes import OldRelay
from versions.mixed import MixedWorld
from world import submission

SHORTS = list(record.VERSIONS)
BEFORE_CHAINS, WITH_CHAINS = "0782287", "852ab75"
Store = list[dict[str, Any]]

each_version = pytest.mark.parametrize("short", SHORTS)


def each_sample(kind: str) -> pytest.MarkDecorator:
    """Over the versions and their samples, by number or name."""
    cases = []
    for short in SHORTS:
        found = history.samples(short).get(kind, [])
        names = found if isinstance(found, dict) else range(len(found))
        cases += [pytest.param(short, name, id=f"{short}-{name}") for name in names]
    return pytest.mark.parametrize(("short", "name"), cases)


# -- what they write, this version reads


def of_today(short: str, value: Any) -> Any:
    """What the version read, with the fields that came since."""
    if short != BEFORE_CHAINS:
        return value
    if isinstance(value, list):
        return [of_today(short, v) for v in value]
    if not isinstance(value, dict):
        return value
    value = {k: of_today(short, v) for k, v in value.items()}
    if "verdict" in value:
        value["waiting"] = []
    if "lent" in value:
        value["ready"] = True
    if "store_ok" in value:
        value |= {"takes": [], "low_ms": 0}
    if "deadline_s" in value:
        value["dependencies"] = []
    if "attempts" in value:
        value |= {"awaited": [], "ready": True, "orphaned": False}
    return value


def test_the_version_in_production_is_among_them() -> None:
    assert record.production() in record.VERSIONS.values()
    for short, commit in record.VERSIONS.items():
        assert commit.startswith(short)


@each_version
def test_the_samples_are_of_the_version(short: str) -> None:
    """Recorded by its own code, which writes the same again."""
    assert history.samples(short)["production"] == record.VERSIONS[short]
    history.tree(short)
    fresh = orjson.loads(record.record(record.VERSIONS[short]))
    assert fresh == history.samples(short), "samples are never changed: this tells of the recorder"


@pytest.mark.parametrize(
    ("next_", "limits"),
    [
        (None, (32 * 1024, 20)),
        (NEXT, (2048, 6)),
        ({"value_kb": 2.0}, (2048, 20)),
        ({"txn_ops": 6, "unheard_of": "x"}, (32 * 1024, 6)),
        ({"value_kb": 64, "txn_ops": 40}, (32 * 1024, 20)),  # they never rise
    ],
)
@each_version
def test_all_versions_start_with_the_same_settings(
    short: str, next_: dict[str, Any] | None, limits: tuple[int, int]
) -> None:
    """0782287 does not know `state.next` and reads the settings as without it; 852ab75 cuts what it
    writes by the same limits as this version, or records of either would be too large."""
    parse = history.earlier(short).old_module("settings.platform").parse_platform
    theirs = dataclasses.asdict(parse(platform(next_)))
    ours = parse_platform(platform(next_))
    assert (ours.value_bytes, ours.txn_ops) == limits
    if short == BEFORE_CHAINS:
        assert theirs == dataclasses.asdict(parse(platform()))
    else:
        assert (theirs["value_bytes"], theirs["txn_ops"]) == limits


@each_sample("frames")
def test_frames_are_read(short: str, name: str) -> None:
    sample = history.samples(short)["frames"][name]
    assert reading.read_frame(sample["data"]) == of_today(short, sample["read"])


@each_version
def test_the_samples_hold_every_kind(short: str) -> None:
    samples = history.samples(short)
    kinds = {orjson.loads(f["data"])["k"] for f in samples["frames"].values()}
    assert kinds == {
        peers.PEER_HEARTBEAT,
        peers.PEER_HEARTBEAT_ACK,
        peers.FORWARDED_HEARTBEATS,
        peers.HEARTBEAT_REPLIES,
        peers.POLLS,
        peers.JOB_STATES,
        peers.CANCEL,
        peers.CANCEL_REPLIES,
        peers.NEXT_HEARTBEAT_REQUESTS,
        peers.UNDELIVERED,
    }
    alone = {r["found"]["path"].partition("/")[0] for r in samples["records"]}
    assert alone == {"job", "end", "gone", "memo", "catalog", "lead"}
    registries = [s["read"]["jobs"].values() for s in samples["stores"]]
    assert any(j["placed"] and j["done"] and len(j["attempts"]) > 1 for b in registries for j in b)
    assert any(j["ended"] == users.CANCELLED for b in registries for j in b)
    parts = [i["v"]["p"] for s in samples["stores"] for i in s["store"] if is_placement_record(i)]
    assert any(len(p) > 1 for p in parts)
    remembered = [s["read"]["remembered"] for s in samples["stores"]]
    assert any(r[0] for r in remembered) and any(r[1] for r in remembered)
    stores = [s["store"] for s in samples["stores"]]
    assert any(writing.changed_copies([*filter(is_placement_record, store)]) for store in stores)
    assert any(sum(map(is_placement_record, store)) > 1 for store in stores)


def test_the_samples_hold_what_came_with_chains() -> None:
    samples = history.samples(WITH_CHAINS)
    frames = [orjson.loads(f["data"]) for f in samples["frames"].values()]
    assert any(
        f.get("takes") == ["recut"] and f["low"] > 0
        for f in frames
        if f["k"] == peers.PEER_HEARTBEAT
    )
    assert any(f.get("ready") is False for f in frames)
    assert any(told.get("w") for f in frames if f["k"] == peers.JOB_STATES for told in f["i"])
    assert any(len(r["found"]["v"]["s"]) > 18 for r in samples["records"] if is_job(r["found"]))
    assert any(found["lists"] for found in samples["lists"])
    registries = [job for s in samples["stores"] for job in s["read"]["jobs"].values()]
    assert any(job["awaited"] and not job["ready"] for job in registries)
    assert any(not job["awaited"] and job["ready"] for job in registries)
    parts = [
        p
        for s in samples["stores"]
        for i in s["store"]
        if is_placement_record(i)
        for p in i["v"]["p"]
    ]
    assert any("n" in part for _, _, part in parts), "finer parts"


def is_placement_record(found: dict[str, Any]) -> bool:
    return str(found["path"]).startswith("place/")


def is_job(found: dict[str, Any]) -> bool:
    return str(found["path"]).startswith("job/")


@each_sample("records")
def test_records_are_read(short: str, name: int) -> None:
    sample = history.samples(short)["records"][name]
    assert reading.read_record(sample["found"]) == of_today(short, sample["read"])


@each_sample("lists")
def test_lists_of_dependencies_are_read(short: str, name: int) -> None:
    """Also one of which a part is missing: then it is not known what the job awaits."""
    sample = history.samples(short)["lists"][name]
    assert reading.read_lists(sample["record"], sample["lists"]) == sample["read"]


@each_sample("stores")
def test_states_are_taken_over(short: str, name: int) -> None:
    """The same placements, tasks done, ends and memories as that version would go on with."""
    sample = history.samples(short)["stores"][name]
    assert reading.take_over(sample["store"]) == of_today(short, sample["read"])


# -- what this version writes, they read


def test_the_same_is_written_as_before_chains() -> None:
    """With nothing of what came since: the bytes are the same but for `ready`, `takes` and `low`,
    which 0782287 does not look for."""
    samples = history.samples(BEFORE_CHAINS)
    for name, write in reading.FRAMES.items():
        written = orjson.loads(write())
        if written["k"] == peers.PEER_HEARTBEAT_ACK:
            assert written.pop("ready") is True
        if written["k"] in (peers.PEER_HEARTBEAT, peers.PEER_HEARTBEAT_ACK):
            assert (written.pop("takes"), written.pop("low")) == ([], 0)
        assert written == orjson.loads(samples["frames"][name]["data"]), name
    alone = plain_records()
    assert alone == [s["found"] for s in samples["records"][: len(alone)]]


def test_the_same_is_written_as_with_chains() -> None:
    """All bytes are the same."""
    samples = history.samples(WITH_CHAINS)
    frames = reading.FRAMES | reading.NEWER_FRAMES
    assert {name: write().decode() for name, write in frames.items()} == {
        name: sample["data"] for name, sample in samples["frames"].items()
    }
    alone = [*plain_records(), *reading.chained_records()]
    assert alone == [s["found"] for s in samples["records"][: len(alone)]]
    assert reading.chained_lists() == samples["lists"][0]["lists"]


def plain_records() -> Store:
    return [*reading.job_records(), reading.lead_record(), reading.catalog_record(CATALOG)]


@each_version
def test_placement_records_are_written_again_as_they_were(short: str) -> None:
    """A part that was moved stays only where the higher attempt is, or of equals the newer."""
    for sample in history.samples(short)["stores"]:
        placement_records = [found for found in sample["store"] if is_placement_record(found)]
        if any("n" in part for found in placement_records for _, _, part in found["v"]["p"]):
            continue  # see below
        expected: dict[str, list[Any]] = {found["path"]: [] for found in placement_records}
        best: dict[tuple[str, int], tuple[int, int, str, Any]] = {}
        for found in placement_records:
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
        assert {k: sorted(v["p"], key=str) for k, v in again.items()} == {
            k: sorted(v, key=str) for k, v in expected.items()
        }


def test_finer_parts_are_written_again_as_they_were() -> None:
    """Each finer part of a job that is open, and beside them nothing that they cover."""
    finer = 0
    for sample in history.samples(WITH_CHAINS)["stores"]:
        again = reading.write_again(sample["store"])
        for found in filter(is_placement_record, sample["store"]):
            for part in found["v"]["p"]:
                if "n" in part[2] and part[0] in sample["read"]["jobs"]:
                    finer += 1
                    assert part in again[found["path"]]["p"]
    assert finer > 3


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
def written() -> list[Store]:
    """As the samples were made: by this version's leader, without dependencies."""
    return writing.stores()


@pytest.fixture(scope="module")
def chained() -> list[Store]:
    """With dependencies, and with finer parts."""
    return writing.chains()


@each_version
def test_records_have_the_shapes_of_the_version(
    short: str, written: list[Store], chained: list[Store]
) -> None:
    """Job records, ends and markers, of which each job has one."""
    known: dict[str, list[Any]] = {}
    for sample in history.samples(short)["stores"]:
        for found in sample["store"]:
            known.setdefault(found["path"].partition("/")[0], []).append(shape(found["v"]))
    seen = set()
    stores = written if short == BEFORE_CHAINS else written + chained
    for found in (i for store in stores for i in store):
        kind = found["path"].partition("/")[0]
        if kind in ("job", "end", "gone", "lead"):
            seen.add(kind)
            fields = dict(found["v"])
            if kind == "gone" and short == BEFORE_CHAINS:
                # When it was cancelled: this one reads no more of it than how the job ended.
                assert type(fields.pop("t")) is float
            assert shape(fields) in known[kind] or kind == "lead", found
        elif kind == "memo" and "images" in found["path"]:
            assert list(found["v"]) == ["n", "g", "m"]
        elif kind == "place":
            assert list(found["v"]) == ["p"]
            for job, number, part in found["v"]["p"]:
                assert (type(job), type(number)) == (str, int)
                finer = "n" in part
                assert list(part) == ["a", "d", "r", "n"][: 4 if finer else 3]
                assert not finer or (short == WITH_CHAINS and type(part["n"]) is int)
                assert type(part["a"]) is int
                assert all([type(x) for x in d] == [int, int] for d in part["d"])
                assert all([type(x) for x in r] == [int, int, str] for r in part["r"])
    assert {"job", "end", "gone"} <= seen


def awaiting(job: str, elsewhere: DependencyListReference | None = None) -> dict[str, Any]:
    spec = users.parse_submission(submission(job, awaits=["wk-long", "wk-000004"]))
    return {"path": f"job/{job}", "v": encode_job_record(spec, 136, 1234.5, elsewhere), "stamp": 7}


def without(value: Any) -> Any:
    """What 0782287 can know of it."""
    if isinstance(value, list):
        return [without(v) for v in value]
    if not isinstance(value, dict):
        return value
    new = ("waiting", "ready", "dependencies", "takes", "low_ms", "awaited", "orphaned")
    told = {k: without(v) for k, v in value.items() if k not in new}
    if "attempts" in value:
        told["waiting"] = value["waiting"]  # here the number of tasks that wait
    return told


def of_kinds(stores: list[Store], *kinds: str) -> Store:
    return [i for s in stores for i in s if i["path"].partition("/")[0] in kinds]


def asked_of(short: str, asked: dict[str, Any]) -> dict[str, Any]:
    """What that version's own code makes of it."""
    tree = history.tree(short)
    answer = record.run_as(tree, "old_reading.py", given=orjson.dumps(asked))
    found: dict[str, Any] = orjson.loads(answer)
    return found


def test_what_is_written_is_read_before_chains(written: list[Store]) -> None:
    """Every frame and record, and whole states: a leader of 0782287 goes on with the same
    placements and the same tasks done, and finds nothing that it can't read."""
    reference = DependencyListReference("nonce", 1)
    chained = [awaiting("wk-chain"), awaiting("wk-chain2", reference)]
    lists = {"path": dependency_list_prefix(JobId("wk-chain2"), reference) + "0", "v": ["wk-long"]}
    mixed = [*written[0], *chained, {**lists, "stamp": 7}]
    frames = reading.FRAMES | reading.NEWER_FRAMES
    alone = of_kinds(written, "end", "gone", "memo", "lead", "job") + plain_records()
    asked = {
        "frames": {name: write().decode() for name, write in frames.items()},
        "records": [*alone, *chained],
        "stores": [*written, mixed],
        "lists": [],
    }
    theirs, ours = asked_of(BEFORE_CHAINS, asked), reading.answer(asked)
    for name in asked["frames"]:
        assert theirs["frames"][name] == without(ours["frames"][name]), name
    for found, they, we in zip(alone, theirs["records"], ours["records"], strict=False):
        assert they == without(we), found
    # A job that awaits others: this version calls its record unreadable and starts nothing of it.
    assert [str(r).split(":")[0] for r in theirs["records"][len(alone) :]] == ["unreadable"] * 2
    assert [str(r).split(":")[0] for r in ours["records"][len(alone) :]][1] == "unreadable"
    assert ours["records"][len(alone)]["spec"]["dependencies"] == ["wk-long", "wk-000004"]
    *plain, with_chains = theirs["stores"]
    assert plain == without(ours["stores"][:-1])
    check_taken_over(plain)
    assert with_chains == plain[0], "it keeps the jobs that await others out of its registry"


def test_what_is_written_is_read_with_chains(written: list[Store], chained: list[Store]) -> None:
    """Everything that 852ab75 reads it reads as this version does: frames, records, lists, finer
    parts and chains in whole states."""
    frames = reading.FRAMES | reading.NEWER_FRAMES
    states = [*written, *chained]
    alone = of_kinds(states, "end", "gone", "memo", "lead", "job") + plain_records()
    referring = reading.chained_records()
    lists = reading.chained_lists()
    asked = {
        "frames": {name: write().decode() for name, write in frames.items()},
        "records": [*alone, *referring],
        "stores": states,
        "lists": [{"record": referring[1], "lists": part} for part in (lists, lists[:1])],
    }
    theirs, ours = asked_of(WITH_CHAINS, asked), reading.answer(asked)
    for kind, found in ours.items():
        assert theirs[kind] == found, kind
    assert [found is None for found in theirs["lists"]] == [False, True]
    check_taken_over(theirs["stores"][: len(written)])
    jobs = [job for state in theirs["stores"] for job in state["jobs"].values()]
    assert any(job["awaited"] for job in jobs)
    assert any("+" in number for job in jobs for number in job["attempts"]), "finer parts"
    assert not any(state["unread"] for state in theirs["stores"])


def check_taken_over(states: list[dict[str, Any]]) -> None:
    for state in states:
        assert state["unread"] == 0
        assert not any(job["unreadable"] for job in state["jobs"].values())
    for at in (0, 1):  # images, run times
        assert any(state["remembered"][at] for state in states)
    assert sum(len(job["placed"]) for state in states for job in state["jobs"].values()) > 100
    assert sum(job["count"] for state in states for job in state["jobs"].values()) > 50


# -- nodes of both versions


TROUBLES: list[dict[str, Any]] = [
    {},
    {"txn_lost": 0.15, "txn_twice": 0.1, "cloud_lost": 0.1},
    {"report_lost": 0.05, "report_twice": 0.1, "answer_lost": 0.05, "mesh_lost": 0.05},
]


@each_version
def test_cloud_requests_are_named_alike(short: str) -> None:
    """In the same state both leaders ask for the same under the same name: what one asked for
    without an answer, the other could find again. Leaders after each other use no name twice: the
    cloud would answer with the machines of the earlier request."""
    asked: dict[bool, list[bytes]] = {}
    for new in (False, True):
        w = RecordingWorld(7, history.earlier(short), 2, replaced={0, 1} if new else ())
        w.submit("wk-000001", parcels=6, cpus=2.0)
        w.watch(3)
        assert w.led == [new]
        asked[new] = w.requests
        names = {orjson.loads(body)["hire"] for body in w.requests}
        w.requests = []
        w.replace(w.leader)  # the next one is of either version
        w.submit("wk-000002", parcels=200, cpus=2.0)
        w.watch(3)
        assert names and w.requests
        assert not names & {orjson.loads(body)["hire"] for body in w.requests}
    assert asked[False][0] == asked[True][0]


class RecordingWorld(MixedWorld):
    """Keeps the requests for machines."""

    def __init__(self, *arguments: Any, **faults: Any) -> None:
        self.requests: list[bytes] = []
        super().__init__(*arguments, **faults)
        rent = self.cloud.rent

        def recorded(body: bytes, now: float) -> Any:
            self.requests.append(body)
            return rent(body, now)

        self.cloud.rent = recorded  # type: ignore[method-assign]


GREETED_FRAMES = ("greeted by the leader", "greeted by another")
GRANT_S = 4.0 * 0.98  # from when it was asked for, less the drift


def relays_decision(relay: HeartbeatRelay | EarlierRelay, number: int) -> Decision:
    """On a second report of machine `number` with nothing new, if the leader took the first."""
    machine, epoch, now = MachineId(f"n-{number}"), FencingToken(9), MonotonicTime(101.0)
    order = HeartbeatSequence(AgentEpoch(1), 1)
    first = relay.handle_heartbeat(machine, order, epoch, False, [], now, True)
    if not isinstance(first, Forward):
        return first
    relay.on_leader_response(machine, order, False, [], False)
    return relay.handle_heartbeat(
        machine, HeartbeatSequence(AgentEpoch(1), 2), epoch, False, [], now, True
    )


def check_granted(relay: HeartbeatRelay | EarlierRelay) -> None:
    """As the frame "greeted by the leader" says: epoch 9, 50 workers at most, others to drover-2;
    asked for at 100."""
    assert relay.token == 9
    assert relay.holds_lease(MonotonicTime(100.0 + GRANT_S - 0.01))
    assert not relay.holds_lease(MonotonicTime(100.0 + GRANT_S + 0.01))
    found = [relays_decision(relay, i) for i in range(51)]
    assert found == [Acknowledge(FencingToken(9))] * 50 + [Redirect(NodeId("drover-2"))]


@each_version
def test_a_relay_takes_a_grant_of_an_earlier_leader(short: str) -> None:
    """Without it the workers at a new node would end their tasks while an old one leads. What only
    another node says grants nothing."""
    frames = history.samples(short)["frames"]
    for name in GREETED_FRAMES:
        here = RelayServiceFixture()
        here.leader_service.is_active = False
        told: list[tuple[str, int]] = []
        here.node.election.observe_leader = lambda *leader, told=told: told.append(leader)
        link = here.r.links[NodeId("drover-1")]
        link.pending_heartbeats[17] = MonotonicTime(100.0)
        here.now = 100.5
        here.r._on_reply_frame(link, peers.parse_frame(frames[name]["data"].encode()))
        if name == GREETED_FRAMES[0]:
            assert told == [("drover-1", 9)] and here.r.relay.leader == "drover-1"
            check_granted(here.r.relay)
        else:
            assert not told and not here.r.relay.holds_lease(MonotonicTime(100.5))


@each_version
def test_an_earlier_relay_takes_a_grant_of_this_leader(short: str) -> None:
    """The other way round: the frame is read by that version's own code, and its relay acts so."""
    frames = {name: reading.FRAMES[name]().decode() for name in GREETED_FRAMES}
    asked = {"frames": frames, "records": [], "stores": [], "lists": []}
    read = asked_of(short, asked)["frames"]
    assert [read[name]["leads"] for name in GREETED_FRAMES] == [True, False]
    told = read[GREETED_FRAMES[0]]
    label = NodeId("drover-3")
    relay = EarlierRelay(OldRelay(history.earlier(short), label, 4.0, 0.02), label)
    assert (told["number"], told["lent"]) == (17, 2)
    relay.renew_lease(
        told["epoch"],
        NodeId("drover-1"),
        MonotonicTime(100.0),
        MonotonicTime(100.5),
        told["most"],
        told["spare"],
    )
    check_granted(relay)


@each_version
@pytest.mark.parametrize("faults", TROUBLES, ids=lambda f: " ".join(f) or "quiet")
def test_leaders_of_both_versions_in_turn(short: str, faults: dict[str, Any]) -> None:
    """Old, new, old, new, with jobs running and some cancelled; then the last node is replaced, and
    jobs that await others follow. Where the old version knows these, some come all the time."""
    version = history.earlier(short)
    chains = version.old_chains
    w = MixedWorld(5, version, 4, **faults)
    submit_all(w)
    w.submit("wk-long", parcels=500, cpus=1.0, run_s=9.0)  # runs all the time, in several parts
    if chains:
        w.submit("wk-after", parcels=5, awaits=["wk-long", "wk-000000"])
    w.watch(15)
    w.cancel("wk-000006")
    w.replace(1)
    w.watch(6)
    w.replace(2)
    for round_, new in enumerate((True, False, True)):
        w.hand_over(new)
        for i in range(3):
            w.submit(f"wk-{round_}{i}", parcels=8 + 10 * i, run_s=3.0 + 2 * i, urgency="urgent")
        if chains:
            w.submit(f"wk-{round_}c", parcels=3, awaits=[f"wk-{round_}0", f"wk-{round_}1"])
            w.submit(f"wk-{round_}d", parcels=3, awaits=[f"wk-{round_}c", f"wk-{round_}2"])
        w.watch(9)
        w.cancel(f"wk-{round_}2")
        w.watch(2)
        if not new and not chains:
            # Nothing like it is asked for yet; all the same, it waits for a leader that reads it.
            w.submit("wk-early", parcels=3, awaits=["wk-11", "wk-000000"])
            assert w.scheduler.job_status(JobId("wk-early")) is LookupFailure.STATE_UNKNOWN
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
    done = ["wk-second", *(["wk-after", "wk-0c", "wk-1c", "wk-2c"] if chains else ["wk-early"])]
    assert {w.end_in_store(job) for job in done} == {users.DONE}
    if chains:
        for round_ in range(3):
            assert w.end_in_store(f"wk-{round_}d") == w.end_in_store(f"wk-{round_}2")


@each_version
@pytest.mark.parametrize("seed", range(4))
def test_nodes_are_replaced_at_random(short: str, seed: int) -> None:
    """Two at a time, in any order, while others crash and come back with what they had or stand
    still for a while, and machines hang."""
    version = history.earlier(short)
    rng = random.Random(seed)
    w = MixedWorld(
        seed, version, 5, txn_lost=0.1, report_twice=0.1, answer_lost=0.05, mesh_lost=0.05
    )
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
        if version.old_chains:
            w.submit(f"wk-{len(todo)}c", parcels=5, awaits=[f"wk-{len(todo)}", "wk-000000"])
    finish(w)
    w.watch(3)
    assert {w.end_in_store(job) for job in w.jobs} == {users.DONE}
    assert (w.led[0], w.led[-1]) == (False, True)


@each_version
def test_the_alias_is_the_earlier_version(short: str) -> None:
    version = history.earlier(short)
    assert version.old_controller_type() is not Scheduler
    assert version.old_relay_type() is not HeartbeatRelay
    assert version.old_package in version.old_controller_type().__module__
    assert version.old_chains is (short == WITH_CHAINS)
    if short == BEFORE_CHAINS:
        assert not hasattr(version.old_answer_to_a_poll(), "waiting")
        with pytest.raises(ModuleNotFoundError):
            version.old_module("core.graph")
