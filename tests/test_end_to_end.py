"""Runs one node as a real process on loopback, with simulators behind real sockets.

No result depends on timing: each wait ends when its condition holds."""

import threading
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from urllib.parse import quote

import orjson
import pytest

from eldercart.cli import main
from loopback_region import NodeProcess, Region, call, wait_until
from world import submission


@pytest.fixture
def service(tmp_path: Path) -> Iterator[tuple[Region, NodeProcess]]:
    region = Region()
    service = NodeProcess(region, tmp_path)
    worker = threading.Thread(target=region.run_worker_loop, args=(service.front,), daemon=True)
    worker.start()
    yield region, service
    region.stop.set()
    service.process.kill()
    service.process.wait()
    worker.join(10)
    for server in region.servers:
        server.shutdown()
        server.server_close()


def test_jobs_run_and_keep_their_state_across_a_node_restart(
    service: tuple[Region, NodeProcess], tmp_path: Path
) -> None:
    region, node = service
    front = node.front

    def submit(job: str, run_s: float, **changes: Any) -> int:
        body = submission(job, **changes)
        with region.lock:
            region.jobs[job] = body | {"runS": run_s}
        return ask("POST", "/work", orjson.dumps(body))[0]

    def ask(method: str, path: str, body: bytes | None = None) -> tuple[int, bytes]:
        """Retry while the node answers 503, as users do."""
        answers: list[tuple[int, bytes]] = []

        def is_final() -> bool:
            answers.append(call(front, method, path, body))
            return answers[-1][0] != 503

        wait_until(is_final)
        return answers[-1]

    def job_state(job: str) -> Any:
        status, body = ask("GET", f"/work/{job}")
        return orjson.loads(body)["standing"] if status == 200 else status

    wait_until(lambda: submit("wk-000001", 0.2) in (200, 201))
    assert submit("wk-000002", 3600.0) == 201
    # These answers do not depend on timing.
    assert submit("wk-000001", 0.2) == 200
    assert call(front, "POST", "/work", b"{")[0] == 400
    assert submit("wk-000009", 1.0, cpus=-1.0) == 400
    assert submit("wk-000009", 1.0, crew="nobody") == 422
    assert submit("wk-000001", 0.2, cpus=-1.0) == 200, "a repeat of an accepted job is never 400"
    assert call(front, "POST", "/work", b"x" * 70_000)[0] == 400
    assert call(front, "PUT", "/work")[0] == 405
    assert call(front, "GET", "/nowhere")[0] == 404
    assert job_state("wk-000009") == 404
    assert ask("POST", "/work/wk-000009/cancel")[0] == 404
    wait_until(lambda: job_state("wk-000001") == "done")
    wait_until(lambda: job_state("wk-000002") == "running")
    # After the node is killed and restarted, no job is lost and no reported state is reverted.
    node.restart()
    assert job_state("wk-000001") == "done"
    wait_until(lambda: job_state("wk-000002") == "running")
    wait_until(lambda: call(front, "POST", "/work/wk-000002/cancel")[0] == 200)
    assert job_state("wk-000002") == "aborted"
    wait_until(lambda: not any(m.running_tasks() for m in list(region.cloud.machines.values())))
    assert ask("POST", "/work/wk-000001/cancel") == (
        200,
        b'{"nameId":"wk-000001","standing":"done"}',
    )
    page = orjson.loads(call(node.front, "GET", "/status")[1])
    assert page["role"] == "leader" and page["milliseconds"]["report"]["count"] > 0
    # The command line uses the same protocol.
    file = tmp_path / "job.json"
    body = submission("wk-000003")
    region.jobs["wk-000003"] = body | {"runS": 0.1}
    file.write_bytes(orjson.dumps(body))
    assert main(["submit", "--server", front, str(file)]) == 0
    wait_until(lambda: main(["status", "--server", front, "--json", "wk-000003"]) == 0)
    assert main(["status", "--server", front, "wk-000777"]) == 1
    assert main(["cancel", "--server", front, "nonsense"]) == 2


def job_body(**changes: Any) -> bytes:
    """Return a submission with these changes, which the tests use for invalid jobs."""
    return orjson.dumps(submission("wk-bad", **changes))


def job_body_without(field: str) -> bytes:
    return orjson.dumps({k: v for k, v in submission("wk-bad").items() if k != field})


def report_body(**changes: Any) -> bytes:
    """Return a worker's report with these changes; a field that is set to `...` is left out."""
    whole = {
        "wagon": "n-999999",
        "address": "10.1.0.1:9",
        "breed": "small",
        "yard": "a",
        "loaners": True,
        "stint": 1,
        "tally": 1,
        "whip": 0,
        "recallS": None,
        "parcels": [],
    } | changes
    return orjson.dumps({k: v for k, v in whole.items() if v is not ...})


