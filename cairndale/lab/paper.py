"""The paper's own experiment: returning clients, a token bucket filter, one that rejects, the
Abacus Filter.

From "Re-synchronization and Controllability of Bursty Service Requests", sections 3 to 6: one
filter in front of one server; clients whose request is dropped come again after 3, 6, 12 and 24 s
and give up after 75 s; new requests come by a multifractal wavelet model (mean 100 a second, Hurst
parameter 0.8, ten scales). The predictive greedy filter is left out: its heuristic needs the
analytic model."""

from __future__ import annotations

import heapq
import itertools
import math
import os
from collections import deque
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from typing import TYPE_CHECKING

import numpy as np

from cairndale.lab.draw import stream
from cairndale.lab.experiment import interval

if TYPE_CHECKING:
    from numpy.typing import NDArray

RETRIES = (3.0, 6.0, 12.0, 24.0)  # s before each retransmission (table 1, Linux; section 3.1)
# s until a client's connection times out (section 6.1: "equal to the timeout delay cost")
GIVES_UP = 75.0
# s either way: of the first time-out, and of the network (equations 1, 2)
FIRST_JITTER, JITTER = (0.05, 0.005)
MEAN, HURST, SCALES, LENGTH = 100.0, 0.8, 10, 600  # section 6
RATE, BURST, SLOT, WINDOW = 120.0, 120.0, 1.0, 50.0  # r_t, W, T0, S; section 6.1
REJECT_COST, DELAY_COST = 75.0, 1.0  # r, h; section 6.1
# of arrivals a second where it is not studied: the paper does not tell it; at this one as many
DEVIATION = 100.0
# clients time out by the bucket as the paper has (5.5%)
AVERAGE = 8.0  # s over which lambda is averaged; the paper leaves it open


def arrivals(seed: int, deviation: float, length: int = LENGTH) -> NDArray[np.float64]:
    """Moments of new requests, s: counts a second by the multifractal wavelet model (Riedi et al.,
    as the paper uses it) with beta multipliers, spread evenly within each second. `deviation`: of
    the counts."""
    rng = stream(seed, "paper.arrivals")
    ratio = 2 ** (2 * HURST - 1)

    def multipliers(first: float) -> list[float]:
        """Second moments of the multipliers, scale by scale, for a wavelet energy that decays by
        `ratio`."""
        found = [first]
        for _ in range(SCALES - 1):
            before = found[-1]
            found.append(min(0.999, 2 * before / (ratio * (1 + before))))
        return found

    wanted = (deviation / MEAN) ** 2
    low, high = 1e-9, 0.999
    for _ in range(80):  # the first moment that gives the deviation
        middle = (low + high) / 2
        spread = math.prod(1 + m for m in multipliers(middle)) - 1
        low, high = (middle, high) if spread < wanted else (low, middle)
    level = np.array([MEAN * 2.0**SCALES])
    for moment in multipliers((low + high) / 2):
        # of a symmetric beta distribution on [-1, 1] with that second moment
        shape = (1 / moment - 1) / 2
        part = (1 + 2 * rng.beta(shape, shape, size=len(level)) - 1) / 2
        level = np.column_stack((level * part, level * (1 - part))).ravel()
    counts = rng.poisson(level[:length])
    moments = np.repeat(np.arange(length), counts) + rng.random(int(counts.sum()))
    return np.sort(moments)


ACCEPT, DROP, REJECT = range(3)


class Bucket:
    """The token bucket filter: what finds no token is dropped, or rejected."""

    def __init__(self, rate: float, burst: float, rejects: bool = False) -> None:
        self.rate, self.burst, self.level, self.at, self.rejects = rate, burst, burst, 0.0, rejects

    def take(self, now: float) -> bool:
        self.level = min(self.burst, self.level + self.rate * (now - self.at))
        self.at = now
        if self.level < 1:
            return False
        self.level -= 1
        return True

    def decide(self, now: float) -> int:
        return ACCEPT if self.take(now) else REJECT if self.rejects else DROP


