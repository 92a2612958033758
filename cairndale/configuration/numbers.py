"""Numbers of a configuration in the ranges that the system computes with.

JSON has numbers of any size, and a configuration with them is valid. Beyond these bounds a larger
number means the same: more than any machine or client can do. So does a smaller one. Read with
them, sums, products and quotients of numbers stay finite.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from fractions import Fraction

MAX_QUANTITY = 1e15  # of requests a second, or units
MIN_QUANTITY = 1e-9  # of those above 0; requests a second: one in 31 years
MAX_COUNT = 1_000_000_000  # of connections or attempts


def bounded_quantity(value: float) -> float:
    """A number of at least 0 as a float; any int is allowed.

    0 stays 0, which often means that there is no limit; others are between the bounds.
    """
    return float(min(max(value, MIN_QUANTITY), MAX_QUANTITY)) if value else 0.0


def bounded_count(value: int) -> int:
    """An integer of at least 0, at most `MAX_COUNT`."""
    return min(int(value), MAX_COUNT)


def finite_weights(weights: Sequence[float]) -> tuple[float, ...]:
    """Weights as floats with a finite sum and the same ratios."""
    try:
        as_floats = tuple(float(weight) for weight in weights)
    except OverflowError:
        as_floats = (math.inf,)
    if math.isfinite(sum(as_floats)):
        return as_floats
    largest = Fraction(max(weights))
    return tuple(float(Fraction(weight) / largest) for weight in weights)
