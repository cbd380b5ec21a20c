"""The end of a node on request (SIGTERM): it hands over and answers what it holds, then ends."""

import logging
import math
import signal
from typing import TYPE_CHECKING, Any

from twisted.internet import reactor as _reactor

from eldercart.election.state_machine import Role
from eldercart.server.http.replies import SOON_S, refuse_for_now
from eldercart.server.http.server import JsonRequest
from eldercart.units import Steady
from eldercart.wire import workers

if TYPE_CHECKING:
    from eldercart.server.controller_node import Node

reactor: Any = _reactor
log = logging.getLogger("eldercart.node")

DRAIN_S = 2.5  # for requests under way; a worker drops answers after 4 s
LOOK_S = 0.05
FLUSH_S = 0.1  # from the last answer to the end of the process


class Ending:
    """Refuses what is new, waits for what is under way, and gives the leadership up at once."""

    def __init__(self, node: "Node") -> None:
        """The node serves until `begin`."""
        self.node = node
        self.begun = False
        self._until = Steady(math.inf)

    def install(self) -> None:
        """Begins at SIGTERM. Where signals are not to be had, the node just ends when killed."""
        try:
            signal.signal(signal.SIGTERM, lambda *_: reactor.callFromThread(self.begin))
        except (OSError, ValueError) as err:
            log.info("no handler for SIGTERM: %s", err)

    def begin(self) -> None:
        """Starts the end, once."""
        if self.begun:
            return
        log.info("ends on request")
        self.begun = True
        self._until = Steady(self.node.clock() + DRAIN_S)
        self.node.stop_accepting()
        self._look()

    def refuse(self, request: JsonRequest) -> None:
        """A new request on a kept connection: another node can answer it."""
        if request.path == b"/v1/report":
            leader = self.node.election.leader
            other = None if leader == self.node.settings.label else leader
            request.reply(421, workers.redirect_body(other))
        else:
            refuse_for_now(request, "this node ends", SOON_S)

    def _look(self) -> None:
        """A claim that was under way may still make this node leader, so it is looked at again."""
        node = self.node
        now = node.clock()
        if node.election.role is Role.LEADER:
            node.leader_service.end("ends on request")
        node.election.retire(now)
        node.election_service.tick(now)
        unanswered = node.requests_under_way()
        if (unanswered or node.election.hands_over) and now < self._until:
            reactor.callLater(LOOK_S, self._look)
            return
        for request in unanswered:
            refuse_for_now(request, "this node ends", SOON_S)
        log.info("ended refused=%d", len(unanswered))
        reactor.callLater(FLUSH_S, reactor.stop)
