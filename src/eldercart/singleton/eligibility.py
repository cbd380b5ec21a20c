"""Rules that decide whether this node may hold a named lease, and their inputs."""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from eldercart.singleton.holder_preference import AFFINITY, Affinity, is_overloaded
from eldercart.singleton.lease_directory import DirectorySnapshot, LeaseEntry
from eldercart.units import NO_FENCING_TOKEN, FencingToken, MonotonicTime, NodeId, WallTime
from eldercart.wire.named_leases import LeaseName


class IneligibilityReason(Enum):
    """Why this node may not acquire a named lease, or has to release it."""

    DISABLED = "disabled"  # switched off on this node, or the node is shutting down
    NOT_SUPPORTED_BY_ALL = "not_supported_by_all"  # a node does not take part in it
    PAUSED = "paused"
    NOT_LEADER = "not_leader"  # only the leader may hold it
    BEING_HANDED_OVER = "being_handed_over"  # an operator hands it over to another node
    LAGGING = "lagging"  # the event loop of this node is late
    UNBALANCED = "unbalanced"  # another node has much less load: see `is_overloaded`


@dataclass(frozen=True, slots=True)
class ClusterView:
    """State of the cluster, apart from the stored keys, as this node sees it at one moment."""

    now: MonotonicTime
    wall_time: WallTime
    leader: NodeId | None = None  # None: this node knows of no leader
    leader_token: FencingToken = NO_FENCING_TOKEN  # 0 unless this node is the leader
    supported_leases: Collection[LeaseName] = ()  # every node takes part in these
    candidates: Collection[NodeId] = ()  # reachable nodes, including this one
    busy_leases: Collection[LeaseName] = ()  # this node has work in flight under these
    is_lagging: bool = False  # the event loop of this node is late
    is_shutting_down: bool = False


@dataclass(frozen=True, slots=True)
class EligibilityRules:
    """The rules for one node. It holds a lease for at least `min_hold_s` seconds before it releases
    the lease to balance load."""

    node_id: NodeId
    lease_names: frozenset[LeaseName]  # this node takes part in these
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
        """Return why this node may not hold the lease, or None if it may.

        `entry` is the known state of the lease, and `snapshot` that of all leases. `is_reserved`
        says that the lease is being handed over to another node. `held_since` is when this node
        acquired the lease, or None if this node does not hold it.
        """
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
            return self._find_load_ineligibility(snapshot, view, held_since)
        return None

    def _find_load_ineligibility(
        self, snapshot: DirectorySnapshot, view: ClusterView, held_since: MonotonicTime | None
    ) -> IneligibilityReason | None:
        """Return why another node should hold a lease of `Affinity.ANY`, or None if none should."""
        if view.is_lagging:
            return IneligibilityReason.LAGGING
        if held_since is None or view.now - held_since < self.min_hold_s:
            return None
        if is_overloaded(self.node_id, view.candidates, view.leader, snapshot):
            return IneligibilityReason.UNBALANCED
        return None
