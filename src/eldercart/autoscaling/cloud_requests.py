"""The leader's queue of requests to the cloud: selects the next request and applies each answer."""

import logging
from enum import Enum

from eldercart.autoscaling import inventory_updates
from eldercart.autoscaling.request_types import (
    CloudRequest,
    DeleteMachines,
    GetCatalog,
    ListMachines,
    ScaleOut,
    ScaleOutRequest,
)
from eldercart.autoscaling.scale_out import ConstrainedJob
from eldercart.autoscaling.successor_reservations import held_cpus, reserve_for_successors
from eldercart.scheduling.cluster_state import ClusterState
from eldercart.scheduling.feasibility import fits_machine_type
from eldercart.scheduling.zone_constraints import required_zone
from eldercart.units import DISTANT_PAST, MachineId, MonotonicTime
from eldercart.wire import MalformedMessageError, cloud
from eldercart.wire.checks import load_unbounded_object

log = logging.getLogger("eldercart.controller")

MAX_CONCURRENT_SCALE_OUTS = 3
RETRY_DELAY_S = 1.0  # pause of all requests after an error of the cloud
CATALOG_INTERVAL_S = 60.0
MIN_LIST_INTERVAL_S = 1.0

HTTP_OK = 200
HTTP_BAD_REQUEST = 400
HTTP_TOO_MANY_REQUESTS = 429
HTTP_MIN_SERVER_ERROR = 500
HTTP_UNAVAILABLE = 503


class RequestAdmission(Enum):
    """Selects the queued requests of one kind that may be sent."""

    OPEN = "open"
    # Only deletions of machines that hold a cancelled task past its kill deadline may be sent.
    OVERDUE_ONLY = "overdue"
    BLOCKED = "held"


class _ExclusiveRequest(Enum):
    """Kinds of request of which at most one may be in flight at a time."""

    DELETION = "delete"
    CATALOG = "catalog"
    LIST = "list"


def is_capacity_refusal(body: bytes) -> bool:
    """Return whether the body of a 503 response reports missing capacity, and not an outage."""
    return b"no capacity" in body


def _should_back_off(status: int | None, body: bytes) -> bool:
    """Return whether to pause all requests: no answer, a rate limit, or a server error other than
    missing capacity."""
    if status is None or status == HTTP_TOO_MANY_REQUESTS:
        return True
    return status >= HTTP_MIN_SERVER_ERROR and not is_capacity_refusal(body)


