"""Invariants of the simulator's models, mostly as property-based tests."""

from __future__ import annotations

import itertools
from dataclasses import replace

import numpy as np
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cairndale.lab import draw, scenario
from cairndale.lab.world.clients import Clients
from cairndale.lab.world.counter import CallStatus, Counter
from cairndale.lab.world.discovery import Discovery
from cairndale.lab.world.server import Job, Server, Verdict

DAY = draw.day(scenario.load("calm"), 3)
KIND = replace(
    DAY.servers[0], slots=4, queue=3, error_rate=0.0, cap=5, cold_us=2_000_000, warm_requests=30
)


class ServerMachine(RuleBasedStateMachine):
    """Invariants of a server under random operations.

    Work is conserved, the limits on slots, queue and connections hold, warmth never falls while a
    process runs, and every request ends exactly once."""

    def __init__(self) -> None:
        super().__init__()
        self.server, self.now, self.count = Server(KIND, 0), 0, 0
        self.pending: dict[int, Job] = {}
        self.ended: dict[int, Verdict] = {}
        self.max_work = 0.0  # the most work that the cores could have done
        self.warmth = 0.0
        self.completed_work = 0.0  # work of the requests that ended with OK

    def collect(self, ended: list[tuple[Job, Verdict]]) -> None:
        for job, verdict in ended:
            assert isinstance(job.key, int) and job.key not in self.ended, "ended twice"
            self.ended[job.key] = verdict
            self.pending.pop(job.key)
            if verdict is Verdict.OK:
                self.completed_work += job.work

    def advance_to(self, now: int) -> None:
        self.max_work += (now - self.now) * KIND.cores * KIND.speed
        self.now = now

    @rule(wait=st.integers(1, 400_000))
    def wait(self, wait: int) -> None:
        self.advance_to(self.now + wait)
        self.collect(self.server.advance(self.now))

    @rule(work=st.floats(1_000, 400_000), timeout=st.integers(1, 900_000))
    def offer(self, work: float, timeout: int) -> None:
        self.count += 1
        job = self.pending[self.count] = Job(self.count, work, self.now + timeout)
        verdict, finished = self.server.offer(self.now, job)
        self.collect(finished)
        if verdict is not None:
            self.collect([(job, verdict)])

    @precondition(lambda self: bool(self.pending))
    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        job = self.pending[data.draw(st.sampled_from(sorted(self.pending)))]
        was_queued = job.state == "waiting"
        cancelled, finished = self.server.cancel(self.now, job)
        self.collect(finished)
        if cancelled:
            assert was_queued
            self.collect([(job, Verdict.DOWN)])

    @rule()
    def connect(self) -> None:
        before = self.server.connections
        connected, finished = self.server.open(self.now)
        self.collect(finished)
        assert connected == (self.server.alive and before < KIND.cap)

    @rule()
    def restart(self) -> None:
        self.collect(self.server.terminate(self.now))
        assert not self.pending and self.server.request_count() == 0
        self.server.start(self.now)
        self.warmth = 0.0

    @invariant()
    def bounds_hold(self) -> None:
        server = self.server
        assert (
            0 <= server.running_count() <= KIND.slots and 0 <= server.queued_count() <= KIND.queue
        )
        assert 0 <= server.connections <= KIND.cap
        assert server.request_count() == sum(
            j.state in ("waiting", "working") for j in self.pending.values()
        )
        assert (
            self.completed_work
            <= server.work_done * (1 + 1e-9) + 1
            <= self.max_work * (1 + 1e-9) + 2
        )
        warmth = server.warmth(self.now)
        assert self.warmth <= warmth <= 1 or server.failed_overloaded
        self.warmth = warmth


ServerMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
TestServer = ServerMachine.TestCase


def run_until_idle(server: Server, now: int) -> int:
    """Return the time at which the server has finished all its work."""
    while due := server.next_event_at():
        now = due
        server.advance(now)
    return now


def test_undisturbed_server_finishes_in_the_minimum_time() -> None:
    server = Server(replace(KIND, thrash=0.0, full_tax=0.0), -1)
    for number in range(7):
        server.offer(0, Job(number, 100_000.0, 10_000_000))
    elapsed = run_until_idle(server, 0)
    assert server.served == 7
    shortest = 7 * 100_000 / (KIND.cores * KIND.speed)
    assert shortest <= elapsed <= shortest + 100_000 / KIND.speed + 10


