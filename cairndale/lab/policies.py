"""Baselines behind the module's own interface, as the bench's page describes them in words, and the
module itself.

All but the module's kin choose a server alike (fewest own attempts out of two drawn, over warmth),
so that they
differ in admission alone. They keep no part of a ceiling unless said so.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from cairndale.ingress.policy import interface as it
from cairndale.ingress.policy.engine import RequestPolicy
from cairndale.ingress.policy.interface import Outcome
from cairndale.lab.simulate import Make, Sight

SECOND = 1_000_000
# of the aim: the mean time there from which `sees-all` lets nothing in, as tails run far longer
FULL = 0.5


@dataclass(slots=True)
class Store:
    """A quota's store: starts full, fills at the rate, holds the burst at most."""

    rate: float
    burst: float
    level: float
    at: int

    def take(self, now: int, units: float) -> bool:
        self.level = min(self.burst, self.level + self.rate * (now - self.at) / SECOND)
        self.at = now
        if self.level < units:
            return False
        self.level -= units
        return True


@dataclass(slots=True)
class _Open:
    event: it.RequestArrived
    tried: set[int] = field(default_factory=set)
    attempts: int = 0


class Plain:
    """Lets every request in; one attempt at a time, up to the attempts allowed where none can have
    harmed."""

    def __init__(self, settings: it.Settings, seed: int, sight: Sight) -> None:
        self.settings, self.rng, self.sight = settings, random.Random(seed), sight
        self.backends: dict[int, it.ListedBackend] = {}
        self.out: dict[int, int] = {}
        self.open: dict[int, _Open] = {}
        self.actions: list[it.Action] = []
        self.now = 0

    # What the baselines differ in.

    def admit(self, event: it.RequestArrived) -> bool | None:
        """True or False; None: `decide` is called later."""
        return True

    def counted(self, event: it.CountAnswered) -> None: ...

    def advice(self, event: it.RequestArrived) -> int:
        return 0

    # What they share.

    def handle(self, now: int, event: it.Event) -> list[it.Action]:
        self.now, self.actions = now, []
        match event:
            case it.RequestArrived():
                self.open[event.request] = _Open(event)
                admitted = self.admit(event)
                if admitted is not None:
                    self.decide(event.request, admitted)
            case it.AttemptEnded():
                self._ended(event)
            case it.CountAnswered():
                self.counted(event)
            case it.ClientGone(number):
                self.open.pop(number, None)
            case it.BackendsListed(kind, _, entries):
                if kind in (it.ListKind.FULL, it.ListKind.CACHED):
                    self.backends = {}
                self.backends |= {e.id: e for e in entries}
            case it.SettingsChanged(settings):
                self.settings = settings
        return self.actions

    def decide(self, number: int, admitted: bool) -> None:
        if not (opened := self.open.get(number)):
            return
        if admitted:
            self._send(opened)
        else:
            self.actions.append(it.Refuse(number, self.advice(opened.event)))
            del self.open[number]

    def choose(self, ready: list[it.ListedBackend]) -> it.ListedBackend:
        some = self.rng.sample(ready, min(2, len(ready)))
        return min(some, key=lambda b: self.out.get(b.id, 0) / max(0.01, self.warmth(b)))

    def warmth(self, backend: it.ListedBackend) -> float:
        safety = self.settings.safety
        grown = (
            (self.now - backend.started) / max(1, safety.ramp_time) if backend.started > 0 else 1.0
        )
        return min(1.0, safety.cold_share + (1 - safety.cold_share) * max(0.0, grown))

    def _send(self, opened: _Open) -> None:
        number = opened.event.request
        ready = [
            b
            for b in self.backends.values()
            if b.state is it.BackendState.READY and b.id not in opened.tried
        ]
        if not ready or opened.attempts >= self.settings.limits.max_attempts:
            self.actions.append(it.Refuse(number))
            self.open.pop(number, None)
            return
        chosen = self.choose(ready)
        opened.tried.add(chosen.id)
        opened.attempts += 1
        self.out[chosen.id] = self.out.get(chosen.id, 0) + 1
        self.actions.append(it.SendAttempt(number, chosen.id, 0))

    def _ended(self, event: it.AttemptEnded) -> None:
        self.out[event.backend] = max(0, self.out.get(event.backend, 0) - 1)
        opened = self.open.get(event.request)
        if event.final or opened is None:
            self.open.pop(event.request, None)
        elif event.outcome is Outcome.TIMEOUT:
            self.actions.append(it.Fail(event.request))
            self.open.pop(event.request, None)
        else:
            self._send(opened)


class Quota(Plain):
    """Each gateway grants a share of the quota by a store of its own."""

    def __init__(self, settings: it.Settings, seed: int, sight: Sight) -> None:
        super().__init__(settings, seed, sight)
        self.stores: dict[int, Store] = {}

    def share(self, event: it.RequestArrived) -> float:
        return 1.0

    def store(self, event: it.RequestArrived) -> Store:
        plan, share = self.settings.plans[event.plan], self.share(event)
        if event.customer not in self.stores:
            burst = max(event.units, plan.burst * share)
            self.stores[event.customer] = Store(plan.rate * share, burst, burst, self.now)
        return self.stores[event.customer]

    def admit(self, event: it.RequestArrived) -> bool | None:
        return self.store(event).take(self.now, event.units)


