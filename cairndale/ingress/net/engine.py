"""Drives the request policy: owns open requests, attempts, deadlines and timers.

The engine is the only caller of the policy's `handle`. It passes events to the policy and carries
out the actions that the policy returns, by calls to the upstream connections, the counter clients
and the downstream connections. It uses no sockets itself, so that tests can run it on a simulated
clock.
"""

from __future__ import annotations

import logging
import math
import time
from collections import Counter, deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace
from typing import Any, Protocol, TypeVar
from zlib import crc32

from cairndale.ingress.net.bodies import Upload
from cairndale.ingress.net.discovery import EndpointEntry, EndpointUpdate
from cairndale.ingress.policy import interface as it
from cairndale.ingress.policy.interface import Outcome

RESPONSE_MARGIN_US = 10_000  # the client is answered this long before its deadline
ATTEMPT_MARGIN_US = 15_000  # attempts time out this long before the client's deadline
BACKEND_STATES = {
    "up": it.BackendState.READY,
    "draining": it.BackendState.DRAINING,
    "removed": it.BackendState.GONE,
}

log = logging.getLogger(__name__)

# The encoded request of an attempt, or a function that encodes it when its first byte is written.
# The function returns None to withdraw the attempt.
RequestData = bytes | Callable[[], bytes | None]


class Clock:
    """Unix time in us, read once and then advanced by the monotonic clock, so it never goes back.

    Wall-clock time is needed because the policy names quota windows by it, and the names must be
    the same at every ingress.
    """

    def __init__(self) -> None:
        self._base = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def now(self) -> int:
        """Return the current time in us."""
        return self._base + time.monotonic_ns() // 1000


class Timer(Protocol):
    """A timer of the event loop."""

    def cancel(self) -> None: ...


class Loop(Protocol):
    """The part of the event loop that the engine uses."""

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Timer: ...


class Exchange(Protocol):
    """One attempt at a backend."""

    def abort(self) -> bool:
        """Abort the attempt. Return False if its last byte was never written, so it has not run."""

    def pause(self, paused: bool) -> None:
        """Pause or resume reading the response."""


@dataclass(slots=True)
class AttemptResult:
    """The outcome of an attempt; for OK, with the backend's response."""

    outcome: Outcome
    body: bytes = b""
    content_type: bytes = b""
    load: bytes = b""
    length: int | None = None  # Content-Length; None: not announced
    status: int = 200
    fields: bytes = b""  # further header fields to forward, each terminated by CRLF


@dataclass(slots=True)
class AttemptContext:
    """The request body that an attempt streams, and the callbacks for a streamed response."""

    upload: Upload | None
    # Called with the head of a streamed response; returns False if the response is not needed.
    on_head: Callable[[AttemptResult], bool]
    on_body_part: Callable[[bytes], None]
    timeout_s: float = math.inf  # for the whole attempt
    # Responses may carry the request's id, which is the same for all attempts of the request.
    request_id: bytes = b""


class Upstreams(Protocol):
    """The connections to all backends."""

    def update_endpoint(self, entry: EndpointEntry, backend: int) -> None:
        """Store an endpoint's new entry, before the policy receives it."""

    def apply_updates(self, removed: Iterable[int]) -> None:
        """Drain the pools whose entries have changed, and drop those of removed backends."""

    def set_maintenance(self, backend: int, in_maintenance: bool) -> None:
        """Drain a backend for maintenance, whatever its listed status, or put it back."""

    def send(
        self,
        backend: int,
        data: RequestData,
        on_result: Callable[[AttemptResult], None],
        context: AttemptContext | None = None,
    ) -> Exchange:
        """Send an attempt. `on_result` is called once, when it ends, unless it is aborted."""

    def probe(self, backend: int, on_result: Callable[[AttemptResult], None]) -> None:
        """Query the backend's load."""
        ...

    def close_idle(self, backend: int) -> None:
        """Close the backend's idle connections."""
        ...


# Encodes the request of an attempt, from the backend's name and the time for its response in us.
# Returns None if the attempt must not be sent any more.
RequestBuilder = Callable[[str, int], bytes | None]


