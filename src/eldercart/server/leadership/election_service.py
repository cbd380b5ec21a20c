"""The election's requests to the state service."""

from typing import Protocol

from eldercart.election.actions import (
    Campaign,
    ElectionAction,
    GrantLease,
    KeepLeaseAlive,
    ReadLeaderKey,
    RevokeLease,
)
from eldercart.election.state_machine import Election, Role
from eldercart.server.node_context import Clock
from eldercart.server.store.client import StoreClient
from eldercart.server.store.prefix_watch import PrefixWatch
from eldercart.units import LeaseId, MonotonicTime, Revision
from eldercart.wire.leader_key import LEADER_KEY
from eldercart.wire.state import Item, KeyChange


class LeadershipLifecycle(Protocol):
    """Receives the start and the end of each leadership of this node."""

    def start_failover(self) -> None:
        """Start to lead: this node has been elected."""

    def end_leadership(self, reason: str, /) -> None:
        """Stop leading: this node is no longer the leader, or may not be."""


class ElectionService:
    """Carries out the election's actions; owns the watch on the leader key."""

    def __init__(
        self, election: Election, store: StoreClient, leadership: LeadershipLifecycle, clock: Clock
    ) -> None:
        """Send nothing before the first `tick`."""
        self.election = election
        self._store = store
        self._leadership = leadership
        self._clock = clock
        self.has_read_leader_key = False  # True after the first successful read
        self._watch_revision = Revision(0)
        self._key_watch = PrefixWatch(
            store, LEADER_KEY, self._on_watched_changes, self._on_changes_lost
        )

    def tick(self, now: MonotonicTime) -> None:
        """Carry out the election's next action, and keep a watch on the leader key open."""
        self._run_next_action(now)
        if self.has_read_leader_key:
            self._ensure_watching()

    def _run_next_action(self, now: MonotonicTime) -> None:
        action = self.election.next_action(now)
        store = self._store
        match action:
            case None:
                return
            case ReadLeaderKey():
                store.get(LEADER_KEY, lambda ok, item: self._on_leader_key_read(action, ok, item))
            case GrantLease(ttl_s):
                store.grant_lease(
                    int(ttl_s * 1000), lambda lease: self._on_lease_granted(action, lease)
                )
            case KeepLeaseAlive(lease):
                store.keep_lease_alive(
                    lease, lambda is_alive: self._on_keep_alive(action, is_alive)
                )
            case RevokeLease(lease):
                store.revoke_lease(lease, lambda ok: self._on_lease_revoked(action, ok))
            case Campaign(transaction):
                store.requests.force_take(now)
                store.writes.force_take(now)
                store.commit(
                    transaction,
                    lambda status, revision, failed: self._on_campaign_result(
                        action, status, revision
                    ),
                )

    def _on_lease_granted(self, action: ElectionAction, lease: LeaseId | None) -> None:
        election, clock = self.election, self._clock
        if lease is None:
            election.on_action_failed(action, clock())
        else:
            election.on_lease_granted(lease, clock())
            self._run_next_action(clock())

    def _on_keep_alive(self, action: ElectionAction, is_alive: bool | None) -> None:
        election, clock = self.election, self._clock
        if is_alive is None:
            election.on_action_failed(action, clock())
        elif election.on_keep_alive(is_alive, clock()):
            self._leadership.end_leadership("lease ended")

    def _on_lease_revoked(self, action: ElectionAction, ok: bool) -> None:
        election, clock = self.election, self._clock
        if ok:
            election.on_lease_revoked(clock())
            self._run_next_action(clock())
        else:
            election.on_action_failed(action, clock())

    def _on_leader_key_read(self, action: ElectionAction, ok: bool, item: Item | None) -> None:
        election, now = self.election, self._clock()
        if not ok:
            election.on_action_failed(action, now)
            return
        self.has_read_leader_key = True
        if item is not None:
            self._watch_revision = max(self._watch_revision, item.version)
        election.on_leader_key_read(item, now)
        if election.role is Role.LEADER:
            self._leadership.start_failover()
        self._run_next_action(self._clock())

    def _on_campaign_result(
        self, action: ElectionAction, status: int | None, revision: Revision
    ) -> None:
        election, now = self.election, self._clock()
        if status == 200:
            election.on_campaign_result(revision, now)
            self._leadership.start_failover()
        elif status in (400, 409):
            election.on_campaign_result(None, now, lease_lost=status == 400)
            self._run_next_action(now)
        else:
            election.on_action_failed(action, now)

    def _ensure_watching(self) -> None:
        self._key_watch.ensure_open(self._watch_revision)

    def _on_watched_changes(self, changes: list[KeyChange], revision: Revision) -> None:
        self._watch_revision = max(self._watch_revision, revision)
        if changes:
            self.election.on_leader_key_changed(self._clock())
            self._run_next_action(self._clock())

    def _on_changes_lost(self, items: list[Item], revision: Revision) -> None:
        """Resume the watch at the current revision after the store has dropped older changes.

        A partition of less than a minute is enough for that. The leader key's own version may be
        older still, so the revision of the range read is needed. The key is read once more, since
        that read also returns its lease.
        """
        self._watch_revision = max(self._watch_revision, revision)
        self.election.on_leader_key_changed(self._clock())
