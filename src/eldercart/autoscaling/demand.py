"""Forecast of the demand for CPUs, from the current demand and a window of past samples."""

from collections import deque
from dataclasses import dataclass, field
from statistics import fmean
from typing import NamedTuple

from eldercart.units import MonotonicTime

SAMPLE_INTERVAL_S = 1.0  # between two samples of the window


class CpuTargets(NamedTuple):
    """CPUs that the cluster should have."""

    on_demand: float  # CPUs on machines that the cloud does not reclaim
    total: float  # CPUs on all machines, spot and on-demand


@dataclass(slots=True)
class DemandForecast:
    """Forecasts the demand for CPUs from the samples of a time window.

    The forecast is the mean plus some standard deviations, and at least the current demand. A
    steady stream of many jobs thus needs little more than it uses, while machines stay available
    between a few large jobs that follow each other.
    """

    deviations: float  # standard deviations that are added to the mean
    _samples: deque[tuple[MonotonicTime, float]] = field(default_factory=deque)
    expected_cpus: float = 0.0

    def update(self, cpus: float, now: MonotonicTime, window_s: float) -> None:
        """Record the current demand of `cpus`, and forecast from the last `window_s` seconds."""
        self._add_sample(cpus, now)
        while self._samples and self._samples[0][0] < now - window_s:
            self._samples.popleft()
        values = [sample for _, sample in self._samples]
        if not values:
            self.expected_cpus = cpus
            return
        mean = fmean(values)
        variance = max(0.0, fmean([value * value for value in values]) - mean * mean)
        self.expected_cpus = max(cpus, mean + self.deviations * variance**0.5)

    def _add_sample(self, cpus: float, now: MonotonicTime) -> None:
        """Add a sample, or raise the last one to `cpus` if it is more recent than an interval."""
        if self._samples and now - self._samples[-1][0] < SAMPLE_INTERVAL_S:
            last_at, last_cpus = self._samples[-1]
            self._samples[-1] = (last_at, max(cpus, last_cpus))
        else:
            self._samples.append((now, cpus))
