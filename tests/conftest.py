"""Tests that fail for a known fault; KNOWN-RED.txt lists them, one a line: `test | cause | issue`.

They are run, expected to fail by an assertion, and printed at the end. One that passes fails the
run, so that its line goes when its fault is mended; so does a line that names no test."""

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

LIST = Path(__file__).resolve().parents[1] / "KNOWN-RED.txt"
MOST = 3


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """A line of the list: the test without its parameters, why it fails, and the issue."""

    test: str
    cause: str
    issue: str

    @classmethod
    def read(cls, line: str) -> "KnownFailure":
        """Reads a line; a malformed one is an error of the run."""
        test, cause, issue = (part.strip() for part in line.split("|"))
        return cls(test, cause, issue)


def known_failures() -> list[KnownFailure]:
    """The list; no file, no known failure."""
    lines = LIST.read_text().splitlines() if LIST.exists() else []
    found = [KnownFailure.read(line) for line in lines if line.strip()]
    if len(found) > MOST:
        raise pytest.UsageError(f"{LIST.name} holds more than {MOST} tests")
    return found


def pytest_collection_modifyitems(config: pytest.Config, items: Iterable[pytest.Item]) -> None:
    """Expects the listed tests, with all their parameters, to fail."""
    known = {failure.test: failure for failure in known_failures()}
    named = set()
    files = set()
    for item in items:
        files.add(item.nodeid.partition("::")[0])
        failure = known.get(item.nodeid.partition("[")[0])
        if failure is not None:
            named.add(failure.test)
            expected = pytest.mark.xfail(reason=failure.cause, raises=AssertionError, strict=True)
            item.add_marker(expected)
    if config.getoption("keyword") or config.getoption("markexpr"):
        return
    selected = any("::" in arg for arg in config.args)
    missing = [t for t in known if t not in named and t.partition("::")[0] in files]
    if missing and not selected:
        raise pytest.UsageError(f"{LIST.name} names tests that are not there: {missing}")


def pytest_terminal_summary(terminalreporter: Any) -> None:
    """Prints the list."""
    for failure in known_failures():
        terminalreporter.write_line(
            f"known red: {failure.test}: {failure.cause} (issue {failure.issue})"
        )
