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
from cairndale.ingress.net.discovery import Entry, Listing
from cairndale.ingress.policy import interface as it
from cairndale.ingress.policy.interface import Outcome

ANSWER_MARGIN = 10_000  # us before the client's deadline by which its answer is on the way
LAST_ATTEMPT = 15_000  # us before it by which no attempt is waited for any longer
STATES = {
    "up": it.BackendState.READY,
    "draining": it.BackendState.DRAINING,
    "removed": it.BackendState.GONE,
}

log = logging.getLogger(__name__)


Data = bytes | Callable[[], bytes | None]


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
class Answer:
    """How an attempt ended: for OK, with the backend's body."""

    outcome: Outcome
    body: bytes = b""
    content_type: bytes = b""
    load: bytes = b""
    length: int | None = None  # of the body, where it was announced
    status: int = 200
    fields: bytes = b""  # further ones that go on, each with its line's end


@dataclass(slots=True)
class Flow:
    """What an attempt takes of a request's body as it comes, and gives of its answer as that
    comes."""

    upload: Upload | None
    opened: Callable[[Answer], bool]  # a large answer begins; False if nobody wants it any longer
    part: Callable[[bytes], None]
    patience: float = math.inf  # s that the attempt has in all
    id: bytes = b""  # the request's, which answers may carry: its further attempts have the same


class Servers(Protocol):
    def know(self, entry: Entry, backend: int) -> None:
        """Takes in an entry, before the module hears of it."""

    def settle(self, gone: Iterable[int]) -> None:
        """Closes and withdraws what the entries taken in have made void, and forgets those gone."""

    def hold(self, backend: int, out: bool) -> None:
        """Out for maintenance: as a drain, whatever the list says, until it is put back."""

    def send(
        self, backend: int, data: Data, ended: Callable[[Answer], None], flow: Flow | None = None
    ) -> Exchange:
        """`data` may be made as its first byte is written; None then takes the attempt back,
        unsent."""

    def probe(self, backend: int, ended: Callable[[Answer], None]) -> None: ...
    def close_idle(self, backend: int) -> None: ...


# a backend's name, us for its answer; None: not any longer
Dress = Callable[[str, int], bytes | None]


class Answered(Protocol):
    def __call__(self, outcome: Outcome, total: float, left: float | None = None, /) -> None:
        """`left`: in the store, where the counter keeps that itself."""


class CounterClient(Protocol):
    def add(self, name: int, amount: float, ttl_us: int, answered: Answered) -> None: ...


class Lessor(Protocol):
    """A counter that keeps the customers' stores itself, and gives back what goes past them."""

    def lease(self, customer: int, amount: float, told: float, answered: Answered) -> None:
        """`told`: units that are spent already."""


class Dealer(Protocol):
    """Deals units of wholes that all ingresses share, as they are needed."""

    def deal(self, units: tuple[it.BudgetUnit, ...], dealt: Callable[[int], None]) -> None:
        """One of each, or none: `dealt` hears until when they may be used (us), or 0."""


class Client(Protocol):
    def serve(self, answer: Answer) -> None: ...
    def refuse(self, retry_after: int, status: int = 429) -> None: ...
    def fail(self, timed_out: bool) -> None: ...
    def begin(self, answer: Answer, source: Exchange) -> None:
        """An answer that comes in parts: `more`, then `finish`, or `break_off` so that it can be
        told."""

    def more(self, data: bytes) -> None: ...
    def finish(self) -> None: ...
    def break_off(self) -> None: ...


@dataclass(slots=True)
class Wanted:
    """A client's request, read and found sound."""

    id: bytes
    cls: int
    plan: int
    customer: int
    units: float
    spread: int
    first: int
    timeout: int  # us
    began: int  # the clock when its first byte came
    is_retry: bool
    head: bytes  # what goes on to a backend, but for the time left
    body: bytes
    upload: Upload | None = None  # the body, where it comes in parts
    service: int = 0
    regions: frozenset[int] | None = None  # where it may be served; None: everywhere
    prio: int = 0
    # makes the whole of what goes to a backend, as its first byte is written
    dress: Dress | None = None


class Attempt:
    __slots__ = ("backend", "ended", "exchange", "number", "sent", "timer", "wait")

    def __init__(self, number: int, backend: int, sent: int) -> None:
        self.number, self.backend, self.sent, self.ended = number, backend, sent, False
        self.wait = 0  # us for its answer, from its last byte on
        self.exchange: Exchange | None = None
        self.timer: Timer | None = None


