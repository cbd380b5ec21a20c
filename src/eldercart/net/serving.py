"""Whether an answer still concerns the leadership that asked for it."""

from typing import TYPE_CHECKING

from eldercart.core.controller import Controller

if TYPE_CHECKING:
    from eldercart.net.node import Node


def serves(node: "Node", controller: Controller) -> bool:
    """Whether that controller is the one that leads here. An answer that comes after its
    leadership must change nothing in the next one."""
    return node.leader_service.controller is controller
