"""What the leader asks of the cloud: machines, deletions, the list, the catalogue."""

import logging
from dataclasses import dataclass
from enum import Enum

from eldercart.autoscaling.autoscaler import ScaleOutRequest
from eldercart.cluster.inventory import MachineState
from eldercart.jobs.job import PlacementPhase
from eldercart.scheduling import feasibility
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.units import DISTANT_PAST, JobId, MachineId, MonotonicTime
from eldercart.wire import MalformedMessage, cloud
from eldercart.wire.checks import load_response
from eldercart.wire.cloud import MachineType

log = logging.getLogger("eldercart.controller")

MAX_CONCURRENT_SCALE_OUTS = 3  # requests for machines under way at once


class RequestAdmission(Enum):
    """Which calls of a kind may be handed out."""

    OPEN = "open"
    OVERDUE_ONLY = "overdue"  # deletions of machines whose cancelled tasks must be gone by now
    BLOCKED = "held"


@dataclass(frozen=True, slots=True)
class ScaleOut:
    """Rent machines, under the request's name."""

    request: ScaleOutRequest


@dataclass(frozen=True, slots=True)
class DeleteMachines:
    """Return machines."""

    machines: tuple[MachineId, ...]


@dataclass(frozen=True, slots=True)
class ListMachines:
    """List machines, after the one named."""

    after: MachineId | None


@dataclass(frozen=True, slots=True)
class GetCatalog:
    """Read the machine types."""


CloudRequest = ScaleOut | DeleteMachines | ListMachines | GetCatalog


def is_capacity_refusal(body: bytes) -> bool:
    """Whether a 503 says that the cloud has no such machine, and not that it is in trouble."""
    return b"no capacity" in body


def placeholder_type(name: str) -> MachineType:
    """Stands for a type the catalogue does not hold: nothing is placed there."""
    return MachineType(name, 0.0, 0.0, 0.0, 0.0, 1.0, 0.0, 0.0, 60.0, ())


