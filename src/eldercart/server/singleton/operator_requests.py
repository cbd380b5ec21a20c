"""Serves operators' HTTP requests about named leases. Any node can answer them, because each answer
is based on a new read of the state service."""

import time
from collections.abc import Callable
from typing import Any

import orjson

from eldercart.server.http.replies import RETRY_AFTER_S, reject, reject_temporarily
from eldercart.server.http.server import JsonRequest
from eldercart.server.store.client import RESERVE_POLLS, StoreClient
from eldercart.settings.platform import NodeSettings
from eldercart.singleton import operator_commands
from eldercart.singleton.lease_directory import LeaseDirectory, LeaseEntry
from eldercart.singleton.operator_commands import CommandConflictError
from eldercart.singleton.status_report import StatusContext, lease_status
from eldercart.units import MonotonicTime, NodeId, Revision, WallTime
from eldercart.wire import MalformedMessageError
from eldercart.wire.named_leases import (
    INTENT_PREFIX,
    LEASE_PREFIX,
    HandOverRecord,
    Intent,
    LeaseName,
    PauseRecord,
    find_intents_item,
    parse_hand_over_request,
    parse_intents,
    parse_lease_name,
    parse_pause_request,
)
from eldercart.wire.state import Item, Transaction

PATH_PREFIX = b"duties"  # the first segment of the path of these requests
READS_PER_ANSWER = 2  # range reads of the state service for one status request
UNKNOWN_LEASE = "no such duty"

DirectoryCallback = Callable[[LeaseDirectory], None]
StatusCallback = Callable[[LeaseDirectory, list[Item]], None]


