"""The only caller of Gateway.handle: owns requests, attempts, deadlines and timers, and turns
actions into calls on the other files. It does for the module what the simulator does; it needs no
sockets itself."""

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

RESPONSE_MARGIN_US = 10_000  # us before the client's deadline by which its answer is on the way
ATTEMPT_MARGIN_US = 15_000  # us before it by which no attempt is waited for any longer
BACKEND_STATES = {
    "up": it.BackendState.READY,
    "draining": it.BackendState.DRAINING,
    "removed": it.BackendState.GONE,
}

log = logging.getLogger(__name__)


RequestData = bytes | Callable[[], bytes | None]


class Clock:
    """Unix microseconds, the same at every ingress (the module names quota windows by it), read
    once and carried on by the monotonic clock, so that it never goes back."""

    def __init__(self) -> None:
        self._base = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def now(self) -> int:
        return self._base + time.monotonic_ns() // 1000


class Timer(Protocol):
    def cancel(self) -> None: ...


class Loop(Protocol):
    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Timer: ...


class Exchange(Protocol):
    def abort(self) -> bool:
        """Gives the attempt up; True if it may have run, False if its last byte was never
        written."""

    def pause(self, paused: bool) -> None:
        """Reads no more of the answer, or does again."""


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended: for OK, with the backend's body."""

    outcome: Outcome
    body: bytes = b""
    content_type: bytes = b""
    load: bytes = b""
    length: int | None = None  # of the body, where it was announced
    status: int = 200
    fields: bytes = b""  # further ones that go on, each with its line's end


@dataclass(slots=True)
class AttemptContext:
    """What an attempt takes of a request's body as it comes, and gives of its answer as that
    comes."""

    upload: Upload | None
    on_head: Callable[
        [AttemptResult], bool
    ]  # a large answer begins; False if nobody wants it any longer
    on_body_part: Callable[[bytes], None]
    timeout_s: float = math.inf  # s that the attempt has in all
    request_id: bytes = (
        b""  # the request's, which answers may carry: its further attempts have the same
    )


class Upstreams(Protocol):
    def update_endpoint(self, entry: EndpointEntry, backend: int) -> None:
        """Takes in an entry, before the module hears of it."""

    def apply_updates(self, gone: Iterable[int]) -> None:
        """Closes and withdraws what the entries taken in have made void, and forgets those gone."""

    def set_maintenance(self, backend: int, out: bool) -> None:
        """Out for maintenance: as a drain, whatever the list says, until it is put back."""

    def send(
        self,
        backend: int,
        data: RequestData,
        ended: Callable[[AttemptResult], None],
        flow: AttemptContext | None = None,
    ) -> Exchange:
        """`data` may be made as its first byte is written; None then takes the attempt back,
        unsent."""

    def probe(self, backend: int, ended: Callable[[AttemptResult], None]) -> None: ...
    def close_idle(self, backend: int) -> None: ...


# a backend's name, us for its answer; None: not any longer
RequestBuilder = Callable[[str, int], bytes | None]


class CounterCallback(Protocol):
    def __call__(self, outcome: Outcome, total: float, left: float | None = None, /) -> None:
        """`left`: in the store, where the counter keeps that itself."""


class CounterClient(Protocol):
    def add(self, name: int, amount: float, ttl_us: int, answered: CounterCallback) -> None: ...


class LeaseClient(Protocol):
    """A counter that keeps the customers' stores itself, and gives back what goes past them."""

    def lease(self, customer: int, amount: float, told: float, answered: CounterCallback) -> None:
        """`told`: units that are spent already."""


class BudgetClient(Protocol):
    """Deals units of wholes that all ingresses share, as they are needed."""

    def acquire(self, units: tuple[it.BudgetUnit, ...], dealt: Callable[[int], None]) -> None:
        """One of each, or none: `dealt` hears until when they may be used (us), or 0."""


