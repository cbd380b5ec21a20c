"""What the leader may ask of the cloud."""

from dataclasses import dataclass

from eldercart.units import MONOTONIC_ZERO, MachineId, MonotonicTime


@dataclass(frozen=True, slots=True)
class MachineOffering:
    """What the cloud rents: machines of a type, in a zone, spot or on-demand."""

    type: str
    zone: str
    is_spot: bool


@dataclass(slots=True)
class ScaleOutRequest:
    """A number of machines of an offering; the name makes the request idempotent."""

    name: str
    offering: MachineOffering
    machine_count: int
    sent_at: MonotonicTime = MONOTONIC_ZERO  # zero: not yet


@dataclass(frozen=True, slots=True)
class ScaleOut:
    """Rent machines."""

    request: ScaleOutRequest


@dataclass(frozen=True, slots=True)
class DeleteMachines:
    """Return machines."""

    machines: tuple[MachineId, ...]


@dataclass(frozen=True, slots=True)
class ListMachines:
    """List one page of machines, after the one named or from the beginning."""

    after: MachineId | None


@dataclass(frozen=True, slots=True)
class GetCatalog:
    """Read the machine types."""


CloudRequest = ScaleOut | DeleteMachines | ListMachines | GetCatalog
