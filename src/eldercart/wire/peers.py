"""What controller nodes say to each other: frames of one JSON object each.

A node keeps a connection to every other one. It greets, and when the other leads it passes on
what its workers and users ask; the other answers on the same connection. A frame belongs to its
connection, so to one start of each of the two processes: what an earlier start was sent can't
reach a later one.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

import orjson

from eldercart.units import (
    AcknowledgedHeartbeats,
    AgentEpoch,
    FencingToken,
    HeartbeatSequence,
    MachineId,
    NodeId,
)
from eldercart.wire.checks import (
    MalformedMessage,
    load_response,
    require_integer,
    require_objects,
    require_text,
    require_texts,
)

MAX_FRAME_BYTES = 4 * 1024 * 1024

# All workers may report in the same moment, each up to 64 KiB, and be answered as much: a frame
# that is too long would end the connection, and again with each try.
MAX_BATCH_BYTES, MAX_BATCH_ITEMS = 1024 * 1024, 40
MAX_POLL_ITEMS = 1000  # a submission may ask about thousands; their answers must fit as well

# Kinds of frames: asked by the one that connected …
PEER_HEARTBEAT, FORWARDED_HEARTBEATS, POLLS, CANCEL = "greet", "reports", "polls", "cancel"
UNDELIVERED = "dropped"  # machines whose answers came too late to be passed on
# … and told by the one that was connected to.
PEER_HEARTBEAT_ACK, HEARTBEAT_REPLIES, JOB_STATES, CANCEL_REPLIES, NEXT_HEARTBEAT_REQUESTS = (
    "greeted",
    "answers",
    "states",
    "cancelled",
    "want",
)

RECHUNKING = "recut"  # reads parts of placements that were cut anew
SUPPORTED_FEATURES = (RECHUNKING,)  # what this version reads that an earlier one does not

# Verdicts on jobs whose state is not told.
UNKNOWN, UNDECIDED, NOT_LEADER = "unknown", "undecided", "not_leader"


@dataclass(frozen=True, slots=True)
class PeerHeartbeat:
    """Sent by each node to each other one all the time."""

    sender: NodeId
    request_id: int  # comes back in the answer, which counts from when this was sent
    token: FencingToken
    store_ok: bool
    machine_count: int  # workers that report to the sender
    missing_rate_tokens: int  # tokens for submissions that it lacks
    acknowledged: AcknowledgedHeartbeats  # answered by the sender itself
    # Earlier versions know neither: a frame without them means this.
    supported_features: tuple[str, ...] = ()
    backoff_remaining_ms: int = (
        0  # for which the sender keeps to the store's lower rates, by refusals it met
    )


@dataclass(frozen=True, slots=True)
class PeerHeartbeatAck:
    """The answer to a greeting."""

    request_id: int
    token: FencingToken
    grants_lease: bool  # a grant to answer workers under `epoch`
    store_ok: bool
    max_machines: int  # workers the asker should have at most
    redirect_target: NodeId | None  # where to send those beyond it
    lent_rate_tokens: int  # of the leader's tokens for the state service, for submissions
    supported_features: tuple[str, ...] = ()  # these two as in a greeting
    backoff_remaining_ms: int = 0
    # Whether it has read the leader key since its start. One that was elected, confirmed a
    # cancellation and is back within a second knows nothing of it and vouches for nothing.
    is_ready: bool = True


class ForwardedHeartbeat(NamedTuple):
    """A worker's report on its way to the leader."""

    request_id: int  # comes back with the answer
    body: dict[str, Any]


class ForwardedHeartbeats(NamedTuple):
    """The reports of one frame."""

    token: FencingToken  # of the grant that the sender holds
    heartbeats: list[ForwardedHeartbeat]


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """The leader's answer to one forwarded report; `calls` None: the report is overtaken."""

    request_id: int
    commands: list[dict[str, Any]] | None
    wants_next: bool  # the machine's next report is wanted, too


@dataclass(frozen=True, slots=True)
class JobReply:
    """The leader's answer about one job.

    `verdict` is the job's state, or UNKNOWN, UNDECIDED or NOT_LEADER."""

    request_id: int
    state: str
    done_count: int
    running_count: int
    unmet_dependencies: tuple[
        str, ...
    ] = ()  # some of the jobs that it awaits and that are not done


