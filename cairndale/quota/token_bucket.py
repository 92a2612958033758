"""A token bucket: a level of units that refills at a rate, up to a capacity."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class TokenBucket:
    """The owner passes rate and capacity to each refill, as both may change between refills."""

    level: float  # units
    refilled_at: float  # s, of the owner's clock

    def refill(self, now: float, rate: float, capacity: float) -> None:
        """Add what has accrued at `rate` units per second; nothing if the clock went back."""
        self.level = min(capacity, self.level + rate * max(0.0, now - self.refilled_at))
        self.refilled_at = max(self.refilled_at, now)
