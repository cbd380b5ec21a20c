"""Which node should hold a duty, so that duties are spread over the nodes and do not wander."""

from collections.abc import Collection
from enum import Enum

from eldercart.singleton.lease_directory import Snapshot
from eldercart.units import NodeId
from eldercart.wire.named_leases import DutyName


class Affinity(Enum):
    """What a duty works on decides who can hold it."""

    LEADER = "leader"  # on what only the leader knows: demand, the fleet, what may still run
    ANY = "any"  # on nothing but the cloud and the state service


AFFINITY = {
    DutyName.RENTAL: Affinity.LEADER,
    DutyName.RETURN: Affinity.LEADER,
    DutyName.CLEANUP: Affinity.LEADER,
    DutyName.CATALOG: Affinity.ANY,
}

BALANCE = 2  # duties that a holder must have beyond another node before it gives one up


def load_of(node: NodeId, leader: NodeId | None, snapshot: Snapshot) -> int:
    """How many duties the node holds. Leadership counts as one, or the leader would seem idle
    before it holds its own."""
    held = sum(
        1
        for duty, entry in snapshot.items()
        if AFFINITY[duty] is Affinity.ANY and entry.holder is not None and entry.holder.node == node
    )
    return held + (1 if node == leader else 0)


def rank(
    node: NodeId, candidates: Collection[NodeId], leader: NodeId | None, snapshot: Snapshot
) -> int:
    """How many candidates are to be preferred to the node: the least loaded, then by name."""
    mine = (load_of(node, leader, snapshot), node)
    return sum(1 for other in candidates if (load_of(other, leader, snapshot), other) < mine)


def is_overloaded(
    node: NodeId, candidates: Collection[NodeId], leader: NodeId | None, snapshot: Snapshot
) -> bool:
    """Whether the node should give a duty up. A difference of one is none: the duty would only
    change sides."""
    others = [load_of(c, leader, snapshot) for c in candidates if c != node]
    return bool(others) and load_of(node, leader, snapshot) >= min(others) + BALANCE
