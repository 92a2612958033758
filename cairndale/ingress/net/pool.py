"""The connection pool of one backend, as pure decisions: events in, actions out.

This module uses no socket and no clock: `backends.py` carries the actions out. Times are seconds on
one monotonic clock. Connections and waiters (attempts) are opaque, hashable objects of the caller.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

MIN_CONNECTIONS = 2  # a pool may have these however few descriptors there are
# When the backend refuses a connection, the bound falls to this fraction of those it has accepted.
REFUSED_BOUND_FACTOR = 0.7
GROWTH_INTERVAL_S = 1.0  # at the bound, without a refusal, until the bound grows by one
DEMAND_DECAY_S = 30.0  # in which the recorded demand decays by the factor e
# Relative spread of the maximum age and request count of a connection, in both directions, so that
# the connections of a fleet are not replaced all at once.
LIFETIME_JITTER = 0.2
# An attempt may wait for a connection for this fraction of its timeout; then it is rejected here
# and may go to another backend.
MAX_WAIT_FRACTION = 0.25


@dataclass(frozen=True, slots=True)
class PoolOptions:
    """The settings under `pool` in the configuration, with their defaults."""

    age: float = 600.0  # maximum age of a connection, s
    requests: int = 10_000  # maximum number of requests on a connection
    queue: int = 64  # attempts that may wait for a connection, per backend
    warm: int = 0  # connections kept ahead of expected traffic, per backend; 0: none
    # Share of the descriptors reserved for backends, whatever clients use.
    server_share: float = 0.3


class BoundReason(Enum):
    """What determines the bound of a pool."""

    DESCRIPTORS = "descriptors"  # the descriptors for backends, divided among those in use
    REFUSED = "refused"  # the backend has refused a further connection


@dataclass(frozen=True, slots=True)
class StartDial:
    """Open a connection; the caller reports the end by `dial_succeeded` or `dial_failed`."""

    dial: int


@dataclass(frozen=True, slots=True)
class AssignConnection:
    """Send the waiting attempt on this connection."""

    waiter: Any
    connection: Any


@dataclass(frozen=True, slots=True)
class RejectAttempt:
    """End the waiting attempt, which was never sent.

    `backend_failed`: because the backend could not be reached, not for lack of a free connection.
    """

    waiter: Any
    backend_failed: bool


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close this connection."""

    connection: Any


@dataclass(frozen=True, slots=True)
class CancelDial:
    """Cancel a dial, as the backend is being drained, has moved or was removed."""

    dial: int


Action = StartDial | AssignConnection | RejectAttempt | CloseConnection | CancelDial


@dataclass(slots=True)
class _ConnectionState:
    idle_since: float
    expires_at: float
    exchanges_left: int
    exchanges: int = 0


@dataclass(slots=True)
class PoolCounters:
    """Counters since the pool was created, for operators."""

    requested: int = 0  # attempts that requested a connection
    reused: int = 0  # attempts sent on a connection that had been used before
    dials: int = 0
    dials_failed: int = 0
    stale_detected: int = 0  # stale connections found before anything was written on them
    stale_missed: int = 0  # connections reset under a request after being considered usable
    rejected: int = 0  # attempts that got no connection


