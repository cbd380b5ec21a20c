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

from eldercart.units import Epoch, HeardReports, MachineId, NodeId, ReportOrder, Session
from eldercart.wire.checks import Malformed, count, load_answer, objects, text, texts

MAX_FRAME = 4 * 1024 * 1024

# All workers may report in the same moment, each up to 64 KiB, and be answered as much: a frame
# that is too long would end the connection, and again with each try.
BATCH_BYTES, BATCH_ITEMS = 1024 * 1024, 40
POLLS_ITEMS = 1000  # a submission may ask about thousands; their answers must fit as well

# Kinds of frames: asked by the one that connected …
GREET, REPORTS, POLLS, CANCEL = "greet", "reports", "polls", "cancel"
DROPPED = "dropped"  # machines whose answers came too late to be passed on
# … and told by the one that was connected to.
GREETED, ANSWERS, STATES, CANCELLED, WANT = "greeted", "answers", "states", "cancelled", "want"

RECUT = "recut"  # reads parts of placements that were cut anew
TAKES = (RECUT,)  # what this version reads that an earlier one does not

# Verdicts on jobs whose state is not told.
UNKNOWN, UNDECIDED, NOT_LEADER = "unknown", "undecided", "not_leader"


@dataclass(frozen=True, slots=True)
class Greet:
    """Sent by each node to each other one all the time."""

    sender: NodeId
    number: int  # comes back in the answer, which counts from when this was sent
    epoch: Epoch
    store_ok: bool
    machines: int  # workers that report to the sender
    short: int  # tokens for submissions that it lacks
    heard: HeardReports  # answered by the sender itself
    # Earlier versions know neither: a frame without them means this.
    takes: tuple[str, ...] = ()
    low_ms: int = 0  # for which the sender keeps to the store's lower rates, by refusals it met


@dataclass(frozen=True, slots=True)
class Greeted:
    """The answer to a greeting."""

    number: int
    epoch: Epoch
    leads: bool  # a grant to answer workers under `epoch`
    store_ok: bool
    most: int  # workers the asker should have at most
    spare: NodeId | None  # where to send those beyond it
    lent: int  # of the leader's tokens for the state service, for submissions
    takes: tuple[str, ...] = ()  # these two as in a greeting
    low_ms: int = 0
    # Whether it has read the leader key since its start. One that was elected, confirmed a
    # cancellation and is back within a second knows nothing of it and vouches for nothing.
    ready: bool = True


class ForwardedReport(NamedTuple):
    """A worker's report on its way to the leader."""

    number: int  # comes back with the answer
    body: dict[str, Any]


class ForwardedReports(NamedTuple):
    """The reports of one frame."""

    epoch: Epoch  # of the grant that the sender holds
    items: list[ForwardedReport]


@dataclass(frozen=True, slots=True)
class Answer:
    """The leader's answer to one forwarded report; `calls` None: the report is overtaken."""

    number: int
    calls: list[dict[str, Any]] | None
    again: bool  # the machine's next report is wanted, too


@dataclass(frozen=True, slots=True)
class JobReply:
    """The leader's answer about one job.

    `verdict` is the job's state, or UNKNOWN, UNDECIDED or NOT_LEADER."""

    number: int
    verdict: str
    done: int
    running: int
    waiting: tuple[str, ...] = ()  # some of the jobs that it awaits and that are not done


def kind_of(frame: dict[str, Any]) -> str:
    """The kind of a frame, one of the constants above."""
    return text(frame, "k")


def parse(data: bytes) -> dict[str, Any]:
    """A frame as it came over the connection."""
    return load_answer(data)


def _takes(frame: dict[str, Any]) -> tuple[str, ...]:
    takes = frame.get("takes")
    return tuple(t for t in takes if isinstance(t, str)) if isinstance(takes, list) else ()


def _low(frame: dict[str, Any]) -> int:
    low = frame.get("low")
    return low if type(low) is int and low > 0 else 0


def greet(g: Greet) -> bytes:
    """The frame of a greeting."""
    heard = [[m, o.session, o.sequence] for m, o in g.heard]
    return orjson.dumps(
        {
            "k": GREET,
            "from": g.sender,
            "n": g.number,
            "epoch": g.epoch,
            "store": g.store_ok,
            "machines": g.machines,
            "short": g.short,
            "heard": heard,
            "takes": g.takes,
            "low": g.low_ms,
        }
    )


def parse_greet(frame: dict[str, Any]) -> Greet:
    """A greeting, also of an earlier version."""
    heard = frame.get("heard")
    if not isinstance(heard, list):
        raise Malformed("heard")
    try:
        orders = tuple((MachineId(m), ReportOrder(Session(s + 0), q + 0)) for m, s, q in heard)
    except (TypeError, ValueError):
        raise Malformed("heard") from None
    return Greet(
        NodeId(text(frame, "from")),
        count(frame, "n"),
        Epoch(count(frame, "epoch")),
        frame.get("store") is True,
        count(frame, "machines"),
        count(frame, "short"),
        orders,
        _takes(frame),
        _low(frame),
    )


