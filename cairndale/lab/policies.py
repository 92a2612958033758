"""Baseline policies behind the interface of the request policy, and the request policy itself.

Except for `module` and `leases-only`, which are the request policy, and `sees-all`, the baselines
choose servers in the same way, so that they differ in admission alone: the better of two random
servers by own attempts in flight over slow-start weight. They enforce no hard rate limit
(`ceiling_*`) unless stated.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from cairndale.ingress.policy import interface as it
from cairndale.ingress.policy.engine import RequestPolicy
from cairndale.ingress.policy.interface import Outcome
from cairndale.lab.simulate import GlobalView, PolicyFactory

SECOND = 1_000_000
# `sees-all` rejects a request if its expected duration exceeds this share of the latency target:
# tail latencies are far above the mean.
MAX_LOAD_SHARE = 0.5


@dataclass(slots=True)
class TokenBucket:
    """Token bucket of quota units: starts full, refills at `rate` per second up to `burst`."""

    rate: float
    burst: float
    level: float
    updated_at: int

    def take(self, now: int, units: float) -> bool:
        self.level = min(self.burst, self.level + self.rate * (now - self.updated_at) / SECOND)
        self.updated_at = now
        if self.level < units:
            return False
        self.level -= units
        return True


@dataclass(slots=True)
class _OpenRequest:
    event: it.RequestArrived
    tried_backends: set[int] = field(default_factory=set)
    attempts: int = 0


class Unlimited:
    """Admits every request. Attempts are made one at a time, up to the limit; a timeout is not
    retried."""

    def __init__(self, settings: it.Settings, seed: int, view: GlobalView) -> None:
        self.settings, self.rng, self.view = settings, random.Random(seed), view
        self.backends: dict[int, it.ListedBackend] = {}
        self.in_flight: dict[int, int] = {}
        self.open: dict[int, _OpenRequest] = {}
        self.actions: list[it.Action] = []
        self.now = 0

    # Overridden by the baselines.

    def admit(self, event: it.RequestArrived) -> bool | None:
        """Whether to admit the request; None: `decide` is called later."""
        return True

    def on_counter_answer(self, event: it.CountAnswered) -> None: ...

    def advice(self, event: it.RequestArrived) -> int:
        return 0

    # Shared by all baselines.

    def handle(self, now: int, event: it.Event) -> list[it.Action]:
        self.now, self.actions = now, []
        match event:
            case it.RequestArrived():
                self.open[event.request] = _OpenRequest(event)
                admitted = self.admit(event)
                if admitted is not None:
                    self.decide(event.request, admitted)
            case it.AttemptEnded():
                self._on_attempt_ended(event)
            case it.CountAnswered():
                self.on_counter_answer(event)
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
        if not (request := self.open.get(number)):
            return
        if admitted:
            self._send_attempt(request)
        else:
            self.actions.append(it.Refuse(number, self.advice(request.event)))
            del self.open[number]

    def choose(self, ready: list[it.ListedBackend]) -> it.ListedBackend:
        candidates = self.rng.sample(ready, min(2, len(ready)))
        return min(
            candidates, key=lambda b: self.in_flight.get(b.id, 0) / max(0.01, self.warmth(b))
        )

    def warmth(self, backend: it.ListedBackend) -> float:
        safety = self.settings.safety
        progress = (
            (self.now - backend.started) / max(1, safety.ramp_time) if backend.started > 0 else 1.0
        )
        return min(1.0, safety.cold_share + (1 - safety.cold_share) * max(0.0, progress))

    def _send_attempt(self, request: _OpenRequest) -> None:
        number = request.event.request
        ready = [
            b
            for b in self.backends.values()
            if b.state is it.BackendState.READY and b.id not in request.tried_backends
        ]
        if not ready or request.attempts >= self.settings.limits.max_attempts:
            self.actions.append(it.Refuse(number))
            self.open.pop(number, None)
            return
        chosen = self.choose(ready)
        request.tried_backends.add(chosen.id)
        request.attempts += 1
        self.in_flight[chosen.id] = self.in_flight.get(chosen.id, 0) + 1
        self.actions.append(it.SendAttempt(number, chosen.id, 0))

    def _on_attempt_ended(self, event: it.AttemptEnded) -> None:
        self.in_flight[event.backend] = max(0, self.in_flight.get(event.backend, 0) - 1)
        request = self.open.get(event.request)
        if event.final or request is None:
            self.open.pop(event.request, None)
        elif event.outcome is Outcome.TIMEOUT:
            self.actions.append(it.Fail(event.request))
            self.open.pop(event.request, None)
        else:
            self._send_attempt(request)


class WholeQuota(Unlimited):
    """Each ingress grants `quota_share` of the quota, here the whole, from its own token bucket."""

    def __init__(self, settings: it.Settings, seed: int, view: GlobalView) -> None:
        super().__init__(settings, seed, view)
        self.buckets: dict[int, TokenBucket] = {}

    def quota_share(self, event: it.RequestArrived) -> float:
        return 1.0

    def bucket(self, event: it.RequestArrived) -> TokenBucket:
        plan, quota_share = self.settings.plans[event.plan], self.quota_share(event)
        if event.customer not in self.buckets:
            burst = max(event.units, plan.burst * quota_share)
            self.buckets[event.customer] = TokenBucket(
                plan.rate * quota_share, burst, burst, self.now
            )
        return self.buckets[event.customer]

    def admit(self, event: it.RequestArrived) -> bool | None:
        return self.bucket(event).take(self.now, event.units)


class EvenSplit(WholeQuota):
    """Each ingress grants an even share of the quota: 1 / number of the customer's ingresses."""

    def quota_share(self, event: it.RequestArrived) -> float:
        return 1 / max(1, event.spread)


