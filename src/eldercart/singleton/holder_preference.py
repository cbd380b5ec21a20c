"""Which node should hold a named lease, so that leases are spread over the nodes and stay there."""

from collections.abc import Collection
from enum import Enum

from eldercart.singleton.lease_directory import DirectorySnapshot
from eldercart.units import NodeId
from eldercart.wire.named_leases import LeaseName


class Affinity(Enum):
    """Which nodes can hold a named lease, by what its holder has to know."""

    LEADER = "leader"  # what only the leader knows: demand, the machines, what may still run
    ANY = "any"  # nothing that the cloud and the state service do not tell


AFFINITY = {
    LeaseName.SCALE_OUT: Affinity.LEADER,
    LeaseName.SCALE_IN: Affinity.LEADER,
    LeaseName.CLEANUP: Affinity.LEADER,
    LeaseName.CATALOG: Affinity.ANY,
}

MIN_IMBALANCE = 2  # leases that a holder must have beyond another node before it gives one up


def node_load(node: NodeId, leader: NodeId | None, snapshot: DirectorySnapshot) -> int:
    """Return how many named leases the node holds. Leadership counts as one, or the leader would
    seem idle before it holds its own leases."""
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
    """Return how many candidates are preferred to the node: those with less load, then by name."""
    own_rank = (node_load(node, leader, snapshot), node)
    return sum(1 for other in candidates if (node_load(other, leader, snapshot), other) < own_rank)


def is_overloaded(
    node: NodeId, candidates: Collection[NodeId], leader: NodeId | None, snapshot: DirectorySnapshot
) -> bool:
    """Return whether the node should give a lease up to a less loaded one. A difference of one does
    not count: the lease would only change sides."""
    other_loads = [
        node_load(candidate, leader, snapshot) for candidate in candidates if candidate != node
    ]
    return (
        bool(other_loads) and node_load(node, leader, snapshot) >= min(other_loads) + MIN_IMBALANCE
    )