@dataclass(slots=True)
class ConnectionPool:
    """Connections to one backend, each with one request at a time.

    The most recently used connection is reused first, so that surplus ones reach the idle timeout.
    An attempt that finds no idle connection waits, and a dial is started for it if the bound
    allows. It gets whichever comes first, a released connection or a finished dial. A dial that its
    attempt no longer needs continues, and its connection is kept.
    """

    options: PoolOptions
    idle_timeout: float  # s, for which an idle connection may be reused
    rng: random.Random
    descriptor_bound: float = 4096.0  # bound by the available descriptors
    ready: bool = True
    learned_bound: float = math.inf  # bound learned from refusals
    demand: float = 0.0  # peak of concurrent attempts, decaying; see expected_demand
    counters: PoolCounters = field(default_factory=PoolCounters)
    idle: list[Any] = field(default_factory=list)  # least recently used first
    busy: set[Any] = field(default_factory=set)
    dials: set[int] = field(default_factory=set)
    waiters: deque[tuple[Any, float]] = field(default_factory=deque)  # each with its expiry
    # Idle connections may be dead: not used until a new connection has been established.
    distrusted: bool = False
    _states: dict[Any, _ConnectionState] = field(default_factory=dict)
    _last_dial: int = 0
    _grown_at: float = 0.0
    _demand_at: float = 0.0

    # Sizes.

    def open(self) -> int:
        """Return the number of connections, including those being dialled."""
        return len(self.idle) + len(self.busy) + len(self.dials)

    def bound(self) -> int:
        """Return the maximum number of connections."""
        return max(MIN_CONNECTIONS, int(min(self.descriptor_bound, self.learned_bound)))

    def bound_reason(self) -> BoundReason:
        """Return what determines the bound at present."""
        return (
            BoundReason.REFUSED
            if self.learned_bound < self.descriptor_bound
            else BoundReason.DESCRIPTORS
        )

    def _record_demand(self, now: float) -> None:
        self.demand = max(self.expected_demand(now), float(len(self.busy) + len(self.waiters)))
        self._demand_at = now

    def expected_demand(self, now: float) -> float:
        """Return the number of connections that recent traffic has used concurrently."""
        return self.demand * math.exp((self._demand_at - now) / DEMAND_DECAY_S)

    # Attempts.

    def request_connection(
        self, now: float, waiter: Any, timeout: float, is_usable: Callable[[Any], bool]
    ) -> list[Action]:
        """Assign an idle connection to the attempt, or queue it.

        `timeout`: of the whole attempt, s. `is_usable` checks whether an idle connection is open.
        """
        actions: list[Action] = []
        self.counters.requested += 1
        if not self.ready:
            self.counters.rejected += 1
            return [RejectAttempt(waiter, True)]
        connection = None if self.distrusted else self._take_idle(now, actions, is_usable)
        if connection is not None:
            self._assign(now, waiter, connection, actions)
            return actions
        if len(self.waiters) >= self.options.queue:
            self.counters.rejected += 1
            actions.append(RejectAttempt(waiter, False))
            return actions
        self.waiters.append((waiter, now + timeout * MAX_WAIT_FRACTION))
        self._record_demand(now)
        self._dial_for_waiting(now, actions)
        return actions

    def _take_idle(
        self, now: float, actions: list[Action], is_usable: Callable[[Any], bool]
    ) -> Any | None:
        while self.idle:
            connection = self.idle.pop()
            state = self._states[connection]
            if state.idle_since <= now - self.idle_timeout or state.expires_at <= now:
                self._close(connection, actions)
            elif not is_usable(connection):
                self.counters.stale_detected += 1
                self._close(connection, actions)
            else:
                return connection
        return None

    def _close(self, connection: Any, actions: list[Action]) -> None:
        del self._states[connection]
        actions.append(CloseConnection(connection))

    def _assign(self, now: float, waiter: Any, connection: Any, actions: list[Action]) -> None:
        state = self._states[connection]
        self.counters.reused += state.exchanges > 0
        state.exchanges, state.exchanges_left = state.exchanges + 1, state.exchanges_left - 1
        self.busy.add(connection)
        self._record_demand(now)
        actions.append(AssignConnection(waiter, connection))

    def _dial_for_waiting(self, now: float, actions: list[Action]) -> None:
        """Start a dial for each waiting attempt, within the bound.

        Without busy connections at least one dial is always possible.
        """
        while len(self.dials) < len(self.waiters) and (
            self.open() < self.bound() or self._close_oldest_idle(actions)
        ):
            self._start_dial(actions)

    def _close_oldest_idle(self, actions: list[Action]) -> bool:
        """Close a distrusted idle connection, to make room for a dial."""
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
        """Remove an attempt from the queue. Its dial continues, and the connection is kept."""
        self.waiters = deque(entry for entry in self.waiters if entry[0] is not waiter)

    # Connections.

    def dial_succeeded(self, now: float, dial: int, connection: Any) -> list[Action]:
        """A connection is established: the backend answers, so trust idle connections again."""
        self.dials.discard(dial)
        if not self.ready:
            return [CloseConnection(connection)]
        jitter = 1 + self.rng.uniform(-LIFETIME_JITTER, LIFETIME_JITTER)
        exchanges_left = max(1, int(self.options.requests * jitter))
        self._states[connection] = _ConnectionState(
            now, now + self.options.age * jitter, exchanges_left
        )
        self.distrusted = False
        actions: list[Action] = []
        self._assign_or_keep(now, connection, actions)
        return actions

    def dial_failed(self, now: float, dial: int, refused: bool) -> list[Action]:
        """A dial has failed.

        `refused`: the backend refused the connection, or this process has no free descriptor.
        """
        self.dials.discard(dial)
        self.counters.dials_failed += 1
        actions: list[Action] = []
        if refused and self.busy:  # it serves other connections: there are too many
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

    def release(self, now: float, connection: Any, reusable: bool) -> list[Action]:
        """After an exchange, assign its connection to a waiting attempt, keep it, or close it."""
        self.busy.discard(connection)
        state = self._states[connection]
        state.idle_since = now
        actions: list[Action] = []
        is_expired = (
            state.exchanges_left <= 0 or state.expires_at <= now or self.open() >= self.bound()
        )
        if is_expired or not (reusable and self.ready):
            self._close(connection, actions)
        else:
            self._assign_or_keep(now, connection, actions)
        self._grow_bound(now)
        self._dial_for_waiting(now, actions)
        return actions

    def _assign_or_keep(self, now: float, connection: Any, actions: list[Action]) -> None:
        if self.waiters:
            self._assign(now, self.waiters.popleft()[0], connection, actions)
        else:
            self.idle.append(connection)

    def _grow_bound(self, now: float) -> None:
        """Increase the learned bound by one after an interval at the bound without a refusal."""
        if (
            self.learned_bound < self.descriptor_bound
            and self.open() >= self.bound() - 1
            and now - self._grown_at >= GROWTH_INTERVAL_S
        ):
            self.learned_bound, self._grown_at = self.learned_bound + 1, now
            if self.learned_bound >= self.descriptor_bound:
                self.learned_bound = math.inf

    def connection_lost(self, now: float, connection: Any, under_request: bool) -> list[Action]:
        """A connection was closed, by the backend or on an error.

        `under_request`: while a request was in flight, before any byte of its response.
        """
        actions: list[Action] = []
        state = self._states.pop(connection, None)
        if state is None:
            return actions
        if connection in self.busy:
            self.busy.discard(connection)
            self.counters.stale_missed += under_request and state.exchanges > 1
        else:
            self.idle.remove(connection)
            self.counters.stale_detected += 1
        if under_request:
            self.close_all_idle(actions)
        self._dial_for_waiting(now, actions)
        return actions

    def close_all_idle(self, actions: list[Action]) -> None:
        """Close all idle connections: after a failure of the backend they may be dead as well."""
        for connection in self.idle:
            self._close(connection, actions)
        self.idle.clear()

    def distrust_idle(self) -> None:
        """Use no idle connection until a new one is established: the backend has been silent."""
        self.distrusted = self.distrusted or bool(self.idle)

    # Time, the endpoint list, the configuration.

    def tick(self, now: float, suspended: bool = False) -> list[Action]:
        """Close expired connections and reject expired waiters; called about once a second.

        `suspended`: the process or the machine was suspended, so all idle connections are closed.
        """
        actions: list[Action] = []
        oldest = now - self.idle_timeout
        remaining = []
        for connection in self.idle:
            state = self._states[connection]
            if suspended or state.idle_since <= oldest or state.expires_at <= now:
                self._close(connection, actions)
            else:
                remaining.append(connection)
        self.idle[:] = remaining
        actions += self.shrink(self.bound())
        while self.waiters and self.waiters[0][1] <= now:
            self.counters.rejected += 1
            actions.append(RejectAttempt(self.waiters.popleft()[0], False))
        self._dial_for_waiting(now, actions)
        return actions

    def next_wait_expiry(self) -> float:
        """Return when the wait of the first waiting attempt expires; inf if none waits."""
        return self.waiters[0][1] if self.waiters else math.inf

    def drain(self, ready: bool) -> list[Action]:
        """Cancel dials, close idle connections and reject waiting attempts.

        Called when the backend is draining, in maintenance, moved, restarted or removed. Busy
        connections finish their exchange.
        """
        self.ready = ready
        actions: list[Action] = [CancelDial(dial) for dial in sorted(self.dials)]
        self.dials.clear()
        self.close_all_idle(actions)
        while self.waiters:
            self.counters.rejected += 1
            actions.append(RejectAttempt(self.waiters.popleft()[0], True))
        self.learned_bound, self.distrusted = math.inf, False
        return actions

    def shrink(self, size: int) -> list[Action]:
        """Close idle connections, least recently used first, until `size` are open in all."""
        actions: list[Action] = []
        while self.idle and self.open() > size:
            self._close(self.idle.pop(0), actions)
        return actions

    def close_idle(self, count: int) -> list[Action]:
        """Close `count` idle connections, the least recently used first."""
        actions: list[Action] = []
        for connection in self.idle[:count]:
            self._close(connection, actions)
        del self.idle[:count]
        return actions

    def preconnect(self, now: float) -> list[Action]:
        """Start one dial ahead of demand, if recent traffic would use it.

        Waiting attempts take precedence.
        """
        target = min(float(self.options.warm), math.ceil(self.expected_demand(now)), self.bound())
        actions: list[Action] = []
        if self.ready and not self.waiters and self.open() < target:
            self._start_dial(actions)
        return actions
