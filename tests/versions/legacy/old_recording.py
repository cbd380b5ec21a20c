"""FROZEN (see the package): records what a version writes, by running its own code: its formats,
and its leader in its own stand-in world. Run with that version's sources and tests first on the
path, and its commit as argument; `versions/record.py` does so.
"""

import sys
from typing import Any

import old_reading
import orjson


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


def chains() -> list[list[dict[str, Any]]]:
    """States with jobs that await others: some waiting, some ready, some cancelled with another."""
    from world import World

    out: list[list[dict[str, Any]]] = []
    w = World(4, txn_lost=0.1, answer_lost=0.05)
    w.submit("wk-first", parcels=12, run_s=4.0)
    w.submit("wk-other", parcels=30, run_s=30.0)
    w.submit("wk-second", parcels=20, run_s=15.0, awaits=["wk-first"])
    w.submit("wk-third", parcels=5, awaits=["wk-second", "wk-other"])
    w.submit("wk-last", parcels=5, awaits=["wk-third"], dueS=90.0)
    for after in (12, 14, 8):
        w.run(after)
        out.append(w.store.range(""))
    w.cancel("wk-other")
    w.run(0.3)
    return [*out, w.store.range(""), finer()]


def finer() -> list[dict[str, Any]]:
    """A state in which parts were cut anew, as the service came to refuse larger ones."""
    from world import World

    w = World(51)
    w.may_recut = True
    w.submit("wk-000001", parcels=60, cpus=0.2, memGb=0.1, run_s=30.0)
    w.submit("wk-000002", parcels=3, cpus=0.2, memGb=0.1, run_s=5.0)
    w.run(1)
    w.store.value_bytes = 400
    for _ in range(400):
        w.run(0.1)
        parts = [p[2] for i in w.store.range("place/") for p in i["v"]["p"]]
        if sum("n" in part for part in parts) > 3:
            return w.store.range("")
    raise AssertionError("no part was cut anew")


def samples(commit: str) -> dict[str, Any]:
    from standins import CATALOG

    states = stores()
    alone = [
        *old_reading.job_records(),
        old_reading.lead_record(),
        old_reading.catalog_record(CATALOG),
    ]
    lists: list[dict[str, Any]] = []
    if old_reading.CHAINS:
        states += chains()
        chained = old_reading.chained_records()
        alone += chained
        lists = [{"record": chained[1], "lists": old_reading.chained_lists()}]
        lists += [{"record": chained[1], "lists": old_reading.chained_lists()[:1]}]
    alone += _kinds(states, "end/", "gone/", "memo/")
    frames = {name: write().decode() for name, write in old_reading.FRAMES.items()}
    found = {
        "production": commit,
        "frames": {
            name: {"data": d, "read": old_reading.read_frame(d)} for name, d in frames.items()
        },
        "records": [{"found": found, "read": old_reading.read_record(found)} for found in alone],
        "stores": [{"store": store, "read": old_reading.take_over(store)} for store in states],
    }
    if lists:
        found["lists"] = [
            {**asked, "read": old_reading.read_lists(asked["record"], asked["lists"])}
            for asked in lists
        ]
    return found


def _kinds(states: list[list[dict[str, Any]]], *prefixes: str) -> list[dict[str, Any]]:
    """Some records of each kind, the same one once."""
    out: list[dict[str, Any]] = []
    for prefix in prefixes:
        of = {str(i): i for s in states for i in s if i["path"].startswith(prefix)}
        out += list(of.values())[:6]
    return out


def lines(value: dict[str, Any]) -> bytes:
    """JSON with a sample a line."""
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


if __name__ == "__main__":
    sys.stdout.buffer.write(lines(samples(sys.argv[1])))
