"""Which endpoint of a service takes a request: near ones first, as their slots reach, then a spill.

The endpoint pool of `cairndale.ingress.policy.endpoint_pool` with rules for what is known here:
services, zones, slots. Costs are multiples of a usual answer's time; times are microseconds on the
engine's clock. The base class and the policy that calls it name the overridden methods.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from cairndale.ingress.policy import interface as it
from cairndale.ingress.policy.endpoint_pool import Endpoint, EndpointPool
from cairndale.ingress.policy.interface import Outcome
from cairndale.quota.budget_counter import EVEN_RETRY_FRACTION, RETRY, WARMUP

# Costs of an endpoint elsewhere, in usual answers' times: the way there and the price of bytes.
OTHER_ZONE_COST = 0.5
OTHER_REGION_COST = 2.0
# Weight of each request beyond this ingress's share of an endpoint's slots, per slot of the share.
OVERLOAD_WEIGHT = 1.5
BUSY_WEIGHT = 0.3  # weight of each request out at the endpoint, per slot of the share
COST_NOISE = 0.15  # added at most, at random, so that ingresses do not all pick the same endpoint
# Part of a service's retry ratio that is used: requests are counted where they were sent, which
# need not be where the judge of the ratio counts them.
RETRY_RATIO_USED = 0.9


@dataclass(slots=True)
class RetryBudget:
    """Retry budget of one service at this ingress (Envoy's term).

    Requests earn tokens, up to this ingress's share of the slack. Retries beyond these need a grant
    of the leader each.
    """

    tokens: float = 0.0


@dataclass(slots=True)
class Placement:
    """Where this ingress is, and among how many its shares are split."""

    zone: int = -1  # number; -1: unknown
    region: int = -1  # number; -1: unknown
    ingress_count: int = 1  # in the fleet
    ingresses_by_zone: dict[int, int] = field(default_factory=dict)
    retry_ratio: float = 0.0  # retries that one request earns
    retry_slack: float = 0.0  # retries beyond the ratio, of the fleet in a window


class EndpointSelector(EndpointPool):
    """Selects endpoints, and keeps the retry budgets and which grants are owed and denied."""

    def __init__(self, settings: it.Settings, rng: random.Random) -> None:
        self.placement = Placement()
        self.ready_by_service: dict[int, list[Endpoint]] = {}
        self.retry_budgets: dict[int, RetryBudget] = {}  # by service
        self._owed_units: tuple[it.BudgetUnit, ...] = ()
        self._denied_until: dict[it.BudgetUnit, int] = {}
        self._slots = 0.0  # this ingress's share of the slots of all endpoints that are ready
        super().__init__(settings, rng)

    def update_endpoints(self, event: it.BackendsListed) -> None:
        """Take in a list of endpoints, or of those that have changed."""
        super().update_endpoints(event)
        for info in event.backends:
            if info.state is it.BackendState.GONE:
                self.backends.pop(info.id, None)
        self.ready_by_service = {}
        for endpoint in self.ready:
            self.ready_by_service.setdefault(endpoint.info.service, []).append(endpoint)
        self.update_slots()

    def update_slots(self) -> None:
        """Sum up the shares of slots again: the endpoints or the placement have changed."""
        self._slots = sum(self.slot_share(b) for b in self.ready)

    def utilization(self) -> float:
        """Return requests out over this ingress's share of all slots."""
        return self.in_flight / max(1.0, self._slots)

    def required_units(self) -> tuple[it.BudgetUnit, ...]:
        """Return the units that the attempt of the last `pick` needs granted before it is sent."""
        return self._owed_units

    def deny(self, units: tuple[it.BudgetUnit, ...], now: int, until: int) -> None:
        """Pick nothing that needs one of these units until then: no grant is to be had."""
        self._denied_until = {unit: end for unit, end in self._denied_until.items() if end > now}
        self._denied_until.update(dict.fromkeys(units, until))

    def is_denied(self, unit: it.BudgetUnit, now: int) -> bool:
        """Whether a grant of this unit was denied for a time that lasts still."""
        return self._denied_until.get(unit, 0) > now

    def slot_share(self, endpoint: Endpoint) -> float:
        """Return this ingress's share of an endpoint's slots, 1 at the least.

        An endpoint in this ingress's zone is shared with the ingresses there, any other with all.
        """
        placement, info = self.placement, endpoint.info
        sharing = placement.ingress_count
        if info.zone == placement.zone:
            sharing = placement.ingresses_by_zone.get(info.zone, 0)
        return max(1.0, info.slots / max(1, sharing))

    def distance_cost(self, endpoint: Endpoint) -> float:
        """Return what the way to the endpoint costs, in usual answers' times."""
        placement, info = self.placement, endpoint.info
        if info.zone == placement.zone:
            return 0.0
        return OTHER_ZONE_COST if info.region == placement.region else OTHER_REGION_COST

    def cost(self, endpoint: Endpoint, cls: int, now: int) -> float:
        """Return the cost of one more request at the endpoint, in usual answers' times."""
        share = self.slot_share(endpoint)
        over = max(0.0, endpoint.in_flight + 1 - share) / share
        wait = OVERLOAD_WEIGHT * over + BUSY_WEIGHT * endpoint.in_flight / share
        return self.current_latency_ratio(endpoint, cls, now) * (1 + wait) + self.distance_cost(
            endpoint
        )

    def pick(
        self,
        now: int,
        cls: int,
        allowed: Callable[[Endpoint], bool],
        asked: it.RequestArrived | None = None,
        again: bool = False,
    ) -> Endpoint | None:
        """Return the cheapest endpoint that may be sent to, counted as out; None if there is none.

        `allowed`: what else decides about an endpoint (outlier ejection, attempts made); `asked`:
        the request, None for a health check, which this pool does not make; `again`: whether this
        is a retry, paid from the service's budget or by a grant of the leader.
        """
        if asked is None:
            return None
        budget = self.retry_budgets.setdefault(asked.service, RetryBudget())
        needs_grant = again and budget.tokens < 1
        if needs_grant and self.is_denied((RETRY, asked.service), now):
            return None
        best = self._cheapest_of_service(now, cls, allowed, asked)
        if best is None:
            return None
        owed: tuple[it.BudgetUnit, ...] = ((RETRY, asked.service),) if needs_grant else ()
        if best.info.warmup_until > now:
            owed += ((WARMUP, best.info.id),)
        self._owed_units = owed
        if again:
            budget.tokens -= not needs_grant
        else:
            self._earn(budget)
        best.in_flight, self.in_flight = best.in_flight + 1, self.in_flight + 1
        return best

    def _cheapest_of_service(
        self, now: int, cls: int, allowed: Callable[[Endpoint], bool], asked: it.RequestArrived
    ) -> Endpoint | None:
        best, best_cost = None, float("inf")
        for endpoint in self.ready_by_service.get(asked.service, ()):
            info = endpoint.info
            if asked.regions is not None and info.region not in asked.regions:
                continue
            cost = self.cost(endpoint, cls, now) + COST_NOISE * self.rng.random()
            if cost >= best_cost or not allowed(endpoint):
                continue
            if info.warmup_until > now and self.is_denied((WARMUP, info.id), now):
                continue
            best, best_cost = endpoint, cost
        return best

    def _earn(self, budget: RetryBudget) -> None:
        """Credit a service's retry budget with one request."""
        placement = self.placement
        most = EVEN_RETRY_FRACTION * placement.retry_slack / placement.ingress_count
        earned = budget.tokens + RETRY_RATIO_USED * placement.retry_ratio
        budget.tokens = min(most if most >= 1 else 0.0, earned)

    def record_outcome(
        self, backend: Endpoint, now: int, cls: int, outcome: Outcome, latency: int
    ) -> None:
        """Count an attempt as over, and learn from how it ended."""
        if outcome is Outcome.MOOT:  # never tried: nothing is known of the endpoint
            backend.in_flight, self.in_flight = max(0, backend.in_flight - 1), self.in_flight - 1
            return
        super().record_outcome(backend, now, cls, outcome, latency)
