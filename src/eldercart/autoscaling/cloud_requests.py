"""What the leader asks of the cloud: machines, deletions, the list, the catalogue."""

import logging
from dataclasses import dataclass
from enum import Enum

from eldercart.autoscaling.autoscaler import RentalRequest
from eldercart.cluster.inventory import MachineState
from eldercart.jobs.registry import Phase
from eldercart.scheduling import feasibility
from eldercart.scheduling.cluster_state import SchedulerState
from eldercart.units import NEVER, JobId, MachineId, Steady
from eldercart.wire import Malformed, cloud
from eldercart.wire.checks import load_answer
from eldercart.wire.cloud import MachineType

log = logging.getLogger("eldercart.controller")

RENTALS = 3  # requests for machines under way at once


class Admission(Enum):
    """Which calls of a kind may be handed out."""

    OPEN = "open"
    OVERDUE = "overdue"  # deletions of machines whose cancelled tasks must be gone by now
    HELD = "held"


@dataclass(frozen=True, slots=True)
class Rent:
    """Rent machines, under the request's name."""

    rental_request: RentalRequest


@dataclass(frozen=True, slots=True)
class Delete:
    """Return machines."""

    machines: tuple[MachineId, ...]


@dataclass(frozen=True, slots=True)
class ListPage:
    """List machines, after the one named."""

    after: MachineId | None


@dataclass(frozen=True, slots=True)
class GetCatalog:
    """Read the machine types."""


CloudCall = Rent | Delete | ListPage | GetCatalog


def no_capacity(body: bytes) -> bool:
    """Whether a 503 says that the cloud has no such machine, and not that it is in trouble."""
    return b"no capacity" in body


def unknown_type(name: str) -> MachineType:
    """Stands for a type the catalogue does not hold: nothing is placed there."""
    return MachineType(name, 0.0, 0.0, 0.0, 0.0, 1.0, 0.0, 0.0, 60.0, ())


