"""What a node does with the reports of its workers, as a state machine.

Most reports tell nothing new. A relay answers those itself, under a grant of the leader, and hands
the others to it; the leader's commands come back for that one report and go out as its response.
A relay never keeps commands for a later report, so what holds with one node holds with several:
one report is in flight, launches go only into its response, and the next newer report that the
leader takes tells what became of them.
"""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Any

from eldercart.units import (
    NEVER,
    NO_EPOCH,
    Epoch,
    HeardReports,
    MachineId,
    NodeId,
    ReportOrder,
    Steady,
)

SLACK_S = 1.0  # for answers under way when a leader stops granting
SUPERSEDED_S = 2.0  # for which a grant outlives the word of a higher epoch
SWEEP_S = 5.0  # between two looks for machines to forget
FORGET_S = 90.0  # after which a machine that reports elsewhere, or nowhere, is forgotten
UNLINKED_PARTS = 3  # of a grant: after one without the leader, workers are sent to it
BOUNCE_S = 8.0  # a worker that was sent on and is back within this is kept
SPARE_ROOM = 1.25  # times the fair share of workers before new ones are sent on
SPARE_MORE = 4  # workers beyond that


def spare_s(cancel_s: float, lease_s: float, grant_s: float, drift_margin: float) -> float:
    """For how long after the end of its lease a leader may go on granting although somebody else
    may have been elected, whom it can't hear.

    That other leader may have confirmed a cancellation to a user as soon as this one's lease had
    ended. Its tasks must have ended `cancel_s` later even if they are on a machine whose worker is
    answered under this one's epoch all the time, and the store can't tell anybody. From the last
    contact this node answers for a grant, a relay that asked at the end of that for another one,
    and the worker kills its tasks a lease after the report that was answered last."""
    left = cancel_s * (1.0 - drift_margin) - lease_s * (1.0 + drift_margin)
    return left - 2.0 * grant_s - SLACK_S


def contact(
    lease_confirmed_at: Steady,
    lease_until: Steady,
    heard: Collection[Steady],
    spare: float,
    now: Steady,
) -> Steady:
    """From when a leader's own grant counts, which those of its relays hang on: the latest time at
    which it was sure that no other node led, or at which that does no harm yet. `heard`: for each
    other node, when the greeting was sent that it answered last, knowing of no higher epoch.

    In an outage of the store alone every node is heard, and a node that was elected before would
    say so: leases live for as long as it lasts. A node that is not heard may be the new leader:
    then to hear the rest extends the grant by `spare` at the most."""
    if not heard:
        return now
    bounded = Steady(min(max(heard), lease_until + max(0.0, spare)))
    return max(lease_confirmed_at, min(heard), bounded)


