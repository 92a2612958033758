"""The pool's decisions: whatever happens in whatever order, nobody is forgotten and nothing is held
twice."""

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
    """Carries actions out as backends.py does, and keeps books of its own."""

    def __init__(self) -> None:
        super().__init__()
        self.pool = ConnectionPool(
            PoolOptions(age=30, requests=5, queue=3, warm=2),
            10.0,
            random.Random(1),
            descriptor_bound=5.0,
        )
        self.now, self.count = 0.0, 0
        self.waiting: set[int] = set()  # attempts with no end yet
        self.dials: set[int] = set()
        self.idle: set[str] = set()
        self.held: dict[str, int] = {}  # link: attempt
        self.stale: set[str] = set()

    def do(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case StartDial(dial):
                    assert dial not in self.dials
                    self.dials.add(dial)
                case AssignConnection(waiter, link):
                    assert (
                        waiter in self.waiting and link not in self.held and link not in self.stale
                    )
                    self.waiting.remove(waiter)
                    self.idle.discard(link)
                    self.held[link] = waiter
                case RejectAttempt(waiter, _):
                    self.waiting.remove(waiter)
                case CloseConnection(link):
                    assert link not in self.held
                    self.idle.discard(link)
                    self.stale.discard(link)
                case CancelDial(dial):
                    self.dials.remove(dial)
        self.idle = {link for link in self.idle if link in self.pool.idle}

    @rule(patience=st.sampled_from([0.4, 4.0, 400.0]))
    def ask(self, patience: float) -> None:
        self.count += 1
        self.waiting.add(self.count)
        self.do(
            self.pool.request_connection(
                self.now, self.count, patience, lambda link: link not in self.stale
            )
        )

    @precondition(lambda self: self.dials)
    @rule(good=st.booleans(), refused=st.booleans())
    def dial_ends(self, good: bool, refused: bool) -> None:
        dial = min(self.dials)
        self.dials.remove(dial)
        if good:
            self.count += 1
            link = f"link {self.count}"
            self.idle.add(link)
            self.do(self.pool.dial_succeeded(self.now, dial, link))
        else:
            self.do(self.pool.dial_failed(self.now, dial, refused))

    @precondition(lambda self: self.held)
    @rule(data=st.data(), reusable=st.booleans())
    def exchange_ends(self, data: st.DataObject, reusable: bool) -> None:
        link = data.draw(st.sampled_from(sorted(self.held)))
        del self.held[link]
        self.idle.add(link)
        self.do(self.pool.release(self.now, link, reusable))

    @precondition(lambda self: self.held or self.idle)
    @rule(data=st.data(), under=st.booleans())
    def link_breaks(self, data: st.DataObject, under: bool) -> None:
        link = data.draw(st.sampled_from(sorted(self.held | dict.fromkeys(self.idle, 0))))
        under = under and link in self.held
        self.held.pop(link, None)
        self.idle.discard(link)
        self.stale.discard(link)
        self.do(self.pool.connection_lost(self.now, link, under))

    @precondition(lambda self: self.idle)
    @rule()
    def backend_closes_an_idle_one_unnoticed(self) -> None:
        self.stale.add(min(self.idle))

    @precondition(lambda self: self.waiting)
    @rule()
    def cancel(self) -> None:
        waiter = min(self.waiting)
        self.waiting.remove(waiter)
        self.pool.cancel(waiter)

    @rule(wait=st.sampled_from([0.1, 1.0, 6.0, 40.0]), gap=st.booleans())
    def time_passes(self, wait: float, gap: bool) -> None:
        self.now += wait
        self.do(self.pool.tick(self.now, gap))
        if gap:
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
    def room_is_needed_elsewhere(self, count: int) -> None:
        caught = self.pool.counters.stale_detected
        self.do(self.pool.close_idle(count))
        assert self.pool.counters.stale_detected == caught  # nothing was wrong with them

    @rule()
    def doubted(self) -> None:
        self.pool.distrust_idle()

    @rule()
    def warmed(self) -> None:
        self.do(self.pool.preconnect(self.now))

    @invariant()
    def books_agree(self) -> None:
        pool = self.pool
        assert (
            set(pool.idle) == self.idle and pool.busy == set(self.held) and pool.dials == self.dials
        )
        assert {w for w, _ in pool.waiters} == self.waiting and len(
            pool.waiters
        ) <= pool.options.queue
        assert len(pool.idle) == len(set(pool.idle)) and not pool.busy & set(pool.idle)
        assert set(pool._states) == set(pool.idle) | pool.busy

    @invariant()
    def nobody_is_forgotten(self) -> None:
        pool = self.pool
        if pool.waiters:
            assert pool.dials or pool.busy, "nothing can come"
            assert not pool.idle or pool.distrusted, "a link is free"

    @invariant()
    def the_bound_holds_for_what_is_opened(self) -> None:
        pool = self.pool
        assert pool.bound() >= MIN_CONNECTIONS
        assert not pool.dials or pool.open() <= max(8, pool.bound())

    def teardown(self) -> None:
        self.do(self.pool.drain(False))
        for link in sorted(self.held):
            del self.held[link]
            self.do(self.pool.release(self.now, link, True))
        assert self.pool.open() == 0 and not self.pool._states and not self.pool.waiters


PoolMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=50, deadline=None)
TestPool = PoolMachine.TestCase


