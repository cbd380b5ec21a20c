"""Runs a node with faulty clocks: `faulty_clock_node.py WALL_OFFSET_S ARGUMENTS…`.

Its monotonic clock does not advance while the process is stopped, so that the node detects no stall
and still trusts its leases. Its wall clock is off by the offset.
"""

import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps")]

MAX_STEP_S = 0.25  # a longer time between two reads of the clock means that the process was stopped

WALL_OFFSET_S = float(sys.argv.pop(1))
_real_time = time.time
time.time = lambda: _real_time() + WALL_OFFSET_S

from eldercart.cli import main  # noqa: E402
from eldercart.server import controller_node  # noqa: E402
from eldercart.units import MonotonicTime  # noqa: E402


class StoppingClock:
    """A monotonic clock that advances only while the process runs."""

    def __init__(self) -> None:
        self._value = 1000.0
        self._last_read_at = time.monotonic()

    def __call__(self) -> MonotonicTime:
        now = time.monotonic()
        elapsed, self._last_read_at = now - self._last_read_at, now
        self._value += min(elapsed, MAX_STEP_S)
        return MonotonicTime(self._value)


if __name__ == "__main__":
    controller_node.monotonic_now = StoppingClock()  # type: ignore[assignment]
    sys.exit(main())
