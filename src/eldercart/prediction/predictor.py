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

from eldercart.jobs.job import Job
from eldercart.prediction.chain_predictor import ChainPredictor, SuccessorPrediction
from eldercart.prediction.soft_reservations import (
    Path,
    Pipeline,
    ReservationOrigin,
    ReservationOutcomes,
    SoftReservation,
    SoftReservations,
)
from eldercart.settings import Tuning
from eldercart.units import JobId, MonotonicTime
from eldercart.wire.users import CANCELLED, DONE

log = logging.getLogger("eldercart.prediction")

MAX_PATHS = 512  # a pipeline; beyond, the path seen longest ago is forgotten
LONGEST_TO_MEAN_RATIO = 1.4  # the longest task of a job against its mean, as seen
LAUNCH_DELAY_S = 3.0
SIZE_DECAY = 0.7  # weight of the earlier sizes in the usual size of an image's jobs
RUN_TIME_DECAY = 0.98  # weight of the earlier run times
MIN_RUN_TIME_RATIO, MAX_RUN_TIME_RATIO = 0.2, 4.0  # a ratio beyond is not believed
MIN_OBSERVED_RUNS = 3  # after which a job's own run times tell more than its class
MAX_RECENT_JOBS = 64  # jobs of a pipeline whose successor may still be unknown


@dataclass(slots=True)
class StreamPathStatistics:
    """What was counted for one path of images."""

    outcome_counts: dict[str, int] = field(default_factory=dict)
    successor_counts: dict[str, dict[str, int]] = field(default_factory=dict)

    def success_ratio(self) -> float | None:
        """The share of jobs that ended done; None without any."""
        total = sum(self.outcome_counts.values())
        return self.outcome_counts.get(DONE, 0) / total if total else None

    def most_likely_successor(self, outcome: str) -> str | None:
        """The image that most often followed that outcome."""
        counts = self.successor_counts.get(outcome)
        return max(counts, key=lambda image: (counts[image], image)) if counts else None


@dataclass(slots=True)
class StreamJob:
    """One job of a stream: its path, and what is known of its end and its successor."""

    job_id: JobId
    path: Path
    outcome: str | None = None
    successor_image: str | None = None
    is_counted: bool = False


@dataclass(slots=True)
class Stream:
    """The independent jobs of one team's class."""

    statistics: dict[Path, StreamPathStatistics] = field(default_factory=dict)
    recent_images: deque[str] = field(default_factory=deque)
    recent_jobs: deque[StreamJob] = field(default_factory=deque)
    usual_cpus: dict[str, float] = field(default_factory=dict)  # image -> usual size of its jobs
    spot: bool = True


@dataclass(slots=True)
class ClassRunTimeRatio:
    """How run times compare with the owners' estimates, per class; recent ones weigh more."""

    actual_s: float = 0.0
    estimated_s: float = 0.0

    def add(self, ran: float, estimate: float) -> None:
        """One more task has run."""
        self.actual_s = self.actual_s * RUN_TIME_DECAY + ran
        self.estimated_s = self.estimated_s * RUN_TIME_DECAY + estimate

    def ratio(self) -> float:
        """Run time against estimate, within bounds."""
        if self.estimated_s < 1.0:
            return 1.0
        return min(MAX_RUN_TIME_RATIO, max(MIN_RUN_TIME_RATIO, self.actual_s / self.estimated_s))


