"""Admission step by step: leased units, leases, the borrowing ring, hard rate limits."""

from dataclasses import replace

import pytest

from cairndale.ingress import RequestPolicy
from cairndale.ingress.policy import interface as it
from cairndale.ingress.policy.account import TenantAccount
from cairndale.ingress.policy.borrowing_ring import RETRY_OFFSETS
from cairndale.ingress.policy.hashing import counter_name
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


def make_policy(**changes: object) -> RequestPolicy:
    policy = RequestPolicy(settings(**changes), seed=1)
    policy.handle(0, listed(*(backend(n) for n in range(1, 5))))
    return policy


def test_first_request_takes_a_lease_of_several_units_and_is_sent() -> None:
    policy, counter = make_policy(), Counter()
    actions = policy.handle(0, arrival(1))
    (add,) = actions_of_type(actions, it.AddToCounter)
    assert not actions_of_type(actions, it.SendAttempt) and add.amount > 1
    assert add.name == counter_name(7, 0)
    assert (
        len(actions_of_type(policy.handle(1000, counter.answers(actions)[0]), it.SendAttempt)) == 1
    )


def test_leased_units_admit_without_another_call() -> None:
    policy, counter = make_policy(), Counter()
    handle_with_counter(policy, 0, arrival(1, units=0.5), counter)
    actions = policy.handle(1000, arrival(2, units=0.5))
    assert actions_of_type(actions, it.SendAttempt) and not actions_of_type(
        actions, it.AddToCounter
    )


def test_units_leased_beyond_the_allowance_are_returned() -> None:
    policy, counter = make_policy(), Counter()
    counter.totals[counter_name(7, 0)] = 3.5  # another ingress took most of the burst of 4
    actions = handle_with_counter(policy, 0, arrival(1), counter)
    back = [a.amount for a in actions_of_type(actions, it.AddToCounter) if a.amount < 0]
    assert (
        len(back) == 1
        and actions_of_type(actions, it.Refuse)
        and not actions_of_type(actions, it.SendAttempt)
    )
    assert counter.totals[counter_name(7, 0)] == pytest.approx(4.0)


def test_two_ingresses_together_admit_one_burst() -> None:
    one, two, counter = make_policy(), make_policy(), Counter()
    sent = 0
    for n in range(20):
        sent += len(
            actions_of_type(
                handle_with_counter((one, two)[n % 2], 0, arrival(n), counter), it.SendAttempt
            )
        )
    assert 3 <= sent <= 4  # burst 4; a fraction may be stranded in a lease


def test_rejects_without_a_call_once_the_bucket_is_known_to_be_empty() -> None:
    policy, counter = make_policy(), Counter()
    for n in range(8):
        handle_with_counter(policy, 0, arrival(n), counter)
    late = policy.handle(0, arrival(9))
    assert actions_of_type(late, it.Refuse) and not actions_of_type(late, it.AddToCounter)


def test_unresponsive_counter_leaves_each_ingress_its_even_share() -> None:
    policy = make_policy()
    sent = 0
    for n in range(40):
        actions = policy.handle(0, arrival(n))
        for add in actions_of_type(actions, it.AddToCounter):
            actions += policy.handle(0, it.CountAnswered(add.name, it.Outcome.TIMEOUT, 0.0, 30_000))
        sent += len(actions_of_type(actions, it.SendAttempt))
    assert sent == 2  # half of the burst of 4, as there are two ingresses


def test_slow_counter_receives_fewer_calls() -> None:
    policy = make_policy()
    adds = []
    for n in range(40):
        adds += actions_of_type(policy.handle(0, arrival(n, customer=n)), it.AddToCounter)
    for add in adds:
        policy.handle(0, it.CountAnswered(add.name, it.Outcome.TIMEOUT, 0.0, 30_000))
    later_calls = 0
    for n in range(1000):  # 1000 customers within 1 s
        later_calls += len(
            actions_of_type(
                policy.handle(SECOND + n * 1000, arrival(100 + n, customer=100 + n)),
                it.AddToCounter,
            )
        )
    assert len(adds) == 40 and 20 < later_calls < 80


