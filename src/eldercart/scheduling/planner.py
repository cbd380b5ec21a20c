"""When a planning pass is made, and the queue that it works through.

A pass looks at what is free or may come free, not at everything that runs, and is repeated at
intervals that its own cost sets.
"""

from eldercart.cluster.inventory import Machine
from eldercart.jobs.job import Job
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.scheduling.pacing import DecayingMaxCost
from eldercart.scheduling.planning_pass import PlanningPass, QueueEntry
from eldercart.scheduling.prelaunch_queue import cancel_stale
from eldercart.scheduling.queue_order import QueueOrderContext, order_jobs
from eldercart.units import DISTANT_PAST, MonotonicTime

PASS_COST_FACTOR = 5.0  # the interval between passes is at least so many times what one takes
MAX_PASS_COST_S = 2.0  # that is believed: a process that was stalled meanwhile did not plan so long
MAX_PASS_INTERVAL_S = 1.0  # unless a pass takes long
# How long placements may wait to be written, as a share of the writes of a second.
UNWRITTEN_BACKLOG_S = 0.2
START_INDEX_STEP = 7  # by which the first machine of a search differs from the last search's


class Planner:
    """Makes planning passes and remembers what the last one left unplaced."""

    def __init__(self, cluster: ClusterState) -> None:
        """No pass has been made yet."""
        self.cluster = cluster
        self.unplaced_jobs: list[Job] = []  # that found no capacity in the last pass, in its order
        self._last_pass_at = DISTANT_PAST
        self._pass_cost = DecayingMaxCost(MAX_PASS_COST_S)
        self._rotation = 0

    def record_pass_duration(self, seconds: float) -> None:
        """Record what the last pass took, which sets the interval to the next ones."""
        self._pass_cost.record(seconds)

    def is_due(self, now: MonotonicTime, unwritten: int) -> bool:
        """Return whether the next pass may be made.

        `unwritten`: how many records with placements wait to be written. As long as there are many,
        to place more would only spread each freed place over more records; the tasks in the
        prelaunch queues bridge the time."""
        elapsed_s = now - self._last_pass_at
        interval_s = max(
            self.cluster.tuning.plan_interval_s, PASS_COST_FACTOR * self._pass_cost.seconds
        )
        if unwritten > UNWRITTEN_BACKLOG_S * self.cluster.settings.state_write_rps:
            interval_s = max(interval_s, MAX_PASS_INTERVAL_S)
        return elapsed_s >= max(MAX_PASS_INTERVAL_S, interval_s) or (
            self.cluster.is_planning_requested and elapsed_s >= interval_s
        )

    def plan(self, now: MonotonicTime) -> None:
        """Make one pass: place waiting tasks in the order of their jobs."""
        cluster = self.cluster
        cluster.is_planning_requested = False
        self._last_pass_at = now
        self.unplaced_jobs = []
        waiting = self._waiting_jobs(now)
        if not waiting:
            return
        machines = [
            machine for machine in cluster.inventory.machines.values() if machine.is_schedulable
        ]
        if not machines:
            return
        cluster.inventory.clear_reservations()
        cancel_stale(cluster, now)
        ordered = self._order_queue(waiting, machines, now)
        queue = self._with_starving_first(ordered, now)
        planning_pass = PlanningPass(cluster, machines, queue, self._next_start_index, now)
        self.unplaced_jobs = planning_pass.unplaced_jobs
        planning_pass.run()

    def _waiting_jobs(self, now: MonotonicTime) -> list[Job]:
        """Return the jobs with tasks to place; for those in backoff, request another pass."""
        waiting = []
        for job in self.cluster.jobs.jobs.values():
            if (job.enqueued_count or job.unplaced_count) and job.is_runnable:
                if job.backoff_until > now:
                    self.cluster.request_planning()
                    continue
                waiting.append(job)
        return waiting

    def _order_queue(
        self, waiting: list[Job], machines: list[Machine], now: MonotonicTime
    ) -> list[Job]:
        cluster = self.cluster
        on_demand_cpus = sum(machine.type.cpus for machine in machines if not machine.is_spot)
        all_cpus = sum(machine.type.cpus for machine in machines)
        cpus_by_priority = cluster.inventory.cpus_by_priority

        def usable_cpus(priority: int, allows_spot: bool) -> float:
            if not allows_spot:
                return on_demand_cpus
            return all_cpus - sum(
                cpus for higher, cpus in cpus_by_priority.items() if higher > priority
            )

        context = QueueOrderContext(
            inventory=cluster.inventory,
            teams=cluster.settings.teams,
            objectives=cluster.objectives,
            usable_cpus=usable_cpus,
            expected_run_s=cluster.predictor.expected_run_s,
            expected_longest_run_s=cluster.predictor.expected_longest_run_s,
        )
        ordered = order_jobs(waiting, context, now)
        for position, job in enumerate(ordered):
            job.queue_position = position
        return ordered

    def _with_starving_first(self, ordered: list[Job], now: MonotonicTime) -> list[QueueEntry]:
        """Return the queue with extra turns, for their first tasks, of jobs that have waited too
        long to start: ahead of their priority, and after a longer wait ahead of every other.

        The order alone defers the largest jobs as long as a burst lasts, and would never come to
        the lowest priority under steady load."""
        tuning = self.cluster.tuning
        queue: list[QueueEntry] = []
        ahead_of_priority: dict[int, list[QueueEntry]] = {}
        for job in sorted(ordered, key=lambda job: (job.ready_at, job.id)):
            waited_s = now - job.ready_at
            job.is_starving = not job.has_started and waited_s >= tuning.starve_s
            if not job.is_starving:
                continue
            limit = int(tuning.starve_tasks) - _placed_count(job)
            if limit <= 0:
                continue
            if waited_s >= tuning.starve_below_s:
                queue.append(QueueEntry(job, limit))
            else:
                ahead_of_priority.setdefault(job.priority, []).append(QueueEntry(job, limit))
        priority: int | None = None
        for job in ordered:
            if job.priority != priority:
                priority = job.priority
                queue += ahead_of_priority.get(priority, [])
            queue.append(QueueEntry(job))
        return queue

    def _next_start_index(self, machine_count: int) -> int:
        """Return where a search among so many machines begins, each time elsewhere."""
        self._rotation += 1
        return (self._rotation * START_INDEX_STEP) % max(1, machine_count)


def _placed_count(job: Job) -> int:
    """Return how many of the job's tasks are launched, or are to be, and not done."""
    return job.spec.task_count - job.unplaced_count - job.done_count - job.enqueued_count
