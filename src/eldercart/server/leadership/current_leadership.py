"""Whether an answer still concerns the leadership that asked for it."""

from collections.abc import Callable
from typing import Protocol

from eldercart.scheduling.scheduler import Scheduler
from eldercart.units import FencingToken


class Leadership(Protocol):
    """This node's leadership, as the parts that act in its name see it."""

    @property
    def scheduler(self) -> Scheduler | None:
        """The leader's scheduler, or None while this node does not lead."""

    @property
    def process_events_soon(self) -> Callable[[], None]:
        """Schedules one `process_events` for all events of the next few milliseconds."""

    def process_events(self) -> None:
        """Carries out the work that the scheduler has now."""

    def observe_token(self, token: FencingToken, reason: str, /) -> None:
        """Ends the leadership if the fencing token is higher than this node's own."""

    def step_down(self, reason: str, /) -> None:
        """Ends the leadership after a conditional write proved that another node leads."""


def is_current_leadership(leadership: Leadership, scheduler: Scheduler) -> bool:
    """Return whether that scheduler is the one that leads here.

    An answer that comes after its leadership must change nothing in the next one.
    """
    return leadership.scheduler is scheduler
