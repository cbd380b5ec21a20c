"""Decides when a planning pass runs, and builds the job queue for it.

A pass examines only capacity that is free or may become free, not every running task. The interval
between passes grows with the duration of a pass.
"""

from eldercart.cluster.inventory import Machine
from eldercart.jobs.job import Job
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.scheduling.pacing import DecayingMaxCost
from eldercart.scheduling.planning_pass import PlanningPass, QueueEntry
from eldercart.scheduling.prelaunch_queue import cancel_stale
from eldercart.scheduling.queue_order import QueueOrderContext, order_jobs
from eldercart.units import DISTANT_PAST, MonotonicTime

PASS_COST_FACTOR = 5.0  # minimum interval between passes, in durations of a pass
# Upper bound of one recorded duration: a process that was stalled did not plan all that time.
MAX_PASS_COST_S = 2.0
# A pass is due after this time even if none was requested, unless passes take long.
MAX_PASS_INTERVAL_S = 1.0
# Backlog of unwritten placement records above which passes are less frequent, in seconds of the
# state store's write rate.
UNWRITTEN_BACKLOG_S = 0.2
START_INDEX_STEP = 7  # distance between the first machines of two consecutive searches


class Planner:
    """Runs planning passes, and keeps the jobs that the last pass could not place completely."""

    def __init__(self, cluster: ClusterState) -> None:
        """Create a planner whose first pass is due at once."""
        self.cluster = cluster
        # Jobs with tasks that found no capacity in the last pass, in queue order.
        self.unplaced_jobs: list[Job] = []
        self._last_pass_at = DISTANT_PAST
        self._pass_cost = DecayingMaxCost(MAX_PASS_COST_S)
        self._search_count = 0

    def record_pass_duration(self, seconds: float) -> None:
        """Record the duration of the last pass, which determines the interval to the next."""
        self._pass_cost.record(seconds)

    def is_due(self, now: MonotonicTime, unwritten: int) -> bool:
        """Return whether the next pass may run.

        `unwritten` is the number of placement records that wait to be written. While there are
        many, further passes would only spread the placements over more records; meanwhile, freed
        capacity goes to the tasks in the prelaunch queues."""
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
        """Run one pass, which places waiting tasks in the queue order of their jobs."""
        cluster = self.cluster
        cluster.is_planning_requested = False
        self._last_pass_at = now
        self.unplaced_jobs = []
        waiting_jobs = self._waiting_jobs(now)
        if not waiting_jobs:
            return
        machines = [
            machine for machine in cluster.inventory.machines.values() if machine.is_schedulable
        ]
        if not machines:
            return
        cluster.inventory.clear_reservations()
        cancel_stale(cluster, now)
        ordered = self._order_queue(waiting_jobs, machines, now)
        queue = self._add_turns_of_starving_jobs(ordered, now)
        planning_pass = PlanningPass(cluster, machines, queue, self._next_start_index, now)
        self.unplaced_jobs = planning_pass.unplaced_jobs
        planning_pass.run()

    def _waiting_jobs(self, now: MonotonicTime) -> list[Job]:
        """Return the jobs with tasks to place, without those in backoff.

        For a job in backoff, another pass is requested."""
        waiting_jobs = []
        for job in self.cluster.jobs.jobs.values():
            if (job.enqueued_count or job.unplaced_count) and job.is_runnable:
                if job.backoff_until > now:
                    self.cluster.request_planning()
                    continue
                waiting_jobs.append(job)
        return waiting_jobs

    def _order_queue(
        self, waiting_jobs: list[Job], machines: list[Machine], now: MonotonicTime
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
        ordered = order_jobs(waiting_jobs, context, now)
        for position, job in enumerate(ordered):
            job.queue_position = position
        return ordered

    def _add_turns_of_starving_jobs(
        self, ordered: list[Job], now: MonotonicTime
    ) -> list[QueueEntry]:
        """Return the queue with an extra turn for each starving job, limited to its first tasks.

        A starving job has waited too long to start. Its extra turn comes before all jobs of its
        priority, or after a longer wait before all other jobs.

        Without extra turns, the largest jobs would be deferred for as long as a burst lasts, and
        jobs of the lowest priority would never run under steady load."""
        tuning = self.cluster.tuning
        queue: list[QueueEntry] = []
        ahead_of_priority: dict[int, list[QueueEntry]] = {}
        for job in sorted(ordered, key=lambda job: (job.ready_at, job.id)):
            waited_s = now - job.ready_at
            job.is_starving = not job.has_started and waited_s >= tuning.starve_s
            if not job.is_starving:
                continue
            task_limit = int(tuning.starve_tasks) - _placed_count(job)
            if task_limit <= 0:
                continue
            if waited_s >= tuning.starve_below_s:
                queue.append(QueueEntry(job, task_limit))
            else:
                ahead_of_priority.setdefault(job.priority, []).append(QueueEntry(job, task_limit))
        priority: int | None = None
        for job in ordered:
            if job.priority != priority:
                priority = job.priority
                queue += ahead_of_priority.get(priority, [])
            queue.append(QueueEntry(job))
        return queue

    def _next_start_index(self, machine_count: int) -> int:
        """Return the index of the first machine of a search, which changes with each search."""
        self._search_count += 1
        return (self._search_count * START_INDEX_STEP) % max(1, machine_count)


def _placed_count(job: Job) -> int:
    """Return how many of the job's tasks are placed but neither done nor enqueued."""
    return job.spec.task_count - job.unplaced_count - job.done_count - job.enqueued_count
