"""Admission: leased token buckets, then the borrowing ring. Types: interface.py.

First stage. A request is admitted if the customer's bucket covers it. If not, a lease is asked of
the counter, for what waits and for demand ahead; requests wait for it as long as their time allows.
While the counter is out of reach or crowded, an ingress spends a fixed part without it and reports
that later. Second stage. What the store cannot hold borrows from a later slot (`borrowing_ring`)
and is told when to retry, or is refused for good.

What becomes of an admitted request is the engine's, which fills in `send`, `end` and `used`. All
times are microseconds."""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from cairndale.ingress.policy import interface as it
from cairndale.ingress.policy.account import SECOND, TenantAccount
from cairndale.ingress.policy.hashing import counter_name
from cairndale.ingress.policy.interface import Outcome

# s of demand leased ahead: long enough to save calls, short enough not to strand units.
LEASE_LIFE_S = 1.0
# Part of the endpoints' bound under which there is room for hedged requests and for paid units
# beyond a quota.
SPARE_CAPACITY = 0.6
COUNTER_OVERLOADED = 1.2  # calls refused or unanswered of late: some in ten, and not just one
# Calls a second by all ingresses that are made while crowded, though they could be saved.
TRIAL_CALLS_PER_S = 64.0
# Windows for which a total of the counter tells more of a customer than an even part of the quota.
TOTAL_TRUSTED_WINDOWS = 4
# Ingresses a customer: with more, what one leases ahead is seldom spent, and few know of the store.
CONTENDED_GATEWAYS = 12
MAX_BACKOFF_FACTOR = 32.0  # times the usual pause between calls
MAX_COUNTER_TTL = 60 * SECOND
NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class AdmissionRequest(Protocol):
    """What admission asks of a request."""

    event: it.RequestArrived
    account: TenantAccount
    useful_until: int  # no answer after this is worth new work
    admitted_until: int  # when the unit that it is admitted by is taken for spent; 0: never


RequestT = TypeVar("RequestT", bound=AdmissionRequest)


@dataclass(frozen=True, slots=True)
class CounterCall:
    """A call to the counter that is not answered yet."""

    account: TenantAccount
    window_start: int  # us
    amount: float  # units asked for, or added back if negative
    is_lease: bool
    reported: float  # units of the call that are spent already


