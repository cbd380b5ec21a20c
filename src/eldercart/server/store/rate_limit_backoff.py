"""Whether the state service's rate limits have been reduced to those announced in the settings.

The reduction comes without notice. The sign of it is a refusal (429) that the present limits can't
explain, since this node had kept within its share of them. Other reasons remain possible: a peer
that overdrew its own share, as a new leader does while it reads, or two clocks that disagree on
where a second ends. So the lower rates are used for a time, after which the old ones are tried
again; each time that this fails soon, the next try waits twice as long (exponential backoff).
"""

from eldercart.units import DISTANT_PAST, MonotonicTime

# For which the lower rates hold at least, and at most.
INITIAL_BACKOFF_S, MAX_BACKOFF_S = 20.0, 640.0


class RateLimitBackoff:
    """One node's judgement of whether the lower rates hold.

    A node announces to its peers only the 429s that it met itself: two nodes that repeated each
    other's announcements would keep the lower rates for ever.
    """

    def __init__(self, reduction_announced: bool) -> None:
        """`reduction_announced`: the settings name lower rates; otherwise nothing lowers them."""
        self._reduction_announced = reduction_announced
        self._backoff_s = INITIAL_BACKOFF_S
        self._own_until = DISTANT_PAST  # until when by this node's own 429s
        self._peers_until = DISTANT_PAST  # until when by those that peers announced
        self.reduction_count = 0  # how often this node found it out by itself

    def record_rate_limited(self, now: MonotonicTime, within_share: bool) -> None:
        """Record a 429; `within_share`: it came though this node had not overdrawn its share."""
        if not self._reduction_announced or not within_share:
            return
        if not self.is_active(now):
            failed_soon = now - max(self._own_until, self._peers_until) <= self._backoff_s
            longer_s = min(MAX_BACKOFF_S, 2 * self._backoff_s)
            self._backoff_s = longer_s if failed_soon else INITIAL_BACKOFF_S
            self.reduction_count += 1
        # While the lower rates hold this says only that it was no stray one: requests that were
        # under way come back refused, too, and are no reason to wait longer than that.
        self._own_until = MonotonicTime(max(self._own_until, now + self._backoff_s))

    def record_peer_backoff(self, remaining_s: float, now: MonotonicTime) -> None:
        """Record that a peer met 429s and uses the lower rates for `remaining_s`."""
        if self._reduction_announced and remaining_s > 0:
            remaining_s = min(remaining_s, MAX_BACKOFF_S)
            self._peers_until = MonotonicTime(max(self._peers_until, now + remaining_s))
            self._backoff_s = max(self._backoff_s, remaining_s)

    def is_active(self, now: MonotonicTime) -> bool:
        """Return whether the lower rates are to be used now."""
        return now < max(self._own_until, self._peers_until)

    def remaining_s(self, now: MonotonicTime) -> float:
        """Return for how long the lower rates hold by this node's own 429s."""
        return max(0.0, self._own_until - now)
