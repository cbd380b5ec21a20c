"""The commands `submit`, `status` and `cancel`, which retry as the protocol requires."""

import argparse
import contextlib
import http.client
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from eldercart.wire import MalformedMessageError
from eldercart.wire.checks import load_unbounded_object
from eldercart.wire.users import is_valid_job_id, parse_submission

EXIT_OK, EXIT_REJECTED, EXIT_USAGE, EXIT_UNREACHABLE = 0, 1, 2, 3

ACCEPTED_STATUSES = (200, 201)
REJECTED_STATUSES = (400, 404, 405, 409, 422)  # never retried
NO_RESPONSE = 0  # used as the status if there is no response
ATTEMPT_TIMEOUT_S = 5.0
MIN_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S = 1.0, 30.0


class UsageError(Exception):
    """The user's input is invalid; raised before any request is sent."""


@dataclass(frozen=True, slots=True)
class Request:
    """A request to a controller node.

    `subject` is the job's id or, for the `duties` commands, the name of the lease.
    """

    subject: str
    method: str
    path: str
    body: bytes | None


@dataclass(frozen=True, slots=True)
class Response:
    """A node's response; `status` is NO_RESPONSE if the request failed without one."""

    status: int
    body: bytes
    retry_after_s: float


def run(args: argparse.Namespace) -> int:
    """Run `submit`, `status` or `cancel`; return the exit status."""
    try:
        request = _submit_request(args) if args.command == "submit" else _job_request(args)
    except UsageError as err:
        print(f"eldercart: {err}", file=sys.stderr)
        return EXIT_USAGE
    response = send_with_retries(args.server, request, args.timeout)
    return _print_result(request.subject, response, as_json=args.json)


def _submit_request(args: argparse.Namespace) -> Request:
    body = _read_file(args.file)
    try:
        if args.awaits:
            body = _with_awaits(body, args.awaits)
        spec = parse_submission(load_unbounded_object(body))
    except MalformedMessageError as err:
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


def send_with_retries(server: str, request: Request, time_limit_s: float) -> Response:
    """Send the request until a response is final or the time limit would pass.

    Returns the last response.
    """
    deadline_at = time.monotonic() + time_limit_s
    while True:
        response = _send(server, request)
        if response.status in ACCEPTED_STATUSES + REJECTED_STATUSES:
            return response
        pause_s = max(MIN_RETRY_PAUSE_S, min(MAX_RETRY_PAUSE_S, response.retry_after_s))
        if time.monotonic() + pause_s > deadline_at:
            return response
        time.sleep(pause_s)


def _send(server: str, request: Request) -> Response:
    headers = {"Content-Type": "application/json"}
    try:
        connection = http.client.HTTPConnection(server, timeout=ATTEMPT_TIMEOUT_S)
        with contextlib.closing(connection):
            connection.request(request.method, request.path, request.body, headers)
            response = connection.getresponse()
            body = response.read()
            return Response(response.status, body, _retry_after(response))
    except (OSError, http.client.HTTPException, ValueError) as err:
        print(f"eldercart: {server}: {err}", file=sys.stderr)
        return Response(NO_RESPONSE, b"", 0.0)


def _retry_after(response: http.client.HTTPResponse) -> float:
    """Return the Retry-After header in seconds; a date, which no node sends, counts as 0."""
    try:
        return float(response.headers.get("Retry-After") or 0)
    except ValueError:
        return 0.0


def _with_awaits(body: bytes, jobs: list[str]) -> bytes:
    """Return the submission with `jobs` added to the dependencies that it names itself."""
    submission = load_unbounded_object(body)
    dependencies = submission.get("awaits")
    if dependencies is not None and not isinstance(dependencies, list):
        raise MalformedMessageError("awaits")
    return orjson.dumps({**submission, "awaits": [*(dependencies or []), *jobs]})


def _waiting_reason(answer: dict[str, Any]) -> str:
    """Return the text that says why the job waits, or "" if the answer gives no reason.

    The reason is a list of job ids or a text.
    """
    for field in ("awaits", "waiting"):
        reason = answer.get(field)
        if isinstance(reason, list) and reason:
            return ", waits for " + " ".join(str(job) for job in reason)
        if isinstance(reason, str) and reason:
            return f", waits: {reason}"
    return ""


def _print_result(job: str, response: Response, *, as_json: bool) -> int:
    answer: dict[str, Any] = {}
    with contextlib.suppress(MalformedMessageError):
        answer = load_unbounded_object(response.body) if response.body else {}
    if as_json:
        print(orjson.dumps({"status": response.status, **answer}).decode())
    elif response.status in ACCEPTED_STATUSES:
        print(_summary(job, answer))
    else:
        error = answer.get("error") or "no answer"
        print(f"{job}: {error} ({response.status})", file=sys.stderr)
    if response.status in ACCEPTED_STATUSES:
        return EXIT_OK
    return EXIT_REJECTED if response.status in REJECTED_STATUSES else EXIT_UNREACHABLE


def _summary(job: str, answer: dict[str, Any]) -> str:
    text = f"{job}: {answer.get('standing')}"
    if "done" in answer:
        text += f", {answer['done']} done, {answer.get('running')} running"
    return text + _waiting_reason(answer)
