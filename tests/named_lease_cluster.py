"""A cluster of node processes on loopback, with named leases enabled.

The simulated state service and cloud have separate ports for each node, so they know which node
sends a request. They expire leases and record the history that `named_lease_history.check_history`
checks."""

import copy
import itertools
import json
import os
import random
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from enum import Enum
from pathlib import Path
from typing import Any

import orjson

from loopback_region import ROOT, Region, call, free_ports, wait_until
from named_lease_history import AppliedChange, CloudEffect, History, NodeEvent
from simulators import CloudSim, WorkerSim
from world import PLATFORM, submission

TUNING = {
    "hold_s": 1.0,
    "idle_return_s": 1.0,
    "demand_memory_s": 1.0,
    "pause_s": 1.0,
    "takeover_grace_s": 2.0,
}
FEATURES = {
    "duties": {"on": ["rental", "return", "cleanup", "catalog"], "lease_s": 1.5, "refresh_s": 5}
}
CAPACITY = 12  # machines in the cloud


class StallPoint(Enum):
    """Points at which a lease holder is stopped, observed by the service that it calls."""

    BEFORE_WRITE = "its write of intents is on its way"
    BEFORE_SEND = "its intents are recorded, nothing is sent"
    BEFORE_ANSWER = "its call is carried out in the cloud, not answered"


class ObservedRegion(Region):
    """A simulated state service and cloud, each with one port for each node."""

    def __init__(self, node_ids: list[str]) -> None:
        self.history = History()
        self.refused_nodes: set[str] = set()  # nodes whose requests the state service rejects
        self.is_cloud_failing = False  # the cloud answers changes with 503
        self.lease_ttl_s: dict[int, float] = {}
        # Called when a node reaches a stall point. It may stop the node; its request continues when
        # the callback returns.
        self.on_stall_point: Callable[[str, StallPoint], None] = lambda node_id, point: None
        super().__init__()
        self.cloud = CloudSim(CAPACITY, random.Random(1))
        self.ports = {node_id: self._ports(node_id) for node_id in node_ids}
        threading.Thread(target=self._expire_leases, daemon=True).start()

    def _ports(self, node_id: str) -> tuple[int, int]:
        def state(method: str, path: str, body: bytes) -> tuple[int, Any]:
            return self.observe_state(node_id, method, path, body)

        def cloud(method: str, path: str, body: bytes) -> tuple[int, Any]:
            return self.observe_cloud(node_id, method, path, body)

        servers = [self._serve(state), self._serve(cloud)]
        self.servers += servers
        return servers[0].server_address[1], servers[1].server_address[1]

    def _expire_leases(self) -> None:
        while not self.stop.is_set():
            with self.lock:
                for lease, expires_at in list(self.store.leases.items()):
                    if expires_at < time.monotonic():
                        keys = [k for k, v in self.store.keys.items() if v[2] == lease]
                        self.store.end_lease(lease)
                        self._record_change("", [{"delete": key} for key in keys])
            time.sleep(0.02)

    def _record_change(self, sender: str, writes: list[dict[str, Any]]) -> None:
        self.history.applied.append(
            AppliedChange(time.monotonic(), sender, self.store.revision, writes)
        )

    def observe_state(self, node_id: str, method: str, path: str, body: bytes) -> tuple[int, Any]:
        if node_id in self.refused_nodes:
            return 503, {}
        writes_intents = path == "/txn" and b'"put":"intent/' in body
        if writes_intents:
            self.on_stall_point(node_id, StallPoint.BEFORE_WRITE)
        with self.lock:
            if path.startswith("/holds"):
                return self._serve_lease(method, path, body)
            answer = self._observe_transaction(node_id, body) if path == "/txn" else None
        if writes_intents and answer is not None and answer[0] == 200:
            self.on_stall_point(node_id, StallPoint.BEFORE_SEND)
        return answer or self.handle_store_request(method, path, body)

    def _serve_lease(self, method: str, path: str, body: bytes) -> tuple[int, Any]:
        now = time.monotonic()
        if path == "/holds":
            self.store.next_lease += 1
            self.lease_ttl_s[self.store.next_lease] = orjson.loads(body)["lifeMs"] / 1000
            self.store.leases[self.store.next_lease] = now + self.lease_ttl_s[self.store.next_lease]
            return 200, {"tether": self.store.next_lease}
        lease = int(path.split("/")[2])
        if lease not in self.store.leases:
            return 404, {}
        if method == "DELETE":
            keys = [k for k, v in self.store.keys.items() if v[2] == lease]
            self.store.end_lease(lease)
            self._record_change("", [{"delete": key} for key in keys])
        else:
            self.store.leases[lease] = now + self.lease_ttl_s[lease]
        return 200, {}

    def _observe_transaction(self, node_id: str, body: bytes) -> tuple[int, Any]:
        status, value = self.store.txn(body)
        writes = orjson.loads(body)["writes"]
        if status == 200 and writes:
            self._record_change(node_id, writes)
        elif status == 409:
            keys = [write.get("put") or write["delete"] for write in writes]
            replaced = [k for k in value["failed"] if k == "lead" or k.startswith("duty/holder/")]
            own_keys = [k for k in keys if not k.startswith(("duty/", "lead", "job/"))]
            self.history.rejected += bool(replaced and own_keys)
        return status, value

    def observe_cloud(self, node_id: str, method: str, path: str, body: bytes) -> tuple[int, Any]:
        if self.is_cloud_failing and method == "POST":
            return 503, {"error": "trouble"}
        now = time.monotonic()  # the closest observable time to the sending
        with self.lock:
            before, answered = set(self.cloud.machines), set(self.cloud.machines_by_request)
            status, value = self.handle_cloud_request(method, path, body)
            if method == "POST":
                self.history.cloud_calls += 1
            for name in sorted(before - set(self.cloud.machines)):
                self.history.effects.append(CloudEffect(now, node_id, name, "delete"))
            for name in sorted(set(self.cloud.machines_by_request) - answered):
                self.history.effects.append(CloudEffect(now, node_id, name, "rent"))
        if method == "POST":
            self.on_stall_point(node_id, StallPoint.BEFORE_ANSWER)
        return status, value

    def open_intents(self, lease_name: str) -> list[str]:
        """Return the names of the intents in the record of the lease."""
        with self.lock:
            entry = self.store.keys.get(f"intent/{lease_name}")
        return [] if entry is None else [obj["n"] for obj in entry[0]["i"]]

    def run_workers(self, user_addresses: list[str]) -> None:
        """Run a thread for each worker. A worker sends its heartbeats to one node, and switches to
        the next node when a heartbeat fails."""
        threads: dict[str, threading.Thread] = {}
        while not self.stop.is_set():
            with self.lock:
                machines = dict(self.cloud.machines)
            for name, machine in machines.items():
                if name not in threads:
                    threads[name] = threading.Thread(
                        target=self._run_worker, args=(machine, user_addresses), daemon=True
                    )
                    threads[name].start()
            time.sleep(0.05)

    def _run_worker(self, machine: WorkerSim, user_addresses: list[str]) -> None:
        addresses = itertools.cycle(user_addresses)
        user_address = next(addresses)
        last = time.monotonic()
        while not self.stop.is_set() and not machine.deleted:
            now = time.monotonic()
            with self.lock:
                machine.step(now, now - last, 60.0)
                report = orjson.dumps(machine.report())
            last = now
            status, body = call(user_address, "POST", "/v1/report", report, 1.0)
            if status == 200:
                with self.lock:
                    machine.execute_commands(body, now, machine.agent_epoch, self.jobs)
            else:
                user_address = next(addresses)
            time.sleep(0.2)


