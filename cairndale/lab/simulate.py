"""Discrete-event simulation of the platform in virtual time.

The request policies of all ingresses run in this process; clients, servers, network, discovery and
counter are models. The same seed gives the same record: events with equal times run in the order
in which they were scheduled, and nothing here reads a clock or depends on hash order.
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

# The ingress clock at the start of a run. It is far from 0 because a server start time of 0 means
# "long ago".
EPOCH_US = 1_700_000_000 * SECOND
# Time reserved before the deadline for the answer and for the last attempt, as in net/engine.py.
ANSWER_MARGIN_US, LAST_ATTEMPT_US = 10_000, 15_000
RESTART_US = 500_000  # from the restart of an ingress until it serves again
# New connections are accepted for this long after SIGTERM; the protocol allows 0.2 to 0.4 s.
ACCEPT_PERIOD_US = 300_000
BACKEND_STATES = {
    "up": it.BackendState.READY,
    "draining": it.BackendState.DRAINING,
    "removed": it.BackendState.GONE,
}
STATUS_CODES = {"up": rec.UP, "draining": rec.DRAINING, "removed": rec.REMOVED}
COUNTER_OUTCOMES = {
    world_counter.CallStatus.OK: Outcome.OK,
    world_counter.CallStatus.BUSY: Outcome.FULL,
    world_counter.CallStatus.DOWN: Outcome.CONNECT_FAILED,
    world_counter.CallStatus.SPOILT: Outcome.RESET,
}


class Policy(Protocol):
    """A request policy: receives events with their time in us and returns actions."""

    def handle(self, now: int, event: it.Event) -> list[it.Action]: ...


class GlobalView(Protocol):
    """Global state that no real ingress can see; only for baselines that serve as bounds."""

    def load(self, backend: int) -> float:
        """Estimated duration of one more request on the backend, in us; infinite if the backend
        cannot be used."""


PolicyFactory = Callable[[it.Settings, int, GlobalView], Policy]


@dataclass(slots=True)
class ClientAttempt:
    """A client's request as sent to one ingress; each client retry is a further attempt."""

    arrival: Arrival
    root: int  # id of the client's first attempt
    number: int  # 0: the first attempt
    id: int
    ingress_index: int
    expires_at: int
    row: int  # in the record's table of client attempts
    finished: bool = False
    request: OpenRequest | None = None


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of an ingress to have a request served by a backend server."""

    request: OpenRequest
    number: int
    server: int
    sent_at: int
    row: int = -1
    job: Job | None = None
    connecting: bool = False  # the connection is not established yet
    ended: bool = False
    blackholed: bool = False  # sent over a connection that no longer delivers anything


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A client attempt that an ingress has accepted and not yet completed."""

    client_attempt: ClientAttempt
    number: int
    ingress: Ingress
    deadline: int
    limits: it.Limits
    finished: bool = False
    in_flight: int = 0
    attempts: list[Attempt] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Ingress:
    """An ingress process: does for the request policy what net/ does in production."""

    index: int
    zone: int
    policy: Policy
    settings: it.Settings
    incarnation: int = 0
    alive: bool = True
    terminating: bool = False
    paused: bool = False
    accepts_until: int = 0  # while terminating: end of accepting new connections, us
    requests: dict[int, OpenRequest] = field(default_factory=dict)
    # By server: the times since which connections are idle, latest last.
    idle_connections: dict[int, list[int]] = field(default_factory=dict)
    backend_status: dict[int, str] = field(default_factory=dict)
    pending_events: deque[it.Event] = field(default_factory=deque)
    # Callbacks that arrived while the process was paused.
    deferred: list[tuple[Callable[..., None], tuple[Any, ...]]] = field(default_factory=list)
    dispatching: bool = False


