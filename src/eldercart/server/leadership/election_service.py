"""Carries out what the election asks of the state service."""

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet import reactor as _reactor

from eldercart.election.actions import (
    Campaign,
    ElectionAction,
    GrantLease,
    KeepLeaseAlive,
    ReadLeaderKey,
    RevokeLease,
)
from eldercart.election.state_machine import Role
from eldercart.units import LeaseId, MonotonicTime, Revision
from eldercart.wire.leader_key import LEADER_KEY
from eldercart.wire.state import Item

if TYPE_CHECKING:
    from eldercart.server.controller_node import ControllerNode

reactor: Any = _reactor
log = logging.getLogger("eldercart.node")


class ElectionService:
    """Owns the watch on the leader key."""

    def __init__(self, node: "ControllerNode") -> None:
        """Nothing has been read yet."""
        self.node = node
        self.has_read_leader_key = False  # whether the leader key has been read once
        self._watch_revision = Revision(0)
        self._is_watching = False

    def tick(self, now: MonotonicTime) -> None:
        """Carries out what the election wants now, and keeps the watch on the leader key."""
        self._run_next_action(now)
        if not self._is_watching and self.has_read_leader_key:
            self._watch()

    def _run_next_action(self, now: MonotonicTime) -> None:
        action = self.node.election.next_action(now)
        store = self.node.store
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
            case Campaign(txn):
                store.requests.force_take(now)
                store.writes.force_take(now)
                store.commit(
                    txn, lambda status, rev, failed: self._on_claim_result(action, status, rev)
                )

    def _on_lease_opened(self, action: ElectionAction, lease: LeaseId | None) -> None:
        election, clock = self.node.election, self.node.clock
        if lease is None:
            election.on_action_failed(action, clock())
        else:
            election.on_lease_granted(lease, clock())
            self._run_next_action(clock())

    def _on_lease_renewed(self, action: ElectionAction, alive: bool | None) -> None:
        election, clock = self.node.election, self.node.clock
        if alive is None:
            election.on_action_failed(action, clock())
        elif election.on_keep_alive(alive, clock()):
            self.node.leader_service.end_leadership("lease ended")

    def _on_lease_revoked(self, action: ElectionAction, ok: bool) -> None:
        election, clock = self.node.election, self.node.clock
        if ok:
            election.on_lease_revoked(clock())
            self._run_next_action(clock())
        else:
            election.on_action_failed(action, clock())

    def _on_leader_key_read(self, action: ElectionAction, ok: bool, item: Item | None) -> None:
        e = self.node.election
        now = self.node.clock()
        if not ok:
            e.on_action_failed(action, now)
            return
        self.has_read_leader_key = True
        if item is not None:
            self._watch_revision = max(self._watch_revision, item.version)
        e.on_leader_key_read(item, now)
        if e.role is Role.LEADER:
            self.node.leader_service.start_failover()
        self._run_next_action(self.node.clock())

    def _on_claim_result(
        self, action: ElectionAction, status: int | None, revision: Revision
    ) -> None:
        e = self.node.election
        now = self.node.clock()
        if status == 200:
            e.on_campaign_result(revision, now)
            self.node.leader_service.start_failover()
        elif status in (400, 409):
            e.on_campaign_result(None, now, lease_lost=status == 400)
            self._run_next_action(now)
        else:
            e.on_action_failed(action, now)

    def _watch(self) -> None:
        self._is_watching = True
        e = self.node.election

        def changed(status: int | None, revision: Revision, events: list[Any]) -> None:
            if status == 200:
                self._watch_revision = max(self._watch_revision, revision)
                if events:
                    e.on_leader_key_changed(self.node.clock())
                    self._run_next_action(self.node.clock())
                self._is_watching = False
                return
            if status == 410:
                self._resync_watch()
                return
            reactor.callLater(1.0, self._allow_watch)

        self.node.store.watch(LEADER_KEY, self._watch_revision, 20.0, changed)

    def _resync_watch(self) -> None:
        """More has changed since than the store keeps, as after a cut of less than a minute. The
        key's own version may be older still: only a list tells from where to watch on."""

        def listed(items: list[Item] | None, revision: Revision) -> None:
            if items is not None:
                self._watch_revision = max(self._watch_revision, revision)
                self.node.election.on_leader_key_changed(self.node.clock())
            reactor.callLater(0.0 if items is not None else 1.0, self._allow_watch)

        self.node.store.range(LEADER_KEY, listed)

    def _allow_watch(self) -> None:
        self._is_watching = False
