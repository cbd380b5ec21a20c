"""Unit tests of settings, command line, election, prediction, job order, health and forecasts."""

import copy
import json
from pathlib import Path
from typing import Any

import pytest

from eldercart.autoscaling.autoscaler import Autoscaler
from eldercart.cli import build_parser, main
from eldercart.cluster.inventory import MachineInventory, MachineState
from eldercart.election.actions import (
    Campaign,
    GrantLease,
    KeepLeaseAlive,
    ReadLeaderKey,
    RevokeLease,
)
from eldercart.election.state_machine import Election, Role
from eldercart.jobs.job import Job
from eldercart.jobs.registry import JobRegistry
from eldercart.prediction.predictor import Predictor, ReservationContext
from eldercart.scheduling.machine_selection import score
from eldercart.scheduling.objectives import ServiceLevelObjectives
from eldercart.scheduling.queue_order import QueueOrderContext, order_jobs
from eldercart.server.controller_node import is_healthy
from eldercart.server.store.token_bucket import TokenBucket
from eldercart.settings import InvalidSettingsError, load_tuning
from eldercart.settings.platform import parse_platform
from eldercart.units import FencingToken, LeaseId, MachineId, MonotonicTime, NodeId, Revision
from eldercart.wire import cloud, users
from eldercart.wire.state import Item
from simulators import CATALOG
from world import PLATFORM, submission


@pytest.mark.parametrize(
    ("path", "value", "field"),
    [
        ("label", None, "label"),
        ("front", "nowhere", "front"),
        ("endpoints.state", "1.2.3.4:99999", "endpoints.state"),
        ("endpoints.state", "1.2.3.4:\u00b2", "endpoints.state"),
        ("settings.workers.lease_s", "14", "settings.workers.lease_s"),
        ("settings.workers.report_s", 0, "settings.workers.report_s"),
        ("settings.state.rps", True, "settings.state.rps"),
        ("settings.teams", {}, "settings.teams"),
        ("members", [{"label": "x"}], "members.0.location"),
    ],
)
def test_bad_platform_settings_name_the_field(path: str, value: Any, field: str) -> None:
    root = copy.deepcopy(PLATFORM)
    parent: Any = root
    *parents, last = path.split(".")
    for part in parents:
        parent = parent[part]
    parent[last] = value
    with pytest.raises(InvalidSettingsError, match=f"settings: {field}: "):
        parse_platform(root)


@pytest.mark.parametrize("values", [{"no_such": 1}, {"depth": 1.5}, {"predict_high": 2}, []])
def test_invalid_operator_settings_are_rejected(values: Any) -> None:
    with pytest.raises(InvalidSettingsError):
        load_tuning(values=values)


def test_operator_settings_overlay_defaults() -> None:
    tuning = load_tuning(values={"depth": 3})
    assert (tuning.depth, tuning.predict_high, tuning.predict_low) == (3, 0.6, 0.4)


def test_wrong_settings_end_with_status_2(tmp_path: Any, capsys: Any) -> None:
    path = tmp_path / "node.json"
    path.write_text("{}")
    assert main(["check-settings", "--config", str(path)]) == 2
    assert capsys.readouterr().err.strip() == "settings: settings.teams: missing"


NEXT_LIMITS: list[tuple[Any, str]] = [
    ([], "settings.state.next: must be an object"),
    ("less", "settings.state.next: must be an object"),
    (7, "settings.state.next: must be an object"),
    (False, "settings.state.next: must be an object"),
    ({"rps": "70"}, "settings.state.next.rps: must be a number"),
    ({"rps": True}, "settings.state.next.rps: must be a number"),
    ({"rps": [70]}, "settings.state.next.rps: must be a number"),
    ({"rps": 0}, "settings.state.next.rps: must be at least 1"),
    ({"rps": -5}, "settings.state.next.rps: must be at least 1"),
    ({"write_rps": {}}, "settings.state.next.write_rps: must be a number"),
    ({"write_rps": 0.5}, "settings.state.next.write_rps: must be at least 1"),
    ({"value_kb": "2"}, "settings.state.next.value_kb: must be a number"),
    ({"value_kb": 0}, "settings.state.next.value_kb: must be at least 0.5"),
    ({"txn_ops": False}, "settings.state.next.txn_ops: must be a number"),
    ({"txn_ops": 1}, "settings.state.next.txn_ops: must be at least 2"),
    ({"rps": 50, "txn_ops": "6"}, "settings.state.next.txn_ops: must be a number"),
]


