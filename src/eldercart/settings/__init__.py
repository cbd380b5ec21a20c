"""The settings of a node: the file that the platform provides and the operators' own file."""

from eldercart.settings.operator import Tuning, load_tuning
from eldercart.settings.platform import InvalidSettingsError, NodeSettings, Team, load_platform

__all__ = ["InvalidSettingsError", "NodeSettings", "Team", "Tuning", "load_platform", "load_tuning"]
