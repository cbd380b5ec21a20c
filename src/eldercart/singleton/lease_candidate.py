"""One node's part in the named leases: when it acquires, holds, drains and releases them.

A named lease is held by the node that created its holder key in the state service last. The key's
version is the fencing token on which every write of the holder is conditional, so a node that
wrongly believes to hold a lease writes nothing. The time to live only says when others may take the
key without asking, and the node's own clock only keeps it from trying in vain.
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
from eldercart.wire.state import DeleteKey, Item, Put, Transaction

# Intervals, as parts of the lease's time to live.
KEEP_ALIVES_PER_LEASE = 3
RETRIES_PER_LEASE = 12  # pauses after a failed action
RANK_DELAYS_PER_LEASE = 4  # for each better candidate, a node waits for one of them


class LeaseState(Enum):
    """What a node is for a named lease, as far as it knows."""

    OBSERVER = "observer"  # may not hold it now
    CANDIDATE = "candidate"
    HOLDER = "holder"
    DRAINING = "draining"  # still holds it, begins nothing new and gives it up
    LOST = "lost"  # held it, and cannot know any more whether another node does


@dataclass(frozen=True, slots=True)
class LeaseTimings:
    """How long things last for a candidate, in seconds except for the share `drift_margin`."""

    lease_ttl_s: float
    drift_margin: float  # the share of `lease_ttl_s` that is left to clock drift
    hand_over_s: float  # after which a hand-over that its receiver does not take up is void
    min_hold_s: float  # before which an acquired lease is not given up for balance


@dataclass(slots=True)
class _LeaseStatus:
    """What this node is for one named lease, and since when."""

    token: LeaseToken = NO_LEASE_TOKEN  # under which this node holds it
    state: LeaseState = LeaseState.OBSERVER
    ineligibility: IneligibilityReason | None = None
    candidate_since: MonotonicTime | None = None
    held_since: MonotonicTime = DISTANT_PAST
    hand_over_seen_at: MonotonicTime = DISTANT_PAST
    hand_over_version: Revision = ABSENT_REVISION


class LeaseCandidate:
    """Acquires and releases the named leases of one node, all on one lease of the state service.

    One action is in flight at a time: take it from `next_action`, carry it out, and hand its result
    in to the `on_...` method for that action, or to `on_action_failed`. All times are monotonic.
    """

    def __init__(
        self,
        node_id: NodeId,
        incarnation: IncarnationId,
        lease_names: Collection[LeaseName],
        timings: LeaseTimings,
    ) -> None:
        """The candidate of a node that takes part in `lease_names`."""
        self.node_id = node_id
        self.incarnation = incarnation
        self.directory = LeaseDirectory()
        self._rules = EligibilityRules(node_id, frozenset(lease_names), timings.min_hold_s)
        self._lease = StoreLease(timings.lease_ttl_s, timings.drift_margin, KEEP_ALIVES_PER_LEASE)
        self._hand_over_s = timings.hand_over_s
        self._statuses = {lease_name: _LeaseStatus() for lease_name in LeaseName}
        self._is_read_pending = True
        self._is_fenced = False  # a token of this node was refused, and nothing was read since
        self._retry_at = DISTANT_PAST
        self._action_in_flight: CandidateAction | None = None
        self._action_sent_at = DISTANT_PAST

    # -- queries

    def usable_token(self, lease_name: LeaseName, now: MonotonicTime) -> LeaseToken | None:
        """Return the token under which new work may begin, or None while there is none. That the
        lease has time left proves nothing: the state service compares the token."""
        status = self._statuses[lease_name]
        is_holder = status.state is LeaseState.HOLDER and now < self._lease.expires_at
        return status.token if is_holder and not self._is_fenced else None

    def held_token(self, lease_name: LeaseName) -> LeaseToken | None:
        """Return the token under which work in flight may be finished, also while draining."""
        status = self._statuses[lease_name]
        return status.token if status.state in (LeaseState.HOLDER, LeaseState.DRAINING) else None

    def state(self, lease_name: LeaseName) -> LeaseState:
        """Return what this node is for the lease."""
        return self._statuses[lease_name].state

    def ineligibility(self, lease_name: LeaseName) -> IneligibilityReason | None:
        """Return why this node may not hold the lease, or None if it may."""
        return self._statuses[lease_name].ineligibility

    def is_read_pending(self) -> bool:
        """Return whether the directory has to be read before anything else."""
        return self._is_read_pending

    def is_reserved_for_other_node(self, lease_name: LeaseName, now: MonotonicTime) -> bool:
        """Return whether the lease is being handed over to another node. How long that lasts goes
        by this node's own clock, which can at worst make it a candidate too early: the state
        service decides."""
        return self._is_reserved(self.directory.entry(lease_name), self._statuses[lease_name], now)

    def _is_reserved(self, entry: LeaseEntry, status: _LeaseStatus, now: MonotonicTime) -> bool:
        if entry.hand_over is None or entry.hand_over.receiver == self.node_id:
            return False
        return now - status.hand_over_seen_at < self._hand_over_s

    # -- decisions

    def next_action(self, view: ClusterView) -> CandidateAction | None:
        """Return the action to carry out now; None while one is in flight or none is due."""
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
        """Bring the state of each lease up to what is known now."""
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
            return True  # whoever held it before is not the leader, and writes nothing any more
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
        """Create the key, or replace it in the version that was seen: of two nodes that see the
        same, one is refused. Nobody acquires a lease that is paused meanwhile."""
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
        """The action was refused for now (429, 503) or had no answer. Only a read can tell whether
        it was applied."""
        action = self._action_in_flight
        self._action_in_flight = None
        self._retry_at = MonotonicTime(now + self._lease.ttl_s / RETRIES_PER_LEASE)
        if not isinstance(action, GrantLease | KeepLeaseAlive):
            self._is_read_pending = True

    def on_lease_granted(self, lease_id: LeaseId) -> None:
        """The lease was opened."""
        self._action_in_flight = None
        self._lease.on_granted(lease_id, self._action_sent_at)

    def on_keep_alive(self, alive: bool) -> None:
        """The keep-alive was answered: the lease is still `alive`, or has ended and taken its keys
        with it."""
        self._action_in_flight = None
        if alive:
            self._lease.on_extended(self._action_sent_at)
            return
        self._lease.on_lost()
        self._is_read_pending = True

    def on_acquired(self, revision: Revision) -> None:
        """The holder key was written at `revision`."""
        action = self._action_in_flight
        self._action_in_flight = None
        if not isinstance(action, Acquire):
            return
        key = holder_key(action.lease_name)
        events: list[Item | DeleteKey] = [Item(key, holder_value(action.record), revision)]
        events += [
            operation
            for operation in action.transaction.operations
            if isinstance(operation, DeleteKey)
        ]
        self.directory.apply_own_writes(events, revision)

    def on_released(self, revision: Revision) -> None:
        """The holder key was deleted at `revision`."""
        action = self._action_in_flight
        self._action_in_flight = None
        if isinstance(action, Release):
            self.directory.apply_own_writes([DeleteKey(holder_key(action.lease_name))], revision)

    def on_transaction_rejected(self, *, lease_lost: bool = False) -> None:
        """A transaction was refused for one of its conditions, or (`lease_lost`) as the lease that
        it writes under has ended."""
        self._action_in_flight = None
        self._is_read_pending = True
        if lease_lost:
            self._lease.on_lost()

    def on_directory_read(self) -> None:
        """The directory has taken a fresh read."""
        self._action_in_flight = None
        self._is_read_pending = False
        self._is_fenced = False

    # -- other events

    def on_write_fenced(self) -> None:
        """A write under a token of this node was refused: another node holds the lease."""
        self._is_read_pending = True
        self._is_fenced = True
