"""The leader's state machine: reports, jobs and answers in; commands, writes and cloud calls out.

It holds no clock and does no I/O. The adapters call `tick`, ask `next_txn` and `next_cloud` for
work, carry it out and hand the outcome back. Three promises are kept here and nowhere else:

* a launch is sent only for a placement whose record is durable;
* a task moves only when its old place is proven empty;
* an end is told only once it is durable.
"""

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import orjson

from eldercart.core import placement as rules
from eldercart.core.fleet import Fleet, Life, Machine
from eldercart.core.health import Health
from eldercart.core.jobs import (
    END,
    GONE,
    JOB,
    PLACE,
    Chunk,
    Job,
    JobBook,
    Phase,
    Placement,
    end_of,
    parse_job_record,
    place_key,
)
from eldercart.core.prediction import Predictor
from eldercart.core.rental import Hire, Offer, Rental
from eldercart.election import LEAD_KEY
from eldercart.settings import NodeSettings, Tuning
from eldercart.units import ABSENT, Epoch, JobId, MachineId, Revision, Steady, WallTime
from eldercart.wire import Malformed, cloud, users, workers
from eldercart.wire.checks import load_answer
from eldercart.wire.cloud import MachineType
from eldercart.wire.state import Drop, Item, Put, Txn
from eldercart.wire.users import JobSpec

log = logging.getLogger("eldercart.controller")

DRAIN_FACTOR = 1.3  # of the time left, for run times are uncertain
WATCH_S = 0.5  # between two looks at silence, late boots and overdue kills
WRITE_PAUSE_S = 0.25  # after a write that was not carried out
TXN_BYTES = 56 * 1024  # the limit is 64 KiB; keys, guards and names take the rest


class Outcome(Enum):
    OK = "ok"
    CONFLICT = "conflict"
    REFUSED = "refused"  # surely not carried out
    UNKNOWN = "unknown"  # may have been, or may be later


class Verdict(Enum):
    UNKNOWN_JOB = "unknown"
    UNDECIDED = "undecided"


@dataclass(slots=True)
class PendingTxn:
    txn: Txn
    ends: list[tuple[Job, str]] = field(default_factory=list)
    chunks: list[tuple[Job, Chunk, list[Placement], list[Placement]]] = field(default_factory=list)
    cleanups: list[tuple[Job, list[int], bool]] = field(default_factory=list)
    size: int = 0


@dataclass(frozen=True, slots=True)
class Rent:
    hire: Hire


@dataclass(frozen=True, slots=True)
class Delete:
    machines: tuple[MachineId, ...]


@dataclass(frozen=True, slots=True)
class ListPage:
    after: MachineId | None


@dataclass(frozen=True, slots=True)
class GetCatalog:
    pass


CloudCall = Rent | Delete | ListPage | GetCatalog


@dataclass(frozen=True, slots=True)
class JobStatus:
    state: str
    done: int
    running: int


