"""eldercart: a cluster scheduler."""

__version__ = "0.4.0"
