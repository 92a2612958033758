"""The host in virtual time: gateways' decisions in process, the world around them, the same record
for a seed.

Ties are broken by the order in which things were planned. Nothing here reads a clock or a hash.
"""

from __future__ import annotations

import heapq
import json
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from cairndale.ingress.policy import interface as it
from cairndale.ingress.policy.interface import Outcome
from cairndale.ingress.wire import settings_from_json
from cairndale.lab import record as rec
from cairndale.lab.draw import SECOND, Day
from cairndale.lab.record import Record
from cairndale.lab.troubles import Step, plan
from cairndale.lab.world import clients as world_clients
from cairndale.lab.world import counter as world_counter
from cairndale.lab.world.clients import Arrival, Clients
from cairndale.lab.world.counter import Counter
from cairndale.lab.world.discovery import Discovery, Entry
from cairndale.lab.world.network import Network
from cairndale.lab.world.server import Job, Server, Verdict

# what the gateways' clock shows at the start; a server's 0 stays "long ago"
EPOCH = 1_700_000_000 * SECOND
ANSWER_MARGIN, LAST_ATTEMPT = 10_000, 15_000  # us: as net/engine.py has them
RESTART = 500_000  # us that a gateway needs to be there again
ACCEPTS_ON = 300_000  # us after SIGTERM that new connections come; protocol: 0.2 to 0.4 s
STATES = {
    "up": it.BackendState.READY,
    "draining": it.BackendState.DRAINING,
    "removed": it.BackendState.GONE,
}
CODES = {"up": rec.UP, "draining": rec.DRAINING, "removed": rec.REMOVED}
SAID = {
    world_counter.Said.OK: Outcome.OK,
    world_counter.Said.BUSY: Outcome.FULL,
    world_counter.Said.DOWN: Outcome.CONNECT_FAILED,
    world_counter.Said.SPOILT: Outcome.RESET,
}


class Decider(Protocol):
    def handle(self, now: int, event: it.Event) -> list[it.Action]: ...


class Sight(Protocol):
    """What a gateway that sees all would see: for the baselines that are bounds, and for no
    others."""

    def load(self, backend: int) -> float:
        """us that one more request would take there, about; infinite if nothing can be sent to
        it."""


Make = Callable[[it.Settings, int, Sight], Decider]


@dataclass(slots=True)
class Try:
    arrival: Arrival
    root: int  # the first try's id
    number: int  # 0: the first
    id: int
    gateway: int
    until: int
    row: int  # in the record
    over: bool = False
    owner: Open | None = None


@dataclass(slots=True, eq=False)
class Attempt:
    open: Open
    number: int
    server: int
    sent: int
    row: int = -1
    job: Job | None = None
    fresh: bool = False  # its connection is still being made
    ended: bool = False
    silent: bool = False  # nothing of it will ever arrive


@dataclass(slots=True, eq=False)
class Open:
    """A try that a gateway has taken."""

    trying: Try
    number: int
    host: Host
    deadline: int
    limits: it.Limits
    over: bool = False
    out: int = 0
    attempts: list[Attempt] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Host:
    """A gateway's process: what net/ does for the module."""

    index: int
    zone: int
    decider: Decider
    settings: it.Settings
    life: int = 0
    alive: bool = True
    stopping: bool = False
    stopped: bool = False
    closes: int = 0  # when one that is stopping accepts no more connections
    open: dict[int, Open] = field(default_factory=dict)
    # by server: since when, the latest last
    idle: dict[int, list[int]] = field(default_factory=dict)
    status: dict[int, str] = field(default_factory=dict)
    events: deque[it.Event] = field(default_factory=deque)
    # while stopped
    held: list[tuple[Callable[..., None], tuple[Any, ...]]] = field(default_factory=list)
    busy: bool = False


