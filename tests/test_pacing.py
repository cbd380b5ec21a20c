"""Work that looks at everything takes a bounded part of the time, however large the fleet is."""

import itertools

import pytest

from eldercart.scheduling.pacing import INTERVAL_PER_COST, AdaptiveInterval
from eldercart.scheduling.planner import Planner
from eldercart.units import MonotonicTime
from world import World


def pauses(work: AdaptiveInterval, cost_s: float, turns: int) -> list[float]:
    """The pauses between turns that take so long, by a clock that ticks ten times a second."""
    began: list[float] = []
    now = 0.0
    while len(began) < turns:
        if work.is_due(MonotonicTime(now)):
            began.append(now)
            work.start(MonotonicTime(now))
            work.record_duration(cost_s)
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
    for pause in pauses(AdaptiveInterval(0.5), cost_s, 5):
        assert pause_s - 1e-6 <= pause <= pause_s + 0.2


def test_a_cost_is_counted_for_what_ran_alone() -> None:
    """One tick does several things at times; those that it did not do cost nothing."""
    work = AdaptiveInterval(0.5)
    work.start(MonotonicTime(0.0))
    work.record_duration(0.01)
    work.record_duration(0.4)  # of a tick in which it was not due
    assert work.is_due(MonotonicTime(0.5))


def test_a_quick_turn_does_not_crowd_the_next_ones() -> None:
    work = AdaptiveInterval(0.1)
    work.start(MonotonicTime(0.0))
    work.record_duration(0.4)
    work.start(MonotonicTime(10.0))
    work.record_duration(0.0)
    assert not work.is_due(MonotonicTime(11.0)) and work.is_due(
        MonotonicTime(10.0 + INTERVAL_PER_COST * 0.4)
    )


def test_a_planner_that_was_stalled_plans_again_soon() -> None:
    planner = Planner(World(1).new_controller(5).cluster_state)
    planner.plan(MonotonicTime(100.0))
    planner.record_pass_duration(60.0)
    assert planner.is_due(MonotonicTime(111.0), 0)


def test_looks_at_thousands_of_machines_are_spaced_out() -> None:
    """As the adapter tells how long they took; without that they would fill a small core."""
    world = World(1)
    controller = world.scheduler
    assert controller is not None
    rented: list[float] = []
    measured = controller.cloud_requests.autoscale
    controller.cloud_requests.autoscale = lambda now: (rented.append(now), measured(now))  # type: ignore
    for tick in range(100):
        now = MonotonicTime(200.0 + tick / 10)
        controller.cluster_state.autoscaling_due_at = now
        controller.tick(now)
        controller.record_tick_duration(0.25)
    assert 4 <= len(rented) <= 6
