"""The lab's models: what must hold of each, whatever happens in whatever order."""

from __future__ import annotations

import itertools
from dataclasses import replace

import numpy as np
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cairndale.lab import draw, scenario
from cairndale.lab.world.clients import Clients
from cairndale.lab.world.counter import Counter, Said
from cairndale.lab.world.discovery import Discovery
from cairndale.lab.world.server import Job, Server, Verdict

DAY = draw.day(scenario.load("calm"), 3)
KIND = replace(
    DAY.servers[0], slots=4, queue=3, error_rate=0.0, cap=5, cold_us=2_000_000, warm_requests=30
)


class ServerMachine(RuleBasedStateMachine):
    """Work is conserved, slots, room and table hold, warmth never falls, and every request ends
    once."""

    def __init__(self) -> None:
        super().__init__()
        self.server, self.now, self.count = Server(KIND, 0), 0, 0
        self.out: dict[int, Job] = {}
        self.ended: dict[int, Verdict] = {}
        self.able = 0.0  # the most work that its cores could have done
        self.warmth = 0.0
        self.work = 0.0  # of what has ended well

    def over(self, ended: list[tuple[Job, Verdict]]) -> None:
        for job, verdict in ended:
            assert isinstance(job.key, int) and job.key not in self.ended, "ended twice"
            self.ended[job.key] = verdict
            self.out.pop(job.key)
            if verdict is Verdict.OK:
                self.work += job.work

    def pass_to(self, now: int) -> None:
        self.able += (now - self.now) * KIND.cores * KIND.speed
        self.now = now

    @rule(wait=st.integers(1, 400_000))
    def wait(self, wait: int) -> None:
        self.pass_to(self.now + wait)
        self.over(self.server.advance(self.now))

    @rule(work=st.floats(1_000, 400_000), patience=st.integers(1, 900_000))
    def offer(self, work: float, patience: int) -> None:
        self.count += 1
        job = self.out[self.count] = Job(self.count, work, self.now + patience)
        verdict, over = self.server.offer(self.now, job)
        self.over(over)
        if verdict is not None:
            self.over([(job, verdict)])

    @precondition(lambda self: bool(self.out))
    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        job = self.out[data.draw(st.sampled_from(sorted(self.out)))]
        waited = job.state == "waiting"
        stopped, over = self.server.cancel(self.now, job)
        self.over(over)
        if stopped:
            assert waited
            self.over([(job, Verdict.DOWN)])

    @rule()
    def connect(self) -> None:
        before = self.server.connections
        good, over = self.server.open(self.now)
        self.over(over)
        assert good == (self.server.alive and before < KIND.cap)

    @rule()
    def restart(self) -> None:
        self.over(self.server.die(self.now))
        assert not self.out and self.server.held() == 0
        self.server.start(self.now)
        self.warmth = 0.0

    @invariant()
    def bounds_hold(self) -> None:
        server = self.server
        assert 0 <= server.in_work() <= KIND.slots and 0 <= server.waiting() <= KIND.queue
        assert 0 <= server.connections <= KIND.cap
        assert server.held() == sum(j.state in ("waiting", "working") for j in self.out.values())
        assert self.work <= server.done * (1 + 1e-9) + 1 <= self.able * (1 + 1e-9) + 2
        warmth = server.warmth(self.now)
        assert self.warmth <= warmth <= 1 or server.fallen
        self.warmth = warmth


ServerMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)
TestServer = ServerMachine.TestCase


def run_out(server: Server, now: int) -> int:
    while due := server.next_at():
        now = due
        server.advance(now)
    return now


def test_a_server_that_is_left_alone_does_all_its_work_in_the_time_that_its_cores_need() -> None:
    server = Server(replace(KIND, thrash=0.0, full_tax=0.0), -1)
    for n in range(7):
        server.offer(0, Job(n, 100_000.0, 10_000_000))
    took = run_out(server, 0)
    assert server.served == 7
    least = 7 * 100_000 / (KIND.cores * KIND.speed)
    assert least <= took <= least + 100_000 / KIND.speed + 10


