"""Admission: leased token buckets, then the borrowing ring. Types: interface.py.

First stage: a request is admitted if the customer's leased units cover it. Otherwise a lease is
requested from the counter, for the waiting requests and for expected demand; requests wait for it
as long as their time allows. While the counter is unreachable or overloaded, an ingress spends a
fixed share without it, and reports that later. Second stage: a request that the shared bucket
cannot cover borrows from a later slot (`borrowing_ring`) and receives a retry-after, or is rejected
for good.

The engine processes admitted requests: it implements `send`, `end` and `utilization`. All times are
microseconds."""

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

# Seconds of demand leased ahead: long enough to save calls, short enough not to strand units.
LEASE_LIFE_S = 1.0
# Utilization of the endpoints below which there is capacity for hedged requests and for paid
# service beyond a quota.
SPARE_CAPACITY = 0.6
# Backoff factor above which the counter counts as overloaded: several of the last ten calls were
# rejected or unanswered, and not just one.
COUNTER_OVERLOADED = 1.2
# Calls per second by all ingresses that probe an overloaded counter, though they could be saved.
PROBE_CALLS_PER_S = 64.0
# For this many windows, a total of the counter predicts a customer's demand better than an even
# share of the quota does.
TOTAL_TRUSTED_WINDOWS = 4
# Above this many ingresses per customer, units leased ahead are seldom spent, and few ingresses
# know the state of the bucket.
CONTENDED_GATEWAYS = 12
MAX_BACKOFF_FACTOR = 32.0  # multiple of the regular interval between calls
MAX_COUNTER_TTL = 60 * SECOND
NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)


class AdmissionRequest(Protocol):
    """The attributes of a request that admission uses."""

    event: it.RequestArrived
    account: TenantAccount
    useful_until: int  # no new work is started for an answer after this
    admitted_until: int  # when the counter counts the request's units as spent; 0: never


RequestT = TypeVar("RequestT", bound=AdmissionRequest)


@dataclass(frozen=True, slots=True)
class CounterCall:
    """A call to the counter that is in flight."""

    account: TenantAccount
    window_start: int  # us
    amount: float  # units requested, or returned if negative
    is_lease: bool
    reported: float  # units that the call reports as spent, besides `amount`


