"""Hundreds of ingresses: limited counter calls, shares below one request, slow start, rare
answers."""

import itertools
import random
from dataclasses import replace

import pytest

from cairndale.ingress import RequestPolicy
from cairndale.ingress.policy import interface as it
from cairndale.ingress.policy.endpoint_pool import EndpointPool
from tests.testing.policy import (
    PLANS,
    SECOND,
    Counter,
    actions_of_type,
    arrival,
    backend,
    handle_with_counter,
    listed,
    settings,
)

FREE = (it.Plan("free", rate=0.0, burst=0.0),)


def make_policy(size: int = 100, backends: int = 20, **changes: object) -> RequestPolicy:
    policy = RequestPolicy(settings(fleet_size=size, **changes), seed=1)
    policy.handle(0, listed(*(backend(n) for n in range(1, backends + 1))))
    return policy


def finish(policy: RequestPolicy, now: int, actions: list[it.Action]) -> int:
    """Answers every attempt sent at once, and returns how many there were."""
    for s in actions_of_type(actions, it.SendAttempt):
        policy.handle(now, it.AttemptEnded(s.request, 0, s.backend, it.Outcome.OK, 50_000, True))
    return len(actions_of_type(actions, it.SendAttempt))


def test_one_ingress_of_many_makes_few_calls() -> None:
    one, many = RequestPolicy(settings(fleet_size=2), 1), RequestPolicy(settings(fleet_size=300), 1)
    calls = [0, 0]
    for n in range(1000):
        for which, policy in enumerate((one, many)):
            calls[which] += len(
                actions_of_type(
                    policy.handle(SECOND + n * 1000, arrival(n, customer=n)), it.AddToCounter
                )
            )
    assert calls[1] < 30 < calls[0]  # all ingresses together: 64 in a timeout of 30 ms


def test_while_calls_are_limited_a_share_is_admitted_at_random_and_nothing_is_returned() -> None:
    policy, counter, sent, calls = make_policy(), Counter(), 0, 0
    for n in range(400):
        now = (20 + 2 * n) * SECOND + SECOND  # half a window of two seconds has passed
        actions = policy.handle(now, arrival(100 + n, customer=2000 + n, spread=100))
        policy.backoff_factor = 4.0  # earlier calls were rejected
        for add in actions_of_type(actions, it.AddToCounter):
            counter.totals[add.name] = (
                7.0  # a bucket of 4 at 2 units/s covers about a third of that
            )
            calls += 1
            answered = handle_with_counter(policy, now, counter.answers([add])[0], counter)
            assert not actions_of_type(answered, it.AddToCounter)
            sent += finish(policy, now, answered)
    assert calls > 100 and 0.2 < sent / calls < 0.5


def policy_at_overloaded_counter() -> RequestPolicy:
    """Returns one policy of 40 that has found the counter overloaded, and has spent its own share
    of customer 7's bucket."""
    policy = make_policy(40)
    policy.handle(8 * SECOND, arrival(1, customer=99, spread=4))
    policy.backoff_factor, policy.next_call_at = 4.0, 10 * SECOND
    actions = policy.handle(10 * SECOND, arrival(10, spread=4))
    assert finish(policy, 10 * SECOND, actions) == 1 and not actions_of_type(
        actions, it.AddToCounter
    )
    return policy


def test_under_overload_the_own_share_needs_no_call_and_the_next_call_reports_it() -> None:
    (add,) = actions_of_type(
        policy_at_overloaded_counter().handle(10_100_000, arrival(50, spread=4)), it.AddToCounter
    )
    assert add.amount > 1.9  # one unit requested, one reported


def test_lease_of_an_overloaded_counter_leaves_the_other_ingresses_their_shares() -> None:
    policy = policy_at_overloaded_counter()
    (add,) = actions_of_type(policy.handle(10_100_000, arrival(50, spread=4)), it.AddToCounter)
    # One unit requested, one reported, and a share leased in advance.
    assert add.amount <= 1 + 1 + (4 - 1 - 1) / 8 + 0.01


