"""The type of a maintenance window.

It stands apart from the calendar, whose libraries are slow to import.
"""

from dataclasses import dataclass

from eldercart.units import WallTime


@dataclass(frozen=True, slots=True)
class MaintenanceWindow:
    """A span of time, from `opens_at` until before `closes_at`."""

    opens_at: WallTime
    closes_at: WallTime
