"""Adapters that give a leader and a relay of an earlier version the interface of this version.

They have the methods that the simulated world calls. Only plain values are passed to
`legacy.old_nodes`, whose methods begin with `old_`.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from eldercart.cluster.heartbeat_relay import Acknowledge, Decision, Forward, Redirect, Stale
from eldercart.scheduling.scheduler import JobStatus, LookupFailure, TransactionOutcome
from eldercart.units import (
    AgentEpoch,
    FencingToken,
    HeartbeatSequence,
    JobId,
    MachineId,
    MonotonicTime,
    NodeId,
    Revision,
    WallTime,
)
from eldercart.wire.state import Item
from eldercart.wire.stored_jobs import JOB_PREFIX, encode_job_record
from eldercart.wire.users import DependencyListReference, JobSpec
from versions.legacy.old_nodes import OldController, OldRecord, OldRelay

_OUTCOMES = {
    TransactionOutcome.COMMITTED: "ok",
    TransactionOutcome.CONFLICT: "conflict",
    TransactionOutcome.REJECTED: "refused",
    TransactionOutcome.INVALID: "malformed",
    TransactionOutcome.INDETERMINATE: "unknown",
}
_LOOKUP_FAILURES = {
    "UNKNOWN_JOB": LookupFailure.STATE_UNKNOWN,
    "UNDECIDED": LookupFailure.UNDECIDED,
}


def listed(item: Item) -> OldRecord:
    """Return the record as the state service lists it."""
    return {"path": item.key, "v": item.value, "stamp": item.version, "tether": item.lease}


@dataclass
class EncodedTransaction:
    """A transaction, as the bytes that the earlier version encoded."""

    content: bytes

    def body(self) -> bytes:
        return self.content


@dataclass
class PendingTransaction:
    """A transaction whose outcome is pending."""

    transaction: EncodedTransaction


class SubchunkSwitch:
    """Stands in for the transaction writer, of which the simulated world sets one attribute.

    The value of any attribute is passed on as whether the leader may write subchunks.
    """

    def __init__(self, old: OldController) -> None:
        self._old = old

    def __setattr__(self, name: str, value: Any) -> None:
        if name == "_old":
            super().__setattr__(name, value)
        else:
            self._old.old_allow_finer_parts(bool(value))


class EarlierLeader:
    """A leader of an earlier version, with the interface of `Scheduler`."""

    def __init__(self, old: OldController, epoch: FencingToken) -> None:
        self.old = old
        self.token = epoch
        self.transaction_writer = SubchunkSwitch(old)

    def load(
        self,
        jobs: Iterable[Item],
        places: Iterable[Item],
        gone: Iterable[Item],
        now: MonotonicTime,
        memories: Iterable[Item] = (),
    ) -> None:
        records = [[listed(item) for item in items] for items in (jobs, places, gone, memories)]
        self.old.old_load(records[0], records[1], records[2], now, records[3])

    def add_job(
        self,
        spec: JobSpec,
        size: int,
        at: WallTime,
        now: MonotonicTime,
        elsewhere: DependencyListReference | None = None,
    ) -> None:
        """Add the job from a record with its dependencies inline.

        The earlier leader is not given the reference to a dependency list.
        """
        record = encode_job_record(spec, size, at)
        self.old.old_learn({"path": JOB_PREFIX + spec.id, "v": record, "stamp": 1}, now)

    def job_status(self, job: JobId) -> JobStatus | LookupFailure:
        fields = self.old.old_status(job)
        return _LOOKUP_FAILURES[fields[0]] if len(fields) == 1 else JobStatus(*fields)

    def cancel_job(self, job: JobId, now: MonotonicTime) -> str | LookupFailure:
        state = self.old.old_cancel(job, now)
        return _LOOKUP_FAILURES.get(state, state)

    def tick(self, now: MonotonicTime) -> None:
        self.old.old_tick(now)

    def is_planning_due(self, now: MonotonicTime) -> bool:
        return self.old.old_plan_due(now)

    def plan(self, now: MonotonicTime) -> None:
        self.old.old_plan(now)

    # -- the state service

    @property
    def keys_to_refresh(self) -> list[str]:
        return self.old.old_rereads()

    def on_key_refreshed(self, key: str, item: Item | None, now: MonotonicTime) -> None:
        self.old.old_reread(key, None if item is None else listed(item), now)

    def take_due_end_lookups(self, now: MonotonicTime, most: int) -> list[str]:
        return self.old.old_unread_ends(now, most)

    def on_end_lookup_result(self, job: JobId, how: str | None, now: MonotonicTime) -> None:
        self.old.old_end_read(job, how, now)

    def next_learned_state_transaction(self, now: MonotonicTime) -> EncodedTransaction | None:
        body = self.old.old_memo(now)
        return None if body is None else EncodedTransaction(body)

    def next_transaction(self, now: MonotonicTime, most: int) -> PendingTransaction | None:
        body = self.old.old_transaction(now, most)
        return None if body is None else PendingTransaction(EncodedTransaction(body))

    def on_transaction_result(
        self,
        pending: PendingTransaction,
        outcome: TransactionOutcome,
        revision: Revision,
        failed: tuple[str, ...],
        now: MonotonicTime,
    ) -> bool:
        return self.old.old_transaction_done(_OUTCOMES[outcome], revision, failed, now)

    def take_finished_jobs(self) -> list[tuple[str, str]]:
        return self.old.old_finished()

    # -- workers

    def needs_next_heartbeat(self, machine: MachineId) -> bool:
        return self.old.old_wants_next(machine)

    def on_response_undelivered(self, machine: MachineId) -> None:
        self.old.old_undelivered(machine)

    def take_machines_needing_command(self) -> dict[str, list[str]]:
        return self.old.old_wanted()

    def take_probes(self) -> list[tuple[str, str]]:
        return self.old.old_probes()

    def record_probe_success(self, machine: MachineId, now: MonotonicTime) -> None:
        self.old.old_shown(machine, now)

    def record_relayed_heartbeats(
        self,
        relay: NodeId,
        orders: Iterable[tuple[MachineId, HeartbeatSequence]],
        now: MonotonicTime,
    ) -> None:
        plain = [(machine, order.agent_epoch, order.number) for machine, order in orders]
        self.old.old_heard(relay, plain, now)


class EarlierRelay:
    """A relay of an earlier version, with the interface of `HeartbeatRelay`."""

    def __init__(self, old: OldRelay, label: NodeId) -> None:
        self.old = old
        self.label = label

    @property
    def token(self) -> FencingToken:
        return FencingToken(self.old.old_epoch())

    @property
    def machine_count(self) -> int:
        return self.old.old_machines()

    def renew_lease(
        self,
        epoch: FencingToken,
        leader: NodeId,
        asked: MonotonicTime,
        now: MonotonicTime,
        most: int | None = None,
        spare: NodeId | None = None,
    ) -> None:
        self.old.old_granted(epoch, leader, asked, now, most, spare)

    def holds_lease(self, now: MonotonicTime) -> bool:
        return self.old.old_holds_grant(now)

    def handle_heartbeat(
        self,
        machine: MachineId,
        order: HeartbeatSequence,
        epoch: FencingToken,
        notice: bool,
        tasks: Any,
        now: MonotonicTime,
        reachable: bool,
    ) -> Decision:
        plain = (order.agent_epoch, order.number)
        decision, value = self.old.old_report(machine, plain, epoch, notice, tasks, now, reachable)
        match decision:
            case "Answer":
                return Acknowledge(FencingToken(value))
            case "Redirect":
                return Redirect(None if value is None else NodeId(value))
            case "Forward":
                return Forward()
        return Stale()

    def on_leader_response(
        self, machine: MachineId, order: HeartbeatSequence, notice: bool, tasks: Any, again: bool
    ) -> None:
        self.old.old_answered(machine, (order.agent_epoch, order.number), notice, tasks, again)

    def on_stale_heartbeat(self, machine: MachineId, order: HeartbeatSequence) -> None:
        self.old.old_overtaken(machine, (order.agent_epoch, order.number))

    def request_next_heartbeat(self, machine: MachineId) -> None:
        self.old.old_want(machine)

    def take_acknowledged(self, now: MonotonicTime) -> list[tuple[MachineId, HeartbeatSequence]]:
        return [
            (MachineId(machine), HeartbeatSequence(AgentEpoch(agent_epoch), number))
            for machine, agent_epoch, number in self.old.old_heard(now)
        ]
