"""The duty that keeps the stored machine types up to date, for nodes that must decide while the
cloud is down. To read the cloud's catalogue changes nothing there; the write is guarded on the
holder's token."""

import logging
from typing import TYPE_CHECKING

from eldercart.persistence.learned_state import VALUE_FILL_RATIO
from eldercart.server.http.client import HttpClient
from eldercart.server.leadership.catalog_record import CATALOG_KEY, machine_type_shapes
from eldercart.server.leadership.cloud_requests import CONNECT_TIMEOUT_S, RESPONSE_TIMEOUT_S
from eldercart.server.store.client import RESERVE_PLACEMENTS
from eldercart.units import DISTANT_PAST, LeaseToken, MonotonicTime, Revision
from eldercart.wire import MalformedMessage, cloud
from eldercart.wire.checks import load_response
from eldercart.wire.cloud import MachineType
from eldercart.wire.named_leases import LeaseName, holder_key
from eldercart.wire.state import Item, Put, Transaction

if TYPE_CHECKING:
    from eldercart.server.singleton.lease_service import SingletonService

log = logging.getLogger("eldercart.duties")

RETRY_S = 5.0  # after a refresh that did not come to its end
MAX_CONNECTIONS = 1


class CatalogRefresh:
    """Reads the cloud's catalogue and the stored one, and writes what has changed."""

    def __init__(self, duties: "SingletonService") -> None:
        """The first refresh is due when this node holds the duty."""
        self._singleton_service = duties
        self._node = duties.node
        self._client = HttpClient(duties.node.settings.cloud, CONNECT_TIMEOUT_S, MAX_CONNECTIONS)
        self._next_refresh_at = DISTANT_PAST
        self.is_busy = False

    def tick(self, now: MonotonicTime) -> None:
        """Begins a refresh if one is due. While nothing is stored, no window is waited for: other
        nodes could not judge submissions."""
        token = self._singleton_service.candidate.usable_token(LeaseName.CATALOG, now)
        if token is None or self.is_busy or now < self._next_refresh_at:
            return
        store = self._node.store
        if store.requests.available(now, RESERVE_PLACEMENTS) < 1:
            return
        self.is_busy = True
        store.get(CATALOG_KEY, lambda ok, item: self._on_stored_catalog(token, ok, item))

    def _on_stored_catalog(self, token: LeaseToken, ok: bool, item: Item | None) -> None:
        if not ok:
            self._finish(RETRY_S)
            return
        if item is not None and not self._singleton_service.may_run_maintenance():
            self._finish(RETRY_S)
            return
        self._client.request(
            b"GET",
            "/catalog",
            None,
            RESPONSE_TIMEOUT_S,
            lambda status, body: self._on_offered_catalog(token, item, status, body),
        )

    def _on_offered_catalog(
        self, token: LeaseToken, stored: Item | None, status: int | None, body: bytes
    ) -> None:
        try:
            if status != 200:
                raise MalformedMessage("status")
            types = cloud.parse_catalog(load_response(body))
        except MalformedMessage as err:
            log.info("catalogue not read: %s", err)
            self._finish(RETRY_S)
            return
        self._node.machine_types = types
        if stored is not None and machine_type_shapes(types) == machine_type_shapes(
            _stored_types(stored)
        ):
            self._finish(self._singleton_service.features.refresh_s)
            return
        self._write(token, stored, types)

    def _write(self, token: LeaseToken, stored: Item | None, types: dict[str, MachineType]) -> None:
        node = self._node
        now = node.clock()
        node.store.requests.force_take(now)
        node.store.writes.force_take(now)
        value = cloud.catalog_record(types, int(VALUE_FILL_RATIO * node.settings.value_bytes))
        guards = {
            holder_key(LeaseName.CATALOG): Revision(token),
            CATALOG_KEY: Revision(0) if stored is None else stored.version,
        }

        def done(status: int | None, revision: Revision, failed: tuple[str, ...]) -> None:
            if status == 200:
                log.info("catalogue stored types=%d token=%d", len(types), token)
            elif failed:
                self._singleton_service.on_write_fenced()
            self._finish(self._singleton_service.features.refresh_s if status == 200 else RETRY_S)

        node.store.commit(Transaction(guards, [Put(CATALOG_KEY, value)]), done)

    def _finish(self, pause_s: float) -> None:
        self.is_busy = False
        self._next_refresh_at = MonotonicTime(self._node.clock() + pause_s)


def _stored_types(item: Item) -> dict[str, MachineType]:
    try:
        return cloud.parse_catalog(item.value)
    except (MalformedMessage, AttributeError) as err:
        log.error("stored catalogue unreadable: %s", err)
        return {}
