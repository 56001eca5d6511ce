"""Tests of domain names: their labels, and names relative to an origin."""

from __future__ import annotations

import pytest

from kelpcourse.zones.names import is_under, labels, relative
from tests.zonesamples import ORIGIN, record


@pytest.mark.parametrize(
    ("name", "result"),
    [
        ("s-1." + ORIGIN, "s-1"),
        (ORIGIN, "@"),
        ("a.b." + ORIGIN, "a.b"),
        ("s-1.elsewhere.", "s-1.elsewhere."),
        ("a\\.games.example.org.", "a\\.games.example.org."),
    ],
)
def test_a_name_is_made_relative_to_an_origin(name: str, result: str) -> None:
    assert relative(name, ORIGIN) == result
    assert is_under(name, ORIGIN) is (result == "@" or not result.endswith("."))


def test_an_escaped_dot_does_not_separate_labels() -> None:
    assert labels("a\\.b.c.") == ("a\\.b", "c")


def test_record_helper_converts_owners_to_lower_case() -> None:
    assert record("S-1", "A", "10.0.0.1").owner == "s-1." + ORIGIN
