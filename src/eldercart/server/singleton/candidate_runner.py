"""Executes the actions of this node's named-lease candidate at the state service."""

import logging
from collections.abc import Callable, Collection
from typing import NamedTuple

from eldercart.election.actions import GrantLease, KeepLeaseAlive
from eldercart.server.singleton.lease_watch import LeaseWatcher
from eldercart.server.store.client import StoreClient
from eldercart.singleton.candidate_actions import Acquire, ReadDirectory, Release
from eldercart.singleton.eligibility import ClusterView, IneligibilityReason
from eldercart.singleton.lease_candidate import LeaseCandidate, LeaseState
from eldercart.units import LeaseId, MonotonicTime, Revision
from eldercart.wire.named_leases import LeaseName
from eldercart.wire.state import Transaction

log = logging.getLogger("eldercart.singleton")


class LoggedStatus(NamedTuple):
    """The role of this node for a lease, and why it may not hold the lease, as last logged."""

    state: LeaseState
    ineligibility: IneligibilityReason | None  # None: it may


class CandidateRunner:
    """Executes the candidate's actions one at a time and keeps a watch open on the lease keys."""

    def __init__(
        self,
        candidate: LeaseCandidate,
        lease_names: Collection[LeaseName],
        store: StoreClient,
        clock: Callable[[], MonotonicTime],
        cluster_view: Callable[[MonotonicTime], ClusterView],
    ) -> None:
        """The states of the leases in `lease_names` are logged. `cluster_view` returns the node's
        current knowledge of the cluster that is not in the stored keys."""
        self._candidate = candidate
        self._lease_names = lease_names
        self._store = store
        self._clock = clock
        self._cluster_view = cluster_view
        self._lease_watcher = LeaseWatcher(store, candidate.directory, self._run_next_action)
        self._logged_statuses: dict[LeaseName, LoggedStatus] = {}

    def tick(self) -> None:
        """Execute the next action if one is due, and reopen the watch if it has closed."""
        self._run_next_action()
        if not self._candidate.is_read_pending():
            self._lease_watcher.ensure_watching()

    def _run_next_action(self) -> None:
        now = self._clock()
        candidate, store = self._candidate, self._store
        action = candidate.next_action(self._cluster_view(now))
        self._log_state_changes()
        match action:
            case GrantLease(ttl_s):
                store.grant_lease(int(ttl_s * 1000), self._on_lease_granted)
            case KeepLeaseAlive(lease_id):
                store.keep_lease_alive(lease_id, self._on_keep_alive)
            case ReadDirectory():
                self._lease_watcher.read_all(self._on_directory_read)
            case Acquire(lease_name, transaction):
                log.info("lease acquisition requested lease=%s", lease_name)
                self._commit(transaction, candidate.on_acquired)
            case Release(lease_name, transaction):
                reason = candidate.ineligibility(lease_name)
                log.info(
                    "lease release requested lease=%s reason=%s",
                    lease_name,
                    None if reason is None else reason.value,
                )
                self._commit(transaction, candidate.on_released)

    def _commit(self, transaction: Transaction, on_committed: Callable[[Revision], None]) -> None:
        now = self._clock()
        self._store.requests.force_take(now)
        self._store.writes.force_take(now, len(transaction.operations))

        def done(status: int | None, revision: Revision, failed: tuple[str, ...]) -> None:
            if status == 200:
                on_committed(revision)
            elif status in (400, 409):
                self._candidate.on_transaction_rejected(lease_lost=status == 400)
            else:
                self._candidate.on_action_failed(self._clock())
            self._run_next_action()

        self._store.commit(transaction, done)

    def _on_lease_granted(self, lease_id: LeaseId | None) -> None:
        if lease_id is None:
            self._candidate.on_action_failed(self._clock())
        else:
            self._candidate.on_lease_granted(lease_id)
            self._run_next_action()

    def _on_keep_alive(self, alive: bool | None) -> None:
        if alive is None:
            self._candidate.on_action_failed(self._clock())
        else:
            self._candidate.on_keep_alive(alive)
            self._run_next_action()

    def _on_directory_read(self, ok: bool) -> None:
        if ok:
            self._candidate.on_directory_read()
            self._run_next_action()
        else:
            self._candidate.on_action_failed(self._clock())

    def _log_state_changes(self) -> None:
        for lease_name in self._lease_names:
            status = LoggedStatus(
                self._candidate.state(lease_name), self._candidate.ineligibility(lease_name)
            )
            if self._logged_statuses.get(lease_name) == status:
                continue
            self._logged_statuses[lease_name] = status
            token = self._candidate.directory.entry(lease_name).token
            log.info(
                "lease state changed lease=%s state=%s token=%d reason=%s",
                lease_name,
                status.state.value,
                token,
                None if status.ineligibility is None else status.ineligibility.value,
            )
