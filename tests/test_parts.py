"""Settings, election, predictor, order of jobs and token buckets."""

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
from eldercart.prediction.predictor import Predictor, ReservationWindow
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
    ("path", "value", "names"),
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
def test_bad_platform_settings_name_the_field(path: str, value: Any, names: str) -> None:
    root = copy.deepcopy(PLATFORM)
    at: Any = root
    *parents, last = path.split(".")
    for part in parents:
        at = at[part]
    at[last] = value
    with pytest.raises(InvalidSettingsError, match=f"settings: {names}: "):
        parse_platform(root)


@pytest.mark.parametrize("values", [{"no_such": 1}, {"depth": 1.5}, {"predict_high": 2}, []])
def test_bad_operator_settings(values: Any) -> None:
    with pytest.raises(InvalidSettingsError):
        load_tuning(values=values)


def test_operator_settings_overlay_defaults() -> None:
    t = load_tuning(values={"depth": 3})
    assert (t.depth, t.predict_high, t.predict_low) == (3, 0.6, 0.4)


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
    """Limits that fall without notice have to be known before; a guess would be found out by
    refused writes, in the middle of the day."""
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
def test_the_command_line_refuses_in_one_line(
    arguments: list[str], status: int, line: str, tmp_path: Any, monkeypatch: Any, capsys: Any
) -> None:
    """Nothing is sent: no server has this name."""
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


def elected(now: float = 0.0) -> Election:
    e = Election(NodeId("n0"), 3.0, 0.02)
    assert isinstance(e.next_action(MonotonicTime(now)), ReadLeaderKey)
    e.on_leader_key_read(None, MonotonicTime(now))
    assert isinstance(e.next_action(MonotonicTime(now)), GrantLease)
    e.on_lease_granted(LEADER_LEASE, MonotonicTime(now + 0.1))
    assert isinstance(e.next_action(MonotonicTime(now + 0.1)), Campaign)
    e.on_campaign_result(Revision(7), MonotonicTime(now + 0.2))
    return e


def test_lease_counts_from_before_sending() -> None:
    e = elected()
    assert e.role is Role.LEADER and e.token == 7
    assert e.is_within_lease(MonotonicTime(2.9)) and not e.is_within_lease(MonotonicTime(2.95))
    assert isinstance(e.next_action(MonotonicTime(1.0)), KeepLeaseAlive)
    e.on_keep_alive(True, MonotonicTime(1.9))  # a slow answer extends from when it was asked
    assert e.is_within_lease(MonotonicTime(3.9)) and not e.is_within_lease(MonotonicTime(3.95))


def test_outage_suspends_and_does_not_depose() -> None:
    e = elected()
    action = e.next_action(MonotonicTime(1.0))
    assert action is not None
    e.on_action_failed(action, MonotonicTime(2.0))
    assert e.role is Role.LEADER and not e.is_within_lease(MonotonicTime(5.0))
    assert isinstance(e.next_action(MonotonicTime(5.0)), KeepLeaseAlive)
    e.on_keep_alive(True, MonotonicTime(5.1))
    assert e.is_within_lease(MonotonicTime(5.2))


@pytest.mark.parametrize("how", ["lease ended", "higher epoch", "write refused"])
def test_steps_down(how: str) -> None:
    e = elected()
    now = MonotonicTime(1.0)
    if how == "lease ended":
        assert isinstance(e.next_action(now), KeepLeaseAlive)
        assert e.on_keep_alive(False, now)
    elif how == "higher epoch":
        assert not e.observe_token(FencingToken(7), now)
        assert e.observe_token(FencingToken(8), now)
    else:
        e.on_write_fenced(now)
    assert e.role is Role.FOLLOWER and not e.is_within_lease(now)
    assert isinstance(e.next_action(now), ReadLeaderKey)


def test_leader_that_hears_nobody_stands_back() -> None:
    """It keeps its lease through the store alone, and nobody else could lead."""
    e = elected()
    e.resign(MonotonicTime(1.0))
    assert e.role is Role.FOLLOWER
    assert e.next_action(MonotonicTime(1.0)) == RevokeLease(LEADER_LEASE)
    e.on_lease_revoked(MonotonicTime(1.1))
    assert isinstance(e.next_action(MonotonicTime(1.1)), ReadLeaderKey)
    e.on_leader_key_read(None, MonotonicTime(1.2))
    assert e.next_action(MonotonicTime(1.3)) is None, "somebody else first"
    assert isinstance(e.next_action(MonotonicTime(3.0)), ReadLeaderKey)
    e.on_leader_key_read(None, MonotonicTime(3.0))
    assert isinstance(e.next_action(MonotonicTime(11.0)), GrantLease), "nobody else came"