@pytest.mark.parametrize("command", ["check-settings", "serve"])
@pytest.mark.parametrize(("later", "line"), NEXT_LIMITS)
def test_malformed_next_limits_end_with_status_2_and_one_line(
    command: str, later: Any, line: str, tmp_path: Any, capsys: Any
) -> None:
    """The limits of the state store fall without notice, so the next limits are set in advance.
    Without this check, an error there would show only later, as writes that are rejected in the
    middle of the day."""
    root = copy.deepcopy(PLATFORM)
    root["settings"]["state"]["next"] = later
    path = tmp_path / "node.json"
    path.write_text(json.dumps(root))
    assert main([command, "--config", str(path)]) == 2
    out, err = capsys.readouterr()
    assert (out, err) == ("", f"settings: {line}\n")


@pytest.mark.parametrize("later", [None, {}, {"rps": None}, {"unknown": "x"}])
def test_next_limits_may_be_left_out(later: Any, tmp_path: Any) -> None:
    root = copy.deepcopy(PLATFORM)
    root["settings"]["state"]["next"] = later
    path = tmp_path / "node.json"
    path.write_text(json.dumps(root))
    assert main(["check-settings", "--config", str(path)]) == 0
    assert parse_platform(root) == parse_platform(PLATFORM)


# -- the command line

JOB = submission("wk-9")


README = Path(__file__).resolve().parent.parent / "README.md"


def test_the_commands_in_the_readme_are_understood() -> None:
    lines = [line.strip() for line in README.read_text().splitlines()]
    commands = [line.partition("run.py ")[2].split() for line in lines if "run.py " in line]
    assert {command[0] for command in commands} == {
        "check-settings",
        "serve",
        "submit",
        "status",
        "cancel",
        "duties",
    }
    for command in commands:
        args = build_parser().parse_args(command)
        assert args.command == command[0]
        assert getattr(args, "awaits", []) == (["wk-000412"] if "--awaits" in command else [])


@pytest.mark.parametrize(
    ("arguments", "status", "line"),
    [
        (["submit", "nowhere.json"], 2, "eldercart: nowhere.json: No such file or directory"),
        (["submit", "list.json"], 2, "eldercart: the job is malformed: not an object"),
        (["submit", "text.json"], 2, "eldercart: the job is malformed: not JSON"),
        (["submit", "awaits.json"], 2, "eldercart: the job is malformed: awaits"),
        (["submit", "--awaits", "x", "job.json"], 2, "eldercart: the job is malformed: awaits"),
        (["status", "job-9"], 2, "eldercart: not a job id: job-9"),
        (["cancel", "wk-9/0"], 2, "eldercart: not a job id: wk-9/0"),
    ],
)
def test_invalid_command_arguments_are_rejected_in_one_line(
    arguments: list[str], status: int, line: str, tmp_path: Any, monkeypatch: Any, capsys: Any
) -> None:
    """No request is sent: no server has this name."""
    monkeypatch.chdir(tmp_path)
    files = {"list": [], "job": JOB, "awaits": JOB | {"awaits": "wk-1"}}
    for name, value in files.items():
        (tmp_path / f"{name}.json").write_text(json.dumps(value))
    (tmp_path / "text.json").write_text("{")
    command, *rest = arguments
    assert main([command, "--server", "nowhere.invalid:1", *rest]) == status
    assert capsys.readouterr().err.strip() == line


# -- election

LEADER_LEASE = LeaseId(5)


def elect_leader(now: float = 0.0) -> Election:
    election = Election(NodeId("n0"), 3.0, 0.02)
    assert isinstance(election.next_action(MonotonicTime(now)), ReadLeaderKey)
    election.on_leader_key_read(None, MonotonicTime(now))
    assert isinstance(election.next_action(MonotonicTime(now)), GrantLease)
    election.on_lease_granted(LEADER_LEASE, MonotonicTime(now + 0.1))
    assert isinstance(election.next_action(MonotonicTime(now + 0.1)), Campaign)
    election.on_campaign_result(Revision(7), MonotonicTime(now + 0.2))
    return election


