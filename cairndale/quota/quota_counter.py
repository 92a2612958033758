"""The leader's quota counter: the remaining units of each tenant's quota, over all ingresses.

Granted units are valid for `QUOTA_GRANT_LIFETIME_S` and expire if they are not spent by then. With
a grant lifetime L, the units spent in a window T were granted within T + L. A token bucket of
capacity C that refills at the quota's rate therefore keeps the bound

    C + rate * (T + L) <= (rate * T + burst) * (1 + overrun) + slack

An ingress that has lost contact with the leader is isolated. It spends its static quota share: the
quota's rate divided by the number of all ingresses. It can have saved up `ISOLATED_SAVINGS_S` of
that share or one unit, whichever is more. The capacity C leaves headroom for these savings, and
buckets refill more slowly the more ingresses may be isolated.

With many ingresses and a small quota, one unit for each ingress exceeds `ISOLATED_SAVINGS_S` of the
rate, and also exceeds half of what the bound leaves. In that case no ingress saves units while it
is connected: each starts from zero when it becomes isolated, and the capacity leaves headroom of
one unit only for each ingress that may be isolated now. What an isolated ingress saves from then on
is no more than the reduction of the bucket's refill.

A new leader starts with empty buckets, unless all ingresses have contacted it and report a period
in which none of them spent anything: then each bucket starts with what it refilled in that period.
Ingresses that have not contacted the new leader count as isolated. Those that are connected use the
number of ingresses that the new leader reported.
"""

from __future__ import annotations

import math

from cairndale.ingress.policy.account import ISOLATED_SAVINGS_S
from cairndale.quota.token_bucket import TokenBucket
from cairndale.settings import Bounds

QUOTA_GRANT_LIFETIME_S = 1.0  # units unspent by then expire
CAPACITY_FRACTION = 0.9  # of what the bound leaves for the capacity of a bucket
# Fraction of what the bound leaves that ingresses may have saved up. An ingress computes with a
# smaller fraction, as it learns of a changed number of ingresses late.
MAX_SAVED_FRACTION = 0.5
MAX_SAVED_FRACTION_AT_INGRESS = 0.45
# How long an ingress may still use a smaller number of ingresses that was reported to it earlier.
STALE_INGRESS_COUNT_S = 9.0
MAX_AMOUNT = 1e9  # units in one request


def available_units(rate: float, burst: float, bounds: Bounds) -> float:
    """Units that the bound leaves for a bucket's capacity and for the ingresses' savings."""
    window = bounds.quota_window
    bound = (rate * window + burst) * (1 + bounds.quota_overrun) + bounds.quota_slack
    return bound - rate * (window + QUOTA_GRANT_LIFETIME_S)


def max_saved_units(rate: float, burst: float, bounds: Bounds) -> float:
    """Units that all ingresses together may save up while connected, as an ingress computes it."""
    from_bound = MAX_SAVED_FRACTION_AT_INGRESS * available_units(rate, burst, bounds)
    from_rate = MAX_SAVED_FRACTION_AT_INGRESS / MAX_SAVED_FRACTION * rate * ISOLATED_SAVINGS_S
    return max(from_bound, from_rate)


def bucket_capacity(
    rate: float,
    burst: float,
    bounds: Bounds,
    *,
    ingress_count: int,
    min_ingress_count: int,
    isolated_count: int,
) -> float:
    """The largest level of a bucket, in units.

    `min_ingress_count`: the smallest number of ingresses that any of them may still use;
    `isolated_count`: how many ingresses may have lost contact with the leader.
    """
    available = available_units(rate, burst, bounds)
    saved = max(ingress_count, rate * ISOLATED_SAVINGS_S)
    if min_ingress_count > max(MAX_SAVED_FRACTION * available, rate * ISOLATED_SAVINGS_S):
        saved *= isolated_count / max(1, ingress_count)
    return max(1.0, min(burst, (available - saved) * CAPACITY_FRACTION))


class QuotaCounter:
    """Grants units of tenants' quotas. Times are seconds on the leader's clock."""

    def __init__(
        self, now: float, bounds: Bounds, had_predecessor: bool = True, idle_time: float = 0.0
    ) -> None:
        """`had_predecessor`: another leader may have granted units that are unknown to this one.

        `idle_time`: seconds before `now` in which no ingress spent any units; buckets have refilled
        for this long.
        """
        self._bounds, self._had_predecessor, self._idle_time = bounds, had_predecessor, idle_time
        self._ingress_count, self._isolated_count = 1, 1
        # 0: no number has been reported to an ingress yet.
        self._min_ingress_count, self._min_ingress_count_at = 0, now
        # Buckets refill by a separate clock, whose speed is the fraction of connected ingresses.
        self._connected_fraction = 1.0
        self._refill_time, self._refill_time_at = 0.0, now
        self._buckets: dict[str, TokenBucket] = {}
        self._quotas: dict[str, tuple[float, float]] = {}  # rate and burst by tenant

    def set_quotas(self, quotas: dict[str, tuple[float, float]]) -> None:
        """Set rate and burst of each tenant, as in the configuration in force."""
        self._quotas = quotas
        self._buckets = {
            tenant: bucket for tenant, bucket in self._buckets.items() if tenant in quotas
        }

    def copy_quotas(self, other: QuotaCounter) -> None:
        """Use the quotas of another counter; the buckets stay separate."""
        self._quotas = other._quotas

    def set_ingresses(self, now: float, ingress_count: int, isolated_count: int) -> None:
        """Set the number of ingresses, and how many of them may be isolated, from now on."""
        self._advance_refill_clock(now)
        self._ingress_count, self._isolated_count = max(1, ingress_count), isolated_count
        self._connected_fraction = max(0.0, 1 - isolated_count / self._ingress_count)
        is_stale = now - self._min_ingress_count_at > STALE_INGRESS_COUNT_S
        if not 0 < self._min_ingress_count < ingress_count or is_stale:
            self._min_ingress_count, self._min_ingress_count_at = ingress_count, now

    def grant(self, now: float, tenant: str, amount: float, spent: float) -> float | None:
        """Grant `amount` units, after deducting `spent` units that were spent without a grant.

        Returns the units left in the bucket if all of `amount` is granted, else the units not
        granted as a negative number; a partial grant is a whole number of units. Returns None if
        the tenant has no quota here, or `amount` or `spent` is out of range.
        """
        if tenant not in self._quotas or not (0 <= amount < MAX_AMOUNT and 0 <= spent < MAX_AMOUNT):
            return None
        bucket = self._refilled(now, tenant)
        bucket.level -= spent
        granted = amount if bucket.level >= amount else max(0.0, float(math.floor(bucket.level)))
        bucket.level -= granted
        return bucket.level if granted == amount else granted - amount

    def _refilled(self, now: float, tenant: str) -> TokenBucket:
        rate, burst = self._quotas[tenant]
        capacity = bucket_capacity(
            rate,
            burst,
            self._bounds,
            ingress_count=self._ingress_count,
            min_ingress_count=self._min_ingress_count,
            isolated_count=self._isolated_count,
        )
        refill_time = self._advance_refill_clock(now)
        bucket = self._buckets.get(tenant)
        if bucket is None:
            level = min(capacity, rate * self._idle_time) if self._had_predecessor else capacity
            bucket = self._buckets[tenant] = TokenBucket(level, 0.0)
        bucket.refill(refill_time, rate, capacity)
        return bucket

    def _advance_refill_clock(self, now: float) -> float:
        self._refill_time += self._connected_fraction * max(0.0, now - self._refill_time_at)
        self._refill_time_at = max(self._refill_time_at, now)
        return self._refill_time
