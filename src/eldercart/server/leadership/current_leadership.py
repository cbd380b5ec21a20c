"""Check that a response still belongs to the leadership that sent the request."""

from collections.abc import Callable
from typing import Protocol

from eldercart.scheduling.scheduler import Scheduler
from eldercart.units import FencingToken


class Leadership(Protocol):
    """This node's leadership, as seen by the components that work for it."""

    @property
    def scheduler(self) -> Scheduler | None:
        """The leader's scheduler, or None while this node does not lead."""

    @property
    def process_events_soon(self) -> Callable[[], None]:
        """Function that schedules one `process_events` for all events of the next milliseconds."""

    def process_events(self) -> None:
        """Carry out the work that the scheduler has now."""

    def observe_token(self, token: FencingToken, reason: str, /) -> None:
        """End the leadership if the fencing token is higher than this node's own."""

    def step_down(self, reason: str, /) -> None:
        """End the leadership after a conditional write proved that another node leads."""


def is_current_leadership(leadership: Leadership, scheduler: Scheduler) -> bool:
    """Return whether the scheduler belongs to this node's current leadership.

    A response that arrives after its leadership has ended must not affect the next one.
    """
    return leadership.scheduler is scheduler
