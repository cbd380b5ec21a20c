"""Ranks nodes as holders of named leases: spreads the leases evenly and rarely moves them."""

from collections.abc import Collection
from enum import Enum

from eldercart.singleton.lease_directory import DirectorySnapshot
from eldercart.units import NodeId
from eldercart.wire.named_leases import LeaseName


class Affinity(Enum):
    """Which nodes can hold a named lease, by the state that its holder needs."""

    LEADER = "leader"  # needs state of the leader: demand, machines, tasks that may still run
    ANY = "any"  # needs only what any node can read from the cloud and the state service


AFFINITY = {
    LeaseName.SCALE_OUT: Affinity.LEADER,
    LeaseName.SCALE_IN: Affinity.LEADER,
    LeaseName.CLEANUP: Affinity.LEADER,
    LeaseName.CATALOG: Affinity.ANY,
}

# A holder releases a lease if its load exceeds that of another node by at least this many leases.
MIN_IMBALANCE = 2


def node_load(node: NodeId, leader: NodeId | None, snapshot: DirectorySnapshot) -> int:
    """Return how many leases of `Affinity.ANY` the node holds, plus one for the leader.

    Leadership counts as one lease because the leader would otherwise appear idle until it has
    acquired its own leases.
    """
    held_leases = sum(
        1
        for lease_name, entry in snapshot.items()
        if AFFINITY[lease_name] is Affinity.ANY
        and entry.holder is not None
        and entry.holder.node == node
    )
    return held_leases + (1 if node == leader else 0)


def candidate_rank(
    node: NodeId, candidates: Collection[NodeId], leader: NodeId | None, snapshot: DirectorySnapshot
) -> int:
    """Return how many candidates rank before the node. They are ordered by load, then by name."""
    own_rank = (node_load(node, leader, snapshot), node)
    return sum(1 for other in candidates if (node_load(other, leader, snapshot), other) < own_rank)


def is_overloaded(
    node: NodeId, candidates: Collection[NodeId], leader: NodeId | None, snapshot: DirectorySnapshot
) -> bool:
    """Return whether the node should release a lease so that a less loaded node can acquire it.

    A difference of one lease is ignored: moving a lease would only reverse the imbalance.
    """
    other_loads = [
        node_load(candidate, leader, snapshot) for candidate in candidates if candidate != node
    ]
    return (
        bool(other_loads) and node_load(node, leader, snapshot) >= min(other_loads) + MIN_IMBALANCE
    )
