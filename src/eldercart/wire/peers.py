"""The messages between controller nodes: frames of one JSON object each.

A node keeps a connection to every other node and sends heartbeats over it. If the other node leads,
the node also forwards the heartbeats of its workers and the requests of its users to it. The other
node replies on the same connection. A frame belongs to one connection, and so to one incarnation of
each of the two processes: a frame that was sent to an earlier incarnation can't reach a later one.

No other module uses the field names of the frames. `parse_request` and `parse_reply` turn a frame
into one of the types below.
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
    load_unbounded_object,
    require_integer,
    require_objects,
    require_text,
    require_texts,
)

MAX_FRAME_BYTES = 4 * 1024 * 1024

# All workers may send heartbeats at the same moment, each of up to 64 KiB, and each response may be
# as long. A frame that is too long would close the connection, and would do so again at each retry.
MAX_BATCH_BYTES, MAX_BATCH_ITEMS = 1024 * 1024, 40
# A submission may poll thousands of jobs; the replies to one frame must fit into a frame, too.
MAX_POLL_ITEMS = 1000

# Kinds of frames that the connecting side sends.
PEER_HEARTBEAT = "greet"
FORWARDED_HEARTBEATS = "reports"
POLLS = "polls"
CANCEL = "cancel"
UNDELIVERED = "dropped"
# Kinds of frames that the accepting side sends.
PEER_HEARTBEAT_ACK = "greeted"
HEARTBEAT_REPLIES = "answers"
JOB_STATES = "states"
CANCEL_REPLIES = "cancelled"
NEXT_HEARTBEAT_REQUESTS = "want"

SUBCHUNKS_FEATURE = "recut"  # the node can read placement records with subchunks
SUPPORTED_FEATURES = (SUBCHUNKS_FEATURE,)  # features that earlier versions may lack

# Sent in place of a job's state if the node can't give it: the job is unknown, its outcome is being
# written, or the node does not lead.
UNKNOWN, UNDECIDED, NOT_LEADER = "unknown", "undecided", "not_leader"


@dataclass(frozen=True, slots=True)
class PeerHeartbeat:
    """The heartbeat that each node sends to every other node at a fixed interval."""

    sender: NodeId
    # Repeated in the acknowledgement; a lease that it grants starts when this heartbeat was sent.
    request_id: int
    token: FencingToken  # the highest that the sender has seen
    store_ok: bool  # whether the state service answers the sender
    machine_count: int  # machines whose workers report to the sender
    missing_rate_tokens: int  # rate-limit tokens that the sender lacks to admit jobs
    acknowledged: AcknowledgedHeartbeats  # workers' heartbeats that the sender acknowledged itself
    # Earlier versions do not send the following fields; the defaults apply to their frames.
    supported_features: tuple[str, ...] = ()
    # How long the sender will keep to the store's reduced rates because of rejections that it
    # received itself.
    backoff_remaining_ms: int = 0


@dataclass(frozen=True, slots=True)
class PeerHeartbeatAck:
    """The acknowledgement of a peer's heartbeat."""

    request_id: int
    token: FencingToken
    grants_lease: bool  # whether the recipient may answer workers under `token`
    store_ok: bool
    max_machines: int  # how many machines should send their heartbeats to the recipient
    redirect_target: NodeId | None  # node for the machines in excess of `max_machines`
    lent_rate_tokens: int  # rate-limit tokens that the leader lends to admit jobs
    # These two fields have the same meaning as in `PeerHeartbeat`.
    supported_features: tuple[str, ...] = ()
    backoff_remaining_ms: int = 0
    # Whether the sender has read the leader key since its start. A node that was elected, confirmed
    # a cancellation and restarted within a second has lost that knowledge, so until the read its
    # acknowledgement is no evidence that no other node leads.
    is_ready: bool = True


class EncodedHeartbeat(NamedTuple):
    """A worker's heartbeat that is to be forwarded to the leader, with its body as received."""

    request_id: int
    body: bytes


class ForwardedHeartbeat(NamedTuple):
    """A worker's heartbeat that the leader received from a relay."""

    request_id: int  # repeated in the reply
    body: dict[str, Any]


class ForwardedHeartbeats(NamedTuple):
    """The heartbeats of one frame."""

    token: FencingToken  # under which the sender holds its relay lease
    heartbeats: list[ForwardedHeartbeat]


@dataclass(frozen=True, slots=True)
class HeartbeatReply:
    """The leader's reply to one forwarded heartbeat."""

    request_id: int
    # Commands for the worker; None: the heartbeat is rejected as stale.
    commands: list[dict[str, Any]] | None
    wants_next: bool  # whether the machine's next heartbeat must also be forwarded


class JobRequest(NamedTuple):
    """A poll or cancellation of one job."""

    request_id: int  # repeated in the reply
    job: str


@dataclass(frozen=True, slots=True)
class JobReply:
    """The leader's reply about one job."""

    request_id: int
    state: str  # state of the job, or UNKNOWN, UNDECIDED or NOT_LEADER
    done_count: int  # tasks
    running_count: int  # tasks
    unmet_dependencies: tuple[str, ...] = ()  # a selection if there are many


class Polls(NamedTuple):
    """Requests for the states of jobs."""

    requests: list[JobRequest]


