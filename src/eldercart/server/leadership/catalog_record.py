"""The stored catalogue of machine types, for nodes that must decide while the cloud is down."""

import logging
from typing import NamedTuple, Protocol

from eldercart.persistence.learned_state import VALUE_FILL_RATIO
from eldercart.scheduling.scheduler import Scheduler
from eldercart.server.leadership.current_leadership import Leadership, is_current_leadership
from eldercart.server.machine_types import KnownMachineTypes
from eldercart.server.node_context import Clock
from eldercart.server.store.client import RESERVE_PLACEMENTS, StoreClient
from eldercart.units import DISTANT_PAST, MonotonicTime, Revision
from eldercart.wire import cloud
from eldercart.wire.cloud import MachineType
from eldercart.wire.leader_key import LEADER_KEY
from eldercart.wire.state import Put, Transaction

log = logging.getLogger("eldercart.node")

CATALOG_KEY = "catalog"
WRITE_RETRY_S = 1.0  # after a write of the catalogue that was not carried out


class MachineTypeShape(NamedTuple):
    """The properties of a machine type whose change is worth a write; prices change too often."""

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    zones: tuple[str, ...]


def machine_type_shapes(types: dict[str, MachineType]) -> list[MachineTypeShape]:
    """Return the properties of each type that are compared before the catalogue is written."""
    return [
        MachineTypeShape(each.name, each.cpus, each.gpus, each.memory_gb, each.zones)
        for each in types.values()
    ]


class CatalogOwner(Protocol):
    """Decides which node writes the stored catalogue."""

    def owns_catalog(self) -> bool:
        """Return whether the holder of a named lease, and not the leader, writes it."""


class CatalogRecord:
    """Writes the leader's catalogue to the state service when its shape has changed."""

    def __init__(
        self,
        leadership: Leadership,
        store: StoreClient,
        machine_types: KnownMachineTypes,
        clock: Clock,
        max_value_bytes: int,
    ) -> None:
        """Assume that what the node knows is stored, until a failover reads otherwise.

        `max_value_bytes` is the state service's limit on one value.
        """
        self._leadership = leadership
        self._store = store
        self._machine_types = machine_types
        self._clock = clock
        self._max_value_bytes = max_value_bytes
        self.catalog_owner: CatalogOwner | None = None  # None: the leader writes the catalogue
        self.is_stored = True  # the types that this node knows, as far as it can tell
        self.has_any_stored = True  # some catalogue is stored, as far as this node can tell
        self._next_write_at = DISTANT_PAST  # the next write goes out no earlier

    def sync(self, scheduler: Scheduler) -> None:
        """Copy the scheduler's types to the node, and write them if they differ from those stored.

        Without a token for a write, the next call tries again.
        """
        known = machine_type_shapes(self._machine_types.by_name)
        self._machine_types.by_name = dict(scheduler.cluster_state.types)
        self.is_stored = (
            self.is_stored and machine_type_shapes(scheduler.cluster_state.types) == known
        )
        is_written_elsewhere = (
            self.has_any_stored
            and self.catalog_owner is not None
            and self.catalog_owner.owns_catalog()
        )
        if self.is_stored or is_written_elsewhere:
            scheduler.cloud_requests.catalog_changed = False
            return
        now = self._clock()
        if now < self._next_write_at or self._store.writes.available(now, RESERVE_PLACEMENTS) < 1:
            return
        scheduler.cloud_requests.catalog_changed = False
        self.is_stored = True
        self._write(scheduler, now)

    def _write(self, scheduler: Scheduler, now: MonotonicTime) -> None:
        self._store.requests.force_take(now)
        self._store.writes.force_take(now)
        max_bytes = int(VALUE_FILL_RATIO * self._max_value_bytes)
        value = cloud.catalog_record(scheduler.cluster_state.types, max_bytes)
        transaction = Transaction(
            {LEADER_KEY: Revision(scheduler.token)}, [Put(CATALOG_KEY, value)]
        )

        def done(status: int | None, revision: Revision, failed: tuple[str, ...]) -> None:
            if status in (400, 413):
                # Too large, say: to repeat it would use up the changes. This node knows the types,
                # and the others answer with 503 as long as they don't.
                log.error("catalog rejected by the state store status=%s", status)
            elif status == 200:
                self.has_any_stored = True
            elif is_current_leadership(self._leadership, scheduler):
                # Its own submissions go on being judged; a repeat at every turn of the loop would
                # use up the changes just when there are too few.
                self.is_stored = False
                self._next_write_at = MonotonicTime(self._clock() + WRITE_RETRY_S)
                scheduler.cloud_requests.catalog_changed = True

        self._store.commit(transaction, done)
