"""Writing of the machine type catalogue, which nodes use while the cloud is unavailable."""

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
WRITE_RETRY_S = 1.0  # delay after a write of the catalogue that was not committed


class MachineTypeShape(NamedTuple):
    """Properties of a machine type that trigger a write if they change; prices change too often."""

    name: str
    cpus: float
    gpus: float
    memory_gb: float
    zones: tuple[str, ...]


def machine_type_shapes(types: dict[str, MachineType]) -> list[MachineTypeShape]:
    """Return the shape of each type, to compare two catalogues."""
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
        """Assume that the types this node knows are stored, until a failover finds otherwise.

        `max_value_bytes` is the state service's limit on one value.
        """
        self._leadership = leadership
        self._store = store
        self._machine_types = machine_types
        self._clock = clock
        self._max_value_bytes = max_value_bytes
        self.catalog_owner: CatalogOwner | None = None  # None: the leader writes the catalogue
        self.is_stored = True  # this node's types are stored, as far as it knows
        self.has_any_stored = True  # any catalogue is stored, as far as this node knows
        self._next_write_at = DISTANT_PAST  # earliest time of the next write

    def sync(self, scheduler: Scheduler) -> None:
        """Copy the scheduler's types to the node, and write them if they differ from those stored.

        If the retry delay has not passed or no write token is available, a later call writes them.
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
                # The value may be too large, for example. A retry would only use up write tokens.
                # This node knows the types; nodes that don't know them answer submissions with 503.
                log.error("catalog rejected by the state store status=%s", status)
            elif status == 200:
                self.has_any_stored = True
            elif is_current_leadership(self._leadership, scheduler):
                # This node can still validate submissions, so the retry can wait. A retry at each
                # pass of the event loop would use up the write tokens just when they are scarce.
                self.is_stored = False
                self._next_write_at = MonotonicTime(self._clock() + WRITE_RETRY_S)
                scheduler.cloud_requests.catalog_changed = True

        self._store.commit(transaction, done)
