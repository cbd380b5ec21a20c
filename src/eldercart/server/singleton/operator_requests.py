"""Operators' requests about duties, answered by any node from a fresh read of the state service."""

import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import orjson

from eldercart.server.http.replies import RETRY_AFTER_S, reject, reject_temporarily
from eldercart.server.http.server import JsonRequest
from eldercart.server.store.client import RESERVE_POLLS
from eldercart.singleton.lease_directory import LeaseDirectory, LeaseEntry
from eldercart.singleton.status_report import StatusContext, lease_status
from eldercart.units import ABSENT_REVISION, NodeId, Revision, WallTime
from eldercart.wire import MalformedMessage
from eldercart.wire.named_leases import (
    INTENT_PREFIX,
    LEASE_PREFIX,
    HandOverRecord,
    Intent,
    LeaseName,
    PauseRecord,
    find_intents_item,
    hand_over_key,
    hand_over_value,
    holder_key,
    parse_hand_over_request,
    parse_intents,
    parse_lease_name,
    parse_pause_request,
    pause_key,
    pause_value,
)
from eldercart.wire.state import DeleteKey, Item, Put, Transaction

if TYPE_CHECKING:
    from eldercart.server.singleton.lease_service import SingletonService

PATH_PREFIX = b"duties"  # of the path of all these requests
READS_PER_ANSWER = 2  # of the state service, for an answer
UNKNOWN_LEASE = "no such duty"

DirectoryCallback = Callable[[LeaseDirectory], None]


