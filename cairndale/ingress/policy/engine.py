"""Every decision of the gateway. Types, settings, events and actions: interface.py.

Here is the life of a request: its attempts, retries, hedged requests and its end. Admission is in
`admission`, the customer's account in `account`, the choice of an endpoint in `endpoint_pool`. All
times are microseconds.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from cairndale.ingress.policy import interface as it
from cairndale.ingress.policy.account import SECOND, TenantAccount
from cairndale.ingress.policy.admission import NEVER_RAN, SPARE_CAPACITY, Admission
from cairndale.ingress.policy.endpoint_pool import Backend, Fleet
from cairndale.ingress.policy.interface import ListKind, Outcome, Repeat, Scope

NEVER_CAME = (Outcome.CONNECT_FAILED, Outcome.MOOT)
BUSY = ("queue", "inflight", "util")  # reports that grow with what a backend has to do


@dataclass(slots=True)
class Attempt:
    backend: Backend
    sent: int
    out: bool = True
    may_have_run: bool = True  # until an outcome proves otherwise
    begun: bool = False  # its answer goes on to the client in parts
    arrived: bool = True  # until an outcome proves that the backend never saw it


@dataclass(slots=True)
class Request:
    event: it.RequestArrived
    cls: it.RequestClass
    account: TenantAccount
    cut: int  # no answer after this is worth new work
    end: int  # an answer under way is awaited until here: what it costs the backend is spent
    limits: it.Limits  # those it began with
    attempts: list[Attempt] = field(default_factory=list)
    until: int = 0  # when the unit that it was admitted by is taken for spent; 0: never
    fresh: bool = True  # no attempt was begun since it was admitted

    def ran(self) -> Attempt | None:
        return next((a for a in self.attempts if a.may_have_run), None)


def check(settings: it.Settings) -> None:
    """Raises ValueError for settings that nobody can keep."""
    plans = all(0 <= p.rate < math.inf and 0 <= p.burst < math.inf for p in settings.plans)
    classes = settings.classes and all(c.aim > 0 and c.deadline > 0 for c in settings.classes)
    if not (plans and classes and settings.fleet_size > 0 < settings.limits.max_attempts):
        raise ValueError("settings: classes, plans, fleet_size or limits make no sense")


class Gateway(Admission[Request]):
    def __init__(self, settings: it.Settings, seed: int, fleet: type[Fleet] = Fleet) -> None:
        check(settings)
        rng = random.Random(seed)
        self.fleet = fleet(settings, rng)
        self.requests: dict[int, Request] = {}
        self.flying: dict[tuple[int, int], tuple[Request, Attempt]] = {}
        self.swept_at = 0
        self.began = -1  # the first moment heard of
        super().__init__(settings, rng)

    def follow(self, settings: it.Settings) -> None:
        """Other rules for what is to come: what is known of the fleet stays as well."""
        super().follow(settings)
        self.fleet.follow(settings)

    def used(self) -> float:
        return self.fleet.used()

    def handle(self, now: int, event: it.Event) -> list[it.Action]:
        self.now, self.actions = now, []
        self.began = now if self.began < 0 else self.began
        match event:
            case it.RequestArrived():
                self.arrived(event)
            case it.AttemptEnded():
                self.attempt_ended(event)
            case it.TimerFired(token):
                if (
                    (request := self.requests.get(token))
                    and request.attempts
                    and self.fleet.used() < SPARE_CAPACITY
                ):
                    self.send(request)  # a second copy, only while backends have room for it
            case it.CountAnswered():
                self.count_answered(event)
            case it.BackendsListed(kind):
                self.fleet.listed(event)
                if self.settings.must_ask and kind in (ListKind.FAILED, ListKind.CACHED):
                    self.actions.append(it.Subscribe(True))
            case it.OtherBusy():
                self.other_busy(event)
            case it.SettingsChanged(settings):
                self.follow(settings)
            case it.MaintenanceChanged():
                self.fleet.maintained(now, event)
            case it.ClientGone(number):
                self.finish(number)
            case it.StreamStarted():
                self.stream_started(event)
            case it.BodyCame(number, left):
                if request := self.requests.get(number):
                    request.cut, request.end = self.span(request.cls, left)
        if now - self.swept_at > SECOND:  # idle accounts go once their store must be full again
            self.swept_at = now
            self.accounts = {
                c: a for c, a in self.accounts.items() if now - a.demand_at < 8 * a.window_us
            }
        return self.actions

    def arrived(self, event: it.RequestArrived) -> None:
        s, account = self.settings, self.accounts.get(event.customer)
        valid = (
            event.cls < len(s.classes) and event.plan < len(s.plans) and 0 <= event.units < math.inf
        )
        if event.request in self.requests or not valid or event.time_left <= 0:
            self.actions += [] if event.request in self.requests else [it.Refuse(event.request)]
            return
        if account is None:
            spread = min(s.fleet_size, max(1, event.spread))
            plan, age = s.plans[event.plan], (self.now - self.began) / SECOND
            account = TenantAccount(
                plan, spread, self.slot_us, self.now, ceiling_leased=plan.ceiling_burst
            )
            account.strict = s.counter.strict
            account.ceiling_unreported = min(plan.ceiling_burst, plan.ceiling_rate * age) / spread
            if self.retired:  # this customer's ceiling is the other process's
                account.ceiling_leased = account.ceiling_unreported = 0.0
        if account.strict:
            account.gateways, account.isolated_since = max(1, event.spread), self.alone_since()
            if event.customer not in self.accounts and not account.saves_while_connected:
                account.isolated_share = 0.0
        cls, self.accounts[event.customer] = s.classes[event.cls], account
        cut, end = self.span(cls, event.time_left)
        request = Request(event, cls, account, cut, end, s.limits)
        self.requests[event.request] = request
        account.arrive(self.now, event.units, event.is_retry, self.retired)
        self.admit(request)

    def span(self, cls: it.RequestClass, left: int) -> tuple[int, int]:
        """Until when it is worth what."""
        span = cls.deadline if cls.late_worth >= 0.5 or cls.aim_stretch > 0 else cls.aim
        return self.now + min(left, span), self.now + min(left, span + cls.aim)

    def may_send(self, request: Request, backend: Backend) -> bool:
        """What may have run is repeated only if safe, or keyed within the scope and memory of its
        keys."""
        ran, cls, alone = request.ran(), request.cls, not request.limits.may_duplicate
        if any(a.out and (a.backend is backend or alone) for a in request.attempts):
            return False
        if ran is None or cls.repeat is Repeat.SAFE:
            return True
        here, there, sent, tick = backend.info, ran.backend.info, ran.sent, self.settings.tick
        same = {
            Scope.ALL: True,
            Scope.ZONE: here.zone == there.zone,
            Scope.CELL: here.cell == there.cell,
        }
        return (
            cls.repeat is Repeat.KEYED and same[cls.scope] and self.now + tick < sent + cls.memory
        )

    def send(self, request: Request, leased: bool = False) -> bool:
        event, account, cls, first = request.event, request.account, request.cls, request.fresh
        limits = request.limits
        over = len(request.attempts) >= limits.max_attempts or self.now >= request.cut
        seen = sum(1 for a in request.attempts if a.arrived)
        over = over or 0 < cls.tries <= seen
        # another try that can hardly end in time is work for nothing
        if limits.patient and not first:
            over = over or request.cut - self.now < self.fleet.usual[event.cls] / 2
        if first and account.plan.ceiling_rate:  # kept by fixed parts, whatever the counter says
            over = (
                over
                or (account.ceiling_leased if leased else account.ceiling_unreported) < event.units
            )
        backend = (
            None
            if over
            else self.fleet.pick(
                self.now, event.cls, lambda b: self.may_send(request, b), event, seen > 0
            )
        )
        if backend is None:
            if first:
                self.end(request, self.no_room(request, over))
            return False
        spent = event.units if first else 0.0
        account.ceiling_leased -= spent
        account.ceiling_unreported -= spent
        number, left, timeout = (
            len(request.attempts),
            request.cut - self.now,
            request.end - self.now,
        )
        # older: stuck
        patience = int(max(4 * (self.fleet.usual[event.cls] or cls.aim / 6), cls.aim / 3))
        more = not limits.patient and cls.repeat is not Repeat.UNSAFE and not event.in_parts
        more = more and number + 1 < limits.max_attempts
        if more and limits.may_duplicate and patience < left:
            self.actions.append(it.SetTimer(event.request, self.now + patience))
        elif more and left > 1.5 * patience:
            timeout = patience
        until = 0 if seen else request.until
        self.actions.append(
            it.SendAttempt(
                event.request, backend.info.id, max(1, timeout), until, self.fleet.owes()
            )
        )
        request.attempts.append(Attempt(backend, self.now))
        request.fresh = False
        self.flying[event.request, number] = (request, request.attempts[-1])
        account.attempts_out += 1
        return True

    def no_room(self, request: Request, over: bool = False) -> it.Refuse:
        """By the usual latency from now some attempt has ended."""
        wait = self.slot_us if over else int(self.fleet.usual[request.event.cls])
        return it.Refuse(request.event.request, min(self.slot_us, wait or self.slot_us), False)

    def attempt_ended(self, event: it.AttemptEnded) -> None:
        if not (flown := self.flying.pop((event.request, event.attempt), None)):
            return
        request, attempt = flown
        account, cls = request.account, request.cls
        account.attempts_out -= 1
        attempt.out, attempt.may_have_run = False, event.outcome not in NEVER_RAN
        attempt.arrived = event.outcome not in NEVER_CAME
        if not attempt.begun:
            self.fleet.ended(
                attempt.backend, self.now, request.event.cls, event.outcome, event.latency
            )
        for load in [
            v for n, v in zip(self.settings.load_fields, event.load, strict=False) if n in BUSY
        ]:
            attempt.backend.load, attempt.backend.load_at = (
                load if 0 <= load < 1e6 else 0.0,
                self.now,
            )
        if self.settings.settles and event.outcome is Outcome.OK and event.billed > 0:
            account.tokens -= event.billed - request.event.units
        if event.final:
            self.finish(event.request)
        if event.request not in self.requests or any(a.out for a in request.attempts):
            return
        if 0 < request.until < self.now and not any(a.arrived for a in request.attempts):
            # what it was admitted by is over, and no backend saw it: it asks anew
            request.fresh = True
            self.admit(request)
            return
        if not event.spent and self.send(request):
            return
        if request.limits.promises:
            answer = it.Fail(event.request) if request.ran() else self.no_room(request)
        else:
            keyed = cls.repeat is Repeat.KEYED and cls.scope is Scope.ALL
            harmless = keyed or cls.repeat is Repeat.SAFE or request.ran() is None
            answer = it.Refuse(event.request, 0, False) if harmless else it.Fail(event.request)
        self.end(request, answer)

    def stream_started(self, event: it.StreamStarted) -> None:
        """The answer is certain, and the backend's work done: how long the client reads tells no
        load."""
        if flown := self.flying.get((event.request, event.attempt)):
            flown[1].begun, cls = True, flown[0].event.cls
            self.fleet.ended(flown[1].backend, self.now, cls, Outcome.OK, event.latency)
        self.finish(event.request, but=event.attempt)

    def end(self, request: Request, answer: it.Action) -> None:
        self.actions.append(answer)
        self.finish(request.event.request)

    def finish(self, number: int, but: int = -1) -> None:
        """The request is over here; attempts still out are stopped where that is allowed."""
        if not (request := self.requests.pop(number, None)):
            return
        request.account.waiting = [r for r in request.account.waiting if r is not request]
        for attempt in range(len(request.attempts) if request.limits.may_cancel else 0):
            if attempt != but and request.attempts[attempt].out:
                self.actions.append(it.CancelAttempt(number, attempt))

    def other_busy(self, event: it.OtherBusy) -> None:
        for number, backend in self.fleet.backends.items():
            backend.elsewhere = event.attempts.get(number, 0)
        self.fleet.elsewhere = sum(event.attempts.values())
        for customer, account in self.accounts.items():
            account.attempts_elsewhere = event.customers.get(customer, 0)
