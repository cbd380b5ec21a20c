"""Runs a node whose clocks lie: `falsified_node.py WALL_OFFSET_S ARGUMENTS…`.

Its steady clock stands still while the process is stopped, so that it notices no stall and goes on
believing in its leases; its time of day is off by the offset."""

import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps")]

LONGEST_S = 0.25  # between two looks at the clock, of a process that runs

WALL_OFFSET_S = float(sys.argv.pop(1))
_time = time.time
time.time = lambda: _time() + WALL_OFFSET_S

from eldercart.cli import main  # noqa: E402
from eldercart.server import controller_node  # noqa: E402
from eldercart.units import MonotonicTime  # noqa: E402


class StoppingClock:
    """Counts only the time in which the process runs."""

    def __init__(self) -> None:
        self._value = 1000.0
        self._seen = time.monotonic()

    def __call__(self) -> MonotonicTime:
        now = time.monotonic()
        passed, self._seen = now - self._seen, now
        self._value += min(passed, LONGEST_S)
        return MonotonicTime(self._value)


if __name__ == "__main__":
    controller_node.monotonic_now = StoppingClock()  # type: ignore[assignment]
    sys.exit(main())
