"""Keeps the stored catalog of machine types up to date. Nodes decide by the stored catalog while
the cloud is unavailable.

Reading the catalog from the cloud has no side effects. The write to the state service is
conditional on the token of the lease holder.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from eldercart.persistence.learned_state import VALUE_FILL_RATIO
from eldercart.server.http.client import HttpClient
from eldercart.server.leadership.catalog_record import CATALOG_KEY, machine_type_shapes
from eldercart.server.leadership.cloud_requests import CONNECT_TIMEOUT_S, RESPONSE_TIMEOUT_S
from eldercart.server.store.client import RESERVE_PLACEMENTS, StoreClient
from eldercart.settings.platform import NodeSettings
from eldercart.singleton.lease_candidate import LeaseCandidate
from eldercart.units import ABSENT_REVISION, DISTANT_PAST, LeaseToken, MonotonicTime, Revision
from eldercart.wire import MalformedMessageError, cloud
from eldercart.wire.checks import load_unbounded_object
from eldercart.wire.cloud import MachineType
from eldercart.wire.named_leases import LeaseName, holder_key
from eldercart.wire.state import Item, Put, Transaction

log = logging.getLogger("eldercart.singleton")

RETRY_S = 5.0  # delay after a failed refresh
MAX_CONNECTIONS = 1

MachineTypes = dict[str, MachineType]


@dataclass(frozen=True, slots=True)
class _Refresh:
    """A refresh in progress: the lease token that it uses and the stored catalog that it read."""

    token: LeaseToken
    stored: Item | None


class CatalogRefresh:
    """Compares the stored catalog with the cloud's and stores the cloud's if they differ.

    Only the holder of the catalog lease does so.
    """

    def __init__(
        self,
        settings: NodeSettings,
        store: StoreClient,
        clock: Callable[[], MonotonicTime],
        candidate: LeaseCandidate,
        refresh_s: float,
        may_run_maintenance: Callable[[], bool],
        on_machine_types: Callable[[MachineTypes], None],
    ) -> None:
        """The first refresh is due as soon as this node holds the lease. After each successful
        refresh, the next one is due `refresh_s` seconds later. `on_machine_types` is called with
        the machine types that the cloud offers."""
        self._max_record_bytes = int(VALUE_FILL_RATIO * settings.value_bytes)
        self._store = store
        self._clock = clock
        self._candidate = candidate
        self._refresh_s = refresh_s
        self._may_run_maintenance = may_run_maintenance
        self._on_machine_types = on_machine_types
        self._client = HttpClient(settings.cloud, CONNECT_TIMEOUT_S, MAX_CONNECTIONS)
        self._next_refresh_at = DISTANT_PAST
        self.is_busy = False

    def tick(self, now: MonotonicTime) -> None:
        """Begin a refresh if one is due."""
        token = self._candidate.usable_token(LeaseName.CATALOG, now)
        if token is None or self.is_busy or now < self._next_refresh_at:
            return
        if self._store.requests.available(now, RESERVE_PLACEMENTS) < 1:
            return
        self.is_busy = True
        self._store.get(CATALOG_KEY, lambda ok, item: self._on_stored_catalog(token, ok, item))

    def _on_stored_catalog(self, token: LeaseToken, ok: bool, item: Item | None) -> None:
        # A missing catalog does not wait for a maintenance window: other nodes need a stored
        # catalog to check submissions.
        is_window_needed = item is not None
        if not ok or (is_window_needed and not self._may_run_maintenance()):
            self._finish(RETRY_S)
            return
        refresh = _Refresh(token, item)
        self._client.request(
            b"GET",
            "/catalog",
            None,
            RESPONSE_TIMEOUT_S,
            lambda status, body: self._on_offered_catalog(refresh, status, body),
        )

    def _on_offered_catalog(self, refresh: _Refresh, status: int | None, body: bytes) -> None:
        try:
            if status != 200:
                raise MalformedMessageError("HTTP status of GET /catalog is not 200")
            types = cloud.parse_catalog(load_unbounded_object(body))
        except MalformedMessageError as err:
            log.info("catalog not read status=%s error=%s", status, err)
            self._finish(RETRY_S)
            return
        self._on_machine_types(types)
        if refresh.stored is not None and _has_same_shapes(types, refresh.stored):
            self._finish(self._refresh_s)
            return
        self._write(refresh, types)

    def _write(self, refresh: _Refresh, types: MachineTypes) -> None:
        now = self._clock()
        self._store.requests.force_take(now)
        self._store.writes.force_take(now)
        stored_version = ABSENT_REVISION if refresh.stored is None else refresh.stored.version
        conditions = {
            holder_key(LeaseName.CATALOG): Revision(refresh.token),
            CATALOG_KEY: stored_version,
        }
        value = cloud.catalog_record(types, self._max_record_bytes)

        def done(status: int | None, revision: Revision, failed: tuple[str, ...]) -> None:
            if status == 200:
                log.info("catalog stored machine_types=%d token=%d", len(types), refresh.token)
            elif failed:
                self._candidate.on_write_fenced()
            self._finish(self._refresh_s if status == 200 else RETRY_S)

        self._store.commit(Transaction(conditions, [Put(CATALOG_KEY, value)]), done)

    def _finish(self, delay_s: float) -> None:
        self.is_busy = False
        self._next_refresh_at = MonotonicTime(self._clock() + delay_s)


def _has_same_shapes(types: MachineTypes, stored: Item) -> bool:
    return machine_type_shapes(types) == machine_type_shapes(_stored_types(stored))


def _stored_types(item: Item) -> MachineTypes:
    try:
        return cloud.parse_catalog(item.value)
    except (MalformedMessageError, AttributeError) as err:
        log.error("stored catalog unreadable error=%s", err)
        return {}
