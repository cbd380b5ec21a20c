"""One node's part in the duties: when it asks for one, holds it, drains it and gives it up.

A duty is held by whoever created its key in the state service last. The key's version is the
token on which every write of the holder is guarded, so a node that believes wrongly that it holds
a duty writes nothing. The lease only says when others may take the key without asking, and the
node's own clock only keeps it from trying in vain.
"""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from eldercart.election.state_machine import LEADER_KEY, GrantLease, KeepLeaseAlive
from eldercart.singleton.holder_preference import AFFINITY, Affinity, candidate_rank, is_overloaded
from eldercart.singleton.lease_directory import LeaseDirectory, LeaseEntry
from eldercart.units import (
    ABSENT_REVISION,
    DISTANT_PAST,
    NO_FENCING_TOKEN,
    NO_LEASE_TOKEN,
    FencingToken,
    IncarnationId,
    LeaseId,
    LeaseToken,
    MonotonicTime,
    NodeId,
    Revision,
    WallTime,
)
from eldercart.wire.named_leases import (
    HolderRecord,
    LeaseName,
    hand_over_key,
    holder_key,
    holder_value,
    pause_key,
)
from eldercart.wire.state import DeleteKey, Item, Put, Transaction

KEEP_ALIVES_PER_LEASE = 3  # of a lease; one is the time from a renewal to the next
RETRIES_PER_LEASE = 12  # of a lease; one is the pause after an action that was not carried out
RANK_DELAYS_PER_LEASE = 4  # of a lease; one is the time for which the next best candidate waits


class LeaseState(Enum):
    """What a node is for a duty, as far as it knows."""

    OBSERVER = "observer"  # may not hold it now
    CANDIDATE = "candidate"
    HOLDER = "holder"
    DRAINING = "draining"  # still holds it, begins nothing new and gives it up
    LOST = "lost"  # held it, and cannot know any more whether another node does


class IneligibilityReason(Enum):
    """Why this node may not hold a duty, or not go on holding it."""

    DISABLED = "this node does not take part in it"
    NOT_SUPPORTED_BY_ALL = "not every node takes part in it"
    PAUSED = "it is paused"
    NOT_LEADER = "it belongs to the leader"
    BEING_HANDED_OVER = "it is being handed over to another node"
    LAGGING = "this node is too slow"
    UNBALANCED = "another node holds fewer duties"


@dataclass(frozen=True, slots=True)
class ClusterView:
    """What a node knows beside the stored keys, when it decides."""

    now: MonotonicTime
    wall_time: WallTime
    leader: NodeId | None = None  # as far as this node knows
    leader_token: FencingToken = NO_FENCING_TOKEN  # under which this node leads; 0: it does not
    supported_leases: Collection[LeaseName] = ()  # duties that every node takes part in
    candidates: Collection[NodeId] = ()  # nodes that are reachable, this one included
    busy_leases: Collection[LeaseName] = ()  # duties of which something is under way here
    is_lagging: bool = False
    is_shutting_down: bool = False  # this node is about to end


@dataclass(frozen=True, slots=True)
class Acquire:
    """Create the duty's key."""

    lease_name: LeaseName
    transaction: Transaction
    record: HolderRecord


@dataclass(frozen=True, slots=True)
class Release:
    """Delete the duty's key."""

    lease_name: LeaseName
    transaction: Transaction


@dataclass(frozen=True, slots=True)
class ReadDirectory:
    """Read the keys of all duties."""


CandidateAction = GrantLease | KeepLeaseAlive | Acquire | Release | ReadDirectory


@dataclass(slots=True)
class _LeaseStatus:
    """This node's dealings with one duty."""

    token: LeaseToken = NO_LEASE_TOKEN  # under which it holds the duty
    state: LeaseState = LeaseState.OBSERVER
    ineligibility: IneligibilityReason | None = None
    candidate_since: MonotonicTime | None = None
    held_since: MonotonicTime = DISTANT_PAST
    hand_over_seen_at: MonotonicTime = DISTANT_PAST
    hand_over_version: Revision = ABSENT_REVISION


