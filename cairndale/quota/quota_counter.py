"""The leader's quota counter: what is left of each tenant's quota over all ingresses.

Units are granted for `QUOTA_GRANT_LIFE_S`; those unspent by then lapse. With grants of a life L,
what is spent in a window T is at most what was granted in T + L, so a token bucket of capacity C
that refills at the quota's rate keeps the bound

    C + rate * (T + L) <= (rate * T + burst) * (1 + overrun) + slack

An isolated ingress, which has lost contact with the leader, spends its static share: the quota's
rate over the number of all ingresses. It has saved up `ISOLATED_SAVINGS_S` of that at the most, or
one unit. The capacity leaves room for that, and buckets refill the slower the more ingresses may be
isolated.

With many ingresses and a small quota one unit for each is more than that, and over half of what the
bound leaves. Then nobody saves while connected: each ingress begins with nothing when it becomes
isolated, and room for one unit is left only for those that may be isolated now. What such a one
saves from then on is no more than what the bucket refills less.

A new leader begins with empty buckets, or with what must be in them where it has heard of all
ingresses and nobody has spent anything. Ingresses it has not heard of count as isolated, and those
connected use the number of ingresses that it reported.
"""

from __future__ import annotations

import math

from cairndale.ingress.policy.account import ISOLATED_SAVINGS_S
from cairndale.quota.token_bucket import TokenBucket
from cairndale.settings import Bounds

QUOTA_GRANT_LIFE_S = 1.0
CAPACITY_FRACTION = 0.9  # of what the bound leaves for a bucket
# Of what the bound leaves, that ingresses may have saved up. An ingress computes with less, as it
# learns of a changed number of ingresses late.
MAX_SAVED_FRACTION = 0.5
MAX_SAVED_FRACTION_AT_INGRESS = 0.45
# For so long an ingress may still use a smaller number of ingresses that it was told before.
STALE_INGRESS_COUNT_S = 9.0
MAX_AMOUNT = 1e9  # units in one request


def available_units(rate: float, burst: float, bounds: Bounds) -> float:
    """Units that the bound leaves for a bucket's capacity and for what ingresses saved up."""
    window = bounds.quota_window
    bound = (rate * window + burst) * (1 + bounds.quota_overrun) + bounds.quota_slack
    return bound - rate * (window + QUOTA_GRANT_LIFE_S)


def max_saved_units(rate: float, burst: float, bounds: Bounds) -> float:
    """Units that all ingresses together may save up while connected, as an ingress computes it."""
    available = MAX_SAVED_FRACTION_AT_INGRESS * available_units(rate, burst, bounds)
    one_span = MAX_SAVED_FRACTION_AT_INGRESS / MAX_SAVED_FRACTION * rate * ISOLATED_SAVINGS_S
    return max(available, one_span)


def bucket_capacity(
    rate: float, burst: float, bounds: Bounds, *, ingresses: int, fewest: int, isolated: int
) -> float:
    """Units that a bucket may hold at the most.

    `fewest`: the smallest number of ingresses that one of them may still use; `isolated`: those
    that may have lost contact.
    """
    available = available_units(rate, burst, bounds)
    saved = max(ingresses, rate * ISOLATED_SAVINGS_S)
    if fewest > max(MAX_SAVED_FRACTION * available, rate * ISOLATED_SAVINGS_S):
        saved *= isolated / max(1, ingresses)
    return max(1.0, min(burst, (available - saved) * CAPACITY_FRACTION))


class QuotaCounter:
    """Grants units of tenants' quotas. Times are seconds on the leader's clock."""

    def __init__(
        self, now: float, bounds: Bounds, had_predecessor: bool = True, idle_time: float = 0.0
    ) -> None:
        """`had_predecessor`: another leader may have granted units, which this one does not know.

        `idle_time`: seconds before now in which nobody spent anything: buckets have refilled for so
        long.
        """
        self._bounds, self._had_predecessor, self._idle_time = bounds, had_predecessor, idle_time
        self._ingresses, self._isolated = 1, 1
        self._fewest, self._fewest_since = 0, now  # 0: no ingress was told of a number yet
        # Buckets refill by a clock of their own, which runs at the connected ingresses' fraction.
        self._connected_fraction = 1.0
        self._refill_time, self._refill_time_at = 0.0, now
        self._buckets: dict[str, TokenBucket] = {}
        self._quotas: dict[str, tuple[float, float]] = {}  # rate and burst by tenant

    def set_quotas(self, quotas: dict[str, tuple[float, float]]) -> None:
        """Take rate and burst by tenant of the configuration in force."""
        self._quotas = quotas
        self._buckets = {tenant: b for tenant, b in self._buckets.items() if tenant in quotas}

    def copy_quotas(self, other: QuotaCounter) -> None:
        """Take the quotas of another counter, with buckets of its own."""
        self._quotas = other._quotas

    def set_ingresses(self, now: float, ingresses: int, isolated: int) -> None:
        """From now on there are so many ingresses, and so many of them may be isolated."""
        self._advance(now)
        self._ingresses, self._isolated = max(1, ingresses), isolated
        self._connected_fraction = max(0.0, 1 - isolated / self._ingresses)
        is_stale = now - self._fewest_since > STALE_INGRESS_COUNT_S
        if not 0 < self._fewest < ingresses or is_stale:
            self._fewest, self._fewest_since = ingresses, now

    def grant(self, now: float, tenant: str, amount: float, spent: float) -> float | None:
        """Grant `amount` units, after `spent` units that were spent already without a grant.

        Returns what is left, or minus what was not granted. Of a whole `amount` whole units are
        granted. None: the tenant has no quota here, or an amount is out of range.
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
            ingresses=self._ingresses,
            fewest=self._fewest,
            isolated=self._isolated,
        )
        refill_time = self._advance(now)
        bucket = self._buckets.get(tenant)
        if bucket is None:
            level = min(capacity, rate * self._idle_time) if self._had_predecessor else capacity
            bucket = self._buckets[tenant] = TokenBucket(level, 0.0)
        bucket.refill(refill_time, rate, capacity)
        return bucket

    def _advance(self, now: float) -> float:
        self._refill_time += self._connected_fraction * max(0.0, now - self._refill_time_at)
        self._refill_time_at = max(self._refill_time_at, now)
        return self._refill_time
