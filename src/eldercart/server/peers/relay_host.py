"""What the parts that serve peers and workers need of the process."""

from typing import Protocol

from eldercart.election.state_machine import Election
from eldercart.server.leadership.election_service import ElectionService
from eldercart.server.leadership.leader_service import LeaderService
from eldercart.server.metrics import Metrics
from eldercart.server.node_services import NodeServices
from eldercart.units import FencingToken


class RelayHost(NodeServices, Protocol):
    """The process as the parts see it that serve peers and workers."""

    @property
    def metrics(self) -> Metrics:
        """Where durations are recorded."""

    @property
    def election(self) -> Election:
        """The node's view of the election."""

    @property
    def election_service(self) -> ElectionService:
        """Runs the election against the state service."""

    @property
    def leader_service(self) -> LeaderService:
        """This node's leadership."""

    @property
    def supported_features(self) -> tuple[str, ...]:
        """The features that this node announces to its peers."""

    def observe_token(self, token: FencingToken, reason: str, /) -> None:
        """Note a fencing token that was seen; a higher one than known ends this leadership."""
