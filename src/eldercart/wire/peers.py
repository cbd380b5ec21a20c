"""What controller nodes say to each other."""

from dataclasses import dataclass
from typing import Any

import orjson

from eldercart.units import Epoch, NodeId
from eldercart.wire.checks import count, load_object, text

POLL, CANCEL, HELLO = "poll", "cancel", "hello"


@dataclass(frozen=True, slots=True)
class Ask:
    op: str
    job: str
    epoch: Epoch
    sender: NodeId


def ask_body(op: str, job: str, epoch: Epoch, sender: NodeId) -> bytes:
    return orjson.dumps({"op": op, "job": job, "epoch": epoch, "from": sender})


def parse_ask(body: bytes) -> Ask:
    obj = load_object(body)
    return Ask(
        text(obj, "op"),
        obj["job"] if isinstance(obj.get("job"), str) else "",
        Epoch(count(obj, "epoch")),
        NodeId(text(obj, "from")),
    )


@dataclass(frozen=True, slots=True)
class Told:
    """`verdict`: a state, or "unknown", "undecided", "not_leader"."""

    verdict: str
    epoch: Epoch
    done: int
    running: int
    store_ok: bool


def told_body(verdict: str, epoch: Epoch, store_ok: bool, done: int = 0, running: int = 0) -> bytes:
    body: dict[str, Any] = {
        "verdict": verdict, "epoch": epoch, "store": store_ok, "done": done, "running": running,
    }  # fmt: skip
    return orjson.dumps(body)


def parse_told(body: bytes) -> Told:
    obj = load_object(body)
    return Told(
        text(obj, "verdict"),
        Epoch(count(obj, "epoch")),
        count(obj, "done"),
        count(obj, "running"),
        obj.get("store") is True,
    )
