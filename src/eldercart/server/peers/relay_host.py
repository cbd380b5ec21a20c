"""What the parts that serve peers and workers need of the process."""

from collections.abc import Callable
from typing import Protocol

from eldercart.election.state_machine import Election
from eldercart.server.leadership.election_service import ElectionService
from eldercart.server.leadership.leader_service import LeaderService
from eldercart.server.metrics import Metrics
from eldercart.server.store.client import StoreClient
from eldercart.settings import NodeSettings, Tuning
from eldercart.units import FencingToken, MonotonicTime


class RelayHost(Protocol):
    """The process as the parts see it that serve peers and workers."""

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
    def metrics(self) -> Metrics:
        """Where durations are recorded."""

    @property
    def store(self) -> StoreClient:
        """The client of the state service."""

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
