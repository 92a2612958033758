"""The request life cycle: attempts, retries, hedged requests, deadlines. Types: interface.py.

`RequestPolicy` takes events and returns actions. It does no I/O and reads no clock. Admission is in
`admission`, the customer's account in `account`, endpoint selection in `endpoint_pool`. All times
are microseconds.
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
BUSY_REPORTS = ("queue", "inflight", "util")  # load report fields that grow with the load
MAX_LOAD = 1e6  # a higher reported load is invalid, and is replaced by 0
SWEEP_INTERVAL = SECOND  # us between removals of idle accounts
ACCOUNT_IDLE_WINDOWS = 8  # windows without requests after which the bucket must be full again
# An attempt without an answer counts as stuck after this multiple of the average latency, but not
# before a third of the latency target.
STUCK_LATENCIES = 4


@dataclass(slots=True)
class Attempt:
    """One attempt of a request at an endpoint."""

    backend: Endpoint
    sent_at: int
    in_flight: bool = True
    may_have_run: bool = True  # until an outcome proves otherwise
    streaming: bool = False  # its answer is being forwarded to the client in parts
    reached_endpoint: bool = True  # until an outcome proves otherwise


@dataclass(slots=True)
class Request:
    """A request without a final answer."""

    event: it.RequestArrived
    cls: it.RequestClass
    account: TenantAccount
    useful_until: int  # no new work is started for an answer after this
    # Attempts in flight are awaited until then, because the endpoint's work is already spent.
    awaited_until: int
    limits: it.Limits  # those in force when the request arrived
    attempts: list[Attempt] = field(default_factory=list)
    admitted_until: int = 0  # when the counter counts the request's units as spent; 0: never
    unsent: bool = True  # no attempt was started since admission

    def first_possibly_run(self) -> Attempt | None:
        """Returns the first attempt that may have been executed."""
        return next((a for a in self.attempts if a.may_have_run), None)


def check_settings(settings: it.Settings) -> None:
    """Raises ValueError for inconsistent settings."""
    plans = all(0 <= p.rate < math.inf and 0 <= p.burst < math.inf for p in settings.plans)
    classes = settings.classes and all(c.aim > 0 and c.deadline > 0 for c in settings.classes)
    if not (plans and classes and settings.fleet_size > 0 < settings.limits.max_attempts):
        raise ValueError("settings: classes, plans, fleet_size or limits are out of range")


class RequestPolicy(Admission[Request]):
    """Makes all decisions of one ingress: maps events to actions."""

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
        """Applies new settings to later requests; accounts and endpoint state stay."""
        super().apply_settings(settings)
        self.pool.apply_settings(settings)

    def utilization(self) -> float:
        """Returns the requests in flight as a share of the endpoints' capacity."""
        return self.pool.utilization()

    def handle(self, now: int, event: it.Event) -> list[it.Action]:
        """Returns the actions for an event that arrived at `now`, in us."""
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
        """Sends a hedged request, but only while the endpoints have spare capacity."""
        request = self.requests.get(number)
        if request and request.attempts and self.pool.utilization() < SPARE_CAPACITY:
            self.send(request)

    def _sweep_accounts(self) -> None:
        """Removes idle accounts, whose buckets must be full again."""
        self.swept_at = now = self.now
        self.accounts = {
            customer: account
            for customer, account in self.accounts.items()
            if now - account.demand_at < ACCOUNT_IDLE_WINDOWS * account.window_us
        }

    # Arrival.

    def request_arrived(self, event: it.RequestArrived) -> None:
        """Rejects an invalid request; passes any other to admission."""
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
        ingress_count = min(settings.fleet_size, max(1, event.spread))
        plan, age_s = settings.plans[event.plan], (self.now - self.started_at) / SECOND
        account = TenantAccount(plan, ingress_count, self.slot_us, self.now)
        account.strict = settings.counter.strict
        if not self.superseded:  # else the other process has this customer's rate limit
            account.ceiling_leased = plan.ceiling_burst
            spent = min(plan.ceiling_burst, plan.ceiling_rate * age_s)
            account.ceiling_unreported = spent / ingress_count
        return account

    def answer_deadlines(self, cls: it.RequestClass, left: int) -> tuple[int, int]:
        """Returns a request's `useful_until` and `awaited_until`."""
        pays_late = cls.late_value >= 0.5 or cls.target_stretch > 0
        useful_time = cls.deadline if pays_late else cls.aim
        return self.now + min(left, useful_time), self.now + min(left, useful_time + cls.aim)

    # Attempts.

    def may_send(self, request: Request, backend: Endpoint) -> bool:
        """Whether a request may be sent to an endpoint.

        A request that may have been executed is repeated only if it is safe to repeat, or if it is
        keyed and the repeat is within the scope and the deduplication window.
        """
        cls, exclusive = request.cls, not request.limits.may_duplicate
        if any(a.in_flight and (a.backend is backend or exclusive) for a in request.attempts):
            return False
        first = request.first_possibly_run()
        if first is None or cls.repeat is Repeat.SAFE:
            return True
        if cls.repeat is not Repeat.KEYED:
            return False
        candidate, earlier = backend.info, first.backend.info
        in_scope = {
            Scope.ALL: True,
            Scope.ZONE: candidate.zone == earlier.zone,
            Scope.CELL: candidate.cell == earlier.cell,
        }
        return (
            in_scope[cls.scope] and self.now + self.settings.tick < first.sent_at + cls.dedup_window
        )

    def send(self, request: Request, leased: bool = False) -> bool:
        """Starts an attempt; a request that cannot have a first one is rejected.

        Args:
            request: an admitted request, or one to be retried.
            leased: whether it was admitted on leased units.

        Returns:
            Whether an attempt was started.
        """
        event, account, is_first = request.event, request.account, request.unsent
        reached = sum(1 for attempt in request.attempts if attempt.reached_endpoint)
        exhausted = self._is_exhausted(request, reached, leased)
        backend = None
        if not exhausted:
            backend = self.pool.pick(
                self.now, event.cls, lambda b: self.may_send(request, b), event, reached > 0
            )
        if backend is None:
            if is_first:
                self.end(request, self.capacity_refusal(request, exhausted))
            return False
        spent = event.units if is_first else 0.0
        account.ceiling_leased -= spent
        account.ceiling_unreported -= spent
        timeout = self._attempt_timeout(request)
        send_by = 0 if reached else request.admitted_until
        budget_units = self.pool.required_units()
        self.actions.append(
            it.SendAttempt(event.request, backend.info.id, max(1, timeout), send_by, budget_units)
        )
        attempt = Attempt(backend, self.now)
        self.attempts_in_flight[event.request, len(request.attempts)] = (request, attempt)
        request.attempts.append(attempt)
        request.unsent = False
        account.in_flight_count += 1
        return True

    def _is_exhausted(self, request: Request, reached: int, leased: bool) -> bool:
        """Whether no further attempt is allowed, regardless of the endpoints.

        `reached` is the number of attempts that reached an endpoint."""
        limits, account, is_first = request.limits, request.account, request.unsent
        if len(request.attempts) >= limits.max_attempts or self.now >= request.useful_until:
            return True
        if 0 < request.cls.max_endpoints <= reached:
            return True
        average = self.pool.average_latencies[request.event.cls]
        if (
            limits.awaits_silent_attempts
            and not is_first
            and request.useful_until - self.now < average / 2
        ):
            return True  # a retry that is unlikely to complete in time would waste work
        # The hard rate limit is enforced by fixed shares, independently of the counter.
        if is_first and account.plan.ceiling_rate:
            left = account.ceiling_leased if leased else account.ceiling_unreported
            return left < request.event.units
        return False

    def _attempt_timeout(self, request: Request) -> int:
        """Returns the next attempt's timeout in us; sets the timer of a hedged request."""
        event, cls, limits = request.event, request.cls, request.limits
        average = self.pool.average_latencies[event.cls] or cls.aim / 6
        stuck_after = int(max(STUCK_LATENCIES * average, cls.aim / 3))
        may_follow = (
            not limits.awaits_silent_attempts
            and cls.repeat is not Repeat.UNSAFE
            and not event.body_streaming
        )
        may_follow = may_follow and len(request.attempts) + 1 < limits.max_attempts
        left = request.useful_until - self.now
        if may_follow and limits.may_duplicate and stuck_after < left:
            self.actions.append(it.SetTimer(event.request, self.now + stuck_after))
        elif may_follow and left > 1.5 * stuck_after:
            return stuck_after
        return request.awaited_until - self.now

    def capacity_refusal(self, request: Request, exhausted: bool = False) -> it.Refuse:
        """Returns the rejection for missing capacity.

        An attempt is expected to end within the average latency, which frees capacity.
        """
        wait = self.slot_us if exhausted else int(self.pool.average_latencies[request.event.cls])
        return it.Refuse(request.event.request, min(self.slot_us, wait or self.slot_us), False)

    def attempt_ended(self, event: it.AttemptEnded) -> None:
        """Handles the end of an attempt: the request is complete, is retried, or is ended."""
        if not (found := self.attempts_in_flight.pop((event.request, event.attempt), None)):
            return
        request, attempt = found
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
        """Records the load report that came with an answer."""
        for name, value in zip(self.settings.load_fields, event.load, strict=False):
            if name in BUSY_REPORTS:
                backend.reported_load = value if 0 <= value < MAX_LOAD else 0.0
                backend.reported_at = self.now

    def _retry_or_end(self, request: Request, event: it.AttemptEnded) -> None:
        """Retries or ends a request without attempts in flight."""
        if 0 < request.admitted_until < self.now and not any(
            a.reached_endpoint for a in request.attempts
        ):
            # The admission has expired and no endpoint was reached: the request is admitted anew.
            request.unsent = True
            self.admit(request)
            return
        if not event.body_consumed and self.send(request):
            return
        self.end(request, self._last_answer(request))

    def _last_answer(self, request: Request) -> it.Action:
        """Returns the final action for an unanswered request: `Refuse` if a retry is safe."""
        number, cls = request.event.request, request.cls
        if request.limits.refusal_means_not_run:
            return (
                it.Fail(number) if request.first_possibly_run() else self.capacity_refusal(request)
            )
        keyed = cls.repeat is Repeat.KEYED and cls.scope is Scope.ALL
        retry_is_safe = keyed or cls.repeat is Repeat.SAFE or request.first_possibly_run() is None
        return it.Refuse(number, 0, False) if retry_is_safe else it.Fail(number)

    def stream_started(self, event: it.StreamStarted) -> None:
        """Records the outcome when the answer begins, because the endpoint's work is done then.

        The time that the client takes to read the answer does not depend on the load.
        """
        if found := self.attempts_in_flight.get((event.request, event.attempt)):
            request, attempt = found
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
        """Completes a request; cancels attempts in flight where that is allowed.

        Args:
            number: the request's number.
            except_attempt: the attempt that continues, because it delivers the answer.
        """
        if not (request := self.requests.pop(number, None)):
            return
        request.account.waiting = [r for r in request.account.waiting if r is not request]
        for attempt in range(len(request.attempts) if request.limits.may_cancel else 0):
            if attempt != except_attempt and request.attempts[attempt].in_flight:
                self.actions.append(it.CancelAttempt(number, attempt))

    def apply_predecessor_load(self, event: it.PredecessorLoad) -> None:
        """Records the attempts in flight of the process that this one takes over from."""
        for number, backend in self.pool.backends.items():
            backend.in_flight_elsewhere = event.attempts.get(number, 0)
        self.pool.in_flight_elsewhere = sum(event.attempts.values())
        for customer, account in self.accounts.items():
            account.attempts_elsewhere = event.customers.get(customer, 0)
