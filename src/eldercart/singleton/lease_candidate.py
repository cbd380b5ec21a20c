"""State machine that acquires, holds, drains and releases named leases for one node.

A named lease is held by the node that last created or replaced its holder key in the state service.
The key's version is the fencing token. Every write of the holder is conditional on it, so a node
that wrongly believes that it holds a lease cannot write. The time to live only determines when the
key of a holder that no longer renews it is deleted, so that another node can acquire the lease. A
node checks its own clock only to avoid requests that would be rejected.
"""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from eldercart.election.actions import GrantLease, KeepLeaseAlive
from eldercart.election.store_lease import StoreLease
from eldercart.singleton.candidate_actions import Acquire, CandidateAction, ReadDirectory, Release
from eldercart.singleton.eligibility import ClusterView, EligibilityRules, IneligibilityReason
from eldercart.singleton.holder_preference import AFFINITY, Affinity, candidate_rank
from eldercart.singleton.lease_directory import LeaseDirectory, LeaseEntry
from eldercart.units import (
    ABSENT_REVISION,
    DISTANT_PAST,
    NO_LEASE_TOKEN,
    IncarnationId,
    LeaseId,
    LeaseToken,
    MonotonicTime,
    NodeId,
    Revision,
)
from eldercart.wire.leader_key import LEADER_KEY
from eldercart.wire.named_leases import (
    HolderRecord,
    LeaseName,
    hand_over_key,
    holder_key,
    holder_value,
    pause_key,
)
from eldercart.wire.state import DeletedKey, DeleteKey, Item, KeyChange, Put, Transaction

# Each interval is the lease's time to live divided by one of these.
KEEP_ALIVES_PER_LEASE = 3
RETRIES_PER_LEASE = 12  # delay after a failed action
RANK_DELAYS_PER_LEASE = 4  # delay of an acquisition for each candidate that ranks before it


class LeaseState(Enum):
    """The role of a node for a named lease, by the node's own knowledge."""

    OBSERVER = "observer"  # does not hold it, and is not eligible now
    CANDIDATE = "candidate"  # does not hold it, and is eligible
    HOLDER = "holder"
    DRAINING = "draining"  # holds it, starts no new work and releases it once idle
    LOST = "lost"  # its lease may have expired, so another node may hold it by now


@dataclass(frozen=True, slots=True)
class LeaseTimings:
    """Durations of a candidate, in seconds, and the margin for clock drift."""

    lease_ttl_s: float
    drift_margin: float  # fraction of `lease_ttl_s` reserved for clock drift
    hand_over_s: float  # a hand-over expires if its receiver has not acquired the lease by then
    min_hold_s: float  # minimum time before a lease is released to balance load


@dataclass(slots=True)
class _LeaseStatus:
    """The state of one named lease at this node, and when it changed."""

    token: LeaseToken = NO_LEASE_TOKEN  # NO_LEASE_TOKEN unless this node holds it
    state: LeaseState = LeaseState.OBSERVER
    ineligibility: IneligibilityReason | None = None
    candidate_since: MonotonicTime | None = None
    held_since: MonotonicTime = DISTANT_PAST
    hand_over_seen_at: MonotonicTime = DISTANT_PAST
    hand_over_version: Revision = ABSENT_REVISION


