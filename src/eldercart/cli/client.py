"""`submit`, `status` and `cancel`: the user's side, retrying as the protocol says."""

import argparse
import contextlib
import http.client
import sys
import time
from pathlib import Path
from typing import Any

import orjson

from eldercart.wire import Malformed
from eldercart.wire.checks import load_answer
from eldercart.wire.users import parse_submission, valid_job_id

EXIT_OK, EXIT_REFUSED, EXIT_USAGE, EXIT_UNREACHABLE = 0, 1, 2, 3


def _call(
    server: str, method: str, path: str, body: bytes | None, limit: float
) -> tuple[int, bytes]:
    """Tries until an answer is final or the time is over."""
    end = time.monotonic() + limit
    while True:
        pause = 1.0
        status, data = 0, b""
        try:
            connection = http.client.HTTPConnection(server, timeout=5.0)
            connection.request(method, path, body, {"Content-Type": "application/json"})
            response = connection.getresponse()
            status, data = response.status, response.read()
            pause = max(pause, min(30.0, float(response.headers.get("Retry-After") or 0)))
            connection.close()
        except (OSError, http.client.HTTPException, ValueError) as err:
            print(f"eldercart: {server}: {err}", file=sys.stderr)
        if status in (200, 201, 400, 404, 422) or time.monotonic() + pause > end:
            return status, data
        time.sleep(pause)


def run(args: argparse.Namespace) -> int:
    if args.command == "submit":
        try:
            raw = sys.stdin.buffer.read() if args.file == "-" else Path(args.file).read_bytes()
        except OSError as err:
            print(f"eldercart: {args.file}: {err.strerror}", file=sys.stderr)
            return EXIT_USAGE
        try:
            if args.awaits:
                raw = _with_awaits(raw, args.awaits)
            spec = parse_submission(load_answer(raw))
        except Malformed as err:
            print(f"eldercart: the job is malformed: {err}", file=sys.stderr)
            return EXIT_USAGE
        status, data = _call(args.server, "POST", "/work", raw, args.timeout)
        job: str = spec.id
    else:
        job = args.job
        if not valid_job_id(job):
            print(f"eldercart: not a job id: {job}", file=sys.stderr)
            return EXIT_USAGE
        path = f"/work/{job}" + ("/cancel" if args.command == "cancel" else "")
        method = "POST" if args.command == "cancel" else "GET"
        body = b"{}" if method == "POST" else None
        status, data = _call(args.server, method, path, body, args.timeout)
    return _show(args.json, job, status, data)


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


def _show(as_json: bool, job: str, status: int, data: bytes) -> int:
    answer: dict[str, Any] = {}
    with contextlib.suppress(Malformed):
        answer = load_answer(data) if data else {}
    if as_json:
        print(orjson.dumps({"status": status, **answer}).decode())
    elif status in (200, 201):
        text = f"{job}: {answer.get('standing')}"
        if "done" in answer:
            text += f", {answer['done']} done, {answer.get('running')} running"
        print(text + _reason(answer))
    else:
        print(f"{job}: {answer.get('error') or 'no answer'} ({status})", file=sys.stderr)
    if status in (200, 201):
        return EXIT_OK
    return EXIT_REFUSED if status in (400, 404, 422) else EXIT_UNREACHABLE
