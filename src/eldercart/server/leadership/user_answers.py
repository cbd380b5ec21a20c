"""The leader's answers to users' polls and cancellations, whichever node took them."""

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

CANCEL_TIMEOUT_S = 1.5  # for which a cancellation waits for its durable end


class UserAnswers:
    """Owns the answers that wait for a durable end."""

    def __init__(
        self, leadership: Leadership, election: Election, job_states: JobStates, clock: Clock
    ) -> None:
        """`election` tells whether this node is within its leader lease."""
        self._leadership = leadership
        self._election = election
        self._job_states = job_states
        self._clock = clock
        self._waiters: dict[JobId, list[ReplyOnce]] = {}

    def reset(self) -> None:
        """Leadership ended: who waits is answered by time-out."""
        self._waiters.clear()

    def on_job_finished(self, job: JobId, outcome: str) -> None:
        """The job's end is durable: everyone who waits for it is told."""
        for waiter in self._waiters.pop(job, ()):
            waiter(outcome)

    def job_reply(self, number: int, job: JobId) -> peers.JobReply:
        """The leader's answer; only within its lease is a state that may change told."""
        outcome = self._job_states.outcome_of(job)
        if outcome is not None:
            return peers.JobReply(number, outcome, 0, 0)
        scheduler = self._leadership.scheduler
        if scheduler is None or not self._election.is_within_lease(self._clock()):
            return peers.JobReply(number, peers.NOT_LEADER, 0, 0)
        status = scheduler.job_status(job)
        if isinstance(status, JobStatus):
            waiting = status.unmet_dependencies[: users.MAX_LISTED_DEPENDENCIES]
            return peers.JobReply(
                number, status.state, status.done_count, status.running_count, waiting
            )
        undecided = status is LookupFailure.UNDECIDED
        return peers.JobReply(number, peers.UNDECIDED if undecided else peers.UNKNOWN, 0, 0)

    def cancel(self, job: JobId, answer: Callable[[str], None]) -> None:
        """Calls `answer` once: with the job's durable end, or with a verdict of `peers`."""
        scheduler = self._leadership.scheduler
        outcome = self._job_states.outcome_of(job)
        if outcome is not None or scheduler is None:
            answer(outcome or peers.NOT_LEADER)
            return
        verdict = scheduler.cancel_job(job, self._clock())
        if verdict is LookupFailure.UNKNOWN_JOB:
            self._look_up_and_cancel(job, answer)
        elif isinstance(verdict, str):
            answer(verdict)
        else:
            self._wait_for_outcome(job, answer)

    def _look_up_and_cancel(self, job: JobId, answer: Callable[[str], None]) -> None:
        """The watch may lag behind another node's acceptance: the look-up teaches the job."""
        leadership = self._leadership

        def found(state: str) -> None:
            if state in (users.DONE, users.CANCELLED):
                answer(state)
            elif (
                leadership.scheduler is not None and leadership.scheduler.jobs.get(job) is not None
            ):
                self.cancel(job, answer)
            else:
                answer(peers.UNDECIDED)

        self._job_states.read_job_state(
            job, found, lambda: answer(peers.UNKNOWN), lambda: answer(peers.UNDECIDED)
        )

    def _wait_for_outcome(self, job: JobId, answer: Callable[[str], None]) -> None:
        """The end must be durable before it is told; that takes one write."""
        waiter = ReplyOnce(answer)
        self._waiters.setdefault(job, []).append(waiter)
        reactor.callLater(CANCEL_TIMEOUT_S, waiter, peers.UNDECIDED)
        self._leadership.process_events()


class ReplyOnce:
    """Passes on the first answer only: the end or the time-out, whichever comes first."""

    def __init__(self, answer: Callable[[str], None]) -> None:
        """`answer` is called once at most."""
        self._on_reply: Callable[[str], None] | None = answer

    def __call__(self, verdict: str) -> None:
        """Answers, unless it has been done before."""
        answer, self._on_reply = self._on_reply, None
        if answer is not None:
            answer(verdict)
