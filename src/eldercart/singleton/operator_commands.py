"""Operators' commands on named leases, each turned into a transaction or rejected."""

from collections.abc import Collection

from eldercart.singleton.lease_directory import LeaseEntry
from eldercart.units import ABSENT_REVISION, NodeId, Revision
from eldercart.wire.named_leases import (
    HandOverRecord,
    LeaseName,
    PauseRecord,
    hand_over_key,
    hand_over_value,
    holder_key,
    pause_key,
    pause_value,
)
from eldercart.wire.state import DeleteKey, Put, Transaction


class CommandConflictError(Exception):
    """The command conflicts with the state of the lease. Operators see the message."""


def hand_over(
    lease_name: LeaseName,
    entry: LeaseEntry,
    record: HandOverRecord,
    nodes_without_support: Collection[NodeId],
) -> Transaction:
    """Return the transaction that hands the lease over; raises CommandConflictError."""
    receiver = record.receiver
    if entry.is_paused:
        raise CommandConflictError(f"{lease_name} is paused")
    if entry.hand_over is not None:
        raise CommandConflictError(
            f"{lease_name} is being handed over to {entry.hand_over.receiver}"
        )
    if not entry.is_held:
        raise CommandConflictError(f"{lease_name} is held by nobody")
    if entry.holder is not None and entry.holder.node == receiver:
        raise CommandConflictError(f"{lease_name} is held by {receiver} already")
    if receiver in nodes_without_support:
        raise CommandConflictError(
            f"{receiver} does not take part in {lease_name}, or has not been heard"
        )
    return Transaction(
        {
            hand_over_key(lease_name): entry.hand_over_version,
            pause_key(lease_name): ABSENT_REVISION,
            holder_key(lease_name): Revision(entry.token),
        },
        [Put(hand_over_key(lease_name), hand_over_value(record))],
    )


def pause(lease_name: LeaseName, entry: LeaseEntry, record: PauseRecord) -> Transaction:
    """Return the transaction that pauses the lease; raises CommandConflictError."""
    if entry.pause is not None:
        reason = entry.pause.reason or "no reason given"
        raise CommandConflictError(f"{lease_name} is paused already: {reason}")
    if entry.hand_over is not None:
        raise CommandConflictError(
            f"{lease_name} is being handed over to {entry.hand_over.receiver}"
        )
    return Transaction(
        {pause_key(lease_name): entry.pause_version, hand_over_key(lease_name): ABSENT_REVISION},
        [Put(pause_key(lease_name), pause_value(record))],
    )


def resume(lease_name: LeaseName, entry: LeaseEntry) -> Transaction:
    """Return the transaction that resumes the lease; raises CommandConflictError."""
    if not entry.is_paused:
        raise CommandConflictError(f"{lease_name} is not paused")
    return Transaction(
        {pause_key(lease_name): entry.pause_version}, [DeleteKey(pause_key(lease_name))]
    )
