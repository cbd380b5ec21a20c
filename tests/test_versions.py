"""Compatibility of this version with each earlier version that may run beside it.

Each version must read what the other writes, a leader of either version must be able to succeed a
leader of the other, and a service must survive an upgrade node by node.

`versions/<commit>.json` holds samples written by that version's own code, see `versions/record.py`.
Tests that run the earlier code itself need the repository's history; without it they are skipped
with a warning, and only the recorded samples are compared.

Not covered here:

- sockets and the start and shutdown of processes (peer heartbeats are exchanged only as bytes);
- the lease grants and the distribution of workers that a leader computes;
- a leader of 0782287 after a job with dependencies has started. It deletes placement records that
  hold only such jobs, so a task on a machine whose heartbeats it does not receive would run twice.
  Jobs with dependencies are not submitted before all nodes run the new version, and rolling back
  to 0782287 is not supported while one is open.

`test_upgrade` replaces whole services.
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
from test_leader_store_outage import RelayServiceFixture
from test_scheduler_faults import finish, submit_all
from test_store_limits import ANNOUNCED_LIMITS, platform
from versions import history, reading, record, writing
from versions.adapters import EarlierRelay
from versions.legacy.old_nodes import OldRelay
from versions.mixed import MixedWorld
from world import submission

SHORT_COMMITS = list(record.VERSIONS)
BEFORE_DEPENDENCIES, WITH_DEPENDENCIES = "0782287", "852ab75"
Store = list[dict[str, Any]]

each_version = pytest.mark.parametrize("short", SHORT_COMMITS)


def each_sample(kind: str) -> pytest.MarkDecorator:
    """Parametrize a test over the versions and their samples of a kind, by number or name."""
    cases = []
    for short in SHORT_COMMITS:
        entries = history.samples(short).get(kind, [])
        names = entries if isinstance(entries, dict) else range(len(entries))
        cases += [pytest.param(short, name, id=f"{short}-{name}") for name in names]
    return pytest.mark.parametrize(("short", "name"), cases)


# -- this version reads what earlier versions write


def with_current_fields(short: str, value: Any) -> Any:
    """Return what the version read, with defaults for the fields that were added since."""
    if short != BEFORE_DEPENDENCIES:
        return value
    if isinstance(value, list):
        return [with_current_fields(short, v) for v in value]
    if not isinstance(value, dict):
        return value
    value = {k: with_current_fields(short, v) for k, v in value.items()}
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


def test_production_version_is_covered() -> None:
    assert record.production() in record.VERSIONS.values()
    for short, commit in record.VERSIONS.items():
        assert commit.startswith(short)


@each_version
def test_earlier_code_still_writes_the_recorded_samples(short: str) -> None:
    """The version's own code must still write exactly the recorded samples."""
    assert history.samples(short)["production"] == record.VERSIONS[short]
    history.tree(short)
    fresh = orjson.loads(record.record(record.VERSIONS[short]))
    assert fresh == history.samples(short), "samples never change: the recorder did"


@pytest.mark.parametrize(
    ("next_", "limits"),
    [
        (None, (32 * 1024, 20)),
        (ANNOUNCED_LIMITS, (2048, 6)),
        ({"value_kb": 2.0}, (2048, 20)),
        ({"txn_ops": 6, "unheard_of": "x"}, (32 * 1024, 6)),
        ({"value_kb": 64, "txn_ops": 40}, (32 * 1024, 20)),  # limits are never raised
    ],
)
@each_version
def test_upcoming_store_limits_are_accepted_by_each_version(
    short: str, next_: dict[str, Any] | None, limits: tuple[int, int]
) -> None:
    """Upcoming limits in `state.next` must not stop an earlier version from starting.

    0782287 ignores `state.next`. 852ab75 must apply the same limits as this version, or records
    that either writes would be too large.
    """
    parse = history.earlier(short).old_module("settings.platform").parse_platform
    theirs = dataclasses.asdict(parse(platform(next_)))
    ours = parse_platform(platform(next_))
    assert (ours.value_bytes, ours.txn_ops) == limits
    if short == BEFORE_DEPENDENCIES:
        assert theirs == dataclasses.asdict(parse(platform()))
    else:
        assert (theirs["value_bytes"], theirs["txn_ops"]) == limits


