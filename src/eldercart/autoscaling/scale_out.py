"""Plans one scale-out: which offerings to request, and how many machines of each."""

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from eldercart.autoscaling.demand import CpuTargets
from eldercart.autoscaling.request_types import MachineOffering, ScaleOutRequest
from eldercart.cluster.inventory import Machine, MachineState
from eldercart.jobs.job import Job
from eldercart.scheduling.feasibility import fits_machine_type, is_feasible
from eldercart.units import DISTANT_PAST, MonotonicTime
from eldercart.wire.cloud import MAX_CREATED_MACHINES, MachineType
from eldercart.wire.users import JobSpec

# CPUs by which a task counts in the demand if it takes accelerators only.
CPUS_WITHOUT_REQUEST = 1.0
REUSE_WAIT_S = 20.0  # wait for suitable machines in use before others are requested


class ConstrainedJob(NamedTuple):
    """A waiting job that can run only on some machines, and the zone that it is bound to."""

    job: Job
    zone: str | None  # None if the job may run in any zone


@dataclass(slots=True)
class Supply:
    """CPUs of the existing and the requested machines."""

    on_demand_cpus: float = 0.0
    total_cpus: float = 0.0

    def add(self, cpus: float, *, is_spot: bool) -> None:
        """Add the CPUs of more machines. A negative number subtracts."""
        self.total_cpus += cpus
        if not is_spot:
            self.on_demand_cpus += cpus


class _PricedOffering(NamedTuple):
    """An offering that may be requested now, with its cost per CPU."""

    cost_per_cpu: float  # price per CPU, raised by the boot time
    machines_in_zone: int
    offering: MachineOffering
    cpus: float  # CPUs of one machine


def is_serving(machine: Machine) -> bool:
    """Return whether the machine is up or booting, and accepts new tasks."""
    return machine.state in (MachineState.BOOTING, MachineState.UP) and not machine.is_unschedulable


def demanded_cpus_per_task(spec: JobSpec) -> float:
    """Return the CPUs by which the demand for machines grows with each task of the job."""
    return spec.cpus if spec.cpus > 0 else CPUS_WITHOUT_REQUEST


def waiting_cpus(job: Job) -> float:
    """Return the CPUs that the job's tasks demand which are not launched yet."""
    return demanded_cpus_per_task(job.spec) * (job.unplaced_count + job.enqueued_count)


