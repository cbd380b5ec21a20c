"""Which job follows in a stream of independent jobs.

After the paper's sequence table (V-A): a pipeline is the stream of one team's jobs of one class,
its nodes are images, and a branch is whether the upstream job is done or aborted. There are
statistics for each path of recent images, with counted outcomes and, per outcome, the counted
images that followed.
"""

from collections import deque
from dataclasses import dataclass, field

from eldercart.jobs.job import Job
from eldercart.prediction.path_statistics import Path, PathTable
from eldercart.prediction.soft_reservations import Pipeline
from eldercart.settings import Tuning
from eldercart.units import JobId

MAX_PATHS = 512  # of a pipeline; beyond, the path counted longest ago is forgotten
MAX_RECENT_JOBS = 64  # of a pipeline, whose successor may still be unknown
SIZE_DECAY = 0.7  # weight of the earlier sizes in the usual size of an image's jobs

ImageCounts = dict[str, int]  # how many jobs with an image followed a path


@dataclass(slots=True)
class StreamJob:
    """One job of a stream: its path, and what is known of its end and its successor."""

    job_id: JobId
    path: Path
    outcome: str | None = None
    successor_image: str | None = None
    is_counted: bool = False


def _new_table() -> PathTable[ImageCounts]:
    return PathTable(MAX_PATHS, dict)


@dataclass(slots=True)
class Stream:
    """The independent jobs of one team's class."""

    table: PathTable[ImageCounts] = field(default_factory=_new_table)
    recent_images: deque[str] = field(default_factory=deque)
    recent_jobs: deque[StreamJob] = field(default_factory=deque)
    usual_cpus: dict[str, float] = field(default_factory=dict)  # of a job with that image
    spot: bool = True  # the last job may use spot machines

    def count(self, job: StreamJob) -> None:
        """Count the job once both its outcome and its successor are known."""
        if job.is_counted or job.outcome is None or job.successor_image is None:
            return
        job.is_counted = True
        image_counts = self.table.count(job.path, job.outcome)
        image_counts[job.successor_image] = image_counts.get(job.successor_image, 0) + 1


@dataclass(frozen=True, slots=True)
class ExpectedJob:
    """The next job to expect in a stream."""

    image: str
    cpus: float
    spot: bool  # it may use spot machines


class StreamPredictor:
    """The streams of all teams and classes."""

    def __init__(self, tuning: Tuning) -> None:
        """Nothing is known at first."""
        self._tuning = tuning
        self._streams: dict[Pipeline, Stream] = {}

    def on_job_ready(self, job: Job) -> None:
        """Record a job without dependencies as the next of its stream."""
        spec = job.spec
        stream = self._streams.setdefault((spec.team, spec.job_class), Stream())
        if stream.recent_jobs:
            previous = stream.recent_jobs[-1]
            previous.successor_image = spec.image
            stream.count(previous)
        stream.recent_images.append(spec.image)
        while len(stream.recent_images) > self._tuning.path_length:
            stream.recent_images.popleft()
        stream.recent_jobs.append(StreamJob(job.id, tuple(stream.recent_images)))
        while len(stream.recent_jobs) > MAX_RECENT_JOBS:
            stream.recent_jobs.popleft()
        cpus = spec.cpus * spec.task_count
        usual_cpus = stream.usual_cpus.get(spec.image, cpus)
        stream.usual_cpus[spec.image] = SIZE_DECAY * usual_cpus + (1.0 - SIZE_DECAY) * cpus
        stream.spot = spec.allows_spot

    def on_job_ended(self, job: Job, outcome: str) -> None:
        """Record the durable end of a job of a stream."""
        stream = self._streams.get((job.spec.team, job.spec.job_class))
        if stream is None:
            return
        for recent in stream.recent_jobs:
            if recent.job_id == job.id:
                recent.outcome = outcome
                stream.count(recent)
                return

    def predict_image(self, pipeline: Pipeline, path: Path) -> str | None:
        """Return the image that most likely follows the path; None if nothing is known or the
        path's outcome is between the two thresholds."""
        stream = self._streams.get(pipeline)
        statistics = stream.table.get(path) if stream is not None else None
        if statistics is None:
            return None
        image_counts = statistics.expected_successors(self._tuning)
        if not image_counts:
            return None
        return max(image_counts, key=lambda image: (image_counts[image], image))

    def predict_successor(self, job: Job) -> ExpectedJob | None:
        """Return what follows the job in its stream, if it is one of the recent jobs there."""
        pipeline = (job.spec.team, job.spec.job_class)
        stream = self._streams.get(pipeline)
        if stream is None:
            return None
        path = next((recent.path for recent in stream.recent_jobs if recent.job_id == job.id), None)
        image = self.predict_image(pipeline, path) if path is not None else None
        if image is None:
            return None
        return ExpectedJob(image, stream.usual_cpus.get(image, 0.0), stream.spot)