@each_sample("frames")
def test_frames_of_earlier_versions_are_parsed(short: str, name: str) -> None:
    sample = history.samples(short)["frames"][name]
    assert reading.read_frame(sample["data"]) == with_current_fields(short, sample["read"])


@each_version
def test_samples_cover_every_kind_of_frame_and_record(short: str) -> None:
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
    key_prefixes = {r["found"]["path"].partition("/")[0] for r in samples["records"]}
    assert key_prefixes == {"job", "end", "gone", "memo", "catalog", "lead"}
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


def test_samples_cover_dependencies_and_subchunks() -> None:
    samples = history.samples(WITH_DEPENDENCIES)
    frames = [orjson.loads(f["data"]) for f in samples["frames"].values()]
    assert any(
        f.get("takes") == ["recut"] and f["low"] > 0
        for f in frames
        if f["k"] == peers.PEER_HEARTBEAT
    )
    assert any(f.get("ready") is False for f in frames)
    assert any(reply.get("w") for f in frames if f["k"] == peers.JOB_STATES for reply in f["i"])
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
    assert any("n" in part for _, _, part in parts), "subchunks"


def is_placement_record(found: dict[str, Any]) -> bool:
    return str(found["path"]).startswith("place/")


def is_job(found: dict[str, Any]) -> bool:
    return str(found["path"]).startswith("job/")


@each_sample("records")
def test_records_of_earlier_versions_are_decoded(short: str, name: int) -> None:
    sample = history.samples(short)["records"][name]
    assert reading.read_record(sample["found"]) == with_current_fields(short, sample["read"])


@each_sample("lists")
def test_dependency_lists_of_earlier_versions_are_resolved(short: str, name: int) -> None:
    """With a part of the list missing, the dependencies of the job must be unknown (None)."""
    sample = history.samples(short)["lists"][name]
    assert reading.read_lists(sample["record"], sample["lists"]) == sample["read"]


@each_sample("stores")
def test_new_leader_restores_state_stored_by_earlier_version(short: str, name: int) -> None:
    """A new leader must restore the same state as a new leader of the earlier version.

    This covers placements, completed tasks, job ends and learned state.
    """
    sample = history.samples(short)["stores"][name]
    assert reading.restore_state(sample["store"]) == with_current_fields(short, sample["read"])


# -- earlier versions read what this version writes


def test_output_matches_0782287_except_for_added_fields() -> None:
    """Without newer features, frames and records are as 0782287 writes them.

    The only additions are `ready`, `takes` and `low`, which 0782287 ignores.
    """
    samples = history.samples(BEFORE_DEPENDENCIES)
    for name, write in reading.FRAMES.items():
        frame = orjson.loads(write())
        if frame["k"] == peers.PEER_HEARTBEAT_ACK:
            assert frame.pop("ready") is True
        if frame["k"] in (peers.PEER_HEARTBEAT, peers.PEER_HEARTBEAT_ACK):
            assert (frame.pop("takes"), frame.pop("low")) == ([], 0)
        assert frame == orjson.loads(samples["frames"][name]["data"]), name
    records = plain_records()
    assert records == [s["found"] for s in samples["records"][: len(records)]]


def test_output_matches_852ab75() -> None:
    """Frames, records and dependency lists are as 852ab75 writes them."""
    samples = history.samples(WITH_DEPENDENCIES)
    frames = reading.FRAMES | reading.NEWER_FRAMES
    assert {name: write().decode() for name, write in frames.items()} == {
        name: sample["data"] for name, sample in samples["frames"].items()
    }
    records = [*plain_records(), *reading.chained_records()]
    assert records == [s["found"] for s in samples["records"][: len(records)]]
    assert reading.chained_lists() == samples["lists"][0]["lists"]


def plain_records() -> Store:
    return [*reading.job_records(), reading.lead_record(), reading.catalog_record(CATALOG)]


