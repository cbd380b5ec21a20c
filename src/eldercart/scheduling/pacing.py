"""Intervals for repeated work over the whole cluster that adapt to what the work costs.

The state machine has no clock: its caller reports afterwards how long the work took.
"""

from eldercart.units import DISTANT_PAST, MonotonicTime

INTERVAL_PER_COST = 8.0  # the work takes at most one part in this many of the time
# Upper bound of one recorded duration: a process that was stalled did not work all that time.
MAX_COST_S = 0.5
COST_DECAY = 0.7  # per run, so that one quick run does not crowd the next ones


class DecayingMaxCost:
    """Duration of some repeated work: the longest of the last runs, decaying with each run."""

    def __init__(self, max_s: float) -> None:
        """Start at no cost; one run counts for at most `max_s` seconds."""
        self.seconds = 0.0
        self._max_s = max_s

    def record(self, seconds: float) -> None:
        """Take in the duration of the last run."""
        self.seconds = max(min(seconds, self._max_s), COST_DECAY * self.seconds)


class AdaptiveInterval:
    """Time at which repeated work is due: after a minimum interval, or later if it is costly."""

    def __init__(self, min_interval_s: float) -> None:
        """Due at once, then at least `min_interval_s` seconds after the last start."""
        self._min_interval_s = min_interval_s
        self._cost = DecayingMaxCost(MAX_COST_S)
        self._started_at = DISTANT_PAST
        self._is_duration_pending = False  # the last run's duration has not been recorded yet

    def is_due(self, now: MonotonicTime) -> bool:
        """Return whether the next run may start."""
        interval_s = max(self._min_interval_s, INTERVAL_PER_COST * self._cost.seconds)
        return now - self._started_at >= interval_s

    def start(self, now: MonotonicTime) -> None:
        """Record that a run starts."""
        self._started_at = now
        self._is_duration_pending = True

    def record_duration(self, seconds: float) -> None:
        """Record the duration of the run started since the last call; ignored if there was none."""
        if self._is_duration_pending:
            self._is_duration_pending = False
            self._cost.record(seconds)
