"""Client-side state of a lease in the state service.

Keys attached to a lease are deleted when it expires. The leader key is attached to one lease, and
all named leases of a node to another; both are kept alive in the same way.
"""

from eldercart.units import DISTANT_PAST, LeaseId, MonotonicTime


class StoreLease:
    """Id of a lease, and the times derived from its last confirmation by the state service.

    The time to live counts from when the confirmed request was sent and is shortened by a margin
    for clock drift. So the lease has not expired at the state service as long as `expires_at` is in
    the future by this node's monotonic clock.
    """

    def __init__(self, ttl_s: float, drift_margin: float, keep_alives_per_lease: int) -> None:
        """Start without a lease.

        `drift_margin` is the share of `ttl_s` that is reserved for clock drift. A keep-alive is due
        `keep_alives_per_lease` times in `ttl_s` seconds.
        """
        self.ttl_s = ttl_s
        self.lease_id: LeaseId | None = None
        self.expires_at = DISTANT_PAST
        self.next_keep_alive_at = DISTANT_PAST
        self._usable_s = ttl_s * (1 - drift_margin)
        self._keep_alive_interval_s = ttl_s / keep_alives_per_lease

    @property
    def confirmed_at(self) -> MonotonicTime:
        """Send time of the request that the state service confirmed last."""
        return MonotonicTime(self.expires_at - self._usable_s)

    def is_usable(self, now: MonotonicTime) -> bool:
        """Return whether there is a lease that has not expired."""
        return self.lease_id is not None and now < self.expires_at

    def on_granted(self, lease_id: LeaseId, sent_at: MonotonicTime) -> None:
        """Record a new lease that was granted for a request sent at `sent_at`."""
        self.lease_id = lease_id
        self.on_extended(sent_at)

    def on_extended(self, sent_at: MonotonicTime) -> None:
        """Record that a request sent at `sent_at` has extended the lease."""
        self.expires_at = MonotonicTime(sent_at + self._usable_s)
        self.next_keep_alive_at = MonotonicTime(sent_at + self._keep_alive_interval_s)

    def on_lost(self) -> None:
        """Clear the lease after it has ended, or to let it expire."""
        self.lease_id = None
        self.expires_at = DISTANT_PAST
