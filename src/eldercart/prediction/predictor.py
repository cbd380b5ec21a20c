"""What will be needed soon: predicted jobs, their bookings, and how long jobs really run.

After the paper's sequence table (V-A): a pipeline is the stream of one team's jobs of one class,
its nodes are images, and a branch is whether the upstream job is done or aborted. There is one
sub-entry per path of recent images, with counted outcomes and, per outcome, counted successors.
Jobs that await others are predicted along their chain instead, see `chain_prediction`. Nothing runs
early: a booking only holds room, softly.
"""

import logging
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from eldercart.jobs.registry import Job
from eldercart.prediction.chain_predictor import ChainPredictor, Prediction
from eldercart.prediction.soft_reservations import (
    Booking,
    BookingBook,
    Origin,
    Path,
    Pipeline,
    Tally,
)
from eldercart.settings import Tuning
from eldercart.units import JobId, Steady
from eldercart.wire.users import CANCELLED, DONE

log = logging.getLogger("eldercart.prediction")

MAX_PATHS = 512  # a pipeline; beyond, the path seen longest ago is forgotten
LONGEST = 1.4  # the longest task of a job against its mean, as seen
LAUNCH_S = 3.0
SIZE_MEMORY = 0.7  # weight of the earlier sizes in the usual size of an image's jobs
PACE_MEMORY = 0.98  # weight of the earlier run times
PACE_LEAST, PACE_MOST = 0.2, 4.0  # a ratio beyond is not believed
ENOUGH_RUNS = 3  # after which a job's own run times tell more than its class
KEEP = 64  # jobs of a pipeline whose successor may still be unknown


@dataclass(slots=True)
class SubEntry:
    """What was counted for one path of images."""

    outcomes: dict[str, int] = field(default_factory=dict)
    successors: dict[str, dict[str, int]] = field(default_factory=dict)

    def share_done(self) -> float | None:
        """The share of jobs that ended done; None without any."""
        total = sum(self.outcomes.values())
        return self.outcomes.get(DONE, 0) / total if total else None

    def likeliest(self, outcome: str) -> str | None:
        """The image that most often followed that outcome."""
        counts = self.successors.get(outcome)
        return max(counts, key=lambda image: (counts[image], image)) if counts else None


@dataclass(slots=True)
class StreamedJob:
    """One job of a stream: its path, and what is known of its end and its successor."""

    job: JobId
    path: Path
    outcome: str | None = None
    successor: str | None = None
    counted: bool = False


@dataclass(slots=True)
class Stream:
    """The independent jobs of one team's class."""

    table: dict[Path, SubEntry] = field(default_factory=dict)
    recent: deque[str] = field(default_factory=deque)
    seen: deque[StreamedJob] = field(default_factory=deque)
    cpus: dict[str, float] = field(default_factory=dict)  # image -> usual size of its jobs
    spot: bool = True


@dataclass(slots=True)
class Pace:
    """How run times compare with the owners' estimates, per class; recent ones weigh more."""

    ran: float = 0.0
    estimated: float = 0.0

    def add(self, ran: float, estimate: float) -> None:
        """One more task has run."""
        self.ran = self.ran * PACE_MEMORY + ran
        self.estimated = self.estimated * PACE_MEMORY + estimate

    def ratio(self) -> float:
        """Run time against estimate, within bounds."""
        if self.estimated < 1.0:
            return 1.0
        return min(PACE_MOST, max(PACE_LEAST, self.ran / self.estimated))


