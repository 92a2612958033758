"""Request lifecycle: engine, request policy and endpoint selection against a simple model."""

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
from cairndale.ingress.net.discovery import EndpointEntry, EndpointUpdate
from cairndale.ingress.net.engine import (
    AttemptContext,
    AttemptResult,
    ClientRequest,
    Engine,
    NameTable,
    RequestData,
)
from cairndale.ingress.policy import interface as it
from cairndale.ingress.policy.admission import NEVER_RAN
from cairndale.ingress.policy.engine import RequestPolicy
from cairndale.ingress.policy.interface import Outcome, Repeat
from cairndale.quota.budget_counter import EVEN_RETRY_FRACTION, RETRY, WARMUP
from tests.testing.ingress import ManualClock

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
GRANT_LIFE_US = 300_000  # for which a granted unit may be used

# How an attempt may end: its outcome, and whether the server ran it, which only the model knows.
ATTEMPT_ENDS = {
    "answered": (Outcome.OK, True),
    "x-not-run": (Outcome.FULL, False),
    "421": (Outcome.FULL, False),
    "no connection": (Outcome.CONNECT_FAILED, False),
    "reset before": (Outcome.RESET, False),
    "reset after": (Outcome.RESET, True),
    "garbage": (Outcome.ERROR, True),
    "withdrawn": (Outcome.MOOT, False),
    "silence": (None, True),
}


@dataclass
class Attempt:
    """An attempt; `seen`: whether, in the model, it reached its server."""

    request: int
    backend: int
    data: RequestData
    ended: Callable[[AttemptResult], None]
    over: bool = False
    written: bool = False
    seen: bool = False

    def abort(self) -> bool:
        self.over = True
        return self.written

    def pause(self, paused: bool) -> None: ...


@dataclass
class Model:
    """Record of a run, by request; checked at its end."""

    arrivals: dict[int, int] = field(default_factory=dict)
    runs: dict[int, int] = field(default_factory=dict)
    quota: dict[int, bool] = field(default_factory=dict)
    answers: dict[int, list[str]] = field(default_factory=dict)
    # Retry-After in us, by rejected request.
    retry_after_by_request: dict[int, int] = field(default_factory=dict)
    # Expiry of each leased quota unit of the tenant.
    leased: list[int] = field(default_factory=list)
    # Expiry of each granted unit of the shared budgets.
    granted: dict[it.BudgetUnit, list[int]] = field(default_factory=dict)
    retry_tokens: float = 0.0  # retries allowed by the requests made so far


