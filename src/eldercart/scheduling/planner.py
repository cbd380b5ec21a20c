"""One pass of placing: which waiting tasks go where, which are written ahead, which are stopped.

A pass looks at what is free or may come free, not at everything that runs, and is repeated at a
pace that its own cost sets.
"""

import heapq
import logging
from dataclasses import dataclass
from typing import Any

from eldercart.cluster.inventory import EPS, Machine
from eldercart.jobs.registry import Job, Placement
from eldercart.scheduling import feasibility
from eldercart.scheduling.cluster_state import SchedulerState
from eldercart.scheduling.pacing import RememberedCost
from eldercart.units import NEVER, JobId, MachineId, Steady
from eldercart.wire.users import JobSpec

log = logging.getLogger("eldercart.controller")

PACE = 5.0  # a pass may take one part in so many of the time
MOST_COST_S = 2.0  # that is believed: a process that was stalled meanwhile did not plan so long
UNWRITTEN_S = 0.2  # of the changes a second, that placements may wait to be written
OFFERS = 12  # machines looked at per task that others are stopped for
VAIN_S = 45.0  # for which room may be kept for others, or a job wait for better, in vain


# CPU seconds lost, the machine's name to make the order total, the machine, the tasks to stop.
_Offer = tuple[float, MachineId, Machine, list[Placement]]


class Planner:
    """Owns the order of the last pass and what it left waiting."""

    def __init__(self, scheduler: SchedulerState) -> None:
        """No pass has been made yet."""
        self.scheduler = scheduler
        self.waiting: list[Job] = []  # of jobs that found no room in the last pass
        self._planned = NEVER
        self._cost = RememberedCost(MOST_COST_S)  # of a pass, as told by the adapter
        self._turn = 0

    def cost(self, seconds: float) -> None:
        """The last pass took so long; the pace of the next ones follows from it."""
        self._cost.took(seconds)

    def due(self, now: Steady, unwritten: int) -> bool:
        """`unwritten`: records that hold placements and wait to be written. As long as there are
        many, to place more would only spread each freed place over more records; what was
        written ahead bridges the time."""
        since = now - self._planned
        least = max(self.scheduler.tuning.plan_interval_s, PACE * self._cost.seconds)
        if unwritten > UNWRITTEN_S * self.scheduler.settings.state_write_rps:
            least = max(least, 1.0)
        return since >= max(1.0, least) or (self.scheduler.plan_wanted and since >= least)

    def plan(self, now: Steady) -> None:
        """One pass: places waiting tasks in the order of their jobs."""
        scheduler = self.scheduler
        scheduler.plan_wanted = False
        self._planned = now
        self.waiting = []
        waiting = []
        for j in scheduler.jobs.jobs.values():
            if (j.queued or j.pending) and j.open:
                if j.backoff_until > now:
                    scheduler.plan_wanted = True
                    continue
                waiting.append(j)
        if not waiting:
            return
        machines = [m for m in scheduler.fleet.machines.values() if m.usable]
        if not machines:
            return
        scheduler.fleet.clear_reservations()
        self._revoke_queued(now)
        ordinary = sum(m.type.cpus for m in machines if not m.spot)
        usable = sum(m.type.cpus for m in machines)
        used = scheduler.fleet.used

        def capacity(priority: int, spot: bool) -> float:
            if not spot:
                return ordinary
            return usable - sum(cpus for above, cpus in used.items() if above > priority)

        ordered = feasibility.order_jobs(
            waiting,
            scheduler.fleet,
            scheduler.settings.teams,
            scheduler.promises,
            capacity,
            scheduler.predictor.run_s,
            scheduler.predictor.longest_s,
            now,
        )
        for rank, job in enumerate(ordered):
            job.rank = rank
        _PlanningPass(self, machines, self._with_aged(ordered, now), now).run()

    def _with_aged(self, ordered: list[Job], now: Steady) -> list[tuple[Job, int | None]]:
        """Jobs that have waited too long to begin go ahead with their first tasks: of their
        priority, and after a longer wait of every other. The order alone defers the largest
        as long as a burst lasts, and would never come to the lowest under steady load."""
        t = self.scheduler.tuning
        first: list[tuple[Job, int | None]] = []
        ahead: dict[int, list[tuple[Job, int | None]]] = {}
        for job in sorted(ordered, key=lambda j: (j.ready_at, j.id)):
            waited = now - job.ready_at
            job.aged = not job.begun and waited >= t.starve_s
            if not job.aged:
                continue
            placed = job.spec.tasks - job.pending - job.done_count - job.queued
            left = int(t.starve_tasks) - placed
            if left <= 0:
                continue
            if waited >= t.starve_below_s:
                first.append((job, left))
            else:
                ahead.setdefault(job.priority, []).append((job, left))
        out = first
        level: int | None = None
        for job in ordered:
            if job.priority != level:
                level = job.priority
                out += ahead.get(level, [])
            out.append((job, None))
        return out

    def _revoke_queued(self, now: Steady) -> None:
        """Takes back what was written ahead for a machine that no longer takes anything, or where
        the room has not come: it was never sent, so it may go elsewhere at once."""
        before = now - self.scheduler.tuning.ahead_patience_s
        over = [
            p
            for m in self.scheduler.fleet.queues.values()
            for p in m.queue.values()
            if p.queued_at < before or not m.usable
        ]
        for p in over:
            self.scheduler.void(p, now)

    def turn(self, number: int) -> int:
        """Where to begin among so many, each time elsewhere."""
        self._turn += 1
        return (self._turn * 7) % max(1, number)


