"""Transactions in flight, their effects once they are committed, and their possible outcomes."""

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from eldercart.jobs.job import Chunk, Job, Placement
from eldercart.persistence.placement_records import PlacementRecord
from eldercart.units import Revision
from eldercart.wire.state import Transaction


class TransactionOutcome(Enum):
    """The result of a transaction."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    REJECTED = "rejected"  # certainly not applied
    INVALID = "invalid"  # not applied; the same transaction would be invalid again
    INDETERMINATE = "indeterminate"  # may have been applied, or may be applied later


@dataclass(frozen=True, slots=True)
class CleanupPermit:
    """Whether the records of ended jobs may be deleted.

    Transactions with such deletions have `conditions` in addition to the one on the leader key.
    """

    is_allowed: bool = True
    conditions: tuple[tuple[str, Revision], ...] = ()


class JobEnd(NamedTuple):
    """The end of a job that a transaction makes durable."""

    job: Job
    outcome: str


class ChunkUpdate(NamedTuple):
    """A chunk that a transaction writes, with the placements that it adds or removes."""

    job: Job
    chunk: Chunk
    planned: list[Placement]  # durable once committed
    ended: list[Placement]  # no longer recorded once committed


@dataclass(slots=True)
class PendingTransaction:
    """A transaction in flight, and its effects once it is committed."""

    transaction: Transaction
    ends: list[JobEnd] = field(default_factory=list)
    chunk_updates: list[ChunkUpdate] = field(default_factory=list)
    placement_records: list[PlacementRecord] = field(default_factory=list)
    deleted_records: list[PlacementRecord] = field(default_factory=list)
    cleaned_up_jobs: list[Job] = field(default_factory=list)
    orphaned_keys: list[tuple[str, Revision]] = field(default_factory=list)  # deleted by it
    dependency_list_keys: list[str] = field(default_factory=list)  # deleted by it
    cleanup_permit: CleanupPermit = CleanupPermit()
    size_bytes: int = 0
    # Ids of ended jobs and keys of placement records. An invalid transaction is split into
    # transactions with fewer of them.
    split_units: set[str] = field(default_factory=set)

    @property
    def operation_count(self) -> int:
        """The number of operations so far."""
        return len(self.transaction.operations)
