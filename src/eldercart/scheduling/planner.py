"""One pass of placing: which waiting tasks go where, which are written ahead, which are stopped.

A pass looks at what is free or may come free, not at everything that runs, and is repeated at a
pace that its own cost sets.
"""

import heapq
import logging
from dataclasses import dataclass
from typing import Any

from eldercart.cluster.inventory import RESOURCE_EPSILON, Machine
from eldercart.jobs.job import Job, Placement
from eldercart.scheduling import feasibility
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.scheduling.pacing import DecayingMaxCost
from eldercart.units import DISTANT_PAST, JobId, MachineId, MonotonicTime
from eldercart.wire.users import JobSpec

log = logging.getLogger("eldercart.controller")

PASS_COST_FACTOR = 5.0  # a pass may take one part in so many of the time
MAX_PASS_COST_S = 2.0  # that is believed: a process that was stalled meanwhile did not plan so long
UNWRITTEN_BACKLOG_S = 0.2  # of the changes a second, that placements may wait to be written
MIN_PREEMPTION_OPTIONS = 12  # machines looked at per task that others are stopped for
UNUSED_CAPACITY_TIMEOUT_S = (
    45.0  # for which room may be kept for others, or a job wait for better, in vain
)


# CPU seconds lost, the machine's name to make the order total, the machine, the tasks to stop.
_PreemptionOption = tuple[float, MachineId, Machine, list[Placement]]


class Planner:
    """Owns the order of the last pass and what it left waiting."""

    def __init__(self, scheduler: ClusterState) -> None:
        """No pass has been made yet."""
        self.cluster = scheduler
        self.unplaced_jobs: list[Job] = []  # of jobs that found no room in the last pass
        self._last_pass_at = DISTANT_PAST
        self._pass_cost = DecayingMaxCost(MAX_PASS_COST_S)  # of a pass, as told by the adapter
        self._rotation = 0

    def record_pass_duration(self, seconds: float) -> None:
        """The last pass took so long; the pace of the next ones follows from it."""
        self._pass_cost.record(seconds)

    def is_due(self, now: MonotonicTime, unwritten: int) -> bool:
        """`unwritten`: records that hold placements and wait to be written. As long as there are
        many, to place more would only spread each freed place over more records; what was
        written ahead bridges the time."""
        since = now - self._last_pass_at
        least = max(self.cluster.tuning.plan_interval_s, PASS_COST_FACTOR * self._pass_cost.seconds)
        if unwritten > UNWRITTEN_BACKLOG_S * self.cluster.settings.state_write_rps:
            least = max(least, 1.0)
        return since >= max(1.0, least) or (self.cluster.is_planning_requested and since >= least)

    def plan(self, now: MonotonicTime) -> None:
        """One pass: places waiting tasks in the order of their jobs."""
        scheduler = self.cluster
        scheduler.is_planning_requested = False
        self._last_pass_at = now
        self.unplaced_jobs = []
        waiting = []
        for j in scheduler.jobs.jobs.values():
            if (j.enqueued_count or j.unplaced_count) and j.is_runnable:
                if j.backoff_until > now:
                    scheduler.is_planning_requested = True
                    continue
                waiting.append(j)
        if not waiting:
            return
        machines = [m for m in scheduler.inventory.machines.values() if m.is_schedulable]
        if not machines:
            return
        scheduler.inventory.clear_reservations()
        self._cancel_stale_enqueued(now)
        ordinary = sum(m.type.cpus for m in machines if not m.is_spot)
        usable = sum(m.type.cpus for m in machines)
        used = scheduler.inventory.cpus_by_priority

        def capacity(priority: int, spot: bool) -> float:
            if not spot:
                return ordinary
            return usable - sum(cpus for above, cpus in used.items() if above > priority)

        ordered = feasibility.order_jobs(
            waiting,
            scheduler.inventory,
            scheduler.settings.teams,
            scheduler.objectives,
            capacity,
            scheduler.predictor.expected_run_s,
            scheduler.predictor.expected_longest_run_s,
            now,
        )
        for rank, job in enumerate(ordered):
            job.queue_position = rank
        _PlanningPass(self, machines, self._with_starving_first(ordered, now), now).run()

    def _with_starving_first(
        self, ordered: list[Job], now: MonotonicTime
    ) -> list[tuple[Job, int | None]]:
        """Jobs that have waited too long to begin go ahead with their first tasks: of their
        priority, and after a longer wait of every other. The order alone defers the largest
        as long as a burst lasts, and would never come to the lowest under steady load."""
        t = self.cluster.tuning
        first: list[tuple[Job, int | None]] = []
        ahead: dict[int, list[tuple[Job, int | None]]] = {}
        for job in sorted(ordered, key=lambda j: (j.ready_at, j.id)):
            waited = now - job.ready_at
            job.is_starving = not job.has_started and waited >= t.starve_s
            if not job.is_starving:
                continue
            placed = job.spec.task_count - job.unplaced_count - job.done_count - job.enqueued_count
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

    def _cancel_stale_enqueued(self, now: MonotonicTime) -> None:
        """Takes back what was written ahead for a machine that no longer takes anything, or where
        the room has not come: it was never sent, so it may go elsewhere at once."""
        before = now - self.cluster.tuning.ahead_patience_s
        over = [
            p
            for m in self.cluster.inventory.machines_with_prelaunch_queue.values()
            for p in m.prelaunch_queue.values()
            if p.enqueued_at < before or not m.is_schedulable
        ]
        for p in over:
            self.cluster.cancel_placement(p, now)

    def next_start_index(self, number: int) -> int:
        """Where to begin among so many, each time elsewhere."""
        self._rotation += 1
        return (self._rotation * 7) % max(1, number)


