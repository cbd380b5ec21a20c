"""Predicts run times and upcoming jobs, and makes soft reservations for these jobs.

A job without dependencies is predicted from the stream of its team and class, and a job with
dependencies from its chain. No job starts early: a soft reservation only adds to the demand for
capacity.
"""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple

from eldercart.jobs.job import Job
from eldercart.prediction.chain_predictor import ChainPredictor, SuccessorPrediction
from eldercart.prediction.path_statistics import Path
from eldercart.prediction.soft_reservations import (
    ReservationOrigin,
    ReservationOutcomes,
    ReservedCpus,
    SoftReservation,
    SoftReservations,
)
from eldercart.prediction.stream_predictor import StreamPredictor
from eldercart.settings import Tuning
from eldercart.units import JobId, MonotonicTime
from eldercart.wire.users import CANCELLED

log = logging.getLogger("eldercart.prediction")

LONGEST_TO_MEAN_RATIO = 1.4  # run time of a job's longest task, relative to the mean
LAUNCH_DELAY_S = 3.0  # heartbeat, launch and image fetch, in addition to the run time
RUN_TIME_DECAY = 0.98  # factor that each new run time applies to the earlier sums
MIN_RUN_TIME_RATIO, MAX_RUN_TIME_RATIO = 0.2, 4.0  # ratios are clamped to these bounds
MIN_ESTIMATED_S = 1.0  # below this sum of estimates, the ratio of a class isn't used
MIN_OBSERVED_RUNS = 3  # from this count on, a job's own run times replace its class's ratio


@dataclass(slots=True)
class ClassRunTimeRatio:
    """Ratio of actual run times to the owners' estimates in one class.

    Recent tasks have more weight.
    """

    actual_s: float = 0.0
    estimated_s: float = 0.0

    def add(self, run_time_s: float, estimate_s: float) -> None:
        """Add the run time of one more task."""
        self.actual_s = self.actual_s * RUN_TIME_DECAY + run_time_s
        self.estimated_s = self.estimated_s * RUN_TIME_DECAY + estimate_s

    def ratio(self) -> float:
        """Return run time divided by estimate, clamped; 1.0 if the estimates sum to too little."""
        if self.estimated_s < MIN_ESTIMATED_S:
            return 1.0
        ratio = self.actual_s / self.estimated_s
        return min(MAX_RUN_TIME_RATIO, max(MIN_RUN_TIME_RATIO, ratio))


class ReservationContext(NamedTuple):
    """The boot time, load and current time on which new reservations are based."""

    boot_s: float  # boot time of the machine type that boots fastest
    load: float  # share of the machines' CPUs that is placed or reserved
    now: MonotonicTime

    def expires_at(self, ends_in_s: float) -> MonotonicTime:
        """Return when a reservation expires: one boot time after the end of the upstream job."""
        return MonotonicTime(self.now + max(ends_in_s, 0.0) + self.boot_s)