class OperatorRequests:
    """Routes the requests; each is answered once the state service has, and at once without it."""

    def __init__(self, duties: "SingletonService") -> None:
        """Uses the node's part in the duties."""
        self._singleton_service = duties
        self._node = duties.node
        self._commands: dict[str, Callable[[JsonRequest, LeaseName], None]] = {
            "hand-over": self._hand_over,
            "pause": self._pause,
            "resume": self._resume,
        }

    def route(self, request: JsonRequest) -> None:
        """Hands the request to what serves its path and method."""
        parts = request.path.decode("latin-1").split("/")[2:]
        if len(parts) > 2:
            reject(request, 404, "no such path")
        elif not parts:
            self._serve_method(request, b"GET", self._list)
        else:
            self._route_lease(request, parts[0], parts[1] if len(parts) > 1 else None)

    def _route_lease(self, request: JsonRequest, name: str, command_name: str | None) -> None:
        duty = parse_lease_name(name)
        command = self._commands.get(command_name or "")
        if duty is None:
            reject(request, 404, UNKNOWN_LEASE)
        elif command_name is None:
            self._serve_method(request, b"GET", lambda r: self._show(r, duty))
        elif command is not None:
            self._serve_method(request, b"POST", lambda r: command(r, duty))
        else:
            reject(request, 404, "no such command")

    def _serve_method(
        self, request: JsonRequest, method: bytes, serve: Callable[[JsonRequest], None]
    ) -> None:
        if request.method != method:
            reject(request, 405, "method")
        elif not self._is_store_available():
            reject_temporarily(request, "the state service does not answer this node")
        else:
            serve(request)

    def _is_store_available(self) -> bool:
        """Whether it is worth asking: nobody waits for a time-out."""
        store = self._node.store
        tokens = store.requests.available(self._node.clock(), RESERVE_POLLS)
        return store.failing_since is None and tokens >= READS_PER_ANSWER

    # -- questions

    def _list(self, request: JsonRequest) -> None:
        self._read(request, lambda board, items: self._reply_with_list(request, board, items))

    def _show(self, request: JsonRequest, duty: LeaseName) -> None:
        def tell(board: LeaseDirectory, items: list[Item]) -> None:
            body = lease_status(
                duty, board.entry(duty), _open_intents(items, duty), self._status_context()
            )
            request.reply(200, orjson.dumps(body))

        self._read(request, tell)

    def _reply_with_list(
        self, request: JsonRequest, board: LeaseDirectory, items: list[Item]
    ) -> None:
        around = self._status_context()
        reports = [
            lease_status(duty, board.entry(duty), _open_intents(items, duty), around)
            for duty in LeaseName
        ]
        request.reply(200, orjson.dumps({"node": self._node.settings.label, "duties": reports}))

    def _status_context(self) -> StatusContext:
        duties, wall = self._singleton_service, WallTime(time.time())
        calendar = duties.calendar
        return StatusContext(
            wall_time=wall,
            enabled_leases=frozenset(duties.features.on),
            nodes_without_support={
                duty: duties.nodes_without_support(duty) for duty in duties.features.on
            },
            leader=self._node.election.leader,
            window=None if calendar is None else calendar.next_window(wall),
            has_calendar=calendar is not None,
        )

    def _read(
        self, request: JsonRequest, tell: Callable[[LeaseDirectory, list[Item]], None]
    ) -> None:
        def got_board(board: LeaseDirectory) -> None:
            def got_intents(items: list[Item] | None, revision: Revision) -> None:
                if items is None:
                    self._refuse_unavailable(request)
                else:
                    tell(board, items)

            self._node.store.range(INTENT_PREFIX, got_intents)

        self._read_directory(request, got_board)

    def _read_directory(self, request: JsonRequest, tell: DirectoryCallback) -> None:
        def got(items: list[Item] | None, revision: Revision) -> None:
            if items is None:
                self._refuse_unavailable(request)
                return
            board = LeaseDirectory()
            board.apply_read(items, revision)
            tell(board)

        self._node.store.range(LEASE_PREFIX, got)

    def _refuse_unavailable(self, request: JsonRequest) -> None:
        reject_temporarily(request, "the state service does not answer this node")

    # -- commands

    def _hand_over(self, request: JsonRequest, duty: LeaseName) -> None:
        try:
            to = parse_hand_over_request(request.body())
        except MalformedMessage as err:
            reject(request, 400, f"malformed: {err}")
            return
        settings = self._node.settings
        if to not in (settings.label, *(member.label for member in settings.members)):
            reject(request, 422, f"no such node: {to}")
            return

        def decide(board: LeaseDirectory) -> None:
            entry = board.entry(duty)
            conflict = self._hand_over_conflict(duty, entry, to)
            if conflict is not None:
                reject(request, 409, conflict)
                return
            record = HandOverRecord(to, self._wall_time())
            txn = Transaction(
                {
                    hand_over_key(duty): entry.hand_over_version,
                    pause_key(duty): ABSENT_REVISION,
                    holder_key(duty): Revision(entry.token),
                },
                [Put(hand_over_key(duty), hand_over_value(record))],
            )
            self._write(request, txn, {"duty": duty.value, "hand_over": {"to": to}})

        self._read_directory(request, decide)

    def _hand_over_conflict(self, duty: LeaseName, entry: LeaseEntry, to: NodeId) -> str | None:
        if entry.is_paused:
            return f"{duty} is paused"
        if entry.hand_over is not None:
            return f"{duty} is being handed over to {entry.hand_over.receiver}"
        if not entry.is_held:
            return f"{duty} is held by nobody"
        if entry.holder is not None and entry.holder.node == to:
            return f"{duty} is held by {to} already"
        if to in self._singleton_service.nodes_without_support(duty):
            return f"{to} does not take part in {duty}, or has not been heard"
        return None

    def _pause(self, request: JsonRequest, duty: LeaseName) -> None:
        try:
            reason = parse_pause_request(request.body())
        except MalformedMessage as err:
            reject(request, 400, f"malformed: {err}")
            return

        def decide(board: LeaseDirectory) -> None:
            entry = board.entry(duty)
            if entry.pause is not None:
                told = entry.pause.reason or "no reason given"
                reject(request, 409, f"{duty} is paused already: {told}")
                return
            if entry.hand_over is not None:
                to = entry.hand_over.receiver
                reject(request, 409, f"{duty} is being handed over to {to}")
                return
            txn = Transaction(
                {pause_key(duty): entry.pause_version, hand_over_key(duty): ABSENT_REVISION},
                [Put(pause_key(duty), pause_value(PauseRecord(self._wall_time(), reason)))],
            )
            self._write(request, txn, {"duty": duty.value, "paused": True})

        self._read_directory(request, decide)

    def _resume(self, request: JsonRequest, duty: LeaseName) -> None:
        def decide(board: LeaseDirectory) -> None:
            entry = board.entry(duty)
            if not entry.is_paused:
                reject(request, 409, f"{duty} is not paused")
                return
            txn = Transaction({pause_key(duty): entry.pause_version}, [DeleteKey(pause_key(duty))])
            self._write(request, txn, {"duty": duty.value, "paused": False})

        self._read_directory(request, decide)

    def _write(self, request: JsonRequest, txn: Transaction, told: dict[str, Any]) -> None:
        store = self._node.store
        now = self._node.clock()
        if store.writes.available(now, RESERVE_POLLS) < 1:
            reject_temporarily(request, "too many changes at the state service")
            return
        store.requests.force_take(now)
        store.writes.force_take(now)

        def done(status: int | None, revision: Revision, failed: tuple[str, ...]) -> None:
            if status == 200:
                request.reply(200, orjson.dumps(told))
            elif status == 409:
                request.reply(
                    409,
                    orjson.dumps({"error": "another command came first: ask again"}),
                    RETRY_AFTER_S,
                )
            else:
                # It may have been carried out: the same command then tells what is in force.
                self._refuse_unavailable(request)

        store.commit(txn, done)

    def _wall_time(self) -> WallTime:
        return WallTime(round(time.time(), 1))


def _open_intents(items: list[Item], duty: LeaseName) -> list[Intent] | None:
    """The open intents of a duty; None: its record can't be read."""
    item = find_intents_item(items, duty)
    if item is None:
        return []
    try:
        return parse_intents(duty, item.value)
    except MalformedMessage:
        return None
