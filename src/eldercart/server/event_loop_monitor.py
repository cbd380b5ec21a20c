"""How late the event loop of this process is, and how much processor time it takes."""

import time

from eldercart.server.metrics import Metrics
from eldercart.units import MonotonicTime

LAG_SMOOTHING_FACTOR = 0.2  # of the last turn of the loop in the smoothed lag


class EventLoopMonitor:
    """Measures the lag of the ticks and the processor time between two reports."""

    def __init__(self, tick_interval_s: float, metrics: Metrics, now: MonotonicTime) -> None:
        """`tick_interval_s` is the time between two ticks of a loop that is not late."""
        self._tick_interval_s = tick_interval_s
        self._metrics = metrics
        self._last_tick_at = now
        self._reported_cpu_s = time.process_time()
        self.lag_s = 0.0  # by which the loop is late; recent ticks weigh more

    def record_tick(self, now: MonotonicTime) -> float:
        """Record a tick and return by how many seconds it is late."""
        late_s = max(0.0, now - self._last_tick_at - self._tick_interval_s)
        weight = LAG_SMOOTHING_FACTOR
        self.lag_s = (1.0 - weight) * self.lag_s + weight * late_s
        self._metrics.record("loop_lag", late_s)
        self._last_tick_at = now
        return late_s

    def take_cpu_s(self) -> float:
        """Return the processor seconds that the process took since the last call."""
        cpu_s = time.process_time()
        taken_s = cpu_s - self._reported_cpu_s
        self._reported_cpu_s = cpu_s
        return taken_s
