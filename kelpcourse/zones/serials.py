"""Serial numbers of zones: arithmetic on a circle of 2^32 (RFC 1982). Pure."""

from __future__ import annotations

from enum import Enum

CIRCLE = 1 << 32
HALF = 1 << 31


class Order(Enum):
    SAME = "same"
    AHEAD = "ahead"
    BEHIND = "behind"
    UNDEFINED = "undefined"  # exactly half round: neither is ahead (RFC 1982, section 3.2)


def order(serial: int, other: int) -> Order:
    """Where `serial` stands beside `other`."""
    distance = (serial - other) % CIRCLE
    if distance == 0:
        return Order.SAME
    if distance == HALF:
        return Order.UNDEFINED
    return Order.AHEAD if distance < HALF else Order.BEHIND


def after(serial: int) -> int:
    """The next one; 0 is left out, as some servers take it for none."""
    return (serial + 1) % CIRCLE or 1
