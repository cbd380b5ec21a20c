"""State machine that decides how a node answers the heartbeats of workers.

Most heartbeats report no change. A relay acknowledges those itself, under a lease that the leader
grants it, and forwards the others. The leader replies with commands for that one heartbeat, and the
relay sends them to the worker as its response. A relay never keeps commands for a later heartbeat,
so a cluster of several nodes has the same guarantees as a single node: a worker has one heartbeat
in flight, launches are sent only in its response, and the next newer heartbeat that the leader
handles shows whether they took effect.
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

STEP_DOWN_SLACK_S = 1.0  # allows for responses in flight when a leader stops granting leases
SUPERSEDED_LEASE_S = 2.0  # time left on a relay lease once a peer reports a higher token
SWEEP_INTERVAL_S = 5.0  # time between two removals of expired machines
MACHINE_EXPIRY_S = 90.0  # time without a heartbeat after which a relay drops a machine's state
# A relay redirects workers with changes to report to the leader once it has had no contact to the
# leader for longer than its lease divided by this.
LEADER_CONTACT_DIVISOR = 3
REDIRECT_COOLDOWN_S = 8.0  # a worker that returns within this time is not redirected again
MACHINE_SHARE_HEADROOM = 1.25  # factor on the fair share; a node redirects new machines beyond it
MACHINE_SHARE_SLACK = 4  # machines that a node accepts in addition


def lease_extension_s(
    cancel_s: float, lease_s: float, relay_lease_s: float, drift_margin: float
) -> float:
    """Return for how long a leader may grant relay leases after its own leader lease has ended.

    By then a node that this leader can't reach may have been elected. That new leader may confirm a
    cancellation to a user as soon as the old lease has ended. The job's tasks must have ended
    `cancel_s` later, even on a machine whose worker still receives responses with the old leader's
    token, and even during a store outage. In the worst case the old leader answers for one relay
    lease after its last contact, a relay that requests a lease at the end of that time answers for
    another one, and the worker kills its tasks one worker lease (`lease_s`) after the last
    heartbeat that was answered. The result may be negative. All times are in seconds.
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
    """Return the start of the leader's own relay lease, on which the leases of its relays depend.

    It is the latest time at which the leader was sure that no other node led, or at which another
    leader could not do any harm yet. `acknowledged_at` has an entry for each other node: the time
    at which this leader sent the last heartbeat that the node acknowledged without a higher token.

    In an outage of the store alone, every node acknowledges heartbeats, and a node that had been
    elected would report its higher token: leases are renewed for as long as the outage lasts. A
    node that does not acknowledge may be the new leader: then the acknowledgements of the others
    move the start to at most `extension_s` after `lease_until`, the end of the leader lease.
    """
    if not acknowledged_at:
        return now
    bounded = MonotonicTime(min(max(acknowledged_at), lease_until + max(0.0, extension_s)))
    return max(lease_confirmed_at, min(acknowledged_at), bounded)


@dataclass(frozen=True, slots=True)
class Acknowledge:
    """Answer the heartbeat with the token and without commands, without asking the leader."""

    token: FencingToken


@dataclass(frozen=True, slots=True)
class Forward:
    """Forward the heartbeat to the leader, and answer the worker with the leader's reply."""


@dataclass(frozen=True, slots=True)
class Redirect:
    """Redirect the worker to `target`; None: to any other node."""

    target: NodeId | None


@dataclass(frozen=True, slots=True)
class Stale:
    """Reject the heartbeat: it is a delayed copy, which proves nothing and renews nothing."""


Decision = Acknowledge | Forward | Redirect | Stale


@dataclass(slots=True)
class RelayedMachine:
    """State that a relay keeps for one machine."""

    sequence: HeartbeatSequence
    last_heartbeat_at: MonotonicTime
    # Tasks in the last heartbeat that the leader handled; None: the next one must be forwarded.
    acknowledged_tasks: Any = None
    has_preemption_notice: bool = False
    # The token that this node last sent to the worker because the worker showed an older one.
    acknowledged_token: FencingToken = NO_FENCING_TOKEN