class LeaseCandidate:
    """One action is under way at a time: `next_action`, carry it out, report its result."""

    def __init__(
        self,
        label: NodeId,
        incarnation: IncarnationId,
        duties: Collection[LeaseName],
        lease_s: float,
        drift_margin: float,
        hand_over_s: float,
        stay_s: float,
    ) -> None:
        """A node that takes part in `duties`. A hand-over that its receiver does not take up is
        void after `hand_over_s`; a duty that was taken is not given up for balance before
        `stay_s`."""
        self.node_id = label
        self.incarnation = incarnation
        self.lease_names = frozenset(duties)
        self.directory = LeaseDirectory()
        self._lease_ttl_s = lease_s
        self._usable_lease_s = lease_s * (1 - drift_margin)
        self._hand_over_s = hand_over_s
        self._min_hold_s = stay_s
        self._statuses = {duty: _LeaseStatus() for duty in LeaseName}
        self._lease_id: LeaseId | None = None
        self._lease_expires_at = DISTANT_PAST
        self._next_keep_alive_at = DISTANT_PAST
        self._is_read_pending = True
        self._is_fenced = False  # a token of this node was refused, and nothing was read since
        self._retry_at = DISTANT_PAST
        self._action_in_flight: CandidateAction | None = None
        self._action_sent_at = DISTANT_PAST

    # -- what others may ask

    def usable_token(self, duty: LeaseName, now: MonotonicTime) -> LeaseToken | None:
        """The token under which new work may begin; None while there is none. That the lease has
        time left is no proof of anything: the state service compares the token."""
        tenure = self._statuses[duty]
        if (
            tenure.state is LeaseState.HOLDER
            and now < self._lease_expires_at
            and not self._is_fenced
        ):
            return tenure.token
        return None

    def held_token(self, duty: LeaseName) -> LeaseToken | None:
        """The token under which work that has begun may be finished, also while it drains."""
        tenure = self._statuses[duty]
        return tenure.token if tenure.state in (LeaseState.HOLDER, LeaseState.DRAINING) else None

    def state(self, duty: LeaseName) -> LeaseState:
        """What this node is for the duty."""
        return self._statuses[duty].state

    def ineligibility(self, duty: LeaseName) -> IneligibilityReason | None:
        """Why this node does not hold the duty; None: nothing speaks against it."""
        return self._statuses[duty].ineligibility

    def is_read_pending(self) -> bool:
        """Whether the board waits for a read."""
        return self._is_read_pending

    # -- decisions

    def next_action(self, situation: ClusterView) -> CandidateAction | None:
        """What is to be carried out now; its outcome must be handed in before the next."""
        self._update_states(situation)
        if self._action_in_flight is not None or situation.now < self._retry_at:
            return None
        action = self._choose_action(situation)
        if action is not None:
            self._action_in_flight = action
            self._action_sent_at = situation.now
        return action

    def _choose_action(self, situation: ClusterView) -> CandidateAction | None:
        now = situation.now
        if self._is_read_pending:
            return ReadDirectory()
        if self._lease_id is not None and now >= self._next_keep_alive_at and self._needs_lease():
            return KeepLeaseAlive(self._lease_id)
        for duty, tenure in self._statuses.items():
            if tenure.state is LeaseState.DRAINING and duty not in situation.busy_leases:
                return self._release(duty, tenure)
        for duty, tenure in self._statuses.items():
            if tenure.state is LeaseState.CANDIDATE and self._may_acquire(duty, situation):
                if self._lease_id is None or now >= self._lease_expires_at:
                    return GrantLease(self._lease_ttl_s)
                return self._acquire(duty, situation)
        return None

    def _needs_lease(self) -> bool:
        return any(
            tenure.state in (LeaseState.HOLDER, LeaseState.DRAINING, LeaseState.LOST)
            for tenure in self._statuses.values()
        )

    def _update_states(self, situation: ClusterView) -> None:
        """Brings the state of each duty up to what is known now."""
        for duty, tenure in self._statuses.items():
            entry = self.directory.entry(duty)
            mine = self._is_held_by_this_node(entry)
            self._record_times(tenure, entry, mine, situation.now)
            tenure.ineligibility = self._find_ineligibility(duty, tenure, entry, situation)
            if mine:
                self._update_held(tenure, situation.now)
            else:
                self._update_not_held(tenure, situation.now)

    def _update_held(self, tenure: _LeaseStatus, now: MonotonicTime) -> None:
        if tenure.ineligibility is not None:
            tenure.state = LeaseState.DRAINING
        elif self._lease_id is None or now >= self._lease_expires_at:
            tenure.state = LeaseState.LOST
        else:
            tenure.state = LeaseState.HOLDER

    def _update_not_held(self, tenure: _LeaseStatus, now: MonotonicTime) -> None:
        tenure.token = NO_LEASE_TOKEN
        if tenure.ineligibility is not None:
            tenure.state = LeaseState.OBSERVER
            tenure.candidate_since = None
            return
        tenure.state = LeaseState.CANDIDATE
        if tenure.candidate_since is None:
            tenure.candidate_since = now

    def _record_times(
        self, tenure: _LeaseStatus, entry: LeaseEntry, mine: bool, now: MonotonicTime
    ) -> None:
        if mine and tenure.token != entry.token:
            tenure.token = entry.token
            tenure.held_since = now
        if entry.hand_over_version != tenure.hand_over_version:
            tenure.hand_over_version = entry.hand_over_version
            tenure.hand_over_seen_at = now

    def _is_held_by_this_node(self, entry: LeaseEntry) -> bool:
        holder = entry.holder
        return (
            holder is not None
            and holder.node == self.node_id
            and holder.incarnation == self.incarnation
        )

    def _find_ineligibility(
        self, duty: LeaseName, tenure: _LeaseStatus, entry: LeaseEntry, situation: ClusterView
    ) -> IneligibilityReason | None:
        if duty not in self.lease_names or situation.is_shutting_down:
            return IneligibilityReason.DISABLED
        if duty not in situation.supported_leases:
            return IneligibilityReason.NOT_SUPPORTED_BY_ALL
        if entry.is_paused:
            return IneligibilityReason.PAUSED
        if AFFINITY[duty] is Affinity.LEADER and situation.leader_token == NO_FENCING_TOKEN:
            return IneligibilityReason.NOT_LEADER
        if self.is_reserved_for_other_node(duty, situation.now):
            return IneligibilityReason.BEING_HANDED_OVER
        if AFFINITY[duty] is Affinity.ANY:
            return self._find_preference_ineligibility(tenure, entry, situation)
        return None

    def _find_preference_ineligibility(
        self, tenure: _LeaseStatus, entry: LeaseEntry, situation: ClusterView
    ) -> IneligibilityReason | None:
        if situation.is_lagging:
            return IneligibilityReason.LAGGING
        if (
            not self._is_held_by_this_node(entry)
            or situation.now - tenure.held_since < self._min_hold_s
        ):
            return None
        snapshot = self.directory.snapshot
        if is_overloaded(self.node_id, situation.candidates, situation.leader, snapshot):
            return IneligibilityReason.UNBALANCED
        return None

    def is_reserved_for_other_node(self, duty: LeaseName, now: MonotonicTime) -> bool:
        """Whether the duty is kept for another node. How long that lasts goes by this node's own
        clock, which can at worst make it a candidate too early: the store decides."""
        entry, tenure = self.directory.entry(duty), self._statuses[duty]
        if entry.hand_over is None or entry.hand_over.receiver == self.node_id:
            return False
        return now - tenure.hand_over_seen_at < self._hand_over_s

    # -- acquiring and releasing

    def _may_acquire(self, duty: LeaseName, situation: ClusterView) -> bool:
        entry, tenure = self.directory.entry(duty), self._statuses[duty]
        if AFFINITY[duty] is Affinity.LEADER:
            return True  # whoever held it before is not the leader, and writes nothing any more
        if entry.is_held and not self._is_left_by_earlier_incarnation(entry):
            tenure.candidate_since = situation.now
            return False
        if entry.hand_over is not None and entry.hand_over.receiver == self.node_id:
            return True
        place = candidate_rank(
            self.node_id, situation.candidates, situation.leader, self.directory.snapshot
        )
        waited = situation.now - (tenure.candidate_since or situation.now)
        return waited >= place * self._lease_ttl_s / RANK_DELAYS_PER_LEASE

    def _is_left_by_earlier_incarnation(self, entry: LeaseEntry) -> bool:
        return entry.holder is not None and entry.holder.node == self.node_id

    def _acquire(self, duty: LeaseName, situation: ClusterView) -> Acquire:
        """The key is created, or replaced in the version that was seen: of two nodes that see the
        same, one is refused. Nobody acquires a duty that is paused meanwhile."""
        entry = self.directory.entry(duty)
        record = HolderRecord(self.node_id, self.incarnation, situation.wall_time)
        txn = Transaction(
            {holder_key(duty): Revision(entry.token), pause_key(duty): ABSENT_REVISION},
            [Put(holder_key(duty), holder_value(record), self._lease_id)],
        )
        if AFFINITY[duty] is Affinity.LEADER:
            txn.conditions[LEADER_KEY] = Revision(situation.leader_token)
        if entry.hand_over_version != ABSENT_REVISION:
            txn.conditions[hand_over_key(duty)] = entry.hand_over_version
            txn.operations.append(DeleteKey(hand_over_key(duty)))
        return Acquire(duty, txn, record)

    def _release(self, duty: LeaseName, tenure: _LeaseStatus) -> Release:
        key = holder_key(duty)
        return Release(duty, Transaction({key: Revision(tenure.token)}, [DeleteKey(key)]))

    # -- inputs

    def on_action_failed(self, now: MonotonicTime) -> None:
        """No answer, 429 or 503: not carried out, or nobody knows. Only a read can tell then."""
        action = self._action_in_flight
        self._action_in_flight = None
        self._retry_at = MonotonicTime(now + self._lease_ttl_s / RETRIES_PER_LEASE)
        if not isinstance(action, GrantLease | KeepLeaseAlive):
            self._is_read_pending = True

    def on_lease_granted(self, lease: LeaseId) -> None:
        """The lease was opened; it counts from before the request was sent."""
        self._action_in_flight = None
        self._lease_id = lease
        self._lease_expires_at = MonotonicTime(self._action_sent_at + self._usable_lease_s)
        self._next_keep_alive_at = MonotonicTime(
            self._action_sent_at + self._lease_ttl_s / KEEP_ALIVES_PER_LEASE
        )

    def on_keep_alive(self, alive: bool) -> None:
        """The renewal's answer: a lease that has ended took its keys with it."""
        self._action_in_flight = None
        if alive:
            self._lease_expires_at = MonotonicTime(self._action_sent_at + self._usable_lease_s)
            self._next_keep_alive_at = MonotonicTime(
                self._action_sent_at + self._lease_ttl_s / KEEP_ALIVES_PER_LEASE
            )
            return
        self._lease_id = None
        self._lease_expires_at = DISTANT_PAST
        self._is_read_pending = True

    def on_acquired(self, revision: Revision) -> None:
        """The key was created at `revision`."""
        action = self._action_in_flight
        self._action_in_flight = None
        if not isinstance(action, Acquire):
            return
        key = holder_key(action.lease_name)
        events: list[Item | DeleteKey] = [Item(key, holder_value(action.record), revision)]
        events += [write for write in action.transaction.operations if isinstance(write, DeleteKey)]
        self.directory.apply_own_writes(events, revision)

    def on_released(self, revision: Revision) -> None:
        """The key was deleted at `revision`."""
        action = self._action_in_flight
        self._action_in_flight = None
        if isinstance(action, Release):
            self.directory.apply_own_writes([DeleteKey(holder_key(action.lease_name))], revision)

    def on_transaction_rejected(self, lease_lost: bool = False) -> None:
        """A transaction was refused for one of its guards, or for the lease."""
        self._action_in_flight = None
        self._is_read_pending = True
        if lease_lost:
            self._lease_id = None
            self._lease_expires_at = DISTANT_PAST

    def on_write_fenced(self) -> None:
        """A write under a token of this node was refused: another node holds the duty."""
        self._is_read_pending = True
        self._is_fenced = True

    def on_directory_read(self) -> None:
        """The board has taken a read."""
        self._action_in_flight = None
        self._is_read_pending = False
        self._is_fenced = False
