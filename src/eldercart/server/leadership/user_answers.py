"""The leader's replies to users' polls and cancellations, which any node may receive."""

from collections.abc import Callable
from typing import Any

from twisted.internet import reactor as _reactor

from eldercart.election.state_machine import Election
from eldercart.scheduling.scheduler import JobStatus, LookupFailure
from eldercart.server.leadership.current_leadership import Leadership
from eldercart.server.leadership.job_outcomes import JobStates
from eldercart.server.node_context import Clock
from eldercart.units import JobId
from eldercart.wire import peers, users

reactor: Any = _reactor

CANCEL_TIMEOUT_S = 1.5  # how long a cancellation waits for the job's durable outcome


class UserAnswers:
    """Replies to polls and cancellations; owns the replies that wait for a durable outcome."""

    def __init__(
        self, leadership: Leadership, election: Election, job_states: JobStates, clock: Clock
    ) -> None:
        """`election` determines whether this node is within its leader lease."""
        self._leadership = leadership
        self._election = election
        self._job_states = job_states
        self._clock = clock
        self._waiters: dict[JobId, list[ReplyOnce]] = {}

    def reset(self) -> None:
        """Drop the waiting cancellations at the end of the leadership; their time-outs reply."""
        self._waiters.clear()

    def on_job_finished(self, job: JobId, outcome: str) -> None:
        """Reply to the cancellations that wait for the job's outcome, which is now durable."""
        for waiter in self._waiters.pop(job, ()):
            waiter(outcome)

    def job_reply(self, request_id: int, job: JobId) -> peers.JobReply:
        """Return the reply to a poll.

        A state that may still change is returned only while this node is within its leader lease.
        """
        outcome = self._job_states.outcome_of(job)
        if outcome is not None:
            return peers.JobReply(request_id, outcome, 0, 0)
        scheduler = self._leadership.scheduler
        if scheduler is None or not self._election.is_within_lease(self._clock()):
            return peers.JobReply(request_id, peers.NOT_LEADER, 0, 0)
        status = scheduler.job_status(job)
        if isinstance(status, JobStatus):
            waiting = status.unmet_dependencies[: users.MAX_LISTED_DEPENDENCIES]
            return peers.JobReply(
                request_id, status.state, status.done_count, status.running_count, waiting
            )
        undecided = status is LookupFailure.UNDECIDED
        return peers.JobReply(request_id, peers.UNDECIDED if undecided else peers.UNKNOWN, 0, 0)

    def cancel(self, job: JobId, on_reply: Callable[[str], None]) -> None:
        """Cancel the job and call `on_reply` once.

        `on_reply` gets the job's durable outcome or one of the reply states of `wire.peers`.
        """
        scheduler = self._leadership.scheduler
        outcome = self._job_states.outcome_of(job)
        if outcome is not None or scheduler is None:
            on_reply(outcome or peers.NOT_LEADER)
            return
        result = scheduler.cancel_job(job, self._clock())
        if result is LookupFailure.STATE_UNKNOWN:
            self._read_state_and_cancel(job, on_reply)
        elif isinstance(result, str):
            on_reply(result)
        else:
            self._wait_for_outcome(job, on_reply)

    def _read_state_and_cancel(self, job: JobId, on_reply: Callable[[str], None]) -> None:
        """Read the job's state, which adds its record to the scheduler, and then cancel it.

        The scheduler may not know the job yet: the watch on job records may lag behind a node
        that has accepted it.
        """
        leadership = self._leadership

        def found(state: str) -> None:
            if state in (users.DONE, users.CANCELLED):
                on_reply(state)
            elif (
                leadership.scheduler is not None and leadership.scheduler.jobs.get(job) is not None
            ):
                self.cancel(job, on_reply)
            else:
                on_reply(peers.UNDECIDED)

        self._job_states.read_job_state(
            job, found, lambda: on_reply(peers.UNKNOWN), lambda: on_reply(peers.UNDECIDED)
        )

    def _wait_for_outcome(self, job: JobId, on_reply: Callable[[str], None]) -> None:
        """Reply when the outcome is durable, which takes one commit."""
        waiter = ReplyOnce(on_reply)
        self._waiters.setdefault(job, []).append(waiter)
        reactor.callLater(CANCEL_TIMEOUT_S, waiter, peers.UNDECIDED)
        self._leadership.process_events()


class ReplyOnce:
    """Forwards only the first reply: the outcome or the time-out, whichever occurs first."""

    def __init__(self, on_reply: Callable[[str], None]) -> None:
        """`on_reply` is called at most once."""
        self._on_reply: Callable[[str], None] | None = on_reply

    def __call__(self, state: str) -> None:
        """Reply, unless a reply has already been sent."""
        on_reply, self._on_reply = self._on_reply, None
        if on_reply is not None:
            on_reply(state)
