"""Token buckets for calls to the state service and the cloud."""

from eldercart.units import MonotonicTime


class TokenBucket:
    """A token bucket that enforces a node's share of a rate limit.

    Less urgent callers leave a reserve for more urgent ones: they get tokens only if at least
    `reserve` (a fraction of the burst) remains.
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
        """Whether the token count was negative when the bucket was last used."""
        return self._tokens < 0

    def set_rate(self, rate: float, burst: float, now: MonotonicTime) -> None:
        """Change rate and burst from now on; tokens above the new burst are discarded."""
        self._refill(now)
        self._rate = rate
        self._burst = max(1.0, burst)
        self._tokens = min(self._tokens, self._burst)

    def _refill(self, now: MonotonicTime) -> None:
        self._tokens = min(self._burst, self._tokens + (now - self._refilled_at) * self._rate)
        self._refilled_at = now

    def available(self, now: MonotonicTime, reserve: float = 0.0) -> int:
        """Return how many tokens are above the reserve; negative if there are too few."""
        self._refill(now)
        return int(self._tokens - reserve * self._burst)

    def try_take(self, now: MonotonicTime, count: int = 1, reserve: float = 0.0) -> bool:
        """Take the tokens and return True if the reserve remains; otherwise take none."""
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
        """Add tokens from another node's share, even above the burst until the next refill."""
        self._refill(now)
        self._tokens += count

    def empty(self, now: MonotonicTime) -> None:
        """Discard all tokens, because the service responded that the limit is reached."""
        self._refill(now)
        self._tokens = min(self._tokens, 0.0)
