"""Power-law fits: least squares on logarithmic scales."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import exp, inf, log, sqrt


@dataclass(frozen=True, slots=True)
class Fit:
    """value = factor * size ** power."""

    factor: float
    power: float
    # standard error of the power; infinite for two points, which leave no degree of freedom
    error: float
    residuals: tuple[float, ...]  # of each point, as log(value / fitted)

    def predict(self, size: float) -> tuple[float, float, float]:
        """Return the value at a size with its lower and upper bound: two standard errors of the
        power plus the largest residual."""
        value = self.factor * size**self.power
        max_residual = max((abs(residual) for residual in self.residuals), default=0.0)
        log_margin = 2 * self.error * log(max(size, 2.0)) + max_residual
        return value, value * exp(-log_margin), value * exp(log_margin)


def fit_power_law(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fit a power law. Raises ValueError for fewer than two sizes, or a value that is not above
    zero."""
    points = list(zip(sizes, values, strict=True))
    if len({size for size, _ in points}) < 2:
        raise ValueError("at least two sizes are required")
    if any(size <= 0 or value <= 0 for size, value in points):
        raise ValueError("sizes and values must be above zero")
    log_sizes, log_values = [log(s) for s, _ in points], [log(v) for _, v in points]
    mean_x, mean_y = sum(log_sizes) / len(log_sizes), sum(log_values) / len(log_values)
    size_variation = sum((x - mean_x) ** 2 for x in log_sizes)
    power = (
        sum((x - mean_x) * (y - mean_y) for x, y in zip(log_sizes, log_values, strict=True))
        / size_variation
    )
    intercept = mean_y - power * mean_x
    residuals = tuple(y - intercept - power * x for x, y in zip(log_sizes, log_values, strict=True))
    degrees_of_freedom = len(points) - 2
    error = (
        sqrt(
            sum(residual * residual for residual in residuals) / degrees_of_freedom / size_variation
        )
        if degrees_of_freedom > 0
        else inf
    )
    return Fit(exp(intercept), power, error, residuals)
