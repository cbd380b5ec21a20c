"""Rejections of users' requests, shared by all handlers."""

from eldercart.server.http.server import JsonRequest
from eldercart.wire import users

RETRY_AFTER_S = 2  # a change of leader or a short outage is over by then, often
SHORT_RETRY_AFTER_S = 1  # what is under way now is over by then


def reject(request: JsonRequest, status: int, message: str) -> None:
    """Reject the request for good: the same request would get the same response again."""
    request.reply(status, users.error_body(message))


def reject_temporarily(
    request: JsonRequest, message: str, retry_after_s: int = RETRY_AFTER_S, *, close: bool = False
) -> None:
    """Answer 503 with a time to retry after, in seconds.

    `close` closes the connection, so that the retry passes the load balancer and may reach another
    node.
    """
    request.reply(503, users.error_body(message), retry_after_s, close)
