"""Arithmetic on the serial numbers of zones, which wrap around at 2^32 (RFC 1982). Pure."""

from __future__ import annotations

from enum import Enum

SERIAL_SPACE = 1 << 32
HALF_SERIAL_SPACE = 1 << 31


class SerialOrder(Enum):
    """How one serial compares with another."""

    SAME = "same"
    AHEAD = "ahead"
    BEHIND = "behind"
    UNDEFINED = "undefined"  # exactly half the space apart (RFC 1982, section 3.2)


def compare_serials(serial: int, other: int) -> SerialOrder:
    """Tells where `serial` is relative to `other` (RFC 1982, section 3.2)."""
    distance = (serial - other) % SERIAL_SPACE
    if distance == 0:
        return SerialOrder.SAME
    if distance == HALF_SERIAL_SPACE:
        return SerialOrder.UNDEFINED
    return SerialOrder.AHEAD if distance < HALF_SERIAL_SPACE else SerialOrder.BEHIND


def next_serial(serial: int) -> int:
    """Increments a serial (RFC 1982, section 3.1); leaves out 0, which some servers take for none."""
    return (serial + 1) % SERIAL_SPACE or 1
