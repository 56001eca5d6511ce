"""Arithmetic on the serial numbers of zones, which wrap around at 2^32 (RFC 1982)."""

from __future__ import annotations

from enum import Enum

SERIAL_SPACE = 1 << 32
HALF_SERIAL_SPACE = 1 << 31


class SerialOrder(Enum):
    """The result of comparing one serial with another."""

    SAME = "same"
    AHEAD = "ahead"
    BEHIND = "behind"
    UNDEFINED = "undefined"  # exactly half the serial space apart (RFC 1982, section 3.2)


def compare_serials(serial: int, other: int) -> SerialOrder:
    """Returns the position of `serial` relative to `other` (RFC 1982, section 3.2)."""
    distance = (serial - other) % SERIAL_SPACE
    if distance == 0:
        return SerialOrder.SAME
    if distance == HALF_SERIAL_SPACE:
        return SerialOrder.UNDEFINED
    return SerialOrder.AHEAD if distance < HALF_SERIAL_SPACE else SerialOrder.BEHIND


def next_serial(serial: int) -> int:
    """Returns the next serial (RFC 1982, section 3.1), and skips 0, which some servers treat as no serial."""
    return (serial + 1) % SERIAL_SPACE or 1