class Simulation:
    """One simulated run. Implements `GlobalView`. Times are us since the start of the run."""

    def __init__(self, day: Day, make_policy: PolicyFactory) -> None:
        self.day, self.make_policy, self.record = day, make_policy, Record()
        self.now = self._sequence = 0
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self.rng = random.Random(day.seed)
        self.clients, self.network = Clients(day), Network.from_figures(day.network)
        self.counter = Counter.from_figures(day.counter)
        self.discovery = Discovery.from_figures(
            len(day.gateway_zones), day.discovery, random.Random(day.seed + 1)
        )
        self.servers = [Server(kind, -1) for kind in day.servers]
        for server in self.servers:
            server.overload_multiple = day.scenario.rules.fall_multiple
            server.overload_us = int(day.scenario.rules.fall_ms * 1000)
        self.vanished_servers: set[int] = set()  # servers that stopped without closing connections
        self.known_down: set[int] = (
            set()
        )  # ingresses that the front load balancer has detected as down
        self._wakeups: dict[int, int] = {}
        self.discovery.initialize(dict.fromkeys(range(len(self.servers)), -1))
        self._changed_settings: dict[str, float] = {}
        self.ingresses = [self._start_ingress(n) for n in range(len(day.gateway_zones))]
        self._attempt_count = self._request_count = 0
        # Servers that have failed from overload since their last start.
        self._overloaded_servers: set[int] = set()
        # The latest row of each ingress in the record's `absent` table.
        self._absence_rows: dict[int, int] = {}
        self.executed_count = 0
        self._connect_timeout_us = int(day.scenario.server.connect_timeout_ms * 1000)
        self._idle_timeout_us = int(day.scenario.server.idle_s * SECOND * 0.9)
        self.offered_work = 0.0

    # Event loop.

    def schedule(self, when: int, callback: Callable[..., None], *args: Any) -> None:
        """Run the callback at the virtual time `when`, or now if that has passed."""
        self._sequence += 1
        heapq.heappush(self._heap, (max(when, self.now), self._sequence, callback, args))

    def run(self) -> Record:
        """Run to the end of the day, plus the time in which the last requests can be answered."""
        arrivals = self.clients.arrivals()
        next_arrival = next(arrivals, None)
        for number, fault in enumerate(self.day.scenario.trouble):
            begin = int(fault.at_s * SECOND)
            self.record.marks.add(begin, begin + int(fault.len_s * SECOND), number)
        for step in plan(self.day):
            self.schedule(step.at, self._run_step, step)
        end = self.day.length + max(c.deadline_us for c in self.day.classes) + SECOND
        for second in range(0, self.day.length + SECOND, SECOND):
            self.schedule(second, self._sample)
        heap = self._heap
        while heap or next_arrival:
            if next_arrival and (not heap or next_arrival.due <= heap[0][0]):
                self.now = next_arrival.due
                self._first_attempt(next_arrival)
                next_arrival = next(arrivals, None)
                continue
            when, _, callback, args = heapq.heappop(heap)
            if when > end:
                break
            self.now = when
            self.executed_count += 1
            callback(*args)
        self.record.figures |= {
            "requests": len(self.record.tries),
            "events": self.executed_count,
            "asked_work": self.offered_work,
            "done_work": sum(s.work_done for s in self.servers),
        }
        return self.record

    def _sample(self) -> None:
        """Record the state of the servers, and close connections that were idle for too long."""
        for number, server in enumerate(self.servers):
            self._process_finished_jobs(number, server.advance(self.now))
            self.record.servers.add(
                self.now,
                number,
                server.request_count(),
                server.connections,
                int(server.capacity_used),
                int(server.warmth(self.now) * 1000),
                int(server.alive),
                server.kind.slots,
            )
        idle_limit = self.now - self._idle_timeout_us
        for ingress in self.ingresses:
            for number, idle_times in ingress.idle_connections.items():
                expired = sum(1 for idle_since in idle_times if idle_since <= idle_limit)
                for _ in range(expired):
                    self.servers[number].close()
                del idle_times[:expired]

    # Ingresses.

    def _start_ingress(self, index: int, incarnation: int = 0) -> Ingress:
        settings = settings_from_json(
            json.dumps(self.day.raw_settings(index, self._changed_settings)).encode()
        )
        seed = (self.day.seed * 1000 + index) * 100 + incarnation
        ingress = Ingress(
            index,
            self.day.gateway_zones[index],
            self.make_policy(settings, seed, self),
            settings,
            incarnation,
        )
        entries = self.discovery.list_sent_to(index)
        ingress.backend_status = {e.server: e.status for e in entries}
        self._dispatch(
            ingress,
            it.BackendsListed(
                it.ListKind.CACHED,
                self.discovery.notified_versions[index],
                self._listed_backends(entries),
            ),
        )
        return ingress

    def _listed_backends(self, entries: list[Entry]) -> tuple[it.ListedBackend, ...]:
        return tuple(
            it.ListedBackend(
                e.server + 1,
                BACKEND_STATES[e.status],
                self.day.servers[e.server].zone,
                0,
                0,
                1.0,
                EPOCH_US + e.started if e.started >= 0 else 0,
            )
            for e in entries
        )

    def _dispatch(self, ingress: Ingress, event: it.Event) -> None:
        """Pass an event to the policy and execute its actions.

        Events that arise meanwhile are queued: the policy is not re-entrant."""
        ingress.pending_events.append(event)
        if ingress.dispatching:
            return
        ingress.dispatching = True
        try:
            while ingress.pending_events:
                for action in ingress.policy.handle(
                    EPOCH_US + self.now, ingress.pending_events.popleft()
                ):
                    self._execute(ingress, action)
        finally:
            ingress.dispatching = False

    def _deliver(
        self, ingress: Ingress, incarnation: int, callback: Callable[..., None], *args: Any
    ) -> None:
        """Run the callback if this incarnation of the process is still alive; if the process is
        paused, when it resumes."""
        if ingress.incarnation != incarnation or not ingress.alive:
            return
        if ingress.paused:
            ingress.deferred.append((callback, args))
        else:
            callback(*args)

    def _execute(self, ingress: Ingress, action: it.Action) -> None:
        match action:
            case it.SendAttempt(number, backend, timeout):
                self._send(ingress, number, backend - 1, timeout)
            case it.Refuse(number, advice):
                if (request := ingress.requests.get(number)) and not request.finished:
                    self._finish_request(request)
                    advice = advice if ingress.settings.limits.advises_retry else 0
                    self._answer(request.client_attempt, rec.REFUSED, advice)
            case it.Fail(number):
                if (request := ingress.requests.get(number)) and not request.finished:
                    self._finish_request(request)
                    self._answer(request.client_attempt, rec.FAILED)
            case it.CancelAttempt(number, index):
                request = ingress.requests.get(number)
                if request and index < len(request.attempts) and not request.attempts[index].ended:
                    attempt = request.attempts[index]
                    self._abort_attempt(
                        attempt, Outcome.CONNECT_FAILED if attempt.connecting else Outcome.CANCELLED
                    )
            case it.SetTimer(token, when):
                self.schedule(
                    when - EPOCH_US,
                    self._deliver,
                    ingress,
                    ingress.incarnation,
                    self._dispatch,
                    ingress,
                    it.TimerFired(token),
                )
            case it.AddToCounter(name, amount, ttl):
                self._call_counter(ingress, name, amount, ttl)
            case _:  # peer messages and probes are not simulated; lists are pushed by discovery
                pass

    def _finish_request(self, request: OpenRequest) -> None:
        request.finished = True
        self._release_request(request)

    def _release_request(self, request: OpenRequest) -> None:
        """Remove a finished request once none of its attempts is in flight."""
        if request.finished and request.in_flight == 0:
            request.ingress.requests.pop(request.number, None)

    # Clients.

    def _first_attempt(self, arrival: Arrival) -> None:
        self.offered_work += arrival.work
        self._start_attempt(arrival, -1, 0, -1)

    def _start_attempt(self, arrival: Arrival, root: int, number: int, previous: int) -> None:
        down = frozenset(self.known_down)
        ingress_index = self.clients.choose_ingress(arrival, self.now, number, down, previous)
        self._attempt_count += 1
        expires_at, _ = self.clients.deadlines(arrival, self.now)
        root = root if root >= 0 else self._attempt_count
        row = self.record.tries.add(
            self._attempt_count,
            root,
            arrival.customer,
            arrival.plan,
            arrival.cls,
            ingress_index,
            arrival.due,
            self.now,
            expires_at,
            -1,
            rec.NONE,
            0,
        )
        client_attempt = ClientAttempt(
            arrival, root, number, self._attempt_count, ingress_index, expires_at, row
        )
        if ingress_index < 0:
            self._on_final_answer(client_attempt, rec.UNREACHED, 0)
            return
        ingress, latency = self.ingresses[ingress_index], self.network.to_client(self.rng.random())
        if not ingress.alive or (ingress.terminating and self.now >= ingress.accepts_until):
            self.schedule(
                self.now + 2 * latency, self._on_final_answer, client_attempt, rec.UNREACHED, 0
            )
            return
        self.schedule(
            self.now + latency,
            self._on_ingress_reached,
            ingress,
            ingress.incarnation,
            client_attempt,
        )
        self.schedule(expires_at, self._on_client_timeout, client_attempt)
        if quit_after := self.clients.quit_after(arrival):
            self.schedule(
                min(expires_at, self.now + quit_after), self._on_client_quit, client_attempt
            )

    def _on_ingress_reached(
        self, ingress: Ingress, incarnation: int, client_attempt: ClientAttempt
    ) -> None:
        if ingress.incarnation != incarnation or not ingress.alive:
            self._on_final_answer(client_attempt, rec.UNREACHED, 0)
        else:
            self._deliver(ingress, incarnation, self._accept_request, ingress, client_attempt)

    def _accept_request(self, ingress: Ingress, client_attempt: ClientAttempt) -> None:
        remaining = client_attempt.expires_at - self.now
        if client_attempt.finished:
            return
        limits = ingress.settings.limits
        if remaining <= ANSWER_MARGIN_US or 0 < limits.max_open <= len(ingress.requests):
            self._answer(client_attempt, rec.REFUSED)
            return
        self._request_count += 1
        request = OpenRequest(
            client_attempt, self._request_count, ingress, client_attempt.expires_at, limits
        )
        client_attempt.request = ingress.requests[request.number] = request
        self.schedule(
            client_attempt.expires_at - ANSWER_MARGIN_US,
            self._deliver,
            ingress,
            ingress.incarnation,
            self._on_request_deadline,
            request,
        )
        arrival = client_attempt.arrival
        self._dispatch(
            ingress,
            it.RequestArrived(
                request.number,
                arrival.cls,
                arrival.plan,
                arrival.customer,
                1.0,
                remaining,
                arrival.first,
                arrival.spread,
                False,
            ),
        )

    def _on_request_deadline(self, request: OpenRequest) -> None:
        if not request.finished:
            self._finish_request(request)
            self._answer(request.client_attempt, rec.FAILED)
            self._dispatch(request.ingress, it.ClientGone(request.number))

    def _answer(self, client_attempt: ClientAttempt, kind: int, advice: int = 0) -> None:
        self.schedule(
            self.now + self.network.to_client(self.rng.random()),
            self._on_final_answer,
            client_attempt,
            kind,
            advice,
        )

    def _on_final_answer(self, client_attempt: ClientAttempt, kind: int, advice: int) -> None:
        """Handle the final answer at the client, or the knowledge that none will come."""
        tries = self.record.tries
        if kind not in (rec.NONE, rec.GONE):
            tries.set(client_attempt.row, "ended", self.now)
            if tries.columns[10][client_attempt.row] not in (rec.NONE, rec.GONE):
                self.record.faults.add(self.now, 2, client_attempt.id, client_attempt.ingress_index)
            tries.set(client_attempt.row, "kind", kind)
            tries.set(client_attempt.row, "advice", advice)
        if client_attempt.finished:
            return
        client_attempt.finished = True
        if kind == rec.SERVED:
            return
        retry_at = self.clients.retry_at(
            client_attempt.arrival, self.now, client_attempt.number + 1, advice
        )
        if retry_at:
            self.schedule(
                retry_at,
                self._start_attempt,
                client_attempt.arrival,
                client_attempt.root,
                client_attempt.number + 1,
                client_attempt.ingress_index,
            )

    def _on_client_timeout(self, client_attempt: ClientAttempt) -> None:
        if not client_attempt.finished:
            self._on_final_answer(client_attempt, rec.NONE, 0)

    def _on_client_quit(self, client_attempt: ClientAttempt) -> None:
        """An impatient client closes its connection and does not retry."""
        if client_attempt.finished:
            return
        client_attempt.finished = True
        self.record.tries.set(client_attempt.row, "kind", rec.GONE)
        ingress = self.ingresses[client_attempt.ingress_index]
        if (request := client_attempt.request) and not request.finished:
            self._deliver(
                ingress, request.ingress.incarnation, self._on_client_disconnected, request
            )

    def _on_client_disconnected(self, request: OpenRequest) -> None:
        if not request.finished:
            self._finish_request(request)
            self._dispatch(request.ingress, it.ClientGone(request.number))

    # Attempts.

    def _send(self, ingress: Ingress, number: int, server: int, timeout: int) -> None:
        request = ingress.requests.get(number)
        if request is None:
            ingress.pending_events.append(
                it.AttemptEnded(number, 0, server + 1, Outcome.MOOT, 0, True)
            )
            return
        attempt = Attempt(request, len(request.attempts), server, self.now)
        remaining = request.deadline - self.now - LAST_ATTEMPT_US
        limits = request.limits
        duplicate = request.in_flight > 0 and not limits.may_duplicate
        attempts_exhausted = len(request.attempts) >= limits.max_attempts
        request.attempts.append(attempt)
        request.in_flight += 1
        if request.finished or duplicate or attempts_exhausted or remaining <= 0:
            self._end_attempt(attempt, Outcome.MOOT)
            return
        if ingress.backend_status.get(server) != "up":
            self._end_attempt(attempt, Outcome.CONNECT_FAILED)
            return
        timeout_us = min(timeout, remaining) if timeout else remaining
        self.schedule(
            self.now + timeout_us,
            self._deliver,
            ingress,
            ingress.incarnation,
            self._on_attempt_timeout,
            attempt,
        )
        zone, idle_connections = self.day.servers[server].zone, ingress.idle_connections.get(server)
        linked = self.network.linked(ingress.zone, zone) and server not in self.vanished_servers
        latency = self.network.latency(ingress.zone, zone, self.rng.random())
        if idle_connections:
            idle_connections.pop()
            attempt.blackholed = not linked
            self._write_request(attempt, timeout_us, latency)
        elif not linked:
            attempt.connecting = True
            self.schedule(
                self.now + self._connect_timeout_us,
                self._deliver,
                ingress,
                ingress.incarnation,
                self._on_connect_failed,
                attempt,
            )
        else:
            attempt.connecting = True
            self.schedule(self.now + latency, self._accept_connection, attempt, timeout_us, latency)

    def _accept_connection(self, attempt: Attempt, timeout_us: int, latency: int) -> None:
        """Handle a new connection at the server."""
        if attempt.ended:
            return
        ingress, server = attempt.request.ingress, self.servers[attempt.server]
        self.record.dials.add(self.now, ingress.index, attempt.server)
        connected, finished_jobs = server.open(self.now)
        self._process_finished_jobs(attempt.server, finished_jobs)
        if not connected:
            self.schedule(
                self.now + latency,
                self._deliver,
                ingress,
                ingress.incarnation,
                self._on_connect_failed,
                attempt,
            )
            return
        handshake_us = int(2 * latency * max(0.5, server.kind.handshake_rtts - 0.5))
        self.schedule(
            self.now + handshake_us,
            self._deliver,
            ingress,
            ingress.incarnation,
            self._on_connected,
            attempt,
            timeout_us,
            latency,
        )

    def _on_connected(self, attempt: Attempt, timeout_us: int, latency: int) -> None:
        if attempt.ended:
            self.servers[attempt.server].close()
            return
        attempt.connecting = False
        self._write_request(attempt, timeout_us - (self.now - attempt.sent_at), latency)

    def _on_connect_failed(self, attempt: Attempt) -> None:
        if not attempt.ended:
            self._end_attempt(attempt, Outcome.CONNECT_FAILED)

    def _write_request(self, attempt: Attempt, timeout_us: int, latency: int) -> None:
        client_attempt = attempt.request.client_attempt
        attempt.row = self.record.sends.add(
            client_attempt.id,
            attempt.request.ingress.index,
            attempt.server,
            self.now,
            -1,
            -1,
            rec.OPEN,
            0,
            0,
        )
        if not attempt.blackholed:
            self.schedule(
                self.now + latency,
                self._on_request_received,
                attempt,
                self.now + timeout_us,
                latency,
            )

    def _on_request_received(self, attempt: Attempt, deadline: int, latency: int) -> None:
        """Handle the last byte of a request at the server."""
        server, arrival = self.servers[attempt.server], attempt.request.client_attempt.arrival
        if not server.alive:
            if not attempt.ended:
                ingress = attempt.request.ingress
                self.schedule(
                    self.now + latency,
                    self._deliver,
                    ingress,
                    ingress.incarnation,
                    self._on_reset,
                    attempt,
                )
            return
        self.record.sends.set(attempt.row, "whole", self.now)
        draw = arrival.draws[world_clients.ATTEMPT_DRAW + min(attempt.number, 5)]
        job = attempt.job = Job(attempt, arrival.work, deadline, draw)
        verdict, finished_jobs = server.offer(self.now, job)
        self._process_finished_jobs(attempt.server, finished_jobs)
        if attempt.ended and verdict is None:  # aborted in transit
            _, finished_jobs = server.cancel(self.now, job)
            self._process_finished_jobs(attempt.server, finished_jobs)
        if verdict is not None:
            self._on_job_finished(job, verdict)
        self._schedule_wakeup(attempt.server)

    def _on_reset(self, attempt: Attempt) -> None:
        if not attempt.ended:
            self._end_attempt(attempt, Outcome.RESET)

    def _schedule_wakeup(self, number: int) -> None:
        due = self.servers[number].next_event_at()
        if due and (due < self._wakeups.get(number, 1 << 62) or self._wakeups[number] < self.now):
            self._wakeups[number] = due
            self.schedule(due, self._on_wakeup, number, due)

    def _on_wakeup(self, number: int, due: int) -> None:
        if self._wakeups.get(number) == due:
            self._wakeups.pop(number)
            self._process_finished_jobs(number, self.servers[number].advance(self.now))

    def _process_finished_jobs(self, number: int, finished_jobs: list[tuple[Job, Verdict]]) -> None:
        server = self.servers[number]
        if server.failed_overloaded and not server.alive and number not in self._overloaded_servers:
            self._overloaded_servers.add(number)
            self.record.falls.add(self.now, number)
            self._on_server_exit(number)
        for job, verdict in finished_jobs:
            self._on_job_finished(job, verdict)
        if server.alive:
            self._schedule_wakeup(number)

    def _on_job_finished(self, job: Job, verdict: Verdict) -> None:
        """Record the end of a job and send its answer, unless the attempt has been abandoned."""
        attempt: Attempt = job.key  # type: ignore[assignment]
        ingress, sends = attempt.request.ingress, self.record.sends
        code = {
            Verdict.OK: rec.OK,
            Verdict.ERROR: rec.ERROR,
            Verdict.FULL: rec.FULL,
            Verdict.DOWN: rec.DOWN,
        }[verdict]
        sends.set(attempt.row, "ended", self.now)
        sends.set(attempt.row, "outcome", code)
        executed = job.target > 0 and verdict in (Verdict.OK, Verdict.ERROR)
        sends.set(attempt.row, "work", int(job.work) if executed else 0)
        if job.abandoned or attempt.ended:
            return
        zone = self.day.servers[attempt.server].zone
        if not self.network.linked(ingress.zone, zone) or attempt.server in self.vanished_servers:
            return
        latency = self.network.latency(ingress.zone, zone, self.rng.random())
        if self.network.reset_share and self.rng.random() < self.network.reset_share:
            verdict = Verdict.DOWN
        outcome = {
            Verdict.OK: Outcome.OK,
            Verdict.ERROR: Outcome.ERROR,
            Verdict.FULL: Outcome.FULL,
            Verdict.DOWN: Outcome.RESET,
        }[verdict]
        self.schedule(
            self.now + latency,
            self._deliver,
            ingress,
            ingress.incarnation,
            self._on_answer,
            attempt,
            outcome,
        )

    def _on_answer(self, attempt: Attempt, outcome: Outcome) -> None:
        """Handle an answer, or a reset, at the ingress."""
        if attempt.ended:
            return
        ingress, server = attempt.request.ingress, self.servers[attempt.server]
        if (
            outcome is not Outcome.RESET
            and server.alive
            and ingress.backend_status.get(attempt.server) == "up"
        ):
            ingress.idle_connections.setdefault(attempt.server, []).append(self.now)
        else:
            server.close()
        self._end_attempt(attempt, outcome)

    def _on_attempt_timeout(self, attempt: Attempt) -> None:
        if not attempt.ended:
            self._abort_attempt(
                attempt, Outcome.CONNECT_FAILED if attempt.connecting else Outcome.TIMEOUT
            )

    def _abort_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        """The ingress closes the connection of an attempt."""
        if not attempt.connecting:
            self.servers[attempt.server].close()
            if attempt.job and not attempt.blackholed:
                zone = self.day.servers[attempt.server].zone
                latency = self.network.latency(
                    attempt.request.ingress.zone, zone, self.rng.random()
                )
                self.schedule(self.now + latency, self._cancel_job, attempt)
        self._end_attempt(attempt, outcome)

    def _cancel_job(self, attempt: Attempt) -> None:
        if attempt.job and attempt.job.state in ("waiting", "working", "failing"):
            cancelled, finished_jobs = self.servers[attempt.server].cancel(self.now, attempt.job)
            self._process_finished_jobs(attempt.server, finished_jobs)
            if cancelled:
                self.record.sends.set(attempt.row, "ended", self.now)
                self.record.sends.set(attempt.row, "outcome", rec.CANCELLED)

    def _end_attempt(self, attempt: Attempt, outcome: Outcome) -> None:
        request = attempt.request
        ingress = request.ingress
        attempt.ended, attempt.request.in_flight = True, request.in_flight - 1
        if outcome is Outcome.OK and not request.finished:
            request.finished = True
            if attempt.row >= 0:
                self.record.sends.set(attempt.row, "useful", 1)
            self._answer(request.client_attempt, rec.SERVED)
        self._release_request(request)
        latency = self.now - attempt.sent_at
        event = it.AttemptEnded(
            request.number, attempt.number, attempt.server + 1, outcome, latency, request.finished
        )
        self._dispatch(ingress, event)

    # The counter.

    def _call_counter(self, ingress: Ingress, name: int, amount: float, ttl: int) -> None:
        counter_zone = 0  # the counter runs in the first zone
        linked = self.network.linked(ingress.zone, counter_zone)
        latency = self.network.latency(ingress.zone, counter_zone, self.rng.random())
        answered = [False]
        self.schedule(
            self.now + ingress.settings.counter.timeout,
            self._on_counter_answer,
            ingress,
            ingress.incarnation,
            name,
            answered,
            Outcome.TIMEOUT,
            0.0,
            self.now,
        )
        if linked:
            self.schedule(
                self.now + latency,
                self._on_counter_call,
                ingress,
                ingress.incarnation,
                name,
                amount,
                ttl,
                answered,
                latency,
                self.now,
            )

    def _on_counter_call(
        self,
        ingress: Ingress,
        incarnation: int,
        name: int,
        amount: float,
        ttl: int,
        answered: list[bool],
        latency: int,
        called_at: int,
    ) -> None:
        answer = self.counter.add(self.now, name, amount, ttl, self.rng.random())
        self.record.calls.add(self.now, list(world_counter.CallStatus).index(answer.status))
        if answer.status is not world_counter.CallStatus.LOST and self.network.linked(
            ingress.zone, 0
        ):
            self.schedule(
                answer.answered_at + latency,
                self._on_counter_answer,
                ingress,
                incarnation,
                name,
                answered,
                COUNTER_OUTCOMES[answer.status],
                answer.total,
                called_at,
            )

    def _on_counter_answer(
        self,
        ingress: Ingress,
        incarnation: int,
        name: int,
        answered: list[bool],
        outcome: Outcome,
        total: float,
        called_at: int,
    ) -> None:
        if not answered[0]:
            answered[0] = True
            event = it.CountAnswered(name, outcome, total, self.now - called_at)
            self._deliver(ingress, incarnation, self._dispatch, ingress, event)

    # Discovery.

    def _change_list(self, server: int, status: str, started: int) -> None:
        for ingress_index, when in self.discovery.change(self.now, server, status, started).items():
            self.schedule(when, self._notify, ingress_index)

    def _notify(self, ingress_index: int) -> None:
        ingress = self.ingresses[ingress_index]
        if ingress.alive:
            self._deliver(ingress, ingress.incarnation, self._apply_update, ingress)

    def _apply_update(self, ingress: Ingress) -> None:
        version, entries = self.discovery.take_update(ingress.index)
        if not entries:
            return
        for entry in entries:
            previous, statuses = ingress.backend_status.get(entry.server), ingress.backend_status
            if entry.status == "removed":
                statuses.pop(entry.server, None)
            else:
                statuses[entry.server] = entry.status
            self.record.tells.add(self.now, ingress.index, entry.server, STATUS_CODES[entry.status])
            if entry.status != "up" or previous != "up":
                self._close_idle_connections(ingress, entry.server)
        ingress.pending_events.append(
            it.BackendsListed(it.ListKind.DELTA, version, self._listed_backends(entries))
        )
        self._abort_connecting(ingress, {e.server for e in entries if e.status != "up"})
        if not ingress.dispatching and ingress.pending_events:
            self._dispatch(ingress, ingress.pending_events.popleft())

    def _abort_connecting(self, ingress: Ingress, servers: set[int]) -> None:
        """Fail the attempts that are still connecting to one of these servers."""
        for request in list(ingress.requests.values()) if servers else []:
            for attempt in request.attempts:
                if not attempt.ended and attempt.connecting and attempt.server in servers:
                    attempt.ended, request.in_flight = True, request.in_flight - 1
                    self._release_request(request)
                    latency = self.now - attempt.sent_at
                    ingress.pending_events.append(
                        it.AttemptEnded(
                            request.number,
                            attempt.number,
                            attempt.server + 1,
                            Outcome.CONNECT_FAILED,
                            latency,
                            request.finished,
                        )
                    )

    def _close_idle_connections(self, ingress: Ingress, server: int) -> None:
        for _ in ingress.idle_connections.pop(server, []):
            self.servers[server].close()

    # Steps of the scenario's faults.

    def _run_step(self, step: Step) -> None:
        match step.verb:
            case "kill":
                self._kill(step.target)
            case "restart":
                self._restart(step.target)
            case "stop":
                self._pause(step.target)
            case "go_on":
                self._resume(step.target)
            case "terminate":
                self._terminate(step.target)
            case "upgrade":  # hot upgrade: the policy keeps its state, so nothing changes here
                pass
            case "reload":
                self._reload(step.settings)
            case "cut":
                self.network.partitioned_zones.add(step.target)
            case "mend":
                self.network.partitioned_zones.discard(step.target)
            case "vanish":
                self._vanish(step.target)
            case "begin":
                self._start_server(step.target)
            case "slow":
                self.servers[step.target].slowdown = step.value
            case "failing":
                self.servers[step.target].failure_share = step.value
            case "replace":
                self._replace(step.target)
            case "drain" | "undrain":
                self._drain(step.target, step.verb == "drain")
            case "discovery_down":
                self.discovery.up = False
            case "discovery_up":
                self._restore_discovery()
            case "counter_down":
                self.counter.stop()
            case "counter_up":
                self.counter.restart(self.now)
            case "counter_spoilt":
                self.counter.invalid_share = step.value
            case "resets":
                self.network.reset_share = step.value
            case _:
                raise ValueError(step.verb)

    def _kill(self, ingress_index: int) -> None:
        ingress = self.ingresses[ingress_index]
        if not ingress.alive:
            return
        ingress.alive = False
        row = self.record.absent.add(ingress_index, self.now, -1)
        self._absence_rows[ingress_index] = row
        for request in list(ingress.requests.values()):
            for attempt in request.attempts:
                if not attempt.ended:
                    attempt.ended = True
                    if not attempt.connecting:
                        self.servers[attempt.server].close()
                    self._cancel_job(attempt)
            if not request.finished:
                request.finished = True
                self._answer(request.client_attempt, rec.UNREACHED)
        for number in list(ingress.idle_connections):
            self._close_idle_connections(ingress, number)
        ingress.requests.clear()
        notice_us = int(self.day.network["front_notice_s"] * SECOND)
        self.schedule(self.now + notice_us, self._mark_down, ingress_index, ingress.incarnation)

    def _mark_down(self, ingress_index: int, incarnation: int) -> None:
        if (
            not self.ingresses[ingress_index].alive
            and self.ingresses[ingress_index].incarnation == incarnation
        ):
            self.known_down.add(ingress_index)

    def _restart(self, ingress_index: int) -> None:
        ingress = self.ingresses[ingress_index]
        if ingress.alive and not ingress.terminating:
            return
        self.schedule(self.now + RESTART_US, self._start_new_process, ingress_index)

    def _start_new_process(self, ingress_index: int) -> None:
        previous = self.ingresses[ingress_index]
        self.record.absent.set(self._absence_rows[ingress_index], "to", self.now)
        self.ingresses[ingress_index] = ingress = self._start_ingress(
            ingress_index, previous.incarnation + 1
        )
        self.known_down.discard(ingress_index)
        self._apply_update(ingress)

    def _terminate(self, ingress_index: int) -> None:
        """SIGTERM: after `ACCEPT_PERIOD_US` the front sends no new connections; open requests are
        finished, then the process restarts."""
        ingress = self.ingresses[ingress_index]
        ingress.terminating, ingress.accepts_until = True, self.now + ACCEPT_PERIOD_US
        self.schedule(self.now + ACCEPT_PERIOD_US, self.known_down.add, ingress_index)
        self.schedule(
            self.now + ACCEPT_PERIOD_US, self._exit_when_idle, ingress_index, ingress.incarnation
        )

    def _exit_when_idle(self, ingress_index: int, incarnation: int) -> None:
        ingress = self.ingresses[ingress_index]
        if ingress.incarnation != incarnation or not ingress.alive:
            return
        if ingress.requests:
            self.schedule(self.now + 50_000, self._exit_when_idle, ingress_index, incarnation)
            return
        self._kill(ingress_index)
        self._restart(ingress_index)

    def _pause(self, ingress_index: int) -> None:
        ingress = self.ingresses[ingress_index]
        ingress.paused = True
        self._absence_rows[ingress_index] = self.record.absent.add(ingress_index, self.now, -1)
        notice_us = int(self.day.network["front_notice_s"] * SECOND)
        self.schedule(
            self.now + notice_us,
            lambda: self.known_down.add(ingress_index) if ingress.paused else None,
        )

    def _resume(self, ingress_index: int) -> None:
        ingress = self.ingresses[ingress_index]
        ingress.paused = False
        self.record.absent.set(self._absence_rows[ingress_index], "to", self.now)
        self.known_down.discard(ingress_index)
        deferred, ingress.deferred = ingress.deferred, []
        for callback, args in deferred:
            callback(*args)

    def _on_server_exit(self, number: int) -> None:
        """A server process has ended; discovery lists it as removed after its detection delay."""
        for ingress in self.ingresses:
            ingress.idle_connections.pop(number, None)
        vanished = number in self.vanished_servers
        wait = self.day.discovery["silent_notice_s" if vanished else "notice_s"]
        self.schedule(
            self.now + int(wait * SECOND), self._list_removed, number, self.servers[number].started
        )

    def _list_removed(self, number: int, started: int) -> None:
        if not self.servers[number].alive and self.servers[number].started == started:
            self._change_list(number, "removed", started)

    def _vanish(self, number: int) -> None:
        """A server disappears silently: connections stay open and deliver nothing."""
        if not self.servers[number].alive:
            return
        self.vanished_servers.add(number)
        idle_connections = {
            ingress.index: ingress.idle_connections[number]
            for ingress in self.ingresses
            if ingress.idle_connections.get(number)
        }
        self.servers[number].terminate(self.now)
        self._on_server_exit(number)
        # The ingresses are not notified: their idle connections look unchanged.
        for ingress in self.ingresses:
            if ingress.index in idle_connections:
                ingress.idle_connections[number] = idle_connections[ingress.index]

    def _start_server(self, number: int) -> None:
        self.vanished_servers.discard(number)
        for ingress in self.ingresses:
            ingress.idle_connections.pop(number, None)
        self.servers[number].start(self.now)
        self._overloaded_servers.discard(number)
        self.schedule(
            self.now + int(self.day.discovery["add_s"] * SECOND), self._list_up, number, self.now
        )

    def _list_up(self, number: int, started: int) -> None:
        if self.servers[number].alive and self.servers[number].started == started:
            self._change_list(number, "up", started)

    def _replace(self, number: int) -> None:
        """Release: drain the server; once all ingresses know and its work is done, start a new,
        cold process."""
        self._drain(number, True)
        grace_us = int(
            (self.day.discovery["period_ms"] + self.day.discovery["spread_ms"] + 500) * 1000
        )
        self.schedule(self.now + grace_us, self._replace_when_idle, number)

    def _replace_when_idle(self, number: int) -> None:
        server = self.servers[number]
        if not server.alive:
            return
        if server.request_count() and self.now < self.day.length:
            self._process_finished_jobs(number, server.advance(self.now))
            self.schedule(self.now + 100_000, self._replace_when_idle, number)
            return
        self._process_finished_jobs(number, server.terminate(self.now))
        self._start_server(number)

    def _drain(self, number: int, draining: bool) -> None:
        server = self.servers[number]
        if not server.alive:
            return
        self._change_list(number, "draining" if draining else "up", server.started)

    def _restore_discovery(self) -> None:
        self.discovery.up = True
        for ingress_index, when in self.discovery.notification_times(self.now).items():
            self.schedule(when, self._notify, ingress_index)

    def _reload(self, changes: dict[str, float]) -> None:
        self._changed_settings = self._changed_settings | changes
        for ingress in self.ingresses:
            ingress.settings = settings_from_json(
                json.dumps(self.day.raw_settings(ingress.index, self._changed_settings)).encode()
            )
            self._dispatch(ingress, it.SettingsChanged(ingress.settings))

    # Global view.

    def load(self, backend: int) -> float:
        server = self.servers[backend - 1]
        if not server.alive or server.draining or backend - 1 in self.vanished_servers:
            return float("inf")
        mean_work = sum(c.share * c.work_us for c in self.day.classes)
        return max(
            mean_work,
            (server.request_count() + 1) * mean_work / max(1e-9, server.capacity(self.now)),
        )


def simulate(day: Day, make_policy: PolicyFactory) -> Record:
    """Simulate a day with one policy per ingress, and return what was recorded."""
    return Simulation(day, make_policy).run()
