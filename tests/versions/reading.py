"""Encodes frames and records with this version's code, and decodes them to plain values.

`legacy.old_reading` does the same with the code of an earlier version. Both use the same frozen
names for the decoded fields.
"""

from collections.abc import Callable, Sequence
from typing import Any

import orjson

from eldercart.election.actions import Campaign
from eldercart.election.state_machine import Election, Role
from eldercart.jobs.job import Chunk, Job, Placement, PlacementPhase
from eldercart.scheduling.scheduler import Scheduler
from eldercart.settings import load_tuning
from eldercart.settings.platform import parse_platform
from eldercart.units import (
    AgentEpoch,
    Attempt,
    FencingToken,
    HeartbeatSequence,
    IncarnationId,
    JobId,
    LeaseId,
    MachineId,
    MonotonicTime,
    NodeId,
    Revision,
    TaskKey,
    WallTime,
)
from eldercart.wire import MalformedMessageError, cloud, peers, users, workers
from eldercart.wire.leader_key import LEADER_KEY
from eldercart.wire.state import Item
from eldercart.wire.stored_jobs import (
    JOB_PREFIX,
    decode_end_record,
    decode_job_record,
    dependency_list_prefix,
    encode_job_record,
    resolve_dependency_list,
)
from eldercart.wire.stored_learned_state import RUN_TIME_RATIOS_KEY
from eldercart.wire.stored_placements import PLACEMENT_PREFIX, max_tasks_per_chunk
from eldercart.wire.users import DependencyListReference, JobSpec
from versions.legacy import old_fields
from world import PLATFORM, submission

NOW = MonotonicTime(100.0)
Store = list[dict[str, Any]]  # records as the state service lists them

# -- encoding: each version encodes the same content


def _m(*names: str) -> list[MachineId]:
    return [MachineId(name) for name in names]


def _calls() -> list[dict[str, Any]]:
    key = TaskKey("wk-a.b:1/7")
    return workers.command_objects(
        [
            workers.Launch(key, Attempt(3)),
            workers.Kill(key, Attempt(2), 1.5),
            workers.Clear(key, Attempt(1)),
        ]
    )


def _greet(*heard: tuple[MachineId, HeartbeatSequence]) -> bytes:
    return peers.encode_peer_heartbeat(
        peers.PeerHeartbeat(NodeId("drover-1"), 17, FencingToken(9), True, 40, 3, heard)
    )


def _greeted(leads: bool, spare: str | None) -> bytes:
    to = None if spare is None else NodeId(spare)
    return peers.encode_peer_heartbeat_ack(
        peers.PeerHeartbeatAck(17, FencingToken(9), leads, not leads, 50, to, 2)
    )


_HEARD = (
    (MachineId("n-000001"), HeartbeatSequence(AgentEpoch(1), 8)),
    (MachineId("n-000002"), HeartbeatSequence(AgentEpoch(4), 2**40)),
)
_REPORT = b'{"wagon":"n-000001","address":"10.1.0.1:9000","stint":1,"tally":8,"parcels":[]}'
_TOLD = [
    peers.JobReply(1, users.PENDING, 0, 0),
    peers.JobReply(2, users.RUNNING, 5, 12),
    peers.JobReply(3, users.DONE, 40, 0),
    peers.JobReply(4, users.CANCELLED, 3, 0),
    peers.JobReply(5, peers.UNKNOWN, 0, 0),
    peers.JobReply(6, peers.UNDECIDED, 0, 0),
    peers.JobReply(7, peers.NOT_LEADER, 0, 0),
]

FRAMES: dict[str, Callable[[], bytes]] = {
    "greet": lambda: _greet(*_HEARD),
    "greet, nobody heard": _greet,
    "greeted by the leader": lambda: _greeted(True, "drover-2"),
    "greeted by another": lambda: _greeted(False, None),
    "reports": lambda: peers.encode_forwarded_heartbeats(
        FencingToken(9), [(1, _REPORT), (2, _REPORT)]
    ),
    "answers": lambda: peers.encode_heartbeat_replies(
        [
            peers.HeartbeatReply(1, _calls(), True),
            peers.HeartbeatReply(2, [], False),
            peers.HeartbeatReply(3, None, False),
        ]
    ),
    "polls": lambda: peers.encode_polls([(1, "wk-a.b:1"), (2, "wk-2")]),
    "states": lambda: peers.encode_job_replies(peers.JOB_STATES, _TOLD),
    "cancel": lambda: peers.encode_cancel(8, "wk-2"),
    "cancelled": lambda: peers.encode_job_replies(peers.CANCEL_REPLIES, _TOLD[3:]),
    "want": lambda: peers.encode_machines(
        peers.NEXT_HEARTBEAT_REQUESTS, _m("n-000001", "n-000002")
    ),
    "dropped": lambda: peers.encode_machines(peers.UNDELIVERED, _m("n-000003")),
}

