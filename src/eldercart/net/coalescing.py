"""Work that is put off for a moment, so that what belongs together gathers."""

from collections.abc import Callable
from typing import Any

from twisted.internet import reactor as _reactor

reactor: Any = _reactor


class CoalescedCall:
    """Calls `what` once, `delay_s` after it was first asked for since the last call."""

    def __init__(self, delay_s: float, what: Callable[[], None]) -> None:
        self._delay_s = delay_s
        self._what = what
        self._set = False

    def __call__(self) -> None:
        if not self._set:
            self._set = True
            reactor.callLater(self._delay_s, self._run)

    def _run(self) -> None:
        self._set = False
        self._what()
