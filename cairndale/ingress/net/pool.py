"""The connections to one backend, as decisions: events and `now` in; open, hand out, refuse, close
out.

No socket and no clock is touched here: backends.py carries the actions out. Times are seconds on
one clock that never goes back. A link and an attempt are whatever the caller makes of them: they
are only told apart."""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

MIN_CONNECTIONS = 2  # connections that a backend's pool may have, however few descriptors there are
REFUSED_BOUND_FACTOR = (
    0.7  # of what is in use that the bound falls to when the backend refuses another one
)
GROWTH_INTERVAL_S = 1.0  # s of use at the bound, without a refusal, for which it grows by one
DEMAND_DECAY_S = 30.0  # s in which the memory of how many were used at once falls to a third
LIFETIME_JITTER = (
    0.2  # of age and of requests a link, either way: a fleet's links do not turn over in step
)
MAX_WAIT_FRACTION = (
    0.25  # of an attempt's own time that it may wait for a link; then it goes elsewhere
)


@dataclass(frozen=True, slots=True)
class PoolOptions:
    """What the configuration's `pool` may set; the defaults hold where it says nothing."""

    age: float = 600.0  # s of a link's life
    requests: int = 10_000  # exchanges of a link's life
    queue: int = 64  # attempts that wait for a backend
    warm: int = 0  # links opened ahead where traffic is expected, a backend; 0: none
    # of the descriptors that are the backends' for sure, whatever clients hold
    server_share: float = 0.3


class BoundReason(Enum):
    """What a pool's bound follows from."""

    DESCRIPTORS = "descriptors"  # the backends' share, over the backends in use
    REFUSED = "refused"  # the backend has refused another one


@dataclass(frozen=True, slots=True)
class StartDial:
    """A connection is to be made; `dialled` or `failed` tells how that went."""

    dial: int


@dataclass(frozen=True, slots=True)
class AssignConnection:
    waiter: Any
    connection: Any


@dataclass(frozen=True, slots=True)
class RejectAttempt:
    """This attempt gets no link here: it was never sent. `failed`: the backend is to blame, not the
    bound."""

    waiter: Any
    backend_failed: bool


@dataclass(frozen=True, slots=True)
class CloseConnection:
    connection: Any


@dataclass(frozen=True, slots=True)
class CancelDial:
    """A dial that nobody wants any longer: what it is to lead to is out or gone."""

    dial: int


Action = StartDial | AssignConnection | RejectAttempt | CloseConnection | CancelDial


@dataclass(slots=True)
class _ConnectionState:
    idle_since: float
    expires_at: float  # of age
    exchanges_left: int  # exchanges
    exchanges: int = 0


@dataclass(slots=True)
class PoolCounters:
    """Since the beginning; for operators."""

    requested: int = 0
    reused: int = 0  # handed a link that had been used before
    dials: int = 0
    dials_failed: int = 0  # dials
    stale_detected: int = 0  # stale links found out before anything was written
    stale_missed: int = 0  # reset under a request though they had been taken for sound
    rejected: int = 0  # attempts that got no link


