"""The engine without sockets: numbering, limits, timeouts, order of events."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

import pytest

from cairndale.ingress.net.discovery import EndpointEntry, EndpointUpdate
from cairndale.ingress.net.engine import (
    ATTEMPT_MARGIN_US,
    AttemptContext,
    AttemptResult,
    ClientRequest,
    Engine,
    NameTable,
)
from cairndale.ingress.policy import interface as it
from cairndale.ingress.policy.interface import Outcome
from tests.testing.ingress import RAW, SETTINGS, ManualClock, ScriptedPolicy

START = 1_000_000_000


class Exchange:
    def __init__(
        self,
        data: bytes,
        on_result: Callable[[AttemptResult], None],
        context: AttemptContext | None = None,
    ) -> None:
        self.data, self.on_result, self.aborted, self.may_have_run = data, on_result, False, True
        self.context = context

    def abort(self) -> bool:
        self.aborted = True
        return self.may_have_run


class World(ManualClock):
    """Simulated event loop, backends and client."""

    def __init__(self, script: ScriptedPolicy) -> None:
        super().__init__(START)
        self.sent: list[Exchange] = []
        self.settled: list[int] = []
        self.answers: list[Any] = []
        self.script = script
        self.engine = Engine(script, SETTINGS, NameTable(SETTINGS, RAW), self, lambda: self.time)
        self.engine.upstreams = self

    def update_endpoint(self, entry: EndpointEntry, backend: int) -> None: ...

    def set_maintenance(self, backend: int, in_maintenance: bool) -> None: ...

    def apply_updates(self, removed: Iterable[int]) -> None:
        self.settled += removed
        for exchange in self.sent:
            exchange.on_result(AttemptResult(Outcome.CONNECT_FAILED))

    def send(
        self,
        backend: int,
        data: bytes,
        on_result: Callable[[AttemptResult], None],
        context: AttemptContext | None = None,
    ) -> Exchange:
        self.sent.append(Exchange(data, on_result, context))
        return self.sent[-1]

    def probe(self, backend: int, on_result: Callable[[AttemptResult], None]) -> None: ...

    def close_idle(self, backend: int) -> None: ...

    def send_response(self, result: AttemptResult) -> None:
        self.answers.append(result.body)

    def reject(self, retry_after: int, status: int = 429) -> None:
        self.answers.append(retry_after)

    def fail(self, timed_out: bool) -> None:
        self.answers.append("late" if timed_out else "failed")

    def begin_stream(self, result: AttemptResult, source: Exchange) -> None:
        self.answers.append("begun")

    def write_body(self, data: bytes) -> None:
        self.answers.append(data)

    def end_stream(self) -> None:
        self.answers.append("whole")

    def abort_stream(self) -> None:
        self.answers.append("broken off")

    def ask(self, id: bytes = b"a", timeout: int = 1_000_000, ago: int = 0) -> bool:
        client_request = ClientRequest(
            id, 0, 0, 7, 1.0, 1, 0, timeout, self.time - ago, False, b"GET / HTTP/1.1\r\n", b""
        )
        return self.engine.request_arrived(client_request, self)


def sender(*more: it.Action, timeout: int = 0) -> Callable[[it.Event], list[it.Action]]:
    def rule(event: it.Event) -> list[it.Action]:
        if isinstance(event, it.RequestArrived):
            return [it.SendAttempt(event.request, 1, timeout), *more]
        return []

    return rule


def ends(script: ScriptedPolicy) -> list[tuple[int, Outcome, bool]]:
    return [(e.attempt, e.outcome, e.final) for e in script.of_kind(it.AttemptEnded)]


def test_first_ok_is_final_and_later_outcomes_are_ignored() -> None:
    world = World(ScriptedPolicy(sender()))
    world.ask()
    world.time += 7000
    world.sent[0].on_result(AttemptResult(Outcome.OK, b"body", load=b"queue=2"))
    world.sent[0].on_result(AttemptResult(Outcome.RESET))
    assert world.answers == [b"body"] and ends(world.script) == [(0, Outcome.OK, True)]
    (event,) = world.script.of_kind(it.AttemptEnded)
    assert event.load == (2.0,) and event.latency == 7000
    assert all(t.cancelled for t in world.timers) and world.engine.open_count == 0
    assert world.ask()  # the id is free again


def test_attempts_over_the_limit_or_after_the_end_are_moot() -> None:
    attempt = it.SendAttempt(1, 1, 0)
    world = World(ScriptedPolicy(sender(attempt, it.Fail(1), attempt)))
    world.ask()
    assert ends(world.script) == [(1, Outcome.MOOT, False), (2, Outcome.MOOT, True)]
    assert len(world.sent) == 1 and world.answers == ["failed"]
    world.sent[0].on_result(AttemptResult(Outcome.OK, b"too late"))
    assert ends(world.script)[2] == (0, Outcome.OK, True) and world.answers == ["failed"]


def test_deadline_counts_from_the_first_byte_and_attempts_end_before_it() -> None:
    world = World(ScriptedPolicy(sender(timeout=5_000_000)))
    world.ask(timeout=1_000_000, ago=200_000)
    assert world.script.of_kind(it.RequestArrived)[0].time_left == 800_000
    assert b"Request-Timeout: 785m\r\n" in world.sent[0].data
    world.advance(800_000 - ATTEMPT_MARGIN_US - 1)
    assert not world.sent[0].aborted
    world.advance(1)
    assert world.sent[0].aborted and ends(world.script) == [(0, Outcome.TIMEOUT, False)]
    world.advance(ATTEMPT_MARGIN_US)
    assert world.answers == ["late"] and len(world.script.of_kind(it.ClientGone)) == 1


def test_request_rejected_after_the_counter_answered_is_forgotten() -> None:
    def rule(event: it.Event) -> list[it.Action]:
        if isinstance(event, it.RequestArrived):
            return [it.AddToCounter(5, 1.0, 1000)]
        return [it.Refuse(1)] if isinstance(event, it.CountAnswered) else []

    world = World(ScriptedPolicy(rule))
    world.ask()
    assert world.answers == [0] and not world.engine._requests
    assert world.ask()  # the id is free again


def test_attempt_that_was_never_written_does_not_count_as_timed_out() -> None:
    world = World(ScriptedPolicy(sender(timeout=1000)))
    world.ask()
    world.sent[0].may_have_run = False
    world.advance(1000)
    assert ends(world.script) == [(0, Outcome.CONNECT_FAILED, False)]


def test_expired_request_never_reaches_the_policy() -> None:
    world = World(ScriptedPolicy(sender()))
    world.ask(timeout=100_000, ago=100_000)
    assert world.answers == [0] and not world.script.events


def test_events_during_actions_are_queued() -> None:
    depth = [0]

    def rule(event: it.Event) -> list[it.Action]:
        depth[0] += 1
        assert depth[0] == 1
        depth[0] -= 1
        if isinstance(event, it.RequestArrived):
            return [it.AddToCounter(5, 1.0, 1000), it.CancelAttempt(1, 0), it.SendAttempt(1, 1, 0)]
        return [it.CancelAttempt(1, 0)] if isinstance(event, it.CountAnswered) else []

    world = World(ScriptedPolicy(rule))
    world.ask()
    assert [type(e) for e in world.script.events] == [
        it.RequestArrived,
        it.CountAnswered,
        it.AttemptEnded,
    ]
    assert ends(world.script) == [(0, Outcome.CANCELLED, False)]


def test_policy_receives_an_update_before_the_attempts_that_it_ends() -> None:
    world = World(ScriptedPolicy(sender()))
    names = [{"name": n, "address": "127.0.0.1:1", "status": "up", "since_ms": 5} for n in "ab"]
    world.engine.update_endpoints(
        EndpointUpdate({"index": 1, "snapshot": True, "endpoints": names})
    )
    world.ask()
    world.engine.update_endpoints(
        EndpointUpdate({"index": 2, "snapshot": True, "endpoints": names[1:]})
    )
    assert [type(e) for e in world.script.events[-2:]] == [it.BackendsListed, it.AttemptEnded]
    assert world.settled == [1]
    first, second = world.script.of_kind(it.BackendsListed)
    assert [b.id for b in first.backends] == [1, 2] and [b.id for b in second.backends] == [2]
    assert first.backends[0].started == 5000 and second.kind is it.ListKind.FULL
    # by name, not by number
    assert first.backends[0].key != first.backends[1].key == second.backends[0].key


def test_name_of_invalid_unicode_is_accepted() -> None:
    world = World(ScriptedPolicy())
    names = [{"name": n, "address": "127.0.0.1:1", "status": "up"} for n in ("a", "\ud800")]
    world.engine.update_endpoints(
        EndpointUpdate({"index": 1, "snapshot": True, "endpoints": names}), it.ListKind.CACHED
    )
    assert len(world.script.of_kind(it.BackendsListed)[0].backends) == 2


def test_classes_match_by_name_and_open_requests_keep_their_limits() -> None:
    world = World(ScriptedPolicy(sender()))
    world.ask()
    read, order = SETTINGS.classes
    changed = replace(
        SETTINGS,
        classes=(replace(read, name="fresh"), replace(order, deadline=9_000_000)),
        limits=replace(SETTINGS.limits, max_attempts=1),
    )
    world.engine.update_settings(changed, RAW)
    (change,) = world.script.of_kind(it.SettingsChanged)
    assert [c.name for c in change.settings.classes] == ["read", "order", "fresh"]
    assert change.settings.classes[1].deadline == 9_000_000
    # `read` was removed, but keeps its number.
    assert world.engine.names.classes == {b"order": 1, b"fresh": 2}
    world.ask(b"b")
    world.sent[0].on_result(AttemptResult(Outcome.ERROR))
    again: list[it.Action] = [it.SendAttempt(n, 1, 0) for n in (1, 2)]
    world.script.rule = lambda event: again if isinstance(event, it.MaintenanceChanged) else []
    world.engine.restore_maintenance(["s"])
    assert len(world.sent) == 3  # one more for the first request, none for the second
    assert ends(world.script) == [(0, Outcome.ERROR, False), (1, Outcome.MOOT, False)]


@pytest.mark.parametrize("text", [b"", b"queue=", b"other=1", b"queue=1e"])
def test_invalid_load_report_is_empty(text: bytes) -> None:
    assert NameTable(SETTINGS, RAW).parse_load(text) == ()


@pytest.mark.parametrize("bound", [True, False])
def test_streamed_response_is_aborted_at_its_deadline_if_enabled(bound: bool) -> None:
    """Otherwise a backend that stops within a response would block its client forever."""
    for complete in (True, False):
        world = World(ScriptedPolicy(sender()))
        world.engine.aborts_streams_at_deadline = bound
        world.ask(timeout=1_000_000)
        world.advance(600_000)
        (exchange,) = world.sent
        assert exchange.context and exchange.context.on_head(AttemptResult(Outcome.OK))
        world.advance(399_000)
        assert world.answers == ["begun"] and not exchange.aborted
        if complete:
            exchange.on_result(AttemptResult(Outcome.OK))
        world.advance(10_000_000)
        last = "whole" if complete else "broken off"
        assert world.answers == ["begun"] + [last] * (bound or complete)
        assert exchange.aborted == (bound and not complete) and world.engine.open_count == (
            not bound and not complete
        )