def greeted(g: Greeted) -> bytes:
    """The frame of an answer to a greeting."""
    return orjson.dumps(
        {
            "k": GREETED,
            "n": g.number,
            "epoch": g.epoch,
            "leads": g.leads,
            "store": g.store_ok,
            "most": g.most,
            "spare": g.spare,
            "lent": g.lent,
            "takes": g.takes,
            "low": g.low_ms,
            "ready": g.ready,
        }
    )


def parse_greeted(frame: dict[str, Any]) -> Greeted:
    """An answer to a greeting, also of an earlier version."""
    spare = frame.get("spare")
    return Greeted(
        count(frame, "n"),
        Epoch(count(frame, "epoch")),
        frame.get("leads") is True,
        frame.get("store") is True,
        count(frame, "most"),
        NodeId(spare) if isinstance(spare, str) else None,
        count(frame, "lent"),
        _takes(frame),
        _low(frame),
        frame.get("ready") is not False,  # 0.3 does not say
    )


def batches(items: list[tuple[int, bytes]]) -> Iterator[list[tuple[int, bytes]]]:
    """Cut so that each fits into a frame."""
    batch: list[tuple[int, bytes]] = []
    size = 0
    for item in items:
        if batch and size + len(item[1]) > BATCH_BYTES:
            yield batch
            batch, size = [], 0
        batch.append(item)
        size += len(item[1])
    if batch:
        yield batch


def reports(epoch: Epoch, items: list[tuple[int, bytes]]) -> bytes:
    """The reports go on as they came, without being written anew."""
    inner = b",".join(b"[%d,%b]" % (number, body) for number, body in items)
    return b'{"k":"%b","epoch":%d,"i":[%b]}' % (REPORTS.encode(), epoch, inner)


def parse_reports(frame: dict[str, Any]) -> ForwardedReports:
    """The reports of a frame; items that can't be reports are dropped."""
    epoch = Epoch(count(frame, "epoch"))
    pairs = _pairs(frame)
    return ForwardedReports(
        epoch, [ForwardedReport(n, body) for n, body in pairs if isinstance(body, dict)]
    )


def _pairs(frame: dict[str, Any]) -> list[tuple[int, Any]]:
    items = frame.get("i")
    if not isinstance(items, list):
        raise Malformed("i")
    for item in items:
        if not isinstance(item, list) or len(item) != 2 or type(item[0]) is not int:
            raise Malformed("i")
    return [(item[0], item[1]) for item in items]


def answers(items: list[Answer]) -> bytes:
    """The frame of answers to forwarded reports."""
    return orjson.dumps({"k": ANSWERS, "i": [[a.number, a.calls, a.again] for a in items]})


def parse_answers(frame: dict[str, Any]) -> list[Answer]:
    """The answers to forwarded reports."""
    items = frame.get("i")
    if not isinstance(items, list):
        raise Malformed("i")
    out = []
    for item in items:
        if not isinstance(item, list) or len(item) != 3 or type(item[0]) is not int:
            raise Malformed("i")
        number, calls, again = item
        if calls is not None and not isinstance(calls, list):
            raise Malformed("i")
        out.append(Answer(number, calls, again is True))
    return out


def machines(kind: str, names: list[MachineId]) -> bytes:
    """A frame of the kind that only names machines."""
    return orjson.dumps({"k": kind, "m": names})


def parse_machines(frame: dict[str, Any]) -> list[MachineId]:
    """The machines that such a frame names."""
    names = frame.get("m")
    if not isinstance(names, list):
        raise Malformed("m")
    return [MachineId(m) for m in names if isinstance(m, str)]


def polls(items: list[tuple[int, str]]) -> bytes:
    """The frame that asks for the states of jobs, by number of the question."""
    return orjson.dumps({"k": POLLS, "i": items})


def cancel(number: int, job: str) -> bytes:
    """The frame that asks for a job's cancellation."""
    return orjson.dumps({"k": CANCEL, "i": [[number, job]]})


def parse_asked(frame: dict[str, Any]) -> list[tuple[int, str]]:
    """The jobs that polls or a cancellation ask about, by number."""
    return [(number, job) for number, job in _pairs(frame) if isinstance(job, str)]


def states(kind: str, items: list[JobReply]) -> bytes:
    """The frame of answers to polls, or to a cancellation."""
    return orjson.dumps({"k": kind, "i": [_told(t) for t in items]})


def _told(t: JobReply) -> dict[str, Any]:
    """An earlier version skips what a job waits for, and never tells it."""
    value: dict[str, Any] = {"n": t.number, "v": t.verdict, "d": t.done, "r": t.running}
    if t.waiting:
        value["w"] = t.waiting
    return value


def parse_states(frame: dict[str, Any]) -> list[JobReply]:
    """The answers to polls, or to a cancellation."""
    return [
        JobReply(
            count(i, "n"),
            text(i, "v"),
            count(i, "d"),
            count(i, "r"),
            texts(i, "w") if i.get("w") is not None else (),
        )
        for i in objects(frame, "i")
    ]
