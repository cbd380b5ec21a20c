"""A small region on loopback: state service, cloud, workers and users, beside real controller nodes.

Each node has ports of its own at the state service and at the cloud, so that a test can hold, delay
or refuse the requests of one node. All stand-ins keep to the protocol page; times are real.
"""

import asyncio
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Exit statuses of a case; `run.sh` turns BROKEN into 1, which Python uses for its own failures.
HELD, BROKEN, NOT_RUN = 0, 41, 2

Answer = tuple[int, Any]
Handler = Callable[[str, str, bytes], Awaitable[Answer | None]]


class NotRunError(Exception):
    """The case could not run, for a reason that is not the rule under test."""


# -- HTTP


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Return the first line, the headers and the body; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length") or 0))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head[0], headers, body


async def serve(handler: Handler) -> tuple[asyncio.Server, int]:
    """Serve HTTP on a free port. A handler that returns None gives no answer at all."""

    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                method, path, _ = message[0].split(" ", 2)
                answer = await handler(method, path, message[2])
                if answer is None:
                    continue
                status, value = answer
                data = json.dumps(value, separators=(",", ":")).encode()
                head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(on_connection, HOST, 0, limit=1 << 22, backlog=256)
    return server, server.sockets[0].getsockname()[1]


async def call(address: str, method: str, path: str, value: Any = None, timeout_s: float = 5.0) -> tuple[int, Any]:
    """Return the status and the decoded body; status 0 if no whole response came in time."""
    try:
        async with asyncio.timeout(timeout_s):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 22)
            try:
                body = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
                head = f"{method} {path} HTTP/1.1\r\nhost: x\r\ncontent-length: {len(body)}\r\n\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
                message = await read_message(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return 0, None
    if message is None:
        return 0, None
    try:
        return int(message[0].split(" ")[1]), json.loads(message[2] or b"null")
    except ValueError:
        return int(message[0].split(" ")[1]), None


_used_ports: set[int] = set()


def free_port() -> int:
    """Return a port that is free now, below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(15000, 32000)
        if port in _used_ports:
            continue
        _used_ports.add(port)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            return port


# -- the record of a run


class Record:
    """Writes what was sent, answered and run to `record.txt` beside the test."""

    def __init__(self, folder: Path) -> None:
        """Begin a new record in the folder."""
        self.started_at = time.monotonic()
        self._file = (folder / "record.txt").open("w")
        self.write("run", f"trouble={int(TROUBLE)}")

    def write(self, source: str, text: str) -> None:
        """Add a line with the time since the start of the run."""
        line = f"{time.monotonic() - self.started_at:8.3f} {source:<10} {text}"
        print(line, file=self._file, flush=True)


# -- the state service


@dataclass
class StoredKey:
    """A key's value, the revision of its last change, and its lease."""

    value: Any
    stamp: int
    tether: int | None


class StateService:
    """The state service: versions, leases, transactions, watches and rate limits."""

    def __init__(self, limits: dict[str, Any]) -> None:
        """Apply the limits of `settings.state`."""
        self.limits = limits
        self.keys: dict[str, StoredKey] = {}
        self.revision = 0
        self.log: list[tuple[int, dict[str, Any]]] = []
        self.leases: dict[int, tuple[float, float]] = {}  # end and time to live
        self.is_down = False
        self.changed = asyncio.Event()
        self._next_lease = 0
        self._tokens = {"rps": limits["rps"], "write_rps": limits["write_rps"]}
        self._filled_at = time.monotonic()

    def _take(self, name: str, count: float) -> bool:
        now = time.monotonic()
        elapsed, self._filled_at = now - self._filled_at, now
        for limit in self._tokens:
            full = float(self.limits[limit])
            self._tokens[limit] = min(full, self._tokens[limit] + elapsed * full)
        if self._tokens[name] < count:
            return False
        self._tokens[name] -= count
        return True

    def end_lease(self, lease: int) -> bool:
        """End a lease and remove its keys."""
        if self.leases.pop(lease, None) is None:
            return False
        gone = [key for key, stored in self.keys.items() if stored.tether == lease]
        if gone:
            self._change([{"delete": key} for key in gone])
        return True

    def set_down(self, down: bool) -> None:
        """Begin or end an outage; it gives all leases their full time again."""
        self.is_down = down
        now = time.monotonic()
        self.leases = {lease: (now + ttl, ttl) for lease, (_, ttl) in self.leases.items()}

    async def expire(self) -> None:
        """End the leases that nobody renews."""
        while True:
            await asyncio.sleep(0.02)
            if not self.is_down:
                now = time.monotonic()
                for lease in [lease for lease, (end, _) in self.leases.items() if end < now]:
                    self.end_lease(lease)

    def _change(self, writes: list[dict[str, Any]]) -> None:
        self.revision += 1
        for write in writes:
            if "put" in write:
                tether = write.get("tether")
                self.keys[write["put"]] = StoredKey(write["v"], self.revision, tether)
                event = {"put": write["put"], "v": write["v"], "stamp": self.revision}
            else:
                self.keys.pop(write["delete"], None)
                event = {"delete": write["delete"], "stamp": self.revision}
            self.log.append((self.revision, event))
        del self.log[:-10_000]
        self.changed.set()
        self.changed = asyncio.Event()

    def transact(self, body: bytes) -> Answer:
        """Apply a transaction."""
        message = json.loads(body)
        writes, guards = message.get("writes") or [], message.get("guards") or []
        limit = self.limits["txn_ops"]
        if len(body) > 65536 or len(writes) > limit or len(guards) > 4 * limit:
            return 400, {"error": "too large"}
        for write in writes:
            if len(json.dumps(write.get("v"), separators=(",", ":"))) > 1024 * self.limits["value_kb"]:
                return 400, {"error": "value too large"}
            if write.get("tether") is not None and write["tether"] not in self.leases:
                return 400, {"error": "no such lease"}
        if writes and not self._take("write_rps", len(writes)):
            return 429, {"error": "too many changes"}
        failed = [
            guard["path"]
            for guard in guards
            if (self.keys[guard["path"]].stamp if guard["path"] in self.keys else 0) != guard["stamp"]
        ]
        if failed:
            return 409, {"failed": failed, "ledgerRev": self.revision}
        if writes:
            self._change(writes)
        return 200, {"ledgerRev": self.revision}

    async def handle(self, method: str, path: str, body: bytes) -> Answer:
        """Answer one request."""
        url = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if self.is_down:
            return 503, {"error": "trouble"}
        if not self._take("rps", 1):
            return 429, {"error": "too many requests"}
        if url.path == "/txn":
            return self.transact(body)
        if url.path == "/follow":
            return await self._follow(query)
        if url.path == "/keys":
            return self._range(query)
        if url.path.startswith("/keys/"):
            key = unquote(url.path[6:])
            stored = self.keys.get(key)
            if stored is None:
                return 404, {"ledgerRev": self.revision}
            return 200, self._item(key, stored)
        return self._lease(method, url.path, body)

    def _item(self, key: str, stored: StoredKey) -> dict[str, Any]:
        item = {"path": key, "v": stored.value, "stamp": stored.stamp}
        return item if stored.tether is None else item | {"tether": stored.tether}

    def _range(self, query: dict[str, str]) -> Answer:
        prefix, after = query.get("prefix", ""), query.get("from", "")
        most = min(1000, int(query.get("most", 1000)))
        keys = sorted(key for key in self.keys if key.startswith(prefix) and key > after)
        pairs = [self._item(key, self.keys[key]) for key in keys[:most]]
        return 200, {"pairs": pairs, "more": len(keys) > most, "ledgerRev": self.revision}

    async def _follow(self, query: dict[str, str]) -> Answer:
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        after = int(query["from"])
        if self.log and after < self.log[0][0] - 1:
            return 410, {"ledgerRev": self.revision}
        while True:
            log = [
                event
                for revision, event in self.log
                if revision > after and (event.get("put") or event["delete"]).startswith(query["prefix"])
            ]
            if (log and not self.is_down) or time.monotonic() >= end:
                return 200, {"ledgerRev": self.revision, "log": log}
            changed = self.changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), min(0.5, max(0.01, end - time.monotonic())))

    def _lease(self, method: str, path: str, body: bytes) -> Answer:
        now = time.monotonic()
        if path == "/holds":
            self._next_lease += 1
            ttl = json.loads(body)["lifeMs"] / 1000
            self.leases[self._next_lease] = (now + ttl, ttl)
            return 200, {"tether": self._next_lease}
        lease = int(path.split("/")[2])
        if method == "DELETE":
            return (200, {}) if self.end_lease(lease) else (404, {})
        if lease not in self.leases:
            return 404, {}
        ttl = self.leases[lease][1]
        self.leases[lease] = (now + ttl, ttl)
        return 200, {}


