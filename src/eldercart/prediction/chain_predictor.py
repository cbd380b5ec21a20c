"""Predicts the next job of a dependency chain before its user submits it.

This applies the sequence table of the SpecFaaS paper, section V-A ("SpecFaaS: Accelerating
Serverless Applications with Speculative Function Execution"), to job dependencies. A stage consists
of a team, a job class and an image. The path of a job is the stages of its recent ancestors,
followed by its own stage. The statistics of a path count the outcomes of its jobs (done, aborted)
and, for each outcome, the successors; the end of a chain is counted like a successor.

The cost of submitting a job is proportional to the number of its dependencies. The cost of its end
doesn't depend on the number of jobs. Nothing is persisted: a new leader starts without statistics.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import count

from eldercart.jobs.job import Job
from eldercart.prediction.path_statistics import Path, PathStatistics, PathTable
from eldercart.prediction.soft_reservations import ChainId, Pipeline
from eldercart.settings import Tuning
from eldercart.units import MONOTONIC_ZERO, JobId, MonotonicTime

MAX_PATHS = 4096  # paths in the table; beyond that, the least recently counted is evicted
SUCCESSOR_TIMEOUT_S = 60.0  # a chain without a successor for this long after a job has ended
MAX_FAN_IN = 16  # dependencies' paths that are recorded for one successor
MIN_ROOT_JOBS = 3  # jobs to count on a path before a job without dependencies gets a prediction
SIZE_DECAY = 0.7  # weight of the earlier sizes in the average size of a successor


@dataclass(slots=True)
class Successor:
    """Statistics of the jobs of one pipeline that followed a path."""

    cpus: float  # average size of a job, summed over its tasks
    spot: bool = True  # whether the latest of these jobs may use spot machines
    count: int = 0
    image_counts: dict[str, int] = field(default_factory=dict)
    # Paths of other jobs that the successor also depended on. They predict the same job.
    fan_in: set[Path] = field(default_factory=set)

    def add(self, job: Job, fan_in: set[Path]) -> None:
        """Count one more job."""
        self.cpus = SIZE_DECAY * self.cpus + (1.0 - SIZE_DECAY) * _total_cpus(job)
        self.spot = job.spec.allows_spot
        self.count += 1
        self.image_counts[job.spec.image] = self.image_counts.get(job.spec.image, 0) + 1
        if len(self.fan_in) < MAX_FAN_IN:
            self.fan_in |= fan_in

    def most_likely_image(self) -> str:
        """Return the most frequent image."""
        return max(self.image_counts, key=lambda image: (self.image_counts[image], image))


@dataclass(slots=True)
class SuccessorCounts:
    """Counts of the successors for one outcome of a path."""

    chain_end_count: int = 0  # jobs without a successor
    by_pipeline: dict[Pipeline, Successor] = field(default_factory=dict)

    def add(self, job: Job, fan_in: set[Path]) -> None:
        """Count a successor."""
        pipeline = (job.spec.team, job.spec.job_class)
        successor = self.by_pipeline.setdefault(pipeline, Successor(_total_cpus(job)))
        successor.add(job, fan_in)

    def most_likely_pipeline(self) -> Pipeline | None:
        """Return the most frequent successor's pipeline.

        Return None unless it was counted more often than the end of the chain.
        """
        if not self.by_pipeline:
            return None
        best = max(
            self.by_pipeline, key=lambda pipeline: (self.by_pipeline[pipeline].count, pipeline)
        )
        return best if self.by_pipeline[best].count > self.chain_end_count else None


@dataclass(slots=True)
class Chain:
    """A set of jobs that are connected by dependencies."""

    chain_id: ChainId
    unfinished_jobs: int = 0  # submitted jobs that have not ended


@dataclass(slots=True)
class ChainJob:
    """One submitted job of a chain."""

    job_id: JobId
    path: Path
    depth: int
    chain: Chain
    has_dependencies: bool
    outcome: str | None = None
    successor_deadline: MonotonicTime = MONOTONIC_ZERO
    successor: Job | None = None  # the first one submitted
    # Paths of the other jobs that this successor depends on.
    fan_in: set[Path] = field(default_factory=set)
    is_counted: bool = False


@dataclass(frozen=True, slots=True)
class SuccessorPrediction:
    """The successor that is expected once the `upstream` job has ended."""

    chain_id: ChainId
    upstream: JobId
    path: Path
    ends_in_s: float
    pipeline: Pipeline
    image: str
    cpus: float
    spot: bool
    fan_in: frozenset[Path]


class ChainPredictor:
    """Owns the statistics of paths and the state of the chains that are in progress."""

    def __init__(self, tuning: Tuning) -> None:
        """Create a predictor without statistics."""
        self._tuning = tuning
        self._table: PathTable[SuccessorCounts] = PathTable(MAX_PATHS, SuccessorCounts)
        self._jobs: dict[JobId, ChainJob] = {}
        self._ended_jobs: deque[ChainJob] = deque()  # sorted by `successor_deadline`
        self._next_chain_ids = count()

    # -- inputs

    def on_job_submitted(self, job: Job, dependents: Iterable[Job] = ()) -> set[ChainId]:
        """Record an accepted job, with or without dependencies; return the chains it continues.

        After a failover, a job may be recorded later than the jobs that depend on it
        (`dependents`).
        """
        if job.id in self._jobs:
            return set()
        upstream = self._known_jobs(job.spec.dependencies)
        self._record_successor(job, upstream)
        # If several upstream jobs have the same depth, this is the first of them.
        deepest = max(upstream, key=lambda upstream_job: upstream_job.depth, default=None)
        chain = deepest.chain if deepest is not None else Chain(next(self._next_chain_ids))
        chain.unfinished_jobs += 1
        path = (*(deepest.path if deepest is not None else ()), _stage(job))
        self._jobs[job.id] = ChainJob(
            job_id=job.id,
            path=path[-self._tuning.path_length :],
            depth=deepest.depth + 1 if deepest is not None else 0,
            chain=chain,
            has_dependencies=bool(job.spec.dependencies),
            successor=next(iter(dependents), None),
        )
        return {upstream_job.chain.chain_id for upstream_job in upstream}

    def on_job_ended(self, job_id: JobId, outcome: str, now: MonotonicTime) -> ChainId | None:
        """Record the persisted end of a job and return its chain.

        Return None if the job is unknown or its end was recorded before. The job is kept for
        `SUCCESSOR_TIMEOUT_S`, since its successor may still be submitted.
        """
        job = self._jobs.get(job_id)
        if job is None or job.outcome is not None:
            return None
        job.outcome = outcome
        job.chain.unfinished_jobs -= 1
        job.successor_deadline = MonotonicTime(now + SUCCESSOR_TIMEOUT_S)
        self._ended_jobs.append(job)
        if job.successor is not None:
            self._count(job)
        return job.chain.chain_id

    def expire_ended_jobs(self, now: MonotonicTime) -> None:
        """Remove the ended jobs whose successor timeout has passed.

        A job without a successor is counted as the end of its chain.
        """
        while self._ended_jobs and self._ended_jobs[0].successor_deadline <= now:
            job = self._ended_jobs.popleft()
            del self._jobs[job.job_id]
            self._count(job)

    # -- predictions

    def predict_successors(self, ending: dict[JobId, float]) -> list[SuccessorPrediction]:
        """Return the successors that are likely to follow soon, at most one for each chain.

        `ending` has the jobs that end soon, with the seconds until their expected ends. A chain
        gets a prediction only if all of its unfinished jobs are among them, and the prediction
        follows the job that ends last.
        """
        last_jobs: dict[ChainId, ChainJob] = {}
        ending_counts: dict[ChainId, int] = {}
        for job_id, ends_in_s in ending.items():
            job = self._jobs.get(job_id)
            if job is None:
                continue
            chain_id = job.chain.chain_id
            ending_counts[chain_id] = ending_counts.get(chain_id, 0) + 1
            if chain_id not in last_jobs or ending[last_jobs[chain_id].job_id] < ends_in_s:
                last_jobs[chain_id] = job
        predictions = []
        for chain_id, job in last_jobs.items():
            if ending_counts[chain_id] != job.chain.unfinished_jobs or job.successor is not None:
                continue
            prediction = self._predict_successor(job, ending[job.job_id])
            if prediction is not None:
                predictions.append(prediction)
        return predictions

    def predict(self, path: Path) -> tuple[Pipeline, Successor] | None:
        """Return the most likely successor of the path and its pipeline.

        Return None if chains usually end there, if there are no statistics, or if the success ratio
        is between the two thresholds.
        """
        statistics = self._find_statistics(path)
        successors = statistics.expected_successors(self._tuning) if statistics else None
        pipeline = successors.most_likely_pipeline() if successors is not None else None
        if successors is None or pipeline is None:
            return None
        return pipeline, successors.by_pipeline[pipeline]

    def _predict_successor(self, job: ChainJob, ends_in_s: float) -> SuccessorPrediction | None:
        statistics = self._find_statistics(job.path)
        if statistics is None:
            return None
        if statistics.job_count < MIN_ROOT_JOBS and not job.has_dependencies:
            return None  # a job without dependencies may be independent of any chain
        predicted = self.predict(job.path)
        if predicted is None:
            return None
        pipeline, successor = predicted
        return SuccessorPrediction(
            chain_id=job.chain.chain_id,
            upstream=job.job_id,
            path=job.path,
            ends_in_s=ends_in_s,
            pipeline=pipeline,
            image=successor.most_likely_image(),
            cpus=successor.cpus,
            spot=successor.spot,
            fan_in=frozenset(successor.fan_in),
        )

    # -- counting

    def _known_jobs(self, job_ids: Iterable[JobId]) -> list[ChainJob]:
        return [self._jobs[job_id] for job_id in job_ids if job_id in self._jobs]

    def _record_successor(self, job: Job, upstream: list[ChainJob]) -> None:
        """Record the job as the successor of the jobs that it depends on, unless they have one."""
        paths = {upstream_job.path for upstream_job in upstream}
        if len(paths) > MAX_FAN_IN:
            paths.clear()
        for upstream_job in upstream:
            if upstream_job.successor is None:
                upstream_job.successor = job
                upstream_job.fan_in = paths - {upstream_job.path}
                self._count(upstream_job)

    def _find_statistics(self, path: Path) -> PathStatistics[SuccessorCounts] | None:
        """Return the statistics of the longest suffix of the path that has any."""
        for start in range(len(path)):
            statistics = self._table.get(path[start:])
            if statistics is not None:
                return statistics
        return None

    def _count(self, job: ChainJob) -> None:
        """Count the job's outcome and successor for every suffix of its path.

        A job is counted only once, and not before it has ended.
        """
        if job.is_counted or job.outcome is None:
            return
        job.is_counted = True
        for start in range(len(job.path)):
            successors = self._table.count(job.path[start:], job.outcome)
            if job.successor is None:
                successors.chain_end_count += 1
            else:
                successors.add(job.successor, job.fan_in)


def _stage(job: Job) -> str:
    return f"{job.spec.team}/{job.spec.job_class}/{job.spec.image}"


def _total_cpus(job: Job) -> float:
    return job.spec.cpus * job.spec.task_count
