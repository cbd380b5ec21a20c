"""Tests of maintenance windows, also across daylight-saving changes, and of the feature file."""

import copy
import json
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import pytest

from eldercart.cli import main
from eldercart.settings import InvalidSettingsError
from eldercart.settings.features import load_features, parse_features
from eldercart.singleton.maintenance_calendar import MaintenanceCalendar
from eldercart.singleton.maintenance_window import MaintenanceWindow
from eldercart.units import WallTime
from eldercart.wire.named_leases import LeaseName
from world import PLATFORM

ROOT = Path(__file__).resolve().parents[1]


def instant(text: str) -> WallTime:
    """Return the wall time of an ISO date and time in UTC."""
    return WallTime(datetime.fromisoformat(text).replace(tzinfo=UTC).timestamp())


def calendar(zone: str, *weekly: tuple[str, str, str], **exceptions: Any) -> MaintenanceCalendar:
    """Return a calendar of weekly windows, each given as (days, start, end)."""
    obj: dict[str, Any] = {
        "time_zone": zone,
        "weekly": [{"days": d.split(), "start": s, "end": e} for d, s, e in weekly],
        "exceptions": exceptions.get("exceptions", []),
    }
    features = parse_features({"duties": {"on": ["cleanup"], "maintenance": obj}})
    assert features.duties is not None and features.duties.maintenance is not None
    return MaintenanceCalendar(features.duties.maintenance)


ALL_DAYS = "mo tu we th fr sa su"


@pytest.mark.parametrize(
    ("name", "zone", "window", "at", "opens", "closes"),
    [
        (
            "an ordinary night",
            "Europe/Athens",
            (ALL_DAYS, "01:00", "05:00"),
            "2026-12-02T12:00",
            "2026-12-02T23:00",
            "2026-12-03T03:00",
        ),
        (
            "it is open",
            "Europe/Athens",
            (ALL_DAYS, "01:00", "05:00"),
            "2026-12-03T02:59",
            "2026-12-02T23:00",
            "2026-12-03T03:00",
        ),
        (
            "over midnight",
            "America/New_York",
            ("fr", "22:00", "02:00"),
            "2026-12-05T06:00",
            "2026-12-05T03:00",
            "2026-12-05T07:00",
        ),
        (
            "its day of the week is the local one",
            "America/New_York",
            ("mo", "20:00", "21:00"),
            "2026-12-07T12:00",
            "2026-12-08T01:00",
            "2026-12-08T02:00",
        ),
        (
            "the start does not exist: it is moved forward by the gap",
            "Europe/Berlin",
            ("su", "02:30", "05:00"),
            "2026-03-29T00:00",
            "2026-03-29T01:30",
            "2026-03-29T03:00",
        ),
        (
            "the end does not exist: it is moved forward by the gap",
            "Europe/Berlin",
            ("su", "01:00", "02:30"),
            "2026-03-29T00:30",
            "2026-03-29T00:00",
            "2026-03-29T01:30",
        ),
        (
            "the start occurs twice: the first one counts",
            "Europe/Berlin",
            ("su", "02:30", "05:00"),
            "2026-10-25T00:00",
            "2026-10-25T00:30",
            "2026-10-25T04:00",
        ),
        (
            "the end occurs twice: the second one counts",
            "Europe/Berlin",
            ("su", "01:00", "02:30"),
            "2026-10-25T01:15",
            "2026-10-24T23:00",
            "2026-10-25T01:30",
        ),
        (
            "half an hour of daylight saving",
            "Australia/Lord_Howe",
            ("su", "02:15", "03:00"),
            "2026-10-03T12:00",
            "2026-10-03T15:45",
            "2026-10-03T16:00",
        ),
        (
            "a whole day",
            "Asia/Kolkata",
            ("we", "00:00", "00:00"),
            "2026-12-02T00:00",
            "2026-12-01T18:30",
            "2026-12-02T18:30",
        ),
    ],
)
def test_windows_open_and_close_by_local_time(
    name: str, zone: str, window: tuple[str, str, str], at: str, opens: str, closes: str
) -> None:
    found = calendar(zone, window).current_or_next_window(instant(at))
    assert found == MaintenanceWindow(instant(opens), instant(closes)), name
    assert calendar(zone, window).is_open(instant(at)) is (instant(opens) <= instant(at))
    assert not calendar(zone, window).is_open(instant(closes)), "a window excludes its closing time"


def test_exceptions_close_a_date_or_give_it_another_window() -> None:
    windows = calendar(
        "Europe/Athens",
        (ALL_DAYS, "01:00", "05:00"),
        exceptions=[
            {"date": "2026-12-25"},
            {"date": "2026-12-26", "start": "12:00", "end": "13:00"},
        ],
    )
    found = windows.current_or_next_window(instant("2026-12-24T04:00"))
    assert found == MaintenanceWindow(instant("2026-12-26T10:00"), instant("2026-12-26T11:00"))
    assert not windows.is_open(instant("2026-12-24T23:30")) and windows.is_open(
        instant("2026-12-26T10:30")
    )


