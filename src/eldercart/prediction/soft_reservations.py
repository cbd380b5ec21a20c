"""Soft reservations: capacity that counts as demand until the expected job claims it.

A soft reservation isn't bound to a machine, and any waiting task may use the capacity meanwhile. It
only makes the leader rent, or keep, that many CPUs. The SpecFaaS paper ("SpecFaaS: Accelerating
Serverless Applications with Speculative Function Execution") calls them soft bookings.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from eldercart.prediction.path_statistics import Path
from eldercart.settings import Tuning
from eldercart.units import JobId, MonotonicTime

Pipeline = tuple[str, str]  # team and class
ChainId = int  # identifies a set of jobs that are connected by dependencies


class ReservationOrigin(Enum):
    """The reason for a reservation."""

    STREAM = "stream"  # the stream predictor expects the next job of a team and class
    CHAIN = "chain"  # the chain predictor expects a successor that is not submitted yet
    SUBMITTED = "submitted"  # a submitted successor waits for its dependencies; not a prediction


@dataclass(slots=True)
class ReservationOutcomes:
    """Numbers of the reservations of one origin that were removed, by the cause of removal."""

    hits: int = 0  # the expected job claimed the reservation
    misses: int = 0  # another job arrived instead, or the expected job can't arrive any more
    expired: int = 0  # no job claimed the reservation in time

    def __str__(self) -> str:
        """Return the counts in the form of the log: hits, misses, expired."""
        return f"{self.hits}/{self.misses}/{self.expired}"


@dataclass(slots=True)
class SoftReservation:
    """Capacity for one expected job of a pipeline; `image` is the job's most likely image."""

    pipeline: Pipeline
    upstream: JobId  # the job that the expected job follows
    image: str
    cpus: float
    spot: bool  # whether the job may use spot machines
    expires_at: MonotonicTime
    origin: ReservationOrigin = ReservationOrigin.STREAM
    successor: JobId | None = None  # the expected job, if it is submitted already
    # The chains that the job is expected to continue, each with the path that its jobs form so
    # far. A job that depends on several chains (fan-in) has several entries.
    chains: dict[ChainId, Path] = field(default_factory=dict)


class ReservedCpus(NamedTuple):
    """CPUs that soft reservations add to the demand."""

    on_demand: float  # for jobs that need on-demand machines
    total: float


class SoftReservations:
    """Owns all soft reservations, limits their number, and counts their outcomes."""

    def __init__(self, tuning: Tuning) -> None:
        """Create the collection without reservations."""
        self._tuning = tuning
        self.active: list[SoftReservation] = []
        self.outcomes = {origin: ReservationOutcomes() for origin in ReservationOrigin}

    def max_per_pipeline(self, load: float) -> int:
        """Return how many reservations a pipeline may have at this load.

        `load` is the share of the machines' CPUs that is placed or reserved.
        """
        tuning = self._tuning
        if load > tuning.load_much:
            return int(tuning.depth_full)
        return int(tuning.depth_loaded if load > tuning.load_some else tuning.depth)

    def for_pipeline(
        self, pipeline: Pipeline, origin: ReservationOrigin | None = None
    ) -> list[SoftReservation]:
        """Return the pipeline's reservations, oldest first; all of them if `origin` is None."""
        return [
            reservation
            for reservation in self.active
            if reservation.pipeline == pipeline and origin in (None, reservation.origin)
        ]

    def is_below_limit(self, pipeline: Pipeline, load: float) -> bool:
        """Return whether the pipeline may have one more reservation at this load."""
        return len(self.for_pipeline(pipeline)) < self.max_per_pipeline(load)

    def for_chains(self, chains: Collection[ChainId]) -> list[SoftReservation]:
        """Return the reservations for jobs that are expected to continue one of these chains."""
        return [
            reservation
            for reservation in self.active
            if any(chain_id in chains for chain_id in reservation.chains)
        ]

    def add(self, reservation: SoftReservation) -> None:
        """Add a reservation."""
        self.active.append(reservation)

    def record_hit(self, reservation: SoftReservation) -> None:
        """Remove a reservation that the expected job has claimed."""
        self.outcomes[reservation.origin].hits += 1
        self.active.remove(reservation)

    def record_miss(self, reservation: SoftReservation) -> None:
        """Remove a reservation: another job arrived, or the expected one can't any more."""
        self.outcomes[reservation.origin].misses += 1
        self.active.remove(reservation)

    def expire(self, now: MonotonicTime) -> None:
        """Remove the reservations that no job claimed in time."""
        for reservation in [entry for entry in self.active if entry.expires_at <= now]:
            self.outcomes[reservation.origin].expired += 1
            self.active.remove(reservation)

    def reserved_cpus(self, held_cpus: Callable[[JobId], float]) -> ReservedCpus:
        """Return the reserved CPUs in excess of those that the upstream jobs hold.

        The CPUs that an upstream job holds (`held_cpus`) become free for its successor.
        """
        on_demand = total = 0.0
        for reservation in self.active:
            cpus = max(0.0, reservation.cpus - held_cpus(reservation.upstream))
            total += cpus
            if not reservation.spot:
                on_demand += cpus
        return ReservedCpus(on_demand, total)
