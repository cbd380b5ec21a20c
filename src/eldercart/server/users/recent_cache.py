"""Bounded caches of facts about jobs that never change once they are true."""

from collections import OrderedDict
from typing import Generic, TypeVar

from eldercart.units import JobId

Value = TypeVar("Value")


class RecentCache(Generic[Value]):
    """A least-recently-used cache with one value for each job, bounded by total weight."""

    def __init__(self, max_weight: int) -> None:
        """Create an empty cache. `max_weight` bounds the sum of the weights of all values."""
        self._max_weight = max_weight
        self._weight = 0
        self._entries: OrderedDict[JobId, tuple[Value, int]] = OrderedDict()

    def get(self, job: JobId) -> Value | None:
        """Return the job's value and mark it as recently used; None if it is not cached."""
        entry = self._entries.get(job)
        if entry is None:
            return None
        self._entries.move_to_end(job)
        return entry[0]

    def put(self, job: JobId, value: Value, weight: int = 1) -> None:
        """Add the value and evict the least recently used others while the cache is too large."""
        previous = self._entries.pop(job, None)
        if previous is not None:
            self._weight -= previous[1]
        self._entries[job] = (value, weight)
        self._weight += weight
        while self._weight > self._max_weight and len(self._entries) > 1:
            _, (_, evicted_weight) = self._entries.popitem(last=False)
            self._weight -= evicted_weight


class JobOutcomeCache:
    """The durable outcomes of jobs that are known to this node; the oldest is evicted first.

    The outcome of a job never changes, so an entry is never out of date.
    """

    def __init__(self, max_entries: int) -> None:
        """Create an empty cache. `max_entries` is the maximum number of jobs."""
        self._max_entries = max_entries
        self._outcomes: OrderedDict[JobId, str] = OrderedDict()

    def get(self, job: JobId) -> str | None:
        """Return the job's outcome; None if it is not cached."""
        return self._outcomes.get(job)

    def put(self, job: JobId, outcome: str) -> None:
        """Add a durable outcome and evict the oldest ones if there are too many."""
        self._outcomes[job] = outcome
        while len(self._outcomes) > self._max_entries:
            self._outcomes.popitem(last=False)