@dataclass(slots=True)
class ScaleOutPass:
    """State of one pass of the autoscaler that plans a scale-out.

    New requests are collected in `requests` and also added to `outstanding_requests`."""

    types: dict[str, MachineType]
    machines: list[Machine]  # serving machines only
    outstanding_requests: dict[str, ScaleOutRequest]
    refused_until: dict[MachineOffering, MonotonicTime]
    boot_weight_s: float  # boot time that doubles the cost of a machine
    name_prefix: str
    numbers: Iterator[int]  # sequence numbers for the names of requests
    now: MonotonicTime
    requests: list[ScaleOutRequest] = field(default_factory=list)  # made by this pass
    # The key is the zone and whether the machines are spot machines.
    _machines_per_zone: dict[tuple[str, bool], int] = field(default_factory=dict)

    def run(self, targets: CpuTargets, constrained: list[ConstrainedJob]) -> None:
        """Make the requests that the targets and the constrained jobs need.

        Constrained jobs come first, because the supply may reach the targets with machines on
        which none of these jobs can run."""
        supply = self._count_supply()
        for job, zone in constrained:
            cpus = self._request_for_job(job, zone)
            supply.add(cpus, is_spot=job.spec.allows_spot)
        missing_cpus = targets.on_demand - supply.on_demand_cpus
        if missing_cpus > 0:
            supply.total_cpus += self._request_cheapest(missing_cpus, is_spot=False)
        missing_cpus = targets.total - supply.total_cpus
        if missing_cpus > 0:
            missing_cpus -= self._request_cheapest(missing_cpus, is_spot=True)
        if missing_cpus > 0:
            self._request_cheapest(missing_cpus, is_spot=False)

    def _count_supply(self) -> Supply:
        """Return the CPUs of all machines and outstanding requests; count the machines per zone."""
        supply = Supply()
        for machine in self.machines:
            supply.add(machine.type.cpus, is_spot=machine.is_spot)
            zone = (machine.zone, machine.is_spot)
            self._machines_per_zone[zone] = self._machines_per_zone.get(zone, 0) + 1
        for request in self.outstanding_requests.values():
            supply.add(self._requested_cpus(request), is_spot=request.offering.is_spot)
        return supply

    def _request_for_job(self, job: Job, zone: str | None) -> float:
        """Request the suitable machines that the job lacks; return the CPUs requested."""
        spec = job.spec

        def is_suitable(offering: MachineOffering) -> bool:
            return (
                (spec.allows_spot or not offering.is_spot)
                and zone in (None, offering.zone)
                and fits_machine_type(spec, self.types[offering.type])
            )

        missing_cpus = self._subtract_suitable(waiting_cpus(job), job, zone)
        for request in self.outstanding_requests.values():
            if is_suitable(request.offering):
                missing_cpus -= self._requested_cpus(request)
        requested_cpus = 0.0
        for is_spot in (True, False) if spec.allows_spot else (False,):
            if missing_cpus - requested_cpus > 0:
                requested_cpus += self._request_cheapest(
                    missing_cpus - requested_cpus, is_spot=is_spot, is_suitable=is_suitable
                )
        return requested_cpus

    def _subtract_suitable(self, cpus: float, job: Job, zone: str | None) -> float:
        """Return `cpus` minus the CPUs of the machines that the job can use."""
        # Machines in use mostly become free soon, so they count at first. Long tasks may occupy a
        # whole zone, though, so later only free CPUs count.
        is_recent = self.now - max(job.ready_at, job.last_placed_at) < REUSE_WAIT_S
        for machine in self.machines:
            if (
                not job.avoids_machine(machine.id, self.now)
                and is_feasible(job.spec, machine)
                and zone in (None, machine.zone)
                and fits_machine_type(job.spec, machine.type)
            ):
                cpus -= machine.type.cpus if is_recent else max(0.0, machine.free_cpus)
        return cpus

    def _request_cheapest(
        self,
        cpus: float,
        *,
        is_spot: bool,
        is_suitable: Callable[[MachineOffering], bool] | None = None,
    ) -> float:
        """Request `cpus` CPUs from the cheapest offerings; return the CPUs requested.

        Offerings of equal cost get equal shares."""
        offerings = self._available_offerings(is_spot=is_spot, is_suitable=is_suitable)
        requested_cpus = 0.0
        for position, priced in enumerate(offerings):
            missing_cpus = cpus - requested_cpus
            if missing_cpus <= 0:
                break
            equal_cost = sum(
                1 for other in offerings[position:] if other.cost_per_cpu == priced.cost_per_cpu
            )
            wanted = max(1, math.ceil(missing_cpus / priced.cpus / equal_cost))
            machine_count = min(MAX_CREATED_MACHINES, wanted)
            self._add_request(priced.offering, machine_count)
            requested_cpus += machine_count * priced.cpus
        return requested_cpus

    def _available_offerings(
        self, *, is_spot: bool, is_suitable: Callable[[MachineOffering], bool] | None
    ) -> list[_PricedOffering]:
        """Return the offerings that may be requested, in ascending order of cost per CPU.

        Offerings that were refused recently or have an outstanding request are left out. Among
        equal costs, zones with fewer machines come first."""
        available = []
        for machine_type in self.types.values():
            price = machine_type.spot_price if is_spot else machine_type.price
            if price <= 0 or machine_type.cpus <= 0:
                continue
            # Jobs wait while a machine boots, so a longer boot time raises its cost.
            boot_factor = 1 + machine_type.boot_s / self.boot_weight_s
            cost_per_cpu = price / machine_type.cpus * boot_factor
            for zone in machine_type.zones:
                offering = MachineOffering(machine_type.name, zone, is_spot)
                if is_suitable is not None and not is_suitable(offering):
                    continue
                if not self._is_available(offering):
                    continue
                in_zone = self._machines_per_zone.get((zone, is_spot), 0)
                available.append(
                    _PricedOffering(cost_per_cpu, in_zone, offering, machine_type.cpus)
                )
        available.sort(
            key=lambda priced: (priced.cost_per_cpu, priced.machines_in_zone, priced.offering.zone)
        )
        return available

    def _is_available(self, offering: MachineOffering) -> bool:
        if self.refused_until.get(offering, DISTANT_PAST) > self.now:
            return False
        return all(request.offering != offering for request in self.outstanding_requests.values())

    def _add_request(self, offering: MachineOffering, machine_count: int) -> None:
        name = f"{self.name_prefix}-{next(self.numbers)}"
        request = ScaleOutRequest(name, offering, machine_count)
        self.outstanding_requests[name] = request
        self.requests.append(request)

    def _requested_cpus(self, request: ScaleOutRequest) -> float:
        return self.types[request.offering.type].cpus * request.machine_count
