"""The duty that keeps the stored machine types up to date, for nodes that must decide while the
cloud is down. To read the cloud's catalogue changes nothing there; the write is guarded on the
holder's token."""

import logging
from typing import TYPE_CHECKING

from eldercart.persistence.learned_state import FILL
from eldercart.server.http.client import HttpClient
from eldercart.server.leadership.catalog_record import CATALOG_KEY, shapes
from eldercart.server.leadership.cloud_requests import ANSWER_S, CONNECT_S
from eldercart.server.store.client import FOR_PLACING
from eldercart.units import NEVER, Revision, Steady, Token
from eldercart.wire import Malformed, cloud
from eldercart.wire.checks import load_answer
from eldercart.wire.cloud import MachineType
from eldercart.wire.named_leases import DutyName, holder_key
from eldercart.wire.state import Item, Put, Txn

if TYPE_CHECKING:
    from eldercart.server.singleton.lease_service import DutyService

log = logging.getLogger("eldercart.duties")

AGAIN_S = 5.0  # after a refresh that did not come to its end
CONNECTIONS = 1


class CatalogRefresh:
    """Reads the cloud's catalogue and the stored one, and writes what has changed."""

    def __init__(self, duties: "DutyService") -> None:
        """The first refresh is due when this node holds the duty."""
        self._duties = duties
        self._node = duties.node
        self._client = HttpClient(duties.node.settings.cloud, CONNECT_S, CONNECTIONS)
        self._due = NEVER
        self.busy = False

    def tick(self, now: Steady) -> None:
        """Begins a refresh if one is due. While nothing is stored, no window is waited for: other
        nodes could not judge submissions."""
        token = self._duties.membership.token(DutyName.CATALOG, now)
        if token is None or self.busy or now < self._due:
            return
        store = self._node.store
        if store.requests.available(now, FOR_PLACING) < 1:
            return
        self.busy = True
        store.get(CATALOG_KEY, lambda ok, item: self._got_stored(token, ok, item))

    def _got_stored(self, token: Token, ok: bool, item: Item | None) -> None:
        if not ok:
            self._over(AGAIN_S)
            return
        if item is not None and not self._duties.may_maintain():
            self._over(AGAIN_S)
            return
        self._client.request(
            b"GET",
            "/catalog",
            None,
            ANSWER_S,
            lambda status, body: self._got_offered(token, item, status, body),
        )

    def _got_offered(
        self, token: Token, stored: Item | None, status: int | None, body: bytes
    ) -> None:
        try:
            if status != 200:
                raise Malformed("status")
            types = cloud.parse_catalog(load_answer(body))
        except Malformed as err:
            log.info("catalogue not read: %s", err)
            self._over(AGAIN_S)
            return
        self._node.types = types
        if stored is not None and shapes(types) == shapes(_stored_types(stored)):
            self._over(self._duties.features.refresh_s)
            return
        self._write(token, stored, types)

    def _write(self, token: Token, stored: Item | None, types: dict[str, MachineType]) -> None:
        node = self._node
        now = node.clock()
        node.store.requests.force(now)
        node.store.writes.force(now)
        value = cloud.catalog_record(types, int(FILL * node.settings.value_bytes))
        guards = {
            holder_key(DutyName.CATALOG): Revision(token),
            CATALOG_KEY: Revision(0) if stored is None else stored.version,
        }

        def done(status: int | None, revision: Revision, failed: tuple[str, ...]) -> None:
            if status == 200:
                log.info("catalogue stored types=%d token=%d", len(types), token)
            elif failed:
                self._duties.disproved()
            self._over(self._duties.features.refresh_s if status == 200 else AGAIN_S)

        node.store.txn(Txn(guards, [Put(CATALOG_KEY, value)]), done)

    def _over(self, pause_s: float) -> None:
        self.busy = False
        self._due = Steady(self._node.clock() + pause_s)


def _stored_types(item: Item) -> dict[str, MachineType]:
    try:
        return cloud.parse_catalog(item.value)
    except (Malformed, AttributeError) as err:
        log.error("stored catalogue unreadable: %s", err)
        return {}
