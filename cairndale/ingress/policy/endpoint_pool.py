"""The choice of an endpoint: load, outliers, slow start, bounds in flight. Types: interface.py.

Every endpoint has a concurrency limit that follows its latency (additive increase, decrease with
the overshoot). An endpoint that answers slowly or fails is avoided in proportion to its latency
ratio, a starting one earns its requests (slow start), and an ingress of a large fleet keeps to a
few endpoints of its own, so that each ingress opens few connections. All times are microseconds.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from cairndale.ingress.policy import interface as it
from cairndale.ingress.policy.account import SECOND
from cairndale.ingress.policy.hashing import mix
from cairndale.ingress.policy.interface import BackendState, ListKind, Outcome

# Requests in flight at an endpoint by all ingresses to begin with: a few a core.
INITIAL_LIMIT = 16.0
# Latency, as a share of the target, at which an endpoint counts as full: tails run four times that.
TARGET_LATENCY_SHARE = 0.19
# Of the slow-start budget that is used: requests differ in work, and lists come at different times.
SLOW_START_SHARE = 0.8
MAX_SLOW_START_CREDIT = 2.0
FAILED_RATIO = 4.0  # times the usual latency: what an error or no answer is taken for
DOWN_RATIO = 3 * FAILED_RATIO  # and a connection that failed or was reset
WARM_CAPACITY_INTERVAL = SECOND // 4  # us between looks at how much of the fleet is warm
# s that a latency ratio is remembered: some tens of answers; longer if few come.
RATIO_MEMORY_S = 5.0
# Endpoints looked at for a request: all of a small fleet, of a large one enough to find a good one.
CANDIDATES = 16
# Times the usual latency of its own endpoints, from which an ingress of many looks at others.
NON_PREFERRED_RATIO = 2.5
# Multiples of it are evenly spread over a circle, neighbours far apart.
GOLDEN_RATIO = (math.sqrt(5) - 1) / 2
AVERAGE_LATENCY_GAIN = 0.05  # of the moving average of latencies
RATIO_GAIN = 0.2  # of an endpoint's latency ratio
AVERAGE_RATIO_GAIN = 0.05  # of the ratio that is typical of all
LOAD_REPORT_LIFETIME = SECOND  # older reports tell nothing
BUSY_SHARE = 0.7  # of its limit that an endpoint must have in flight for the limit to grow
FAILURES = (Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT)


@dataclass(slots=True)
class Endpoint:
    """What this ingress knows of one endpoint."""

    info: it.ListedBackend
    limit: float = 0.0  # requests in flight at once
    # By class: latency over the usual; FAILED_RATIO if no answer came.
    latency_ratios: list[float] = field(default_factory=list)
    in_flight: int = 0  # requests in flight
    in_flight_elsewhere: int = 0  # and those of the process that this one takes over from
    last_outcome_at: int = 0  # its last answer, or the lack of one
    credit: float = 0.0  # slow start: requests earned by now ...
    credit_at: float = 0.0  # ... and what an endpoint had got on average then
    reported_load: float = 0.0  # the last report of how busy it is
    reported_at: int = -SECOND


class EndpointPool:
    """All endpoints of the list, and the choice among those that are ready."""

    def __init__(self, settings: it.Settings, rng: random.Random) -> None:
        self.settings, self.rng = settings, rng
        self.backends: dict[int, Endpoint] = {}
        self.ready: list[Endpoint] = []
        # Of these, the ones that this ingress keeps to while they serve it well.
        self.preferred: list[Endpoint] = []
        self.maintenance_ids: set[int] = set()  # taken out by operators, apart from what is listed
        self.returned_at: dict[int, int] = {}  # put back by operators: cold as if started then
        self.average_latencies: list[float] = []  # of an answer, by class
        self.average_ratios: list[float] = []  # what latency ratios are on average, by class
        self.in_flight = 0  # requests in flight
        self.in_flight_elsewhere = 0.0  # and those of the process that this one takes over from
        self.extra_capacity = 0.0  # what the limits of all have grown by
        self.sent_on_average = 0.0  # requests that an endpoint has got on average
        self.warm_capacity, self.warm_capacity_at = 0.0, -SECOND
        self.superseded = False  # another process has taken over, the slow-start budgets too
        self.apply_settings(settings)

    def apply_settings(self, settings: it.Settings) -> None:
        """Other settings: classes keep their numbers, new ones come behind."""
        self.settings = settings
        self.even_share_limit = INITIAL_LIMIT / settings.fleet_size
        self.initial_limit = self.even_share_limit
        self.refresh_ready()
        new = len(settings.classes) - len(self.average_latencies)
        self.average_latencies = self.average_latencies + [0.0] * new
        self.average_ratios = self.average_ratios + [1.0] * new
        for endpoint in self.backends.values():
            endpoint.latency_ratios += [1.0] * new

    def utilization(self) -> float:
        """The part in flight of what may be in flight at all endpoints: one at each jams them."""
        if self.even_share_limit < 1:
            ratios = zip(self.average_ratios, self.average_latencies, strict=True)
            failing = min((ratio for ratio, usual in ratios if usual), default=1.0)
            pooled = 1 + self.even_share_limit * len(self.ready) / 2
            room = pooled / failing + self.extra_capacity  # less if every class fails
        else:
            room = sum(endpoint.limit for endpoint in self.ready)
        return (self.in_flight + self.in_flight_elsewhere) / max(1.0, room)

    # The list.

    def update_endpoints(self, event: it.BackendsListed) -> None:
        """Takes in what discovery says: all endpoints, or those that changed."""
        begun = []
        for info in event.backends:
            info = replace(info, started=max(info.started, self.returned_at.get(info.id, 0)))
            known = self.backends.setdefault(info.id, Endpoint(info))
            if known.limit == 0 or info.started > known.info.started:
                begun.append(known)
            known.info = info
        whole = event.kind in (ListKind.FULL, ListKind.CACHED)
        named = {info.id for info in event.backends} if whole else self.backends.keys()
        self.backends = {n: b for n, b in self.backends.items() if n in named}
        self.refresh_ready()
        for endpoint in begun:
            self.reset(endpoint)

    def refresh_ready(self) -> None:
        """Looks up which endpoints are ready, and which of these this ingress keeps to."""
        fit = (b for b in self.backends.values() if b.info.id not in self.maintenance_ids)
        self.ready = [b for b in fit if b.info.state is BackendState.READY]
        self.warm_capacity_at = -SECOND
        self.preferred, self.initial_limit = self.ready, self.even_share_limit
        if self.even_share_limit < 1 and len(self.ready) > CANDIDATES:
            # Many ingresses: an arc of the ring of all endpoints, even over them, so that each
            # ingress opens few connections and sees its own often. Harms where an arc is bad as a
            # whole: then others are looked at too.
            ring = sorted(self.ready, key=lambda b: mix(b.info.key or b.info.id))
            start = int(self.settings.ingress_index * GOLDEN_RATIO % 1 * len(ring))
            self.preferred = (ring + ring)[start : start + CANDIDATES]
            self.initial_limit = self.even_share_limit * len(ring) / CANDIDATES

    def reset(self, endpoint: Endpoint) -> None:
        """As new; its slow-start credit is out of step with that at other ingresses."""
        endpoint.limit, endpoint.latency_ratios = self.initial_limit, self.average_ratios[:]
        endpoint.credit = max(self.rng.random(), min(1.0, self.initial_limit))
        endpoint.credit_at = self.sent_on_average

    def apply_maintenance(self, now: int, event: it.MaintenanceChanged) -> None:
        """Operators took an endpoint out, or put it back."""
        if event.in_maintenance:
            self.maintenance_ids.add(event.backend)
        elif event.backend in self.maintenance_ids:
            self.maintenance_ids.discard(event.backend)
            # It was restarted meanwhile, whatever the list knows of that.
            self.returned_at[event.backend] = now
            if known := self.backends.get(event.backend):
                known.info = replace(known.info, started=now)
                self.reset(known)
        self.refresh_ready()

    # Slow start.

    def warmup_factor(self, endpoint: Endpoint, now: int) -> float:
        """The part of its capacity that an endpoint has for sure, from 0 to 1."""
        safety, started = self.settings.safety, endpoint.info.started
        grown = (now - started) / max(1, safety.ramp_time) if started > 0 else 1.0
        return min(1.0, safety.cold_share + (1 - safety.cold_share) * max(0.0, grown))

    def update_warm_capacity(self, now: int) -> None:
        """The capacity of all that are preferred, in warm ones; looked up now and then."""
        if now - self.warm_capacity_at > WARM_CAPACITY_INTERVAL:
            self.warm_capacity_at = now
            self.warm_capacity = sum(self.warmup_factor(b, now) for b in self.preferred)

    def has_credit(self, endpoint: Endpoint, warmth: float) -> bool:
        """Whether an endpoint in slow start may have a request: earned by those to others."""
        times = SLOW_START_SHARE * self.settings.safety.overload_multiple
        even = len(self.preferred) / max(0.01, self.warm_capacity)
        if self.even_share_limit < 1:
            # Many ingresses' requests fall together by chance: half, and more the less is warm.
            times = max(1.0, times * min(1.0, even / 2))
        earned = times * warmth * (self.sent_on_average - endpoint.credit_at)
        endpoint.credit = min(MAX_SLOW_START_CREDIT, endpoint.credit + earned)
        endpoint.credit_at = self.sent_on_average
        out = endpoint.in_flight + endpoint.in_flight_elsewhere
        limit = max(1.0, endpoint.limit * warmth)
        return not self.superseded and endpoint.credit >= 1 and out < limit

    # The choice.

    def pick(
        self,
        now: int,
        cls: int,
        allowed: Callable[[Endpoint], bool],
        asked: it.RequestArrived | None = None,
        again: bool = False,
    ) -> Endpoint | None:
        """The endpoint for a request of this class, which counts as in flight there from now on.

        Args:
            now: the present time, in us.
            cls: the request's class.
            allowed: whether the request may go to an endpoint.
            asked: the request, for pools that choose by it.
            again: an endpoint has seen it before.
        """
        best, best_cost = None, math.inf
        self.update_warm_capacity(now)
        if self.utilization() < 1:
            best, best_cost = self.cheapest(now, cls, allowed, self.preferred)
            strays = best_cost > NON_PREFERRED_RATIO * self.average_ratios[cls]
            if strays and len(self.preferred) < len(self.ready):
                # Slow-start budgets are those of the ingresses that prefer an endpoint.
                warm = [b for b in self.ready if self.warmup_factor(b, now) == 1]
                other, cost = self.cheapest(now, cls, allowed, warm)
                best = other if cost < best_cost else best
        self.sent_on_average += 1 / max(1, len(self.preferred))
        if best:
            best.in_flight, self.in_flight, best.credit = (
                best.in_flight + 1,
                self.in_flight + 1,
                best.credit - 1,
            )
        return best

    def required_units(self) -> tuple[it.BudgetUnit, ...]:
        """The shared budgets that the last pick needs a unit of."""
        return ()

    def cheapest(
        self, now: int, cls: int, allowed: Callable[[Endpoint], bool], among: list[Endpoint]
    ) -> tuple[Endpoint | None, float]:
        """The one with the lowest expected cost of a sample, and that cost."""
        best, best_cost, far = None, math.inf, self.settings.cross_zone_price > 0
        some = self.rng.sample(among, min(CANDIDATES, len(among)))
        fresh = {
            b.info.id: b.reported_load for b in some if now - b.reported_at < LOAD_REPORT_LIFETIME
        }
        mean = sum(fresh.values()) / max(1, len(fresh)) or 1.0
        for endpoint in some:
            warmth = max(0.01, self.warmup_factor(endpoint, now))
            out = endpoint.in_flight + endpoint.in_flight_elsewhere
            if out >= max(1.0, endpoint.limit) or not allowed(endpoint):
                continue
            if warmth < 1 and not self.has_credit(endpoint, warmth):
                continue
            slow = self.current_latency_ratio(endpoint, cls, now)
            report = fresh.get(endpoint.info.id, mean) / mean
            load = out / warmth + self.rng.expovariate(1.0) + report
            # Idle ones by weight.
            cost = max(0.0, load - 1) * slow / max(endpoint.info.weight, 1e-3) + slow
            cost *= 1.1 if far and endpoint.info.zone != self.settings.zone else 1.0  # breaks ties
            if cost < best_cost:
                best, best_cost = endpoint, cost
        return best, best_cost

    def current_latency_ratio(self, endpoint: Endpoint, cls: int, now: int) -> float:
        """An endpoint's latency ratio, which fades to what is typical."""
        memory = RATIO_MEMORY_S
        spell = (endpoint.last_outcome_at - now) / SECOND / memory
        fading = math.exp(spell / min(4.0, 1 + 1 / self.initial_limit))
        typical = self.average_ratios[cls]
        return typical + (endpoint.latency_ratios[cls] - typical) * fading

    # Outcomes.

    def record_outcome(
        self, backend: Endpoint, now: int, cls: int, outcome: Outcome, latency: int
    ) -> None:
        """An attempt has ended: averages, the endpoint's ratio and its limit follow."""
        backend.in_flight, self.in_flight = max(0, backend.in_flight - 1), self.in_flight - 1
        ratio = self._latency_ratio(cls, outcome, latency)
        if outcome in FAILURES or outcome is Outcome.OK:
            blended = (
                self.current_latency_ratio(backend, cls, now) * (1 - RATIO_GAIN)
                + ratio * RATIO_GAIN
            )
            backend.latency_ratios[cls] = blended
            self.average_ratios[cls] += AVERAGE_RATIO_GAIN * (ratio - self.average_ratios[cls])
            backend.last_outcome_at = now
        if outcome is Outcome.FULL:
            # Jammed, or draining before the list says so: idle as it looks, no place.
            backend.latency_ratios = [
                self.current_latency_ratio(backend, number, now) * 0.5 + FAILED_RATIO
                for number in range(len(backend.latency_ratios))
            ]
            backend.last_outcome_at = now
        if outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):  # down, whatever the class
            backend.latency_ratios = [DOWN_RATIO for _ in backend.latency_ratios]
        self._adjust_limit(backend, now, cls, outcome, latency)

    def _latency_ratio(self, cls: int, outcome: Outcome, latency: int) -> float:
        """What an outcome says of the endpoint; an answer moves the usual latency as well."""
        if outcome is not Outcome.OK:
            return FAILED_RATIO
        usual = self.average_latencies[cls] or max(1.0, latency)
        self.average_latencies[cls] = usual + AVERAGE_LATENCY_GAIN * (
            min(latency, 4 * usual) - usual
        )
        return min(latency / usual, FAILED_RATIO)

    def _adjust_limit(
        self, endpoint: Endpoint, now: int, cls: int, outcome: Outcome, latency: int
    ) -> None:
        """The limit follows latency: up while used and answers come well within the target.

        Covers overload, slow and thrashing endpoints; starves one whose own work exceeds the
        target."""
        target = TARGET_LATENCY_SHARE * self.settings.classes[cls].aim
        step = 0.5 * max(-2.0, 1 - latency / target)
        if outcome in (Outcome.TIMEOUT, Outcome.FULL):
            step = -1.0
        used = endpoint.in_flight + 1 >= BUSY_SHARE * endpoint.limit * self.warmup_factor(
            endpoint, now
        )
        if step < 0 or (outcome is Outcome.OK and used):
            endpoint.limit = max(min(1.0, self.initial_limit / 4), endpoint.limit + step)
            if self.utilization() > 0.5 or step < 0:
                self.extra_capacity = max(0.0, self.extra_capacity + step)
