"""Budgets over a sliding window, shared by all ingresses: retries of a service, warm-up requests.

A budget is `size` units in any window of `window` seconds. Units are granted one by one, as a
request needs them, and are used within `BUDGET_GRANT_LIFE_S` or never: what is used in a window was
granted in it or in the life before. A token bucket of `capacity` units that refills at `rate` keeps
the bound, as

    capacity + rate * (window + life) <= size

A new leader, who does not know what its predecessor granted, begins with empty buckets: over both
leaders the same sum holds.
"""

from __future__ import annotations

from dataclasses import dataclass

from cairndale.quota.token_bucket import TokenBucket
from cairndale.settings import Bounds

BUDGET_GRANT_LIFE_S = 0.3  # from the request for it on: a request is sent as soon as it has a grant
MAX_SAVED_FRACTION = 0.25  # of a budget, that a bucket can save up
# Beyond so many buckets, those not used for so long, which are full again, are forgotten.
MAX_IDLE_BUCKETS = 1024
IDLE_BUCKET_S = 60.0
MIN_RETRY_AFTER_S = 0.01
# Kinds of budgets, as their names begin on the wire: `further/SERVICE`, `starts/ENDPOINT`.
RETRY, WARMUP = "further", "starts"
# Of the retry slack: granted on demand by the leader, and divided evenly between all ingresses.
ON_DEMAND_RETRY_FRACTION = 0.45
EVEN_RETRY_FRACTION = 0.45


@dataclass(frozen=True, slots=True)
class Budget:
    """What may be used in any window."""

    size: float  # units
    window: float  # s

    @property
    def capacity(self) -> float:
        """Units that a bucket may hold."""
        return max(1.0, MAX_SAVED_FRACTION * self.size) if self.size >= 1 else 0.0

    @property
    def rate(self) -> float:
        """Units a second by which a bucket refills."""
        return max(0.0, (self.size - self.capacity) / (self.window + BUDGET_GRANT_LIFE_S))


def retry_budget(bounds: Bounds) -> Budget:
    """Retries of one service, beyond those that requests earn and those divided evenly."""
    return Budget(ON_DEMAND_RETRY_FRACTION * bounds.retry_slack, bounds.retry_window)


def warmup_budget(bounds: Bounds, requests_per_s: float) -> Budget:
    """Requests to an endpoint that warms up (slow start) and handles `requests_per_s` meanwhile."""
    return Budget(requests_per_s * bounds.warmup_overrun + bounds.warmup_slack - 1, 1.0)


class BudgetCounter:
    """Grants units of budgets by name. Times are seconds on the leader's clock."""

    def __init__(self, now: float, had_predecessor: bool) -> None:
        """`had_predecessor`: another leader may have granted units of the same budgets before."""
        self._began, self._had_predecessor = now, had_predecessor
        self._buckets: dict[str, TokenBucket] = {}

    def grant(self, now: float, budgets: dict[str, Budget]) -> float:
        """Grant one unit of each of these budgets, or of none.

        Returns 0 if granted, else the seconds until the units may be there.
        """
        buckets = {name: self._refilled(now, name, budget) for name, budget in budgets.items()}
        missing = [
            (1 - buckets[name].level, budget)
            for name, budget in budgets.items()
            if buckets[name].level < 1
        ]
        if missing:
            return max(
                max(MIN_RETRY_AFTER_S, units / budget.rate) if budget.rate else budget.window
                for units, budget in missing
            )
        for bucket in buckets.values():
            bucket.level -= 1
        self._forget_idle(now)
        return 0.0

    def _refilled(self, now: float, name: str, budget: Budget) -> TokenBucket:
        bucket = self._buckets.get(name)
        if bucket is None:
            level = budget.capacity
            if self._had_predecessor:
                level = budget.rate * (now - self._began)
            bucket = self._buckets[name] = TokenBucket(level, now)
        bucket.refill(now, budget.rate, budget.capacity)
        return bucket

    def _forget_idle(self, now: float) -> None:
        if len(self._buckets) > MAX_IDLE_BUCKETS:
            self._buckets = {
                name: bucket
                for name, bucket in self._buckets.items()
                if now - bucket.refilled_at < IDLE_BUCKET_S
            }