def test_cold_server_fails_only_above_the_overload_multiple() -> None:
    for load_share, overloads in ((0.9, False), (1.3, True)):
        server, now, failed = (
            Server(replace(KIND, cold_us=60_000_000, slots=10_000, warm_requests=1e9), 0),
            0,
            False,
        )
        while now < 6_000_000 and not failed:
            now += 10_000
            work = load_share * server.overload_multiple * 10_000 * server.capacity(now)
            server.offer(now, Job(now, work, now + 1))
            failed = server.failed_overloaded
        assert failed == overloads


@given(
    st.lists(st.tuples(st.integers(0, 5), st.floats(-9, 9), st.integers(1, 20_000)), max_size=60)
)
@settings(deadline=None)
def test_counter_totals_are_exact_and_in_call_order(
    calls: list[tuple[int, float, int]],
) -> None:
    counter = Counter(partitions=2, service_us=1000, max_queue_us=8000)
    now, totals, last_answer_at = 0, dict.fromkeys(range(6), 0.0), [0, 0]
    for name, amount, wait in calls:
        now += wait
        answer = counter.add(now, name, amount, 60_000_000)
        if answer.status is CallStatus.OK:
            totals[name] += amount
            assert answer.total == totals[name]
            assert answer.answered_at >= max(now, last_answer_at[name % 2]) + 1000
            last_answer_at[name % 2] = answer.answered_at
        else:
            assert answer.status is CallStatus.BUSY and last_answer_at[name % 2] - now > 8000


def test_counter_entries_expire_and_are_lost_when_the_counter_fails() -> None:
    counter = Counter(partitions=1, service_us=10, max_queue_us=1000)
    assert counter.add(0, 1, 2.0, 5000).total == 2.0
    assert counter.add(4000, 1, 2.0, 5000).total == 4.0
    assert counter.add(5001, 1, 2.0, 5000).total == 2.0
    counter.stop()
    assert counter.add(5100, 1, 2.0, 5000).status is CallStatus.DOWN
    counter.restart(5200)
    assert counter.add(5300, 1, 2.0, 5000).total == 2.0


def test_each_ingress_receives_the_latest_change_of_each_server_once() -> None:
    rng = np.random.default_rng(1)
    discovery = Discovery(3, period=1000, spread=500, per_s=0, rng=rng, notified_versions=[0] * 3)
    discovery.initialize({0: -1, 1: -1})
    due = discovery.change(0, 0, "draining", -1)
    assert sorted(due) == [0, 1, 2] and max(due.values()) <= 1500
    discovery.change(10, 1, "removed", -1)
    discovery.change(20, 0, "up", 15)
    version, entries = discovery.take_update(0)
    assert [(e.server, e.status, e.started) for e in entries] == [(0, "up", 15), (1, "removed", -1)]
    assert discovery.take_update(0) == (version, [])
    discovery.up = False
    assert discovery.take_update(1)[1] == [] and [e.status for e in discovery.list_sent_to(1)] == [
        "up",
        "up",
    ]
    discovery.up = True
    assert discovery.take_update(1) == (version, entries) and [
        e.server for e in discovery.list_sent_to(1)
    ] == [0]


def test_arrivals_are_ordered_and_not_changed_by_extra_load() -> None:
    calm = list(Clients(DAY).arrivals())
    assert all(a.due <= b.due for a, b in itertools.pairwise(calm))
    text = (scenario.SHIPPED / "calm.toml").read_text()
    text += '[[trouble]]\nkind = "scan"\nat_s = 5\nlen_s = 10\nsize = 0.4\n'
    with_scan = list(Clients(draw.day(scenario.parse(text, "more"), 3)).arrivals())
    calm_keys = {(a.due, a.customer) for a in calm}
    assert calm_keys < {(a.due, a.customer) for a in with_scan}
    members = {m.customer for m in Clients(DAY).members}
    assert all(5_000_000 <= a.due < 15_000_000 for a in with_scan if a.customer not in members)


def test_requests_use_only_available_ingresses_of_the_member() -> None:
    clients = Clients(draw.day(scenario.load("half-lost"), 5))
    for arrival in list(clients.arrivals())[:400]:
        ingresses = {(arrival.first + offset) % 4 for offset in range(arrival.spread)}
        assert clients.choose_ingress(arrival, arrival.due, 0, frozenset()) in ingresses
        down = frozenset(sorted(ingresses)[:1])
        assert clients.choose_ingress(arrival, arrival.due, 1, down) in ingresses - down
        assert clients.choose_ingress(arrival, arrival.due, 0, frozenset(ingresses)) == -1
