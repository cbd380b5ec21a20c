"""Graceful shutdown on SIGTERM: resign as leader, answer pending requests, then stop."""

import logging
import math
import signal
from typing import Any

from twisted.internet import reactor as _reactor

from eldercart.election.state_machine import Role
from eldercart.server.http.replies import SHORT_RETRY_AFTER_S, reject_temporarily
from eldercart.server.http.server import JsonRequest, JsonServer
from eldercart.server.leadership.election_service import ElectionService
from eldercart.server.leadership.leader_service import LeaderService
from eldercart.server.node_context import Clock
from eldercart.units import MonotonicTime
from eldercart.wire import workers

reactor: Any = _reactor
log = logging.getLogger("eldercart.node")

DRAIN_TIMEOUT_S = 2.5  # limit for pending requests; a worker ignores a response after 4 s
DRAIN_POLL_S = 0.05
FLUSH_DELAY_S = 0.1  # between the last response and the end of the process


class GracefulShutdown:
    """Rejects new requests, waits for pending ones, and resigns as leader at once."""

    def __init__(
        self,
        http_server: JsonServer,
        election_service: ElectionService,
        leader_service: LeaderService,
        clock: Clock,
    ) -> None:
        """Prepare the shutdown; the node serves normally until `begin`."""
        self._http_server = http_server
        self._election_service = election_service
        self._election = election_service.election
        self._leader_service = leader_service
        self._clock = clock
        self.has_begun = False
        self._deadline_at = MonotonicTime(math.inf)

    def install_signal_handler(self) -> None:
        """Make SIGTERM call `begin`; if that is not possible, SIGTERM kills the process."""
        try:
            signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(self.begin))
        except (OSError, ValueError) as err:
            log.info("no handler for SIGTERM error=%s", err)

    def begin(self) -> None:
        """Start the shutdown; further calls have no effect."""
        if self.has_begun:
            return
        log.info("graceful shutdown started")
        self.has_begun = True
        self._deadline_at = MonotonicTime(self._clock() + DRAIN_TIMEOUT_S)
        self._http_server.stop_accepting()
        self._poll_drain()

    def refuse(self, request: JsonRequest) -> None:
        """Reject a new request on an open connection, since another node can answer it."""
        if request.path == b"/v1/report":
            leader = self._election.leader
            redirect_target = None if leader == self._election.node_id else leader
            request.reply(421, workers.redirect_body(redirect_target))
        else:
            reject_temporarily(request, "this node ends", SHORT_RETRY_AFTER_S)

    def _poll_drain(self) -> None:
        """Stop the process if nothing is pending or the deadline has passed; else poll again.

        A campaign in flight may still make this node the leader, so it resigns at each poll.
        """
        now = self._clock()
        election = self._election
        if election.role is Role.LEADER:
            self._leader_service.end_leadership("graceful shutdown")
        election.resign_permanently(now)
        self._election_service.tick(now)
        unanswered = self._http_server.pending_requests()
        if (unanswered or election.is_handing_over) and now < self._deadline_at:
            reactor.callLater(DRAIN_POLL_S, self._poll_drain)
            return
        for request in unanswered:
            reject_temporarily(request, "this node ends", SHORT_RETRY_AFTER_S)
        log.info("graceful shutdown complete rejected=%d", len(unanswered))
        reactor.callLater(FLUSH_DELAY_S, reactor.stop)
