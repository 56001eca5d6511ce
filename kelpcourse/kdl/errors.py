"""Problems of a settings file."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class SettingProblem:
    """A problem and its position in a settings file.

    Attributes:
        file: Path of the file.
        line: Line number, from 1; 0 if the problem has no line.
        field: Names of the enclosing nodes and of the field, joined by dots.
        text: Description of the problem.
    """

    file: str
    line: int
    field: str
    text: str

    def __str__(self) -> str:
        """Returns the problem in the format of compiler messages."""
        return f"{self.file}:{self.line}: {self.field}: {self.text}"


class SettingsError(ValueError):
    """Raised for an invalid settings file, with all its problems."""

    def __init__(self, problems: Sequence[SettingProblem]) -> None:
        """Initializes the error with problems in the order in which they were found."""
        super().__init__("\n".join(map(str, problems)))
        self.problems = tuple(problems)
