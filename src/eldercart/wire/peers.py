"""The messages between controller nodes: frames of one JSON object each.

A node keeps a connection to every other one. It sends heartbeats, and when the other node leads it
forwards the heartbeats of its workers and the requests of its users; the other node answers on the
same connection. A frame belongs to its connection, and so to one start of each of the two
processes: what an earlier start was sent can't reach a later one.

This module is the only one that knows the words of the frames. `parse_request` and `parse_reply`
turn a frame into one of the types below.
"""

from collections.abc import Callable, Iterator
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
    MalformedMessageError,
    load_response,
    require_integer,
    require_objects,
    require_text,
    require_texts,
)

MAX_FRAME_BYTES = 4 * 1024 * 1024

# All workers may send heartbeats in the same moment, each up to 64 KiB, and be answered as much: a
# frame that is too long would end the connection, and again with each retry.
MAX_BATCH_BYTES, MAX_BATCH_ITEMS = 1024 * 1024, 40
MAX_POLL_ITEMS = 1000  # a submission may ask about thousands; their answers must fit as well

# Kinds of frames that the connecting side sends …
PEER_HEARTBEAT = "greet"
FORWARDED_HEARTBEATS = "reports"
POLLS = "polls"
CANCEL = "cancel"
UNDELIVERED = "dropped"
# … and of those that the accepting side sends.
PEER_HEARTBEAT_ACK = "greeted"
HEARTBEAT_REPLIES = "answers"
JOB_STATES = "states"
CANCEL_REPLIES = "cancelled"
NEXT_HEARTBEAT_REQUESTS = "want"

RECHUNKING = "recut"  # reads parts of placement chunks that were split anew
SUPPORTED_FEATURES = (RECHUNKING,)  # what this version reads that an earlier one does not

# In place of a job's state when it can't be told: no such job is known, its outcome is being
# written, or the node does not lead.
UNKNOWN, UNDECIDED, NOT_LEADER = "unknown", "undecided", "not_leader"


@dataclass(frozen=True, slots=True)
class PeerHeartbeat:
    """The heartbeat that each node sends to every other one at a fixed interval."""

    sender: NodeId
    request_id: int  # repeated in the acknowledgement, which counts from when this was sent
    token: FencingToken  # the highest that the sender knows
    store_ok: bool  # whether the state service answers the sender
    machine_count: int  # machines whose workers report to the sender
    missing_rate_tokens: int  # that the sender lacks for admitting jobs
    acknowledged: AcknowledgedHeartbeats  # of workers, by the sender itself
    # Earlier versions send neither of these: a frame without them has the defaults.
    supported_features: tuple[str, ...] = ()
    # For how long the sender keeps to the store's reduced rates, by rejections it met itself.
    backoff_remaining_ms: int = 0


@dataclass(frozen=True, slots=True)
class PeerHeartbeatAck:
    """The acknowledgement of a peer's heartbeat."""

    request_id: int
    token: FencingToken
    grants_lease: bool  # whether the receiver may answer workers under `token`
    store_ok: bool
    max_machines: int  # share of machines that should report to the receiver
    redirect_target: NodeId | None  # where to send those beyond the share
    lent_rate_tokens: int  # of the leader's state service tokens, for admitting jobs
    # As in a heartbeat.
    supported_features: tuple[str, ...] = ()
    backoff_remaining_ms: int = 0
    # Whether the sender has read the leader key since its start. One that was elected, confirmed a
    # cancellation and is back within a second knows nothing of it and vouches for nothing.
    is_ready: bool = True


class EncodedHeartbeat(NamedTuple):
    """A worker's heartbeat as it came, to be forwarded to the leader."""

    request_id: int
    body: bytes


class ForwardedHeartbeat(NamedTuple):
    """A worker's heartbeat as the leader gets it from a relay."""

    request_id: int  # repeated in the reply
    body: dict[str, Any]


class ForwardedHeartbeats(NamedTuple):
    """The heartbeats of one frame."""

    token: FencingToken  # of the lease that the sender holds
    heartbeats: list[ForwardedHeartbeat]


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """The leader's reply to one forwarded heartbeat."""

    request_id: int
    commands: list[dict[str, Any]] | None  # for the worker; None: the heartbeat is stale
    wants_next: bool  # whether the machine's next heartbeat must be forwarded, too


class JobRequest(NamedTuple):
    """A poll or cancellation of one job."""

    request_id: int  # repeated in the reply
    job: str


@dataclass(frozen=True, slots=True)
class JobReply:
    """The leader's reply about one job."""

    request_id: int
    state: str  # the job's, or UNKNOWN, UNDECIDED or NOT_LEADER
    done_count: int  # tasks
    running_count: int  # tasks
    unmet_dependencies: tuple[str, ...] = ()  # some of them


class Polls(NamedTuple):
    """Requests for the states of jobs."""

    requests: list[JobRequest]


class Cancellations(NamedTuple):
    """Requests to cancel jobs."""

    requests: list[JobRequest]


class UndeliveredResponses(NamedTuple):
    """The machines whose responses came too late to be passed on."""

    machines: list[MachineId]


