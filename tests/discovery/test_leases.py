"""Leases with a clock of the test's own: terms, restarts, faults that stop many renewals at
once."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from cairndale.discovery.leases import Leases

TTL = 9.0


def granted_leases(count: int) -> Leases:
    leases = Leases()
    leases.restart({}, 0.0)
    for number in range(count):
        leases.grant(f"s{number}", TTL, 0.0)
    return leases


def run(leases: Leases, start: float, end: float, renewing: set[str]) -> dict[str, float]:
    """Looks twice a second, renews every third of a term; when each went."""
    removed: dict[str, float] = {}
    for tick in range(int(start * 2), int(end * 2)):
        now = tick / 2
        if tick % 6 == 0:
            for name in renewing:
                leases.renew(name, now)
        removed |= {name: now for name in leases.take_expired(now)}
    return removed


def test_a_lease_that_is_not_renewed_is_acted_on_a_third_of_a_term_after_its_end() -> None:
    leases = granted_leases(10)
    removed = run(leases, 0, 40, {f"s{n}" for n in range(1, 10)})
    assert (
        removed == {"s0": TTL * 4 / 3}
        and leases.renew("s0", 41) is None
        and leases.renew("s1", 41) == TTL
    )


def test_many_at_once_are_held_back_until_they_renew() -> None:
    leases = granted_leases(10)
    renewing_names = {f"s{n}" for n in range(6)}
    assert run(leases, 0, 100, renewing_names) == {} and leases.suspended_since is not None
    assert len(leases.overdue(100)) == 4
    everyone = {f"s{n}" for n in range(10)}
    assert run(leases, 100, 140, everyone) == {} and leases.suspended_since is None


def test_of_those_held_back_the_few_that_stay_away_go_in_the_end() -> None:
    leases = granted_leases(10)
    run(leases, 0, 50, set())
    removed = run(leases, 50, 100, {f"s{n}" for n in range(8)})
    assert removed.keys() == {"s8", "s9"}


def test_one_by_one_counts_together() -> None:
    """Renewals that stop for a whole fleet end leases spread over a third of a term, not at
    once."""
    leases = Leases()
    leases.restart({}, 0.0)
    for number in range(30):
        leases.grant(f"s{number}", TTL, number / 10)
    assert run(leases, 3, 60, set()) == {}


def test_two_of_three_are_too_few_to_be_a_fault_of_the_service() -> None:
    leases = granted_leases(3)
    assert run(leases, 0, 40, {"s0"}).keys() == {"s1", "s2"}


def test_a_deliberate_removal_passes_while_others_are_held_back() -> None:
    leases = granted_leases(10)
    run(leases, 0, 50, set())
    leases.revoke("s3")
    assert leases.renew("s3", 50) is None and len(leases.overdue(50)) == 9


def test_a_restart_gives_every_lease_a_full_term() -> None:
    leases = Leases()
    leases.restart({f"s{n}": TTL for n in range(5)}, 1000.0)
    assert run(leases, 1000, 1000 + TTL, set()) == {} and leases.remaining("s0", 1000 + TTL) == 0


def test_the_time_that_this_process_was_stopped_is_nobodys_fault() -> None:
    leases = granted_leases(1)
    assert run(leases, 0, 5, {"s0"}) == {}
    assert leases.take_expired(300.0) == [] and (leases.remaining("s0", 300.0) or 0) > 0
    assert run(leases, 300.5, 320, set()).keys() == {"s0"}


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 19), st.floats(0, 4)), max_size=120), st.integers(1, 20))
def test_never_are_more_taken_off_within_a_window_than_the_share(
    renewals: list[tuple[int, float]], size: int
) -> None:
    leases, now = granted_leases(size), 0.0
    removed_at: list[float] = []
    for number, step in renewals:
        now += step
        leases.renew(f"s{number}", now)
        removed_at += [now] * len(leases.take_expired(now))
        recent = [at for at in removed_at if at > now - leases.window_s]
        overdue_count = len(leases.overdue(now))
        total = size - len(removed_at) + len(recent)
        assert (
            len(recent) < leases.min_expired or len(recent) <= leases.max_expired_ratio * total
        ), (
            recent,
            overdue_count,
        )
