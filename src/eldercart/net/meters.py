"""Histograms for the status page and the load line, in milliseconds."""

from typing import Any

from hdrh.histogram import HdrHistogram

SHOWN = (50.0, 90.0, 99.0, 100.0)
# Placement to start, handling of a report, lateness of the loop, a planning pass, a transaction.
NAMES = ("start_wait", "report", "loop_lag", "plan", "write")


class Meters:
    """One histogram for each of `NAMES`."""

    def __init__(self) -> None:
        """All histograms are empty."""
        self._histograms = {name: HdrHistogram(1, 600_000, 2) for name in NAMES}
        self._counts = dict.fromkeys(NAMES, 0)
        self._sums = dict.fromkeys(NAMES, 0.0)

    def add(self, name: str, seconds: float) -> None:
        """Records one duration."""
        self._counts[name] += 1
        self._sums[name] += seconds
        self._histograms[name].record_value(max(1, min(600_000, int(seconds * 1000))))

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