def test_claim_with_lost_answer_is_found_by_reading() -> None:
    e = Election(NodeId("n0"), 3.0, 0.02)
    now = MonotonicTime(0.0)
    e.next_action(now)
    e.on_leader_key_read(None, now)
    e.next_action(now)
    e.on_lease_granted(LEADER_LEASE, now)
    claim = e.next_action(now)
    assert isinstance(claim, Campaign)
    e.on_action_failed(claim, now)
    later = MonotonicTime(0.5)
    assert isinstance(e.next_action(later), ReadLeaderKey)
    e.on_leader_key_read(
        Item("lead", {"node": "n0", "life": "0"}, Revision(9), LEADER_LEASE), later
    )
    assert e.role is Role.LEADER and e.token == 9


def test_key_of_an_earlier_incarnation_is_given_up() -> None:
    """Restarted within a fraction of a second: the old lease would keep everybody waiting."""
    e = Election(NodeId("n0"), 3.0, 0.02)
    e.next_action(MonotonicTime(0.0))
    e.on_leader_key_read(Item("lead", {"node": "n0"}, Revision(9), LeaseId(3)), MonotonicTime(0.0))
    assert e.role is Role.FOLLOWER
    assert e.next_action(MonotonicTime(0.0)) == RevokeLease(LeaseId(3))


def test_another_leader_is_left_alone() -> None:
    e = Election(NodeId("n0"), 3.0, 0.02)
    e.next_action(MonotonicTime(0.0))
    e.on_leader_key_read(Item("lead", {"node": "n1"}, Revision(9), LeaseId(3)), MonotonicTime(0.0))
    assert (e.leader, e.token) == ("n1", 9)
    assert e.next_action(MonotonicTime(0.1)) is None


# -- prediction


def job(number: int, image: str, **changes: Any) -> Job:
    body = submission(f"wk-{number:06d}", kit=image, **changes)
    return Job(users.parse_submission(body), 100, MonotonicTime(float(number)))


def train(p: Predictor, images: str, outcomes: str) -> list[Job]:
    jobs = [job(i, image) for i, image in enumerate(images)]
    for j in jobs:
        p.on_job_ready(j)
    for j, outcome in zip(jobs, outcomes, strict=False):
        p.on_stream_job_ended(j, users.DONE if outcome == "d" else users.CANCELLED)
    return jobs


@pytest.mark.parametrize(
    ("outcomes", "expected"),
    [("dddddddd", "b"), ("xxxxxxxx", "b"), ("dxdxdxdx", "b"), ("ddxxddxx", None)],
)
def test_two_thresholds(outcomes: str, expected: str | None) -> None:
    """The path (a) is left done at 60% or more, aborted at 40% or less; between, nothing."""
    p = Predictor(load_tuning(values={"path_length": 1}))
    train(p, "abababab", outcomes)
    assert p.predict("t2", "slow", ("a",)) == expected


def test_path_tells_branches_apart() -> None:
    p = Predictor(load_tuning(values={"path_length": 2}))
    train(p, "abcxbyabcxbyabcxby", "d" * 18)
    assert p.predict("t2", "slow", ("a", "b")) == "c"
    assert p.predict("t2", "slow", ("x", "b")) == "y"
    assert p.predict("t2", "slow", ("y", "y")) is None


@pytest.mark.parametrize(("load", "depth"), [(0.5, 6), (0.75, 5), (0.9, 4)])
def test_depth_falls_with_load(load: float, depth: int) -> None:
    p = Predictor(load_tuning(values={"path_length": 1}))
    jobs = train(p, "ab" * 12, "d" * 14)
    for j in jobs[14:]:
        p.reserve_for_stream(j, 1.0, ReservationWindow(10.0, load, MonotonicTime(30.0)))
    assert len(p.soft_reservations) == depth


