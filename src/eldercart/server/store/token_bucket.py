"""Token buckets for calls to the state service and the cloud."""

from eldercart.units import MonotonicTime


class TokenBucket:
    """A node's share of a rate limit. Callers of lesser urgency leave a reserve to the others:
    they are served only while more than `reserve` (a share of the burst) would remain."""

    def __init__(self, rate: float, burst: float, now: MonotonicTime) -> None:
        """Starts full; `rate` is in tokens per second, `burst` the most that it holds."""
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
        """More was taken than this share allows, as of the last taking."""
        return self._tokens < 0

    def set_rate(self, rate: float, burst: float, now: MonotonicTime) -> None:
        """Changes rate and burst from now on; tokens beyond the new burst are lost."""
        self._refill(now)
        self._rate = rate
        self._burst = max(1.0, burst)
        self._tokens = min(self._tokens, self._burst)

    def _refill(self, now: MonotonicTime) -> None:
        self._tokens = min(self._burst, self._tokens + (now - self._refilled_at) * self._rate)
        self._refilled_at = now

    def available(self, now: MonotonicTime, reserve: float = 0.0) -> int:
        """How many tokens may be taken above the reserve; negative if it is overdrawn."""
        self._refill(now)
        return int(self._tokens - reserve * self._burst)

    def try_take(self, now: MonotonicTime, number: int = 1, reserve: float = 0.0) -> bool:
        """Takes tokens if that leaves the reserve; otherwise none, and returns False."""
        self._refill(now)
        if self._tokens - number < reserve * self._burst - 1e-9:
            return False
        self._tokens -= number
        return True

    def force_take(self, now: MonotonicTime, number: int = 1) -> None:
        """Takes tokens even if there are none: for what must not wait."""
        self._refill(now)
        self._tokens -= number

    def add(self, now: MonotonicTime, number: int) -> None:
        """Tokens that another node has taken from its own share."""
        self._refill(now)
        self._tokens += number

    def empty(self, now: MonotonicTime) -> None:
        """The service itself said that the limit is reached."""
        self._refill(now)
        self._tokens = min(self._tokens, 0.0)