class Predictor:
    """Owns the tables of the streams, the paces, and the bookings of all origins."""

    def __init__(self, tuning: Tuning) -> None:
        """Starts without knowledge and bookings."""
        self._tuning = tuning
        self._streams: dict[Pipeline, Stream] = {}
        self._paces: dict[str, Pace] = {}
        self._book = BookingBook(tuning)
        self.chains = ChainPredictor(tuning)

    # -- run times

    def ran(self, job: Job, seconds: float) -> None:
        """A task of the job has run that long."""
        if seconds > 0 and job.spec.estimate_s > 0:
            self._paces.setdefault(job.spec.klass, Pace()).add(seconds, job.spec.estimate_s)

    def run_s(self, job: Job) -> float:
        """The run time of one of the job's tasks, as far as can be told."""
        if len(job.ran) >= ENOUGH_RUNS:
            return sum(job.ran) / len(job.ran)
        pace = self._paces.get(job.spec.klass)
        return job.spec.estimate_s * (pace.ratio() if pace else 1.0)

    def longest_s(self, job: Job) -> float:
        """How long the job's last task takes once it is launched: tasks of one job differ, and
        the job is done only with the longest; report, launch and fetch come on top."""
        longest = job.longest if len(job.ran) >= ENOUGH_RUNS else LONGEST * self.run_s(job)
        return max(longest, LONGEST * self.run_s(job)) + LAUNCH_S

    def paces(self) -> dict[str, tuple[float, float]]:
        """The sums of run times and estimates by class, to be kept for the next leader."""
        return {klass: (round(p.ran, 1), round(p.estimated, 1)) for klass, p in self._paces.items()}

    def recall_paces(self, paces: dict[str, tuple[float, float]]) -> None:
        """Takes over what the leader before had learned."""
        for klass, (ran, estimated) in paces.items():
            self._paces.setdefault(klass, Pace(ran, estimated))

    # -- the stream

    def arrived(self, job: Job, now: Steady) -> None:
        """A job is ready to start. It is the next of its stream unless it awaited others."""
        spec = job.spec
        if spec.dependencies:
            self._resolve(job)
            return
        stream = self._streams.setdefault((spec.team, spec.klass), Stream())
        if stream.seen:
            before = stream.seen[-1]
            before.successor = spec.image
            self._count(stream, before)
        self._resolve(job)
        stream.recent.append(spec.image)
        while len(stream.recent) > self._tuning.path_length:
            stream.recent.popleft()
        stream.seen.append(StreamedJob(job.id, tuple(stream.recent)))
        while len(stream.seen) > KEEP:
            stream.seen.popleft()
        size = spec.cpus * spec.tasks
        usual = stream.cpus.get(spec.image, size)
        stream.cpus[spec.image] = SIZE_MEMORY * usual + (1.0 - SIZE_MEMORY) * size
        stream.spot = spec.spot

    def ended(self, job: Job, outcome: str) -> None:
        """The durable end of a job of a stream."""
        stream = self._streams.get((job.spec.team, job.spec.klass))
        if stream is None:
            return
        for seen in stream.seen:
            if seen.job == job.id:
                seen.outcome = outcome
                self._count(stream, seen)
                return

    def _count(self, stream: Stream, seen: StreamedJob) -> None:
        """Updated only with what has really happened, once both ends of the edge are known."""
        if seen.counted or seen.outcome is None or seen.successor is None:
            return
        seen.counted = True
        entry = stream.table.pop(seen.path, None) or SubEntry()
        stream.table[seen.path] = entry
        while len(stream.table) > MAX_PATHS:
            del stream.table[next(iter(stream.table))]
        entry.outcomes[seen.outcome] = entry.outcomes.get(seen.outcome, 0) + 1
        counts = entry.successors.setdefault(seen.outcome, {})
        counts[seen.successor] = counts.get(seen.successor, 0) + 1

    def predict(self, team: str, klass: str, path: Path) -> str | None:
        """The image to prepare, or None between the two thresholds or with nothing known."""
        stream = self._streams.get((team, klass))
        entry = stream.table.get(path) if stream else None
        share = entry.share_done() if entry else None
        if entry is None or share is None:
            return None
        if share >= self._tuning.predict_high:
            return entry.likeliest(DONE)
        if share <= self._tuning.predict_low:
            return entry.likeliest(CANCELLED)
        return None

    # -- bookings

    @property
    def bookings(self) -> list[Booking]:
        """The room that is booked now."""
        return self._book.bookings

    @property
    def tallies(self) -> dict[Origin, Tally]:
        """What became of the bookings, by origin."""
        return self._book.tallies

    @property
    def hits(self) -> int:
        """Bookings of all origins that their job took."""
        return sum(tally.hits for tally in self.tallies.values())

    @property
    def misses(self) -> int:
        """Bookings of all origins that were returned since their job did not come."""
        return sum(tally.misses for tally in self.tallies.values())

    @property
    def unused(self) -> int:
        """Bookings of all origins that expired."""
        return sum(tally.unused for tally in self.tallies.values())

    def prepare(self, job: Job, ends_in: float, boot_s: float, load: float, now: Steady) -> None:
        """Books room for the next job of the stream about one boot before the estimated end of
        this one. Jobs of chains are not in the stream."""
        if ends_in > boot_s:
            return
        pipeline = (job.spec.team, job.spec.klass)
        stream = self._streams.get(pipeline)
        if stream is None or not self._book.has_room(pipeline, load):
            return
        if any(b.upstream == job.id for b in self._book.of(pipeline, Origin.STREAM)):
            return
        seen = next((s for s in stream.seen if s.job == job.id), None)
        image = self.predict(*pipeline, seen.path) if seen is not None else None
        if image is None:
            return
        until = Steady(now + max(ends_in, 0.0) + boot_s)
        booking = Booking(pipeline, job.id, image, stream.cpus.get(image, 0.0), stream.spot, until)
        self._book.add(booking)
        log.debug("booked pipeline=%s/%s image=%s cpus=%g", *pipeline, image, booking.cpus)

    def prepare_submitted(
        self,
        after: Job,
        cpus: float,
        upstream: JobId,
        ends_in: float,
        boot_s: float,
        load: float,
        now: Steady,
    ) -> None:
        """The same for a successor that is submitted already and waits for that job last: its room
        is booked, as deep as the load allows, without a prediction."""
        spec = after.spec
        pipeline = (spec.team, spec.klass)
        if not self._book.has_room(pipeline, load):
            return
        if any(b.successor == after.id for b in self._book.of(pipeline)):
            return
        until = Steady(now + max(ends_in, 0.0) + boot_s)
        self._book.add(
            Booking(
                pipeline, upstream, spec.image, cpus, spec.spot, until, Origin.SUBMITTED, after.id
            )
        )
        log.debug("booked job=%s image=%s cpus=%g", after.id, spec.image, cpus)

    def prepare_chain(
        self, expected: Prediction, cpus: float, boot_s: float, load: float, now: Steady
    ) -> None:
        """Books room for a successor along a chain that is not submitted yet. A fan-in is booked
        once: the other jobs that it awaits join the booking that the first of them made."""
        until = Steady(now + max(expected.ends_in, 0.0) + boot_s)
        booked = self._booked_for(expected)
        if booked is not None:
            booked.chains[expected.chain] = expected.path
            booked.until = max(booked.until, until)
            return
        if not self._book.has_room(expected.pipeline, load):
            return
        booking = Booking(
            expected.pipeline,
            expected.upstream,
            expected.image,
            cpus,
            expected.spot,
            until,
            Origin.CHAIN,
            chains={expected.chain: expected.path},
        )
        self._book.add(booking)
        log.debug(
            "booked chain=%s/%s after=%s cpus=%g", *expected.pipeline, expected.upstream, cpus
        )

    def returned(self, job: JobId) -> None:
        """The successor will not come: its room is returned."""
        for booking in [b for b in self.bookings if b.successor == job]:
            self._book.miss(booking)

    def expire(self, now: Steady) -> None:
        """Returns the room that no job took in time, and counts the chains that ended."""
        self._book.expire(now)
        self.chains.settle(now)

    def booked(self, held: Callable[[JobId], float] = lambda _: 0.0) -> tuple[float, float]:
        """CPUs booked beyond what the upstream jobs hold: for jobs that need ordinary machines,
        and in all."""
        return self._book.booked(held)

    def _resolve(self, job: Job) -> None:
        """A job is ready: it takes the booking made for it or, if it has no dependencies, for the
        next of its image; if there is none, the oldest prediction of the stream was a miss."""
        pipeline = (job.spec.team, job.spec.klass)
        own = next((b for b in self._book.of(pipeline) if b.successor == job.id), None)
        if own is not None:
            self._book.hit(own)
            return
        expected = self._book.of(pipeline, Origin.STREAM)
        if job.spec.dependencies or not expected:
            return
        same_image = next((b for b in expected if b.image == job.spec.image), None)
        if same_image is not None:
            self._book.hit(same_image)
        else:
            self._book.miss(expected[0])

    # -- chains

    def submitted(self, job: Job, dependents: Iterable[Job] = ()) -> None:
        """A job was accepted, perhaps learned of after some that await it. If it awaits others, it
        takes the room booked for what follows them; what else was booked there is returned."""
        pipeline = (job.spec.team, job.spec.klass)
        took = False
        for booking in self._book.continuing(self.chains.submitted(job, dependents)):
            if booking.pipeline == pipeline and not took:
                self._book.hit(booking)
                took = True
            else:
                self._book.miss(booking)

    def chain_ended(self, job: JobId, outcome: str, now: Steady) -> None:
        """The durable end of a job. If it is aborted, so is all that awaits it: the room booked
        for its successor is returned."""
        chain = self.chains.ended(job, outcome, now)
        if chain is not None and outcome == CANCELLED:
            for booking in self._book.continuing({chain}):
                self._book.miss(booking)

    def _booked_for(self, expected: Prediction) -> Booking | None:
        """The booking that was made for the same job: along the same chain or, if the job awaits
        several chains, along another one of these."""
        mine = self._book.of(expected.pipeline, Origin.CHAIN)
        for booking in mine:
            if expected.chain in booking.chains:
                return booking
        for booking in mine:
            if expected.fan_in.issuperset(booking.chains.values()):
                return booking
        return None
