"""Measures the memory of a machine, a task, a job and a connection.

Creates thousands of each with the production code, without sockets, and counts what Python
allocates for them. Run from the root of the repository:

    PYTHONPATH=.:src:target/deps:tests python3 -m memory_units
"""

import gc
import tracemalloc
from collections.abc import Callable
from typing import Any

from benchmarks.relay_reports import WorkerConnection, heartbeat_request, relay_node
from eldercart.cluster.inventory import MachineState
from eldercart.jobs.job_records import JobRecord
from eldercart.units import MachineId, MonotonicTime, Revision, WallTime
from eldercart.wire import cloud, users
from simulators import CATALOG
from world import World, submission

SAMPLE_COUNT = 2000


def bytes_per_object(make: Callable[[int], Any]) -> float:
    """Return how many bytes stay allocated for each object that `make` creates."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = [make(number) for number in range(SAMPLE_COUNT)]
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / len(kept)


def main() -> None:
    """Print the sizes."""
    scheduler = World(1).scheduler
    assert scheduler is not None
    now = MonotonicTime(100.0)
    machine_type = cloud.parse_catalog(CATALOG)["small"]

    def machine(number: int) -> Any:
        machine_id = MachineId(f"n-{number:06d}")
        return scheduler.inventory.add(
            machine_id, machine_type, "a", True, MachineState.UP, now, now
        )

    def job(number: int) -> Any:
        spec = users.parse_submission(submission(f"wk-{number:06d}", parcels=20))
        scheduler.add_job(JobRecord(spec, 50, WallTime(100.0), Revision(number + 1)), now)

    print(f"machine: {bytes_per_object(machine):.0f} bytes")
    print(f"job of 20 tasks that wait: {bytes_per_object(job):.0f} bytes")
    jobs = list(scheduler.jobs.jobs.values())
    machines = list(scheduler.inventory.machines.values())

    def task(number: int) -> Any:
        index = scheduler.jobs.take_unplaced_tasks(jobs[number], 1)[0]
        placement = scheduler.jobs.add_placement(jobs[number], index, machines[number].id, now)
        scheduler.inventory.allocate(machines[number], placement)
        return placement

    print(f"placed task: {bytes_per_object(task):.0f} bytes")
    node = relay_node()
    node._http_factory.max_connections = SAMPLE_COUNT

    def connection(number: int) -> Any:
        worker = WorkerConnection(node)
        worker.send(heartbeat_request(f"n-{number}", 1))
        return worker

    print(f"connection after a report of 4 tasks: {bytes_per_object(connection):.0f} bytes")


if __name__ == "__main__":
    main()
