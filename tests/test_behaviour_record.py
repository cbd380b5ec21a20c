"""Everything that goes out is, byte for byte, what the stored record says; see
`behaviour_record`. A change that is meant to alter behaviour writes the record anew, with a look
at the difference; one that is not, like a renaming, leaves it as it is."""

import pytest

from behaviour_record import (
    COMMANDS,
    RECORD_FILE,
    SCENARIOS,
    first_difference,
    record_text,
    replay,
    stored,
)


@pytest.mark.parametrize("name", SCENARIOS)
def test_behaviour_is_as_recorded(name: str) -> None:
    difference = first_difference(stored()[name], replay(name))
    assert difference is None, f"{name} parts from the record {difference}"


def test_record_is_of_these_scenarios_and_small() -> None:
    assert list(stored()) == list(SCENARIOS)
    assert RECORD_FILE.read_text() == record_text(stored())
    assert RECORD_FILE.stat().st_size < 300_000


def test_first_difference_names_the_second() -> None:
    old = {"events": 5, "kinds": {COMMANDS: 5}, "seconds": [[100, 2, "a"], [101, 5, "b"]]}
    assert first_difference(old, old) is None
    changed = old | {"seconds": [[100, 2, "a"], [101, 5, "c"]]}
    assert "second 101" in (first_difference(old, changed) or "")
    longer = old | {"events": 6, "seconds": [*old["seconds"], [102, 6, "d"]]}  # type: ignore[misc]
    assert "after second 101" in (first_difference(old, longer) or "")
