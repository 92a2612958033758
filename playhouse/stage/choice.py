"""Which server takes a request: near ones first, as far as their slots reach, then a stated spill.

The module's fleet (`ironledge/choice.py`) with other rules, for what is known here: services, zones, slots.
Costs are in usual answers' times. Times are microseconds.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ironledge import interface as it
from ironledge.account import SECOND
from ironledge.choice import Backend, Fleet
from ironledge.interface import Outcome

ZONE, REGION = 0.5, 2.0  # what another zone and another region cost: the way there and the price of bytes
CROWD = 1.5  # of each request beyond this ingress's part of a server's slots, as parts of them
NOISE = 0.15
KEPT = 0.9  # of what further tries a service may get that are used: requests are counted where they were sent
COLD_WINDOW = int(
    1.15 * SECOND
)  # in which a cold server gets no more than its part: one second, and a margin


@dataclass(slots=True)
class Budget:
    """Further tries at one service: earned by requests, up to this ingress's part of the slack."""

    tokens: float = 0.0


@dataclass(slots=True)
class Place:
    """Where this ingress stands, and what it shares with others."""

    zone: int = -1
    region: int = -1
    edges: int = 1  # of the fleet
    edges_in: dict[int, int] = field(default_factory=dict)  # by zone
    ratio: float = 0.0
    slack: float = 0.0
    cold: dict[int, float] = field(
        default_factory=dict
    )  # requests in a second that a cold server bears in all


class Rows(Fleet):
    def __init__(self, settings: it.Settings, rng: random.Random) -> None:
        self.place = Place()
        self.rows: dict[int, list[Backend]] = {}  # those ready, by service
        self.budgets: dict[int, Budget] = {}
        self._cold: dict[int, deque[int]] = {}  # when a cold one was sent to of late
        super().__init__(settings, rng)

    def listed(self, event: it.BackendsListed) -> None:
        super().listed(event)
        self.rows = {}
        for backend in self.ready:
            self.rows.setdefault(backend.info.service, []).append(backend)
        self._cold = {n: sent for n, sent in self._cold.items() if n in self.backends}

    def used(self) -> float:
        slots = sum(self.part(b) for b in self.ready)
        return self.out / max(1.0, slots)

    def part(self, backend: Backend) -> float:
        """This ingress's part of a server's slots: shared with those of its zone, or of all if there are
        none."""
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

    def cold_has_room(self, backend: Backend, now: int) -> bool:
        most = int(self.place.cold.get(backend.info.service, 0.0) / max(1, self.place.edges))
        sent = self._cold.setdefault(backend.info.id, deque())
        while sent and sent[0] <= now - COLD_WINDOW:
            sent.popleft()
        return len(sent) < most

    def pick(
        self, now: int, cls: int, allowed: Callable[[Backend], bool],
        asked: it.RequestArrived | None = None, again: bool = False,
    ) -> Backend | None:  # fmt: skip
        if asked is None:
            return None
        budget = self.budgets.setdefault(asked.service, Budget())
        if again and budget.tokens < 1:
            return None
        best, best_cost = None, float("inf")
        for backend in self.rows.get(asked.service, ()):
            info = backend.info
            if asked.regions is not None and info.region not in asked.regions:
                continue
            cost = self.cost(backend, cls, now) + NOISE * self.rng.random()
            if cost >= best_cost or not allowed(backend):
                continue
            if info.cold_until > now and not self.cold_has_room(backend, now):
                continue
            best, best_cost = backend, cost
        if best is None:
            return None
        if best.info.cold_until > now:
            self._cold[best.info.id].append(now)
        if again:
            budget.tokens -= 1
        elif self.place.slack:
            most = max(1.0, self.place.slack / (1.5 * self.place.edges))
            budget.tokens = min(most, budget.tokens + KEPT * self.place.ratio)
        best.out, self.out = best.out + 1, self.out + 1
        return best

    def ended(self, backend: Backend, now: int, cls: int, outcome: Outcome, latency: int) -> None:
        if outcome is Outcome.MOOT:  # never tried: nothing is known of it
            backend.out, self.out = max(0, backend.out - 1), self.out - 1
            return
        super().ended(backend, now, cls, outcome, latency)
