"""Renting and returning machines: demand, supply, refusals, late boots."""

import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from statistics import fmean

from eldercart.cluster.inventory import Machine, MachineState
from eldercart.jobs.registry import Job
from eldercart.scheduling.feasibility import allowed, fits_type
from eldercart.settings import Tuning
from eldercart.settings.platform import Team
from eldercart.units import CLOCK_ZERO, NEVER, Steady
from eldercart.wire.cloud import MAX_RENT, MachineType

SAMPLE_S = 1.0  # between two figures of the window
SOON_S = 20.0  # for which a job waits for machines in use that suit it before others are rented
PAUSE_GAPS = 12.0  # usual gaps without a submission after which the stream counts as stopped


@dataclass(slots=True)
class Demand:
    """CPUs asked for, and what a window of the past makes likely to be asked for again: the mean
    and some of the spread, so that a steady stream of many jobs needs little beyond what it uses
    and a few large ones that follow each other find the fleet standing."""

    spread: float  # standard deviations kept ready above the mean
    _samples: deque[tuple[Steady, float]] = field(default_factory=deque)
    level: float = 0.0

    def update(self, cpus: float, at: Steady, memory_s: float) -> None:
        """So many CPUs are asked for now; the window is `memory_s` seconds long."""
        if self._samples and at - self._samples[-1][0] < SAMPLE_S:
            self._samples[-1] = (self._samples[-1][0], max(cpus, self._samples[-1][1]))
        else:
            self._samples.append((at, cpus))
        while self._samples and self._samples[0][0] < at - memory_s:
            self._samples.popleft()
        values = [cpus for _, cpus in self._samples]
        if not values:
            self.level = cpus
            return
        mean = fmean(values)
        deviation = max(0.0, fmean([v * v for v in values]) - mean * mean) ** 0.5
        self.level = max(cpus, mean + self.spread * deviation)


@dataclass(frozen=True, slots=True)
class Offer:
    """What the cloud rents: machines of a type, in a zone, spot or ordinary."""

    type: str
    zone: str
    spot: bool


@dataclass(slots=True)
class RentalRequest:
    """A request for machines, under the name that makes its repetition safe."""

    name: str
    offer: Offer
    number: int
    sent: Steady = CLOCK_ZERO