class Predictor:
    """Owns the tables of the streams, the paces, and the bookings of all origins."""

    def __init__(self, tuning: Tuning) -> None:
        """Starts without knowledge and bookings."""
        self._tuning = tuning
        self._streams: dict[Pipeline, Stream] = {}
        self._run_time_ratios: dict[str, ClassRunTimeRatio] = {}
        self._reservations = SoftReservations(tuning)
        self.chains = ChainPredictor(tuning)

    # -- run times

    def record_run_time(self, job: Job, seconds: float) -> None:
        """A task of the job has run that long."""
        if seconds > 0 and job.spec.estimated_run_time_s > 0:
            self._run_time_ratios.setdefault(job.spec.job_class, ClassRunTimeRatio()).add(
                seconds, job.spec.estimated_run_time_s
            )

    def expected_run_s(self, job: Job) -> float:
        """The run time of one of the job's tasks, as far as can be told."""
        if len(job.run_times_s) >= MIN_OBSERVED_RUNS:
            return sum(job.run_times_s) / len(job.run_times_s)
        pace = self._run_time_ratios.get(job.spec.job_class)
        return job.spec.estimated_run_time_s * (pace.ratio() if pace else 1.0)

    def expected_longest_run_s(self, job: Job) -> float:
        """How long the job's last task takes once it is launched: tasks of one job differ, and
        the job is done only with the longest; report, launch and fetch come on top."""
        longest = (
            job.longest_run_time_s
            if len(job.run_times_s) >= MIN_OBSERVED_RUNS
            else LONGEST_TO_MEAN_RATIO * self.expected_run_s(job)
        )
        return max(longest, LONGEST_TO_MEAN_RATIO * self.expected_run_s(job)) + LAUNCH_DELAY_S

    def run_time_sums(self) -> dict[str, tuple[float, float]]:
        """The sums of run times and estimates by class, to be kept for the next leader."""
        return {
            klass: (round(p.actual_s, 1), round(p.estimated_s, 1))
            for klass, p in self._run_time_ratios.items()
        }

    def restore_run_time_sums(self, paces: dict[str, tuple[float, float]]) -> None:
        """Takes over what the leader before had learned."""
        for klass, (ran, estimated) in paces.items():
            self._run_time_ratios.setdefault(klass, ClassRunTimeRatio(ran, estimated))

    # -- the stream

    def on_job_ready(self, job: Job, now: MonotonicTime) -> None:
        """A job is ready to start. It is the next of its stream unless it awaited others."""
        spec = job.spec
        if spec.dependencies:
            self._match_reservation(job)
            return
        stream = self._streams.setdefault((spec.team, spec.job_class), Stream())
        if stream.recent_jobs:
            before = stream.recent_jobs[-1]
            before.successor_image = spec.image
            self._count_outcome(stream, before)
        self._match_reservation(job)
        stream.recent_images.append(spec.image)
        while len(stream.recent_images) > self._tuning.path_length:
            stream.recent_images.popleft()
        stream.recent_jobs.append(StreamJob(job.id, tuple(stream.recent_images)))
        while len(stream.recent_jobs) > MAX_RECENT_JOBS:
            stream.recent_jobs.popleft()
        size = spec.cpus * spec.task_count
        usual = stream.usual_cpus.get(spec.image, size)
        stream.usual_cpus[spec.image] = SIZE_DECAY * usual + (1.0 - SIZE_DECAY) * size
        stream.spot = spec.allows_spot

    def on_stream_job_ended(self, job: Job, outcome: str) -> None:
        """The durable end of a job of a stream."""
        stream = self._streams.get((job.spec.team, job.spec.job_class))
        if stream is None:
            return
        for seen in stream.recent_jobs:
            if seen.job_id == job.id:
                seen.outcome = outcome
                self._count_outcome(stream, seen)
                return

    def _count_outcome(self, stream: Stream, seen: StreamJob) -> None:
        """Updated only with what has really happened, once both ends of the edge are known."""
        if seen.is_counted or seen.outcome is None or seen.successor_image is None:
            return
        seen.is_counted = True
        entry = stream.statistics.pop(seen.path, None) or StreamPathStatistics()
        stream.statistics[seen.path] = entry
        while len(stream.statistics) > MAX_PATHS:
            del stream.statistics[next(iter(stream.statistics))]
        entry.outcome_counts[seen.outcome] = entry.outcome_counts.get(seen.outcome, 0) + 1
        counts = entry.successor_counts.setdefault(seen.outcome, {})
        counts[seen.successor_image] = counts.get(seen.successor_image, 0) + 1

    def predict(self, team: str, klass: str, path: Path) -> str | None:
        """The image to prepare, or None between the two thresholds or with nothing known."""
        stream = self._streams.get((team, klass))
        entry = stream.statistics.get(path) if stream else None
        share = entry.success_ratio() if entry else None
        if entry is None or share is None:
            return None
        if share >= self._tuning.predict_high:
            return entry.most_likely_successor(DONE)
        if share <= self._tuning.predict_low:
            return entry.most_likely_successor(CANCELLED)
        return None

    # -- bookings

    @property
    def soft_reservations(self) -> list[SoftReservation]:
        """The room that is booked now."""
        return self._reservations.active

    @property
    def reservation_outcomes(self) -> dict[ReservationOrigin, ReservationOutcomes]:
        """What became of the bookings, by origin."""
        return self._reservations.outcomes

    @property
    def hits(self) -> int:
        """Bookings of all origins that their job took."""
        return sum(tally.hits for tally in self.reservation_outcomes.values())

    @property
    def misses(self) -> int:
        """Bookings of all origins that were returned since their job did not come."""
        return sum(tally.misses for tally in self.reservation_outcomes.values())

    @property
    def expired(self) -> int:
        """Bookings of all origins that expired."""
        return sum(tally.expired for tally in self.reservation_outcomes.values())

    def reserve_for_stream(
        self, job: Job, ends_in: float, boot_s: float, load: float, now: MonotonicTime
    ) -> None:
        """Books room for the next job of the stream about one boot before the estimated end of
        this one. Jobs of chains are not in the stream."""
        if ends_in > boot_s:
            return
        pipeline = (job.spec.team, job.spec.job_class)
        stream = self._streams.get(pipeline)
        if stream is None or not self._reservations.has_capacity(pipeline, load):
            return
        if any(
            b.upstream == job.id
            for b in self._reservations.for_pipeline(pipeline, ReservationOrigin.STREAM)
        ):
            return
        seen = next((s for s in stream.recent_jobs if s.job_id == job.id), None)
        image = self.predict(*pipeline, seen.path) if seen is not None else None
        if image is None:
            return
        until = MonotonicTime(now + max(ends_in, 0.0) + boot_s)
        booking = SoftReservation(
            pipeline, job.id, image, stream.usual_cpus.get(image, 0.0), stream.spot, until
        )
        self._reservations.add(booking)
        log.debug("booked pipeline=%s/%s image=%s cpus=%g", *pipeline, image, booking.cpus)

    def reserve_for_submitted(
        self,
        after: Job,
        cpus: float,
        upstream: JobId,
        ends_in: float,
        boot_s: float,
        load: float,
        now: MonotonicTime,
    ) -> None:
        """The same for a successor that is submitted already and waits for that job last: its room
        is booked, as deep as the load allows, without a prediction."""
        spec = after.spec
        pipeline = (spec.team, spec.job_class)
        if not self._reservations.has_capacity(pipeline, load):
            return
        if any(b.successor == after.id for b in self._reservations.for_pipeline(pipeline)):
            return
        until = MonotonicTime(now + max(ends_in, 0.0) + boot_s)
        self._reservations.add(
            SoftReservation(
                pipeline,
                upstream,
                spec.image,
                cpus,
                spec.allows_spot,
                until,
                ReservationOrigin.SUBMITTED,
                after.id,
            )
        )
        log.debug("booked job=%s image=%s cpus=%g", after.id, spec.image, cpus)

    def reserve_for_chain(
        self,
        expected: SuccessorPrediction,
        cpus: float,
        boot_s: float,
        load: float,
        now: MonotonicTime,
    ) -> None:
        """Books room for a successor along a chain that is not submitted yet. A fan-in is booked
        once: the other jobs that it awaits join the booking that the first of them made."""
        until = MonotonicTime(now + max(expected.ends_in_s, 0.0) + boot_s)
        booked = self._find_reservation(expected)
        if booked is not None:
            booked.chains[expected.chain_id] = expected.path
            booked.expires_at = max(booked.expires_at, until)
            return
        if not self._reservations.has_capacity(expected.pipeline, load):
            return
        booking = SoftReservation(
            expected.pipeline,
            expected.upstream,
            expected.image,
            cpus,
            expected.spot,
            until,
            ReservationOrigin.CHAIN,
            chains={expected.chain_id: expected.path},
        )
        self._reservations.add(booking)
        log.debug(
            "booked chain=%s/%s after=%s cpus=%g", *expected.pipeline, expected.upstream, cpus
        )

    def cancel_reservation(self, job: JobId) -> None:
        """The successor will not come: its room is returned."""
        for booking in [b for b in self.soft_reservations if b.successor == job]:
            self._reservations.record_miss(booking)

    def expire(self, now: MonotonicTime) -> None:
        """Returns the room that no job took in time, and counts the chains that ended."""
        self._reservations.expire(now)
        self.chains.settle_ended_chains(now)

    def reserved_cpus(self, held: Callable[[JobId], float] = lambda _: 0.0) -> tuple[float, float]:
        """CPUs booked beyond what the upstream jobs hold: for jobs that need ordinary machines,
        and in all."""
        return self._reservations.reserved_cpus(held)

    def _match_reservation(self, job: Job) -> None:
        """A job is ready: it takes the booking made for it or, if it has no dependencies, for the
        next of its image; if there is none, the oldest prediction of the stream was a miss."""
        pipeline = (job.spec.team, job.spec.job_class)
        own = next(
            (b for b in self._reservations.for_pipeline(pipeline) if b.successor == job.id), None
        )
        if own is not None:
            self._reservations.record_hit(own)
            return
        expected = self._reservations.for_pipeline(pipeline, ReservationOrigin.STREAM)
        if job.spec.dependencies or not expected:
            return
        same_image = next((b for b in expected if b.image == job.spec.image), None)
        if same_image is not None:
            self._reservations.record_hit(same_image)
        else:
            self._reservations.record_miss(expected[0])

    # -- chains

    def on_job_submitted(self, job: Job, dependents: Iterable[Job] = ()) -> None:
        """A job was accepted, perhaps learned of after some that await it. If it awaits others, it
        takes the room booked for what follows them; what else was booked there is returned."""
        pipeline = (job.spec.team, job.spec.job_class)
        took = False
        for booking in self._reservations.for_chains(self.chains.on_job_submitted(job, dependents)):
            if booking.pipeline == pipeline and not took:
                self._reservations.record_hit(booking)
                took = True
            else:
                self._reservations.record_miss(booking)

    def on_chain_job_ended(self, job: JobId, outcome: str, now: MonotonicTime) -> None:
        """The durable end of a job. If it is aborted, so is all that awaits it: the room booked
        for its successor is returned."""
        chain = self.chains.on_job_ended(job, outcome, now)
        if chain is not None and outcome == CANCELLED:
            for booking in self._reservations.for_chains({chain}):
                self._reservations.record_miss(booking)

    def _find_reservation(self, expected: SuccessorPrediction) -> SoftReservation | None:
        """The booking that was made for the same job: along the same chain or, if the job awaits
        several chains, along another one of these."""
        mine = self._reservations.for_pipeline(expected.pipeline, ReservationOrigin.CHAIN)
        for booking in mine:
            if expected.chain_id in booking.chains:
                return booking
        for booking in mine:
            if expected.fan_in.issuperset(booking.chains.values()):
                return booking
        return None