class CloudWork:
    """Owns the calls under way and those that wait."""

    def __init__(self, scheduler: SchedulerState, prefix: str) -> None:
        """`prefix`: of request names."""
        self.scheduler = scheduler
        self.catalog_changed = False
        self.rentals = Admission.OPEN
        self.returns = Admission.OPEN
        self._prefix = prefix  # of request names: no other start of any node has it
        self._busy: set[str] = set()
        self._renting = 0
        self._pause = NEVER
        self._rental_requests: list[RentalRequest] = []
        self._list_due = scheduler.began
        self._list_after: MachineId | None = None
        self._list_seen = False
        self._catalog_due = scheduler.began

    # -- what to rent and to return

    def rent(self, now: Steady) -> None:
        """Books room, measures the demand, and decides what to rent and what to return."""
        scheduler = self.scheduler
        if not scheduler.types:
            return
        self._prepare(now)
        if scheduler.outage:
            # Nothing can be accepted: that no submission comes tells nothing.
            scheduler.rental.pause_excused(now)
        scheduler.rental.measure(
            scheduler.jobs.jobs.values(), scheduler.predictor.booked(self._held), now
        )
        machines = scheduler.fleet.machines.values()
        # After a take-over the fleet is not known yet: renting now would double it.
        if now - scheduler.began > 2 * scheduler.settings.list_lag_s or self._list_seen:
            constrained = [
                (j, zone)
                for j in scheduler.jobs.jobs.values()
                if (j.pending or j.queued) and j.open
                if (zone := feasibility.bound_to(j, scheduler.fleet)) is not None
                or not all(feasibility.fits_type(j.spec, kind) for kind in scheduler.types.values())
            ]
            self._rental_requests += scheduler.rental.plan(
                machines, scheduler.types, constrained, self._prefix, now
            )
        for m in scheduler.rental.surplus(machines, now):
            log.info("machine returned machine=%s idle=%.0f", m.id, now - m.idle_since)
            scheduler.request_deletion(m, now)

    def _held(self, job_id: JobId) -> float:
        job = self.scheduler.jobs.get(job_id)
        if job is None or not job.open:
            return 0.0
        return job.spec.cpus * (job.spec.tasks - job.done_count)

    def _prepare(self, now: Steady) -> None:
        """Soft bookings for the successors of jobs that end within about one boot."""
        scheduler = self.scheduler
        scheduler.predictor.expire(now)
        boot = min(kind.boot_s for kind in scheduler.types.values())
        fleet = sum(
            m.type.cpus for m in scheduler.fleet.machines.values() if m.state is MachineState.UP
        )
        used = sum(scheduler.fleet.team_cpus.values()) + scheduler.predictor.booked(self._held)[1]
        load = used / fleet if fleet else 0.0
        ending = self._ending(boot, now)
        if not scheduler.rental.quiet:  # else no guessed successor of a stream will come
            for job_id, left in ending.items():
                scheduler.predictor.prepare(scheduler.jobs.jobs[job_id], left, boot, load, now)
        for job_id in ending:
            for after in scheduler.graph.dependents(job_id):
                if after.ended is None and all(name in ending for name in after.awaited):
                    last = max(after.awaited, key=lambda name: ending[name])
                    cpus = self._at_once(after.spec.team, after.spec.cpus * after.spec.tasks)
                    scheduler.predictor.prepare_submitted(
                        after, cpus, last, ending[last], boot, load, now
                    )
        for expected in scheduler.predictor.chains.predictions(ending):
            cpus = self._at_once(expected.pipeline[0], expected.cpus)
            scheduler.predictor.prepare_chain(expected, cpus, boot, load, now)

    def _ending(self, boot_s: float, now: Steady) -> dict[JobId, float]:
        """Jobs that end within about one boot, and in how many seconds."""
        scheduler = self.scheduler
        ending: dict[JobId, float] = {}
        for job in scheduler.jobs.jobs.values():
            if not job.open or job.pending or job.queued:
                continue
            run = scheduler.predictor.run_s(job)
            left = 0.0
            for p in job.placements():
                if p.phase is not Phase.ENDED:
                    left = max(left, run - p.ran(now))
                    if left > boot_s:
                        break
            if left <= boot_s:
                ending[job.id] = left
        return ending

    def _at_once(self, team_name: str, cpus: float) -> float:
        """How much of that the team may use at once."""
        team = self.scheduler.settings.teams.get(team_name)
        return min(cpus, team.cpus_max) if team is not None and team.cpus_max > 0 else cpus

    # -- calls

    def next_call(self, now: Steady) -> CloudCall | None:
        """The next call; deletions first, since proof of an empty place hangs on them."""
        if now < self._pause:
            return None
        scheduler = self.scheduler
        deletions = self._next_deletions(now)
        if deletions:
            self._busy.add("delete")
            return Delete(tuple(deletions))
        if (not scheduler.types or now >= self._catalog_due) and "catalog" not in self._busy:
            self._busy.add("catalog")
            return GetCatalog()
        if self._rental_requests and self._renting < RENTALS and self.rentals is Admission.OPEN:
            self._renting += 1
            rental_request = self._rental_requests.pop(0)
            if not rental_request.sent:
                rental_request.sent = now
            return Rent(rental_request)
        if now >= self._list_due and "list" not in self._busy:
            self._busy.add("list")
            return ListPage(self._list_after)
        return None

    def _next_deletions(self, now: Steady) -> list[MachineId]:
        if "delete" in self._busy or self.returns is Admission.HELD:
            return []
        deletions_due = list(self.scheduler.deletions_due)
        if self.returns is Admission.OVERDUE:
            deletions_due = [m for m in deletions_due if self._holds_overdue(m, now)]
        if len(deletions_due) > cloud.MAX_DELETE:
            # Time is short where a cancelled task may still be.
            deletions_due.sort(key=lambda machine: not self._holds_cancelled(machine))
        return deletions_due[: cloud.MAX_DELETE]

    def _holds_cancelled(self, machine: MachineId) -> bool:
        m = self.scheduler.fleet.get(machine)
        return m is not None and any(p.job.cancelled for p in m.placed.values())

    def _holds_overdue(self, machine: MachineId, now: Steady) -> bool:
        m = self.scheduler.fleet.get(machine)
        return m is not None and any(
            p.job.cancelled and now > p.job.kill_due for p in m.placed.values()
        )

    def give_back(self, call: Rent | Delete) -> None:
        """A call that was handed out and not sent: it is due again."""
        if isinstance(call, Delete):
            self._busy.discard("delete")
        else:
            self._rental_requests.insert(0, call.rental_request)
            self._renting -= 1

    def resume(self, rental_request: RentalRequest) -> None:
        """A request that an earlier leader may have sent: the same name gets the same answer."""
        self._rental_requests.append(rental_request)
        if rental_request.offer.type in self.scheduler.types:
            self.scheduler.rental.rental_requests[rental_request.name] = rental_request

    def condemn(self, machine: MachineId, now: Steady) -> None:
        """A machine that an earlier leader may have deleted: nothing new starts there."""
        scheduler = self.scheduler
        m = scheduler.fleet.get(machine)
        if m is None:
            m = scheduler.fleet.add(
                machine,
                unknown_type("?"),
                feasibility.UNKNOWN_ZONE,
                True,
                MachineState.UP,
                now,
                now,
            )
        scheduler.request_deletion(m, now)

    def done(self, call: CloudCall, status: int | None, body: bytes, now: Steady) -> None:
        """`status` None: no answer. A malformed answer counts as none."""
        try:
            self._answer(call, status, body, now)
        except Malformed as err:
            log.error("cloud answer malformed call=%s: %s", type(call).__name__, err)
            self._answer(call, None, b"", now)

    def _answer(self, call: CloudCall, status: int | None, body: bytes, now: Steady) -> None:
        trouble = status is None or status == 429 or (status >= 500 and not no_capacity(body))
        if trouble:
            self._pause = Steady(now + 1.0)
        match call:
            case Delete(machines):
                if status == 200:  # nothing else frees a place there, however long it takes
                    for machine in machines:
                        self._deleted(machine, now)
                self._busy.discard("delete")
            case Rent(rental_request):
                self._rented(rental_request, status, body, now)
                self._renting -= 1
            case ListPage():
                if status == 200:
                    listed, more = cloud.parse_list(body)
                    self._listed(listed, now)
                    self._list_after = listed[-1].id if more and listed else None
                    if not more:
                        self._list_seen = True
                if status != 200 or self._list_after is None:
                    pause = max(1.0, self.scheduler.settings.list_lag_s)
                    self._list_due = Steady(now + pause)
                self._busy.discard("list")
            case GetCatalog():
                if status == 200:
                    self._new_catalog(cloud.parse_catalog(load_answer(body)), now)
                    self._catalog_due = Steady(now + 60.0)
                self._busy.discard("catalog")

    def _new_catalog(self, types: dict[str, MachineType], now: Steady) -> None:
        scheduler = self.scheduler
        if types != scheduler.types:
            self.catalog_changed = True
        first = not scheduler.types
        scheduler.types = types
        for m in scheduler.fleet.machines.values():
            kind = types.get(m.type.name)
            if kind is not None and kind is not m.type:
                scheduler.fleet.describe(m, kind, m.zone, m.spot)
        if first:
            scheduler.plan_wanted = True
            scheduler.rental_due = now

    def _deleted(self, machine: MachineId, now: Steady) -> None:
        scheduler = self.scheduler
        scheduler.deletions_due.pop(machine, None)
        m = scheduler.fleet.get(machine)
        if m is None:
            return
        placed = [*m.placed.values(), *m.queue.values()]
        log.info("machine deleted machine=%s tasks=%d", machine, len(placed))
        for p in placed:
            job = p.job
            if (
                m.spot
                and p.ran(now) > 0
                and scheduler.predictor.run_s(job) >= scheduler.tuning.shy_s
            ):
                job.prefers_ordinary = job.fresh >= job.spec.tasks
            scheduler.void(p, now)
        scheduler.fleet.remove(m)

    def _rented(
        self, rental_request: RentalRequest, status: int | None, body: bytes, now: Steady
    ) -> None:
        offer = rental_request.offer
        if status == 200:
            self._got(rental_request, cloud.parse_rented(body), now)
        elif status == 503 and no_capacity(body):
            self._refused(rental_request, now)
            self.scheduler.rental_due = now
            log.info("refused type=%s zone=%s spot=%s", offer.type, offer.zone, offer.spot)
        elif status == 400:
            self._refused(rental_request, now)
            log.error("rental malformed request=%s", rental_request.name)
        else:
            # Nobody knows whether it was carried out: the same name gets the same answer.
            self._rental_requests.append(rental_request)

    def _refused(self, rental_request: RentalRequest, now: Steady) -> None:
        rental = self.scheduler.rental
        rental.rental_requests.pop(rental_request.name, None)
        rental.refuse(rental_request.offer, now)

    def _got(self, rental_request: RentalRequest, machines: list[MachineId], now: Steady) -> None:
        """The machines that the cloud has rented: as many as were asked for, or fewer."""
        scheduler, offer = self.scheduler, rental_request.offer
        scheduler.rental.rental_requests.pop(rental_request.name, None)
        for machine in machines:
            if scheduler.fleet.get(machine) is None and not scheduler.fleet.is_deleted(machine):
                kind = scheduler.types.get(offer.type) or unknown_type(offer.type)
                scheduler.fleet.add(
                    machine,
                    kind,
                    offer.zone,
                    offer.spot,
                    MachineState.BOOTING,
                    rental_request.sent,
                    now,
                )
        log.info(
            "rented type=%s zone=%s spot=%s asked=%d got=%d request=%s",
            offer.type,
            offer.zone,
            offer.spot,
            rental_request.number,
            len(machines),
            rental_request.name,
        )
        if len(machines) < rental_request.number:
            scheduler.rental.refuse(offer, now)
        scheduler.rental_due = now

    def _listed(self, listed: list[cloud.ListedMachine], now: Steady) -> None:
        scheduler = self.scheduler
        for item in listed:
            if scheduler.fleet.is_deleted(item.id):
                continue
            m = scheduler.fleet.get(item.id)
            if m is None:
                kind = scheduler.types.get(item.type) or unknown_type(item.type)
                rented_at = Steady(now - item.age_s)
                state = MachineState.UP if item.state == cloud.UP else MachineState.BOOTING
                # It may report to another node, or be new: it gets a full patience.
                heard = Steady(now + scheduler.tuning.takeover_grace_s)
                m = scheduler.fleet.add(
                    item.id, kind, item.zone, item.spot, state, rented_at, heard
                )
                log.debug("machine listed machine=%s state=%s", m.id, item.state)
            elif m.zone == feasibility.UNKNOWN_ZONE:
                # Known from its tasks alone: the list says what it is before it reports.
                kind = scheduler.types.get(item.type) or unknown_type(item.type)
                scheduler.fleet.describe(m, kind, item.zone, item.spot)
            if item.address and not m.address:
                m.address = item.address
            if item.state == cloud.FAILED and m.state is not MachineState.LEAVING:
                log.info("machine failed machine=%s", m.id)
                scheduler.request_deletion(m, now)
