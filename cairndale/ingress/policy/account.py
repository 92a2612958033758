"""The customer's account: both stages of admission, leases of the counter. Types: interface.py.

All times are microseconds.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Generic, Protocol, TypeVar

from cairndale.ingress.policy import interface as it
from cairndale.ingress.policy.interface import Outcome

SECOND = 1_000_000
# s of its part that a gateway may have saved up when it loses touch with a strict counter
SHARE_SPAN = 0.4
# s of demand taken ahead: long enough to save calls, short enough not to strand units
LEASE_LIFE = 1.0
# slots looked at: d_0, then doubling; N = 3 retries, a client's usual most; S = the last
OFFSETS = (1, 3, 7)
# part of the bound under which a fleet has room for second copies and paid units beyond a quota
SPARE = 0.6
CROWDED = 1.2  # calls turned away or unanswered of late: some in ten, and not just one
# calls a second by all gateways that are made while crowded though they could be saved
TRIALS = 64.0
KNOWN = 4  # windows for which a total heard tells more of a customer than quota / spread
# gateways a customer: with more, what one leases ahead is seldom spent, and few know of the store
WIDE = 12
# even parts of a ceiling that one gateway's leases may take: the counter keeps the sum of all
UNEVEN = 1.25
NEVER_RAN = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT)
NAME_MIX = 0x9E3779B97F4A7C15  # odd 64-bit multiplier (golden ratio): spreads neighbouring numbers


def mixed(number: int) -> int:
    """64 bits, the same at every gateway."""
    for shift in (30, 27, 31):
        number = (number ^ (number >> shift)) * NAME_MIX & (1 << 64) - 1
    return number


def count_name(customer: int, window: int) -> int:
    """The counter's name, the same at every gateway."""
    return mixed(customer * NAME_MIX + window)


class Asks(Protocol):
    """A request that asks to be admitted."""

    event: it.RequestArrived
    account: Account
    cut: int  # no answer after this is worth new work
    until: int  # when the unit that it is admitted by is taken for spent; 0: never


Asking = TypeVar("Asking", bound=Asks)


