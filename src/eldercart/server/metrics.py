"""Histograms for the status page and the load line, in milliseconds."""

from typing import Any

from hdrh.histogram import HdrHistogram

MAX_RECORDED_MS = 600_000  # that is told apart
PERCENTILES = (50.0, 90.0, 99.0, 100.0)
# Placement to start, handling of a report, lateness of the loop, a planning pass, a transaction.
METRIC_NAMES = ("start_wait", "report", "loop_lag", "plan", "write")


class Metrics:
    """One histogram for each of `NAMES`."""

    def __init__(self) -> None:
        """All histograms are empty."""
        self._histograms = {name: HdrHistogram(1, MAX_RECORDED_MS, 2) for name in METRIC_NAMES}
        self._counts = dict.fromkeys(METRIC_NAMES, 0)
        self._sums = dict.fromkeys(METRIC_NAMES, 0.0)

    def record(self, name: str, seconds: float, number: int = 1) -> None:
        """Records a duration, or so many of the same length each: what comes hundreds of times a
        second is measured a batch at a time, since to record it takes as long as to do it."""
        self._counts[name] += number
        self._sums[name] += seconds * number
        value = max(1, min(MAX_RECORDED_MS, int(seconds * 1000)))
        self._histograms[name].record_value(value, number)

    def take_summary(self) -> str:
        """Counts and seconds since the last line."""
        out = " ".join(f"{n}={self._counts[n]}/{self._sums[n]:.2f}s" for n in METRIC_NAMES)
        for name in METRIC_NAMES:
            self._counts[name] = 0
            self._sums[name] = 0.0
        return out

    def snapshot(self) -> dict[str, Any]:
        """Counts and percentiles since the start, by name."""
        return {
            name: {"count": h.get_total_count()}
            | {f"p{p:g}": h.get_value_at_percentile(p) for p in PERCENTILES}
            for name, h in self._histograms.items()
        }
