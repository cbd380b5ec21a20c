"""Operators' requests about duties, answered by any node from a fresh read of the state service."""

import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import orjson

from eldercart.server.http.replies import RETRY_S, refuse, refuse_for_now
from eldercart.server.http.server import JsonRequest
from eldercart.server.store.client import FOR_POLLS
from eldercart.singleton.lease_directory import DutyBoard, DutyEntry
from eldercart.singleton.status_report import Surroundings, duty_report
from eldercart.units import ABSENT, NodeId, Revision, WallTime
from eldercart.wire import Malformed
from eldercart.wire.named_leases import (
    DUTIES,
    INTENTS,
    DutyName,
    HandOverRecord,
    Intent,
    PauseRecord,
    hand_over_key,
    hand_over_value,
    holder_key,
    intents_of,
    parse_duty,
    parse_hand_over_request,
    parse_intents,
    parse_pause_request,
    pause_key,
    pause_value,
)
from eldercart.wire.state import Drop, Item, Put, Txn

if TYPE_CHECKING:
    from eldercart.server.singleton.lease_service import DutyService

FIRST_PART = b"duties"  # of the path of all these requests
READS = 2  # of the state service, for an answer
NO_SUCH_DUTY = "no such duty"

GotBoard = Callable[[DutyBoard], None]