def test_lease_time_counts_from_when_the_request_is_sent() -> None:
    election = elect_leader()
    assert election.role is Role.LEADER and election.token == 7
    assert election.is_within_lease(MonotonicTime(2.9)) and not election.is_within_lease(
        MonotonicTime(2.95)
    )
    assert isinstance(election.next_action(MonotonicTime(1.0)), KeepLeaseAlive)
    # A slow response extends the lease from when its request was sent.
    election.on_keep_alive(True, MonotonicTime(1.9))
    assert election.is_within_lease(MonotonicTime(3.9)) and not election.is_within_lease(
        MonotonicTime(3.95)
    )


def test_store_outage_suspends_the_leader_without_ending_its_leadership() -> None:
    election = elect_leader()
    action = election.next_action(MonotonicTime(1.0))
    assert action is not None
    election.on_action_failed(action, MonotonicTime(2.0))
    assert election.role is Role.LEADER and not election.is_within_lease(MonotonicTime(5.0))
    assert isinstance(election.next_action(MonotonicTime(5.0)), KeepLeaseAlive)
    election.on_keep_alive(True, MonotonicTime(5.1))
    assert election.is_within_lease(MonotonicTime(5.2))


@pytest.mark.parametrize("how", ["lease ended", "higher epoch", "write refused"])
def test_leader_steps_down_when_its_leadership_is_lost(how: str) -> None:
    election = elect_leader()
    now = MonotonicTime(1.0)
    if how == "lease ended":
        assert isinstance(election.next_action(now), KeepLeaseAlive)
        assert election.on_keep_alive(False, now)
    elif how == "higher epoch":
        assert not election.observe_token(FencingToken(7), now)
        assert election.observe_token(FencingToken(8), now)
    else:
        election.on_write_fenced(now)
    assert election.role is Role.FOLLOWER and not election.is_within_lease(now)
    assert isinstance(election.next_action(now), ReadLeaderKey)


def test_resigned_leader_lets_other_nodes_campaign_first() -> None:
    """A leader that reaches the store but no peer or worker would renew its lease and block others.

    So it resigns, revokes its lease and waits before it campaigns again."""
    election = elect_leader()
    election.resign(MonotonicTime(1.0))
    assert election.role is Role.FOLLOWER
    assert election.next_action(MonotonicTime(1.0)) == RevokeLease(LEADER_LEASE)
    election.on_lease_revoked(MonotonicTime(1.1))
    assert isinstance(election.next_action(MonotonicTime(1.1)), ReadLeaderKey)
    election.on_leader_key_read(None, MonotonicTime(1.2))
    assert election.next_action(MonotonicTime(1.3)) is None, (
        "the other nodes must have time to campaign first"
    )
    assert isinstance(election.next_action(MonotonicTime(3.0)), ReadLeaderKey)
    election.on_leader_key_read(None, MonotonicTime(3.0))
    assert isinstance(election.next_action(MonotonicTime(11.0)), GrantLease), (
        "no other node has become the leader"
    )


def test_campaign_with_lost_response_is_found_by_reading_the_leader_key() -> None:
    election = Election(NodeId("n0"), 3.0, 0.02)
    now = MonotonicTime(0.0)
    election.next_action(now)
    election.on_leader_key_read(None, now)
    election.next_action(now)
    election.on_lease_granted(LEADER_LEASE, now)
    campaign = election.next_action(now)
    assert isinstance(campaign, Campaign)
    election.on_action_failed(campaign, now)
    later = MonotonicTime(0.5)
    assert isinstance(election.next_action(later), ReadLeaderKey)
    election.on_leader_key_read(
        Item("lead", {"node": "n0", "life": "0"}, Revision(9), LEADER_LEASE), later
    )
    assert election.role is Role.LEADER and election.token == 9


def test_lease_of_an_earlier_incarnation_is_revoked() -> None:
    """After a restart within a fraction of a second, the old lease would delay every new leader."""
    election = Election(NodeId("n0"), 3.0, 0.02)
    election.next_action(MonotonicTime(0.0))
    election.on_leader_key_read(
        Item("lead", {"node": "n0"}, Revision(9), LeaseId(3)), MonotonicTime(0.0)
    )
    assert election.role is Role.FOLLOWER
    assert election.next_action(MonotonicTime(0.0)) == RevokeLease(LeaseId(3))