class Abacus(Bucket):
    """Figure 7: a ring of future slots lends a token to each request that is dropped, or it is
    rejected."""

    def __init__(self, rate: float, burst: float, window: float = WINDOW) -> None:
        super().__init__(rate, burst)
        self.slots = int(max(window, RETRIES[0]) / SLOT) + 1
        self.ring: deque[list[float]] = deque([rate * SLOT, 0.0] for _ in range(self.slots))
        self.window, self.slot, self.seen, self.usual = window, 0, 0, 0.0

    def decide(self, now: float) -> int:
        # a period ends: W_a = max(0, (r_t - lambda) T0) for the new slot
        while self.slot < int(now / SLOT):
            self.slot += 1
            fade = math.exp(-SLOT / AVERAGE)
            self.usual = (
                self.usual * fade + self.seen / SLOT * (1 - fade)
                if self.slot > 1
                else float(self.seen)
            )
            self.seen = 0
            self.ring.popleft()
            self.ring.append([max(0.0, (self.rate - self.usual) * SLOT), 0.0])
        self.seen += 1
        if self.take(now):
            return ACCEPT
        if self.ring[0][1] > 0:
            self.ring[0][1] -= 1
            return DROP
        ahead = 0.0
        passed: list[list[float]] = []
        for wait in RETRIES:
            ahead += wait
            if ahead > self.window:
                break
            place = self.ring[min(self.slots - 1, int(ahead / SLOT))]
            if place[0] > 0:
                place[0] -= 1
                for between in passed:
                    between[1] += 1
                return DROP
            passed.append(place)
        return REJECT


@dataclass(frozen=True, slots=True)
class Came:
    """What came of a run: shares of the new requests, s, and cost."""

    throughput: float
    delay: float
    cost: float
    timed_out: float
    rejected: float
    tries: float


def run(
    decide: Callable[[float], int], new: NDArray[np.float64], seed: int, reject_cost: float
) -> Came:
    rng = stream(seed, "paper.jitter")
    jitter = rng.uniform(-1, 1, size=(len(new), len(RETRIES), 2))
    heap: list[tuple[float, int, int]] = []
    served = rejected = timed_out = tries = 0
    delay = 0.0
    first, count = 0, len(new)
    while first < count or heap:
        if first < count and (not heap or new[first] <= heap[0][0]):
            now, who, number = float(new[first]), first, 0
            first += 1
        else:
            now, who, number = heapq.heappop(heap)
        tries += 1
        what = decide(now)
        if what == ACCEPT:
            served += 1
            delay += now - new[who]
        elif what == REJECT:
            rejected += 1
            delay += now - new[who]
        elif number < len(RETRIES):
            own, way = jitter[who, number]
            wait = RETRIES[number] + (own * FIRST_JITTER if number == 0 else 0.0) + way * JITTER
            heapq.heappush(heap, (now + wait, who, number + 1))
        else:
            timed_out += 1
            delay += GIVES_UP
    total = max(1, count)
    cost = DELAY_COST * delay + reject_cost * (rejected + timed_out)
    shares = (served / total, delay / total, cost / total, timed_out / total, rejected / total)
    return Came(*shares, tries / total)


FILTERS = ("bucket", "rejecting", "abacus")


@dataclass(frozen=True, slots=True)
class Point:
    """One setting of an experiment."""

    study: str
    value: float
    deviation: float = DEVIATION
    burst: float = BURST
    window: float = WINDOW
    reject_cost: float = REJECT_COST


def points() -> Iterator[Point]:
    for deviation in (20.0, 40.0, 60.0, 80.0, 100.0, 120.0, 150.0):
        yield Point("burstiness (deviation of arrivals)", deviation, deviation=deviation)
    for burst in (8.0, 16.0, 32.0, 64.0, 128.0, 256.0, 512.0):
        yield Point("bucket size W", burst, burst=burst)
    for window in (2.0, 4.0, 8.0, 10.0, 20.0, 22.0, 44.0, 46.0, 60.0, 75.0):
        yield Point("window S", window, window=window)
    for cost in (0.0, 5.0, 10.0, 25.0, 75.0, 200.0, 500.0, 2000.0):
        ends = [sum(RETRIES[: n + 1]) for n in range(len(RETRIES))]
        window = max((t for t in ends if t <= cost / DELAY_COST), default=0.0)  # S = max T_i <= r/h
        yield Point("reject cost r", cost, window=window, reject_cost=cost)


