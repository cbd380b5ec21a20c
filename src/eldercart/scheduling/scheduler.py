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

from eldercart.autoscaling.cloud_requests import (
    CloudCall,
    CloudWork,
    Delete,
    GetCatalog,
    ListPage,
    Rent,
    unknown_type,
)
from eldercart.cluster.direct_kills import DirectOrders, Order
from eldercart.cluster.failure_detector import Probe, Silence
from eldercart.cluster.heartbeats import Reports
from eldercart.cluster.inventory import MachineState
from eldercart.cluster.machine_monitor import MachineWatch
from eldercart.election.state_machine import LEAD_KEY
from eldercart.jobs.registry import (
    CLEANUP,
    JOB,
    Job,
    Placement,
    asked_at,
    end_of,
    list_read_at,
    parse_job_record,
)
from eldercart.persistence import learned_state
from eldercart.persistence.transaction_writer import Outcome, PendingTxn, Records
from eldercart.scheduling import feasibility
from eldercart.scheduling.cluster_state import FinishedJob, SchedulerState
from eldercart.scheduling.pacing import PacedWork
from eldercart.scheduling.planner import Planner
from eldercart.scheduling.summary import log_summary
from eldercart.settings import NodeSettings, Tuning
from eldercart.units import (
    ONLY_INCARNATION,
    Epoch,
    IncarnationId,
    JobId,
    MachineId,
    NodeId,
    ReportOrder,
    Revision,
    Steady,
    WallTime,
)
from eldercart.wire import Malformed, users, workers
from eldercart.wire.cloud import MachineType
from eldercart.wire.state import Item, Txn
from eldercart.wire.users import JobSpec, ListReference

log = logging.getLogger("eldercart.controller")


RENTAL_PACE_S = 0.3  # least time between two looks at demand and supply, whatever happens


class Verdict(Enum):
    """Why the leader tells no state of a job."""

    UNKNOWN_JOB = "unknown"
    UNDECIDED = "undecided"


@dataclass(frozen=True, slots=True)
class JobStatus:
    """What a poll of a job is told."""

    state: str
    done: int
    running: int
    waiting: tuple[JobId, ...] = ()  # some of the jobs that it awaits and that are not done