@dataclass(slots=True)
class Account:
    """A customer here: bucket of leased units, ring of slots, what is known of the shared store."""

    plan: it.Plan
    spread: int
    slot_us: int  # T0, and d_0: one slot
    level_at: int
    level: float = 0.0  # the most the shared store can hold, as this gateway has seen
    share: float = 0.0  # this gateway's part, spent only without the counter
    tokens: float = 0.0  # W: leased units left
    rate: float = 0.0  # r_t: size of the last lease over its expected life
    chance: float = 1.0  # part of what all gateways ask of late that the store can give
    heard_at: int = -60 * SECOND
    usual: float = 0.0  # lambda: units newly asked a second, averaged over the store's time to fill
    demand_at: int = 0
    # units spent that the counter has not been told of, less what has refilled since
    unheard: float = 0.0
    back: float = 0.0  # units to be added back to one window's name
    back_for: int = 0
    # left of this gateway's part of the hard ceiling, had it run for long: for leases
    ceiling: float = 0.0
    # the same if all was spent before a restart: for units the counter has not heard of
    sure: float = 0.0
    window_us: int = SECOND
    slot: int = 0
    # slots, present first: A spare, B booked over
    ring: deque[list[float]] = field(default_factory=deque)
    asking: bool = False
    open: int = 0  # attempts out
    elsewhere: int = 0  # and those out from the process that this one takes over from
    strict: bool = False  # the counter takes into account how much may be spent without it at once
    alone_since: int = 0  # of a strict one: since when it may spend its part; while it may not, now
    leased_at: int = 0  # when the newest lease was asked for
    waiting: list[Any] = field(default_factory=list)  # for the counter's answer

    def __post_init__(self) -> None:
        self.level, self.share, self.demand_at = self.plan.burst, self.plan.burst, self.level_at
        self.follow(self.plan)

    def follow(self, plan: it.Plan) -> None:
        self.plan, self.level, self.share = (
            plan,
            min(self.level, plan.burst),
            min(self.share, plan.burst),
        )
        if plan.rate:  # a store left alone for a window is full: nothing need be carried further
            self.window_us = max(SECOND, int(plan.burst / plan.rate * SECOND))

    @property
    def saves(self) -> bool:
        """Its part grows while it is in touch as well."""
        return not self.strict or self.spread <= self.plan.saved_most

    def arrive(self, now: int, units: float, again: bool, retired: bool = False) -> None:
        """Shares refill, unless another process has them; the average fades."""
        before, self.demand_at, plan, part = self.demand_at, now, self.plan, 1 / self.spread
        gone = (now - before) / SECOND
        fill = self.window_us / SECOND
        self.usual = self.usual * math.exp(-gone / fill) + (0.0 if again else units / fill)
        # one fits
        most = max(units, plan.rate * part * SHARE_SPAN if self.strict else plan.burst * part)
        if not self.saves and before < self.alone_since:
            self.share, before = 0.0, self.alone_since
        self.share = min(most, self.share + plan.rate * part * (now - before) / SECOND)
        self.unheard = max(0.0, self.unheard - plan.rate * part * gone)
        if retired:
            return
        most, fill, lead = plan.ceiling_burst, plan.ceiling_rate * gone, min(1.0, UNEVEN * part)
        self.ceiling = min(most * lead, self.ceiling + fill * lead)
        self.sure = min(most * part, self.sure + fill * part)

    def bound(self, now: int) -> float:
        """The most the shared store can hold; unspent leases count."""
        grown = self.level + self.plan.rate * (now - self.level_at) / SECOND
        return min(self.plan.burst - self.tokens, grown)

    def book(self, now: int, units: float) -> int:
        """Second stage: the wait before the retry in microseconds, or 0 for a firm refusal."""
        spare = max(0.0, (self.rate - self.usual) * self.slot_us / SECOND)  # W_a
        for _ in range(min(len(self.ring), now // self.slot_us - self.slot)):
            self.ring.popleft()
        self.slot = now // self.slot_us
        self.ring.extend([spare, 0] for _ in range(1 + OFFSETS[-1] - len(self.ring)))
        if self.ring[0][1] > 0:
            self.ring[0][1] -= 1
            return self.slot_us
        for tried, ahead in enumerate(OFFSETS):
            if self.ring[ahead][0] > 0:
                self.ring[ahead][0] -= units
                for empty in OFFSETS[:tried]:
                    self.ring[empty][1] += 1
                return self.slot_us
        return 0


class Admission(Generic[Asking]):
    """Both stages, for every customer. What comes of a request is its life's (`brain.py`), which
    fills in `send`, `end` and `used`."""

    def __init__(self, settings: it.Settings, rng: random.Random) -> None:
        self.settings, self.rng = settings, rng
        self.accounts: dict[int, Account] = {}
        # unanswered, by name
        self.calls: dict[int, deque[tuple[Account, int, float, bool, float]]] = {}
        self.crowd, self.call_at, self.now = 1.0, -SECOND, 0
        self.retired = False  # another process has taken over; what is still open ends here
        # requests since the last call, and how many a call speaks for
        self.unasked, self.speaks = (0, 1.0)
        self.actions: list[it.Action] = []
        self.in_touch: Callable[[], bool] = lambda: True  # whether the counter is there
        self.alone_since: Callable[[], int] = lambda: 0  # since when it is not; while it is, now
        self.follow(settings)

    def follow(self, settings: it.Settings) -> None:
        """Other rules for what is to come: accounts and leases stay."""
        for account in self.accounts.values():
            account.follow(settings.plans[self.settings.plans.index(account.plan)])
        limits, self.settings = settings.limits, settings
        counter = settings.counter
        # us a call while not crowded
        self.pace = counter.timeout * settings.fleet_size / counter.calls_out
        # a trial call a second or so
        self.most = max(1.0, min(32.0, 1.5 * SECOND / max(1.0, self.pace)))
        # d_0, T0: longest wait heeded
        self.slot_us = limits.advises_retry * limits.max_retry_after or SECOND

    def send(self, request: Asking, leased: bool = False) -> bool:
        """Takes it on to a backend, or ends it; False if no attempt was begun."""
        raise NotImplementedError

    def end(self, request: Asking, answer: it.Action) -> None:
        raise NotImplementedError

    def used(self) -> float:
        """The part of what the backends can take that is out."""
        raise NotImplementedError

    def admit(self, request: Asking, answered: bool = False) -> None:
        """First stage. `answered`: the counter has just been heard, so what the bucket lacks is
        overflow."""
        account, units, counter = request.account, request.event.units, self.settings.counter
        plan, tight, late = account.plan, self.tight(account), self.late(request)
        late = late or not (counter.allowed and self.in_touch())
        late = late or (not account.asking and self.call_at > self.now)
        known = self.now - account.heard_at < account.window_us
        request.until = 0
        if 0 < counter.expiry < self.now - account.leased_at:
            account.tokens = 0.0  # the counter takes them for spent
        if plan.max_open and account.open + account.elsewhere >= plan.max_open:
            # the cap on attempts at once: beyond the quota whatever the store holds
            self.overflow(request)
        elif not plan.rate or (account.tokens >= units and not account.waiting):
            account.level, account.level_at = account.bound(self.now), self.now
            request.until = (
                account.leased_at + counter.expiry if plan.rate and counter.expiry else 0
            )
            account.tokens -= units if self.send(request, leased=True) else 0.0
        elif not answered and self.saves_call(account, units):
            self.send_unheard(request)
        elif answered or (not tight and account.bound(self.now) + account.tokens < units):
            # the store cannot hold it, whatever the siblings did: no call needed
            self.overflow(request)
        elif late or (
            tight and (known or request.event.is_retry or plan.beyond_earns > plan.beyond_costs)
        ):
            # no counter or time, calls enough made, or none to spare for this
            self.admit_unheard(request)
        else:
            account.waiting.append(request)
            if not account.asking:
                self.ask(account, request.event.customer)

    def late(self, request: Asking) -> bool:
        """No time left for a call."""
        return self.now + 2 * self.settings.counter.timeout >= request.cut

    def part(self, account: Account) -> float:
        """Of the store's room that one lease may take ahead."""
        return self.settings.counter.part or 1 / (2 * account.spread)

    def tight(self, account: Account) -> bool:
        """The counter is crowded, the customer's gateways are many."""
        return self.crowd > CROWDED and account.spread > WIDE

    def admit_unheard(self, request: Asking) -> None:
        """Without a call: a part, by a draw if under one."""
        account, units = request.account, request.event.units
        strict = self.settings.counter.strict
        if strict and self.in_touch():
            self.overflow(request)
            return
        room, self.unasked = account.bound(self.now), self.unasked + (not request.event.is_retry)
        even = account.plan.burst / account.spread if request.event.is_retry else room
        part = min(account.share, room, even) / units if units else 1.0
        if self.tight(account) and self.now - account.heard_at < KNOWN * account.window_us:
            part = account.chance
        elif strict or account.plan.burst >= units * account.spread:
            part = part // 1  # else never as one
        if self.rng.random() >= part:
            self.overflow(request)
        else:
            self.send_unheard(request)

    def saves_call(self, account: Account, units: float) -> bool:
        """Crowded: what this gateway's own part covers needs no call, but for one where others
        leave room."""
        if self.settings.counter.strict:
            return False
        needed = (
            self.crowd > CROWDED
            and self.now - self.call_at < self.settings.fleet_size * SECOND / TRIALS
        )
        sure = not account.plan.ceiling_rate or account.sure >= units
        return needed and sure and min(account.share, account.bound(self.now)) >= units

    def send_unheard(self, request: Asking) -> None:
        """The counter is told with the next call."""
        account, units = request.account, request.event.units
        room, expiry = account.bound(self.now), self.settings.counter.expiry
        request.until = self.now + expiry if expiry else 0
        if self.send(request):
            account.share, account.unheard = (
                max(0.0, account.share - units),
                account.unheard + units,
            )
            account.level, account.level_at = room - units, self.now

    def ask(self, account: Account, customer: int) -> None:
        """A lease: what waits, and demand ahead."""
        room, units = account.bound(self.now), sum(r.event.units for r in account.waiting)
        need = max(0.0, min(units - account.tokens, room))
        ahead = min(
            max(account.usual * LEASE_LIFE, units) * self.crowd, (room - need) * self.part(account)
        )
        # the customer's next requests come to the other process
        ahead = 0.0 if self.retired else ahead
        self.speaks, self.unasked = self.speaks + 0.1 * (1 + self.unasked - self.speaks), 0
        need *= self.speaks if self.tight(account) else 1.0
        account.asking, window = True, self.now // account.window_us
        name, start = count_name(customer, window), window * account.window_us
        told, account.unheard = account.unheard + account.back * (account.back_for == name), 0.0
        account.back, told = 0.0, 0.0 if self.settings.counter.strict else told
        amount = need + max(0.0, min(ahead, room - need))
        if self.settings.counter.strict:  # whole units: what is left over would outlive its lease
            amount = math.ceil(amount)
        self.call(account, name, start, amount, True, told, customer)

    def call(
        self, account: Account, name: int, start: int, amount: float, lease: bool,
        told: float = 0.0,
        customer: int = 0,
    ) -> None:  # fmt: skip
        ttl = min(60 * SECOND, 2 * account.window_us)
        self.actions.append(it.AddToCounter(name, amount + told, ttl, customer, told))
        self.calls.setdefault(name, deque()).append((account, start, amount, lease, told))
        self.call_at = int(
            max(self.call_at, self.now - SECOND / self.crowd) + self.pace * self.crowd
        )

    def count_answered(self, event: it.CountAnswered) -> None:
        if not (queue := self.calls.pop(event.name, None)):
            return
        account, start, amount, lease, told = queue.popleft()
        self.calls.update({event.name: queue} if queue else {})
        heard = event.outcome is Outcome.OK and math.isfinite(event.total)
        # Counter slow, silent, refusing, crowded: fewer calls out, rarer, for more; quota / spread
        # meanwhile. Harms a customer whose traffic all comes through one gateway: it waits longer
        # for its units.
        # its connection broke: that says nothing of a crowd
        broken = event.outcome is Outcome.RESET
        self.crowd = (
            max(1.0, self.crowd * 0.95)
            if heard
            else min(self.most, self.crowd * (1.5 - broken / 2))
        )
        if not lease:
            return
        waiting, account.waiting, account.asking = account.waiting, [], False
        if not heard:
            account.unheard += max(0.0, told) * (event.outcome in NEVER_RAN)
            for request in waiting:  # asked anew after a break, if there is time
                (self.admit if broken else self.admit_unheard)(request)
            return
        plan, due = account.plan, account.plan.rate * (self.now - start) / SECOND
        account.leased_at = self.now - event.latency
        raw, upper = plan.burst + due - event.total, account.bound(self.now) - amount
        if event.left is not None:  # the counter keeps the store, and gave back what went past it
            level, over = event.left, min(amount, max(0.0, -event.left))
        elif self.tight(account):
            # nothing is added back: the total tells what is asked, a draw gives some
            need = min(amount, sum(r.event.units for r in waiting))
            # the store was as likely full as empty when the window began
            past = event.total - plan.burst / 2
            account.chance, account.heard_at = 1.0 if past <= due else due / past, self.now
            level, over = (
                plan.burst,
                amount - need if self.rng.random() < account.chance else amount,
            )
        else:
            # Units the counter does not know of: burst spent before this window, time spent full, a
            # flush, use by share while it was silent. Put back where demand matters; harms if two
            # do so at once.
            unknown = raw - upper if account.usual * account.spread > plan.rate else 0.0
            unknown, level = unknown if unknown > plan.burst / 8 else 0.0, min(raw, upper)
            over = min(amount, max(0.0, -level))  # past the allowance: that part is added back
            # with the next call, if it comes in this window
            if unknown != over and self.crowd > CROWDED:
                account.back, account.back_for = unknown - over, event.name
            elif unknown != over:
                self.call(account, event.name, start, unknown - over, False)
        account.level, account.level_at = min(plan.burst, level + over), self.now
        account.tokens += amount - over
        account.rate = min(plan.rate, (amount - over) / LEASE_LIFE)
        for request in waiting:
            # Where the counter keeps the store, more came to wait than the lease was for: it is no
            # overflow yet.
            more = event.left is not None and account.bound(self.now) >= request.event.units
            if more and account.tokens < request.event.units and not self.late(request):
                account.waiting.append(request)
            else:
                self.admit(request, answered=True)
        if account.waiting:
            self.ask(account, account.waiting[0].event.customer)

    def overflow(self, request: Asking) -> None:
        """Second stage: retry-after, or a firm refusal."""
        plan = request.account.plan
        if plan.beyond_earns > plan.beyond_costs and self.used() < SPARE:
            # the plan pays for service beyond its quota while the fleet has room to spare
            self.send(request)
        else:
            wait = request.account.book(self.now, request.event.units)
            self.end(request, it.Refuse(request.event.request, wait))
