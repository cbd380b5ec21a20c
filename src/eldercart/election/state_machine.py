"""Leader election as a state machine without I/O or clock.

Creating the leader key in the state service is the election. The key hangs on a short lease, and
its version is the fencing token: workers compare it, and every write of the leader is conditional
on it. Versions only grow, so a later leader's token is always higher.
"""

import math
from enum import Enum

from eldercart.election.actions import (
    Campaign,
    ElectionAction,
    GrantLease,
    KeepLeaseAlive,
    ReadLeaderKey,
    RevokeLease,
)
from eldercart.election.store_lease import StoreLease
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
from eldercart.wire.leader_key import LEADER_KEY, LeaderRecord, leader_value, parse_leader
from eldercart.wire.state import Item, Put, Transaction

# Intervals, as parts of the lease's time to live.
RETRIES_PER_LEASE = 16  # pauses after a failed action
KEEP_ALIVES_PER_LEASE = 5
READS_PER_LEASE = 2  # reads of the leader key, beside the watch on it
RESIGNATION_BACKOFF_LEASES = 3  # time to live spans without a campaign after a resignation


class Role(Enum):
    """What this node is, as far as it knows."""

    FOLLOWER = "follower"
    LEADER = "leader"


class Election:
    """One node's part in the election of the leader.

    One action is in flight at a time: take it from `next_action`, carry it out, and hand its
    result in to the `on_...` method for that action, or to `on_action_failed`. All times are
    monotonic.
    """

    def __init__(
        self,
        node_id: NodeId,
        lease_ttl_s: float,
        drift_margin: float,
        incarnation: IncarnationId = DEFAULT_INCARNATION,
    ) -> None:
        """A follower. The leader's lease lasts for `lease_ttl_s` seconds, of which the share
        `drift_margin` is left to clock drift. `incarnation` tells this start of the process from
        earlier ones, whose campaigns may still be carried out."""
        self.node_id = node_id
        self.incarnation = incarnation
        self.role = Role.FOLLOWER
        self.token = FencingToken(0)
        self.leader: NodeId | None = None
        self._lease = StoreLease(lease_ttl_s, drift_margin, KEEP_ALIVES_PER_LEASE)
        self._retry_delay_s = lease_ttl_s / RETRIES_PER_LEASE
        self._action_sent_at = MonotonicTime(0)
        self._next_read_at = DISTANT_PAST
        self._is_key_absent = False  # the last read found no leader key
        self._stale_lease_id: LeaseId | None = None  # to be revoked
        self._next_revoke_at = DISTANT_PAST
        self._action_in_flight: ElectionAction | None = None
        self._candidacy_deferred_until = DISTANT_PAST

    # -- queries

    def is_within_lease(self, now: MonotonicTime) -> bool:
        """Return whether this node leads and no other node can have been elected."""
        return self.role is Role.LEADER and now < self._lease.expires_at

    @property
    def lease_expires_at(self) -> MonotonicTime:
        """When the lease expires; until then no other node can be elected."""
        return self._lease.expires_at

    @property
    def lease_confirmed_at(self) -> MonotonicTime:
        """When the keep-alive was sent that the state service confirmed last."""
        return self._lease.confirmed_at

    def may_call_cloud(self, now: MonotonicTime, refused_at: MonotonicTime) -> bool:
        """Return whether the cloud may be asked for machines or deletions.

        No token fences those calls as it fences a write, so a leader that slept past its lease must
        not carry out what it had decided before: another one may run tasks there by now. In an
        outage of the state service, which answers and refuses (last at `refused_at`), nobody else
        is elected; if it refuses this node alone, the peers soon report the new token.
        """
        is_store_refusing = self.role is Role.LEADER and refused_at >= now - self._lease.ttl_s
        return is_store_refusing or self.is_within_lease(now)

    # -- events

    def on_leader_key_changed(self, now: MonotonicTime) -> None:
        """The watch reports a change of the leader key."""
        self._next_read_at = now

    def observe_token(self, token: FencingToken, now: MonotonicTime) -> bool:
        """Take the token of a peer's message or a worker's heartbeat; a higher one means that
        another node leads. Return whether this node has stepped down."""
        if token <= self.token:
            return False
        if self.role is Role.LEADER:
            self._step_down(now)
            return True
        self._next_read_at = now
        return False

    def observe_leader(self, leader: NodeId, token: FencingToken) -> None:
        """Take the leader's own word that it leads under `token`. As good as a read of the key,
        and sooner."""
        if self.role is Role.FOLLOWER and token >= self.token:
            self.token = token
            self.leader = leader

    def on_write_fenced(self, now: MonotonicTime) -> None:
        """A write failed because the leader key had another version."""
        if self.role is Role.LEADER:
            self._step_down(now)

    def resign(self, now: MonotonicTime) -> None:
        """Give the leadership up, and leave it to other nodes for a while."""
        if self.role is not Role.LEADER:
            return
        lease_id = self._lease.lease_id
        self._step_down(now)
        self._stale_lease_id = lease_id
        self._candidacy_deferred_until = MonotonicTime(
            now + RESIGNATION_BACKOFF_LEASES * self._lease.ttl_s
        )

    def defer_candidacy(self, until: MonotonicTime) -> None:
        """Do not campaign before `until`, so that another node can win."""
        self._candidacy_deferred_until = max(self._candidacy_deferred_until, until)

    def resign_permanently(self, now: MonotonicTime) -> None:
        """Give the leadership up for good, as this node is about to shut down."""
        self.resign(now)
        if self._stale_lease_id is None:
            # A campaign on it may be in flight, or be applied later although it had no answer.
            self._stale_lease_id = self._lease.lease_id
        self._candidacy_deferred_until = MonotonicTime(math.inf)

    @property
    def is_handing_over(self) -> bool:
        """Whether a lease that was given up may still hold the leader key."""
        return self._stale_lease_id is not None or isinstance(self._action_in_flight, Campaign)

    def next_action(self, now: MonotonicTime) -> ElectionAction | None:
        """Return the action to carry out now; None while one is in flight or none is due."""
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
            return self._choose_action_as_leader(now)
        if self._stale_lease_id is not None and now >= self._next_revoke_at:
            return RevokeLease(self._stale_lease_id)
        if self._is_key_absent and now >= self._candidacy_deferred_until:
            if not self._lease.is_usable(now):
                return GrantLease(self._lease.ttl_s)
            return Campaign(self._campaign_transaction())
        if now >= self._next_read_at:
            return ReadLeaderKey()
        return None

    def _choose_action_as_leader(self, now: MonotonicTime) -> ElectionAction | None:
        lease_id = self._lease.lease_id
        if lease_id is not None and now >= self._lease.next_keep_alive_at:
            return KeepLeaseAlive(lease_id)
        return None

    def _campaign_transaction(self) -> Transaction:
        value = leader_value(LeaderRecord(self.node_id, self.incarnation))
        return Transaction(
            {LEADER_KEY: ABSENT_REVISION}, [Put(LEADER_KEY, value, self._lease.lease_id)]
        )

    # -- results of actions

    def on_action_failed(self, action: ElectionAction, now: MonotonicTime) -> None:
        """The action was refused for now (429, 503) or had no answer; it may have been applied."""
        self._action_in_flight = None
        retry_at = MonotonicTime(now + self._retry_delay_s)
        if isinstance(action, KeepLeaseAlive):
            self._lease.next_keep_alive_at = retry_at
            return
        self._next_read_at = retry_at
        if isinstance(action, RevokeLease):
            # Tried again until it is answered; reads of the key go on in between.
            self._next_revoke_at = MonotonicTime(now + 2 * self._retry_delay_s)
        else:
            # A campaign may have been applied, or may be yet: only a read of the key can tell.
            self._is_key_absent = False

    def on_leader_key_read(self, item: Item | None, now: MonotonicTime) -> None:
        """The leader key as a read found it; None: it is absent."""
        self._action_in_flight = None
        self._is_key_absent = item is None
        # The watch on the key is the usual alarm; this is the backstop if it hangs.
        self._next_read_at = MonotonicTime(now + self._lease.ttl_s / READS_PER_LEASE)
        if item is None:
            self.leader = None
            return
        holder = parse_leader(item.value)
        if holder.node == self.node_id:
            self._on_own_key_read(item, holder, now)
            return
        self.leader = holder.node
        self.token = max(self.token, FencingToken(item.version))

    def _on_own_key_read(self, item: Item, holder: LeaderRecord, now: MonotonicTime) -> None:
        is_on_own_lease = self._lease.is_usable(now) and item.lease == self._lease.lease_id
        if holder.incarnation == self.incarnation and is_on_own_lease:
            # A campaign whose response was lost.
            self._become_leader(FencingToken(item.version), now)
        elif item.lease is not None:
            # Left by an earlier incarnation of this process: nobody leads under it any more.
            self._stale_lease_id = item.lease

    def on_lease_granted(self, lease_id: LeaseId, now: MonotonicTime) -> None:
        """The lease was opened."""
        self._action_in_flight = None
        self._lease.on_granted(lease_id, self._action_sent_at)

    def on_keep_alive(self, alive: bool, now: MonotonicTime) -> bool:
        """The keep-alive was answered: the lease is still `alive`, or has ended. Return whether
        this node has stepped down."""
        self._action_in_flight = None
        if alive:
            self._lease.on_extended(self._action_sent_at)
            return False
        self._step_down(now)
        return True

    def on_lease_revoked(self, now: MonotonicTime) -> None:
        """The stale lease has ended."""
        self._action_in_flight = None
        if self._lease.lease_id == self._stale_lease_id:
            self._lease.on_lost()
        self._stale_lease_id = None
        self._next_read_at = now

    def on_campaign_result(
        self, revision: Revision | None, now: MonotonicTime, *, lease_lost: bool = False
    ) -> None:
        """The campaign was answered: won at `revision`, or (None) lost, as another node holds the
        key or, with `lease_lost`, as the lease has ended."""
        self._action_in_flight = None
        self._is_key_absent = False
        if revision is None:
            if lease_lost:
                self._lease.on_lost()
            self._next_read_at = now
            return
        self._become_leader(FencingToken(revision), now)

    def _become_leader(self, token: FencingToken, now: MonotonicTime) -> None:
        self.role = Role.LEADER
        self.token = token
        self.leader = self.node_id
        self._is_key_absent = False
        self._lease.next_keep_alive_at = now

    def _step_down(self, now: MonotonicTime) -> None:
        self.role = Role.FOLLOWER
        self.leader = None
        self._lease.on_lost()
        self._next_read_at = now
        self._is_key_absent = False
