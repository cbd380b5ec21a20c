"""The stored catalogue of machine types, for nodes that must decide while the cloud is down."""

import logging
from typing import TYPE_CHECKING, NamedTuple

from eldercart.core.controller import Controller
from eldercart.election import LEAD_KEY
from eldercart.units import Revision
from eldercart.wire import cloud
from eldercart.wire.cloud import MachineType
from eldercart.wire.state import Put, Txn

if TYPE_CHECKING:
    from eldercart.net.node import Node

log = logging.getLogger("eldercart.node")

CATALOG_KEY = "catalog"


class Shape(NamedTuple):
    """What of a machine type is worth a write. Prices move all the time and are not."""

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    zones: tuple[str, ...]


def shapes(types: dict[str, MachineType]) -> list[Shape]:
    """The parts of each type that are compared before the catalogue is written."""
    return [Shape(t.name, t.cpus, t.gpus, t.memory_gb, t.zones) for t in types.values()]


class CatalogRecord:
    """Writes the leader's catalogue to the state service when its shape has changed."""

    def __init__(self, node: "Node") -> None:
        """Compares with, and changes, the types that the node knows."""
        self._node = node

    def store(self, controller: Controller) -> None:
        """Takes the controller's types over into the node, and writes them if they differ."""
        node = self._node
        controller.cloud.catalog_changed = False
        stored = shapes(node.types)
        node.types = dict(controller.floor.types)
        if shapes(controller.floor.types) == stored:
            return
        now = node.clock()
        node.store.requests.force(now)
        node.store.writes.force(now)
        value = cloud.catalog_record(controller.floor.types)
        txn = Txn({LEAD_KEY: Revision(controller.epoch)}, [Put(CATALOG_KEY, value)])

        def done(status: int | None, revision: Revision, failed: tuple[str, ...]) -> None:
            if status in (400, 413):
                # Too large, say: to repeat it would use up the changes. This node knows the types,
                # and the others answer with 503 as long as they don't.
                log.error("catalogue refused by the state service status=%s", status)
            elif status != 200 and node.leading.controller is controller:
                node.types = {}
                controller.cloud.catalog_changed = True

        node.store.txn(txn, done)
