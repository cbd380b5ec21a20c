"""A seeded simulation that drives the scheduler's state machine with all that surrounds it.

Messages are lost, delayed or repeated, leaders change, and machines hang or disappear. After every
step it checks the invariants against the workers' tasks and the store's keys, never against the
scheduler's own state.
"""

import random
from collections import Counter
from typing import Any

import orjson

from eldercart.jobs.job import PlacementPhase
from eldercart.jobs.job_records import JobRecord
from eldercart.scheduling.scheduler import (
    DeleteMachines,
    GetCatalog,
    JobStatus,
    ListMachines,
    ScaleOut,
    Scheduler,
    TransactionOutcome,
)
from eldercart.settings import load_tuning
from eldercart.settings.platform import parse_platform
from eldercart.units import (
    ABSENT_REVISION,
    DEFAULT_INCARNATION,
    FencingToken,
    MonotonicTime,
    Revision,
    WallTime,
)
from eldercart.wire import cloud, state, users, workers
from eldercart.wire.leader_key import LEADER_KEY
from eldercart.wire.stored_jobs import (
    decode_end_record,
    dependency_list_keys,
    encode_job_record,
    resolve_dependency_list,
)
from eldercart.wire.stored_placements import max_tasks_per_chunk
from simulators import CATALOG, CloudSim, StoreSim, WorkerSim

PLATFORM: dict[str, Any] = {
    "label": "drover-0",
    "location": "a",
    "front": "127.0.0.1:1",
    "mesh_addr": "127.0.0.1:2",
    "members": [],
    "endpoints": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
    "settings": {
        "count": 1,
        "zones": ["a", "b"],
        "teams": [
            {"name": "t1", "cpus": 16, "cpus_max": 40, "gpus": 0, "gpus_max": 0},
            {"name": "t2", "cpus": 16, "cpus_max": 0, "gpus": 0, "gpus_max": 0},
        ],
        "objectives": [{"kind": "wait", "class": "quick", "within_s": 8.0, "share": 0.9}],
        "workers": {"report_s": 1.0, "lease_s": 10.0, "cancel_s": 30.0},
        "state": {"rps": 100, "write_rps": 40, "value_kb": 8, "txn_ops": 20},
        "cloud": {"rps": 4, "list_lag_s": 2},
        "machine_limits": {"core_share": 1, "mem_mb": 200, "sockets": 500},
        "clock_off_ms": 100,
    },
}


def submission(job: str, **changes: Any) -> dict[str, Any]:
    """Return the body of a valid submission with these fields changed."""
    return {
        "nameId": job,
        "lot": "slow",
        "crew": "t2",
        "shape": "sweep",
        "urgency": "standard",
        "parcels": 6,
        "cpus": 2.0,
        "accelerators": 0.0,
        "memGb": 4.0,
        "kit": "img",
        "imageGb": 1.0,
        "breeds": None,
        "yard": None,
        "together": False,
        "spread": False,
        "loaners": True,
        "haulS": 6.0,
        "waypointS": 0.0,
        "stowS": 0.0,
        "dueS": None,
    } | changes