class Undealt:
    """An attempt that waits for its units: not a byte of it is written."""

    def abort(self) -> bool:
        return False

    def pause(self, paused: bool) -> None:
        """No answer can come."""


class Request:
    __slots__ = (
        "attempts",
        "client",
        "deadline",
        "limits",
        "number",
        "out",
        "over",
        "passing",
        "timer",
        "wanted",
    )

    def __init__(
        self, number: int, wanted: Wanted, client: Client, deadline: int, limits: it.Limits
    ) -> None:
        self.number, self.wanted, self.client, self.deadline = number, wanted, client, deadline
        self.limits = limits  # those it began with
        self.over, self.out = False, 0
        # its answer goes on in parts: the last word, but not yet whole
        self.passing: Attempt | None = None
        self.attempts: list[Attempt] = []
        self.timer: Timer | None = None


class Observer(Protocol):
    """Is told what comes of requests and attempts, where the configuration wants that
    (`cairndale/ingress/observability/`). Nothing it does may wait."""

    def request(self, wanted: Wanted, outcome: str, us: int, attempts: int) -> None:
        """A request is over: served, refused (firmly), advised (when to return), unheard (too late,
        or too many open), failed, overdue, broken (its answer was cut off), left (the client did).
        `us` since its first byte."""

    def attempt(self, backend: int, outcome: Outcome, us: int) -> None: ...
    def counted(self, outcome: Outcome, us: int) -> None: ...


class Decider(Protocol):
    def handle(self, now: int, event: it.Event) -> list[it.Action]: ...


