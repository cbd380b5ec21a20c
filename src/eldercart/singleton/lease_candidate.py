"""One node's part in the duties: when it asks for one, holds it, drains it and gives it up.

A duty is held by whoever created its key in the state service last. The key's version is the
token on which every write of the holder is guarded, so a node that believes wrongly that it holds
a duty writes nothing. The lease only says when others may take the key without asking, and the
node's own clock only keeps it from trying in vain.
"""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from eldercart.election.state_machine import LEAD_KEY, OpenLease, RenewLease
from eldercart.singleton.holder_preference import AFFINITY, Affinity, is_overloaded, rank
from eldercart.singleton.lease_directory import DutyBoard, DutyEntry
from eldercart.units import (
    ABSENT,
    NEVER,
    NO_EPOCH,
    NO_TOKEN,
    Epoch,
    IncarnationId,
    LeaseId,
    NodeId,
    Revision,
    Steady,
    Token,
    WallTime,
)
from eldercart.wire.named_leases import (
    DutyName,
    HolderRecord,
    hand_over_key,
    holder_key,
    holder_value,
    pause_key,
)
from eldercart.wire.state import Drop, Item, Put, Txn

RENEWAL_PARTS = 3  # of a lease; one is the time from a renewal to the next
FAILED_PARTS = 12  # of a lease; one is the pause after an action that was not carried out
RANK_PARTS = 4  # of a lease; one is the time for which the next best candidate waits


class DutyState(Enum):
    """What a node is for a duty, as far as it knows."""

    OBSERVER = "observer"  # may not hold it now
    CANDIDATE = "candidate"
    HOLDER = "holder"
    DRAINING = "draining"  # still holds it, begins nothing new and gives it up
    LOST = "lost"  # held it, and cannot know any more whether another node does


class Obstacle(Enum):
    """Why this node may not hold a duty, or not go on holding it."""

    OFF = "this node does not take part in it"
    NOT_ANNOUNCED = "not every node takes part in it"
    PAUSED = "it is paused"
    NOT_LEADER = "it belongs to the leader"
    HANDED_OVER = "it is being handed over to another node"
    SLOW = "this node is too slow"
    UNBALANCED = "another node holds fewer duties"


@dataclass(frozen=True, slots=True)
class Situation:
    """What a node knows beside the stored keys, when it decides."""

    now: Steady
    wall: WallTime
    leader: NodeId | None = None  # as far as this node knows
    epoch: Epoch = NO_EPOCH  # under which this node leads; 0: it does not
    announced: Collection[DutyName] = ()  # duties that every node takes part in
    candidates: Collection[NodeId] = ()  # nodes that are reachable, this one included
    busy: Collection[DutyName] = ()  # duties of which something is under way here
    slow: bool = False
    ending: bool = False  # this node is about to end


@dataclass(frozen=True, slots=True)
class Acquire:
    """Create the duty's key."""

    duty: DutyName
    txn: Txn
    record: HolderRecord


@dataclass(frozen=True, slots=True)
class Release:
    """Delete the duty's key."""

    duty: DutyName
    txn: Txn


@dataclass(frozen=True, slots=True)
class ReadBoard:
    """Read the keys of all duties."""


Action = OpenLease | RenewLease | Acquire | Release | ReadBoard


@dataclass(slots=True)
class _Tenure:
    """This node's dealings with one duty."""

    token: Token = NO_TOKEN  # under which it holds the duty
    state: DutyState = DutyState.OBSERVER
    obstacle: Obstacle | None = None
    wanted_since: Steady | None = None
    held_since: Steady = NEVER
    hand_over_seen: Steady = NEVER
    hand_over_version: Revision = ABSENT