def test_node_does_not_campaign_while_another_leads() -> None:
    election = Election(NodeId("n0"), 3.0, 0.02)
    election.next_action(MonotonicTime(0.0))
    election.on_leader_key_read(
        Item("lead", {"node": "n1"}, Revision(9), LeaseId(3)), MonotonicTime(0.0)
    )
    assert (election.leader, election.token) == ("n1", 9)
    assert election.next_action(MonotonicTime(0.1)) is None


# -- prediction


def make_job(number: int, image: str, **changes: Any) -> Job:
    body = submission(f"wk-{number:06d}", kit=image, **changes)
    return Job(users.parse_submission(body), 100, MonotonicTime(float(number)))


def train(predictor: Predictor, images: str, outcomes: str) -> list[Job]:
    jobs = [make_job(i, image) for i, image in enumerate(images)]
    for job in jobs:
        predictor.on_job_ready(job)
    for job, outcome in zip(jobs, outcomes, strict=False):
        predictor.on_stream_job_ended(job, users.DONE if outcome == "d" else users.CANCELLED)
    return jobs


@pytest.mark.parametrize(
    ("outcomes", "expected"),
    [("dddddddd", "b"), ("xxxxxxxx", "b"), ("dxdxdxdx", "b"), ("ddxxddxx", None)],
)
def test_prediction_depends_on_two_success_thresholds(outcomes: str, expected: str | None) -> None:
    """After the path (a), the successor of a done job is predicted if at least 60% of the jobs were
    done, that of a cancelled job if at most 40% were, and otherwise none."""
    predictor = Predictor(load_tuning(values={"path_length": 1}))
    train(predictor, "abababab", outcomes)
    assert predictor.predict_stream_image("t2", "slow", ("a",)) == expected


def test_prediction_distinguishes_branches_by_path() -> None:
    predictor = Predictor(load_tuning(values={"path_length": 2}))
    train(predictor, "abcxbyabcxbyabcxby", "d" * 18)
    assert predictor.predict_stream_image("t2", "slow", ("a", "b")) == "c"
    assert predictor.predict_stream_image("t2", "slow", ("x", "b")) == "y"
    assert predictor.predict_stream_image("t2", "slow", ("y", "y")) is None


@pytest.mark.parametrize(("load", "depth"), [(0.5, 6), (0.75, 5), (0.9, 4)])
def test_prediction_depth_falls_with_load(load: float, depth: int) -> None:
    predictor = Predictor(load_tuning(values={"path_length": 1}))
    jobs = train(predictor, "ab" * 12, "d" * 14)
    for job in jobs[14:]:
        predictor.reserve_for_stream(job, 1.0, ReservationContext(10.0, load, MonotonicTime(30.0)))
    assert len(predictor.soft_reservations) == depth


def test_soft_reservations_are_made_late_matched_and_expired() -> None:
    predictor = Predictor(load_tuning(values={"path_length": 1}))
    jobs = train(predictor, "ababab", "ddddd")
    predictor.reserve_for_stream(jobs[5], 30.0, ReservationContext(10.0, 0.0, MonotonicTime(10.0)))
    assert not predictor.soft_reservations, "the job ends more than one boot time later"
    predictor.reserve_for_stream(jobs[5], 5.0, ReservationContext(10.0, 0.0, MonotonicTime(10.0)))
    assert [reservation.image for reservation in predictor.soft_reservations] == ["a"]
    assert predictor.reserved_cpus() == pytest.approx((0.0, 12.0))
    predictor.on_job_ready(make_job(20, "a"))
    assert (predictor.hits, predictor.misses, predictor.soft_reservations) == (1, 0, [])
    predictor.reserve_for_stream(jobs[5], 5.0, ReservationContext(10.0, 0.0, MonotonicTime(10.0)))
    predictor.on_job_ready(make_job(21, "z"))
    assert (predictor.hits, predictor.misses, predictor.soft_reservations) == (1, 1, [])
    predictor.reserve_for_stream(jobs[5], 5.0, ReservationContext(10.0, 0.0, MonotonicTime(10.0)))
    predictor.expire(MonotonicTime(99.0))
    assert (predictor.expired, predictor.soft_reservations) == (1, [])


# -- order of jobs

