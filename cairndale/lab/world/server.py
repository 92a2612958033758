"""Model of a backend server: evenly shared cores, a queue, a cold start and connections.

The model follows the bench page (BENCH, 'The world'); parameters that the page leaves open are
described as `guess` in lab/scenario.py. Work is measured in microseconds of one core at speed 1.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from cairndale.lab.draw import ServerKind

WARMUP_STEP_US = 20_000  # interval at which growing capacity is re-evaluated
FAST_FAILURE_US = 1000  # duration of an error response that does no work


class Verdict(Enum):
    """How a request ended at the server."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"  # rejected without executing: queue full, draining, or past its deadline
    DOWN = "down"  # the connection is closed


@dataclass(slots=True)
class Job:
    """A completely received request. After `deadline` no client waits for the answer."""

    key: object
    work: float
    deadline: int
    draw: float = 1.0  # in [0, 1): decides whether it fails
    arrived_at: int = 0
    target: float = 0.0  # value of the server's `_service` at which the job is complete
    state: str = "new"  # waiting, working, failing, over
    abandoned: bool = False  # the ingress no longer waits for the answer


Finished = tuple[Job, Verdict]


@dataclass(slots=True)
class Server:
    """One backend server; see the module docstring."""

    kind: ServerKind
    started: int  # us; negative: long ago, hence warm
    alive: bool = True
    draining: bool = False
    failed_overloaded: bool = False
    slowdown: float = 0.0  # share of the speed that is lost
    failure_share: float = 0.0  # share of requests that fail fast
    connections: int = 0
    served: int = 0  # since its start
    work_done: float = 0.0  # total work done, us
    capacity_used: float = 0.0  # total capacity used, us: work and connection handshakes
    _now: int = 0
    _service: float = (
        0.0  # cumulative work per running request; a job ends when it reaches its `target`
    )
    _running: list[tuple[float, int, Job]] = field(default_factory=list)
    _running_count: int = 0
    _waiting: deque[Job] = field(default_factory=deque)
    _queued_count: int = 0
    _failing: list[tuple[int, int, Job]] = field(default_factory=list)
    _sequence: int = 0
    _handshake_work: float = 0.0  # outstanding handshake work
    # While cold: (time, work offered), and (time, capacity available), within `overload_us`.
    _offered_log: deque[tuple[int, float]] = field(default_factory=deque)
    _offered_work: float = 0.0
    _capacity_log: deque[tuple[int, float]] = field(default_factory=deque)
    _capacity_total: float = 0.0

    # Capacity.

    def warmth(self, now: int) -> float:
        """Share of full capacity: rises linearly with time or with requests served, whichever is
        faster."""
        if self.started < 0:
            return 1.0
        kind = self.kind
        progress = max(
            (now - self.started) / kind.cold_us, self.served / max(1.0, kind.warm_requests)
        )
        return min(1.0, kind.cold_from + (1 - kind.cold_from) * max(0.0, progress))

    def request_count(self) -> int:
        return self._running_count + self._queued_count

    def running_count(self) -> int:
        return self._running_count

    def queued_count(self) -> int:
        return self._queued_count

    def capacity(self, now: int) -> float:
        """Total work per microsecond, in cores."""
        kind = self.kind
        excess = max(0.0, self.request_count() / kind.cores - kind.thrash_at) / max(
            1.0, kind.thrash_at
        )
        connection_factor = 1 - kind.full_tax * min(1.0, self.connections / kind.cap)
        return (
            kind.cores
            * kind.speed
            * (1 - self.slowdown)
            * connection_factor
            * self.warmth(now)
            / (1 + kind.thrash * excess)
        )

    def _rate_per_request(self, now: int) -> float:
        """Work per microsecond for each running request: at most one core."""
        total = self.capacity(now)
        return min(total / self.kind.cores, total / max(1, self._running_count))

    # Events.

    def advance(self, now: int) -> list[Finished]:
        """Advance to `now` and return the jobs that finished, in order.

        Capacity is taken as constant between calls, so call no later than `next_event_at`."""
        finished: list[Finished] = []
        while self._now < now and self.alive:
            step = min(now, self.next_event_at() or now)
            self._run_until(max(step, self._now))
            finished += self._collect_finished()
            if step >= now:
                break
        self._now = max(self._now, now)
        return finished

    def _run_until(self, to: int) -> None:
        elapsed, rate = to - self._now, self._rate_per_request(self._now)
        handshakes_done = min(self._handshake_work, elapsed * self.capacity(self._now))
        self._handshake_work -= handshakes_done
        service = rate * max(0.0, elapsed - handshakes_done / max(1e-9, self.capacity(self._now)))
        if self._running_count:
            self._service += service
            self.work_done += service * self._running_count
        self.capacity_used += handshakes_done + service * self._running_count
        if self.warmth(to) < 1:
            self._capacity_log.append((to, elapsed * self.capacity(self._now)))
            self._capacity_total += self._capacity_log[-1][1]
        self._now = to

    def _collect_finished(self) -> list[Finished]:
        finished: list[Finished] = []
        while self._failing and self._failing[0][0] <= self._now:
            job = heapq.heappop(self._failing)[2]
            if job.state == "failing":
                job.state = "over"
                finished.append((job, Verdict.ERROR))
        while self._running and self._running[0][0] <= self._service + 1e-6:
            job = heapq.heappop(self._running)[2]
            if job.state != "working":
                continue
            job.state = "over"
            self._running_count -= 1
            self.served += 1
            finished.append((job, Verdict.ERROR if job.draw < self.kind.error_rate else Verdict.OK))
        finished += self._start_queued()
        return finished

    def _start_queued(self) -> list[Finished]:
        finished: list[Finished] = []
        while self._waiting and self._running_count < self.kind.slots:
            job = self._waiting.popleft()
            if job.state != "waiting":
                continue
            self._queued_count -= 1
            if self.kind.drops_expired and self._now >= job.deadline:
                job.state = "over"
                finished.append((job, Verdict.FULL))
                continue
            self._start_job(job)
        return finished

    def _start_job(self, job: Job) -> None:
        self._sequence += 1
        job.state, job.target = "working", self._service + job.work
        self._running_count += 1
        heapq.heappush(self._running, (job.target, self._sequence, job))

    def next_event_at(self) -> int:
        """When to call `advance` next; 0: there is no pending work."""
        if not self.alive:
            return 0
        times = [self._failing[0][0]] if self._failing else []
        while self._running and self._running[0][2].state != "working":
            heapq.heappop(self._running)
        if self._running:
            wait = (self._running[0][0] - self._service) / max(
                1e-9, self._rate_per_request(self._now)
            )
            wait += self._handshake_work / max(1e-9, self.capacity(self._now))
            times.append(self._now + max(1, int(wait) + 1))
            if self.warmth(self._now) < 1:
                times.append(self._now + WARMUP_STEP_US)
        return min(times, default=0)

    def offer(self, now: int, job: Job) -> tuple[Verdict | None, list[Finished]]:
        """Offer a completely received request. Return a verdict if it is rejected at once, or None
        if it will finish later; and the jobs finished by now."""
        finished = self.advance(now)
        if not self.alive:
            return Verdict.DOWN, finished
        job.arrived_at = now
        if self.draining or (self.kind.drops_expired and now >= job.deadline):
            return Verdict.FULL, finished
        if job.draw < self.failure_share:
            self._sequence += 1
            job.state = "failing"
            heapq.heappush(self._failing, (now + FAST_FAILURE_US, self._sequence, job))
            return None, finished
        if self.offer_overloads(now, job.work):
            finished += self.fail_overloaded(now)
            return Verdict.DOWN, finished
        if self._running_count < self.kind.slots:
            self._start_job(job)
        elif self._queued_count < self.kind.queue:
            job.state = "waiting"
            self._queued_count += 1
            self._waiting.append(job)
        else:
            return Verdict.FULL, finished
        return None, finished

    overload_multiple: float = 3.0
    overload_us: int = 3_000_000

    def offer_overloads(self, now: int, work: float) -> bool:
        """Count the offered work of a cold server. Return whether over the last `overload_us` it
        exceeds `overload_multiple` times the capacity."""
        if self.warmth(now) >= 1:
            self._offered_log.clear()
            self._capacity_log.clear()
            self._offered_work = self._capacity_total = 0.0
            return False
        self._offered_log.append((now, work))
        self._offered_work += work
        while self._offered_log and self._offered_log[0][0] <= now - self.overload_us:
            self._offered_work -= self._offered_log.popleft()[1]
        if self._capacity_log and self._capacity_log[-1][0] < now:
            self._capacity_log.append((now, (now - self._capacity_log[-1][0]) * self.capacity(now)))
            self._capacity_total += self._capacity_log[-1][1]
        while self._capacity_log and self._capacity_log[0][0] <= now - self.overload_us:
            self._capacity_total -= self._capacity_log.popleft()[1]
        observed_long_enough = now - self.started >= self.overload_us
        return observed_long_enough and self._offered_work > self.overload_multiple * max(
            1.0, self._capacity_total
        )

    def fail_overloaded(self, now: int) -> list[Finished]:
        self.failed_overloaded = True
        return self.terminate(now)

    def cancel(self, now: int, job: Job) -> tuple[bool, list[Finished]]:
        """Abandon a job. Return whether that stops it: running jobs go on; queued jobs are removed
        if the kind of server does so (`cancel_queued`)."""
        finished = self.advance(now)
        job.abandoned = True
        if job.state == "waiting" and self.kind.cancel_queued:
            job.state = "over"
            self._queued_count -= 1
            return True, finished
        return False, finished

    def terminate(self, now: int) -> list[Finished]:
        """End the process: all jobs and connections end."""
        finished = self.advance(now)
        unfinished = [job for _, _, job in self._running if job.state == "working"]
        unfinished += [job for job in self._waiting if job.state == "waiting"]
        unfinished += [job for _, _, job in self._failing if job.state == "failing"]
        for job in unfinished:
            job.state = "over"
        self._running, self._waiting, self._failing = [], deque(), []
        self._running_count = self._queued_count = self.connections = 0
        self.alive, self._handshake_work = False, 0.0
        return finished + [(job, Verdict.DOWN) for job in unfinished]

    def start(self, now: int) -> None:
        """Start a new, cold process."""
        self._now, self.started, self.alive, self.failed_overloaded, self.draining = (
            now,
            now,
            True,
            False,
            False,
        )
        (
            self.served,
            self.connections,
            self._handshake_work,
            self._offered_work,
            self._capacity_total,
        ) = 0, 0, 0.0, 0.0, 0.0
        self._offered_log.clear()
        self._capacity_log.clear()

    def open(self, now: int) -> tuple[bool, list[Finished]]:
        """Open a connection; False if the connection table is full or the server is down."""
        finished = self.advance(now)
        if not self.alive or self.connections >= self.kind.cap:
            return False, finished
        self.connections += 1
        self._handshake_work += self.kind.handshake_us
        return True, finished

    def close(self) -> None:
        self.connections = max(0, self.connections - 1)
