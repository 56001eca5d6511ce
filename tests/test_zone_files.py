"""Tests of zone files: errors are reported with their line, and a formatted zone is parsed to the same zone."""

from __future__ import annotations

import pytest

from kelpcourse.zones.errors import ZoneError
from kelpcourse.zones.zonefile import format_zone, parse_zone_text
from tests.zonesamples import LIMITS, ORIGIN, record, sample_endpoints, zone_with

HEAD = "$TTL 60\n@ SOA ns staff 1 60 10 600 30\n@ NS ns\n"


@pytest.mark.parametrize(
    ("text", "line", "reason"),
    [
        ("s-1 A 10.0.0.x\n", 4, "malformed"),
        ("s-1 A 10.0.0.1\nx.com. A 1.2.3.4\n", 5, "x.com. is not in"),
        ("s-1 FOO 10.0.0.1\n", 4, "FOO"),
        ('s-1 TXT "abc\n', 4, "newline"),
        ("s-1\n", 4, ""),
        ("$INCLUDE /etc/passwd\n", 4, ""),
        ("s-1 A 10.0.0.1\n\n; note\ns-2 SRV 0 1 x y\n", 7, ""),
        ("s-1 A 10.0.0.1 extra\ns-2 A 10.0.0.2\n", 4, ""),
    ],
)
def test_an_error_is_reported_with_its_line(text: str, line: int, reason: str) -> None:
    with pytest.raises(ZoneError) as error:
        parse_zone_text(HEAD + text, ORIGIN, LIMITS, "games.zone")
    assert str(error.value).startswith(f"games.zone:{line}: ")
    assert reason in str(error.value)


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("s-1 A 10.0.0.1\n", "does not have exactly one SOA"),
        (HEAD + "x CNAME s-1\nx A 10.0.0.1\n", "has a CNAME and other records: A"),
    ],
)
def test_a_zone_that_cannot_be_served_is_rejected(text: str, reason: str) -> None:
    with pytest.raises(ZoneError, match=reason):
        parse_zone_text("$TTL 60\n" + text, ORIGIN, LIMITS)


def test_a_formatted_zone_is_parsed_to_the_same_records() -> None:
    original = zone_with(
        7,
        sample_endpoints(),
        [record("x", "TXT", '"a b" "c;d"'), record("*", "MX", "5 mail.example.org.")],
    )
    assert sorted(parse_zone_text(format_zone(original), ORIGIN, LIMITS).records()) == sorted(
        original.records()
    )


def test_names_are_relative_to_the_preceding_origin_directive() -> None:
    zone = parse_zone_text(
        HEAD + "$ORIGIN room.games.example.org.\ns-1 A 10.0.0.1\n", ORIGIN, LIMITS
    )
    assert zone.has_records("s-1.room." + ORIGIN)