class HeartbeatRelay:
    """Decides how to answer each heartbeat; owns this node's relay lease and the machines' state.

    The relay lease is the leader's permission to answer workers on its behalf for a limited time.
    """

    def __init__(self, label: NodeId, lease_s: float, drift_margin: float) -> None:
        """Start without a lease. A lease lasts `lease_s`, minus a margin for clock drift."""
        self.label = label
        self.token = FencingToken(0)
        self._newest_token = FencingToken(0)  # the highest that a peer has reported
        self.leader: NodeId | None = None
        self._lease_s = lease_s * (1.0 - drift_margin)
        self._lease_until = DISTANT_PAST
        self._leader_contact_at = DISTANT_PAST  # time at which the leader last granted a lease
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
        """Renew the lease that the leader with `token` grants; it starts at `requested_at`.

        `max_machines` is this node's share of the machines, and `redirect_target` the node to which
        it redirects machines beyond that.
        """
        if token < max(self.token, self._newest_token):
            # A newer leader was elected, and this one does not know it yet.
            return
        if token > self.token:
            # The new leader has no record of the heartbeats that the previous one handled.
            self._forward_all_next_heartbeats()
            self._acknowledged.clear()
            self.token = token
        self.leader = leader
        self._lease_until = MonotonicTime(max(self._lease_until, requested_at + self._lease_s))
        self._leader_contact_at = now
        self._max_machines, self._redirect_target = max_machines, redirect_target

    def confirm_token(self, token: FencingToken, confirmed_at: MonotonicTime) -> None:
        """Renew the lease because the state service shows that `token` is still the leader's.

        Acknowledgements without commands start and stop no task, so this evidence is enough.
        """
        if token == self.token >= self._newest_token:
            self._lease_until = MonotonicTime(max(self._lease_until, confirmed_at + self._lease_s))

    def observe_newer_token(self, token: FencingToken, now: MonotonicTime) -> None:
        """Shorten the lease, because a peer has reported a higher token.

        The leader with that token may confirm cancellations from now on. The remaining time lets
        this node get a lease from the new leader, which it requests at once.
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
        """Number of machines that send their heartbeats to this node."""
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
        """Decide how to answer a heartbeat.

        `token` is the highest that the worker has seen, `tasks` is its list of tasks as received,
        and `leader_reachable` says whether the heartbeat can be forwarded now.
        """
        state = self._machines.get(machine)
        if state is not None and sequence <= state.sequence:
            return Stale()
        if not self.holds_lease(now) or token > self.token:
            return self._redirect_without_lease(machine, token)
        if state is None:
            if self._exceeds_share(machine, now):
                return Redirect(self._redirect_target)
            state = self._machines[machine] = RelayedMachine(sequence, now)
        elif sequence.agent_epoch != state.sequence.agent_epoch:
            state.acknowledged_tasks = None
        state.sequence = sequence
        state.last_heartbeat_at = now
        if token < self.token and state.acknowledged_token != self.token:
            # Send the worker the current token first: what it reports under an old one proves
            # nothing.
            state.acknowledged_token = self.token
            return Acknowledge(self.token)
        unchanged = (
            token == self.token
            and state.acknowledged_tasks is not None
            and state.has_preemption_notice is has_preemption_notice
            and state.acknowledged_tasks == tasks
        )
        if unchanged:
            # With a share of zero, this node also redirects machines that already report to it.
            if (
                self._redirect_target is not None
                and self._max_machines == 0
                and self._may_redirect(machine, now)
            ):
                self._remove_machine(machine)
                return Redirect(self._redirect_target)
            self._acknowledged[machine] = sequence
            return Acknowledge(self.token)
        if not leader_reachable:
            return self._answer_without_leader(machine, state, now)
        # Until the leader replies, it is uncertain whether it has handled this heartbeat.
        state.acknowledged_tasks = None
        return Forward()

    def _redirect_without_lease(self, machine: MachineId, token: FencingToken) -> Redirect:
        """Redirect a worker that this node may not answer.

        An acknowledgement with an old token would not renew the worker's lease, and would keep the
        worker at this node while that lease expires.
        """
        self._remove_machine(machine)
        leader = self.leader if token <= self.token else None
        return Redirect(None if leader == self.label else leader)

    def _answer_without_leader(
        self, machine: MachineId, state: RelayedMachine, now: MonotonicTime
    ) -> Decision:
        """Answer a worker whose heartbeat reports a change but can't be forwarded now."""
        max_silence_s = self._lease_s / LEADER_CONTACT_DIVISOR
        if now - self._leader_contact_at > max_silence_s and self.leader != self.label:
            # The worker may be able to reach the leader directly.
            self._remove_machine(machine)
            return Redirect(self.leader)
        state.acknowledged_tasks = None
        return Acknowledge(self.token)

    def on_leader_response(
        self,
        machine: MachineId,
        sequence: HeartbeatSequence,
        has_preemption_notice: bool,
        tasks: Any,
        wants_next: bool,
    ) -> None:
        """Record that the leader has handled this heartbeat.

        `wants_next` is true if the leader replied with commands or needs the next heartbeat. That
        one is then forwarded even if it reports no change: only the leader can detect that a launch
        was lost.
        """
        state = self._machines.get(machine)
        if state is not None and state.sequence == sequence:
            state.acknowledged_tasks = None if wants_next else tasks
            state.has_preemption_notice = has_preemption_notice

    def on_stale_heartbeat(self, machine: MachineId, sequence: HeartbeatSequence) -> None:
        """Remove the machine: the leader has handled a newer heartbeat, so this one was a copy."""
        state = self._machines.get(machine)
        if state is not None and state.sequence == sequence:
            self._remove_machine(machine)

    def on_leader_disconnected(self) -> None:
        """Forward every machine's next heartbeat: requests for some of them may have been lost."""
        self._forward_all_next_heartbeats()

    def _forward_all_next_heartbeats(self) -> None:
        for state in self._machines.values():
            state.acknowledged_tasks = None

    def request_next_heartbeat(self, machine: MachineId) -> None:
        """Forward the machine's next heartbeat even if it reports no change.

        The leader has commands for the machine, or has not replied to the last heartbeat.
        """
        state = self._machines.get(machine)
        if state is not None:
            state.acknowledged_tasks = None

    def take_acknowledged(self, now: MonotonicTime) -> AcknowledgedHeartbeats:
        """Return and clear the heartbeats that this node has acknowledged without the leader."""
        if now >= self._sweep_due_at:
            self._sweep_due_at = MonotonicTime(now + SWEEP_INTERVAL_S)
            self._remove_expired(now)
        acknowledged, self._acknowledged = self._acknowledged, {}
        return tuple(acknowledged.items())

    def _remove_expired(self, now: MonotonicTime) -> None:
        for machine in [
            machine
            for machine, state in self._machines.items()
            if now - state.last_heartbeat_at > MACHINE_EXPIRY_S
        ]:
            self._remove_machine(machine)
        self._redirected_at = {
            machine: redirected_at
            for machine, redirected_at in self._redirected_at.items()
            if now - redirected_at < REDIRECT_COOLDOWN_S
        }

    def _remove_machine(self, machine: MachineId) -> None:
        self._machines.pop(machine, None)
        self._acknowledged.pop(machine, None)

    def _may_redirect(self, machine: MachineId, now: MonotonicTime) -> bool:
        """Record a redirect and return True, unless the machine was redirected recently."""
        if now - self._redirected_at.get(machine, DISTANT_PAST) < REDIRECT_COOLDOWN_S:
            return False
        self._redirected_at[machine] = now
        return True

    def _exceeds_share(self, machine: MachineId, now: MonotonicTime) -> bool:
        """Return whether to redirect a new machine, and record the redirect if so."""
        if (
            self._max_machines is None
            or self._redirect_target is None
            or len(self._machines) < self._max_machines
        ):
            return False
        return self._may_redirect(machine, now)


@dataclass(frozen=True, slots=True)
class MachineShare:
    """Maximum number of machines of a node, and the node that receives those beyond it."""

    max_machines: int
    redirect_target: NodeId | None


def machine_shares(
    machine_counts: dict[NodeId, int], leader: NodeId, max_machines: int
) -> dict[NodeId, MachineShare]:
    """Return each node's share of the machines; no share is above `max_machines`.

    `machine_counts` maps each node to the number of machines that report to it now. The leader has
    other work, so its share is zero if there is another node.
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
