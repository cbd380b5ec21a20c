"""Stand-ins for the state service, the cloud, the workers and the users, and real controller processes.

Everything listens on loopback addresses. The controllers are started with the `run` line of `deploy/service.toml`. The
stand-ins follow PROTOCOL: where a page gives a range (boot time, list lag, latency), the value is a parameter.
"""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
RESET = object()  # a handler returns it to reset the connection without a response

ATHENS = {  # BRIEF, "Athens Detector Ledger"
    "zones": ["clarke-annex", "oconee-room", "piedmont-hall"],
    "teams": [
        {"name": "calib-crew", "cpus": 296.0, "cpus_max": 1104.0, "gpus": 0.0, "gpus_max": 0.0},
        {"name": "ledger-desk", "cpus": 296.0, "cpus_max": 664.0, "gpus": 0.0, "gpus_max": 0.0},
    ],
    "objectives": [{"kind": "wait", "class": "gain-sweep", "within_s": 12.0, "share": 0.78}],
    "workers": {
        "report_s": 2.5,
        "lease_s": 14.0,
        "gang_wait_s": 30.0,
        "gang_peer_s": 4.0,
        "cancel_s": 34.0,
    },
    "state": {"rps": 70.0, "write_rps": 25.0, "value_kb": 32.0, "txn_ops": 20},
    "cloud": {"rps": 5.0, "list_lag_s": 4.0},
    "machine_limits": {"core_share": 0.72, "mem_mb": 266.0, "sockets": 1800},
    "clock_off_ms": 100.0,
}
BREEDS = [
    {
        "sku": "bench16",
        "cpus": 16,
        "accelerators": 0,
        "memGb": 128,
        "localGb": 35,
        "pullGbPerS": 1.0,
        "rate": 1.16,
        "lowPrice": 0.44,
        "readyS": 15,
        "yards": ATHENS["zones"],
    },
]