def _measured(task: tuple[Point, str, int]) -> Came:
    point, name, seed = task
    new = arrivals(seed, point.deviation)
    made = (
        Abacus(RATE, point.burst, point.window)
        if name == "abacus"
        else Bucket(RATE, point.burst, name == "rejecting")
    )
    return run(made.decide, new, seed, point.reject_cost)


@dataclass(frozen=True, slots=True)
class Row:
    point: Point
    filter: str
    mean: Came
    cost_low: float  # 95% bootstrap interval of the cost
    cost_high: float


def study(seeds: int, jobs: int) -> list[Row]:
    """All points, filters and seeds, on `jobs` processes."""
    tasks = [(p, f, s) for p in points() for f in FILTERS for s in range(seeds)]
    with ProcessPoolExecutor(max_workers=max(1, min(jobs, os.cpu_count() or 1))) as pool:
        came = list(pool.map(_measured, tasks, chunksize=4))
    rows = []
    for n in range(0, len(tasks), seeds):
        point, name, _ = tasks[n]
        some = came[n : n + seeds]
        mean = Came(*(float(np.mean([getattr(c, k) for c in some])) for k in Came.__slots__))
        _, low, high = interval([c.cost for c in some], f"paper.{point.study}.{point.value}.{name}")
        rows.append(Row(point, name, mean, low, high))
    return rows


def returning_burst(seed: int, spread: float, count: int = 100) -> list[float]:
    """Figure 4: a burst of `count` requests over `spread` s, all dropped. For the burst and each of
    its first three returns the time within which nine in ten arrive, s."""
    rng = stream(seed, f"paper.burst.{spread}")
    at, widths = rng.uniform(0, spread, count), []
    for number in range(4):
        widths.append(float(np.percentile(at, 95) - np.percentile(at, 5)))
        own = rng.uniform(-FIRST_JITTER, FIRST_JITTER, count) if number == 0 else 0.0
        at = at + RETRIES[number] + own + rng.uniform(-JITTER, JITTER, count)
    return widths