class DutyMembership:
    """One action is under way at a time: `next_action`, carry it out, report its result."""

    def __init__(
        self,
        label: NodeId,
        incarnation: IncarnationId,
        duties: Collection[DutyName],
        lease_s: float,
        drift_margin: float,
        hand_over_s: float,
        stay_s: float,
    ) -> None:
        """A node that takes part in `duties`. A hand-over that its receiver does not take up is
        void after `hand_over_s`; a duty that was taken is not given up for balance before
        `stay_s`."""
        self.label = label
        self.incarnation = incarnation
        self.duties = frozenset(duties)
        self.board = DutyBoard()
        self._lease_s = lease_s
        self._usable = lease_s * (1 - drift_margin)
        self._hand_over_s = hand_over_s
        self._stay_s = stay_s
        self._tenures = {duty: _Tenure() for duty in DutyName}
        self._lease: LeaseId | None = None
        self._deadline = NEVER
        self._renewal_due = NEVER
        self._read_wanted = True
        self._doubted = False  # a token of this node was refused, and nothing was read since
        self._pause = NEVER
        self._under_way: Action | None = None
        self._sent = NEVER

    # -- what others may ask

    def token(self, duty: DutyName, now: Steady) -> Token | None:
        """The token under which new work may begin; None while there is none. That the lease has
        time left is no proof of anything: the state service compares the token."""
        tenure = self._tenures[duty]
        if tenure.state is DutyState.HOLDER and now < self._deadline and not self._doubted:
            return tenure.token
        return None

    def held_token(self, duty: DutyName) -> Token | None:
        """The token under which work that has begun may be finished, also while it drains."""
        tenure = self._tenures[duty]
        return tenure.token if tenure.state in (DutyState.HOLDER, DutyState.DRAINING) else None

    def state(self, duty: DutyName) -> DutyState:
        """What this node is for the duty."""
        return self._tenures[duty].state

    def obstacle(self, duty: DutyName) -> Obstacle | None:
        """Why this node does not hold the duty; None: nothing speaks against it."""
        return self._tenures[duty].obstacle

    def reading(self) -> bool:
        """Whether the board waits for a read."""
        return self._read_wanted

    # -- decisions

    def next_action(self, situation: Situation) -> Action | None:
        """What is to be carried out now; its outcome must be handed in before the next."""
        self._look(situation)
        if self._under_way is not None or situation.now < self._pause:
            return None
        action = self._choose(situation)
        if action is not None:
            self._under_way = action
            self._sent = situation.now
        return action

    def _choose(self, situation: Situation) -> Action | None:
        now = situation.now
        if self._read_wanted:
            return ReadBoard()
        if self._lease is not None and now >= self._renewal_due and self._uses_lease():
            return RenewLease(self._lease)
        for duty, tenure in self._tenures.items():
            if tenure.state is DutyState.DRAINING and duty not in situation.busy:
                return self._release(duty, tenure)
        for duty, tenure in self._tenures.items():
            if tenure.state is DutyState.CANDIDATE and self._may_acquire(duty, situation):
                if self._lease is None or now >= self._deadline:
                    return OpenLease(self._lease_s)
                return self._acquire(duty, situation)
        return None

    def _uses_lease(self) -> bool:
        return any(
            tenure.state in (DutyState.HOLDER, DutyState.DRAINING, DutyState.LOST)
            for tenure in self._tenures.values()
        )

    def _look(self, situation: Situation) -> None:
        """Brings the state of each duty up to what is known now."""
        for duty, tenure in self._tenures.items():
            entry = self.board.entry(duty)
            mine = self._is_mine(entry)
            self._note_times(tenure, entry, mine, situation.now)
            tenure.obstacle = self._obstacle(duty, tenure, entry, situation)
            if mine:
                self._look_at_own(tenure, situation.now)
            else:
                self._look_at_other(tenure, situation.now)

    def _look_at_own(self, tenure: _Tenure, now: Steady) -> None:
        if tenure.obstacle is not None:
            tenure.state = DutyState.DRAINING
        elif self._lease is None or now >= self._deadline:
            tenure.state = DutyState.LOST
        else:
            tenure.state = DutyState.HOLDER

    def _look_at_other(self, tenure: _Tenure, now: Steady) -> None:
        tenure.token = NO_TOKEN
        if tenure.obstacle is not None:
            tenure.state = DutyState.OBSERVER
            tenure.wanted_since = None
            return
        tenure.state = DutyState.CANDIDATE
        if tenure.wanted_since is None:
            tenure.wanted_since = now

    def _note_times(self, tenure: _Tenure, entry: DutyEntry, mine: bool, now: Steady) -> None:
        if mine and tenure.token != entry.token:
            tenure.token = entry.token
            tenure.held_since = now
        if entry.hand_over_version != tenure.hand_over_version:
            tenure.hand_over_version = entry.hand_over_version
            tenure.hand_over_seen = now

    def _is_mine(self, entry: DutyEntry) -> bool:
        holder = entry.holder
        return (
            holder is not None
            and holder.node == self.label
            and holder.incarnation == self.incarnation
        )

    def _obstacle(
        self, duty: DutyName, tenure: _Tenure, entry: DutyEntry, situation: Situation
    ) -> Obstacle | None:
        if duty not in self.duties or situation.ending:
            return Obstacle.OFF
        if duty not in situation.announced:
            return Obstacle.NOT_ANNOUNCED
        if entry.paused:
            return Obstacle.PAUSED
        if AFFINITY[duty] is Affinity.LEADER and situation.epoch == NO_EPOCH:
            return Obstacle.NOT_LEADER
        if self.awaits_receiver(duty, situation.now):
            return Obstacle.HANDED_OVER
        if AFFINITY[duty] is Affinity.ANY:
            return self._preference_obstacle(tenure, entry, situation)
        return None

    def _preference_obstacle(
        self, tenure: _Tenure, entry: DutyEntry, situation: Situation
    ) -> Obstacle | None:
        if situation.slow:
            return Obstacle.SLOW
        if not self._is_mine(entry) or situation.now - tenure.held_since < self._stay_s:
            return None
        snapshot = self.board.snapshot
        if is_overloaded(self.label, situation.candidates, situation.leader, snapshot):
            return Obstacle.UNBALANCED
        return None

    def awaits_receiver(self, duty: DutyName, now: Steady) -> bool:
        """Whether the duty is kept for another node. How long that lasts goes by this node's own
        clock, which can at worst make it a candidate too early: the store decides."""
        entry, tenure = self.board.entry(duty), self._tenures[duty]
        if entry.hand_over is None or entry.hand_over.to == self.label:
            return False
        return now - tenure.hand_over_seen < self._hand_over_s

    # -- acquiring and releasing

    def _may_acquire(self, duty: DutyName, situation: Situation) -> bool:
        entry, tenure = self.board.entry(duty), self._tenures[duty]
        if AFFINITY[duty] is Affinity.LEADER:
            return True  # whoever held it before is not the leader, and writes nothing any more
        if entry.held and not self._left_by_earlier_start(entry):
            tenure.wanted_since = situation.now
            return False
        if entry.hand_over is not None and entry.hand_over.to == self.label:
            return True
        place = rank(self.label, situation.candidates, situation.leader, self.board.snapshot)
        waited = situation.now - (tenure.wanted_since or situation.now)
        return waited >= place * self._lease_s / RANK_PARTS

    def _left_by_earlier_start(self, entry: DutyEntry) -> bool:
        return entry.holder is not None and entry.holder.node == self.label

    def _acquire(self, duty: DutyName, situation: Situation) -> Acquire:
        """The key is created, or replaced in the version that was seen: of two nodes that see the
        same, one is refused. Nobody acquires a duty that is paused meanwhile."""
        entry = self.board.entry(duty)
        record = HolderRecord(self.label, self.incarnation, situation.wall)
        txn = Txn(
            {holder_key(duty): Revision(entry.token), pause_key(duty): ABSENT},
            [Put(holder_key(duty), holder_value(record), self._lease)],
        )
        if AFFINITY[duty] is Affinity.LEADER:
            txn.guards[LEAD_KEY] = Revision(situation.epoch)
        if entry.hand_over_version != ABSENT:
            txn.guards[hand_over_key(duty)] = entry.hand_over_version
            txn.writes.append(Drop(hand_over_key(duty)))
        return Acquire(duty, txn, record)

    def _release(self, duty: DutyName, tenure: _Tenure) -> Release:
        key = holder_key(duty)
        return Release(duty, Txn({key: Revision(tenure.token)}, [Drop(key)]))

    # -- inputs

    def failed(self, now: Steady) -> None:
        """No answer, 429 or 503: not carried out, or nobody knows. Only a read can tell then."""
        action = self._under_way
        self._under_way = None
        self._pause = Steady(now + self._lease_s / FAILED_PARTS)
        if not isinstance(action, OpenLease | RenewLease):
            self._read_wanted = True

    def opened(self, lease: LeaseId) -> None:
        """The lease was opened; it counts from before the request was sent."""
        self._under_way = None
        self._lease = lease
        self._deadline = Steady(self._sent + self._usable)
        self._renewal_due = Steady(self._sent + self._lease_s / RENEWAL_PARTS)

    def renewed(self, alive: bool) -> None:
        """The renewal's answer: a lease that has ended took its keys with it."""
        self._under_way = None
        if alive:
            self._deadline = Steady(self._sent + self._usable)
            self._renewal_due = Steady(self._sent + self._lease_s / RENEWAL_PARTS)
            return
        self._lease = None
        self._deadline = NEVER
        self._read_wanted = True

    def acquired(self, revision: Revision) -> None:
        """The key was created at `revision`."""
        action = self._under_way
        self._under_way = None
        if not isinstance(action, Acquire):
            return
        key = holder_key(action.duty)
        events: list[Item | Drop] = [Item(key, holder_value(action.record), revision)]
        events += [write for write in action.txn.writes if isinstance(write, Drop)]
        self.board.wrote(events, revision)

    def released(self, revision: Revision) -> None:
        """The key was deleted at `revision`."""
        action = self._under_way
        self._under_way = None
        if isinstance(action, Release):
            self.board.wrote([Drop(holder_key(action.duty))], revision)

    def refused(self, lease_lost: bool = False) -> None:
        """A transaction was refused for one of its guards, or for the lease."""
        self._under_way = None
        self._read_wanted = True
        if lease_lost:
            self._lease = None
            self._deadline = NEVER

    def disproved(self) -> None:
        """A write under a token of this node was refused: another node holds the duty."""
        self._read_wanted = True
        self._doubted = True

    def read(self) -> None:
        """The board has taken a read."""
        self._under_way = None
        self._read_wanted = False
        self._doubted = False
