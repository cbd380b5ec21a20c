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

Epoch = NewType("Epoch", int)  # the fencing token that workers compare
Revision = NewType("Revision", int)  # a key's version in the state service; 0: absent
Token = NewType("Token", int)  # of a duty's holder: the version of its key
Attempt = NewType("Attempt", int)
Session = NewType("Session", int)  # a worker's lease session

Steady = NewType("Steady", float)  # seconds of this process's steady clock
WallTime = NewType("WallTime", float)  # seconds of the time of day

ONLY_INCARNATION = IncarnationId("0")  # for what is never started twice, as in tests
ABSENT = Revision(0)
NO_EPOCH = Epoch(0)
NO_TOKEN = Token(0)
NO_ATTEMPT = Attempt(0)
NO_SESSION = Session(0)
CLOCK_ZERO = Steady(0)
FOREVER = Steady(float("inf"))
NEVER = Steady(-1e9)  # longer ago than any pause or lease: "has not happened yet"


class ReportOrder(NamedTuple):
    """Which of two messages of a worker is the newer one."""

    session: Session
    sequence: int


# Reports that a relay has answered by itself: for each machine the last one.
HeardReports = tuple[tuple[MachineId, ReportOrder], ...]

NO_REPORT = ReportOrder(Session(0), -1)


def task_key(job: JobId, index: int) -> TaskKey:
    """The key by which workers know the task."""
    return TaskKey(f"{job}/{index}")
