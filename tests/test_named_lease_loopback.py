"""Tests of several node processes on loopback, with named leases enabled.

Processes are stopped and continued, and their clocks are wrong: neither the state service nor the
cloud may accept anything from a lease holder that was replaced. No assertion depends on how long
a step takes; each wait ends when its condition holds."""

import copy
import shutil
from collections.abc import Callable, Iterator
from pathlib import Path

import orjson
import pytest

from eldercart.cli import main
from loopback_region import ROOT, call, wait_until
from named_lease_cluster import FEATURES, Cluster, StallPoint
from named_lease_history import AppliedChange, CloudEffect, History, NodeEvent, check_history
from versions import history, record

ROUNDS = 2  # stalls at each point


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    cluster = Cluster(tmp_path, has_faulty_clocks=True)
    yield cluster
    cluster.close()


def test_stalled_holder_has_no_effect_after_its_replacement(cluster: Cluster) -> None:
    """The holder's monotonic clock does not advance while it is stopped, so it still acts as the
    holder afterwards. The wall clocks of the nodes differ by hours."""
    region = cluster.region
    cluster.wait_for_holders()
    for _ in range(ROUNDS):
        for point in StallPoint:
            refused = region.history.rejected
            cluster.stall_at(point)
            if point is StallPoint.BEFORE_WRITE:
                wait_until(lambda before=refused: region.history.rejected > before)
            effects = cluster.count_effects()
            wait_until(lambda before=effects: cluster.count_effects() > before)
    with region.lock:
        check_history(region.history, "node")
        assert region.history.rejected >= ROUNDS


def show(cluster: Cluster, node_id: str, lease_name: str) -> dict[str, object]:
    body = call(cluster.user_addresses[node_id], "GET", f"/duties/{lease_name}")[1]
    answer: dict[str, object] = orjson.loads(body) if body else {}
    return answer


def test_operator_commands_work_on_any_node(
    cluster: Cluster, capsys: pytest.CaptureFixture[str]
) -> None:
    region = cluster.region
    cluster.wait_for_holders()

    servers = [cluster.user_addresses["node-0"]]  # `run` sends its command to the last one

    def run(*args: str) -> tuple[int, str, str]:
        status = main(["duties", args[0], "--server", servers[-1], "--timeout", "1", *args[1:]])
        out = capsys.readouterr()
        return status, out.out, out.err

    for user_address in cluster.user_addresses.values():
        servers.append(user_address)
        wait_until(lambda: run("list")[0] == 0)
        lines = run("list")[1].splitlines()
        assert [line.split()[0] for line in lines] == ["rental", "return", "cleanup", "catalog"]
        wait_until(lambda: f"{cluster.holder('rental')} token=" in run("show", "rental")[1])
    # A pause is durable, and every node reports it.
    wait_until(lambda: run("pause", "return", "--reason", "audit")[0] == 0)
    status, _, error = run("pause", "return")
    assert status == 1 and "paused already: audit" in error
    assert run("hand-over", "return", "--to", "node-1")[0] == 1
    wait_until(lambda: cluster.holder("return") is None)
    assert "held by nobody: paused: audit" in run("show", "return")[1]
    assert run("resume", "return")[0] == 0
    assert "is not paused" in run("resume", "return")[2]
    wait_until(lambda: cluster.holder("return") is not None)
    # A lease that any node can hold is handed over alone; a lease that only the leader can hold is
    # handed over together with the leadership.
    receiver = next(node_id for node_id in cluster.node_ids if node_id != cluster.holder("catalog"))
    wait_until(lambda: run("hand-over", "catalog", "--to", receiver)[0] == 0)
    wait_until(lambda: cluster.holder("catalog") == receiver)
    receiver = next(node_id for node_id in cluster.node_ids if node_id != cluster.leader())
    wait_until(lambda: run("hand-over", "rental", "--to", receiver)[0] == 0)
    wait_until(lambda: cluster.leader() == cluster.holder("rental") == receiver)
    # A rejected command prints its reason in one line.
    for command, expected in (
        (("show", "cooking"), "no such duty"),
        (("hand-over", "rental", "--to", "node-9"), "no such node"),
        (("hand-over", "rental", "--to", receiver), "already"),
    ):
        status, out, error = run(*command)
        assert status == 1 and expected in error and out == "", command
        assert len(error.splitlines()) == 1
    # Without the state service, a command is rejected at once and may be retried.
    node_id = cluster.node_ids[0]
    servers.append(cluster.user_addresses[node_id])
    region.refused_nodes.add(node_id)
    wait_until(lambda: call(servers[-1], "GET", "/duties")[0] == 503)
    status, _, error = run("list")
    assert status == 3 and "the state service does not answer" in error
    region.refused_nodes.clear()
    with region.lock:
        check_history(region.history, "node")


