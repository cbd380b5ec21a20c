"""Histograms for the status page, in milliseconds."""

from typing import Any

from hdrh.histogram import HdrHistogram

SHOWN = (50.0, 90.0, 99.0, 100.0)


class Meters:
    def __init__(self) -> None:
        self._histograms = {
            name: HdrHistogram(1, 600_000, 2) for name in ("start_wait", "report", "loop_lag")
        }

    def add(self, name: str, seconds: float) -> None:
        self._histograms[name].record_value(max(1, min(600_000, int(seconds * 1000))))

    def page(self) -> dict[str, Any]:
        return {
            name: {"count": h.get_total_count()}
            | {f"p{p:g}": h.get_value_at_percentile(p) for p in SHOWN}
            for name, h in self._histograms.items()
        }