class CloudRequestQueue:
    """Owns the calls under way and those that wait."""

    def __init__(self, scheduler: ClusterState, prefix: str) -> None:
        """`prefix`: of request names."""
        self.cluster = scheduler
        self.catalog_changed = False
        self.scale_out_admission = RequestAdmission.OPEN
        self.deletion_admission = RequestAdmission.OPEN
        self._name_prefix = prefix  # of request names: no other start of any node has it
        self._in_flight: set[str] = set()
        self._scale_outs_in_flight = 0
        self._paused_until = DISTANT_PAST
        self._waiting_scale_outs: list[ScaleOutRequest] = []
        self._list_due_at = scheduler.started_at
        self._list_after: MachineId | None = None
        self._has_full_list = False
        self._catalog_due_at = scheduler.started_at

    # -- what to rent and to return

    def autoscale(self, now: MonotonicTime) -> None:
        """Books room, measures the demand, and decides what to rent and what to return."""
        scheduler = self.cluster
        if not scheduler.types:
            return
        self._reserve_for_successors(now)
        if scheduler.is_store_unavailable:
            # Nothing can be accepted: that no submission comes tells nothing.
            scheduler.autoscaler.excuse_pause(now)
        scheduler.autoscaler.update_demand(
            scheduler.jobs.jobs.values(), scheduler.predictor.reserved_cpus(self._held_cpus), now
        )
        machines = scheduler.inventory.machines.values()
        # After a take-over the fleet is not known yet: renting now would double it.
        if now - scheduler.started_at > 2 * scheduler.settings.list_lag_s or self._has_full_list:
            constrained = [
                (j, zone)
                for j in scheduler.jobs.jobs.values()
                if (j.unplaced_count or j.enqueued_count) and j.is_runnable
                if (zone := feasibility.required_zone(j, scheduler.inventory)) is not None
                or not all(
                    feasibility.fits_machine_type(j.spec, kind) for kind in scheduler.types.values()
                )
            ]
            self._waiting_scale_outs += scheduler.autoscaler.plan_scale_out(
                machines, scheduler.types, constrained, self._name_prefix, now
            )
        for m in scheduler.autoscaler.plan_scale_in(machines, now):
            log.info("machine returned machine=%s idle=%.0f", m.id, now - m.idle_since)
            scheduler.request_deletion(m, now)

    def _held_cpus(self, job_id: JobId) -> float:
        job = self.cluster.jobs.get(job_id)
        if job is None or not job.is_runnable:
            return 0.0
        return job.spec.cpus * (job.spec.task_count - job.done_count)

    def _reserve_for_successors(self, now: MonotonicTime) -> None:
        """Soft bookings for the successors of jobs that end within about one boot."""
        scheduler = self.cluster
        scheduler.predictor.expire(now)
        boot = min(kind.boot_s for kind in scheduler.types.values())
        fleet = sum(
            m.type.cpus for m in scheduler.inventory.machines.values() if m.state is MachineState.UP
        )
        used = (
            sum(scheduler.inventory.cpus_by_team.values())
            + scheduler.predictor.reserved_cpus(self._held_cpus)[1]
        )
        load = used / fleet if fleet else 0.0
        ending = self._jobs_ending_within(boot, now)
        if not scheduler.autoscaler.is_quiet:  # else no guessed successor of a stream will come
            for job_id, left in ending.items():
                scheduler.predictor.reserve_for_stream(
                    scheduler.jobs.jobs[job_id], left, boot, load, now
                )
        for job_id in ending:
            for after in scheduler.graph.dependents(job_id):
                if after.outcome is None and all(
                    name in ending for name in after.unmet_dependencies
                ):
                    last = max(after.unmet_dependencies, key=lambda name: ending[name])
                    cpus = self._cap_at_team_quota(
                        after.spec.team, after.spec.cpus * after.spec.task_count
                    )
                    scheduler.predictor.reserve_for_submitted(
                        after, cpus, last, ending[last], boot, load, now
                    )
        for expected in scheduler.predictor.chains.predict_successors(ending):
            cpus = self._cap_at_team_quota(expected.pipeline[0], expected.cpus)
            scheduler.predictor.reserve_for_chain(expected, cpus, boot, load, now)

    def _jobs_ending_within(self, boot_s: float, now: MonotonicTime) -> dict[JobId, float]:
        """Jobs that end within about one boot, and in how many seconds."""
        scheduler = self.cluster
        ending: dict[JobId, float] = {}
        for job in scheduler.jobs.jobs.values():
            if not job.is_runnable or job.unplaced_count or job.enqueued_count:
                continue
            run = scheduler.predictor.expected_run_s(job)
            left = 0.0
            for p in job.placements():
                if p.phase is not PlacementPhase.ENDED:
                    left = max(left, run - p.run_time_s(now))
                    if left > boot_s:
                        break
            if left <= boot_s:
                ending[job.id] = left
        return ending

    def _cap_at_team_quota(self, team_name: str, cpus: float) -> float:
        """How much of that the team may use at once."""
        team = self.cluster.settings.teams.get(team_name)
        return min(cpus, team.cpus_max) if team is not None and team.cpus_max > 0 else cpus

    # -- calls

    def next_request(self, now: MonotonicTime) -> CloudRequest | None:
        """The next call; deletions first, since proof of an empty place hangs on them."""
        if now < self._paused_until:
            return None
        scheduler = self.cluster
        deletions = self._next_deletions(now)
        if deletions:
            self._in_flight.add("delete")
            return DeleteMachines(tuple(deletions))
        if (
            not scheduler.types or now >= self._catalog_due_at
        ) and "catalog" not in self._in_flight:
            self._in_flight.add("catalog")
            return GetCatalog()
        if (
            self._waiting_scale_outs
            and self._scale_outs_in_flight < MAX_CONCURRENT_SCALE_OUTS
            and self.scale_out_admission is RequestAdmission.OPEN
        ):
            self._scale_outs_in_flight += 1
            rental_request = self._waiting_scale_outs.pop(0)
            if not rental_request.sent_at:
                rental_request.sent_at = now
            return ScaleOut(rental_request)
        if now >= self._list_due_at and "list" not in self._in_flight:
            self._in_flight.add("list")
            return ListMachines(self._list_after)
        return None

    def _next_deletions(self, now: MonotonicTime) -> list[MachineId]:
        if "delete" in self._in_flight or self.deletion_admission is RequestAdmission.BLOCKED:
            return []
        deletions_due = list(self.cluster.pending_deletions)
        if self.deletion_admission is RequestAdmission.OVERDUE_ONLY:
            deletions_due = [m for m in deletions_due if self._holds_overdue(m, now)]
        if len(deletions_due) > cloud.MAX_DELETED_MACHINES:
            # Time is short where a cancelled task may still be.
            deletions_due.sort(key=lambda machine: not self._holds_cancelled(machine))
        return deletions_due[: cloud.MAX_DELETED_MACHINES]

    def _holds_cancelled(self, machine: MachineId) -> bool:
        m = self.cluster.inventory.get(machine)
        return m is not None and any(p.job.is_cancelled for p in m.placements.values())

    def _holds_overdue(self, machine: MachineId, now: MonotonicTime) -> bool:
        m = self.cluster.inventory.get(machine)
        return m is not None and any(
            p.job.is_cancelled and now > p.job.kill_deadline_at for p in m.placements.values()
        )

    def requeue_unsent(self, call: ScaleOut | DeleteMachines) -> None:
        """A call that was handed out and not sent: it is due again."""
        if isinstance(call, DeleteMachines):
            self._in_flight.discard("delete")
        else:
            self._waiting_scale_outs.insert(0, call.request)
            self._scale_outs_in_flight -= 1

    def resume_scale_out(self, rental_request: ScaleOutRequest) -> None:
        """A request that an earlier leader may have sent: the same name gets the same answer."""
        self._waiting_scale_outs.append(rental_request)
        if rental_request.offering.type in self.cluster.types:
            self.cluster.autoscaler.outstanding_requests[rental_request.name] = rental_request

    def resume_deletion(self, machine: MachineId, now: MonotonicTime) -> None:
        """A machine that an earlier leader may have deleted: nothing new starts there."""
        scheduler = self.cluster
        m = scheduler.inventory.get(machine)
        if m is None:
            m = scheduler.inventory.add(
                machine,
                placeholder_type("?"),
                feasibility.UNKNOWN_ZONE,
                True,
                MachineState.UP,
                now,
                now,
            )
        scheduler.request_deletion(m, now)

    def on_answer(
        self, call: CloudRequest, status: int | None, body: bytes, now: MonotonicTime
    ) -> None:
        """`status` None: no answer. A malformed answer counts as none."""
        try:
            self._apply_answer(call, status, body, now)
        except MalformedMessage as err:
            log.error("cloud answer malformed call=%s: %s", type(call).__name__, err)
            self._apply_answer(call, None, b"", now)

    def _apply_answer(
        self, call: CloudRequest, status: int | None, body: bytes, now: MonotonicTime
    ) -> None:
        trouble = (
            status is None or status == 429 or (status >= 500 and not is_capacity_refusal(body))
        )
        if trouble:
            self._paused_until = MonotonicTime(now + 1.0)
        match call:
            case DeleteMachines(machines):
                if status == 200:  # nothing else frees a place there, however long it takes
                    for machine in machines:
                        self._apply_deletion(machine, now)
                self._in_flight.discard("delete")
            case ScaleOut(rental_request):
                self._apply_scale_out_answer(rental_request, status, body, now)
                self._scale_outs_in_flight -= 1
            case ListMachines():
                if status == 200:
                    listed, more = cloud.parse_machine_page(body)
                    self._apply_listed_machines(listed, now)
                    self._list_after = listed[-1].id if more and listed else None
                    if not more:
                        self._has_full_list = True
                if status != 200 or self._list_after is None:
                    pause = max(1.0, self.cluster.settings.list_lag_s)
                    self._list_due_at = MonotonicTime(now + pause)
                self._in_flight.discard("list")
            case GetCatalog():
                if status == 200:
                    self._apply_catalog(cloud.parse_catalog(load_response(body)), now)
                    self._catalog_due_at = MonotonicTime(now + 60.0)
                self._in_flight.discard("catalog")

    def _apply_catalog(self, types: dict[str, MachineType], now: MonotonicTime) -> None:
        scheduler = self.cluster
        if types != scheduler.types:
            self.catalog_changed = True
        first = not scheduler.types
        scheduler.types = types
        for m in scheduler.inventory.machines.values():
            kind = types.get(m.type.name)
            if kind is not None and kind is not m.type:
                scheduler.inventory.update_description(m, kind, m.zone, m.is_spot)
        if first:
            scheduler.is_planning_requested = True
            scheduler.autoscaling_due_at = now

    def _apply_deletion(self, machine: MachineId, now: MonotonicTime) -> None:
        scheduler = self.cluster
        scheduler.pending_deletions.pop(machine, None)
        m = scheduler.inventory.get(machine)
        if m is None:
            return
        placed = [*m.placements.values(), *m.prelaunch_queue.values()]
        log.info("machine deleted machine=%s tasks=%d", machine, len(placed))
        for p in placed:
            job = p.job
            if (
                m.is_spot
                and p.run_time_s(now) > 0
                and scheduler.predictor.expected_run_s(job) >= scheduler.tuning.shy_s
            ):
                job.prefers_on_demand = job.next_unplaced_index >= job.spec.task_count
            scheduler.cancel_placement(p, now)
        scheduler.inventory.mark_deleted(m)

    def _apply_scale_out_answer(
        self, rental_request: ScaleOutRequest, status: int | None, body: bytes, now: MonotonicTime
    ) -> None:
        offer = rental_request.offering
        if status == 200:
            self._add_rented_machines(rental_request, cloud.parse_created_machines(body), now)
        elif status == 503 and is_capacity_refusal(body):
            self._apply_refusal(rental_request, now)
            self.cluster.autoscaling_due_at = now
            log.info("refused type=%s zone=%s spot=%s", offer.type, offer.zone, offer.is_spot)
        elif status == 400:
            self._apply_refusal(rental_request, now)
            log.error("rental malformed request=%s", rental_request.name)
        else:
            # Nobody knows whether it was carried out: the same name gets the same answer.
            self._waiting_scale_outs.append(rental_request)

    def _apply_refusal(self, rental_request: ScaleOutRequest, now: MonotonicTime) -> None:
        rental = self.cluster.autoscaler
        rental.outstanding_requests.pop(rental_request.name, None)
        rental.record_refusal(rental_request.offering, now)

    def _add_rented_machines(
        self, rental_request: ScaleOutRequest, machines: list[MachineId], now: MonotonicTime
    ) -> None:
        """The machines that the cloud has rented: as many as were asked for, or fewer."""
        scheduler, offer = self.cluster, rental_request.offering
        scheduler.autoscaler.outstanding_requests.pop(rental_request.name, None)
        for machine in machines:
            if scheduler.inventory.get(machine) is None and not scheduler.inventory.is_deleted(
                machine
            ):
                kind = scheduler.types.get(offer.type) or placeholder_type(offer.type)
                scheduler.inventory.add(
                    machine,
                    kind,
                    offer.zone,
                    offer.is_spot,
                    MachineState.BOOTING,
                    rental_request.sent_at,
                    now,
                )
        log.info(
            "rented type=%s zone=%s spot=%s asked=%d got=%d request=%s",
            offer.type,
            offer.zone,
            offer.is_spot,
            rental_request.machine_count,
            len(machines),
            rental_request.name,
        )
        if len(machines) < rental_request.machine_count:
            scheduler.autoscaler.record_refusal(offer, now)
        scheduler.autoscaling_due_at = now

    def _apply_listed_machines(self, listed: list[cloud.ListedMachine], now: MonotonicTime) -> None:
        scheduler = self.cluster
        for item in listed:
            if scheduler.inventory.is_deleted(item.id):
                continue
            m = scheduler.inventory.get(item.id)
            if m is None:
                kind = scheduler.types.get(item.type) or placeholder_type(item.type)
                rented_at = MonotonicTime(now - item.age_s)
                state = MachineState.UP if item.state == cloud.RUNNING else MachineState.BOOTING
                # It may report to another node, or be new: it gets a full patience.
                heard = MonotonicTime(now + scheduler.tuning.takeover_grace_s)
                m = scheduler.inventory.add(
                    item.id, kind, item.zone, item.spot, state, rented_at, heard
                )
                log.debug("machine listed machine=%s state=%s", m.id, item.state)
            elif m.zone == feasibility.UNKNOWN_ZONE:
                # Known from its tasks alone: the list says what it is before it reports.
                kind = scheduler.types.get(item.type) or placeholder_type(item.type)
                scheduler.inventory.update_description(m, kind, item.zone, item.spot)
            if item.address and not m.address:
                m.address = item.address
            if item.state == cloud.FAILED and m.state is not MachineState.DELETING:
                log.info("machine failed machine=%s", m.id)
                scheduler.request_deletion(m, now)