class Controller:
    """The leader: takes events with their times, hands out the work that follows."""

    def __init__(
        self,
        settings: NodeSettings,
        tuning: Tuning,
        epoch: Epoch,
        types: dict[str, MachineType],
        now: Steady,
        wall: WallTime,
        incarnation: IncarnationId = ONLY_INCARNATION,
    ) -> None:
        """`types`: the machine types known so far; `wall`: the time of day at `now`."""
        self.settings = settings
        self.tuning = tuning
        self.epoch = epoch
        self._zero_wall = wall - now  # time of day at steady zero, good to the settings' bound
        self.scheduler = SchedulerState(settings, tuning, epoch, types, now)
        self.scheduler.zero_wall = self._zero_wall
        self.jobs = self.scheduler.jobs
        self.fleet = self.scheduler.fleet
        self.planner = Planner(self.scheduler)
        self.records = Records(self.scheduler)
        self.cloud = CloudWork(self.scheduler, f"{settings.label}-{incarnation}-{epoch}")
        self.reports = Reports(self.scheduler, self.planner)
        self.silence = Silence(self.scheduler)
        self.orders = DirectOrders(self.scheduler)
        self.machine_watch = MachineWatch(self.scheduler, self.silence)
        self._renting = PacedWork(RENTAL_PACE_S)
        self._summary_due = now
        self._memory_due = Steady(now + tuning.memo_s)
        self._memory_next = 0  # of the records of learned_state, the one whose turn it is
        self._markers: dict[JobId, Item] = {}  # of ended jobs whose records are not read yet

    # ------------------------------------------------------------------ take-over

    def load(
        self,
        job_items: Iterable[Item],
        place_items: Iterable[Item],
        cleanup_items: Iterable[Item],
        now: Steady,
        memory_items: Iterable[Item] = (),
        incomplete_jobs: Iterable[Item] = (),
    ) -> None:
        """Takes over the records. Every recorded placement may be on its machine.
        `incomplete_jobs`: job records whose dependency lists are not read yet; `learn_job` takes
        them later."""
        for item in memory_items:
            learned_state.recall(self.scheduler, item.key, item.value)
        job_items = list(job_items)
        for item in job_items:
            self.learn_job(item, now)
        loaded = self.records.placement_records.load(place_items, self.jobs, now)
        recorded = {item.key[len(JOB) :] for item in (*job_items, *incomplete_jobs)}
        self._load_markers(cleanup_items, recorded, now)
        for job in self.jobs.jobs.values():
            self._finish_load(job, now)
        self._load_placements(loaded, now)
        log.info(
            "took over epoch=%d jobs=%d placements=%d orphans=%d",
            self.epoch,
            len(self.jobs.jobs),
            len(loaded),
            len(self.records.orphans),
        )

    def _load_markers(self, markers: Iterable[Item], recorded: set[str], now: Steady) -> None:
        """Jobs that have ended and wait to be cleaned up. A marker without a job record is a
        leftover; one whose record can't be read yet stays, or whoever can read the record would
        take the job for open."""
        for item in markers:
            job_id = JobId(item.key[len(CLEANUP) :])
            job = self.jobs.get(job_id)
            if job is not None:
                self._load_ended(job, item, now)
            elif job_id in recorded:
                self._markers[job_id] = item
            else:
                self.records.orphans.append((item.key, item.version))

    def _load_ended(self, job: Job, marker: Item, now: Steady) -> None:
        job.ended = end_of(marker.value)
        if job.ended == users.CANCELLED:
            at = asked_at(marker.value)
            asked = now if at is None else Steady(min(now, at - self._zero_wall))
            self.scheduler.cancelled(job, asked, now)
        self.records.cleaning[job.id] = job
        self.scheduler.ended(job.id, job.ended, now)

    def _finish_load(self, job: Job, now: Steady) -> None:
        """Once all that the records tell of the job is known."""
        self.jobs.finish_load(job)
        if job.chunks:
            self.scheduler.take(self.scheduler.graph.begun(job, now), now)
        if job.complete and job.ended is None:
            self.scheduler.ending[job.id] = job

    def _load_placements(self, loaded: list[Placement], now: Steady) -> None:
        """Whatever is recorded may be on its machine, until that is heard or given up."""
        heard = Steady(now + self.tuning.takeover_grace_s)
        for p in loaded:
            m = self.fleet.get(p.machine)
            if m is None:
                # Type and zone come with its report; until then it takes nothing new.
                m = self.fleet.add(
                    p.machine,
                    unknown_type("?"),
                    feasibility.UNKNOWN_ZONE,
                    True,
                    MachineState.UP,
                    now,
                    heard,
                )
            p.stopping = p.job.ended is not None
            self.fleet.occupy(m, p)
            # Its run time will be seen only in part. Taken for a whole one it would make all
            # later tasks of its job look slow, and healthy machines with them.
            p.since_known = False

    def learn_job(self, item: Item, now: Steady) -> None:
        """A job record, from a read or a watch."""
        job_id = JobId(item.key[len(JOB) :])
        if job_id in self.jobs:
            return
        try:
            spec, size, at = parse_job_record(job_id, item.value)
        except (Malformed, KeyError, TypeError, ValueError) as err:
            log.error("job record unreadable job=%s: %s", job_id, err)
            return
        self.add_job(spec, size, WallTime(at), now, list_read_at(item.value))
        marker = self._markers.pop(job_id, None)
        if marker is not None:
            self._load_ended(self.jobs.jobs[job_id], marker, now)

    def add_job(
        self,
        spec: JobSpec,
        size: int,
        at: WallTime,
        now: Steady,
        elsewhere: ListReference | None = None,
    ) -> None:
        """A job that was accepted; `elsewhere`: its list of dependencies, if not in its record."""
        if spec.id in self.jobs:
            return
        scheduler = self.scheduler
        arrived = Steady(min(now, at - self._zero_wall))
        scheduler.submitted(self.jobs.add(spec, size, arrived, elsewhere), now)
        log.info(
            "job accepted job=%s class=%s team=%s tasks=%d cpus=%g image=%s",
            spec.id,
            spec.klass,
            spec.team,
            spec.tasks,
            spec.cpus,
            spec.image,
        )

    # ------------------------------------------------------------------ users

    def status(self, job_id: JobId) -> JobStatus | Verdict:
        """The job's state as this leader may tell it; a Verdict where it may not."""
        job = self.jobs.get(job_id)
        if job is None:
            return Verdict.UNKNOWN_JOB
        if job.ended is not None:
            return JobStatus(job.ended, job.done_count, 0)
        if job.orphaned:
            return JobStatus(users.CANCELLED, job.done_count, 0)
        if job.end_sent:
            # The end may be durable already and told elsewhere; an older answer would go back.
            # As long as it was not sent, nobody can have been told, however long it must wait.
            return Verdict.UNDECIDED
        if job.awaited and self._may_be_orphaned(job):
            return Verdict.UNKNOWN_JOB  # a fresh read can tell
        state = users.RUNNING if job.running else users.PENDING
        waiting = tuple(islice(job.awaited, users.MAX_TOLD)) if job.awaited else ()
        return JobStatus(state, job.done_count, job.running, waiting)

    def _may_be_orphaned(self, job: Job) -> bool:
        graph, ending = self.scheduler.graph, self.scheduler.ending.values()
        doubt = graph.reading or any(j.cancelled and j.end_sent for j in ending)
        return doubt and graph.undecided(job)

    def cancel(self, job_id: JobId, now: Steady) -> str | Verdict:
        """The final state if it is durable; UNDECIDED: wait for `finished`."""
        job = self.jobs.get(job_id)
        if job is None:
            return Verdict.UNKNOWN_JOB
        if job.ended is not None:
            return job.ended
        if job.orphaned:
            return users.CANCELLED  # the end of the job before it is durable
        if not job.cancelled and not job.complete:
            # Of a complete one the end is on its way, and it may be durable already: `done`.
            self.scheduler.cancelled(job, now, now)
            self.scheduler.ending[job_id] = job
            self.scheduler.stop_all(job, now)
            log.info("cancel asked job=%s", job_id)
        return Verdict.UNDECIDED

    # ------------------------------------------------------------------ workers

    def on_report(
        self, r: workers.Report, now: Steady, relay: NodeId | None = None
    ) -> list[workers.Command] | None:
        """The commands to answer with; None: the report is older than one already seen."""
        return self.reports.on_report(r, now, relay)

    def wants_next(self, machine: MachineId) -> bool:
        """Whether the machine's next report is wanted even if it tells nothing new."""
        return self.reports.wants_next(machine)

    def heard(
        self, relay: NodeId, orders: Iterable[tuple[MachineId, ReportOrder]], now: Steady
    ) -> None:
        """A relay tells whom it answered by itself: nothing has changed there."""
        self.silence.heard(relay, orders, now)

    def take_wants(self) -> dict[NodeId, list[MachineId]]:
        """By relay, the machines whose next reports are wanted here."""
        return self.scheduler.take_wants()

    def relay_lost(self, relay: NodeId) -> None:
        """The connection to the relay is gone, and with it what was sent on it."""
        self.reports.relay_lost(relay)

    def undelivered(self, machine: MachineId) -> None:
        """The commands of the last answer surely did not reach the machine in time."""
        self.reports.undelivered(machine)

    def shown(self, machine: MachineId, now: Steady) -> None:
        """The machine has answered when it was asked directly."""
        self.silence.shown(machine, now)

    def take_orders(self, now: Steady) -> list[Order]:
        """Kills that go straight to the workers."""
        return self.orders.take(now)

    def ordered(self, r: workers.Report, executed: bool, sent: Steady, now: Steady) -> None:
        """The report that answers a direct command sent at `sent`."""
        self.orders.answered(r, executed, sent, now)

    def take_probes(self) -> list[Probe]:
        """Silent machines to be asked directly, with their addresses."""
        return self.silence.take_probes()

    # ------------------------------------------------------------------ time

    def stalled(self, seconds: float) -> None:
        """This process did not run for so long: the silence meanwhile was its own."""
        self.silence.stalled(seconds)

    def tick(self, now: Steady) -> None:
        """What is due by the clock alone; called several times a second."""
        self.machine_watch.watch(now)
        if now >= self.scheduler.rental_due and self._renting.due(now):
            self._renting.begin(now)
            self.scheduler.rental_due = Steady(now + 1.0)
            self.cloud.rent(now)
        if now >= self._summary_due:
            self._summary_due = Steady(now + 10.0)
            log_summary(self.scheduler, cleaning=len(self.records.cleaning))

    def tick_took(self, seconds: float) -> None:
        """The last tick took so long; what it did is repeated at a pace that this sets."""
        self.machine_watch.took(seconds)
        self._renting.took(seconds)

    def plan_due(self, now: Steady) -> bool:
        """Whether a pass of placing is worth its cost now."""
        # While nothing can be written, nothing new can be placed, and what was written ahead is
        # all that can start: to plan anew would only take it back.
        return not self.scheduler.outage and self.planner.due(now, self.records.unwritten())

    def plan(self, now: Steady) -> None:
        """One pass of placing."""
        self.planner.plan(now)

    # ------------------------------------------------------------------ state service

    def next_txn(self, now: Steady, ops: int) -> PendingTxn | None:
        """The next transaction of at most `ops` changes, if none is under way; see `txn_done`."""
        return self.records.next_txn(now, ops)

    def next_memory_txn(self, now: Steady, most_changes: int | None = None) -> Txn | None:
        """Now and then, a transaction that keeps what was learned, of at most so many changes;
        nobody waits for its outcome."""
        if now < self._memory_due:
            return None
        self._memory_due = Steady(now + self.tuning.memo_s)
        txn = Txn({LEAD_KEY: Revision(self.epoch)})
        # There may be more of them than a transaction takes: then they take turns.
        records = learned_state.memory_records(self.scheduler)
        most = self.settings.txn_ops
        most = most if most_changes is None else min(most, most_changes)
        puts = learned_state.next_puts(records, self._memory_next, most)
        self._memory_next = (self._memory_next + len(puts)) % len(records)
        txn.writes += puts
        return txn

    @property
    def ends_waiting(self) -> bool:
        """Whether a job has ended and its end is not durable yet."""
        return bool(self.scheduler.ending)

    @property
    def reread(self) -> set[str]:
        """Keys whose version only a read can tell."""
        return self.records.reread

    @property
    def reread_under_way(self) -> set[str]:
        """Of these, the keys that are being read."""
        return self.records.reread_under_way

    def txn_done(
        self,
        pending: PendingTxn,
        outcome: Outcome,
        revision: Revision,
        failed: tuple[str, ...],
        now: Steady,
    ) -> bool:
        """Returns whether this leader is deposed."""
        return self.records.txn_done(pending, outcome, revision, failed, now)

    def reread_done(self, key: str, item: Item | None, now: Steady) -> None:
        """A key that was to be read again; None: it is absent."""
        self.records.reread_done(key, item, now)

    def take_unread(self, now: Steady, most: int) -> list[JobId]:
        """Jobs that others await and whose ends must be read."""
        return self.scheduler.graph.take_unread(now, most)

    def end_read(self, job: JobId, how: str | None, now: Steady) -> None:
        """The durable end of a job; None: there is none, or it could not be read."""
        if how is None:
            self.scheduler.graph.absent(job, now)
        else:
            self.scheduler.ended(job, how, now)

    def take_finished(self) -> list[FinishedJob]:
        """Ends that became durable since the last call."""
        out, self.scheduler.finished = self.scheduler.finished, []
        return out

    def take_start_waits(self) -> list[float]:
        """Seconds from readiness to the start, of the tasks that began since the last call."""
        out, self.scheduler.start_waits = self.scheduler.start_waits, []
        return out

    # ------------------------------------------------------------------ cloud

    def next_cloud(self, now: Steady) -> CloudCall | None:
        """The next call to the cloud, if one is due; see `cloud_done`."""
        return self.cloud.next_call(now)

    def cloud_done(self, call: CloudCall, status: int | None, body: bytes, now: Steady) -> None:
        """The answer to a call; None: there was none."""
        self.cloud.done(call, status, body, now)


__all__ = [
    "CloudCall",
    "Controller",
    "Delete",
    "GetCatalog",
    "JobStatus",
    "ListPage",
    "Order",
    "Outcome",
    "PendingTxn",
    "Rent",
    "Verdict",
]
