"""Users' polls and cancellations that this node passes on to the leader."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from eldercart.server.coalescing import CoalescedCall
from eldercart.server.peers.connections import Link, link_up
from eldercart.units import JobId, NodeId, Steady
from eldercart.wire import peers

if TYPE_CHECKING:
    from eldercart.server.controller_node import Node

FLUSH_S = 0.015  # in which polls gather to a batch
POLL_S = 0.8  # for which the answer to a poll is waited for
CANCEL_S = 2.0  # for which the answer to a cancellation is waited for

ToldAnswer = Callable[[peers.JobReply | None], None]  # None: the leader has not answered


@dataclass(slots=True)
class PendingQuestion:
    """Asked over the connection to `link`, answered with None from `until` on."""

    answer: ToldAnswer
    link: NodeId
    until: Steady


class Questions:
    """Owns the questions under way; each is answered exactly once."""

    def __init__(self, node: "Node", links: Mapping[NodeId, Link], numbers: Iterator[int]) -> None:
        """`numbers`: of frames' items, never the same twice."""
        self._node = node
        self._links = links
        self._numbers = numbers
        self._open: dict[int, PendingQuestion] = {}
        self._polls: list[tuple[int, str]] = []
        self._flush_soon = CoalescedCall(FLUSH_S, self._flush)

    def poll(self, job: JobId, answer: ToldAnswer) -> bool:
        """Asks the leader; False: there is none to ask, and `answer` won't be called."""
        link = self._leader_link()
        if link is None:
            return False
        self._polls.append((self._ask(link, answer, POLL_S), job))
        self._flush_soon()
        return True

    def cancel(self, job: JobId, answer: ToldAnswer) -> bool:
        """Asks the leader to cancel; False: there is none to ask."""
        link = self._leader_link()
        if link is None:
            return False
        return link.send(peers.cancel(self._ask(link, answer, CANCEL_S), job))

    def _leader_link(self) -> Link | None:
        return link_up(self._links, self._node.election.leader)

    def _ask(self, link: Link, answer: ToldAnswer, wait_s: float) -> int:
        number = next(self._numbers)
        until = Steady(self._node.clock() + wait_s)
        self._open[number] = PendingQuestion(answer, link.label, until)
        return number

    def _flush(self) -> None:
        polls, self._polls = self._polls, []
        link = self._leader_link()
        for start in range(0, len(polls), peers.POLLS_ITEMS):
            asked = polls[start : start + peers.POLLS_ITEMS]
            if link is None or not link.send(peers.polls(asked)):
                for number, _ in asked:
                    self._close(number, None)

    def answered(self, answers: list[peers.JobReply]) -> None:
        """The leader's answers."""
        for told in answers:
            self._close(told.number, told)

    def link_lost(self, link: Link) -> None:
        """No answer comes any more to what was asked on this connection."""
        for number in [n for n, question in self._open.items() if question.link == link.label]:
            self._close(number, None)

    def time_out(self, now: Steady) -> None:
        """Gives up the questions that have waited long enough."""
        for number in [n for n, question in self._open.items() if question.until <= now]:
            self._close(number, None)

    def _close(self, number: int, told: peers.JobReply | None) -> None:
        question = self._open.pop(number, None)
        if question is not None:
            question.answer(told)
