"""The collaborators that all look-ups of jobs share."""

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
    """The two ways to the leader. The process builds them after the parts that serve users."""

    @property
    def leader_service(self) -> LeaderService:
        """This node's own leadership."""

    @property
    def relay_service(self) -> RelayService:
        """The connections to the other nodes."""


@dataclass(frozen=True, slots=True)
class LookupContext:
    """Where the state of a job can be looked up, and the settings and clock to go by."""

    settings: NodeSettings
    clock: Callable[[], MonotonicTime]
    store: StoreClient
    leader_access: LeaderAccess

    @property
    def leader(self) -> LeaderService:
        """This node's own leadership, which may not be active."""
        return self.leader_access.leader_service

    @property
    def leader_client(self) -> LeaderClient:
        """Asks another node that leads."""
        return self.leader_access.relay_service.leader_client
