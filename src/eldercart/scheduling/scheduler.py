"""The leader's state machine: processes events and produces commands, writes and requests.

It reads no clock and does no I/O. Its inputs are method calls that carry the time of the event:
heartbeats (`on_heartbeat`), submissions and job records (`add_job`, `load_job_record`), users'
requests (`job_status`, `cancel_job`), results of earlier outputs (`on_transaction_result`,
`on_key_refreshed`, `on_end_lookup_result`, `on_cloud_response`, `on_direct_kill_response`,
`record_probe_success`) and the passage of time (`tick`, `plan`). Its outputs are typed values that
the adapters fetch and execute: `Command`, `PendingTransaction`, `CloudRequest`, `DirectKill`,
`Probe` and `FinishedJob`.

This module and the parts that it composes, and no others, maintain three invariants:

* a launch command is sent only after the placement's record is durable;
* a task is placed again only after it is proven absent from its previous machine;
* a job's end is announced only after it is durable.
"""

import logging
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from itertools import islice

from eldercart.autoscaling.cloud_requests import CloudRequestQueue
from eldercart.autoscaling.request_types import (
    CloudRequest,
    DeleteMachines,
    GetCatalog,
    ListMachines,
    ScaleOut,
)
from eldercart.cluster.direct_kills import DirectKill, DirectKills
from eldercart.cluster.failure_detector import FailureDetector, Probe
from eldercart.cluster.heartbeats import HeartbeatHandler
from eldercart.cluster.machine_monitor import MachineMonitor
from eldercart.jobs.job import Job
from eldercart.jobs.job_records import JobRecord, JobRecordSource
from eldercart.persistence import learned_state
from eldercart.persistence.transaction_writer import TransactionWriter
from eldercart.persistence.transactions import PendingTransaction, TransactionOutcome
from eldercart.scheduling.cluster_state import ClusterState, FinishedJob
from eldercart.scheduling.pacing import AdaptiveInterval
from eldercart.scheduling.planner import Planner
from eldercart.scheduling.state_loader import StateLoader
from eldercart.scheduling.summary import log_summary
from eldercart.settings import NodeSettings, Tuning
from eldercart.units import (
    DEFAULT_INCARNATION,
    FencingToken,
    HeartbeatSequence,
    IncarnationId,
    JobId,
    MachineId,
    MonotonicTime,
    NodeId,
    Revision,
    WallTime,
)
from eldercart.wire import users, workers
from eldercart.wire.cloud import MachineType
from eldercart.wire.leader_key import LEADER_KEY
from eldercart.wire.state import Item, Transaction

log = logging.getLogger("eldercart.controller")

AUTOSCALING_MIN_INTERVAL_S = 0.3  # between the starts of two autoscaling runs
AUTOSCALING_INTERVAL_S = 1.0  # to the next autoscaling run, unless one is requested earlier
SUMMARY_INTERVAL_S = 10.0


class LookupFailure(Enum):
    """Why the leader cannot return the state of a job."""

    # The job is not in the leader's registry, or its state there may be outdated. The caller reads
    # the state from the store.
    STATE_UNKNOWN = "unknown"
    # The job's end is waiting to be written, is being written, or may already be durable.
    UNDECIDED = "undecided"


@dataclass(frozen=True, slots=True)
class JobStatus:
    """The state of a job as reported to users."""

    state: str
    done_count: int
    running_count: int
    # At most `MAX_LISTED_DEPENDENCIES` of the jobs that it depends on and that are not done.
    unmet_dependencies: tuple[JobId, ...] = ()


