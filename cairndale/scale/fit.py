"""Slopes: least squares on log scales."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import exp, inf, log, sqrt


@dataclass(frozen=True, slots=True)
class Fit:
    """value = factor * size ** power."""

    factor: float
    power: float
    # standard error of the power; without bound where two points leave nothing to tell it by
    error: float
    residuals: tuple[float, ...]  # of each point, as log(value / fitted)

    def at(self, size: float) -> tuple[float, float, float]:
        """The value at a size, and from where to where it lies by two errors of the power and the
        spread."""
        middle = self.factor * size**self.power
        spread = max((abs(r) for r in self.residuals), default=0.0)
        off = 2 * self.error * log(max(size, 2.0)) + spread
        return middle, middle * exp(-off), middle * exp(off)


def fitted(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Raises ValueError for fewer than two sizes, or for what has no logarithm."""
    points = list(zip(sizes, values, strict=True))
    if len({size for size, _ in points}) < 2:
        raise ValueError("two sizes at least are wanted")
    if any(size <= 0 or value <= 0 for size, value in points):
        raise ValueError("sizes and values are to be above zero")
    xs, ys = [log(s) for s, _ in points], [log(v) for _, v in points]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    across = sum((x - mean_x) ** 2 for x in xs)
    power = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)) / across
    start = mean_y - power * mean_x
    residuals = tuple(y - start - power * x for x, y in zip(xs, ys, strict=True))
    free = len(points) - 2
    error = sqrt(sum(r * r for r in residuals) / free / across) if free > 0 else inf
    return Fit(exp(start), power, error, residuals)