class World:
    """One leader, the state service, the cloud and the workers, in simulated time.

    `faults` maps names of faults, such as `txn_lost`, to their probabilities; `platform` and
    `tuning` in it replace the settings.
    """

    def __init__(self, seed: int, capacity: int = 8, **faults: Any) -> None:
        self.rng = random.Random(seed)
        self.store = StoreSim()
        self.cloud = CloudSim(capacity, self.rng)
        self.now = 100.0
        self.settings = parse_platform(faults.pop("platform", PLATFORM))
        self.subchunks_supported = False  # whether all nodes can read subchunks
        # Number of transactions rejected for their size, except late copies.
        self.too_large_count = 0
        self.tuning = load_tuning(values=faults.pop("tuning", None))
        self.faults = faults
        self.jobs: dict[str, dict[str, Any]] = {}
        self.cancelled_at: dict[str, float] = {}  # when the cancellation was reported to the user
        # Job -> final state that was reported to the user.
        self.reported_outcomes: dict[str, str] = {}
        self.ended_at: dict[str, float] = {}  # when the end was reported to the user
        self.delayed_transactions: list[tuple[float, bytes]] = []  # (when it arrives, transaction)
        self.next_heartbeat_at: dict[str, float] = {}  # machine -> when it sends its next heartbeat
        self.started_attempts: set[tuple[str, int, str]] = set()  # (task, attempt, machine)
        self._running_before: set[tuple[str, str]] = set()  # (task, machine) at the last step
        self.start_counts: Counter[str] = Counter()  # number of starts by task
        # For each job with waiting tasks: the number of tasks that are placed or done, and when it
        # changed last.
        self._waiting: dict[str, tuple[int, float]] = {}
        # How long a task may wait while a machine has room for it; None: not checked.
        self.max_wait_with_free_capacity_s: float | None = None
        self.outage_until = -1.0
        # Machines that no response and no command reaches.
        self.machines_without_inbound_messages: set[str] = set()
        self.direct_kill_count = 0  # number of direct commands that arrived
        self.cloud_down_until = -1.0
        self.incarnation = DEFAULT_INCARNATION
        self.scheduler: Scheduler | None = None
        self.elect()

    # -- the leader

    def elect(self) -> None:
        """Elect a new leader, which loads its state from the store alone."""
        self.store.end_lease(1)
        self.store.leases[1] = 1e9
        body = state.Transaction(
            {LEADER_KEY: ABSENT_REVISION}, [state.Put(LEADER_KEY, {"node": "x"}, state.LeaseId(1))]
        ).body()
        status, answer = self.store.txn(body)
        assert status == 200
        now = MonotonicTime(self.now)
        leader = self.new_scheduler(FencingToken(answer["ledgerRev"]))

        def items(prefix: str) -> list[state.Item]:
            return [state.parse_item(orjson.dumps(i)) for i in self.store.range(prefix)]

        jobs = [
            resolve_dependency_list(users.JobId(i.key[4:]), i, items("needs/"))
            for i in items("job/")
        ]
        assert None not in jobs, "the dependency list of a job record is missing"
        leader.load([i for i in jobs if i], items("place/"), items("gone/"), now, items("memo/"))
        if isinstance(leader, Scheduler):
            leader.on_job_records_complete(Revision(self.store.revision))
        self.scheduler = leader

    def new_scheduler(self, epoch: FencingToken) -> Any:
        return Scheduler(
            self.settings,
            self.tuning,
            epoch,
            cloud.parse_catalog(CATALOG),
            MonotonicTime(self.now),
            WallTime(self.now),
            self.incarnation,
        )

    def submit(
        self, job: str, run_s: float = 6.0, dependency_list_parts: int = 0, **changes: Any
    ) -> None:
        """Store a job and give it to the leader.

        `dependency_list_parts` is the number of parts of a dependency list that is stored outside
        the job record; 0 leaves the list in the record.
        """
        body = submission(job, **changes)
        spec = users.parse_submission(body)
        size = max_tasks_per_chunk(self.settings.value_bytes)
        reference = (
            users.DependencyListReference("abc", dependency_list_parts)
            if dependency_list_parts
            else None
        )
        record = encode_job_record(spec, size, self.now, reference)
        for number, key in enumerate(dependency_list_keys(spec.id, reference) if reference else ()):
            part = list(spec.dependencies[number::dependency_list_parts])
            assert (
                self.store.txn(
                    state.Transaction({key: ABSENT_REVISION}, [state.Put(key, part)]).body()
                )[0]
                == 200
            )
        txn = state.Transaction(
            {f"job/{job}": ABSENT_REVISION, f"end/{job}": ABSENT_REVISION},
            [state.Put(f"job/{job}", record)],
        )
        status, answer = self.store.txn(txn.body())
        assert status == 200
        self.jobs[job] = body | {"runS": run_s}
        revision = Revision(answer["ledgerRev"])
        self.add_to_leader(JobRecord(spec, size, WallTime(self.now), revision, reference))

    def add_to_leader(self, record: JobRecord) -> None:
        """Give a job that was just stored to the leader, which may be of an earlier version."""
        leader: Any = self.scheduler
        now = MonotonicTime(self.now)
        if isinstance(leader, Scheduler):
            leader.add_job(record, now)
        else:
            leader.add_job(record.spec, record.tasks_per_chunk, record.accepted_at, now)

    def cancel(self, job: str) -> None:
        assert self.scheduler is not None
        self.scheduler.cancel_job(users.JobId(job), MonotonicTime(self.now))

    # -- time

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.step(0.1)

    def step(self, dt: float) -> None:
        self.now += dt
        leader, now = self.scheduler, MonotonicTime(self.now)
        assert leader is not None
        for body in [data for due_at, data in self.delayed_transactions if due_at <= self.now]:
            self.store.txn(body)  # long after its sender timed out
        self.delayed_transactions = [
            (due_at, data) for due_at, data in self.delayed_transactions if due_at > self.now
        ]
        if self.leader_runs():
            leader.transaction_writer.subchunks_supported = self.subchunks_supported
            self.run_leader_tick(leader, now)
            self.serve_store(leader, now)
            self.serve_cloud(leader, now)
            self.deliver_direct_kills(leader, now)
        for worker in list(self.cloud.machines.values()):
            self.serve_worker(leader, worker, now, dt)
        self.check()

    def deliver_direct_kills(self, scheduler: Scheduler, now: MonotonicTime) -> None:
        """Deliver the leader's direct kills to the workers."""
        for order in scheduler.take_direct_kills(now):
            worker = self.cloud.machines.get(order.machine_id)
            down = (
                worker is None
                or self.now < max(worker.boots_at, worker.hangs_until)
                or worker.id in self.machines_without_inbound_messages
            )
            if worker is None or down or self.chance("direct_kill_lost"):
                continue
            status, report = worker.execute_direct_commands(
                workers.direct_commands_body(scheduler.token, order.agent_epoch, order.commands)
            )
            self.direct_kill_count += 1
            scheduler.on_direct_kill_response(
                workers.parse_heartbeat(report), now, now, executed=status == 200
            )

    def run_leader_tick(self, scheduler: Scheduler, now: MonotonicTime) -> None:
        """Run the leader's timers and a planning pass, if one is due."""
        scheduler.tick(now)
        if scheduler.is_planning_due(now):
            scheduler.plan(now)

    def leader_runs(self) -> bool:
        """Return whether the leader's process runs; a subclass may stall it."""
        return True

    def chance(self, name: str) -> bool:
        """Return whether the fault of this name happens now, by its probability."""
        return self.rng.random() < self.faults.get(name, 0.0)

    def serve_store(self, scheduler: Scheduler, now: MonotonicTime) -> None:
        down = self.now < self.outage_until
        if not down:
            for key in list(scheduler.keys_to_refresh):
                found = self.store.item(key)
                item = None if found is None else state.parse_item(orjson.dumps(found))
                scheduler.on_key_refreshed(key, item, now)
            for job in scheduler.take_due_end_lookups(now, 20):
                found = self.store.item(f"end/{job}")
                scheduler.on_end_lookup_result(
                    job, None if found is None else decode_end_record(found["v"]), now
                )
        learned_state_txn = scheduler.next_learned_state_transaction(now)
        if learned_state_txn is not None and not down:
            self.store.txn(learned_state_txn.body())
        pending = scheduler.next_transaction(now, 20)
        if pending is None:
            return
        body = pending.transaction.body()
        if down:
            scheduler.on_transaction_result(
                pending, TransactionOutcome.REJECTED, Revision(0), (), now
            )
        elif self.chance("txn_lost"):
            if self.rng.random() < 0.5:
                self.store.txn(body)  # applied, but the response is lost
            else:
                self.delayed_transactions.append((self.now + self.rng.uniform(0.5, 20.0), body))
            scheduler.on_transaction_result(
                pending, TransactionOutcome.INDETERMINATE, Revision(0), (), now
            )
        elif "txn_late" in self.faults and self.chance("txn_late"):
            self.delayed_transactions.append((self.now + self.rng.uniform(2.0, 12.0), body))
            scheduler.on_transaction_result(
                pending, TransactionOutcome.INDETERMINATE, Revision(0), (), now
            )
        else:
            status, answer = self.store.txn(body)
            if self.chance("txn_twice"):
                self.delayed_transactions.append((self.now + self.rng.uniform(0.5, 20.0), body))
            if status == 200:
                scheduler.on_transaction_result(
                    pending, TransactionOutcome.COMMITTED, Revision(answer["ledgerRev"]), (), now
                )
            elif status == 400:
                self.too_large_count += 1
                scheduler.on_transaction_result(
                    pending, TransactionOutcome.INVALID, Revision(0), (), now
                )
            else:
                failed = tuple(answer["failed"])
                if scheduler.on_transaction_result(
                    pending, TransactionOutcome.CONFLICT, Revision(0), failed, now
                ):
                    self.elect()
                    return
        for job, outcome in scheduler.take_finished_jobs():
            self.record_reported_outcome(job, outcome)

    def record_reported_outcome(self, job: str, outcome: str) -> None:
        """Record that the leader reports the end of the job, which must be durable by then."""
        assert self.reported_outcomes.setdefault(job, outcome) == outcome, (
            f"went_back: {job} was {self.reported_outcomes[job]}, is {outcome} now"
        )
        self.ended_at.setdefault(job, self.now)
        ends = [self.end_in_store(job)]
        if outcome == users.CANCELLED:
            ends += [self.end_in_store(name) for name in self.upstream_jobs(job)]
        assert outcome in ends, f"{job} was reported {outcome} before that was durable"
        if outcome == users.CANCELLED:
            self.cancelled_at.setdefault(job, self.now)

    def serve_cloud(self, scheduler: Scheduler, now: MonotonicTime) -> None:
        call = scheduler.next_cloud_request(now)
        status: int
        answer: dict[str, Any]
        if self.now < self.cloud_down_until and call is not None:
            scheduler.on_cloud_response(call, 503, b'{"error":"trouble"}', now)
            return
        match call:
            case None:
                return
            case ScaleOut(request):
                offering = request.offering
                body = cloud.create_machines_body(
                    request.name,
                    offering.type,
                    offering.zone,
                    offering.is_spot,
                    request.machine_count,
                )
                status, answer = self.cloud.create_machines(body, self.now)
            case DeleteMachines(machines):
                status, answer = self.cloud.delete(cloud.delete_machines_body(list(machines)))
            case ListMachines():
                status, answer = 200, self.cloud.list(self.now)
            case GetCatalog():
                status, answer = 200, CATALOG
        if self.chance("cloud_lost"):
            scheduler.on_cloud_response(call, None, b"", now)
        else:
            scheduler.on_cloud_response(call, status, orjson.dumps(answer), now)

    def serve_worker(
        self, scheduler: Scheduler, worker: WorkerSim, now: MonotonicTime, dt: float
    ) -> None:
        if self.now < worker.boots_at or self.now < worker.hangs_until:
            return
        worker.step(self.now, dt, self.settings.lease_s)
        if self.now < self.next_heartbeat_at.get(worker.id, 0.0):
            return
        self.next_heartbeat_at[worker.id] = self.now + self.settings.report_s * self.rng.uniform(
            0.75, 1.25
        )
        sent_epoch, sent_at = worker.agent_epoch, self.now
        report = workers.parse_heartbeat(worker.report())
        if self.chance("report_lost"):
            return
        commands = scheduler.on_heartbeat(report, now)
        if self.chance("report_twice"):
            assert scheduler.on_heartbeat(report, now) is None
        if commands is None or self.chance("answer_lost"):
            return
        body = workers.commands_response_body(scheduler.token, commands)
        for command in commands:
            if isinstance(command, workers.Launch):
                self.check_durable(command, worker)
        worker.execute_commands(body, sent_at, sent_epoch, self.jobs)

    # -- the invariants

    def check_placements_are_stored(self) -> None:
        """Check that every placement that may be on a machine is in the store.

        A new leader can find it only there.
        """
        assert self.scheduler is not None
        for job in self.scheduler.jobs.jobs.values():
            stored = {
                (r[0], r[1], r[2]) for chunk in self.stored_chunks(job.id) for r in chunk["r"]
            }
            for p in job.placements():
                if p.may_have_launched and p.phase is not PlacementPhase.ENDED:
                    assert (p.index, p.attempt, p.machine_id) in stored, f"not stored: {p.key}"

    def stored_chunks(self, job: str) -> list[dict[str, Any]]:
        """Return the stored chunks of the job's placements, without outdated copies.

        Of two copies of a chunk the one with the higher attempt counts, and for each task only the
        smallest chunk that covers it.
        """
        newest: dict[tuple[int, int], dict[str, Any]] = {}
        job_item = self.store.item(f"job/{job}")
        for item in sorted(self.store.range("place/"), key=lambda i: i["stamp"]):
            for name, number, value in item["v"]["p"]:
                if name != job or job_item is None:
                    continue
                tasks = value.get("n")
                span = (
                    (number, tasks) if tasks else (number * job_item["v"]["n"], job_item["v"]["n"])
                )
                if span not in newest or value["a"] >= newest[span]["a"]:
                    newest[span] = value
        covered: set[int] = set()
        chunks = []
        for (low, tasks), value in sorted(newest.items(), key=lambda entry: entry[0][1]):
            indexes = set(range(low, low + tasks))
            if indexes & covered:
                remaining = indexes - covered
                value = value | {"r": [r for r in value["r"] if r[0] in remaining]}
            covered |= indexes
            chunks.append(value)
        return chunks

    def check_durable(self, launch: workers.Launch, worker: WorkerSim) -> None:
        """Check that the placement is in the store, as it must be before the task is launched."""
        job, index = launch.key.split("/")
        entries = [
            entry
            for chunk in self.stored_chunks(job)
            for entry in chunk["r"]
            if entry[0] == int(index)
        ]
        assert [int(index), launch.attempt, worker.id] in entries, (
            f"{launch.key} was launched on {worker.id} before its placement was stored"
        )

    def end_in_store(self, job: str) -> str | None:
        """Return the outcome in the job's end record; None if there is none."""
        record = self.store.item(f"end/{job}")
        return None if record is None else decode_end_record(record["v"])

    def poll_all(self) -> None:
        """Poll every job and check the state that the leader reports.

        An end may be reported only if it, or the cancellation of an upstream job, is durable. After
        that no other state may be reported.
        """
        leader = self.scheduler
        assert leader is not None
        for job, spec in self.jobs.items():
            status = leader.job_status(users.JobId(job))
            if not isinstance(status, JobStatus):
                continue
            if status.state not in (users.DONE, users.CANCELLED):
                assert job not in self.reported_outcomes, (
                    f"went_back: {job} was {self.reported_outcomes[job]}, is {status.state} now"
                )
                if self.now >= self.outage_until:
                    for name in self.upstream_jobs(job):
                        since = self.cancelled_at.get(name)
                        overdue = since is not None and self.now - since > self.settings.cancel_s
                        assert not overdue, (
                            f"orphaned: {job} is {status.state} although {name}, on which it"
                            f" depends, was cancelled at {since}"
                        )
                continue
            ends = [self.end_in_store(name) for name in (job, *self.upstream_jobs(job))]
            assert status.state in (users.DONE, users.CANCELLED)
            if status.state == users.DONE:
                assert ends[0] == users.DONE, f"{job} was reported done before that was durable"
            else:
                assert users.CANCELLED in ends, (
                    f"{job} was reported cancelled before that was durable"
                )
            assert self.reported_outcomes.setdefault(job, status.state) == status.state, (
                f"went_back: {job} was {self.reported_outcomes[job]}, is {status.state} now"
            )
            assert spec is not None

    def upstream_jobs(self, job: str) -> set[str]:
        """Return all jobs that the job depends on, directly or through others."""
        seen: set[str] = set()
        unvisited = list(self.jobs[job].get("awaits") or ())
        while unvisited:
            name = unvisited.pop()
            if name not in seen:
                seen.add(name)
                unvisited += self.jobs[name].get("awaits") or ()
        return seen

    def check(self) -> None:
        """Check the invariants that must hold after every step."""
        machine_by_task: dict[str, str] = {}
        cpus_by_team: dict[str, float] = {}
        for worker in self.cloud.machines.values():
            for key, task in worker.running_tasks().items():
                assert key not in machine_by_task, (
                    f"ran_twice: {key} runs on {worker.id} and {machine_by_task[key]}"
                )
                machine_by_task[key] = worker.id
                job = key.split("/")[0]
                spec = self.jobs[job]
                for name in spec.get("awaits") or ():
                    assert self.end_in_store(name) == users.DONE, (
                        f"too_early: {key} runs although {name} is not done"
                    )
                cpus_by_team[spec["crew"]] = cpus_by_team.get(spec["crew"], 0.0) + spec["cpus"]
                assert spec["loaners"] or not worker.spot, f"wrong_place: {key} on a spot machine"
                assert spec["breeds"] is None or worker.type["sku"] in spec["breeds"], (
                    f"wrong_place: {key} on type {worker.type['sku']}"
                )
                assert spec["yard"] in (None, worker.zone), (
                    f"wrong_place: {key} in zone {worker.zone}"
                )
                since = self.cancelled_at.get(job)
                assert since is None or self.now - since <= self.settings.cancel_s, (
                    f"ran_cancelled: {key} runs on {worker.id}"
                )
                self.started_attempts.add((key, task.attempt, worker.id))
        running = set(machine_by_task.items())
        self.start_counts.update(key for key, _ in running - self._running_before)
        self._running_before = running
        if self.max_wait_with_free_capacity_s is not None:
            self._check_waiting(cpus_by_team, self.max_wait_with_free_capacity_s)
        for team in self.settings.teams.values():
            if team.cpus_max:
                assert cpus_by_team.get(team.name, 0.0) <= team.cpus_max + 1e-6, (
                    f"quota: {team.name} uses more than its cpus_max of {team.cpus_max}"
                )
        for job, spec in self.jobs.items():
            zones = [
                self.cloud.machines[m].zone
                for k, m in machine_by_task.items()
                if k.startswith(job + "/")
            ]
            if spec["together"]:
                assert len(set(zones)) <= 1, f"wrong_place: {job} must stay in one zone"
            if spec["spread"]:
                half = (spec["parcels"] + 1) // 2
                assert all(zones.count(z) <= half for z in set(zones)), (
                    f"wrong_place: {job} has over half of its tasks in a zone"
                )
            stored = any(f"{prefix}/{job}" in self.store.keys for prefix in ("job", "end"))
            assert stored, f"forgotten: {job} has neither a job record nor an end record"

    def _check_waiting(self, cpus_by_team: dict[str, float], max_wait_s: float) -> None:
        """Check that no job waits longer than `max_wait_s` while its tasks could be placed.

        They could if an eligible machine has room and the team's quota allows more. Jobs with
        `together` or `spread` are left out: where their tasks fit depends on their other tasks.
        """
        running_machines = [
            worker
            for worker in self.cloud.machines.values()
            if max(worker.boots_at, worker.hangs_until) <= self.now
            and worker.preemption_notice_s is None
        ]
        free_cpus = {
            worker.id: worker.type["cpus"]
            - sum(
                self.jobs[k.split("/")[0]]["cpus"]
                for k, t in worker.tasks.items()
                if t.state != "ended"
            )
            for worker in running_machines
        }
        for job, spec in self.jobs.items():
            assigned = {
                k
                for worker in self.cloud.machines.values()
                for k in worker.tasks
                if k.startswith(job)
            }
            done = {
                f"{job}/{i}"
                for chunk in self.stored_chunks(job)
                for a, b in chunk["d"]
                for i in range(a, b + 1)
            }
            placed_or_done = len(assigned | done)
            ended = f"end/{job}" in self.store.keys or job in self.cancelled_at
            max_cpus = self.settings.teams[spec["crew"]].cpus_max
            has_room = any(
                free_cpus[worker.id] >= spec["cpus"]
                and (spec["loaners"] or not worker.spot)
                and spec["breeds"] in (None, [worker.type["sku"]])
                and spec["yard"] in (None, worker.zone)
                for worker in running_machines
            )
            at_quota = max_cpus and cpus_by_team.get(spec["crew"], 0.0) + spec["cpus"] > max_cpus
            is_constrained = spec["together"] or spec["spread"]
            if (
                ended
                or is_constrained
                or at_quota
                or not has_room
                or placed_or_done == spec["parcels"]
            ):
                self._waiting.pop(job, None)
                continue
            previous, since = self._waiting.get(job, (placed_or_done, self.now))
            self._waiting[job] = (placed_or_done, since if previous == placed_or_done else self.now)
            assert self.now - self._waiting[job][1] <= max_wait_s, (
                f"{job} waits although an eligible machine has room"
            )

    def all_ended(self) -> bool:
        """Return whether every job has an end record."""
        return all(f"end/{job}" in self.store.keys for job in self.jobs)
