"""The length check can fail."""

from __future__ import annotations

from tests.module_size import LINES_MOST, problems, texts


def test_the_module_is_within_its_limits() -> None:
    assert problems(texts()) == []


def test_too_long_and_too_wide_are_found() -> None:
    assert len(problems({"a": "x\n" * (LINES_MOST // 2), "b": "x\n" * (LINES_MOST // 2 + 1)})) == 1
    assert problems({"a": "\n" * 2000 + "x"}) == []
    assert "b: line 2" in problems({"a": "x", "b": "x\n" + "y" * 111})[0]