@each_version
def test_restored_placement_records_are_rewritten_unchanged(short: str) -> None:
    """A new leader must write restored chunks back to the placement records they were in.

    Of several copies of a chunk, only the one with the highest attempt is kept; if the attempts are
    equal, the one in the record with the highest revision.
    """
    for sample in history.samples(short)["stores"]:
        placement_records = [found for found in sample["store"] if is_placement_record(found)]
        if any("n" in part for found in placement_records for _, _, part in found["v"]["p"]):
            continue  # see test_restored_subchunks_are_rewritten_unchanged
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


def test_restored_subchunks_are_rewritten_unchanged() -> None:
    """Every restored subchunk of an open job must be written back to its placement record."""
    subchunk_count = 0
    for sample in history.samples(WITH_DEPENDENCIES)["stores"]:
        again = reading.write_again(sample["store"])
        for found in filter(is_placement_record, sample["store"]):
            for part in found["v"]["p"]:
                if "n" in part[2] and part[0] in sample["read"]["jobs"]:
                    subchunk_count += 1
                    assert part in again[found["path"]]["p"]
    assert subchunk_count > 3


def field_types(value: Any) -> Any:
    """Return the fields of a value with the names of their types.

    Integers and floats count as one type. A list of more than three items of the same types is
    reduced to its first item.
    """
    if isinstance(value, dict):
        return {k: field_types(v) for k, v in value.items()}
    if isinstance(value, list):
        kinds = [field_types(v) for v in value]
        return kinds[:1] if all(k == kinds[0] for k in kinds) and len(kinds) > 3 else kinds
    return "number" if type(value) in (int, float) else type(value).__name__


@pytest.fixture(scope="module")
def plain_stores() -> list[Store]:
    """States of the store left by this version's leader, without jobs that have dependencies."""
    return writing.stores()


@pytest.fixture(scope="module")
def dependent_stores() -> list[Store]:
    """States of the store left by this version's leader, with dependencies and subchunks."""
    return writing.chains()


@each_version
def test_written_records_have_the_fields_of_each_version(
    short: str, plain_stores: list[Store], dependent_stores: list[Store]
) -> None:
    """Job records, end records and cleanup markers have the fields that the version writes.

    Placement records and learned image sizes are checked against fixed formats.
    """
    known: dict[str, list[Any]] = {}
    for sample in history.samples(short)["stores"]:
        for found in sample["store"]:
            known.setdefault(found["path"].partition("/")[0], []).append(field_types(found["v"]))
    seen = set()
    stores = plain_stores if short == BEFORE_DEPENDENCIES else plain_stores + dependent_stores
    for found in (i for store in stores for i in store):
        kind = found["path"].partition("/")[0]
        if kind in ("job", "end", "gone", "lead"):
            seen.add(kind)
            fields = dict(found["v"])
            if kind == "gone" and short == BEFORE_DEPENDENCIES:
                # The time of the cancellation, which 0782287 ignores: it reads only the outcome.
                assert type(fields.pop("t")) is float
            assert field_types(fields) in known[kind] or kind == "lead", found
        elif kind == "memo" and "images" in found["path"]:
            assert list(found["v"]) == ["n", "g", "m"]
        elif kind == "place":
            assert list(found["v"]) == ["p"]
            for job, number, part in found["v"]["p"]:
                assert (type(job), type(number)) == (str, int)
                is_subchunk = "n" in part
                assert list(part) == ["a", "d", "r", "n"][: 4 if is_subchunk else 3]
                assert not is_subchunk or (short == WITH_DEPENDENCIES and type(part["n"]) is int)
                assert type(part["a"]) is int
                assert all([type(x) for x in d] == [int, int] for d in part["d"])
                assert all([type(x) for x in r] == [int, int, str] for r in part["r"])
    assert {"job", "end", "gone"} <= seen


def dependent_job(job: str, elsewhere: DependencyListReference | None = None) -> dict[str, Any]:
    spec = users.parse_submission(submission(job, awaits=["wk-long", "wk-000004"]))
    return {"path": f"job/{job}", "v": encode_job_record(spec, 136, 1234.5, elsewhere), "stamp": 7}


