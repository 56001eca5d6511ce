"""Constants and functions that several modules compute with."""

from __future__ import annotations

US_PER_S = 1e6
GOLDEN_RATIO = 0.6180339887498949  # its multiples are spread evenly between whole numbers
MIN_DIVISOR = 1e-9  # keeps divisions of sums defined


def clamp(value: float, lowest: float, highest: float) -> float:
    """Returns the value, or the nearer limit where it lies outside."""
    return min(highest, max(lowest, value))


def spread(number: int) -> float:
    """Returns a position from 0 to below 1; consecutive numbers are spread evenly."""
    return number * GOLDEN_RATIO % 1
