"""The command `duties list|show|hand-over|pause|resume`, with which operators manage named leases.

A duty is the work that the holder of a named lease does.
"""

import argparse
import sys
from datetime import datetime
from typing import Any

import orjson

from eldercart.cli.client import (
    EXIT_OK,
    EXIT_REJECTED,
    EXIT_UNREACHABLE,
    NO_RESPONSE,
    Request,
    Response,
    send_with_retries,
)
from eldercart.wire import MalformedMessageError
from eldercart.wire.checks import load_unbounded_object
from eldercart.wire.named_leases import encode_hand_over_request, encode_pause_request

ACCEPTED = 200
UNKNOWN_PATH_ERROR = "no such path"  # error text of a node that runs without named leases

Fields = dict[str, Any]  # a decoded JSON object of an answer


def run(args: argparse.Namespace) -> int:
    """Run one `duties` command; return the exit status."""
    response = send_with_retries(args.server, _build_request(args), args.timeout)
    answer = _parse_answer(response)
    if response.status != ACCEPTED:
        print(f"eldercart: {_error_message(args, response, answer)}", file=sys.stderr)
        return _exit_status(response.status)
    if args.json:
        print(orjson.dumps(answer).decode())
    else:
        print("\n".join(_format_lines(args, answer)))
    return EXIT_OK


def _exit_status(status: int) -> int:
    """Return the exit status for an HTTP status other than `ACCEPTED`."""
    may_succeed_later = status in (NO_RESPONSE, 429) or status >= 500
    return EXIT_UNREACHABLE if may_succeed_later else EXIT_REJECTED


def _build_request(args: argparse.Namespace) -> Request:
    command = args.duties_command
    if command == "list":
        return Request("duties", "GET", "/duties", None)
    path = f"/duties/{args.duty}"
    match command:
        case "show":
            return Request(args.duty, "GET", path, None)
        case "hand-over":
            body = encode_hand_over_request(args.to)
        case "pause":
            body = encode_pause_request(args.reason)
        case _:
            body = b"{}"
    return Request(args.duty, "POST", f"{path}/{command}", body)


def _parse_answer(response: Response) -> Fields:
    try:
        return load_unbounded_object(response.body) if response.body else {}
    except MalformedMessageError:
        return {}


def _error_message(args: argparse.Namespace, response: Response, answer: Fields) -> str:
    if response.status == NO_RESPONSE:
        return f"{args.server}: no answer"
    error = answer.get("error")
    if error == UNKNOWN_PATH_ERROR:
        error = f"{args.server} runs without duties: they are off there, or its version is older"
    return f"{error or 'no reason given'} ({response.status})"


def _format_lines(args: argparse.Namespace, answer: Fields) -> list[str]:
    match args.duties_command:
        case "list":
            return [_format_row(report) for report in answer.get("duties", [])]
        case "show":
            return _format_details(answer)
        case "hand-over":
            return [f"{args.duty}: is being handed over to {args.to}"]
        case "pause":
            return [f"{args.duty}: paused"]
        case _:
            return [f"{args.duty}: resumed"]


def _format_row(report: Fields) -> str:
    duty = f"{report.get('duty')!s:<8}"
    if report.get("holder") is None:
        return f"{duty} held by nobody: {report.get('why')}"
    text = f"{duty} {report['holder']} token={report.get('token')}"
    if "held_s" in report:
        text += f" for {report['held_s']:g} s"
    if report.get("intents"):
        text += f", {report['intents']} intents open, the oldest for {report.get('oldest_s')} s"
    if "paused" in report:
        text += ", is being paused"
    if "hand_over" in report:
        text += f", is being handed over to {report['hand_over']['to']}"
    return text


def _format_details(report: Fields) -> list[str]:
    lines = [
        _format_row(report),
        f"  held by: {_AFFINITY_LABELS.get(str(report.get('affinity')), '?')}",
    ]
    if "paused" in report:
        paused = report["paused"]
        lines.append(f"  paused since {_format_time(paused['since'])}: {paused['reason'] or '-'}")
    window = report.get("window")
    if window is not None:
        lines.append(f"  maintenance window: {_format_window(window)}")
    elif "window" in report:
        lines.append("  maintenance window: always open")
    return lines


_AFFINITY_LABELS = {"leader": "the leader", "any": "any node"}


def _format_window(window: Fields) -> str:
    if window["opens"] is None:
        return "none within a year"
    span = f"{_format_time(window['opens'])} to {_format_time(window['closes'])}"
    return f"open, {span}" if window["open"] else f"next {span}"


def _format_time(at: float) -> str:
    return datetime.fromtimestamp(at).astimezone().isoformat(timespec="minutes")
