"""Intervals of repeated work over the whole cluster, which adapt to the duration of the work.

The state machine reads no clock, so its caller reports afterwards how long the work took.
"""

from eldercart.units import DISTANT_PAST, MonotonicTime

INTERVAL_PER_COST = 8.0  # the work takes at most 1 / INTERVAL_PER_COST of the time
# Upper bound of one recorded duration: a stalled process did not work during the whole time.
MAX_COST_S = 0.5
COST_DECAY = 0.7  # factor per run; one quick run does not shorten the interval at once


class DecayingMaxCost:
    """Cost of repeated work: the longest duration of recent runs, which decays with each run."""

    def __init__(self, max_s: float) -> None:
        """Start with no cost; each run counts for at most `max_s` seconds."""
        self.seconds = 0.0
        self._max_s = max_s

    def record(self, seconds: float) -> None:
        """Record the duration of the last run."""
        self.seconds = max(min(seconds, self._max_s), COST_DECAY * self.seconds)


class AdaptiveInterval:
    """Decides when repeated work is due: after a minimum interval, or later if it is costly."""

    def __init__(self, min_interval_s: float) -> None:
        """Make the first run due at once; later runs start at least `min_interval_s` apart."""
        self._min_interval_s = min_interval_s
        self._cost = DecayingMaxCost(MAX_COST_S)
        self._started_at = DISTANT_PAST
        self._is_duration_pending = False  # whether the last run's duration is not recorded yet

    def is_due(self, now: MonotonicTime) -> bool:
        """Return whether the next run may start."""
        interval_s = max(self._min_interval_s, INTERVAL_PER_COST * self._cost.seconds)
        return now - self._started_at >= interval_s

    def start(self, now: MonotonicTime) -> None:
        """Record that a run starts."""
        self._started_at = now
        self._is_duration_pending = True

    def record_duration(self, seconds: float) -> None:
        """Record the duration of the run started since the last call, if there was one."""
        if self._is_duration_pending:
            self._is_duration_pending = False
            self._cost.record(seconds)
