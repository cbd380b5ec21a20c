"""The small types: ids, versions and times.

They cost nothing at run time and keep a token from being passed as a revision.
"""

from typing import NamedTuple, NewType

JobId = NewType("JobId", str)
TaskKey = NewType("TaskKey", str)  # "<job id>/<index>"
MachineId = NewType("MachineId", str)
NodeId = NewType("NodeId", str)
LeaseId = NewType("LeaseId", int)
IncarnationId = NewType("IncarnationId", str)  # one start of one process

FencingToken = NewType("FencingToken", int)  # the fencing token that workers compare
Revision = NewType("Revision", int)  # a key's version in the state service; 0: absent
LeaseToken = NewType("LeaseToken", int)  # of a duty's holder: the version of its key
Attempt = NewType("Attempt", int)
AgentEpoch = NewType("AgentEpoch", int)  # a worker's lease session

MonotonicTime = NewType("MonotonicTime", float)  # seconds of this process's steady clock
WallTime = NewType("WallTime", float)  # seconds of the time of day

DEFAULT_INCARNATION = IncarnationId("0")  # for what is never started twice, as in tests
ABSENT_REVISION = Revision(0)
NO_FENCING_TOKEN = FencingToken(0)
NO_LEASE_TOKEN = LeaseToken(0)
NO_ATTEMPT = Attempt(0)
NO_AGENT_EPOCH = AgentEpoch(0)
MONOTONIC_ZERO = MonotonicTime(0)
DISTANT_FUTURE = MonotonicTime(float("inf"))
DISTANT_PAST = MonotonicTime(-1e9)  # longer ago than any pause or lease: "has not happened yet"


class HeartbeatSequence(NamedTuple):
    """Which of two messages of a worker is the newer one."""

    agent_epoch: AgentEpoch
    number: int


# Reports that a relay has answered by itself: for each machine the last one.
AcknowledgedHeartbeats = tuple[tuple[MachineId, HeartbeatSequence], ...]

NO_HEARTBEAT = HeartbeatSequence(AgentEpoch(0), -1)


def task_key(job: JobId, index: int) -> TaskKey:
    """The key by which workers know the task."""
    return TaskKey(f"{job}/{index}")
