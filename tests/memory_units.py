"""What a machine, a task, a job and a connection take in memory.

Counts what Python allocates for thousands of each, by the real code without sockets. Run from the
root of the repository:

    PYTHONPATH=.:src:target/deps:tests python3 -m memory_units
"""

import gc
import tracemalloc
from collections.abc import Callable
from typing import Any

from benchmarks.relay_reports import WorkerConnection, heartbeat_request, relay_node
from eldercart.cluster.inventory import MachineState
from eldercart.units import MachineId, MonotonicTime, WallTime
from eldercart.wire import cloud, users
from simulators import CATALOG
from world import World, submission

NUMBER = 2000


def bytes_each(make: Callable[[int], Any]) -> float:
    """Bytes that stay allocated for each of what `make` makes."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = [make(number) for number in range(NUMBER)]
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / len(kept)


def main() -> None:
    """Prints the sizes."""
    controller = World(1).scheduler
    assert controller is not None
    now = MonotonicTime(100.0)
    kind = cloud.parse_catalog(CATALOG)["small"]

    def machine(number: int) -> Any:
        name = MachineId(f"n-{number:06d}")
        return controller.inventory.add(name, kind, "a", True, MachineState.UP, now, now)

    def job(number: int) -> Any:
        spec = users.parse_submission(submission(f"wk-{number:06d}", parcels=20))
        controller.add_job(spec, 50, WallTime(100.0), now)

    print(f"machine: {bytes_each(machine):.0f} bytes")
    print(f"job of 20 tasks that wait: {bytes_each(job):.0f} bytes")
    jobs = list(controller.jobs.jobs.values())
    machines = list(controller.inventory.machines.values())

    def task(number: int) -> Any:
        index = controller.jobs.take_unplaced_tasks(jobs[number], 1)[0]
        placement = controller.jobs.add_placement(jobs[number], index, machines[number].id, now)
        controller.inventory.allocate(machines[number], placement)
        return placement

    print(f"placed task: {bytes_each(task):.0f} bytes")
    node = relay_node()
    node._http_factory.max_connections = NUMBER

    def connection(number: int) -> Any:
        connected = WorkerConnection(node)
        connected.send(heartbeat_request(f"n-{number}", 1))
        return connected

    print(f"connection after a report of 4 tasks: {bytes_each(connection):.0f} bytes")


if __name__ == "__main__":
    main()
