"""Endpoint selection: health, drain, slow start, concurrency limits, maintenance."""

import random

import pytest

from cairndale.ingress import RequestPolicy
from cairndale.ingress.policy import interface as it
from cairndale.ingress.policy.endpoint_pool import EndpointPool
from tests.testing.policy import (
    DRAINING,
    GONE,
    PLANS,
    SECOND,
    actions_of_type,
    arrival,
    backend,
    listed,
    settings,
)

FREE = (it.Plan("free", rate=0.0, burst=0.0),)


def make_policy(*entries: it.ListedBackend, **changes: object) -> RequestPolicy:
    policy = RequestPolicy(settings(plans=FREE, **changes), seed=3)
    policy.handle(0, listed(*entries))
    return policy


def sent_to(policy: RequestPolicy, now: int, numbers: range, **changes: object) -> list[int]:
    return [
        s.backend
        for n in numbers
        for s in actions_of_type(policy.handle(now, arrival(n, **changes)), it.SendAttempt)
    ]


@pytest.mark.parametrize("state", [DRAINING, GONE])
def test_draining_backend_receives_no_new_requests(state: it.BackendState) -> None:
    policy = make_policy(backend(1), backend(2))
    policy.handle(10, listed(backend(1, state), kind=it.ListKind.DELTA))
    assert set(sent_to(policy, 10, range(8))) == {2}


def test_backend_missing_from_a_full_list_is_removed_but_not_from_a_delta() -> None:
    policy = make_policy(backend(1), backend(2))
    policy.handle(10, listed(backend(2), kind=it.ListKind.DELTA))
    assert set(sent_to(policy, 10, range(8))) == {1, 2}
    policy.handle(20, listed(backend(2)))
    assert set(sent_to(policy, 20, range(10, 14))) <= {2}


def test_rejects_immediately_without_backends() -> None:
    policy = make_policy()
    assert actions_of_type(policy.handle(0, arrival(1)), it.Refuse)


def test_concurrency_limit_falls_with_late_answers() -> None:
    policy = make_policy(backend(1))
    first = sent_to(policy, 0, range(100))
    assert 1 < len(first) <= 16
    for n in range(len(first)):
        policy.handle(900_000, it.AttemptEnded(n, 0, 1, it.Outcome.OK, 900_000, True))
    assert len(sent_to(policy, 900_000, range(200, 300))) < len(first) / 2


def test_prompt_answers_raise_the_concurrency_limit() -> None:
    policy = make_policy(backend(1))
    before = len(sent_to(policy, 0, range(100)))
    for n in range(before):
        policy.handle(50_000, it.AttemptEnded(n, 0, 1, it.Outcome.OK, 50_000, True))
    assert len(sent_to(policy, 60_000, range(200, 300))) >= before


def test_unreachable_backend_is_avoided_and_retried_later() -> None:
    policy = make_policy(backend(1), backend(2))
    for n in range(30):
        for s in actions_of_type(policy.handle(0, arrival(n)), it.SendAttempt):
            outcome = it.Outcome.OK if s.backend == 2 else it.Outcome.CONNECT_FAILED
            for retry in actions_of_type(
                policy.handle(0, it.AttemptEnded(n, 0, s.backend, outcome, 500, s.backend == 2)),
                it.SendAttempt,
            ):
                assert retry.backend == 2
                policy.handle(0, it.AttemptEnded(n, 1, 2, it.Outcome.OK, 500, True))
    assert 1 not in sent_to(policy, 0, range(100, 103))
    assert sent_to(policy, 40 * SECOND, range(200, 203)).count(1) >= 1


def test_backend_in_slow_start_stays_within_its_budget() -> None:
    warm = [backend(n) for n in range(1, 5)]
    policy = make_policy(*warm)
    now, slow_start_sends = 0, []
    for n in range(4000):
        now += 5000  # 200 requests/s over four warm backends: 50 requests/s each
        if n == 2000:
            policy.handle(now, listed(backend(9, started=now), kind=it.ListKind.DELTA))
        for s in actions_of_type(policy.handle(now, arrival(n)), it.SendAttempt):
            slow_start_sends += [now] * (s.backend == 9)
            policy.handle(now, it.AttemptEnded(n, 0, s.backend, it.Outcome.OK, 100_000, True))
    started = 2001 * 5000
    for at in slow_start_sends:
        sent_within_a_second = sum(1 for other in slow_start_sends if at <= other < at + SECOND)
        capacity = 0.2 + 0.8 * min(1.0, (at - started) / (10 * SECOND))
        assert sent_within_a_second <= 2.0 * capacity * 50 + 1
    assert len(slow_start_sends) > 50


