"""Transfers the leadership together with a lease that only the leader can hold."""

import logging
from collections.abc import Callable, Collection
from typing import TYPE_CHECKING

from eldercart.election.state_machine import Role
from eldercart.singleton.holder_preference import AFFINITY, Affinity
from eldercart.singleton.lease_candidate import LeaseCandidate, LeaseState
from eldercart.units import MonotonicTime
from eldercart.wire.named_leases import LeaseName

if TYPE_CHECKING:
    from eldercart.election.state_machine import Election
    from eldercart.server.leadership.leader_service import LeaderService

log = logging.getLogger("eldercart.singleton")

# Followers other than the receiver defer their candidacy by this delay, renewed at each tick.
CANDIDACY_DEFERRAL_S = 1.0


class LeadershipHandOver:
    """Makes the leader resign once the lease has drained, and followers defer their candidacy.

    The receiver of the hand-over can then win the election and acquire the lease.
    """

    def __init__(
        self,
        election: "Election",
        leader_service: "LeaderService",
        candidate: LeaseCandidate,
        lease_names: Collection[LeaseName],
        is_supported_by_all: Callable[[LeaseName], bool],
    ) -> None:
        """`lease_names` are the leases in which this node takes part."""
        self._election = election
        self._leader_service = leader_service
        self._candidate = candidate
        self._lease_names = [name for name in lease_names if AFFINITY[name] is Affinity.LEADER]
        self._is_supported_by_all = is_supported_by_all

    def tick(self, now: MonotonicTime) -> None:
        """Take the next step of each hand-over in progress to another node."""
        for lease_name in self._lease_names:
            if not self._candidate.is_reserved_for_other_node(lease_name, now):
                continue
            if not self._is_supported_by_all(lease_name):
                continue  # no node, the receiver included, may acquire it
            if self._election.role is Role.FOLLOWER:
                self._defer_candidacy(now)
            elif self._is_drained(lease_name):
                self._resign(lease_name, now)
                return

    def _defer_candidacy(self, now: MonotonicTime) -> None:
        if self._election.leader is not None:
            self._election.defer_candidacy(MonotonicTime(now + CANDIDACY_DEFERRAL_S))

    def _is_drained(self, lease_name: LeaseName) -> bool:
        is_observer = self._candidate.state(lease_name) is LeaseState.OBSERVER
        return self._leader_service.is_active and is_observer

    def _resign(self, lease_name: LeaseName, now: MonotonicTime) -> None:
        log.info("leadership handed over lease=%s", lease_name)
        self._election.resign(now)
        self._leader_service.end_leadership("a named lease is handed over")