class Admission(Generic[RequestT]):
    """Both stages, for every customer."""

    def __init__(self, settings: it.Settings, rng: random.Random) -> None:
        self.settings, self.rng = settings, rng
        self.accounts: dict[int, TenantAccount] = {}
        self.calls: dict[int, deque[CounterCall]] = {}  # unanswered, by the counter's name
        self.backoff_factor = 1.0  # factor on the pause between calls; 1: the counter keeps up
        self.next_call_at = -SECOND
        self.now = 0
        self.retired = False  # another process has taken over; what is still open ends here
        self.requests_since_call = 0
        self.requests_per_call = 1.0  # average of the above, each call's own included
        self.actions: list[it.Action] = []
        self.counter_reachable: Callable[[], bool] = lambda: (
            True
        )  # whether the counter is in contact
        # Since when the counter is out of contact; while it is in contact, now.
        self.counter_unreachable_since: Callable[[], int] = lambda: 0
        self.apply_settings(settings)

    def apply_settings(self, settings: it.Settings) -> None:
        """Other rules for what is to come: accounts and leases stay."""
        for account in self.accounts.values():
            account.apply_plan(settings.plans[self.settings.plans.index(account.plan)])
        limits, counter, self.settings = settings.limits, settings.counter, settings
        # us between calls while the counter keeps up.
        self.call_interval = counter.timeout * settings.fleet_size / counter.max_calls_in_flight
        # A trial call a second or so at the most crowded.
        backoff = 1.5 * SECOND / max(1.0, self.call_interval)
        self.max_backoff_factor = max(1.0, min(MAX_BACKOFF_FACTOR, backoff))
        # d_0, T0: the longest wait that clients heed.
        self.slot_us = limits.advises_retry * limits.max_retry_after or SECOND

    # Filled in by the engine.

    def send(self, request: RequestT, leased: bool = False) -> bool:
        """Takes it on to an endpoint, or ends it; False if no attempt was begun."""
        raise NotImplementedError

    def end(self, request: RequestT, answer: it.Action) -> None:
        """Answers the request for good."""
        raise NotImplementedError

    def utilization(self) -> float:
        """The part of what the endpoints can take that is in flight."""
        raise NotImplementedError

    # First stage.

    def admit(self, request: RequestT, answered: bool = False) -> None:
        """Decides on a request.

        Args:
            request: newly come, or one that waited.
            answered: the counter has just answered, so what the bucket lacks is overflow.
        """
        account, units, counter = request.account, request.event.units, self.settings.counter
        plan, contended = account.plan, self.is_contended(account)
        request.admitted_until = 0
        if 0 < counter.lease_expiry < self.now - account.leased_at:
            account.tokens = 0.0  # the counter takes them for spent
        attempts = account.attempts_out + account.attempts_elsewhere
        if plan.max_in_flight and attempts >= plan.max_in_flight:
            self.overflow(request)  # the cap on attempts at once holds whatever the store has
        elif not plan.rate or (account.tokens >= units and not account.waiting):
            self._send_leased(request)
        elif not answered and self.can_skip_call(account, units):
            self.send_unreported(request)
        elif answered or (
            not contended and account.bucket_bound(self.now) + account.tokens < units
        ):
            self.overflow(request)  # the store cannot hold it, whatever others did: no call needed
        elif self._cannot_call(request) or (contended and self._not_worth_a_call(request)):
            self.admit_without_counter(request)
        else:
            account.waiting.append(request)
            if not account.lease_pending:
                self.request_lease(account, request.event.customer)

    def _send_leased(self, request: RequestT) -> None:
        account, counter = request.account, self.settings.counter
        account.bucket_units, account.bucket_updated_at = account.bucket_bound(self.now), self.now
        if account.plan.rate and counter.lease_expiry:
            request.admitted_until = account.leased_at + counter.lease_expiry
        if self.send(request, leased=True):
            account.tokens -= request.event.units

    def _cannot_call(self, request: RequestT) -> bool:
        """No counter, no time for it, or calls enough made."""
        if self.lacks_time_for_call(request):
            return True
        if not (self.settings.counter.allowed and self.counter_reachable()):
            return True
        return not request.account.lease_pending and self.next_call_at > self.now

    def _not_worth_a_call(self, request: RequestT) -> bool:
        """Under contention: the total is known, or the request has other ways."""
        account, plan = request.account, request.account.plan
        known = self.now - account.total_seen_at < account.window_us
        return known or request.event.is_retry or plan.overage_value > plan.overage_cost

    def lacks_time_for_call(self, request: RequestT) -> bool:
        """Whether an answer of the counter may come too late for the request."""
        return self.now + 2 * self.settings.counter.timeout >= request.useful_until

    def lease_ahead_part(self, account: TenantAccount) -> float:
        """The part of the store's room that one lease may take ahead of demand."""
        return self.settings.counter.lease_ahead_share or 1 / (2 * account.ingress_count)

    def is_contended(self, account: TenantAccount) -> bool:
        """The counter is crowded, and many ingresses share the customer."""
        return (
            self.backoff_factor > COUNTER_OVERLOADED and account.ingress_count > CONTENDED_GATEWAYS
        )

    # Units spent without the counter.

    def admit_without_counter(self, request: RequestT) -> None:
        """Spends of a fixed part without a call; by a draw where that is less than a request."""
        account, units = request.account, request.event.units
        counter = self.settings.counter
        if counter.strict and self.counter_reachable():
            self.overflow(request)
            return
        room = account.bucket_bound(self.now)
        self.requests_since_call += not request.event.is_retry
        even = account.plan.burst / account.ingress_count if request.event.is_retry else room
        part = min(account.isolated_share, room, even) / units if units else 1.0
        trusted_us = TOTAL_TRUSTED_WINDOWS * account.window_us
        if self.is_contended(account) and self.now - account.total_seen_at < trusted_us:
            part = account.admit_probability
        elif counter.strict or account.plan.burst >= units * account.ingress_count:
            part = part // 1  # whole requests only
        if self.rng.random() >= part:
            self.overflow(request)
        else:
            self.send_unreported(request)

    def can_skip_call(self, account: TenantAccount, units: float) -> bool:
        """While crowded, what this ingress's own part covers needs no call.

        A trial call is made now and then all the same.
        """
        if self.settings.counter.strict:
            return False
        trial_us = self.settings.fleet_size * SECOND / TRIAL_CALLS_PER_S
        needed = (
            self.backoff_factor > COUNTER_OVERLOADED and self.now - self.next_call_at < trial_us
        )
        covered = not account.plan.ceiling_rate or account.ceiling_unreported >= units
        room = min(account.isolated_share, account.bucket_bound(self.now))
        return needed and covered and room >= units

    def send_unreported(self, request: RequestT) -> None:
        """Sends on units that the counter is told of with the next call."""
        account, units = request.account, request.event.units
        room, expiry = account.bucket_bound(self.now), self.settings.counter.lease_expiry
        request.admitted_until = self.now + expiry if expiry else 0
        if self.send(request):
            account.isolated_share = max(0.0, account.isolated_share - units)
            account.unreported += units
            account.bucket_units, account.bucket_updated_at = room - units, self.now

    # Leases.

    def request_lease(self, account: TenantAccount, customer: int) -> None:
        """Asks the counter for what waits, and for demand ahead."""
        strict = self.settings.counter.strict
        need, ahead = self._lease_size(account)
        window = self.now // account.window_us
        name = counter_name(customer, window)
        reported = account.unreported + account.refund * (account.refund_name == name)
        account.lease_pending, account.unreported, account.refund = True, 0.0, 0.0
        amount = need + ahead
        if strict:  # whole units: what is left over would outlive its lease
            reported, amount = 0.0, math.ceil(amount)
        start = window * account.window_us
        self.call_counter(name, CounterCall(account, start, amount, True, reported), customer)

    def _lease_size(self, account: TenantAccount) -> tuple[float, float]:
        """Units needed now, and ahead of demand."""
        room = account.bucket_bound(self.now)
        waiting = sum(request.event.units for request in account.waiting)
        need = max(0.0, min(waiting - account.tokens, room))
        expected = max(account.demand * LEASE_LIFE_S, waiting) * self.backoff_factor
        ahead = min(expected, (room - need) * self.lease_ahead_part(account))
        if self.retired:  # the customer's next requests come to the other process
            ahead = 0.0
        made = 1 + self.requests_since_call
        self.requests_per_call += 0.1 * (made - self.requests_per_call)
        self.requests_since_call = 0
        need *= self.requests_per_call if self.is_contended(account) else 1.0
        return need, max(0.0, min(ahead, room - need))

    def call_counter(self, name: int, call: CounterCall, customer: int = 0) -> None:
        """Adds to a window's total, and sets when the next call may be made."""
        ttl = min(MAX_COUNTER_TTL, 2 * call.account.window_us)
        amount = call.amount + call.reported
        self.actions.append(it.AddToCounter(name, amount, ttl, customer, call.reported))
        self.calls.setdefault(name, deque()).append(call)
        earliest = max(self.next_call_at, self.now - SECOND / self.backoff_factor)
        self.next_call_at = int(earliest + self.call_interval * self.backoff_factor)

    # The counter's answers.

    def count_answered(self, event: it.CountAnswered) -> None:
        """The counter has answered a call, or has failed to."""
        call = self._pop_call(event.name)
        if call is None:
            return
        heard = event.outcome is Outcome.OK and math.isfinite(event.total)
        self._adjust_backoff(event.outcome, heard)
        if not call.is_lease:
            return
        account = call.account
        waiting, account.waiting, account.lease_pending = account.waiting, [], False
        if heard:
            self._grant(call, event, waiting)
            self._admit_waiting(account, waiting, keeps_store=event.left is not None)
        else:
            self._lease_failed(call, event.outcome, waiting)

    def _pop_call(self, name: int) -> CounterCall | None:
        queue = self.calls.pop(name, None)
        if not queue:
            return None
        call = queue.popleft()
        if queue:
            self.calls[name] = queue
        return call

    def _adjust_backoff(self, outcome: Outcome, heard: bool) -> None:
        """Counter slow, silent, refusing, crowded: fewer calls in flight, rarer, for more.

        Meanwhile an even part of the quota is spent without it. Harms a customer whose traffic all
        comes through one ingress: it waits longer for its units.
        """
        if heard:
            self.backoff_factor = max(1.0, self.backoff_factor * 0.95)
            return
        # A broken connection says less of a crowd than a refusal or a silence.
        growth = 1.0 if outcome is Outcome.RESET else 1.5
        self.backoff_factor = min(self.max_backoff_factor, self.backoff_factor * growth)

    def _lease_failed(self, call: CounterCall, outcome: Outcome, waiting: list[RequestT]) -> None:
        """Requests ask anew after a broken connection, if there is time, or do without."""
        call.account.unreported += max(0.0, call.reported) * (outcome in NEVER_RAN)
        again = self.admit if outcome is Outcome.RESET else self.admit_without_counter
        for request in waiting:
            again(request)

    def _grant(self, call: CounterCall, event: it.CountAnswered, waiting: list[RequestT]) -> None:
        """Takes a lease in: what was granted, and what it tells of the shared store."""
        account, amount = call.account, call.amount
        account.leased_at = self.now - event.latency
        if event.left is not None:  # the counter keeps the store, and gave back what went past it
            units, over = event.left, min(amount, max(0.0, -event.left))
        elif self.is_contended(account):
            units, over = self._contended_grant(call, event.total, waiting)
        else:
            units, over = self._estimated_grant(call, event)
        account.bucket_units = min(account.plan.burst, units + over)
        account.bucket_updated_at = self.now
        account.tokens += amount - over
        account.lease_rate = min(account.plan.rate, (amount - over) / LEASE_LIFE_S)

    def _contended_grant(
        self, call: CounterCall, total: float, waiting: list[RequestT]
    ) -> tuple[float, float]:
        """The store's units, and those of the lease that go past it.

        Nothing is added back: the total tells how much is asked of the store, and a draw gives
        each its part.
        """
        account, plan = call.account, call.account.plan
        due = plan.rate * (self.now - call.window_start) / SECOND
        need = min(call.amount, sum(request.event.units for request in waiting))
        # The store was as likely full as empty when the window began.
        asked = total - plan.burst / 2
        account.admit_probability = 1.0 if asked <= due else due / asked
        account.total_seen_at = self.now
        admitted = self.rng.random() < account.admit_probability
        return plan.burst, call.amount - need if admitted else call.amount

    def _estimated_grant(self, call: CounterCall, event: it.CountAnswered) -> tuple[float, float]:
        """The store's units, and those of the lease that go past it, from the window's total.

        Some units the counter does not know of: a burst spent before this window, time spent full,
        a flush, units spent while it was silent. They are put back where demand matters; that harms
        if two ingresses do so at once.
        """
        account, plan, amount = call.account, call.account.plan, call.amount
        due = plan.rate * (self.now - call.window_start) / SECOND
        counted, bound = plan.burst + due - event.total, account.bucket_bound(self.now) - amount
        in_demand = account.demand * account.ingress_count > plan.rate
        unknown = counted - bound if in_demand else 0.0
        unknown = unknown if unknown > plan.burst / 8 else 0.0
        units = min(counted, bound)
        over = min(amount, max(0.0, -units))  # past the allowance: that part is added back
        if unknown != over and self.backoff_factor > COUNTER_OVERLOADED:
            # With the next call, if it comes in this window.
            account.refund, account.refund_name = unknown - over, event.name
        elif unknown != over:
            refund = CounterCall(account, call.window_start, unknown - over, False, 0.0)
            self.call_counter(event.name, refund)
        return units, over

    def _admit_waiting(
        self, account: TenantAccount, waiting: list[RequestT], keeps_store: bool
    ) -> None:
        """Decides on those that waited.

        Where the counter keeps the store, more may have come to wait than the lease was for: that
        is no overflow yet."""
        for request in waiting:
            units = request.event.units
            more = keeps_store and account.bucket_bound(self.now) >= units
            if more and account.tokens < units and not self.lacks_time_for_call(request):
                account.waiting.append(request)
            else:
                self.admit(request, answered=True)
        if account.waiting:
            self.request_lease(account, account.waiting[0].event.customer)

    # Second stage.

    def overflow(self, request: RequestT) -> None:
        """Retry-after, or a final refusal."""
        account = request.account
        paid = account.plan.overage_value > account.plan.overage_cost
        if paid and self.utilization() < SPARE_CAPACITY:
            # The plan pays for service beyond its quota while there is capacity to spare.
            self.send(request)
        else:
            wait = account.borrow_for_retry(self.now, request.event.units)
            self.end(request, it.Refuse(request.event.request, wait))
