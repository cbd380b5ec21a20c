"""Measurement of the event loop's lag and of the process's processor time."""

import time

from eldercart.server.metrics import Metrics
from eldercart.units import MonotonicTime

LAG_SMOOTHING_FACTOR = 0.2  # weight of the latest tick in the moving average


class EventLoopMonitor:
    """Measures how late ticks are, and the processor time between two log lines."""

    def __init__(self, tick_interval_s: float, metrics: Metrics, now: MonotonicTime) -> None:
        """Expect a tick every `tick_interval_s`, starting now."""
        self._tick_interval_s = tick_interval_s
        self._metrics = metrics
        self._last_tick_at = now
        self._reported_cpu_s = time.process_time()
        self.lag_s = 0.0  # exponential moving average of the ticks' lateness

    def record_tick(self, now: MonotonicTime) -> float:
        """Record a tick and return by how many seconds it is late."""
        late_s = max(0.0, now - self._last_tick_at - self._tick_interval_s)
        weight = LAG_SMOOTHING_FACTOR
        self.lag_s = (1.0 - weight) * self.lag_s + weight * late_s
        self._metrics.record("loop_lag", late_s)
        self._last_tick_at = now
        return late_s

    def take_cpu_s(self) -> float:
        """Return the processor time in seconds that the process used since the last call."""
        cpu_s = time.process_time()
        used_s = cpu_s - self._reported_cpu_s
        self._reported_cpu_s = cpu_s
        return used_s
