"""Reads settings files in KDL 2 into typed and validated values."""

from kelpcourse.kdl.errors import SettingProblem, SettingsError
from kelpcourse.kdl.reader import Block, load, parse

__all__ = ["Block", "SettingProblem", "SettingsError", "load", "parse"]
