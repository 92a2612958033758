"""Units of wholes that slide over a window: further tries at a service, starts at a cold server.

Each whole is `size` units in any window of `window` seconds, over all ingresses. Units are dealt
one by one, as a request needs them, and are used within `LIFE` or never: what is used in a window
was dealt in it or in the `LIFE` before. A store of `most` units that refills at `rate` keeps the
bound, as

    most + rate * (window + LIFE) <= size

A later leader of the duty, who does not know what was dealt before, begins with empty stores: over
both leaders the same sum holds."""

from __future__ import annotations

from dataclasses import dataclass

from cairndale.settings import Bounds

LIFE = 0.3  # s from the ask on: a request goes out as it is dealt its units
SAVED = 0.25  # of a whole, that a store can save up
KEPT = 1024  # stores, beyond which those that were not asked of for ...
FULL = 60.0  # ... so many seconds, and are full again, are forgotten
FURTHER, STARTS = "further", "starts"  # kinds of wholes: `further/SERVICE`, `starts/SERVER`
DEALT, EVEN = 0.45, 0.45  # of the slack for further tries: dealt as it is needed, and parted evenly


@dataclass(frozen=True, slots=True)
class Budget:
    size: float  # units in a window
    window: float  # s

    @property
    def most(self) -> float:
        return max(1.0, SAVED * self.size) if self.size >= 1 else 0.0

    @property
    def rate(self) -> float:
        return max(0.0, (self.size - self.most) / (self.window + LIFE))


def further(bounds: Bounds) -> Budget:
    """Tries at a service beyond the first of each request, but for those that are earned and kept
    evenly."""
    return Budget(DEALT * bounds.retry_slack, bounds.retry_window)


def starts(bounds: Bounds, per_s: float) -> Budget:
    """Requests that a cold server bears, which handles `per_s` a second."""
    return Budget(per_s * bounds.warmup_overrun + bounds.warmup_slack - 1, 1.0)


@dataclass(slots=True)
class _TokenStore:
    level: float
    at: float


class BudgetCounter:
    """Times are seconds on the leader's clock."""

    def __init__(self, now: float, ever: bool) -> None:
        """`ever`: another may have dealt units of the same wholes before."""
        self._began, self._ever = now, ever
        self._stores: dict[str, _TokenStore] = {}

    def _store(self, now: float, name: str, whole: Budget) -> _TokenStore:
        store = self._stores.get(name)
        if store is None:
            level = whole.rate * (now - self._began) if self._ever else whole.most
            store = self._stores[name] = _TokenStore(level, now)
        store.level = min(whole.most, store.level + whole.rate * max(0.0, now - store.at))
        store.at = max(store.at, now)
        return store

    def deal(self, now: float, wanted: dict[str, Budget]) -> float:
        """One unit of each of these, or of none: 0, or the seconds until there may be some."""
        stores = {name: self._store(now, name, whole) for name, whole in wanted.items()}
        short = [(1 - stores[n].level, whole) for n, whole in wanted.items() if stores[n].level < 1]
        if short:
            return max(
                max(0.01, lack / whole.rate) if whole.rate else whole.window
                for lack, whole in short
            )
        for store in stores.values():
            store.level -= 1
        if len(self._stores) > KEPT:
            self._stores = {n: s for n, s in self._stores.items() if now - s.at < FULL}
        return 0.0
