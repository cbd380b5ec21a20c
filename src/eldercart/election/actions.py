"""Requests to the state service with which a node acquires and keeps a key on a lease.

The leader election and the candidates for named leases share the lease actions.
"""

from dataclasses import dataclass

from eldercart.units import LeaseId
from eldercart.wire.state import Transaction


@dataclass(frozen=True, slots=True)
class GrantLease:
    """Grant a lease that expires after `ttl_s` seconds unless it is kept alive."""

    ttl_s: float


@dataclass(frozen=True, slots=True)
class KeepLeaseAlive:
    """Extend the lease by its time to live."""

    lease_id: LeaseId


@dataclass(frozen=True, slots=True)
class RevokeLease:
    """End the lease, which deletes the keys attached to it."""

    lease_id: LeaseId


@dataclass(frozen=True, slots=True)
class ReadLeaderKey:
    """Read the leader key."""


@dataclass(frozen=True, slots=True)
class Campaign:
    """Create the leader key, attached to this node's lease, if the key is absent."""

    transaction: Transaction


ElectionAction = ReadLeaderKey | GrantLease | KeepLeaseAlive | RevokeLease | Campaign