class World(ManualClock):
    """Simulated servers, counter and clock; the first server is in slow start."""

    def __init__(
        self, policy: type[RequestPolicy] = RequestPolicy, servers: int = 4, cold: bool = True
    ) -> None:
        super().__init__(10 * SECOND)
        self.sent = list[Attempt]()
        self.deals = list[tuple[tuple[it.BudgetUnit, ...], Callable[[int], None]]]()
        self.model, self.request_count = Model(), 0
        self.policy = policy(SETTINGS, 1, EndpointSelector)
        selector = self.policy.pool
        assert isinstance(selector, EndpointSelector)
        selector.placement = Placement(0, 0, 20, {0: 20}, 0.2, 60.0)
        self.selector = selector
        self.engine = Engine(
            self.policy, SETTINGS, NameTable(SETTINGS, {}), self, lambda: self.time
        )
        self.engine.upstreams, self.engine.lease_client, self.engine.rejection_statuses = (
            self,
            self,
            (429, 503),
        )
        self.engine.budget_client = self
        self.engine.describe_endpoint = lambda entry, number: it.ListedBackend(
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
            EndpointEntry({"name": f"s{n}", "address": "127.0.0.1:1", "status": "up"})
            for n in range(servers)
        ]
        self.engine.update_endpoints(EndpointUpdate.of(1, up, True))

    def update_endpoint(self, entry: EndpointEntry, backend: int) -> None: ...
    def apply_updates(self, gone: Iterable[int]) -> None: ...
    def set_maintenance(self, backend: int, out: bool) -> None: ...
    def probe(self, backend: int, ended: Callable[[AttemptResult], None]) -> None: ...
    def close_idle(self, backend: int) -> None: ...

    def lease(self, customer: int, amount: float, spent: float, answered: Any) -> None:
        granted = min(amount, 5.0)
        self.model.leased += [self.time + SETTINGS.counter.lease_expiry] * int(granted)
        answered(Outcome.OK, 0.0, 5.0 - amount)

    def acquire(self, units: tuple[it.BudgetUnit, ...], granted: Callable[[int], None]) -> None:
        self.deals.append((units, granted))

    def answer_grant(self, index: int, is_granted: bool) -> None:
        if self.deals:
            units, granted = self.deals.pop(index % len(self.deals))
            if not is_granted:
                self.selector.deny(units, self.time, self.time + GRANT_LIFE_US)
            for unit in units * is_granted:
                self.model.granted.setdefault(unit, []).append(self.time + GRANT_LIFE_US)
            granted((self.time + GRANT_LIFE_US) * is_granted)

    def send(
        self,
        backend: int,
        data: RequestData,
        ended: Callable[[AttemptResult], None],
        flow: AttemptContext | None = None,
    ) -> Attempt:
        self.sent.append(Attempt(0, backend, data, ended))
        return self.sent[-1]

    def write(self, sent: Attempt) -> None:
        """The attempt's connection is established: write its first byte, or withdraw it."""
        assert not isinstance(sent.data, bytes)
        if (data := sent.data()) is None:
            sent.over = True
            sent.ended(AttemptResult(Outcome.MOOT))
            return
        sent.written, sent.request, model = True, int(data), self.model
        again = model.arrivals[sent.request] > 0
        if model.quota[sent.request] and not again:
            use(model.leased, self.time)
        if sent.backend == 1 and self.selector.backends[1].info.warmup_until:
            use(model.granted.get((WARMUP, 1), []), self.time)
        if not again:
            model.retry_tokens = min(EVEN_RETRY_FRACTION * 60.0 / 20, model.retry_tokens + 0.2)
        elif model.retry_tokens >= 1:
            model.retry_tokens -= 1
        else:
            use(model.granted.get((RETRY, 1), []), self.time)

    def ask(self, cls: int, quota: bool = False) -> None:
        self.request_count += 1
        number, model = self.request_count, self.model
        model.answers[number], model.arrivals[number], model.runs[number] = [], 0, 0
        model.quota[number] = quota
        wanted = ClientRequest(
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
            build=lambda server, left: b"%d" % number,
        )
        assert self.engine.request_arrived(wanted, Client(number, self))

    def end(self, index: int, how: str) -> None:
        in_flight = [s for s in self.sent if not s.over]
        if not in_flight:
            return
        sent = in_flight[index % len(in_flight)]
        outcome, ran = ATTEMPT_ENDS[how]
        if not sent.written and how not in ("withdrawn", "no connection"):
            self.write(sent)
            if sent.over:
                return
        if sent.seen and not ran:
            return  # the server runs it already and cannot withdraw it
        if not sent.seen and how not in ("withdrawn", "no connection", "reset before"):
            self.model.arrivals[sent.request] += 1
            self.model.runs[sent.request] += ran
            sent.seen = True
        if outcome is not None:
            sent.over = True
            sent.ended(AttemptResult(outcome))


def use(units: list[int], now: int) -> None:
    """Spend a unit that has not expired."""
    valid = [until for until in units if until >= now]
    assert valid, "sent without a valid unit"
    units.remove(min(valid))


@dataclass
class Client:
    number: int
    world: World

    def _record(self, what: str) -> None:
        self.world.model.answers[self.number].append(what)

    def send_response(self, answer: AttemptResult) -> None:
        self._record("served")

    def reject(self, retry_after: int, status: int = 429) -> None:
        self._record(f"{status}")
        self.world.model.retry_after_by_request[self.number] = retry_after

    def fail(self, timed_out: bool) -> None:
        self._record("504" if timed_out else "502")

    def begin_stream(self, answer: AttemptResult, source: Any) -> None: ...
    def write_body(self, data: bytes) -> None: ...
    def end_stream(self) -> None: ...
    def abort_stream(self) -> None: ...


STEPS = st.one_of(
    st.tuples(st.just("ask"), st.integers(0, 1), st.sampled_from(["", "quota"])),
    st.tuples(st.just("end"), st.integers(0, 7), st.sampled_from(sorted(ATTEMPT_ENDS))),
    st.tuples(st.just("deal"), st.integers(0, 7), st.sampled_from(["", "some"])),
    st.tuples(st.just("wait"), st.integers(1, 1500), st.just("")),
    st.tuples(st.just("freeze"), st.integers(100, 3000), st.just("")),
)


