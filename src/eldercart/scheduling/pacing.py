"""Work that looks at everything, spaced out so that it takes a bounded part of the time.

The core has no clock: who calls it tells afterwards how long the work took.
"""

from eldercart.units import NEVER, Steady

PART = 8.0  # the work takes at most one part in so many of the time
MOST_COST_S = 0.5  # that is believed: a process that was stalled meanwhile did not work so long
COST_MEMORY = 0.7  # weight of the earlier cost, so that one quick turn does not crowd the next ones


class RememberedCost:
    """How long some repeated work takes: its last turns, the longer ones weighing more."""

    def __init__(self, most_s: float) -> None:
        """Nothing so far; of one turn at most `most_s` are believed."""
        self.seconds = 0.0
        self._most_s = most_s

    def took(self, seconds: float) -> None:
        """The last turn's time."""
        self.seconds = max(min(seconds, self._most_s), COST_MEMORY * self.seconds)


class PacedWork:
    """When some repeated work is due: after its usual pause, or later if it takes long."""

    def __init__(self, least_s: float) -> None:
        """Due at once, then at least `least_s` seconds after the last turn."""
        self._least_s = least_s
        self._cost = RememberedCost(MOST_COST_S)
        self._began = NEVER
        self._untold = False  # the last turn's cost has not been told yet

    def due(self, now: Steady) -> bool:
        """Whether the next turn may begin."""
        return now - self._began >= max(self._least_s, PART * self._cost.seconds)

    def begin(self, now: Steady) -> None:
        """A turn begins."""
        self._began = now
        self._untold = True

    def took(self, seconds: float) -> None:
        """How long it took what began since this was last called, if anything did."""
        if self._untold:
            self._untold = False
            self._cost.took(seconds)
