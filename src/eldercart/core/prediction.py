"""What will be needed soon: the branch predictor, soft bookings, and how long jobs really run.

After the paper's sequence table (V-A): a pipeline is the stream of one team's jobs of one class,
its nodes are images, and a branch is whether the upstream job is done or aborted. There is one
sub-entry per path of recent images, with counted outcomes and, per outcome, counted successors.
Nothing runs early: a booking only holds room, softly.
"""

import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from eldercart.core.jobs import Job
from eldercart.settings import Tuning
from eldercart.units import JobId, Steady
from eldercart.wire.users import CANCELLED, DONE

log = logging.getLogger("eldercart.prediction")

Path = tuple[str, ...]
Pipeline = tuple[str, str]  # team and class
MAX_PATHS = 512  # a pipeline; beyond, the path seen longest ago is forgotten
LONGEST = 1.4  # the longest task of a job against its mean, as seen
LAUNCH_S = 3.0
KEEP = 64  # jobs of a pipeline whose successor may still be unknown


@dataclass(slots=True)
class SubEntry:
    outcomes: dict[str, int] = field(default_factory=dict)
    successors: dict[str, dict[str, int]] = field(default_factory=dict)

    def share_done(self) -> float | None:
        total = sum(self.outcomes.values())
        return self.outcomes.get(DONE, 0) / total if total else None

    def likeliest(self, outcome: str) -> str | None:
        counts = self.successors.get(outcome)
        return max(counts, key=lambda image: (counts[image], image)) if counts else None


@dataclass(slots=True)
class Booking:
    pipeline: Pipeline
    upstream: JobId
    image: str
    cpus: float
    spot: bool
    until: Steady
    successor: JobId | None = None  # submitted already: nothing had to be guessed


@dataclass(slots=True)
class Seen:
    """One job of a stream: its path, and what is known of its end and its successor."""

    job: JobId
    path: Path
    outcome: str | None = None
    successor: str | None = None
    counted: bool = False


@dataclass(slots=True)
class Stream:
    table: dict[Path, SubEntry] = field(default_factory=dict)
    recent: deque[str] = field(default_factory=deque)
    seen: deque[Seen] = field(default_factory=deque)
    cpus: dict[str, float] = field(default_factory=dict)  # image -> usual size of its jobs
    spot: bool = True


@dataclass(slots=True)
class Pace:
    """How run times compare with the owners' estimates, per class; recent ones weigh more."""

    ran: float = 0.0
    estimated: float = 0.0

    def add(self, ran: float, estimate: float) -> None:
        self.ran = self.ran * 0.98 + ran
        self.estimated = self.estimated * 0.98 + estimate

    def ratio(self) -> float:
        if self.estimated < 1.0:
            return 1.0
        return min(4.0, max(0.2, self.ran / self.estimated))


