"""What the machines say and are told: reports in, commands out, and what silence means."""

import logging
from collections.abc import Iterable
from dataclasses import dataclass

from eldercart.core import placement as rules
from eldercart.core.cloudwork import unknown_type
from eldercart.core.fleet import EPS, Life, Machine
from eldercart.core.floor import Floor
from eldercart.core.jobs import Phase, Placement
from eldercart.core.planner import Planner
from eldercart.units import NEVER, NO_REPORT, MachineId, NodeId, ReportOrder, Session, Steady
from eldercart.wire import workers

log = logging.getLogger("eldercart.controller")

DRAIN_FACTOR = 1.3  # of the time left, for run times are uncertain
WATCH_S = 0.5  # between two looks at silence and late boots
TASKS_S = 1.5  # between two looks at the tasks of all machines
PROBE_FROM = 0.7  # of the patience, after which a silent machine is asked directly
PROBE_S = 2.0  # between two such questions
PROBES = 4  # handed out at once
ORDER_S = 2.0  # between two direct commands to a machine
ORDER_AFTER = 2.5  # report intervals, in which a kill that went into an answer shows
ORDERS_RATE = 120.0  # a second on a whole core: a connection each, which costs a millisecond
# A worker drops an answer 4 s after it sent the report: by then a launch sent before the stop has
# been carried out, or never will be.
LAUNCH_LATE_S = 4.5
CUT_LEASES = 5.0  # for which a machine is left alone that shows itself, but not through its relay
MUTE_SHARE, MUTE_LEAST = 0.5, 4  # of a node's machines, whose silence together is the node's
QUARANTINE_S = 45.0  # for which tasks run on beside room that waiting ones lack
UNHEARD_S = 2.0  # without a word from a relay, after which its machines' silence may be its own


@dataclass(frozen=True, slots=True)
class Order:
    """Kills that go straight to the worker."""

    machine: MachineId
    address: str
    session: Session
    commands: tuple[workers.Kill, ...]


