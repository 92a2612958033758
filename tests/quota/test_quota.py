"""Quota grants, static quota shares and budget grants over all ingresses, in virtual time.

Faults are network partitions, restarts, frozen ingresses, clock drift and leader changes. Every
ingress spends all that it may at every moment. The bounds are checked at the end, from the list of
everything that was spent.
"""

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
    BUDGET_GRANT_LIFETIME_S,
    Budget,
    BudgetCounter,
    retry_budget,
    warmup_budget,
)
from cairndale.quota.quota_counter import QUOTA_GRANT_LIFETIME_S, max_saved_units
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

RATE, BURST, INGRESS_COUNT = 60.0, 60.0, 5
# Rate, burst and number of ingresses: one unit for each ingress would exceed the whole quota.
SMALL_QUOTA = (5.0, 5.0, 40)
BOUNDS = Bounds(
    quota_window=5.0,
    quota_overrun=0.1,
    quota_slack=20,
    retry_slack=62,
    warmup_overrun=1.5,
    warmup_slack=5,
)
BUDGETS = {"further/s": retry_budget(BOUNDS), "starts/i": warmup_budget(BOUNDS, 5.3)}
KINDS = ("partition", "reconnect", "leader", "restart", "all restart", "freeze", "thaw")
Fault = tuple[float, str, int]  # seconds after the previous fault, kind, index of the ingress


@dataclass
class SimulatedIngress:
    """An ingress that spends granted units while it is connected, else its static quota share."""

    name: str
    incarnation: int = 0
    started_at: float = 0.0
    last_response_at: float = -1e9
    lease_end: float = -1e9
    counter_active: bool = False
    ingress_count: int = 0
    grants: list[tuple[float, float]] = field(default_factory=list)
    share: float = 1.0
    share_updated_at: float = 0.0
    isolated_at: float = 0.0  # when a response last reported that the counter is not active
    clock_rate: float = 1.0  # speed of its clock
    epoch: str = ""
    # The leader clock in the newest response, in ms, and when that response was received.
    leader_clock: tuple[int, float] = (0, 0.0)


