"""Counts of the outcomes and successors of paths.

This is the sequence table of the SpecFaaS paper, section V-A ("SpecFaaS: Accelerating Serverless
Applications with Speculative Function Execution"). A path is the sequence of labels (images or
stages) of the last jobs up to a point, the latest job last. Only events that have really happened
are counted, as in section V-E of the paper.
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
    """Counts of the outcomes and successors of one path."""

    outcome_counts: dict[str, int] = field(default_factory=dict)
    successors: dict[str, Successors] = field(default_factory=dict)  # by outcome

    @property
    def job_count(self) -> int:
        """Number of jobs counted, at least one."""
        return sum(self.outcome_counts.values())

    def success_ratio(self) -> float:
        """Return the fraction of the jobs that ended with the outcome "done"."""
        return self.outcome_counts.get(DONE, 0) / self.job_count

    def expected_successors(self, tuning: Tuning) -> Successors | None:
        """Return the successors of the expected outcome.

        Return None if the success ratio is between the two thresholds, or if the expected outcome
        has no successors.
        """
        ratio = self.success_ratio()
        if ratio >= tuning.predict_high:
            return self.successors.get(DONE)
        if ratio <= tuning.predict_low:
            return self.successors.get(CANCELLED)
        return None


class PathTable(Generic[Successors]):
    """Statistics of a bounded number of paths."""

    def __init__(self, max_paths: int, new_successors: Callable[[], Successors]) -> None:
        """Create an empty table that evicts the least recently counted path above `max_paths`."""
        self.by_path: dict[Path, PathStatistics[Successors]] = {}
        self._max_paths = max_paths
        self._new_successors = new_successors

    def get(self, path: Path) -> PathStatistics[Successors] | None:
        """Return the statistics of exactly this path, if there are any."""
        return self.by_path.get(path)

    def count(self, path: Path, outcome: str) -> Successors:
        """Count one more job with this path and outcome.

        Return the successors of this outcome: the caller adds the job's successor to them.
        """
        statistics = self.by_path.pop(path, None) or PathStatistics()
        self.by_path[path] = statistics  # the last entry is the last one to be evicted
        if len(self.by_path) > self._max_paths:
            del self.by_path[next(iter(self.by_path))]
        statistics.outcome_counts[outcome] = statistics.outcome_counts.get(outcome, 0) + 1
        successors = statistics.successors.get(outcome)
        if successors is None:
            successors = statistics.successors[outcome] = self._new_successors()
        return successors