def test_bookings_are_made_late_taken_up_and_returned() -> None:
    p = Predictor(load_tuning(values={"path_length": 1}))
    jobs = train(p, "ababab", "ddddd")
    p.reserve_for_stream(jobs[5], 30.0, ReservationWindow(10.0, 0.0, MonotonicTime(10.0)))
    assert not p.soft_reservations, "more than a boot ahead"
    p.reserve_for_stream(jobs[5], 5.0, ReservationWindow(10.0, 0.0, MonotonicTime(10.0)))
    assert [b.image for b in p.soft_reservations] == ["a"]
    assert p.reserved_cpus() == pytest.approx((0.0, 12.0))
    p.on_job_ready(job(20, "a"))
    assert (p.hits, p.misses, p.soft_reservations) == (1, 0, [])
    p.reserve_for_stream(jobs[5], 5.0, ReservationWindow(10.0, 0.0, MonotonicTime(10.0)))
    p.on_job_ready(job(21, "z"))
    assert (p.hits, p.misses, p.soft_reservations) == (1, 1, [])
    p.reserve_for_stream(jobs[5], 5.0, ReservationWindow(10.0, 0.0, MonotonicTime(10.0)))
    p.expire(MonotonicTime(99.0))
    assert (p.expired, p.soft_reservations) == (1, [])


# -- order

NONE = ServiceLevelObjectives({}, {})


def test_order_of_jobs() -> None:
    registry, fleet = JobRegistry(), MachineInventory()
    teams = parse_platform(PLATFORM).teams
    rows: list[dict[str, Any]] = [
        {"urgency": "idle", "crew": "t1"},
        {"urgency": "standard", "crew": "t2", "dueS": 100.0},
        {"urgency": "standard", "crew": "t2", "dueS": 50.0},
        {"urgency": "urgent", "crew": "t2"},
    ]
    for i, changes in enumerate(rows):
        spec = users.parse_submission(submission(f"wk-{i:06d}", **changes))
        registry.add(spec, 100, MonotonicTime(0.0))
    fleet.cpus_by_team["t2"] = 40.0
    ordered = order_jobs(
        list(registry.jobs.values()),
        QueueOrderContext(
            fleet,
            teams,
            NONE,
            lambda p, s: 100.0,
            lambda j: 6.0,
            lambda j: 6.0,
        ),
        MonotonicTime(1.0),
    )
    assert [j.id[-1] for j in ordered] == ["3", "2", "1", "0"]


def test_overload_sets_the_largest_aside() -> None:
    """By promise alone the large job would come first and make the three small ones late."""
    registry = JobRegistry()
    for i, tasks in enumerate((400, 10, 10, 10)):
        body = submission(f"wk-{i:06d}", parcels=tasks, dueS=40.0 + i)
        registry.add(users.parse_submission(body), 100, MonotonicTime(0.0))
    ordered = order_jobs(
        list(registry.jobs.values()),
        QueueOrderContext(
            MachineInventory(),
            parse_platform(PLATFORM).teams,
            NONE,
            lambda p, s: 16.0,
            lambda j: 6.0,
            lambda j: 6.0,
        ),
        MonotonicTime(1.0),
    )
    assert [j.id[-1] for j in ordered] == ["1", "2", "3", "0"]
    assert [j.is_deferred for j in ordered] == [False, False, False, True]


def test_jobs_for_ordinary_machines_are_judged_by_those() -> None:
    """Seen on a rough day: a burst of urgent arrays that may use nothing else found a large fleet
    of spot machines, so none was deferred, and all were late together."""
    registry = JobRegistry()
    rows: list[dict[str, Any]] = [
        {"parcels": 400, "dueS": 40.0},
        {"parcels": 10, "dueS": 41.0},
        {"parcels": 10, "dueS": 42.0},
        {"parcels": 400, "dueS": 43.0, "loaners": True},
    ]
    for i, changes in enumerate(rows):
        body = submission(f"wk-{i:06d}", **({"loaners": False} | changes))
        registry.add(users.parse_submission(body), 100, MonotonicTime(0.0))
    ordered = order_jobs(
        list(registry.jobs.values()),
        QueueOrderContext(
            MachineInventory(),
            parse_platform(PLATFORM).teams,
            NONE,
            lambda p, spot: 1000.0 if spot else 16.0,
            lambda j: 6.0,
            lambda j: 6.0,
        ),
        MonotonicTime(1.0),
    )
    assert [j.id[-1] for j in ordered] == ["1", "2", "0", "3"]
    assert [j.is_deferred for j in ordered] == [False, False, True, False]


