"""Which job follows along a chain, when its user has not submitted it yet.

The sequence table of the paper (V-A), applied to job dependencies. A stage is a team's class and an
image; the path of a job is its own stage after those of its recent ancestors. There is one
sub-entry per path, with counted outcomes (done, aborted) and, per outcome, counted successors; that
a chain ended there is counted like a successor. Only what has really happened is counted (V-E).

Submitting a job costs as much as it has dependencies; its end costs the same however many jobs
there are. Nothing is stored: a new leader learns anew.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from itertools import count

from eldercart.jobs.job import Job
from eldercart.prediction.soft_reservations import ChainId, Path, Pipeline
from eldercart.settings import Tuning
from eldercart.units import MONOTONIC_ZERO, JobId, MonotonicTime
from eldercart.wire.users import CANCELLED, DONE

MAX_PATHS = 4096  # beyond, the path counted longest ago is forgotten
SETTLE_DELAY_S = 60.0  # after a job's end: a successor submitted later is no longer expected
MAX_FAN_IN = 16  # paths that a successor is known to await together
MIN_ROOT_JOBS = 3  # jobs counted before one that awaits nothing is expected to begin a chain
SIZE_DECAY = 0.7  # weight of the earlier sizes in the usual size of a successor
_CHAIN_ENDS = None  # as a successor: none came


@dataclass(slots=True)
class Successor:
    """What is known of the jobs of one pipeline that followed a path."""

    cpus: float  # usual size, in all of its tasks
    spot: bool = True
    count: int = 0
    image_counts: dict[str, int] = field(default_factory=dict)
    # The paths of other jobs that it awaited as well: those expect the same job.
    fan_in: set[Path] = field(default_factory=set)

    def add(self, job: Job, fan_in: set[Path]) -> None:
        """One more of them."""
        cpus = _total_cpus(job)
        self.cpus = SIZE_DECAY * self.cpus + (1.0 - SIZE_DECAY) * cpus
        self.spot = job.spec.allows_spot
        self.count += 1
        self.image_counts[job.spec.image] = self.image_counts.get(job.spec.image, 0) + 1
        if len(self.fan_in) < MAX_FAN_IN:
            self.fan_in |= fan_in

    def most_likely_image(self) -> str:
        """The image that most of them had."""
        return max(self.image_counts, key=lambda image: (self.image_counts[image], image))


@dataclass(slots=True)
class SuccessorCounts:
    """The successors counted for one outcome of a path."""

    chain_end_count: int = 0
    by_pipeline: dict[Pipeline, Successor] = field(default_factory=dict)

    def most_likely_pipeline(self) -> Pipeline | None:
        """The usual successor; None if most chains ended here, or as many as went on."""
        if not self.by_pipeline:
            return _CHAIN_ENDS
        best = max(self.by_pipeline, key=lambda p: (self.by_pipeline[p].count, p))
        return best if self.by_pipeline[best].count > self.chain_end_count else _CHAIN_ENDS


@dataclass(slots=True)
class PathStatistics:
    """What was counted for one path."""

    outcome_counts: dict[str, int] = field(default_factory=dict)
    successors: dict[str, SuccessorCounts] = field(default_factory=dict)  # by outcome

    @property
    def job_count(self) -> int:
        """How many jobs were counted."""
        return sum(self.outcome_counts.values())

    def success_ratio(self) -> float:
        """The share of jobs with this path that ended done."""
        return self.outcome_counts.get(DONE, 0) / self.job_count


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
    """Owns the table of paths and the chains that are under way."""

    def __init__(self, tuning: Tuning) -> None:
        """Starts without knowledge."""
        self._tuning = tuning
        self._statistics: dict[Path, PathStatistics] = {}
        self._jobs: dict[JobId, ChainJob] = {}
        self._ended_jobs: deque[ChainJob] = deque()  # in the order of `settled_at`
        self._next_chain_ids = count()

    # -- inputs

    def on_job_submitted(self, job: Job, dependents: Iterable[Job] = ()) -> set[ChainId]:
        """A job that was accepted, whether it waits for others or not; after a change of leader it
        may be learned of after its `dependents`. The chains that it continues are returned."""
        if job.id in self._jobs:
            return set()
        before = self._known_jobs(job.spec.dependencies)
        self._record_successor(job, before)
        nearest = max(before, key=lambda node: node.depth, default=None)  # of equals the first
        chain = nearest.chain if nearest is not None else Chain(next(self._next_chain_ids))
        chain.unfinished_jobs += 1
        path = (*(nearest.path if nearest is not None else ()), _stage(job))
        self._jobs[job.id] = ChainJob(
            job_id=job.id,
            path=path[-self._tuning.path_length :],
            depth=nearest.depth + 1 if nearest is not None else 0,
            chain=chain,
            has_dependencies=bool(job.spec.dependencies),
            successor=next(iter(dependents), None),
        )
        return {node.chain.chain_id for node in before}

    def on_job_ended(self, job: JobId, outcome: str, now: MonotonicTime) -> ChainId | None:
        """The durable end of a job, of the chain returned. Its successor may still be submitted
        for a while."""
        node = self._jobs.get(job)
        if node is None or node.outcome is not None:
            return None
        node.outcome = outcome
        node.chain.unfinished_jobs -= 1
        node.settles_at = MonotonicTime(now + SETTLE_DELAY_S)
        self._ended_jobs.append(node)
        if node.successor is not None:
            self._count_outcome(node)
        return node.chain.chain_id

    def settle_ended_chains(self, now: MonotonicTime) -> None:
        """Chains that nobody went on with have ended where they are."""
        while self._ended_jobs and self._ended_jobs[0].settles_at <= now:
            node = self._ended_jobs.popleft()
            del self._jobs[node.job_id]
            self._count_outcome(node)

    # -- predictions

    def predict_successors(self, ending: dict[JobId, float]) -> list[SuccessorPrediction]:
        """One for each chain of which all unfinished jobs are `ending`, with the seconds left, if
        a successor is likely. Of a fan-in only the job that ends last counts."""
        last: dict[ChainId, ChainJob] = {}
        found: dict[ChainId, int] = {}
        for job, left in ending.items():
            node = self._jobs.get(job)
            if node is None:
                continue
            chain = node.chain.chain_id
            found[chain] = found.get(chain, 0) + 1
            if chain not in last or ending[last[chain].job_id] < left:
                last[chain] = node
        predictions = []
        for chain, node in last.items():
            if found[chain] != node.chain.unfinished_jobs or node.successor is not None:
                continue
            prediction = self._predict_successor(node, ending[node.job_id])
            if prediction is not None:
                predictions.append(prediction)
        return predictions

    def predict(self, path: Path) -> tuple[Pipeline, Successor] | None:
        """What follows the path; None if nothing does, if nothing is known, or if its outcome is
        between the two thresholds."""
        entry = self._find_statistics(path)
        if entry is None:
            return None
        share = entry.success_ratio()
        if share >= self._tuning.predict_high:
            successors = entry.successors.get(DONE)
        elif share <= self._tuning.predict_low:
            successors = entry.successors.get(CANCELLED)
        else:
            return None
        pipeline = successors.most_likely_pipeline() if successors is not None else None
        if successors is None or pipeline is None:
            return None
        return pipeline, successors.by_pipeline[pipeline]

    # -- steps

    def _known_jobs(self, jobs: Iterable[JobId]) -> list[ChainJob]:
        return [self._jobs[job] for job in jobs if job in self._jobs]

    def _record_successor(self, job: Job, before: list[ChainJob]) -> None:
        """Notes the job as the successor of those that it awaits."""
        paths = {node.path for node in before}
        if len(paths) > MAX_FAN_IN:
            paths.clear()
        for node in before:
            if node.successor is None:
                node.successor = job
                node.fan_in = paths - {node.path}
                self._count_outcome(node)

    def _find_statistics(self, path: Path) -> PathStatistics | None:
        """The sub-entry of the path or, if it is new, of its longest known end."""
        for start in range(len(path)):
            entry = self._statistics.get(path[start:])
            if entry is not None:
                return entry
        return None

    def _count_outcome(self, node: ChainJob) -> None:
        """Counts once what the job's end and its successor were; nothing before its end."""
        if node.is_counted or node.outcome is None:
            return
        node.is_counted = True
        for start in range(len(node.path)):
            self._count_path(node.path[start:], node, node.outcome)

    def _count_path(self, path: Path, node: ChainJob, outcome: str) -> None:
        entry = self._statistics.pop(path, None) or PathStatistics()
        self._statistics[path] = entry  # the last one to be forgotten
        if len(self._statistics) > MAX_PATHS:
            del self._statistics[next(iter(self._statistics))]
        entry.outcome_counts[outcome] = entry.outcome_counts.get(outcome, 0) + 1
        successors = entry.successors.setdefault(outcome, SuccessorCounts())
        if node.successor is None:
            successors.chain_end_count += 1
            return
        spec = node.successor.spec
        known = successors.by_pipeline.setdefault(
            (spec.team, spec.job_class), Successor(_total_cpus(node.successor))
        )
        known.add(node.successor, node.fan_in)

    def _predict_successor(self, node: ChainJob, ends_in: float) -> SuccessorPrediction | None:
        entry = self._find_statistics(node.path)
        if entry is None or (entry.job_count < MIN_ROOT_JOBS and not node.has_dependencies):
            return None  # one that awaits nothing may well be independent
        predicted = self.predict(node.path)
        if predicted is None:
            return None
        pipeline, successor = predicted
        return SuccessorPrediction(
            chain_id=node.chain.chain_id,
            upstream=node.job_id,
            path=node.path,
            ends_in_s=ends_in,
            pipeline=pipeline,
            image=successor.most_likely_image(),
            cpus=successor.cpus,
            spot=successor.spot,
            fan_in=frozenset(successor.fan_in),
        )


def _stage(job: Job) -> str:
    return f"{job.spec.team}/{job.spec.job_class}/{job.spec.image}"


def _total_cpus(job: Job) -> float:
    return job.spec.cpus * job.spec.task_count
