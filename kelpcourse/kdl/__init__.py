"""Settings written in KDL 2, read into typed and checked values."""

from kelpcourse.kdl.errors import SettingProblem, SettingsError
from kelpcourse.kdl.reader import Block, load, parse

__all__ = ["Block", "SettingProblem", "SettingsError", "load", "parse"]