# Frames with fields that 0782287 does not write.
_NEWER = (("recut",), 3000)  # supported features, remaining backoff in ms
NEWER_FRAMES: dict[str, Callable[[], bytes]] = {
    "greet, of what it reads": lambda: peers.encode_peer_heartbeat(
        peers.PeerHeartbeat(NodeId("drover-1"), 17, FencingToken(9), True, 40, 3, _HEARD, *_NEWER)
    ),
    "greeted, of what it reads": lambda: peers.encode_peer_heartbeat_ack(
        peers.PeerHeartbeatAck(
            17, FencingToken(9), True, True, 50, NodeId("drover-2"), 2, *_NEWER, True
        )
    ),
    "greeted, not ready": lambda: peers.encode_peer_heartbeat_ack(
        peers.PeerHeartbeatAck(17, FencingToken(9), False, True, 0, None, 0, (), 0, False)
    ),
    "states with what is awaited": lambda: peers.encode_job_replies(
        peers.JOB_STATES,
        [
            peers.JobReply(1, users.PENDING, 0, 0, ("wk-a", "wk-b")),
            peers.JobReply(2, users.DONE, 1, 0),
        ],
    ),
}


SUBMISSIONS: list[dict[str, Any]] = [
    submission("wk-plain"),
    submission("wk-a.b:1-c_d", breeds=["big", "small"], yard="b", together=True, urgency="prod"),
    submission(
        "wk-rich",
        crew="t1",
        parcels=100_000,
        cpus=0,
        accelerators=2,
        memGb=0.5,
        spread=True,
        loaners=False,
        haulS=0,
        waypointS=20,
        stowS=1.5,
        dueS=90,
        urgency="idle",
    ),
]


def job_records() -> Store:
    records = []
    for body in SUBMISSIONS:
        spec = users.parse_submission(body)
        record = encode_job_record(spec, max_tasks_per_chunk(8192), 1234.5)
        records.append({"path": JOB_PREFIX + spec.id, "v": _plain(record), "stamp": 7})
    return records


AWAITED = ["wk-plain", "wk-a.b:1-c_d"]
CHAINED = submission("wk-chain", awaits=AWAITED)


def chained_records() -> Store:
    """Return two records of a dependent job: with the dependencies inline, and in a list."""
    spec = users.parse_submission(CHAINED)
    size = max_tasks_per_chunk(8192)
    listed = encode_job_record(spec, size, 1234.5, DependencyListReference("nonce", 2))
    return [
        {
            "path": JOB_PREFIX + spec.id,
            "v": _plain(encode_job_record(spec, size, 1234.5)),
            "stamp": 7,
        },
        {"path": JOB_PREFIX + spec.id, "v": _plain(listed), "stamp": 7},
    ]


def chained_lists() -> Store:
    """Return the two parts of the dependency list that the second record refers to."""
    prefix = dependency_list_prefix(JobId("wk-chain"), DependencyListReference("nonce", 2))
    return [{"path": f"{prefix}{n}", "v": [name], "stamp": 6} for n, name in enumerate(AWAITED)]


def read_lists(found: dict[str, Any], lists: Store) -> Any:
    """Decode a job record together with the parts of its dependency list.

    Return None if a part is missing.
    """
    item = resolve_dependency_list(
        JobId(found["path"][len(JOB_PREFIX) :]), _item(found), map(_item, lists)
    )
    if item is None:
        return None
    return read_record({**found, "v": item.value})


def lead_record() -> dict[str, Any]:
    """Return the leader key's record as a candidate writes it."""
    election = Election(NodeId("drover-1"), 3.0, 0.02, IncarnationId("life-1"))
    election.on_leader_key_read(None, NOW)
    election.next_action(NOW)
    election.on_lease_granted(LeaseId(4), NOW)
    campaign = election.next_action(NOW)
    assert isinstance(campaign, Campaign)
    put: Any = campaign.transaction.operations[0]
    return {"path": put.key, "v": put.value, "stamp": 7, "tether": put.lease}


def catalog_record(catalog: dict[str, Any]) -> dict[str, Any]:
    return {
        "path": "catalog",
        "v": _plain(cloud.catalog_record(cloud.parse_catalog(catalog))),
        "stamp": 7,
    }


