"""The writing of a list of dependencies that is too long for its job's record."""

import secrets
from collections.abc import Callable
from typing import TYPE_CHECKING

from eldercart.jobs.registry import dependency_list_prefix
from eldercart.server.store.client import FOR_ACCEPTING
from eldercart.units import ABSENT, JobId, Revision, Steady
from eldercart.wire.state import TXN_BYTES, Put, Txn
from eldercart.wire.users import JobSpec, ListReference

if TYPE_CHECKING:
    from eldercart.server.controller_node import Node

WRITE_ROOM = 60  # bytes that a guard and a put take beside key and names
NONCE_BYTES = 6


class DependencyList:
    """One list of dependencies on its way to the store, under keys of its own.

    It is written before the job's record, which then names it.
    """

    def __init__(self, node: "Node", spec: JobSpec, parts: list[list[JobId]]) -> None:
        """`parts` are the list, cut to the store's limit for a value."""
        self.dependencies = spec.dependencies
        self.under_way = False
        self._node = node
        self._where = ListReference(secrets.token_hex(NONCE_BYTES), len(parts))
        prefix = dependency_list_prefix(spec.id, self._where)
        self._unwritten = {f"{prefix}{i}": part for i, part in enumerate(parts)}

    def write(self, until: Steady, done: Callable[[ListReference | None], None]) -> None:
        """Writes what is not durable yet, a transaction after the other. `done(None)` if tokens
        or time run out, or an answer fails: a later call goes on."""
        if not self._unwritten:
            done(self._where)
            return
        store = self._node.store
        now = self._node.clock()
        # One change is left to the job's record.
        most = min(self._node.settings.txn_ops, store.writes.available(now, FOR_ACCEPTING) - 1)
        if now > until or most < 1 or not store.requests.take(now, 1, FOR_ACCEPTING):
            done(None)
            return
        txn = self._next_txn(most)
        store.writes.force(now, len(txn.writes))
        self.under_way = True

        def got(status: int | None, _: Revision, failed: tuple[str, ...]) -> None:
            self.under_way = False
            if self._strike_out(txn, status, failed):
                self.write(until, done)
            else:
                done(None)

        store.txn(txn, got)

    def _next_txn(self, most: int) -> Txn:
        txn = Txn()
        size = 0
        for key, part in self._unwritten.items():
            size += 3 * len(key) + sum(len(job) + 3 for job in part) + WRITE_ROOM
            if len(txn.writes) >= most or (txn.writes and size > TXN_BYTES):
                break
            txn.guards[key] = ABSENT
            txn.writes.append(Put(key, part))
        return txn

    def _strike_out(self, txn: Txn, status: int | None, failed: tuple[str, ...]) -> bool:
        """Whether something is durable now. Nobody else writes these keys: what is there is from
        an earlier try, and the same."""
        written = tuple(txn.guards) if status == 200 else failed if status == 409 else ()
        for key in written:
            self._unwritten.pop(key, None)
        return bool(written)
