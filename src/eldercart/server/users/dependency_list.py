"""The writing of a list of dependencies that is too long for its job's record."""

import secrets
from collections.abc import Callable
from typing import TYPE_CHECKING

from eldercart.server.store.client import RESERVE_ADMISSION
from eldercart.units import ABSENT_REVISION, JobId, MonotonicTime, Revision
from eldercart.wire.state import MAX_TRANSACTION_BYTES, Put, Transaction
from eldercart.wire.stored_jobs import dependency_list_prefix
from eldercart.wire.users import DependencyListReference, JobSpec

if TYPE_CHECKING:
    from eldercart.server.controller_node import ControllerNode

WRITE_OVERHEAD_BYTES = 60  # bytes that a guard and a put take beside key and names
NONCE_BYTES = 6


class DependencyListWriter:
    """One list of dependencies on its way to the store, under keys of its own.

    It is written before the job's record, which then names it.
    """

    def __init__(self, node: "ControllerNode", spec: JobSpec, parts: list[list[JobId]]) -> None:
        """`parts` are the list, cut to the store's limit for a value."""
        self.dependencies = spec.dependencies
        self.is_in_flight = False
        self._node = node
        self._reference = DependencyListReference(secrets.token_hex(NONCE_BYTES), len(parts))
        prefix = dependency_list_prefix(spec.id, self._reference)
        self._unwritten_parts = {f"{prefix}{i}": part for i, part in enumerate(parts)}

    def write(
        self,
        deadline_at: MonotonicTime,
        on_result: Callable[[DependencyListReference | None], None],
    ) -> None:
        """Writes what is not durable yet, a transaction after the other. `done(None)` if tokens
        or time run out, or an answer fails: a later call goes on."""
        if not self._unwritten_parts:
            on_result(self._reference)
            return
        store = self._node.store
        now = self._node.clock()
        # One change is left to the job's record.
        most = min(self._node.settings.txn_ops, store.writes.available(now, RESERVE_ADMISSION) - 1)
        if now > deadline_at or most < 1 or not store.requests.try_take(now, 1, RESERVE_ADMISSION):
            on_result(None)
            return
        txn = self._next_transaction(most)
        store.writes.force_take(now, len(txn.operations))
        self.is_in_flight = True

        def got(status: int | None, _: Revision, failed: tuple[str, ...]) -> None:
            self.is_in_flight = False
            if self._remove_written(txn, status, failed):
                self.write(deadline_at, on_result)
            else:
                on_result(None)

        store.commit(txn, got)

    def _next_transaction(self, max_operations: int) -> Transaction:
        txn = Transaction()
        size = 0
        for key, part in self._unwritten_parts.items():
            size += 3 * len(key) + sum(len(job) + 3 for job in part) + WRITE_OVERHEAD_BYTES
            if len(txn.operations) >= max_operations or (
                txn.operations and size > MAX_TRANSACTION_BYTES
            ):
                break
            txn.conditions[key] = ABSENT_REVISION
            txn.operations.append(Put(key, part))
        return txn

    def _remove_written(
        self, transaction: Transaction, status: int | None, failed: tuple[str, ...]
    ) -> bool:
        """Whether something is durable now. Nobody else writes these keys: what is there is from
        an earlier try, and the same."""
        written = (
            tuple(transaction.conditions) if status == 200 else failed if status == 409 else ()
        )
        for key in written:
            self._unwritten_parts.pop(key, None)
        return bool(written)
