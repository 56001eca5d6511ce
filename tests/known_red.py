"""Tests that fail because of a known fault: they are listed in KNOWN-RED.txt, have to fail, and are printed."""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
TEST_PREFIX = "tests/"  # a line that begins with it has the id of a test


def listed_tests(text: str) -> list[str]:
    """Returns the ids of the tests in the list; its other lines tell what was seen."""
    return [line.split()[0] for line in text.splitlines() if line.startswith(TEST_PREFIX)]


def known_red_tests() -> list[str]:
    return listed_tests(KNOWN_RED.read_text()) if KNOWN_RED.exists() else []


def mark_known_red(items: Iterable[pytest.Item], is_whole_run: bool) -> None:
    """Expects the listed tests to fail.

    Raises:
        pytest.UsageError: A listed test does not exist, although all tests are run.
    """
    by_id = {item.nodeid: item for item in items}
    for test in known_red_tests():
        if test in by_id:
            by_id[test].add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=True))
        elif is_whole_run:
            raise pytest.UsageError(f"KNOWN-RED.txt lists {test}, which is no test")