class Downstream(Protocol):
    def send_response(self, answer: AttemptResult) -> None: ...
    def reject(self, retry_after: int, status: int = 429) -> None: ...
    def fail(self, timed_out: bool) -> None: ...
    def begin_stream(self, answer: AttemptResult, source: Exchange) -> None:
        """An answer that comes in parts: `more`, then `finish`, or `break_off` so that it can be
        told."""

    def write_body(self, data: bytes) -> None: ...
    def end_stream(self) -> None: ...
    def abort_stream(self) -> None: ...


@dataclass(slots=True)
class ClientRequest:
    """A client's request, read and found sound."""

    id: bytes
    cls: int
    plan: int
    customer: int
    units: float
    spread: int
    first_ingress: int
    timeout: int  # us
    began_at: int  # the clock when its first byte came
    is_retry: bool
    head: bytes  # what goes on to a backend, but for the time left
    body: bytes
    upload: Upload | None = None  # the body, where it comes in parts
    service: int = 0
    regions: frozenset[int] | None = None  # where it may be served; None: everywhere
    priority: int = 0
    # makes the whole of what goes to a backend, as its first byte is written
    build: RequestBuilder | None = None


class Attempt:
    __slots__ = ("backend", "ended", "exchange", "number", "response_timeout", "sent_at", "timer")

    def __init__(self, number: int, backend: int, sent: int) -> None:
        self.number, self.backend, self.sent_at, self.ended = number, backend, sent, False
        self.response_timeout = 0  # us for its answer, from its last byte on
        self.exchange: Exchange | None = None
        self.timer: Timer | None = None


class BudgetWait:
    """An attempt that waits for its units: not a byte of it is written."""

    def abort(self) -> bool:
        return False

    def pause(self, paused: bool) -> None:
        """No answer can come."""


class OpenRequest:
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
        wanted: ClientRequest,
        client: Downstream,
        deadline: int,
        limits: it.Limits,
    ) -> None:
        self.number, self.client_request, self.client, self.deadline = (
            number,
            wanted,
            client,
            deadline,
        )
        self.limits = limits  # those it began with
        self.decided, self.attempts_in_flight = False, 0
        # its answer goes on in parts: the last word, but not yet whole
        self.streaming: Attempt | None = None
        self.attempts: list[Attempt] = []
        self.timer: Timer | None = None


class Observer(Protocol):
    """Is told what comes of requests and attempts, where the configuration wants that
    (`cairndale/ingress/observability/`). Nothing it does may wait."""

    def request(self, wanted: ClientRequest, outcome: str, us: int, attempts: int) -> None:
        """A request is over: served, refused (firmly), advised (when to return), unheard (too late,
        or too many open), failed, overdue, broken (its answer was cut off), left (the client did).
        `us` since its first byte."""

    def attempt(self, backend: int, outcome: Outcome, us: int) -> None: ...
    def counter_called(self, outcome: Outcome, us: int) -> None: ...


class Policy(Protocol):
    def handle(self, now: int, event: it.Event) -> list[it.Action]: ...


