"""Numeric constants and functions that several modules share."""

from __future__ import annotations

US_PER_S = 1e6
GOLDEN_RATIO = 0.6180339887498949  # the fractional parts of its multiples are spread evenly
MIN_DIVISOR = 1e-9  # lower bound of divisors, which avoids division by zero


def clamp(value: float, lowest: float, highest: float) -> float:
    """Returns the value limited to a range."""
    return min(highest, max(lowest, value))


def spread(number: int) -> float:
    """Returns a position from 0 to below 1 such that consecutive numbers are spread evenly."""
    return number * GOLDEN_RATIO % 1
