"""Leadership, as a state machine without I/O.

The leader key in the state service hangs on a short lease there. Creating the key
is the election; the key's version is the epoch, which workers compare as their fencing token and
on which every write of the leader is guarded. Versions only grow, so epochs do.
"""

import math
from dataclasses import dataclass
from enum import Enum

from eldercart.units import (
    ABSENT_REVISION,
    DEFAULT_INCARNATION,
    DISTANT_PAST,
    FencingToken,
    IncarnationId,
    LeaseId,
    MonotonicTime,
    NodeId,
    Revision,
)
from eldercart.wire.state import Item, Put, Transaction

LEADER_KEY = "lead"

# Parts of the lease's life.
RETRIES_PER_LEASE = 16  # one is the pause after an action that was not carried out
KEEP_ALIVES_PER_LEASE = 5  # one is the time from a renewal to the next
READS_PER_LEASE = 2  # one is the time between two reads of the leader key, besides the watch on it
RESIGNATION_BACKOFF_LEASES = 3  # for which a node that has resigned does not claim the leadership


class Role(Enum):
    """What this node is, as far as it knows."""

    FOLLOWER = "follower"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class ReadLeaderKey:
    """Read the leader key."""


@dataclass(frozen=True, slots=True)
class GrantLease:
    """Open a lease of that many seconds in the state service."""

    ttl_s: float


@dataclass(frozen=True, slots=True)
class KeepLeaseAlive:
    """Renew the lease."""

    lease_id: LeaseId


@dataclass(frozen=True, slots=True)
class RevokeLease:
    """End the lease, and with it the leader key on it."""

    lease_id: LeaseId


@dataclass(frozen=True, slots=True)
class Campaign:
    """Create the leader key, if it is absent."""

    transaction: Transaction


ElectionAction = ReadLeaderKey | GrantLease | KeepLeaseAlive | RevokeLease | Campaign


