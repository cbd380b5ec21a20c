"""Leadership, as a state machine without I/O.

The leader key in the state service hangs on a short lease there. Creating the key
is the election; the key's version is the epoch, which workers compare as their fencing token and
on which every write of the leader is guarded. Versions only grow, so epochs do.
"""

import math
from dataclasses import dataclass
from enum import Enum

from eldercart.units import (
    ABSENT,
    NEVER,
    ONLY_INCARNATION,
    Epoch,
    IncarnationId,
    LeaseId,
    NodeId,
    Revision,
    Steady,
)
from eldercart.wire.state import Item, Put, Txn

LEAD_KEY = "lead"

# Parts of the lease's life.
FAILED_PARTS = 16  # one is the pause after an action that was not carried out
RENEWAL_PARTS = 5  # one is the time from a renewal to the next
READ_PARTS = 2  # one is the time between two reads of the leader key, besides the watch on it
RESIGNED_LEASES = 3  # for which a node that has resigned does not claim the leadership


class Role(Enum):
    """What this node is, as far as it knows."""

    FOLLOWER = "follower"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class ReadLead:
    """Read the leader key."""


@dataclass(frozen=True, slots=True)
class OpenLease:
    """Open a lease of that many seconds in the state service."""

    ttl_s: float


@dataclass(frozen=True, slots=True)
class RenewLease:
    """Renew the lease."""

    lease: LeaseId


@dataclass(frozen=True, slots=True)
class RevokeLease:
    """End the lease, and with it the leader key on it."""

    lease: LeaseId


@dataclass(frozen=True, slots=True)
class Claim:
    """Create the leader key, if it is absent."""

    txn: Txn


Action = ReadLead | OpenLease | RenewLease | RevokeLease | Claim


