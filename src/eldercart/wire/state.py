"""The state service's interface."""

from dataclasses import dataclass, field
from typing import Any
from urllib.parse import quote

import orjson

from eldercart.units import LeaseId, Revision
from eldercart.wire.checks import Malformed, count, load_answer, objects, text, texts

PAGE = 1000  # keys of one answer to a range
TXN_BYTES = 56 * 1024  # of values; the limit is 64 KiB, names and guards take the rest


@dataclass(frozen=True, slots=True)
class Put:
    """A change that writes a value, attached to a lease if one is given."""

    key: str
    value: Any
    lease: LeaseId | None = None


@dataclass(frozen=True, slots=True)
class Drop:
    """A change, made or seen, that deletes a key."""

    key: str


@dataclass(slots=True)
class Txn:
    """An atomic transaction: the writes are applied if all guards hold, that is, if each key has
    the given version."""

    guards: dict[str, Revision] = field(default_factory=dict)
    writes: list[Put | Drop] = field(default_factory=list)

    def body(self) -> bytes:
        """The request's body."""
        writes: list[dict[str, Any]] = []
        for write in self.writes:
            if isinstance(write, Put):
                item: dict[str, Any] = {"put": write.key, "v": write.value}
                if write.lease is not None:
                    item["tether"] = write.lease
                writes.append(item)
            else:
                writes.append({"delete": write.key})
        guards = [{"path": k, "stamp": v} for k, v in self.guards.items()]
        return orjson.dumps({"guards": guards, "writes": writes})


@dataclass(frozen=True, slots=True)
class Item:
    """A key as it was read."""

    key: str
    value: Any
    version: Revision
    lease: LeaseId | None = None


def key_path(key: str) -> str:
    """Where one key is read."""
    return "/keys/" + quote(key, safe="/:")


def range_path(prefix: str, after: str | None) -> str:
    """Where a page of the keys with a prefix is read, those after the given key."""
    path = f"/keys?prefix={quote(prefix, safe='')}&most={PAGE}"
    return path + (f"&from={quote(after, safe='')}" if after else "")


def watch_path(prefix: str, after: Revision, wait_ms: int) -> str:
    """Where changes under a prefix are waited for, those after the given revision."""
    return f"/follow?prefix={quote(prefix, safe='')}&from={after}&waitMs={wait_ms}"


def parse_item(body: bytes) -> Item:
    """The answer to the read of one key."""
    obj = load_answer(body)
    lease = obj.get("tether")
    return Item(
        text(obj, "path"),
        obj.get("v"),
        Revision(count(obj, "stamp", 1)),
        LeaseId(lease) if isinstance(lease, int) and not isinstance(lease, bool) else None,
    )


def parse_range(body: bytes) -> tuple[list[Item], bool, Revision]:
    """A page of keys, whether more follow, and the revision at which it was read."""
    obj = load_answer(body)
    items = [
        Item(text(i, "path"), i.get("v"), Revision(count(i, "stamp", 1)))
        for i in objects(obj, "pairs")
    ]
    return items, obj.get("more") is True, Revision(count(obj, "ledgerRev"))


def parse_revision(body: bytes) -> Revision:
    """The revision of a transaction that was applied."""
    return Revision(count(load_answer(body), "ledgerRev"))


def parse_failed(body: bytes) -> tuple[str, ...]:
    """The keys whose guards did not hold."""
    return texts(load_answer(body), "failed")


def parse_lease(body: bytes) -> LeaseId:
    """The lease that was opened."""
    return LeaseId(count(load_answer(body), "tether"))


def parse_watch(body: bytes) -> tuple[Revision, list[Item | Drop]]:
    """The changes in their order, and the revision from which to go on."""
    obj = load_answer(body)
    events: list[Item | Drop] = []
    for event in objects(obj, "log"):
        if "put" in event:
            events.append(
                Item(text(event, "put"), event.get("v"), Revision(count(event, "stamp", 1)))
            )
        elif "delete" in event:
            events.append(Drop(text(event, "delete")))
        else:
            raise Malformed("log")
    return Revision(count(obj, "ledgerRev")), events
