"""Bounded memories of facts that never change."""

from collections import OrderedDict
from typing import Generic, TypeVar

from eldercart.units import JobId

Value = TypeVar("Value")


class RecentCache(Generic[Value]):
    """The facts used last, one for each job, up to a total weight."""

    def __init__(self, max_weight: int) -> None:
        """`most` is the total weight to keep."""
        self._max_weight = max_weight
        self._weight = 0
        self._entries: OrderedDict[JobId, tuple[Value, int]] = OrderedDict()

    def get(self, job: JobId) -> Value | None:
        """The fact about the job, which thereby counts as used."""
        entry = self._entries.get(job)
        if entry is None:
            return None
        self._entries.move_to_end(job)
        return entry[0]

    def put(self, job: JobId, value: Value, weight: int = 1) -> None:
        """Remembers the fact and drops those unused for longest, but never this one."""
        previous = self._entries.pop(job, None)
        if previous is not None:
            self._weight -= previous[1]
        self._entries[job] = (value, weight)
        self._weight += weight
        while self._weight > self._max_weight and len(self._entries) > 1:
            _, (_, dropped) = self._entries.popitem(last=False)
            self._weight -= dropped


class JobOutcomeCache:
    """How jobs ended, as far as this node has heard. An end never changes."""

    def __init__(self, max_entries: int) -> None:
        """`most` is the number of jobs to remember."""
        self._max_entries = max_entries
        self._outcomes: OrderedDict[JobId, str] = OrderedDict()

    def get(self, job: JobId) -> str | None:
        """The job's final state; None if it is not known here."""
        return self._outcomes.get(job)

    def put(self, job: JobId, outcome: str) -> None:
        """Remembers a durable end and drops the oldest beyond the bound."""
        self._outcomes[job] = outcome
        while len(self._outcomes) > self._max_entries:
            self._outcomes.popitem(last=False)