def test_a_cold_server_falls_at_more_than_the_stated_multiple_and_not_under_it() -> None:
    for share, falls in ((0.9, False), (1.3, True)):
        server, now, fell = (
            Server(replace(KIND, cold_us=60_000_000, slots=10_000, warm_requests=1e9), 0),
            0,
            False,
        )
        while now < 6_000_000 and not fell:
            now += 10_000
            work = share * server.fall_multiple * 10_000 * server.capacity(now)
            server.offer(now, Job(now, work, now + 1))
            fell = server.fallen
        assert fell == falls


@given(
    st.lists(st.tuples(st.integers(0, 5), st.floats(-9, 9), st.integers(1, 20_000)), max_size=60)
)
@settings(deadline=None)
def test_the_counter_keeps_exact_totals_in_the_order_of_calls(
    calls: list[tuple[int, float, int]],
) -> None:
    counter = Counter(parts=2, service=1000, line=8000)
    now, totals, ends = 0, dict.fromkeys(range(6), 0.0), [0, 0]
    for name, amount, wait in calls:
        now += wait
        answer = counter.add(now, name, amount, 60_000_000)
        if answer.said is Said.OK:
            totals[name] += amount
            assert answer.total == totals[name]
            assert answer.at >= max(now, ends[name % 2]) + 1000
            ends[name % 2] = answer.at
        else:
            assert answer.said is Said.BUSY and ends[name % 2] - now > 8000


def test_a_name_is_forgotten_after_its_life_and_all_are_when_the_counter_fails() -> None:
    counter = Counter(parts=1, service=10, line=1000)
    assert counter.add(0, 1, 2.0, 5000).total == 2.0
    assert counter.add(4000, 1, 2.0, 5000).total == 4.0
    assert counter.add(5001, 1, 2.0, 5000).total == 2.0
    counter.fail()
    assert counter.add(5100, 1, 2.0, 5000).said is Said.DOWN
    counter.back(5200)
    assert counter.add(5300, 1, 2.0, 5000).total == 2.0


def test_each_gateway_is_told_every_change_once_and_the_latest_word_of_a_server() -> None:
    rng = np.random.default_rng(1)
    discovery = Discovery(3, period=1000, spread=500, per_s=0, draws=rng, told=[0] * 3)
    discovery.begin({0: -1, 1: -1})
    due = discovery.change(0, 0, "draining", -1)
    assert sorted(due) == [0, 1, 2] and max(due.values()) <= 1500
    discovery.change(10, 1, "removed", -1)
    discovery.change(20, 0, "up", 15)
    version, entries = discovery.news(0)
    assert [(e.server, e.status, e.started) for e in entries] == [(0, "up", 15), (1, "removed", -1)]
    assert discovery.news(0) == (version, [])
    discovery.up = False
    assert discovery.news(1)[1] == [] and [e.status for e in discovery.held(1)] == ["up", "up"]
    discovery.up = True
    assert discovery.news(1) == (version, entries) and [e.server for e in discovery.held(1)] == [0]


def test_arrivals_are_ordered_match_the_load_and_do_not_shift_with_a_trouble() -> None:
    calm = list(Clients(DAY).arrivals())
    assert all(a.due <= b.due for a, b in itertools.pairwise(calm))
    text = (scenario.SHIPPED / "calm.toml").read_text()
    text += '[[trouble]]\nkind = "scan"\nat_s = 5\nlen_s = 10\nsize = 0.4\n'
    more = list(Clients(draw.day(scenario.parse(text, "more"), 3)).arrivals())
    known = {(a.due, a.customer) for a in calm}
    assert known < {(a.due, a.customer) for a in more}
    members = {m.customer for m in Clients(DAY).members}
    assert all(5_000_000 <= a.due < 15_000_000 for a in more if a.customer not in members)


def test_a_members_requests_come_through_its_set_alone_and_avoid_what_the_front_knows_to_be_down() -> (  # noqa: E501
    None
):
    clients = Clients(draw.day(scenario.load("half-lost"), 5))
    for arrival in list(clients.arrivals())[:400]:
        own = {(arrival.first + n) % 4 for n in range(arrival.spread)}
        assert clients.gateway(arrival, arrival.due, 0, frozenset()) in own
        some = frozenset(sorted(own)[:1])
        assert clients.gateway(arrival, arrival.due, 1, some) in own - some
        assert clients.gateway(arrival, arrival.due, 0, frozenset(own)) == -1