class Controller:
    def __init__(
        self,
        settings: NodeSettings,
        tuning: Tuning,
        epoch: Epoch,
        types: dict[str, MachineType],
        now: Steady,
        wall: WallTime,
    ) -> None:
        self.settings = settings
        self.tuning = tuning
        self.epoch = epoch
        self.types = types
        self._zero_wall = wall - now  # time of day at steady zero, good to the settings' bound
        self.jobs = JobBook(0)
        self.promises = rules.Promises(settings.waits, settings.finishes)
        self.fleet = Fleet()
        self.rental = Rental(tuning, settings.teams)
        self.predictor = Predictor(tuning)
        self.health = Health(tuning.quarantine_jobs, tuning.error_backoff_s)
        self.reread: set[str] = set()
        self.reread_under_way: set[str] = set()
        self.work_done = self.work_lost = 0.0  # CPU seconds, as seen here
        self.finished: list[tuple[JobId, str]] = []  # newly durable ends, for waiting answers
        self.catalog_changed = False
        self._txn: PendingTxn | None = None
        self._ending: dict[JobId, Job] = {}  # complete or cancelled, end not yet durable
        self._cleaning: dict[JobId, Job] = {}
        self._dirty: dict[JobId, Job] = {}
        self._doomed: dict[MachineId, None] = {}
        self._cloud_busy: set[str] = set()
        self._cloud_pause = Steady(-1e9)
        self._hire_queue: list[Hire] = []
        self._list_due = now
        self._list_after: MachineId | None = None
        self._catalog_due = now
        self._began = now
        self._last_tick = now
        self._plan_wanted = True
        self._planned = Steady(-1e9)
        self._rental_due = now
        self._orphans: list[tuple[str, Revision]] = []
        self._list_seen = False
        self._summary_due = now
        self._start_waits: list[float] = []  # seconds from submission, of tasks that began
        self._watch_due = now
        self._greetings: list[MachineId] = []
        self._outage = False  # the last write was not carried out
        self._write_pause = Steady(-1e9)
        self._waiting: list[JobSpec] = []  # of jobs that found no room in the last pass

    # ------------------------------------------------------------------ take-over

    def load(
        self,
        job_items: Iterable[Item],
        place_items: Iterable[Item],
        gone_items: Iterable[Item],
        now: Steady,
    ) -> None:
        """Takes over the records. Every recorded placement may be on its machine."""
        for item in job_items:
            self.learn_job(item, now)
        orphans: list[tuple[str, Revision]] = []
        loaded: list[Placement] = []
        for item in place_items:
            job_id, _, number = item.key[len(PLACE) :].rpartition("/")
            job = self.jobs.get(JobId(job_id))
            if job is None:
                orphans.append((item.key, item.version))
                continue
            loaded += self.jobs.load_chunk(job, int(number), item.value, item.version, now)
        for item in gone_items:
            job = self.jobs.get(JobId(item.key[len(GONE) :]))
            if job is None:
                orphans.append((item.key, item.version))
                continue
            job.ended = end_of(item.value)
            job.cancelled = job.ended == users.CANCELLED
            self._cleaning[job.id] = job
        self._orphans = orphans
        for job in self.jobs.jobs.values():
            self.jobs.finish_load(job)
            if job.complete and job.ended is None:
                self._ending[job.id] = job
        heard = Steady(now + self.tuning.takeover_grace_s)
        for p in loaded:
            m = self.fleet.get(p.machine)
            if m is None:
                # Type and zone come with its report; until then it takes nothing new.
                m = self.fleet.add(
                    p.machine, _unknown_type("?"), rules.UNKNOWN_ZONE, True, Life.UP, now, heard
                )
            self.fleet.occupy(m, p)
            p.stopping = p.job.ended is not None
            # Its run time will be seen only in part. Taken for a whole one it would make all
            # later tasks of its job look slow, and healthy machines with them.
            p.since_known = False
            p.stop_since = now
        log.info(
            "took over epoch=%d jobs=%d placements=%d orphans=%d",
            self.epoch, len(self.jobs.jobs), len(loaded), len(orphans),
        )  # fmt: skip

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
        self.add_job(spec, size, WallTime(at), now)

    def add_job(self, spec: JobSpec, size: int, at: WallTime, now: Steady) -> None:
        if spec.id in self.jobs:
            return
        arrived = Steady(min(now, at - self._zero_wall))
        self.predictor.arrived(self.jobs.add(spec, size, arrived), now)
        self.rental.arrived(now)
        self._plan_wanted = True
        self._rental_due = now
        log.info(
            "job accepted job=%s class=%s team=%s tasks=%d cpus=%g image=%s",
            spec.id, spec.klass, spec.team, spec.tasks, spec.cpus, spec.image,
        )  # fmt: skip

    # ------------------------------------------------------------------ users

    def status(self, job_id: JobId) -> JobStatus | Verdict:
        job = self.jobs.get(job_id)
        if job is None:
            return Verdict.UNKNOWN_JOB
        if job.ended is not None:
            return JobStatus(job.ended, job.done_count, 0)
        if job_id in self._ending:
            # The end may be durable already and told elsewhere; an older answer would go back.
            return Verdict.UNDECIDED
        state = users.RUNNING if job.running else users.PENDING
        return JobStatus(state, job.done_count, job.running)

    def cancel(self, job_id: JobId, now: Steady) -> str | Verdict:
        """The final state if it is durable; UNDECIDED: wait for `finished`."""
        job = self.jobs.get(job_id)
        if job is None:
            return Verdict.UNKNOWN_JOB
        if job.ended is not None:
            return job.ended
        if not job.cancelled and not job.complete:
            job.cancelled = True
            self._ending[job_id] = job
            self._stop_all(job, now)
            log.info("cancel asked job=%s", job_id)
        return Verdict.UNDECIDED

    def _stop_all(self, job: Job, now: Steady) -> None:
        for p in list(job.placements()):
            if p.phase is not Phase.ENDED:
                self._stop(p, now)

    # ------------------------------------------------------------------ workers

    def on_report(self, r: workers.Report, now: Steady) -> list[workers.Command] | None:
        """The commands to answer with; None: the report is older than one already seen."""
        m = self.fleet.get(r.machine)
        if m is None:
            if self.fleet.is_gone(r.machine):
                # Its deletion was answered: this is a late copy and proves nothing.
                return None
            kind = self.types.get(r.type) or _unknown_type(r.type)
            m = self.fleet.add(r.machine, kind, r.zone, r.spot, Life.UP, now, now)
            log.info("machine adopted machine=%s type=%s zone=%s", m.id, r.type, r.zone)
        if r.order <= m.order:
            # Held back by the network: what it says has been overtaken.
            return None
        m.order = r.order
        m.last_heard = now
        if m.type.name != r.type or m.zone != r.zone or m.spot != r.spot:
            self._describe(m, r)
        m.address = r.address
        if m.life is Life.BOOTING:
            m.life = Life.UP
            m.idle_since = now
            self._plan_wanted = True
            log.info("machine up machine=%s after=%.1f", m.id, now - m.hired)
        if r.notice_s is not None and m.taken_at is None:
            m.taken_at = Steady(now + r.notice_s)
            m.draining = True
            log.info("spot notice machine=%s seconds=%.0f", m.id, r.notice_s)
            self._rental_due = now
        if r.epoch != self.epoch:
            # The worker has not seen this epoch: an older leader's response may still be obeyed,
            # so what this report lacks is no proof.
            return []
        if not m.confirmed:
            m.confirmed = True
            self._plan_wanted = True
        return self._reconcile(m, r, now)

    def take_greetings(self) -> list[tuple[MachineId, str]]:
        """Machines that a new leader has not heard of under its epoch, to be asked at once.
        Their reports would come, but a worker whose node has died looks for the leader first."""
        ids, self._greetings = self._greetings, []
        found = [m for i in ids if (m := self.fleet.get(i)) is not None and not m.confirmed]
        return [(m.id, m.address) for m in found]

    def on_greeting(self, r: workers.Report, now: Steady) -> None:
        """A worker's answer to `/show` or to an empty `/orders`. It may cross the response to a
        report, and then lack what that response launches: so it proves something only as long
        as this leader has not answered the machine yet."""
        m = self.fleet.get(r.machine)
        if m is not None and not m.confirmed:
            self.on_report(r, now)

    def _describe(self, m: Machine, r: workers.Report) -> None:
        """The report knows best what the machine is."""
        kind = self.types.get(r.type) or _unknown_type(r.type)
        m.free_cpus += kind.cpus - m.type.cpus
        m.free_gpus += kind.gpus - m.type.gpus
        m.free_memory += kind.memory_gb - m.type.memory_gb
        m.type, m.zone, m.spot = kind, r.zone, r.spot

    def _reconcile(self, m: Machine, r: workers.Report, now: Steady) -> list[workers.Command]:
        calls: list[workers.Command] = []
        seen: set[Placement] = set()
        foreign = False
        for t in r.tasks:
            p = m.placed.get(t.key)
            if p is None or p.attempt != t.attempt:
                # Not ours any more, or another attempt: out with it.
                if t.state == workers.EXITED:
                    calls.append(workers.Clear(t.key, t.attempt))
                else:
                    calls.append(workers.Kill(t.key, t.attempt, 0.0))
                    foreign = True
                    if p is None:
                        log.info("unknown task machine=%s task=%s", m.id, t.key)
                if p is not None:
                    seen.add(p)  # a launch beside it would be refused; wait until it is cleared
                continue
            seen.add(p)
            p.maybe_there = True
            if p.phase is Phase.ENDED:
                continue  # done, not yet durable: no clear yet
            if t.state == workers.EXITED:
                self._exited(m, p, t.why, now)
                if t.key not in m.placed:
                    calls.append(workers.Clear(t.key, t.attempt))
                continue
            if not p.reported:
                p.reported = True
                self.fleet.note_image(m, p.job.spec.image, p.job.spec.image_gb)
            if t.state == workers.TASK_RUNNING:
                if p.phase is not Phase.RUNNING:
                    self._start_waits.append(now - p.job.arrived)
                self.jobs.set_phase(p, Phase.RUNNING, now)
            elif t.state == workers.SAVING:
                self.jobs.set_phase(p, Phase.SAVING, now)
            else:
                self.jobs.set_phase(p, Phase.FETCHING, now)
            if p.stopping:
                calls.append(workers.Kill(t.key, t.attempt, self._grace(p)))
        if m.foreign and not foreign:
            self._plan_wanted = True
        m.foreign = foreign
        for p in list(m.placed.values()):
            if p in seen or p.phase is Phase.ENDED or p.phase is Phase.PLANNED:
                continue
            if p.stopping or not p.job.open:
                self._void(p, now)
            elif p.reported:
                # It was there and a newer report lacks it: its session ended.
                log.info("task lost machine=%s task=%s attempt=%d", m.id, p.key, p.attempt)
                self._void(p, now)
            elif m.life is Life.UP and not m.draining:
                p.since_known = True
                # Again if need be: absence from a newer report shows that a launch was dropped.
                if min(m.free_cpus, m.free_gpus, m.free_memory) < -rules.EPS:
                    # Written ahead by an earlier leader for room that is not there: not launched.
                    self._void(p, now)
                    continue
                p.maybe_there = True
                calls.append(workers.Launch(p.key, p.attempt))
            else:
                self._void(p, now)
        if m.queue:
            self._launch_queued(m, calls, now)
        return calls

    def _launch_queued(self, m: Machine, calls: list[workers.Command], now: Steady) -> None:
        """The report has shown what room there is; what was written ahead may start at once."""
        teams = self.settings.teams
        waiting = sorted(
            m.queue.values(), key=lambda p: (-p.job.spec.priority, p.job.rank, p.queued_at)
        )
        for p in waiting:
            if p.phase is not Phase.WANTED or p.key in m.placed or not m.usable:
                continue
            spec = p.job.spec
            free = rules.Room(m.free_cpus, m.free_gpus, m.free_memory)
            if free.fits(spec) < 1:
                return
            for above in self._waiting:
                # Room for a waiting task of higher priority is not broken up; the rest is used.
                if above.priority > spec.priority and rules.allowed(above, m):
                    free.add(above, -free.fits(above))
            if free.fits(spec) < 1 or rules.team_room(spec, self.fleet, teams) < 1:
                continue
            self.jobs.unmark_queued(p)
            self.fleet.dequeue(m, p)
            self.fleet.occupy(m, p)
            p.maybe_there = True
            calls.append(workers.Launch(p.key, p.attempt))

    def _grace(self, p: Placement) -> float:
        # A cancelled job's work is of no use; otherwise let the task save.
        return 0.0 if p.job.cancelled else p.job.spec.save_s

    def _exited(self, m: Machine, p: Placement, why: str | None, now: Steady) -> None:
        job = p.job
        if not job.open:
            # Its end is decided or even durable (a new leader may load such a job before its
            # records are gone); to end it once more would be refused for ever.
            self._void(p, now)
            return
        ran = p.ran(now) if p.since_known else 0.0
        if why == workers.WHY_DONE:
            self.jobs.finish(p, now)
            self.fleet.release(m, p, now)
            self._dirty[job.id] = job
            self._plan_wanted = True
            self.work_done += ran * job.spec.cpus
            self.predictor.ran(job, ran)
            if self.health.task_done(m, job, ran):
                self._quarantine(m, "slow", now)
            if job.complete:
                self._ending[job.id] = job
            return
        if why == workers.WHY_ERROR and not p.stopping:
            log.info("task failed machine=%s task=%s attempt=%d", m.id, p.key, p.attempt)
            if self.health.task_failed(m, job, now):
                self._quarantine(m, "failing", now)
        elif why in (workers.WHY_NO_ROOM, workers.WHY_BUSY, workers.WHY_UNKNOWN):
            log.info("start refused machine=%s task=%s why=%s", m.id, p.key, why)
            m.refuse_until = Steady(now + 2 * self.settings.report_s)
            if why == workers.WHY_UNKNOWN:
                job.hold_until = Steady(now + self.tuning.error_backoff_s)
        self._void(p, now)

    def _quarantine(self, m: Machine, why: str, now: Steady) -> None:
        if m.quarantined:
            return
        out = sum(1 for other in self.fleet.machines.values() if other.quarantined)
        if out >= max(1, self.tuning.quarantine_share * len(self.fleet.machines)):
            # When many machines look bad at once, the evidence is more likely at fault.
            return
        m.quarantined = True
        m.draining = True
        self._rental_due = now
        log.info("machine quarantined machine=%s why=%s jobs=%s", m.id, why, sorted(m.failed_jobs))

    def _void(self, p: Placement, now: Steady) -> None:
        """The task is proven not to be on its machine."""
        m = self.fleet.get(p.machine)
        if m is not None:
            if p.queued:
                self.jobs.unmark_queued(p)
                self.fleet.dequeue(m, p)
            elif p.phase is not Phase.ENDED:
                self.fleet.release(m, p, now)
            self.fleet.forget(m, p)
        if p.phase is Phase.ENDED:
            return  # done; only the record is outstanding
        self.work_lost += p.ran(now) * p.job.spec.cpus
        self.jobs.drop(p, now, again=True)
        self._dirty[p.job.id] = p.job
        self._plan_wanted = True

    # ------------------------------------------------------------------ time

    def tick(self, now: Steady) -> None:
        gap = now - self._last_tick
        self._last_tick = now
        if gap > 1.0:
            # This process stood still: the silence was its own.
            for m in self.fleet.machines.values():
                m.last_heard = Steady(m.last_heard + gap)
        if now >= self._watch_due:
            self._watch_due = Steady(now + WATCH_S)
            self._watch_machines(now)
        if now >= self._rental_due:
            self._rental_due = Steady(now + 1.0)
            self._rent(now)
        if now >= self._summary_due:
            self._summary_due = Steady(now + 10.0)
            self._summary(now)
        since = now - self._planned
        # While nothing can be written, nothing new can be placed, and what was written ahead is
        # all that can start: to plan anew would only take it back.
        due = since >= 1.0 or (self._plan_wanted and since >= self.tuning.plan_interval_s)
        if due and not self._outage:
            self._plan(now)

    def _summary(self, now: Steady) -> None:
        waiting: dict[str, float] = {}
        for job in self.jobs.jobs.values():
            if job.open:
                spec = job.spec
                waiting[spec.klass] = waiting.get(spec.klass, 0.0) + job.pending * spec.cpus
        log.info(
            "prediction hits=%d misses=%d unused=%d booked=%d",
            self.predictor.hits, self.predictor.misses, self.predictor.unused,
            len(self.predictor.bookings),
        )  # fmt: skip
        log.debug(
            "writer txn=%s reread=%s under_way=%s ending=%d dirty=%d cleaning=%d",
            self._txn and [w.key for w in self._txn.txn.writes],
            self.reread, self.reread_under_way, len(self._ending), len(self._dirty),
            len(self._cleaning),
        )  # fmt: skip
        up = [m for m in self.fleet.machines.values() if m.life is Life.UP]
        total = sum(m.type.cpus for m in up)
        usable = sum(m.type.cpus for m in up if m.usable)
        free = sum(m.free_cpus for m in up if m.usable)
        running = sum(
            p.job.spec.cpus for m in up for p in m.placed.values() if p.phase is Phase.RUNNING
        )
        booting = sum(1 for m in self.fleet.machines.values() if m.life is Life.BOOTING)
        want_ordinary, want_any = self.rental.targets()
        log.info(
            "summary jobs=%d up=%d booting=%d cpus=%g usable=%g running=%g free=%g waiting=%s "
            "want=%.0f/%.0f work=%.0f lost=%.0f",
            len(self.jobs.jobs), len(up), booting, total, usable, running, free, waiting,
            want_ordinary, want_any, self.work_done, self.work_lost,
        )  # fmt: skip

    @property
    def patience(self) -> float:
        reports: float = self.tuning.silence_reports * self.settings.report_s
        least: float = self.tuning.silence_least_s
        return max(least, reports)

    def _watch_machines(self, now: Steady) -> None:
        kill_patience = self.settings.cancel_s * 0.6
        for m in self.fleet.machines.values():
            if m.life is Life.LEAVING:
                continue
            patience = self.patience
            if m.taken_at is not None:
                self._drain(m, m.taken_at, now)
                if now > m.taken_at:
                    patience = 1.5 * self.settings.report_s  # it was told to us that it would go
            if m.life is Life.UP and now - m.last_heard > patience:
                log.info("machine silent machine=%s seconds=%.1f", m.id, now - m.last_heard)
                self._doom(m, now)
            elif m.life is Life.BOOTING:
                limit = max(self.tuning.boot_patience * m.type.boot_s, 10.0)
                if now - m.hired > limit + self.settings.list_lag_s:
                    log.info("machine late machine=%s seconds=%.1f", m.id, now - m.hired)
                    self._doom(m, now)
            elif m.quarantined and not m.live:
                self._doom(m, now)
            elif m.placed:
                for p in list(m.placed.values()):
                    if (
                        p.phase is Phase.RUNNING
                        and self.health.straggles(p, now)
                        and not p.stopping
                    ):
                        log.info("straggler task=%s machine=%s", p.key, m.id)
                        p.job.bad_machines.add(m.id)
                        self._stop(p, now)
                        if self.health.straggled(m, p.job):
                            self._quarantine(m, "slow", now)
                    if p.stopping and p.job.cancelled and now - p.stop_since > kill_patience:
                        log.info("kill overdue machine=%s task=%s", m.id, p.key)
                        self._doom(m, now)
                        break

    def _drain(self, m: Machine, taken_at: Steady, now: Steady) -> None:
        """A task that cannot end before the machine is taken starts again elsewhere now rather
        than after the loss; one that may end, or can save as it goes, runs on."""
        left = taken_at - now
        for p in list(m.placed.values()):
            if p.stopping or p.phase not in (Phase.WANTED, Phase.FETCHING, Phase.RUNNING):
                continue
            if not p.since_known:
                continue
            saves = p.job.spec.checkpoint_s > 0.0 and p.job.spec.save_s < left
            if saves or self.predictor.run_s(p.job) - p.ran(now) > DRAIN_FACTOR * left:
                self._stop(p, now)

    def _doom(self, m: Machine, now: Steady) -> None:
        m.life = Life.LEAVING
        m.draining = True
        self._doomed[m.id] = None
        self._rental_due = now

    def _rent(self, now: Steady) -> None:
        if not self.types:
            return
        self._prepare(now)
        self.rental.measure(self.jobs.jobs.values(), self.predictor.booked(), now)
        machines = self.fleet.machines.values()
        # After a take-over the fleet is not known yet: renting now would double it.
        settled = now - self._began > 2 * self.settings.list_lag_s or self._list_seen
        if settled:
            prefix = f"{self.settings.label}-{self.epoch}"
            choosy = [
                j
                for j in self.jobs.jobs.values()
                if (j.pending or j.queued) and j.open
                if j.spec.zone is not None
                or not all(rules.fits_type(j.spec, kind) for kind in self.types.values())
            ]
            self._hire_queue += self.rental.plan(machines, self.types, choosy, prefix, now)
        for m in self.rental.surplus(machines, now):
            log.info("machine returned machine=%s idle=%.0f", m.id, now - m.idle_since)
            self._doom(m, now)

    def _prepare(self, now: Steady) -> None:
        """Soft bookings for the successors of jobs that end within about one boot."""
        self.predictor.expire(now)
        boot = min(kind.boot_s for kind in self.types.values())
        fleet = sum(m.type.cpus for m in self.fleet.machines.values() if m.life is Life.UP)
        used = sum(self.fleet.team_cpus.values()) + self.predictor.booked()[1]
        load = used / fleet if fleet else 0.0
        for job in self.jobs.jobs.values():
            if not job.open or job.pending or job.queued:
                continue
            run = self.predictor.run_s(job)
            left = 0.0
            for p in job.placements():
                if p.phase is not Phase.ENDED:
                    left = max(left, run - p.ran(now))
            self.predictor.prepare(job, left, boot, load, now)

    # ------------------------------------------------------------------ placing

    def _plan(self, now: Steady) -> None:
        self._plan_wanted = False
        self._planned = now
        waiting = []
        for j in self.jobs.jobs.values():
            if (j.pending or j.queued) and j.open:
                if j.hold_until > now:
                    self._plan_wanted = True
                    continue
                waiting.append(j)
        self._waiting = []
        if not waiting:
            return
        machines = [m for m in self.fleet.machines.values() if m.usable]
        if not machines:
            return
        teams = self.settings.teams
        usable = sum(m.type.cpus for m in machines)
        used = self._used_by_priority()

        def capacity(priority: int) -> float:
            return usable - sum(cpus for above, cpus in used.items() if above > priority)

        waiting = rules.order_jobs(
            waiting,
            self.fleet,
            teams,
            self.promises,
            capacity,
            self.predictor.run_s,
            self.predictor.longest_s,
            now,
        )
        for rank, job in enumerate(waiting):
            job.rank = rank
        self.fleet.clear_holds()
        self._revoke_queued(now)
        soon: dict[str, rules.Room] | None = None
        full: set[tuple[Any, ...]] = set()
        level = None
        keeps = self._ordinary_kept(machines)
        for job in waiting:
            spec = job.spec
            if spec.priority != level:
                # What was written ahead keeps its room from jobs of the same or lower priority.
                for m in machines:
                    for p in m.queue.values():
                        above = p.job.spec.priority
                        if above >= spec.priority and (level is None or above < level):
                            self.fleet.hold(m, p.job.spec, 1)
                level = spec.priority
                soon = None
            shape = (spec.cpus, spec.gpus, spec.memory_gb, spec.types, spec.zone, spec.spot)
            if shape not in full:
                wanted = job.pending + job.queued
                open_ = machines
                if spec.spot and keeps is not None and spec.priority <= keeps:
                    open_ = [m for m in machines if m.spot]
                choices = rules.choose(job, wanted, open_, self.fleet, teams, now)
                self._take_back(job, sum(c.number for c in choices) - job.pending, now)
                plain = not (spec.together or spec.spread or job.bad_machines)
                if not choices and plain and rules.team_room(spec, self.fleet, teams) > 0:
                    full.add(shape)
                for choice in choices:
                    for index in self.jobs.next_tasks(job, choice.number):
                        p = self.jobs.place(job, index, choice.machine.id, now)
                        self.fleet.occupy(choice.machine, p)
                    self._dirty[job.id] = job
                    log.debug(
                        "placed job=%s on=%s tasks=%d", job.id, choice.machine.id, choice.number
                    )
            if job.pending or job.queued:
                self._waiting.append(spec)
            left = min(job.pending, rules.team_room(spec, self.fleet, teams))
            if left > 0 and not (spec.together or spec.spread):
                lead = 2.5 * self.settings.report_s + 1.0
                patience = self.tuning.preempt_wait_s
                if now >= self.promises.preempts_from(job, lead, patience):
                    if soon is None:
                        soon = self._soon_free(machines)
                    lower = any(cpus > 0 for below, cpus in used.items() if below < spec.priority)
                    left -= self._claim(job, left, machines, soon, lower, now)
                if left > 0:
                    self._ahead(job, left, machines, now)

    def _ordinary_kept(self, machines: list[Machine]) -> int | None:
        """Whether ordinary machines are kept for jobs that may use nothing else, and up to which
        priority: when those jobs are expected to need all that is left of them, a job that may
        use spot machines waits for one rather than be stopped or stand in the way."""
        free = used = 0.0
        top = -1
        for m in machines:
            if m.spot:
                continue
            free += m.free_cpus
            for p in m.placed.values():
                if not p.job.spec.spot and p.phase is not Phase.ENDED:
                    used += p.job.spec.cpus
        for job in self.jobs.jobs.values():
            if not job.spec.spot and job.ended is None:
                top = max(top, job.spec.priority)
        wanted = self.rental.targets()[0] - used
        return top if top >= 0 and wanted >= free else None

    def _used_by_priority(self) -> dict[int, float]:
        used: dict[int, float] = {}
        for m in self.fleet.machines.values():
            for p in m.placed.values():
                if p.phase is not Phase.ENDED:
                    spec = p.job.spec
                    used[spec.priority] = used.get(spec.priority, 0.0) + spec.cpus
        return used

    def _take_back(self, job: Job, number: int, now: Steady) -> None:
        """Room has come free elsewhere for tasks that were written ahead: nothing was sent for
        them, so they may move."""
        if number <= 0:
            return
        queued = [p for p in job.placements() if p.queued]
        queued.sort(key=lambda p: (-p.queued_at, p.key))
        for p in queued[:number]:
            self._void(p, now)

    def _revoke_queued(self, now: Steady) -> None:
        """Takes back what was written ahead for a machine that no longer takes anything, or where
        the room has not come: it was never sent, so it may go elsewhere at once."""
        patience = self.tuning.ahead_patience_s
        for m in self.fleet.machines.values():
            for p in list(m.queue.values()):
                if not m.usable or now - p.queued_at > patience:
                    self._void(p, now)

    def _ahead(self, job: Job, left: int, machines: list[Machine], now: Steady) -> None:
        """Writes waiting tasks ahead, so that a report that shows room is answered with a launch
        and no write stands between; in an outage of the state service work goes on so far."""
        spec = job.spec
        share = self.tuning.ahead_share
        candidates = []
        for m in machines:
            if rules.allowed(spec, m) and m.id not in job.bad_machines:
                room = m.type.cpus * share - sum(p.job.spec.cpus for p in m.queue.values())
                if room + rules.EPS >= spec.cpus > 0:
                    cached = spec.image in m.images
                    candidates.append((not cached, len(m.queue), m.id, m, int(room / spec.cpus)))
        candidates.sort(key=lambda c: c[:3])
        for _, _, _, m, n in candidates:
            take = min(left, n)
            if take <= 0:
                return
            left -= take
            self._enqueue(job, m, take, now)

    def _enqueue(self, job: Job, m: Machine, number: int, now: Steady) -> None:
        for index in self.jobs.next_tasks(job, number):
            p = self.jobs.place(job, index, m.id, now)
            self.jobs.mark_queued(p, now)
            self.fleet.enqueue(m, p)
            self.fleet.hold(m, job.spec, 1)
        self._dirty[job.id] = job

    def _soon_free(self, machines: list[Machine]) -> dict[str, rules.Room]:
        soon: dict[str, rules.Room] = {}
        for m in machines:
            room = rules.free_room(m)
            for p in m.placed.values():
                if p.stopping and p.phase is not Phase.ENDED:
                    room.add(p.job.spec)
            soon[m.id] = room
        return soon

    def _claim(
        self, job: Job, left: int, machines: list[Machine], soon: dict[str, rules.Room],
        lower: bool, now: Steady,
    ) -> int:  # fmt: skip
        """Holds room for a job that found none, and stops tasks of lower priority for it. Without
        the hold, small tasks would take each freed bit and a larger one would wait for ever.
        Returns how many tasks now wait for such room, written ahead."""
        claimed = 0
        for claim in rules.claim_room(job, left, machines, soon, lower, now):
            self._enqueue(job, claim.machine, claim.number, now)
            claimed += claim.number
            for p in claim.victims:
                log.info("preempted task=%s machine=%s for=%s", p.key, p.machine, job.id)
                self._stop(p, now)
        return claimed

    def _stop(self, p: Placement, now: Steady) -> None:
        if not p.stopping:
            p.stopping = True
            p.stop_since = now
        if not p.maybe_there:
            # No launch was ever sent: it is nowhere.
            self._void(p, now)

    # ------------------------------------------------------------------ state service

    def next_txn(self, now: Steady, ops: int) -> PendingTxn | None:
        """The next transaction of at most `ops` changes; one is under way at a time, because
        a version is needed for the next write of the same record."""
        if self._txn is not None or self.reread or self.reread_under_way or ops < 1:
            return None
        if now < self._write_pause:
            return None
        ops = min(ops, self.settings.txn_ops)
        pending = PendingTxn(Txn({LEAD_KEY: Revision(self.epoch)}))
        if self._add_ends(pending, ops):
            self._add_chunks(pending, ops, now)
            self._add_cleanups(pending, ops)
        if not pending.txn.writes:
            return None
        self._txn = pending
        return pending

    @property
    def ends_waiting(self) -> bool:
        return bool(self._ending)

    def _add_ends(self, pending: PendingTxn, ops: int) -> bool:
        """Returns whether anything of less urgency may follow: not while an end waits for more
        tokens, or each token would go to a placement as it came."""
        txn = pending.txn
        for job in self._ending.values():
            how = users.CANCELLED if job.cancelled else users.DONE
            stored = [c for c in job.chunks.values() if c.version]
            whole = how == users.DONE and len(stored) <= 3
            need = 2 + len(stored) if whole else 2
            if len(txn.writes) + need > ops:
                if whole and need > ops:
                    whole, need = False, 2
                if len(txn.writes) + need > ops:
                    return False
            txn.guards[END + job.id] = ABSENT
            txn.writes.append(Put(END + job.id, {"e": how, "n": job.spec.tasks}))
            pending.ends.append((job, how))
            pending.size += 250
            if whole:
                txn.writes.append(Drop(JOB + job.id))
                txn.writes += [Drop(place_key(job.id, c.number)) for c in stored]
                pending.cleanups.append((job, [c.number for c in stored], True))
            else:
                # The marker tells a later leader that this job only waits to be cleaned up.
                txn.writes.append(Put(GONE + job.id, {"e": how}))
        return True

    def _add_chunks(self, pending: PendingTxn, ops: int, now: Steady) -> None:
        txn = pending.txn
        for urgent in (True, False):
            for job in list(self._dirty.values()):
                if job.ended is not None or job.id in self._ending:
                    # The end covers the record; what it still lists is checked against reports.
                    for c in job.chunks.values():
                        c.dirty = c.urgent = False
                    del self._dirty[job.id]
                    continue
                left = False
                for c in job.chunks.values():
                    if not c.dirty:
                        continue
                    left = True
                    if c.urgent is not urgent:
                        continue
                    if not urgent and now - c.dirty_since < self.tuning.flush_done_s:
                        continue
                    key = place_key(job.id, c.number)
                    if len(txn.writes) >= ops or key in txn.guards:
                        continue
                    record = job.record(c)
                    size = len(orjson.dumps(record)) + 2 * len(key) + 60
                    if pending.size + size > TXN_BYTES:
                        continue
                    pending.size += size
                    txn.guards[key] = c.version
                    txn.writes.append(Put(key, record))
                    planned = [p for p in c.placements.values() if p.phase is Phase.PLANNED]
                    ended = [p for p in c.placements.values() if p.phase is Phase.ENDED]
                    c.dirty = c.urgent = False
                    pending.chunks.append((job, c, planned, ended))
                if not left:
                    self._dirty.pop(job.id, None)

    def _add_cleanups(self, pending: PendingTxn, ops: int) -> None:
        txn = pending.txn
        for job in self._cleaning.values():
            left = ops - len(txn.writes)
            if left < 2:
                return
            if any(p.phase is not Phase.ENDED for p in job.placements()):
                continue
            stored = [c.number for c in job.chunks.values() if c.version]
            final = len(stored) + 2 <= left
            numbers = stored if final else stored[: left - 2]
            txn.writes += [Drop(place_key(job.id, n)) for n in numbers]
            if final:
                txn.writes += [Drop(JOB + job.id), Drop(GONE + job.id)]
            pending.cleanups.append((job, numbers, final))
        while self._orphans and len(txn.writes) < ops:
            key, version = self._orphans.pop()
            txn.guards[key] = version
            txn.writes.append(Drop(key))

    def txn_done(
        self,
        pending: PendingTxn,
        outcome: Outcome,
        revision: Revision,
        failed: tuple[str, ...],
        now: Steady,
    ) -> bool:
        """Returns whether this leader is deposed."""
        self._txn = None
        self._outage = outcome in (Outcome.REFUSED, Outcome.UNKNOWN)
        if self._outage:
            self._write_pause = Steady(now + WRITE_PAUSE_S)
        if outcome is Outcome.OK:
            self._committed(pending, revision, now)
            return False
        log.info(
            "write not done outcome=%s failed=%s keys=%s",
            outcome.value, failed, [w.key for w in pending.txn.writes],
        )  # fmt: skip
        for job, c, _, _ in pending.chunks:
            self.jobs.touch(job, c, now, urgent=True)
            self._dirty[job.id] = job
        if outcome is Outcome.CONFLICT and LEAD_KEY in failed:
            return True
        if outcome is Outcome.REFUSED:
            return False
        # An earlier try of one of these writes was applied, or this one may be: only the keys
        # themselves can tell their versions.
        for job, c, _, _ in pending.chunks:
            self.reread.add(place_key(job.id, c.number))
        for job, _ in pending.ends:
            self.reread.add(END + job.id)
        return False

    def reread_done(self, key: str, item: Item | None, now: Steady) -> None:
        self.reread.discard(key)
        if key.startswith(END):
            job = self.jobs.get(JobId(key[len(END) :]))
            if job is not None and item is not None and job.ended is None:
                self._ended(job, end_of(item.value), now)
                self._cleaning[job.id] = job
            return
        job_id, _, number = key[len(PLACE) :].rpartition("/")
        job = self.jobs.get(JobId(job_id))
        if job is not None and int(number) in job.chunks:
            job.chunks[int(number)].version = ABSENT if item is None else item.version

    def _committed(self, pending: PendingTxn, revision: Revision, now: Steady) -> None:
        for job, how in pending.ends:
            self._ended(job, how, now)
            self._cleaning[job.id] = job
        for _, c, planned, ended in pending.chunks:
            c.version = revision
            for p in planned:
                if p.phase is Phase.PLANNED:
                    p.phase = Phase.WANTED
            for p in ended:
                if c.placements.get(p.index) is p:
                    del c.placements[p.index]
                m = self.fleet.get(p.machine)
                if m is not None:
                    self.fleet.forget(m, p)
        for job, numbers, final in pending.cleanups:
            for n in numbers:
                if n in job.chunks:
                    job.chunks[n].version = ABSENT
            if final:
                self._cleaning.pop(job.id, None)
                self.jobs.remove(job)
                for p in job.placements():
                    m = self.fleet.get(p.machine)
                    if m is not None:
                        self.fleet.forget(m, p)

    def _ended(self, job: Job, how: str, now: Steady) -> None:
        job.ended = how
        self.predictor.ended(job, how)
        self._ending.pop(job.id, None)
        if how == users.CANCELLED and not job.cancelled:
            job.cancelled = True
        self._stop_all(job, now)
        self.finished.append((job.id, how))
        self._plan_wanted = True
        log.info("job ended job=%s how=%s seconds=%.1f", job.id, how, now - job.arrived)
        if job.ran:
            log.info(
                "run times job=%s class=%s estimate=%.1f n=%d %s",
                job.id, job.spec.klass, job.spec.estimate_s, len(job.ran),
                " ".join(f"{r:.1f}" for r in sorted(job.ran)[:: max(1, len(job.ran) // 8)]),
            )  # fmt: skip

    def take_start_waits(self) -> list[float]:
        out, self._start_waits = self._start_waits, []
        return out

    def take_finished(self) -> list[tuple[JobId, str]]:
        out, self.finished = self.finished, []
        return out

    # ------------------------------------------------------------------ cloud

    def next_cloud(self, now: Steady) -> CloudCall | None:
        """The next call; deletions first, since proof of an empty place hangs on them."""
        if now < self._cloud_pause:
            return None
        if self._doomed and "delete" not in self._cloud_busy:
            self._cloud_busy.add("delete")
            return Delete(tuple(self._doomed)[: cloud.MAX_DELETE])
        if (not self.types or now >= self._catalog_due) and "catalog" not in self._cloud_busy:
            self._cloud_busy.add("catalog")
            return GetCatalog()
        if self._hire_queue and "rent" not in self._cloud_busy:
            self._cloud_busy.add("rent")
            hire = self._hire_queue.pop(0)
            if not hire.sent:
                hire.sent = now
            return Rent(hire)
        if now >= self._list_due and "list" not in self._cloud_busy:
            self._cloud_busy.add("list")
            return ListPage(self._list_after)
        return None

    def cloud_done(self, call: CloudCall, status: int | None, body: bytes, now: Steady) -> None:
        """`status` None: no answer. A malformed answer counts as none."""
        try:
            self._cloud_answer(call, status, body, now)
        except Malformed as err:
            log.error("cloud answer malformed call=%s: %s", type(call).__name__, err)
            self._cloud_answer(call, None, b"", now)

    def _cloud_answer(self, call: CloudCall, status: int | None, body: bytes, now: Steady) -> None:
        trouble = status is None or status == 429 or (status >= 500 and not _no_capacity(body))
        if trouble:
            self._cloud_pause = Steady(now + 1.0)
        match call:
            case Delete(machines):
                if status == 200:
                    for machine in machines:
                        self._deleted(machine, now)
                self._cloud_busy.discard("delete")
            case Rent(hire):
                self._rented(hire, status, body, now)
                self._cloud_busy.discard("rent")
            case ListPage():
                if status == 200:
                    listed, more = cloud.parse_list(body)
                    self._listed(listed, now)
                    self._list_after = listed[-1].id if more and listed else None
                    if not more:
                        self._list_seen = True
                if status != 200 or self._list_after is None:
                    pause = max(1.0, self.settings.list_lag_s / 2)
                    self._list_due = Steady(now + pause)
                self._cloud_busy.discard("list")
            case GetCatalog():
                if status == 200:
                    self._new_catalog(cloud.parse_catalog(load_answer(body)), now)
                    self._catalog_due = Steady(now + 60.0)
                self._cloud_busy.discard("catalog")

    def _new_catalog(self, types: dict[str, MachineType], now: Steady) -> None:
        if types != self.types:
            self.catalog_changed = True
        first = not self.types
        self.types = types
        for m in self.fleet.machines.values():
            kind = types.get(m.type.name)
            if kind is not None and kind is not m.type:
                m.free_cpus += kind.cpus - m.type.cpus
                m.free_gpus += kind.gpus - m.type.gpus
                m.free_memory += kind.memory_gb - m.type.memory_gb
                m.type = kind
        if first:
            self._plan_wanted = True
            self._rental_due = now

    def _deleted(self, machine: MachineId, now: Steady) -> None:
        self._doomed.pop(machine, None)
        m = self.fleet.get(machine)
        if m is None:
            return
        placed = [*m.placed.values(), *m.queue.values()]
        log.info("machine gone machine=%s tasks=%d", machine, len(placed))
        for p in placed:
            self._void(p, now)
        self.fleet.remove(m)

    def _rented(self, hire: Hire, status: int | None, body: bytes, now: Steady) -> None:
        offer = hire.offer
        if status == 200:
            machines = cloud.parse_rented(body)
            self.rental.hires.pop(hire.request, None)
            for machine in machines:
                if self.fleet.get(machine) is None and not self.fleet.is_gone(machine):
                    kind = self.types[offer.type]
                    self.fleet.add(
                        machine, kind, offer.zone, offer.spot, Life.BOOTING, hire.sent, now
                    )
            log.info(
                "rented type=%s zone=%s spot=%s asked=%d got=%d request=%s",
                offer.type, offer.zone, offer.spot, hire.number, len(machines), hire.request,
            )  # fmt: skip
            if len(machines) < hire.number:
                self.rental.refuse(offer, now)
                self._rental_due = now
        elif status == 503 and _no_capacity(body):
            self.rental.hires.pop(hire.request, None)
            self.rental.refuse(offer, now)
            self._rental_due = now
            log.info("refused type=%s zone=%s spot=%s", offer.type, offer.zone, offer.spot)
        elif status == 400:
            self.rental.hires.pop(hire.request, None)
            self.rental.refuse(offer, now)
            log.error("rental malformed request=%s", hire.request)
        else:
            # Nobody knows whether it was carried out: the same name gets the same answer.
            self._hire_queue.append(hire)

    def _listed(self, listed: list[cloud.ListedMachine], now: Steady) -> None:
        for item in listed:
            if self.fleet.is_gone(item.id):
                continue
            m = self.fleet.get(item.id)
            if m is None:
                kind = self.types.get(item.type) or _unknown_type(item.type)
                hired = Steady(now - item.age_s)
                life = Life.UP if item.state == cloud.UP else Life.BOOTING
                # It may report to another node, or be new: it gets a full patience.
                heard = Steady(now + self.tuning.takeover_grace_s)
                m = self.fleet.add(item.id, kind, item.zone, item.spot, life, hired, heard)
                log.info("machine listed machine=%s state=%s", m.id, item.state)
            if item.address and not m.address:
                m.address = item.address
                if item.state == cloud.UP and not m.confirmed:
                    self._greetings.append(m.id)
            if item.state == cloud.FAILED and m.life is not Life.LEAVING:
                log.info("machine failed machine=%s", m.id)
                self._doom(m, now)


def _no_capacity(body: bytes) -> bool:
    return b"no capacity" in body


def _unknown_type(name: str) -> MachineType:
    """Stands for a type the catalogue does not hold: nothing is placed there."""
    return MachineType(name, 0.0, 0.0, 0.0, 0.0, 1.0, 0.0, 0.0, 60.0, ())


__all__ = ["CloudCall", "Controller", "JobStatus", "Offer", "Outcome", "PendingTxn", "Verdict"]
