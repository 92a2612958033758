"""The choice of a server: warmth, slowness, bounds on what is out. Types: interface.py.

All times are microseconds.
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

FIRST_LIMIT = 16.0  # attempts out at a backend by all gateways to begin with: a few a core
# latency, as a share of the aim, at which a backend counts as full: tails run four times that
TARGET = 0.19
# of the cold budget that is used: requests differ in work, and lists come at different times
COLD_PART = 0.8
FAILED = 4.0  # times the usual latency: what an error or no answer is taken for
WEIGH_EVERY = SECOND // 4  # us between looks at how much of the fleet is warm
MEMORY = 5.0  # s that a backend's slowness is remembered: some tens of answers; longer if few come
# backends looked at for a request: all of a small fleet, of a large one enough to find a good one
LOOK = 16
# times the usual latency of its own backends, from which a gateway of many looks at others
STRAY = 2.5
# multiples of it are evenly spread over a circle, neighbours far apart
GOLDEN = (math.sqrt(5) - 1) / 2
BROKEN = (Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT)


@dataclass(slots=True)
class Backend:
    info: it.ListedBackend
    limit: float = 0.0  # attempts out at once
    # by class: latency over the usual; FAILED if none came
    slow: list[float] = field(default_factory=list)
    out: int = 0
    elsewhere: int = 0  # attempts out from the process that this one takes over from
    seen_at: int = 0  # its last answer, or the lack of one
    credit: float = 0.0  # sends earned by now, and what a backend had got on average then
    credit_at: float = 0.0
    load: float = 0.0  # the last report of how busy it is
    load_at: int = -SECOND


class Fleet:
    def __init__(self, settings: it.Settings, rng: random.Random) -> None:
        self.settings, self.rng = settings, rng
        self.backends: dict[int, Backend] = {}
        self.ready: list[Backend] = []
        # of these, the ones that this gateway keeps to while they serve it well
        self.own: list[Backend] = []
        self.withdrawn: set[int] = set()  # taken out by operators, apart from what is listed
        self.returned: dict[int, int] = {}  # put back by operators: cold as if started then
        self.usual: list[float] = []  # usual latency of an answer, by class
        self.typical: list[float] = []  # what `slow` is on average
        self.out, self.more, self.sends, self.elsewhere = 0, 0.0, 0.0, 0
        self.weighed, self.weighed_at = 0.0, -SECOND
        self.retired = False  # another process has taken over, the cold backends' budgets too
        self.follow(settings)

    def follow(self, settings: it.Settings) -> None:
        """Classes keep their numbers; new ones come behind."""
        self.settings, self.even = settings, FIRST_LIMIT / settings.fleet_size
        self.first = self.even
        self.sort_out()
        new = len(settings.classes) - len(self.usual)
        self.usual, self.typical = self.usual + [0.0] * new, self.typical + [1.0] * new
        for backend in self.backends.values():
            backend.slow += [1.0] * new

    def used(self) -> float:
        """The part out of what may be out at all backends: one at each jams them."""
        fails = min((t for t, u in zip(self.typical, self.usual, strict=True) if u), default=1.0)
        # less if every class fails
        pooled = (1 + self.even * len(self.ready) / 2) / fails + self.more
        room = pooled if self.even < 1 else sum(b.limit for b in self.ready)
        return (self.out + self.elsewhere) / max(1.0, room)

    def listed(self, event: it.BackendsListed) -> None:
        begun = []
        for info in event.backends:
            info = replace(info, started=max(info.started, self.returned.get(info.id, 0)))
            known = self.backends.setdefault(info.id, Backend(info))
            if known.limit == 0 or info.started > known.info.started:
                begun.append(known)
            known.info = info
        whole = event.kind in (ListKind.FULL, ListKind.CACHED)
        named = {info.id for info in event.backends} if whole else self.backends.keys()
        self.backends = {n: b for n, b in self.backends.items() if n in named}
        self.sort_out()
        for backend in begun:
            self.begin(backend)

    def sort_out(self) -> None:
        fit = (b for b in self.backends.values() if b.info.id not in self.withdrawn)
        self.ready, self.weighed_at = (
            [b for b in fit if b.info.state is BackendState.READY],
            -SECOND,
        )
        self.own, self.first = self.ready, self.even
        if self.even < 1 and len(self.ready) > LOOK:
            # Many gateways: an arc of the ring of all, even over them, so that each opens few
            # connections and sees its own often. Harms where an arc is bad as a whole: then others
            # are looked at too.
            ring = sorted(self.ready, key=lambda b: mix(b.info.key or b.info.id))
            start = int(self.settings.me * GOLDEN % 1 * len(ring))
            self.own = (ring + ring)[start : start + LOOK]
            self.first = self.even * len(ring) / LOOK

    def begin(self, backend: Backend) -> None:
        """As new; its sends are earned out of step with the siblings'."""
        backend.limit, backend.slow = self.first, self.typical[:]
        backend.credit, backend.credit_at = max(self.rng.random(), min(1.0, self.first)), self.sends

    def maintained(self, now: int, event: it.MaintenanceChanged) -> None:
        if event.out:
            self.withdrawn.add(event.backend)
        elif event.backend in self.withdrawn:
            self.withdrawn.discard(event.backend)
            self.returned[event.backend] = (
                now  # it was restarted meanwhile, whatever the list knows of that
            )
            if known := self.backends.get(event.backend):
                known.info = replace(known.info, started=now)
                self.begin(known)
        self.sort_out()

    def warmth(self, backend: Backend, now: int) -> float:
        """The part of its capacity it has for sure."""
        safety, started = self.settings.safety, backend.info.started
        grown = (now - started) / max(1, safety.ramp_time) if started > 0 else 1.0
        return min(1.0, safety.cold_share + (1 - safety.cold_share) * max(0.0, grown))

    def slowness(self, backend: Backend, cls: int, now: int) -> float:
        fading = math.exp((backend.seen_at - now) / SECOND / MEMORY / min(4.0, 1 + 1 / self.first))
        return self.typical[cls] + (backend.slow[cls] - self.typical[cls]) * fading

    def weigh(self, now: int) -> None:
        """The capacity of all that are ready, in warm ones."""
        if now - self.weighed_at > WEIGH_EVERY:
            self.weighed_at, self.weighed = now, sum(self.warmth(b, now) for b in self.own)

    def cold_room(self, backend: Backend, warmth: float) -> bool:
        """Slow start: earned by sends to others."""
        times, even = (
            COLD_PART * self.settings.safety.tip_multiple,
            len(self.own) / max(0.01, self.weighed),
        )
        # many gateways' sends fall together by chance: half, and more the less is warm
        if self.even < 1:
            times = max(1.0, times * min(1.0, even / 2))
        earned = times * warmth * (self.sends - backend.credit_at)
        backend.credit, backend.credit_at = min(2.0, backend.credit + earned), self.sends
        out = backend.out + backend.elsewhere
        return not self.retired and backend.credit >= 1 and out < max(1.0, backend.limit * warmth)

    def pick(
        self, now: int, cls: int, allowed: Callable[[Backend], bool],
        asked: it.RequestArrived | None = None, again: bool = False,
    ) -> Backend | None:  # fmt: skip
        """`again`: a backend has seen it before."""
        best, best_cost = None, math.inf
        self.weigh(now)
        if self.used() < 1:
            best, best_cost = self.cheapest(now, cls, allowed, self.own)
            if len(self.own) < len(self.ready) and best_cost > STRAY * self.typical[cls]:
                # the cold budgets are their own's
                warm = [b for b in self.ready if self.warmth(b, now) == 1]
                other, cost = self.cheapest(now, cls, allowed, warm)
                best = other if cost < best_cost else best
        self.sends += 1 / max(1, len(self.own))
        if best:
            best.out, self.out, best.credit = best.out + 1, self.out + 1, best.credit - 1
        return best

    def owes(self) -> tuple[it.Unit, ...]:
        """The shared wholes that the last pick needs a unit of."""
        return ()

    def cheapest(
        self, now: int, cls: int, allowed: Callable[[Backend], bool], among: list[Backend]
    ) -> tuple[Backend | None, float]:
        best, best_cost, far = None, math.inf, self.settings.cross_zone_price > 0
        some = self.rng.sample(among, min(LOOK, len(among)))
        # older reports tell nothing
        fresh = {b.info.id: b.load for b in some if now - b.load_at < SECOND}
        mean = sum(fresh.values()) / max(1, len(fresh)) or 1.0
        for backend in some:
            warmth = max(0.01, self.warmth(backend, now))
            out = backend.out + backend.elsewhere
            full = out >= max(1.0, backend.limit)
            if full or not allowed(backend) or (warmth < 1 and not self.cold_room(backend, warmth)):
                continue
            slow = self.slowness(backend, cls, now)
            load = (
                out / warmth + self.rng.expovariate(1.0) + fresh.get(backend.info.id, mean) / mean
            )
            # idle ones: by weight
            cost = max(0.0, load - 1) * slow / max(backend.info.weight, 1e-3) + slow
            cost *= 1.1 if far and backend.info.zone != self.settings.zone else 1.0  # breaks ties
            if cost < best_cost:
                best, best_cost = backend, cost
        return best, best_cost

    def ended(self, backend: Backend, now: int, cls: int, outcome: Outcome, latency: int) -> None:
        backend.out, self.out = max(0, backend.out - 1), self.out - 1
        usual, took = self.usual[cls] or max(1.0, latency), FAILED
        if outcome is Outcome.OK:
            took = min(latency / usual, FAILED)
            self.usual[cls] = usual + 0.05 * (min(latency, 4 * usual) - usual)
        if outcome in BROKEN or outcome is Outcome.OK:
            backend.slow[cls] = self.slowness(backend, cls, now) * 0.8 + took * 0.2
            self.typical[cls] += 0.05 * (took - self.typical[cls])
            backend.seen_at = now
        # jammed, or draining before the list says so: idle as it looks, no place
        if outcome is Outcome.FULL:
            backend.slow = [
                self.slowness(backend, n, now) * 0.5 + FAILED for n in range(len(backend.slow))
            ]
            backend.seen_at = now
        if outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            backend.slow = [3 * FAILED for _ in backend.slow]  # down, whatever the class
        # The bound follows latency: up while used and answers come well within the aim, else down.
        # Covers overload, slow and thrashing backends; starves one whose own work exceeds the
        # target.
        step = 0.5 * max(-2.0, 1 - latency / (TARGET * self.settings.classes[cls].aim))
        step = -1.0 if outcome in (Outcome.TIMEOUT, Outcome.FULL) else step
        used = backend.out + 1 >= 0.7 * backend.limit * self.warmth(backend, now)
        if step < 0 or (outcome is Outcome.OK and used):
            backend.limit = max(min(1.0, self.first / 4), backend.limit + step)
            self.more = max(0.0, self.more + step) if self.used() > 0.5 or step < 0 else self.more
