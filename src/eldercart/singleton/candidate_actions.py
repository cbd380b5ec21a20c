"""Actions that a `LeaseCandidate` requests from the state service, one at a time."""

from dataclasses import dataclass

from eldercart.election.actions import GrantLease, KeepLeaseAlive
from eldercart.wire.named_leases import HolderRecord, LeaseName
from eldercart.wire.state import Transaction


@dataclass(frozen=True, slots=True)
class ReadDirectory:
    """Read the keys of all named leases."""


@dataclass(frozen=True, slots=True)
class Acquire:
    """Create the holder key of a named lease, or replace it if its version is unchanged."""

    lease_name: LeaseName
    transaction: Transaction
    record: HolderRecord


@dataclass(frozen=True, slots=True)
class Release:
    """Delete the holder key of a named lease."""

    lease_name: LeaseName
    transaction: Transaction


CandidateAction = GrantLease | KeepLeaseAlive | Acquire | Release | ReadDirectory
