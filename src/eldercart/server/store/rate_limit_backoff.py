"""Detection of a reduction of the state service's rate limits to those announced in the settings.

The state service reduces the limits without notice. A node detects the reduction by a 429 response
although it has kept to its share of the current limits. Such a 429 may have other causes: a peer
overdrew its share, as a new leader does while it reads, or two clocks disagree on where a second
ends. So the node uses the lower rates for a limited time and then tries the higher ones again. Each
time another 429 follows soon, it waits twice as long before the next try (exponential backoff).
"""

from eldercart.units import DISTANT_PAST, MonotonicTime

# The shortest and the longest time for which a node uses the lower rates after a 429.
INITIAL_BACKOFF_S, MAX_BACKOFF_S = 20.0, 640.0


class RateLimitBackoff:
    """Decides for one node whether it uses the lower rates now.

    A node announces to its peers only the backoff caused by its own 429s: two nodes that repeated
    each other's announcements would keep the lower rates for ever.
    """

    def __init__(self, reduction_announced: bool) -> None:
        """Without `reduction_announced` (the settings name lower rates) no backoff ever starts."""
        self._reduction_announced = reduction_announced
        self._backoff_s = INITIAL_BACKOFF_S
        self._own_until = DISTANT_PAST  # end of the backoff caused by this node's own 429s
        self._peers_until = DISTANT_PAST  # end of the backoff that peers announced
        self.reduction_count = 0  # how often a 429 of this node started a backoff

    def record_rate_limited(self, now: MonotonicTime, within_share: bool) -> None:
        """Record a 429; `within_share` means that this node had not overdrawn its share."""
        if not self._reduction_announced or not within_share:
            return
        if not self.is_active(now):
            is_repeated = now - max(self._own_until, self._peers_until) <= self._backoff_s
            doubled_s = min(MAX_BACKOFF_S, 2 * self._backoff_s)
            self._backoff_s = doubled_s if is_repeated else INITIAL_BACKOFF_S
            self.reduction_count += 1
        # A further 429 during a backoff shows only that the first was not a stray one. It restarts
        # the time without doubling it, since requests already in flight are rejected as well.
        self._own_until = MonotonicTime(max(self._own_until, now + self._backoff_s))

    def record_peer_backoff(self, remaining_s: float, now: MonotonicTime) -> None:
        """Record that a peer received 429s and uses the lower rates for another `remaining_s`."""
        if self._reduction_announced and remaining_s > 0:
            remaining_s = min(remaining_s, MAX_BACKOFF_S)
            self._peers_until = MonotonicTime(max(self._peers_until, now + remaining_s))
            self._backoff_s = max(self._backoff_s, remaining_s)

    def is_active(self, now: MonotonicTime) -> bool:
        """Return whether this node uses the lower rates now."""
        return now < max(self._own_until, self._peers_until)

    def remaining_s(self, now: MonotonicTime) -> float:
        """Return the seconds until the backoff caused by this node's own 429s ends."""
        return max(0.0, self._own_until - now)
