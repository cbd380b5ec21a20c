"""Error responses to users' requests, shared by all handlers."""

from eldercart.server.http.server import JsonRequest
from eldercart.wire import users

RETRY_AFTER_S = 2  # a leader change or a short outage is often over by then
SHORT_RETRY_AFTER_S = 1  # operations in flight are over by then


def reject(request: JsonRequest, status: int, message: str) -> None:
    """Reject the request permanently: a retry would get the same response."""
    request.reply(status, users.error_body(message))


def reject_temporarily(
    request: JsonRequest, message: str, retry_after_s: int = RETRY_AFTER_S, *, close: bool = False
) -> None:
    """Respond with status 503 and a `Retry-After` header, in seconds.

    With `close` the connection is closed too, so that the retry goes through the load balancer and
    may reach another node.
    """
    request.reply(503, users.error_body(message), retry_after_s, close)
