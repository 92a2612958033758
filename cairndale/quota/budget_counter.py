"""Budgets over a sliding window, shared by all ingresses: retries of a service, warm-up requests.

A budget is `size` units in any window of `window` seconds. Units are granted one by one, as
requests need them, and are used within `BUDGET_GRANT_LIFETIME_S` or never. So the units used in a
window were granted in that window or within one grant lifetime before it. A token bucket of
`capacity` units that refills at `rate` keeps the bound, because

    capacity + rate * (window + lifetime) <= size

A new leader does not know what its predecessor granted and starts with empty buckets, so the same
inequality holds for the grants of both leaders together.
"""

from __future__ import annotations

from dataclasses import dataclass

from cairndale.quota.token_bucket import TokenBucket
from cairndale.settings import Bounds

# Counted from the request for the grant; a client request is sent as soon as it has its grant.
BUDGET_GRANT_LIFETIME_S = 0.3
MAX_SAVED_FRACTION = 0.25  # of a budget's size that a bucket can save up
# Above this number of buckets, those idle for IDLE_BUCKET_S are evicted; they are full again.
MAX_IDLE_BUCKETS = 1024
IDLE_BUCKET_S = 60.0
MIN_RETRY_AFTER_S = 0.01
# Kinds of budgets; the prefixes of budget names on the wire: `further/SERVICE`, `starts/ENDPOINT`.
RETRY, WARMUP = "further", "starts"
# Fractions of the retry slack: granted on demand by the leader, and divided evenly among all
# ingresses.
ON_DEMAND_RETRY_FRACTION = 0.45
EVEN_RETRY_FRACTION = 0.45


@dataclass(frozen=True, slots=True)
class Budget:
    """A limit on the units used in any window."""

    size: float  # units
    window: float  # s

    @property
    def capacity(self) -> float:
        """The largest level of a bucket, in units."""
        return max(1.0, MAX_SAVED_FRACTION * self.size) if self.size >= 1 else 0.0

    @property
    def rate(self) -> float:
        """Units per second by which a bucket refills."""
        return max(0.0, (self.size - self.capacity) / (self.window + BUDGET_GRANT_LIFETIME_S))


def retry_budget(bounds: Bounds) -> Budget:
    """Retries of one service, on top of those earned by requests and the evenly divided ones."""
    return Budget(ON_DEMAND_RETRY_FRACTION * bounds.retry_slack, bounds.retry_window)


def warmup_budget(bounds: Bounds, requests_per_s: float) -> Budget:
    """Requests to an endpoint in slow start, in which it handles `requests_per_s`."""
    return Budget(requests_per_s * bounds.warmup_overrun + bounds.warmup_slack - 1, 1.0)


class BudgetCounter:
    """Grants units of named budgets. Times are seconds on the leader's clock."""

    def __init__(self, now: float, had_predecessor: bool) -> None:
        """`had_predecessor`: another leader may have granted units of the same budgets before."""
        self._started_at, self._had_predecessor = now, had_predecessor
        self._buckets: dict[str, TokenBucket] = {}

    def grant(self, now: float, budgets: dict[str, Budget]) -> float:
        """Grant one unit of each of these budgets, or no unit at all.

        Returns 0 if granted, else the seconds after which a retry may succeed.
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
        self._evict_idle_buckets(now)
        return 0.0

    def _refilled(self, now: float, name: str, budget: Budget) -> TokenBucket:
        bucket = self._buckets.get(name)
        if bucket is None:
            level = budget.capacity
            if self._had_predecessor:
                level = budget.rate * (now - self._started_at)
            bucket = self._buckets[name] = TokenBucket(level, now)
        bucket.refill(now, budget.rate, budget.capacity)
        return bucket

    def _evict_idle_buckets(self, now: float) -> None:
        if len(self._buckets) > MAX_IDLE_BUCKETS:
            self._buckets = {
                name: bucket
                for name, bucket in self._buckets.items()
                if now - bucket.refilled_at < IDLE_BUCKET_S
            }