class CloudRequestQueue:
    """Holds the leader's cloud requests, both waiting and in flight.

    The scheduler runs `autoscale`, takes each request from `next_request`, and passes its answer to
    `on_answer`.
    """

    def __init__(self, cluster: ClusterState, name_prefix: str) -> None:
        """Create an empty queue.

        `name_prefix` begins the name of each scale-out request. It is unique to this start of this
        node."""
        self.cluster = cluster
        self.catalog_changed = False  # whether the catalog differs from the stored one
        self.scale_out_admission = RequestAdmission.OPEN
        self.deletion_admission = RequestAdmission.OPEN
        self._name_prefix = name_prefix
        self._in_flight: set[_ExclusiveRequest] = set()
        self._scale_outs_in_flight = 0
        self._paused_until = DISTANT_PAST
        self._waiting_scale_outs: list[ScaleOutRequest] = []
        self._list_due_at = cluster.started_at
        self._list_after: MachineId | None = None  # the last machine of the previous page
        self._has_full_list = False
        self._catalog_due_at = cluster.started_at

    # -- decisions

    def autoscale(self, now: MonotonicTime) -> None:
        """Reserve capacity for successor jobs, measure the demand, and decide which machines to
        request and which to return."""
        cluster = self.cluster
        if not cluster.types:
            return
        reserve_for_successors(cluster, now)
        autoscaler = cluster.autoscaler
        if cluster.is_store_unavailable:
            # No submission can be accepted, so their absence says nothing about the demand.
            autoscaler.restart_pause(now)
        reserved = cluster.predictor.reserved_cpus(lambda job_id: held_cpus(cluster, job_id))
        autoscaler.update_demand(cluster.jobs.jobs.values(), reserved, now)
        machines = cluster.inventory.machines.values()
        if self._is_inventory_known(now):
            self._waiting_scale_outs += autoscaler.plan_scale_out(
                machines, cluster.types, self._constrained_jobs(), self._name_prefix, now
            )
        for machine in autoscaler.plan_scale_in(machines, now):
            idle_s = now - machine.last_release_at
            log.info("scale-in machine=%s idle_s=%.0f", machine.id, idle_s)
            cluster.request_deletion(machine, now)

    def _is_inventory_known(self, now: MonotonicTime) -> bool:
        """Return whether all machines that earlier leaders created are known by now.

        Scaling out sooner would create machines for the same demand twice."""
        cluster = self.cluster
        return now - cluster.started_at > 2 * cluster.settings.list_lag_s or self._has_full_list

    def _constrained_jobs(self) -> list[ConstrainedJob]:
        """Return the waiting jobs that can run only in one zone or only on some machine types."""
        cluster = self.cluster
        constrained = []
        for job in cluster.jobs.jobs.values():
            if not (job.unplaced_count or job.enqueued_count) or not job.is_runnable:
                continue
            zone = required_zone(job, cluster.inventory)
            if zone is not None or not all(
                fits_machine_type(job.spec, machine_type) for machine_type in cluster.types.values()
            ):
                constrained.append(ConstrainedJob(job, zone))
        return constrained

    def resume_scale_out(self, request: ScaleOutRequest) -> None:
        """Queue a request that an earlier leader may have sent.

        Sending it twice is safe: the cloud gives the same answer to the same name."""
        self._waiting_scale_outs.append(request)
        if request.offering.type in self.cluster.types:
            self.cluster.autoscaler.outstanding_requests[request.name] = request

    def resume_deletion(self, machine_id: MachineId, now: MonotonicTime) -> None:
        """Queue a deletion that an earlier leader may have requested, and start no new task on the
        machine."""
        machine = self.cluster.inventory.get(machine_id)
        if machine is None:
            machine = inventory_updates.add_unknown_machine(self.cluster, machine_id, now, now)
        self.cluster.request_deletion(machine, now)

    # -- requests

    def next_request(self, now: MonotonicTime) -> CloudRequest | None:
        """Return the next request to send, or None if none is due.

        Deletions come first, because only they prove that no task runs on a machine any more."""
        if now < self._paused_until:
            return None
        machine_ids = self._next_deletions(now)
        if machine_ids:
            self._in_flight.add(_ExclusiveRequest.DELETION)
            return DeleteMachines(tuple(machine_ids))
        if self._is_catalog_due(now):
            self._in_flight.add(_ExclusiveRequest.CATALOG)
            return GetCatalog()
        if self._may_scale_out():
            return self._take_scale_out(now)
        if now >= self._list_due_at and _ExclusiveRequest.LIST not in self._in_flight:
            self._in_flight.add(_ExclusiveRequest.LIST)
            return ListMachines(self._list_after)
        return None

    def requeue_unsent(self, request: ScaleOut | DeleteMachines) -> None:
        """Make a request due again that was handed out but not sent."""
        if isinstance(request, DeleteMachines):
            self._in_flight.discard(_ExclusiveRequest.DELETION)
        else:
            self._waiting_scale_outs.insert(0, request.request)
            self._scale_outs_in_flight -= 1

    def _next_deletions(self, now: MonotonicTime) -> list[MachineId]:
        if _ExclusiveRequest.DELETION in self._in_flight:
            return []
        if self.deletion_admission is RequestAdmission.BLOCKED:
            return []
        pending = list(self.cluster.pending_deletions)
        if self.deletion_admission is RequestAdmission.OVERDUE_ONLY:
            pending = [
                machine_id for machine_id in pending if self._has_overdue_kill(machine_id, now)
            ]
        if len(pending) > cloud.MAX_DELETED_MACHINES:
            # Cancelled tasks have a deadline, so machines that may still run one go first.
            pending.sort(key=lambda machine_id: not self._has_cancelled_task(machine_id))
        return pending[: cloud.MAX_DELETED_MACHINES]

    def _has_cancelled_task(self, machine_id: MachineId) -> bool:
        machine = self.cluster.inventory.get(machine_id)
        return machine is not None and any(
            placement.job.is_cancellation_requested for placement in machine.placements.values()
        )

    def _has_overdue_kill(self, machine_id: MachineId, now: MonotonicTime) -> bool:
        machine = self.cluster.inventory.get(machine_id)
        return machine is not None and any(
            placement.job.is_cancellation_requested and now > placement.job.kill_deadline_at
            for placement in machine.placements.values()
        )

    def _is_catalog_due(self, now: MonotonicTime) -> bool:
        is_due = not self.cluster.types or now >= self._catalog_due_at
        return is_due and _ExclusiveRequest.CATALOG not in self._in_flight

    def _may_scale_out(self) -> bool:
        return (
            bool(self._waiting_scale_outs)
            and self._scale_outs_in_flight < MAX_CONCURRENT_SCALE_OUTS
            and self.scale_out_admission is RequestAdmission.OPEN
        )

    def _take_scale_out(self, now: MonotonicTime) -> ScaleOut:
        self._scale_outs_in_flight += 1
        request = self._waiting_scale_outs.pop(0)
        if not request.sent_at:
            request.sent_at = now
        return ScaleOut(request)

    # -- answers

    def on_answer(
        self, request: CloudRequest, status: int | None, body: bytes, now: MonotonicTime
    ) -> None:
        """Apply the answer to a request. `status` is None if there was no answer.

        A malformed answer is logged and handled like a missing one."""
        try:
            self._apply_answer(request, status, body, now)
        except MalformedMessageError as err:
            log.error("cloud answer malformed request=%s error=%s", type(request).__name__, err)
            self._apply_answer(request, None, b"", now)

    def _apply_answer(
        self, request: CloudRequest, status: int | None, body: bytes, now: MonotonicTime
    ) -> None:
        if _should_back_off(status, body):
            self._paused_until = MonotonicTime(now + RETRY_DELAY_S)
        match request:
            case DeleteMachines(machine_ids):
                if status == HTTP_OK:
                    # Only this proves that the tasks have ended, however long it takes.
                    for machine_id in machine_ids:
                        inventory_updates.apply_deletion(self.cluster, machine_id, now)
                self._in_flight.discard(_ExclusiveRequest.DELETION)
            case ScaleOut(scale_out):
                self._apply_scale_out_answer(scale_out, status, body, now)
                self._scale_outs_in_flight -= 1
            case ListMachines():
                self._apply_list_answer(status, body, now)
                self._in_flight.discard(_ExclusiveRequest.LIST)
            case GetCatalog():
                if status == HTTP_OK:
                    self._apply_catalog(body, now)
                self._in_flight.discard(_ExclusiveRequest.CATALOG)

    def _apply_catalog(self, body: bytes, now: MonotonicTime) -> None:
        types = cloud.parse_catalog(load_unbounded_object(body))
        if types != self.cluster.types:
            self.catalog_changed = True
        inventory_updates.apply_catalog(self.cluster, types, now)
        self._catalog_due_at = MonotonicTime(now + CATALOG_INTERVAL_S)

    def _apply_list_answer(self, status: int | None, body: bytes, now: MonotonicTime) -> None:
        if status == HTTP_OK:
            listed, has_more = cloud.parse_machine_page(body)
            inventory_updates.apply_listed_machines(self.cluster, listed, now)
            self._list_after = listed[-1].id if has_more and listed else None
            if not has_more:
                self._has_full_list = True
        if status != HTTP_OK or self._list_after is None:
            interval_s = max(MIN_LIST_INTERVAL_S, self.cluster.settings.list_lag_s)
            self._list_due_at = MonotonicTime(now + interval_s)

    def _apply_scale_out_answer(
        self, request: ScaleOutRequest, status: int | None, body: bytes, now: MonotonicTime
    ) -> None:
        offering = request.offering
        if status == HTTP_OK:
            self._apply_created(request, cloud.parse_created_machines(body), now)
        elif status == HTTP_UNAVAILABLE and is_capacity_refusal(body):
            self._apply_refusal(request, now)
            self.cluster.request_autoscaling(now)
            log.info(
                "scale-out refused type=%s zone=%s spot=%s",
                offering.type,
                offering.zone,
                offering.is_spot,
            )
        elif status == HTTP_BAD_REQUEST:
            self._apply_refusal(request, now)
            log.error("scale-out invalid request=%s", request.name)
        else:
            # The request may have been executed. A retry is safe: the cloud gives the same answer
            # to the same name.
            self._waiting_scale_outs.append(request)

    def _apply_refusal(self, request: ScaleOutRequest, now: MonotonicTime) -> None:
        autoscaler = self.cluster.autoscaler
        autoscaler.outstanding_requests.pop(request.name, None)
        autoscaler.record_refusal(request.offering, now)

    def _apply_created(
        self, request: ScaleOutRequest, machine_ids: list[MachineId], now: MonotonicTime
    ) -> None:
        """Add the machines that the cloud created, which may be fewer than requested."""
        cluster, offering = self.cluster, request.offering
        cluster.autoscaler.outstanding_requests.pop(request.name, None)
        inventory_updates.add_created_machines(cluster, request, machine_ids, now)
        log.info(
            "scale-out accepted type=%s zone=%s spot=%s requested=%d created=%d request=%s",
            offering.type,
            offering.zone,
            offering.is_spot,
            request.machine_count,
            len(machine_ids),
            request.name,
        )
        if len(machine_ids) < request.machine_count:
            cluster.autoscaler.record_refusal(offering, now)
        cluster.request_autoscaling(now)
