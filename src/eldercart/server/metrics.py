"""Histograms for the status page and the load line, in milliseconds."""

from typing import Any

from hdrh.histogram import HdrHistogram

MAX_RECORDED_MS = 600_000  # longer durations count as this one
PERCENTILES = (50.0, 90.0, 99.0, 100.0)
# Placement to start, handling of a heartbeat, lateness of the loop, a planning pass, a transaction.
METRIC_NAMES = ("start_wait", "report", "loop_lag", "plan", "write")


class Metrics:
    """One histogram for each of `METRIC_NAMES`."""

    def __init__(self) -> None:
        """All histograms are empty."""
        self._histograms = {name: HdrHistogram(1, MAX_RECORDED_MS, 2) for name in METRIC_NAMES}
        self._counts = dict.fromkeys(METRIC_NAMES, 0)
        self._sums = dict.fromkeys(METRIC_NAMES, 0.0)

    def record(self, name: str, seconds: float, count: int = 1) -> None:
        """Record `count` durations of the same length.

        What comes hundreds of times a second is measured a batch at a time, since to record it
        takes as long as to do it.
        """
        self._counts[name] += count
        self._sums[name] += seconds * count
        value = max(1, min(MAX_RECORDED_MS, int(seconds * 1000)))
        self._histograms[name].record_value(value, count)

    def take_summary(self) -> str:
        """Return counts and sums since the last summary, for the load line."""
        summary = " ".join(
            f"{name}={self._counts[name]}/{self._sums[name]:.2f}s" for name in METRIC_NAMES
        )
        for name in METRIC_NAMES:
            self._counts[name] = 0
            self._sums[name] = 0.0
        return summary

    def snapshot(self) -> dict[str, Any]:
        """Return counts and percentiles since the start, by name."""
        return {name: _percentiles(histogram) for name, histogram in self._histograms.items()}


def _percentiles(histogram: Any) -> dict[str, Any]:
    values = {f"p{share:g}": histogram.get_value_at_percentile(share) for share in PERCENTILES}
    return {"count": histogram.get_total_count()} | values
