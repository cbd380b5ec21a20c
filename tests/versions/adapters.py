"""A leader and a relay of an earlier version, with the methods of this version's: what the
simulated world asks of either. Only plain values cross to `legacy.old_nodes`, whose methods begin
with `old_`.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from eldercart.cluster.heartbeat_relay import Answer, Decision, Forward, Overtaken, Redirect
from eldercart.jobs.registry import JOB, job_record
from eldercart.scheduling.scheduler import JobStatus, Outcome, Verdict
from eldercart.units import (
    Epoch,
    JobId,
    MachineId,
    NodeId,
    ReportOrder,
    Revision,
    Session,
    Steady,
    WallTime,
)
from eldercart.wire.state import Item
from eldercart.wire.users import JobSpec, ListReference
from versions.legacy.old_nodes import OldController, OldRecord, OldRelay

_OUTCOMES = {
    Outcome.OK: "ok",
    Outcome.CONFLICT: "conflict",
    Outcome.REFUSED: "refused",
    Outcome.MALFORMED: "malformed",
    Outcome.UNKNOWN: "unknown",
}
_VERDICTS = {"UNKNOWN_JOB": Verdict.UNKNOWN_JOB, "UNDECIDED": Verdict.UNDECIDED}


def listed(item: Item) -> OldRecord:
    """As the state service lists it."""
    return {"path": item.key, "v": item.value, "stamp": item.version, "tether": item.lease}


@dataclass
class Written:
    """A transaction of the earlier version: its own bytes."""

    content: bytes

    def body(self) -> bytes:
        return self.content


@dataclass
class Pending:
    """One that waits for its outcome."""

    txn: Written


class PartsAllowed:
    """Where the simulated world says whether all nodes read finer parts."""

    def __init__(self, old: OldController) -> None:
        self._old = old

    def __setattr__(self, name: str, value: Any) -> None:
        if name == "_old":
            super().__setattr__(name, value)
        else:
            self._old.old_allow_finer_parts(bool(value))


class EarlierLeader:
    """An earlier version's leader."""

    def __init__(self, old: OldController, epoch: Epoch) -> None:
        self.old = old
        self.epoch = epoch
        self.records = PartsAllowed(old)

    def load(
        self,
        jobs: Iterable[Item],
        places: Iterable[Item],
        gone: Iterable[Item],
        now: Steady,
        memories: Iterable[Item] = (),
    ) -> None:
        lists = [[listed(item) for item in items] for items in (jobs, places, gone, memories)]
        self.old.old_load(lists[0], lists[1], lists[2], now, lists[3])

    def add_job(
        self,
        spec: JobSpec,
        size: int,
        at: WallTime,
        now: Steady,
        elsewhere: ListReference | None = None,
    ) -> None:
        """It reads the record, whole: it does not remember where its list of dependencies is."""
        record = job_record(spec, size, at)
        self.old.old_learn({"path": JOB + spec.id, "v": record, "stamp": 1}, now)

    def status(self, job: JobId) -> JobStatus | Verdict:
        found = self.old.old_status(job)
        return _VERDICTS[found[0]] if len(found) == 1 else JobStatus(*found)

    def cancel(self, job: JobId, now: Steady) -> str | Verdict:
        found = self.old.old_cancel(job, now)
        return _VERDICTS.get(found, found)

    def tick(self, now: Steady) -> None:
        self.old.old_tick(now)

    def plan_due(self, now: Steady) -> bool:
        return self.old.old_plan_due(now)

    def plan(self, now: Steady) -> None:
        self.old.old_plan(now)

    # -- the state service

    @property
    def reread(self) -> list[str]:
        return self.old.old_rereads()

    def reread_done(self, key: str, item: Item | None, now: Steady) -> None:
        self.old.old_reread(key, None if item is None else listed(item), now)

    def take_unread(self, now: Steady, most: int) -> list[str]:
        return self.old.old_unread_ends(now, most)

    def end_read(self, job: JobId, how: str | None, now: Steady) -> None:
        self.old.old_end_read(job, how, now)

    def next_memory_txn(self, now: Steady) -> Written | None:
        found = self.old.old_memo(now)
        return None if found is None else Written(found)

    def next_txn(self, now: Steady, most: int) -> Pending | None:
        found = self.old.old_transaction(now, most)
        return None if found is None else Pending(Written(found))

    def txn_done(
        self,
        pending: Pending,
        outcome: Outcome,
        revision: Revision,
        failed: tuple[str, ...],
        now: Steady,
    ) -> bool:
        return self.old.old_transaction_done(_OUTCOMES[outcome], revision, failed, now)

    def take_finished(self) -> list[tuple[str, str]]:
        return self.old.old_finished()

    # -- workers

    def wants_next(self, machine: MachineId) -> bool:
        return self.old.old_wants_next(machine)

    def undelivered(self, machine: MachineId) -> None:
        self.old.old_undelivered(machine)

    def take_wants(self) -> dict[str, list[str]]:
        return self.old.old_wanted()

    def take_probes(self) -> list[tuple[str, str]]:
        return self.old.old_probes()

    def shown(self, machine: MachineId, now: Steady) -> None:
        self.old.old_shown(machine, now)

    def heard(
        self, relay: NodeId, orders: Iterable[tuple[MachineId, ReportOrder]], now: Steady
    ) -> None:
        plain = [(machine, order.session, order.sequence) for machine, order in orders]
        self.old.old_heard(relay, plain, now)


class EarlierRelay:
    """An earlier version's relay."""

    def __init__(self, old: OldRelay, label: NodeId) -> None:
        self.old = old
        self.label = label

    @property
    def epoch(self) -> Epoch:
        return Epoch(self.old.old_epoch())

    @property
    def machines(self) -> int:
        return self.old.old_machines()

    def granted(
        self,
        epoch: Epoch,
        leader: NodeId,
        asked: Steady,
        now: Steady,
        most: int | None = None,
        spare: NodeId | None = None,
    ) -> None:
        self.old.old_granted(epoch, leader, asked, now, most, spare)

    def holds_grant(self, now: Steady) -> bool:
        return self.old.old_holds_grant(now)

    def report(
        self,
        machine: MachineId,
        order: ReportOrder,
        epoch: Epoch,
        notice: bool,
        tasks: Any,
        now: Steady,
        reachable: bool,
    ) -> Decision:
        plain = (order.session, order.sequence)
        how, what = self.old.old_report(machine, plain, epoch, notice, tasks, now, reachable)
        match how:
            case "Answer":
                return Answer(Epoch(what))
            case "Redirect":
                return Redirect(None if what is None else NodeId(what))
            case "Forward":
                return Forward()
        return Overtaken()

    def answered(
        self, machine: MachineId, order: ReportOrder, notice: bool, tasks: Any, again: bool
    ) -> None:
        self.old.old_answered(machine, (order.session, order.sequence), notice, tasks, again)

    def overtaken(self, machine: MachineId, order: ReportOrder) -> None:
        self.old.old_overtaken(machine, (order.session, order.sequence))

    def want(self, machine: MachineId) -> None:
        self.old.old_want(machine)

    def take_heard(self, now: Steady) -> list[tuple[MachineId, ReportOrder]]:
        return [
            (MachineId(machine), ReportOrder(Session(session), number))
            for machine, session, number in self.old.old_heard(now)
        ]