# -- decoding


def _plain(value: Any) -> Any:
    return orjson.loads(orjson.dumps(value, default=list))


def _named(names: Sequence[str], *values: Any) -> dict[str, Any]:
    return dict(zip(names, values, strict=True))


def _told(t: peers.JobReply) -> dict[str, Any]:
    return _named(
        old_fields.READ_TOLD,
        t.request_id,
        t.state,
        t.done_count,
        t.running_count,
        t.unmet_dependencies,
    )


def _greet_read(g: peers.PeerHeartbeat) -> dict[str, Any]:
    return _named(
        old_fields.READ_GREET,
        g.sender,
        g.request_id,
        g.token,
        g.store_ok,
        g.machine_count,
        g.missing_rate_tokens,
        g.acknowledged,
        g.supported_features,
        g.backoff_remaining_ms,
    )


def _greeted_read(g: peers.PeerHeartbeatAck) -> dict[str, Any]:
    return _named(
        old_fields.READ_GREETED,
        g.request_id,
        g.token,
        g.grants_lease,
        g.store_ok,
        g.max_machines,
        g.redirect_target,
        g.lent_rate_tokens,
        g.supported_features,
        g.backoff_remaining_ms,
        g.is_ready,
    )


def _specification(s: JobSpec) -> dict[str, Any]:
    return _named(
        old_fields.READ_JOB_SPEC,
        s.id,
        s.job_class,
        s.team,
        s.priority,
        s.task_count,
        s.cpus,
        s.gpus,
        s.memory_gb,
        s.image,
        s.image_gb,
        s.machine_types,
        s.zone,
        s.single_zone,
        s.spread,
        s.allows_spot,
        s.estimated_run_time_s,
        s.checkpoint_interval_s,
        s.checkpoint_save_s,
        s.deadline_s,
        s.dependencies,
    )


def _machine_type(t: cloud.MachineType) -> dict[str, Any]:
    return _named(
        old_fields.READ_MACHINE_TYPE,
        t.name,
        t.cpus,
        t.gpus,
        t.memory_gb,
        t.cache_gb,
        t.fetch_gb_per_s,
        t.price,
        t.spot_price,
        t.boot_s,
        t.zones,
    )


def read_frame(data: str) -> Any:
    frame = peers.parse_frame(data.encode())
    match peers.frame_kind(frame):
        case peers.PEER_HEARTBEAT:
            return _plain(_greet_read(peers.parse_peer_heartbeat(frame)))
        case peers.PEER_HEARTBEAT_ACK:
            return _plain(_greeted_read(peers.parse_peer_heartbeat_ack(frame)))
        case peers.FORWARDED_HEARTBEATS:
            return _plain(peers.parse_forwarded_heartbeats(frame))
        case peers.HEARTBEAT_REPLIES:
            return _plain(
                [
                    _named(old_fields.READ_ANSWER, a.request_id, a.commands, a.wants_next)
                    for a in peers.parse_heartbeat_replies(frame)
                ]
            )
        case peers.POLLS | peers.CANCEL:
            return _plain(peers.parse_job_requests(frame))
        case peers.JOB_STATES | peers.CANCEL_REPLIES:
            return _plain([_told(t) for t in peers.parse_job_replies(frame)])
        case peers.NEXT_HEARTBEAT_REQUESTS | peers.UNDELIVERED:
            return _plain(peers.parse_machines(frame))
        case kind:
            raise AssertionError(kind)


def _item(found: dict[str, Any]) -> Item:
    lease = found.get("tether")
    return Item(
        found["path"],
        found["v"],
        Revision(found["stamp"]),
        None if lease is None else LeaseId(lease),
    )


def read_record(found: dict[str, Any]) -> Any:
    """Decode a record that is complete by itself.

    Placement records are decoded together with their jobs, see `restore_state`.
    """
    item = _item(found)
    kind = item.key.partition("/")[0]
    if kind == "job":
        try:
            spec, size, at = decode_job_record(JobId(item.key[len(JOB_PREFIX) :]), item.value)
        except (MalformedMessageError, KeyError, TypeError, ValueError) as err:
            return f"unreadable: {err}"
        return _plain(_named(old_fields.READ_JOB_RECORD, _specification(spec), size, at))
    if kind in ("end", "gone"):
        return decode_end_record(item.value)
    if kind == "catalog":
        return _plain(
            {name: _machine_type(t) for name, t in cloud.parse_catalog(item.value).items()}
        )
    if kind == LEADER_KEY:
        election = Election(NodeId("drover-2"), 3.0, 0.02)
        election.on_leader_key_read(item, NOW)
        role = old_fields.READ_LEADER if election.role is Role.LEADER else old_fields.READ_FOLLOWER
        return [role, election.leader, election.token]
    assert kind == "memo", item.key
    scheduler = _controller(FencingToken(10**6))
    scheduler.load([], [], [], NOW, [item])
    return _remembered(scheduler, item.key)


