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

from eldercart.jobs.registry import Job
from eldercart.prediction.soft_reservations import ChainNumber, Path, Pipeline
from eldercart.settings import Tuning
from eldercart.units import CLOCK_ZERO, JobId, Steady
from eldercart.wire.users import CANCELLED, DONE

MAX_PATHS = 4096  # beyond, the path counted longest ago is forgotten
SETTLED_S = 60.0  # after a job's end: a successor submitted later is no longer expected
MAX_FAN_IN = 16  # paths that a successor is known to await together
ROOT_CHAINS = 3  # jobs counted before one that awaits nothing is expected to begin a chain
SIZE_MEMORY = 0.7  # weight of the earlier sizes in the usual size of a successor
_ENDS_HERE = None  # as a successor: none came


@dataclass(slots=True)
class Successor:
    """What is known of the jobs of one pipeline that followed a path."""

    cpus: float  # usual size, in all of its tasks
    spot: bool = True
    count: int = 0
    images: dict[str, int] = field(default_factory=dict)
    # The paths of other jobs that it awaited as well: those expect the same job.
    fan_in: set[Path] = field(default_factory=set)

    def add(self, job: Job, fan_in: set[Path]) -> None:
        """One more of them."""
        cpus = _size(job)
        self.cpus = SIZE_MEMORY * self.cpus + (1.0 - SIZE_MEMORY) * cpus
        self.spot = job.spec.spot
        self.count += 1
        self.images[job.spec.image] = self.images.get(job.spec.image, 0) + 1
        if len(self.fan_in) < MAX_FAN_IN:
            self.fan_in |= fan_in

    def likeliest_image(self) -> str:
        """The image that most of them had."""
        return max(self.images, key=lambda image: (self.images[image], image))


@dataclass(slots=True)
class Successors:
    """The successors counted for one outcome of a path."""

    ended_here: int = 0
    by_pipeline: dict[Pipeline, Successor] = field(default_factory=dict)

    def likeliest(self) -> Pipeline | None:
        """The usual successor; None if most chains ended here, or as many as went on."""
        if not self.by_pipeline:
            return _ENDS_HERE
        best = max(self.by_pipeline, key=lambda p: (self.by_pipeline[p].count, p))
        return best if self.by_pipeline[best].count > self.ended_here else _ENDS_HERE


@dataclass(slots=True)
class SubEntry:
    """What was counted for one path."""

    outcomes: dict[str, int] = field(default_factory=dict)
    successors: dict[str, Successors] = field(default_factory=dict)  # by outcome

    @property
    def jobs(self) -> int:
        """How many jobs were counted."""
        return sum(self.outcomes.values())

    def share_done(self) -> float:
        """The share of jobs with this path that ended done."""
        return self.outcomes.get(DONE, 0) / self.jobs


@dataclass(slots=True)
class Chain:
    """Jobs that depend on each other."""

    number: ChainNumber
    unfinished: int = 0  # of its submitted jobs


@dataclass(slots=True)
class Node:
    """One submitted job of a chain."""

    job: JobId
    path: Path
    depth: int
    chain: Chain
    has_dependencies: bool
    outcome: str | None = None
    settled_at: Steady = CLOCK_ZERO
    successor: Job | None = None  # the first that was submitted
    fan_in: set[Path] = field(default_factory=set)  # of that successor
    counted: bool = False


