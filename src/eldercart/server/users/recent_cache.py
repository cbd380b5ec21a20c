"""Bounded memories of facts that never change."""

from collections import OrderedDict
from typing import Generic, TypeVar

from eldercart.units import JobId

Fact = TypeVar("Fact")


class RecentFacts(Generic[Fact]):
    """The facts used last, one for each job, up to a total weight."""

    def __init__(self, most: int) -> None:
        """`most` is the total weight to keep."""
        self._most = most
        self._weight = 0
        self._facts: OrderedDict[JobId, tuple[Fact, int]] = OrderedDict()

    def get(self, job: JobId) -> Fact | None:
        """The fact about the job, which thereby counts as used."""
        entry = self._facts.get(job)
        if entry is None:
            return None
        self._facts.move_to_end(job)
        return entry[0]

    def keep(self, job: JobId, fact: Fact, weight: int = 1) -> None:
        """Remembers the fact and drops those unused for longest, but never this one."""
        previous = self._facts.pop(job, None)
        if previous is not None:
            self._weight -= previous[1]
        self._facts[job] = (fact, weight)
        self._weight += weight
        while self._weight > self._most and len(self._facts) > 1:
            _, (_, dropped) = self._facts.popitem(last=False)
            self._weight -= dropped


class FinalStates:
    """How jobs ended, as far as this node has heard. An end never changes."""

    def __init__(self, most: int) -> None:
        """`most` is the number of jobs to remember."""
        self._most = most
        self._states: OrderedDict[JobId, str] = OrderedDict()

    def get(self, job: JobId) -> str | None:
        """The job's final state; None if it is not known here."""
        return self._states.get(job)

    def keep(self, job: JobId, state: str) -> None:
        """Remembers a durable end and drops the oldest beyond the bound."""
        self._states[job] = state
        while len(self._states) > self._most:
            self._states.popitem(last=False)