def without_newer_fields(value: Any) -> Any:
    """Return the value without the fields that 0782287 does not have."""
    if isinstance(value, list):
        return [without_newer_fields(v) for v in value]
    if not isinstance(value, dict):
        return value
    newer = ("waiting", "ready", "dependencies", "takes", "low_ms", "awaited", "orphaned")
    known = {k: without_newer_fields(v) for k, v in value.items() if k not in newer}
    if "attempts" in value:
        known["waiting"] = value["waiting"]  # of a job: the number of unplaced tasks
    return known


def records_of_kinds(stores: list[Store], *kinds: str) -> Store:
    return [i for s in stores for i in s if i["path"].partition("/")[0] in kinds]


def decoded_by(short: str, encoded: dict[str, Any]) -> dict[str, Any]:
    """Return what the version's own code decodes from the frames, records and stores."""
    tree = history.tree(short)
    answer = record.run_as(tree, "old_reading.py", given=orjson.dumps(encoded))
    decoded: dict[str, Any] = orjson.loads(answer)
    return decoded


def test_0782287_reads_what_this_version_writes(plain_stores: list[Store]) -> None:
    """0782287 must be able to read every frame, record and stored state.

    Its leader must restore the same placements and completed tasks as one of this version.
    """
    reference = DependencyListReference("nonce", 1)
    dependent_jobs = [dependent_job("wk-chain"), dependent_job("wk-chain2", reference)]
    lists = {"path": dependency_list_prefix(JobId("wk-chain2"), reference) + "0", "v": ["wk-long"]}
    mixed = [*plain_stores[0], *dependent_jobs, {**lists, "stamp": 7}]
    frames = reading.FRAMES | reading.NEWER_FRAMES
    records = records_of_kinds(plain_stores, "end", "gone", "memo", "lead", "job") + plain_records()
    encoded = {
        "frames": {name: write().decode() for name, write in frames.items()},
        "records": [*records, *dependent_jobs],
        "stores": [*plain_stores, mixed],
        "lists": [],
    }
    theirs, ours = decoded_by(BEFORE_DEPENDENCIES, encoded), reading.answer(encoded)
    for name in encoded["frames"]:
        assert theirs["frames"][name] == without_newer_fields(ours["frames"][name]), name
    for found, they, we in zip(records, theirs["records"], ours["records"], strict=False):
        assert they == without_newer_fields(we), found
    # 0782287 reports the record of a job with dependencies as unreadable and starts none of it.
    assert [str(r).split(":")[0] for r in theirs["records"][len(records) :]] == ["unreadable"] * 2
    assert [str(r).split(":")[0] for r in ours["records"][len(records) :]][1] == "unreadable"
    assert ours["records"][len(records)]["spec"]["dependencies"] == ["wk-long", "wk-000004"]
    *plain, with_dependent_jobs = theirs["stores"]
    assert plain == without_newer_fields(ours["stores"][:-1])
    check_restored_states(plain)
    assert with_dependent_jobs == plain[0], (
        "jobs with dependencies are not in the registry of 0782287"
    )


def test_852ab75_reads_what_this_version_writes(
    plain_stores: list[Store], dependent_stores: list[Store]
) -> None:
    """852ab75 must decode everything as this version does.

    This covers frames, records, dependency lists, and stored states with subchunks and dependent
    jobs.
    """
    frames = reading.FRAMES | reading.NEWER_FRAMES
    states = [*plain_stores, *dependent_stores]
    records = records_of_kinds(states, "end", "gone", "memo", "lead", "job") + plain_records()
    dependent_jobs = reading.chained_records()
    lists = reading.chained_lists()
    encoded = {
        "frames": {name: write().decode() for name, write in frames.items()},
        "records": [*records, *dependent_jobs],
        "stores": states,
        "lists": [{"record": dependent_jobs[1], "lists": part} for part in (lists, lists[:1])],
    }
    theirs, ours = decoded_by(WITH_DEPENDENCIES, encoded), reading.answer(encoded)
    for kind, found in ours.items():
        assert theirs[kind] == found, kind
    assert [found is None for found in theirs["lists"]] == [False, True]
    check_restored_states(theirs["stores"][: len(plain_stores)])
    jobs = [job for state in theirs["stores"] for job in state["jobs"].values()]
    assert any(job["awaited"] for job in jobs)
    assert any("+" in number for job in jobs for number in job["attempts"]), "subchunks"
    assert not any(state["unread"] for state in theirs["stores"])


