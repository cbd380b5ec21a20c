"""Counted outcomes and successors of paths: the sequence table of the paper (V-A).

A path is what the last jobs before a point had in common with others of their kind. Only what has
really happened is counted (V-E).
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from eldercart.settings import Tuning
from eldercart.wire.users import CANCELLED, DONE

Path = tuple[str, ...]
Successors = TypeVar("Successors")


@dataclass(slots=True)
class PathStatistics(Generic[Successors]):
    """What was counted for one path."""

    outcome_counts: dict[str, int] = field(default_factory=dict)
    successors: dict[str, Successors] = field(default_factory=dict)  # by outcome

    @property
    def job_count(self) -> int:
        """How many jobs were counted; at least one."""
        return sum(self.outcome_counts.values())

    def success_ratio(self) -> float:
        """Return the share of the jobs that ended done."""
        return self.outcome_counts.get(DONE, 0) / self.job_count

    def expected_successors(self, tuning: Tuning) -> Successors | None:
        """Return the successors of the outcome to expect; None between the two thresholds, or if
        that outcome has none."""
        ratio = self.success_ratio()
        if ratio >= tuning.predict_high:
            return self.successors.get(DONE)
        if ratio <= tuning.predict_low:
            return self.successors.get(CANCELLED)
        return None


class PathTable(Generic[Successors]):
    """The statistics of a bounded number of paths."""

    def __init__(self, max_paths: int, new_successors: Callable[[], Successors]) -> None:
        """Beyond `max_paths`, the path that was counted longest ago is forgotten."""
        self.by_path: dict[Path, PathStatistics[Successors]] = {}
        self._max_paths = max_paths
        self._new_successors = new_successors

    def get(self, path: Path) -> PathStatistics[Successors] | None:
        """Return what was counted for exactly this path."""
        return self.by_path.get(path)

    def count(self, path: Path, outcome: str) -> Successors:
        """Count one more job with this path; return the successors of its outcome, for the caller
        to count its successor there."""
        statistics = self.by_path.pop(path, None) or PathStatistics()
        self.by_path[path] = statistics  # now the last one to be forgotten
        if len(self.by_path) > self._max_paths:
            del self.by_path[next(iter(self.by_path))]
        statistics.outcome_counts[outcome] = statistics.outcome_counts.get(outcome, 0) + 1
        successors = statistics.successors.get(outcome)
        if successors is None:
            successors = statistics.successors[outcome] = self._new_successors()
        return successors
