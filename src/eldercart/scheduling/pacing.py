"""Work that looks at everything, spaced out so that it takes a bounded part of the time.

The core has no clock: who calls it tells afterwards how long the work took.
"""

from eldercart.units import DISTANT_PAST, MonotonicTime

INTERVAL_PER_COST = 8.0  # the work takes at most one part in so many of the time
MAX_COST_S = 0.5  # that is believed: a process that was stalled meanwhile did not work so long
COST_DECAY = 0.7  # weight of the earlier cost, so that one quick turn does not crowd the next ones


class DecayingMaxCost:
    """How long some repeated work takes: its last turns, the longer ones weighing more."""

    def __init__(self, most_s: float) -> None:
        """Nothing so far; of one turn at most `most_s` are believed."""
        self.seconds = 0.0
        self._max_s = most_s

    def record(self, seconds: float) -> None:
        """The last turn's time."""
        self.seconds = max(min(seconds, self._max_s), COST_DECAY * self.seconds)


class AdaptiveInterval:
    """When some repeated work is due: after its usual pause, or later if it takes long."""

    def __init__(self, least_s: float) -> None:
        """Due at once, then at least `least_s` seconds after the last turn."""
        self._min_interval_s = least_s
        self._cost = DecayingMaxCost(MAX_COST_S)
        self._started_at = DISTANT_PAST
        self._is_duration_pending = False  # the last turn's cost has not been told yet

    def is_due(self, now: MonotonicTime) -> bool:
        """Whether the next turn may begin."""
        return now - self._started_at >= max(
            self._min_interval_s, INTERVAL_PER_COST * self._cost.seconds
        )

    def start(self, now: MonotonicTime) -> None:
        """A turn begins."""
        self._started_at = now
        self._is_duration_pending = True

    def record_duration(self, seconds: float) -> None:
        """How long it took what began since this was last called, if anything did."""
        if self._is_duration_pending:
            self._is_duration_pending = False
            self._cost.record(seconds)
