"""Simulators of the state service, the cloud and the workers, without sockets or clocks.

The tests call them directly and pass the simulated time as an argument.
"""

import random
from dataclasses import dataclass, field
from typing import Any

import orjson

CATALOG = {
    "breeds": [
        {
            "sku": "small",
            "cpus": 8,
            "accelerators": 0,
            "memGb": 64,
            "localGb": 30,
            "pullGbPerS": 1.0,
            "rate": 1.0,
            "lowPrice": 0.4,
            "readyS": 5,
            "yards": ["a", "b"],
        },
        {
            "sku": "big",
            "cpus": 16,
            "accelerators": 2,
            "memGb": 64,
            "localGb": 30,
            "pullGbPerS": 1.0,
            "rate": 2.5,
            "lowPrice": 1.0,
            "readyS": 8,
            "yards": ["b"],
        },
    ]
}


class StoreSim:
    """The state service: keys with versions, guarded transactions, and leases.

    Watches are simulated by reading `log`, which lists all events with their revisions.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.leases: dict[int, float] = {}
        self.log: list[tuple[int, dict[str, Any]]] = []
        self.next_lease = 1
        self.value_bytes = self.txn_ops = 10**9
        self.too_large_count = 0  # number of transactions rejected for their size

    def txn(self, body: bytes) -> tuple[int, dict[str, Any]]:
        """Apply a transaction; return the HTTP status and the body of the response."""
        obj = orjson.loads(body)
        value_sizes = [len(orjson.dumps(w["v"])) for w in obj["writes"] if "put" in w]
        if (
            len(obj["writes"]) > self.txn_ops
            or len(obj["guards"]) > 4 * self.txn_ops
            or len(body) > 64 * 1024
            or max(value_sizes, default=0) > self.value_bytes
        ):
            self.too_large_count += 1
            return 400, {"error": "too large"}
        failed = [
            g["path"] for g in obj["guards"] if self.keys.get(g["path"], (0, 0, 0))[1] != g["stamp"]
        ]
        if any(w.get("tether") not in (None, *self.leases) for w in obj["writes"]):
            return 400, {"error": "no such lease"}
        if failed:
            return 409, {"failed": failed, "ledgerRev": self.revision}
        if obj["writes"]:
            self.revision += 1
        for w in obj["writes"]:
            if "put" in w:
                self.keys[w["put"]] = (w["v"], self.revision, w.get("tether"))
                event = {"put": w["put"], "v": w["v"], "stamp": self.revision}
            else:
                self.keys.pop(w["delete"], None)
                event = {"delete": w["delete"], "stamp": self.revision}
            self.log.append((self.revision, event))
        return 200, {"ledgerRev": self.revision}

    def item(self, key: str) -> dict[str, Any] | None:
        """Return the key's item as the service encodes it; None if the key does not exist."""
        if key not in self.keys:
            return None
        value, version, lease = self.keys[key]
        result: dict[str, Any] = {"path": key, "v": value, "stamp": version}
        if lease is not None:
            result["tether"] = lease
        return result

    def range(self, prefix: str) -> list[dict[str, Any]]:
        """Return the items whose keys begin with the prefix, in the order of their keys."""
        return [i for k in sorted(self.keys) if k.startswith(prefix) and (i := self.item(k))]

    def end_lease(self, lease: int) -> bool:
        """Remove the lease and delete its keys; return whether it existed."""
        if self.leases.pop(lease, None) is None:
            return False
        for key in [k for k, (_, _, owner) in self.keys.items() if owner == lease]:
            self.revision += 1
            del self.keys[key]
            self.log.append((self.revision, {"delete": key, "stamp": self.revision}))
        return True


@dataclass
class TaskSim:
    """A task on a simulated worker."""

    attempt: int
    state: str = "pulling"
    remaining_run_s: float = 0.0
    remaining_pull_s: float = 1.0  # of its image
    end_cause: str | None = None