class LeaseCandidate:
    """Acquires and releases the named leases of one node, all under one lease of the state service.

    At most one action is in flight. The caller takes it from `next_action`, runs it, and passes its
    result to the `on_...` method of that action, or to `on_action_failed`. All times are monotonic.
    """

    def __init__(
        self,
        node_id: NodeId,
        incarnation: IncarnationId,
        lease_names: Collection[LeaseName],
        timings: LeaseTimings,
    ) -> None:
        """Create the candidate of a node that takes part in `lease_names`."""
        self.node_id = node_id
        self.incarnation = incarnation
        self.directory = LeaseDirectory()
        self._rules = EligibilityRules(node_id, frozenset(lease_names), timings.min_hold_s)
        self._lease = StoreLease(timings.lease_ttl_s, timings.drift_margin, KEEP_ALIVES_PER_LEASE)
        self._hand_over_s = timings.hand_over_s
        self._statuses = {lease_name: _LeaseStatus() for lease_name in LeaseName}
        self._is_read_pending = True
        self._is_fenced = False  # a token of this node was rejected since the last read
        self._retry_at = DISTANT_PAST
        self._action_in_flight: CandidateAction | None = None
        self._action_sent_at = DISTANT_PAST

    # -- queries

    def usable_token(self, lease_name: LeaseName, now: MonotonicTime) -> LeaseToken | None:
        """Return the token under which new work may start, or None if there is none.

        An unexpired lease does not prove that this node still holds it. The state service decides,
        by comparing the token.
        """
        status = self._statuses[lease_name]
        is_holder = status.state is LeaseState.HOLDER and now < self._lease.expires_at
        return status.token if is_holder and not self._is_fenced else None

    def held_token(self, lease_name: LeaseName) -> LeaseToken | None:
        """Return the token under which work in flight may be finished, also while draining."""
        status = self._statuses[lease_name]
        return status.token if status.state in (LeaseState.HOLDER, LeaseState.DRAINING) else None

    def state(self, lease_name: LeaseName) -> LeaseState:
        """Return the role of this node for the lease."""
        return self._statuses[lease_name].state

    def ineligibility(self, lease_name: LeaseName) -> IneligibilityReason | None:
        """Return why this node may not hold the lease, or None if it may."""
        return self._statuses[lease_name].ineligibility

    def is_read_pending(self) -> bool:
        """Return whether the directory has to be read before any other action."""
        return self._is_read_pending

    def is_reserved_for_other_node(self, lease_name: LeaseName, now: MonotonicTime) -> bool:
        """Return whether the lease is being handed over to another node.

        The hand-over expires by this node's own clock. A wrong clock can at worst make
        this node a candidate too early; the state service decides who acquires the lease.
        """
        return self._is_reserved(self.directory.entry(lease_name), self._statuses[lease_name], now)

    def _is_reserved(self, entry: LeaseEntry, status: _LeaseStatus, now: MonotonicTime) -> bool:
        if entry.hand_over is None or entry.hand_over.receiver == self.node_id:
            return False
        return now - status.hand_over_seen_at < self._hand_over_s

    # -- decisions

    def next_action(self, view: ClusterView) -> CandidateAction | None:
        """Return the action to run now, or None while one is in flight or none is due."""
        self._update_states(view)
        if self._action_in_flight is not None or view.now < self._retry_at:
            return None
        action = self._choose_action(view)
        if action is not None:
            self._action_in_flight = action
            self._action_sent_at = view.now
        return action

    def _choose_action(self, view: ClusterView) -> CandidateAction | None:
        if self._is_read_pending:
            return ReadDirectory()
        return (
            self._choose_keep_alive(view.now)
            or self._choose_release(view)
            or self._choose_acquisition(view)
        )

    def _choose_keep_alive(self, now: MonotonicTime) -> KeepLeaseAlive | None:
        lease_id = self._lease.lease_id
        if lease_id is None or now < self._lease.next_keep_alive_at or not self._needs_lease():
            return None
        return KeepLeaseAlive(lease_id)

    def _needs_lease(self) -> bool:
        return any(
            status.state in (LeaseState.HOLDER, LeaseState.DRAINING, LeaseState.LOST)
            for status in self._statuses.values()
        )

    def _choose_release(self, view: ClusterView) -> Release | None:
        for lease_name, status in self._statuses.items():
            if status.state is LeaseState.DRAINING and lease_name not in view.busy_leases:
                return self._release(lease_name, status)
        return None

    def _choose_acquisition(self, view: ClusterView) -> GrantLease | Acquire | None:
        for lease_name, status in self._statuses.items():
            if status.state is LeaseState.CANDIDATE and self._may_acquire(lease_name, view):
                if not self._lease.is_usable(view.now):
                    return GrantLease(self._lease.ttl_s)
                return self._acquire(lease_name, view)
        return None

    # -- states

    def _update_states(self, view: ClusterView) -> None:
        """Derive the state of each lease from the directory and `view`."""
        for lease_name, status in self._statuses.items():
            entry = self.directory.entry(lease_name)
            is_held = self._is_held_by_this_node(entry)
            self._record_times(status, entry, is_held, view.now)
            status.ineligibility = self._rules.find_ineligibility(
                lease_name,
                entry,
                self.directory.snapshot,
                view,
                is_reserved=self._is_reserved(entry, status, view.now),
                held_since=status.held_since if is_held else None,
            )
            if is_held:
                self._update_held(status, view.now)
            else:
                self._update_not_held(status, view.now)

    def _update_held(self, status: _LeaseStatus, now: MonotonicTime) -> None:
        if status.ineligibility is not None:
            status.state = LeaseState.DRAINING
        elif not self._lease.is_usable(now):
            status.state = LeaseState.LOST
        else:
            status.state = LeaseState.HOLDER

    def _update_not_held(self, status: _LeaseStatus, now: MonotonicTime) -> None:
        status.token = NO_LEASE_TOKEN
        if status.ineligibility is not None:
            status.state = LeaseState.OBSERVER
            status.candidate_since = None
            return
        status.state = LeaseState.CANDIDATE
        if status.candidate_since is None:
            status.candidate_since = now

    def _record_times(
        self, status: _LeaseStatus, entry: LeaseEntry, is_held: bool, now: MonotonicTime
    ) -> None:
        if is_held and status.token != entry.token:
            status.token = entry.token
            status.held_since = now
        if entry.hand_over_version != status.hand_over_version:
            status.hand_over_version = entry.hand_over_version
            status.hand_over_seen_at = now

    def _is_held_by_this_node(self, entry: LeaseEntry) -> bool:
        holder = entry.holder
        return (
            holder is not None
            and holder.node == self.node_id
            and holder.incarnation == self.incarnation
        )

    # -- acquiring and releasing

    def _may_acquire(self, lease_name: LeaseName, view: ClusterView) -> bool:
        entry, status = self.directory.entry(lease_name), self._statuses[lease_name]
        if AFFINITY[lease_name] is Affinity.LEADER:
            return True  # a previous holder has lost leadership, so its writes are rejected
        if entry.is_held and not self._is_left_by_earlier_incarnation(entry):
            status.candidate_since = view.now
            return False
        if entry.hand_over is not None and entry.hand_over.receiver == self.node_id:
            return True
        rank = candidate_rank(self.node_id, view.candidates, view.leader, self.directory.snapshot)
        waited_s = view.now - (status.candidate_since or view.now)
        return waited_s >= rank * self._lease.ttl_s / RANK_DELAYS_PER_LEASE

    def _is_left_by_earlier_incarnation(self, entry: LeaseEntry) -> bool:
        return entry.holder is not None and entry.holder.node == self.node_id

    def _acquire(self, lease_name: LeaseName, view: ClusterView) -> Acquire:
        """Return the action that creates the holder key, or replaces its known version.

        If two nodes try this on the same version, the state service rejects one of them. The
        transaction also fails if the lease has been paused in the meantime.
        """
        entry = self.directory.entry(lease_name)
        record = HolderRecord(self.node_id, self.incarnation, view.wall_time)
        transaction = Transaction(
            {holder_key(lease_name): Revision(entry.token), pause_key(lease_name): ABSENT_REVISION},
            [Put(holder_key(lease_name), holder_value(record), self._lease.lease_id)],
        )
        if AFFINITY[lease_name] is Affinity.LEADER:
            transaction.conditions[LEADER_KEY] = Revision(view.leader_token)
        if entry.hand_over_version != ABSENT_REVISION:
            transaction.conditions[hand_over_key(lease_name)] = entry.hand_over_version
            transaction.operations.append(DeleteKey(hand_over_key(lease_name)))
        return Acquire(lease_name, transaction, record)

    def _release(self, lease_name: LeaseName, status: _LeaseStatus) -> Release:
        key = holder_key(lease_name)
        return Release(lease_name, Transaction({key: Revision(status.token)}, [DeleteKey(key)]))

    # -- results of actions

    def on_action_failed(self, now: MonotonicTime) -> None:
        """Handle an action that was temporarily rejected (429, 503) or got no answer.

        Only a read shows whether a transaction was applied.
        """
        action = self._action_in_flight
        self._action_in_flight = None
        self._retry_at = MonotonicTime(now + self._lease.ttl_s / RETRIES_PER_LEASE)
        if not isinstance(action, GrantLease | KeepLeaseAlive):
            self._is_read_pending = True

    def on_lease_granted(self, lease_id: LeaseId) -> None:
        """Handle the grant of the state service's lease."""
        self._action_in_flight = None
        self._lease.on_granted(lease_id, self._action_sent_at)

    def on_keep_alive(self, alive: bool) -> None:
        """Handle the answer to a keep-alive. If the lease is not `alive`, the state service has
        deleted the keys under it."""
        self._action_in_flight = None
        if alive:
            self._lease.on_extended(self._action_sent_at)
            return
        self._lease.on_lost()
        self._is_read_pending = True

    def on_acquired(self, revision: Revision) -> None:
        """Handle a committed acquisition: the holder key was written at `revision`."""
        action = self._action_in_flight
        self._action_in_flight = None
        if not isinstance(action, Acquire):
            return
        key = holder_key(action.lease_name)
        changes: list[KeyChange] = [Item(key, holder_value(action.record), revision)]
        changes += [
            DeletedKey(operation.key, revision)
            for operation in action.transaction.operations
            if isinstance(operation, DeleteKey)
        ]
        self.directory.apply_own_writes(changes)

    def on_released(self, revision: Revision) -> None:
        """Handle a committed release: the holder key was deleted at `revision`."""
        action = self._action_in_flight
        self._action_in_flight = None
        if isinstance(action, Release):
            key = holder_key(action.lease_name)
            self.directory.apply_own_writes([DeletedKey(key, revision)])

    def on_transaction_rejected(self, *, lease_lost: bool = False) -> None:
        """Handle a transaction that was rejected because a condition failed, or (`lease_lost`)
        because the state service's lease has expired."""
        self._action_in_flight = None
        self._is_read_pending = True
        if lease_lost:
            self._lease.on_lost()

    def on_directory_read(self) -> None:
        """Handle a completed read, which the directory has already applied."""
        self._action_in_flight = None
        self._is_read_pending = False
        self._is_fenced = False

    # -- other events

    def on_write_fenced(self) -> None:
        """Handle a write rejected for its token: this node no longer holds the lease."""
        self._is_read_pending = True
        self._is_fenced = True