def frame_kind(frame: dict[str, Any]) -> str:
    """The kind of a frame, one of the constants above."""
    return require_text(frame, "k")


def parse_frame(data: bytes) -> dict[str, Any]:
    """A frame as it came over the connection."""
    return load_response(data)


def _parse_supported_features(frame: dict[str, Any]) -> tuple[str, ...]:
    takes = frame.get("takes")
    return tuple(t for t in takes if isinstance(t, str)) if isinstance(takes, list) else ()


def _parse_backoff_ms(frame: dict[str, Any]) -> int:
    low = frame.get("low")
    return low if type(low) is int and low > 0 else 0


def encode_peer_heartbeat(heartbeat: PeerHeartbeat) -> bytes:
    """The frame of a greeting."""
    heard = [[m, o.agent_epoch, o.number] for m, o in heartbeat.acknowledged]
    return orjson.dumps(
        {
            "k": PEER_HEARTBEAT,
            "from": heartbeat.sender,
            "n": heartbeat.request_id,
            "epoch": heartbeat.token,
            "store": heartbeat.store_ok,
            "machines": heartbeat.machine_count,
            "short": heartbeat.missing_rate_tokens,
            "heard": heard,
            "takes": heartbeat.supported_features,
            "low": heartbeat.backoff_remaining_ms,
        }
    )


def parse_peer_heartbeat(frame: dict[str, Any]) -> PeerHeartbeat:
    """A greeting, also of an earlier version."""
    heard = frame.get("heard")
    if not isinstance(heard, list):
        raise MalformedMessage("heard")
    try:
        orders = tuple(
            (MachineId(m), HeartbeatSequence(AgentEpoch(s + 0), q + 0)) for m, s, q in heard
        )
    except (TypeError, ValueError):
        raise MalformedMessage("heard") from None
    return PeerHeartbeat(
        NodeId(require_text(frame, "from")),
        require_integer(frame, "n"),
        FencingToken(require_integer(frame, "epoch")),
        frame.get("store") is True,
        require_integer(frame, "machines"),
        require_integer(frame, "short"),
        orders,
        _parse_supported_features(frame),
        _parse_backoff_ms(frame),
    )


def encode_peer_heartbeat_ack(acknowledgement: PeerHeartbeatAck) -> bytes:
    """The frame of an answer to a greeting."""
    return orjson.dumps(
        {
            "k": PEER_HEARTBEAT_ACK,
            "n": acknowledgement.request_id,
            "epoch": acknowledgement.token,
            "leads": acknowledgement.grants_lease,
            "store": acknowledgement.store_ok,
            "most": acknowledgement.max_machines,
            "spare": acknowledgement.redirect_target,
            "lent": acknowledgement.lent_rate_tokens,
            "takes": acknowledgement.supported_features,
            "low": acknowledgement.backoff_remaining_ms,
            "ready": acknowledgement.is_ready,
        }
    )


def parse_peer_heartbeat_ack(frame: dict[str, Any]) -> PeerHeartbeatAck:
    """An answer to a greeting, also of an earlier version."""
    spare = frame.get("spare")
    return PeerHeartbeatAck(
        require_integer(frame, "n"),
        FencingToken(require_integer(frame, "epoch")),
        frame.get("leads") is True,
        frame.get("store") is True,
        require_integer(frame, "most"),
        NodeId(spare) if isinstance(spare, str) else None,
        require_integer(frame, "lent"),
        _parse_supported_features(frame),
        _parse_backoff_ms(frame),
        frame.get("ready") is not False,  # 0.3 does not say
    )


def split_batches(items: list[tuple[int, bytes]]) -> Iterator[list[tuple[int, bytes]]]:
    """Cut so that each fits into a frame."""
    batch: list[tuple[int, bytes]] = []
    size = 0
    for item in items:
        if batch and size + len(item[1]) > MAX_BATCH_BYTES:
            yield batch
            batch, size = [], 0
        batch.append(item)
        size += len(item[1])
    if batch:
        yield batch