def check_restored_states(states: list[dict[str, Any]]) -> None:
    for state in states:
        assert state["unread"] == 0
        assert not any(job["unreadable"] for job in state["jobs"].values())
    for index in (0, 1):  # images, run times
        assert any(state["remembered"][index] for state in states)
    assert sum(len(job["placed"]) for state in states for job in state["jobs"].values()) > 100
    assert sum(job["count"] for state in states for job in state["jobs"].values()) > 50


# -- nodes of both versions


FAULT_MIXES: list[dict[str, Any]] = [
    {},
    {"txn_lost": 0.15, "txn_twice": 0.1, "cloud_lost": 0.1},
    {"report_lost": 0.05, "report_twice": 0.1, "answer_lost": 0.05, "mesh_lost": 0.05},
]


@each_version
def test_rent_request_ids_match_across_versions_and_are_never_reused(short: str) -> None:
    """In the same state, leaders of both versions must send the same request with the same ID.

    A leader can then find machines of a request that its predecessor sent without getting a
    response. Successive leaders must not reuse an ID: the cloud would answer with the machines of
    the earlier request.
    """
    sent: dict[bool, list[bytes]] = {}
    for new in (False, True):
        world = RecordingWorld(7, history.earlier(short), 2, replaced={0, 1} if new else ())
        world.submit("wk-000001", parcels=6, cpus=2.0)
        world.watch(3)
        assert world.leader_ran_this_version == [new]
        sent[new] = world.requests
        first_ids = {orjson.loads(body)["hire"] for body in world.requests}
        world.requests = []
        world.replace(world.leader)  # the next leader may run either version
        world.submit("wk-000002", parcels=200, cpus=2.0)
        world.watch(3)
        assert first_ids and world.requests
        assert not first_ids & {orjson.loads(body)["hire"] for body in world.requests}
    assert sent[False][0] == sent[True][0]


class RecordingWorld(MixedWorld):
    """A world that records the bodies of rent requests to the cloud."""

    def __init__(self, *arguments: Any, **faults: Any) -> None:
        self.requests: list[bytes] = []
        super().__init__(*arguments, **faults)
        create_machines = self.cloud.create_machines

        def recorded(body: bytes, now: float) -> Any:
            self.requests.append(body)
            return create_machines(body, now)

        self.cloud.create_machines = recorded  # type: ignore[method-assign]


HEARTBEAT_ACK_FRAMES = ("greeted by the leader", "greeted by another")
LEASE_GRANT_S = 4.0 * 0.98  # from the request on, less the allowed clock drift


def decision_on_unchanged_heartbeat(relay: HeartbeatRelay | EarlierRelay, number: int) -> Decision:
    """Return the relay's decision on an unchanged second heartbeat of machine `number`.

    The leader accepts the first heartbeat. If the relay does not forward that one, its decision on
    it is returned instead.
    """
    machine, epoch, now = MachineId(f"n-{number}"), FencingToken(9), MonotonicTime(101.0)
    order = HeartbeatSequence(AgentEpoch(1), 1)
    first = relay.handle_heartbeat(machine, order, epoch, False, [], now, True)
    if not isinstance(first, Forward):
        return first
    relay.on_leader_response(machine, order, False, [], False)
    return relay.handle_heartbeat(
        machine, HeartbeatSequence(AgentEpoch(1), 2), epoch, False, [], now, True
    )