def play(world: World, steps: list[tuple[str, int, str]]) -> None:
    classes: dict[int, int] = {}
    for what, number, how in steps:
        if what == "ask":
            world.ask(number, bool(how))
            classes[world.request_count] = number
        elif what == "end":
            world.end(number, how)
        elif what == "deal":
            world.answer_grant(number, bool(how))
        elif what == "freeze":  # the timers that became due run only after the next step
            world.time += number * 1000
        else:
            world.advance(number * 1000)
        in_flight: dict[int, int] = {}
        for sent in world.sent:
            if sent.written:
                in_flight[sent.request] = in_flight.get(sent.request, 0) + (not sent.over)
        assert all(n <= 1 for n in in_flight.values()), "two attempts in flight at once"
    world.advance(10 * SECOND)
    model = world.model
    for number, cls in classes.items():
        client_answers = model.answers[number]
        assert len(client_answers) == 1, f"answered {client_answers}"
        assert model.arrivals[number] <= CLASSES[cls].max_endpoints
        if CLASSES[cls].repeat is Repeat.UNSAFE:
            assert model.runs[number] <= 1, "unsafe request ran twice"
        if client_answers[0] in ("429", "503"):
            assert model.runs[number] == 0, "rejected request has run"
            assert model.quota[number] or model.retry_after_by_request[number] > 0, "no Retry-After"
    assert not world.engine._requests and world.engine.open_count == 0


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(STEPS, max_size=40))
def test_unsafe_requests_run_at_most_once_and_rejected_ones_never(
    steps: list[tuple[str, int, str]],
) -> None:
    play(World(), steps)


class ResetTakenForUnsent(RequestPolicy):
    """Defect: treats a reset attempt as never sent."""

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


class FailureSentAsRejection(RequestPolicy):
    """Defect: rejects requests that have failed and may have run."""

    def end(self, request: Any, answer: it.Action) -> None:
        super().end(
            request, it.Refuse(answer.request, 0, False) if isinstance(answer, it.Fail) else answer
        )


class UnitsNeverExpire(RequestPolicy):
    """Defect: the units by which a request was admitted never expire."""

    def send(self, request: Any, leased: bool = False) -> bool:
        request.admitted_until = 0
        return super().send(request, leased)


class NoGrantsRequired(RequestPolicy):
    """Defect: sends attempts without the required grants."""

    def __init__(self, *args: Any) -> None:
        super().__init__(*args)
        self.pool.required_units = tuple  # type: ignore[method-assign]


@pytest.mark.parametrize(
    "mutant", [ResetTakenForUnsent, FailureSentAsRejection, UnitsNeverExpire, NoGrantsRequired]
)
def test_planted_defects_are_detected(mutant: type[RequestPolicy]) -> None:
    rng, kinds = random.Random(3), sorted(ATTEMPT_ENDS)
    for _ in range(200):
        steps = [("ask", rng.randint(0, 1), "quota")]
        for _ in range(6):
            candidates = [("freeze", 1000, ""), ("deal", 0, "some"), ("end", 0, rng.choice(kinds))]
            steps.append(rng.choice(candidates))
        try:
            play(World(mutant), steps)
        except AssertionError:
            return
    raise AssertionError("defect not detected")


@pytest.mark.parametrize("outcome", list(Outcome))
def test_verdict_and_policy_agree_on_which_outcomes_never_ran(outcome: Outcome) -> None:
    assert (Verdict.of(outcome) is Verdict.UNSENT) == (outcome in NEVER_RAN)


def test_retries_stay_within_the_retry_budget() -> None:
    """Retries covered by local tokens are sent at once; each other one needs a grant."""
    world = World(cold=False)
    retries = grants = 0
    for _ in range(400):
        world.ask(0)
        world.end(0, "garbage")
        retries += sum(1 for s in world.sent if not s.over)
        grants += len(world.deals)
        world.answer_grant(0, False)
        world.end(0, "answered")
        world.advance(400_000)
    assert 60 < retries <= 400 * 0.2 + EVEN_RETRY_FRACTION * 60 / 20
    assert grants == 400 - retries
