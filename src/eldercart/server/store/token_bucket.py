"""Token buckets for calls to the state service and the cloud."""

from eldercart.units import MonotonicTime


class TokenBucket:
    """A node's share of a rate limit.

    Callers of lesser urgency leave a reserve to the others: they get tokens only while at least
    `reserve` (a share of the burst) would remain.
    """

    def __init__(self, rate: float, burst: float, now: MonotonicTime) -> None:
        """Start full; `rate` is in tokens per second, `burst` is the capacity in tokens."""
        self._rate = rate
        self._burst = max(1.0, burst)
        self._tokens = self._burst
        self._refilled_at = now

    @property
    def rate(self) -> float:
        """Tokens per second."""
        return self._rate

    @property
    def is_overdrawn(self) -> bool:
        """Whether more was taken than this share allows, as of the last `try_take` or alike."""
        return self._tokens < 0

    def set_rate(self, rate: float, burst: float, now: MonotonicTime) -> None:
        """Change rate and burst from now on; tokens beyond the new burst are lost."""
        self._refill(now)
        self._rate = rate
        self._burst = max(1.0, burst)
        self._tokens = min(self._tokens, self._burst)

    def _refill(self, now: MonotonicTime) -> None:
        self._tokens = min(self._burst, self._tokens + (now - self._refilled_at) * self._rate)
        self._refilled_at = now

    def available(self, now: MonotonicTime, reserve: float = 0.0) -> int:
        """Return how many tokens may be taken above the reserve; negative if it is overdrawn."""
        self._refill(now)
        return int(self._tokens - reserve * self._burst)

    def try_take(self, now: MonotonicTime, count: int = 1, reserve: float = 0.0) -> bool:
        """Take the tokens and return True if that leaves the reserve; otherwise take none."""
        self._refill(now)
        if self._tokens - count < reserve * self._burst - 1e-9:
            return False
        self._tokens -= count
        return True

    def force_take(self, now: MonotonicTime, count: int = 1) -> None:
        """Take tokens even if there are none, for requests that must not wait."""
        self._refill(now)
        self._tokens -= count

    def add(self, now: MonotonicTime, count: int) -> None:
        """Add tokens that another node has taken from its own share, also beyond the burst."""
        self._refill(now)
        self._tokens += count

    def empty(self, now: MonotonicTime) -> None:
        """Drop all tokens: the service itself said that the limit is reached."""
        self._refill(now)
        self._tokens = min(self._tokens, 0.0)
