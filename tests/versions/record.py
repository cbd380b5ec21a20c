"""Records what the version in production writes, by running its own code: its formats, and its
leader in its own stand-in world. The version is the one that deploy/service.toml names:

    python3 tests/versions/record.py > tests/versions/production.json
"""

import os
import subprocess
import sys
import tarfile
import tempfile
import tomllib
from io import BytesIO
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
DEPENDENCIES = ROOT / "target" / "deps"


def production() -> str:
    return str(tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["production"])


def unpack(into: Path) -> bool:
    """The sources and tests of the version in production; False: no history is at hand."""
    command = ["git", "-C", str(ROOT), "archive", production(), "src", "tests"]
    try:
        found = subprocess.run(command, capture_output=True, check=True)
    except (OSError, subprocess.CalledProcessError):
        return False
    with tarfile.open(fileobj=BytesIO(found.stdout)) as archive:
        archive.extractall(into, filter="data")
    return True


def run_as(tree: Path, script: str, given: bytes = b"") -> bytes:
    """A script of this directory with the sources of that tree. Hashes are fixed, as the order of
    what is written may hang on them."""
    path = os.pathsep.join(map(str, (tree / "src", tree / "tests", DEPENDENCIES)))
    done = subprocess.run(
        [sys.executable, "-B", str(Path(__file__).parent / script), "--here"],
        input=given,
        capture_output=True,
        env={**os.environ, "PYTHONPATH": path, "PYTHONHASHSEED": "0"},
    )
    assert done.returncode == 0, done.stderr.decode()
    return done.stdout


def stores() -> list[list[dict[str, Any]]]:
    """States of the store as a leader leaves them while jobs run, end and are cancelled."""
    from world import World

    out: list[list[dict[str, Any]]] = []
    for seed in (1, 2):
        w = World(seed, txn_lost=0.1, answer_lost=0.05)
        w.submit("wk-long", parcels=300, cpus=0.5, run_s=9.0, crew="t1")  # several parts
        for i in range(6):
            w.submit(f"wk-{i:06d}", parcels=2 + 3 * i, run_s=3.0 + i, urgency="urgent", lot="quick")
        for after in (14, 11, 1, 25):
            w.run(after)
            w.cancel(f"wk-{len(out) % 4 + 2:06d}")
            w.run(0.3)
            out.append(w.store.range(""))
            if seed == 2:
                w.elect()  # what it takes over stays where it is, and new sheets join it
    return [*out, moved()]


def moved() -> list[dict[str, Any]]:
    """A state in which parts are on two sheets, as known earlier and as they are now: the service
    has come to refuse a sheet, so each part gets its own."""
    from eldercart.core.controller import Outcome
    from eldercart.units import Revision
    from world import World

    class Refusing(World):
        refuses = False

        def serve_store(self, c: Any, now: Any) -> None:
            pending = c.next_txn(now, 20)
            if pending is None:
                return
            if self.refuses and any(len(sheet.parts) > 1 for sheet in pending.sheets):
                c.txn_done(pending, Outcome.MALFORMED, Revision(0), (), now)
                return
            status, answer = self.store.txn(pending.txn.body())
            assert status == 200
            c.txn_done(pending, Outcome.OK, Revision(answer["ledgerRev"]), (), now)
            for job, how in c.take_finished():
                self.tell(job, how)

    w = Refusing(3)
    for i in range(6):
        w.submit(f"wk-{i:06d}", parcels=40, cpus=1.0, run_s=8.0 + i)
    w.run(20)
    w.refuses = True
    for _ in range(200):
        w.run(0.1)
        if len(changed_copies(w.store.range("place/"))) > 1:
            return w.store.range("")
    raise AssertionError("no part was moved")


def changed_copies(sheets: list[dict[str, Any]]) -> list[str]:
    """Jobs of which two sheets say something else."""
    known: dict[tuple[str, int], Any] = {}
    out = []
    for job, number, part in (p for sheet in sheets for p in sheet["v"]["p"]):
        if known.setdefault((job, number), part)["a"] != part["a"]:
            out.append(job)
    return out


def samples() -> dict[str, Any]:
    import reading

    from standins import CATALOG

    states = stores()
    alone = [*reading.job_records(), reading.lead_record(), reading.catalog_record(CATALOG)]
    alone += _kinds(states, "end/", "gone/", "memo/")
    frames = {name: write().decode() for name, write in reading.FRAMES.items()}
    return {
        "production": production(),
        "frames": {name: {"data": d, "read": reading.read_frame(d)} for name, d in frames.items()},
        "records": [{"found": found, "read": reading.read_record(found)} for found in alone],
        "stores": [{"store": store, "read": reading.take_over(store)} for store in states],
    }


def _kinds(states: list[list[dict[str, Any]]], *prefixes: str) -> list[dict[str, Any]]:
    """Some records of each kind, the same one once."""
    out: list[dict[str, Any]] = []
    for prefix in prefixes:
        of = {str(i): i for s in states for i in s if i["path"].startswith(prefix)}
        out += list(of.values())[:6]
    return out


def lines(value: dict[str, Any]) -> bytes:
    """JSON with a sample a line."""
    import orjson

    parts = []
    for key, part in value.items():
        if isinstance(part, dict):
            body = b",\n".join(orjson.dumps(k) + b":" + orjson.dumps(v) for k, v in part.items())
            parts.append(orjson.dumps(key) + b":{\n" + body + b"}")
        elif isinstance(part, list):
            parts.append(orjson.dumps(key) + b":[\n" + b",\n".join(map(orjson.dumps, part)) + b"]")
        else:
            parts.append(orjson.dumps(key) + b":" + orjson.dumps(part))
    return b"{" + b",\n".join(parts) + b"}\n"


def record() -> bytes:
    with tempfile.TemporaryDirectory() as folder:
        assert unpack(Path(folder)), "the history does not hold the version in production"
        return run_as(Path(folder), "record.py")


if __name__ == "__main__":
    sys.stdout.buffer.write(lines(samples()) if "--here" in sys.argv else record())
