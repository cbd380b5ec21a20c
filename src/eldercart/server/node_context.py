"""Values that all components of one controller node share."""

from collections.abc import Callable
from dataclasses import dataclass

from eldercart.server.metrics import Metrics
from eldercart.settings import NodeSettings, Tuning
from eldercart.units import IncarnationId, MonotonicTime

Clock = Callable[[], MonotonicTime]


@dataclass(frozen=True, slots=True)
class NodeContext:
    """The settings, identity, clock and metrics of one process of the service."""

    settings: NodeSettings
    tuning: Tuning
    incarnation: IncarnationId
    clock: Clock
    metrics: Metrics
