"""The election's requests to the state service."""

from typing import Any, Protocol

from twisted.internet import reactor as _reactor

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
from eldercart.units import LeaseId, MonotonicTime, Revision
from eldercart.wire.leader_key import LEADER_KEY
from eldercart.wire.state import Item

reactor: Any = _reactor

WATCH_TIMEOUT_S = 20.0  # for which one request of the watch stays open
WATCH_RETRY_S = 1.0  # before a watch that failed is tried again


class LeadershipTerms(Protocol):
    """Receives the beginning and the end of each leadership."""

    def start_failover(self) -> None:
        """This node has been elected."""

    def end_leadership(self, reason: str, /) -> None:
        """This node leads no longer, or may not."""


class ElectionService:
    """Carries out the election's actions; owns the watch on the leader key."""

    def __init__(
        self, election: Election, store: StoreClient, leadership: LeadershipTerms, clock: Clock
    ) -> None:
        """Nothing has been read yet."""
        self.election = election
        self._store = store
        self._leadership = leadership
        self._clock = clock
        self.has_read_leader_key = False  # whether the leader key has been read once
        self._watch_revision = Revision(0)
        self._is_watching = False

    def tick(self, now: MonotonicTime) -> None:
        """Carry out the election's next action, and keep the watch on the leader key."""
        self._run_next_action(now)
        if not self._is_watching and self.has_read_leader_key:
            self._watch()

    def _run_next_action(self, now: MonotonicTime) -> None:
        action = self.election.next_action(now)
        store = self._store
        match action:
            case None:
                return
            case ReadLeaderKey():
                store.get(LEADER_KEY, lambda ok, item: self._on_leader_key_read(action, ok, item))
            case GrantLease(life_s):
                store.grant_lease(
                    int(life_s * 1000), lambda lease: self._on_lease_opened(action, lease)
                )
            case KeepLeaseAlive(lease):
                store.keep_lease_alive(lease, lambda alive: self._on_lease_renewed(action, alive))
            case RevokeLease(lease):
                store.revoke_lease(lease, lambda ok: self._on_lease_revoked(action, ok))
            case Campaign(transaction):
                store.requests.force_take(now)
                store.writes.force_take(now)
                store.commit(
                    transaction,
                    lambda status, revision, failed: self._on_claim_result(
                        action, status, revision
                    ),
                )

    def _on_lease_opened(self, action: ElectionAction, lease: LeaseId | None) -> None:
        election, clock = self.election, self._clock
        if lease is None:
            election.on_action_failed(action, clock())
        else:
            election.on_lease_granted(lease, clock())
            self._run_next_action(clock())

    def _on_lease_renewed(self, action: ElectionAction, alive: bool | None) -> None:
        election, clock = self.election, self._clock
        if alive is None:
            election.on_action_failed(action, clock())
        elif election.on_keep_alive(alive, clock()):
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

    def _on_claim_result(
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

    def _watch(self) -> None:
        self._is_watching = True

        def changed(status: int | None, revision: Revision, events: list[Any]) -> None:
            if status == 200:
                self._watch_revision = max(self._watch_revision, revision)
                if events:
                    self.election.on_leader_key_changed(self._clock())
                    self._run_next_action(self._clock())
                self._is_watching = False
                return
            if status == 410:
                self._resync_watch()
                return
            reactor.callLater(WATCH_RETRY_S, self._allow_watch)

        self._store.watch(LEADER_KEY, self._watch_revision, WATCH_TIMEOUT_S, changed)

    def _resync_watch(self) -> None:
        """Find the revision to watch on from, as the store no longer keeps the changes since.

        That is so after a cut of less than a minute. The key's own version may be older still:
        only a range read gives the present revision.
        """

        def listed(items: list[Item] | None, revision: Revision) -> None:
            if items is not None:
                self._watch_revision = max(self._watch_revision, revision)
                self.election.on_leader_key_changed(self._clock())
            reactor.callLater(0.0 if items is not None else WATCH_RETRY_S, self._allow_watch)

        self._store.range(LEADER_KEY, listed)

    def _allow_watch(self) -> None:
        self._is_watching = False