@dataclass(frozen=True, slots=True)
class Prediction:
    """A successor to expect once `upstream` has ended."""

    chain: ChainNumber
    upstream: JobId
    path: Path
    ends_in: float
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
        self._table: dict[Path, SubEntry] = {}
        self._nodes: dict[JobId, Node] = {}
        self._ended: deque[Node] = deque()  # in the order of `settled_at`
        self._numbers = count()

    # -- inputs

    def submitted(self, job: Job, dependents: Iterable[Job] = ()) -> set[ChainNumber]:
        """A job that was accepted, whether it waits for others or not; after a change of leader it
        may be learned of after its `dependents`. The chains that it continues are returned."""
        if job.id in self._nodes:
            return set()
        before = self._known(job.spec.dependencies)
        self._follow(job, before)
        nearest = max(before, key=lambda node: node.depth, default=None)  # of equals the first
        chain = nearest.chain if nearest is not None else Chain(next(self._numbers))
        chain.unfinished += 1
        path = (*(nearest.path if nearest is not None else ()), _stage(job))
        self._nodes[job.id] = Node(
            job=job.id,
            path=path[-self._tuning.path_length :],
            depth=nearest.depth + 1 if nearest is not None else 0,
            chain=chain,
            has_dependencies=bool(job.spec.dependencies),
            successor=next(iter(dependents), None),
        )
        return {node.chain.number for node in before}

    def ended(self, job: JobId, outcome: str, now: Steady) -> ChainNumber | None:
        """The durable end of a job, of the chain returned. Its successor may still be submitted
        for a while."""
        node = self._nodes.get(job)
        if node is None or node.outcome is not None:
            return None
        node.outcome = outcome
        node.chain.unfinished -= 1
        node.settled_at = Steady(now + SETTLED_S)
        self._ended.append(node)
        if node.successor is not None:
            self._count(node)
        return node.chain.number

    def settle(self, now: Steady) -> None:
        """Chains that nobody went on with have ended where they are."""
        while self._ended and self._ended[0].settled_at <= now:
            node = self._ended.popleft()
            del self._nodes[node.job]
            self._count(node)

    # -- predictions

    def predictions(self, ending: dict[JobId, float]) -> list[Prediction]:
        """One for each chain of which all unfinished jobs are `ending`, with the seconds left, if
        a successor is likely. Of a fan-in only the job that ends last counts."""
        last: dict[ChainNumber, Node] = {}
        found: dict[ChainNumber, int] = {}
        for job, left in ending.items():
            node = self._nodes.get(job)
            if node is None:
                continue
            chain = node.chain.number
            found[chain] = found.get(chain, 0) + 1
            if chain not in last or ending[last[chain].job] < left:
                last[chain] = node
        predictions = []
        for chain, node in last.items():
            if found[chain] != node.chain.unfinished or node.successor is not None:
                continue
            prediction = self._prediction(node, ending[node.job])
            if prediction is not None:
                predictions.append(prediction)
        return predictions

    def predict(self, path: Path) -> tuple[Pipeline, Successor] | None:
        """What follows the path; None if nothing does, if nothing is known, or if its outcome is
        between the two thresholds."""
        entry = self._entry(path)
        if entry is None:
            return None
        share = entry.share_done()
        if share >= self._tuning.predict_high:
            successors = entry.successors.get(DONE)
        elif share <= self._tuning.predict_low:
            successors = entry.successors.get(CANCELLED)
        else:
            return None
        pipeline = successors.likeliest() if successors is not None else None
        if successors is None or pipeline is None:
            return None
        return pipeline, successors.by_pipeline[pipeline]

    # -- steps

    def _known(self, jobs: Iterable[JobId]) -> list[Node]:
        return [self._nodes[job] for job in jobs if job in self._nodes]

    def _follow(self, job: Job, before: list[Node]) -> None:
        """Notes the job as the successor of those that it awaits."""
        paths = {node.path for node in before}
        if len(paths) > MAX_FAN_IN:
            paths.clear()
        for node in before:
            if node.successor is None:
                node.successor = job
                node.fan_in = paths - {node.path}
                self._count(node)

    def _entry(self, path: Path) -> SubEntry | None:
        """The sub-entry of the path or, if it is new, of its longest known end."""
        for start in range(len(path)):
            entry = self._table.get(path[start:])
            if entry is not None:
                return entry
        return None

    def _count(self, node: Node) -> None:
        """Counts once what the job's end and its successor were; nothing before its end."""
        if node.counted or node.outcome is None:
            return
        node.counted = True
        for start in range(len(node.path)):
            self._count_path(node.path[start:], node, node.outcome)

    def _count_path(self, path: Path, node: Node, outcome: str) -> None:
        entry = self._table.pop(path, None) or SubEntry()
        self._table[path] = entry  # the last one to be forgotten
        if len(self._table) > MAX_PATHS:
            del self._table[next(iter(self._table))]
        entry.outcomes[outcome] = entry.outcomes.get(outcome, 0) + 1
        successors = entry.successors.setdefault(outcome, Successors())
        if node.successor is None:
            successors.ended_here += 1
            return
        spec = node.successor.spec
        known = successors.by_pipeline.setdefault(
            (spec.team, spec.klass), Successor(_size(node.successor))
        )
        known.add(node.successor, node.fan_in)

    def _prediction(self, node: Node, ends_in: float) -> Prediction | None:
        entry = self._entry(node.path)
        if entry is None or (entry.jobs < ROOT_CHAINS and not node.has_dependencies):
            return None  # one that awaits nothing may well be independent
        predicted = self.predict(node.path)
        if predicted is None:
            return None
        pipeline, successor = predicted
        return Prediction(
            chain=node.chain.number,
            upstream=node.job,
            path=node.path,
            ends_in=ends_in,
            pipeline=pipeline,
            image=successor.likeliest_image(),
            cpus=successor.cpus,
            spot=successor.spot,
            fan_in=frozenset(successor.fan_in),
        )


def _stage(job: Job) -> str:
    return f"{job.spec.team}/{job.spec.klass}/{job.spec.image}"


def _size(job: Job) -> float:
    return job.spec.cpus * job.spec.tasks