# -- workers


@dataclass
class Task:
    """One attempt of a task on a machine."""

    key: str
    attempt: int
    state: str
    cause: str | None = None
    runner: asyncio.Task[None] | None = None

    def report(self) -> dict[str, Any]:
        """Return the task as a report lists it."""
        item = {"parcel": self.key, "try": self.attempt, "standing": self.state}
        return item if self.cause is None else item | {"cause": self.cause}


@dataclass
class Machine:
    """A machine and its worker."""

    name: str
    breed: str
    zone: str
    spot: bool
    rented_at: float
    up_at: float
    address: str = ""
    stint: int = 1
    tally: int = 0
    whip: int = 0
    answered_at: float = 0.0  # sending time of the last answered report, or begin of the session
    node: int = 0
    is_gone: bool = False
    is_hanging: bool = False
    notice_at: float | None = None
    tasks: dict[tuple[str, int], Task] = field(default_factory=dict)
    wakeup: asyncio.Event = field(default_factory=asyncio.Event)
    jobs: list[asyncio.Task[None]] = field(default_factory=list)
    images: set[str] = field(default_factory=set)


class Region:
    """The state service, the cloud, the workers and the nodes of one run."""

    def __init__(self, site: dict[str, Any], record: Record) -> None:
        """Prepare the region of a site; see `sites`."""
        self.site = site
        self.record = record
        self.store = StateService(site["settings"]["state"])
        self.machines: dict[str, Machine] = {}
        self._machine_count = 0
        self.hires: dict[str, list[str]] = {}
        self.refused: set[str] = set()  # request names that were refused for lack of capacity
        self.jobs: dict[str, dict[str, Any]] = {}  # submissions by id
        self.run_s: Callable[[str, int], float] = lambda _job, _index: 10.0
        self.refused_reports = 0  # reports answered 400
        self.completed: set[str] = set()  # tasks that have completed
        self.starts: list[tuple[float, str, int, str]] = []  # time, task, attempt, machine
        self.stops: list[tuple[float, str, int, str]] = []  # tasks stopped by command
        self.cloud_is_down = False
        self.faulty: set[str] = set()  # machines that fail every task that they start
        self.boot_s: float | None = None  # boot time of rented machines, if not the nominal one
        self.capacity: Callable[[str, str, bool], int] = lambda _breed, _zone, _spot: 4
        self.nodes: list[Node] = []
        self._servers: list[asyncio.Server] = []
        self._background: list[asyncio.Task[None]] = []
        # Called with the node's number and each request; may await, or answer itself.
        self.on_store: Callable[..., Awaitable[Answer | bool | None]] | None = None
        self.on_cloud: Callable[..., Awaitable[Answer | bool | None]] | None = None
        # Returns the address at which a node reaches another one, which may be that of a proxy.
        self.mesh_endpoint: Callable[[int, int, str], str] = lambda _sender, _other, address: address
        self.folder = tempfile.TemporaryDirectory()

    async def start(self, count: int) -> None:
        """Start the services and the nodes."""
        self._background.append(asyncio.create_task(self.store.expire()))
        fronts = [f"{HOST}:{free_port()}" for _ in range(count)]
        meshes = [f"{HOST}:{free_port()}" for _ in range(count)]
        for number in range(count):
            state = await self._listen(self._store_handler(number))
            cloud = await self._listen(self._cloud_handler(number))
            self.nodes.append(Node(self, number, fronts, meshes, state, cloud))
        for node in self.nodes:
            node.start()

    async def _listen(self, handler: Handler) -> str:
        server, port = await serve(handler)
        self._servers.append(server)
        return f"{HOST}:{port}"

    def _store_handler(self, number: int) -> Handler:
        async def handle(method: str, path: str, body: bytes) -> Answer | None:
            if self.on_store is not None:
                answer = await self.on_store(number, method, path, body)
                if answer is not False:
                    return answer
            return await self.store.handle(method, path, body)

        return handle

    def _cloud_handler(self, number: int) -> Handler:
        async def handle(method: str, path: str, body: bytes) -> Answer | None:
            if self.on_cloud is not None:
                answer = await self.on_cloud(number, method, path, body)
                if answer is not False:
                    return answer
            return self.cloud(method, path, body, f"drover-{number}")

        return handle

    async def close(self) -> None:
        """End all processes that this region started, and its tasks."""
        for node in self.nodes:
            node.kill()
        for machine in list(self.machines.values()):
            self._remove(machine)
        for task in self._background:
            task.cancel()
        for server in self._servers:
            server.close()
        self.folder.cleanup()

    # -- the cloud

    def cloud(self, method: str, path: str, body: bytes, caller: str = "") -> Answer:
        """Answer one request to the cloud."""
        url = urlsplit(path)
        if self.cloud_is_down:
            return 503, {"error": "trouble"}
        if url.path == "/catalog":
            return 200, {"breeds": self.site["breeds"]}
        message = json.loads(body) if body else {}
        if url.path == "/machines/delete":
            for name in message["wagons"]:
                if name in self.machines:
                    self.record.write("cloud", f"deletes {name} for {caller}")
                    self._remove(self.machines.pop(name))
            return 200, {}
        if method == "POST":
            return self._rent(message, caller)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        now = time.monotonic()
        lag = self.site["settings"]["cloud"]["list_lag_s"]
        most = min(500, int(query.get("most", 500)))
        names = sorted(
            name
            for name, machine in self.machines.items()
            if name > query.get("from", "") and machine.rented_at < now - lag
        )
        return 200, {
            "wagons": [self._listed(self.machines[name], now) for name in names[:most]],
            "more": len(names) > most,
        }

    def _listed(self, machine: Machine, now: float) -> dict[str, Any]:
        return {
            "nameId": machine.name,
            "address": machine.address,
            "breed": machine.breed,
            "yard": machine.zone,
            "loaners": machine.spot,
            "standing": "running" if machine.up_at < now else "starting",
            "ageS": now - machine.rented_at,
        }

    def _rent(self, message: dict[str, Any], caller: str) -> Answer:
        hire = message["hire"]
        if hire in self.hires:
            self.record.write("cloud", f"repeats hire={hire} for {caller}")
            return 200, {"wagons": self.hires[hire]}
        breed, zone, spot = message["breed"], message["yard"], message["loaners"]
        used = sum(1 for m in self.machines.values() if (m.breed, m.zone, m.spot) == (breed, zone, spot))
        number = min(message["number"], self.capacity(breed, zone, spot) - used)
        if number <= 0:
            self.refused.add(hire)
            self.record.write("cloud", f"no capacity for hire={hire} {breed} {zone} for {caller}")
            return 503, {"error": "no capacity"}
        boot_s = self.boot_s
        if boot_s is None:
            boot_s = next(item["readyS"] for item in self.site["breeds"] if item["sku"] == breed)
        names = [self.add_machine(breed, zone, spot, boot_s).name for _ in range(number)]
        self.hires[hire] = names
        self.record.write("cloud", f"rents {names} hire={hire} {breed} {zone} for {caller}")
        return 200, {"wagons": names}

    def add_machine(self, breed: str, zone: str, spot: bool, boot_s: float) -> Machine:
        """Add a machine whose worker starts after the boot time."""
        now = time.monotonic()
        self._machine_count += 1
        name = f"n-{self._machine_count:06d}"
        machine = Machine(name, breed, zone, spot, now, now + boot_s)
        self.machines[name] = machine
        machine.jobs.append(asyncio.create_task(self._run_worker(machine, boot_s)))
        return machine

    def _remove(self, machine: Machine) -> None:
        machine.is_gone = True
        for task in machine.tasks.values():
            if task.runner is not None:
                task.runner.cancel()
        for job in machine.jobs:
            job.cancel()

    # -- workers

    async def _run_worker(self, machine: Machine, boot_s: float) -> None:
        async def handle(method: str, path: str, body: bytes) -> Answer | None:
            return await self._direct(machine, path, body)

        server, port = await serve(handle)
        try:
            machine.address = f"{HOST}:{port}"
            await asyncio.sleep(boot_s)
            machine.answered_at = time.monotonic()
            machine.node = int(machine.name[2:]) % len(self.nodes)
            machine.jobs.append(asyncio.create_task(self._watch_lease(machine)))
            while not machine.is_gone:
                await self._report_once(machine)
        finally:
            server.close()

    async def _watch_lease(self, machine: Machine) -> None:
        lease_s = self.site["settings"]["workers"]["lease_s"]
        while True:
            await asyncio.sleep(0.1)
            if not machine.is_hanging and time.monotonic() - machine.answered_at > lease_s:
                self.record.write("worker", f"{machine.name} lease expired, {len(machine.tasks)} tasks end")
                for task in machine.tasks.values():
                    if task.runner is not None:
                        task.runner.cancel()
                machine.tasks.clear()
                machine.stint += 1
                machine.answered_at = time.monotonic()
                machine.wakeup.set()

    async def _report_once(self, machine: Machine) -> None:
        while machine.is_hanging:
            await asyncio.sleep(0.05)
        workers = self.site["settings"]["workers"]
        sent_at, stint = time.monotonic(), machine.stint
        node = self.nodes[machine.node]
        status, answer = await call(node.front, "POST", "/v1/report", self.report(machine), 4.0)
        late = time.monotonic() - sent_at > 4.0
        while machine.is_hanging:
            await asyncio.sleep(0.05)
            late = late or time.monotonic() - sent_at > 4.0
        if status == 200 and isinstance(answer, dict) and not late:
            if stint == machine.stint and answer.get("whip", -1) >= machine.whip:
                machine.answered_at = sent_at
                self._see_token(machine, answer["whip"])
                self.execute(machine, answer.get("calls") or [])
        elif status == 421 and isinstance(answer, dict):
            other = answer.get("droverBoss")
            labels = [node.label for node in self.nodes]
            if other in labels and labels.index(other) != machine.node:
                machine.node = labels.index(other)
                await asyncio.sleep(0.1)
                return
            await self._try_next(machine)
            return
        else:
            self.refused_reports += status == 400
            if status not in (0, 503, 421):
                self.record.write("worker", f"{machine.name} report answered {status} by {node.label}")
            await self._try_next(machine)
            return
        machine.wakeup.clear()
        await asyncio.sleep(min(0.5, workers["report_s"]))
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(machine.wakeup.wait(), max(0.01, workers["report_s"] - 0.5))

    async def _try_next(self, machine: Machine) -> None:
        machine.node = (machine.node + 1) % len(self.nodes)
        await asyncio.sleep(1.0)

    def report(self, machine: Machine) -> dict[str, Any]:
        """Return the worker's next report."""
        machine.tally += 1
        notice = None
        if machine.notice_at is not None:
            notice = max(0.0, machine.notice_at - time.monotonic())
        return {
            "wagon": machine.name,
            "address": machine.address,
            "breed": machine.breed,
            "yard": machine.zone,
            "loaners": machine.spot,
            "stint": machine.stint,
            "tally": machine.tally,
            "whip": machine.whip,
            "recallS": notice,
            "parcels": [task.report() for task in machine.tasks.values()],
        }

    async def _direct(self, machine: Machine, path: str, body: bytes) -> Answer | None:
        while machine.is_hanging:
            await asyncio.sleep(0.05)
        if path == "/show":
            return 200, self.report(machine)
        message = json.loads(body)
        if message.get("whip") is None or message.get("stint") is None:
            return 400, {}
        if message["whip"] < machine.whip or message["stint"] != machine.stint:
            return 409, self.report(machine)
        self._see_token(machine, message["whip"])
        self.execute(machine, message.get("calls") or [])
        return 200, self.report(machine)

    def _see_token(self, machine: Machine, token: int) -> None:
        if token > machine.whip:
            machine.whip = token
            machine.wakeup.set()

    def execute(self, machine: Machine, calls: list[dict[str, Any]]) -> None:
        """Execute commands in order."""
        for command in calls:
            key = (command["parcel"], command["try"])
            task = machine.tasks.get(key)
            if command["call"] == "launch":
                if task is None:
                    self._launch(machine, *key)
            elif command["call"] == "kill":
                if task is not None and task.state != "ended":
                    self.stops.append((time.monotonic(), *key, machine.name))
                    self.record.write("worker", f"{machine.name} stops {key[0]} try={key[1]} on command")
                    if task.runner is not None:
                        task.runner.cancel()
                    self._end(machine, task, "stopped")
            elif task is not None and task.state == "ended":
                del machine.tasks[key]

    def _launch(self, machine: Machine, name: str, attempt: int) -> None:
        task = Task(name, attempt, "pulling")
        job = self.jobs.get(name.partition("/")[0])
        machine.tasks[name, attempt] = task
        others = [other for other in machine.tasks.values() if other.state != "ended"]
        if job is None:
            self._end(machine, task, "no_such")
        elif any(other.key == name and other is not task for other in others):
            self._end(machine, task, "busy")
        elif not self._fits(machine, others):
            self._end(machine, task, "full")
        else:
            task.runner = asyncio.create_task(self._run_task(machine, task, job))
        machine.wakeup.set()

    def _fits(self, machine: Machine, tasks: list[Task]) -> bool:
        breed = next(item for item in self.site["breeds"] if item["sku"] == machine.breed)
        specs = [self.jobs[task.key.partition("/")[0]] for task in tasks]
        return (
            sum(spec["cpus"] for spec in specs) <= breed["cpus"] + 1e-6
            and sum(spec["memGb"] for spec in specs) <= breed["memGb"] + 1e-6
        )

    async def _run_task(self, machine: Machine, task: Task, job: dict[str, Any]) -> None:
        if job["kit"] not in machine.images:
            await asyncio.sleep(0.2)
            machine.images.add(job["kit"])
        while machine.is_hanging:
            await asyncio.sleep(0.05)
        task.state = "running"
        self.starts.append((time.monotonic(), task.key, task.attempt, machine.name))
        if job["parcels"] <= 40:
            self.record.write("worker", f"{machine.name} starts {task.key} try={task.attempt}")
        machine.wakeup.set()
        if machine.name in self.faulty:
            await asyncio.sleep(0.5)
            self.record.write("worker", f"{machine.name} fails {task.key} try={task.attempt}")
            self._end(machine, task, "error")
            return
        if task.key not in self.completed:
            left = self.run_s(task.key.partition("/")[0], int(task.key.partition("/")[2]))
            while left > 0:
                step = min(0.25, left)
                await asyncio.sleep(step)
                if not machine.is_hanging:
                    left -= step
        self.completed.add(task.key)
        if job["parcels"] <= 40:
            self.record.write("worker", f"{machine.name} completes {task.key} try={task.attempt}")
        self._end(machine, task, "done")

    def _end(self, machine: Machine, task: Task, cause: str) -> None:
        task.state, task.cause, task.runner = "ended", cause, None
        machine.wakeup.set()

    def running(self, job: str) -> list[tuple[str, int, str]]:
        """Return the tasks of a job that are on machines now: task, attempt, machine."""
        return [
            (task.key, task.attempt, machine.name)
            for machine in self.machines.values()
            for task in machine.tasks.values()
            if task.key.partition("/")[0] == job and task.state in ("running", "saving")
        ]

    # -- users

    async def submit(self, body: dict[str, Any], nodes: "list[Node] | None" = None) -> int:
        """Submit a job as a user does, for up to 60 s; return the last status."""
        self.jobs[body["nameId"]] = body
        status, _ = await self.request("POST", "/work", body, nodes)
        return status

    async def request(
        self, method: str, path: str, body: Any = None, nodes: "list[Node] | None" = None
    ) -> tuple[int, Any]:
        """Send a user's request to one node after the other until the answer is final."""
        status, answer = 0, None
        end = time.monotonic() + 60
        attempt = 0
        while time.monotonic() < end:
            choice = nodes or self.nodes
            node = choice[attempt % len(choice)]
            attempt += 1
            status, answer = await call(node.front, method, path, body, 5.0)
            self.record.write("user", f"{method} {path} at {node.label} -> {status} {json.dumps(answer)[:150]}")
            if status in (200, 201, 400, 404, 409, 422):
                break
            await asyncio.sleep(1.0)
        return status, answer

    async def wait(self, condition: Callable[[], bool], limit_s: float) -> bool:
        """Wait until the condition holds; return whether it does."""
        end = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > end:
                return False
            await asyncio.sleep(0.1)
        return True

    async def ready(self) -> int:
        """Wait until all nodes are healthy and one leads; return the leader's number."""
        for _ in range(300):
            pages = [await call(node.front, "GET", "/status", None, 1.0) for node in self.nodes]
            health = [await call(node.front, "GET", "/healthz", None, 1.0) for node in self.nodes]
            leaders = [
                number
                for number, (status, page) in enumerate(pages)
                if status == 200 and page["role"] == "leader" and "machines" in page
            ]
            known = {page.get("leader") for status, page in pages if status == 200}
            if len(leaders) == 1 and len(known) == 1 and all(h[0] == 200 for h in health):
                self.record.write("run", f"leader is {self.nodes[leaders[0]].label}")
                return leaders[0]
            await asyncio.sleep(0.2)
        raise NotRunError("no leader")