@dataclass(slots=True)
class ConnectionPool:
    """Most recently used first, so that surplus links age out; one exchange a link.

    Every attempt that finds no idle link waits; a dial is begun for it while the bound allows, and
    it gets whichever comes first, a freed link or a finished dial. A dial that its attempt no
    longer needs stays."""

    options: PoolOptions
    idle_timeout: (
        float  # s that an idle link is taken for sound: the settings' idle time less a margin
    )
    rng: random.Random
    descriptor_bound: float = 4096.0  # the bound that the descriptors give
    ready: bool = True
    learned_bound: float = math.inf  # the bound that refusals have taught
    demand: float = 0.0  # links used at once, of late
    counters: PoolCounters = field(default_factory=PoolCounters)
    idle: list[Any] = field(default_factory=list)  # the most recently used last
    busy: set[Any] = field(default_factory=set)
    dials: set[int] = field(default_factory=set)
    waiters: deque[tuple[Any, float]] = field(default_factory=deque)  # and until when
    distrusted: bool = False  # a failure: idle links may lead nowhere, a fresh one has to show
    _states: dict[Any, _ConnectionState] = field(default_factory=dict)
    _last_dial: int = 0
    _grown_at: float = 0.0
    _demand_at: float = 0.0

    # Sizes.

    def open(self) -> int:
        return len(self.idle) + len(self.busy) + len(self.dials)

    def bound(self) -> int:
        return max(MIN_CONNECTIONS, int(min(self.descriptor_bound, self.learned_bound)))

    def bound_reason(self) -> BoundReason:
        return (
            BoundReason.REFUSED
            if self.learned_bound < self.descriptor_bound
            else BoundReason.DESCRIPTORS
        )

    def _record_demand(self, now: float) -> None:
        self.demand = max(self.expected_demand(now), float(len(self.busy) + len(self.waiters)))
        self._demand_at = now

    def expected_demand(self, now: float) -> float:
        """Links that the traffic of late has used at once."""
        return self.demand * math.exp((self._demand_at - now) / DEMAND_DECAY_S)

    # Attempts.

    def request_connection(
        self, now: float, waiter: Any, patience: float, sound: Callable[[Any], bool]
    ) -> list[Action]:
        """`patience`: s that the attempt has in all. `sound` looks whether an idle link still
        stands."""
        actions: list[Action] = []
        self.counters.requested += 1
        if not self.ready:
            self.counters.rejected += 1
            return [RejectAttempt(waiter, True)]
        link = None if self.distrusted else self._take_idle(now, actions, sound)
        if link is not None:
            self._hand_out(now, waiter, link, actions)
            return actions
        if len(self.waiters) >= self.options.queue:
            self.counters.rejected += 1
            actions.append(RejectAttempt(waiter, False))
            return actions
        self.waiters.append((waiter, now + patience * MAX_WAIT_FRACTION))
        self._record_demand(now)
        self._dial_for_waiting(now, actions)
        return actions

    def _take_idle(
        self, now: float, actions: list[Action], sound: Callable[[Any], bool]
    ) -> Any | None:
        while self.idle:
            link = self.idle.pop()
            state = self._states[link]
            if state.idle_since <= now - self.idle_timeout or state.expires_at <= now:
                self._close(link, actions)
            elif not sound(link):
                self.counters.stale_detected += 1
                self._close(link, actions)
            else:
                return link
        return None

    def _close(self, link: Any, actions: list[Action]) -> None:
        del self._states[link]
        actions.append(CloseConnection(link))

    def _hand_out(self, now: float, waiter: Any, link: Any, actions: list[Action]) -> None:
        state = self._states[link]
        self.counters.reused += state.exchanges > 0
        state.exchanges, state.exchanges_left = state.exchanges + 1, state.exchanges_left - 1
        self.busy.add(link)
        self._record_demand(now)
        actions.append(AssignConnection(waiter, link))

    def _dial_for_waiting(self, now: float, actions: list[Action]) -> None:
        """A dial for each that waits, within the bound. With none busy there is always room for
        one."""
        while len(self.dials) < len(self.waiters) and (
            self.open() < self.bound() or self._close_oldest_idle(actions)
        ):
            self._start_dial(actions)

    def _close_oldest_idle(self, actions: list[Action]) -> bool:
        """A distrusted idle link gives its place to a dial."""
        if not self.idle:
            return False
        self._close(self.idle.pop(0), actions)
        return True

    def _start_dial(self, actions: list[Action]) -> None:
        self._last_dial += 1
        self.counters.dials += 1
        self.dials.add(self._last_dial)
        actions.append(StartDial(self._last_dial))

    def cancel(self, waiter: Any) -> None:
        """It waits no longer. Its dial goes on, and what comes of it is kept."""
        self.waiters = deque(entry for entry in self.waiters if entry[0] is not waiter)

    # Links.

    def dial_succeeded(self, now: float, dial: int, link: Any) -> list[Action]:
        """A dial has come up. The backend answers: idle links are trusted again."""
        self.dials.discard(dial)
        if not self.ready:
            return [CloseConnection(link)]
        vary = 1 + self.rng.uniform(-LIFETIME_JITTER, LIFETIME_JITTER)
        left = max(1, int(self.options.requests * vary))
        self._states[link] = _ConnectionState(now, now + self.options.age * vary, left)
        self.distrusted = False
        actions: list[Action] = []
        self._assign_or_keep(now, link, actions)
        return actions

    def dial_failed(self, now: float, dial: int, refused: bool) -> list[Action]:
        """A dial has not come up. `refused`: the backend, or this process, had no place for it."""
        self.dials.discard(dial)
        self.counters.dials_failed += 1
        actions: list[Action] = []
        if refused and self.busy:  # it serves others, so it is there: there are too many
            self.learned_bound = max(
                float(MIN_CONNECTIONS), (len(self.busy) + len(self.idle)) * REFUSED_BOUND_FACTOR
            )
            self._grown_at = now
        else:
            self.close_all_idle(actions)
        if self.waiters:
            self.counters.rejected += 1
            actions.append(RejectAttempt(self.waiters.popleft()[0], True))
        self._dial_for_waiting(now, actions)
        return actions

    def release(self, now: float, link: Any, reusable: bool) -> list[Action]:
        """An exchange is over. Its link goes to who waits, rests, or is closed."""
        self.busy.discard(link)
        state = self._states[link]
        state.idle_since = now
        actions: list[Action] = []
        worn = state.exchanges_left <= 0 or state.expires_at <= now or self.open() >= self.bound()
        if worn or not (reusable and self.ready):
            self._close(link, actions)
        else:
            self._assign_or_keep(now, link, actions)
        self._grow_bound(now)
        self._dial_for_waiting(now, actions)
        return actions

    def _assign_or_keep(self, now: float, link: Any, actions: list[Action]) -> None:
        if self.waiters:
            self._hand_out(now, self.waiters.popleft()[0], link, actions)
        else:
            self.idle.append(link)

    def _grow_bound(self, now: float) -> None:
        """Additive: after a while at the bound without another refusal there may be room for one
        more."""
        if (
            self.learned_bound < self.descriptor_bound
            and self.open() >= self.bound() - 1
            and now - self._grown_at >= GROWTH_INTERVAL_S
        ):
            self.learned_bound, self._grown_at = self.learned_bound + 1, now
            if self.learned_bound >= self.descriptor_bound:
                self.learned_bound = math.inf

    def connection_lost(self, now: float, link: Any, under_request: bool) -> list[Action]:
        """A link has ended by itself. `under_request`: with a request out and nothing of an
        answer."""
        actions: list[Action] = []
        state = self._states.pop(link, None)
        if state is None:
            return actions
        if link in self.busy:
            self.busy.discard(link)
            self.counters.stale_missed += under_request and state.exchanges > 1
        else:
            self.idle.remove(link)
            self.counters.stale_detected += 1
        if under_request:
            self.close_all_idle(actions)
        self._dial_for_waiting(now, actions)
        return actions

    def close_all_idle(self, actions: list[Action]) -> None:
        """The backend has failed without a word: the other idle links may lead to what is no longer
        there."""
        for link in self.idle:
            self._close(link, actions)
        self.idle.clear()

    def distrust_idle(self) -> None:
        """It has said nothing for long: idle links are not used until a fresh one has come up."""
        self.distrusted = self.distrusted or bool(self.idle)

    # Time, the list, the configuration.

    def tick(self, now: float, gap: bool = False) -> list[Action]:
        """Each second or so. `gap`: the process or the machine has stood still, and every link is
        old."""
        actions: list[Action] = []
        oldest = now - self.idle_timeout
        kept = []
        for link in self.idle:
            state = self._states[link]
            if gap or state.idle_since <= oldest or state.expires_at <= now:
                self._close(link, actions)
            else:
                kept.append(link)
        self.idle[:] = kept
        actions += self.shrink(self.bound())
        while self.waiters and self.waiters[0][1] <= now:
            self.counters.rejected += 1
            actions.append(RejectAttempt(self.waiters.popleft()[0], False))
        self._dial_for_waiting(now, actions)
        return actions

    def next_wait_expiry(self) -> float:
        """When the first that waits has waited long enough; inf: nobody waits."""
        return self.waiters[0][1] if self.waiters else math.inf

    def drain(self, ready: bool) -> list[Action]:
        """Drained, out, moved or gone: nothing more is written there. Busy links end their
        exchange."""
        self.ready = ready
        actions: list[Action] = [CancelDial(dial) for dial in sorted(self.dials)]
        self.dials.clear()
        self.close_all_idle(actions)
        while self.waiters:
            self.counters.rejected += 1
            actions.append(RejectAttempt(self.waiters.popleft()[0], True))
        self.learned_bound, self.distrusted = math.inf, False
        return actions

    def shrink(self, to: int) -> list[Action]:
        """Idle links beyond `to` in all are closed, the least recently used first."""
        actions: list[Action] = []
        while self.idle and self.open() > to:
            self._close(self.idle.pop(0), actions)
        return actions

    def close_idle(self, count: int) -> list[Action]:
        """Room is needed elsewhere, or they are not wanted: the least recently used go."""
        actions: list[Action] = []
        for link in self.idle[:count]:
            self._close(link, actions)
        del self.idle[:count]
        return actions

    def preconnect(self, now: float) -> list[Action]:
        """One link ahead of its request, where the traffic of late would use it; requests come
        first."""
        wanted = min(float(self.options.warm), math.ceil(self.expected_demand(now)), self.bound())
        actions: list[Action] = []
        if self.ready and not self.waiters and self.open() < wanted:
            self._start_dial(actions)
        return actions