class Predictor:
    """Owns the tables and the bookings."""

    def __init__(self, tuning: Tuning) -> None:
        self._tuning = tuning
        self._streams: dict[Pipeline, Stream] = {}
        self._paces: dict[str, Pace] = {}
        self.bookings: list[Booking] = []
        self.hits = self.misses = self.unused = 0

    # -- run times

    def ran(self, job: Job, seconds: float) -> None:
        if seconds > 0 and job.spec.estimate_s > 0:
            self._paces.setdefault(job.spec.klass, Pace()).add(seconds, job.spec.estimate_s)

    def run_s(self, job: Job) -> float:
        """The run time of one of the job's tasks, as far as can be told."""
        if len(job.ran) >= 3:
            return sum(job.ran) / len(job.ran)
        pace = self._paces.get(job.spec.klass)
        return job.spec.estimate_s * (pace.ratio() if pace else 1.0)

    def longest_s(self, job: Job) -> float:
        """How long the job's last task takes once it is launched: tasks of one job differ, and
        the job is done only with the longest; report, launch and fetch come on top."""
        longest = job.longest if len(job.ran) >= 3 else LONGEST * self.run_s(job)
        return max(longest, LONGEST * self.run_s(job)) + LAUNCH_S

    def paces(self) -> dict[str, tuple[float, float]]:
        return {klass: (round(p.ran, 1), round(p.estimated, 1)) for klass, p in self._paces.items()}

    def recall_paces(self, paces: dict[str, tuple[float, float]]) -> None:
        for klass, (ran, estimated) in paces.items():
            self._paces.setdefault(klass, Pace(ran, estimated))

    # -- the stream

    def arrived(self, job: Job, now: Steady) -> None:
        spec = job.spec
        stream = self._streams.setdefault((spec.team, spec.klass), Stream())
        if stream.seen:
            before = stream.seen[-1]
            before.successor = spec.image
            self._count(stream, before)
        self._resolve(job)
        stream.recent.append(spec.image)
        while len(stream.recent) > self._tuning.path_length:
            stream.recent.popleft()
        stream.seen.append(Seen(job.id, tuple(stream.recent)))
        while len(stream.seen) > KEEP:
            stream.seen.popleft()
        size = spec.cpus * spec.tasks
        stream.cpus[spec.image] = 0.7 * stream.cpus.get(spec.image, size) + 0.3 * size
        stream.spot = spec.spot

    def ended(self, job: Job, outcome: str) -> None:
        stream = self._streams.get((job.spec.team, job.spec.klass))
        if stream is None:
            return
        for seen in stream.seen:
            if seen.job == job.id:
                seen.outcome = outcome
                self._count(stream, seen)
                return

    def _count(self, stream: Stream, seen: Seen) -> None:
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

    def depth(self, booked_share: float) -> int:
        t = self._tuning
        if booked_share > t.load_much:
            return int(t.depth_full)
        return int(t.depth_loaded if booked_share > t.load_some else t.depth)

    def prepare(self, job: Job, ends_in: float, boot_s: float, load: float, now: Steady) -> None:
        """Books room for the job's successor about one boot before the job's estimated end."""
        if ends_in > boot_s:
            return
        pipeline = (job.spec.team, job.spec.klass)
        stream = self._streams.get(pipeline)
        if stream is None:
            return
        mine = [b for b in self.bookings if b.pipeline == pipeline]
        if len(mine) >= self.depth(load) or any(b.upstream == job.id for b in mine):
            return
        seen = next((s for s in stream.seen if s.job == job.id), None)
        if seen is None:
            return
        image = self.predict(*pipeline, seen.path)
        if image is None:
            return
        until = Steady(now + max(ends_in, 0.0) + boot_s)
        booking = Booking(pipeline, job.id, image, stream.cpus.get(image, 0.0), stream.spot, until)
        self.bookings.append(booking)
        log.debug("booked pipeline=%s/%s image=%s cpus=%g", *pipeline, image, booking.cpus)

    def prepare_submitted(
        self, after: Job, cpus: float, upstream: JobId, ends_in: float, boot_s: float, load: float,
        now: Steady,
    ) -> None:  # fmt: skip
        """The same for a successor that is submitted already and waits for that job last: its room
        is booked, as deep as the load allows, without a guess."""
        spec = after.spec
        pipeline = (spec.team, spec.klass)
        mine = [b for b in self.bookings if b.pipeline == pipeline]
        if len(mine) >= self.depth(load) or any(b.successor == after.id for b in mine):
            return
        until = Steady(now + max(ends_in, 0.0) + boot_s)
        self.bookings.append(
            Booking(pipeline, upstream, spec.image, cpus, spec.spot, until, after.id)
        )
        log.debug("booked job=%s image=%s cpus=%g", after.id, spec.image, cpus)

    def returned(self, job: JobId) -> None:
        """The successor will not come: its room is returned."""
        kept = [b for b in self.bookings if b.successor != job]
        self.misses += len(self.bookings) - len(kept)
        self.bookings = kept

    def _resolve(self, job: Job) -> None:
        """A job has arrived, or is ready: it takes the booking made for it or its image; if there
        is none, the oldest guess of the pipeline was a miss and its room is returned."""
        pipeline = (job.spec.team, job.spec.klass)
        mine = [b for b in self.bookings if b.pipeline == pipeline]
        own = next((b for b in mine if b.successor == job.id), None)
        mine = [own] if own is not None else [b for b in mine if b.successor is None]
        if not mine:
            return
        hit = own or next((b for b in mine if b.image == job.spec.image), None)
        if hit is not None:
            self.hits += 1
        else:
            self.misses += 1
        self.bookings.remove(hit or mine[0])

    def expire(self, now: Steady) -> None:
        kept = [b for b in self.bookings if b.until > now]
        self.unused += len(self.bookings) - len(kept)
        self.bookings = kept

    def booked(self, held: Callable[[JobId], float] = lambda _: 0.0) -> tuple[float, float]:
        """CPUs booked: for jobs that need ordinary machines, and in all. What the upstream still
        holds comes free for its successor, so only the rest is needed beside it."""
        ordinary = everything = 0.0
        for b in self.bookings:
            cpus = max(0.0, b.cpus - held(b.upstream))
            everything += cpus
            if not b.spot:
                ordinary += cpus
        return ordinary, everything
