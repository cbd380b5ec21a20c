"""Hundreds of machines, and what befalls many of them in the same second."""

from collections.abc import Callable

import pytest

from relay_world import RelayWorld
from test_core import finish

MACHINES = 240


def all_sessions_rise(w: RelayWorld) -> None:
    for m in w.cloud.machines.values():
        m.answered = -1e9


def a_third_dies(w: RelayWorld) -> None:
    for i, m in enumerate(list(w.cloud.machines.values())):
        if i % 3 == 0:
            m.hangs_until = 1e9


def a_zone_falls_silent_and_comes_back(w: RelayWorld) -> None:
    for m in w.cloud.machines.values():
        if m.zone == "b":
            m.hangs_until = w.now + 1.5 * w.settings.lease_s


def all_nodes_restart(w: RelayWorld) -> None:
    for i in range(w.nodes):
        w.crash(i)


def nodes_restart_in_turn(w: RelayWorld) -> None:
    for i in range(w.nodes):
        w.crash(i)
        w.run(3)


def one_node_remains(w: RelayWorld) -> None:
    w.crash(w.leader)
    keep = w.leader
    for i in range(w.nodes):
        if i != keep:
            w.relays[i] = w.new_relay(i)
            w.cut.add(i)


def spot_machines_are_taken(w: RelayWorld) -> None:
    for m in list(w.cloud.machines.values()):
        if m.spot:
            m.notice = 5.0


def all_leaders_die_and_a_third_of_the_machines(w: RelayWorld) -> None:
    a_third_dies(w)
    for _ in range(3):
        w.crash(w.leader)
        w.run(1)


@pytest.mark.parametrize(
    "event",
    [
        all_sessions_rise,
        a_third_dies,
        a_zone_falls_silent_and_comes_back,
        all_nodes_restart,
        nodes_restart_in_turn,
        one_node_remains,
        spot_machines_are_taken,
        all_leaders_die_and_a_third_of_the_machines,
    ],
)
def test_mass_event(event: Callable[[RelayWorld], None]) -> None:
    """The rules are looked at in every step. Afterwards all work ends, and few machines that came
    through it were deleted for it: none that reported all the while."""
    w = RelayWorld(11, capacity=MACHINES)
    for i in range(12):
        w.submit(f"wk-{i:06d}", run_s=25.0, parcels=100, cpus=2.0, loaners=i % 2 == 0)
    w.run(16)
    assert len(w.cloud.machines) > MACHINES * 0.8
    well = set(w.cloud.machines)
    event(w)
    hurt = {name for name, m in w.cloud.machines.items() if m.hangs_until > w.now or m.notice}
    w.run(12)
    if event is one_node_remains:
        at = {w.at[name] for name in w.cloud.machines if name in w.at}
        assert at == {w.leader}, "some did not find the node that is left"
    assert well - hurt <= set(w.cloud.machines), "a healthy machine was deleted"
    finish(w, 200.0)
    assert set(w.told.values()) == {"done"} and len(w.told) == 12