class HeartbeatReplies(NamedTuple):
    """The replies to forwarded heartbeats."""

    replies: list[HeartbeatReply]


class NextHeartbeatRequests(NamedTuple):
    """The machines whose next heartbeats the leader wants to be forwarded."""

    machines: list[MachineId]


class JobReplies(NamedTuple):
    """The replies to polls or to a cancellation."""

    replies: list[JobReply]


Request = PeerHeartbeat | ForwardedHeartbeats | Polls | Cancellations | UndeliveredResponses
Reply = PeerHeartbeatAck | HeartbeatReplies | NextHeartbeatRequests | JobReplies


def parse_frame(data: bytes) -> dict[str, Any]:
    """Return the JSON object of a frame. Raises `MalformedMessageError` if it is none."""
    return load_response(data)


def frame_kind(frame: dict[str, Any]) -> str:
    """Return the kind of a frame, one of the constants above if it is well-formed."""
    return require_text(frame, "k")


def parse_request(frame: dict[str, Any]) -> Request:
    """Return what the connecting side sent. Raises `MalformedMessageError`, also for a reply."""
    parse = _REQUEST_PARSERS.get(frame_kind(frame))
    if parse is None:
        raise MalformedMessageError("k")
    return parse(frame)


def parse_reply(frame: dict[str, Any]) -> Reply:
    """Return what the accepting side sent. Raises `MalformedMessageError`, also for a request."""
    parse = _REPLY_PARSERS.get(frame_kind(frame))
    if parse is None:
        raise MalformedMessageError("k")
    return parse(frame)


# -- heartbeats between the nodes


def _parse_supported_features(frame: dict[str, Any]) -> tuple[str, ...]:
    features = frame.get("takes")
    if not isinstance(features, list):
        return ()
    return tuple(feature for feature in features if isinstance(feature, str))


def _parse_backoff_ms(frame: dict[str, Any]) -> int:
    backoff_ms = frame.get("low")
    return backoff_ms if type(backoff_ms) is int and backoff_ms > 0 else 0


def encode_peer_heartbeat(heartbeat: PeerHeartbeat) -> bytes:
    """Return the frame of a heartbeat."""
    acknowledged = [
        [machine, sequence.agent_epoch, sequence.number]
        for machine, sequence in heartbeat.acknowledged
    ]
    return orjson.dumps(
        {
            "k": PEER_HEARTBEAT,
            "from": heartbeat.sender,
            "n": heartbeat.request_id,
            "epoch": heartbeat.token,
            "store": heartbeat.store_ok,
            "machines": heartbeat.machine_count,
            "short": heartbeat.missing_rate_tokens,
            "heard": acknowledged,
            "takes": heartbeat.supported_features,
            "low": heartbeat.backoff_remaining_ms,
        }
    )


def parse_peer_heartbeat(frame: dict[str, Any]) -> PeerHeartbeat:
    """Return the heartbeat in a frame, also of an earlier version."""
    items = frame.get("heard")
    if not isinstance(items, list):
        raise MalformedMessageError("heard")
    try:
        # The additions fail for what is no number.
        acknowledged = tuple(
            (MachineId(machine), HeartbeatSequence(AgentEpoch(agent_epoch + 0), number + 0))
            for machine, agent_epoch, number in items
        )
    except (TypeError, ValueError):
        raise MalformedMessageError("heard") from None
    return PeerHeartbeat(
        NodeId(require_text(frame, "from")),
        require_integer(frame, "n"),
        FencingToken(require_integer(frame, "epoch")),
        frame.get("store") is True,
        require_integer(frame, "machines"),
        require_integer(frame, "short"),
        acknowledged,
        _parse_supported_features(frame),
        _parse_backoff_ms(frame),
    )


def encode_peer_heartbeat_ack(acknowledgement: PeerHeartbeatAck) -> bytes:
    """Return the frame of an acknowledgement."""
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
    """Return the acknowledgement in a frame, also of an earlier version."""
    redirect_target = frame.get("spare")
    return PeerHeartbeatAck(
        require_integer(frame, "n"),
        FencingToken(require_integer(frame, "epoch")),
        frame.get("leads") is True,
        frame.get("store") is True,
        require_integer(frame, "most"),
        NodeId(redirect_target) if isinstance(redirect_target, str) else None,
        require_integer(frame, "lent"),
        _parse_supported_features(frame),
        _parse_backoff_ms(frame),
        frame.get("ready") is not False,  # version 0.3 does not send it
    )


# -- heartbeats of workers


def split_batches(heartbeats: list[EncodedHeartbeat]) -> Iterator[list[EncodedHeartbeat]]:
    """Yield the heartbeats in batches that each fit into a frame."""
    batch: list[EncodedHeartbeat] = []
    size = 0
    for heartbeat in heartbeats:
        _, body = heartbeat
        if batch and size + len(body) > MAX_BATCH_BYTES:
            yield batch
            batch, size = [], 0
        batch.append(heartbeat)
        size += len(body)
    if batch:
        yield batch


