"""The machine types of the cloud that this node knows."""

import logging

from eldercart.wire import MalformedMessageError, cloud
from eldercart.wire.cloud import MachineType
from eldercart.wire.state import Item

log = logging.getLogger("eldercart.node")


class KnownMachineTypes:
    """The machine types by name; submissions are checked against them."""

    def __init__(self) -> None:
        """Start without any known type."""
        self.by_name: dict[str, MachineType] = {}

    def load(self, item: Item) -> None:
        """Replace the types by those of the stored catalog, unless it is malformed."""
        try:
            self.by_name = cloud.parse_catalog(item.value)
        except (MalformedMessageError, AttributeError) as err:
            log.error("stored catalog unreadable error=%s", err)