@dataclass
class WorkerSim:
    """One machine and its agent, which follows the protocol for workers."""

    id: str
    type: dict[str, Any]
    zone: str
    spot: bool
    boots_at: float = 0.0
    agent_epoch: int = 1
    seq: int = 0
    token: int = 0
    tasks: dict[str, TaskSim] = field(default_factory=dict)
    lease_renewed_at: float = 0.0  # send time of the heartbeat that renewed its lease last
    deleted: bool = False
    hangs_until: float = -1.0
    faulty: bool = False  # every task fails as soon as its image is pulled
    run_time_factor: float = 1.0  # multiplies the job's run time
    preemption_notice_s: float | None = None  # notice time that it reports; None: no notice

    def report(self) -> dict[str, Any]:
        """Return the next heartbeat."""
        self.seq += 1
        return {
            "wagon": self.id,
            "address": "10.1.0.1:9000",
            "breed": self.type["sku"],
            "yard": self.zone,
            "loaners": self.spot,
            "stint": self.agent_epoch,
            "tally": self.seq,
            "whip": self.token,
            "recallS": self.preemption_notice_s,
            "parcels": [
                {"parcel": k, "try": t.attempt, "standing": t.state}
                | ({"cause": t.end_cause} if t.state == "ended" else {})
                for k, t in self.tasks.items()
            ],
        }

    def running_tasks(self) -> dict[str, TaskSim]:
        """Return the tasks that run or save their results."""
        return {k: t for k, t in self.tasks.items() if t.state in ("running", "saving")}

    def execute_commands(
        self, body: bytes, sent_at: float, sent_epoch: int, jobs: dict[str, Any]
    ) -> None:
        """Execute the commands of a response; ignore it if its fencing token is outdated.

        `sent_at` and `sent_epoch` are time and agent epoch of the heartbeat that it answers.
        """
        obj = orjson.loads(body)
        if obj["whip"] < self.token or sent_epoch != self.agent_epoch:
            return
        self.token = obj["whip"]
        self.lease_renewed_at = sent_at
        for command in obj["calls"]:
            key, attempt = command["parcel"], command["try"]
            task = self.tasks.get(key)
            if command["call"] == "launch":
                if task is not None:
                    if task.attempt != attempt and task.state != "ended":
                        self.tasks[key] = TaskSim(attempt, "ended", end_cause="busy")
                    continue
                job = jobs[key.split("/")[0]]
                used_cpus = sum(
                    jobs[k.split("/")[0]]["cpus"]
                    for k, t in self.tasks.items()
                    if t.state != "ended"
                )
                if used_cpus + job["cpus"] > self.type["cpus"]:
                    self.tasks[key] = TaskSim(attempt, "ended", end_cause="full")
                else:
                    self.tasks[key] = TaskSim(
                        attempt, remaining_run_s=job["runS"] * self.run_time_factor
                    )
            elif task is not None and task.attempt == attempt:
                if command["call"] == "kill" and task.state != "ended":
                    task.state, task.end_cause = "ended", "stopped"
                elif command["call"] == "clear" and task.state == "ended":
                    del self.tasks[key]

    def execute_direct_commands(self, body: bytes) -> tuple[int, dict[str, Any]]:
        """Execute direct commands, which do not renew the lease.

        Return the HTTP status and a heartbeat: 409 if the fencing token or the epoch is outdated.
        """
        obj = orjson.loads(body)
        if obj["whip"] < self.token or obj["stint"] != self.agent_epoch:
            return 409, self.report()
        assert all(command["call"] == "kill" for command in obj["calls"]), (
            "a direct command other than a kill: a launch that the network delays would run late"
        )
        lease_renewed_at = self.lease_renewed_at
        self.execute_commands(body, lease_renewed_at, self.agent_epoch, {})
        return 200, self.report()

    def step(self, now: float, dt: float, lease_s: float) -> None:
        """Advance the tasks by `dt` seconds; if the lease has expired, drop them all."""
        if now - self.lease_renewed_at > lease_s:
            self.tasks.clear()
            self.agent_epoch += 1
            self.lease_renewed_at = now
        for task in self.tasks.values():
            if task.state == "pulling":
                task.remaining_pull_s -= dt
                if task.remaining_pull_s <= 0:
                    task.state = "running"
                    if self.faulty:
                        task.state, task.end_cause = "ended", "error"
            elif task.state == "running":
                task.remaining_run_s -= dt
                if task.remaining_run_s <= 0:
                    task.state, task.end_cause = "ended", "done"


class CloudSim:
    """The cloud: creates, deletes and lists machines.

    It holds at most `capacity` machines. A repeated request to create machines gets the response
    to the first request of that name.
    """

    def __init__(self, capacity: int, rng: random.Random) -> None:
        self.machines: dict[str, WorkerSim] = {}
        self.machines_by_request: dict[str, list[str]] = {}
        self.capacity = capacity
        self.created_count = 0
        self.rng = rng

    def create_machines(self, body: bytes, now: float) -> tuple[int, dict[str, Any]]:
        """Create machines; return the HTTP status and the body of the response."""
        obj = orjson.loads(body)
        if obj["hire"] not in self.machines_by_request:
            number = min(obj["number"], self.capacity - len(self.machines))
            if number <= 0:
                return 503, {"error": "no capacity"}
            machine_type = next(b for b in CATALOG["breeds"] if b["sku"] == obj["breed"])
            names = []
            for _ in range(number):
                self.created_count += 1
                name = f"n-{self.created_count:06d}"
                boot_s = machine_type["readyS"] * self.rng.uniform(0.6, 1.5)
                self.machines[name] = WorkerSim(
                    name,
                    machine_type,
                    obj["yard"],
                    obj["loaners"],
                    now + boot_s,
                    lease_renewed_at=now + boot_s,
                )
                names.append(name)
            self.machines_by_request[obj["hire"]] = names
        return 200, {"wagons": self.machines_by_request[obj["hire"]]}

    def delete(self, body: bytes) -> tuple[int, dict[str, Any]]:
        """Delete the named machines; unknown ones are ignored."""
        for name in orjson.loads(body)["wagons"]:
            machine = self.machines.pop(name, None)
            if machine is not None:
                machine.deleted = True
        return 200, {}

    def list(self, now: float) -> dict[str, Any]:
        """Return the list of all machines as one complete page."""
        return {
            "wagons": [
                {
                    "nameId": m.id,
                    "address": "10.1.0.1:9000",
                    "breed": m.type["sku"],
                    "yard": m.zone,
                    "loaners": m.spot,
                    "standing": "running" if now >= m.boots_at else "starting",
                    "ageS": 1.0,
                }
                for m in self.machines.values()
            ],
            "more": False,
        }
