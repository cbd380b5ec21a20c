"""A seeded world that drives the pure core: lost, late and repeated messages, leaders that
change, machines that hang or go. It checks the rules at every step, with its own eyes: from the
workers' tasks and the store's keys, never from the controller's state."""

import random
from collections import Counter
from typing import Any

import orjson

from eldercart.jobs.job import PlacementPhase
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
    def __init__(self, seed: int, capacity: int = 8, **faults: Any) -> None:
        self.rng = random.Random(seed)
        self.store = StoreSim()
        self.cloud = CloudSim(capacity, self.rng)
        self.now = 100.0
        self.settings = parse_platform(faults.pop("platform", PLATFORM))
        self.subchunks_supported = False  # all nodes read parts that were cut anew
        self.too_large = 0  # transactions refused for their size, late copies not counted
        self.tuning = load_tuning(values=faults.pop("tuning", None))
        self.faults = faults
        self.jobs: dict[str, dict[str, Any]] = {}
        self.cancelled_at: dict[str, float] = {}
        self.told: dict[str, str] = {}
        self.ended_at: dict[str, float] = {}
        self.late: list[tuple[float, bytes]] = []  # transactions still under way
        self.reports_due: dict[str, float] = {}
        self.started: set[tuple[str, int, str]] = set()
        self.on_before: set[tuple[str, str]] = set()
        self.starts: Counter[str] = Counter()  # of each task
        self.waiting: dict[str, tuple[int, float]] = {}  # job -> tasks that got on, since when
        self.left_waiting_s: float | None = None  # how long none may wait beside free room
        self.outage_until = -1.0
        self.unresponsive: set[str] = set()  # machines that no answer or command reaches
        self.orders = 0  # direct commands that arrived
        self.cloud_down_until = -1.0
        self.incarnation = DEFAULT_INCARNATION
        self.scheduler: Scheduler | None = None
        self.elect()

    # -- the leader

    def elect(self) -> None:
        """A new leader; whatever the old one held in memory is lost."""
        self.store.end_lease(1)
        self.store.leases[1] = 1e9
        body = state.Transaction(
            {LEADER_KEY: ABSENT_REVISION}, [state.Put(LEADER_KEY, {"node": "x"}, state.LeaseId(1))]
        ).body()
        status, answer = self.store.txn(body)
        assert status == 200
        now = MonotonicTime(self.now)
        c = self.new_controller(FencingToken(answer["ledgerRev"]))

        def items(prefix: str) -> list[state.Item]:
            return [state.parse_item(orjson.dumps(i)) for i in self.store.range(prefix)]

        jobs = [
            resolve_dependency_list(users.JobId(i.key[4:]), i, items("needs/"))
            for i in items("job/")
        ]
        assert None not in jobs, "a record whose list of dependencies is gone"
        c.load([i for i in jobs if i], items("place/"), items("gone/"), now, items("memo/"))
        self.scheduler = c

    def new_controller(self, epoch: FencingToken) -> Any:
        return Scheduler(
            self.settings,
            self.tuning,
            epoch,
            cloud.parse_catalog(CATALOG),
            MonotonicTime(self.now),
            WallTime(self.now),
            self.incarnation,
        )

    def submit(self, job: str, run_s: float = 6.0, parts: int = 0, **changes: Any) -> None:
        """`parts`: into how many the list of dependencies is cut that is not in the record."""
        body = submission(job, **changes)
        spec = users.parse_submission(body)
        size = max_tasks_per_chunk(self.settings.value_bytes)
        where = users.DependencyListReference("abc", parts) if parts else None
        record = encode_job_record(spec, size, self.now, where)
        for number, key in enumerate(dependency_list_keys(spec.id, where) if where else ()):
            part = list(spec.dependencies[number::parts])
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
        assert self.store.txn(txn.body())[0] == 200
        self.jobs[job] = body | {"runS": run_s}
        assert self.scheduler is not None
        extra = () if where is None else (where,)  # earlier versions are told of none
        self.scheduler.add_job(spec, size, WallTime(self.now), MonotonicTime(self.now), *extra)

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
        c, now = self.scheduler, MonotonicTime(self.now)
        assert c is not None
        for body in [b for t, b in self.late if t <= self.now]:
            self.store.txn(body)  # its sender gave up long ago
        self.late = [(t, b) for t, b in self.late if t > self.now]
        if self.leader_runs():
            c.transaction_writer.subchunks_supported = self.subchunks_supported
            self.lead(c, now)
            self.serve_store(c, now)
            self.serve_cloud(c, now)
            self.serve_orders(c, now)
        for w in list(self.cloud.machines.values()):
            self.serve_worker(c, w, now, dt)
        self.check()

    def serve_orders(self, c: Scheduler, now: MonotonicTime) -> None:
        """Commands that go straight to the workers."""
        for order in c.take_direct_kills(now):
            w = self.cloud.machines.get(order.machine_id)
            down = (
                w is None or self.now < max(w.boots_at, w.hangs_until) or w.id in self.unresponsive
            )
            if w is None or down or self.chance("order_lost"):
                continue
            status, report = w.orders(
                workers.direct_commands_body(c.token, order.agent_epoch, order.commands)
            )
            self.orders += 1
            c.on_direct_kill_response(
                workers.parse_heartbeat(report), now, now, executed=status == 200
            )

    def lead(self, c: Scheduler, now: MonotonicTime) -> None:
        """What the leader does by itself, before anything is carried out for it."""
        c.tick(now)
        if c.is_planning_due(now):
            c.plan(now)

    def leader_runs(self) -> bool:
        return True

    def chance(self, name: str) -> bool:
        return self.rng.random() < self.faults.get(name, 0.0)

    def serve_store(self, c: Scheduler, now: MonotonicTime) -> None:
        down = self.now < self.outage_until
        if not down:
            for key in list(c.keys_to_refresh):
                found = self.store.item(key)
                item = None if found is None else state.parse_item(orjson.dumps(found))
                c.on_key_refreshed(key, item, now)
            for job in c.take_due_end_lookups(now, 20):
                found = self.store.item(f"end/{job}")
                c.on_end_lookup_result(
                    job, None if found is None else decode_end_record(found["v"]), now
                )
        memory_txn = c.next_learned_state_transaction(now)
        if memory_txn is not None and not down:
            self.store.txn(memory_txn.body())
        pending = c.next_transaction(now, 20)
        if pending is None:
            return
        body = pending.transaction.body()
        if down:
            c.on_transaction_result(pending, TransactionOutcome.REJECTED, Revision(0), (), now)
        elif self.chance("txn_lost"):
            if self.rng.random() < 0.5:
                self.store.txn(body)  # carried out, and the response lost
            else:
                self.late.append((self.now + self.rng.uniform(0.5, 20.0), body))
            c.on_transaction_result(pending, TransactionOutcome.INDETERMINATE, Revision(0), (), now)
        elif "txn_late" in self.faults and self.chance("txn_late"):
            self.late.append((self.now + self.rng.uniform(2.0, 12.0), body))
            c.on_transaction_result(pending, TransactionOutcome.INDETERMINATE, Revision(0), (), now)
        else:
            status, answer = self.store.txn(body)
            if self.chance("txn_twice"):
                self.late.append((self.now + self.rng.uniform(0.5, 20.0), body))
            if status == 200:
                c.on_transaction_result(
                    pending, TransactionOutcome.COMMITTED, Revision(answer["ledgerRev"]), (), now
                )
            elif status == 400:
                self.too_large += 1
                c.on_transaction_result(pending, TransactionOutcome.INVALID, Revision(0), (), now)
            else:
                failed = tuple(answer["failed"])
                if c.on_transaction_result(
                    pending, TransactionOutcome.CONFLICT, Revision(0), failed, now
                ):
                    self.elect()
                    return
        for job, how in c.take_finished_jobs():
            self.tell(job, how)

    def tell(self, job: str, how: str) -> None:
        assert self.told.setdefault(job, how) == how, "went_back"
        self.ended_at.setdefault(job, self.now)
        ends = [self.end_in_store(job)]
        if how == users.CANCELLED:
            ends += [self.end_in_store(name) for name in self.before(job)]
        assert how in ends, "told before it was durable"
        if how == users.CANCELLED:
            self.cancelled_at.setdefault(job, self.now)

    def serve_cloud(self, c: Scheduler, now: MonotonicTime) -> None:
        call = c.next_cloud_request(now)
        status: int
        answer: dict[str, Any]
        if self.now < self.cloud_down_until and call is not None:
            c.on_cloud_response(call, 503, b'{"error":"trouble"}', now)
            return
        match call:
            case None:
                return
            case ScaleOut(rental_request):
                o = rental_request.offering
                body = cloud.create_machines_body(
                    rental_request.name, o.type, o.zone, o.is_spot, rental_request.machine_count
                )
                status, answer = self.cloud.rent(body, self.now)
            case DeleteMachines(machines):
                status, answer = self.cloud.delete(cloud.delete_machines_body(list(machines)))
            case ListMachines():
                status, answer = 200, self.cloud.list(self.now)
            case GetCatalog():
                status, answer = 200, CATALOG
        if self.chance("cloud_lost"):
            c.on_cloud_response(call, None, b"", now)
        else:
            c.on_cloud_response(call, status, orjson.dumps(answer), now)

    def serve_worker(self, c: Scheduler, w: WorkerSim, now: MonotonicTime, dt: float) -> None:
        if self.now < w.boots_at or self.now < w.hangs_until:
            return
        w.step(self.now, dt, self.settings.lease_s)
        if self.now < self.reports_due.get(w.id, 0.0):
            return
        self.reports_due[w.id] = self.now + self.settings.report_s * self.rng.uniform(0.75, 1.25)
        session, sent = w.agent_epoch, self.now
        report = workers.parse_heartbeat(w.report())
        if self.chance("report_lost"):
            return
        commands = c.on_heartbeat(report, now)
        if self.chance("report_twice"):
            assert c.on_heartbeat(report, now) is None
        if commands is None or self.chance("answer_lost"):
            return
        body = workers.commands_response_body(c.token, commands)
        for command in commands:
            if isinstance(command, workers.Launch):
                self.check_durable(command, w)
        w.obey(body, sent, session, self.jobs)

    # -- the rules

    def check_kept(self) -> None:
        """Whatever may be on a machine is in the store, so that a new leader knows of it."""
        assert self.scheduler is not None
        for job in self.scheduler.jobs.jobs.values():
            stored = {(r[0], r[1], r[2]) for part in self.parts(job.id) for r in part["r"]}
            for p in job.placements():
                if p.may_have_launched and p.phase is not PlacementPhase.ENDED:
                    assert (p.index, p.attempt, p.machine_id) in stored, f"not kept: {p.key}"

    def parts(self, job: str) -> list[dict[str, Any]]:
        """What the store holds of the job's placements; a part that was moved counts once, and for
        each task only the finest part that covers it counts."""
        found: dict[tuple[int, int], dict[str, Any]] = {}
        size = self.store.item(f"job/{job}")
        for item in sorted(self.store.range("place/"), key=lambda i: i["stamp"]):
            for name, number, value in item["v"]["p"]:
                if name != job or size is None:
                    continue
                tasks = value.get("n")
                span = (number, tasks) if tasks else (number * size["v"]["n"], size["v"]["n"])
                if span not in found or value["a"] >= found[span]["a"]:
                    found[span] = value
        told: set[int] = set()
        out = []
        for (low, tasks), value in sorted(found.items(), key=lambda f: f[0][1]):
            covers = set(range(low, low + tasks))
            if covers & told:
                left = covers - told
                value = value | {"r": [r for r in value["r"] if r[0] in left]}
            told |= covers
            out.append(value)
        return out

    def check_durable(self, launch: workers.Launch, w: WorkerSim) -> None:
        job, index = launch.key.split("/")
        entries = [
            entry for part in self.parts(job) for entry in part["r"] if entry[0] == int(index)
        ]
        assert [int(index), launch.attempt, w.id] in entries, "launched before it was written"

    def end_in_store(self, job: str) -> str | None:
        found = self.store.item(f"end/{job}")
        return None if found is None else decode_end_record(found["v"])

    def poll_all(self) -> None:
        """What the leader tells of every job: an end is told only if it, or the cancellation of a
        job before it, is durable, and never anything else after it."""
        c = self.scheduler
        assert c is not None
        for job, spec in self.jobs.items():
            status = c.job_status(users.JobId(job))
            if not isinstance(status, JobStatus):
                continue
            if status.state not in (users.DONE, users.CANCELLED):
                assert job not in self.told, f"went_back {job}"
                if self.now >= self.outage_until:
                    for name in self.before(job):
                        since = self.cancelled_at.get(name)
                        late = since is not None and self.now - since > self.settings.cancel_s
                        assert not late, f"orphaned {job}"
                continue
            ends = [self.end_in_store(name) for name in (job, *self.before(job))]
            assert status.state in (users.DONE, users.CANCELLED)
            if status.state == users.DONE:
                assert ends[0] == users.DONE, "told before it was durable"
            else:
                assert users.CANCELLED in ends, "told before it was durable"
            assert self.told.setdefault(job, status.state) == status.state, "went_back"
            assert spec is not None

    def before(self, job: str) -> set[str]:
        """All that the job awaits, directly or through others."""
        seen: set[str] = set()
        todo = list(self.jobs[job].get("awaits") or ())
        while todo:
            name = todo.pop()
            if name not in seen:
                seen.add(name)
                todo += self.jobs[name].get("awaits") or ()
        return seen

    def check(self) -> None:
        where: dict[str, str] = {}
        teams: dict[str, float] = {}
        for w in self.cloud.machines.values():
            for key, task in w.on().items():
                assert key not in where, f"ran_twice {key}"
                where[key] = w.id
                job = key.split("/")[0]
                spec = self.jobs[job]
                for name in spec.get("awaits") or ():
                    assert self.end_in_store(name) == users.DONE, f"too_early {key}"
                teams[spec["crew"]] = teams.get(spec["crew"], 0.0) + spec["cpus"]
                assert spec["loaners"] or not w.spot, "wrong_place: spot"
                assert spec["breeds"] is None or w.type["sku"] in spec["breeds"], "wrong_place"
                assert spec["yard"] in (None, w.zone), "wrong_place: zone"
                since = self.cancelled_at.get(job)
                assert since is None or self.now - since <= self.settings.cancel_s, "ran_cancelled"
                self.started.add((key, task.attempt, w.id))
        on = set(where.items())
        self.starts.update(key for key, _ in on - self.on_before)
        self.on_before = on
        if self.left_waiting_s is not None:
            self.check_waiting(teams, self.left_waiting_s)
        for team in self.settings.teams.values():
            if team.cpus_max:
                assert teams.get(team.name, 0.0) <= team.cpus_max + 1e-6, "quota"
        for job, spec in self.jobs.items():
            zones = [
                self.cloud.machines[m].zone for k, m in where.items() if k.startswith(job + "/")
            ]
            if spec["together"]:
                assert len(set(zones)) <= 1, "wrong_place: together"
            if spec["spread"]:
                half = (spec["parcels"] + 1) // 2
                assert all(zones.count(z) <= half for z in set(zones)), "wrong_place: spread"
            known = any(f"{p}/{job}" in self.store.keys for p in ("job", "end"))
            assert known, "forgotten"

    def check_waiting(self, teams: dict[str, float], most_s: float) -> None:
        """No job's tasks wait that long while a machine that fits has room and the team may use
        more. Jobs bound by their other tasks are left out: what fits them is a matter of those."""
        up = [
            w
            for w in self.cloud.machines.values()
            if max(w.boots_at, w.hangs_until) <= self.now and w.notice is None
        ]
        free = {
            w.id: w.type["cpus"]
            - sum(
                self.jobs[k.split("/")[0]]["cpus"] for k, t in w.tasks.items() if t.state != "ended"
            )
            for w in up
        }
        for job, spec in self.jobs.items():
            on = {k for w in self.cloud.machines.values() for k in w.tasks if k.startswith(job)}
            done = {
                f"{job}/{i}"
                for part in self.parts(job)
                for a, b in part["d"]
                for i in range(a, b + 1)
            }
            number = len(on | done)
            ended = f"end/{job}" in self.store.keys or job in self.cancelled_at
            most = self.settings.teams[spec["crew"]].cpus_max
            room = any(
                free[w.id] >= spec["cpus"]
                and (spec["loaners"] or not w.spot)
                and spec["breeds"] in (None, [w.type["sku"]])
                and spec["yard"] in (None, w.zone)
                for w in up
            )
            held = most and teams.get(spec["crew"], 0.0) + spec["cpus"] > most
            bound = spec["together"] or spec["spread"]
            if ended or bound or held or not room or number == spec["parcels"]:
                self.waiting.pop(job, None)
                continue
            was, since = self.waiting.get(job, (number, self.now))
            self.waiting[job] = (number, since if was == number else self.now)
            assert self.now - self.waiting[job][1] <= most_s, f"left waiting: {job}"

    def all_ended(self) -> bool:
        return all(f"end/{job}" in self.store.keys for job in self.jobs)
