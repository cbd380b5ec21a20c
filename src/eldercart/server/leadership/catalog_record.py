"""The stored catalogue of machine types, for nodes that must decide while the cloud is down."""

import logging
from typing import TYPE_CHECKING, NamedTuple

from eldercart.election.state_machine import LEAD_KEY
from eldercart.persistence.learned_state import FILL
from eldercart.scheduling.scheduler import Controller
from eldercart.server.leadership.current_leadership import serves
from eldercart.server.store.client import FOR_PLACING
from eldercart.units import NEVER, Revision, Steady
from eldercart.wire import cloud
from eldercart.wire.cloud import MachineType
from eldercart.wire.state import Put, Txn

if TYPE_CHECKING:
    from eldercart.server.controller_node import Node

log = logging.getLogger("eldercart.node")

CATALOG_KEY = "catalog"
WRITE_AGAIN_S = 1.0  # after a write of the catalogue that was not carried out


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
        """Assumes that what the node knows is stored, until a take-over tells otherwise."""
        self._node = node
        self.stored = True  # the types that this node knows, as far as it can tell
        self.exists = True  # some catalogue is stored, as far as this node can tell
        self._due = NEVER  # the next write goes out no earlier

    def store(self, controller: Controller) -> None:
        """Takes the controller's types over into the node, and writes them if they differ from
        what is stored. Without a token for a change, the next turn of the loop tries again."""
        node = self._node
        known = shapes(node.types)
        node.types = dict(controller.scheduler.types)
        self.stored = self.stored and shapes(controller.scheduler.types) == known
        kept = self.exists and node.duties is not None and node.duties.keeps_catalog()
        if self.stored or kept:
            controller.cloud.catalog_changed = False
            return
        now = node.clock()
        if now < self._due or node.store.writes.available(now, FOR_PLACING) < 1:
            return
        controller.cloud.catalog_changed = False
        self.stored = True
        self._write(controller, now)

    def _write(self, controller: Controller, now: Steady) -> None:
        node = self._node
        node.store.requests.force(now)
        node.store.writes.force(now)
        most_bytes = int(FILL * node.settings.value_bytes)
        value = cloud.catalog_record(controller.scheduler.types, most_bytes)
        txn = Txn({LEAD_KEY: Revision(controller.epoch)}, [Put(CATALOG_KEY, value)])

        def done(status: int | None, revision: Revision, failed: tuple[str, ...]) -> None:
            if status in (400, 413):
                # Too large, say: to repeat it would use up the changes. This node knows the types,
                # and the others answer with 503 as long as they don't.
                log.error("catalogue refused by the state service status=%s", status)
            elif status == 200:
                self.exists = True
            elif serves(node, controller):
                # Its own submissions go on being judged; a repeat at every turn of the loop would
                # use up the changes just when there are too few.
                self.stored = False
                self._due = Steady(node.clock() + WRITE_AGAIN_S)
                controller.cloud.catalog_changed = True

        node.store.txn(txn, done)
