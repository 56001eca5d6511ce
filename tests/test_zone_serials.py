"""Tests of serial numbers (RFC 1982)."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from kelpcourse.zones.serials import (
    HALF_SERIAL_SPACE,
    SERIAL_SPACE,
    SerialOrder,
    compare_serials,
    next_serial,
)

serials = st.integers(0, SERIAL_SPACE - 1)


@given(serials, st.integers(1, HALF_SERIAL_SPACE - 1))
def test_a_serial_is_ahead_of_those_less_than_half_the_space_behind(
    serial: int, distance: int
) -> None:
    assert compare_serials((serial + distance) % SERIAL_SPACE, serial) is SerialOrder.AHEAD
    assert compare_serials(serial, (serial + distance) % SERIAL_SPACE) is SerialOrder.BEHIND


@given(serials)
def test_serials_half_the_space_apart_have_no_order_and_the_next_serial_is_ahead_and_not_0(
    serial: int,
) -> None:
    assert (
        compare_serials((serial + HALF_SERIAL_SPACE) % SERIAL_SPACE, serial)
        is SerialOrder.UNDEFINED
    )
    assert compare_serials(next_serial(serial), serial) is SerialOrder.AHEAD
    assert next_serial(serial) != 0
    assert compare_serials(serial, serial) is SerialOrder.SAME