def test_under_overload_excess_units_are_returned_with_the_next_call() -> None:
    policy = policy_at_overloaded_counter()
    (add,) = actions_of_type(policy.handle(10_100_000, arrival(50, spread=4)), it.AddToCounter)
    actions = policy.handle(10_110_000, it.CountAnswered(add.name, it.Outcome.OK, 6.0, 9000))
    assert actions_of_type(actions, it.Refuse) and not actions_of_type(actions, it.AddToCounter)
    policy.next_call_at = 10 * SECOND
    (next_call,) = actions_of_type(
        policy.handle(11_900_000, arrival(51, spread=4)), it.AddToCounter
    )
    # One unit is requested, less the excess units that are returned.
    assert next_call.name == add.name and next_call.amount < 0.5


def test_only_the_first_request_of_a_customer_is_sent_without_the_counter() -> None:
    policy = make_policy(counter=it.CounterLimits(False))
    assert actions_of_type(policy.handle(0, arrival(1, spread=100)), it.SendAttempt)
    assert actions_of_type(policy.handle(1000, arrival(2, spread=100)), it.Refuse)


def test_retry_is_not_admitted_as_a_first_request_without_the_counter() -> None:
    policy = make_policy(counter=it.CounterLimits(False))
    sent = 0
    for n in range(100):
        sent += finish(
            policy, 0, policy.handle(0, arrival(n, customer=n, spread=100, is_retry=True))
        )
    assert 0 < sent < 15  # the even share is 1/25 of a request


def test_slow_start_budget_holds_with_hundreds_of_ingresses() -> None:
    policies = [RequestPolicy(settings(fleet_size=200, plans=FREE), seed) for seed in range(200)]
    started, total = 10 * SECOND, 0
    for policy in policies:
        policy.handle(0, listed(*(backend(n) for n in range(1, 10))))
        policy.handle(started, listed(backend(10, started=started), kind=it.ListKind.DELTA))
    cold: list[int] = []
    # Each ingress sends two requests/s for 5 s: 40 requests/s to each backend.
    for step in range(10):
        for policy in policies:
            now = started + step * SECOND // 2
            for s in actions_of_type(policy.handle(now, arrival(step)), it.SendAttempt):
                total += 1
                cold += [now] * (s.backend == 10)
                policy.handle(
                    now, it.AttemptEnded(step, 0, s.backend, it.Outcome.OK, 100_000, True)
                )
    for second in range(5):
        span = sum(1 for at in cold if second * SECOND <= at - started < (second + 1) * SECOND)
        assert span <= 2.0 * (0.2 + 0.08 * (second + 1)) * 40
    assert len(cold) > 20 and total > 1900


def cold_to_warm_ratio(cold: int) -> float:
    """Returns the requests to a backend with 1/5 of its capacity, relative to those to a warm
    backend, where `cold` of 20 backends are in slow start."""
    chosen: list[int] = []
    for seed in range(40):
        safety = replace(settings().safety, overload_multiple=3.0)
        policy = RequestPolicy(settings(fleet_size=40, plans=FREE, safety=safety), seed)
        policy.handle(
            SECOND, listed(*(backend(n, started=SECOND * (n <= cold)) for n in range(1, 21)))
        )
        for n in range(200):
            for s in actions_of_type(policy.handle(SECOND + n * 1000, arrival(n)), it.SendAttempt):
                chosen.append(s.backend)
                policy.handle(
                    SECOND + n * 1000, it.AttemptEnded(n, 0, s.backend, it.Outcome.OK, 50_000, True)
                )
    to_cold = sum(b <= cold for b in chosen)
    return to_cold / cold / ((len(chosen) - to_cold) / (20 - cold))


def test_backends_in_slow_start_are_used_within_their_capacity_however_many_there_are() -> None:
    for cold in (1, 12):
        assert 0.2 < cold_to_warm_ratio(cold) < 0.45


def preferred_keys(removed: int = 0) -> list[set[int]]:
    """Returns the keys of the servers that each of 40 ingresses prefers out of 60. Each ingress
    numbers the servers in a different order."""
    found = []
    for ingress_index in range(40):
        pool = EndpointPool(
            settings(fleet_size=40, ingress_index=ingress_index), random.Random(ingress_index)
        )
        entries = [backend((n + ingress_index) % 60 + 1, key=5000 + n) for n in range(removed, 60)]
        pool.update_endpoints(listed(*entries))
        found.append({b.info.key for b in pool.preferred})
    return found