def test_flushed_counter_does_not_admit_beyond_the_quota() -> None:
    policy, counter = make_policy(), Counter()
    sent = sum(
        len(actions_of_type(handle_with_counter(policy, 0, arrival(n), counter), it.SendAttempt))
        for n in range(8)
    )
    counter.totals.clear()
    sent += sum(
        len(
            actions_of_type(
                handle_with_counter(policy, 500_000, arrival(n), counter), it.SendAttempt
            )
        )
        for n in range(8, 16)
    )
    assert sent <= 5  # the burst of 4, and 0.5 s at 2 units/s
    assert sum(counter.totals.values()) > 2  # the units that it forgot were added back


@pytest.mark.parametrize("total", [float("nan"), float("inf"), -50.0, -1e30])
def test_invalid_totals_do_not_admit_beyond_the_quota(total: float) -> None:
    policy = make_policy()
    sent = 0
    for n in range(30):
        for add in actions_of_type(policy.handle(0, arrival(n)), it.AddToCounter):
            sent += len(
                actions_of_type(
                    policy.handle(0, it.CountAnswered(add.name, it.Outcome.OK, total, 9)),
                    it.SendAttempt,
                )
            )
    assert sent <= 4


def ring_account() -> TenantAccount:
    account = TenantAccount(PLANS[0], 2, slot_us=500_000, bucket_updated_at=0)
    account.lease_rate = 4.0  # W_a = (4 - 0) * 0.5 = 2 units per slot
    return account


def test_ring_borrows_at_d0_then_doubling_offsets_then_rejects() -> None:
    account = ring_account()
    assert [account.borrow_for_retry(0, 1.0) for _ in range(7)] == [500_000] * 6 + [0]
    assert [slot[0] for slot in account.ring.slots] == [2, 0, 2, 0, 2, 2, 2, 0]
    assert [account.ring.slots[i][1] for i in RETRY_OFFSETS] == [
        4,
        2,
        0,
    ]  # each exhausted slot defers one more retry


def test_deferred_retries_of_the_present_slot_are_deferred_first() -> None:
    account = ring_account()
    for _ in range(6):
        account.borrow_for_retry(0, 1.0)
    account.lease_rate = 0.0
    assert [account.borrow_for_retry(500_000, 1.0) for _ in range(4)] == [500_000] * 4  # B[0] was 4
    assert account.ring.slots[0][1] == 0


def test_spare_units_are_never_negative() -> None:
    account = ring_account()
    account.lease_rate, account.demand = 0.0, 50.0
    assert account.borrow_for_retry(0, 1.0) == 0
    assert all(slot == [0.0, 0] for slot in account.ring.slots)


def test_ring_slots_decide_between_retry_after_and_final_rejection() -> None:
    answers = []
    for booked in (0.0, 2.0):
        policy, counter = make_policy(), Counter()
        handle_with_counter(policy, 0, arrival(1), counter)
        account = policy.accounts[7]
        account.tokens = account.bucket_units = 0.0
        account.lease_rate, account.demand = 10.0, 0.0
        account.borrow_for_retry(0, 1.0)
        for slot in account.ring.slots:
            slot[0] = booked
        answers.append(
            actions_of_type(handle_with_counter(policy, 0, arrival(2), counter), it.Refuse)[
                0
            ].retry_after
        )
    assert answers == [0, 500_000]


def test_idle_accounts_are_discarded() -> None:
    policy, counter = make_policy(), Counter()
    for n in range(50):
        handle_with_counter(policy, 0, arrival(n, customer=n), counter)
    handle_with_counter(policy, 60 * SECOND, arrival(99, customer=99), counter)
    assert list(policy.accounts) == [99]


