"""Which node should hold a duty, so that duties are spread over the nodes and do not wander."""

from collections.abc import Collection
from enum import Enum

from eldercart.singleton.lease_directory import DirectorySnapshot
from eldercart.units import NodeId
from eldercart.wire.named_leases import LeaseName


class Affinity(Enum):
    """What a duty works on decides who can hold it."""

    LEADER = "leader"  # on what only the leader knows: demand, the fleet, what may still run
    ANY = "any"  # on nothing but the cloud and the state service


AFFINITY = {
    LeaseName.SCALE_OUT: Affinity.LEADER,
    LeaseName.SCALE_IN: Affinity.LEADER,
    LeaseName.CLEANUP: Affinity.LEADER,
    LeaseName.CATALOG: Affinity.ANY,
}

MIN_IMBALANCE = 2  # duties that a holder must have beyond another node before it gives one up


def node_load(node: NodeId, leader: NodeId | None, snapshot: DirectorySnapshot) -> int:
    """How many duties the node holds. Leadership counts as one, or the leader would seem idle
    before it holds its own."""
    held = sum(
        1
        for duty, entry in snapshot.items()
        if AFFINITY[duty] is Affinity.ANY and entry.holder is not None and entry.holder.node == node
    )
    return held + (1 if node == leader else 0)


def candidate_rank(
    node: NodeId, candidates: Collection[NodeId], leader: NodeId | None, snapshot: DirectorySnapshot
) -> int:
    """How many candidates are to be preferred to the node: the least loaded, then by name."""
    mine = (node_load(node, leader, snapshot), node)
    return sum(1 for other in candidates if (node_load(other, leader, snapshot), other) < mine)


def is_overloaded(
    node: NodeId, candidates: Collection[NodeId], leader: NodeId | None, snapshot: DirectorySnapshot
) -> bool:
    """Whether the node should give a duty up. A difference of one is none: the duty would only
    change sides."""
    others = [node_load(c, leader, snapshot) for c in candidates if c != node]
    return bool(others) and node_load(node, leader, snapshot) >= min(others) + MIN_IMBALANCE