def check_lease_granted(relay: HeartbeatRelay | EarlierRelay) -> None:
    """Check the lease that the frame "greeted by the leader" grants.

    It was requested at 100 s and has token 9; the relay may answer 50 workers and must redirect
    others to drover-2.
    """
    assert relay.token == 9
    assert relay.holds_lease(MonotonicTime(100.0 + LEASE_GRANT_S - 0.01))
    assert not relay.holds_lease(MonotonicTime(100.0 + LEASE_GRANT_S + 0.01))
    found = [decision_on_unchanged_heartbeat(relay, i) for i in range(51)]
    assert found == [Acknowledge(FencingToken(9))] * 50 + [Redirect(NodeId("drover-2"))]


@each_version
def test_relay_accepts_lease_grant_of_earlier_leader(short: str) -> None:
    """This version's relay must get its lease from a leader of an earlier version.

    Without a lease, workers that report to an upgraded node would stop their tasks while an earlier
    version leads. An acknowledgement by a node that does not lead must grant nothing.
    """
    frames = history.samples(short)["frames"]
    for name in HEARTBEAT_ACK_FRAMES:
        fixture = RelayServiceFixture()
        fixture.leader_service.is_active = False
        observed: list[tuple[str, int]] = []
        fixture.node.election.observe_leader = lambda *leader, observed=observed: observed.append(
            leader
        )
        link = fixture.relay_service.links[NodeId("drover-1")]
        link.pending_heartbeats[17] = MonotonicTime(100.0)
        fixture.now = 100.5
        fixture.relay_service._on_reply_frame(
            link, peers.parse_frame(frames[name]["data"].encode())
        )
        if name == HEARTBEAT_ACK_FRAMES[0]:
            assert (
                observed == [("drover-1", 9)] and fixture.relay_service.relay.leader == "drover-1"
            )
            check_lease_granted(fixture.relay_service.relay)
        else:
            assert not observed and not fixture.relay_service.relay.holds_lease(
                MonotonicTime(100.5)
            )


@each_version
def test_earlier_relay_accepts_lease_grant_of_this_version(short: str) -> None:
    """The earlier version's own code must parse the frame, and its relay must hold the lease."""
    frames = {name: reading.FRAMES[name]().decode() for name in HEARTBEAT_ACK_FRAMES}
    encoded = {"frames": frames, "records": [], "stores": [], "lists": []}
    decoded = decoded_by(short, encoded)["frames"]
    assert [decoded[name]["leads"] for name in HEARTBEAT_ACK_FRAMES] == [True, False]
    ack = decoded[HEARTBEAT_ACK_FRAMES[0]]
    label = NodeId("drover-3")
    relay = EarlierRelay(OldRelay(history.earlier(short), label, 4.0, 0.02), label)
    assert (ack["number"], ack["lent"]) == (17, 2)
    relay.renew_lease(
        ack["epoch"],
        NodeId("drover-1"),
        MonotonicTime(100.0),
        MonotonicTime(100.5),
        ack["most"],
        ack["spare"],
    )
    check_lease_granted(relay)


