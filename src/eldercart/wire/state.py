"""The messages of the state service: a key-value store with leases and watches."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple
from urllib.parse import quote

import orjson

from eldercart.units import LeaseId, Revision
from eldercart.wire.checks import (
    MalformedMessageError,
    load_unbounded_object,
    require_integer,
    require_objects,
    require_text,
    require_texts,
)

RANGE_PAGE_KEYS = 1000  # keys in one page
# Limit for the values of a transaction. The state service limits a whole transaction to 64 KiB; the
# remainder is left for keys and conditions.
MAX_TRANSACTION_BYTES = 56 * 1024


@dataclass(frozen=True, slots=True)
class Put:
    """An operation that writes a value, attached to a lease if one is given."""

    key: str
    value: Any
    lease: LeaseId | None = None


@dataclass(frozen=True, slots=True)
class DeleteKey:
    """An operation that deletes a key."""

    key: str


@dataclass(slots=True)
class Transaction:
    """An atomic compare-and-swap.

    The operations are applied if all conditions hold, that is, if each key has the given version.
    """

    conditions: dict[str, Revision] = field(default_factory=dict)
    operations: list[Put | DeleteKey] = field(default_factory=list)

    def body(self) -> bytes:
        """Return the request's body."""
        operation_objects: list[dict[str, Any]] = []
        for operation in self.operations:
            if isinstance(operation, Put):
                item: dict[str, Any] = {"put": operation.key, "v": operation.value}
                if operation.lease is not None:
                    item["tether"] = operation.lease
                operation_objects.append(item)
            else:
                operation_objects.append({"delete": operation.key})
        condition_objects = [
            {"path": key, "stamp": version} for key, version in self.conditions.items()
        ]
        return orjson.dumps({"guards": condition_objects, "writes": operation_objects})


@dataclass(frozen=True, slots=True)
class Item:
    """A key with its value and version, as read from the state service."""

    key: str
    value: Any
    version: Revision
    lease: LeaseId | None = None


@dataclass(frozen=True, slots=True)
class DeletedKey:
    """A key that does not exist since the revision `version`, in which it was deleted."""

    key: str
    version: Revision


KeyChange = Item | DeletedKey  # the state of a key since its last change


def key_path(key: str) -> str:
    """Return the path under which one key is read."""
    return "/keys/" + quote(key, safe="/:")


def range_path(prefix: str, after: str | None) -> str:
    """Return the path of a page of the keys with a prefix.

    The page holds the keys after `after`; None: it is the first page.
    """
    path = f"/keys?prefix={quote(prefix, safe='')}&most={RANGE_PAGE_KEYS}"
    return path + (f"&from={quote(after, safe='')}" if after else "")


def watch_path(prefix: str, after: Revision, wait_ms: int) -> str:
    """Return the path of a watch on the keys with a prefix.

    The service responds to it with the changes after the revision `after`, and waits for `wait_ms`
    at most if there are none.
    """
    return f"/follow?prefix={quote(prefix, safe='')}&from={after}&waitMs={wait_ms}"


def parse_item(body: bytes) -> Item:
    """Parse the response to the read of one key."""
    obj = load_unbounded_object(body)
    lease = obj.get("tether")
    return Item(
        require_text(obj, "path"),
        obj.get("v"),
        Revision(require_integer(obj, "stamp", 1)),
        LeaseId(lease) if isinstance(lease, int) and not isinstance(lease, bool) else None,
    )


class RangePage(NamedTuple):
    """One page of a range of keys."""

    items: list[Item]
    has_more: bool  # whether another page follows
    revision: Revision  # revision of the store when the page was read


def parse_range(body: bytes) -> RangePage:
    """Parse the response to the read of a page of keys."""
    obj = load_unbounded_object(body)
    items = [
        Item(require_text(pair, "path"), pair.get("v"), Revision(require_integer(pair, "stamp", 1)))
        for pair in require_objects(obj, "pairs")
    ]
    revision = Revision(require_integer(obj, "ledgerRev"))
    return RangePage(items, obj.get("more") is True, revision)


def parse_revision(body: bytes) -> Revision:
    """Parse the response to an applied transaction: the revision that it created."""
    return Revision(require_integer(load_unbounded_object(body), "ledgerRev"))


def parse_failed_conditions(body: bytes) -> tuple[str, ...]:
    """Parse the response to a rejected transaction: the keys whose conditions did not hold."""
    return require_texts(load_unbounded_object(body), "failed")


def parse_lease(body: bytes) -> LeaseId:
    """Parse the response to a request for a lease: the id of the new lease."""
    return LeaseId(require_integer(load_unbounded_object(body), "tether"))


class WatchResult(NamedTuple):
    """The response to a watch: the keys that have changed since the watched revision."""

    revision: Revision  # the next watch starts from it
    events: list[KeyChange]  # the newest change of each key, in the order of the changes


def parse_watch(body: bytes) -> WatchResult:
    """Parse the response to a watch.

    The service may list the changes in any order: only their revisions tell which one is newer.
    """
    obj = load_unbounded_object(body)
    events = _newest_changes(_parse_change(event) for event in require_objects(obj, "log"))
    return WatchResult(Revision(require_integer(obj, "ledgerRev")), events)


def _parse_change(event: dict[str, Any]) -> KeyChange:
    version = Revision(require_integer(event, "stamp", 1))
    if "put" in event:
        return Item(require_text(event, "put"), event.get("v"), version)
    if "delete" in event:
        return DeletedKey(require_text(event, "delete"), version)
    raise MalformedMessageError("log: entry without 'put' or 'delete'")


def _newest_changes(changes: Iterable[KeyChange]) -> list[KeyChange]:
    """Return the newest change of each key, the oldest of them first."""
    newest: dict[str, KeyChange] = {}
    for change in changes:
        known = newest.get(change.key)
        if known is None or change.version >= known.version:
            newest[change.key] = change
    return sorted(newest.values(), key=lambda change: change.version)
