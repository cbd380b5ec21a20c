"""The wire formats: names and validation. Nothing here does I/O, so clients can use it too."""

from eldercart.wire.checks import MalformedMessageError

__all__ = ["MalformedMessageError"]
