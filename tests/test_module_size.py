"""The length check can fail."""

from __future__ import annotations

from tests.module_size import LINES_MOST, MODULE, problems


def test_the_module_is_within_its_limits() -> None:
    assert problems(MODULE.read_text(encoding="utf-8")) == []


def test_too_long_and_too_wide_are_found() -> None:
    assert len(problems("x\n" * (LINES_MOST + 1))) == 1
    assert problems("\n" * 2000 + "x") == []
    assert "line 2" in problems("x\n" + "y" * 111)[0]