class Predictor:
    """Owns the run time ratios, both predictors, and the soft reservations of all origins."""

    def __init__(self, tuning: Tuning) -> None:
        """Create a predictor without statistics or reservations."""
        self._run_time_ratios: dict[str, ClassRunTimeRatio] = {}  # by class
        self._reservations = SoftReservations(tuning)
        self._streams = StreamPredictor(tuning)
        self.chains = ChainPredictor(tuning)

    # -- run times

    def record_run_time(self, job: Job, seconds: float) -> None:
        """Record the run time of a task of the job."""
        if seconds > 0 and job.spec.estimated_run_time_s > 0:
            ratio = self._run_time_ratios.setdefault(job.spec.job_class, ClassRunTimeRatio())
            ratio.add(seconds, job.spec.estimated_run_time_s)

    def expected_run_s(self, job: Job) -> float:
        """Return the expected run time of one task of the job, in seconds."""
        if len(job.run_times_s) >= MIN_OBSERVED_RUNS:
            return sum(job.run_times_s) / len(job.run_times_s)
        ratio = self._run_time_ratios.get(job.spec.job_class)
        return job.spec.estimated_run_time_s * (ratio.ratio() if ratio else 1.0)

    def expected_longest_run_s(self, job: Job) -> float:
        """Return the expected time from launch to end of the job's longest task, in seconds.

        The tasks of a job differ in run time, and the job is done only when the longest one is.
        """
        expected_s = LONGEST_TO_MEAN_RATIO * self.expected_run_s(job)
        if len(job.run_times_s) >= MIN_OBSERVED_RUNS:
            return max(job.longest_run_time_s, expected_s) + LAUNCH_DELAY_S
        return expected_s + LAUNCH_DELAY_S

    def run_time_sums(self) -> dict[str, tuple[float, float]]:
        """Return the sums of run times and estimates by class, for the next leader to restore."""
        return {
            job_class: (round(ratio.actual_s, 1), round(ratio.estimated_s, 1))
            for job_class, ratio in self._run_time_ratios.items()
        }

    def restore_run_time_sums(self, sums: dict[str, tuple[float, float]]) -> None:
        """Restore the previous leader's sums, except for classes that already have some."""
        for job_class, (actual_s, estimated_s) in sums.items():
            self._run_time_ratios.setdefault(job_class, ClassRunTimeRatio(actual_s, estimated_s))

    # -- jobs

    def on_job_submitted(self, job: Job, dependents: Iterable[Job] = ()) -> None:
        """Record an accepted job, perhaps later than jobs that depend on it (`dependents`).

        The job claims one reservation that was made in its pipeline for the chains that it
        continues. All other reservations for these chains are released.
        """
        pipeline = (job.spec.team, job.spec.job_class)
        continued_chains = self.chains.on_job_submitted(job, dependents)
        is_reservation_taken = False
        for reservation in self._reservations.for_chains(continued_chains):
            if reservation.pipeline == pipeline and not is_reservation_taken:
                self._reservations.record_hit(reservation)
                is_reservation_taken = True
            else:
                self._reservations.record_miss(reservation)

    def on_job_ready(self, job: Job) -> None:
        """Record that a job may start; without dependencies it is the next one of its stream."""
        if not job.spec.dependencies:
            self._streams.on_job_ready(job)
        self._match_reservation(job)

    def on_stream_job_ended(self, job: Job, outcome: str) -> None:
        """Record the persisted end of a job of a stream."""
        self._streams.on_job_ended(job, outcome)

    def on_chain_job_ended(self, job_id: JobId, outcome: str, now: MonotonicTime) -> None:
        """Record the persisted end of a job.

        If the job is aborted, all jobs that depend on it are aborted too, so the reservations for
        its successor are released.
        """
        chain_id = self.chains.on_job_ended(job_id, outcome, now)
        if chain_id is not None and outcome == CANCELLED:
            for reservation in self._reservations.for_chains({chain_id}):
                self._reservations.record_miss(reservation)

    def predict_stream_image(self, team: str, job_class: str, path: Path) -> str | None:
        """Return the image that most likely follows a path of images in a stream, if any."""
        return self._streams.predict_image((team, job_class), path)

    # -- reservations

    @property
    def soft_reservations(self) -> list[SoftReservation]:
        """Active reservations of all origins."""
        return self._reservations.active

    @property
    def reservation_outcomes(self) -> dict[ReservationOrigin, ReservationOutcomes]:
        """Counts of the removed reservations, by origin."""
        return self._reservations.outcomes

    @property
    def hits(self) -> int:
        """Number of reservations of all origins that the expected job claimed."""
        return sum(outcomes.hits for outcomes in self.reservation_outcomes.values())

    @property
    def misses(self) -> int:
        """Number of reservations of all origins released unclaimed before they expired."""
        return sum(outcomes.misses for outcomes in self.reservation_outcomes.values())

    @property
    def expired(self) -> int:
        """Number of reservations of all origins that no job claimed in time."""
        return sum(outcomes.expired for outcomes in self.reservation_outcomes.values())

    def reserve_for_stream(self, job: Job, ends_in_s: float, context: ReservationContext) -> None:
        """Reserve for the job that is expected to follow this one in its stream.

        The reservation is made at most one boot time before the estimated end of this job. Jobs
        with dependencies are not part of the stream.
        """
        if ends_in_s > context.boot_s:
            return
        pipeline = (job.spec.team, job.spec.job_class)
        if not self._reservations.is_below_limit(pipeline, context.load):
            return
        in_stream = self._reservations.for_pipeline(pipeline, ReservationOrigin.STREAM)
        if any(reservation.upstream == job.id for reservation in in_stream):
            return
        expected = self._streams.predict_successor(job)
        if expected is None:
            return
        reservation = SoftReservation(
            pipeline=pipeline,
            upstream=job.id,
            image=expected.image,
            cpus=expected.cpus,
            spot=expected.spot,
            expires_at=context.expires_at(ends_in_s),
        )
        self._add(reservation)

    def reserve_for_submitted(
        self,
        successor: Job,
        cpus: float,
        upstream: JobId,
        ends_in_s: float,
        context: ReservationContext,
    ) -> None:
        """Reserve for a submitted successor whose last dependency to end is `upstream`.

        This needs no prediction. The load limits the reservations here as well.
        """
        pipeline = (successor.spec.team, successor.spec.job_class)
        if not self._reservations.is_below_limit(pipeline, context.load):
            return
        in_pipeline = self._reservations.for_pipeline(pipeline)
        if any(reservation.successor == successor.id for reservation in in_pipeline):
            return
        reservation = SoftReservation(
            pipeline=pipeline,
            upstream=upstream,
            image=successor.spec.image,
            cpus=cpus,
            spot=successor.spec.allows_spot,
            expires_at=context.expires_at(ends_in_s),
            origin=ReservationOrigin.SUBMITTED,
            successor=successor.id,
        )
        self._add(reservation)

    def reserve_for_chain(
        self, prediction: SuccessorPrediction, cpus: float, context: ReservationContext
    ) -> None:
        """Reserve for a predicted successor along a chain that is not submitted yet.

        A successor of several chains (fan-in) has only one reservation: the first chain creates it,
        and the others are added to it.
        """
        expires_at = context.expires_at(prediction.ends_in_s)
        existing = self._find_reservation(prediction)
        if existing is not None:
            existing.chains[prediction.chain_id] = prediction.path
            existing.expires_at = max(existing.expires_at, expires_at)
            return
        if not self._reservations.is_below_limit(prediction.pipeline, context.load):
            return
        reservation = SoftReservation(
            pipeline=prediction.pipeline,
            upstream=prediction.upstream,
            image=prediction.image,
            cpus=cpus,
            spot=prediction.spot,
            expires_at=expires_at,
            origin=ReservationOrigin.CHAIN,
            chains={prediction.chain_id: prediction.path},
        )
        self._add(reservation)

    def cancel_reservation(self, job_id: JobId) -> None:
        """Release the reservation for a submitted successor that was cancelled."""
        for reservation in [entry for entry in self.soft_reservations if entry.successor == job_id]:
            self._reservations.record_miss(reservation)

    def expire(self, now: MonotonicTime) -> None:
        """Remove the reservations that no job claimed in time, and count the chains that ended."""
        self._reservations.expire(now)
        self.chains.expire_ended_jobs(now)

    def reserved_cpus(
        self, held_cpus: Callable[[JobId], float] = lambda job_id: 0.0
    ) -> ReservedCpus:
        """Return the reserved CPUs in excess of those that the upstream jobs hold."""
        return self._reservations.reserved_cpus(held_cpus)

    def _add(self, reservation: SoftReservation) -> None:
        self._reservations.add(reservation)
        log.debug(
            "capacity reserved origin=%s pipeline=%s/%s image=%s cpus=%g upstream=%s",
            reservation.origin.value,
            *reservation.pipeline,
            reservation.image,
            reservation.cpus,
            reservation.upstream,
        )

    def _match_reservation(self, job: Job) -> None:
        """Let a ready job claim a reservation.

        The job claims the reservation made for it by ID. Without one, and if it has no
        dependencies, it claims the stream's oldest reservation for its image; if there is none, the
        stream's oldest reservation is released as a miss.
        """
        pipeline = (job.spec.team, job.spec.job_class)
        in_pipeline = self._reservations.for_pipeline(pipeline)
        own_reservation = next((entry for entry in in_pipeline if entry.successor == job.id), None)
        if own_reservation is not None:
            self._reservations.record_hit(own_reservation)
            return
        in_stream = self._reservations.for_pipeline(pipeline, ReservationOrigin.STREAM)
        if job.spec.dependencies or not in_stream:
            return
        same_image = next((entry for entry in in_stream if entry.image == job.spec.image), None)
        if same_image is not None:
            self._reservations.record_hit(same_image)
        else:
            self._reservations.record_miss(in_stream[0])

    def _find_reservation(self, prediction: SuccessorPrediction) -> SoftReservation | None:
        """Return the reservation made for the same job, if there is one.

        It includes the prediction's chain or, for a job that depends on several chains, only chains
        whose paths are in the prediction's fan-in.
        """
        candidates = self._reservations.for_pipeline(prediction.pipeline, ReservationOrigin.CHAIN)
        for reservation in candidates:
            if prediction.chain_id in reservation.chains:
                return reservation
        for reservation in candidates:
            if prediction.fan_in.issuperset(reservation.chains.values()):
                return reservation
        return None