class Election:
    """One action is in flight at a time: `next_action`, carry it out, report its result."""

    def __init__(
        self,
        label: NodeId,
        lease_s: float,
        drift_margin: float,
        incarnation: IncarnationId = DEFAULT_INCARNATION,
    ) -> None:
        """A follower. The leader's lease lasts for `hold_s` seconds; the share `drift_margin` of
        them is not counted on, for the clocks' sake."""
        self.node_id = label
        # of this start: a claim of an earlier one may still be carried out
        self.incarnation = incarnation
        self.role = Role.FOLLOWER
        self.token = FencingToken(0)
        self.leader: NodeId | None = None
        self._lease_ttl_s = lease_s
        self._usable_lease_s = lease_s * (1 - drift_margin)
        self._lease_id: LeaseId | None = None
        self._lease_expires_at = DISTANT_PAST
        self._action_sent_at = MonotonicTime(0)
        self._next_read_at = DISTANT_PAST
        self._next_keep_alive_at = DISTANT_PAST
        self._is_key_absent = False  # the last read found no leader key
        self._stale_lease_id: LeaseId | None = None
        self._next_revoke_at = DISTANT_PAST
        self._action_in_flight: ElectionAction | None = None
        self._candidacy_deferred_until = DISTANT_PAST

    # -- what others may ask

    def is_within_lease(self, now: MonotonicTime) -> bool:
        """Whether no other node can be leader now. Counted from before the renewal was sent."""
        return self.role is Role.LEADER and now < self._lease_expires_at

    @property
    def lease_expires_at(self) -> MonotonicTime:
        """Until when no other node can have been elected."""
        return self._lease_expires_at

    @property
    def lease_confirmed_at(self) -> MonotonicTime:
        """When the renewal was sent that the store confirmed last."""
        return MonotonicTime(self._lease_expires_at - self._usable_lease_s)

    def may_call_cloud(self, now: MonotonicTime, refused_at: MonotonicTime) -> bool:
        """Whether the cloud may be asked for machines or deletions. Nothing guards those calls as
        the leader key guards a write, so a leader that slept past its lease must not carry out what
        it had decided before: another one may run tasks there by now. In an outage of the state
        service, which answers and refuses (last at `refused_at`), nobody else is elected; if it
        refuses this node alone, the peers soon tell of the new epoch."""
        refused = self.role is Role.LEADER and refused_at >= now - self._lease_ttl_s
        return refused or self.is_within_lease(now)

    # -- inputs

    def on_leader_key_changed(self, now: MonotonicTime) -> None:
        """A watch says that the leader key has changed."""
        self._next_read_at = now

    def observe_token(self, token: FencingToken, now: MonotonicTime) -> bool:
        """A peer's message or a worker's report carries a higher epoch: somebody else leads."""
        if token <= self.token:
            return False
        if self.role is Role.LEADER:
            self._step_down(now)
            return True
        self._next_read_at = now
        return False

    def observe_leader(self, leader: NodeId, token: FencingToken) -> None:
        """The leader of `epoch` says so itself: as good as a read of the key, and sooner."""
        if self.role is Role.FOLLOWER and token >= self.token:
            self.token = token
            self.leader = leader

    def on_write_fenced(self, now: MonotonicTime) -> None:
        """A write guarded on the leader key failed on that guard."""
        if self.role is Role.LEADER:
            self._step_down(now)

    def resign(self, now: MonotonicTime) -> None:
        """Gives the lease up for one that can do more, and stands back for a while."""
        if self.role is not Role.LEADER:
            return
        lease = self._lease_id
        self._step_down(now)
        self._stale_lease_id = lease
        self._candidacy_deferred_until = MonotonicTime(
            now + RESIGNATION_BACKOFF_LEASES * self._lease_ttl_s
        )

    def defer_candidacy(self, until: MonotonicTime) -> None:
        """Leaves the leadership to another node, if that claims it before `until`."""
        self._candidacy_deferred_until = max(self._candidacy_deferred_until, until)

    def resign_permanently(self, now: MonotonicTime) -> None:
        """Gives the lease up for good: this node is about to end."""
        self.resign(now)
        if self._stale_lease_id is None:
            # A claim on it may be under way, or be carried out later although it had no answer.
            self._stale_lease_id = self._lease_id
        self._candidacy_deferred_until = MonotonicTime(math.inf)

    @property
    def is_handing_over(self) -> bool:
        """Whether a lease that was given up may still hold the leader key."""
        return self._stale_lease_id is not None or isinstance(self._action_in_flight, Campaign)

    def next_action(self, now: MonotonicTime) -> ElectionAction | None:
        """What is to be carried out now; its outcome must be handed in before the next."""
        if self._action_in_flight is not None:
            return None
        action = self._choose_action(now)
        if action is not None:
            self._action_in_flight = action
            self._action_sent_at = now
        return action

    # -- decisions

    def _choose_action(self, now: MonotonicTime) -> ElectionAction | None:
        if self.role is Role.LEADER:
            if now >= self._next_keep_alive_at and self._lease_id is not None:
                return KeepLeaseAlive(self._lease_id)
            return None
        if self._stale_lease_id is not None and now >= self._next_revoke_at:
            return RevokeLease(self._stale_lease_id)
        if self._is_key_absent and now >= self._candidacy_deferred_until:
            if self._lease_id is None or now >= self._lease_expires_at:
                return GrantLease(self._lease_ttl_s)
            txn = Transaction(
                {LEADER_KEY: ABSENT_REVISION},
                [Put(LEADER_KEY, {"node": self.node_id, "life": self.incarnation}, self._lease_id)],
            )
            return Campaign(txn)
        if now >= self._next_read_at:
            return ReadLeaderKey()
        return None

    def on_action_failed(self, action: ElectionAction, now: MonotonicTime) -> None:
        """No answer, 429 or 503: not carried out, or nobody knows."""
        self._action_in_flight = None
        pause = self._lease_ttl_s / RETRIES_PER_LEASE
        if isinstance(action, KeepLeaseAlive):
            self._next_keep_alive_at = MonotonicTime(now + pause)
        elif isinstance(action, Campaign):
            # It may have been applied or may be yet: the key itself must tell.
            self._is_key_absent = False
            self._next_read_at = MonotonicTime(now + pause)
        elif isinstance(action, RevokeLease):
            # Tried again until it is answered; reads of the key go on in between.
            self._next_revoke_at = MonotonicTime(now + 2 * pause)
            self._next_read_at = MonotonicTime(now + pause)
        else:
            self._is_key_absent = False
            self._next_read_at = MonotonicTime(now + pause)

    def on_leader_key_read(self, item: Item | None, now: MonotonicTime) -> None:
        """The leader key as a read found it; None: it is absent."""
        self._action_in_flight = None
        self._is_key_absent = item is None
        # The watch on the key is the usual alarm; this is the backstop if it hangs.
        self._next_read_at = MonotonicTime(now + self._lease_ttl_s / READS_PER_LEASE)
        if item is None:
            self.leader = None
            return
        node = item.value.get("node") if isinstance(item.value, dict) else None
        if node == self.node_id:
            mine = isinstance(item.value, dict) and item.value.get("life") == self.incarnation
            held = self._lease_id is not None and item.lease == self._lease_id
            if mine and held and now < self._lease_expires_at:
                self._become_leader(
                    FencingToken(item.version), now
                )  # a claim whose response was lost
            elif item.lease is not None:
                # Left by an earlier incarnation of this process: nobody leads under it any more.
                self._stale_lease_id = item.lease
            return
        self.leader = NodeId(node) if isinstance(node, str) else None
        self.token = max(self.token, FencingToken(item.version))

    def on_lease_granted(self, lease: LeaseId, now: MonotonicTime) -> None:
        """The lease was opened; it counts from before the request was sent."""
        self._action_in_flight = None
        self._lease_id = lease
        self._lease_expires_at = MonotonicTime(self._action_sent_at + self._usable_lease_s)

    def on_keep_alive(self, alive: bool, now: MonotonicTime) -> bool:
        """Returns whether the node is deposed by this."""
        self._action_in_flight = None
        if alive:
            self._lease_expires_at = MonotonicTime(self._action_sent_at + self._usable_lease_s)
            self._next_keep_alive_at = MonotonicTime(
                self._action_sent_at + self._lease_ttl_s / KEEP_ALIVES_PER_LEASE
            )
            return False
        self._step_down(now)
        return True

    def on_lease_revoked(self, now: MonotonicTime) -> None:
        """The lease that was left over has ended."""
        self._action_in_flight = None
        if self._lease_id == self._stale_lease_id:
            self._lease_id = None
        self._stale_lease_id = None
        self._next_read_at = now

    def on_campaign_result(
        self, revision: Revision | None, now: MonotonicTime, lease_lost: bool = False
    ) -> None:
        """The claim's answer; None: somebody else holds the key, or the lease has ended."""
        self._action_in_flight = None
        self._is_key_absent = False
        if revision is None:
            if lease_lost:
                self._lease_id = None
            self._next_read_at = now
            return
        self._become_leader(FencingToken(revision), now)

    def _become_leader(self, token: FencingToken, now: MonotonicTime) -> None:
        self.role = Role.LEADER
        self.token = token
        self.leader = self.node_id
        self._is_key_absent = False
        self._next_keep_alive_at = now

    def _step_down(self, now: MonotonicTime) -> None:
        self.role = Role.FOLLOWER
        self.leader = None
        self._lease_id = None
        self._lease_expires_at = DISTANT_PAST
        self._next_read_at = now
        self._is_key_absent = False
