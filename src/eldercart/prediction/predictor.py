"""What will be needed soon: how long jobs really run, and soft reservations for predicted jobs.

Independent jobs are predicted in the stream of their team and class, jobs that await others along
their chain. Nothing starts early: a reservation only holds capacity, softly.
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

LONGEST_TO_MEAN_RATIO = 1.4  # the longest task of a job against its mean, as seen
LAUNCH_DELAY_S = 3.0  # heartbeat, launch and fetch, on top of the run time
RUN_TIME_DECAY = 0.98  # weight of the earlier run times
MIN_RUN_TIME_RATIO, MAX_RUN_TIME_RATIO = 0.2, 4.0  # a ratio beyond is not believed
MIN_ESTIMATED_S = 1.0  # in all, before a class's ratio is used
MIN_OBSERVED_RUNS = 3  # after which a job's own run times tell more than its class


@dataclass(slots=True)
class ClassRunTimeRatio:
    """How run times compare with the owners' estimates in one class; recent ones weigh more."""

    actual_s: float = 0.0
    estimated_s: float = 0.0

    def add(self, run_time_s: float, estimate_s: float) -> None:
        """Add the run time of one more task."""
        self.actual_s = self.actual_s * RUN_TIME_DECAY + run_time_s
        self.estimated_s = self.estimated_s * RUN_TIME_DECAY + estimate_s

    def ratio(self) -> float:
        """Return run time against estimate, within bounds."""
        if self.estimated_s < MIN_ESTIMATED_S:
            return 1.0
        ratio = self.actual_s / self.estimated_s
        return min(MAX_RUN_TIME_RATIO, max(MIN_RUN_TIME_RATIO, ratio))


class ReservationWindow(NamedTuple):
    """The circumstances in which reservations are made."""

    boot_s: float  # how long the fastest machine type takes to boot
    load: float  # the share of the machines' CPUs that is placed or reserved
    now: MonotonicTime

    def expires_at(self, ends_in_s: float) -> MonotonicTime:
        """Return when a reservation ends: one boot after the upstream job."""
        return MonotonicTime(self.now + max(ends_in_s, 0.0) + self.boot_s)