class CounterCallback(Protocol):
    """Receives the result of a call to the quota counter."""

    def __call__(self, outcome: Outcome, total: float, units_left: float | None = None, /) -> None:
        """`units_left`: units in the token bucket, if the counter itself keeps the buckets."""


class CounterClient(Protocol):
    """A client of a counter that only adds up quota units."""

    def add(self, name: int, amount: float, ttl_us: int, callback: CounterCallback) -> None:
        """Add `amount` to the counter `name`, which expires after `ttl_us`."""
        ...


class LeaseClient(Protocol):
    """A client of a counter that keeps the customers' token buckets itself, and leases units."""

    def lease(self, customer: int, amount: float, spent: float, callback: CounterCallback) -> None:
        """Lease `amount` units, and report `spent` units that were spent without a lease."""


class BudgetClient(Protocol):
    """A client that acquires units of the budgets that all ingresses share."""

    def acquire(self, units: tuple[it.BudgetUnit, ...], on_answer: Callable[[int], None]) -> None:
        """Acquire one of each unit, or none.

        `on_answer` is called with the time until which the units are valid (us), or with 0.
        """


class Downstream(Protocol):
    """The client connection that a request is answered on."""

    def send_response(self, result: AttemptResult) -> None:
        """Send a complete response."""
        ...

    def reject(self, retry_after: int, status: int = 429) -> None:
        """Reject the request; `retry_after` in us, 0: without advice."""
        ...

    def fail(self, timed_out: bool) -> None:
        """Answer that the request failed, or that its deadline has passed."""
        ...

    def begin_stream(self, result: AttemptResult, source: Exchange) -> None:
        """Send the head of a streamed response; `source` is paused while the client is slow."""

    def write_body(self, data: bytes) -> None:
        """Send a part of a streamed response's body."""
        ...

    def end_stream(self) -> None:
        """Complete a streamed response."""
        ...

    def abort_stream(self) -> None:
        """Abort a streamed response, so that the client can tell that it is incomplete."""
        ...


@dataclass(slots=True)
class ClientRequest:
    """A valid request of a client."""

    id: bytes
    cls: int  # number of the request class
    plan: int
    customer: int
    units: float
    spread: int  # number of ingresses that receive this customer's requests
    first_ingress: int
    timeout: int  # us
    began_at: int  # when its first byte was received, us on the engine's clock
    is_retry: bool
    head: bytes  # the head to forward to a backend, without Request-Timeout
    body: bytes
    upload: Upload | None = None  # the body, if it is streamed
    service: int = 0
    regions: frozenset[int] | None = None  # regions that may serve it; None: all
    priority: int = 0
    # Encodes the request when its first byte is written, in place of `head` and `body`.
    build: RequestBuilder | None = None


class Attempt:
    """One attempt of a request at one backend."""

    __slots__ = ("backend", "ended", "exchange", "number", "response_timeout", "sent_at", "timer")

    def __init__(self, number: int, backend: int, sent_at: int) -> None:
        self.number, self.backend, self.sent_at, self.ended = number, backend, sent_at, False
        self.response_timeout = 0  # us, from the last byte of the request on
        self.exchange: Exchange | None = None
        self.timer: Timer | None = None


class BudgetWait:
    """Stands for the exchange of an attempt that waits for budget units; nothing is written yet."""

    def abort(self) -> bool:
        """Return False, as nothing was written."""
        return False

    def pause(self, paused: bool) -> None:
        """Do nothing: there is no response yet."""


class OpenRequest:
    """A request from its arrival until its response and all its attempts have ended."""

    __slots__ = (
        "attempts",
        "attempts_in_flight",
        "client",
        "client_request",
        "deadline",
        "decided",
        "limits",
        "number",
        "streaming",
        "timer",
    )

    def __init__(
        self,
        number: int,
        client_request: ClientRequest,
        client: Downstream,
        deadline: int,
        limits: it.Limits,
    ) -> None:
        self.number, self.client_request, self.client, self.deadline = (
            number,
            client_request,
            client,
            deadline,
        )
        self.limits = limits  # in force when the request arrived
        self.decided, self.attempts_in_flight = False, 0
        # The attempt whose response is being streamed to the client.
        self.streaming: Attempt | None = None
        self.attempts: list[Attempt] = []
        self.timer: Timer | None = None


