"""The connection pool's decisions.

In any order of events, every waiting attempt ends and no connection is assigned twice.
"""

from __future__ import annotations

import random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cairndale.ingress.net.config import ConfigError, _pool
from cairndale.ingress.net.pool import (
    MIN_CONNECTIONS,
    Action,
    AssignConnection,
    BoundReason,
    CancelDial,
    CloseConnection,
    ConnectionPool,
    PoolOptions,
    RejectAttempt,
    StartDial,
)


class PoolMachine(RuleBasedStateMachine):
    """Carries actions out as `backends.py` does, and tracks the expected state."""

    def __init__(self) -> None:
        super().__init__()
        self.pool = ConnectionPool(
            PoolOptions(age=30, requests=5, queue=3, warm=2),
            10.0,
            random.Random(1),
            descriptor_bound=5.0,
        )
        self.now, self.count = 0.0, 0
        self.waiting: set[int] = set()  # attempts that wait for a connection
        self.dials: set[int] = set()
        self.idle: set[str] = set()
        self.assigned: dict[str, int] = {}  # attempts by connection
        self.stale: set[str] = set()

    def do(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case StartDial(dial):
                    assert dial not in self.dials
                    self.dials.add(dial)
                case AssignConnection(waiter, connection):
                    assert (
                        waiter in self.waiting
                        and connection not in self.assigned
                        and connection not in self.stale
                    )
                    self.waiting.remove(waiter)
                    self.idle.discard(connection)
                    self.assigned[connection] = waiter
                case RejectAttempt(waiter, _):
                    self.waiting.remove(waiter)
                case CloseConnection(connection):
                    assert connection not in self.assigned
                    self.idle.discard(connection)
                    self.stale.discard(connection)
                case CancelDial(dial):
                    self.dials.remove(dial)
        self.idle = {connection for connection in self.idle if connection in self.pool.idle}

    @rule(timeout=st.sampled_from([0.4, 4.0, 400.0]))
    def ask(self, timeout: float) -> None:
        self.count += 1
        self.waiting.add(self.count)
        self.do(
            self.pool.request_connection(
                self.now, self.count, timeout, lambda connection: connection not in self.stale
            )
        )

    @precondition(lambda self: self.dials)
    @rule(good=st.booleans(), refused=st.booleans())
    def dial_ends(self, good: bool, refused: bool) -> None:
        dial = min(self.dials)
        self.dials.remove(dial)
        if good:
            self.count += 1
            connection = f"connection {self.count}"
            self.idle.add(connection)
            self.do(self.pool.dial_succeeded(self.now, dial, connection))
        else:
            self.do(self.pool.dial_failed(self.now, dial, refused))

    @precondition(lambda self: self.assigned)
    @rule(data=st.data(), reusable=st.booleans())
    def exchange_ends(self, data: st.DataObject, reusable: bool) -> None:
        connection = data.draw(st.sampled_from(sorted(self.assigned)))
        del self.assigned[connection]
        self.idle.add(connection)
        self.do(self.pool.release(self.now, connection, reusable))

    @precondition(lambda self: self.assigned or self.idle)
    @rule(data=st.data(), under_request=st.booleans())
    def connection_breaks(self, data: st.DataObject, under_request: bool) -> None:
        connection = data.draw(st.sampled_from(sorted(self.assigned | dict.fromkeys(self.idle, 0))))
        under_request = under_request and connection in self.assigned
        self.assigned.pop(connection, None)
        self.idle.discard(connection)
        self.stale.discard(connection)
        self.do(self.pool.connection_lost(self.now, connection, under_request))

    @precondition(lambda self: self.idle)
    @rule()
    def idle_connection_becomes_stale(self) -> None:
        self.stale.add(min(self.idle))

    @precondition(lambda self: self.waiting)
    @rule()
    def cancel(self) -> None:
        waiter = min(self.waiting)
        self.waiting.remove(waiter)
        self.pool.cancel(waiter)

    @rule(wait=st.sampled_from([0.1, 1.0, 6.0, 40.0]), suspended=st.booleans())
    def time_passes(self, wait: float, suspended: bool) -> None:
        self.now += wait
        self.do(self.pool.tick(self.now, suspended))
        if suspended:
            assert not self.pool.idle

    @rule(ready=st.booleans())
    def list_changes(self, ready: bool) -> None:
        self.do(self.pool.drain(ready))
        assert not self.waiting and not self.dials and not self.pool.idle

    @rule(top=st.sampled_from([1.0, 3.0, 8.0]))
    def descriptors_change(self, top: float) -> None:
        self.pool.descriptor_bound = top
        self.do(self.pool.tick(self.now))

    @rule(count=st.integers(0, 3))
    def idle_connections_are_evicted(self, count: int) -> None:
        caught = self.pool.counters.stale_detected
        self.do(self.pool.close_idle(count))
        assert self.pool.counters.stale_detected == caught  # they were not stale

    @rule()
    def backend_is_silent(self) -> None:
        self.pool.distrust_idle()

    @rule()
    def preconnect(self) -> None:
        self.do(self.pool.preconnect(self.now))

    @invariant()
    def pool_matches_expected_state(self) -> None:
        pool = self.pool
        assert (
            set(pool.idle) == self.idle
            and pool.busy == set(self.assigned)
            and pool.dials == self.dials
        )
        assert {w for w, _ in pool.waiters} == self.waiting and len(
            pool.waiters
        ) <= pool.options.queue
        assert len(pool.idle) == len(set(pool.idle)) and not pool.busy & set(pool.idle)
        assert set(pool._states) == set(pool.idle) | pool.busy

    @invariant()
    def waiting_attempts_make_progress(self) -> None:
        pool = self.pool
        if pool.waiters:
            assert pool.dials or pool.busy, "no connection can become free"
            assert not pool.idle or pool.distrusted, "an idle connection is not assigned"

    @invariant()
    def bound_limits_dials(self) -> None:
        pool = self.pool
        assert pool.bound() >= MIN_CONNECTIONS
        assert not pool.dials or pool.open() <= max(8, pool.bound())

    def teardown(self) -> None:
        self.do(self.pool.drain(False))
        for connection in sorted(self.assigned):
            del self.assigned[connection]
            self.do(self.pool.release(self.now, connection, True))
        assert self.pool.open() == 0 and not self.pool._states and not self.pool.waiters


PoolMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=50, deadline=None)
TestPool = PoolMachine.TestCase


