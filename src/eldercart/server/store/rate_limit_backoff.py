"""Whether the state service's rate limits have been reduced to those announced in the settings.

The reduction comes without notice. The sign of it is a refusal (429) that the present limits can't
explain, since this node had kept within its share of them. Other reasons remain possible: a peer
that overdrew its own share, as a new leader does while it reads, or two clocks that disagree on
where a second ends. So the lower rates are used for a time, after which the old ones are tried
again; each time that this fails soon, the next try waits twice as long (exponential backoff).
"""

from eldercart.units import NEVER, Steady

FIRST_S, MOST_S = 20.0, 640.0  # for which the lower rates hold at least, and at most


class ReducedRates:
    """One node's judgement. It tells its peers only of refusals that it met itself: two nodes that
    repeated what they were told would keep the lower rates for ever."""

    def __init__(self, foretold: bool) -> None:
        """`foretold`: the settings announce lower rates; otherwise nothing lowers them."""
        self._foretold = foretold
        self._patience = FIRST_S
        self._own = self._told = NEVER  # until when, by own refusals and by those of peers
        self.reductions = 0  # how often this node found it out by itself

    def refused(self, now: Steady, within: bool) -> None:
        """The service answered 429; `within`: though this node had not overdrawn its share."""
        if not self._foretold or not within:
            return
        if not self.lowered(now):
            soon = now - max(self._own, self._told) <= self._patience
            self._patience = min(MOST_S, 2 * self._patience) if soon else FIRST_S
            self.reductions += 1
        # While the lower rates hold this says only that it was no stray one: requests that were
        # under way come back refused, too, and are no reason to wait longer than that.
        self._own = Steady(max(self._own, now + self._patience))

    def told(self, left_s: float, now: Steady) -> None:
        """A peer met the fall, and keeps to the lower rates for so long."""
        if self._foretold and left_s > 0:
            left_s = min(left_s, MOST_S)
            self._told = Steady(max(self._told, now + left_s))
            self._patience = max(self._patience, left_s)

    def lowered(self, now: Steady) -> bool:
        """Whether the lower rates are to be used now."""
        return now < max(self._own, self._told)

    def left_s(self, now: Steady) -> float:
        """How long the lower rates hold by what this node met itself."""
        return max(0.0, self._own - now)