class Election:
    """One action is in flight at a time: `next_action`, carry it out, report its result."""

    def __init__(
        self,
        label: NodeId,
        lease_s: float,
        drift_margin: float,
        incarnation: IncarnationId = ONLY_INCARNATION,
    ) -> None:
        """A follower. The leader's lease lasts for `hold_s` seconds; the share `drift_margin` of
        them is not counted on, for the clocks' sake."""
        self.label = label
        # of this start: a claim of an earlier one may still be carried out
        self.incarnation = incarnation
        self.role = Role.FOLLOWER
        self.epoch = Epoch(0)
        self.leader: NodeId | None = None
        self._lease_s = lease_s
        self._usable = lease_s * (1 - drift_margin)
        self._lease: LeaseId | None = None
        self._deadline = NEVER
        self._sent = Steady(0)
        self._read_due = NEVER
        self._renewal_due = NEVER
        self._absent = False  # the last read found no leader key
        self._stale_lease: LeaseId | None = None
        self._revocation_due = NEVER
        self._under_way: Action | None = None
        self._back_at = NEVER

    # -- what others may ask

    def within_lease(self, now: Steady) -> bool:
        """Whether no other node can be leader now. Counted from before the renewal was sent."""
        return self.role is Role.LEADER and now < self._deadline

    @property
    def lease_until(self) -> Steady:
        """Until when no other node can have been elected."""
        return self._deadline

    @property
    def lease_confirmed_at(self) -> Steady:
        """When the renewal was sent that the store confirmed last."""
        return Steady(self._deadline - self._usable)

    def may_order(self, now: Steady, refused_at: Steady) -> bool:
        """Whether the cloud may be asked for machines or deletions. Nothing guards those calls as
        the leader key guards a write, so a leader that slept past its lease must not carry out what
        it had decided before: another one may run tasks there by now. In an outage of the state
        service, which answers and refuses (last at `refused_at`), nobody else is elected; if it
        refuses this node alone, the peers soon tell of the new epoch."""
        refused = self.role is Role.LEADER and refused_at >= now - self._lease_s
        return refused or self.within_lease(now)

    # -- inputs

    def lead_changed(self, now: Steady) -> None:
        """A watch says that the leader key has changed."""
        self._read_due = now

    def saw_epoch(self, epoch: Epoch, now: Steady) -> bool:
        """A peer's message or a worker's report carries a higher epoch: somebody else leads."""
        if epoch <= self.epoch:
            return False
        if self.role is Role.LEADER:
            self._step_down(now)
            return True
        self._read_due = now
        return False

    def heard_leader(self, leader: NodeId, epoch: Epoch) -> None:
        """The leader of `epoch` says so itself: as good as a read of the key, and sooner."""
        if self.role is Role.FOLLOWER and epoch >= self.epoch:
            self.epoch = epoch
            self.leader = leader

    def deposed(self, now: Steady) -> None:
        """A write guarded on the leader key failed on that guard."""
        if self.role is Role.LEADER:
            self._step_down(now)

    def resign(self, now: Steady) -> None:
        """Gives the lease up for one that can do more, and stands back for a while."""
        if self.role is not Role.LEADER:
            return
        lease = self._lease
        self._step_down(now)
        self._stale_lease = lease
        self._back_at = Steady(now + RESIGNED_LEASES * self._lease_s)

    def stand_back(self, until: Steady) -> None:
        """Leaves the leadership to another node, if that claims it before `until`."""
        self._back_at = max(self._back_at, until)

    def retire(self, now: Steady) -> None:
        """Gives the lease up for good: this node is about to end."""
        self.resign(now)
        if self._stale_lease is None:
            # A claim on it may be under way, or be carried out later although it had no answer.
            self._stale_lease = self._lease
        self._back_at = Steady(math.inf)

    @property
    def hands_over(self) -> bool:
        """Whether a lease that was given up may still hold the leader key."""
        return self._stale_lease is not None or isinstance(self._under_way, Claim)

    def next_action(self, now: Steady) -> Action | None:
        """What is to be carried out now; its outcome must be handed in before the next."""
        if self._under_way is not None:
            return None
        action = self._choose(now)
        if action is not None:
            self._under_way = action
            self._sent = now
        return action

    # -- decisions

    def _choose(self, now: Steady) -> Action | None:
        if self.role is Role.LEADER:
            if now >= self._renewal_due and self._lease is not None:
                return RenewLease(self._lease)
            return None
        if self._stale_lease is not None and now >= self._revocation_due:
            return RevokeLease(self._stale_lease)
        if self._absent and now >= self._back_at:
            if self._lease is None or now >= self._deadline:
                return OpenLease(self._lease_s)
            txn = Txn(
                {LEAD_KEY: ABSENT},
                [Put(LEAD_KEY, {"node": self.label, "life": self.incarnation}, self._lease)],
            )
            return Claim(txn)
        if now >= self._read_due:
            return ReadLead()
        return None

    def failed(self, action: Action, now: Steady) -> None:
        """No answer, 429 or 503: not carried out, or nobody knows."""
        self._under_way = None
        pause = self._lease_s / FAILED_PARTS
        if isinstance(action, RenewLease):
            self._renewal_due = Steady(now + pause)
        elif isinstance(action, Claim):
            # It may have been applied or may be yet: the key itself must tell.
            self._absent = False
            self._read_due = Steady(now + pause)
        elif isinstance(action, RevokeLease):
            # Tried again until it is answered; reads of the key go on in between.
            self._revocation_due = Steady(now + 2 * pause)
            self._read_due = Steady(now + pause)
        else:
            self._absent = False
            self._read_due = Steady(now + pause)

    def read(self, item: Item | None, now: Steady) -> None:
        """The leader key as a read found it; None: it is absent."""
        self._under_way = None
        self._absent = item is None
        # The watch on the key is the usual alarm; this is the backstop if it hangs.
        self._read_due = Steady(now + self._lease_s / READ_PARTS)
        if item is None:
            self.leader = None
            return
        node = item.value.get("node") if isinstance(item.value, dict) else None
        if node == self.label:
            mine = isinstance(item.value, dict) and item.value.get("life") == self.incarnation
            held = self._lease is not None and item.lease == self._lease
            if mine and held and now < self._deadline:
                self._lead(Epoch(item.version), now)  # a claim whose response was lost
            elif item.lease is not None:
                # Left by an earlier incarnation of this process: nobody leads under it any more.
                self._stale_lease = item.lease
            return
        self.leader = NodeId(node) if isinstance(node, str) else None
        self.epoch = max(self.epoch, Epoch(item.version))

    def opened(self, lease: LeaseId, now: Steady) -> None:
        """The lease was opened; it counts from before the request was sent."""
        self._under_way = None
        self._lease = lease
        self._deadline = Steady(self._sent + self._usable)

    def renewed(self, alive: bool, now: Steady) -> bool:
        """Returns whether the node is deposed by this."""
        self._under_way = None
        if alive:
            self._deadline = Steady(self._sent + self._usable)
            self._renewal_due = Steady(self._sent + self._lease_s / RENEWAL_PARTS)
            return False
        self._step_down(now)
        return True

    def dropped(self, now: Steady) -> None:
        """The lease that was left over has ended."""
        self._under_way = None
        if self._lease == self._stale_lease:
            self._lease = None
        self._stale_lease = None
        self._read_due = now

    def claimed(self, revision: Revision | None, now: Steady, lease_lost: bool = False) -> None:
        """The claim's answer; None: somebody else holds the key, or the lease has ended."""
        self._under_way = None
        self._absent = False
        if revision is None:
            if lease_lost:
                self._lease = None
            self._read_due = now
            return
        self._lead(Epoch(revision), now)

    def _lead(self, epoch: Epoch, now: Steady) -> None:
        self.role = Role.LEADER
        self.epoch = epoch
        self.leader = self.label
        self._absent = False
        self._renewal_due = now

    def _step_down(self, now: Steady) -> None:
        self.role = Role.FOLLOWER
        self.leader = None
        self._lease = None
        self._deadline = NEVER
        self._read_due = now
        self._absent = False