class Simulation:
    """One leader at a time and its ingresses, in virtual time."""

    def __init__(
        self,
        seed: int,
        share_while_connected: bool = False,
        grant_lifetime: float = BUDGET_GRANT_LIFETIME_S,
        quota: tuple[float, float, int] = (RATE, BURST, INGRESS_COUNT),
        saves_while_connected: bool | None = None,
    ) -> None:
        """Set up the ingresses, connected to a first leader.

        Args:
            seed: of all random choices.
            share_while_connected: connected ingresses also spend their static quota share.
            grant_lifetime: how long ingresses use units of a budget grant, in seconds.
            quota: rate and burst of the quota, and the number of ingresses.
            saves_while_connected: connected ingresses save up units of their static quota share;
                None: only where `max_saved_units` allows it.
        """
        self.quota, self.saves_while_connected = quota, saves_while_connected
        self.rng, self.share_while_connected, self.now, self.event_count = (
            random.Random(seed),
            share_while_connected,
            0.0,
            0,
        )
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.spent: list[tuple[float, float]] = []
        self.used: dict[str, list[tuple[float, float]]] = {name: [] for name in BUDGETS}
        self.grant_lifetime = grant_lifetime
        self.partitioned: set[str] = set()
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
        self.ingresses = {
            f"e{n}": SimulatedIngress(f"e{n}", clock_rate=self.rng.uniform(0.98, 1.02))
            for n in range(quota[2])
        }
        self.frozen: set[str] = set()
        self.begin_leadership(False)
        for ingress in self.ingresses.values():
            self.send_request(ingress, ingress.incarnation)
            self.spend(ingress)

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Runs the action after `delay` seconds."""
        self.event_count += 1
        heapq.heappush(self.events, (self.now + delay, self.event_count, action))

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

    def is_connected(self, ingress: SimulatedIngress) -> bool:
        return (
            ingress.counter_active
            and (self.now - ingress.last_response_at) * ingress.clock_rate
            < long_poll_timeout(ingress.ingress_count) + NODE_CONTACT_MARGIN_S
        )

    def send_request(self, ingress: SimulatedIngress, incarnation: int) -> None:
        """Sends a watch request, and the next one after its response or the response timeout.

        The leader responds within the long-poll timeout.
        """
        if ingress.incarnation != incarnation:
            return
        requested_at, answered = self.now, [False]
        idle_ms = 0 if ingress.ingress_count else int((requested_at - ingress.started_at) * 1000)
        network_delay = self.rng.uniform(0.001, 0.03)
        epoch, (clock_ms, received_at) = ingress.epoch, ingress.leader_clock
        counter_active = (
            ingress.counter_active
            and (self.now - ingress.last_response_at) * ingress.clock_rate <= PROMPT_REQUEST_S
        )
        leader_clock_ms = (
            int(clock_ms + (requested_at - received_at) * 1000 * 0.98 / ingress.clock_rate)
            if clock_ms
            else 0
        )

        def arrive(delayed: bool = False) -> None:
            if (ingress.name in self.partitioned and not delayed) or self.leadership is None:
                return
            if ingress.name not in self.state.edges:
                self.state.apply(Command(Verb.ENROL, added_nodes=(ingress.name,)))
            node = pb.Node(
                name=ingress.name,
                incarnation=str(incarnation),
                kind="edge",
                address="d",
                http_address="h",
            )
            request = pb.WatchRequest(
                node=node,
                counter_active=counter_active,
                epoch=epoch,
                config_version=self.state.version,
                idle_ms=idle_ms,
                leader_clock_ms=leader_clock_ms,
            )
            leadership = self.leadership
            try:
                leadership.record_watch_request(self.now, request)
            except CallError:
                return
            self.schedule(
                long_poll_timeout(self.quota[2]) * self.rng.random(),
                lambda: answer(leadership, request),
            )

        def answer(leadership: Leadership, request: pb.WatchRequest) -> None:
            if leadership is not self.leadership or ingress.name in self.partitioned:
                return
            watch_response = leadership.watch_responses.update(self.now, request, self.state)
            self.schedule(network_delay, lambda: receive(watch_response))

        def receive(watch_response: pb.WatchResponse) -> None:
            # A frozen ingress reads the response when it is thawed.
            if ingress.name in self.frozen and ingress.incarnation == incarnation:
                self.schedule(0.05, lambda: receive(watch_response))
                return
            if (
                ingress.incarnation != incarnation
                or ingress.name in self.partitioned
                or answered[0]
            ):
                return
            answered[0] = True
            if ingress.counter_active and not watch_response.counter_active:
                ingress.isolated_at = self.now
            ingress.counter_active, ingress.ingress_count = (
                watch_response.counter_active,
                max(ingress.ingress_count, watch_response.ingress_count),
            )
            ingress.epoch, ingress.leader_clock = (
                watch_response.epoch,
                (watch_response.leader_clock_ms, self.now),
            )
            ingress.last_response_at, ingress.lease_end = (
                self.now,
                requested_at + NODE_LEASE_S * 0.98 / ingress.clock_rate,
            )
            self.send_request(ingress, incarnation)

        def give_up() -> None:
            if not answered[0]:
                answered[0] = True
                self.send_request(ingress, incarnation)

        self.schedule(network_delay, arrive)
        if self.rng.random() < 0.2:  # a duplicate that a frozen peer forwards when it is thawed
            self.schedule(self.rng.uniform(0.1, 6.0), lambda: arrive(True))
        self.schedule(response_timeout(long_poll_timeout(self.quota[2])), give_up)

    def spend(self, ingress: SimulatedIngress) -> None:
        """Spends all units that the ingress may spend, a few dozen times a second."""
        now, units = self.now, 0.0
        if ingress.name in self.frozen:  # when it is thawed, it checks anew what it may spend
            self.schedule(0.05, lambda: self.spend(ingress))
            return
        if now < ingress.lease_end:
            self.refill_share(ingress)
            units = sum(amount for until, amount in ingress.grants if now <= until)
            ingress.grants.clear()
            if (
                self.is_connected(ingress)
                and ingress.name not in self.partitioned
                and self.leadership
            ):
                self.request_quota(ingress)
                self.request_budgets(ingress)
            if ingress.ingress_count and (
                self.share_while_connected or not self.is_connected(ingress)
            ):
                units += ingress.share
                ingress.share = 0.0
        if units:
            self.spent.append((now, units))
        self.schedule(self.rng.uniform(0.01, 0.05), lambda: self.spend(ingress))

    def refill_share(self, ingress: SimulatedIngress) -> None:
        """Refills the static quota share.

        Where the quota is too small for one unit per ingress, it refills only while the ingress is
        isolated.
        """
        rate, burst, _ = self.quota
        share_rate, saves = rate / max(1, ingress.ingress_count), self.saves_while_connected
        if saves is None:
            saves = ingress.ingress_count <= max_saved_units(rate, burst, BOUNDS)
        isolated_since = ingress.isolated_at
        if self.is_connected(ingress):
            isolated_since = self.now
        elif ingress.counter_active:
            isolated_since = max(
                isolated_since,
                ingress.last_response_at
                + (long_poll_timeout(ingress.ingress_count) + NODE_CONTACT_MARGIN_S)
                / ingress.clock_rate,
            )
        if not saves and ingress.share_updated_at < isolated_since:
            ingress.share, ingress.share_updated_at = 0.0, isolated_since
        ingress.share = min(
            max(1.0, share_rate * ISOLATED_SAVINGS_S),
            ingress.share + share_rate * (self.now - ingress.share_updated_at),
        )
        ingress.share_updated_at = self.now

    def request_quota(self, ingress: SimulatedIngress) -> None:
        """Requests units of the quota, which are spent at once or just before they expire."""
        assert self.leadership
        requested_at, amount = self.now, self.rng.choice((1.0, 10.0, 80.0))
        try:
            left = self.leadership.grants.grant_quota(
                self.now, pb.QuotaRequest(tenant="t", amount=amount)
            )
        except CallError:
            return
        if left is not None and (granted := amount - min(amount, max(0.0, -left))) > 0:
            delay = self.rng.choice((0.02, QUOTA_GRANT_LIFETIME_S * 0.95))
            self.schedule(
                delay,
                lambda: ingress.grants.append(
                    (requested_at + QUOTA_GRANT_LIFETIME_S * 0.95 / ingress.clock_rate, granted)
                ),
            )

    def request_budgets(self, ingress: SimulatedIngress) -> None:
        """Requests one unit of each budget, used at once or at the end of its lifetime."""
        assert self.leadership
        for name, used in self.used.items():
            requested_at, until = (
                self.now,
                self.now + self.grant_lifetime * 0.98 / ingress.clock_rate,
            )
            if self.leadership.grants.grant_budget(
                self.now, pb.BudgetRequest(budgets=[name])
            ).granted:
                self.use_later(
                    ingress,
                    ingress.incarnation,
                    used,
                    until,
                    self.rng.choice((requested_at + 0.02, until)),
                )

    def use_later(
        self,
        ingress: SimulatedIngress,
        incarnation: int,
        used: list[tuple[float, float]],
        until: float,
        at: float,
    ) -> None:
        """Uses the unit at `at`, or when the ingress is thawed, unless the grant has expired."""

        def use() -> None:
            if ingress.name in self.frozen:
                self.schedule(0.05, use)
            elif ingress.incarnation == incarnation and self.now <= until:
                used.append((self.now, 1.0))

        self.schedule(max(0.0, at - self.now), use)

    def inject(self, kind: str, target: int) -> None:
        names = sorted(self.ingresses)
        if kind == "partition":
            self.partitioned = set(names[target:] or names)
        elif kind == "reconnect":
            self.partitioned = set()
        elif kind == "freeze":
            self.frozen = {names[target]}
        elif kind == "thaw":
            self.frozen = set()
        elif kind in ("leader", "all restart"):
            self.leadership = None
            if kind == "all restart":
                self.node_registry = NodeRegistry()
            self.schedule(self.rng.uniform(0.5, 2.0), lambda: self.begin_leadership(True))
        if kind in ("restart", "all restart"):
            for ingress in (
                self.ingresses.values()
                if kind == "all restart"
                else [self.ingresses[names[target]]]
            ):
                ingress.incarnation += 1
                ingress.started_at = self.now
                ingress.last_response_at = ingress.lease_end = -1e9
                (
                    ingress.counter_active,
                    ingress.ingress_count,
                    ingress.share,
                    ingress.isolated_at,
                ) = False, 0, 1.0, self.now
                ingress.epoch, ingress.leader_clock = "", (0, 0.0)
                ingress.grants.clear()
                self.schedule(
                    0.3, lambda ingress=ingress: self.send_request(ingress, ingress.incarnation)
                )  # type: ignore[misc]

    def tick(self) -> None:
        if self.leadership:
            self.leadership.tick(self.now)
        self.schedule(0.05, self.tick)

    def run(self, faults: list[Fault], until: float = 30.0) -> None:
        at = 4.0
        for delay, kind, target in faults:
            at += delay
            self.schedule(at, lambda kind=kind, target=target: self.inject(kind, target))  # type: ignore[misc]
        self.tick()
        while self.events and self.events[0][0] < until:
            event_time, _, action = heapq.heappop(self.events)
            self.now = event_time
            action()


def max_in_window(spent: list[tuple[float, float]], window: float) -> float:
    """The largest number of units spent in any window."""
    most, total, first, spent = 0.0, 0.0, 0, sorted(spent)
    for at, units in spent:
        total += units
        while spent[first][0] <= at - window:
            total -= spent[first][1]
            first += 1
        most = max(most, total)
    return most


def violations(simulation: Simulation) -> list[str]:
    """The exceeded bounds, each with the units spent and the bound."""
    violated, (rate, burst, _) = [], simulation.quota
    bound = (rate * BOUNDS.quota_window + burst) * (1 + BOUNDS.quota_overrun) + BOUNDS.quota_slack
    if (most := max_in_window(simulation.spent, BOUNDS.quota_window)) > bound:
        violated.append(f"quota: {most:.1f} of {bound:.1f}")
    for name, used in simulation.used.items():
        if (most := max_in_window(used, BUDGETS[name].window)) > BUDGETS[name].size:
            violated.append(f"{name}: {most} of {BUDGETS[name].size:.1f}")
    return violated


FAULTS = st.lists(
    st.tuples(st.floats(0.1, 5.0), st.sampled_from(KINDS), st.integers(0, INGRESS_COUNT - 1)),
    max_size=10,
)


@settings(max_examples=30, deadline=None, derandomize=True)
@given(st.integers(0, 10**6), FAULTS)
def test_no_window_exceeds_the_quota_or_a_budget(seed: int, faults: list[Fault]) -> None:
    simulation = Simulation(seed)
    simulation.run(faults)
    assert violations(simulation) == []
    if not faults:  # the units are also obtainable, though many ingresses let half expire
        assert sum(units for _, units in simulation.spent) > 0.4 * RATE * 30
        assert all(len(used) > 0.4 * BUDGETS[n].rate * 30 for n, used in simulation.used.items())


@settings(max_examples=8, deadline=None, derandomize=True)
@given(st.integers(0, 10**6), FAULTS)
def test_no_window_exceeds_a_small_quota_over_many_ingresses(
    seed: int, faults: list[Fault]
) -> None:
    simulation = Simulation(seed, quota=SMALL_QUOTA)
    simulation.run(faults)
    assert violations(simulation) == []


def test_a_small_quota_is_obtainable_at_many_ingresses() -> None:
    """The full quota with its burst, though one unit for each ingress would exceed what the bound
    leaves."""
    simulation = Simulation(1, quota=SMALL_QUOTA)
    simulation.run([])
    assert sum(units for _, units in simulation.spent) > 0.4 * SMALL_QUOTA[0] * 30
    assert (
        quota_counter.bucket_capacity(
            *SMALL_QUOTA[:2],
            BOUNDS,
            ingress_count=SMALL_QUOTA[2],
            min_ingress_count=SMALL_QUOTA[2],
            isolated_count=0,
        )
        == SMALL_QUOTA[1]
    )


def random_faults(seed: int, count: int = 8, ingress_count: int = INGRESS_COUNT) -> list[Fault]:
    rng = random.Random(seed)
    return [
        (rng.uniform(0.1, 5.0), rng.choice(KINDS), rng.randrange(ingress_count))
        for _ in range(count)
    ]


def test_saving_units_while_connected_would_violate_a_small_quota() -> None:
    for seed in range(20):
        simulation = Simulation(seed, quota=SMALL_QUOTA, saves_while_connected=True)
        simulation.run(random_faults(seed, ingress_count=SMALL_QUOTA[2]))
        if violations(simulation):
            return
    raise AssertionError("no seed violated a bound")


def full_buckets_at_a_new_leader(monkeypatch: pytest.MonkeyPatch) -> None:
    """A new leader grants units as if no earlier leader had granted any."""
    begin = BudgetCounter.__init__
    monkeypatch.setattr(
        BudgetCounter, "__init__", lambda self, now, had_predecessor: begin(self, now, False)
    )


def ignore_missing_ingresses(monkeypatch: pytest.MonkeyPatch) -> None:
    """Units are granted as if all ingresses had contacted the leader and none were isolated."""
    monkeypatch.setattr(NodeRegistry, "all_ingresses_contacted", lambda self, now: True)
    monkeypatch.setattr(NodeRegistry, "count_isolated", lambda self, now, ingress_count: 0)


def ignore_grant_lifetime(monkeypatch: pytest.MonkeyPatch) -> None:
    """The refill rate does not account for the lifetime of grants."""
    monkeypatch.setattr(
        Budget, "rate", property(lambda budget: (budget.size - budget.capacity / 2) / budget.window)
    )


@pytest.mark.parametrize(
    "defect",
    [
        full_buckets_at_a_new_leader,
        ignore_missing_ingresses,
        ignore_grant_lifetime,
        "share while connected",
        "used after expiry",
    ],
)
def test_planted_defects_are_detected(
    defect: str | Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    if callable(defect):
        defect(monkeypatch)
    for seed in range(60):
        simulation = Simulation(
            seed,
            share_while_connected=defect == "share while connected",
            grant_lifetime=4 * BUDGET_GRANT_LIFETIME_S
            if defect == "used after expiry"
            else BUDGET_GRANT_LIFETIME_S,
        )
        simulation.run(random_faults(seed))
        if violations(simulation):
            return
    raise AssertionError("no seed violated a bound")
