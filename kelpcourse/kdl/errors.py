"""What can be wrong with a settings file."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class SettingProblem:
    """One problem, with its place."""

    file: str
    line: int  # 0: none
    field: str  # names joined by dots
    text: str

    def __str__(self) -> str:
        """Returns it as a compiler would print it."""
        return f"{self.file}:{self.line}: {self.field}: {self.text}"


class SettingsError(ValueError):
    """All problems of a settings file."""

    def __init__(self, problems: Sequence[SettingProblem]) -> None:
        """Keeps the problems, in the order of the file."""
        super().__init__("\n".join(map(str, problems)))
        self.problems = tuple(problems)