class Cluster:
    """The node processes and their region. It sends signals only to processes that it started."""

    def __init__(
        self,
        folder: Path,
        node_count: int = 3,
        features: Any = FEATURES,
        has_faulty_clocks: bool = False,
    ) -> None:
        self.node_ids = [f"node-{i}" for i in range(node_count)]
        self.region = ObservedRegion(self.node_ids)
        self.folder = folder
        self.has_faulty_clocks = has_faulty_clocks
        ports = free_ports(2 * node_count)
        self.user_addresses = {
            node_id: f"127.0.0.1:{ports[2 * i]}" for i, node_id in enumerate(self.node_ids)
        }
        self.peer_addresses = {
            node_id: f"127.0.0.1:{ports[2 * i + 1]}" for i, node_id in enumerate(self.node_ids)
        }
        self.features: dict[str, Any] = dict.fromkeys(self.node_ids, features)
        # The root of the source tree that each node runs.
        self.source_roots: dict[str, Path] = dict.fromkeys(self.node_ids, ROOT)
        (folder / "operator.json").write_text(json.dumps(TUNING))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.log_offsets: dict[str, int] = {}  # where the log of the current process begins
        self.submitted_jobs = 0
        for node_id in self.node_ids:
            self.start(node_id)
        threading.Thread(
            target=self.region.run_workers, args=(list(self.user_addresses.values()),), daemon=True
        ).start()
        threading.Thread(target=self._submit_jobs, daemon=True).start()

    def start(self, node_id: str) -> None:
        settings = copy.deepcopy(PLATFORM)
        state, cloud = self.region.ports[node_id]
        settings |= {
            "label": node_id,
            "front": self.user_addresses[node_id],
            "mesh_addr": self.peer_addresses[node_id],
            "endpoints": {"state": f"127.0.0.1:{state}", "cloud": f"127.0.0.1:{cloud}"},
            "members": [
                {"label": other, "location": "a", "endpoint": self.peer_addresses[other]}
                for other in self.node_ids
                if other != node_id
            ],
        }
        settings["settings"]["count"] = len(self.node_ids)
        settings["settings"]["state"] |= {"rps": 1000, "write_rps": 500}
        settings["settings"]["cloud"]["rps"] = 50
        config = self.folder / f"{node_id}.json"
        config.write_text(json.dumps(settings))
        root = self.source_roots[node_id]
        command = [sys.executable, str(root / "run.py")]
        if self.has_faulty_clocks and root == ROOT:
            offset = 3600.0 * (self.node_ids.index(node_id) - 1)
            command = [sys.executable, str(ROOT / "tests" / "faulty_clock_node.py"), str(offset)]
        command += [
            "serve",
            "--config",
            str(config),
            "--settings",
            str(self.folder / "operator.json"),
        ]
        if self.features[node_id] is not None:
            features = self.folder / f"{node_id}-features.json"
            features.write_text(json.dumps(self.features[node_id]))
            command += ["--features", str(features)]
        log = self._log_file(node_id).open("ab")
        self.log_offsets[node_id] = log.tell()
        with self.region.lock:
            self.region.history.starts.append(NodeEvent(time.monotonic(), node_id))
        self.processes[node_id] = subprocess.Popen(command, stderr=log)

    def _submit_jobs(self) -> None:
        """Submit unpredictable bursts of small jobs, so that machines are created and deleted."""
        addresses = itertools.cycle(self.user_addresses.values())
        rng = random.Random(7)
        for burst in itertools.count():
            if self.region.stop.is_set():
                return
            for _ in range(rng.choice([1, 2, 5])):
                self.submitted_jobs += 1
                job = f"wk-{self.submitted_jobs:06d}"
                body = submission(job, lot=f"class-{burst}", parcels=8, haulS=1.0, imageGb=0.1)
                with self.region.lock:
                    self.region.jobs[job] = body | {"runS": 0.3}
                call(next(addresses), "POST", "/work", orjson.dumps(body), 2.0)
            time.sleep(rng.uniform(1.0, 4.0))

    def holder(self, lease_name: str) -> str | None:
        """Return the node that holds the lease according to the state service."""
        with self.region.lock:
            entry = self.region.store.keys.get(f"duty/holder/{lease_name}")
        return None if entry is None else entry[0]["node"]

    def leader(self) -> str | None:
        with self.region.lock:
            entry = self.region.store.keys.get("lead")
        return None if entry is None else entry[0]["node"]

    def wait_for_holders(self) -> None:
        """Wait until the leases are held and each node knows that all nodes take part."""
        wait_until(
            lambda: all(self.holder(lease_name) for lease_name in ("rental", "return", "catalog"))
        )
        for node_id in self.node_ids:
            wait_until(lambda node_id=node_id: self._has_been_candidate(node_id))
            with self.region.lock:
                event = NodeEvent(time.monotonic(), node_id)
                self.region.history.support_confirmations.append(event)

    def _has_been_candidate(self, node_id: str) -> bool:
        """Return whether the log of the node's current process shows that it was a candidate for a
        lease. It becomes one only after all nodes have announced that they take part."""
        written = self._log_file(node_id).read_bytes()
        return b"state=candidate" in written[self.log_offsets[node_id] :]

    def _log_file(self, node_id: str) -> Path:
        return self.folder / f"{node_id}.log"

    def freeze(self, node_id: str) -> None:
        os.kill(self.processes[node_id].pid, signal.SIGSTOP)

    def thaw(self, node_id: str) -> None:
        os.kill(self.processes[node_id].pid, signal.SIGCONT)

    def stall_at(self, point: StallPoint) -> str:
        """Stop the leader when it reaches the point, and return its name. It continues once another
        node leads and holds the named leases `rental` and `return`."""
        stopped: list[str] = []
        is_over = threading.Event()

        def stop_at_point(node_id: str, reached: StallPoint) -> None:
            if reached is not point or stopped or node_id != self.leader():
                return
            stopped.append(node_id)
            self.freeze(node_id)
            try:
                wait_until(lambda: self.leader() not in (None, node_id))
                wait_until(lambda: self.holder("rental") == self.leader() == self.holder("return"))
            finally:
                is_over.set()

        self.region.on_stall_point = stop_at_point
        wait_until(is_over.is_set)
        self.region.on_stall_point = lambda node_id, point: None
        self.thaw(stopped[0])
        return stopped[0]

    def kill(self, node_id: str) -> None:
        self.processes[node_id].kill()
        self.processes[node_id].wait()

    def replace(self, node_id: str, features: Any, root: Path = ROOT) -> None:
        """Kill the node and restart it with other features or from another source tree."""
        self.kill(node_id)
        self.features[node_id], self.source_roots[node_id] = features, root
        self.start(node_id)
        wait_until(lambda: call(self.user_addresses[node_id], "GET", "/healthz")[0] == 200)

    def count_effects(self) -> int:
        with self.region.lock:
            return len(self.region.history.effects)

    def close(self) -> None:
        self.region.stop.set()
        for process in self.processes.values():
            process.kill()
            process.wait()
        for server in self.region.servers:
            server.shutdown()
            server.server_close()
