"""Users' polls and cancellations that this node passes on to the leader."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from eldercart.server.coalescing import CoalescedCall
from eldercart.server.peers.connections import PeerLink, connected_link
from eldercart.units import JobId, MonotonicTime, NodeId
from eldercart.wire import peers

if TYPE_CHECKING:
    from eldercart.server.controller_node import ControllerNode

BATCH_DELAY_S = 0.015  # in which polls gather to a batch
POLL_TIMEOUT_S = 0.8  # for which the answer to a poll is waited for
CANCEL_TIMEOUT_S = 2.0  # for which the answer to a cancellation is waited for

ReplyCallback = Callable[[peers.JobReply | None], None]  # None: the leader has not answered


@dataclass(slots=True)
class PendingRequest:
    """Asked over the connection to `link`, answered with None from `until` on."""

    on_reply: ReplyCallback
    peer: NodeId
    deadline_at: MonotonicTime


class LeaderClient:
    """Owns the questions under way; each is answered exactly once."""

    def __init__(
        self, node: "ControllerNode", links: Mapping[NodeId, PeerLink], request_ids: Iterator[int]
    ) -> None:
        """`numbers`: of frames' items, never the same twice."""
        self._node = node
        self._links = links
        self._request_ids = request_ids
        self._pending: dict[int, PendingRequest] = {}
        self._poll_batch: list[tuple[int, str]] = []
        self._schedule_flush = CoalescedCall(BATCH_DELAY_S, self._flush)

    def poll(self, job: JobId, on_reply: ReplyCallback) -> bool:
        """Asks the leader; False: there is none to ask, and `answer` won't be called."""
        link = self._leader_link()
        if link is None:
            return False
        self._poll_batch.append((self._register(link, on_reply, POLL_TIMEOUT_S), job))
        self._schedule_flush()
        return True

    def cancel(self, job: JobId, on_reply: ReplyCallback) -> bool:
        """Asks the leader to cancel; False: there is none to ask."""
        link = self._leader_link()
        if link is None:
            return False
        return link.send(peers.encode_cancel(self._register(link, on_reply, CANCEL_TIMEOUT_S), job))

    def _leader_link(self) -> PeerLink | None:
        return connected_link(self._links, self._node.election.leader)

    def _register(self, link: PeerLink, on_reply: ReplyCallback, timeout_s: float) -> int:
        number = next(self._request_ids)
        until = MonotonicTime(self._node.clock() + timeout_s)
        self._pending[number] = PendingRequest(on_reply, link.label, until)
        return number

    def _flush(self) -> None:
        polls, self._poll_batch = self._poll_batch, []
        link = self._leader_link()
        for start in range(0, len(polls), peers.MAX_POLL_ITEMS):
            asked = polls[start : start + peers.MAX_POLL_ITEMS]
            if link is None or not link.send(peers.encode_polls(asked)):
                for number, _ in asked:
                    self._complete(number, None)

    def on_replies(self, replies: list[peers.JobReply]) -> None:
        """The leader's answers."""
        for told in replies:
            self._complete(told.request_id, told)

    def on_link_lost(self, link: PeerLink) -> None:
        """No answer comes any more to what was asked on this connection."""
        for number in [n for n, question in self._pending.items() if question.peer == link.label]:
            self._complete(number, None)

    def expire_pending(self, now: MonotonicTime) -> None:
        """Gives up the questions that have waited long enough."""
        for number in [n for n, question in self._pending.items() if question.deadline_at <= now]:
            self._complete(number, None)

    def _complete(self, request_id: int, reply: peers.JobReply | None) -> None:
        question = self._pending.pop(request_id, None)
        if question is not None:
            question.on_reply(reply)