class Simulation:
    def __init__(self, day: Day, make: Make) -> None:
        self.day, self.make, self.record = day, make, Record()
        self.now = self._seq = 0
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.rng = random.Random(day.seed)
        self.clients, self.network = Clients(day), Network.drawn(day.network)
        self.counter = Counter.drawn(day.counter)
        self.discovery = Discovery.drawn(
            len(day.gateway_zones), day.discovery, random.Random(day.seed + 1)
        )
        self.servers = [Server(kind, -1) for kind in day.servers]
        for server in self.servers:
            server.fall_multiple = day.scenario.rules.fall_multiple
            server.fall_us = int(day.scenario.rules.fall_ms * 1000)
        self.vanished: set[int] = set()  # servers that say nothing
        self.noticed: set[int] = set()  # gateways that the front knows to be down
        self._wakes: dict[int, int] = {}
        self.discovery.begin(dict.fromkeys(range(len(self.servers)), -1))
        self._changed: dict[str, float] = {}
        self.hosts = [self._host(n) for n in range(len(day.gateway_zones))]
        self._tries = self._numbers = 0
        self._fell: set[int] = set()  # servers pushed over since they last started
        self._absent: dict[int, int] = {}  # a gateway's last row among those that are away
        self.events = 0
        self._connect_timeout = int(day.scenario.server.connect_timeout_ms * 1000)
        self._idle = int(day.scenario.server.idle_s * SECOND * 0.9)
        self.asked_work = 0.0

    # The clock.

    def at(self, when: int, act: Callable[..., None], *args: Any) -> None:
        self._seq += 1
        heapq.heappush(self._heap, (max(when, self.now), self._seq, act, args))

    def run(self) -> Record:
        arrivals = self.clients.arrivals()
        following = next(arrivals, None)
        for number, trouble in enumerate(self.day.scenario.trouble):
            begin = int(trouble.at_s * SECOND)
            self.record.marks.add(begin, begin + int(trouble.len_s * SECOND), number)
        for step in plan(self.day):
            self.at(step.at, self._do, step)
        end = self.day.length + max(c.deadline_us for c in self.day.classes) + SECOND
        for second in range(0, self.day.length + SECOND, SECOND):
            self.at(second, self._sample)
        heap = self._heap
        while heap or following:
            if following and (not heap or following.due <= heap[0][0]):
                self.now = following.due
                self._first_try(following)
                following = next(arrivals, None)
                continue
            when, _, act, args = heapq.heappop(heap)
            if when > end:
                break
            self.now = when
            self.events += 1
            act(*args)
        self.record.figures |= {
            "requests": len(self.record.tries),
            "events": self.events,
            "asked_work": self.asked_work,
            "done_work": sum(s.done for s in self.servers),
        }
        return self.record

    def _sample(self) -> None:
        for number, server in enumerate(self.servers):
            self._settle(number, server.advance(self.now))
            self.record.servers.add(
                self.now,
                number,
                server.held(),
                server.connections,
                int(server.spent),
                int(server.warmth(self.now) * 1000),
                int(server.alive),
                server.kind.slots,
            )
        limit = self.now - self._idle
        for host in self.hosts:
            for number, since in host.idle.items():
                old = sum(1 for at in since if at <= limit)
                for _ in range(old):
                    self.servers[number].close()
                del since[:old]

    # Gateways.

    def _host(self, index: int, life: int = 0) -> Host:
        settings = settings_from_json(
            json.dumps(self.day.raw_settings(index, self._changed)).encode()
        )
        seed = (self.day.seed * 1000 + index) * 100 + life
        host = Host(
            index, self.day.gateway_zones[index], self.make(settings, seed, self), settings, life
        )
        entries = self.discovery.held(index)
        host.status = {e.server: e.status for e in entries}
        self._post(
            host,
            it.BackendsListed(
                it.ListKind.CACHED, self.discovery.told[index], self._listed(entries)
            ),
        )
        return host

    def _listed(self, entries: list[Entry]) -> tuple[it.ListedBackend, ...]:
        return tuple(
            it.ListedBackend(
                e.server + 1,
                STATES[e.status],
                self.day.servers[e.server].zone,
                0,
                0,
                1.0,
                EPOCH + e.started if e.started >= 0 else 0,
            )
            for e in entries
        )

    def _post(self, host: Host, event: it.Event) -> None:
        host.events.append(event)
        if host.busy:
            return
        host.busy = True
        try:
            while host.events:
                for action in host.decider.handle(EPOCH + self.now, host.events.popleft()):
                    self._carry_out(host, action)
        finally:
            host.busy = False

    def _later(self, host: Host, life: int, act: Callable[..., None], *args: Any) -> None:
        """Reaches that process, if it is still the same; one that is stopped finds it when it goes
        on."""
        if host.life != life or not host.alive:
            return
        if host.stopped:
            host.held.append((act, args))
        else:
            act(*args)

    def _carry_out(self, host: Host, action: it.Action) -> None:
        match action:
            case it.SendAttempt(number, backend, timeout):
                self._send(host, number, backend - 1, timeout)
            case it.Refuse(number, advice):
                if (opened := host.open.get(number)) and not opened.over:
                    self._close(opened)
                    advice = advice if host.settings.limits.advises_retry else 0
                    self._answer(opened.trying, rec.REFUSED, advice)
            case it.Fail(number):
                if (opened := host.open.get(number)) and not opened.over:
                    self._close(opened)
                    self._answer(opened.trying, rec.FAILED)
            case it.CancelAttempt(number, index):
                opened = host.open.get(number)
                if opened and index < len(opened.attempts) and not opened.attempts[index].ended:
                    attempt = opened.attempts[index]
                    self._abandon(
                        attempt, Outcome.CONNECT_FAILED if attempt.fresh else Outcome.CANCELLED
                    )
            case it.SetTimer(token, when):
                self.at(
                    when - EPOCH,
                    self._later,
                    host,
                    host.life,
                    self._post,
                    host,
                    it.TimerFired(token),
                )
            case it.AddToCounter(name, amount, life):
                self._add(host, name, amount, life)
            case _:  # no peers, no probes, the list comes by itself
                pass

    def _close(self, opened: Open) -> None:
        opened.over = True
        self._forget(opened)

    def _forget(self, opened: Open) -> None:
        if opened.over and opened.out == 0:
            opened.host.open.pop(opened.number, None)

    # Clients.

    def _first_try(self, arrival: Arrival) -> None:
        self.asked_work += arrival.work
        self._begin(arrival, -1, 0, -1)

    def _begin(self, arrival: Arrival, root: int, number: int, before: int) -> None:
        down = frozenset(self.noticed)
        gateway = self.clients.gateway(arrival, self.now, number, down, before)
        self._tries += 1
        until, _ = self.clients.patience(arrival, self.now)
        root = root if root >= 0 else self._tries
        row = self.record.tries.add(
            self._tries,
            root,
            arrival.customer,
            arrival.plan,
            arrival.cls,
            gateway,
            arrival.due,
            self.now,
            until,
            -1,
            rec.NONE,
            0,
        )
        trying = Try(arrival, root, number, self._tries, gateway, until, row)
        if gateway < 0:
            self._heard(trying, rec.UNREACHED, 0)
            return
        host, way = self.hosts[gateway], self.network.to_client(self.rng.random())
        if not host.alive or (host.stopping and self.now >= host.closes):
            self.at(self.now + 2 * way, self._heard, trying, rec.UNREACHED, 0)
            return
        self.at(self.now + way, self._reach, host, host.life, trying)
        self.at(until, self._expired, trying)
        if quits := self.clients.quits(arrival):
            self.at(min(until, self.now + quits), self._leaves, trying)

    def _reach(self, host: Host, life: int, trying: Try) -> None:
        if host.life != life or not host.alive:
            self._heard(trying, rec.UNREACHED, 0)
        else:
            self._later(host, life, self._take, host, trying)

    def _take(self, host: Host, trying: Try) -> None:
        left = trying.until - self.now
        if trying.over:
            return
        limits = host.settings.limits
        if left <= ANSWER_MARGIN or 0 < limits.max_open <= len(host.open):
            self._answer(trying, rec.REFUSED)
            return
        self._numbers += 1
        opened = Open(trying, self._numbers, host, trying.until, limits)
        trying.owner = host.open[opened.number] = opened
        self.at(trying.until - ANSWER_MARGIN, self._later, host, host.life, self._overdue, opened)
        a = trying.arrival
        self._post(
            host,
            it.RequestArrived(
                opened.number, a.cls, a.plan, a.customer, 1.0, left, a.first, a.spread, False
            ),
        )

    def _overdue(self, opened: Open) -> None:
        if not opened.over:
            self._close(opened)
            self._answer(opened.trying, rec.FAILED)
            self._post(opened.host, it.ClientGone(opened.number))

    def _answer(self, trying: Try, kind: int, advice: int = 0) -> None:
        self.at(
            self.now + self.network.to_client(self.rng.random()), self._heard, trying, kind, advice
        )

    def _heard(self, trying: Try, kind: int, advice: int) -> None:
        """The client has its final answer, or none will come."""
        tries = self.record.tries
        if kind not in (rec.NONE, rec.GONE):
            tries.set(trying.row, "ended", self.now)
            if tries.columns[10][trying.row] not in (rec.NONE, rec.GONE):
                self.record.faults.add(self.now, 2, trying.id, trying.gateway)
            tries.set(trying.row, "kind", kind)
            tries.set(trying.row, "advice", advice)
        if trying.over:
            return
        trying.over = True
        if kind == rec.SERVED:
            return
        again = self.clients.again(trying.arrival, self.now, trying.number + 1, advice)
        if again:
            self.at(
                again, self._begin, trying.arrival, trying.root, trying.number + 1, trying.gateway
            )

    def _expired(self, trying: Try) -> None:
        if not trying.over:
            self._heard(trying, rec.NONE, 0)

    def _leaves(self, trying: Try) -> None:
        """An impatient client closes its connection, and does not come back."""
        if trying.over:
            return
        trying.over = True
        self.record.tries.set(trying.row, "kind", rec.GONE)
        host = self.hosts[trying.gateway]
        if (opened := trying.owner) and not opened.over:
            self._later(host, opened.host.life, self._client_gone, opened)

    def _client_gone(self, opened: Open) -> None:
        if not opened.over:
            self._close(opened)
            self._post(opened.host, it.ClientGone(opened.number))

    # Attempts.

    def _send(self, host: Host, number: int, server: int, timeout: int) -> None:
        opened = host.open.get(number)
        if opened is None:
            host.events.append(it.AttemptEnded(number, 0, server + 1, Outcome.MOOT, 0, True))
            return
        attempt = Attempt(opened, len(opened.attempts), server, self.now)
        left = opened.deadline - self.now - LAST_ATTEMPT
        limits = opened.limits
        second = opened.out > 0 and not limits.may_duplicate
        spent = len(opened.attempts) >= limits.max_attempts
        opened.attempts.append(attempt)
        opened.out += 1
        if opened.over or second or spent or left <= 0:
            self._ended(attempt, Outcome.MOOT)
            return
        if host.status.get(server) != "up":
            self._ended(attempt, Outcome.CONNECT_FAILED)
            return
        wait = min(timeout, left) if timeout else left
        self.at(self.now + wait, self._later, host, host.life, self._timed_out, attempt)
        zone, idle = self.day.servers[server].zone, host.idle.get(server)
        linked = self.network.linked(host.zone, zone) and server not in self.vanished
        way = self.network.way(host.zone, zone, self.rng.random())
        if idle:
            idle.pop()
            attempt.silent = not linked
            self._write(attempt, wait, way)
        elif not linked:
            attempt.fresh = True
            self.at(
                self.now + self._connect_timeout,
                self._later,
                host,
                host.life,
                self._dial_failed,
                attempt,
            )
        else:
            attempt.fresh = True
            self.at(self.now + way, self._dial, attempt, wait, way)

    def _dial(self, attempt: Attempt, wait: int, way: int) -> None:
        """A new connection has come to the server."""
        if attempt.ended:
            return
        host, server = attempt.open.host, self.servers[attempt.server]
        self.record.dials.add(self.now, host.index, attempt.server)
        good, over = server.open(self.now)
        self._settle(attempt.server, over)
        if not good:
            self.at(self.now + way, self._later, host, host.life, self._dial_failed, attempt)
            return
        trips = int(2 * way * max(0.5, server.kind.handshake_rtts - 0.5))
        self.at(self.now + trips, self._later, host, host.life, self._dialled, attempt, wait, way)

    def _dialled(self, attempt: Attempt, wait: int, way: int) -> None:
        if attempt.ended:
            self.servers[attempt.server].close()
            return
        attempt.fresh = False
        self._write(attempt, wait - (self.now - attempt.sent), way)

    def _dial_failed(self, attempt: Attempt) -> None:
        if not attempt.ended:
            self._ended(attempt, Outcome.CONNECT_FAILED)

    def _write(self, attempt: Attempt, wait: int, way: int) -> None:
        trying = attempt.open.trying
        attempt.row = self.record.sends.add(
            trying.id, attempt.open.host.index, attempt.server, self.now, -1, -1, rec.OPEN, 0, 0
        )
        if not attempt.silent:
            self.at(self.now + way, self._arrive, attempt, self.now + wait, way)

    def _arrive(self, attempt: Attempt, until: int, way: int) -> None:
        """Its last byte has come to the server."""
        server, a = self.servers[attempt.server], attempt.open.trying.arrival
        if not server.alive:
            if not attempt.ended:
                host = attempt.open.host
                self.at(self.now + way, self._later, host, host.life, self._reset, attempt)
            return
        self.record.sends.set(attempt.row, "whole", self.now)
        draw = a.draws[world_clients.ATTEMPT + min(attempt.number, 5)]
        job = attempt.job = Job(attempt, a.work, until, draw)
        verdict, over = server.offer(self.now, job)
        self._settle(attempt.server, over)
        if attempt.ended and verdict is None:  # given up while it was on its way
            _, over = server.cancel(self.now, job)
            self._settle(attempt.server, over)
        if verdict is not None:
            self._done(job, verdict)
        self._wake(attempt.server)

    def _reset(self, attempt: Attempt) -> None:
        if not attempt.ended:
            self._ended(attempt, Outcome.RESET)

    def _wake(self, number: int) -> None:
        due = self.servers[number].next_at()
        if due and (due < self._wakes.get(number, 1 << 62) or self._wakes[number] < self.now):
            self._wakes[number] = due
            self.at(due, self._woken, number, due)

    def _woken(self, number: int, due: int) -> None:
        if self._wakes.get(number) == due:
            self._wakes.pop(number)
            self._settle(number, self.servers[number].advance(self.now))

    def _settle(self, number: int, over: list[tuple[Job, Verdict]]) -> None:
        server = self.servers[number]
        if server.fallen and not server.alive and number not in self._fell:
            self._fell.add(number)
            self.record.falls.add(self.now, number)
            self._gone(number)
        for job, verdict in over:
            self._done(job, verdict)
        if server.alive:
            self._wake(number)

    def _done(self, job: Job, verdict: Verdict) -> None:
        """A server is through with a request; its answer sets out, unless nobody waits."""
        attempt: Attempt = job.key  # type: ignore[assignment]
        host, sends = attempt.open.host, self.record.sends
        code = {
            Verdict.OK: rec.OK,
            Verdict.ERROR: rec.ERROR,
            Verdict.FULL: rec.FULL,
            Verdict.DOWN: rec.DOWN,
        }[verdict]
        sends.set(attempt.row, "ended", self.now)
        sends.set(attempt.row, "outcome", code)
        worked = job.target > 0 and verdict in (Verdict.OK, Verdict.ERROR)
        sends.set(attempt.row, "work", int(job.work) if worked else 0)
        if job.orphan or attempt.ended:
            return
        zone = self.day.servers[attempt.server].zone
        if not self.network.linked(host.zone, zone) or attempt.server in self.vanished:
            return
        way = self.network.way(host.zone, zone, self.rng.random())
        if self.network.resets and self.rng.random() < self.network.resets:
            verdict = Verdict.DOWN
        outcome = {
            Verdict.OK: Outcome.OK,
            Verdict.ERROR: Outcome.ERROR,
            Verdict.FULL: Outcome.FULL,
            Verdict.DOWN: Outcome.RESET,
        }[verdict]
        self.at(self.now + way, self._later, host, host.life, self._came, attempt, outcome)

    def _came(self, attempt: Attempt, outcome: Outcome) -> None:
        """An answer has come to the gateway."""
        if attempt.ended:
            return
        host, server = attempt.open.host, self.servers[attempt.server]
        if (
            outcome is not Outcome.RESET
            and server.alive
            and host.status.get(attempt.server) == "up"
        ):
            host.idle.setdefault(attempt.server, []).append(self.now)
        else:
            server.close()
        self._ended(attempt, outcome)

    def _timed_out(self, attempt: Attempt) -> None:
        if not attempt.ended:
            self._abandon(attempt, Outcome.CONNECT_FAILED if attempt.fresh else Outcome.TIMEOUT)

    def _abandon(self, attempt: Attempt, outcome: Outcome) -> None:
        """The gateway closes the attempt's connection."""
        if not attempt.fresh:
            self.servers[attempt.server].close()
            if attempt.job and not attempt.silent:
                zone = self.day.servers[attempt.server].zone
                way = self.network.way(attempt.open.host.zone, zone, self.rng.random())
                self.at(self.now + way, self._cancel, attempt)
        self._ended(attempt, outcome)

    def _cancel(self, attempt: Attempt) -> None:
        if attempt.job and attempt.job.state in ("waiting", "working", "failing"):
            stopped, over = self.servers[attempt.server].cancel(self.now, attempt.job)
            self._settle(attempt.server, over)
            if stopped:
                self.record.sends.set(attempt.row, "ended", self.now)
                self.record.sends.set(attempt.row, "outcome", rec.CANCELLED)

    def _ended(self, attempt: Attempt, outcome: Outcome) -> None:
        opened = attempt.open
        host = opened.host
        attempt.ended, attempt.open.out = True, opened.out - 1
        if outcome is Outcome.OK and not opened.over:
            opened.over = True
            if attempt.row >= 0:
                self.record.sends.set(attempt.row, "useful", 1)
            self._answer(opened.trying, rec.SERVED)
        self._forget(opened)
        latency = self.now - attempt.sent
        event = it.AttemptEnded(
            opened.number, attempt.number, attempt.server + 1, outcome, latency, opened.over
        )
        self._post(host, event)

    # The counter.

    def _add(self, host: Host, name: int, amount: float, life: int) -> None:
        there = 0  # the counter stands in the first zone
        linked = self.network.linked(host.zone, there)
        way = self.network.way(host.zone, there, self.rng.random())
        state = [False]
        self.at(
            self.now + host.settings.counter.timeout,
            self._count_over,
            host,
            host.life,
            name,
            state,
            Outcome.TIMEOUT,
            0.0,
            self.now,
        )
        if linked:
            self.at(
                self.now + way,
                self._count,
                host,
                host.life,
                name,
                amount,
                life,
                state,
                way,
                self.now,
            )

    def _count(
        self,
        host: Host,
        incarnation: int,
        name: int,
        amount: float,
        life: int,
        state: list[bool],
        way: int,
        asked: int,
    ) -> None:
        answer = self.counter.add(self.now, name, amount, life, self.rng.random())
        self.record.calls.add(self.now, list(world_counter.Said).index(answer.said))
        if answer.said is not world_counter.Said.LOST and self.network.linked(host.zone, 0):
            self.at(
                answer.at + way,
                self._count_over,
                host,
                incarnation,
                name,
                state,
                SAID[answer.said],
                answer.total,
                asked,
            )

    def _count_over(
        self,
        host: Host,
        life: int,
        name: int,
        state: list[bool],
        outcome: Outcome,
        total: float,
        asked: int,
    ) -> None:
        if not state[0]:
            state[0] = True
            event = it.CountAnswered(name, outcome, total, self.now - asked)
            self._later(host, life, self._post, host, event)

    # Discovery.

    def _list(self, server: int, status: str, started: int) -> None:
        for gateway, when in self.discovery.change(self.now, server, status, started).items():
            self.at(when, self._tell, gateway)

    def _tell(self, gateway: int) -> None:
        host = self.hosts[gateway]
        if host.alive:
            self._later(host, host.life, self._told, host)

    def _told(self, host: Host) -> None:
        version, entries = self.discovery.news(host.index)
        if not entries:
            return
        for entry in entries:
            before, known = host.status.get(entry.server), host.status
            if entry.status == "removed":
                known.pop(entry.server, None)
            else:
                known[entry.server] = entry.status
            self.record.tells.add(self.now, host.index, entry.server, CODES[entry.status])
            if entry.status != "up" or before != "up":
                self._drop_idle(host, entry.server)
        host.events.append(it.BackendsListed(it.ListKind.DELTA, version, self._listed(entries)))
        self._withdraw(host, {e.server for e in entries if e.status != "up"})
        if not host.busy and host.events:
            self._post(host, host.events.popleft())

    def _withdraw(self, host: Host, servers: set[int]) -> None:
        """Attempts that wait for a connection to these are not written any more."""
        for opened in list(host.open.values()) if servers else []:
            for attempt in opened.attempts:
                if not attempt.ended and attempt.fresh and attempt.server in servers:
                    attempt.ended, opened.out = True, opened.out - 1
                    self._forget(opened)
                    latency = self.now - attempt.sent
                    host.events.append(
                        it.AttemptEnded(
                            opened.number,
                            attempt.number,
                            attempt.server + 1,
                            Outcome.CONNECT_FAILED,
                            latency,
                            opened.over,
                        )
                    )

    def _drop_idle(self, host: Host, server: int) -> None:
        for _ in host.idle.pop(server, []):
            self.servers[server].close()

    # Troubles.

    def _do(self, step: Step) -> None:
        match step.verb:
            case "kill":
                self._kill(step.target)
            case "restart":
                self._restart(step.target)
            case "stop":
                self._stop(step.target)
            case "go_on":
                self._go_on(step.target)
            case "terminate":
                self._terminate(step.target)
            case "upgrade":  # to the module that is the same life: nothing is seen of it here
                pass
            case "reload":
                self._reload(step.settings)
            case "cut":
                self.network.cut.add(step.target)
            case "mend":
                self.network.cut.discard(step.target)
            case "vanish":
                self._lose(step.target)
            case "begin":
                self._begin_server(step.target)
            case "slow":
                self.servers[step.target].slow = step.value
            case "failing":
                self.servers[step.target].failing = step.value
            case "replace":
                self._replace(step.target)
            case "drain" | "undrain":
                self._drain(step.target, step.verb == "drain")
            case "discovery_down":
                self.discovery.up = False
            case "discovery_up":
                self._discovery_back()
            case "counter_down":
                self.counter.fail()
            case "counter_up":
                self.counter.back(self.now)
            case "counter_spoilt":
                self.counter.spoilt = step.value
            case "resets":
                self.network.resets = step.value
            case _:
                raise ValueError(step.verb)

    def _kill(self, gateway: int) -> None:
        host = self.hosts[gateway]
        if not host.alive:
            return
        host.alive = False
        row = self.record.absent.add(gateway, self.now, -1)
        self._absent[gateway] = row
        for opened in list(host.open.values()):
            for attempt in opened.attempts:
                if not attempt.ended:
                    attempt.ended = True
                    if not attempt.fresh:
                        self.servers[attempt.server].close()
                    self._cancel(attempt)
            if not opened.over:
                opened.over = True
                self._answer(opened.trying, rec.UNREACHED)
        for number in list(host.idle):
            self._drop_idle(host, number)
        host.open.clear()
        notice = int(self.day.network["front_notice_s"] * SECOND)
        self.at(self.now + notice, self._notice, gateway, host.life)

    def _notice(self, gateway: int, life: int) -> None:
        if not self.hosts[gateway].alive and self.hosts[gateway].life == life:
            self.noticed.add(gateway)

    def _restart(self, gateway: int) -> None:
        host = self.hosts[gateway]
        if host.alive and not host.stopping:
            return
        self.at(self.now + RESTART, self._up_again, gateway)

    def _up_again(self, gateway: int) -> None:
        before = self.hosts[gateway]
        self.record.absent.set(self._absent[gateway], "to", self.now)
        self.hosts[gateway] = host = self._host(gateway, before.life + 1)
        self.noticed.discard(gateway)
        self._told(host)

    def _terminate(self, gateway: int) -> None:
        """SIGTERM: the front sends nothing new after a moment, what is open is finished, then it
        starts anew."""
        host = self.hosts[gateway]
        host.stopping, host.closes = True, self.now + ACCEPTS_ON
        self.at(self.now + ACCEPTS_ON, self.noticed.add, gateway)
        self.at(self.now + ACCEPTS_ON, self._finish, gateway, host.life)

    def _finish(self, gateway: int, life: int) -> None:
        host = self.hosts[gateway]
        if host.life != life or not host.alive:
            return
        if host.open:
            self.at(self.now + 50_000, self._finish, gateway, life)
            return
        self._kill(gateway)
        self._restart(gateway)

    def _stop(self, gateway: int) -> None:
        host = self.hosts[gateway]
        host.stopped = True
        self._absent[gateway] = self.record.absent.add(gateway, self.now, -1)
        notice = int(self.day.network["front_notice_s"] * SECOND)
        self.at(self.now + notice, lambda: self.noticed.add(gateway) if host.stopped else None)

    def _go_on(self, gateway: int) -> None:
        host = self.hosts[gateway]
        host.stopped = False
        self.record.absent.set(self._absent[gateway], "to", self.now)
        self.noticed.discard(gateway)
        held, host.held = host.held, []
        for act, args in held:
            act(*args)

    def _gone(self, number: int) -> None:
        """A server's process has ended; discovery lists that later."""
        for host in self.hosts:
            host.idle.pop(number, None)
        silent = number in self.vanished
        wait = self.day.discovery["silent_notice_s" if silent else "notice_s"]
        self.at(self.now + int(wait * SECOND), self._list_end, number, self.servers[number].started)

    def _list_end(self, number: int, started: int) -> None:
        if not self.servers[number].alive and self.servers[number].started == started:
            self._list(number, "removed", started)

    def _lose(self, number: int) -> None:
        """It vanishes without a word: connections stay, and nothing comes any more."""
        if not self.servers[number].alive:
            return
        self.vanished.add(number)
        kept = {host.index: host.idle[number] for host in self.hosts if host.idle.get(number)}
        self.servers[number].die(self.now)
        self._gone(number)
        for host in self.hosts:  # nobody has told them: their idle connections look as before
            if host.index in kept:
                host.idle[number] = kept[host.index]

    def _begin_server(self, number: int) -> None:
        self.vanished.discard(number)
        for host in self.hosts:
            host.idle.pop(number, None)
        self.servers[number].start(self.now)
        self._fell.discard(number)
        self.at(
            self.now + int(self.day.discovery["add_s"] * SECOND), self._list_up, number, self.now
        )

    def _list_up(self, number: int, started: int) -> None:
        if self.servers[number].alive and self.servers[number].started == started:
            self._list(number, "up", started)

    def _replace(self, number: int) -> None:
        """A release: drained, and once that is told and the work is done, a new process, cold."""
        self._drain(number, True)
        grace = int(
            (self.day.discovery["period_ms"] + self.day.discovery["spread_ms"] + 500) * 1000
        )
        self.at(self.now + grace, self._swap, number)

    def _swap(self, number: int) -> None:
        server = self.servers[number]
        if not server.alive:
            return
        if server.held() and self.now < self.day.length:
            self._settle(number, server.advance(self.now))
            self.at(self.now + 100_000, self._swap, number)
            return
        self._settle(number, server.die(self.now))
        self._begin_server(number)

    def _drain(self, number: int, out: bool) -> None:
        server = self.servers[number]
        if not server.alive:
            return
        self._list(number, "draining" if out else "up", server.started)

    def _discovery_back(self) -> None:
        self.discovery.up = True
        for gateway, when in self.discovery.due(self.now).items():
            self.at(when, self._tell, gateway)

    def _reload(self, change: dict[str, float]) -> None:
        self._changed = self._changed | change
        for host in self.hosts:
            host.settings = settings_from_json(
                json.dumps(self.day.raw_settings(host.index, self._changed)).encode()
            )
            self._post(host, it.SettingsChanged(host.settings))

    # What a gateway that sees all would see.

    def load(self, backend: int) -> float:
        server = self.servers[backend - 1]
        if not server.alive or server.draining or backend - 1 in self.vanished:
            return float("inf")
        work = sum(c.share * c.work_us for c in self.day.classes)
        return max(work, (server.held() + 1) * work / max(1e-9, server.capacity(self.now)))


def simulate(day: Day, make: Make) -> Record:
    return Simulation(day, make).run()