REQUIRED_FIELDS = [f for f in submission("wk-bad") if f not in ("breeds", "yard", "dueS")]
TEXT_FIELDS, FLAG_FIELDS = ("lot", "crew", "kit"), ("together", "spread", "loaners")
AMOUNT_FIELDS = ("cpus", "accelerators", "memGb", "imageGb", "haulS", "waypointS", "stowS")
WRONG_FIELDS: dict[str, tuple[Any, ...]] = {
    "nameId": (
        None,
        7,
        "",
        "job-1",
        "wk-",
        "wk-1/2",
        "wk-1 ",
        "wk-\u00e4",
        "wk-" + "x" * 81,
        ["wk-1"],
    ),
    "shape": (None, 1, "", "ensemble", ["sweep"]),
    "urgency": (None, 1, "", "high", ["urgent"], {}),
    "parcels": (None, 0, -1, 1.0, 1.5, True, "1", [1], 100_001, 2**63),
    "breeds": ("small", 1, {}, [1], [None], [""], False),
    "yard": (1, "", ["a"], False, "x" * 201),
    "dueS": (-1, "10", True, [], {}),
    "awaits": ("wk-1", {}, 7, False, "", [7], [None], [["wk-1"]], ["1"], ["wk-1/0"], [""]),
    **{field: (None, 7, "", [], {}, "x" * 201) for field in TEXT_FIELDS},
    **{field: (None, 0, 1, "true", [], {}) for field in FLAG_FIELDS},
    **{field: (None, True, "1", [], {}, -0.5, 1e13) for field in AMOUNT_FIELDS},
}
NOT_OBJECTS = (
    b"",
    b" ",
    b"{",
    b"null",
    b"7",
    b'"wk-1"',
    b"[]",
    b"[{}]",
    b"{}{}",
    b"\xff",
    b"{'a':1}",
)
TOO_LARGE = b'{"x":"' + b"x" * 65_536 + b'"}'
TOO_DEEP = b'{"x":' + b"[" * 2000 + b"]" * 2000 + b"}"
DEEP_LIST = b"[" * 1021 + b"]" * 1021
INVALID_JOB_IDS = ("", "x", "job-1", "wk-", "wk-1/0", "wk-%31", "wk-" + "x" * 81, "wk-\u00e4", "..")
BAD_INPUT: list[tuple[str, str, bytes | None, int]] = [
    # Submissions.
    *(("POST", "/work", body, 400) for body in (*NOT_OBJECTS, TOO_LARGE, TOO_DEEP, b"{}")),
    *(("POST", "/work", job_body_without(field), 400) for field in REQUIRED_FIELDS),
    *(
        ("POST", "/work", job_body(**{field: value}), 400)
        for field, values in WRONG_FIELDS.items()
        for value in values
    ),
    ("POST", "/work", job_body(cpus=0.0, accelerators=0.0), 400),
    ("POST", "/work", job_body().replace(b'"cpus":2.0', b'"cpus":NaN'), 400),
    ("POST", "/work", job_body().replace(b'"cpus":2.0', b'"cpus":1e999'), 400),
    ("POST", "/work", job_body(crew="nobody"), 422),
    ("POST", "/work", job_body(crew="t1", cpus=40.5), 422),
    ("POST", "/work", job_body(cpus=16.5), 422),
    ("POST", "/work", job_body(memGb=64.5), 422),
    ("POST", "/work", job_body(accelerators=2.5), 422),
    ("POST", "/work", job_body(cpus=8.5, breeds=["small"]), 422),
    ("POST", "/work", job_body(accelerators=1.0, yard="a"), 422),
    ("POST", "/work", job_body(breeds=[]), 422),
    ("POST", "/work", job_body(breeds=["none"]), 422),
    ("POST", "/work", job_body(yard="none"), 422),
    ("POST", "/work", job_body(awaits=["wk-bad"]), 422),
    ("POST", "/work", job_body(awaits=["wk-good", "wk-bad"]), 422),
    ("POST", "/work", job_body(awaits=["wk-never"]), 422),
    ("POST", "/work", job_body(awaits=["wk-good", "wk-never", "wk-good"]), 422),
    ("POST", "/work", job_body(crew="nobody", awaits=[1]), 400),
    # A repeated submission of an accepted job gets 200, even if the repeat is invalid.
    ("POST", "/work", b'{"nameId":"wk-good"}', 200),
    ("POST", "/work", orjson.dumps(submission("wk-good", crew="nobody")), 200),
    ("POST", "/work", orjson.dumps(submission("wk-good", cpus=4000.0)), 200),
    ("POST", "/work", orjson.dumps(submission("wk-good", awaits="x")), 200),
    ("POST", "/work", orjson.dumps(submission("wk-good", awaits=["wk-never"])), 200),
    ("POST", "/work", orjson.dumps(submission("wk-good", awaits=["wk-good"])), 200),
    # Status requests and cancellations.
    *(
        ("GET", f"/work/{quote(name)}", None, 404)
        for name in (*INVALID_JOB_IDS, "wk-never", "wk-bad")
    ),
    *(
        ("POST", f"/work/{quote(name)}/cancel", b"{}", 404)
        for name in (*INVALID_JOB_IDS, "wk-never")
    ),
    ("POST", "/work/wk-never/cancel", None, 404),
    ("POST", "/work/wk-never/cancel", b"{", 404),
    ("GET", "/work/wk-good?x=1", None, 200),
    # Worker reports.
    *(("POST", "/v1/report", body, 400) for body in (*NOT_OBJECTS, TOO_LARGE, TOO_DEEP, b"{}")),
    *(
        ("POST", "/v1/report", report_body(**{f: ...}), 400)
        for f in ("wagon", "stint", "tally", "whip")
    ),
    *(
        ("POST", "/v1/report", report_body(wagon=value), 400)
        for value in (None, 7, "", [], "x" * 201)
    ),
    *(
        ("POST", "/v1/report", report_body(**{field: value}), 400)
        for field in ("stint", "tally", "whip")
        for value in (None, -1, 1.0, "1", True, [], {})
    ),
    ("POST", "/v1/report", report_body()[:-1] + b',"tally":18446744073709551616}', 400),
    ("POST", "/v1/report", report_body()[:-1] + b',"x":' + DEEP_LIST + b"}", 400),
    # Unsupported methods and unknown paths.
    *(("PUT", path, b"{}", 405) for path in ("/work", "/work/wk-good", "/work/wk-good/cancel")),
    *(("DELETE", path, None, 405) for path in ("/work", "/work/wk-good", "/v1/report")),
    *(("GET", path, None, 405) for path in ("/work", "/work/wk-good/cancel", "/v1/report")),
    *(("POST", path, b"{}", 405) for path in ("/work/wk-good", "/status", "/healthz")),
    *(("GET", path, None, 404) for path in ("/", "/work/", "/nowhere", "/v1", "/workers")),
    *(("POST", path, b"{}", 404) for path in ("/", "/nowhere", "/v1/reports", "/submit")),
]