def test_windows_of_one_day_are_ordered_by_opening_time() -> None:
    windows = calendar("UTC", (ALL_DAYS, "20:00", "21:00"), (ALL_DAYS, "03:00", "04:00"))
    times = ["2026-12-02T01:00", "2026-12-02T05:00", "2026-12-02T20:30"]
    opens = [windows.current_or_next_window(instant(at)) for at in times]
    assert [w and w.opens_at for w in opens] == [
        instant("2026-12-02T03:00"),
        instant("2026-12-02T20:00"),
        instant("2026-12-02T20:00"),
    ]


def test_cached_window_is_dropped_when_the_clock_is_set_back() -> None:
    windows = calendar("UTC", (ALL_DAYS, "03:00", "04:00"))
    assert not windows.is_open(instant("2026-12-02T12:00"))
    assert windows.is_open(instant("2026-12-01T03:30"))


def test_search_that_finds_no_window_is_cached() -> None:
    days = [
        {
            "date": datetime.fromtimestamp(instant("2026-01-01T00:00") + n * 86400, UTC)
            .date()
            .isoformat()
        }
        for n in range(800)
    ]
    windows = calendar("UTC", (ALL_DAYS, "03:00", "04:00"), exceptions=days)
    assert windows.current_or_next_window(instant("2026-02-01T00:00")) is None
    assert not windows.is_open(instant("2026-02-01T03:30"))
    searches: list[WallTime] = []
    windows._find_window = searches.append  # type: ignore[method-assign,assignment]
    assert not windows.is_open(instant("2026-02-01T04:00")), "an empty search result is cached"
    assert searches == []
    assert not windows.is_open(instant("2026-02-01T06:00")) and len(searches) == 1


WINDOWS = {"time_zone": "UTC", "weekly": [{"days": ["mo"], "start": "01:00", "end": "02:00"}]}


@pytest.mark.parametrize(
    ("duties", "place"),
    [
        ({"on": ["cooking"]}, "duties.on[0]"),
        ({"on": ["rental", "rental"]}, "duties.on"),
        ({"on": ["rental"], "lease_s": 0.1}, "duties.lease_s"),
        ({"on": ["rental"], "lease_s": "6"}, "duties.lease_s"),
        ({"on": ["rental"], "leases": 6}, "duties"),
        ({"on": ["rental"], "cleanup_backlog": 0}, "duties.cleanup_backlog"),
        ({"maintenance": {"time_zone": "UTC"}}, "duties.maintenance"),
        ({"maintenance": WINDOWS | {"weekly": []}}, "duties.maintenance.weekly"),
        (
            {"maintenance": WINDOWS | {"weekly": [WINDOWS["weekly"][0] | {"start": "24:00"}]}},  # type: ignore[index,operator]
            "duties.maintenance.weekly[0].start",
        ),
        (
            {"on": ["rental"], "maintenance": WINDOWS | {"time_zone": "Europe/Atlantis"}},
            "duties.maintenance.time_zone",
        ),
        (
            {"on": ["rental"], "maintenance": WINDOWS | {"exceptions": [{"date": "2026-02-30"}]}},
            "duties.maintenance.exceptions[0].date",
        ),
        (
            {
                "on": ["rental"],
                "maintenance": WINDOWS | {"exceptions": [{"date": "2026-02-20", "start": "01:00"}]},
            },
            "duties.maintenance.exceptions[0]",
        ),
    ],
)
def test_invalid_features_are_rejected_with_the_name_of_the_field(
    duties: dict[str, Any], place: str
) -> None:
    with pytest.raises(InvalidSettingsError) as err:
        parse_features({"duties": duties})
    assert str(err.value).startswith(f"features: {place} ") or f" {place}:" in str(err.value)


@pytest.mark.parametrize("value", [{}, {"duties": {}}, {"duties": {"on": []}}])
def test_duties_are_off_unless_a_lease_is_enabled(value: dict[str, Any]) -> None:
    assert parse_features(copy.deepcopy(value)).duties is None


def test_deployed_feature_file_is_valid() -> None:
    duties = load_features(str(ROOT / "deploy" / "features.json")).duties
    assert duties is not None and set(duties.enabled_leases) <= set(LeaseName)


def test_check_settings_lists_the_features(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    config, features = tmp_path / "node.json", tmp_path / "features.json"
    config.write_text(json.dumps(PLATFORM))
    features.write_text('{"duties": {"on": ["rental", "catalog"]}}')
    check = ["check-settings", "--config", str(config), "--features"]
    assert main([*check, str(features)]) == 0
    assert "features: duties rental catalog" in capsys.readouterr().out
    features.write_text('{"duties": {"on": 7}}')
    assert main([*check, str(features)]) == 2
    assert "features: duties.on must be array" in capsys.readouterr().err
    assert main([*check, str(tmp_path / "absent.json")]) == 2
    assert len(capsys.readouterr().err.splitlines()) == 1
