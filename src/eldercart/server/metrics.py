"""Duration histograms for the status page and the `load` log line."""

from typing import Any

from hdrh.histogram import HdrHistogram

MAX_RECORDED_MS = 600_000  # longer durations are recorded as this value
PERCENTILES = (50.0, 90.0, 99.0, 100.0)
# In this order: time from placement to start, handling of a heartbeat, lateness of the event loop,
# a planning pass, a transaction.
METRIC_NAMES = ("start_wait", "report", "loop_lag", "plan", "write")


class Metrics:
    """One histogram for each of `METRIC_NAMES`."""

    def __init__(self) -> None:
        """Start with empty histograms."""
        self._histograms = {name: HdrHistogram(1, MAX_RECORDED_MS, 2) for name in METRIC_NAMES}
        self._counts = dict.fromkeys(METRIC_NAMES, 0)
        self._sums = dict.fromkeys(METRIC_NAMES, 0.0)

    def record(self, name: str, seconds: float, count: int = 1) -> None:
        """Record `count` durations of the same length.

        Events that occur hundreds of times a second are recorded in batches, since recording one
        takes as long as the event itself.
        """
        self._counts[name] += count
        self._sums[name] += seconds * count
        value = max(1, min(MAX_RECORDED_MS, int(seconds * 1000)))
        self._histograms[name].record_value(value, count)

    def take_summary(self) -> str:
        """Return the counts and sums in seconds since the last call, for the `load` log line."""
        summary = " ".join(
            f"{name}={self._counts[name]}/{self._sums[name]:.2f}s" for name in METRIC_NAMES
        )
        for name in METRIC_NAMES:
            self._counts[name] = 0
            self._sums[name] = 0.0
        return summary

    def snapshot(self) -> dict[str, Any]:
        """Return counts and percentiles in milliseconds since the start, by metric name."""
        return {name: _percentiles(histogram) for name, histogram in self._histograms.items()}


def _percentiles(histogram: Any) -> dict[str, Any]:
    values = {
        f"p{percentile:g}": histogram.get_value_at_percentile(percentile)
        for percentile in PERCENTILES
    }
    return {"count": histogram.get_total_count()} | values
