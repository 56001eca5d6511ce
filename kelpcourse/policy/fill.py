"""Division of a capacity over request classes.

Source: Distributed Enforcement of Resource Sharing Agreements, section 3.1.2.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence

from kelpcourse.policy.arithmetic import MIN_DIVISOR

FRACTION_STEPS = 2**30  # steps from a fraction of 0 to one of 1
MAX_FRACTION_STEPS = 2 * FRACTION_STEPS  # at a fraction of 2 every class is admitted in full

Rates = Sequence[float]


def equal_fraction_fill(
    offered: Rates, capacity: float, lower_bounds: Rates, upper_bounds: Rates
) -> list[float]:
    """Returns the admitted rate of each class under the greatest equal fraction.

    Section 3.1.2 of the paper: x_i >= theta n_i, sum x <= V, lb_i V <= x_i <= ub_i V and
    x_i <= n_i for the greatest theta, where n_i is the offered load and V the capacity.

    Args:
        offered: Offered load of each class, in requests per second.
        capacity: The capacity V of the paper, in requests per second.
        lower_bounds: Least part of the capacity for each class.
        upper_bounds: Greatest part of the capacity for each class.
    """
    floors = [
        min(rate, lower * capacity, upper * capacity)
        for rate, lower, upper in zip(offered, lower_bounds, upper_bounds, strict=True)
    ]
    if sum(floors) > capacity:
        return [floor * capacity / sum(floors) for floor in floors]

    def admitted_at(theta: float) -> list[float]:
        return [
            min(rate, upper * capacity, max(floor, theta * rate))
            for rate, floor, upper in zip(offered, floors, upper_bounds, strict=True)
        ]

    position = bisect_right(
        range(MAX_FRACTION_STEPS),
        capacity,
        key=lambda step: sum(admitted_at(step / FRACTION_STEPS)),
    )
    return admitted_at(max(0, position - 1) / FRACTION_STEPS)


def priority_lower_bounds(offered: Rates, priority_weights: Rates, capacity: float) -> list[float]:
    """Returns lower bounds that give classes above the mean priority weight precedence over the others."""
    weighted = sum(rate * weight for rate, weight in zip(offered, priority_weights, strict=True))
    mean_weight = weighted / max(MIN_DIVISOR, sum(offered))
    preferred = [
        position for position, weight in enumerate(priority_weights) if weight > mean_weight
    ]
    preferred.sort(key=lambda position: -priority_weights[position])
    bounds = [0.0] * len(offered)
    remaining = 1.0
    for position in preferred:
        bounds[position] = min(remaining, offered[position] / max(MIN_DIVISOR, capacity))
        remaining -= bounds[position]
    return bounds