def _number(job: Job, chunk: Chunk) -> str:
    return (
        f"{chunk.first_index}+{chunk.task_count}"
        if chunk.is_subchunk
        else str(chunk.first_index // job.tasks_per_chunk)
    )


def _remembered(scheduler: Scheduler, key: str) -> Any:
    return _plain(
        scheduler.cluster_state.predictor.run_time_sums()
        if key == RUN_TIME_RATIOS_KEY
        else scheduler.inventory._restored_images
    )


def _controller(epoch: FencingToken) -> Scheduler:
    settings = parse_platform(PLATFORM)
    return Scheduler(settings, load_tuning(), epoch, {}, NOW, WallTime(NOW))


def restore_state(store: Store) -> dict[str, Any]:
    """Return the state that a new leader restores from the store, as plain values."""
    scheduler = _controller(FencingToken(10**6))
    items = [_item(found) for found in store]

    def under(prefix: str) -> list[Item]:
        return [i for i in items if i.key.startswith(prefix)]

    learned = under("memo/")
    scheduler.load(under(JOB_PREFIX), under(PLACEMENT_PREFIX), under("gone/"), NOW, learned)
    placement_records = scheduler.transaction_writer.placement_records.by_key.values()
    jobs = {j.id: _job(j) for j in sorted(scheduler.jobs.jobs.values(), key=lambda job: job.id)}
    placed = {
        machine.id: sorted(machine.placements)
        for machine in sorted(scheduler.inventory.machines.values(), key=_id)
    }
    unread = sum(len(record.unreadable_parts) for record in placement_records)
    orphans = sorted(key for key, _ in scheduler.transaction_writer.orphaned_keys)
    restored = [_remembered(scheduler, item.key) for item in learned]
    return dict(_plain(_named(old_fields.READ_TAKEN_OVER, jobs, placed, unread, orphans, restored)))


def _job(job: Job) -> dict[str, Any]:
    done = [i for i, done in enumerate(job.done_flags) if done]
    placed = sorted(map(_placed, job.placements()))
    attempts = {
        _number(job, chunk): chunk.highest_attempt for _, chunk in sorted(job.chunks.items())
    }
    return _named(
        old_fields.READ_JOB + old_fields.READ_CHAIN,
        done,
        job.done_count,
        placed,
        attempts,
        job.unplaced_count,
        job.outcome,
        job.is_cancellation_requested,
        job.has_unreadable_record,
        sorted(job.unmet_dependencies),
        job.is_ready,
        job.upstream_cancelled,
    )


_PHASES = (
    PlacementPhase.PLANNED,
    PlacementPhase.COMMITTED,
    PlacementPhase.FETCHING,
    PlacementPhase.RUNNING,
    PlacementPhase.SAVING,
    PlacementPhase.ENDED,
)
_PHASE_NAMES = dict(zip(_PHASES, old_fields.READ_PHASES, strict=True))


def _placed(p: Placement) -> list[Any]:
    phase = _PHASE_NAMES[p.phase]
    return [p.index, p.attempt, p.machine_id, phase, p.may_have_launched, p.is_terminating]


def _id(machine: Any) -> str:
    return str(machine.id)


def write_again(store: Store) -> dict[str, Any]:
    """Return the placement records as a leader that restored them from the store writes them."""
    scheduler = _controller(FencingToken(10**6))
    items = [_item(found) for found in store]
    scheduler.load(
        [item for item in items if item.key.startswith(JOB_PREFIX)],
        [item for item in items if item.key.startswith(PLACEMENT_PREFIX)],
        [],
        NOW,
    )
    placement_records = scheduler.transaction_writer.placement_records
    return {
        key: _plain(placement_records.encode_record(placement_record)[0])
        for key, placement_record in placement_records.by_key.items()
    }


def answer(asked: dict[str, Any]) -> dict[str, Any]:
    return {
        "frames": {name: read_frame(data) for name, data in asked["frames"].items()},
        "records": [read_record(found) for found in asked["records"]],
        "stores": [restore_state(store) for store in asked["stores"]],
        "lists": [read_lists(item["record"], item["lists"]) for item in asked["lists"]],
    }
