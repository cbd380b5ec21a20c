"""Decides which machines to request from the cloud and which idle machines to return."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import count

from eldercart.autoscaling.demand import CpuTargets, DemandForecast
from eldercart.autoscaling.request_types import MachineOffering, ScaleOutRequest
from eldercart.autoscaling.scale_out import (
    ConstrainedJob,
    ScaleOutPass,
    Supply,
    demanded_cpus_per_task,
    is_serving,
    waiting_cpus,
)
from eldercart.cluster.inventory import Machine, MachineState
from eldercart.jobs.job import Job
from eldercart.prediction.soft_reservations import ReservedCpus
from eldercart.settings import Tuning
from eldercart.settings.platform import Team
from eldercart.units import MonotonicTime
from eldercart.wire.cloud import MachineType

QUIET_AFTER_MEAN_GAPS = 12.0  # mean gaps without a submission until submissions count as stopped
GAP_DECAY, GAP_WEIGHT = 0.9, 0.1  # weights of the old mean gap and of the latest gap
QUIET_IDLE_DIVISOR = 3.0  # divides the idle time before a return once submissions have stopped


@dataclass(slots=True)
class Autoscaler:
    """Holds the demand forecasts, the offerings that the cloud refused, and the scale-out requests
    without an answer. The leader's `CloudRequestQueue` calls it to plan each change."""

    tuning: Tuning
    teams: dict[str, Team]
    on_demand_forecast: DemandForecast = field(init=False)  # demand for on-demand machines
    total_forecast: DemandForecast = field(init=False)
    refused_until: dict[MachineOffering, MonotonicTime] = field(default_factory=dict)
    outstanding_requests: dict[str, ScaleOutRequest] = field(default_factory=dict)  # by name
    _request_numbers: Iterator[int] = field(default_factory=lambda: count(1))
    _last_arrival_at: MonotonicTime | None = None
    _mean_gap_s: float = 0.0  # moving average of the gaps between submissions
    is_quiet: bool = False  # whether submissions have stopped

    def __post_init__(self) -> None:
        """Create the two forecasts from the settings."""
        self.on_demand_forecast = DemandForecast(self.tuning.ordinary_spread)
        self.total_forecast = DemandForecast(self.tuning.demand_spread)

    # -- demand

    def record_arrival(self, now: MonotonicTime) -> None:
        """Record the arrival of a job, and update the mean gap between submissions."""
        if self._last_arrival_at is not None:
            gap_s = now - self._last_arrival_at
            if self._mean_gap_s == 0.0:
                self._mean_gap_s = gap_s
            else:
                self._mean_gap_s = GAP_DECAY * self._mean_gap_s + GAP_WEIGHT * gap_s
        self._last_arrival_at = now

    def restart_pause(self, now: MonotonicTime) -> None:
        """Measure the pause in submissions from `now`, because none could be accepted before."""
        if self._last_arrival_at is not None:
            self._last_arrival_at = now

    def update_demand(
        self, jobs: Iterable[Job], reserved: ReservedCpus, now: MonotonicTime
    ) -> None:
        """Measure the current demand and update both forecasts.

        `reserved` holds the CPUs that soft reservations add to the demand."""
        on_demand_cpus, reserved_cpus = reserved
        cpus_by_team: dict[str, float] = {}
        for job in jobs:
            if not job.is_ready or job.is_cancellation_requested or job.backoff_until > now:
                continue
            spec = job.spec
            cpus = self._demanded_cpus(job, cpus_by_team.get(spec.team, 0.0))
            cpus_by_team[spec.team] = cpus_by_team.get(spec.team, 0.0) + cpus
            if not spec.allows_spot:
                on_demand_cpus += cpus
            elif job.prefers_on_demand:
                on_demand_cpus += waiting_cpus(job)
        # Recent peaks count because similar work is expected to follow. Once submissions have
        # stopped, judged by their own mean gap, none is expected: the cluster shrinks to the
        # remaining work.
        pause_s = max(self.tuning.pause_s, QUIET_AFTER_MEAN_GAPS * self._mean_gap_s)
        self.is_quiet = self._last_arrival_at is None or now - self._last_arrival_at > pause_s
        window_s = 0.0 if self.is_quiet else self.tuning.demand_memory_s
        self.on_demand_forecast.update(on_demand_cpus, now, window_s)
        self.total_forecast.update(sum(cpus_by_team.values()) + reserved_cpus, now, window_s)

    def _demanded_cpus(self, job: Job, team_cpus: float) -> float:
        """Return the CPUs that the job demands.

        The result is capped at what the team's quota leaves after the `team_cpus` that the team's
        jobs counted so far demand."""
        spec = job.spec
        waiting = job.unplaced_count + job.enqueued_count
        placed = spec.task_count - job.done_count - waiting
        cpus_per_task = demanded_cpus_per_task(spec)
        cpus: float = cpus_per_task * (placed + self.tuning.waiting_share * waiting)
        team = self.teams.get(spec.team)
        if team is not None and team.cpus_max > 0:
            cpus = min(cpus, max(0.0, team.cpus_max - team_cpus))
        return cpus

    def target_cpus(self) -> CpuTargets:
        """Return the CPUs that the cluster should have, with headroom in the total."""
        share = 1.0 + self.tuning.headroom_share
        return CpuTargets(
            self.on_demand_forecast.expected_cpus, self.total_forecast.expected_cpus * share
        )

    # -- scaling out and in

    def record_refusal(self, offering: MachineOffering, now: MonotonicTime) -> None:
        """Exclude the offering, which the cloud refused, from requests for `refusal_s` seconds."""
        self.refused_until[offering] = MonotonicTime(now + self.tuning.refusal_s)

    def plan_scale_out(
        self,
        machines: Iterable[Machine],
        types: dict[str, MachineType],
        constrained: list[ConstrainedJob],
        name_prefix: str,
        now: MonotonicTime,
    ) -> list[ScaleOutRequest]:
        """Return the requests to send now, with names that begin with `name_prefix`.

        `constrained` lists the waiting jobs that can run only on some machines."""
        scale_out = ScaleOutPass(
            types=types,
            machines=[machine for machine in machines if is_serving(machine)],
            outstanding_requests=self.outstanding_requests,
            refused_until=self.refused_until,
            boot_weight_s=self.tuning.boot_weight_s,
            name_prefix=name_prefix,
            numbers=self._request_numbers,
            now=now,
        )
        scale_out.run(self.target_cpus(), constrained)
        return scale_out.requests

    def plan_scale_in(self, machines: Iterable[Machine], now: MonotonicTime) -> list[Machine]:
        """Return the idle machines that neither demand nor reservations need, in descending order
        of price per CPU."""
        targets = self.target_cpus()
        supply = Supply()
        idle_s = self.tuning.idle_return_s / (QUIET_IDLE_DIVISOR if self.is_quiet else 1.0)
        idle = []
        for machine in machines:
            if is_serving(machine):
                supply.add(machine.type.cpus, is_spot=machine.is_spot)
                if _is_idle(machine) and now - machine.last_release_at >= idle_s:
                    idle.append(machine)
        idle.sort(key=lambda machine: -_price_per_cpu(machine))
        surplus = []
        for machine in idle:
            cpus = machine.type.cpus
            if supply.total_cpus - cpus < targets.total:
                continue
            if not machine.is_spot and supply.on_demand_cpus - cpus < targets.on_demand:
                continue
            supply.add(-cpus, is_spot=machine.is_spot)
            surplus.append(machine)
        return surplus


def _is_idle(machine: Machine) -> bool:
    """Return whether the machine is up and, as its heartbeats confirm, runs no task."""
    return (
        machine.state is MachineState.UP
        and machine.has_shown_current_token
        and not machine.placements
        and not machine.has_unknown_tasks
    )


def _price_per_cpu(machine: Machine) -> float:
    price = machine.type.spot_price if machine.is_spot else machine.type.price
    return price / max(machine.type.cpus, 1.0)
