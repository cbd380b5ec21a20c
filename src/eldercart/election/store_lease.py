"""A lease of the state service, as the node that keeps it alive knows it.

Keys written under a lease are deleted when it expires. The leader key hangs on one lease, all named
leases of a node on another; both are kept alive in the same way.
"""

from eldercart.units import DISTANT_PAST, LeaseId, MonotonicTime


class StoreLease:
    """The id of a lease and the times that follow from its last confirmation.

    A confirmation counts from before its request was sent, and only the share of the time to live
    that clock drift leaves is relied on. So the lease has not expired at the state service while
    `expires_at`, by this node's monotonic clock, is ahead.
    """

    def __init__(self, ttl_s: float, drift_margin: float, keep_alives_per_lease: int) -> None:
        """No lease yet. `drift_margin` is the share of `ttl_s` that is left to clock drift; a
        keep-alive is due `keep_alives_per_lease` times in `ttl_s` seconds."""
        self.ttl_s = ttl_s
        self.lease_id: LeaseId | None = None
        self.expires_at = DISTANT_PAST
        self.next_keep_alive_at = DISTANT_PAST
        self._usable_s = ttl_s * (1 - drift_margin)
        self._keep_alive_interval_s = ttl_s / keep_alives_per_lease

    @property
    def confirmed_at(self) -> MonotonicTime:
        """When the request was sent that the state service confirmed last."""
        return MonotonicTime(self.expires_at - self._usable_s)

    def is_usable(self, now: MonotonicTime) -> bool:
        """Whether there is a lease that has not expired."""
        return self.lease_id is not None and now < self.expires_at

    def on_granted(self, lease_id: LeaseId, sent_at: MonotonicTime) -> None:
        """The lease was opened by a request sent at `sent_at`."""
        self.lease_id = lease_id
        self.on_extended(sent_at)

    def on_extended(self, sent_at: MonotonicTime) -> None:
        """The lease was extended by a request sent at `sent_at`."""
        self.expires_at = MonotonicTime(sent_at + self._usable_s)
        self.next_keep_alive_at = MonotonicTime(sent_at + self._keep_alive_interval_s)

    def on_lost(self) -> None:
        """The lease has ended, or is left to end."""
        self.lease_id = None
        self.expires_at = DISTANT_PAST