@dataclass(slots=True)
class Rental:
    """Owns the demand figures, the refusals and the requests under way."""

    tuning: Tuning
    teams: dict[str, Team]
    ordinary: Demand = field(init=False)
    any: Demand = field(init=False)
    refused: dict[Offer, Steady] = field(default_factory=dict)
    rental_requests: dict[str, RentalRequest] = field(default_factory=dict)
    _counter: int = 0
    _last_arrival: Steady | None = None
    _gap: float = 0.0  # mean seconds between submissions, recent ones weighing more
    quiet: bool = False  # submissions have stopped

    def __post_init__(self) -> None:
        """Makes the two demands from the settings."""
        self.ordinary = Demand(self.tuning.ordinary_spread)
        self.any = Demand(self.tuning.demand_spread)

    def arrived(self, now: Steady) -> None:
        """A job has come: the usual pace of submissions is learned from it."""
        if self._last_arrival is not None:
            gap = now - self._last_arrival
            self._gap = gap if self._gap == 0.0 else 0.9 * self._gap + 0.1 * gap
        self._last_arrival = now

    def pause_excused(self, now: Steady) -> None:
        """That no job has come lately tells nothing: none could be accepted."""
        if self._last_arrival is not None:
            self._last_arrival = now

    def measure(self, jobs: Iterable[Job], booked: tuple[float, float], now: Steady) -> None:
        """Takes the demand of now; `booked`: CPUs of soft bookings, ordinary ones and all."""
        ordinary = booked[0]
        by_team: dict[str, float] = {}
        for job in jobs:
            if not job.ready or job.cancelled or job.backoff_until > now:
                continue
            spec = job.spec
            waiting = job.pending + job.queued
            placed = spec.tasks - job.done_count - waiting
            cpus = spec.cpus * (placed + self.tuning.waiting_share * waiting)
            team = self.teams.get(spec.team)
            if team is not None and team.cpus_max > 0:
                cpus = min(cpus, max(0.0, team.cpus_max - by_team.get(spec.team, 0.0)))
            by_team[spec.team] = by_team.get(spec.team, 0.0) + cpus
            if not spec.spot:
                ordinary += cpus
            elif job.prefers_ordinary:
                ordinary += spec.cpus * (job.pending + job.queued)
        # Peaks are remembered because more work like it will come. When submissions have stopped,
        # by their own usual pace, it will not: the fleet shrinks to what is left to do.
        pause = max(self.tuning.pause_s, PAUSE_GAPS * self._gap)
        self.quiet = self._last_arrival is None or now - self._last_arrival > pause
        memory = 0.0 if self.quiet else self.tuning.demand_memory_s
        self.ordinary.update(ordinary, now, memory)
        self.any.update(sum(by_team.values()) + booked[1], now, memory)

    def targets(self) -> tuple[float, float]:
        """The CPUs to have: of ordinary machines, and of all."""
        share = 1.0 + self.tuning.headroom_share
        return self.ordinary.level, self.any.level * share

    def refuse(self, offer: Offer, now: Steady) -> None:
        """The cloud had no more of it: it is not asked again for a while."""
        self.refused[offer] = Steady(now + self.tuning.refusal_s)

    def plan(
        self,
        machines: Iterable[Machine],
        types: dict[str, MachineType],
        constrained: list[tuple[Job, str | None]],
        prefix: str,
        now: Steady,
    ) -> list[RentalRequest]:
        """What to rent now. `constrained` are waiting jobs that not every machine suits, with the
        zone they are bound to: the sums below may be met by machines of which none does."""
        machines = list(machines)
        supply_ordinary = supply_any = 0.0
        zones: dict[tuple[str, bool], int] = {}
        for m in machines:
            if m.state in (MachineState.BOOTING, MachineState.UP) and not m.draining:
                supply_any += m.type.cpus
                if not m.spot:
                    supply_ordinary += m.type.cpus
                zones[m.zone, m.spot] = zones.get((m.zone, m.spot), 0) + 1
        for rental_request in self.rental_requests.values():
            cpus = types[rental_request.offer.type].cpus * rental_request.number
            supply_any += cpus
            if not rental_request.offer.spot:
                supply_ordinary += cpus
        want_ordinary, want_any = self.targets()
        rental_requests: list[RentalRequest] = []
        for job, zone in constrained:
            got = self._rent_for(job, zone, machines, types, zones, prefix, now, rental_requests)
            supply_any += got
            if not job.spec.spot:
                supply_ordinary += got
        short = want_ordinary - supply_ordinary
        if short > 0:
            got = self._rent(short, False, types, zones, prefix, now, rental_requests)
            supply_any += got
        short = want_any - supply_any
        if short > 0:
            short -= self._rent(short, True, types, zones, prefix, now, rental_requests)
            if short > 0:
                self._rent(short, False, types, zones, prefix, now, rental_requests)
        return rental_requests

    def _rent_for(
        self,
        job: Job,
        zone: str | None,
        machines: list[Machine],
        types: dict[str, MachineType],
        zones: dict[tuple[str, bool], int],
        prefix: str,
        now: Steady,
        rental_requests: list[RentalRequest],
    ) -> float:
        spec = job.spec
        short = spec.cpus * (job.pending + job.queued)
        # What is in use comes free, mostly soon. Long tasks may hold all of a zone, though.
        soon = now - max(job.ready_at, job.served) < SOON_S
        for m in machines:
            if (
                m.state in (MachineState.BOOTING, MachineState.UP)
                and not m.draining
                and not job.avoids(m.id, now)
                and allowed(spec, m)
                and zone in (None, m.zone)
                and fits_type(spec, m.type)
            ):
                short -= m.type.cpus if soon else max(0.0, m.free_cpus)

        def suits(offer: Offer) -> bool:
            return (
                (spec.spot or not offer.spot)
                and zone in (None, offer.zone)
                and fits_type(spec, types[offer.type])
            )

        for rental_request in self.rental_requests.values():
            if suits(rental_request.offer):
                short -= types[rental_request.offer.type].cpus * rental_request.number
        got = 0.0
        for spot in (True, False) if spec.spot else (False,):
            if short - got > 0:
                got += self._rent(
                    short - got, spot, types, zones, prefix, now, rental_requests, suits
                )
        return got

    def _rent(
        self,
        cpus: float,
        spot: bool,
        types: dict[str, MachineType],
        zones: dict[tuple[str, bool], int],
        prefix: str,
        now: Steady,
        rental_requests: list[RentalRequest],
        suits: Callable[[Offer], bool] | None = None,
    ) -> float:
        """Asks for the cheapest offer that no recent refusal speaks against, one zone a time."""
        offers = []
        for kind in types.values():
            price = kind.spot_price if spot else kind.price
            if price <= 0 or kind.cpus <= 0:
                continue
            for zone in kind.zones:
                offer = Offer(kind.name, zone, spot)
                if suits is not None and not suits(offer):
                    continue
                if self.refused.get(offer, NEVER) > now or any(
                    h.offer == offer for h in self.rental_requests.values()
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
            number = min(MAX_RENT, max(1, math.ceil(left / kind.cpus / same)))
            self._counter += 1
            rental_request = RentalRequest(f"{prefix}-{self._counter}", offer, number)
            self.rental_requests[rental_request.name] = rental_request
            rental_requests.append(rental_request)
            got += number * kind.cpus
        return got

    def surplus(self, machines: Iterable[Machine], now: Steady) -> list[Machine]:
        """Idle machines that neither demand nor booking needs."""
        want_ordinary, want_any = self.targets()
        supply_ordinary = supply_any = 0.0
        idle_s = self.tuning.idle_return_s / (3.0 if self.quiet else 1.0)
        idle = []
        for m in machines:
            if m.state not in (MachineState.BOOTING, MachineState.UP) or m.draining:
                continue
            supply_any += m.type.cpus
            if not m.spot:
                supply_ordinary += m.type.cpus
            if (
                m.state is MachineState.UP
                and m.confirmed
                and not m.placed
                and not m.foreign
                and now - m.idle_since >= idle_s
            ):
                idle.append(m)
        # The dearest first.
        idle.sort(
            key=lambda m: -(m.type.spot_price if m.spot else m.type.price) / max(m.type.cpus, 1.0)
        )
        out = []
        for m in idle:
            cpus = m.type.cpus
            if supply_any - cpus < want_any:
                continue
            if not m.spot and supply_ordinary - cpus < want_ordinary:
                continue
            supply_any -= cpus
            if not m.spot:
                supply_ordinary -= cpus
            out.append(m)
        return out
