"""Refusals to users that all handlers of the front share."""

from eldercart.server.http.server import JsonRequest
from eldercart.wire import users

RETRY_AFTER_S = 2  # a change of leader or a short outage is over by then, often
SHORT_RETRY_AFTER_S = 1  # what is under way now is over by then


def reject(request: JsonRequest, status: int, message: str) -> None:
    """Answers for good: the same request would get the same answer again."""
    request.reply(status, users.error_body(message))


def reject_temporarily(
    request: JsonRequest, message: str, retry_after: int = RETRY_AFTER_S, close: bool = False
) -> None:
    """Answers 503. `close` sends the user through the load balancer, to another node perhaps."""
    request.reply(503, users.error_body(message), retry_after, close)
