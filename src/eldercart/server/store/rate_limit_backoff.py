"""Whether the state service's rate limits have been reduced to those announced in the settings.

The reduction comes without notice. The sign of it is a refusal (429) that the present limits can't
explain, since this node had kept within its share of them. Other reasons remain possible: a peer
that overdrew its own share, as a new leader does while it reads, or two clocks that disagree on
where a second ends. So the lower rates are used for a time, after which the old ones are tried
again; each time that this fails soon, the next try waits twice as long (exponential backoff).
"""

from eldercart.units import DISTANT_PAST, MonotonicTime

INITIAL_BACKOFF_S, MAX_BACKOFF_S = (
    20.0,
    640.0,
)  # for which the lower rates hold at least, and at most


class RateLimitBackoff:
    """One node's judgement. It tells its peers only of refusals that it met itself: two nodes that
    repeated what they were told would keep the lower rates for ever."""

    def __init__(self, foretold: bool) -> None:
        """`foretold`: the settings announce lower rates; otherwise nothing lowers them."""
        self._reduction_announced = foretold
        self._backoff_s = INITIAL_BACKOFF_S
        self._own_until = self._peers_until = (
            DISTANT_PAST  # until when, by own refusals and by those of peers
        )
        self.reduction_count = 0  # how often this node found it out by itself

    def record_rate_limited(self, now: MonotonicTime, within: bool) -> None:
        """The service answered 429; `within`: though this node had not overdrawn its share."""
        if not self._reduction_announced or not within:
            return
        if not self.is_active(now):
            soon = now - max(self._own_until, self._peers_until) <= self._backoff_s
            self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s) if soon else INITIAL_BACKOFF_S
            self.reduction_count += 1
        # While the lower rates hold this says only that it was no stray one: requests that were
        # under way come back refused, too, and are no reason to wait longer than that.
        self._own_until = MonotonicTime(max(self._own_until, now + self._backoff_s))

    def record_peer_backoff(self, left_s: float, now: MonotonicTime) -> None:
        """A peer met the fall, and keeps to the lower rates for so long."""
        if self._reduction_announced and left_s > 0:
            left_s = min(left_s, MAX_BACKOFF_S)
            self._peers_until = MonotonicTime(max(self._peers_until, now + left_s))
            self._backoff_s = max(self._backoff_s, left_s)

    def is_active(self, now: MonotonicTime) -> bool:
        """Whether the lower rates are to be used now."""
        return now < max(self._own_until, self._peers_until)

    def remaining_s(self, now: MonotonicTime) -> float:
        """How long the lower rates hold by what this node met itself."""
        return max(0.0, self._own_until - now)
