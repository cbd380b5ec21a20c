"""Real processes on loopback that are stopped and continued, with clocks that lie: nothing is
accepted from a holder that was replaced.

No verdict hangs on how long anything takes: each wait ends when its condition holds."""

import copy
import shutil
from collections.abc import Callable, Iterator
from pathlib import Path

import orjson
import pytest

from duty_cluster import FEATURES, Cluster, StallPoint
from duty_history import AppliedChange, CloudEffect, History, NodeEvent, check_history
from eldercart.cli import main
from region import ROOT, call, until
from versions import history, record

ROUNDS = 2


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[Cluster]:
    cluster = Cluster(tmp_path, has_false_clocks=True)
    yield cluster
    cluster.close()


def test_a_holder_that_stalls_anywhere_does_nothing_more(cluster: Cluster) -> None:
    """Its steady clock stands still meanwhile, so it still believes in its lease; the times of day
    of the nodes are hours apart."""
    region = cluster.region
    cluster.wait_for_holders()
    for _ in range(ROUNDS):
        for point in StallPoint:
            refused = region.history.rejected
            cluster.stall_at(point)
            if point is StallPoint.BEFORE_WRITE:
                until(lambda before=refused: region.history.rejected > before)
            effects = cluster.effects()
            until(lambda before=effects: cluster.effects() > before)
    with region.lock:
        check_history(region.history, "node")
        assert region.history.rejected >= ROUNDS


def show(cluster: Cluster, label: str, duty: str) -> dict[str, object]:
    body = call(cluster.user_addresses[label], "GET", f"/duties/{duty}")[1]
    answer: dict[str, object] = orjson.loads(body) if body else {}
    return answer


def test_commands_against_any_node(cluster: Cluster, capsys: pytest.CaptureFixture[str]) -> None:
    region = cluster.region
    cluster.wait_for_holders()

    servers = [cluster.user_addresses["node-0"]]  # the last one is asked

    def run(*args: str) -> tuple[int, str, str]:
        status = main(["duties", args[0], "--server", servers[-1], "--timeout", "1", *args[1:]])
        out = capsys.readouterr()
        return status, out.out, out.err

    for front in cluster.user_addresses.values():
        servers.append(front)
        until(lambda: run("list")[0] == 0)
        lines = run("list")[1].splitlines()
        assert [line.split()[0] for line in lines] == ["rental", "return", "cleanup", "catalog"]
        until(lambda: f"{cluster.holder('rental')} token=" in run("show", "rental")[1])
    # A pause is durable, and known everywhere.
    until(lambda: run("pause", "return", "--reason", "audit")[0] == 0)
    status, _, error = run("pause", "return")
    assert status == 1 and "paused already: audit" in error
    assert run("hand-over", "return", "--to", "node-1")[0] == 1
    until(lambda: cluster.holder("return") is None)
    assert "held by nobody: paused: audit" in run("show", "return")[1]
    assert run("resume", "return")[0] == 0
    assert "is not paused" in run("resume", "return")[2]
    until(lambda: cluster.holder("return") is not None)
    # A duty that any node can hold is handed over alone; one of the leader takes it along.
    to = next(label for label in cluster.node_ids if label != cluster.holder("catalog"))
    until(lambda: run("hand-over", "catalog", "--to", to)[0] == 0)
    until(lambda: cluster.holder("catalog") == to)
    to = next(label for label in cluster.node_ids if label != cluster.leader())
    until(lambda: run("hand-over", "rental", "--to", to)[0] == 0)
    until(lambda: cluster.leader() == cluster.holder("rental") == to)
    # What can't be done is said in one line.
    for command, expected in (
        (("show", "cooking"), "no such duty"),
        (("hand-over", "rental", "--to", "node-9"), "no such node"),
        (("hand-over", "rental", "--to", to), "already"),
    ):
        status, out, error = run(*command)
        assert status == 1 and expected in error and out == "", command
        assert len(error.splitlines()) == 1
    # Without the state service: at once, and to be tried again.
    label = cluster.node_ids[0]
    servers.append(cluster.user_addresses[label])
    region.refused_nodes.add(label)
    until(lambda: call(servers[-1], "GET", "/duties")[0] == 503)
    status, _, error = run("list")
    assert status == 3 and "the state service does not answer" in error
    region.refused_nodes.clear()
    with region.lock:
        check_history(region.history, "node")


