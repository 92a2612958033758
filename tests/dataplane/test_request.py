"""The life of a request in the system: engine, module and choice of server against a slow plain
model."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cairndale.dataplane.endpoint_selection import EndpointSelector, Placement
from cairndale.errors import Verdict
from cairndale.ingress.net.discovery import Entry, Listing
from cairndale.ingress.net.engine import Answer, Data, Engine, Flow, Names, Wanted
from cairndale.ingress.policy import interface as it
from cairndale.ingress.policy.admission import NEVER_RAN
from cairndale.ingress.policy.engine import RequestPolicy
from cairndale.ingress.policy.interface import Outcome, Repeat
from cairndale.quota.budget_counter import EVEN_RETRY_FRACTION, RETRY, WARMUP
from tests.testing.ingress import Wheel

SECOND = 1_000_000
CLASSES = (
    it.RequestClass("safe", SECOND, 4 * SECOND, Repeat.SAFE, late_value=0.5, max_endpoints=2),
    it.RequestClass("unsafe", SECOND, 4 * SECOND, Repeat.UNSAFE, late_value=0.5, max_endpoints=2),
)
SETTINGS = it.Settings(
    0,
    3,
    0,
    50_000,
    CLASSES,
    (it.Plan("", 0.0, 0.0), it.Plan("t", 5.0, 5.0)),
    it.Limits(
        max_attempts=6,
        max_retry_after=300_000,
        awaits_silent_attempts=True,
        refusal_means_not_run=True,
    ),
    it.Safety(0, 0, 1.0, 1, 1.0, 1),
    it.CounterLimits(
        True,
        250_000,
        max_calls_in_flight=1e6,
        lease_ahead_share=0.25,
        strict=True,
        lease_expiry=950_000,
    ),
)
DEALT = 300_000  # us for which a dealt unit may be used

# What may become of an attempt; what the server saw of it is the model's own knowledge.
ENDS = {
    "answered": (Outcome.OK, True),
    "turned away": (Outcome.FULL, False),
    "421": (Outcome.FULL, False),
    "no connection": (Outcome.CONNECT_FAILED, False),
    "reset before": (Outcome.RESET, False),
    "reset after": (Outcome.RESET, True),
    "garbage": (Outcome.ERROR, True),
    "taken back": (Outcome.MOOT, False),
    "silence": (None, True),
}


@dataclass
class Sent:
    """An attempt, and in the model whether it reached its server."""

    request: int
    backend: int
    data: Data
    ended: Callable[[Answer], None]
    over: bool = False
    written: bool = False
    seen: bool = False

    def abort(self) -> bool:
        self.over = True
        return self.written

    def pause(self, paused: bool) -> None: ...


@dataclass
class Model:
    """What ran, by request: written down as it happens, judged at the end."""

    arrivals: dict[int, int] = field(default_factory=dict)
    runs: dict[int, int] = field(default_factory=dict)
    quota: dict[int, bool] = field(default_factory=dict)
    answers: dict[int, list[str]] = field(default_factory=dict)
    # us after which to come back, by refused request
    advised: dict[int, int] = field(default_factory=dict)
    # until when each unit of the tenant's may be spent
    leased: list[int] = field(default_factory=list)
    # likewise, of wholes that are shared
    granted: dict[it.BudgetUnit, list[int]] = field(default_factory=dict)
    saved: float = 0.0  # further tries that requests have earned here


class World(Wheel):
    """Of the servers the first is cold."""

    def __init__(
        self, gateway: type[RequestPolicy] = RequestPolicy, servers: int = 4, cold: bool = True
    ) -> None:
        super().__init__(10 * SECOND)
        self.sent = list[Sent]()
        self.deals = list[tuple[tuple[it.BudgetUnit, ...], Callable[[int], None]]]()
        self.model, self.request_count = Model(), 0
        self.gateway = gateway(SETTINGS, 1, EndpointSelector)
        selector = self.gateway.pool
        assert isinstance(selector, EndpointSelector)
        selector.placement = Placement(0, 0, 20, {0: 20}, 0.2, 60.0)
        self.selector = selector
        self.engine = Engine(self.gateway, SETTINGS, Names(SETTINGS, {}), self, lambda: self.time)
        self.engine.servers, self.engine.lessor, self.engine.refusals = self, self, (429, 503)
        self.engine.dealer = self
        self.engine.describe = lambda entry, number: it.ListedBackend(
            number,
            it.BackendState.READY,
            0,
            0,
            0,
            1.0,
            0,
            service=1,
            slots=4,
            warmup_until=3600 * SECOND if cold and number == 1 else 0,
        )
        up = [
            Entry({"name": f"s{n}", "address": "127.0.0.1:1", "status": "up"})
            for n in range(servers)
        ]
        self.engine.listed(Listing.of(1, up, True))

    def know(self, entry: Entry, backend: int) -> None: ...
    def settle(self, gone: Iterable[int]) -> None: ...
    def hold(self, backend: int, out: bool) -> None: ...
    def probe(self, backend: int, ended: Callable[[Answer], None]) -> None: ...
    def close_idle(self, backend: int) -> None: ...

    def lease(self, customer: int, amount: float, spent: float, answered: Any) -> None:
        granted = min(amount, 5.0)
        self.model.leased += [self.time + SETTINGS.counter.lease_expiry] * int(granted)
        answered(Outcome.OK, 0.0, 5.0 - amount)

    def deal(self, units: tuple[it.BudgetUnit, ...], granted: Callable[[int], None]) -> None:
        self.deals.append((units, granted))

    def deal_out(self, which: int, some: bool) -> None:
        if self.deals:
            units, granted = self.deals.pop(which % len(self.deals))
            if not some:
                self.selector.deny(units, self.time, self.time + DEALT)
            for unit in units * some:
                self.model.granted.setdefault(unit, []).append(self.time + DEALT)
            granted((self.time + DEALT) * some)

    def send(
        self, backend: int, data: Data, ended: Callable[[Answer], None], flow: Flow | None = None
    ) -> Sent:
        self.sent.append(Sent(0, backend, data, ended))
        return self.sent[-1]

    def write(self, sent: Sent) -> None:
        """Its connection is up: the first byte is written now, or it is taken back."""
        assert not isinstance(sent.data, bytes)
        if (data := sent.data()) is None:
            sent.over = True
            sent.ended(Answer(Outcome.MOOT))
            return
        sent.written, sent.request, model = True, int(data), self.model
        again = model.arrivals[sent.request] > 0
        if model.quota[sent.request] and not again:
            use(model.leased, self.time)
        if sent.backend == 1 and self.selector.backends[1].info.warmup_until:
            use(model.granted.get((WARMUP, 1), []), self.time)
        if not again:
            model.saved = min(EVEN_RETRY_FRACTION * 60.0 / 20, model.saved + 0.2)
        elif model.saved >= 1:
            model.saved -= 1
        else:
            use(model.granted.get((RETRY, 1), []), self.time)

    def ask(self, cls: int, quota: bool = False) -> None:
        self.request_count += 1
        number, model = self.request_count, self.model
        model.answers[number], model.arrivals[number], model.runs[number] = [], 0, 0
        model.quota[number] = quota
        wanted = Wanted(
            b"%d" % number,
            cls,
            int(quota),
            int(quota),
            1.0,
            3,
            0,
            4 * SECOND,
            self.time,
            False,
            b"",
            b"",
            service=1,
            dress=lambda server, left: b"%d" % number,
        )
        assert self.engine.arrived(wanted, Client(number, self))

    def end(self, which: int, how: str) -> None:
        out = [s for s in self.sent if not s.over]
        if not out:
            return
        sent = out[which % len(out)]
        outcome, ran = ENDS[how]
        if not sent.written and how not in ("taken back", "no connection"):
            self.write(sent)
            if sent.over:
                return
        if sent.seen and not ran:
            return  # it runs there already: a server does not take that back
        if not sent.seen and how not in ("taken back", "no connection", "reset before"):
            self.model.arrivals[sent.request] += 1
            self.model.runs[sent.request] += ran
            sent.seen = True
        if outcome is not None:
            sent.over = True
            sent.ended(Answer(outcome))


def use(units: list[int], now: int) -> None:
    """A unit is spent that may still be."""
    good = [until for until in units if until >= now]
    assert good, "no unit to go out by"
    units.remove(min(good))


@dataclass
class Client:
    number: int
    world: World

    def _say(self, what: str) -> None:
        self.world.model.answers[self.number].append(what)

    def serve(self, answer: Answer) -> None:
        self._say("served")

    def refuse(self, retry_after: int, status: int = 429) -> None:
        self._say(f"{status}")
        self.world.model.advised[self.number] = retry_after

    def fail(self, timed_out: bool) -> None:
        self._say("504" if timed_out else "502")

    def begin(self, answer: Answer, source: Any) -> None: ...
    def more(self, data: bytes) -> None: ...
    def finish(self) -> None: ...
    def break_off(self) -> None: ...


DEEDS = st.one_of(
    st.tuples(st.just("ask"), st.integers(0, 1), st.sampled_from(["", "quota"])),
    st.tuples(st.just("end"), st.integers(0, 7), st.sampled_from(sorted(ENDS))),
    st.tuples(st.just("deal"), st.integers(0, 7), st.sampled_from(["", "some"])),
    st.tuples(st.just("wait"), st.integers(1, 1500), st.just("")),
    st.tuples(st.just("freeze"), st.integers(100, 3000), st.just("")),
)


def play(world: World, deeds: list[tuple[str, int, str]]) -> None:
    classes: dict[int, int] = {}
    for what, number, how in deeds:
        if what == "ask":
            world.ask(number, bool(how))
            classes[world.request_count] = number
        elif what == "end":
            world.end(number, how)
        elif what == "deal":
            world.deal_out(number, bool(how))
        elif what == "freeze":  # timers are late, and what is done next is done first
            world.time += number * 1000
        else:
            world.pass_time(number * 1000)
        out: dict[int, int] = {}
        for sent in world.sent:
            if sent.written:
                out[sent.request] = out.get(sent.request, 0) + (not sent.over)
        assert all(n <= 1 for n in out.values()), "two attempts out at once"
    world.pass_time(10 * SECOND)
    model = world.model
    for number, cls in classes.items():
        said = model.answers[number]
        assert len(said) == 1, f"answered {said}"
        assert model.arrivals[number] <= CLASSES[cls].max_endpoints
        if CLASSES[cls].repeat is Repeat.UNSAFE:
            assert model.runs[number] <= 1, "twice"
        if said[0] in ("429", "503"):
            assert model.runs[number] == 0, "a promise broken"
            assert model.quota[number] or model.advised[number] > 0, "not told when to come back"
    assert not world.engine._requests and world.engine.open == 0


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(DEEDS, max_size=40))
def test_at_most_once_and_promises_kept(deeds: list[tuple[str, int, str]]) -> None:
    play(World(), deeds)


class Forgetful(RequestPolicy):
    """A reset is taken for never sent."""

    def attempt_ended(self, event: it.AttemptEnded) -> None:
        if event.outcome is Outcome.RESET:
            event = it.AttemptEnded(
                event.request,
                event.attempt,
                event.backend,
                Outcome.FULL,
                event.latency,
                event.final,
            )
        super().attempt_ended(event)


class Promising(RequestPolicy):
    def end(self, request: Any, answer: it.Action) -> None:
        super().end(
            request, it.Refuse(answer.request, 0, False) if isinstance(answer, it.Fail) else answer
        )


class Sleepy(RequestPolicy):
    """What a request was admitted by holds for good."""

    def send(self, request: Any, leased: bool = False) -> bool:
        request.admitted_until = 0
        return super().send(request, leased)


class Free(RequestPolicy):
    """Nothing is dealt."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.pool.required_units = tuple  # type: ignore[method-assign]


