"""Leader election as a state machine without I/O or clock.

The node that creates the leader key in the state service is elected. The key is attached to a short
lease, and its version is the fencing token: workers compare tokens, and every write of the leader
is conditional on the version. Versions only grow, so a later leader's token is always higher.
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

# The first three give intervals: the lease's time to live is divided by them.
RETRIES_PER_LEASE = 16  # sets the delay after a failed action
KEEP_ALIVES_PER_LEASE = 5
READS_PER_LEASE = 2  # sets the interval of leader key reads, which back up the watch on the key
RESIGNATION_BACKOFF_LEASES = 3  # lease lifetimes without a campaign after a resignation


class Role(Enum):
    """Role that this node believes it has."""

    FOLLOWER = "follower"
    LEADER = "leader"


class Election:
    """Leader election as seen by one node.

    At most one action is in flight. The caller takes it from `next_action`, carries it out, and
    passes its result to the `on_...` method for that action or to `on_action_failed`. All times are
    monotonic.
    """

    def __init__(
        self,
        node_id: NodeId,
        lease_ttl_s: float,
        drift_margin: float,
        incarnation: IncarnationId = DEFAULT_INCARNATION,
    ) -> None:
        """Start as a follower.

        The leader's lease lasts for `lease_ttl_s` seconds, of which the share `drift_margin` is
        reserved for clock drift. `incarnation` distinguishes this start of the process from earlier
        ones, whose campaigns may still be carried out.
        """
        self.node_id = node_id
        self.incarnation = incarnation
        self.role = Role.FOLLOWER
        self.token = FencingToken(0)
        self.leader: NodeId | None = None
        self._lease = StoreLease(lease_ttl_s, drift_margin, KEEP_ALIVES_PER_LEASE)
        self._retry_delay_s = lease_ttl_s / RETRIES_PER_LEASE
        self._action_sent_at = MonotonicTime(0)
        self._next_read_at = DISTANT_PAST
        self._is_read_outdated = False  # The key has changed since the read in flight was sent.
        self._is_key_absent = False  # The last read found no leader key.
        self._stale_lease_id: LeaseId | None = None  # The lease is to be revoked.
        self._next_revoke_at = DISTANT_PAST
        self._action_in_flight: ElectionAction | None = None
        self._candidacy_deferred_until = DISTANT_PAST

    # -- queries

    def is_within_lease(self, now: MonotonicTime) -> bool:
        """Return whether this node leads and no other node can have been elected."""
        return self.role is Role.LEADER and now < self._lease.expires_at

    @property
    def lease_expires_at(self) -> MonotonicTime:
        """Time at which the lease expires; until then no other node can be elected."""
        return self._lease.expires_at

    @property
    def lease_confirmed_at(self) -> MonotonicTime:
        """Send time of the keep-alive that the state service confirmed last."""
        return self._lease.confirmed_at

    def may_call_cloud(self, now: MonotonicTime, refused_at: MonotonicTime) -> bool:
        """Return whether this node may request new machines or deletions from the cloud.

        Unlike a write, a request to the cloud is not fenced by the token. So a leader that was
        suspended past its lease must not carry out earlier decisions: another leader may run tasks
        on those machines by now. In an outage in which the state service responds but refuses
        requests (last at `refused_at`), no other node can be elected. If it refuses only this node,
        peers soon report the new token.
        """
        is_store_refusing = self.role is Role.LEADER and refused_at >= now - self._lease.ttl_s
        return is_store_refusing or self.is_within_lease(now)

    # -- events

    def on_leader_key_changed(self, now: MonotonicTime) -> None:
        """Handle a watch event for the leader key: the key is read next."""
        self._request_read(now)

    def _request_read(self, now: MonotonicTime) -> None:
        """Read the key next, and again if a read is in flight, which may show the state before."""
        self._next_read_at = now
        self._is_read_outdated = isinstance(self._action_in_flight, ReadLeaderKey)

    def observe_token(self, token: FencingToken, now: MonotonicTime) -> bool:
        """Process the token in a peer's message or a worker's heartbeat.

        A higher token means that another node has been elected. Return whether this node has
        stepped down because of it.
        """
        if token <= self.token:
            return False
        if self.role is Role.LEADER:
            self._step_down(now)
            return True
        self._request_read(now)
        return False

    def observe_leader(self, leader: NodeId, token: FencingToken) -> None:
        """Record that `leader` itself has reported that it leads under `token`.

        The report is as reliable as a read of the leader key, and arrives sooner.
        """
        if self.role is Role.FOLLOWER and token >= self.token:
            self.token = token
            self.leader = leader

    def on_write_fenced(self, now: MonotonicTime) -> None:
        """Step down after a write that failed because the leader key had another version."""
        if self.role is Role.LEADER:
            self._step_down(now)

    def resign(self, now: MonotonicTime) -> None:
        """Step down, have the lease revoked, and let other nodes campaign.

        This node does not campaign for `RESIGNATION_BACKOFF_LEASES` lease lifetimes.
        """
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
        """Step down and never campaign again, because this node is about to shut down."""
        self.resign(now)
        if self._stale_lease_id is None:
            # A campaign on this lease may be in flight, or may be applied later although it got no
            # response.
            self._stale_lease_id = self._lease.lease_id
        self._candidacy_deferred_until = MonotonicTime(math.inf)

    @property
    def is_handing_over(self) -> bool:
        """Whether the leader key may be on a lease to be revoked, or a campaign is in flight."""
        return self._stale_lease_id is not None or isinstance(self._action_in_flight, Campaign)

    def next_action(self, now: MonotonicTime) -> ElectionAction | None:
        """Return the action to carry out now, or None while one is in flight or none is due."""
        if self._action_in_flight is not None:
            return None
        action = self._choose_action(now)
        if action is not None:
            self._action_in_flight = action
            self._action_sent_at = now
            self._is_read_outdated = False
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
        """Schedule a retry of an action that was refused (429, 503) or got no response.

        The action may have been applied all the same.
        """
        self._action_in_flight = None
        retry_at = MonotonicTime(now + self._retry_delay_s)
        if isinstance(action, KeepLeaseAlive):
            self._lease.next_keep_alive_at = retry_at
            return
        self._next_read_at = retry_at
        if isinstance(action, RevokeLease):
            # The revocation is retried until it succeeds; the key is read between the retries.
            self._next_revoke_at = MonotonicTime(now + 2 * self._retry_delay_s)
        else:
            # A campaign may have been applied, or may still be: only a read of the key shows that.
            self._is_key_absent = False

    def on_leader_key_read(self, item: Item | None, now: MonotonicTime) -> None:
        """Handle a successful read of the leader key; `item` is None if the key is absent.

        A key that is older than the known token is not applied: while the read was in flight, a
        peer has reported that it leads under a newer one.
        """
        self._action_in_flight = None
        self._is_key_absent = item is None
        # The watch normally reports changes of the key; this read covers a watch that hangs.
        delay_s = 0.0 if self._is_read_outdated else self._lease.ttl_s / READS_PER_LEASE
        self._next_read_at = MonotonicTime(now + delay_s)
        if item is None:
            self.leader = None
            return
        if item.version < self.token:
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
            # This node's campaign succeeded, but its response was lost.
            self._become_leader(FencingToken(item.version), now)
        elif item.lease is not None:
            # The key is left from an earlier incarnation of this process, or is attached to a lease
            # that it no longer uses. No node leads under it.
            self._stale_lease_id = item.lease

    def on_lease_granted(self, lease_id: LeaseId, now: MonotonicTime) -> None:
        """Record the lease that the state service has granted."""
        self._action_in_flight = None
        self._lease.on_granted(lease_id, self._action_sent_at)

    def on_keep_alive(self, alive: bool, now: MonotonicTime) -> bool:
        """Handle the response to a keep-alive: the lease is still `alive`, or has ended.

        Return whether this node has stepped down.
        """
        self._action_in_flight = None
        if alive:
            self._lease.on_extended(self._action_sent_at)
            return False
        self._step_down(now)
        return True

    def on_lease_revoked(self, now: MonotonicTime) -> None:
        """Handle the end of the stale lease, which the state service has confirmed."""
        self._action_in_flight = None
        if self._lease.lease_id == self._stale_lease_id:
            self._lease.on_lost()
        self._stale_lease_id = None
        self._next_read_at = now

    def on_campaign_result(
        self, revision: Revision | None, now: MonotonicTime, *, lease_lost: bool = False
    ) -> None:
        """Handle the response to a campaign.

        `revision` is the version of the leader key if this node has won. It is None if the campaign
        has failed, because the key exists already or, with `lease_lost`, the lease has ended.
        """
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
