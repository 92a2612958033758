"""The counter's home: what is left of each tenant's quota, over all ingresses.

Units are leased for `EXPIRY`; those unspent by then are spent for good. With leases of a life L,
what is spent in a window T is at most what was leased in T + L, so a store of `burst'` that refills
at the rate keeps the bound

    burst' + rate * (T + L) <= (rate * T + burst) * (1 + overrun) + slack

An ingress that is out of touch spends at the quota's rate over the number of all ingresses, and has
saved up `ISOLATED_SAVINGS_S` of that at the most, or one unit: this is left out of the bound, and
stores refill the slower the more ingresses may be out of touch. Where a unit for each ingress is
more than that, and over half of what the bound leaves (many ingresses, a small quota), nobody saves
while in touch: each begins with nothing when it loses touch, and the room for one unit is left only
for those that may be out of touch now. What such a one saves from then on is no more than what the
store refills less. A new leader of the duty begins to count with empty stores, or as they must be
where all have been heard of and nobody spent anything. Those it has not heard of count as out of
touch, and those in touch think of the number it told."""

from __future__ import annotations

import math
from dataclasses import dataclass

from cairndale.ingress.policy.account import ISOLATED_SAVINGS_S
from cairndale.settings import Bounds

EXPIRY = 1.0  # s that an ingress may hold leased units
MARGIN = 0.9  # of the room that the bound leaves
# of it, that ingresses may have saved up; they reckon with less, as they hear late of others:
SAVED = 0.5
SAVED_THERE = 0.45
FEWEST = 9.0  # s for which a lower number of ingresses may still be in the minds of some


def spare(rate: float, burst: float, bounds: Bounds) -> float:
    """Units that the bound leaves for burst' and for what ingresses saved up."""
    window = bounds.quota_window
    bound = (rate * window + burst) * (1 + bounds.quota_overrun) + bounds.quota_slack
    return bound - rate * (window + EXPIRY)


def saved_most(rate: float, burst: float, bounds: Bounds) -> float:
    """Units that all ingresses together may have saved up while in touch, as an ingress reckons."""
    return max(
        SAVED_THERE * spare(rate, burst, bounds), SAVED_THERE / SAVED * rate * ISOLATED_SAVINGS_S
    )


def room(rate: float, burst: float, bounds: Bounds, edges: int, fewest: int, silent: int) -> float:
    """burst': the most a store may hold, in units. `fewest`: ingresses, as any of them may still
    think; `silent`: those that may be out of touch."""
    left, saved = spare(rate, burst, bounds), max(edges, rate * ISOLATED_SAVINGS_S)
    if fewest > max(SAVED * left, rate * ISOLATED_SAVINGS_S):
        saved *= silent / max(1, edges)
    return max(1.0, min(burst, (left - saved) * MARGIN))


@dataclass(slots=True)
class TokenStore:
    level: float
    at: float  # of the till's refill time


class QuotaCounter:
    def __init__(self, now: float, bounds: Bounds, ever: bool = True, idle: float = 0.0) -> None:
        """`ever`: somebody may have leased units before, who has paid from stores that nobody knows
        now. `idle`: s before now in which nobody spent anything: stores have refilled for so
        long."""
        self._idle = idle
        self._bounds, self._ever, self._edges, self._silent = bounds, ever, 1, 1
        self._fewest, self._fewest_at = 0, now  # 0: nobody has been told of a number by this one
        self._at, self._part, self._time = (
            now,
            1.0,
            0.0,
        )  # s of refill at the whole rate, since the beginning
        self._stores: dict[str, TokenStore] = {}
        self._quotas: dict[str, tuple[float, float]] = {}

    def quotas(self, quotas: dict[str, tuple[float, float]]) -> None:
        """Rate and burst by tenant, of the configuration in force."""
        self._quotas = quotas
        self._stores = {tenant: s for tenant, s in self._stores.items() if tenant in quotas}

    def follow(self, before: QuotaCounter) -> None:
        """The same quotas, with stores of its own."""
        self._quotas = before._quotas

    def silent(self, now: float, count: int, edges: int) -> None:
        """So many of all ingresses may be out of touch from now on."""
        self._refilled(now)
        self._edges, self._part, self._silent = (
            max(1, edges),
            max(0.0, 1 - count / max(1, edges)),
            count,
        )
        if not 0 < self._fewest < edges or now - self._fewest_at > FEWEST:
            self._fewest, self._fewest_at = edges, now

    def _refilled(self, now: float) -> float:
        self._time += self._part * max(0.0, now - self._at)
        self._at = max(self._at, now)
        return self._time

    def lease(self, now: float, tenant: str, amount: float, told: float) -> float | None:
        """What is left after taking `amount` and `told` (spent already); under 0 by what was not
        granted. Whole units are granted of a whole `amount`. None: the tenant has no quota here."""
        if tenant not in self._quotas or not (0 <= amount < 1e9 and 0 <= told < 1e9):
            return None
        rate, burst = self._quotas[tenant]
        most = room(rate, burst, self._bounds, self._edges, self._fewest, self._silent)
        time = self._refilled(now)
        store = self._stores.setdefault(
            tenant, TokenStore(min(most, rate * self._idle) if self._ever else most, 0.0)
        )
        store.level = min(most, store.level + rate * (time - store.at))
        store.at = time
        store.level -= told
        granted = amount if store.level >= amount else max(0.0, float(math.floor(store.level)))
        store.level -= granted
        return store.level if granted == amount else granted - amount
