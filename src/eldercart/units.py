"""Types of identifiers, versions and times.

They are distinct only to the type checker and cost nothing at run time: a fencing token can't be
passed where a revision is expected.
"""

from typing import NamedTuple, NewType

JobId = NewType("JobId", str)
TaskKey = NewType("TaskKey", str)  # "<job ID>/<task index>"
MachineId = NewType("MachineId", str)
NodeId = NewType("NodeId", str)
LeaseId = NewType("LeaseId", int)
IncarnationId = NewType("IncarnationId", str)  # identifies one start of a process

FencingToken = NewType("FencingToken", int)  # the leader's term; workers obey the highest one seen
Revision = NewType("Revision", int)  # a key's version in the state service; 0 if it is absent
LeaseToken = NewType("LeaseToken", int)  # fencing token of a named lease: its holder key's version
Attempt = NewType("Attempt", int)
AgentEpoch = NewType("AgentEpoch", int)  # incremented each time the worker's lease expires

MonotonicTime = NewType("MonotonicTime", float)  # seconds on this process's monotonic clock
WallTime = NewType("WallTime", float)  # seconds since the Unix epoch

DEFAULT_INCARNATION = IncarnationId("0")  # used by processes that start only once, as in tests
ABSENT_REVISION = Revision(0)
NO_FENCING_TOKEN = FencingToken(0)
NO_LEASE_TOKEN = LeaseToken(0)
NO_ATTEMPT = Attempt(0)
NO_AGENT_EPOCH = AgentEpoch(0)
MONOTONIC_ZERO = MonotonicTime(0)
DISTANT_FUTURE = MonotonicTime(float("inf"))
DISTANT_PAST = MonotonicTime(-1e9)  # means "has not happened yet"; older than any timeout or lease


class HeartbeatSequence(NamedTuple):
    """Position of a worker's heartbeat among all of its heartbeats; the higher one is newer."""

    agent_epoch: AgentEpoch
    number: int


# For each machine, the last heartbeat that a relay acknowledged without forwarding it.
AcknowledgedHeartbeats = tuple[tuple[MachineId, HeartbeatSequence], ...]

NO_HEARTBEAT = HeartbeatSequence(AgentEpoch(0), -1)


def task_key(job: JobId, index: int) -> TaskKey:
    """Return the key that identifies the task to workers."""
    return TaskKey(f"{job}/{index}")
