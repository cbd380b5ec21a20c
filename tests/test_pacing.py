"""Work that looks at everything takes a bounded part of the time, however large the fleet is."""

import itertools

import pytest

from eldercart.scheduling.pacing import PART, PacedWork
from eldercart.scheduling.planner import Planner
from eldercart.units import Steady
from world import World


def pauses(work: PacedWork, cost_s: float, turns: int) -> list[float]:
    """The pauses between turns that take so long, by a clock that ticks ten times a second."""
    began: list[float] = []
    now = 0.0
    while len(began) < turns:
        if work.due(Steady(now)):
            began.append(now)
            work.begin(Steady(now))
            work.took(cost_s)
        now += 0.1
    return [after - before for before, after in itertools.pairwise(began)]


@pytest.mark.parametrize(
    ("cost_s", "pause_s"),
    [
        (0.0, 0.5),
        (0.05, 0.5),
        (0.2, 1.6),
        (60.0, 4.0),  # stalled in the middle of it
    ],
)
def test_what_takes_long_is_repeated_less_often(cost_s: float, pause_s: float) -> None:
    for pause in pauses(PacedWork(0.5), cost_s, 5):
        assert pause_s - 1e-6 <= pause <= pause_s + 0.2


def test_a_cost_is_counted_for_what_ran_alone() -> None:
    """One tick does several things at times; those that it did not do cost nothing."""
    work = PacedWork(0.5)
    work.begin(Steady(0.0))
    work.took(0.01)
    work.took(0.4)  # of a tick in which it was not due
    assert work.due(Steady(0.5))


def test_a_quick_turn_does_not_crowd_the_next_ones() -> None:
    work = PacedWork(0.1)
    work.begin(Steady(0.0))
    work.took(0.4)
    work.begin(Steady(10.0))
    work.took(0.0)
    assert not work.due(Steady(11.0)) and work.due(Steady(10.0 + PART * 0.4))


def test_a_planner_that_was_stalled_plans_again_soon() -> None:
    planner = Planner(World(1).new_controller(5).scheduler)
    planner.plan(Steady(100.0))
    planner.cost(60.0)
    assert planner.due(Steady(111.0), 0)


def test_looks_at_thousands_of_machines_are_spaced_out() -> None:
    """As the adapter tells how long they took; without that they would fill a small core."""
    world = World(1)
    controller = world.controller
    assert controller is not None
    rented: list[float] = []
    measured = controller.cloud.rent
    controller.cloud.rent = lambda now: (rented.append(now), measured(now))  # type: ignore
    for tick in range(100):
        now = Steady(200.0 + tick / 10)
        controller.scheduler.rental_due = now
        controller.tick(now)
        controller.tick_took(0.25)
    assert 4 <= len(rented) <= 6
