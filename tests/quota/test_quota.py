"""Leases and parts of a quota, and units that are dealt, over all ingresses in virtual time: cuts,
kills, freezes, clocks that drift and changes of the leader, with every ingress spending all that it
may at every moment; judged from plain lists at the end."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cairndale.configuration.commands import Command, Verb
from cairndale.configuration.state import State
from cairndale.control.leadership import Leadership
from cairndale.errors import CallError
from cairndale.ingress.policy.account import ISOLATED_SAVINGS_S
from cairndale.quota import quota_counter
from cairndale.quota.budget_counter import (
    BUDGET_GRANT_LIFE_S,
    Budget,
    BudgetCounter,
    retry_budget,
    warmup_budget,
)
from cairndale.quota.quota_counter import QUOTA_GRANT_LIFE_S, max_saved_units
from cairndale.registry.endpoints import Endpoint, EndpointRegistry
from cairndale.registry.nodes import NodeRegistry
from cairndale.rpc import protocol_pb2 as pb
from cairndale.rpc.lease_timing import (
    NODE_CONTACT_MARGIN_S,
    NODE_LEASE_S,
    PROMPT_REQUEST_S,
    long_poll_timeout,
    response_timeout,
)
from cairndale.settings import Bounds

RATE, BURST, EDGES = 60.0, 60.0, 5
# a small quota and many ingresses: a unit for each would be more than all of it
SMALL = (5.0, 5.0, 40)
BOUNDS = Bounds(
    quota_window=5.0,
    quota_overrun=0.1,
    quota_slack=20,
    retry_slack=62,
    warmup_overrun=1.5,
    warmup_slack=5,
)
BUDGETS = {"further/s": retry_budget(BOUNDS), "starts/i": warmup_budget(BOUNDS, 5.3)}
KINDS = ("cut", "heal", "leader", "restart", "all restart", "freeze", "thaw")
Fault = tuple[float, str, int]  # s after the one before it, which, and whom it strikes


@dataclass
class Edge:
    """What an ingress holds to: leased units while it is in touch, else its part."""

    name: str
    life: int = 0
    began: float = 0.0
    last_response_at: float = -1e9
    lease_end: float = -1e9
    counting: bool = False
    edges: int = 0
    tokens: list[tuple[float, float]] = field(default_factory=list)
    share: float = 1.0
    share_at: float = 0.0
    isolated_at: float = 0.0  # when it was last told that the counter does not count
    rate: float = 1.0  # of its clock
    epoch: str = ""
    # what the newest response said of its leader's, and when it came
    clock: tuple[int, float] = (0, 0.0)


class World:
    def __init__(
        self,
        seed: int,
        both: bool = False,
        life: float = BUDGET_GRANT_LIFE_S,
        quota: tuple[float, float, int] = (RATE, BURST, EDGES),
        saves: bool | None = None,
    ) -> None:
        """`both`: ingresses spend their parts beside leased units. `life`: for which dealt ones are
        used. `quota`: its rate and burst, and how many ingresses. `saves`: while in touch; None: by
        the rule."""
        self.quota, self.saves = quota, saves
        self.rng, self.both, self.now, self.count = random.Random(seed), both, 0.0, 0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.spent: list[tuple[float, float]] = []
        self.used: dict[str, list[tuple[float, float]]] = {name: [] for name in BUDGETS}
        self.life = life
        self.cut: set[str] = set()
        self.state, self.term = State(), 0
        content = {
            "gen": 1,
            "parent": 0,
            "routes": [],
            "backends": [{"name": "s", "warmupPerS": 5.3}],
        }
        tenant = {"name": "t", "apiKeys": ["k"], "ratePerS": quota[0], "burst": quota[1]}
        self.state.apply(Command(Verb.REPLACE, "d", content | {"tenants": [tenant]}))
        self.leadership: Leadership | None = None
        self.node_registry = NodeRegistry()
        self.edges = {
            f"e{n}": Edge(f"e{n}", rate=self.rng.uniform(0.98, 1.02)) for n in range(quota[2])
        }
        self.frozen: set[str] = set()
        self.begin_leadership(False)
        for edge in self.edges.values():
            self.send_request(edge, edge.life)
            self.spend(edge)

    def later(self, wait: float, what: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.queue, (self.now + wait, self.count, what))

    def begin_leadership(self, had_predecessor: bool) -> None:
        self.term += 1
        names = self.state.edges
        endpoint_registry = EndpointRegistry()
        endpoint_registry.record_heartbeat(
            Endpoint("i", "s", "a:1", "z", "", 2, "ready", 1e5, 1, self.now)
        )
        self.leadership = Leadership(
            self.term,
            self.now,
            had_predecessor,
            endpoint_registry,
            self.node_registry,
            names,
            BOUNDS,
            1.5,
        )
        self.leadership.apply_state(self.state)

    def is_connected(self, edge: Edge) -> bool:
        return (
            edge.counting
            and (self.now - edge.last_response_at) * edge.rate
            < long_poll_timeout(edge.edges) + NODE_CONTACT_MARGIN_S
        )

    def send_request(self, edge: Edge, life: int) -> None:
        """Asks, is answered within `hold`, and asks again; after a while also if there is no
        answer."""
        if edge.life != life:
            return
        requested_at, answered = self.now, [False]
        idle = 0 if edge.edges else int((requested_at - edge.began) * 1000)
        lag = self.rng.uniform(0.001, 0.03)
        epoch, (said, came) = edge.epoch, edge.clock
        counting = (
            edge.counting and (self.now - edge.last_response_at) * edge.rate <= PROMPT_REQUEST_S
        )
        clock = int(said + (requested_at - came) * 1000 * 0.98 / edge.rate) if said else 0

        def arrive(again: bool = False) -> None:
            if (edge.name in self.cut and not again) or self.leadership is None:
                return
            if edge.name not in self.state.edges:
                self.state.apply(Command(Verb.ENROL, added_nodes=(edge.name,)))
            node = pb.Node(
                name=edge.name, incarnation=str(life), kind="edge", address="d", http_address="h"
            )
            made = pb.WatchRequest(
                node=node,
                counter_active=counting,
                epoch=epoch,
                config_version=self.state.version,
                idle_ms=idle,
                leader_clock_ms=clock,
            )
            leadership = self.leadership
            try:
                leadership.record_watch_request(self.now, made)
            except CallError:
                return
            self.later(
                long_poll_timeout(self.quota[2]) * self.rng.random(),
                lambda: answer(leadership, made),
            )

        def answer(leadership: Leadership, made: pb.WatchRequest) -> None:
            if leadership is not self.leadership or edge.name in self.cut:
                return
            watch_response = leadership.watch_responses.update(self.now, made, self.state)
            self.later(lag, lambda: receive(watch_response))

        def receive(watch_response: pb.WatchResponse) -> None:
            if edge.name in self.frozen and edge.life == life:  # it reads what came once it wakes
                self.later(0.05, lambda: receive(watch_response))
                return
            if edge.life != life or edge.name in self.cut or answered[0]:
                return
            answered[0] = True
            if edge.counting and not watch_response.counter_active:
                edge.isolated_at = self.now
            edge.counting, edge.edges = (
                watch_response.counter_active,
                max(edge.edges, watch_response.ingress_count),
            )
            edge.epoch, edge.clock = (
                watch_response.epoch,
                (watch_response.leader_clock_ms, self.now),
            )
            edge.last_response_at, edge.lease_end = (
                self.now,
                requested_at + NODE_LEASE_S * 0.98 / edge.rate,
            )
            self.send_request(edge, life)

        def give_up() -> None:
            if not answered[0]:
                answered[0] = True
                self.send_request(edge, life)

        self.later(lag, arrive)
        if self.rng.random() < 0.2:  # a copy that a peer held up, and passes on when it thaws
            self.later(self.rng.uniform(0.1, 6.0), lambda: arrive(True))
        self.later(response_timeout(long_poll_timeout(self.quota[2])), give_up)

    def spend(self, edge: Edge) -> None:
        """All that it may, a few dozen times a second."""
        now, units = self.now, 0.0
        if edge.name in self.frozen:  # whatever it held to before, it looks anew when it wakes
            self.later(0.05, lambda: self.spend(edge))
            return
        if now < edge.lease_end:
            self.grow(edge)
            units = sum(amount for until, amount in edge.tokens if now <= until)
            edge.tokens.clear()
            if self.is_connected(edge) and edge.name not in self.cut and self.leadership:
                self.lease(edge)
                self.deal(edge)
            if edge.edges and (self.both or not self.is_connected(edge)):
                units += edge.share
                edge.share = 0.0
        if units:
            self.spent.append((now, units))
        self.later(self.rng.uniform(0.01, 0.05), lambda: self.spend(edge))

    def grow(self, edge: Edge) -> None:
        """Its part; where the quota is too small for a unit each, only from when it may spend
        it."""
        rate, burst, _ = self.quota
        part, saves = rate / max(1, edge.edges), self.saves
        if saves is None:
            saves = edge.edges <= max_saved_units(rate, burst, BOUNDS)
        isolated_since = edge.isolated_at
        if self.is_connected(edge):
            isolated_since = self.now
        elif edge.counting:
            isolated_since = max(
                isolated_since,
                edge.last_response_at
                + (long_poll_timeout(edge.edges) + NODE_CONTACT_MARGIN_S) / edge.rate,
            )
        if not saves and edge.share_at < isolated_since:
            edge.share, edge.share_at = 0.0, isolated_since
        edge.share = min(
            max(1.0, part * ISOLATED_SAVINGS_S), edge.share + part * (self.now - edge.share_at)
        )
        edge.share_at = self.now

    def lease(self, edge: Edge) -> None:
        assert self.leadership
        requested_at, amount = self.now, self.rng.choice((1.0, 10.0, 80.0))
        try:
            left = self.leadership.grants.grant_quota(
                self.now, pb.QuotaRequest(tenant="t", amount=amount)
            )
        except CallError:
            return
        if left is not None and (granted := amount - min(amount, max(0.0, -left))) > 0:
            wait = self.rng.choice((0.02, QUOTA_GRANT_LIFE_S * 0.95))
            self.later(
                wait,
                lambda: edge.tokens.append(
                    (requested_at + QUOTA_GRANT_LIFE_S * 0.95 / edge.rate, granted)
                ),
            )

    def deal(self, edge: Edge) -> None:
        assert self.leadership
        for name, used in self.used.items():
            requested_at, until = self.now, self.now + self.life * 0.98 / edge.rate
            if self.leadership.grants.grant_budget(
                self.now, pb.BudgetRequest(budgets=[name])
            ).granted:
                self.hand_out(
                    edge, edge.life, used, until, self.rng.choice((requested_at + 0.02, until))
                )

    def hand_out(
        self, edge: Edge, life: int, used: list[tuple[float, float]], until: float, at: float
    ) -> None:
        """Used at its time, or as the ingress wakes if that is not too late."""

        def use() -> None:
            if edge.name in self.frozen:
                self.later(0.05, use)
            elif edge.life == life and self.now <= until:
                used.append((self.now, 1.0))

        self.later(max(0.0, at - self.now), use)

    def inject(self, kind: str, whom: int) -> None:
        names = sorted(self.edges)
        if kind == "cut":
            self.cut = set(names[whom:] or names)
        elif kind == "heal":
            self.cut = set()
        elif kind == "freeze":
            self.frozen = {names[whom]}
        elif kind == "thaw":
            self.frozen = set()
        elif kind in ("leader", "all restart"):
            self.leadership = None
            if kind == "all restart":
                self.node_registry = NodeRegistry()
            self.later(self.rng.uniform(0.5, 2.0), lambda: self.begin_leadership(True))
        if kind in ("restart", "all restart"):
            for edge in self.edges.values() if kind == "all restart" else [self.edges[names[whom]]]:
                edge.life += 1
                edge.began = self.now
                edge.last_response_at = edge.lease_end = -1e9
                edge.counting, edge.edges, edge.share, edge.isolated_at = False, 0, 1.0, self.now
                edge.epoch, edge.clock = "", (0, 0.0)
                edge.tokens.clear()
                self.later(0.3, lambda edge=edge: self.send_request(edge, edge.life))  # type: ignore[misc]

    def tick(self) -> None:
        if self.leadership:
            self.leadership.tick(self.now)
        self.later(0.05, self.tick)

    def run(self, faults: list[Fault], until: float = 30.0) -> None:
        at = 4.0
        for wait, kind, whom in faults:
            at += wait
            self.later(at, lambda kind=kind, whom=whom: self.inject(kind, whom))  # type: ignore[misc]
        self.tick()
        while self.queue and self.queue[0][0] < until:
            at, _, what = heapq.heappop(self.queue)
            self.now = at
            what()


def worst(spent: list[tuple[float, float]], window: float) -> float:
    """The most that was spent in any window."""
    most, total, first, spent = 0.0, 0.0, 0, sorted(spent)
    for at, units in spent:
        total += units
        while spent[first][0] <= at - window:
            total -= spent[first][1]
            first += 1
        most = max(most, total)
    return most


def broken(world: World) -> list[str]:
    found, (rate, burst, _) = [], world.quota
    bound = (rate * BOUNDS.quota_window + burst) * (1 + BOUNDS.quota_overrun) + BOUNDS.quota_slack
    if (most := worst(world.spent, BOUNDS.quota_window)) > bound:
        found.append(f"quota: {most:.1f} of {bound:.1f}")
    for name, used in world.used.items():
        if (most := worst(used, BUDGETS[name].window)) > BUDGETS[name].size:
            found.append(f"{name}: {most} of {BUDGETS[name].size:.1f}")
    return found


FAULTS = st.lists(
    st.tuples(st.floats(0.1, 5.0), st.sampled_from(KINDS), st.integers(0, EDGES - 1)), max_size=10
)


@settings(max_examples=30, deadline=None, derandomize=True)
@given(st.integers(0, 10**6), FAULTS)
def test_no_window_sees_more_than_the_whole(seed: int, faults: list[Fault]) -> None:
    world = World(seed)
    world.run(faults)
    assert broken(world) == []
    if not faults:  # and what there is can be had, though many let half of it lapse
        assert sum(units for _, units in world.spent) > 0.4 * RATE * 30
        assert all(len(used) > 0.4 * BUDGETS[n].rate * 30 for n, used in world.used.items())


@settings(max_examples=8, deadline=None, derandomize=True)
@given(st.integers(0, 10**6), FAULTS)
def test_a_small_quota_over_many_ingresses_is_kept_and_can_be_had(
    seed: int, faults: list[Fault]
) -> None:
    world = World(seed, quota=SMALL)
    world.run(faults)
    assert broken(world) == []


def test_a_small_quota_can_be_had_at_many_ingresses() -> None:
    """Whole, with its burst, though a unit for each would be more than all that its bound
    leaves."""
    world = World(1, quota=SMALL)
    world.run([])
    assert sum(units for _, units in world.spent) > 0.4 * SMALL[0] * 30
    assert (
        quota_counter.bucket_capacity(
            *SMALL[:2], BOUNDS, ingress_count=SMALL[2], min_ingress_count=SMALL[2], isolated_count=0
        )
        == SMALL[1]
    )


def drawn(seed: int, count: int = 8, edges: int = EDGES) -> list[Fault]:
    rng = random.Random(seed)
    return [(rng.uniform(0.1, 5.0), rng.choice(KINDS), rng.randrange(edges)) for _ in range(count)]


def test_units_saved_while_in_touch_would_break_a_small_quota() -> None:
    for seed in range(20):
        world = World(seed, quota=SMALL, saves=True)
        world.run(drawn(seed, edges=SMALL[2]))
        if broken(world):
            return
    raise AssertionError("not seen")


def full_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """A later leader deals as if nothing had been dealt before."""
    begin = BudgetCounter.__init__
    monkeypatch.setattr(
        BudgetCounter, "__init__", lambda self, now, had_predecessor: begin(self, now, False)
    )


def counts_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """A part is passed on though its leader was not heard."""
    monkeypatch.setattr(NodeRegistry, "all_contacted", lambda self, now: True)
    monkeypatch.setattr(NodeRegistry, "count_isolated", lambda self, now, edges: 0)


def fast_refill(monkeypatch: pytest.MonkeyPatch) -> None:
    """The life of units that are dealt is left out of the sum."""
    monkeypatch.setattr(
        Budget, "rate", property(lambda budget: (budget.size - budget.capacity / 2) / budget.window)
    )


@pytest.mark.parametrize("planted", [full_again, counts_at_once, fast_refill, "both", "late"])
def test_planted_defects_are_seen(
    planted: str | Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    if callable(planted):
        planted(monkeypatch)
    for seed in range(60):
        world = World(
            seed,
            both=planted == "both",
            life=4 * BUDGET_GRANT_LIFE_S if planted == "late" else BUDGET_GRANT_LIFE_S,
        )
        world.run(drawn(seed))
        if broken(world):
            return
    raise AssertionError("not seen")