def test_paid_overage_is_served_while_there_is_spare_capacity() -> None:
    policy, counter = make_policy(), Counter()
    sent = sum(
        len(
            actions_of_type(
                handle_with_counter(policy, 0, arrival(n, plan=1), counter), it.SendAttempt
            )
        )
        for n in range(40)
    )
    assert 4 < sent <= 20  # beyond the burst of 4, but within 0.6 of the limits of four times eight


def test_cap_on_concurrent_attempts() -> None:
    policy = make_policy()
    out = [policy.handle(0, arrival(n, plan=2)) for n in range(3)]
    assert [len(actions_of_type(a, it.SendAttempt)) for a in out] == [1, 1, 0] and actions_of_type(
        out[2], it.Refuse
    )
    send = actions_of_type(out[0], it.SendAttempt)[0]
    policy.handle(9000, it.AttemptEnded(0, 0, send.backend, it.Outcome.OK, 9000, True))
    assert actions_of_type(policy.handle(9000, arrival(4, plan=2)), it.SendAttempt)


def test_two_ingresses_keep_a_hard_rate_limit_through_restarts() -> None:
    counter, sent = Counter(), []
    for restart in range(3):
        policies = [make_policy(), make_policy()]
        for ms in range(0, 4000, 20):
            now = restart * 4 * SECOND + ms * 1000
            actions = handle_with_counter(
                policies[ms // 20 % 2], now, arrival(now, plan=3), counter
            )
            sent += [now] * len(actions_of_type(actions, it.SendAttempt))
    units, last_sent_at = 8.0, 0
    for now in sent:
        units, last_sent_at = min(8.0, units + 4.0 * (now - last_sent_at) / SECOND) - 1, now
        assert units >= -0.001
    assert len(sent) > 5


def test_new_ingress_sends_the_first_leased_request_of_a_rate_limited_plan() -> None:
    actions = handle_with_counter(make_policy(), SECOND, arrival(1, plan=3), Counter())
    assert actions_of_type(actions, it.SendAttempt) and not actions_of_type(actions, it.Refuse)


def test_leases_may_exceed_the_even_share_of_a_hard_rate_limit() -> None:
    policy, counter, sent = make_policy(fleet_size=3), Counter(), 0
    for n in range(4):  # the even share has two units, the quota four
        sent += len(
            actions_of_type(
                handle_with_counter(policy, n * 1000, arrival(n, plan=3, spread=3), counter),
                it.SendAttempt,
            )
        )
    assert sent == 3


def test_attempt_in_flight_is_awaited_past_the_latency_target_without_new_attempts() -> None:
    policy = make_policy(limits={"may_duplicate": False, "max_attempts": 1})
    (sent,) = actions_of_type(handle_with_counter(policy, 0, arrival(1), Counter()), it.SendAttempt)
    assert sent.timeout == 2 * SECOND  # the latency target is 1 s, the client waits for 3 s
    policy = make_policy()
    (sent,) = actions_of_type(handle_with_counter(policy, 0, arrival(1), Counter()), it.SendAttempt)
    end = it.AttemptEnded(1, 0, sent.backend, it.Outcome.RESET, 1_100_000, final=False)
    assert policy.handle(1_100_000, end) == [it.Refuse(1, 0, over_quota=False)]  # ended at once


def test_without_capacity_retry_after_is_the_average_latency() -> None:
    policy, counter = make_policy(), Counter()
    (sent,) = actions_of_type(handle_with_counter(policy, 0, arrival(1), counter), it.SendAttempt)
    policy.handle(50_000, it.AttemptEnded(1, 0, sent.backend, it.Outcome.OK, 50_000, final=True))
    policy.handle(50_000, listed())
    assert actions_of_type(handle_with_counter(policy, 60_000, arrival(2), counter), it.Refuse) == [
        it.Refuse(2, 50_000, over_quota=False)
    ]


def test_unreported_units_are_not_spent_until_a_restart_is_compensated() -> None:
    def is_sent_unreported(age: int) -> bool:
        policy = make_policy()
        (add,) = actions_of_type(policy.handle(age, arrival(1, plan=3)), it.AddToCounter)
        return bool(
            actions_of_type(
                policy.handle(age, it.CountAnswered(add.name, it.Outcome.TIMEOUT, 0.0, 1)),
                it.SendAttempt,
            )
        )

    # An ingress before the restart may have spent the share.
    assert not is_sent_unreported(age=0)
    assert is_sent_unreported(age=SECOND)


@pytest.mark.parametrize(
    "broken", [{"classes": ()}, {"fleet_size": 0}, {"limits": {"max_attempts": 0}}]
)
def test_inconsistent_settings_are_rejected(broken: dict[str, object]) -> None:
    with pytest.raises(ValueError, match=next(iter(broken))):
        RequestPolicy(settings(**broken), 1)


def test_broken_call_is_retried_and_does_not_count_as_overload() -> None:
    policy, counter = make_policy(), Counter()
    (broken_call,) = actions_of_type(policy.handle(0, arrival(1)), it.AddToCounter)
    actions = policy.handle(1000, it.CountAnswered(broken_call.name, it.Outcome.RESET, 0.0, 1000))
    assert (
        len(actions_of_type(actions, it.AddToCounter)) == 1
        and not actions_of_type(actions, it.Refuse)
        and policy.backoff_factor == 1.0
    )
    assert actions_of_type(policy.handle(2000, counter.answers(actions)[0]), it.SendAttempt)


def test_counter_that_rejects_calls_is_called_less_often() -> None:
    def calls(rejected_calls: int) -> int:
        policy, counter = make_policy(), Counter()
        for n in range(rejected_calls):
            for add in actions_of_type(
                policy.handle(0, arrival(n, customer=n + 100)), it.AddToCounter
            ):
                policy.handle(0, it.CountAnswered(add.name, it.Outcome.FULL, 0.0, 1000))
        found = 0
        for n in range(200):
            new = arrival(1000 + n, customer=n)
            found += len(
                actions_of_type(
                    handle_with_counter(policy, SECOND + n * 1000, new, counter), it.AddToCounter
                )
            )
        return found

    assert calls(8) < 0.8 * calls(0)


def test_leased_units_and_a_full_bucket_are_one_burst() -> None:
    policy, counter = make_policy(), Counter()
    handle_with_counter(policy, 0, arrival(1), counter)
    account = policy.accounts[7]
    assert account.tokens > 0
    assert account.bucket_bound(30 * SECOND) + account.tokens == pytest.approx(PLANS[0].burst)


def test_new_settings_keep_leases_and_open_requests_keep_their_limits() -> None:
    policy, counter = RequestPolicy(settings(), seed=1), Counter()
    policy.handle(0, listed(backend(1), backend(2)))
    handle_with_counter(policy, SECOND, arrival(1), counter)
    account = policy.accounts[7]
    account.tokens = 3.0
    base = settings(limits={"max_attempts": 1})
    fresh = replace(base.classes[0], name="fresh")
    changed = replace(
        base, classes=(*base.classes, fresh), plans=(replace(PLANS[0], burst=2.0), *PLANS[1:])
    )
    policy.handle(SECOND, it.SettingsChanged(changed))
    assert policy.accounts[7] is account and account.tokens == 3.0 and account.plan.burst == 2.0
    # The new class is served from the old lease.
    assert actions_of_type(policy.handle(SECOND, arrival(2, cls=3)), it.SendAttempt)
    for request, more in ((1, 1), (2, 0)):
        (sent,) = [a for r, a in policy.attempts_in_flight if r == request]
        number = policy.attempts_in_flight[request, sent][1].backend.info.id
        ended = it.AttemptEnded(request, sent, number, it.Outcome.RESET, 1000, False)
        assert len(actions_of_type(policy.handle(SECOND, ended), it.SendAttempt)) == more
