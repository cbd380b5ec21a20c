"""`duties list|show|hand-over|pause|resume`: the operator's side."""

import argparse
import sys
from datetime import datetime
from typing import Any

import orjson

from eldercart.cli.client import (
    EXIT_OK,
    EXIT_REFUSED,
    EXIT_UNREACHABLE,
    NO_ANSWER,
    Call,
    Reply,
    send_until_answered,
)
from eldercart.wire import Malformed
from eldercart.wire.checks import load_answer
from eldercart.wire.named_leases import hand_over_request, pause_request

TAKEN = 200
NOT_THERE = "no such path"  # what a node without duties says


def run(args: argparse.Namespace) -> int:
    """Carries out the command; returns the exit status."""
    call = _call(args)
    reply = send_until_answered(args.server, call, args.timeout)
    answer = _answer(reply)
    if reply.status != TAKEN:
        print(f"eldercart: {_complaint(args, reply, answer)}", file=sys.stderr)
        waits = reply.status in (NO_ANSWER, 429) or reply.status >= 500
        return EXIT_UNREACHABLE if waits else EXIT_REFUSED
    if args.json:
        print(orjson.dumps(answer).decode())
    else:
        print("\n".join(_lines(args, answer)))
    return EXIT_OK


def _call(args: argparse.Namespace) -> Call:
    match args.duties_command:
        case "list":
            return Call("duties", "GET", "/duties", None)
        case "show":
            return Call(args.duty, "GET", f"/duties/{args.duty}", None)
        case "hand-over":
            return Call(
                args.duty, "POST", f"/duties/{args.duty}/hand-over", hand_over_request(args.to)
            )
        case "pause":
            return Call(args.duty, "POST", f"/duties/{args.duty}/pause", pause_request(args.reason))
        case _:
            return Call(args.duty, "POST", f"/duties/{args.duty}/resume", b"{}")


def _answer(reply: Reply) -> dict[str, Any]:
    try:
        return load_answer(reply.body) if reply.body else {}
    except Malformed:
        return {}


def _complaint(args: argparse.Namespace, reply: Reply, answer: dict[str, Any]) -> str:
    if reply.status == NO_ANSWER:
        return f"{args.server}: no answer"
    error = answer.get("error")
    if error == NOT_THERE:
        error = f"{args.server} runs without duties: they are off there, or its version is older"
    return f"{error or 'no reason given'} ({reply.status})"


def _lines(args: argparse.Namespace, answer: dict[str, Any]) -> list[str]:
    match args.duties_command:
        case "list":
            return [_row(report) for report in answer.get("duties", [])]
        case "show":
            return _details(answer)
        case "hand-over":
            return [f"{args.duty}: is being handed over to {args.to}"]
        case "pause":
            return [f"{args.duty}: paused"]
        case _:
            return [f"{args.duty}: resumed"]


def _row(report: dict[str, Any]) -> str:
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


def _details(report: dict[str, Any]) -> list[str]:
    lines = [_row(report), f"  held by: {_AFFINITIES.get(str(report.get('affinity')), '?')}"]
    if "paused" in report:
        paused = report["paused"]
        lines.append(f"  paused since {_time(paused['since'])}: {paused['reason'] or '-'}")
    window = report.get("window")
    if window is not None:
        lines.append(f"  maintenance window: {_window(window)}")
    elif "window" in report:
        lines.append("  maintenance window: always open")
    return lines


_AFFINITIES = {"leader": "the leader", "any": "any node"}


def _window(window: dict[str, Any]) -> str:
    if window["opens"] is None:
        return "none within a year"
    span = f"{_time(window['opens'])} to {_time(window['closes'])}"
    return f"open, {span}" if window["open"] else f"next {span}"


def _time(at: float) -> str:
    return datetime.fromtimestamp(at).astimezone().isoformat(timespec="minutes")
