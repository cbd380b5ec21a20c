"""A transaction in flight, with what is true once it is committed, and what may become of it."""

from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from eldercart.jobs.job import Chunk, Job, Placement
from eldercart.persistence.placement_records import PlacementRecord
from eldercart.units import Revision
from eldercart.wire.state import Transaction


class TransactionOutcome(Enum):
    """What became of a transaction."""

    COMMITTED = "committed"
    CONFLICT = "conflict"
    REJECTED = "rejected"  # surely not carried out
    INVALID = "invalid"  # not carried out, and never will be as it is
    INDETERMINATE = "indeterminate"  # may have been carried out, or may be later


@dataclass(frozen=True, slots=True)
class CleanupPermit:
    """Whether the records of ended jobs may be deleted.

    `conditions` are what those deletions depend on beside the leader key.
    """

    is_allowed: bool = True
    conditions: tuple[tuple[str, Revision], ...] = ()


class JobEnd(NamedTuple):
    """The end of a job that a transaction makes durable."""

    job: Job
    outcome: str


class ChunkUpdate(NamedTuple):
    """A chunk that a transaction writes, with the placements that it makes or takes away."""

    job: Job
    chunk: Chunk
    planned: list[Placement]  # durable once committed
    ended: list[Placement]  # no longer recorded once committed


@dataclass(slots=True)
class PendingTransaction:
    """A transaction in flight, and what is true once it is committed."""

    transaction: Transaction
    ends: list[JobEnd] = field(default_factory=list)
    chunk_updates: list[ChunkUpdate] = field(default_factory=list)
    placement_records: list[PlacementRecord] = field(default_factory=list)
    deleted_records: list[PlacementRecord] = field(default_factory=list)
    cleaned_up_jobs: list[Job] = field(default_factory=list)
    orphaned_keys: list[tuple[str, Revision]] = field(default_factory=list)  # to be deleted
    dependency_list_keys: list[str] = field(default_factory=list)  # to be deleted
    cleanup_permit: CleanupPermit = CleanupPermit()
    size_bytes: int = 0
    # Ending jobs and placement records: an invalid transaction is split along these.
    split_units: set[str] = field(default_factory=set)

    @property
    def operation_count(self) -> int:
        """The number of operations so far."""
        return len(self.transaction.operations)
