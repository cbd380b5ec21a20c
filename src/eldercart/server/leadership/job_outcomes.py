"""Interfaces through which the leadership uses the job states that this node knows."""

from collections.abc import Callable
from typing import Any, Protocol

from eldercart.units import JobId


class JobOutcomes(Protocol):
    """Durable job outcomes that this node knows."""

    def outcome_of(self, job: JobId, /) -> str | None:
        """Return the job's durable outcome, or None if this node does not know one."""


class JobStates(JobOutcomes, Protocol):
    """Job outcomes that can also be recorded, and job states read from the state service."""

    def record_outcome(self, job: JobId, outcome: str, /) -> None:
        """Record a durable outcome, which never changes."""

    def read_job_state(
        self,
        job: JobId,
        found: Callable[[str], Any],
        absent: Callable[[], Any],
        failed: Callable[[], Any],
        /,
    ) -> None:
        """Read the job's state from the state service and call one of the three callbacks."""
