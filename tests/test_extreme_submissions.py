"""Accepted jobs whose numbers are extreme: they run, and other jobs are placed as usual."""

from typing import Any

import pytest

from eldercart.scheduling import feasibility
from eldercart.wire import users
from test_scheduler_faults import finish
from world import World, submission

TINY = 1e-310  # a denormal number, whose reciprocal is infinite
EXTREMES: list[tuple[str, dict[str, Any]]] = [
    ("cpus", {"cpus": TINY}),
    ("memory", {"memGb": TINY}),
    ("cpus and memory", {"cpus": TINY, "memGb": TINY, "parcels": 300}),
    ("no memory", {"memGb": 0.0}),
    ("short estimate", {"haulS": TINY}),
    ("no estimate", {"haulS": 0.0}),
    ("long estimate", {"haulS": 1e12}),
    ("near deadline", {"dueS": TINY}),
    ("far deadline", {"dueS": 1e12}),
    ("small image", {"imageGb": TINY}),
    ("checkpoints all the time", {"waypointS": TINY, "stowS": TINY}),
]


@pytest.mark.parametrize("changes", [e[1] for e in EXTREMES], ids=[e[0] for e in EXTREMES])
@pytest.mark.parametrize("team", ["t1", "t2"], ids=["team with a limit", "team without a limit"])
def test_extreme_job_runs_and_stops_no_planning(team: str, changes: dict[str, Any]) -> None:
    """Guards against one accepted job by which every planning pass fails, so that no job of any
    team is placed."""
    world = World(5)
    world.submit("wk-000001", crew=team, **changes)
    for number in range(2, 12):  # more than fits at once, so that tasks wait on machines too
        world.submit(f"wk-{number:06d}", crew="t2", parcels=8, lot="quick")
    world.run(8)
    world.elect()  # which loads the records of the jobs
    finish(world)


@pytest.mark.parametrize("resource", ["cpus", "accelerators", "memGb"])
@pytest.mark.parametrize("capacity", [-1e12, -1.0, 0.0, 1.0, 1e12])
def test_number_of_fitting_tasks_is_bounded(capacity: float, resource: str) -> None:
    sizes = {"cpus": 0.0, "accelerators": 1.0, "memGb": 0.0} | {resource: TINY}
    spec = users.parse_submission(submission("wk-000001", **sizes))
    others = 1e12
    count = feasibility.count_fitting(
        spec,
        capacity if resource == "cpus" else others,
        capacity if resource == "accelerators" else others,
        capacity if resource == "memGb" else others,
    )
    assert count == (feasibility.UNLIMITED_TASKS if capacity >= 0 else 0)


@pytest.mark.parametrize("task_count", [1, 20])
@pytest.mark.parametrize("allows_spot", [False, True])
@pytest.mark.parametrize("accelerators", [1.0, TINY])
def test_job_without_cpus_gets_a_machine(
    accelerators: float, allows_spot: bool, task_count: int
) -> None:
    """Guards against an accepted job that waits for ever, as the demand for machines, which is
    counted in CPUs, does not grow with it."""
    world = World(5)
    world.submit(
        "wk-000001", cpus=0.0, accelerators=accelerators, parcels=task_count, loaners=allows_spot
    )
    finish(world)