NO_OBJECTIVES = ServiceLevelObjectives({}, {})


def test_jobs_are_ordered_by_priority_and_deadline() -> None:
    registry, inventory = JobRegistry(), MachineInventory()
    teams = parse_platform(PLATFORM).teams
    changes_by_job: list[dict[str, Any]] = [
        {"urgency": "idle", "crew": "t1"},
        {"urgency": "standard", "crew": "t2", "dueS": 100.0},
        {"urgency": "standard", "crew": "t2", "dueS": 50.0},
        {"urgency": "urgent", "crew": "t2"},
    ]
    for number, changes in enumerate(changes_by_job):
        spec = users.parse_submission(submission(f"wk-{number:06d}", **changes))
        registry.add(spec, 100, MonotonicTime(0.0))
    inventory.cpus_by_team["t2"] = 40.0
    ordered = order_jobs(
        list(registry.jobs.values()),
        QueueOrderContext(
            inventory,
            teams,
            NO_OBJECTIVES,
            lambda priority, allows_spot: 100.0,
            lambda job: 6.0,
            lambda job: 6.0,
        ),
        MonotonicTime(1.0),
    )
    assert [job.id[-1] for job in ordered] == ["3", "2", "1", "0"]


def test_overload_defers_the_largest_job() -> None:
    """By deadline alone, the large job would run first and make the three small ones late."""
    registry = JobRegistry()
    for number, tasks in enumerate((400, 10, 10, 10)):
        body = submission(f"wk-{number:06d}", parcels=tasks, dueS=40.0 + number)
        registry.add(users.parse_submission(body), 100, MonotonicTime(0.0))
    ordered = order_jobs(
        list(registry.jobs.values()),
        QueueOrderContext(
            MachineInventory(),
            parse_platform(PLATFORM).teams,
            NO_OBJECTIVES,
            lambda priority, allows_spot: 16.0,
            lambda job: 6.0,
            lambda job: 6.0,
        ),
        MonotonicTime(1.0),
    )
    assert [job.id[-1] for job in ordered] == ["1", "2", "3", "0"]
    assert [job.is_deferred for job in ordered] == [False, False, False, True]


def test_jobs_restricted_to_on_demand_are_deferred_by_on_demand_capacity() -> None:
    """Guards against this error: a burst of urgent array jobs could use only on-demand machines,
    but was judged by a large cluster of spot machines. So none was deferred, and all were late
    together."""
    registry = JobRegistry()
    changes_by_job: list[dict[str, Any]] = [
        {"parcels": 400, "dueS": 40.0},
        {"parcels": 10, "dueS": 41.0},
        {"parcels": 10, "dueS": 42.0},
        {"parcels": 400, "dueS": 43.0, "loaners": True},
    ]
    for number, changes in enumerate(changes_by_job):
        body = submission(f"wk-{number:06d}", **({"loaners": False} | changes))
        registry.add(users.parse_submission(body), 100, MonotonicTime(0.0))
    ordered = order_jobs(
        list(registry.jobs.values()),
        QueueOrderContext(
            MachineInventory(),
            parse_platform(PLATFORM).teams,
            NO_OBJECTIVES,
            lambda priority, allows_spot: 1000.0 if allows_spot else 16.0,
            lambda job: 6.0,
            lambda job: 6.0,
        ),
        MonotonicTime(1.0),
    )
    assert [job.id[-1] for job in ordered] == ["1", "2", "0", "3"]
    assert [job.is_deferred for job in ordered] == [False, False, True, False]


def test_machine_fetching_another_image_scores_worse() -> None:
    """A machine that already fetches an image is worse for a task that needs another image, because
    the fetches share its bandwidth."""
    registry, inventory = JobRegistry(), MachineInventory()
    machine_type = cloud.parse_catalog(CATALOG)["big"]
    now = MonotonicTime(0.0)
    busy, idle = (
        inventory.add(MachineId(name), machine_type, "b", True, MachineState.UP, now, now)
        for name in ("n-1", "n-2")
    )
    spec = users.parse_submission(submission("wk-000001", kit="one", imageGb=3.0))
    placement = registry.add_placement(registry.add(spec, 100, now), 0, busy.id, now)
    inventory.allocate(busy, placement)
    other = users.parse_submission(submission("wk-000002", kit="two", imageGb=2.0))
    assert score(other, busy) > score(other, idle)
    assert score(spec, busy) < score(spec, idle), "one fetch serves both"
    inventory.record_image_use(busy, "two", 2.0)
    assert score(other, busy) < score(other, idle)


