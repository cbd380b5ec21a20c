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
    DISTANT_PAST,
    NO_FENCING_TOKEN,
    AcknowledgedHeartbeats,
    FencingToken,
    HeartbeatSequence,
    MachineId,
    MonotonicTime,
    NodeId,
)

STEP_DOWN_SLACK_S = 1.0  # for answers under way when a leader stops granting
SUPERSEDED_LEASE_S = 2.0  # for which a grant outlives the word of a higher epoch
SWEEP_INTERVAL_S = 5.0  # between two looks for machines to forget
MACHINE_EXPIRY_S = 90.0  # after which a machine that reports elsewhere, or nowhere, is forgotten
LEADER_CONTACT_DIVISOR = 3  # of a grant: after one without the leader, workers are sent to it
REDIRECT_COOLDOWN_S = 8.0  # a worker that was sent on and is back within this is kept
MACHINE_SHARE_HEADROOM = 1.25  # times the fair share of workers before new ones are sent on
MACHINE_SHARE_SLACK = 4  # workers beyond that


def lease_extension_s(
    cancel_s: float, lease_s: float, relay_lease_s: float, drift_margin: float
) -> float:
    """For how long after the end of its lease a leader may go on granting although somebody else
    may have been elected, whom it can't hear.

    That other leader may have confirmed a cancellation to a user as soon as this one's lease had
    ended. Its tasks must have ended `cancel_s` later even if they are on a machine whose worker is
    answered under this one's epoch all the time, and the store can't tell anybody. From the last
    contact this node answers for a grant, a relay that asked at the end of that for another one,
    and the worker kills its tasks a lease after the report that was answered last."""
    left = cancel_s * (1.0 - drift_margin) - lease_s * (1.0 + drift_margin)
    return left - 2.0 * relay_lease_s - STEP_DOWN_SLACK_S


def leader_lease_start(
    lease_confirmed_at: MonotonicTime,
    lease_until: MonotonicTime,
    acknowledged_at: Collection[MonotonicTime],
    extension_s: float,
    now: MonotonicTime,
) -> MonotonicTime:
    """From when a leader's own grant counts, which those of its relays hang on: the latest time at
    which it was sure that no other node led, or at which that does no harm yet. `heard`: for each
    other node, when the greeting was sent that it answered last, knowing of no higher epoch.

    In an outage of the store alone every node is heard, and a node that was elected before would
    say so: leases live for as long as it lasts. A node that is not heard may be the new leader:
    then to hear the rest extends the grant by `spare` at the most."""
    if not acknowledged_at:
        return now
    bounded = MonotonicTime(min(max(acknowledged_at), lease_until + max(0.0, extension_s)))
    return max(lease_confirmed_at, min(acknowledged_at), bounded)


@dataclass(frozen=True, slots=True)
class Acknowledge:
    """Answered here: the epoch, and no commands."""

    token: FencingToken


@dataclass(frozen=True, slots=True)
class Forward:
    """For the leader; `reply` says later what the worker gets."""


@dataclass(frozen=True, slots=True)
class Redirect:
    """The worker should report to that node instead; None: to any other."""

    target: NodeId | None


@dataclass(frozen=True, slots=True)
class Stale:
    """Older than what was seen: a late copy. It proves nothing and renews nothing."""


Decision = Acknowledge | Forward | Redirect | Stale


@dataclass(slots=True)
class RelayedMachine:
    """What this relay knows of one machine."""

    sequence: HeartbeatSequence
    last_heartbeat_at: MonotonicTime
    acknowledged_tasks: Any = (
        None  # the tasks as the leader took them last; None: the next report goes to it
    )
    has_preemption_notice: bool = False
    acknowledged_token: FencingToken = NO_FENCING_TOKEN  # the epoch last answered with, here


