"""One profile server: cores shared evenly by what is in work, a waiting room, a cold start,
connections.

BENCH, 'The world', tells what there is; where it gives no form the description in lab/scenario.py
says `guess`. Work is counted in microseconds of one core at speed 1."""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from cairndale.lab.draw import ServerKind

LOOK = 20_000  # us between looks at a capacity that still grows
FAST_FAIL = 1000  # us for an error that does no work


class Verdict(Enum):
    OK = "ok"
    ERROR = "error"
    FULL = "full"  # turned away unseen: room, draining, overdue
    DOWN = "down"  # its connection is gone


@dataclass(slots=True)
class Job:
    """A request that has come whole. `until`: the moment from which nobody waits for it."""

    key: object
    work: float
    until: int
    draw: float = 1.0  # in [0, 1): decides whether it fails
    came: int = 0
    target: float = 0.0  # the per-request service at which it is done
    state: str = "new"  # waiting, working, failing, over
    orphan: bool = False  # nobody waits for it any longer


Done = tuple[Job, Verdict]


@dataclass(slots=True)
class Server:
    kind: ServerKind
    started: int  # us; a negative one: long ago, warm
    alive: bool = True
    draining: bool = False
    fallen: bool = False
    slow: float = 0.0  # share of its speed lost
    failing: float = 0.0  # share of requests that fail fast
    connections: int = 0
    served: int = 0  # since its start
    done: float = 0.0  # work done in all, us
    spent: float = 0.0  # capacity used in all, us: what it did and what connections cost
    _now: int = 0
    _service: float = 0.0  # what each request in work has got since the beginning
    _working: list[tuple[float, int, Job]] = field(default_factory=list)
    _at_work: int = 0
    _waiting: deque[Job] = field(default_factory=deque)
    _queued: int = 0
    _fails: list[tuple[int, int, Job]] = field(default_factory=list)
    _count: int = 0
    _debt: float = 0.0  # work of handshakes still to be done
    # work sent to it while cold, and when
    _heard: deque[tuple[int, float]] = field(default_factory=deque)
    _offered: float = 0.0
    _could: deque[tuple[int, float]] = field(default_factory=deque)  # capacity while cold
    _able: float = 0.0

    # What it can do.

    def warmth(self, now: int) -> float:
        """Share of its capacity: rises evenly with time, or with requests done, if that is
        faster."""
        if self.started < 0:
            return 1.0
        k = self.kind
        grown = max((now - self.started) / k.cold_us, self.served / max(1.0, k.warm_requests))
        return min(1.0, k.cold_from + (1 - k.cold_from) * max(0.0, grown))

    def held(self) -> int:
        return self._at_work + self._queued

    def in_work(self) -> int:
        return self._at_work

    def waiting(self) -> int:
        return self._queued

    def capacity(self, now: int) -> float:
        """Cores' worth of work a microsecond."""
        k = self.kind
        beyond = max(0.0, self.held() / k.cores - k.thrash_at) / max(1.0, k.thrash_at)
        taxed = 1 - k.full_tax * min(1.0, self.connections / k.cap)
        return (
            k.cores * k.speed * (1 - self.slow) * taxed * self.warmth(now) / (1 + k.thrash * beyond)
        )

    def _each(self, now: int) -> float:
        """Service a microsecond for each request in work: one core at the most."""
        total = self.capacity(now)
        return min(total / self.kind.cores, total / max(1, self._at_work))

    # Events.

    def advance(self, now: int) -> list[Done]:
        """All that ended by now, in order. Capacity counts as constant between calls: call by
        `next_at`."""
        over: list[Done] = []
        while self._now < now and self.alive:
            step = min(now, self.next_at() or now)
            self._run(max(step, self._now))
            over += self._ended()
            if step >= now:
                break
        self._now = max(self._now, now)
        return over

    def _run(self, to: int) -> None:
        span, each = to - self._now, self._each(self._now)
        paid = min(self._debt, span * self.capacity(self._now))
        self._debt -= paid
        busy = each * max(0.0, span - paid / max(1e-9, self.capacity(self._now)))
        if self._at_work:
            self._service += busy
            self.done += busy * self._at_work
        self.spent += paid + busy * self._at_work
        if self.warmth(to) < 1:
            self._could.append((to, span * self.capacity(self._now)))
            self._able += self._could[-1][1]
        self._now = to

    def _ended(self) -> list[Done]:
        over: list[Done] = []
        while self._fails and self._fails[0][0] <= self._now:
            job = heapq.heappop(self._fails)[2]
            if job.state == "failing":
                job.state = "over"
                over.append((job, Verdict.ERROR))
        while self._working and self._working[0][0] <= self._service + 1e-6:
            job = heapq.heappop(self._working)[2]
            if job.state != "working":
                continue
            job.state = "over"
            self._at_work -= 1
            self.served += 1
            over.append((job, Verdict.ERROR if job.draw < self.kind.error_rate else Verdict.OK))
        over += self._fill()
        return over

    def _fill(self) -> list[Done]:
        over: list[Done] = []
        while self._waiting and self._at_work < self.kind.slots:
            job = self._waiting.popleft()
            if job.state != "waiting":
                continue
            self._queued -= 1
            if self.kind.drops_expired and self._now >= job.until:
                job.state = "over"
                over.append((job, Verdict.FULL))
                continue
            self._begin(job)
        return over

    def _begin(self, job: Job) -> None:
        self._count += 1
        job.state, job.target = "working", self._service + job.work
        self._at_work += 1
        heapq.heappush(self._working, (job.target, self._count, job))

    def next_at(self) -> int:
        """When to call `advance` next; 0: nothing is under way."""
        if not self.alive:
            return 0
        times = [self._fails[0][0]] if self._fails else []
        while self._working and self._working[0][2].state != "working":
            heapq.heappop(self._working)
        if self._working:
            wait = (self._working[0][0] - self._service) / max(1e-9, self._each(self._now))
            wait += self._debt / max(1e-9, self.capacity(self._now))
            times.append(self._now + max(1, int(wait) + 1))
            if self.warmth(self._now) < 1:
                times.append(self._now + LOOK)
        return min(times, default=0)

    def offer(self, now: int, job: Job) -> tuple[Verdict | None, list[Done]]:
        """A request has come whole: turned away at once with a verdict, or None and later an
        end."""
        over = self.advance(now)
        if not self.alive:
            return Verdict.DOWN, over
        job.came = now
        if self.draining or (self.kind.drops_expired and now >= job.until):
            return Verdict.FULL, over
        if job.draw < self.failing:
            self._count += 1
            job.state = "failing"
            heapq.heappush(self._fails, (now + FAST_FAIL, self._count, job))
            return None, over
        if self.tips(now, job.work):
            over += self.fall(now)
            return Verdict.DOWN, over
        if self._at_work < self.kind.slots:
            self._begin(job)
        elif self._queued < self.kind.queue:
            job.state = "waiting"
            self._queued += 1
            self._waiting.append(job)
        else:
            return Verdict.FULL, over
        return None, over

    fall_multiple: float = 3.0
    fall_us: int = 3_000_000

    def tips(self, now: int, work: float) -> bool:
        """Whether a cold server has been sent more than `fall_multiple` times what it could do, for
        `fall_us`."""
        if self.warmth(now) >= 1:
            self._heard.clear()
            self._could.clear()
            self._offered = self._able = 0.0
            return False
        self._heard.append((now, work))
        self._offered += work
        while self._heard and self._heard[0][0] <= now - self.fall_us:
            self._offered -= self._heard.popleft()[1]
        if self._could and self._could[-1][0] < now:
            self._could.append((now, (now - self._could[-1][0]) * self.capacity(now)))
            self._able += self._could[-1][1]
        while self._could and self._could[0][0] <= now - self.fall_us:
            self._able -= self._could.popleft()[1]
        full_spell = now - self.started >= self.fall_us
        return full_spell and self._offered > self.fall_multiple * max(1.0, self._able)

    def fall(self, now: int) -> list[Done]:
        self.fallen = True
        return self.die(now)

    def cancel(self, now: int, job: Job) -> tuple[bool, list[Done]]:
        """Nobody waits for it: True if that stops it. Running work goes on; waiting work by the
        kind."""
        over = self.advance(now)
        job.orphan = True
        if job.state == "waiting" and self.kind.cancel_queued:
            job.state = "over"
            self._queued -= 1
            return True, over
        return False, over

    def die(self, now: int) -> list[Done]:
        """The process is gone: everything held ends, every connection with it."""
        over = self.advance(now)
        held = [job for _, _, job in self._working if job.state == "working"]
        held += [job for job in self._waiting if job.state == "waiting"]
        held += [job for _, _, job in self._fails if job.state == "failing"]
        for job in held:
            job.state = "over"
        self._working, self._waiting, self._fails = [], deque(), []
        self._at_work = self._queued = self.connections = 0
        self.alive, self._debt = False, 0.0
        return over + [(job, Verdict.DOWN) for job in held]

    def start(self, now: int) -> None:
        """A new process, cold."""
        self._now, self.started, self.alive, self.fallen, self.draining = (
            now,
            now,
            True,
            False,
            False,
        )
        self.served, self.connections, self._debt, self._offered, self._able = 0, 0, 0.0, 0.0, 0.0
        self._heard.clear()
        self._could.clear()

    def open(self, now: int) -> tuple[bool, list[Done]]:
        """A new connection: False if the table is full or nobody is there."""
        over = self.advance(now)
        if not self.alive or self.connections >= self.kind.cap:
            return False, over
        self.connections += 1
        self._debt += self.kind.handshake_us
        return True, over

    def close(self) -> None:
        self.connections = max(0, self.connections - 1)