def test_subscribes_to_the_endpoint_list_where_required() -> None:
    policy = RequestPolicy(settings(must_subscribe=True), 1)
    assert actions_of_type(
        policy.handle(0, listed(backend(1), kind=it.ListKind.CACHED)), it.Subscribe
    )
    assert actions_of_type(
        policy.handle(9, it.BackendsListed(it.ListKind.FAILED, 0, ())), it.Subscribe
    )
    assert PLANS


def test_limit_in_slow_start_grows_while_the_warm_share_is_used() -> None:
    policy = make_policy(backend(1), backend(2, started=1))
    cold = policy.pool.backends[2]
    before = cold.limit
    policy.pool.record_outcome(cold, SECOND, 0, it.Outcome.OK, 50_000)
    assert cold.limit == before  # the limit is not used
    cold.in_flight = 2
    policy.pool.record_outcome(cold, SECOND, 0, it.Outcome.OK, 50_000)
    assert cold.limit > before


def test_recent_load_reports_affect_selection_and_stale_or_invalid_ones_do_not() -> None:
    def share(load: float, age: int) -> float:
        policy = make_policy(backend(1), backend(2), load_fields=("queue",))
        sent = [
            s
            for n in range(8)
            for s in actions_of_type(policy.handle(0, arrival(n)), it.SendAttempt)
        ]
        assert {s.backend for s in sent} == {1, 2}
        for s in sent:
            value = (load,) if s.backend == 1 else (1.0,)
            policy.handle(
                0, it.AttemptEnded(s.request, 0, s.backend, it.Outcome.OK, 1000, True, value)
            )
        chosen = []
        for n in range(100, 140):
            for s in actions_of_type(policy.handle(age, arrival(n)), it.SendAttempt):
                chosen.append(s.backend)
                policy.handle(age, it.AttemptEnded(n, 0, s.backend, it.Outcome.OK, 1000, True))
        return chosen.count(1) / len(chosen)

    assert share(50.0, 1000) < 0.2
    assert 0.3 < share(50.0, 5 * SECOND) < 0.7
    assert share(float("nan"), 1000) > 0.3


def test_many_ingresses_do_not_overload_the_endpoints_with_one_attempt_each() -> None:
    policy = make_policy(*(backend(n) for n in range(1, 9)), fleet_size=16)
    for n in range(60):
        for s in actions_of_type(policy.handle(n, arrival(n)), it.SendAttempt):
            policy.handle(n, it.AttemptEnded(n, 0, s.backend, it.Outcome.TIMEOUT, 900_000, True))
    assert (
        1 <= len(sent_to(policy, 100, range(100, 200))) <= 4
    )  # of eight backends, with sixteen ingresses


def test_server_in_maintenance_is_not_ready_regardless_of_the_list() -> None:
    pool = EndpointPool(settings(), random.Random(1))
    pool.update_endpoints(listed(backend(1), backend(2)))
    for _ in range(2):
        pool.apply_maintenance(SECOND, it.MaintenanceChanged(1, True))
    pool.update_endpoints(listed(backend(1), backend(2)))
    assert [b.info.id for b in pool.ready] == [2]
    pool.apply_maintenance(2 * SECOND, it.MaintenanceChanged(1, False))
    assert {b.info.id for b in pool.ready} == {1, 2}


def test_server_returned_from_maintenance_is_in_slow_start_without_a_listed_start() -> None:
    pool = EndpointPool(settings(), random.Random(1))
    pool.update_endpoints(listed(backend(1), backend(2)))
    pool.backends[1].limit = 50.0
    for in_maintenance in (True, False):
        pool.apply_maintenance(20 * SECOND, it.MaintenanceChanged(1, in_maintenance))
    pool.update_endpoints(listed(backend(1), backend(2), kind=it.ListKind.DELTA))
    assert pool.warmup_factor(pool.backends[1], 20 * SECOND) == settings().safety.cold_share
    assert pool.backends[1].limit == pool.initial_limit
    # It was not in maintenance: nothing changes.
    pool.apply_maintenance(25 * SECOND, it.MaintenanceChanged(1, False))
    assert pool.warmup_factor(pool.backends[1], 30 * SECOND) == 1.0