class Cancellations(NamedTuple):
    """Requests to cancel jobs."""

    requests: list[JobRequest]


class UndeliveredResponses(NamedTuple):
    """The machines whose responses from the leader came too late to be delivered."""

    machines: list[MachineId]


class HeartbeatReplies(NamedTuple):
    """The replies to forwarded heartbeats."""

    replies: list[HeartbeatReply]


class NextHeartbeatRequests(NamedTuple):
    """The machines whose next heartbeats the leader requests to be forwarded."""

    machines: list[MachineId]


class JobReplies(NamedTuple):
    """The replies to polls or to a cancellation."""

    replies: list[JobReply]


Request = PeerHeartbeat | ForwardedHeartbeats | Polls | Cancellations | UndeliveredResponses
Reply = PeerHeartbeatAck | HeartbeatReplies | NextHeartbeatRequests | JobReplies


def parse_frame(data: bytes) -> dict[str, Any]:
    """Return the JSON object of a frame. Raises `MalformedMessageError` if there is none."""
    return load_unbounded_object(data)


def frame_kind(frame: dict[str, Any]) -> str:
    """Return the kind of a frame. It is not checked against the kinds defined above."""
    return require_text(frame, "k")


def parse_request(frame: dict[str, Any]) -> Request:
    """Parse a frame from the connecting side. Raises `MalformedMessageError`, also for a reply."""
    parse = _REQUEST_PARSERS.get(frame_kind(frame))
    if parse is None:
        raise MalformedMessageError("k: not the kind of a request")
    return parse(frame)


def parse_reply(frame: dict[str, Any]) -> Reply:
    """Parse a frame from the accepting side. Raises `MalformedMessageError`, also for a request."""
    parse = _REPLY_PARSERS.get(frame_kind(frame))
    if parse is None:
        raise MalformedMessageError("k: not the kind of a reply")
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
    """Return the heartbeat in a frame, which may be of an earlier version."""
    items = frame.get("heard")
    if not isinstance(items, list):
        raise MalformedMessageError("heard: not a list")
    try:
        # Adding 0 raises TypeError for values that are not numbers.
        acknowledged = tuple(
            (MachineId(machine), HeartbeatSequence(AgentEpoch(agent_epoch + 0), number + 0))
            for machine, agent_epoch, number in items
        )
    except (TypeError, ValueError):
        raise MalformedMessageError("heard: items must be [machine, epoch, number]") from None
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
    """Return the acknowledgement in a frame, which may be of an earlier version."""
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
    """Return the frame that forwards heartbeats, whose bodies are copied as received."""
    items = b",".join(b"[%d,%b]" % (request_id, body) for request_id, body in heartbeats)
    return b'{"k":"%b","epoch":%d,"i":[%b]}' % (FORWARDED_HEARTBEATS.encode(), token, items)


def parse_forwarded_heartbeats(frame: dict[str, Any]) -> ForwardedHeartbeats:
    """Return the heartbeats in a frame; items whose bodies are not objects are dropped."""
    token = FencingToken(require_integer(frame, "epoch"))
    heartbeats = [
        ForwardedHeartbeat(request_id, body)
        for request_id, body in _parse_items(frame)
        if isinstance(body, dict)
    ]
    return ForwardedHeartbeats(token, heartbeats)


def _parse_items(frame: dict[str, Any]) -> list[tuple[int, Any]]:
    """Return the items of a frame as pairs of request id and content."""
    items = frame.get("i")
    if not isinstance(items, list):
        raise MalformedMessageError("i: not a list")
    for item in items:
        if not isinstance(item, list) or len(item) != 2 or type(item[0]) is not int:
            raise MalformedMessageError("i: items must be [request id, content]")
    return [(item[0], item[1]) for item in items]


def encode_heartbeat_replies(replies: list[HeartbeatReply]) -> bytes:
    """Return the frame of replies to forwarded heartbeats."""
    items = [[reply.request_id, reply.commands, reply.wants_next] for reply in replies]
    return orjson.dumps({"k": HEARTBEAT_REPLIES, "i": items})


def parse_heartbeat_replies(frame: dict[str, Any]) -> list[HeartbeatReply]:
    """Return the replies to forwarded heartbeats."""
    items = frame.get("i")
    if not isinstance(items, list):
        raise MalformedMessageError("i: not a list")
    replies = []
    for item in items:
        if not isinstance(item, list) or len(item) != 3 or type(item[0]) is not int:
            raise MalformedMessageError("i: items must be [request id, commands, wants next]")
        request_id, commands, wants_next = item
        if commands is not None and not isinstance(commands, list):
            raise MalformedMessageError("i: commands must be a list or null")
        replies.append(HeartbeatReply(request_id, commands, wants_next is True))
    return replies


def encode_machines(kind: str, machine_ids: list[MachineId]) -> bytes:
    """Return a frame of the given kind that holds only machine ids."""
    return orjson.dumps({"k": kind, "m": machine_ids})


def parse_machines(frame: dict[str, Any]) -> list[MachineId]:
    """Return the machine ids in a frame that holds nothing else."""
    names = frame.get("m")
    if not isinstance(names, list):
        raise MalformedMessageError("m: not a list")
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
    """Return the JSON object of a reply. Earlier versions ignore the unmet dependencies."""
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
