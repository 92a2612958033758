"""The request life cycle: attempts, retries, hedged requests, deadlines. Types: interface.py.

`RequestPolicy` takes events and returns actions; it does no I/O and reads no clock. Admission is in
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
from cairndale.ingress.policy.endpoint_pool import Endpoint, EndpointPool
from cairndale.ingress.policy.interface import ListKind, Outcome, Repeat, Scope

NEVER_ARRIVED = (Outcome.CONNECT_FAILED, Outcome.MOOT)
BUSY_REPORTS = ("queue", "inflight", "util")  # reports that grow with what an endpoint has to do
MAX_LOAD = 1e6  # of a report: more is taken for none
SWEEP_INTERVAL = SECOND  # between looks for idle accounts
ACCOUNT_IDLE_WINDOWS = 8  # after which a store must be full again
# An attempt without an answer is stuck after so many usual latencies ...
STUCK_LATENCIES = 4


@dataclass(slots=True)
class Attempt:
    """One attempt of a request at an endpoint."""

    backend: Endpoint
    sent_at: int
    in_flight: bool = True
    may_have_run: bool = True  # until an outcome proves otherwise
    streaming: bool = False  # its answer goes on to the client in parts
    reached_endpoint: bool = True  # until an outcome proves that the endpoint never saw it


@dataclass(slots=True)
class Request:
    """A request that is not answered yet."""

    event: it.RequestArrived
    cls: it.RequestClass
    account: TenantAccount
    useful_until: int  # no answer after this is worth new work
    awaited_until: (
        int  # an answer under way is awaited until here: what it costs the endpoint is spent
    )
    limits: it.Limits  # those it began with
    attempts: list[Attempt] = field(default_factory=list)
    admitted_until: int = 0  # when the unit that it was admitted by is taken for spent; 0: never
    unsent: bool = True  # no attempt was begun since it was admitted

    def ran(self) -> Attempt | None:
        """The first attempt that may have run."""
        return next((a for a in self.attempts if a.may_have_run), None)


def check_settings(settings: it.Settings) -> None:
    """Raises ValueError for settings that nobody can keep."""
    plans = all(0 <= p.rate < math.inf and 0 <= p.burst < math.inf for p in settings.plans)
    classes = settings.classes and all(c.aim > 0 and c.deadline > 0 for c in settings.classes)
    if not (plans and classes and settings.fleet_size > 0 < settings.limits.max_attempts):
        raise ValueError("settings: classes, plans, fleet_size or limits make no sense")


class RequestPolicy(Admission[Request]):
    """Every decision of one ingress: events in, actions out."""

    def __init__(
        self, settings: it.Settings, seed: int, pool: type[EndpointPool] = EndpointPool
    ) -> None:
        check_settings(settings)
        rng = random.Random(seed)
        self.pool = pool(settings, rng)
        self.requests: dict[int, Request] = {}
        self.attempts_in_flight: dict[tuple[int, int], tuple[Request, Attempt]] = {}
        self.swept_at = 0
        self.started_at = -1  # the time of the first event
        super().__init__(settings, rng)

    def apply_settings(self, settings: it.Settings) -> None:
        """Other rules for what is to come: what is known of the endpoints stays as well."""
        super().apply_settings(settings)
        self.pool.apply_settings(settings)

    def utilization(self) -> float:
        """The part of what the endpoints can take that is in flight."""
        return self.pool.utilization()

    def handle(self, now: int, event: it.Event) -> list[it.Action]:
        """What is to be done about an event that came at `now`, in us."""
        self.now, self.actions = now, []
        self.started_at = now if self.started_at < 0 else self.started_at
        match event:
            case it.RequestArrived():
                self.request_arrived(event)
            case it.AttemptEnded():
                self.attempt_ended(event)
            case it.TimerFired(token):
                self._hedge(token)
            case it.CountAnswered():
                self.count_answered(event)
            case it.BackendsListed(kind):
                self.pool.update_endpoints(event)
                if self.settings.must_subscribe and kind in (ListKind.FAILED, ListKind.CACHED):
                    self.actions.append(it.Subscribe(True))
            case it.PredecessorLoad():
                self.apply_predecessor_load(event)
            case it.SettingsChanged(settings):
                self.apply_settings(settings)
            case it.MaintenanceChanged():
                self.pool.apply_maintenance(now, event)
            case it.ClientGone(number):
                self.finish(number)
            case it.StreamStarted():
                self.stream_started(event)
            case it.BodyCompleted(number, left):
                if request := self.requests.get(number):
                    request.useful_until, request.awaited_until = self.answer_deadlines(
                        request.cls, left
                    )
        if now - self.swept_at > SWEEP_INTERVAL:
            self._sweep_accounts()
        return self.actions

    def _hedge(self, number: int) -> None:
        """A second copy, only while the endpoints have room for it."""
        request = self.requests.get(number)
        if request and request.attempts and self.pool.utilization() < SPARE_CAPACITY:
            self.send(request)

    def _sweep_accounts(self) -> None:
        """Idle accounts go once their store must be full again."""
        self.swept_at = now = self.now
        self.accounts = {
            customer: account
            for customer, account in self.accounts.items()
            if now - account.demand_at < ACCOUNT_IDLE_WINDOWS * account.window_us
        }

    # A request comes.

    def request_arrived(self, event: it.RequestArrived) -> None:
        """A new request: refused if it makes no sense, else put to admission."""
        settings = self.settings
        valid = event.cls < len(settings.classes) and event.plan < len(settings.plans)
        valid = valid and 0 <= event.units < math.inf
        if event.request in self.requests:
            return
        if not valid or event.time_left <= 0:
            self.actions.append(it.Refuse(event.request))
            return
        account = self.accounts.get(event.customer)
        if account is None:
            account = self._new_account(event)
        if account.strict:
            account.ingress_count, account.isolated_since = (
                max(1, event.spread),
                self.counter_unreachable_since(),
            )
            if event.customer not in self.accounts and not account.saves_while_connected:
                account.isolated_share = 0.0
        self.accounts[event.customer] = account
        cls = settings.classes[event.cls]
        cut, end = self.answer_deadlines(cls, event.time_left)
        request = Request(event, cls, account, cut, end, settings.limits)
        self.requests[event.request] = request
        account.record_arrival(self.now, event.units, event.is_retry, self.superseded)
        self.admit(request)

    def _new_account(self, event: it.RequestArrived) -> TenantAccount:
        settings = self.settings
        gateways = min(settings.fleet_size, max(1, event.spread))
        plan, age_s = settings.plans[event.plan], (self.now - self.started_at) / SECOND
        account = TenantAccount(plan, gateways, self.slot_us, self.now)
        account.strict = settings.counter.strict
        if not self.superseded:  # else this customer's ceiling is the other process's
            account.ceiling_leased = plan.ceiling_burst
            spent = min(plan.ceiling_burst, plan.ceiling_rate * age_s)
            account.ceiling_unreported = spent / gateways
        return account

    def answer_deadlines(self, cls: it.RequestClass, left: int) -> tuple[int, int]:
        """Until when an answer is worth new work, and until when one under way is awaited."""
        pays_late = cls.late_value >= 0.5 or cls.target_stretch > 0
        span = cls.deadline if pays_late else cls.aim
        return self.now + min(left, span), self.now + min(left, span + cls.aim)

    # Attempts.

    def may_send(self, request: Request, backend: Endpoint) -> bool:
        """Whether a request may go to an endpoint.

        What may have run is repeated only if that is safe, or keyed within the scope and memory of
        its keys.
        """
        cls, alone = request.cls, not request.limits.may_duplicate
        if any(a.in_flight and (a.backend is backend or alone) for a in request.attempts):
            return False
        ran = request.ran()
        if ran is None or cls.repeat is Repeat.SAFE:
            return True
        if cls.repeat is not Repeat.KEYED:
            return False
        here, there = backend.info, ran.backend.info
        same = {
            Scope.ALL: True,
            Scope.ZONE: here.zone == there.zone,
            Scope.CELL: here.cell == there.cell,
        }
        return same[cls.scope] and self.now + self.settings.tick < ran.sent_at + cls.dedup_window

    def send(self, request: Request, leased: bool = False) -> bool:
        """Begins an attempt; a request that can have no first one is refused.

        Args:
            request: admitted, or to be tried again.
            leased: it is admitted by a leased unit.

        Returns:
            Whether an attempt was begun.
        """
        event, account, first = request.event, request.account, request.unsent
        seen = sum(1 for attempt in request.attempts if attempt.reached_endpoint)
        over = self._is_over(request, seen, leased)
        backend = None
        if not over:
            backend = self.pool.pick(
                self.now, event.cls, lambda b: self.may_send(request, b), event, seen > 0
            )
        if backend is None:
            if first:
                self.end(request, self.capacity_refusal(request, over))
            return False
        spent = event.units if first else 0.0
        account.ceiling_leased -= spent
        account.ceiling_unreported -= spent
        timeout = self._attempt_timeout(request)
        until = 0 if seen else request.admitted_until
        units = self.pool.required_units()
        self.actions.append(
            it.SendAttempt(event.request, backend.info.id, max(1, timeout), until, units)
        )
        attempt = Attempt(backend, self.now)
        self.attempts_in_flight[event.request, len(request.attempts)] = (request, attempt)
        request.attempts.append(attempt)
        request.unsent = False
        account.in_flight_count += 1
        return True

    def _is_over(self, request: Request, seen: int, leased: bool) -> bool:
        """No further attempt, whatever endpoints there are; `seen`: attempts that arrived."""
        limits, account, first = request.limits, request.account, request.unsent
        if len(request.attempts) >= limits.max_attempts or self.now >= request.useful_until:
            return True
        if 0 < request.cls.max_endpoints <= seen:
            return True
        usual = self.pool.average_latencies[request.event.cls]
        if (
            limits.awaits_silent_attempts
            and not first
            and request.useful_until - self.now < usual / 2
        ):
            return True  # a retry that can hardly end in time is work for nothing
        if first and account.plan.ceiling_rate:  # kept by fixed parts, whatever the counter says
            left = account.ceiling_leased if leased else account.ceiling_unreported
            return left < request.event.units
        return False

    def _attempt_timeout(self, request: Request) -> int:
        """For how long the next attempt is awaited, in us; sets the timer of a hedged request."""
        event, cls, limits = request.event, request.cls, request.limits
        usual = self.pool.average_latencies[event.cls] or cls.aim / 6
        patience = int(max(STUCK_LATENCIES * usual, cls.aim / 3))
        more = (
            not limits.awaits_silent_attempts
            and cls.repeat is not Repeat.UNSAFE
            and not event.body_streaming
        )
        more = more and len(request.attempts) + 1 < limits.max_attempts
        left = request.useful_until - self.now
        if more and limits.may_duplicate and patience < left:
            self.actions.append(it.SetTimer(event.request, self.now + patience))
        elif more and left > 1.5 * patience:
            return patience
        return request.awaited_until - self.now

    def capacity_refusal(self, request: Request, over: bool = False) -> it.Refuse:
        """By the usual latency from now some attempt has ended."""
        wait = self.slot_us if over else int(self.pool.average_latencies[request.event.cls])
        return it.Refuse(request.event.request, min(self.slot_us, wait or self.slot_us), False)

    def attempt_ended(self, event: it.AttemptEnded) -> None:
        """An attempt has ended: the request is answered, tried again, or ends."""
        if not (flown := self.attempts_in_flight.pop((event.request, event.attempt), None)):
            return
        request, attempt = flown
        account = request.account
        account.in_flight_count -= 1
        attempt.in_flight, attempt.may_have_run = False, event.outcome not in NEVER_RAN
        attempt.reached_endpoint = event.outcome not in NEVER_ARRIVED
        if not attempt.streaming:
            self.pool.record_outcome(
                attempt.backend, self.now, request.event.cls, event.outcome, event.latency
            )
        self._note_load(attempt.backend, event)
        if self.settings.post_paid and event.outcome is Outcome.OK and event.billed > 0:
            account.tokens -= event.billed - request.event.units
        if event.final:
            self.finish(event.request)
        if event.request in self.requests and not any(a.in_flight for a in request.attempts):
            self._retry_or_end(request, event)

    def _note_load(self, backend: Endpoint, event: it.AttemptEnded) -> None:
        """The load report that came with an answer."""
        for name, value in zip(self.settings.load_fields, event.load, strict=False):
            if name in BUSY_REPORTS:
                backend.reported_load = value if 0 <= value < MAX_LOAD else 0.0
                backend.reported_at = self.now

    def _retry_or_end(self, request: Request, event: it.AttemptEnded) -> None:
        """No attempt is in flight any longer."""
        if 0 < request.admitted_until < self.now and not any(
            a.reached_endpoint for a in request.attempts
        ):
            # What it was admitted by is over, and no endpoint saw it: it is admitted anew.
            request.unsent = True
            self.admit(request)
            return
        if not event.body_consumed and self.send(request):
            return
        self.end(request, self._last_answer(request))

    def _last_answer(self, request: Request) -> it.Action:
        """What a request without an answer is told: whether a new try does no harm."""
        number, cls = request.event.request, request.cls
        if request.limits.refusal_means_not_run:
            return it.Fail(number) if request.ran() else self.capacity_refusal(request)
        keyed = cls.repeat is Repeat.KEYED and cls.scope is Scope.ALL
        harmless = keyed or cls.repeat is Repeat.SAFE or request.ran() is None
        return it.Refuse(number, 0, False) if harmless else it.Fail(number)

    def stream_started(self, event: it.StreamStarted) -> None:
        """The answer is certain, and the endpoint's work done.

        How long the client takes to read it says nothing of load.
        """
        if flown := self.attempts_in_flight.get((event.request, event.attempt)):
            request, attempt = flown
            attempt.streaming = True
            self.pool.record_outcome(
                attempt.backend, self.now, request.event.cls, Outcome.OK, event.latency
            )
        self.finish(event.request, except_attempt=event.attempt)

    # Ends.

    def end(self, request: Request, answer: it.Action) -> None:
        """Answers the request for good."""
        self.actions.append(answer)
        self.finish(request.event.request)

    def finish(self, number: int, except_attempt: int = -1) -> None:
        """The request is over; attempts still in flight are cancelled where that is allowed.

        Args:
            number: the request's.
            except_attempt: the attempt that goes on, as it answers.
        """
        if not (request := self.requests.pop(number, None)):
            return
        request.account.waiting = [r for r in request.account.waiting if r is not request]
        for attempt in range(len(request.attempts) if request.limits.may_cancel else 0):
            if attempt != except_attempt and request.attempts[attempt].in_flight:
                self.actions.append(it.CancelAttempt(number, attempt))

    def apply_predecessor_load(self, event: it.PredecessorLoad) -> None:
        """What is in flight from the process that this one takes over from."""
        for number, backend in self.pool.backends.items():
            backend.in_flight_elsewhere = event.attempts.get(number, 0)
        self.pool.in_flight_elsewhere = sum(event.attempts.values())
        for customer, account in self.accounts.items():
            account.attempts_elsewhere = event.customers.get(customer, 0)
