"""Seeded plays in which answers come late, are lost, or are those of a replaced leader.

More of them are played by hand, from the root of the repository:

    PYTHONPATH=src:target/deps:tests python3 tests/test_late_answers.py FIRST_SEED COUNT
"""

import sys
import time

import pytest

from late_answers import LateRegion

PLAY_S = 40.0
SEEDS = range(1, 21)


@pytest.mark.parametrize("seed", SEEDS)
def test_users_and_the_leader_learn_nothing_older_from_late_answers(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against every way in which a late record, outcome or reply may undo what was told or
    done: a job that runs again, a state that goes back, an accepted job that is forgotten."""
    region = LateRegion(seed, monkeypatch)
    region.play(PLAY_S)
    assert region.answer_count > 100 and region.late_count > 100


def main(first_seed: int, count: int) -> int:
    """Play `count` seeds and print the broken ones; return the exit status."""
    broken = 0
    started_at = time.monotonic()
    for seed in range(first_seed, first_seed + count):
        with pytest.MonkeyPatch.context() as monkeypatch:
            region = LateRegion(seed, monkeypatch)
            try:
                region.play(PLAY_S)
            except Exception as error:  # noqa: BLE001 - any of them breaks the play
                broken += 1
                print(f"seed {seed}: {type(error).__name__}: {str(error)[:300]}", flush=True)
    print(f"{count} plays, {broken} broken, {time.monotonic() - started_at:.0f} s")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
