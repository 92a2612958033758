"""One customer's account at this ingress: leased units, demand, allowances. Types: interface.py.

A customer's quota is one shared token bucket for all ingresses, kept by the counter. An ingress
knows the units that it has leased from it (its local token bucket, W), an upper bound of the units
left in it, and an even share that it may spend while the counter is unreachable. All times are
microseconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any

from cairndale.ingress.policy import interface as it
from cairndale.ingress.policy.borrowing_ring import BorrowingRing

SECOND = 1_000_000
# Seconds of its share that an ingress may have accumulated when it loses contact with a strict
# counter.
ISOLATED_SAVINGS_S = 0.4
# Leased units may take this multiple of an ingress's even share of a hard rate limit, because the
# counter limits the sum of all leases.
CEILING_IMBALANCE = 1.25
NEVER_SEEN = -60 * SECOND  # longer ago than any window


@dataclass(slots=True)
class TenantAccount:
    """What this ingress knows of one customer.

    `bucket_*` bounds the shared bucket. `isolated_*` and `unreported` concern units that are spent
    without the counter. `ceiling_*` concerns the plan's hard rate limit, of which each ingress has
    a fixed share."""

    plan: it.Plan
    ingress_count: int  # ingresses that receive this customer's requests
    slot_us: int  # T0, and d_0: one slot of the borrowing ring
    bucket_updated_at: int  # when `bucket_units` was updated
    bucket_units: float = 0.0  # upper bound of the shared bucket's units at that time
    isolated_share: float = 0.0  # this ingress's share, spent only without the counter
    tokens: float = 0.0  # W: leased units left
    lease_rate: float = 0.0  # r_t: size of the last lease over its expected lifetime, units/s
    # Under contention: the part of the recent demand of all ingresses that the bucket could cover.
    admit_probability: float = 1.0
    total_seen_at: int = NEVER_SEEN  # when `admit_probability` was last updated
    demand: float = 0.0  # lambda: new demand in units/s, averaged over the bucket's fill time
    demand_at: int = 0  # when `demand` was updated
    # Units spent but not yet reported to the counter, less the refill since.
    unreported: float = 0.0
    refund: float = 0.0  # units to be added to the total `refund_name`; negative: returned
    refund_name: int = 0
    # Left of this ingress's share of the hard rate limit for leased units: full at the start.
    ceiling_leased: float = 0.0
    # The same for unreported units. It starts empty, because an ingress before a restart may have
    # spent them all.
    ceiling_unreported: float = 0.0
    window_us: int = SECOND  # the time in which an empty bucket fills
    lease_pending: bool = False  # a lease call is in flight
    in_flight_count: int = 0  # attempts in flight
    attempts_elsewhere: int = 0  # attempts in flight of the process that this one takes over from
    strict: bool = False  # the counter accounts for units that may be spent without it
    # With a strict counter: the start of the period in which the isolated share may be spent, or
    # the present time while it may not.
    isolated_since: int = 0
    leased_at: int = 0  # when the newest lease was requested
    waiting: list[Any] = field(default_factory=list)  # requests waiting for the counter's answer
    ring: BorrowingRing = field(init=False)

    def __post_init__(self) -> None:
        self.bucket_units = self.isolated_share = self.plan.burst
        self.demand_at = self.bucket_updated_at
        self.ring = BorrowingRing(self.slot_us)
        self.apply_plan(self.plan)

    def apply_plan(self, plan: it.Plan) -> None:
        """Switches to another plan: known units stay, within the new bounds."""
        self.plan = plan
        self.bucket_units = min(self.bucket_units, plan.burst)
        self.isolated_share = min(self.isolated_share, plan.burst)
        if plan.rate:  # an unused bucket is full after one window: no history is needed beyond it
            self.window_us = max(SECOND, int(plan.burst / plan.rate * SECOND))

    @property
    def saves_while_connected(self) -> bool:
        """Whether the isolated share also grows while the counter is reachable."""
        return not self.strict or self.ingress_count <= self.plan.savings_limit

    def record_arrival(
        self, now: int, units: float, is_retry: bool, superseded: bool = False
    ) -> None:
        """Refills the allowances and updates the demand estimate for an arrived request.

        Args:
            now: the present time, in us.
            units: the request's cost in quota units.
            is_retry: retries are not new demand.
            superseded: another process has taken over, and receives the rate limit's refill.
        """
        before, self.demand_at = self.demand_at, now
        share = 1 / self.ingress_count
        elapsed_s = (now - before) / SECOND
        self._update_demand(units, is_retry, elapsed_s)
        self._refill_isolated_share(now, before, units, share)
        self.unreported = max(0.0, self.unreported - self.plan.rate * share * elapsed_s)
        if not superseded:
            self._refill_ceiling(share, elapsed_s)

    def _update_demand(self, units: float, is_retry: bool, elapsed_s: float) -> None:
        """Updates the average, which decays over the time in which the bucket fills."""
        fill_s = self.window_us / SECOND
        new = 0.0 if is_retry else units / fill_s
        self.demand = self.demand * math.exp(-elapsed_s / fill_s) + new

    def _refill_isolated_share(self, now: int, before: int, units: float, share: float) -> None:
        """Refills at the plan's rate, up to an even share; one request always fits."""
        plan = self.plan
        even = plan.rate * share * ISOLATED_SAVINGS_S if self.strict else plan.burst * share
        limit = max(units, even)
        if not self.saves_while_connected and before < self.isolated_since:
            self.isolated_share, before = 0.0, self.isolated_since
        refilled = plan.rate * share * (now - before) / SECOND
        self.isolated_share = min(limit, self.isolated_share + refilled)

    def _refill_ceiling(self, share: float, elapsed_s: float) -> None:
        """Refills this ingress's shares of the hard rate limit."""
        plan = self.plan
        refilled, leased_share = plan.ceiling_rate * elapsed_s, min(1.0, CEILING_IMBALANCE * share)
        self.ceiling_leased = min(
            plan.ceiling_burst * leased_share, self.ceiling_leased + refilled * leased_share
        )
        self.ceiling_unreported = min(
            plan.ceiling_burst * share, self.ceiling_unreported + refilled * share
        )

    def bucket_bound(self, now: int) -> float:
        """Returns an upper bound of the shared bucket's units, without those leased here."""
        refilled = self.bucket_units + self.plan.rate * (now - self.bucket_updated_at) / SECOND
        return min(self.plan.burst - self.tokens, refilled)

    def borrow_for_retry(self, now: int, units: float) -> int:
        """Second stage: returns the wait before a retry in us, or 0 for a final rejection."""
        spare = max(0.0, (self.lease_rate - self.demand) * self.slot_us / SECOND)  # W_a
        return self.ring.borrow(now, units, spare)
