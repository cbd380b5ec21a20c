"""Predicts the next job in a stream of independent jobs.

This follows the sequence table of the SpecFaaS paper, section V-A ("SpecFaaS: Accelerating
Serverless Applications with Speculative Function Execution"). A pipeline is the stream of one
team's jobs of one class. Its nodes are images, and its branches are the outcomes of the upstream
job (done or aborted). The statistics of a path of recent images count the outcomes and, for each
outcome, the images that followed.
"""

from collections import deque
from dataclasses import dataclass, field

from eldercart.jobs.job import Job
from eldercart.prediction.path_statistics import Path, PathTable
from eldercart.prediction.soft_reservations import Pipeline
from eldercart.settings import Tuning
from eldercart.units import JobId

MAX_PATHS = 512  # paths in a pipeline's table; beyond that, the least recently counted is evicted
MAX_RECENT_JOBS = 64  # latest jobs of each pipeline; the end of an older job is not counted
SIZE_DECAY = 0.7  # weight of the earlier sizes in the average size of an image's jobs

ImageCounts = dict[str, int]  # number of jobs that followed a path, by image


@dataclass(slots=True)
class StreamJob:
    """One job of a stream: its path, its outcome, and its successor's image once known."""

    job_id: JobId
    path: Path
    outcome: str | None = None
    successor_image: str | None = None
    is_counted: bool = False


def _new_table() -> PathTable[ImageCounts]:
    return PathTable(MAX_PATHS, dict)


@dataclass(slots=True)
class Stream:
    """Statistics and recent jobs of one team and class, for independent jobs only."""

    table: PathTable[ImageCounts] = field(default_factory=_new_table)
    recent_images: deque[str] = field(default_factory=deque)
    recent_jobs: deque[StreamJob] = field(default_factory=deque)
    average_cpus: dict[str, float] = field(default_factory=dict)  # size of a job, by its image
    spot: bool = True  # whether the latest job may use spot machines

    def count(self, job: StreamJob) -> None:
        """Count the job once both its outcome and its successor are known."""
        if job.is_counted or job.outcome is None or job.successor_image is None:
            return
        job.is_counted = True
        image_counts = self.table.count(job.path, job.outcome)
        image_counts[job.successor_image] = image_counts.get(job.successor_image, 0) + 1


@dataclass(frozen=True, slots=True)
class ExpectedJob:
    """The next job that is expected in a stream."""

    image: str
    cpus: float
    spot: bool  # whether the job may use spot machines


class StreamPredictor:
    """Owns the streams of all teams and classes."""

    def __init__(self, tuning: Tuning) -> None:
        """Create a predictor without statistics."""
        self._tuning = tuning
        self._streams: dict[Pipeline, Stream] = {}

    def on_job_ready(self, job: Job) -> None:
        """Record that a job without dependencies may start: it is the next one of its stream."""
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
        average_cpus = stream.average_cpus.get(spec.image, cpus)
        stream.average_cpus[spec.image] = SIZE_DECAY * average_cpus + (1.0 - SIZE_DECAY) * cpus
        stream.spot = spec.allows_spot

    def on_job_ended(self, job: Job, outcome: str) -> None:
        """Record the persisted end of a job of a stream."""
        stream = self._streams.get((job.spec.team, job.spec.job_class))
        if stream is None:
            return
        for recent in stream.recent_jobs:
            if recent.job_id == job.id:
                recent.outcome = outcome
                stream.count(recent)
                return

    def predict_image(self, pipeline: Pipeline, path: Path) -> str | None:
        """Return the image that most likely follows the path.

        Return None if there are no statistics, or if the path's success ratio is between the two
        thresholds.
        """
        stream = self._streams.get(pipeline)
        statistics = stream.table.get(path) if stream is not None else None
        if statistics is None:
            return None
        image_counts = statistics.expected_successors(self._tuning)
        if not image_counts:
            return None
        return max(image_counts, key=lambda image: (image_counts[image], image))

    def predict_successor(self, job: Job) -> ExpectedJob | None:
        """Return the job expected after this one; None if it isn't recent or nothing is likely."""
        pipeline = (job.spec.team, job.spec.job_class)
        stream = self._streams.get(pipeline)
        if stream is None:
            return None
        path = next((recent.path for recent in stream.recent_jobs if recent.job_id == job.id), None)
        image = self.predict_image(pipeline, path) if path is not None else None
        if image is None:
            return None
        return ExpectedJob(image, stream.average_cpus.get(image, 0.0), stream.spot)