class DutyRequests:
    """Routes the requests; each is answered once the state service has, and at once without it."""

    def __init__(self, duties: "DutyService") -> None:
        """Uses the node's part in the duties."""
        self._duties = duties
        self._node = duties.node
        self._commands: dict[str, Callable[[JsonRequest, DutyName], None]] = {
            "hand-over": self._hand_over,
            "pause": self._pause,
            "resume": self._resume,
        }

    def route(self, request: JsonRequest) -> None:
        """Hands the request to what serves its path and method."""
        parts = request.path.decode("latin-1").split("/")[2:]
        if len(parts) > 2:
            refuse(request, 404, "no such path")
        elif not parts:
            self._with_method(request, b"GET", self._list)
        else:
            self._route_duty(request, parts[0], parts[1] if len(parts) > 1 else None)

    def _route_duty(self, request: JsonRequest, name: str, command_name: str | None) -> None:
        duty = parse_duty(name)
        command = self._commands.get(command_name or "")
        if duty is None:
            refuse(request, 404, NO_SUCH_DUTY)
        elif command_name is None:
            self._with_method(request, b"GET", lambda r: self._show(r, duty))
        elif command is not None:
            self._with_method(request, b"POST", lambda r: command(r, duty))
        else:
            refuse(request, 404, "no such command")

    def _with_method(
        self, request: JsonRequest, method: bytes, serve: Callable[[JsonRequest], None]
    ) -> None:
        if request.method != method:
            refuse(request, 405, "method")
        elif not self._store_answers():
            refuse_for_now(request, "the state service does not answer this node")
        else:
            serve(request)

    def _store_answers(self) -> bool:
        """Whether it is worth asking: nobody waits for a time-out."""
        store = self._node.store
        tokens = store.requests.available(self._node.clock(), FOR_POLLS)
        return store.failing_since is None and tokens >= READS

    # -- questions

    def _list(self, request: JsonRequest) -> None:
        self._read(request, lambda board, items: self._tell_all(request, board, items))

    def _show(self, request: JsonRequest, duty: DutyName) -> None:
        def tell(board: DutyBoard, items: list[Item]) -> None:
            body = duty_report(duty, board.entry(duty), _open(items, duty), self._surroundings())
            request.reply(200, orjson.dumps(body))

        self._read(request, tell)

    def _tell_all(self, request: JsonRequest, board: DutyBoard, items: list[Item]) -> None:
        around = self._surroundings()
        reports = [
            duty_report(duty, board.entry(duty), _open(items, duty), around) for duty in DutyName
        ]
        request.reply(200, orjson.dumps({"node": self._node.settings.label, "duties": reports}))

    def _surroundings(self) -> Surroundings:
        duties, wall = self._duties, WallTime(time.time())
        calendar = duties.calendar
        return Surroundings(
            wall=wall,
            on=frozenset(duties.features.on),
            missing={duty: duties.missing(duty) for duty in duties.features.on},
            leader=self._node.election.leader,
            window=None if calendar is None else calendar.next_window(wall),
            has_calendar=calendar is not None,
        )

    def _read(self, request: JsonRequest, tell: Callable[[DutyBoard, list[Item]], None]) -> None:
        def got_board(board: DutyBoard) -> None:
            def got_intents(items: list[Item] | None, revision: Revision) -> None:
                if items is None:
                    self._no_answer(request)
                else:
                    tell(board, items)

            self._node.store.range(INTENTS, got_intents)

        self._read_board(request, got_board)

    def _read_board(self, request: JsonRequest, tell: GotBoard) -> None:
        def got(items: list[Item] | None, revision: Revision) -> None:
            if items is None:
                self._no_answer(request)
                return
            board = DutyBoard()
            board.read(items, revision)
            tell(board)

        self._node.store.range(DUTIES, got)

    def _no_answer(self, request: JsonRequest) -> None:
        refuse_for_now(request, "the state service does not answer this node")

    # -- commands

    def _hand_over(self, request: JsonRequest, duty: DutyName) -> None:
        try:
            to = parse_hand_over_request(request.body())
        except Malformed as err:
            refuse(request, 400, f"malformed: {err}")
            return
        settings = self._node.settings
        if to not in (settings.label, *(member.label for member in settings.members)):
            refuse(request, 422, f"no such node: {to}")
            return

        def decide(board: DutyBoard) -> None:
            entry = board.entry(duty)
            conflict = self._hand_over_conflict(duty, entry, to)
            if conflict is not None:
                refuse(request, 409, conflict)
                return
            record = HandOverRecord(to, self._wall())
            txn = Txn(
                {
                    hand_over_key(duty): entry.hand_over_version,
                    pause_key(duty): ABSENT,
                    holder_key(duty): Revision(entry.token),
                },
                [Put(hand_over_key(duty), hand_over_value(record))],
            )
            self._write(request, txn, {"duty": duty.value, "hand_over": {"to": to}})

        self._read_board(request, decide)

    def _hand_over_conflict(self, duty: DutyName, entry: DutyEntry, to: NodeId) -> str | None:
        if entry.paused:
            return f"{duty} is paused"
        if entry.hand_over is not None:
            return f"{duty} is being handed over to {entry.hand_over.to}"
        if not entry.held:
            return f"{duty} is held by nobody"
        if entry.holder is not None and entry.holder.node == to:
            return f"{duty} is held by {to} already"
        if to in self._duties.missing(duty):
            return f"{to} does not take part in {duty}, or has not been heard"
        return None

    def _pause(self, request: JsonRequest, duty: DutyName) -> None:
        try:
            reason = parse_pause_request(request.body())
        except Malformed as err:
            refuse(request, 400, f"malformed: {err}")
            return

        def decide(board: DutyBoard) -> None:
            entry = board.entry(duty)
            if entry.pause is not None:
                told = entry.pause.reason or "no reason given"
                refuse(request, 409, f"{duty} is paused already: {told}")
                return
            if entry.hand_over is not None:
                to = entry.hand_over.to
                refuse(request, 409, f"{duty} is being handed over to {to}")
                return
            txn = Txn(
                {pause_key(duty): entry.pause_version, hand_over_key(duty): ABSENT},
                [Put(pause_key(duty), pause_value(PauseRecord(self._wall(), reason)))],
            )
            self._write(request, txn, {"duty": duty.value, "paused": True})

        self._read_board(request, decide)

    def _resume(self, request: JsonRequest, duty: DutyName) -> None:
        def decide(board: DutyBoard) -> None:
            entry = board.entry(duty)
            if not entry.paused:
                refuse(request, 409, f"{duty} is not paused")
                return
            txn = Txn({pause_key(duty): entry.pause_version}, [Drop(pause_key(duty))])
            self._write(request, txn, {"duty": duty.value, "paused": False})

        self._read_board(request, decide)

    def _write(self, request: JsonRequest, txn: Txn, told: dict[str, Any]) -> None:
        store = self._node.store
        now = self._node.clock()
        if store.writes.available(now, FOR_POLLS) < 1:
            refuse_for_now(request, "too many changes at the state service")
            return
        store.requests.force(now)
        store.writes.force(now)

        def done(status: int | None, revision: Revision, failed: tuple[str, ...]) -> None:
            if status == 200:
                request.reply(200, orjson.dumps(told))
            elif status == 409:
                request.reply(
                    409, orjson.dumps({"error": "another command came first: ask again"}), RETRY_S
                )
            else:
                # It may have been carried out: the same command then tells what is in force.
                self._no_answer(request)

        store.txn(txn, done)

    def _wall(self) -> WallTime:
        return WallTime(round(time.time(), 1))


def _open(items: list[Item], duty: DutyName) -> list[Intent] | None:
    """The open intents of a duty; None: its record can't be read."""
    item = intents_of(items, duty)
    if item is None:
        return []
    try:
        return parse_intents(duty, item.value)
    except Malformed:
        return None
