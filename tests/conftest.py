"""Fixtures that several test files use."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.standins import Bench


@pytest.fixture
def bench() -> Iterator[Bench]:
    """The loop, door, counters and log that a counterpart is handed, on a clock of the test's own."""
    made = Bench()
    yield made
    made.close()
