"""What a node does with the heartbeats of workers, as a state machine.

Most heartbeats report no change. A relay acknowledges those itself, under a lease that the leader
grants it, and forwards the others; the leader's commands come back for that one heartbeat and go
out as its response. A relay never keeps commands for a later heartbeat, so what holds with one node
holds with several: one heartbeat is in flight, launches go only into its response, and the next
newer heartbeat that the leader handles shows what became of them.
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

STEP_DOWN_SLACK_S = 1.0  # for responses in flight when a leader stops granting leases
SUPERSEDED_LEASE_S = 2.0  # that remain of a relay lease once a peer knows a higher token
SWEEP_INTERVAL_S = 5.0  # between two removals of expired machines
MACHINE_EXPIRY_S = 90.0  # without a heartbeat here, after which a machine is forgotten
# The part of a relay lease after which, without contact to the leader, workers that have changes
# to report are redirected to it.
LEADER_CONTACT_DIVISOR = 3
REDIRECT_COOLDOWN_S = 8.0  # a worker that was redirected and is back within this is kept
MACHINE_SHARE_HEADROOM = 1.25  # times the fair share of machines before new ones are redirected
MACHINE_SHARE_SLACK = 4  # machines beyond that


def lease_extension_s(
    cancel_s: float, lease_s: float, relay_lease_s: float, drift_margin: float
) -> float:
    """Return for how long after the end of its leader lease a leader may go on granting relay
    leases although another leader, which it can't hear, may have been elected.

    That other leader may have confirmed a cancellation to a user as soon as this one's lease had
    ended. The job's tasks must have ended `cancel_s` later, even if they are on a machine whose
    worker is answered under this leader's token all the time and the store is out. In the worst
    case this node answers for one relay lease after its last contact, a relay that asked at the
    end of that for another one, and the worker kills its tasks a worker lease (`lease_s`) after the
    heartbeat that was answered last. The result may be negative. All times are in seconds.
    """
    remaining_s = cancel_s * (1.0 - drift_margin) - lease_s * (1.0 + drift_margin)
    return remaining_s - 2.0 * relay_lease_s - STEP_DOWN_SLACK_S


def leader_lease_start(
    lease_confirmed_at: MonotonicTime,
    lease_until: MonotonicTime,
    acknowledged_at: Collection[MonotonicTime],
    extension_s: float,
    now: MonotonicTime,
) -> MonotonicTime:
    """Return when the leader's own relay lease begins, on which those of its relays depend.

    It is the latest time at which the leader was sure that no other node led, or at which another
    leader did no harm yet. `acknowledged_at` holds for each other node when the last heartbeat was
    sent that the node acknowledged, knowing of no higher token.

    In an outage of the store alone every node is heard, and a node that was elected before would
    say so: leases are renewed for as long as the outage lasts. A node that is not heard may be the
    new leader: then the acknowledgements of the others extend the lease by `extension_s` at most.
    """
    if not acknowledged_at:
        return now
    bounded = MonotonicTime(min(max(acknowledged_at), lease_until + max(0.0, extension_s)))
    return max(lease_confirmed_at, min(acknowledged_at), bounded)


@dataclass(frozen=True, slots=True)
class Acknowledge:
    """Answer the heartbeat here, with the token and without commands."""

    token: FencingToken


@dataclass(frozen=True, slots=True)
class Forward:
    """Forward the heartbeat to the leader, whose reply is the worker's response."""


@dataclass(frozen=True, slots=True)
class Redirect:
    """Tell the worker to send its heartbeats to `target` instead; None: to any other node."""

    target: NodeId | None


@dataclass(frozen=True, slots=True)
class Stale:
    """Reject the heartbeat: it is a late copy, which proves nothing and renews nothing."""


Decision = Acknowledge | Forward | Redirect | Stale


