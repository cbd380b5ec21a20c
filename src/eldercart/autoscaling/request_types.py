"""The requests that the leader sends to the cloud."""

from dataclasses import dataclass

from eldercart.units import MONOTONIC_ZERO, MachineId, MonotonicTime


@dataclass(frozen=True, slots=True)
class MachineOffering:
    """A kind of machine that the cloud offers: a type in a zone, spot or on-demand."""

    type: str
    zone: str
    is_spot: bool


@dataclass(slots=True)
class ScaleOutRequest:
    """A request for a number of machines of one offering. Its name makes it idempotent."""

    name: str
    offering: MachineOffering
    machine_count: int
    sent_at: MonotonicTime = MONOTONIC_ZERO  # zero until it is sent


@dataclass(frozen=True, slots=True)
class ScaleOut:
    """Create the machines of a scale-out request."""

    request: ScaleOutRequest


@dataclass(frozen=True, slots=True)
class DeleteMachines:
    """Delete machines, which returns them to the cloud."""

    machines: tuple[MachineId, ...]


@dataclass(frozen=True, slots=True)
class ListMachines:
    """List one page of machines: those after the machine `after`, or the first page if None."""

    after: MachineId | None


@dataclass(frozen=True, slots=True)
class GetCatalog:
    """Read the catalog of machine types."""


CloudRequest = ScaleOut | DeleteMachines | ListMachines | GetCatalog
