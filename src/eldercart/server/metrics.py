"""Histograms for the status page and the load line, in milliseconds."""

from typing import Any

from hdrh.histogram import HdrHistogram

LONGEST_MS = 600_000  # that is told apart
SHOWN = (50.0, 90.0, 99.0, 100.0)
# Placement to start, handling of a report, lateness of the loop, a planning pass, a transaction.
NAMES = ("start_wait", "report", "loop_lag", "plan", "write")


class Meters:
    """One histogram for each of `NAMES`."""

    def __init__(self) -> None:
        """All histograms are empty."""
        self._histograms = {name: HdrHistogram(1, LONGEST_MS, 2) for name in NAMES}
        self._counts = dict.fromkeys(NAMES, 0)
        self._sums = dict.fromkeys(NAMES, 0.0)

    def add(self, name: str, seconds: float, number: int = 1) -> None:
        """Records a duration, or so many of the same length each: what comes hundreds of times a
        second is measured a batch at a time, since to record it takes as long as to do it."""
        self._counts[name] += number
        self._sums[name] += seconds * number
        value = max(1, min(LONGEST_MS, int(seconds * 1000)))
        self._histograms[name].record_value(value, number)

    def line(self) -> str:
        """Counts and seconds since the last line."""
        out = " ".join(f"{n}={self._counts[n]}/{self._sums[n]:.2f}s" for n in NAMES)
        for name in NAMES:
            self._counts[name] = 0
            self._sums[name] = 0.0
        return out

    def page(self) -> dict[str, Any]:
        """Counts and percentiles since the start, by name."""
        return {
            name: {"count": h.get_total_count()}
            | {f"p{p:g}": h.get_value_at_percentile(p) for p in SHOWN}
            for name, h in self._histograms.items()
        }
