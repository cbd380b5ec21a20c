"""Whether an answer still concerns the leadership that asked for it."""

from typing import TYPE_CHECKING

from eldercart.scheduling.scheduler import Scheduler

if TYPE_CHECKING:
    from eldercart.server.controller_node import ControllerNode


def is_current_leadership(node: "ControllerNode", controller: Scheduler) -> bool:
    """Whether that controller is the one that leads here. An answer that comes after its
    leadership must change nothing in the next one."""
    return node.leader_service.scheduler is controller
