"""Decides how the leader's cloud requests and writes under named leases may be dispatched."""

from collections.abc import Callable, Collection

from eldercart.server.store.client import StoreClient
from eldercart.singleton.lease_candidate import LeaseCandidate, LeaseState
from eldercart.singleton.write_ahead_gate import DispatchMode, DispatchPolicy
from eldercart.units import MonotonicTime
from eldercart.wire.named_leases import LeaseName

# Work under a held lease is blocked once the state service has been failing for this long.
STORE_FAILURE_GRACE_S = 1.0


class DispatchPolicies:
    """Returns the dispatch policy of each named lease.

    The policy depends on the state of this node's leases, on whether all nodes support the lease,
    and on whether the state service is available.
    """

    def __init__(
        self,
        enabled_leases: Collection[LeaseName],
        candidate: LeaseCandidate,
        is_supported_by_all: Callable[[LeaseName], bool],
        store: StoreClient,
    ) -> None:
        """`enabled_leases` are the leases in which this node takes part."""
        self._enabled_leases = enabled_leases
        self._candidate = candidate
        self._is_supported_by_all = is_supported_by_all
        self._store = store

    def policy(self, lease_name: LeaseName, now: MonotonicTime) -> DispatchPolicy:
        """Return how requests under the lease are to be dispatched now."""
        if lease_name not in self._enabled_leases:
            return DispatchPolicy(DispatchMode.DIRECT)
        candidate = self._candidate
        token = candidate.usable_token(lease_name, now)
        if token is not None:
            is_available = self._is_store_available(now)
            mode = DispatchMode.WRITE_AHEAD if is_available else DispatchMode.BLOCKED
            return DispatchPolicy(mode, token)
        is_held = candidate.state(lease_name) in (LeaseState.DRAINING, LeaseState.LOST)
        if is_held or self._is_supported_by_all(lease_name):
            # While the lease drains, its intent record may still be written under the held token.
            return DispatchPolicy(DispatchMode.BLOCKED, candidate.held_token(lease_name))
        return DispatchPolicy(DispatchMode.DIRECT)

    def _is_store_available(self, now: MonotonicTime) -> bool:
        failing_since = self._store.failing_since
        return failing_since is None or now - failing_since < STORE_FAILURE_GRACE_S
