"""eldercart: a cluster scheduler."""

__version__ = "0.3.0"
