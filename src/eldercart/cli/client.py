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

from eldercart.wire import MalformedMessage
from eldercart.wire.checks import load_response
from eldercart.wire.users import is_valid_job_id, parse_submission

EXIT_OK, EXIT_REJECTED, EXIT_USAGE, EXIT_UNREACHABLE = 0, 1, 2, 3

ACCEPTED_STATUSES = (200, 201)
REJECTED_STATUSES = (400, 404, 405, 409, 422)  # not retried
NO_RESPONSE = 0
ATTEMPT_TIMEOUT_S = 5.0  # of one try
MIN_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S = 1.0, 30.0


class UsageError(Exception):
    """What the user got wrong, before anything is sent."""


@dataclass(frozen=True, slots=True)
class Request:
    """A request about one job."""

    job: str
    method: str
    path: str
    body: bytes | None


@dataclass(frozen=True, slots=True)
class Response:
    """A node's answer; `status` NO_ANSWER if there was none."""

    status: int
    body: bytes
    retry_after_s: float


def run(args: argparse.Namespace) -> int:
    """Carries out the command; returns the exit status."""
    try:
        call = _submit_request(args) if args.command == "submit" else _job_request(args)
    except UsageError as err:
        print(f"eldercart: {err}", file=sys.stderr)
        return EXIT_USAGE
    reply = send_with_retries(args.server, call, args.timeout)
    return _print_result(args.json, call.job, reply)


def _submit_request(args: argparse.Namespace) -> Request:
    body = _read_file(args.file)
    try:
        if args.awaits:
            body = _with_awaits(body, args.awaits)
        spec = parse_submission(load_response(body))
    except MalformedMessage as err:
        raise UsageError(f"the job is malformed: {err}") from None
    return Request(spec.id, "POST", "/work", body)


def _read_file(file: str) -> bytes:
    try:
        return sys.stdin.buffer.read() if file == "-" else Path(file).read_bytes()
    except OSError as err:
        raise UsageError(f"{file}: {err.strerror}") from None


def _job_request(args: argparse.Namespace) -> Request:
    job: str = args.job
    if not is_valid_job_id(job):
        raise UsageError(f"not a job id: {job}")
    if args.command == "cancel":
        return Request(job, "POST", f"/work/{job}/cancel", b"{}")
    return Request(job, "GET", f"/work/{job}", None)


def send_with_retries(server: str, call: Request, limit_s: float) -> Response:
    """Tries until an answer is final or the time is over."""
    end = time.monotonic() + limit_s
    while True:
        reply = _send(server, call)
        pause = max(MIN_RETRY_PAUSE_S, min(MAX_RETRY_PAUSE_S, reply.retry_after_s))
        if reply.status in ACCEPTED_STATUSES + REJECTED_STATUSES or time.monotonic() + pause > end:
            return reply
        time.sleep(pause)


def _send(server: str, call: Request) -> Response:
    headers = {"Content-Type": "application/json"}
    try:
        connection = http.client.HTTPConnection(server, timeout=ATTEMPT_TIMEOUT_S)
        with contextlib.closing(connection):
            connection.request(call.method, call.path, call.body, headers)
            response = connection.getresponse()
            body = response.read()
            return Response(response.status, body, _retry_after(response))
    except (OSError, http.client.HTTPException, ValueError) as err:
        print(f"eldercart: {server}: {err}", file=sys.stderr)
        return Response(NO_RESPONSE, b"", 0.0)


def _retry_after(response: http.client.HTTPResponse) -> float:
    """In seconds; a date, which no node sends, counts as none."""
    try:
        return float(response.headers.get("Retry-After") or 0)
    except ValueError:
        return 0.0


def _with_awaits(raw: bytes, jobs: list[str]) -> bytes:
    submission = load_response(raw)
    named = submission.get("awaits")
    if named is not None and not isinstance(named, list):
        raise MalformedMessage("awaits")
    return orjson.dumps({**submission, "awaits": [*(named or []), *jobs]})


def _waiting_reason(answer: dict[str, Any]) -> str:
    """Why it waits, if the answer tells: jobs, or a text."""
    for field in ("awaits", "waiting"):
        why = answer.get(field)
        if isinstance(why, list) and why:
            return ", waits for " + " ".join(str(job) for job in why)
        if isinstance(why, str) and why:
            return f", waits: {why}"
    return ""


def _print_result(as_json: bool, job: str, reply: Response) -> int:
    answer: dict[str, Any] = {}
    with contextlib.suppress(MalformedMessage):
        answer = load_response(reply.body) if reply.body else {}
    if as_json:
        print(orjson.dumps({"status": reply.status, **answer}).decode())
    elif reply.status in ACCEPTED_STATUSES:
        print(_summary(job, answer))
    else:
        error = answer.get("error") or "no answer"
        print(f"{job}: {error} ({reply.status})", file=sys.stderr)
    if reply.status in ACCEPTED_STATUSES:
        return EXIT_OK
    return EXIT_REJECTED if reply.status in REJECTED_STATUSES else EXIT_UNREACHABLE


def _summary(job: str, answer: dict[str, Any]) -> str:
    text = f"{job}: {answer.get('standing')}"
    if "done" in answer:
        text += f", {answer['done']} done, {answer.get('running')} running"
    return text + _waiting_reason(answer)