def opened(pool: ConnectionPool, count: int, now: float = 0.0) -> list[str]:
    """So many links, all of them busy."""
    links = []
    for n in range(count):
        for action in pool.request_connection(now, f"a{n}", 60.0, lambda link: True):
            assert isinstance(action, StartDial)
            links.append(f"l{n}")
            assert pool.dial_succeeded(now, action.dial, links[-1]) == [
                AssignConnection(f"a{n}", links[-1])
            ]
    return links


def test_the_most_recently_used_goes_first_and_the_surplus_ages_out() -> None:
    pool = ConnectionPool(PoolOptions(), 10.0, random.Random(1))
    for n, link in enumerate(opened(pool, 3)):
        pool.release(float(n), link, True)
    assert pool.request_connection(3.0, "x", 1.0, lambda link: True) == [
        AssignConnection("x", "l2")
    ]
    assert pool.release(9.0, "l2", True) == []
    assert pool.tick(11.5) == [CloseConnection("l0"), CloseConnection("l1")]
    assert pool.tick(19.5) == [CloseConnection("l2")]


def test_the_bound_halves_its_way_down_by_refusals_and_grows_by_one_with_use() -> None:
    pool = ConnectionPool(PoolOptions(), 60.0, random.Random(1), descriptor_bound=40.0)
    links = opened(pool, 10)
    (dial,) = pool.request_connection(1.0, "x", 8.0, lambda link: True)
    assert isinstance(dial, StartDial)
    assert pool.dial_failed(1.0, dial.dial, True) == [RejectAttempt("x", True)]
    assert (pool.bound(), pool.bound_reason()) == (7, BoundReason.REFUSED)
    # no dial beyond the bound: it waits for a link
    assert pool.request_connection(1.5, "y", 8.0, lambda link: True) == []
    # surplus goes first
    assert pool.release(2.0, links[0], True) == [CloseConnection(links[0])] and pool.waiters
    for n, link in enumerate(links[1:5]):
        pool.release(3.0 + n, link, True)
    assert "y" not in {w for w, _ in pool.waiters} and pool.bound() > 7
    pool.learned_bound = 39.5
    for n in range(40):
        pool._grow_bound(100.0 + n) if pool.open() >= pool.bound() - 1 else None
    pool.drain(True)
    assert (pool.bound(), pool.bound_reason()) == (40, BoundReason.DESCRIPTORS)


def test_a_doubted_backend_gets_a_fresh_link_before_idle_ones_are_used_again() -> None:
    pool = ConnectionPool(PoolOptions(), 60.0, random.Random(1))
    for link in opened(pool, 2):
        pool.release(1.0, link, True)
    pool.distrust_idle()
    (dial,) = pool.request_connection(2.0, "x", 8.0, lambda link: True)
    assert isinstance(dial, StartDial) and pool.dial_succeeded(2.1, dial.dial, "l9") == [
        AssignConnection("x", "l9")
    ]
    # it answers: trusted again
    assert pool.request_connection(2.2, "y", 8.0, lambda link: True) == [
        AssignConnection("y", "l1")
    ]
    pool.distrust_idle()
    (dial,) = pool.request_connection(3.0, "z", 8.0, lambda link: True)
    assert isinstance(dial, StartDial)
    # vanished: none is tried
    assert pool.dial_failed(3.25, dial.dial, False) == [
        CloseConnection("l0"),
        RejectAttempt("z", True),
    ]


def test_what_is_idle_beyond_a_smaller_bound_is_closed_the_oldest_first() -> None:
    pool = ConnectionPool(PoolOptions(), 60.0, random.Random(1), descriptor_bound=9.0)
    for link in opened(pool, 6)[:4]:
        pool.release(1.0, link, True)
    pool.descriptor_bound = 4.0  # SIGHUP has halved the descriptors
    assert pool.tick(2.0) == [CloseConnection("l0"), CloseConnection("l1")] and pool.open() == 4


def test_links_of_a_fleet_do_not_turn_over_in_step() -> None:
    deaths, uses = set(), set()
    for seed in range(50):
        pool = ConnectionPool(PoolOptions(age=100, requests=1000), 60.0, random.Random(seed))
        opened(pool, 1)
        deaths.add(round(pool._states["l0"].expires_at))
        uses.add(pool._states["l0"].exchanges_left)
    assert len(deaths) > 20 and min(deaths) >= 80 and max(deaths) <= 120 and len(uses) > 30


def test_links_are_opened_ahead_only_where_traffic_was_and_only_if_that_is_on() -> None:
    for warm, wanted in ((0, 0), (2, 2)):
        pool = ConnectionPool(PoolOptions(warm=warm), 60.0, random.Random(1))
        assert pool.preconnect(0.0) == []  # nothing is known of its traffic
        opened(pool, 3)
        pool.drain(True)
        for link in sorted(pool.busy):
            pool.release(1.0, link, False)
        assert (
            sum(isinstance(a, StartDial) for _ in range(5) for a in pool.preconnect(1.0)) == wanted
        )
        assert pool.preconnect(200.0) == []  # long ago


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
def test_what_makes_no_sense_is_refused_by_its_name(raw: object, wrong: str) -> None:
    with pytest.raises(ConfigError, match=wrong.replace(".", r"\.")):
        _pool(raw)
    assert _pool({"age_s": 60, "requests": 9}) == PoolOptions(age=60, requests=9)