class Predictor:
    """The run times of classes, the predictors, and the soft reservations of all origins."""

    def __init__(self, tuning: Tuning) -> None:
        """Nothing is known or reserved at first."""
        self._run_time_ratios: dict[str, ClassRunTimeRatio] = {}  # by class
        self._reservations = SoftReservations(tuning)
        self._streams = StreamPredictor(tuning)
        self.chains = ChainPredictor(tuning)

    # -- run times

    def record_run_time(self, job: Job, seconds: float) -> None:
        """Record how long a task of the job has run."""
        if seconds > 0 and job.spec.estimated_run_time_s > 0:
            ratio = self._run_time_ratios.setdefault(job.spec.job_class, ClassRunTimeRatio())
            ratio.add(seconds, job.spec.estimated_run_time_s)

    def expected_run_s(self, job: Job) -> float:
        """Return the run time to expect of one of the job's tasks."""
        if len(job.run_times_s) >= MIN_OBSERVED_RUNS:
            return sum(job.run_times_s) / len(job.run_times_s)
        ratio = self._run_time_ratios.get(job.spec.job_class)
        return job.spec.estimated_run_time_s * (ratio.ratio() if ratio else 1.0)

    def expected_longest_run_s(self, job: Job) -> float:
        """Return how long the job's last task takes once it is to be launched: tasks of one job
        differ, and the job is done only with the longest."""
        expected_s = LONGEST_TO_MEAN_RATIO * self.expected_run_s(job)
        if len(job.run_times_s) >= MIN_OBSERVED_RUNS:
            return max(job.longest_run_time_s, expected_s) + LAUNCH_DELAY_S
        return expected_s + LAUNCH_DELAY_S

    def run_time_sums(self) -> dict[str, tuple[float, float]]:
        """Return the sums of run times and estimates by class, to be kept for the next leader."""
        return {
            job_class: (round(ratio.actual_s, 1), round(ratio.estimated_s, 1))
            for job_class, ratio in self._run_time_ratios.items()
        }

    def restore_run_time_sums(self, sums: dict[str, tuple[float, float]]) -> None:
        """Take over what the leader before had learned, except of classes known already."""
        for job_class, (actual_s, estimated_s) in sums.items():
            self._run_time_ratios.setdefault(job_class, ClassRunTimeRatio(actual_s, estimated_s))

    # -- jobs

    def on_job_submitted(self, job: Job, dependents: Iterable[Job] = ()) -> None:
        """Record a job that was accepted, perhaps after some that await it (`dependents`).

        If it awaits others, it takes the reservation for what follows them; what else was reserved
        there is returned."""
        pipeline = (job.spec.team, job.spec.job_class)
        continued = self.chains.on_job_submitted(job, dependents)
        is_reservation_taken = False
        for reservation in self._reservations.for_chains(continued):
            if reservation.pipeline == pipeline and not is_reservation_taken:
                self._reservations.record_hit(reservation)
                is_reservation_taken = True
            else:
                self._reservations.record_miss(reservation)

    def on_job_ready(self, job: Job) -> None:
        """Record a job that may start. It is the next of its stream unless it awaited others."""
        if not job.spec.dependencies:
            self._streams.on_job_ready(job)
        self._match_reservation(job)

    def on_stream_job_ended(self, job: Job, outcome: str) -> None:
        """Record the durable end of a job of a stream."""
        self._streams.on_job_ended(job, outcome)

    def on_chain_job_ended(self, job_id: JobId, outcome: str, now: MonotonicTime) -> None:
        """Record the durable end of a job. If it is aborted, so is all that awaits it: the
        reservation for its successor is returned."""
        chain_id = self.chains.on_job_ended(job_id, outcome, now)
        if chain_id is not None and outcome == CANCELLED:
            for reservation in self._reservations.for_chains({chain_id}):
                self._reservations.record_miss(reservation)

    def predict(self, team: str, job_class: str, path: Path) -> str | None:
        """Return the image that most likely follows a path of images in a stream, if any."""
        return self._streams.predict_image((team, job_class), path)

    # -- reservations

    @property
    def soft_reservations(self) -> list[SoftReservation]:
        """What is reserved now."""
        return self._reservations.active

    @property
    def reservation_outcomes(self) -> dict[ReservationOrigin, ReservationOutcomes]:
        """What became of the reservations, by origin."""
        return self._reservations.outcomes

    @property
    def hits(self) -> int:
        """Reservations of all origins that their job took."""
        return sum(outcomes.hits for outcomes in self.reservation_outcomes.values())

    @property
    def misses(self) -> int:
        """Reservations of all origins that were returned since their job did not come."""
        return sum(outcomes.misses for outcomes in self.reservation_outcomes.values())

    @property
    def expired(self) -> int:
        """Reservations of all origins that no job took in time."""
        return sum(outcomes.expired for outcomes in self.reservation_outcomes.values())

    def reserve_for_stream(self, job: Job, ends_in_s: float, window: ReservationWindow) -> None:
        """Reserve for the next job of the stream about one boot before the estimated end of this
        one. Jobs of chains are not in the stream."""
        if ends_in_s > window.boot_s:
            return
        pipeline = (job.spec.team, job.spec.job_class)
        if not self._reservations.has_capacity(pipeline, window.load):
            return
        own_stream = self._reservations.for_pipeline(pipeline, ReservationOrigin.STREAM)
        if any(reservation.upstream == job.id for reservation in own_stream):
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
            expires_at=window.expires_at(ends_in_s),
        )
        self._add(reservation)

    def reserve_for_submitted(
        self,
        successor: Job,
        cpus: float,
        upstream: JobId,
        ends_in_s: float,
        window: ReservationWindow,
    ) -> None:
        """Reserve for a successor that is submitted already and waits for `upstream` last: as far
        as the load allows, and without a prediction."""
        pipeline = (successor.spec.team, successor.spec.job_class)
        if not self._reservations.has_capacity(pipeline, window.load):
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
            expires_at=window.expires_at(ends_in_s),
            origin=ReservationOrigin.SUBMITTED,
            successor=successor.id,
        )
        self._add(reservation)

    def reserve_for_chain(
        self, prediction: SuccessorPrediction, cpus: float, window: ReservationWindow
    ) -> None:
        """Reserve for a successor along a chain that is not submitted yet. There is one reservation
        for a fan-in: the other jobs that it awaits join the one that the first of them made."""
        expires_at = window.expires_at(prediction.ends_in_s)
        existing = self._find_reservation(prediction)
        if existing is not None:
            existing.chains[prediction.chain_id] = prediction.path
            existing.expires_at = max(existing.expires_at, expires_at)
            return
        if not self._reservations.has_capacity(prediction.pipeline, window.load):
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
        """Return what is reserved for a submitted successor that will not come."""
        for reservation in [one for one in self.soft_reservations if one.successor == job_id]:
            self._reservations.record_miss(reservation)

    def expire(self, now: MonotonicTime) -> None:
        """Return what no job took in time, and count the chains that have ended."""
        self._reservations.expire(now)
        self.chains.settle_ended_chains(now)

    def reserved_cpus(
        self, held_cpus: Callable[[JobId], float] = lambda job_id: 0.0
    ) -> ReservedCpus:
        """Return the CPUs reserved beyond what the upstream jobs hold."""
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
        """Let a ready job take the reservation made for it or, if it has no dependencies, the next
        one for its image; if there is none, the oldest prediction of the stream was a miss."""
        pipeline = (job.spec.team, job.spec.job_class)
        in_pipeline = self._reservations.for_pipeline(pipeline)
        own = next((one for one in in_pipeline if one.successor == job.id), None)
        if own is not None:
            self._reservations.record_hit(own)
            return
        predicted = self._reservations.for_pipeline(pipeline, ReservationOrigin.STREAM)
        if job.spec.dependencies or not predicted:
            return
        same_image = next((one for one in predicted if one.image == job.spec.image), None)
        if same_image is not None:
            self._reservations.record_hit(same_image)
        else:
            self._reservations.record_miss(predicted[0])

    def _find_reservation(self, prediction: SuccessorPrediction) -> SoftReservation | None:
        """Return the reservation that was made for the same job: along the same chain or, if the
        job awaits several chains, along another one of these."""
        candidates = self._reservations.for_pipeline(prediction.pipeline, ReservationOrigin.CHAIN)
        for reservation in candidates:
            if prediction.chain_id in reservation.chains:
                return reservation
        for reservation in candidates:
            if prediction.fan_in.issuperset(reservation.chains.values()):
                return reservation
        return None
