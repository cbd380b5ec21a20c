"""`submit`, `status` and `cancel`: the user's side, retrying as the protocol says."""

import argparse
import contextlib
import http.client
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from eldercart.wire import Malformed
from eldercart.wire.checks import load_answer
from eldercart.wire.users import parse_submission, valid_job_id

EXIT_OK, EXIT_REFUSED, EXIT_USAGE, EXIT_UNREACHABLE = 0, 1, 2, 3

TAKEN = (200, 201)
REFUSED = (400, 404, 405, 409, 422)  # not retried
NO_ANSWER = 0
TIMEOUT_S = 5.0  # of one try
LEAST_PAUSE_S, MOST_PAUSE_S = 1.0, 30.0


class BadUsage(Exception):
    """What the user got wrong, before anything is sent."""


@dataclass(frozen=True, slots=True)
class Call:
    """A request about one job."""

    job: str
    method: str
    path: str
    body: bytes | None


@dataclass(frozen=True, slots=True)
class Reply:
    """A node's answer; `status` NO_ANSWER if there was none."""

    status: int
    body: bytes
    retry_after_s: float


def run(args: argparse.Namespace) -> int:
    """Carries out the command; returns the exit status."""
    try:
        call = _submission(args) if args.command == "submit" else _question(args)
    except BadUsage as err:
        print(f"eldercart: {err}", file=sys.stderr)
        return EXIT_USAGE
    reply = send_until_answered(args.server, call, args.timeout)
    return _show(args.json, call.job, reply)


def _submission(args: argparse.Namespace) -> Call:
    body = _read(args.file)
    try:
        if args.awaits:
            body = _with_awaits(body, args.awaits)
        spec = parse_submission(load_answer(body))
    except Malformed as err:
        raise BadUsage(f"the job is malformed: {err}") from None
    return Call(spec.id, "POST", "/work", body)


def _read(file: str) -> bytes:
    try:
        return sys.stdin.buffer.read() if file == "-" else Path(file).read_bytes()
    except OSError as err:
        raise BadUsage(f"{file}: {err.strerror}") from None


def _question(args: argparse.Namespace) -> Call:
    job: str = args.job
    if not valid_job_id(job):
        raise BadUsage(f"not a job id: {job}")
    if args.command == "cancel":
        return Call(job, "POST", f"/work/{job}/cancel", b"{}")
    return Call(job, "GET", f"/work/{job}", None)


def send_until_answered(server: str, call: Call, limit_s: float) -> Reply:
    """Tries until an answer is final or the time is over."""
    end = time.monotonic() + limit_s
    while True:
        reply = _send(server, call)
        pause = max(LEAST_PAUSE_S, min(MOST_PAUSE_S, reply.retry_after_s))
        if reply.status in TAKEN + REFUSED or time.monotonic() + pause > end:
            return reply
        time.sleep(pause)


def _send(server: str, call: Call) -> Reply:
    headers = {"Content-Type": "application/json"}
    try:
        connection = http.client.HTTPConnection(server, timeout=TIMEOUT_S)
        with contextlib.closing(connection):
            connection.request(call.method, call.path, call.body, headers)
            response = connection.getresponse()
            body = response.read()
            return Reply(response.status, body, _retry_after(response))
    except (OSError, http.client.HTTPException, ValueError) as err:
        print(f"eldercart: {server}: {err}", file=sys.stderr)
        return Reply(NO_ANSWER, b"", 0.0)


def _retry_after(response: http.client.HTTPResponse) -> float:
    """In seconds; a date, which no node sends, counts as none."""
    try:
        return float(response.headers.get("Retry-After") or 0)
    except ValueError:
        return 0.0


def _with_awaits(raw: bytes, jobs: list[str]) -> bytes:
    submission = load_answer(raw)
    named = submission.get("awaits")
    if named is not None and not isinstance(named, list):
        raise Malformed("awaits")
    return orjson.dumps({**submission, "awaits": [*(named or []), *jobs]})


def _reason(answer: dict[str, Any]) -> str:
    """Why it waits, if the answer tells: jobs, or a text."""
    for field in ("awaits", "waiting"):
        why = answer.get(field)
        if isinstance(why, list) and why:
            return ", waits for " + " ".join(str(job) for job in why)
        if isinstance(why, str) and why:
            return f", waits: {why}"
    return ""


def _show(as_json: bool, job: str, reply: Reply) -> int:
    answer: dict[str, Any] = {}
    with contextlib.suppress(Malformed):
        answer = load_answer(reply.body) if reply.body else {}
    if as_json:
        print(orjson.dumps({"status": reply.status, **answer}).decode())
    elif reply.status in TAKEN:
        print(_summary(job, answer))
    else:
        error = answer.get("error") or "no answer"
        print(f"{job}: {error} ({reply.status})", file=sys.stderr)
    if reply.status in TAKEN:
        return EXIT_OK
    return EXIT_REFUSED if reply.status in REFUSED else EXIT_UNREACHABLE


def _summary(job: str, answer: dict[str, Any]) -> str:
    text = f"{job}: {answer.get('standing')}"
    if "done" in answer:
        text += f", {answer['done']} done, {answer.get('running')} running"
    return text + _reason(answer)
