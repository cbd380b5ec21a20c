"""The settings: the platform's file and the operators' own."""

from eldercart.settings.operator import Tuning, load_tuning
from eldercart.settings.platform import InvalidSettingsError, NodeSettings, Team, load_platform

__all__ = ["InvalidSettingsError", "NodeSettings", "Team", "Tuning", "load_platform", "load_tuning"]
