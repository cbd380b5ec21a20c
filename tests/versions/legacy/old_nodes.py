"""FROZEN (see the package): a leader and a relay of an earlier version, in this process.

What goes in and comes out are plain values: numbers, strings, bytes as they cross the network, and
records as the state service lists them. All methods begin with `old_`, so that no rename of this
tree's names meets them.
"""

import importlib
import sys
from pathlib import Path
from types import ModuleType
from typing import Any

OldRecord = dict[str, Any]  # as the state service lists it


class OldVersion:
    """A version's sources under a package name of their own."""

    def __init__(self, commit: str, tree: Path) -> None:
        self.old_package = f"eldercart_{commit}"
        self.old_folder = tree / "alias"
        own = tree / "src" / "eldercart"
        for source in sorted(own.rglob("*")):
            into = self.old_folder / self.old_package / source.relative_to(own)
            if source.is_dir():
                continue
            into.parent.mkdir(parents=True, exist_ok=True)
            if source.suffix == ".py":
                into.write_text(source.read_text().replace("eldercart", self.old_package))
            else:
                into.write_bytes(source.read_bytes())
        sys.path.insert(0, str(self.old_folder))
        self.old_chains = (own / "core" / "graph.py").exists()

    def old_module(self, name: str) -> ModuleType:
        return importlib.import_module(f"{self.old_package}.{name}")

    def old_answer_to_a_poll(self) -> Any:
        """The type, with the state of a job as a frame carries it."""
        return self.old_module("wire.peers").Told(1, "done", 0, 0)

    def old_controller_type(self) -> Any:
        return self.old_module("core.controller").Controller

    def old_relay_type(self) -> Any:
        return self.old_module("core.relay").Relay


class OldController:
    """The leader's state machine."""

    def __init__(
        self, version: OldVersion, platform: OldRecord, catalog: OldRecord, epoch: int, now: float,
        life: str,
    ) -> None:  # fmt: skip
        self._version = version
        self._state = version.old_module("wire.state")
        self._workers = version.old_module("wire.workers")
        settings = version.old_module("settings.platform").parse_platform(platform)
        types = version.old_module("wire.cloud").parse_catalog(catalog)
        tuning = version.old_module("settings").load_tuning()
        kind = version.old_controller_type()
        self._inner = kind(settings, tuning, epoch, types, now, now, life)
        self._call: Any = None
        self._pending: Any = None

    def _item(self, found: OldRecord | None) -> Any:
        if found is None:
            return None
        return self._state.Item(found["path"], found["v"], found["stamp"], found.get("tether"))

    def old_load(
        self, jobs: list[OldRecord], places: list[OldRecord], gone: list[OldRecord], now: float,
        memos: list[OldRecord],
    ) -> None:  # fmt: skip
        lists = [[self._item(found) for found in part] for part in (jobs, places, gone, memos)]
        self._inner.load(*lists[:3], now, lists[3])

    def old_learn(self, found: OldRecord, now: float) -> None:
        self._inner.learn_job(self._item(found), now)

    def old_status(self, job: str) -> tuple[Any, ...]:
        """State, done, running, waiting; or alone the name of why it can't be told."""
        found = self._inner.status(job)
        if isinstance(found, self._version.old_module("core.controller").Verdict):
            return (found.name,)
        return (found.state, found.done, found.running, tuple(getattr(found, "waiting", ())))

    def old_cancel(self, job: str, now: float) -> str:
        found = self._inner.cancel(job, now)
        return found if isinstance(found, str) else str(found.name)

    # -- time

    def old_tick(self, now: float) -> None:
        self._inner.tick(now)

    def old_plan_due(self, now: float) -> bool:
        return bool(self._inner.plan_due(now))

    def old_plan(self, now: float) -> None:
        self._inner.plan(now)

    def old_allow_finer_parts(self, allowed: bool) -> None:
        if hasattr(self._inner.records, "may_recut"):
            self._inner.records.may_recut = allowed

    # -- the state service

    def old_rereads(self) -> list[str]:
        return list(self._inner.reread)

    def old_reread(self, key: str, found: OldRecord | None, now: float) -> None:
        self._inner.reread_done(key, self._item(found), now)

    def old_unread_ends(self, now: float, most: int) -> list[str]:
        return list(self._inner.take_unread(now, most)) if self._version.old_chains else []

    def old_end_read(self, job: str, how: str | None, now: float) -> None:
        self._inner.end_read(job, how, now)

    def old_memo(self, now: float) -> bytes | None:
        found = self._inner.next_memo(now)
        return None if found is None else found.body()

    def old_transaction(self, now: float, most: int) -> bytes | None:
        self._pending = self._inner.next_txn(now, most)
        return None if self._pending is None else self._pending.txn.body()

    def old_transaction_done(
        self, outcome: str, revision: int, failed: tuple[str, ...], now: float
    ) -> bool:
        kind = self._version.old_module("core.controller").Outcome
        return bool(self._inner.txn_done(self._pending, kind(outcome), revision, failed, now))

    def old_finished(self) -> list[tuple[str, str]]:
        return list(self._inner.take_finished())

    # -- the cloud

    def old_cloud_call(self, now: float) -> tuple[str, bytes] | None:
        """`rent`, `delete`, `list` or `catalog`, and the body of the request."""
        self._call = call = self._inner.next_cloud(now)
        if call is None:
            return None
        cloud = self._version.old_module("wire.cloud")
        name = type(call).__name__
        if name == "Rent":
            hire, offer = call.hire, call.hire.offer
            return "rent", cloud.rent_body(
                hire.request, offer.type, offer.zone, offer.spot, hire.number
            )
        if name == "Delete":
            return "delete", cloud.delete_body(list(call.machines))
        return {"ListPage": "list", "GetCatalog": "catalog"}[name], b""

    def old_cloud_done(self, status: int | None, body: bytes, now: float) -> None:
        self._inner.cloud_done(self._call, status, body, now)

    # -- workers

    def old_report(
        self, report: OldRecord, now: float, relay: str
    ) -> tuple[bytes, list[tuple[str, int]], int] | None:
        """The answer's body, the launches in it, and how many commands; None: overtaken."""
        commands = self._inner.on_report(self._workers.parse_report(report), now, relay)
        if commands is None:
            return None
        launches = [(c.key, c.attempt) for c in commands if type(c).__name__ == "Launch"]
        body = self._workers.commands_body(self._inner.epoch, commands)
        return body, launches, len(commands)

    def old_wants_next(self, machine: str) -> bool:
        return bool(self._inner.wants_next(machine))

    def old_undelivered(self, machine: str) -> None:
        self._inner.undelivered(machine)

    def old_heard(self, relay: str, orders: list[tuple[str, int, int]], now: float) -> None:
        kind = self._version.old_module("units").ReportOrder
        self._inner.heard(relay, [(m, kind(s, n)) for m, s, n in orders], now)

    def old_wanted(self) -> dict[str, list[str]]:
        return dict(self._inner.take_wants())

    def old_probes(self) -> list[tuple[str, str]]:
        return list(self._inner.take_probes())

    def old_shown(self, machine: str, now: float) -> None:
        self._inner.shown(machine, now)

    def old_orders(self, now: float) -> list[tuple[str, bytes]]:
        """Direct commands: the machine and the body of the request."""
        if not hasattr(self._inner, "take_orders"):
            return []
        return [
            (o.machine, self._workers.order_body(self._inner.epoch, o.session, o.commands))
            for o in self._inner.take_orders(now)
        ]

    def old_ordered(self, report: OldRecord, executed: bool, now: float) -> None:
        self._inner.ordered(self._workers.parse_report(report), executed, now, now)


