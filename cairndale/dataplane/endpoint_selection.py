"""Which server takes a request: near ones first, as their slots reach, then a stated spill.

The endpoint pool of `cairndale.ingress.policy.endpoint_pool` with other rules, for what is known
here: services, zones, slots. Costs are in usual answers' times. Times are microseconds."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from cairndale.ingress.policy import interface as it
from cairndale.ingress.policy.endpoint_pool import Backend, Fleet
from cairndale.ingress.policy.interface import Outcome
from cairndale.quota.budget_counter import EVEN, FURTHER, STARTS

ZONE, REGION = (
    0.5,
    2.0,
)  # what another zone and another region cost: the way there and the price of bytes
CROWD = 1.5  # of each request beyond this ingress's part of a server's slots, as parts of them
NOISE = 0.15
# of what further tries a service may get that are used: requests are counted where they were sent
KEPT = 0.9


@dataclass(slots=True)
class RetryBudget:
    """Further tries at one service: earned by requests, up to this ingress's part of the slack;
    beyond these each is dealt by the leader."""

    tokens: float = 0.0


@dataclass(slots=True)
class Placement:
    """Where this ingress stands, and what it shares with others."""

    zone: int = -1
    region: int = -1
    edges: int = 1  # of the fleet
    edges_in: dict[int, int] = field(default_factory=dict)  # by zone
    ratio: float = 0.0
    slack: float = 0.0


class EndpointSelector(Fleet):
    def __init__(self, settings: it.Settings, rng: random.Random) -> None:
        self.place = Placement()
        self.rows: dict[int, list[Backend]] = {}  # those ready, by service
        self.budgets: dict[int, RetryBudget] = {}
        self._owes: tuple[it.Unit, ...] = ()
        self._denied: dict[it.Unit, int] = {}  # until when none is dealt
        self._slots = 0.0  # this ingress's part of all slots
        super().__init__(settings, rng)

    def listed(self, event: it.BackendsListed) -> None:
        super().listed(event)
        for info in event.backends:
            if info.state is it.BackendState.GONE:
                self.backends.pop(info.id, None)
        self.rows = {}
        for backend in self.ready:
            self.rows.setdefault(backend.info.service, []).append(backend)
        self.placed()

    def placed(self) -> None:
        """Other servers, or another place among the ingresses."""
        self._slots = sum(self.part(b) for b in self.ready)

    def used(self) -> float:
        return self.out / max(1.0, self._slots)

    def owes(self) -> tuple[it.Unit, ...]:
        return self._owes

    def denied(self, units: tuple[it.Unit, ...], now: int, until: int) -> None:
        """None is dealt of these for a while."""
        self._denied = {unit: end for unit, end in self._denied.items() if end > now}
        self._denied.update(dict.fromkeys(units, until))

    def part(self, backend: Backend) -> float:
        """This ingress's part of a server's slots: shared with those of its zone, or of all if
        there are none."""
        there = self.place.edges_in.get(backend.info.zone, 0)
        near = there if backend.info.zone == self.place.zone else self.place.edges
        return max(1.0, backend.info.slots / max(1, near))

    def far(self, backend: Backend) -> float:
        if backend.info.zone == self.place.zone:
            return 0.0
        return ZONE if backend.info.region == self.place.region else REGION

    def cost(self, backend: Backend, cls: int, now: int) -> float:
        part = self.part(backend)
        over = max(0.0, backend.out + 1 - part) / part
        wait = CROWD * over + 0.3 * backend.out / part
        return self.slowness(backend, cls, now) * (1 + wait) + self.far(backend)

    def is_denied(self, unit: it.Unit, now: int) -> bool:
        return self._denied.get(unit, 0) > now

    def pick(
        self,
        now: int,
        cls: int,
        allowed: Callable[[Backend], bool],
        asked: it.RequestArrived | None = None,
        again: bool = False,
    ) -> Backend | None:
        if asked is None:
            return None
        budget = self.budgets.setdefault(asked.service, RetryBudget())
        needs_grant = again and budget.tokens < 1
        if needs_grant and self.is_denied((FURTHER, asked.service), now):
            return None
        best, best_cost = None, float("inf")
        for backend in self.rows.get(asked.service, ()):
            info = backend.info
            if asked.regions is not None and info.region not in asked.regions:
                continue
            cost = self.cost(backend, cls, now) + NOISE * self.rng.random()
            if cost >= best_cost or not allowed(backend):
                continue
            if info.cold_until > now and self.is_denied((STARTS, info.id), now):
                continue
            best, best_cost = backend, cost
        if best is None:
            return None
        cold = best.info.cold_until > now
        self._owes = ((FURTHER, asked.service),) * needs_grant + ((STARTS, best.info.id),) * cold
        if again:
            budget.tokens -= not needs_grant
        else:
            most = EVEN * self.place.slack / self.place.edges
            budget.tokens = min(most if most >= 1 else 0.0, budget.tokens + KEPT * self.place.ratio)
        best.out, self.out = best.out + 1, self.out + 1
        return best

    def ended(self, backend: Backend, now: int, cls: int, outcome: Outcome, latency: int) -> None:
        if outcome is Outcome.MOOT:  # never tried: nothing is known of it
            backend.out, self.out = max(0, backend.out - 1), self.out - 1
            return
        super().ended(backend, now, cls, outcome, latency)
