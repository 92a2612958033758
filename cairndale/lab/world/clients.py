"""Model of the clients: members, their load, their choice of ingress, and their retries.

Arrivals are an open-loop load: they are drawn in advance, block by block, and never wait for
answers.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Iterator
from dataclasses import dataclass

import numpy as np

from cairndale.lab.draw import SECOND, Day

# Arrivals are drawn for this period at a time, which bounds the memory of a long run.
BLOCK_US = SECOND
# Uniform random numbers drawn for each request; they are the same in all variants of a run. The
# constants below are the index of the first draw of each use: INGRESS_DRAW and SWITCH_DRAW have a
# draw for each of 4 attempts of the client, ATTEMPT_DRAW for each of 6 attempts of the ingress.
DRAW_COUNT = 18
INGRESS_DRAW, SWITCH_DRAW, HONOURS_DRAW, IMPATIENT_DRAW, BYTES_DRAW, LARGE_DRAW, ATTEMPT_DRAW = (
    0,
    4,
    8,
    9,
    10,
    11,
    12,
)
HEAVY_PERIOD_S = (8.0, 20.0)  # range of a heavy member's high-load and idle periods; guess


@dataclass(frozen=True, slots=True)
class Member:
    """A customer that sends requests through `spread` ingresses, beginning with `first`."""

    customer: int  # below 2^33
    plan: int
    first: int
    spread: int
    base_rate: float  # requests per second outside the peak periods
    peak_rate: float  # requests per second during the peak periods
    peak_periods: tuple[tuple[int, int], ...]  # (start, end) in us


@dataclass(frozen=True, slots=True)
class Arrival:
    """A new request, due at `due`, with its random draws."""

    due: int
    customer: int
    plan: int
    first: int
    spread: int
    cls: int
    work: float  # us of one core at speed 1
    draws: tuple[float, ...]


class Clients:
    """The members of one run, their arrivals, and their choices of ingress and retry."""

    def __init__(self, day: Day) -> None:
        self.day, traffic = day, day.traffic
        self.ingress_count = len(day.gateway_zones)
        self.members = self._members()
        self.baseline_rate = sum(m.base_rate for m in self.members)  # requests per second
        self.max_retries = int(day.clients["retries"])
        self.switch_share = traffic["elsewhere"]
        self._ingress_orders: dict[tuple[int, int], list[int]] = {}
        max_spread = max((m.spread for m in self.members), default=1)
        ranks = {
            size: np.cumsum(np.arange(1, size + 1) ** -traffic["skew"])
            for size in range(1, max_spread + 1)
        }
        self._ranks = {size: (weights / weights[-1]).tolist() for size, weights in ranks.items()}
        self._shift = max(1, int(traffic["shift_s"] * SECOND))

    # Members.

    def _members(self) -> list[Member]:
        day, traffic = self.day, self.day.traffic
        members: list[Member] = []
        for number, plan in enumerate(day.plans):
            rng = day.stream(f"members.{number}")
            target_rate = traffic["load"] * day.capacity() * plan.share
            rate_within_quota = 0.0
            while rate_within_quota < target_rate or not members or members[-1].plan != number:
                kind_draw, calm_rate = rng.random(), traffic["calm_use"] * plan.rate
                spread = self._spread(plan.spread, plan.ceiling_burst)
                customer, first = int(rng.integers(1 << 33)), int(rng.integers(self.ingress_count))
                base_rate, peak_rate, within_quota = calm_rate, 0.0, calm_rate
                peak_periods: tuple[tuple[int, int], ...] = ()
                if kind_draw < traffic["full"]:
                    base_rate = within_quota = 0.95 * plan.rate
                elif kind_draw < traffic["full"] + traffic["heavy"]:
                    peak_rate, peak_periods = (
                        traffic["heavy_x"] * plan.rate,
                        self._draw_periods(rng, *HEAVY_PERIOD_S, *HEAVY_PERIOD_S),
                    )
                    within_quota = self._rate_within_quota(calm_rate, plan.rate, peak_periods)
                elif kind_draw < traffic["full"] + traffic["heavy"] + traffic["spiky"]:
                    length, every = traffic["spike_s"], traffic["spike_every_s"]
                    peak_rate = traffic["spike_x"] * plan.rate
                    peak_periods = self._draw_periods(rng, length, length, 0.7 * every, 1.3 * every)
                    within_quota = self._rate_within_quota(calm_rate, plan.rate, peak_periods)
                if (
                    rate_within_quota + within_quota / 2 > target_rate
                    and members
                    and members[-1].plan == number
                ):
                    break
                members.append(
                    Member(customer, number, first, spread, base_rate, peak_rate, peak_periods)
                )
                rate_within_quota += within_quota
        return members

    def _rate_within_quota(
        self, calm_rate: float, rate: float, peak_periods: tuple[tuple[int, int], ...]
    ) -> float:
        """Approximate share of a member's load that is within its quota, in requests per second:
        its quota rate during peaks."""
        peak_share = sum(end - start for start, end in peak_periods) / max(1, self.day.length)
        return calm_rate * (1 - peak_share) + rate * peak_share

    def _spread(self, share: float, ceiling: float) -> int:
        max_spread = max(2, int(ceiling / 2)) if ceiling else self.ingress_count
        return min(self.ingress_count, max_spread, max(2, round(share * self.ingress_count)))

    def _draw_periods(
        self,
        rng: np.random.Generator,
        min_on_s: float,
        max_on_s: float,
        min_off_s: float,
        max_off_s: float,
    ) -> tuple[tuple[int, int], ...]:
        periods, start_s = [], float(rng.uniform(0, max_off_s))
        while start_s * SECOND < self.day.length:
            end_s = start_s + float(rng.uniform(min_on_s, max_on_s))
            periods.append((int(start_s * SECOND), min(self.day.length, int(end_s * SECOND))))
            start_s = end_s + float(rng.uniform(min_off_s, max_off_s))
        return tuple(periods)

    # Arrivals.

    def arrivals(self) -> Iterator[Arrival]:
        """All arrivals, ordered by `due`. Baseline and faults draw from separate random streams."""
        baseline_rng = self.day.stream("arrivals")
        fault_rngs = {
            n: self.day.stream(f"trouble.{n}.arrivals")
            for n in range(len(self.day.scenario.trouble))
        }
        member_indices = np.arange(len(self.members))
        base_rate = np.array([m.base_rate for m in self.members])
        swing, period = (
            self.day.traffic["swing"],
            float(self.day.stream("swing").uniform(15, 40)) * SECOND,
        )
        for start in range(0, self.day.length, BLOCK_US):
            end = min(self.day.length, start + BLOCK_US)
            duration_s = (end - start) / SECOND
            rates = base_rate.copy()
            for n, member in enumerate(self.members):
                for peak_start, peak_end in member.peak_periods:
                    if peak_start < end and peak_end > start:
                        overlap_share = (min(peak_end, end) - max(peak_start, start)) / (
                            end - start
                        )
                        rates[n] = (
                            member.base_rate * (1 - overlap_share)
                            + member.peak_rate * overlap_share
                        )
            rates *= 1 + swing * np.sin(2 * np.pi * (start + end) / 2 / period)
            arrivals_in_block = self._draw_arrivals(
                baseline_rng, start, end, member_indices, rates * duration_s
            )
            for number, fault in enumerate(self.day.scenario.trouble):
                begins_at, ends_at = fault.at_s * SECOND, (fault.at_s + fault.len_s) * SECOND
                if (
                    fault.kind not in ("burst", "hot_member", "scan")
                    or begins_at >= end
                    or ends_at <= start
                ):
                    continue
                start_us, end_us = max(start, int(begins_at)), min(end, int(ends_at))
                expected = fault.size * self.baseline_rate * (end_us - start_us) / SECOND
                if fault.kind == "burst":
                    weights = rates / max(1e-9, rates.sum()) * expected
                    arrivals_in_block += self._draw_arrivals(
                        fault_rngs[number], start_us, end_us, member_indices, weights
                    )
                elif fault.kind == "hot_member":
                    hot_members = self.day.stream(f"trouble.{number}").permutation(
                        len(self.members)
                    )[: fault.keys]
                    arrivals_in_block += self._draw_arrivals(
                        fault_rngs[number],
                        start_us,
                        end_us,
                        hot_members,
                        np.full(len(hot_members), expected / len(hot_members)),
                    )
                else:
                    arrivals_in_block += self._scan_arrivals(
                        fault_rngs[number], start_us, end_us, expected
                    )
            arrivals_in_block.sort(key=lambda r: (r.due, r.customer))
            yield from arrivals_in_block

    def _draw_arrivals(
        self,
        rng: np.random.Generator,
        start: int,
        end: int,
        members: np.ndarray,
        expected: np.ndarray,
    ) -> list[Arrival]:
        counts = rng.poisson(expected)
        indices = np.repeat(members, counts).tolist()
        return [
            Arrival(
                due,
                member.customer,
                member.plan,
                member.first,
                member.spread,
                cls,
                work,
                tuple(draws),
            )
            for index, (due, cls, work, draws) in zip(
                indices, self._draw_requests(rng, start, end, len(indices)), strict=True
            )
            for member in (self.members[index],)
        ]

    def _scan_arrivals(
        self, rng: np.random.Generator, start: int, end: int, expected: float
    ) -> list[Arrival]:
        count = int(rng.poisson(expected))
        shares = np.cumsum([plan.share for plan in self.day.plans])
        plans = np.minimum(np.searchsorted(shares, rng.random(count)), len(shares) - 1).tolist()
        customers = rng.integers(1 << 33, size=count).tolist()
        firsts = rng.integers(self.ingress_count, size=count).tolist()
        return [
            Arrival(
                due,
                customer,
                plan,
                first,
                self._spread(self.day.plans[plan].spread, self.day.plans[plan].ceiling_burst),
                cls,
                work,
                tuple(draws),
            )
            for customer, plan, first, (due, cls, work, draws) in zip(
                customers, plans, firsts, self._draw_requests(rng, start, end, count), strict=True
            )
        ]

    def _draw_requests(
        self, rng: np.random.Generator, start: int, end: int, count: int
    ) -> Iterator[tuple[int, int, float, list[float]]]:
        classes = self.day.classes
        due = rng.integers(start, max(start + 1, end), size=count).tolist()
        shares = np.cumsum([c.share for c in classes])
        cls = np.minimum(np.searchsorted(shares, rng.random(count)), len(classes) - 1)
        variance = np.log1p(np.array([c.cv for c in classes]) ** 2)[cls]
        mean = np.array([c.work_us for c in classes])[cls]
        work = mean * np.exp(rng.standard_normal(count) * np.sqrt(variance) - variance / 2)
        draws = rng.random((count, DRAW_COUNT))
        return zip(due, cls.tolist(), work.tolist(), draws.tolist(), strict=True)

    # Choice of ingress, deadlines and retries.

    def choose_ingress(
        self, arrival: Arrival, now: int, attempt: int, down: frozenset[int], previous: int = -1
    ) -> int:
        """The ingress to which the front load balancer sends this attempt; -1 if all ingresses of
        the member are down. `down` holds the ingresses that the front has detected as down."""
        draw = arrival.draws[INGRESS_DRAW + min(attempt, 3)]
        if (
            previous >= 0
            and previous not in down
            and arrival.draws[SWITCH_DRAW + min(attempt, 3)] >= self.switch_share
        ):
            return previous
        order = self._ingress_order(arrival.customer, arrival.spread, now)
        rank = min(arrival.spread - 1, bisect(self._ranks.setdefault(arrival.spread, [1.0]), draw))
        for step in range(arrival.spread):
            ingress_index = (
                arrival.first + order[(rank + step) % arrival.spread]
            ) % self.ingress_count
            if ingress_index not in down:
                return ingress_index
        return -1

    def _ingress_order(self, customer: int, spread: int, now: int) -> list[int]:
        """The member's ingresses by load, busiest first, as offsets from `first`.

        The order changes after every shift period, at a different time for each member."""
        shift_number = (now + customer * 7919 % self._shift) // self._shift
        key = (customer, shift_number)
        if key not in self._ingress_orders:
            if len(self._ingress_orders) > 4 * len(self.members) + 1000:
                self._ingress_orders.clear()
            rng = np.random.Generator(np.random.PCG64([self.day.seed, customer, shift_number]))
            self._ingress_orders[key] = rng.permutation(spread).tolist()
        return self._ingress_orders[key]

    def deadlines(self, arrival: Arrival, now: int) -> tuple[int, int]:
        """Deadline of an attempt that begins now, and of the whole request, us."""
        cls = self.day.classes[arrival.cls]
        end = arrival.due + cls.deadline_us
        return min(end, now + int(self.day.clients["try_share"] * cls.deadline_us)), end

    def quit_after(self, arrival: Arrival) -> int:
        """Time in us after which an impatient client disconnects; 0: it does not."""
        share = self.day.clients["impatient"]
        if arrival.draws[IMPATIENT_DRAW] >= share or not share:
            return 0
        return int(
            self.day.classes[arrival.cls].aim_us
            * (0.1 + 0.9 * arrival.draws[IMPATIENT_DRAW] / share)
        )

    def retry_at(self, arrival: Arrival, now: int, attempts: int, advice: int) -> int:
        """When the client retries after a failure or rejection; 0: never. `advice`: Retry-After in
        us."""
        if attempts > self.max_retries:
            return 0
        wait = int(self.day.clients["backoff_ms"] * 1000) if self.day.waits else 0
        if advice and arrival.draws[HONOURS_DRAW] < self.day.clients["honour"]:
            wait = max(wait, min(advice, int(self.day.clients["max_retry_after_ms"] * 1000)))
        _, end = self.deadlines(arrival, now)
        return max(now + 1, now + wait) if now + wait < end else 0
