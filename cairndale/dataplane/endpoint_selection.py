"""Locality-aware endpoint selection: nearby endpoints up to their capacity, then spillover.

Extends the endpoint pool of `cairndale.ingress.policy.endpoint_pool` by services, zones and slots
(concurrent requests that an endpoint can handle). Costs are multiples of an average response time;
times are microseconds on the engine's clock. The names of overridden methods are the base class's.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from cairndale.ingress.policy import interface as it
from cairndale.ingress.policy.endpoint_pool import Endpoint, EndpointPool
from cairndale.ingress.policy.interface import Outcome
from cairndale.quota.budget_counter import EVEN_RETRY_FRACTION, RETRY, WARMUP

# Costs of an endpoint in another locality, in average response times: network latency and the
# price of cross-zone traffic.
OTHER_ZONE_COST = 0.5
OTHER_REGION_COST = 2.0
# Weight of each request above this ingress's share of an endpoint's slots, per slot of the share.
OVERLOAD_WEIGHT = 1.5
ACTIVE_REQUEST_WEIGHT = 0.3  # of each active request at the endpoint, per slot of the share
# Largest random addition to a cost, so that ingresses do not all pick the same endpoint.
MAX_COST_JITTER = 0.15
# Fraction of a service's retry ratio that is used. Each ingress counts the requests that it sends
# itself; whoever checks the ratio may count them at another place.
RETRY_RATIO_FRACTION = 0.9


@dataclass(slots=True)
class RetryBudget:
    """Retry budget of one service at this ingress (Envoy's term).

    Requests add tokens, up to this ingress's share of the slack. Each retry beyond the tokens needs
    a grant from the leader.
    """

    tokens: float = 0.0


@dataclass(slots=True)
class Placement:
    """The locality of this ingress, and the number of ingresses that share the limits."""

    zone: int = -1  # number; -1: unknown
    region: int = -1  # number; -1: unknown
    ingress_count: int = 1  # in the fleet
    ingresses_by_zone: dict[int, int] = field(default_factory=dict)
    retry_ratio: float = 0.0  # retries allowed per request
    retry_slack: float = 0.0  # retries that the fleet may make above the ratio in a window


class EndpointSelector(EndpointPool):
    """Selects endpoints; keeps the retry budgets, and the required and the denied grants."""

    def __init__(self, settings: it.Settings, rng: random.Random) -> None:
        self.placement = Placement()
        self.ready_by_service: dict[int, list[Endpoint]] = {}
        self.retry_budgets: dict[int, RetryBudget] = {}  # by service
        self._required_grants: tuple[it.BudgetUnit, ...] = ()
        self._denied_until: dict[it.BudgetUnit, int] = {}
        self._slots = 0.0  # this ingress's share of the slots of all ready endpoints
        super().__init__(settings, rng)

    def update_endpoints(self, event: it.BackendsListed) -> None:
        """Apply an endpoint list: a full one, or the changed endpoints."""
        super().update_endpoints(event)
        for info in event.backends:
            if info.state is it.BackendState.GONE:
                self.backends.pop(info.id, None)
        self.ready_by_service = {}
        for endpoint in self.ready:
            self.ready_by_service.setdefault(endpoint.info.service, []).append(endpoint)
        self.update_slots()

    def update_slots(self) -> None:
        """Recompute the share of slots after a change of the endpoints or the placement."""
        self._slots = sum(self.slot_share(b) for b in self.ready)

    def utilization(self) -> float:
        """Return the utilization: active requests over this ingress's share of all slots."""
        return self.in_flight / max(1.0, self._slots)

    def required_units(self) -> tuple[it.BudgetUnit, ...]:
        """Return the units that must be granted before the last picked attempt is sent."""
        return self._required_grants

    def deny(self, units: tuple[it.BudgetUnit, ...], now: int, until: int) -> None:
        """Until the time `until`, pick no attempt that needs one of these units."""
        self._denied_until = {unit: end for unit, end in self._denied_until.items() if end > now}
        self._denied_until.update(dict.fromkeys(units, until))

    def is_denied(self, unit: it.BudgetUnit, now: int) -> bool:
        """Whether a denial of this unit is still in force."""
        return self._denied_until.get(unit, 0) > now

    def slot_share(self, endpoint: Endpoint) -> float:
        """Return this ingress's share of an endpoint's slots, at least 1.

        The slots of an endpoint in this ingress's zone are shared among the ingresses of that zone,
        those of any other endpoint among all ingresses.
        """
        placement, info = self.placement, endpoint.info
        sharing = placement.ingress_count
        if info.zone == placement.zone:
            sharing = placement.ingresses_by_zone.get(info.zone, 0)
        return max(1.0, info.slots / max(1, sharing))

    def distance_cost(self, endpoint: Endpoint) -> float:
        """Return the cost of the endpoint's locality, in average response times."""
        placement, info = self.placement, endpoint.info
        if info.zone == placement.zone:
            return 0.0
        return OTHER_ZONE_COST if info.region == placement.region else OTHER_REGION_COST

    def cost(self, endpoint: Endpoint, cls: int, now: int) -> float:
        """Return the cost of one more request at the endpoint, in average response times."""
        share = self.slot_share(endpoint)
        over = max(0.0, endpoint.in_flight + 1 - share) / share
        wait = OVERLOAD_WEIGHT * over + ACTIVE_REQUEST_WEIGHT * endpoint.in_flight / share
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
        """Return the cheapest eligible endpoint, with the request counted as active there.

        Returns None if there is no such endpoint. `allowed`: whether the caller permits an endpoint
        (outlier ejection, earlier attempts); `asked`: the request, None for a health check, which
        this pool does not make; `again`: whether this is a retry, which takes a token of the
        service's budget or needs a grant from the leader.
        """
        if asked is None:
            return None
        budget = self.retry_budgets.setdefault(asked.service, RetryBudget())
        needs_grant = again and budget.tokens < 1
        if needs_grant and self.is_denied((RETRY, asked.service), now):
            return None
        best = self._cheapest_endpoint(now, cls, allowed, asked)
        if best is None:
            return None
        required: tuple[it.BudgetUnit, ...] = ((RETRY, asked.service),) if needs_grant else ()
        if best.info.warmup_until > now:
            required += ((WARMUP, best.info.id),)
        self._required_grants = required
        if again:
            budget.tokens -= not needs_grant
        else:
            self._earn(budget)
        best.in_flight, self.in_flight = best.in_flight + 1, self.in_flight + 1
        return best

    def _cheapest_endpoint(
        self, now: int, cls: int, allowed: Callable[[Endpoint], bool], request: it.RequestArrived
    ) -> Endpoint | None:
        best, best_cost = None, float("inf")
        for endpoint in self.ready_by_service.get(request.service, ()):
            info = endpoint.info
            if request.regions is not None and info.region not in request.regions:
                continue
            cost = self.cost(endpoint, cls, now) + MAX_COST_JITTER * self.rng.random()
            if cost >= best_cost or not allowed(endpoint):
                continue
            if info.warmup_until > now and self.is_denied((WARMUP, info.id), now):
                continue
            best, best_cost = endpoint, cost
        return best

    def _earn(self, budget: RetryBudget) -> None:
        """Add one request's tokens to a service's retry budget."""
        placement = self.placement
        most = EVEN_RETRY_FRACTION * placement.retry_slack / placement.ingress_count
        earned = budget.tokens + RETRY_RATIO_FRACTION * placement.retry_ratio
        budget.tokens = min(most if most >= 1 else 0.0, earned)

    def record_outcome(
        self, backend: Endpoint, now: int, cls: int, outcome: Outcome, latency: int
    ) -> None:
        """Count an attempt as ended, and update the endpoint's statistics by its outcome."""
        if outcome is Outcome.MOOT:  # never sent: it says nothing about the endpoint
            backend.in_flight, self.in_flight = max(0, backend.in_flight - 1), self.in_flight - 1
            return
        super().record_outcome(backend, now, cls, outcome, latency)
