"""Simulators of the state service, the cloud and the workers, without sockets or clocks."""

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
    """Keys with versions, guarded transactions, leases, watches by polling."""

    def __init__(self) -> None:
        self.revision = 0
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.leases: dict[int, float] = {}
        self.log: list[tuple[int, dict[str, Any]]] = []
        self.next_lease = 1
        self.value_bytes = self.txn_ops = 10**9
        self.too_large = 0  # transactions refused for their size

    def txn(self, body: bytes) -> tuple[int, dict[str, Any]]:
        obj = orjson.loads(body)
        values = [len(orjson.dumps(w["v"])) for w in obj["writes"] if "put" in w]
        if (
            len(obj["writes"]) > self.txn_ops
            or len(obj["guards"]) > 4 * self.txn_ops
            or len(body) > 64 * 1024
            or max(values, default=0) > self.value_bytes
        ):
            self.too_large += 1
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
        if key not in self.keys:
            return None
        value, version, lease = self.keys[key]
        out: dict[str, Any] = {"path": key, "v": value, "stamp": version}
        if lease is not None:
            out["tether"] = lease
        return out

    def range(self, prefix: str) -> list[dict[str, Any]]:
        return [i for k in sorted(self.keys) if k.startswith(prefix) and (i := self.item(k))]

    def end_lease(self, lease: int) -> bool:
        if self.leases.pop(lease, None) is None:
            return False
        for key in [k for k, (_, _, h) in self.keys.items() if h == lease]:
            self.revision += 1
            del self.keys[key]
            self.log.append((self.revision, {"delete": key, "stamp": self.revision}))
        return True


@dataclass
class TaskSim:
    attempt: int
    state: str = "pulling"
    left: float = 0.0
    fetch: float = 1.0
    why: str | None = None


@dataclass
class WorkerSim:
    """One machine, after the protocol's section on workers."""

    id: str
    type: dict[str, Any]
    zone: str
    spot: bool
    boots_at: float = 0.0
    agent_epoch: int = 1
    seq: int = 0
    token: int = 0
    tasks: dict[str, TaskSim] = field(default_factory=dict)
    answered: float = 0.0
    deleted: bool = False
    hangs_until: float = -1.0
    faulty: bool = False
    pace: float = 1.0
    notice: float | None = None

    def report(self) -> dict[str, Any]:
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
            "recallS": self.notice,
            "parcels": [
                {"parcel": k, "try": t.attempt, "standing": t.state}
                | ({"cause": t.why} if t.state == "ended" else {})
                for k, t in self.tasks.items()
            ],
        }

    def on(self) -> dict[str, TaskSim]:
        return {k: t for k, t in self.tasks.items() if t.state in ("running", "saving")}

    def obey(self, body: bytes, sent: float, session: int, jobs: dict[str, Any]) -> None:
        obj = orjson.loads(body)
        if obj["whip"] < self.token or session != self.agent_epoch:
            return
        self.token = obj["whip"]
        self.answered = sent
        for c in obj["calls"]:
            key, attempt = c["parcel"], c["try"]
            task = self.tasks.get(key)
            if c["call"] == "launch":
                if task is not None:
                    if task.attempt != attempt and task.state != "ended":
                        self.tasks[key] = TaskSim(attempt, "ended", why="busy")
                    continue
                job = jobs[key.split("/")[0]]
                used = sum(
                    jobs[k.split("/")[0]]["cpus"]
                    for k, t in self.tasks.items()
                    if t.state != "ended"
                )
                if used + job["cpus"] > self.type["cpus"]:
                    self.tasks[key] = TaskSim(attempt, "ended", why="full")
                else:
                    self.tasks[key] = TaskSim(attempt, left=job["runS"] * self.pace)
            elif task is not None and task.attempt == attempt:
                if c["call"] == "kill" and task.state != "ended":
                    task.state, task.why = "ended", "stopped"
                elif c["call"] == "clear" and task.state == "ended":
                    del self.tasks[key]

    def orders(self, body: bytes) -> tuple[int, dict[str, Any]]:
        """A direct command: it renews no lease."""
        obj = orjson.loads(body)
        if obj["whip"] < self.token or obj["stint"] != self.agent_epoch:
            return 409, self.report()
        assert all(c["call"] == "kill" for c in obj["calls"]), "would run late"
        answered = self.answered
        self.obey(body, answered, self.agent_epoch, {})
        return 200, self.report()

    def step(self, now: float, dt: float, lease_s: float) -> None:
        if now - self.answered > lease_s:
            self.tasks.clear()
            self.agent_epoch += 1
            self.answered = now
        for task in self.tasks.values():
            if task.state == "pulling":
                task.fetch -= dt
                if task.fetch <= 0:
                    task.state = "running"
                    if self.faulty:
                        task.state, task.why = "ended", "error"
            elif task.state == "running":
                task.left -= dt
                if task.left <= 0:
                    task.state, task.why = "ended", "done"


class CloudSim:
    def __init__(self, capacity: int, rng: random.Random) -> None:
        self.machines: dict[str, WorkerSim] = {}
        self.answers: dict[str, list[str]] = {}
        self.capacity = capacity
        self.count = 0
        self.rng = rng

    def rent(self, body: bytes, now: float) -> tuple[int, dict[str, Any]]:
        obj = orjson.loads(body)
        if obj["hire"] not in self.answers:
            number = min(obj["number"], self.capacity - len(self.machines))
            if number <= 0:
                return 503, {"error": "no capacity"}
            kind = next(b for b in CATALOG["breeds"] if b["sku"] == obj["breed"])
            names = []
            for _ in range(number):
                self.count += 1
                name = f"n-{self.count:06d}"
                boot = kind["readyS"] * self.rng.uniform(0.6, 1.5)
                self.machines[name] = WorkerSim(
                    name, kind, obj["yard"], obj["loaners"], now + boot, answered=now + boot
                )
                names.append(name)
            self.answers[obj["hire"]] = names
        return 200, {"wagons": self.answers[obj["hire"]]}

    def delete(self, body: bytes) -> tuple[int, dict[str, Any]]:
        for name in orjson.loads(body)["wagons"]:
            machine = self.machines.pop(name, None)
            if machine is not None:
                machine.deleted = True
        return 200, {}

    def list(self, now: float) -> dict[str, Any]:
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