class OperatorRequests:
    """Routes and answers the requests.

    A request is answered after the state service has answered, and is rejected at once while the
    state service is unavailable.
    """

    def __init__(
        self,
        store: StoreClient,
        clock: Callable[[], MonotonicTime],
        settings: NodeSettings,
        status_context: Callable[[], StatusContext],
        nodes_without_support: Callable[[LeaseName], list[NodeId]],
    ) -> None:
        """`status_context` returns what this node knows that is not in the stored keys;
        `nodes_without_support` returns the nodes that have not announced support for a lease."""
        self._store = store
        self._clock = clock
        self._settings = settings
        self._status_context = status_context
        self._nodes_without_support = nodes_without_support
        self._commands: dict[str, Callable[[JsonRequest, LeaseName], None]] = {
            "hand-over": self._hand_over,
            "pause": self._pause,
            "resume": self._resume,
        }

    def route(self, request: JsonRequest) -> None:
        """Pass the request to the handler for its path and method."""
        segments = request.path.decode("latin-1").split("/")[2:]
        if len(segments) > 2:
            reject(request, 404, "no such path")
        elif not segments:
            self._serve_method(request, b"GET", self._list)
        else:
            self._route_lease(request, segments[0], segments[1] if len(segments) > 1 else None)

    def _route_lease(self, request: JsonRequest, name: str, command_name: str | None) -> None:
        lease_name = parse_lease_name(name)
        command = self._commands.get(command_name or "")
        if lease_name is None:
            reject(request, 404, UNKNOWN_LEASE)
        elif command_name is None:
            self._serve_method(request, b"GET", lambda request: self._show(request, lease_name))
        elif command is not None:
            self._serve_method(request, b"POST", lambda request: command(request, lease_name))
        else:
            reject(request, 404, "no such command")

    def _serve_method(
        self, request: JsonRequest, method: bytes, serve: Callable[[JsonRequest], None]
    ) -> None:
        if request.method != method:
            reject(request, 405, "method")
        elif not self._is_store_available():
            self._reject_unavailable(request)
        else:
            serve(request)

    def _is_store_available(self) -> bool:
        """Return whether to read the state service: no operator should wait for a timeout."""
        tokens = self._store.requests.available(self._clock(), RESERVE_POLLS)
        return self._store.failing_since is None and tokens >= READS_PER_ANSWER

    # -- queries

    def _list(self, request: JsonRequest) -> None:
        def reply(directory: LeaseDirectory, items: list[Item]) -> None:
            context = self._status_context()
            reports = [_status(lease_name, directory, items, context) for lease_name in LeaseName]
            body = {"node": self._settings.label, "duties": reports}
            request.reply(200, orjson.dumps(body))

        self._read_status(request, reply)

    def _show(self, request: JsonRequest, lease_name: LeaseName) -> None:
        def reply(directory: LeaseDirectory, items: list[Item]) -> None:
            body = _status(lease_name, directory, items, self._status_context())
            request.reply(200, orjson.dumps(body))

        self._read_status(request, reply)

    def _read_status(self, request: JsonRequest, reply: StatusCallback) -> None:
        """Read the directory and the intent records, then call `reply` with both."""

        def on_directory(directory: LeaseDirectory) -> None:
            def on_intents(items: list[Item] | None, revision: Revision) -> None:
                if items is None:
                    self._reject_unavailable(request)
                else:
                    reply(directory, items)

            self._store.range(INTENT_PREFIX, on_intents)

        self._read_directory(request, on_directory)

    def _read_directory(self, request: JsonRequest, done: DirectoryCallback) -> None:
        def on_items(items: list[Item] | None, revision: Revision) -> None:
            if items is None:
                self._reject_unavailable(request)
                return
            directory = LeaseDirectory()
            directory.apply_read(items, revision)
            done(directory)

        self._store.range(LEASE_PREFIX, on_items)

    def _reject_unavailable(self, request: JsonRequest) -> None:
        reject_temporarily(request, "the state service does not answer this node")

    # -- commands

    def _hand_over(self, request: JsonRequest, lease_name: LeaseName) -> None:
        try:
            receiver = parse_hand_over_request(request.body())
        except MalformedMessageError as err:
            reject(request, 400, f"malformed: {err}")
            return
        members = (member.label for member in self._settings.members)
        if receiver not in (self._settings.label, *members):
            reject(request, 422, f"no such node: {receiver}")
            return

        def build_transaction(entry: LeaseEntry) -> Transaction:
            record = HandOverRecord(receiver, _wall_time())
            nodes = self._nodes_without_support(lease_name)
            return operator_commands.hand_over(lease_name, entry, record, nodes)

        answer = {"duty": lease_name.value, "hand_over": {"to": receiver}}
        self._execute(request, lease_name, build_transaction, answer)

    def _pause(self, request: JsonRequest, lease_name: LeaseName) -> None:
        try:
            reason = parse_pause_request(request.body())
        except MalformedMessageError as err:
            reject(request, 400, f"malformed: {err}")
            return

        def build_transaction(entry: LeaseEntry) -> Transaction:
            return operator_commands.pause(lease_name, entry, PauseRecord(_wall_time(), reason))

        answer = {"duty": lease_name.value, "paused": True}
        self._execute(request, lease_name, build_transaction, answer)

    def _resume(self, request: JsonRequest, lease_name: LeaseName) -> None:
        def build_transaction(entry: LeaseEntry) -> Transaction:
            return operator_commands.resume(lease_name, entry)

        answer = {"duty": lease_name.value, "paused": False}
        self._execute(request, lease_name, build_transaction, answer)

    def _execute(
        self,
        request: JsonRequest,
        lease_name: LeaseName,
        build_transaction: Callable[[LeaseEntry], Transaction],
        answer: dict[str, Any],
    ) -> None:
        """Read the lease's entry, commit the transaction built from it, and answer the request."""

        def on_directory(directory: LeaseDirectory) -> None:
            try:
                transaction = build_transaction(directory.entry(lease_name))
            except CommandConflictError as conflict:
                reject(request, 409, str(conflict))
                return
            self._commit(request, transaction, answer)

        self._read_directory(request, on_directory)

    def _commit(
        self, request: JsonRequest, transaction: Transaction, answer: dict[str, Any]
    ) -> None:
        now = self._clock()
        if self._store.writes.available(now, RESERVE_POLLS) < 1:
            reject_temporarily(request, "too many changes at the state service")
            return
        self._store.requests.force_take(now)
        self._store.writes.force_take(now)

        def done(status: int | None, revision: Revision, failed: tuple[str, ...]) -> None:
            if status == 200:
                request.reply(200, orjson.dumps(answer))
            elif status == 409:
                body = {"error": "another command came first: ask again"}
                request.reply(409, orjson.dumps(body), RETRY_AFTER_S)
            else:
                # The command may have been applied; if so, repeating it reports a conflict.
                self._reject_unavailable(request)

        self._store.commit(transaction, done)


def _wall_time() -> WallTime:
    return WallTime(round(time.time(), 1))


def _status(
    lease_name: LeaseName, directory: LeaseDirectory, items: list[Item], context: StatusContext
) -> dict[str, Any]:
    intents = _open_intents(items, lease_name)
    return lease_status(lease_name, directory.entry(lease_name), intents, context)


def _open_intents(items: list[Item], lease_name: LeaseName) -> list[Intent] | None:
    """Return the open intents of a lease, or None if their record can't be read."""
    item = find_intents_item(items, lease_name)
    if item is None:
        return []
    try:
        return parse_intents(lease_name, item.value)
    except MalformedMessageError:
        return None