class Node:
    """One controller node, started with the command of the deploy file."""

    def __init__(
        self, region: Region, number: int, fronts: list[str], meshes: list[str], state: str, cloud: str
    ) -> None:
        """Write the node's settings file."""
        self.region = region
        self.label = f"drover-{number}"
        self.front = fronts[number]
        self.process: subprocess.Popen[bytes]
        zones = region.site["settings"]["zones"]
        settings = {
            "label": self.label,
            "location": zones[number % len(zones)],
            "front": fronts[number],
            "mesh_addr": meshes[number],
            "members": [
                {
                    "label": f"drover-{other}",
                    "location": zones[other % len(zones)],
                    "endpoint": region.mesh_endpoint(number, other, meshes[other]),
                }
                for other in range(len(meshes))
                if other != number
            ],
            "endpoints": {"cloud": cloud, "state": state},
            "settings": region.site["settings"],
        }
        self.config = Path(region.folder.name) / f"{self.label}.json"
        self.config.write_text(json.dumps(settings))
        self.log = Path(region.folder.name) / f"{self.label}.log"

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
        command = [*shlex.split(deploy["run"]), str(self.config)]
        environment = os.environ | {"LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stderr=log, env=environment)
        self.region.record.write("run", f"{self.label} started")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)
        self.region.record.write("run", f"{self.label} gets {number.name}")

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


# -- runs


def run(folder: Path, case: Callable[[Region, Record], Awaitable[int]], site: dict[str, Any], nodes: int = 3) -> None:
    """Run a case and exit with its result. With 0 nodes, the case starts them itself."""

    async def main() -> int:
        task = asyncio.current_task()
        if task is not None:
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        record = Record(folder)
        region = Region(site, record)
        result = NOT_RUN
        try:
            async with asyncio.timeout(118):
                if nodes:
                    await region.start(nodes)
                result = await case(region, record)
        except NotRunError as error:
            record.write("run", f"could not run: {error}")
        except TimeoutError:
            record.write("run", "could not run: out of time")
        except asyncio.CancelledError:
            record.write("run", "could not run: ended from outside")
        except Exception as error:  # a fault of the test is not one of the service
            record.write("run", f"could not run: {error!r}")
        finally:
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for node in region.nodes:
                    (Path(keep) / f"{node.label}.log").write_bytes(node.log.read_bytes())
            await region.close()
        verdict = {HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "not run"}[result]
        record.write("run", verdict)
        print(verdict)
        return result

    sys.exit(asyncio.run(main()))