def claims(rows: list[Row]) -> list[tuple[str, bool, str]]:
    """The paper's findings, whether they come out here, and by which figures."""

    def of(name: str, start: str) -> list[Row]:
        return [r for r in rows if r.filter == name and r.point.study.startswith(start)]

    def ratio(a: float, b: float) -> float:
        return a / b if b else math.inf

    plain, firm, abacus = (of(f, "burst") for f in FILTERS)
    found = []
    falls = all(
        a.mean.throughput >= b.mean.throughput - 1e-3
        for r in (plain, firm, abacus)
        for a, b in itertools.pairwise(r)
    )
    found.append(
        (
            "burstier arrivals harm all three (fig. 8)",
            falls,
            ", ".join(
                f"{r[0].filter} {r[0].mean.throughput:.3f} to {r[-1].mean.throughput:.3f}"
                for r in (plain, firm, abacus)
            ),
        )
    )
    middle = [r.point.value for r in plain].index(DEVIATION)
    more = plain[middle].mean.throughput > abacus[middle].mean.throughput
    slower = plain[middle].mean.delay > 1.5 * abacus[middle].mean.delay
    found.append(
        (
            "the bucket serves more, at a much longer delay (fig. 8)",
            more and slower,
            f"served {plain[middle].mean.throughput:.3f} beside "
            f"{abacus[middle].mean.throughput:.3f}, "
            f"delay {plain[middle].mean.delay:.2f} beside {abacus[middle].mean.delay:.2f} s",
        )
    )
    less = 1 - ratio(firm[middle].mean.throughput, abacus[middle].mean.throughput)
    dearer = ratio(firm[middle].mean.cost, abacus[middle].mean.cost) - 1
    found.append(
        (
            "rejecting serves some 5% less than the Abacus Filter, at some 15% more cost (6.1)",
            0.01 < less < 0.10 and 0.05 < dearer < 0.40,
            f"{less:.1%} less, {dearer:.0%} dearer",
        )
    )
    sizes = of("abacus", "bucket size")
    steps = [a.mean.cost - b.mean.cost for a, b in itertools.pairwise(sizes)]
    found.append(
        (
            "each doubling of W lowers the cost by about as much (fig. 9)",
            min(steps) > 0 and max(steps) < 4 * min(steps),
            "cost falls by " + ", ".join(f"{s:.2f}" for s in steps),
        )
    )
    windows = {r.point.value: r.mean.cost for r in of("abacus", "window")}
    jumps = [windows[a] - windows[b] for a, b in ((2.0, 4.0), (8.0, 10.0), (20.0, 22.0))]
    flat = [abs(windows[a] - windows[b]) for a, b in ((4.0, 8.0), (10.0, 20.0), (22.0, 44.0))]
    found.append(
        (
            "cost over S moves in steps at the retransmissions' times (fig. 10, O1)",
            max(flat) < min(abs(j) for j in jumps),
            "at 3, 9, 21 s: "
            + ", ".join(f"{j:+.3f}" for j in jumps)
            + "; between: "
            + ", ".join(f"{f:.3f}" for f in flat),
        )
    )
    best = min(windows, key=lambda s: windows[s])
    found.append(
        (
            "the largest S within r/h is the best (fig. 10, O2)",
            best >= 45.0,
            f"lowest cost at S = {best:g} s",
        )
    )
    costs = [of(f, "reject cost") for f in FILTERS]
    timeouts = [
        float(np.mean([r.mean.timed_out for r in c if r.point.value <= 500])) for c in costs
    ]
    found.append(
        (
            "time-outs: some by the bucket, hardly any by the Abacus Filter, none by "
            "rejecting (6.2)",
            timeouts[0] > 10 * timeouts[2] and timeouts[1] == 0.0 and timeouts[2] < 0.005,
            ", ".join(f"{f} {t:.2%}" for f, t in zip(FILTERS, timeouts, strict=True)),
        )
    )
    dear = [c[-1].mean.cost for c in costs]
    found.append(
        (
            "where rejecting is very dear the plain bucket costs least (fig. 11)",
            dear[0] <= min(dear),
            ", ".join(f"{f} {d:.1f}" for f, d in zip(FILTERS, dear, strict=True))
            + f" at r = {costs[0][-1].point.value:g}",
        )
    )
    burst = [returning_burst(1, s) for s in (0.1, 0.2, 1.0)]
    spread = max(b[1] - b[0] for b in burst)
    found.append(
        (
            "a dropped burst comes back as a burst: it spreads by 0.22 s at the most (R1)",
            spread <= 0.22,
            "; ".join(
                "nine in ten within " + ", ".join(f"{w:.2f}" for w in b) + " s" for b in burst
            ),
        )
    )
    return found


def markdown(rows: list[Row], seeds: int) -> str:
    lines = [
        f"# The paper's experiment, {seeds} seeds a point",
        "",
        "| finding | here | figures |",
        "| --- | --- | --- |",
    ]
    lines += [
        f"| {c} | {'comes out' if good else '**does not**'} | {why} |"
        for c, good, why in claims(rows)
    ]
    head = "| value | filter | served | delay, s | cost | 95% | timed out | rejected | tries |"
    for name in dict.fromkeys(r.point.study for r in rows):
        lines += ["", f"## {name}", "", head, "|" + " --- |" * 9]
        for r in (r for r in rows if r.point.study == name):
            m = r.mean
            lines.append(
                f"| {r.point.value:g} | {r.filter} | {m.throughput:.3f} | {m.delay:.2f} | "
                f"{m.cost:.2f} | "
                f"{r.cost_low:.2f} to {r.cost_high:.2f} | {m.timed_out:.2%} | {m.rejected:.2%} | "
                f"{m.tries:.2f} |"
            )
    return "\n".join(lines) + "\n"