@dataclass(frozen=True, slots=True)
class Answer:
    """Answered here: the epoch, and no commands."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Forward:
    """For the leader; `reply` says later what the worker gets."""


@dataclass(frozen=True, slots=True)
class Redirect:
    """The worker should report to that node instead; None: to any other."""

    to: NodeId | None


@dataclass(frozen=True, slots=True)
class Overtaken:
    """Older than what was seen: a late copy. It proves nothing and renews nothing."""


Decision = Answer | Forward | Redirect | Overtaken


@dataclass(slots=True)
class RelayedMachine:
    """What this relay knows of one machine."""

    order: ReportOrder
    seen: Steady
    base: Any = None  # the tasks as the leader took them last; None: the next report goes to it
    notice: bool = False
    answered_epoch: Epoch = NO_EPOCH  # the epoch last answered with, here


class Relay:
    """Owns the grant and what is known per machine."""

    def __init__(self, label: NodeId, grant_s: float, drift_margin: float) -> None:
        """Without a grant. `grant_s` is shortened by the drift that the clocks may have."""
        self.label = label
        self.epoch = Epoch(0)
        self._superseded = Epoch(0)  # the highest epoch that a peer has told of
        self.leader: NodeId | None = None
        self._grant_s = grant_s * (1.0 - drift_margin)
        self._until = NEVER
        self._linked = NEVER  # when the leader was last heard on the connection to it
        self._most: int | None = None
        self._spare: NodeId | None = None
        self._known: dict[MachineId, RelayedMachine] = {}
        self._heard: dict[MachineId, ReportOrder] = {}
        self._sent_on: dict[MachineId, Steady] = {}
        self._sweep_due = NEVER

    # -- the grant

    def granted(
        self,
        epoch: Epoch,
        leader: NodeId,
        asked: Steady,
        now: Steady,
        most: int | None = None,
        spare: NodeId | None = None,
    ) -> None:
        """The leader of `epoch` lets this node answer for it; counted from before it was asked."""
        if epoch < max(self.epoch, self._superseded):
            # Its leader has not heard yet of the one after it.
            return
        if epoch > self.epoch:
            # Another leader knows nothing of what the last one took.
            for known in self._known.values():
                known.base = None
            self._heard.clear()
            self.epoch = epoch
        self.leader = leader
        self._until = Steady(max(self._until, asked + self._grant_s))
        self._linked = now
        self._most, self._spare = most, spare

    def current(self, epoch: Epoch, seen: Steady) -> None:
        """The state service shows that `epoch` still leads: what the leader took holds on. An
        empty answer starts and stops nothing, so it needs no more than that."""
        if epoch == self.epoch >= self._superseded:
            self._until = Steady(max(self._until, seen + self._grant_s))

    def superseded(self, epoch: Epoch, now: Steady) -> None:
        """A peer knows a higher epoch. Its leader may confirm cancellations from now on, so this
        grant ends; the moment is for the grant of the new one, which is asked for at once."""
        if epoch > max(self.epoch, self._superseded):
            self._superseded = epoch
            self._until = Steady(min(self._until, now + SUPERSEDED_S))

    def revoke(self) -> None:
        """This node may not answer for the leader any more."""
        self._until = NEVER

    def holds_grant(self, now: Steady) -> bool:
        """Whether this node may answer workers now."""
        return now < self._until

    @property
    def machines(self) -> int:
        """How many machines report here."""
        return len(self._known)

    # -- reports

    def report(
        self,
        machine: MachineId,
        order: ReportOrder,
        epoch: Epoch,
        notice: bool,
        tasks: Any,
        now: Steady,
        reachable: bool,
    ) -> Decision:
        """What becomes of a report. `notice`: whether the machine will be taken back; `tasks`: its
        list as it came; `reachable`: whether a report can be handed to the leader now."""
        known = self._known.get(machine)
        if known is not None and order <= known.order:
            return Overtaken()
        if not self.holds_grant(now) or epoch > self.epoch:
            return self._not_entitled(machine, epoch)
        if known is None:
            if self._crowded(machine, now):
                return Redirect(self._spare)
            known = self._known[machine] = RelayedMachine(order, now)
        elif order.session != known.order.session:
            known.base = None
        known.order = order
        known.seen = now
        if epoch < self.epoch and known.answered_epoch != self.epoch:
            # It learns the epoch first; what it reports under the old one proves nothing.
            known.answered_epoch = self.epoch
            return Answer(self.epoch)
        unchanged = (
            epoch == self.epoch
            and known.base is not None
            and known.notice is notice
            and known.base == tasks
        )
        if unchanged:
            if self._spare is not None and self._most == 0 and self._may_send_on(machine, now):
                self._drop(machine)
                return Redirect(self._spare)
            self._heard[machine] = order
            return Answer(self.epoch)
        if not reachable:
            return self._without_leader(machine, known, now)
        known.base = None  # until the leader has answered, nobody knows what it took
        return Forward()

    def _not_entitled(self, machine: MachineId, epoch: Epoch) -> Redirect:
        """This node may not act. A 200 under an old epoch would hold the worker here while its
        lease runs out."""
        self._drop(machine)
        leads = self.leader if epoch <= self.epoch else None
        return Redirect(None if leads == self.label else leads)

    def _without_leader(self, machine: MachineId, known: RelayedMachine, now: Steady) -> Decision:
        """The worker has something to tell, and the leader can't be told it from here."""
        if now - self._linked > self._grant_s / UNLINKED_PARTS and self.leader != self.label:
            # The leader may well be there for it.
            self._drop(machine)
            return Redirect(self.leader)
        known.base = None
        return Answer(self.epoch)

    def answered(
        self, machine: MachineId, order: ReportOrder, notice: bool, tasks: Any, again: bool
    ) -> None:
        """The leader took this report. `again`: it answered with commands or waits for more, so
        the next report goes to it even if it looks the same: a dropped launch shows only there."""
        known = self._known.get(machine)
        if known is not None and known.order == order:
            known.base = None if again else tasks
            known.notice = notice

    def overtaken(self, machine: MachineId, order: ReportOrder) -> None:
        """The leader knows something newer: what this node took for the machine was a copy."""
        known = self._known.get(machine)
        if known is not None and known.order == order:
            self._drop(machine)

    def unlinked(self) -> None:
        """The connection to the leader is lost, and with it what the leader may have wanted."""
        for known in self._known.values():
            known.base = None

    def want(self, machine: MachineId) -> None:
        """The leader has something for the machine: its next report goes there."""
        known = self._known.get(machine)
        if known is not None:
            known.base = None

    def take_heard(self, now: Steady) -> HeardReports:
        """Whom this node has answered by itself since it was asked last."""
        if now >= self._sweep_due:
            self._sweep_due = Steady(now + SWEEP_S)
            for machine in [m for m, k in self._known.items() if now - k.seen > FORGET_S]:
                self._drop(machine)
            self._sent_on = {m: t for m, t in self._sent_on.items() if now - t < BOUNCE_S}
        heard, self._heard = self._heard, {}
        return tuple(heard.items())

    def _drop(self, machine: MachineId) -> None:
        self._known.pop(machine, None)
        self._heard.pop(machine, None)

    def _may_send_on(self, machine: MachineId, now: Steady) -> bool:
        if now - self._sent_on.get(machine, NEVER) < BOUNCE_S:
            return False
        self._sent_on[machine] = now
        return True

    def _crowded(self, machine: MachineId, now: Steady) -> bool:
        if self._most is None or self._spare is None or len(self._known) < self._most:
            return False
        return self._may_send_on(machine, now)


@dataclass(frozen=True, slots=True)
class Share:
    """How many workers a node should have at most, and where those beyond go."""

    most: int
    spare: NodeId | None


def shares(counts: dict[NodeId, int], leader: NodeId, sockets: int) -> dict[NodeId, Share]:
    """How many workers each node should have at most, and where the rest should go. The leader
    has enough to do: it takes none as long as another node is there."""
    others = {n: c for n, c in counts.items() if n != leader}
    if not others:
        return {leader: Share(sockets, None)}
    fair = sum(counts.values()) / len(others)
    most = min(sockets, int(fair * SPARE_ROOM) + SPARE_MORE)
    spare = min(others, key=lambda n: (others[n], n))
    out = {leader: Share(0, spare)}
    for node in others:
        target = spare if node != spare else None
        out[node] = Share(most, target)
    return out
