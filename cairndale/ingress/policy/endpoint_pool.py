"""Endpoint selection: load, outliers, slow start, concurrency limits. Types: interface.py.

Every endpoint has an adaptive concurrency limit that follows its latency: additive increase, and a
decrease by the amount that the latency exceeds its target. An endpoint that is slow or fails is
avoided in proportion to its latency ratio. An endpoint in slow start receives requests in
proportion to those of other endpoints. An ingress of a large fleet prefers a subset of the
endpoints, so that each ingress opens few connections. All times are microseconds.
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

# Initial limit of requests in flight at an endpoint from all ingresses: a few per core.
INITIAL_LIMIT = 16.0
# Latency, as a share of the target, at which an endpoint counts as full: tail latency is four times
# as high.
TARGET_LATENCY_SHARE = 0.19
# Share of the slow-start budget that is used, because requests differ in work and endpoint list
# updates reach the ingresses at different times.
SLOW_START_SHARE = 0.8
MAX_SLOW_START_CREDIT = 2.0  # requests
FAILED_RATIO = 4.0  # latency ratio recorded for an error or a missing answer
DOWN_RATIO = 3 * FAILED_RATIO  # latency ratio recorded for a failed or reset connection
WARM_CAPACITY_INTERVAL = SECOND // 4  # us between updates of the warm capacity
# Seconds after which a latency ratio has decayed: some tens of answers; longer if answers are rare.
RATIO_MEMORY_S = 5.0
# Endpoints considered for a request: all of a small set; of a large one, enough to find a good one.
CANDIDATES = 16
# Cost, as a multiple of the average latency ratio, from which an ingress of a large fleet also
# considers non-preferred endpoints.
NON_PREFERRED_RATIO = 2.5
# Its multiples, modulo 1, are evenly spread, and consecutive ones are far apart.
GOLDEN_RATIO = (math.sqrt(5) - 1) / 2
AVERAGE_LATENCY_GAIN = 0.05  # of the moving average of latencies
RATIO_GAIN = 0.2  # of the moving average of an endpoint's latency ratio
AVERAGE_RATIO_GAIN = 0.05  # of the moving average of all endpoints' latency ratios
LOAD_REPORT_LIFETIME = SECOND  # us after which a load report is ignored
BUSY_SHARE = 0.7  # share of its limit that an endpoint must have in flight for the limit to grow
FAILURES = (Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT)


@dataclass(slots=True)
class Endpoint:
    """What this ingress knows of one endpoint."""

    info: it.ListedBackend
    limit: float = 0.0  # concurrency limit, in requests
    # By class: latency relative to the average; FAILED_RATIO for a missing answer.
    latency_ratios: list[float] = field(default_factory=list)
    in_flight: int = 0  # requests
    in_flight_elsewhere: int = 0  # requests of the process that this one takes over from
    last_outcome_at: int = 0  # when an attempt last ended
    credit: float = 0.0  # slow start: requests earned
    credit_at: float = 0.0  # value of `sent_on_average` when `credit` was updated
    reported_load: float = 0.0  # from the last load report
    reported_at: int = -SECOND


class EndpointPool:
    """The listed endpoints, and the selection among those that are ready."""

    def __init__(self, settings: it.Settings, rng: random.Random) -> None:
        self.settings, self.rng = settings, rng
        self.backends: dict[int, Endpoint] = {}
        self.ready: list[Endpoint] = []
        # The ready endpoints that this ingress uses while they perform well.
        self.preferred: list[Endpoint] = []
        self.maintenance_ids: set[int] = set()  # in maintenance, whatever their listed state
        # When operators took endpoints out of maintenance: slow start begins then.
        self.returned_at: dict[int, int] = {}
        self.average_latencies: list[float] = []  # of successful answers, by class
        self.average_ratios: list[float] = []  # average latency ratio of all endpoints, by class
        self.in_flight = 0  # requests
        self.in_flight_elsewhere = 0.0  # requests of the process that this one takes over from
        self.extra_capacity = 0.0  # sum by which the limits of all endpoints have grown
        self.sent_on_average = 0.0  # requests that an endpoint has received on average
        self.warm_capacity, self.warm_capacity_at = 0.0, -SECOND
        self.superseded = False  # another process has taken over, with the slow-start budgets
        self.apply_settings(settings)

    def apply_settings(self, settings: it.Settings) -> None:
        """Applies new settings: classes keep their numbers, new ones are appended."""
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
        """Returns the requests in flight as a share of the capacity of all endpoints.

        In a large fleet the limits are pooled: one request from each ingress at each endpoint
        would overload the endpoints.
        """
        if self.even_share_limit < 1:
            ratios = zip(self.average_ratios, self.average_latencies, strict=True)
            failing = min((ratio for ratio, latency in ratios if latency), default=1.0)
            pooled = 1 + self.even_share_limit * len(self.ready) / 2
            capacity = pooled / failing + self.extra_capacity  # lower if every class fails
        else:
            capacity = sum(endpoint.limit for endpoint in self.ready)
        return (self.in_flight + self.in_flight_elsewhere) / max(1.0, capacity)

    # The endpoint list.

    def update_endpoints(self, event: it.BackendsListed) -> None:
        """Applies an endpoint list update: a full list, or the endpoints that changed."""
        new_or_restarted = []
        for info in event.backends:
            info = replace(info, started=max(info.started, self.returned_at.get(info.id, 0)))
            known = self.backends.setdefault(info.id, Endpoint(info))
            if known.limit == 0 or info.started > known.info.started:
                new_or_restarted.append(known)
            known.info = info
        is_full = event.kind in (ListKind.FULL, ListKind.CACHED)
        listed = {info.id for info in event.backends} if is_full else self.backends.keys()
        self.backends = {n: b for n, b in self.backends.items() if n in listed}
        self.refresh_ready()
        for endpoint in new_or_restarted:
            self.reset(endpoint)

    def refresh_ready(self) -> None:
        """Updates the lists of ready endpoints and of preferred endpoints."""
        in_service = (b for b in self.backends.values() if b.info.id not in self.maintenance_ids)
        self.ready = [b for b in in_service if b.info.state is BackendState.READY]
        self.warm_capacity_at = -SECOND
        self.preferred, self.initial_limit = self.ready, self.even_share_limit
        if self.even_share_limit < 1 and len(self.ready) > CANDIDATES:
            # Large fleet: each ingress prefers an arc of the ring of all endpoints, and the arcs
            # are spread evenly. Each ingress thus opens few connections and has recent latencies
            # of its endpoints. If all endpoints of an arc are slow or fail, others are considered
            # as well.
            ring = sorted(self.ready, key=lambda b: mix(b.info.key or b.info.id))
            start = int(self.settings.ingress_index * GOLDEN_RATIO % 1 * len(ring))
            self.preferred = (ring + ring)[start : start + CANDIDATES]
            self.initial_limit = self.even_share_limit * len(ring) / CANDIDATES

    def reset(self, endpoint: Endpoint) -> None:
        """Resets what is known of an endpoint.

        The slow-start credit is random, so that ingresses do not send at the same time.
        """
        endpoint.limit, endpoint.latency_ratios = self.initial_limit, self.average_ratios[:]
        endpoint.credit = max(self.rng.random(), min(1.0, self.initial_limit))
        endpoint.credit_at = self.sent_on_average

    def apply_maintenance(self, now: int, event: it.MaintenanceChanged) -> None:
        """Puts an endpoint into maintenance, or takes it out."""
        if event.in_maintenance:
            self.maintenance_ids.add(event.backend)
        elif event.backend in self.maintenance_ids:
            self.maintenance_ids.discard(event.backend)
            # It is assumed to have been restarted, even if no start time is listed.
            self.returned_at[event.backend] = now
            if known := self.backends.get(event.backend):
                known.info = replace(known.info, started=now)
                self.reset(known)
        self.refresh_ready()

    # Slow start.

    def warmup_factor(self, endpoint: Endpoint, now: int) -> float:
        """Returns the share of its capacity that an endpoint is guaranteed to have, from 0 to 1."""
        safety, started = self.settings.safety, endpoint.info.started
        progress = (now - started) / max(1, safety.ramp_time) if started > 0 else 1.0
        return min(1.0, safety.cold_share + (1 - safety.cold_share) * max(0.0, progress))

    def update_warm_capacity(self, now: int) -> None:
        """Updates the preferred endpoints' capacity, in warm endpoints, at intervals."""
        if now - self.warm_capacity_at > WARM_CAPACITY_INTERVAL:
            self.warm_capacity_at = now
            self.warm_capacity = sum(self.warmup_factor(b, now) for b in self.preferred)

    def has_credit(self, endpoint: Endpoint, warmup_factor: float) -> bool:
        """Whether an endpoint in slow start may receive a request.

        Requests to other endpoints earn the credit.
        """
        multiple = SLOW_START_SHARE * self.settings.safety.overload_multiple
        preferred_per_warm = len(self.preferred) / max(0.01, self.warm_capacity)
        if self.even_share_limit < 1:
            # Requests of many ingresses coincide by chance: use half of the budget, and more of it
            # if less of the capacity is warm.
            multiple = max(1.0, multiple * min(1.0, preferred_per_warm / 2))
        earned = multiple * warmup_factor * (self.sent_on_average - endpoint.credit_at)
        endpoint.credit = min(MAX_SLOW_START_CREDIT, endpoint.credit + earned)
        endpoint.credit_at = self.sent_on_average
        in_flight = endpoint.in_flight + endpoint.in_flight_elsewhere
        limit = max(1.0, endpoint.limit * warmup_factor)
        return not self.superseded and endpoint.credit >= 1 and in_flight < limit

    # Selection.

    def pick(
        self,
        now: int,
        cls: int,
        allowed: Callable[[Endpoint], bool],
        asked: it.RequestArrived | None = None,
        again: bool = False,
    ) -> Endpoint | None:
        """Selects the endpoint for a request of this class, and counts the request as in flight.

        Args:
            now: the present time, in us.
            cls: the request's class.
            allowed: whether the request may go to an endpoint.
            asked: the request, for pools that select by its properties.
            again: whether an earlier attempt has reached an endpoint.
        """
        best, best_cost = None, math.inf
        self.update_warm_capacity(now)
        if self.utilization() < 1:
            best, best_cost = self.cheapest(now, cls, allowed, self.preferred)
            too_slow = best_cost > NON_PREFERRED_RATIO * self.average_ratios[cls]
            if too_slow and len(self.preferred) < len(self.ready):
                # Only ingresses that prefer an endpoint have a slow-start budget for it.
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
        """Returns the budget units that must be granted for the last selection."""
        return ()

    def cheapest(
        self, now: int, cls: int, allowed: Callable[[Endpoint], bool], among: list[Endpoint]
    ) -> tuple[Endpoint | None, float]:
        """Returns the endpoint with the lowest expected cost of a sample, and that cost."""
        best, best_cost, zone_priced = None, math.inf, self.settings.cross_zone_price > 0
        sample = self.rng.sample(among, min(CANDIDATES, len(among)))
        reported = {
            b.info.id: b.reported_load for b in sample if now - b.reported_at < LOAD_REPORT_LIFETIME
        }
        mean = sum(reported.values()) / max(1, len(reported)) or 1.0
        for endpoint in sample:
            warmup_factor = max(0.01, self.warmup_factor(endpoint, now))
            in_flight = endpoint.in_flight + endpoint.in_flight_elsewhere
            if in_flight >= max(1.0, endpoint.limit) or not allowed(endpoint):
                continue
            if warmup_factor < 1 and not self.has_credit(endpoint, warmup_factor):
                continue
            ratio = self.current_latency_ratio(endpoint, cls, now)
            report = reported.get(endpoint.info.id, mean) / mean
            load = in_flight / warmup_factor + self.rng.expovariate(1.0) + report
            # The random part of the load makes idle endpoints be selected by weight.
            cost = max(0.0, load - 1) * ratio / max(endpoint.info.weight, 1e-3) + ratio
            # Prefers the own zone among endpoints of equal cost.
            cost *= 1.1 if zone_priced and endpoint.info.zone != self.settings.zone else 1.0
            if cost < best_cost:
                best, best_cost = endpoint, cost
        return best, best_cost

    def current_latency_ratio(self, endpoint: Endpoint, cls: int, now: int) -> float:
        """Returns an endpoint's latency ratio, which decays to the average of all endpoints."""
        memory = RATIO_MEMORY_S
        age = (endpoint.last_outcome_at - now) / SECOND / memory  # negative
        decay = math.exp(age / min(4.0, 1 + 1 / self.initial_limit))
        average = self.average_ratios[cls]
        return average + (endpoint.latency_ratios[cls] - average) * decay

    # Outcomes.

    def record_outcome(
        self, backend: Endpoint, now: int, cls: int, outcome: Outcome, latency: int
    ) -> None:
        """Updates the averages, the endpoint's latency ratio and its limit from an outcome."""
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
            # Overloaded, or draining before the endpoint list says so: the endpoint looks idle, but
            # accepts nothing.
            backend.latency_ratios = [
                self.current_latency_ratio(backend, number, now) * 0.5 + FAILED_RATIO
                for number in range(len(backend.latency_ratios))
            ]
            backend.last_outcome_at = now
        if outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):  # down, for all classes
            backend.latency_ratios = [DOWN_RATIO for _ in backend.latency_ratios]
        self._adjust_limit(backend, now, cls, outcome, latency)

    def _latency_ratio(self, cls: int, outcome: Outcome, latency: int) -> float:
        """Returns an outcome's latency ratio; an answer also updates the average latency."""
        if outcome is not Outcome.OK:
            return FAILED_RATIO
        average = self.average_latencies[cls] or max(1.0, latency)
        self.average_latencies[cls] = average + AVERAGE_LATENCY_GAIN * (
            min(latency, 4 * average) - average
        )
        return min(latency / average, FAILED_RATIO)

    def _adjust_limit(
        self, endpoint: Endpoint, now: int, cls: int, outcome: Outcome, latency: int
    ) -> None:
        """Raises the limit while it is used and latency is well below the target; else lowers it.

        This protects overloaded, slow and thrashing endpoints. An endpoint whose service time alone
        exceeds the target receives too few requests."""
        target = TARGET_LATENCY_SHARE * self.settings.classes[cls].aim
        step = 0.5 * max(-2.0, 1 - latency / target)
        if outcome in (Outcome.TIMEOUT, Outcome.FULL):
            step = -1.0
        is_busy = endpoint.in_flight + 1 >= BUSY_SHARE * endpoint.limit * self.warmup_factor(
            endpoint, now
        )
        if step < 0 or (outcome is Outcome.OK and is_busy):
            endpoint.limit = max(min(1.0, self.initial_limit / 4), endpoint.limit + step)
            if self.utilization() > 0.5 or step < 0:
                self.extra_capacity = max(0.0, self.extra_capacity + step)