class Scheduler:
    """The leader's state machine: processes timed events and returns the resulting work."""

    def __init__(
        self,
        settings: NodeSettings,
        tuning: Tuning,
        token: FencingToken,
        types: dict[str, MachineType],
        now: MonotonicTime,
        wall_time: WallTime,
        incarnation: IncarnationId = DEFAULT_INCARNATION,
    ) -> None:
        """Initialize a leadership with the machine types known so far.

        `token` is the leadership's fencing token, `wall_time` the wall-clock time at `now`.
        `incarnation` identifies this run of the process.
        """
        self.settings = settings
        self.tuning = tuning
        self.token = token
        self.cluster_state = ClusterState(settings, tuning, token, types, now, wall_time - now)
        self.jobs = self.cluster_state.jobs
        self.inventory = self.cluster_state.inventory
        self.planner = Planner(self.cluster_state)
        self.transaction_writer = TransactionWriter(self.cluster_state)
        self.cloud_requests = CloudRequestQueue(
            self.cluster_state, f"{settings.label}-{incarnation}-{token}"
        )
        self.heartbeats = HeartbeatHandler(self.cluster_state, self.planner)
        self.failure_detector = FailureDetector(self.cluster_state)
        self.direct_kills = DirectKills(self.cluster_state)
        self.machine_monitor = MachineMonitor(self.cluster_state, self.failure_detector)
        self._loader = StateLoader(self.cluster_state, self.transaction_writer)
        self._autoscaling_interval = AdaptiveInterval(AUTOSCALING_MIN_INTERVAL_S)
        self._next_summary_at = now
        self._next_checkpoint_at = MonotonicTime(now + tuning.memo_s)
        # Index of the first record of the next checkpoint of the learned state.
        self._next_checkpoint_index = 0

    # -- records and submissions

    def load(
        self,
        job_items: Iterable[Item],
        placement_items: Iterable[Item],
        cleanup_items: Iterable[Item],
        now: MonotonicTime,
        learned_state_items: Iterable[Item] = (),
        incomplete_jobs: Iterable[Item] = (),
    ) -> None:
        """Load the records of the store at the start of the leadership; see `StateLoader.load`."""
        self._loader.load(
            job_items, placement_items, cleanup_items, now, learned_state_items, incomplete_jobs
        )

    def load_job_record(self, item: Item, source: JobRecordSource, now: MonotonicTime) -> None:
        """Add the job of a job record that a read or a watch returned."""
        self._loader.load_job_record(item, source, now)

    def defer_job_record(self, item: Item) -> bool:
        """Note that the record waits for its dependency list; see `StateLoader`."""
        return self._loader.defer_job_record(item)

    def on_job_records_complete(self, revision: Revision) -> None:
        """Note that every job record that existed at this revision has been added or deferred."""
        self._loader.job_record_history.complete_until(revision)

    def add_job(self, record: JobRecord, now: MonotonicTime) -> None:
        """Add a job that this node has accepted; see `StateLoader.add_job`."""
        self._loader.add_job(record, JobRecordSource.ACCEPTANCE, now)

    # -- users' requests

    def job_status(self, job_id: JobId) -> JobStatus | LookupFailure:
        """Return the job's state, or why this leader cannot announce one."""
        job = self.jobs.get(job_id)
        if job is None:
            return LookupFailure.STATE_UNKNOWN
        if job.outcome is not None:
            return JobStatus(job.outcome, job.done_count, 0)
        if job.upstream_cancelled:
            return JobStatus(users.CANCELLED, job.done_count, 0)
        if job.is_end_write_sent:
            # The end may be durable and another node may have announced it: an earlier state would
            # contradict that. Until the write is sent, no node can have read the end.
            return LookupFailure.UNDECIDED
        if job.unmet_dependencies and self._may_be_upstream_cancelled(job):
            return LookupFailure.STATE_UNKNOWN  # the caller reads the current state from the store
        return JobStatus(
            users.RUNNING if job.running_count else users.PENDING,
            job.done_count,
            job.running_count,
            tuple(islice(job.unmet_dependencies, users.MAX_LISTED_DEPENDENCIES)),
        )

    def _may_be_upstream_cancelled(self, job: Job) -> bool:
        """Return whether an upstream job may be durably cancelled without this leader knowing."""
        graph = self.cluster_state.graph
        is_any_end_uncertain = graph.has_end_lookups or any(
            finalizing.is_cancellation_requested and finalizing.is_end_write_sent
            for finalizing in self.cluster_state.finalizing_jobs.values()
        )
        return is_any_end_uncertain and graph.may_be_cancelled_upstream(job)

    def cancel_job(self, job_id: JobId, now: MonotonicTime) -> str | LookupFailure:
        """Cancel the job; return its final state if that is durable.

        UNDECIDED means that `take_finished_jobs` returns the job once its end is durable.
        """
        job = self.jobs.get(job_id)
        if job is None:
            return LookupFailure.STATE_UNKNOWN
        if job.outcome is not None:
            return job.outcome
        if job.upstream_cancelled:
            return users.CANCELLED  # it follows from the durable end of an upstream job
        # A complete job can no longer be cancelled: its end `done` may already be durable.
        if not job.is_cancellation_requested and not job.is_complete:
            self.cluster_state.mark_cancelled(job, now, now)
            self.cluster_state.mark_finalizing(job)
            self.cluster_state.kill_all_placements(job, now)
            log.info("job cancellation requested job=%s", job_id)
        return LookupFailure.UNDECIDED

    # -- workers

    def on_heartbeat(
        self, heartbeat: workers.Heartbeat, now: MonotonicTime, relay: NodeId | None = None
    ) -> list[workers.Command] | None:
        """Return the commands for the response, or None for a duplicate or outdated heartbeat."""
        return self.heartbeats.on_heartbeat(heartbeat, now, relay)

    def needs_next_heartbeat(self, machine_id: MachineId) -> bool:
        """Return whether a relay should forward the machine's next heartbeat even if unchanged."""
        return self.heartbeats.needs_next_heartbeat(machine_id)

    def record_relayed_heartbeats(
        self,
        relay: NodeId,
        acknowledged: Iterable[tuple[MachineId, HeartbeatSequence]],
        now: MonotonicTime,
    ) -> None:
        """Record heartbeats that the relay acknowledged itself because nothing had changed."""
        self.failure_detector.record_relayed_heartbeats(relay, acknowledged, now)

    def take_machines_needing_command(self) -> dict[NodeId, list[MachineId]]:
        """Return the machines whose next heartbeats should be forwarded, by relay."""
        return self.cluster_state.pending_commands.take_machines_needing_command()

    def on_relay_lost(self, relay: NodeId) -> None:
        """Record that the connection to the relay broke and messages in flight on it are lost."""
        self.heartbeats.on_relay_lost(relay)

    def on_response_undelivered(self, machine_id: MachineId) -> None:
        """Record that the commands in the last response did not reach the machine in time."""
        self.heartbeats.on_response_undelivered(machine_id)

    def record_probe_success(self, machine_id: MachineId, now: MonotonicTime) -> None:
        """Record that the machine answered a probe."""
        self.failure_detector.record_probe_success(machine_id, now)

    def take_direct_kills(self, now: MonotonicTime) -> list[DirectKill]:
        """Return the kills to send directly to workers now."""
        return self.direct_kills.take(now)

    def on_direct_kill_response(
        self,
        heartbeat: workers.Heartbeat,
        sent_at: MonotonicTime,
        now: MonotonicTime,
        *,
        executed: bool,
    ) -> None:
        """Handle the heartbeat that answers a direct kill; see `DirectKills.on_response`."""
        self.direct_kills.on_response(heartbeat, sent_at, now, executed=executed)

    def take_probes(self) -> list[Probe]:
        """Return the silent machines to probe now, with their addresses."""
        return self.failure_detector.take_probes()

    # -- time

    def exclude_stall(self, seconds: float) -> None:
        """Exclude `seconds` for which this process was stalled from the machines' silence."""
        self.failure_detector.exclude_stall(seconds)

    def tick(self, now: MonotonicTime) -> None:
        """Run the periodic checks that are due; the caller does this several times a second."""
        self.machine_monitor.check(now)
        if now >= self.cluster_state.autoscaling_due_at and self._autoscaling_interval.is_due(now):
            self._autoscaling_interval.start(now)
            next_due_at = MonotonicTime(now + AUTOSCALING_INTERVAL_S)
            self.cluster_state.request_autoscaling(next_due_at)
            self.cloud_requests.autoscale(now)
        if now >= self._next_summary_at:
            self._next_summary_at = MonotonicTime(now + SUMMARY_INTERVAL_S)
            log_summary(
                self.cluster_state,
                jobs_awaiting_cleanup=len(self.transaction_writer.jobs_to_clean_up),
            )

    def record_tick_duration(self, seconds: float) -> None:
        """Record the duration of the last tick; the intervals of its checks adapt to it."""
        self.machine_monitor.record_duration(seconds)
        self._autoscaling_interval.record_duration(seconds)

    def is_planning_due(self, now: MonotonicTime) -> bool:
        """Return whether a planning pass should run now."""
        # While the store is unavailable, no new placement can be written and only tasks in the
        # prelaunch queues can start. A planning pass would only cancel their placements.
        return not self.cluster_state.is_store_unavailable and self.planner.is_due(
            now, self.transaction_writer.unwritten_record_count()
        )

    def plan(self, now: MonotonicTime) -> None:
        """Run a planning pass."""
        self.planner.plan(now)

    # -- state service

    def next_transaction(
        self, now: MonotonicTime, max_operations: int
    ) -> PendingTransaction | None:
        """Return the next transaction, unless one is in flight; see `on_transaction_result`."""
        return self.transaction_writer.next_transaction(now, max_operations)

    def on_transaction_result(
        self,
        pending: PendingTransaction,
        outcome: TransactionOutcome,
        revision: Revision,
        failed_keys: tuple[str, ...],
        now: MonotonicTime,
    ) -> bool:
        """Handle the result of a transaction; return whether this leader must step down."""
        return self.transaction_writer.on_transaction_result(
            pending, outcome, revision, failed_keys, now
        )

    def next_learned_state_transaction(
        self, now: MonotonicTime, max_operations: int | None = None
    ) -> Transaction | None:
        """Return a transaction with part of the learned state, or None if no checkpoint is due.

        Its outcome is not reported back. If there are more records than fit into a transaction,
        each checkpoint continues where the previous one ended.
        """
        if now < self._next_checkpoint_at:
            return None
        self._next_checkpoint_at = MonotonicTime(now + self.tuning.memo_s)
        limit = self.settings.txn_ops
        if max_operations is not None:
            limit = min(limit, max_operations)
        records = learned_state.learned_state_records(self.cluster_state)
        writes = learned_state.next_learned_state_writes(
            records, self._next_checkpoint_index, limit
        )
        self._next_checkpoint_index = (self._next_checkpoint_index + len(writes)) % len(records)
        transaction = Transaction({LEADER_KEY: Revision(self.token)})
        transaction.operations += writes
        return transaction

    @property
    def has_unpersisted_outcomes(self) -> bool:
        """Whether any job is complete or cancelled and its end is not durable yet."""
        return bool(self.cluster_state.finalizing_jobs)

    @property
    def keys_to_refresh(self) -> set[str]:
        """Keys whose versions must be read because a write to them had an unknown outcome."""
        return self.transaction_writer.keys_to_refresh

    @property
    def refreshes_in_flight(self) -> set[str]:
        """Keys to refresh whose reads are in flight."""
        return self.transaction_writer.refreshes_in_flight

    def on_key_refreshed(self, key: str, item: Item | None, now: MonotonicTime) -> None:
        """Handle the read of a refreshed key; `item` is None if the key is absent."""
        self.transaction_writer.on_key_refreshed(key, item, now)

    def take_due_end_lookups(self, now: MonotonicTime, max_lookups: int) -> list[JobId]:
        """Return the upstream jobs, at most `max_lookups`, whose end records to read now."""
        return self.cluster_state.graph.take_due_end_lookups(now, max_lookups)

    def on_end_lookup_result(self, job_id: JobId, outcome: str | None, now: MonotonicTime) -> None:
        """Handle the read of an end record.

        `outcome` is None if there is no record or the read failed.
        """
        if outcome is None:
            self.cluster_state.graph.on_end_not_found(job_id, now)
        else:
            self.cluster_state.on_job_finished(job_id, outcome, now)

    def take_finished_jobs(self) -> list[FinishedJob]:
        """Return the jobs whose ends became durable since the last call."""
        return self.cluster_state.take_finished_jobs()

    def take_start_latencies_s(self) -> list[float]:
        """Return the seconds from readiness to start of tasks started since the last call."""
        return self.cluster_state.take_start_latencies_s()

    # -- cloud

    def next_cloud_request(self, now: MonotonicTime) -> CloudRequest | None:
        """Return the next request to the cloud, or None if none is due.

        The response must be passed to `on_cloud_response`.
        """
        return self.cloud_requests.next_request(now)

    def on_cloud_response(
        self, request: CloudRequest, status: int | None, body: bytes, now: MonotonicTime
    ) -> None:
        """Handle the response to a request; `status` is None if no response arrived."""
        self.cloud_requests.on_answer(request, status, body, now)


__all__ = [
    "CloudRequest",
    "DeleteMachines",
    "DirectKill",
    "GetCatalog",
    "JobStatus",
    "ListMachines",
    "LookupFailure",
    "PendingTransaction",
    "ScaleOut",
    "Scheduler",
    "TransactionOutcome",
]
