"""Whether this node may hold a named lease: the rules, and what they judge by."""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from eldercart.singleton.holder_preference import AFFINITY, Affinity, is_overloaded
from eldercart.singleton.lease_directory import DirectorySnapshot, LeaseEntry
from eldercart.units import NO_FENCING_TOKEN, FencingToken, MonotonicTime, NodeId, WallTime
from eldercart.wire.named_leases import LeaseName


class IneligibilityReason(Enum):
    """Why this node may not hold a named lease, or not go on holding it."""

    DISABLED = "disabled"  # switched off on this node, or the node is shutting down
    NOT_SUPPORTED_BY_ALL = "not_supported_by_all"  # some node does not take part in it
    PAUSED = "paused"
    NOT_LEADER = "not_leader"  # only the leader may hold it
    BEING_HANDED_OVER = "being_handed_over"  # to another node
    LAGGING = "lagging"  # the event loop of this node is late
    UNBALANCED = "unbalanced"  # another node holds fewer named leases


@dataclass(frozen=True, slots=True)
class ClusterView:
    """What a node knows beside the stored keys, when it decides."""

    now: MonotonicTime
    wall_time: WallTime
    leader: NodeId | None = None  # as far as this node knows
    leader_token: FencingToken = NO_FENCING_TOKEN  # under which this node leads; 0: it does not
    supported_leases: Collection[LeaseName] = ()  # in which every node takes part
    candidates: Collection[NodeId] = ()  # nodes that are reachable, this one included
    busy_leases: Collection[LeaseName] = ()  # with work in flight on this node
    is_lagging: bool = False  # the event loop of this node is late
    is_shutting_down: bool = False


@dataclass(frozen=True, slots=True)
class EligibilityRules:
    """The rules for one node. A lease that was acquired is not given up for balance before
    `min_hold_s` seconds."""

    node_id: NodeId
    lease_names: frozenset[LeaseName]  # in which this node takes part
    min_hold_s: float

    def find_ineligibility(
        self,
        lease_name: LeaseName,
        entry: LeaseEntry,
        snapshot: DirectorySnapshot,
        view: ClusterView,
        *,
        is_reserved: bool,
        held_since: MonotonicTime | None,
    ) -> IneligibilityReason | None:
        """Return why this node may not hold the lease, or None if it may. `entry`: what is known of
        it, `snapshot`: of all leases; `is_reserved`: another node is to get it by a hand-over;
        `held_since`: when this node acquired it, if it did."""
        if lease_name not in self.lease_names or view.is_shutting_down:
            return IneligibilityReason.DISABLED
        if lease_name not in view.supported_leases:
            return IneligibilityReason.NOT_SUPPORTED_BY_ALL
        if entry.is_paused:
            return IneligibilityReason.PAUSED
        affinity = AFFINITY[lease_name]
        if affinity is Affinity.LEADER and view.leader_token == NO_FENCING_TOKEN:
            return IneligibilityReason.NOT_LEADER
        if is_reserved:
            return IneligibilityReason.BEING_HANDED_OVER
        if affinity is Affinity.ANY:
            return self._find_preference(snapshot, view, held_since)
        return None

    def _find_preference(
        self, snapshot: DirectorySnapshot, view: ClusterView, held_since: MonotonicTime | None
    ) -> IneligibilityReason | None:
        """Return why another node should hold a lease that any node can hold."""
        if view.is_lagging:
            return IneligibilityReason.LAGGING
        if held_since is None or view.now - held_since < self.min_hold_s:
            return None
        if is_overloaded(self.node_id, view.candidates, view.leader, snapshot):
            return IneligibilityReason.UNBALANCED
        return None
