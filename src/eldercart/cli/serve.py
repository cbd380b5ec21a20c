"""The command `serve`, which runs a controller node until it is killed or receives SIGTERM."""

import gc
from typing import TYPE_CHECKING, Any

from twisted.internet import reactor as _reactor
from twisted.python.log import PythonLoggingObserver

from eldercart.server.controller_node import ControllerNode
from eldercart.settings import NodeSettings, Tuning

if TYPE_CHECKING:
    from eldercart.settings.features import Features

START_FAILED = 1  # exit status


def serve(settings: NodeSettings, tuning: Tuning, features: "Features | None" = None) -> int:
    """Run the node until its event loop stops; return the exit status.

    It is `START_FAILED` if the node could not listen at its addresses.
    """
    reactor: Any = _reactor
    PythonLoggingObserver("twisted").start()
    node = ControllerNode(settings, tuning, features)
    exit_status = 0

    def on_start_failed() -> None:
        nonlocal exit_status
        exit_status = START_FAILED
        reactor.stop()

    reactor.callWhenRunning(node.start, on_start_failed)
    node.graceful_shutdown.install_signal_handler()
    # Imported modules live as long as the process, so the garbage collector need not scan them.
    gc.collect()
    gc.freeze()
    reactor.run(installSignalHandlers=False)
    return exit_status