class Admission(Generic[RequestT]):
    """Both stages of admission, for all customers."""

    def __init__(self, settings: it.Settings, rng: random.Random) -> None:
        self.settings, self.rng = settings, rng
        self.accounts: dict[int, TenantAccount] = {}
        self.calls: dict[int, deque[CounterCall]] = {}  # in flight, by counter name
        self.backoff_factor = 1.0  # on the interval between calls; 1: the counter keeps up
        self.next_call_at = -SECOND
        self.now = 0
        self.superseded = False  # another process has taken over; open requests complete here
        self.requests_since_call = 0
        self.requests_per_call = 1.0  # average of the above, including the call's own request
        self.actions: list[it.Action] = []
        self.counter_reachable: Callable[[], bool] = lambda: True
        # When contact with the counter was lost; the present time while it is reachable.
        self.counter_unreachable_since: Callable[[], int] = lambda: 0
        self.apply_settings(settings)

    def apply_settings(self, settings: it.Settings) -> None:
        """Applies new settings to later requests; accounts and leases stay."""
        for account in self.accounts.values():
            account.apply_plan(settings.plans[self.settings.plans.index(account.plan)])
        limits, counter, self.settings = settings.limits, settings.counter, settings
        # Interval between calls, in us, while the counter keeps up.
        self.call_interval = counter.timeout * settings.fleet_size / counter.max_calls_in_flight
        # At the maximum, about one probing call per second.
        backoff = 1.5 * SECOND / max(1.0, self.call_interval)
        self.max_backoff_factor = max(1.0, min(MAX_BACKOFF_FACTOR, backoff))
        # d_0, T0: the longest retry-after that clients honour.
        self.slot_us = limits.advises_retry * limits.max_retry_after or SECOND

    # Implemented by the engine.

    def send(self, request: RequestT, leased: bool = False) -> bool:
        """Sends the request to an endpoint, or ends it; returns whether an attempt was started."""
        raise NotImplementedError

    def end(self, request: RequestT, answer: it.Action) -> None:
        """Answers the request for good."""
        raise NotImplementedError

    def utilization(self) -> float:
        """Returns the requests in flight as a share of the endpoints' capacity."""
        raise NotImplementedError

    # First stage.

    def admit(self, request: RequestT, answered: bool = False) -> None:
        """Decides on a request.

        Args:
            request: a new request, or one that has waited for the counter.
            answered: the counter has just answered, so units that are missing cause an overflow.
        """
        account, units, counter = request.account, request.event.units, self.settings.counter
        plan, contended = account.plan, self.is_contended(account)
        request.admitted_until = 0
        if 0 < counter.lease_expiry < self.now - account.leased_at:
            account.tokens = 0.0  # the lease has expired: the counter counts them as spent
        attempts = account.in_flight_count + account.attempts_elsewhere
        if plan.max_in_flight and attempts >= plan.max_in_flight:
            self.overflow(request)  # the cap on concurrent attempts holds regardless of the units
        elif not plan.rate or (account.tokens >= units and not account.waiting):
            self._send_leased(request)
        elif not answered and self.can_skip_call(account, units):
            self.send_unreported(request)
        elif answered or (
            not contended and account.bucket_bound(self.now) + account.tokens < units
        ):
            self.overflow(request)  # the bucket cannot cover it in any case: no call is needed
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
        """Whether there is no reachable counter, no time for a call, or no call allowed yet."""
        if self.lacks_time_for_call(request):
            return True
        if not (self.settings.counter.allowed and self.counter_reachable()):
            return True
        return not request.account.lease_pending and self.next_call_at > self.now

    def _not_worth_a_call(self, request: RequestT) -> bool:
        """Whether, under contention, the total is known or the request can do without a call."""
        account, plan = request.account, request.account.plan
        known = self.now - account.total_seen_at < account.window_us
        return known or request.event.is_retry or plan.overage_value > plan.overage_cost

    def lacks_time_for_call(self, request: RequestT) -> bool:
        """Whether the counter's answer may arrive too late for the request."""
        return self.now + 2 * self.settings.counter.timeout >= request.useful_until

    def lease_ahead_part(self, account: TenantAccount) -> float:
        """Returns the share of the bucket's remaining units that one lease may take in advance."""
        return self.settings.counter.lease_ahead_share or 1 / (2 * account.ingress_count)

    def is_contended(self, account: TenantAccount) -> bool:
        """Whether the counter is overloaded and many ingresses share the customer."""
        return (
            self.backoff_factor > COUNTER_OVERLOADED and account.ingress_count > CONTENDED_GATEWAYS
        )

    # Units spent without the counter.

    def admit_without_counter(self, request: RequestT) -> None:
        """Spends from a fixed share without a call; at random if the share is below one request."""
        account, units = request.account, request.event.units
        counter = self.settings.counter
        if counter.strict and self.counter_reachable():
            self.overflow(request)
            return
        available = account.bucket_bound(self.now)
        self.requests_since_call += not request.event.is_retry
        even = account.plan.burst / account.ingress_count if request.event.is_retry else available
        probability = min(account.isolated_share, available, even) / units if units else 1.0
        trusted_us = TOTAL_TRUSTED_WINDOWS * account.window_us
        if self.is_contended(account) and self.now - account.total_seen_at < trusted_us:
            probability = account.admit_probability
        elif counter.strict or account.plan.burst >= units * account.ingress_count:
            probability = probability // 1  # only if the share covers the request completely
        if self.rng.random() >= probability:
            self.overflow(request)
        else:
            self.send_unreported(request)

    def can_skip_call(self, account: TenantAccount, units: float) -> bool:
        """Whether this ingress's share covers the request while the counter is overloaded.

        A probing call is still made from time to time.
        """
        if self.settings.counter.strict:
            return False
        probe_interval_us = self.settings.fleet_size * SECOND / PROBE_CALLS_PER_S
        can_wait = (
            self.backoff_factor > COUNTER_OVERLOADED
            and self.now - self.next_call_at < probe_interval_us
        )
        covered = not account.plan.ceiling_rate or account.ceiling_unreported >= units
        available = min(account.isolated_share, account.bucket_bound(self.now))
        return can_wait and covered and available >= units

    def send_unreported(self, request: RequestT) -> None:
        """Sends the request on units that are reported to the counter with the next call."""
        account, units = request.account, request.event.units
        available, expiry = account.bucket_bound(self.now), self.settings.counter.lease_expiry
        request.admitted_until = self.now + expiry if expiry else 0
        if self.send(request):
            account.isolated_share = max(0.0, account.isolated_share - units)
            account.unreported += units
            account.bucket_units, account.bucket_updated_at = available - units, self.now

    # Leases.

    def request_lease(self, account: TenantAccount, customer: int) -> None:
        """Requests a lease for the waiting requests and for expected demand."""
        strict = self.settings.counter.strict
        need, ahead = self._lease_size(account)
        window = self.now // account.window_us
        name = counter_name(customer, window)
        reported = account.unreported + account.refund * (account.refund_name == name)
        account.lease_pending, account.unreported, account.refund = True, 0.0, 0.0
        amount = need + ahead
        if strict:  # whole units: a remaining fraction would outlive its lease
            reported, amount = 0.0, math.ceil(amount)
        start = window * account.window_us
        self.call_counter(name, CounterCall(account, start, amount, True, reported), customer)

    def _lease_size(self, account: TenantAccount) -> tuple[float, float]:
        """Returns the units needed now, and the units to lease ahead of demand."""
        available = account.bucket_bound(self.now)
        waiting = sum(request.event.units for request in account.waiting)
        need = max(0.0, min(waiting - account.tokens, available))
        expected = max(account.demand * LEASE_LIFE_S, waiting) * self.backoff_factor
        ahead = min(expected, (available - need) * self.lease_ahead_part(account))
        if self.superseded:  # the customer's next requests arrive at the other process
            ahead = 0.0
        requests = 1 + self.requests_since_call
        self.requests_per_call += 0.1 * (requests - self.requests_per_call)
        self.requests_since_call = 0
        need *= self.requests_per_call if self.is_contended(account) else 1.0
        return need, max(0.0, min(ahead, available - need))

    def call_counter(self, name: int, call: CounterCall, customer: int = 0) -> None:
        """Adds to a window's total, and schedules the earliest time of the next call."""
        ttl = min(MAX_COUNTER_TTL, 2 * call.account.window_us)
        amount = call.amount + call.reported
        self.actions.append(it.AddToCounter(name, amount, ttl, customer, call.reported))
        self.calls.setdefault(name, deque()).append(call)
        earliest = max(self.next_call_at, self.now - SECOND / self.backoff_factor)
        self.next_call_at = int(earliest + self.call_interval * self.backoff_factor)

    # The counter's answers.

    def count_answered(self, event: it.CountAnswered) -> None:
        """Handles the counter's answer to a call, or the call's failure."""
        call = self._pop_call(event.name)
        if call is None:
            return
        succeeded = event.outcome is Outcome.OK and math.isfinite(event.total)
        self._adjust_backoff(event.outcome, succeeded)
        if not call.is_lease:
            return
        account = call.account
        waiting, account.waiting, account.lease_pending = account.waiting, [], False
        if succeeded:
            self._grant(call, event, waiting)
            self._admit_waiting(account, waiting, keeps_bucket=event.left is not None)
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

    def _adjust_backoff(self, outcome: Outcome, succeeded: bool) -> None:
        """Makes fewer and larger calls to a counter that is slow, unresponsive or rejecting.

        Meanwhile an even share of the quota is spent without it. This is a disadvantage for a
        customer whose traffic all arrives at one ingress: it waits longer for its units.
        """
        if succeeded:
            self.backoff_factor = max(1.0, self.backoff_factor * 0.95)
            return
        # A broken connection is a weaker sign of overload than a rejection or a timeout.
        growth = 1.0 if outcome is Outcome.RESET else 1.5
        self.backoff_factor = min(self.max_backoff_factor, self.backoff_factor * growth)

    def _lease_failed(self, call: CounterCall, outcome: Outcome, waiting: list[RequestT]) -> None:
        """Retries after a broken connection if there is time; else admits without the counter."""
        call.account.unreported += max(0.0, call.reported) * (outcome in NEVER_RAN)
        decide = self.admit if outcome is Outcome.RESET else self.admit_without_counter
        for request in waiting:
            decide(request)

    def _grant(self, call: CounterCall, event: it.CountAnswered, waiting: list[RequestT]) -> None:
        """Adds a lease's granted units, and updates the estimate of the shared bucket."""
        account, amount = call.account, call.amount
        account.leased_at = self.now - event.latency
        if event.left is not None:  # the counter keeps the bucket, and returned the excess to it
            units, excess = event.left, min(amount, max(0.0, -event.left))
        elif self.is_contended(account):
            units, excess = self._contended_grant(call, event.total, waiting)
        else:
            units, excess = self._estimated_grant(call, event)
        account.bucket_units = min(account.plan.burst, units + excess)
        account.bucket_updated_at = self.now
        account.tokens += amount - excess
        account.lease_rate = min(account.plan.rate, (amount - excess) / LEASE_LIFE_S)

    def _contended_grant(
        self, call: CounterCall, total: float, waiting: list[RequestT]
    ) -> tuple[float, float]:
        """Returns the bucket's units, and the lease's units in excess of them.

        No units are returned to the counter: its total is the demand on the bucket, and each
        request is admitted with the probability that the bucket covers this demand.
        """
        account, plan = call.account, call.account.plan
        refilled = plan.rate * (self.now - call.window_start) / SECOND
        needed = min(call.amount, sum(request.event.units for request in waiting))
        # The bucket was as likely full as empty when the window began.
        requested = total - plan.burst / 2
        account.admit_probability = 1.0 if requested <= refilled else refilled / requested
        account.total_seen_at = self.now
        admitted = self.rng.random() < account.admit_probability
        return plan.burst, call.amount - needed if admitted else call.amount

    def _estimated_grant(self, call: CounterCall, event: it.CountAnswered) -> tuple[float, float]:
        """Returns the bucket's units, and the lease's units in excess of them, from the total.

        The counter does not know of some units: a burst spent before this window, time in which the
        bucket was full, a flush, units spent while the counter was unreachable. They are added to
        the total if demand exceeds the rate; twice, if two ingresses do so at the same time.
        """
        account, plan, amount = call.account, call.account.plan, call.amount
        refilled = plan.rate * (self.now - call.window_start) / SECOND
        counted, bound = (
            plan.burst + refilled - event.total,
            account.bucket_bound(self.now) - amount,
        )
        in_demand = account.demand * account.ingress_count > plan.rate
        unknown = counted - bound if in_demand else 0.0
        unknown = unknown if unknown > plan.burst / 8 else 0.0
        units = min(counted, bound)
        excess = min(amount, max(0.0, -units))  # returned to the counter
        if unknown != excess and self.backoff_factor > COUNTER_OVERLOADED:
            # Sent with the next call, if that is made in this window.
            account.refund, account.refund_name = unknown - excess, event.name
        elif unknown != excess:
            refund = CounterCall(account, call.window_start, unknown - excess, False, 0.0)
            self.call_counter(event.name, refund)
        return units, excess

    def _admit_waiting(
        self, account: TenantAccount, waiting: list[RequestT], keeps_bucket: bool
    ) -> None:
        """Decides on the requests that waited for a lease.

        Where the counter keeps the bucket, more requests may be waiting than the lease was for.
        They wait for another lease if the bucket covers them."""
        for request in waiting:
            units = request.event.units
            available = keeps_bucket and account.bucket_bound(self.now) >= units
            if available and account.tokens < units and not self.lacks_time_for_call(request):
                account.waiting.append(request)
            else:
                self.admit(request, answered=True)
        if account.waiting:
            self.request_lease(account, account.waiting[0].event.customer)

    # Second stage.

    def overflow(self, request: RequestT) -> None:
        """Rejects a request beyond the quota, with a retry-after or for good.

        If the plan pays for it and there is spare capacity, the request is sent instead."""
        account = request.account
        paid = account.plan.overage_value > account.plan.overage_cost
        if paid and self.utilization() < SPARE_CAPACITY:
            self.send(request)
        else:
            wait = account.borrow_for_retry(self.now, request.event.units)
            self.end(request, it.Refuse(request.event.request, wait))