def test_bad_input_gets_its_status(service: tuple[Region, NodeProcess]) -> None:
    """A job that lacks a field or can't run is never accepted, and a repeated submission of an
    accepted job is never rejected. Invalid requests block or end nothing for other users."""
    region, node = service

    def ask(method: str, path: str, body: bytes | None) -> int:
        answers: list[int] = []

        def is_final() -> bool:
            answers.append(call(node.front, method, path, body)[0])
            return answers[-1] not in (0, 503)

        wait_until(is_final)
        return answers[-1]

    good = submission("wk-good")
    with region.lock:
        region.jobs["wk-good"] = good | {"runS": 3600.0}
    assert ask("POST", "/work", orjson.dumps(good)) in (200, 201)
    wrong = []
    for method, path, body, status in BAD_INPUT:
        got = ask(method, path, body)
        if got != status:
            wrong.append((method, path, (body or b"")[:300], status, got))
    assert not wrong
    with region.lock:
        assert [i["path"] for i in region.store.range("job/")] == ["job/wk-good"]
        assert not region.store.range("end/") and not region.store.range("needs/")


def test_command_line_submits_dependent_jobs_and_prints_what_they_wait_for(
    service: tuple[Region, NodeProcess], tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    region, node = service

    def run(*arguments: str) -> tuple[int, str]:
        command, *rest = arguments
        status = main([command, "--server", node.front, *rest])
        return status, capsys.readouterr().out.strip()

    def submit(job: str, *options: str, **changes: Any) -> tuple[int, str]:
        body = submission(job, **changes)
        with region.lock:
            region.jobs[job] = body | {"runS": 3600.0}
        file = tmp_path / f"{job}.json"
        file.write_bytes(orjson.dumps(body))
        return run("submit", *options, str(file))

    def pending_dependencies(job: str) -> set[str]:
        """Return a set, because the order in which they are printed is not defined."""
        state, _, waits = run("status", job)[1].partition(", waits for ")
        assert state == f"{job}: pending, 0 done, 0 running"
        return set(waits.split())

    assert submit("wk-first") == (0, "wk-first: pending")
    assert submit("wk-second", "--awaits", "wk-first") == (0, "wk-second: pending")
    assert submit("wk-third", "--awaits", "wk-second", awaits=["wk-first"])[0] == 0
    assert submit("wk-none", "--awaits", "wk-never")[0] == 1
    assert submit("wk-none", "--awaits", "first")[0] == 2
    wait_until(lambda: pending_dependencies("wk-third") == {"wk-first", "wk-second"})
    assert run("cancel", "wk-first") == (0, "wk-first: aborted")
    wait_until(lambda: run("status", "wk-third")[1].startswith("wk-third: aborted"))
    assert submit("wk-late", "--awaits", "wk-third")[0] == 0, "accepted, though it can't be done"
    wait_until(lambda: run("status", "wk-late")[1].startswith("wk-late: aborted"))
