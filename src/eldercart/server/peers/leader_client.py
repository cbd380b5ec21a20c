"""Client that forwards users' polls and cancellations to the leader."""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass

from eldercart.election.state_machine import Election
from eldercart.server.coalescing import CoalescedCall
from eldercart.server.peers.connections import PeerLink, connected_link
from eldercart.units import JobId, MonotonicTime, NodeId
from eldercart.wire import peers

BATCH_DELAY_S = 0.015  # how long polls are collected before a batch is sent
POLL_TIMEOUT_S = 0.8
CANCEL_TIMEOUT_S = 2.0

# Called with the reply, or with None if the leader did not reply.
ReplyCallback = Callable[[peers.JobReply | None], None]


@dataclass(slots=True)
class PendingRequest:
    """A request to `peer` that has not been answered yet."""

    on_reply: ReplyCallback
    peer: NodeId
    deadline_at: MonotonicTime


class LeaderClient:
    """Sends requests about jobs to the leader.

    Each accepted request is completed exactly once: with the reply, or with None after a timeout or
    the loss of the connection.
    """

    def __init__(
        self,
        election: Election,
        clock: Callable[[], MonotonicTime],
        links: Mapping[NodeId, PeerLink],
        request_ids: Iterator[int],
    ) -> None:
        """Create a client without pending requests.

        `election` identifies the leader, and `links` holds the links to all peers. `request_ids`
        yields ids that are unique among all requests to peers.
        """
        self._election = election
        self._clock = clock
        self._links = links
        self._request_ids = request_ids
        self._pending: dict[int, PendingRequest] = {}
        self._poll_batch: list[peers.JobRequest] = []
        self._schedule_flush = CoalescedCall(BATCH_DELAY_S, self._flush)

    def poll(self, job: JobId, on_reply: ReplyCallback) -> bool:
        """Request the job's state from the leader.

        Return False if no leader is connected; `on_reply` is not called then.
        """
        link = self._leader_link()
        if link is None:
            return False
        request_id = self._register(link, on_reply, POLL_TIMEOUT_S)
        self._poll_batch.append(peers.JobRequest(request_id, job))
        self._schedule_flush()
        return True

    def cancel(self, job: JobId, on_reply: ReplyCallback) -> bool:
        """Request the job's cancellation from the leader.

        Return False if no leader is connected; `on_reply` is not called then.
        """
        link = self._leader_link()
        if link is None:
            return False
        request_id = self._register(link, on_reply, CANCEL_TIMEOUT_S)
        return link.send(peers.encode_cancel(request_id, job))

    def _leader_link(self) -> PeerLink | None:
        return connected_link(self._links, self._election.leader)

    def _register(self, link: PeerLink, on_reply: ReplyCallback, timeout_s: float) -> int:
        """Add a pending request and return its id."""
        request_id = next(self._request_ids)
        deadline_at = MonotonicTime(self._clock() + timeout_s)
        self._pending[request_id] = PendingRequest(on_reply, link.label, deadline_at)
        return request_id

    def _flush(self) -> None:
        """Send the collected polls to the leader."""
        polls, self._poll_batch = self._poll_batch, []
        link = self._leader_link()
        for start in range(0, len(polls), peers.MAX_POLL_ITEMS):
            batch = polls[start : start + peers.MAX_POLL_ITEMS]
            if link is None or not link.send(peers.encode_polls(batch)):
                for request in batch:
                    self._complete(request.request_id, None)

    def on_replies(self, replies: list[peers.JobReply]) -> None:
        """Complete the requests that the leader has answered."""
        for reply in replies:
            self._complete(reply.request_id, reply)

    def on_link_lost(self, link: PeerLink) -> None:
        """Complete the requests sent over this link with None: no reply can arrive any more."""
        for request_id in [
            request_id
            for request_id, request in self._pending.items()
            if request.peer == link.label
        ]:
            self._complete(request_id, None)

    def expire_pending(self, now: MonotonicTime) -> None:
        """Complete the requests whose deadline has passed with None."""
        for request_id in [
            request_id
            for request_id, request in self._pending.items()
            if request.deadline_at <= now
        ]:
            self._complete(request_id, None)

    def _complete(self, request_id: int, reply: peers.JobReply | None) -> None:
        request = self._pending.pop(request_id, None)
        if request is not None:
            request.on_reply(reply)
