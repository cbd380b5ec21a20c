"""States of the store that this version's leader leaves in the simulated world.

`legacy.old_recording` has the same runs with the leader of an earlier version.
"""

from typing import Any

from eldercart.scheduling.scheduler import TransactionOutcome
from eldercart.units import Revision
from world import World


def stores() -> list[list[dict[str, Any]]]:
    """Return states of the store from while jobs run, finish and are cancelled."""
    out: list[list[dict[str, Any]]] = []
    for seed in (1, 2):
        w = World(seed, txn_lost=0.1, answer_lost=0.05)
        w.submit("wk-long", parcels=300, cpus=0.5, run_s=9.0, crew="t1")  # several chunks
        for i in range(6):
            w.submit(f"wk-{i:06d}", parcels=2 + 3 * i, run_s=3.0 + i, urgency="urgent", lot="quick")
        for after in (14, 11, 1, 25):
            w.run(after)
            w.cancel(f"wk-{len(out) % 4 + 2:06d}")
            w.run(0.3)
            out.append(w.store.range(""))
            if seed == 2:
                w.elect()  # the new leader keeps the existing placement records and adds new ones
    return [*out, moved()]


def moved() -> list[dict[str, Any]]:
    """Return a state in which two placement records hold different copies of a chunk.

    From some time on the service rejects any placement record with several chunks, so each chunk
    is moved to a record of its own while the old record keeps an earlier copy.
    """

    class Refusing(World):
        refuses = False

        def serve_store(self, c: Any, now: Any) -> None:
            pending = c.next_transaction(now, 20)
            if pending is None:
                return
            if self.refuses and any(
                len(placement_record.parts) > 1 for placement_record in pending.placement_records
            ):
                c.on_transaction_result(pending, TransactionOutcome.INVALID, Revision(0), (), now)
                return
            status, answer = self.store.txn(pending.transaction.body())
            assert status == 200
            c.on_transaction_result(
                pending, TransactionOutcome.COMMITTED, Revision(answer["ledgerRev"]), (), now
            )
            for job, how in c.take_finished_jobs():
                self.record_reported_outcome(job, how)

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


def changed_copies(placement_records: list[dict[str, Any]]) -> list[str]:
    """Return the jobs of chunks whose copies in two placement records have different attempts."""
    known: dict[tuple[str, int], Any] = {}
    out = []
    for job, number, part in (
        p for placement_record in placement_records for p in placement_record["v"]["p"]
    ):
        if known.setdefault((job, number), part)["a"] != part["a"]:
            out.append(job)
    return out


def chains() -> list[list[dict[str, Any]]]:
    """Return states with dependent jobs.

    Some of these wait, some are ready, and some are cancelled with a job that they depend on.
    """
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
    """Return a state in which chunks were split because the service began to reject larger ones."""
    w = World(51)
    w.subchunks_supported = True
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
