"""Encoding, parsing and validation of all wire formats and stored records.

The package does no I/O, so clients can use it too.
"""

from eldercart.wire.checks import MalformedMessageError

__all__ = ["MalformedMessageError"]