def test_fetches_on_one_machine_share_its_rate() -> None:
    """A machine that fetches already is a worse place for a task that must fetch another image."""
    registry, fleet = JobRegistry(), MachineInventory()
    kind = cloud.parse_catalog(CATALOG)["big"]
    now = MonotonicTime(0.0)
    busy, idle = (
        fleet.add(MachineId(n), kind, "b", True, MachineState.UP, now, now) for n in ("n-1", "n-2")
    )
    spec = users.parse_submission(submission("wk-000001", kit="one", imageGb=3.0))
    p = registry.add_placement(registry.add(spec, 100, now), 0, busy.id, now)
    fleet.allocate(busy, p)
    other = users.parse_submission(submission("wk-000002", kit="two", imageGb=2.0))
    assert score(other, busy) > score(other, idle)
    assert score(spec, busy) < score(spec, idle), "one fetch serves both"
    fleet.record_image_use(busy, "two", 2.0)
    assert score(other, busy) < score(other, idle)


# -- health


@pytest.mark.parametrize(
    ("ready", "failing_s", "peer_served_ago_s", "expected"),
    [
        (False, 0.0, 1e9, False),
        (True, 0.0, 1e9, True),
        (True, 30.0, 1e9, True),  # an outage for everybody
        (True, 1.0, 0.5, True),  # a moment's refusal
        (True, 5.0, 0.5, False),  # refused alone
    ],
)
def test_could_serve(
    ready: bool, failing_s: float, peer_served_ago_s: float, expected: bool
) -> None:
    assert is_healthy(ready, failing_s, peer_served_ago_s) is expected


# -- tokens


def test_bucket_keeps_a_reserve() -> None:
    b = TokenBucket(10.0, 10.0, MonotonicTime(0.0))
    assert all(b.try_take(MonotonicTime(0.0), 1, 0.3) for _ in range(7))
    assert not b.try_take(MonotonicTime(0.0), 1, 0.3)
    assert b.try_take(MonotonicTime(0.0), 3, 0.0)
    assert not b.try_take(MonotonicTime(0.05), 1)
    assert b.try_take(MonotonicTime(0.1), 1)
    b.force_take(MonotonicTime(0.1), 5)
    assert b.available(MonotonicTime(0.5)) < 1
    assert b.available(MonotonicTime(100.0)) == 10


def test_promises_count_back_to_a_start() -> None:
    p = ServiceLevelObjectives({"slow": (8.0, 20.0)}, {"slow": (60.0,)}, {"slow": (1.0, 1.5)})
    late = job(1, "a", dueS=30.0)
    assert p.latest_start_times(late, 12.0) == [9.0, 19.0, 21.0, 34.0, 49.0]
    assert p.preemption_allowed_at(late, 3.0, 5.0) == pytest.approx(1.0 + 0.55 * 8.0)
    assert p.preemption_allowed_at(late, 6.0, 5.0) == pytest.approx(1.0 + 2.0)
    assert ServiceLevelObjectives({}, {}).preemption_allowed_at(late, 3.0, 5.0) == 6.0


def test_demand_is_expected_while_submissions_come() -> None:
    """What a window has seen is expected again; after the last submission the fleet goes."""
    rental = Autoscaler(
        load_tuning(
            values={"demand_memory_s": 60, "pause_s": 20, "demand_spread": 1, "waiting_share": 1}
        ),
        {},
    )
    burst = job(1, "a", parcels=50)
    for t in range(0, 20, 2):
        rental.record_arrival(MonotonicTime(float(t)))
        rental.update_demand([burst], (0.0, 0.0), MonotonicTime(float(t)))
    rental.record_arrival(MonotonicTime(20.0))
    rental.update_demand([], (0.0, 0.0), MonotonicTime(30.0))
    assert 90.0 < rental.total_forecast.expected_cpus < 150.0
    rental.update_demand([], (0.0, 0.0), MonotonicTime(43.0))
    assert rental.total_forecast.expected_cpus > 70.0, "twelve usual gaps have not passed"
    rental.update_demand([], (0.0, 0.0), MonotonicTime(46.0))
    assert rental.total_forecast.expected_cpus == 0.0


def test_steady_demand_needs_little_beyond_itself() -> None:
    rental = Autoscaler(
        load_tuning(values={"headroom_share": 0.05, "demand_spread": 1.0, "waiting_share": 1.0}), {}
    )
    for t in range(60):
        rental.record_arrival(MonotonicTime(float(t)))
        rental.update_demand([job(1, "a", parcels=500)], (0.0, 0.0), MonotonicTime(float(t)))
    assert rental.target_cpus()[1] == pytest.approx(1050.0)
