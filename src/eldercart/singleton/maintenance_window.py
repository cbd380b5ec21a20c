"""A maintenance window, apart from the calendar that finds it and from that one's libraries."""

from dataclasses import dataclass

from eldercart.units import WallTime


@dataclass(frozen=True, slots=True)
class MaintenanceWindow:
    """One window, from `opens` until before `closes`."""

    opens_at: WallTime
    closes_at: WallTime