@each_version
@pytest.mark.parametrize("faults", FAULT_MIXES, ids=lambda f: " ".join(f) or "quiet")
def test_jobs_survive_leaders_of_alternating_versions(short: str, faults: dict[str, Any]) -> None:
    """Jobs must survive leaders of the earlier, new, earlier and new version in turn.

    Jobs run and are cancelled throughout. Then the remaining nodes are replaced and dependent jobs
    are submitted. If the earlier version supports dependencies, dependent jobs are also submitted
    from the beginning.
    """
    version = history.earlier(short)
    supports_dependencies = version.old_chains
    world = MixedWorld(5, version, 4, **faults)
    submit_all(world)
    world.submit("wk-long", parcels=500, cpus=1.0, run_s=9.0)  # runs throughout, in several chunks
    if supports_dependencies:
        world.submit("wk-after", parcels=5, awaits=["wk-long", "wk-000000"])
    world.watch(15)
    world.cancel("wk-000006")
    world.replace(1)
    world.watch(6)
    world.replace(2)
    for round_, to_new_version in enumerate((True, False, True)):
        world.hand_over(to_new_version)
        for i in range(3):
            world.submit(f"wk-{round_}{i}", parcels=8 + 10 * i, run_s=3.0 + 2 * i, urgency="urgent")
        if supports_dependencies:
            world.submit(f"wk-{round_}c", parcels=3, awaits=[f"wk-{round_}0", f"wk-{round_}1"])
            world.submit(f"wk-{round_}d", parcels=3, awaits=[f"wk-{round_}c", f"wk-{round_}2"])
        world.watch(9)
        world.cancel(f"wk-{round_}2")
        world.watch(2)
        if not to_new_version and not supports_dependencies:
            # Users submit no dependent jobs at this stage. If one is submitted anyway, it must wait
            # for a leader that can read its record.
            world.submit("wk-early", parcels=3, awaits=["wk-11", "wk-000000"])
            assert world.scheduler.job_status(JobId("wk-early")) is LookupFailure.STATE_UNKNOWN
    for i in sorted(set(range(world.nodes)) - world.replaced):
        world.replace(i)
        world.watch(3)
    world.submit("wk-first", parcels=3)
    world.submit("wk-second", parcels=3, awaits=["wk-first"])
    finish(world)
    world.watch(3)
    changes = [
        b
        for a, b in zip(
            [None, *world.leader_ran_this_version], world.leader_ran_this_version, strict=False
        )
        if a is not b
    ]
    assert changes[:4] == [False, True, False, True], world.leader_ran_this_version
    assert {world.end_in_store(job) for job in world.jobs} == {users.DONE, users.CANCELLED}
    done = [
        "wk-second",
        *(["wk-after", "wk-0c", "wk-1c", "wk-2c"] if supports_dependencies else ["wk-early"]),
    ]
    assert {world.end_in_store(job) for job in done} == {users.DONE}
    if supports_dependencies:
        for round_ in range(3):
            assert world.end_in_store(f"wk-{round_}d") == world.end_in_store(f"wk-{round_}2")


@each_version
@pytest.mark.parametrize("seed", range(4))
def test_jobs_finish_while_nodes_are_upgraded_in_random_order(short: str, seed: int) -> None:
    """Jobs must finish when nodes are upgraded two at a time in random order.

    Meanwhile random nodes crash and restart with the version that they have, or stall for a while,
    and machines hang.
    """
    version = history.earlier(short)
    rng = random.Random(seed)
    world = MixedWorld(
        seed, version, 5, txn_lost=0.1, report_twice=0.1, answer_lost=0.05, mesh_lost=0.05
    )
    submit_all(world)
    todo = list(range(world.nodes))
    rng.shuffle(todo)
    while todo:
        world.watch(rng.uniform(2, 8))
        for i in todo[:2]:
            world.replace(i)
        todo = todo[2:]
        world.watch(rng.uniform(1, 5))
        machine = rng.choice([*world.cloud.machines.values(), None])
        if machine is not None:
            machine.hangs_until = world.now + rng.uniform(2, 2.0 * world.settings.lease_s)
        if rng.random() < 0.5:
            world.crash(rng.randrange(world.nodes))
        else:
            world.stall_node(
                rng.choice([world.leader, rng.randrange(world.nodes)]), rng.uniform(2, 8)
            )
        world.submit(f"wk-{len(todo)}", parcels=20, urgency="urgent")
        if version.old_chains:
            world.submit(f"wk-{len(todo)}c", parcels=5, awaits=[f"wk-{len(todo)}", "wk-000000"])
    finish(world)
    world.watch(3)
    assert {world.end_in_store(job) for job in world.jobs} == {users.DONE}
    assert (world.leader_ran_this_version[0], world.leader_ran_this_version[-1]) == (False, True)


@each_version
def test_earlier_code_runs_under_its_own_package_name(short: str) -> None:
    version = history.earlier(short)
    assert version.old_controller_type() is not Scheduler
    assert version.old_relay_type() is not HeartbeatRelay
    assert version.old_package in version.old_controller_type().__module__
    assert version.old_chains is (short == WITH_DEPENDENCIES)
    if short == BEFORE_DEPENDENCIES:
        assert not hasattr(version.old_answer_to_a_poll(), "waiting")
        with pytest.raises(ModuleNotFoundError):
            version.old_module("core.graph")
