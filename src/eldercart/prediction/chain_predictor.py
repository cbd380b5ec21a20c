"""Which job follows along a chain, when its user has not submitted it yet.

The sequence table of the paper (V-A), applied to job dependencies. A stage is a team's class and an
image; the path of a job is its own stage after those of its recent ancestors. There are statistics
for each path, with counted outcomes (done, aborted) and, per outcome, counted successors; that a
chain ended there is counted like a successor.

Submitting a job costs as much as it has dependencies; its end costs the same however many jobs
there are. Nothing is stored: a new leader learns anew.
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

MAX_PATHS = 4096  # beyond, the path counted longest ago is forgotten
SETTLE_DELAY_S = 60.0  # after a job's end: a successor submitted later is no longer expected
MAX_FAN_IN = 16  # paths that a successor is known to await together
MIN_ROOT_JOBS = 3  # jobs counted before one that awaits nothing is expected to begin a chain
SIZE_DECAY = 0.7  # weight of the earlier sizes in the usual size of a successor


@dataclass(slots=True)
class Successor:
    """What is known of the jobs of one pipeline that followed a path."""

    cpus: float  # usual size, in all of its tasks
    spot: bool = True  # the last of them may use spot machines
    count: int = 0
    image_counts: dict[str, int] = field(default_factory=dict)
    # The paths of other jobs that it awaited as well: those expect the same job.
    fan_in: set[Path] = field(default_factory=set)

    def add(self, job: Job, fan_in: set[Path]) -> None:
        """Count one more of them."""
        self.cpus = SIZE_DECAY * self.cpus + (1.0 - SIZE_DECAY) * _total_cpus(job)
        self.spot = job.spec.allows_spot
        self.count += 1
        self.image_counts[job.spec.image] = self.image_counts.get(job.spec.image, 0) + 1
        if len(self.fan_in) < MAX_FAN_IN:
            self.fan_in |= fan_in

    def most_likely_image(self) -> str:
        """Return the image that most of them had."""
        return max(self.image_counts, key=lambda image: (self.image_counts[image], image))


@dataclass(slots=True)
class SuccessorCounts:
    """The successors counted for one outcome of a path."""

    chain_end_count: int = 0  # jobs without a successor
    by_pipeline: dict[Pipeline, Successor] = field(default_factory=dict)

    def add(self, job: Job, fan_in: set[Path]) -> None:
        """Count a successor."""
        pipeline = (job.spec.team, job.spec.job_class)
        successor = self.by_pipeline.setdefault(pipeline, Successor(_total_cpus(job)))
        successor.add(job, fan_in)

    def most_likely_pipeline(self) -> Pipeline | None:
        """Return the usual successor's pipeline; None if most chains ended here, or as many as went
        on."""
        if not self.by_pipeline:
            return None
        best = max(
            self.by_pipeline, key=lambda pipeline: (self.by_pipeline[pipeline].count, pipeline)
        )
        return best if self.by_pipeline[best].count > self.chain_end_count else None


@dataclass(slots=True)
class Chain:
    """Jobs that depend on each other."""

    chain_id: ChainId
    unfinished_jobs: int = 0  # of its submitted jobs


@dataclass(slots=True)
class ChainJob:
    """One submitted job of a chain."""

    job_id: JobId
    path: Path
    depth: int
    chain: Chain
    has_dependencies: bool
    outcome: str | None = None
    settles_at: MonotonicTime = MONOTONIC_ZERO
    successor: Job | None = None  # the first that was submitted
    fan_in: set[Path] = field(default_factory=set)  # of that successor
    is_counted: bool = False


@dataclass(frozen=True, slots=True)
class SuccessorPrediction:
    """A successor to expect once `upstream` has ended."""

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
    """The statistics of paths, and the chains that are under way."""

    def __init__(self, tuning: Tuning) -> None:
        """Nothing is known at first."""
        self._tuning = tuning
        self._table: PathTable[SuccessorCounts] = PathTable(MAX_PATHS, SuccessorCounts)
        self._jobs: dict[JobId, ChainJob] = {}
        self._ended_jobs: deque[ChainJob] = deque()  # in the order of `settles_at`
        self._next_chain_ids = count()

    # -- inputs

    def on_job_submitted(self, job: Job, dependents: Iterable[Job] = ()) -> set[ChainId]:
        """Record a job that was accepted, whether it waits for others or not; after a failover it
        may be learned of after its `dependents`. Return the chains that it continues."""
        if job.id in self._jobs:
            return set()
        upstream = self._known_jobs(job.spec.dependencies)
        self._record_successor(job, upstream)
        deepest = max(upstream, key=lambda known: known.depth, default=None)  # of equals the first
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
        return {known.chain.chain_id for known in upstream}

    def on_job_ended(self, job_id: JobId, outcome: str, now: MonotonicTime) -> ChainId | None:
        """Record the durable end of a job and return its chain, if it is known. Its successor may
        still be submitted for a while."""
        job = self._jobs.get(job_id)
        if job is None or job.outcome is not None:
            return None
        job.outcome = outcome
        job.chain.unfinished_jobs -= 1
        job.settles_at = MonotonicTime(now + SETTLE_DELAY_S)
        self._ended_jobs.append(job)
        if job.successor is not None:
            self._count(job)
        return job.chain.chain_id

    def settle_ended_chains(self, now: MonotonicTime) -> None:
        """Count the chains that nobody went on with as ended where they are."""
        while self._ended_jobs and self._ended_jobs[0].settles_at <= now:
            job = self._ended_jobs.popleft()
            del self._jobs[job.job_id]
            self._count(job)

    # -- predictions

    def predict_successors(self, ending: dict[JobId, float]) -> list[SuccessorPrediction]:
        """Return one prediction for each chain of which all unfinished jobs are `ending`, by the
        seconds left, if a successor is likely. Of a fan-in only the job that ends last counts."""
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
        """Return what follows the path; None if nothing does, if nothing is known, or if its
        outcome is between the two thresholds."""
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
            return None  # one that awaits nothing may well be independent
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
        """Record the job as the successor of those that it awaits."""
        paths = {known.path for known in upstream}
        if len(paths) > MAX_FAN_IN:
            paths.clear()
        for known in upstream:
            if known.successor is None:
                known.successor = job
                known.fan_in = paths - {known.path}
                self._count(known)

    def _find_statistics(self, path: Path) -> PathStatistics[SuccessorCounts] | None:
        """Return the statistics of the path or, if it is new, of its longest known end."""
        for start in range(len(path)):
            statistics = self._table.get(path[start:])
            if statistics is not None:
                return statistics
        return None

    def _count(self, job: ChainJob) -> None:
        """Count once what the job's end and its successor were, for all ends of its path; nothing
        before its end."""
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
