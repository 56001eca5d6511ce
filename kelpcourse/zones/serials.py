"""Serial numbers of zones: arithmetic on a circle of 2^32 (RFC 1982). Pure."""

from __future__ import annotations

from enum import Enum

SERIAL_SPACE = 1 << 32
HALF_SERIAL_SPACE = 1 << 31


class SerialOrder(Enum):
    SAME = "same"
    AHEAD = "ahead"
    BEHIND = "behind"
    UNDEFINED = "undefined"  # exactly half round: neither is ahead (RFC 1982, section 3.2)


def compare_serials(serial: int, other: int) -> SerialOrder:
    """Where `serial` stands beside `other`."""
    distance = (serial - other) % SERIAL_SPACE
    if distance == 0:
        return SerialOrder.SAME
    if distance == HALF_SERIAL_SPACE:
        return SerialOrder.UNDEFINED
    return SerialOrder.AHEAD if distance < HALF_SERIAL_SPACE else SerialOrder.BEHIND


def next_serial(serial: int) -> int:
    """The next one; 0 is left out, as some servers take it for none."""
    return (serial + 1) % SERIAL_SPACE or 1