class Engine:
    def __init__(
        self,
        gateway: Policy,
        settings: it.Settings,
        names: NameTable,
        loop: Loop,
        now: Callable[[], int],
    ) -> None:
        self.settings, self.names, self.now = settings, names, now
        self.upstreams: Upstreams
        self.counter: CounterClient | None = None
        self.lease_client: LeaseClient | None = None  # in the counter's place
        self.budget_client: BudgetClient | None = None
        self.observer: Observer | None = None
        # an answer that still comes in parts at the deadline is broken off
        self.aborts_streams_at_deadline = False
        self.on_idle: Callable[[], None] = lambda: None  # called when the last open request is over
        self.open_count = 0  # requests not yet answered
        self._policy, self._loop = gateway, loop
        self.rejection_statuses = (
            429,
            429,
        )  # the status of a refusal beyond the quota, and for want of room
        self.describe_endpoint: Callable[[EndpointEntry, int], it.ListedBackend] = self._describe
        self._requests: dict[int, OpenRequest] = {}
        self._number_by_id: dict[bytes, int] = {}
        self._last_number = 0
        self._backends: dict[str, int] = {}  # by name, for good: a name keeps its number
        self._listed_names: dict[int, str] = {}  # their names, while they are listed
        self._entries: dict[str, EndpointEntry] = {}
        self.in_maintenance: set[str] = set()  # backends that operators have taken out
        self._events: deque[it.Event] = deque()
        self._processing = False

    # What the other files tell.

    def request_arrived(self, wanted: ClientRequest, client: Downstream) -> bool:
        """False if a request with this id is still alive."""
        if wanted.id in self._number_by_id:
            return False
        now = self.now()
        left = wanted.timeout - (now - wanted.began_at)
        if left <= RESPONSE_MARGIN_US or 0 < self.settings.limits.max_open <= self.open_count:
            # nothing was sent: harmless, and the module never hears of it
            client.reject(0, self.rejection_statuses[1])
            if self.observer:
                self.observer.request(wanted, "unheard", now - wanted.began_at, 0)
            return True
        self._last_number += 1
        request = OpenRequest(self._last_number, wanted, client, now + left, self.settings.limits)
        self._requests[request.number], self._number_by_id[wanted.id] = request, request.number
        self.open_count += 1
        if (
            wanted.upload and not wanted.upload.complete
        ):  # its time counts from the body's last byte
            wanted.upload.on_complete = lambda: self._body_received(request)
        else:
            request.timer = self._loop.call_later(
                (left - RESPONSE_MARGIN_US) / 1e6, self._deadline_passed, request
            )
        self._post(
            it.RequestArrived(
                request.number,
                wanted.cls,
                wanted.plan,
                wanted.customer,
                wanted.units,
                left,
                wanted.first_ingress,
                wanted.spread,
                wanted.is_retry,
                wanted.upload is not None,
                wanted.service,
                wanted.regions,
                wanted.priority,
            )
        )
        return True

    def client_disconnected(self, id: bytes) -> None:
        request = self._requests.get(self._number_by_id.get(id, 0))
        if request and request.streaming and request.streaming.exchange:
            self._abort_stream(request)
        elif request and not request.decided:
            self._observe(request, "left")
            self._finish(request)
            self._post(it.ClientGone(request.number))

    def update_endpoints(self, listing: EndpointUpdate, kind: it.ListKind | None = None) -> None:
        """The module hears first, then attempts are withdrawn: what it sends anew goes by the new
        list."""
        kind = kind or (it.ListKind.FULL if listing.full else it.ListKind.DELTA)
        found = []
        for entry in listing.entries:
            number = self._backends.setdefault(entry.name, len(self._backends) + 1)
            self._listed_names[number] = entry.name
            found.append(self.describe_endpoint(entry, number))
            self.upstreams.update_endpoint(entry, number)
        here = {e.name: e for e in listing.entries if e.status != "removed"}
        gone = {e.name for e in listing.entries if e.status == "removed"}
        gone |= self._entries.keys() - here.keys() if listing.full else set()
        self._entries = {n: e for n, e in (self._entries | here).items() if n not in gone}
        self._events.append(it.BackendsListed(kind, listing.index, tuple(found)))
        for name in gone:
            self._listed_names.pop(self._backends.get(name, 0), None)
        self.upstreams.apply_updates([self._backends[n] for n in gone if n in self._backends])
        self._process_events()

    def entries(self) -> list[EndpointEntry]:
        return list(self._entries.values())

    def update_settings(self, settings: it.Settings, raw: dict[str, Any]) -> None:
        """Other settings, in here and in the module at once. What is open ends by those it began
        with."""
        before = self.settings
        self.settings = replace(
            settings,
            classes=_merge_by_name(before.classes, settings.classes),
            plans=_merge_by_name(before.plans, settings.plans),
        )
        self.names = NameTable(self.settings, raw, settings)
        self._post(it.SettingsChanged(self.settings))

    def set_maintenance(self, name: str, out: bool) -> bool:
        """An operator's call, taken apart from the list; False if no backend of that name was ever
        listed."""
        if name not in self._backends:
            return False
        (self.in_maintenance.add if out else self.in_maintenance.discard)(name)
        self._events.append(it.MaintenanceChanged(self._backends[name], out))
        self.upstreams.set_maintenance(self._backends[name], out)
        self._process_events()
        return True

    def restore_maintenance(self, names: Iterable[str]) -> None:
        """Backends that were out before this process began, listed by now or not."""
        for name in names:
            self._backends.setdefault(name, len(self._backends) + 1)
            self.set_maintenance(name, True)

    def backend_name(self, backend: int) -> str:
        """Of one that is listed; else nothing."""
        return self._listed_names.get(backend, "")

    def is_known(self, name: str) -> bool:
        return name in self._backends

    def can_serve(self) -> bool:
        return any(
            e.status == "up" and e.name not in self.in_maintenance for e in self._entries.values()
        )

    # Another process that takes over, or from which this one does.

    def dump_state(self) -> dict[str, Any]:
        """The names behind the module's numbers, the list, and what operators have taken out."""
        return {
            "backends": self._backends,
            "classes": [c.name for c in self.settings.classes],
            "plans": [p.name for p in self.settings.plans],
            "entries": [e.to_raw() for e in self._entries.values()],
            "maintained": sorted(self.in_maintenance),
        }

    def restore_state(self, state: dict[str, Any], index: int) -> tuple[list[int], list[int]]:
        """Instead of a first list. Backends keep their numbers; classes and plans are followed by
        name, to the numbers that come back (-1: there is none)."""
        here = [c.name for c in self.settings.classes], [p.name for p in self.settings.plans]
        classes, plans = (
            [now.index(name) if name in now else -1 for name in before]
            for now, before in zip(here, (state["classes"], state["plans"]), strict=True)
        )
        listing = EndpointUpdate({"index": index, "snapshot": True, "endpoints": state["entries"]})
        self._backends = {str(name): int(number) for name, number in state["backends"].items()}
        self.restore_maintenance(state["maintained"])
        self.update_endpoints(listing, it.ListKind.CACHED)
        return classes, plans

    def in_flight_counts(self) -> dict[str, list[tuple[int, int]]]:
        """What is out here, for the other process: attempts by backend, and by customer."""
        attempts: Counter[int] = Counter()
        customers: Counter[int] = Counter()
        for request in self._requests.values():
            out = [attempt.backend for attempt in request.attempts if not attempt.ended]
            attempts.update(out)
            customers[request.client_request.customer] += len(out)
        return {"attempts": list(attempts.items()), "customers": list(customers.items())}

    def set_predecessor_load(self, busy: dict[str, list[tuple[int, int]]]) -> None:
        attempts, customers = (
            {int(k): int(n) for k, n in busy[what]} for what in ("attempts", "customers")
        )
        self._post(it.PredecessorLoad(attempts, customers))

    def fail_all(self) -> None:
        """Fails all that is open: the process is about to end."""
        for request in list(self._requests.values()):
            self._deadline_passed(request)
            self._abort_stream(request)

    def _abort_stream(self, request: OpenRequest) -> None:
        """An answer that still comes in parts: its client can tell that it isn't whole."""
        if request.streaming and request.streaming.exchange:
            request.streaming.exchange.abort()
            self._attempt_ended(request, request.streaming, AttemptResult(Outcome.CANCELLED))

    # Events to the module, actions from it.

    def _post(self, event: it.Event) -> None:
        self._events.append(event)
        self._process_events()

    def _process_events(self) -> None:
        """What happens while actions are carried out waits its turn: the module is never entered
        twice."""
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
                    # one event's failure must not end the process; deadlines answer the client
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
            case _:  # the watch is always on, and real ingresses have no peers to tell
                log.debug("not for real ingresses: %s", action)

    def _undecided(self, number: int) -> OpenRequest | None:
        request = self._requests.get(number)
        return None if request is None or request.decided else request

    def _finish(self, request: OpenRequest) -> None:
        self._decide(request)
        self._release(request)

    def _observe(self, request: OpenRequest, outcome: str) -> None:
        if self.observer:
            wanted = request.client_request
            self.observer.request(
                wanted, outcome, self.now() - wanted.began_at, len(request.attempts)
            )

    def open_requests(self, most: int) -> list[dict[str, Any]]:
        """For operators: the oldest requests under way."""
        now, names = self.now(), {number: name for name, number in self._backends.items()}
        found = []
        for request in list(self._requests.values())[:most]:
            out = [names.get(a.backend, "?") for a in request.attempts if not a.ended]
            phase = "over" if request.decided else "sent" if out else "waiting"
            phase = "passing on" if request.streaming else phase
            found.append(
                {
                    "id": request.client_request.id.decode("latin-1"),
                    "age_ms": (now - request.client_request.began_at) // 1000,
                    "class": self.settings.classes[request.client_request.cls].name,
                    "phase": phase,
                    "servers": out,
                    "attempts": len(request.attempts),
                    "left_ms": (request.deadline - now) // 1000,
                }
            )
        return found

    def _decide(self, request: OpenRequest) -> None:
        """Which answer it gets is certain."""
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
        """The id is free again once nothing of the request is under way, whichever event ended
        it."""
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
        coming = upload is not None and not upload.complete
        left = (
            request.client_request.timeout if coming else request.deadline - now
        ) - ATTEMPT_MARGIN_US
        limits, second = (
            request.limits,
            request.attempts_in_flight > 0 and not request.limits.may_duplicate,
        )
        spent = len(request.attempts) >= limits.max_attempts
        request.attempts.append(attempt)
        request.attempts_in_flight += 1
        if request.decided or spent or second or left <= 0 or (upload and upload.consumed):
            self._attempt_ended(request, attempt, AttemptResult(Outcome.MOOT))
            return
        wait = min(timeout, left) if timeout else left
        attempt.response_timeout = wait
        if not coming:
            attempt.timer = self._loop.call_later(
                wait / 1e6, self._attempt_timed_out, request, attempt
            )
        if not action.budget_units:
            self._write(request, attempt, now + wait, action.send_by)
        elif self.budget_client is None:
            self._attempt_ended(request, attempt, AttemptResult(Outcome.MOOT))
        else:
            end, attempt.exchange = now + wait, BudgetWait()
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
        """`end`: when its answer is to be there; `until`: when its first byte is written at the
        latest."""
        wanted, wait = request.client_request, end - self.now()
        data: RequestData = b"%bRequest-Timeout: %dm\r\n\r\n%b" % (
            wanted.head,
            max(1, wait // 1000),
            wanted.body,
        )
        if dress := wanted.build:
            name = self.backend_name(attempt.backend)

            def data() -> bytes | None:
                now = self.now()
                return None if 0 < until < now else dress(name, end - now)

        more, opened = (
            request.client.write_body,
            lambda answer: self._response_started(request, attempt, answer),
        )
        flow = AttemptContext(wanted.upload, opened, more, wait / 1e6, wanted.id)
        attempt.exchange = self.upstreams.send(
            attempt.backend,
            data,
            lambda answer: self._attempt_ended(request, attempt, answer),
            flow,
        )

    def _body_received(self, request: OpenRequest) -> None:
        """The last byte of its body has come: its time counts from here, and that of the attempt
        with it."""
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
        self, request: OpenRequest, attempt: Attempt, answer: AttemptResult
    ) -> bool:
        """A large answer begins: its first byte goes on at once, and no other attempt can answer
        any more."""
        if request.decided or attempt.ended or attempt.exchange is None:
            return False
        self._decide(request)
        request.streaming = attempt
        if attempt.timer:
            attempt.timer.cancel()
        request.client.begin_stream(answer, attempt.exchange)
        if self.aborts_streams_at_deadline:
            left = max(0, request.deadline - self.now())
            request.timer = self._loop.call_later(left / 1e6, self._abort_stream, request)
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
        self, request: OpenRequest, attempt: Attempt, exchange: Exchange, ran: Outcome
    ) -> None:
        never = Outcome.MOOT if isinstance(exchange, BudgetWait) else Outcome.CONNECT_FAILED
        self._attempt_ended(request, attempt, AttemptResult(ran if exchange.abort() else never))

    def _attempt_ended(self, request: OpenRequest, attempt: Attempt, answer: AttemptResult) -> None:
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
            whole = answer.outcome is Outcome.OK
            self._observe(request, "served" if whole else "broken")
            (request.client.end_stream if whole else request.client.abort_stream)()
            self._release(request)
        elif answer.outcome is Outcome.OK and not request.decided:
            self._observe(request, "served")
            self._finish(request)
            request.client.send_response(answer)
        self._forget(request)
        load = self.names.parse_load(answer.load) if answer.load else ()
        latency = self.now() - attempt.sent_at
        if self.observer:
            self.observer.attempt(attempt.backend, answer.outcome, latency)
        event = it.AttemptEnded(
            request.number,
            attempt.number,
            attempt.backend,
            answer.outcome,
            latency,
            request.decided,
            load,
            body_consumed=upload is not None and upload.consumed,
        )
        self._post(event)

    # The rest.

    def _timer_fired(self, token: int) -> None:
        self._post(it.TimerFired(token))

    def _call_counter(self, action: it.AddToCounter) -> None:
        called, name = self.now(), action.name

        def answered(outcome: Outcome, total: float, left: float | None = None) -> None:
            latency = self.now() - called
            if self.observer:
                self.observer.counter_called(outcome, latency)
            self._post(it.CountAnswered(name, outcome, total, latency, left))

        if self.lease_client:
            self.lease_client.lease(
                action.customer, action.amount - action.reported, action.reported, answered
            )
        elif self.counter:
            self.counter.add(name, action.amount, action.ttl, answered)
        else:
            answered(Outcome.CONNECT_FAILED, 0.0)

    def _probe(self, backend: int) -> None:
        sent = self.now()

        def ended(answer: AttemptResult) -> None:
            load = self.names.parse_load(answer.load) if answer.load else ()
            self._post(it.ProbeAnswered(backend, answer.outcome, self.now() - sent, load))

        self.upstreams.probe(backend, ended)

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
            crc32(entry.name.encode(errors="surrogatepass")),  # a broken name is a name, too
        )