class Observer(Protocol):
    """Receives the outcomes of requests, attempts and counter calls, for metrics and logs.

    Implemented in `cairndale/ingress/observability/`. The methods must not block. Times are in us.
    """

    def request(self, client_request: ClientRequest, outcome: str, us: int, attempts: int) -> None:
        """A request has ended, `us` after its first byte.

        `outcome` is one of: served; refused (without advice); advised (rejected with Retry-After);
        unheard (not processed: it arrived too late, or too many requests were open); failed;
        overdue (its deadline has passed); broken (its response was aborted); left (the client
        disconnected).
        """

    def attempt(self, backend: int, outcome: Outcome, us: int) -> None:
        """An attempt has ended."""
        ...

    def counter_called(self, outcome: Outcome, us: int) -> None:
        """A call to the quota counter has ended."""
        ...


class Policy(Protocol):
    """The request policy; pure."""

    def handle(self, now: int, event: it.Event) -> list[it.Action]:
        """Return the actions that follow from an event at `now`, in us."""
        ...


class Engine:
    """Carries out the policy's decisions for all open requests of one ingress."""

    def __init__(
        self,
        policy: Policy,
        settings: it.Settings,
        names: NameTable,
        loop: Loop,
        now: Callable[[], int],
    ) -> None:
        self.settings, self.names, self.now = settings, names, now
        self.upstreams: Upstreams
        self.counter: CounterClient | None = None
        self.lease_client: LeaseClient | None = None  # used instead of `counter`
        self.budget_client: BudgetClient | None = None
        self.observer: Observer | None = None
        # Whether responses still being streamed at the deadline are aborted.
        self.aborts_streams_at_deadline = False
        self.on_idle: Callable[[], None] = lambda: None  # no request is open any more
        self.open_count = 0  # requests not yet answered
        self._policy, self._loop = policy, loop
        # Status of a rejection beyond the quota, and of one for lack of capacity.
        self.rejection_statuses = (429, 429)
        self.describe_endpoint: Callable[[EndpointEntry, int], it.ListedBackend] = self._describe
        self._requests: dict[int, OpenRequest] = {}
        self._number_by_id: dict[bytes, int] = {}
        self._last_number = 0
        self._backends: dict[str, int] = {}  # numbers by name; a name keeps its number forever
        self._listed_names: dict[int, str] = {}  # names by number, of listed backends only
        self._entries: dict[str, EndpointEntry] = {}
        self.in_maintenance: set[str] = set()  # names of backends under maintenance
        self._events: deque[it.Event] = deque()
        self._processing = False

    # Events from clients, discovery and operators.

    def request_arrived(self, client_request: ClientRequest, client: Downstream) -> bool:
        """Process a new request. Return False if a request with the same id is still open."""
        if client_request.id in self._number_by_id:
            return False
        now = self.now()
        time_left = client_request.timeout - (now - client_request.began_at)
        if time_left <= RESPONSE_MARGIN_US or 0 < self.settings.limits.max_open <= self.open_count:
            # No attempt was sent, so the policy need not receive this request.
            client.reject(0, self.rejection_statuses[1])
            if self.observer:
                self.observer.request(client_request, "unheard", now - client_request.began_at, 0)
            return True
        self._last_number += 1
        request = OpenRequest(
            self._last_number, client_request, client, now + time_left, self.settings.limits
        )
        self._requests[request.number], self._number_by_id[client_request.id] = (
            request,
            request.number,
        )
        self.open_count += 1
        if client_request.upload and not client_request.upload.complete:
            # The deadline counts from the last byte of the body.
            client_request.upload.on_complete = lambda: self._body_received(request)
        else:
            request.timer = self._loop.call_later(
                (time_left - RESPONSE_MARGIN_US) / 1e6, self._deadline_passed, request
            )
        self._post(
            it.RequestArrived(
                request.number,
                client_request.cls,
                client_request.plan,
                client_request.customer,
                client_request.units,
                time_left,
                client_request.first_ingress,
                client_request.spread,
                client_request.is_retry,
                client_request.upload is not None,
                client_request.service,
                client_request.regions,
                client_request.priority,
            )
        )
        return True

    def client_disconnected(self, id: bytes) -> None:
        """Abort or forget the request with this id: its client has disconnected."""
        request = self._requests.get(self._number_by_id.get(id, 0))
        if request and request.streaming and request.streaming.exchange:
            self._abort_stream(request)
        elif request and not request.decided:
            self._observe(request, "left")
            self._finish(request)
            self._post(it.ClientGone(request.number))

    def update_endpoints(self, update: EndpointUpdate, kind: it.ListKind | None = None) -> None:
        """Apply an update of the endpoint list.

        The policy processes the update before the attempts at removed backends end, so that it
        chooses backends for their retries from the new list.
        """
        kind = kind or (it.ListKind.FULL if update.full else it.ListKind.DELTA)
        described = []
        for entry in update.entries:
            number = self._backends.setdefault(entry.name, len(self._backends) + 1)
            self._listed_names[number] = entry.name
            described.append(self.describe_endpoint(entry, number))
            self.upstreams.update_endpoint(entry, number)
        listed = {e.name: e for e in update.entries if e.status != "removed"}
        removed = {e.name for e in update.entries if e.status == "removed"}
        removed |= self._entries.keys() - listed.keys() if update.full else set()
        self._entries = {n: e for n, e in (self._entries | listed).items() if n not in removed}
        self._events.append(it.BackendsListed(kind, update.index, tuple(described)))
        for name in removed:
            self._listed_names.pop(self._backends.get(name, 0), None)
        self.upstreams.apply_updates([self._backends[n] for n in removed if n in self._backends])
        self._process_events()

    def entries(self) -> list[EndpointEntry]:
        """Return the endpoint list."""
        return list(self._entries.values())

    def update_settings(self, settings: it.Settings, raw: dict[str, Any]) -> None:
        """Apply new settings to the engine and the policy.

        Open requests keep the limits that were in force when they arrived.
        """
        before = self.settings
        self.settings = replace(
            settings,
            classes=_merge_by_name(before.classes, settings.classes),
            plans=_merge_by_name(before.plans, settings.plans),
        )
        self.names = NameTable(self.settings, raw, settings)
        self._post(it.SettingsChanged(self.settings))

    def set_maintenance(self, name: str, in_maintenance: bool) -> bool:
        """Start or end maintenance of a backend, independently of its listed status.

        Return False if no backend of that name was ever listed.
        """
        if name not in self._backends:
            return False
        (self.in_maintenance.add if in_maintenance else self.in_maintenance.discard)(name)
        self._events.append(it.MaintenanceChanged(self._backends[name], in_maintenance))
        self.upstreams.set_maintenance(self._backends[name], in_maintenance)
        self._process_events()
        return True

    def restore_maintenance(self, names: Iterable[str]) -> None:
        """Restore the maintenance set of an earlier process; the backends need not be listed."""
        for name in names:
            self._backends.setdefault(name, len(self._backends) + 1)
            self.set_maintenance(name, True)

    def backend_name(self, backend: int) -> str:
        """Return the name of a listed backend; an empty string if it is not listed."""
        return self._listed_names.get(backend, "")

    def is_known(self, name: str) -> bool:
        """Return whether a backend of this name was ever listed."""
        return name in self._backends

    def can_serve(self) -> bool:
        """Return whether any backend is up and not under maintenance."""
        return any(
            e.status == "up" and e.name not in self.in_maintenance for e in self._entries.values()
        )

    # Hand-over to the process that replaces this one, or from the one that this one replaces.

    def dump_state(self) -> dict[str, Any]:
        """Return the names behind the policy's numbers, the endpoint list, and the maintenance set.

        The successor restores it by `restore_state`.
        """
        return {
            "backends": self._backends,
            "classes": [c.name for c in self.settings.classes],
            "plans": [p.name for p in self.settings.plans],
            "entries": [e.to_raw() for e in self._entries.values()],
            "maintained": sorted(self.in_maintenance),
        }

    def restore_state(self, state: dict[str, Any], index: int) -> tuple[list[int], list[int]]:
        """Restore the state that the predecessor dumped; `index`: version of its endpoint list.

        Backends keep their numbers. Return the present numbers of the predecessor's classes and
        plans, matched by name; -1: not configured any more.
        """
        present = [c.name for c in self.settings.classes], [p.name for p in self.settings.plans]
        classes, plans = (
            [now.index(name) if name in now else -1 for name in before]
            for now, before in zip(present, (state["classes"], state["plans"]), strict=True)
        )
        update = EndpointUpdate({"index": index, "snapshot": True, "endpoints": state["entries"]})
        self._backends = {str(name): int(number) for name, number in state["backends"].items()}
        self.restore_maintenance(state["maintained"])
        self.update_endpoints(update, it.ListKind.CACHED)
        return classes, plans

    def in_flight_counts(self) -> dict[str, list[tuple[int, int]]]:
        """Return the attempts in flight by backend and by customer, for the other process."""
        attempts: Counter[int] = Counter()
        customers: Counter[int] = Counter()
        for request in self._requests.values():
            backends = [attempt.backend for attempt in request.attempts if not attempt.ended]
            attempts.update(backends)
            customers[request.client_request.customer] += len(backends)
        return {"attempts": list(attempts.items()), "customers": list(customers.items())}

    def set_predecessor_load(self, load: dict[str, list[tuple[int, int]]]) -> None:
        """Pass the other process's attempts in flight (`in_flight_counts`) to the policy."""
        attempts, customers = (
            {int(k): int(n) for k, n in load[key]} for key in ("attempts", "customers")
        )
        self._post(it.PredecessorLoad(attempts, customers))

    def fail_all(self) -> None:
        """Fail all open requests, as the process is about to exit."""
        for request in list(self._requests.values()):
            self._deadline_passed(request)
            self._abort_stream(request)

    def _abort_stream(self, request: OpenRequest) -> None:
        """Abort the response that is being streamed, if any."""
        if request.streaming and request.streaming.exchange:
            request.streaming.exchange.abort()
            self._attempt_ended(request, request.streaming, AttemptResult(Outcome.CANCELLED))

    # Events to the policy, actions from it.

    def _post(self, event: it.Event) -> None:
        self._events.append(event)
        self._process_events()

    def _process_events(self) -> None:
        """Pass queued events to the policy, and carry out its actions.

        Events that arise from these actions are queued, as the policy is not reentrant.
        """
        if self._processing:
            return
        self._processing = True
        try:
            while self._events:
                event = self._events.popleft()
                try:
                    for action in self._policy.handle(self.now(), event):
                        self._execute(action)
                except Exception:
                    # A failure on one event must not end the process. The request's client is
                    # answered at its deadline.
                    log.exception("while handling %s", type(event).__name__)
        finally:
            self._processing = False

    def _execute(self, action: it.Action) -> None:
        match action:
            case it.SendAttempt():
                self._send(action)
            case it.Refuse(number, retry_after, beyond):
                if request := self._undecided(number):
                    self._observe(request, "advised" if retry_after else "refused")
                    self._finish(request)
                    advice = retry_after if self.settings.limits.advises_retry else 0
                    request.client.reject(advice, self.rejection_statuses[not beyond])
            case it.Fail(number):
                if request := self._undecided(number):
                    self._observe(request, "failed")
                    self._finish(request)
                    request.client.fail(timed_out=False)
            case it.CancelAttempt(number, attempt):
                self._cancel(number, attempt)
            case it.SetTimer(token, at):
                self._loop.call_later(max(0, at - self.now()) / 1e6, self._timer_fired, token)
            case it.AddToCounter():
                self._call_counter(action)
            case it.Probe(backend):
                self._probe(backend)
            case it.CloseIdle(backend):
                self.upstreams.close_idle(backend)
            case it.Log(text):
                log.info("%s", text)
            case _:  # the discovery watch is always open, and ingresses send no peer messages
                log.debug("action ignored: %s", action)

    def _undecided(self, number: int) -> OpenRequest | None:
        request = self._requests.get(number)
        return None if request is None or request.decided else request

    def _finish(self, request: OpenRequest) -> None:
        self._decide(request)
        self._release(request)

    def _observe(self, request: OpenRequest, outcome: str) -> None:
        if self.observer:
            client_request = request.client_request
            self.observer.request(
                client_request, outcome, self.now() - client_request.began_at, len(request.attempts)
            )

    def open_requests(self, limit: int) -> list[dict[str, Any]]:
        """Return a report on the oldest open requests, for operators."""
        now, names = self.now(), {number: name for name, number in self._backends.items()}
        report = []
        for request in list(self._requests.values())[:limit]:
            backends = [names.get(a.backend, "?") for a in request.attempts if not a.ended]
            phase = "over" if request.decided else "sent" if backends else "waiting"
            phase = "passing on" if request.streaming else phase
            report.append(
                {
                    "id": request.client_request.id.decode("latin-1"),
                    "age_ms": (now - request.client_request.began_at) // 1000,
                    "class": self.settings.classes[request.client_request.cls].name,
                    "phase": phase,
                    "servers": backends,
                    "attempts": len(request.attempts),
                    "left_ms": (request.deadline - now) // 1000,
                }
            )
        return report

    def _decide(self, request: OpenRequest) -> None:
        """Mark that the request's response is determined: no other attempt can answer it."""
        request.decided = True
        if request.timer:
            request.timer.cancel()
        if request.client_request.upload:
            request.client_request.upload.discard()

    def _release(self, request: OpenRequest) -> None:
        self.open_count -= 1
        self._forget(request)
        if self.open_count == 0:
            self.on_idle()

    def _forget(self, request: OpenRequest) -> None:
        """Free the request's id once it is answered and none of its attempts is in flight."""
        if request.decided and request.attempts_in_flight == 0 and request.number in self._requests:
            del self._requests[request.number], self._number_by_id[request.client_request.id]

    def _deadline_passed(self, request: OpenRequest) -> None:
        if not request.decided:
            self._observe(request, "overdue")
            self._finish(request)
            request.client.fail(timed_out=True)
            self._post(it.ClientGone(request.number))

    # Attempts.

    def _send(self, action: it.SendAttempt) -> None:
        number, backend, timeout = action.request, action.backend, action.timeout
        request, now = self._requests.get(number), self.now()
        attempt = Attempt(len(request.attempts) if request else 0, backend, now)
        if request is None:
            self._events.append(it.AttemptEnded(number, 0, backend, Outcome.MOOT, 0, True))
            return
        upload = request.client_request.upload
        streaming = upload is not None and not upload.complete
        time_left = (
            request.client_request.timeout if streaming else request.deadline - now
        ) - ATTEMPT_MARGIN_US
        limits, duplicate = (
            request.limits,
            request.attempts_in_flight > 0 and not request.limits.may_duplicate,
        )
        exhausted = len(request.attempts) >= limits.max_attempts
        request.attempts.append(attempt)
        request.attempts_in_flight += 1
        if (
            request.decided
            or exhausted
            or duplicate
            or time_left <= 0
            or (upload and upload.consumed)
        ):
            self._attempt_ended(request, attempt, AttemptResult(Outcome.MOOT))
            return
        response_timeout = min(timeout, time_left) if timeout else time_left
        attempt.response_timeout = response_timeout
        if not streaming:
            attempt.timer = self._loop.call_later(
                response_timeout / 1e6, self._attempt_timed_out, request, attempt
            )
        if not action.budget_units:
            self._write(request, attempt, now + response_timeout, action.send_by)
        elif self.budget_client is None:
            self._attempt_ended(request, attempt, AttemptResult(Outcome.MOOT))
        else:
            end, attempt.exchange = now + response_timeout, BudgetWait()
            self.budget_client.acquire(
                action.budget_units,
                lambda until: self._budget_answered(request, attempt, action, end, until),
            )

    def _budget_answered(
        self, request: OpenRequest, attempt: Attempt, action: it.SendAttempt, end: int, until: int
    ) -> None:
        if attempt.ended:
            return
        if not until:
            self._attempt_ended(request, attempt, AttemptResult(Outcome.MOOT))
        else:
            self._write(request, attempt, end, min(until, action.send_by or until))

    def _write(self, request: OpenRequest, attempt: Attempt, end: int, until: int) -> None:
        """Send an attempt whose response is due at `end`.

        `until`: the latest time to write its first byte, in us; 0: none.
        """
        client_request, timeout = request.client_request, end - self.now()
        data: RequestData = b"%bRequest-Timeout: %dm\r\n\r\n%b" % (
            client_request.head,
            max(1, timeout // 1000),
            client_request.body,
        )
        if build := client_request.build:
            name = self.backend_name(attempt.backend)

            def data() -> bytes | None:
                now = self.now()
                return None if 0 < until < now else build(name, end - now)

        write_body, on_head = (
            request.client.write_body,
            lambda result: self._response_started(request, attempt, result),
        )
        context = AttemptContext(
            client_request.upload, on_head, write_body, timeout / 1e6, client_request.id
        )
        attempt.exchange = self.upstreams.send(
            attempt.backend,
            data,
            lambda result: self._attempt_ended(request, attempt, result),
            context,
        )

    def _body_received(self, request: OpenRequest) -> None:
        """The streamed request body is complete: start the deadline and the attempts' timeouts."""
        now, timeout = self.now(), request.client_request.timeout
        request.deadline = now + timeout
        request.timer = self._loop.call_later(
            (timeout - RESPONSE_MARGIN_US) / 1e6, self._deadline_passed, request
        )
        for attempt in request.attempts:
            if not attempt.ended:
                attempt.sent_at = now
                attempt.timer = self._loop.call_later(
                    attempt.response_timeout / 1e6, self._attempt_timed_out, request, attempt
                )
        self._post(it.BodyCompleted(request.number, timeout))

    def _response_started(
        self, request: OpenRequest, attempt: Attempt, result: AttemptResult
    ) -> bool:
        """Start streaming a response to the client; no other attempt can answer from here on.

        Return False if the response is not needed.
        """
        if request.decided or attempt.ended or attempt.exchange is None:
            return False
        self._decide(request)
        request.streaming = attempt
        if attempt.timer:
            attempt.timer.cancel()
        request.client.begin_stream(result, attempt.exchange)
        if self.aborts_streams_at_deadline:
            time_left = max(0, request.deadline - self.now())
            request.timer = self._loop.call_later(time_left / 1e6, self._abort_stream, request)
        latency = self.now() - attempt.sent_at
        self._post(it.StreamStarted(request.number, attempt.number, attempt.backend, latency))
        return True

    def _attempt_timed_out(self, request: OpenRequest, attempt: Attempt) -> None:
        if not attempt.ended and attempt.exchange:
            self._abort_attempt(request, attempt, attempt.exchange, Outcome.TIMEOUT)

    def _cancel(self, number: int, index: int) -> None:
        request = self._requests.get(number)
        if request and index < len(request.attempts):
            attempt = request.attempts[index]
            if not attempt.ended and attempt.exchange:
                self._abort_attempt(request, attempt, attempt.exchange, Outcome.CANCELLED)

    def _abort_attempt(
        self,
        request: OpenRequest,
        attempt: Attempt,
        exchange: Exchange,
        outcome_if_written: Outcome,
    ) -> None:
        outcome_if_not = (
            Outcome.MOOT if isinstance(exchange, BudgetWait) else Outcome.CONNECT_FAILED
        )
        self._attempt_ended(
            request,
            attempt,
            AttemptResult(outcome_if_written if exchange.abort() else outcome_if_not),
        )

    def _attempt_ended(self, request: OpenRequest, attempt: Attempt, result: AttemptResult) -> None:
        if attempt.ended:
            return
        attempt.ended, attempt.exchange = True, None
        request.attempts_in_flight -= 1
        if attempt.timer:
            attempt.timer.cancel()
        upload = request.client_request.upload
        if upload and not request.decided:
            upload.detach()
        if request.streaming is attempt:
            request.streaming = None
            if request.timer:
                request.timer.cancel()
            complete = result.outcome is Outcome.OK
            self._observe(request, "served" if complete else "broken")
            (request.client.end_stream if complete else request.client.abort_stream)()
            self._release(request)
        elif result.outcome is Outcome.OK and not request.decided:
            self._observe(request, "served")
            self._finish(request)
            request.client.send_response(result)
        self._forget(request)
        load = self.names.parse_load(result.load) if result.load else ()
        latency = self.now() - attempt.sent_at
        if self.observer:
            self.observer.attempt(attempt.backend, result.outcome, latency)
        event = it.AttemptEnded(
            request.number,
            attempt.number,
            attempt.backend,
            result.outcome,
            latency,
            request.decided,
            load,
            body_consumed=upload is not None and upload.consumed,
        )
        self._post(event)

    # Timers, the quota counter and probes.

    def _timer_fired(self, token: int) -> None:
        self._post(it.TimerFired(token))

    def _call_counter(self, action: it.AddToCounter) -> None:
        called_at, name = self.now(), action.name

        def callback(outcome: Outcome, total: float, units_left: float | None = None) -> None:
            latency = self.now() - called_at
            if self.observer:
                self.observer.counter_called(outcome, latency)
            self._post(it.CountAnswered(name, outcome, total, latency, units_left))

        if self.lease_client:
            self.lease_client.lease(
                action.customer, action.amount - action.reported, action.reported, callback
            )
        elif self.counter:
            self.counter.add(name, action.amount, action.ttl, callback)
        else:
            callback(Outcome.CONNECT_FAILED, 0.0)

    def _probe(self, backend: int) -> None:
        sent_at = self.now()

        def on_result(result: AttemptResult) -> None:
            load = self.names.parse_load(result.load) if result.load else ()
            self._post(it.ProbeAnswered(backend, result.outcome, self.now() - sent_at, load))

        self.upstreams.probe(backend, on_result)

    def _describe(self, entry: EndpointEntry, number: int) -> it.ListedBackend:
        zone, kind = self.names.zones.get(entry.zone, 0), self.names.kinds.get(entry.kind, 0)
        return it.ListedBackend(
            number,
            BACKEND_STATES[entry.status],
            zone,
            entry.group,
            kind,
            entry.weight,
            entry.since_us,
            crc32(entry.name.encode(errors="surrogatepass")),  # names may be invalid UTF-8
        )


Named = TypeVar("Named", it.RequestClass, it.Plan)


def _merge_by_name(before: Sequence[Named], after: Sequence[Named]) -> tuple[Named, ...]:
    """Return the new items at the positions that their names had before.

    Items that were removed keep their positions, and new names are appended.
    """
    by_name: dict[str, Named] = {entry.name: entry for entry in after}
    merged: list[Named] = [by_name.get(entry.name, entry) for entry in before]
    known = set(merged)  # a set, as a site may have very many tenants
    return tuple(merged + [entry for entry in after if entry not in known])


class NameTable:
    """The names in the settings of the items that the policy identifies by number."""

    def __init__(
        self, settings: it.Settings, raw: dict[str, Any], usable: it.Settings | None = None
    ) -> None:
        usable = usable or settings  # without removed classes and plans
        classes, plans = set(usable.classes), set(usable.plans)
        self.classes = {c.name.encode(): n for n, c in enumerate(settings.classes) if c in classes}
        self.plans = {p.name.encode(): n for n, p in enumerate(settings.plans) if p in plans}
        self.fleet_size = settings.fleet_size
        self.zones = _number_by_name(raw.get("failure_domains", ()))
        self.kinds = _number_by_name(raw.get("flavors", ()))
        fields = raw.get("telemetry", {}).get("fields", ())
        self._load_positions = {str(f).encode(): n for n, f in enumerate(fields)}
        self._load_positions |= {f.encode(): n for n, f in enumerate(settings.load_fields)}
        self._load_count = len(settings.load_fields)

    def parse_load(self, text: bytes) -> tuple[float, ...]:
        """Parse a load report such as `inflight=7,queue=2`.

        Return its values in the order of the settings, or nothing if a field is missing or invalid.
        """
        values_found: list[float | None] = [None] * self._load_count
        for part in text.split(b","):
            name, _, value = part.strip().partition(b"=")
            if (at := self._load_positions.get(name)) is not None:
                try:
                    values_found[at] = float(value)
                except ValueError:
                    return ()
        values = [v for v in values_found if v is not None]
        return tuple(values) if len(values) == self._load_count else ()


def _number_by_name(names: Sequence[Any]) -> dict[str, int]:
    return {str(name): number for number, name in enumerate(names)}
