"""Marks the tests that fail because of a known fault as expected failures.

KNOWN-RED.txt lists these tests, one per line: `test | cause | issue`. They run, are expected to
fail with an AssertionError, and are printed at the end. A listed test that passes fails the run, so
that its line is removed when its fault is fixed; a line that names no test fails the run too.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

KNOWN_FAILURES_FILE = Path(__file__).resolve().parents[1] / "KNOWN-RED.txt"
MAX_KNOWN_FAILURES = 3


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """A line of KNOWN-RED.txt: the test's id without parameters, why it fails, and the issue."""

    test: str
    cause: str
    issue: str

    @classmethod
    def read(cls, line: str) -> "KnownFailure":
        """Parse a line; raise ValueError if it is malformed, which fails the run."""
        test, cause, issue = (part.strip() for part in line.split("|"))
        return cls(test, cause, issue)


def known_failures() -> list[KnownFailure]:
    """Return the entries of KNOWN-RED.txt; none if there is no such file."""
    lines = KNOWN_FAILURES_FILE.read_text().splitlines() if KNOWN_FAILURES_FILE.exists() else []
    failures = [KnownFailure.read(line) for line in lines if line.strip()]
    if len(failures) > MAX_KNOWN_FAILURES:
        raise pytest.UsageError(
            f"{KNOWN_FAILURES_FILE.name} lists more than {MAX_KNOWN_FAILURES} tests"
        )
    return failures


def pytest_collection_modifyitems(config: pytest.Config, items: Iterable[pytest.Item]) -> None:
    """Mark the listed tests, with all their parameters, as expected to fail."""
    known = {failure.test: failure for failure in known_failures()}
    listed = set()
    collected_files = set()
    for item in items:
        collected_files.add(item.nodeid.partition("::")[0])
        failure = known.get(item.nodeid.partition("[")[0])
        if failure is not None:
            listed.add(failure.test)
            expected = pytest.mark.xfail(reason=failure.cause, raises=AssertionError, strict=True)
            item.add_marker(expected)
    if config.getoption("keyword") or config.getoption("markexpr"):
        return
    selected = any("::" in arg for arg in config.args)
    missing = [t for t in known if t not in listed and t.partition("::")[0] in collected_files]
    if missing and not selected:
        raise pytest.UsageError(
            f"{KNOWN_FAILURES_FILE.name} names tests that do not exist: {missing}"
        )


def pytest_terminal_summary(terminalreporter: Any) -> None:
    """Print the known failures below the results."""
    for failure in known_failures():
        terminalreporter.write_line(
            f"known red: {failure.test}: {failure.cause} (issue {failure.issue})"
        )
