"""Pending deletions, and limits on transactions that follow from earlier results."""

from dataclasses import dataclass, field

from eldercart.jobs.job import Chunk, Job
from eldercart.persistence.transactions import PendingTransaction
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.settings import NodeSettings
from eldercart.units import JobId, MonotonicTime, Revision

UNLIMITED_UNITS = 1000  # more ends and placement records than a transaction holds
# Delay until a job is written again whose record the store rejected as invalid.
INVALID_RECORD_RETRY_DELAY_S = 20.0


@dataclass(slots=True)
class CleanupBacklog:
    """Ended jobs and other keys whose records wait to be deleted."""

    jobs: dict[JobId, Job] = field(default_factory=dict)
    orphaned_keys: list[tuple[str, Revision]] = field(default_factory=list)
    # Dependency lists whose job's record is already deleted. A new leader does not know these keys;
    # lists that then stay in the store are never read.
    dependency_list_keys: dict[str, None] = field(default_factory=dict)

    @property
    def size(self) -> int:
        """The number of jobs and keys."""
        return len(self.jobs) + len(self.orphaned_keys) + len(self.dependency_list_keys)


class WriteLimits:
    """Limits on the next transactions, set by the results of earlier ones."""

    def __init__(self, settings: NodeSettings) -> None:
        """Create limits as wide as the settings allow."""
        self._settings = settings
        self.max_operations: int = settings.txn_ops
        self.max_units = UNLIMITED_UNITS
        self.uncertain_keys: set[str] = set()  # version unknown until they are read again
        self._rejected_until: dict[JobId, MonotonicTime] = {}

    def raise_limits(self) -> None:
        """Allow larger transactions again after one was committed."""
        self.max_operations = min(self._settings.txn_ops, self.max_operations * 2)
        self.max_units = min(UNLIMITED_UNITS, self.max_units * 2)

    def reject_job(self, job: Job, now: MonotonicTime) -> None:
        """Stop writing the job for a while, because the store rejected its record as invalid."""
        self._rejected_until[job.id] = MonotonicTime(now + INVALID_RECORD_RETRY_DELAY_S)

    def expire_rejections(self, now: MonotonicTime) -> None:
        """Remove the rejections whose delay is over."""
        if self._rejected_until:
            self._rejected_until = {
                job_id: until for job_id, until in self._rejected_until.items() if until > now
            }

    def is_rejected(self, job_id: JobId) -> bool:
        """Return whether the job must not be written for now."""
        return job_id in self._rejected_until

    def is_held_back(self, pending: PendingTransaction, unit: str, key: str) -> bool:
        """Return whether a unit must not join the transaction.

        It must not if its key has to be read again or if the transaction has enough units. A failed
        write of one job thus delays no other job.
        """
        if key in self.uncertain_keys:
            return True
        return len(pending.split_units) >= self.max_units and unit not in pending.split_units


def requeue_chunk(cluster_state: ClusterState, job: Job, chunk: Chunk, now: MonotonicTime) -> None:
    """Mark a chunk to be written again soon."""
    cluster_state.jobs.mark_dirty(job, chunk, now, is_urgent=True)
    cluster_state.mark_dirty(job)
