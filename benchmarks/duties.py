"""Benchmarks and long fault tests of named leases; they do not run in CI.

    python3 -m benchmarks.duties schedules FIRST LAST   check seeded schedules with random faults
    python3 -m benchmarks.duties freezes NUMBER         stop and resume real processes on loopback
    python3 -m benchmarks.duties gaps NUMBER            measure simulated time without a holder
    python3 -m benchmarks.duties requests               count state service requests, leases on/off
    python3 -m benchmarks.duties views                  time persistent maps against copied dicts
    python3 -m benchmarks.duties starts NUMBER          measure CPU time and memory of a start

Run from the root of the repository, with the libraries in `target/deps`.
"""

import json
import os
import random
import statistics
import sys
import tempfile
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT / part) for part in ("src", "target/deps", "tests")]

# These imports need the paths set above.
from pyrsistent import pmap  # noqa: E402

from eldercart.autoscaling.request_types import MachineOffering, ScaleOutRequest  # noqa: E402
from eldercart.units import WallTime  # noqa: E402
from eldercart.wire import named_leases as wire  # noqa: E402
from eldercart.wire.named_leases import LeaseName, holder_key  # noqa: E402
from eldercart.wire.state import Put, Transaction  # noqa: E402
from loopback_region import wait_until  # noqa: E402
from named_lease_cluster import Cluster, StallPoint  # noqa: E402
from named_lease_history import check_history  # noqa: E402
from named_lease_world import NamedLeaseWorld, check_final_state  # noqa: E402
from test_named_lease_service import ALL_LEASES, ServiceWorld  # noqa: E402

SCHEDULE_LENGTH_S = 60.0


def summary(seconds: list[float]) -> str:
    """Return the count, median, 99th percentile and maximum as text."""
    ordered = sorted(seconds)
    p99 = ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))]
    median = statistics.median(ordered)
    return f"n={len(ordered)} median={median:.2f} p99={p99:.2f} worst={ordered[-1]:.2f}"


def schedules(first: int, last: int) -> None:
    """Run the schedule of each seed and check its history; the first violation aborts the run."""
    refused = effects = calls = 0
    for seed in range(first, last):
        world = NamedLeaseWorld(seed, 3 + seed % 3)
        world.run(SCHEDULE_LENGTH_S)
        world.settle()
        check_history(world.history)
        check_final_state(world)
        refused += world.history.rejected
        effects += len(world.history.effects)
        calls += world.history.cloud_calls
    print(f"schedules={last - first} refused={refused} effects={effects} calls={calls} broken=0")


def freezes(number: int) -> None:
    """Stop the leader `number` times until another node holds its named leases, then resume it.

    Each time it stops at a random stall point or at a random time.
    """
    rng = random.Random(5)
    gaps: list[float] = []
    load = os.getloadavg()[0]
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder), has_faulty_clocks=True)
        try:
            cluster.wait_for_holders()
            for _ in range(number):
                effects = cluster.count_effects()
                wait_until(lambda before=effects: cluster.count_effects() > before)
                point = rng.choice([None, *StallPoint])
                if point is None:
                    gaps.append(_freeze(cluster, rng))
                else:
                    cluster.stall_at(point)
            with cluster.region.lock:
                history = cluster.region.history
                check_history(history, "node")
                print(
                    f"freezes={number} refused={history.rejected} effects={len(history.effects)} "
                    f"calls={history.cloud_calls} accepted_from_replaced=0 "
                    f"load={load:.1f}..{os.getloadavg()[0]:.1f}"
                )
            if gaps:
                print("seconds until the next holder after a stall:", summary(gaps))
        finally:
            cluster.close()


def _freeze(cluster: Cluster, rng: random.Random) -> float:
    wait_until(lambda: cluster.leader() is not None)
    node_id = cluster.leader() or ""
    cluster.freeze(node_id)
    began_at = time.monotonic()
    wait_until(lambda: cluster.leader() not in (None, node_id))
    wait_until(lambda: cluster.holder("rental") == cluster.leader() == cluster.holder("return"))
    waited_s = time.monotonic() - began_at
    time.sleep(rng.uniform(0.0, 1.0))
    cluster.thaw(node_id)
    return waited_s


def gaps(number: int) -> None:
    """Print the simulated seconds from a fault of the holder until another node holds its lease."""
    for lease_name in (LeaseName.SCALE_OUT, LeaseName.CATALOG):
        for cause in (fail_holder, stall_holder, hand_over_lease):
            gaps_s = [_measure_gap(seed, lease_name, cause) for seed in range(number)]
            print(lease_name, cause.__name__, summary(gaps_s))


def fail_holder(world: NamedLeaseWorld, holder: Any, lease_name: LeaseName) -> None:
    """Crash the holder; it does not restart during the measurement."""
    holder.restart(1000.0)


def stall_holder(world: NamedLeaseWorld, holder: Any, lease_name: LeaseName) -> None:
    """Freeze the holder's process for the whole measurement."""
    holder.frozen_until = world.now + 1000.0