@dataclass(slots=True)
class _EnqueuedTasks:
    """Tasks of one job that wait on one machine."""

    machine: Machine
    spec: JobSpec
    task_count: int = 1


class _PlanningPass:
    def __init__(
        self,
        planner: Planner,
        machines: list[Machine],
        jobs: list[tuple[Job, int | None]],
        now: MonotonicTime,
    ) -> None:
        self.planner = planner
        self.cluster = planner.cluster
        self.now = now
        self.machines = machines
        self.jobs = jobs
        least = min((job.spec.cpus for job, _ in jobs if job.spec.cpus > 0), default=0.0)
        self.min_task_cpus = least
        self.open_machines = [
            m
            for m in machines
            if m.free_cpus + RESOURCE_EPSILON >= least
            and m.free_memory_gb > RESOURCE_EPSILON
            and m.launch_backoff_until <= now
        ]
        self._machines_with_queue_space: list[Machine] | None = None
        self._terminating_machines: list[Machine] | None = None
        self._infeasible_shapes: set[tuple[Any, ...]] = (
            set()
        )  # shapes that found no room in this pass
        self._unreservable_shapes: set[tuple[Any, ...]] = set()

    def run(self) -> None:
        scheduler, now = self.cluster, self.now
        level: int | None = None
        keeps = self._priority_barred_from_on_demand()
        ahead = self._enqueued_by_priority()
        lead = 2.5 * scheduler.settings.report_s + 1.0
        patience = scheduler.tuning.preempt_wait_s
        for job, cap in self.jobs:
            spec = job.spec
            if cap is None and job.priority != level:
                for above in [p for p in ahead if p >= job.priority]:
                    for waiting in ahead.pop(above).values():
                        scheduler.inventory.reserve(
                            waiting.machine, waiting.spec, waiting.task_count
                        )
                level = job.priority
            shape = (
                spec.cpus,
                spec.gpus,
                spec.memory_gb,
                spec.machine_types,
                spec.zone,
                spec.allows_spot,
            )
            kept = spec.allows_spot and keeps is not None and job.priority <= keeps and cap is None
            kept = kept and not job.prefers_on_demand
            if (
                self.open_machines
                and shape not in self._infeasible_shapes
                and (*shape, kept) not in self._infeasible_shapes
            ):
                self._place(job, shape, kept, cap)
            if cap is None and (job.unplaced_count or job.enqueued_count):
                self.planner.unplaced_jobs.append(job)
            left = min(
                job.unplaced_count,
                feasibility.quota_headroom(spec, scheduler.inventory, scheduler.settings.teams),
            )
            if cap is not None:
                left = min(left, cap - job.enqueued_count)
            if left <= 0 or spec.single_zone or spec.spread:
                continue
            if cap is not None or now >= scheduler.objectives.preemption_allowed_at(
                job, lead, patience
            ):
                left -= self._reserve_or_preempt(job, left, shape)
            if left > 0:
                self._enqueue_ahead(job, left, cap is not None)
        self._place_on_unused_capacity()

    def _place_on_unused_capacity(self) -> None:
        """Room may be held for a larger task, kept for those that need ordinary machines, or left
        because something else looked better. Where nothing has ended for so long, nobody has come
        for it: a job that has waited as long takes it, whatever it was kept for."""
        scheduler, now = self.cluster, self.now
        before = now - UNUSED_CAPACITY_TIMEOUT_S
        late = [
            job
            for job, cap in self.jobs
            if cap is None
            if (job.unplaced_count or job.enqueued_count)
            and max(job.ready_at, job.last_placed_at) <= before
            if feasibility.quota_headroom(job.spec, scheduler.inventory, scheduler.settings.teams)
            > 0
        ]
        if not late:
            return
        scheduler.inventory.clear_reservations()
        self.open_machines = [
            m
            for m in self.machines
            if m.idle_since <= before
            and m.free_cpus + RESOURCE_EPSILON >= self.min_task_cpus
            and m.launch_backoff_until <= now
        ]
        for job in late:
            if not self.open_machines:
                return
            self._place(job, (), False, None)

    def _enqueued_by_priority(self) -> dict[int, dict[tuple[MachineId, JobId], _EnqueuedTasks]]:
        """What was written ahead keeps its room from jobs of the same or lower priority."""
        out: dict[int, dict[tuple[MachineId, JobId], _EnqueuedTasks]] = {}
        for m in self.cluster.inventory.machines_with_prelaunch_queue.values():
            for p in m.prelaunch_queue.values():
                job = p.job
                same = out.setdefault(job.priority, {})
                ahead = same.get((m.id, job.id))
                if ahead is None:
                    same[m.id, job.id] = _EnqueuedTasks(m, job.spec)
                else:
                    ahead.task_count += 1
        return out

    def _place(self, job: Job, shape: tuple[Any, ...], no_ordinary: bool, cap: int | None) -> None:
        scheduler, now, spec = self.cluster, self.now, job.spec
        wanted = (
            job.unplaced_count + job.enqueued_count
            if cap is None
            else min(cap, job.unplaced_count + job.enqueued_count)
        )
        machines = (
            [m for m in self.open_machines if m.is_spot] if no_ordinary else self.open_machines
        )
        choices = feasibility.select_machines(
            job, wanted, machines, scheduler.inventory, scheduler.settings.teams, now
        )
        self._cancel_enqueued(job, sum(c.task_count for c in choices) - job.unplaced_count)
        if not choices:
            plain = not (spec.single_zone or spec.spread or job.avoided_machines)
            if (
                plain
                and feasibility.quota_headroom(spec, scheduler.inventory, scheduler.settings.teams)
                > 0
            ):
                # Of those that ordinary machines are kept from, it tells nothing of the others.
                self._infeasible_shapes.add((*shape, True) if no_ordinary else shape)
            return
        job.last_placed_at = now
        for choice in choices:
            for index in scheduler.jobs.take_unplaced_tasks(job, choice.task_count):
                p = scheduler.jobs.add_placement(job, index, choice.machine.id, now)
                p.is_exempt_from_preemption = cap is not None
                scheduler.inventory.allocate(choice.machine, p)
        scheduler.dirty_jobs[job.id] = job
        least = self.min_task_cpus
        self.open_machines = [
            m
            for m in self.open_machines
            if m.free_cpus - m.reserved_cpus + RESOURCE_EPSILON >= least
        ]

    def _priority_barred_from_on_demand(self) -> int | None:
        """Whether ordinary machines are kept for jobs that may use nothing else, and up to which
        priority: when those jobs are expected to need all that is left of them, a job that may
        use spot machines waits for one rather than be stopped or stand in the way."""
        free = sum(m.free_cpus for m in self.machines if not m.is_spot)
        top = -1
        for job in self.cluster.jobs.jobs.values():
            if not job.spec.allows_spot and job.outcome is None and job.is_ready:
                top = max(top, job.priority)
        wanted = (
            self.cluster.autoscaler.target_cpus()[0] - self.cluster.inventory.on_demand_only_cpus
        )
        return top if top >= 0 and wanted >= free else None

    def _cancel_enqueued(self, job: Job, number: int) -> None:
        """Room has come free elsewhere for tasks that were written ahead: nothing was sent for
        them, so they may move."""
        if number <= 0:
            return
        queued = [p for p in job.placements() if p.is_enqueued]
        queued.sort(key=lambda p: (-p.enqueued_at, p.key))
        for p in queued[:number]:
            self.cluster.cancel_placement(p, self.now)

    def _enqueue_ahead(self, job: Job, left: int, aged: bool) -> None:
        """Writes waiting tasks ahead, so that a report that shows room is answered with a launch
        and no write stands between; in an outage of the state service work goes on so far."""
        spec = job.spec
        if spec.cpus <= 0:
            return
        share = self.cluster.tuning.ahead_share
        if self._machines_with_queue_space is None:
            self._machines_with_queue_space = self._with_queue_space(self.machines)
        candidates = []
        for m in self.machines if aged else self._machines_with_queue_space:
            room = m.type.cpus * share - m.prelaunch_cpus
            if aged:
                room = max(room, spec.cpus)
            if (
                room + RESOURCE_EPSILON >= spec.cpus
                and not job.avoids_machine(m.id, self.now)
                and feasibility.is_feasible(spec, m)
            ):
                cached = spec.image in m.cached_images
                candidates.append(
                    (
                        not cached,
                        len(m.prelaunch_queue),
                        m.id,
                        m,
                        int((room + RESOURCE_EPSILON) / spec.cpus),
                    )
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
        self._machines_with_queue_space = self._with_queue_space(self._machines_with_queue_space)

    def _with_queue_space(self, machines: list[Machine]) -> list[Machine]:
        share, least = self.cluster.tuning.ahead_share, self.min_task_cpus
        return [
            m
            for m in machines
            if m.type.cpus * share - m.prelaunch_cpus + RESOURCE_EPSILON >= least
        ]

    def _enqueue(self, job: Job, m: Machine, number: int, kept: bool = False) -> None:
        scheduler = self.cluster
        for index in scheduler.jobs.take_unplaced_tasks(job, number):
            p = scheduler.jobs.add_placement(job, index, m.id, self.now)
            p.is_exempt_from_preemption = kept
            scheduler.jobs.mark_enqueued(p, self.now)
            scheduler.inventory.enqueue(m, p)
            scheduler.inventory.reserve(m, job.spec, 1)
        scheduler.dirty_jobs[job.id] = job

    def _reserve_or_preempt(self, job: Job, left: int, shape: tuple[Any, ...]) -> int:
        """Reserves room for a job that found none: first where tasks are being stopped anyway, then
        by stopping tasks of lower priority, those that lose the least work first, among some of
        the machines. Without the reservation, small tasks would take each freed bit and a larger
        one would wait for ever. Returns how many tasks now wait for such room, written ahead."""
        if shape in self._unreservable_shapes:
            return 0
        if self._terminating_machines is None:
            self._terminating_machines = [
                m for m in self.machines if m.terminating_cpus > RESOURCE_EPSILON
            ]
        claimed = self._reserve_terminating(job, left, self._terminating_machines)
        if claimed >= left or not _has_lower_priority(self.cluster.inventory.cpus_by_priority, job):
            return claimed
        offers = self._preemption_options(job, MIN_PREEMPTION_OPTIONS + 2 * (left - claimed))
        claimed += self._preempt(job, left - claimed, offers, self._terminating_machines)
        if claimed == 0 and not job.avoided_machines:
            self._unreservable_shapes.add(shape)
        return claimed

    def _reserve_terminating(self, job: Job, left: int, leaving: list[Machine]) -> int:
        """Reserves room that tasks being stopped will free; returns for how many tasks."""
        claimed = 0
        for m in leaving:
            if claimed >= left:
                break
            if feasibility.is_feasible(job.spec, m) and not job.avoids_machine(m.id, self.now):
                number = min(feasibility.capacity_after_terminations(job.spec, m), left - claimed)
                if number > 0:
                    self._enqueue(job, m, number)
                    claimed += number
        return claimed

    def _preemption_options(self, job: Job, most: int) -> list[_PreemptionOption]:
        """What at most so many machines would lose by making room for one task; a heap."""
        offers: list[_PreemptionOption] = []
        looked = 0
        number = len(self.machines)
        start = self.planner.next_start_index(number)
        for i in range(number):
            m = self.machines[(start + i) % number]
            if not _has_lower_priority(m.cpus_by_priority, job):
                continue
            if not feasibility.is_feasible(job.spec, m) or job.avoids_machine(m.id, self.now):
                continue
            self._push_preemption_option(offers, job, m)
            looked += 1
            if looked >= most:
                break
        return offers

    def _push_preemption_option(
        self, offers: list[_PreemptionOption], job: Job, m: Machine
    ) -> None:
        offer = feasibility.select_victims(job, m, self.now)
        if offer is not None:
            heapq.heappush(offers, (offer[0], m.id, m, offer[1]))

    def _preempt(
        self, job: Job, left: int, offers: list[_PreemptionOption], leaving: list[Machine]
    ) -> int:
        """Takes the cheapest offers; returns for how many tasks others are being stopped."""
        claimed = 0
        while claimed < left and offers:
            _, _, m, victims = heapq.heappop(offers)
            self._enqueue(job, m, 1)
            claimed += 1
            for p in victims:
                log.debug("preempted task=%s machine=%s for=%s", p.key, p.machine_id, job.id)
                self.cluster.kill_placement(p, self.now)
            if m not in leaving:
                leaving.append(m)
            self._push_preemption_option(offers, job, m)
        return claimed


def _has_lower_priority(cpus_by_priority: dict[int, float], job: Job) -> bool:
    """Whether anything of lower priority than the job runs there."""
    return any(
        cpus > RESOURCE_EPSILON for below, cpus in cpus_by_priority.items() if below < job.priority
    )
