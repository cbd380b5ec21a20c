"""Types of identifiers, versions and times.

They are distinct only to the type checker and cost nothing at run time: a fencing token can't be
passed where a revision is expected.
"""

from typing import NamedTuple, NewType

JobId = NewType("JobId", str)
TaskKey = NewType("TaskKey", str)  # "<job id>/<index>"
MachineId = NewType("MachineId", str)
NodeId = NewType("NodeId", str)
LeaseId = NewType("LeaseId", int)
IncarnationId = NewType("IncarnationId", str)  # one start of one process

FencingToken = NewType("FencingToken", int)  # the leader's term; workers obey the highest one seen
Revision = NewType("Revision", int)  # a key's version in the state service; 0: absent
LeaseToken = NewType("LeaseToken", int)  # of a named lease's holder: the version of its key
Attempt = NewType("Attempt", int)
AgentEpoch = NewType("AgentEpoch", int)  # rises each time a worker's lease has run out

MonotonicTime = NewType("MonotonicTime", float)  # seconds of this process's monotonic clock
WallTime = NewType("WallTime", float)  # seconds of the time of day

DEFAULT_INCARNATION = IncarnationId("0")  # for processes that are never started twice, as in tests
ABSENT_REVISION = Revision(0)
NO_FENCING_TOKEN = FencingToken(0)
NO_LEASE_TOKEN = LeaseToken(0)
NO_ATTEMPT = Attempt(0)
NO_AGENT_EPOCH = AgentEpoch(0)
MONOTONIC_ZERO = MonotonicTime(0)
DISTANT_FUTURE = MonotonicTime(float("inf"))
DISTANT_PAST = MonotonicTime(-1e9)  # longer ago than any timeout or lease: "has not happened yet"


class HeartbeatSequence(NamedTuple):
    """Position of a worker's heartbeat among all of its heartbeats; the higher one is newer."""

    agent_epoch: AgentEpoch
    number: int


# For each machine the last heartbeat that a relay has acknowledged by itself.
AcknowledgedHeartbeats = tuple[tuple[MachineId, HeartbeatSequence], ...]

NO_HEARTBEAT = HeartbeatSequence(AgentEpoch(0), -1)


def task_key(job: JobId, index: int) -> TaskKey:
    """Return the key by which workers know the task."""
    return TaskKey(f"{job}/{index}")
