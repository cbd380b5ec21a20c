"""The demand for CPUs, measured now and expected from a window of the past."""

from collections import deque
from dataclasses import dataclass, field
from statistics import fmean
from typing import NamedTuple

from eldercart.units import MonotonicTime

SAMPLE_INTERVAL_S = 1.0  # between two samples of the window


class CpuTargets(NamedTuple):
    """CPUs to have."""

    on_demand: float  # of machines that the cloud does not reclaim
    total: float  # of all machines


@dataclass(slots=True)
class DemandForecast:
    """CPUs asked for, and what the window makes likely to be asked for again.

    That is the mean and some of the spread, so that a steady stream of many jobs needs little
    beyond what it uses, and a few large ones that follow each other find the machines standing.
    """

    deviations: float  # standard deviations kept ready above the mean
    _samples: deque[tuple[MonotonicTime, float]] = field(default_factory=deque)
    expected_cpus: float = 0.0

    def update(self, cpus: float, now: MonotonicTime, window_s: float) -> None:
        """Record that so many CPUs are asked for now, and forecast from the last `window_s`
        seconds."""
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
        """Add a sample, or raise the last one if it is recent."""
        if self._samples and now - self._samples[-1][0] < SAMPLE_INTERVAL_S:
            last_at, last_cpus = self._samples[-1]
            self._samples[-1] = (last_at, max(cpus, last_cpus))
        else:
            self._samples.append((now, cpus))
