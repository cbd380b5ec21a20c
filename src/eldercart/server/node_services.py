"""The interface of the node that the components serving peers and users both use."""

from collections.abc import Callable
from typing import Protocol

from eldercart.server.store.client import StoreClient
from eldercart.settings import NodeSettings, Tuning
from eldercart.units import MonotonicTime


class NodeServices(Protocol):
    """The settings, clock and state service client of one controller node."""

    @property
    def settings(self) -> NodeSettings:
        """The node's settings."""

    @property
    def tuning(self) -> Tuning:
        """The node's tuning values."""

    @property
    def clock(self) -> Callable[[], MonotonicTime]:
        """The process's monotonic clock."""

    @property
    def store(self) -> StoreClient:
        """The client of the state service."""
