"""Loads the optional features from a JSON file, whose schema holds the units and defaults.

This module is imported only if the node is started with a features file.
"""

from dataclasses import dataclass
from datetime import date, time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import fastjsonschema
import orjson

from eldercart.settings.platform import InvalidSettingsError, read_json
from eldercart.wire.named_leases import LeaseName

if TYPE_CHECKING:
    from zoneinfo import ZoneInfo

SCHEMA = Path(__file__).with_name("features.schema.json")
FILE_KIND = "features"


@dataclass(frozen=True, slots=True)
class WeeklyWindow:
    """A window that opens at `start`, local time, on each of the given days (0 is Monday).

    It closes at `end`; if `end` is not after `start`, it closes on the next day.
    """

    days: tuple[int, ...]
    start: time
    end: time


@dataclass(frozen=True, slots=True)
class DateWindow:
    """The window that replaces the weekly windows on one date.

    No window opens on that date if `start` and `end` are None.
    """

    date: date
    start: time | None
    end: time | None


@dataclass(frozen=True, slots=True)
class Maintenance:
    """The windows in which deferrable work, such as the cleanup of job records, is done."""

    time_zone: "ZoneInfo"
    weekly: tuple[WeeklyWindow, ...]
    exceptions: tuple[DateWindow, ...]


@dataclass(frozen=True, slots=True)
class SingletonFeatures:
    """The named leases ("duties") that a node takes part in, and their settings.

    The schema describes the fields; `enabled_leases` is its list `on`.
    """

    enabled_leases: tuple[LeaseName, ...]
    lease_s: float
    hand_over_s: float
    stay_s: float
    slow_lag_s: float
    refresh_s: float
    cleanup_backlog: int
    maintenance: Maintenance | None


@dataclass(frozen=True, slots=True)
class Features:
    """All optional features; a feature that is switched off is None."""

    duties: SingletonFeatures | None


def load_features(path: str) -> Features:
    """Load the features from a file; settings that it leaves out get their defaults."""
    return parse_features(read_json(path, FILE_KIND))


def parse_features(value: Any) -> Features:
    """Check the content of a features file and return the features.

    Raises InvalidSettingsError, which names the first invalid field.
    """
    schema = orjson.loads(SCHEMA.read_bytes())
    try:
        checked = fastjsonschema.compile(schema)(value)
    except fastjsonschema.JsonSchemaValueException as err:
        raise InvalidSettingsError(f"{FILE_KIND}: {err.message.removeprefix('data.')}") from None
    duties = checked.get("duties")
    if duties is None or not duties["on"]:
        return Features(None)
    return Features(_singleton_features(duties))


def _singleton_features(values: dict[str, Any]) -> SingletonFeatures:
    maintenance = values.get("maintenance")
    return SingletonFeatures(
        enabled_leases=tuple(LeaseName(name) for name in values["on"]),
        lease_s=float(values["lease_s"]),
        hand_over_s=float(values["hand_over_s"]),
        stay_s=float(values["stay_s"]),
        slow_lag_s=float(values["slow_lag_s"]),
        refresh_s=float(values["refresh_s"]),
        cleanup_backlog=int(values["cleanup_backlog"]),
        maintenance=None if maintenance is None else _maintenance(maintenance),
    )


DAYS = ("mo", "tu", "we", "th", "fr", "sa", "su")


def _maintenance(values: dict[str, Any]) -> Maintenance:
    # Imported only if there are windows: a node on a small share of a core starts faster without.
    from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

    try:
        zone = ZoneInfo(values["time_zone"])
    except (ZoneInfoNotFoundError, ValueError, OSError):
        raise InvalidSettingsError(
            f"{FILE_KIND}: duties.maintenance.time_zone: unknown time zone {values['time_zone']!r}"
        ) from None
    weekly = tuple(
        WeeklyWindow(
            tuple(DAYS.index(day) for day in window["days"]),
            time.fromisoformat(window["start"]),
            time.fromisoformat(window["end"]),
        )
        for window in values["weekly"]
    )
    exceptions = tuple(_date_window(index, item) for index, item in enumerate(values["exceptions"]))
    return Maintenance(zone, weekly, exceptions)


def _date_window(index: int, exception: dict[str, Any]) -> DateWindow:
    try:
        day = date.fromisoformat(exception["date"])
    except ValueError:
        raise InvalidSettingsError(
            f"{FILE_KIND}: duties.maintenance.exceptions[{index}].date: "
            f"no such date {exception['date']}"
        ) from None
    start, end = exception.get("start"), exception.get("end")
    return DateWindow(
        day,
        None if start is None else time.fromisoformat(start),
        None if end is None else time.fromisoformat(end),
    )
