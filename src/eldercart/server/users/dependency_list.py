"""Writes a dependency list that is too long for its job's record."""

import secrets
from collections.abc import Callable

from eldercart.server.store.client import RESERVE_ADMISSION
from eldercart.server.users.lookup_context import LookupContext
from eldercart.units import ABSENT_REVISION, JobId, MonotonicTime, Revision
from eldercart.wire.state import MAX_TRANSACTION_BYTES, Put, Transaction
from eldercart.wire.stored_jobs import dependency_list_prefix
from eldercart.wire.users import DependencyListReference, JobSpec

WRITE_OVERHEAD_BYTES = 60  # size of a condition and a put without the key and the job ids
JOB_ID_OVERHEAD_BYTES = 3  # quotes and comma
MAX_KEY_OCCURRENCES = 3  # upper bound on how often a transaction contains each written key
NONCE_BYTES = 6


class DependencyListWriter:
    """Writes one dependency list to the state service, under separate keys.

    The list is written before the job's record, which refers to it. A writer that ran out of
    rate-limit tokens or time continues at the next call of `write`.
    """

    def __init__(self, context: LookupContext, spec: JobSpec, parts: list[list[JobId]]) -> None:
        """Set up the write of `parts`: the list, split so that each part fits into a value."""
        self.dependencies = spec.dependencies
        self.is_in_flight = False
        self._context = context
        self._reference = DependencyListReference(secrets.token_hex(NONCE_BYTES), len(parts))
        prefix = dependency_list_prefix(spec.id, self._reference)
        self._unwritten_parts = {f"{prefix}{index}": part for index, part in enumerate(parts)}

    def write(
        self,
        deadline_at: MonotonicTime,
        on_result: Callable[[DependencyListReference | None], None],
    ) -> None:
        """Write the parts that are not durable yet, one transaction after another.

        `on_result` gets the reference to the list once all parts are durable. It gets None if
        tokens or time run out or a transaction fails; a later call writes the remaining parts.
        """
        if not self._unwritten_parts:
            on_result(self._reference)
            return
        store = self._context.store
        now = self._context.clock()
        # Leave one write token for the job's record.
        max_operations = min(
            self._context.settings.txn_ops, store.writes.available(now, RESERVE_ADMISSION) - 1
        )
        if (
            now > deadline_at
            or max_operations < 1
            or not store.requests.try_take(now, 1, RESERVE_ADMISSION)
        ):
            on_result(None)
            return
        transaction = self._next_transaction(max_operations)
        store.writes.force_take(now, len(transaction.operations))
        self.is_in_flight = True

        def on_transaction_result(
            status: int | None, _: Revision, failed_conditions: tuple[str, ...]
        ) -> None:
            self.is_in_flight = False
            if self._remove_written(transaction, status, failed_conditions):
                self.write(deadline_at, on_result)
            else:
                on_result(None)

        store.commit(transaction, on_transaction_result)

    def _next_transaction(self, max_operations: int) -> Transaction:
        """Return a transaction with as many unwritten parts as its limits allow."""
        transaction = Transaction()
        size = 0
        for key, part in self._unwritten_parts.items():
            size += (
                MAX_KEY_OCCURRENCES * len(key)
                + sum(len(job) + JOB_ID_OVERHEAD_BYTES for job in part)
                + WRITE_OVERHEAD_BYTES
            )
            if len(transaction.operations) >= max_operations:
                break
            if transaction.operations and size > MAX_TRANSACTION_BYTES:
                break
            transaction.conditions[key] = ABSENT_REVISION
            transaction.operations.append(Put(key, part))
        return transaction

    def _remove_written(
        self, transaction: Transaction, status: int | None, failed_conditions: tuple[str, ...]
    ) -> bool:
        """Remove the parts that are durable now; return whether there are any.

        No other writer uses these keys, so a part that already exists is identical: it was written
        by an earlier attempt.
        """
        written: tuple[str, ...] = ()
        if status == 200:
            written = tuple(transaction.conditions)
        elif status == 409:
            written = failed_conditions
        for key in written:
            self._unwritten_parts.pop(key, None)
        return bool(written)
