"""The counter's home: what is left of each tenant's quota, over all ingresses.

Units are leased for `EXPIRY`; those unspent by then are spent for good. With leases of a life L, what is
spent in a window T is at most what was leased in T + L, so a store of `burst'` that refills at the rate
keeps the bound

    burst' + rate * (T + L) <= (rate * T + burst) * (1 + overrun) + slack

A new holder of the duty begins with empty stores: what the one before has leased has been paid from them.
"""

from __future__ import annotations

from dataclasses import dataclass

from playhouse.settings import Bounds

EXPIRY = 1.0  # s that an ingress may hold leased units
MARGIN = 0.9  # of the room that the bound leaves


def room(rate: float, burst: float, bounds: Bounds) -> float:
    """burst': the most a store may hold, in units."""
    window = bounds.quota_window
    bound = (rate * window + burst) * (1 + bounds.quota_overrun) + bounds.quota_slack
    return max(1.0, min(burst, (bound - rate * (window + EXPIRY)) * MARGIN))


@dataclass(slots=True)
class Store:
    level: float
    at: float


class Till:
    def __init__(self, now: float, bounds: Bounds, ever: bool = True) -> None:
        """`ever`: somebody may have leased units before, who has paid from stores that nobody knows now."""
        self._began, self._bounds, self._ever = now, bounds, ever
        self._stores: dict[str, Store] = {}
        self._quotas: dict[str, tuple[float, float]] = {}

    def quotas(self, quotas: dict[str, tuple[float, float]]) -> None:
        """Rate and burst by tenant, of the configuration in force."""
        self._quotas = quotas
        self._stores = {tenant: s for tenant, s in self._stores.items() if tenant in quotas}

    def lease(self, now: float, tenant: str, amount: float, told: float) -> float | None:
        """What is left after taking `amount` and `told` (spent already); under 0 by what was not granted.
        None: the tenant has no quota here."""
        if tenant not in self._quotas or not (0 <= amount < 1e9 and 0 <= told < 1e9):
            return None
        rate, burst = self._quotas[tenant]
        most = room(rate, burst, self._bounds)
        store = self._stores.setdefault(tenant, Store(0.0 if self._ever else most, self._began))
        store.level = min(most, store.level + rate * (now - store.at))
        store.at = now
        store.level -= told
        left = store.level - amount
        store.level = left + min(amount, max(0.0, -left))
        return left
