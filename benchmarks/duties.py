"""What named leases cost, and how they hold under long troubles; outside CI.

    python3 -m benchmarks.duties schedules FIRST LAST   seeded schedules, judged by the checker
    python3 -m benchmarks.duties freezes NUMBER         real processes on loopback, stopped
    python3 -m benchmarks.duties gaps NUMBER            simulated time without a holder
    python3 -m benchmarks.duties requests               at the state service, feature on and off
    python3 -m benchmarks.duties views                  persistent maps against copied ones
    python3 -m benchmarks.duties starts NUMBER          processor time and memory of a start

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

# The paths above must be set before these are found.
from pyrsistent import pmap  # noqa: E402

from duty_cluster import Cluster, StallPoint  # noqa: E402
from duty_history import check_history  # noqa: E402
from duty_world import World, check_end  # noqa: E402
from eldercart.autoscaling.request_types import MachineOffering, ScaleOutRequest  # noqa: E402
from eldercart.units import WallTime  # noqa: E402
from eldercart.wire import named_leases as wire  # noqa: E402
from eldercart.wire.named_leases import LeaseName, holder_key  # noqa: E402
from eldercart.wire.state import Put, Transaction  # noqa: E402
from region import until  # noqa: E402
from test_duty_service import ALL_LEASES, ServiceWorld  # noqa: E402

SCHEDULE_LENGTH_S = 60.0


def summary(seconds: list[float]) -> str:
    """Median, 99th percentile and worst."""
    ordered = sorted(seconds)
    p99 = ordered[min(len(ordered) - 1, int(0.99 * len(ordered)))]
    median = statistics.median(ordered)
    return f"n={len(ordered)} median={median:.2f} p99={p99:.2f} worst={ordered[-1]:.2f}"


def schedules(first: int, last: int) -> None:
    """Plays each seed and judges its history; a broken one ends the run."""
    refused = effects = calls = 0
    for seed in range(first, last):
        world = World(seed, 3 + seed % 3)
        world.run(SCHEDULE_LENGTH_S)
        world.settle()
        check_history(world.history)
        check_end(world)
        refused += world.history.rejected
        effects += len(world.history.effects)
        calls += world.history.cloud_calls
    print(f"schedules={last - first} refused={refused} effects={effects} calls={calls} broken=0")


def freezes(number: int) -> None:
    """Stops the leader at a random point, or at a random time, until another node holds its
    named leases; then lets it go on."""
    rng = random.Random(5)
    gaps: list[float] = []
    load = os.getloadavg()[0]
    with tempfile.TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder), has_false_clocks=True)
        try:
            cluster.wait_for_holders()
            for _ in range(number):
                effects = cluster.effects()
                until(lambda before=effects: cluster.effects() > before)
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
    until(lambda: cluster.leader() is not None)
    node_id = cluster.leader() or ""
    cluster.freeze(node_id)
    began_at = time.monotonic()
    until(lambda: cluster.leader() not in (None, node_id))
    until(lambda: cluster.holder("rental") == cluster.leader() == cluster.holder("return"))
    waited_s = time.monotonic() - began_at
    time.sleep(rng.uniform(0.0, 1.0))
    cluster.thaw(node_id)
    return waited_s


def gaps(number: int) -> None:
    """Simulated seconds from a trouble of the holder until another node holds its lease."""
    for lease_name in (LeaseName.SCALE_OUT, LeaseName.CATALOG):
        for trouble in (fail_holder, stall_holder, hand_over_lease):
            found = [_measure_gap(seed, lease_name, trouble) for seed in range(number)]
            print(lease_name, trouble.__name__, summary(found))


def fail_holder(world: World, holder: Any, lease_name: LeaseName) -> None:
    """Crash the holder; it stays away."""
    holder.restart(1000.0)


def stall_holder(world: World, holder: Any, lease_name: LeaseName) -> None:
    """Freeze the holder's process."""
    holder.frozen_until = world.now + 1000.0


def hand_over_lease(world: World, holder: Any, lease_name: LeaseName) -> None:
    """Ask for a hand-over to another node."""
    receiver = next(node for node in world.nodes if node is not holder)
    value = wire.hand_over_value(wire.HandOverRecord(receiver.node_id, WallTime(world.now)))
    world.store.txn(Transaction({}, [Put(wire.hand_over_key(lease_name), value)]).body())


def _measure_gap(
    seed: int, lease_name: LeaseName, cause: Callable[[World, Any, LeaseName], None]
) -> float:
    world = World(seed, 3, faults=False)
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
    """A leader by itself, of whose machines one in a hundred is returned and rented each second."""
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
    """One change and one snapshot for each reader, of a view of 6,000 machines."""
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
    """Of one node by itself, until it answers, with named leases off and on by turns."""
    for features in (None, {"duties": {"on": ALL_LEASES}}) * number:
        with tempfile.TemporaryDirectory() as folder:
            cluster = Cluster(Path(folder), number=1, features=features)
            try:
                until(lambda c=cluster: c.leader() is not None)
                time.sleep(3.0)
                pid = cluster.processes["node-0"].pid
                fields = Path(f"/proc/{pid}/stat").read_text().split()
                ticks = sum(int(fields[i]) for i in (13, 14)) / os.sysconf("SC_CLK_TCK")
                status = Path(f"/proc/{pid}/status").read_text().splitlines()
                rss = next(line.split()[1] for line in status if line.startswith("VmRSS"))
                report = {"duties": "on" if features else "off", "cpu_s": ticks, "rss_kb": int(rss)}
                print(json.dumps(report))
            finally:
                cluster.close()


def main(args: Iterable[str]) -> None:
    """One of the measurements above."""
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
