"""The state service's interface."""

from dataclasses import dataclass, field
from typing import Any
from urllib.parse import quote

import orjson

from eldercart.units import LeaseId, Revision
from eldercart.wire.checks import (
    MalformedMessage,
    load_response,
    require_integer,
    require_objects,
    require_text,
    require_texts,
)

RANGE_PAGE_KEYS = 1000  # keys of one answer to a range
MAX_TRANSACTION_BYTES = 56 * 1024  # of values; the limit is 64 KiB, names and guards take the rest


@dataclass(frozen=True, slots=True)
class Put:
    """A change that writes a value, attached to a lease if one is given."""

    key: str
    value: Any
    lease: LeaseId | None = None


@dataclass(frozen=True, slots=True)
class DeleteKey:
    """A change, made or seen, that deletes a key."""

    key: str


@dataclass(slots=True)
class Transaction:
    """An atomic transaction: the writes are applied if all guards hold, that is, if each key has
    the given version."""

    conditions: dict[str, Revision] = field(default_factory=dict)
    operations: list[Put | DeleteKey] = field(default_factory=list)

    def body(self) -> bytes:
        """The request's body."""
        writes: list[dict[str, Any]] = []
        for write in self.operations:
            if isinstance(write, Put):
                item: dict[str, Any] = {"put": write.key, "v": write.value}
                if write.lease is not None:
                    item["tether"] = write.lease
                writes.append(item)
            else:
                writes.append({"delete": write.key})
        guards = [{"path": k, "stamp": v} for k, v in self.conditions.items()]
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
    path = f"/keys?prefix={quote(prefix, safe='')}&most={RANGE_PAGE_KEYS}"
    return path + (f"&from={quote(after, safe='')}" if after else "")


def watch_path(prefix: str, after: Revision, wait_ms: int) -> str:
    """Where changes under a prefix are waited for, those after the given revision."""
    return f"/follow?prefix={quote(prefix, safe='')}&from={after}&waitMs={wait_ms}"


def parse_item(body: bytes) -> Item:
    """The answer to the read of one key."""
    obj = load_response(body)
    lease = obj.get("tether")
    return Item(
        require_text(obj, "path"),
        obj.get("v"),
        Revision(require_integer(obj, "stamp", 1)),
        LeaseId(lease) if isinstance(lease, int) and not isinstance(lease, bool) else None,
    )


def parse_range(body: bytes) -> tuple[list[Item], bool, Revision]:
    """A page of keys, whether more follow, and the revision at which it was read."""
    obj = load_response(body)
    items = [
        Item(require_text(i, "path"), i.get("v"), Revision(require_integer(i, "stamp", 1)))
        for i in require_objects(obj, "pairs")
    ]
    return items, obj.get("more") is True, Revision(require_integer(obj, "ledgerRev"))


def parse_revision(body: bytes) -> Revision:
    """The revision of a transaction that was applied."""
    return Revision(require_integer(load_response(body), "ledgerRev"))


def parse_failed_conditions(body: bytes) -> tuple[str, ...]:
    """The keys whose guards did not hold."""
    return require_texts(load_response(body), "failed")


def parse_lease(body: bytes) -> LeaseId:
    """The lease that was opened."""
    return LeaseId(require_integer(load_response(body), "tether"))


def parse_watch(body: bytes) -> tuple[Revision, list[Item | DeleteKey]]:
    """The changes in their order, and the revision from which to go on."""
    obj = load_response(body)
    events: list[Item | DeleteKey] = []
    for event in require_objects(obj, "log"):
        if "put" in event:
            events.append(
                Item(
                    require_text(event, "put"),
                    event.get("v"),
                    Revision(require_integer(event, "stamp", 1)),
                )
            )
        elif "delete" in event:
            events.append(DeleteKey(require_text(event, "delete")))
        else:
            raise MalformedMessage("log")
    return Revision(require_integer(obj, "ledgerRev")), events
