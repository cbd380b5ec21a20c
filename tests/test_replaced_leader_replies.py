"""A leader's replies to forwarded heartbeats that arrive after it was replaced."""

from types import SimpleNamespace
from typing import Any

import orjson
import pytest

from eldercart.units import FencingToken, MonotonicTime, NodeId
from eldercart.wire import peers
from test_leader_store_outage import RelayingFixture

NEW_LEADER = NodeId("drover-2")
OLD_TOKEN, NEW_TOKEN = FencingToken(5), FencingToken(9)
KILL = {"op": "kill", "parcel": "wk-1/0", "lap": 1}


class Relay(RelayingFixture):
    """A relay of the old leader, and the frames that it sends to it."""

    def __init__(self) -> None:
        super().__init__()
        self.sent: list[bytes] = []
        self.channel.send = self.sent.append
        self.forwarding = self.relay_service.heartbeat_forwarding

    def receive_heartbeat(self, number: int, token: FencingToken) -> list[tuple[int, Any]]:
        """Handle a heartbeat without tasks; return the list that will hold its answer."""
        answers: list[tuple[int, Any]] = []
        body = {"wagon": "n-1", "stint": 1, "tally": number, "whip": token}
        request: Any = SimpleNamespace(
            body=lambda: orjson.dumps(body | {"recallS": None, "parcels": []}),
            is_disconnected=False,
            reply=lambda status, body, retry=None: answers.append((status, orjson.loads(body))),
        )
        self.forwarding.handle_heartbeat(request)
        return answers

    def elect_new_leader(self) -> None:
        link = self.relay_service.links[NEW_LEADER]
        link._on_connection_made(self.channel)
        link._last_received_at = self.link._last_received_at
        self.relay_service.relay.renew_lease(
            NEW_TOKEN, NEW_LEADER, MonotonicTime(self.now), MonotonicTime(self.now)
        )

    def reply(self, commands: list[dict[str, Any]] | None) -> None:
        """Deliver the old leader's reply to the only heartbeat that waits for one."""
        (request_id,) = self.forwarding._pending_heartbeats
        reply = peers.HeartbeatReply(request_id, commands, False)
        self.forwarding.on_replies(self.link, [reply])


@pytest.mark.parametrize("commands", [[], [KILL], None], ids=["none", "kill", "stale"])
def test_reply_of_a_replaced_leader_is_not_passed_on_under_the_new_token(
    commands: list[dict[str, Any]] | None,
) -> None:
    """Guards against an idle machine that the new leader never uses, since the relay takes the old
    leader's reply for its own (review case 2), and against void commands that a worker obeys."""
    relay = Relay()
    relay.now = 100.2
    answers = relay.receive_heartbeat(1, OLD_TOKEN)
    relay.flush()
    relay.elect_new_leader()
    relay.reply(commands)
    ((status, body),) = answers
    assert status == 200 and body["whip"] == NEW_TOKEN and not body["calls"]
    relay.receive_heartbeat(2, NEW_TOKEN)
    assert len(relay.forwarding._pending_heartbeats) == 1, "the new leader must get the next one"


def test_reply_of_the_current_leader_is_passed_on() -> None:
    relay = Relay()
    relay.now = 100.2
    answers = relay.receive_heartbeat(1, OLD_TOKEN)
    relay.flush()
    relay.reply([KILL])
    ((status, body),) = answers
    assert status == 200 and body["whip"] == OLD_TOKEN and body["calls"] == [KILL]


def test_heartbeat_that_is_sent_to_the_new_leader_gets_its_reply() -> None:
    """It was received under the old token, and not sent before the new leader was known."""
    relay = Relay()
    relay.now = 100.2
    answers = relay.receive_heartbeat(1, OLD_TOKEN)
    relay.elect_new_leader()
    relay.flush()
    relay.reply([KILL])
    ((status, body),) = answers
    assert status == 200 and body["whip"] == NEW_TOKEN and body["calls"] == [KILL]


def test_undelivered_commands_of_a_replaced_leader_are_reported_to_it() -> None:
    relay = Relay()
    relay.now = 100.2
    relay.receive_heartbeat(1, OLD_TOKEN)
    relay.flush()
    relay.elect_new_leader()
    relay.sent.clear()
    relay.reply([KILL])
    assert any(b"n-1" in frame for frame in relay.sent)