def test_the_switch_is_flipped_node_by_node(tmp_path: Path) -> None:
    """There and back: while a node does not take part, the leader does everything without tokens;
    what was recorded before is finished."""
    cluster = Cluster(tmp_path, features=None)
    try:
        effects = cluster.effects()
        until(lambda: cluster.effects() > effects)
        assert not any(key.startswith(("duty/", "intent/")) for key in cluster.region.store.keys)
        first = cluster.user_addresses["node-0"]
        until(lambda: call(first, "GET", "/healthz")[0] == 200)  # another may have led before
        assert call(first, "GET", "/duties")[0] == 404
        assert main(["duties", "list", "--server", cluster.user_addresses["node-0"]]) == 1
        for label in cluster.node_ids:
            assert not cluster.holder("rental"), "not before every node takes part"
            cluster.replace(label, FEATURES)
        cluster.wait_for_holders()
        until(lambda: any(k.startswith("intent/") for k in cluster.region.store.keys))
        # Back: the first node without the feature ends the duties.
        follower = next(label for label in cluster.node_ids if label != cluster.leader())
        cluster.replace(follower, None)
        until(lambda: not any(cluster.holder(d) for d in ("rental", "return", "catalog")))
        effects = cluster.effects()
        until(lambda: cluster.effects() > effects)
        # And forth again, with one duty only.
        some = copy.deepcopy(FEATURES)
        some["duties"]["on"] = ["return"]
        cluster.replace(follower, some)
        until(lambda: cluster.holder("return") is not None)
        assert cluster.holder("rental") is None and cluster.holder("catalog") is None
    finally:
        cluster.close()


@pytest.mark.parametrize("short", record.VERSIONS)
def test_an_earlier_version_stands_beside(short: str, tmp_path: Path) -> None:
    """It knows no duties, and works on while they come into force and end around it."""
    earlier = history.tree(short)
    shutil.copy(ROOT / "run.py", earlier)
    (earlier / "target").mkdir(exist_ok=True)
    if not (earlier / "target" / "deps").exists():
        (earlier / "target" / "deps").symlink_to(ROOT / "target" / "deps")
    cluster = Cluster(tmp_path)
    try:
        cluster.wait_for_holders()
        for label in (cluster.leader() or "", cluster.node_ids[0]):
            cluster.replace(label, None, earlier)
            until(lambda: not any(cluster.holder(d) for d in ("rental", "return", "catalog")))
            for _ in range(3):
                effects = cluster.effects()
                until(lambda before=effects: cluster.effects() > before)
            assert call(cluster.user_addresses[label], "GET", "/duties")[0] == 404
            cluster.replace(label, FEATURES)
            cluster.wait_for_holders()
    finally:
        cluster.close()


def direct_rental() -> History:
    """A leader that has not heard all nodes since its start rents without an intent."""
    return History(
        applied=[AppliedChange(2.0, "node-0", 1, [{"put": "lead", "v": {"node": "node-0"}}])],
        effects=[CloudEffect(5.0, "node-0", "r-1", "rent")],
        starts=[NodeEvent(1.0, "node-0"), NodeEvent(1.0, "node-1")],
    )


def change(at: float, sender: str, **write: object) -> AppliedChange:
    return AppliedChange(at, sender, int(at), [write])


def test_the_checker_allows_what_is_done_before_all_nodes_are_heard() -> None:
    check_history(direct_rental(), "node")
    later = direct_rental()
    later.applied.append(change(6.0, "node-0", put="duty/holder/rental", v={"node": "node-0"}))
    later.support_confirmations.append(NodeEvent(6.0, "node-0"))
    check_history(later, "node")
    restarted = direct_rental()
    restarted.support_confirmations.append(NodeEvent(0.5, "node-0"))
    check_history(restarted, "node")


@pytest.mark.parametrize(
    "spoil",
    [
        pytest.param(lambda h: h.starts.clear(), id="it knows all nodes from the first"),
        pytest.param(
            lambda h: h.support_confirmations.append(NodeEvent(4.0, "node-0")),
            id="it has heard them",
        ),
        pytest.param(
            lambda h: h.applied.append(
                change(4.0, "node-0", put="duty/holder/catalog", v={"node": "node-0"})
            ),
            id="it has asked for a duty",
        ),
        pytest.param(lambda h: h.applied.clear(), id="it does not lead"),
        pytest.param(
            lambda h: h.applied.append(change(4.0, "", delete="lead")), id="its lease has ended"
        ),
        pytest.param(
            lambda h: h.applied.append(change(4.0, "node-1", put="lead", v={"node": "node-1"})),
            id="another node leads",
        ),
        pytest.param(
            lambda h: h.starts.append(NodeEvent(3.0, "node-0")), id="it led before its restart"
        ),
    ],
)
def test_the_checker_finds_a_rental_without_an_intent(spoil: Callable[[History], None]) -> None:
    history = direct_rental()
    spoil(history)
    with pytest.raises(AssertionError, match="without an intent"):
        check_history(history, "node")


def test_all_nodes_die_with_intents_open(cluster: Cluster) -> None:
    """What is recorded is finished by whoever leads next, under the same names."""
    region = cluster.region
    cluster.wait_for_holders()
    with region.lock:
        region.is_cloud_failing = True
    until(lambda: any(region.open_intents(duty) for duty in ("rental", "return")))
    names = {name for duty in ("rental", "return") for name in region.open_intents(duty)}
    for label in cluster.node_ids:
        cluster.kill(label)
    with region.lock:
        region.is_cloud_failing = False
    for label in cluster.node_ids:
        cluster.start(label)
    cluster.wait_for_holders()
    until(lambda: not names & set(region.open_intents("rental") + region.open_intents("return")))
    with region.lock:
        done = {effect.name for effect in region.history.effects}
        assert names <= done, "each took effect"
        check_history(region.history, "node")