class Engine:
    def __init__(
        self,
        gateway: Decider,
        settings: it.Settings,
        names: Names,
        loop: Loop,
        now: Callable[[], int],
    ) -> None:
        self.settings, self.names, self.now = settings, names, now
        self.servers: Servers
        self.counter: CounterClient | None = None
        self.lessor: Lessor | None = None  # in the counter's place
        self.dealer: Dealer | None = None
        self.observer: Observer | None = None
        # an answer that still comes in parts at the deadline is broken off
        self.ends_passing = False
        self.idle: Callable[[], None] = lambda: None  # called when the last open request is over
        self.open = 0  # requests not yet answered
        self._gateway, self._loop = gateway, loop
        self.refusals = (429, 429)  # the status of a refusal beyond the quota, and for want of room
        self.describe: Callable[[Entry, int], it.ListedBackend] = self._entry
        self._requests: dict[int, Request] = {}
        self._ids: dict[bytes, int] = {}
        self._next = 0
        self._backends: dict[str, int] = {}  # by name, for good: a name keeps its number
        self._listed_as: dict[int, str] = {}  # their names, while they are listed
        self._listed: dict[str, Entry] = {}
        self.maintained: set[str] = set()  # backends that operators have taken out
        self._events: deque[it.Event] = deque()
        self._busy = False

    # What the other files tell.

    def arrived(self, wanted: Wanted, client: Client) -> bool:
        """False if a request with this id is still alive."""
        if wanted.id in self._ids:
            return False
        now = self.now()
        left = wanted.timeout - (now - wanted.began)
        if left <= ANSWER_MARGIN or 0 < self.settings.limits.max_open <= self.open:
            # nothing was sent: harmless, and the module never hears of it
            client.refuse(0, self.refusals[1])
            if self.observer:
                self.observer.request(wanted, "unheard", now - wanted.began, 0)
            return True
        self._next += 1
        request = Request(self._next, wanted, client, now + left, self.settings.limits)
        self._requests[request.number], self._ids[wanted.id] = request, request.number
        self.open += 1
        if wanted.upload and not wanted.upload.whole:  # its time counts from the body's last byte
            wanted.upload.came = lambda: self._uploaded(request)
        else:
            request.timer = self._loop.call_later(
                (left - ANSWER_MARGIN) / 1e6, self._overdue, request
            )
        self._post(
            it.RequestArrived(
                request.number,
                wanted.cls,
                wanted.plan,
                wanted.customer,
                wanted.units,
                left,
                wanted.first,
                wanted.spread,
                wanted.is_retry,
                wanted.upload is not None,
                wanted.service,
                wanted.regions,
                wanted.prio,
            )
        )
        return True

    def client_gone(self, id: bytes) -> None:
        request = self._requests.get(self._ids.get(id, 0))
        if request and request.passing and request.passing.exchange:
            self._break_off(request)
        elif request and not request.over:
            self._observe(request, "left")
            self._close(request)
            self._post(it.ClientGone(request.number))

    def listed(self, listing: Listing, kind: it.ListKind | None = None) -> None:
        """The module hears first, then attempts are withdrawn: what it sends anew goes by the new
        list."""
        kind = kind or (it.ListKind.FULL if listing.whole else it.ListKind.DELTA)
        found = []
        for entry in listing.entries:
            number = self._backends.setdefault(entry.name, len(self._backends) + 1)
            self._listed_as[number] = entry.name
            found.append(self.describe(entry, number))
            self.servers.know(entry, number)
        here = {e.name: e for e in listing.entries if e.status != "removed"}
        gone = {e.name for e in listing.entries if e.status == "removed"}
        gone |= self._listed.keys() - here.keys() if listing.whole else set()
        self._listed = {n: e for n, e in (self._listed | here).items() if n not in gone}
        self._events.append(it.BackendsListed(kind, listing.index, tuple(found)))
        for name in gone:
            self._listed_as.pop(self._backends.get(name, 0), None)
        self.servers.settle([self._backends[n] for n in gone if n in self._backends])
        self._drain()

    def entries(self) -> list[Entry]:
        return list(self._listed.values())

    def retune(self, settings: it.Settings, raw: dict[str, Any]) -> None:
        """Other settings, in here and in the module at once. What is open ends by those it began
        with."""
        before = self.settings
        self.settings = replace(
            settings,
            classes=_follow(before.classes, settings.classes),
            plans=_follow(before.plans, settings.plans),
        )
        self.names = Names(self.settings, raw, settings)
        self._post(it.SettingsChanged(self.settings))

    def maintain(self, name: str, out: bool) -> bool:
        """An operator's call, taken apart from the list; False if no backend of that name was ever
        listed."""
        if name not in self._backends:
            return False
        (self.maintained.add if out else self.maintained.discard)(name)
        self._events.append(it.MaintenanceChanged(self._backends[name], out))
        self.servers.hold(self._backends[name], out)
        self._drain()
        return True

    def recall(self, names: Iterable[str]) -> None:
        """Backends that were out before this process began, listed by now or not."""
        for name in names:
            self._backends.setdefault(name, len(self._backends) + 1)
            self.maintain(name, True)

    def name_of(self, backend: int) -> str:
        """Of one that is listed; else nothing."""
        return self._listed_as.get(backend, "")

    def knows(self, name: str) -> bool:
        return name in self._backends

    def can_serve(self) -> bool:
        return any(
            e.status == "up" and e.name not in self.maintained for e in self._listed.values()
        )

    # Another process that takes over, or from which this one does.

    def hand_over(self) -> dict[str, Any]:
        """The names behind the module's numbers, the list, and what operators have taken out."""
        return {
            "backends": self._backends,
            "classes": [c.name for c in self.settings.classes],
            "plans": [p.name for p in self.settings.plans],
            "entries": [e.raw() for e in self._listed.values()],
            "maintained": sorted(self.maintained),
        }

    def take_over(self, state: dict[str, Any], index: int) -> tuple[list[int], list[int]]:
        """Instead of a first list. Backends keep their numbers; classes and plans are followed by
        name, to the numbers that come back (-1: there is none)."""
        here = [c.name for c in self.settings.classes], [p.name for p in self.settings.plans]
        classes, plans = (
            [now.index(name) if name in now else -1 for name in before]
            for now, before in zip(here, (state["classes"], state["plans"]), strict=True)
        )
        listing = Listing({"index": index, "snapshot": True, "endpoints": state["entries"]})
        self._backends = {str(name): int(number) for name, number in state["backends"].items()}
        self.recall(state["maintained"])
        self.listed(listing, it.ListKind.CACHED)
        return classes, plans

    def busy(self) -> dict[str, list[tuple[int, int]]]:
        """What is out here, for the other process: attempts by backend, and by customer."""
        attempts: Counter[int] = Counter()
        customers: Counter[int] = Counter()
        for request in self._requests.values():
            out = [attempt.backend for attempt in request.attempts if not attempt.ended]
            attempts.update(out)
            customers[request.wanted.customer] += len(out)
        return {"attempts": list(attempts.items()), "customers": list(customers.items())}

    def told_busy(self, busy: dict[str, list[tuple[int, int]]]) -> None:
        attempts, customers = (
            {int(k): int(n) for k, n in busy[what]} for what in ("attempts", "customers")
        )
        self._post(it.PredecessorLoad(attempts, customers))

    def give_up(self) -> None:
        """Fails all that is open: the process is about to end."""
        for request in list(self._requests.values()):
            self._overdue(request)
            self._break_off(request)

    def _break_off(self, request: Request) -> None:
        """An answer that still comes in parts: its client can tell that it isn't whole."""
        if request.passing and request.passing.exchange:
            request.passing.exchange.abort()
            self._ended(request, request.passing, Answer(Outcome.CANCELLED))

    # Events to the module, actions from it.

    def _post(self, event: it.Event) -> None:
        self._events.append(event)
        self._drain()

    def _drain(self) -> None:
        """What happens while actions are carried out waits its turn: the module is never entered
        twice."""
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                event = self._events.popleft()
                try:
                    for action in self._gateway.handle(self.now(), event):
                        self._carry_out(action)
                except Exception:
                    # one event's failure must not end the process; deadlines answer the client
                    log.exception("while handling %s", type(event).__name__)
        finally:
            self._busy = False

    def _carry_out(self, action: it.Action) -> None:
        match action:
            case it.SendAttempt():
                self._send(action)
            case it.Refuse(number, retry_after, beyond):
                if request := self._open(number):
                    self._observe(request, "advised" if retry_after else "refused")
                    self._close(request)
                    advice = retry_after if self.settings.limits.advises_retry else 0
                    request.client.refuse(advice, self.refusals[not beyond])
            case it.Fail(number):
                if request := self._open(number):
                    self._observe(request, "failed")
                    self._close(request)
                    request.client.fail(timed_out=False)
            case it.CancelAttempt(number, attempt):
                self._cancel(number, attempt)
            case it.SetTimer(token, at):
                self._loop.call_later(max(0, at - self.now()) / 1e6, self._fire, token)
            case it.AddToCounter():
                self._add(action)
            case it.Probe(backend):
                self._probe(backend)
            case it.CloseIdle(backend):
                self.servers.close_idle(backend)
            case it.Log(text):
                log.info("%s", text)
            case _:  # the watch is always on, and real ingresses have no peers to tell
                log.debug("not for real ingresses: %s", action)

    def _open(self, number: int) -> Request | None:
        request = self._requests.get(number)
        return None if request is None or request.over else request

    def _close(self, request: Request) -> None:
        self._settle(request)
        self._leave(request)

    def _observe(self, request: Request, outcome: str) -> None:
        if self.observer:
            wanted = request.wanted
            self.observer.request(wanted, outcome, self.now() - wanted.began, len(request.attempts))

    def open_requests(self, most: int) -> list[dict[str, Any]]:
        """For operators: the oldest requests under way."""
        now, names = self.now(), {number: name for name, number in self._backends.items()}
        found = []
        for request in list(self._requests.values())[:most]:
            out = [names.get(a.backend, "?") for a in request.attempts if not a.ended]
            phase = "over" if request.over else "sent" if out else "waiting"
            phase = "passing on" if request.passing else phase
            found.append(
                {
                    "id": request.wanted.id.decode("latin-1"),
                    "age_ms": (now - request.wanted.began) // 1000,
                    "class": self.settings.classes[request.wanted.cls].name,
                    "phase": phase,
                    "servers": out,
                    "attempts": len(request.attempts),
                    "left_ms": (request.deadline - now) // 1000,
                }
            )
        return found

    def _settle(self, request: Request) -> None:
        """Which answer it gets is certain."""
        request.over = True
        if request.timer:
            request.timer.cancel()
        if request.wanted.upload:
            request.wanted.upload.discard()

    def _leave(self, request: Request) -> None:
        self.open -= 1
        self._forget(request)
        if self.open == 0:
            self.idle()

    def _forget(self, request: Request) -> None:
        """The id is free again once nothing of the request is under way, whichever event ended
        it."""
        if request.over and request.out == 0 and request.number in self._requests:
            del self._requests[request.number], self._ids[request.wanted.id]

    def _overdue(self, request: Request) -> None:
        if not request.over:
            self._observe(request, "overdue")
            self._close(request)
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
        upload = request.wanted.upload
        coming = upload is not None and not upload.whole
        left = (request.wanted.timeout if coming else request.deadline - now) - LAST_ATTEMPT
        limits, second = request.limits, request.out > 0 and not request.limits.may_duplicate
        spent = len(request.attempts) >= limits.max_attempts
        request.attempts.append(attempt)
        request.out += 1
        if request.over or spent or second or left <= 0 or (upload and upload.spent):
            self._ended(request, attempt, Answer(Outcome.MOOT))
            return
        wait = min(timeout, left) if timeout else left
        attempt.wait = wait
        if not coming:
            attempt.timer = self._loop.call_later(wait / 1e6, self._timed_out, request, attempt)
        if not action.budget_units:
            self._write(request, attempt, now + wait, action.send_by)
        elif self.dealer is None:
            self._ended(request, attempt, Answer(Outcome.MOOT))
        else:
            end, attempt.exchange = now + wait, Undealt()
            self.dealer.deal(
                action.budget_units, lambda until: self._dealt(request, attempt, action, end, until)
            )

    def _dealt(
        self, request: Request, attempt: Attempt, action: it.SendAttempt, end: int, until: int
    ) -> None:
        if attempt.ended:
            return
        if not until:
            self._ended(request, attempt, Answer(Outcome.MOOT))
        else:
            self._write(request, attempt, end, min(until, action.send_by or until))

    def _write(self, request: Request, attempt: Attempt, end: int, until: int) -> None:
        """`end`: when its answer is to be there; `until`: when its first byte is written at the
        latest."""
        wanted, wait = request.wanted, end - self.now()
        data: Data = b"%bRequest-Timeout: %dm\r\n\r\n%b" % (
            wanted.head,
            max(1, wait // 1000),
            wanted.body,
        )
        if dress := wanted.dress:
            name = self.name_of(attempt.backend)

            def data() -> bytes | None:
                now = self.now()
                return None if 0 < until < now else dress(name, end - now)

        more, opened = request.client.more, lambda answer: self._opened(request, attempt, answer)
        flow = Flow(wanted.upload, opened, more, wait / 1e6, wanted.id)
        attempt.exchange = self.servers.send(
            attempt.backend, data, lambda answer: self._ended(request, attempt, answer), flow
        )

    def _uploaded(self, request: Request) -> None:
        """The last byte of its body has come: its time counts from here, and that of the attempt
        with it."""
        now, timeout = self.now(), request.wanted.timeout
        request.deadline = now + timeout
        request.timer = self._loop.call_later(
            (timeout - ANSWER_MARGIN) / 1e6, self._overdue, request
        )
        for attempt in request.attempts:
            if not attempt.ended:
                attempt.sent = now
                attempt.timer = self._loop.call_later(
                    attempt.wait / 1e6, self._timed_out, request, attempt
                )
        self._post(it.BodyCompleted(request.number, timeout))

    def _opened(self, request: Request, attempt: Attempt, answer: Answer) -> bool:
        """A large answer begins: its first byte goes on at once, and no other attempt can answer
        any more."""
        if request.over or attempt.ended or attempt.exchange is None:
            return False
        self._settle(request)
        request.passing = attempt
        if attempt.timer:
            attempt.timer.cancel()
        request.client.begin(answer, attempt.exchange)
        if self.ends_passing:
            left = max(0, request.deadline - self.now())
            request.timer = self._loop.call_later(left / 1e6, self._break_off, request)
        latency = self.now() - attempt.sent
        self._post(it.StreamStarted(request.number, attempt.number, attempt.backend, latency))
        return True

    def _timed_out(self, request: Request, attempt: Attempt) -> None:
        if not attempt.ended and attempt.exchange:
            self._give_up(request, attempt, attempt.exchange, Outcome.TIMEOUT)

    def _cancel(self, number: int, index: int) -> None:
        request = self._requests.get(number)
        if request and index < len(request.attempts):
            attempt = request.attempts[index]
            if not attempt.ended and attempt.exchange:
                self._give_up(request, attempt, attempt.exchange, Outcome.CANCELLED)

    def _give_up(
        self, request: Request, attempt: Attempt, exchange: Exchange, ran: Outcome
    ) -> None:
        never = Outcome.MOOT if isinstance(exchange, Undealt) else Outcome.CONNECT_FAILED
        self._ended(request, attempt, Answer(ran if exchange.abort() else never))

    def _ended(self, request: Request, attempt: Attempt, answer: Answer) -> None:
        if attempt.ended:
            return
        attempt.ended, attempt.exchange = True, None
        request.out -= 1
        if attempt.timer:
            attempt.timer.cancel()
        upload = request.wanted.upload
        if upload and not request.over:
            upload.detach()
        if request.passing is attempt:
            request.passing = None
            if request.timer:
                request.timer.cancel()
            whole = answer.outcome is Outcome.OK
            self._observe(request, "served" if whole else "broken")
            (request.client.finish if whole else request.client.break_off)()
            self._leave(request)
        elif answer.outcome is Outcome.OK and not request.over:
            self._observe(request, "served")
            self._close(request)
            request.client.serve(answer)
        self._forget(request)
        load = self.names.load(answer.load) if answer.load else ()
        latency = self.now() - attempt.sent
        if self.observer:
            self.observer.attempt(attempt.backend, answer.outcome, latency)
        event = it.AttemptEnded(
            request.number,
            attempt.number,
            attempt.backend,
            answer.outcome,
            latency,
            request.over,
            load,
            body_consumed=upload is not None and upload.spent,
        )
        self._post(event)

    # The rest.

    def _fire(self, token: int) -> None:
        self._post(it.TimerFired(token))

    def _add(self, action: it.AddToCounter) -> None:
        called, name = self.now(), action.name

        def answered(outcome: Outcome, total: float, left: float | None = None) -> None:
            latency = self.now() - called
            if self.observer:
                self.observer.counted(outcome, latency)
            self._post(it.CountAnswered(name, outcome, total, latency, left))

        if self.lessor:
            self.lessor.lease(
                action.customer, action.amount - action.reported, action.reported, answered
            )
        elif self.counter:
            self.counter.add(name, action.amount, action.ttl, answered)
        else:
            answered(Outcome.CONNECT_FAILED, 0.0)

    def _probe(self, backend: int) -> None:
        sent = self.now()

        def ended(answer: Answer) -> None:
            load = self.names.load(answer.load) if answer.load else ()
            self._post(it.ProbeAnswered(backend, answer.outcome, self.now() - sent, load))

        self.servers.probe(backend, ended)

    def _entry(self, entry: Entry, number: int) -> it.ListedBackend:
        zone, kind = self.names.zones.get(entry.zone, 0), self.names.kinds.get(entry.kind, 0)
        return it.ListedBackend(
            number,
            STATES[entry.status],
            zone,
            entry.group,
            kind,
            entry.weight,
            entry.since_us,
            crc32(entry.name.encode(errors="surrogatepass")),  # a broken name is a name, too
        )


Named = TypeVar("Named", it.RequestClass, it.Plan)


def _follow(before: Sequence[Named], now: Sequence[Named]) -> tuple[Named, ...]:
    """A name keeps its number; what was dropped keeps its place, what is new comes behind."""
    named: dict[str, Named] = {entry.name: entry for entry in now}
    kept: list[Named] = [named.get(entry.name, entry) for entry in before]
    known = set(kept)  # there may be as a site has tenants
    return tuple(kept + [entry for entry in now if entry not in known])


class Names:
    """The settings' names for what the module knows by number."""

    def __init__(
        self, settings: it.Settings, raw: dict[str, Any], named: it.Settings | None = None
    ) -> None:
        named = named or settings  # what clients may name: not the classes and plans dropped since
        classes, plans = set(named.classes), set(named.plans)
        self.classes = {c.name.encode(): n for n, c in enumerate(settings.classes) if c in classes}
        self.plans = {p.name.encode(): n for n, p in enumerate(settings.plans) if p in plans}
        self.gateways = settings.fleet_size
        self.zones = _numbered(raw.get("failure_domains", ()))
        self.kinds = _numbered(raw.get("flavors", ()))
        fields = raw.get("telemetry", {}).get("fields", ())
        self._load = {str(f).encode(): n for n, f in enumerate(fields)}
        self._load |= {f.encode(): n for n, f in enumerate(settings.load_fields)}
        self._loads = len(settings.load_fields)

    def load(self, text: bytes) -> tuple[float, ...]:
        """`inflight=7,queue=2` in the settings' order; nothing if a field is missing or is no
        number."""
        found: list[float | None] = [None] * self._loads
        for part in text.split(b","):
            name, _, value = part.strip().partition(b"=")
            if (at := self._load.get(name)) is not None:
                try:
                    found[at] = float(value)
                except ValueError:
                    return ()
        values = [v for v in found if v is not None]
        return tuple(values) if len(values) == self._loads else ()


def _numbered(names: Sequence[Any]) -> dict[str, int]:
    return {str(name): number for number, name in enumerate(names)}
