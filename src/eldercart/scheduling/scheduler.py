"""The leader's state machine: reports, jobs and answers in; commands, writes and cloud calls out.

It holds no clock and does no I/O. The adapters call `tick`, ask `next_txn` and `next_cloud` for
work, carry it out and hand the outcome back. Three promises are kept in `core` and nowhere else:

* a launch is sent only for a placement whose record is durable;
* a task moves only when its old place is proven empty;
* an end is told only once it is durable.
"""

import logging
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from itertools import islice

from eldercart.autoscaling.cloud_requests import CloudRequestQueue
from eldercart.autoscaling.inventory_updates import placeholder_type
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
from eldercart.cluster.inventory import MachineState
from eldercart.cluster.machine_monitor import MachineMonitor
from eldercart.election.state_machine import LEADER_KEY
from eldercart.jobs.registry import (
    CLEANUP_PREFIX,
    JOB_PREFIX,
    Job,
    Placement,
    decode_cancellation_time,
    decode_end_record,
    decode_job_record,
    resolved_list_reference,
)
from eldercart.persistence import learned_state
from eldercart.persistence.transaction_writer import (
    PendingTransaction,
    TransactionOutcome,
    TransactionWriter,
)
from eldercart.scheduling import feasibility
from eldercart.scheduling.cluster_state import ClusterState, FinishedJob
from eldercart.scheduling.pacing import AdaptiveInterval
from eldercart.scheduling.planner import Planner
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
from eldercart.wire import MalformedMessage, users, workers
from eldercart.wire.cloud import MachineType
from eldercart.wire.state import Item, Transaction
from eldercart.wire.users import DependencyListReference, JobSpec

log = logging.getLogger("eldercart.controller")


AUTOSCALING_MIN_INTERVAL_S = (
    0.3  # least time between two looks at demand and supply, whatever happens
)


class LookupFailure(Enum):
    """Why the leader tells no state of a job."""

    UNKNOWN_JOB = "unknown"
    UNDECIDED = "undecided"


@dataclass(frozen=True, slots=True)
class JobStatus:
    """What a poll of a job is told."""

    state: str
    done_count: int
    running_count: int
    unmet_dependencies: tuple[
        JobId, ...
    ] = ()  # some of the jobs that it awaits and that are not done


