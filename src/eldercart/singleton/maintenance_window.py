"""The type of a maintenance window.

It has its own module because the calendar's libraries are slow to import.
"""

from dataclasses import dataclass

from eldercart.units import WallTime


@dataclass(frozen=True, slots=True)
class MaintenanceWindow:
    """A time interval that includes `opens_at` and excludes `closes_at`."""

    opens_at: WallTime
    closes_at: WallTime