@pytest.mark.parametrize("planted", [Forgetful, Promising, Sleepy, Free])
def test_planted_defects_are_seen(planted: type[RequestPolicy]) -> None:
    rng, kinds = random.Random(3), sorted(ENDS)
    for _ in range(200):
        deeds = [("ask", rng.randint(0, 1), "quota")]
        for _ in range(6):
            some = [("freeze", 1000, ""), ("deal", 0, "some"), ("end", 0, rng.choice(kinds))]
            deeds.append(rng.choice(some))
        try:
            play(World(planted), deeds)
        except AssertionError:
            return
    raise AssertionError("not seen")


@pytest.mark.parametrize("outcome", list(Outcome))
def test_the_verdict_has_one_owner(outcome: Outcome) -> None:
    assert (Verdict.of(outcome) is Verdict.UNSENT) == (outcome in NEVER_RAN)


def test_further_tries_stay_within_their_part_of_the_budget() -> None:
    """Those that are earned and kept here go out at once; each of the others is asked for."""
    world = World(cold=False)
    retries = grants = 0
    for _ in range(400):
        world.ask(0)
        world.end(0, "garbage")
        retries += sum(1 for s in world.sent if not s.over)
        grants += len(world.deals)
        world.deal_out(0, False)
        world.end(0, "answered")
        world.pass_time(400_000)
    assert 60 < retries <= 400 * 0.2 + EVEN_RETRY_FRACTION * 60 / 20
    assert grants == 400 - retries
