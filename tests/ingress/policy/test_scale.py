"""Hundreds of gateways: calls that are short, shares under one request, cold backends, rare
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
    arrival,
    backend,
    listed,
    of,
    settings,
    settle,
)

FREE = (it.Plan("free", rate=0.0, burst=0.0),)


def wide(size: int = 100, backends: int = 20, **changes: object) -> RequestPolicy:
    made = RequestPolicy(settings(fleet_size=size, **changes), seed=1)
    made.handle(0, listed(*(backend(n) for n in range(1, backends + 1))))
    return made


def finish(g: RequestPolicy, now: int, actions: list[it.Action]) -> int:
    """Every attempt sent is answered at once; how many there were."""
    for s in of(actions, it.SendAttempt):
        g.handle(now, it.AttemptEnded(s.request, 0, s.backend, it.Outcome.OK, 50_000, True))
    return len(of(actions, it.SendAttempt))


def test_calls_of_one_gateway_in_many_are_few() -> None:
    one, many = RequestPolicy(settings(fleet_size=2), 1), RequestPolicy(settings(fleet_size=300), 1)
    calls = [0, 0]
    for n in range(1000):
        for which, g in enumerate((one, many)):
            calls[which] += len(
                of(g.handle(SECOND + n * 1000, arrival(n, customer=n)), it.AddToCounter)
            )
    assert calls[1] < 30 < calls[0]  # 64 in a time-out of 30 ms, by all gateways together


def test_while_calls_are_short_a_part_is_granted_by_a_draw_and_nothing_is_added_back() -> None:
    g, counter, sent, asked = wide(), Counter(), 0, 0
    for n in range(400):
        now = (20 + 2 * n) * SECOND + SECOND  # half a window of two seconds has passed
        actions = g.handle(now, arrival(100 + n, customer=2000 + n, spread=100))
        g.backoff_factor = 4.0  # calls of others were turned away
        for add in of(actions, it.AddToCounter):
            counter.totals[add.name] = 7.0  # a store of 4 at 2 a second gives about a third of that
            asked += 1
            answered = settle(g, now, counter.answers([add])[0], counter)
            assert not of(answered, it.AddToCounter)
            sent += finish(g, now, answered)
    assert asked > 100 and 0.2 < sent / asked < 0.5


def crowded() -> RequestPolicy:
    """One of 40 that has found the counter crowded, and has used its own part of customer 7's
    store."""
    g = wide(40)
    g.handle(8 * SECOND, arrival(1, customer=99, spread=4))
    g.backoff_factor, g.next_call_at = 4.0, 10 * SECOND
    actions = g.handle(10 * SECOND, arrival(10, spread=4))
    assert finish(g, 10 * SECOND, actions) == 1 and not of(actions, it.AddToCounter)
    return g


def test_while_crowded_the_own_part_needs_no_call_and_the_next_call_tells_of_it() -> None:
    (add,) = of(crowded().handle(10_100_000, arrival(50, spread=4)), it.AddToCounter)
    assert add.amount > 1.9  # one that is asked for, one told of


def test_a_lease_at_a_crowded_counter_leaves_the_siblings_their_parts() -> None:
    g = crowded()
    (add,) = of(g.handle(10_100_000, arrival(50, spread=4)), it.AddToCounter)
    # one asked for, one told of, one part in advance
    assert add.amount <= 1 + 1 + (4 - 1 - 1) / 8 + 0.01


def test_while_crowded_what_is_past_the_allowance_goes_back_with_the_next_call() -> None:
    g = crowded()
    (add,) = of(g.handle(10_100_000, arrival(50, spread=4)), it.AddToCounter)
    answered = g.handle(10_110_000, it.CountAnswered(add.name, it.Outcome.OK, 6.0, 9000))
    assert of(answered, it.Refuse) and not of(answered, it.AddToCounter)
    g.next_call_at = 10 * SECOND
    (again,) = of(g.handle(11_900_000, arrival(51, spread=4)), it.AddToCounter)
    # one is asked for, and what was over taken off
    assert again.name == add.name and again.amount < 0.5


def test_first_request_of_a_customer_at_one_of_many_is_sent_without_the_counter_and_the_next_is_not() -> (  # noqa: E501
    None
):
    g = wide(counter=it.CounterLimits(False))
    assert of(g.handle(0, arrival(1, spread=100)), it.SendAttempt)
    assert of(g.handle(1000, arrival(2, spread=100)), it.Refuse)


def test_a_marked_retry_at_one_of_many_gets_no_first_request_free() -> None:
    g = wide(counter=it.CounterLimits(False))
    sent = 0
    for n in range(100):
        sent += finish(g, 0, g.handle(0, arrival(n, customer=n, spread=100, is_retry=True)))
    assert 0 < sent < 15  # the even share is a twenty-fifth of a request


def test_cold_backend_keeps_its_budget_before_hundreds_of_gateways() -> None:
    fleet = [RequestPolicy(settings(fleet_size=200, plans=FREE), seed) for seed in range(200)]
    started, total = 10 * SECOND, 0
    for g in fleet:
        g.handle(0, listed(*(backend(n) for n in range(1, 10))))
        g.handle(started, listed(backend(10, started=started), kind=it.ListKind.DELTA))
    cold: list[int] = []
    # each gateway sends twice a second for five seconds: 40 a second to each backend
    for step in range(10):
        for g in fleet:
            now = started + step * SECOND // 2
            for s in of(g.handle(now, arrival(step)), it.SendAttempt):
                total += 1
                cold += [now] * (s.backend == 10)
                g.handle(now, it.AttemptEnded(step, 0, s.backend, it.Outcome.OK, 100_000, True))
    for second in range(5):
        span = sum(1 for at in cold if second * SECOND <= at - started < (second + 1) * SECOND)
        assert span <= 2.0 * (0.2 + 0.08 * (second + 1)) * 40
    assert len(cold) > 20 and total > 1900


def cold_part(cold: int) -> float:
    """What a backend that is a fifth warm gets, of what a warm one gets, where `cold` of 20 are
    cold."""
    chosen: list[int] = []
    for seed in range(40):
        safety = replace(settings().safety, overload_multiple=3.0)
        g = RequestPolicy(settings(fleet_size=40, plans=FREE, safety=safety), seed)
        g.handle(SECOND, listed(*(backend(n, started=SECOND * (n <= cold)) for n in range(1, 21))))
        for n in range(200):
            for s in of(g.handle(SECOND + n * 1000, arrival(n)), it.SendAttempt):
                chosen.append(s.backend)
                g.handle(
                    SECOND + n * 1000, it.AttemptEnded(n, 0, s.backend, it.Outcome.OK, 50_000, True)
                )
    to_cold = sum(b <= cold for b in chosen)
    return to_cold / cold / ((len(chosen) - to_cold) / (20 - cold))


def test_cold_backends_are_used_for_what_they_can_do_however_many_are_cold() -> None:
    for cold in (1, 12):
        assert 0.2 < cold_part(cold) < 0.45


def arcs(gone: int = 0) -> list[set[int]]:
    """The servers that each of 40 gateways keeps to of 60, numbered by each in an order of its
    own."""
    found = []
    for me in range(40):
        fleet = EndpointPool(settings(fleet_size=40, ingress_index=me), random.Random(me))
        entries = [backend((n + me) % 60 + 1, key=5000 + n) for n in range(gone, 60)]
        fleet.update_endpoints(listed(*entries))
        found.append({b.info.key for b in fleet.preferred})
    return found


def test_each_of_many_gateways_keeps_to_some_servers_evenly_and_mostly_the_same_when_one_goes() -> (
    None
):
    before, after = arcs(), arcs(gone=1)
    for own in (before, after):
        uses = [sum(n in arc for arc in own) for n in set().union(*own)]
        assert len(uses) >= 59 and all(len(arc) == 16 for arc in own)
        assert max(uses) - min(uses) <= 3  # eleven gateways for each
    assert sum(len(a & b) for a, b in zip(before, after, strict=True)) > 40 * 14
    overlap = [len(a & b) for a, b in itertools.pairwise(before)]
    assert sum(overlap) / len(overlap) < 6  # one customer's gateways are neighbours


def test_a_server_that_drains_before_the_list_says_so_turns_few_attempts_away() -> None:
    g, turned, sent = wide(40, 60, plans=FREE), 0, 0
    draining = {b.info.id for b in g.pool.preferred[:5]}
    for n in range(100):
        queue = of(g.handle(n * 50_000, arrival(n)), it.SendAttempt)
        for attempt, s in enumerate(queue):
            full = s.backend in draining
            outcome, took = (it.Outcome.FULL, 900) if full else (it.Outcome.OK, 90_000)
            turned, sent = turned + full, sent + 1
            ended = it.AttemptEnded(n, attempt, s.backend, outcome, took, not full)
            queue += of(g.handle(n * 50_000, ended), it.SendAttempt)
    assert sent - turned == 100 and turned <= 2 * len(draining)


def test_a_gateway_whose_own_servers_are_bad_goes_to_others_and_comes_back() -> None:
    g = wide(40, 60, plans=FREE, limits={"max_attempts": 1})
    own = {b.info.id for b in g.pool.preferred}
    for n in range(60):
        for s in of(g.handle(n * 100_000, arrival(n)), it.SendAttempt):
            outcome = it.Outcome.CONNECT_FAILED if s.backend in own else it.Outcome.OK
            g.handle(n * 100_000, it.AttemptEnded(n, 0, s.backend, outcome, 50_000, True))
    chosen, again = (
        {s.backend for n in numbers for s in of(g.handle(at * SECOND, arrival(n)), it.SendAttempt)}
        for at, numbers in ((6, range(100, 110)), (120, range(200, 220)))
    )
    assert chosen and not own & chosen
    assert own & again


def test_a_fleet_that_is_cold_as_a_whole_is_not_left_alone() -> None:
    g = RequestPolicy(settings(fleet_size=200, plans=FREE), 3)
    g.handle(SECOND, listed(*(backend(n, started=SECOND) for n in range(1, 5))))
    sent = 0
    for n in range(100):
        for s in of(g.handle(SECOND + n * 1000, arrival(n)), it.SendAttempt):
            sent += 1
            g.handle(SECOND + n * 1000, it.AttemptEnded(n, 0, s.backend, it.Outcome.OK, 9000, True))
    assert 5 < sent < 60


def test_attempts_out_at_a_backend_that_restarts_are_counted_off() -> None:
    g = RequestPolicy(settings(plans=FREE), 3)
    g.handle(0, listed(backend(1)))
    (send,) = of(g.handle(0, arrival(1)), it.SendAttempt)
    g.handle(10, listed(backend(1, started=10), kind=it.ListKind.DELTA))
    g.handle(20, it.AttemptEnded(1, 0, send.backend, it.Outcome.RESET, 20, True))
    assert g.pool.in_flight == 0 and g.pool.backends[1].in_flight == 0


def held_back(lost: int) -> int:
    """How many of 30 requests at once one of many gateways sends after `lost` of 20 answers were
    lost."""
    g = RequestPolicy(settings(fleet_size=50, plans=FREE, limits={"max_attempts": 1}), 3)
    g.handle(0, listed(*(backend(n) for n in range(1, 21))))
    for n in range(300):
        for s in of(g.handle(n * 200_000, arrival(n)), it.SendAttempt):
            gone = n % 20 < lost
            outcome, took = (it.Outcome.TIMEOUT, 900_000) if gone else (it.Outcome.OK, 250_000)
            g.handle(n * 200_000, it.AttemptEnded(n, 0, s.backend, outcome, took, True))
    return len(
        [
            s
            for n in range(1000, 1030)
            for s in of(g.handle(61 * SECOND, arrival(n)), it.SendAttempt)
        ]
    )


def test_a_jam_holds_a_gateway_to_few_attempts_and_some_lost_answers_do_not() -> None:
    assert 1 <= held_back(lost=18) <= 2 < held_back(lost=3) <= held_back(lost=0)


def test_idle_backends_are_used_in_proportion_to_their_weight() -> None:
    g = RequestPolicy(settings(fleet_size=300, plans=FREE), 3)
    g.handle(0, listed(*(backend(n, weight=2.0 + n % 2) for n in range(1, 61))))
    chosen = []
    for n in range(2000):
        for s in of(g.handle(n * 500_000, arrival(n)), it.SendAttempt):
            chosen.append(s.backend % 2)
            g.handle(n * 500_000, it.AttemptEnded(n, 0, s.backend, it.Outcome.OK, 100_000, True))
    assert 0.54 < sum(chosen) / len(chosen) < 0.66  # three fifths


def test_one_class_failing_on_some_backends_goes_elsewhere_and_the_other_stays() -> None:
    g = RequestPolicy(settings(plans=FREE, limits={"max_attempts": 1}), 3)
    g.handle(0, listed(*(backend(n) for n in range(1, 5))))
    chosen: list[list[int]] = [[], []]
    for n in range(400):
        cls = n % 2
        for s in of(g.handle(n * 20_000, arrival(n, cls=cls)), it.SendAttempt):
            bad = cls == 0 and s.backend in (1, 2)
            outcome = it.Outcome.ERROR if bad else it.Outcome.OK
            g.handle(n * 20_000, it.AttemptEnded(n, 0, s.backend, outcome, 50_000, True))
            chosen[cls] += [s.backend] * (n > 50)
    assert sum(b in (1, 2) for b in chosen[0]) < 0.15 * len(chosen[0])
    assert sum(b in (1, 2) for b in chosen[1]) > 0.3 * len(chosen[1])


@pytest.mark.parametrize("size", [1, 2, 350])
@pytest.mark.parametrize(("first", "spread"), [(0, 0), (9999, 65535), (-5, -1), (0, 2**31)])
def test_a_set_that_fits_no_fleet_opens_no_gate(size: int, first: int, spread: int) -> None:
    g, counter = RequestPolicy(settings(fleet_size=size), 1), Counter()
    g.handle(0, listed(backend(1), backend(2)))
    sent = 0
    for n in range(60):
        event = arrival(n, first_ingress=first, spread=spread)
        sent += len(of(settle(g, 0, event, counter), it.SendAttempt))
    assert sent <= PLANS[0].burst


def test_a_turn_of_seconds_of_events_in_any_order_leaves_one_answer_each() -> None:
    g = wide(plans=FREE)
    ends: dict[int, int] = {}
    late: list[it.Event] = []
    for n in range(50):
        actions = g.handle(SECOND, arrival(n))
        for s in of(actions, it.SendAttempt):
            late.append(it.AttemptEnded(n, 0, s.backend, it.Outcome.OK, 1000, True))
        for refusal in of(actions, it.Refuse):
            ends[refusal.request] = ends.get(refusal.request, 0) + 1
    strays = [
        it.ClientGone(777),
        it.CountAnswered(5, it.Outcome.OK, -3.0, 1),
        it.PeerMessage(9, b"\xff"),
        it.TimerFired(3),
        it.AttemptEnded(4000, 2, 1, it.Outcome.ERROR, 5, True),
    ]
    for event in [*reversed(late), *strays, *late]:
        for action in g.handle(5 * SECOND, event):
            assert not isinstance(action, it.SendAttempt | it.Refuse | it.Fail)
    assert not g.requests and not g.attempts_in_flight and g.pool.in_flight == 0
    assert all(count == 1 for count in ends.values())