class Machines:
    """Reads reports against the books and answers them."""

    def __init__(self, floor: Floor, planner: Planner) -> None:
        self.f = floor
        self.planner = planner
        self._mark = 0
        self._watch_due = floor.began
        self._tasks_due = floor.began
        self._relays: dict[NodeId, Steady] = {}  # when each was heard last
        self._probes: dict[MachineId, None] = {}
        self._ordered = floor.began  # when direct commands were handed out last
        self._mute: set[NodeId] = set()  # nodes of whose machines most fell silent together

    # -- reports

    def on_report(
        self, r: workers.Report, now: Steady, relay: NodeId | None
    ) -> list[workers.Command] | None:
        f = self.f
        m = f.fleet.get(r.machine)
        if m is None:
            if f.fleet.is_gone(r.machine):
                # Its deletion was answered: this is a late copy and proves nothing.
                return None
            if r.epoch != f.epoch:
                # The first that is heard of it, and it may be a late copy from a machine deleted
                # under an earlier leader. A live worker learns the epoch from this answer and
                # shows it in its next report; a copy never can.
                return []
            kind = f.types.get(r.type) or unknown_type(r.type)
            m = f.fleet.add(r.machine, kind, r.zone, r.spot, Life.UP, now, now)
            log.info("machine adopted machine=%s type=%s zone=%s", m.id, r.type, r.zone)
        if r.order <= m.order:
            # Held back by the network: what it says has been overtaken.
            return None
        rose = m.order.session > 0 and r.order.session > m.order.session
        m.order = r.order
        m.relay = relay
        m.address = r.address
        if m.life is Life.BOOTING:
            m.life = Life.UP
            m.idle_since = m.last_heard = now
            f.plan_wanted = True
            log.debug("machine up machine=%s after=%.1f", m.id, now - m.hired)
        if r.epoch != f.epoch:
            # The worker has not seen this epoch: an older leader's response may still be obeyed,
            # so what this report lacks is no proof. Nor does it show that the machine lives now.
            m.old_epoch += 1
            if m.old_epoch > 1:
                self._ignored(m, "shows an old epoch", now)
            return []
        if m.old_epoch:
            m.old_epoch = 0
            f.obedience.obeyed(m)
        m.last_heard = now
        if m.type.name != r.type or m.zone != r.zone or m.spot != r.spot:
            f.fleet.describe(m, f.types.get(r.type) or unknown_type(r.type), r.zone, r.spot)
        if r.notice_s is not None and m.taken_at is None:
            m.taken_at = Steady(now + r.notice_s)
            m.draining = True
            log.info("spot notice machine=%s seconds=%.0f", m.id, r.notice_s)
            f.rental_due = now
        if not m.confirmed:
            m.confirmed = True
            f.plan_wanted = True
        elif rose:
            self._ignored(m, "lets its lease run out", now)
        return self._reconcile(m, r, now)

    def _ignored(self, m: Machine, why: str, now: Steady) -> None:
        if m.undelivered:
            m.undelivered = False
        elif self.f.obedience.ignored(m, now) and m.life is Life.UP:
            log.info("machine deaf machine=%s why=%s", m.id, why)
            self.f.doom(m, now)

    def undelivered(self, machine: MachineId) -> None:
        """The last answer surely came too late; that it had no effect is no sign."""
        m = self.f.fleet.get(machine)
        if m is not None:
            m.undelivered = True

    def relay_lost(self, relay: NodeId) -> None:
        """The connection broke: answers on their way are lost, and that is no machine's doing."""
        for m in self.f.fleet.machines.values():
            if m.relay == relay:
                m.undelivered = True

    def wants_next(self, machine: MachineId) -> bool:
        m = self.f.fleet.get(machine)
        if m is None or not m.confirmed or m.foreign:
            return True
        return bool(m.queue) and m.free_cpus + EPS >= min(p.job.spec.cpus for p in m.queue.values())

    def _reconcile(self, m: Machine, r: workers.Report, now: Steady) -> list[workers.Command]:
        f = self.f
        calls: list[workers.Command] = []
        self._mark += 1
        mark = self._mark
        foreign = ignored = obeyed = False
        placed = m.placed
        for key, attempt, state, why in r.tasks:
            p = placed.get(key)
            if p is None or p.attempt != attempt:
                # Not ours any more, or another attempt: out with it.
                if state == workers.EXITED:
                    calls.append(workers.Clear(key, attempt))
                else:
                    calls.append(workers.Kill(key, attempt, 0.0))
                    foreign = True
                    if p is None:
                        log.debug("unknown task machine=%s task=%s", m.id, key)
                if p is not None:
                    p.mark = mark  # a launch beside it would be refused; wait until it is cleared
                continue
            p.mark = mark
            p.maybe_there = True
            if p.phase is Phase.ENDED:
                continue  # done, not yet durable: no clear yet
            if state == workers.EXITED:
                obeyed = True
                self._exited(m, p, why, now)
                if key not in placed:  # not of a done one: until it is durable, this is the record
                    calls.append(workers.Clear(key, attempt))
                continue
            if not p.reported:
                p.reported = True
                f.fleet.note_image(m, p.job.spec.image, p.job.spec.image_gb)
                if p.told:
                    obeyed = True
                    p.told = 0
            if state == workers.TASK_RUNNING:
                if p.phase is not Phase.RUNNING:
                    f.start_waits.append(now - p.job.ready_at)
                    f.jobs.set_phase(p, Phase.RUNNING, now)
            elif state == workers.SAVING:
                f.jobs.set_phase(p, Phase.SAVING, now)
            elif p.phase is not Phase.FETCHING:
                f.jobs.set_phase(p, Phase.FETCHING, now)
            if p.stopping:
                if state == workers.SAVING:
                    obeyed = True
                elif p.told:
                    ignored = True
                p.told += 1
                calls.append(workers.Kill(key, attempt, self._grace(p)))
        if m.foreign and not foreign:
            f.plan_wanted = True
        m.foreign = foreign
        if m.live:
            for p in [p for p in placed.values() if p.mark != mark]:
                if p.phase is Phase.ENDED or p.phase is Phase.PLANNED:
                    continue
                ignored |= self._absent(m, p, calls, now)
        if m.queue:
            self._launch_queued(m, calls, now)
        if obeyed:
            f.obedience.obeyed(m)
        elif ignored:
            self._ignored(m, "does not do what it is told", now)
        m.undelivered = False
        return calls

    def _absent(self, m: Machine, p: Placement, calls: list[workers.Command], now: Steady) -> bool:
        """A newer report lacks the task. Returns whether it was told to have it."""
        f = self.f
        if p.stopping or not p.job.open:
            f.void(p, now)
            return False
        if p.reported:
            # It was there and a newer report lacks it: its session ended.
            log.info("task lost machine=%s task=%s attempt=%d", m.id, p.key, p.attempt)
            f.void(p, now)
            return False
        if m.life is not Life.UP or m.draining:
            f.void(p, now)
            return False
        if min(m.free_cpus, m.free_gpus, m.free_memory) < -EPS:
            # Written ahead by an earlier leader for room that is not there: not launched.
            f.void(p, now)
            return False
        if rules.over_limit(p.job.spec, f.fleet, f.settings.teams):
            # Written ahead by an earlier leader, which would have counted it when it was launched:
            # this one has counted all of them, and together they are more than the team may use.
            f.void(p, now)
            return False
        # Again if need be: absence from a newer report shows that a launch was dropped.
        again = p.told > 0
        p.since_known = True
        p.maybe_there = True
        p.told += 1
        calls.append(workers.Launch(p.key, p.attempt))
        return again

    def _launch_queued(self, m: Machine, calls: list[workers.Command], now: Steady) -> None:
        """The report has shown what room there is; what was written ahead may start at once."""
        f = self.f
        if not m.usable:
            return
        teams = f.settings.teams
        waiting = sorted(
            m.queue.values(),
            key=lambda p: (not p.job.aged, -p.job.priority, p.job.rank, p.queued_at),
        )
        for p in waiting:
            if p.phase is not Phase.WANTED or p.key in m.placed:
                continue
            spec = p.job.spec
            cpus, gpus, memory = m.free_cpus, m.free_gpus, m.free_memory
            if rules.fits(spec, cpus, gpus, memory) < 1:
                return
            if not p.job.aged:
                for above in self.planner.waiting:
                    # Room for a waiting task of higher priority is not broken up; the rest is used.
                    room = above.spec
                    if above.priority > p.job.priority and rules.allowed(room, m):
                        n = rules.fits(room, cpus, gpus, memory)
                        cpus -= n * room.cpus
                        gpus -= n * room.gpus
                        memory -= n * room.memory_gb
            if (
                rules.fits(spec, cpus, gpus, memory) < 1
                or rules.team_room(spec, f.fleet, teams) < 1
            ):
                continue
            f.jobs.unmark_queued(p)
            f.fleet.dequeue(m, p)
            f.fleet.occupy(m, p)
            p.maybe_there = True
            p.told = 1
            p.job.served = now
            calls.append(workers.Launch(p.key, p.attempt))

    def _grace(self, p: Placement) -> float:
        # A cancelled job's work is of no use; otherwise let the task save.
        return 0.0 if p.job.cancelled else p.job.spec.save_s

    def _exited(self, m: Machine, p: Placement, why: str | None, now: Steady) -> None:
        f = self.f
        job = p.job
        if not job.open:
            # Its end is decided or even durable (a new leader may load such a job before its
            # records are gone); to end it once more would be refused for ever.
            f.void(p, now)
            return
        ran = p.ran(now) if p.since_known else 0.0
        if why == workers.WHY_DONE:
            f.fleet.release(m, p, now)
            f.jobs.finish(p, now)
            f.dirty[job.id] = job
            if job.pending or job.queued or self.planner.waiting:
                f.plan_wanted = True
            job.begun = True
            f.work_done += ran * job.spec.cpus
            f.predictor.ran(job, ran)
            if f.health.task_done(m, job, ran):
                f.quarantine(m, "slow", now)
            if job.complete:
                f.ending[job.id] = job
            return
        if why == workers.WHY_ERROR and not p.stopping:
            log.info("task failed machine=%s task=%s attempt=%d", m.id, p.key, p.attempt)
            if f.health.task_failed(m, job, now):
                f.quarantine(m, "failing", now)
        elif why in (workers.WHY_NO_ROOM, workers.WHY_BUSY, workers.WHY_UNKNOWN):
            log.info("start refused machine=%s task=%s why=%s", m.id, p.key, why)
            m.refuse_until = Steady(now + 2 * f.settings.report_s)
            if why == workers.WHY_UNKNOWN:
                job.hold_until = Steady(now + f.tuning.error_backoff_s)
        f.void(p, now)

    # -- silence

    def heard(
        self, relay: NodeId, orders: Iterable[tuple[MachineId, ReportOrder]], now: Steady
    ) -> None:
        self._relays[relay] = now
        get = self.f.fleet.machines.get
        for machine, order in orders:
            m = get(machine)
            # An older one is a copy that came late, or has been overtaken by a forwarded report.
            if m is not None and order > m.order:
                m.order = order
                # It may have been answered for the leader before: that shortens no grace.
                m.last_heard = max(m.last_heard, now)
                m.relay = relay

    def shown(self, machine: MachineId, now: Steady) -> None:
        """Asked directly, the machine answered: it lives, wherever its reports go."""
        m = self.f.fleet.get(machine)
        if m is not None:
            m.shown = now

    def take_probes(self) -> list[tuple[MachineId, str]]:
        """Machines to be asked directly before their silence is taken for death."""
        out: list[tuple[MachineId, str]] = []
        while self._probes and len(out) < PROBES:
            machine = next(iter(self._probes))
            del self._probes[machine]
            m = self.f.fleet.get(machine)
            if m is not None and m.address:
                out.append((machine, m.address))
        return out

    def take_orders(self, now: Steady) -> list[Order]:
        """Kills of cancelled tasks, sent to `/orders` besides going into the next answer. A worker
        may report to a node that still acts for the leader before, and that can't be told so while
        the store is down: the order ends the task, and shows the worker the new epoch, after which
        it obeys nobody else. It also comes before a task that is fetching its image starts. Only
        kills go this way: a launch that the network holds back would run late."""
        out: list[Order] = []
        waiting = self.f.orders
        if not waiting:
            return out
        rate = ORDERS_RATE * max(0.1, self.f.settings.core_share)
        left = int(min(1.0, now - self._ordered) * rate)
        for machine in list(waiting):
            if len(out) >= left:
                break
            m = self.f.fleet.get(machine)
            if m is None or m.life not in (Life.UP, Life.LEAVING):
                del waiting[machine]
                continue
            if not m.address or now - m.ordered < ORDER_S:
                continue
            del waiting[machine]
            kills = tuple(
                workers.Kill(p.key, p.attempt, 0.0)
                for p in m.placed.values()
                if p.stopping and p.job.cancelled and p.phase is not Phase.ENDED
            )
            if kills:
                m.ordered = now
                session = max(m.session, m.order.session, Session(1))
                out.append(Order(m.id, m.address, session, kills[: workers.MAX_COMMANDS]))
        if out:
            self._ordered = now
        return out

    def ordered(self, r: workers.Report, executed: bool, sent: Steady, now: Steady) -> None:
        """The worker's report after a direct command, or instead of it (another session)."""
        f = self.f
        m = f.fleet.get(r.machine)
        if m is None:
            return
        m.shown = now
        rose = r.order.session > max(m.session, m.order.session, Session(1))
        m.session = max(m.session, r.order.session)
        if not executed:
            if rose:
                # It was meant for an earlier session; once more for this one, at once.
                m.ordered = NEVER
                f.orders[m.id] = None
            return
        if r.epoch != f.epoch or r.order <= m.order:
            return
        there = {(t.key, t.attempt) for t in r.tasks if t.state != workers.EXITED}
        for p in list(m.placed.values()):
            if not (p.stopping and p.job.cancelled) or p.phase is Phase.ENDED:
                continue
            if sent - p.job.cancelled_at >= LAUNCH_LATE_S and (p.key, p.attempt) not in there:
                # It has obeyed under this epoch, so nothing that an earlier leader sent can start
                # it any more, and what this one sent has run or was dropped.
                f.void(p, now)

    def stood_still(self, seconds: float) -> None:
        """Whatever was due in that time is judged as late as if it had not been: what has waited
        is read first, and everyone has time to report anew."""
        for m in self.f.fleet.machines.values():
            m.last_heard = Steady(m.last_heard + seconds)
            m.hired = Steady(m.hired + seconds)
            m.undelivered = True  # the last answer may not have left in time
        for relay, heard in self._relays.items():
            self._relays[relay] = Steady(heard + seconds)

    @property
    def patience(self) -> float:
        t = self.f.tuning
        return max(float(t.silence_least_s), float(t.silence_reports) * self.f.settings.report_s)

    def watch(self, now: Steady) -> None:
        if now < self._watch_due:
            return
        self._watch_due = Steady(now + WATCH_S)
        tasks = now >= self._tasks_due
        if tasks:
            self._tasks_due = Steady(now + TASKS_S)
        patience = self.patience
        self._find_mute(now)
        for m in self.f.fleet.machines.values():
            if m.life is Life.LEAVING:
                if tasks and any(p.stopping for p in m.placed.values()):
                    self.f.want(m)  # until the cloud has answered it may well hear
                    self.f.orders[m.id] = None
                continue
            if m.taken_at is not None:
                self._drain(m, m.taken_at, now)
            if m.life is Life.BOOTING:
                if now - m.hired > self._boot_limit(m):
                    log.info("machine late machine=%s seconds=%.1f", m.id, now - m.hired)
                    self.f.doom(m, now)
            elif now - m.last_heard > PROBE_FROM * patience and self._silent(m, patience, now):
                log.info("machine silent machine=%s seconds=%.1f", m.id, now - m.last_heard)
                self.f.doom(m, now)
            elif m.quarantined and not m.live:
                self.f.doom(m, now)
            elif tasks and (m.live or m.queue):
                self._watch_tasks(m, now)

    def _find_mute(self, now: Steady) -> None:
        """A node may lose its workers, and nothing else: they wait 4 s for an answer and report to
        another a second later, which can take longer than a machine's patience. A machine dies
        alone, or with others that report elsewhere."""
        late = 1.5 * self.f.settings.report_s
        counts: dict[NodeId, list[int]] = {}
        for m in self.f.fleet.machines.values():
            if m.life is Life.UP and m.relay is not None:
                count = counts.setdefault(m.relay, [0, 0])
                count[0] += 1
                count[1] += now - m.last_heard > late
        self._mute = {
            node
            for node, (number, silent) in counts.items()
            if silent >= max(MUTE_LEAST, MUTE_SHARE * number)
        }

    def _boot_limit(self, m: Machine) -> float:
        boot: float = max(self.f.tuning.boot_patience * m.type.boot_s, 10.0)
        return boot + self.f.settings.list_lag_s

    def _silent(self, m: Machine, patience: float, now: Steady) -> bool:
        if m.order == NO_REPORT and not m.live and now - m.hired <= self._boot_limit(m):
            # Listed as up and never heard, as a machine that booted in a zone that is cut off:
            # nothing waits for it there, and it is worth more than another one that boots anew.
            return False
        if m.address and now - m.probed >= PROBE_S:
            m.probed = now
            self._probes[m.id] = None
        limit = patience
        if m.taken_at is not None and now > m.taken_at:
            limit = 1.5 * self.f.settings.report_s  # it was told to us that it would go
        else:
            unheard = m.relay is not None and now - self._relays.get(m.relay, now) > UNHEARD_S
            if m.shown > m.last_heard:
                # It lives, and reports where this leader hears nothing. A node that is cut off
                # lets go of it within its grant; one that can't reach this node, but the store,
                # goes on answering what is unchanged.
                limit += self.f.settings.lease_s * (CUT_LEASES if unheard else 1.0)
            elif unheard or m.relay in self._mute:
                # Its node is silent, or hears no worker: it needs time to find another.
                limit += self.f.settings.lease_s / 2
        return now - m.last_heard > limit

    def _watch_tasks(self, m: Machine, now: Steady) -> None:
        f = self.f
        if m.queue and m.free_cpus > EPS:
            f.want(m)
        if m.quarantined and now - m.quarantined_at > QUARANTINE_S and self._is_missed(m):
            for p in list(m.placed.values()):
                if p.phase is not Phase.ENDED:
                    f.stop(p, now)
        for p in list(m.placed.values()):
            if p.phase is Phase.WANTED and not p.reported:
                f.want(m)  # a word to its relay may have been lost
            if p.stopping:
                if p.phase is not Phase.ENDED:
                    f.want(m)
                    asked = now - p.job.cancelled_at
                    if p.job.cancelled and asked > ORDER_AFTER * f.settings.report_s:
                        f.orders[m.id] = None
                if p.job.cancelled and now > p.job.kill_due:
                    log.info("kill overdue machine=%s task=%s", m.id, p.key)
                    f.doom(m, now)
                    return
            elif p.phase is Phase.RUNNING and f.health.straggles(p, now):
                log.info("straggler task=%s machine=%s", p.key, m.id)
                p.job.avoid(m.id, now)
                f.stop(p, now)
                if f.health.straggled(m, p.job):
                    f.quarantine(m, "slow", now)

    def _is_missed(self, m: Machine) -> bool:
        """Whether a task that waits would have room there. Where nothing can be rented, a long
        task on a machine in quarantine would keep that from it for as long as it runs."""
        return any(
            rules.allowed(job.spec, m)
            and rules.fits(job.spec, m.free_cpus, m.free_gpus, m.free_memory)
            and rules.team_room(job.spec, self.f.fleet, self.f.settings.teams)
            for job in self.f.jobs.jobs.values()
            if (job.pending or job.queued) and job.open
        )

    def _drain(self, m: Machine, taken_at: Steady, now: Steady) -> None:
        """A task that can't end before the machine is taken starts again elsewhere now rather
        than after the loss, and so does one that can save when it is stopped; one that may end
        in time runs on."""
        f = self.f
        left = taken_at - now
        for p in list(m.placed.values()):
            if p.stopping or p.phase not in (Phase.WANTED, Phase.FETCHING, Phase.RUNNING):
                continue
            if not p.since_known:
                continue
            saves = p.job.spec.checkpoint_s > 0.0 and p.job.spec.save_s < left
            if saves or f.predictor.run_s(p.job) - p.ran(now) > DRAIN_FACTOR * left:
                f.stop(p, now)
