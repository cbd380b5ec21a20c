"""The stored catalogue of machine types, for nodes that must decide while the cloud is down."""

import logging
from typing import TYPE_CHECKING, NamedTuple

from eldercart.persistence.learned_state import VALUE_FILL_RATIO
from eldercart.scheduling.scheduler import Scheduler
from eldercart.server.leadership.current_leadership import is_current_leadership
from eldercart.server.store.client import RESERVE_PLACEMENTS
from eldercart.units import DISTANT_PAST, MonotonicTime, Revision
from eldercart.wire import cloud
from eldercart.wire.cloud import MachineType
from eldercart.wire.leader_key import LEADER_KEY
from eldercart.wire.state import Put, Transaction

if TYPE_CHECKING:
    from eldercart.server.controller_node import ControllerNode

log = logging.getLogger("eldercart.node")

CATALOG_KEY = "catalog"
WRITE_RETRY_S = 1.0  # after a write of the catalogue that was not carried out


class MachineTypeShape(NamedTuple):
    """What of a machine type is worth a write. Prices move all the time and are not."""

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    zones: tuple[str, ...]


def machine_type_shapes(types: dict[str, MachineType]) -> list[MachineTypeShape]:
    """The parts of each type that are compared before the catalogue is written."""
    return [MachineTypeShape(t.name, t.cpus, t.gpus, t.memory_gb, t.zones) for t in types.values()]


class CatalogRecord:
    """Writes the leader's catalogue to the state service when its shape has changed."""

    def __init__(self, node: "ControllerNode") -> None:
        """Assumes that what the node knows is stored, until a take-over tells otherwise."""
        self._node = node
        self.is_stored = True  # the types that this node knows, as far as it can tell
        self.has_any_stored = True  # some catalogue is stored, as far as this node can tell
        self._next_write_at = DISTANT_PAST  # the next write goes out no earlier

    def sync(self, controller: Scheduler) -> None:
        """Takes the controller's types over into the node, and writes them if they differ from
        what is stored. Without a token for a change, the next turn of the loop tries again."""
        node = self._node
        known = machine_type_shapes(node.machine_types)
        node.machine_types = dict(controller.cluster_state.types)
        self.is_stored = (
            self.is_stored and machine_type_shapes(controller.cluster_state.types) == known
        )
        kept = (
            self.has_any_stored
            and node.singleton_service is not None
            and node.singleton_service.owns_catalog()
        )
        if self.is_stored or kept:
            controller.cloud_requests.catalog_changed = False
            return
        now = node.clock()
        if now < self._next_write_at or node.store.writes.available(now, RESERVE_PLACEMENTS) < 1:
            return
        controller.cloud_requests.catalog_changed = False
        self.is_stored = True
        self._write(controller, now)

    def _write(self, controller: Scheduler, now: MonotonicTime) -> None:
        node = self._node
        node.store.requests.force_take(now)
        node.store.writes.force_take(now)
        most_bytes = int(VALUE_FILL_RATIO * node.settings.value_bytes)
        value = cloud.catalog_record(controller.cluster_state.types, most_bytes)
        txn = Transaction({LEADER_KEY: Revision(controller.token)}, [Put(CATALOG_KEY, value)])

        def done(status: int | None, revision: Revision, failed: tuple[str, ...]) -> None:
            if status in (400, 413):
                # Too large, say: to repeat it would use up the changes. This node knows the types,
                # and the others answer with 503 as long as they don't.
                log.error("catalogue refused by the state service status=%s", status)
            elif status == 200:
                self.has_any_stored = True
            elif is_current_leadership(node, controller):
                # Its own submissions go on being judged; a repeat at every turn of the loop would
                # use up the changes just when there are too few.
                self.is_stored = False
                self._next_write_at = MonotonicTime(node.clock() + WRITE_RETRY_S)
                controller.cloud_requests.catalog_changed = True

        node.store.commit(txn, done)
