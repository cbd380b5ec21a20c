"""Job records as they reach the leader, and which of them have reached it before."""

from dataclasses import dataclass
from enum import Enum

from eldercart.units import ABSENT_REVISION, JobId, Revision, WallTime
from eldercart.wire.users import DependencyListReference, JobSpec


class JobRecordSource(Enum):
    """The way by which a job record reached the leader."""

    FAILOVER = "failover"  # the range read with which a leadership begins
    WATCH = "watch"
    RESYNC = "resync"  # the range read that replaces a watch which has fallen too far behind
    READ = "read"  # a read on behalf of a user's request
    ACCEPTANCE = "acceptance"  # this node's own transaction created the record


@dataclass(frozen=True, slots=True)
class JobRecord:
    """The decoded record of an accepted job, with its dependencies."""

    spec: JobSpec
    tasks_per_chunk: int
    accepted_at: WallTime
    revision: Revision  # at which the record was created; records are never changed
    # Locates the list of dependencies, if it is stored outside the record.
    dependency_list_reference: DependencyListReference | None = None


class JobRecordHistory:
    """Which job records a leadership has been given, so that each adds its job at most once.

    A record may be given again after its job has ended and left the registry: a read or a range
    read may be answered late, a watch may lag behind, and so may the answer to the transaction that
    created the record. Added again, the job would count as open, and a cancelled one would run.

    Records are created once, and only the leader deletes them. So once every record up to a
    revision was given to the leadership, a record of that revision or an earlier one is that of a
    job which is in the registry or has ended. Only the records of later revisions are remembered
    one by one, until the watch has reached them; however long a leadership lasts, the history
    therefore stays as small as the watch's lag.
    """

    def __init__(self) -> None:
        """Create the history of a leadership that has been given no record."""
        self._complete_revision = ABSENT_REVISION
        self._ahead: dict[JobId, Revision] = {}  # records taken or deferred, of later revisions
        self._deferred: set[JobId] = set()  # jobs whose dependency lists must be read first

    def take(self, job: JobId, revision: Revision) -> bool:
        """Return whether the job may be added now, and note that its record was given."""
        if job in self._deferred:
            self._deferred.discard(job)
            return True
        return self._note(job, revision)

    def defer(self, job: JobId, revision: Revision) -> bool:
        """Note that the job can be added only later; return whether it may still be added.

        Its dependency list must be read first. Its record may be deferred any number of times.
        """
        if job not in self._deferred and self._note(job, revision):
            self._deferred.add(job)
        return job in self._deferred

    def complete_until(self, revision: Revision) -> None:
        """Note that every record that existed at this revision or before it has been given."""
        if revision <= self._complete_revision:
            return
        self._complete_revision = revision
        if self._ahead:
            self._ahead = {
                job: created_at for job, created_at in self._ahead.items() if created_at > revision
            }

    def _note(self, job: JobId, revision: Revision) -> bool:
        """Note that the record was given; return whether that is the first time."""
        if revision <= self._complete_revision or job in self._ahead:
            return False
        self._ahead[job] = revision
        return True
