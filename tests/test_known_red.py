"""The list of tests that fail because of a known fault."""

from __future__ import annotations

import pytest

from tests import known_red

TEXT = """Tests that fail.

tests/a.py::test_one[3]   issue 1
    seen in tests/a.py
tests/b.py::test_two
"""


@pytest.fixture
def listed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(known_red, "known_red_tests", lambda: ["tests/a.py::test_gone"])


def test_ids_are_the_first_words_of_lines_that_begin_with_tests() -> None:
    assert known_red.listed_tests(TEXT) == ["tests/a.py::test_one[3]", "tests/b.py::test_two"]


@pytest.mark.usefixtures("listed")
def test_an_entry_that_is_no_test_fails_a_whole_run_and_no_other() -> None:
    known_red.mark_known_red([], is_whole_run=False)
    with pytest.raises(pytest.UsageError, match="test_gone, which is no test"):
        known_red.mark_known_red([], is_whole_run=True)
