"""Soft reservations: capacity that counts as demand until the job that it is meant for comes.

The paper calls them soft bookings. A soft reservation reserves no machine, and any waiting task may
use the capacity meanwhile; it only makes the leader rent, or keep, that many CPUs.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from eldercart.prediction.path_statistics import Path
from eldercart.settings import Tuning
from eldercart.units import JobId, MonotonicTime

Pipeline = tuple[str, str]  # team and class
ChainId = int


class ReservationOrigin(Enum):
    """Why capacity was reserved."""

    STREAM = "stream"  # the next job of a team's class, as the stream predictor expects it
    CHAIN = "chain"  # a successor along a chain that is not submitted yet
    SUBMITTED = "submitted"  # a successor that is submitted and waits: nothing was predicted


@dataclass(slots=True)
class ReservationOutcomes:
    """How many reservations of one origin their job took, another job replaced, or nobody took in
    time."""

    hits: int = 0
    misses: int = 0
    expired: int = 0

    def __str__(self) -> str:
        """The counts as the log shows them."""
        return f"{self.hits}/{self.misses}/{self.expired}"


@dataclass(slots=True)
class SoftReservation:
    """Capacity for one expected job, of `pipeline` and most likely with `image`."""

    pipeline: Pipeline
    upstream: JobId
    image: str
    cpus: float
    spot: bool  # the job may use spot machines
    expires_at: MonotonicTime
    origin: ReservationOrigin = ReservationOrigin.STREAM
    successor: JobId | None = None  # known if the job is submitted already
    # The chains that the job is expected to continue, and the path of each. A fan-in has several.
    chains: dict[ChainId, Path] = field(default_factory=dict)


class ReservedCpus(NamedTuple):
    """CPUs that soft reservations add to the demand."""

    on_demand: float  # for jobs that need on-demand machines
    total: float


class SoftReservations:
    """All soft reservations, the limit on their number, and what became of them."""

    def __init__(self, tuning: Tuning) -> None:
        """There are no reservations at first."""
        self._tuning = tuning
        self.active: list[SoftReservation] = []
        self.outcomes = {origin: ReservationOutcomes() for origin in ReservationOrigin}

    def max_per_pipeline(self, load: float) -> int:
        """Return how many reservations a pipeline may have at that load of the machines."""
        tuning = self._tuning
        if load > tuning.load_much:
            return int(tuning.depth_full)
        return int(tuning.depth_loaded if load > tuning.load_some else tuning.depth)

    def for_pipeline(
        self, pipeline: Pipeline, origin: ReservationOrigin | None = None
    ) -> list[SoftReservation]:
        """Return the pipeline's reservations, oldest first; of all origins unless one is named."""
        return [
            reservation
            for reservation in self.active
            if reservation.pipeline == pipeline and origin in (None, reservation.origin)
        ]

    def has_capacity(self, pipeline: Pipeline, load: float) -> bool:
        """Return whether the load allows one more reservation for the pipeline."""
        return len(self.for_pipeline(pipeline)) < self.max_per_pipeline(load)

    def for_chains(self, chains: Collection[ChainId]) -> list[SoftReservation]:
        """Return those for the successor of one of these chains."""
        return [
            reservation
            for reservation in self.active
            if any(chain_id in chains for chain_id in reservation.chains)
        ]

    def add(self, reservation: SoftReservation) -> None:
        """Add a reservation."""
        self.active.append(reservation)

    def record_hit(self, reservation: SoftReservation) -> None:
        """Remove a reservation whose job has come and takes the capacity."""
        self.outcomes[reservation.origin].hits += 1
        self.active.remove(reservation)

    def record_miss(self, reservation: SoftReservation) -> None:
        """Remove a reservation in whose place another job came, or none will."""
        self.outcomes[reservation.origin].misses += 1
        self.active.remove(reservation)

    def expire(self, now: MonotonicTime) -> None:
        """Remove the reservations that no job took in time."""
        for reservation in [one for one in self.active if one.expires_at <= now]:
            self.outcomes[reservation.origin].expired += 1
            self.active.remove(reservation)

    def reserved_cpus(self, held_cpus: Callable[[JobId], float]) -> ReservedCpus:
        """Return the CPUs reserved beyond what the upstream jobs hold (`held_cpus`), which comes
        free for their successors."""
        on_demand = total = 0.0
        for reservation in self.active:
            cpus = max(0.0, reservation.cpus - held_cpus(reservation.upstream))
            total += cpus
            if not reservation.spot:
                on_demand += cpus
        return ReservedCpus(on_demand, total)