def test_preferred_servers_are_spread_evenly_and_mostly_stay_when_one_is_removed() -> None:
    before, after = preferred_keys(), preferred_keys(removed=1)
    for own in (before, after):
        uses = [sum(n in arc for arc in own) for n in set().union(*own)]
        assert len(uses) >= 59 and all(len(arc) == 16 for arc in own)
        assert max(uses) - min(uses) <= 3  # eleven ingresses for each server
    assert sum(len(a & b) for a, b in zip(before, after, strict=True)) > 40 * 14
    overlap = [len(a & b) for a, b in itertools.pairwise(before)]
    assert sum(overlap) / len(overlap) < 6  # one customer's ingresses have adjacent numbers


def test_server_that_drains_before_it_is_listed_so_rejects_few_attempts() -> None:
    policy, rejected, sent = make_policy(40, 60, plans=FREE), 0, 0
    draining = {b.info.id for b in policy.pool.preferred[:5]}
    for n in range(100):
        queue = actions_of_type(policy.handle(n * 50_000, arrival(n)), it.SendAttempt)
        for attempt, s in enumerate(queue):
            full = s.backend in draining
            outcome, latency = (it.Outcome.FULL, 900) if full else (it.Outcome.OK, 90_000)
            rejected, sent = rejected + full, sent + 1
            ended = it.AttemptEnded(n, attempt, s.backend, outcome, latency, not full)
            queue += actions_of_type(policy.handle(n * 50_000, ended), it.SendAttempt)
    assert sent - rejected == 100 and rejected <= 2 * len(draining)


def test_ingress_with_failing_preferred_servers_uses_others_and_returns() -> None:
    policy = make_policy(40, 60, plans=FREE, limits={"max_attempts": 1})
    own = {b.info.id for b in policy.pool.preferred}
    for n in range(60):
        for s in actions_of_type(policy.handle(n * 100_000, arrival(n)), it.SendAttempt):
            outcome = it.Outcome.CONNECT_FAILED if s.backend in own else it.Outcome.OK
            policy.handle(n * 100_000, it.AttemptEnded(n, 0, s.backend, outcome, 50_000, True))
    chosen, again = (
        {
            s.backend
            for n in numbers
            for s in actions_of_type(policy.handle(at * SECOND, arrival(n)), it.SendAttempt)
        }
        for at, numbers in ((6, range(100, 110)), (120, range(200, 220)))
    )
    assert chosen and not own & chosen
    assert own & again


def test_endpoints_that_are_all_in_slow_start_are_used() -> None:
    policy = RequestPolicy(settings(fleet_size=200, plans=FREE), 3)
    policy.handle(SECOND, listed(*(backend(n, started=SECOND) for n in range(1, 5))))
    sent = 0
    for n in range(100):
        for s in actions_of_type(policy.handle(SECOND + n * 1000, arrival(n)), it.SendAttempt):
            sent += 1
            policy.handle(
                SECOND + n * 1000, it.AttemptEnded(n, 0, s.backend, it.Outcome.OK, 9000, True)
            )
    assert 5 < sent < 60


def test_attempts_in_flight_at_a_restarted_backend_are_released() -> None:
    policy = RequestPolicy(settings(plans=FREE), 3)
    policy.handle(0, listed(backend(1)))
    (send,) = actions_of_type(policy.handle(0, arrival(1)), it.SendAttempt)
    policy.handle(10, listed(backend(1, started=10), kind=it.ListKind.DELTA))
    policy.handle(20, it.AttemptEnded(1, 0, send.backend, it.Outcome.RESET, 20, True))
    assert policy.pool.in_flight == 0 and policy.pool.backends[1].in_flight == 0


def sent_after_timeouts(timed_out: int) -> int:
    """Returns how many of 30 concurrent requests one of many ingresses sends after `timed_out` of
    20 attempts timed out."""
    policy = RequestPolicy(settings(fleet_size=50, plans=FREE, limits={"max_attempts": 1}), 3)
    policy.handle(0, listed(*(backend(n) for n in range(1, 21))))
    for n in range(300):
        for s in actions_of_type(policy.handle(n * 200_000, arrival(n)), it.SendAttempt):
            is_timeout = n % 20 < timed_out
            outcome, latency = (
                (it.Outcome.TIMEOUT, 900_000) if is_timeout else (it.Outcome.OK, 250_000)
            )
            policy.handle(n * 200_000, it.AttemptEnded(n, 0, s.backend, outcome, latency, True))
    return len(
        [
            s
            for n in range(1000, 1030)
            for s in actions_of_type(policy.handle(61 * SECOND, arrival(n)), it.SendAttempt)
        ]
    )