# -- health


@pytest.mark.parametrize(
    ("ready", "failing_s", "peer_served_ago_s", "expected"),
    [
        (False, 0.0, 1e9, False),
        (True, 0.0, 1e9, True),
        (True, 30.0, 1e9, True),  # the store fails all nodes
        (True, 1.0, 0.5, True),  # the store failed only briefly
        (True, 5.0, 0.5, False),  # the store fails this node alone
    ],
)
def test_node_is_unhealthy_if_not_ready_or_isolated_from_the_store(
    ready: bool, failing_s: float, peer_served_ago_s: float, expected: bool
) -> None:
    assert is_healthy(ready, failing_s, peer_served_ago_s) is expected


# -- token buckets, objectives and demand forecasts


def test_token_bucket_keeps_a_reserve() -> None:
    bucket = TokenBucket(10.0, 10.0, MonotonicTime(0.0))
    assert all(bucket.try_take(MonotonicTime(0.0), 1, 0.3) for _ in range(7))
    assert not bucket.try_take(MonotonicTime(0.0), 1, 0.3)
    assert bucket.try_take(MonotonicTime(0.0), 3, 0.0)
    assert not bucket.try_take(MonotonicTime(0.05), 1)
    assert bucket.try_take(MonotonicTime(0.1), 1)
    bucket.force_take(MonotonicTime(0.1), 5)
    assert bucket.available(MonotonicTime(0.5)) < 1
    assert bucket.available(MonotonicTime(100.0)) == 10


def test_latest_start_times_follow_from_objectives() -> None:
    objectives = ServiceLevelObjectives(
        {"slow": (8.0, 20.0)}, {"slow": (60.0,)}, {"slow": (1.0, 1.5)}
    )
    job = make_job(1, "a", dueS=30.0)
    assert objectives.latest_start_times(job, 12.0) == [9.0, 19.0, 21.0, 34.0, 49.0]
    assert objectives.preemption_allowed_at(job, 3.0, 5.0) == pytest.approx(1.0 + 0.55 * 8.0)
    assert objectives.preemption_allowed_at(job, 6.0, 5.0) == pytest.approx(1.0 + 2.0)
    assert ServiceLevelObjectives({}, {}).preemption_allowed_at(job, 3.0, 5.0) == 6.0


def test_demand_forecast_lasts_until_submissions_stop() -> None:
    """Demand within the window is expected again, until submissions have stopped for twelve mean
    gaps; then the forecast falls to zero."""
    autoscaler = Autoscaler(
        load_tuning(
            values={"demand_memory_s": 60, "pause_s": 20, "demand_spread": 1, "waiting_share": 1}
        ),
        {},
    )
    burst = make_job(1, "a", parcels=50)
    for second in range(0, 20, 2):
        autoscaler.record_arrival(MonotonicTime(float(second)))
        autoscaler.update_demand([burst], (0.0, 0.0), MonotonicTime(float(second)))
    autoscaler.record_arrival(MonotonicTime(20.0))
    autoscaler.update_demand([], (0.0, 0.0), MonotonicTime(30.0))
    assert 90.0 < autoscaler.total_forecast.expected_cpus < 150.0
    autoscaler.update_demand([], (0.0, 0.0), MonotonicTime(43.0))
    assert autoscaler.total_forecast.expected_cpus > 70.0, "fewer than twelve mean gaps have passed"
    autoscaler.update_demand([], (0.0, 0.0), MonotonicTime(46.0))
    assert autoscaler.total_forecast.expected_cpus == 0.0


def test_steady_demand_needs_little_headroom() -> None:
    autoscaler = Autoscaler(
        load_tuning(values={"headroom_share": 0.05, "demand_spread": 1.0, "waiting_share": 1.0}), {}
    )
    for second in range(60):
        autoscaler.record_arrival(MonotonicTime(float(second)))
        autoscaler.update_demand(
            [make_job(1, "a", parcels=500)], (0.0, 0.0), MonotonicTime(float(second))
        )
    assert autoscaler.target_cpus()[1] == pytest.approx(1050.0)
