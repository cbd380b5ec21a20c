"""Renting and returning machines: demand, supply, refusals, late boots."""

import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from statistics import fmean

from eldercart.cluster.inventory import Machine, MachineState
from eldercart.jobs.job import Job
from eldercart.scheduling.feasibility import fits_machine_type, is_feasible
from eldercart.settings import Tuning
from eldercart.settings.platform import Team
from eldercart.units import DISTANT_PAST, MONOTONIC_ZERO, MonotonicTime
from eldercart.wire.cloud import MAX_CREATED_MACHINES, MachineType

SAMPLE_INTERVAL_S = 1.0  # between two figures of the window
REUSE_WAIT_S = (
    20.0  # for which a job waits for machines in use that suit it before others are rented
)
QUIET_GAPS = 12.0  # usual gaps without a submission after which the stream counts as stopped


@dataclass(slots=True)
class DemandForecast:
    """CPUs asked for, and what a window of the past makes likely to be asked for again: the mean
    and some of the spread, so that a steady stream of many jobs needs little beyond what it uses
    and a few large ones that follow each other find the fleet standing."""

    deviations: float  # standard deviations kept ready above the mean
    _samples: deque[tuple[MonotonicTime, float]] = field(default_factory=deque)
    expected_cpus: float = 0.0

    def update(self, cpus: float, at: MonotonicTime, memory_s: float) -> None:
        """So many CPUs are asked for now; the window is `memory_s` seconds long."""
        if self._samples and at - self._samples[-1][0] < SAMPLE_INTERVAL_S:
            self._samples[-1] = (self._samples[-1][0], max(cpus, self._samples[-1][1]))
        else:
            self._samples.append((at, cpus))
        while self._samples and self._samples[0][0] < at - memory_s:
            self._samples.popleft()
        values = [cpus for _, cpus in self._samples]
        if not values:
            self.expected_cpus = cpus
            return
        mean = fmean(values)
        deviation = max(0.0, fmean([v * v for v in values]) - mean * mean) ** 0.5
        self.expected_cpus = max(cpus, mean + self.deviations * deviation)


@dataclass(frozen=True, slots=True)
class MachineOffering:
    """What the cloud rents: machines of a type, in a zone, spot or ordinary."""

    type: str
    zone: str
    is_spot: bool


@dataclass(slots=True)
class ScaleOutRequest:
    """A request for machines, under the name that makes its repetition safe."""

    name: str
    offering: MachineOffering
    machine_count: int
    sent_at: MonotonicTime = MONOTONIC_ZERO