def encode_forwarded_heartbeats(token: FencingToken, heartbeats: list[EncodedHeartbeat]) -> bytes:
    """Return the frame of heartbeats, which go on as they came, without being encoded anew."""
    items = b",".join(b"[%d,%b]" % (request_id, body) for request_id, body in heartbeats)
    return b'{"k":"%b","epoch":%d,"i":[%b]}' % (FORWARDED_HEARTBEATS.encode(), token, items)


def parse_forwarded_heartbeats(frame: dict[str, Any]) -> ForwardedHeartbeats:
    """Return the heartbeats of a frame; items that can't be heartbeats are dropped."""
    token = FencingToken(require_integer(frame, "epoch"))
    heartbeats = [
        ForwardedHeartbeat(request_id, body)
        for request_id, body in _parse_items(frame)
        if isinstance(body, dict)
    ]
    return ForwardedHeartbeats(token, heartbeats)


def _parse_items(frame: dict[str, Any]) -> list[tuple[int, Any]]:
    """Return the items of a frame by their request ids."""
    items = frame.get("i")
    if not isinstance(items, list):
        raise MalformedMessageError("i")
    for item in items:
        if not isinstance(item, list) or len(item) != 2 or type(item[0]) is not int:
            raise MalformedMessageError("i")
    return [(item[0], item[1]) for item in items]


def encode_heartbeat_replies(replies: list[HeartbeatReply]) -> bytes:
    """Return the frame of replies to forwarded heartbeats."""
    items = [[reply.request_id, reply.commands, reply.wants_next] for reply in replies]
    return orjson.dumps({"k": HEARTBEAT_REPLIES, "i": items})


def parse_heartbeat_replies(frame: dict[str, Any]) -> list[HeartbeatReply]:
    """Return the replies to forwarded heartbeats."""
    items = frame.get("i")
    if not isinstance(items, list):
        raise MalformedMessageError("i")
    replies = []
    for item in items:
        if not isinstance(item, list) or len(item) != 3 or type(item[0]) is not int:
            raise MalformedMessageError("i")
        request_id, commands, wants_next = item
        if commands is not None and not isinstance(commands, list):
            raise MalformedMessageError("i")
        replies.append(HeartbeatReply(request_id, commands, wants_next is True))
    return replies


def encode_machines(kind: str, machine_ids: list[MachineId]) -> bytes:
    """Return the frame of a kind that only names machines."""
    return orjson.dumps({"k": kind, "m": machine_ids})


def parse_machines(frame: dict[str, Any]) -> list[MachineId]:
    """Return the machines that such a frame names."""
    names = frame.get("m")
    if not isinstance(names, list):
        raise MalformedMessageError("m")
    return [MachineId(name) for name in names if isinstance(name, str)]


# -- requests of users


def encode_polls(requests: list[JobRequest]) -> bytes:
    """Return the frame that asks for the states of jobs."""
    items = [[request_id, job] for request_id, job in requests]
    return orjson.dumps({"k": POLLS, "i": items})


def encode_cancel(request_id: int, job: str) -> bytes:
    """Return the frame that asks for a job's cancellation."""
    return orjson.dumps({"k": CANCEL, "i": [[request_id, job]]})


def parse_job_requests(frame: dict[str, Any]) -> list[JobRequest]:
    """Return the polls or cancellations in a frame."""
    return [
        JobRequest(request_id, job)
        for request_id, job in _parse_items(frame)
        if isinstance(job, str)
    ]


def encode_job_replies(kind: str, replies: list[JobReply]) -> bytes:
    """Return the frame of replies to polls, or to a cancellation."""
    return orjson.dumps({"k": kind, "i": [_job_reply_object(reply) for reply in replies]})


def _job_reply_object(reply: JobReply) -> dict[str, Any]:
    """Return a reply as it is sent. Earlier versions ignore the unmet dependencies."""
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
    """Return the replies to polls, or to a cancellation."""
    return [
        JobReply(
            require_integer(item, "n"),
            require_text(item, "v"),
            require_integer(item, "d"),
            require_integer(item, "r"),
            require_texts(item, "w") if item.get("w") is not None else (),
        )
        for item in require_objects(frame, "i")
    ]


_REQUEST_PARSERS: dict[str, Callable[[dict[str, Any]], Request]] = {
    PEER_HEARTBEAT: parse_peer_heartbeat,
    FORWARDED_HEARTBEATS: parse_forwarded_heartbeats,
    POLLS: lambda frame: Polls(parse_job_requests(frame)),
    CANCEL: lambda frame: Cancellations(parse_job_requests(frame)),
    UNDELIVERED: lambda frame: UndeliveredResponses(parse_machines(frame)),
}
_REPLY_PARSERS: dict[str, Callable[[dict[str, Any]], Reply]] = {
    PEER_HEARTBEAT_ACK: parse_peer_heartbeat_ack,
    HEARTBEAT_REPLIES: lambda frame: HeartbeatReplies(parse_heartbeat_replies(frame)),
    NEXT_HEARTBEAT_REQUESTS: lambda frame: NextHeartbeatRequests(parse_machines(frame)),
    JOB_STATES: lambda frame: JobReplies(parse_job_replies(frame)),
    CANCEL_REPLIES: lambda frame: JobReplies(parse_job_replies(frame)),
}
