"""Guards against unintended changes of behaviour: all output must equal the stored record.

`behaviour_record` says how the output is recorded. A change that is meant to alter behaviour
replaces the stored record after a review of the difference; any other change, such as a rename,
leaves the record as it is.
"""

import pytest

from behaviour_record import (
    COMMANDS,
    RECORD_FILE,
    SCENARIOS,
    first_difference,
    load_stored_record,
    record_text,
    replay,
)


@pytest.mark.parametrize("name", SCENARIOS)
def test_behaviour_is_as_recorded(name: str) -> None:
    difference = first_difference(load_stored_record()[name], replay(name))
    assert difference is None, f"{name} diverges from the record {difference}"


def test_stored_record_covers_all_scenarios_and_stays_small() -> None:
    assert list(load_stored_record()) == list(SCENARIOS)
    assert RECORD_FILE.read_text() == record_text(load_stored_record())
    assert RECORD_FILE.stat().st_size < 300_000


def test_first_difference_gives_the_simulated_second() -> None:
    old = {"events": 5, "kinds": {COMMANDS: 5}, "seconds": [[100, 2, "a"], [101, 5, "b"]]}
    assert first_difference(old, old) is None
    changed = old | {"seconds": [[100, 2, "a"], [101, 5, "c"]]}
    assert "second 101" in (first_difference(old, changed) or "")
    longer = old | {"events": 6, "seconds": [*old["seconds"], [102, 6, "d"]]}  # type: ignore[misc]
    assert "after second 101" in (first_difference(old, longer) or "")
