"""What a node asks of the state service to become and stay the holder of a key.

The lease actions are shared by the election and the candidates for named leases.
"""

from dataclasses import dataclass

from eldercart.units import LeaseId
from eldercart.wire.state import Transaction


@dataclass(frozen=True, slots=True)
class GrantLease:
    """Open a lease that expires after `ttl_s` seconds unless it is kept alive."""

    ttl_s: float


@dataclass(frozen=True, slots=True)
class KeepLeaseAlive:
    """Extend the lease by its time to live."""

    lease_id: LeaseId


@dataclass(frozen=True, slots=True)
class RevokeLease:
    """End the lease, and with it the keys on it."""

    lease_id: LeaseId


@dataclass(frozen=True, slots=True)
class ReadLeaderKey:
    """Read the leader key."""


@dataclass(frozen=True, slots=True)
class Campaign:
    """Create the leader key on this node's lease, if the key is absent."""

    transaction: Transaction


ElectionAction = ReadLeaderKey | GrantLease | KeepLeaseAlive | RevokeLease | Campaign
