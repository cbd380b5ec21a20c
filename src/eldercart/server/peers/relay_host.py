"""The interface of the controller node that the services for peers and workers depend on."""

from typing import Protocol

from eldercart.election.state_machine import Election
from eldercart.server.leadership.election_service import ElectionService
from eldercart.server.leadership.leader_service import LeaderService
from eldercart.server.metrics import Metrics
from eldercart.server.node_services import NodeServices
from eldercart.units import FencingToken


class RelayHost(NodeServices, Protocol):
    """The part of the controller node that the services for peers and workers use."""

    @property
    def metrics(self) -> Metrics:
        """The recorder of request durations."""

    @property
    def election(self) -> Election:
        """The state machine of the leader election on this node."""

    @property
    def election_service(self) -> ElectionService:
        """The service that runs the election against the state service."""

    @property
    def leader_service(self) -> LeaderService:
        """The service that runs the scheduler while this node is the leader."""

    @property
    def supported_features(self) -> tuple[str, ...]:
        """The features that this node announces to its peers."""

    def observe_token(self, token: FencingToken, reason: str, /) -> None:
        """Record a fencing token. One that is higher than the known one ends this leadership."""
