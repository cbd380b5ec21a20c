"""What waits to be written or deleted, and what earlier results say about the next transactions."""

from dataclasses import dataclass, field

from eldercart.jobs.job import Chunk, Job
from eldercart.persistence.transactions import PendingTransaction
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.settings import NodeSettings
from eldercart.units import JobId, MonotonicTime, Revision

UNLIMITED_UNITS = 1000  # ends and placement records, more than a transaction holds
# for which a job is left alone whose record the store calls invalid
INVALID_RECORD_RETRY_DELAY_S = 20.0


@dataclass(slots=True)
class CleanupBacklog:
    """Keys of ended jobs that wait to be deleted."""

    jobs: dict[JobId, Job] = field(default_factory=dict)
    orphaned_keys: list[tuple[str, Revision]] = field(default_factory=list)
    # Dependency lists of which the job's record is deleted already. They are lost with the leader;
    # what then stays in the store is read by nobody.
    dependency_list_keys: dict[str, None] = field(default_factory=dict)

    @property
    def size(self) -> int:
        """The number of jobs and keys."""
        return len(self.jobs) + len(self.orphaned_keys) + len(self.dependency_list_keys)


class WriteLimits:
    """Limits on the next transactions that follow from the results of earlier ones."""

    def __init__(self, settings: NodeSettings) -> None:
        """Create limits that allow all that the settings allow."""
        self._settings = settings
        self.max_operations: int = settings.txn_ops
        self.max_units = UNLIMITED_UNITS
        self.uncertain_keys: set[str] = set()  # whose version only a fresh read can tell
        self._rejected_until: dict[JobId, MonotonicTime] = {}

    def raise_limits(self) -> None:
        """Allow larger transactions again after one was committed."""
        self.max_operations = min(self._settings.txn_ops, self.max_operations * 2)
        self.max_units = min(UNLIMITED_UNITS, self.max_units * 2)

    def reject_job(self, job: Job, now: MonotonicTime) -> None:
        """Leave the job alone for a while, because the store calls its record invalid."""
        self._rejected_until[job.id] = MonotonicTime(now + INVALID_RECORD_RETRY_DELAY_S)

    def expire_rejections(self, now: MonotonicTime) -> None:
        """Forget the rejected jobs whose time is over."""
        if self._rejected_until:
            self._rejected_until = {
                job_id: until for job_id, until in self._rejected_until.items() if until > now
            }

    def is_rejected(self, job_id: JobId) -> bool:
        """Return whether the job is left alone for now."""
        return job_id in self._rejected_until

    def is_held_back(self, pending: PendingTransaction, unit: str, key: str) -> bool:
        """Return whether a unit must not join the transaction.

        One job's trouble must not hold back the others: it alone waits for the fresh read of its
        key.
        """
        if key in self.uncertain_keys:
            return True
        return len(pending.split_units) >= self.max_units and unit not in pending.split_units


def requeue_chunk(cluster_state: ClusterState, job: Job, chunk: Chunk, now: MonotonicTime) -> None:
    """Let a chunk be written again soon."""
    cluster_state.jobs.mark_dirty(job, chunk, now, is_urgent=True)
    cluster_state.mark_dirty(job)
