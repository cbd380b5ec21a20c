"""Job records as they reach the leader."""

from dataclasses import dataclass
from enum import Enum

from eldercart.units import Revision, WallTime
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
