"""One customer's account at this ingress: leased units, demand, allowances. Types: interface.py.

A customer's quota is one store of units that holds over all ingresses, kept by the counter. This
ingress knows of it what it has leased (the token bucket, W), an upper bound of what is left, and an
even part that it may spend while the counter is out of reach. All times are microseconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any

from cairndale.ingress.policy import interface as it
from cairndale.ingress.policy.borrowing_ring import BorrowingRing

SECOND = 1_000_000
# s of its part that an ingress may have saved up when it loses contact with a strict counter.
ISOLATED_SAVINGS_S = 0.4
# Even parts of a ceiling that one ingress's leases may take: the counter keeps the sum of all.
CEILING_UNEVENNESS = 1.25
NEVER_SEEN = -60 * SECOND  # longer ago than any window


@dataclass(slots=True)
class TenantAccount:
    """What this ingress knows of one customer.

    `store_*` bounds the shared store, `isolated_*` and `unreported_*` concern units that are spent
    without the counter, `ceiling_*` the plan's hard ceiling, of which each ingress has a fixed
    part."""

    plan: it.Plan
    ingress_count: int  # ingresses that this customer's requests can come through
    slot_us: int  # T0, and d_0: one slot of the borrowing ring
    bucket_updated_at: int  # when `store_units` was true
    bucket_units: float = 0.0  # the most the shared store can have held then
    isolated_share: float = 0.0  # this ingress's part, spent only without the counter
    tokens: float = 0.0  # W: leased units left
    lease_rate: float = 0.0  # r_t: size of the last lease over its expected life, units/s
    # Under contention: part of what all ingresses asked of late that the store could give.
    admit_probability: float = 1.0
    total_seen_at: int = NEVER_SEEN  # when that was last learnt
    demand: float = 0.0  # lambda: units newly asked, units/s, averaged over the store's fill time
    demand_at: int = 0
    # Units spent that the counter was not told of, less what has refilled since.
    unreported: float = 0.0
    refund: float = 0.0  # units to be added back to the window of this name
    refund_name: int = 0
    # Left of this ingress's part of the hard ceiling, had it run for long: for leased units ...
    ceiling_leased: float = 0.0
    # ... and had all been spent before a restart: for units that the counter was not told of.
    ceiling_unreported: float = 0.0
    window_us: int = SECOND  # the time in which an empty store fills
    lease_pending: bool = False  # a call for a lease is out
    attempts_out: int = 0
    attempts_elsewhere: int = 0  # those out from the process that this one takes over from
    strict: bool = False  # the counter reckons with what may be spent without it at once
    # Of a strict counter: since when the isolated share may be spent; while it may not, now.
    isolated_since: int = 0
    leased_at: int = 0  # when the newest lease was asked for
    waiting: list[Any] = field(default_factory=list)  # requests that wait for the counter's answer
    ring: BorrowingRing = field(init=False)

    def __post_init__(self) -> None:
        self.bucket_units = self.isolated_share = self.plan.burst
        self.demand_at = self.bucket_updated_at
        self.ring = BorrowingRing(self.slot_us)
        self.apply_plan(self.plan)

    def apply_plan(self, plan: it.Plan) -> None:
        """Another plan from now on: what is known stays, within the new bounds."""
        self.plan = plan
        self.bucket_units = min(self.bucket_units, plan.burst)
        self.isolated_share = min(self.isolated_share, plan.burst)
        if plan.rate:  # a store left alone for a window is full: nothing need be carried further
            self.window_us = max(SECOND, int(plan.burst / plan.rate * SECOND))

    @property
    def saves_while_connected(self) -> bool:
        """Whether the isolated share grows while the counter is in contact as well."""
        return not self.strict or self.ingress_count <= self.plan.savings_limit

    def record_arrival(self, now: int, units: float, again: bool, retired: bool = False) -> None:
        """A request has come: allowances refill, and the demand estimate fades and grows.

        Args:
            now: the present time, in us.
            units: what the request costs.
            again: it is a retry, which is no new demand.
            retired: another process has taken over, and has the ceiling's refill.
        """
        before, self.demand_at = self.demand_at, now
        part = 1 / self.ingress_count
        elapsed_s = (now - before) / SECOND
        self._update_demand(units, again, elapsed_s)
        self._refill_isolated_share(now, before, units, part)
        self.unreported = max(0.0, self.unreported - self.plan.rate * part * elapsed_s)
        if not retired:
            self._refill_ceiling(part, elapsed_s)

    def _update_demand(self, units: float, again: bool, elapsed_s: float) -> None:
        """An average that fades over the time in which the store fills."""
        fill_s = self.window_us / SECOND
        new = 0.0 if again else units / fill_s
        self.demand = self.demand * math.exp(-elapsed_s / fill_s) + new

    def _refill_isolated_share(self, now: int, before: int, units: float, part: float) -> None:
        """At the plan's rate, up to an even part; one request always fits."""
        plan = self.plan
        even = plan.rate * part * ISOLATED_SAVINGS_S if self.strict else plan.burst * part
        most = max(units, even)
        if not self.saves_while_connected and before < self.isolated_since:
            self.isolated_share, before = 0.0, self.isolated_since
        refilled = plan.rate * part * (now - before) / SECOND
        self.isolated_share = min(most, self.isolated_share + refilled)

    def _refill_ceiling(self, part: float, elapsed_s: float) -> None:
        plan = self.plan
        refilled, leased_part = plan.ceiling_rate * elapsed_s, min(1.0, CEILING_UNEVENNESS * part)
        self.ceiling_leased = min(
            plan.ceiling_burst * leased_part, self.ceiling_leased + refilled * leased_part
        )
        self.ceiling_unreported = min(
            plan.ceiling_burst * part, self.ceiling_unreported + refilled * part
        )

    def bucket_bound(self, now: int) -> float:
        """The most units that the shared store can hold, beside those leased here."""
        grown = self.bucket_units + self.plan.rate * (now - self.bucket_updated_at) / SECOND
        return min(self.plan.burst - self.tokens, grown)

    def borrow_for_retry(self, now: int, units: float) -> int:
        """Second stage: the wait before a retry in us, or 0 for a final refusal."""
        spare = max(0.0, (self.lease_rate - self.demand) * self.slot_us / SECOND)  # W_a
        return self.ring.borrow(now, units, spare)
