"""Opens a node's ports when it starts, and retries while another process holds one of them."""

import logging
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from twisted.internet import reactor as _reactor
from twisted.internet.error import CannotListenError

reactor: Any = _reactor
log = logging.getLogger("eldercart.node")

LISTEN_RETRY_S = 0.5
LISTEN_TIMEOUT_S = 10.0  # a process that was replaced may take a while to end


class PortOpener:
    """Opens ports one after the other, and reports once that all are open or one can't be opened.

    A node that accepts no connections must not run on: nothing restarts a process that runs.
    """

    def __init__(
        self,
        listen_calls: Iterable[Callable[[], None]],
        on_open: Callable[[], None],
        on_failed: Callable[[], None],
    ) -> None:
        """Prepare to call each of `listen_calls` until it succeeds.

        Each of them raises `CannotListenError` if its port can't be opened now. `on_failed` is
        called if that still is so after `LISTEN_TIMEOUT_S`.
        """
        self._pending = deque(listen_calls)
        self._on_open = on_open
        self._on_failed = on_failed
        self._retries_left = int(LISTEN_TIMEOUT_S / LISTEN_RETRY_S)

    def open(self) -> None:
        """Open the ports that are not open yet."""
        while self._pending:
            try:
                self._pending[0]()
            except CannotListenError as error:
                self._on_unavailable(error)
                return
            self._pending.popleft()
        self._on_open()

    def _on_unavailable(self, error: CannotListenError) -> None:
        address = f"{error.interface}:{error.port}"
        if self._retries_left == 0:
            log.error("start failed reason=port_unavailable address=%s", address)
            self._on_failed()
            return
        self._retries_left -= 1
        log.error("port unavailable address=%s error=%s", address, error.socketError)
        reactor.callLater(LISTEN_RETRY_S, self.open)
