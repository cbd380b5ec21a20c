"""The command `serve`, which runs a controller node until it is killed or receives SIGTERM."""

import gc
from typing import TYPE_CHECKING, Any

from twisted.internet import reactor as _reactor
from twisted.python.log import PythonLoggingObserver

from eldercart.server.controller_node import ControllerNode
from eldercart.settings import NodeSettings, Tuning

if TYPE_CHECKING:
    from eldercart.settings.features import Features


def serve(settings: NodeSettings, tuning: Tuning, features: "Features | None" = None) -> int:
    """Run the node until its event loop stops; return the exit status."""
    reactor: Any = _reactor
    PythonLoggingObserver("twisted").start()
    node = ControllerNode(settings, tuning, features)
    reactor.callWhenRunning(node.start)
    node.graceful_shutdown.install_signal_handler()
    # Imported modules live as long as the process, so the garbage collector need not scan them.
    gc.collect()
    gc.freeze()
    reactor.run(installSignalHandlers=False)
    return 0
