"""Calendar of weekly maintenance windows in the operator's time zone, with exceptions by date.

A window is open from its start to its end in local time. A start or end that daylight saving skips
is moved forward by the length of the gap. If the start occurs twice, the window opens at the first
occurrence; if the end occurs twice, it closes at the second. A window decides only when work is
done, not which node does it, so a node with a wrong clock merely works at another time.
"""

from collections.abc import Iterator
from datetime import UTC, date, datetime, time, timedelta

from dateutil.rrule import WEEKLY, rrule
from dateutil.tz import resolve_imaginary

from eldercart.settings.features import Maintenance, WeeklyWindow
from eldercart.singleton.maintenance_window import MaintenanceWindow
from eldercart.units import WallTime

ONE_DAY = timedelta(days=1)
NO_WINDOW_CACHE_S = 3600.0  # how long the result "no window within a year" is cached
SEARCH_DAYS = 400  # range of the search for the next window: more than a year


class MaintenanceCalendar:
    """Finds the current or next maintenance window, and caches it."""

    def __init__(self, maintenance: Maintenance) -> None:
        """Create a calendar for the operator's settings. It searches for a window on demand."""
        self._zone = maintenance.time_zone
        self._weekly = maintenance.weekly
        self._exceptions = {item.date: item for item in maintenance.exceptions}
        self._cached_window: MaintenanceWindow | None = None
        self._cached_at: WallTime | None = None

    def is_open(self, at: WallTime) -> bool:
        """Return whether a window is open at `at`."""
        window = self.current_or_next_window(at)
        return window is not None and window.opens_at <= at

    def current_or_next_window(self, at: WallTime) -> MaintenanceWindow | None:
        """Return the window that is open at `at`, or else the next one, or None if no window opens
        within a year."""
        if not self._is_cache_valid(at):
            self._cached_window = self._find_window(at)
            self._cached_at = at
        return self._cached_window

    def _is_cache_valid(self, at: WallTime) -> bool:
        if self._cached_at is None or at < self._cached_at:
            return False  # the clock was set back, so an earlier window may be the next one
        if self._cached_window is None:
            return at - self._cached_at < NO_WINDOW_CACHE_S
        return at < self._cached_window.closes_at

    def _find_window(self, at: WallTime) -> MaintenanceWindow | None:
        today = datetime.fromtimestamp(at, self._zone).date()
        for window in self._windows_from(today - ONE_DAY):  # yesterday's window may close today
            if at < window.closes_at:
                return window
        return None

    def _windows_from(self, first_day: date) -> Iterator[MaintenanceWindow]:
        """Yield the windows that open on `first_day` or later, in the order of their opening."""
        opening_days = [self._opening_days(window, first_day) for window in self._weekly]
        for number in range(SEARCH_DAYS):
            day = first_day + number * ONE_DAY
            exception = self._exceptions.get(day)
            if exception is not None:
                if exception.start is not None and exception.end is not None:
                    yield self._window_on(day, exception.start, exception.end)
                continue
            spans = [
                (window.start, window.end)
                for window, days in zip(self._weekly, opening_days, strict=True)
                if day in days
            ]
            yield from sorted(
                (self._window_on(day, start, end) for start, end in spans),
                key=lambda window: window.opens_at,
            )

    def _opening_days(self, window: WeeklyWindow, first_day: date) -> set[date]:
        """Return the days from `first_day` on which the weekly window opens."""
        rule = rrule(
            WEEKLY,
            byweekday=window.days,
            dtstart=datetime.combine(first_day, window.start),
            until=datetime.combine(first_day + SEARCH_DAYS * ONE_DAY, window.start),
        )
        return {start.date() for start in rule}

    def _window_on(self, day: date, start: time, end: time) -> MaintenanceWindow:
        closing_day = day if end > start else day + ONE_DAY
        return MaintenanceWindow(
            self._wall_time_of(day, start, fold=0), self._wall_time_of(closing_day, end, fold=1)
        )

    def _wall_time_of(self, day: date, at: time, fold: int) -> WallTime:
        """Return when the local clock shows that time: the first (`fold` 0) or second (`fold` 1)
        occurrence."""
        local = datetime.combine(day, at, self._zone).replace(fold=fold)
        return WallTime(resolve_imaginary(local).astimezone(UTC).timestamp())