@dataclass(slots=True)
class RelayedMachine:
    """What this relay knows of one machine."""

    sequence: HeartbeatSequence
    last_heartbeat_at: MonotonicTime
    # The tasks as the leader knows them; None: the next heartbeat must be forwarded.
    acknowledged_tasks: Any = None
    has_preemption_notice: bool = False
    # With which this node answered last a worker that did not know it yet.
    acknowledged_token: FencingToken = NO_FENCING_TOKEN


class HeartbeatRelay:
    """Decides on heartbeats by this node's relay lease and by what is known of each machine.

    The relay lease is the leader's permission to answer workers for it until some time.
    """

    def __init__(self, label: NodeId, lease_s: float, drift_margin: float) -> None:
        """Start without a lease. A lease lasts `lease_s`, less the drift that clocks may have."""
        self.label = label
        self.token = FencingToken(0)
        self._newest_token = FencingToken(0)  # the highest that a peer has told of
        self.leader: NodeId | None = None
        self._lease_s = lease_s * (1.0 - drift_margin)
        self._lease_until = DISTANT_PAST
        self._leader_contact_at = DISTANT_PAST  # when the leader last granted a lease
        self._max_machines: int | None = None
        self._redirect_target: NodeId | None = None
        self._machines: dict[MachineId, RelayedMachine] = {}
        self._acknowledged: dict[MachineId, HeartbeatSequence] = {}
        self._redirected_at: dict[MachineId, MonotonicTime] = {}
        self._sweep_due_at = DISTANT_PAST

    # -- the relay lease

    def renew_lease(
        self,
        token: FencingToken,
        leader: NodeId,
        requested_at: MonotonicTime,
        now: MonotonicTime,
        max_machines: int | None = None,
        redirect_target: NodeId | None = None,
    ) -> None:
        """Renew the lease that the leader with `token` grants, from `requested_at` on.

        `max_machines` and `redirect_target` are this node's share of the machines.
        """
        if token < max(self.token, self._newest_token):
            # This leader has not heard yet of its successor.
            return
        if token > self.token:
            # A new leader knows nothing of the heartbeats that the last one handled.
            self._forward_all_next_heartbeats()
            self._acknowledged.clear()
            self.token = token
        self.leader = leader
        self._lease_until = MonotonicTime(max(self._lease_until, requested_at + self._lease_s))
        self._leader_contact_at = now
        self._max_machines, self._redirect_target = max_machines, redirect_target

    def confirm_token(self, token: FencingToken, confirmed_at: MonotonicTime) -> None:
        """Renew the lease because the state service shows that `token` is still the leader's.

        An acknowledgement without commands starts and stops no task, so it needs no more than that.
        """
        if token == self.token >= self._newest_token:
            self._lease_until = MonotonicTime(max(self._lease_until, confirmed_at + self._lease_s))

    def observe_newer_token(self, token: FencingToken, now: MonotonicTime) -> None:
        """End the lease soon, since a peer knows a higher token.

        The leader with that token may confirm cancellations from now on. The time that is left is
        for a lease of the new leader, which is asked for at once.
        """
        if token > max(self.token, self._newest_token):
            self._newest_token = token
            self._lease_until = MonotonicTime(min(self._lease_until, now + SUPERSEDED_LEASE_S))

    def revoke_lease(self) -> None:
        """End the lease at once."""
        self._lease_until = DISTANT_PAST

    def holds_lease(self, now: MonotonicTime) -> bool:
        """Return whether this node may answer workers now."""
        return now < self._lease_until

    @property
    def machine_count(self) -> int:
        """How many machines report here."""
        return len(self._machines)

    # -- heartbeats

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
        """Decide what to do with a heartbeat.

        `token` is the highest that the worker has seen, `tasks` its list of tasks as it came, and
        `leader_reachable` tells whether the heartbeat could be forwarded now.
        """
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
            # The worker learns the token first; what it reports under an old one proves nothing.
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
        # Until the leader has replied, it is not known what it has handled.
        known.acknowledged_tasks = None
        return Forward()

    def _reject_without_lease(self, machine: MachineId, token: FencingToken) -> Redirect:
        """Redirect a worker that this node may not answer.

        An acknowledgement with an old token would keep the worker here while its lease expires.
        """
        self._forget(machine)
        leader = self.leader if token <= self.token else None
        return Redirect(None if leader == self.label else leader)

    def _answer_without_leader(
        self, machine: MachineId, known: RelayedMachine, now: MonotonicTime
    ) -> Decision:
        """Answer a worker that reports a change which can't be forwarded to the leader now."""
        max_silence_s = self._lease_s / LEADER_CONTACT_DIVISOR
        if now - self._leader_contact_at > max_silence_s and self.leader != self.label:
            # The worker may well reach the leader itself.
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
        """Note that the leader has handled this heartbeat.

        `wants_next`: it replied with commands or waits for more, so the next heartbeat must be
        forwarded even if nothing seems to change: only the leader can see that a launch got lost.
        """
        known = self._machines.get(machine)
        if known is not None and known.sequence == sequence:
            known.acknowledged_tasks = None if wants_next else tasks
            known.has_preemption_notice = has_preemption_notice

    def on_stale_heartbeat(self, machine: MachineId, sequence: HeartbeatSequence) -> None:
        """Forget the machine: the leader knows a newer heartbeat, so this one was a copy."""
        known = self._machines.get(machine)
        if known is not None and known.sequence == sequence:
            self._forget(machine)

    def on_leader_disconnected(self) -> None:
        """Forward all next heartbeats: the leader's requests for some of them may be lost."""
        self._forward_all_next_heartbeats()

    def _forward_all_next_heartbeats(self) -> None:
        for known in self._machines.values():
            known.acknowledged_tasks = None

    def request_next_heartbeat(self, machine: MachineId) -> None:
        """Forward the machine's next heartbeat: the leader has something for it."""
        known = self._machines.get(machine)
        if known is not None:
            known.acknowledged_tasks = None

    def take_acknowledged(self, now: MonotonicTime) -> AcknowledgedHeartbeats:
        """Return and clear the heartbeats that this node has acknowledged by itself."""
        if now >= self._sweep_due_at:
            self._sweep_due_at = MonotonicTime(now + SWEEP_INTERVAL_S)
            self._remove_expired(now)
        acknowledged, self._acknowledged = self._acknowledged, {}
        return tuple(acknowledged.items())

    def _remove_expired(self, now: MonotonicTime) -> None:
        for machine in [
            machine
            for machine, known in self._machines.items()
            if now - known.last_heartbeat_at > MACHINE_EXPIRY_S
        ]:
            self._forget(machine)
        self._redirected_at = {
            machine: redirected_at
            for machine, redirected_at in self._redirected_at.items()
            if now - redirected_at < REDIRECT_COOLDOWN_S
        }

    def _forget(self, machine: MachineId) -> None:
        self._machines.pop(machine, None)
        self._acknowledged.pop(machine, None)

    def _may_redirect(self, machine: MachineId, now: MonotonicTime) -> bool:
        """Note the redirection and return True, unless the machine was redirected lately."""
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
    """How many machines should report to a node at most, and where those beyond that go."""

    max_machines: int
    redirect_target: NodeId | None


def machine_shares(
    machine_counts: dict[NodeId, int], leader: NodeId, max_machines: int
) -> dict[NodeId, MachineShare]:
    """Return each node's share of the machines, none of them above `max_machines`.

    `machine_counts` holds how many machines report to each node now. The leader has enough to do:
    it takes none as long as there is another node.
    """
    relays = {node: count for node, count in machine_counts.items() if node != leader}
    if not relays:
        return {leader: MachineShare(max_machines, None)}
    fair_share = sum(machine_counts.values()) / len(relays)
    share = min(max_machines, int(fair_share * MACHINE_SHARE_HEADROOM) + MACHINE_SHARE_SLACK)
    least_loaded = min(relays, key=lambda node: (relays[node], node))
    result = {leader: MachineShare(0, least_loaded)}
    for node in relays:
        result[node] = MachineShare(share, least_loaded if node != least_loaded else None)
    return result
