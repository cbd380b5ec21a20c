"""Coalesced calls: several requests within a short time lead to a single call."""

from collections.abc import Callable
from typing import Any

from twisted.internet import reactor as _reactor

reactor: Any = _reactor


class CoalescedCall:
    """Calls a function once, `delay_s` after the first request since the last call."""

    def __init__(self, delay_s: float, function: Callable[[], None]) -> None:
        """Start with no call scheduled."""
        self._delay_s = delay_s
        self._function = function
        self._is_scheduled = False

    def __call__(self) -> None:
        """Request a call; this has no effect while one is already scheduled."""
        if not self._is_scheduled:
            self._is_scheduled = True
            reactor.callLater(self._delay_s, self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        self._function()