class HeartbeatRelay:
    """Owns the grant and what is known per machine."""

    def __init__(self, label: NodeId, lease_s: float, drift_margin: float) -> None:
        """Without a grant. `grant_s` is shortened by the drift that the clocks may have."""
        self.label = label
        self.token = FencingToken(0)
        self._newest_token = FencingToken(0)  # the highest epoch that a peer has told of
        self.leader: NodeId | None = None
        self._lease_s = lease_s * (1.0 - drift_margin)
        self._lease_until = DISTANT_PAST
        self._leader_contact_at = (
            DISTANT_PAST  # when the leader was last heard on the connection to it
        )
        self._max_machines: int | None = None
        self._redirect_target: NodeId | None = None
        self._machines: dict[MachineId, RelayedMachine] = {}
        self._acknowledged: dict[MachineId, HeartbeatSequence] = {}
        self._redirected_at: dict[MachineId, MonotonicTime] = {}
        self._sweep_due_at = DISTANT_PAST

    # -- the grant

    def renew_lease(
        self,
        token: FencingToken,
        leader: NodeId,
        requested_at: MonotonicTime,
        now: MonotonicTime,
        max_machines: int | None = None,
        redirect_target: NodeId | None = None,
    ) -> None:
        """The leader of `epoch` lets this node answer for it; counted from before it was asked."""
        if token < max(self.token, self._newest_token):
            # Its leader has not heard yet of the one after it.
            return
        if token > self.token:
            # Another leader knows nothing of what the last one took.
            for known in self._machines.values():
                known.acknowledged_tasks = None
            self._acknowledged.clear()
            self.token = token
        self.leader = leader
        self._lease_until = MonotonicTime(max(self._lease_until, requested_at + self._lease_s))
        self._leader_contact_at = now
        self._max_machines, self._redirect_target = max_machines, redirect_target

    def confirm_token(self, token: FencingToken, confirmed_at: MonotonicTime) -> None:
        """The state service shows that `epoch` still leads: what the leader took holds on. An
        empty answer starts and stops nothing, so it needs no more than that."""
        if token == self.token >= self._newest_token:
            self._lease_until = MonotonicTime(max(self._lease_until, confirmed_at + self._lease_s))

    def observe_newer_token(self, token: FencingToken, now: MonotonicTime) -> None:
        """A peer knows a higher epoch. Its leader may confirm cancellations from now on, so this
        grant ends; the moment is for the grant of the new one, which is asked for at once."""
        if token > max(self.token, self._newest_token):
            self._newest_token = token
            self._lease_until = MonotonicTime(min(self._lease_until, now + SUPERSEDED_LEASE_S))

    def revoke_lease(self) -> None:
        """This node may not answer for the leader any more."""
        self._lease_until = DISTANT_PAST

    def holds_lease(self, now: MonotonicTime) -> bool:
        """Whether this node may answer workers now."""
        return now < self._lease_until

    @property
    def machine_count(self) -> int:
        """How many machines report here."""
        return len(self._machines)

    # -- reports

    def handle_heartbeat(
        self,
        machine: MachineId,
        sequence: HeartbeatSequence,
        token: FencingToken,
        has_preemption_notice: bool,
        tasks: Any,
        now: MonotonicTime,
        leader_reachable: bool,
    ) -> Decision:
        """What becomes of a report. `notice`: whether the machine will be taken back; `tasks`: its
        list as it came; `reachable`: whether a report can be handed to the leader now."""
        known = self._machines.get(machine)
        if known is not None and sequence <= known.sequence:
            return Stale()
        if not self.holds_lease(now) or token > self.token:
            return self._reject_without_lease(machine, token)
        if known is None:
            if self._exceeds_share(machine, now):
                return Redirect(self._redirect_target)
            known = self._machines[machine] = RelayedMachine(sequence, now)
        elif sequence.agent_epoch != known.sequence.agent_epoch:
            known.acknowledged_tasks = None
        known.sequence = sequence
        known.last_heartbeat_at = now
        if token < self.token and known.acknowledged_token != self.token:
            # It learns the epoch first; what it reports under the old one proves nothing.
            known.acknowledged_token = self.token
            return Acknowledge(self.token)
        unchanged = (
            token == self.token
            and known.acknowledged_tasks is not None
            and known.has_preemption_notice is has_preemption_notice
            and known.acknowledged_tasks == tasks
        )
        if unchanged:
            if (
                self._redirect_target is not None
                and self._max_machines == 0
                and self._may_redirect(machine, now)
            ):
                self._forget(machine)
                return Redirect(self._redirect_target)
            self._acknowledged[machine] = sequence
            return Acknowledge(self.token)
        if not leader_reachable:
            return self._answer_without_leader(machine, known, now)
        known.acknowledged_tasks = None  # until the leader has answered, nobody knows what it took
        return Forward()

    def _reject_without_lease(self, machine: MachineId, token: FencingToken) -> Redirect:
        """This node may not act. A 200 under an old epoch would hold the worker here while its
        lease runs out."""
        self._forget(machine)
        leads = self.leader if token <= self.token else None
        return Redirect(None if leads == self.label else leads)

    def _answer_without_leader(
        self, machine: MachineId, known: RelayedMachine, now: MonotonicTime
    ) -> Decision:
        """The worker has something to tell, and the leader can't be told it from here."""
        if (
            now - self._leader_contact_at > self._lease_s / LEADER_CONTACT_DIVISOR
            and self.leader != self.label
        ):
            # The leader may well be there for it.
            self._forget(machine)
            return Redirect(self.leader)
        known.acknowledged_tasks = None
        return Acknowledge(self.token)

    def on_leader_response(
        self,
        machine: MachineId,
        sequence: HeartbeatSequence,
        has_preemption_notice: bool,
        tasks: Any,
        wants_next: bool,
    ) -> None:
        """The leader took this report. `again`: it answered with commands or waits for more, so
        the next report goes to it even if it looks the same: a dropped launch shows only there."""
        known = self._machines.get(machine)
        if known is not None and known.sequence == sequence:
            known.acknowledged_tasks = None if wants_next else tasks
            known.has_preemption_notice = has_preemption_notice

    def on_stale_heartbeat(self, machine: MachineId, sequence: HeartbeatSequence) -> None:
        """The leader knows something newer: what this node took for the machine was a copy."""
        known = self._machines.get(machine)
        if known is not None and known.sequence == sequence:
            self._forget(machine)

    def on_leader_disconnected(self) -> None:
        """The connection to the leader is lost, and with it what the leader may have wanted."""
        for known in self._machines.values():
            known.acknowledged_tasks = None

    def request_next_heartbeat(self, machine: MachineId) -> None:
        """The leader has something for the machine: its next report goes there."""
        known = self._machines.get(machine)
        if known is not None:
            known.acknowledged_tasks = None

    def take_acknowledged(self, now: MonotonicTime) -> AcknowledgedHeartbeats:
        """Whom this node has answered by itself since it was asked last."""
        if now >= self._sweep_due_at:
            self._sweep_due_at = MonotonicTime(now + SWEEP_INTERVAL_S)
            for machine in [
                m for m, k in self._machines.items() if now - k.last_heartbeat_at > MACHINE_EXPIRY_S
            ]:
                self._forget(machine)
            self._redirected_at = {
                m: t for m, t in self._redirected_at.items() if now - t < REDIRECT_COOLDOWN_S
            }
        heard, self._acknowledged = self._acknowledged, {}
        return tuple(heard.items())

    def _forget(self, machine: MachineId) -> None:
        self._machines.pop(machine, None)
        self._acknowledged.pop(machine, None)

    def _may_redirect(self, machine: MachineId, now: MonotonicTime) -> bool:
        if now - self._redirected_at.get(machine, DISTANT_PAST) < REDIRECT_COOLDOWN_S:
            return False
        self._redirected_at[machine] = now
        return True

    def _exceeds_share(self, machine: MachineId, now: MonotonicTime) -> bool:
        if (
            self._max_machines is None
            or self._redirect_target is None
            or len(self._machines) < self._max_machines
        ):
            return False
        return self._may_redirect(machine, now)


@dataclass(frozen=True, slots=True)
class MachineShare:
    """How many workers a node should have at most, and where those beyond go."""

    max_machines: int
    redirect_target: NodeId | None


def machine_shares(
    machine_counts: dict[NodeId, int], leader: NodeId, max_machines: int
) -> dict[NodeId, MachineShare]:
    """How many workers each node should have at most, and where the rest should go. The leader
    has enough to do: it takes none as long as another node is there."""
    others = {n: c for n, c in machine_counts.items() if n != leader}
    if not others:
        return {leader: MachineShare(max_machines, None)}
    fair = sum(machine_counts.values()) / len(others)
    most = min(max_machines, int(fair * MACHINE_SHARE_HEADROOM) + MACHINE_SHARE_SLACK)
    spare = min(others, key=lambda n: (others[n], n))
    out = {leader: MachineShare(0, spare)}
    for node in others:
        target = spare if node != spare else None
        out[node] = MachineShare(most, target)
    return out
