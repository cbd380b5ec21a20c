"""Soft bookings: room that counts as demand until the job that it is meant for comes.

A booking reserves no machine. Any waiting task may use the room meanwhile; the booking only makes
the leader rent, or keep, that many CPUs.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from enum import Enum

from eldercart.settings import Tuning
from eldercart.units import JobId, MonotonicTime

Path = tuple[str, ...]
Pipeline = tuple[str, str]  # team and class
ChainId = int


class ReservationOrigin(Enum):
    """Why room was booked."""

    STREAM = "stream"  # the next job of a team's class, as the stream predictor expects it
    CHAIN = "chain"  # a successor along a chain that is not submitted yet
    SUBMITTED = "submitted"  # a successor that is submitted and waits: nothing was predicted


@dataclass(slots=True)
class ReservationOutcomes:
    """What became of the bookings of one origin."""

    hits: int = 0
    misses: int = 0
    expired: int = 0

    def __str__(self) -> str:
        """As the log shows it."""
        return f"{self.hits}/{self.misses}/{self.expired}"


@dataclass(slots=True)
class SoftReservation:
    """Room for one expected job, of `pipeline` and most likely with `image`."""

    pipeline: Pipeline
    upstream: JobId
    image: str
    cpus: float
    spot: bool
    expires_at: MonotonicTime
    origin: ReservationOrigin = ReservationOrigin.STREAM
    successor: JobId | None = None  # known if the job is submitted already
    # The chains that the job is expected to continue, and the path of each. A fan-in has several.
    chains: dict[ChainId, Path] = field(default_factory=dict)


class SoftReservations:
    """Owns the bookings, the cap on their number, and the tallies."""

    def __init__(self, tuning: Tuning) -> None:
        """Starts without bookings."""
        self._tuning = tuning
        self.active: list[SoftReservation] = []
        self.outcomes = {origin: ReservationOutcomes() for origin in ReservationOrigin}

    def max_per_pipeline(self, booked_share: float) -> int:
        """How many bookings a pipeline may have at that load of the fleet."""
        tuning = self._tuning
        if booked_share > tuning.load_much:
            return int(tuning.depth_full)
        return int(tuning.depth_loaded if booked_share > tuning.load_some else tuning.depth)

    def for_pipeline(
        self, pipeline: Pipeline, origin: ReservationOrigin | None = None
    ) -> list[SoftReservation]:
        """The pipeline's bookings, oldest first; of all origins unless one is named."""
        return [
            booking
            for booking in self.active
            if booking.pipeline == pipeline and origin in (None, booking.origin)
        ]

    def has_capacity(self, pipeline: Pipeline, load: float) -> bool:
        """Whether the load allows one more booking of the pipeline."""
        return len(self.for_pipeline(pipeline)) < self.max_per_pipeline(load)

    def for_chains(self, chains: Collection[ChainId]) -> list[SoftReservation]:
        """Those for the successor of one of these chains."""
        return [
            booking for booking in self.active if any(number in chains for number in booking.chains)
        ]

    def add(self, booking: SoftReservation) -> None:
        """Books."""
        self.active.append(booking)

    def record_hit(self, booking: SoftReservation) -> None:
        """The expected job has come and takes its room."""
        self.outcomes[booking.origin].hits += 1
        self.active.remove(booking)

    def record_miss(self, booking: SoftReservation) -> None:
        """Another job came, or none will: the room is returned."""
        self.outcomes[booking.origin].misses += 1
        self.active.remove(booking)

    def expire(self, now: MonotonicTime) -> None:
        """Returns the room that no job took in time."""
        for booking in [b for b in self.active if b.expires_at <= now]:
            self.outcomes[booking.origin].expired += 1
            self.active.remove(booking)

    def reserved_cpus(self, held: Callable[[JobId], float]) -> tuple[float, float]:
        """CPUs booked: for jobs that need ordinary machines, and in all. What the upstream still
        holds comes free for its successor, so only the rest is needed beside it."""
        ordinary = everything = 0.0
        for booking in self.active:
            cpus = max(0.0, booking.cpus - held(booking.upstream))
            everything += cpus
            if not booking.spot:
                ordinary += cpus
        return ordinary, everything