Named = TypeVar("Named", it.RequestClass, it.Plan)


def _merge_by_name(before: Sequence[Named], now: Sequence[Named]) -> tuple[Named, ...]:
    """A name keeps its number; what was dropped keeps its place, what is new comes behind."""
    named: dict[str, Named] = {entry.name: entry for entry in now}
    kept: list[Named] = [named.get(entry.name, entry) for entry in before]
    known = set(kept)  # there may be as a site has tenants
    return tuple(kept + [entry for entry in now if entry not in known])


class NameTable:
    """The settings' names for what the module knows by number."""

    def __init__(
        self, settings: it.Settings, raw: dict[str, Any], named: it.Settings | None = None
    ) -> None:
        named = named or settings  # what clients may name: not the classes and plans dropped since
        classes, plans = set(named.classes), set(named.plans)
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
        """`inflight=7,queue=2` in the settings' order; nothing if a field is missing or is no
        number."""
        found: list[float | None] = [None] * self._load_count
        for part in text.split(b","):
            name, _, value = part.strip().partition(b"=")
            if (at := self._load_positions.get(name)) is not None:
                try:
                    found[at] = float(value)
                except ValueError:
                    return ()
        values = [v for v in found if v is not None]
        return tuple(values) if len(values) == self._load_count else ()


def _number_by_name(names: Sequence[Any]) -> dict[str, int]:
    return {str(name): number for number, name in enumerate(names)}