def opened(pool: ConnectionPool, count: int, now: float = 0.0) -> list[str]:
    """Return `count` new connections, all busy."""
    links = []
    for n in range(count):
        for action in pool.request_connection(now, f"a{n}", 60.0, lambda connection: True):
            assert isinstance(action, StartDial)
            links.append(f"l{n}")
            assert pool.dial_succeeded(now, action.dial, links[-1]) == [
                AssignConnection(f"a{n}", links[-1])
            ]
    return links


def test_most_recently_used_is_reused_first_and_surplus_expires() -> None:
    pool = ConnectionPool(PoolOptions(), 10.0, random.Random(1))
    for n, connection in enumerate(opened(pool, 3)):
        pool.release(float(n), connection, True)
    assert pool.request_connection(3.0, "x", 1.0, lambda connection: True) == [
        AssignConnection("x", "l2")
    ]
    assert pool.release(9.0, "l2", True) == []
    assert pool.tick(11.5) == [CloseConnection("l0"), CloseConnection("l1")]
    assert pool.tick(19.5) == [CloseConnection("l2")]


def test_bound_shrinks_on_refusals_and_grows_by_one_with_use() -> None:
    pool = ConnectionPool(PoolOptions(), 60.0, random.Random(1), descriptor_bound=40.0)
    links = opened(pool, 10)
    (dial,) = pool.request_connection(1.0, "x", 8.0, lambda connection: True)
    assert isinstance(dial, StartDial)
    assert pool.dial_failed(1.0, dial.dial, True) == [RejectAttempt("x", True)]
    assert (pool.bound(), pool.bound_reason()) == (7, BoundReason.REFUSED)
    # No dial beyond the bound: the attempt waits for a connection.
    assert pool.request_connection(1.5, "y", 8.0, lambda connection: True) == []
    # Connections over the bound are closed first.
    assert pool.release(2.0, links[0], True) == [CloseConnection(links[0])] and pool.waiters
    for n, connection in enumerate(links[1:5]):
        pool.release(3.0 + n, connection, True)
    assert "y" not in {w for w, _ in pool.waiters} and pool.bound() > 7
    pool.learned_bound = 39.5
    for n in range(40):
        pool._grow_bound(100.0 + n) if pool.open() >= pool.bound() - 1 else None
    pool.drain(True)
    assert (pool.bound(), pool.bound_reason()) == (40, BoundReason.DESCRIPTORS)