class Scheduler:
    """The leader: takes events with their times, hands out the work that follows."""

    def __init__(
        self,
        settings: NodeSettings,
        tuning: Tuning,
        epoch: FencingToken,
        types: dict[str, MachineType],
        now: MonotonicTime,
        wall: WallTime,
        incarnation: IncarnationId = DEFAULT_INCARNATION,
    ) -> None:
        """`types`: the machine types known so far; `wall`: the time of day at `now`."""
        self.settings = settings
        self.tuning = tuning
        self.token = epoch
        self._wall_clock_offset_s = (
            wall - now
        )  # time of day at steady zero, good to the settings' bound
        self.cluster_state = ClusterState(settings, tuning, epoch, types, now)
        self.cluster_state.wall_clock_offset_s = self._wall_clock_offset_s
        self.jobs = self.cluster_state.jobs
        self.inventory = self.cluster_state.inventory
        self.planner = Planner(self.cluster_state)
        self.transaction_writer = TransactionWriter(self.cluster_state)
        self.cloud_requests = CloudRequestQueue(
            self.cluster_state, f"{settings.label}-{incarnation}-{epoch}"
        )
        self.heartbeats = HeartbeatHandler(self.cluster_state, self.planner)
        self.failure_detector = FailureDetector(self.cluster_state)
        self.direct_kills = DirectKills(self.cluster_state)
        self.machine_monitor = MachineMonitor(self.cluster_state, self.failure_detector)
        self._autoscaling_interval = AdaptiveInterval(AUTOSCALING_MIN_INTERVAL_S)
        self._next_summary_at = now
        self._next_checkpoint_at = MonotonicTime(now + tuning.memo_s)
        self._next_checkpoint_index = 0  # of the records of learned_state, the one whose turn it is
        self._unresolved_cleanup_markers: dict[
            JobId, Item
        ] = {}  # of ended jobs whose records are not read yet

    # ------------------------------------------------------------------ take-over

    def load(
        self,
        job_items: Iterable[Item],
        place_items: Iterable[Item],
        cleanup_items: Iterable[Item],
        now: MonotonicTime,
        memory_items: Iterable[Item] = (),
        incomplete_jobs: Iterable[Item] = (),
    ) -> None:
        """Takes over the records. Every recorded placement may be on its machine.
        `incomplete_jobs`: job records whose dependency lists are not read yet; `learn_job` takes
        them later."""
        for item in memory_items:
            learned_state.restore_learned_state(self.cluster_state, item.key, item.value)
        job_items = list(job_items)
        for item in job_items:
            self.load_job_record(item, now)
        loaded = self.transaction_writer.placement_records.load_records(place_items, self.jobs, now)
        recorded = {item.key[len(JOB_PREFIX) :] for item in (*job_items, *incomplete_jobs)}
        self._load_cleanup_markers(cleanup_items, recorded, now)
        for job in self.jobs.jobs.values():
            self._finish_load(job, now)
        self._load_placements(loaded, now)
        log.info(
            "took over epoch=%d jobs=%d placements=%d orphans=%d",
            self.token,
            len(self.jobs.jobs),
            len(loaded),
            len(self.transaction_writer.orphaned_keys),
        )

    def _load_cleanup_markers(
        self, markers: Iterable[Item], recorded: set[str], now: MonotonicTime
    ) -> None:
        """Jobs that have ended and wait to be cleaned up. A marker without a job record is a
        leftover; one whose record can't be read yet stays, or whoever can read the record would
        take the job for open."""
        for item in markers:
            job_id = JobId(item.key[len(CLEANUP_PREFIX) :])
            job = self.jobs.get(job_id)
            if job is not None:
                self._load_finished_job(job, item, now)
            elif job_id in recorded:
                self._unresolved_cleanup_markers[job_id] = item
            else:
                self.transaction_writer.orphaned_keys.append((item.key, item.version))

    def _load_finished_job(self, job: Job, marker: Item, now: MonotonicTime) -> None:
        job.outcome = decode_end_record(marker.value)
        if job.outcome == users.CANCELLED:
            at = decode_cancellation_time(marker.value)
            asked = now if at is None else MonotonicTime(min(now, at - self._wall_clock_offset_s))
            self.cluster_state.mark_cancelled(job, asked, now)
        self.transaction_writer.jobs_to_clean_up[job.id] = job
        self.cluster_state.on_job_finished(job.id, job.outcome, now)

    def _finish_load(self, job: Job, now: MonotonicTime) -> None:
        """Once all that the records tell of the job is known."""
        self.jobs.finish_load(job)
        if job.chunks:
            self.cluster_state.apply_graph_change(
                self.cluster_state.graph.on_job_started(job, now), now
            )
        if job.is_complete and job.outcome is None:
            self.cluster_state.finalizing_jobs[job.id] = job

    def _load_placements(self, loaded: list[Placement], now: MonotonicTime) -> None:
        """Whatever is recorded may be on its machine, until that is heard or given up."""
        heard = MonotonicTime(now + self.tuning.takeover_grace_s)
        for p in loaded:
            m = self.inventory.get(p.machine_id)
            if m is None:
                # Type and zone come with its report; until then it takes nothing new.
                m = self.inventory.add(
                    p.machine_id,
                    placeholder_type("?"),
                    feasibility.UNKNOWN_ZONE,
                    True,
                    MachineState.UP,
                    now,
                    heard,
                )
            p.is_terminating = p.job.outcome is not None
            self.inventory.allocate(m, p)
            # Its run time will be seen only in part. Taken for a whole one it would make all
            # later tasks of its job look slow, and healthy machines with them.
            p.is_start_known = False

    def load_job_record(self, item: Item, now: MonotonicTime) -> None:
        """A job record, from a read or a watch."""
        job_id = JobId(item.key[len(JOB_PREFIX) :])
        if job_id in self.jobs:
            return
        try:
            spec, size, at = decode_job_record(job_id, item.value)
        except (MalformedMessage, KeyError, TypeError, ValueError) as err:
            log.error("job record unreadable job=%s: %s", job_id, err)
            return
        self.add_job(spec, size, WallTime(at), now, resolved_list_reference(item.value))
        marker = self._unresolved_cleanup_markers.pop(job_id, None)
        if marker is not None:
            self._load_finished_job(self.jobs.jobs[job_id], marker, now)

    def add_job(
        self,
        spec: JobSpec,
        size: int,
        at: WallTime,
        now: MonotonicTime,
        elsewhere: DependencyListReference | None = None,
    ) -> None:
        """A job that was accepted; `elsewhere`: its list of dependencies, if not in its record."""
        if spec.id in self.jobs:
            return
        scheduler = self.cluster_state
        arrived = MonotonicTime(min(now, at - self._wall_clock_offset_s))
        scheduler.on_job_submitted(self.jobs.add(spec, size, arrived, elsewhere), now)
        log.info(
            "job accepted job=%s class=%s team=%s tasks=%d cpus=%g image=%s",
            spec.id,
            spec.job_class,
            spec.team,
            spec.task_count,
            spec.cpus,
            spec.image,
        )

    # ------------------------------------------------------------------ users

    def job_status(self, job_id: JobId) -> JobStatus | LookupFailure:
        """The job's state as this leader may tell it; a Verdict where it may not."""
        job = self.jobs.get(job_id)
        if job is None:
            return LookupFailure.UNKNOWN_JOB
        if job.outcome is not None:
            return JobStatus(job.outcome, job.done_count, 0)
        if job.upstream_cancelled:
            return JobStatus(users.CANCELLED, job.done_count, 0)
        if job.is_end_write_sent:
            # The end may be durable already and told elsewhere; an older answer would go back.
            # As long as it was not sent, nobody can have been told, however long it must wait.
            return LookupFailure.UNDECIDED
        if job.unmet_dependencies and self._may_be_upstream_cancelled(job):
            return LookupFailure.UNKNOWN_JOB  # a fresh read can tell
        state = users.RUNNING if job.running_count else users.PENDING
        waiting = (
            tuple(islice(job.unmet_dependencies, users.MAX_LISTED_DEPENDENCIES))
            if job.unmet_dependencies
            else ()
        )
        return JobStatus(state, job.done_count, job.running_count, waiting)

    def _may_be_upstream_cancelled(self, job: Job) -> bool:
        graph, ending = self.cluster_state.graph, self.cluster_state.finalizing_jobs.values()
        doubt = graph.has_end_lookups or any(j.is_cancelled and j.is_end_write_sent for j in ending)
        return doubt and graph.may_be_cancelled_upstream(job)

    def cancel_job(self, job_id: JobId, now: MonotonicTime) -> str | LookupFailure:
        """The final state if it is durable; UNDECIDED: wait for `finished`."""
        job = self.jobs.get(job_id)
        if job is None:
            return LookupFailure.UNKNOWN_JOB
        if job.outcome is not None:
            return job.outcome
        if job.upstream_cancelled:
            return users.CANCELLED  # the end of the job before it is durable
        if not job.is_cancelled and not job.is_complete:
            # Of a complete one the end is on its way, and it may be durable already: `done`.
            self.cluster_state.mark_cancelled(job, now, now)
            self.cluster_state.finalizing_jobs[job_id] = job
            self.cluster_state.kill_all_placements(job, now)
            log.info("cancel asked job=%s", job_id)
        return LookupFailure.UNDECIDED

    # ------------------------------------------------------------------ workers

    def on_heartbeat(
        self, r: workers.Heartbeat, now: MonotonicTime, relay: NodeId | None = None
    ) -> list[workers.Command] | None:
        """The commands to answer with; None: the report is older than one already seen."""
        return self.heartbeats.on_heartbeat(r, now, relay)

    def needs_next_heartbeat(self, machine: MachineId) -> bool:
        """Whether the machine's next report is wanted even if it tells nothing new."""
        return self.heartbeats.needs_next_heartbeat(machine)

    def record_relayed_heartbeats(
        self,
        relay: NodeId,
        orders: Iterable[tuple[MachineId, HeartbeatSequence]],
        now: MonotonicTime,
    ) -> None:
        """A relay tells whom it answered by itself: nothing has changed there."""
        self.failure_detector.record_relayed_heartbeats(relay, orders, now)

    def take_machines_needing_command(self) -> dict[NodeId, list[MachineId]]:
        """By relay, the machines whose next reports are wanted here."""
        return self.cluster_state.take_machines_needing_command()

    def on_relay_lost(self, relay: NodeId) -> None:
        """The connection to the relay is gone, and with it what was sent on it."""
        self.heartbeats.on_relay_lost(relay)

    def on_response_undelivered(self, machine: MachineId) -> None:
        """The commands of the last answer surely did not reach the machine in time."""
        self.heartbeats.on_response_undelivered(machine)

    def record_probe_success(self, machine: MachineId, now: MonotonicTime) -> None:
        """The machine has answered when it was asked directly."""
        self.failure_detector.record_probe_success(machine, now)

    def take_direct_kills(self, now: MonotonicTime) -> list[DirectKill]:
        """Kills that go straight to the workers."""
        return self.direct_kills.take(now)

    def on_direct_kill_response(
        self, r: workers.Heartbeat, executed: bool, sent: MonotonicTime, now: MonotonicTime
    ) -> None:
        """The report that answers a direct command sent at `sent`."""
        self.direct_kills.on_response(r, executed, sent, now)

    def take_probes(self) -> list[Probe]:
        """Silent machines to be asked directly, with their addresses."""
        return self.failure_detector.take_probes()

    # ------------------------------------------------------------------ time

    def exclude_stall(self, seconds: float) -> None:
        """This process did not run for so long: the silence meanwhile was its own."""
        self.failure_detector.exclude_stall(seconds)

    def tick(self, now: MonotonicTime) -> None:
        """What is due by the clock alone; called several times a second."""
        self.machine_monitor.check(now)
        if now >= self.cluster_state.autoscaling_due_at and self._autoscaling_interval.is_due(now):
            self._autoscaling_interval.start(now)
            self.cluster_state.autoscaling_due_at = MonotonicTime(now + 1.0)
            self.cloud_requests.autoscale(now)
        if now >= self._next_summary_at:
            self._next_summary_at = MonotonicTime(now + 10.0)
            log_summary(
                self.cluster_state,
                jobs_awaiting_cleanup=len(self.transaction_writer.jobs_to_clean_up),
            )

    def record_tick_duration(self, seconds: float) -> None:
        """The last tick took so long; what it did is repeated at a pace that this sets."""
        self.machine_monitor.record_duration(seconds)
        self._autoscaling_interval.record_duration(seconds)

    def is_planning_due(self, now: MonotonicTime) -> bool:
        """Whether a pass of placing is worth its cost now."""
        # While nothing can be written, nothing new can be placed, and what was written ahead is
        # all that can start: to plan anew would only take it back.
        return not self.cluster_state.is_store_unavailable and self.planner.is_due(
            now, self.transaction_writer.unwritten_record_count()
        )

    def plan(self, now: MonotonicTime) -> None:
        """One pass of placing."""
        self.planner.plan(now)

    # ------------------------------------------------------------------ state service

    def next_transaction(self, now: MonotonicTime, ops: int) -> PendingTransaction | None:
        """The next transaction of at most `ops` changes, if none is under way; see `txn_done`."""
        return self.transaction_writer.next_transaction(now, ops)

    def next_learned_state_transaction(
        self, now: MonotonicTime, most_changes: int | None = None
    ) -> Transaction | None:
        """Now and then, a transaction that keeps what was learned, of at most so many changes;
        nobody waits for its outcome."""
        if now < self._next_checkpoint_at:
            return None
        self._next_checkpoint_at = MonotonicTime(now + self.tuning.memo_s)
        txn = Transaction({LEADER_KEY: Revision(self.token)})
        # There may be more of them than a transaction takes: then they take turns.
        records = learned_state.learned_state_records(self.cluster_state)
        most = self.settings.txn_ops
        most = most if most_changes is None else min(most, most_changes)
        puts = learned_state.next_learned_state_writes(records, self._next_checkpoint_index, most)
        self._next_checkpoint_index = (self._next_checkpoint_index + len(puts)) % len(records)
        txn.operations += puts
        return txn

    @property
    def has_unpersisted_outcomes(self) -> bool:
        """Whether a job has ended and its end is not durable yet."""
        return bool(self.cluster_state.finalizing_jobs)

    @property
    def keys_to_refresh(self) -> set[str]:
        """Keys whose version only a read can tell."""
        return self.transaction_writer.keys_to_refresh

    @property
    def refreshes_in_flight(self) -> set[str]:
        """Of these, the keys that are being read."""
        return self.transaction_writer.refreshes_in_flight

    def on_transaction_result(
        self,
        pending: PendingTransaction,
        outcome: TransactionOutcome,
        revision: Revision,
        failed: tuple[str, ...],
        now: MonotonicTime,
    ) -> bool:
        """Returns whether this leader is deposed."""
        return self.transaction_writer.on_transaction_result(
            pending, outcome, revision, failed, now
        )

    def on_key_refreshed(self, key: str, item: Item | None, now: MonotonicTime) -> None:
        """A key that was to be read again; None: it is absent."""
        self.transaction_writer.on_key_refreshed(key, item, now)

    def take_due_end_lookups(self, now: MonotonicTime, most: int) -> list[JobId]:
        """Jobs that others await and whose ends must be read."""
        return self.cluster_state.graph.take_due_end_lookups(now, most)

    def on_end_lookup_result(self, job: JobId, how: str | None, now: MonotonicTime) -> None:
        """The durable end of a job; None: there is none, or it could not be read."""
        if how is None:
            self.cluster_state.graph.on_end_not_found(job, now)
        else:
            self.cluster_state.on_job_finished(job, how, now)

    def take_finished_jobs(self) -> list[FinishedJob]:
        """Ends that became durable since the last call."""
        out, self.cluster_state.finished_jobs = self.cluster_state.finished_jobs, []
        return out

    def take_start_latencies_s(self) -> list[float]:
        """Seconds from readiness to the start, of the tasks that began since the last call."""
        out, self.cluster_state.start_latencies_s = self.cluster_state.start_latencies_s, []
        return out

    # ------------------------------------------------------------------ cloud

    def next_cloud_request(self, now: MonotonicTime) -> CloudRequest | None:
        """The next call to the cloud, if one is due; see `cloud_done`."""
        return self.cloud_requests.next_request(now)

    def on_cloud_response(
        self, call: CloudRequest, status: int | None, body: bytes, now: MonotonicTime
    ) -> None:
        """The answer to a call; None: there was none."""
        self.cloud_requests.on_answer(call, status, body, now)


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