class BucketFilter(EvenSplit):
    """The paper's plain token bucket filter: requests without tokens are rejected with the retry
    delay d_0."""

    def advice(self, event: it.RequestArrived) -> int:
        return self.settings.limits.max_retry_after or SECOND


class CountEach(Unlimited):
    """Calls the counter once per request, on a name for the current window. Admits the request if
    the call fails."""

    def __init__(self, settings: it.Settings, seed: int, view: GlobalView) -> None:
        super().__init__(settings, seed, view)
        self.pending_calls: dict[int, list[tuple[int, float, float]]] = {}

    def admit(self, event: it.RequestArrived) -> bool | None:
        plan = self.settings.plans[event.plan]
        window = max(SECOND, int(plan.burst / max(1e-9, plan.rate) * SECOND))
        name = event.customer * 1_000_003 + self.now // window
        self.pending_calls.setdefault(name, []).append(
            (event.request, plan.burst, plan.rate * window / SECOND)
        )
        self.actions.append(it.AddToCounter(name, event.units, min(60 * SECOND, 2 * window)))
        return None

    def on_counter_answer(self, event: it.CountAnswered) -> None:
        if not (queue := self.pending_calls.get(event.name)):
            return
        number, burst, refill = queue.pop(0)
        if not queue:
            del self.pending_calls[event.name]
        limit = max(burst, refill)
        self.decide(number, event.outcome is not Outcome.OK or event.total <= limit)


class LeasesOnly(RequestPolicy):
    """The request policy without its borrowing ring: rejections carry no retry advice."""

    def __init__(self, settings: it.Settings, seed: int) -> None:
        super().__init__(settings, seed)

    def handle(self, now: int, event: it.Event) -> list[it.Action]:
        actions = super().handle(now, event)
        return [it.Refuse(a.request) if isinstance(a, it.Refuse) else a for a in actions]


class Omniscient(Unlimited):
    """An upper bound rather than a feasible policy: sees the present state of all token buckets
    and servers, and enforces the hard rate limit."""

    def __init__(
        self,
        settings: it.Settings,
        seed: int,
        view: GlobalView,
        buckets: dict[int, tuple[TokenBucket, TokenBucket | None]],
    ):
        super().__init__(settings, seed, view)
        self.buckets = buckets  # quota and hard rate limit, shared by all ingresses of the run

    def admit(self, event: it.RequestArrived) -> bool | None:
        plan = self.settings.plans[event.plan]
        if event.customer not in self.buckets:
            ceiling_bucket = TokenBucket(
                plan.ceiling_rate, plan.ceiling_burst, plan.ceiling_burst, self.now
            )
            quota = TokenBucket(plan.rate, plan.burst, plan.burst, self.now)
            self.buckets[event.customer] = (quota, ceiling_bucket if plan.ceiling_rate else None)
        quota, ceiling = self.buckets[event.customer]
        ready = [b for b in self.backends.values() if b.state is it.BackendState.READY]
        lowest_load = min((self.view.load(b.id) for b in ready), default=float("inf"))
        if lowest_load > MAX_LOAD_SHARE * self.settings.classes[event.cls].aim:
            return False
        return quota.take(self.now, event.units) and (
            ceiling is None or ceiling.take(self.now, event.units)
        )

    def choose(self, ready: list[it.ListedBackend]) -> it.ListedBackend:
        return min(ready, key=lambda b: self.view.load(b.id))


BASELINES: dict[str, str] = {
    "module": "the request policy of this project, unchanged",
    "leases-only": "the request policy without the borrowing ring: no retry advice in rejections",
    "let-all-in": "no quota; the lower bound",
    "whole-quota": "each ingress grants the whole quota",
    "even-split": "each ingress grants an even share of the quota",
    "count-each": "one counter call per request; admits it if the call fails",
    "bucket-filter": (
        "the paper's token bucket filter at an even share; rejects the rest with a retry delay"
    ),
    "sees-all": "an upper bound: sees the present state of all token buckets and servers",
}


def policy_factory(name: str) -> PolicyFactory:
    """A new factory for one run: with `sees-all`, all ingresses of the run share their token
    buckets.

    Raises KeyError if there is no such baseline."""
    baselines: dict[str, Callable[[it.Settings, int, GlobalView], Unlimited]] = {
        "let-all-in": Unlimited,
        "whole-quota": WholeQuota,
        "even-split": EvenSplit,
        "count-each": CountEach,
        "bucket-filter": BucketFilter,
    }
    if name == "module":
        return lambda settings, seed, _: RequestPolicy(settings, seed)
    if name == "leases-only":
        return lambda settings, seed, _: LeasesOnly(settings, seed)
    if name == "sees-all":
        buckets: dict[int, tuple[TokenBucket, TokenBucket | None]] = {}
        return lambda settings, seed, view: Omniscient(settings, seed, view, buckets)
    return baselines[name]