class EvenSplit(Quota):
    def share(self, event: it.RequestArrived) -> float:
        return 1 / max(1, event.spread)


class BucketFilter(EvenSplit):
    """The paper's plain token bucket filter: what its tokens do not cover is dropped, to come back
    at d_0."""

    def advice(self, event: it.RequestArrived) -> int:
        return self.settings.limits.max_retry_after or SECOND


class CountEach(Plain):
    """A call for each try on a window's name; lets in when there is no answer."""

    def __init__(self, settings: it.Settings, seed: int, sight: Sight) -> None:
        super().__init__(settings, seed, sight)
        self.waiting: dict[int, list[tuple[int, float, float]]] = {}

    def admit(self, event: it.RequestArrived) -> bool | None:
        plan = self.settings.plans[event.plan]
        window = max(SECOND, int(plan.burst / max(1e-9, plan.rate) * SECOND))
        name = event.customer * 1_000_003 + self.now // window
        self.waiting.setdefault(name, []).append(
            (event.request, plan.burst, plan.rate * window / SECOND)
        )
        self.actions.append(it.AddToCounter(name, event.units, min(60 * SECOND, 2 * window)))
        return None

    def counted(self, event: it.CountAnswered) -> None:
        if not (queue := self.waiting.get(event.name)):
            return
        number, burst, filled = queue.pop(0)
        if not queue:
            del self.waiting[event.name]
        most = max(burst, filled)
        self.decide(number, event.outcome is not Outcome.OK or event.total <= most)


class LeasesOnly(RequestPolicy):
    """The module without its ring: what the bucket does not cover is refused firmly."""

    def __init__(self, settings: it.Settings, seed: int) -> None:
        super().__init__(settings, seed)

    def handle(self, now: int, event: it.Event) -> list[it.Action]:
        actions = super().handle(now, event)
        return [it.Refuse(a.request) if isinstance(a, it.Refuse) else a for a in actions]


class SeesAll(Plain):
    """A bound, not a policy: one gateway that sees every store and every server as they are at this
    moment."""

    def __init__(
        self,
        settings: it.Settings,
        seed: int,
        sight: Sight,
        stores: dict[int, tuple[Store, Store | None]],
    ):
        super().__init__(settings, seed, sight)
        self.stores = stores  # shared by all gateways of the run

    def admit(self, event: it.RequestArrived) -> bool | None:
        plan = self.settings.plans[event.plan]
        if event.customer not in self.stores:
            top = Store(plan.ceiling_rate, plan.ceiling_burst, plan.ceiling_burst, self.now)
            quota = Store(plan.rate, plan.burst, plan.burst, self.now)
            self.stores[event.customer] = (quota, top if plan.ceiling_rate else None)
        quota, ceiling = self.stores[event.customer]
        ready = [b for b in self.backends.values() if b.state is it.BackendState.READY]
        soonest = min((self.sight.load(b.id) for b in ready), default=float("inf"))
        if soonest > FULL * self.settings.classes[event.cls].aim:
            return False
        return quota.take(self.now, event.units) and (
            ceiling is None or ceiling.take(self.now, event.units)
        )

    def choose(self, ready: list[it.ListedBackend]) -> it.ListedBackend:
        return min(ready, key=lambda b: self.sight.load(b.id))


BASELINES: dict[str, str] = {
    "module": "this project's decisions, as they are",
    "leases-only": "the module without the borrowing ring: every refusal is firm",
    "let-all-in": "no quota; the floor",
    "whole-quota": "each gateway grants the whole quota",
    "even-split": "each gateway grants its even part of the quota",
    "count-each": "a counter call for each try; lets in without an answer",
    "bucket-filter": (
        "the paper's token bucket filter at the even part; the rest is dropped, to return"
    ),
    "sees-all": "a bound: one gateway that sees every store and server as they are",
}


def maker(name: str) -> Make:
    """A fresh maker for one run: gateways of `sees-all` share their stores within it. KeyError: no
    such name."""
    plain: dict[str, Callable[[it.Settings, int, Sight], Plain]] = {
        "let-all-in": Plain,
        "whole-quota": Quota,
        "even-split": EvenSplit,
        "count-each": CountEach,
        "bucket-filter": BucketFilter,
    }
    if name == "module":
        return lambda settings, seed, _: RequestPolicy(settings, seed)
    if name == "leases-only":
        return lambda settings, seed, _: LeasesOnly(settings, seed)
    if name == "sees-all":
        stores: dict[int, tuple[Store, Store | None]] = {}
        return lambda settings, seed, sight: SeesAll(settings, seed, sight, stores)
    return plain[name]