def test_overload_limits_an_ingress_to_few_attempts_and_some_timeouts_do_not() -> None:
    assert (
        1
        <= sent_after_timeouts(timed_out=18)
        <= 2
        < sent_after_timeouts(timed_out=3)
        <= sent_after_timeouts(timed_out=0)
    )


def test_idle_backends_are_used_in_proportion_to_their_weight() -> None:
    policy = RequestPolicy(settings(fleet_size=300, plans=FREE), 3)
    policy.handle(0, listed(*(backend(n, weight=2.0 + n % 2) for n in range(1, 61))))
    chosen = []
    for n in range(2000):
        for s in actions_of_type(policy.handle(n * 500_000, arrival(n)), it.SendAttempt):
            chosen.append(s.backend % 2)
            policy.handle(
                n * 500_000, it.AttemptEnded(n, 0, s.backend, it.Outcome.OK, 100_000, True)
            )
    assert 0.54 < sum(chosen) / len(chosen) < 0.66  # three fifths


def test_class_that_fails_on_some_backends_avoids_them_and_other_classes_do_not() -> None:
    policy = RequestPolicy(settings(plans=FREE, limits={"max_attempts": 1}), 3)
    policy.handle(0, listed(*(backend(n) for n in range(1, 5))))
    chosen: list[list[int]] = [[], []]
    for n in range(400):
        cls = n % 2
        for s in actions_of_type(policy.handle(n * 20_000, arrival(n, cls=cls)), it.SendAttempt):
            bad = cls == 0 and s.backend in (1, 2)
            outcome = it.Outcome.ERROR if bad else it.Outcome.OK
            policy.handle(n * 20_000, it.AttemptEnded(n, 0, s.backend, outcome, 50_000, True))
            chosen[cls] += [s.backend] * (n > 50)
    assert sum(b in (1, 2) for b in chosen[0]) < 0.15 * len(chosen[0])
    assert sum(b in (1, 2) for b in chosen[1]) > 0.3 * len(chosen[1])


@pytest.mark.parametrize("size", [1, 2, 350])
@pytest.mark.parametrize(("first", "spread"), [(0, 0), (9999, 65535), (-5, -1), (0, 2**31)])
def test_invalid_first_ingress_and_spread_do_not_admit_beyond_the_quota(
    size: int, first: int, spread: int
) -> None:
    policy, counter = RequestPolicy(settings(fleet_size=size), 1), Counter()
    policy.handle(0, listed(backend(1), backend(2)))
    sent = 0
    for n in range(60):
        event = arrival(n, first_ingress=first, spread=spread)
        sent += len(actions_of_type(handle_with_counter(policy, 0, event, counter), it.SendAttempt))
    assert sent <= PLANS[0].burst


def test_events_seconds_late_in_any_order_leave_one_answer_each() -> None:
    policy = make_policy(plans=FREE)
    ends: dict[int, int] = {}
    late: list[it.Event] = []
    for n in range(50):
        actions = policy.handle(SECOND, arrival(n))
        for s in actions_of_type(actions, it.SendAttempt):
            late.append(it.AttemptEnded(n, 0, s.backend, it.Outcome.OK, 1000, True))
        for refusal in actions_of_type(actions, it.Refuse):
            ends[refusal.request] = ends.get(refusal.request, 0) + 1
    unexpected = [
        it.ClientGone(777),
        it.CountAnswered(5, it.Outcome.OK, -3.0, 1),
        it.PeerMessage(9, b"\xff"),
        it.TimerFired(3),
        it.AttemptEnded(4000, 2, 1, it.Outcome.ERROR, 5, True),
    ]
    for event in [*reversed(late), *unexpected, *late]:
        for action in policy.handle(5 * SECOND, event):
            assert not isinstance(action, it.SendAttempt | it.Refuse | it.Fail)
    assert not policy.requests and not policy.attempts_in_flight and policy.pool.in_flight == 0
    assert all(count == 1 for count in ends.values())