class Record:
    """The history: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.t0 = time.monotonic()
        self.file = open(path, "w", encoding="utf-8", buffering=1)
        self.events = []

    def now(self):
        return time.monotonic() - self.t0

    def add(self, kind, **fields):
        at = self.now()
        self.events.append({"at": at, "kind": kind, **fields})
        self.file.write(f"{at:9.3f} {kind} " + " ".join(f"{k}={v}" for k, v in fields.items()) + "\n")


# -- HTTP


async def serve(handler, port=0):
    """Serve `handler(method, path, query, body) -> (status, object)`; return the server and its port."""

    async def connection(reader, writer):
        try:
            while True:
                line = await reader.readline()
                if not line:
                    break
                method, target, _ = line.decode().split(" ", 2)
                length, close = 0, False
                while (header := (await reader.readline()).decode().strip()) != "":
                    name, _, value = header.partition(":")
                    if name.lower() == "content-length":
                        length = int(value)
                    if name.lower() == "connection" and "close" in value.lower():
                        close = True
                body = await reader.readexactly(length) if length else b""
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                answer = await handler(method, unquote(url.path), query, body)
                if answer is RESET:
                    writer.transport.abort()
                    return
                status, value = answer
                data = json.dumps(value).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n"
                writer.write(head.encode() + (b"Connection: close\r\n" if close else b"") + b"\r\n" + data)
                await writer.drain()
                if close:
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(connection, HOST, port, backlog=256, limit=1 << 20)
    return server, server.sockets[0].getsockname()[1]


async def call(address, method, path, value=None, timeout=5.0):
    """Send one request on a new connection; return (status, object), or (0, None) without a response in time."""
    try:
        return await asyncio.wait_for(_call(address, method, path, value), timeout)
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, None


async def _call(address, method, path, value):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
    try:
        data = b"" if value is None else json.dumps(value).encode()
        head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
        writer.write(f"{head}Content-Length: {len(data)}\r\nConnection: close\r\n\r\n".encode() + data)
        await writer.drain()
        status = int((await reader.readline()).split()[1])
        length = 0
        while (header := (await reader.readline()).decode().strip()) != "":
            name, _, text = header.partition(":")
            if name.lower() == "content-length":
                length = int(text)
        body = await reader.readexactly(length)
        return status, json.loads(body) if body else None
    finally:
        writer.close()


def free_addresses(count, ports):
    """Loopback addresses on which all these ports are free: a cluster shares them with nobody else."""
    while True:
        net = f"127.{random.randrange(1, 255)}.{random.randrange(256)}"
        hosts = [f"{net}.{n + 1}" for n in range(count)]
        try:
            for host in hosts:
                for port in ports:
                    with socket.socket() as s:
                        s.bind((host, port))
        except OSError:
            continue
        return hosts


# -- state service


class Store:
    """The state service of PROTOCOL. Each controller has a port of its own, so that troubles can concern one of them.

    `before(node, method, path, body)` and `after(...)` are hooks of a test, coroutines: `before` may return an answer in
    place of the service's; `after` runs when the request has been executed and before it is answered.
    """

    LATENCY_S = 0.003

    def __init__(self, rec, limits):
        self.rec, self.limits = rec, limits
        self.keys, self.rev, self.log = {}, 1, []
        self.leases, self.next_lease = {}, 0
        self.changed = asyncio.Event()
        self.before = self.after = None
        self.latency_s = {}  # by controller, where it is not `LATENCY_S`
        self.outage = False
        self.refused = set()  # controllers that get 503
        self.tokens = {"rps": limits["rps"], "write_rps": limits["write_rps"]}
        self.filled_at = time.monotonic()
        self.count_429 = 0

    def handler(self, node):
        async def handle(method, path, query, body):
            if self.before is not None:
                answer = await self.before(node, method, path, body)
                if answer is not None:
                    return answer
            await asyncio.sleep(self.latency_s.get(node, self.LATENCY_S))
            if path == "/follow":
                return await self.follow(node, query)
            if self.outage or node in self.refused:
                return 503, {"error": "trouble"}
            if not self.take("rps", 1):
                return 429, {}
            answer = self.execute(method, path, query, body)
            if self.after is not None:
                replaced = await self.after(node, method, path, body, answer)
                if replaced is not None:
                    return replaced
            return answer

        return handle

    def take(self, bucket, count):
        now = time.monotonic()
        for name in self.tokens:
            limit = self.limits[name]
            self.tokens[name] = min(limit, self.tokens[name] + limit * (now - self.filled_at))
        self.filled_at = now
        if self.tokens[bucket] < count:
            self.count_429 += 1
            return False
        self.tokens[bucket] -= count
        return True

    def execute(self, method, path, query, body):
        self.expire()
        if path == "/txn":
            return self.txn(json.loads(body))
        if path == "/keys":
            names = sorted(k for k in self.keys if k.startswith(query["prefix"]) and k > query.get("from", ""))
            page = names[: min(1000, int(query.get("most", 1000)))]
            return 200, {
                "pairs": [self.item(k) for k in page],
                "more": len(page) < len(names),
                "ledgerRev": self.rev,
            }
        if path.startswith("/keys/"):
            key = path[6:]
            return (200, self.item(key)) if key in self.keys else (404, {"ledgerRev": self.rev})
        if path == "/holds":
            self.next_lease += 1
            life = json.loads(body)["lifeMs"] / 1000
            self.leases[self.next_lease] = [life, time.monotonic() + life]
            return 200, {"tether": self.next_lease}
        parts = path.split("/")
        if len(parts) >= 3 and parts[1] == "holds":
            lease = int(parts[2])
            if lease not in self.leases:
                return 404, {}
            if method == "DELETE":
                self.end_lease(lease)
            else:
                self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
            return 200, {}
        return 400, {}

    def item(self, key):
        value, stamp, lease = self.keys[key]
        found = {"path": key, "v": value, "stamp": stamp}
        return found if lease is None else found | {"tether": lease}

    def txn(self, txn):
        guards, writes = txn.get("guards", []), txn.get("writes", [])
        if len(writes) > self.limits["txn_ops"] or len(guards) > 4 * self.limits["txn_ops"]:
            return 400, {"error": "too many"}
        if not self.take("write_rps", len(writes)):
            return 429, {}
        for write in writes:
            if write.get("tether") is not None and write["tether"] not in self.leases:
                return 400, {"error": "no such lease"}
            if "put" in write and len(json.dumps(write.get("v"))) > self.limits["value_kb"] * 1024:
                return 400, {"error": "value"}
        failed = [g["path"] for g in guards if g["stamp"] != (self.keys[g["path"]][1] if g["path"] in self.keys else 0)]
        if failed:
            return 409, {"failed": failed, "ledgerRev": self.rev}
        if writes:
            self.rev += 1
            for write in writes:
                if "put" in write:
                    self.keys[write["put"]] = (write.get("v"), self.rev, write.get("tether"))
                    self.log.append((self.rev, {"put": write["put"], "v": write.get("v"), "stamp": self.rev}))
                elif self.keys.pop(write["delete"], None) is not None:
                    self.log.append((self.rev, {"delete": write["delete"], "stamp": self.rev}))
            self.wake()
        return 200, {"ledgerRev": self.rev}

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        gone = [k for k, v in self.keys.items() if v[2] == lease]
        if gone:
            self.rev += 1
            for key in gone:
                del self.keys[key]
                self.log.append((self.rev, {"delete": key, "stamp": self.rev}))
            self.wake()

    def expire(self):
        if not self.outage:
            now = time.monotonic()
            for lease in [k for k, v in self.leases.items() if v[1] <= now]:
                self.end_lease(lease)

    def set_outage(self, on):
        """An outage gives all leases their full time again afterwards."""
        self.rec.add("state outage begins" if on else "state outage ends")
        self.outage = on
        if not on:
            for lease in self.leases.values():
                lease[1] = time.monotonic() + lease[0]
            self.wake()

    async def run(self):
        while True:
            await asyncio.sleep(0.03)
            self.expire()

    async def follow(self, node, query):
        if not (self.outage or node in self.refused) and not self.take("rps", 1):
            return 429, {}
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        since, prefix = int(query["from"]), query["prefix"]
        while True:
            if not (self.outage or node in self.refused):
                log = [e for r, e in self.log if r > since and (e.get("put") or e.get("delete")).startswith(prefix)]
                if log or time.monotonic() >= end:
                    return 200, {"ledgerRev": self.rev, "log": log}
            left = end - time.monotonic()
            if left <= 0 and (self.outage or node in self.refused):
                left = 0.2  # an outage leaves open watches open
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.01, min(left, 0.5)))
            except TimeoutError:
                pass

    def leader(self):
        return self.keys["lead"][0]["node"] if "lead" in self.keys else None


# -- cloud and workers


class Cloud:
    def __init__(self, rig, boot_s=1.5, capacity=6):
        self.rig, self.rec, self.boot_s, self.capacity = rig, rig.rec, boot_s, capacity
        self.machines, self.hires, self.next_id = {}, {}, 1
        self.history = [(0.0, [])]
        self.before = None
        self.outage = False

    async def handle(self, method, path, query, body):
        if self.before is not None:
            answer = await self.before(method, path, body)
            if answer is not None:
                return answer
        await asyncio.sleep(0.02)
        if self.outage:
            return 503, {"error": "trouble"}
        if path == "/catalog":
            return 200, {"breeds": BREEDS}
        if path == "/machines/delete":
            names = json.loads(body)["wagons"]
            for name in names:
                machine = self.machines.pop(name, None)
                if machine is not None:
                    machine.end("deleted")
            self.rec.add("cloud deletes", machines=",".join(names))
            self.note()
            return 200, {}
        if path == "/machines" and method == "POST":
            return self.hire(json.loads(body))
        if path == "/machines":
            lag = self.rig.settings["cloud"]["list_lag_s"]
            at = time.monotonic() - lag
            listed = [m for t, m in self.history if t <= at][-1]
            page = [m for m in listed if m["nameId"] > query.get("from", "")][: int(query.get("most", 500))]
            return 200, {"wagons": page, "more": False}
        return 400, {}

    def hire(self, wish):
        if wish["hire"] in self.hires:
            return 200, {"wagons": self.hires[wish["hire"]]}
        number = min(wish["number"], self.capacity - len(self.machines))
        if number <= 0:
            return 503, {"error": "no capacity"}
        names = [self.add(wish["yard"], wish["loaners"], self.boot_s).name for _ in range(number)]
        self.hires[wish["hire"]] = names
        self.rec.add("cloud rents", hire=wish["hire"], machines=",".join(names))
        return 200, {"wagons": names}

    def add(self, zone, spot=False, boot_s=0.0):
        name = f"n-{self.next_id:06d}"
        self.next_id += 1
        worker = self.machines[name] = Worker(self.rig, name, zone, spot, boot_s)
        self.note()
        return worker

    def note(self):
        now = time.monotonic()
        self.history.append((now, [m.listed(now) for m in self.machines.values()]))

    async def run(self):
        while True:
            await asyncio.sleep(0.5)
            self.note()


class Worker:
    """One machine with its worker, by PROTOCOL, "Workers -> controller nodes"."""

    FETCH_S = 0.3

    def __init__(self, rig, name, zone, spot, boot_s):
        self.rig, self.rec, self.name, self.zone, self.spot = rig, rig.rec, name, zone, spot
        self.hired_at = time.monotonic()
        self.session, self.seq, self.token = 1, 0, 0
        self.tasks = {}  # (task, attempt) -> dict
        self.address = ""
        self.is_up = self.is_gone = self.is_hung = False
        self.deaf_to = set()  # indexes of controllers that it can't reach
        self.mute_orders = False  # direct requests to it get no answer
        self.at = None  # the index of the controller to which it reports
        self.poke = asyncio.Event()
        self.last_change_at = 0.0
        self.loop_task = asyncio.ensure_future(self.run(boot_s))

    def listed(self, now):
        return {
            "nameId": self.name,
            "address": self.address,
            "breed": "bench16",
            "yard": self.zone,
            "loaners": self.spot,
            "standing": "running" if self.is_up else "starting",
            "ageS": now - self.hired_at,
        }

    def end(self, why):
        self.is_gone = True
        for key in list(self.tasks):
            self.drop(key, why)
        self.loop_task.cancel()
        if self.address:
            self.server.close()

    def drop(self, key, why):
        task = self.tasks.pop(key)
        if task["timer"] is not None:
            task["timer"].cancel()
        if task["state"] in ("running", "saving"):
            self.rec.add("task off", machine=self.name, task=key[0], attempt=key[1], why=why)

    def report(self):
        self.seq += 1
        tasks = []
        for (task, attempt), t in self.tasks.items():
            entry = {"parcel": task, "try": attempt, "standing": t["state"]}
            tasks.append(entry | ({"cause": t["cause"]} if t["state"] == "ended" else {}))
        return {
            "wagon": self.name,
            "address": self.address,
            "breed": "bench16",
            "yard": self.zone,
            "loaners": self.spot,
            "stint": self.session,
            "tally": self.seq,
            "whip": self.token,
            "recallS": None,
            "parcels": tasks,
        }

    def check_lease(self):
        if time.monotonic() - self.answered_at > self.rig.settings["workers"]["lease_s"]:
            for key in list(self.tasks):
                self.drop(key, "lease")
            self.session += 1
            self.answered_at = time.monotonic()
            self.rec.add("worker session", machine=self.name, session=self.session)

    async def run(self, boot_s):
        await asyncio.sleep(boot_s)
        self.server, port = await serve(self.direct)
        self.address = f"{HOST}:{port}"
        self.is_up = True
        self.answered_at = time.monotonic()
        self.rec.add("machine up", machine=self.name, zone=self.zone)
        fronts = self.rig.fronts
        if self.at is None:
            self.at = int(self.name[2:]) % len(fronts)
        reader = writer = None
        while True:
            while self.is_hung:
                await asyncio.sleep(0.05)
            self.check_lease()
            sent_at, session, token = time.monotonic(), self.session, self.token
            status, answer = 0, None
            if self.at not in self.deaf_to:
                report = self.report()
                if self.rig.on_report is not None:
                    self.rig.on_report(self, report)
                status, answer = await call(fronts[self.at], "POST", "/v1/report", report, 4.0)
            else:
                await asyncio.sleep(4.0)
            while self.is_hung:
                await asyncio.sleep(0.05)
                status = 0  # what came while it hung comes too late, or the connection is gone
            self.check_lease()
            pause = self.rig.settings["workers"]["report_s"]
            if status == 200:
                if session == self.session and answer.get("whip", -1) >= self.token and answer.get("whip"):
                    self.answered_at = max(self.answered_at, sent_at)
                    self.token = answer["whip"]
                    self.execute(answer["calls"])
            elif (
                status == 421
                and answer
                and answer.get("droverBoss") in self.rig.labels
                and (self.rig.labels.index(answer["droverBoss"]) != self.at)
            ):
                self.at = self.rig.labels.index(answer["droverBoss"])
                pause = 0.1
            else:
                self.at = (self.at + 1) % len(fronts)
                pause = 1.0
            del reader, writer
            reader = writer = None
            if pause > 1.0:
                if token != self.token:
                    self.poke.set()
                try:
                    await asyncio.wait_for(self.poke.wait(), pause)
                    left = 0.5 - (time.monotonic() - sent_at)
                    if left > 0:
                        await asyncio.sleep(left)
                except TimeoutError:
                    pass
                self.poke.clear()
            else:
                await asyncio.sleep(pause)

    async def direct(self, method, path, query, body):
        while self.is_hung:
            await asyncio.sleep(0.05)
        if self.mute_orders:
            await asyncio.sleep(30)
            return RESET
        if path == "/show":
            return 200, self.report()
        order = json.loads(body)
        if order["whip"] < self.token or order["stint"] != self.session:
            return 409, self.report()
        if order["whip"] > self.token:
            self.token = order["whip"]
            self.poke.set()
        self.rec.add("orders", machine=self.name, token=order["whip"], calls=json.dumps(order["calls"]))
        self.execute(order["calls"])
        return 200, self.report()

    def execute(self, calls):
        for command in calls:
            key = (command["parcel"], command["try"])
            op = command["call"]
            if op == "launch" and key not in self.tasks:
                self.launch(key)
            elif op == "kill" and key in self.tasks:
                self.exit(key, "stopped")
            elif op == "clear" and key in self.tasks and self.tasks[key]["state"] == "ended":
                del self.tasks[key]
                self.poke.set()

    def launch(self, key):
        name, attempt = key
        job = self.rig.jobs.get(name.rpartition("/")[0])
        task = self.tasks[key] = {"state": "pulling", "cause": None, "timer": None}
        self.poke.set()
        used = sum(
            self.rig.jobs[k[0].rpartition("/")[0]]["cpus"]
            for k, t in self.tasks.items()
            if t["state"] != "ended" and k != key
        )
        if job is None:
            task.update(state="ended", cause="no_such")
        elif any(k[0] == name and k != key and t["state"] != "ended" for k, t in self.tasks.items()):
            task.update(state="ended", cause="busy")
        elif used + job["cpus"] > 16:
            task.update(state="ended", cause="full")
        else:
            loop = asyncio.get_running_loop()
            task["timer"] = loop.call_later(self.FETCH_S, self.start, key)
        self.rec.add(
            "launch",
            machine=self.name,
            task=name,
            attempt=attempt,
            state=task["state"],
            cause=task["cause"],
        )

    def start(self, key):
        if self.is_hung:
            self.tasks[key]["timer"] = asyncio.get_running_loop().call_later(0.1, self.start, key)
            return
        task = self.tasks[key]
        job = self.rig.jobs[key[0].rpartition("/")[0]]
        self.rec.add("task on", machine=self.name, task=key[0], attempt=key[1], zone=self.zone)
        if key[0] in self.rig.results:
            task["state"] = "running"
            self.finish(key)
            return
        task["state"] = "running"
        self.poke.set()
        task["timer"] = asyncio.get_running_loop().call_later(job["runS"], self.finish, key)

    def finish(self, key):
        if self.is_hung:
            self.tasks[key]["timer"] = asyncio.get_running_loop().call_later(0.1, self.finish, key)
            return
        self.rig.results.add(key[0])
        self.exit(key, "done")

    def exit(self, key, cause):
        task = self.tasks[key]
        if task["state"] == "ended":
            return
        if task["timer"] is not None:
            task["timer"].cancel()
        if task["state"] == "running":
            self.rec.add("task off", machine=self.name, task=key[0], attempt=key[1], why=cause)
        task.update(state="ended", cause=cause, timer=None)
        self.poke.set()


# -- controllers and the whole region


class Link:
    """A TCP proxy in front of one controller's peer address, for connections of one other controller.

    `mode`: "pass"; "hold" keeps what is sent until it passes again; "refuse" closes new connections and resets old ones.
    """

    def __init__(self, target):
        self.target, self.mode, self.writers = target, "pass", set()

    async def start(self):
        self.server = await asyncio.start_server(self.connection, HOST, 0)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"
        return self

    async def connection(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        while self.mode == "hold":
            await asyncio.sleep(0.05)
        try:
            host, _, port = self.target.rpartition(":")
            up_reader, up_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, up_writer}
        await asyncio.gather(self.pump(reader, up_writer), self.pump(up_reader, writer))
        self.writers -= {writer, up_writer}

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                while self.mode == "hold":
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()

    def refuse(self):
        self.mode = "refuse"
        for writer in self.writers:
            writer.transport.abort()


class Rig:
    """A small deployment: `nodes` controllers, the region's services, and machines."""

    def __init__(self, folder, nodes=3, settings=None, capacity=6, machines=(), links=False):
        self.rec = Record(Path(folder) / "record.txt")
        self.settings = json.loads(json.dumps(settings or ATHENS))
        self.labels = [f"drover-{i}" for i in range(nodes)]
        self.node_count, self.capacity, self.first_machines, self.with_links = (
            nodes,
            capacity,
            machines,
            links,
        )
        self.jobs, self.results = {}, set()
        self.processes = {}
        self.on_report = None  # a test's hook: called with the worker and each report that is sent
        self.tmp = tempfile.TemporaryDirectory(prefix="review-")
        self.background = []

    async def __aenter__(self):
        self.store = Store(self.rec, self.settings["state"])
        self.cloud = Cloud(self, capacity=self.capacity)
        _, cloud_port = await serve(self.cloud.handle)
        hosts = free_addresses(self.node_count, (8080, 8081))
        self.fronts = [f"{host}:8080" for host in hosts]
        mesh = [f"{host}:8081" for host in hosts]
        zones = self.settings["zones"]
        self.links = {}
        for i in range(self.node_count):
            for j in range(self.node_count):
                if i != j and self.with_links:
                    self.links[i, j] = await Link(mesh[j]).start()
        for i, label in enumerate(self.labels):
            _, store_port = await serve(self.store.handler(i))
            members = [
                {
                    "label": other,
                    "location": zones[j % len(zones)],
                    "endpoint": self.links[i, j].address if self.with_links else mesh[j],
                }
                for j, other in enumerate(self.labels)
                if j != i
            ]
            config = {
                "label": label,
                "location": zones[i % len(zones)],
                "front": self.fronts[i],
                "mesh_addr": mesh[i],
                "members": members,
                "settings": self.settings | {"count": self.node_count},
                "endpoints": {"cloud": f"{HOST}:{cloud_port}", "state": f"{HOST}:{store_port}"},
            }
            (Path(self.tmp.name) / f"{label}.json").write_text(json.dumps(config))
        self.background += [
            asyncio.ensure_future(self.store.run()),
            asyncio.ensure_future(self.cloud.run()),
        ]
        for zone in self.first_machines:
            self.cloud.add(zone)
        for i in range(self.node_count):
            self.start(i)
        return self

    async def __aexit__(self, *_):
        for i in list(self.processes):
            self.kill(i)
        for task in self.background:
            task.cancel()
        for worker in list(self.cloud.machines.values()):
            worker.loop_task.cancel()
        self.tmp.cleanup()

    # -- controllers

    def start(self, i):
        line = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["run"]
        config = Path(self.tmp.name) / f"{self.labels[i]}.json"
        log = open(Path(self.tmp.name) / f"{self.labels[i]}.log", "ab")
        level = os.environ.get("RIG_LOG", "error")
        self.processes[i] = subprocess.Popen(
            [*line.split(), str(config)],
            cwd=ROOT,
            stderr=log,
            stdout=log,
            env=os.environ | {"LOG_LEVEL": level},
        )
        self.rec.add("controller started", node=self.labels[i])

    def kill(self, i):
        process = self.processes.pop(i)
        process.send_signal(signal.SIGCONT)
        process.kill()
        process.wait()
        self.rec.add("controller killed", node=self.labels[i])

    def stop(self, i):
        self.processes[i].send_signal(signal.SIGSTOP)
        self.rec.add("controller stands still", node=self.labels[i])

    def cont(self, i):
        self.processes[i].send_signal(signal.SIGCONT)
        self.rec.add("controller goes on", node=self.labels[i])

    def log_text(self, i):
        return (Path(self.tmp.name) / f"{self.labels[i]}.log").read_text()

    def leader(self):
        """The index of the controller that the leader key names, or None."""
        label = self.store.leader()
        return self.labels.index(label) if label in self.labels else None

    async def ready(self, timeout=30.0):
        """Wait until there is a leader, all controllers are healthy and the machine types are stored."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            health = [await call(front, "GET", "/healthz", timeout=1.0) for front in self.fronts]
            if all(s == 200 for s, _ in health) and self.leader() is not None and "catalog" in self.store.keys:
                return self.leader()
            await asyncio.sleep(0.1)
        raise CouldNotRun("the controllers did not become ready")

    # -- users

    def job(self, name, run_s, **changes):
        body = {
            "nameId": name,
            "lot": "hit-reconcile",
            "crew": "calib-crew",
            "shape": "sweep",
            "urgency": "standard",
            "parcels": 1,
            "cpus": 4.0,
            "accelerators": 0.0,
            "memGb": 14.0,
            "kit": "img-07",
            "imageGb": 0.3,
            "breeds": None,
            "yard": None,
            "together": False,
            "spread": False,
            "loaners": False,
            "haulS": float(run_s),
            "waypointS": 0.0,
            "stowS": 0.0,
            "dueS": None,
        } | changes
        self.jobs[name] = body | {"runS": run_s}
        return body

    async def ask(self, i, method, path, value=None, timeout=5.0):
        sent_at = self.rec.now()
        status, answer = await call(self.fronts[i], method, path, value, timeout)
        name = path if method == "GET" or value is None or "nameId" not in value else f"{path} {value['nameId']}"
        self.rec.add(
            "user",
            node=self.labels[i],
            sent=f"{sent_at:.3f}",
            request=f"{method} {name}",
            status=status,
            answer=json.dumps(answer),
        )
        return status, answer

    async def until(self, ask, final=(200, 201, 400, 422, 404), tries=60, pause=1.0):
        """Repeat a request as users do, until the status is final."""
        for _ in range(tries):
            status, answer = await ask()
            if status in final:
                return status, answer
            await asyncio.sleep(pause)
        raise CouldNotRun("no final answer")

    async def submit(self, i, body):
        return await self.until(lambda: self.ask(i, "POST", "/work", body))

    async def cancel(self, i, name):
        return await self.until(lambda: self.ask(i, "POST", f"/work/{name}/cancel", {}, 2.0 + 3.0))

    async def wait_for(self, condition, timeout, what):
        end = time.monotonic() + timeout
        while not condition():
            if time.monotonic() > end:
                raise CouldNotRun(what)
            await asyncio.sleep(0.05)

    def tasks_on(self, prefix):
        """The tasks whose names begin with `prefix` that run on machines now."""
        return [
            (w.name, *key)
            for w in self.cloud.machines.values()
            for key, t in w.tasks.items()
            if key[0].startswith(prefix) and t["state"] in ("running", "saving")
        ]


class CouldNotRun(Exception):
    """The case could not be played: exit status 2."""


def main(play):
    """Run `play(folder, trouble)`, which returns True if the rule held, and exit as issue 38 asks."""
    import sys
    import traceback

    folder = Path(sys.argv[0]).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)  # connections that end with the play
        return await asyncio.wait_for(play(folder, trouble), 115)

    try:
        held = asyncio.run(run())
    except (TimeoutError, CouldNotRun, OSError) as err:
        print(f"could not run: {err!r}")
        sys.exit(2)
    except Exception:
        traceback.print_exc()
        sys.exit(2)
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