@dataclass(slots=True)
class _WrittenAhead:
    """Tasks of one job that wait on one machine."""

    machine: Machine
    spec: JobSpec
    number: int = 1


class _PlanningPass:
    def __init__(
        self,
        planner: Planner,
        machines: list[Machine],
        jobs: list[tuple[Job, int | None]],
        now: Steady,
    ) -> None:
        self.planner = planner
        self.scheduler = planner.scheduler
        self.now = now
        self.machines = machines
        self.jobs = jobs
        least = min((job.spec.cpus for job, _ in jobs if job.spec.cpus > 0), default=0.0)
        self.least = least
        self.open = [
            m
            for m in machines
            if m.free_cpus + EPS >= least and m.free_memory > EPS and m.refuse_until <= now
        ]
        self._ahead: list[Machine] | None = None
        self._leaving: list[Machine] | None = None
        self._full: set[tuple[Any, ...]] = set()  # shapes that found no room in this pass
        self._no_claim: set[tuple[Any, ...]] = set()

    def run(self) -> None:
        scheduler, now = self.scheduler, self.now
        level: int | None = None
        keeps = self._ordinary_kept()
        ahead = self._ahead_by_priority()
        lead = 2.5 * scheduler.settings.report_s + 1.0
        patience = scheduler.tuning.preempt_wait_s
        for job, cap in self.jobs:
            spec = job.spec
            if cap is None and job.priority != level:
                for above in [p for p in ahead if p >= job.priority]:
                    for waiting in ahead.pop(above).values():
                        scheduler.fleet.reserve(waiting.machine, waiting.spec, waiting.number)
                level = job.priority
            shape = (spec.cpus, spec.gpus, spec.memory_gb, spec.types, spec.zone, spec.spot)
            kept = spec.spot and keeps is not None and job.priority <= keeps and cap is None
            kept = kept and not job.prefers_ordinary
            if self.open and shape not in self._full and (*shape, kept) not in self._full:
                self._place(job, shape, kept, cap)
            if cap is None and (job.pending or job.queued):
                self.planner.waiting.append(job)
            left = min(
                job.pending, feasibility.team_room(spec, scheduler.fleet, scheduler.settings.teams)
            )
            if cap is not None:
                left = min(left, cap - job.queued)
            if left <= 0 or spec.together or spec.spread:
                continue
            if cap is not None or now >= scheduler.promises.preempts_from(job, lead, patience):
                left -= self._claim(job, left, shape)
            if left > 0:
                self._write_ahead(job, left, cap is not None)
        self._use_what_is_kept_in_vain()

    def _use_what_is_kept_in_vain(self) -> None:
        """Room may be held for a larger task, kept for those that need ordinary machines, or left
        because something else looked better. Where nothing has ended for so long, nobody has come
        for it: a job that has waited as long takes it, whatever it was kept for."""
        scheduler, now = self.scheduler, self.now
        before = now - VAIN_S
        late = [
            job
            for job, cap in self.jobs
            if cap is None
            if (job.pending or job.queued) and max(job.ready_at, job.served) <= before
            if feasibility.team_room(job.spec, scheduler.fleet, scheduler.settings.teams) > 0
        ]
        if not late:
            return
        scheduler.fleet.clear_reservations()
        self.open = [
            m
            for m in self.machines
            if m.idle_since <= before and m.free_cpus + EPS >= self.least and m.refuse_until <= now
        ]
        for job in late:
            if not self.open:
                return
            self._place(job, (), False, None)

    def _ahead_by_priority(self) -> dict[int, dict[tuple[MachineId, JobId], _WrittenAhead]]:
        """What was written ahead keeps its room from jobs of the same or lower priority."""
        out: dict[int, dict[tuple[MachineId, JobId], _WrittenAhead]] = {}
        for m in self.scheduler.fleet.queues.values():
            for p in m.queue.values():
                job = p.job
                same = out.setdefault(job.priority, {})
                ahead = same.get((m.id, job.id))
                if ahead is None:
                    same[m.id, job.id] = _WrittenAhead(m, job.spec)
                else:
                    ahead.number += 1
        return out

    def _place(self, job: Job, shape: tuple[Any, ...], no_ordinary: bool, cap: int | None) -> None:
        scheduler, now, spec = self.scheduler, self.now, job.spec
        wanted = job.pending + job.queued if cap is None else min(cap, job.pending + job.queued)
        machines = [m for m in self.open if m.spot] if no_ordinary else self.open
        choices = feasibility.choose(
            job, wanted, machines, scheduler.fleet, scheduler.settings.teams, now
        )
        self._take_back(job, sum(c.number for c in choices) - job.pending)
        if not choices:
            plain = not (spec.together or spec.spread or job.bad_machines)
            if plain and feasibility.team_room(spec, scheduler.fleet, scheduler.settings.teams) > 0:
                # Of those that ordinary machines are kept from, it tells nothing of the others.
                self._full.add((*shape, True) if no_ordinary else shape)
            return
        job.served = now
        for choice in choices:
            for index in scheduler.jobs.next_tasks(job, choice.number):
                p = scheduler.jobs.place(job, index, choice.machine.id, now)
                p.kept = cap is not None
                scheduler.fleet.occupy(choice.machine, p)
        scheduler.dirty[job.id] = job
        least = self.least
        self.open = [m for m in self.open if m.free_cpus - m.reserved_cpus + EPS >= least]

    def _ordinary_kept(self) -> int | None:
        """Whether ordinary machines are kept for jobs that may use nothing else, and up to which
        priority: when those jobs are expected to need all that is left of them, a job that may
        use spot machines waits for one rather than be stopped or stand in the way."""
        free = sum(m.free_cpus for m in self.machines if not m.spot)
        top = -1
        for job in self.scheduler.jobs.jobs.values():
            if not job.spec.spot and job.ended is None and job.ready:
                top = max(top, job.priority)
        wanted = self.scheduler.rental.targets()[0] - self.scheduler.fleet.ordinary_used
        return top if top >= 0 and wanted >= free else None

    def _take_back(self, job: Job, number: int) -> None:
        """Room has come free elsewhere for tasks that were written ahead: nothing was sent for
        them, so they may move."""
        if number <= 0:
            return
        queued = [p for p in job.placements() if p.queued]
        queued.sort(key=lambda p: (-p.queued_at, p.key))
        for p in queued[:number]:
            self.scheduler.void(p, self.now)

    def _write_ahead(self, job: Job, left: int, aged: bool) -> None:
        """Writes waiting tasks ahead, so that a report that shows room is answered with a launch
        and no write stands between; in an outage of the state service work goes on so far."""
        spec = job.spec
        if spec.cpus <= 0:
            return
        share = self.scheduler.tuning.ahead_share
        if self._ahead is None:
            self._ahead = self._with_room_ahead(self.machines)
        candidates = []
        for m in self.machines if aged else self._ahead:
            room = m.type.cpus * share - m.queued_cpus
            if aged:
                room = max(room, spec.cpus)
            if (
                room + EPS >= spec.cpus
                and not job.avoids(m.id, self.now)
                and feasibility.allowed(spec, m)
            ):
                cached = spec.image in m.images
                candidates.append(
                    (not cached, len(m.queue), m.id, m, int((room + EPS) / spec.cpus))
                )
        if not candidates:
            return
        candidates.sort(key=lambda c: c[:3])
        for _, _, _, m, n in candidates:
            take = min(left, n)
            if take <= 0:
                break
            left -= take
            self._enqueue(job, m, take, aged)
        self._ahead = self._with_room_ahead(self._ahead)

    def _with_room_ahead(self, machines: list[Machine]) -> list[Machine]:
        share, least = self.scheduler.tuning.ahead_share, self.least
        return [m for m in machines if m.type.cpus * share - m.queued_cpus + EPS >= least]

    def _enqueue(self, job: Job, m: Machine, number: int, kept: bool = False) -> None:
        scheduler = self.scheduler
        for index in scheduler.jobs.next_tasks(job, number):
            p = scheduler.jobs.place(job, index, m.id, self.now)
            p.kept = kept
            scheduler.jobs.mark_queued(p, self.now)
            scheduler.fleet.enqueue(m, p)
            scheduler.fleet.reserve(m, job.spec, 1)
        scheduler.dirty[job.id] = job

    def _claim(self, job: Job, left: int, shape: tuple[Any, ...]) -> int:
        """Reserves room for a job that found none: first where tasks are being stopped anyway, then
        by stopping tasks of lower priority, those that lose the least work first, among some of
        the machines. Without the reservation, small tasks would take each freed bit and a larger
        one would wait for ever. Returns how many tasks now wait for such room, written ahead."""
        if shape in self._no_claim:
            return 0
        if self._leaving is None:
            self._leaving = [m for m in self.machines if m.leaving_cpus > EPS]
        claimed = self._claim_leaving(job, left, self._leaving)
        if claimed >= left or not _runs_below(self.scheduler.fleet.used, job):
            return claimed
        offers = self._offers(job, OFFERS + 2 * (left - claimed))
        claimed += self._preempt(job, left - claimed, offers, self._leaving)
        if claimed == 0 and not job.bad_machines:
            self._no_claim.add(shape)
        return claimed

    def _claim_leaving(self, job: Job, left: int, leaving: list[Machine]) -> int:
        """Reserves room that tasks being stopped will free; returns for how many tasks."""
        claimed = 0
        for m in leaving:
            if claimed >= left:
                break
            if feasibility.allowed(job.spec, m) and not job.avoids(m.id, self.now):
                number = min(feasibility.room_soon(job.spec, m), left - claimed)
                if number > 0:
                    self._enqueue(job, m, number)
                    claimed += number
        return claimed

    def _offers(self, job: Job, most: int) -> list[_Offer]:
        """What at most so many machines would lose by making room for one task; a heap."""
        offers: list[_Offer] = []
        looked = 0
        number = len(self.machines)
        start = self.planner.turn(number)
        for i in range(number):
            m = self.machines[(start + i) % number]
            if not _runs_below(m.by_priority, job):
                continue
            if not feasibility.allowed(job.spec, m) or job.avoids(m.id, self.now):
                continue
            self._add_offer(offers, job, m)
            looked += 1
            if looked >= most:
                break
        return offers

    def _add_offer(self, offers: list[_Offer], job: Job, m: Machine) -> None:
        offer = feasibility.cheapest_victims(job, m, self.now)
        if offer is not None:
            heapq.heappush(offers, (offer[0], m.id, m, offer[1]))

    def _preempt(self, job: Job, left: int, offers: list[_Offer], leaving: list[Machine]) -> int:
        """Takes the cheapest offers; returns for how many tasks others are being stopped."""
        claimed = 0
        while claimed < left and offers:
            _, _, m, victims = heapq.heappop(offers)
            self._enqueue(job, m, 1)
            claimed += 1
            for p in victims:
                log.debug("preempted task=%s machine=%s for=%s", p.key, p.machine, job.id)
                self.scheduler.stop(p, self.now)
            if m not in leaving:
                leaving.append(m)
            self._add_offer(offers, job, m)
        return claimed


def _runs_below(cpus_by_priority: dict[int, float], job: Job) -> bool:
    """Whether anything of lower priority than the job runs there."""
    return any(cpus > EPS for below, cpus in cpus_by_priority.items() if below < job.priority)