def test_distrusted_idle_connections_wait_for_a_new_connection() -> None:
    pool = ConnectionPool(PoolOptions(), 60.0, random.Random(1))
    for connection in opened(pool, 2):
        pool.release(1.0, connection, True)
    pool.distrust_idle()
    (dial,) = pool.request_connection(2.0, "x", 8.0, lambda connection: True)
    assert isinstance(dial, StartDial) and pool.dial_succeeded(2.1, dial.dial, "l9") == [
        AssignConnection("x", "l9")
    ]
    # The backend answers, so idle connections are trusted again.
    assert pool.request_connection(2.2, "y", 8.0, lambda connection: True) == [
        AssignConnection("y", "l1")
    ]
    pool.distrust_idle()
    (dial,) = pool.request_connection(3.0, "z", 8.0, lambda connection: True)
    assert isinstance(dial, StartDial)
    # The backend has vanished: no idle connection is tried.
    assert pool.dial_failed(3.25, dial.dial, False) == [
        CloseConnection("l0"),
        RejectAttempt("z", True),
    ]


def test_idle_connections_over_a_reduced_bound_are_closed_oldest_first() -> None:
    pool = ConnectionPool(PoolOptions(), 60.0, random.Random(1), descriptor_bound=9.0)
    for connection in opened(pool, 6)[:4]:
        pool.release(1.0, connection, True)
    pool.descriptor_bound = 4.0  # SIGHUP has halved the descriptors
    assert pool.tick(2.0) == [CloseConnection("l0"), CloseConnection("l1")] and pool.open() == 4


def test_lifetimes_of_connections_vary() -> None:
    deaths, uses = set(), set()
    for seed in range(50):
        pool = ConnectionPool(PoolOptions(age=100, requests=1000), 60.0, random.Random(seed))
        opened(pool, 1)
        deaths.add(round(pool._states["l0"].expires_at))
        uses.add(pool._states["l0"].exchanges_left)
    assert len(deaths) > 20 and min(deaths) >= 80 and max(deaths) <= 120 and len(uses) > 30


def test_preconnect_follows_recent_traffic_if_enabled() -> None:
    for warm, expected in ((0, 0), (2, 2)):
        pool = ConnectionPool(PoolOptions(warm=warm), 60.0, random.Random(1))
        assert pool.preconnect(0.0) == []  # no traffic so far
        opened(pool, 3)
        pool.drain(True)
        for connection in sorted(pool.busy):
            pool.release(1.0, connection, False)
        assert (
            sum(isinstance(a, StartDial) for _ in range(5) for a in pool.preconnect(1.0))
            == expected
        )
        assert pool.preconnect(200.0) == []  # the traffic was long ago


@pytest.mark.parametrize(
    ("raw", "wrong"),
    [
        ([], "pool: not an object"),
        ({"age": 3}, "pool.age: not known"),
        ({"age_s": -1}, "pool.age_s: -1"),
        ({"requests": 2.5}, "a whole number"),
        ({"queue": True}, "pool.queue: True"),
        ({"server_share": float("nan")}, "pool.server_share"),
        ({"warm": "2"}, "pool.warm: '2'"),
    ],
)
def test_invalid_pool_settings_are_rejected_by_key(raw: object, wrong: str) -> None:
    with pytest.raises(ConfigError, match=wrong.replace(".", r"\.")):
        _pool(raw)
    assert _pool({"age_s": 60, "requests": 9}) == PoolOptions(age=60, requests=9)
