"""The services and settings that all look-ups of jobs share."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from eldercart.server.leadership.leader_service import LeaderService
from eldercart.server.peers.leader_client import LeaderClient
from eldercart.server.peers.relay_service import RelayService
from eldercart.server.store.client import StoreClient
from eldercart.settings import NodeSettings
from eldercart.units import MonotonicTime


class LeaderAccess(Protocol):
    """Access to the leader. The node creates both services after those that serve users."""

    @property
    def leader_service(self) -> LeaderService:
        """The leader service of this node."""

    @property
    def relay_service(self) -> RelayService:
        """The connections to the other nodes."""


@dataclass(frozen=True, slots=True)
class LookupContext:
    """The settings, the clock and the sources from which a job's state is looked up."""

    settings: NodeSettings
    clock: Callable[[], MonotonicTime]
    store: StoreClient
    leader_access: LeaderAccess

    @property
    def leader(self) -> LeaderService:
        """The leader service of this node, whose scheduler is None unless this node leads."""
        return self.leader_access.leader_service

    @property
    def leader_client(self) -> LeaderClient:
        """The client for requests to a leader on another node."""
        return self.leader_access.relay_service.leader_client