@dataclass(slots=True)
class Autoscaler:
    """Owns the demand figures, the refusals and the requests under way."""

    tuning: Tuning
    teams: dict[str, Team]
    on_demand_forecast: DemandForecast = field(init=False)
    total_forecast: DemandForecast = field(init=False)
    refused_until: dict[MachineOffering, MonotonicTime] = field(default_factory=dict)
    outstanding_requests: dict[str, ScaleOutRequest] = field(default_factory=dict)
    _request_count: int = 0
    _last_arrival_at: MonotonicTime | None = None
    _mean_gap_s: float = 0.0  # mean seconds between submissions, recent ones weighing more
    is_quiet: bool = False  # submissions have stopped

    def __post_init__(self) -> None:
        """Makes the two demands from the settings."""
        self.on_demand_forecast = DemandForecast(self.tuning.ordinary_spread)
        self.total_forecast = DemandForecast(self.tuning.demand_spread)

    def record_arrival(self, now: MonotonicTime) -> None:
        """A job has come: the usual pace of submissions is learned from it."""
        if self._last_arrival_at is not None:
            gap = now - self._last_arrival_at
            self._mean_gap_s = (
                gap if self._mean_gap_s == 0.0 else 0.9 * self._mean_gap_s + 0.1 * gap
            )
        self._last_arrival_at = now

    def excuse_pause(self, now: MonotonicTime) -> None:
        """That no job has come lately tells nothing: none could be accepted."""
        if self._last_arrival_at is not None:
            self._last_arrival_at = now

    def update_demand(
        self, jobs: Iterable[Job], booked: tuple[float, float], now: MonotonicTime
    ) -> None:
        """Takes the demand of now; `booked`: CPUs of soft bookings, ordinary ones and all."""
        ordinary = booked[0]
        by_team: dict[str, float] = {}
        for job in jobs:
            if not job.is_ready or job.is_cancelled or job.backoff_until > now:
                continue
            spec = job.spec
            waiting = job.unplaced_count + job.enqueued_count
            placed = spec.task_count - job.done_count - waiting
            cpus = spec.cpus * (placed + self.tuning.waiting_share * waiting)
            team = self.teams.get(spec.team)
            if team is not None and team.cpus_max > 0:
                cpus = min(cpus, max(0.0, team.cpus_max - by_team.get(spec.team, 0.0)))
            by_team[spec.team] = by_team.get(spec.team, 0.0) + cpus
            if not spec.allows_spot:
                ordinary += cpus
            elif job.prefers_on_demand:
                ordinary += spec.cpus * (job.unplaced_count + job.enqueued_count)
        # Peaks are remembered because more work like it will come. When submissions have stopped,
        # by their own usual pace, it will not: the fleet shrinks to what is left to do.
        pause = max(self.tuning.pause_s, QUIET_GAPS * self._mean_gap_s)
        self.is_quiet = self._last_arrival_at is None or now - self._last_arrival_at > pause
        memory = 0.0 if self.is_quiet else self.tuning.demand_memory_s
        self.on_demand_forecast.update(ordinary, now, memory)
        self.total_forecast.update(sum(by_team.values()) + booked[1], now, memory)

    def target_cpus(self) -> tuple[float, float]:
        """The CPUs to have: of ordinary machines, and of all."""
        share = 1.0 + self.tuning.headroom_share
        return self.on_demand_forecast.expected_cpus, self.total_forecast.expected_cpus * share

    def record_refusal(self, offer: MachineOffering, now: MonotonicTime) -> None:
        """The cloud had no more of it: it is not asked again for a while."""
        self.refused_until[offer] = MonotonicTime(now + self.tuning.refusal_s)

    def plan_scale_out(
        self,
        machines: Iterable[Machine],
        types: dict[str, MachineType],
        constrained: list[tuple[Job, str | None]],
        prefix: str,
        now: MonotonicTime,
    ) -> list[ScaleOutRequest]:
        """What to rent now. `constrained` are waiting jobs that not every machine suits, with the
        zone they are bound to: the sums below may be met by machines of which none does."""
        machines = list(machines)
        supply_ordinary = supply_any = 0.0
        zones: dict[tuple[str, bool], int] = {}
        for m in machines:
            if m.state in (MachineState.BOOTING, MachineState.UP) and not m.is_unschedulable:
                supply_any += m.type.cpus
                if not m.is_spot:
                    supply_ordinary += m.type.cpus
                zones[m.zone, m.is_spot] = zones.get((m.zone, m.is_spot), 0) + 1
        for rental_request in self.outstanding_requests.values():
            cpus = types[rental_request.offering.type].cpus * rental_request.machine_count
            supply_any += cpus
            if not rental_request.offering.is_spot:
                supply_ordinary += cpus
        want_ordinary, want_any = self.target_cpus()
        rental_requests: list[ScaleOutRequest] = []
        for job, zone in constrained:
            got = self._scale_out_for_job(
                job, zone, machines, types, zones, prefix, now, rental_requests
            )
            supply_any += got
            if not job.spec.allows_spot:
                supply_ordinary += got
        short = want_ordinary - supply_ordinary
        if short > 0:
            got = self._request_cheapest(short, False, types, zones, prefix, now, rental_requests)
            supply_any += got
        short = want_any - supply_any
        if short > 0:
            short -= self._request_cheapest(short, True, types, zones, prefix, now, rental_requests)
            if short > 0:
                self._request_cheapest(short, False, types, zones, prefix, now, rental_requests)
        return rental_requests

    def _scale_out_for_job(
        self,
        job: Job,
        zone: str | None,
        machines: list[Machine],
        types: dict[str, MachineType],
        zones: dict[tuple[str, bool], int],
        prefix: str,
        now: MonotonicTime,
        rental_requests: list[ScaleOutRequest],
    ) -> float:
        spec = job.spec
        short = spec.cpus * (job.unplaced_count + job.enqueued_count)
        # What is in use comes free, mostly soon. Long tasks may hold all of a zone, though.
        soon = now - max(job.ready_at, job.last_placed_at) < REUSE_WAIT_S
        for m in machines:
            if (
                m.state in (MachineState.BOOTING, MachineState.UP)
                and not m.is_unschedulable
                and not job.avoids_machine(m.id, now)
                and is_feasible(spec, m)
                and zone in (None, m.zone)
                and fits_machine_type(spec, m.type)
            ):
                short -= m.type.cpus if soon else max(0.0, m.free_cpus)

        def suits(offer: MachineOffering) -> bool:
            return (
                (spec.allows_spot or not offer.is_spot)
                and zone in (None, offer.zone)
                and fits_machine_type(spec, types[offer.type])
            )

        for rental_request in self.outstanding_requests.values():
            if suits(rental_request.offering):
                short -= types[rental_request.offering.type].cpus * rental_request.machine_count
        got = 0.0
        for spot in (True, False) if spec.allows_spot else (False,):
            if short - got > 0:
                got += self._request_cheapest(
                    short - got, spot, types, zones, prefix, now, rental_requests, suits
                )
        return got

    def _request_cheapest(
        self,
        cpus: float,
        spot: bool,
        types: dict[str, MachineType],
        zones: dict[tuple[str, bool], int],
        prefix: str,
        now: MonotonicTime,
        rental_requests: list[ScaleOutRequest],
        suits: Callable[[MachineOffering], bool] | None = None,
    ) -> float:
        """Asks for the cheapest offer that no recent refusal speaks against, one zone a time."""
        offers = []
        for kind in types.values():
            price = kind.spot_price if spot else kind.price
            if price <= 0 or kind.cpus <= 0:
                continue
            for zone in kind.zones:
                offer = MachineOffering(kind.name, zone, spot)
                if suits is not None and not suits(offer):
                    continue
                if self.refused_until.get(offer, DISTANT_PAST) > now or any(
                    h.offering == offer for h in self.outstanding_requests.values()
                ):
                    continue
                # A machine that boots late is worth less to those who wait.
                cost = price / kind.cpus * (1 + kind.boot_s / self.tuning.boot_weight_s)
                offers.append((cost, zones.get((zone, spot), 0), offer, kind))
        offers.sort(key=lambda o: (o[0], o[1], o[2].zone))
        got = 0.0
        for i, (cost, _, offer, kind) in enumerate(offers):
            left = cpus - got
            if left <= 0:
                break
            same = sum(1 for o in offers[i:] if o[0] == cost)
            number = min(MAX_CREATED_MACHINES, max(1, math.ceil(left / kind.cpus / same)))
            self._request_count += 1
            rental_request = ScaleOutRequest(f"{prefix}-{self._request_count}", offer, number)
            self.outstanding_requests[rental_request.name] = rental_request
            rental_requests.append(rental_request)
            got += number * kind.cpus
        return got

    def plan_scale_in(self, machines: Iterable[Machine], now: MonotonicTime) -> list[Machine]:
        """Idle machines that neither demand nor booking needs."""
        want_ordinary, want_any = self.target_cpus()
        supply_ordinary = supply_any = 0.0
        idle_s = self.tuning.idle_return_s / (3.0 if self.is_quiet else 1.0)
        idle = []
        for m in machines:
            if m.state not in (MachineState.BOOTING, MachineState.UP) or m.is_unschedulable:
                continue
            supply_any += m.type.cpus
            if not m.is_spot:
                supply_ordinary += m.type.cpus
            if (
                m.state is MachineState.UP
                and m.is_confirmed
                and not m.placements
                and not m.has_unknown_tasks
                and now - m.idle_since >= idle_s
            ):
                idle.append(m)
        # The dearest first.
        idle.sort(
            key=lambda m: (
                -(m.type.spot_price if m.is_spot else m.type.price) / max(m.type.cpus, 1.0)
            )
        )
        out = []
        for m in idle:
            cpus = m.type.cpus
            if supply_any - cpus < want_any:
                continue
            if not m.is_spot and supply_ordinary - cpus < want_ordinary:
                continue
            supply_any -= cpus
            if not m.is_spot:
                supply_ordinary -= cpus
            out.append(m)
        return out