def test_feature_is_enabled_and_disabled_node_by_node(tmp_path: Path) -> None:
    """The feature is enabled on all nodes and then disabled on one. While any node does not take
    part, the leader works without lease tokens, and finishes the recorded intents."""
    cluster = Cluster(tmp_path, features=None)
    try:
        effects = cluster.count_effects()
        wait_until(lambda: cluster.count_effects() > effects)
        assert not any(key.startswith(("duty/", "intent/")) for key in cluster.region.store.keys)
        first = cluster.user_addresses["node-0"]
        # The effects may come from another leader, before node-0 is ready.
        wait_until(lambda: call(first, "GET", "/healthz")[0] == 200)
        assert call(first, "GET", "/duties")[0] == 404
        assert main(["duties", "list", "--server", cluster.user_addresses["node-0"]]) == 1
        for node_id in cluster.node_ids:
            assert not cluster.holder("rental"), "no holder before every node takes part"
            cluster.replace(node_id, FEATURES)
        cluster.wait_for_holders()
        wait_until(lambda: any(k.startswith("intent/") for k in cluster.region.store.keys))
        # Without the feature on one node, no lease is held any more.
        follower = next(node_id for node_id in cluster.node_ids if node_id != cluster.leader())
        cluster.replace(follower, None)
        wait_until(lambda: not any(cluster.holder(d) for d in ("rental", "return", "catalog")))
        effects = cluster.count_effects()
        wait_until(lambda: cluster.count_effects() > effects)
        # That node then takes part in one lease only.
        one_lease = copy.deepcopy(FEATURES)
        one_lease["duties"]["on"] = ["return"]
        cluster.replace(follower, one_lease)
        wait_until(lambda: cluster.holder("return") is not None)
        assert cluster.holder("rental") is None and cluster.holder("catalog") is None
    finally:
        cluster.close()


@pytest.mark.parametrize("short", record.VERSIONS)
def test_earlier_version_runs_beside_nodes_with_named_leases(short: str, tmp_path: Path) -> None:
    """The earlier version does not support named leases. While one node runs it, no lease is held,
    and the cluster still creates and deletes machines."""
    earlier = history.tree(short)
    shutil.copy(ROOT / "run.py", earlier)
    (earlier / "target").mkdir(exist_ok=True)
    if not (earlier / "target" / "deps").exists():
        (earlier / "target" / "deps").symlink_to(ROOT / "target" / "deps")
    cluster = Cluster(tmp_path)
    try:
        cluster.wait_for_holders()
        for node_id in (cluster.leader() or "", cluster.node_ids[0]):
            cluster.replace(node_id, None, earlier)
            wait_until(lambda: not any(cluster.holder(d) for d in ("rental", "return", "catalog")))
            for _ in range(3):
                effects = cluster.count_effects()
                wait_until(lambda before=effects: cluster.count_effects() > before)
            assert call(cluster.user_addresses[node_id], "GET", "/duties")[0] == 404
            cluster.replace(node_id, FEATURES)
            cluster.wait_for_holders()
    finally:
        cluster.close()


def direct_rental() -> History:
    """Return a valid history: a leader that does not know yet whether all nodes take part rents
    without an intent."""
    return History(
        applied=[AppliedChange(2.0, "node-0", 1, [{"put": "lead", "v": {"node": "node-0"}}])],
        effects=[CloudEffect(5.0, "node-0", "r-1", "rent")],
        starts=[NodeEvent(1.0, "node-0"), NodeEvent(1.0, "node-1")],
    )


def change(at: float, sender: str, **write: object) -> AppliedChange:
    return AppliedChange(at, sender, int(at), [write])


def test_checker_allows_direct_rental_before_all_nodes_announced_support() -> None:
    check_history(direct_rental(), "node")
    later = direct_rental()
    later.applied.append(change(6.0, "node-0", put="duty/holder/rental", v={"node": "node-0"}))
    later.support_confirmations.append(NodeEvent(6.0, "node-0"))
    check_history(later, "node")
    restarted = direct_rental()
    restarted.support_confirmations.append(NodeEvent(0.5, "node-0"))
    check_history(restarted, "node")


@pytest.mark.parametrize(
    "break_history",
    [
        pytest.param(
            lambda h: h.starts.clear(), id="the node knows from the start that all nodes take part"
        ),
        pytest.param(
            lambda h: h.support_confirmations.append(NodeEvent(4.0, "node-0")),
            id="all nodes have announced support",
        ),
        pytest.param(
            lambda h: h.applied.append(
                change(4.0, "node-0", put="duty/holder/catalog", v={"node": "node-0"})
            ),
            id="the node has acquired a named lease",
        ),
        pytest.param(lambda h: h.applied.clear(), id="the node does not lead"),
        pytest.param(
            lambda h: h.applied.append(change(4.0, "", delete="lead")),
            id="the leader lease has ended",
        ),
        pytest.param(
            lambda h: h.applied.append(change(4.0, "node-1", put="lead", v={"node": "node-1"})),
            id="another node leads",
        ),
        pytest.param(
            lambda h: h.starts.append(NodeEvent(3.0, "node-0")),
            id="the node led before its restart",
        ),
    ],
)
def test_checker_detects_rental_without_an_intent(break_history: Callable[[History], None]) -> None:
    history = direct_rental()
    break_history(history)
    with pytest.raises(AssertionError, match="without an intent"):
        check_history(history, "node")


def test_open_intents_are_finished_after_all_nodes_were_killed(cluster: Cluster) -> None:
    """The next leader finishes the recorded intents under the same names."""
    region = cluster.region
    cluster.wait_for_holders()
    with region.lock:
        region.is_cloud_failing = True
    wait_until(lambda: any(region.open_intents(lease_name) for lease_name in ("rental", "return")))
    names = {
        name for lease_name in ("rental", "return") for name in region.open_intents(lease_name)
    }
    for node_id in cluster.node_ids:
        cluster.kill(node_id)
    with region.lock:
        region.is_cloud_failing = False
    for node_id in cluster.node_ids:
        cluster.start(node_id)
    cluster.wait_for_holders()
    wait_until(
        lambda: not names & set(region.open_intents("rental") + region.open_intents("return"))
    )
    with region.lock:
        done = {effect.name for effect in region.history.effects}
        assert names <= done, "each intent must have taken effect"
        check_history(region.history, "node")
