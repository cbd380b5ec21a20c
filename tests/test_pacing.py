"""Work over the whole cluster takes a bounded share of the time, whatever the cluster size."""

import itertools

import pytest

from eldercart.scheduling.pacing import INTERVAL_PER_COST, AdaptiveInterval
from eldercart.scheduling.planner import Planner
from eldercart.units import MonotonicTime
from world import World


def intervals_between_runs(work: AdaptiveInterval, cost_s: float, run_count: int) -> list[float]:
    """Return the seconds between starts of runs of `cost_s` each, with ten clock ticks a second."""
    started_at: list[float] = []
    now = 0.0
    while len(started_at) < run_count:
        if work.is_due(MonotonicTime(now)):
            started_at.append(now)
            work.start(MonotonicTime(now))
            work.record_duration(cost_s)
        now += 0.1
    return [after - before for before, after in itertools.pairwise(started_at)]


@pytest.mark.parametrize(
    ("cost_s", "pause_s"),
    [
        (0.0, 0.5),
        (0.05, 0.5),
        (0.2, 1.6),
        (60.0, 4.0),  # the process stalled during the run
    ],
)
def test_interval_grows_with_duration_of_work(cost_s: float, pause_s: float) -> None:
    for interval in intervals_between_runs(AdaptiveInterval(0.5), cost_s, 5):
        assert pause_s - 1e-6 <= interval <= pause_s + 0.2


def test_duration_of_tick_without_run_is_ignored() -> None:
    """A tick runs only the work that is due: its duration counts for no other work."""
    work = AdaptiveInterval(0.5)
    work.start(MonotonicTime(0.0))
    work.record_duration(0.01)
    work.record_duration(0.4)  # the duration of a tick in which the work was not due
    assert work.is_due(MonotonicTime(0.5))


def test_one_quick_run_does_not_shorten_interval_at_once() -> None:
    work = AdaptiveInterval(0.1)
    work.start(MonotonicTime(0.0))
    work.record_duration(0.4)
    work.start(MonotonicTime(10.0))
    work.record_duration(0.0)
    assert not work.is_due(MonotonicTime(11.0)) and work.is_due(
        MonotonicTime(10.0 + INTERVAL_PER_COST * 0.4)
    )


def test_planner_runs_soon_after_process_stall() -> None:
    planner = Planner(World(1).new_scheduler(5).cluster_state)
    planner.plan(MonotonicTime(100.0))
    planner.record_pass_duration(60.0)
    assert planner.is_due(MonotonicTime(111.0), 0)


def test_costly_autoscaling_runs_are_spaced_out() -> None:
    """A run inspects every machine, and there may be thousands. The adapter reports how long each
    run took; otherwise the runs would use up a small core."""
    world = World(1)
    leader = world.scheduler
    assert leader is not None
    autoscaled_at: list[float] = []
    run_autoscaling = leader.cloud_requests.autoscale
    leader.cloud_requests.autoscale = lambda now: (autoscaled_at.append(now), run_autoscaling(now))  # type: ignore
    for tick in range(100):
        now = MonotonicTime(200.0 + tick / 10)
        leader.cluster_state.autoscaling_due_at = now
        leader.tick(now)
        leader.record_tick_duration(0.25)
    assert 4 <= len(autoscaled_at) <= 6