class OldRelay:
    """A relay's state machine."""

    def __init__(self, version: OldVersion, label: str, grant_s: float, drift: float) -> None:
        self._order = version.old_module("units").ReportOrder
        self._inner = version.old_relay_type()(label, grant_s, drift)

    def old_epoch(self) -> int:
        return int(self._inner.epoch)

    def old_machines(self) -> int:
        return int(self._inner.machines)

    def old_granted(
        self, epoch: int, leader: str, asked: float, now: float, most: int | None, spare: str | None
    ) -> None:
        self._inner.granted(epoch, leader, asked, now, most, spare)

    def old_holds_grant(self, now: float) -> bool:
        return bool(self._inner.holds_grant(now))

    def old_report(
        self, machine: str, order: tuple[int, int], epoch: int, notice: bool, tasks: Any,
        now: float, reachable: bool,
    ) -> tuple[str, Any]:  # fmt: skip
        """`Answer` and the epoch, `Redirect` and where to, `Forward`, or `Overtaken`."""
        found = self._inner.report(
            machine, self._order(*order), epoch, notice, tasks, now, reachable
        )
        name = type(found).__name__
        if name == "Answer":
            return name, found.epoch
        if name == "Redirect":
            return name, found.to
        assert name in ("Forward", "Overtaken")
        return name, None

    def old_answered(
        self, machine: str, order: tuple[int, int], notice: bool, tasks: Any, again: bool
    ) -> None:
        self._inner.answered(machine, self._order(*order), notice, tasks, again)

    def old_overtaken(self, machine: str, order: tuple[int, int]) -> None:
        self._inner.overtaken(machine, self._order(*order))

    def old_want(self, machine: str) -> None:
        self._inner.want(machine)

    def old_heard(self, now: float) -> list[tuple[str, int, int]]:
        return [(m, o.session, o.sequence) for m, o in self._inner.take_heard(now)]