def encode_forwarded_heartbeats(token: FencingToken, items: list[tuple[int, bytes]]) -> bytes:
    """The reports go on as they came, without being written anew."""
    inner = b",".join(b"[%d,%b]" % (number, body) for number, body in items)
    return b'{"k":"%b","epoch":%d,"i":[%b]}' % (FORWARDED_HEARTBEATS.encode(), token, inner)


def parse_forwarded_heartbeats(frame: dict[str, Any]) -> ForwardedHeartbeats:
    """The reports of a frame; items that can't be reports are dropped."""
    epoch = FencingToken(require_integer(frame, "epoch"))
    pairs = _parse_items(frame)
    return ForwardedHeartbeats(
        epoch, [ForwardedHeartbeat(n, body) for n, body in pairs if isinstance(body, dict)]
    )


def _parse_items(frame: dict[str, Any]) -> list[tuple[int, Any]]:
    items = frame.get("i")
    if not isinstance(items, list):
        raise MalformedMessage("i")
    for item in items:
        if not isinstance(item, list) or len(item) != 2 or type(item[0]) is not int:
            raise MalformedMessage("i")
    return [(item[0], item[1]) for item in items]


def encode_heartbeat_replies(replies: list[HeartbeatReply]) -> bytes:
    """The frame of answers to forwarded reports."""
    return orjson.dumps(
        {"k": HEARTBEAT_REPLIES, "i": [[a.request_id, a.commands, a.wants_next] for a in replies]}
    )


def parse_heartbeat_replies(frame: dict[str, Any]) -> list[HeartbeatReply]:
    """The answers to forwarded reports."""
    items = frame.get("i")
    if not isinstance(items, list):
        raise MalformedMessage("i")
    out = []
    for item in items:
        if not isinstance(item, list) or len(item) != 3 or type(item[0]) is not int:
            raise MalformedMessage("i")
        number, calls, again = item
        if calls is not None and not isinstance(calls, list):
            raise MalformedMessage("i")
        out.append(HeartbeatReply(number, calls, again is True))
    return out


def encode_machines(kind: str, machine_ids: list[MachineId]) -> bytes:
    """A frame of the kind that only names machines."""
    return orjson.dumps({"k": kind, "m": machine_ids})


def parse_machines(frame: dict[str, Any]) -> list[MachineId]:
    """The machines that such a frame names."""
    names = frame.get("m")
    if not isinstance(names, list):
        raise MalformedMessage("m")
    return [MachineId(m) for m in names if isinstance(m, str)]


def encode_polls(items: list[tuple[int, str]]) -> bytes:
    """The frame that asks for the states of jobs, by number of the question."""
    return orjson.dumps({"k": POLLS, "i": items})


def encode_cancel(request_id: int, job: str) -> bytes:
    """The frame that asks for a job's cancellation."""
    return orjson.dumps({"k": CANCEL, "i": [[request_id, job]]})


def parse_job_requests(frame: dict[str, Any]) -> list[tuple[int, str]]:
    """The jobs that polls or a cancellation ask about, by number."""
    return [(number, job) for number, job in _parse_items(frame) if isinstance(job, str)]


def encode_job_replies(kind: str, replies: list[JobReply]) -> bytes:
    """The frame of answers to polls, or to a cancellation."""
    return orjson.dumps({"k": kind, "i": [_job_reply_object(t) for t in replies]})


def _job_reply_object(reply: JobReply) -> dict[str, Any]:
    """An earlier version skips what a job waits for, and never tells it."""
    value: dict[str, Any] = {
        "n": reply.request_id,
        "v": reply.state,
        "d": reply.done_count,
        "r": reply.running_count,
    }
    if reply.unmet_dependencies:
        value["w"] = reply.unmet_dependencies
    return value


def parse_job_replies(frame: dict[str, Any]) -> list[JobReply]:
    """The answers to polls, or to a cancellation."""
    return [
        JobReply(
            require_integer(i, "n"),
            require_text(i, "v"),
            require_integer(i, "d"),
            require_integer(i, "r"),
            require_texts(i, "w") if i.get("w") is not None else (),
        )
        for i in require_objects(frame, "i")
    ]