def hand_over_lease(world: NamedLeaseWorld, holder: Any, lease_name: LeaseName) -> None:
    """Request a hand-over of the lease to another node."""
    receiver = next(node for node in world.nodes if node is not holder)
    value = wire.hand_over_value(wire.HandOverRecord(receiver.node_id, WallTime(world.now)))
    world.store.txn(Transaction({}, [Put(wire.hand_over_key(lease_name), value)]).body())


def _measure_gap(
    seed: int, lease_name: LeaseName, cause: Callable[[NamedLeaseWorld, Any, LeaseName], None]
) -> float:
    world = NamedLeaseWorld(seed, 3, faults=False)
    world.run(15.0 + seed % 10 / 10)
    key = holder_key(lease_name)
    node_id = world.store.keys[key][0]["node"]
    holder = next(node for node in world.nodes if node.node_id == node_id)
    began_at = world.now
    cause(world, holder, lease_name)
    while key not in world.store.keys or world.store.keys[key][0]["node"] == node_id:
        world.run(0.1)
        if world.now - began_at > 60.0:
            raise SystemExit(f"seed {seed}: nobody took {lease_name}")
    return world.now - began_at


def requests() -> None:
    """Print the state service requests and changes per second of a single leader.

    Each second one in a hundred of its machines is returned and as many are rented.
    """
    for machines in (100, 1000, 4000):
        for on in (None, ALL_LEASES):
            world = ServiceWorld(on)
            world.node.leader_service._cloud_requests._tokens.set_rate(1e6, 1e6, world.clock())
            world.become_leader()
            world.run(5.0)
            requests_before, changes_before = len(world.state_service.paths), _change_count(world)
            churn = max(1, machines // 100)
            for second in range(30):
                for n in range(churn):
                    world.add_machine_to_delete(f"n-{second:03d}-{n:04d}")
                for start in range(0, churn, 50):
                    offer = MachineOffering("small", "a", False)
                    request = ScaleOutRequest(f"r-{second}-{start}", offer, min(50, churn - start))
                    world.scheduler.cloud_requests.resume_scale_out(request)
                world.run(1.0)
            print(
                f"machines={machines} duties={'on' if on else 'off'} "
                f"requests/s={(len(world.state_service.paths) - requests_before) / 30:.2f} "
                f"changes/s={(_change_count(world) - changes_before) / 30:.2f}"
            )


def _change_count(world: ServiceWorld) -> int:
    return sum(len(writes) for writes in world.state_service.operations)


def views() -> None:
    """Print the time of a change with snapshot and of a look-up, in views of 60 to 6,000 machines.

    A `dict` is copied for the snapshot; a `pmap` is its own snapshot.
    """
    names = [f"n-{i:06d}" for i in range(6000)]
    for size in (60, 600, 6000):
        plain = dict.fromkeys(names[:size], 1)
        persistent = pmap(plain)
        for name, step in (
            ("dict, copied", lambda i, d=plain, n=size: (d.__setitem__(names[i % n], i), dict(d))),
            ("pmap", lambda i, p=persistent, n=size: p.set(names[i % n], i)),
        ):
            cost_us = _microseconds_per_step(step)
            print(f"machines={size} {name}: {cost_us:.1f} us a change and snapshot")
        lookup = [
            ("dict", lambda i, d=plain, n=size: d[names[i % n]]),
            ("pmap", lambda i, p=persistent, n=size: p[names[i % n]]),
        ]
        for name, step in lookup:
            print(f"machines={size} {name}: {_microseconds_per_step(step):.2f} us a look-up")


def _microseconds_per_step(step: Callable[[int], Any], times: int = 3000) -> float:
    began_at = time.process_time()
    for i in range(times):
        step(i)
    return (time.process_time() - began_at) / times * 1e6


def starts(number: int) -> None:
    """Print the CPU time and memory of a single node 3 s after it leads.

    Named leases are off and on by turns, `number` times each.
    """
    for features in (None, {"duties": {"on": ALL_LEASES}}) * number:
        with tempfile.TemporaryDirectory() as folder:
            cluster = Cluster(Path(folder), node_count=1, features=features)
            try:
                wait_until(lambda c=cluster: c.leader() is not None)
                time.sleep(3.0)
                pid = cluster.processes["node-0"].pid
                fields = Path(f"/proc/{pid}/stat").read_text().split()
                cpu_s = sum(int(fields[i]) for i in (13, 14)) / os.sysconf("SC_CLK_TCK")
                status = Path(f"/proc/{pid}/status").read_text().splitlines()
                rss = next(line.split()[1] for line in status if line.startswith("VmRSS"))
                usage = {"duties": "on" if features else "off", "cpu_s": cpu_s, "rss_kb": int(rss)}
                print(json.dumps(usage))
            finally:
                cluster.close()


def main(args: Iterable[str]) -> None:
    """Run the named benchmark with its numeric arguments."""
    name, *numbers = args
    commands: dict[str, Callable[..., None]] = {
        "schedules": schedules,
        "freezes": freezes,
        "gaps": gaps,
        "requests": requests,
        "views": views,
        "starts": starts,
    }
    commands[name](*(int(number) for number in numbers))


if __name__ == "__main__":
    main(sys.argv[1:])
